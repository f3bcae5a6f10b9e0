//! One HTTP/1.1 connection to a cache node, the origin or discovery: one exchange at a time, nothing is
//! retried here.

use crate::clients::body::UpstreamBody;
use crate::clients::framing::{BodyDecoder, ResponseScanner};
use crate::nodes::stream::SharedStream;
use crate::process::counter::{Counter, increment};
use bytes::{Bytes, BytesMut};
use flintwell_core::interface::AttemptStatus;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use rustix::io::Errno;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fmt;
use std::future::pending;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::task::AbortHandle;
use tokio::time::timeout;

const MAX_READ_BUFFER_BYTES: usize = 32_768; // for each of several hundred connections
const UNKNOWN_LENGTH_HOLD: Duration = Duration::from_millis(100); // for a response of unknown length to end
const MAX_SHORT_BODY_BYTES: u64 = 65_536; // a longer body is never written together with its head

/// How far an exchange had come when it failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// No connection, or no byte of this exchange written to it: the node has not run the request.
    #[default]
    Unwritten,
    /// A long request written whole, or a short one at least in part: the node may have run it.
    Written,
}

/// Why an exchange failed.
#[derive(Debug, PartialEq, Eq)]
pub enum FailureCause {
    TimedOut,
    Closed(String),
    /// The peer's response was malformed or not acceptable.
    InvalidResponse(String),
    /// The node was removed from the list, or began to drain, while the connection was being established.
    Unlisted,
    /// The process may not open a further connection: its limit on open sockets is reached.
    ConnectionLimit,
    /// An earlier attempt consumed the body, which is not buffered.
    BodyConsumed,
    /// The client has disconnected.
    ClientDisconnected,
    /// The attempt was chosen too long ago.
    Expired,
    /// The lease on the node list has lapsed.
    Lapsed,
    /// The remote host or the network path did not accept the connection.
    Unreachable(String),
    /// The local system had no socket, port, route or memory for a connection.
    LocalFault(String),
}

/// A failed exchange.
#[derive(Debug, PartialEq, Eq)]
pub struct ExchangeError {
    pub stage: Stage,
    pub cause: FailureCause,
}

impl ExchangeError {
    /// A failure before any byte of the request was written.
    pub fn before_write(cause: FailureCause) -> Self {
        ExchangeError { stage: Stage::Unwritten, cause }
    }

    /// The outcome that is reported for the attempt.
    pub fn status(&self) -> AttemptStatus {
        match (self.stage, &self.cause) {
            (
                Stage::Unwritten,
                FailureCause::Unlisted
                | FailureCause::ConnectionLimit
                | FailureCause::BodyConsumed
                | FailureCause::ClientDisconnected
                | FailureCause::Expired
                | FailureCause::Lapsed
                // Danger: a local fault reported as a failed connection would count against a healthy node.
                | FailureCause::LocalFault(_),
            ) => AttemptStatus::NotSent,
            (Stage::Unwritten, _) => AttemptStatus::ConnectFailed,
            (_, FailureCause::TimedOut) => AttemptStatus::TimedOut,
            (_, FailureCause::InvalidResponse(_)) => AttemptStatus::InvalidResponse,
            (
                _,
                FailureCause::Closed(_)
                | FailureCause::Unlisted
                | FailureCause::ConnectionLimit
                | FailureCause::BodyConsumed
                | FailureCause::ClientDisconnected
                | FailureCause::Expired
                | FailureCause::Lapsed
                | FailureCause::Unreachable(_)
                | FailureCause::LocalFault(_),
            ) => AttemptStatus::Reset,
        }
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let stage = match self.stage {
            Stage::Unwritten => "before the request was written",
            Stage::Written => "after the request was written",
        };
        match &self.cause {
            FailureCause::TimedOut => write!(f, "timed out {stage}"),
            FailureCause::Closed(why) => write!(f, "connection lost {stage}: {why}"),
            FailureCause::InvalidResponse(why) => write!(f, "invalid response: {why}"),
            FailureCause::Unlisted => write!(f, "node is no longer listed as ready"),
            FailureCause::ConnectionLimit => write!(f, "limit on open connections reached"),
            FailureCause::BodyConsumed => write!(f, "request body was consumed by an earlier attempt"),
            FailureCause::ClientDisconnected => write!(f, "client has disconnected"),
            FailureCause::Expired => write!(f, "attempt was chosen too long ago"),
            FailureCause::Lapsed => write!(f, "lease on the node list has lapsed"),
            FailureCause::Unreachable(why) => write!(f, "cannot connect: {why}"),
            FailureCause::LocalFault(why) => write!(f, "cannot connect because of a local fault: {why}"),
        }
    }
}

/// A stream that counts the bytes written, which shows whether an exchange has begun, and tracks the framing
/// of what is read.
struct MeteredStream {
    stream: SharedStream,
    bytes_written: Rc<Cell<u64>>,
    message: Rc<OutgoingMessage>,
    scanner: Rc<RefCell<ResponseScanner>>,
}

/// Write progress of the request of the current exchange.
#[derive(Default)]
struct OutgoingMessage {
    /// The last byte of the body was handed to the HTTP connection.
    is_body_done: Cell<bool>,
    /// The last byte was written to the socket.
    is_written: Cell<bool>,
    /// Incremented once the message is written whole.
    written_counter: Cell<Option<Counter>>,
    /// Called once the first bytes are written.
    on_first_write: Cell<Option<Box<dyn FnOnce()>>>,
}

/// A request body that records when its last byte was handed out.
struct TrackedBody {
    body: UpstreamBody,
    message: Rc<OutgoingMessage>,
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

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.scanner.borrow().halted {
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.scanner.borrow_mut().scan(&buf.filled()[before..]);
        read
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = polled {
            self.bytes_written.set(self.bytes_written.get() + bytes as u64);
            if let Some(on_first_write) = self.message.on_first_write.take() {
                on_first_write();
            }
        }
        polled
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
    /// A response of unknown length has begun and is held back to see whether it is short.
    is_held: Cell<bool>,
    /// Ends that hold.
    release: Notify,
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

    fn stage(&self) -> Stage {
        let baseline = self.baseline.take();
        let begun = baseline.as_ref().is_some_and(|(written, before)| written.get() > *before);
        self.baseline.set(baseline);
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

/// The body of a response, as far as it was waited for.
pub enum ReceivedBody {
    Whole(Bytes),
    /// The beginning of a long body, the stream of the rest, and the maximum number of bytes that may still
    /// come.
    Partial(Bytes, Incoming, u64),
}

/// An open connection; dropping it closes it.
pub struct Connection {
    sender: SendRequest<TrackedBody>,
    /// Owned by the driver task. Danger: a strong reference would keep the descriptor of a closed connection
    /// open after its permit was returned, so that the process holds more descriptors than permits.
    stream: Weak<TcpStream>,
    bytes_written: Rc<Cell<u64>>,
    message: Rc<OutgoingMessage>,
    scanner: Rc<RefCell<ResponseScanner>>,
    driver: AbortHandle,
    pub idle_since: Instant,
}

impl Connection {
    /// Opens a connection; `permit` is returned when its socket is closed.
    pub async fn dial(addr: SocketAddr, permit: Option<OwnedSemaphorePermit>) -> Result<Self, ExchangeError> {
        let closed =
            |error: &dyn fmt::Display| ExchangeError::before_write(FailureCause::Closed(error.to_string()));
        let stream = TcpStream::connect(addr)
            .await
            .map_err(|e| ExchangeError::before_write(connect_failure_cause(&e)))?;
        stream.set_nodelay(true).map_err(|e| closed(&e))?;
        let (stream, bytes_written) = (Rc::new(stream), Rc::new(Cell::new(0)));
        let weak_stream = Rc::downgrade(&stream);
        let message = Rc::<OutgoingMessage>::default();
        let scanner = Rc::<RefCell<ResponseScanner>>::default();
        let metered = MeteredStream {
            stream: SharedStream(stream),
            bytes_written: bytes_written.clone(),
            message: message.clone(),
            scanner: scanner.clone(),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(metered))
            .await
            .map_err(|e| closed(&e))?;
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
            scanner,
            driver: driver.abort_handle(),
            idle_since: Instant::now(),
        })
    }

    /// Waits until the previous exchange is over; returns the connection if it can take another one.
    pub async fn ready(mut self) -> Option<Self> {
        self.sender.ready().await.ok()?;
        // Danger: bytes that a node sent after its last response would be read as the response to the next
        // request; and a connection closed by the node accepts no further request.
        let peeked = SockRef::from(&*self.stream.upgrade()?).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock).then_some(self)
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
        self.scanner.borrow_mut().halted = true;
    }

    /// Whether reading was stopped.
    pub fn is_halted(&self) -> bool {
        self.scanner.borrow().halted
    }

    /// The number of bytes read of the response's body and the framing of the rest, if that is known.
    pub fn body_progress(&self) -> Option<(u64, BodyDecoder)> {
        let scanner = self.scanner.borrow();
        scanner.decoder.map(|coding| (scanner.body_bytes, coding))
    }

    /// When the first byte of the most recent response was read.
    pub fn first_byte_at(&self) -> Option<Instant> {
        self.scanner.borrow().first_byte_at
    }

    /// The socket, for a process that takes over the rest of the response.
    pub fn socket(&self) -> Option<Rc<TcpStream>> {
        self.stream.upgrade()
    }

    /// Sends the request and waits for the whole response, or for as much of a long one as shows that it is
    /// long.
    pub async fn exchange(
        &mut self,
        request: Request<UpstreamBody>,
        limits: BodyLimits,
        progress: &Progress,
    ) -> Result<Reply, ExchangeError> {
        progress.baseline.set(Some((self.bytes_written.clone(), self.bytes_written.get())));
        self.scanner.replace(ResponseScanner::default());
        self.message.is_body_done.set(false);
        self.message.is_written.set(false);
        let is_long = request.body().size_hint().exact().is_none_or(|length| length > MAX_SHORT_BODY_BYTES);
        progress.long_message.set(is_long.then(|| self.message.clone()));
        self.message.written_counter.set(progress.written_counter.clone());
        self.message.on_first_write.set(progress.on_first_write.take());
        let request = request.map(|body| TrackedBody { body, message: self.message.clone() });
        let failed = |error: hyper::Error| progress.error(exchange_failure_cause(&error));
        let (head, body) = self.sender.send_request(request).await.map_err(failed)?.into_parts();
        let body = receive_body(body, limits, progress)
            .await
            .map_err(|cause| ExchangeError { stage: Stage::Written, cause })?;
        self.idle_since = Instant::now();
        Ok(Reply { status: head.status, headers: head.headers, body })
    }
}

/// Size limits of a response body.
#[derive(Clone, Copy)]
pub struct BodyLimits {
    /// Up to this many bytes are collected before the body is passed on.
    pub buffered: u64,
    /// Longer bodies are rejected.
    pub total: u64,
}

async fn receive_body(
    mut body: Incoming,
    limits: BodyLimits,
    progress: &Progress,
) -> Result<ReceivedBody, FailureCause> {
    let known_length = body.size_hint().exact();
    let too_long = || Err(FailureCause::InvalidResponse(format!("body longer than {} bytes", limits.total)));
    if known_length.is_some_and(|length| length > limits.total) {
        return too_long();
    }
    let (mut buffer, expected) = (BytesMut::new(), known_length.unwrap_or(0));
    let may_stream = limits.total > limits.buffered;
    // Danger: a response of unknown length may be long and slow, and the attempt would time out before that
    // shows.
    progress.is_held.set(known_length.is_none() && may_stream);
    let mut hold = pin!(async {
        match progress.is_held.get() {
            true => drop(timeout(UNKNOWN_LENGTH_HOLD, progress.release.notified()).await),
            false => pending().await,
        }
    });
    while expected <= limits.buffered && buffer.len() as u64 <= limits.buffered {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = hold.as_mut() => break,
        };
        let Some(frame) = frame else { return Ok(ReceivedBody::Whole(buffer.freeze())) };
        let Ok(data) = frame.map_err(|error| exchange_failure_cause(&error))?.into_data() else { continue };
        if buffer.is_empty() && data.len() as u64 == expected && body.is_end_stream() {
            return Ok(ReceivedBody::Whole(data));
        }
        buffer.extend_from_slice(&data);
    }
    match limits.total.checked_sub(buffer.len() as u64) {
        Some(left) if may_stream => Ok(ReceivedBody::Partial(buffer.freeze(), body, left)),
        _ => too_long(),
    }
}

/// Tells local faults from remote ones where a connection could not be established.
fn connect_failure_cause(error: &io::Error) -> FailureCause {
    let local = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::ADDRINUSE,
        Errno::AGAIN,
        Errno::INTR,
        Errno::NETUNREACH,
        Errno::NETDOWN,
        Errno::ACCESS,
        Errno::PERM,
    ];
    match Errno::from_io_error(error) {
        Some(code) if local.contains(&code) => FailureCause::LocalFault(error.to_string()),
        _ => FailureCause::Unreachable(error.to_string()),
    }
}

/// Tells a malformed response from a lost connection.
fn exchange_failure_cause(error: &(dyn Error + 'static)) -> FailureCause {
    let parse = error.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_parse);
    let io = error.source().and_then(|source| source.downcast_ref::<io::Error>()).map(io::Error::kind);
    match parse || matches!(io, Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)) {
        true => FailureCause::InvalidResponse(error.to_string()),
        false => FailureCause::Closed(error.to_string()),
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
