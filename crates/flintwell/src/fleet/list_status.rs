//! What is known of the server list in hand: which it is, how old, and on whose word requests are sent by it. Logged as it
//! changes, and told at the second address.

use crate::fleet::lease::ListLease;
use crate::log_line;
use flintwell_core::interface::Micros;
use flintwell_list_watch::{Basis, Lease};
use flintwell_settings::listing::Listing;
use serde::Serialize;
use std::cell::Cell;
use std::rc::Rc;

/// Where the list came from that the process began with.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    Configuration,
    /// The folder in which an earlier process of this proxy left it.
    Folder,
}

/// The list's state over the life of the process; times by the process's clock.
pub struct ListStatus {
    lease: Rc<ListLease>,
    started_at: Micros,
    source: Source,
    version: Cell<u64>,
    first_call_at: Cell<Option<Micros>>,
    first_answer_at: Cell<Option<Micros>>,
    basis: Cell<Option<Basis>>,
}

/// What `GET /api/list` tells; spans are in seconds.
#[derive(Serialize)]
pub struct ListFigures {
    version: u64,
    /// Where the list of the start came from.
    source: Source,
    /// Whether requests may be sent by the list now.
    in_force: bool,
    /// On whose word.
    basis: String,
    /// How long ago discovery surely had no newer one; none if nobody knows.
    age_s: Option<f64>,
    /// From the start to the first call of discovery, and to its first answer; none if that has not come.
    first_call_s: Option<f64>,
    first_answer_s: Option<f64>,
}

fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

impl ListStatus {
    /// Of a process that begins with this list.
    pub fn start(lease: Rc<ListLease>, now: Micros, source: Source, list: &Listing) -> Rc<Self> {
        let (version, servers) = (list.version, list.len());
        let age = lease.age().map_or("of unknown age".to_owned(), |age| format!("{:.3} s old", seconds(age)));
        log_line!("begins with list {version} of {servers} servers from the {source:?}, {age}");
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

    /// Discovery is called at `now`.
    pub fn called(&self, now: Micros) {
        if self.first_call_at.get().is_none() {
            self.first_call_at.set(Some(now));
            log_line!("discovery: first call, {:.3} s after the start", seconds(now - self.started_at));
        }
    }

    /// Discovery has answered, and the list is of this version.
    pub fn answered(&self, now: Micros, version: u64) {
        self.version.set(version);
        if self.first_answer_at.get().is_none() {
            self.first_answer_at.set(Some(now));
            let after = seconds(now - self.started_at);
            log_line!("discovery: first answer, {after:.3} s after the start: list {version}");
        }
    }

    /// The lease is this from now on.
    pub fn leased(&self, lease: Lease) {
        if self.basis.replace(Some(lease.basis())) != Some(lease.basis()) {
            log_line!("list {} is acted on by {:?}", self.version.get(), lease.basis());
        }
    }

    pub fn figures(&self) -> ListFigures {
        let since_start = |at: Micros| seconds(at - self.started_at);
        ListFigures {
            version: self.version.get(),
            source: self.source,
            in_force: self.lease.holds(),
            basis: format!("{:?}", self.lease.basis()),
            age_s: self.lease.age().map(seconds),
            first_call_s: self.first_call_at.get().map(since_start),
            first_answer_s: self.first_answer_at.get().map(since_start),
        }
    }
}
