//! Datagram framing: version, cluster, sender and sequence number, and an authentication tag if a key is configured.
//! Received datagrams pass a replay window and a rate limit per sender.

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Maximum datagram size; far below any path MTU, so that datagrams are never fragmented and lost in part.
pub const MAX_DATAGRAM_BYTES: usize = 256;
const VERSION: u8 = 1; // incremented when the meaning of the frame changes
const HEADER_BYTES: usize = 26; // version, cluster, kind, sender, its incarnation, sequence number
const TAG_BYTES: usize = 16; // of the HMAC; a forgery succeeds with probability 2^-128
/// Maximum size of a datagram's body.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - TAG_BYTES;
const REPLAY_WINDOW: u64 = 64; // datagrams by which those of one sender may be reordered
const MAX_DATAGRAMS_PER_SECOND: u64 = 60; // accepted from one sender; three times what a healthy one sends
const MAX_BURST: u64 = 120; // datagrams accepted at once after a silence

/// What a datagram carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PayloadKind {
    /// A packet of the membership protocol.
    Membership,
    /// A message of another subsystem.
    Message,
}

/// Datagrams that were dropped, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DropCounts {
    /// Truncated, oversized or not decodable.
    pub malformed: u64,
    /// Of another version of the frame.
    pub other_version: u64,
    /// Of another cluster.
    pub other_cluster: u64,
    /// The authentication tag was missing or wrong.
    pub unsigned: u64,
    /// Received before, too old for the replay window, or of an earlier incarnation.
    pub replayed: u64,
    /// Above the sender's rate limit.
    pub flooded: u64,
    /// From a number that no member has.
    pub unknown: u64,
}

/// Replay window and rate limit of one sender.
struct Sender {
    life: u64,
    highest_sequence: u64,
    /// Bitmap of the sequence numbers received, counted down from `highest` in the lowest bit.
    received: u64,
    tokens: u64,
    refilled_at: u64,
}

/// Frames and authenticates outgoing datagrams and checks received ones.
pub struct DatagramCodec {
    cluster: [u8; 4],
    key: Option<Hmac<Sha256>>,
    number: u32,
    life: u64,
    /// Of the last datagram sent.
    sequence: u64,
    /// Size of the fleet; datagrams from this number or above are dropped.
    fleet: u32,
    senders: BTreeMap<u32, Sender>,
    /// Received datagrams that were dropped, by cause.
    pub dropped: DropCounts,
}

/// Contents of a received datagram.
pub struct Opened<'a> {
    /// What the body is.
    pub kind: PayloadKind,
    /// Number of the sender.
    pub from: u32,
    /// Incarnation of the sender.
    pub life: u64,
    /// Body without header and tag.
    pub body: &'a [u8],
}

impl DatagramCodec {
    /// Creates a codec for the member `number`. `life` grows with each start of a process under this number. An empty
    /// key disables authentication.
    pub fn new(cluster: &str, key: &[u8], fleet: u32, number: u32, life: u64) -> Self {
        let hash = Sha256::digest(cluster.as_bytes());
        let key = Some(key).filter(|key| !key.is_empty());
        DatagramCodec {
            cluster: [hash[0], hash[1], hash[2], hash[3]],
            // HMAC accepts keys of any length.
            key: key.and_then(|key| Hmac::new_from_slice(key).ok()),
            number,
            life,
            sequence: 0,
            fleet,
            senders: BTreeMap::new(),
            dropped: DropCounts::default(),
        }
    }

    /// Frames a body; returns `None` if it is too long.
    pub fn seal(&mut self, kind: PayloadKind, body: &[u8]) -> Option<Vec<u8>> {
        if body.len() > MAX_BODY_BYTES {
            return None;
        }
        self.sequence += 1;
        let mut datagram = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        datagram.push(VERSION);
        datagram.extend(self.cluster);
        datagram.push(u8::from(kind == PayloadKind::Message));
        datagram.extend(self.number.to_be_bytes());
        datagram.extend(self.life.to_be_bytes());
        datagram.extend(self.sequence.to_be_bytes());
        datagram.extend(body);
        if let Some(key) = &self.key {
            let tag = key.clone().chain_update(&datagram).finalize().into_bytes();
            datagram.extend(&tag[..TAG_BYTES]);
        }
        Some(datagram)
    }

    /// Checks a received datagram; returns `None` and counts the cause if it is to be dropped. `now` is in ms.
    pub fn open<'a>(&mut self, now: u64, datagram: &'a [u8]) -> Option<Opened<'a>> {
        let tag_bytes = if self.key.is_some() { TAG_BYTES } else { 0 };
        let dropped = &mut self.dropped;
        if datagram.len() < HEADER_BYTES + tag_bytes || datagram.len() > MAX_DATAGRAM_BYTES {
            dropped.malformed += 1;
            return None;
        }
        // Other versions may frame the rest differently.
        if datagram[0] != VERSION {
            dropped.other_version += 1;
            return None;
        }
        if datagram[1..5] != self.cluster {
            dropped.other_cluster += 1;
            return None;
        }
        let (framed, authentication_tag) = datagram.split_at(datagram.len() - tag_bytes);
        if let Some(key) = &self.key
            && key.clone().chain_update(framed).verify_truncated_left(authentication_tag).is_err()
        {
            dropped.unsigned += 1;
            return None;
        }
        let (head, body) = framed.split_at(HEADER_BYTES);
        let read_u64 = |at: usize| head[at..at + 8].iter().fold(0, |sum, &byte| sum << 8 | u64::from(byte));
        let from = head[6..10].iter().fold(0, |sum, &byte| sum << 8 | u32::from(byte));
        let (kind, life, sequence) = (head[5], read_u64(10), read_u64(18));
        if kind > 1 || from == self.number {
            dropped.malformed += 1;
            return None;
        }
        if from >= self.fleet {
            dropped.unknown += 1;
            return None;
        }
        let new_sender = Sender { life, highest_sequence: 0, received: 0, tokens: MAX_BURST, refilled_at: now };
        let sender = self.senders.entry(from).or_insert(new_sender);
        // Danger: a delayed or replayed datagram of an earlier incarnation would revive the state that it announced then.
        if life < sender.life {
            dropped.replayed += 1;
            return None;
        }
        if life > sender.life {
            (sender.life, sender.highest_sequence, sender.received) = (life, 0, 0);
        }
        if !sender.accept_sequence(sequence) {
            dropped.replayed += 1;
            return None;
        }
        if !sender.take_token(now) {
            dropped.flooded += 1;
            return None;
        }
        let kind = if kind == 1 { PayloadKind::Message } else { PayloadKind::Membership };
        Some(Opened { kind, from, life, body })
    }
}

impl Sender {
    /// Records a sequence number; returns false if it was received before or is too old for the replay window.
    fn accept_sequence(&mut self, sequence: u64) -> bool {
        if sequence > self.highest_sequence {
            let ahead = sequence - self.highest_sequence;
            self.received = if ahead < REPLAY_WINDOW { self.received << ahead | 1 } else { 1 };
            self.highest_sequence = sequence;
            return true;
        }
        let behind = self.highest_sequence - sequence;
        let is_new = behind < REPLAY_WINDOW && self.received >> behind & 1 == 0;
        self.received |= if is_new { 1 << behind } else { 0 };
        is_new
    }

    /// Takes one token from the sender's rate limit; returns false if none is left.
    fn take_token(&mut self, now: u64) -> bool {
        let refill = now.saturating_sub(self.refilled_at) * MAX_DATAGRAMS_PER_SECOND / 1_000;
        if refill > 0 {
            (self.tokens, self.refilled_at) = ((self.tokens + refill).min(MAX_BURST), now);
        }
        let has_token = self.tokens > 0;
        self.tokens -= u64::from(has_token);
        has_token
    }
}

#[cfg(test)]
mod tests;
