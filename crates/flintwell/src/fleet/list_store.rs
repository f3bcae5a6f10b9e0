//! The node list on disk, in the proxy's folder, with its age: the next process starts with it.

use crate::fleet::lease::ListLease;
use crate::fleet::list_age::{BootClock, Confirmation};
use crate::log_line;
use crate::process::store::Store;
use flintwell_core::interface::Micros;
use flintwell_settings::node_list::{ListedNode, NodeList};
use std::cell::Cell;
use std::io;

const LIST_FILE: &str = "list";
const CONFIRMATION_FILE: &str = "list-confirmed"; // holds the age of the list in LIST_FILE

/// The list that an earlier process stored.
pub struct StoredList {
    pub list: NodeList,
    /// How long ago discovery confirmed it; none if unknown.
    pub age: Option<Micros>,
}

/// Stores the most recent list of discovery.
pub struct ListStore {
    store: Store,
    /// None where the system has no boot identifier; then the list is stored without its age.
    boot_clock: Option<BootClock>,
    /// Version of the most recent list.
    version: Cell<Option<u64>>,
    /// That list is not written yet.
    is_dirty: Cell<bool>,
    /// The confirmation as written: the list's version, and when it was confirmed.
    written_confirmation: Cell<Option<(u64, Micros)>>,
    /// The last write failed, and that was logged.
    is_failing: Cell<bool>,
}

impl ListStore {
    pub fn new(store: Store) -> Self {
        ListStore {
            store,
            boot_clock: BootClock::open(),
            version: Cell::default(),
            is_dirty: Cell::default(),
            written_confirmation: Cell::default(),
            is_failing: Cell::default(),
        }
    }

    /// Reads the list that an earlier process of this proxy stored.
    pub fn load(&self) -> Option<StoredList> {
        let read = serde_json::from_slice::<NodeList>(&self.store.read(LIST_FILE)?);
        let read = read.map_err(|error| log_line!("cannot decode the stored node list: {error}"));
        let list = read.ok().filter(|list| list.full)?;
        let confirmation = self.store.read(CONFIRMATION_FILE);
        let confirmation = confirmation.and_then(|text| serde_json::from_slice::<Confirmation>(&text).ok());
        let clock = self.boot_clock.as_ref();
        let age = clock.zip(confirmation).and_then(|(clock, record)| clock.age(list.version, &record));
        Some(StoredList { list, age })
    }

    /// Marks the list as changed, now with this version.
    pub fn mark_changed(&self, version: u64) {
        self.version.set(Some(version));
        self.is_dirty.set(true);
    }

    /// Writes what has changed. Danger: if a write failed because the disk was full and were not repeated, the
    /// stored list would lack the last changes; so a failed write is repeated until it succeeds.
    pub fn write(&self, nodes: impl FnOnce() -> Vec<ListedNode>, lease: &ListLease) {
        let written = self.write_list(nodes).and_then(|()| self.write_confirmation(lease));
        let is_failing = written.is_err();
        if self.is_failing.replace(is_failing) == is_failing {
            return;
        }
        match written {
            Err(error) => log_line!("cannot store the node list, will retry: {error}"),
            Ok(()) => log_line!("the node list is stored again"),
        }
    }

    fn write_list(&self, nodes: impl FnOnce() -> Vec<ListedNode>) -> io::Result<()> {
        let Some(version) = self.version.get().filter(|_| self.is_dirty.get()) else { return Ok(()) };
        let text = serde_json::to_vec(&NodeList { version, full: true, nodes: nodes() })?;
        self.store.write(LIST_FILE, &text)?;
        self.is_dirty.set(false);
        Ok(())
    }

    fn write_confirmation(&self, lease: &ListLease) -> io::Result<()> {
        let Some(clock) = &self.boot_clock else { return Ok(()) };
        let known = self.version.get().zip(lease.confirmed_at());
        let Some((version, _)) = known.filter(|_| known != self.written_confirmation.get()) else {
            return Ok(());
        };
        let confirmation = clock.confirmation(version, lease.age().unwrap_or_default());
        self.store.write(CONFIRMATION_FILE, &serde_json::to_vec(&confirmation)?)?;
        self.written_confirmation.set(known);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
