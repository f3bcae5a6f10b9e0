//! Open client connections, and which idle one is evicted when another connection needs its place.

use crate::clients::client_connection::ClientConnection;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(50); // a new connection is never evicted within this time
// Added to NEW_CONNECTION_GRACE for a silent connection, while permits are left but many connections are open.
const SILENT_GRACE: Duration = Duration::from_millis(450);
const KEEP_ALIVE_SHARE_DIVISOR: usize = 4; // one in this many open connections idle after a request is no longer few
// Share of the client connection limit (a quarter of all descriptors) from which idle connections are evicted; clients
// hold a third at most.
const EVICTION_THRESHOLD_SHARE: f64 = 0.5;
const EVICTION_INTERVAL: Duration = Duration::from_millis(10); // between evictions while a new connection waits

/// Open client connections, with the idle ones in the order in which they are evicted.
#[derive(Default)]
pub struct ConnectionTable {
    /// Number of open connections from which idle ones are evicted although permits are left.
    pub eviction_threshold: usize,
    /// Makes the keys of idle connections unique.
    pub next_sequence: Cell<u64>,
    pub open_count: Cell<usize>,
    /// Connections that wait for their clients to close their side.
    pub lingering_count: Cell<usize>,
    pub idle: RefCell<BTreeMap<IdleKey, Rc<Notify>>>,
}

/// What an idle connection has received, in eviction order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Received {
    Nothing,
    /// An incomplete request head.
    PartialHead,
    Request,
}

/// What an idle connection has received, when it may be evicted, and a sequence number.
pub type IdleKey = (Received, Instant, u64);

impl ConnectionTable {
    /// A table for up to `max_connections` open connections.
    pub fn new(max_connections: usize) -> Rc<Self> {
        let eviction_threshold = (max_connections as f64 * EVICTION_THRESHOLD_SHARE) as usize;
        Rc::new(ConnectionTable { eviction_threshold, ..ConnectionTable::default() })
    }
    /// Adds a connection that was just accepted.
    pub fn register(self: &Rc<Self>, stream: TcpStream) -> Rc<ClientConnection> {
        self.open_count.set(self.open_count.get() + 1);
        let head_awaited_since = Cell::new(Some(Instant::now()));
        let client = ClientConnection {
            table: self.clone(),
            idle: Cell::default(),
            head_awaited_since,
            has_read: Cell::default(),
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
    pub async fn acquire_permit(&self, permits: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
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
