//! A request in flight, as its task sees it: the policy's steps come out, what happens to the request goes in.

use crate::requests::dispatcher::Dispatcher;
use crate::requests::id_hash::IdHash;
use crate::requests::policy_host::{Mailbox, Step};
use crate::requests::request_ids::{ClaimError, IdClaim};
use crate::requests::shadow::ShadowPolicy;
use flintwell_core::interface::{
    AttemptOutcome, AttemptStatus, EndReason, Idempotency, IncomingRequest, Micros, NodeId, RequestId,
};
use std::rc::Rc;
use tokio::time::timeout_at;

/// A request's connection to the policy. If it is dropped before the request is over, it reports to the policy that
/// the client is gone and that the attempt in flight, if any, was cancelled.
pub struct RequestHandle {
    dispatcher: Rc<Dispatcher>,
    id: RequestId,
    pub(super) mailbox: Rc<Mailbox>,
    /// Keeps the id open until the request is over.
    id_claim: Option<IdClaim>,
    attempt_count: usize,
    in_flight_node: Option<NodeId>,
    is_finished: bool,
}

impl RequestHandle {
    pub(super) fn new(dispatcher: Rc<Dispatcher>, id: RequestId, mailbox: Rc<Mailbox>) -> Self {
        RequestHandle {
            dispatcher,
            id,
            mailbox,
            id_claim: None,
            attempt_count: 0,
            in_flight_node: None,
            is_finished: true,
        }
    }

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
    pub(super) fn fail_unless(&self, decided: bool) {
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
