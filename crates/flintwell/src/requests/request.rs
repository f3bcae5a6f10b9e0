//! Serves one request from start to end; the policy makes each decision.

use crate::clients::decode::ClientRequest;
use crate::clients::response::{ClientResponse, MEMORY_RETRY_AFTER_US};
use crate::fleet::lease::ListLease;
use crate::log_request_line;
use crate::management::metrics::Metrics;
use crate::memory::plan::MemoryBudgets;
use crate::nodes::attempt::{Attempt, AttemptService};
use crate::nodes::exchange_error::{ExchangeError, FailureCause};
use crate::nodes::response_body::ResponseBody;
use crate::process::clock::to_duration;
use crate::process::counter::increment;
use crate::requests::dispatcher::Dispatcher;
use crate::requests::policy_host::Step;
use crate::requests::request_handle::RequestHandle;
use crate::requests::request_ids::{ClaimError, UNDETERMINED_RETRY_AFTER_US};
use flintwell_core::interface::{AttemptStatus, Idempotency, Micros, NodeId};
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
    if let Err(error) = handle.claim_id(request.idempotency).await {
        let response = without_claim(&request, error);
        response.outcome().inspect(|&outcome| metrics.record_outcome(class, outcome));
        return response;
    }
    // A request that arrives while the process is stalled is read late. Measured from the read, its response time would
    // look too short and its deadline would be too late.
    let received_at = dispatcher.stall_detector.queued_since();
    let list_wait = (request.deadline(received_at) - dispatcher.clock.now()) / LIST_WAIT_DIVISOR;
    lease.wait_until_first_valid(to_duration(list_wait.min(MAX_LIST_WAIT_US))).await;
    let mut response =
        run(request, received_at, &mut handle, dispatcher, attempt_service, budgets, metrics).await;
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

async fn run(
    request: ClientRequest,
    received_at: Micros,
    handle: &mut RequestHandle,
    dispatcher: &Rc<Dispatcher>,
    attempt_service: &AttemptService,
    budgets: &MemoryBudgets,
    metrics: &Metrics,
) -> ClientResponse {
    let request = Rc::new(request);
    let deadline = request.deadline(received_at);
    handle.submit(request.to_incoming(deadline));
    loop {
        match handle.next_step(deadline).await {
            Some(Step::Attempt { node, limits }) => {
                handle.attempt_started(&node);
                dispatcher.catch_up_after_stall().await;
                // The client may have closed its connection right after the request, or while the request was held.
                // The HTTP server reports that only later, and the response to the attempt could not be delivered.
                if request.client.has_disconnected() {
                    return ClientResponse::ClientDisconnected;
                }
                let sent_at = dispatcher.clock.now();
                let is_fetch = dispatcher.is_origin(&node);
                let chosen_at = Instant::now();
                let attempt = Attempt {
                    request: request.clone(),
                    node: node.clone(),
                    timeout: limits.timeout,
                    send_by: limits.send_by.map(|at| dispatcher.clock.instant_at(at).into_std()),
                    chosen_at,
                };
                // Before it is sent: this task ends with its client's connection.
                if let Err(error) = handle.mark_used() {
                    return without_claim(&request, error);
                }
                let result = attempt_service.clone().oneshot(attempt).await;
                let latency = dispatcher.clock.now() - sent_at;
                // A request that the origin refused has cost it work, too.
                let reached_node = result.as_ref().err().is_none_or(|error| !error.status().never_ran());
                if is_fetch && reached_node {
                    increment(&metrics.origin_attempts);
                }
                let status = result.as_ref().map_or_else(ExchangeError::status, |response| response.status);
                metrics.record_attempt_end(status);
                if status.never_ran() {
                    handle.mark_unused();
                }
                if status != AttemptStatus::Served {
                    log_attempt_end(&request, &node, status, latency, result.as_ref().err());
                }
                match result {
                    Ok(response) => {
                        if is_fetch && response.status == AttemptStatus::Full {
                            increment(&metrics.origin_refusals);
                        }
                        handle.attempt_ended(response.status, latency, response.first_on_connection);
                        if response.status == AttemptStatus::Served {
                            let deadline = dispatcher.clock.instant_at(deadline).into_std();
                            return pass_on(response.body, &request, deadline, budgets, metrics).await;
                        }
                    }
                    Err(error) => {
                        // A streamed body allows this one attempt only.
                        if let Some(reason) = request.body.stream().and_then(|stream| stream.take_error()) {
                            return ClientResponse::Malformed(reason);
                        }
                        if error.cause == FailureCause::ClientDisconnected {
                            return ClientResponse::ClientDisconnected;
                        }
                        handle.attempt_ended(error.status(), latency, false);
                    }
                }
            }
            Some(Step::Refuse { retry_after }) => {
                log_request_line!(
                    "request {} is refused, retry after {retry_after} us: {}",
                    request.id,
                    handle.end_reason()
                );
                return ClientResponse::Refused { retry_after };
            }
            // A request without a response by its deadline is lost. So it fails then, whatever the policy does; a
            // failure makes no promise about the effect.
            step @ (Some(Step::Fail) | None) => {
                match step {
                    Some(_) => log_request_line!(
                        "request {} fails: no further attempt is allowed: {}",
                        request.id,
                        handle.end_reason()
                    ),
                    None => log_request_line!("request {} fails: its time is over", request.id),
                }
                return ClientResponse::Failed;
            }
        }
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
