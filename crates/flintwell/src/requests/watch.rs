//! The mode to watch with: a second module with other settings beside the one that decides. It is told what
//! happens, its word goes nowhere but here, and each request on which it would have decided otherwise is
//! counted once, by the kind of the first difference. From there on it only learns by that request.

use crate::log_line;
use flintwell_core::interface::{
    Arrival, Ending, Entry, Host, ListKind, Micros, NodeId, Outcome, RequestId, Settings,
};
use flintwell_core::policy::Policy;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;

const TELL_EVERY: Duration = Duration::from_secs(60); // between lines with the counts, where any changed

/// What a request was told to do.
#[derive(Clone, PartialEq)]
pub enum Move {
    Attempt(NodeId),
    Refuse,
    Fail,
}

/// How the other settings would have decided.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub struct Counts {
    pub requests: u64,
    pub another_cache: u64,
    /// The origin in place of a cache, or a cache in place of the origin.
    pub origin_or_cache: u64,
    /// Given up, where it was sent.
    pub given_up: u64,
    /// Handed off, where it was given up.
    pub attempted: u64,
    /// Turned back in place of failed, held longer, or held less.
    pub held_or_told: u64,
}

impl Counts {
    pub fn otherwise(&self) -> u64 {
        self.another_cache + self.origin_or_cache + self.given_up + self.attempted + self.held_or_told
    }
}

#[derive(Default)]
struct Pair {
    ours: Vec<Move>,
    others: Vec<Move>,
    differs: bool,
}

type Pairs = Rc<RefCell<HashMap<RequestId, Pair>>>;

/// The second module's host: it writes down and does nothing.
struct Notes(Pairs);

impl Notes {
    fn note(&self, request: &RequestId, said: Move) {
        if let Some(pair) = self.0.borrow_mut().get_mut(request).filter(|pair| !pair.differs) {
            pair.others.push(said);
        }
    }
}

impl Host for Notes {
    fn attempt(&mut self, request: &RequestId, node: &NodeId, _: Micros) {
        self.note(request, Move::Attempt(node.clone()));
    }
    fn refuse(&mut self, request: &RequestId, _: Micros) {
        self.note(request, Move::Refuse);
    }
    fn fail(&mut self, request: &RequestId) {
        self.note(request, Move::Fail);
    }
    fn close_idle(&mut self, _: &NodeId) {}
    fn wake_at(&mut self, _: u64, _: Micros) {}
    fn watch_list(&mut self) {}
}

pub struct Watch {
    other: RefCell<Option<Policy<Notes>>>,
    pairs: Pairs,
    origin_kind: Option<u32>,
    origins: RefCell<HashSet<NodeId>>,
    counts: Cell<Counts>,
}

impl Watch {
    pub fn new(now: Micros, settings: Settings, seed: u64) -> Self {
        let (pairs, origin_kind) = (Pairs::default(), settings.origin_kind);
        let other = RefCell::new(Some(Policy::start(now, settings, seed, Notes(pairs.clone()))));
        Watch { other, pairs, origin_kind, origins: RefCell::default(), counts: Cell::default() }
    }

    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Danger: what goes wrong here must never touch a request; a panic ends the watching and nothing else.
    fn other(&self, call: impl FnOnce(&mut Policy<Notes>)) {
        let mut other = self.other.borrow_mut();
        let Some(policy) = other.as_mut() else { return };
        if catch_unwind(AssertUnwindSafe(|| call(policy))).is_err() {
            *other = None;
            self.pairs.borrow_mut().clear();
            log_line!("the module that is watched panicked; it is watched no more");
        }
    }

    #[cfg(test)]
    pub fn fails(&self) {
        self.other(|_| panic!("as a test"));
    }

    pub fn list(&self, now: Micros, kind: ListKind, entries: Vec<Entry>) {
        let origins = entries.iter().filter(|entry| Some(entry.kind) == self.origin_kind);
        self.origins.borrow_mut().extend(origins.map(|entry| entry.node.clone()));
        self.other(|other| other.list(now, kind, entries));
    }

    pub fn timer(&self, now: Micros, label: u64) {
        self.other(|other| other.timer(now, label));
    }

    /// A request is about to arrive at the module that decides.
    pub fn expects(&self, request: &RequestId) {
        if self.other.borrow().is_some() {
            self.pairs.borrow_mut().insert(request.clone(), Pair::default());
        }
    }

    /// What the module that decides said.
    pub fn decided(&self, request: &RequestId, said: Move) {
        if let Some(pair) = self.pairs.borrow_mut().get_mut(request) {
            pair.ours.push(said);
        }
    }

    pub fn arrives(&self, now: Micros, arrival: Arrival) {
        let id = arrival.id.clone();
        self.other(|other| other.request_arrives(now, arrival));
        self.compare(now, &id);
    }

    pub fn outcome(&self, now: Micros, id: &RequestId, node: &NodeId, outcome: Outcome) {
        self.compare(now, id);
        self.other(|other| other.outcome(now, id, node, outcome));
    }

    pub fn gone(&self, now: Micros, id: &RequestId) {
        self.compare(now, id);
        self.other(|other| other.request_gone(now, id));
    }

    /// Nothing more happens to a request.
    pub fn over(&self, now: Micros, id: &RequestId) {
        self.compare(now, id);
        let Some(pair) = self.pairs.borrow_mut().remove(id) else { return };
        let mut counts = self.counts.get();
        counts.requests += 1;
        if !pair.differs && pair.ours.len() != pair.others.len() {
            counts.held_or_told += 1;
            self.leave(now, id, &pair.others);
        }
        self.counts.set(counts);
    }

    /// Counts the first difference, after which the request is over for the module that is watched.
    fn compare(&self, now: Micros, id: &RequestId) {
        let mut pairs = self.pairs.borrow_mut();
        let Some(pair) = pairs.get_mut(id).filter(|pair| !pair.differs) else { return };
        let Some((ours, other)) = pair.ours.iter().zip(&pair.others).find(|(ours, other)| ours != other)
        else {
            return;
        };
        let mut counts = self.counts.get();
        let of_origin = |node: &NodeId| self.origins.borrow().contains(node);
        *match (ours, other) {
            (Move::Attempt(a), Move::Attempt(b)) if of_origin(a) == of_origin(b) => &mut counts.another_cache,
            (Move::Attempt(_), Move::Attempt(_)) => &mut counts.origin_or_cache,
            (Move::Attempt(_), _) => &mut counts.given_up,
            (_, Move::Attempt(_)) => &mut counts.attempted,
            _ => &mut counts.held_or_told,
        } += 1;
        self.counts.set(counts);
        pair.differs = true;
        let others = std::mem::take(&mut pair.others);
        drop(pairs);
        self.leave(now, id, &others);
    }

    /// The module that is watched gives the request up, and forgets the attempt that it had out.
    fn leave(&self, now: Micros, id: &RequestId, others: &[Move]) {
        if let [earlier @ .., Move::Attempt(node)] = others {
            let (number, ending) = (earlier.len(), Ending::Cancelled);
            let outcome = Outcome { number, ending, wait: 0, settled: true, first: false };
            self.other(|other| other.outcome(now, id, node, outcome));
        }
        self.other(|other| other.request_gone(now, id));
    }

    pub async fn tell(&self) {
        let mut told = Counts::default();
        loop {
            tokio::time::sleep(TELL_EVERY).await;
            let counts = self.counts();
            if std::mem::replace(&mut told, counts) != counts {
                log_line!("watched: {} of {} requests otherwise: {counts:?}", counts.otherwise(), counts.requests);
            }
        }
    }
}
