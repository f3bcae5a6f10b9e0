//! Adapter between requests and the decision module.
//!
//! Holds the module and a handle for each request in flight. The module's calls to its host only leave a step for
//! a handle and never re-enter the module.

use crate::nodes::pool::Pool;
use crate::process::clock::{Clock, StallDetector};
use crate::requests::shadow::{Move, ShadowPolicy};
use crate::log_line;
use flintwell_core::interface::{
    IncomingRequest, AttemptStatus, NodeEntry, Host, ListUpdateKind, Micros, NodeId, AttemptOutcome, RequestId, Settings,
};
use flintwell_core::policy::Policy;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout_at};

const STEP: Micros = 1_000; // between timer calls; the resolution of the runtime's timers
const SETTLES: usize = 16; // runtime turns in which sockets, connections and list are read, a long list included
const FAR: Micros = 3_600_000_000; // sleep while no timer is set; setting one ends it

/// The next step of a request.
pub enum Step {
    Attempt { node: NodeId, allow_for: Micros },
    Refuse { stay_away: Micros },
    Fail,
}

#[derive(Default)]
struct Place {
    next: RefCell<Option<Step>>,
    called: Notify,
}

/// State that the module's calls to its host act on.
struct Mailboxes {
    places: RefCell<HashMap<RequestId, Rc<Place>>>,
    timers: RefCell<BTreeSet<(Micros, u64)>>,
    timer_set: Notify,
    pool: Rc<Pool>,
    watch: Option<Rc<ShadowPolicy>>,
}

impl Mailboxes {
    fn call(&self, request: &RequestId, step: Step) {
        if let Some(watch) = &self.watch {
            let said = match &step {
                Step::Attempt { node, .. } => Move::Attempt(node.clone()),
                Step::Refuse { .. } => Move::Refuse,
                Step::Fail => Move::Fail,
            };
            watch.decided(request, said);
        }
        match self.places.borrow().get(request) {
            Some(place) => {
                place.next.replace(Some(step));
                place.called.notify_one();
            }
            None => log_line!("decision module returned a step for request {request}, which is not in flight"),
        }
    }
}

struct HostCalls(Rc<Mailboxes>);

impl Host for HostCalls {
    fn start_attempt(&mut self, request: &RequestId, node: &NodeId, allow_for: Micros) {
        self.0.call(request, Step::Attempt { node: node.clone(), allow_for });
    }
    fn refuse(&mut self, request: &RequestId, stay_away: Micros) {
        self.0.call(request, Step::Refuse { stay_away });
    }
    fn fail(&mut self, request: &RequestId) {
        self.0.call(request, Step::Fail);
    }
    fn close_idle(&mut self, node: &NodeId) {
        self.0.pool.close_idle(node);
    }
    fn set_timer(&mut self, label: u64, at: Micros) {
        self.0.timers.borrow_mut().insert((at, label));
        self.0.timer_set.notify_one();
    }
    /// The list is watched from the process's start, so there is nothing to do.
    fn subscribe_to_list(&mut self) {}
}

/// Owns the decision module and passes events to it.
pub struct Dispatcher {
    pub clock: Clock,
    pub stall_detector: StallDetector,
    module: RefCell<Policy<HostCalls>>,
    mailboxes: Rc<Mailboxes>,
}

impl Dispatcher {
    pub fn new(
        clock: Clock,
        settings: Settings,
        seed: u64,
        pool: Rc<Pool>,
        watch: Option<Rc<ShadowPolicy>>,
    ) -> Self {
        let mailboxes = Rc::new(Mailboxes {
            places: RefCell::default(),
            timers: RefCell::default(),
            timer_set: Notify::new(),
            pool,
            watch,
        });
        let module = RefCell::new(Policy::new(clock.now(), settings, seed, HostCalls(mailboxes.clone())));
        Dispatcher { clock, stall_detector: StallDetector::new(clock), module, mailboxes }
    }

    /// Calls the module, and then the watched one with `watched`. False if the module panicked.
    ///
    /// A panic is caught: it would end the timer's or the list's task for good and lose every held request.
    fn module(&self, call: impl FnOnce(&mut Policy<HostCalls>), watched: impl FnOnce(&ShadowPolicy)) -> bool {
        let done = catch_unwind(AssertUnwindSafe(|| call(&mut self.module.borrow_mut())));
        if done.is_err() {
            log_line!("decision module panicked during a call");
        }
        // After the deciding module, and also if that panicked.
        self.mailboxes.watch.as_deref().inspect(|watch| watched(watch));
        done.is_ok()
    }

    /// Passes a list, or changes to it, to the module.
    pub fn apply_list_update(&self, kind: ListUpdateKind, entries: Vec<NodeEntry>) {
        let (now, copy) = (self.clock.now(), self.mailboxes.watch.as_ref().map(|_| entries.clone()));
        let watched = |watch: &ShadowPolicy| watch.list(now, kind, copy.unwrap_or_default());
        self.module(|module| module.on_list_update(now, kind, entries), watched);
    }

    /// Switches to other settings; the list has to be passed again afterwards.
    pub fn apply_settings(&self, settings: Settings) {
        let now = self.clock.now();
        self.module(|module| module.apply_settings(now, settings), |_| ());
    }

    /// Sets the rate, in fetches per second, that the fleet grants this process. Returns how many fetches requests have
    /// needed so far.
    pub fn set_origin_fetch_rate(&self, rate: Option<f64>) -> u64 {
        let (now, mut wanted) = (self.clock.now(), 0);
        self.module(|module| wanted = module.set_origin_fetch_rate(now, rate), |_| ());
        wanted
    }

    /// Caches that have stopped answering this process.
    pub fn silent_caches(&self) -> Vec<NodeId> {
        self.module.borrow().silent_caches()
    }

    /// Other proxies probe this node for the next `time`.
    pub fn defer_probe(&self, node: &NodeId, time: Micros) {
        let until = self.clock.now() + time;
        self.module(|module| module.defer_probe(node, until), |_| ());
    }

    /// After a stall of this process, lets everything that arrived meanwhile be read before anything is sent. Otherwise
    /// a request decided on before the stall could go to a server that a list, received but not read, says is leaving.
    pub async fn catch_up_after_stall(&self) {
        if self.stall_detector.queued_since() < self.clock.now() {
            for _ in 0..SETTLES {
                yield_now().await;
            }
        }
    }

    /// Whether this node is an origin.
    pub fn is_origin(&self, node: &NodeId) -> bool {
        self.module.borrow().is_origin(node)
    }

    /// Number of listed caches that the module avoids now.
    pub fn count_avoided_caches(&self) -> usize {
        self.module.borrow().count_avoided_caches(self.clock.now())
    }

    /// A handle for a request; none while another request with the same id is in flight.
    pub fn handle(self: &Rc<Self>, id: RequestId) -> Option<RequestHandle> {
        let place = Rc::new(Place::default());
        let mut places = self.mailboxes.places.borrow_mut();
        if places.contains_key(&id) {
            return None;
        }
        places.insert(id.clone(), place.clone());
        Some(RequestHandle { dispatcher: self.clone(), id, place, attempts: 0, out: None, over: true })
    }

    /// Calls the module at the times it asked for, with a minimum interval between calls. Without it, a module that asks
    /// at each call for a time in the past would leave our single core no time for requests.
    pub async fn run_timers(&self) {
        let mut not_before = 0;
        loop {
            let first =
                self.mailboxes.timers.borrow().first().map_or(self.clock.now() + FAR, |timer| timer.0);
            tokio::select! {
                () = sleep_until(self.clock.instant_at(first.max(not_before))) => {
                    let now = self.clock.now();
                    while let Some(label) = self.due(now) {
                        self.module(|module| module.on_timer(now, label), |watch| watch.timer(now, label));
                    }
                    not_before = now + STEP;
                }
                () = self.mailboxes.timer_set.notified() => {}
            }
        }
    }

    fn due(&self, now: Micros) -> Option<u64> {
        let mut timers = self.mailboxes.timers.borrow_mut();
        let due = timers.first().is_some_and(|timer| timer.0 <= now);
        if due { timers.pop_first().map(|timer| timer.1) } else { None }
    }
}

/// A request's connection to the module. If it is dropped before the request is over, the module is told that the client
/// is gone and that the attempt in flight, if any, was cancelled.
pub struct RequestHandle {
    dispatcher: Rc<Dispatcher>,
    id: RequestId,
    place: Rc<Place>,
    attempts: usize,
    out: Option<NodeId>,
    over: bool,
}

impl RequestHandle {
    /// Passes the request to the module.
    pub fn arrives(&mut self, arrival: IncomingRequest) {
        self.over = false;
        let now = self.dispatcher.clock.now();
        let copy = self.dispatcher.mailboxes.watch.as_ref().map(|watch| {
            watch.expects(&self.id);
            arrival.clone()
        });
        let watched = |watch: &ShadowPolicy| copy.into_iter().for_each(|arrival| watch.arrives(now, arrival));
        self.or_fail(self.dispatcher.module(|module| module.on_request(now, arrival), watched));
    }

    /// Fails the request if the module could not decide on it.
    fn or_fail(&self, decided: bool) {
        if !decided {
            self.dispatcher.mailboxes.call(&self.id, Step::Fail);
        }
    }

    /// Waits for the module's next step; none if there is none by the deadline.
    pub async fn next(&mut self, deadline: Micros) -> Option<Step> {
        let word = async {
            loop {
                if let Some(step) = self.place.next.take() {
                    return step;
                }
                self.place.called.notified().await;
            }
        };
        let step = timeout_at(self.dispatcher.clock.instant_at(deadline), word).await.ok()?;
        self.over = !matches!(step, Step::Attempt { .. });
        Some(step)
    }

    /// Records that the attempt at this node is in flight.
    pub fn sends(&mut self, node: &NodeId) {
        self.out = Some(node.clone());
    }

    /// Reports to the module how the attempt in flight has ended, after `wait`.
    pub fn ended(&mut self, ending: AttemptStatus, wait: Micros, first: bool) {
        let Some(node) = self.out.take() else { return };
        self.over |= ending == AttemptStatus::Served;
        let outcome = AttemptOutcome { attempt_index: self.attempts, status: ending, latency: wait, request_finished: self.over, first_on_connection: first };
        self.attempts += 1;
        let (now, id) = (self.dispatcher.clock.now(), &self.id);
        let watched = |watch: &ShadowPolicy| watch.outcome(now, id, &node, outcome);
        self.or_fail(self.dispatcher.module(|module| module.on_attempt_outcome(now, id, &node, outcome), watched));
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        let (now, id) = (self.dispatcher.clock.now(), self.id.clone());
        // If the module has chosen an attempt and the step was not taken yet, the module would count that attempt as in
        // flight for good. So it is reported as cancelled below.
        if let Some(Step::Attempt { node, .. }) = self.place.next.take() {
            self.out.get_or_insert(node);
        }
        if !std::mem::replace(&mut self.over, true) {
            self.dispatcher.module(|module| module.on_request_closed(now, &id), |watch| watch.gone(now, &id));
        }
        self.ended(AttemptStatus::Cancelled, 0, false);
        self.dispatcher.mailboxes.watch.as_deref().inspect(|watch| watch.over(now, &id));
        self.dispatcher.mailboxes.places.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
