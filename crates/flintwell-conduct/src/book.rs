//! What a rollout keeps on disk: its journal and each member's new settings in an embedded store, where it stands as a
//! file that others may read, and the staff's orders as a file that it reads.

use flintwell_rollout::controller::{Evidence, Journal};
use redb::{Database, Durability, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt::Display;
use std::fs;
use std::path::{Path, PathBuf};

const JOURNAL: TableDefinition<u64, &[u8]> = TableDefinition::new("journal"); // all states, in their order
const SETTINGS: TableDefinition<&str, &[u8]> = TableDefinition::new("settings"); // by member
const EVIDENCE: TableDefinition<(), &[u8]> = TableDefinition::new("evidence"); // the stage's under way
const STORE: &str = "journal.redb"; // file names
const STATUS: &str = "status.json";
const ORDERS: &str = "orders.json";

/// What the staff wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    Pause,
    Resume,
    Abort,
}

/// One member as it was heard last.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Standing {
    pub name: String,
    pub zone: String,
    pub heard: bool,
    pub epoch: Option<u64>,
    pub unconfirmed: bool,
    pub program: String,
    pub refused: Option<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    pub journal: Journal,
    pub stages: Vec<usize>,
    pub hold: Option<String>,
    pub verdict: String,
    pub members: Vec<Standing>,
}

/// Open for one process at a time: the store holds a lock on its file.
pub struct Book {
    folder: PathBuf,
    store: Database,
    next: u64,
    pub last: Option<Journal>,
}

fn told(file: &Path) -> impl FnOnce(&dyn Display) -> String + '_ {
    move |error| format!("{}: {error}", file.display())
}

impl Book {
    pub fn open(folder: &Path) -> Result<Self, String> {
        fs::create_dir_all(folder).map_err(|e| told(folder)(&e))?;
        let file = folder.join(STORE);
        let store = Database::create(&file).map_err(|error| match error {
            redb::DatabaseError::DatabaseAlreadyOpen => {
                format!("{}: another process rolls this plan out", file.display())
            }
            error => told(&file)(&error),
        })?;
        let mut book = Book { folder: folder.into(), store, next: 0, last: None };
        book.read().map_err(|error| told(&file)(&error))?;
        Ok(book)
    }

    fn read(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        let write = self.store.begin_write()?;
        write.open_table(JOURNAL)?;
        write.open_table(SETTINGS)?;
        write.open_table(EVIDENCE)?;
        write.commit()?;
        let read = self.store.begin_read()?;
        if let Some((number, state)) = read.open_table(JOURNAL)?.last()? {
            self.next = number.value() + 1;
            self.last = Some(serde_json::from_slice(state.value())?);
        }
        Ok(())
    }

    /// On disk when this returns.
    pub fn write(&mut self, journal: &Journal) -> Result<(), String> {
        self.put(journal, &[]).map_err(|error| told(&self.folder)(&error))
    }

    /// What the stage is judged by so far; one that can't be written costs a later stage's begin anew, and no more.
    pub fn keeps(&self, evidence: &Evidence) -> Result<(), String> {
        let put = || -> Result<(), Box<dyn std::error::Error>> {
            let write = self.store.begin_write()?;
            write.open_table(EVIDENCE)?.insert((), &*serde_json::to_vec(evidence)?)?;
            Ok(write.commit()?)
        };
        put().map_err(|error| told(&self.folder)(&error))
    }

    /// None where nothing was kept, or by a version that kept something else.
    pub fn evidence(&self) -> Option<Evidence> {
        let read = self.store.begin_read().ok()?;
        let kept = read.open_table(EVIDENCE).ok()?.get(()).ok()??;
        serde_json::from_slice(kept.value()).ok()
    }

    /// The first state of a rollout, with what each member is to get.
    pub fn begin(&mut self, journal: &Journal, settings: &[(String, Value)]) -> Result<(), String> {
        self.put(journal, settings).map_err(|error| told(&self.folder)(&error))
    }

    fn put(
        &mut self,
        journal: &Journal,
        settings: &[(String, Value)],
    ) -> Result<(), Box<dyn std::error::Error>> {
        let mut write = self.store.begin_write()?;
        write.set_durability(Durability::Immediate);
        {
            write.open_table(JOURNAL)?.insert(self.next, &*serde_json::to_vec(journal)?)?;
            let mut table = write.open_table(SETTINGS)?;
            for (name, value) in settings {
                table.insert(&**name, &*serde_json::to_vec(value)?)?;
            }
        }
        write.commit()?;
        self.next += 1;
        self.last = Some(journal.clone());
        Ok(())
    }

    /// What this member is to get.
    pub fn settings(&self, name: &str) -> Result<Value, String> {
        let read = || -> Result<Option<Value>, Box<dyn std::error::Error>> {
            let read = self.store.begin_read()?;
            let found = read.open_table(SETTINGS)?.get(name)?;
            Ok(found.map(|value| serde_json::from_slice(value.value())).transpose()?)
        };
        let found = read().map_err(|error| told(&self.folder)(&error))?;
        found.ok_or_else(|| format!("{}: nothing is known of {name}", self.folder.display()))
    }

    /// For others to read; one that can't be written stops nothing.
    pub fn shows(&self, report: &Report) {
        let unfinished = self.folder.join("new-status");
        let text = serde_json::to_string_pretty(report).unwrap_or_default();
        if fs::write(&unfinished, text).is_ok() {
            let _ = fs::rename(&unfinished, self.folder.join(STATUS));
        }
    }

    /// What the staff ordered since the last look.
    pub fn ordered(&self) -> Option<Order> {
        let file = self.folder.join(ORDERS);
        let order = serde_json::from_slice(&fs::read(&file).ok()?).ok();
        let _ = fs::remove_file(&file);
        order
    }
}

/// Leaves an order to whoever rolls out, now or when it goes on.
pub fn order(folder: &Path, order: Order) -> Result<u8, Vec<String>> {
    if !folder.join(STORE).is_file() {
        return Err(vec![format!("{}: nothing was rolled out by this plan", folder.display())]);
    }
    let unfinished = folder.join("new-orders");
    let text = serde_json::to_string(&order).map_err(|error| vec![error.to_string()])?;
    let written = fs::write(&unfinished, text).and_then(|()| fs::rename(&unfinished, folder.join(ORDERS)));
    written.map_err(|error| vec![told(folder)(&error)])?;
    println!("said; `flintwell rollout status` shows when it is taken");
    Ok(0)
}

pub fn status(folder: &Path, json: bool) -> Result<u8, Vec<String>> {
    let file = folder.join(STATUS);
    let text = fs::read_to_string(&file).map_err(|error| vec![told(&file)(&error)])?;
    let report: Report = serde_json::from_str(&text).map_err(|error| vec![told(&file)(&error)])?;
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
            writeln!(f, "why: {why}")?;
        }
        if let Some(hold) = &self.hold {
            writeln!(f, "held: {hold}")?;
        }
        writeln!(f, "{}", self.verdict)?;
        for member in &self.members {
            let epoch = member.epoch.map_or("-".into(), |epoch| epoch.to_string());
            let state = match (member.heard, member.unconfirmed) {
                (false, _) => "not heard",
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
