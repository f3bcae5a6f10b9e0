//! Budgets of memory: bytes are charged to one for as long as they are held.

use bytes::Bytes;
use serde::Serialize;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A budget of which a part is in use, in bytes or connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct BudgetUse {
    pub used: u64,
    pub total: u64,
}

impl BudgetUse {
    /// The use of a semaphore with this number of permits in total.
    pub fn of_permits(permits: &Semaphore, total: usize) -> Self {
        let used = total.saturating_sub(permits.available_permits());
        BudgetUse { used: used as u64, total: total as u64 }
    }
}

/// Bytes that may be held for one purpose.
#[derive(Clone)]
pub struct MemoryBudget {
    /// A permit for each byte.
    permits: Arc<Semaphore>,
    total_bytes: usize,
}

/// Bytes charged to a budget, which gets them back when this is dropped.
pub struct MemoryCharge {
    _permit: OwnedSemaphorePermit,
}

impl MemoryBudget {
    /// A budget of this many bytes.
    pub fn new(total_bytes: usize) -> Self {
        let total_bytes = total_bytes.min(Semaphore::MAX_PERMITS);
        MemoryBudget { permits: Arc::new(Semaphore::new(total_bytes)), total_bytes }
    }

    /// Bytes that can still be charged.
    pub fn available_bytes(&self) -> u64 {
        self.permits.available_permits() as u64
    }

    /// How much of the budget is in use.
    pub fn in_use(&self) -> BudgetUse {
        BudgetUse::of_permits(&self.permits, self.total_bytes)
    }

    /// The permits, one for each byte, and their total number.
    pub fn permits(&self) -> (Arc<Semaphore>, usize) {
        (self.permits.clone(), self.total_bytes)
    }

    /// Charges bytes, if the budget has room for them.
    pub fn try_charge(&self, bytes: usize) -> Option<MemoryCharge> {
        let permit = self.permits.clone().try_acquire_many_owned(u32::try_from(bytes).ok()?);
        permit.ok().map(|permit| MemoryCharge { _permit: permit })
    }

    /// Charges bytes once the budget has room for them; those who wait are served in their order.
    pub async fn charge(&self, bytes: usize) -> Option<MemoryCharge> {
        let permit = self.permits.clone().acquire_many_owned(u32::try_from(bytes).ok()?);
        permit.await.ok().map(|permit| MemoryCharge { _permit: permit })
    }
}

/// Data with the charge for it.
struct ChargedBytes {
    data: Bytes,
    _charge: MemoryCharge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl MemoryCharge {
    /// Data that stays charged until its last clone is dropped, wherever it is queued.
    pub fn attach(self, data: Bytes) -> Bytes {
        Bytes::from_owner(ChargedBytes { data, _charge: self })
    }
}

#[cfg(test)]
mod tests;
