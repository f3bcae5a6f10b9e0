//! The lease on the list, shared between who renews it (`discovery.rs`), who lays it over the list (`registry.rs`) and who asks
//! for it directly before a request is sent (`nodes/permission.rs`).

use crate::process::clock::Clock;
use flintwell_core::interface::Micros;
use flintwell_list_watch::{Basis, Lease};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Until when the list in hand may be acted on.
pub struct ListLease {
    clock: Clock,
    lease: Cell<Lease>,
    renewed: Notify,
}

impl ListLease {
    pub fn new(clock: Clock, lease: Lease) -> Rc<Self> {
        Rc::new(ListLease { clock, lease: Cell::new(lease), renewed: Notify::new() })
    }

    /// What discovery's watch says of it now.
    pub fn set(&self, lease: Lease) {
        if self.lease.replace(lease) != lease {
            self.renewed.notify_one();
        }
    }

    /// Whether a request may be sent by the list now.
    pub fn holds(&self) -> bool {
        self.lease.get().holds(self.clock.now())
    }

    /// On whose word it was renewed last.
    pub fn basis(&self) -> Basis {
        self.lease.get().basis()
    }

    /// How long ago the list was surely not older than discovery's own state.
    pub fn age(&self) -> Micros {
        self.lease.get().age(self.clock.now())
    }

    /// For how long it has been over; not positive while it holds.
    pub fn over_for(&self) -> Micros {
        self.clock.now() - self.lease.get().ends_at()
    }

    /// Returns when it may have ended, or was changed.
    pub async fn changes(&self) {
        let ends = self.clock.instant(self.lease.get().ends_at());
        let holds = self.holds();
        tokio::select! {
            // Danger: it may also get shorter, when the first call of a process fails.
            () = self.renewed.notified() => {}
            () = sleep_until(ends), if holds => {}
        }
    }
}
