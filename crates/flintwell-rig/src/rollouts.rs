//! Many rollouts, good and bad, each on a fresh fleet of real processes under load, some with a fault beside: how far
//! each came, what it cost, and how often the verdict was wrong.

use crate::check::Breach;
use crate::fleet::{Fleet, FleetSpec};
use crate::relay::LinkMode;
use flintwell_standins::backends::Fault;
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::{Value, json};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::process::Command;
use tokio::time::sleep;

const LONGEST: Duration = Duration::from_secs(180); // for one rollout
const FAULT_AT: f64 = 6.0; // s after the start; the canaries have the change by then
const FAULT_FOR: f64 = 4.0; // s
const ANSWERS: Duration = Duration::from_secs(10); // for a member to say where it stands, however busy the machine
const LOOK: Duration = Duration::from_millis(100); // between looks at how far it is

const KILLED_WITHIN: u64 = 8_000; // ms; past a whole rollout of the quick limits
/// For verdicts that count, and for rollouts that are only to come to an end.
const MEASURED: &str = "[times]\nobserve_s = 2\nsettle_s = 1\nwatch_s = 5\nconfirm_within_s = 6\nunheard_s = 1.5\n\
    doubt_s = 8\n[limits]\naccesses = 4000\n";
const QUICK: &str = "[times]\nobserve_s = 0.5\nsettle_s = 0.1\nwatch_s = 0.5\nconfirm_within_s = 2\nunheard_s = 0.7\n\
    doubt_s = 8\n[limits]\naccesses = 500\n";

/// A change, and whether it is good.
struct Change {
    name: &'static str,
    good: bool,
    what: What,
}

enum What {
    Settings(fn() -> Value),
    /// What a version of the program does, as a script that ends with its supervisor; `$REAL` is the program.
    Program(&'static str),
}

fn cases(read: f64, write: f64, once: f64) -> Value {
    let case = |name: &str, effect: &str, goal: f64| {
        json!({"name": name, "effect": effect, "group": "all", "key_ttl": 3.0, "goal_time": goal,
            "overdue_earnings": 0.0, "outer_limit": 1.0})
    };
    json!({"use_cases": [case("read", "safe", read), case("write", "keyed", write), case("once", "unsafe", once)]})
}

const fn change(name: &'static str, good: bool, what: What) -> Change {
    Change { name, good, what }
}

const CHANGES: [Change; 16] = [
    change("one hand-off more", true, What::Settings(|| json!({"limits": {"max_hand_offs": 5}}))),
    change("longer advice", true, What::Settings(|| json!({"limits": {"max_retry_after": 2.0}}))),
    change("longer goal times", true, What::Settings(|| cases(0.55, 0.55, 0.55))),
    change("a larger fleet told", true, What::Settings(|| json!({"fleet_size": 26}))),
    change("the same program", true, What::Program("exec $REAL \"$@\"")),
    change("reads given up at once", false, What::Settings(|| cases(0.002, 0.5, 0.5))),
    change("a tenth of reads late", false, What::Settings(|| cases(0.03, 0.5, 0.5))),
    change("single-use given up", false, What::Settings(|| cases(0.5, 0.5, 0.001))),
    change("writes given up", false, What::Settings(|| cases(0.5, 0.02, 0.5))),
    change("one hand-off only", false, What::Settings(|| json!({"limits": {"max_hand_offs": 1}}))),
    change(
        "homes moved at once",
        false,
        What::Settings(|| json!({"penalties": {"cross_zone": 0.5}, "weights": "nominal"})),
    ),
    change("does not start", false, What::Program("exit 3")),
    change("never ready", false, What::Program("while kill -0 $PPID; do sleep 0.2; done")),
    change(
        "ends after 5 s",
        false,
        What::Program("sh -c 'LISTEN_PID=$$ exec \"$0\" \"$@\"' $REAL \"$@\" &\nsleep 5\nkill -9 $!\nexit 9"),
    ),
    change(
        "stands still a third of the time",
        false,
        What::Program(
            "sh -c 'LISTEN_PID=$$ exec \"$0\" \"$@\"' $REAL \"$@\" &\nP=$!\ntrap 'kill -CONT $P; kill $P; exit 0' TERM\n\
             sleep 1\nwhile kill -0 $PPID && kill -STOP $P; do sleep 0.05; kill -CONT $P; sleep 0.1; done",
        ),
    ),
    change(
        "stands still for 0.3 s every 10 s",
        false,
        What::Program(
            "sh -c 'LISTEN_PID=$$ exec \"$0\" \"$@\"' $REAL \"$@\" &\nP=$!\ntrap 'kill -CONT $P; kill $P; exit 0' TERM\n\
             sleep 1\nwhile kill -0 $PPID && kill -STOP $P; do sleep 0.3; kill -CONT $P; N=0; \
             while [ $N -lt 97 ] && kill -0 $PPID; do sleep 0.1; N=$((N+1)); done; done",
        ),
    ),
];

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum ConcurrentFault {
    Nothing,
    OriginFull,
    ZoneSilent,
    SlowNode,
    ProxyPaused,
}

#[derive(Clone, Debug, Serialize)]
pub struct RolloutResult {
    pub seed: u64,
    pub change: String,
    pub good: bool,
    #[serde(rename = "beside")]
    pub concurrent_fault: ConcurrentFault,
    /// The exit code of the one who rolled out; none past the longest time.
    pub code: Option<i32>,
    pub why: String,
    /// The most members that had the change, of how many.
    pub reached: usize,
    pub members: usize,
    pub took_s: f64,
    /// From when the first member had it until none had, where it was undone.
    pub harmed_s: f64,
    #[serde(rename = "accesses")]
    pub requests: usize,
    /// Without an answer in their time, not excused by a kill or pause of ours.
    pub lost: usize,
    /// The share of requests not served while any member had the change.
    #[serde(rename = "not_honoured")]
    pub not_served: f64,
    pub breaches: Vec<Breach>,
}

impl RolloutResult {
    /// A good one has to end with all, a bad one with none.
    pub fn is_correct(&self) -> bool {
        self.code == Some(i32::from(!self.good))
    }
}

fn io(error: std::io::Error) -> String {
    error.to_string()
}

/// One rollout, drawn by its seed: every other one good, every third with a fault beside.
pub async fn run_rollout(
    seed: u64,
    shape: &FleetSpec,
    program: &Path,
    folder: &Path,
) -> Result<RolloutResult, String> {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let wanted: Vec<&Change> =
        CHANGES.iter().filter(|change| change.good == seed.is_multiple_of(2)).collect();
    let change = wanted[(seed / 2) as usize % wanted.len()];
    let faults = [
        ConcurrentFault::OriginFull,
        ConcurrentFault::ZoneSilent,
        ConcurrentFault::SlowNode,
        ConcurrentFault::ProxyPaused,
    ];
    let beside =
        if seed % 3 == 2 { faults[chance.random_range(0..faults.len())] } else { ConcurrentFault::Nothing };
    let programs = matches!(change.what, What::Program(_));
    let shape = FleetSpec { supervised: programs, ..shape.clone() };
    let members = shape.proxies;
    let program = std::path::absolute(program).map_err(io)?;
    let mut fleet = Fleet::start(shape, &program, folder).await?;
    fleet.start_clients(seed, LONGEST);
    sleep(Duration::from_secs(2)).await;
    let plan = plan(&fleet, change, &program, folder)?;
    let mut command = Command::new(&program);
    command.args(["rollout", "start"]).arg(&plan).stdout(Stdio::null()).stderr(Stdio::piped());
    let (began, began_ms) = (Instant::now(), fleet.backends.now_ms());
    let mut rolls = command.kill_on_drop(true).spawn().map_err(io)?;
    let state = plan.with_file_name("plan.toml.state").join("status.json");
    let (mut reached, mut span, mut why, mut done) = (0, None::<(f64, f64)>, String::new(), 0);
    let mut code = None;
    while began.elapsed() < LONGEST {
        let at = began.elapsed().as_secs_f64();
        let due = [FAULT_AT, FAULT_AT + FAULT_FOR];
        if done < due.len() && at >= due[done] {
            sets(&mut fleet, beside, done == 0);
            done += 1;
        }
        if let Some((having, told)) = having(&state) {
            reached = reached.max(having);
            why = told;
            if having > 0 {
                let now = fleet.backends.now_ms();
                span = Some((span.map_or(now, |span| span.0), now));
            }
        }
        // Looked at before its end is: what it told last counts too.
        if let Some(status) = rolls.try_wait().map_err(io)? {
            code = status.code();
            break;
        }
        sleep(LOOK).await;
    }
    let took_s = began.elapsed().as_secs_f64();
    sets(&mut fleet, beside, false);
    if why.is_empty() && code == Some(2) {
        let mut text = String::new();
        if let Some(mut pipe) = rolls.stderr.take() {
            tokio::io::AsyncReadExt::read_to_string(&mut pipe, &mut text).await.map_err(io)?;
        }
        why = text;
    }
    // What was asked last has its answer, or is lost for good.
    sleep(Duration::from_millis(1_600)).await;
    let end_ms = fleet.backends.now_ms() - 1_600.0;
    if change.name == "ends after 5 s" {
        // What it has in hand when it is killed is lost with it, as with any crash; the canaries are the first.
        (0..fleet.proxies.len()).for_each(|n| fleet.excuse(n, began_ms, f64::MAX));
    }
    let seen: Vec<_> = fleet.request_log.entries().into_iter().filter(|seen| seen.at_ms < end_ms).collect();
    let within = |at: f64| span.is_some_and(|(from, to)| (from..to).contains(&at));
    let during: Vec<_> = seen.iter().filter(|seen| within(seen.at_ms)).collect();
    let not = during.iter().filter(|seen| seen.status != Some(200)).count();
    let breaches: Vec<Breach> = fleet.breaches().into_iter().filter(|one| one.at_ms < end_ms).collect();
    Ok(RolloutResult {
        seed,
        change: change.name.into(),
        good: change.good,
        concurrent_fault: beside,
        code,
        why,
        reached,
        members,
        took_s,
        harmed_s: span.map_or(0.0, |(from, to)| (to - from) / 1e3),
        requests: seen.len(),
        lost: breaches.iter().filter(|breach| breach.rule == 1).count(),
        not_served: not as f64 / during.len().max(1) as f64,
        breaches,
    })
}

/// What came of kills at random points.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KillSummary {
    pub rollouts: usize,
    /// Of the one who rolls out, and of members.
    pub kills: usize,
    pub members: usize,
    /// Rollouts after which members had different settings in force, or unconfirmed ones.
    #[serde(rename = "torn")]
    pub inconsistent: usize,
    pub lost: usize,
}

/// Rolls good changes out on one fleet, one after the other, and kills the one who does so at random points until it
/// was killed `count` times; at every second of its kills a member as well. After each rollout the fleet is looked at.
pub async fn run_kills(
    count: usize,
    shape: &FleetSpec,
    program: &Path,
    folder: &Path,
) -> Result<KillSummary, String> {
    let mut chance = ChaCha8Rng::seed_from_u64(1);
    let program = std::path::absolute(program).map_err(io)?;
    let mut fleet = Fleet::start(shape.clone(), &program, folder).await?;
    fleet.start_clients(1, LONGEST * 20);
    let mut killed = KillSummary::default();
    while killed.kills < count {
        killed.rollouts += 1;
        let below = folder.join(format!("rollout-{}", killed.rollouts));
        std::fs::create_dir_all(&below).map_err(io)?;
        // Each other than the one before.
        let new = json!({"limits": {"max_hand_offs": 4 + killed.rollouts % 2}}).to_string();
        let plan = writes(&fleet, "settings", &new, QUICK, &below)?;
        let began = Instant::now();
        loop {
            let mut command = Command::new(&program);
            command.args(["rollout", "start"]).arg(&plan).stdout(Stdio::null()).stderr(Stdio::null());
            let mut rolls = command.kill_on_drop(true).spawn().map_err(io)?;
            let lives = Duration::from_millis(chance.random_range(0..KILLED_WITHIN));
            // In the end it lives, or no rollout would ever end.
            let lives = if killed.kills < count && began.elapsed() < LONGEST / 2 { lives } else { LONGEST };
            match tokio::time::timeout(lives, rolls.wait()).await {
                // A change that could not begin, as one of before was under way in time that it had: once more.
                Ok(Ok(status)) if status.code() == Some(2) && began.elapsed() < LONGEST => {
                    sleep(LOOK * 10).await
                }
                Ok(Ok(_)) => break,
                Ok(Err(error)) => return Err(io(error)),
                Err(_) => {
                    let _ = rolls.kill().await;
                    killed.kills += 1;
                    if killed.kills.is_multiple_of(2) {
                        let n = chance.random_range(0..fleet.proxies.len());
                        fleet.excuse(n, fleet.backends.now_ms() - 1_500.0, f64::MAX);
                        fleet.proxies[n].process.kill();
                        fleet.proxies[n].process.spawn()?;
                        fleet.end_excuse(n, fleet.backends.now_ms() + 500.0);
                        killed.members += 1;
                    }
                    sleep(Duration::from_millis(chance.random_range(0..KILLED_WITHIN / 4))).await;
                }
            }
        }
        let mut stands = Vec::new();
        for proxy in &fleet.proxies {
            let told = status(proxy.management).await.ok_or("a member does not say where it stands")?;
            stands.push((told["epoch"].clone(), told["unconfirmed"] == json!(true)));
        }
        let whole = stands.iter().all(|one| one.0 == stands[0].0 && !one.1);
        killed.inconsistent += usize::from(!whole);
    }
    killed.lost = fleet.breaches().len();
    Ok(killed)
}

/// Where a member says it stands.
async fn status(at: std::net::SocketAddr) -> Option<Value> {
    let path = "/api/rollout/status";
    let called = flintwell_call::send_request(at, Method::GET, path, Default::default(), ANSWERS).await;
    serde_json::from_slice(&called.ok()?.1).ok()
}

/// How many members have the change, as the one who rolls out shows it, and why it went back, if it did.
fn having(state: &Path) -> Option<(usize, String)> {
    let told: Value = serde_json::from_slice(&std::fs::read(state).ok()?).ok()?;
    let epoch = &told["journal"]["epoch"];
    let members = told["members"].as_array()?;
    let having = members.iter().filter(|member| member["epoch"] == *epoch).count();
    Some((having, told["journal"]["why"].as_str().unwrap_or_default().to_owned()))
}

fn plan(fleet: &Fleet, change: &Change, program: &Path, folder: &Path) -> Result<PathBuf, String> {
    let settings = match change.what {
        What::Settings(settings) => settings(),
        What::Program(does) => {
            let file = folder.join("version");
            std::fs::write(&file, format!("#!/bin/sh\nREAL={}\n{does}\n", program.display())).map_err(io)?;
            std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o755)).map_err(io)?;
            json!({ "program": file })
        }
    };
    let what = if matches!(change.what, What::Program(_)) { "programs" } else { "settings" };
    writes(fleet, what, &settings.to_string(), MEASURED, folder)
}

fn writes(fleet: &Fleet, what: &str, new: &str, limits: &str, folder: &Path) -> Result<PathBuf, String> {
    std::fs::write(folder.join("new.json"), new).map_err(io)?;
    let mut text = format!(
        "fleet = \"rig\"\nwhat = \"{what}\"\nsettings = \"new.json\"\nstages = [\"canary\", \"30%\", \"100%\"]\n{limits}"
    );
    for proxy in &fleet.proxies {
        let (name, zone, at) = (&proxy.process.name, &proxy.zone, proxy.management);
        text += &format!("[[members]]\nname = \"{name}\"\nzone = \"{zone}\"\nat = \"{at}\"\n");
    }
    let file = folder.join("plan.toml");
    std::fs::write(&file, text).map_err(io)?;
    Ok(file)
}

fn sets(fleet: &mut Fleet, beside: ConcurrentFault, on: bool) {
    let fault = |fault: Fault| if on { fault } else { Fault::None };
    match beside {
        ConcurrentFault::Nothing => {}
        ConcurrentFault::OriginFull => {
            fleet.backends.set_fault("origin", fault(Fault::Full));
        }
        ConcurrentFault::SlowNode => {
            fleet.backends.set_fault("cache-a0", fault(Fault::Slow(20.0)));
        }
        ConcurrentFault::ZoneSilent => {
            let way = if on { LinkMode::Cut } else { LinkMode::Pass };
            fleet.set_link_mode("*", "zone:b", way);
        }
        ConcurrentFault::ProxyPaused => {
            let Some(last) = fleet.proxies.len().checked_sub(1) else { return };
            let now = fleet.backends.now_ms();
            if on {
                fleet.proxies[last].process.pause();
                fleet.excuse(last, now - 1_500.0, f64::MAX);
            } else {
                fleet.proxies[last].process.resume();
                fleet.end_excuse(last, now + 500.0);
            }
        }
    }
}
