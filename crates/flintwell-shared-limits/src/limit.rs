//! The fetch limit of one proxy: the worth of a unit times the units that it may use.
//!
//! The fleet learns the worth together. Each round, each member gossips its mean rates of fetches that the origin accepted
//! and refused, and moves them towards those it receives, so that they converge to the fleet's means within a few rounds
//! (D. Kempe, A. Dobra and J. Gehrke, "Gossip-based computation of aggregate information", FOCS 2003). While a large share
//! is refused, the accepted rate is taken as the origin's capacity and the worth falls to it; while few are refused, the
//! worth rises. Units are borrowed from members that have some to spare.

use crate::loans::{UNITS_PER_MEMBER, KEPT, Loans};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Length of a gossip round; a few rounds a second, with one or two datagrams each, cost next to nothing.
pub const ROUND_MS: u64 = 250;
const GOSSIP_FANOUT: usize = 2; // peers per round; each also receives as many reports on average, whatever the fleet's size
const OWN_WEIGHT: f64 = 0.25; // weight of the last own round in the means; the rest are earlier rounds and peers' reports
const DEMAND_WEIGHT: f64 = 0.3; // weight of a round in the mean demand; loans for the chance of a single round would only cost messages
const OVERLOAD_REFUSED_SHARE: f64 = 0.5; // above it the accepted rate is the origin's capacity
const SPARE_REFUSED_SHARE: f64 = 0.4; // below it the origin may have spare capacity
const ACCEPTED_TO_LIMIT: f64 = 1.6; // limit per accepted rate: some random arrivals meet a full origin, and fewer would leave it idle
const MIN_OVERLOAD_MS: u64 = 750; // a burst of refusals is no overload, and a rate needs some rounds
const DECREASE_HOLD_MS: u64 = 1_000; // until the effect of a decrease is seen; decreases before that would compound
const MIN_DECREASE_FACTOR: f64 = 0.3; // lower bound of one decrease, so that one bad second does not collapse the limit
const INCREASE_FACTOR: f64 = 1.25; // per round; about 2.4 times per second
const CLEAR_REFUSED_SHARE: f64 = 0.05; // below it only our own limit holds fetches back
const CLEAR_INCREASE_FACTOR: f64 = 2.0; // per round below that; tenfold within 1.5 s
const MIN_UTILIZATION: f64 = 0.6; // share of the limit in demand; below it the limit does not bind
const MAX_REPORT_FACTOR: f64 = 1.3; // factor by which one report may move the worth, which bounds the effect of a faulty or lying peer
const MIN_FLEET_RATE: f64 = 2.0; // accepted and refused fetches per second of the whole fleet; below it no limit is needed
const LIMIT_REMOVAL_MS: u64 = 5_000; // with few refusals and low demand; then the limit is removed
const REPORT_TTL_MS: u64 = 2_000; // how long a peer's report of spare units counts
const HEADROOM: f64 = 1.3; // units requested per unit needed, since the need fluctuates
const LOAN_REQUESTS_PER_ROUND: usize = 2; // peers asked for a loan per round
const RENEW_AHEAD_MS: u64 = 750; // before a loan's end at which its replacement is requested
const MIN_LOAN_UNITS: u32 = 8; // a smaller loan is not worth its messages

/// Messages between the members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LimitMessage {
    /// The sender's estimates of the fleet's means, in fetches per member and second, of the worth of a unit, and the units
    /// that it can lend.
    #[serde(rename = "Told")]
    Report {
        #[serde(rename = "taken")]
        accepted: f32,
        refused: f32,
        worth: Option<f32>,
        #[serde(rename = "spare")]
        spare_units: u32,
    },
    /// Requests a loan of units.
    #[serde(rename = "Ask")]
    LoanRequest {
        loan: u64,
        units: u32,
    },
    /// Grants a loan.
    #[serde(rename = "Grant")]
    LoanGrant {
        loan: u64,
        units: u32,
    },
    /// Returns a loan before its end.
    #[serde(rename = "Back")]
    LoanReturn {
        loan: u64,
    },
}

impl LimitMessage {
    /// Serializes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Serialization into a vector cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Parses a message; returns `None` if it is malformed or holds a negative or non-finite number.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let message: LimitMessage = postcard::from_bytes(bytes).ok()?;
        let is_valid = |number: f32| number.is_finite() && number >= 0.0;
        match &message {
            LimitMessage::Report { accepted: taken, refused, worth, .. } => {
                (is_valid(*taken) && is_valid(*refused) && worth.is_none_or(|worth| is_valid(worth) && worth > 0.0))
                    .then_some(message)
            }
            _ => Some(message),
        }
    }
}

/// Fetches that this proxy counted since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct FetchCounts {
    /// Fetches that its requests needed.
    pub demanded: u64,
    /// Fetches that the origin accepted.
    pub accepted: u64,
    /// Fetches that the origin refused.
    pub refused: u64,
}

/// The limit of one proxy, as the status endpoint shows it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LimitStatus {
    /// Units that this proxy may use; a member owns 1,024.
    pub units: u32,
    /// Borrowed units among them.
    pub borrowed: u32,
    /// Fetches per second that this proxy may send; `None` if no limit is known.
    pub rate: Option<f64>,
    /// Accepted fetches per member and second, as a mean over the fleet.
    #[serde(rename = "taken")]
    pub accepted: f64,
    /// Refused fetches per member and second, as a mean over the fleet.
    pub refused: f64,
}

/// The shared fetch limit of one proxy. Times are in ms on its own monotonic clock.
pub struct SharedLimit {
    rng: ChaCha8Rng,
    loans: Loans,
    /// Counts at the end of the last round.
    last: FetchCounts,
    rounds: u32,
    /// Mean demand of this proxy, in fetches per second.
    wanted: f64,
    mean_taken: f64,
    mean_refused: f64,
    /// Fetches per second that a unit is worth; `None` while no limit is known.
    worth: Option<f64>,
    /// Since when the refused share has been above [`OVERLOAD_REFUSED_SHARE`].
    overloaded_since: Option<u64>,
    /// Since when the refused share has not been above [`SPARE_REFUSED_SHARE`].
    low_refusals_since: u64,
    /// Until when the worth is not decreased again.
    no_decrease_until: u64,
    /// Units that peers reported as spare, and when.
    spare: BTreeMap<u32, (u32, u64)>,
    /// Size of the fleet.
    fleet: f64,
}

impl SharedLimit {
    /// Creates the limit of a member that starts at `now`. `fleet` members own units, whether or not they are alive.
    pub fn new(now: u64, life: u64, fleet: u32, seed: u64) -> Self {
        SharedLimit {
            rng: ChaCha8Rng::seed_from_u64(seed),
            loans: Loans::start(now, life),
            last: FetchCounts::default(),
            rounds: 0,
            wanted: 0.0,
            mean_taken: 0.0,
            mean_refused: 0.0,
            worth: None,
            overloaded_since: None,
            low_refusals_since: now,
            no_decrease_until: now,
            spare: BTreeMap::new(),
            fleet: f64::from(fleet),
        }
    }

    /// Fetches per second that this proxy may send now; `None` if no limit is known.
    pub fn rate(&self, now: u64) -> Option<f64> {
        self.worth.map(|worth| worth * f64::from(self.loans.has(now)))
    }

    /// Units that this proxy may use now.
    pub fn usable_units(&self, now: u64) -> u32 {
        self.loans.has(now)
    }

    /// The limit as the status endpoint shows it.
    pub fn status(&self, now: u64) -> LimitStatus {
        LimitStatus {
            units: self.loans.has(now),
            borrowed: self.loans.borrowed_until(now),
            rate: self.rate(now),
            accepted: self.mean_taken,
            refused: self.mean_refused,
        }
    }

    /// Runs one gossip round with the counts so far and the members alive; returns the messages to send.
    pub fn run_round(&mut self, now: u64, counted: FetchCounts, others: &[u32]) -> Vec<(u32, LimitMessage)> {
        let rounds_per_second = 1_000.0 / ROUND_MS as f64;
        let per_second = |now: u64, last: u64| now.saturating_sub(last) as f64 * rounds_per_second;
        let last = std::mem::replace(&mut self.last, counted);
        self.wanted += DEMAND_WEIGHT * (per_second(counted.demanded, last.demanded) - self.wanted);
        // Danger: means that start from zero and move slowly would make the first limit a fraction of the accepted rate.
        // The first rounds therefore weigh equally.
        let weight = OWN_WEIGHT.max(1.0 / f64::from(self.rounds + 1));
        self.rounds = self.rounds.saturating_add(1);
        self.mean_taken += weight * (per_second(counted.accepted, last.accepted) - self.mean_taken);
        self.mean_refused += weight * (per_second(counted.refused, last.refused) - self.mean_refused);
        self.spare.retain(|number, report| now < report.1 + REPORT_TTL_MS && others.contains(number));
        self.update_worth(now);
        let mut messages = self.update_loans(now, others);
        let report = LimitMessage::Report {
            accepted: self.mean_taken as f32,
            refused: self.mean_refused as f32,
            worth: self.worth.map(|worth| worth as f32),
            spare_units: self.spare_units(now),
        };
        messages.extend(others.choose_multiple(&mut self.rng, GOSSIP_FANOUT).map(|&other| (other, report.clone())));
        messages
    }

    /// Adjusts the worth of a unit by the share of fetches that was refused.
    fn update_worth(&mut self, now: u64) {
        let (taken, refused) = (self.mean_taken, self.mean_refused);
        let share = refused / (taken + refused).max(1e-9);
        let overloaded = share > OVERLOAD_REFUSED_SHARE && (taken + refused) * self.fleet > MIN_FLEET_RATE;
        self.overloaded_since = overloaded.then(|| self.overloaded_since.unwrap_or(now));
        if share > SPARE_REFUSED_SHARE {
            self.low_refusals_since = now;
        }
        if self.overloaded_since.is_some_and(|since| now >= since + MIN_OVERLOAD_MS) && now >= self.no_decrease_until {
            // Danger: if nothing was accepted, the limit would fall to zero and nothing would be sent that could raise it.
            let capacity = (taken * ACCEPTED_TO_LIMIT).max(MIN_FLEET_RATE / self.fleet) / f64::from(self.loans.even(now));
            self.worth = Some(self.worth.map_or(capacity, |worth| capacity.clamp(worth * MIN_DECREASE_FACTOR, worth)));
            self.no_decrease_until = now + DECREASE_HOLD_MS;
            // Danger: refusals from before this decrease would count against the new limit. While hardly anything is sent
            // they would never be averaged out, and the limit would keep falling.
            self.mean_refused = taken * SPARE_REFUSED_SHARE;
        } else if let Some(worth) = self.worth.filter(|_| share < SPARE_REFUSED_SHARE) {
            let factor = if share < CLEAR_REFUSED_SHARE { CLEAR_INCREASE_FACTOR } else { INCREASE_FACTOR };
            let utilization = self.need() as f64 / f64::from(UNITS_PER_MEMBER);
            let removable = now >= self.low_refusals_since + LIMIT_REMOVAL_MS && utilization < MIN_UTILIZATION;
            self.worth = if removable { None } else { Some(if utilization > MIN_UTILIZATION { worth * factor } else { worth }) };
        }
    }

    /// Units that the demand of this proxy needs.
    fn need(&self) -> u32 {
        let Some(worth) = self.worth else { return 0 };
        (self.wanted * HEADROOM / worth).clamp(0.0, f64::from(u32::MAX / 2)) as u32
    }

    /// Units that this proxy can lend.
    fn spare_units(&self, now: u64) -> u32 {
        // Borrowed units cannot be lent on, so they meet our own need first.
        let need = self.need().saturating_sub(self.loans.borrowed_until(now)).max(KEPT);
        let own_units = self.loans.has(now) - self.loans.borrowed_until(now);
        own_units.saturating_sub(need).min(self.loans.spare(now))
    }

    /// Returns loans that are no longer needed and requests those that are.
    fn update_loans(&mut self, now: u64, others: &[u32]) -> Vec<(u32, LimitMessage)> {
        let mut messages = Vec::new();
        let need = self.need();
        let own_units = self.loans.has(now) - self.loans.borrowed_until(now);
        let keep = need.saturating_sub(own_units);
        let returned = self.loans.gives_back(now, keep);
        messages.extend(returned.into_iter().map(|(owner, loan)| (owner, LimitMessage::LoanReturn { loan })));
        let missing = need.saturating_sub(own_units + self.loans.borrowed_until(now + RENEW_AHEAD_MS));
        if self.worth.is_none() || missing < MIN_LOAN_UNITS {
            return messages;
        }
        // Asks the peers that reported most spare units, then a random one.
        let mut by_spare: Vec<(u32, u32)> = self.spare.iter().map(|(&number, report)| (report.0, number)).collect();
        by_spare.sort_unstable_by(|a, b| b.cmp(a));
        let mut chosen: Vec<u32> =
            by_spare.iter().filter(|one| one.0 >= MIN_LOAN_UNITS).take(LOAN_REQUESTS_PER_ROUND).map(|one| one.1).collect();
        if chosen.len() < LOAN_REQUESTS_PER_ROUND {
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
                messages.push((owner, LimitMessage::LoanRequest { loan, units: missing.min(UNITS_PER_MEMBER) }));
            }
            // Other members ask for these units too, so the report is not used twice.
            self.spare.remove(&owner);
        }
        messages
    }

    /// Processes a message of a peer; returns the reply, if any.
    pub fn handle_message(&mut self, now: u64, from: u32, message: LimitMessage) -> Option<LimitMessage> {
        match message {
            LimitMessage::Report { accepted: taken, refused, worth, spare_units: spare } => {
                let bounded = |own: f64, reported: f32| f64::from(reported).min(own * 2.0 + MIN_FLEET_RATE);
                self.mean_taken = (self.mean_taken + bounded(self.mean_taken, taken)) / 2.0;
                self.mean_refused = (self.mean_refused + bounded(self.mean_refused, refused)) / 2.0;
                if let Some(reported) = worth.map(f64::from) {
                    self.worth = Some(match self.worth {
                        Some(own) => (own * reported).sqrt().clamp(own / MAX_REPORT_FACTOR, own * MAX_REPORT_FACTOR),
                        // A member that has seen no refusals itself adopts a peer's worth while peers report refusals.
                        None if self.mean_refused > SPARE_REFUSED_SHARE * (self.mean_taken + self.mean_refused) => reported,
                        None => return self.record_spare(now, from, spare),
                    });
                }
                self.record_spare(now, from, spare)
            }
            LimitMessage::LoanRequest { loan, units } => {
                let units = self.loans.lends(now, from, loan, units.min(self.spare_units(now)));
                (units > 0).then_some(LimitMessage::LoanGrant { loan, units })
            }
            LimitMessage::LoanGrant { loan, units } => {
                self.loans.takes(now, from, loan, units);
                None
            }
            LimitMessage::LoanReturn { loan } => {
                self.loans.returned(from, loan);
                None
            }
        }
    }

    /// Records the spare units that a peer reported.
    fn record_spare(&mut self, now: u64, from: u32, spare: u32) -> Option<LimitMessage> {
        self.spare.insert(from, (spare, now));
        None
    }

    /// Random delay of the first round in ms, so that the members' rounds do not coincide.
    pub fn first_round_delay_ms(&mut self) -> u64 {
        self.rng.random_range(0..ROUND_MS)
    }
}
