//! How old a list is that an earlier process of this proxy left: told by the machine's clock since its boot, which runs on
//! across processes and is not set. Danger: the wall clock may step by an hour, and a monotonic clock of another boot tells nothing.

use flintwell_core::interface::Micros;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id"; // of Linux: new with each boot

/// The machine's clock since its boot.
#[derive(Clone, Debug)]
pub struct BootClock {
    boot: String,
}

/// That a list of this version was confirmed, and when.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct Confirmation {
    version: u64,
    boot: String,
    /// Since that boot.
    at: Micros,
}

impl BootClock {
    /// None where the system does not tell its boots apart.
    pub fn open() -> Option<Self> {
        let boot = std::fs::read_to_string(BOOT_ID).ok()?.trim().to_owned();
        (!boot.is_empty()).then_some(BootClock { boot })
    }

    fn now(&self) -> Micros {
        let now = clock_gettime(ClockId::Boottime);
        now.tv_sec * 1_000_000 + now.tv_nsec / 1_000
    }

    /// A list of this version was confirmed so long ago.
    pub fn confirms(&self, version: u64, ago: Micros) -> Confirmation {
        Confirmation { version, boot: self.boot.clone(), at: self.now() - ago }
    }

    /// How long ago a list of this version was confirmed; none if this does not tell.
    pub fn age(&self, version: u64, confirmation: &Confirmation) -> Option<Micros> {
        let ours = confirmation.version == version && confirmation.boot == self.boot;
        Some(self.now() - confirmation.at).filter(|age| ours && *age >= 0)
    }
}

#[cfg(test)]
mod tests;
