//! Adapter between requests and the policy (`flintwell-core`).
//!
//! Holds the policy and a handle for each request in flight. The policy's calls to its host only leave a step for
//! a handle and never re-enter the policy.

use crate::log_line;
use crate::nodes::pool::Pool;
use crate::process::clock::{Clock, StallDetector};
use crate::requests::id_hash::IdHash;
use crate::requests::request_ids::{ClaimError, IdClaim, RequestIds};
use crate::requests::shadow::{Decision, ShadowPolicy};
use flintwell_core::interface::{
    AttemptLimits, AttemptOutcome, AttemptStatus, EndReason, Host, Idempotency, IncomingRequest,
    ListUpdateKind, Micros, NodeEntry, NodeId, RequestId, Settings,
};
use flintwell_core::policy::Policy;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout_at};

const TIMER_INTERVAL_US: Micros = 1_000; // between timer calls; the resolution of the runtime's timers
// Runtime turns in which sockets, connections and the list are read; enough for a long list, too.
const CATCH_UP_TURNS: usize = 16;
const IDLE_SLEEP_US: Micros = 3_600_000_000; // sleep while no timer is set; setting one ends it

/// The next step of a request.
pub enum Step {
    Attempt { node: NodeId, limits: AttemptLimits },
    Refuse { retry_after: Micros },
    Fail,
}

/// Holds the next step of a request until its handle takes it.
#[derive(Default)]
struct Mailbox {
    step: RefCell<Option<Step>>,
    notify: Notify,
    /// Why the policy ends the request, once it does.
    end_reason: Cell<Option<EndReason>>,
}

/// State that the policy's calls to its host act on.
struct HostState {
    mailboxes: RefCell<HashMap<RequestId, Rc<Mailbox>>>,
    timers: RefCell<BTreeSet<(Micros, u64)>>,
    timer_set: Notify,
    pool: Rc<Pool>,
    shadow: Option<Rc<ShadowPolicy>>,
}

impl HostState {
    fn post_step(&self, request: &RequestId, step: Step) {
        if let Some(shadow) = &self.shadow {
            let decision = match &step {
                Step::Attempt { node, .. } => Decision::Attempt(node.clone()),
                Step::Refuse { .. } => Decision::Refuse,
                Step::Fail => Decision::Fail,
            };
            shadow.record_actual(request, decision);
        }
        match self.mailboxes.borrow().get(request) {
            Some(mailbox) => {
                mailbox.step.replace(Some(step));
                mailbox.notify.notify_one();
            }
            None => log_line!("policy returned a step for request {request}, which is not in flight"),
        }
    }
}

struct PolicyHost(Rc<HostState>);

impl Host for PolicyHost {
    fn start_attempt(&mut self, request: &RequestId, node: &NodeId, limits: AttemptLimits) {
        self.0.post_step(request, Step::Attempt { node: node.clone(), limits });
    }
    fn refuse_request(&mut self, request: &RequestId, retry_after: Micros) {
        self.0.post_step(request, Step::Refuse { retry_after });
    }
    fn fail_request(&mut self, request: &RequestId) {
        self.0.post_step(request, Step::Fail);
    }
    fn explain_end(&mut self, request: &RequestId, reason: EndReason) {
        if let Some(mailbox) = self.0.mailboxes.borrow().get(request) {
            mailbox.end_reason.set(Some(reason));
        }
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

/// Owns the policy that decides on requests, and passes events to it.
pub struct Dispatcher {
    pub clock: Clock,
    pub stall_detector: StallDetector,
    policy: RefCell<Policy<PolicyHost>>,
    host_state: Rc<HostState>,
    request_ids: Rc<RequestIds>,
}

impl Dispatcher {
    /// Starts the policy; a shadow policy, if given, sees the same events.
    pub fn new(
        clock: Clock,
        settings: Settings,
        seed: u64,
        pool: Rc<Pool>,
        shadow: Option<Rc<ShadowPolicy>>,
        request_ids: Rc<RequestIds>,
    ) -> Self {
        let host_state = Rc::new(HostState {
            mailboxes: RefCell::default(),
            timers: RefCell::default(),
            timer_set: Notify::new(),
            pool,
            shadow,
        });
        let policy = RefCell::new(Policy::new(clock.now(), settings, seed, PolicyHost(host_state.clone())));
        Dispatcher { clock, stall_detector: StallDetector::new(clock), policy, host_state, request_ids }
    }

    /// Calls the policy, and then the shadow policy with `shadow_call`. False if the policy panicked.
    ///
    /// A panic is caught: otherwise it would end the timer's or the list's task and lose every held request.
    fn call_policy(
        &self,
        call: impl FnOnce(&mut Policy<PolicyHost>),
        shadow_call: impl FnOnce(&ShadowPolicy),
    ) -> bool {
        let result = catch_unwind(AssertUnwindSafe(|| call(&mut self.policy.borrow_mut())));
        if result.is_err() {
            log_line!("policy panicked during a call");
        }
        // After the active policy, and also if that panicked.
        self.host_state.shadow.as_deref().inspect(|shadow| shadow_call(shadow));
        result.is_ok()
    }

    /// Passes a list, or changes to it, to the policy.
    pub fn apply_list_update(&self, kind: ListUpdateKind, entries: Vec<NodeEntry>) {
        let (now, copy) = (self.clock.now(), self.host_state.shadow.as_ref().map(|_| entries.clone()));
        let shadow_call = |shadow: &ShadowPolicy| shadow.on_list_update(now, kind, copy.unwrap_or_default());
        self.call_policy(|policy| policy.on_list_update(now, kind, entries), shadow_call);
    }

    /// Switches to other settings; the list has to be passed again afterwards.
    pub fn apply_settings(&self, settings: Settings) {
        let now = self.clock.now();
        self.call_policy(|policy| policy.apply_settings(now, settings), |_| ());
    }

    /// Sets the rate, in fetches per second, that the fleet grants this process. Returns how many fetches requests have
    /// needed so far.
    pub fn set_origin_fetch_rate(&self, rate: Option<f64>) -> u64 {
        let (now, mut demand) = (self.clock.now(), 0);
        self.call_policy(|policy| demand = policy.set_origin_fetch_rate(now, rate), |_| ());
        demand
    }

    /// Caches that have stopped answering this process.
    pub fn silent_caches(&self) -> Vec<NodeId> {
        self.policy.borrow().silent_caches()
    }

    /// Other proxies probe this node for the next `duration`.
    pub fn defer_probe(&self, node: &NodeId, duration: Micros) {
        let until = self.clock.now() + duration;
        self.call_policy(|policy| policy.defer_probe(node, until), |_| ());
    }

    /// After a stall of this process, lets everything that arrived meanwhile be read before anything is sent. Otherwise
    /// a request decided on before the stall could go to a node that a list, received but not read, says is leaving.
    pub async fn catch_up_after_stall(&self) {
        if self.stall_detector.queued_since() < self.clock.now() {
            for _ in 0..CATCH_UP_TURNS {
                yield_now().await;
            }
        }
    }

    /// Whether this node is an origin.
    pub fn is_origin(&self, node: &NodeId) -> bool {
        self.policy.borrow().is_origin(node)
    }

    /// Number of listed caches that the policy avoids now.
    pub fn count_avoided_caches(&self) -> usize {
        self.policy.borrow().count_avoided_caches(self.clock.now())
    }

    /// A handle for a request; none while another request with the same id is in flight.
    pub fn open_handle(self: &Rc<Self>, id: RequestId) -> Option<RequestHandle> {
        let mailbox = Rc::new(Mailbox::default());
        let mut mailboxes = self.host_state.mailboxes.borrow_mut();
        if mailboxes.contains_key(&id) {
            return None;
        }
        mailboxes.insert(id.clone(), mailbox.clone());
        Some(RequestHandle {
            dispatcher: self.clone(),
            id,
            mailbox,
            id_claim: None,
            attempt_count: 0,
            in_flight_node: None,
            is_finished: true,
        })
    }

    /// Calls the policy at the times it requested, with a minimum interval between calls. Without it, a policy that
    /// requests a time in the past at each call would leave the proxy's single core no time for requests.
    pub async fn run_timers(&self) {
        let mut not_before = 0;
        loop {
            let next_at = self
                .host_state
                .timers
                .borrow()
                .first()
                .map_or(self.clock.now() + IDLE_SLEEP_US, |timer| timer.0);
            tokio::select! {
                () = sleep_until(self.clock.instant_at(next_at.max(not_before))) => {
                    let now = self.clock.now();
                    while let Some(label) = self.pop_due_timer(now) {
                        self.call_policy(|policy| policy.on_timer(now, label), |shadow| shadow.on_timer(now, label));
                    }
                    not_before = now + TIMER_INTERVAL_US;
                }
                () = self.host_state.timer_set.notified() => {}
            }
        }
    }

    fn pop_due_timer(&self, now: Micros) -> Option<u64> {
        let mut timers = self.host_state.timers.borrow_mut();
        let is_due = timers.first().is_some_and(|timer| timer.0 <= now);
        if is_due { timers.pop_first().map(|timer| timer.1) } else { None }
    }
}

/// A request's connection to the policy. If it is dropped before the request is over, it reports to the policy that
/// the client is gone and that the attempt in flight, if any, was cancelled.
pub struct RequestHandle {
    dispatcher: Rc<Dispatcher>,
    id: RequestId,
    mailbox: Rc<Mailbox>,
    /// Keeps the id open until the request is over.
    id_claim: Option<IdClaim>,
    attempt_count: usize,
    in_flight_node: Option<NodeId>,
    is_finished: bool,
}

impl RequestHandle {
    /// Claims the request's id among the processes of this proxy.
    pub async fn claim_id(&mut self, idempotency: Idempotency) -> Result<(), ClaimError> {
        self.id_claim = Some(self.dispatcher.request_ids.claim(&self.id, idempotency).await?);
        Ok(())
    }

    /// Stands for the request's id, once it is claimed.
    pub fn id_hash(&self) -> Option<IdHash> {
        self.id_claim.as_ref().map(IdClaim::id)
    }

    /// Records that the request may run from now on, before it is sent. It must not be sent if that fails.
    pub fn mark_used(&self) -> Result<(), ClaimError> {
        self.id_claim.as_ref().map_or(Ok(()), IdClaim::mark_used)
    }

    /// Records that the request has not run after all.
    pub fn mark_unused(&self) {
        self.id_claim.as_ref().inspect(|claim| claim.mark_unused());
    }

    /// Passes the request to the policy.
    pub fn submit(&mut self, request: IncomingRequest) {
        self.is_finished = false;
        let now = self.dispatcher.clock.now();
        let copy = self.dispatcher.host_state.shadow.as_ref().map(|shadow| {
            shadow.expect_request(&self.id);
            request.clone()
        });
        let shadow_call =
            |shadow: &ShadowPolicy| copy.into_iter().for_each(|request| shadow.on_request(now, request));
        self.fail_unless(self.dispatcher.call_policy(|policy| policy.on_request(now, request), shadow_call));
    }

    /// Fails the request if the policy could not decide on it.
    fn fail_unless(&self, decided: bool) {
        if !decided {
            self.dispatcher.host_state.post_step(&self.id, Step::Fail);
        }
    }

    /// Waits for the policy's next step; none if there is none by the deadline.
    pub async fn next_step(&mut self, deadline: Micros) -> Option<Step> {
        let step = async {
            loop {
                if let Some(step) = self.mailbox.step.take() {
                    return step;
                }
                self.mailbox.notify.notified().await;
            }
        };
        let step = timeout_at(self.dispatcher.clock.instant_at(deadline), step).await.ok()?;
        self.is_finished = !matches!(step, Step::Attempt { .. });
        Some(step)
    }

    /// Why the policy has ended the request, in words.
    pub fn end_reason(&self) -> &'static str {
        self.mailbox.end_reason.get().map_or("no decision by the policy", EndReason::as_str)
    }

    /// Records that the attempt at this node is in flight.
    pub fn attempt_started(&mut self, node: &NodeId) {
        self.in_flight_node = Some(node.clone());
    }

    /// Reports to the policy how the attempt in flight has ended, after `latency`.
    pub fn attempt_ended(&mut self, status: AttemptStatus, latency: Micros, first_on_connection: bool) {
        let Some(node) = self.in_flight_node.take() else { return };
        self.is_finished |= status == AttemptStatus::Served;
        let outcome = AttemptOutcome {
            attempt_index: self.attempt_count,
            status,
            latency,
            request_finished: self.is_finished,
            first_on_connection,
        };
        self.attempt_count += 1;
        let (now, id) = (self.dispatcher.clock.now(), &self.id);
        let shadow_call = |shadow: &ShadowPolicy| shadow.on_attempt_outcome(now, id, &node, outcome);
        self.fail_unless(
            self.dispatcher
                .call_policy(|policy| policy.on_attempt_outcome(now, id, &node, outcome), shadow_call),
        );
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        let (now, id) = (self.dispatcher.clock.now(), self.id.clone());
        // If the policy has chosen an attempt and the step was not taken yet, the policy would count that attempt as in
        // flight permanently. So it is reported as cancelled below.
        if let Some(Step::Attempt { node, .. }) = self.mailbox.step.take() {
            self.in_flight_node.get_or_insert(node);
        }
        if !std::mem::replace(&mut self.is_finished, true) {
            self.dispatcher.call_policy(
                |policy| policy.on_request_closed(now, &id),
                |shadow| shadow.on_request_closed(now, &id),
            );
        }
        self.attempt_ended(AttemptStatus::Cancelled, 0, false);
        self.dispatcher.host_state.shadow.as_deref().inspect(|shadow| shadow.finish_request(now, &id));
        self.dispatcher.host_state.mailboxes.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
