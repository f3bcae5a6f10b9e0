//! The load-balancing policy: chooses a node for each request and decides on retries, refusals and fetches.
//!
//! The host reports each event together with the current time; the policy responds through `Host`.

use crate::interface::*;
use crate::state::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Slots in a slot table: enough for the claims of some hundred nodes, in 16 KB.
const SLOTS: usize = 8_192;
/// Slots claimed by a node of average weight; keeps the nodes' shares within about 10% of each other.
const CLAIMS: f64 = 32.0;
/// Slots examined at most to find a key's caches; enough to find the only cache of a fleet.
const PROBES: u64 = 4_096;
/// Caches that reads of a key may try: home, spare and two more for when those are unavailable.
const RANKS: usize = 4;
/// Caches among which reads of a hot key are spread at most.
const RANKS_HOT: usize = 16;
/// In-flight requests of this proxy at the home below which the spare is not considered.
const SPILL_FLOOR: u32 = 2;
/// The home must also exceed this multiple of the proxy's mean per cache before the spare is considered.
const SPILL_FACTOR: f64 = 2.0;
/// Decay time of the request counts per key; the proxy sends some tens of requests within it.
const HEAT_FADE: Micros = 20_000_000;
/// Requests per cache within `HEAT_FADE` below which a proxy's traffic is sparse: it then uses a given cache
/// only every few seconds.
const THIN: f64 = 10.0;
/// Counters of requests by key; far more than the keys that a proxy with sparse traffic requests meanwhile.
const HEATS: usize = 512;
/// Read-through mode: how long after an answer the cache is assumed to hold the key.
const SERVED_WINDOW: Micros = 5_000_000;
/// Bounds memory; far above the number of fetches that one proxy can have in flight.
const MAX_KEYS: usize = 8_192;
/// Answer time assumed before the first answer, as a fraction of the shortest latency target.
const FIRST_SHARE: f64 = 0.125;
/// EWMA weight of a new sample; averages over about ten samples.
const SMOOTHING: f64 = 0.1;
/// EWMA weight for less frequent samples, such as those of one node.
const NODE_SMOOTHING: f64 = 0.2;
/// Age from which one new sample counts more than all earlier ones.
const ESTIMATE_AGE: f64 = 5_000_000.0;
/// The same for the origin's answer times; shorter, as all misses depend on them.
const ORIGIN_AGE: f64 = 2_000_000.0;
/// Mean deviations above the mean answer time after which an attempt times out.
const PATIENCE: f64 = 6.0;
/// Shortest time-out as a fraction of the latency target; a shorter one costs more than it saves.
const PATIENCE_FLOOR: f64 = 0.3;
/// Fraction of the latency target by which a node's mean answer time may exceed its minimum; slower nodes are
/// passed over.
const BEARABLE: f64 = 0.22;
/// Fraction of the latency target that a refusal counts as: the spare may still answer in time.
const FULL_USED: f64 = 0.7;
/// Fraction of the mean answer time for which a full node is passed over, until it has a free place again.
const FULL_SHARE: f64 = 0.3;
/// First ejection of a failing node; a few answer times.
const SKIP_FIRST: Micros = 300_000;
/// Ejections last at most 16 times the first one, so that a node's recovery is noticed within seconds.
const SKIP_DOUBLINGS: u32 = 4;
/// Nodes of a zone that fall silent in a row before the zone is ejected; unlikely while it is reachable.
const ZONE_SILENT: u32 = 3;
/// Fraction of a node's attempts that fail from which each failure ejects the node.
const FAULTY: f64 = 0.3;
/// Time after the last request to a removed node until its record is reused; far longer than any request.
const FORGOTTEN: Micros = 60_000_000;
/// Limit on concurrent fetches until the origin's answers adjust it.
const FETCHES_FIRST: f64 = 4.0;
/// Below a limit of 1, fetches are spaced out in time, since many proxies may share a weak origin.
const FETCHES_LEAST: f64 = 0.1;
/// Factor on the fetch limit at a sign of overload, at most once per answer time.
const FETCHES_CUT: f64 = 0.8;
/// Multiple of the fetch limit up to which writes are sent without queueing.
const WRITE_ROOM: f64 = 2.0;
/// Fraction of recent requests that the origin refused above which refused fetches are not retried. The
/// origin then gets half again as many requests as it can serve.
const REFUSES: f64 = 0.3;
/// Refusals that one answer of the origin pays for; without credit, only probes are sent.
const EARNS: f64 = 0.7;
/// Limit on the credit; lets a few occasional refusals cost nothing.
const EARNED_MOST: f64 = 8.0;
/// Doublings of the time between probes, which starts at the origin's mean answer time; a recovered origin is
/// noticed within a second.
const PROBE_DOUBLINGS: u32 = 3;
/// How far ahead of the granted rate's schedule a fetch may be sent, as fetches come in bursts.
const GRANT_AHEAD: Micros = 200_000;
/// Fraction of the origin's mean answer time before a refused fetch is retried.
const PAUSE: f64 = 0.5;
/// The origin counts as overloaded when its answers take this many times as long as at its best.
const FETCH_SLOW: f64 = 3.0;
/// Fraction of the shortest latency target within which the origin's answers never count as slow.
const FETCH_BEARABLE: f64 = 0.5;
/// Mean fraction of the latency target that cache answers use, above which the caches are overloaded.
const CROWDED: f64 = 0.4;
/// Fraction of the latency target recorded for a request that no cache accepted.
const NOT_TAKEN: f64 = 2.0;
/// Like `CROWDED`, for requests beyond a tenant's quota: they are shed well before the others suffer.
const CROWDED_SURPLUS: f64 = 0.13;
/// Time between steps of the admitted fractions; about one answer time.
const CONTROL: Micros = 100_000;
/// Steps made up for at most at one answer after a time without answers.
const STEPS_MOST: i64 = 20;
/// Factor on the admitted fraction per step during overload; halves it in under a second.
const ADMIT_FALL: f64 = 0.9;
/// Added to the admitted fraction per step otherwise; restores it within seconds.
const ADMIT_RISE: f64 = 0.02;
/// Some requests must always be admitted: without answers the end of an overload goes unnoticed.
const ADMIT_LEAST: f64 = 0.05;
/// Growth of a node's minimum answer time per answer, so that an outdated minimum is forgotten.
const BEST_DRIFT: f64 = 1.01;
/// The same for the origin, whose overload may last for hundreds of answers.
const ORIGIN_DRIFT: f64 = 1.001;
/// Length of a proxy's turn at a newly started node; long enough for its keys to be cached there.
const TURN: Micros = 250_000;
/// Groups of proxies that take turns in a fleet of hundreds; a quarter is about a cold node's share.
const TURN_GROUPS: u32 = 4;
/// Fraction of the ramp time in which proxies take turns at a newly started node.
const TURNS_SHARE: f64 = 0.25;
/// Requests per core that a node holds while it still answers well within a latency target.
const HELD: f64 = 2.0;
/// Largest factor by which one list update reduces the fraction of reads that a node keeps.
const LEAVE_MOST: f64 = 2.0;
/// Added to that fraction by an update that reports less load; restores it after some updates.
const LEAVE_FALL: f64 = 0.05;
/// EWMA weight of a sample for a kind's speed; averages over hundreds of answers.
const SPEED_SMOOTHING: f64 = 0.005;
/// Answers of a kind needed before its speed is used.
const SPEED_KNOWN: u32 = 100;
/// Steps per factor of two in speed, which is also the largest factor taken into account.
const SPEED_STEPS: f64 = 4.0;
/// Steps by which a kind's speed must differ from its current level before the level changes.
const SPEED_MARGIN: f64 = 0.75;
/// Cost in misses of one more copy of all keys, in units of a request's worth.
const COPY_PRICE: f64 = 0.012;
/// Factor on the fraction of requests that caches accept; used where cold nodes get first choices only.
const COLD_ROOM: f64 = 1.5;
/// Multiple of its fair share that a cold node may get from this proxy; it withstands twice that.
const COLD_MARGIN: f64 = 1.2;
/// Time per proxy of the fleet over which the first list requests are spread.
const LIST_SPREAD: Micros = 30_000;
/// Bounds that spread, as a fraction of the time limit for requesting the list.
const LIST_FIRST: f64 = 0.8;
/// Bounds that spread, too: a proxy is expected to know a change 6 s after discovery had it.
const LIST_FIRST_MOST: Micros = 5_800_000;
/// Delay before a failed list request is retried for the first time.
const LIST_RETRY: Micros = 700_000;
/// Doublings of that delay; a proxy is expected to know a change 6 s after it could be fetched.
const LIST_RETRY_MOST: u32 = 2;
/// Retry-after hint of a refusal; about the time in which a queue drains.
const STAY_AWAY: Micros = 500_000;
/// Tokens that a tenant's bucket holds at least: a proxy's part of a quota may be below one request a second.
const ALLOWANCE_LEAST: f64 = 5.0;
/// Factor on the proxy's part of a quota up to which requests are within it, as the parts are estimates.
const SHARE_ROOM: f64 = 1.3;
/// The only timer label in use.
const WAKE: u64 = 0;

/// The decision module of one proxy.
pub struct Policy<H: Host> {
    host: H,
    rng: ChaCha8Rng,
    settings: Settings,
    requests: Requests,
    joins: BTreeMap<Key, Join>,
    nodes: Nodes,
    zones: BTreeMap<u32, Zone>,
    kinds: BTreeMap<u32, Kind>,
    speeds: Average,
    places: Places,
    /// One table per node filter, so that all proxies agree on the homes of its keys.
    slots: Vec<Slots>,
    caches: Caches,
    origin: Origin,
    heat: Heat,
    tenants: Vec<Tenant>,
    list_due: Micros,
    list_failures: u32,
    next_wake: Micros,
}

impl<H: Host> Policy<H> {
    /// Creates an instance without nodes; a stored list, if any, follows as a list update.
    pub fn new(now: Micros, settings: Settings, seed: u64, host: H) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // A fleet that starts at once would request the list at once; requests late in the service's queue
        // fail and are repeated. The first requests are therefore spread over time.
        let most = ((settings.max_list_refresh_interval as f64 * LIST_FIRST) as Micros).min(LIST_FIRST_MOST);
        let spread = rng.random_range(0..=most.min(LIST_SPREAD * i64::from(settings.fleet_size)));
        let shortest = shortest_target(&settings);
        let times = Times { mean: shortest * FIRST_SHARE, deviation: shortest * FIRST_SHARE / 2.0 };
        let places = Places::new(&settings.classes);
        Policy {
            host,
            rng,
            tenants: settings.quotas.iter().map(|_| Tenant { allowance: 1.0, filled_at: now }).collect(),
            list_due: if settings.list_on_request { now + spread } else { Micros::MAX },
            settings,
            requests: Requests::default(),
            joins: BTreeMap::new(),
            nodes: Nodes::default(),
            zones: BTreeMap::new(),
            kinds: BTreeMap::new(),
            speeds: Average::default(),
            places,
            slots: Vec::new(),
            caches: Caches::new(now, times, ADMIT_LEAST),
            origin: Origin::new(now, times, FETCHES_FIRST, shortest * FETCH_BEARABLE, EARNED_MOST),
            heat: Heat::new(HEATS),
            list_failures: 0,
            next_wake: Micros::MAX,
        }
    }

    /// Switches to other settings, in which classes and tenants keep their indices; the list must follow.
    /// Learned estimates are kept: a fleet that reset its fetch limits would overload the origin at once.
    pub fn apply_settings(&mut self, now: Micros, mut settings: Settings) {
        // Requests in progress finish under their old class, which is appended after the new ones.
        self.origin.bearable = shortest_target(&settings) * FETCH_BEARABLE;
        let cases = &mut settings.classes;
        let in_hand: BTreeSet<usize> = self.requests.values().map(|request| request.class).collect();
        let moved: BTreeMap<usize, usize> = in_hand.into_iter().zip(cases.len()..).collect();
        cases.extend(moved.keys().map(|&old| self.settings.classes[old].clone()));
        self.requests.values_mut().for_each(|request| request.class = moved[&request.class]);
        let known = self.tenants.len();
        let fresh = |_| Tenant { allowance: 1.0, filled_at: now };
        self.tenants.extend((known..settings.quotas.len()).map(fresh));
        self.places = Places::new(&settings.classes);
        self.settings = settings;
        self.nodes.iter_mut().for_each(|node| node.places = self.places.holding(&node.entry));
        self.build_slots();
        self.upkeep(now);
    }

    /// Decides on a request that has arrived.
    pub fn on_request(&mut self, now: Micros, arrival: IncomingRequest) {
        let Some(case) = self.settings.classes.get(arrival.class) else {
            return self.host.fail(&arrival.id);
        };
        let target =
            now + case.latency_target + (case.target_work_factor * arrival.expected_work.unwrap_or(0) as f64) as Micros;
        let useful = if case.late_worth > 0.0 { arrival.deadline } else { target.min(arrival.deadline) };
        let (id, tenant, write) = (arrival.id.clone(), arrival.tenant, arrival.is_write);
        let request = Request::new(arrival, now, useful, self.settings.max_attempts, self.rng.random());
        let key = request.key.clone();
        self.heat.add(now, HEAT_FADE, request.slot);
        self.requests.insert(id.clone(), request);
        let late = self.caches.target_used.mean >= 1.0;
        let shut = self.rng.random::<f64>() >= self.caches.admit.now;
        if self.surplus(now, tenant, &id) {
            self.give_up(now, &id);
        } else if write {
            self.write_passes(now, &id, &key);
        } else if shut && (late || self.target(now, &id).is_none_or(|n| n.target_used.mean >= CROWDED)) {
            // Overloaded nodes answer late. The mean over all caches alone would let a few hot nodes shut out
            // reads that idle nodes could serve, so the target node must be overloaded, too.
            if self.may_fetch(now) { self.fetch(now, &id) } else { self.give_up(now, &id) }
        } else if self.settings.cache_aside {
            self.ask_cache(now, &id);
        } else {
            self.read_through(now, &id, key);
        }
    }

    /// Learns from an attempt that has ended, and decides how its request goes on.
    pub fn on_attempt_outcome(&mut self, now: Micros, id: &RequestId, node: &NodeId, outcome: AttemptOutcome) {
        let Some(node) = self.nodes.find(node) else { return };
        let target = self.requests.get(id).map(|a| self.settings.classes[a.class].latency_target as f64);
        self.observe(now, node, &outcome, target);
        // The idle connections of hundreds of proxies fill the connection table of a node or an origin.
        // Connections that are used too seldom to be worth their cost are closed.
        let worth = self.settings.connection_cost * f64::from(self.settings.fleet_size);
        let asked = self.nodes[node].asked.now(now, HEAT_FADE) - 1.0;
        let full = self.of_origin(node) && now < self.origin.full_until;
        if full || worth > 1.0 && !self.of_origin(node) && asked < worth * self.mean_heat(now) {
            self.host.close_idle(&self.nodes[node].entry.node);
        }
        // If the list does not reflect speed, nodes of a slow kind are overloaded by their share while those
        // of a fast kind idle. Steps are coarse, so that all proxies build the same table and homes rarely
        // move.
        if outcome.status == AttemptStatus::Served && !self.of_origin(node) && self.settings.weight_mode != WeightMode::Live {
            let all = self.speeds.learn(outcome.latency, SPEED_SMOOTHING);
            let kind = self.kinds.entry(self.nodes[node].entry.kind).or_default();
            let steps = kind.faster(all, outcome.latency, SPEED_SMOOTHING) * SPEED_STEPS;
            if kind.time.count >= SPEED_KNOWN && (steps - kind.level).abs() > SPEED_MARGIN {
                kind.level = steps.round().clamp(-SPEED_STEPS, SPEED_STEPS);
                self.build_slots();
            }
        }
        let attempt = self.requests.get_mut(id).and_then(|a| a.attempts.get_mut(outcome.attempt_index));
        // A late answer to a finished request only updates estimates and frees capacity at the origin.
        if attempt.is_some_and(|h| h.ending.replace(outcome.status).is_none()) {
            match outcome.status {
                ending if outcome.request_finished => self.finish(now, id, ending == AttemptStatus::Served, node),
                AttemptStatus::Miss => self.missed(now, id, node),
                // Repeating every failed fetch would overload an origin at its limit. An invalid response or
                // a reset does not indicate overload.
                AttemptStatus::InvalidResponse | AttemptStatus::Reset if Some(node) == self.origin.node => self.fetch(now, id),
                AttemptStatus::Full if Some(node) == self.origin.node => self.fetch_again(now, id, outcome.first_on_connection),
                _ if Some(node) == self.origin.node => self.give_up(now, id),
                _ => self.ask_cache(now, id),
            }
        }
        if Some(node) == self.origin.node {
            self.fetch_queued(now);
        }
        self.arm();
    }

    /// The request needs no answer any more: the client has left, or its response has begun to stream.
    pub fn on_request_closed(&mut self, now: Micros, id: &RequestId) {
        let next = self.next_lead(id);
        self.finish(now, id, false, 0);
        next.inspect(|next| self.alone(now, next));
        self.arm();
    }

    /// Takes in the node list or a part of it.
    pub fn on_list_update(&mut self, now: Micros, kind: ListUpdateKind, entries: Vec<NodeEntry>) {
        if kind == ListUpdateKind::Failed {
            // Instances that request the list at once and retry at once keep the list service overloaded;
            // retries back off with jitter.
            let wait = (LIST_RETRY << self.list_failures.min(LIST_RETRY_MOST)) as f64;
            let at = now + (wait * self.rng.random_range(0.5..1.5)) as Micros;
            self.list_failures += 1;
            self.list_due = if self.settings.list_on_request { at } else { Micros::MAX };
            return self.arm();
        }
        if kind != ListUpdateKind::Restored {
            (self.list_failures, self.list_due) = (0, Micros::MAX);
        }
        if kind != ListUpdateKind::Delta {
            self.nodes.iter_mut().for_each(|node| node.entry.state = NodeState::Gone);
        }
        let same = entries.into_iter().map(|entry| self.enter(now, entry)).fold(true, |a, b| a & b);
        let ready = |&n: &usize| self.of_origin(n) && self.nodes[n].entry.state == NodeState::Ready;
        self.origin.node = (0..self.nodes.len()).find(ready);
        (!same || kind != ListUpdateKind::Delta).then(|| self.build_slots());
        self.upkeep(now);
    }

    /// The timer with this label has fired.
    pub fn on_timer(&mut self, now: Micros, label: u64) {
        if label == WAKE && now >= self.next_wake {
            self.next_wake = Micros::MAX;
            self.upkeep(now);
        }
    }

    /// Sets the rate of fetches per second that the fleet grants this proxy at the origin; `None` for no
    /// limit. Returns how many fetches have been requested so far, sent or not.
    pub fn set_origin_fetch_rate(&mut self, now: Micros, rate: Option<f64>) -> u64 {
        self.origin.apart = rate.map_or(0, |rate| (1e6 / rate.max(1e-3)) as Micros);
        self.origin.turn = self.origin.turn.min(now + GRANT_AHEAD + self.origin.apart);
        self.fetch_queued(now);
        self.arm();
        self.origin.wanted
    }

    /// Caches that stopped answering this proxy and have not answered since.
    pub fn silent_caches(&self) -> Vec<NodeId> {
        self.nodes.silent(self.settings.origin_kind)
    }

    /// Another proxy probes this silent node until then, or, if that is past, got an answer from it.
    pub fn defer_probe(&mut self, node: &NodeId, until: Micros) {
        self.nodes.put_off(node, until);
    }

    /// Number of listed caches that are passed over now, because they drain or were ejected.
    pub fn count_avoided_caches(&self, now: Micros) -> usize {
        (0..self.nodes.len()).filter(|&n| !self.of_origin(n) && self.nodes[n].avoided(now)).count()
    }

    pub fn is_origin(&self, node: &NodeId) -> bool {
        self.nodes.find(node).is_some_and(|n| self.of_origin(n))
    }

    /// Applies a list entry; returns whether the slot tables stay valid.
    fn enter(&mut self, now: Micros, mut entry: NodeEntry) -> bool {
        let told = if entry.weight > 0.0 && entry.weight.is_finite() { entry.weight } else { 0.0 };
        // A live weight falls with load. Used as the capacity, it would move keys at every list update, and
        // all proxies away from a node together. The largest weight listed for the kind is the capacity: of
        // many nodes of a kind, some are always idle.
        let kind = self.kinds.entry(entry.kind).or_default();
        kind.most = kind.most.max(told);
        entry.weight = match self.settings.weight_mode {
            WeightMode::Declared if told > 0.0 => told,
            WeightMode::Live if kind.most > 0.0 => kind.most,
            _ => 1.0,
        };
        let node = self.nodes.of(&entry.node, now, FORGOTTEN);
        // Listed start times may be off, so a node listed as started long ago may still be cold. It counts as
        // started at the latest time possible, but no later than when that start was first listed.
        let told_start = std::mem::replace(&mut node.told_start, entry.started_at);
        if entry.started_at > 0 && self.settings.max_start_time_error > 0 {
            let latest = (entry.started_at + self.settings.max_start_time_error).min(now);
            entry.started_at = if told_start == entry.started_at { node.entry.started_at } else { latest };
        }
        node.places = self.places.holding(&entry);
        let old = &node.entry;
        let same = (old.state, old.weight, old.kind, old.zone)
            == (entry.state, entry.weight, entry.kind, entry.zone);
        if entry.started_at != node.entry.started_at {
            // A restarted node has the same id as before, but its cache is empty.
            (node.strikes, node.skip_until, node.sent) = (0, 0, Pace::default());
        }
        // In a fleet of hundreds, each proxy uses a node about twice a minute and notices its overload only
        // when that is over, so the load in the list is used. All proxies see the same list: each moves away
        // a random part of its reads, or all would leave and return together.
        if self.settings.weight_mode == WeightMode::Live && told > 0.0 {
            node.left(entry.weight / told - 1.0, HELD, LEAVE_MOST, LEAVE_FALL);
        }
        node.entry = entry;
        same
    }

    /// Rebuilds the slot tables from the ready caches in the order of their ids, alike on every proxy. Nodes
    /// claim slots by a hash of their id, so that only keys of added or removed nodes move. Ranking every
    /// node for every key instead would take too long with hundreds of nodes.
    fn build_slots(&mut self) {
        let mut ready: Vec<usize> = (0..self.nodes.len()).filter(|&n| self.is_cache(n)).collect();
        ready.sort_by(|&a, &b| self.nodes[a].entry.node.cmp(&self.nodes[b].entry.node));
        let live = self.settings.weight_mode == WeightMode::Live;
        for node in self.nodes.iter_mut() {
            let kind = self.kinds.entry(node.entry.kind).or_default();
            node.entry.weight = if live && kind.most > 0.0 { kind.most } else { node.entry.weight };
            node.size = node.entry.weight * (kind.level / SPEED_STEPS).exp2();
        }
        self.caches.ready = ready.len();
        self.caches.size = ready.iter().map(|&n| self.nodes[n].size).sum();
        // Weights have no unit. They are scaled by a power of two near their mean, which rarely changes.
        let listed: f64 = ready.iter().map(|&n| self.nodes[n].entry.weight).sum();
        let unit = (listed / ready.len().max(1) as f64).max(1e-9).log2().round().exp2();
        let claims = |n: usize| (CLAIMS * (self.nodes[n].size / unit).min(8.0)).ceil() as u64;
        let table = |place| {
            let open = ready.iter().filter(|&&n| self.nodes[n].open_to(place));
            Slots::new(SLOTS, open.map(|&n| (n, self.nodes[n].id_hash, claims(n))))
        };
        self.slots = (0..self.places.count()).map(table).collect();
    }

    /// Whether this proxy sends only a small part of each cache's traffic. Refusals are then due to chance,
    /// and its own requests in flight say little about a cache's load.
    fn thin(&self, now: Micros) -> bool {
        self.settings.fleet_size as usize > self.caches.ready || self.mean_heat(now) < THIN
    }

    fn mean_heat(&self, now: Micros) -> f64 {
        self.heat.all.now(now, HEAT_FADE) / self.caches.ready.max(1) as f64
    }

    fn of_origin(&self, n: usize) -> bool {
        self.settings.origin_kind == Some(self.nodes[n].entry.kind)
    }

    fn is_cache(&self, n: usize) -> bool {
        self.nodes[n].entry.state == NodeState::Ready && !self.of_origin(n)
    }

    /// Whether a cache node may get a request now. A cold node accepts a fraction of the values of `lot`, and
    /// nothing without one.
    fn takes(&self, now: Micros, n: usize, lot: Option<u64>) -> bool {
        let node = &self.nodes[n];
        // A burst sent to a node that still does not answer would be lost. After an ejection only one request
        // at a time is sent, until the node has answered.
        let zone = self.zones.get(&node.entry.zone).is_none_or(|z| now >= z.tried_at + z.spell);
        let trusted = zone && now >= node.skip_until && (node.strikes == 0 || node.in_flight == 0);
        let warmth = node.warmth(now, self.settings.start_capacity, self.settings.ramp_time);
        let cold_takes = || lot.is_some_and(|lot| self.cold_takes(now, n, lot, warmth));
        self.is_cache(n) && trusted && (warmth >= 1.0 || cold_takes())
    }

    /// Slow start for a cold node: all its keys at once would overload the node, and their misses the origin.
    /// It gets keys in proportion to its warmth, from the proxies in turn at first, and never more requests
    /// than a warm node of its capacity would get.
    fn cold_takes(&self, now: Micros, n: usize, lot: u64, warmth: f64) -> bool {
        let node = &self.nodes[n];
        let turns = (self.settings.ramp_time as f64 * TURNS_SHARE) as Micros;
        let fresh = node.age(now) < turns;
        // Turns go by proxy number: one proxy at a time in a small fleet, else a group of proxies.
        let most = if self.thin(now) { TURN_GROUPS } else { self.settings.fleet_size };
        let groups = ((turns / TURN) as u32).min(most).max(1);
        let turn = (now / TURN) as u32 % groups == self.settings.proxy_index % groups;
        // In an overload, warm nodes are sent more than they can accept, so the accepted requests count.
        let lately = |pace: &Pace| pace.now(now, self.settings.cold_overload_window);
        let (taken, sent) = (lately(&self.caches.taken), lately(&self.caches.sent));
        // Reducing the share by what warm nodes refused left cold nodes idle in large fleets. There, cold
        // nodes get first choices only and nothing that other nodes refused, so their load follows the
        // arrivals and the share may be larger.
        let part = warmth * (if self.thin(now) { COLD_ROOM } else { 1.0 } * taken / sent.max(1.0)).min(1.0);
        if unit(mix(node.id_hash ^ lot)) > part || fresh && !turn {
            return false;
        }
        let fair = taken / self.caches.size.max(1.0);
        // One request allowed by each of thirty proxies makes thirty. A limit below one is therefore met by
        // allowing one request in a matching part of the time windows, drawn by hash. With sparse traffic,
        // each proxy reaches a cold node only by chance, and the share above limits that.
        let most = COLD_MARGIN * fair * node.size * warmth;
        let turn = unit(draw(
            node.id_hash ^ u64::from(self.settings.proxy_index),
            (now / self.settings.cold_overload_window.max(1)) as u64,
        ));
        lately(&node.sent) < if self.thin(now) { most + 1.0 } else { (most + turn).floor() }
    }

    fn target(&self, now: Micros, id: &RequestId) -> Option<&Node> {
        self.choose(now, self.requests.get(id)?).ok().map(|n| &self.nodes[n])
    }

    /// Chooses the home, or the spare if the home has more than its part of this proxy's requests in flight.
    /// `Err(false)` allows a fetch instead: no cache accepts the key at all, or the origin has room.
    fn choose(&self, now: Micros, request: &Request) -> Result<usize, bool> {
        // The spare may lack the key. While the origin has no room, that miss would end in a refusal.
        let room = self.origin.node.is_none_or(|o| self.origin_has_room(now, o, false));
        // Hundreds of proxies overload the home of a hot key together while each has hardly a request in
        // flight there. The proxy's recent requests for the key show that instead: reads of a key that it
        // requests often are spread over more caches.
        let thin = self.thin(now);
        let own = self.heat.of(request.slot).now(now, HEAT_FADE);
        let mean = self.mean_heat(now);
        let hot = thin && own >= f64::from(SPILL_FLOOR) && own > SPILL_FACTOR * mean;
        let reach = if hot { (own / mean).ceil().min(RANKS_HOT as f64) as usize } else { 1 };
        // With sparse traffic, refusals are due to chance and the node is free a moment later, unless all
        // caches are overloaded. More ranks are then tried.
        let open = room && thin && self.caches.admit.now >= 1.0;
        let deep = if open { RANKS } else { 1 + usize::from(room) };
        // A hot key brings as much load as all other keys of a cold node, and would overload it, as would
        // requests that other nodes refused. A cold node gets neither. It gets a fraction of its keys; with
        // sparse traffic, where a proxy cannot tell which keys are hot, a random fraction of its reads.
        let lot = if thin { request.turn } else { request.slot };
        let takes = |&(rank, n): &(usize, usize)| self.takes(now, n, (rank == 0 && !hot).then_some(lot));
        let slots = self.slots.get(self.places.of(request.class)).ok_or(false)?;
        let mut ranks: Vec<usize> = slots.ranks::<RANKS_HOT>(request.slot, PROBES).collect();
        // If cross-zone attempts cost more than a copy in each zone, the home is the key's first cache in
        // this zone, and the spare the first one elsewhere.
        let near = |&n: &usize| self.nodes[n].entry.zone == self.settings.zone;
        if self.settings.cross_zone_cost > COPY_PRICE * f64::from(self.settings.zone_count) {
            let (home, spare) = (ranks.iter().copied().find(near), ranks.iter().copied().find(|n| !near(n)));
            ranks.sort_by_key(|&n| (Some(n) != home, Some(n) != spare));
        }
        let ranks = ranks.into_iter().enumerate().filter(takes);
        let mut there: Vec<usize> = ranks.map(|(_, n)| n).take(reach.max(deep)).collect();
        let turns = reach.min(there.len());
        let first = &mut there[..turns];
        first.rotate_left(request.turn as usize % first.len().max(1));
        // If several caches hold the key, one in this zone answers sooner and costs no cross-zone attempt.
        first.sort_by_key(|&n| self.nodes[n].entry.zone != self.settings.zone);
        let bearable = self.settings.classes[request.class].latency_target as f64 * BEARABLE;
        let mut open = there.iter().copied().filter(|&n| {
            let node = &self.nodes[n];
            // The network latency to another zone would make an idle node look overloaded, so the node's
            // minimum is subtracted. With sparse traffic, the minimum is not known well enough.
            let slow = node.time.mean - if thin { 0.0 } else { node.least };
            // An overloaded node would get more than it can answer in time. It is only probed while this
            // proxy has no request in flight there, and the less often the slower it is.
            let tries = || node.in_flight == 0 && unit(draw(request.turn, n as u64)) < bearable / slow;
            let left = unit(draw(request.turn, !(n as u64))) < node.leave;
            !request.tried(n) && now >= node.full_until && !left && (slow < bearable || tries())
        });
        // A request that finds both its nodes busy for a moment must not be refused while the origin has
        // room.
        let home = open.next().ok_or(!there.is_empty() && !room)?;
        let load = self.nodes[home].in_flight;
        let mean = f64::from(self.caches.in_flight) / self.caches.ready.max(1) as f64;
        if load < SPILL_FLOOR || f64::from(load) <= SPILL_FACTOR * mean {
            return Ok(home);
        }
        Ok(open.next().filter(|&spare| self.nodes[spare].in_flight < load).unwrap_or(home))
    }

    fn ask_cache(&mut self, now: Micros, id: &RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let fetches = self.settings.cache_aside && !request.write;
        let last = request.attempts.len() + 1 == request.attempts_most;
        match self.choose(now, request) {
            // A miss on the last attempt would leave none for the fetch.
            Ok(_) if last && fetches && self.may_fetch(now) => self.fetch(now, id),
            Ok(node) => self.attempt(now, id, node),
            Err(false) if fetches => self.fetch(now, id),
            Err(_) => {
                (!request.attempts.is_empty()).then(|| self.feel(now, NOT_TAKEN));
                self.give_up(now, id);
            }
        }
    }

    /// Sends a write at once. It ends the key's coalesced fetch and served window; waiting reads join the
    /// fetch made after it.
    fn write_passes(&mut self, now: Micros, id: &RequestId, key: &Key) {
        let join = self.joins.remove(key).unwrap_or_default();
        self.alone(now, id);
        for follower in join.followers {
            self.requests.unhold(&follower);
            match self.settings.cache_aside {
                true => self.missed(now, &follower, join.node),
                false => self.read_through(now, &follower, key.clone()),
            }
        }
    }

    fn read_through(&mut self, now: Micros, id: &RequestId, key: Key) {
        match self.joins.get(&key) {
            Some(join) if join.leader.is_some() => self.follow(now, id, key),
            Some(join) if now - join.served_at < SERVED_WINDOW => self.ask_cache(now, id),
            _ => {
                if let Some(Ok(node)) = self.requests.get(id).map(|a| self.choose(now, a)) {
                    self.lead(now, id, key, node);
                    return self.attempt(now, id, node);
                }
                self.give_up(now, id);
            }
        }
    }

    /// Handles a miss. In cache-aside mode, the first miss of a key leads the fetch and later ones follow it.
    fn missed(&mut self, now: Micros, id: &RequestId, node: usize) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.missed_at = Some(node);
        let key = request.key.clone();
        if request.write || !self.settings.cache_aside {
            return self.ask_cache(now, id);
        }
        if self.joins.contains_key(&key) {
            return self.follow(now, id, key);
        }
        self.lead(now, id, key, node);
        self.fetch(now, id);
    }

    fn lead(&mut self, now: Micros, id: &RequestId, key: Key, node: usize) {
        if self.joins.len() >= MAX_KEYS {
            self.joins.retain(|_, j| j.leader.is_some() || now - j.served_at < SERVED_WINDOW);
        } else {
            self.joins.insert(key, Join { leader: Some(id.clone()), node, ..Join::default() });
        }
    }

    /// Lets the request wait for the key's leader; it proceeds alone once half of its useful time has passed.
    fn follow(&mut self, now: Micros, id: &RequestId, key: Key) {
        let Some(request) = self.requests.get(id) else { return };
        let release = request.arrived + (request.useful_until - request.arrived) / 2;
        if release <= now {
            return self.alone(now, id);
        }
        if let Some(join) = self.joins.get_mut(&key) {
            join.followers.push(id.clone());
            self.hold(id, Role::Following, release);
        }
    }

    /// Makes the first follower the leader when the leader's client has left. Otherwise each follower would
    /// fetch the key.
    fn next_lead(&mut self, id: &RequestId) -> Option<RequestId> {
        let join =
            self.joins.get_mut(&self.requests.get(id)?.key).filter(|j| j.leader.as_ref() == Some(id))?;
        join.followers.retain(|follower| self.requests.contains_key(follower));
        let next = join.followers.first().cloned()?;
        join.followers.remove(0);
        join.leader = Some(next.clone());
        self.requests.unhold(&next);
        Some(next)
    }

    fn alone(&mut self, now: Micros, id: &RequestId) {
        if self.settings.cache_aside { self.fetch(now, id) } else { self.ask_cache(now, id) }
    }

    /// Whether one more request may be sent to the origin. Writes have a higher limit than fetches.
    fn origin_has_room(&self, now: Micros, origin: usize, write: bool) -> bool {
        let most = self.origin.most * if write { WRITE_ROOM } else { 1.0 };
        let free = most >= 1.0 && self.origin.earned > 0.0;
        let open = (free || now >= self.origin.after) && self.origin.turn <= now + GRANT_AHEAD;
        f64::from(self.nodes[origin].in_flight) < most.max(1.0) && open
    }

    fn may_fetch(&self, now: Micros) -> bool {
        self.settings.cache_aside && self.origin.node.is_some_and(|o| self.origin_has_room(now, o, false))
    }

    /// Sends the request to the origin, or queues it until the origin has room.
    fn fetch(&mut self, now: Micros, id: &RequestId) {
        let Some(origin) = self.origin.node else { return self.give_up(now, id) };
        self.origin.wanted += 1;
        let Some(request) = self.requests.get(id) else { return };
        let (until, expected, write) = (request.useful_until, self.origin.times.expected(), request.write);
        if self.origin_has_room(now, origin, write) {
            return self.attempt(now, id, origin);
        }
        // The origin completes requests whose clients have given up, and would stay busy with them and their
        // retries, also of writes. A request that cannot be answered in time is not queued.
        let ahead = if write { 1.0 } else { (self.origin.queue.len() + 1) as f64 } / self.origin.pace();
        if now + expected + (expected as f64 * ahead) as Micros > until {
            return self.give_up(now, id);
        }
        let place = if write { 0 } else { self.origin.queue.len() };
        self.origin.queue.insert(place, id.clone());
        self.hold(id, Role::Queued, until - expected);
    }

    /// Retries a fetch that the origin refused. Without retries, each request refused by an origin that is
    /// full for a moment would be lost. An origin that refuses many gets no retries. The delay is random, so
    /// that fetches refused together are not retried together.
    fn fetch_again(&mut self, now: Micros, id: &RequestId, first: bool) {
        let out = self.origin.node.map_or(0, |o| self.nodes[o].in_flight);
        self.origin.full_until = if first { now + ESTIMATE_AGE as Micros } else { self.origin.full_until };
        if first && out > 0 {
            // The origin's connection table is full of the connections of many proxies: it accepts no more,
            // however idle it is. The requests in flight become the limit until answers raise it again.
            self.origin.most = self.origin.most.min(f64::from(out));
            return self.fetch(now, id);
        }
        let pause = (self.origin.times.mean * PAUSE * self.rng.random_range(0.5..1.5)) as Micros;
        let until = self.requests.get(id).map_or(0, |request| request.useful_until);
        if self.origin.refused.mean > REFUSES || now + pause + self.origin.times.expected() > until {
            return self.give_up(now, id);
        }
        self.hold(id, Role::Pausing, now + pause);
    }

    fn fetch_queued(&mut self, now: Micros) {
        while let (Some(origin), Some(id)) = (self.origin.node, self.origin.queue.front().cloned()) {
            let queued = self.requests.get(&id).filter(|a| a.role == Role::Queued).map(|a| a.write);
            if queued.is_some_and(|write| !self.origin_has_room(now, origin, write)) {
                return;
            }
            self.origin.queue.pop_front();
            if queued.is_some() {
                self.requests.unhold(&id);
                self.attempt(now, &id, origin);
            }
        }
    }

    /// Whether the rules allow an attempt at this node now: deadline, number of attempts, node filter and
    /// idempotency. Checked directly before each attempt.
    fn may_attempt(&self, now: Micros, request: &Request, n: usize) -> bool {
        let case = &self.settings.classes[request.class];
        let node = &self.nodes[n];
        let over = now >= request.deadline || request.attempts.len() >= request.attempts_most;
        let out = request.attempts.iter().any(|h| h.ending.is_none());
        // A follower is sent to the cache where its leader missed, which its own class may not be allowed to
        // use.
        let open = self.of_origin(n) || node.open_to(self.places.of(request.class));
        if over || out || !open || node.entry.state != NodeState::Ready {
            return false;
        }
        let Some(first) = request.may_have_run() else { return true };
        match case.idempotency {
            Idempotency::Safe => true,
            Idempotency::Unsafe => false,
            // A repeat that waits for its connection could be sent after the deduplication window has ended.
            Idempotency::Keyed if now + self.settings.dial_timeout >= first.sent_at + case.dedup_window => false,
            Idempotency::Keyed => node.in_group(&self.nodes[first.node], case.dedup_scope),
        }
    }

    /// Whether the request may be refused, that is, whether a retry by the client does no harm.
    fn may_refuse(&self, now: Micros, request: &Request) -> bool {
        let case = &self.settings.classes[request.class];
        match request.may_have_run() {
            Some(first) if case.idempotency == Idempotency::Keyed => {
                case.dedup_scope == DedupScope::All && first.ending.is_some() && now < first.sent_at + case.dedup_window
            }
            Some(_) => case.idempotency == Idempotency::Safe,
            None => true,
        }
    }

    fn attempt(&mut self, now: Micros, id: &RequestId, n: usize) {
        let Some(request) = self.requests.get(id) else { return };
        let at_origin = Some(n) == self.origin.node;
        let times = if at_origin { &self.origin.times } else { &self.caches.times };
        let left = request.useful_until - now;
        // A further attempt is made only if the remaining time exceeds its expected duration.
        let least = if request.attempts.is_empty() { 0 } else { times.expected() };
        if left <= least || !self.may_attempt(now, request, n) {
            return self.give_up(now, id);
        }
        let floor = self.settings.classes[request.class].latency_target as f64 * PATIENCE_FLOOR;
        let patience = (times.mean + PATIENCE * times.deviation).max(floor) as Micros;
        let allow_for = if at_origin || request.write { left } else { patience.min(left) };
        let node = &mut self.nodes[n];
        node.sent.add(now, self.settings.cold_overload_window);
        node.asked.add(now, HEAT_FADE);
        node.in_flight += 1;
        if at_origin {
            self.origin.turn = self.origin.turn.max(now) + self.origin.apart;
            self.origin.after = now + (self.origin.times.mean / self.origin.most.min(1.0)) as Micros;
        } else {
            // A silent zone is probed by one request at a time.
            if let Some(zone) = self.zones.get_mut(&node.entry.zone).filter(|zone| zone.spell > 0) {
                zone.tried_at = now;
            }
            self.caches.in_flight += 1;
            self.caches.sent.add(now, self.settings.cold_overload_window);
        }
        self.host.start_attempt(id, &node.entry.node, allow_for);
        if let Some(request) = self.requests.get_mut(id) {
            request.attempts.push(Attempt { node: n, sent_at: now, ending: None });
        }
    }

    fn give_up(&mut self, now: Micros, id: &RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        match self.may_refuse(now, request) {
            true => self.host.refuse(id, STAY_AWAY.min(self.settings.max_retry_after)),
            false => self.host.fail(id),
        }
        self.finish(now, id, false, 0);
    }

    /// Removes a finished request. If it led a fetch, its followers go to its cache, or proceed alone if the
    /// fetch failed.
    fn finish(&mut self, now: Micros, id: &RequestId, served: bool, node: usize) {
        self.requests.unhold(id);
        let Some(request) = self.requests.remove(id) else { return };
        let node = request.missed_at.unwrap_or(node);
        if self.joins.get(&request.key).and_then(|j| j.leader.as_ref()) != Some(id) {
            return;
        }
        let followers = self.joins.remove(&request.key).map_or(Vec::new(), |j| j.followers);
        if served && !self.settings.cache_aside {
            self.joins.insert(request.key, Join { node, served_at: now, ..Join::default() });
        }
        for follower in followers {
            self.requests.unhold(&follower);
            let place = self.requests.get(&follower).map_or(0, |a| self.places.of(a.class));
            match served && self.is_cache(node) && self.nodes[node].open_to(place) {
                true => self.attempt(now, &follower, node),
                false => self.alone(now, &follower),
            }
        }
    }

    fn hold(&mut self, id: &RequestId, role: Role, until: Micros) {
        self.requests.hold(id, role, until);
        self.arm();
    }

    fn arm(&mut self) {
        let idle = |o: usize| self.nodes[o].in_flight == 0 && !self.origin.queue.is_empty();
        let due = self.origin.after.max(self.origin.turn - GRANT_AHEAD);
        let fetch = if self.origin.node.is_some_and(idle) { due } else { Micros::MAX };
        let at = self.requests.first_due().min(self.list_due).min(fetch);
        if at < self.next_wake {
            self.next_wake = at;
            self.host.set_timer(WAKE, at);
        }
    }

    fn upkeep(&mut self, now: Micros) {
        while let Some(id) = self.requests.due(now) {
            match self.requests.unhold(&id) {
                Role::Following | Role::Pausing => self.alone(now, &id),
                _ => self.give_up(now, &id),
            }
        }
        self.fetch_queued(now);
        if self.list_due <= now {
            self.host.subscribe_to_list();
            // Without an answer, requests the list again before the proxy is expected to know its contents.
            self.list_due = now + self.settings.max_list_refresh_interval / 2;
        }
        self.arm();
    }

    fn observe(&mut self, now: Micros, n: usize, outcome: &AttemptOutcome, target: Option<f64>) {
        let at_origin = self.of_origin(n);
        let (wait, sent_at) = (outcome.latency, now - outcome.latency);
        let (mean, thin) = (self.caches.times.mean, self.thin(now));
        let node = &mut self.nodes[n];
        node.in_flight = node.in_flight.saturating_sub(1);
        let silent = matches!(outcome.status, AttemptStatus::TimedOut | AttemptStatus::Reset | AttemptStatus::ConnectFailed);
        let fault =
            silent || matches!((outcome.status, at_origin), (AttemptStatus::Error, _) | (AttemptStatus::InvalidResponse, false));
        if fault || matches!(outcome.status, AttemptStatus::Served | AttemptStatus::Miss) {
            node.faults.learn(now, f64::from(u8::from(fault)), SMOOTHING, ESTIMATE_AGE);
        }
        // A node that accepts requests and answers none, or answers most at once with an error, looks idle
        // and would attract requests. A single silent connection or invalid response can also come from a
        // healthy node: silence counts only if nothing was received since the attempt began, faults only by
        // their rate.
        let struck = silent && node.heard_at <= sent_at || fault && node.faults.mean > FAULTY;
        // Without zone ejection, the loss of a zone would be detected node by node, and again when each
        // node's ejection ends.
        let zone = self.zones.entry(node.entry.zone).or_default();
        if silent && !at_origin && zone.heard_at <= sent_at {
            zone.silent += u32::from(node.strikes == 0);
            (zone.silent >= ZONE_SILENT).then(|| zone.strike(now, SKIP_FIRST, SKIP_DOUBLINGS));
        } else if !silent && !matches!(outcome.status, AttemptStatus::Cancelled | AttemptStatus::NotSent) {
            *zone = Zone { heard_at: now, ..Zone::default() };
        }
        match outcome.status {
            _ if struck => node.strike(now, SKIP_FIRST, SKIP_DOUBLINGS),
            AttemptStatus::Served | AttemptStatus::Miss | AttemptStatus::Full | AttemptStatus::Error | AttemptStatus::InvalidResponse => {
                (node.heard_at, node.strikes, node.skip_until) = (now, 0, 0);
                match outcome.status {
                    AttemptStatus::Full => node.full_until = now + (mean * FULL_SHARE) as Micros,
                    AttemptStatus::Served if !at_origin => self.caches.taken.add(now, self.settings.cold_overload_window),
                    AttemptStatus::Miss if thin => self.caches.taken.add(now, self.settings.cold_overload_window),
                    _ => {}
                }
            }
            _ => {}
        }
        if at_origin {
            return self.learn_origin(now, outcome, struck);
        }
        self.caches.in_flight = self.caches.in_flight.saturating_sub(1);
        let used = match outcome.status {
            AttemptStatus::Cancelled | AttemptStatus::NotSent => return,
            AttemptStatus::Full | AttemptStatus::ConnectFailed => FULL_USED,
            _ => target.map_or(self.caches.target_used.mean, |target| wait as f64 / target.max(1.0)),
        };
        // A proxy that uses a node twice a minute must not judge it by answers that are minutes old, so old
        // samples lose weight. A refusal is a momentary state and does not outweigh them.
        let full = matches!(outcome.status, AttemptStatus::Full | AttemptStatus::ConnectFailed);
        let age = if full { f64::INFINITY } else { ESTIMATE_AGE };
        node.target_used.learn(now, used, NODE_SMOOTHING, age);
        // Time-outs at unreachable nodes would raise the mean answer time, and with it the time-out of all
        // attempts.
        if matches!(outcome.status, AttemptStatus::Served | AttemptStatus::Miss | AttemptStatus::TimedOut) && !struck {
            node.time.learn(now, wait as f64, NODE_SMOOTHING, age);
            node.learn_least(wait as f64, BEST_DRIFT);
            self.caches.times.learn(wait, SMOOTHING);
        }
        if !full || !thin {
            self.feel(now, used);
        }
    }

    /// Records the fraction of its latency target that a request used at the caches, and steps the admitted
    /// fractions. A refused attempt counts as little if another cache may still answer in time.
    fn feel(&mut self, now: Micros, used: f64) {
        // A proxy that admits few requests gets few answers. Old samples lose weight, or it would keep
        // shedding long after the overload.
        self.caches.target_used.learn(now, used, SMOOTHING, ESTIMATE_AGE);
        let all = &mut self.caches;
        for (share, most) in [(&mut all.admit, CROWDED), (&mut all.surplus, CROWDED_SURPLUS)] {
            let steps = ((now - share.at) / CONTROL).min(STEPS_MOST) as f64;
            let (fall, rise) =
                if all.target_used.mean > most { (ADMIT_FALL, 0.0) } else { (1.0, ADMIT_RISE) };
            share.step(now, steps, fall, rise, ADMIT_LEAST);
        }
    }

    fn learn_origin(&mut self, now: Micros, outcome: &AttemptOutcome, struck: bool) {
        if outcome.status == AttemptStatus::Served {
            // A proxy that fetches every few seconds would consider the origin slow long after it recovered,
            // so old samples lose weight.
            self.origin.answers(now, outcome.latency, SMOOTHING, ORIGIN_AGE);
            self.origin.best = (self.origin.best * ORIGIN_DRIFT).min(self.origin.times.mean);
        }
        // A refusal takes no time, so a limit on concurrent fetches does not slow down refused ones: twelve
        // proxies with room for six fetches sent thirteen for each that was accepted, and larger fleets send
        // more. Refusals therefore use up credit.
        match outcome.status {
            AttemptStatus::Served => self.origin.pays(EARNS, EARNED_MOST),
            AttemptStatus::Full => {
                self.origin.refuses(now, -EARNS, PROBE_DOUBLINGS, || self.rng.random_range(0.5..1.5))
            }
            _ => {}
        }
        // A refusal on a new connection means that the connection table is full, not that the origin is
        // overloaded.
        let refused = outcome.status == AttemptStatus::Full && !outcome.first_on_connection;
        if refused || outcome.status == AttemptStatus::Served {
            self.origin.refused.learn(now, f64::from(u8::from(refused)), NODE_SMOOTHING, f64::INFINITY);
        }
        let strained = match outcome.status {
            AttemptStatus::Served => self.origin.slow(FETCH_SLOW),
            AttemptStatus::Miss | AttemptStatus::Cancelled | AttemptStatus::NotSent | AttemptStatus::InvalidResponse | AttemptStatus::Unknown => return,
            // Refusals do not reduce the limit. Single ones occur by chance, and each reduced the limit of
            // one proxy among a hundred to one fetch per second. They already use up credit, and a limit
            // reduced as well would take long to recover.
            _ => struck,
        };
        // One proxy among hundreds, with one fetch per second, would take half a minute to reduce its limit.
        // It makes up for the answer times that have passed.
        let cuts = self.origin.silence(now).clamp(1, STEPS_MOST) as i32;
        let used = self.origin.node.map_or(0, |o| self.nodes[o].in_flight + 1);
        if outcome.status == AttemptStatus::Served && !strained && f64::from(used) >= self.origin.most / 2.0 {
            self.origin.most += 1.0 / self.origin.most.max(1.0);
        } else if strained && now - self.origin.cut_at >= self.origin.times.expected() {
            self.origin.most = (self.origin.most * FETCHES_CUT.powi(cuts)).max(FETCHES_LEAST);
            self.origin.cut_at = now;
        }
    }

    /// Whether to shed this request because it exceeds the proxy's part of its tenant's quota. Idle nodes
    /// alone do not admit it: in a fleet of hundreds, each proxy has nothing in flight at its nodes while all
    /// together overload them with requests beyond the quotas.
    fn surplus(&mut self, now: Micros, tenant: usize, id: &RequestId) -> bool {
        let Some(quota) = self.settings.quotas.get(tenant) else { return false };
        let part = quota / f64::from(self.settings.fleet_size.max(1));
        let within = self.tenants[tenant].take(now, part * SHARE_ROOM, ALLOWANCE_LEAST);
        let shut = self.rng.random::<f64>() >= self.caches.surplus.now;
        !within && (shut || self.target(now, id).is_none_or(|n| n.in_flight > 0))
    }
}
