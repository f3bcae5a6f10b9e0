//! Tracks the running processes of this proxy. Each process keeps a locked file while it runs, and writes to it once it
//! serves requests.

use crate::log_line;
use crate::process::shutdown::{Shutdown, SocketServer};
use crate::process::store::Store;
use std::fs::{File, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

const PROCESS_PREFIX: &str = "process-"; // followed by the start time, so that names sort by age
const HANDOVER_PREFIX: &str = "takes-"; // prefix of the handover socket, followed by the name of the process's file
const POLL_INTERVAL: Duration = Duration::from_millis(50); // few requests arrive in between

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
        let file = format!("{PROCESS_PREFIX}{started_at:020}-{}", std::process::id());
        // The file is locked under another name first: between creation and lock, other processes would find it
        // unlocked and take it for that of a dead process.
        let temporary = format!("lock-{}", std::process::id());
        store.write(&temporary, b"")?;
        let lock = match (store.path(&temporary), store.path(&file)) {
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
    pub fn mark_serving(&self) -> io::Result<()> {
        let Some(mut lock) = self.lock.as_ref() else { return Ok(()) };
        lock.rewind()?;
        lock.write_all(b"serves")
    }

    /// Records that this process stops: an older one must not take it for its successor.
    pub fn mark_stopping(&self) {
        if let Some(Err(error)) = self.lock.as_ref().map(|lock| lock.set_len(0)) {
            log_line!("the other processes are not told that this one stops: {error}");
        }
    }

    /// Whether a younger process serves requests. If the listener were left to a process that has been killed, no
    /// process would accept connections; a dead process is recognised because its lock is released.
    pub fn has_successor(&self) -> bool {
        self.successors().next().is_some()
    }

    /// Which other process serves requests.
    pub fn socket_server(&self) -> SocketServer {
        let is_served = self.siblings().any(|(_, serves)| serves);
        match (self.has_successor(), is_served) {
            (true, _) => SocketServer::Successor,
            (false, true) => SocketServer::Older,
            (false, false) => SocketServer::None,
        }
    }

    fn successors(&self) -> impl Iterator<Item = String> {
        let younger = self.siblings().filter(|(file, serves)| *file > self.file && *serves);
        younger.map(|(file, _)| file)
    }

    /// Path of the handover socket of the youngest process that serves after this one.
    pub fn successor_socket(&self) -> Option<PathBuf> {
        self.store.path(&format!("{HANDOVER_PREFIX}{}", self.successors().max()?))
    }

    /// Path of this process's handover socket. Removes sockets left behind by killed processes.
    pub fn handover_socket(&self) -> Option<PathBuf> {
        let running: Vec<String> =
            self.siblings().map(|(file, _)| format!("{HANDOVER_PREFIX}{file}")).collect();
        let stale = self.store.list_files(HANDOVER_PREFIX).into_iter().filter(|name| !running.contains(name));
        stale.for_each(|name| self.store.remove(&name));
        self.store.path(&format!("{HANDOVER_PREFIX}{}", self.file))
    }

    /// Name of this process among those of the proxy.
    pub fn name(&self) -> &str {
        &self.file
    }

    /// Names of the other running processes.
    pub fn sibling_names(&self) -> Vec<String> {
        self.siblings().map(|(file, _)| file).collect()
    }

    /// Ids of the other running processes.
    pub fn sibling_process_ids(&self) -> Vec<u32> {
        let process_id = |(file, _): (String, bool)| file.rsplit('-').next()?.parse().ok();
        self.siblings().filter_map(process_id).collect()
    }

    /// File names of the other running processes, and whether they serve.
    fn siblings(&self) -> impl Iterator<Item = (String, bool)> {
        let named = self.store.list_files(PROCESS_PREFIX).into_iter().filter(|file| *file != self.file);
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

    /// Reserves permits of each semaphore in `limits` for the other processes while there are any, because the limit on
    /// descriptors applies to all processes together. Never returns.
    pub async fn share_limits(&self, limits: &[(Arc<Semaphore>, usize)], shutdown: &Shutdown) {
        let mut reserved: Vec<OwnedSemaphorePermit> = Vec::new();
        let mut sibling_count = 0;
        // Reserved permits look like open connections and would delay shutdown, so they are released when it begins.
        while self.lock.is_some() && !shutdown.has_begun() {
            let siblings_now = self.siblings().count();
            if sibling_count != siblings_now {
                sibling_count = siblings_now;
                log_shared_limits(sibling_count);
                reserved.clear();
            }
            for (semaphore, total) in limits {
                let share = total * sibling_count / (sibling_count + 1);
                reserve(&mut reserved, semaphore, share);
            }
            sleep(POLL_INTERVAL).await;
        }
        drop(reserved);
        std::future::pending().await
    }
}

fn log_shared_limits(sibling_count: usize) {
    match sibling_count {
        0 => log_line!("no other process runs: connection limits restored"),
        1 => log_line!("another process of this proxy runs: connection limits halved"),
        more => {
            log_line!("{more} other processes of this proxy run: connection limits divided by {}", more + 1)
        }
    }
}

/// Takes what is available until `count` permits of this semaphore are reserved.
fn reserve(reserved: &mut Vec<OwnedSemaphorePermit>, semaphore: &Arc<Semaphore>, count: usize) {
    let of_semaphore = |permit: &&OwnedSemaphorePermit| Arc::ptr_eq(permit.semaphore(), semaphore);
    let held: usize = reserved.iter().filter(of_semaphore).map(OwnedSemaphorePermit::num_permits).sum();
    let more = count.saturating_sub(held).min(semaphore.available_permits());
    let more = u32::try_from(more).unwrap_or(0);
    reserved.extend(semaphore.clone().try_acquire_many_owned(more).ok().filter(|_| more > 0));
}

impl Drop for Succession {
    fn drop(&mut self) {
        self.store.remove(&self.file);
        self.store.remove(&format!("{HANDOVER_PREFIX}{}", self.file));
    }
}

#[cfg(test)]
mod tests;
