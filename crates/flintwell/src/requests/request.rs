//! Serves one request from start to end; the decision module makes each decision.

use crate::clients::answer::Answer;
use crate::clients::decode::ClientRequest;
use crate::fleet::lease::ListLease;
use crate::nodes::attempt::{Attempt, AttemptService};
use crate::nodes::connection::FailureCause;
use crate::nodes::response_body::ResponseBody;
use crate::process::clock::to_duration;
use crate::process::counter::increment;
use crate::requests::dispatcher::{Dispatcher, RequestHandle, Step};
use crate::management::metrics::Metrics;
use flintwell_core::interface::{AttemptStatus, Micros};
use std::rc::Rc;
use std::time::Instant;
use tower::ServiceExt;

const LIST_WAIT_PARTS: Micros = 3; // a new process waits for its list for a third of the time that a request has left
const LIST_WAIT_MOST: Micros = 1_000_000;

/// Serves a request and counts its outcome.
pub async fn serve(
    request: ClientRequest,
    dispatcher: &Rc<Dispatcher>,
    lease: &ListLease,
    attempts: &AttemptService,
    counts: &Rc<Metrics>,
) -> Answer {
    let (in_hand, case) = (counts.start_request(), request.class);
    let Some(mut handle) = dispatcher.handle(request.id.clone()) else { return Answer::InHand };
    // A request that arrives while the process is stalled is read late. Measured from the read, its response time would
    // look too short and its deadline would be too late.
    let began = dispatcher.stall_detector.queued_since();
    let wait = (request.deadline(began) - dispatcher.clock.now()) / LIST_WAIT_PARTS;
    lease.wait_until_first_valid(to_duration(wait.min(LIST_WAIT_MOST))).await;
    let mut answer = decide(request, began, &mut handle, dispatcher, attempts, counts).await;
    counts.record_latency(dispatcher.clock.now() - began);
    answer.end().inspect(|&end| counts.record_outcome(case, end));
    if let Answer::Served(ResponseBody::Streamed(relay)) = &mut answer {
        relay.attach_request(handle, in_hand, counts.clone(), case);
    }
    answer
}

async fn decide(
    request: ClientRequest,
    began: Micros,
    handle: &mut RequestHandle,
    dispatcher: &Rc<Dispatcher>,
    attempts: &AttemptService,
    counts: &Metrics,
) -> Answer {
    let request = Rc::new(request);
    let deadline = request.deadline(began);
    handle.arrives(request.arrival(deadline));
    loop {
        match handle.next(deadline).await {
            Some(Step::Attempt { node, allow_for }) => {
                handle.sends(&node);
                dispatcher.catch_up_after_stall().await;
                // The client may have closed its connection right after the request, or while the request was held.
                // The HTTP server reports that only later, and the attempt would be made for nobody.
                if request.client.has_disconnected() {
                    return Answer::Left;
                }
                let sent_at = dispatcher.clock.now();
                let fetch = dispatcher.is_origin(&node);
                let chosen_at = Instant::now();
                let attempt = Attempt { request: request.clone(), node, timeout: allow_for, chosen_at };
                let ended = attempts.clone().oneshot(attempt).await;
                let wait = dispatcher.clock.now() - sent_at;
                // A request that the origin refused has cost it work, too.
                let reached = ended.as_ref().err().is_none_or(|broken| !broken.ending().never_ran());
                if fetch && reached {
                    increment(&counts.origin_attempts);
                }
                match ended {
                    Ok(answered) => {
                        if fetch && answered.ending == AttemptStatus::Full {
                            increment(&counts.origin_refusals);
                        }
                        handle.ended(answered.ending, wait, answered.first_on_connection);
                        if answered.ending == AttemptStatus::Served {
                            return Answer::Served(answered.body);
                        }
                    }
                    Err(broken) => {
                        // A streamed body allows this one attempt only.
                        if let Some(why) = request.body.stream_status().and_then(|end| end.error.take()) {
                            return Answer::Malformed(why);
                        }
                        if broken.cause == FailureCause::ClientDisconnected {
                            return Answer::Left;
                        }
                        handle.ended(broken.ending(), wait, false);
                    }
                }
            }
            Some(Step::Refuse { stay_away }) => return Answer::Refused { stay_away },
            // A request without a response by its deadline is lost. So it fails then, whatever the module does; a
            // failure makes no promise about the effect.
            Some(Step::Fail) | None => return Answer::Failed,
        }
    }
}
