//! The list as it is left in the proxy's folder for the next process, with its age.

use crate::fleet::lease::ListLease;
use crate::fleet::list_age::{BootClock, Confirmation};
use crate::process::store::Store;
use crate::log_line;
use flintwell_core::interface::Micros;
use flintwell_settings::listing::{Line, Listing};
use std::cell::Cell;
use std::io;

const LIST: &str = "list"; // the name of the list's file
const CONFIRMATION: &str = "list-confirmed"; // the name of the file that tells how old that list is

/// The list that an earlier process left.
pub struct Left {
    pub listing: Listing,
    /// How long ago discovery confirmed it; none if that is not known.
    pub age: Option<Micros>,
}

/// Keeps the list that discovery told last.
pub struct KeptList {
    store: Store,
    /// None where the system has no such clock; then the list is left without its age.
    boot_clock: Option<BootClock>,
    /// Of the list that discovery told last.
    version: Cell<Option<u64>>,
    /// That list is not written yet.
    changed: Cell<bool>,
    /// Of the list as it is written: its version, and until when it was confirmed.
    confirmed: Cell<Option<(u64, Micros)>>,
    /// The last try to write it failed, and that was logged.
    failing: Cell<bool>,
}

impl KeptList {
    pub fn new(store: Store) -> Self {
        KeptList {
            store,
            boot_clock: BootClock::open(),
            version: Cell::default(),
            changed: Cell::default(),
            confirmed: Cell::default(),
            failing: Cell::default(),
        }
    }

    /// What an earlier process of this proxy left.
    pub fn left(&self) -> Option<Left> {
        let read = serde_json::from_slice::<Listing>(&self.store.read(LIST)?);
        let listing = read.map_err(|error| log_line!("{LIST}: {error}")).ok().filter(|listing| listing.full)?;
        let confirmation = self.store.read(CONFIRMATION);
        let confirmation = confirmation.and_then(|text| serde_json::from_slice::<Confirmation>(&text).ok());
        let clock = self.boot_clock.as_ref();
        let age = clock.zip(confirmation).and_then(|(clock, told)| clock.age(listing.version, &told));
        Some(Left { listing, age })
    }

    /// Discovery has told a list of this version.
    pub fn told(&self, version: u64) {
        self.version.set(Some(version));
        self.changed.set(true);
    }

    /// Writes what has changed. Danger: a disk that is full for a moment would leave a list without its last changes; so what
    /// can't be written now is written once it can be.
    pub fn write(&self, lines: impl FnOnce() -> Vec<Line>, lease: &ListLease) {
        let written = self.write_list(lines).and_then(|()| self.write_confirmation(lease));
        let failing = written.is_err();
        if self.failing.replace(failing) == failing {
            return;
        }
        match written {
            Err(error) => log_line!("{LIST} not kept, and tried again until it can be: {error}"),
            Ok(()) => log_line!("{LIST} is kept again"),
        }
    }

    fn write_list(&self, lines: impl FnOnce() -> Vec<Line>) -> io::Result<()> {
        let Some(version) = self.version.get().filter(|_| self.changed.get()) else { return Ok(()) };
        let text = serde_json::to_vec(&Listing { version, full: true, servers: lines() })?;
        self.store.write(LIST, &text)?;
        self.changed.set(false);
        Ok(())
    }

    fn write_confirmation(&self, lease: &ListLease) -> io::Result<()> {
        let Some(clock) = &self.boot_clock else { return Ok(()) };
        let known = self.version.get().zip(lease.confirmed_at());
        let Some((version, _)) = known.filter(|_| known != self.confirmed.get()) else { return Ok(()) };
        let confirmation = clock.confirms(version, lease.age().unwrap_or_default());
        self.store.write(CONFIRMATION, &serde_json::to_vec(&confirmation)?)?;
        self.confirmed.set(known);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
