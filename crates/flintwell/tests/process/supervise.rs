//! Versions of the program under a supervisor: started beside, put in place, put back.

use crate::rollout::{PROGRAM, Rolls, Stand, status};
use crate::support::soon;
use flintwell_rig::fleet::FleetSpec;
use serde_json::json;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;
use std::thread;
use std::time::Duration;

fn stand(proxies: usize) -> Stand {
    let mut shape = FleetSpec { proxies, zones: vec!["a".into()], supervised: true, ..FleetSpec::default() };
    shape.load.rate = 120.0;
    let mut stand = Stand::new(shape);
    // Clients are let in some turns before the supervisor has seen that.
    while started(&mut stand).contains(&0) {
        thread::sleep(Duration::from_millis(20));
    }
    stand
}

/// A version of the program that does this.
fn version(stand: &Stand, name: &str, does: &str) -> PathBuf {
    let file = stand.folder.path().join(name);
    std::fs::write(&file, format!("#!/bin/sh\nREAL={PROGRAM}\n{does}\n")).expect("a script");
    std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o755)).expect("to be run");
    file
}

fn rolled(stand: &mut Stand, name: &str, does: &str) -> (i32, String) {
    let program = version(stand, name, does);
    let plan = stand.plan(&format!("to-{name}"), &json!({ "program": program }));
    Rolls::start("start", &plan).ends()
}

fn started(stand: &mut Stand) -> Vec<u64> {
    let staff: Vec<_> = stand.fleet().proxies.iter().map(|proxy| proxy.management).collect();
    staff.into_iter().map(|at| status(at)["started_ms"].as_u64().expect("a time")).collect()
}

#[test]
fn a_new_version_takes_over_everywhere_under_load_and_nothing_is_lost() {
    let mut stand = stand(3);
    let before = started(&mut stand);
    let (code, said) = rolled(&mut stand, "good", "exec $REAL \"$@\"");
    assert_eq!((code, stand.epochs()), (0, vec![1; 3]), "{said}");
    let after = started(&mut stand);
    assert!(before.iter().zip(&after).all(|(before, after)| before < after), "{before:?} {after:?}");
    stand.nothing_lost();
}

#[test]
fn versions_that_do_not_start_or_are_never_ready_do_not_get_the_socket() {
    let mut stand = stand(3);
    let before = started(&mut stand);
    for (name, does, why) in
        [("ends", "exit 3", "ended before it was ready"), ("sleeps", "exec sleep 60", "was not ready in")]
    {
        let (code, said) = rolled(&mut stand, name, does);
        assert!(code == 1 && said.contains(why), "{name}: {said}");
        assert_eq!(stand.epochs(), [0; 3], "{name}");
    }
    // A control may have begun anew meanwhile, with what it had.
    assert_eq!(started(&mut stand)[0], before[0], "the canary's old one runs as ever");
    let programs: Vec<_> =
        stand.fleet().proxies.iter().map(|proxy| status(proxy.management)["program"].clone()).collect();
    assert_eq!(programs, [PROGRAM; 3]);
    let plan = stand.plan("missing", &json!({"program": "/nowhere/flintwell"}));
    let (code, said) = Rolls::start("start", &plan).ends();
    assert!(code == 1 && said.contains("/nowhere/flintwell"), "{said}");
    stand.nothing_lost();
}

#[test]
fn a_version_that_ends_after_some_seconds_is_put_back_at_its_canary() {
    let mut stand = stand(3);
    let does = "sh -c 'LISTEN_PID=$$ exec \"$0\" \"$@\"' $REAL \"$@\" &\nsleep 2\nkill -9 $!\nexit 9";
    let now = stand.fleet().backends.now_ms();
    // What the canary has in hand when it is killed is lost with it.
    stand.fleet().excuse(0, now, f64::MAX);
    let (code, said) = rolled(&mut stand, "crashes", does);
    assert!(code == 1 && said.contains("1 of the new ended"), "{said}");
    assert_eq!(stand.epochs(), [0; 3]);
    let until = stand.fleet().backends.now_ms() + 500.0;
    stand.fleet().end_excuse(0, until);
    thread::sleep(Duration::from_secs(1));
    stand.nothing_lost();
}

#[test]
fn a_version_that_stands_still_a_third_of_the_time_is_put_back_though_it_loses_nothing() {
    let mut stand = stand(3);
    let does = "sh -c 'LISTEN_PID=$$ exec \"$0\" \"$@\"' $REAL \"$@\" &\nP=$!\n\
        trap 'kill -CONT $P; kill $P; wait $P; exit 0' TERM\nsleep 1\n\
        while kill -0 $PPID && kill -STOP $P; do sleep 0.06; kill -CONT $P; sleep 0.12; done";
    let (code, said) = rolled(&mut stand, "stalls", does);
    assert!(code == 1 && said.contains("requests slower than"), "{said}");
    assert_eq!(stand.epochs(), [0; 3]);
}

#[test]
fn one_that_is_killed_is_started_again_and_clients_find_it_at_the_same_door() {
    let mut stand = stand(1);
    let (staff, supervisor) = (stand.fleet().proxies[0].management, stand.fleet().proxies[0].process.id());
    let before = status(staff)["started_ms"].clone();
    let now = stand.fleet().backends.now_ms();
    stand.fleet().excuse(0, now - 1_500.0, now + 2_500.0);
    // Its only child: the program itself.
    let supervisor = supervisor.expect("an id").to_string();
    let killed = Command::new("pkill").args(["-KILL", "-P", &supervisor]).status().expect("pkill");
    assert!(killed.success());
    soon("another runs", || {
        let now = status(staff);
        now["started_ms"] != before && now["started_ms"] != 0
    });
    thread::sleep(Duration::from_secs(3));
    stand.nothing_lost();
    assert!(stand.fleet().proxies[0].process.shut_down(), "told to stop it ends, and its process with it");
}
