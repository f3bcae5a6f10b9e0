use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[test]
fn a_loan_starts_at_its_request_and_counts_once() {
    let (mut owner, mut borrower) = (Loans::start(0, 1), Loans::start(0, 1));
    assert_eq!((owner.has(0), owner.spare(0), owner.has(3_000)), (KEPT, 0, UNITS_PER_MEMBER));
    let loan = borrower.asks(3_000, 7).expect("room");
    assert_eq!(owner.lends(3_050, 1, loan, 100), 100);
    assert_eq!((owner.lends(3_060, 1, loan, 900), owner.has(3_060)), (100, UNITS_PER_MEMBER - 100), "a repeated request gets the same answer");
    borrower.takes(3_100, 7, loan, 100);
    borrower.takes(3_100, 7, loan, 100);
    borrower.takes(3_100, 7, loan + 1, 100);
    assert_eq!((borrower.has(4_999), borrower.has(5_000)), (UNITS_PER_MEMBER + 100, UNITS_PER_MEMBER));
    assert_eq!((owner.has(5_100), owner.has(5_131)), (UNITS_PER_MEMBER - 100, UNITS_PER_MEMBER));
    let loan = borrower.asks(6_000, 7).expect("room");
    assert_eq!(owner.lends(6_000, 1, loan, 5_000), UNITS_PER_MEMBER - KEPT);
    borrower.takes(8_001, 7, loan, UNITS_PER_MEMBER - KEPT);
    assert_eq!(borrower.has(8_001), UNITS_PER_MEMBER, "a grant after the end of its loan");
    let loan = borrower.asks(9_000, 7).expect("room");
    let units = owner.lends(9_000, 1, loan, 50);
    borrower.takes(9_000, 7, loan, units);
    assert_eq!(borrower.gives_back(9_100, 0), [(7, loan)]);
    owner.returned(1, loan);
    assert_eq!((borrower.has(9_100), owner.has(9_100)), (UNITS_PER_MEMBER, UNITS_PER_MEMBER));
}

#[derive(Clone)]
enum Message {
    Request(u64, u32),
    Grant(u64, u32),
    Return(u64),
}

/// Runs six members whose clocks differ in rate and offset, over messages that are lost, duplicated and delayed by
/// seconds, with members that pause and restart. At each instant the units in use must not exceed those that exist.
/// Returns the most units that one member used.
fn max_units_in_use(seed: u64) -> u32 {
    const FLEET: usize = 6;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rates: Vec<f64> =
        (0..FLEET).map(|_| rng.random_range(1.0 - DRIFT / 2.0..1.0 + DRIFT / 2.0)).collect();
    let offsets: Vec<f64> = (0..FLEET).map(|_| rng.random_range(0.0..1e9)).collect();
    let clock = |n: usize, now: u64| (offsets[n] + now as f64 * rates[n]) as u64;
    let mut members: Vec<Loans> = (0..FLEET).map(|n| Loans::start(clock(n, 0), 1)).collect();
    let (mut incarnations, mut paused) = ([1u64; FLEET], [0u64; FLEET]);
    let mut messages: Vec<(u64, usize, usize, Message)> = Vec::new();
    let mut max_units_in_use = 0;
    for now in (0..30_000).step_by(20) {
        let due: Vec<_> = messages.iter().filter(|message| message.0 <= now).cloned().collect();
        messages.retain(|message| message.0 > now);
        let mut send = |rng: &mut ChaCha8Rng, from: usize, to: usize, message: Message| {
            if rng.random_bool(0.8) {
                let late = if rng.random_bool(0.1) { 3_000 } else { 60 };
                (0..1 + usize::from(rng.random_bool(0.2))).for_each(|_| {
                    messages.push((now + rng.random_range(1..late), from, to, message.clone()));
                });
            }
        };
        for (_, from, to, message) in due {
            let at = clock(to, now);
            match message {
                // A message to a paused member waits until it resumes.
                message if paused[to] > now => send(&mut rng, from, to, message),
                Message::Request(loan, most) => {
                    let units = members[to].lends(at, from as u32, loan, most);
                    if units > 0 {
                        send(&mut rng, to, from, Message::Grant(loan, units));
                    }
                }
                Message::Grant(loan, units) => members[to].takes(at, from as u32, loan, units),
                Message::Return(loan) => members[to].returned(from as u32, loan),
            }
        }
        for n in 0..FLEET {
            if paused[n] > now {
                continue;
            }
            let at = clock(n, now);
            match rng.random_range(0..400) {
                0 => paused[n] = now + rng.random_range(100..5_000),
                1 => {
                    incarnations[n] += 1;
                    members[n] = Loans::start(at, incarnations[n]);
                }
                2..=60 => {
                    let owner = (n + rng.random_range(1..FLEET)) % FLEET;
                    if let Some(loan) = members[n].asks(at, owner as u32) {
                        let most = rng.random_range(1..UNITS_PER_MEMBER);
                        send(&mut rng, n, owner, Message::Request(loan, most));
                    }
                }
                61..=80 => {
                    let keep = rng.random_range(0..UNITS_PER_MEMBER);
                    for (owner, loan) in members[n].gives_back(at, keep) {
                        send(&mut rng, n, owner as usize, Message::Return(loan));
                    }
                }
                _ => {}
            }
        }
        // What each member would use if it looked now, including paused ones.
        let all: u32 = members.iter().enumerate().map(|(n, one)| one.has(clock(n, now))).sum();
        assert!(all <= UNITS_PER_MEMBER * FLEET as u32, "seed {seed} at {now}: {all}");
        max_units_in_use =
            max_units_in_use.max(members.iter().enumerate().map(|(n, one)| one.has(clock(n, now))).max().unwrap_or(0));
    }
    max_units_in_use
}

#[test]
fn units_in_use_stay_bounded_under_message_loss_pauses_clock_drift_and_restarts() {
    let most: Vec<u32> = (0..200).map(max_units_in_use).collect();
    assert!(most.iter().filter(|&&most| most > 3 * UNITS_PER_MEMBER / 2).count() > 100, "loans were granted in most runs");
}
