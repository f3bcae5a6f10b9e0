//! Until when a list may be acted on.
//!
//! A list is a lease. What discovery has and could tell counts as told [`TOLD`] later, whether or not it arrived. So whoever
//! vouches for a list does so for that long, from the moment at which it was surely not older than discovery's own state. That
//! moment is never when the list was received, read from a file, or when the process began.

use crate::Micros;

/// From when discovery has a change and can be reached until it counts as told. Source: the operators' terms.
pub const TOLD: Micros = 6_000_000;

/// On whose word the list in hand may be acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// Nobody's: its age is not known.
    Unconfirmed,
    /// An earlier process of this proxy had it confirmed, and left it with its age.
    Kept,
    /// Discovery has answered.
    Answer,
    /// No connection to discovery came up, so nothing that it has counts.
    Unreachable,
    /// Discovery refused after some time, as one that is down behind a balancer does.
    LateRefusal,
}

/// The lease on the list in hand. What discovery changes after `renewed_at` may be unknown to us, and counts from the lease's
/// end on; the grace of a drain comes on top and is left for what is under way then.
///
/// A refusal after some time is in doubt: a discovery that is down behind a balancer says so, and so does one that has too many
/// callers. It puts off the lease's end by [`TOLD`] at most, however many there are, so a short outage stops nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// When discovery's state was known, or it could surely not be reached; none for a list of unknown age.
    confirmed_at: Option<Micros>,
    /// None: the list was never in force.
    renewed_at: Option<Micros>,
    basis: Basis,
}

impl Lease {
    /// Of a process that begins with a list of unknown age. Danger: it is as old as the process was dead at least, and
    /// what has changed meanwhile may count from its first moment on.
    pub fn unconfirmed() -> Self {
        Lease { confirmed_at: None, renewed_at: None, basis: Basis::Unconfirmed }
    }

    /// Of a process that begins at `now` with a list that was confirmed at `confirmed_at`, before it began.
    pub fn kept(now: Micros, confirmed_at: Micros) -> Self {
        if confirmed_at > now {
            return Lease::unconfirmed();
        }
        let confirmed_at = Some(confirmed_at);
        Lease { confirmed_at, renewed_at: confirmed_at, basis: Basis::Kept }
    }

    /// Discovery's state as of `at` is known, or discovery could not be reached at `at`.
    pub fn renew(&mut self, at: Micros, basis: Basis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        self.renew_from(at, basis);
    }

    /// Discovery may not have been reached at `at`.
    pub fn renew_in_doubt(&mut self, at: Micros) {
        // Danger: nobody knows how old a list is that was never confirmed.
        if let Some(confirmed_at) = self.confirmed_at {
            self.renew_from(at.min(confirmed_at + TOLD), Basis::LateRefusal);
        }
    }

    fn renew_from(&mut self, at: Micros, basis: Basis) {
        if self.renewed_at.is_none_or(|renewed_at| at > renewed_at) {
            (self.renewed_at, self.basis) = (Some(at), basis);
        }
    }

    /// On whose word it was renewed last.
    pub fn basis(self) -> Basis {
        self.basis
    }

    /// When the list was surely not older than discovery's own state; none if that is not known.
    pub fn confirmed_at(self) -> Option<Micros> {
        self.confirmed_at
    }

    /// From when on nothing may be sent by this list; none if nothing ever might.
    pub fn ends_at(self) -> Option<Micros> {
        self.renewed_at.map(|renewed_at| renewed_at + TOLD)
    }

    /// How much is left of it at `now`; not positive once it is over, or where it never held.
    pub fn left(self, now: Micros) -> Micros {
        self.ends_at().map_or(0, |ends_at| ends_at - now)
    }

    /// Whether a request may be sent by this list now.
    pub fn holds(self, now: Micros) -> bool {
        self.left(now) > 0
    }
}
