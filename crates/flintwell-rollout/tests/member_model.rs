//! Model check of one member: every order of requests of several controllers, process restarts, failed writes and
//! expired timeouts. Members share no state, so one is enough; since any request may come at any time, this covers all
//! losses, duplicates and delays of requests.

use flintwell_rollout::member::{Member, Record};
use flintwell_rollout::wire::{EpochRequest, PROTOCOL_VERSION, StageRequest, hash};
use serde_json::json;
use stateright::{Checker, Model, Property};

const CONFIRM_TIMEOUT_STEPS: u64 = 2; // time steps of the model
const MAX_TIME_STEPS: u64 = 10; // explored: enough for two changes, one after the other

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    member: Member,
    stored_record: Option<Record>,
    /// The active unconfirmed epoch, and the time of the last request for it.
    unconfirmed_since: Option<(u64, u64)>,
    /// Epochs confirmed here and not reverted since.
    confirmed: Vec<u64>,
    /// A request with an epoch below the fence was accepted.
    accepted_below_fence: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Event {
    Stage(u64),
    Apply(u64),
    Renew(u64),
    Confirm(u64),
    Revert(u64),
    /// An apply whose record cannot be written.
    ApplyWithFailedWrite(u64),
    Restart,
    TimeStep,
}

struct SingleMember;

fn epoch_request(epoch: u64) -> EpochRequest {
    EpochRequest {
        protocol: PROTOCOL_VERSION,
        fleet: "f".into(),
        epoch,
        hash: hash(&json!({ "v": epoch })),
        confirm_timeout_ms: CONFIRM_TIMEOUT_STEPS,
        stage: 0,
    }
}

impl Model for SingleMember {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        let member = Member::new("f", None, &json!({}));
        let (stored_record, unconfirmed_since, confirmed) = (None, None, Vec::new());
        vec![State {
            now: 0,
            member,
            stored_record,
            unconfirmed_since,
            confirmed,
            accepted_below_fence: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Event>) {
        for epoch in [1, 2, 3] {
            use Event::*;
            actions.extend([Stage(epoch), Apply(epoch), Renew(epoch), Confirm(epoch), Revert(epoch)]);
            actions.push(ApplyWithFailedWrite(epoch));
        }
        actions.push(Event::Restart);
        if state.now < MAX_TIME_STEPS {
            actions.push(Event::TimeStep);
        }
    }

    fn next_state(&self, last: &State, action: Event) -> Option<State> {
        let mut state = last.clone();
        let (now, fence) = (state.now, state.member.record().fence);
        let before = state.member.active().epoch;
        let requested_epoch;
        let transition = match action {
            Event::Stage(epoch) => {
                let settings = json!({ "v": epoch });
                let (fleet, hash) = ("f".into(), hash(&settings));
                let request = StageRequest { protocol: PROTOCOL_VERSION, fleet, epoch, hash, settings };
                requested_epoch = epoch;
                state.member.stage(&request, |_, _| Ok(())).ok()?
            }
            Event::Apply(epoch) => {
                requested_epoch = epoch;
                state.member.apply(now, &epoch_request(epoch)).ok()??
            }
            // A transition whose record could not be written is not committed.
            Event::ApplyWithFailedWrite(epoch) => {
                state.member.apply(now, &epoch_request(epoch)).ok()??;
                return None;
            }
            Event::Renew(epoch) => {
                state.member.renew(now, &epoch_request(epoch)).ok()?;
                state.accepted_below_fence |= epoch < fence;
                if state.member.record().unconfirmed {
                    state.unconfirmed_since = Some((epoch, now));
                }
                return Some(state);
            }
            Event::Confirm(epoch) => {
                requested_epoch = epoch;
                let transition = state.member.confirm(&epoch_request(epoch)).ok()??;
                state.confirmed.push(epoch);
                transition
            }
            Event::Revert(epoch) => {
                state.stored_record = Some(state.member.revert(&epoch_request(epoch)).ok()?);
                state.accepted_below_fence |= epoch < fence;
                state.confirmed.retain(|&confirmed| confirmed != epoch);
                if state.member.active().epoch != before {
                    state.unconfirmed_since = None;
                }
                return Some(state);
            }
            Event::Restart => {
                state.member = Member::new("f", state.stored_record.clone(), &json!({}));
                state.unconfirmed_since = None;
                return Some(state);
            }
            Event::TimeStep => {
                state.now += 1;
                if let Some(record) = state.member.tick(state.now) {
                    (state.stored_record, state.unconfirmed_since) = (Some(record), None);
                }
                return Some(state);
            }
        };
        state.stored_record = Some(transition.record.clone());
        state.member.commit(transition);
        state.accepted_below_fence |= requested_epoch < fence;
        let (record, epoch) = (state.member.record(), state.member.active().epoch);
        state.unconfirmed_since = match state.unconfirmed_since {
            _ if !record.unconfirmed => None,
            Some(since) if since.0 == epoch => Some(since),
            _ => Some((epoch, now)),
        };
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("an unconfirmed change is reverted on timeout", |_, state: &State| {
                state.unconfirmed_since.is_none_or(|(_, since)| state.now < since + CONFIRM_TIMEOUT_STEPS)
                    && (state.member.record().unconfirmed == state.unconfirmed_since.is_some())
            }),
            Property::always("no request below the fence is accepted", |_, state: &State| {
                !state.accepted_below_fence
            }),
            Property::always("a restart restores no unconfirmed change", |_, state: &State| {
                let restarted = Member::new("f", state.stored_record.clone(), &json!({}));
                let epoch = restarted.active().epoch;
                epoch == 0 || state.confirmed.contains(&epoch) || state.member.active().epoch == epoch
            }),
            Property::always("a confirmed change is replaced only on request", |_, state: &State| {
                let last = state.confirmed.last();
                last.is_none_or(|&last| {
                    state.member.active().epoch >= last || state.member.record().fence > last
                })
            }),
            Property::sometimes("two changes are confirmed, one after the other", |_, state: &State| {
                state.confirmed.len() > 1 && state.member.active().epoch == 3
            }),
        ]
    }
}

#[test]
fn properties_hold_in_every_order_of_requests_restarts_and_timeouts() {
    let checker = SingleMember.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 700, "{} states", checker.unique_state_count());
    println!("{} states", checker.unique_state_count());
}
