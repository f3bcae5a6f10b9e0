//! What one proxy decides about a change of its settings: which it takes, when it goes back by itself.
//!
//! A change comes in four words: stage, apply, renew while it is watched, confirm. Applied and not confirmed it goes
//! back once its time is up, whoever asked for it being gone, and at a start, since it may be why the process ended. So
//! going back needs no write: what lies on disk says unconfirmed already.

use crate::wire::{Named, PROTOCOL, Stage, Status, hash};
use serde::{Deserialize, Serialize};
use serde_json::Value;

pub const WITHIN_MOST: u64 = 600_000; // ms; the longest time that a change may stand unconfirmed
const PROTOCOLS: std::ops::RangeInclusive<u32> = PROTOCOL.saturating_sub(1)..=PROTOCOL + 1; // before and after

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
    pub base: String,
    pub in_force: Version,
    pub former: Option<Version>,
    pub unconfirmed: bool,
    pub fence: u64,
}

/// Why a word was not taken; nothing has changed then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    Protocol(u32),
    Foreign(String),
    Fenced {
        epoch: u64,
        fence: u64,
    },
    /// Another change is in force that is not confirmed yet.
    UnderWay(u64),
    WrongHash,
    /// The settings themselves, or what can't change while we run.
    Settings(String),
    NotStaged(u64),
    NotInForce(u64),
    NoFormer,
    /// Over the longest time unconfirmed, or none.
    Within(u64),
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Refusal::Protocol(theirs) => write!(f, "protocol {theirs}, this is {PROTOCOL}"),
            Refusal::Foreign(fleet) => write!(f, "fleet {fleet:?} is not ours"),
            Refusal::Fenced { epoch, fence } => write!(f, "epoch {epoch} is older than {fence}"),
            Refusal::UnderWay(epoch) => write!(f, "epoch {epoch} is in force and not confirmed"),
            Refusal::WrongHash => write!(f, "the hash is not that of the settings"),
            Refusal::Settings(why) => write!(f, "{why}"),
            Refusal::NotStaged(epoch) => write!(f, "epoch {epoch} is not staged"),
            Refusal::NotInForce(epoch) => write!(f, "epoch {epoch} is not in force"),
            Refusal::NoFormer => write!(f, "there is nothing to go back to"),
            Refusal::Within(ms) => write!(f, "within_ms is {ms}; 1 to {WITHIN_MOST} is needed"),
        }
    }
}

/// A step that holds once its record lies on disk.
#[derive(Clone, Debug)]
pub struct Step {
    pub record: Record,
    until: Option<u64>,
    within: u64,
    staged: Option<Version>,
}

impl Step {
    /// Its time counts from then, where putting it in force took a while.
    pub fn from(self, now: u64) -> Self {
        Step { until: self.until.map(|_| now + self.within), ..self }
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
    pub fn start(fleet: &str, left: Option<Record>, configured: &Value) -> Self {
        let base = hash(configured);
        let left = left.filter(|record| record.fleet == fleet);
        let fence = left.as_ref().map_or(0, |record| record.fence);
        // A file changed by hand since then goes before the record; the fence stays.
        let record = match left.filter(|record| record.base == base) {
            Some(Record { former: Some(former), unconfirmed: true, .. }) => {
                // Danger: what ended the process in the middle of a change would end it again at each start.
                Record {
                    fleet: fleet.into(),
                    base,
                    in_force: former,
                    former: None,
                    unconfirmed: false,
                    fence,
                }
            }
            Some(record) => record,
            None => {
                let in_force = Version { epoch: 0, hash: base.clone(), settings: configured.clone() };
                Record { fleet: fleet.into(), base, in_force, former: None, unconfirmed: false, fence }
            }
        };
        Member { record, staged: None, until: None }
    }

    pub fn in_force(&self) -> &Version {
        &self.record.in_force
    }

    pub fn record(&self) -> &Record {
        &self.record
    }

    fn ours(&self, protocol: u32, fleet: &str, epoch: u64) -> Result<(), Refusal> {
        if !PROTOCOLS.contains(&protocol) {
            return Err(Refusal::Protocol(protocol));
        }
        if fleet != self.record.fleet {
            return Err(Refusal::Foreign(fleet.into()));
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
        word: &Stage,
        check: impl FnOnce(&Value, &Value) -> Result<(), String>,
    ) -> Result<Step, Refusal> {
        self.ours(word.protocol, &word.fleet, word.epoch)?;
        if self.record.unconfirmed && self.record.in_force.epoch != word.epoch {
            return Err(Refusal::UnderWay(self.record.in_force.epoch));
        }
        if hash(&word.settings) != word.hash {
            return Err(Refusal::WrongHash);
        }
        // One epoch stands for one content, whoever asks.
        let version = Version { epoch: word.epoch, hash: word.hash.clone(), settings: word.settings.clone() };
        let known = [Some(&self.record.in_force), self.staged.as_ref()];
        if known.into_iter().flatten().any(|known| known.epoch == word.epoch && known.hash != word.hash) {
            return Err(Refusal::Fenced { epoch: word.epoch, fence: word.epoch + 1 });
        }
        check(&self.record.in_force.settings, &word.settings).map_err(Refusal::Settings)?;
        let record = Record { fence: word.epoch, ..self.record.clone() };
        Ok(Step { record, until: self.until, within: 0, staged: Some(version) })
    }

    /// Puts what is staged in force, for so long unless it is renewed. None: it is in force already.
    pub fn apply(&self, now: u64, word: &Named) -> Result<Option<Step>, Refusal> {
        self.ours(word.protocol, &word.fleet, word.epoch)?;
        within(word)?;
        if self.is_in_force(word) {
            return Ok(None);
        }
        if self.record.unconfirmed {
            return Err(Refusal::UnderWay(self.record.in_force.epoch));
        }
        let staged = self.staged.clone().filter(|staged| is(staged, word));
        let version = staged.ok_or(Refusal::NotStaged(word.epoch))?;
        let former = Some(self.record.in_force.clone());
        let record = Record { in_force: version, former, unconfirmed: true, ..self.record.clone() };
        let within = word.within_ms;
        Ok(Some(Step { record, until: Some(now + within), within, staged: None }))
    }

    /// What is not confirmed stays for so long from now.
    pub fn renew(&mut self, now: u64, word: &Named) -> Result<(), Refusal> {
        self.ours(word.protocol, &word.fleet, word.epoch)?;
        within(word)?;
        self.stands(word)?;
        if self.record.unconfirmed {
            self.until = Some(now + word.within_ms);
        }
        Ok(())
    }

    /// It stays for good. None: it is confirmed already.
    pub fn confirm(&self, word: &Named) -> Result<Option<Step>, Refusal> {
        self.ours(word.protocol, &word.fleet, word.epoch)?;
        self.stands(word)?;
        let step = || Step {
            record: Record { unconfirmed: false, ..self.record.clone() },
            until: None,
            within: 0,
            staged: self.staged.clone(),
        };
        Ok(self.record.unconfirmed.then(step))
    }

    /// Back to what was in force before, at once; also from one confirmed, for as long as that is known. Returns
    /// the record, whose writing may fail: at a start an unconfirmed one goes back anyway.
    pub fn revert(&mut self, word: &Named) -> Result<Record, Refusal> {
        self.ours(word.protocol, &word.fleet, word.epoch)?;
        if !self.is_in_force(word) {
            // It never came, or has gone back: then only what is staged goes.
            self.staged.take_if(|staged| is(staged, word));
            return Ok(self.record.clone());
        }
        self.goes_back().ok_or(Refusal::NoFormer)
    }

    /// An unconfirmed change whose time is up goes back by itself.
    pub fn tick(&mut self, now: u64) -> Option<Record> {
        let due = self.until.is_some_and(|until| now >= until);
        if due { self.goes_back() } else { None }
    }

    /// When that is.
    pub fn due(&self) -> Option<u64> {
        self.until
    }

    fn goes_back(&mut self) -> Option<Record> {
        let former = self.record.former.take()?;
        self.record.in_force = former;
        self.record.unconfirmed = false;
        (self.until, self.staged) = (None, None);
        Some(self.record.clone())
    }

    fn is_in_force(&self, word: &Named) -> bool {
        is(&self.record.in_force, word)
    }

    fn stands(&self, word: &Named) -> Result<(), Refusal> {
        if self.is_in_force(word) { Ok(()) } else { Err(Refusal::NotInForce(word.epoch)) }
    }

    /// The step's record lies on disk.
    pub fn take(&mut self, step: Step) {
        (self.record, self.until, self.staged) = (step.record, step.until, step.staged);
    }

    pub fn status(&self, now: u64, name: &str, program: &str, started_ms: u64) -> Status {
        Status {
            protocol: PROTOCOL,
            fleet: self.record.fleet.clone(),
            name: name.into(),
            program: program.into(),
            epoch: self.record.in_force.epoch,
            hash: self.record.in_force.hash.clone(),
            unconfirmed: self.record.unconfirmed,
            left_ms: self.until.map_or(0, |until| until.saturating_sub(now)),
            staged: self.staged.as_ref().map(|staged| staged.epoch),
            former: self.record.former.as_ref().map(|former| former.epoch),
            fence: self.record.fence,
            started_ms,
            failed: None,
            again: None,
        }
    }
}

/// Whether the word means this one: the same number for the same content.
fn is(version: &Version, word: &Named) -> bool {
    (version.epoch, &version.hash) == (word.epoch, &word.hash)
}

fn within(word: &Named) -> Result<(), Refusal> {
    let well = (1..=WITHIN_MOST).contains(&word.within_ms);
    if well { Ok(()) } else { Err(Refusal::Within(word.within_ms)) }
}

#[cfg(test)]
mod tests;
