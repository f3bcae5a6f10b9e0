//! Staged rollouts of settings on real processes under traffic, with network faults between them.

use crate::support::{get, raw_call, wait_until};
use flintwell_rig::fleet::{Fleet, FleetSpec};
use flintwell_rig::relay::LinkMode;
use flintwell_standins::backends::Fault;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_flintwell");
/// A rollout takes seconds, but longer on a busy machine.
const MAX_ROLLOUT_TIME: Duration = Duration::from_secs(60);
/// Longer than any test; the clients end with the runtime of their test.
const LOAD_TIME: Duration = Duration::from_secs(90);

/// A fleet of real processes under traffic, and a directory for rollout plans. All of it ends when dropped.
pub struct TestFleet {
    fleet: Option<Fleet>,
    runtime: Option<tokio::runtime::Runtime>,
    pub directory: TempDir,
}

impl TestFleet {
    pub fn new(shape: FleetSpec) -> Self {
        let directory = tempfile::tempdir().expect("create directory");
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.expect("build runtime");
        let fleet = runtime.block_on(async {
            let mut fleet =
                Fleet::start(shape, Path::new(PROGRAM), directory.path()).await.expect("running fleet");
            fleet.start_clients(1, LOAD_TIME);
            fleet
        });
        TestFleet { fleet: Some(fleet), runtime: Some(runtime), directory }
    }

    /// The running fleet.
    pub fn rig(&mut self) -> &mut Fleet {
        self.fleet.as_mut().expect("running fleet")
    }

    /// Writes a rollout plan for these settings, with times of seconds, and returns its path.
    pub fn plan(&mut self, name: &str, settings: &Value) -> PathBuf {
        let file = self.directory.path().join(format!("{name}.toml"));
        let new = self.directory.path().join(format!("{name}.json"));
        std::fs::write(&new, settings.to_string()).expect("settings");
        let what = if settings["program"].is_string() { "programs" } else { "settings" };
        let mut text = format!(
            "fleet = \"rig\"\nwhat = \"{what}\"\nsettings = \"{name}.json\"\nstages = [\"canary\", \"50%\", \"100%\"]\n[times]\n\
             observe_s = 1\nsettle_s = 0.3\nwatch_s = 3\nconfirm_within_s = 3\nunheard_s = 1\ndoubt_s = 6\n\
             [limits]\naccesses = 1000\n"
        );
        for proxy in &self.rig().proxies {
            let (name, zone, at) = (&proxy.process.name, &proxy.zone, proxy.management);
            text += &format!("[[members]]\nname = \"{name}\"\nzone = \"{zone}\"\nat = \"{at}\"\n");
        }
        std::fs::write(&file, text).expect("read plan");
        file
    }

    /// The epoch that each proxy has in force.
    pub fn epochs(&mut self) -> Vec<u64> {
        let management: Vec<_> = self.rig().proxies.iter().map(|proxy| proxy.management).collect();
        management.into_iter().map(|at| status(at)["epoch"].as_u64().expect("epoch")).collect()
    }

    /// Waits until the condition holds for the epochs in force.
    pub fn wait_for_epochs(&mut self, what: &str, condition: impl Fn(&[u64]) -> bool) {
        let start = Instant::now();
        while !condition(&self.epochs()) {
            assert!(start.elapsed() < MAX_ROLLOUT_TIME, "{what}: {:?}", self.epochs());
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Asserts that there was traffic, every request was answered and no rule was violated.
    pub fn assert_no_violations(&mut self) {
        let book = self.rig().request_log.clone();
        wait_until("there is traffic", || book.entries().len() > 100);
        let breaches = self.rig().breaches();
        assert!(breaches.is_empty(), "{breaches:#?}");
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        self.fleet.take();
        self.runtime.take().expect("present").shutdown_background();
    }
}

/// The rollout status of a proxy.
pub fn status(at: std::net::SocketAddr) -> Value {
    serde_json::from_str(&get(at, "/api/rollout/status").1).expect("status")
}

fn shape() -> FleetSpec {
    let mut shape = FleetSpec { proxies: 6, zones: vec!["a".into(), "b".into()], ..FleetSpec::default() };
    shape.load.rate = 40.0;
    shape
}

/// A running `flintwell rollout` command; killed when dropped.
pub struct RolloutCommand(Child);

impl RolloutCommand {
    pub fn start(command: &str, plan: &Path) -> Self {
        let mut program = Command::new(PROGRAM);
        program.args(["rollout", command]).arg(plan).stdout(Stdio::piped()).stderr(Stdio::piped());
        RolloutCommand(program.spawn().expect("spawn flintwell"))
    }
    /// Waits for the end of the command: its exit code, and its output and errors.
    pub fn finish(mut self) -> (i32, String) {
        let start = Instant::now();
        while self.0.try_wait().expect("query state").is_none() {
            assert!(start.elapsed() < MAX_ROLLOUT_TIME, "the command does not end");
            thread::sleep(Duration::from_millis(20));
        }
        let mut text = String::new();
        let (out, err) = (self.0.stdout.take().expect("stdout"), self.0.stderr.take().expect("stderr"));
        for mut pipe in [Box::new(out) as Box<dyn std::io::Read>, Box::new(err)] {
            pipe.read_to_string(&mut text).expect("UTF-8");
        }
        (self.0.wait().expect("exit status").code().expect("exit code"), text)
    }
}

impl Drop for RolloutCommand {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Settings with a latency target for reads that is far shorter than a response takes.
fn harmful_settings() -> Value {
    let case = |name: &str, effect: &str, goal: f64| {
        json!({"name": name, "effect": effect, "group": "all", "key_ttl": 3.0, "goal_time": goal,
            "overdue_earnings": 0.0, "outer_limit": 1.0})
    };
    json!({"use_cases": [case("read", "safe", 0.002), case("write", "keyed", 0.5), case("once", "unsafe", 0.5)]})
}

fn harmless_settings() -> Value {
    json!({"limits": {"max_hand_offs": 5}})
}

#[test]
fn staged_change_reaches_all_members_survives_a_restart_and_can_be_undone() {
    let mut fleet = TestFleet::new(shape());
    let plan = fleet.plan("good", &harmless_settings());
    let (code, output) = RolloutCommand::start("plan", &plan).finish();
    assert!(code == 0 && output.contains("keys with a new home cache: 0.0 %"), "{output}");
    assert_eq!(fleet.epochs(), [0; 6], "the plan command changes nothing");
    let (code, output) = RolloutCommand::start("start", &plan).finish();
    assert_eq!((code, fleet.epochs()), (0, vec![1; 6]), "{output}");
    let proxy = &mut fleet.rig().proxies[3];
    let member = status(proxy.management);
    assert_eq!((&member["unconfirmed"], &member["former"]), (&json!(false), &json!(0)));
    let settings: Value =
        serde_json::from_str(&get(proxy.management, "/api/rollout/settings").1).expect("settings");
    assert_eq!(settings["limits"]["max_hand_offs"], 5);
    fleet.assert_no_violations();
    // A restarted process has the settings that were confirmed.
    let now = fleet.rig().backends.now_ms();
    fleet.rig().excuse(3, now - 1_500.0, f64::MAX);
    fleet.rig().proxies[3].process.kill();
    fleet.rig().proxies[3].process.spawn().expect("start proxy");
    let until = fleet.rig().backends.now_ms() + 500.0;
    fleet.rig().end_excuse(3, until);
    assert_eq!(fleet.epochs(), [1; 6]);
    let (code, output) = RolloutCommand::start("undo", &plan).finish();
    assert!(code == 1 && output.contains("undone by the operator"), "{output}");
    assert_eq!(fleet.epochs(), [0; 6]);
    fleet.assert_no_violations();
}

#[test]
fn harmful_change_is_undone_at_its_canaries() {
    let mut fleet = TestFleet::new(shape());
    let plan = fleet.plan("bad", &harmful_settings());
    let rollout = RolloutCommand::start("start", &plan);
    fleet.wait_for_epochs("the canaries have the new epoch", |epochs| epochs.contains(&1));
    let canaries_changed_at = Instant::now();
    let (code, output) = rollout.finish();
    let took = canaries_changed_at.elapsed();
    assert!(code == 1 && output.contains("the new are worse"), "{output}");
    assert_eq!(fleet.epochs(), [0; 6]);
    assert!(took < Duration::from_secs(15), "undone {took:?} after the canaries had it");
    let status = RolloutCommand::start("status", &plan).finish().1;
    assert!(status.contains("Undone, stage 1 of 3"), "{status}");
    fleet.assert_no_violations();
}

#[test]
fn members_revert_when_the_rollout_command_is_killed_and_a_new_one_resumes() {
    let mut fleet = TestFleet::new(shape());
    let plan = fleet.plan("killed", &harmless_settings());
    let rollout = RolloutCommand::start("start", &plan);
    fleet.wait_for_epochs("some members have the new epoch", |epochs| epochs.contains(&1));
    drop(rollout);
    fleet.wait_for_epochs("all members reverted on their own", |epochs| epochs == [0; 6]);
    let (code, output) = RolloutCommand::start("start", &plan).finish();
    assert!(code == 0 && output.contains("resuming epoch 1"), "{output}");
    assert_eq!(fleet.epochs(), [1; 6]);
    fleet.assert_no_violations();
}

#[test]
fn unreachable_member_holds_the_rollout_until_it_is_reachable_again() {
    let mut fleet = TestFleet::new(shape());
    let plan = fleet.plan("cut", &harmless_settings());
    let rollout = RolloutCommand::start("start", &plan);
    fleet.wait_for_epochs("the canaries have the new epoch", |epochs| epochs[..2] == [1, 1]);
    // Its responses are lost while requests arrive, then nothing passes either way.
    assert_eq!(fleet.rig().set_link_mode("n0", "staff", LinkMode::HoldResponses), 1);
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(fleet.rig().set_link_mode("n0", "staff", LinkMode::Cut), 1);
    let report = || -> String { RolloutCommand::start("status", &plan).finish().1 };
    wait_until("the rollout is on hold", || report().contains("not heard: n0"));
    thread::sleep(Duration::from_secs(3));
    assert!(report().contains("stage 1 of 3"), "{}", report());
    fleet.rig().set_link_mode("n0", "staff", LinkMode::Pass);
    let (code, output) = rollout.finish();
    assert_eq!((code, fleet.epochs()), (0, vec![1; 6]), "{output}");
    fleet.assert_no_violations();
}

#[test]
fn fault_at_old_and_new_members_alike_holds_the_rollout_without_undoing_it() {
    let mut fleet = TestFleet::new(shape());
    let plan = fleet.plan("both", &harmless_settings());
    let rollout = RolloutCommand::start("start", &plan);
    fleet.wait_for_epochs("the canaries have the new epoch", |epochs| epochs.contains(&1));
    // The origin refuses all, so misses and writes fail at old and new members alike.
    assert!(fleet.rig().backends.set_fault("origin", Fault::Full));
    let report = || -> String { RolloutCommand::start("status", &plan).finish().1 };
    wait_until("the rollout is on hold", || report().contains("both worse"));
    thread::sleep(Duration::from_secs(1));
    assert!(fleet.rig().backends.set_fault("origin", Fault::None));
    let (code, output) = rollout.finish();
    assert_eq!((code, fleet.epochs()), (0, vec![1; 6]), "{output}");
    fleet.assert_no_violations();
}

#[test]
fn at_most_one_of_two_concurrent_rollouts_succeeds_and_all_members_agree() {
    let mut fleet = TestFleet::new(shape());
    let (first, second) =
        (fleet.plan("first", &harmless_settings()), fleet.plan("second", &json!({"fleet_size": 7})));
    let (first, second) = (RolloutCommand::start("start", &first), RolloutCommand::start("start", &second));
    let (first, second) = (first.finish(), second.finish());
    assert!(first.0 != 0 || second.0 != 0, "both succeeded: {} {}", first.1, second.1);
    let epochs = fleet.epochs();
    assert!(epochs.iter().all(|epoch| *epoch == epochs[0]), "{epochs:?} {} {}", first.1, second.1);
    fleet.assert_no_violations();
}

#[test]
fn rejected_or_unrecordable_stage_requests_change_nothing() {
    let mut fleet = TestFleet::new(FleetSpec { proxies: 1, ..shape() });
    let (at, state) = (fleet.rig().proxies[0].management, fleet.rig().proxies[0].state_dir.clone());
    let before = status(at);
    let settings = get(at, "/api/rollout/settings").1;
    let hash = flintwell_rollout::wire::hash(&serde_json::from_str(&settings).expect("valid JSON"));
    let stage = |fleet: &str, hash: &str| {
        format!(r#"{{"protocol":1,"fleet":"{fleet}","epoch":1,"hash":"{hash}","settings":{settings}}}"#)
    };
    let post = |path: &str, body: &str| {
        let length = body.len();
        raw_call(at, &format!("POST {path} HTTP/1.1\r\nHost: m\r\nContent-Length: {length}\r\n\r\n{body}"))
    };
    let path = "/api/rollout/stage";
    let oversized = format!(r#"{{"fleet":"{}"}}"#, "x".repeat(300_000));
    for (expected, reason, body) in [
        (409, "fleet \\\"other\\\" is not ours", stage("other", &hash)),
        (409, "the hash is not that", stage("rig", "00")),
        (400, "EOF", stage("rig", &hash)[..80].to_owned()),
        (413, "too long", oversized),
    ] {
        let (code, text, _) = post(path, &body);
        assert!(code == expected && text.contains(reason) && text.lines().count() == 1, "{code}: {text}");
    }
    assert_eq!(
        post("/api/rollout/apply", r#"{"protocol":1,"fleet":"rig","epoch":1,"hash":"","within_ms":9}"#).0,
        409
    );
    assert_eq!(get(at, "/api/rollout/nothing").0, 404);
    assert_eq!(status(at), before);
    // State can't be written: a step that can't be recorded must not be taken.
    std::fs::remove_dir_all(&state).expect("remove state directory");
    let (code, text, _) = post(path, &stage("rig", &hash));
    assert!(code == 507 && text.contains("nothing has changed"), "{code}: {text}");
    assert_eq!(status(at), before);
    fleet.assert_no_violations();
}

#[test]
fn all_errors_of_an_invalid_plan_are_reported_and_nothing_changes() {
    let mut fleet = TestFleet::new(FleetSpec { proxies: 2, ..shape() });
    let plan = fleet.plan("wrong", &json!({"specifics": {"mode": "through"}}));
    let (code, output) = RolloutCommand::start("start", &plan).finish();
    assert!(code == 2 && output.matches("specifics can't change without a restart").count() == 2, "{output}");
    let text = std::fs::read_to_string(&plan).expect("read plan").replace("observe_s", "observed_s");
    std::fs::write(&plan, text.replace("n1", "n0")).expect("write");
    let (code, output) = RolloutCommand::start("start", &plan).finish();
    assert!(
        code == 2 && output.contains(":6: unknown key \"observed_s\"") && output.contains("is there twice"),
        "{output}"
    );
    assert_eq!(fleet.epochs(), [0, 0]);
}
