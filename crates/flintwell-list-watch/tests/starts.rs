//! Start times of nodes are taken by this process's clock, regardless of the wall clock in the list.

use flintwell_list_watch::{Micros, NodeStarts};

const S: Micros = 1_000_000; // microseconds in a second
const HOUR: Micros = 3_600 * S;
const NOW: Micros = 100 * HOUR;

#[test]
fn a_plausible_start_is_accepted_as_listed_and_kept() {
    let mut starts = NodeStarts::default();
    assert_eq!(starts.record("long ago", 0, None, NOW), 0);
    assert_eq!(starts.record("first list", NOW - 5 * HOUR, None, NOW), NOW - 5 * HOUR);
    assert_eq!(starts.record("new", NOW + S, Some(NOW), NOW + 2 * S), NOW + S);
    assert_eq!(starts.record("listed late", NOW - 20 * S, Some(NOW), NOW + 2 * S), NOW - 20 * S);
    // Listed again, it stays the same.
    assert_eq!(starts.record("first list", NOW - 5 * HOUR, Some(NOW), NOW + HOUR), NOW - 5 * HOUR);
    assert_eq!(starts.started_at("new"), Some(NOW + S));
    assert_eq!(starts.started_at("never listed"), None);
}

#[test]
fn a_restart_listed_by_a_clock_that_is_an_hour_off_is_dated_now() {
    for step in [-HOUR, HOUR] {
        for before in [0, NOW - 3 * HOUR] {
            let mut starts = NodeStarts::default();
            starts.record("node", before, None, NOW);
            let listed_at = NOW + S + step;
            assert_eq!(starts.record("node", listed_at, Some(NOW), NOW + 2 * S), NOW + 2 * S, "{step}");
            // Its warm-up continues from then on.
            assert_eq!(starts.record("node", listed_at, Some(NOW + 9 * S), NOW + 10 * S), NOW + 2 * S);
        }
    }
}

#[test]
fn unlisted_nodes_are_removed_once_many_are_recorded() {
    let mut starts = NodeStarts::default();
    for node in 0..20_000 {
        starts.record(&format!("s{node}"), NOW - S, None, NOW);
    }
    starts.prune(|node| node == "s7");
    assert_eq!((starts.started_at("s7"), starts.started_at("s8")), (Some(NOW - S), None));
    starts.record("s8", NOW, Some(NOW), NOW);
    starts.prune(|_| false);
    assert_eq!(starts.started_at("s8"), Some(NOW), "few records are all kept");
}
