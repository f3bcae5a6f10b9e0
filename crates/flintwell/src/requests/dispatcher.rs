//! Where requests meet the decision module: the module in its cell, the handles of the requests in hand, and
//! the host's calls, which only reach a handle and never re-enter the module.

use crate::nodes::pool::Pool;
use crate::process::clock::{Clock, StallDetector};
use crate::requests::watch::{Move, Watch};
use crate::log_line;
use flintwell_core::interface::{
    Arrival, Ending, Entry, Host, ListKind, Micros, NodeId, Outcome, RequestId, Settings,
};
use flintwell_core::policy::Policy;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout_at};

const STEP: Micros = 1_000; // us; between calls for the timer, as fine as the runtime's own
const SETTLES: usize = 16; // turns of the runtime: its sockets', connections' and the list's own, also of a long list
const FAR: Micros = 3_600_000_000; // us; a sleep without a timer, ended by the next one set

/// What a request does next.
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

/// What the module's calls reach.
struct Mailboxes {
    places: RefCell<HashMap<RequestId, Rc<Place>>>,
    timers: RefCell<BTreeSet<(Micros, u64)>>,
    timer_set: Notify,
    pool: Rc<Pool>,
    watch: Option<Rc<Watch>>,
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
            None => log_line!("a step for request {request}, which is not in hand"),
        }
    }
}

struct HostCalls(Rc<Mailboxes>);

impl Host for HostCalls {
    fn attempt(&mut self, request: &RequestId, node: &NodeId, allow_for: Micros) {
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
    fn wake_at(&mut self, label: u64, at: Micros) {
        self.0.timers.borrow_mut().insert((at, label));
        self.0.timer_set.notify_one();
    }
    /// It is watched from the process's start, whenever the module would ask for it.
    fn watch_list(&mut self) {}
}

pub struct Dispatcher {
    pub clock: Clock,
    pub pulse: StallDetector,
    module: RefCell<Policy<HostCalls>>,
    mailboxes: Rc<Mailboxes>,
}

impl Dispatcher {
    pub fn new(
        clock: Clock,
        settings: Settings,
        seed: u64,
        pool: Rc<Pool>,
        watch: Option<Rc<Watch>>,
    ) -> Self {
        let mailboxes = Rc::new(Mailboxes {
            places: RefCell::default(),
            timers: RefCell::default(),
            timer_set: Notify::new(),
            pool,
            watch,
        });
        let module = RefCell::new(Policy::start(clock.now(), settings, seed, HostCalls(mailboxes.clone())));
        Dispatcher { clock, pulse: StallDetector::new(clock), module, mailboxes }
    }

    /// Calls the module; nothing is awaited in there. False if it panicked. Danger: a panic in a call made
    /// for the timer or the list would end those for good, and lose every request held.
    fn module(&self, call: impl FnOnce(&mut Policy<HostCalls>), watched: impl FnOnce(&Watch)) -> bool {
        let done = catch_unwind(AssertUnwindSafe(|| call(&mut self.module.borrow_mut())));
        if done.is_err() {
            log_line!("a call of the module panicked");
        }
        // After the one that decides, and whatever became of that.
        self.mailboxes.watch.as_deref().inspect(|watch| watched(watch));
        done.is_ok()
    }

    pub fn list(&self, kind: ListKind, entries: Vec<Entry>) {
        let (now, copy) = (self.clock.now(), self.mailboxes.watch.as_ref().map(|_| entries.clone()));
        let watched = |watch: &Watch| watch.list(now, kind, copy.unwrap_or_default());
        self.module(|module| module.list(now, kind, entries), watched);
    }

    /// Other settings from now on; the list has to be told again.
    pub fn change(&self, settings: Settings) {
        let now = self.clock.now();
        self.module(|module| module.change(now, settings), |_| ());
    }

    /// Fetches a second that the fleet grants us from now on; how many requests were to be fetched so far.
    pub fn granted(&self, rate: Option<f64>) -> u64 {
        let (now, mut wanted) = (self.clock.now(), 0);
        self.module(|module| wanted = module.granted(now, rate), |_| ());
        wanted
    }

    /// Caches that fell silent to us.
    pub fn silent(&self) -> Vec<NodeId> {
        self.module.borrow().silent()
    }

    /// Others try this node, for so long from now.
    pub fn tried_by_others(&self, node: &NodeId, time: Micros) {
        let until = self.clock.now() + time;
        self.module(|module| module.tried_by_others(node, until), |_| ());
    }

    /// After a standstill of ours, what has come meanwhile is read before anything is sent. Danger: a list that has come
    /// tells of servers that leave, and a request decided on before it would still go there.
    pub async fn settles(&self) {
        if self.pulse.queued_since() < self.clock.now() {
            for _ in 0..SETTLES {
                yield_now().await;
            }
        }
    }

    pub fn is_origin(&self, node: &NodeId) -> bool {
        self.module.borrow().is_origin(node)
    }

    /// How many listed caches the module avoids now.
    pub fn avoided(&self) -> usize {
        self.module.borrow().avoided(self.clock.now())
    }

    /// A handle for a request; none while another of the same id is in hand.
    pub fn handle(self: &Rc<Self>, id: RequestId) -> Option<RequestHandle> {
        let place = Rc::new(Place::default());
        let mut places = self.mailboxes.places.borrow_mut();
        if places.contains_key(&id) {
            return None;
        }
        places.insert(id.clone(), place.clone());
        Some(RequestHandle { dispatcher: self.clone(), id, place, attempts: 0, out: None, over: true })
    }

    /// Calls the module at the times it asked for. Danger: a time that has passed, asked for again at each
    /// call, would leave our one core nothing for the requests; so there is a step between calls.
    pub async fn keep_time(&self) {
        let mut not_before = 0;
        loop {
            let first =
                self.mailboxes.timers.borrow().first().map_or(self.clock.now() + FAR, |timer| timer.0);
            tokio::select! {
                () = sleep_until(self.clock.instant_at(first.max(not_before))) => {
                    let now = self.clock.now();
                    while let Some(label) = self.due(now) {
                        self.module(|module| module.timer(now, label), |watch| watch.timer(now, label));
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

/// A request's place before the module. Dropped before the request is over, it tells the module that the
/// client is gone and that the attempt out, if any, was cancelled.
pub struct RequestHandle {
    dispatcher: Rc<Dispatcher>,
    id: RequestId,
    place: Rc<Place>,
    attempts: usize,
    out: Option<NodeId>,
    over: bool,
}

impl RequestHandle {
    pub fn arrives(&mut self, arrival: Arrival) {
        self.over = false;
        let now = self.dispatcher.clock.now();
        let copy = self.dispatcher.mailboxes.watch.as_ref().map(|watch| {
            watch.expects(&self.id);
            arrival.clone()
        });
        let watched = |watch: &Watch| copy.into_iter().for_each(|arrival| watch.arrives(now, arrival));
        self.or_fail(self.dispatcher.module(|module| module.request_arrives(now, arrival), watched));
    }

    /// A request that the module could not decide on is failed.
    fn or_fail(&self, decided: bool) {
        if !decided {
            self.dispatcher.mailboxes.call(&self.id, Step::Fail);
        }
    }

    /// The module's next word; none by the deadline.
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

    pub fn sends(&mut self, node: &NodeId) {
        self.out = Some(node.clone());
    }

    /// How the attempt that is out has ended, after `wait`.
    pub fn ended(&mut self, ending: Ending, wait: Micros, first: bool) {
        let Some(node) = self.out.take() else { return };
        self.over |= ending == Ending::Served;
        let outcome = Outcome { number: self.attempts, ending, wait, settled: self.over, first };
        self.attempts += 1;
        let (now, id) = (self.dispatcher.clock.now(), &self.id);
        let watched = |watch: &Watch| watch.outcome(now, id, &node, outcome);
        self.or_fail(self.dispatcher.module(|module| module.outcome(now, id, &node, outcome), watched));
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        let (now, id) = (self.dispatcher.clock.now(), self.id.clone());
        // Danger: an attempt that the module has told and nobody has taken yet would count as out for good.
        if let Some(Step::Attempt { node, .. }) = self.place.next.take() {
            self.out.get_or_insert(node);
        }
        if !std::mem::replace(&mut self.over, true) {
            self.dispatcher.module(|module| module.request_gone(now, &id), |watch| watch.gone(now, &id));
        }
        self.ended(Ending::Cancelled, 0, false);
        self.dispatcher.mailboxes.watch.as_deref().inspect(|watch| watch.over(now, &id));
        self.dispatcher.mailboxes.places.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
