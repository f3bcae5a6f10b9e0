//! Until when a list may be acted on.
//!
//! A list is a lease. What discovery has and could tell counts as told [`TOLD`] later, whether or not it arrived. So an answer
//! vouches for the list for that long, from the moment at which it was surely not older than discovery's own state.

use crate::Micros;

/// From when discovery has a change and can be reached until it counts as told. Source: the operators' terms.
pub const TOLD: Micros = 6_000_000;

/// On whose word the list in hand may be acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// The process was given it at its start.
    Given,
    /// Discovery has answered.
    Answer,
    /// No connection to discovery came up, so nothing that it has counts.
    Unreachable,
    /// Discovery refused after some time, as one that is down behind a balancer does.
    LateRefusal,
    /// Discovery's address has changed.
    Moved,
}

/// The lease on the list in hand. What discovery changes after `renewed_at` may be unknown to us, and counts from the lease's
/// end on; the grace of a drain comes on top and is left for what is under way then.
///
/// A refusal after some time is in doubt: a discovery that is down behind a balancer says so, and so does one that has too many
/// callers. It puts off the lease's end by [`TOLD`] at most, however many there are, so a short outage stops nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// When discovery's state was known, or it could surely not be reached.
    sure_at: Micros,
    renewed_at: Micros,
    basis: Basis,
}

impl Lease {
    /// Of a process that begins with a list that it was given. It may act on that for `hold` while no call has failed (the
    /// protocol page's time to ask within), since a large fleet's first calls take discovery some time.
    pub fn begins(now: Micros, hold: Micros) -> Self {
        Lease { sure_at: now, renewed_at: now + (hold - TOLD).max(0), basis: Basis::Given }
    }

    /// The first call has failed, and what holds after failed calls holds from now on.
    pub fn first_call_failed(&mut self) {
        self.renewed_at = self.sure_at;
    }

    /// Discovery's state as of `at` is known, or discovery could not be reached at `at`.
    pub fn renew(&mut self, at: Micros, basis: Basis) {
        self.sure_at = self.sure_at.max(at);
        if at > self.renewed_at {
            (self.renewed_at, self.basis) = (at, basis);
        }
    }

    /// Discovery may not have been reached at `at`.
    pub fn renew_in_doubt(&mut self, at: Micros) {
        let at = at.min(self.sure_at + TOLD);
        if at > self.renewed_at {
            (self.renewed_at, self.basis) = (at, Basis::LateRefusal);
        }
    }

    /// On whose word it was renewed last.
    pub fn basis(self) -> Basis {
        self.basis
    }

    /// How long ago the list was surely not older than discovery's own state.
    pub fn age(self, now: Micros) -> Micros {
        now - self.sure_at
    }

    /// From when on nothing may be sent by this list.
    pub fn ends_at(self) -> Micros {
        self.renewed_at + TOLD
    }

    /// Whether a request may be sent by this list now.
    pub fn holds(self, now: Micros) -> bool {
        now < self.ends_at()
    }
}
