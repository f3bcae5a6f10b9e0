//! The load-balancing policy: chooses a node for each request and decides on retries, refusals and fetches.
//!
//! The host reports each event together with the current time; the policy responds through `Host`.

use crate::interface::*;
use crate::state::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Slots in a slot table: enough for the claims of some hundred nodes, in 16 KB.
const SLOT_COUNT: usize = 8_192;
/// Slots claimed by a node of average weight; keeps the nodes' shares within about 10% of each other.
const SLOT_CLAIMS_PER_NODE: f64 = 32.0;
/// Slots examined at most to find a key's caches; enough to find the only cache of a fleet.
const MAX_SLOT_PROBES: u64 = 4_096;
/// Caches that reads of a key may try: home, spare and two more for when those are unavailable.
const MAX_CACHES_PER_KEY: usize = 4;
/// Caches among which reads of a hot key are spread at most.
const MAX_CACHES_PER_HOT_KEY: usize = 16;
/// In-flight requests of this proxy at the home below which the spare is not considered. Also the recent
/// requests for a key from which it may count as hot.
const MIN_SPILL_IN_FLIGHT: u32 = 2;
/// The home must also exceed this multiple of the proxy's mean per cache before the spare is considered, and
/// a hot key this multiple of its mean recent requests per cache.
const SPILL_FACTOR: f64 = 2.0;
/// Decay time of the request counts per key; the proxy sends some tens of requests within it.
const REQUEST_COUNT_DECAY: Micros = 20_000_000;
/// Requests per cache within `REQUEST_COUNT_DECAY` below which a proxy's traffic is sparse: it then uses a
/// given cache only every few seconds.
const SPARSE_REQUESTS_PER_CACHE: f64 = 10.0;
/// Counters of requests by key; far more than the keys that a proxy with sparse traffic requests meanwhile.
const KEY_COUNTERS: usize = 512;
/// Read-through mode: how long after an answer the cache is assumed to hold the key.
const SERVED_WINDOW: Micros = 5_000_000;
/// Bounds memory; far above the number of fetches that one proxy can have in flight.
const MAX_KEY_FETCHES: usize = 8_192;
/// Answer time assumed before the first answer, as a fraction of the shortest latency target.
const INITIAL_ANSWER_TIME_FRACTION: f64 = 0.125;
/// EWMA weight of a new sample; averages over about ten samples.
const EWMA_WEIGHT: f64 = 0.1;
/// EWMA weight for less frequent samples, such as those of one node.
const SPARSE_EWMA_WEIGHT: f64 = 0.2;
/// Age from which one new sample counts more than all earlier ones.
const ESTIMATE_DECAY_US: f64 = 5_000_000.0;
/// The same for the origin's answer times; shorter, as all misses depend on them.
const ORIGIN_ESTIMATE_DECAY_US: f64 = 2_000_000.0;
/// Mean deviations above the mean answer time after which an attempt times out.
const TIMEOUT_DEVIATIONS: f64 = 6.0;
/// Shortest time-out as a fraction of the latency target; a shorter one costs more than it saves.
const MIN_TIMEOUT_FRACTION: f64 = 0.3;
/// Fraction of the latency target by which a node's mean answer time may exceed its minimum; slower nodes are
/// passed over.
const MAX_ADDED_LATENCY_FRACTION: f64 = 0.22;
/// Fraction of the latency target that a refusal counts as: the spare may still answer in time.
const REFUSAL_TARGET_FRACTION: f64 = 0.7;
/// Fraction of the mean answer time for which a full node is passed over, until it has a free place again.
const FULL_BACKOFF_FRACTION: f64 = 0.3;
/// First ejection of a failing node; a few answer times.
const BASE_EJECTION_TIME: Micros = 300_000;
/// Ejections last at most 16 times the first one, so that a node's recovery is noticed within seconds.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Consecutive nodes of a zone that stop responding before the zone is ejected; unlikely while it is reachable.
const ZONE_EJECTION_THRESHOLD: u32 = 3;
/// Fraction of a node's attempts that fail from which each failure ejects the node.
const FAULT_RATE_THRESHOLD: f64 = 0.3;
/// Time after the last request to a removed node until its record is reused; far longer than any request.
const NODE_RECORD_RETENTION: Micros = 60_000_000;
/// Limit on concurrent fetches until the origin's answers adjust it.
const INITIAL_FETCH_LIMIT: f64 = 4.0;
/// Below a limit of 1, fetches are spaced out in time, since many proxies may share a weak origin.
const MIN_FETCH_LIMIT: f64 = 0.1;
/// Factor on the fetch limit at a sign of overload, at most once per answer time.
const FETCH_LIMIT_DECREASE: f64 = 0.8;
/// Multiple of the fetch limit up to which writes are sent without queueing.
const WRITE_LIMIT_FACTOR: f64 = 2.0;
/// Fraction of recent requests that the origin refused above which refused fetches are not retried. The
/// origin then receives about 50 % more requests than it can serve.
const MAX_RETRY_REFUSAL_RATE: f64 = 0.3;
/// Refusals that one answer of the origin pays for; without credit, only probes are sent.
const REFUSAL_CREDIT_PER_ANSWER: f64 = 0.7;
/// Limit on the credit; lets a few occasional refusals cost nothing.
const MAX_REFUSAL_CREDIT: f64 = 8.0;
/// Doublings of the time between probes, which starts at the origin's mean answer time; a recovered origin is
/// noticed within a second.
const MAX_PROBE_DOUBLINGS: u32 = 3;
/// How far ahead of the granted rate's schedule a fetch may be sent, as fetches come in bursts.
const MAX_FETCH_ADVANCE: Micros = 200_000;
/// Fraction of the origin's mean answer time before a refused fetch is retried.
const FETCH_RETRY_DELAY_FRACTION: f64 = 0.5;
/// The origin counts as overloaded when its answers take this many times as long as at its best.
const ORIGIN_OVERLOAD_FACTOR: f64 = 3.0;
/// Fraction of the shortest latency target within which the origin's answers never count as slow.
const ORIGIN_ACCEPTABLE_FRACTION: f64 = 0.5;
/// Mean fraction of the latency target that cache answers use, above which the caches are overloaded.
const OVERLOAD_TARGET_FRACTION: f64 = 0.4;
/// Fraction of the latency target recorded for a request that no cache accepted.
const UNSERVED_TARGET_FRACTION: f64 = 2.0;
/// Like `OVERLOAD_TARGET_FRACTION`, for requests beyond a tenant's quota: they are shed well before the
/// others suffer.
const OVER_QUOTA_OVERLOAD_TARGET_FRACTION: f64 = 0.13;
/// Time between steps of the admitted fractions; about one answer time.
const ADMISSION_INTERVAL: Micros = 100_000;
/// Steps made up for at most at one answer after a time without answers.
const MAX_CATCH_UP_STEPS: i64 = 20;
/// Factor on the admitted fraction per step during overload; halves it in under a second.
const ADMISSION_DECREASE: f64 = 0.9;
/// Added to the admitted fraction per step otherwise; restores it within seconds.
const ADMISSION_INCREASE: f64 = 0.02;
/// Some requests must always be admitted: without answers the end of an overload goes unnoticed.
const MIN_ADMITTED_FRACTION: f64 = 0.05;
/// Growth of a node's minimum answer time per answer, so that an outdated minimum is forgotten.
const MIN_LATENCY_DRIFT: f64 = 1.01;
/// The same for the origin, whose overload may last for hundreds of answers.
const ORIGIN_MIN_LATENCY_DRIFT: f64 = 1.001;
/// Length of a proxy's turn at a newly started node; long enough for its keys to be cached there.
const WARMUP_TURN: Micros = 250_000;
/// Groups of proxies that take turns in a fleet of hundreds; a quarter is about a cold node's share.
const MAX_WARMUP_GROUPS: u32 = 4;
/// Fraction of the ramp time in which proxies take turns at a newly started node.
const WARMUP_TURNS_FRACTION: f64 = 0.25;
/// Requests per core that a node holds while it still answers well within a latency target.
const HEALTHY_REQUESTS_PER_CORE: f64 = 2.0;
/// Largest factor by which one list update reduces the fraction of reads that a node keeps.
const MAX_READ_SHARE_CUT: f64 = 2.0;
/// Added to that fraction by an update that reports less load; restores it after some updates.
const READ_SHARE_RECOVERY: f64 = 0.05;
/// EWMA weight of a sample for a kind's speed; averages over hundreds of answers.
const SPEED_EWMA_WEIGHT: f64 = 0.005;
/// Answers of a kind needed before its speed is used.
const MIN_SPEED_SAMPLES: u32 = 100;
/// Steps per factor of two in speed, which is also the largest factor taken into account.
const SPEED_STEPS_PER_DOUBLING: f64 = 4.0;
/// Steps by which a kind's speed must differ from its current level before the level changes.
const SPEED_HYSTERESIS_STEPS: f64 = 0.75;
/// Cost in misses of one more copy of all keys, in units of a request's worth.
const COPY_COST: f64 = 0.012;
/// Factor on the fraction of requests that caches accept; used where cold nodes get first choices only.
const COLD_SHARE_FACTOR: f64 = 1.5;
/// Multiple of its fair share that a cold node may get from this proxy; it withstands twice that.
const COLD_LOAD_FACTOR: f64 = 1.2;
/// Time per proxy of the fleet over which the first list requests are spread.
const LIST_REQUEST_SPREAD_PER_PROXY: Micros = 30_000;
/// Bounds that spread, as a fraction of the time limit for requesting the list.
const MAX_LIST_REQUEST_SPREAD_FRACTION: f64 = 0.8;
/// Bounds that spread, too: a proxy is expected to know a change 6 s after discovery had it.
const MAX_LIST_REQUEST_SPREAD: Micros = 5_800_000;
/// Delay before a failed list request is retried for the first time.
const LIST_RETRY_DELAY: Micros = 700_000;
/// Doublings of that delay; a proxy is expected to know a change 6 s after it could be fetched.
const MAX_LIST_RETRY_DOUBLINGS: u32 = 2;
/// Retry-after hint of a refusal; about the time in which a queue drains.
const RETRY_AFTER: Micros = 500_000;
/// Tokens that a tenant's bucket holds at least: a proxy's part of a quota may be below one request a second.
const MIN_QUOTA_BURST: f64 = 5.0;
/// Factor on the proxy's part of a quota up to which requests are within it, as the parts are estimates.
const QUOTA_TOLERANCE: f64 = 1.3;
/// The only timer label in use.
const TIMER_LABEL: u64 = 0;

/// The decision module of one proxy.
pub struct Policy<H: Host> {
    host: H,
    rng: ChaCha8Rng,
    settings: Settings,
    requests: Requests,
    key_fetches: BTreeMap<Key, KeyFetch>,
    nodes: Nodes,
    zone_health: BTreeMap<u32, ZoneHealth>,
    kind_stats: BTreeMap<u32, KindStats>,
    /// Over all caches; the reference for the speed of a kind.
    mean_answer_time: RunningMean,
    filters: NodeFilters,
    /// One table per node filter, so that all proxies agree on the homes of its keys.
    slot_tables: Vec<SlotTable>,
    caches: CacheStats,
    origin: OriginState,
    request_counts: RequestCounts,
    tenants: Vec<TokenBucket>,
    list_request_due: Micros,
    list_failures: u32,
    /// Earliest time for which a timer is set.
    next_wake: Micros,
}

impl<H: Host> Policy<H> {
    /// Creates an instance without nodes; a stored list, if any, follows as a list update.
    pub fn new(now: Micros, settings: Settings, seed: u64, host: H) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // A fleet that starts at once would request the list at once; requests late in the service's queue
        // fail and are repeated. The first requests are therefore spread over time.
        let interval = settings.max_list_refresh_interval as f64;
        let max_spread =
            ((interval * MAX_LIST_REQUEST_SPREAD_FRACTION) as Micros).min(MAX_LIST_REQUEST_SPREAD);
        let fleet_spread = LIST_REQUEST_SPREAD_PER_PROXY * i64::from(settings.fleet_size);
        let spread = rng.random_range(0..=max_spread.min(fleet_spread));
        let shortest_target = shortest_latency_target(&settings);
        let initial_times = AnswerTimes {
            mean: shortest_target * INITIAL_ANSWER_TIME_FRACTION,
            deviation: shortest_target * INITIAL_ANSWER_TIME_FRACTION / 2.0,
        };
        let filters = NodeFilters::new(&settings.classes);
        Policy {
            host,
            rng,
            tenants: settings
                .tenant_quotas_rps
                .iter()
                .map(|_| TokenBucket { tokens: 1.0, refilled_at: now })
                .collect(),
            list_request_due: if settings.list_on_request { now + spread } else { Micros::MAX },
            settings,
            requests: Requests::default(),
            key_fetches: BTreeMap::new(),
            nodes: Nodes::default(),
            zone_health: BTreeMap::new(),
            kind_stats: BTreeMap::new(),
            mean_answer_time: RunningMean::default(),
            filters,
            slot_tables: Vec::new(),
            caches: CacheStats::new(now, initial_times, MIN_ADMITTED_FRACTION),
            origin: OriginState::new(
                now,
                initial_times,
                INITIAL_FETCH_LIMIT,
                shortest_target * ORIGIN_ACCEPTABLE_FRACTION,
                MAX_REFUSAL_CREDIT,
            ),
            request_counts: RequestCounts::new(KEY_COUNTERS),
            list_failures: 0,
            next_wake: Micros::MAX,
        }
    }

    /// Switches to other settings, in which classes and tenants keep their indices; the list must follow.
    /// Learned estimates are kept: a fleet that reset its fetch limits would overload the origin at once.
    pub fn apply_settings(&mut self, now: Micros, mut settings: Settings) {
        // Requests in progress finish under their old class, which is appended after the new ones.
        self.origin.acceptable_answer_time = shortest_latency_target(&settings) * ORIGIN_ACCEPTABLE_FRACTION;
        let classes = &mut settings.classes;
        let classes_in_use: BTreeSet<usize> = self.requests.values().map(|request| request.class).collect();
        let moved_to: BTreeMap<usize, usize> = classes_in_use.into_iter().zip(classes.len()..).collect();
        classes.extend(moved_to.keys().map(|&old| self.settings.classes[old].clone()));
        self.requests.values_mut().for_each(|request| request.class = moved_to[&request.class]);
        let known_tenants = self.tenants.len();
        let new_bucket = |_| TokenBucket { tokens: 1.0, refilled_at: now };
        self.tenants.extend((known_tenants..settings.tenant_quotas_rps.len()).map(new_bucket));
        self.filters = NodeFilters::new(&settings.classes);
        self.settings = settings;
        self.nodes.iter_mut().for_each(|node| node.filter_bits = self.filters.matching_bits(&node.entry));
        self.build_slots();
        self.run_due_work(now);
    }

    /// Decides on a request that has arrived.
    pub fn on_request(&mut self, now: Micros, incoming: IncomingRequest) {
        let Some(class) = self.settings.classes.get(incoming.class) else {
            return self.host.fail_request(&incoming.id);
        };
        let target = now
            + class.latency_target
            + (class.target_work_factor * incoming.expected_work.unwrap_or(0) as f64) as Micros;
        let useful_until =
            if class.late_worth > 0.0 { incoming.deadline } else { target.min(incoming.deadline) };
        let (id, tenant, is_write) = (incoming.id.clone(), incoming.tenant, incoming.is_write);
        let request =
            Request::new(incoming, now, useful_until, self.settings.max_attempts, self.rng.random());
        let key = request.key.clone();
        self.request_counts.add(now, REQUEST_COUNT_DECAY, request.key_hash);
        self.requests.insert(id.clone(), request);
        let caches_late = self.caches.target_fraction.mean >= 1.0;
        let shed = self.rng.random::<f64>() >= self.caches.admitted_reads.value;
        if self.exceeds_quota(now, tenant, &id) {
            self.give_up(now, &id, EndReason::Quota);
        } else if is_write {
            self.forward_write(now, &id, &key);
        } else if shed
            && (caches_late
                || self
                    .preferred_node(now, &id)
                    .is_none_or(|node| node.target_fraction.mean >= OVERLOAD_TARGET_FRACTION))
        {
            // Overloaded nodes answer late. The mean over all caches alone would let a few hot nodes shut out
            // reads that idle nodes could serve, so the target node must be overloaded, too.
            if self.can_fetch(now) {
                self.fetch(now, &id)
            } else {
                self.give_up(now, &id, EndReason::Overload)
            }
        } else if self.settings.cache_aside {
            self.send_to_cache(now, &id);
        } else {
            self.read_through(now, &id, key);
        }
    }

    /// Learns from an attempt that has ended, and decides the next step of its request.
    pub fn on_attempt_outcome(
        &mut self,
        now: Micros,
        id: &RequestId,
        node: &NodeId,
        outcome: AttemptOutcome,
    ) {
        let Some(node) = self.nodes.find(node) else { return };
        let target =
            self.requests.get(id).map(|request| self.settings.classes[request.class].latency_target as f64);
        self.record_outcome(now, node, &outcome, target);
        // The idle connections of hundreds of proxies fill the connection table of a node or an origin.
        // Connections that are used too seldom to be worth their cost are closed.
        let connection_cost = self.settings.connection_cost * f64::from(self.settings.fleet_size);
        let requests = self.nodes[node].long_term_requests.value(now, REQUEST_COUNT_DECAY) - 1.0;
        let connections_full = self.is_origin_node(node) && now < self.origin.connections_full_until;
        if connections_full
            || connection_cost > 1.0
                && !self.is_origin_node(node)
                && requests < connection_cost * self.mean_requests_per_cache(now)
        {
            self.host.close_idle(&self.nodes[node].entry.node);
        }
        // If the list does not reflect speed, nodes of a slow kind are overloaded by their share while those
        // of a fast kind idle. Steps are coarse, so that all proxies build the same table and homes rarely
        // move.
        if outcome.status == AttemptStatus::Served
            && !self.is_origin_node(node)
            && self.settings.weight_mode != WeightMode::Live
        {
            let mean_answer_time = self.mean_answer_time.record(outcome.latency, SPEED_EWMA_WEIGHT);
            let kind = self.kind_stats.entry(self.nodes[node].entry.kind).or_default();
            let steps = kind.record_speed(mean_answer_time, outcome.latency, SPEED_EWMA_WEIGHT)
                * SPEED_STEPS_PER_DOUBLING;
            if kind.answer_time.count >= MIN_SPEED_SAMPLES
                && (steps - kind.speed_level).abs() > SPEED_HYSTERESIS_STEPS
            {
                kind.speed_level = steps.round().clamp(-SPEED_STEPS_PER_DOUBLING, SPEED_STEPS_PER_DOUBLING);
                self.build_slots();
            }
        }
        let attempt =
            self.requests.get_mut(id).and_then(|request| request.attempts.get_mut(outcome.attempt_index));
        // A late answer to a finished request only updates estimates and frees capacity at the origin.
        if attempt.is_some_and(|attempt| attempt.status.replace(outcome.status).is_none()) {
            match outcome.status {
                status if outcome.request_finished => {
                    self.finish(now, id, status == AttemptStatus::Served, node)
                }
                AttemptStatus::Miss => self.on_miss(now, id, node),
                // Repeating every failed fetch would overload an origin at its limit. An invalid response or
                // a reset does not indicate overload.
                AttemptStatus::InvalidResponse | AttemptStatus::Reset if Some(node) == self.origin.node => {
                    self.fetch(now, id)
                }
                AttemptStatus::Full if Some(node) == self.origin.node => {
                    self.retry_refused_fetch(now, id, outcome.first_on_connection)
                }
                _ if Some(node) == self.origin.node => self.give_up(now, id, EndReason::OriginFailed),
                _ => self.send_to_cache(now, id),
            }
        }
        if Some(node) == self.origin.node {
            self.send_queued_fetches(now);
        }
        self.arm_timer();
    }

    /// The request needs no answer any more: the client has left, or its response has begun to stream.
    pub fn on_request_closed(&mut self, now: Micros, id: &RequestId) {
        let next = self.promote_follower(id);
        self.finish(now, id, false, 0);
        next.inspect(|next| self.proceed_alone(now, next));
        self.arm_timer();
    }

    /// Takes in the node list or a part of it.
    pub fn on_list_update(&mut self, now: Micros, kind: ListUpdateKind, entries: Vec<NodeEntry>) {
        if kind == ListUpdateKind::Failed {
            // Instances that request the list at once and retry at once keep the list service overloaded;
            // retries back off with jitter.
            let delay = (LIST_RETRY_DELAY << self.list_failures.min(MAX_LIST_RETRY_DOUBLINGS)) as f64;
            let retry_at = now + (delay * self.rng.random_range(0.5..1.5)) as Micros;
            self.list_failures += 1;
            self.list_request_due = if self.settings.list_on_request { retry_at } else { Micros::MAX };
            return self.arm_timer();
        }
        if kind != ListUpdateKind::Restored {
            (self.list_failures, self.list_request_due) = (0, Micros::MAX);
        }
        if kind != ListUpdateKind::Delta {
            self.nodes.iter_mut().for_each(|node| node.entry.state = NodeState::Gone);
        }
        let tables_valid =
            entries.into_iter().map(|entry| self.apply_entry(now, entry)).fold(true, |a, b| a & b);
        let is_ready_origin =
            |&n: &usize| self.is_origin_node(n) && self.nodes[n].entry.state == NodeState::Ready;
        self.origin.node = (0..self.nodes.len()).find(is_ready_origin);
        (!tables_valid || kind != ListUpdateKind::Delta).then(|| self.build_slots());
        self.run_due_work(now);
    }

    /// The timer with this label has fired.
    pub fn on_timer(&mut self, now: Micros, label: u64) {
        if label == TIMER_LABEL && now >= self.next_wake {
            self.next_wake = Micros::MAX;
            self.run_due_work(now);
        }
    }

    /// Sets the rate of fetches per second that the fleet grants this proxy at the origin; `None` for no
    /// limit. Returns how many fetches have been requested so far, sent or not.
    pub fn set_origin_fetch_rate(&mut self, now: Micros, rate: Option<f64>) -> u64 {
        self.origin.fetch_interval = rate.map_or(0, |rate| (1e6 / rate.max(1e-3)) as Micros);
        self.origin.next_scheduled_fetch =
            self.origin.next_scheduled_fetch.min(now + MAX_FETCH_ADVANCE + self.origin.fetch_interval);
        self.send_queued_fetches(now);
        self.arm_timer();
        self.origin.fetch_demand
    }

    /// Caches that stopped answering this proxy and have not answered since.
    pub fn silent_caches(&self) -> Vec<NodeId> {
        self.nodes.silent_except(self.settings.origin_kind)
    }

    /// Another proxy probes this silent node until then, or, if that is past, got an answer from it.
    pub fn defer_probe(&mut self, node: &NodeId, until: Micros) {
        self.nodes.defer_probe(node, until);
    }

    /// Number of listed caches that are passed over now, because they drain or were ejected.
    pub fn count_avoided_caches(&self, now: Micros) -> usize {
        (0..self.nodes.len()).filter(|&n| !self.is_origin_node(n) && self.nodes[n].is_avoided(now)).count()
    }

    /// Whether this node is the origin.
    pub fn is_origin(&self, node: &NodeId) -> bool {
        self.nodes.find(node).is_some_and(|n| self.is_origin_node(n))
    }

    /// Applies a list entry; returns whether the slot tables stay valid.
    fn apply_entry(&mut self, now: Micros, mut entry: NodeEntry) -> bool {
        let listed_weight = if entry.weight > 0.0 && entry.weight.is_finite() { entry.weight } else { 0.0 };
        // A live weight falls with load. Used as the capacity, it would move keys at every list update, and
        // all proxies away from a node together. The largest weight listed for the kind is the capacity: of
        // many nodes of a kind, some are always idle.
        let kind = self.kind_stats.entry(entry.kind).or_default();
        kind.max_weight = kind.max_weight.max(listed_weight);
        entry.weight = match self.settings.weight_mode {
            WeightMode::Declared if listed_weight > 0.0 => listed_weight,
            WeightMode::Live if kind.max_weight > 0.0 => kind.max_weight,
            _ => 1.0,
        };
        let node = self.nodes.get_or_insert(&entry.node, now, NODE_RECORD_RETENTION);
        // Listed start times may be off, so a node listed as started long ago may still be cold. It counts as
        // started at the latest time possible, but no later than when that start was first listed.
        let previous_listed_start = std::mem::replace(&mut node.listed_start, entry.started_at);
        if entry.started_at > 0 && self.settings.max_start_time_error > 0 {
            let latest = (entry.started_at + self.settings.max_start_time_error).min(now);
            entry.started_at =
                if previous_listed_start == entry.started_at { node.entry.started_at } else { latest };
        }
        node.filter_bits = self.filters.matching_bits(&entry);
        let old = &node.entry;
        let unchanged = (old.state, old.weight, old.kind, old.zone)
            == (entry.state, entry.weight, entry.kind, entry.zone);
        if entry.started_at != node.entry.started_at {
            // A restarted node has the same id as before, but its cache is empty.
            (node.ejections, node.ejected_until, node.recent_requests) = (0, 0, DecayingCount::default());
        }
        // In a fleet of hundreds, each proxy uses a node about twice a minute and notices its overload only
        // when that is over, so the load in the list is used. All proxies see the same list: each moves away
        // a random part of its reads, or all would leave and return together.
        if self.settings.weight_mode == WeightMode::Live && listed_weight > 0.0 {
            node.adjust_bypass(
                entry.weight / listed_weight - 1.0,
                HEALTHY_REQUESTS_PER_CORE,
                MAX_READ_SHARE_CUT,
                READ_SHARE_RECOVERY,
            );
        }
        node.entry = entry;
        unchanged
    }

    /// Rebuilds the slot tables from the ready caches in the order of their ids, alike on every proxy. Nodes
    /// claim slots by a hash of their id, so that only keys of added or removed nodes move. Ranking every
    /// node for every key instead would take too long with hundreds of nodes.
    fn build_slots(&mut self) {
        let mut ready: Vec<usize> = (0..self.nodes.len()).filter(|&n| self.is_ready_cache(n)).collect();
        ready.sort_by(|&a, &b| self.nodes[a].entry.node.cmp(&self.nodes[b].entry.node));
        let is_live = self.settings.weight_mode == WeightMode::Live;
        for node in self.nodes.iter_mut() {
            let kind = self.kind_stats.entry(node.entry.kind).or_default();
            node.entry.weight =
                if is_live && kind.max_weight > 0.0 { kind.max_weight } else { node.entry.weight };
            node.capacity = node.entry.weight * (kind.speed_level / SPEED_STEPS_PER_DOUBLING).exp2();
        }
        self.caches.ready_count = ready.len();
        self.caches.total_capacity = ready.iter().map(|&n| self.nodes[n].capacity).sum();
        // Weights have no unit. They are scaled by a power of two near their mean, which rarely changes.
        let total_weight: f64 = ready.iter().map(|&n| self.nodes[n].entry.weight).sum();
        let unit = (total_weight / ready.len().max(1) as f64).max(1e-9).log2().round().exp2();
        let claims =
            |n: usize| (SLOT_CLAIMS_PER_NODE * (self.nodes[n].capacity / unit).min(8.0)).ceil() as u64;
        let build_table = |filter| {
            let eligible = ready.iter().filter(|&&n| self.nodes[n].passes_filter(filter));
            SlotTable::new(SLOT_COUNT, eligible.map(|&n| (n, self.nodes[n].id_hash, claims(n))))
        };
        self.slot_tables = (0..self.filters.count()).map(build_table).collect();
    }

    /// Whether this proxy sends only a small part of each cache's traffic. Refusals are then due to chance,
    /// and its own requests in flight say little about a cache's load.
    fn has_sparse_traffic(&self, now: Micros) -> bool {
        self.settings.fleet_size as usize > self.caches.ready_count
            || self.mean_requests_per_cache(now) < SPARSE_REQUESTS_PER_CACHE
    }

    fn mean_requests_per_cache(&self, now: Micros) -> f64 {
        self.request_counts.total.value(now, REQUEST_COUNT_DECAY) / self.caches.ready_count.max(1) as f64
    }

    fn is_origin_node(&self, n: usize) -> bool {
        self.settings.origin_kind == Some(self.nodes[n].entry.kind)
    }

    fn is_ready_cache(&self, n: usize) -> bool {
        self.nodes[n].entry.state == NodeState::Ready && !self.is_origin_node(n)
    }

    /// Whether a cache node may get a request now. A cold node accepts a fraction of the values of `sample`,
    /// and nothing without one.
    fn accepts(&self, now: Micros, n: usize, sample: Option<u64>) -> bool {
        let node = &self.nodes[n];
        // A burst sent to a node that still does not answer would be lost. After an ejection only one request
        // at a time is sent, until the node has answered.
        let zone_trusted = self
            .zone_health
            .get(&node.entry.zone)
            .is_none_or(|zone| now >= zone.probed_at + zone.ejection_time);
        let trusted =
            zone_trusted && now >= node.ejected_until && (node.ejections == 0 || node.in_flight == 0);
        let warm_fraction = node.warm_fraction(now, self.settings.start_capacity, self.settings.ramp_time);
        let cold_node_accepts =
            || sample.is_some_and(|sample| self.cold_node_accepts(now, n, sample, warm_fraction));
        self.is_ready_cache(n) && trusted && (warm_fraction >= 1.0 || cold_node_accepts())
    }

    /// Slow start for a cold node: all its keys at once would overload the node, and their misses the origin.
    /// It gets keys in proportion to its warmth, from the proxies in turn at first, and never more requests
    /// than a warm node of its capacity would get.
    fn cold_node_accepts(&self, now: Micros, n: usize, sample: u64, warm_fraction: f64) -> bool {
        let node = &self.nodes[n];
        let turns_time = (self.settings.ramp_time as f64 * WARMUP_TURNS_FRACTION) as Micros;
        let takes_turns = node.age(now) < turns_time;
        // Turns go by proxy number: one proxy at a time in a small fleet, else a group of proxies.
        let max_groups =
            if self.has_sparse_traffic(now) { MAX_WARMUP_GROUPS } else { self.settings.fleet_size };
        let group_count = ((turns_time / WARMUP_TURN) as u32).min(max_groups).max(1);
        let is_own_turn = (now / WARMUP_TURN) as u32 % group_count == self.settings.proxy_index % group_count;
        // In an overload, warm nodes are sent more than they can accept, so the accepted requests count.
        let recent = |count: &DecayingCount| count.value(now, self.settings.cold_overload_window);
        let (accepted, sent) = (recent(&self.caches.recent_accepted), recent(&self.caches.recent_sent));
        // Reducing the share by what warm nodes refused left cold nodes idle in large fleets. There, cold
        // nodes get first choices only and nothing that other nodes refused, so their load follows the
        // arrivals and the share may be larger.
        let share = warm_fraction
            * (if self.has_sparse_traffic(now) { COLD_SHARE_FACTOR } else { 1.0 } * accepted / sent.max(1.0))
                .min(1.0);
        if to_unit_interval(mix(node.id_hash ^ sample)) > share || takes_turns && !is_own_turn {
            return false;
        }
        let fair_share = accepted / self.caches.total_capacity.max(1.0);
        // One request allowed by each of thirty proxies makes thirty. A limit below one is therefore met by
        // allowing one request in a matching part of the time windows, drawn by hash. With sparse traffic,
        // each proxy reaches a cold node only by chance, and the share above limits that.
        let limit = COLD_LOAD_FACTOR * fair_share * node.capacity * warm_fraction;
        let rounding = to_unit_interval(nth_hash(
            node.id_hash ^ u64::from(self.settings.proxy_index),
            (now / self.settings.cold_overload_window.max(1)) as u64,
        ));
        recent(&node.recent_requests)
            < if self.has_sparse_traffic(now) { limit + 1.0 } else { (limit + rounding).floor() }
    }

    /// The cache node that would get this request now.
    fn preferred_node(&self, now: Micros, id: &RequestId) -> Option<&Node> {
        self.choose_cache(now, self.requests.get(id)?).ok().map(|n| &self.nodes[n])
    }

    /// Chooses the home, or the spare if the home has more than its part of this proxy's requests in flight.
    /// `Err(false)` allows a fetch instead: no cache accepts the key at all, or the origin has room.
    fn choose_cache(&self, now: Micros, request: &Request) -> Result<usize, bool> {
        // The spare may lack the key. While the origin has no room, that miss would end in a refusal.
        let origin_has_room = self.origin.node.is_none_or(|o| self.origin_has_room(now, o, false));
        // Hundreds of proxies overload the home of a hot key together while each has hardly a request in
        // flight there. The proxy's recent requests for the key show that instead: reads of a key that it
        // requests often are spread over more caches.
        let is_sparse = self.has_sparse_traffic(now);
        let key_requests = self.request_counts.for_key(request.key_hash).value(now, REQUEST_COUNT_DECAY);
        let mean_requests = self.mean_requests_per_cache(now);
        let is_hot = is_sparse
            && key_requests >= f64::from(MIN_SPILL_IN_FLIGHT)
            && key_requests > SPILL_FACTOR * mean_requests;
        let spread = if is_hot {
            (key_requests / mean_requests).ceil().min(MAX_CACHES_PER_HOT_KEY as f64) as usize
        } else {
            1
        };
        // With sparse traffic, refusals are due to chance, from nodes that are free shortly afterwards. More
        // caches are tried, unless all caches are overloaded.
        let try_more = origin_has_room && is_sparse && self.caches.admitted_reads.value >= 1.0;
        let max_ranks = if try_more { MAX_CACHES_PER_KEY } else { 1 + usize::from(origin_has_room) };
        // A hot key brings as much load as all other keys of a cold node, and would overload it, as would
        // requests that other nodes refused. A cold node gets neither. It gets a fraction of its keys; with
        // sparse traffic, where a proxy cannot determine the hot keys, a random fraction of its reads.
        let sample = if is_sparse { request.random } else { request.key_hash };
        let accepts =
            |&(rank, n): &(usize, usize)| self.accepts(now, n, (rank == 0 && !is_hot).then_some(sample));
        let table = self.slot_tables.get(self.filters.index_for(request.class)).ok_or(false)?;
        let mut ranks: Vec<usize> =
            table.ranked_caches::<MAX_CACHES_PER_HOT_KEY>(request.key_hash, MAX_SLOT_PROBES).collect();
        // If cross-zone attempts cost more than a copy in each zone, the home is the key's first cache in
        // this zone, and the spare the first one elsewhere.
        let is_in_zone = |&n: &usize| self.nodes[n].entry.zone == self.settings.zone;
        if self.settings.cross_zone_cost > COPY_COST * f64::from(self.settings.zone_count) {
            let (home, spare) =
                (ranks.iter().copied().find(is_in_zone), ranks.iter().copied().find(|n| !is_in_zone(n)));
            ranks.sort_by_key(|&n| (Some(n) != home, Some(n) != spare));
        }
        let ranks = ranks.into_iter().enumerate().filter(accepts);
        let mut candidates: Vec<usize> = ranks.map(|(_, n)| n).take(spread.max(max_ranks)).collect();
        let rotated = spread.min(candidates.len());
        let sharing = &mut candidates[..rotated];
        sharing.rotate_left(request.random as usize % sharing.len().max(1));
        // If several caches hold the key, one in this zone answers sooner and costs no cross-zone attempt.
        sharing.sort_by_key(|&n| self.nodes[n].entry.zone != self.settings.zone);
        let max_added_latency =
            self.settings.classes[request.class].latency_target as f64 * MAX_ADDED_LATENCY_FRACTION;
        let mut usable = candidates.iter().copied().filter(|&n| {
            let node = &self.nodes[n];
            // The network latency to another zone would make an idle node look overloaded, so the node's
            // minimum is subtracted. With sparse traffic, the minimum is not known well enough.
            let added_latency = node.answer_time.mean - if is_sparse { 0.0 } else { node.min_answer_time };
            // An overloaded node would get more than it can answer in time. It is only probed while this
            // proxy has no request in flight there, and the less often the slower it is.
            let probes = || {
                node.in_flight == 0
                    && to_unit_interval(nth_hash(request.random, n as u64))
                        < max_added_latency / added_latency
            };
            let is_bypassed = to_unit_interval(nth_hash(request.random, !(n as u64))) < node.bypass_fraction;
            !request.was_tried(n)
                && now >= node.full_until
                && !is_bypassed
                && (added_latency < max_added_latency || probes())
        });
        // A request whose two nodes are both briefly busy must not be refused while the origin has room.
        let home = usable.next().ok_or(!candidates.is_empty() && !origin_has_room)?;
        let load = self.nodes[home].in_flight;
        let mean_in_flight = f64::from(self.caches.in_flight) / self.caches.ready_count.max(1) as f64;
        if load < MIN_SPILL_IN_FLIGHT || f64::from(load) <= SPILL_FACTOR * mean_in_flight {
            return Ok(home);
        }
        Ok(usable.next().filter(|&spare| self.nodes[spare].in_flight < load).unwrap_or(home))
    }

    /// Sends the request to the cache chosen for it, or fetches, or gives up.
    fn send_to_cache(&mut self, now: Micros, id: &RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let fetches_misses = self.settings.cache_aside && !request.is_write;
        let is_last_attempt = request.attempts.len() + 1 == request.max_attempts;
        match self.choose_cache(now, request) {
            // A miss on the last attempt would leave none for the fetch.
            Ok(_) if is_last_attempt && fetches_misses && self.can_fetch(now) => self.fetch(now, id),
            Ok(node) => self.start_attempt(now, id, node),
            Err(false) if fetches_misses => self.fetch(now, id),
            Err(_) => {
                (!request.attempts.is_empty()).then(|| self.record_target_use(now, UNSERVED_TARGET_FRACTION));
                self.give_up(now, id, EndReason::NoCache);
            }
        }
    }

    /// Sends a write at once. It ends the key's coalesced fetch and served window; waiting reads join the
    /// fetch made after it.
    fn forward_write(&mut self, now: Micros, id: &RequestId, key: &Key) {
        let key_fetch = self.key_fetches.remove(key).unwrap_or_default();
        self.proceed_alone(now, id);
        for follower in key_fetch.followers {
            self.requests.end_wait(&follower);
            match self.settings.cache_aside {
                true => self.on_miss(now, &follower, key_fetch.node),
                false => self.read_through(now, &follower, key.clone()),
            }
        }
    }

    /// Read-through mode: sends the read to a cache if its key was served recently or no other read fetches
    /// it; otherwise the read follows the one that does.
    fn read_through(&mut self, now: Micros, id: &RequestId, key: Key) {
        match self.key_fetches.get(&key) {
            Some(key_fetch) if key_fetch.leader.is_some() => self.follow(now, id, key),
            Some(key_fetch) if now - key_fetch.served_at < SERVED_WINDOW => self.send_to_cache(now, id),
            _ => {
                if let Some(Ok(node)) = self.requests.get(id).map(|request| self.choose_cache(now, request)) {
                    self.start_leading(now, id, key, node);
                    return self.start_attempt(now, id, node);
                }
                self.give_up(now, id, EndReason::NoCache);
            }
        }
    }

    /// Handles a miss. In cache-aside mode, the first miss of a key leads the fetch and later ones follow it.
    fn on_miss(&mut self, now: Micros, id: &RequestId, node: usize) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.missed_node = Some(node);
        let key = request.key.clone();
        if request.is_write || !self.settings.cache_aside {
            return self.send_to_cache(now, id);
        }
        if self.key_fetches.contains_key(&key) {
            return self.follow(now, id, key);
        }
        self.start_leading(now, id, key, node);
        self.fetch(now, id);
    }

    /// Makes the request the leader of a fetch of its key.
    fn start_leading(&mut self, now: Micros, id: &RequestId, key: Key, node: usize) {
        if self.key_fetches.len() >= MAX_KEY_FETCHES {
            self.key_fetches.retain(|_, key_fetch| {
                key_fetch.leader.is_some() || now - key_fetch.served_at < SERVED_WINDOW
            });
        } else {
            self.key_fetches.insert(key, KeyFetch { leader: Some(id.clone()), node, ..KeyFetch::default() });
        }
    }

    /// Lets the request wait for the key's leader; it proceeds alone once half of its useful time has passed.
    fn follow(&mut self, now: Micros, id: &RequestId, key: Key) {
        let Some(request) = self.requests.get(id) else { return };
        let wait_until = request.arrived_at + (request.useful_until - request.arrived_at) / 2;
        if wait_until <= now {
            return self.proceed_alone(now, id);
        }
        if let Some(key_fetch) = self.key_fetches.get_mut(&key) {
            key_fetch.followers.push(id.clone());
            self.start_wait(id, WaitReason::Following, wait_until);
        }
    }

    /// Makes the first follower the leader when the leader's client has left. Otherwise each follower would
    /// fetch the key.
    fn promote_follower(&mut self, id: &RequestId) -> Option<RequestId> {
        let key_fetch = self
            .key_fetches
            .get_mut(&self.requests.get(id)?.key)
            .filter(|key_fetch| key_fetch.leader.as_ref() == Some(id))?;
        key_fetch.followers.retain(|follower| self.requests.contains_key(follower));
        let next = key_fetch.followers.first().cloned()?;
        key_fetch.followers.remove(0);
        key_fetch.leader = Some(next.clone());
        self.requests.end_wait(&next);
        Some(next)
    }

    /// Sends the request without waiting for other requests for its key.
    fn proceed_alone(&mut self, now: Micros, id: &RequestId) {
        if self.settings.cache_aside { self.fetch(now, id) } else { self.send_to_cache(now, id) }
    }

    /// Whether one more request may be sent to the origin. Writes have a higher limit than fetches.
    fn origin_has_room(&self, now: Micros, origin: usize, is_write: bool) -> bool {
        let limit = self.origin.fetch_limit * if is_write { WRITE_LIMIT_FACTOR } else { 1.0 };
        let is_unpaced = limit >= 1.0 && self.origin.refusal_credit > 0.0;
        let may_send = (is_unpaced || now >= self.origin.next_probe_at)
            && self.origin.next_scheduled_fetch <= now + MAX_FETCH_ADVANCE;
        f64::from(self.nodes[origin].in_flight) < limit.max(1.0) && may_send
    }

    fn can_fetch(&self, now: Micros) -> bool {
        self.settings.cache_aside && self.origin.node.is_some_and(|o| self.origin_has_room(now, o, false))
    }

    /// Sends the request to the origin, or queues it until the origin has room.
    fn fetch(&mut self, now: Micros, id: &RequestId) {
        let Some(origin) = self.origin.node else { return self.give_up(now, id, EndReason::NoOrigin) };
        self.origin.fetch_demand += 1;
        let Some(request) = self.requests.get(id) else { return };
        let (until, expected, is_write) =
            (request.useful_until, self.origin.answer_times.expected(), request.is_write);
        if self.origin_has_room(now, origin, is_write) {
            return self.start_attempt(now, id, origin);
        }
        // The origin completes requests whose clients have given up, and would stay busy with them and their
        // retries, also of writes. A request that cannot be answered in time is not queued.
        let answer_times_ahead = if is_write { 1.0 } else { (self.origin.queue.len() + 1) as f64 }
            / self.origin.requests_per_answer_time();
        if now + expected + (expected as f64 * answer_times_ahead) as Micros > until {
            return self.give_up(now, id, EndReason::OriginBusy);
        }
        let position = if is_write { 0 } else { self.origin.queue.len() };
        self.origin.queue.insert(position, id.clone());
        self.start_wait(id, WaitReason::Queued, until - expected);
    }

    /// Retries a fetch that the origin refused. Without retries, each request refused by an origin that is
    /// briefly full would be lost. An origin that refuses many gets no retries. The delay is random, so
    /// that fetches refused together are not retried together.
    fn retry_refused_fetch(&mut self, now: Micros, id: &RequestId, first_on_connection: bool) {
        let in_flight = self.origin.node.map_or(0, |o| self.nodes[o].in_flight);
        self.origin.connections_full_until = if first_on_connection {
            now + ESTIMATE_DECAY_US as Micros
        } else {
            self.origin.connections_full_until
        };
        if first_on_connection && in_flight > 0 {
            // The origin's connection table is full of the connections of many proxies: it accepts no more,
            // however idle it is. The requests in flight become the limit until answers raise it again.
            self.origin.fetch_limit = self.origin.fetch_limit.min(f64::from(in_flight));
            return self.fetch(now, id);
        }
        let delay = (self.origin.answer_times.mean
            * FETCH_RETRY_DELAY_FRACTION
            * self.rng.random_range(0.5..1.5)) as Micros;
        let until = self.requests.get(id).map_or(0, |request| request.useful_until);
        if self.origin.refusal_rate.mean > MAX_RETRY_REFUSAL_RATE
            || now + delay + self.origin.answer_times.expected() > until
        {
            return self.give_up(now, id, EndReason::OriginRefuses);
        }
        self.start_wait(id, WaitReason::Backoff, now + delay);
    }

    /// Sends queued requests to the origin as long as it has room.
    fn send_queued_fetches(&mut self, now: Micros) {
        while let (Some(origin), Some(id)) = (self.origin.node, self.origin.queue.front().cloned()) {
            let queued = self
                .requests
                .get(&id)
                .filter(|request| request.wait_reason == WaitReason::Queued)
                .map(|request| request.is_write);
            if queued.is_some_and(|is_write| !self.origin_has_room(now, origin, is_write)) {
                return;
            }
            self.origin.queue.pop_front();
            if queued.is_some() {
                self.requests.end_wait(&id);
                self.start_attempt(now, &id, origin);
            }
        }
    }

    /// Whether the rules allow an attempt at this node now: deadline, number of attempts, node filter and
    /// idempotency. Checked directly before each attempt.
    fn may_attempt(&self, now: Micros, request: &Request, n: usize) -> bool {
        let class = &self.settings.classes[request.class];
        let node = &self.nodes[n];
        let is_exhausted = now >= request.deadline || request.attempts.len() >= request.max_attempts;
        let is_in_flight = request.attempts.iter().any(|attempt| attempt.status.is_none());
        // A follower is sent to the cache where its leader missed, which its own class may not be allowed to
        // use.
        let is_eligible = self.is_origin_node(n) || node.passes_filter(self.filters.index_for(request.class));
        if is_exhausted || is_in_flight || !is_eligible || node.entry.state != NodeState::Ready {
            return false;
        }
        let Some(first) = request.may_have_run() else { return true };
        let window_end = self.dedup_window_end(request);
        match class.idempotency {
            Idempotency::Safe => true,
            Idempotency::Unsafe => false,
            // A repeat that waits for its connection could be sent after the deduplication window has ended.
            Idempotency::Keyed if window_end.is_some_and(|end| now + self.settings.dial_timeout >= end) => {
                false
            }
            Idempotency::Keyed => node.shares_dedup_scope(&self.nodes[first.node], class.dedup_scope),
        }
    }

    /// When nodes stop to recognize repeats of a keyed request that may have run.
    fn dedup_window_end(&self, request: &Request) -> Option<Micros> {
        let class = &self.settings.classes[request.class];
        let first = request.may_have_run().filter(|_| class.idempotency == Idempotency::Keyed)?;
        Some(first.sent_at + class.dedup_window)
    }

    /// The delay that a refusal advises, which some clients keep.
    fn retry_after(&self) -> Micros {
        RETRY_AFTER.min(self.settings.max_retry_after)
    }

    /// Whether the request may be refused, that is, whether a retry by the client does no harm. A retry of a keyed request
    /// that may have run must come while nodes recognize it.
    fn may_refuse(&self, now: Micros, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        match request.may_have_run() {
            Some(first) if class.idempotency == Idempotency::Keyed => {
                class.dedup_scope == DedupScope::All
                    && first.status.is_some()
                    && self.dedup_window_end(request).is_some_and(|end| now + self.retry_after() < end)
            }
            Some(_) => class.idempotency == Idempotency::Safe,
            None => true,
        }
    }

    /// Starts an attempt with its time-out, or gives up if the rules or the remaining time forbid it.
    fn start_attempt(&mut self, now: Micros, id: &RequestId, n: usize) {
        let Some(request) = self.requests.get(id) else { return };
        let at_origin = Some(n) == self.origin.node;
        let times = if at_origin { &self.origin.answer_times } else { &self.caches.answer_times };
        let time_left = request.useful_until - now;
        // A further attempt is made only if the remaining time exceeds its expected duration.
        let min_time = if request.attempts.is_empty() { 0 } else { times.expected() };
        if time_left <= min_time || !self.may_attempt(now, request, n) {
            return self.give_up(now, id, EndReason::NoFurtherAttempt);
        }
        let min_timeout = self.settings.classes[request.class].latency_target as f64 * MIN_TIMEOUT_FRACTION;
        let usual_timeout = (times.mean + TIMEOUT_DEVIATIONS * times.deviation).max(min_timeout) as Micros;
        let timeout = if at_origin || request.is_write { time_left } else { usual_timeout.min(time_left) };
        let send_by = self.dedup_window_end(request);
        let node = &mut self.nodes[n];
        node.recent_requests.add(now, self.settings.cold_overload_window);
        node.long_term_requests.add(now, REQUEST_COUNT_DECAY);
        node.in_flight += 1;
        if at_origin {
            self.origin.next_scheduled_fetch =
                self.origin.next_scheduled_fetch.max(now) + self.origin.fetch_interval;
            self.origin.next_probe_at =
                now + (self.origin.answer_times.mean / self.origin.fetch_limit.min(1.0)) as Micros;
        } else {
            // A silent zone is probed by one request at a time.
            if let Some(zone) =
                self.zone_health.get_mut(&node.entry.zone).filter(|zone| zone.ejection_time > 0)
            {
                zone.probed_at = now;
            }
            self.caches.in_flight += 1;
            self.caches.recent_sent.add(now, self.settings.cold_overload_window);
        }
        self.host.start_attempt(id, &node.entry.node, AttemptLimits { timeout, send_by });
        if let Some(request) = self.requests.get_mut(id) {
            request.attempts.push(Attempt { node: n, sent_at: now, status: None });
        }
    }

    /// Refuses the request if a retry does no harm, else fails it.
    fn give_up(&mut self, now: Micros, id: &RequestId, reason: EndReason) {
        let Some(request) = self.requests.get(id) else { return };
        self.host.explain_end(id, reason);
        match self.may_refuse(now, request) {
            true => self.host.refuse_request(id, self.retry_after()),
            false => self.host.fail_request(id),
        }
        self.finish(now, id, false, 0);
    }

    /// Removes a finished request. If it led a fetch, its followers go to its cache, or proceed alone if the
    /// fetch failed.
    fn finish(&mut self, now: Micros, id: &RequestId, served: bool, node: usize) {
        self.requests.end_wait(id);
        let Some(request) = self.requests.remove(id) else { return };
        let node = request.missed_node.unwrap_or(node);
        if self.key_fetches.get(&request.key).and_then(|key_fetch| key_fetch.leader.as_ref()) != Some(id) {
            return;
        }
        let followers =
            self.key_fetches.remove(&request.key).map_or(Vec::new(), |key_fetch| key_fetch.followers);
        if served && !self.settings.cache_aside {
            self.key_fetches.insert(request.key, KeyFetch { node, served_at: now, ..KeyFetch::default() });
        }
        for follower in followers {
            self.requests.end_wait(&follower);
            let filter =
                self.requests.get(&follower).map_or(0, |request| self.filters.index_for(request.class));
            match served && self.is_ready_cache(node) && self.nodes[node].passes_filter(filter) {
                true => self.start_attempt(now, &follower, node),
                false => self.proceed_alone(now, &follower),
            }
        }
    }

    fn start_wait(&mut self, id: &RequestId, reason: WaitReason, until: Micros) {
        self.requests.start_wait(id, reason, until);
        self.arm_timer();
    }

    /// Sets a timer for the next wait to end, list request or queued fetch, unless one is set already.
    fn arm_timer(&mut self) {
        let is_idle_with_queue = |o: usize| self.nodes[o].in_flight == 0 && !self.origin.queue.is_empty();
        let fetch_due = self.origin.next_probe_at.max(self.origin.next_scheduled_fetch - MAX_FETCH_ADVANCE);
        let queued_fetch_at =
            if self.origin.node.is_some_and(is_idle_with_queue) { fetch_due } else { Micros::MAX };
        let at = self.requests.next_wait_end().min(self.list_request_due).min(queued_fetch_at);
        if at < self.next_wake {
            self.next_wake = at;
            self.host.set_timer(TIMER_LABEL, at);
        }
    }

    /// Ends expired waits, sends queued fetches and requests the list when it is due.
    fn run_due_work(&mut self, now: Micros) {
        while let Some(id) = self.requests.first_expired(now) {
            match self.requests.end_wait(&id) {
                WaitReason::Following | WaitReason::Backoff => self.proceed_alone(now, &id),
                _ => self.give_up(now, &id, EndReason::WaitExpired),
            }
        }
        self.send_queued_fetches(now);
        if self.list_request_due <= now {
            self.host.subscribe_to_list();
            // If no answer comes, the list is requested again before the proxy is expected to know the
            // changes in it.
            self.list_request_due = now + self.settings.max_list_refresh_interval / 2;
        }
        self.arm_timer();
    }

    /// Updates the estimates for the node, its zone and the caches or the origin.
    fn record_outcome(&mut self, now: Micros, n: usize, outcome: &AttemptOutcome, target: Option<f64>) {
        let at_origin = self.is_origin_node(n);
        let (latency, sent_at) = (outcome.latency, now - outcome.latency);
        let (mean_answer_time, is_sparse) = (self.caches.answer_times.mean, self.has_sparse_traffic(now));
        let node = &mut self.nodes[n];
        node.in_flight = node.in_flight.saturating_sub(1);
        let is_silent = matches!(
            outcome.status,
            AttemptStatus::TimedOut | AttemptStatus::Reset | AttemptStatus::ConnectFailed
        );
        let is_fault = is_silent
            || matches!(
                (outcome.status, at_origin),
                (AttemptStatus::Error, _) | (AttemptStatus::InvalidResponse, false)
            );
        if is_fault || matches!(outcome.status, AttemptStatus::Served | AttemptStatus::Miss) {
            node.fault_rate.record(now, f64::from(u8::from(is_fault)), EWMA_WEIGHT, ESTIMATE_DECAY_US);
        }
        // A node that accepts requests and answers none, or answers most at once with an error, looks idle
        // and would attract requests. A single silent connection or invalid response can also come from a
        // healthy node: silence counts only if nothing was received since the attempt began, faults only by
        // their rate.
        let is_failure = is_silent && node.last_answer_at <= sent_at
            || is_fault && node.fault_rate.mean > FAULT_RATE_THRESHOLD;
        // Without zone ejection, the loss of a zone would be detected node by node, and again when each
        // node's ejection ends.
        let zone = self.zone_health.entry(node.entry.zone).or_default();
        if is_silent && !at_origin && zone.last_answer_at <= sent_at {
            zone.silent_nodes += u32::from(node.ejections == 0);
            (zone.silent_nodes >= ZONE_EJECTION_THRESHOLD)
                .then(|| zone.eject(now, BASE_EJECTION_TIME, MAX_EJECTION_DOUBLINGS));
        } else if !is_silent && !matches!(outcome.status, AttemptStatus::Cancelled | AttemptStatus::NotSent) {
            *zone = ZoneHealth { last_answer_at: now, ..ZoneHealth::default() };
        }
        match outcome.status {
            _ if is_failure => node.eject(now, BASE_EJECTION_TIME, MAX_EJECTION_DOUBLINGS),
            AttemptStatus::Served
            | AttemptStatus::Miss
            | AttemptStatus::Full
            | AttemptStatus::Error
            | AttemptStatus::InvalidResponse => {
                (node.last_answer_at, node.ejections, node.ejected_until) = (now, 0, 0);
                match outcome.status {
                    AttemptStatus::Full => {
                        node.full_until = now + (mean_answer_time * FULL_BACKOFF_FRACTION) as Micros
                    }
                    AttemptStatus::Served if !at_origin => {
                        self.caches.recent_accepted.add(now, self.settings.cold_overload_window)
                    }
                    AttemptStatus::Miss if is_sparse => {
                        self.caches.recent_accepted.add(now, self.settings.cold_overload_window)
                    }
                    _ => {}
                }
            }
            _ => {}
        }
        if at_origin {
            return self.record_origin_outcome(now, outcome, is_failure);
        }
        self.caches.in_flight = self.caches.in_flight.saturating_sub(1);
        let target_use = match outcome.status {
            AttemptStatus::Cancelled | AttemptStatus::NotSent => return,
            AttemptStatus::Full | AttemptStatus::ConnectFailed => REFUSAL_TARGET_FRACTION,
            _ => target.map_or(self.caches.target_fraction.mean, |target| latency as f64 / target.max(1.0)),
        };
        // A proxy that uses a node twice a minute must not judge it by answers that are minutes old, so old
        // samples lose weight. A refusal is a momentary state and does not outweigh them.
        let is_refusal = matches!(outcome.status, AttemptStatus::Full | AttemptStatus::ConnectFailed);
        let age = if is_refusal { f64::INFINITY } else { ESTIMATE_DECAY_US };
        node.target_fraction.record(now, target_use, SPARSE_EWMA_WEIGHT, age);
        // Time-outs at unreachable nodes would raise the mean answer time, and with it the time-out of all
        // attempts.
        if matches!(outcome.status, AttemptStatus::Served | AttemptStatus::Miss | AttemptStatus::TimedOut)
            && !is_failure
        {
            node.answer_time.record(now, latency as f64, SPARSE_EWMA_WEIGHT, age);
            node.record_min_answer_time(latency as f64, MIN_LATENCY_DRIFT);
            self.caches.answer_times.record(latency, EWMA_WEIGHT);
        }
        if !is_refusal || !is_sparse {
            self.record_target_use(now, target_use);
        }
    }

    /// Records the fraction of its latency target that a request used at the caches, and steps the admitted
    /// fractions. A refused attempt counts as little if another cache may still answer in time.
    fn record_target_use(&mut self, now: Micros, target_use: f64) {
        // A proxy that admits few requests gets few answers. Old samples lose weight, or it would keep
        // shedding long after the overload.
        self.caches.target_fraction.record(now, target_use, EWMA_WEIGHT, ESTIMATE_DECAY_US);
        let caches = &mut self.caches;
        for (admitted, threshold) in [
            (&mut caches.admitted_reads, OVERLOAD_TARGET_FRACTION),
            (&mut caches.admitted_over_quota, OVER_QUOTA_OVERLOAD_TARGET_FRACTION),
        ] {
            let steps = ((now - admitted.stepped_at) / ADMISSION_INTERVAL).min(MAX_CATCH_UP_STEPS) as f64;
            let (factor, increment) = if caches.target_fraction.mean > threshold {
                (ADMISSION_DECREASE, 0.0)
            } else {
                (1.0, ADMISSION_INCREASE)
            };
            admitted.step(now, steps, factor, increment, MIN_ADMITTED_FRACTION);
        }
    }

    /// Updates the origin's estimates, refusal credit and fetch limit.
    fn record_origin_outcome(&mut self, now: Micros, outcome: &AttemptOutcome, is_failure: bool) {
        if outcome.status == AttemptStatus::Served {
            // A proxy that fetches every few seconds would consider the origin slow long after it recovered,
            // so old samples lose weight.
            self.origin.record_answer(now, outcome.latency, EWMA_WEIGHT, ORIGIN_ESTIMATE_DECAY_US);
            self.origin.best_answer_time =
                (self.origin.best_answer_time * ORIGIN_MIN_LATENCY_DRIFT).min(self.origin.answer_times.mean);
        }
        // A refusal takes no time, so a limit on concurrent fetches does not slow down refused ones: twelve
        // proxies with room for six fetches sent thirteen for each that was accepted, and larger fleets send
        // more. Refusals therefore use up credit.
        match outcome.status {
            AttemptStatus::Served => self.origin.earn_credit(REFUSAL_CREDIT_PER_ANSWER, MAX_REFUSAL_CREDIT),
            AttemptStatus::Full => {
                self.origin.spend_credit(now, -REFUSAL_CREDIT_PER_ANSWER, MAX_PROBE_DOUBLINGS, || {
                    self.rng.random_range(0.5..1.5)
                })
            }
            _ => {}
        }
        // A refusal on a new connection means that the connection table is full, not that the origin is
        // overloaded.
        let is_refusal = outcome.status == AttemptStatus::Full && !outcome.first_on_connection;
        if is_refusal || outcome.status == AttemptStatus::Served {
            self.origin.refusal_rate.record(
                now,
                f64::from(u8::from(is_refusal)),
                SPARSE_EWMA_WEIGHT,
                f64::INFINITY,
            );
        }
        let is_overloaded = match outcome.status {
            AttemptStatus::Served => self.origin.is_slow(ORIGIN_OVERLOAD_FACTOR),
            AttemptStatus::Miss
            | AttemptStatus::Cancelled
            | AttemptStatus::NotSent
            | AttemptStatus::InvalidResponse
            | AttemptStatus::Unknown => return,
            // Refusals do not reduce the limit. Single ones occur by chance, and each reduced the limit of
            // one proxy among a hundred to one fetch per second. They already use up credit, and a limit
            // reduced as well would take long to recover.
            _ => is_failure,
        };
        // One proxy among hundreds, with one fetch per second, would take half a minute to reduce its limit.
        // It makes up for the answer times that have passed.
        let reductions = self.origin.take_elapsed_answer_times(now).clamp(1, MAX_CATCH_UP_STEPS) as i32;
        let in_flight = self.origin.node.map_or(0, |o| self.nodes[o].in_flight + 1);
        if outcome.status == AttemptStatus::Served
            && !is_overloaded
            && f64::from(in_flight) >= self.origin.fetch_limit / 2.0
        {
            self.origin.fetch_limit += 1.0 / self.origin.fetch_limit.max(1.0);
        } else if is_overloaded && now - self.origin.limit_reduced_at >= self.origin.answer_times.expected() {
            self.origin.fetch_limit =
                (self.origin.fetch_limit * FETCH_LIMIT_DECREASE.powi(reductions)).max(MIN_FETCH_LIMIT);
            self.origin.limit_reduced_at = now;
        }
    }

    /// Whether to shed this request because it exceeds the proxy's part of its tenant's quota. Idle nodes
    /// alone do not admit it: in a fleet of hundreds, each proxy has nothing in flight at its nodes while all
    /// together overload them with requests beyond the quotas.
    fn exceeds_quota(&mut self, now: Micros, tenant: usize, id: &RequestId) -> bool {
        let Some(quota) = self.settings.tenant_quotas_rps.get(tenant) else { return false };
        let own_quota = quota / f64::from(self.settings.fleet_size.max(1));
        let is_within = self.tenants[tenant].try_take(now, own_quota * QUOTA_TOLERANCE, MIN_QUOTA_BURST);
        let shed = self.rng.random::<f64>() >= self.caches.admitted_over_quota.value;
        !is_within && (shed || self.preferred_node(now, id).is_none_or(|node| node.in_flight > 0))
    }
}
