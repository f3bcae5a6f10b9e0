//! The node list as received from discovery.

use crate::NetworkSettings;
use flintwell_core::interface::{Micros, NodeEntry, NodeId, NodeState};
use serde::{Deserialize, Serialize};

/// One node of the list, as on the wire.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedNode {
    pub id: String,
    pub addr: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub cell: u32,
    #[serde(default)]
    pub state: String,
    #[serde(default = "default_weight")]
    pub weight: f64,
    #[serde(default)]
    pub started_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// A complete node list, or only its changed entries.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NodeList {
    pub version: u64,
    /// Whether the list is complete.
    pub full: bool,
    #[serde(rename = "servers")]
    pub nodes: Vec<ListedNode>,
}

impl NodeList {
    pub fn len(&self) -> usize {
        self.nodes.len()
    }
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }
}

impl ListedNode {
    /// Converts to the policy's form, with indices in place of the names of zone and kind.
    pub fn to_node_entry(&self, network: &NetworkSettings) -> NodeEntry {
        let index = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).map_or(u32::MAX, |index| index as u32)
        };
        NodeEntry {
            node: NodeId::from(&*self.id),
            zone: index(&network.zones, &self.zone),
            kind: index(&network.kinds, &self.kind),
            cell: self.cell,
            // An unknown state does not permit sending, so it counts as draining.
            state: match &*self.state {
                "ready" => NodeState::Ready,
                "gone" => NodeState::Gone,
                _ => NodeState::Draining,
            },
            weight: self.weight,
            started_at: (self.started_ms * 1e3) as Micros,
        }
    }
}
