//! A client's stream and the bodies written to it, which record in the connection's state what is read and written.

use crate::clients::client_connection::ClientConnection;
use crate::clients::connection_table::Received;
use crate::nodes::response_body::ResponseBody;
use crate::nodes::stream::SharedStream;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

// Idle time after a request before a connection is evicted, while few open connections are idle after a request.
const KEEP_ALIVE_GRACE: Duration = Duration::from_secs(1);

/// A response body; the client's connection counts as busy until the last byte is written.
pub struct TrackedBody {
    pub content: ResponseBody,
    pub client: Rc<ClientConnection>,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.content).poll_frame(cx)
    }
    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }
    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.client.flush_pending.set(true);
    }
}

/// A client's stream that records reads and writes in the connection's state.
pub struct TrackedStream {
    pub stream: SharedStream,
    pub client: Rc<ClientConnection>,
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.client.unwritten.borrow().is_some() {
            return Poll::Pending;
        }
        let filled_before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > filled_before {
            self.client.on_bytes_read();
        }
        self.client.scanner.borrow_mut().scan(&buf.filled()[filled_before..]);
        result
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if let Some(unwritten) = self.client.unwritten.borrow_mut().as_mut() {
            unwritten.extend_from_slice(buf);
            return Poll::Ready(Ok(buf.len()));
        }
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.client.record_write(result.is_pending());
        result
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        if let Some(unwritten) = self.client.unwritten.borrow_mut().as_mut() {
            let before = unwritten.len();
            bufs.iter().for_each(|buf| unwritten.extend_from_slice(buf));
            return Poll::Ready(Ok(unwritten.len() - before));
        }
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.client.record_write(result.is_pending());
        result
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    /// Called once everything so far has been written. Marking the connection idle any earlier would allow its
    /// eviction while a slow client has not read the end of the response, which would be lost.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        if self.client.flush_pending.take() {
            self.client.streamed_response.take();
            self.client.response_written_at.set(Some(Instant::now()));
            self.client.mark_idle(Received::Request, KEEP_ALIVE_GRACE);
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        // The task that takes over the response continues to write to this socket.
        if self.client.unwritten.borrow().is_some() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
