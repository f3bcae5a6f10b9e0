//! Loans of units between members.
//!
//! An owner withholds lent units for longer than their borrower uses them, on any clocks whose rates differ by at most
//! [`DRIFT`]. So the units in use never exceed those that exist, whichever messages are lost, duplicated or delayed and
//! whichever members pause, stop or restart. No agreement between members is needed, and an isolated member keeps the
//! use of its own units.

use std::collections::BTreeMap;

/// Units that each member owns; fine enough that a loan of a hundredth of them is still worth its messages.
pub const UNITS_PER_MEMBER: u32 = 1_024;
/// Units that a member never lends, and that a restarted member may use while loans of its earlier process may still run.
pub const KEPT: u32 = UNITS_PER_MEMBER / 2;
/// Duration of a loan on the borrower's clock; the demand of a fleet shifts within seconds.
pub const SPAN: u64 = 2_000;
/// Fraction by which the rates of two clocks may differ; ten times the drift of real hardware.
pub const DRIFT: f64 = 0.02;
const WITHHOLD_MS: u64 = SPAN + (SPAN as f64 * 2.0 * DRIFT) as u64 + 1; // duration of a loan on the owner's clock
const MAX_LOANS: usize = 4_096; // loans granted and requests pending at once; some for each of a thousand proxies

/// A loan that this member granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct GrantedLoan {
    units: u32,
    expires_at: u64,
}

/// A loan that this member received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ReceivedLoan {
    units: u32,
    expires_at: u64,
}

/// Units and loans of one member. Times are in ms on its own monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Loans {
    started_at: u64,
    next_loan: u64,
    /// Loans granted, by borrower and loan number.
    lent: BTreeMap<(u32, u64), GrantedLoan>,
    /// Loans received, by loan number, with their owner.
    borrowed: BTreeMap<u64, (u32, ReceivedLoan)>,
    /// Pending requests by loan number, with the owner asked and the time of the request.
    ///
    /// Danger: a grant may arrive late, when its owner already uses the units again. A loan therefore starts at the time
    /// of its request, not at the arrival of its grant.
    requests: BTreeMap<u64, (u32, u64)>,
}

impl Loans {
    /// Creates the state of a member that starts at `now`. `life` must be higher than at any earlier start under this
    /// member's number, so that loan numbers are never reused.
    pub fn start(now: u64, life: u64) -> Self {
        let next_loan = life << 20;
        Loans { started_at: now, next_loan, lent: BTreeMap::new(), borrowed: BTreeMap::new(), requests: BTreeMap::new() }
    }

    /// Units that this member may use now, its own and borrowed ones.
    pub fn has(&self, now: u64) -> u32 {
        self.unlent_units(now) + self.borrowed_until(now)
    }

    /// Borrowed units whose loans still run at `then`.
    pub fn borrowed_until(&self, then: u64) -> u32 {
        self.borrowed.values().filter(|entry| then < entry.1.expires_at).map(|entry| entry.1.units).sum()
    }

    /// Own units that are not lent.
    fn unlent_units(&self, now: u64) -> u32 {
        let lent: u32 = self.lent.values().filter(|entry| now < entry.expires_at).map(|entry| entry.units).sum();
        self.even(now).saturating_sub(lent)
    }

    /// Own units before any loan.
    ///
    /// Danger: a restarted member does not know which units its earlier process lent. Until those loans have ended it
    /// uses only the units that are never lent.
    pub fn even(&self, now: u64) -> u32 {
        if now < self.started_at + WITHHOLD_MS { KEPT } else { UNITS_PER_MEMBER }
    }

    /// Units that could be lent now.
    pub fn spare(&self, now: u64) -> u32 {
        self.unlent_units(now).saturating_sub(KEPT)
    }

    /// Records a loan request to `owner` and returns its loan number, or `None` if too many requests are pending.
    pub fn asks(&mut self, now: u64, owner: u32) -> Option<u64> {
        self.remove_expired(now);
        if self.requests.len() >= MAX_LOANS {
            return None;
        }
        self.next_loan += 1;
        self.requests.insert(self.next_loan, (owner, now));
        Some(self.next_loan)
    }

    /// Grants a loan of at most `most` units and returns its size; 0 if none can be granted. A repeated request gets the
    /// same answer.
    pub fn lends(&mut self, now: u64, borrower: u32, loan: u64, most: u32) -> u32 {
        self.remove_expired(now);
        if let Some(lent) = self.lent.get(&(borrower, loan)) {
            return lent.units;
        }
        let units = most.min(self.spare(now));
        if units == 0 || self.lent.len() >= MAX_LOANS {
            return 0;
        }
        self.lent.insert((borrower, loan), GrantedLoan { units, expires_at: now + WITHHOLD_MS });
        units
    }

    /// Records a granted loan. A grant counts once, and only within the loan's duration from its request.
    pub fn takes(&mut self, now: u64, owner: u32, loan: u64, units: u32) {
        self.remove_expired(now);
        if self.requests.get(&loan).is_some_and(|request| request.0 == owner)
            && let Some((_, at)) = self.requests.remove(&loan)
        {
            let units = units.min(UNITS_PER_MEMBER - KEPT);
            self.borrowed.insert(loan, (owner, ReceivedLoan { units, expires_at: at + SPAN }));
        }
    }

    /// Returns loans early as long as at least `stay` borrowed units remain; yields the owners to notify and the loan
    /// numbers.
    pub fn gives_back(&mut self, now: u64, stay: u32) -> Vec<(u32, u64)> {
        self.remove_expired(now);
        let (mut remaining, mut returned_loans) = (self.borrowed_until(now), Vec::new());
        for (&loan, (owner, borrowed)) in &self.borrowed {
            if remaining >= stay + borrowed.units {
                remaining -= borrowed.units;
                returned_loans.push((*owner, loan));
            }
        }
        self.borrowed.retain(|loan, _| returned_loans.iter().all(|returned| returned.1 != *loan));
        returned_loans
    }

    /// Ends a loan that its borrower has returned.
    pub fn returned(&mut self, borrower: u32, loan: u64) {
        self.lent.remove(&(borrower, loan));
    }

    /// Removes expired loans and requests.
    fn remove_expired(&mut self, now: u64) {
        self.lent.retain(|_, entry| now < entry.expires_at);
        self.borrowed.retain(|_, entry| now < entry.1.expires_at);
        self.requests.retain(|_, entry| now < entry.1 + SPAN);
    }
}

#[cfg(test)]
mod tests;
