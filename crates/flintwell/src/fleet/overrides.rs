//! What the operators said of single nodes: taken out, or put back. Each is a file of its own, so that it outlives this process
//! and is followed by another one that serves beside it.

use crate::process::store::{Store, escape_file_name};
use crate::log_line;
use flintwell_settings::listing::Line;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;

const OVERRIDES_MOST: usize = 1_024; // nodes out or lately back; far above what staff takes out by hand
const FORGOTTEN: f64 = 600_000.0; // ms; after a node was put back; far longer than any takes to warm up
const MARK: &str = "out-"; // begins the name of a node's file

/// What the operators said of a node last: when it was taken out, and when it was put back, if it was.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
struct Override {
    who: String,
    out_ms: f64,
    back_ms: Option<f64>,
}

impl Override {
    fn is_out(&self) -> bool {
        self.back_ms.is_none()
    }
}

/// Why a node was not taken out or put back.
#[derive(Debug, PartialEq, Eq)]
pub enum Refused {
    /// Nobody has this id.
    Unknown,
    /// It could not be recorded, and nothing has changed.
    NotRecorded,
}

/// All that is in force, by the node's id.
pub struct Overrides {
    store: Store,
    nodes: RefCell<BTreeMap<String, Override>>,
}

impl Overrides {
    /// As they were recorded.
    pub fn open(store: Store) -> Self {
        let nodes = RefCell::new(recorded(&store));
        Overrides { store, nodes }
    }

    /// Whether the node is out now.
    pub fn is_out(&self, who: &str) -> bool {
        self.nodes.borrow().get(who).is_some_and(Override::is_out)
    }

    /// Whether anything is recorded of the node.
    pub fn knows(&self, who: &str) -> bool {
        self.nodes.borrow().contains_key(who)
    }

    /// Lays what was said of a node over its line of the list.
    pub fn apply(&self, line: &mut Line) {
        match self.nodes.borrow().get(&line.id) {
            // Danger: a node under maintenance that a list has as ready would be sent requests.
            Some(Override { back_ms: None, .. }) if line.state == "ready" => line.state = "draining".into(),
            // Danger: it was restarted meanwhile and is cold, whether or not the list tells that yet.
            Some(Override { back_ms: Some(back), out_ms, .. }) if line.started_ms < *out_ms => {
                line.started_ms = *back;
            }
            _ => {}
        }
    }

    /// Takes a node out.
    pub fn take_out(&self, who: &str, now_ms: f64) -> Result<(), Refused> {
        self.record(Override { who: who.into(), out_ms: now_ms, back_ms: None })
    }

    /// Puts a node back that is out.
    pub fn put_back(&self, who: &str, now_ms: f64) -> Result<(), Refused> {
        let found = self.nodes.borrow().get(who).cloned().ok_or(Refused::Unknown)?;
        self.record(Override { back_ms: Some(now_ms), ..found })
    }

    /// Records it before it is in force, so that no yes is lost with this process.
    fn record(&self, said: Override) -> Result<(), Refused> {
        let who = said.who.clone();
        if self.nodes.borrow().len() >= OVERRIDES_MOST && !self.knows(&who) {
            return Err(Refused::NotRecorded);
        }
        let text = serde_json::to_vec(&said).map_err(|_| Refused::NotRecorded)?;
        if let Err(error) = self.store.write(&file_of(&who), &text) {
            log_line!("{who} not recorded: {error}");
            return Err(Refused::NotRecorded);
        }
        log_line!("{who} {} by hand", if said.is_out() { "taken out" } else { "put back" });
        self.nodes.borrow_mut().insert(who, said);
        Ok(())
    }

    /// Reads what another process has recorded meanwhile; the nodes of which something else is said now.
    pub fn read_anew(&self, now_ms: f64) -> Vec<String> {
        let old = |said: &Override| said.back_ms.is_some_and(|back| now_ms - back > FORGOTTEN);
        let mut found = recorded(&self.store);
        found.extract_if(.., |_, said| old(said)).for_each(|(who, _)| self.store.remove(&file_of(&who)));
        let mut nodes = self.nodes.borrow_mut();
        let mut both: Vec<String> = found.keys().chain(nodes.keys()).cloned().collect();
        both.retain(|who| found.get(who) != nodes.get(who));
        *nodes = found;
        both
    }
}

/// The name of a node's file.
fn file_of(who: &str) -> String {
    format!("{MARK}{}", escape_file_name(who))
}

/// What stands in the files.
fn recorded(store: &Store) -> BTreeMap<String, Override> {
    let mut nodes = BTreeMap::new();
    for file in store.list_files(MARK) {
        let read = store.read(&file).map(|text| serde_json::from_slice::<Override>(&text));
        match read {
            Some(Ok(said)) if file == file_of(&said.who) => {
                nodes.insert(said.who.clone(), said);
            }
            Some(_) => {
                log_line!("{file} is not understood, counts for nothing and is removed");
                store.remove(&file);
            }
            None => {}
        }
    }
    nodes
}
