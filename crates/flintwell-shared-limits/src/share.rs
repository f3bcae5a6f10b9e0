//! What a unit is worth, who asks whom for units, and what follows for one proxy: fetches a second.
//!
//! The worth is learned by the fleet as one. Each tells some others what it sent, what was taken and what was refused;
//! each moves its means towards what it hears, so that they come to the fleet's within some rounds (averaging by gossip:
//! D. Kempe, A. Dobra and J. Gehrke, "Gossip-based computation of aggregate information", FOCS 2003). While more than
//! some are refused, what is taken is what there is; while hardly any are, there may be more.

use crate::loans::{EACH, KEPT, Loans};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

pub const ROUND: u64 = 250; // ms; a second has some rounds, and a datagram or two each are nothing
const TOLD: usize = 2; // members a round; each hears as many on the mean, whatever the fleet's size
const OWN: f64 = 0.25; // weight of our own last round in our means; some rounds and some others make the rest
const WANTED: f64 = 0.3; // weight of a round in what we want; loans for one round's chance would only cost words
const SHORT: f64 = 0.5; // share refused; above it what is taken is all there is
const AMPLE: f64 = 0.4; // share refused; under it there may be more
const LIFT: f64 = 1.6; // times what is taken that may be sent: arrivals by chance meet a full origin, and fewer leave it idle
const LASTS: u64 = 750; // ms that refusals have to last: a burst is no sign, and a rate needs some rounds
const SEEN: u64 = 1_000; // ms after a fall, in which what it changed is heard of; falls in between would add up
const FALL: f64 = 0.3; // factor on the worth at one fall at most, so that one bad second is not believed wholly
const RISE: f64 = 1.25; // factor on the worth, a round; twice and a half as much a second
const CLEAR: f64 = 0.05; // share refused; under it nothing holds us back but the limit
const RISE_CLEAR: f64 = 2.0; // factor on the worth, a round, then; ten times what it was takes a second and a half
const USED: f64 = 0.6; // of what may be sent; less asked for, there is nothing to share
const BOUND: f64 = 1.3; // the most by which one told worth moves ours; one that lies moves it no further
const LEAST: f64 = 2.0; // fetches and refusals a second of the whole fleet; under it there is nothing to share
const FREE: u64 = 5_000; // ms with hardly anything refused and little asked; then there is no limit any more
const HEARD: u64 = 2_000; // ms for which what another told counts
const HEADROOM: f64 = 1.3; // times our need that we ask for, since need moves
const ASKED: usize = 2; // members asked for units a round
const AHEAD: u64 = 750; // ms before a loan's end at which another is asked for in its place
const GRANTED: u32 = 8; // units; a smaller loan is not worth its words

/// What members say to one another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// Means over the fleet as we know them, a member and second; what a unit is worth; units to spare.
    Told {
        taken: f32,
        refused: f32,
        worth: Option<f32>,
        spare: u32,
    },
    Ask {
        loan: u64,
        units: u32,
    },
    Grant {
        loan: u64,
        units: u32,
    },
    Back {
        loan: u64,
    },
}

impl Word {
    pub fn encode(&self) -> Vec<u8> {
        // Into a vector it cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }
    /// None where it is no word, or one with numbers that are none.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let word: Word = postcard::from_bytes(bytes).ok()?;
        let sound = |number: f32| number.is_finite() && number >= 0.0;
        match &word {
            Word::Told { taken, refused, worth, .. } => {
                (sound(*taken) && sound(*refused) && worth.is_none_or(|worth| sound(worth) && worth > 0.0))
                    .then_some(word)
            }
            _ => Some(word),
        }
    }
}

/// What this proxy counted since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counted {
    pub wanted: u64,
    pub taken: u64,
    pub refused: u64,
}

/// Where it stands, for the staff.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Standing {
    /// Units in use here, of which borrowed; a member owns 1,024.
    pub units: u32,
    pub borrowed: u32,
    /// Fetches a second that this proxy may send; none: no limit is known.
    pub rate: Option<f64>,
    /// Means over the fleet, a member and second.
    pub taken: f64,
    pub refused: f64,
}

pub struct Share {
    rng: ChaCha8Rng,
    loans: Loans,
    /// At the end of the last round.
    last: Counted,
    rounds: u32,
    /// Our own, a second.
    wanted: f64,
    mean_taken: f64,
    mean_refused: f64,
    /// Fetches a second that a unit stands for.
    worth: Option<f64>,
    /// Since when more, or hardly any, are refused.
    short_since: Option<u64>,
    ample_since: u64,
    held_until: u64,
    /// Units that others told they could spare, and when.
    spare: BTreeMap<u32, (u32, u64)>,
    fleet: f64,
}

impl Share {
    /// `fleet` members own units, whether or not they are there.
    pub fn start(now: u64, life: u64, fleet: u32, seed: u64) -> Self {
        Share {
            rng: ChaCha8Rng::seed_from_u64(seed),
            loans: Loans::start(now, life),
            last: Counted::default(),
            rounds: 0,
            wanted: 0.0,
            mean_taken: 0.0,
            mean_refused: 0.0,
            worth: None,
            short_since: None,
            ample_since: now,
            held_until: now,
            spare: BTreeMap::new(),
            fleet: f64::from(fleet),
        }
    }

    /// Fetches a second that we may send now.
    pub fn rate(&self, now: u64) -> Option<f64> {
        self.worth.map(|worth| worth * f64::from(self.loans.has(now)))
    }

    /// Units in use.
    pub fn units(&self, now: u64) -> u32 {
        self.loans.has(now)
    }

    pub fn standing(&self, now: u64) -> Standing {
        Standing {
            units: self.loans.has(now),
            borrowed: self.loans.borrowed_until(now),
            rate: self.rate(now),
            taken: self.mean_taken,
            refused: self.mean_refused,
        }
    }

    /// Once a round, with what we counted and who is there; what to say to whom.
    pub fn round(&mut self, now: u64, counted: Counted, others: &[u32]) -> Vec<(u32, Word)> {
        let a_second = 1_000.0 / ROUND as f64;
        let of = |now: u64, last: u64| now.saturating_sub(last) as f64 * a_second;
        let last = std::mem::replace(&mut self.last, counted);
        self.wanted += WANTED * (of(counted.wanted, last.wanted) - self.wanted);
        // Danger: means that begin at nothing make the first limit a fraction of what is taken.
        let weight = OWN.max(1.0 / f64::from(self.rounds + 1));
        self.rounds = self.rounds.saturating_add(1);
        self.mean_taken += weight * (of(counted.taken, last.taken) - self.mean_taken);
        self.mean_refused += weight * (of(counted.refused, last.refused) - self.mean_refused);
        self.spare.retain(|number, told| now < told.1 + HEARD && others.contains(number));
        self.learns(now);
        let mut words = self.borrows(now, others);
        let told = Word::Told {
            taken: self.mean_taken as f32,
            refused: self.mean_refused as f32,
            worth: self.worth.map(|worth| worth as f32),
            spare: self.to_spare(now),
        };
        words.extend(others.choose_multiple(&mut self.rng, TOLD).map(|&other| (other, told.clone())));
        words
    }

    fn learns(&mut self, now: u64) {
        let (taken, refused) = (self.mean_taken, self.mean_refused);
        let share = refused / (taken + refused).max(1e-9);
        let short = share > SHORT && (taken + refused) * self.fleet > LEAST;
        self.short_since = short.then(|| self.short_since.unwrap_or(now));
        if share > AMPLE {
            self.ample_since = now;
        }
        if self.short_since.is_some_and(|since| now >= since + LASTS) && now >= self.held_until {
            // Danger: with nothing taken at all a limit of nothing would never be left again.
            let there = (taken * LIFT).max(LEAST / self.fleet) / f64::from(self.loans.even(now));
            self.worth = Some(self.worth.map_or(there, |worth| there.clamp(worth * FALL, worth)));
            self.held_until = now + SEEN;
            // Danger: what was refused before this fall would be held against the limit that follows, and with hardly
            // anything sent any more it would be for ever.
            self.mean_refused = taken * AMPLE;
        } else if let Some(worth) = self.worth.filter(|_| share < AMPLE) {
            let rise = if share < CLEAR { RISE_CLEAR } else { RISE };
            let asked = self.need() as f64 / f64::from(EACH);
            let freed = now >= self.ample_since + FREE && asked < USED;
            self.worth = if freed { None } else { Some(if asked > USED { worth * rise } else { worth }) };
        }
    }

    /// Units that our own need takes.
    fn need(&self) -> u32 {
        let Some(worth) = self.worth else { return 0 };
        (self.wanted * HEADROOM / worth).clamp(0.0, f64::from(u32::MAX / 2)) as u32
    }

    fn to_spare(&self, now: u64) -> u32 {
        // What we borrow is no one else's to have of us; so our need is met by it first.
        let need = self.need().saturating_sub(self.loans.borrowed_until(now)).max(KEPT);
        let own = self.loans.has(now) - self.loans.borrowed_until(now);
        own.saturating_sub(need).min(self.loans.spare(now))
    }

    fn borrows(&mut self, now: u64, others: &[u32]) -> Vec<(u32, Word)> {
        let mut words = Vec::new();
        let need = self.need();
        let own = self.loans.has(now) - self.loans.borrowed_until(now);
        let stay = need.saturating_sub(own);
        let back = self.loans.gives_back(now, stay);
        words.extend(back.into_iter().map(|(owner, loan)| (owner, Word::Back { loan })));
        let short = need.saturating_sub(own + self.loans.borrowed_until(now + AHEAD));
        if self.worth.is_none() || short < GRANTED {
            return words;
        }
        // Those with most first, as far as they told; else any, by lot.
        let mut known: Vec<(u32, u32)> = self.spare.iter().map(|(&number, told)| (told.0, number)).collect();
        known.sort_unstable_by(|a, b| b.cmp(a));
        let mut chosen: Vec<u32> =
            known.iter().filter(|one| one.0 >= GRANTED).take(ASKED).map(|one| one.1).collect();
        if chosen.len() < ASKED {
            chosen.extend(
                others
                    .choose(&mut self.rng)
                    .filter(|other| !chosen.contains(other))
                    .copied()
                    .into_iter()
                    .collect::<Vec<_>>(),
            );
        }
        for owner in chosen {
            if let Some(loan) = self.loans.asks(now, owner) {
                words.push((owner, Word::Ask { loan, units: short.min(EACH) }));
            }
            // Asked for by others too: not counted on a second time.
            self.spare.remove(&owner);
        }
        words
    }

    /// What to answer.
    pub fn hears(&mut self, now: u64, from: u32, word: Word) -> Option<Word> {
        match word {
            Word::Told { taken, refused, worth, spare } => {
                let near = |ours: f64, told: f32| f64::from(told).min(ours * 2.0 + LEAST);
                self.mean_taken = (self.mean_taken + near(self.mean_taken, taken)) / 2.0;
                self.mean_refused = (self.mean_refused + near(self.mean_refused, refused)) / 2.0;
                if let Some(told) = worth.map(f64::from) {
                    self.worth = Some(match self.worth {
                        Some(ours) => (ours * told).sqrt().clamp(ours / BOUND, ours * BOUND),
                        // Who has seen nothing refused goes by who has, as long as refusals are told.
                        None if self.mean_refused > AMPLE * (self.mean_taken + self.mean_refused) => told,
                        None => return self.notes(now, from, spare),
                    });
                }
                self.notes(now, from, spare)
            }
            Word::Ask { loan, units } => {
                let units = self.loans.lends(now, from, loan, units.min(self.to_spare(now)));
                (units > 0).then_some(Word::Grant { loan, units })
            }
            Word::Grant { loan, units } => {
                self.loans.takes(now, from, loan, units);
                None
            }
            Word::Back { loan } => {
                self.loans.returned(from, loan);
                None
            }
        }
    }

    fn notes(&mut self, now: u64, from: u32, spare: u32) -> Option<Word> {
        self.spare.insert(from, (spare, now));
        None
    }

    /// A moment within a round, so that a fleet's rounds don't fall together.
    pub fn first_round(&mut self) -> u64 {
        self.rng.random_range(0..ROUND)
    }
}
