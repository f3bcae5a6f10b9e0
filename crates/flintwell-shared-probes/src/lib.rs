//! A few of a fleet try a node that fell silent, and tell the others, so that the tries of all do not grow with the fleet.
//!
//! A hint weighs, it is no fact: only first-hand words are told on, a node is held silent by the fleet when some others
//! found it so by themselves, and who has not found it silent itself acts on no hint at all. So one that lies, or is cut
//! off itself, empties no node that is well; and word that a node is back brings one request of each, not its traffic.

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

pub const MARK: u8 = 0x50; // first byte of a word, which tells it from those of other subsystems
const TOLD: usize = 2; // members a round; each hears as many on the mean, whatever the fleet's size
const NODES: usize = 12; // in a word, in turns where there are more; it stays under a datagram's length
const WITNESSES: usize = 3; // others that found a node silent by themselves; one or two may be cut off themselves
const HEARD: u64 = 3_000; // ms for which a witness counts; some rounds of each
const PROBERS: usize = 3; // members that go on trying; one or two of them may be gone or cut off
const LEFT: u64 = 1_500; // ms for which the others leave it alone at a time; some rounds without a word and they try
const BACK: u64 = 3_000; // ms for which one's being back is told on
const BACK_APART: u64 = 1_000; // ms between tries that such words bring about, whoever tells them and however often

/// A node's name, short.
pub type Mark = u64;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// Silent to the one who tells, by its own tries.
    silent: Vec<Mark>,
    /// Was silent, and answered it lately.
    back: Vec<Mark>,
}

impl Word {
    pub fn encode(&self) -> Vec<u8> {
        // Into a vector it cannot fail.
        let mut bytes = vec![MARK];
        bytes.extend(postcard::to_stdvec(self).unwrap_or_default());
        bytes
    }
    /// None where it is none of ours.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (&mark, rest) = bytes.split_first()?;
        let word: Word = (mark == MARK).then(|| postcard::from_bytes(rest).ok()).flatten()?;
        (word.silent.len() <= NODES && word.back.len() <= NODES).then_some(word)
    }
}

fn short(text: &[&[u8]]) -> Mark {
    let hash = text.iter().fold(Sha256::new(), |hash, part| hash.chain_update(part)).finalize();
    hash.iter().take(8).fold(0, |sum, &byte| sum << 8 | u64::from(byte))
}

/// Whether this member is among the few who try a node: the highest by a draw alike at all who know the same members.
fn probes(number: u32, mark: Mark, others: &[u32]) -> bool {
    let draw = |number: u32| short(&[&mark.to_be_bytes(), &number.to_be_bytes()]);
    let ours = draw(number);
    others.iter().filter(|&&other| draw(other) > ours).count() < PROBERS
}

#[derive(Default)]
struct Node {
    /// To us.
    silent: bool,
    /// When each other last said that it is silent to it.
    witnesses: BTreeMap<u32, u64>,
    /// Until when its being back is told, by who had an answer.
    back_until: u64,
    /// Someone had an answer: not acted on yet.
    told_back: bool,
    tried_at: u64,
}

/// What is to be done about a node that is silent to us.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hint {
    /// Left alone for so many ms: others try it.
    Leave(u64),
    /// Tried by the next request: it answered another.
    Try,
}

/// What a round brings: of which of the silent ones to think what, and what to tell whom.
pub type Round = (Vec<(usize, Hint)>, Vec<(u32, Word)>);

/// Where it stands, for the staff.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Standing {
    pub node: String,
    /// Others that found it silent lately.
    pub witnesses: usize,
    /// Whether we are among those who try it.
    pub prober: bool,
}

pub struct Probes {
    number: u32,
    rng: ChaCha8Rng,
    nodes: BTreeMap<Mark, Node>,
    turn: usize,
}

impl Probes {
    pub fn new(number: u32, seed: u64) -> Self {
        Probes { number, rng: ChaCha8Rng::seed_from_u64(seed), nodes: BTreeMap::new(), turn: 0 }
    }

    /// Once a round: what is silent to us now, and who is there. What to do about which node, and what to tell whom.
    pub fn round(&mut self, now: u64, silent: &[&str], others: &[u32]) -> Round {
        let marks: Vec<Mark> = silent.iter().map(|name| short(&[name.as_bytes()])).collect();
        for (mark, node) in &mut self.nodes {
            // Heard by ourselves again: that is worth telling.
            if std::mem::replace(&mut node.silent, marks.contains(mark)) && !node.silent {
                node.back_until = now + BACK;
            }
            node.witnesses.retain(|number, at| now < *at + HEARD && others.contains(number));
        }
        let mut hints = Vec::new();
        for (n, &mark) in marks.iter().enumerate() {
            let node = self.nodes.entry(mark).or_default();
            (node.silent, node.back_until) = (true, 0);
            if std::mem::take(&mut node.told_back) && now >= node.tried_at + BACK_APART {
                node.tried_at = now;
                hints.push((n, Hint::Try));
            } else if node.witnesses.len() >= WITNESSES
                && now >= node.tried_at + BACK_APART
                && !probes(self.number, mark, others)
            {
                hints.push((n, Hint::Leave(LEFT)));
            }
        }
        self.nodes.retain(|_, node| node.silent || now < node.back_until || !node.witnesses.is_empty());
        let word = self.word(now);
        let to = others.choose_multiple(&mut self.rng, TOLD).copied();
        let words = if word.silent.is_empty() && word.back.is_empty() {
            Vec::new()
        } else {
            to.map(|other| (other, word.clone())).collect()
        };
        (hints, words)
    }

    fn word(&mut self, now: u64) -> Word {
        let of = |which: &dyn Fn(&Node) -> bool, turn: usize| -> Vec<Mark> {
            let marks: Vec<Mark> = self.nodes.iter().filter(|one| which(one.1)).map(|one| *one.0).collect();
            let all = marks.len();
            marks.into_iter().cycle().skip(turn % all.max(1)).take(all.min(NODES)).collect()
        };
        let word = Word {
            silent: of(&|node| node.silent, self.turn),
            back: of(&|node| now < node.back_until, self.turn),
        };
        self.turn = self.turn.wrapping_add(NODES);
        word
    }

    pub fn hears(&mut self, now: u64, from: u32, word: &Word) {
        for mark in &word.silent {
            // Bounded: of nodes that are not silent to us only few are remembered.
            if self.nodes.len() < 1_024 || self.nodes.contains_key(mark) {
                self.nodes.entry(*mark).or_default().witnesses.insert(from, now);
            }
        }
        for mark in &word.back {
            if let Some(node) = self.nodes.get_mut(mark) {
                node.witnesses.remove(&from);
                node.told_back |= node.silent;
            }
        }
    }

    pub fn standing(&self, silent: &[&str], others: &[u32]) -> Vec<Standing> {
        let of = |name: &&str| {
            let mark = short(&[name.as_bytes()]);
            let witnesses = self.nodes.get(&mark).map_or(0, |node| node.witnesses.len());
            Standing { node: (*name).to_owned(), witnesses, prober: probes(self.number, mark, others) }
        };
        silent.iter().map(of).collect()
    }
}

#[cfg(test)]
mod tests;
