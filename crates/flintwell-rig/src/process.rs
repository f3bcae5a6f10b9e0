//! One proxy process: start, signals, log capture and restart.

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

/// A child process and the log lines it wrote to stderr. Dropping it kills the process.
pub struct Process {
    pub name: String,
    program: PathBuf,
    arguments: Vec<String>,
    folder: PathBuf,
    child: Option<Child>,
    log: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Process {
    /// Starts `program` with these arguments and `folder` for its files, and waits until it accepts clients.
    pub fn start(name: &str, program: &Path, arguments: &[&str], folder: &Path) -> Result<Self, String> {
        let mut process = Process {
            name: name.into(),
            program: program.into(),
            arguments: arguments.iter().map(|&argument| argument.to_owned()).collect(),
            folder: folder.into(),
            child: None,
            log: Arc::default(),
        };
        process.spawn()?;
        Ok(process)
    }

    /// Starts the process, or restarts it with the same arguments, and waits until it accepts clients.
    pub fn spawn(&mut self) -> Result<(), String> {
        let tmp_dir = self.folder.join("tmp");
        let created = std::fs::create_dir_all(&tmp_dir);
        created.map_err(|e| format!("{}: {e}", tmp_dir.display()))?;
        let mut command = Command::new(&self.program);
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
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }
    /// Deletes the files that the process stored in its temporary folder.
    pub fn delete_state(&self) {
        // The folder may be missing.
        let _ = std::fs::remove_dir_all(self.folder.join("tmp"));
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
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
