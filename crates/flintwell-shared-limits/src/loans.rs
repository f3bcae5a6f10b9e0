//! Units that members lend one another. What is lent is not used by its owner for longer than by its borrower, on any
//! clocks that run alike to some hundredths; so at every instant the units in use are at most those that there are,
//! whatever words are lost, doubled or late, and whoever stands still, ends or begins anew. Nobody has to agree on
//! anything, and who hears nobody has its own.

use std::collections::BTreeMap;

pub const EACH: u32 = 1_024; // units that a member owns; a loan of a hundredth of them is worth its words
pub const KEPT: u32 = EACH / 2; // units never lent; also what one that begins anew uses while its loans may run
pub const SPAN: u64 = 2_000; // ms of a loan as its borrower counts: a fleet's need moves within some seconds
pub const DRIFT: f64 = 0.02; // of a span, by which two clocks may differ over it; ten times what hardware does
const WITHHELD: u64 = SPAN + (SPAN as f64 * 2.0 * DRIFT) as u64 + 1; // ms, as its owner counts
const LOANS_MOST: usize = 4_096; // given at once, and asked for; some from each of a thousand proxies

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lent {
    units: u32,
    until: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Borrowed {
    units: u32,
    until: u64,
}

/// One member's; times in ms on its own clock, which never goes back.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Loans {
    started: u64,
    next: u64,
    /// By borrower and number of the loan.
    lent: BTreeMap<(u32, u64), Lent>,
    /// By number, with its owner.
    borrowed: BTreeMap<u64, (u32, Borrowed)>,
    /// Of whom, and when. Danger: a borrower's time counts from its asking, not from the grant, which may come late.
    asked: BTreeMap<u64, (u32, u64)>,
}

impl Loans {
    /// `life` is higher than at any earlier start under our number, so that no loan's number comes twice.
    pub fn start(now: u64, life: u64) -> Self {
        let next = life << 20;
        Loans { started: now, next, lent: BTreeMap::new(), borrowed: BTreeMap::new(), asked: BTreeMap::new() }
    }

    /// Units that may be used now.
    pub fn has(&self, now: u64) -> u32 {
        self.own(now) + self.borrowed_until(now)
    }

    /// Of what was borrowed, as much as will still be there then.
    pub fn borrowed_until(&self, then: u64) -> u32 {
        self.borrowed.values().filter(|one| then < one.1.until).map(|one| one.1.units).sum()
    }

    fn own(&self, now: u64) -> u32 {
        let lent: u32 = self.lent.values().filter(|one| now < one.until).map(|one| one.units).sum();
        self.even(now).saturating_sub(lent)
    }

    /// What is ours before any loan. Danger: one that begins anew knows nothing of what it lent before.
    pub fn even(&self, now: u64) -> u32 {
        if now < self.started + WITHHELD { KEPT } else { EACH }
    }

    /// What could be lent now.
    pub fn spare(&self, now: u64) -> u32 {
        self.own(now).saturating_sub(KEPT)
    }

    /// A number under which to ask this member; none with too many asked for.
    pub fn asks(&mut self, now: u64, owner: u32) -> Option<u64> {
        self.forgets(now);
        if self.asked.len() >= LOANS_MOST {
            return None;
        }
        self.next += 1;
        self.asked.insert(self.next, (owner, now));
        Some(self.next)
    }

    /// What is lent to one who asks, at most so much; the same again where the asking comes twice.
    pub fn lends(&mut self, now: u64, borrower: u32, loan: u64, most: u32) -> u32 {
        self.forgets(now);
        if let Some(lent) = self.lent.get(&(borrower, loan)) {
            return lent.units;
        }
        let units = most.min(self.spare(now));
        if units == 0 || self.lent.len() >= LOANS_MOST {
            return 0;
        }
        self.lent.insert((borrower, loan), Lent { units, until: now + WITHHELD });
        units
    }

    /// Takes what was granted; it counts once, and only while its time from our asking lasts.
    pub fn takes(&mut self, now: u64, owner: u32, loan: u64, units: u32) {
        self.forgets(now);
        if self.asked.get(&loan).is_some_and(|asked| asked.0 == owner)
            && let Some((_, at)) = self.asked.remove(&loan)
        {
            let units = units.min(EACH - KEPT);
            self.borrowed.insert(loan, (owner, Borrowed { units, until: at + SPAN }));
        }
    }

    /// Gives back loans while at least so many borrowed units stay; whom to tell of which.
    pub fn gives_back(&mut self, now: u64, stay: u32) -> Vec<(u32, u64)> {
        self.forgets(now);
        let (mut left, mut back) = (self.borrowed_until(now), Vec::new());
        for (&loan, (owner, borrowed)) in &self.borrowed {
            if left >= stay + borrowed.units {
                left -= borrowed.units;
                back.push((*owner, loan));
            }
        }
        self.borrowed.retain(|loan, _| back.iter().all(|told| told.1 != *loan));
        back
    }

    /// A borrower has given back.
    pub fn returned(&mut self, borrower: u32, loan: u64) {
        self.lent.remove(&(borrower, loan));
    }

    fn forgets(&mut self, now: u64) {
        self.lent.retain(|_, one| now < one.until);
        self.borrowed.retain(|_, one| now < one.1.until);
        self.asked.retain(|_, one| now < one.1 + SPAN);
    }
}

#[cfg(test)]
mod tests;
