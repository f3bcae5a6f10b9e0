//! Every decision of flintwell.
//!
//! One call for each thing that happens, on the host's clock; it answers by calling the `Host`.

use crate::interface::*;
use crate::state::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

const SLOTS: usize = 8_192; // slots; room for the claims of some hundreds of nodes in 16 KB an instance
const CLAIMS: f64 = 32.0; // slots a node of middling size claims; keeps shares within a tenth or so
const PROBES: u64 = 4_096; // slots a key looks at for its caches at most; finds even a fleet's only one
const RANKS: usize = 4; // caches a key's reads may ask: home, spare and two more for when those are out
const RANKS_HOT: usize = 16; // caches that reads of a hot key take turns at, at most
const SPILL_FLOOR: u32 = 2; // own requests in flight at the home before the spare is thought of
const SPILL_FACTOR: f64 = 2.0; // times our mean per cache that the home must exceed as well
const HEAT_FADE: Micros = 20_000_000; // us; how long a request counts for its key's heat: some tens of ours
const THIN: f64 = 10.0; // own requests a cache within it; under it a cache is met every few seconds
const HEATS: usize = 512; // counts of heat by key; far more than a proxy that needs them asks for meanwhile
const SERVED_WINDOW: Micros = 5_000_000; // us; through mode: how long an answer vouches for a kept copy
const MAX_KEYS: usize = 8_192; // joins; bounds memory, far above the fetches one proxy can have out
const FIRST_SHARE: f64 = 0.125; // of the shortest latency target: assumed answer time before any was seen
const SMOOTHING: f64 = 0.1; // weight of a new time; some ten answers make an average
const NODE_SMOOTHING: f64 = 0.2; // the same for what is heard more seldom: one node, a second's arrivals
const ESTIMATE_AGE: f64 = 5_000_000.0; // us; from then on one new answer counts more than all before it
const ORIGIN_AGE: f64 = 2_000_000.0; // us; the same for the origin's answers, of which all misses depend
const PATIENCE: f64 = 6.0; // mean deviations above the mean before an answer counts as overdue
const PATIENCE_FLOOR: f64 = 0.3; // of the target; under this an early give-up costs more than it saves
const BEARABLE: f64 = 0.22; // of its latency target; a node that takes so much over its least is passed over
const FULL_USED: f64 = 0.7; // of the target; what a refusal counts for: the spare may still answer in time
const FULL_SHARE: f64 = 0.3; // of the mean answer time; a full node is passed over while a place frees up
const SKIP_FIRST: Micros = 300_000; // us; first spell without a suspected node: a few answer times
const SKIP_DOUBLINGS: u32 = 4; // at most 16 times the first spell, so a node's return is seen in seconds
const ZONE_SILENT: u32 = 3; // nodes in a row with none heard; by chance hardly, while a zone is there
const FAULTY: f64 = 0.3; // share of a node's attempts that come to nothing; from then on each is a strike
const FORGOTTEN: Micros = 60_000_000; // us; since a gone node's last request; far longer than any lasts
const FETCHES_FIRST: f64 = 4.0; // fetches out; start value, before the origin's answers teach better
const FETCHES_LEAST: f64 = 0.1; // attempts out; under one they are spaced out; many share a weak origin
const FETCHES_CUT: f64 = 0.8; // factor on a limit at a sign of strain, at most once an answer time
const WRITE_ROOM: f64 = 2.0; // times the limit on fetches up to which writes pass at once
const REFUSES: f64 = 0.3; // share the origin refused lately; above it, it is sent half again what it can
const EARNS: f64 = 0.7; // refusals that an answer of the origin pays for; beyond it only probes go there
const EARNED_MOST: f64 = 8.0; // refusals; some by chance cost nothing
const PROBE_DOUBLINGS: u32 = 3; // of its answer time, between probes; its return is seen within a second
const GRANT_AHEAD: Micros = 200_000; // us; a grant's fetches may come so much before their turn, as bursts do
const PAUSE: f64 = 0.5; // of the origin's mean answer time; before a fetch refused for a moment is made again
const FETCH_SLOW: f64 = 3.0; // times the origin's best that its answers may take before it counts as strained
const FETCH_BEARABLE: f64 = 0.5; // of the shortest target; quicker answers are worth having, however slow
const CROWDED: f64 = 0.4; // of its target that a cache answer takes on the mean; above it they are crowded
const NOT_TAKEN: f64 = 2.0; // of its latency target; what a request counts for that no cache took
const CROWDED_SURPLUS: f64 = 0.13; // the same for surplus, which makes way well before the rest suffers
const CONTROL: Micros = 100_000; // us; between steps of the share admitted: an answer time or so
const STEPS_MOST: i64 = 20; // steps made up for at one answer after a silence
const ADMIT_FALL: f64 = 0.9; // factor on the share admitted while crowded; halves it in under a second
const ADMIT_RISE: f64 = 0.02; // added to it while not; back in full within seconds
const ADMIT_LEAST: f64 = 0.05; // some must go on, or nothing is learned any more
const BEST_DRIFT: f64 = 1.01; // growth of the best known time an answer, so that an old best is forgotten
const ORIGIN_DRIFT: f64 = 1.001; // the same for the origin, whose strain may last for hundreds of answers
const TURN: Micros = 250_000; // us; a proxy's turn at a fresh node, long enough for keys to settle
const TURN_GROUPS: u32 = 4; // of hundreds of proxies, each with its turn; a quarter is about a cold share
const TURNS_SHARE: f64 = 0.25; // of the ramp time: how long proxies take turns at a fresh node
const HELD: f64 = 2.0; // requests a core that a node holds while it still answers well within a target
const LEAVE_MOST: f64 = 2.0; // the most by which one list divides the share of reads that a node keeps
const LEAVE_FALL: f64 = 0.05; // added to it by a list with less; back in full within some lists
const SPEED_SMOOTHING: f64 = 0.005; // weight of a new answer time of a kind; hundreds make an average
const SPEED_KNOWN: u32 = 100; // answers of a kind before it is told from others
const SPEED_STEPS: f64 = 4.0; // steps for a factor of two in speed, which is the most that counts
const SPEED_MARGIN: f64 = 0.75; // steps off before a kind's changes
const COPY_PRICE: f64 = 0.012; // of a request's worth; what one more copy of all keys costs in misses
const COLD_ROOM: f64 = 1.5; // times the share that caches take, where cold ones get first choices only
const COLD_MARGIN: f64 = 1.2; // times its part that a cold node may get of ours; it takes twice that
const LIST_SPREAD: Micros = 30_000; // us a proxy; over which the first calls for the list come
const LIST_FIRST: f64 = 0.8; // of the time to ask within, over which they come at most
const LIST_FIRST_MOST: Micros = 5_800_000; // us; the same: a change counts as told 6 s after discovery had it
const LIST_RETRY: Micros = 700_000; // us; first wait after a failed call for the list
const LIST_RETRY_MOST: u32 = 2; // doublings of that wait; a change counts as told 6 s after it could be
const STAY_AWAY: Micros = 500_000; // us; advice with a refusal: about a queue's drain time
const ALLOWANCE_LEAST: f64 = 5.0; // requests an allowance holds at least: a part may be under one a second
const SHARE_ROOM: f64 = 1.3; // times our part of a share that passes as within it, as parts are guesses
const WAKE: u64 = 0; // the one timer label

/// One instance of the decision module.
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
    /// Each place's own, so that homes in it are alike everywhere.
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
    /// A fresh instance; the kept list follows by `list`.
    pub fn start(now: Micros, settings: Settings, seed: u64, host: H) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Danger: a fleet that starts as one asks as one; each call late in the queue fails, and comes again.
        let most = ((settings.ask_within as f64 * LIST_FIRST) as Micros).min(LIST_FIRST_MOST);
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

    /// Other settings from now on; names that they share keep their places. What was learned stays, and the
    /// list is told next. Danger: a fleet that forgets its origin's limit at a change strains it as one.
    pub fn change(&mut self, now: Micros, mut settings: Settings) {
        // Those in hand end under what they began with; their classes stand behind the new ones meanwhile.
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

    /// A client's request arrives.
    pub fn request_arrives(&mut self, now: Micros, arrival: Arrival) {
        let Some(case) = self.settings.classes.get(arrival.class) else {
            return self.host.fail(&arrival.id);
        };
        let target =
            now + case.latency_target + (case.target_stretch * arrival.work.unwrap_or(0) as f64) as Micros;
        let useful = if case.late_share > 0.0 { arrival.deadline } else { target.min(arrival.deadline) };
        let (id, tenant, write) = (arrival.id.clone(), arrival.tenant, arrival.write);
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
            // Danger: crowded nodes answer late; by the mean a few hot ones would shut idle ones, too.
            if self.may_fetch(now) { self.fetch(now, &id) } else { self.give_up(now, &id) }
        } else if self.settings.aside {
            self.ask_cache(now, &id);
        } else {
            self.read_through(now, &id, key);
        }
    }

    /// An attempt ended.
    pub fn outcome(&mut self, now: Micros, id: &RequestId, node: &NodeId, outcome: Outcome) {
        let Some(node) = self.nodes.find(node) else { return };
        let target = self.requests.get(id).map(|a| self.settings.classes[a.class].latency_target as f64);
        self.observe(now, node, &outcome, target);
        // Danger: what hundreds keep open fills a node's table, or an origin's. What hardly pays is cut.
        let worth = self.settings.connection_price * f64::from(self.settings.fleet_size);
        let asked = self.nodes[node].asked.now(now, HEAT_FADE) - 1.0;
        let full = self.of_origin(node) && now < self.origin.full_until;
        if full || worth > 1.0 && !self.of_origin(node) && asked < worth * self.mean_heat(now) {
            self.host.close_idle(&self.nodes[node].entry.node);
        }
        // Danger: a list that tells no speeds has slow kinds drown in their part while fast ones idle. Steps
        // are coarse, so that all proxies come to one table, and homes hardly move.
        if outcome.ending == Ending::Served && !self.of_origin(node) && self.settings.sizes != Sizes::Live {
            let all = self.speeds.learn(outcome.wait, SPEED_SMOOTHING);
            let kind = self.kinds.entry(self.nodes[node].entry.kind).or_default();
            let steps = kind.faster(all, outcome.wait, SPEED_SMOOTHING) * SPEED_STEPS;
            if kind.time.count >= SPEED_KNOWN && (steps - kind.level).abs() > SPEED_MARGIN {
                kind.level = steps.round().clamp(-SPEED_STEPS, SPEED_STEPS);
                self.build_slots();
            }
        }
        let attempt = self.requests.get_mut(id).and_then(|a| a.attempts.get_mut(outcome.number));
        // A late answer of a request that is over only teaches, and makes room at the origin.
        if attempt.is_some_and(|h| h.ending.replace(outcome.ending).is_none()) {
            match outcome.ending {
                ending if outcome.settled => self.finish(now, id, ending == Ending::Served, node),
                Ending::Miss => self.missed(now, id, node),
                // Danger: an origin at its limit would be asked again by all; a spoilt answer tells of none.
                Ending::Spoilt | Ending::Reset if Some(node) == self.origin.node => self.fetch(now, id),
                Ending::Full if Some(node) == self.origin.node => self.fetch_again(now, id, outcome.first),
                _ if Some(node) == self.origin.node => self.give_up(now, id),
                _ => self.ask_cache(now, id),
            }
        }
        if Some(node) == self.origin.node {
            self.fetch_queued(now);
        }
        self.arm();
    }

    /// The client has left, its answer has begun to stream, or it is over otherwise; nothing more is owed.
    pub fn request_gone(&mut self, now: Micros, id: &RequestId) {
        let next = self.next_lead(id);
        self.finish(now, id, false, 0);
        next.inspect(|next| self.alone(now, next));
        self.arm();
    }

    /// The list, or a part of it.
    pub fn list(&mut self, now: Micros, kind: ListKind, entries: Vec<Entry>) {
        if kind == ListKind::Failed {
            // Danger: all instances calling at once, and again at once, keep the list service overbooked.
            let wait = (LIST_RETRY << self.list_failures.min(LIST_RETRY_MOST)) as f64;
            let at = now + (wait * self.rng.random_range(0.5..1.5)) as Micros;
            self.list_failures += 1;
            self.list_due = if self.settings.list_on_request { at } else { Micros::MAX };
            return self.arm();
        }
        if kind != ListKind::Kept {
            (self.list_failures, self.list_due) = (0, Micros::MAX);
        }
        if kind != ListKind::Changes {
            self.nodes.iter_mut().for_each(|node| node.entry.standing = Standing::Gone);
        }
        let same = entries.into_iter().map(|entry| self.enter(now, entry)).fold(true, |a, b| a & b);
        let ready = |&n: &usize| self.of_origin(n) && self.nodes[n].entry.standing == Standing::Ready;
        self.origin.node = (0..self.nodes.len()).find(ready);
        (!same || kind != ListKind::Changes).then(|| self.build_slots());
        self.upkeep(now);
    }

    pub fn timer(&mut self, now: Micros, label: u64) {
        if label == WAKE && now >= self.next_wake {
            self.next_wake = Micros::MAX;
            self.upkeep(now);
        }
    }

    /// Fetches a second that the fleet grants us at the origin from now on; none: no limit. Answers how many
    /// requests were to be fetched there so far, whether or not it had room.
    pub fn granted(&mut self, now: Micros, rate: Option<f64>) -> u64 {
        self.origin.apart = rate.map_or(0, |rate| (1e6 / rate.max(1e-3)) as Micros);
        self.origin.turn = self.origin.turn.min(now + GRANT_AHEAD + self.origin.apart);
        self.fetch_queued(now);
        self.arm();
        self.origin.wanted
    }

    /// Caches that fell silent to us and were not heard since.
    pub fn silent(&self) -> Vec<NodeId> {
        self.nodes.silent(self.settings.origin_kind)
    }

    /// Others found it silent and try it until then, or, if that is past, had an answer.
    pub fn tried_by_others(&mut self, node: &NodeId, until: Micros) {
        self.nodes.put_off(node, until);
    }

    /// How many listed caches it avoids now, by the list's word or by its own; nothing changes by asking.
    pub fn avoided(&self, now: Micros) -> usize {
        (0..self.nodes.len()).filter(|&n| !self.of_origin(n) && self.nodes[n].avoided(now)).count()
    }

    pub fn is_origin(&self, node: &NodeId) -> bool {
        self.nodes.find(node).is_some_and(|n| self.of_origin(n))
    }

    /// Takes in an entry, and tells whether the slots stay as they are.
    fn enter(&mut self, now: Micros, mut entry: Entry) -> bool {
        let told = if entry.size > 0.0 && entry.size.is_finite() { entry.size } else { 0.0 };
        // Danger: a weight that moves with load, taken for a size, moves all keys at each list, and everyone
        // from one node together. Its most is the size, and of many nodes of a kind some are always idle.
        let kind = self.kinds.entry(entry.kind).or_default();
        kind.most = kind.most.max(told);
        entry.size = match self.settings.sizes {
            Sizes::Declared if told > 0.0 => told,
            Sizes::Live if kind.most > 0.0 => kind.most,
            _ => 1.0,
        };
        let node = self.nodes.of(&entry.node, now, FORGOTTEN);
        // Danger: one told as started long ago may be cold. It counts as started as late as it may have been,
        // but not after it was first told.
        let told_start = std::mem::replace(&mut node.told_start, entry.started_at);
        if entry.started_at > 0 && self.settings.start_drift > 0 {
            let latest = (entry.started_at + self.settings.start_drift).min(now);
            entry.started_at = if told_start == entry.started_at { node.entry.started_at } else { latest };
        }
        node.places = self.places.holding(&entry);
        let old = &node.entry;
        let same = (old.standing, old.size, old.kind, old.zone)
            == (entry.standing, entry.size, entry.kind, entry.zone);
        if entry.started_at != node.entry.started_at {
            // Danger: a node that came back looks like the old one by its id, but is empty and cold.
            (node.strikes, node.skip_until, node.sent) = (0, 0, Pace::default());
        }
        // Danger: of hundreds each meets a node twice a minute and learns of its crowd when that is over. The
        // list tells all alike; so they leave by shares and by lot, or they would come and go as one.
        if self.settings.sizes == Sizes::Live && told > 0.0 {
            node.left(entry.size / told - 1.0, HELD, LEAVE_MOST, LEAVE_FALL);
        }
        node.entry = entry;
        same
    }

    /// Built alike everywhere from the sorted ready caches; each claims slots by its id, so that only keys
    /// of one that comes or goes move. Danger: to rank all by all at each change leaves hundreds no time.
    fn build_slots(&mut self) {
        let mut ready: Vec<usize> = (0..self.nodes.len()).filter(|&n| self.is_cache(n)).collect();
        ready.sort_by(|&a, &b| self.nodes[a].entry.node.cmp(&self.nodes[b].entry.node));
        let live = self.settings.sizes == Sizes::Live;
        for node in self.nodes.iter_mut() {
            let kind = self.kinds.entry(node.entry.kind).or_default();
            node.entry.size = if live && kind.most > 0.0 { kind.most } else { node.entry.size };
            node.size = node.entry.size * (kind.level / SPEED_STEPS).exp2();
        }
        self.caches.ready = ready.len();
        self.caches.size = ready.iter().map(|&n| self.nodes[n].size).sum();
        // Sizes have no unit; a power of two near the mean of those listed hardly ever moves.
        let listed: f64 = ready.iter().map(|&n| self.nodes[n].entry.size).sum();
        let unit = (listed / ready.len().max(1) as f64).max(1e-9).log2().round().exp2();
        let claims = |n: usize| (CLAIMS * (self.nodes[n].size / unit).min(8.0)).ceil() as u64;
        let table = |place| {
            let open = ready.iter().filter(|&&n| self.nodes[n].open_to(place));
            Slots::new(SLOTS, open.map(|&n| (n, self.nodes[n].id_hash, claims(n))))
        };
        self.slots = (0..self.places.count()).map(table).collect();
    }

    /// Whether our part of each cache's traffic is small: then refusals come by chance, our own say little.
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
        self.nodes[n].entry.standing == Standing::Ready && !self.of_origin(n)
    }

    /// Whether a cache node may get a request of this slot now.
    fn takes(&self, now: Micros, n: usize, lot: Option<u64>) -> bool {
        let node = &self.nodes[n];
        // Danger: a node that comes back wrongly trusted swallows a burst; one request at a time is risked.
        let zone = self.zones.get(&node.entry.zone).is_none_or(|z| now >= z.tried_at + z.spell);
        let trusted = zone && now >= node.skip_until && (node.strikes == 0 || node.in_flight == 0);
        let warmth = node.warmth(now, self.settings.start_capacity, self.settings.ramp_time);
        let cold_takes = || lot.is_some_and(|lot| self.cold_takes(now, n, lot, warmth));
        self.is_cache(n) && trusted && (warmth >= 1.0 || cold_takes())
    }

    /// Danger: a cold node gets all its keys, or the origin all its misses, at once. It gets slots
    /// as it warms, in the proxies' turns while fresh, and never more than a like warm node could do.
    fn cold_takes(&self, now: Micros, n: usize, lot: u64, warmth: f64) -> bool {
        let node = &self.nodes[n];
        let turns = (self.settings.ramp_time as f64 * TURNS_SHARE) as Micros;
        let fresh = node.age(now) < turns;
        // Turns by number: each has its own where proxies are few, else as many as the cold share lets in do.
        let most = if self.thin(now) { TURN_GROUPS } else { self.settings.fleet_size };
        let groups = ((turns / TURN) as u32).min(most).max(1);
        let turn = (now / TURN) as u32 % groups == self.settings.index % groups;
        // In an overload warm nodes are sent too much, and misses cost little: what they took counts.
        let lately = |pace: &Pace| pace.now(now, self.settings.fall);
        let (taken, sent) = (lately(&self.caches.taken), lately(&self.caches.sent));
        // Danger: by what warm ones could not take, as many cold ones of a large fleet stood idle. There they
        // get first choices only, and nothing that others refused: in step with arrivals, not refusals.
        let part = warmth * (if self.thin(now) { COLD_ROOM } else { 1.0 } * taken / sent.max(1.0)).min(1.0);
        if unit(mix(node.id_hash ^ lot)) > part || fresh && !turn {
            return false;
        }
        let fair = taken / self.caches.size.max(1.0);
        // Danger: one let through by each of thirty is thirty; so a part of one is had in as many turns,
        // which all draw alike. Of hundreds each meets a cold node by chance alone, and lots hold that down.
        let most = COLD_MARGIN * fair * node.size * warmth;
        let turn = unit(draw(
            node.id_hash ^ u64::from(self.settings.index),
            (now / self.settings.fall.max(1)) as u64,
        ));
        lately(&node.sent) < if self.thin(now) { most + 1.0 } else { (most + turn).floor() }
    }

    fn target(&self, now: Micros, id: &RequestId) -> Option<&Node> {
        self.choose(now, self.requests.get(id)?).ok().map(|n| &self.nodes[n])
    }

    /// The home, or the spare when the home has more than its part of our own requests in flight. An
    /// error of false: the origin may stand in for them, as none takes the key at all or the origin has room.
    fn choose(&self, now: Micros, request: &Request) -> Result<usize, bool> {
        // Danger: the spare may lack the key; with no room at the origin its miss would become a refusal.
        let room = self.origin.node.is_none_or(|o| self.origin_has_room(now, o, false));
        // Danger: hundreds of proxies each have none of their own in flight at a hot key's home, which all
        // crowd together. What we asked lately stands for it: such a key's reads take turns at more ranks.
        let thin = self.thin(now);
        let own = self.heat.of(request.slot).now(now, HEAT_FADE);
        let mean = self.mean_heat(now);
        let hot = thin && own >= f64::from(SPILL_FLOOR) && own > SPILL_FACTOR * mean;
        let reach = if hot { (own / mean).ceil().min(RANKS_HOT as f64) as usize } else { 1 };
        // Their refusals come by chance, from nodes that are free a moment later, unless all are crowded.
        let open = room && thin && self.caches.admit.now >= 1.0;
        let deep = if open { RANKS } else { 1 + usize::from(room) };
        // Danger: a cold node is pushed over by a hot key, which alone brings as much as its others, or by
        // what others refused. It gets a part of the keys by slots; where each of many asks for a key too
        // seldom to know it for hot, a part of the reads by a lot of their own.
        let lot = if thin { request.turn } else { request.slot };
        let takes = |&(rank, n): &(usize, usize)| self.takes(now, n, (rank == 0 && !hot).then_some(lot));
        let slots = self.slots.get(self.places.of(request.class)).ok_or(false)?;
        let mut ranks: Vec<usize> = slots.ranks::<RANKS_HOT>(request.slot, PROBES).collect();
        // Our home is the key's first cache in our zone, where crossings cost more than a copy in each zone.
        let near = |&n: &usize| self.nodes[n].entry.zone == self.settings.zone;
        if self.settings.cross_price > COPY_PRICE * f64::from(self.settings.zones) {
            let (home, spare) = (ranks.iter().copied().find(near), ranks.iter().copied().find(|n| !near(n)));
            ranks.sort_by_key(|&n| (Some(n) != home, Some(n) != spare));
        }
        let ranks = ranks.into_iter().enumerate().filter(takes);
        let mut there: Vec<usize> = ranks.map(|(_, n)| n).take(reach.max(deep)).collect();
        let turns = reach.min(there.len());
        let first = &mut there[..turns];
        first.rotate_left(request.turn as usize % first.len().max(1));
        // Where several hold the key, one nearby answers sooner and crosses no zones.
        first.sort_by_key(|&n| self.nodes[n].entry.zone != self.settings.zone);
        let bearable = self.settings.classes[request.class].latency_target as f64 * BEARABLE;
        let mut open = there.iter().copied().filter(|&n| {
            let node = &self.nodes[n];
            // Danger: by the way to another zone alone an idle node seems crowded. Hundreds know no least.
            let slow = node.time.mean - if thin { 0.0 } else { node.least };
            // Danger: a crowded node is sent more than it answers in time; one tries with none of ours out,
            // of hundreds only as many as its time allows.
            let tries = || node.in_flight == 0 && unit(draw(request.turn, n as u64)) < bearable / slow;
            let left = unit(draw(request.turn, !(n as u64))) < node.leave;
            !request.tried(n) && now >= node.full_until && !left && (slow < bearable || tries())
        });
        // Danger: what finds two busy nodes is lost to a moment's crowd while an idle origin could answer it.
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
        let fetches = self.settings.aside && !request.write;
        let last = request.attempts.len() + 1 == request.attempts_most;
        match self.choose(now, request) {
            // Danger: a miss that draws the last attempt has none left for the fetch.
            Ok(_) if last && fetches && self.may_fetch(now) => self.fetch(now, id),
            Ok(node) => self.attempt(now, id, node),
            Err(false) if fetches => self.fetch(now, id),
            Err(_) => {
                (!request.attempts.is_empty()).then(|| self.feel(now, NOT_TAKEN));
                self.give_up(now, id);
            }
        }
    }

    /// Writes pass at once; they end the key's join and served window. Those held join the fetch made after.
    fn write_passes(&mut self, now: Micros, id: &RequestId, key: &Key) {
        let join = self.joins.remove(key).unwrap_or_default();
        self.alone(now, id);
        for follower in join.followers {
            self.requests.unhold(&follower);
            match self.settings.aside {
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

    /// Aside mode: the first miss leads, later ones follow.
    fn missed(&mut self, now: Micros, id: &RequestId, node: usize) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.missed_at = Some(node);
        let key = request.key.clone();
        if request.write || !self.settings.aside {
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

    /// Holds the request until the leader is done, or goes alone with half of its useful time left.
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

    /// Danger: those held for one whose client has left would each fetch the key; the first of them leads on.
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
        if self.settings.aside { self.fetch(now, id) } else { self.ask_cache(now, id) }
    }

    /// Whether the origin may get one more: writes have more room than fetches.
    fn origin_has_room(&self, now: Micros, origin: usize, write: bool) -> bool {
        let most = self.origin.most * if write { WRITE_ROOM } else { 1.0 };
        let free = most >= 1.0 && self.origin.earned > 0.0;
        let open = (free || now >= self.origin.after) && self.origin.turn <= now + GRANT_AHEAD;
        f64::from(self.nodes[origin].in_flight) < most.max(1.0) && open
    }

    fn may_fetch(&self, now: Micros) -> bool {
        self.settings.aside && self.origin.node.is_some_and(|o| self.origin_has_room(now, o, false))
    }

    /// To the origin, now or when one of those out has ended.
    fn fetch(&mut self, now: Micros, id: &RequestId) {
        let Some(origin) = self.origin.node else { return self.give_up(now, id) };
        self.origin.wanted += 1;
        let Some(request) = self.requests.get(id) else { return };
        let (until, expected, write) = (request.useful_until, self.origin.times.expected(), request.write);
        if self.origin_has_room(now, origin, write) {
            return self.attempt(now, id, origin);
        }
        // Danger: an origin that goes on with work nobody waits for stays full of it, repeated writes too.
        let ahead = if write { 1.0 } else { (self.origin.queue.len() + 1) as f64 } / self.origin.pace();
        if now + expected + (expected as f64 * ahead) as Micros > until {
            return self.give_up(now, id);
        }
        let place = if write { 0 } else { self.origin.queue.len() };
        self.origin.queue.insert(place, id.clone());
        self.hold(id, Role::Queued, until - expected);
    }

    /// Danger: an origin full for a moment cost each request that it refused, though it had room soon after.
    /// One that refuses many is left alone. The pause differs, so that those refused together come apart.
    fn fetch_again(&mut self, now: Micros, id: &RequestId, first: bool) {
        let out = self.origin.node.map_or(0, |o| self.nodes[o].in_flight);
        self.origin.full_until = if first { now + ESTIMATE_AGE as Micros } else { self.origin.full_until };
        if first && out > 0 {
            // Danger: a table full of a hundred proxies' connections takes no more of them, however idle the
            // origin is. What we hold there is our limit, until answers let us try for one more.
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

    // The rules, checked at one place just before an attempt or a refusal.
    fn may_attempt(&self, now: Micros, request: &Request, n: usize) -> bool {
        let case = &self.settings.classes[request.class];
        let node = &self.nodes[n];
        let over = now >= request.deadline || request.attempts.len() >= request.attempts_most;
        let out = request.attempts.iter().any(|h| h.ending.is_none());
        // Danger: a follower is handed to the cache that its leader missed at, which may be closed to it.
        let open = self.of_origin(n) || node.open_to(self.places.of(request.class));
        if over || out || !open || node.entry.standing != Standing::Ready {
            return false;
        }
        let Some(first) = request.may_have_run() else { return true };
        match case.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            // Danger: a repeat that waits for its connection may begin when its window is over.
            Effect::Keyed if now + self.settings.dial_within >= first.sent_at + case.memory => false,
            Effect::Keyed => node.in_group(&self.nodes[first.node], case.group),
        }
    }

    fn may_refuse(&self, now: Micros, request: &Request) -> bool {
        let case = &self.settings.classes[request.class];
        match request.may_have_run() {
            Some(first) if case.effect == Effect::Keyed => {
                case.group == Group::All && first.ending.is_some() && now < first.sent_at + case.memory
            }
            Some(_) => case.effect == Effect::Safe,
            None => true,
        }
    }

    fn attempt(&mut self, now: Micros, id: &RequestId, n: usize) {
        let Some(request) = self.requests.get(id) else { return };
        let at_origin = Some(n) == self.origin.node;
        let times = if at_origin { &self.origin.times } else { &self.caches.times };
        let left = request.useful_until - now;
        // A further attempt only if the time left exceeds what it is expected to take.
        let least = if request.attempts.is_empty() { 0 } else { times.expected() };
        if left <= least || !self.may_attempt(now, request, n) {
            return self.give_up(now, id);
        }
        let floor = self.settings.classes[request.class].latency_target as f64 * PATIENCE_FLOOR;
        let patience = (times.mean + PATIENCE * times.deviation).max(floor) as Micros;
        let allow_for = if at_origin || request.write { left } else { patience.min(left) };
        let node = &mut self.nodes[n];
        node.sent.add(now, self.settings.fall);
        node.asked.add(now, HEAT_FADE);
        node.in_flight += 1;
        if at_origin {
            self.origin.turn = self.origin.turn.max(now) + self.origin.apart;
            self.origin.after = now + (self.origin.times.mean / self.origin.most.min(1.0)) as Micros;
        } else {
            // One request tries a zone that fell silent; the next waits for what became of it.
            if let Some(zone) = self.zones.get_mut(&node.entry.zone).filter(|zone| zone.spell > 0) {
                zone.tried_at = now;
            }
            self.caches.in_flight += 1;
            self.caches.sent.add(now, self.settings.fall);
        }
        self.host.attempt(id, &node.entry.node, allow_for);
        if let Some(request) = self.requests.get_mut(id) {
            request.attempts.push(Attempt { node: n, sent_at: now, ending: None });
        }
    }

    fn give_up(&mut self, now: Micros, id: &RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        match self.may_refuse(now, request) {
            true => self.host.refuse(id, STAY_AWAY.min(self.settings.max_stay_away)),
            false => self.host.fail(id),
        }
        self.finish(now, id, false, 0);
    }

    /// The request is over; where it led, its followers go to its cache, or each alone.
    fn finish(&mut self, now: Micros, id: &RequestId, served: bool, node: usize) {
        self.requests.unhold(id);
        let Some(request) = self.requests.remove(id) else { return };
        let node = request.missed_at.unwrap_or(node);
        if self.joins.get(&request.key).and_then(|j| j.leader.as_ref()) != Some(id) {
            return;
        }
        let followers = self.joins.remove(&request.key).map_or(Vec::new(), |j| j.followers);
        if served && !self.settings.aside {
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
            self.host.wake_at(WAKE, at);
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
            self.host.watch_list();
            // Should no answer come, ask anew before what is listed counts as told.
            self.list_due = now + self.settings.ask_within / 2;
        }
        self.arm();
    }

    fn observe(&mut self, now: Micros, n: usize, outcome: &Outcome, target: Option<f64>) {
        let at_origin = self.of_origin(n);
        let (wait, sent_at) = (outcome.wait, now - outcome.wait);
        let (mean, thin) = (self.caches.times.mean, self.thin(now));
        let node = &mut self.nodes[n];
        node.in_flight = node.in_flight.saturating_sub(1);
        let silent = matches!(outcome.ending, Ending::TimedOut | Ending::Reset | Ending::ConnectFailed);
        let fault =
            silent || matches!((outcome.ending, at_origin), (Ending::Error, _) | (Ending::Spoilt, false));
        if fault || matches!(outcome.ending, Ending::Served | Ending::Miss) {
            node.faults.learn(now, f64::from(u8::from(fault)), SMOOTHING, ESTIMATE_AGE);
        }
        // Danger: a node that takes requests and answers none, or most at once with an error, and looks idle.
        // But any connection may fall silent, and any answer be spoilt, at a node that is well.
        let struck = silent && node.heard_at <= sent_at || fault && node.faults.mean > FAULTY;
        // Danger: a zone that is lost was found out node by node, and again at the end of each one's spell.
        let zone = self.zones.entry(node.entry.zone).or_default();
        if silent && !at_origin && zone.heard_at <= sent_at {
            zone.silent += u32::from(node.strikes == 0);
            (zone.silent >= ZONE_SILENT).then(|| zone.strike(now, SKIP_FIRST, SKIP_DOUBLINGS));
        } else if !silent && !matches!(outcome.ending, Ending::Cancelled | Ending::NotSent) {
            *zone = Zone { heard_at: now, ..Zone::default() };
        }
        match outcome.ending {
            _ if struck => node.strike(now, SKIP_FIRST, SKIP_DOUBLINGS),
            Ending::Served | Ending::Miss | Ending::Full | Ending::Error | Ending::Spoilt => {
                (node.heard_at, node.strikes, node.skip_until) = (now, 0, 0);
                match outcome.ending {
                    Ending::Full => node.full_until = now + (mean * FULL_SHARE) as Micros,
                    Ending::Served if !at_origin => self.caches.taken.add(now, self.settings.fall),
                    Ending::Miss if thin => self.caches.taken.add(now, self.settings.fall),
                    _ => {}
                }
            }
            _ => {}
        }
        if at_origin {
            return self.learn_origin(now, outcome, struck);
        }
        self.caches.in_flight = self.caches.in_flight.saturating_sub(1);
        let used = match outcome.ending {
            Ending::Cancelled | Ending::NotSent => return,
            Ending::Full | Ending::ConnectFailed => FULL_USED,
            _ => target.map_or(self.caches.target_used.mean, |target| wait as f64 / target.max(1.0)),
        };
        // Danger: a proxy that hears of a node twice a minute would judge it by what it was minutes ago; but
        // a refusal tells of a moment only.
        let full = matches!(outcome.ending, Ending::Full | Ending::ConnectFailed);
        let age = if full { f64::INFINITY } else { ESTIMATE_AGE };
        node.target_used.learn(now, used, NODE_SMOOTHING, age);
        // Danger: time-outs at nodes that are gone drew out the patience with all, and so the time-outs.
        if matches!(outcome.ending, Ending::Served | Ending::Miss | Ending::TimedOut) && !struck {
            node.time.learn(now, wait as f64, NODE_SMOOTHING, age);
            node.learn_least(wait as f64, BEST_DRIFT);
            self.caches.times.learn(wait, SMOOTHING);
        }
        if !full || !thin {
            self.feel(now, used);
        }
    }

    /// What a request made of its target at the caches: one refused is well if another cache answers it.
    fn feel(&mut self, now: Micros, used: f64) {
        // Danger: one that admits little hears little; by old answers alone it would stay shut for long.
        self.caches.target_used.learn(now, used, SMOOTHING, ESTIMATE_AGE);
        let all = &mut self.caches;
        for (share, most) in [(&mut all.admit, CROWDED), (&mut all.surplus, CROWDED_SURPLUS)] {
            let steps = ((now - share.at) / CONTROL).min(STEPS_MOST) as f64;
            let (fall, rise) =
                if all.target_used.mean > most { (ADMIT_FALL, 0.0) } else { (1.0, ADMIT_RISE) };
            share.step(now, steps, fall, rise, ADMIT_LEAST);
        }
    }

    fn learn_origin(&mut self, now: Micros, outcome: &Outcome, struck: bool) {
        if outcome.ending == Ending::Served {
            // Danger: one that fetches every few seconds would find it slow long after it has recovered.
            self.origin.answers(now, outcome.wait, SMOOTHING, ORIGIN_AGE);
            self.origin.best = (self.origin.best * ORIGIN_DRIFT).min(self.origin.times.mean);
        }
        // Danger: a refusal takes no time, so a limit on what is out at once holds back none that is refused:
        // twelve with room for six asked thirteen times for each that was taken, and more of them ask more.
        match outcome.ending {
            Ending::Served => self.origin.pays(EARNS, EARNED_MOST),
            Ending::Full => {
                self.origin.refuses(now, -EARNS, PROBE_DOUBLINGS, || self.rng.random_range(0.5..1.5))
            }
            _ => {}
        }
        // Danger: one with no connection there that finds the table full would take it for a full origin.
        let refused = outcome.ending == Ending::Full && !outcome.first;
        if refused || outcome.ending == Ending::Served {
            self.origin.refused.learn(now, f64::from(u8::from(refused)), NODE_SMOOTHING, f64::INFINITY);
        }
        let strained = match outcome.ending {
            Ending::Served => self.origin.slow(FETCH_SLOW),
            Ending::Miss | Ending::Cancelled | Ending::NotSent | Ending::Spoilt | Ending::Unknown => return,
            // Danger: single refusals come by chance, and each cut one of a hundred down to a fetch a second.
            // Refusals are paid for; who also cut by them would take long to come back.
            _ => struck,
        };
        // Danger: one of hundreds, with a fetch a second, would take half a minute to cut its limit.
        let cuts = self.origin.silence(now).clamp(1, STEPS_MOST) as i32;
        let used = self.origin.node.map_or(0, |o| self.nodes[o].in_flight + 1);
        if outcome.ending == Ending::Served && !strained && f64::from(used) >= self.origin.most / 2.0 {
            self.origin.most += 1.0 / self.origin.most.max(1.0);
        } else if strained && now - self.origin.cut_at >= self.origin.times.expected() {
            self.origin.most = (self.origin.most * FETCHES_CUT.powi(cuts)).max(FETCHES_LEAST);
            self.origin.cut_at = now;
        }
    }

    /// Whether this arrival lies beyond our part of its tenant's share and has to make way. Danger: each of
    /// hundreds finds its nodes idle of its own while all together crowd them with surplus.
    fn surplus(&mut self, now: Micros, tenant: usize, id: &RequestId) -> bool {
        let Some(quota) = self.settings.quotas.get(tenant) else { return false };
        let part = quota / f64::from(self.settings.fleet_size.max(1));
        let within = self.tenants[tenant].take(now, part * SHARE_ROOM, ALLOWANCE_LEAST);
        let shut = self.rng.random::<f64>() >= self.caches.surplus.now;
        !within && (shut || self.target(now, id).is_none_or(|n| n.in_flight > 0))
    }
}
