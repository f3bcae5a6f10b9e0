//! Until when a list may be used.
//!
//! A list is held under a lease. A change at discovery takes effect [`MAX_PROPAGATION_US`] after discovery
//! has it and can be reached, whether or not the proxy has received it. So a list may be used for that long
//! from the last moment at which it was certainly as recent as discovery's own state. That moment is never
//! when the list was received or read from a file, or when the process started.

use crate::Micros;

/// Time from when discovery has a change and can be reached until the change takes effect for every proxy.
/// Specified by the operators.
pub const MAX_PROPAGATION_US: Micros = 6_000_000;

/// Why the current list may be used. The variants' names appear in the list status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// It may not: its age is unknown.
    Unconfirmed,
    /// An earlier process of this proxy had it confirmed and stored it with its age.
    Kept,
    /// Discovery answered.
    Answer,
    /// No connection to discovery could be established, so changes there do not take effect yet.
    Unreachable,
    /// A call was refused after a while, as by a load balancer whose discovery is down.
    LateRefusal,
}

/// The lease on the current list. Changes at discovery after `renewed_at` may be unknown to this proxy and
/// take effect from the lease's end on; the drain grace is added to that and is reserved for requests in flight.
///
/// A refusal after a while is ambiguous: it may come from a load balancer whose discovery is down, or from an
/// overloaded discovery. Such refusals extend the lease by at most [`MAX_PROPAGATION_US`] in total, so that a
/// short outage does not stop traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// When the list was last known to be as recent as discovery's state, or discovery was certainly
    /// unreachable; `None` for a list of unknown age.
    confirmed_at: Option<Micros>,
    /// Start of the current lease; `None` if the list was never valid.
    renewed_at: Option<Micros>,
    basis: Basis,
}

impl Lease {
    /// Lease of a process that starts with a list of unknown age.
    ///
    /// Danger: the list is at least as old as the process was down, and changes made meanwhile may already be
    /// in effect when it starts. Such a list is therefore not valid until discovery confirms it
    /// or is certainly unreachable.
    pub fn unconfirmed() -> Self {
        Lease { confirmed_at: None, renewed_at: None, basis: Basis::Unconfirmed }
    }

    /// Lease of a process that starts at `now` with a list that an earlier process had confirmed at
    /// `confirmed_at`.
    pub fn restored(now: Micros, confirmed_at: Micros) -> Self {
        if confirmed_at > now {
            return Lease::unconfirmed();
        }
        let confirmed_at = Some(confirmed_at);
        Lease { confirmed_at, renewed_at: confirmed_at, basis: Basis::Kept }
    }

    /// Renews the lease from `at`, when discovery's state was known or discovery was certainly unreachable.
    pub fn renew(&mut self, at: Micros, basis: Basis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        self.renew_from(at, basis);
    }

    /// Renews the lease from `at`, when discovery may have been unreachable, as a late refusal suggests.
    pub fn renew_after_late_refusal(&mut self, at: Micros) {
        // Danger: the age of a list that was never confirmed is unknown, so an ambiguous refusal must not
        // make it valid.
        if let Some(confirmed_at) = self.confirmed_at {
            self.renew_from(at.min(confirmed_at + MAX_PROPAGATION_US), Basis::LateRefusal);
        }
    }

    fn renew_from(&mut self, at: Micros, basis: Basis) {
        if self.renewed_at.is_none_or(|renewed_at| at > renewed_at) {
            (self.renewed_at, self.basis) = (Some(at), basis);
        }
    }

    /// Why the lease was last renewed.
    pub fn basis(self) -> Basis {
        self.basis
    }

    /// When the list was last certainly as recent as discovery's state; `None` if unknown.
    pub fn confirmed_at(self) -> Option<Micros> {
        self.confirmed_at
    }

    /// When the lease expires; `None` if the list was never valid.
    pub fn expires_at(self) -> Option<Micros> {
        self.renewed_at.map(|renewed_at| renewed_at + MAX_PROPAGATION_US)
    }

    /// Time until the lease expires; zero or negative once it has expired or if the list was never valid.
    pub fn remaining(self, now: Micros) -> Micros {
        self.expires_at().map_or(0, |expires_at| expires_at - now)
    }

    /// Whether requests may be sent by this list now.
    pub fn is_valid(self, now: Micros) -> bool {
        self.remaining(now) > 0
    }
}
