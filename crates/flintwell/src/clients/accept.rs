//! Accepts client connections up to the connection limit and serves each one until it closes.

use crate::clients::client_socket::ClientSocket;
use crate::clients::framing::RequestScanner;
use crate::log_line;
use crate::nodes::response_body::{RequestGuard, ResponseBody, ResponseStream};
use crate::nodes::response_transfer::ResponseTransfer;
use crate::nodes::stream::SharedStream;
use crate::process::clock::PEER_IDLE_TIMEOUT;
use crate::process::handover::{self, Successor};
use crate::requests::service::ClientService;
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

const LISTEN_BACKLOG: u32 = 1_024; // connections that wait while accepting pauses at the connection limit
const IDLE_TIMEOUT: Duration = Duration::from_secs(10); // a connection without a request for this long is closed
// From the accept, or from the first byte of a request head, to the end of the head.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_400);
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(50); // a new connection is never evicted within this time
// Added to NEW_CONNECTION_GRACE for a silent connection, while permits are left but many connections are open.
const SILENT_GRACE: Duration = Duration::from_millis(450);
// Idle time after a request before a connection is evicted, while few open connections are idle after a request.
const KEEP_ALIVE_GRACE: Duration = Duration::from_secs(1);
const KEEP_ALIVE_SHARE_DIVISOR: usize = 4; // one in this many open connections idle after a request is no longer few
// Share of the client connection limit (a quarter of all descriptors) from which idle connections are evicted; clients
// hold a third at most.
const EVICTION_THRESHOLD_SHARE: f64 = 0.5;
const EVICTION_INTERVAL: Duration = Duration::from_millis(10); // between evictions while a new connection waits
// For an evicted connection to complete a request head that it has begun.
const PARTIAL_HEAD_GRACE: Duration = Duration::from_millis(250);
const READ_BUFFER_BYTES: usize = 16_384; // read buffer of a connection; far more than a request head takes
const RETRY_DELAY: Duration = Duration::from_millis(50); // after a failed bind or accept, to avoid a busy loop
// For the previous process to release the address; after that it is too late for a start.
const BIND_TIMEOUT: Duration = Duration::from_secs(25);
// Runtime turns; far more than it takes to drain what was read ahead of a response.
const MAX_CUT_OFF_TURNS: usize = 256;
// For a client to close its side after we have closed ours.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
// Within this time a written response has reached its client.
const MAX_DELIVERY_TIME: Duration = Duration::from_millis(900);
const MAX_LINGER_BYTES: usize = 262_144; // discarded while lingering; more than clients have in flight
// Connections that linger at once; bounded, so that a flood of clients cannot hold more descriptors this way.
const MAX_LINGERING: usize = 128;
// For connections left in the backlog once the listener is closed, and for a silent connection to end.
const BACKLOG_DRAIN_TIMEOUT: Duration = Duration::from_millis(5);

/// Open client connections, with the idle ones in the order in which they are evicted.
#[derive(Default)]
struct ConnectionTable {
    /// Number of open connections from which idle ones are evicted although permits are left.
    eviction_threshold: usize,
    /// Makes the keys of idle connections unique.
    next_sequence: Cell<u64>,
    open_count: Cell<usize>,
    /// Connections that wait for their clients to close their side.
    lingering_count: Cell<usize>,
    idle: RefCell<BTreeMap<IdleKey, Rc<Notify>>>,
}

/// What an idle connection has received, in eviction order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Received {
    Nothing,
    /// An incomplete request head.
    PartialHead,
    Request,
}

/// What an idle connection has received, when it may be evicted, and a sequence number.
type IdleKey = (Received, Instant, u64);

/// State of one client connection.
struct ClientConnection {
    table: Rc<ConnectionTable>,
    /// Its key in the table of idle connections, while it is idle.
    idle: Cell<Option<IdleKey>>,
    /// Since when the end of a request head is awaited.
    head_awaited_since: Cell<Option<Instant>>,
    /// Notified when this connection is evicted.
    evict: Rc<Notify>,
    /// Determines the framing of its requests from the raw bytes.
    scanner: RefCell<RequestScanner>,
    /// Since when writes to the client have been blocked.
    write_blocked_since: Cell<Option<Instant>>,
    /// The response was passed to the connection and is not written completely yet.
    flush_pending: Cell<bool>,
    /// When the last response was written completely.
    response_written_at: Cell<Option<Instant>>,
    /// Evicted to make room for a new connection.
    is_evicted: Cell<bool>,
    stream: Rc<TcpStream>,
    /// The streamed response in progress; `stream_started` is notified when one starts.
    streamed_response: RefCell<Option<Rc<ResponseStream>>>,
    stream_started: Notify,
    /// The client accepts chunked responses (HTTP/1.1).
    accepts_chunked: Cell<bool>,
    /// Set once the response is being handed over: collects what the connection would have written.
    unwritten: RefCell<Option<Vec<u8>>>,
}

impl ConnectionTable {
    fn register(self: &Rc<Self>, stream: TcpStream) -> Rc<ClientConnection> {
        self.open_count.set(self.open_count.get() + 1);
        let head_awaited_since = Cell::new(Some(Instant::now()));
        let client = ClientConnection {
            table: self.clone(),
            idle: Cell::default(),
            head_awaited_since,
            evict: Rc::default(),
            scanner: RefCell::default(),
            write_blocked_since: Cell::default(),
            flush_pending: Cell::default(),
            response_written_at: Cell::default(),
            is_evicted: Cell::default(),
            stream: Rc::new(stream),
            streamed_response: RefCell::default(),
            stream_started: Notify::new(),
            accepts_chunked: Cell::default(),
            unwritten: RefCell::default(),
        };
        // The first request of a new connection may still be in flight: evicting the connection at once would lose
        // it, and the next connection's in the same way.
        client.mark_idle(Received::Nothing, NEW_CONNECTION_GRACE);
        Rc::new(client)
    }

    /// Waits for a connection permit and evicts idle connections meanwhile. Without eviction, idle connections would
    /// use up all permits and the requests in the listen backlog would be lost. Connections that have sent nothing
    /// go first, so that hundreds of silent ones do not displace those in use; then the longest idle.
    async fn acquire_permit(&self, permits: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
        let mut permit = pin!(permits.clone().acquire_owned());
        loop {
            let permits_exhausted = permits.available_permits() == 0;
            // Clients that keep each connection after one request may exhaust their own descriptors before
            // our limit is reached, and we would not notice. So eviction starts below the limit.
            if permits_exhausted || self.open_count.get() >= self.eviction_threshold {
                let (now, mut idle) = (Instant::now(), self.idle.borrow_mut());
                let mut candidates = idle.keys();
                let due = candidates.find(|p| {
                    p.1 <= now && (permits_exhausted || p.0 == Received::Nothing && p.1 + SILENT_GRACE <= now)
                });
                // Where each request comes on a new connection, waiting until one of the few silent connections
                // may be evicted would leave the backlog waiting past its deadlines. So a connection idle after
                // a request is evicted early if these are a large share.
                let silent_count = idle.keys().take_while(|key| key.0 != Received::Request).count();
                let longest_used = idle.keys().nth(silent_count).filter(|_| {
                    (idle.len() - silent_count) * KEEP_ALIVE_SHARE_DIVISOR >= self.open_count.get()
                });
                let victim = due.or(longest_used).copied();
                victim.and_then(|key| idle.remove(&key)).inspect(|evict| evict.notify_one());
            }
            if let Ok(permit) = timeout(EVICTION_INTERVAL, permit.as_mut()).await {
                return permit.ok();
            }
        }
    }
}

impl ClientConnection {
    fn mark_busy(&self) {
        self.head_awaited_since.set(None);
        self.flush_pending.set(false);
        self.streamed_response.take();
        self.idle.take().map(|key| self.table.idle.borrow_mut().remove(&key));
    }
    fn mark_idle(&self, received: Received, grace: Duration) {
        let key = (received, Instant::now() + grace, self.table.next_sequence.get());
        self.table.next_sequence.set(key.2 + 1);
        self.table.idle.borrow_mut().insert(key, self.evict.clone());
        self.idle.set(Some(key));
    }
    /// Records that bytes were read: an idle connection now has an incomplete head.
    fn on_bytes_read(&self) {
        let Some(key) = self.idle.get().filter(|key| key.0 != Received::PartialHead) else { return };
        let (now, since) = (Instant::now(), self.head_awaited_since.get());
        self.mark_busy();
        self.head_awaited_since.set(since.or(Some(now)));
        self.mark_idle(Received::PartialHead, key.1.saturating_duration_since(now));
    }
    fn is_idle_after(&self, received: Received) -> bool {
        self.idle.get().is_some_and(|key| key.0 == received)
    }
    /// Completes once the end of a request head is overdue. Without this limit a connection that sends nothing, or
    /// never completes a head, would be kept as long as one in use.
    async fn head_timeout(&self) {
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
    async fn stream_start(&self) {
        while self.streamed_response.borrow().is_none() {
            self.stream_started.notified().await;
        }
    }
    /// Cuts off the response that `connection` is sending and returns the remainder. The connection and the node's
    /// parser are drained first; otherwise the bytes buffered there would be missing. None if the connection or the
    /// response failed meanwhile.
    async fn cut_off<C: Future<Output = hyper::Result<()>>>(
        &self,
        mut connection: Pin<&mut C>,
        response: &ResponseStream,
        successor: &Successor,
    ) -> Option<(ResponseTransfer, Option<RequestGuard>)> {
        self.unwritten.replace(Some(Vec::new()));
        for _ in 0..MAX_CUT_OFF_TURNS {
            let poll = poll_fn(|cx| {
                response.poll_read_ahead(cx);
                Poll::Ready(connection.as_mut().poll(cx))
            });
            if let Poll::Ready(Err(_)) = poll.await {
                return None;
            }
            // All that the connection had buffered is in `unwritten` now, because those writes never block.
            if response.is_drained() {
                let unwritten = self.unwritten.borrow_mut().as_mut().map(std::mem::take)?;
                let (upstream, max_remaining_bytes) = response.take_upstream()?;
                let buffered = successor
                    .spool(response.drain_buffered())
                    .inspect_err(|error| log_line!("buffering a response for handover failed: {error}"))
                    .ok()?;
                let client = self.stream.clone();
                return Some((
                    ResponseTransfer {
                        client,
                        unwritten,
                        buffered,
                        upstream,
                        chunked: !response.has_known_length,
                        is_end_pending: response.is_end_pending(),
                        max_remaining_bytes,
                    },
                    response.take_request(),
                ));
            }
            tokio::task::yield_now().await;
        }
        None
    }
    /// Closes the connection once nothing else reads from it or writes to it. Closing a socket with unread bytes resets
    /// the connection, and the client may lose the end of the response. So our side is shut down first, and what the
    /// client still sends is read and discarded for a short time (lingering close).
    async fn close(&self) {
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
            let (mut remaining, mut discarded) = (MAX_LINGER_BYTES, [0; 4_096]);
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
    async fn read_ahead(&self) {
        poll_fn(|cx| {
            self.streamed_response.borrow().iter().for_each(|response| response.poll_read_ahead(cx));
            Poll::Pending
        })
        .await
    }
    /// Completes once writes to the client have been blocked for too long.
    async fn write_timeout(&self) {
        while self.write_blocked_since.get().is_none_or(|since| since.elapsed() < PEER_IDLE_TIMEOUT) {
            tokio::time::sleep(PEER_IDLE_TIMEOUT / 8).await;
        }
    }
}

/// A response body; the client's connection counts as busy until the last byte is written.
struct TrackedBody {
    content: ResponseBody,
    client: Rc<ClientConnection>,
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
struct TrackedStream {
    stream: SharedStream,
    client: Rc<ClientConnection>,
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
        let since = self.client.write_blocked_since.get().or_else(|| Some(Instant::now()));
        self.client.write_blocked_since.set(since.filter(|_| result.is_pending()));
        result
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

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.mark_busy();
        self.table.open_count.set(self.table.open_count.get() - 1);
    }
}

/// Listens on the address, and retries for a while if a previous process still holds it.
pub async fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let start = Instant::now();
    loop {
        match bind(addr) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && start.elapsed() < BIND_TIMEOUT => {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Allows binding after a restart while old connections are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts connections until shutdown closes the listener, then accepts what is left in the backlog.
pub async fn accept_connections(listener: &TcpListener, permits: &Arc<Semaphore>, service: &ClientService) {
    let shutdown = service.shutdown.clone();
    let eviction_threshold = (permits.available_permits() as f64 * EVICTION_THRESHOLD_SHARE) as usize;
    let table = Rc::new(ConnectionTable { eviction_threshold, ..ConnectionTable::default() });
    loop {
        let next = async {
            // At the connection limit accepting pauses, and new connections wait in the backlog.
            let permit = table.acquire_permit(permits).await;
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
            Ok((stream, _)) => spawn_connection(stream, permit, service.clone(), &table),
            Err(error) => {
                log_line!("accepting a client connection failed: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
    // A connection in the backlog, accepted by the kernel already, may hold a request that would be lost.
    while !shutdown.has_successor()
        && let Ok(Ok((stream, _))) = timeout(BACKLOG_DRAIN_TIMEOUT, listener.accept()).await
    {
        spawn_connection(stream, table.acquire_permit(permits).await, service.clone(), &table);
    }
}

fn spawn_connection(
    stream: TcpStream,
    permit: Option<OwnedSemaphorePermit>,
    service: ClientService,
    table: &Rc<ConnectionTable>,
) {
    let idle_closed = service.shutdown.idle_closed();
    let handover_shutdown = service.shutdown.clone();
    if let Err(error) = stream.set_nodelay(true) {
        log_line!("setting TCP_NODELAY on a client connection failed: {error}");
    }
    let client = table.register(stream);
    let service = ClientService { client: ClientSocket::new(client.stream.clone()), ..service };
    let stack = ServiceBuilder::new()
        .map_response({
            let client = client.clone();
            move |response: Response<ResponseBody>| {
                let client = client.clone();
                if let ResponseBody::Streamed(body) = response.body() {
                    client.streamed_response.replace(Some(body.stream.clone()));
                    client.stream_started.notify_one();
                }
                response.map(|content| TrackedBody { content, client })
            }
        })
        .map_request({
            let client = client.clone();
            move |mut request: Request<Incoming>| {
                client.mark_busy();
                client.accepts_chunked.set(request.version() == Version::HTTP_11);
                request.extensions_mut().insert(client.scanner.borrow_mut().next_framing());
                request
            }
        })
        .service(service);
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT).max_buf_size(READ_BUFFER_BYTES);
    let closing = client.clone();
    let serve = async move {
        let stream = TokioIo::new(TrackedStream {
            stream: SharedStream(client.stream.clone()),
            client: client.clone(),
        });
        let mut connection = pin!(http.serve_connection(stream, TowerToHyperService::new(stack)));
        // A successor takes over streamed responses, those in progress and those that start from now on.
        let mut handover_start = pin!(async {
            let successor = handover_shutdown.successor().await;
            client.stream_start().await;
            successor
        });
        // The result of the connection is ignored: the request's handle reports how the request ended.
        tokio::select! {
            // Polled first, so that a request that has arrived is read before its connection counts as idle.
            biased;
            _ = connection.as_mut() => return,
            () = client.read_ahead() => {}
            () = client.head_timeout() => return,
            () = client.write_timeout() => return,
            () = client.evict.notified() => client.is_evicted.set(true),
            successor = handover_start.as_mut() => return hand_over_response(connection, &client, &successor).await,
            () = idle_closed => {
                // A request head that arrives slowly during shutdown may still be completed and answered; closing now
                // would lose the request.
                if client.is_idle_after(Received::PartialHead) {
                    tokio::select! {
                        _ = connection.as_mut() => return,
                        () = client.head_timeout() => return,
                    }
                }
            }
        }
        connection.as_mut().graceful_shutdown();
        // A client that never completes its head would keep its permit while others wait for one, and each of
        // hundreds that send nothing would too. So both get a short time to end.
        let grace =
            if client.is_idle_after(Received::Nothing) { BACKLOG_DRAIN_TIMEOUT } else { PARTIAL_HEAD_GRACE };
        let has_ended = timeout(grace, connection.as_mut()).await.is_ok();
        if !has_ended && client.idle.get().is_none() {
            tokio::select! {
                biased;
                _ = connection.as_mut() => {}
                () = client.read_ahead() => {}
                successor = handover_start => hand_over_response(connection, &client, &successor).await,
            }
        }
    };
    tokio::task::spawn_local(async move {
        let _permit = permit;
        serve.await;
        closing.close().await;
    });
}

/// Hands the streamed response in progress over to the successor, if it can be cut off.
async fn hand_over_response<C: Future<Output = hyper::Result<()>>>(
    mut connection: Pin<&mut C>,
    client: &Rc<ClientConnection>,
    successor: &Successor,
) {
    let response = client.streamed_response.borrow().clone();
    match response
        .filter(|response| (response.has_known_length || client.accepts_chunked.get()) && response.halt())
    {
        Some(response) => {
            if let Some((transfer, request)) = client.cut_off(connection.as_mut(), &response, successor).await
            {
                handover::hand_over(successor, transfer, request).await;
            }
        }
        // It is completed here, if the client reads it in time.
        None => tokio::select! {
            biased;
            _ = connection => {}
            () = client.read_ahead() => {}
            () = client.write_timeout() => {}
        },
    }
}

#[cfg(test)]
mod tests;
