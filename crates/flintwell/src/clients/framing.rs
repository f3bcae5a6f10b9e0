//! How messages are framed, by their raw bytes: what a parser that takes a length out of a head, or a body out
//! of its chunks, no longer shows.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Instant;

const HEAD_MOST: usize = 65_536; // bytes of a head that are kept; longer ones are refused before

/// How a message's body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length, 0 where none is given.
    Length,
    /// By a transfer encoding. What comes behind it is not told apart any more.
    Coded,
    /// By both, or by lengths that differ or are none.
    Doubtful,
}

/// What the next byte belongs to.
enum At {
    Head(Vec<u8>),
    /// Bytes that are left of it.
    Body(u64),
    /// Not known any more; the connection closes with the answer.
    Lost,
}

/// Reads along with a connection.
pub struct Scanner {
    at: At,
    heads: VecDeque<Framing>,
}

impl Default for Scanner {
    fn default() -> Self {
        Scanner { at: At::Head(Vec::new()), heads: VecDeque::new() }
    }
}

impl Scanner {
    /// Of the message whose head came first; doubtful if none did.
    pub fn next(&mut self) -> Framing {
        self.heads.pop_front().unwrap_or(Framing::Doubtful)
    }

    pub fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.at {
                At::Lost => return,
                At::Body(left) => {
                    let taken = bytes.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                    *left -= taken as u64;
                    bytes = &bytes[taken..];
                    if *left == 0 {
                        self.at = At::Head(Vec::new());
                    }
                }
                At::Head(head) => {
                    let (byte, rest) = (bytes[0], &bytes[1..]);
                    bytes = rest;
                    // Empty lines before a head are no part of it.
                    if head.is_empty() && matches!(byte, b'\r' | b'\n') {
                        continue;
                    }
                    head.push(byte);
                    if byte == b'\n' && ends(head) {
                        let (framing, length) = framing(head);
                        self.heads.push_back(framing);
                        self.at = match framing {
                            Framing::Length if length == 0 => At::Head(Vec::new()),
                            Framing::Length => At::Body(length),
                            _ => At::Lost,
                        };
                    } else if head.len() > HEAD_MOST {
                        self.at = At::Lost;
                    }
                }
            }
        }
    }
}

/// Where a body in chunks stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Chunks {
    /// In the size of the next, as read so far.
    Size(u64),
    /// Behind that size, in its line.
    Extension(u64),
    /// Bytes that are left of one.
    Data(u64),
    /// Before the end of the line behind one.
    Behind,
    /// Behind the last, in a line that is empty so far.
    Trailer(bool),
    End,
}

/// How what is left of a body comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Coding {
    /// As it is, so many bytes.
    Length(u64),
    Chunks(Chunks),
}

impl Coding {
    pub fn ended(self) -> bool {
        matches!(self, Coding::Length(0) | Coding::Chunks(Chunks::End))
    }

    /// Reads on: hands out the pieces of the body among these bytes. False where they are no such body.
    pub fn read(&mut self, mut bytes: &[u8], mut piece: impl FnMut(&[u8])) -> bool {
        while !bytes.is_empty() && !self.ended() {
            let (left, behind) = match self {
                Coding::Length(left) => (*left, None),
                Coding::Chunks(Chunks::Data(left)) => (*left, Some(Chunks::Behind)),
                Coding::Chunks(chunks) => {
                    let Some(next) = chunks.then(bytes[0]) else { return false };
                    (*chunks, bytes) = (next, &bytes[1..]);
                    continue;
                }
            };
            let taken = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
            piece(&bytes[..taken]);
            bytes = &bytes[taken..];
            let left = left - taken as u64;
            *self = match behind {
                None => Coding::Length(left),
                Some(behind) => Coding::Chunks(if left == 0 { behind } else { Chunks::Data(left) }),
            };
        }
        true
    }
}

impl Chunks {
    /// Behind this byte, which is none of a chunk's data.
    fn then(self, byte: u8) -> Option<Self> {
        Some(match (self, byte) {
            (Chunks::Size(0) | Chunks::Extension(0), b'\n') => Chunks::Trailer(true),
            (Chunks::Size(size) | Chunks::Extension(size), b'\n') => Chunks::Data(size),
            (Chunks::Size(size), byte) if byte.is_ascii_hexdigit() => {
                let digit = char::from(byte).to_digit(16)?;
                Chunks::Size(size.checked_mul(16)?.checked_add(u64::from(digit))?)
            }
            (Chunks::Size(size), b'\r' | b';' | b' ' | b'\t') => Chunks::Extension(size),
            (Chunks::Extension(size), _) => Chunks::Extension(size),
            (Chunks::Behind, b'\r') => Chunks::Behind,
            (Chunks::Behind, b'\n') => Chunks::Size(0),
            (Chunks::Trailer(true), b'\n') => Chunks::End,
            (Chunks::Trailer(empty), b'\r') => Chunks::Trailer(empty),
            (Chunks::Trailer(_), byte) => Chunks::Trailer(byte == b'\n'),
            _ => return None,
        })
    }
}

/// Reads along with what a node answers to one message.
#[derive(Default)]
pub struct Answers {
    head: Vec<u8>,
    /// How the rest of the body comes; none while the head has not ended, or if it does not say.
    pub coding: Option<Coding>,
    /// Bytes of the body that were read.
    pub body: u64,
    headed: bool,
    /// Nothing more is read.
    pub halted: bool,
    /// When its first byte was read.
    pub begun_at: Option<Instant>,
}

impl Answers {
    pub fn read(&mut self, mut bytes: &[u8]) {
        if !bytes.is_empty() {
            self.begun_at.get_or_insert_with(Instant::now);
        }
        while !self.headed && !bytes.is_empty() {
            self.head.push(bytes[0]);
            bytes = &bytes[1..];
            if self.head.ends_with(b"\n") && ends(&self.head) {
                // A word in between is no answer yet.
                let between = self.head.split(|b| *b == b' ').nth(1).is_some_and(|s| s.starts_with(b"1"));
                if !between {
                    self.headed = true;
                    self.coding = match framing(&self.head) {
                        (Framing::Coded, _) => Some(Coding::Chunks(Chunks::Size(0))),
                        // None told, a body lasts until the connection ends; such a one can't be told apart.
                        (Framing::Length, length) if length > 0 => Some(Coding::Length(length)),
                        _ => None,
                    };
                }
                self.head.clear();
            } else if self.head.len() > HEAD_MOST {
                self.headed = true;
            }
        }
        let seen = &mut self.body;
        if !self.coding.as_mut().is_none_or(|coding| coding.read(bytes, |piece| *seen += piece.len() as u64))
        {
            self.coding = None;
        }
    }
}

/// An empty line ends a head, whichever way its lines end.
fn ends(head: &[u8]) -> bool {
    head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n")
}

fn framing(head: &[u8]) -> (Framing, u64) {
    let (mut coded, mut lengths) = (false, Vec::new());
    for line in head.split(|byte| *byte == b'\n').skip(1) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { continue };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        coded |= name.eq_ignore_ascii_case(b"transfer-encoding");
        if name.eq_ignore_ascii_case(b"content-length") {
            let digits = std::str::from_utf8(value).ok().filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
            lengths.push(digits.and_then(|digits| digits.parse::<u64>().ok()));
        }
    }
    match (coded, lengths.as_slice()) {
        (true, []) => (Framing::Coded, 0),
        (false, []) => (Framing::Length, 0),
        (false, [Some(length)]) => (Framing::Length, *length),
        // Danger: a length beside a transfer encoding, or a second one, hides another request in the body.
        _ => (Framing::Doubtful, 0),
    }
}

#[cfg(test)]
mod tests;
