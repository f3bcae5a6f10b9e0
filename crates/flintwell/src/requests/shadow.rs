//! Shadow mode: runs a second decision module with other settings beside the deciding one.
//!
//! The second module sees the same events, but its decisions have no effect. Each request on which it would have decided
//! differently is counted once, by the kind of the first difference. After that, it only learns from the request's outcomes.

use crate::log_line;
use flintwell_core::interface::{
    IncomingRequest, AttemptStatus, NodeEntry, Host, ListUpdateKind, Micros, NodeId, AttemptOutcome, RequestId, Settings,
};
use flintwell_core::policy::Policy;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;

const TELL_EVERY: Duration = Duration::from_secs(60); // between log lines with the counts, if they changed

/// A decision on a request.
#[derive(Clone, PartialEq)]
pub enum Move {
    Attempt(NodeId),
    Refuse,
    Fail,
}

/// Requests on which the other settings would have decided differently, by kind.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub struct Counts {
    pub requests: u64,
    pub another_cache: u64,
    /// The origin instead of a cache, or a cache instead of the origin.
    pub origin_or_cache: u64,
    /// Refused or failed instead of attempted.
    pub given_up: u64,
    /// Attempted instead of refused or failed.
    pub attempted: u64,
    /// Refused instead of failed or the reverse, held longer, or held for less time.
    pub held_or_told: u64,
}

impl Counts {
    /// Number of requests with any difference.
    pub fn otherwise(&self) -> u64 {
        self.another_cache + self.origin_or_cache + self.given_up + self.attempted + self.held_or_told
    }
}

/// The decisions of both modules on one request.
#[derive(Default)]
struct Pair {
    ours: Vec<Move>,
    others: Vec<Move>,
    differs: bool,
}

type Pairs = Rc<RefCell<HashMap<RequestId, Pair>>>;

/// The shadow module's host: it records decisions and does nothing else.
struct Notes(Pairs);

impl Notes {
    fn note(&self, request: &RequestId, said: Move) {
        if let Some(pair) = self.0.borrow_mut().get_mut(request).filter(|pair| !pair.differs) {
            pair.others.push(said);
        }
    }
}

impl Host for Notes {
    fn start_attempt(&mut self, request: &RequestId, node: &NodeId, _: Micros) {
        self.note(request, Move::Attempt(node.clone()));
    }
    fn refuse(&mut self, request: &RequestId, _: Micros) {
        self.note(request, Move::Refuse);
    }
    fn fail(&mut self, request: &RequestId) {
        self.note(request, Move::Fail);
    }
    fn close_idle(&mut self, _: &NodeId) {}
    fn set_timer(&mut self, _: u64, _: Micros) {}
    fn subscribe_to_list(&mut self) {}
}

/// Runs the shadow module and compares its decisions with those in effect.
pub struct ShadowPolicy {
    other: RefCell<Option<Policy<Notes>>>,
    pairs: Pairs,
    origin_kind: Option<u32>,
    origins: RefCell<HashSet<NodeId>>,
    counts: Cell<Counts>,
}

impl ShadowPolicy {
    pub fn new(now: Micros, settings: Settings, seed: u64) -> Self {
        let (pairs, origin_kind) = (Pairs::default(), settings.origin_kind);
        let other = RefCell::new(Some(Policy::new(now, settings, seed, Notes(pairs.clone()))));
        ShadowPolicy { other, pairs, origin_kind, origins: RefCell::default(), counts: Cell::default() }
    }

    /// The counts so far.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Calls the shadow module. A fault in it must not affect any request, so a panic ends shadow mode and nothing else.
    fn other(&self, call: impl FnOnce(&mut Policy<Notes>)) {
        let mut other = self.other.borrow_mut();
        let Some(policy) = other.as_mut() else { return };
        if catch_unwind(AssertUnwindSafe(|| call(policy))).is_err() {
            *other = None;
            self.pairs.borrow_mut().clear();
            log_line!("shadow policy panicked; shadow mode is off until restart");
        }
    }

    #[cfg(test)]
    pub fn fails(&self) {
        self.other(|_| panic!("as a test"));
    }

    /// Passes a list, or changes to it, to the shadow module.
    pub fn list(&self, now: Micros, kind: ListUpdateKind, entries: Vec<NodeEntry>) {
        let origins = entries.iter().filter(|entry| Some(entry.kind) == self.origin_kind);
        self.origins.borrow_mut().extend(origins.map(|entry| entry.node.clone()));
        self.other(|other| other.on_list_update(now, kind, entries));
    }

    /// Passes a timer call to the shadow module.
    pub fn timer(&self, now: Micros, label: u64) {
        self.other(|other| other.on_timer(now, label));
    }

    /// A request is about to be passed to the deciding module.
    pub fn expects(&self, request: &RequestId) {
        if self.other.borrow().is_some() {
            self.pairs.borrow_mut().insert(request.clone(), Pair::default());
        }
    }

    /// Records a decision of the deciding module.
    pub fn decided(&self, request: &RequestId, said: Move) {
        if let Some(pair) = self.pairs.borrow_mut().get_mut(request) {
            pair.ours.push(said);
        }
    }

    /// Passes a request to the shadow module.
    pub fn arrives(&self, now: Micros, arrival: IncomingRequest) {
        let id = arrival.id.clone();
        self.other(|other| other.on_request(now, arrival));
        self.compare(now, &id);
    }

    /// Passes the outcome of an attempt to the shadow module.
    pub fn outcome(&self, now: Micros, id: &RequestId, node: &NodeId, outcome: AttemptOutcome) {
        self.compare(now, id);
        self.other(|other| other.on_attempt_outcome(now, id, node, outcome));
    }

    /// The client of a request is gone.
    pub fn gone(&self, now: Micros, id: &RequestId) {
        self.compare(now, id);
        self.other(|other| other.on_request_closed(now, id));
    }

    /// A request is over; its remaining difference is counted.
    pub fn over(&self, now: Micros, id: &RequestId) {
        self.compare(now, id);
        let Some(pair) = self.pairs.borrow_mut().remove(id) else { return };
        let mut counts = self.counts.get();
        counts.requests += 1;
        if !pair.differs && pair.ours.len() != pair.others.len() {
            counts.held_or_told += 1;
            self.leave(now, id, &pair.others);
        }
        self.counts.set(counts);
    }

    /// Counts the first difference between the decisions and withdraws the request from the shadow module.
    fn compare(&self, now: Micros, id: &RequestId) {
        let mut pairs = self.pairs.borrow_mut();
        let Some(pair) = pairs.get_mut(id).filter(|pair| !pair.differs) else { return };
        let Some((ours, other)) = pair.ours.iter().zip(&pair.others).find(|(ours, other)| ours != other)
        else {
            return;
        };
        let mut counts = self.counts.get();
        let of_origin = |node: &NodeId| self.origins.borrow().contains(node);
        *match (ours, other) {
            (Move::Attempt(a), Move::Attempt(b)) if of_origin(a) == of_origin(b) => &mut counts.another_cache,
            (Move::Attempt(_), Move::Attempt(_)) => &mut counts.origin_or_cache,
            (Move::Attempt(_), _) => &mut counts.given_up,
            (_, Move::Attempt(_)) => &mut counts.attempted,
            _ => &mut counts.held_or_told,
        } += 1;
        self.counts.set(counts);
        pair.differs = true;
        let others = std::mem::take(&mut pair.others);
        drop(pairs);
        self.leave(now, id, &others);
    }

    /// Withdraws the request from the shadow module and reports its attempt in flight, if any, as cancelled.
    fn leave(&self, now: Micros, id: &RequestId, others: &[Move]) {
        if let [earlier @ .., Move::Attempt(node)] = others {
            let (number, ending) = (earlier.len(), AttemptStatus::Cancelled);
            let outcome = AttemptOutcome { attempt_index: number, status: ending, latency: 0, request_finished: true, first_on_connection: false };
            self.other(|other| other.on_attempt_outcome(now, id, node, outcome));
        }
        self.other(|other| other.on_request_closed(now, id));
    }

    /// Logs the counts at intervals.
    pub async fn log_counts(&self) {
        let mut told = Counts::default();
        loop {
            tokio::time::sleep(TELL_EVERY).await;
            let counts = self.counts();
            if std::mem::replace(&mut told, counts) != counts {
                log_line!("shadow policy: {} of {} requests decided differently: {counts:?}", counts.otherwise(), counts.requests);
            }
        }
    }
}
