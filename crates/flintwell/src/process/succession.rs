//! Tracks the running processes of this proxy. Each process keeps a locked file while it runs, and writes to it once it
//! serves requests.

use crate::process::shutdown::Shutdown;
use crate::process::store::Store;
use crate::log_line;
use std::fs::{File, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

const MARK: &str = "process-"; // followed by the start time, so that names sort by age
const TAKES: &str = "takes-"; // prefix of the handover socket, followed by the name of the process's file
const LOOK: Duration = Duration::from_millis(50); // few requests arrive in between
const SHARED_BY: usize = 2; // a version and the next

/// Entry of this process among the running processes of the proxy.
pub struct Succession {
    store: Store,
    file: String,
    /// File of this process, locked until it ends. `None` without a directory for files; there is no successor then.
    lock: Option<File>,
}

impl Succession {
    /// Creates and locks the file of this process.
    pub fn open(store: Store, started_at: i64) -> io::Result<Self> {
        let file = format!("{MARK}{started_at:020}-{}", std::process::id());
        // The file is locked under another name first: between creation and lock, other processes would find it
        // unlocked and take it for that of a dead process.
        let unnamed = format!("lock-{}", std::process::id());
        store.write(&unnamed, b"")?;
        let lock = match (store.path(&unnamed), store.path(&file)) {
            (Some(from), Some(to)) => {
                let lock = File::options().read(true).write(true).open(&from)?;
                lock.try_lock().map_err(|_| io::Error::other("process file is locked by another process"))?;
                std::fs::rename(from, to)?;
                Some(lock)
            }
            _ => None,
        };
        Ok(Succession { store, file, lock })
    }

    /// Records that this process serves requests.
    pub fn serves(&self) -> io::Result<()> {
        let Some(mut lock) = self.lock.as_ref() else { return Ok(()) };
        lock.rewind()?;
        lock.write_all(b"serves")
    }

    /// Whether another process of this proxy is running.
    pub fn another(&self) -> bool {
        self.others().next().is_some()
    }

    /// Whether a younger process serves requests. Leaving the listener to a process that has been killed would leave
    /// nobody to accept connections; a dead process is recognised because its lock is released.
    pub fn succeeded(&self) -> bool {
        self.successors().next().is_some()
    }

    fn successors(&self) -> impl Iterator<Item = String> {
        let younger = self.others().filter(|(file, serves)| *file > self.file && *serves);
        younger.map(|(file, _)| file)
    }

    /// Path of the handover socket of the youngest process that serves after this one.
    pub fn successor(&self) -> Option<PathBuf> {
        self.store.path(&format!("{TAKES}{}", self.successors().max()?))
    }

    /// Path of this process's handover socket. Removes sockets left behind by killed processes.
    pub fn takes_over_at(&self) -> Option<PathBuf> {
        let living: Vec<String> = self.others().map(|(file, _)| format!("{TAKES}{file}")).collect();
        let left = self.store.list_files(TAKES).into_iter().filter(|name| !living.contains(name));
        left.for_each(|name| self.store.remove(&name));
        self.store.path(&format!("{TAKES}{}", self.file))
    }

    /// File names of the other running processes, and whether they serve.
    fn others(&self) -> impl Iterator<Item = (String, bool)> {
        let named = self.store.list_files(MARK).into_iter().filter(|file| *file != self.file);
        named.filter_map(|name| {
            let mut file = File::open(self.store.path(&name)?).ok()?;
            match file.try_lock_shared() {
                Err(TryLockError::WouldBlock) => {
                    let mut text = String::new();
                    file.read_to_string(&mut text).ok()?;
                    Some((name, !text.is_empty()))
                }
                _ => {
                    // The lock is free: the process has ended.
                    self.store.remove(&name);
                    None
                }
            }
        })
    }

    /// Reserves half of the permits of each semaphore in `rooms` while another process runs, because the limit on
    /// descriptors applies to both processes together. Never returns.
    pub async fn share(&self, rooms: &[(Arc<Semaphore>, usize)], shutdown: &Shutdown) {
        let mut kept: Vec<OwnedSemaphorePermit> = Vec::new();
        let mut shared = false;
        // Reserved permits look like open connections and would delay shutdown, so they are released when it begins.
        while self.lock.is_some() && !shutdown.has_begun() {
            if shared != self.another() {
                shared = !shared;
                log_line!("{}", if shared { "another process of this proxy runs: connection limits halved" } else { "no other process runs: connection limits restored" });
                kept.clear();
            }
            if shared {
                for (room, all) in rooms {
                    let part = all / SHARED_BY;
                    let ours = |permit: &&OwnedSemaphorePermit| Arc::ptr_eq(permit.semaphore(), room);
                    let held: usize = kept.iter().filter(ours).map(OwnedSemaphorePermit::num_permits).sum();
                    let more = (part - held.min(part)).min(room.available_permits());
                    let more = u32::try_from(more).unwrap_or(0);
                    kept.extend(room.clone().try_acquire_many_owned(more).ok().filter(|_| more > 0));
                }
            }
            sleep(LOOK).await;
        }
        drop(kept);
        std::future::pending().await
    }
}

impl Drop for Succession {
    fn drop(&mut self) {
        self.store.remove(&self.file);
        self.store.remove(&format!("{TAKES}{}", self.file));
    }
}

#[cfg(test)]
mod tests;
