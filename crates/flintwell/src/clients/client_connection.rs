//! State of one client connection: what it is doing, its time limits, and how it is closed.

use crate::clients::connection_table::{ConnectionTable, IdleKey, Received};
use crate::clients::framing::RequestScanner;
use crate::nodes::response_body::ResponseStream;
use crate::process::clock::PEER_IDLE_TIMEOUT;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::Shutdown;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

// From the accept, or from the first byte of a request head, to the end of the head.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_400);
// For a client to close its side after we have closed ours.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
// Within this time a written response has reached its client.
const MAX_DELIVERY_TIME: Duration = Duration::from_millis(900);
const MAX_LINGER_BYTES: usize = 262_144; // discarded while lingering; more than clients have in flight
const LINGER_READ_BYTES: usize = 4_096; // discarded at once
// Connections that linger at once; bounded, so that a flood of clients cannot hold more descriptors this way.
const MAX_LINGERING: usize = 128;

/// State of one client connection.
pub struct ClientConnection {
    pub table: Rc<ConnectionTable>,
    /// Its key in the table of idle connections, while it is idle.
    pub idle: Cell<Option<IdleKey>>,
    /// Since when the end of a request head is awaited.
    pub head_awaited_since: Cell<Option<Instant>>,
    /// Bytes were read since the last request.
    pub has_read: Cell<bool>,
    /// Notified when this connection is evicted.
    pub evict: Rc<Notify>,
    /// Determines the framing of its requests from the raw bytes.
    pub scanner: RefCell<RequestScanner>,
    /// Since when writes to the client have been blocked.
    pub write_blocked_since: Cell<Option<Instant>>,
    /// The response was passed to the connection and is not written completely yet.
    pub flush_pending: Cell<bool>,
    /// When the last response was written completely.
    pub response_written_at: Cell<Option<Instant>>,
    /// Evicted to make room for a new connection.
    pub is_evicted: Cell<bool>,
    pub stream: Rc<TcpStream>,
    /// The streamed response in progress; `stream_started` is notified when one starts.
    pub streamed_response: RefCell<Option<Rc<ResponseStream>>>,
    pub stream_started: Notify,
    /// The client accepts chunked responses (HTTP/1.1).
    pub accepts_chunked: Cell<bool>,
    /// Set once the response is being handed over: collects what the connection would have written.
    pub unwritten: RefCell<Option<Vec<u8>>>,
}

impl ClientConnection {
    pub fn mark_busy(&self) {
        self.head_awaited_since.set(None);
        self.flush_pending.set(false);
        self.streamed_response.take();
        self.idle.take().map(|key| self.table.idle.borrow_mut().remove(&key));
    }
    pub fn mark_idle(&self, received: Received, grace: Duration) {
        let key = (received, Instant::now() + grace, self.table.next_sequence.get());
        self.table.next_sequence.set(key.2 + 1);
        self.table.idle.borrow_mut().insert(key, self.evict.clone());
        self.idle.set(Some(key));
    }
    /// Records that bytes were read: an idle connection now has an incomplete head.
    pub fn on_bytes_read(&self) {
        self.has_read.set(true);
        let Some(key) = self.idle.get().filter(|key| key.0 != Received::PartialHead) else { return };
        let (now, since) = (Instant::now(), self.head_awaited_since.get());
        self.mark_busy();
        self.head_awaited_since.set(since.or(Some(now)));
        self.mark_idle(Received::PartialHead, key.1.saturating_duration_since(now));
    }
    pub fn is_idle_after(&self, received: Received) -> bool {
        self.idle.get().is_some_and(|key| key.0 == received)
    }
    /// Completes once the end of a request head is overdue. Without this limit a connection that sends nothing, or
    /// never completes a head, would be kept as long as one in use.
    pub async fn head_timeout(&self) {
        loop {
            let since = self.head_awaited_since.get();
            let remaining = since.map_or(HEAD_TIMEOUT, |since| HEAD_TIMEOUT.saturating_sub(since.elapsed()));
            if remaining.is_zero() {
                return;
            }
            tokio::time::sleep(remaining).await;
        }
    }
    /// Completes once a streamed response is in progress.
    pub async fn stream_start(&self) {
        while self.streamed_response.borrow().is_none() {
            self.stream_started.notified().await;
        }
    }
    /// Closes the connection once nothing else reads from it or writes to it. Closing a socket with unread bytes resets
    /// the connection, and the client may lose the end of the response. So our side is shut down first, and what the
    /// client still sends is read and discarded for a short time (lingering close).
    pub async fn close(&self) {
        if self.unwritten.borrow().is_some() {
            // The socket was handed over.
            return;
        }
        let socket = SockRef::from(&*self.stream);
        let is_truncated = self.streamed_response.borrow().as_ref().is_some_and(|response| {
            response.is_truncated() && !response.has_known_length && !self.accepts_chunked.get()
        });
        if is_truncated {
            // Where the end of the connection marks the end of the body, a clean close would make a truncated response
            // look complete. So the connection is reset. An error here means that it is broken already.
            let _ = socket.set_linger(Some(Duration::ZERO));
            return;
        }
        // A closing connection left in the table would be chosen for eviction instead of one that can make room.
        self.idle.take().map(|key| self.table.idle.borrow_mut().remove(&key));
        // Nothing can be lost if no response was written recently. An evicted connection does not linger either: it
        // would hold its permit meanwhile.
        let recently_written = !self.is_evicted.get()
            && self.response_written_at.get().is_some_and(|at| at.elapsed() < MAX_DELIVERY_TIME);
        let too_many = self.table.lingering_count.get() >= MAX_LINGERING;
        if socket.shutdown(Shutdown::Write).is_err() || !recently_written || too_many {
            return;
        }
        self.table.lingering_count.set(self.table.lingering_count.get() + 1);
        let discard_input = async {
            let (mut remaining, mut discarded) = (MAX_LINGER_BYTES, vec![0; LINGER_READ_BYTES]);
            while remaining > 0 && self.stream.readable().await.is_ok() {
                match self.stream.try_read(&mut discarded) {
                    Ok(0) => return,
                    Ok(bytes) => remaining = remaining.saturating_sub(bytes),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
        };
        // A client that keeps its side open for longer is cut off.
        let _ = timeout(LINGER_TIMEOUT, discard_input).await;
        self.table.lingering_count.set(self.table.lingering_count.get() - 1);
    }
    /// Keeps reading a streamed response ahead of the client; never completes.
    pub async fn read_ahead(&self) {
        poll_fn(|cx| {
            self.streamed_response.borrow().iter().for_each(|response| response.poll_read_ahead(cx));
            Poll::Pending
        })
        .await
    }
    /// Records a write to the client, and since when writes are blocked.
    pub fn record_write(&self, is_blocked: bool) {
        let since = self.write_blocked_since.get().or_else(|| Some(Instant::now()));
        self.write_blocked_since.set(since.filter(|_| is_blocked));
    }
    /// Completes once writes to the client have been blocked for too long.
    pub async fn write_timeout(&self) {
        while self.write_blocked_since.get().is_none_or(|since| since.elapsed() < PEER_IDLE_TIMEOUT) {
            tokio::time::sleep(PEER_IDLE_TIMEOUT / 8).await;
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.mark_busy();
        self.table.open_count.set(self.table.open_count.get() - 1);
    }
}
