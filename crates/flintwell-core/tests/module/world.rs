//! A small world to run the module in, and the plain model of the rules: it keeps every attempt ever made and
//! judges each action of the module from these records alone.

use flintwell_core::interface::*;
use flintwell_core::policy::Policy;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
pub const ORIGIN_KIND: u32 = 1;

pub struct Sent {
    pub node: NodeId,
    pub at: Micros,
    pub times_out: Micros,
    pub ending: Option<AttemptStatus>,
}

pub struct Held {
    /// As it was when the request came, and how many attempts were allowed then.
    pub case: Class,
    pub most: usize,
    pub deadline: Micros,
    pub sent: Vec<Sent>,
    pub answer: Option<&'static str>,
}

#[derive(Default)]
pub struct Records {
    pub now: Micros,
    pub classes: Vec<Class>,
    pub max_attempts: usize,
    pub listed: BTreeMap<NodeId, NodeEntry>,
    pub requests: BTreeMap<RequestId, Held>,
    pub wakes: Vec<(Micros, u64)>,
    pub watches: usize,
    pub closes: usize,
}

impl Records {
    fn end(&mut self, id: &RequestId, answer: &'static str) {
        let now = self.now;
        let request = self.requests.get_mut(id).expect("an answer to an unknown request");
        assert!(request.answer.is_none(), "a second final answer to {id}");
        assert!(now <= request.deadline, "an answer to {id} past its deadline");
        request.answer = Some(answer);
    }
    /// The earliest attempt that may have run or still may.
    fn may_have_run(request: &Held) -> Option<&Sent> {
        request.sent.iter().find(|s| s.ending.is_none_or(|e| !e.never_ran()))
    }
}

#[derive(Clone, Default)]
pub struct World(pub Rc<RefCell<Records>>);

impl Host for World {
    fn start_attempt(&mut self, id: &RequestId, node: &NodeId, allow_for: Micros) {
        let mut r = self.0.borrow_mut();
        let now = r.now;
        let to = r.listed.get(node).expect("an attempt to a node never listed").clone();
        assert_eq!(to.state, NodeState::Ready, "an attempt to a draining or gone node");
        let request = &r.requests[id];
        assert!(request.answer.is_none(), "an attempt after the final answer");
        assert!(now < request.deadline && request.sent.len() < request.most && allow_for > 0);
        assert!(request.sent.iter().all(|s| s.ending.is_some()), "two attempts at once");
        let case = &request.case;
        let bound = |to: &Option<Vec<u32>>, one| to.as_ref().is_some_and(|to| !to.contains(&one));
        let closed = bound(&case.kinds, to.kind) || bound(&case.zones, to.zone);
        assert!(to.kind == ORIGIN_KIND || !closed, "{id} sent where its class may not be");
        if let Some(first) = Records::may_have_run(request) {
            let before = &r.listed[&first.node];
            let group = match case.dedup_scope {
                DedupScope::All => true,
                DedupScope::Zone => before.zone == to.zone,
                DedupScope::Cell => before.cell == to.cell,
            };
            let allowed = match case.idempotency {
                Idempotency::Safe => true,
                Idempotency::Keyed => group && now < first.at + case.dedup_window,
                Idempotency::Unsafe => false,
            };
            assert!(allowed, "{id} might run twice");
        }
        let times_out = (now + allow_for).min(request.deadline);
        let sent = Sent { node: node.clone(), at: now, times_out, ending: None };
        r.requests.get_mut(id).expect("known").sent.push(sent);
    }
    fn refuse(&mut self, id: &RequestId, _: Micros) {
        let mut r = self.0.borrow_mut();
        let request = &r.requests[id];
        if let Some(first) = Records::may_have_run(request) {
            let case = &request.case;
            let keyed = case.idempotency == Idempotency::Keyed && case.dedup_scope == DedupScope::All;
            let harmless = keyed && r.now < first.at + case.dedup_window;
            assert!(case.idempotency == Idempotency::Safe || harmless, "{id} refused though it may have run");
        }
        r.end(id, "refused");
    }
    fn fail(&mut self, id: &RequestId) {
        self.0.borrow_mut().end(id, "failed");
    }
    fn close_idle(&mut self, _: &NodeId) {
        self.0.borrow_mut().closes += 1;
    }
    fn set_timer(&mut self, label: u64, at: Micros) {
        self.0.borrow_mut().wakes.push((at, label));
    }
    fn subscribe_to_list(&mut self) {
        self.0.borrow_mut().watches += 1;
    }
}

pub fn class(effect: Idempotency, group: DedupScope) -> Class {
    let (latency_target, memory) = (600 * MS, 300 * MS);
    Class {
        idempotency: effect,
        dedup_scope: group,
        dedup_window: memory,
        latency_target,
        target_work_factor: 0.0,
        late_worth: 0.0,
        kinds: None,
        zones: None,
    }
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Idempotency::Safe, DedupScope::All),
            class(Idempotency::Keyed, DedupScope::All),
            class(Idempotency::Keyed, DedupScope::Zone),
            class(Idempotency::Keyed, DedupScope::Cell),
            class(Idempotency::Unsafe, DedupScope::All),
            // Bound: to the second zone, and to a kind there.
            Class { zones: Some(vec![1]), ..class(Idempotency::Safe, DedupScope::All) },
            Class { kinds: Some(vec![2]), zones: Some(vec![1]), ..class(Idempotency::Keyed, DedupScope::Zone) },
        ],
        quotas: Vec::new(),
        cache_aside: true,
        origin_kind: Some(ORIGIN_KIND),
        proxy_index: 0,
        zone: 0,
        zone_count: 2,
        cross_zone_cost: 0.0,
        fleet_size: 1,
        max_attempts: 4,
        max_retry_after: SECOND,
        list_on_request: true,
        max_list_refresh_interval: 10 * SECOND,
        weight_mode: WeightMode::None,
        start_capacity: 0.25,
        ramp_time: 8 * SECOND,
        max_start_time_error: 0,
        connection_cost: 0.0,
        cold_overload_window: 2 * SECOND,
        dial_timeout: 0,
    }
}

pub fn entry(n: u32, standing: NodeState, started_at: Micros) -> NodeEntry {
    // Two kinds of caches.
    let kind = [0, ORIGIN_KIND, 2][if n == 0 { 1 } else { n as usize / 2 % 2 * 2 }];
    NodeEntry {
        node: format!("10.0.0.{n}:1").into(),
        zone: n % 2,
        kind,
        cell: n % 3,
        state: standing,
        weight: 1.0,
        started_at,
    }
}

pub struct Play {
    pub world: World,
    pub policy: Policy<World>,
    pub aside: bool,
    pub quotas: Vec<f64>,
    count: usize,
}

impl Play {
    /// An origin (node 0) and some warm caches, an hour into the host's clock.
    pub fn new(settings: Settings, caches: u32) -> Self {
        let (world, now) = (World::default(), 3_600 * SECOND);
        {
            let mut r = world.0.borrow_mut();
            (r.now, r.classes, r.max_attempts) = (now, settings.classes.clone(), settings.max_attempts);
        }
        let (aside, quotas) = (settings.cache_aside, settings.quotas.clone());
        let policy = Policy::new(now, settings, 7, world.clone());
        let mut play = Play { world, policy, aside, quotas, count: 0 };
        play.list(ListUpdateKind::Snapshot, (0..=caches).map(|n| entry(n, NodeState::Ready, 0)).collect());
        play
    }
    /// The same, with traffic enough that each cache is met often.
    pub fn busy(settings: Settings, caches: u32) -> Self {
        let mut play = Play::new(settings, caches);
        for n in 0..caches * 12 {
            let id = play.arrive(0, &format!("warm {n}"), false);
            play.pass(20 * MS);
            play.end(&id, AttemptStatus::Served);
        }
        play
    }
    pub fn now(&self) -> Micros {
        self.world.0.borrow().now
    }
    pub fn list(&mut self, kind: ListUpdateKind, entries: Vec<NodeEntry>) {
        {
            let listed = &mut self.world.0.borrow_mut().listed;
            if kind != ListUpdateKind::Delta {
                listed.values_mut().for_each(|e| e.state = NodeState::Gone);
            }
            listed.extend(entries.iter().map(|e| (e.node.clone(), e.clone())));
        }
        self.policy.on_list_update(self.now(), kind, entries);
    }
    /// Other settings, and the list anew.
    pub fn change(&mut self, settings: Settings) {
        {
            let mut r = self.world.0.borrow_mut();
            (r.classes, r.max_attempts) = (settings.classes.clone(), settings.max_attempts);
        }
        self.policy.apply_settings(self.now(), settings);
        let listed = self.world.0.borrow().listed.values().cloned().collect();
        self.policy.on_list_update(self.now(), ListUpdateKind::Restored, listed);
    }
    pub fn arrive(&mut self, class: usize, key: &str, write: bool) -> RequestId {
        self.count += 1;
        let id: RequestId = format!("a{}", self.count).into();
        let deadline = self.now() + 1_200 * MS;
        {
            let mut r = self.world.0.borrow_mut();
            let (case, most) = (r.classes[class].clone(), r.max_attempts);
            r.requests.insert(id.clone(), Held { case, most, deadline, sent: Vec::new(), answer: None });
        }
        let key = Some(Key::from(key));
        let arrival = IncomingRequest { id: id.clone(), class, tenant: 0, key, deadline, expected_work: None, is_write: write };
        self.policy.on_request(self.now(), arrival);
        id
    }
    /// Ends the attempt that is out, if one is; at the host a success is the request's final answer.
    pub fn end(&mut self, id: &RequestId, ending: AttemptStatus) {
        self.end_on(id, ending, false);
    }
    /// The same, on a connection opened for it or on a used one.
    pub fn end_on(&mut self, id: &RequestId, ending: AttemptStatus, first: bool) {
        let now = self.now();
        let (node, number, wait, settled) = {
            let mut r = self.world.0.borrow_mut();
            let request = r.requests.get_mut(id).expect("known");
            let number = request.sent.len().wrapping_sub(1);
            let Some(sent) = request.sent.last_mut().filter(|s| s.ending.is_none()) else { return };
            sent.ending = Some(ending);
            let (node, wait) = (sent.node.clone(), now - sent.at);
            if ending == AttemptStatus::Served && request.answer.is_none() {
                request.answer = Some("served");
            }
            (node, number, wait, request.answer.is_some())
        };
        let outcome = AttemptOutcome { attempt_index: number, status: ending, latency: wait, request_finished: settled, first_on_connection: first };
        self.policy.on_attempt_outcome(now, id, &node, outcome);
    }
    /// Lets time pass; timers and time-outs come when due.
    pub fn pass(&mut self, span: Micros) {
        let until = self.now() + span;
        loop {
            let (wake, out) = {
                let r = self.world.0.borrow();
                let out = r.requests.iter().filter_map(|(id, a)| {
                    a.sent.last().filter(|s| s.ending.is_none()).map(|s| (s.times_out, id.clone()))
                });
                (r.wakes.iter().min().copied(), out.min())
            };
            let at = wake.map_or(Micros::MAX, |w| w.0).min(out.as_ref().map_or(Micros::MAX, |o| o.0));
            if at > until {
                self.world.0.borrow_mut().now = until;
                return;
            }
            {
                let mut r = self.world.0.borrow_mut();
                r.now = at.max(r.now);
            }
            if let Some(wake) = wake.filter(|w| w.0 == at) {
                self.world.0.borrow_mut().wakes.retain(|w| *w != wake);
                self.policy.on_timer(self.now(), wake.1);
            } else if let Some((_, id)) = out {
                self.end(&id, AttemptStatus::TimedOut);
            }
        }
    }
    /// The requests with an attempt out.
    pub fn out(&self) -> Vec<RequestId> {
        let r = self.world.0.borrow();
        let out = |a: &Held| a.sent.last().is_some_and(|s| s.ending.is_none());
        r.requests.iter().filter(|(_, a)| out(a)).map(|(id, _)| id.clone()).collect()
    }
    pub fn node_of(&self, id: &RequestId) -> Option<NodeId> {
        let r = self.world.0.borrow();
        r.requests[id].sent.last().filter(|s| s.ending.is_none()).map(|s| s.node.clone())
    }
    pub fn answer(&self, id: &RequestId) -> Option<&'static str> {
        self.world.0.borrow().requests[id].answer
    }
}
