//! The age of a node list that an earlier process of this proxy stored, measured by the time since the
//! machine's boot: that clock runs on across processes and is never set. Danger: with the wall clock, a step
//! of an hour would falsify the age; and readings of a monotonic clock from different boots are not
//! comparable.

use flintwell_core::interface::Micros;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id"; // Linux: differs for each boot

/// The machine's clock since boot, with an identifier of the boot.
#[derive(Clone, Debug)]
pub struct BootClock {
    boot: String,
}

/// When a list of this version was confirmed.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct Confirmation {
    version: u64,
    boot: String,
    /// Time since that boot.
    at: Micros,
}

impl BootClock {
    /// None where the system has no boot identifier.
    pub fn open() -> Option<Self> {
        let boot = std::fs::read_to_string(BOOT_ID).ok()?.trim().to_owned();
        (!boot.is_empty()).then_some(BootClock { boot })
    }

    fn now(&self) -> Micros {
        let now = clock_gettime(ClockId::Boottime);
        now.tv_sec * 1_000_000 + now.tv_nsec / 1_000
    }

    /// The record that a list of this version was confirmed `ago` microseconds ago.
    pub fn confirmation(&self, version: u64, ago: Micros) -> Confirmation {
        Confirmation { version, boot: self.boot.clone(), at: self.now() - ago }
    }

    /// How long ago a list of this version was confirmed; none if the record is of another list or boot, or
    /// lies in the future.
    pub fn age(&self, version: u64, confirmation: &Confirmation) -> Option<Micros> {
        let applies = confirmation.version == version && confirmation.boot == self.boot;
        Some(self.now() - confirmation.at).filter(|age| applies && *age >= 0)
    }
}

#[cfg(test)]
mod tests;
