//! Status of the current node list: its version, its age and the basis of its lease. Changes are logged, and
//! `GET /api/list` of the management API returns it.

use crate::fleet::lease::ListLease;
use crate::log_line;
use flintwell_core::interface::Micros;
use flintwell_list_watch::{Basis, Lease};
use flintwell_settings::node_list::NodeList;
use serde::Serialize;
use std::cell::Cell;
use std::rc::Rc;

/// Where the list at process start came from.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListSource {
    Configuration,
    /// The folder in which an earlier process of this proxy stored it.
    Folder,
}

/// The state of the list over the life of the process; times are of the process's clock.
pub struct ListStatus {
    lease: Rc<ListLease>,
    started_at: Micros,
    source: ListSource,
    version: Cell<u64>,
    first_call_at: Cell<Option<Micros>>,
    first_answer_at: Cell<Option<Micros>>,
    basis: Cell<Option<Basis>>,
}

/// The response to `GET /api/list`; durations in seconds.
#[derive(Serialize)]
pub struct ListReport {
    version: u64,
    /// Where the list at process start came from.
    source: ListSource,
    /// Whether the lease on the list is valid.
    in_force: bool,
    /// What the lease is based on.
    basis: String,
    /// Time since the list was last confirmed to be no older than discovery's; none if unknown.
    age_s: Option<f64>,
    /// Time from the start to the first call to discovery; none before it.
    first_call_s: Option<f64>,
    /// Time from the start to discovery's first response; none before it.
    first_answer_s: Option<f64>,
}

fn seconds(duration: Micros) -> f64 {
    duration as f64 / 1e6
}

impl ListStatus {
    /// Status of a process that starts with this list; logs the list.
    pub fn new(lease: Rc<ListLease>, now: Micros, source: ListSource, list: &NodeList) -> Rc<Self> {
        let (version, nodes) = (list.version, list.len());
        let age = lease.age().map_or("age unknown".to_owned(), |age| format!("{:.3} s old", seconds(age)));
        log_line!("starting with node list {version}: {nodes} nodes, source {source:?}, {age}");
        let status = ListStatus {
            lease,
            started_at: now,
            source,
            version: Cell::new(version),
            first_call_at: Cell::default(),
            first_answer_at: Cell::default(),
            basis: Cell::default(),
        };
        Rc::new(status)
    }

    /// Records a call to discovery.
    pub fn on_call(&self, now: Micros) {
        if self.first_call_at.get().is_none() {
            self.first_call_at.set(Some(now));
            log_line!("discovery: first call {:.3} s after the start", seconds(now - self.started_at));
        }
    }

    /// Records a response of discovery, and the version of the list.
    pub fn on_answer(&self, now: Micros, version: u64) {
        self.version.set(version);
        if self.first_answer_at.get().is_none() {
            self.first_answer_at.set(Some(now));
            let after = seconds(now - self.started_at);
            log_line!("discovery: first response {after:.3} s after the start, list {version}");
        }
    }

    /// Logs a change of the lease's basis.
    pub fn on_lease_change(&self, lease: Lease) {
        if self.basis.replace(Some(lease.basis())) != Some(lease.basis()) {
            log_line!("lease on node list {} is now based on {:?}", self.version.get(), lease.basis());
        }
    }

    /// The current status.
    pub fn report(&self) -> ListReport {
        let since_start = |at: Micros| seconds(at - self.started_at);
        ListReport {
            version: self.version.get(),
            source: self.source,
            in_force: self.lease.is_valid(),
            basis: format!("{:?}", self.lease.basis()),
            age_s: self.lease.age().map(seconds),
            first_call_s: self.first_call_at.get().map(since_start),
            first_answer_s: self.first_answer_at.get().map(since_start),
        }
    }
}
