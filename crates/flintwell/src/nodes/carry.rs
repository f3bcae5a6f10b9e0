//! The rest of a long answer, from its node to its client byte by byte, whichever process has them now.

use crate::clients::framing::BodyDecoder;
use crate::process::clock::PEER_STALL;
use socket2::SockRef;
use std::fs::File;
use std::io::{self, Read};
use std::net::Shutdown;
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;

const PIECE: usize = 32_768; // bytes read at once; some dozens of such answers share our memory

/// A connection to a node, and how what it still brings comes.
pub type Rest = (Rc<TcpStream>, BodyDecoder);

/// A long answer cut off between two bytes.
pub struct Carry {
    pub client: Rc<TcpStream>,
    /// Framed for the client, and not written to it yet.
    pub unwritten: Vec<u8>,
    /// What has come behind that, as it is, and its length.
    pub kept: Option<(File, u64)>,
    /// The node and what it still gives; none where that has all come.
    pub rest: Option<Rest>,
    /// The client gets it in chunks, and its end if that is not among what is not written.
    pub chunked: bool,
    pub open: bool,
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
        if let Some((mut file, mut left)) = self.kept.take() {
            while left > 0 {
                // Kept in memory, whatever the system makes of it; reading it does not wait.
                let bytes = file.read(&mut piece)?;
                left = left
                    .checked_sub(bytes as u64)
                    .filter(|_| bytes > 0)
                    .ok_or(io::ErrorKind::UnexpectedEof)?;
                frame(&mut self.unwritten, self.chunked, &piece[..bytes]);
                self.write().await?;
            }
        }
        if let Some((node, coding)) = self.rest.take() {
            self.passes_node(&node, coding, &mut piece).await?;
        }
        self.unwritten.extend_from_slice(if self.chunked && self.open { b"0\r\n\r\n" } else { b"" });
        self.write().await
    }

    async fn passes_node(
        &mut self,
        node: &TcpStream,
        mut coding: BodyDecoder,
        piece: &mut [u8],
    ) -> io::Result<()> {
        while !coding.is_complete() {
            let read = node.async_io(Interest::READABLE, || node.try_read(piece));
            let bytes = timeout(PEER_STALL, read).await.map_err(|_| io::ErrorKind::TimedOut)??;
            if bytes == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let (out, chunked, mut came) = (&mut self.unwritten, self.chunked, 0);
            let well = coding.decode(&piece[..bytes], |data| {
                came += data.len() as u64;
                frame(out, chunked, data);
            });
            // Danger: an answer without end would be passed on for as long as its client reads.
            let left = self.left.checked_sub(came).filter(|_| well);
            self.left = left.ok_or(io::ErrorKind::InvalidData)?;
            self.write().await?;
        }
        Ok(())
    }

    async fn write(&mut self) -> io::Result<()> {
        let mut written = 0;
        while written < self.unwritten.len() {
            let unwritten = &self.unwritten[written..];
            let write = self.client.async_io(Interest::WRITABLE, || self.client.try_write(unwritten));
            written += timeout(PEER_STALL, write).await.map_err(|_| io::ErrorKind::TimedOut)??;
        }
        self.unwritten.clear();
        Ok(())
    }
}

fn frame(out: &mut Vec<u8>, chunked: bool, data: &[u8]) {
    if chunked {
        out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    }
    out.extend_from_slice(data);
    out.extend_from_slice(if chunked { b"\r\n" } else { b"" });
}
