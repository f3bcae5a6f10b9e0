//! Changes of settings on several real processes under traffic, with faults on the paths between them.

use crate::support::{get, says, soon};
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
const ENDS: Duration = Duration::from_secs(60); // for a rollout of seconds on a busy machine
const DAY: Duration = Duration::from_secs(90); // clients come for longer than any test; each ends with its runtime

/// A fleet under traffic with a plan beside it. Ended whole when dropped.
pub struct Stand {
    fleet: Option<Fleet>,
    runtime: Option<tokio::runtime::Runtime>,
    pub folder: TempDir,
}

impl Stand {
    pub fn new(shape: FleetSpec) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.expect("a runtime");
        let fleet = runtime.block_on(async {
            let mut fleet = Fleet::start(shape, Path::new(PROGRAM), folder.path()).await.expect("a fleet");
            fleet.start_clients(1, DAY);
            fleet
        });
        Stand { fleet: Some(fleet), runtime: Some(runtime), folder }
    }

    pub fn fleet(&mut self) -> &mut Fleet {
        self.fleet.as_mut().expect("a fleet")
    }

    /// A plan of these settings, with times of seconds.
    pub fn plan(&mut self, name: &str, settings: &Value) -> PathBuf {
        let file = self.folder.path().join(format!("{name}.toml"));
        let new = self.folder.path().join(format!("{name}.json"));
        std::fs::write(&new, settings.to_string()).expect("settings");
        let what = if settings["program"].is_string() { "programs" } else { "settings" };
        let mut text = format!(
            "fleet = \"rig\"\nwhat = \"{what}\"\nsettings = \"{name}.json\"\nstages = [\"canary\", \"50%\", \"100%\"]\n[times]\n\
             observe_s = 1\nsettle_s = 0.3\nwatch_s = 3\nconfirm_within_s = 3\nunheard_s = 1\ndoubt_s = 6\n\
             [limits]\naccesses = 1000\n"
        );
        for proxy in &self.fleet().proxies {
            let (name, zone, at) = (&proxy.process.name, &proxy.zone, proxy.management);
            text += &format!("[[members]]\nname = \"{name}\"\nzone = \"{zone}\"\nat = \"{at}\"\n");
        }
        std::fs::write(&file, text).expect("a plan");
        file
    }

    pub fn epochs(&mut self) -> Vec<u64> {
        let staff: Vec<_> = self.fleet().proxies.iter().map(|proxy| proxy.management).collect();
        staff.into_iter().map(|at| status(at)["epoch"].as_u64().expect("an epoch")).collect()
    }

    /// Waits until it holds of the epochs in force.
    pub fn until(&mut self, what: &str, holds: impl Fn(&[u64]) -> bool) {
        let began = Instant::now();
        while !holds(&self.epochs()) {
            assert!(began.elapsed() < ENDS, "{what}: {:?}", self.epochs());
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Every request so far had its answer, and no rule is broken.
    pub fn nothing_lost(&mut self) {
        let book = self.fleet().request_log.clone();
        soon("there is traffic", || book.entries().len() > 100);
        let breaches = self.fleet().breaches();
        assert!(breaches.is_empty(), "{breaches:#?}");
    }
}

impl Drop for Stand {
    fn drop(&mut self) {
        self.fleet.take();
        self.runtime.take().expect("it").shutdown_background();
    }
}

pub fn status(at: std::net::SocketAddr) -> Value {
    serde_json::from_str(&get(at, "/api/rollout/status").1).expect("a status")
}

fn shape() -> FleetSpec {
    let mut shape = FleetSpec { proxies: 6, zones: vec!["a".into(), "b".into()], ..FleetSpec::default() };
    shape.load.rate = 40.0;
    shape
}

/// One who rolls out, ended with this.
pub struct Rolls(Child);

impl Rolls {
    pub fn start(command: &str, plan: &Path) -> Self {
        let mut program = Command::new(PROGRAM);
        program.args(["rollout", command]).arg(plan).stdout(Stdio::piped()).stderr(Stdio::piped());
        Rolls(program.spawn().expect("the program"))
    }
    /// Its exit code and all that it said.
    pub fn ends(mut self) -> (i32, String) {
        let began = Instant::now();
        while self.0.try_wait().expect("its state").is_none() {
            assert!(began.elapsed() < ENDS, "it does not end");
            thread::sleep(Duration::from_millis(20));
        }
        let mut said = String::new();
        let (out, err) = (self.0.stdout.take().expect("out"), self.0.stderr.take().expect("err"));
        for mut pipe in [Box::new(out) as Box<dyn std::io::Read>, Box::new(err)] {
            pipe.read_to_string(&mut said).expect("text");
        }
        (self.0.wait().expect("its end").code().expect("a code"), said)
    }
}

impl Drop for Rolls {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Reads are given up long before their answer.
fn harmful() -> Value {
    let case = |name: &str, effect: &str, goal: f64| {
        json!({"name": name, "effect": effect, "group": "all", "key_ttl": 3.0, "goal_time": goal,
            "overdue_earnings": 0.0, "outer_limit": 1.0})
    };
    json!({"use_cases": [case("read", "safe", 0.002), case("write", "keyed", 0.5), case("once", "unsafe", 0.5)]})
}

fn harmless() -> Value {
    json!({"limits": {"max_hand_offs": 5}})
}

#[test]
fn a_good_change_reaches_all_by_stages_survives_a_kill_and_is_undone_by_hand() {
    let mut stand = Stand::new(shape());
    let plan = stand.plan("good", &harmless());
    let (code, said) = Rolls::start("plan", &plan).ends();
    assert!(code == 0 && said.contains("go to another cache first: 0.0 %"), "{said}");
    assert_eq!(stand.epochs(), [0; 6], "a plan changes nothing");
    let (code, said) = Rolls::start("start", &plan).ends();
    assert_eq!((code, stand.epochs()), (0, vec![1; 6]), "{said}");
    let proxy = &mut stand.fleet().proxies[3];
    let told = status(proxy.management);
    assert_eq!((&told["unconfirmed"], &told["former"]), (&json!(false), &json!(0)));
    let settings: Value =
        serde_json::from_str(&get(proxy.management, "/api/rollout/settings").1).expect("settings");
    assert_eq!(settings["limits"]["max_hand_offs"], 5);
    stand.nothing_lost();
    // Killed and started anew it has what was confirmed.
    let now = stand.fleet().backends.now_ms();
    stand.fleet().excuse(3, now - 1_500.0, f64::MAX);
    stand.fleet().proxies[3].process.kill();
    stand.fleet().proxies[3].process.spawn().expect("started");
    let until = stand.fleet().backends.now_ms() + 500.0;
    stand.fleet().end_excuse(3, until);
    assert_eq!(stand.epochs(), [1; 6]);
    let (code, said) = Rolls::start("undo", &plan).ends();
    assert!(code == 1 && said.contains("undone by the staff"), "{said}");
    assert_eq!(stand.epochs(), [0; 6]);
    stand.nothing_lost();
}

#[test]
fn a_bad_change_is_taken_back_at_its_canaries() {
    let mut stand = Stand::new(shape());
    let plan = stand.plan("bad", &harmful());
    let rolls = Rolls::start("start", &plan);
    stand.until("the canaries have it", |epochs| epochs.contains(&1));
    let harmed = Instant::now();
    let (code, said) = rolls.ends();
    let took = harmed.elapsed();
    assert!(code == 1 && said.contains("the new are worse"), "{said}");
    assert_eq!(stand.epochs(), [0; 6]);
    assert!(took < Duration::from_secs(15), "undone {took:?} after it began");
    let status = Rolls::start("status", &plan).ends().1;
    assert!(status.contains("Undone, stage 1 of 3"), "{status}");
    stand.nothing_lost();
}

#[test]
fn one_who_rolls_out_is_killed_members_go_back_by_themselves_and_it_goes_on() {
    let mut stand = Stand::new(shape());
    let plan = stand.plan("killed", &harmless());
    let rolls = Rolls::start("start", &plan);
    stand.until("some have it", |epochs| epochs.contains(&1));
    drop(rolls);
    stand.until("all went back by themselves", |epochs| epochs == [0; 6]);
    let (code, said) = Rolls::start("start", &plan).ends();
    assert!(code == 0 && said.contains("goes on with epoch 1"), "{said}");
    assert_eq!(stand.epochs(), [1; 6]);
    stand.nothing_lost();
}

#[test]
fn a_member_cut_off_holds_the_rollout_and_has_it_in_the_end() {
    let mut stand = Stand::new(shape());
    let plan = stand.plan("cut", &harmless());
    let rolls = Rolls::start("start", &plan);
    stand.until("the canaries have it", |epochs| epochs[..2] == [1, 1]);
    // What it answers is lost; what it is told arrives. Then nothing.
    assert_eq!(stand.fleet().set_link_mode("n0", "staff", LinkMode::HoldResponses), 1);
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(stand.fleet().set_link_mode("n0", "staff", LinkMode::Cut), 1);
    let report = || -> String { Rolls::start("status", &plan).ends().1 };
    soon("it is held", || report().contains("not heard: n0"));
    thread::sleep(Duration::from_secs(3));
    assert!(report().contains("stage 1 of 3"), "{}", report());
    stand.fleet().set_link_mode("n0", "staff", LinkMode::Pass);
    let (code, said) = rolls.ends();
    assert_eq!((code, stand.epochs()), (0, vec![1; 6]), "{said}");
    stand.nothing_lost();
}

#[test]
fn a_fault_that_meets_old_and_new_alike_holds_and_is_not_blamed_on_the_change() {
    let mut stand = Stand::new(shape());
    let plan = stand.plan("both", &harmless());
    let rolls = Rolls::start("start", &plan);
    stand.until("the canaries have it", |epochs| epochs.contains(&1));
    // The origin takes nothing: what is new or written is lost everywhere.
    assert!(stand.fleet().backends.set_fault("origin", Fault::Full));
    let report = || -> String { Rolls::start("status", &plan).ends().1 };
    soon("it is held", || report().contains("both worse"));
    thread::sleep(Duration::from_secs(1));
    assert!(stand.fleet().backends.set_fault("origin", Fault::None));
    let (code, said) = rolls.ends();
    assert_eq!((code, stand.epochs()), (0, vec![1; 6]), "{said}");
    stand.nothing_lost();
}

#[test]
fn of_two_rollouts_at_once_one_wins_everywhere() {
    let mut stand = Stand::new(shape());
    let (first, second) = (stand.plan("first", &harmless()), stand.plan("second", &json!({"fleet_size": 7})));
    let (first, second) = (Rolls::start("start", &first), Rolls::start("start", &second));
    let (first, second) = (first.ends(), second.ends());
    assert!(first.0 != 0 || second.0 != 0, "both won: {} {}", first.1, second.1);
    let epochs = stand.epochs();
    assert!(epochs.iter().all(|epoch| *epoch == epochs[0]), "{epochs:?} {} {}", first.1, second.1);
    stand.nothing_lost();
}

#[test]
fn what_is_foreign_cut_oversized_or_cannot_be_recorded_changes_nothing() {
    let mut stand = Stand::new(FleetSpec { proxies: 1, ..shape() });
    let (at, state) = (stand.fleet().proxies[0].management, stand.fleet().proxies[0].state_dir.clone());
    let before = status(at);
    let settings = get(at, "/api/rollout/settings").1;
    let hash = flintwell_rollout::wire::hash(&serde_json::from_str(&settings).expect("JSON"));
    let stage = |fleet: &str, hash: &str| {
        format!(r#"{{"protocol":1,"fleet":"{fleet}","epoch":1,"hash":"{hash}","settings":{settings}}}"#)
    };
    let post = |path: &str, body: &str| {
        let length = body.len();
        says(at, &format!("POST {path} HTTP/1.1\r\nHost: m\r\nContent-Length: {length}\r\n\r\n{body}"))
    };
    let path = "/api/rollout/stage";
    let long = format!(r#"{{"fleet":"{}"}}"#, "x".repeat(300_000));
    for (status, why, body) in [
        (409, "fleet \\\"other\\\" is not ours", stage("other", &hash)),
        (409, "the hash is not that", stage("rig", "00")),
        (400, "EOF", stage("rig", &hash)[..80].to_owned()),
        (413, "too long", long),
    ] {
        let (told, said, _) = post(path, &body);
        assert!(told == status && said.contains(why) && said.lines().count() == 1, "{told}: {said}");
    }
    assert_eq!(
        post("/api/rollout/apply", r#"{"protocol":1,"fleet":"rig","epoch":1,"hash":"","within_ms":9}"#).0,
        409
    );
    assert_eq!(get(at, "/api/rollout/nothing").0, 404);
    assert_eq!(status(at), before);
    // The disk takes nothing: no step is taken that it does not know of.
    std::fs::remove_dir_all(&state).expect("its folder gone");
    let (told, said, _) = post(path, &stage("rig", &hash));
    assert!(told == 507 && said.contains("nothing has changed"), "{told}: {said}");
    assert_eq!(status(at), before);
    stand.nothing_lost();
}

#[test]
fn a_plan_that_is_wrong_is_told_whole_and_touches_nothing() {
    let mut stand = Stand::new(FleetSpec { proxies: 2, ..shape() });
    let plan = stand.plan("wrong", &json!({"specifics": {"mode": "through"}}));
    let (code, said) = Rolls::start("start", &plan).ends();
    assert!(code == 2 && said.matches("specifics can't change without a restart").count() == 2, "{said}");
    let text = std::fs::read_to_string(&plan).expect("it").replace("observe_s", "observed_s");
    std::fs::write(&plan, text.replace("n1", "n0")).expect("written");
    let (code, said) = Rolls::start("start", &plan).ends();
    assert!(
        code == 2 && said.contains(":6: unknown key \"observed_s\"") && said.contains("is there twice"),
        "{said}"
    );
    assert_eq!(stand.epochs(), [0, 0]);
}
