//! One process of the program: started with a configuration of its own, paused, killed, restarted by its id.

use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const STARTS: Duration = Duration::from_secs(20); // a start on a busy machine
const ENDS: Duration = Duration::from_secs(5); // after SIGTERM, past the longest deadline
const LINES_MOST: usize = 10_000; // of a process's log that are kept

pub struct Process {
    pub name: String,
    program: PathBuf,
    arguments: Vec<String>,
    folder: PathBuf,
    child: Option<Child>,
    log: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Process {
    /// Starts `program` with these arguments, with `folder` for its files, and waits until it serves.
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

    pub fn spawn(&mut self) -> Result<(), String> {
        let temporary = self.folder.join("tmp");
        let made = std::fs::create_dir_all(&temporary);
        made.map_err(|e| format!("{}: {e}", temporary.display()))?;
        let mut command = Command::new(&self.program);
        command.args(&self.arguments);
        command.env("TMPDIR", &temporary).env_remove("EDGE_MGMT").env_remove("EDGE_CONFIG");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", self.program.display()))?;
        let stderr = child.stderr.take();
        self.child = Some(child);
        let (says, serves) = channel();
        let log = self.log.clone();
        thread::spawn(move || {
            for line in BufReader::new(stderr.into_iter().next()?).lines().map_while(Result::ok) {
                if line.contains(" serves on ") {
                    let _ = says.send(());
                }
                let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
                if log.len() < LINES_MOST {
                    log.push((Instant::now(), line));
                }
            }
            Some(())
        });
        match serves.recv_timeout(STARTS) {
            Ok(()) => Ok(()),
            Err(RecvTimeoutError::Disconnected) => {
                self.child.take().map(|mut child| child.wait());
                Err(format!("{} did not start: {}", self.name, self.log().join("; ")))
            }
            Err(RecvTimeoutError::Timeout) => Err(format!("{} did not serve in {STARTS:?}", self.name)),
        }
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&self, signal: Signal) {
        let id = self.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        // One that has ended is not there to be told; it is waited for by us, so its id is nobody else's yet.
        let _ = id.map(|id| kill_process(id, signal));
    }

    /// Stands still, as a machine that is overbooked.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }
    /// Told to end; it goes on until it has, or is killed.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }
    /// Its next start finds none of the files that it has kept.
    pub fn delete_state(&self) {
        // Without any there is nothing to forget.
        let _ = std::fs::remove_dir_all(self.folder.join("tmp"));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// A planned stop; killed if that takes too long. Whether it ended by itself, and well.
    pub fn shut_down(&mut self) -> bool {
        self.signal(Signal::TERM);
        let began = Instant::now();
        while began.elapsed() < ENDS {
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

    /// Whether it lives.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.as_mut().map(Child::try_wait), Some(Ok(None)))
    }

    pub fn log(&self) -> Vec<String> {
        self.timestamped_log().into_iter().map(|line| line.1).collect()
    }
    /// Each line with when it came.
    pub fn timestamped_log(&self) -> Vec<(Instant, String)> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Process {
    /// Ended by its id however the run ends, also while a test panics.
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}
