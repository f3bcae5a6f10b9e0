//! Operators' overrides of single nodes: excluded, or included again. Each is a separate file, so that it
//! survives this process and is also applied by another process of this proxy that runs at the same time.

use crate::log_line;
use crate::process::store::{Store, escape_file_name};
use flintwell_settings::node_list::ListedNode;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;

const MAX_OVERRIDES: usize = 1_024; // far above the number of nodes that operators exclude manually
const INCLUDED_RETENTION_MS: f64 = 600_000.0; // after a node was included again; far longer than its warm-up
const FILE_PREFIX: &str = "out-";

/// The last override of a node: when it was excluded, and when it was included again, if it was.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
struct Override {
    #[serde(rename = "who")]
    node: String,
    #[serde(rename = "out_ms")]
    excluded_ms: f64,
    #[serde(rename = "back_ms")]
    included_ms: Option<f64>,
}

impl Override {
    fn is_excluded(&self) -> bool {
        self.included_ms.is_none()
    }
}

/// Why an override was rejected.
#[derive(Debug, PartialEq, Eq)]
pub enum OverrideError {
    /// No node has this id.
    UnknownNode,
    /// The override could not be stored, and nothing has changed.
    NotPersisted,
}

/// All overrides, by node id.
pub struct Overrides {
    store: Store,
    nodes: RefCell<BTreeMap<String, Override>>,
}

impl Overrides {
    /// Loads the stored overrides.
    pub fn open(store: Store) -> Self {
        let nodes = RefCell::new(load(&store));
        Overrides { store, nodes }
    }

    /// Whether the node is excluded now.
    pub fn is_excluded(&self, node: &str) -> bool {
        self.nodes.borrow().get(node).is_some_and(Override::is_excluded)
    }

    /// Whether there is an override of the node.
    pub fn contains(&self, node: &str) -> bool {
        self.nodes.borrow().contains_key(node)
    }

    /// Applies the override of a node to its list entry.
    pub fn apply(&self, listed: &mut ListedNode) {
        match self.nodes.borrow().get(&listed.id) {
            // Danger: a node under maintenance that is listed as ready would receive requests.
            Some(Override { included_ms: None, .. }) if listed.state == "ready" => {
                listed.state = "draining".into()
            }
            // Danger: the node was restarted during maintenance and is cold; with the start time of a list
            // that does not show that yet, it would be treated as warm.
            Some(Override { included_ms: Some(included_ms), excluded_ms, .. })
                if listed.started_ms < *excluded_ms =>
            {
                listed.started_ms = *included_ms;
            }
            _ => {}
        }
    }

    /// Excludes a node.
    pub fn exclude(&self, node: &str, now_ms: f64) -> Result<(), OverrideError> {
        self.persist(Override { node: node.into(), excluded_ms: now_ms, included_ms: None })
    }

    /// Includes an excluded node again.
    pub fn include(&self, node: &str, now_ms: f64) -> Result<(), OverrideError> {
        let found = self.nodes.borrow().get(node).cloned().ok_or(OverrideError::UnknownNode)?;
        self.persist(Override { included_ms: Some(now_ms), ..found })
    }

    /// Stores an override before it takes effect, so that an acknowledged one is not lost with this process.
    fn persist(&self, new: Override) -> Result<(), OverrideError> {
        let node = new.node.clone();
        if self.nodes.borrow().len() >= MAX_OVERRIDES && !self.contains(&node) {
            return Err(OverrideError::NotPersisted);
        }
        let text = serde_json::to_vec(&new).map_err(|_| OverrideError::NotPersisted)?;
        if let Err(error) = self.store.write(&file_name(&node), &text) {
            log_line!("cannot store the override of node {node}: {error}");
            return Err(OverrideError::NotPersisted);
        }
        log_line!(
            "node {node} {} by an operator",
            if new.is_excluded() { "excluded" } else { "included again" }
        );
        self.nodes.borrow_mut().insert(node, new);
        Ok(())
    }

    /// Reloads the stored overrides, which another process may have changed, and removes expired ones;
    /// returns the nodes whose override has changed.
    pub fn reload(&self, now_ms: f64) -> Vec<String> {
        let is_expired =
            |entry: &Override| entry.included_ms.is_some_and(|at| now_ms - at > INCLUDED_RETENTION_MS);
        let mut found = load(&self.store);
        let expired = found.extract_if(.., |_, entry| is_expired(entry));
        expired.for_each(|(node, _)| self.store.remove(&file_name(&node)));
        let mut nodes = self.nodes.borrow_mut();
        let mut changed: Vec<String> = found.keys().chain(nodes.keys()).cloned().collect();
        changed.retain(|node| found.get(node) != nodes.get(node));
        *nodes = found;
        changed
    }
}

/// The name of the file that holds the override of a node.
fn file_name(node: &str) -> String {
    format!("{FILE_PREFIX}{}", escape_file_name(node))
}

/// Reads all override files and removes invalid ones.
fn load(store: &Store) -> BTreeMap<String, Override> {
    let mut nodes = BTreeMap::new();
    for file in store.list_files(FILE_PREFIX) {
        let read = store.read(&file).map(|text| serde_json::from_slice::<Override>(&text));
        match read {
            Some(Ok(entry)) if file == file_name(&entry.node) => {
                nodes.insert(entry.node.clone(), entry);
            }
            Some(_) => {
                log_line!("removing invalid override file {file}");
                store.remove(&file);
            }
            None => {}
        }
    }
    nodes
}
