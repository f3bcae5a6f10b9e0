//! Which version runs, which is being started beside it, and what follows when one ends.

use crate::Settings;
use crate::speech::{Call, ask, hear};
use flintwell_rollout::member::{Member, Refusal, Transition, Version};
use flintwell_rollout::wire::{EpochRequest, MemberCounters, StageRequest, Status};
use flintwell_state::Disk;
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

const TURN: Duration = Duration::from_millis(50); // between looks at the processes
const FIRST: Duration = Duration::from_millis(100); // before a version that ended is started again
const DOUBLINGS: u32 = 6; // of that wait, at most: 6.4 s
const LIVED: Duration = Duration::from_secs(30); // then an end counts as the first again
const LEAVES: Duration = Duration::from_secs(75); // for a process told to stop: the longest answer of a slow reader
// The descriptor reaches the program as the first beside the three, and says so by systemd's convention.
const HANDS: &str = r#"LISTEN_PID=$$ LISTEN_FDS=1 EDGE_LISTEN_FD=3 exec "$0" "$@" 3<&0 </dev/null"#;

/// A process of one version.
struct Run {
    child: Child,
    version: Version,
    /// Which of the second addresses it has.
    place: usize,
    began: Instant,
    started_ms: u64,
}

/// Why one is being started.
enum For {
    /// To take over with a change, which is in force from then on.
    Change(Box<Transition>),
    /// What should run does not.
    Service,
    /// The same beside itself, to be as fresh as those that have a change of this stage.
    Again((u64, usize)),
}

struct Keeper {
    settings: Settings,
    socket: OwnedFd,
    disk: Disk,
    member: Member,
    began: Instant,
    runs: Option<Run>,
    starts: Option<(Run, For)>,
    leaving: Vec<(Child, Instant)>,
    ends: u32,
    not_before: Instant,
    failed: Option<String>,
    again: Option<(u64, usize)>,
}

fn say(words: &str) {
    eprintln!("flintwell: supervise: {words}");
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn program(version: &Version) -> String {
    version.settings["program"].as_str().unwrap_or_default().to_owned()
}

/// A change of version names a program that is there; nothing else is a supervisor's to change.
fn check(old: &Value, new: &Value) -> Result<(), String> {
    let rest = |value: &Value| {
        let mut value = value.clone();
        value.as_object_mut().map(|object| object.remove("program"));
        value
    };
    if rest(old) != rest(new) {
        return Err("only program can change at a supervisor".into());
    }
    let path = new["program"].as_str().ok_or("program has to be a path")?;
    let found = std::fs::metadata(path).map_err(|error| format!("program {path}: {error}"))?;
    if found.is_file() { Ok(()) } else { Err(format!("program {path}: no file")) }
}

impl Keeper {
    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn start(&self, version: &Version, place: usize) -> Result<Run, String> {
        let path = program(version);
        let socket = self.socket.try_clone().map_err(|error| format!("the socket: {error}"))?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", HANDS, &path, "serve", "--config"]).arg(&self.settings.config);
        command.env("EDGE_MGMT", self.settings.management[place].to_string());
        command.env("EDGE_SUPERVISED", "1").env("TMPDIR", &self.settings.state);
        command.stdin(Stdio::from(socket)).kill_on_drop(true);
        let child = command.spawn().map_err(|error| format!("{path}: {error}"))?;
        say(&format!("{path} started as {}", child.id().unwrap_or(0)));
        Ok(Run { child, version: version.clone(), place, began: Instant::now(), started_ms: unix_ms() })
    }

    /// Begins to start a version beside what runs, at the other of the second addresses.
    fn begin(&mut self, version: &Version, purpose: For) {
        let place = self.runs.as_ref().map_or(0, |run| 1 - run.place);
        match self.start(version, place) {
            Ok(run) => self.starts = Some((run, purpose)),
            Err(why) => self.fails(why, purpose),
        }
    }

    fn fails(&mut self, why: String, purpose: For) {
        say(&why);
        match purpose {
            For::Change(_) => self.failed = Some(why),
            For::Service => self.again(),
            // It is asked for again.
            For::Again(_) => {}
        }
    }

    /// After an end that nobody asked for.
    fn again(&mut self) {
        let wait = FIRST * 2_u32.pow(self.ends.min(DOUBLINGS));
        self.ends += 1;
        self.not_before = Instant::now() + wait;
    }

    fn record(&self) {
        if let Err(error) = self.disk.write(self.member.record()) {
            say(&format!("the version in force is not recorded: {error}"));
        }
    }

    /// `ready` is the id of a process that said so.
    fn turn(&mut self, ready: Option<u32>) {
        let now = self.now();
        // One that ended while its change was not confirmed takes that with it.
        if let Some(run) = &mut self.runs
            && let Ok(Some(status)) = run.child.try_wait()
        {
            say(&format!("{} ended: {status}", program(&run.version)));
            if run.began.elapsed() > LIVED {
                self.ends = 0;
            }
            let (epoch, hash) = (run.version.epoch, run.version.hash.clone());
            self.runs = None;
            if self.member.record().unconfirmed {
                let protocol = flintwell_rollout::wire::PROTOCOL_VERSION;
                let fleet = self.settings.fleet.clone();
                let word = EpochRequest { protocol, fleet, epoch, hash, confirm_timeout_ms: 0, stage: 0 };
                if self.member.revert(&word).is_ok() {
                    self.record();
                }
            } else {
                self.again();
            }
        }
        if let Some(record) = self.member.tick(now) {
            say(&format!("not confirmed in time, back to epoch {}", record.active.epoch));
            self.record();
        }
        self.follows_start(ready);
        let wanted = self.member.active().clone();
        let other = self.runs.as_ref().is_none_or(|run| run.version != wanted);
        if self.starts.is_none() && other && Instant::now() >= self.not_before {
            self.begin(&wanted, For::Service);
        }
        self.leaving.retain_mut(|(child, since)| {
            let over = !matches!(child.try_wait(), Ok(None));
            if !over && since.elapsed() > LEAVES {
                let _ = child.start_kill();
            }
            !over
        });
    }

    /// The one that is being started: ready, ended or late.
    fn follows_start(&mut self, ready: Option<u32>) {
        let Some((mut run, purpose)) = self.starts.take() else { return };
        let path = program(&run.version);
        if let Ok(Some(status)) = run.child.try_wait() {
            return self.fails(format!("{path} ended before it was ready: {status}"), purpose);
        }
        if run.child.id().is_some() && run.child.id() == ready {
            if let For::Change(step) = purpose {
                if let Err(error) = self.disk.write(&step.record) {
                    // Dropped, it is killed; it has had the socket beside the old one for some turns only.
                    return self
                        .fails(format!("not recorded, nothing has changed: {error}"), For::Change(step));
                }
                self.member.commit(step.with_timer_from(self.now()));
            } else if let For::Again(stage) = purpose {
                self.again = Some(stage);
            }
            say(&format!("{path} is ready, epoch {}", run.version.epoch));
            if let Some(old) = self.runs.replace(run) {
                let id = old.child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
                let _ = id.map(|id| kill_process(id, Signal::TERM));
                self.leaving.push((old.child, Instant::now()));
            }
        } else if run.began.elapsed() > Duration::from_secs_f64(self.settings.ready_within_s) {
            self.fails(format!("{path} was not ready in {} s", self.settings.ready_within_s), purpose);
        } else {
            self.starts = Some((run, purpose));
        }
    }

    /// What runs is what is told, whatever should.
    fn status(&self) -> Status {
        let started = self.runs.as_ref().map_or(0, |run| run.started_ms);
        let path = self.runs.as_ref().map(|run| program(&run.version)).unwrap_or_default();
        let mut status = self.member.status(self.now(), &self.settings.name, &path, started);
        if let Some(run) = &self.runs {
            (status.epoch, status.hash) = (run.version.epoch, run.version.hash.clone());
        }
        status.apply_error.clone_from(&self.failed);
        status.restarted_for = self.again;
        status
    }

    fn word(&mut self, call: &Call) -> Result<(), (StatusCode, String)> {
        let refused = |refusal: Refusal| (StatusCode::CONFLICT, refusal.to_string());
        let wrong = |error: serde_json::Error| (StatusCode::BAD_REQUEST, error.to_string());
        let now = self.now();
        let named = || serde_json::from_slice::<EpochRequest>(&call.body).map_err(wrong);
        match &*call.path {
            "stage" => {
                let stage: StageRequest = serde_json::from_slice(&call.body).map_err(wrong)?;
                let step = self.member.stage(&stage, check).map_err(refused)?;
                self.write(&step)?;
                self.failed = None;
                self.member.commit(step);
            }
            "apply" => {
                let step = self.member.apply(now, &named()?).map_err(refused)?;
                // Danger: the former one may still hold the second address that the next one needs.
                if !self.leaving.is_empty() {
                    return Err((StatusCode::CONFLICT, "a process that was told to stop still ends".into()));
                }
                // Said twice, or while it starts, it is as said once.
                if let Some(step) = step.filter(|_| self.starts.is_none() && self.failed.is_none()) {
                    let version = step.record.active.clone();
                    self.begin(&version, For::Change(Box::new(step)));
                }
            }
            "renew" => self.member.renew(now, &named()?).map_err(refused)?,
            "again" => {
                let named = named()?;
                // Only for a change that it knows: its own would be a foreign word.
                let fence = self.member.record().fence;
                if named.fleet != self.settings.fleet || named.epoch < fence {
                    return Err((
                        StatusCode::CONFLICT,
                        format!("epoch {} is older than {fence}", named.epoch),
                    ));
                }
                let idle = self.starts.is_none() && self.leaving.is_empty();
                let stage = (named.epoch, named.stage);
                if idle && self.again != Some(stage) && self.runs.is_some() {
                    let version = self.member.active().clone();
                    self.begin(&version, For::Again(stage));
                }
            }
            "confirm" => {
                if let Some(step) = self.member.confirm(&named()?).map_err(refused)? {
                    self.write(&step)?;
                    self.member.commit(step);
                }
            }
            "revert" => {
                let named = named()?;
                self.member.revert(&named).map_err(refused)?;
                // What is only being started for it is not wanted any more.
                if matches!(&self.starts, Some((run, For::Change(_))) if run.version.hash == named.hash) {
                    self.starts = None;
                }
                self.record();
            }
            _ => return Err((StatusCode::NOT_FOUND, "no such call".into())),
        }
        Ok(())
    }

    fn write(&self, step: &Transition) -> Result<(), (StatusCode, String)> {
        self.disk.write(&step.record).map_err(|error| {
            (StatusCode::INSUFFICIENT_STORAGE, format!("not recorded, nothing has changed: {error}"))
        })
    }
}

/// A turn, with a look before at the one that is being started; calls come meanwhile.
async fn turn(keeper: &Rc<RefCell<Keeper>>) {
    let starting = {
        let keeper = keeper.borrow();
        let run = keeper.starts.as_ref().map(|(run, _)| run);
        run.and_then(|run| Some((run.child.id()?, keeper.settings.management[run.place])))
    };
    let ready = match starting {
        Some((id, at)) => ask(at, "/api/ready").await.map(|_| id),
        None => None,
    };
    keeper.borrow_mut().turn(ready);
}

async fn answered(keeper: Rc<RefCell<Keeper>>, call: Call) -> (StatusCode, String) {
    let json = |value: Result<String, serde_json::Error>| match value {
        Ok(text) => (StatusCode::OK, text),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, json!({"error": error.to_string()}).to_string()),
    };
    if call.method == Method::POST {
        let said = keeper.borrow_mut().word(&call);
        return match said {
            Ok(()) => json(serde_json::to_string(&keeper.borrow().status())),
            Err((status, why)) => (status, json!({ "error": why }).to_string()),
        };
    }
    let running = {
        let keeper = keeper.borrow();
        let place = |run: &Run| (keeper.settings.management[run.place], run.version.epoch, run.started_ms);
        keeper.runs.as_ref().map(place)
    };
    match (&*call.path, running) {
        ("status", _) => json(serde_json::to_string(&keeper.borrow().status())),
        ("settings", _) => json(serde_json::to_string(&keeper.borrow().member.active().settings)),
        ("figures", Some((at, epoch, started_ms))) => {
            let told = ask(at, "/api/rollout/figures").await;
            let figures = told.and_then(|text| serde_json::from_slice::<MemberCounters>(&text).ok());
            // Its settings may have epochs of their own; here the version counts.
            let figures = MemberCounters { epoch, started_ms, ..figures.unwrap_or_default() };
            json(serde_json::to_string(&figures))
        }
        ("nodes", Some((at, ..))) => match ask(at, "/api/rollout/nodes").await {
            Some(text) => (StatusCode::OK, String::from_utf8_lossy(&text).trim().to_owned()),
            None => (StatusCode::BAD_GATEWAY, json!({"error": "the process does not say"}).to_string()),
        },
        _ => (StatusCode::NOT_FOUND, json!({"error": "no such call, or nothing runs"}).to_string()),
    }
}

pub async fn keep(settings: Settings) -> Result<(), String> {
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
    let disk = Disk::open(&settings.state)?;
    let first = json!({"program": settings.program});
    check(&first, &first)?;
    let member = Member::new(&settings.fleet, disk.read().map_err(|why| say(&why)).ok().flatten(), &first);
    disk.write(member.record()).map_err(|error| format!("state {}: {error}", settings.state.display()))?;
    let began = Instant::now();
    let keeper = Rc::new(RefCell::new(Keeper {
        settings,
        socket,
        disk,
        member,
        began,
        runs: None,
        starts: None,
        leaving: Vec::new(),
        ends: 0,
        not_before: began,
        failed: None,
        again: None,
    }));
    let heard = keeper.clone();
    hear(control, move |call| answered(heard.clone(), call));
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            () = sleep(TURN) => {}
        }
        turn(&keeper).await;
    }
    say("stopping");
    let mut last: Vec<Child> = keeper.borrow_mut().leaving.drain(..).map(|one| one.0).collect();
    last.extend(keeper.borrow_mut().runs.take().map(|run| run.child));
    for child in &last {
        let id = child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        let _ = id.map(|id| kill_process(id, Signal::TERM));
    }
    for mut child in last {
        let _ = tokio::time::timeout(LEAVES, child.wait()).await;
    }
    Ok(())
}
