//! Ids of unsafe requests, shared with another process of this proxy while both run, e.g. at an upgrade.
//!
//! Each id is an empty file, which the process that sends the request creates first. A client that leaves one process and
//! comes to the other with the same request is recognized by that.

use crate::log_line;
use crate::process::store::Store;
use crate::requests::used_ids::IdHash;
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::fs::File;
use std::io::ErrorKind;

const PREFIX: &str = "used-"; // followed by a hash of the id
const MARK_PREFIX: &str = "shares-"; // followed by the name of a process that shares its ids
const MAX_FILES: usize = 4_096; // the oldest are removed beyond

/// Ids that are shared with other processes.
pub struct SharedIds {
    store: Store,
    /// Name of this process among those of the proxy.
    process: String,
    /// None until it is known whether there is another process.
    is_shared: Cell<Option<bool>>,
    /// Files that this process has created, and their order.
    own: RefCell<(HashSet<String>, VecDeque<String>)>,
}

impl SharedIds {
    /// Ids of the process of this name in the directory of its proxy; without one nothing is shared.
    pub fn new(store: Store, process: String) -> Self {
        SharedIds { store, process, is_shared: Cell::new(None), own: RefCell::default() }
    }

    /// Starts or ends sharing. At the start the ids that this process has used before are shared, too.
    pub fn set_shared(&self, is_shared: bool, used_before: impl FnOnce() -> Vec<IdHash>) {
        if self.is_shared.replace(Some(is_shared)) == Some(is_shared) {
            return;
        }
        if is_shared {
            for id in used_before() {
                // The other process has used it as well, if this fails.
                self.claim(id);
            }
            if let Err(error) = self.store.write(&mark_of(&self.process), b"") {
                log_line!("ids are shared without a mark for the other process: {error}");
            }
        } else {
            self.store.list_files(MARK_PREFIX).iter().for_each(|file| self.store.remove(file));
            // Nobody else reads them any more; also those that a killed process has left.
            self.store.list_files(PREFIX).iter().for_each(|file| self.store.remove(file));
            self.own.take();
        }
    }

    /// Claims an id for this process; returns whether no other process has used it.
    pub fn claim(&self, id: IdHash) -> bool {
        let file = file_name(id);
        let path = self.store.path(&file).filter(|_| self.is_shared.get() == Some(true));
        let Some(path) = path.filter(|_| !self.own.borrow().0.contains(&file)) else { return true };
        match File::create_new(path) {
            Ok(_) => self.record_own(file),
            Err(error) if error.kind() == ErrorKind::AlreadyExists => return false,
            Err(error) => log_line!("a request is not recorded for the other process: {error}"),
        }
        true
    }

    /// Gives up the claim to an id, whose request has not run.
    pub fn release(&self, id: IdHash) {
        let file = file_name(id);
        if self.own.borrow_mut().0.remove(&file) {
            self.store.remove(&file);
        }
    }

    fn record_own(&self, file: String) {
        let (files, order) = &mut *self.own.borrow_mut();
        if order.len() >= MAX_FILES
            && let Some(oldest) = order.pop_front()
            && files.remove(&oldest)
        {
            self.store.remove(&oldest);
        }
        order.push_back(file.clone());
        files.insert(file);
    }
}

/// Whether the process of this name shares its ids, all that it has used included.
pub fn is_sharing(store: &Store, process: &str) -> bool {
    store.path(&mark_of(process)).is_some_and(|path| path.exists())
}

fn mark_of(process: &str) -> String {
    format!("{MARK_PREFIX}{process}")
}

fn file_name(id: IdHash) -> String {
    format!("{PREFIX}{:016x}", id.0)
}
