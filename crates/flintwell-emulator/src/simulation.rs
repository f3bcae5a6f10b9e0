//! Discrete-event simulation: handles events in the order of virtual time.

use crate::node::Node;
use crate::scenario::{Fault, SecondStats, SimulationConfig, SimulationResult};
use flintwell_core::interface::{
    AttemptLimits, AttemptStatus, Class, DedupScope, Host, Idempotency, IncomingRequest, Key, ListUpdateKind,
    Micros, NodeEntry, NodeId, NodeState, RequestId, Settings, WeightMode,
};
use flintwell_core::policy::Policy;
use flintwell_membership::member::{self, BufferedTransport, Member, MemberId};
use flintwell_shared_limits::limit::{FetchCounts, LimitMessage, ROUND_MS, SharedLimit};
use flintwell_shared_limits::loans::UNITS_PER_MEMBER;
use flintwell_shared_probes::{ProbeCoordinator, ProbeHint, ProbeMessage};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

const NETWORK_DELAY_US: Micros = 200; // one way, between any two endpoints
const MAX_DATAGRAM_JITTER_US: Micros = 100; // added to the network delay
const REFUSAL_TIME_US: Micros = 300; // a full node takes this long to refuse
const LATENCY_TARGET_US: Micros = 500_000;
const DEADLINE_US: Micros = 1_000_000;
const PEER_PORT: u16 = 7_000;
const ZIPF_EXPONENT: f64 = 0.8; // skew of the key popularity
const SECOND_US: Micros = 1_000_000;

/// A call of the policy to its host, recorded until the call into the policy has returned.
enum Action {
    StartAttempt(RequestId, NodeId, Micros),
    Refuse(RequestId, Micros),
    Fail(RequestId),
    SetTimer(u64, Micros),
}

#[derive(Clone, Default)]
struct RecordingHost(Rc<RefCell<Vec<Action>>>);

impl Host for RecordingHost {
    fn start_attempt(&mut self, request: &RequestId, node: &NodeId, limits: AttemptLimits) {
        self.0.borrow_mut().push(Action::StartAttempt(request.clone(), node.clone(), limits.timeout));
    }
    fn refuse_request(&mut self, request: &RequestId, retry_after: Micros) {
        self.0.borrow_mut().push(Action::Refuse(request.clone(), retry_after));
    }
    fn fail_request(&mut self, request: &RequestId) {
        self.0.borrow_mut().push(Action::Fail(request.clone()));
    }
    fn close_idle(&mut self, _: &NodeId) {}
    fn set_timer(&mut self, label: u64, at: Micros) {
        self.0.borrow_mut().push(Action::SetTimer(label, at));
    }
    fn subscribe_to_list(&mut self) {}
}

struct Request {
    key: u64,
    arrived_at: Micros,
    retry_count: u32,
    attempts_started: usize,
    /// Index of the attempt in flight.
    attempt_in_flight: Option<usize>,
    has_final_answer: bool,
    /// Caches that did not have the key; the value is stored there when the origin serves it.
    missed_caches: Vec<usize>,
}

struct Proxy {
    policy: Policy<RecordingHost>,
    host: RecordingHost,
    generation: u64,
    paused_until: Micros,
    requests_per_second: f64,
    requests: HashMap<RequestId, Request>,
    fetch_counts: FetchCounts,
    /// Present if peer messaging is on.
    peer_protocols: Option<(Member, SharedLimit, ProbeCoordinator)>,
    sends_false_reports: bool,
}

enum Event {
    /// A client sends a new request to this proxy.
    NewRequest(usize),
    RequestArrival {
        proxy: usize,
        key: u64,
        retry_count: u32,
    },
    AttemptArrival {
        proxy: usize,
        id: RequestId,
        node: usize,
        attempt_index: usize,
        sent_at: Micros,
    },
    /// A node has finished one request.
    ServiceComplete(usize),
    AttemptEnd {
        proxy: usize,
        id: RequestId,
        node: usize,
        attempt_index: usize,
        sent_at: Micros,
        status: AttemptStatus,
    },
    Timer {
        proxy: usize,
        generation: u64,
        label: u64,
    },
    Datagram {
        to: usize,
        bytes: Vec<u8>,
    },
    MembershipTick {
        proxy: usize,
        generation: u64,
    },
    GossipRound {
        proxy: usize,
        generation: u64,
    },
    /// Index into the list of faults.
    Fault(usize),
}

impl Event {
    /// The proxy whose process handles the event, if any.
    fn proxy(&self) -> Option<usize> {
        match self {
            Event::RequestArrival { proxy, .. }
            | Event::AttemptEnd { proxy, .. }
            | Event::Timer { proxy, .. }
            | Event::Datagram { to: proxy, .. }
            | Event::MembershipTick { proxy, .. }
            | Event::GossipRound { proxy, .. } => Some(*proxy),
            _ => None,
        }
    }
}

struct Simulation {
    config: SimulationConfig,
    faults: Vec<(Micros, Fault)>,
    rng: ChaCha8Rng,
    now: Micros,
    events: BTreeMap<(Micros, u64), Event>,
    /// Number of events scheduled so far; orders events of the same time.
    event_count: u64,
    nodes: Vec<(NodeId, Node)>,
    node_index_by_id: HashMap<NodeId, usize>,
    proxies: Vec<Proxy>,
    /// Datagrams between proxies below this number and the others are dropped.
    partition_at: Option<usize>,
    /// The last key drawn that had not been requested before; starts above the popular keys.
    last_new_key: u64,
    /// Number of requests so far, including retries; the request ids are made from it.
    request_count: u64,
    result: SimulationResult,
}

fn proxy_addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], PEER_PORT))
}

fn proxy_index_of(addr: SocketAddr) -> usize {
    match addr.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

fn policy_settings(config: &SimulationConfig, proxy_index: usize) -> Settings {
    let class = Class {
        idempotency: Idempotency::Safe,
        dedup_scope: DedupScope::All,
        dedup_window: 0,
        latency_target: LATENCY_TARGET_US,
        target_work_factor: 0.0,
        late_worth: 0.0,
        kinds: None,
        zones: None,
    };
    Settings {
        classes: vec![class],
        tenant_quotas_rps: Vec::new(),
        cache_aside: true,
        origin_kind: Some(1),
        proxy_index: proxy_index as u32,
        zone: proxy_index as u32 % config.zones,
        zone_count: config.zones,
        cross_zone_cost: 0.0,
        fleet_size: config.proxies as u32,
        max_attempts: 4,
        max_retry_after: 1_500_000,
        list_on_request: false,
        max_list_refresh_interval: 10 * SECOND_US,
        weight_mode: WeightMode::None,
        start_capacity: 0.2,
        ramp_time: 5 * SECOND_US,
        max_start_time_error: 0,
        connection_cost: 0.0,
        cold_overload_window: 2 * SECOND_US,
        dial_timeout: 0,
    }
}

/// Simulates a fleet with faults injected at the given times, in microseconds.
pub fn simulate(config: &SimulationConfig, faults: &[(Micros, Fault)]) -> SimulationResult {
    let mut simulation = Simulation::new(config, faults);
    let end = config.duration_s * SECOND_US;
    // Runs past the end so that the last requests get their answers.
    while let Some((&(at, sequence), _)) = simulation.events.first_key_value() {
        if at > end + 2 * DEADLINE_US {
            break;
        }
        simulation.now = at;
        if let Some(event) = simulation.events.remove(&(at, sequence)) {
            simulation.handle_event(event, end);
        }
    }
    let requests = simulation.proxies.iter().flat_map(|proxy| proxy.requests.values());
    simulation.result.lost_requests = requests.filter(|request| !request.has_final_answer).count() as u64;
    simulation.result.per_second.truncate(config.duration_s as usize);
    simulation.result
}

impl Simulation {
    fn new(config: &SimulationConfig, faults: &[(Micros, Fault)]) -> Self {
        let mut nodes: Vec<(NodeId, Node)> = Vec::new();
        for n in 0..config.caches_per_zone * config.zones as usize {
            let node =
                Node::new(config.cache_workers, config.cache_queue_capacity, config.cache_service_time_us);
            nodes.push((format!("cache-{n:03}").into(), node));
        }
        nodes.push(("origin".into(), Node::new(config.origin_capacity, 0, config.origin_service_time_us)));
        let node_index_by_id = nodes.iter().enumerate().map(|(n, node)| (node.0.clone(), n)).collect();
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            config: config.clone(),
            faults: faults.to_vec(),
            now: 0,
            events: BTreeMap::new(),
            event_count: 0,
            nodes,
            node_index_by_id,
            proxies: Vec::new(),
            partition_at: None,
            last_new_key: 1 << 32,
            request_count: 0,
            result: SimulationResult::default(),
        };
        for n in 0..config.proxies {
            let proxy = simulation.start_proxy(n, 1);
            simulation.proxies.push(proxy);
            simulation.schedule(simulation.now, Event::NewRequest(n));
            simulation.run_actions(n);
        }
        for (n, (at, _)) in faults.iter().enumerate() {
            simulation.schedule(*at, Event::Fault(n));
        }
        simulation
    }

    fn start_proxy(&mut self, proxy_index: usize, generation: u64) -> Proxy {
        let host = RecordingHost::default();
        let seed = self.rng.random();
        let mut policy =
            Policy::new(self.now, policy_settings(&self.config, proxy_index), seed, host.clone());
        let last = self.nodes.len() - 1;
        let entry = |(node_index, (id, _)): (usize, &(NodeId, Node))| NodeEntry {
            node: id.clone(),
            zone: (node_index % self.config.zones as usize) as u32,
            kind: u32::from(node_index == last),
            state: NodeState::Ready,
            ..NodeEntry::default()
        };
        policy.on_list_update(
            self.now,
            ListUpdateKind::Snapshot,
            self.nodes.iter().enumerate().map(entry).collect(),
        );
        let ms = (self.now / 1_000) as u64;
        let peer_protocols = self.config.peer_messaging.then(|| {
            let settings = member::Settings {
                cluster: "emulated".into(),
                key: Vec::new(),
                id: MemberId { number: proxy_index as u32, addr: proxy_addr(proxy_index), generation },
                seeds: (0..self.config.proxies.min(3)).map(proxy_addr).collect(),
                fleet_size: self.config.proxies as u32,
                rng_seed: seed,
            };
            let limit = SharedLimit::new(ms, generation, self.config.proxies as u32, seed);
            (Member::new(ms, settings), limit, ProbeCoordinator::new(proxy_index as u32, seed))
        });
        if self.config.peer_messaging {
            self.schedule(self.now, Event::MembershipTick { proxy: proxy_index, generation });
            let first_round_delay_us = self.rng.random_range(0..ROUND_MS as Micros * 1_000);
            self.schedule(
                self.now + first_round_delay_us,
                Event::GossipRound { proxy: proxy_index, generation },
            );
        }
        Proxy {
            policy,
            host,
            generation,
            paused_until: 0,
            requests_per_second: self.config.requests_per_second,
            requests: HashMap::new(),
            fetch_counts: FetchCounts::default(),
            peer_protocols,
            sends_false_reports: false,
        }
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn stats_at(&mut self, at: Micros) -> &mut SecondStats {
        let n = (at / SECOND_US) as usize;
        if self.result.per_second.len() <= n {
            self.result.per_second.resize(n + 1, SecondStats::default());
        }
        &mut self.result.per_second[n]
    }

    /// Handles an event, or delays it if it belongs to a paused process.
    fn handle_event(&mut self, event: Event, end: Micros) {
        if let Some(until) =
            event.proxy().map(|n| self.proxies[n].paused_until).filter(|&until| until > self.now)
        {
            return self.schedule(until, event);
        }
        match event {
            Event::NewRequest(n) => {
                if self.now >= end {
                    return;
                }
                let rate = self.proxies[n].requests_per_second;
                // Without load, the rate is checked again every 0.1 s.
                let interarrival_s = match Exp::new(rate) {
                    Ok(distribution) if rate > 0.0 => distribution.sample(&mut self.rng),
                    _ => 0.1,
                };
                if rate > 0.0 {
                    let key = self.draw_key();
                    self.stats_at(self.now).new_requests += 1;
                    self.schedule(self.now, Event::RequestArrival { proxy: n, key, retry_count: 0 });
                }
                self.schedule(self.now + (interarrival_s * 1e6) as Micros + 1, Event::NewRequest(n));
            }
            Event::RequestArrival { proxy, key, retry_count } => {
                self.on_request_arrival(proxy, key, retry_count)
            }
            Event::AttemptArrival { proxy, id, node, attempt_index, sent_at } => {
                self.on_attempt_arrival(proxy, id, node, attempt_index, sent_at)
            }
            Event::ServiceComplete(node) => self.nodes[node].1.in_flight -= 1,
            Event::AttemptEnd { proxy, id, node, attempt_index, sent_at, status } => {
                self.on_attempt_end(proxy, &id, node, attempt_index, sent_at, status);
            }
            Event::Timer { proxy, generation, label } => {
                if self.proxies[proxy].generation == generation {
                    let now = self.now;
                    self.proxies[proxy].policy.on_timer(now, label);
                    self.run_actions(proxy);
                }
            }
            Event::Datagram { to, bytes } => {
                let ms = (self.now / 1_000) as u64;
                let mut transport = BufferedTransport::default();
                if let Some((member, ..)) = &mut self.proxies[to].peer_protocols {
                    member.handle_datagram(ms, &bytes, &mut transport);
                }
                self.deliver_and_send(to, transport);
            }
            Event::MembershipTick { proxy, generation } => {
                let ms = (self.now / 1_000) as u64;
                if self.proxies[proxy].generation != generation {
                    return;
                }
                let mut transport = BufferedTransport::default();
                let mut due = ms + 1;
                if let Some((member, ..)) = &mut self.proxies[proxy].peer_protocols {
                    member.tick(ms, &mut transport);
                    due = member.next_tick_at().max(ms + 1);
                }
                self.deliver_and_send(proxy, transport);
                // A datagram can bring the next tick forward, so the member is called at least every 20 ms.
                let due = due.min(ms + 20);
                self.schedule(due as Micros * 1_000, Event::MembershipTick { proxy, generation });
            }
            Event::GossipRound { proxy, generation } => self.run_gossip_round(proxy, generation),
            Event::Fault(n) => self.inject_fault(self.faults[n].1),
        }
    }

    /// Draws a new key or, by the Zipf distribution, a popular one.
    fn draw_key(&mut self) -> u64 {
        if self.rng.random_bool(self.config.new_key_share) {
            self.last_new_key += 1;
            return self.last_new_key;
        }
        match Zipf::new(self.config.key_count.max(1) as f64, ZIPF_EXPONENT) {
            Ok(zipf) => zipf.sample(&mut self.rng) as u64,
            Err(_) => 0,
        }
    }

    fn on_request_arrival(&mut self, proxy_index: usize, key: u64, retry_count: u32) {
        self.request_count += 1;
        let (now, id) = (self.now, RequestId::from(format!("a{}", self.request_count)));
        self.stats_at(now).requests += 1;
        let request = Request {
            key,
            arrived_at: now,
            retry_count,
            attempts_started: 0,
            attempt_in_flight: None,
            has_final_answer: false,
            missed_caches: Vec::new(),
        };
        self.proxies[proxy_index].requests.insert(id.clone(), request);
        let arrival = IncomingRequest {
            id,
            class: 0,
            tenant: 0,
            key: Some(Key::from(key.to_string())),
            deadline: now + DEADLINE_US,
            expected_work: None,
            is_write: false,
        };
        self.proxies[proxy_index].policy.on_request(now, arrival);
        self.run_actions(proxy_index);
    }

    /// Carries out the actions that the policy requested, until it requests no more.
    fn run_actions(&mut self, proxy_index: usize) {
        loop {
            let actions = std::mem::take(&mut *self.proxies[proxy_index].host.0.borrow_mut());
            if actions.is_empty() {
                return;
            }
            for action in actions {
                let generation = self.proxies[proxy_index].generation;
                match action {
                    Action::SetTimer(label, at) => {
                        self.schedule(
                            at.max(self.now),
                            Event::Timer { proxy: proxy_index, generation, label },
                        );
                    }
                    Action::StartAttempt(id, node, timeout) => {
                        let Some(&node_index) = self.node_index_by_id.get(&node) else { continue };
                        let Some(request) = self.proxies[proxy_index].requests.get_mut(&id) else { continue };
                        let (attempt_index, sent_at) = (request.attempts_started, self.now);
                        request.attempts_started += 1;
                        request.attempt_in_flight = Some(attempt_index);
                        self.schedule(
                            sent_at + NETWORK_DELAY_US,
                            Event::AttemptArrival {
                                proxy: proxy_index,
                                id: id.clone(),
                                node: node_index,
                                attempt_index,
                                sent_at,
                            },
                        );
                        let status = AttemptStatus::TimedOut;
                        self.schedule(
                            sent_at + timeout,
                            Event::AttemptEnd {
                                proxy: proxy_index,
                                id,
                                node: node_index,
                                attempt_index,
                                sent_at,
                                status,
                            },
                        );
                    }
                    Action::Refuse(id, retry_after) => {
                        let Some((key, retry_count)) = self.record_final_answer(proxy_index, &id) else {
                            continue;
                        };
                        self.stats_at(self.now).refused += 1;
                        if retry_count < self.config.max_retries {
                            // Clients obey the retry-after, but wait at least 50 ms plus a random delay, so that no retry
                            // arrives at the moment of the refusal.
                            let delay = retry_after.max(50_000) + self.rng.random_range(0..50_000);
                            self.schedule(
                                self.now + delay,
                                Event::RequestArrival {
                                    proxy: proxy_index,
                                    key,
                                    retry_count: retry_count + 1,
                                },
                            );
                        }
                    }
                    Action::Fail(id) => {
                        if self.record_final_answer(proxy_index, &id).is_some() {
                            self.stats_at(self.now).failed += 1;
                        }
                    }
                }
            }
        }
    }

    /// Records a final answer. Returns the key and the number of earlier retries.
    fn record_final_answer(&mut self, proxy_index: usize, id: &RequestId) -> Option<(u64, u32)> {
        let request = self.proxies[proxy_index].requests.get_mut(id)?;
        self.result.duplicate_answers += u64::from(request.has_final_answer);
        request.has_final_answer = true;
        let key_and_retries = (request.key, request.retry_count);
        if request.attempt_in_flight.is_none() {
            self.proxies[proxy_index].requests.remove(id);
        }
        Some(key_and_retries)
    }

    fn on_attempt_arrival(
        &mut self,
        proxy: usize,
        id: RequestId,
        node: usize,
        attempt_index: usize,
        sent_at: Micros,
    ) {
        let is_origin = node + 1 == self.nodes.len();
        let now = self.now;
        let Some(request) = self.proxies[proxy].requests.get(&id) else { return };
        let (key, missed_caches) = (request.key, request.missed_caches.clone());
        if self.nodes[node].1.silent {
            self.stats_at(now).unanswered_attempts += 1;
            return;
        }
        let (at, status) = match self.nodes[node].1.accept(now) {
            None => {
                self.stats_at(now).origin_refusals += u64::from(is_origin);
                (now + REFUSAL_TIME_US, AttemptStatus::Full)
            }
            Some(completion) => {
                self.schedule(completion, Event::ServiceComplete(node));
                if is_origin {
                    self.stats_at(now).origin_fetches += 1;
                    missed_caches.iter().for_each(|&cache| {
                        self.nodes[cache].1.cached_keys.insert(key);
                    });
                    (completion, AttemptStatus::Served)
                } else if self.nodes[node].1.cached_keys.contains(&key) {
                    (completion, AttemptStatus::Served)
                } else {
                    (completion, AttemptStatus::Miss)
                }
            }
        };
        self.schedule(
            at + NETWORK_DELAY_US,
            Event::AttemptEnd { proxy, id, node, attempt_index, sent_at, status },
        );
    }

    fn on_attempt_end(
        &mut self,
        proxy_index: usize,
        id: &RequestId,
        node: usize,
        attempt_index: usize,
        sent_at: Micros,
        status: AttemptStatus,
    ) {
        let now = self.now;
        let is_origin = node + 1 == self.nodes.len();
        let Some(request) = self.proxies[proxy_index].requests.get_mut(id) else { return };
        // Each attempt has a timeout event; it is ignored if the attempt has already ended.
        if request.attempt_in_flight != Some(attempt_index) {
            return;
        }
        request.attempt_in_flight = None;
        if status == AttemptStatus::Miss {
            request.missed_caches.push(node);
        }
        let was_answered = request.has_final_answer;
        request.has_final_answer |= status == AttemptStatus::Served;
        let (has_final_answer, arrived_at) = (request.has_final_answer, request.arrived_at);
        if is_origin {
            let fetch_counts = &mut self.proxies[proxy_index].fetch_counts;
            fetch_counts.accepted += u64::from(status == AttemptStatus::Served);
            fetch_counts.refused += u64::from(status == AttemptStatus::Full);
        }
        if status == AttemptStatus::Served && !was_answered {
            let stats = self.stats_at(now);
            stats.served += 1;
            stats.served_within_target += u64::from(now <= arrived_at + LATENCY_TARGET_US);
        }
        let (node_id, latency) = (self.nodes[node].0.clone(), now - sent_at);
        let outcome = flintwell_core::interface::AttemptOutcome {
            attempt_index,
            status,
            latency,
            request_finished: has_final_answer,
            first_on_connection: false,
        };
        self.proxies[proxy_index].policy.on_attempt_outcome(now, id, &node_id, outcome);
        if has_final_answer {
            self.proxies[proxy_index].requests.remove(id);
        }
        self.run_actions(proxy_index);
    }

    fn run_gossip_round(&mut self, proxy_index: usize, generation: u64) {
        if self.proxies[proxy_index].generation != generation {
            return;
        }
        let ms = (self.now / 1_000) as u64;
        let now = self.now;
        let mut transport = BufferedTransport::default();
        let proxy = &mut self.proxies[proxy_index];
        if let Some((member, limit, probes)) = &mut proxy.peer_protocols {
            proxy.fetch_counts.demanded = proxy.policy.set_origin_fetch_rate(now, limit.rate(ms));
            let peers = member.peers();
            let peer_numbers: Vec<u32> = peers.iter().map(|peer| peer.number).collect();
            let silent_caches = proxy.policy.silent_caches();
            let silent_names: Vec<&str> = silent_caches.iter().map(|node| &**node).collect();
            let (hints, probe_messages) = probes.run_round(ms, &silent_names, &peer_numbers);
            for (node, hint) in hints {
                let until = match hint {
                    ProbeHint::SkipFor(ms) => now + ms as Micros * 1_000,
                    ProbeHint::ProbeNow => now,
                };
                proxy.policy.defer_probe(&silent_caches[node], until);
            }
            for (to, message) in probe_messages {
                if let Some(to) = peers.iter().find(|peer| peer.number == to) {
                    member.send_message(to, &message.encode(), &mut transport);
                }
            }
            for (to, mut message) in limit.run_round(ms, proxy.fetch_counts, &peer_numbers) {
                if let LimitMessage::Report { accepted, refused, worth, .. } = &mut message
                    && proxy.sends_false_reports
                {
                    (*accepted, *refused, *worth) = (0.0, 1e6, Some(1e-6));
                }
                if let Some(to) = peers.iter().find(|peer| peer.number == to) {
                    member.send_message(to, &message.encode(), &mut transport);
                }
            }
        }
        self.deliver_and_send(proxy_index, transport);
        self.run_actions(proxy_index);
        self.record_excess_units();
        self.schedule(
            now + ROUND_MS as Micros * 1_000,
            Event::GossipRound { proxy: proxy_index, generation },
        );
    }

    /// Records by how much the units in use in the fleet exceed those that exist.
    fn record_excess_units(&mut self) {
        let ms = (self.now / 1_000) as u64;
        let in_use =
            |proxy: &Proxy| proxy.peer_protocols.as_ref().map_or(0, |(_, limit, _)| limit.usable_units(ms));
        let total: u32 = self.proxies.iter().map(in_use).sum();
        self.result.max_excess_units = self
            .result
            .max_excess_units
            .max(total.saturating_sub(UNITS_PER_MEMBER * self.proxies.len() as u32));
    }

    /// Passes delivered messages to the shared limit and the probe coordinator, then sends the outgoing datagrams and
    /// the replies, with loss, duplication and jitter.
    fn deliver_and_send(&mut self, proxy_index: usize, transport: BufferedTransport) {
        let ms = (self.now / 1_000) as u64;
        let mut replies = BufferedTransport::default();
        if let Some((member, limit, probes)) = &mut self.proxies[proxy_index].peer_protocols {
            for (from, bytes) in transport.delivered {
                if let Some(message) = ProbeMessage::decode(&bytes) {
                    probes.handle_message(ms, from.number, &message);
                    continue;
                }
                let reply = LimitMessage::decode(&bytes)
                    .and_then(|message| limit.handle_message(ms, from.number, message));
                reply
                    .into_iter()
                    .for_each(|message| member.send_message(&from, &message.encode(), &mut replies));
            }
        }
        for (to, bytes) in transport.outgoing.into_iter().chain(replies.outgoing) {
            let to = proxy_index_of(to);
            let stats = self.stats_at(self.now);
            (stats.datagrams_sent, stats.bytes_sent) =
                (stats.datagrams_sent + 1, stats.bytes_sent + bytes.len() as u64);
            let is_partitioned =
                self.partition_at.is_some_and(|split_at| (proxy_index < split_at) != (to < split_at));
            if to >= self.proxies.len()
                || is_partitioned
                || self.rng.random::<f64>() < self.config.datagram_loss
            {
                continue;
            }
            for _ in 0..1 + usize::from(self.rng.random::<f64>() < self.config.datagram_loss) {
                let jitter = self.rng.random_range(0..MAX_DATAGRAM_JITTER_US);
                self.schedule(
                    self.now + NETWORK_DELAY_US + jitter,
                    Event::Datagram { to, bytes: bytes.clone() },
                );
            }
        }
    }

    fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::OriginCapacity(capacity) => {
                if let Some((_, origin)) = self.nodes.last_mut() {
                    origin.workers = capacity;
                }
            }
            Fault::Pause { proxy, duration_us } => self.proxies[proxy].paused_until = self.now + duration_us,
            Fault::Restart { proxy } => {
                let generation = self.proxies[proxy].generation + 1;
                let requests_per_second = self.proxies[proxy].requests_per_second;
                self.proxies[proxy] = Proxy { requests_per_second, ..self.start_proxy(proxy, generation) };
                self.run_actions(proxy);
            }
            Fault::Partition { split_at } => self.partition_at = Some(split_at),
            Fault::HealPartition => self.partition_at = None,
            Fault::SilentZone { zone, silent } => {
                let (zones, caches) = (self.config.zones as usize, self.nodes.len() - 1);
                let in_zone = |node_index: &usize| node_index % zones == zone as usize;
                (0..caches).filter(in_zone).for_each(|node_index| self.nodes[node_index].1.silent = silent);
            }
            Fault::RequestRate { requests_per_second, loaded_proxies } => {
                for (n, proxy) in self.proxies.iter_mut().enumerate() {
                    proxy.requests_per_second = if n < loaded_proxies { requests_per_second } else { 0.0 };
                }
            }
            Fault::FalseReports { proxy } => self.proxies[proxy].sends_false_reports = true,
        }
    }
}
