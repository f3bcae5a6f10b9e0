//! The policy's host: the calls of the policy leave a step for a request's handle or set a timer, and never re-enter the
//! policy.

use crate::log_line;
use crate::nodes::pool::Pool;
use crate::requests::shadow::{Decision, ShadowPolicy};
use flintwell_core::interface::{AttemptLimits, EndReason, Host, Micros, NodeId, RequestId};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use tokio::sync::Notify;

/// The next step of a request.
pub enum Step {
    Attempt { node: NodeId, limits: AttemptLimits },
    Refuse { retry_after: Micros },
    Fail,
}

/// Holds the next step of a request until its handle takes it.
#[derive(Default)]
pub(super) struct Mailbox {
    pub step: RefCell<Option<Step>>,
    pub notify: Notify,
    /// Why the policy ends the request, once it does.
    pub end_reason: Cell<Option<EndReason>>,
}

/// State that the policy's calls to its host act on.
pub(super) struct HostState {
    pub mailboxes: RefCell<HashMap<RequestId, Rc<Mailbox>>>,
    pub timers: RefCell<BTreeSet<(Micros, u64)>>,
    pub timer_set: Notify,
    pub shadow: Option<Rc<ShadowPolicy>>,
    pool: Rc<Pool>,
}

impl HostState {
    pub fn new(pool: Rc<Pool>, shadow: Option<Rc<ShadowPolicy>>) -> Self {
        HostState {
            mailboxes: RefCell::default(),
            timers: RefCell::default(),
            timer_set: Notify::new(),
            shadow,
            pool,
        }
    }

    /// Leaves a step for the handle of this request.
    pub fn post_step(&self, request: &RequestId, step: Step) {
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

/// Implements the policy's interface to its host.
pub(super) struct PolicyHost(pub Rc<HostState>);

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
