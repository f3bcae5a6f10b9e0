use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Binomial, Distribution};

const LIMITS: JudgeConfig =
    JudgeConfig { min_detectable_loss: 0.02, max_false_stop_probability: 0.01, stage_count: 3 };

/// Requests of one second: of two classes, one of them rare, lost at this rate.
fn second(rng: &mut ChaCha8Rng, requests: u64, lost: f64, rare: f64, fetches: f64) -> Sample {
    let mut of = |all: u64, rate: f64| Binomial::new(all, rate).expect("a rate").sample(rng);
    let writes = requests / 5;
    let reads = requests - writes;
    Sample {
        requests,
        losses: BTreeMap::from([
            ("read".into(), (of(reads, lost), reads)),
            ("write".into(), (of(writes, rare), writes)),
        ]),
        attempts: requests + of(requests, 0.2),
        origin_attempts: of(requests, fetches),
        slow_requests: [of(requests, 0.5), of(requests, 0.2), of(requests, 0.05), of(requests, 0.01)],
    }
}

/// After how many requests of the new the judge stops, within three minutes of 150 a second; none if it does not.
fn stops(seed: u64, mut play: impl FnMut(&mut ChaCha8Rng, u64) -> SamplePair) -> Option<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut judge = Judge::new(LIMITS);
    (0..180).find_map(|at| {
        let pair = play(&mut rng, at);
        judge.compare("a", &pair);
        matches!(judge.verdict(), Verdict::Worse(..)).then_some(judge.judged)
    })
}

fn count(plays: u64, play: impl Fn(&mut ChaCha8Rng, u64) -> SamplePair + Copy) -> (usize, u64) {
    let mut stopped: Vec<u64> = (0..plays).filter_map(|seed| stops(seed, play)).collect();
    stopped.sort_unstable();
    (stopped.len(), stopped.get(stopped.len() * 19 / 20).copied().unwrap_or(0))
}

#[test]
fn two_in_a_hundred_lost_are_found_within_a_stated_number_of_requests() {
    let (found, most) = count(200, |rng, _| SamplePair {
        new: second(rng, 150, 0.03, 0.03, 0.1),
        old: second(rng, 1_000, 0.01, 0.01, 0.1),
    });
    assert!(found == 200 && most <= 10_000, "{found} of 200, 19 of 20 within {most}");
    // Of one class only, a fifth of all requests.
    let (found, most) = count(200, |rng, _| SamplePair {
        new: second(rng, 150, 0.0, 0.1, 0.1),
        old: second(rng, 1_000, 0.0, 0.0, 0.1),
    });
    assert!(found == 200 && most <= 10_000, "{found} of 200, 19 of 20 within {most}");
    // All of a class that one in fifty is of: 20 lost in 1,000 requests.
    let rare = |rng: &mut ChaCha8Rng, requests: u64, lost: f64| {
        let mut sample = second(rng, requests, 0.0, 0.0, 0.1);
        let few = Binomial::new(requests, 0.02).expect("a rate").sample(rng);
        sample.losses.insert("once".into(), ((few as f64 * lost) as u64, few));
        sample
    };
    let (found, most) =
        count(200, |rng, _| SamplePair { new: rare(rng, 150, 1.0), old: rare(rng, 1_000, 0.0) });
    assert!(found == 200 && most <= 6_000, "{found} of 200, 19 of 20 within {most}");
    // Twice the fetches, nothing lost.
    let (found, most) = count(200, |rng, _| SamplePair {
        new: second(rng, 150, 0.0, 0.0, 0.5),
        old: second(rng, 1_000, 0.0, 0.0, 0.1),
    });
    assert!(found == 200 && most <= 10_000, "{found} of 200, 19 of 20 within {most}");
}

#[test]
fn a_tail_that_three_times_as_many_fall_into_is_found() {
    let (found, most) = count(100, |rng, _| {
        let mut new = second(rng, 150, 0.0, 0.0, 0.1);
        new.slow_requests[3] = Binomial::new(150, 0.033).expect("a rate").sample(rng);
        SamplePair { new, old: second(rng, 1_000, 0.0, 0.0, 0.1) }
    });
    assert!(found == 100 && most <= 10_000, "{found} of 100, 19 of 20 within {most}");
}

/// No worse than the old, through troubles that meet both alike in the same seconds, is no cause to stop.
#[test]
fn false_stops_are_rarer_than_stated_also_while_a_fault_meets_both() {
    let calm = |rng: &mut ChaCha8Rng, _| SamplePair {
        new: second(rng, 150, 0.02, 0.02, 0.1),
        old: second(rng, 1_000, 0.02, 0.02, 0.1),
    };
    let (stopped, _) = count(1_000, calm);
    assert!(stopped <= 10, "{stopped} of 1000 in calm");
    let fault = |rng: &mut ChaCha8Rng, at: u64| {
        // Each second is good or bad for all; within a bad one losses are many and differ by chance.
        let base = if at / 20 % 2 == 1 { rng.random_range(0.05..0.6) } else { 0.01 };
        let (new, old) = (rng.random_range(0.8..1.2), rng.random_range(0.95..1.05));
        let mut pair = SamplePair {
            new: second(rng, 150, base * new, base * new, 0.1 + base / 2.0),
            old: second(rng, 1_000, base * old, base * old, 0.1 + base / 2.0),
        };
        // What fails is slow before it does.
        for side in [&mut pair.new, &mut pair.old] {
            side.slow_requests[3] = Binomial::new(side.requests, base / 2.0).expect("a rate").sample(rng);
        }
        pair
    };
    let (stopped, _) = count(1_000, fault);
    assert!(stopped <= 10, "{stopped} of 1000 under a fault");
    // Against its own past, as it must not be judged, it would be stopped each time.
    let past = |rng: &mut ChaCha8Rng, at: u64| SamplePair {
        new: fault(rng, at).new,
        old: second(rng, 1_000, 0.01, 0.01, 0.1),
    };
    assert!(count(50, past).0 >= 45, "the fault is one that would show");
}

#[test]
fn what_the_groups_differed_by_before_is_no_harm() {
    let unlike = |rng: &mut ChaCha8Rng, _: u64| SamplePair {
        new: second(rng, 150, 0.05, 0.05, 0.1),
        old: second(rng, 1_000, 0.01, 0.01, 0.1),
    };
    let judged = |seed: u64, watched: bool| {
        let (mut rng, mut judge) = (ChaCha8Rng::seed_from_u64(seed), Judge::new(LIMITS));
        for at in 0..30 {
            let pair = unlike(&mut rng, at);
            watched.then(|| judge.record_baseline("a", &pair));
        }
        (0..120).for_each(|at| judge.compare("a", &unlike(&mut rng, at)));
        matches!(judge.verdict(), Verdict::Worse(..))
    };
    let stopped = |watched| (0..100).filter(|&seed| judged(seed, watched)).count();
    assert!(stopped(true) <= 2 && stopped(false) >= 95, "{} and {}", stopped(true), stopped(false));
}

#[test]
fn zones_are_not_mixed_and_too_few_requests_say_nothing() {
    // The new are mostly in a zone that fails, the old mostly in one that does not.
    let mut judge = Judge::new(LIMITS);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..120 {
        let bad = SamplePair {
            new: second(&mut rng, 200, 0.5, 0.5, 0.1),
            old: second(&mut rng, 100, 0.5, 0.5, 0.1),
        };
        let good = SamplePair {
            new: second(&mut rng, 50, 0.0, 0.0, 0.1),
            old: second(&mut rng, 800, 0.0, 0.0, 0.1),
        };
        judge.compare("a", &bad);
        judge.compare("b", &good);
    }
    assert!(
        matches!(judge.verdict(), Verdict::NoHarmFound(judged) if judged > 20_000),
        "{:?}",
        judge.verdict()
    );
    let mut judge = Judge::new(LIMITS);
    let alone = SamplePair { new: second(&mut rng, 500, 1.0, 1.0, 0.1), old: Sample::default() };
    (0..100).for_each(|_| judge.compare("a", &alone));
    assert_eq!(judge.verdict(), Verdict::NoHarmFound(0), "with no old beside it nothing can be told");
}
