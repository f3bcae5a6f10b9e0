//! Model check of loans between two members over every order of requests, grants, returns, restarts and time. A message
//! may arrive at any later time, any number of times or never, and the members' clocks differ as much as is allowed.

use flintwell_shared_limits::loans::{DRIFT, UNITS_PER_MEMBER, Loans, SPAN};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const STEP_MS: u64 = SPAN / 2; // a loan lasts two of them
const STEPS: u64 = 5;
const MAX_REQUESTS: u64 = 2; // by both members together
const UNITS: u32 = 700;
const START_MS: u64 = 10_000; // long after both members started

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request(u64),
    Grant(u64, u32),
    Return(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    step: u64,
    requests: u64,
    incarnations: [u64; 2],
    members: [Loans; 2],
    /// Recipient and message; never removed, so that a message may arrive again.
    messages: BTreeSet<(usize, Message)>,
    restarts: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    Request(usize),
    Receive(usize, Message),
    Return(usize),
    Restart(usize),
    Advance,
}

struct TwoMembers;

/// The first member's clock runs fast and the other's slow, as far as is allowed.
fn clock(n: usize, step: u64) -> u64 {
    let rate = if n == 0 { 1.0 + DRIFT / 2.0 } else { 1.0 - DRIFT / 2.0 };
    START_MS + (step as f64 * STEP_MS as f64 * rate) as u64
}

impl Model for TwoMembers {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        let members = [Loans::start(0, 1), Loans::start(0, 1)];
        vec![State { step: 0, requests: 0, incarnations: [1, 1], members, messages: BTreeSet::new(), restarts: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Event>) {
        for n in 0..2 {
            if state.requests < MAX_REQUESTS {
                actions.push(Event::Request(n));
            }
            if state.restarts < 1 {
                actions.push(Event::Restart(n));
            }
            actions.push(Event::Return(n));
        }
        actions.extend(state.messages.iter().map(|(to, message)| Event::Receive(*to, message.clone())));
        if state.step < STEPS {
            actions.push(Event::Advance);
        }
    }

    fn next_state(&self, state: &State, event: Event) -> Option<State> {
        let mut next = state.clone();
        let at = |n: usize| clock(n, state.step);
        match event {
            Event::Request(n) => {
                let loan = next.members[n].asks(at(n), 1 - n as u32)?;
                next.messages.insert((1 - n, Message::Request(loan)));
                next.requests += 1;
            }
            Event::Receive(n, message) => {
                let other = 1 - n as u32;
                match message {
                    Message::Request(loan) => {
                        let units = next.members[n].lends(at(n), other, loan, UNITS);
                        if units > 0 {
                            next.messages.insert((1 - n, Message::Grant(loan, units)));
                        }
                    }
                    Message::Grant(loan, units) => next.members[n].takes(at(n), other, loan, units),
                    Message::Return(loan) => next.members[n].returned(other, loan),
                }
            }
            Event::Return(n) => {
                for (owner, loan) in next.members[n].gives_back(at(n), 0) {
                    next.messages.insert((owner as usize, Message::Return(loan)));
                }
            }
            Event::Restart(n) => {
                next.incarnations[n] += 1;
                next.members[n] = Loans::start(at(n), next.incarnations[n]);
                next.restarts += 1;
            }
            Event::Advance => next.step += 1,
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("units in use never exceed those that exist", |_, state| {
                in_use(state, 0) + in_use(state, 1) <= 2 * UNITS_PER_MEMBER
            }),
            Property::<Self>::sometimes("loans are granted", |_, state| in_use(state, 0) > UNITS_PER_MEMBER),
        ]
    }
}

fn in_use(state: &State, n: usize) -> u32 {
    state.members[n].has(clock(n, state.step))
}

#[test]
fn units_in_use_never_exceed_those_that_exist_in_any_order_of_events() {
    let checked = TwoMembers.checker().threads(2).spawn_bfs().join();
    checked.assert_properties();
    println!("{} states", checked.unique_state_count());
}
