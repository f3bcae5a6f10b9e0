//! The life of one access, from top to bottom; the module chooses at each point of choice.

use crate::accesses::desk::{Desk, Seat, Step};
use crate::clients::answer::Answer;
use crate::clients::decode::Access;
use crate::nodes::handoff::{HandOff, HandOffs};
use crate::nodes::link::Cause;
use crate::nodes::relay::Content;
use crate::process::count::one_more;
use crate::staff::counts::Counts;
use flintwell_core::interface::{Ending, Micros};
use std::rc::Rc;
use std::time::Instant;
use tower::ServiceExt;

pub async fn serve(access: Access, desk: &Rc<Desk>, hand_offs: &HandOffs, counts: &Rc<Counts>) -> Answer {
    let (in_hand, case) = (counts.takes(), access.use_case);
    let Some(mut seat) = desk.seat(access.id.clone()) else { return Answer::InHand };
    // Danger: what waits while the process stands still is read late; counted from then on, it would look quick.
    let began = desk.pulse.waited_from();
    let mut answer = decide(access, began, &mut seat, desk, hand_offs, counts).await;
    counts.took(desk.clock.now() - began);
    answer.end().inspect(|&end| counts.ended(case, end));
    if let Answer::Honoured(Content::Long(relay)) = &mut answer {
        relay.carries(seat, in_hand, counts.clone(), case);
    }
    answer
}

async fn decide(
    access: Access,
    began: Micros,
    seat: &mut Seat,
    desk: &Rc<Desk>,
    hand_offs: &HandOffs,
    counts: &Counts,
) -> Answer {
    let access = Rc::new(access);
    let outer_limit = access.outer_limit(began);
    seat.arrives(access.arrival(outer_limit));
    loop {
        match seat.next(outer_limit).await {
            Some(Step::HandOff { node, allow_for }) => {
                seat.sends(&node);
                desk.settles().await;
                // Danger: a request that was read together with its client's end, or whose client left while it was held,
                // would be sent on for nobody; the reader tells of that end only later.
                if access.client.left() {
                    return Answer::Left;
                }
                let sent_at = desk.clock.now();
                let fetch = desk.is_origin(&node);
                let chosen_at = Instant::now();
                let hand_off = HandOff { access: access.clone(), node, allow_for, chosen_at };
                let ended = hand_offs.clone().oneshot(hand_off).await;
                let wait = desk.clock.now() - sent_at;
                // What the origin refused has cost it something, too.
                let reached = ended.as_ref().err().is_none_or(|broken| !broken.ending().never_ran());
                if fetch && reached {
                    one_more(&counts.fetches);
                }
                match ended {
                    Ok(answered) => {
                        if fetch && answered.ending == Ending::Full {
                            one_more(&counts.refused);
                        }
                        seat.ended(answered.ending, wait, answered.first);
                        if answered.ending == Ending::Honoured {
                            return Answer::Honoured(answered.body);
                        }
                    }
                    Err(broken) => {
                        // A body that is not kept had this one hand-off.
                        if let Some(why) = access.body.passing().and_then(|end| end.broken.take()) {
                            return Answer::Malformed(why);
                        }
                        if broken.cause == Cause::Left {
                            return Answer::Left;
                        }
                        seat.ended(broken.ending(), wait, false);
                    }
                }
            }
            Some(Step::TurnBack { stay_away }) => return Answer::TurnedBack { stay_away },
            // Danger: an access nobody answers by its outer limit is lost; whatever the module does, it is
            // broken off then, which promises nothing.
            Some(Step::BreakOff) | None => return Answer::BrokenOff,
        }
    }
}
