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
    pub ending: Option<Ending>,
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
    pub listed: BTreeMap<NodeId, Entry>,
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
    fn attempt(&mut self, id: &RequestId, node: &NodeId, allow_for: Micros) {
        let mut r = self.0.borrow_mut();
        let now = r.now;
        let to = r.listed.get(node).expect("an attempt to a node never listed").clone();
        assert_eq!(to.standing, Standing::Ready, "an attempt to a draining or gone node");
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
            let group = match case.group {
                Group::All => true,
                Group::Zone => before.zone == to.zone,
                Group::Cell => before.cell == to.cell,
            };
            let allowed = match case.effect {
                Effect::Safe => true,
                Effect::Keyed => group && now < first.at + case.memory,
                Effect::Unsafe => false,
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
            let keyed = case.effect == Effect::Keyed && case.group == Group::All;
            let harmless = keyed && r.now < first.at + case.memory;
            assert!(case.effect == Effect::Safe || harmless, "{id} refused though it may have run");
        }
        r.end(id, "refused");
    }
    fn fail(&mut self, id: &RequestId) {
        self.0.borrow_mut().end(id, "failed");
    }
    fn close_idle(&mut self, _: &NodeId) {
        self.0.borrow_mut().closes += 1;
    }
    fn wake_at(&mut self, label: u64, at: Micros) {
        self.0.borrow_mut().wakes.push((at, label));
    }
    fn watch_list(&mut self) {
        self.0.borrow_mut().watches += 1;
    }
}

pub fn class(effect: Effect, group: Group) -> Class {
    let (latency_target, memory) = (600 * MS, 300 * MS);
    Class {
        effect,
        group,
        memory,
        latency_target,
        target_stretch: 0.0,
        late_share: 0.0,
        kinds: None,
        zones: None,
    }
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Effect::Safe, Group::All),
            class(Effect::Keyed, Group::All),
            class(Effect::Keyed, Group::Zone),
            class(Effect::Keyed, Group::Cell),
            class(Effect::Unsafe, Group::All),
            // Bound: to the second zone, and to a kind there.
            Class { zones: Some(vec![1]), ..class(Effect::Safe, Group::All) },
            Class { kinds: Some(vec![2]), zones: Some(vec![1]), ..class(Effect::Keyed, Group::Zone) },
        ],
        quotas: Vec::new(),
        aside: true,
        origin_kind: Some(ORIGIN_KIND),
        index: 0,
        zone: 0,
        zones: 2,
        cross_price: 0.0,
        fleet_size: 1,
        max_attempts: 4,
        max_stay_away: SECOND,
        list_on_request: true,
        ask_within: 10 * SECOND,
        sizes: Sizes::None,
        start_capacity: 0.25,
        ramp_time: 8 * SECOND,
        start_drift: 0,
        connection_price: 0.0,
        fall: 2 * SECOND,
        dial_within: 0,
    }
}

pub fn entry(n: u32, standing: Standing, started_at: Micros) -> Entry {
    // Two kinds of caches.
    let kind = [0, ORIGIN_KIND, 2][if n == 0 { 1 } else { n as usize / 2 % 2 * 2 }];
    Entry {
        node: format!("10.0.0.{n}:1").into(),
        zone: n % 2,
        kind,
        cell: n % 3,
        standing,
        size: 1.0,
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
        let (aside, quotas) = (settings.aside, settings.quotas.clone());
        let policy = Policy::start(now, settings, 7, world.clone());
        let mut play = Play { world, policy, aside, quotas, count: 0 };
        play.list(ListKind::Whole, (0..=caches).map(|n| entry(n, Standing::Ready, 0)).collect());
        play
    }
    /// The same, with traffic enough that each cache is met often.
    pub fn busy(settings: Settings, caches: u32) -> Self {
        let mut play = Play::new(settings, caches);
        for n in 0..caches * 12 {
            let id = play.arrive(0, &format!("warm {n}"), false);
            play.pass(20 * MS);
            play.end(&id, Ending::Served);
        }
        play
    }
    pub fn now(&self) -> Micros {
        self.world.0.borrow().now
    }
    pub fn list(&mut self, kind: ListKind, entries: Vec<Entry>) {
        {
            let listed = &mut self.world.0.borrow_mut().listed;
            if kind != ListKind::Changes {
                listed.values_mut().for_each(|e| e.standing = Standing::Gone);
            }
            listed.extend(entries.iter().map(|e| (e.node.clone(), e.clone())));
        }
        self.policy.list(self.now(), kind, entries);
    }
    /// Other settings, and the list anew.
    pub fn change(&mut self, settings: Settings) {
        {
            let mut r = self.world.0.borrow_mut();
            (r.classes, r.max_attempts) = (settings.classes.clone(), settings.max_attempts);
        }
        self.policy.change(self.now(), settings);
        let listed = self.world.0.borrow().listed.values().cloned().collect();
        self.policy.list(self.now(), ListKind::Kept, listed);
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
        let arrival = Arrival { id: id.clone(), class, tenant: 0, key, deadline, work: None, write };
        self.policy.request_arrives(self.now(), arrival);
        id
    }
    /// Ends the attempt that is out, if one is; at the host a success is the request's final answer.
    pub fn end(&mut self, id: &RequestId, ending: Ending) {
        self.end_on(id, ending, false);
    }
    /// The same, on a connection opened for it or on a used one.
    pub fn end_on(&mut self, id: &RequestId, ending: Ending, first: bool) {
        let now = self.now();
        let (node, number, wait, settled) = {
            let mut r = self.world.0.borrow_mut();
            let request = r.requests.get_mut(id).expect("known");
            let number = request.sent.len().wrapping_sub(1);
            let Some(sent) = request.sent.last_mut().filter(|s| s.ending.is_none()) else { return };
            sent.ending = Some(ending);
            let (node, wait) = (sent.node.clone(), now - sent.at);
            if ending == Ending::Served && request.answer.is_none() {
                request.answer = Some("served");
            }
            (node, number, wait, request.answer.is_some())
        };
        let outcome = Outcome { number, ending, wait, settled, first };
        self.policy.outcome(now, id, &node, outcome);
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
                self.policy.timer(self.now(), wake.1);
            } else if let Some((_, id)) = out {
                self.end(&id, Ending::TimedOut);
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
