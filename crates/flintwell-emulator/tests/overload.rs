//! Fleets under overload or with silent cache nodes, with and without peer messaging.

use flintwell_emulator::scenario::{Fault, SimulationConfig, SimulationResult};
use flintwell_emulator::simulation::simulate;

const SECOND_US: i64 = 1_000_000;

/// A fleet whose origin serves 20 concurrent fetches; [`capacity_drop`] leaves 5.
fn overload_config(peer_messaging: bool, seed: u64) -> SimulationConfig {
    SimulationConfig {
        peer_messaging,
        seed,
        origin_capacity: 20,
        duration_s: 14,
        ..SimulationConfig::default()
    }
}

fn capacity_drop() -> (i64, Fault) {
    (5 * SECOND_US, Fault::OriginCapacity(5))
}

/// Origin refusals per fetch and the share of requests served, once the fleet has adapted.
fn refusals_and_served_share(result: &SimulationResult) -> (f64, f64) {
    let sum = result.sum(8, result.per_second.len());
    (
        sum.origin_refusals as f64 / sum.origin_fetches.max(1) as f64,
        sum.served as f64 / sum.requests.max(1) as f64,
    )
}

/// No unit is lent twice, and every request has exactly one final answer.
fn assert_consistent(result: &SimulationResult) {
    assert_eq!((result.max_excess_units, result.lost_requests, result.duplicate_answers), (0, 0, 0));
}

#[test]
fn same_seed_gives_identical_results() {
    let (first, second) = (
        simulate(&overload_config(true, 1), &[capacity_drop()]),
        simulate(&overload_config(true, 1), &[capacity_drop()]),
    );
    assert_consistent(&first);
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}

/// Without peer messaging each proxy learns the reduced capacity only from its own refusals, so a large fleet burdens
/// the overloaded origin with many refused fetches.
#[test]
fn peer_messaging_reduces_refusals_at_an_overloaded_origin() {
    let fleet = |peer_messaging| SimulationConfig {
        proxies: 96,
        caches_per_zone: 16,
        origin_capacity: 160,
        duration_s: 14,
        peer_messaging,
        ..SimulationConfig::default()
    };
    let capacity_drop = (5 * SECOND_US, Fault::OriginCapacity(6));
    let (isolated, messaging) =
        (simulate(&fleet(false), &[capacity_drop]), simulate(&fleet(true), &[capacity_drop]));
    assert_consistent(&isolated);
    assert_consistent(&messaging);
    let ((refused, served), (messaging_refused, messaging_served)) =
        (refusals_and_served_share(&isolated), refusals_and_served_share(&messaging));
    assert!(
        messaging_refused < 0.7 * refused,
        "refusals per fetch: {refused} without peer messaging, {messaging_refused} with it"
    );
    assert!(
        messaging_served > served - 0.03,
        "served share: {served} without peer messaging, {messaging_served} with it"
    );
    let bytes = messaging.sum(4, 14).bytes_sent as f64 / 10.0 / 96.0;
    assert!(bytes < 3_000.0, "{bytes} bytes per proxy and second");
}

/// Without peer messaging every proxy probes a zone that has stopped responding with its own requests.
/// With peer messaging a few proxies probe it, and all use it again once it has recovered.
#[test]
fn few_proxies_probe_a_silent_zone_and_all_return_to_it() {
    let fleet = |peer_messaging| SimulationConfig {
        proxies: 24,
        peer_messaging,
        duration_s: 16,
        origin_capacity: 80,
        ..SimulationConfig::default()
    };
    let silence = |silent| Fault::SilentZone { zone: 1, silent };
    let faults = [(5 * SECOND_US, silence(true)), (13 * SECOND_US, silence(false))];
    let (isolated, messaging) = (simulate(&fleet(false), &faults), simulate(&fleet(true), &faults));
    assert_consistent(&isolated);
    assert_consistent(&messaging);
    // Skips the first seconds: until each proxy has detected the silence, both fleets behave the same.
    let (attempts, messaging_attempts) =
        (isolated.sum(7, 13).unanswered_attempts, messaging.sum(7, 13).unanswered_attempts);
    assert!(
        messaging_attempts * 2 < attempts,
        "attempts into the zone: {attempts} without peer messaging, {messaging_attempts} with it"
    );
    let recovered = messaging.sum(14, 16);
    assert!(
        recovered.served as f64 > 0.97 * recovered.requests as f64,
        "{} of {}",
        recovered.served,
        recovered.requests
    );
}

/// A partition, paused or restarted proxies, a load shift and false reports, each with datagram loss, can leave proxies
/// with wrong figures of one another. No unit may then be lent twice, and the fleet must neither flood the origin nor
/// refuse much more than without the fault.
#[test]
fn faults_between_proxies_cause_no_excess_units_and_little_loss_of_service() {
    let baseline = refusals_and_served_share(&simulate(&overload_config(true, 2), &[capacity_drop()]));
    let faults: [(&str, Vec<(i64, Fault)>); 5] = [
        (
            "partition",
            vec![(6 * SECOND_US, Fault::Partition { split_at: 6 }), (10 * SECOND_US, Fault::HealPartition)],
        ),
        (
            "pauses",
            (0..2).map(|n| (7 * SECOND_US, Fault::Pause { proxy: n, duration_us: 3 * SECOND_US })).collect(),
        ),
        ("restarts", (0..6).map(|n| (7 * SECOND_US, Fault::Restart { proxy: n })).collect()),
        (
            "load shift",
            vec![(7 * SECOND_US, Fault::RequestRate { requests_per_second: 150.0, loaded_proxies: 4 })],
        ),
        ("false reports", vec![(6 * SECOND_US, Fault::FalseReports { proxy: 3 })]),
    ];
    for (name, mut faults) in faults {
        faults.push(capacity_drop());
        let result = simulate(&SimulationConfig { datagram_loss: 0.05, ..overload_config(true, 2) }, &faults);
        assert_consistent(&result);
        let (refused, served) = refusals_and_served_share(&result);
        assert!(refused < 1.3, "{name}: {refused} refusals per fetch");
        assert!(served > baseline.1 - 0.1, "{name}: served share {served}, {} without the fault", baseline.1);
    }
}

/// Retries of refused requests add to the overload. Once the origin has its capacity back, the retry storm must end and
/// the fleet must serve as many requests as before.
#[test]
fn retry_storm_ends_when_the_origin_recovers() {
    for peer_messaging in [false, true] {
        let config =
            SimulationConfig { max_retries: 3, duration_s: 16, ..overload_config(peer_messaging, 3) };
        let result = simulate(&config, &[capacity_drop(), (10 * SECOND_US, Fault::OriginCapacity(20))]);
        assert_consistent(&result);
        let (before, after) = (result.sum(2, 5), result.sum(13, 16));
        let served_share =
            |sum: &flintwell_emulator::scenario::SecondStats| sum.served as f64 / sum.requests as f64;
        assert!(
            served_share(&after) > served_share(&before) - 0.02,
            "peer messaging {peer_messaging}: served share {} before, {} after",
            served_share(&before),
            served_share(&after)
        );
    }
}
