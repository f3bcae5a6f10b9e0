//! Plans of the rig, played on real processes: whatever fails, the rules are kept over the whole fleet.

use crate::rollout::PROGRAM;
use flintwell_rig::plan::{Outcome, Plan};
use std::path::Path;

fn played(name: &str) -> Outcome {
    let plans = Path::new(env!("CARGO_MANIFEST_DIR")).join("../flintwell-rig/plans");
    let plan = Plan::read(&plans.join(name)).expect("read plan");
    let folder = tempfile::tempdir().expect("create directory");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let played = runtime.expect("build runtime").block_on(plan.run(Path::new(PROGRAM), folder.path()));
    let outcome = played.expect("run scenario");
    assert!(outcome.breaches.is_empty(), "{:#?}", outcome.breaches);
    outcome
}

#[test]
fn kills_pauses_one_way_cuts_and_a_drain_break_no_rule() {
    let outcome = played("kills-and-cuts.toml");
    let (all, served) =
        outcome.seconds.iter().fold((0, 0), |sum, one| (sum.0 + one.requests, sum.1 + one.served));
    assert!(all > 1_000 && served * 10 > all * 8, "{served} of {all}");
}

#[test]
fn a_zone_that_is_silent_and_comes_back_cold_breaks_no_rule() {
    let outcome = played("zone-silent.toml");
    let after: Vec<_> = outcome.seconds[14..19].iter().collect();
    let served: usize = after.iter().map(|one| one.served).sum();
    let all: usize = after.iter().map(|one| one.requests).sum();
    assert!(served * 100 > all * 95, "{served} of {all} once it is back");
}

#[test]
fn watches_that_fall_silent_all_at_once_send_nothing_to_what_drains_meanwhile() {
    let (asked, pushed) = ("watches-silent-asked.toml", "watches-silent-pushed.toml");
    let plays = [asked, pushed].map(|plan| std::thread::spawn(|| played(plan)));
    for outcome in plays.map(|play| play.join().expect("scenario thread")) {
        let all: usize = outcome.seconds.iter().map(|one| one.requests).sum();
        assert!(all > 2_000, "{all}");
    }
}
