//! Accepts clients' connections, as many as there is room for, and serves each until it ends.

use crate::clients::framing::Scanner;
use crate::clients::presence::Presence;
use crate::nodes::response_transfer::ResponseTransfer;
use crate::nodes::response_body::{RequestGuard, ResponseBody, ResponseStream};
use crate::nodes::stream::SharedStream;
use crate::process::clock::PEER_IDLE_TIMEOUT;
use crate::process::handover::{self, Successor};
use crate::requests::front::Front;
use crate::log_line;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use tower::ServiceBuilder;

const BACKLOG: u32 = 1_024; // connections; those waiting while accept pauses at the limit
const IDLE_MOST: Duration = Duration::from_secs(10); // a connection with no request for this long is closed
const HEAD_WITHIN: Duration = Duration::from_millis(2_400); // from a connection's start, or a head's, to its end
const FRESH: Duration = Duration::from_millis(50); // for which a new connection is kept, whoever waits
const SILENT: Duration = Duration::from_millis(450); // more, while there is room but many are open
const USED: Duration = Duration::from_secs(1); // the same after a request, while few are such
const USED_SHARE: usize = 4; // one in so many open ones idle after a request is many
const MANY: f64 = 0.5; // of our room, a quarter of all descriptors; clients hold a third at most
const CLOSE_EVERY: Duration = Duration::from_millis(10); // idle ones, one by one, while room is wanted
const HEAD_ENDS: Duration = Duration::from_millis(250); // for a head begun when its place was wanted
const BUFFER: usize = 16_384; // bytes a connection reads ahead at most; far more than a head holds
const PAUSE: Duration = Duration::from_millis(50); // after a failure, so that it never spins
const FREE_WITHIN: Duration = Duration::from_secs(25); // for a forerunner to leave our address; later is too late to start
const CUT_TURNS: usize = 256; // of the runtime; far more than what is read ahead of an answer takes
const LINGER: Duration = Duration::from_millis(200); // for a client to close its side, once we have closed ours
const ARRIVES: Duration = Duration::from_millis(900); // in which an answer has surely come to its client
const LINGER_BYTES: usize = 262_144; // bytes that are thrown away meanwhile; more than what clients have on their way
const LINGER_MOST: usize = 128; // connections that do so at once; a flood of clients gains no more places than that
const LAST_LOOK: Duration = Duration::from_millis(5); // at the backlog, once the listener is closed

/// Clients' connections, by how long they have stood idle.
#[derive(Default)]
struct Clients {
    /// From so many on, those idle after a request make room before all is taken.
    many: usize,
    turn: Cell<u64>,
    open: Cell<usize>,
    /// Connections whose clients are waited for to close their side.
    lingering: Cell<usize>,
    idle: RefCell<BTreeMap<Place, Rc<Notify>>>,
}

/// What has come on an idle connection, the first to make room first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Heard {
    Nothing,
    /// A head that has not ended.
    Part,
    Request,
}

/// What has come on an idle connection, when it may be closed, and its turn.
type Place = (Heard, Instant, u64);

/// One client's connection.
struct Client {
    clients: Rc<Clients>,
    /// Its place among the idle, while it is.
    idle: Cell<Option<Place>>,
    /// Since when it owes us the end of a head.
    owes: Cell<Option<Instant>>,
    close: Rc<Notify>,
    /// How its messages are framed.
    scanner: RefCell<Scanner>,
    /// Since when it takes nothing of what is written to it.
    full: Cell<Option<Instant>>,
    /// Its answer is in the connection's hands, and not all of it written.
    answered: Cell<bool>,
    /// When all of its last answer was written.
    answered_at: Cell<Option<Instant>>,
    /// Closed so that another may come in.
    makes_room: Cell<bool>,
    stream: Rc<TcpStream>,
    /// The long answer that is on its way to it, and a word when one is.
    long: RefCell<Option<Rc<ResponseStream>>>,
    begins: Notify,
    /// It takes answers in chunks.
    chunks: Cell<bool>,
    /// Once its answer is to be handed over: what the connection would have written to it.
    unwritten: RefCell<Option<Vec<u8>>>,
}

impl Clients {
    fn enter(self: &Rc<Self>, stream: TcpStream) -> Rc<Client> {
        self.open.set(self.open.get() + 1);
        let owes = Cell::new(Some(Instant::now()));
        let client = Client {
            clients: self.clone(),
            idle: Cell::default(),
            owes,
            close: Rc::default(),
            scanner: RefCell::default(),
            full: Cell::default(),
            answered: Cell::default(),
            answered_at: Cell::default(),
            makes_room: Cell::default(),
            stream: Rc::new(stream),
            long: RefCell::default(),
            begins: Notify::new(),
            chunks: Cell::default(),
            unwritten: RefCell::default(),
        };
        // Danger: a fresh connection's first request may be on the way, and the next one's too.
        client.idles(Heard::Nothing, FRESH);
        Rc::new(client)
    }

    /// Room for one more. Danger: clients that keep idle connections would leave none for those whose
    /// requests wait in the backlog, and those would be lost; and hundreds that connect and say nothing would
    /// push out those that are used. So what has said nothing goes first, then what has stood idle longest.
    async fn make_room(&self, room: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
        let mut permit = pin!(room.clone().acquire_owned());
        loop {
            let full = room.available_permits() == 0;
            // Danger: clients that ask once and stay, and may hold fewer than there is room for here, have none
            // left to ask on, and we see no pressure.
            if full || self.open.get() >= self.many {
                let (now, mut idle) = (Instant::now(), self.idle.borrow_mut());
                let mut all = idle.keys();
                let due = all.find(|p| p.1 <= now && (full || p.0 == Heard::Nothing && p.1 + SILENT <= now));
                // Danger: where each request comes on a connection of its own, to wait for the few new ones
                // that have said nothing yet would leave the rest in the backlog past their time.
                let silent = idle.keys().take_while(|place| place.0 != Heard::Request).count();
                let used =
                    idle.keys().nth(silent).filter(|_| (idle.len() - silent) * USED_SHARE >= self.open.get());
                let longest = due.or(used).copied();
                longest.and_then(|place| idle.remove(&place)).inspect(|close| close.notify_one());
            }
            if let Ok(permit) = timeout(CLOSE_EVERY, permit.as_mut()).await {
                return permit.ok();
            }
        }
    }
}

impl Client {
    fn busy(&self) {
        self.owes.set(None);
        self.answered.set(false);
        self.long.take();
        self.idle.take().map(|place| self.clients.idle.borrow_mut().remove(&place));
    }
    fn idles(&self, heard: Heard, kept_for: Duration) {
        let place = (heard, Instant::now() + kept_for, self.clients.turn.get());
        self.clients.turn.set(place.2 + 1);
        self.clients.idle.borrow_mut().insert(place, self.close.clone());
        self.idle.set(Some(place));
    }
    /// Bytes have come on it.
    fn hears(&self) {
        let Some(place) = self.idle.get().filter(|place| place.0 != Heard::Part) else { return };
        let (now, since) = (Instant::now(), self.owes.get());
        self.busy();
        self.owes.set(since.or(Some(now)));
        self.idles(Heard::Part, place.1.saturating_duration_since(now));
    }
    fn heard(&self, what: Heard) -> bool {
        self.idle.get().is_some_and(|place| place.0 == what)
    }
    /// Ends once the end of a head is overdue. Danger: a connection that says nothing, or begins a head and
    /// never ends it, would be kept for as long as one that is used.
    async fn head_overdue(&self) {
        loop {
            let owes = self.owes.get();
            let left = owes.map_or(HEAD_WITHIN, |since| HEAD_WITHIN.saturating_sub(since.elapsed()));
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left).await;
        }
    }
    /// Ends once a long answer is on its way to it.
    async fn long_begins(&self) {
        while self.long.borrow().is_none() {
            self.begins.notified().await;
        }
    }
    /// What is left of the answer that `connection` gives, cut off between two bytes. Danger: what is with the
    /// connection, or was read from the node, would be left out; so both let go of all they have first. None if
    /// it broke meanwhile.
    async fn cut<C: Future<Output = hyper::Result<()>>>(
        &self,
        mut connection: Pin<&mut C>,
        way: &ResponseStream,
        successor: &Successor,
    ) -> Option<(ResponseTransfer, Option<RequestGuard>)> {
        self.unwritten.replace(Some(Vec::new()));
        for _ in 0..CUT_TURNS {
            let polled = poll_fn(|cx| {
                way.poll_read_ahead(cx);
                Poll::Ready(connection.as_mut().poll(cx))
            });
            if let Poll::Ready(Err(_)) = polled.await {
                return None;
            }
            // What the connection has was written now, as nothing holds that up.
            if way.is_drained() {
                let unwritten = self.unwritten.borrow_mut().as_mut().map(std::mem::take)?;
                let (rest, left) = way.take_upstream()?;
                let kept =
                    successor.spool(way.drain_buffered()).inspect_err(|error| log_line!("hand-over: {error}")).ok()?;
                let client = self.stream.clone();
                return Some((
                    ResponseTransfer { client, unwritten, buffered: kept, upstream: rest, chunked: !way.has_known_length, is_end_pending: way.is_end_pending(), max_remaining_bytes: left },
                    way.take_request(),
                ));
            }
            tokio::task::yield_now().await;
        }
        None
    }
    /// Ends the connection, once nobody reads from it or writes to it any more. Danger: one that is closed over bytes not
    /// read is reset, and the answer before it, or its end, goes with it. So our side is closed first, and what still comes
    /// is thrown away for a moment: nothing of it is sent on.
    async fn ends(&self) {
        if self.unwritten.borrow().is_some() {
            // Its socket is another's now.
            return;
        }
        let socket = SockRef::from(&*self.stream);
        let cut =
            self.long.borrow().as_ref().is_some_and(|way| way.is_truncated() && !way.has_known_length && !self.chunks.get());
        if cut {
            // Danger: where only the end of the connection ends an answer, a clean one makes a part look whole. What fails
            // here has failed already.
            let _ = socket.set_linger(Some(Duration::ZERO));
            return;
        }
        // Danger: one that ends already would be chosen to make room, in place of another that could.
        self.idle.take().map(|place| self.clients.idle.borrow_mut().remove(&place));
        // Where its last answer was written long ago, or none was, there is nothing to lose. Danger: one closed to make room
        // would hold its place for as long as it lingers.
        let lately =
            !self.makes_room.get() && self.answered_at.get().is_some_and(|at| at.elapsed() < ARRIVES);
        let many = self.clients.lingering.get() >= LINGER_MOST;
        if socket.shutdown(Shutdown::Write).is_err() || !lately || many {
            return;
        }
        self.clients.lingering.set(self.clients.lingering.get() + 1);
        let throws_away = async {
            let (mut left, mut thrown) = (LINGER_BYTES, [0; 4_096]);
            while left > 0 && self.stream.readable().await.is_ok() {
                match self.stream.try_read(&mut thrown) {
                    Ok(0) => return,
                    Ok(bytes) => left = left.saturating_sub(bytes),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
        };
        // Who keeps its side open for longer is cut off.
        let _ = timeout(LINGER, throws_away).await;
        self.clients.lingering.set(self.clients.lingering.get() - 1);
    }
    /// Reads ahead of it, for as long as it is asked.
    async fn reads_ahead(&self) {
        poll_fn(|cx| {
            self.long.borrow().iter().for_each(|way| way.poll_read_ahead(cx));
            Poll::Pending
        })
        .await
    }
    /// Ends once it has taken nothing for too long.
    async fn stands_still(&self) {
        while self.full.get().is_none_or(|since| since.elapsed() < PEER_IDLE_TIMEOUT) {
            tokio::time::sleep(PEER_IDLE_TIMEOUT / 8).await;
        }
    }
}

/// An answer's body, until the last byte of which is written its client counts as busy.
struct Answering {
    content: ResponseBody,
    client: Rc<Client>,
}

impl Body for Answering {
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

impl Drop for Answering {
    fn drop(&mut self) {
        self.client.answered.set(true);
    }
}

/// A client's stream, which tells when a head begins.
struct Listened {
    stream: SharedStream,
    client: Rc<Client>,
}

impl AsyncRead for Listened {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.client.unwritten.borrow().is_some() {
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.client.hears();
        }
        self.client.scanner.borrow_mut().read(&buf.filled()[before..]);
        read
    }
}

impl AsyncWrite for Listened {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if let Some(unwritten) = self.client.unwritten.borrow_mut().as_mut() {
            unwritten.extend_from_slice(buf);
            return Poll::Ready(Ok(buf.len()));
        }
        let wrote = Pin::new(&mut self.stream).poll_write(cx, buf);
        let since = self.client.full.get().or_else(|| Some(Instant::now()));
        self.client.full.set(since.filter(|_| wrote.is_pending()));
        wrote
    }
    /// Called once all that was to be written so far is. Danger: the end of an answer that a slow client has
    /// not taken yet would be lost with a connection that counts as idle.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        if self.client.answered.take() {
            self.client.long.take();
            self.client.answered_at.set(Some(Instant::now()));
            self.client.idles(Heard::Request, USED);
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        // The socket is shared with whoever goes on with it.
        if self.client.unwritten.borrow().is_some() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.busy();
        self.clients.open.set(self.clients.open.get() - 1);
    }
}

/// Opens our address; one that our forerunner still holds is waited for.
pub async fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let start = Instant::now();
    loop {
        match open(addr) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && start.elapsed() < FREE_WITHIN => {
                tokio::time::sleep(PAUSE).await;
            }
            opened => return opened,
        }
    }
}

fn open(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A proxy that starts again finds its address free, though old connections linger.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Accepts until shutdown closes the listener; then takes in what still stands before it.
pub async fn accept(listener: &TcpListener, room: &Arc<Semaphore>, front: &Front) {
    let shutdown = front.shutdown.clone();
    let many = (room.available_permits() as f64 * MANY) as usize;
    let clients = Rc::new(Clients { many, ..Clients::default() });
    loop {
        let next = async {
            // At the limit accept pauses; the rest waits in the backlog.
            let permit = clients.make_room(room).await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            // Danger: what comes again after it was refused, let in once more, is refused twice.
            biased;
            () = shutdown.listener_closed() => break,
            next = next => next,
        };
        match accepted {
            Ok((stream, _)) => admit(stream, permit, front.clone(), &clients),
            Err(error) => {
                log_line!("accept: {error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    // Danger: a connection that the machine has accepted for us may hold a request already.
    while !shutdown.has_successor()
        && let Ok(Ok((stream, _))) = timeout(LAST_LOOK, listener.accept()).await
    {
        admit(stream, clients.make_room(room).await, front.clone(), &clients);
    }
}

fn admit(stream: TcpStream, permit: Option<OwnedSemaphorePermit>, front: Front, clients: &Rc<Clients>) {
    let idle_closed = front.shutdown.idle_closed();
    let taken_over = front.shutdown.clone();
    if let Err(error) = stream.set_nodelay(true) {
        log_line!("a client's connection: {error}");
    }
    let client = clients.enter(stream);
    let front = Front { client: Presence::on(client.stream.clone()), ..front };
    let stack = ServiceBuilder::new()
        .map_response({
            let client = client.clone();
            move |answer: Response<ResponseBody>| {
                let client = client.clone();
                if let ResponseBody::Streamed(relay) = answer.body() {
                    client.long.replace(Some(relay.stream.clone()));
                    client.begins.notify_one();
                }
                answer.map(|content| Answering { content, client })
            }
        })
        .map_request({
            let client = client.clone();
            move |mut request: Request<Incoming>| {
                client.busy();
                client.chunks.set(request.version() == Version::HTTP_11);
                request.extensions_mut().insert(client.scanner.borrow_mut().next());
                request
            }
        })
        .service(front);
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(IDLE_MOST).max_buf_size(BUFFER);
    let ending = client.clone();
    let served = async move {
        let heard = TokioIo::new(Listened { stream: SharedStream(client.stream.clone()), client: client.clone() });
        let mut connection = pin!(http.serve_connection(heard, TowerToHyperService::new(stack)));
        // A successor takes over the long answers that have begun, and those that begin from now on.
        let mut handed = pin!(async {
            let successor = taken_over.successor().await;
            client.long_begins().await;
            successor
        });
        // Whether a client's connection ended well or badly, the request on it was told by its handle.
        tokio::select! {
            // First, so that a request that has come is read before its connection counts as idle.
            biased;
            _ = connection.as_mut() => return,
            () = client.reads_ahead() => {}
            () = client.head_overdue() => return,
            () = client.stands_still() => return,
            () = client.close.notified() => client.makes_room.set(true),
            successor = handed.as_mut() => return leave(connection, &client, &successor).await,
            () = idle_closed => {
                // Danger: a head that comes slowly is cut off by a stop, though its request could be answered.
                if client.heard(Heard::Part) {
                    tokio::select! {
                        _ = connection.as_mut() => return,
                        () = client.head_overdue() => return,
                    }
                }
            }
        }
        connection.as_mut().graceful_shutdown();
        // Danger: a client that began a request and never ends its head would keep its place; of hundreds that
        // say nothing each would, while others wait for it.
        let ends = if client.heard(Heard::Nothing) { LAST_LOOK } else { HEAD_ENDS };
        let ended = timeout(ends, connection.as_mut()).await.is_ok();
        if !ended && client.idle.get().is_none() {
            tokio::select! {
                biased;
                _ = connection.as_mut() => {}
                () = client.reads_ahead() => {}
                successor = handed => leave(connection, &client, &successor).await,
            }
        }
    };
    tokio::task::spawn_local(async move {
        let _permit = permit;
        served.await;
        ending.ends().await;
    });
}

/// Hands the long answer that is on its way to the successor, if it can be cut off.
async fn leave<C: Future<Output = hyper::Result<()>>>(
    mut connection: Pin<&mut C>,
    client: &Rc<Client>,
    successor: &Successor,
) {
    let way = client.long.borrow().clone();
    match way.filter(|way| (way.has_known_length || client.chunks.get()) && way.halt()) {
        Some(way) => {
            if let Some((carry, carried)) = client.cut(connection.as_mut(), &way, successor).await {
                handover::hand_over(successor, carry, carried).await;
            }
        }
        // It ends here, if its client takes it in time.
        None => tokio::select! {
            biased;
            _ = connection => {}
            () = client.reads_ahead() => {}
            () = client.stands_still() => {}
        },
    }
}

#[cfg(test)]
mod tests;
