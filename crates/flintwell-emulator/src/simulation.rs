//! The run itself: events in the order of virtual time.

use crate::node::Node;
use crate::scenario::{Fault, SecondStats, SimulationConfig, SimulationResult};
use flintwell_core::interface::{
    AttemptStatus, Class, DedupScope, Host, Idempotency, IncomingRequest, Key, ListUpdateKind, Micros,
    NodeEntry, NodeId, NodeState, RequestId, Settings, WeightMode,
};
use flintwell_core::policy::Policy;
use flintwell_membership::member::{self, BufferedTransport, Member, MemberId};
use flintwell_shared_limits::limit::{FetchCounts, LimitMessage, ROUND_MS, SharedLimit};
use flintwell_shared_limits::loans::UNITS_PER_MEMBER;
use flintwell_shared_probes::{ProbeCoordinator, ProbeHint, ProbeMessage as Probed};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

const PATH: Micros = 200; // us one way, between any two parties
const SPREAD: Micros = 100; // us; the most by which a datagram is later than that
const REFUSAL: Micros = 300; // us in which a full node says so
const TARGET: Micros = 500_000; // us
const DEADLINE: Micros = 1_000_000; // us
const PORT: u16 = 7_000;
const SKEW: f64 = 0.8; // of the keys' Zipf law
const SECOND: Micros = 1_000_000;

enum Action {
    Attempt(RequestId, NodeId, Micros),
    Refuse(RequestId, Micros),
    Fail(RequestId),
    Wake(u64, Micros),
}

#[derive(Clone, Default)]
struct Out(Rc<RefCell<Vec<Action>>>);

impl Host for Out {
    fn start_attempt(&mut self, request: &RequestId, node: &NodeId, allow_for: Micros) {
        self.0.borrow_mut().push(Action::Attempt(request.clone(), node.clone(), allow_for));
    }
    fn refuse(&mut self, request: &RequestId, stay_away: Micros) {
        self.0.borrow_mut().push(Action::Refuse(request.clone(), stay_away));
    }
    fn fail(&mut self, request: &RequestId) {
        self.0.borrow_mut().push(Action::Fail(request.clone()));
    }
    fn close_idle(&mut self, _: &NodeId) {}
    fn set_timer(&mut self, label: u64, at: Micros) {
        self.0.borrow_mut().push(Action::Wake(label, at));
    }
    fn subscribe_to_list(&mut self) {}
}

struct Request {
    key: u64,
    came: Micros,
    again: u32,
    attempts: usize,
    out: Option<usize>,
    over: bool,
    /// Caches that lacked its key.
    missed: Vec<usize>,
}

struct Proxy {
    policy: Policy<Out>,
    out: Out,
    life: u64,
    paused_until: Micros,
    rate: f64,
    requests: HashMap<RequestId, Request>,
    counted: FetchCounts,
    speaks: Option<(Member, SharedLimit, ProbeCoordinator)>,
    lies: bool,
}

enum Event {
    Client(usize),
    Arrives { proxy: usize, key: u64, again: u32 },
    AtNode { proxy: usize, id: RequestId, node: usize, number: usize, sent: Micros },
    Free(usize),
    Ends { proxy: usize, id: RequestId, node: usize, number: usize, sent: Micros, ending: AttemptStatus },
    Wakes { proxy: usize, life: u64, label: u64 },
    Datagram { to: usize, bytes: Vec<u8> },
    Ticks { proxy: usize, life: u64 },
    Round { proxy: usize, life: u64 },
    Fault(usize),
}

impl Event {
    /// Whose process has to run for it.
    fn proxy(&self) -> Option<usize> {
        match self {
            Event::Arrives { proxy, .. }
            | Event::Ends { proxy, .. }
            | Event::Wakes { proxy, .. }
            | Event::Datagram { to: proxy, .. }
            | Event::Ticks { proxy, .. }
            | Event::Round { proxy, .. } => Some(*proxy),
            _ => None,
        }
    }
}

struct World {
    shape: SimulationConfig,
    faults: Vec<(Micros, Fault)>,
    rng: ChaCha8Rng,
    now: Micros,
    events: BTreeMap<(Micros, u64), Event>,
    count: u64,
    nodes: Vec<(NodeId, Node)>,
    places: HashMap<NodeId, usize>,
    proxies: Vec<Proxy>,
    cut: Option<usize>,
    fresh: u64,
    names: u64,
    outcome: SimulationResult,
}

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], PORT))
}

fn number(addr: SocketAddr) -> usize {
    match addr.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

fn settings(shape: &SimulationConfig, index: usize) -> Settings {
    let case = Class {
        idempotency: Idempotency::Safe,
        dedup_scope: DedupScope::All,
        dedup_window: 0,
        latency_target: TARGET,
        target_work_factor: 0.0,
        late_worth: 0.0,
        kinds: None,
        zones: None,
    };
    Settings {
        classes: vec![case],
        quotas: Vec::new(),
        cache_aside: true,
        origin_kind: Some(1),
        proxy_index: index as u32,
        zone: index as u32 % shape.zones,
        zone_count: shape.zones,
        cross_zone_cost: 0.0,
        fleet_size: shape.proxies as u32,
        max_attempts: 4,
        max_retry_after: 1_500_000,
        list_on_request: false,
        max_list_refresh_interval: 10 * SECOND,
        weight_mode: WeightMode::None,
        start_capacity: 0.2,
        ramp_time: 5 * SECOND,
        max_start_time_error: 0,
        connection_cost: 0.0,
        cold_overload_window: 2 * SECOND,
        dial_timeout: 0,
    }
}

/// Plays the faults, each at its time, on a fleet of this shape.
pub fn simulate(shape: &SimulationConfig, faults: &[(Micros, Fault)]) -> SimulationResult {
    let mut world = World::new(shape, faults);
    let end = shape.duration_s * SECOND;
    // What was asked last gets its answer.
    while let Some((&(at, count), _)) = world.events.first_key_value() {
        if at > end + 2 * DEADLINE {
            break;
        }
        world.now = at;
        if let Some(event) = world.events.remove(&(at, count)) {
            world.happens(event, end);
        }
    }
    let open = world.proxies.iter().flat_map(|proxy| proxy.requests.values());
    world.outcome.lost_requests = open.filter(|request| !request.over).count() as u64;
    world.outcome.per_second.truncate(shape.duration_s as usize);
    world.outcome
}

impl World {
    fn new(shape: &SimulationConfig, faults: &[(Micros, Fault)]) -> Self {
        let mut nodes: Vec<(NodeId, Node)> = Vec::new();
        for n in 0..shape.caches_per_zone * shape.zones as usize {
            let node =
                Node::new(shape.cache_workers, shape.cache_queue_capacity, shape.cache_service_time_us);
            nodes.push((format!("cache-{n:03}").into(), node));
        }
        nodes.push(("origin".into(), Node::new(shape.origin_capacity, 0, shape.origin_service_time_us)));
        let places = nodes.iter().enumerate().map(|(n, node)| (node.0.clone(), n)).collect();
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(shape.seed),
            shape: shape.clone(),
            faults: faults.to_vec(),
            now: 0,
            events: BTreeMap::new(),
            count: 0,
            nodes,
            places,
            proxies: Vec::new(),
            cut: None,
            fresh: 1 << 32,
            names: 0,
            outcome: SimulationResult::default(),
        };
        for n in 0..shape.proxies {
            let proxy = world.begins(n, 1);
            world.proxies.push(proxy);
            world.at(world.now, Event::Client(n));
            world.drains(n);
        }
        for (n, (at, _)) in faults.iter().enumerate() {
            world.at(*at, Event::Fault(n));
        }
        world
    }

    fn begins(&mut self, n: usize, life: u64) -> Proxy {
        let out = Out::default();
        let seed = self.rng.random();
        let mut policy = Policy::new(self.now, settings(&self.shape, n), seed, out.clone());
        let last = self.nodes.len() - 1;
        let entry = |(place, (id, _)): (usize, &(NodeId, Node))| NodeEntry {
            node: id.clone(),
            zone: (place % self.shape.zones as usize) as u32,
            kind: u32::from(place == last),
            state: NodeState::Ready,
            ..NodeEntry::default()
        };
        policy.on_list_update(
            self.now,
            ListUpdateKind::Snapshot,
            self.nodes.iter().enumerate().map(entry).collect(),
        );
        let ms = (self.now / 1_000) as u64;
        let speaks = self.shape.peer_messaging.then(|| {
            let settings = member::Settings {
                cluster: "emulated".into(),
                key: Vec::new(),
                id: MemberId { number: n as u32, addr: addr(n), generation: life },
                seeds: (0..self.shape.proxies.min(3)).map(addr).collect(),
                fleet_size: self.shape.proxies as u32,
                rng_seed: seed,
            };
            let share = SharedLimit::new(ms, life, self.shape.proxies as u32, seed);
            (Member::new(ms, settings), share, ProbeCoordinator::new(n as u32, seed))
        });
        if self.shape.peer_messaging {
            self.at(self.now, Event::Ticks { proxy: n, life });
            let first = self.rng.random_range(0..ROUND_MS as Micros * 1_000);
            self.at(self.now + first, Event::Round { proxy: n, life });
        }
        Proxy {
            policy,
            out,
            life,
            paused_until: 0,
            rate: self.shape.requests_per_second,
            requests: HashMap::new(),
            counted: FetchCounts::default(),
            speaks,
            lies: false,
        }
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn second(&mut self, at: Micros) -> &mut SecondStats {
        let n = (at / SECOND) as usize;
        if self.outcome.per_second.len() <= n {
            self.outcome.per_second.resize(n + 1, SecondStats::default());
        }
        &mut self.outcome.per_second[n]
    }

    fn happens(&mut self, event: Event, end: Micros) {
        if let Some(until) =
            event.proxy().map(|n| self.proxies[n].paused_until).filter(|&until| until > self.now)
        {
            return self.at(until, event);
        }
        match event {
            Event::Client(n) => {
                if self.now >= end {
                    return;
                }
                let rate = self.proxies[n].rate;
                // One that nobody asks looks again later.
                let gap = match Exp::new(rate) {
                    Ok(gap) if rate > 0.0 => gap.sample(&mut self.rng),
                    _ => 0.1,
                };
                if rate > 0.0 {
                    let key = self.key();
                    self.second(self.now).new_requests += 1;
                    self.at(self.now, Event::Arrives { proxy: n, key, again: 0 });
                }
                self.at(self.now + (gap * 1e6) as Micros + 1, Event::Client(n));
            }
            Event::Arrives { proxy, key, again } => self.arrives(proxy, key, again),
            Event::AtNode { proxy, id, node, number, sent } => self.at_node(proxy, id, node, number, sent),
            Event::Free(node) => self.nodes[node].1.in_flight -= 1,
            Event::Ends { proxy, id, node, number, sent, ending } => {
                self.ends(proxy, &id, node, number, sent, ending);
            }
            Event::Wakes { proxy, life, label } => {
                if self.proxies[proxy].life == life {
                    let now = self.now;
                    self.proxies[proxy].policy.on_timer(now, label);
                    self.drains(proxy);
                }
            }
            Event::Datagram { to, bytes } => {
                let ms = (self.now / 1_000) as u64;
                let mut mail = BufferedTransport::default();
                if let Some((member, ..)) = &mut self.proxies[to].speaks {
                    member.handle_datagram(ms, &bytes, &mut mail);
                }
                self.posts(to, mail);
            }
            Event::Ticks { proxy, life } => {
                let ms = (self.now / 1_000) as u64;
                if self.proxies[proxy].life != life {
                    return;
                }
                let mut mail = BufferedTransport::default();
                let mut due = ms + 1;
                if let Some((member, ..)) = &mut self.proxies[proxy].speaks {
                    member.tick(ms, &mut mail);
                    due = member.next_tick_at().max(ms + 1);
                }
                self.posts(proxy, mail);
                // A datagram may set an earlier time; so it is looked at every some ms.
                let due = due.min(ms + 20);
                self.at(due as Micros * 1_000, Event::Ticks { proxy, life });
            }
            Event::Round { proxy, life } => self.round(proxy, life),
            Event::Fault(n) => self.fault(self.faults[n].1),
        }
    }

    fn key(&mut self) -> u64 {
        if self.rng.random_bool(self.shape.new_key_share) {
            self.fresh += 1;
            return self.fresh;
        }
        match Zipf::new(self.shape.key_count.max(1) as f64, SKEW) {
            Ok(zipf) => zipf.sample(&mut self.rng) as u64,
            Err(_) => 0,
        }
    }

    fn arrives(&mut self, n: usize, key: u64, again: u32) {
        self.names += 1;
        let (now, id) = (self.now, RequestId::from(format!("a{}", self.names)));
        self.second(now).requests += 1;
        let request =
            Request { key, came: now, again, attempts: 0, out: None, over: false, missed: Vec::new() };
        self.proxies[n].requests.insert(id.clone(), request);
        let arrival = IncomingRequest {
            id,
            class: 0,
            tenant: 0,
            key: Some(Key::from(key.to_string())),
            deadline: now + DEADLINE,
            expected_work: None,
            is_write: false,
        };
        self.proxies[n].policy.on_request(now, arrival);
        self.drains(n);
    }

    /// What the module asked for.
    fn drains(&mut self, n: usize) {
        loop {
            let actions = std::mem::take(&mut *self.proxies[n].out.0.borrow_mut());
            if actions.is_empty() {
                return;
            }
            for action in actions {
                let life = self.proxies[n].life;
                match action {
                    Action::Wake(label, at) => {
                        self.at(at.max(self.now), Event::Wakes { proxy: n, life, label });
                    }
                    Action::Attempt(id, node, allow_for) => {
                        let Some(&place) = self.places.get(&node) else { continue };
                        let Some(request) = self.proxies[n].requests.get_mut(&id) else { continue };
                        let (number, sent) = (request.attempts, self.now);
                        request.attempts += 1;
                        request.out = Some(number);
                        self.at(
                            sent + PATH,
                            Event::AtNode { proxy: n, id: id.clone(), node: place, number, sent },
                        );
                        let ending = AttemptStatus::TimedOut;
                        self.at(
                            sent + allow_for,
                            Event::Ends { proxy: n, id, node: place, number, sent, ending },
                        );
                    }
                    Action::Refuse(id, stay_away) => {
                        let Some((key, again)) = self.answered(n, &id) else { continue };
                        self.second(self.now).refused += 1;
                        if again < self.shape.max_retries {
                            // Clients heed the advice, and none comes at the very moment.
                            let wait = stay_away.max(50_000) + self.rng.random_range(0..50_000);
                            self.at(self.now + wait, Event::Arrives { proxy: n, key, again: again + 1 });
                        }
                    }
                    Action::Fail(id) => {
                        if self.answered(n, &id).is_some() {
                            self.second(self.now).failed += 1;
                        }
                    }
                }
            }
        }
    }

    /// A final answer; its key and how often it came again.
    fn answered(&mut self, n: usize, id: &RequestId) -> Option<(u64, u32)> {
        let request = self.proxies[n].requests.get_mut(id)?;
        self.outcome.duplicate_answers += u64::from(request.over);
        request.over = true;
        let told = (request.key, request.again);
        if request.out.is_none() {
            self.proxies[n].requests.remove(id);
        }
        Some(told)
    }

    fn at_node(&mut self, proxy: usize, id: RequestId, node: usize, number: usize, sent: Micros) {
        let origin = node + 1 == self.nodes.len();
        let now = self.now;
        let Some(request) = self.proxies[proxy].requests.get(&id) else { return };
        let (key, missed) = (request.key, request.missed.clone());
        if self.nodes[node].1.silent {
            self.second(now).unanswered_attempts += 1;
            return;
        }
        let (at, ending) = match self.nodes[node].1.accept(now) {
            None => {
                self.second(now).origin_refusals += u64::from(origin);
                (now + REFUSAL, AttemptStatus::Full)
            }
            Some(done) => {
                self.at(done, Event::Free(node));
                if origin {
                    self.second(now).origin_fetches += 1;
                    missed.iter().for_each(|&cache| {
                        self.nodes[cache].1.cached_keys.insert(key);
                    });
                    (done, AttemptStatus::Served)
                } else if self.nodes[node].1.cached_keys.contains(&key) {
                    (done, AttemptStatus::Served)
                } else {
                    (done, AttemptStatus::Miss)
                }
            }
        };
        self.at(at + PATH, Event::Ends { proxy, id, node, number, sent, ending });
    }

    fn ends(
        &mut self,
        n: usize,
        id: &RequestId,
        node: usize,
        number: usize,
        sent: Micros,
        ending: AttemptStatus,
    ) {
        let now = self.now;
        let origin = node + 1 == self.nodes.len();
        let Some(request) = self.proxies[n].requests.get_mut(id) else { return };
        // What ended before ends no second time.
        if request.out != Some(number) {
            return;
        }
        request.out = None;
        if ending == AttemptStatus::Miss {
            request.missed.push(node);
        }
        let before = request.over;
        request.over |= ending == AttemptStatus::Served;
        let (settled, came) = (request.over, request.came);
        if origin {
            let counted = &mut self.proxies[n].counted;
            counted.accepted += u64::from(ending == AttemptStatus::Served);
            counted.refused += u64::from(ending == AttemptStatus::Full);
        }
        if ending == AttemptStatus::Served && !before {
            let second = self.second(now);
            second.served += 1;
            second.served_within_target += u64::from(now <= came + TARGET);
        }
        let (name, wait) = (self.nodes[node].0.clone(), now - sent);
        let outcome = flintwell_core::interface::AttemptOutcome {
            attempt_index: number,
            status: ending,
            latency: wait,
            request_finished: settled,
            first_on_connection: false,
        };
        self.proxies[n].policy.on_attempt_outcome(now, id, &name, outcome);
        if settled {
            self.proxies[n].requests.remove(id);
        }
        self.drains(n);
    }

    fn round(&mut self, n: usize, life: u64) {
        if self.proxies[n].life != life {
            return;
        }
        let ms = (self.now / 1_000) as u64;
        let now = self.now;
        let mut mail = BufferedTransport::default();
        let proxy = &mut self.proxies[n];
        if let Some((member, share, probes)) = &mut proxy.speaks {
            proxy.counted.demanded = proxy.policy.set_origin_fetch_rate(now, share.rate(ms));
            let others = member.peers();
            let numbers: Vec<u32> = others.iter().map(|other| other.number).collect();
            let silent = proxy.policy.silent_caches();
            let names: Vec<&str> = silent.iter().map(|node| &**node).collect();
            let (hints, probed) = probes.run_round(ms, &names, &numbers);
            for (node, hint) in hints {
                let until = match hint {
                    ProbeHint::SkipFor(ms) => now + ms as Micros * 1_000,
                    ProbeHint::ProbeNow => now,
                };
                proxy.policy.defer_probe(&silent[node], until);
            }
            for (to, word) in probed {
                if let Some(to) = others.iter().find(|other| other.number == to) {
                    member.send_message(to, &word.encode(), &mut mail);
                }
            }
            for (to, mut word) in share.run_round(ms, proxy.counted, &numbers) {
                if let LimitMessage::Report { accepted: taken, refused, worth, .. } = &mut word
                    && proxy.lies
                {
                    (*taken, *refused, *worth) = (0.0, 1e6, Some(1e-6));
                }
                if let Some(to) = others.iter().find(|other| other.number == to) {
                    member.send_message(to, &word.encode(), &mut mail);
                }
            }
        }
        self.posts(n, mail);
        self.drains(n);
        self.weighs();
        self.at(now + ROUND_MS as Micros * 1_000, Event::Round { proxy: n, life });
    }

    /// Units in use over the fleet, against those there are.
    fn weighs(&mut self) {
        let ms = (self.now / 1_000) as u64;
        let in_use = |proxy: &Proxy| proxy.speaks.as_ref().map_or(0, |(_, share, _)| share.usable_units(ms));
        let all: u32 = self.proxies.iter().map(in_use).sum();
        self.outcome.max_excess_units = self
            .outcome
            .max_excess_units
            .max(all.saturating_sub(UNITS_PER_MEMBER * self.proxies.len() as u32));
    }

    /// Sends what a member says, and lets its share hear what came.
    fn posts(&mut self, n: usize, mail: BufferedTransport) {
        let ms = (self.now / 1_000) as u64;
        let mut answers = BufferedTransport::default();
        if let Some((member, share, probes)) = &mut self.proxies[n].speaks {
            for (from, bytes) in mail.delivered {
                if let Some(word) = Probed::decode(&bytes) {
                    probes.handle_message(ms, from.number, &word);
                    continue;
                }
                let answer =
                    LimitMessage::decode(&bytes).and_then(|word| share.handle_message(ms, from.number, word));
                answer.into_iter().for_each(|word| member.send_message(&from, &word.encode(), &mut answers));
            }
        }
        for (to, bytes) in mail.outgoing.into_iter().chain(answers.outgoing) {
            let to = number(to);
            let second = self.second(self.now);
            (second.datagrams_sent, second.bytes_sent) =
                (second.datagrams_sent + 1, second.bytes_sent + bytes.len() as u64);
            let cut = self.cut.is_some_and(|below| (n < below) != (to < below));
            if to >= self.proxies.len() || cut || self.rng.random::<f64>() < self.shape.datagram_loss {
                continue;
            }
            for _ in 0..1 + usize::from(self.rng.random::<f64>() < self.shape.datagram_loss) {
                let late = self.rng.random_range(0..SPREAD);
                self.at(self.now + PATH + late, Event::Datagram { to, bytes: bytes.clone() });
            }
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::OriginCapacity(room) => {
                if let Some((_, origin)) = self.nodes.last_mut() {
                    origin.workers = room;
                }
            }
            Fault::Pause { proxy, duration_us: time } => self.proxies[proxy].paused_until = self.now + time,
            Fault::Restart { proxy } => {
                let life = self.proxies[proxy].life + 1;
                let rate = self.proxies[proxy].rate;
                self.proxies[proxy] = Proxy { rate, ..self.begins(proxy, life) };
                self.drains(proxy);
            }
            Fault::Partition { split_at: below } => self.cut = Some(below),
            Fault::HealPartition => self.cut = None,
            Fault::SilentZone { zone, silent: on } => {
                let (zones, caches) = (self.shape.zones as usize, self.nodes.len() - 1);
                let within = |place: &usize| place % zones == zone as usize;
                (0..caches).filter(within).for_each(|place| self.nodes[place].1.silent = on);
            }
            Fault::RequestRate { requests_per_second: rate, loaded_proxies: below } => {
                for (n, proxy) in self.proxies.iter_mut().enumerate() {
                    proxy.rate = if n < below { rate } else { 0.0 };
                }
            }
            Fault::FalseReports { proxy } => self.proxies[proxy].lies = true,
        }
    }
}
