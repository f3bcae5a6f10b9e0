//! The list of nodes as discovery tells it.

use crate::NetworkSettings;
use flintwell_core::interface::{Micros, NodeEntry, NodeId, NodeState};
use serde::{Deserialize, Serialize};

/// One entry as it stands on the wire.
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
    #[serde(default = "one")]
    pub weight: f64,
    #[serde(default)]
    pub started_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// A list, or the changes of one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NodeList {
    pub version: u64,
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
    pub fn to_node_entry(&self, network: &NetworkSettings) -> NodeEntry {
        let place = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).map_or(u32::MAX, |place| place as u32)
        };
        NodeEntry {
            node: NodeId::from(&*self.id),
            zone: place(&network.zones, &self.zone),
            kind: place(&network.kinds, &self.kind),
            cell: self.cell,
            // A standing that is not known is no leave to send.
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
