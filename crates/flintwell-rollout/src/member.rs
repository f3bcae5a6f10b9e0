//! State of one member during a rollout: which changes it accepts and when it reverts by itself.
//!
//! A change goes through stage, apply, renew (while it is watched) and confirm. An applied change that is not
//! confirmed is reverted when its timeout expires, since the controller may be gone, and at a restart, since the
//! change may be why the process ended. Reverting therefore needs no write: the record on disk already says
//! unconfirmed.

use crate::wire::{EpochRequest, PROTOCOL_VERSION, StageRequest, Status, hash};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The longest time that a change may stay unconfirmed.
pub const MAX_CONFIRM_TIMEOUT_MS: u64 = 600_000;
// The previous and the next version are accepted as well.
const ACCEPTED_PROTOCOLS: std::ops::RangeInclusive<u32> =
    PROTOCOL_VERSION.saturating_sub(1)..=PROTOCOL_VERSION + 1;

/// Settings and the epoch that introduced them.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub struct Version {
    pub epoch: u64,
    pub hash: String,
    pub settings: Value,
}

/// The state on disk.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub struct Record {
    pub fleet: String,
    /// Hash of the configuration file's settings at the time of writing; the record does not apply to other settings.
    #[serde(rename = "base")]
    pub config_hash: String,
    #[serde(rename = "in_force")]
    pub active: Version,
    #[serde(rename = "former")]
    pub previous: Option<Version>,
    pub unconfirmed: bool,
    pub fence: u64,
}

/// Why a request was refused. A refused request changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    UnsupportedProtocol(u32),
    WrongFleet(String),
    Fenced {
        epoch: u64,
        fence: u64,
    },
    /// Another change is active and not confirmed yet.
    ChangeInProgress(u64),
    HashMismatch,
    /// The settings are invalid, or differ in a setting that cannot change at run time.
    InvalidSettings(String),
    NotStaged(u64),
    NotActive(u64),
    NoPrevious,
    /// The confirm timeout is zero or above `MAX_CONFIRM_TIMEOUT_MS`.
    InvalidTimeout(u64),
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Refusal::UnsupportedProtocol(theirs) => {
                write!(f, "protocol {theirs} is not supported; this is {PROTOCOL_VERSION}")
            }
            Refusal::WrongFleet(fleet) => write!(f, "fleet {fleet:?} is not ours"),
            Refusal::Fenced { epoch, fence } => write!(f, "epoch {epoch} is older than {fence}"),
            Refusal::ChangeInProgress(epoch) => write!(f, "epoch {epoch} is active and not confirmed"),
            Refusal::HashMismatch => write!(f, "the hash is not that of the settings"),
            Refusal::InvalidSettings(why) => write!(f, "{why}"),
            Refusal::NotStaged(epoch) => write!(f, "epoch {epoch} is not staged"),
            Refusal::NotActive(epoch) => write!(f, "epoch {epoch} is not active"),
            Refusal::NoPrevious => write!(f, "there is no previous version to revert to"),
            Refusal::InvalidTimeout(ms) => {
                write!(f, "within_ms is {ms}; it has to be from 1 to {MAX_CONFIRM_TIMEOUT_MS}")
            }
        }
    }
}

/// A state change that the caller commits after its record has been written to disk.
#[derive(Clone, Debug)]
pub struct Transition {
    pub record: Record,
    expires_at: Option<u64>,
    confirm_timeout_ms: u64,
    staged: Option<Version>,
}

impl Transition {
    /// Counts the confirm timeout from `now`, for changes that took a while to apply.
    pub fn with_timer_from(self, now: u64) -> Self {
        Transition { expires_at: self.expires_at.map(|_| now + self.confirm_timeout_ms), ..self }
    }
}

/// One member's record, staged version and timeout.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    record: Record,
    staged: Option<Version>,
    /// When an unconfirmed change is reverted, in ms on the caller's clock.
    expires_at: Option<u64>,
}

impl Member {
    /// State at process start, from the record on disk, if any, and the settings of the configuration file.
    pub fn new(fleet: &str, stored: Option<Record>, configured: &Value) -> Self {
        let config_hash = hash(configured);
        let stored = stored.filter(|record| record.fleet == fleet);
        let fence = stored.as_ref().map_or(0, |record| record.fence);
        // If the configuration file has been edited since, it takes precedence over the record; the fence is kept.
        let record = match stored.filter(|record| record.config_hash == config_hash) {
            Some(Record { previous: Some(previous), unconfirmed: true, .. }) => {
                // An unconfirmed change is not restored: if it made the process end, it would do so at each start.
                Record {
                    fleet: fleet.into(),
                    config_hash,
                    active: previous,
                    previous: None,
                    unconfirmed: false,
                    fence,
                }
            }
            Some(record) => record,
            None => {
                let active = Version { epoch: 0, hash: config_hash.clone(), settings: configured.clone() };
                Record { fleet: fleet.into(), config_hash, active, previous: None, unconfirmed: false, fence }
            }
        };
        Member { record, staged: None, expires_at: None }
    }

    /// The version in use.
    pub fn active(&self) -> &Version {
        &self.record.active
    }

    /// The record to keep on disk.
    pub fn record(&self) -> &Record {
        &self.record
    }

    fn check_addressed(&self, protocol: u32, fleet: &str, epoch: u64) -> Result<(), Refusal> {
        if !ACCEPTED_PROTOCOLS.contains(&protocol) {
            return Err(Refusal::UnsupportedProtocol(protocol));
        }
        if fleet != self.record.fleet {
            return Err(Refusal::WrongFleet(fleet.into()));
        }
        // With two controllers, the one with the older epoch would revert each step of the other.
        if epoch < self.record.fence {
            return Err(Refusal::Fenced { epoch, fence: self.record.fence });
        }
        Ok(())
    }

    /// Validates settings and holds them until they are applied. `check` compares the active settings with the new
    /// ones.
    pub fn stage(
        &self,
        request: &StageRequest,
        check: impl FnOnce(&Value, &Value) -> Result<(), String>,
    ) -> Result<Transition, Refusal> {
        self.check_addressed(request.protocol, &request.fleet, request.epoch)?;
        if self.record.unconfirmed && self.record.active.epoch != request.epoch {
            return Err(Refusal::ChangeInProgress(self.record.active.epoch));
        }
        if hash(&request.settings) != request.hash {
            return Err(Refusal::HashMismatch);
        }
        // An epoch identifies one content only, regardless of which controller stages it.
        let version =
            Version { epoch: request.epoch, hash: request.hash.clone(), settings: request.settings.clone() };
        let known = [Some(&self.record.active), self.staged.as_ref()];
        if known.into_iter().flatten().any(|known| known.epoch == request.epoch && known.hash != request.hash)
        {
            return Err(Refusal::Fenced { epoch: request.epoch, fence: request.epoch + 1 });
        }
        check(&self.record.active.settings, &request.settings).map_err(Refusal::InvalidSettings)?;
        let record = Record { fence: request.epoch, ..self.record.clone() };
        Ok(Transition { record, expires_at: self.expires_at, confirm_timeout_ms: 0, staged: Some(version) })
    }

    /// Makes the staged version active until the confirm timeout expires. None if it is active already.
    pub fn apply(&self, now: u64, request: &EpochRequest) -> Result<Option<Transition>, Refusal> {
        self.check_addressed(request.protocol, &request.fleet, request.epoch)?;
        check_timeout(request)?;
        if self.is_active(request) {
            return Ok(None);
        }
        if self.record.unconfirmed {
            return Err(Refusal::ChangeInProgress(self.record.active.epoch));
        }
        let staged = self.staged.clone().filter(|staged| is_version(staged, request));
        let version = staged.ok_or(Refusal::NotStaged(request.epoch))?;
        let previous = Some(self.record.active.clone());
        let record = Record { active: version, previous, unconfirmed: true, ..self.record.clone() };
        let confirm_timeout_ms = request.confirm_timeout_ms;
        let expires_at = Some(now + confirm_timeout_ms);
        Ok(Some(Transition { record, expires_at, confirm_timeout_ms, staged: None }))
    }

    /// Restarts the timeout of an unconfirmed change.
    pub fn renew(&mut self, now: u64, request: &EpochRequest) -> Result<(), Refusal> {
        self.check_addressed(request.protocol, &request.fleet, request.epoch)?;
        check_timeout(request)?;
        self.check_active(request)?;
        if self.record.unconfirmed {
            self.expires_at = Some(now + request.confirm_timeout_ms);
        }
        Ok(())
    }

    /// Makes the active change permanent. None if it is confirmed already.
    pub fn confirm(&self, request: &EpochRequest) -> Result<Option<Transition>, Refusal> {
        self.check_addressed(request.protocol, &request.fleet, request.epoch)?;
        self.check_active(request)?;
        let transition = || Transition {
            record: Record { unconfirmed: false, ..self.record.clone() },
            expires_at: None,
            confirm_timeout_ms: 0,
            staged: self.staged.clone(),
        };
        Ok(self.record.unconfirmed.then(transition))
    }

    /// Restores the previous version at once, also from a confirmed change, as long as the previous one is known.
    /// Returns the record; writing it may fail, since a restart reverts an unconfirmed change anyway.
    pub fn revert(&mut self, request: &EpochRequest) -> Result<Record, Refusal> {
        self.check_addressed(request.protocol, &request.fleet, request.epoch)?;
        if !self.is_active(request) {
            // Never applied or already reverted: only the staged version is dropped.
            self.staged.take_if(|staged| is_version(staged, request));
            return Ok(self.record.clone());
        }
        self.restore_previous().ok_or(Refusal::NoPrevious)
    }

    /// Reverts an unconfirmed change whose timeout has expired.
    pub fn tick(&mut self, now: u64) -> Option<Record> {
        let expired = self.expires_at.is_some_and(|at| now >= at);
        if expired { self.restore_previous() } else { None }
    }

    /// When an unconfirmed change is reverted; none if there is none.
    pub fn expires_at(&self) -> Option<u64> {
        self.expires_at
    }

    fn restore_previous(&mut self) -> Option<Record> {
        let previous = self.record.previous.take()?;
        self.record.active = previous;
        self.record.unconfirmed = false;
        (self.expires_at, self.staged) = (None, None);
        Some(self.record.clone())
    }

    fn is_active(&self, request: &EpochRequest) -> bool {
        is_version(&self.record.active, request)
    }

    fn check_active(&self, request: &EpochRequest) -> Result<(), Refusal> {
        if self.is_active(request) { Ok(()) } else { Err(Refusal::NotActive(request.epoch)) }
    }

    /// Adopts a transition; its record has to be on disk.
    pub fn commit(&mut self, transition: Transition) {
        (self.record, self.expires_at, self.staged) =
            (transition.record, transition.expires_at, transition.staged);
    }

    /// The status that the management API shows.
    pub fn status(&self, now: u64, name: &str, program: &str, started_ms: u64) -> Status {
        Status {
            protocol: PROTOCOL_VERSION,
            fleet: self.record.fleet.clone(),
            name: name.into(),
            program: program.into(),
            epoch: self.record.active.epoch,
            hash: self.record.active.hash.clone(),
            unconfirmed: self.record.unconfirmed,
            remaining_ms: self.expires_at.map_or(0, |at| at.saturating_sub(now)),
            staged: self.staged.as_ref().map(|staged| staged.epoch),
            previous: self.record.previous.as_ref().map(|previous| previous.epoch),
            fence: self.record.fence,
            started_ms,
            apply_error: None,
            restarted_for: None,
        }
    }
}

/// Whether the request means this version: the same epoch with the same content.
fn is_version(version: &Version, request: &EpochRequest) -> bool {
    (version.epoch, &version.hash) == (request.epoch, &request.hash)
}

fn check_timeout(request: &EpochRequest) -> Result<(), Refusal> {
    let is_valid = (1..=MAX_CONFIRM_TIMEOUT_MS).contains(&request.confirm_timeout_ms);
    if is_valid { Ok(()) } else { Err(Refusal::InvalidTimeout(request.confirm_timeout_ms)) }
}

#[cfg(test)]
mod tests;
