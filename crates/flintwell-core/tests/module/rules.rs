//! The module beside the plain model of the rules, on generated troubles.

use crate::world::*;
use flintwell_core::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const ENDINGS: [AttemptStatus; 11] = [
    AttemptStatus::Served,
    AttemptStatus::Miss,
    AttemptStatus::Full,
    AttemptStatus::Error,
    AttemptStatus::TimedOut,
    AttemptStatus::ConnectFailed,
    AttemptStatus::Reset,
    AttemptStatus::Cancelled,
    AttemptStatus::NotSent,
    AttemptStatus::Unknown,
    AttemptStatus::InvalidResponse,
];

/// What happens next; the numbers pick a class, key, node, request or ending.
fn step(play: &mut Play, ids: &mut Vec<RequestId>, (what, a, b, c): (u8, usize, usize, u32)) {
    let now = play.now();
    match what {
        0..=3 => ids.push(play.arrive(
            a % 7,
            &format!("k{}", b % 4),
            c.is_multiple_of(4) || (1..5).contains(&(a % 7)),
        )),
        4..=8 if !ids.is_empty() => {
            let recent = ids.len() - 1 - a % ids.len().min(12);
            play.end(&ids[recent].clone(), ENDINGS[if what < 7 { b % 2 } else { b % 11 }]);
        }
        9..=12 => play.pass(Micros::from(c % 120) * MS),
        13 => {
            let standing = [NodeState::Ready, NodeState::Draining, NodeState::Gone][b % 3];
            let started = if c.is_multiple_of(2) { 0 } else { now };
            play.list(ListUpdateKind::Delta, vec![entry(a as u32 % 7, standing, started)]);
        }
        14 => {
            let entries = (0..7).filter(|n| (b >> n) & 1 == 1 || *n == 0);
            play.list(ListUpdateKind::Snapshot, entries.map(|n| entry(n, NodeState::Ready, 0)).collect());
        }
        15 if !ids.is_empty() => {
            let id = ids[a % ids.len()].clone();
            let open = play.answer(&id).is_none();
            if open {
                play.world.0.borrow_mut().requests.get_mut(&id).expect("known").answer = Some("gone");
            }
            play.policy.on_request_closed(now, &id);
        }
        16 => play.policy.on_list_update(now, ListUpdateKind::Failed, Vec::new()),
        // Each class is another one's, with fewer attempts; those in hand know nothing of it.
        _ => {
            let mut other = settings();
            other.classes.rotate_left(a % 7);
            (other.max_attempts, other.fleet_size) = (1 + b % 4, 1 + c);
            (other.cache_aside, other.quotas) = (play.aside, play.quotas.clone());
            play.change(other);
        }
    }
}

fn agree(aside: bool) {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let steps = prop::collection::vec((0u8..18, 0usize..1000, 0usize..1000, 0u32..1000), 1..160);
    let outcome = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let fleet_size = [2, 400][steps.len() % 2];
        let quotas = [vec![], vec![5.0]][steps.len() / 2 % 2].clone();
        let mut play = Play::new(Settings { cache_aside: aside, fleet_size, quotas, ..settings() }, 6);
        let mut ids = Vec::new();
        for what in steps {
            step(&mut play, &mut ids, what);
        }
        play.pass(3 * SECOND);
        for id in &ids {
            prop_assert!(play.answer(id).is_some(), "{} has no final answer", id);
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn keeps_the_rules_beside_the_model_aside() {
    agree(true);
}

#[test]
fn keeps_the_rules_beside_the_model_through() {
    agree(false);
}

/// The same happenings give the same actions.
#[test]
fn same_happenings_same_actions() {
    let run = || {
        let (mut play, mut ids) = (Play::new(settings(), 6), Vec::new());
        for n in 0..3_000usize {
            let what = (n * 7 % 13) as u8;
            step(&mut play, &mut ids, (what, n * 31 % 997, n * 17 % 991, (n * 13 % 983) as u32));
        }
        let r = play.world.0.borrow();
        let sent = r.requests.values().flat_map(|a| a.sent.iter().map(|s| (s.node.clone(), s.at)));
        sent.collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
