//! Which processes of this proxy live: each holds a locked file while it does, and says in it once it serves.

use crate::process::shutdown::Shutdown;
use crate::process::store::Store;
use crate::say;
use std::fs::{File, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

const MARK: &str = "process-"; // begins the name of a process's file, then its start, so that names sort by age
const TAKES: &str = "takes-"; // begins the name of the socket at which a process takes over, then its file's
const LOOK: Duration = Duration::from_millis(50); // between looks for another process; few requests meanwhile
const SHARED_BY: usize = 2; // processes; a version and the next

pub struct Succession {
    store: Store,
    file: String,
    /// Our own, locked until we end. None where nothing is kept: then nobody succeeds us.
    lock: Option<File>,
}

impl Succession {
    pub fn open(store: Store, started_at: i64) -> io::Result<Self> {
        let file = format!("{MARK}{started_at:020}-{}", std::process::id());
        // Danger: a file is found unlocked, and taken for a dead process's, between its making and its lock.
        let unnamed = format!("lock-{}", std::process::id());
        store.write(&unnamed, b"")?;
        let lock = match (store.path(&unnamed), store.path(&file)) {
            (Some(from), Some(to)) => {
                let lock = File::options().read(true).write(true).open(&from)?;
                lock.try_lock().map_err(|_| io::Error::other("its lock is held"))?;
                std::fs::rename(from, to)?;
                Some(lock)
            }
            _ => None,
        };
        Ok(Succession { store, file, lock })
    }

    /// From now on we serve.
    pub fn serves(&self) -> io::Result<()> {
        let Some(mut lock) = self.lock.as_ref() else { return Ok(()) };
        lock.rewind()?;
        lock.write_all(b"serves")
    }

    /// Whether another process of ours lives.
    pub fn another(&self) -> bool {
        self.others().next().is_some()
    }

    /// Whether a younger one serves. Danger: to leave the listener to one that was killed meanwhile would leave
    /// nobody there; its lock went with it.
    pub fn succeeded(&self) -> bool {
        self.successors().next().is_some()
    }

    fn successors(&self) -> impl Iterator<Item = String> {
        let younger = self.others().filter(|(file, serves)| *file > self.file && *serves);
        younger.map(|(file, _)| file)
    }

    /// Where the youngest of those takes over what we have begun.
    pub fn successor(&self) -> Option<PathBuf> {
        self.store.path(&format!("{TAKES}{}", self.successors().max()?))
    }

    /// Where we do so. What one that was killed left behind is cleared.
    pub fn takes_over_at(&self) -> Option<PathBuf> {
        let living: Vec<String> = self.others().map(|(file, _)| format!("{TAKES}{file}")).collect();
        let left = self.store.names(TAKES).into_iter().filter(|name| !living.contains(name));
        left.for_each(|name| self.store.remove(&name));
        self.store.path(&format!("{TAKES}{}", self.file))
    }

    /// Those that live, and whether they serve.
    fn others(&self) -> impl Iterator<Item = (String, bool)> {
        let named = self.store.names(MARK).into_iter().filter(|file| *file != self.file);
        named.filter_map(|name| {
            let mut file = File::open(self.store.path(&name)?).ok()?;
            match file.try_lock_shared() {
                Err(TryLockError::WouldBlock) => {
                    let mut text = String::new();
                    file.read_to_string(&mut text).ok()?;
                    Some((name, !text.is_empty()))
                }
                _ => {
                    // Its process has ended.
                    self.store.remove(&name);
                    None
                }
            }
        })
    }

    /// Keeps half of each room back while another process lives. Danger: to the limit on descriptors both
    /// are one.
    pub async fn share(&self, rooms: &[(Arc<Semaphore>, usize)], shutdown: &Shutdown) {
        let mut kept: Vec<OwnedSemaphorePermit> = Vec::new();
        let mut shared = false;
        // Danger: what is kept back here would pass for connections still open, and hold up our end.
        while self.lock.is_some() && !shutdown.begun() {
            if shared != self.another() {
                shared = !shared;
                say!("{}", if shared { "another process of ours lives" } else { "alone again" });
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
