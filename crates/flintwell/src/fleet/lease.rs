//! The lease on the list, shared between who renews it (`discovery.rs`), who lays it over the list (`registry.rs`) and who asks
//! for it directly before a request is sent (`nodes/permission.rs`).

use crate::process::clock::Clock;
use crate::process::counter::{Counter, increment};
use flintwell_core::interface::Micros;
use flintwell_list_watch::{Basis, Lease};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout};

const READY_ANYWAY: Micros = 5_000_000; // us after the start; the operators want nine in ten within 10 s, and within 6 at times

/// Until when the list in hand may be acted on.
pub struct ListLease {
    clock: Clock,
    started_at: Micros,
    lease: Cell<Lease>,
    renewed: Notify,
    /// Whether it ever held, and who waits for that.
    was_in_force: Cell<bool>,
    first_in_force: Notify,
    /// How often the list grew too old to act on.
    lapses: Counter,
}

impl ListLease {
    pub fn new(clock: Clock, lease: Lease, lapses: Counter) -> Rc<Self> {
        let started_at = clock.now();
        Rc::new(ListLease {
            clock,
            started_at,
            lease: Cell::new(lease),
            renewed: Notify::new(),
            was_in_force: Cell::new(lease.holds(started_at)),
            first_in_force: Notify::new(),
            lapses,
        })
    }

    /// What discovery's watch says of it now.
    pub fn set(&self, lease: Lease) {
        if self.lease.replace(lease) != lease {
            self.renewed.notify_one();
        }
        if self.holds() && !self.was_in_force.replace(true) {
            self.first_in_force.notify_waiters();
        }
    }

    /// The list has grown too old to act on.
    pub fn counts_lapse(&self) {
        increment(&self.lapses);
    }

    /// Returns once the list was in force for the first time, or after so long.
    pub async fn first_in_force(&self, most: Duration) {
        let notified = self.first_in_force.notified();
        if !self.was_in_force.get() {
            // Whoever has waited for so long goes on without it.
            let _ = timeout(most, notified).await;
        }
    }

    /// Whether clients may come: the list was in force, or has been waited for long enough.
    pub fn ready(&self) -> bool {
        self.was_in_force.get() || self.clock.now() - self.started_at >= READY_ANYWAY
    }

    /// Whether a request may be sent by the list now.
    pub fn holds(&self) -> bool {
        self.lease.get().holds(self.clock.now())
    }

    /// On whose word it was renewed last.
    pub fn basis(&self) -> Basis {
        self.lease.get().basis()
    }

    /// How long ago the list was surely not older than discovery's own state; none if that is not known.
    pub fn age(&self) -> Option<Micros> {
        self.lease.get().confirmed_at().map(|at| self.clock.now() - at)
    }

    /// When that was.
    pub fn confirmed_at(&self) -> Option<Micros> {
        self.lease.get().confirmed_at()
    }

    /// For how long it has been over; not positive while it holds.
    pub fn over_for(&self) -> Micros {
        -self.lease.get().left(self.clock.now())
    }

    /// Returns when it may have ended, or was changed.
    pub async fn changes(&self) {
        let now = self.clock.now();
        let left = self.lease.get().left(now);
        let (ends, holds) = (self.clock.instant_at(now + left), left > 0);
        tokio::select! {
            () = self.renewed.notified() => {}
            () = sleep_until(ends), if holds => {}
        }
    }
}
