//! Files of a rollout: the journal, the evidence and each member's new settings in an embedded database, the current
//! state as JSON for other processes to read, and operators' orders as JSON that the rollout reads.

use flintwell_rollout::controller::{Evidence, Journal};
use redb::{Database, Durability, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt::Display;
use std::fs;
use std::path::{Path, PathBuf};

/// All states of the journal in order, by sequence number.
const JOURNAL: TableDefinition<u64, &[u8]> = TableDefinition::new("journal");
/// New settings by member name.
const SETTINGS: TableDefinition<&str, &[u8]> = TableDefinition::new("settings");
/// Evidence of the stage in progress.
const EVIDENCE: TableDefinition<(), &[u8]> = TableDefinition::new("evidence");

const DATABASE_FILE: &str = "journal.redb";
const STATUS_FILE: &str = "status.json";
const ORDERS_FILE: &str = "orders.json";

/// An operator's order to a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    Pause,
    Resume,
    Abort,
}

/// Last known state of one member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReport {
    pub name: String,
    pub zone: String,
    /// Whether the member has ever answered.
    #[serde(rename = "heard")]
    pub has_answered: bool,
    pub epoch: Option<u64>,
    pub unconfirmed: bool,
    pub program: String,
    pub refused: Option<String>,
}

/// State of a rollout, as `flintwell rollout status` shows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    pub journal: Journal,
    /// Number of changed members after each stage.
    pub stages: Vec<usize>,
    /// Why the rollout is on hold.
    pub hold: Option<String>,
    pub verdict: String,
    pub members: Vec<MemberReport>,
}

/// Persistent state of a rollout. Only one process can open it at a time, since the database locks its file.
pub struct RolloutStore {
    folder: PathBuf,
    database: Database,
    next_index: u64,
    pub last_state: Option<Journal>,
}

fn with_path(file: &Path) -> impl FnOnce(&dyn Display) -> String + '_ {
    move |error| format!("{}: {error}", file.display())
}

impl RolloutStore {
    /// Opens the store in `folder`, which is created if it does not exist.
    pub fn open(folder: &Path) -> Result<Self, String> {
        fs::create_dir_all(folder).map_err(|e| with_path(folder)(&e))?;
        let file = folder.join(DATABASE_FILE);
        let database = Database::create(&file).map_err(|error| match error {
            redb::DatabaseError::DatabaseAlreadyOpen => {
                format!("{}: another process is running this rollout", file.display())
            }
            error => with_path(&file)(&error),
        })?;
        let mut store = RolloutStore { folder: folder.into(), database, next_index: 0, last_state: None };
        store.load_last_state().map_err(|error| with_path(&file)(&error))?;
        Ok(store)
    }

    fn load_last_state(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        let write = self.database.begin_write()?;
        write.open_table(JOURNAL)?;
        write.open_table(SETTINGS)?;
        write.open_table(EVIDENCE)?;
        write.commit()?;
        let read = self.database.begin_read()?;
        if let Some((index, state)) = read.open_table(JOURNAL)?.last()? {
            self.next_index = index.value() + 1;
            self.last_state = Some(serde_json::from_slice(state.value())?);
        }
        Ok(())
    }

    /// Appends a state to the journal; it is durable when this returns.
    pub fn append(&mut self, journal: &Journal) -> Result<(), String> {
        self.commit(journal, &[]).map_err(|error| with_path(&self.folder)(&error))
    }

    /// Saves the evidence of the stage in progress. Without it, a resumed rollout only has to start that stage's
    /// evaluation over.
    pub fn save_evidence(&self, evidence: &Evidence) -> Result<(), String> {
        let put = || -> Result<(), Box<dyn std::error::Error>> {
            let write = self.database.begin_write()?;
            write.open_table(EVIDENCE)?.insert((), &*serde_json::to_vec(evidence)?)?;
            Ok(write.commit()?)
        };
        put().map_err(|error| with_path(&self.folder)(&error))
    }

    /// The saved evidence; `None` if there is none or a version with another format saved it.
    pub fn load_evidence(&self) -> Option<Evidence> {
        let read = self.database.begin_read().ok()?;
        let stored = read.open_table(EVIDENCE).ok()?.get(()).ok()??;
        serde_json::from_slice(stored.value()).ok()
    }

    /// Stores the first state of a rollout and the new settings of each member.
    pub fn begin(&mut self, journal: &Journal, settings: &[(String, Value)]) -> Result<(), String> {
        self.commit(journal, settings).map_err(|error| with_path(&self.folder)(&error))
    }

    fn commit(
        &mut self,
        journal: &Journal,
        settings: &[(String, Value)],
    ) -> Result<(), Box<dyn std::error::Error>> {
        let mut write = self.database.begin_write()?;
        write.set_durability(Durability::Immediate);
        {
            write.open_table(JOURNAL)?.insert(self.next_index, &*serde_json::to_vec(journal)?)?;
            let mut table = write.open_table(SETTINGS)?;
            for (name, value) in settings {
                table.insert(&**name, &*serde_json::to_vec(value)?)?;
            }
        }
        write.commit()?;
        self.next_index += 1;
        self.last_state = Some(journal.clone());
        Ok(())
    }

    /// The new settings of a member.
    pub fn member_settings(&self, name: &str) -> Result<Value, String> {
        let read = || -> Result<Option<Value>, Box<dyn std::error::Error>> {
            let read = self.database.begin_read()?;
            let found = read.open_table(SETTINGS)?.get(name)?;
            Ok(found.map(|value| serde_json::from_slice(value.value())).transpose()?)
        };
        let found = read().map_err(|error| with_path(&self.folder)(&error))?;
        found.ok_or_else(|| format!("{}: no stored settings for member {name}", self.folder.display()))
    }

    /// Writes the status file. A failure is ignored, because the rollout does not depend on that file.
    pub fn write_report(&self, report: &Report) {
        let temporary = self.folder.join("new-status");
        let text = serde_json::to_string_pretty(report).unwrap_or_default();
        if fs::write(&temporary, text).is_ok() {
            let _ = fs::rename(&temporary, self.folder.join(STATUS_FILE));
        }
    }

    /// Removes and returns the order left since the last call.
    pub fn take_order(&self) -> Option<Order> {
        let file = self.folder.join(ORDERS_FILE);
        let order = serde_json::from_slice(&fs::read(&file).ok()?).ok();
        let _ = fs::remove_file(&file);
        order
    }
}

/// Leaves an order for the process that runs the rollout, or for the one that resumes it.
pub fn submit_order(folder: &Path, order: Order) -> Result<u8, Vec<String>> {
    if !folder.join(DATABASE_FILE).is_file() {
        return Err(vec![format!("{}: this plan has not been rolled out", folder.display())]);
    }
    let temporary = folder.join("new-orders");
    let text = serde_json::to_string(&order).map_err(|error| vec![error.to_string()])?;
    let written = fs::write(&temporary, text).and_then(|()| fs::rename(&temporary, folder.join(ORDERS_FILE)));
    written.map_err(|error| vec![with_path(folder)(&error)])?;
    println!("order recorded; `flintwell rollout status` shows when it takes effect");
    Ok(0)
}

/// Prints the state of a rollout.
pub fn print_status(folder: &Path, json: bool) -> Result<u8, Vec<String>> {
    let file = folder.join(STATUS_FILE);
    let text = fs::read_to_string(&file).map_err(|error| vec![with_path(&file)(&error)])?;
    let report: Report = serde_json::from_str(&text).map_err(|error| vec![with_path(&file)(&error)])?;
    if json {
        println!("{text}");
    } else {
        print!("{report}");
    }
    Ok(0)
}

impl Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Journal { epoch, phase, stages_begun: stages, reason: why, .. } = &self.journal;
        writeln!(f, "epoch {epoch}: {phase:?}, stage {stages} of {}", self.stages.len())?;
        if !why.is_empty() {
            writeln!(f, "reason: {why}")?;
        }
        if let Some(hold) = &self.hold {
            writeln!(f, "on hold: {hold}")?;
        }
        writeln!(f, "{}", self.verdict)?;
        for member in &self.members {
            let epoch = member.epoch.map_or("-".into(), |epoch| epoch.to_string());
            let state = match (member.has_answered, member.unconfirmed) {
                (false, _) => "no response yet",
                (true, true) => "unconfirmed",
                (true, false) => "",
            };
            let refused = member.refused.as_deref().unwrap_or("");
            writeln!(f, "  {:12} zone {:6} epoch {epoch:>4} {state} {refused}", member.name, member.zone)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
