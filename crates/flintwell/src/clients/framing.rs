//! Message framing, determined from the raw bytes.
//!
//! The HTTP parser no longer shows it: it drops a content length beside a transfer encoding and decodes chunked
//! bodies.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Instant;

const HEAD_MOST: usize = 65_536; // of a head that is scanned; the HTTP parser rejects longer ones before

/// How a message's body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By content length, 0 if there is none.
    Length,
    /// By a transfer encoding. The messages after it are not scanned.
    Coded,
    /// By both, by several lengths or by an invalid length.
    Doubtful,
}

/// Which part of a message the next byte belongs to.
enum At {
    Head(Vec<u8>),
    /// Remaining bytes of the body.
    Body(u64),
    /// Unknown; the connection is closed after the response.
    Lost,
}

/// Determines the framing of each request on a client's connection from the bytes read.
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
    /// Removes and returns the framing of the oldest scanned message; `Doubtful` if there is none.
    pub fn next(&mut self) -> Framing {
        self.heads.pop_front().unwrap_or(Framing::Doubtful)
    }

    /// Scans bytes that were read from the connection.
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
                    // Empty lines before a head are skipped.
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

/// Position within a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChunkState {
    /// In a chunk's size, with its value so far.
    Size(u64),
    /// After a chunk's size, before the end of that line.
    Extension(u64),
    /// In a chunk's data, with the number of remaining bytes.
    Data(u64),
    /// In the line end after a chunk's data.
    #[serde(rename = "Behind")]
    DataEnd,
    /// In the trailer section; true while the current line is empty.
    Trailer(bool),
    /// After the end of the body.
    End,
}

/// Decoder for the remainder of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BodyDecoder {
    /// Unencoded, with the number of remaining bytes.
    Length(u64),
    #[serde(rename = "Chunks")]
    Chunked(ChunkState),
}

impl BodyDecoder {
    /// Whether the body has been read to its end.
    pub fn is_complete(self) -> bool {
        matches!(self, BodyDecoder::Length(0) | BodyDecoder::Chunked(ChunkState::End))
    }

    /// Decodes further bytes and passes the payload in them to `piece`. False if they are not a valid encoding.
    pub fn decode(&mut self, mut bytes: &[u8], mut piece: impl FnMut(&[u8])) -> bool {
        while !bytes.is_empty() && !self.is_complete() {
            let (left, behind) = match self {
                BodyDecoder::Length(left) => (*left, None),
                BodyDecoder::Chunked(ChunkState::Data(left)) => (*left, Some(ChunkState::DataEnd)),
                BodyDecoder::Chunked(chunks) => {
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
                None => BodyDecoder::Length(left),
                Some(behind) => BodyDecoder::Chunked(if left == 0 { behind } else { ChunkState::Data(left) }),
            };
        }
        true
    }
}

impl ChunkState {
    /// The state after this byte, which is not chunk data; none if the byte is invalid here.
    fn then(self, byte: u8) -> Option<Self> {
        Some(match (self, byte) {
            (ChunkState::Size(0) | ChunkState::Extension(0), b'\n') => ChunkState::Trailer(true),
            (ChunkState::Size(size) | ChunkState::Extension(size), b'\n') => ChunkState::Data(size),
            (ChunkState::Size(size), byte) if byte.is_ascii_hexdigit() => {
                let digit = char::from(byte).to_digit(16)?;
                ChunkState::Size(size.checked_mul(16)?.checked_add(u64::from(digit))?)
            }
            (ChunkState::Size(size), b'\r' | b';' | b' ' | b'\t') => ChunkState::Extension(size),
            (ChunkState::Extension(size), _) => ChunkState::Extension(size),
            (ChunkState::DataEnd, b'\r') => ChunkState::DataEnd,
            (ChunkState::DataEnd, b'\n') => ChunkState::Size(0),
            (ChunkState::Trailer(true), b'\n') => ChunkState::End,
            (ChunkState::Trailer(empty), b'\r') => ChunkState::Trailer(empty),
            (ChunkState::Trailer(_), byte) => ChunkState::Trailer(byte == b'\n'),
            _ => return None,
        })
    }
}

/// Follows a node's response to one request in the bytes read.
#[derive(Default)]
pub struct ResponseScanner {
    head: Vec<u8>,
    /// Decoder for the rest of the body; none before the end of the head, and where the framing is unknown.
    pub decoder: Option<BodyDecoder>,
    /// Body bytes read so far.
    pub body_bytes: u64,
    headed: bool,
    /// Reading from the connection has been stopped.
    pub halted: bool,
    /// When the first byte was read.
    pub first_byte_at: Option<Instant>,
}

impl ResponseScanner {
    /// Scans bytes that were read from the connection.
    pub fn read(&mut self, mut bytes: &[u8]) {
        if !bytes.is_empty() {
            self.first_byte_at.get_or_insert_with(Instant::now);
        }
        while !self.headed && !bytes.is_empty() {
            self.head.push(bytes[0]);
            bytes = &bytes[1..];
            if self.head.ends_with(b"\n") && ends(&self.head) {
                // An interim (1xx) response is not the response yet.
                let between = self.head.split(|b| *b == b' ').nth(1).is_some_and(|s| s.starts_with(b"1"));
                if !between {
                    self.headed = true;
                    self.decoder = match framing(&self.head) {
                        (Framing::Coded, _) => Some(BodyDecoder::Chunked(ChunkState::Size(0))),
                        // Without a length the body may last until the connection closes; its end is not visible.
                        (Framing::Length, length) if length > 0 => Some(BodyDecoder::Length(length)),
                        _ => None,
                    };
                }
                self.head.clear();
            } else if self.head.len() > HEAD_MOST {
                self.headed = true;
            }
        }
        let seen = &mut self.body_bytes;
        if !self.decoder.as_mut().is_none_or(|coding| coding.decode(bytes, |piece| *seen += piece.len() as u64))
        {
            self.decoder = None;
        }
    }
}

/// Whether the head is complete: it ends with an empty line, with or without carriage returns.
fn ends(head: &[u8]) -> bool {
    head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n")
}

/// Framing by a head's fields, and the content length.
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
        // A length beside a transfer encoding, or a second length, can hide another request in the body (request
        // smuggling).
        _ => (Framing::Doubtful, 0),
    }
}

#[cfg(test)]
mod tests;
