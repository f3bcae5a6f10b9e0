//! One HTTP/1.1 connection to a cache node, the origin or discovery: one exchange at a time, nothing is
//! retried here.

use crate::clients::body::UpstreamBody;
use crate::clients::framing::BodyDecoder;
use crate::nodes::exchange_error::{
    ExchangeError, FailureCause, Stage, connect_failure_cause, exchange_failure_cause,
};
use crate::nodes::metered_stream::{
    ExchangeRecord, LastByteCheck, MeteredStream, OutgoingMessage, TrackedBody,
};
use crate::nodes::receive_body::{BodyLimits, ReceivedBody, receive_body};
use crate::nodes::rest_policy::{DOUBT_WINDOW, ResponseDigest, ResponseHistory, is_distinct};
use crate::nodes::reuse::{Doubt, Peer, Unusable};
use crate::nodes::stream::SharedStream;
use crate::process::counter::Counter;
use bytes::Bytes;
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::Cell;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::task::AbortHandle;
use tokio::time::timeout;

const PEEKED_BYTES: usize = 64; // enough to tell some bytes from none, and roughly how many
/// A longer body is never written together with its head.
pub const MAX_SHORT_BODY_BYTES: u64 = 65_536;
const UNSENT_LOW_WATERMARK_BYTES: u32 = 1; // the kernel accepts more once it holds fewer unsent bytes

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0); // of a connection

/// How far an exchange has come on its connection; still readable after the exchange was dropped.
#[derive(Default)]
pub struct Progress {
    /// The connection's counter of written bytes, and its value when the exchange began.
    baseline: Cell<Option<(Rc<Cell<u64>>, u64)>>,
    /// Set for a long message, which the node does not process before its last byte.
    long_message: Cell<Option<Rc<OutgoingMessage>>>,
    /// Incremented once the message is written whole.
    written_counter: Option<Counter>,
    /// Called once the first bytes are written.
    on_first_write: Cell<Option<Box<dyn FnOnce()>>>,
    /// Called before the last byte of a long message is written.
    last_byte_check: Cell<Option<LastByteCheck>>,
    /// A response of unknown length has begun and is held back to see whether it is short.
    pub is_held: Cell<bool>,
    /// Ends that hold.
    pub release: Notify,
}

impl Progress {
    /// Releases a held response; true if there is one.
    pub fn release_held(&self) -> bool {
        self.release.notify_one();
        self.is_held.get()
    }

    /// Progress that increments `written_counter` once the message is written whole.
    pub fn with_counter(written_counter: &Counter) -> Self {
        Progress { written_counter: Some(written_counter.clone()), ..Progress::default() }
    }

    /// Sets a callback for when the first bytes of the message are written.
    pub fn set_on_first_write(&self, callback: impl FnOnce() + 'static) {
        self.on_first_write.set(Some(Box::new(callback)));
    }

    /// Number of bytes of the message that were written.
    pub fn bytes_written(&self) -> u64 {
        let baseline = self.baseline.take();
        let bytes = baseline.as_ref().map_or(0, |(written, before)| written.get().saturating_sub(*before));
        self.baseline.set(baseline);
        bytes
    }

    /// Sets a check that has to pass before the last byte of a long message is written.
    pub fn set_last_byte_check(&self, check: impl Fn() -> Result<(), FailureCause> + 'static) {
        self.last_byte_check.set(Some(Box::new(check)));
    }

    /// The stage that the exchange has reached.
    pub fn stage(&self) -> Stage {
        let begun = self.bytes_written() > 0;
        let long_message = self.long_message.take();
        let begun = begun && long_message.as_ref().is_none_or(|message| message.is_written.get());
        self.long_message.set(long_message);
        if begun { Stage::Written } else { Stage::Unwritten }
    }

    /// A failure of the exchange at its current stage.
    pub fn error(&self, cause: FailureCause) -> ExchangeError {
        ExchangeError { stage: self.stage(), cause }
    }
}

/// The response to an exchange.
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: ReceivedBody,
}

/// An open connection; dropping it closes it.
pub struct Connection {
    sender: SendRequest<TrackedBody>,
    /// Owned by the driver task. Danger: a strong reference would keep the descriptor of a closed connection
    /// open after its permit was returned, so that the process holds more descriptors than permits.
    stream: Weak<TcpStream>,
    bytes_written: Rc<Cell<u64>>,
    message: Rc<OutgoingMessage>,
    exchanges: Rc<ExchangeRecord>,
    driver: AbortHandle,
    history: ResponseHistory,
    /// Number of the connection within this process.
    number: u64,
    /// Tells which process of its node the connection leads to; set by the pool.
    pub generation: u64,
    pub idle_since: Instant,
}

impl Connection {
    /// Opens a connection whose read buffer has at most this many bytes; `permit` is returned when its socket is closed.
    pub async fn dial(
        addr: SocketAddr,
        peer: Peer,
        max_read_buffer_bytes: usize,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<Self, ExchangeError> {
        let closed =
            |error: &dyn fmt::Display| ExchangeError::before_write(FailureCause::Closed(error.to_string()));
        let stream = TcpStream::connect(addr)
            .await
            .map_err(|e| ExchangeError::before_write(connect_failure_cause(&e)))?;
        stream.set_nodelay(true).map_err(|e| closed(&e))?;
        peer.monitor.on_opened();
        let (stream, bytes_written) = (Rc::new(stream), Rc::new(Cell::new(0)));
        let weak_stream = Rc::downgrade(&stream);
        let message = Rc::<OutgoingMessage>::default();
        let exchanges = Rc::new(ExchangeRecord::new(peer));
        let metered = MeteredStream {
            stream: SharedStream(stream),
            bytes_written: bytes_written.clone(),
            message: message.clone(),
            exchanges: exchanges.clone(),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(max_read_buffer_bytes)
            .handshake(TokioIo::new(metered))
            .await
            .map_err(|e| closed(&e))?;
        // Boxed: the task would hold a second copy of it.
        let connection = Box::pin(connection);
        let driver = tokio::task::spawn_local(async move {
            // The result of an exchange is reported to the caller that waits for it.
            let _ = connection.await;
            drop(permit);
        });
        Ok(Connection {
            sender,
            stream: weak_stream,
            bytes_written,
            message,
            exchanges,
            driver: driver.abort_handle(),
            history: ResponseHistory::default(),
            number: NEXT_NUMBER.fetch_add(1, Ordering::Relaxed),
            generation: 0,
            idle_since: Instant::now(),
        })
    }

    /// Waits until the previous exchange is over; returns the connection if it can take another one.
    pub async fn ready(mut self) -> Option<Self> {
        match self.check_ready().await {
            Ok(()) => Some(self),
            Err(reason) => {
                self.exchanges.record_unusable(self.idle_since.elapsed(), reason);
                None
            }
        }
    }

    async fn check_ready(&mut self) -> Result<(), Unusable> {
        let is_ready = self.sender.ready().await.is_ok();
        if self.exchanges.has_excess() {
            return Err(Unusable::Excess);
        }
        if !is_ready {
            return Err(Unusable::Closed);
        }
        let stream = self.stream.upgrade().ok_or(Unusable::Closed)?;
        // Danger: bytes that a node sent after its last response would be read as the response to the next
        // request; and a connection closed by the node accepts no further request.
        match SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit(); PEEKED_BYTES]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Ok(bytes) if bytes > 0 => {
                self.exchanges.on_unread(bytes);
                Err(Unusable::Excess)
            }
            _ => Err(Unusable::Closed),
        }
    }

    /// The response was received whole, so the connection is idle from now on. Danger: bytes of a response that
    /// was not received whole would pass for excess ones.
    pub fn end_exchange(&mut self) {
        self.exchanges.end();
        self.idle_since = Instant::now();
    }

    /// Whether the response is a copy of an earlier one on this connection, made for another request. If it is not, it
    /// is remembered.
    pub fn is_copy(&mut self, path: &Uri, body: &Bytes) -> bool {
        if !is_distinct(body) {
            return false;
        }
        let response = ResponseDigest { body: hash_of(body), path: hash_of(path) };
        let monitor = &self.exchanges.peer().monitor;
        if monitor.is_copy(response, &self.history) {
            return true;
        }
        monitor.record_body(response, self.number);
        self.history.push(response, Instant::now());
        false
    }

    /// Whether the response came so soon after the previous one that it may be a second response to the request
    /// before.
    pub fn is_doubtful(&self) -> bool {
        self.exchanges.lateness().is_some_and(|lateness| lateness < DOUBT_WINDOW)
    }

    /// Whether another response follows the current one, which was received whole, within the time in which second
    /// responses are expected.
    pub async fn is_followed(&mut self) -> bool {
        let window = DOUBT_WINDOW.saturating_sub(self.exchanges.lateness().unwrap_or(DOUBT_WINDOW));
        self.end_exchange();
        timeout(window, self.exchanges.excess()).await.is_ok()
    }

    /// Rejects the response to the current exchange; returns the error for it.
    pub fn reject(&self, doubt: Doubt, stage: Stage) -> ExchangeError {
        self.exchanges.record_doubt(doubt);
        ExchangeError { stage, cause: FailureCause::InvalidResponse(doubt.to_string()) }
    }

    /// The other end.
    pub fn peer(&self) -> &Peer {
        self.exchanges.peer()
    }

    /// Whether nothing was ever sent on it.
    pub fn is_unused(&self) -> bool {
        self.bytes_written.get() == 0
    }

    /// Whether the connection no longer accepts requests.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Stops reading from the connection.
    pub fn halt(&self) {
        self.exchanges.halt();
    }

    /// Whether reading was stopped.
    pub fn is_halted(&self) -> bool {
        self.exchanges.is_halted()
    }

    /// The number of bytes read of the response's body and the framing of the rest, if that is known.
    pub fn body_progress(&self) -> Option<(u64, BodyDecoder)> {
        self.exchanges.body_progress()
    }

    /// When the first byte of the most recent response was read.
    pub fn first_byte_at(&self) -> Option<Instant> {
        self.exchanges.first_byte_at()
    }

    /// The socket, for a process that takes over the rest of the response.
    pub fn socket(&self) -> Option<Rc<TcpStream>> {
        self.stream.upgrade()
    }

    /// Keeps the kernel from accepting bytes while it holds unsent ones, so that what was written is what the node has
    /// been sent. A node that reads slowly would otherwise get megabytes of a message that counts as written.
    fn limit_unsent_bytes(&self) {
        if let Some(stream) = self.stream.upgrade() {
            // Where the platform lacks the option, the message is sent all the same.
            let _ = SockRef::from(&*stream).set_tcp_notsent_lowat(UNSENT_LOW_WATERMARK_BYTES);
        }
    }

    /// Whether an exchange is in progress to which no byte of a response has come.
    fn awaits_response(&self) -> bool {
        self.exchanges.is_in_progress() && self.first_byte_at().is_none()
    }

    /// Sends the request and waits for the whole response, or for as much of a long one as shows that it is
    /// long.
    pub async fn exchange(
        &mut self,
        request: Request<UpstreamBody>,
        limits: &BodyLimits,
        progress: &Progress,
    ) -> Result<Reply, ExchangeError> {
        progress.baseline.set(Some((self.bytes_written.clone(), self.bytes_written.get())));
        self.exchanges.begin();
        self.message.first_byte.set(self.bytes_written.get());
        self.message.is_body_done.set(false);
        self.message.is_written.set(false);
        self.message.refused_because.set(None);
        let is_long = request.body().size_hint().exact().is_none_or(|length| length > MAX_SHORT_BODY_BYTES);
        self.message.is_long.set(is_long);
        if is_long {
            self.limit_unsent_bytes();
        }
        progress.long_message.set(is_long.then(|| self.message.clone()));
        self.message.written_counter.set(progress.written_counter.clone());
        self.message.on_first_write.set(progress.on_first_write.take());
        self.message.last_byte_check.set(progress.last_byte_check.take());
        let request = request.map(|body| TrackedBody { body, message: self.message.clone() });
        let message = self.message.clone();
        let failed = |error: hyper::Error| {
            progress.error(message.refused_because.take().unwrap_or_else(|| exchange_failure_cause(&error)))
        };
        let (head, body) = self.sender.send_request(request).await.map_err(failed)?.into_parts();
        if self.exchanges.is_early() {
            return Err(self.reject(Doubt::Early, progress.stage()));
        }
        let body = receive_body(body, limits, progress)
            .await
            .map_err(|cause| ExchangeError { stage: Stage::Written, cause })?;
        Ok(Reply { status: head.status, headers: head.headers, body })
    }
}

fn hash_of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Danger: after a plain close the kernel goes on sending what is queued, and the node would run a request that
        // was given up. A reset drops the queue.
        if self.awaits_response()
            && let Some(stream) = self.stream.upgrade()
        {
            // An error means that the connection is broken already.
            let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
        self.driver.abort();
    }
}
