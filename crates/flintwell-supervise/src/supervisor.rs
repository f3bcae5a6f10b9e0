//! The supervisor: applies the messages of a rollout, and keeps the version in force running.

use crate::Settings;
use crate::child::{ChildProcess, Launch, ManagementAddress};
use crate::http::get;
use crate::lifecycle::{Command, Exit, Lifecycle, Millis, Process, ProcessId, STOP_TIMEOUT_MS, StartPurpose};
use crate::log;
use flintwell_rollout::member::{Member, Transition, Version};
use flintwell_rollout::wire::{EpochRequest, PROTOCOL_VERSION, Status};
use flintwell_state::RecordStore;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::process::ExitStatus;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// Between checks of the processes.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// At the end, between the process that starts and the current one, which must not take it for its successor.
const END_STAGGER: Duration = Duration::from_millis(100);

/// For all processes to exit at the end; longer than the last one may take until it is killed.
const END_TIMEOUT: Duration = Duration::from_millis(STOP_TIMEOUT_MS + 5_000);

/// One proxy under supervision.
pub struct Supervisor {
    pub settings: Settings,
    pub member: Member,
    pub lifecycle: Lifecycle,
    /// Why the staged change could not be put in force.
    pub change_error: Option<String>,
    /// Epoch and stage of the last restart as a control.
    pub control_stage: Option<(u64, usize)>,
    /// The clients' listening socket; closed at the end, so that clients are refused once no process accepts them.
    socket: Option<OwnedFd>,
    store: RecordStore,
    began: Instant,
    children: HashMap<ProcessId, ChildProcess>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn program(version: &Version) -> &str {
    version.settings["program"].as_str().unwrap_or_default()
}

/// Checks that a change replaces nothing but the program and that the new program exists.
pub fn check_change(old: &Value, new: &Value) -> Result<(), String> {
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
    /// A supervisor whose processes serve the clients' `socket`; none runs yet.
    pub fn new(settings: Settings, socket: OwnedFd, store: RecordStore, member: Member) -> Self {
        let ready_timeout = Duration::from_secs_f64(settings.ready_within_s);
        Supervisor {
            settings,
            member,
            lifecycle: Lifecycle::new(ready_timeout.as_millis() as Millis),
            change_error: None,
            control_stage: None,
            socket: Some(socket),
            store,
            began: Instant::now(),
            children: HashMap::new(),
        }
    }

    /// Time since the start of this supervisor.
    pub fn now(&self) -> Millis {
        self.began.elapsed().as_millis() as Millis
    }

    /// Starts a version next to the processes that run.
    pub fn begin_start(&mut self, version: &Version, purpose: StartPurpose) {
        match self.spawn(version) {
            Ok(process) => self.lifecycle.add(self.now(), process, purpose),
            Err(why) => self.on_start_failure(why, &purpose),
        }
    }

    fn spawn(&mut self, version: &Version) -> Result<Process, String> {
        let held: Vec<SocketAddr> = self.lifecycle.held_addresses().collect();
        let management = ManagementAddress::choose(&self.settings.management, &held);
        let management = management.map_err(|error| format!("no management address: {error}"))?;
        let address = management.address;
        let launch = Launch {
            program: program(version),
            config: &self.settings.config,
            directory: &self.settings.state,
            socket: self.socket.as_ref().ok_or("the listening socket is closed")?,
        };
        let (id, child) = ChildProcess::start(&launch, management)?;
        self.children.insert(id, child);
        let (started_at, started_unix_ms) = (self.now(), unix_ms());
        Ok(Process { id, version: version.clone(), address, started_at, started_unix_ms })
    }

    fn on_start_failure(&mut self, why: String, purpose: &StartPurpose) {
        log(&why);
        match purpose {
            StartPurpose::Change(_) => self.change_error = Some(why),
            StartPurpose::Restore => self.lifecycle.delay_restore(self.now()),
            // The conductor repeats its request.
            StartPurpose::Control(_) => {}
        }
    }

    /// Writes the record of a change that is put in force afterwards.
    pub fn write_transition(&self, transition: &Transition) -> Result<(), String> {
        let written = self.store.write(&transition.record);
        written.map_err(|error| format!("change could not be recorded; nothing has changed: {error}"))
    }

    /// Writes the record of what is in force already.
    pub fn write_record(&self) {
        if let Err(error) = self.store.write(self.member.record()) {
            log(&format!("version in force not recorded on disk: {error}"));
        }
    }

    /// Handles exits, time-outs and due starts. `ready` is a process that has reported ready.
    fn poll(&mut self, ready: Option<ProcessId>) {
        self.handle_exits();
        if let Some(record) = self.member.tick(self.now()) {
            log(&format!("change not confirmed in time; reverted to epoch {}", record.active.epoch));
            self.write_record();
        }
        self.poll_starting(ready);
        let in_force = self.member.active().clone();
        if self.lifecycle.is_restore_due(self.now(), &in_force) {
            self.begin_start(&in_force, StartPurpose::Restore);
        }
        self.lifecycle.kill_overdue(self.now());
        self.run_commands();
    }

    fn handle_exits(&mut self) {
        let status = |(id, child): (&ProcessId, &mut ChildProcess)| Some((*id, child.exit_status()?));
        let exited: Vec<(ProcessId, ExitStatus)> = self.children.iter_mut().filter_map(status).collect();
        for (id, status) in exited {
            self.children.remove(&id);
            match self.lifecycle.on_exit(self.now(), id) {
                Some(Exit::Current(process)) => self.on_current_exit(&process, status),
                Some(Exit::Starting(starting)) => {
                    let path = program(&starting.process.version);
                    let why = format!("{path} ended before it was ready: {status}");
                    self.on_start_failure(why, &starting.purpose);
                }
                Some(Exit::Stopping) | None => {}
            }
        }
    }

    fn on_current_exit(&mut self, process: &Process, status: ExitStatus) {
        log(&format!("{} exited: {status}", program(&process.version)));
        if !self.member.record().unconfirmed {
            return self.lifecycle.delay_restore(self.now());
        }
        // An exit while the change is unconfirmed reverts the change.
        let message = EpochRequest {
            protocol: PROTOCOL_VERSION,
            fleet: self.settings.fleet.clone(),
            epoch: process.version.epoch,
            hash: process.version.hash.clone(),
            confirm_timeout_ms: 0,
            stage: 0,
        };
        if self.member.revert(&message).is_ok() {
            self.write_record();
        }
    }

    /// Lets the process that starts take over if it is ready, and gives it up if it is not ready in time.
    fn poll_starting(&mut self, ready: Option<ProcessId>) {
        let Some(starting) = self.lifecycle.starting() else { return };
        let process = &starting.process;
        if ready == Some(process.id) {
            let recorded = match &starting.purpose {
                StartPurpose::Change(change) => self.write_transition(change),
                StartPurpose::Restore | StartPurpose::Control(_) => Ok(()),
            };
            match recorded {
                Ok(()) => self.take_over(),
                Err(why) => self.give_up_start(why),
            }
        } else if self.lifecycle.is_start_overdue(self.now()) {
            let path = program(&process.version);
            self.give_up_start(format!("{path} was not ready in {} s", self.settings.ready_within_s));
        }
    }

    fn take_over(&mut self) {
        match self.lifecycle.take_over(self.now()) {
            Some(StartPurpose::Change(change)) => self.member.commit(change.with_timer_from(self.now())),
            Some(StartPurpose::Control(stage)) => self.control_stage = Some(stage),
            Some(StartPurpose::Restore) | None => {}
        }
        if let Some(process) = self.lifecycle.current() {
            log(&format!("{} is ready, epoch {}", program(&process.version), process.version.epoch));
        }
    }

    fn give_up_start(&mut self, why: String) {
        if let Some(purpose) = self.lifecycle.give_up_start(self.now()) {
            self.on_start_failure(why, &purpose);
        }
    }

    /// Asks the process that starts to stop if it is the one of this change.
    pub fn cancel_change(&mut self, hash: &str) {
        let is_starting = self.lifecycle.starting().is_some_and(|starting| {
            matches!(starting.purpose, StartPurpose::Change(_)) && starting.process.version.hash == hash
        });
        if is_starting {
            self.lifecycle.give_up_start(self.now());
            self.run_commands();
        }
    }

    fn run_commands(&mut self) {
        for command in self.lifecycle.take_commands() {
            match command {
                Command::Terminate(id) => {
                    self.children.get(&id).inspect(|child| child.terminate());
                }
                Command::Kill(id) => {
                    self.children.get_mut(&id).into_iter().for_each(ChildProcess::kill);
                }
            }
        }
    }

    /// Starts no more processes, and asks the one that starts to stop. Returns whether there was one.
    fn end_start(&mut self) -> bool {
        let now = self.now();
        self.lifecycle.refuse_starts();
        let was_starting = self.lifecycle.give_up_start(now).is_some();
        self.run_commands();
        was_starting
    }

    fn end_all(&mut self) {
        let now = self.now();
        self.lifecycle.end(now);
        self.run_commands();
        self.socket = None;
    }

    /// Whether there are processes left; kills those that have not stopped in time.
    fn has_processes(&mut self) -> bool {
        self.handle_exits();
        self.lifecycle.kill_overdue(self.now());
        self.run_commands();
        !self.children.is_empty()
    }

    /// The status reports the version that is running, even if another one is in force.
    pub fn status(&self) -> Status {
        let current = self.lifecycle.current();
        let started = current.map_or(0, |process| process.started_unix_ms);
        let path = current.map(|process| program(&process.version)).unwrap_or_default();
        let mut status = self.member.status(self.now(), &self.settings.name, path, started);
        if let Some(process) = current {
            (status.epoch, status.hash) = (process.version.epoch, process.version.hash.clone());
        }
        status.apply_error.clone_from(&self.change_error);
        status.restarted_for = self.control_stage;
        status
    }
}

/// Asks the process that starts whether it is ready, then polls all processes. Calls are handled during the wait.
pub async fn poll(supervisor: &Rc<RefCell<Supervisor>>) {
    let starting = supervisor
        .borrow()
        .lifecycle
        .starting()
        .map(|starting| (starting.process.id, starting.process.address));
    let ready = match starting {
        Some((id, address)) => get(address, "/api/ready").await.map(|_| id),
        None => None,
    };
    supervisor.borrow_mut().poll(ready);
}

/// Stops every process in order, and waits until all have exited.
pub async fn end(supervisor: &Rc<RefCell<Supervisor>>) {
    let was_starting = supervisor.borrow_mut().end_start();
    if was_starting {
        sleep(END_STAGGER).await;
    }
    supervisor.borrow_mut().end_all();
    let started_at = Instant::now();
    while supervisor.borrow_mut().has_processes() {
        if started_at.elapsed() > END_TIMEOUT {
            return log("a process has not exited although it was killed");
        }
        sleep(POLL_INTERVAL).await;
    }
}
