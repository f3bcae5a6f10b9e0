//! The rest of a long answer, from its node to its client byte by byte, whichever process has them now.

use crate::framing::Coding;
use crate::relay::STALL;
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;

const PIECE: usize = 32_768; // bytes read at once; some dozens of such answers share our memory

/// A long answer cut off between two bytes.
pub struct Carry {
    pub client: Rc<TcpStream>,
    /// Framed for the client, and not written to it yet.
    pub unwritten: Vec<u8>,
    /// The node and what it still gives; none where that has all come.
    pub rest: Option<(Rc<TcpStream>, Coding)>,
    /// The client gets the rest in chunks.
    pub chunked: bool,
    /// Bytes that may still come.
    pub left: u64,
}

impl Carry {
    /// Passes on what is left; whether that was all.
    pub async fn pass_on(mut self) -> bool {
        let whole = self.passes().await.is_ok();
        // Danger: a client must not take a part for the whole, so its framing stays open then. What fails here is
        // a client that has left.
        let _ = SockRef::from(&*self.client).shutdown(Shutdown::Write);
        whole
    }

    async fn passes(&mut self) -> io::Result<()> {
        let mut piece = vec![0; PIECE];
        self.write().await?;
        let Some((node, mut coding)) = self.rest.take() else { return Ok(()) };
        while !coding.ended() {
            let read = node.async_io(Interest::READABLE, || node.try_read(&mut piece));
            let bytes = timeout(STALL, read).await.map_err(|_| io::ErrorKind::TimedOut)??;
            if bytes == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let (out, chunked, mut came) = (&mut self.unwritten, self.chunked, 0);
            let well = coding.read(&piece[..bytes], |data| {
                came += data.len() as u64;
                if chunked {
                    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
                }
                out.extend_from_slice(data);
                out.extend_from_slice(if chunked { b"\r\n" } else { b"" });
            });
            // Danger: an answer without end would be passed on for as long as its client reads.
            let left = self.left.checked_sub(came).filter(|_| well);
            self.left = left.ok_or(io::ErrorKind::InvalidData)?;
            self.write().await?;
        }
        self.unwritten.extend_from_slice(if self.chunked { b"0\r\n\r\n" } else { b"" });
        self.write().await
    }

    async fn write(&mut self) -> io::Result<()> {
        let mut written = 0;
        while written < self.unwritten.len() {
            let unwritten = &self.unwritten[written..];
            let write = self.client.async_io(Interest::WRITABLE, || self.client.try_write(unwritten));
            written += timeout(STALL, write).await.map_err(|_| io::ErrorKind::TimedOut)??;
        }
        self.unwritten.clear();
        Ok(())
    }
}
