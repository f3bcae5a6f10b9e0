//! The life of one request, from top to bottom; the module chooses at each point of choice.

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
use flintwell_core::interface::{Ending, Micros};
use std::rc::Rc;
use std::time::Instant;
use tower::ServiceExt;

const LIST_WAIT_PARTS: Micros = 3; // a new process waits for its list for one of so many parts of what a request has left
const LIST_WAIT_MOST: Micros = 1_000_000; // us; the longest

pub async fn serve(
    request: ClientRequest,
    dispatcher: &Rc<Dispatcher>,
    lease: &ListLease,
    attempts: &AttemptService,
    counts: &Rc<Metrics>,
) -> Answer {
    let (in_hand, case) = (counts.start_request(), request.class);
    let Some(mut handle) = dispatcher.handle(request.id.clone()) else { return Answer::InHand };
    // Danger: what waits while the process stands still is read late; counted from then on, it would look quick.
    let began = dispatcher.pulse.queued_since();
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
                dispatcher.settles().await;
                // Danger: a request that was read together with its client's end, or whose client left while it was held,
                // would be sent on for nobody; the reader tells of that end only later.
                if request.client.left() {
                    return Answer::Left;
                }
                let sent_at = dispatcher.clock.now();
                let fetch = dispatcher.is_origin(&node);
                let chosen_at = Instant::now();
                let attempt = Attempt { request: request.clone(), node, timeout: allow_for, chosen_at };
                let ended = attempts.clone().oneshot(attempt).await;
                let wait = dispatcher.clock.now() - sent_at;
                // What the origin refused has cost it something, too.
                let reached = ended.as_ref().err().is_none_or(|broken| !broken.ending().never_ran());
                if fetch && reached {
                    increment(&counts.origin_attempts);
                }
                match ended {
                    Ok(answered) => {
                        if fetch && answered.ending == Ending::Full {
                            increment(&counts.origin_refusals);
                        }
                        handle.ended(answered.ending, wait, answered.first_on_connection);
                        if answered.ending == Ending::Served {
                            return Answer::Served(answered.body);
                        }
                    }
                    Err(broken) => {
                        // A body that is not kept had this one attempt.
                        if let Some(why) = request.body.passing().and_then(|end| end.broken.take()) {
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
            // Danger: a request nobody answers by its deadline is lost; whatever the module does, it is
            // failed then, which promises nothing.
            Some(Step::Fail) | None => return Answer::Failed,
        }
    }
}
