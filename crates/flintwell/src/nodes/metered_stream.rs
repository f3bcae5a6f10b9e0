//! The byte stream below the HTTP client: write progress of the current request, and which exchange the bytes
//! read belong to.

use crate::clients::body::UpstreamBody;
use crate::clients::framing::{BodyDecoder, ResponseScanner};
use crate::nodes::exchange_error::FailureCause;
use crate::nodes::reuse::{Doubt, ExcessBytes, Peer, Unusable};
use crate::nodes::stream::SharedStream;
use crate::process::counter::{Counter, increment};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// The exchanges on one connection, as the bytes read from it show them.
pub struct ExchangeRecord {
    peer: Peer,
    opened_at: Instant,
    scanner: RefCell<ResponseScanner>,
    /// Number of exchanges begun.
    count: Cell<u32>,
    is_in_progress: Cell<bool>,
    /// When the most recent response ended.
    ended_at: Cell<Option<Instant>>,
    /// When the response before the current exchange ended.
    previous_ended_at: Cell<Option<Instant>>,
    /// Bytes arrived that belong to no response.
    has_excess: Cell<bool>,
    excess_arrived: Notify,
    /// The response in progress began before its request was written whole.
    is_early: Cell<bool>,
}

/// How much of the current request is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    Nothing,
    Part,
    Whole,
}

impl ExchangeRecord {
    /// The record of a connection that was just opened.
    pub fn new(peer: Peer) -> Self {
        ExchangeRecord {
            peer,
            opened_at: Instant::now(),
            scanner: RefCell::default(),
            count: Cell::new(0),
            is_in_progress: Cell::new(false),
            ended_at: Cell::new(None),
            previous_ended_at: Cell::new(None),
            has_excess: Cell::new(false),
            excess_arrived: Notify::new(),
            is_early: Cell::new(false),
        }
    }

    /// The next exchange begins.
    pub fn begin(&self) {
        if self.count.get() > 0 {
            self.peer.monitor.on_reused();
        }
        self.scanner.replace(ResponseScanner::default());
        self.count.set(self.count.get() + 1);
        self.is_in_progress.set(true);
        self.is_early.set(false);
        self.previous_ended_at.set(self.ended_at.get());
    }

    /// Whether an exchange has begun whose response was not received whole.
    pub fn is_in_progress(&self) -> bool {
        self.is_in_progress.get()
    }

    /// The response was received whole.
    pub fn end(&self) {
        self.is_in_progress.set(false);
        self.ended_at.set(Some(Instant::now()));
    }

    /// The idle connection can't be used again.
    pub fn record_unusable(&self, idle: Duration, reason: Unusable) {
        self.peer.monitor.on_unusable(&self.peer.name, idle, reason);
    }

    /// Bytes have arrived on the idle connection, and are not read.
    pub fn on_unread(&self, bytes: usize) {
        self.record_excess(bytes, self.idle_time());
    }

    fn idle_time(&self) -> Duration {
        self.ended_at.get().map_or(Duration::ZERO, |ended_at| ended_at.elapsed())
    }

    /// Bytes were read from the connection.
    fn on_bytes(&self, bytes: &[u8], written: Written) {
        if bytes.is_empty() {
            return;
        }
        if !self.is_in_progress.get() || written == Written::Nothing {
            return self.record_excess(bytes.len(), self.idle_time());
        }
        let excess = self.scanner.borrow_mut().scan(bytes);
        let has_begun = self.scanner.borrow().has_head();
        self.is_early.set(self.is_early.get() || has_begun && written == Written::Part);
        if excess > 0 {
            self.record_excess(excess, Duration::ZERO);
        }
    }

    fn record_excess(&self, bytes: usize, lateness: Duration) {
        if self.has_excess.replace(true) {
            return;
        }
        self.excess_arrived.notify_one();
        self.peer.on_excess(&ExcessBytes {
            bytes,
            lateness,
            connection_age: self.opened_at.elapsed(),
            exchanges: self.count.get(),
        });
    }

    /// Whether bytes have arrived that belong to no response.
    pub fn has_excess(&self) -> bool {
        self.has_excess.get()
    }

    /// Waits until bytes arrive that belong to no response.
    pub async fn excess(&self) {
        while !self.has_excess() {
            self.excess_arrived.notified().await;
        }
    }

    /// How long after the end of the previous response the current one began; none for the first one.
    pub fn lateness(&self) -> Option<Duration> {
        Some(self.first_byte_at()?.duration_since(self.previous_ended_at.get()?))
    }

    /// Whether the response began before its request was written whole, on a connection that had carried
    /// another request before.
    pub fn is_early(&self) -> bool {
        self.is_early.get() && self.count.get() > 1
    }

    /// The response is not accepted as that to the current request.
    pub fn record_doubt(&self, doubt: Doubt) {
        self.peer.on_doubt(doubt, self.lateness().unwrap_or_default());
    }

    /// The other end of the connection.
    pub fn peer(&self) -> &Peer {
        &self.peer
    }

    /// Stops reading from the connection.
    pub fn halt(&self) {
        self.scanner.borrow_mut().halted = true;
    }

    /// Whether reading was stopped.
    pub fn is_halted(&self) -> bool {
        self.scanner.borrow().halted
    }

    /// The number of bytes read of the response's body and the framing of the rest, if that is known.
    pub fn body_progress(&self) -> Option<(u64, BodyDecoder)> {
        let scanner = self.scanner.borrow();
        scanner.decoder.map(|decoder| (scanner.body_bytes, decoder))
    }

    /// When the first byte of the most recent response was read.
    pub fn first_byte_at(&self) -> Option<Instant> {
        self.scanner.borrow().first_byte_at
    }
}

/// A stream that counts the bytes written, which shows whether an exchange has begun, and attributes what is
/// read to the exchanges.
pub struct MeteredStream {
    pub stream: SharedStream,
    pub bytes_written: Rc<Cell<u64>>,
    pub message: Rc<OutgoingMessage>,
    pub exchanges: Rc<ExchangeRecord>,
}

/// Write progress of the request of the current exchange.
#[derive(Default)]
pub struct OutgoingMessage {
    /// Number of bytes written to the connection before this message.
    pub first_byte: Cell<u64>,
    /// The last byte of the body was handed to the HTTP connection.
    pub is_body_done: Cell<bool>,
    /// The last byte was written to the socket.
    pub is_written: Cell<bool>,
    /// The node does not process the message before its last byte, which is held back until the rest was sent.
    pub is_long: Cell<bool>,
    /// Incremented once the message is written whole.
    pub written_counter: Cell<Option<Counter>>,
    /// Called once the first bytes are written.
    pub on_first_write: Cell<Option<Box<dyn FnOnce()>>>,
    /// Called before the last byte of a long message is written.
    pub last_byte_check: Cell<Option<LastByteCheck>>,
    /// Why the last byte was not written, if that check has failed.
    pub refused_because: Cell<Option<FailureCause>>,
}

/// Returns the reason if the last byte of a message may not be written now.
pub type LastByteCheck = Box<dyn Fn() -> Result<(), FailureCause>>;

/// A request body that records when its last byte was handed out.
pub struct TrackedBody {
    pub body: UpstreamBody,
    pub message: Rc<OutgoingMessage>,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        self.message.is_body_done.set(matches!(polled, Poll::Ready(None)) || self.body.is_end_stream());
        polled
    }
    fn is_end_stream(&self) -> bool {
        let ended = self.body.is_end_stream();
        self.message.is_body_done.set(ended);
        ended
    }
    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl OutgoingMessage {
    /// Whether what is queued ends with the last byte of a long message.
    fn holds_back_last_byte(&self) -> bool {
        self.is_long.get() && self.is_body_done.get()
    }

    /// How much of `buf`, which follows what was written so far, may be written now. The last byte of a long message is
    /// written by itself, which the kernel accepts only once the rest was sent, and if its check passes.
    fn permitted_part<'a>(&self, buf: &'a [u8]) -> io::Result<&'a [u8]> {
        match buf.split_last() {
            Some((_, rest)) if self.holds_back_last_byte() => {
                if rest.is_empty() {
                    self.check_last_byte().map(|()| buf)
                } else {
                    Ok(rest)
                }
            }
            _ => Ok(buf),
        }
    }

    fn check_last_byte(&self) -> io::Result<()> {
        let check = self.last_byte_check.take();
        let checked = check.as_ref().map_or(Ok(()), |check| check());
        self.last_byte_check.set(check);
        checked.map_err(|cause| {
            self.refused_because.set(Some(cause));
            io::Error::other("the last byte may not be sent")
        })
    }
}

/// The last buffer that is not empty, and those before it.
fn split_last_filled<'a, 'b>(bufs: &'a [IoSlice<'b>]) -> Option<(&'a IoSlice<'b>, &'a [IoSlice<'b>])> {
    let last = bufs.iter().rposition(|buf| !buf.is_empty())?;
    Some((&bufs[last], &bufs[..last]))
}

impl MeteredStream {
    fn record_write(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = polled {
            self.bytes_written.set(self.bytes_written.get() + bytes as u64);
            if let Some(on_first_write) = self.message.on_first_write.take() {
                on_first_write();
            }
        }
        polled
    }

    fn written(&self) -> Written {
        match self.message.is_written.get() {
            true => Written::Whole,
            false if self.bytes_written.get() > self.message.first_byte.get() => Written::Part,
            false => Written::Nothing,
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.exchanges.is_halted() {
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.exchanges.on_bytes(&buf.filled()[before..], self.written());
        read
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let message = self.message.clone();
        let polled = Pin::new(&mut self.stream).poll_write(cx, message.permitted_part(buf)?);
        self.record_write(polled)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Some((last, before)) = split_last_filled(bufs) else { return self.poll_write(cx, &[]) };
        let message = self.message.clone();
        let is_alone = before.iter().all(|buf| buf.is_empty());
        let polled = match message.holds_back_last_byte() {
            false => Pin::new(&mut self.stream).poll_write_vectored(cx, bufs),
            true if is_alone => return self.poll_write(cx, last),
            true => {
                let permitted = &last[..last.len() - 1];
                let parts: Vec<IoSlice> =
                    before.iter().map(|buf| IoSlice::new(buf)).chain([IoSlice::new(permitted)]).collect();
                Pin::new(&mut self.stream).poll_write_vectored(cx, &parts)
            }
        };
        self.record_write(polled)
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    /// Called by hyper once everything that was queued so far is written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.message.is_body_done.get() && !self.message.is_written.replace(true) {
            self.message.written_counter.take().inspect(|count| increment(count));
        }
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
