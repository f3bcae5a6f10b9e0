//! Every order of askings, grants, returns, starts and time between two members; a word may come at any later time, any
//! number of times or never, and a member's clock may run fast by what it is allowed.

use flintwell_shared_limits::loans::{DRIFT, EACH, Loans, SPAN};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const TURN: u64 = SPAN / 2; // ms; a loan lasts two of them
const TURNS: u64 = 5;
const ASKS: u64 = 2; // of both together
const UNITS: u32 = 700;
const LATER: u64 = 10_000; // ms; long after both began

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Word {
    Ask(u64),
    Grant(u64, u32),
    Back(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    turn: u64,
    asked: u64,
    lives: [u64; 2],
    members: [Loans; 2],
    /// Whom to, and what; never taken out, so that it may come again.
    words: BTreeSet<(usize, Word)>,
    restarts: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Happens {
    Ask(usize),
    Comes(usize, Word),
    Back(usize),
    Restart(usize),
    Time,
}

struct Two;

/// The first member's clock runs fast, the other's slow, as far as they may.
fn clock(n: usize, turn: u64) -> u64 {
    let rate = if n == 0 { 1.0 + DRIFT / 2.0 } else { 1.0 - DRIFT / 2.0 };
    LATER + (turn as f64 * TURN as f64 * rate) as u64
}

impl Model for Two {
    type State = State;
    type Action = Happens;

    fn init_states(&self) -> Vec<State> {
        let members = [Loans::start(0, 1), Loans::start(0, 1)];
        vec![State { turn: 0, asked: 0, lives: [1, 1], members, words: BTreeSet::new(), restarts: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Happens>) {
        for n in 0..2 {
            if state.asked < ASKS {
                actions.push(Happens::Ask(n));
            }
            if state.restarts < 1 {
                actions.push(Happens::Restart(n));
            }
            actions.push(Happens::Back(n));
        }
        actions.extend(state.words.iter().map(|(to, word)| Happens::Comes(*to, word.clone())));
        if state.turn < TURNS {
            actions.push(Happens::Time);
        }
    }

    fn next_state(&self, state: &State, happens: Happens) -> Option<State> {
        let mut next = state.clone();
        let at = |n: usize| clock(n, state.turn);
        match happens {
            Happens::Ask(n) => {
                let loan = next.members[n].asks(at(n), 1 - n as u32)?;
                next.words.insert((1 - n, Word::Ask(loan)));
                next.asked += 1;
            }
            Happens::Comes(n, word) => {
                let other = 1 - n as u32;
                match word {
                    Word::Ask(loan) => {
                        let units = next.members[n].lends(at(n), other, loan, UNITS);
                        if units > 0 {
                            next.words.insert((1 - n, Word::Grant(loan, units)));
                        }
                    }
                    Word::Grant(loan, units) => next.members[n].takes(at(n), other, loan, units),
                    Word::Back(loan) => next.members[n].returned(other, loan),
                }
            }
            Happens::Back(n) => {
                for (owner, loan) in next.members[n].gives_back(at(n), 0) {
                    next.words.insert((owner as usize, Word::Back(loan)));
                }
            }
            Happens::Restart(n) => {
                next.lives[n] += 1;
                next.members[n] = Loans::start(at(n), next.lives[n]);
                next.restarts += 1;
            }
            Happens::Time => next.turn += 1,
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no more in use than there is", |_, state| {
                in_use(state, 0) + in_use(state, 1) <= 2 * EACH
            }),
            Property::<Self>::sometimes("loans are made", |_, state| in_use(state, 0) > EACH),
        ]
    }
}

fn in_use(state: &State, n: usize) -> u32 {
    state.members[n].has(clock(n, state.turn))
}

#[test]
fn in_no_order_of_words_starts_and_time_is_more_in_use_than_there_is() {
    let checked = Two.checker().threads(2).spawn_bfs().join();
    checked.assert_properties();
    println!("{} states", checked.unique_state_count());
}
