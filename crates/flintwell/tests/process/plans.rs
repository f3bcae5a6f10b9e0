//! Fault plans of the rig, run on real processes: no rule may be violated anywhere in the fleet.

use crate::rollout::PROGRAM;
use flintwell_rig::plan::{Outcome, Plan};
use std::path::Path;

/// Runs a plan and asserts that no rule was violated.
fn run_plan(name: &str) -> Outcome {
    let plans = Path::new(env!("CARGO_MANIFEST_DIR")).join("../flintwell-rig/plans");
    let plan = Plan::read(&plans.join(name)).expect("read plan");
    let directory = tempfile::tempdir().expect("create directory");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let result = runtime.expect("build runtime").block_on(plan.run(Path::new(PROGRAM), directory.path()));
    let outcome = result.expect("run scenario");
    assert!(outcome.breaches.is_empty(), "{:#?}", outcome.breaches);
    outcome
}

#[test]
fn kills_pauses_one_way_partitions_and_a_drain_violate_no_rule() {
    let outcome = run_plan("kills-and-cuts.toml");
    let (all, served) =
        outcome.seconds.iter().fold((0, 0), |sum, second| (sum.0 + second.requests, sum.1 + second.served));
    assert!(all > 1_000 && served * 10 > all * 8, "{served} of {all} requests served");
}

#[test]
fn zone_that_is_silent_and_returns_with_cold_caches_violates_no_rule() {
    let outcome = run_plan("zone-silent.toml");
    let after: Vec<_> = outcome.seconds[14..19].iter().collect();
    let served: usize = after.iter().map(|second| second.served).sum();
    let all: usize = after.iter().map(|second| second.requests).sum();
    assert!(served * 100 > all * 95, "{served} of {all} requests served after the zone is back");
}

#[test]
fn proxies_whose_list_watches_all_go_silent_send_nothing_to_a_node_that_drains_meanwhile() {
    let (asked, pushed) = ("watches-silent-asked.toml", "watches-silent-pushed.toml");
    let runs = [asked, pushed].map(|plan| std::thread::spawn(|| run_plan(plan)));
    for outcome in runs.map(|run| run.join().expect("scenario thread")) {
        let all: usize = outcome.seconds.iter().map(|second| second.requests).sum();
        assert!(all > 2_000, "{all} requests");
    }
}
