//! Shadow mode: runs a second policy with other settings beside the active one.
//!
//! The second policy sees the same events, but its decisions have no effect. Each request on which it would have
//! decided differently is counted once, by the kind of the first difference. After that, it only learns from the
//! request's outcomes.

use crate::log_line;
use flintwell_core::interface::{
    AttemptLimits, AttemptOutcome, AttemptStatus, Host, IncomingRequest, ListUpdateKind, Micros, NodeEntry,
    NodeId, RequestId, Settings,
};
use flintwell_core::policy::Policy;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;

const LOG_INTERVAL: Duration = Duration::from_secs(60); // between log lines with the counts, if they changed

/// A decision on a request.
#[derive(Clone, PartialEq)]
pub enum Decision {
    Attempt(NodeId),
    Refuse,
    Fail,
}

/// Requests on which the other settings would have decided differently, by kind. The log line of the counts prints
/// the field names, and operators read them there, so they must not change.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub struct ShadowCounts {
    pub requests: u64,
    pub another_cache: u64,
    /// The origin instead of a cache, or a cache instead of the origin.
    pub origin_or_cache: u64,
    /// Refused or failed instead of attempted.
    pub given_up: u64,
    /// Attempted instead of refused or failed.
    pub handed_off: u64,
    /// Refused instead of failed or the reverse, held longer, or held for less time.
    pub held_or_told: u64,
}

impl ShadowCounts {
    /// Number of requests with any difference.
    pub fn differing(&self) -> u64 {
        self.another_cache + self.origin_or_cache + self.given_up + self.handed_off + self.held_or_told
    }
}

/// The decisions of both policies on one request.
#[derive(Default)]
struct DecisionPair {
    actual: Vec<Decision>,
    shadow: Vec<Decision>,
    differs: bool,
}

type DecisionPairs = Rc<RefCell<HashMap<RequestId, DecisionPair>>>;

/// The shadow policy's host: it records decisions and does nothing else.
struct DecisionRecorder(DecisionPairs);

impl DecisionRecorder {
    fn record(&self, request: &RequestId, decision: Decision) {
        if let Some(pair) = self.0.borrow_mut().get_mut(request).filter(|pair| !pair.differs) {
            pair.shadow.push(decision);
        }
    }
}

impl Host for DecisionRecorder {
    fn start_attempt(&mut self, request: &RequestId, node: &NodeId, _: AttemptLimits) {
        self.record(request, Decision::Attempt(node.clone()));
    }
    fn refuse_request(&mut self, request: &RequestId, _: Micros) {
        self.record(request, Decision::Refuse);
    }
    fn fail_request(&mut self, request: &RequestId) {
        self.record(request, Decision::Fail);
    }
    fn close_idle(&mut self, _: &NodeId) {}
    fn set_timer(&mut self, _: u64, _: Micros) {}
    fn subscribe_to_list(&mut self) {}
}

/// Runs the shadow policy and compares its decisions with those in effect.
pub struct ShadowPolicy {
    policy: RefCell<Option<Policy<DecisionRecorder>>>,
    pairs: DecisionPairs,
    origin_kind: Option<u32>,
    origins: RefCell<HashSet<NodeId>>,
    counts: Cell<ShadowCounts>,
}

impl ShadowPolicy {
    /// Starts a shadow policy with these settings.
    pub fn new(now: Micros, settings: Settings, seed: u64) -> Self {
        let (pairs, origin_kind) = (DecisionPairs::default(), settings.origin_kind);
        let policy = RefCell::new(Some(Policy::new(now, settings, seed, DecisionRecorder(pairs.clone()))));
        ShadowPolicy { policy, pairs, origin_kind, origins: RefCell::default(), counts: Cell::default() }
    }

    /// The counts so far.
    pub fn counts(&self) -> ShadowCounts {
        self.counts.get()
    }

    /// Calls the shadow policy. A fault in it must not affect any request, so a panic only ends shadow mode.
    fn call(&self, call: impl FnOnce(&mut Policy<DecisionRecorder>)) {
        let mut slot = self.policy.borrow_mut();
        let Some(policy) = slot.as_mut() else { return };
        if catch_unwind(AssertUnwindSafe(|| call(policy))).is_err() {
            *slot = None;
            self.pairs.borrow_mut().clear();
            log_line!("shadow policy panicked; shadow mode is off until restart");
        }
    }

    #[cfg(test)]
    pub fn panic_once(&self) {
        self.call(|_| panic!("as a test"));
    }

    /// Passes a list, or changes to it, to the shadow policy.
    pub fn on_list_update(&self, now: Micros, kind: ListUpdateKind, entries: Vec<NodeEntry>) {
        let origins = entries.iter().filter(|entry| Some(entry.kind) == self.origin_kind);
        self.origins.borrow_mut().extend(origins.map(|entry| entry.node.clone()));
        self.call(|policy| policy.on_list_update(now, kind, entries));
    }

    /// Passes a timer call to the shadow policy.
    pub fn on_timer(&self, now: Micros, label: u64) {
        self.call(|policy| policy.on_timer(now, label));
    }

    /// A request is about to be passed to the active policy.
    pub fn expect_request(&self, request: &RequestId) {
        if self.policy.borrow().is_some() {
            self.pairs.borrow_mut().insert(request.clone(), DecisionPair::default());
        }
    }

    /// Records a decision of the active policy.
    pub fn record_actual(&self, request: &RequestId, decision: Decision) {
        if let Some(pair) = self.pairs.borrow_mut().get_mut(request) {
            pair.actual.push(decision);
        }
    }

    /// Passes a request to the shadow policy.
    pub fn on_request(&self, now: Micros, request: IncomingRequest) {
        let id = request.id.clone();
        self.call(|policy| policy.on_request(now, request));
        self.compare(now, &id);
    }

    /// Passes the outcome of an attempt to the shadow policy.
    pub fn on_attempt_outcome(&self, now: Micros, id: &RequestId, node: &NodeId, outcome: AttemptOutcome) {
        self.compare(now, id);
        self.call(|policy| policy.on_attempt_outcome(now, id, node, outcome));
    }

    /// The client of a request is gone.
    pub fn on_request_closed(&self, now: Micros, id: &RequestId) {
        self.compare(now, id);
        self.call(|policy| policy.on_request_closed(now, id));
    }

    /// A request is over; its remaining difference is counted.
    pub fn finish_request(&self, now: Micros, id: &RequestId) {
        self.compare(now, id);
        let Some(pair) = self.pairs.borrow_mut().remove(id) else { return };
        let mut counts = self.counts.get();
        counts.requests += 1;
        if !pair.differs && pair.actual.len() != pair.shadow.len() {
            counts.held_or_told += 1;
            self.withdraw(now, id, &pair.shadow);
        }
        self.counts.set(counts);
    }

    /// Counts the first difference between the decisions and withdraws the request from the shadow policy.
    fn compare(&self, now: Micros, id: &RequestId) {
        let mut pairs = self.pairs.borrow_mut();
        let Some(pair) = pairs.get_mut(id).filter(|pair| !pair.differs) else { return };
        let Some((actual, shadow)) =
            pair.actual.iter().zip(&pair.shadow).find(|(actual, shadow)| actual != shadow)
        else {
            return;
        };
        let mut counts = self.counts.get();
        let is_origin = |node: &NodeId| self.origins.borrow().contains(node);
        *match (actual, shadow) {
            (Decision::Attempt(a), Decision::Attempt(b)) if is_origin(a) == is_origin(b) => {
                &mut counts.another_cache
            }
            (Decision::Attempt(_), Decision::Attempt(_)) => &mut counts.origin_or_cache,
            (Decision::Attempt(_), _) => &mut counts.given_up,
            (_, Decision::Attempt(_)) => &mut counts.handed_off,
            _ => &mut counts.held_or_told,
        } += 1;
        self.counts.set(counts);
        pair.differs = true;
        let shadow = std::mem::take(&mut pair.shadow);
        drop(pairs);
        self.withdraw(now, id, &shadow);
    }

    /// Withdraws the request from the shadow policy and reports its attempt in flight, if any, as cancelled.
    fn withdraw(&self, now: Micros, id: &RequestId, shadow: &[Decision]) {
        if let [earlier @ .., Decision::Attempt(node)] = shadow {
            let (attempt_index, status) = (earlier.len(), AttemptStatus::Cancelled);
            let outcome = AttemptOutcome {
                attempt_index,
                status,
                latency: 0,
                request_finished: true,
                first_on_connection: false,
            };
            self.call(|policy| policy.on_attempt_outcome(now, id, node, outcome));
        }
        self.call(|policy| policy.on_request_closed(now, id));
    }

    /// Logs the counts at intervals.
    pub async fn log_counts(&self) {
        let mut logged = ShadowCounts::default();
        loop {
            tokio::time::sleep(LOG_INTERVAL).await;
            let counts = self.counts();
            if std::mem::replace(&mut logged, counts) != counts {
                log_line!(
                    "shadow policy: {} of {} requests decided differently: {counts:?}",
                    counts.differing(),
                    counts.requests
                );
            }
        }
    }
}
