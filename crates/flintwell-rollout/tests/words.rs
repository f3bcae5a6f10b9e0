//! Every order of words of two who roll out, of ends of the process, disks that fail and time passing, at one member.
//! Members share nothing, so one stands for all; and any word may come at any time, which is more than any loss,
//! doubling or delay between them and those who roll out can bring about.

use flintwell_rollout::member::{Member, Record};
use flintwell_rollout::wire::{EpochRequest, PROTOCOL_VERSION, StageRequest, hash};
use serde_json::json;
use stateright::{Checker, Model, Property};

const WITHIN: u64 = 2; // turns of time that a change stays unconfirmed
const TIME: u64 = 10; // turns looked at: two changes one after the other

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    member: Member,
    disk: Option<Record>,
    /// The epoch that was in force unconfirmed, and since when without a word.
    spoken: Option<(u64, u64)>,
    /// Epochs that were confirmed here, and whether anyone asked to go back from them since.
    confirmed: Vec<u64>,
    /// A word of an epoch under the fence was taken.
    taken_under_fence: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Happens {
    Stage(u64),
    Apply(u64),
    Renew(u64),
    Confirm(u64),
    Revert(u64),
    /// Applied, but the disk is full.
    ApplyFails(u64),
    Restart,
    Time,
}

struct OneMember;

fn named(epoch: u64) -> EpochRequest {
    EpochRequest {
        protocol: PROTOCOL_VERSION,
        fleet: "f".into(),
        epoch,
        hash: hash(&json!({ "v": epoch })),
        confirm_timeout_ms: WITHIN,
        stage: 0,
    }
}

impl Model for OneMember {
    type State = State;
    type Action = Happens;

    fn init_states(&self) -> Vec<State> {
        let member = Member::new("f", None, &json!({}));
        let (disk, spoken, confirmed) = (None, None, Vec::new());
        vec![State { now: 0, member, disk, spoken, confirmed, taken_under_fence: false }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Happens>) {
        for epoch in [1, 2, 3] {
            use Happens::*;
            actions.extend([Stage(epoch), Apply(epoch), Renew(epoch), Confirm(epoch), Revert(epoch)]);
            actions.push(ApplyFails(epoch));
        }
        actions.push(Happens::Restart);
        if state.now < TIME {
            actions.push(Happens::Time);
        }
    }

    fn next_state(&self, last: &State, action: Happens) -> Option<State> {
        let mut state = last.clone();
        let (now, fence) = (state.now, state.member.record().fence);
        let before = state.member.active().epoch;
        let word;
        let step = match action {
            Happens::Stage(epoch) => {
                let settings = json!({ "v": epoch });
                let (fleet, hash) = ("f".into(), hash(&settings));
                let stage = StageRequest { protocol: PROTOCOL_VERSION, fleet, epoch, hash, settings };
                word = epoch;
                state.member.stage(&stage, |_, _| Ok(())).ok()?
            }
            Happens::Apply(epoch) => {
                word = epoch;
                state.member.apply(now, &named(epoch)).ok()??
            }
            // Nothing is taken of a step that could not be written.
            Happens::ApplyFails(epoch) => {
                state.member.apply(now, &named(epoch)).ok()??;
                return None;
            }
            Happens::Renew(epoch) => {
                state.member.renew(now, &named(epoch)).ok()?;
                state.taken_under_fence |= epoch < fence;
                if state.member.record().unconfirmed {
                    state.spoken = Some((epoch, now));
                }
                return Some(state);
            }
            Happens::Confirm(epoch) => {
                word = epoch;
                let step = state.member.confirm(&named(epoch)).ok()??;
                state.confirmed.push(epoch);
                step
            }
            Happens::Revert(epoch) => {
                state.disk = Some(state.member.revert(&named(epoch)).ok()?);
                state.taken_under_fence |= epoch < fence;
                state.confirmed.retain(|&one| one != epoch);
                if state.member.active().epoch != before {
                    state.spoken = None;
                }
                return Some(state);
            }
            Happens::Restart => {
                state.member = Member::new("f", state.disk.clone(), &json!({}));
                state.spoken = None;
                return Some(state);
            }
            Happens::Time => {
                state.now += 1;
                if let Some(record) = state.member.tick(state.now) {
                    (state.disk, state.spoken) = (Some(record), None);
                }
                return Some(state);
            }
        };
        state.disk = Some(step.record.clone());
        state.member.commit(step);
        state.taken_under_fence |= word < fence;
        let (record, epoch) = (state.member.record(), state.member.active().epoch);
        state.spoken = match state.spoken {
            _ if !record.unconfirmed => None,
            Some(spoken) if spoken.0 == epoch => Some(spoken),
            _ => Some((epoch, now)),
        };
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("unconfirmed stays for its time at most", |_, state: &State| {
                state.spoken.is_none_or(|(_, since)| state.now < since + WITHIN)
                    && (state.member.record().unconfirmed == state.spoken.is_some())
            }),
            Property::always("no word from under the fence is taken", |_, state: &State| {
                !state.taken_under_fence
            }),
            Property::always("a start brings back nothing that is not confirmed", |_, state: &State| {
                let started = Member::new("f", state.disk.clone(), &json!({}));
                let epoch = started.active().epoch;
                epoch == 0 || state.confirmed.contains(&epoch) || state.member.active().epoch == epoch
            }),
            Property::always("what is confirmed goes only by a word", |_, state: &State| {
                let last = state.confirmed.last();
                last.is_none_or(|&last| {
                    state.member.active().epoch >= last || state.member.record().fence > last
                })
            }),
            Property::sometimes("two changes one after the other", |_, state: &State| {
                state.confirmed.len() > 1 && state.member.active().epoch == 3
            }),
        ]
    }
}

#[test]
fn in_every_order_of_words_ends_and_times_the_properties_hold() {
    let checker = OneMember.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 700, "{} states", checker.unique_state_count());
    println!("{} states", checker.unique_state_count());
}
