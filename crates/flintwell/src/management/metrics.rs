//! Metrics of this process, as reported by the management API.

use crate::clients::close_reason::CloseReason;
use crate::memory::resident::ResidentMemory;
use crate::nodes::reuse::{ReuseMonitor, ReuseReport};
use crate::nodes::send_guard::Violations;
use crate::process::counter::{Counter, increment};
use flintwell_core::interface::{AttemptStatus, Micros};
use flintwell_rollout::wire::{self, encode_histogram, new_latency_histogram};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

const BYTES_PER_KB: u64 = 1_024;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Served,
    Refused,
    Failed,
}

impl RequestOutcome {
    /// Outcome of a streamed response that was relayed completely or broken off.
    pub fn of_relay(completed: bool) -> Self {
        if completed { RequestOutcome::Served } else { RequestOutcome::Failed }
    }
}

/// Requests of one class, by outcome.
#[derive(Default)]
struct OutcomeCounts {
    served: Cell<u64>,
    refused: Cell<u64>,
    failed: Cell<u64>,
}

/// Counters since the start of the process. Every configured class is present from the start, with zeros.
pub struct Metrics {
    classes: RefCell<Vec<(String, Rc<OutcomeCounts>)>>,
    /// Response times, recorded only if the configuration has a `rollout` section.
    latencies: Option<RefCell<Histogram<u64>>>,
    in_flight: Counter,
    /// Attempts at cache nodes whose request was written completely.
    pub cache_attempts: Counter,
    /// Attempts at the origin.
    pub origin_attempts: Counter,
    /// Attempts that the origin refused because it was full.
    pub origin_refusals: Counter,
    /// Requests sent although a rule forbade it.
    pub violations: Violations,
    /// How often the lease on the node list lapsed.
    pub list_lapses: Counter,
    /// Requests refused because no memory was left for their bodies.
    pub requests_without_memory: Counter,
    /// Requests that were not served because no memory was left for their long responses.
    pub responses_without_memory: Counter,
    /// Connections to nodes and discovery.
    pub connections: Rc<ReuseMonitor>,
    /// Ends of attempts, by status.
    attempt_ends: RefCell<BTreeMap<&'static str, u64>>,
    /// Closed client connections, by reason.
    closed_connections: RefCell<BTreeMap<&'static str, u64>>,
}

/// Counts a request as in flight until dropped.
pub struct InFlightGuard(Counter);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Response body of `/api/telemetry`; the operators' tools expect these field names.
#[derive(Serialize)]
pub struct Telemetry {
    passed: BTreeMap<String, u64>,
    dropped: BTreeMap<String, u64>,
    bad_gateway: BTreeMap<String, u64>,
    upstream_tries: u64,
    in_progress: u64,
    known_cache_nodes: usize,
    skipped_cache_nodes: usize,
}

/// Response body of `/api/violations`: conditions that should not occur. Separate from `/api/telemetry`, whose format
/// is fixed by the operators.
#[derive(Serialize)]
pub struct ViolationsReport {
    /// How often the lease on the node list lapsed.
    list_lapses: u64,
    /// Requests sent although a rule forbade it, by rule.
    violations: BTreeMap<&'static str, u64>,
}

/// Response body of `/api/connections`.
#[derive(Serialize)]
pub struct ConnectionsReport {
    #[serde(flatten)]
    reuse: ReuseReport,
    /// How attempts have ended, by status.
    attempts: BTreeMap<&'static str, u64>,
}

impl Metrics {
    pub fn new(classes: &[String], records_latency: bool) -> Rc<Self> {
        let metrics = Metrics {
            classes: RefCell::default(),
            latencies: records_latency.then(|| RefCell::new(new_latency_histogram())),
            in_flight: Counter::default(),
            cache_attempts: Counter::default(),
            origin_attempts: Counter::default(),
            origin_refusals: Counter::default(),
            violations: Violations::default(),
            list_lapses: Counter::default(),
            requests_without_memory: Counter::default(),
            responses_without_memory: Counter::default(),
            connections: Rc::default(),
            attempt_ends: RefCell::default(),
            closed_connections: RefCell::default(),
        };
        metrics.add_classes(classes);
        Rc::new(metrics)
    }

    /// Adds the classes beyond those already present; existing classes keep their index.
    pub fn add_classes(&self, classes: &[String]) {
        let mut known = self.classes.borrow_mut();
        let more: Vec<_> =
            classes.iter().skip(known.len()).map(|class| (class.clone(), Rc::default())).collect();
        known.extend(more);
    }

    /// Records a response time, measured from the last byte of the request.
    pub fn record_latency(&self, time: Micros) {
        if let Some(latencies) = &self.latencies {
            latencies.borrow_mut().saturating_record(time.max(1) as u64);
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn start_request(&self) -> InFlightGuard {
        increment(&self.in_flight);
        InFlightGuard(self.in_flight.clone())
    }

    /// Counts the outcome of a request, by the index of its class.
    pub fn record_outcome(&self, class: usize, outcome: RequestOutcome) {
        let classes = self.classes.borrow();
        let Some((_, outcomes)) = classes.get(class) else { return };
        increment(match outcome {
            RequestOutcome::Served => &outcomes.served,
            RequestOutcome::Refused => &outcomes.refused,
            RequestOutcome::Failed => &outcomes.failed,
        });
    }

    /// Body of `/api/telemetry`, with the numbers of known and of avoided cache nodes.
    pub fn telemetry(&self, known: usize, skipped: usize) -> Telemetry {
        let classes = self.classes.borrow();
        let by_class = |count: fn(&OutcomeCounts) -> &Cell<u64>| {
            classes.iter().map(|(class, outcomes)| (class.clone(), count(outcomes).get())).collect()
        };
        Telemetry {
            passed: by_class(|outcomes| &outcomes.served),
            dropped: by_class(|outcomes| &outcomes.refused),
            bad_gateway: by_class(|outcomes| &outcomes.failed),
            upstream_tries: self.cache_attempts.get(),
            in_progress: self.in_flight.get(),
            known_cache_nodes: known,
            skipped_cache_nodes: skipped,
        }
    }

    /// Counts the end of an attempt.
    pub fn record_attempt_end(&self, status: AttemptStatus) {
        *self.attempt_ends.borrow_mut().entry(status.name()).or_default() += 1;
    }

    /// Counts a client connection that was closed.
    pub fn record_closed_connection(&self, reason: CloseReason) {
        *self.closed_connections.borrow_mut().entry(reason.name()).or_default() += 1;
    }

    /// Client connections that were closed, by reason.
    pub fn closed_connections(&self) -> BTreeMap<&'static str, u64> {
        self.closed_connections.borrow().clone()
    }

    /// Body of `/api/connections`.
    pub fn connections_report(&self) -> ConnectionsReport {
        ConnectionsReport { reuse: self.connections.report(), attempts: self.attempt_ends.borrow().clone() }
    }

    /// Body of `/api/violations`.
    pub fn violations_report(&self) -> ViolationsReport {
        ViolationsReport { list_lapses: self.list_lapses.get(), violations: self.violations.by_name() }
    }

    /// Metrics that a rollout compares between proxies.
    pub fn rollout_figures(&self, epoch: u64, started_ms: u64) -> wire::MemberCounters {
        let ends = |outcomes: &OutcomeCounts| wire::RequestCounts {
            served: outcomes.served.get(),
            refused: outcomes.refused.get(),
            failed: outcomes.failed.get(),
        };
        let classes = self.classes.borrow();
        wire::MemberCounters {
            epoch,
            started_ms,
            classes: classes.iter().map(|(class, outcomes)| (class.clone(), ends(outcomes))).collect(),
            attempts: self.cache_attempts.get(),
            origin_attempts: self.origin_attempts.get(),
            origin_refusals: self.origin_refusals.get(),
            memory_kb: ResidentMemory::read().map_or(0, |memory| memory.current_bytes / BYTES_PER_KB),
            latencies: self
                .latencies
                .as_ref()
                .map_or_else(String::new, |latencies| encode_histogram(&latencies.borrow())),
        }
    }
}
