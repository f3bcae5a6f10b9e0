//! The fetch limit of one proxy: the worth of a unit times the units that it may use.
//!
//! The fleet learns the worth together. Each round, each member gossips its mean rates of fetches that the
//! origin accepted and refused, and moves them towards those it receives, so that they converge to the
//! fleet's means within a few rounds (D. Kempe, A. Dobra and J. Gehrke, "Gossip-based computation of
//! aggregate information", FOCS 2003). While a large share is refused, the accepted rate is taken as the
//! origin's capacity and the worth falls to it; while few are refused, the worth rises. Units are borrowed
//! from members that have some to spare.

use crate::loans::{Loans, RESERVED_UNITS, UNITS_PER_MEMBER};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Length of a gossip round; a few rounds a second, with one or two datagrams each, cost next to nothing.
pub const ROUND_MS: u64 = 250;
/// Peers that receive a report each round; a member gets as many on average, whatever the size of the fleet.
const GOSSIP_FANOUT: usize = 2;
/// Weight of the last own round in the means; the rest are earlier rounds and peers' reports.
const OWN_WEIGHT: f64 = 0.25;
/// Weight of a round in the mean demand; loans for the fluctuation of one round would only cost messages.
const DEMAND_WEIGHT: f64 = 0.3;
/// Share of fetches refused; above it the accepted rate is the origin's capacity.
const OVERLOAD_REFUSED_SHARE: f64 = 0.5;
const SPARE_REFUSED_SHARE: f64 = 0.4; // below it the origin may have spare capacity
/// Limit per accepted rate. Some random arrivals meet a full origin; a lower limit would leave it idle at
/// other times.
const ACCEPTED_TO_LIMIT: f64 = 1.6;
const MIN_OVERLOAD_MS: u64 = 750; // a burst of refusals is no overload, and a rate needs some rounds
/// Pause after a decrease until its effect is seen; decreases before that would compound.
const DECREASE_HOLD_MS: u64 = 1_000;
const MIN_DECREASE_FACTOR: f64 = 0.3; // of one decrease, so that one bad second does not collapse the limit
const INCREASE_FACTOR: f64 = 1.25; // of the worth per round, or about 2.5 per second
const CLEAR_REFUSED_SHARE: f64 = 0.05; // below it only our own limit holds fetches back
const CLEAR_INCREASE_FACTOR: f64 = 2.0; // of the worth per round then, or tenfold within 1.5 s
const MIN_UTILIZATION: f64 = 0.6; // share of the limit in demand; below it there is nothing to share
/// Factor by which one report may move the worth; bounds the effect of a lying peer.
const MAX_REPORT_FACTOR: f64 = 1.3;
const MIN_FLEET_RATE: f64 = 2.0; // fetches per second of the whole fleet; below it no limit is needed
const LIMIT_REMOVAL_MS: u64 = 5_000; // of few refusals and low demand, after which the limit is removed
const REPORT_TTL_MS: u64 = 2_000; // how long a peer's report of spare units counts
const HEADROOM: f64 = 1.3; // units requested per unit needed, since the need fluctuates
const LOAN_REQUESTS_PER_ROUND: usize = 2; // peers asked for a loan per round
const RENEW_AHEAD_MS: u64 = 750; // time before a loan's end at which its replacement is requested
const MIN_LOAN_UNITS: u32 = 8; // a smaller loan is not worth its messages

/// Messages between the members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LimitMessage {
    /// The sender's estimates of the fleet's means, in fetches per member and second, of the worth of a unit,
    /// and the units that it can lend.
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
    LoanRequest { loan: u64, units: u32 },
    /// Grants a loan.
    #[serde(rename = "Grant")]
    LoanGrant { loan: u64, units: u32 },
    /// Returns a loan before its end.
    #[serde(rename = "Back")]
    LoanReturn { loan: u64 },
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
            LimitMessage::Report { accepted, refused, worth, .. } => (is_valid(*accepted)
                && is_valid(*refused)
                && worth.is_none_or(|worth| is_valid(worth) && worth > 0.0))
            .then_some(message),
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
    last_counts: FetchCounts,
    rounds: u32,
    /// Mean demand of this proxy, in fetches per second.
    demand: f64,
    mean_accepted: f64,
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
    reported_spare: BTreeMap<u32, (u32, u64)>,
    /// Size of the fleet.
    fleet_size: f64,
}

impl SharedLimit {
    /// Creates the limit of a member that starts at `now`. `fleet_size` members own units, whether or not
    /// they are alive.
    pub fn new(now: u64, generation: u64, fleet_size: u32, seed: u64) -> Self {
        SharedLimit {
            rng: ChaCha8Rng::seed_from_u64(seed),
            loans: Loans::new(now, generation),
            last_counts: FetchCounts::default(),
            rounds: 0,
            demand: 0.0,
            mean_accepted: 0.0,
            mean_refused: 0.0,
            worth: None,
            overloaded_since: None,
            low_refusals_since: now,
            no_decrease_until: now,
            reported_spare: BTreeMap::new(),
            fleet_size: f64::from(fleet_size),
        }
    }

    /// Fetches per second that this proxy may send now; `None` if no limit is known.
    pub fn rate(&self, now: u64) -> Option<f64> {
        self.worth.map(|worth| worth * f64::from(self.loans.usable_units(now)))
    }

    /// Units that this proxy may use now.
    pub fn usable_units(&self, now: u64) -> u32 {
        self.loans.usable_units(now)
    }

    /// The limit as the status endpoint shows it.
    pub fn status(&self, now: u64) -> LimitStatus {
        LimitStatus {
            units: self.loans.usable_units(now),
            borrowed: self.loans.borrowed_units_at(now),
            rate: self.rate(now),
            accepted: self.mean_accepted,
            refused: self.mean_refused,
        }
    }

    /// Runs one gossip round with the counts so far and the members alive; returns the messages to send.
    pub fn run_round(&mut self, now: u64, counts: FetchCounts, peers: &[u32]) -> Vec<(u32, LimitMessage)> {
        let rounds_per_second = 1_000.0 / ROUND_MS as f64;
        let per_second = |count: u64, last: u64| count.saturating_sub(last) as f64 * rounds_per_second;
        let last = std::mem::replace(&mut self.last_counts, counts);
        self.demand += DEMAND_WEIGHT * (per_second(counts.demanded, last.demanded) - self.demand);
        // Danger: means that start from zero and move slowly would make the first limit a fraction of the
        // accepted rate. The first rounds therefore weigh equally.
        let weight = OWN_WEIGHT.max(1.0 / f64::from(self.rounds + 1));
        self.rounds = self.rounds.saturating_add(1);
        self.mean_accepted += weight * (per_second(counts.accepted, last.accepted) - self.mean_accepted);
        self.mean_refused += weight * (per_second(counts.refused, last.refused) - self.mean_refused);
        self.reported_spare.retain(|number, report| now < report.1 + REPORT_TTL_MS && peers.contains(number));
        self.update_worth(now);
        let mut messages = self.update_loans(now, peers);
        let report = LimitMessage::Report {
            accepted: self.mean_accepted as f32,
            refused: self.mean_refused as f32,
            worth: self.worth.map(|worth| worth as f32),
            spare_units: self.spare_units(now),
        };
        messages
            .extend(peers.choose_multiple(&mut self.rng, GOSSIP_FANOUT).map(|&peer| (peer, report.clone())));
        messages
    }

    /// Adjusts the worth of a unit by the share of fetches that was refused.
    fn update_worth(&mut self, now: u64) {
        let (accepted, refused) = (self.mean_accepted, self.mean_refused);
        let refused_share = refused / (accepted + refused).max(1e-9);
        let overloaded =
            refused_share > OVERLOAD_REFUSED_SHARE && (accepted + refused) * self.fleet_size > MIN_FLEET_RATE;
        self.overloaded_since = overloaded.then(|| self.overloaded_since.unwrap_or(now));
        if refused_share > SPARE_REFUSED_SHARE {
            self.low_refusals_since = now;
        }
        if self.overloaded_since.is_some_and(|since| now >= since + MIN_OVERLOAD_MS)
            && now >= self.no_decrease_until
        {
            // Danger: if nothing was accepted, the limit would fall to zero and nothing would be sent that
            // could raise it.
            let capacity = (accepted * ACCEPTED_TO_LIMIT).max(MIN_FLEET_RATE / self.fleet_size)
                / f64::from(self.loans.base_units(now));
            self.worth =
                Some(self.worth.map_or(capacity, |worth| capacity.clamp(worth * MIN_DECREASE_FACTOR, worth)));
            self.no_decrease_until = now + DECREASE_HOLD_MS;
            // Danger: refusals from before this decrease would count against the new limit. While hardly
            // anything is sent they would never be averaged out, and the limit would keep falling.
            self.mean_refused = accepted * SPARE_REFUSED_SHARE;
        } else if let Some(worth) = self.worth.filter(|_| refused_share < SPARE_REFUSED_SHARE) {
            let factor =
                if refused_share < CLEAR_REFUSED_SHARE { CLEAR_INCREASE_FACTOR } else { INCREASE_FACTOR };
            let utilization = self.needed_units() as f64 / f64::from(UNITS_PER_MEMBER);
            let removable =
                now >= self.low_refusals_since + LIMIT_REMOVAL_MS && utilization < MIN_UTILIZATION;
            self.worth = if removable {
                None
            } else {
                Some(if utilization > MIN_UTILIZATION { worth * factor } else { worth })
            };
        }
    }

    /// Units that the demand of this proxy needs.
    fn needed_units(&self) -> u32 {
        let Some(worth) = self.worth else { return 0 };
        (self.demand * HEADROOM / worth).clamp(0.0, f64::from(u32::MAX / 2)) as u32
    }

    /// Units that this proxy can lend.
    fn spare_units(&self, now: u64) -> u32 {
        // Borrowed units cannot be lent on, so they meet our own need first.
        let needed_units =
            self.needed_units().saturating_sub(self.loans.borrowed_units_at(now)).max(RESERVED_UNITS);
        let own_units = self.loans.usable_units(now) - self.loans.borrowed_units_at(now);
        own_units.saturating_sub(needed_units).min(self.loans.lendable_units(now))
    }

    /// Returns loans that are no longer needed and requests those that are.
    fn update_loans(&mut self, now: u64, peers: &[u32]) -> Vec<(u32, LimitMessage)> {
        let mut messages = Vec::new();
        let needed_units = self.needed_units();
        let own_units = self.loans.usable_units(now) - self.loans.borrowed_units_at(now);
        let keep = needed_units.saturating_sub(own_units);
        let returned = self.loans.return_loans(now, keep);
        messages.extend(returned.into_iter().map(|(owner, loan)| (owner, LimitMessage::LoanReturn { loan })));
        let missing =
            needed_units.saturating_sub(own_units + self.loans.borrowed_units_at(now + RENEW_AHEAD_MS));
        if self.worth.is_none() || missing < MIN_LOAN_UNITS {
            return messages;
        }
        // Asks the peers that reported most spare units, then a random one.
        let mut by_spare: Vec<(u32, u32)> =
            self.reported_spare.iter().map(|(&number, report)| (report.0, number)).collect();
        by_spare.sort_unstable_by(|a, b| b.cmp(a));
        let mut chosen: Vec<u32> = by_spare
            .iter()
            .filter(|entry| entry.0 >= MIN_LOAN_UNITS)
            .take(LOAN_REQUESTS_PER_ROUND)
            .map(|entry| entry.1)
            .collect();
        if chosen.len() < LOAN_REQUESTS_PER_ROUND {
            chosen.extend(
                peers
                    .choose(&mut self.rng)
                    .filter(|peer| !chosen.contains(peer))
                    .copied()
                    .into_iter()
                    .collect::<Vec<_>>(),
            );
        }
        for owner in chosen {
            if let Some(loan) = self.loans.request_loan(now, owner) {
                messages
                    .push((owner, LimitMessage::LoanRequest { loan, units: missing.min(UNITS_PER_MEMBER) }));
            }
            // Other members ask for these units too, so the report is not used twice.
            self.reported_spare.remove(&owner);
        }
        messages
    }

    /// Processes a message of a peer; returns the reply, if any.
    pub fn handle_message(&mut self, now: u64, from: u32, message: LimitMessage) -> Option<LimitMessage> {
        match message {
            LimitMessage::Report { accepted, refused, worth, spare_units } => {
                let bounded = |own: f64, reported: f32| f64::from(reported).min(own * 2.0 + MIN_FLEET_RATE);
                self.mean_accepted = (self.mean_accepted + bounded(self.mean_accepted, accepted)) / 2.0;
                self.mean_refused = (self.mean_refused + bounded(self.mean_refused, refused)) / 2.0;
                if let Some(reported) = worth.map(f64::from) {
                    self.worth = Some(match self.worth {
                        Some(own) => {
                            (own * reported).sqrt().clamp(own / MAX_REPORT_FACTOR, own * MAX_REPORT_FACTOR)
                        }
                        // A member that has seen no refusals itself adopts a peer's worth while peers report
                        // refusals.
                        None if self.mean_refused
                            > SPARE_REFUSED_SHARE * (self.mean_accepted + self.mean_refused) =>
                        {
                            reported
                        }
                        None => return self.record_spare(now, from, spare_units),
                    });
                }
                self.record_spare(now, from, spare_units)
            }
            LimitMessage::LoanRequest { loan, units } => {
                let units = self.loans.lend(now, from, loan, units.min(self.spare_units(now)));
                (units > 0).then_some(LimitMessage::LoanGrant { loan, units })
            }
            LimitMessage::LoanGrant { loan, units } => {
                self.loans.accept_grant(now, from, loan, units);
                None
            }
            LimitMessage::LoanReturn { loan } => {
                self.loans.end_loan(from, loan);
                None
            }
        }
    }

    /// Records the spare units that a peer reported.
    fn record_spare(&mut self, now: u64, from: u32, spare_units: u32) -> Option<LimitMessage> {
        self.reported_spare.insert(from, (spare_units, now));
        None
    }

    /// Random delay of the first round in ms, so that the members' rounds do not coincide.
    pub fn first_round_delay_ms(&mut self) -> u64 {
        self.rng.random_range(0..ROUND_MS)
    }
}
