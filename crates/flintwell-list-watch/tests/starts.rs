//! A server's start is dated by what this process knows, whatever a wall clock tells.

use flintwell_list_watch::{Micros, Starts};

const S: Micros = 1_000_000; // us in a second
const HOUR: Micros = 3_600 * S;
const NOW: Micros = 100 * HOUR;

#[test]
fn a_start_that_fits_is_taken_as_told_and_stays_so() {
    let mut starts = Starts::default();
    assert_eq!(starts.learn("long ago", 0, None, NOW), 0);
    assert_eq!(starts.learn("first list", NOW - 5 * HOUR, None, NOW), NOW - 5 * HOUR);
    assert_eq!(starts.learn("new", NOW + S, Some(NOW), NOW + 2 * S), NOW + S);
    assert_eq!(starts.learn("listed late", NOW - 20 * S, Some(NOW), NOW + 2 * S), NOW - 20 * S);
    // Told once more it is no news.
    assert_eq!(starts.learn("first list", NOW - 5 * HOUR, Some(NOW), NOW + HOUR), NOW - 5 * HOUR);
    assert_eq!(starts.started_at("new"), Some(NOW + S));
    assert_eq!(starts.started_at("never told"), None);
}

#[test]
fn a_restart_told_by_a_clock_that_was_set_by_an_hour_counts_as_just_now() {
    for step in [-HOUR, HOUR] {
        for before in [0, NOW - 3 * HOUR] {
            let mut starts = Starts::default();
            starts.learn("server", before, None, NOW);
            let told = NOW + S + step;
            assert_eq!(starts.learn("server", told, Some(NOW), NOW + 2 * S), NOW + 2 * S, "{step}");
            // And warms up from then on.
            assert_eq!(starts.learn("server", told, Some(NOW + 9 * S), NOW + 10 * S), NOW + 2 * S);
        }
    }
}

#[test]
fn those_that_are_gone_are_forgotten_once_there_are_many() {
    let mut starts = Starts::default();
    for server in 0..20_000 {
        starts.learn(&format!("s{server}"), NOW - S, None, NOW);
    }
    starts.forget(|server| server == "s7");
    assert_eq!((starts.started_at("s7"), starts.started_at("s8")), (Some(NOW - S), None));
    starts.learn("s8", NOW, Some(NOW), NOW);
    starts.forget(|_| false);
    assert_eq!(starts.started_at("s8"), Some(NOW), "few are kept");
}
