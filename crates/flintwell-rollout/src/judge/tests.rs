use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Binomial, Distribution};

const CONFIG: JudgeConfig =
    JudgeConfig { min_detectable_loss: 0.02, max_false_stop_probability: 0.01, stage_count: 3 };

/// The counts of one second: a fifth of the requests are writes, which are lost at a rate of their own.
fn one_second(
    rng: &mut ChaCha8Rng,
    requests: u64,
    read_loss: f64,
    write_loss: f64,
    origin_rate: f64,
) -> Sample {
    let mut draw = |all: u64, rate: f64| Binomial::new(all, rate).expect("a rate").sample(rng);
    let writes = requests / 5;
    let reads = requests - writes;
    Sample {
        requests,
        losses: BTreeMap::from([
            ("read".into(), (draw(reads, read_loss), reads)),
            ("write".into(), (draw(writes, write_loss), writes)),
        ]),
        attempts: requests + draw(requests, 0.2),
        origin_attempts: draw(requests, origin_rate),
        slow_requests: [draw(requests, 0.5), draw(requests, 0.2), draw(requests, 0.05), draw(requests, 0.01)],
    }
}

/// The number of judged requests of the new group after which the judge finds harm within 180 s; none if it does not.
fn requests_until_stop(
    seed: u64,
    mut next_pair: impl FnMut(&mut ChaCha8Rng, u64) -> SamplePair,
) -> Option<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut judge = Judge::new(CONFIG);
    (0..180).find_map(|at| {
        let pair = next_pair(&mut rng, at);
        judge.compare("a", &pair);
        matches!(judge.verdict(), Verdict::Worse(..)).then_some(judge.judged_requests)
    })
}

/// How many of `runs` seeds the judge stops, and the 95th percentile of the requests that it needs.
fn count_stops(runs: u64, next_pair: impl Fn(&mut ChaCha8Rng, u64) -> SamplePair + Copy) -> (usize, u64) {
    let mut stopped: Vec<u64> = (0..runs).filter_map(|seed| requests_until_stop(seed, next_pair)).collect();
    stopped.sort_unstable();
    (stopped.len(), stopped.get(stopped.len() * 19 / 20).copied().unwrap_or(0))
}

#[test]
fn two_percent_losses_are_detected_within_10000_requests() {
    let (found, p95) = count_stops(200, |rng, _| SamplePair {
        new: one_second(rng, 150, 0.03, 0.03, 0.1),
        old: one_second(rng, 1_000, 0.01, 0.01, 0.1),
    });
    assert!(found == 200 && p95 <= 10_000, "{found} of 200, 95 % within {p95}");
    // Losses of one class only, which is a fifth of all requests.
    let (found, p95) = count_stops(200, |rng, _| SamplePair {
        new: one_second(rng, 150, 0.0, 0.1, 0.1),
        old: one_second(rng, 1_000, 0.0, 0.0, 0.1),
    });
    assert!(found == 200 && p95 <= 10_000, "{found} of 200, 95 % within {p95}");
    // Every request of a class that is 2 % of all requests: 20 lost in 1,000 requests.
    let with_rare_class = |rng: &mut ChaCha8Rng, requests: u64, lost: f64| {
        let mut sample = one_second(rng, requests, 0.0, 0.0, 0.1);
        let rare = Binomial::new(requests, 0.02).expect("a rate").sample(rng);
        sample.losses.insert("once".into(), ((rare as f64 * lost) as u64, rare));
        sample
    };
    let (found, p95) = count_stops(200, |rng, _| SamplePair {
        new: with_rare_class(rng, 150, 1.0),
        old: with_rare_class(rng, 1_000, 0.0),
    });
    assert!(found == 200 && p95 <= 6_000, "{found} of 200, 95 % within {p95}");
    // Five times the origin attempts, no losses.
    let (found, p95) = count_stops(200, |rng, _| SamplePair {
        new: one_second(rng, 150, 0.0, 0.0, 0.5),
        old: one_second(rng, 1_000, 0.0, 0.0, 0.1),
    });
    assert!(found == 200 && p95 <= 10_000, "{found} of 200, 95 % within {p95}");
}

#[test]
fn tripled_latency_tail_is_detected() {
    let (found, p95) = count_stops(100, |rng, _| {
        let mut new = one_second(rng, 150, 0.0, 0.0, 0.1);
        new.slow_requests[3] = Binomial::new(150, 0.033).expect("a rate").sample(rng);
        SamplePair { new, old: one_second(rng, 1_000, 0.0, 0.0, 0.1) }
    });
    assert!(found == 100 && p95 <= 10_000, "{found} of 100, 95 % within {p95}");
}

/// Guards against stopping a harmless change because of a fault that affects both groups in the same seconds.
#[test]
fn false_stops_stay_within_the_bound_during_a_common_fault() {
    let no_fault = |rng: &mut ChaCha8Rng, _| SamplePair {
        new: one_second(rng, 150, 0.02, 0.02, 0.1),
        old: one_second(rng, 1_000, 0.02, 0.02, 0.1),
    };
    let (stopped, _) = count_stops(1_000, no_fault);
    assert!(stopped <= 10, "{stopped} of 1000 without a fault");
    let fault = |rng: &mut ChaCha8Rng, at: u64| {
        // For 20 s of every 40 s both groups lose many requests, at rates that differ by chance.
        let base = if at / 20 % 2 == 1 { rng.random_range(0.05..0.6) } else { 0.01 };
        let (new, old) = (rng.random_range(0.8..1.2), rng.random_range(0.95..1.05));
        let mut pair = SamplePair {
            new: one_second(rng, 150, base * new, base * new, 0.1 + base / 2.0),
            old: one_second(rng, 1_000, base * old, base * old, 0.1 + base / 2.0),
        };
        // Requests that fail are slow before they do.
        for side in [&mut pair.new, &mut pair.old] {
            side.slow_requests[3] = Binomial::new(side.requests, base / 2.0).expect("a rate").sample(rng);
        }
        pair
    };
    let (stopped, _) = count_stops(1_000, fault);
    assert!(stopped <= 10, "{stopped} of 1000 during a fault");
    // Compared with the time before the fault, the change would be stopped nearly always.
    let against_past = |rng: &mut ChaCha8Rng, at: u64| SamplePair {
        new: fault(rng, at).new,
        old: one_second(rng, 1_000, 0.01, 0.01, 0.1),
    };
    assert!(count_stops(50, against_past).0 >= 45, "the fault is large enough to be detected");
}

#[test]
fn differences_from_before_the_change_are_not_counted_as_harm() {
    let unequal_groups = |rng: &mut ChaCha8Rng, _: u64| SamplePair {
        new: one_second(rng, 150, 0.05, 0.05, 0.1),
        old: one_second(rng, 1_000, 0.01, 0.01, 0.1),
    };
    let is_stopped = |seed: u64, with_baseline: bool| {
        let (mut rng, mut judge) = (ChaCha8Rng::seed_from_u64(seed), Judge::new(CONFIG));
        for at in 0..30 {
            let pair = unequal_groups(&mut rng, at);
            with_baseline.then(|| judge.record_baseline("a", &pair));
        }
        (0..120).for_each(|at| judge.compare("a", &unequal_groups(&mut rng, at)));
        matches!(judge.verdict(), Verdict::Worse(..))
    };
    let stopped = |with_baseline| (0..100).filter(|&seed| is_stopped(seed, with_baseline)).count();
    assert!(stopped(true) <= 2 && stopped(false) >= 95, "{} and {}", stopped(true), stopped(false));
}

#[test]
fn zones_are_compared_separately_and_a_missing_old_group_gives_no_verdict() {
    // Most of the new group is in a failing zone, most of the old group in a healthy one.
    let mut judge = Judge::new(CONFIG);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..120 {
        let failing = SamplePair {
            new: one_second(&mut rng, 200, 0.5, 0.5, 0.1),
            old: one_second(&mut rng, 100, 0.5, 0.5, 0.1),
        };
        let healthy = SamplePair {
            new: one_second(&mut rng, 50, 0.0, 0.0, 0.1),
            old: one_second(&mut rng, 800, 0.0, 0.0, 0.1),
        };
        judge.compare("a", &failing);
        judge.compare("b", &healthy);
    }
    assert!(
        matches!(judge.verdict(), Verdict::NoHarmFound(judged) if judged > 20_000),
        "{:?}",
        judge.verdict()
    );
    let mut judge = Judge::new(CONFIG);
    let no_old_group = SamplePair { new: one_second(&mut rng, 500, 1.0, 1.0, 0.1), old: Sample::default() };
    (0..100).for_each(|_| judge.compare("a", &no_old_group));
    assert_eq!(judge.verdict(), Verdict::NoHarmFound(0), "nothing can be said without an old group");
}
