//! State of the policy: requests, nodes, estimates and the slot table. Decisions are made in `policy`.

use crate::interface::{
    IncomingRequest, Class, AttemptStatus, NodeEntry, DedupScope, Key, Micros, NodeId, RequestId, Settings, NodeState,
};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};
use std::ops::{Deref, DerefMut};

/// Node filters that the bits of a `u64` hold, less the last bit. That bit is never set and stands for any
/// further filter.
const PLACES_MOST: usize = 63;

/// One attempt of a request.
pub(crate) struct Attempt {
    pub node: usize,
    pub sent_at: Micros,
    pub ending: Option<AttemptStatus>,
}

/// What a request without an attempt in flight waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// It does not wait: an attempt is in flight.
    Plain,
    /// The leader's fetch of the same key.
    Following,
    /// Its turn in the origin's queue.
    Queued,
    /// The delay before it retries a fetch that the origin refused.
    Pausing,
}

/// One request, until its final answer.
pub(crate) struct Request {
    pub class: usize,
    pub key: Key,
    /// Hash of the key; selects its slots and its request counter.
    pub slot: u64,
    pub write: bool,
    pub arrived: Micros,
    pub deadline: Micros,
    /// An answer after this has no worth.
    pub useful_until: Micros,
    pub attempts: Vec<Attempt>,
    pub attempts_most: usize,
    /// The cache node that missed last.
    pub missed_at: Option<usize>,
    /// Random number for the request's own choices, such as the first of a hot key's caches.
    pub turn: u64,
    pub role: Role,
    /// When the wait ends, if the request waits.
    pub due: Micros,
}

impl Request {
    pub fn new(
        arrival: IncomingRequest,
        arrived: Micros,
        useful_until: Micros,
        attempts_most: usize,
        turn: u64,
    ) -> Self {
        let key = arrival.key.unwrap_or(arrival.id);
        Request {
            class: arrival.class,
            slot: hash(&key),
            key,
            write: arrival.is_write,
            arrived,
            deadline: arrival.deadline,
            useful_until,
            attempts: Vec::new(),
            attempts_most,
            missed_at: None,
            turn,
            role: Role::Plain,
            due: 0,
        }
    }
    /// Whether an attempt at this node was made.
    pub fn tried(&self, node: usize) -> bool {
        self.attempts.iter().any(|h| h.node == node)
    }
    /// The first attempt that may have run or may still run.
    pub fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|h| h.ending.is_none_or(|e| !e.never_ran()))
    }
}

/// The shortest latency target of all classes.
pub(crate) fn shortest_target(settings: &Settings) -> f64 {
    settings.classes.iter().map(|u| u.latency_target).min().unwrap_or(1_000_000) as f64
}

/// Requests without a final answer, and the times at which the waits of some of them end.
#[derive(Default)]
pub(crate) struct Requests {
    by_id: FxHashMap<RequestId, Request>,
    held: BTreeSet<(Micros, RequestId)>,
}

impl Requests {
    /// Lets a request wait until the given time at most.
    pub fn hold(&mut self, id: &RequestId, role: Role, until: Micros) {
        if let Some(request) = self.by_id.get_mut(id) {
            (request.role, request.due) = (role, until);
            self.held.insert((until, id.clone()));
        }
    }
    /// Ends the request's wait, if any, and returns what it waited for.
    pub fn unhold(&mut self, id: &RequestId) -> Role {
        let Some(request) = self.by_id.get_mut(id) else { return Role::Plain };
        if request.role != Role::Plain {
            self.held.remove(&(request.due, id.clone()));
        }
        std::mem::replace(&mut request.role, Role::Plain)
    }
    /// The earliest end of a wait.
    pub fn first_due(&self) -> Micros {
        self.held.first().map_or(Micros::MAX, |held| held.0)
    }
    /// A request whose wait has ended.
    pub fn due(&self, now: Micros) -> Option<RequestId> {
        self.held.first().filter(|held| held.0 <= now).map(|held| held.1.clone())
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
pub(crate) struct Join {
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
    pub heard_at: Micros,
    pub strikes: u32,
    pub skip_until: Micros,
    pub full_until: Micros,
    /// Fraction of reads that pass the node over, since it was listed with more load than it handles well.
    pub leave: f64,
    /// Fraction of its attempts that failed or got an invalid response.
    pub faults: Mean,
    /// Answer time.
    pub time: Mean,
    /// Fraction of the latency target that its answers use.
    pub target_used: Mean,
    /// Recent minimum of the answer time: mostly network latency.
    pub least: f64,
    /// Requests sent within the time for which a cold node withstands overload.
    pub sent: Pace,
    /// Requests sent over a longer time.
    pub asked: Pace,
    pub id_hash: u64,
    /// Start time as listed; the entry has the latest time at which the start may have been.
    pub told_start: Micros,
    /// The node filters that the node passes, one bit each.
    pub places: u64,
    /// Capacity by its listed weight and the speed of its kind.
    pub size: f64,
}

impl Node {
    /// Ejects the node after a failure, for twice as long each time.
    pub fn strike(&mut self, now: Micros, first: Micros, doublings: u32) {
        self.skip_until = now + (first << self.strikes.min(doublings));
        self.strikes += 1;
    }
    /// Adjusts the fraction of reads that pass the node over. If the node holds more requests per core than
    /// `well`, the fraction that it keeps is divided by the excess, by `most` at most; otherwise it grows by
    /// `step`.
    pub fn left(&mut self, held: f64, well: f64, most: f64, step: f64) {
        let (kept, over) = (1.0 - self.leave, held / well);
        self.leave = 1.0 - if over > 1.0 { kept / over.min(most) } else { (kept + step).min(1.0) };
    }
    /// Records an answer time for the minimum. The old minimum grows by `drift`, so that it is forgotten over
    /// time.
    pub fn learn_least(&mut self, wait: f64, drift: f64) {
        let wait = wait.max(1.0);
        self.least = if self.least > 0.0 { wait.min(self.least * drift) } else { wait };
    }
    /// Fraction of its capacity that the node has reached at least, between `start` and 1.
    pub fn warmth(&self, now: Micros, start: f64, ramp: Micros) -> f64 {
        let age = self.age(now) as f64 / ramp.max(1) as f64;
        if self.entry.started_at <= 0 { 1.0 } else { (start + (1.0 - start) * age).min(1.0) }
    }
    /// Least time since its start.
    pub fn age(&self, now: Micros) -> Micros {
        (now - self.entry.started_at).max(0)
    }
    /// Whether the node passes a node filter.
    pub fn open_to(&self, place: usize) -> bool {
        self.places >> place & 1 == 1
    }
    /// Whether the node is listed but gets no requests, except for probes.
    pub fn avoided(&self, now: Micros) -> bool {
        match self.entry.state {
            NodeState::Ready => now < self.skip_until,
            NodeState::Draining => true,
            NodeState::Gone => false,
        }
    }
    /// Whether both nodes deduplicate the same requests.
    pub fn in_group(&self, other: &Node, group: DedupScope) -> bool {
        match group {
            DedupScope::All => true,
            DedupScope::Zone => self.entry.zone == other.entry.zone,
            DedupScope::Cell => self.entry.cell == other.entry.cell,
        }
    }
}

/// The cache nodes that may serve some classes; `None` allows all.
#[derive(PartialEq)]
struct Place {
    kinds: Option<Vec<u32>>,
    zones: Option<Vec<u32>>,
}

/// The node filters of all classes; equal ones are stored once.
#[derive(Default)]
pub(crate) struct Places {
    all: Vec<Place>,
    /// Index of each class's filter.
    of_case: Vec<usize>,
}

impl Places {
    pub fn new(cases: &[Class]) -> Self {
        let mut places = Places::default();
        for case in cases {
            let bound = Place { kinds: case.kinds.clone(), zones: case.zones.clone() };
            let known = places.all.iter().position(|place| *place == bound);
            // A node has a limited number of filter bits. The classes of any further filters share the last
            // bit, which no node has set; otherwise they would be open to all nodes.
            let place = known.unwrap_or(places.all.len().min(PLACES_MOST));
            if place == places.all.len() && place < PLACES_MOST {
                places.all.push(bound);
            }
            places.of_case.push(place);
        }
        places
    }
    /// Number of distinct filters.
    pub fn count(&self) -> usize {
        self.all.len()
    }
    /// Index of the class's filter.
    pub fn of(&self, class: usize) -> usize {
        self.of_case[class]
    }
    /// Bits of the filters that a node with this entry passes.
    pub fn holding(&self, entry: &NodeEntry) -> u64 {
        let within =
            |allowed: &Option<Vec<u32>>, one| allowed.as_ref().is_none_or(|allowed| allowed.contains(&one));
        let holds = |place: &Place| within(&place.kinds, entry.kind) && within(&place.zones, entry.zone);
        self.all.iter().enumerate().map(|(n, place)| u64::from(holds(place)) << n).sum()
    }
}

/// Statistics of a kind of node.
#[derive(Default)]
pub(crate) struct Kind {
    /// Largest weight listed for a node of the kind.
    pub most: f64,
    /// Answer time.
    pub time: Average,
    /// Speed relative to all kinds, in steps.
    pub level: f64,
}

impl Kind {
    /// Records an answer time. Returns the binary logarithm of the kind's speed relative to all kinds, whose
    /// mean answer time is `all`.
    pub fn faster(&mut self, all: f64, wait: Micros, weight: f64) -> f64 {
        (all.max(1.0) / self.time.learn(wait, weight).max(1.0)).log2()
    }
}

/// Health of a zone, whose caches may become unreachable together.
#[derive(Default)]
pub(crate) struct Zone {
    pub heard_at: Micros,
    /// Nodes that stopped answering since then.
    pub silent: u32,
    /// Time from the last probe to the next; 0 while the zone is healthy.
    pub spell: Micros,
    pub tried_at: Micros,
}

impl Zone {
    /// Ejects the zone. If its last ejection has ended, the new one lasts twice as long.
    pub fn strike(&mut self, now: Micros, first: Micros, doublings: u32) {
        if now >= self.tried_at + self.spell {
            (self.tried_at, self.spell) = (now, (self.spell * 2).clamp(first, first << doublings));
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
    /// sent nothing for `long`: if nodes are replaced under new ids all day, records would accumulate
    /// otherwise.
    pub fn of(&mut self, id: &NodeId, now: Micros, long: Micros) -> &mut Node {
        let forgotten = |node: &Node| {
            node.entry.state == NodeState::Gone && node.in_flight == 0 && now - node.sent.at > long
        };
        let n = self.find(id).unwrap_or_else(|| {
            let n = self.all.iter().position(forgotten).unwrap_or(self.all.len());
            let fresh = Node { id_hash: hash(id), ..Node::default() };
            match self.all.get_mut(n) {
                Some(old) => drop(self.by_id.remove(&std::mem::replace(old, fresh).entry.node)),
                None => self.all.push(fresh),
            }
            self.by_id.insert(id.clone(), n);
            n
        });
        &mut self.all[n]
    }
    /// Nodes that stopped answering and have not answered since, except those of kind `but`.
    pub fn silent(&self, but: Option<u32>) -> Vec<NodeId> {
        let silent = self.all.iter().filter(|node| node.strikes > 0 && Some(node.entry.kind) != but);
        silent.map(|node| node.entry.node.clone()).collect()
    }
    /// Defers the next probe of a silent node until then.
    pub fn put_off(&mut self, id: &NodeId, until: Micros) {
        if let Some(node) = self.find(id).map(|n| &mut self.all[n]).filter(|node| node.strikes > 0) {
            node.skip_until = until;
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
pub(crate) struct Tenant {
    pub allowance: f64,
    pub filled_at: Micros,
}

impl Tenant {
    /// Takes a token if there is one. The bucket refills at `rate` tokens a second and holds those of one
    /// second, but no fewer than `least`.
    pub fn take(&mut self, now: Micros, rate: f64, least: f64) -> bool {
        self.allowance = (self.allowance + rate * (now - self.filled_at) as f64 / 1e6).min(rate.max(least));
        self.filled_at = now;
        let within = self.allowance >= 1.0;
        self.allowance -= f64::from(u8::from(within));
        within
    }
}

/// Statistics over all caches.
#[derive(Default)]
pub(crate) struct Caches {
    /// Number of ready caches.
    pub ready: usize,
    /// Total capacity of the ready caches.
    pub size: f64,
    /// Requests sent recently.
    pub sent: Pace,
    /// Requests accepted recently.
    pub taken: Pace,
    pub in_flight: u32,
    pub times: Times,
    /// Mean fraction of the latency target that a request uses.
    pub target_used: Mean,
    /// Fraction of reads admitted.
    pub admit: Share,
    /// Fraction of requests beyond the tenants' quotas admitted.
    pub surplus: Share,
}

impl Caches {
    pub fn new(now: Micros, times: Times, surplus: f64) -> Self {
        let share = |share: f64| Share { now: share, at: now };
        Caches { times, admit: share(1.0), surplus: share(surplus), ..Self::default() }
    }
}

/// An admitted fraction, adjusted in steps (AIMD), and the time of the last step.
#[derive(Default, Clone, Copy)]
pub(crate) struct Share {
    pub now: f64,
    pub at: Micros,
}

impl Share {
    /// Takes `steps` steps: multiplies by `fall` and adds `rise` for each, and keeps the result within
    /// `least` and 1.
    pub fn step(&mut self, now: Micros, steps: f64, fall: f64, rise: f64, least: f64) {
        if steps > 0.0 {
            *self = Share { now: (self.now * fall.powf(steps) + rise * steps).clamp(least, 1.0), at: now };
        }
    }
}

/// State of the origin, its fetch limit and its queue.
#[derive(Default)]
pub(crate) struct Origin {
    pub node: Option<usize>,
    pub times: Times,
    /// Recent minimum of the mean answer time.
    pub best: f64,
    /// Mean answer time up to which the origin never counts as slow.
    pub bearable: f64,
    /// Last outcome that indicated the load of the origin.
    pub heard_at: Micros,
    /// Last served answer.
    pub answered_at: Micros,
    /// Limit on concurrent fetches; below 1, fetches are spaced out in time.
    pub most: f64,
    /// Last reduction of the limit.
    pub cut_at: Micros,
    /// Refusals that its answers have paid for; without credit, only probes are sent.
    pub earned: f64,
    /// Consecutive refused probes, up to the limit on doublings.
    pub probes: u32,
    /// Fraction of fetches and writes that it refused.
    pub refused: Mean,
    /// Earliest time of the next request while the limit is below 1 or there is no credit.
    pub after: Micros,
    /// Number of fetches requested so far, sent or not.
    pub wanted: u64,
    /// Time between two fetches at the granted rate; 0 if no rate is granted.
    pub apart: Micros,
    /// Scheduled time of the next fetch at the granted rate.
    pub turn: Micros,
    /// Until then idle connections are closed, as the origin's connection table was full.
    pub full_until: Micros,
    pub queue: VecDeque<RequestId>,
}

impl Origin {
    pub fn new(now: Micros, times: Times, most: f64, bearable: f64, earned: f64) -> Self {
        Origin {
            times,
            best: f64::MAX,
            bearable,
            most,
            earned,
            heard_at: now,
            answered_at: now,
            ..Self::default()
        }
    }
    /// Records the time of a served answer; it weighs more the longer ago the last one was.
    pub fn answers(&mut self, now: Micros, wait: Micros, weight: f64, age: f64) {
        let gap = (now - std::mem::replace(&mut self.answered_at, now)) as f64;
        self.times.learn(wait, weight.max(1.0 - (-gap / age).exp()));
    }
    /// Requests that may be sent within one answer time.
    pub fn pace(&self) -> f64 {
        let own =
            if self.earned > 0.0 { self.most } else { self.most.min(1.0 / f64::from(1u32 << self.probes)) };
        if self.apart > 0 { own.min(self.times.mean / self.apart as f64) } else { own }
    }
    /// Adds an answer's credit for refusals, up to a limit.
    pub fn pays(&mut self, earns: f64, most: f64) {
        (self.earned, self.probes) = ((self.earned + earns).min(most), 0);
    }
    /// Takes credit for one refusal. Without credit left, the next probe is delayed, for longer each time.
    pub fn refuses(&mut self, now: Micros, least: f64, doublings: u32, lot: impl FnOnce() -> f64) {
        self.earned = (self.earned - 1.0).max(least);
        if self.earned <= 0.0 {
            self.after = now + (self.times.mean * f64::from(1u32 << self.probes) * lot()) as Micros;
            self.probes = (self.probes + 1).min(doublings);
        }
    }
    /// Whether the mean answer time exceeds both its recent minimum by this factor and the acceptable time.
    pub fn slow(&self, factor: f64) -> bool {
        self.times.mean > (factor * self.best).max(self.bearable)
    }
    /// Returns the number of answer times that have passed since the last outcome, and records one now.
    pub fn silence(&mut self, now: Micros) -> Micros {
        (now - std::mem::replace(&mut self.heard_at, now)) / self.times.expected().max(1)
    }
}

/// EWMA in which a new value weighs more the older the last one is.
#[derive(Default, Clone, Copy)]
pub(crate) struct Mean {
    pub mean: f64,
    at: Micros,
}

impl Mean {
    /// Records a value. It weighs at least `weight`, and most after `age` without values.
    pub fn learn(&mut self, now: Micros, value: f64, weight: f64, age: f64) {
        let weight = weight.max(1.0 - (-((now - self.at) as f64) / age).exp());
        *self = Mean { mean: self.mean + weight * (value - self.mean), at: now };
    }
}

/// Mean of all values at first, an EWMA once there are many.
#[derive(Default, Clone, Copy)]
pub(crate) struct Average {
    mean: f64,
    pub count: u32,
}

impl Average {
    /// Records a value; returns the new mean.
    pub fn learn(&mut self, value: Micros, weight: f64) -> f64 {
        self.count = self.count.saturating_add(1);
        self.mean += weight.max(1.0 / f64::from(self.count)) * (value as f64 - self.mean);
        self.mean
    }
}

/// EWMAs of answer times and their deviation from the mean.
#[derive(Default, Clone, Copy)]
pub(crate) struct Times {
    pub mean: f64,
    pub deviation: f64,
}

impl Times {
    pub fn learn(&mut self, wait: Micros, weight: f64) {
        let off = wait as f64 - self.mean;
        self.mean += weight * off;
        self.deviation += weight * (off.abs() - self.deviation);
    }
    pub fn expected(&self) -> Micros {
        self.mean as Micros
    }
}

/// A count that decays exponentially over a given time.
#[derive(Default, Clone, Copy)]
pub(crate) struct Pace {
    count: f64,
    at: Micros,
}

impl Pace {
    /// The count at `now`.
    pub fn now(&self, now: Micros, fade: Micros) -> f64 {
        self.count * (-((now - self.at) as f64) / fade.max(1) as f64).exp()
    }
    pub fn add(&mut self, now: Micros, fade: Micros) {
        *self = Pace { count: self.now(now, fade) + 1.0, at: now };
    }
}

/// The slot table: the node that owns each slot.
#[derive(Default)]
pub(crate) struct Slots {
    holders: Vec<u16>,
    caches: usize,
}

impl Slots {
    /// Builds a table from each cache's index, hash of its id and number of claims. A slot claimed by several
    /// caches goes to the one with the highest hash for it.
    pub fn new(slots: usize, caches: impl Iterator<Item = (usize, u64, u64)>) -> Self {
        let mut table = Slots { holders: vec![u16::MAX; slots], caches: 0 };
        let mut best = vec![0; slots];
        for (n, id, claims) in caches {
            table.caches += 1;
            for slot in (0..claims).map(|claim| draw(id, claim) as usize % slots) {
                let chance = draw(id, !(slot as u64));
                if best[slot] < chance {
                    (best[slot], table.holders[slot]) = (chance, n as u16);
                }
            }
        }
        table
    }
    /// A key's caches in order of preference, `MOST` at most: the owners of the slots that its hash sequence
    /// selects, of which `looks` are examined at most.
    pub fn ranks<const MOST: usize>(&self, key: u64, looks: u64) -> impl Iterator<Item = usize> {
        let (mut found, mut count) = ([u16::MAX; MOST], 0);
        let looks = if self.caches > 0 { looks } else { 0 };
        let named = (0..looks).map(move |l| self.holders[draw(key, l) as usize % self.holders.len()]);
        let fresh = named.filter(move |n| {
            let fresh = *n != u16::MAX && count < MOST && !found[..count].contains(n);
            if fresh {
                found[count] = *n;
                count += 1;
            }
            fresh
        });
        fresh.map(usize::from).take(MOST.min(self.caches))
    }
}

/// Recent requests of this proxy, by key and in total. Keys may share a counter.
pub(crate) struct Heat {
    counts: Vec<Pace>,
    pub all: Pace,
}

impl Heat {
    pub fn new(counts: usize) -> Self {
        Heat { counts: vec![Pace::default(); counts], all: Pace::default() }
    }
    pub fn of(&self, key: u64) -> Pace {
        self.counts[key as usize % self.counts.len()]
    }
    pub fn add(&mut self, now: Micros, fade: Micros, key: u64) {
        let count = key as usize % self.counts.len();
        self.counts[count].add(now, fade);
        self.all.add(now, fade);
    }
}

/// Mixes a hash's bits (the finalizer of splitmix64); the same on every machine.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Element `number` of the seed's hash sequence.
pub(crate) fn draw(seed: u64, number: u64) -> u64 {
    mix(seed ^ number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// FNV-1a, mixed; the same on every machine.
pub(crate) fn hash(text: &str) -> u64 {
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)))
}

/// Maps a hash to a number in (0, 1).
pub(crate) fn unit(h: u64) -> f64 {
    ((h >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

#[cfg(test)]
mod tests;
