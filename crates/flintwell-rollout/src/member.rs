//! What one proxy decides about a change of its settings: which it takes, when it goes back by itself.
//!
//! A change comes in four words: stage, apply, renew while it is watched, confirm. Applied and not confirmed it goes
//! back once its time is up, whoever asked for it being gone, and at a start, since it may be why the process ended. So
//! going back needs no write: what lies on disk says unconfirmed already.

use crate::wire::{EpochRequest, PROTOCOL_VERSION, StageRequest, Status, hash};
use serde::{Deserialize, Serialize};
use serde_json::Value;

pub const MAX_CONFIRM_TIMEOUT_MS: u64 = 600_000; // ms; the longest time that a change may stand unconfirmed
const PROTOCOLS: std::ops::RangeInclusive<u32> = PROTOCOL_VERSION.saturating_sub(1)..=PROTOCOL_VERSION + 1; // before and after

/// Settings, and under what number they came.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub struct Version {
    pub epoch: u64,
    pub hash: String,
    pub settings: Value,
}

/// What outlives the process.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub struct Record {
    pub fleet: String,
    /// The hash of the configuration file's settings, on which this stands.
    #[serde(rename = "base")]
    pub config_hash: String,
    #[serde(rename = "in_force")]
    pub active: Version,
    #[serde(rename = "former")]
    pub previous: Option<Version>,
    pub unconfirmed: bool,
    pub fence: u64,
}

/// Why a word was not taken; nothing has changed then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    UnsupportedProtocol(u32),
    WrongFleet(String),
    Fenced {
        epoch: u64,
        fence: u64,
    },
    /// Another change is in force that is not confirmed yet.
    ChangeInProgress(u64),
    HashMismatch,
    /// The settings themselves, or what can't change while we run.
    InvalidSettings(String),
    NotStaged(u64),
    NotActive(u64),
    NoPrevious,
    /// Over the longest time unconfirmed, or none.
    InvalidTimeout(u64),
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Refusal::UnsupportedProtocol(theirs) => {
                write!(f, "protocol {theirs}, this is {PROTOCOL_VERSION}")
            }
            Refusal::WrongFleet(fleet) => write!(f, "fleet {fleet:?} is not ours"),
            Refusal::Fenced { epoch, fence } => write!(f, "epoch {epoch} is older than {fence}"),
            Refusal::ChangeInProgress(epoch) => write!(f, "epoch {epoch} is in force and not confirmed"),
            Refusal::HashMismatch => write!(f, "the hash is not that of the settings"),
            Refusal::InvalidSettings(why) => write!(f, "{why}"),
            Refusal::NotStaged(epoch) => write!(f, "epoch {epoch} is not staged"),
            Refusal::NotActive(epoch) => write!(f, "epoch {epoch} is not in force"),
            Refusal::NoPrevious => write!(f, "there is nothing to go back to"),
            Refusal::InvalidTimeout(ms) => {
                write!(f, "within_ms is {ms}; 1 to {MAX_CONFIRM_TIMEOUT_MS} is needed")
            }
        }
    }
}

/// A step that holds once its record lies on disk.
#[derive(Clone, Debug)]
pub struct Transition {
    pub record: Record,
    until: Option<u64>,
    within: u64,
    staged: Option<Version>,
}

impl Transition {
    /// Its time counts from then, where putting it in force took a while.
    pub fn with_timer_from(self, now: u64) -> Self {
        Transition { until: self.until.map(|_| now + self.within), ..self }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    record: Record,
    staged: Option<Version>,
    /// When an unconfirmed change goes back, on the teller's clock, ms.
    until: Option<u64>,
}

impl Member {
    /// At a start: the record as left on disk, if there is one, and the settings of the configuration file.
    pub fn new(fleet: &str, left: Option<Record>, configured: &Value) -> Self {
        let base = hash(configured);
        let left = left.filter(|record| record.fleet == fleet);
        let fence = left.as_ref().map_or(0, |record| record.fence);
        // A file changed by hand since then goes before the record; the fence stays.
        let record = match left.filter(|record| record.config_hash == base) {
            Some(Record { previous: Some(previous), unconfirmed: true, .. }) => {
                // Danger: what ended the process in the middle of a change would end it again at each start.
                Record {
                    fleet: fleet.into(),
                    config_hash: base,
                    active: previous,
                    previous: None,
                    unconfirmed: false,
                    fence,
                }
            }
            Some(record) => record,
            None => {
                let active = Version { epoch: 0, hash: base.clone(), settings: configured.clone() };
                Record {
                    fleet: fleet.into(),
                    config_hash: base,
                    active,
                    previous: None,
                    unconfirmed: false,
                    fence,
                }
            }
        };
        Member { record, staged: None, until: None }
    }

    pub fn active(&self) -> &Version {
        &self.record.active
    }

    pub fn record(&self) -> &Record {
        &self.record
    }

    fn ours(&self, protocol: u32, fleet: &str, epoch: u64) -> Result<(), Refusal> {
        if !PROTOCOLS.contains(&protocol) {
            return Err(Refusal::UnsupportedProtocol(protocol));
        }
        if fleet != self.record.fleet {
            return Err(Refusal::WrongFleet(fleet.into()));
        }
        // Danger: of two who roll out the older would undo, word by word, what the younger does.
        if epoch < self.record.fence {
            return Err(Refusal::Fenced { epoch, fence: self.record.fence });
        }
        Ok(())
    }

    /// Holds settings ready. `check` says what is wrong with them beside those in force.
    pub fn stage(
        &self,
        word: &StageRequest,
        check: impl FnOnce(&Value, &Value) -> Result<(), String>,
    ) -> Result<Transition, Refusal> {
        self.ours(word.protocol, &word.fleet, word.epoch)?;
        if self.record.unconfirmed && self.record.active.epoch != word.epoch {
            return Err(Refusal::ChangeInProgress(self.record.active.epoch));
        }
        if hash(&word.settings) != word.hash {
            return Err(Refusal::HashMismatch);
        }
        // One epoch stands for one content, whoever asks.
        let version = Version { epoch: word.epoch, hash: word.hash.clone(), settings: word.settings.clone() };
        let known = [Some(&self.record.active), self.staged.as_ref()];
        if known.into_iter().flatten().any(|known| known.epoch == word.epoch && known.hash != word.hash) {
            return Err(Refusal::Fenced { epoch: word.epoch, fence: word.epoch + 1 });
        }
        check(&self.record.active.settings, &word.settings).map_err(Refusal::InvalidSettings)?;
        let record = Record { fence: word.epoch, ..self.record.clone() };
        Ok(Transition { record, until: self.until, within: 0, staged: Some(version) })
    }

    /// Puts what is staged in force, for so long unless it is renewed. None: it is in force already.
    pub fn apply(&self, now: u64, word: &EpochRequest) -> Result<Option<Transition>, Refusal> {
        self.ours(word.protocol, &word.fleet, word.epoch)?;
        within(word)?;
        if self.is_in_force(word) {
            return Ok(None);
        }
        if self.record.unconfirmed {
            return Err(Refusal::ChangeInProgress(self.record.active.epoch));
        }
        let staged = self.staged.clone().filter(|staged| is(staged, word));
        let version = staged.ok_or(Refusal::NotStaged(word.epoch))?;
        let previous = Some(self.record.active.clone());
        let record = Record { active: version, previous, unconfirmed: true, ..self.record.clone() };
        let within = word.confirm_timeout_ms;
        Ok(Some(Transition { record, until: Some(now + within), within, staged: None }))
    }

    /// What is not confirmed stays for so long from now.
    pub fn renew(&mut self, now: u64, word: &EpochRequest) -> Result<(), Refusal> {
        self.ours(word.protocol, &word.fleet, word.epoch)?;
        within(word)?;
        self.stands(word)?;
        if self.record.unconfirmed {
            self.until = Some(now + word.confirm_timeout_ms);
        }
        Ok(())
    }

    /// It stays for good. None: it is confirmed already.
    pub fn confirm(&self, word: &EpochRequest) -> Result<Option<Transition>, Refusal> {
        self.ours(word.protocol, &word.fleet, word.epoch)?;
        self.stands(word)?;
        let step = || Transition {
            record: Record { unconfirmed: false, ..self.record.clone() },
            until: None,
            within: 0,
            staged: self.staged.clone(),
        };
        Ok(self.record.unconfirmed.then(step))
    }

    /// Back to what was in force before, at once; also from one confirmed, for as long as that is known. Returns
    /// the record, whose writing may fail: at a start an unconfirmed one goes back anyway.
    pub fn revert(&mut self, word: &EpochRequest) -> Result<Record, Refusal> {
        self.ours(word.protocol, &word.fleet, word.epoch)?;
        if !self.is_in_force(word) {
            // It never came, or has gone back: then only what is staged goes.
            self.staged.take_if(|staged| is(staged, word));
            return Ok(self.record.clone());
        }
        self.goes_back().ok_or(Refusal::NoPrevious)
    }

    /// An unconfirmed change whose time is up goes back by itself.
    pub fn tick(&mut self, now: u64) -> Option<Record> {
        let due = self.until.is_some_and(|until| now >= until);
        if due { self.goes_back() } else { None }
    }

    /// When that is.
    pub fn expires_at(&self) -> Option<u64> {
        self.until
    }

    fn goes_back(&mut self) -> Option<Record> {
        let previous = self.record.previous.take()?;
        self.record.active = previous;
        self.record.unconfirmed = false;
        (self.until, self.staged) = (None, None);
        Some(self.record.clone())
    }

    fn is_in_force(&self, word: &EpochRequest) -> bool {
        is(&self.record.active, word)
    }

    fn stands(&self, word: &EpochRequest) -> Result<(), Refusal> {
        if self.is_in_force(word) { Ok(()) } else { Err(Refusal::NotActive(word.epoch)) }
    }

    /// The step's record lies on disk.
    pub fn commit(&mut self, step: Transition) {
        (self.record, self.until, self.staged) = (step.record, step.until, step.staged);
    }

    pub fn status(&self, now: u64, name: &str, program: &str, started_ms: u64) -> Status {
        Status {
            protocol: PROTOCOL_VERSION,
            fleet: self.record.fleet.clone(),
            name: name.into(),
            program: program.into(),
            epoch: self.record.active.epoch,
            hash: self.record.active.hash.clone(),
            unconfirmed: self.record.unconfirmed,
            remaining_ms: self.until.map_or(0, |until| until.saturating_sub(now)),
            staged: self.staged.as_ref().map(|staged| staged.epoch),
            previous: self.record.previous.as_ref().map(|previous| previous.epoch),
            fence: self.record.fence,
            started_ms,
            apply_error: None,
            restarted_for: None,
        }
    }
}

/// Whether the word means this one: the same number for the same content.
fn is(version: &Version, word: &EpochRequest) -> bool {
    (version.epoch, &version.hash) == (word.epoch, &word.hash)
}

fn within(word: &EpochRequest) -> Result<(), Refusal> {
    let well = (1..=MAX_CONFIRM_TIMEOUT_MS).contains(&word.confirm_timeout_ms);
    if well { Ok(()) } else { Err(Refusal::InvalidTimeout(word.confirm_timeout_ms)) }
}

#[cfg(test)]
mod tests;
