//! Takes back free parts of budgets while the resident memory is close to its limit, whatever it is used for.
//!
//! What is in use stays, so that nothing in progress is cut off; what is returned can be used again.

use crate::memory::budget::MemoryBudget;

const HIGH_PERCENTAGE: u64 = 90; // of the limit; free parts are taken back once
const CRITICAL_PERCENTAGE: u64 = 95; // of the limit; also what was returned since
const RELAXED_PERCENTAGE: u64 = 85; // of the limit; all is given back
const KEPT_SHARE: usize = 8; // one in this many bytes of a budget is never taken back

/// A budget and what was taken back of it.
struct Tightened {
    budget: MemoryBudget,
    withheld_bytes: usize,
}

/// Budgets that are tightened under pressure.
pub struct MemoryPressure {
    limit_bytes: u64,
    budgets: Vec<Tightened>,
    is_high: bool,
}

impl MemoryPressure {
    /// Tightens these budgets when the resident memory nears `limit_bytes`.
    pub fn new(limit_bytes: u64, budgets: impl IntoIterator<Item = MemoryBudget>) -> Self {
        let budgets = budgets.into_iter().map(|budget| Tightened { budget, withheld_bytes: 0 });
        MemoryPressure { limit_bytes, budgets: budgets.collect(), is_high: false }
    }

    /// Adapts the budgets to the resident memory; returns whether the pressure has begun or ended.
    pub fn update(&mut self, resident_bytes: u64) -> bool {
        let percentage = resident_bytes.saturating_mul(100) / self.limit_bytes.max(1);
        let was_high = self.is_high;
        if percentage >= HIGH_PERCENTAGE {
            self.is_high = true;
        } else if percentage < RELAXED_PERCENTAGE {
            self.is_high = false;
        }
        if self.is_high && (!was_high || percentage >= CRITICAL_PERCENTAGE) {
            self.budgets.iter_mut().for_each(Tightened::withhold);
        } else if was_high && !self.is_high {
            self.budgets.iter_mut().for_each(Tightened::give_back);
        }
        self.is_high != was_high
    }

    /// Whether budgets are tightened.
    pub fn is_high(&self) -> bool {
        self.is_high
    }
}

impl Tightened {
    fn withhold(&mut self) {
        let (permits, total) = self.budget.permits();
        let withholdable = (total - total / KEPT_SHARE).saturating_sub(self.withheld_bytes);
        self.withheld_bytes += permits.forget_permits(withholdable.min(permits.available_permits()));
    }

    fn give_back(&mut self) {
        let (permits, _) = self.budget.permits();
        permits.add_permits(std::mem::take(&mut self.withheld_bytes));
    }
}

#[cfg(test)]
mod tests;
