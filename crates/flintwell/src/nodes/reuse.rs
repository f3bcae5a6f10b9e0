//! What is known about the reuse of connections: bytes that peers sent beyond their responses, and why
//! connections were not used again. Each case is counted and logged.

use crate::log_line;
use crate::process::counter::{Counter, increment};
use serde::Serialize;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Bytes that a peer sent although no response was due.
pub struct ExcessBytes {
    pub bytes: usize,
    /// Time from the end of the response before them.
    pub lateness: Duration,
    pub connection_age: Duration,
    /// Number of exchanges on the connection so far.
    pub exchanges: u32,
}

/// Why an idle connection was not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unusable {
    /// The peer or a fault has closed it.
    Closed,
    /// It was idle for longer than peers keep connections.
    Expired,
    /// Bytes have arrived on it that belong to no response.
    Excess,
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Unusable::Closed => "it is closed",
            Unusable::Expired => "it was idle for too long",
            Unusable::Excess => "bytes beyond a response have arrived on it",
        })
    }
}

/// Counters of connections to nodes and discovery since the start of the process.
#[derive(Default)]
struct Counters {
    opened: Counter,
    reused: Counter,
    excess: Counter,
    closed: Counter,
    expired: Counter,
}

/// Part of the response body of `/api/connections`.
#[derive(Serialize)]
pub struct ReuseReport {
    /// Connections opened.
    opened: u64,
    /// Exchanges on a connection that had carried another one before.
    reused: u64,
    /// Connections on which bytes arrived beyond a response.
    excess: u64,
    /// Connections that could not be used again because they were closed.
    closed: u64,
    /// The same because they were idle for too long.
    expired: u64,
}

/// Counts and logs what happens to connections.
#[derive(Default)]
pub struct ReuseMonitor {
    counters: Counters,
}

impl ReuseMonitor {
    /// A connection was opened.
    pub fn on_opened(&self) {
        increment(&self.counters.opened);
    }

    /// A connection carries a further exchange.
    pub fn on_reused(&self) {
        increment(&self.counters.reused);
    }

    /// An idle connection could not be used again.
    pub fn on_unusable(&self, peer: &str, idle: Duration, reason: Unusable) {
        increment(match reason {
            Unusable::Closed => &self.counters.closed,
            Unusable::Expired => &self.counters.expired,
            // Counted when the bytes arrived.
            Unusable::Excess => return,
        });
        log_line!("connection to {peer}, idle for {:.3} s, is not reused: {reason}", idle.as_secs_f64());
    }

    /// The counters.
    pub fn report(&self) -> ReuseReport {
        let Counters { opened, reused, excess, closed, expired } = &self.counters;
        ReuseReport {
            opened: opened.get(),
            reused: reused.get(),
            excess: excess.get(),
            closed: closed.get(),
            expired: expired.get(),
        }
    }
}

/// The other end of a connection, by the name under which its events are logged.
#[derive(Clone)]
pub struct Peer {
    pub name: Arc<str>,
    pub monitor: Rc<ReuseMonitor>,
}

impl Peer {
    /// Bytes have arrived that belong to no response.
    pub fn on_excess(&self, excess: &ExcessBytes) {
        increment(&self.monitor.counters.excess);
        let ExcessBytes { bytes, lateness, connection_age, exchanges } = excess;
        log_line!(
            "{} sent {bytes} bytes beyond response {exchanges} of a connection, {:.1} ms after its end; \
             connection opened {:.3} s ago",
            self.name,
            lateness.as_secs_f64() * 1e3,
            connection_age.as_secs_f64()
        );
    }
}
