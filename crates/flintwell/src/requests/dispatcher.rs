//! Adapter between requests and the policy (`flintwell-core`): holds the policy, and passes events and timers to it.

use crate::log_line;
use crate::nodes::pool::Pool;
use crate::process::clock::{Clock, StallDetector};
use crate::requests::policy_host::{HostState, Mailbox, PolicyHost};
use crate::requests::request_handle::RequestHandle;
use crate::requests::request_ids::RequestIds;
use crate::requests::shadow::ShadowPolicy;
use flintwell_core::interface::{ListUpdateKind, Micros, NodeEntry, NodeId, RequestId, Settings};
use flintwell_core::policy::Policy;
use std::cell::RefCell;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use tokio::task::yield_now;
use tokio::time::sleep_until;

const TIMER_INTERVAL_US: Micros = 1_000; // between timer calls; the resolution of the runtime's timers
// Runtime turns in which sockets, connections and the list are read; enough for a long list, too.
const CATCH_UP_TURNS: usize = 16;
const IDLE_SLEEP_US: Micros = 3_600_000_000; // sleep while no timer is set; setting one ends it

/// Owns the policy that decides on requests, and passes events to it.
pub struct Dispatcher {
    pub clock: Clock,
    pub stall_detector: StallDetector,
    policy: RefCell<Policy<PolicyHost>>,
    pub(super) host_state: Rc<HostState>,
    pub(super) request_ids: Rc<RequestIds>,
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
        let host_state = Rc::new(HostState::new(pool, shadow));
        let policy = RefCell::new(Policy::new(clock.now(), settings, seed, PolicyHost(host_state.clone())));
        Dispatcher { clock, stall_detector: StallDetector::new(clock), policy, host_state, request_ids }
    }

    /// Calls the policy, and then the shadow policy with `shadow_call`. False if the policy panicked.
    ///
    /// A panic is caught: otherwise it would end the timer's or the list's task and lose every held request.
    pub(super) fn call_policy(
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
        Some(RequestHandle::new(self.clone(), id, mailbox))
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

#[cfg(test)]
mod tests;
