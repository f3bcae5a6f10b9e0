//! Metrics of this process, as reported by the management API.

use crate::nodes::send_guard::Violations;
use crate::process::counter::{Counter, increment};
use flintwell_core::interface::Micros;
use flintwell_rollout::wire::{self, encode_times, new_times};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Served,
    Refused,
    Failed,
}

impl RequestOutcome {
    /// Outcome of a streamed response that was relayed completely or broken off.
    pub fn of_relay(whole: bool) -> Self {
        if whole { RequestOutcome::Served } else { RequestOutcome::Failed }
    }
}

/// Requests of one class, by outcome.
#[derive(Default)]
struct Ended {
    served: Cell<u64>,
    refused: Cell<u64>,
    failed: Cell<u64>,
}

/// Counters since the start of the process. Every configured class is present from the start, with zeros.
pub struct Metrics {
    cases: RefCell<Vec<(String, Rc<Ended>)>>,
    /// Response times, recorded only if the configuration has a `rollout` section.
    times: Option<RefCell<Histogram<u64>>>,
    in_hand: Counter,
    /// Attempts at cache nodes whose request was written completely.
    pub cache_attempts: Counter,
    /// Attempts at the origin.
    pub origin_attempts: Counter,
    /// Attempts that the origin refused because it was full.
    pub origin_refusals: Counter,
    /// Requests sent although a rule forbade it.
    pub violations: Violations,
    /// How often the lease on the server list lapsed.
    pub lapses: Counter,
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
pub struct Figures {
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
pub struct RuleFigures {
    /// How often the lease on the server list lapsed.
    list_lapses: u64,
    /// Requests sent although a rule forbade it, by rule.
    violations: BTreeMap<&'static str, u64>,
}

impl Metrics {
    pub fn new(cases: &[String], timed: bool) -> Rc<Self> {
        let counts = Metrics {
            cases: RefCell::default(),
            times: timed.then(|| RefCell::new(new_times())),
            in_hand: Counter::default(),
            cache_attempts: Counter::default(),
            origin_attempts: Counter::default(),
            origin_refusals: Counter::default(),
            violations: Violations::default(),
            lapses: Counter::default(),
        };
        counts.knows(cases);
        Rc::new(counts)
    }

    /// Adds the classes beyond those already present; existing classes keep their index.
    pub fn knows(&self, cases: &[String]) {
        let mut known = self.cases.borrow_mut();
        let more: Vec<_> = cases.iter().skip(known.len()).map(|case| (case.clone(), Rc::default())).collect();
        known.extend(more);
    }

    /// Records a response time, measured from the last byte of the request.
    pub fn record_latency(&self, time: Micros) {
        if let Some(times) = &self.times {
            times.borrow_mut().saturating_record(time.max(1) as u64);
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn start_request(&self) -> InFlightGuard {
        increment(&self.in_hand);
        InFlightGuard(self.in_hand.clone())
    }

    /// Counts the outcome of a request, by the index of its class.
    pub fn record_outcome(&self, case: usize, end: RequestOutcome) {
        let cases = self.cases.borrow();
        let Some((_, ended)) = cases.get(case) else { return };
        increment(match end {
            RequestOutcome::Served => &ended.served,
            RequestOutcome::Refused => &ended.refused,
            RequestOutcome::Failed => &ended.failed,
        });
    }

    /// Body of `/api/telemetry`, with the numbers of known and of avoided cache nodes.
    pub fn figures(&self, known: usize, skipped: usize) -> Figures {
        let cases = self.cases.borrow();
        let by = |count: fn(&Ended) -> &Cell<u64>| {
            cases.iter().map(|(case, ended)| (case.clone(), count(ended).get())).collect()
        };
        Figures {
            passed: by(|ended| &ended.served),
            dropped: by(|ended| &ended.refused),
            bad_gateway: by(|ended| &ended.failed),
            upstream_tries: self.cache_attempts.get(),
            in_progress: self.in_hand.get(),
            known_cache_nodes: known,
            skipped_cache_nodes: skipped,
        }
    }

    /// Body of `/api/violations`.
    pub fn rule_figures(&self) -> RuleFigures {
        RuleFigures { list_lapses: self.lapses.get(), violations: self.violations.by_name() }
    }

    /// Metrics that a rollout compares between proxies.
    pub fn compared(&self, epoch: u64, started_ms: u64) -> wire::Figures {
        let ends = |ended: &Ended| wire::Ends {
            served: ended.served.get(),
            refused: ended.refused.get(),
            failed: ended.failed.get(),
        };
        let cases = self.cases.borrow();
        wire::Figures {
            epoch,
            started_ms,
            cases: cases.iter().map(|(case, ended)| (case.clone(), ends(ended))).collect(),
            attempts: self.cache_attempts.get(),
            fetches: self.origin_attempts.get(),
            refused: self.origin_refusals.get(),
            memory_kb: memory_kb().unwrap_or(0),
            times: self.times.as_ref().map_or_else(String::new, |times| encode_times(&times.borrow())),
        }
    }
}

/// Resident set size of this process.
fn memory_kb() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
