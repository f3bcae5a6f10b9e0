//! How a client's messages are framed, by their raw heads: what a parser that takes a length out of a head
//! no longer shows.

use std::collections::VecDeque;

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
        // Danger: a length beside a transfer encoding, or a second one, hides another access in the body.
        _ => (Framing::Doubtful, 0),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What is read of these bytes, cut in two at each place, and byte by byte.
    fn heads(bytes: &[u8]) -> Vec<Framing> {
        let read = |parts: &[&[u8]]| {
            let mut scanner = Scanner::default();
            parts.iter().for_each(|part| scanner.read(part));
            Vec::from(scanner.heads)
        };
        let whole = read(&[bytes]);
        for cut in 0..bytes.len() {
            assert_eq!(read(&[&bytes[..cut], &bytes[cut..]]), whole, "cut at {cut}");
        }
        assert_eq!(read(&bytes.chunks(1).collect::<Vec<_>>()), whole);
        whole
    }

    #[test]
    fn messages_are_told_apart_however_they_are_cut() {
        use Framing::*;
        let get = "GET /k HTTP/1.1\r\nHost: o\r\n\r\n";
        let put = "PUT /k HTTP/1.1\r\ncontent-LENGTH:  5\r\n\r\n\n\r\n\r\n";
        let both = "PUT /k HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        let coded = "PUT /k HTTP/1.1\nTransfer-Encoding: chunked\n\n5\r\nab\n\nc\r\n0\r\n\r\n";
        let twice = "PUT /k HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n";
        let no_number = "PUT /k HTTP/1.1\r\nContent-Length: +5\r\n\r\n";
        assert_eq!(heads(get.as_bytes()), [Length]);
        assert_eq!(
            heads([put, get, "\r\n", put, both].concat().as_bytes()),
            [Length, Length, Length, Doubtful]
        );
        assert_eq!(heads([get, coded, get].concat().as_bytes()), [Length, Coded], "what follows is lost");
        assert_eq!(heads([twice, get].concat().as_bytes()), [Doubtful]);
        assert_eq!(heads(no_number.as_bytes()), [Doubtful]);
        assert_eq!(heads(&get.as_bytes()[..20]), []);
        assert_eq!(
            heads(&both.replace("Content", "Transfer-Encoding: x\r\nContent").into_bytes()),
            [Doubtful]
        );
    }

    #[test]
    fn a_head_without_end_is_not_kept() {
        let mut scanner = Scanner::default();
        (0..100).for_each(|_| scanner.read(&[b'x'; 1_000]));
        assert!(matches!(scanner.at, At::Lost));
        assert_eq!(scanner.next(), Framing::Doubtful);
    }
}
