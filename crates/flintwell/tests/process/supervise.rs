//! Upgrades under a supervisor: a new version starts beside the old one, takes over, and is rolled back if it fails.

use crate::rollout::{PROGRAM, RolloutCommand, TestFleet, status};
use crate::support::{Client, post, wait_until};
use flintwell_rig::fleet::FleetSpec;
use flintwell_rollout::wire::{EpochRequest, PROTOCOL_VERSION, hash};
use serde_json::json;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A program that serves clients and never says that it is ready, since it opens another management address.
const NEVER_READY: &str = "export EDGE_MGMT=127.0.0.1:0\nexec $REAL \"$@\"";
/// A program that is not ready and does not stop on SIGTERM; it ends with its supervisor.
const UNSTOPPABLE: &str = "trap '' TERM\nwhile kill -0 $PPID 2>/dev/null; do sleep 0.1; done";

/// A supervised fleet in one zone.
fn supervised_fleet(proxies: usize) -> TestFleet {
    fleet_with_cache_time(proxies, FleetSpec::default().caches.time_ms)
}

/// A supervised fleet whose caches take this long, so that a process always has requests in hand.
fn fleet_with_cache_time(proxies: usize, time_ms: f64) -> TestFleet {
    let mut shape = FleetSpec { proxies, zones: vec!["a".into()], supervised: true, ..FleetSpec::default() };
    shape.load.rate = 120.0;
    shape.caches.time_ms = time_ms;
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

/// Clients that send each request on a connection of its own, so that every process at the socket gets some.
struct NewConnections {
    is_ended: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<Vec<Instant>>>,
}

impl NewConnections {
    const CLIENTS: usize = 30;

    fn start(addr: SocketAddr) -> Self {
        let is_ended = Arc::<AtomicBool>::default();
        let clients = (0..Self::CLIENTS).map(|n| {
            let is_ended = is_ended.clone();
            thread::spawn(move || {
                let ids = (0..).take_while(|_| !is_ended.load(Ordering::Relaxed));
                let started = ids.map(|k| (Instant::now(), is_answered(addr, &format!("new-{n}-{k}"))));
                started.filter(|(_, is_answered)| !is_answered).map(|(at, _)| at).collect()
            })
        });
        NewConnections { clients: clients.collect(), is_ended }
    }

    /// Ends the clients: when the requests that got no answer were sent.
    fn finish(self) -> Vec<Instant> {
        self.is_ended.store(true, Ordering::Relaxed);
        self.clients.into_iter().flat_map(|client| client.join().expect("client")).collect()
    }
}

/// Whether a request on a new connection gets an answer.
fn is_answered(addr: SocketAddr, id: &str) -> bool {
    let Ok(stream) = TcpStream::connect(addr) else { return false };
    stream.set_read_timeout(Some(Duration::from_secs(3))).expect("set read timeout");
    let mut client = Client(BufReader::new(stream));
    client.send_request("read", id);
    client.read_response().is_some()
}

/// A version that serves and is never ready, its rollout while it starts, and clients.
fn start_never_ready(fleet: &mut TestFleet) -> (PathBuf, RolloutCommand, NewConnections) {
    let clients = NewConnections::start(fleet.rig().proxies[0].listen);
    let program = version(fleet, "never-ready", NEVER_READY);
    let plan = fleet.plan("to-never-ready", &json!({ "program": program }));
    let rollout = RolloutCommand::start("start", &plan);
    let process = &fleet.rig().proxies[0].process;
    let serving = || process.log().iter().filter(|line| line.contains(" serves on ")).count();
    wait_until("the version serves", || serving() == 2);
    thread::sleep(Duration::from_millis(500));
    (program, rollout, clients)
}

/// Guards against killing a process that has taken requests: one that is not ready in time.
#[test]
fn version_that_is_not_ready_in_time_answers_what_it_has_taken() {
    let mut fleet = fleet_with_cache_time(1, 100.0);
    let (_, rollout, clients) = start_never_ready(&mut fleet);
    let (code, output) = rollout.finish();
    assert!(code == 1 && output.contains("was not ready in"), "{output}");
    thread::sleep(Duration::from_secs(1));
    assert_eq!(clients.finish().len(), 0, "requests without an answer");
    fleet.assert_no_violations();
}

/// Guards against the same where the change is taken back while its version starts.
#[test]
fn version_whose_change_is_reverted_while_it_starts_answers_what_it_has_taken() {
    let mut fleet = fleet_with_cache_time(1, 100.0);
    let (program, rollout, clients) = start_never_ready(&mut fleet);
    drop(rollout);
    let revert = EpochRequest {
        protocol: PROTOCOL_VERSION,
        fleet: "rig".into(),
        epoch: 1,
        hash: hash(&json!({ "program": program })),
        confirm_timeout_ms: 0,
        stage: 0,
    };
    let revert = serde_json::to_string(&revert).expect("JSON");
    assert_eq!(post(fleet.rig().proxies[0].management, "/api/rollout/revert", &revert), 200);
    thread::sleep(Duration::from_secs(1));
    assert_eq!(clients.finish().len(), 0, "requests without an answer");
    fleet.assert_no_violations();
}

/// Guards against the same where the version is ready and its change can't be recorded.
#[test]
fn version_whose_change_cannot_be_recorded_answers_what_it_has_taken() {
    let mut fleet = fleet_with_cache_time(1, 100.0);
    let clients = NewConnections::start(fleet.rig().proxies[0].listen);
    let program = version(&fleet, "late", "sleep 1\nexec $REAL \"$@\"");
    let plan = fleet.plan("to-late", &json!({ "program": program }));
    let rollout = RolloutCommand::start("start", &plan);
    let process = &fleet.rig().proxies[0].process;
    let started = || process.log().iter().filter(|line| line.contains("supervise: started ")).count();
    wait_until("the version is started", || started() == 2);
    // The next record would be written to a file of this name first.
    let blocked = format!("n0/supervised/new-{}", process.id().expect("process id"));
    std::fs::create_dir(fleet.directory.path().join(blocked)).expect("create directory");
    let (code, output) = rollout.finish();
    assert!(code == 1 && output.contains("could not be recorded"), "{output}");
    thread::sleep(Duration::from_secs(1));
    assert_eq!(clients.finish().len(), 0, "requests without an answer");
    fleet.assert_no_violations();
}

/// Guards against the same where the supervisor is stopped while a version starts.
#[test]
fn supervisor_that_is_stopped_lets_a_starting_version_answer_what_it_has_taken() {
    let mut fleet = fleet_with_cache_time(1, 100.0);
    let (_, rollout, clients) = start_never_ready(&mut fleet);
    drop(rollout);
    fleet.rig().mark_down(0);
    let stopped_at = Instant::now();
    assert!(fleet.rig().proxies[0].process.shut_down(), "the supervisor ends");
    // Later ones may find nobody.
    assert_eq!(clients.finish().into_iter().filter(|sent_at| *sent_at < stopped_at).count(), 0);
    fleet.assert_no_violations();
}

/// Guards against a bad version on its way out that holds up the next rollout.
#[test]
fn rollout_succeeds_while_a_failed_version_has_not_stopped() {
    let mut fleet = supervised_fleet(1);
    let (code, output) = roll_out(&mut fleet, "unstoppable", UNSTOPPABLE);
    assert!(code == 1 && output.contains("was not ready in"), "{output}");
    let (code, output) = roll_out(&mut fleet, "good", "exec $REAL \"$@\"");
    assert_eq!((code, fleet.epochs()), (0, vec![2]), "{output}");
    fleet.assert_no_violations();
}
