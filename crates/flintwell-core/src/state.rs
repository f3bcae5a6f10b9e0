//! State of the policy: requests, nodes, estimates and the slot table. Decisions are made in `policy`.

use crate::interface::{
    AttemptStatus, Class, DedupScope, IncomingRequest, Key, Micros, NodeEntry, NodeId, NodeState, RequestId,
    Settings,
};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};
use std::ops::{Deref, DerefMut};

/// Node filters that the bits of a `u64` hold, less the last bit. That bit is never set and stands for any
/// further filter.
const MAX_NODE_FILTERS: usize = 63;

/// One attempt of a request.
pub(crate) struct Attempt {
    pub node: usize,
    pub sent_at: Micros,
    pub status: Option<AttemptStatus>,
}

/// What a request without an attempt in flight waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaitReason {
    /// It does not wait: an attempt is in flight.
    None,
    /// The leader's fetch of the same key.
    Following,
    /// Its turn in the origin's queue.
    Queued,
    /// The delay before it retries a fetch that the origin refused.
    Backoff,
}

/// One request, until its final answer.
pub(crate) struct Request {
    pub class: usize,
    pub key: Key,
    /// Hash of the key; selects its slots and its request counter.
    pub key_hash: u64,
    pub is_write: bool,
    pub arrived_at: Micros,
    pub deadline: Micros,
    /// An answer after this has no worth.
    pub useful_until: Micros,
    pub attempts: Vec<Attempt>,
    pub max_attempts: usize,
    /// The cache node that missed last.
    pub missed_node: Option<usize>,
    /// Random number for the request's own choices, such as the first of a hot key's caches.
    pub random: u64,
    pub wait_reason: WaitReason,
    /// When the wait ends, if the request waits.
    pub wait_until: Micros,
}

impl Request {
    pub fn new(
        incoming: IncomingRequest,
        arrived_at: Micros,
        useful_until: Micros,
        max_attempts: usize,
        random: u64,
    ) -> Self {
        let key = incoming.key.unwrap_or(incoming.id);
        Request {
            class: incoming.class,
            key_hash: hash(&key),
            key,
            is_write: incoming.is_write,
            arrived_at,
            deadline: incoming.deadline,
            useful_until,
            attempts: Vec::new(),
            max_attempts,
            missed_node: None,
            random,
            wait_reason: WaitReason::None,
            wait_until: 0,
        }
    }
    /// Whether an attempt at this node was made.
    pub fn was_tried(&self, node: usize) -> bool {
        self.attempts.iter().any(|attempt| attempt.node == node)
    }
    /// The first attempt that may have run or may still run.
    pub fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.status.is_none_or(|status| !status.never_ran()))
    }
}

/// The shortest latency target of all classes.
pub(crate) fn shortest_latency_target(settings: &Settings) -> f64 {
    settings.classes.iter().map(|class| class.latency_target).min().unwrap_or(1_000_000) as f64
}

/// Requests without a final answer, and the times at which the waits of some of them end.
#[derive(Default)]
pub(crate) struct Requests {
    by_id: FxHashMap<RequestId, Request>,
    waiting: BTreeSet<(Micros, RequestId)>,
}

impl Requests {
    /// Lets a request wait until the given time at most.
    pub fn start_wait(&mut self, id: &RequestId, reason: WaitReason, until: Micros) {
        if let Some(request) = self.by_id.get_mut(id) {
            (request.wait_reason, request.wait_until) = (reason, until);
            self.waiting.insert((until, id.clone()));
        }
    }
    /// Ends the request's wait, if any, and returns what it waited for.
    pub fn end_wait(&mut self, id: &RequestId) -> WaitReason {
        let Some(request) = self.by_id.get_mut(id) else { return WaitReason::None };
        if request.wait_reason != WaitReason::None {
            self.waiting.remove(&(request.wait_until, id.clone()));
        }
        std::mem::replace(&mut request.wait_reason, WaitReason::None)
    }
    /// The earliest end of a wait.
    pub fn next_wait_end(&self) -> Micros {
        self.waiting.first().map_or(Micros::MAX, |wait| wait.0)
    }
    /// A request whose wait has ended.
    pub fn first_expired(&self, now: Micros) -> Option<RequestId> {
        self.waiting.first().filter(|wait| wait.0 <= now).map(|wait| wait.1.clone())
    }
}

impl Deref for Requests {
    type Target = FxHashMap<RequestId, Request>;
    fn deref(&self) -> &Self::Target {
        &self.by_id
    }
}

impl DerefMut for Requests {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.by_id
    }
}

/// A key with a fetch in flight or, in read-through mode, served recently.
#[derive(Default)]
pub(crate) struct KeyFetch {
    pub leader: Option<RequestId>,
    /// The cache node where the leader missed, or that served the key.
    pub node: usize,
    pub followers: Vec<RequestId>,
    pub served_at: Micros,
}

/// A cache node or the origin. The record outlives its removal from the list for a while.
#[derive(Default)]
pub(crate) struct Node {
    /// Latest list entry; its weight is 1 if weights carry no information.
    pub entry: NodeEntry,
    pub in_flight: u32,
    pub last_answer_at: Micros,
    pub ejections: u32,
    pub ejected_until: Micros,
    pub full_until: Micros,
    /// Fraction of reads that pass the node over, since it was listed with more load than it handles well.
    pub bypass_fraction: f64,
    /// Fraction of its attempts that failed or got an invalid response.
    pub fault_rate: DecayingMean,
    /// Answer time.
    pub answer_time: DecayingMean,
    /// Fraction of the latency target that its answers use.
    pub target_fraction: DecayingMean,
    /// Recent minimum of the answer time: mostly network latency.
    pub min_answer_time: f64,
    /// Requests sent within the time for which a cold node withstands overload.
    pub recent_requests: DecayingCount,
    /// Requests sent over a longer time.
    pub long_term_requests: DecayingCount,
    pub id_hash: u64,
    /// Start time as listed; the entry has the latest time at which the start may have been.
    pub listed_start: Micros,
    /// The node filters that the node passes, one bit each.
    pub filter_bits: u64,
    /// Capacity by its listed weight and the speed of its kind.
    pub capacity: f64,
}

impl Node {
    /// Ejects the node after a failure, for twice as long each time.
    pub fn eject(&mut self, now: Micros, base: Micros, max_doublings: u32) {
        self.ejected_until = now + (base << self.ejections.min(max_doublings));
        self.ejections += 1;
    }
    /// Adjusts the fraction of reads that pass the node over. If the node holds more requests per core than
    /// `healthy`, the fraction that it keeps is divided by the excess, by `max_cut` at most; otherwise it
    /// grows by `recovery`.
    pub fn adjust_bypass(&mut self, held: f64, healthy: f64, max_cut: f64, recovery: f64) {
        let (kept, excess) = (1.0 - self.bypass_fraction, held / healthy);
        self.bypass_fraction =
            1.0 - if excess > 1.0 { kept / excess.min(max_cut) } else { (kept + recovery).min(1.0) };
    }
    /// Records an answer time for the minimum. The old minimum grows by `drift`, so that it is forgotten over
    /// time.
    pub fn record_min_answer_time(&mut self, answer_time: f64, drift: f64) {
        let answer_time = answer_time.max(1.0);
        self.min_answer_time = if self.min_answer_time > 0.0 {
            answer_time.min(self.min_answer_time * drift)
        } else {
            answer_time
        };
    }
    /// Fraction of its capacity that the node has reached at least, between `start` and 1.
    pub fn warm_fraction(&self, now: Micros, start: f64, ramp: Micros) -> f64 {
        let age = self.age(now) as f64 / ramp.max(1) as f64;
        if self.entry.started_at <= 0 { 1.0 } else { (start + (1.0 - start) * age).min(1.0) }
    }
    /// Least time since its start.
    pub fn age(&self, now: Micros) -> Micros {
        (now - self.entry.started_at).max(0)
    }
    /// Whether the node passes a node filter.
    pub fn passes_filter(&self, filter: usize) -> bool {
        self.filter_bits >> filter & 1 == 1
    }
    /// Whether the node is listed but gets no requests, except for probes.
    pub fn is_avoided(&self, now: Micros) -> bool {
        match self.entry.state {
            NodeState::Ready => now < self.ejected_until,
            NodeState::Draining => true,
            NodeState::Gone => false,
        }
    }
    /// Whether both nodes deduplicate the same requests.
    pub fn shares_dedup_scope(&self, other: &Node, scope: DedupScope) -> bool {
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => self.entry.zone == other.entry.zone,
            DedupScope::Cell => self.entry.cell == other.entry.cell,
        }
    }
}

/// The cache nodes that may serve some classes; `None` allows all.
#[derive(PartialEq)]
struct NodeFilter {
    kinds: Option<Vec<u32>>,
    zones: Option<Vec<u32>>,
}

/// The node filters of all classes; equal ones are stored once.
#[derive(Default)]
pub(crate) struct NodeFilters {
    all: Vec<NodeFilter>,
    /// Index of each class's filter.
    by_class: Vec<usize>,
}

impl NodeFilters {
    pub fn new(classes: &[Class]) -> Self {
        let mut filters = NodeFilters::default();
        for class in classes {
            let filter = NodeFilter { kinds: class.kinds.clone(), zones: class.zones.clone() };
            let existing = filters.all.iter().position(|other| *other == filter);
            // A node has a limited number of filter bits. The classes of any further filters share the last
            // bit, which no node has set; otherwise they would be open to all nodes.
            let index = existing.unwrap_or(filters.all.len().min(MAX_NODE_FILTERS));
            if index == filters.all.len() && index < MAX_NODE_FILTERS {
                filters.all.push(filter);
            }
            filters.by_class.push(index);
        }
        filters
    }
    /// Number of distinct filters.
    pub fn count(&self) -> usize {
        self.all.len()
    }
    /// Index of the class's filter.
    pub fn index_for(&self, class: usize) -> usize {
        self.by_class[class]
    }
    /// Bits of the filters that a node with this entry passes.
    pub fn matching_bits(&self, entry: &NodeEntry) -> u64 {
        let allows =
            |allowed: &Option<Vec<u32>>, one| allowed.as_ref().is_none_or(|allowed| allowed.contains(&one));
        let passes =
            |filter: &NodeFilter| allows(&filter.kinds, entry.kind) && allows(&filter.zones, entry.zone);
        self.all.iter().enumerate().map(|(n, filter)| u64::from(passes(filter)) << n).sum()
    }
}

/// Statistics of a kind of node.
#[derive(Default)]
pub(crate) struct KindStats {
    /// Largest weight listed for a node of the kind.
    pub max_weight: f64,
    /// Answer time.
    pub answer_time: RunningMean,
    /// Speed relative to all kinds, in steps.
    pub speed_level: f64,
}

impl KindStats {
    /// Records an answer time. Returns the binary logarithm of the kind's speed relative to all kinds, whose
    /// mean answer time is `mean_answer_time`.
    pub fn record_speed(&mut self, mean_answer_time: f64, answer_time: Micros, weight: f64) -> f64 {
        (mean_answer_time.max(1.0) / self.answer_time.record(answer_time, weight).max(1.0)).log2()
    }
}

/// Health of a zone, whose caches may become unreachable together.
#[derive(Default)]
pub(crate) struct ZoneHealth {
    pub last_answer_at: Micros,
    /// Nodes that stopped answering since then.
    pub silent_nodes: u32,
    /// Time from the last probe to the next; 0 while the zone is healthy.
    pub ejection_time: Micros,
    pub probed_at: Micros,
}

impl ZoneHealth {
    /// Ejects the zone. If its last ejection has ended, the new one lasts twice as long.
    pub fn eject(&mut self, now: Micros, base: Micros, max_doublings: u32) {
        if now >= self.probed_at + self.ejection_time {
            (self.probed_at, self.ejection_time) =
                (now, (self.ejection_time * 2).clamp(base, base << max_doublings));
        }
    }
}

/// All nodes by index, and their indices by id.
#[derive(Default)]
pub(crate) struct Nodes {
    all: Vec<Node>,
    by_id: FxHashMap<NodeId, usize>,
}

impl Nodes {
    /// Index of the node with this id.
    pub fn find(&self, id: &NodeId) -> Option<usize> {
        self.by_id.get(id).copied()
    }
    /// The node with this id, created if it is new. A new node reuses the record of a removed node that was
    /// sent nothing for `retention`: if nodes are replaced under new ids all day, records would accumulate
    /// otherwise.
    pub fn get_or_insert(&mut self, id: &NodeId, now: Micros, retention: Micros) -> &mut Node {
        let is_expired = |node: &Node| {
            node.entry.state == NodeState::Gone
                && node.in_flight == 0
                && now - node.recent_requests.updated_at > retention
        };
        let n = self.find(id).unwrap_or_else(|| {
            let n = self.all.iter().position(is_expired).unwrap_or(self.all.len());
            let new_node = Node { id_hash: hash(id), ..Node::default() };
            match self.all.get_mut(n) {
                Some(old) => drop(self.by_id.remove(&std::mem::replace(old, new_node).entry.node)),
                None => self.all.push(new_node),
            }
            self.by_id.insert(id.clone(), n);
            n
        });
        &mut self.all[n]
    }
    /// Nodes that stopped answering and have not answered since, except those of kind `excluded_kind`.
    pub fn silent_except(&self, excluded_kind: Option<u32>) -> Vec<NodeId> {
        let silent =
            self.all.iter().filter(|node| node.ejections > 0 && Some(node.entry.kind) != excluded_kind);
        silent.map(|node| node.entry.node.clone()).collect()
    }
    /// Defers the next probe of a silent node until then.
    pub fn defer_probe(&mut self, id: &NodeId, until: Micros) {
        if let Some(node) = self.find(id).map(|n| &mut self.all[n]).filter(|node| node.ejections > 0) {
            node.ejected_until = until;
        }
    }
}

impl Deref for Nodes {
    type Target = Vec<Node>;
    fn deref(&self) -> &Self::Target {
        &self.all
    }
}

impl DerefMut for Nodes {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.all
    }
}

/// Token bucket of a tenant on this proxy.
pub(crate) struct TokenBucket {
    pub tokens: f64,
    pub refilled_at: Micros,
}

impl TokenBucket {
    /// Takes a token if there is one. The bucket refills at `rate` tokens a second and holds those of one
    /// second, but no fewer than `min_burst`.
    pub fn try_take(&mut self, now: Micros, rate: f64, min_burst: f64) -> bool {
        self.tokens = (self.tokens + rate * (now - self.refilled_at) as f64 / 1e6).min(rate.max(min_burst));
        self.refilled_at = now;
        let is_taken = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(is_taken));
        is_taken
    }
}

/// Statistics over all caches.
#[derive(Default)]
pub(crate) struct CacheStats {
    /// Number of ready caches.
    pub ready_count: usize,
    /// Total capacity of the ready caches.
    pub total_capacity: f64,
    /// Requests sent recently.
    pub recent_sent: DecayingCount,
    /// Requests accepted recently.
    pub recent_accepted: DecayingCount,
    pub in_flight: u32,
    pub answer_times: AnswerTimes,
    /// Mean fraction of the latency target that a request uses.
    pub target_fraction: DecayingMean,
    /// Fraction of reads admitted.
    pub admitted_reads: AdmittedFraction,
    /// Fraction of requests beyond the tenants' quotas admitted.
    pub admitted_over_quota: AdmittedFraction,
}

impl CacheStats {
    pub fn new(now: Micros, answer_times: AnswerTimes, over_quota: f64) -> Self {
        let admitted = |value: f64| AdmittedFraction { value, stepped_at: now };
        CacheStats {
            answer_times,
            admitted_reads: admitted(1.0),
            admitted_over_quota: admitted(over_quota),
            ..Self::default()
        }
    }
}

/// An admitted fraction, adjusted in steps (AIMD), and the time of the last step.
#[derive(Default, Clone, Copy)]
pub(crate) struct AdmittedFraction {
    pub value: f64,
    pub stepped_at: Micros,
}

impl AdmittedFraction {
    /// Takes `steps` steps: multiplies by `factor` and adds `increment` for each, and keeps the result within
    /// `min` and 1.
    pub fn step(&mut self, now: Micros, steps: f64, factor: f64, increment: f64, min: f64) {
        if steps > 0.0 {
            *self = AdmittedFraction {
                value: (self.value * factor.powf(steps) + increment * steps).clamp(min, 1.0),
                stepped_at: now,
            };
        }
    }
}

/// State of the origin, its fetch limit and its queue.
#[derive(Default)]
pub(crate) struct OriginState {
    pub node: Option<usize>,
    pub answer_times: AnswerTimes,
    /// Recent minimum of the mean answer time.
    pub best_answer_time: f64,
    /// Mean answer time up to which the origin never counts as slow.
    pub acceptable_answer_time: f64,
    /// Last outcome that indicated the load of the origin.
    pub last_outcome_at: Micros,
    /// Last served answer.
    pub last_served_at: Micros,
    /// Limit on concurrent fetches; below 1, fetches are spaced out in time.
    pub fetch_limit: f64,
    /// Last reduction of the limit.
    pub limit_reduced_at: Micros,
    /// Refusals that its answers have paid for; without credit, only probes are sent.
    pub refusal_credit: f64,
    /// Consecutive refused probes, up to the limit on doublings.
    pub refused_probes: u32,
    /// Fraction of fetches and writes that it refused.
    pub refusal_rate: DecayingMean,
    /// Earliest time of the next request while the limit is below 1 or there is no credit.
    pub next_probe_at: Micros,
    /// Number of fetches requested so far, sent or not.
    pub fetch_demand: u64,
    /// Time between two fetches at the granted rate; 0 if no rate is granted.
    pub fetch_interval: Micros,
    /// Scheduled time of the next fetch at the granted rate.
    pub next_scheduled_fetch: Micros,
    /// Until then idle connections are closed, as the origin's connection table was full.
    pub connections_full_until: Micros,
    pub queue: VecDeque<RequestId>,
}

impl OriginState {
    pub fn new(
        now: Micros,
        answer_times: AnswerTimes,
        fetch_limit: f64,
        acceptable_answer_time: f64,
        refusal_credit: f64,
    ) -> Self {
        OriginState {
            answer_times,
            best_answer_time: f64::MAX,
            acceptable_answer_time,
            fetch_limit,
            refusal_credit,
            last_outcome_at: now,
            last_served_at: now,
            ..Self::default()
        }
    }
    /// Records the time of a served answer; it weighs more the longer ago the last one was.
    pub fn record_answer(&mut self, now: Micros, answer_time: Micros, weight: f64, decay: f64) {
        let gap = (now - std::mem::replace(&mut self.last_served_at, now)) as f64;
        self.answer_times.record(answer_time, weight.max(1.0 - (-gap / decay).exp()));
    }
    /// Requests that may be sent within one answer time.
    pub fn requests_per_answer_time(&self) -> f64 {
        let own_limit = if self.refusal_credit > 0.0 {
            self.fetch_limit
        } else {
            self.fetch_limit.min(1.0 / f64::from(1u32 << self.refused_probes))
        };
        if self.fetch_interval > 0 {
            own_limit.min(self.answer_times.mean / self.fetch_interval as f64)
        } else {
            own_limit
        }
    }
    /// Adds an answer's credit for refusals, up to a limit.
    pub fn earn_credit(&mut self, credit: f64, max_credit: f64) {
        (self.refusal_credit, self.refused_probes) = ((self.refusal_credit + credit).min(max_credit), 0);
    }
    /// Takes credit for one refusal. Without credit left, the next probe is delayed, for longer each time.
    pub fn spend_credit(
        &mut self,
        now: Micros,
        min_credit: f64,
        max_doublings: u32,
        jitter: impl FnOnce() -> f64,
    ) {
        self.refusal_credit = (self.refusal_credit - 1.0).max(min_credit);
        if self.refusal_credit <= 0.0 {
            self.next_probe_at =
                now + (self.answer_times.mean * f64::from(1u32 << self.refused_probes) * jitter()) as Micros;
            self.refused_probes = (self.refused_probes + 1).min(max_doublings);
        }
    }
    /// Whether the mean answer time exceeds both its recent minimum by this factor and the acceptable time.
    pub fn is_slow(&self, factor: f64) -> bool {
        self.answer_times.mean > (factor * self.best_answer_time).max(self.acceptable_answer_time)
    }
    /// Returns the number of answer times that have passed since the last outcome, and records one now.
    pub fn take_elapsed_answer_times(&mut self, now: Micros) -> Micros {
        (now - std::mem::replace(&mut self.last_outcome_at, now)) / self.answer_times.expected().max(1)
    }
}

/// EWMA in which a new value weighs more the older the last one is.
#[derive(Default, Clone, Copy)]
pub(crate) struct DecayingMean {
    pub mean: f64,
    updated_at: Micros,
}

impl DecayingMean {
    /// Records a value. It weighs at least `weight`, and the more the longer ago the last value was, on the
    /// time scale of `decay`.
    pub fn record(&mut self, now: Micros, value: f64, weight: f64, decay: f64) {
        let weight = weight.max(1.0 - (-((now - self.updated_at) as f64) / decay).exp());
        *self = DecayingMean { mean: self.mean + weight * (value - self.mean), updated_at: now };
    }
}

/// Mean of all values at first, an EWMA once there are many.
#[derive(Default, Clone, Copy)]
pub(crate) struct RunningMean {
    mean: f64,
    pub count: u32,
}

impl RunningMean {
    /// Records a value; returns the new mean.
    pub fn record(&mut self, value: Micros, weight: f64) -> f64 {
        self.count = self.count.saturating_add(1);
        self.mean += weight.max(1.0 / f64::from(self.count)) * (value as f64 - self.mean);
        self.mean
    }
}

/// EWMAs of answer times and their deviation from the mean.
#[derive(Default, Clone, Copy)]
pub(crate) struct AnswerTimes {
    pub mean: f64,
    pub deviation: f64,
}

impl AnswerTimes {
    pub fn record(&mut self, answer_time: Micros, weight: f64) {
        let difference = answer_time as f64 - self.mean;
        self.mean += weight * difference;
        self.deviation += weight * (difference.abs() - self.deviation);
    }
    pub fn expected(&self) -> Micros {
        self.mean as Micros
    }
}

/// A count that decays exponentially over a given time.
#[derive(Default, Clone, Copy)]
pub(crate) struct DecayingCount {
    count: f64,
    updated_at: Micros,
}

impl DecayingCount {
    /// The count at `now`.
    pub fn value(&self, now: Micros, decay: Micros) -> f64 {
        self.count * (-((now - self.updated_at) as f64) / decay.max(1) as f64).exp()
    }
    /// Adds 1 to the count.
    pub fn add(&mut self, now: Micros, decay: Micros) {
        *self = DecayingCount { count: self.value(now, decay) + 1.0, updated_at: now };
    }
}

/// The slot table: the node that owns each slot.
#[derive(Default)]
pub(crate) struct SlotTable {
    owners: Vec<u16>,
    cache_count: usize,
}

impl SlotTable {
    /// Builds a table from each cache's index, hash of its id and number of claims. A slot claimed by several
    /// caches goes to the one with the highest hash for it.
    pub fn new(slot_count: usize, caches: impl Iterator<Item = (usize, u64, u64)>) -> Self {
        let mut table = SlotTable { owners: vec![u16::MAX; slot_count], cache_count: 0 };
        let mut best_hash = vec![0; slot_count];
        for (n, id, claims) in caches {
            table.cache_count += 1;
            for slot in (0..claims).map(|claim| nth_hash(id, claim) as usize % slot_count) {
                let slot_hash = nth_hash(id, !(slot as u64));
                if best_hash[slot] < slot_hash {
                    (best_hash[slot], table.owners[slot]) = (slot_hash, n as u16);
                }
            }
        }
        table
    }
    /// A key's caches in order of preference, `MAX` at most: the owners of the slots that its hash sequence
    /// selects, of which `max_probes` are examined at most.
    pub fn ranked_caches<const MAX: usize>(
        &self,
        key_hash: u64,
        max_probes: u64,
    ) -> impl Iterator<Item = usize> {
        let (mut found, mut count) = ([u16::MAX; MAX], 0);
        let max_probes = if self.cache_count > 0 { max_probes } else { 0 };
        let probed = (0..max_probes)
            .map(move |probe| self.owners[nth_hash(key_hash, probe) as usize % self.owners.len()]);
        let distinct = probed.filter(move |n| {
            let distinct = *n != u16::MAX && count < MAX && !found[..count].contains(n);
            if distinct {
                found[count] = *n;
                count += 1;
            }
            distinct
        });
        distinct.map(usize::from).take(MAX.min(self.cache_count))
    }
}

/// Recent requests of this proxy, by key and in total. Keys may share a counter.
pub(crate) struct RequestCounts {
    by_key: Vec<DecayingCount>,
    pub total: DecayingCount,
}

impl RequestCounts {
    pub fn new(counters: usize) -> Self {
        RequestCounts { by_key: vec![DecayingCount::default(); counters], total: DecayingCount::default() }
    }
    pub fn for_key(&self, key_hash: u64) -> DecayingCount {
        self.by_key[key_hash as usize % self.by_key.len()]
    }
    pub fn add(&mut self, now: Micros, decay: Micros, key_hash: u64) {
        let counter = key_hash as usize % self.by_key.len();
        self.by_key[counter].add(now, decay);
        self.total.add(now, decay);
    }
}

/// Mixes a hash's bits (the finalizer of splitmix64); the same on every machine.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Element `number` of the seed's hash sequence.
pub(crate) fn nth_hash(seed: u64, number: u64) -> u64 {
    mix(seed ^ number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// FNV-1a, mixed; the same on every machine.
pub(crate) fn hash(text: &str) -> u64 {
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)))
}

/// Maps a hash to a number in (0, 1).
pub(crate) fn to_unit_interval(h: u64) -> f64 {
    ((h >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

#[cfg(test)]
mod tests;
