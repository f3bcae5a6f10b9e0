//! Message framing, determined from the raw bytes.
//!
//! The HTTP parser no longer shows it: it drops a content length beside a transfer encoding and decodes chunked
//! bodies.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Instant;

const MAX_HEAD_BYTES: usize = 65_536; // of a head that is scanned; the HTTP parser rejects longer ones before

/// How a message's body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By content length, 0 if there is none.
    Length,
    /// By a transfer encoding. The messages after it are not scanned.
    TransferEncoded,
    /// By both, by several lengths or by an invalid length.
    Ambiguous,
}

/// Which part of a message the next byte belongs to.
enum ScanState {
    Head(Vec<u8>),
    /// Remaining bytes of the body.
    Body(u64),
    /// Unknown; the connection is closed after the response.
    Unknown,
}

/// Determines the framing of each request on a client's connection from the bytes read.
pub struct RequestScanner {
    state: ScanState,
    framings: VecDeque<Framing>,
}

impl Default for RequestScanner {
    fn default() -> Self {
        RequestScanner { state: ScanState::Head(Vec::new()), framings: VecDeque::new() }
    }
}

impl RequestScanner {
    /// Removes and returns the framing of the oldest scanned message; `Ambiguous` if there is none.
    pub fn next_framing(&mut self) -> Framing {
        self.framings.pop_front().unwrap_or(Framing::Ambiguous)
    }

    /// Scans bytes that were read from the connection.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.state {
                ScanState::Unknown => return,
                ScanState::Body(remaining) => {
                    let count = bytes.len().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                    *remaining -= count as u64;
                    bytes = &bytes[count..];
                    if *remaining == 0 {
                        self.state = ScanState::Head(Vec::new());
                    }
                }
                ScanState::Head(head) => {
                    let (byte, rest) = (bytes[0], &bytes[1..]);
                    bytes = rest;
                    // Empty lines before a head are skipped.
                    if head.is_empty() && matches!(byte, b'\r' | b'\n') {
                        continue;
                    }
                    head.push(byte);
                    if byte == b'\n' && is_head_complete(head) {
                        let (framing, length) = parse_framing(head);
                        let length = length.unwrap_or(0);
                        self.framings.push_back(framing);
                        self.state = match framing {
                            Framing::Length if length == 0 => ScanState::Head(Vec::new()),
                            Framing::Length => ScanState::Body(length),
                            _ => ScanState::Unknown,
                        };
                    } else if head.len() > MAX_HEAD_BYTES {
                        self.state = ScanState::Unknown;
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

    /// Decodes further bytes and passes the payload in them to `payload`; returns how many lie beyond the end of
    /// the body. None if they are not a valid encoding.
    pub fn decode(&mut self, mut bytes: &[u8], mut payload: impl FnMut(&[u8])) -> Option<usize> {
        while !bytes.is_empty() && !self.is_complete() {
            let (remaining, state_after) = match self {
                BodyDecoder::Length(remaining) => (*remaining, None),
                BodyDecoder::Chunked(ChunkState::Data(remaining)) => (*remaining, Some(ChunkState::DataEnd)),
                BodyDecoder::Chunked(state) => {
                    let next = state.advance(bytes[0])?;
                    (*state, bytes) = (next, &bytes[1..]);
                    continue;
                }
            };
            let count = bytes.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
            payload(&bytes[..count]);
            bytes = &bytes[count..];
            let remaining = remaining - count as u64;
            *self = match state_after {
                None => BodyDecoder::Length(remaining),
                Some(state_after) => BodyDecoder::Chunked(if remaining == 0 {
                    state_after
                } else {
                    ChunkState::Data(remaining)
                }),
            };
        }
        Some(bytes.len())
    }
}

impl ChunkState {
    /// The state after this byte, which is not chunk data; none if the byte is invalid here.
    fn advance(self, byte: u8) -> Option<Self> {
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
    head_complete: bool,
    /// Reading from the connection has been stopped.
    pub halted: bool,
    /// When the first byte was read.
    pub first_byte_at: Option<Instant>,
}

impl ResponseScanner {
    /// Whether the head of the response was read whole, apart from interim responses.
    pub fn has_head(&self) -> bool {
        self.head_complete
    }

    /// Scans bytes that were read from the connection; returns how many of them lie beyond the end of the
    /// response, as far as its framing shows that.
    pub fn scan(&mut self, mut bytes: &[u8]) -> usize {
        if !bytes.is_empty() {
            self.first_byte_at.get_or_insert_with(Instant::now);
        }
        while !self.head_complete && !bytes.is_empty() {
            self.head.push(bytes[0]);
            bytes = &bytes[1..];
            if self.head.ends_with(b"\n") && is_head_complete(&self.head) {
                let status = self.head.split(|byte| *byte == b' ').nth(1).unwrap_or_default();
                // An interim (1xx) response is not the response yet.
                if !status.starts_with(b"1") {
                    self.head_complete = true;
                    self.decoder = match parse_framing(&self.head) {
                        _ if status.starts_with(b"204") || status.starts_with(b"304") => {
                            Some(BodyDecoder::Length(0))
                        }
                        (Framing::TransferEncoded, _) => Some(BodyDecoder::Chunked(ChunkState::Size(0))),
                        (Framing::Length, Some(length)) => Some(BodyDecoder::Length(length)),
                        // Without a length the body may last until the connection closes; its end is not visible.
                        _ => None,
                    };
                }
                self.head.clear();
            } else if self.head.len() > MAX_HEAD_BYTES {
                self.head_complete = true;
            }
        }
        let body_bytes = &mut self.body_bytes;
        let Some(decoder) = self.decoder.as_mut() else { return 0 };
        let rest = decoder.decode(bytes, |payload| *body_bytes += payload.len() as u64);
        if rest.is_none() {
            self.decoder = None;
        }
        rest.unwrap_or(0)
    }
}

/// Whether the head is complete: it ends with an empty line, with or without carriage returns.
fn is_head_complete(head: &[u8]) -> bool {
    head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n")
}

/// Framing by a head's fields, and the content length if there is one.
fn parse_framing(head: &[u8]) -> (Framing, Option<u64>) {
    let (mut is_encoded, mut lengths) = (false, Vec::new());
    for line in head.split(|byte| *byte == b'\n').skip(1) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { continue };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        is_encoded |= name.eq_ignore_ascii_case(b"transfer-encoding");
        if name.eq_ignore_ascii_case(b"content-length") {
            let digits = std::str::from_utf8(value).ok().filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
            lengths.push(digits.and_then(|digits| digits.parse::<u64>().ok()));
        }
    }
    match (is_encoded, lengths.as_slice()) {
        (true, []) => (Framing::TransferEncoded, None),
        (false, []) => (Framing::Length, None),
        (false, [Some(length)]) => (Framing::Length, Some(*length)),
        // A length beside a transfer encoding, or a second length, can hide another request in the body (request
        // smuggling).
        _ => (Framing::Ambiguous, None),
    }
}

#[cfg(test)]
mod tests;
