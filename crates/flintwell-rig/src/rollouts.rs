//! Rollouts of good and bad changes, each on a new fleet of real processes under load, some with a concurrent fault: how
//! far each got, how many requests it harmed, and whether the verdict was right.

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

const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(180);
const FAULT_START_S: f64 = 6.0; // after the start; the canaries have the change by then
const FAULT_DURATION_S: f64 = 4.0;
const STATUS_TIMEOUT: Duration = Duration::from_secs(10); // for a member's status; allows for a busy machine
const POLL_INTERVAL: Duration = Duration::from_millis(100);

const MAX_KILL_DELAY_MS: u64 = 8_000; // longer than a whole rollout with SHORT_LIMITS
/// Times and limits for rollouts whose verdict is judged.
const JUDGED_LIMITS: &str = "[times]\nobserve_s = 2\nsettle_s = 1\nwatch_s = 5\nconfirm_within_s = 6\nunheard_s = 1.5\n\
    doubt_s = 8\n[limits]\naccesses = 4000\n";
/// Times and limits for rollouts that only have to end.
const SHORT_LIMITS: &str = "[times]\nobserve_s = 0.5\nsettle_s = 0.1\nwatch_s = 0.5\nconfirm_within_s = 2\nunheard_s = 0.7\n\
    doubt_s = 8\n[limits]\naccesses = 500\n";

/// A change to roll out, and whether it is good.
struct Change {
    name: &'static str,
    good: bool,
    content: ChangeContent,
}

enum ChangeContent {
    Settings(fn() -> Value),
    /// Body of a shell script that is rolled out as the program; `$REAL` is the real program. It exits with its supervisor.
    Program(&'static str),
}

fn class_settings(read: f64, write: f64, once: f64) -> Value {
    let class = |name: &str, effect: &str, goal: f64| {
        json!({"name": name, "effect": effect, "group": "all", "key_ttl": 3.0, "goal_time": goal,
            "overdue_earnings": 0.0, "outer_limit": 1.0})
    };
    json!({"use_cases": [class("read", "safe", read), class("write", "keyed", write), class("once", "unsafe", once)]})
}

const fn change(name: &'static str, good: bool, content: ChangeContent) -> Change {
    Change { name, good, content }
}

const CHANGES: [Change; 16] = [
    change("one hand-off more", true, ChangeContent::Settings(|| json!({"limits": {"max_hand_offs": 5}}))),
    change("longer advice", true, ChangeContent::Settings(|| json!({"limits": {"max_retry_after": 2.0}}))),
    change("longer goal times", true, ChangeContent::Settings(|| class_settings(0.55, 0.55, 0.55))),
    change("a larger fleet told", true, ChangeContent::Settings(|| json!({"fleet_size": 26}))),
    change("the same program", true, ChangeContent::Program("exec $REAL \"$@\"")),
    change("reads given up at once", false, ChangeContent::Settings(|| class_settings(0.002, 0.5, 0.5))),
    change("a tenth of reads late", false, ChangeContent::Settings(|| class_settings(0.03, 0.5, 0.5))),
    change("single-use given up", false, ChangeContent::Settings(|| class_settings(0.5, 0.5, 0.001))),
    change("writes given up", false, ChangeContent::Settings(|| class_settings(0.5, 0.02, 0.5))),
    change("one hand-off only", false, ChangeContent::Settings(|| json!({"limits": {"max_hand_offs": 1}}))),
    change(
        "homes moved at once",
        false,
        ChangeContent::Settings(|| json!({"penalties": {"cross_zone": 0.5}, "weights": "nominal"})),
    ),
    change("does not start", false, ChangeContent::Program("exit 3")),
    change("never ready", false, ChangeContent::Program("while kill -0 $PPID; do sleep 0.2; done")),
    change(
        "ends after 5 s",
        false,
        ChangeContent::Program(
            "sh -c 'LISTEN_PID=$$ exec \"$0\" \"$@\"' $REAL \"$@\" &\nsleep 5\nkill -9 $!\nexit 9",
        ),
    ),
    change(
        "stands still a third of the time",
        false,
        ChangeContent::Program(
            "sh -c 'LISTEN_PID=$$ exec \"$0\" \"$@\"' $REAL \"$@\" &\nP=$!\ntrap 'kill -CONT $P; kill $P; exit 0' TERM\n\
             sleep 1\nwhile kill -0 $PPID && kill -STOP $P; do sleep 0.05; kill -CONT $P; sleep 0.1; done",
        ),
    ),
    change(
        "stands still for 0.3 s every 10 s",
        false,
        ChangeContent::Program(
            "sh -c 'LISTEN_PID=$$ exec \"$0\" \"$@\"' $REAL \"$@\" &\nP=$!\ntrap 'kill -CONT $P; kill $P; exit 0' TERM\n\
             sleep 1\nwhile kill -0 $PPID && kill -STOP $P; do sleep 0.3; kill -CONT $P; N=0; \
             while [ $N -lt 97 ] && kill -0 $PPID; do sleep 0.1; N=$((N+1)); done; done",
        ),
    ),
];

/// A fault injected during a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum ConcurrentFault {
    Nothing,
    OriginFull,
    ZoneSilent,
    SlowNode,
    ProxyPaused,
}

/// Result of one rollout.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutResult {
    pub seed: u64,
    pub change: String,
    pub good: bool,
    #[serde(rename = "beside")]
    pub concurrent_fault: ConcurrentFault,
    /// Exit code of the rollout command; none if it timed out.
    pub code: Option<i32>,
    pub why: String,
    /// The largest number of members that had the change at once.
    pub reached: usize,
    pub members: usize,
    pub took_s: f64,
    /// Time from when the first member had the change until the last one had it no more, s.
    pub harmed_s: f64,
    #[serde(rename = "accesses")]
    pub requests: usize,
    /// Requests without a response before the deadline, except those excused by an injected kill or pause.
    pub lost: usize,
    /// Share of requests that were not served while any member had the change.
    #[serde(rename = "not_honoured")]
    pub not_served: f64,
    pub breaches: Vec<Breach>,
}

impl RolloutResult {
    /// Whether a good change was completed or a bad one rolled back.
    pub fn is_correct(&self) -> bool {
        self.code == Some(i32::from(!self.good))
    }
}

fn io_error(error: std::io::Error) -> String {
    error.to_string()
}

/// Runs one rollout determined by its seed: every second change is good, every third rollout has a concurrent fault.
pub async fn run_rollout(
    seed: u64,
    spec: &FleetSpec,
    program: &Path,
    folder: &Path,
) -> Result<RolloutResult, String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let candidates: Vec<&Change> =
        CHANGES.iter().filter(|change| change.good == seed.is_multiple_of(2)).collect();
    let change = candidates[(seed / 2) as usize % candidates.len()];
    let faults = [
        ConcurrentFault::OriginFull,
        ConcurrentFault::ZoneSilent,
        ConcurrentFault::SlowNode,
        ConcurrentFault::ProxyPaused,
    ];
    let concurrent_fault =
        if seed % 3 == 2 { faults[rng.random_range(0..faults.len())] } else { ConcurrentFault::Nothing };
    let changes_program = matches!(change.content, ChangeContent::Program(_));
    let spec = FleetSpec { supervised: changes_program, ..spec.clone() };
    let members = spec.proxies;
    let program = std::path::absolute(program).map_err(io_error)?;
    let mut fleet = Fleet::start(spec, &program, folder).await?;
    fleet.start_clients(seed, ROLLOUT_TIMEOUT);
    sleep(Duration::from_secs(2)).await;
    let plan = write_change_plan(&fleet, change, &program, folder)?;
    let mut command = Command::new(&program);
    command.args(["rollout", "start"]).arg(&plan).stdout(Stdio::null()).stderr(Stdio::piped());
    let (began, began_ms) = (Instant::now(), fleet.backends.now_ms());
    let mut rollout = command.kill_on_drop(true).spawn().map_err(io_error)?;
    let state = plan.with_file_name("plan.toml.state").join("status.json");
    let (mut reached, mut harm_span, mut why, mut faults_set) = (0, None::<(f64, f64)>, String::new(), 0);
    let mut code = None;
    while began.elapsed() < ROLLOUT_TIMEOUT {
        let at = began.elapsed().as_secs_f64();
        let fault_times = [FAULT_START_S, FAULT_START_S + FAULT_DURATION_S];
        if faults_set < fault_times.len() && at >= fault_times[faults_set] {
            set_fault(&mut fleet, concurrent_fault, faults_set == 0);
            faults_set += 1;
        }
        if let Some((updated, reason)) = members_with_change(&state) {
            reached = reached.max(updated);
            why = reason;
            if updated > 0 {
                let now = fleet.backends.now_ms();
                harm_span = Some((harm_span.map_or(now, |(from, _)| from), now));
            }
        }
        // Checked after the status was read, so that the last status counts too.
        if let Some(status) = rollout.try_wait().map_err(io_error)? {
            code = status.code();
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    let took_s = began.elapsed().as_secs_f64();
    set_fault(&mut fleet, concurrent_fault, false);
    if why.is_empty() && code == Some(2) {
        let mut text = String::new();
        if let Some(mut pipe) = rollout.stderr.take() {
            tokio::io::AsyncReadExt::read_to_string(&mut pipe, &mut text).await.map_err(io_error)?;
        }
        why = text;
    }
    // By then the last requests have a response or are past their deadline.
    sleep(Duration::from_millis(1_600)).await;
    let end_ms = fleet.backends.now_ms() - 1_600.0;
    if change.name == "ends after 5 s" {
        // Requests in flight are lost when the program is killed, as in any crash; the canaries run it first.
        (0..fleet.proxies.len()).for_each(|n| fleet.excuse(n, began_ms, f64::MAX));
    }
    let requests: Vec<_> =
        fleet.request_log.entries().into_iter().filter(|request| request.at_ms < end_ms).collect();
    let in_harm_span = |at: f64| harm_span.is_some_and(|(from, to)| (from..to).contains(&at));
    let harmed: Vec<_> = requests.iter().filter(|request| in_harm_span(request.at_ms)).collect();
    let not_served = harmed.iter().filter(|request| request.status != Some(200)).count();
    let breaches: Vec<Breach> = fleet.breaches().into_iter().filter(|breach| breach.at_ms < end_ms).collect();
    Ok(RolloutResult {
        seed,
        change: change.name.into(),
        good: change.good,
        concurrent_fault,
        code,
        why,
        reached,
        members,
        took_s,
        harmed_s: harm_span.map_or(0.0, |(from, to)| (to - from) / 1e3),
        requests: requests.len(),
        lost: breaches.iter().filter(|breach| breach.rule == 1).count(),
        not_served: not_served as f64 / harmed.len().max(1) as f64,
        breaches,
    })
}

/// Result of rollouts interrupted by kills.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KillSummary {
    pub rollouts: usize,
    /// Kills of the rollout command, and of members.
    pub kills: usize,
    pub members: usize,
    /// Rollouts after which members had different or unconfirmed settings.
    #[serde(rename = "torn")]
    pub inconsistent: usize,
    pub lost: usize,
}

/// Rolls out good changes on one fleet, one after another, and kills the rollout command at random times until it was
/// killed `count` times. With every second kill a member is killed as well. After each rollout the members are compared.
pub async fn run_kills(
    count: usize,
    spec: &FleetSpec,
    program: &Path,
    folder: &Path,
) -> Result<KillSummary, String> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let program = std::path::absolute(program).map_err(io_error)?;
    let mut fleet = Fleet::start(spec.clone(), &program, folder).await?;
    fleet.start_clients(1, ROLLOUT_TIMEOUT * 20);
    let mut summary = KillSummary::default();
    while summary.kills < count {
        summary.rollouts += 1;
        let run_dir = folder.join(format!("rollout-{}", summary.rollouts));
        std::fs::create_dir_all(&run_dir).map_err(io_error)?;
        // Alternates, so that each rollout changes something.
        let new = json!({"limits": {"max_hand_offs": 4 + summary.rollouts % 2}}).to_string();
        let plan = write_plan(&fleet, "settings", &new, SHORT_LIMITS, &run_dir)?;
        let began = Instant::now();
        loop {
            let mut command = Command::new(&program);
            command.args(["rollout", "start"]).arg(&plan).stdout(Stdio::null()).stderr(Stdio::null());
            let mut rollout = command.kill_on_drop(true).spawn().map_err(io_error)?;
            let kill_delay = Duration::from_millis(rng.random_range(0..MAX_KILL_DELAY_MS));
            // After half the time-out it is killed no more, so that each rollout ends.
            let kill_delay = if summary.kills < count && began.elapsed() < ROLLOUT_TIMEOUT / 2 {
                kill_delay
            } else {
                ROLLOUT_TIMEOUT
            };
            match tokio::time::timeout(kill_delay, rollout.wait()).await {
                // It could not start because an earlier change is still in progress: retry.
                Ok(Ok(status)) if status.code() == Some(2) && began.elapsed() < ROLLOUT_TIMEOUT => {
                    sleep(POLL_INTERVAL * 10).await
                }
                Ok(Ok(_)) => break,
                Ok(Err(error)) => return Err(io_error(error)),
                Err(_) => {
                    let _ = rollout.kill().await;
                    summary.kills += 1;
                    if summary.kills.is_multiple_of(2) {
                        let n = rng.random_range(0..fleet.proxies.len());
                        fleet.excuse(n, fleet.backends.now_ms() - 1_500.0, f64::MAX);
                        fleet.proxies[n].process.kill();
                        fleet.proxies[n].process.spawn()?;
                        fleet.end_excuse(n, fleet.backends.now_ms() + 500.0);
                        summary.members += 1;
                    }
                    sleep(Duration::from_millis(rng.random_range(0..MAX_KILL_DELAY_MS / 4))).await;
                }
            }
        }
        let mut statuses = Vec::new();
        for proxy in &fleet.proxies {
            let status =
                fetch_status(proxy.management).await.ok_or("a member did not respond to a status request")?;
            statuses.push((status["epoch"].clone(), status["unconfirmed"] == json!(true)));
        }
        let is_consistent =
            statuses.iter().all(|(epoch, unconfirmed)| *epoch == statuses[0].0 && !unconfirmed);
        summary.inconsistent += usize::from(!is_consistent);
    }
    summary.lost = fleet.breaches().len();
    Ok(summary)
}

/// Requests the rollout status of a member.
async fn fetch_status(at: std::net::SocketAddr) -> Option<Value> {
    let path = "/api/rollout/status";
    let called =
        flintwell_call::send_request(at, Method::GET, path, Default::default(), STATUS_TIMEOUT).await;
    serde_json::from_slice(&called.ok()?.1).ok()
}

/// Reads from the status file how many members have the change, and the reason of a rollback.
fn members_with_change(state: &Path) -> Option<(usize, String)> {
    let status: Value = serde_json::from_slice(&std::fs::read(state).ok()?).ok()?;
    let epoch = &status["journal"]["epoch"];
    let members = status["members"].as_array()?;
    let updated = members.iter().filter(|member| member["epoch"] == *epoch).count();
    Some((updated, status["journal"]["why"].as_str().unwrap_or_default().to_owned()))
}

/// Writes the plan of a change and its settings or program.
fn write_change_plan(
    fleet: &Fleet,
    change: &Change,
    program: &Path,
    folder: &Path,
) -> Result<PathBuf, String> {
    let settings = match change.content {
        ChangeContent::Settings(settings) => settings(),
        ChangeContent::Program(script) => {
            let file = folder.join("version");
            std::fs::write(&file, format!("#!/bin/sh\nREAL={}\n{script}\n", program.display()))
                .map_err(io_error)?;
            std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o755)).map_err(io_error)?;
            json!({ "program": file })
        }
    };
    let kind = if matches!(change.content, ChangeContent::Program(_)) { "programs" } else { "settings" };
    write_plan(fleet, kind, &settings.to_string(), JUDGED_LIMITS, folder)
}

/// Writes a rollout plan with these new settings or this program; `kind` is the plan's `what`.
fn write_plan(fleet: &Fleet, kind: &str, new: &str, limits: &str, folder: &Path) -> Result<PathBuf, String> {
    std::fs::write(folder.join("new.json"), new).map_err(io_error)?;
    let mut text = format!(
        "fleet = \"rig\"\nwhat = \"{kind}\"\nsettings = \"new.json\"\nstages = [\"canary\", \"30%\", \"100%\"]\n{limits}"
    );
    for proxy in &fleet.proxies {
        let (name, zone, at) = (&proxy.process.name, &proxy.zone, proxy.management);
        text += &format!("[[members]]\nname = \"{name}\"\nzone = \"{zone}\"\nat = \"{at}\"\n");
    }
    let file = folder.join("plan.toml");
    std::fs::write(&file, text).map_err(io_error)?;
    Ok(file)
}

/// Injects or removes a concurrent fault.
fn set_fault(fleet: &mut Fleet, concurrent_fault: ConcurrentFault, active: bool) {
    let fault = |fault: Fault| if active { fault } else { Fault::None };
    match concurrent_fault {
        ConcurrentFault::Nothing => {}
        ConcurrentFault::OriginFull => {
            fleet.backends.set_fault("origin", fault(Fault::Full));
        }
        ConcurrentFault::SlowNode => {
            fleet.backends.set_fault("cache-a0", fault(Fault::Slow(20.0)));
        }
        ConcurrentFault::ZoneSilent => {
            let mode = if active { LinkMode::Cut } else { LinkMode::Pass };
            fleet.set_link_mode("*", "zone:b", mode);
        }
        ConcurrentFault::ProxyPaused => {
            let Some(last) = fleet.proxies.len().checked_sub(1) else { return };
            let now = fleet.backends.now_ms();
            if active {
                fleet.proxies[last].process.pause();
                fleet.excuse(last, now - 1_500.0, f64::MAX);
            } else {
                fleet.proxies[last].process.resume();
                fleet.end_excuse(last, now + 500.0);
            }
        }
    }
}
