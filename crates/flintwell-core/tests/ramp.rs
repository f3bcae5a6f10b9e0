//! A cold server before a whole fleet in virtual time: what all proxies send it together in any window.

use flintwell_core::interface::*;
use flintwell_core::policy::Policy;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const BEGIN: Micros = 3_600 * SECOND;
const FALL: Micros = 2 * SECOND; // the window in which a cold server falls
const MULTIPLE: f64 = 2.5; // of its present capacity; what it takes in that window
const LOAD: f64 = 0.55; // of what warm servers can do, as days usually have it
const START: f64 = 0.2;
const RAMP: Micros = 20 * SECOND;
const ANSWER: Micros = 30 * MS;
const WARM_UP: Micros = 15 * SECOND;
const KEYS: usize = 300;

/// What proxies, servers and clients are like.
#[derive(Clone, Copy)]
struct Fleet {
    proxies: usize,
    servers: usize,
    /// Requests a second that a server gets on the mean.
    rate: f64,
    /// Share of all requests that ask for one key, whose home comes back cold.
    hot: f64,
    /// Times the usual traffic, from the start on.
    burst: f64,
}

#[derive(Clone, Default)]
struct Out(Rc<RefCell<Vec<(RequestId, NodeId)>>>);

impl Host for Out {
    fn start_attempt(&mut self, request: &RequestId, node: &NodeId, _: Micros) {
        self.0.borrow_mut().push((request.clone(), node.clone()));
    }
    fn refuse(&mut self, _: &RequestId, _: Micros) {}
    fn fail(&mut self, _: &RequestId) {}
    fn close_idle(&mut self, _: &NodeId) {}
    fn set_timer(&mut self, _: u64, _: Micros) {}
    fn subscribe_to_list(&mut self) {}
}

fn settings(index: usize, fleet: Fleet) -> Settings {
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
        quotas: Vec::new(),
        cache_aside: true,
        origin_kind: Some(1),
        proxy_index: index as u32,
        zone: 0,
        zone_count: 1,
        cross_zone_cost: 0.0,
        fleet_size: fleet.proxies as u32,
        max_attempts: 4,
        max_retry_after: SECOND,
        list_on_request: false,
        max_list_refresh_interval: 10 * SECOND,
        weight_mode: WeightMode::None,
        start_capacity: START,
        ramp_time: RAMP,
        max_start_time_error: 0,
        connection_cost: 0.0,
        cold_overload_window: FALL,
        dial_timeout: 0,
    }
}

fn entry(n: usize, kind: u32, started_at: Micros) -> NodeEntry {
    let node = format!("server-{n}").into();
    NodeEntry { node, kind, state: NodeState::Ready, weight: 1.0, started_at, ..NodeEntry::default() }
}

/// The most by which all proxies together went beyond what is put down to chance in a window, and how much of what the cold
/// server may get by its warmth it got on the mean.
fn plays(fleet: Fleet, seed: u64) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (outs, mut policies): (Vec<Out>, Vec<Policy<Out>>) = (0..fleet.proxies)
        .map(|n| {
            let out = Out::default();
            let mut policy = Policy::new(BEGIN, settings(n, fleet), rng.random(), out.clone());
            let caches = (0..fleet.servers).map(|n| entry(n, 0, 0));
            policy.on_list_update(BEGIN, ListUpdateKind::Snapshot, caches.chain([entry(9_999, 1, 0)]).collect());
            (out, policy)
        })
        .unzip();
    // Traffic is uneven: some proxies get several times the mean.
    let weights: Vec<f64> = (0..fleet.proxies).map(|_| (2.0 * rng.random::<f64>()).exp()).collect();
    let total: f64 = weights.iter().sum();
    let all = fleet.rate * fleet.servers as f64;
    // Until it starts, the one that gets the hot key most.
    let (mut cold, mut hot) = (rng.random_range(0..fleet.servers), vec![0; fleet.servers]);
    let told = BEGIN + WARM_UP;
    let (mut now, mut is_told, mut count) = (BEGIN, false, 0u64);
    let mut ends: BTreeMap<(Micros, u64), (usize, RequestId, NodeId)> = BTreeMap::new();
    let (mut sent, mut window) = (Vec::new(), VecDeque::new());
    let mut cold_id = NodeId::default();
    while now < told + RAMP {
        // The next request, and all that ends before it.
        let pace = if is_told { all * fleet.burst } else { all };
        now += (-(1.0 - rng.random::<f64>()).ln() / pace * 1e6) as Micros + 1;
        while let Some((&(at, number), _)) = ends.first_key_value().filter(|(at, _)| at.0 <= now) {
            let (proxy, id, node) = ends.remove(&(at, number)).expect("it");
            let outcome =
                AttemptOutcome { attempt_index: 0, status: AttemptStatus::Served, latency: ANSWER, request_finished: true, first_on_connection: false };
            policies[proxy].on_attempt_outcome(at, &id, &node, outcome);
        }
        if now >= told && !is_told {
            is_told = true;
            cold = (0..fleet.servers).max_by_key(|&n| (hot[n], n == cold)).unwrap_or(cold);
            cold_id = entry(cold, 0, 0).node;
            policies
                .iter_mut()
                .for_each(|policy| policy.on_list_update(now, ListUpdateKind::Delta, vec![entry(cold, 0, now)]));
        }
        let mut lot = rng.random::<f64>() * total;
        let proxy = weights.iter().position(|weight| {
            lot -= weight;
            lot <= 0.0
        });
        let proxy = proxy.unwrap_or(0);
        let key = if rng.random::<f64>() < fleet.hot { 0 } else { rng.random_range(1..KEYS) };
        count += 1;
        let id: RequestId = format!("r{count}").into();
        let named = Some(Key::from(format!("key-{seed}-{key}")));
        let deadline = now + SECOND;
        let arrival = IncomingRequest { id, class: 0, tenant: 0, key: named, deadline, expected_work: None, is_write: false };
        policies[proxy].on_request(now, arrival);
        for (id, node) in outs[proxy].0.borrow_mut().drain(..) {
            if node == cold_id && is_told {
                sent.push(now);
            }
            if let Some(n) = (0..fleet.servers).find(|&n| key == 0 && !is_told && entry(n, 0, 0).node == node)
            {
                hot[n] += 1;
            }
            count += 1;
            ends.insert((now + ANSWER, count), (proxy, id, node));
        }
    }
    let mut worst = f64::MIN;
    let capacity = fleet.rate / LOAD;
    for &at in &sent {
        window.push_back(at);
        while window.front().is_some_and(|&first| first <= at - FALL) {
            window.pop_front();
        }
        // By the capacity at the window's start.
        let age = (at - FALL - told).max(0) as f64 / RAMP as f64;
        let warmth = (START + (1.0 - START) * age).min(1.0);
        let budget = MULTIPLE * warmth * capacity * FALL as f64 / 1e6;
        worst = worst.max(window.len() as f64 - (budget + 2.0 * budget.sqrt() + 2.0));
    }
    let due = fleet.rate * RAMP as f64 / 1e6 * (1.0 + START) / 2.0;
    (worst, sent.len() as f64 / due)
}

/// Those of thirty proxies, and of three hundred before forty servers, went over by their first requests each, while a hot
/// key's home came back or clients came in a burst.
#[test]
fn all_proxies_together_stay_within_what_a_cold_server_takes_and_it_warms() {
    let fleets = [
        (1, 10, 20.0),
        (4, 10, 20.0),
        (20, 10, 2.0),
        (20, 40, 20.0),
        (30, 60, 20.0),
        (300, 40, 3.0),
        (300, 200, 10.0),
    ];
    for (proxies, servers, rate) in fleets {
        for (hot, burst) in [(0.0, 1.0), (0.2, 1.0), (0.2, 1.8)] {
            let fleet = Fleet { proxies, servers, rate, hot, burst };
            let all: Vec<_> = (0..3).map(|seed| plays(fleet, seed)).collect();
            let worst = all.iter().map(|one| one.0).fold(f64::MIN, f64::max);
            let got = all.iter().map(|one| one.1).sum::<f64>() / all.len() as f64;
            println!(
                "{proxies} proxies, {servers} servers, {rate} a second each, hot {hot}, burst {burst}: {worst:.1} beyond \
                 chance at worst, {got:.2} of what its warmth lets it have"
            );
            assert!(
                worst <= 0.0,
                "{worst:.1} beyond chance, {proxies} proxies, {servers} servers, {hot}, {burst}"
            );
            assert!(hot > 0.0 || got > 0.6, "{got:.2} of its part, {proxies} proxies, {servers} servers");
        }
    }
}
