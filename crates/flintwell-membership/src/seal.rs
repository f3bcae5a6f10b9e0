//! The seal around a datagram: version, cluster, sender, a window against replay, a keyed tag where there is a key.

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

pub const DATAGRAM_MOST: usize = 256; // bytes; far under any path's limit, so none is split and lost in parts
const VERSION: u8 = 1; // raised when the frame changes its meaning
const HEAD: usize = 26; // bytes: version, cluster, kind, sender, its life, the count
const TAG: usize = 16; // bytes of the keyed hash; 2^-128 is no chance worth a try
pub const BODY_MOST: usize = DATAGRAM_MOST - HEAD - TAG; // bytes
const WINDOW: u64 = 64; // datagrams of one sender that may overtake one another
const RATE: u64 = 60; // datagrams a second taken of one sender; three times what a healthy one sends
const BURST: u64 = 120; // of those at once, after a silence

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Membership,
    Word,
}

/// Datagrams that were dropped, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dropped {
    /// Cut, oversized, or not understood.
    pub malformed: u64,
    pub other_version: u64,
    pub other_cluster: u64,
    pub unsigned: u64,
    pub replayed: u64,
    pub flooded: u64,
    /// From a number that no member has.
    pub unknown: u64,
}

/// What one sender has sent.
struct Sender {
    life: u64,
    highest: u64,
    /// Seen of the counts under the highest, the lowest bit for the highest itself.
    seen: u64,
    allowance: u64,
    filled_at: u64,
}

pub struct Seal {
    cluster: [u8; 4],
    key: Option<Hmac<Sha256>>,
    number: u32,
    life: u64,
    count: u64,
    /// Numbers under which a datagram may come.
    fleet: u32,
    senders: BTreeMap<u32, Sender>,
    pub dropped: Dropped,
}

/// What a datagram held.
pub struct Opened<'a> {
    pub kind: Kind,
    pub from: u32,
    pub life: u64,
    pub body: &'a [u8],
}

impl Seal {
    /// `life` grows with each start of a process under this number. An empty key is no key.
    pub fn new(cluster: &str, key: &[u8], fleet: u32, number: u32, life: u64) -> Self {
        let hash = Sha256::digest(cluster.as_bytes());
        let key = Some(key).filter(|key| !key.is_empty());
        Seal {
            cluster: [hash[0], hash[1], hash[2], hash[3]],
            // Takes keys of any length.
            key: key.and_then(|key| Hmac::new_from_slice(key).ok()),
            number,
            life,
            count: 0,
            fleet,
            senders: BTreeMap::new(),
            dropped: Dropped::default(),
        }
    }

    /// None if the body is too long.
    pub fn close(&mut self, kind: Kind, body: &[u8]) -> Option<Vec<u8>> {
        if body.len() > BODY_MOST {
            return None;
        }
        self.count += 1;
        let mut datagram = Vec::with_capacity(DATAGRAM_MOST);
        datagram.push(VERSION);
        datagram.extend(self.cluster);
        datagram.push(u8::from(kind == Kind::Word));
        datagram.extend(self.number.to_be_bytes());
        datagram.extend(self.life.to_be_bytes());
        datagram.extend(self.count.to_be_bytes());
        datagram.extend(body);
        if let Some(key) = &self.key {
            let tag = key.clone().chain_update(&datagram).finalize().into_bytes();
            datagram.extend(&tag[..TAG]);
        }
        Some(datagram)
    }

    /// None, and counted, where it is not to be read; `now` in ms.
    pub fn open<'a>(&mut self, now: u64, datagram: &'a [u8]) -> Option<Opened<'a>> {
        let tag = if self.key.is_some() { TAG } else { 0 };
        let dropped = &mut self.dropped;
        if datagram.len() < HEAD + tag || datagram.len() > DATAGRAM_MOST {
            dropped.malformed += 1;
            return None;
        }
        // Others may frame what follows in another way.
        if datagram[0] != VERSION {
            dropped.other_version += 1;
            return None;
        }
        if datagram[1..5] != self.cluster {
            dropped.other_cluster += 1;
            return None;
        }
        let (framed, told) = datagram.split_at(datagram.len() - tag);
        if let Some(key) = &self.key
            && key.clone().chain_update(framed).verify_truncated_left(told).is_err()
        {
            dropped.unsigned += 1;
            return None;
        }
        let (head, body) = framed.split_at(HEAD);
        let whole = |at: usize| head[at..at + 8].iter().fold(0, |sum, &byte| sum << 8 | u64::from(byte));
        let from = head[6..10].iter().fold(0, |sum, &byte| sum << 8 | u32::from(byte));
        let (kind, life, count) = (head[5], whole(10), whole(18));
        if kind > 1 || from == self.number {
            dropped.malformed += 1;
            return None;
        }
        if from >= self.fleet {
            dropped.unknown += 1;
            return None;
        }
        let fresh = Sender { life, highest: 0, seen: 0, allowance: BURST, filled_at: now };
        let sender = self.senders.entry(from).or_insert(fresh);
        // Danger: a datagram of a life that is over would bring back what it said then.
        if life < sender.life {
            dropped.replayed += 1;
            return None;
        }
        if life > sender.life {
            (sender.life, sender.highest, sender.seen) = (life, 0, 0);
        }
        if !sender.first(count) {
            dropped.replayed += 1;
            return None;
        }
        if !sender.allowed(now) {
            dropped.flooded += 1;
            return None;
        }
        let kind = if kind == 1 { Kind::Word } else { Kind::Membership };
        Some(Opened { kind, from, life, body })
    }
}

impl Sender {
    /// Whether this count comes for the first time, as far as the window tells.
    fn first(&mut self, count: u64) -> bool {
        if count > self.highest {
            let by = count - self.highest;
            self.seen = if by < WINDOW { self.seen << by | 1 } else { 1 };
            self.highest = count;
            return true;
        }
        let behind = self.highest - count;
        let fresh = behind < WINDOW && self.seen >> behind & 1 == 0;
        self.seen |= if fresh { 1 << behind } else { 0 };
        fresh
    }

    fn allowed(&mut self, now: u64) -> bool {
        let more = now.saturating_sub(self.filled_at) * RATE / 1_000;
        if more > 0 {
            (self.allowance, self.filled_at) = ((self.allowance + more).min(BURST), now);
        }
        let allowed = self.allowance > 0;
        self.allowance -= u64::from(allowed);
        allowed
    }
}

#[cfg(test)]
mod tests;
