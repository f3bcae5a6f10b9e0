//! Accepts clients' connections, as many as there is room for, and serves each until it ends.

use crate::front::Front;
use crate::say;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use tower::ServiceBuilder;
use tower_http::catch_panic::CatchPanicLayer;

const BACKLOG: u32 = 1_024; // connections; those waiting while accept pauses at the limit
const HEAD_WITHIN: Duration = Duration::from_secs(60); // a connection with no access for this long is closed
const FRESH: Duration = Duration::from_secs(1); // for which a new connection is kept, whoever waits
const CLOSE_EVERY: Duration = Duration::from_millis(10); // idle ones, one by one, while room is wanted
const HEAD_ENDS: Duration = Duration::from_millis(250); // for a head begun when its place was wanted
const BUFFER: usize = 16_384; // bytes a connection reads ahead at most; far more than a head holds
const PAUSE: Duration = Duration::from_millis(50); // after a failure, so that it never spins
const FREE_WITHIN: Duration = Duration::from_secs(5); // for a forerunner to end; a planned stop takes less
const LAST_LOOK: Duration = Duration::from_millis(5); // at the backlog, once the door is closed

/// Clients' connections, by how long they have stood idle.
#[derive(Default)]
struct Clients {
    turn: Cell<u64>,
    idle: RefCell<BTreeMap<Place, Rc<Notify>>>,
}

/// When an idle connection may be closed, and its turn.
type Place = (Instant, u64);

/// One client's connection.
struct Client {
    clients: Rc<Clients>,
    /// Its place among the idle, while it is.
    idle: Cell<Option<Place>>,
    close: Rc<Notify>,
}

impl Clients {
    fn enter(self: &Rc<Self>) -> Rc<Client> {
        let client = Client { clients: self.clone(), idle: Cell::default(), close: Rc::default() };
        // Danger: a fresh connection's first access may be on the way, and the next one's too.
        client.idles(FRESH);
        Rc::new(client)
    }

    /// Room for one more. Danger: clients that keep idle connections would leave none for those whose
    /// accesses wait in the backlog, and those would be lost.
    async fn make_room(&self, room: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
        let mut permit = std::pin::pin!(room.clone().acquire_owned());
        loop {
            if let Ok(permit) = timeout(CLOSE_EVERY, permit.as_mut()).await {
                return permit.ok();
            }
            let mut idle = self.idle.borrow_mut();
            if let Some(longest) = idle.first_entry().filter(|first| first.key().0 <= Instant::now()) {
                longest.remove().notify_one();
            }
        }
    }
}

impl Client {
    fn busy(&self) {
        self.idle.take().map(|place| self.clients.idle.borrow_mut().remove(&place));
    }
    fn idles(&self, kept_for: Duration) {
        let place = (Instant::now() + kept_for, self.clients.turn.get());
        self.clients.turn.set(place.1 + 1);
        self.clients.idle.borrow_mut().insert(place, self.close.clone());
        self.idle.set(Some(place));
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.busy();
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

/// Accepts until shutdown closes the door; then takes in what still stands before it.
pub async fn accept(listener: &TcpListener, room: &Arc<Semaphore>, front: &Front) {
    let shutdown = front.shutdown.clone();
    let clients = Rc::new(Clients::default());
    loop {
        let next = async {
            // At the limit accept pauses; the rest waits in the backlog.
            let permit = clients.make_room(room).await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            next = next => next,
            () = shutdown.door_closed() => break,
        };
        match accepted {
            Ok((stream, _)) => admit(stream, permit, front.clone(), &clients),
            Err(error) => {
                say!("accept: {error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    // Danger: a connection that the machine has accepted for us may hold an access already.
    while let Ok(Ok((stream, _))) = timeout(LAST_LOOK, listener.accept()).await {
        admit(stream, clients.make_room(room).await, front.clone(), &clients);
    }
}

fn admit(stream: TcpStream, permit: Option<OwnedSemaphorePermit>, front: Front, clients: &Rc<Clients>) {
    let idle_closed = front.shutdown.idle_closed();
    let client = clients.enter();
    let stack = ServiceBuilder::new()
        .map_future({
            let client = client.clone();
            move |answer| {
                client.busy();
                let client = client.clone();
                async move {
                    let answer = answer.await;
                    client.idles(Duration::ZERO);
                    answer
                }
            }
        })
        .layer(CatchPanicLayer::custom(panicked))
        .service(front);
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(HEAD_WITHIN).max_buf_size(BUFFER);
    tokio::task::spawn_local(async move {
        let _permit = permit;
        if let Err(error) = stream.set_nodelay(true) {
            say!("a client's connection: {error}");
        }
        let mut connection =
            std::pin::pin!(http.serve_connection(TokioIo::new(stream), TowerToHyperService::new(stack)));
        // Whether a client's connection ended well or badly, the access on it was told by its seat.
        tokio::select! {
            // First, so that an access that has come is read before its connection counts as idle.
            biased;
            _ = connection.as_mut() => return,
            () = client.close.notified() => connection.as_mut().graceful_shutdown(),
            () = idle_closed => connection.as_mut().graceful_shutdown(),
        }
        // Danger: a client that began an access and never ends its head would keep its place.
        let ended = timeout(HEAD_ENDS, connection.as_mut()).await.is_ok();
        if !ended && client.idle.get().is_none() {
            let _ = connection.await;
        }
    });
}

/// A panic stops here: the access it struck is broken off, the others go on.
fn panicked(_: Box<dyn Any + Send>) -> Response<Full<Bytes>> {
    crate::answer::Answer::BrokenOff.encode(true)
}
