//! Life cycle of the processes at one socket: which one is current, which one starts beside it, which ones stop.
//!
//! Decides without I/O or a clock. A process may have taken requests from its start on, so none is killed before it had
//! time to answer them: one that is not wanted any more is asked to stop, and killed if it has not stopped in time.

use flintwell_rollout::member::{Transition, Version};
use std::net::SocketAddr;

/// Time on the supervisor's clock, in ms since its start.
pub type Millis = u64;

/// Between the request to stop and the kill. Covers the longest response to a slow reader.
pub const STOP_TIMEOUT_MS: Millis = 75_000;
/// Before an exited program is restarted for the first time; doubled with each further exit.
const MIN_RESTART_DELAY_MS: Millis = 100;
/// Limits the restart delay to 6.4 s.
const MAX_DELAY_DOUBLINGS: u32 = 6;
/// A process that ran for longer resets the restart delay.
const STABLE_RUN_TIME_MS: Millis = 30_000;

/// The system's id of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProcessId(pub u32);

/// A process of one version.
#[derive(Clone, Debug)]
pub struct Process {
    pub id: ProcessId,
    pub version: Version,
    /// Its management address, which it holds until it exits.
    pub address: SocketAddr,
    pub started_at: Millis,
    /// Unix time of its start, in ms.
    pub started_unix_ms: u64,
}

/// Why a process is started.
#[derive(Debug)]
pub enum StartPurpose {
    /// To take over with a change, which is in force from then on.
    Change(Box<Transition>),
    /// To run the version in force, since it is not running.
    Restore,
    /// To restart the version in force as a control for this epoch and stage, so that it is compared with changed
    /// members whose processes are as new.
    Control((u64, usize)),
}

/// A process that is not ready yet.
#[derive(Debug)]
pub struct Starting {
    pub process: Process,
    pub purpose: StartPurpose,
}

/// A process that was asked to stop.
#[derive(Debug)]
struct Stopping {
    process: Process,
    since: Millis,
    is_killed: bool,
}

/// What has to be done to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Ask it to answer what it has taken, and to exit.
    Terminate(ProcessId),
    Kill(ProcessId),
}

/// The role that a process had when it exited.
#[derive(Debug)]
pub enum Exit {
    Current(Process),
    Starting(Starting),
    Stopping,
}

/// All processes of a supervisor.
#[derive(Debug)]
pub struct Lifecycle {
    ready_timeout_ms: Millis,
    current: Option<Process>,
    starting: Option<Starting>,
    stopping: Vec<Stopping>,
    commands: Vec<Command>,
    /// Unexpected exits and failed starts since the last stable run.
    exit_count: u32,
    /// No process is started to restore the version in force before this.
    restart_at: Millis,
    /// Whether all processes have to stop for good.
    is_ending: bool,
}

impl Lifecycle {
    /// No process runs yet. A start that takes longer than `ready_timeout_ms` is given up.
    pub fn new(ready_timeout_ms: Millis) -> Self {
        Lifecycle {
            ready_timeout_ms,
            current: None,
            starting: None,
            stopping: Vec::new(),
            commands: Vec::new(),
            exit_count: 0,
            restart_at: 0,
            is_ending: false,
        }
    }

    /// The process that runs for the supervisor's callers.
    pub fn current(&self) -> Option<&Process> {
        self.current.as_ref()
    }

    /// The process that is not ready yet.
    pub fn starting(&self) -> Option<&Starting> {
        self.starting.as_ref()
    }

    /// Management addresses that processes hold.
    pub fn held_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let starting = self.starting.iter().map(|starting| &starting.process);
        let stopping = self.stopping.iter().map(|stopping| &stopping.process);
        self.current.iter().chain(starting).chain(stopping).map(|process| process.address)
    }

    /// Whether a process may be started now; processes that stop do not matter.
    pub fn can_start(&self) -> bool {
        self.starting.is_none() && !self.is_ending
    }

    /// Whether the version in force has to be started, since no process of it runs.
    pub fn is_restore_due(&self, now: Millis, in_force: &Version) -> bool {
        let differs = self.current.as_ref().is_none_or(|process| process.version != *in_force);
        differs && self.can_start() && now >= self.restart_at
    }

    /// Adds a process that was started; one that was starting is asked to stop.
    pub fn add(&mut self, now: Millis, process: Process, purpose: StartPurpose) {
        self.give_up_start(now);
        self.starting = Some(Starting { process, purpose });
    }

    /// Delays the next start that restores the version in force, exponentially with the number of failures.
    pub fn delay_restore(&mut self, now: Millis) {
        let delay = MIN_RESTART_DELAY_MS << self.exit_count.min(MAX_DELAY_DOUBLINGS);
        self.exit_count += 1;
        self.restart_at = now + delay;
    }

    /// Whether the process that starts is not ready in time.
    pub fn is_start_overdue(&self, now: Millis) -> bool {
        self.starting
            .as_ref()
            .is_some_and(|starting| now.saturating_sub(starting.process.started_at) > self.ready_timeout_ms)
    }

    /// The process that starts takes over; the current one is asked to stop. Returns why it was started.
    pub fn take_over(&mut self, now: Millis) -> Option<StartPurpose> {
        let Starting { process, purpose } = self.starting.take()?;
        if let Some(replaced) = self.current.replace(process) {
            self.stop(now, replaced);
        }
        Some(purpose)
    }

    /// Asks the process that starts to stop. Returns why it was started.
    pub fn give_up_start(&mut self, now: Millis) -> Option<StartPurpose> {
        let Starting { process, purpose } = self.starting.take()?;
        self.stop(now, process);
        Some(purpose)
    }

    /// Starts no process any more.
    pub fn refuse_starts(&mut self) {
        self.is_ending = true;
    }

    /// Asks every process to stop; none is started any more.
    pub fn end(&mut self, now: Millis) {
        self.refuse_starts();
        self.give_up_start(now);
        if let Some(process) = self.current.take() {
            self.stop(now, process);
        }
    }

    /// Removes a process that has exited. Returns its role; `None` if it is unknown.
    pub fn on_exit(&mut self, now: Millis, id: ProcessId) -> Option<Exit> {
        if let Some(process) = self.current.take_if(|process| process.id == id) {
            if now.saturating_sub(process.started_at) > STABLE_RUN_TIME_MS {
                self.exit_count = 0;
            }
            return Some(Exit::Current(process));
        }
        if let Some(starting) = self.starting.take_if(|starting| starting.process.id == id) {
            return Some(Exit::Starting(starting));
        }
        let index = self.stopping.iter().position(|stopping| stopping.process.id == id)?;
        self.stopping.swap_remove(index);
        Some(Exit::Stopping)
    }

    /// Kills processes that have not stopped in time.
    pub fn kill_overdue(&mut self, now: Millis) {
        for stopping in &mut self.stopping {
            if !stopping.is_killed && now.saturating_sub(stopping.since) > STOP_TIMEOUT_MS {
                stopping.is_killed = true;
                self.commands.push(Command::Kill(stopping.process.id));
            }
        }
    }

    /// What has to be done since the last call, in this order.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    fn stop(&mut self, now: Millis, process: Process) {
        self.commands.push(Command::Terminate(process.id));
        self.stopping.push(Stopping { process, since: now, is_killed: false });
    }
}

#[cfg(test)]
mod tests;
