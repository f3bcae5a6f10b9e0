//! Ids of requests that may have run and must not run again, for as long as one may come a second time.
//!
//! A client that left without a response may send its request again under the same id. The request itself is no longer known
//! then, and an unsafe one would take effect twice.

use crate::requests::id_hash::IdHash;
use flintwell_core::interface::Micros;
use std::collections::{BTreeSet, HashMap};

const MAX_IDS: usize = 4_096; // the oldest are forgotten beyond
/// How long an id is remembered; far longer than a client waits.
pub const RETENTION_US: Micros = 60_000_000;

/// Recently used ids.
#[derive(Default)]
pub struct UsedIds {
    /// When each id was used last.
    used_at: HashMap<IdHash, Micros>,
    /// Ids in the order in which they were used.
    order: BTreeSet<(Micros, IdHash)>,
}

impl UsedIds {
    /// Records that the request with this id may run from `now` on.
    pub fn insert(&mut self, id: IdHash, now: Micros) {
        self.remove(id);
        self.forget_old(now);
        self.used_at.insert(id, now);
        self.order.insert((now, id));
    }

    /// Records that the request has not run after all.
    pub fn remove(&mut self, id: IdHash) {
        if let Some(at) = self.used_at.remove(&id) {
            self.order.remove(&(at, id));
        }
    }

    /// Whether a request with this id may have run.
    pub fn contains(&mut self, id: IdHash, now: Micros) -> bool {
        self.forget_old(now);
        self.used_at.contains_key(&id)
    }

    /// The ids that are remembered.
    pub fn all(&self) -> Vec<IdHash> {
        self.used_at.keys().copied().collect()
    }

    fn forget_old(&mut self, now: Micros) {
        while let Some(&(at, id)) = self.order.first()
            && (self.order.len() >= MAX_IDS || now - at > RETENTION_US)
        {
            self.remove(id);
        }
    }
}

#[cfg(test)]
mod tests;
