//! Coordinates probes of cache nodes that do not answer: a few members of the fleet continue to probe such a
//! node and report to the others, so that the number of probes does not grow with the fleet.
//!
//! Reports from peers are hints, not facts. Members report only their own observations, a node counts as
//! silent for the fleet only after several members found it silent independently, and a member acts on hints
//! only about nodes that are silent to itself. So a faulty or partitioned member diverts no traffic from
//! a healthy node, and a report that a node has recovered brings one request from each member rather than its
//! full traffic.

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// First byte of a message, which distinguishes it from those of other subsystems.
pub const MESSAGE_TAG: u8 = 0x50;
/// Peers that receive a message each round; a member gets as many on average, whatever the size of the fleet.
const GOSSIP_FANOUT: usize = 2;
const MAX_NODES_PER_MESSAGE: usize = 12; // fits into a datagram; more nodes take turns
const MAX_NODES: usize = 1_024; // of which reports are kept
const WITNESS_QUORUM: usize = 3; // peers that found a node silent themselves; one or two may be partitioned
const WITNESS_TTL_MS: u64 = 3_000; // several rounds of each member
const PROBERS: usize = 3; // members that go on probing; one or two may be down or partitioned
const SKIP_MS: u64 = 1_500; // per hint; after several rounds without reports all members probe again
const RECOVERY_REPORT_MS: u64 = 3_000; // how long a recovery is reported
const MIN_PROBE_INTERVAL_MS: u64 = 1_000; // between probes caused by recovery reports, however many arrive

/// Hash of a node's name.
pub type NodeHash = u64;

/// One member's report to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProbeMessage {
    /// Nodes that are silent to the sender by its own probes.
    silent: Vec<NodeHash>,
    /// Nodes that were silent and have answered the sender recently.
    #[serde(rename = "back")]
    recovered: Vec<NodeHash>,
}

impl ProbeMessage {
    /// Serializes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Serialization into a vector cannot fail.
        let mut bytes = vec![MESSAGE_TAG];
        bytes.extend(postcard::to_stdvec(self).unwrap_or_default());
        bytes
    }

    /// Parses a message; returns `None` if it is malformed or belongs to another subsystem.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (&tag, rest) = bytes.split_first()?;
        let message: ProbeMessage =
            (tag == MESSAGE_TAG).then(|| postcard::from_bytes(rest).ok()).flatten()?;
        (message.silent.len() <= MAX_NODES_PER_MESSAGE && message.recovered.len() <= MAX_NODES_PER_MESSAGE)
            .then_some(message)
    }
}

/// First 64 bits of the SHA-256 hash of the concatenated parts.
fn hash_parts(text: &[&[u8]]) -> NodeHash {
    let hash = text.iter().fold(Sha256::new(), |hash, part| hash.chain_update(part)).finalize();
    hash.iter().take(8).fold(0, |sum, &byte| sum << 8 | u64::from(byte))
}

/// Whether this member is among those that probe a node. Members are ranked by rendezvous hashing, so all
/// that know the same members agree.
fn is_prober(number: u32, hash: NodeHash, peers: &[u32]) -> bool {
    let rank = |number: u32| hash_parts(&[&hash.to_be_bytes(), &number.to_be_bytes()]);
    let own_rank = rank(number);
    peers.iter().filter(|&&peer| rank(peer) > own_rank).count() < PROBERS
}

/// What is known about one node.
#[derive(Default)]
struct Node {
    /// Whether it is silent to this member.
    silent: bool,
    /// When each peer last reported it silent.
    witnesses: BTreeMap<u32, u64>,
    /// Until when this member reports that the node has recovered.
    report_recovery_until: u64,
    /// A peer reported a recovery that was not acted on yet.
    reported_recovered: bool,
    probed_at: u64,
}

/// Advice on a node that is silent to this member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeHint {
    /// Do not probe it for this many ms; other members do.
    SkipFor(u64),
    /// Probe it with the next request; it has answered another member.
    ProbeNow,
}

/// Result of a round: hints by index into the silent nodes, and messages with their recipients.
pub type RoundOutput = (Vec<(usize, ProbeHint)>, Vec<(u32, ProbeMessage)>);

/// A node that is silent to this member, as the status endpoint shows it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ProbeStatus {
    /// Name of the node.
    pub node: String,
    /// Peers that recently found it silent.
    pub witnesses: usize,
    /// Whether this member is among those that probe it.
    #[serde(rename = "prober")]
    pub is_prober: bool,
}

/// Coordinates the probes of one member with its peers.
pub struct ProbeCoordinator {
    number: u32,
    rng: ChaCha8Rng,
    nodes: BTreeMap<NodeHash, Node>,
    /// Where the next message starts among the nodes to report.
    rotation: usize,
}

impl ProbeCoordinator {
    /// Creates the state of the member `number`; `seed` is that of the random number generator.
    pub fn new(number: u32, seed: u64) -> Self {
        ProbeCoordinator { number, rng: ChaCha8Rng::seed_from_u64(seed), nodes: BTreeMap::new(), rotation: 0 }
    }

    /// Runs one gossip round at `now` (in ms), given the nodes that are silent to this member and the peers
    /// that are alive.
    pub fn run_round(&mut self, now: u64, silent: &[&str], peers: &[u32]) -> RoundOutput {
        let hashes: Vec<NodeHash> = silent.iter().map(|name| hash_parts(&[name.as_bytes()])).collect();
        for (hash, node) in &mut self.nodes {
            // The node answered this member again, which is reported to peers.
            if std::mem::replace(&mut node.silent, hashes.contains(hash)) && !node.silent {
                node.report_recovery_until = now + RECOVERY_REPORT_MS;
            }
            node.witnesses.retain(|number, at| now < *at + WITNESS_TTL_MS && peers.contains(number));
        }
        let mut hints = Vec::new();
        for (n, &hash) in hashes.iter().enumerate() {
            let node = self.nodes.entry(hash).or_default();
            (node.silent, node.report_recovery_until) = (true, 0);
            if std::mem::take(&mut node.reported_recovered) && now >= node.probed_at + MIN_PROBE_INTERVAL_MS {
                node.probed_at = now;
                hints.push((n, ProbeHint::ProbeNow));
            } else if node.witnesses.len() >= WITNESS_QUORUM
                && now >= node.probed_at + MIN_PROBE_INTERVAL_MS
                && !is_prober(self.number, hash, peers)
            {
                hints.push((n, ProbeHint::SkipFor(SKIP_MS)));
            }
        }
        self.nodes
            .retain(|_, node| node.silent || now < node.report_recovery_until || !node.witnesses.is_empty());
        let message = self.next_message(now);
        let to = peers.choose_multiple(&mut self.rng, GOSSIP_FANOUT).copied();
        let messages = if message.silent.is_empty() && message.recovered.is_empty() {
            Vec::new()
        } else {
            to.map(|peer| (peer, message.clone())).collect()
        };
        (hints, messages)
    }

    /// The message to send in this round.
    fn next_message(&mut self, now: u64) -> ProbeMessage {
        // Up to the maximum, starting at the rotation so that every node is reported in some round.
        let select = |filter: &dyn Fn(&Node) -> bool, rotation: usize| -> Vec<NodeHash> {
            let hashes: Vec<NodeHash> =
                self.nodes.iter().filter(|entry| filter(entry.1)).map(|entry| *entry.0).collect();
            let count = hashes.len();
            hashes
                .into_iter()
                .cycle()
                .skip(rotation % count.max(1))
                .take(count.min(MAX_NODES_PER_MESSAGE))
                .collect()
        };
        let message = ProbeMessage {
            silent: select(&|node| node.silent, self.rotation),
            recovered: select(&|node| now < node.report_recovery_until, self.rotation),
        };
        self.rotation = self.rotation.wrapping_add(MAX_NODES_PER_MESSAGE);
        message
    }

    /// Processes a message of a peer.
    pub fn handle_message(&mut self, now: u64, from: u32, message: &ProbeMessage) {
        for hash in &message.silent {
            // Bounds the memory that reports on unknown nodes can take.
            if self.nodes.len() < MAX_NODES || self.nodes.contains_key(hash) {
                self.nodes.entry(*hash).or_default().witnesses.insert(from, now);
            }
        }
        for hash in &message.recovered {
            if let Some(node) = self.nodes.get_mut(hash) {
                node.witnesses.remove(&from);
                node.reported_recovered |= node.silent;
            }
        }
    }

    /// Status of each node that is silent to this member.
    pub fn statuses(&self, silent: &[&str], peers: &[u32]) -> Vec<ProbeStatus> {
        let status = |name: &&str| {
            let hash = hash_parts(&[name.as_bytes()]);
            let witnesses = self.nodes.get(&hash).map_or(0, |node| node.witnesses.len());
            ProbeStatus {
                node: (*name).to_owned(),
                witnesses,
                is_prober: is_prober(self.number, hash, peers),
            }
        };
        silent.iter().map(status).collect()
    }
}

#[cfg(test)]
mod tests;
