//! Accepts client connections up to the connection limit and serves each one until it closes.

use crate::clients::framing::Scanner;
use crate::clients::client_socket::ClientSocket;
use crate::nodes::response_transfer::ResponseTransfer;
use crate::nodes::response_body::{RequestGuard, ResponseBody, ResponseStream};
use crate::nodes::stream::SharedStream;
use crate::process::clock::PEER_IDLE_TIMEOUT;
use crate::process::handover::{self, Successor};
use crate::requests::service::ClientService;
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

const BACKLOG: u32 = 1_024; // connections that wait while accepting pauses at the connection limit
const IDLE_MOST: Duration = Duration::from_secs(10); // a connection without a request for this long is closed
// From the accept, or from the first byte of a request head, to the end of the head.
const HEAD_WITHIN: Duration = Duration::from_millis(2_400);
const FRESH: Duration = Duration::from_millis(50); // a new connection is never evicted within this time
// Added to FRESH for a silent connection, while permits are left but many connections are open.
const SILENT: Duration = Duration::from_millis(450);
// Idle time after a request before a connection is evicted, while few open connections are idle after a request.
const USED: Duration = Duration::from_secs(1);
const USED_SHARE: usize = 4; // one in this many open connections idle after a request is no longer few
// Share of the client connection limit (a quarter of all descriptors) from which idle connections are evicted; clients
// hold a third at most.
const MANY: f64 = 0.5;
const CLOSE_EVERY: Duration = Duration::from_millis(10); // between evictions while a new connection waits
const HEAD_ENDS: Duration = Duration::from_millis(250); // for an evicted connection to complete a head it has begun
const BUFFER: usize = 16_384; // read buffer of a connection; far more than a request head takes
const PAUSE: Duration = Duration::from_millis(50); // after a failed bind or accept, to avoid a busy loop
// For the previous process to release the address; after that it is too late for a start.
const FREE_WITHIN: Duration = Duration::from_secs(25);
const CUT_TURNS: usize = 256; // runtime turns; far more than it takes to drain what was read ahead of a response
const LINGER: Duration = Duration::from_millis(200); // for a client to close its side after we have closed ours
const ARRIVES: Duration = Duration::from_millis(900); // within this time a written response has reached its client
const LINGER_BYTES: usize = 262_144; // discarded while lingering; more than clients have in flight
// Connections that linger at once; bounded, so that a flood of clients cannot hold more descriptors this way.
const LINGER_MOST: usize = 128;
// For connections left in the backlog once the listener is closed, and for a silent connection to end.
const LAST_LOOK: Duration = Duration::from_millis(5);

/// Open client connections, with the idle ones in the order in which they are evicted.
#[derive(Default)]
struct Clients {
    /// Number of open connections from which idle ones are evicted although permits are left.
    many: usize,
    turn: Cell<u64>,
    open: Cell<usize>,
    /// Connections that wait for their clients to close their side.
    lingering: Cell<usize>,
    idle: RefCell<BTreeMap<Place, Rc<Notify>>>,
}

/// What an idle connection has received, in eviction order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Heard {
    Nothing,
    /// An incomplete request head.
    Part,
    Request,
}

/// What an idle connection has received, when it may be evicted, and a sequence number.
type Place = (Heard, Instant, u64);

/// State of one client connection.
struct Client {
    clients: Rc<Clients>,
    /// Its key in the table of idle connections, while it is idle.
    idle: Cell<Option<Place>>,
    /// Since when the end of a request head is awaited.
    owes: Cell<Option<Instant>>,
    close: Rc<Notify>,
    /// Determines the framing of its requests from the raw bytes.
    scanner: RefCell<Scanner>,
    /// Since when writes to the client have been blocked.
    full: Cell<Option<Instant>>,
    /// The response was passed to the connection and is not written completely yet.
    answered: Cell<bool>,
    /// When the last response was written completely.
    answered_at: Cell<Option<Instant>>,
    /// Evicted to make room for a new connection.
    makes_room: Cell<bool>,
    stream: Rc<TcpStream>,
    /// The streamed response in progress; `begins` is notified when one starts.
    long: RefCell<Option<Rc<ResponseStream>>>,
    begins: Notify,
    /// The client accepts chunked responses (HTTP/1.1).
    chunks: Cell<bool>,
    /// Set once the response is being handed over: collects what the connection would have written.
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
        // The first request of a new connection may still be in flight: evicting the connection at once would lose
        // it, and the next connection's in the same way.
        client.idles(Heard::Nothing, FRESH);
        Rc::new(client)
    }

    /// Waits for a connection permit and evicts idle connections meanwhile. Without eviction, idle connections would
    /// use up all permits and the requests in the listen backlog would be lost. Connections that have sent nothing
    /// go first, so that hundreds of silent ones do not displace those in use; then the longest idle.
    async fn make_room(&self, room: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
        let mut permit = pin!(room.clone().acquire_owned());
        loop {
            let full = room.available_permits() == 0;
            // Clients that keep each connection after one request may run out of descriptors of their own before
            // our limit is reached, and we would not notice. So eviction starts below the limit.
            if full || self.open.get() >= self.many {
                let (now, mut idle) = (Instant::now(), self.idle.borrow_mut());
                let mut all = idle.keys();
                let due = all.find(|p| p.1 <= now && (full || p.0 == Heard::Nothing && p.1 + SILENT <= now));
                // Where each request comes on a new connection, waiting until one of the few silent connections
                // may be evicted would leave the backlog waiting past its deadlines. So a connection idle after
                // a request is evicted early if these are a large share.
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
    /// Records that bytes were read: an idle connection now has an incomplete head.
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
    /// Completes once the end of a request head is overdue. Without this limit a connection that sends nothing, or
    /// never completes a head, would be kept as long as one in use.
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
    /// Completes once a streamed response is in progress.
    async fn long_begins(&self) {
        while self.long.borrow().is_none() {
            self.begins.notified().await;
        }
    }
    /// Cuts off the response that `connection` is sending and returns the remainder. The connection and the node's
    /// parser are drained first; otherwise the bytes buffered there would be missing. None if the connection or the
    /// response failed meanwhile.
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
            // All that the connection had buffered is in `unwritten` now, because those writes never block.
            if way.is_drained() {
                let unwritten = self.unwritten.borrow_mut().as_mut().map(std::mem::take)?;
                let (rest, left) = way.take_upstream()?;
                let kept =
                    successor.spool(way.drain_buffered()).inspect_err(|error| log_line!("buffering a response for hand-over failed: {error}")).ok()?;
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
    /// Closes the connection once nothing else reads from it or writes to it. Closing a socket with unread bytes resets
    /// the connection, and the client may lose the end of the response. So our side is shut down first, and what the
    /// client still sends is read and discarded for a short time (lingering close).
    async fn ends(&self) {
        if self.unwritten.borrow().is_some() {
            // The socket was handed over.
            return;
        }
        let socket = SockRef::from(&*self.stream);
        let cut =
            self.long.borrow().as_ref().is_some_and(|way| way.is_truncated() && !way.has_known_length && !self.chunks.get());
        if cut {
            // Where the end of the connection marks the end of the body, a clean close would make a truncated response
            // look complete. So the connection is reset. An error here means that it is broken already.
            let _ = socket.set_linger(Some(Duration::ZERO));
            return;
        }
        // A closing connection left in the table would be chosen for eviction instead of one that can make room.
        self.idle.take().map(|place| self.clients.idle.borrow_mut().remove(&place));
        // Nothing can be lost if no response was written recently. An evicted connection does not linger either: it
        // would hold its permit meanwhile.
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
        // A client that keeps its side open for longer is cut off.
        let _ = timeout(LINGER, throws_away).await;
        self.clients.lingering.set(self.clients.lingering.get() - 1);
    }
    /// Keeps reading a streamed response ahead of the client; never completes.
    async fn reads_ahead(&self) {
        poll_fn(|cx| {
            self.long.borrow().iter().for_each(|way| way.poll_read_ahead(cx));
            Poll::Pending
        })
        .await
    }
    /// Completes once writes to the client have been blocked for too long.
    async fn stands_still(&self) {
        while self.full.get().is_none_or(|since| since.elapsed() < PEER_IDLE_TIMEOUT) {
            tokio::time::sleep(PEER_IDLE_TIMEOUT / 8).await;
        }
    }
}

/// A response body; the client's connection counts as busy until the last byte is written.
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

/// A client's stream that records reads and writes in the connection's state.
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
    /// Called once everything so far has been written. Marking the connection idle any earlier would allow its
    /// eviction while a slow client has not read the end of the response, which would be lost.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        if self.client.answered.take() {
            self.client.long.take();
            self.client.answered_at.set(Some(Instant::now()));
            self.client.idles(Heard::Request, USED);
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        // Whoever takes over the response goes on writing to this socket.
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

/// Listens on the address, and retries for a while if a previous process still holds it.
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
    // Allows binding after a restart while old connections are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until shutdown closes the listener, then accepts what is left in the backlog.
pub async fn accept_connections(listener: &TcpListener, room: &Arc<Semaphore>, front: &ClientService) {
    let shutdown = front.shutdown.clone();
    let many = (room.available_permits() as f64 * MANY) as usize;
    let clients = Rc::new(Clients { many, ..Clients::default() });
    loop {
        let next = async {
            // At the connection limit accepting pauses, and new connections wait in the backlog.
            let permit = clients.make_room(room).await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            // Checked first: a client that was refused during shutdown and retries must not be accepted and refused
            // by this process again.
            biased;
            () = shutdown.listener_closed() => break,
            next = next => next,
        };
        match accepted {
            Ok((stream, _)) => admit(stream, permit, front.clone(), &clients),
            Err(error) => {
                log_line!("accepting a client connection failed: {error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    // A connection in the backlog, accepted by the kernel already, may hold a request that would be lost.
    while !shutdown.has_successor()
        && let Ok(Ok((stream, _))) = timeout(LAST_LOOK, listener.accept()).await
    {
        admit(stream, clients.make_room(room).await, front.clone(), &clients);
    }
}

fn admit(stream: TcpStream, permit: Option<OwnedSemaphorePermit>, front: ClientService, clients: &Rc<Clients>) {
    let idle_closed = front.shutdown.idle_closed();
    let taken_over = front.shutdown.clone();
    if let Err(error) = stream.set_nodelay(true) {
        log_line!("setting TCP_NODELAY on a client connection failed: {error}");
    }
    let client = clients.enter(stream);
    let front = ClientService { client: ClientSocket::on(client.stream.clone()), ..front };
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
        // A successor takes over streamed responses, those in progress and those that start from now on.
        let mut handed = pin!(async {
            let successor = taken_over.successor().await;
            client.long_begins().await;
            successor
        });
        // The result of the connection is ignored: the request's handle reports how the request ended.
        tokio::select! {
            // Polled first, so that a request that has arrived is read before its connection counts as idle.
            biased;
            _ = connection.as_mut() => return,
            () = client.reads_ahead() => {}
            () = client.head_overdue() => return,
            () = client.stands_still() => return,
            () = client.close.notified() => client.makes_room.set(true),
            successor = handed.as_mut() => return leave(connection, &client, &successor).await,
            () = idle_closed => {
                // A request head that arrives slowly during shutdown may still be completed and answered; closing now
                // would lose the request.
                if client.heard(Heard::Part) {
                    tokio::select! {
                        _ = connection.as_mut() => return,
                        () = client.head_overdue() => return,
                    }
                }
            }
        }
        connection.as_mut().graceful_shutdown();
        // A client that never completes its head would keep its permit while others wait for one, and each of
        // hundreds that send nothing would too. So both get a short time to end.
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

/// Hands the streamed response in progress over to the successor, if it can be cut off.
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
        // It is completed here, if the client reads it in time.
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
