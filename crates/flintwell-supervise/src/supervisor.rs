//! The supervisor: which process is running, which one is being started, and what happens when one exits.

use crate::Settings;
use crate::http::{Call, get, serve};
use flintwell_rollout::member::{Member, Refusal, Transition, Version};
use flintwell_rollout::wire::{EpochRequest, MemberCounters, StageRequest, Status};
use flintwell_state::RecordStore;
use hyper::{Method, StatusCode};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::os::fd::OwnedFd;
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

/// Between checks of the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Before an exited program is restarted for the first time; doubled with each further exit.
const MIN_RESTART_DELAY: Duration = Duration::from_millis(100);
/// Limits the restart delay to 6.4 s.
const MAX_DELAY_DOUBLINGS: u32 = 6;
/// A process that ran for longer resets the restart delay.
const STABLE_RUN_TIME: Duration = Duration::from_secs(30);
/// Time between SIGTERM and SIGKILL. Covers the longest response to a slow reader.
const STOP_TIMEOUT: Duration = Duration::from_secs(75);
/// Moves the listening socket from stdin to descriptor 3 and announces it by systemd's socket activation protocol. The
/// shell's process id stays that of the program, as `LISTEN_PID` requires.
const EXEC_SCRIPT: &str = r#"LISTEN_PID=$$ LISTEN_FDS=1 EDGE_LISTEN_FD=3 exec "$0" "$@" 3<&0 </dev/null"#;

/// A process of one version.
struct Process {
    child: Child,
    version: Version,
    /// Index of its management address.
    address_index: usize,
    began: Instant,
    started_ms: u64,
}

/// Why a process is started.
enum StartPurpose {
    /// To take over with a change, which is in force from then on.
    Change(Box<Transition>),
    /// To run the version in force, since it is not running.
    Restore,
    /// To restart the version in force as a control for this epoch and stage, so that it is compared with changed
    /// members whose processes are as new.
    Control((u64, usize)),
}

struct Supervisor {
    settings: Settings,
    socket: OwnedFd,
    store: RecordStore,
    member: Member,
    began: Instant,
    current: Option<Process>,
    starting: Option<(Process, StartPurpose)>,
    /// Processes that were asked to stop, and when.
    stopping: Vec<(Child, Instant)>,
    /// Unexpected exits and failed starts since the last stable run.
    exit_count: u32,
    /// No process is started to restore the version in force before this.
    restart_at: Instant,
    /// Why the staged change could not be put in force.
    change_error: Option<String>,
    /// Epoch and stage of the last restart as a control.
    control_stage: Option<(u64, usize)>,
}

fn log(message: &str) {
    eprintln!("flintwell: supervise: {message}");
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn program(version: &Version) -> String {
    version.settings["program"].as_str().unwrap_or_default().to_owned()
}

/// Checks that a change replaces nothing but the program and that the new program exists.
fn check_change(old: &Value, new: &Value) -> Result<(), String> {
    let without_program = |value: &Value| {
        let mut value = value.clone();
        value.as_object_mut().map(|object| object.remove("program"));
        value
    };
    if without_program(old) != without_program(new) {
        return Err("a supervisor accepts only changes of program".into());
    }
    let path = new["program"].as_str().ok_or("program must be a path")?;
    let metadata = std::fs::metadata(path).map_err(|error| format!("program {path}: {error}"))?;
    if metadata.is_file() { Ok(()) } else { Err(format!("program {path}: not a regular file")) }
}

impl Supervisor {
    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn spawn(&self, version: &Version, address_index: usize) -> Result<Process, String> {
        let path = program(version);
        let socket = self.socket.try_clone();
        let socket = socket.map_err(|error| format!("cannot duplicate the listening socket: {error}"))?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", EXEC_SCRIPT, &path, "serve", "--config"]).arg(&self.settings.config);
        command.env("EDGE_MGMT", self.settings.management[address_index].to_string());
        command.env("EDGE_SUPERVISED", "1").env("TMPDIR", &self.settings.state);
        command.stdin(Stdio::from(socket)).kill_on_drop(true);
        let child = command.spawn().map_err(|error| format!("{path}: {error}"))?;
        log(&format!("started {path} as process {}", child.id().unwrap_or(0)));
        let version = version.clone();
        Ok(Process { child, version, address_index, began: Instant::now(), started_ms: unix_ms() })
    }

    /// Starts a version next to the running one, with the other management address.
    fn begin_start(&mut self, version: &Version, purpose: StartPurpose) {
        let address_index = self.current.as_ref().map_or(0, |process| 1 - process.address_index);
        match self.spawn(version, address_index) {
            Ok(process) => self.starting = Some((process, purpose)),
            Err(why) => self.on_start_failure(why, purpose),
        }
    }

    fn on_start_failure(&mut self, why: String, purpose: StartPurpose) {
        log(&why);
        match purpose {
            StartPurpose::Change(_) => self.change_error = Some(why),
            StartPurpose::Restore => self.schedule_restart(),
            // The conductor repeats its request.
            StartPurpose::Control(_) => {}
        }
    }

    /// Schedules a restart with exponential backoff.
    fn schedule_restart(&mut self) {
        let delay = MIN_RESTART_DELAY * 2_u32.pow(self.exit_count.min(MAX_DELAY_DOUBLINGS));
        self.exit_count += 1;
        self.restart_at = Instant::now() + delay;
    }

    fn write_record(&self) {
        if let Err(error) = self.store.write(self.member.record()) {
            log(&format!("version in force not recorded on disk: {error}"));
        }
    }

    /// Handles exits, time-outs and due starts. `ready_id` is the id of a process that reported ready.
    fn poll(&mut self, ready_id: Option<u32>) {
        let now = self.now();
        if let Some(process) = &mut self.current
            && let Ok(Some(status)) = process.child.try_wait()
        {
            log(&format!("{} exited: {status}", program(&process.version)));
            if process.began.elapsed() > STABLE_RUN_TIME {
                self.exit_count = 0;
            }
            let (epoch, hash) = (process.version.epoch, process.version.hash.clone());
            self.current = None;
            // An exit while the change is unconfirmed reverts the change.
            if self.member.record().unconfirmed {
                let protocol = flintwell_rollout::wire::PROTOCOL_VERSION;
                let fleet = self.settings.fleet.clone();
                let message = EpochRequest { protocol, fleet, epoch, hash, confirm_timeout_ms: 0, stage: 0 };
                if self.member.revert(&message).is_ok() {
                    self.write_record();
                }
            } else {
                self.schedule_restart();
            }
        }
        if let Some(record) = self.member.tick(now) {
            log(&format!("change not confirmed in time; reverted to epoch {}", record.active.epoch));
            self.write_record();
        }
        self.poll_starting(ready_id);
        let wanted = self.member.active().clone();
        let differs = self.current.as_ref().is_none_or(|process| process.version != wanted);
        if self.starting.is_none() && differs && Instant::now() >= self.restart_at {
            self.begin_start(&wanted, StartPurpose::Restore);
        }
        self.stopping.retain_mut(|(child, since)| {
            let has_exited = !matches!(child.try_wait(), Ok(None));
            if !has_exited && since.elapsed() > STOP_TIMEOUT {
                let _ = child.start_kill();
            }
            !has_exited
        });
    }

    /// Checks whether the process being started is ready, has exited or has timed out.
    fn poll_starting(&mut self, ready_id: Option<u32>) {
        let Some((mut process, purpose)) = self.starting.take() else { return };
        let path = program(&process.version);
        if let Ok(Some(status)) = process.child.try_wait() {
            return self.on_start_failure(format!("{path} ended before it was ready: {status}"), purpose);
        }
        if process.child.id().is_some() && process.child.id() == ready_id {
            if let StartPurpose::Change(step) = purpose {
                if let Err(error) = self.store.write(&step.record) {
                    // Dropping the process kills it. It shared the socket with the running one only briefly.
                    return self.on_start_failure(
                        format!("change could not be recorded; nothing has changed: {error}"),
                        StartPurpose::Change(step),
                    );
                }
                self.member.commit(step.with_timer_from(self.now()));
            } else if let StartPurpose::Control(stage) = purpose {
                self.control_stage = Some(stage);
            }
            log(&format!("{path} is ready, epoch {}", process.version.epoch));
            if let Some(old) = self.current.replace(process) {
                let id = old.child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
                let _ = id.map(|id| kill_process(id, Signal::TERM));
                self.stopping.push((old.child, Instant::now()));
            }
        } else if process.began.elapsed() > Duration::from_secs_f64(self.settings.ready_within_s) {
            let why = format!("{path} was not ready in {} s", self.settings.ready_within_s);
            self.on_start_failure(why, purpose);
        } else {
            self.starting = Some((process, purpose));
        }
    }

    /// The status reports the version that is running, even if another one is in force.
    fn status(&self) -> Status {
        let started = self.current.as_ref().map_or(0, |process| process.started_ms);
        let path = self.current.as_ref().map(|process| program(&process.version)).unwrap_or_default();
        let mut status = self.member.status(self.now(), &self.settings.name, &path, started);
        if let Some(process) = &self.current {
            (status.epoch, status.hash) = (process.version.epoch, process.version.hash.clone());
        }
        status.apply_error.clone_from(&self.change_error);
        status.restarted_for = self.control_stage;
        status
    }

    /// Handles a message from the rollout's conductor.
    fn handle_message(&mut self, call: &Call) -> Result<(), (StatusCode, String)> {
        let conflict = |refusal: Refusal| (StatusCode::CONFLICT, refusal.to_string());
        let bad_request = |error: serde_json::Error| (StatusCode::BAD_REQUEST, error.to_string());
        let now = self.now();
        let named = || serde_json::from_slice::<EpochRequest>(&call.body).map_err(bad_request);
        match &*call.path {
            "stage" => {
                let stage: StageRequest = serde_json::from_slice(&call.body).map_err(bad_request)?;
                let step = self.member.stage(&stage, check_change).map_err(conflict)?;
                self.write_step(&step)?;
                self.change_error = None;
                self.member.commit(step);
            }
            "apply" => {
                let step = self.member.apply(now, &named()?).map_err(conflict)?;
                // Danger: a process that is still stopping may hold the management address that the new one needs.
                if !self.stopping.is_empty() {
                    return Err((StatusCode::CONFLICT, "a previous process is still stopping".into()));
                }
                // A repeated message has no effect.
                if let Some(step) = step.filter(|_| self.starting.is_none() && self.change_error.is_none()) {
                    let version = step.record.active.clone();
                    self.begin_start(&version, StartPurpose::Change(Box::new(step)));
                }
            }
            "renew" => self.member.renew(now, &named()?).map_err(conflict)?,
            "again" => {
                let named = named()?;
                // The message must belong to the newest change known here; one of an older rollout is rejected.
                let fence = self.member.record().fence;
                if named.fleet != self.settings.fleet || named.epoch < fence {
                    let (fleet, epoch, own) = (&named.fleet, named.epoch, &self.settings.fleet);
                    return Err((
                        StatusCode::CONFLICT,
                        format!(
                            "fleet {fleet:?}, epoch {epoch}: expected fleet {own:?}, epoch {fence} or later"
                        ),
                    ));
                }
                let is_idle = self.starting.is_none() && self.stopping.is_empty();
                let stage = (named.epoch, named.stage);
                if is_idle && self.control_stage != Some(stage) && self.current.is_some() {
                    let version = self.member.active().clone();
                    self.begin_start(&version, StartPurpose::Control(stage));
                }
            }
            "confirm" => {
                if let Some(step) = self.member.confirm(&named()?).map_err(conflict)? {
                    self.write_step(&step)?;
                    self.member.commit(step);
                }
            }
            "revert" => {
                let named = named()?;
                self.member.revert(&named).map_err(conflict)?;
                // Cancels the start of the reverted version.
                if matches!(
                    &self.starting,
                    Some((process, StartPurpose::Change(_))) if process.version.hash == named.hash
                ) {
                    self.starting = None;
                }
                self.write_record();
            }
            _ => return Err((StatusCode::NOT_FOUND, "unknown path".into())),
        }
        Ok(())
    }

    fn write_step(&self, step: &Transition) -> Result<(), (StatusCode, String)> {
        self.store.write(&step.record).map_err(|error| {
            let why = format!("change could not be recorded; nothing has changed: {error}");
            (StatusCode::INSUFFICIENT_STORAGE, why)
        })
    }
}

/// Asks the process being started whether it is ready, then polls all processes. Calls are handled during the wait.
async fn poll(supervisor: &Rc<RefCell<Supervisor>>) {
    let starting = {
        let supervisor = supervisor.borrow();
        let process = supervisor.starting.as_ref().map(|(process, _)| process);
        process.and_then(|process| {
            Some((process.child.id()?, supervisor.settings.management[process.address_index]))
        })
    };
    let ready_id = match starting {
        Some((id, addr)) => get(addr, "/api/ready").await.map(|_| id),
        None => None,
    };
    supervisor.borrow_mut().poll(ready_id);
}

async fn handle_call(supervisor: Rc<RefCell<Supervisor>>, call: Call) -> (StatusCode, String) {
    let json = |value: Result<String, serde_json::Error>| match value {
        Ok(text) => (StatusCode::OK, text),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, json!({"error": error.to_string()}).to_string()),
    };
    if call.method == Method::POST {
        let result = supervisor.borrow_mut().handle_message(&call);
        return match result {
            Ok(()) => json(serde_json::to_string(&supervisor.borrow().status())),
            Err((status, why)) => (status, json!({ "error": why }).to_string()),
        };
    }
    let current = {
        let supervisor = supervisor.borrow();
        let facts = |process: &Process| {
            let addr = supervisor.settings.management[process.address_index];
            (addr, process.version.epoch, process.started_ms)
        };
        supervisor.current.as_ref().map(facts)
    };
    match (&*call.path, current) {
        ("status", _) => json(serde_json::to_string(&supervisor.borrow().status())),
        ("settings", _) => json(serde_json::to_string(&supervisor.borrow().member.active().settings)),
        ("figures", Some((addr, epoch, started_ms))) => {
            let response = get(addr, "/api/rollout/figures").await;
            let figures = response.and_then(|text| serde_json::from_slice::<MemberCounters>(&text).ok());
            // The process counts epochs of its settings; the supervisor's epoch is that of the program's version.
            let figures = MemberCounters { epoch, started_ms, ..figures.unwrap_or_default() };
            json(serde_json::to_string(&figures))
        }
        ("nodes", Some((addr, ..))) => match get(addr, "/api/rollout/nodes").await {
            Some(text) => (StatusCode::OK, String::from_utf8_lossy(&text).trim().to_owned()),
            None => (StatusCode::BAD_GATEWAY, json!({"error": "the process did not answer"}).to_string()),
        },
        _ => (StatusCode::NOT_FOUND, json!({"error": "unknown path, or no process is running"}).to_string()),
    }
}

/// Runs the supervisor until SIGTERM or SIGINT.
pub async fn run(settings: Settings) -> Result<(), String> {
    let (mut term, mut int) = match (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) {
        (Ok(term), Ok(int)) => (term, int),
        (Err(error), _) | (_, Err(error)) => return Err(format!("signals: {error}")),
    };
    let domain = socket2::Domain::for_address(settings.listen);
    let bound = socket2::Socket::new(domain, socket2::Type::STREAM, None).and_then(|socket| {
        socket.set_reuse_address(true)?;
        socket.bind(&settings.listen.into())?;
        socket.listen(1_024)?;
        Ok(OwnedFd::from(socket))
    });
    let socket = bound.map_err(|error| format!("listen {}: {error}", settings.listen))?;
    let control = TcpListener::bind(settings.control).await;
    let control = control.map_err(|error| format!("control {}: {error}", settings.control))?;
    let store = RecordStore::open(&settings.state)?;
    let configured = json!({"program": settings.program});
    check_change(&configured, &configured)?;
    let stored = store.read().map_err(|why| log(&why)).ok().flatten();
    let member = Member::new(&settings.fleet, stored, &configured);
    store.write(member.record()).map_err(|error| format!("state {}: {error}", settings.state.display()))?;
    let began = Instant::now();
    let supervisor = Rc::new(RefCell::new(Supervisor {
        settings,
        socket,
        store,
        member,
        began,
        current: None,
        starting: None,
        stopping: Vec::new(),
        exit_count: 0,
        restart_at: began,
        change_error: None,
        control_stage: None,
    }));
    let for_calls = supervisor.clone();
    serve(control, move |call| handle_call(for_calls.clone(), call));
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            () = sleep(POLL_INTERVAL) => {}
        }
        poll(&supervisor).await;
    }
    log("stopping");
    let mut children: Vec<Child> =
        supervisor.borrow_mut().stopping.drain(..).map(|(child, _)| child).collect();
    children.extend(supervisor.borrow_mut().current.take().map(|process| process.child));
    for child in &children {
        let id = child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        let _ = id.map(|id| kill_process(id, Signal::TERM));
    }
    for mut child in children {
        let _ = tokio::time::timeout(STOP_TIMEOUT, child.wait()).await;
    }
    Ok(())
}
