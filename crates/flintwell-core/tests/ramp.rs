//! Slow start of a cold node in front of a whole fleet, in virtual time: bounds the requests that all proxies
//! together send it within any window.

use flintwell_core::interface::*;
use flintwell_core::policy::Policy;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const START_TIME: Micros = 3_600 * SECOND;
/// How long a cold node withstands overload before it fails.
const COLD_OVERLOAD_WINDOW: Micros = 2 * SECOND;
/// Load that a cold node withstands within that window, as a multiple of its current capacity.
const MAX_OVERLOAD_FACTOR: f64 = 2.5;
/// Offered load as a fraction of the warm nodes' capacity; the usual utilization of a deployment.
const UTILIZATION: f64 = 0.55;
const START_CAPACITY: f64 = 0.2;
const RAMP_TIME: Micros = 20 * SECOND;
const RESPONSE_TIME: Micros = 30 * MS;
/// Time with traffic before a node restarts.
const WARM_UP_TIME: Micros = 15 * SECOND;
const KEY_COUNT: usize = 300;

/// Proxies, nodes and traffic of one simulation.
#[derive(Clone, Copy)]
struct Scenario {
    proxies: usize,
    nodes: usize,
    /// Mean requests per second and node.
    rate_per_node: f64,
    /// Fraction of all requests that ask for one hot key, whose home restarts.
    hot_key_fraction: f64,
    /// Multiple of the usual traffic from the restart on.
    burst_factor: f64,
}

/// Host that records the attempts.
#[derive(Clone, Default)]
struct RecordingHost(Rc<RefCell<Vec<(RequestId, NodeId)>>>);

impl Host for RecordingHost {
    fn start_attempt(&mut self, request: &RequestId, node: &NodeId, _: AttemptLimits) {
        self.0.borrow_mut().push((request.clone(), node.clone()));
    }
    fn refuse_request(&mut self, _: &RequestId, _: Micros) {}
    fn fail_request(&mut self, _: &RequestId) {}
    fn close_idle(&mut self, _: &NodeId) {}
    fn set_timer(&mut self, _: u64, _: Micros) {}
    fn subscribe_to_list(&mut self) {}
}

fn settings(proxy_index: usize, scenario: Scenario) -> Settings {
    Settings {
        classes: vec![Class {
            idempotency: Idempotency::Safe,
            dedup_scope: DedupScope::All,
            dedup_window: 0,
            latency_target: 600 * MS,
            target_work_factor: 0.0,
            late_worth: 0.0,
            kinds: None,
            zones: None,
        }],
        tenant_quotas_rps: Vec::new(),
        cache_aside: true,
        origin_kind: Some(1),
        proxy_index: proxy_index as u32,
        zone: 0,
        zone_count: 1,
        cross_zone_cost: 0.0,
        fleet_size: scenario.proxies as u32,
        max_attempts: 4,
        max_retry_after: SECOND,
        list_on_request: false,
        max_list_refresh_interval: 10 * SECOND,
        weight_mode: WeightMode::None,
        start_capacity: START_CAPACITY,
        ramp_time: RAMP_TIME,
        max_start_time_error: 0,
        connection_cost: 0.0,
        cold_overload_window: COLD_OVERLOAD_WINDOW,
        dial_timeout: 0,
    }
}

fn entry(n: usize, kind: u32, started_at: Micros) -> NodeEntry {
    let node = format!("server-{n}").into();
    NodeEntry { node, kind, state: NodeState::Ready, weight: 1.0, started_at, ..NodeEntry::default() }
}

/// Simulates the restart of one node. Returns the largest number of requests by which all proxies together
/// exceeded the cold node's limit, beyond chance, in any window, and the requests that it got as a fraction
/// of what its warmth allows.
fn simulate(scenario: Scenario, seed: u64) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (hosts, mut policies): (Vec<RecordingHost>, Vec<Policy<RecordingHost>>) = (0..scenario.proxies)
        .map(|n| {
            let host = RecordingHost::default();
            let mut policy = Policy::new(START_TIME, settings(n, scenario), rng.random(), host.clone());
            let caches = (0..scenario.nodes).map(|n| entry(n, 0, 0));
            policy.on_list_update(
                START_TIME,
                ListUpdateKind::Snapshot,
                caches.chain([entry(9_999, 1, 0)]).collect(),
            );
            (host, policy)
        })
        .unzip();
    // Traffic is uneven: some proxies get several times the mean.
    let proxy_weights: Vec<f64> = (0..scenario.proxies).map(|_| (2.0 * rng.random::<f64>()).exp()).collect();
    let total_weight: f64 = proxy_weights.iter().sum();
    let total_rate = scenario.rate_per_node * scenario.nodes as f64;
    // At the restart, the node that got most requests for the hot key takes the place of the random choice.
    let (mut cold_index, mut hot_key_requests) =
        (rng.random_range(0..scenario.nodes), vec![0; scenario.nodes]);
    let restart_at = START_TIME + WARM_UP_TIME;
    let (mut now, mut has_restarted, mut sequence) = (START_TIME, false, 0u64);
    let mut in_flight: BTreeMap<(Micros, u64), (usize, RequestId, NodeId)> = BTreeMap::new();
    let (mut sent_to_cold, mut window) = (Vec::new(), VecDeque::new());
    let mut cold_node = NodeId::default();
    while now < restart_at + RAMP_TIME {
        // Advances to the next request and completes the attempts that end before it.
        let rate = if has_restarted { total_rate * scenario.burst_factor } else { total_rate };
        now += (-(1.0 - rng.random::<f64>()).ln() / rate * 1e6) as Micros + 1;
        while let Some((&(at, number), _)) = in_flight.first_key_value().filter(|(at, _)| at.0 <= now) {
            let (proxy, id, node) = in_flight.remove(&(at, number)).expect("first attempt in flight");
            let outcome = AttemptOutcome {
                attempt_index: 0,
                status: AttemptStatus::Served,
                latency: RESPONSE_TIME,
                request_finished: true,
                first_on_connection: false,
            };
            policies[proxy].on_attempt_outcome(at, &id, &node, outcome);
        }
        if now >= restart_at && !has_restarted {
            has_restarted = true;
            cold_index = (0..scenario.nodes)
                .max_by_key(|&n| (hot_key_requests[n], n == cold_index))
                .unwrap_or(cold_index);
            cold_node = entry(cold_index, 0, 0).node;
            policies.iter_mut().for_each(|policy| {
                policy.on_list_update(now, ListUpdateKind::Delta, vec![entry(cold_index, 0, now)])
            });
        }
        let mut remaining_weight = rng.random::<f64>() * total_weight;
        let proxy = proxy_weights.iter().position(|weight| {
            remaining_weight -= weight;
            remaining_weight <= 0.0
        });
        let proxy = proxy.unwrap_or(0);
        let key_index =
            if rng.random::<f64>() < scenario.hot_key_fraction { 0 } else { rng.random_range(1..KEY_COUNT) };
        sequence += 1;
        let id: RequestId = format!("r{sequence}").into();
        let key = Some(Key::from(format!("key-{seed}-{key_index}")));
        let deadline = now + SECOND;
        let request =
            IncomingRequest { id, class: 0, tenant: 0, key, deadline, expected_work: None, is_write: false };
        policies[proxy].on_request(now, request);
        for (id, node) in hosts[proxy].0.borrow_mut().drain(..) {
            if node == cold_node && has_restarted {
                sent_to_cold.push(now);
            }
            if let Some(n) =
                (0..scenario.nodes).find(|&n| key_index == 0 && !has_restarted && entry(n, 0, 0).node == node)
            {
                hot_key_requests[n] += 1;
            }
            sequence += 1;
            in_flight.insert((now + RESPONSE_TIME, sequence), (proxy, id, node));
        }
    }
    let mut max_excess = f64::MIN;
    let capacity = scenario.rate_per_node / UTILIZATION;
    for &at in &sent_to_cold {
        window.push_back(at);
        while window.front().is_some_and(|&first| first <= at - COLD_OVERLOAD_WINDOW) {
            window.pop_front();
        }
        // The limit follows from the node's capacity at the start of the window.
        let age = (at - COLD_OVERLOAD_WINDOW - restart_at).max(0) as f64 / RAMP_TIME as f64;
        let warmth = (START_CAPACITY + (1.0 - START_CAPACITY) * age).min(1.0);
        let budget = MAX_OVERLOAD_FACTOR * warmth * capacity * COLD_OVERLOAD_WINDOW as f64 / 1e6;
        max_excess = max_excess.max(window.len() as f64 - (budget + 2.0 * budget.sqrt() + 2.0));
    }
    let expected_requests = scenario.rate_per_node * RAMP_TIME as f64 / 1e6 * (1.0 + START_CAPACITY) / 2.0;
    (max_excess, sent_to_cold.len() as f64 / expected_requests)
}

/// Guards against overload of a cold node by the first request of each proxy: 30 proxies together, and 300 in
/// front of 40 nodes, exceeded the limit when the home of a hot key restarted or clients sent a burst.
#[test]
fn fleet_stays_within_the_limit_of_a_cold_node_and_lets_it_warm_up() {
    let fleets = [
        (1, 10, 20.0),
        (4, 10, 20.0),
        (20, 10, 2.0),
        (20, 40, 20.0),
        (30, 60, 20.0),
        (300, 40, 3.0),
        (300, 200, 10.0),
    ];
    for (proxies, nodes, rate_per_node) in fleets {
        for (hot_key_fraction, burst_factor) in [(0.0, 1.0), (0.2, 1.0), (0.2, 1.8)] {
            let scenario = Scenario { proxies, nodes, rate_per_node, hot_key_fraction, burst_factor };
            let results: Vec<_> = (0..3).map(|seed| simulate(scenario, seed)).collect();
            let max_excess = results.iter().map(|one| one.0).fold(f64::MIN, f64::max);
            let received = results.iter().map(|one| one.1).sum::<f64>() / results.len() as f64;
            println!(
                "{proxies} proxies, {nodes} nodes, {rate_per_node} requests/s per node, hot key fraction \
                 {hot_key_fraction}, burst factor {burst_factor}: at most {max_excess:.1} requests above the limit, \
                 {received:.2} of the requests that its warmth allows"
            );
            assert!(
                max_excess <= 0.0,
                "{max_excess:.1} requests above the limit with {proxies} proxies, {nodes} nodes, hot key fraction \
                 {hot_key_fraction}, burst factor {burst_factor}"
            );
            assert!(
                hot_key_fraction > 0.0 || received > 0.6,
                "cold node got {received:.2} of its requests with {proxies} proxies, {nodes} nodes"
            );
        }
    }
}
