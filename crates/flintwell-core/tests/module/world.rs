//! A small world to run the module in, and the plain model of the rules: it keeps every hand-off ever made and
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
    /// As it was when the access came, and how many hand-offs were allowed then.
    pub case: UseCase,
    pub most: usize,
    pub outer_limit: Micros,
    pub sent: Vec<Sent>,
    pub answer: Option<&'static str>,
}

#[derive(Default)]
pub struct Records {
    pub now: Micros,
    pub use_cases: Vec<UseCase>,
    pub max_hand_offs: usize,
    pub listed: BTreeMap<NodeId, Entry>,
    pub accesses: BTreeMap<AccessId, Held>,
    pub wakes: Vec<(Micros, u64)>,
    pub watches: usize,
    pub closes: usize,
}

impl Records {
    fn end(&mut self, id: &AccessId, answer: &'static str) {
        let now = self.now;
        let access = self.accesses.get_mut(id).expect("an answer to an unknown access");
        assert!(access.answer.is_none(), "a second final answer to {id}");
        assert!(now <= access.outer_limit, "an answer to {id} past its outer limit");
        access.answer = Some(answer);
    }
    /// The earliest hand-off that may have run or still may.
    fn may_have_run(access: &Held) -> Option<&Sent> {
        access.sent.iter().find(|s| s.ending.is_none_or(|e| !e.never_ran()))
    }
}

#[derive(Clone, Default)]
pub struct World(pub Rc<RefCell<Records>>);

impl Host for World {
    fn hand_off(&mut self, id: &AccessId, node: &NodeId, allow_for: Micros) {
        let mut r = self.0.borrow_mut();
        let now = r.now;
        let to = r.listed.get(node).expect("a hand-off to a node never listed").clone();
        assert_eq!(to.standing, Standing::Ready, "a hand-off to a draining or gone node");
        let access = &r.accesses[id];
        assert!(access.answer.is_none(), "a hand-off after the final answer");
        assert!(now < access.outer_limit && access.sent.len() < access.most && allow_for > 0);
        assert!(access.sent.iter().all(|s| s.ending.is_some()), "two hand-offs at once");
        let case = &access.case;
        let bound = |to: &Option<Vec<u32>>, one| to.as_ref().is_some_and(|to| !to.contains(&one));
        let closed = bound(&case.kinds, to.kind) || bound(&case.zones, to.zone);
        assert!(to.kind == ORIGIN_KIND || !closed, "{id} sent where its use case may not be");
        if let Some(first) = Records::may_have_run(access) {
            let before = &r.listed[&first.node];
            let group = match case.group {
                Group::All => true,
                Group::Zone => before.zone == to.zone,
                Group::Cell => before.cell == to.cell,
            };
            let allowed = match case.effect {
                Effect::Replayable => true,
                Effect::Referenced => group && now < first.at + case.memory,
                Effect::SingleUse => false,
            };
            assert!(allowed, "{id} might run twice");
        }
        let times_out = (now + allow_for).min(access.outer_limit);
        let sent = Sent { node: node.clone(), at: now, times_out, ending: None };
        r.accesses.get_mut(id).expect("known").sent.push(sent);
    }
    fn turn_back(&mut self, id: &AccessId, _: Micros) {
        let mut r = self.0.borrow_mut();
        let access = &r.accesses[id];
        if let Some(first) = Records::may_have_run(access) {
            let case = &access.case;
            let referenced = case.effect == Effect::Referenced && case.group == Group::All;
            let harmless = referenced && r.now < first.at + case.memory;
            assert!(case.effect == Effect::Replayable || harmless, "{id} turned back though it may have run");
        }
        r.end(id, "turned back");
    }
    fn break_off(&mut self, id: &AccessId) {
        self.0.borrow_mut().end(id, "broken off");
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

pub fn use_case(effect: Effect, group: Group) -> UseCase {
    let (goal_time, memory) = (600 * MS, 300 * MS);
    UseCase { effect, group, memory, goal_time, goal_stretch: 0.0, late_share: 0.0, kinds: None, zones: None }
}

pub fn settings() -> Settings {
    Settings {
        use_cases: vec![
            use_case(Effect::Replayable, Group::All),
            use_case(Effect::Referenced, Group::All),
            use_case(Effect::Referenced, Group::Zone),
            use_case(Effect::Referenced, Group::Cell),
            use_case(Effect::SingleUse, Group::All),
            // Bound: to the second zone, and to a kind there.
            UseCase { zones: Some(vec![1]), ..use_case(Effect::Replayable, Group::All) },
            UseCase {
                kinds: Some(vec![2]),
                zones: Some(vec![1]),
                ..use_case(Effect::Referenced, Group::Zone)
            },
        ],
        quotas: Vec::new(),
        aside: true,
        origin_kind: Some(ORIGIN_KIND),
        index: 0,
        zone: 0,
        zones: 2,
        cross_price: 0.0,
        fleet_size: 1,
        max_hand_offs: 4,
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
            (r.now, r.use_cases, r.max_hand_offs) = (now, settings.use_cases.clone(), settings.max_hand_offs);
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
            play.end(&id, Ending::Honoured);
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
            (r.use_cases, r.max_hand_offs) = (settings.use_cases.clone(), settings.max_hand_offs);
        }
        self.policy.change(self.now(), settings);
        let listed = self.world.0.borrow().listed.values().cloned().collect();
        self.policy.list(self.now(), ListKind::Kept, listed);
    }
    pub fn arrive(&mut self, use_case: usize, key: &str, write: bool) -> AccessId {
        self.count += 1;
        let id: AccessId = format!("a{}", self.count).into();
        let outer_limit = self.now() + 1_200 * MS;
        {
            let mut r = self.world.0.borrow_mut();
            let (case, most) = (r.use_cases[use_case].clone(), r.max_hand_offs);
            r.accesses.insert(id.clone(), Held { case, most, outer_limit, sent: Vec::new(), answer: None });
        }
        let key = Some(Key::from(key));
        let arrival = Arrival { id: id.clone(), use_case, tenant: 0, key, outer_limit, work: None, write };
        self.policy.access_arrives(self.now(), arrival);
        id
    }
    /// Ends the hand-off that is out, if one is; at the host a success is the access's final answer.
    pub fn end(&mut self, id: &AccessId, ending: Ending) {
        self.end_on(id, ending, false);
    }
    /// The same, on a connection opened for it or on a used one.
    pub fn end_on(&mut self, id: &AccessId, ending: Ending, first: bool) {
        let now = self.now();
        let (node, number, wait, settled) = {
            let mut r = self.world.0.borrow_mut();
            let access = r.accesses.get_mut(id).expect("known");
            let number = access.sent.len().wrapping_sub(1);
            let Some(sent) = access.sent.last_mut().filter(|s| s.ending.is_none()) else { return };
            sent.ending = Some(ending);
            let (node, wait) = (sent.node.clone(), now - sent.at);
            if ending == Ending::Honoured && access.answer.is_none() {
                access.answer = Some("honoured");
            }
            (node, number, wait, access.answer.is_some())
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
                let out = r.accesses.iter().filter_map(|(id, a)| {
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
    /// The accesses with a hand-off out.
    pub fn out(&self) -> Vec<AccessId> {
        let r = self.world.0.borrow();
        let out = |a: &Held| a.sent.last().is_some_and(|s| s.ending.is_none());
        r.accesses.iter().filter(|(_, a)| out(a)).map(|(id, _)| id.clone()).collect()
    }
    pub fn node_of(&self, id: &AccessId) -> Option<NodeId> {
        let r = self.world.0.borrow();
        r.accesses[id].sent.last().filter(|s| s.ending.is_none()).map(|s| s.node.clone())
    }
    pub fn answer(&self, id: &AccessId) -> Option<&'static str> {
        self.world.0.borrow().accesses[id].answer
    }
}
