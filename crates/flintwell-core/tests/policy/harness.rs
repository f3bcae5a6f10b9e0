//! Simulated host for the policy. It records every attempt and checks each action of the policy against a
//! reference model of the rules, from these records alone.

use flintwell_core::interface::*;
use flintwell_core::policy::Policy;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// Node kind of the origin in `entry`.
pub const ORIGIN_KIND: u32 = 1;

/// One attempt.
pub struct AttemptRecord {
    pub node: NodeId,
    pub started_at: Micros,
    pub times_out_at: Micros,
    /// `None` while the attempt is in flight.
    pub status: Option<AttemptStatus>,
}

/// One request with its attempts.
pub struct RequestRecord {
    /// Class and maximum number of attempts when the request arrived.
    pub class: Class,
    pub max_attempts: usize,
    pub deadline: Micros,
    pub attempts: Vec<AttemptRecord>,
    pub final_answer: Option<&'static str>,
}

/// State of the simulated host.
#[derive(Default)]
pub struct HostState {
    pub now: Micros,
    pub classes: Vec<Class>,
    pub max_attempts: usize,
    pub nodes: BTreeMap<NodeId, NodeEntry>,
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// Due times and labels of the pending timers.
    pub timers: Vec<(Micros, u64)>,
    pub list_subscriptions: usize,
    /// Calls that closed the idle connections to a node.
    pub idle_closes: usize,
}

impl HostState {
    fn record_final_answer(&mut self, id: &RequestId, answer: &'static str) {
        let now = self.now;
        let request = self.requests.get_mut(id).expect("final answer to an unknown request");
        assert!(request.final_answer.is_none(), "second final answer to {id}");
        assert!(now <= request.deadline, "final answer to {id} after its deadline");
        request.final_answer = Some(answer);
    }
    /// The earliest attempt that has run or may still run.
    fn first_possible_run(request: &RequestRecord) -> Option<&AttemptRecord> {
        request.attempts.iter().find(|a| a.status.is_none_or(|status| !status.never_ran()))
    }
}

/// Host that checks the policy's actions.
#[derive(Clone, Default)]
pub struct ModelHost(pub Rc<RefCell<HostState>>);

impl Host for ModelHost {
    fn start_attempt(&mut self, id: &RequestId, node: &NodeId, limits: AttemptLimits) {
        let AttemptLimits { timeout, send_by } = limits;
        let mut state = self.0.borrow_mut();
        let now = state.now;
        let target = state.nodes.get(node).expect("attempt at a node that was never listed").clone();
        assert_eq!(target.state, NodeState::Ready, "attempt at a draining or gone node");
        let request = &state.requests[id];
        assert!(request.final_answer.is_none(), "attempt after the final answer");
        assert!(
            now < request.deadline && request.attempts.len() < request.max_attempts && timeout > 0,
            "attempt of {id} past its deadline, beyond its maximum number of attempts or without a time-out"
        );
        assert!(request.attempts.iter().all(|a| a.status.is_some()), "two concurrent attempts");
        let class = &request.class;
        let excludes =
            |allowed: &Option<Vec<u32>>, one| allowed.as_ref().is_some_and(|list| !list.contains(&one));
        let excluded = excludes(&class.kinds, target.kind) || excludes(&class.zones, target.zone);
        assert!(target.kind == ORIGIN_KIND || !excluded, "{id} sent to a node that its class excludes");
        if let Some(first) = HostState::first_possible_run(request) {
            let first_node = &state.nodes[&first.node];
            let same_scope = match class.dedup_scope {
                DedupScope::All => true,
                DedupScope::Zone => first_node.zone == target.zone,
                DedupScope::Cell => first_node.cell == target.cell,
            };
            let may_repeat = match class.idempotency {
                Idempotency::Safe => true,
                Idempotency::Keyed => same_scope && now < first.started_at + class.dedup_window,
                Idempotency::Unsafe => false,
            };
            assert!(may_repeat, "{id} might run twice");
            let is_keyed = class.idempotency == Idempotency::Keyed;
            let window_end = is_keyed.then_some(first.started_at + class.dedup_window);
            assert_eq!(send_by, window_end, "{id} might run twice if it is written later");
        } else {
            assert_eq!(send_by, None, "{id} is no repeat");
        }
        let times_out_at = (now + timeout).min(request.deadline);
        let attempt = AttemptRecord { node: node.clone(), started_at: now, times_out_at, status: None };
        state.requests.get_mut(id).expect("known request").attempts.push(attempt);
    }
    fn refuse_request(&mut self, id: &RequestId, retry_after: Micros) {
        let mut state = self.0.borrow_mut();
        let request = &state.requests[id];
        if let Some(first) = HostState::first_possible_run(request) {
            let class = &request.class;
            let deduplicated_everywhere =
                class.idempotency == Idempotency::Keyed && class.dedup_scope == DedupScope::All;
            let retry_at = state.now + retry_after;
            let safe_to_retry = deduplicated_everywhere && retry_at < first.started_at + class.dedup_window;
            assert!(
                class.idempotency == Idempotency::Safe || safe_to_retry,
                "{id} refused though it may have run"
            );
        }
        state.record_final_answer(id, "refused");
    }
    fn fail_request(&mut self, id: &RequestId) {
        self.0.borrow_mut().record_final_answer(id, "failed");
    }
    fn close_idle(&mut self, _: &NodeId) {
        self.0.borrow_mut().idle_closes += 1;
    }
    fn set_timer(&mut self, label: u64, at: Micros) {
        self.0.borrow_mut().timers.push((at, label));
    }
    fn subscribe_to_list(&mut self) {
        self.0.borrow_mut().list_subscriptions += 1;
    }
}

/// A class with a latency target of 600 ms and a deduplication window of 300 ms, allowed at every cache.
pub fn class(idempotency: Idempotency, dedup_scope: DedupScope) -> Class {
    let (latency_target, dedup_window) = (600 * MS, 300 * MS);
    Class {
        idempotency,
        dedup_scope,
        dedup_window,
        latency_target,
        target_work_factor: 0.0,
        late_worth: 0.0,
        kinds: None,
        zones: None,
    }
}

/// Settings of a single cache-aside proxy, with a class of each idempotency, deduplication scope and
/// restriction.
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Idempotency::Safe, DedupScope::All),
            class(Idempotency::Keyed, DedupScope::All),
            class(Idempotency::Keyed, DedupScope::Zone),
            class(Idempotency::Keyed, DedupScope::Cell),
            class(Idempotency::Unsafe, DedupScope::All),
            // Restricted to the second zone, and to one kind of node there.
            Class { zones: Some(vec![1]), ..class(Idempotency::Safe, DedupScope::All) },
            Class {
                kinds: Some(vec![2]),
                zones: Some(vec![1]),
                ..class(Idempotency::Keyed, DedupScope::Zone)
            },
        ],
        tenant_quotas_rps: Vec::new(),
        cache_aside: true,
        origin_kind: Some(ORIGIN_KIND),
        proxy_index: 0,
        zone: 0,
        zone_count: 2,
        cross_zone_cost: 0.0,
        fleet_size: 1,
        max_attempts: 4,
        max_retry_after: SECOND,
        list_on_request: true,
        max_list_refresh_interval: 10 * SECOND,
        weight_mode: WeightMode::None,
        start_capacity: 0.25,
        ramp_time: 8 * SECOND,
        max_start_time_error: 0,
        connection_cost: 0.0,
        cold_overload_window: 2 * SECOND,
        dial_timeout: 0,
    }
}

/// The list entry of node `n`: node 0 is the origin, the others are caches of two kinds.
pub fn entry(n: u32, state: NodeState, started_at: Micros) -> NodeEntry {
    let kind = [0, ORIGIN_KIND, 2][if n == 0 { 1 } else { n as usize / 2 % 2 * 2 }];
    NodeEntry {
        node: format!("10.0.0.{n}:1").into(),
        zone: n % 2,
        kind,
        cell: n % 3,
        state,
        weight: 1.0,
        started_at,
    }
}

/// Runs the policy in virtual time, on the simulated host.
pub struct Harness {
    pub host: ModelHost,
    pub policy: Policy<ModelHost>,
    pub cache_aside: bool,
    pub quotas: Vec<f64>,
    request_count: usize,
}

impl Harness {
    /// An origin (node 0) and `caches` warm caches, at one hour on the host's clock.
    pub fn new(settings: Settings, caches: u32) -> Self {
        let (host, now) = (ModelHost::default(), 3_600 * SECOND);
        {
            let mut state = host.0.borrow_mut();
            (state.now, state.classes, state.max_attempts) =
                (now, settings.classes.clone(), settings.max_attempts);
        }
        let (cache_aside, quotas) = (settings.cache_aside, settings.tenant_quotas_rps.clone());
        let policy = Policy::new(now, settings, 7, host.clone());
        let mut harness = Harness { host, policy, cache_aside, quotas, request_count: 0 };
        harness.update_list(
            ListUpdateKind::Snapshot,
            (0..=caches).map(|n| entry(n, NodeState::Ready, 0)).collect(),
        );
        harness
    }
    /// The same as `new`, after enough traffic that each cache has served several requests.
    pub fn with_traffic(settings: Settings, caches: u32) -> Self {
        let mut harness = Harness::new(settings, caches);
        for n in 0..caches * 12 {
            let id = harness.start_request(0, &format!("warm {n}"), false);
            harness.advance(20 * MS);
            harness.end_attempt(&id, AttemptStatus::Served);
        }
        harness
    }
    pub fn now(&self) -> Micros {
        self.host.0.borrow().now
    }
    /// Delivers a list update to the policy and applies it to the model.
    pub fn update_list(&mut self, kind: ListUpdateKind, entries: Vec<NodeEntry>) {
        {
            let nodes = &mut self.host.0.borrow_mut().nodes;
            if kind != ListUpdateKind::Delta {
                nodes.values_mut().for_each(|e| e.state = NodeState::Gone);
            }
            nodes.extend(entries.iter().map(|e| (e.node.clone(), e.clone())));
        }
        self.policy.on_list_update(self.now(), kind, entries);
    }
    /// Applies other settings and delivers the list again.
    pub fn apply_settings(&mut self, settings: Settings) {
        {
            let mut state = self.host.0.borrow_mut();
            (state.classes, state.max_attempts) = (settings.classes.clone(), settings.max_attempts);
        }
        self.policy.apply_settings(self.now(), settings);
        let entries = self.host.0.borrow().nodes.values().cloned().collect();
        self.policy.on_list_update(self.now(), ListUpdateKind::Restored, entries);
    }
    /// Delivers a new request with a deadline of 1.2 s.
    pub fn start_request(&mut self, class: usize, key: &str, is_write: bool) -> RequestId {
        self.request_count += 1;
        let id: RequestId = format!("a{}", self.request_count).into();
        let deadline = self.now() + 1_200 * MS;
        {
            let mut state = self.host.0.borrow_mut();
            let (class, max_attempts) = (state.classes[class].clone(), state.max_attempts);
            state.requests.insert(
                id.clone(),
                RequestRecord { class, max_attempts, deadline, attempts: Vec::new(), final_answer: None },
            );
        }
        let key = Some(Key::from(key));
        let request = IncomingRequest {
            id: id.clone(),
            class,
            tenant: 0,
            key,
            deadline,
            expected_work: None,
            is_write,
        };
        self.policy.on_request(self.now(), request);
        id
    }
    /// Ends the request's attempt in flight, if there is one. As at the real host, a success is the request's
    /// final answer.
    pub fn end_attempt(&mut self, id: &RequestId, status: AttemptStatus) {
        self.end_attempt_on_connection(id, status, false);
    }
    /// The same as `end_attempt`, on a connection opened for the attempt or on a reused one.
    pub fn end_attempt_on_connection(
        &mut self,
        id: &RequestId,
        status: AttemptStatus,
        first_on_connection: bool,
    ) {
        let now = self.now();
        let (node, attempt_index, latency, request_finished) = {
            let mut state = self.host.0.borrow_mut();
            let request = state.requests.get_mut(id).expect("known request");
            let attempt_index = request.attempts.len().wrapping_sub(1);
            let Some(attempt) = request.attempts.last_mut().filter(|a| a.status.is_none()) else { return };
            attempt.status = Some(status);
            let (node, latency) = (attempt.node.clone(), now - attempt.started_at);
            if status == AttemptStatus::Served && request.final_answer.is_none() {
                request.final_answer = Some("served");
            }
            (node, attempt_index, latency, request.final_answer.is_some())
        };
        let outcome =
            AttemptOutcome { attempt_index, status, latency, request_finished, first_on_connection };
        self.policy.on_attempt_outcome(now, id, &node, outcome);
    }
    /// Advances the clock; timers fire and attempts time out when they are due.
    pub fn advance(&mut self, duration: Micros) {
        let until = self.now() + duration;
        loop {
            let (timer, timeout) = {
                let state = self.host.0.borrow();
                let timeouts = state.requests.iter().filter_map(|(id, request)| {
                    let last = request.attempts.last().filter(|a| a.status.is_none());
                    last.map(|a| (a.times_out_at, id.clone()))
                });
                (state.timers.iter().min().copied(), timeouts.min())
            };
            let timer_at = timer.map_or(Micros::MAX, |t| t.0);
            let at = timer_at.min(timeout.as_ref().map_or(Micros::MAX, |t| t.0));
            if at > until {
                self.host.0.borrow_mut().now = until;
                return;
            }
            {
                let mut state = self.host.0.borrow_mut();
                state.now = at.max(state.now);
            }
            if let Some(timer) = timer.filter(|t| t.0 == at) {
                self.host.0.borrow_mut().timers.retain(|t| *t != timer);
                self.policy.on_timer(self.now(), timer.1);
            } else if let Some((_, id)) = timeout {
                self.end_attempt(&id, AttemptStatus::TimedOut);
            }
        }
    }
    /// The requests that have an attempt in flight.
    pub fn in_flight(&self) -> Vec<RequestId> {
        let state = self.host.0.borrow();
        let has_attempt =
            |request: &RequestRecord| request.attempts.last().is_some_and(|a| a.status.is_none());
        state.requests.iter().filter(|(_, request)| has_attempt(request)).map(|(id, _)| id.clone()).collect()
    }
    /// The node of the request's attempt in flight.
    pub fn current_node(&self, id: &RequestId) -> Option<NodeId> {
        let state = self.host.0.borrow();
        state.requests[id].attempts.last().filter(|a| a.status.is_none()).map(|a| a.node.clone())
    }
    pub fn final_answer(&self, id: &RequestId) -> Option<&'static str> {
        self.host.0.borrow().requests[id].final_answer
    }
}
