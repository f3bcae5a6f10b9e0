use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[test]
fn a_loan_counts_from_the_asking_and_once() {
    let (mut owner, mut borrower) = (Loans::start(0, 1), Loans::start(0, 1));
    assert_eq!((owner.has(0), owner.spare(0), owner.has(3_000)), (KEPT, 0, EACH));
    let loan = borrower.asks(3_000, 7).expect("room");
    assert_eq!(owner.lends(3_050, 1, loan, 100), 100);
    assert_eq!((owner.lends(3_060, 1, loan, 900), owner.has(3_060)), (100, EACH - 100), "the same again");
    borrower.takes(3_100, 7, loan, 100);
    borrower.takes(3_100, 7, loan, 100);
    borrower.takes(3_100, 7, loan + 1, 100);
    assert_eq!((borrower.has(4_999), borrower.has(5_000)), (EACH + 100, EACH));
    assert_eq!((owner.has(5_100), owner.has(5_131)), (EACH - 100, EACH));
    let loan = borrower.asks(6_000, 7).expect("room");
    assert_eq!(owner.lends(6_000, 1, loan, 5_000), EACH - KEPT);
    borrower.takes(8_001, 7, loan, EACH - KEPT);
    assert_eq!(borrower.has(8_001), EACH, "granted too late");
    let loan = borrower.asks(9_000, 7).expect("room");
    let units = owner.lends(9_000, 1, loan, 50);
    borrower.takes(9_000, 7, loan, units);
    assert_eq!(borrower.gives_back(9_100, 0), [(7, loan)]);
    owner.returned(1, loan);
    assert_eq!((borrower.has(9_100), owner.has(9_100)), (EACH, EACH));
}

#[derive(Clone)]
enum Word {
    Ask(u64, u32),
    Grant(u64, u32),
    Back(u64),
}

/// Six members on clocks that differ in rate and place; words lost, doubled, late by seconds; members paused, ended
/// and begun anew. At each instant all units in use are at most those that there are.
fn worst(seed: u64) -> u32 {
    const FLEET: usize = 6;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rates: Vec<f64> =
        (0..FLEET).map(|_| rng.random_range(1.0 - DRIFT / 2.0..1.0 + DRIFT / 2.0)).collect();
    let places: Vec<f64> = (0..FLEET).map(|_| rng.random_range(0.0..1e9)).collect();
    let clock = |n: usize, now: u64| (places[n] + now as f64 * rates[n]) as u64;
    let mut members: Vec<Loans> = (0..FLEET).map(|n| Loans::start(clock(n, 0), 1)).collect();
    let (mut lives, mut paused) = ([1u64; FLEET], [0u64; FLEET]);
    let mut words: Vec<(u64, usize, usize, Word)> = Vec::new();
    let mut worst = 0;
    for now in (0..30_000).step_by(20) {
        let due: Vec<_> = words.iter().filter(|word| word.0 <= now).cloned().collect();
        words.retain(|word| word.0 > now);
        let mut say = |rng: &mut ChaCha8Rng, from: usize, to: usize, word: Word| {
            if rng.random_bool(0.8) {
                let late = if rng.random_bool(0.1) { 3_000 } else { 60 };
                (0..1 + usize::from(rng.random_bool(0.2))).for_each(|_| {
                    words.push((now + rng.random_range(1..late), from, to, word.clone()));
                });
            }
        };
        for (_, from, to, word) in due {
            let at = clock(to, now);
            match word {
                // A word to one that stands still waits with it.
                word if paused[to] > now => say(&mut rng, from, to, word),
                Word::Ask(loan, most) => {
                    let units = members[to].lends(at, from as u32, loan, most);
                    if units > 0 {
                        say(&mut rng, to, from, Word::Grant(loan, units));
                    }
                }
                Word::Grant(loan, units) => members[to].takes(at, from as u32, loan, units),
                Word::Back(loan) => members[to].returned(from as u32, loan),
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
                    lives[n] += 1;
                    members[n] = Loans::start(at, lives[n]);
                }
                2..=60 => {
                    let owner = (n + rng.random_range(1..FLEET)) % FLEET;
                    if let Some(loan) = members[n].asks(at, owner as u32) {
                        let most = rng.random_range(1..EACH);
                        say(&mut rng, n, owner, Word::Ask(loan, most));
                    }
                }
                61..=80 => {
                    let stay = rng.random_range(0..EACH);
                    for (owner, loan) in members[n].gives_back(at, stay) {
                        say(&mut rng, n, owner as usize, Word::Back(loan));
                    }
                }
                _ => {}
            }
        }
        // What each would use if it looked now, the paused ones too.
        let all: u32 = members.iter().enumerate().map(|(n, one)| one.has(clock(n, now))).sum();
        assert!(all <= EACH * FLEET as u32, "seed {seed} at {now}: {all}");
        worst =
            worst.max(members.iter().enumerate().map(|(n, one)| one.has(clock(n, now))).max().unwrap_or(0));
    }
    worst
}

#[test]
fn no_words_pauses_clocks_or_starts_bring_more_into_use_than_there_is() {
    let most: Vec<u32> = (0..200).map(worst).collect();
    assert!(most.iter().filter(|&&most| most > 3 * EACH / 2).count() > 100, "loans were really made");
}
