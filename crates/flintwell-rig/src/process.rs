//! One proxy process: start, signals, log capture and restart.

use crate::memory_use::MemoryUse;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(20); // allows for a busy machine
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5); // from SIGTERM; longer than the longest deadline
const MAX_LOG_LINES: usize = 10_000;

// Runs its arguments with a limit on descriptors, its first argument.
const LIMIT_DESCRIPTORS: &str = "ulimit -n \"$0\" && exec \"$@\"";

/// A child process and the log lines it wrote to stderr. Dropping it kills the process.
pub struct Process {
    pub name: String,
    /// Limit on descriptors that the system enforces; none if that of this process applies.
    max_descriptors: Option<usize>,
    program: PathBuf,
    arguments: Vec<String>,
    folder: PathBuf,
    child: Option<Child>,
    /// The most memory that any process of this name has used, and the same without pages of files.
    peak_bytes: u64,
    peak_anonymous_bytes: u64,
    /// SIGTERM was sent to the process.
    is_terminated: bool,
    /// How processes ended that were not killed or shut down.
    unexpected_ends: Vec<String>,
    log: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Process {
    /// Starts `program` with these arguments and `folder` for its files, and waits until it accepts clients.
    pub fn start(name: &str, program: &Path, arguments: &[&str], folder: &Path) -> Result<Self, String> {
        Process::start_limited(name, program, arguments, folder, None)
    }

    /// The same, with a limit on descriptors that the system enforces.
    pub fn start_limited(
        name: &str,
        program: &Path,
        arguments: &[&str],
        folder: &Path,
        max_descriptors: Option<usize>,
    ) -> Result<Self, String> {
        let mut process = Process {
            name: name.into(),
            max_descriptors,
            program: program.into(),
            arguments: arguments.iter().map(|&argument| argument.to_owned()).collect(),
            folder: folder.into(),
            child: None,
            peak_bytes: 0,
            peak_anonymous_bytes: 0,
            is_terminated: false,
            unexpected_ends: Vec::new(),
            log: Arc::default(),
        };
        process.spawn()?;
        Ok(process)
    }

    /// Starts the process, or restarts it with the same arguments, and waits until it accepts clients.
    pub fn spawn(&mut self) -> Result<(), String> {
        self.inspect();
        self.is_terminated = false;
        let tmp_dir = self.folder.join("tmp");
        let created = std::fs::create_dir_all(&tmp_dir);
        created.map_err(|e| format!("{}: {e}", tmp_dir.display()))?;
        let mut command = match self.max_descriptors {
            None => Command::new(&self.program),
            Some(limit) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", LIMIT_DESCRIPTORS, &limit.to_string()]).arg(&self.program);
                shell
            }
        };
        command.args(&self.arguments);
        command.env("TMPDIR", &tmp_dir).env_remove("EDGE_MGMT").env_remove("EDGE_CONFIG");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", self.program.display()))?;
        let stderr = child.stderr.take();
        self.child = Some(child);
        let (ready_sender, ready) = channel();
        let log = self.log.clone();
        thread::spawn(move || {
            for line in BufReader::new(stderr.into_iter().next()?).lines().map_while(Result::ok) {
                if line.contains(" serves on ") {
                    let _ = ready_sender.send(());
                }
                let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
                if log.len() < MAX_LOG_LINES {
                    log.push((Instant::now(), line));
                }
            }
            Some(())
        });
        match ready.recv_timeout(START_TIMEOUT) {
            Ok(()) => Ok(()),
            Err(RecvTimeoutError::Disconnected) => {
                self.child.take().map(|mut child| child.wait());
                Err(format!("{} did not start: {}", self.name, self.log().join("; ")))
            }
            Err(RecvTimeoutError::Timeout) => {
                Err(format!("{} did not serve in {START_TIMEOUT:?}", self.name))
            }
        }
    }

    /// The process id, if it was started and not yet reaped.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&self, signal: Signal) {
        let id = self.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        // A process that has exited ignores the signal. It is reaped only by us, so its id can't have been reused.
        let _ = id.map(|id| kill_process(id, signal));
    }

    /// Stops the process with SIGSTOP, as on an overcommitted machine.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }
    /// Continues a paused process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }
    /// Sends SIGHUP, on which the process reloads its configuration.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }
    /// Sends SIGTERM without waiting for the process to exit.
    pub fn terminate(&mut self) {
        self.is_terminated = true;
        self.signal(Signal::TERM);
    }
    /// Deletes the files that the process stored in its temporary folder.
    pub fn delete_state(&self) {
        // The folder may be missing.
        let _ = std::fs::remove_dir_all(self.folder.join("tmp"));
    }

    /// The memory that the running process uses.
    pub fn memory_use(&self) -> Option<MemoryUse> {
        MemoryUse::of(self.id()?)
    }

    /// Records the memory of the running process, and whether it has ended by itself.
    pub fn inspect(&mut self) {
        if let Some(memory) = self.memory_use() {
            self.peak_bytes = self.peak_bytes.max(memory.peak_bytes);
            let anonymous_bytes = memory.peak_bytes.saturating_sub(memory.file_bytes);
            self.peak_anonymous_bytes = self.peak_anonymous_bytes.max(anonymous_bytes);
        }
        if let Some(Ok(Some(status))) = self.child.as_mut().map(Child::try_wait) {
            self.child = None;
            if !(self.is_terminated && status.success()) {
                self.unexpected_ends.push(status.to_string());
            }
        }
    }

    /// The most memory that any process of this name had used when it was inspected.
    pub fn peak_bytes(&self) -> u64 {
        self.peak_bytes
    }

    /// The same without pages of files, such as the program itself.
    pub fn peak_anonymous_bytes(&self) -> u64 {
        self.peak_anonymous_bytes
    }

    /// Exit statuses of processes that ended by themselves.
    pub fn unexpected_ends(&self) -> &[String] {
        &self.unexpected_ends
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        self.inspect();
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM and waits for the exit; kills the process after a time-out. Returns whether it exited with success.
    pub fn shut_down(&mut self) -> bool {
        self.signal(Signal::TERM);
        let began = Instant::now();
        while began.elapsed() < SHUTDOWN_TIMEOUT {
            match self.child.as_mut().map(Child::try_wait) {
                Some(Ok(None)) => thread::sleep(Duration::from_millis(10)),
                Some(Ok(Some(status))) => {
                    self.child = None;
                    return status.success();
                }
                _ => break,
            }
        }
        self.kill();
        false
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.as_mut().map(Child::try_wait), Some(Ok(None)))
    }

    /// The log lines so far.
    pub fn log(&self) -> Vec<String> {
        self.timestamped_log().into_iter().map(|line| line.1).collect()
    }
    /// The log lines so far, each with the time it was read.
    pub fn timestamped_log(&self) -> Vec<(Instant, String)> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Process {
    /// Kills the process by its id however the run ends, also when a test panics.
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}
