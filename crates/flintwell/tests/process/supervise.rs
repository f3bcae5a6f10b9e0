//! Upgrades under a supervisor: a new version starts beside the old one, takes over, and is rolled back if it fails.

use crate::rollout::{PROGRAM, RolloutCommand, TestFleet, status};
use crate::support::wait_until;
use flintwell_rig::fleet::FleetSpec;
use serde_json::json;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;
use std::thread;
use std::time::Duration;

/// A supervised fleet in one zone.
fn supervised_fleet(proxies: usize) -> TestFleet {
    let mut shape = FleetSpec { proxies, zones: vec!["a".into()], supervised: true, ..FleetSpec::default() };
    shape.load.rate = 120.0;
    let mut fleet = TestFleet::new(shape);
    // A process accepts clients shortly before its supervisor notices that it is ready.
    while start_times(&mut fleet).contains(&0) {
        thread::sleep(Duration::from_millis(20));
    }
    fleet
}

/// A version of the program that runs this shell script, in which `$REAL` is the program under test.
fn version(fleet: &TestFleet, name: &str, script: &str) -> PathBuf {
    let file = fleet.directory.path().join(name);
    std::fs::write(&file, format!("#!/bin/sh\nREAL={PROGRAM}\n{script}\n")).expect("write script");
    std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o755)).expect("set permissions");
    file
}

/// Rolls this version out: exit code and output of the rollout.
fn roll_out(fleet: &mut TestFleet, name: &str, script: &str) -> (i32, String) {
    let program = version(fleet, name, script);
    let plan = fleet.plan(&format!("to-{name}"), &json!({ "program": program }));
    RolloutCommand::start("start", &plan).finish()
}

fn start_times(fleet: &mut TestFleet) -> Vec<u64> {
    let management: Vec<_> = fleet.rig().proxies.iter().map(|proxy| proxy.management).collect();
    management.into_iter().map(|at| status(at)["started_ms"].as_u64().expect("start time")).collect()
}

#[test]
fn upgrade_replaces_every_process_under_load_without_losing_a_request() {
    let mut fleet = supervised_fleet(3);
    let before = start_times(&mut fleet);
    let (code, output) = roll_out(&mut fleet, "good", "exec $REAL \"$@\"");
    assert_eq!((code, fleet.epochs()), (0, vec![1; 3]), "{output}");
    let after = start_times(&mut fleet);
    assert!(before.iter().zip(&after).all(|(before, after)| before < after), "{before:?} {after:?}");
    fleet.assert_no_violations();
}

#[test]
fn version_that_exits_or_never_becomes_ready_does_not_replace_the_old_one() {
    let mut fleet = supervised_fleet(3);
    let before = start_times(&mut fleet);
    for (name, script, reason) in
        [("ends", "exit 3", "ended before it was ready"), ("sleeps", "exec sleep 60", "was not ready in")]
    {
        let (code, output) = roll_out(&mut fleet, name, script);
        assert!(code == 1 && output.contains(reason), "{name}: {output}");
        assert_eq!(fleet.epochs(), [0; 3], "{name}");
    }
    // Members of the control group may have restarted with the old version meanwhile.
    assert_eq!(start_times(&mut fleet)[0], before[0], "the old process of the canary still runs");
    let programs: Vec<_> =
        fleet.rig().proxies.iter().map(|proxy| status(proxy.management)["program"].clone()).collect();
    assert_eq!(programs, [PROGRAM; 3]);
    let plan = fleet.plan("missing", &json!({"program": "/nowhere/flintwell"}));
    let (code, output) = RolloutCommand::start("start", &plan).finish();
    assert!(code == 1 && output.contains("/nowhere/flintwell"), "{output}");
    fleet.assert_no_violations();
}

#[test]
fn version_that_crashes_after_seconds_is_rolled_back_at_its_canary() {
    let mut fleet = supervised_fleet(3);
    let script = "sh -c 'LISTEN_PID=$$ exec \"$0\" \"$@\"' $REAL \"$@\" &\nsleep 2\nkill -9 $!\nexit 9";
    let now = fleet.rig().backends.now_ms();
    // Requests in flight at the canary are lost when it is killed.
    fleet.rig().excuse(0, now, f64::MAX);
    let (code, output) = roll_out(&mut fleet, "crashes", script);
    assert!(code == 1 && output.contains("1 of the new ended"), "{output}");
    assert_eq!(fleet.epochs(), [0; 3]);
    let until = fleet.rig().backends.now_ms() + 500.0;
    fleet.rig().end_excuse(0, until);
    thread::sleep(Duration::from_secs(1));
    fleet.assert_no_violations();
}

#[test]
fn version_that_is_stopped_a_third_of_the_time_is_rolled_back_though_no_request_is_lost() {
    let mut fleet = supervised_fleet(3);
    let script = "sh -c 'LISTEN_PID=$$ exec \"$0\" \"$@\"' $REAL \"$@\" &\nP=$!\n\
        trap 'kill -CONT $P; kill $P; wait $P; exit 0' TERM\nsleep 1\n\
        while kill -0 $PPID && kill -STOP $P; do sleep 0.06; kill -CONT $P; sleep 0.12; done";
    let (code, output) = roll_out(&mut fleet, "stalls", script);
    assert!(code == 1 && output.contains("requests slower than"), "{output}");
    assert_eq!(fleet.epochs(), [0; 3]);
}

#[test]
fn killed_proxy_is_restarted_on_the_same_address() {
    let mut fleet = supervised_fleet(1);
    let (management, supervisor) = (fleet.rig().proxies[0].management, fleet.rig().proxies[0].process.id());
    let before = status(management)["started_ms"].clone();
    let now = fleet.rig().backends.now_ms();
    fleet.rig().excuse(0, now - 1_500.0, now + 2_500.0);
    // Its only child is the proxy.
    let supervisor = supervisor.expect("process id").to_string();
    let killed = Command::new("pkill").args(["-KILL", "-P", &supervisor]).status().expect("run pkill");
    assert!(killed.success());
    wait_until("another process runs", || {
        let now = status(management);
        now["started_ms"] != before && now["started_ms"] != 0
    });
    thread::sleep(Duration::from_secs(3));
    fleet.assert_no_violations();
    assert!(
        fleet.rig().proxies[0].process.shut_down(),
        "the supervisor stops on request, together with its proxy"
    );
}
