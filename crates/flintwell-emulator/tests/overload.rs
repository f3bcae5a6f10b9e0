//! Fleets whose origin can't take what all ask for, with words between proxies and without.

use flintwell_emulator::scenario::{Fault, SimulationConfig, SimulationResult};
use flintwell_emulator::simulation::simulate;

const SECOND: i64 = 1_000_000;

/// Room for 20 fetches, from the sixth second for 5.
fn shape(words: bool, seed: u64) -> SimulationConfig {
    SimulationConfig {
        peer_messaging: words,
        seed,
        origin_capacity: 20,
        duration_s: 14,
        ..SimulationConfig::default()
    }
}

fn weak() -> (i64, Fault) {
    (5 * SECOND, Fault::OriginCapacity(5))
}

/// Refused for one fetched, and the share served, once the fleet has learned.
fn later(outcome: &SimulationResult) -> (f64, f64) {
    let sum = outcome.sum(8, outcome.per_second.len());
    (
        sum.origin_refusals as f64 / sum.origin_fetches.max(1) as f64,
        sum.served as f64 / sum.requests.max(1) as f64,
    )
}

fn whole(outcome: &SimulationResult) {
    assert_eq!((outcome.max_excess_units, outcome.lost_requests, outcome.duplicate_answers), (0, 0, 0));
}

#[test]
fn the_same_seed_is_the_same_run() {
    let (one, other) = (simulate(&shape(true, 1), &[weak()]), simulate(&shape(true, 1), &[weak()]));
    whole(&one);
    assert_eq!(format!("{one:?}"), format!("{other:?}"));
}

/// What each finds out for itself, many have to pay for.
#[test]
fn words_spare_an_origin_that_many_ask() {
    let fleet = |words| SimulationConfig {
        proxies: 96,
        caches_per_zone: 16,
        origin_capacity: 160,
        duration_s: 14,
        peer_messaging: words,
        ..SimulationConfig::default()
    };
    let weak = (5 * SECOND, Fault::OriginCapacity(6));
    let (silent, speaks) = (simulate(&fleet(false), &[weak]), simulate(&fleet(true), &[weak]));
    whole(&silent);
    whole(&speaks);
    let ((refused, served), (refused_words, served_words)) = (later(&silent), later(&speaks));
    assert!(refused_words < 0.7 * refused, "{refused} and {refused_words} refused for one fetched");
    assert!(served_words > served - 0.03, "{served} and {served_words} served");
    let bytes = speaks.sum(4, 14).bytes_sent as f64 / 10.0 / 96.0;
    assert!(bytes < 3_000.0, "{bytes} bytes a proxy and second");
}

/// A silent zone is tried by a few, and used again by all when it is back.
#[test]
fn a_silent_zone_is_tried_by_a_few() {
    let fleet = |words| SimulationConfig {
        proxies: 24,
        peer_messaging: words,
        duration_s: 16,
        origin_capacity: 80,
        ..SimulationConfig::default()
    };
    let silent = |on| Fault::SilentZone { zone: 1, silent: on };
    let faults = [(5 * SECOND, silent(true)), (13 * SECOND, silent(false))];
    let (alone, speaks) = (simulate(&fleet(false), &faults), simulate(&fleet(true), &faults));
    whole(&alone);
    whole(&speaks);
    // Once each has found out: the first seconds are the same for all.
    let (tries, tries_words) = (alone.sum(7, 13).unanswered_attempts, speaks.sum(7, 13).unanswered_attempts);
    assert!(tries_words * 2 < tries, "{tries} and {tries_words} attempts into it");
    let back = speaks.sum(14, 16);
    assert!(back.served as f64 > 0.97 * back.requests as f64, "{} of {}", back.served, back.requests);
}

#[test]
fn a_cut_pauses_restarts_lost_words_and_a_liar_bring_no_more_into_use_and_take_little() {
    let calm = later(&simulate(&shape(true, 2), &[weak()]));
    let faults: [(&str, Vec<(i64, Fault)>); 5] = [
        ("cut", vec![(6 * SECOND, Fault::Partition { split_at: 6 }), (10 * SECOND, Fault::HealPartition)]),
        (
            "pauses",
            (0..2).map(|n| (7 * SECOND, Fault::Pause { proxy: n, duration_us: 3 * SECOND })).collect(),
        ),
        ("restarts", (0..6).map(|n| (7 * SECOND, Fault::Restart { proxy: n })).collect()),
        ("moved", vec![(7 * SECOND, Fault::RequestRate { requests_per_second: 150.0, loaded_proxies: 4 })]),
        ("liar", vec![(6 * SECOND, Fault::FalseReports { proxy: 3 })]),
    ];
    for (name, mut faults) in faults {
        faults.push(weak());
        let outcome = simulate(&SimulationConfig { datagram_loss: 0.05, ..shape(true, 2) }, &faults);
        whole(&outcome);
        let (refused, served) = later(&outcome);
        assert!(refused < 1.3, "{name}: {refused} refused for one fetched");
        assert!(served > calm.1 - 0.1, "{name}: {served} served, {} without", calm.1);
    }
}

/// Clients that come again feed a storm; it is over soon after its cause.
#[test]
fn a_storm_of_those_that_come_again_ends_with_its_cause() {
    for words in [false, true] {
        let shape = SimulationConfig { max_retries: 3, duration_s: 16, ..shape(words, 3) };
        let outcome = simulate(&shape, &[weak(), (10 * SECOND, Fault::OriginCapacity(20))]);
        whole(&outcome);
        let (before, after) = (outcome.sum(2, 5), outcome.sum(13, 16));
        let share = |sum: &flintwell_emulator::scenario::SecondStats| sum.served as f64 / sum.requests as f64;
        assert!(
            share(&after) > share(&before) - 0.02,
            "words {words}: {} before, {} after",
            share(&before),
            share(&after)
        );
    }
}
