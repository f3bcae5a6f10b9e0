//! A request body that is passed on to a node while the client is still sending it.
//!
//! The body is received ahead of the node, as far as the memory budget allows: while a node pauses, the client's last
//! byte would otherwise stay unread in the kernel, and the client's time would run out unnoticed. Where the budget is
//! used up, the stream tells until when the client had certainly not sent its last byte.

use crate::clients::body::{BodyBuffer, MAX_BODY_BYTES, MAX_RECEIVE_TIME};
use crate::clients::client_socket::ClientSocket;
use crate::clients::malformed::Malformed;
use crate::memory::budget::MemoryCharge;
use crate::memory::write_pacer::WritePacer;
use crate::process::clock::IdleTimer;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::cell::{Cell, RefCell};
use std::fs;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::OnceLock;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500); // between two frames of a body
const DEFAULT_SEND_BUFFER_BYTES: u64 = 4 << 20; // Linux's default for the third value of `tcp_wmem`
const SEND_BUFFER_LIMITS: &str = "/proc/sys/net/ipv4/tcp_wmem";

/// A body between its client and its node.
pub struct RequestStream {
    pub content_length: Option<u64>,
    source: RefCell<Source>,
    client: ClientSocket,
    began_at: Instant,
    /// Latest time at which the client had certainly not sent its last byte.
    unfinished_at: Cell<Instant>,
    is_taken: Cell<bool>,
    error: Cell<Option<Malformed>>,
    /// Paces what is written to the node.
    pacer: WritePacer,
    _charge: MemoryCharge,
}

/// The receiving side of a body.
struct Source {
    buffer: BodyBuffer,
    /// Received after what is in `buffer`.
    next: Bytes,
    /// None once the body has ended or failed.
    incoming: Option<Incoming>,
    bytes_received: u64,
    has_failed: bool,
    idle_timer: IdleTimer,
    /// The task that receives ahead of the node, while there is one.
    receiver: Option<Waker>,
    /// The task that sends to the node, while it waits for data.
    sender: Option<Waker>,
}

impl Source {
    fn take_data(&mut self) -> Bytes {
        self.buffer.pop().unwrap_or_else(|| std::mem::take(&mut self.next))
    }

    fn wake_sender(&mut self) {
        self.sender.take().into_iter().for_each(Waker::wake);
    }

    /// Moves what was received last into the buffer; returns whether it did fit.
    fn buffer_next(&mut self, content_length: Option<u64>) -> bool {
        self.buffer.push(&mut self.next, content_length)
    }

    fn is_empty(&self) -> bool {
        self.buffer.is_empty() && self.next.is_empty()
    }
}

impl RequestStream {
    /// A body of which `buffer` and then `next`, in all `bytes_received` bytes, were received.
    pub fn new(
        buffer: BodyBuffer,
        next: Bytes,
        incoming: Incoming,
        content_length: Option<u64>,
        bytes_received: u64,
        client: ClientSocket,
        charge: MemoryCharge,
    ) -> Self {
        let source = Source {
            buffer,
            next,
            incoming: Some(incoming),
            bytes_received,
            has_failed: false,
            idle_timer: IdleTimer::new(CLIENT_IDLE_TIMEOUT),
            receiver: None,
            sender: None,
        };
        let now = Instant::now();
        RequestStream {
            content_length,
            source: RefCell::new(source),
            client,
            began_at: now,
            unfinished_at: Cell::new(now),
            is_taken: Cell::new(false),
            error: Cell::new(None),
            pacer: WritePacer::default(),
            _charge: charge,
        }
    }

    /// Marks the body as taken by an attempt; false if an earlier one has taken it.
    pub fn take_for_attempt(&self) -> bool {
        !self.is_taken.replace(true)
    }

    /// Why receiving the body failed, if it did.
    pub fn take_error(&self) -> Option<Malformed> {
        self.error.take()
    }

    /// Whether all of the body was received and passed on.
    pub fn is_end(&self) -> bool {
        let source = self.source.borrow();
        source.is_empty() && !source.has_failed && source.incoming.is_none()
    }

    /// Latest time at which the client had certainly not sent its last byte; from then on its time may be running.
    pub fn unfinished_at(&self) -> Instant {
        let source = self.source.borrow();
        self.record_unfinished(&source);
        // A client that sends for longer than any body takes gets its answer all the same.
        self.unfinished_at.get().min(self.began_at + MAX_RECEIVE_TIME)
    }

    /// Records that the client is still sending, if that is certain: all that arrived was received, or more is missing
    /// than the client's kernel can hold for it.
    fn record_unfinished(&self, source: &Source) {
        if source.incoming.is_none() {
            return;
        }
        let unread = self.client.unread_bytes();
        let missing = self.content_length.map_or(0, |length| length.saturating_sub(source.bytes_received));
        if unread == 0 || missing > unread.saturating_add(max_send_buffer_bytes()) {
            self.unfinished_at.set(Instant::now());
        }
    }

    /// Receives the body ahead of the node, as far as the budget allows; never completes.
    pub async fn receive_ahead(&self) {
        let _receiver = Receiver(self);
        poll_fn(|cx| {
            let mut source = self.source.borrow_mut();
            self.poll_receive(&mut source, cx);
            source.receiver = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Receives until the budget is used up, nothing more has arrived or the body is over.
    fn poll_receive(&self, source: &mut Source, cx: &mut Context<'_>) {
        while source.next.is_empty() || source.buffer_next(self.content_length) {
            let Some(incoming) = source.incoming.as_mut() else { return };
            match Pin::new(&mut *incoming).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let is_last = incoming.is_end_stream();
                    source.idle_timer.reset();
                    source.bytes_received += data.len() as u64;
                    if source.bytes_received > MAX_BODY_BYTES {
                        self.fail(source, Malformed::BodyTooLong);
                    } else {
                        source.next = data;
                    }
                    if is_last {
                        source.incoming = None;
                    }
                }
                Poll::Ready(Some(Err(_))) => self.fail(source, Malformed::InvalidBody),
                Poll::Ready(None) => source.incoming = None,
                Poll::Pending => {
                    self.record_unfinished(source);
                    if source.idle_timer.poll(cx).is_pending() {
                        return;
                    }
                    self.fail(source, Malformed::BodyTimeout);
                }
            }
            source.wake_sender();
        }
    }

    fn fail(&self, source: &mut Source, reason: Malformed) {
        (source.incoming, source.has_failed) = (None, true);
        self.error.set(Some(reason));
    }

    /// The next part of the body, for its node.
    pub fn poll_data(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let mut source = self.source.borrow_mut();
        if source.is_empty() && source.receiver.is_none() {
            self.poll_receive(&mut source, cx);
        }
        if source.has_failed {
            let error = io::Error::other("the client's request body is incomplete or invalid");
            return Poll::Ready(Some(Err(error)));
        }
        if self.pacer.poll_written(cx).is_pending() {
            return Poll::Pending;
        }
        let data = source.take_data();
        if !data.is_empty() {
            source.receiver.iter().for_each(Waker::wake_by_ref);
            return Poll::Ready(Some(Ok(self.pacer.track(data))));
        }
        if source.incoming.is_none() {
            return Poll::Ready(None);
        }
        source.sender = Some(cx.waker().clone());
        Poll::Pending
    }
}

/// Marks a stream as being received ahead; once dropped, the task that sends to the node receives.
struct Receiver<'a>(&'a RequestStream);

impl Drop for Receiver<'_> {
    fn drop(&mut self) {
        let mut source = self.0.source.borrow_mut();
        source.receiver = None;
        source.wake_sender();
    }
}

/// The most that a client's kernel holds of what the client has written and we have not received. Clients run on this
/// machine, or on one with the same limits.
fn max_send_buffer_bytes() -> u64 {
    static BYTES: OnceLock<u64> = OnceLock::new();
    *BYTES.get_or_init(|| {
        let limits = fs::read_to_string(SEND_BUFFER_LIMITS).unwrap_or_default();
        let maximum = limits.split_whitespace().nth(2).and_then(|bytes| bytes.parse().ok());
        maximum.unwrap_or(DEFAULT_SEND_BUFFER_BYTES).max(DEFAULT_SEND_BUFFER_BYTES)
    })
}
