//! Forwards the remainder of a long response from its node to its client. The sockets may have been handed
//! over by an earlier process.

use crate::clients::framing::BodyDecoder;
use crate::process::clock::PEER_IDLE_TIMEOUT;
use socket2::SockRef;
use std::fs::File;
use std::io::{self, Read};
use std::net::Shutdown;
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Read at once.
pub const CHUNK_BYTES: usize = 16_384;

/// The socket to a node, and the framing of the bytes that it still sends.
pub type Upstream = (Rc<TcpStream>, BodyDecoder);

/// A long response that was interrupted between two bytes.
pub struct ResponseTransfer {
    /// The client's socket.
    pub client: Rc<TcpStream>,
    /// Bytes framed for the client that are not written to it yet.
    pub unwritten: Vec<u8>,
    /// The unframed bytes that follow, in a file, and their number.
    pub buffered: Option<(File, u64)>,
    /// The source of the remaining bytes; none if all were received.
    pub upstream: Option<Upstream>,
    /// Whether the client receives it in chunked encoding.
    pub chunked: bool,
    /// Whether the final chunk is not among the unwritten bytes and has yet to be sent.
    pub is_end_pending: bool,
    /// Maximum number of bytes that the node may still send.
    pub max_remaining_bytes: u64,
}

impl ResponseTransfer {
    /// Forwards the remainder to the client; returns whether the response is complete.
    pub async fn run(mut self) -> bool {
        let is_complete = self.forward().await.is_ok();
        // Danger: a client could take a truncated response for a complete one; so after a failure its framing
        // is left without an end. An error here means that the client has disconnected.
        let _ = SockRef::from(&*self.client).shutdown(Shutdown::Write);
        is_complete
    }

    async fn forward(&mut self) -> io::Result<()> {
        let mut chunk = vec![0; CHUNK_BYTES];
        self.flush_unwritten().await?;
        if let Some((mut file, mut left)) = self.buffered.take() {
            while left > 0 {
                // The file was just written and is in the page cache, so a blocking read does not stall the
                // runtime.
                let bytes = file.read(&mut chunk)?;
                left = left
                    .checked_sub(bytes as u64)
                    .filter(|_| bytes > 0)
                    .ok_or(io::ErrorKind::UnexpectedEof)?;
                append_framed(&mut self.unwritten, self.chunked, &chunk[..bytes]);
                self.flush_unwritten().await?;
            }
        }
        if let Some((node, coding)) = self.upstream.take() {
            self.forward_from_node(&node, coding, &mut chunk).await?;
        }
        self.unwritten.extend_from_slice(if self.chunked && self.is_end_pending {
            b"0\r\n\r\n"
        } else {
            b""
        });
        self.flush_unwritten().await
    }

    async fn forward_from_node(
        &mut self,
        node: &TcpStream,
        mut coding: BodyDecoder,
        chunk: &mut [u8],
    ) -> io::Result<()> {
        while !coding.is_complete() {
            let read = node.async_io(Interest::READABLE, || node.try_read(chunk));
            let bytes = timeout(PEER_IDLE_TIMEOUT, read).await.map_err(|_| io::ErrorKind::TimedOut)??;
            if bytes == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let (out, chunked, mut received) = (&mut self.unwritten, self.chunked, 0);
            let rest = coding.decode(&chunk[..bytes], |data| {
                received += data.len() as u64;
                append_framed(out, chunked, data);
            });
            // Danger: an endless response would be forwarded for as long as its client reads.
            let left = self.max_remaining_bytes.checked_sub(received).filter(|_| rest.is_some());
            self.max_remaining_bytes = left.ok_or(io::ErrorKind::InvalidData)?;
            self.flush_unwritten().await?;
        }
        Ok(())
    }

    async fn flush_unwritten(&mut self) -> io::Result<()> {
        let mut written = 0;
        while written < self.unwritten.len() {
            let unwritten = &self.unwritten[written..];
            let write = self.client.async_io(Interest::WRITABLE, || self.client.try_write(unwritten));
            written += timeout(PEER_IDLE_TIMEOUT, write).await.map_err(|_| io::ErrorKind::TimedOut)??;
        }
        self.unwritten.clear();
        Ok(())
    }
}

/// Appends `data` to `out`, as a chunk if the client receives chunked encoding.
fn append_framed(out: &mut Vec<u8>, chunked: bool, data: &[u8]) {
    if chunked {
        out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    }
    out.extend_from_slice(data);
    out.extend_from_slice(if chunked { b"\r\n" } else { b"" });
}
