//! One connection to a cache node, the origin or discovery: an exchange at a time, nothing sent again.

use crate::clients::body::UpstreamBody;
use crate::clients::framing::{ResponseScanner, BodyDecoder};
use crate::nodes::stream::Shared;
use crate::process::count::{Count, one_more};
use bytes::{Bytes, BytesMut};
use flintwell_core::interface::Ending;
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

const BUFFER: usize = 32_768; // bytes a connection reads ahead at most; some hundreds share our memory
const HOLD: Duration = Duration::from_millis(100); // from a head, for an answer of no told length to be whole
const SHORT: u64 = 65_536; // bytes of a body; what is longer is surely not written with its head

/// How far an exchange had come when it broke.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// No connection, or nothing of this exchange written to it: it never ran.
    #[default]
    Unwritten,
    /// Written whole, or a short one in part; in doubt it may have run.
    Written,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Cause {
    TimedOut,
    Closed(String),
    Garbage(String),
    /// The node was taken off the list, or began to drain, while its connection came up.
    Unlisted,
    /// We have no descriptor left for a connection.
    NoRoom,
    /// An earlier attempt took the body, which is not kept.
    Spent,
    /// The client has left.
    Left,
    /// It was decided on too long ago.
    Stale,
    /// The list is so old that what it lacks counts as told.
    Lapsed,
    /// The other machine, or the way to it, did not take the connection.
    Unreachable(String),
    /// Our own system had no socket, port, route or memory for a connection.
    LocalFault(String),
}

/// An exchange that broke.
#[derive(Debug, PartialEq, Eq)]
pub struct Broken {
    pub stage: Stage,
    pub cause: Cause,
}

impl Broken {
    pub fn unwritten(cause: Cause) -> Self {
        Broken { stage: Stage::Unwritten, cause }
    }
    pub fn ending(&self) -> Ending {
        match (self.stage, &self.cause) {
            (
                Stage::Unwritten,
                Cause::Unlisted
                | Cause::NoRoom
                | Cause::Spent
                | Cause::Left
                | Cause::Stale
                | Cause::Lapsed
                // Danger: a fault of our own would be held against a node that is well.
                | Cause::LocalFault(_),
            ) => Ending::NotSent,
            (Stage::Unwritten, _) => Ending::ConnectFailed,
            (_, Cause::TimedOut) => Ending::TimedOut,
            (_, Cause::Garbage(_)) => Ending::Spoilt,
            (
                _,
                Cause::Closed(_)
                | Cause::Unlisted
                | Cause::NoRoom
                | Cause::Spent
                | Cause::Left
                | Cause::Stale
                | Cause::Lapsed
                | Cause::Unreachable(_)
                | Cause::LocalFault(_),
            ) => Ending::Reset,
        }
    }
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let stage = match self.stage {
            Stage::Unwritten => "before anything was written",
            Stage::Written => "after it was written",
        };
        match &self.cause {
            Cause::TimedOut => write!(f, "timed out {stage}"),
            Cause::Closed(why) => write!(f, "connection broke {stage}: {why}"),
            Cause::Garbage(why) => write!(f, "not understood: {why}"),
            Cause::Unlisted => write!(f, "no longer listed as ready"),
            Cause::NoRoom => write!(f, "no descriptor left"),
            Cause::Spent => write!(f, "its body is gone"),
            Cause::Left => write!(f, "its client has left"),
            Cause::Stale => write!(f, "decided on too long ago"),
            Cause::Lapsed => write!(f, "the list has grown too old"),
            Cause::Unreachable(why) => write!(f, "no connection: {why}"),
            Cause::LocalFault(why) => write!(f, "no connection, for a fault of our own system: {why}"),
        }
    }
}

/// Counts what is written, so that an exchange is known never to have begun; the link sees the same stream.
struct Counted {
    stream: Shared,
    written: Rc<Cell<u64>>,
    message: Rc<Message>,
    answers: Rc<RefCell<ResponseScanner>>,
}

/// The message that an exchange writes.
#[derive(Default)]
struct Message {
    /// Its last byte is in the connection's hands.
    ended: Cell<bool>,
    /// And written, with all before it.
    written: Cell<bool>,
    /// Grows by one once that is written.
    whole: Cell<Option<Count>>,
    /// Called once its first bytes are written.
    begins: Cell<Option<Box<dyn FnOnce()>>>,
}

/// A message's body, which marks its end.
struct Marked {
    body: UpstreamBody,
    message: Rc<Message>,
}

impl Body for Marked {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        self.message.ended.set(matches!(polled, Poll::Ready(None)) || self.body.is_end_stream());
        polled
    }
    fn is_end_stream(&self) -> bool {
        let ended = self.body.is_end_stream();
        self.message.ended.set(ended);
        ended
    }
    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.answers.borrow().halted {
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.answers.borrow_mut().read(&buf.filled()[before..]);
        read
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = wrote {
            self.written.set(self.written.get() + bytes as u64);
            if let Some(check) = self.message.begins.take() {
                check();
            }
        }
        wrote
    }
    /// Called once all that was to be written so far is.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.message.ended.get() && !self.message.written.replace(true) {
            self.message.whole.take().inspect(|count| one_more(count));
        }
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// An exchange's mark on its connection: how far it has come, told also once the exchange was dropped.
#[derive(Default)]
pub struct Progress {
    mark: Cell<Option<(Rc<Cell<u64>>, u64)>>,
    /// Of a long one, which its node does not begin before its last byte.
    long: Cell<Option<Rc<Message>>>,
    /// Grows by one once its message is written whole.
    whole: Option<Count>,
    /// Called once its first bytes are written.
    begins: Cell<Option<Box<dyn FnOnce()>>>,
    /// An answer of no told length has begun, and is held for a moment.
    held: Cell<bool>,
    /// Ends that moment.
    hurry: Notify,
}

impl Progress {
    /// Lets an answer that is held go; true if there is one.
    pub fn hurry(&self) -> bool {
        self.hurry.notify_one();
        self.held.get()
    }
    pub fn counted(whole: &Count) -> Self {
        Progress { whole: Some(whole.clone()), ..Progress::default() }
    }
    /// Has this called once the first bytes of the message are written.
    pub fn checks(&self, check: impl FnOnce() + 'static) {
        self.begins.set(Some(Box::new(check)));
    }
    fn stage(&self) -> Stage {
        let mark = self.mark.take();
        let begun = mark.as_ref().is_some_and(|(written, before)| written.get() > *before);
        self.mark.set(mark);
        let long = self.long.take();
        let begun = begun && long.as_ref().is_none_or(|message| message.written.get());
        self.long.set(long);
        if begun { Stage::Written } else { Stage::Unwritten }
    }
    pub fn broken(&self, cause: Cause) -> Broken {
        Broken { stage: self.stage(), cause }
    }
}

pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Came,
}

/// The body of an answer, as far as it was waited for.
pub enum Came {
    Whole(Bytes),
    /// What has come of a long one, the rest, and how many bytes may still come.
    Long(Bytes, Incoming, u64),
}

/// An open connection; dropping it closes it.
pub struct Link {
    sender: SendRequest<Marked>,
    /// The driver's. Danger: a share in it would hold the descriptor of a closed connection whose room is
    /// given back already.
    stream: Weak<TcpStream>,
    written: Rc<Cell<u64>>,
    message: Rc<Message>,
    answers: Rc<RefCell<ResponseScanner>>,
    driver: AbortHandle,
    pub idle_since: Instant,
}

impl Link {
    /// Opens a connection; `permit` is given back when its socket is closed.
    pub async fn dial(addr: SocketAddr, permit: Option<OwnedSemaphorePermit>) -> Result<Self, Broken> {
        let closed = |error: &dyn fmt::Display| Broken::unwritten(Cause::Closed(error.to_string()));
        let stream = TcpStream::connect(addr).await.map_err(|e| Broken::unwritten(not_connected(&e)))?;
        stream.set_nodelay(true).map_err(|e| closed(&e))?;
        let (stream, written) = (Rc::new(stream), Rc::new(Cell::new(0)));
        let shared = Rc::downgrade(&stream);
        let message = Rc::<Message>::default();
        let answers = Rc::<RefCell<ResponseScanner>>::default();
        let (stream, written_too) = (Shared(stream), written.clone());
        let counted =
            Counted { stream, written: written_too, message: message.clone(), answers: answers.clone() };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER)
            .handshake(TokioIo::new(counted))
            .await
            .map_err(|e| closed(&e))?;
        let driver = tokio::task::spawn_local(async move {
            // How an exchange ended is told to the one who waits for it.
            let _ = connection.await;
            drop(permit);
        });
        Ok(Link {
            sender,
            stream: shared,
            written,
            message,
            answers,
            driver: driver.abort_handle(),
            idle_since: Instant::now(),
        })
    }

    /// Itself, if another exchange can go out on it.
    pub async fn ready(mut self) -> Option<Self> {
        self.sender.ready().await.ok()?;
        // Danger: what a node has sent behind its last answer would be read as the answer to the next request;
        // and one that has closed its end takes nothing more.
        let waiting = SockRef::from(&*self.stream.upgrade()?).peek(&mut [MaybeUninit::uninit()]);
        waiting.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock).then_some(self)
    }

    /// Nothing was ever sent on it.
    pub fn unused(&self) -> bool {
        self.written.get() == 0
    }

    pub fn closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// From now on nothing more is read from it.
    pub fn halt(&self) {
        self.answers.borrow_mut().halted = true;
    }

    pub fn halted(&self) -> bool {
        self.answers.borrow().halted
    }

    /// How many bytes of the answer's body were read, and how the rest of it comes, if that is known.
    pub fn came(&self) -> Option<(u64, BodyDecoder)> {
        let answers = self.answers.borrow();
        answers.decoder.map(|coding| (answers.body_bytes, coding))
    }

    /// When the first byte of the answer that was read last was read.
    pub fn answer_begun(&self) -> Option<Instant> {
        self.answers.borrow().first_byte_at
    }

    /// The socket, for one who takes over what it still brings.
    pub fn stream(&self) -> Option<Rc<TcpStream>> {
        self.stream.upgrade()
    }

    /// Sends and waits for the whole answer, or for as much of a long one as shows that it is.
    pub async fn exchange(
        &mut self,
        request: Request<UpstreamBody>,
        most: Most,
        progress: &Progress,
    ) -> Result<Reply, Broken> {
        progress.mark.set(Some((self.written.clone(), self.written.get())));
        self.answers.replace(ResponseScanner::default());
        self.message.ended.set(false);
        self.message.written.set(false);
        let long = request.body().size_hint().exact().is_none_or(|length| length > SHORT);
        progress.long.set(long.then(|| self.message.clone()));
        self.message.whole.set(progress.whole.clone());
        self.message.begins.set(progress.begins.take());
        let request = request.map(|body| Marked { body, message: self.message.clone() });
        let broken = |error: hyper::Error| progress.broken(cause(&error));
        let (head, body) = self.sender.send_request(request).await.map_err(broken)?.into_parts();
        let body =
            receive(body, most, progress).await.map_err(|cause| Broken { stage: Stage::Written, cause })?;
        self.idle_since = Instant::now();
        Ok(Reply { status: head.status, headers: head.headers, body })
    }
}

/// Bytes of an answer that are collected, and of one that is passed on as it comes.
#[derive(Clone, Copy)]
pub struct Most {
    pub collected: u64,
    pub long: u64,
}

async fn receive(mut body: Incoming, most: Most, progress: &Progress) -> Result<Came, Cause> {
    let told = body.size_hint().exact();
    let too_long = || Err(Cause::Garbage(format!("a body over {} bytes", most.long)));
    if told.is_some_and(|told| told > most.long) {
        return too_long();
    }
    let (mut begun, expected) = (BytesMut::new(), told.unwrap_or(0));
    let passes_on = most.long > most.collected;
    // Danger: one of no told length may be long and come slowly, and its time would be over before it shows.
    progress.held.set(told.is_none() && passes_on);
    let mut hold = pin!(async {
        match progress.held.get() {
            true => drop(timeout(HOLD, progress.hurry.notified()).await),
            false => pending().await,
        }
    });
    while expected <= most.collected && begun.len() as u64 <= most.collected {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = hold.as_mut() => break,
        };
        let Some(frame) = frame else { return Ok(Came::Whole(begun.freeze())) };
        let Ok(data) = frame.map_err(|error| cause(&error))?.into_data() else { continue };
        if begun.is_empty() && data.len() as u64 == expected && body.is_end_stream() {
            return Ok(Came::Whole(data));
        }
        begun.extend_from_slice(&data);
    }
    match most.long.checked_sub(begun.len() as u64) {
        Some(left) if passes_on => Ok(Came::Long(begun.freeze(), body, left)),
        _ => too_long(),
    }
}

/// Whose fault it is that no connection came up.
fn not_connected(error: &io::Error) -> Cause {
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
        Some(code) if local.contains(&code) => Cause::LocalFault(error.to_string()),
        _ => Cause::Unreachable(error.to_string()),
    }
}

/// Whether what came made no sense, or nothing more came.
fn cause(error: &(dyn Error + 'static)) -> Cause {
    let parse = error.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_parse);
    let io = error.source().and_then(|source| source.downcast_ref::<io::Error>()).map(io::Error::kind);
    match parse || matches!(io, Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)) {
        true => Cause::Garbage(error.to_string()),
        false => Cause::Closed(error.to_string()),
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
