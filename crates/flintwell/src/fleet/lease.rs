//! The lease on the node list, shared between the discovery client, which renews it, the registry, which
//! applies its end to the list, and the final check before a request is sent.

use crate::process::clock::Clock;
use crate::process::counter::{Counter, increment};
use flintwell_core::interface::Micros;
use flintwell_list_watch::{Basis, Lease};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout};

// After the start, even without a valid lease: nine of ten proxies have to be ready within 10 s, at times
// within 6 s.
const MAX_READY_DELAY_US: Micros = 5_000_000;

/// How long the current node list may be used.
pub struct ListLease {
    clock: Clock,
    started_at: Micros,
    lease: Cell<Lease>,
    lease_changed: Notify,
    /// Whether the lease has ever been valid.
    was_valid: Cell<bool>,
    first_valid: Notify,
    /// Number of times that the lease has lapsed.
    lapses: Counter,
}

impl ListLease {
    pub fn new(clock: Clock, lease: Lease, lapses: Counter) -> Rc<Self> {
        let started_at = clock.now();
        Rc::new(ListLease {
            clock,
            started_at,
            lease: Cell::new(lease),
            lease_changed: Notify::new(),
            was_valid: Cell::new(lease.is_valid(started_at)),
            first_valid: Notify::new(),
            lapses,
        })
    }

    /// Sets the lease as the list watch has it now.
    pub fn set(&self, lease: Lease) {
        if self.lease.replace(lease) != lease {
            self.lease_changed.notify_one();
        }
        if self.is_valid() && !self.was_valid.replace(true) {
            self.first_valid.notify_waiters();
        }
    }

    /// Counts a lapse of the lease.
    pub fn count_lapse(&self) {
        increment(&self.lapses);
    }

    /// Waits until the lease has been valid once, for at most `max_wait`.
    pub async fn wait_until_first_valid(&self, max_wait: Duration) {
        let notified = self.first_valid.notified();
        if !self.was_valid.get() {
            // After a time-out the caller continues without a valid lease.
            let _ = timeout(max_wait, notified).await;
        }
    }

    /// Whether the proxy accepts clients: the lease has been valid once, or was waited for long enough.
    pub fn is_ready(&self) -> bool {
        self.was_valid.get() || self.clock.now() - self.started_at >= MAX_READY_DELAY_US
    }

    /// Whether requests may be sent according to the list now.
    pub fn is_valid(&self) -> bool {
        self.lease.get().is_valid(self.clock.now())
    }

    /// What the last renewal was based on.
    pub fn basis(&self) -> Basis {
        self.lease.get().basis()
    }

    /// Time since the list was last confirmed to be no older than discovery's own state; none if unknown.
    pub fn age(&self) -> Option<Micros> {
        self.lease.get().confirmed_at().map(|at| self.clock.now() - at)
    }

    /// When the list was last confirmed to be no older than discovery's own state; none if unknown.
    pub fn confirmed_at(&self) -> Option<Micros> {
        self.lease.get().confirmed_at()
    }

    /// Time since the lease ended; not positive while it is valid.
    pub fn expired_for(&self) -> Micros {
        -self.lease.get().remaining(self.clock.now())
    }

    /// Returns when the lease was changed or may have ended.
    pub async fn changed(&self) {
        let now = self.clock.now();
        let left = self.lease.get().remaining(now);
        let (end, is_valid) = (self.clock.instant_at(now + left), left > 0);
        tokio::select! {
            () = self.lease_changed.notified() => {}
            () = sleep_until(end), if is_valid => {}
        }
    }
}
