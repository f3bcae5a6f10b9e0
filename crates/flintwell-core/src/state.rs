//! The module's records, grouped by how long they live, and the plain arithmetic on them. No decisions.

use crate::interface::{
    Arrival, Class, Ending, Entry, Group, Key, Micros, NodeId, RequestId, Settings, Standing,
};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};
use std::ops::{Deref, DerefMut};

const PLACES_MOST: usize = 63; // places; the last bit, which no node has, stands for any beyond

/// One attempt.
pub(crate) struct Attempt {
    pub node: usize,
    pub sent_at: Micros,
    pub ending: Option<Ending>,
}

/// Why a request is with us with nothing sent.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// It is not: an attempt is out.
    Plain,
    Following,
    /// In the queue before the origin.
    Queued,
    /// Refused by the origin; it asks again in a moment.
    Pausing,
}

/// One request, until its final answer.
pub(crate) struct Request {
    pub class: usize,
    pub key: Key,
    /// The key's hash, by which it finds its slots and its heat.
    pub slot: u64,
    pub write: bool,
    pub arrived: Micros,
    pub deadline: Micros,
    /// Past this an answer earns nothing.
    pub useful_until: Micros,
    pub attempts: Vec<Attempt>,
    pub attempts_most: usize,
    /// The cache node that missed last.
    pub missed_at: Option<usize>,
    /// Chance of its own: which of a hot key's caches is its first.
    pub turn: u64,
    pub role: Role,
    /// When it is let go or given up, if held.
    pub due: Micros,
}

impl Request {
    pub fn new(
        arrival: Arrival,
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
            write: arrival.write,
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
    pub fn tried(&self, node: usize) -> bool {
        self.attempts.iter().any(|h| h.node == node)
    }
    /// The first attempt that may have run, or still may.
    pub fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|h| h.ending.is_none_or(|e| !e.never_ran()))
    }
}

/// The shortest latency target of all classes.
pub(crate) fn shortest_target(settings: &Settings) -> f64 {
    settings.classes.iter().map(|u| u.latency_target).min().unwrap_or(1_000_000) as f64
}

/// The requests not answered yet, and when those held are due.
#[derive(Default)]
pub(crate) struct Requests {
    by_id: FxHashMap<RequestId, Request>,
    held: BTreeSet<(Micros, RequestId)>,
}

impl Requests {
    pub fn hold(&mut self, id: &RequestId, role: Role, until: Micros) {
        if let Some(request) = self.by_id.get_mut(id) {
            (request.role, request.due) = (role, until);
            self.held.insert((until, id.clone()));
        }
    }
    /// Lets it go, if held, and tells as what it was.
    pub fn unhold(&mut self, id: &RequestId) -> Role {
        let Some(request) = self.by_id.get_mut(id) else { return Role::Plain };
        if request.role != Role::Plain {
            self.held.remove(&(request.due, id.clone()));
        }
        std::mem::replace(&mut request.role, Role::Plain)
    }
    pub fn first_due(&self) -> Micros {
        self.held.first().map_or(Micros::MAX, |held| held.0)
    }
    /// One that is due.
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

/// A key with a fetch out, or (through mode) served lately.
#[derive(Default)]
pub(crate) struct Join {
    pub leader: Option<RequestId>,
    pub node: usize,
    pub followers: Vec<RequestId>,
    pub served_at: Micros,
}

/// One cache node or the origin, until it is gone for long.
#[derive(Default)]
pub(crate) struct Node {
    /// As last listed; its size is 1 where sizes are not declared.
    pub entry: Entry,
    pub in_flight: u32,
    pub heard_at: Micros,
    pub strikes: u32,
    pub skip_until: Micros,
    pub full_until: Micros,
    /// Share of the reads that pass it over, as it was listed with more than it does well.
    pub leave: f64,
    /// Share of its answers that were errors or made no sense.
    pub faults: Mean,
    /// Its answer time, and the share of their latency target that its answers use up.
    pub time: Mean,
    pub target_used: Mean,
    /// The least answer time lately: the way there, and little else.
    pub least: f64,
    /// Sent to it lately, and over a longer time.
    pub sent: Pace,
    pub asked: Pace,
    pub id_hash: u64,
    /// Its start as it was told; the entry has the latest that it may have been.
    pub told_start: Micros,
    /// The places that it belongs to, a bit each.
    pub places: u64,
    /// What it takes, by the list and its kind's speed.
    pub size: f64,
}

impl Node {
    /// Another answer failed to come: left out for a spell, twice as long each time.
    pub fn strike(&mut self, now: Micros, first: Micros, doublings: u32) {
        self.skip_until = now + (first << self.strikes.min(doublings));
        self.strikes += 1;
    }
    /// Holds this many a core: over `well` its part falls by how much it is over, else it rises by and by.
    pub fn left(&mut self, held: f64, well: f64, most: f64, step: f64) {
        let (kept, over) = (1.0 - self.leave, held / well);
        self.leave = 1.0 - if over > 1.0 { kept / over.min(most) } else { (kept + step).min(1.0) };
    }
    /// An old least is forgotten by and by.
    pub fn learn_least(&mut self, wait: f64, drift: f64) {
        let wait = wait.max(1.0);
        self.least = if self.least > 0.0 { wait.min(self.least * drift) } else { wait };
    }
    /// Share of its capacity that it surely has.
    pub fn warmth(&self, now: Micros, start: f64, ramp: Micros) -> f64 {
        let age = self.age(now) as f64 / ramp.max(1) as f64;
        if self.entry.started_at <= 0 { 1.0 } else { (start + (1.0 - start) * age).min(1.0) }
    }
    /// Since its start, at least.
    pub fn age(&self, now: Micros) -> Micros {
        (now - self.entry.started_at).max(0)
    }
    pub fn open_to(&self, place: usize) -> bool {
        self.places >> place & 1 == 1
    }
    /// Listed, and not asked but perhaps for a try.
    pub fn avoided(&self, now: Micros) -> bool {
        match self.entry.standing {
            Standing::Ready => now < self.skip_until,
            Standing::Draining => true,
            Standing::Gone => false,
        }
    }
    pub fn in_group(&self, other: &Node, group: Group) -> bool {
        match group {
            Group::All => true,
            Group::Zone => self.entry.zone == other.entry.zone,
            Group::Cell => self.entry.cell == other.entry.cell,
        }
    }
}

/// The cache nodes that some classes may be sent to.
#[derive(PartialEq)]
struct Place {
    kinds: Option<Vec<u32>>,
    zones: Option<Vec<u32>>,
}

/// The places of all classes; those bound alike share one.
#[derive(Default)]
pub(crate) struct Places {
    all: Vec<Place>,
    /// The place of each class.
    of_case: Vec<usize>,
}

impl Places {
    pub fn new(cases: &[Class]) -> Self {
        let mut places = Places::default();
        for case in cases {
            let bound = Place { kinds: case.kinds.clone(), zones: case.zones.clone() };
            let known = places.all.iter().position(|place| *place == bound);
            // Danger: with more places than bits some would be open to all; a node's bits hold that many.
            let place = known.unwrap_or(places.all.len().min(PLACES_MOST));
            if place == places.all.len() && place < PLACES_MOST {
                places.all.push(bound);
            }
            places.of_case.push(place);
        }
        places
    }
    pub fn count(&self) -> usize {
        self.all.len()
    }
    pub fn of(&self, class: usize) -> usize {
        self.of_case[class]
    }
    /// The bits of those that a node of this entry belongs to.
    pub fn holding(&self, entry: &Entry) -> u64 {
        let within =
            |allowed: &Option<Vec<u32>>, one| allowed.as_ref().is_none_or(|allowed| allowed.contains(&one));
        let holds = |place: &Place| within(&place.kinds, entry.kind) && within(&place.zones, entry.zone);
        self.all.iter().enumerate().map(|(n, place)| u64::from(holds(place)) << n).sum()
    }
}

/// What is known of a kind of node.
#[derive(Default)]
pub(crate) struct Kind {
    /// The most that one was listed with.
    pub most: f64,
    /// Times of its answers, and how much faster it is than all, in steps.
    pub time: Average,
    pub level: f64,
}

impl Kind {
    /// Takes in an answer's time, where those of all take `all`: how many doublings it is faster than they.
    pub fn faster(&mut self, all: f64, wait: Micros, weight: f64) -> f64 {
        (all.max(1.0) / self.time.learn(wait, weight).max(1.0)).log2()
    }
}

/// The caches of one zone, as far as they fall silent together.
#[derive(Default)]
pub(crate) struct Zone {
    pub heard_at: Micros,
    /// Nodes that fell silent since.
    pub silent: u32,
    /// How long it is left alone from when it was tried last; 0 while it is trusted.
    pub spell: Micros,
    pub tried_at: Micros,
}

impl Zone {
    /// Fell silent again: tried when its spell is over, which then lasts twice as long.
    pub fn strike(&mut self, now: Micros, first: Micros, doublings: u32) {
        if now >= self.tried_at + self.spell {
            (self.tried_at, self.spell) = (now, (self.spell * 2).clamp(first, first << doublings));
        }
    }
}

/// All nodes by number, and their numbers by id.
#[derive(Default)]
pub(crate) struct Nodes {
    all: Vec<Node>,
    by_id: FxHashMap<NodeId, usize>,
}

impl Nodes {
    pub fn find(&self, id: &NodeId) -> Option<usize> {
        self.by_id.get(id).copied()
    }
    /// The one of this id; a new one takes the number of one gone and sent nothing for `long`. Danger: where
    /// nodes are replaced under new ids all day, records of those gone would pile up.
    pub fn of(&mut self, id: &NodeId, now: Micros, long: Micros) -> &mut Node {
        let forgotten = |node: &Node| {
            node.entry.standing == Standing::Gone && node.in_flight == 0 && now - node.sent.at > long
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
    /// Those not of this kind that fell silent and were not heard since.
    pub fn silent(&self, but: Option<u32>) -> Vec<NodeId> {
        let silent = self.all.iter().filter(|node| node.strikes > 0 && Some(node.entry.kind) != but);
        silent.map(|node| node.entry.node.clone()).collect()
    }
    /// The next try of one that is silent comes then.
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

/// A tenant's allowance here.
pub(crate) struct Tenant {
    pub allowance: f64,
    pub filled_at: Micros,
}

impl Tenant {
    /// Takes one from the allowance, which refills at `rate` a second and holds a second's worth or `least`.
    pub fn take(&mut self, now: Micros, rate: f64, least: f64) -> bool {
        self.allowance = (self.allowance + rate * (now - self.filled_at) as f64 / 1e6).min(rate.max(least));
        self.filled_at = now;
        let within = self.allowance >= 1.0;
        self.allowance -= f64::from(u8::from(within));
        within
    }
}

/// What is known of the caches as one.
#[derive(Default)]
pub(crate) struct Caches {
    pub ready: usize,
    /// Size of all ready ones, and what they were sent and took lately.
    pub size: f64,
    pub sent: Pace,
    pub taken: Pace,
    pub in_flight: u32,
    pub times: Times,
    /// Share of its own latency target that an answer takes, on the mean.
    pub target_used: Mean,
    /// Shares of reads and of surplus admitted.
    pub admit: Share,
    pub surplus: Share,
}

impl Caches {
    pub fn new(now: Micros, times: Times, surplus: f64) -> Self {
        let share = |share: f64| Share { now: share, at: now };
        Caches { times, admit: share(1.0), surplus: share(surplus), ..Self::default() }
    }
}

/// A share in steps, and when the last was taken.
#[derive(Default, Clone, Copy)]
pub(crate) struct Share {
    pub now: f64,
    pub at: Micros,
}

impl Share {
    /// Down by factors or up by addends, as many as the steps.
    pub fn step(&mut self, now: Micros, steps: f64, fall: f64, rise: f64, least: f64) {
        if steps > 0.0 {
            *self = Share { now: (self.now * fall.powf(steps) + rise * steps).clamp(least, 1.0), at: now };
        }
    }
}

/// What is known of the origin.
#[derive(Default)]
pub(crate) struct Origin {
    pub node: Option<usize>,
    pub times: Times,
    pub best: f64,
    /// What its answers may take on the mean, however quick it was.
    pub bearable: f64,
    pub heard_at: Micros,
    /// Its last served answer.
    pub answered_at: Micros,
    /// Fetches that may be out at once; under one they are spaced out.
    pub most: f64,
    pub cut_at: Micros,
    /// Refusals that its answers have paid for; without any it is probed.
    pub earned: f64,
    /// Probes refused in a row, of those that count.
    pub probes: u32,
    /// Share of the fetches and writes that it refused.
    pub refused: Mean,
    pub after: Micros,
    /// Requests that were to be fetched there, sent or not.
    pub wanted: u64,
    /// Between two fetches, where the fleet has agreed on a rate; 0 where it has not.
    pub apart: Micros,
    /// When the next of those is due.
    pub turn: Micros,
    /// Its table of connections was found full; until then what is idle there is closed.
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
    /// An served answer; the mean gives way to it the more the older the last is.
    pub fn answers(&mut self, now: Micros, wait: Micros, weight: f64, age: f64) {
        let gap = (now - std::mem::replace(&mut self.answered_at, now)) as f64;
        self.times.learn(wait, weight.max(1.0 - (-gap / age).exp()));
    }
    /// How many it may have within an answer time.
    pub fn pace(&self) -> f64 {
        let own =
            if self.earned > 0.0 { self.most } else { self.most.min(1.0 / f64::from(1u32 << self.probes)) };
        if self.apart > 0 { own.min(self.times.mean / self.apart as f64) } else { own }
    }
    /// An answer pays for some refusals.
    pub fn pays(&mut self, earns: f64, most: f64) {
        (self.earned, self.probes) = ((self.earned + earns).min(most), 0);
    }
    /// A refusal takes one; with none left the next is put off, for longer each time.
    pub fn refuses(&mut self, now: Micros, least: f64, doublings: u32, lot: impl FnOnce() -> f64) {
        self.earned = (self.earned - 1.0).max(least);
        if self.earned <= 0.0 {
            self.after = now + (self.times.mean * f64::from(1u32 << self.probes) * lot()) as Micros;
            self.probes = (self.probes + 1).min(doublings);
        }
    }
    /// Its answers take longer than at its best by this factor, and than is bearable.
    pub fn slow(&self, factor: f64) -> bool {
        self.times.mean > (factor * self.best).max(self.bearable)
    }
    /// How many of its answer times have passed since it was last heard; it is heard now.
    pub fn silence(&mut self, now: Micros) -> Micros {
        (now - std::mem::replace(&mut self.heard_at, now)) / self.times.expected().max(1)
    }
}

/// A mean whose weight for a new value grows with the age of the last.
#[derive(Default, Clone, Copy)]
pub(crate) struct Mean {
    pub mean: f64,
    at: Micros,
}

impl Mean {
    /// A silence of `age` leaves little of what was known.
    pub fn learn(&mut self, now: Micros, value: f64, weight: f64, age: f64) {
        let weight = weight.max(1.0 - (-((now - self.at) as f64) / age).exp());
        *self = Mean { mean: self.mean + weight * (value - self.mean), at: now };
    }
}

/// A mean over all first, then over as many as the weight lets count.
#[derive(Default, Clone, Copy)]
pub(crate) struct Average {
    mean: f64,
    pub count: u32,
}

impl Average {
    pub fn learn(&mut self, value: Micros, weight: f64) -> f64 {
        self.count = self.count.saturating_add(1);
        self.mean += weight.max(1.0 / f64::from(self.count)) * (value as f64 - self.mean);
        self.mean
    }
}

/// Times of answers: mean and mean deviation.
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

/// A count that decays over a given time.
#[derive(Default, Clone, Copy)]
pub(crate) struct Pace {
    count: f64,
    at: Micros,
}

impl Pace {
    pub fn now(&self, now: Micros, fade: Micros) -> f64 {
        self.count * (-((now - self.at) as f64) / fade.max(1) as f64).exp()
    }
    pub fn add(&mut self, now: Micros, fade: Micros) {
        *self = Pace { count: self.now(now, fade) + 1.0, at: now };
    }
}

/// The slot table: who holds each slot.
#[derive(Default)]
pub(crate) struct Slots {
    holders: Vec<u16>,
    caches: usize,
}

impl Slots {
    /// From caches as node, hash of its id and number of claims; a slot claimed twice goes by chance.
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
    /// A key's caches in order, `MOST` at most, found by looking at its slots in turn.
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

/// Our own requests lately, by key (keys may share a count) and in all.
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

/// Spreads a hash's bits (splitmix64's finaliser), alike on every machine.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The given one of a seed's numbers.
pub(crate) fn draw(seed: u64, number: u64) -> u64 {
    mix(seed ^ number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// FNV-1a, spread: alike on every machine.
pub(crate) fn hash(text: &str) -> u64 {
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)))
}

/// A number in (0, 1) from a hash.
pub(crate) fn unit(h: u64) -> f64 {
    ((h >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

#[cfg(test)]
mod tests;
