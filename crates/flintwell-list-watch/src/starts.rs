//! When each node started, by this process's clock.
//!
//! A list gives start times by a wall clock, which may be set. A start that is listed for the first time lies
//! between the last list without it and now; a listed time outside of this range is replaced by the latest
//! possible one. Danger: with a wall clock that is off, a node that has just restarted would pass for one
//! that has been warm for an hour, and get more load than a cold cache can take.

use crate::Micros;
use std::collections::HashMap;

/// Maximum delay between a node's start and its listing, and maximum clock difference.
const MAX_LISTING_DELAY_US: Micros = 60_000_000;
/// Maximum number of nodes remembered; far more than a fleet has.
const MAX_NODES: usize = 16_384;

/// Start of one node.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// As listed.
    listed_at: Micros,
    /// By this process's clock.
    started_at: Micros,
}

/// Start times of the nodes listed so far.
#[derive(Debug, Default)]
pub struct NodeStarts {
    nodes: HashMap<String, Start>,
}

impl NodeStarts {
    /// Records that a list received at `now` gives `listed_at` as the start of a node, with 0 for long ago.
    /// `since` is when the list before it was confirmed, if it was. Returns the start by this process's
    /// clock.
    pub fn record(&mut self, node: &str, listed_at: Micros, since: Option<Micros>, now: Micros) -> Micros {
        if let Some(known) = self.nodes.get(node).filter(|known| known.listed_at == listed_at) {
            return known.started_at;
        }
        let earliest = since.map_or(Micros::MIN, |since| since - MAX_LISTING_DELAY_US);
        let fits = listed_at <= 0 || (earliest..=now).contains(&listed_at);
        let started_at = if fits { listed_at } else { now };
        if self.nodes.len() < MAX_NODES || self.nodes.contains_key(node) {
            self.nodes.insert(node.to_owned(), Start { listed_at, started_at });
        }
        started_at
    }

    /// When the node started by this process's clock; `None` if it was never listed.
    pub fn started_at(&self, node: &str) -> Option<Micros> {
        self.nodes.get(node).map(|start| start.started_at)
    }

    /// Removes nodes that are no longer listed once many are recorded. Until then, a node that is listed
    /// again keeps its start.
    pub fn prune(&mut self, is_listed: impl Fn(&str) -> bool) {
        if self.nodes.len() >= MAX_NODES / 2 {
            self.nodes.retain(|node, _| is_listed(node));
        }
    }
}
