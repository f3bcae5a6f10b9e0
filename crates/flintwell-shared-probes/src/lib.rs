//! Coordinates probes of cache nodes that do not answer: a few members of the fleet go on probing such a node and tell the
//! others, so that the number of probes does not grow with the fleet.
//!
//! Reports from peers are hints, not facts. Members report only their own observations, a node counts as silent for the
//! fleet only after several members found it silent independently, and a member acts on hints only about nodes that are
//! silent to itself. So a member that lies or is partitioned takes no traffic from a healthy node, and a report that a node
//! has recovered brings one request from each member rather than its full traffic.

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// First byte of a message, which distinguishes it from those of other subsystems.
pub const MESSAGE_TAG: u8 = 0x50;
const GOSSIP_FANOUT: usize = 2; // peers per round; each also receives as many messages on average, whatever the fleet's size
const MAX_NODES_PER_MESSAGE: usize = 12; // fits into a datagram; more nodes take turns
const WITNESS_QUORUM: usize = 3; // peers that found a node silent themselves; one or two may be partitioned
const WITNESS_TTL_MS: u64 = 3_000; // several rounds of each member
const PROBERS: usize = 3; // members that go on probing; one or two may be down or partitioned
const SKIP_MS: u64 = 1_500; // how long a hint suppresses probes; after several rounds without reports the others probe again
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
    back: Vec<NodeHash>,
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
        let message: ProbeMessage = (tag == MESSAGE_TAG).then(|| postcard::from_bytes(rest).ok()).flatten()?;
        (message.silent.len() <= MAX_NODES_PER_MESSAGE && message.back.len() <= MAX_NODES_PER_MESSAGE).then_some(message)
    }
}

/// First 64 bits of the SHA-256 hash of the concatenated parts.
fn hash_parts(text: &[&[u8]]) -> NodeHash {
    let hash = text.iter().fold(Sha256::new(), |hash, part| hash.chain_update(part)).finalize();
    hash.iter().take(8).fold(0, |sum, &byte| sum << 8 | u64::from(byte))
}

/// Whether this member is among those that probe a node. Members are ranked by rendezvous hashing, so all that know the
/// same members agree.
fn is_prober(number: u32, hash: NodeHash, others: &[u32]) -> bool {
    let rank = |number: u32| hash_parts(&[&hash.to_be_bytes(), &number.to_be_bytes()]);
    let own_rank = rank(number);
    others.iter().filter(|&&other| rank(other) > own_rank).count() < PROBERS
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
pub type Round = (Vec<(usize, ProbeHint)>, Vec<(u32, ProbeMessage)>);

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
    turn: usize,
}

impl ProbeCoordinator {
    /// Creates the state of the member `number`; `seed` is that of the random number generator.
    pub fn new(number: u32, seed: u64) -> Self {
        ProbeCoordinator { number, rng: ChaCha8Rng::seed_from_u64(seed), nodes: BTreeMap::new(), turn: 0 }
    }

    /// Runs one gossip round at `now` (in ms), given the nodes that are silent to this member and the peers that are alive.
    pub fn run_round(&mut self, now: u64, silent: &[&str], others: &[u32]) -> Round {
        let hashes: Vec<NodeHash> = silent.iter().map(|name| hash_parts(&[name.as_bytes()])).collect();
        for (hash, node) in &mut self.nodes {
            // The node answered this member again, which is reported to peers.
            if std::mem::replace(&mut node.silent, hashes.contains(hash)) && !node.silent {
                node.report_recovery_until = now + RECOVERY_REPORT_MS;
            }
            node.witnesses.retain(|number, at| now < *at + WITNESS_TTL_MS && others.contains(number));
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
                && !is_prober(self.number, hash, others)
            {
                hints.push((n, ProbeHint::SkipFor(SKIP_MS)));
            }
        }
        self.nodes.retain(|_, node| node.silent || now < node.report_recovery_until || !node.witnesses.is_empty());
        let message = self.next_message(now);
        let to = others.choose_multiple(&mut self.rng, GOSSIP_FANOUT).copied();
        let messages = if message.silent.is_empty() && message.back.is_empty() {
            Vec::new()
        } else {
            to.map(|other| (other, message.clone())).collect()
        };
        (hints, messages)
    }

    /// The message to send in this round.
    fn next_message(&mut self, now: u64) -> ProbeMessage {
        // Up to the maximum, starting at the turn so that every node is reported in some round.
        let of = |filter: &dyn Fn(&Node) -> bool, turn: usize| -> Vec<NodeHash> {
            let hashes: Vec<NodeHash> = self.nodes.iter().filter(|one| filter(one.1)).map(|one| *one.0).collect();
            let count = hashes.len();
            hashes.into_iter().cycle().skip(turn % count.max(1)).take(count.min(MAX_NODES_PER_MESSAGE)).collect()
        };
        let message = ProbeMessage {
            silent: of(&|node| node.silent, self.turn),
            back: of(&|node| now < node.report_recovery_until, self.turn),
        };
        self.turn = self.turn.wrapping_add(MAX_NODES_PER_MESSAGE);
        message
    }

    /// Processes a message of a peer.
    pub fn handle_message(&mut self, now: u64, from: u32, message: &ProbeMessage) {
        for hash in &message.silent {
            // Bounds the memory that reports on unknown nodes can take.
            if self.nodes.len() < 1_024 || self.nodes.contains_key(hash) {
                self.nodes.entry(*hash).or_default().witnesses.insert(from, now);
            }
        }
        for hash in &message.back {
            if let Some(node) = self.nodes.get_mut(hash) {
                node.witnesses.remove(&from);
                node.reported_recovered |= node.silent;
            }
        }
    }

    /// Status of each node that is silent to this member.
    pub fn statuses(&self, silent: &[&str], others: &[u32]) -> Vec<ProbeStatus> {
        let of = |name: &&str| {
            let hash = hash_parts(&[name.as_bytes()]);
            let witnesses = self.nodes.get(&hash).map_or(0, |node| node.witnesses.len());
            ProbeStatus { node: (*name).to_owned(), witnesses, is_prober: is_prober(self.number, hash, others) }
        };
        silent.iter().map(of).collect()
    }
}

#[cfg(test)]
mod tests;
