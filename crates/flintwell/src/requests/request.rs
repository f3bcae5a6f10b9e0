//! Serves one request from start to end; the policy makes each decision.

use crate::clients::decode::ClientRequest;
use crate::clients::response::{ClientResponse, MEMORY_RETRY_AFTER_US};
use crate::fleet::lease::ListLease;
use crate::log_request_line;
use crate::management::metrics::Metrics;
use crate::memory::plan::MemoryBudgets;
use crate::nodes::attempt::{Attempt, AttemptService, NodeResponse};
use crate::nodes::exchange_error::{ExchangeError, FailureCause};
use crate::nodes::response_body::ResponseBody;
use crate::process::clock::to_duration;
use crate::process::counter::increment;
use crate::requests::dispatcher::Dispatcher;
use crate::requests::policy_host::Step;
use crate::requests::request_handle::RequestHandle;
use crate::requests::request_ids::{ClaimError, UNDETERMINED_RETRY_AFTER_US};
use flintwell_core::interface::{AttemptLimits, AttemptStatus, Idempotency, Micros, NodeId};
use std::rc::Rc;
use std::time::Instant;
use tower::ServiceExt;

// A new process waits for its list for one third of the time that a request has left.
const LIST_WAIT_DIVISOR: Micros = 3;
const MAX_LIST_WAIT_US: Micros = 1_000_000;

/// Serves a request and counts its outcome.
pub async fn serve(
    request: ClientRequest,
    dispatcher: &Rc<Dispatcher>,
    lease: &ListLease,
    attempt_service: &AttemptService,
    budgets: &MemoryBudgets,
    metrics: &Rc<Metrics>,
) -> ClientResponse {
    let (in_flight, class) = (metrics.start_request(), request.class);
    let Some(mut handle) = dispatcher.open_handle(request.id.clone()) else {
        return ClientResponse::DuplicateId;
    };
    // A request that arrives while the process is stalled is read late. Measured from the read, its response time would
    // look too short and its deadline would be too late.
    let received_at = dispatcher.stall_detector.queued_since();
    if let Err(error) = handle.claim_id(request.idempotency).await {
        let response = without_claim(&request, error);
        response.outcome().inspect(|&outcome| metrics.record_outcome(class, outcome));
        return response;
    }
    let list_wait = (request.deadline(received_at) - dispatcher.clock.now()) / LIST_WAIT_DIVISOR;
    lease.wait_until_first_valid(to_duration(list_wait.min(MAX_LIST_WAIT_US))).await;
    let deadline = request.deadline(received_at);
    let exchange = Exchange {
        request: Rc::new(request),
        handle: &mut handle,
        dispatcher,
        attempt_service,
        budgets,
        metrics,
        deadline,
    };
    let mut response = exchange.run().await;
    metrics.record_latency(dispatcher.clock.now() - received_at);
    response.outcome().inspect(|&outcome| metrics.record_outcome(class, outcome));
    if let ClientResponse::Served(ResponseBody::Streamed(body)) = &mut response {
        body.attach_request(handle, in_flight, metrics.clone(), class);
    }
    response
}

/// Response to a request that must not be sent under its id.
fn without_claim(request: &ClientRequest, error: ClaimError) -> ClientResponse {
    match error {
        ClaimError::Duplicate => ClientResponse::DuplicateId,
        ClaimError::Undetermined => {
            log_request_line!("request {} is refused: it may have run at another process", request.id);
            ClientResponse::Refused { retry_after: UNDETERMINED_RETRY_AFTER_US }
        }
    }
}

/// One request and what its attempts need.
struct Exchange<'a> {
    request: Rc<ClientRequest>,
    handle: &'a mut RequestHandle,
    dispatcher: &'a Rc<Dispatcher>,
    attempt_service: &'a AttemptService,
    budgets: &'a MemoryBudgets,
    metrics: &'a Metrics,
    deadline: Micros,
}

impl Exchange<'_> {
    /// Carries out the policy's steps until one of them gives the response.
    async fn run(mut self) -> ClientResponse {
        self.handle.submit(self.request.to_incoming(self.deadline));
        loop {
            match self.handle.next_step(self.deadline).await {
                Some(Step::Attempt { node, limits }) => {
                    if let Some(response) = self.attempt(node, limits).await {
                        return response;
                    }
                }
                Some(Step::Refuse { retry_after }) => return self.refuse(retry_after),
                Some(Step::Fail) => return self.fail(),
                // A request without a response by its deadline is lost. So it fails then, whatever the policy does; a
                // failure makes no promise about the effect.
                None => return self.fail_late(),
            }
        }
    }

    /// Attempts the request at a node. Returns the response if this was the last attempt.
    async fn attempt(&mut self, node: NodeId, limits: AttemptLimits) -> Option<ClientResponse> {
        self.handle.attempt_started(&node);
        self.dispatcher.catch_up_after_stall().await;
        // The client may have closed its connection right after the request, or while the request was held. The HTTP
        // server reports that only later, and the response to the attempt could not be delivered.
        if self.request.client.has_disconnected() {
            return Some(ClientResponse::ClientDisconnected);
        }
        let sent_at = self.dispatcher.clock.now();
        let attempt = Attempt {
            request: self.request.clone(),
            node: node.clone(),
            timeout: limits.timeout,
            send_by: limits.send_by.map(|at| self.dispatcher.clock.instant_at(at).into_std()),
            chosen_at: Instant::now(),
        };
        let is_fetch = self.dispatcher.is_origin(&node);
        // Before it is sent: this task ends with its client's connection.
        if let Err(error) = self.handle.mark_used() {
            return Some(without_claim(&self.request, error));
        }
        let result = self.attempt_service.clone().oneshot(attempt).await;
        let latency = self.dispatcher.clock.now() - sent_at;
        self.record_attempt(&node, is_fetch, latency, &result);
        match result {
            Ok(response) => self.finish_attempt(response, latency).await,
            Err(error) => self.finish_failed_attempt(&error, latency),
        }
    }

    fn record_attempt(
        &self,
        node: &NodeId,
        is_fetch: bool,
        latency: Micros,
        result: &Result<NodeResponse, ExchangeError>,
    ) {
        let error = result.as_ref().err();
        let status = result.as_ref().map_or_else(ExchangeError::status, |response| response.status);
        self.metrics.record_attempt_end(status);
        // A request that the origin refused has cost it work, too.
        if is_fetch && error.is_none_or(|error| !error.status().never_ran()) {
            increment(&self.metrics.origin_attempts);
        }
        if is_fetch && error.is_none() && status == AttemptStatus::Full {
            increment(&self.metrics.origin_refusals);
        }
        if status.never_ran() {
            self.handle.mark_unused();
        }
        if status != AttemptStatus::Served {
            log_attempt_end(&self.request, node, status, latency, error);
        }
    }

    async fn finish_attempt(&mut self, response: NodeResponse, latency: Micros) -> Option<ClientResponse> {
        self.handle.attempt_ended(response.status, latency, response.first_on_connection);
        if response.status != AttemptStatus::Served {
            return None;
        }
        let deadline = self.dispatcher.clock.instant_at(self.deadline).into_std();
        Some(pass_on(response.body, &self.request, deadline, self.budgets, self.metrics).await)
    }

    fn finish_failed_attempt(&mut self, error: &ExchangeError, latency: Micros) -> Option<ClientResponse> {
        // A streamed body allows this one attempt only.
        if let Some(reason) = self.request.body.stream().and_then(|stream| stream.take_error()) {
            return Some(ClientResponse::Malformed(reason));
        }
        if error.cause == FailureCause::ClientDisconnected {
            return Some(ClientResponse::ClientDisconnected);
        }
        self.handle.attempt_ended(error.status(), latency, false);
        None
    }

    fn refuse(&self, retry_after: Micros) -> ClientResponse {
        let (id, reason) = (&self.request.id, self.handle.end_reason());
        log_request_line!("request {id} is refused, retry after {retry_after} us: {reason}");
        ClientResponse::Refused { retry_after }
    }

    fn fail(&self) -> ClientResponse {
        let (id, reason) = (&self.request.id, self.handle.end_reason());
        log_request_line!("request {id} fails: no further attempt is allowed: {reason}");
        ClientResponse::Failed
    }

    fn fail_late(&self) -> ClientResponse {
        log_request_line!("request {} fails: its time is over", self.request.id);
        ClientResponse::Failed
    }
}

/// Passes a response on, if there is memory for a long one before it is too late to say that there is none.
async fn pass_on(
    body: ResponseBody,
    request: &ClientRequest,
    deadline: Instant,
    budgets: &MemoryBudgets,
    metrics: &Metrics,
) -> ClientResponse {
    if let ResponseBody::Streamed(streamed) = &body
        && !streamed.charge_transfer(budgets, deadline).await
    {
        increment(&metrics.responses_without_memory);
        log_request_line!("request {}: no memory to pass on its long response", request.id);
        // It has run at its node.
        return match request.idempotency {
            Idempotency::Safe => ClientResponse::Refused { retry_after: MEMORY_RETRY_AFTER_US },
            Idempotency::Keyed | Idempotency::Unsafe => ClientResponse::Failed,
        };
    }
    ClientResponse::Served(body)
}

/// Logs an attempt that did not serve the request; the policy's next step for the request follows from it.
fn log_attempt_end(
    request: &ClientRequest,
    node: &NodeId,
    status: AttemptStatus,
    latency: Micros,
    error: Option<&ExchangeError>,
) {
    let (id, status) = (&request.id, status.name());
    match error {
        Some(error) => log_request_line!("request {id}: {status} at {node} after {latency} us: {error}"),
        None => log_request_line!("request {id}: {status} at {node} after {latency} us"),
    }
}
