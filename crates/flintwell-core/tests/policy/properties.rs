//! Property tests: the policy against the harness's reference model, with random sequences of events and
//! faults.

use crate::harness::*;
use flintwell_core::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const STATUSES: [AttemptStatus; 11] = [
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

/// Runs one event; the numbers select its kind and its class, key, node, request or attempt status.
fn run_event(harness: &mut Harness, ids: &mut Vec<RequestId>, (kind, a, b, c): (u8, usize, usize, u32)) {
    let now = harness.now();
    match kind {
        0..=3 => ids.push(harness.start_request(
            a % 7,
            &format!("k{}", b % 4),
            c.is_multiple_of(4) || (1..5).contains(&(a % 7)),
        )),
        4..=8 if !ids.is_empty() => {
            let recent = ids.len() - 1 - a % ids.len().min(12);
            harness.end_attempt(&ids[recent].clone(), STATUSES[if kind < 7 { b % 2 } else { b % 11 }]);
        }
        9..=12 => harness.advance(Micros::from(c % 120) * MS),
        13 => {
            let state = [NodeState::Ready, NodeState::Draining, NodeState::Gone][b % 3];
            let started_at = if c.is_multiple_of(2) { 0 } else { now };
            harness.update_list(ListUpdateKind::Delta, vec![entry(a as u32 % 7, state, started_at)]);
        }
        14 => {
            let entries = (0..7).filter(|n| (b >> n) & 1 == 1 || *n == 0);
            harness.update_list(
                ListUpdateKind::Snapshot,
                entries.map(|n| entry(n, NodeState::Ready, 0)).collect(),
            );
        }
        15 if !ids.is_empty() => {
            let id = ids[a % ids.len()].clone();
            let is_open = harness.final_answer(&id).is_none();
            if is_open {
                harness.host.0.borrow_mut().requests.get_mut(&id).expect("known request").final_answer =
                    Some("gone");
            }
            harness.policy.on_request_closed(now, &id);
        }
        16 => harness.policy.on_list_update(now, ListUpdateKind::Failed, Vec::new()),
        // Permutes the classes and changes the number of attempts; requests in flight keep their earlier
        // settings.
        _ => {
            let mut changed = settings();
            changed.classes.rotate_left(a % 7);
            (changed.max_attempts, changed.fleet_size) = (1 + b % 4, 1 + c);
            (changed.cache_aside, changed.tenant_quotas_rps) = (harness.cache_aside, harness.quotas.clone());
            harness.apply_settings(changed);
        }
    }
}

fn check_against_model(cache_aside: bool) {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let event_sequences = prop::collection::vec((0u8..18, 0usize..1000, 0usize..1000, 0u32..1000), 1..160);
    let outcome = TestRunner::new_with_rng(config, rng).run(&event_sequences, |events| {
        let fleet_size = [2, 400][events.len() % 2];
        let quotas = [vec![], vec![5.0]][events.len() / 2 % 2].clone();
        let mut harness =
            Harness::new(Settings { cache_aside, fleet_size, tenant_quotas_rps: quotas, ..settings() }, 6);
        let mut ids = Vec::new();
        for event in events {
            run_event(&mut harness, &mut ids, event);
        }
        harness.advance(3 * SECOND);
        for id in &ids {
            prop_assert!(harness.final_answer(id).is_some(), "{} got no final answer", id);
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn cache_aside_mode_conforms_to_the_model() {
    check_against_model(true);
}

#[test]
fn read_through_mode_conforms_to_the_model() {
    check_against_model(false);
}

/// The policy is deterministic: equal event sequences give equal attempts.
#[test]
fn equal_event_sequences_give_equal_attempts() {
    let run = || {
        let (mut harness, mut ids) = (Harness::new(settings(), 6), Vec::new());
        for n in 0..3_000usize {
            let kind = (n * 7 % 13) as u8;
            run_event(&mut harness, &mut ids, (kind, n * 31 % 997, n * 17 % 991, (n * 13 % 983) as u32));
        }
        let state = harness.host.0.borrow();
        let attempts = state
            .requests
            .values()
            .flat_map(|request| request.attempts.iter().map(|a| (a.node.clone(), a.started_at)));
        attempts.collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
