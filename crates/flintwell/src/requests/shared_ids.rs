//! Ids of unsafe requests that may have run, recorded for other processes of this proxy, e.g. at an upgrade.
//!
//! Each id is an empty file. It is created before the request is sent for the first time, and outlives the process.

use crate::log_line;
use crate::process::store::Store;
use crate::requests::id_hash::IdHash;
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::fmt;
use std::fs::File;
use std::io::{self, ErrorKind};

const PREFIX: &str = "used-"; // followed by a hash of the id
const MARK_PREFIX: &str = "shares-"; // followed by the name of a process that shares its ids
pub const MAX_FILES: usize = 4_096; // the oldest are removed beyond

#[derive(Clone, Copy, PartialEq, Eq)]
enum Sharing {
    /// Ids of other processes count; not all of this process are recorded yet.
    Incomplete,
    /// All ids of this process are recorded, and a mark says so.
    Complete,
    /// There is no other process, and none has ended recently.
    Inactive,
}

/// Ids that are shared with other processes.
pub struct SharedIds {
    store: Store,
    /// Name of this process among those of the proxy.
    process: String,
    sharing: Cell<Sharing>,
    /// Whether the latest attempt to share has failed, which is logged once.
    has_failed: Cell<bool>,
    recorded: RefCell<RecordedFiles>,
}

/// Files that this process has created, the oldest first.
#[derive(Default)]
struct RecordedFiles {
    names: HashSet<String>,
    order: VecDeque<String>,
}

/// Why an id could not be recorded.
#[derive(Debug)]
pub enum RecordError {
    /// Another process has recorded it.
    AlreadyUsed,
    Io(io::Error),
}

impl fmt::Display for RecordError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RecordError::AlreadyUsed => formatter.write_str("another process has recorded it"),
            RecordError::Io(error) => error.fmt(formatter),
        }
    }
}

impl SharedIds {
    /// Ids of the process of this name in the directory of its proxy; without one nothing is shared.
    pub fn new(store: Store, process: String) -> Self {
        SharedIds {
            store,
            process,
            sharing: Cell::new(Sharing::Incomplete),
            has_failed: Cell::default(),
            recorded: RefCell::default(),
        }
    }

    /// Starts sharing with the ids that this process has used before. What could not be recorded is tried again at the next
    /// call.
    pub fn start(&self, used_before: impl FnOnce() -> Vec<IdHash>) {
        if self.sharing.get() == Sharing::Complete {
            return;
        }
        self.sharing.set(Sharing::Incomplete);
        match self.share_all(used_before()) {
            Ok(()) => {
                self.sharing.set(Sharing::Complete);
                self.has_failed.set(false);
            }
            Err(error) => {
                if !self.has_failed.replace(true) {
                    log_line!("ids of unsafe requests cannot be shared with the other process: {error}");
                }
            }
        }
    }

    fn share_all(&self, used_before: Vec<IdHash>) -> io::Result<()> {
        for id in used_before {
            match self.record(id) {
                Ok(()) | Err(RecordError::AlreadyUsed) => {}
                Err(RecordError::Io(error)) => return Err(error),
            }
        }
        self.store.write(&mark_of(&self.process), b"")
    }

    /// Ends sharing: no other process reads the files any more. Also removes those that a killed process has left.
    pub fn stop(&self) {
        if self.sharing.replace(Sharing::Inactive) == Sharing::Inactive {
            return;
        }
        self.store.list_files(MARK_PREFIX).iter().for_each(|file| self.store.remove(file));
        self.store.list_files(PREFIX).iter().for_each(|file| self.store.remove(file));
        self.recorded.take();
    }

    /// Withdraws the statement that all ids of this process are recorded.
    pub fn mark_incomplete(&self) {
        if self.sharing.get() == Sharing::Complete {
            self.store.remove(&mark_of(&self.process));
            self.sharing.set(Sharing::Incomplete);
        }
    }

    /// Whether there are records, of whichever process.
    pub fn has_records(&self) -> bool {
        !self.store.list_files(PREFIX).is_empty()
    }

    /// Whether a process has recorded this id.
    pub fn is_used(&self, id: IdHash) -> io::Result<bool> {
        if self.sharing.get() == Sharing::Inactive {
            return Ok(false);
        }
        self.store.path(&file_name(id)).map_or(Ok(false), |path| path.try_exists())
    }

    /// Records that this process has used an id.
    pub fn record(&self, id: IdHash) -> Result<(), RecordError> {
        if self.sharing.get() == Sharing::Inactive {
            return Ok(());
        }
        let file = file_name(id);
        let Some(path) = self.store.path(&file) else { return Ok(()) };
        let recorded = &mut *self.recorded.borrow_mut();
        if recorded.names.contains(&file) {
            return Ok(());
        }
        match File::create_new(path) {
            Ok(_) => {
                recorded.insert(file, &self.store);
                Ok(())
            }
            Err(error) if error.kind() == ErrorKind::AlreadyExists => Err(RecordError::AlreadyUsed),
            Err(error) => Err(RecordError::Io(error)),
        }
    }

    /// Removes the record of an id whose request has not run.
    pub fn forget(&self, id: IdHash) {
        let file = file_name(id);
        if self.recorded.borrow_mut().names.remove(&file) {
            self.store.remove(&file);
        }
    }
}

impl RecordedFiles {
    fn insert(&mut self, file: String, store: &Store) {
        if self.order.len() >= MAX_FILES
            && let Some(oldest) = self.order.pop_front()
            && self.names.remove(&oldest)
        {
            store.remove(&oldest);
        }
        self.order.push_back(file.clone());
        self.names.insert(file);
    }
}

/// Whether the process of this name shares its ids, all that it has used included.
pub fn is_sharing(store: &Store, process: &str) -> bool {
    store.path(&mark_of(process)).is_none_or(|path| path.exists())
}

fn mark_of(process: &str) -> String {
    format!("{MARK_PREFIX}{process}")
}

fn file_name(id: IdHash) -> String {
    format!("{PREFIX}{:016x}", id.0)
}

#[cfg(test)]
mod tests;
