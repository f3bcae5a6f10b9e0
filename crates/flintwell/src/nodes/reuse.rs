//! What connections have shown about their reuse: bytes that peers sent beyond their responses, responses that
//! were not accepted, and why connections were not used again. Each case is counted and logged, and is evidence
//! for the rest policy.

use crate::log_line;
use crate::nodes::rest_policy::{ResponseDigest, ResponseHistory, Rest, RestPolicy};
use crate::process::counter::{Counter, increment};
use serde::Serialize;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

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

/// Why the response to an exchange was not accepted as its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// It repeats an earlier response on the connection, made for another path.
    Copy,
    /// It came before the request was written whole.
    Early,
    /// It says that the request did not run, and another response followed.
    Followed,
    /// A response of discovery that has no news, so soon after the previous one.
    NoNews,
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Doubt::Copy => "copy of an earlier response on the connection",
            Doubt::Early => "response before the end of the request",
            Doubt::Followed => "response followed by another one",
            Doubt::NoNews => "response without news right after another one",
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
    resting: Counter,
    waited: Counter,
    copies: Counter,
    early: Counter,
    followed: Counter,
    no_news: Counter,
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
    /// Connections opened because the idle ones had not rested for long enough.
    resting: u64,
    /// Exchanges that waited for the rest of an idle connection to end.
    waited: u64,
    /// Responses not accepted because they repeat an earlier one on their connection.
    copies: u64,
    /// The same because they came before their request was written whole.
    early: u64,
    /// The same because another response followed them.
    followed: u64,
    /// Responses of discovery not accepted because they came right after another one, without news.
    no_news: u64,
    /// How long a connection rests after an exchange now.
    rest_ms: u64,
}

/// Counts and logs what happens to connections.
#[derive(Default)]
pub struct ReuseMonitor {
    counters: Counters,
    policy: RefCell<RestPolicy>,
}

impl ReuseMonitor {
    /// A connection was opened.
    pub fn on_opened(&self) {
        increment(&self.counters.opened);
    }

    /// A node's response took this long.
    pub fn record_response_time(&self, took: Duration) {
        self.policy.borrow_mut().record_response_time(took);
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

    /// What to do about a connection that has been idle for this long.
    pub fn rest_of(&self, idle: Duration) -> Rest {
        let rest = self.policy.borrow().rest_of(idle, Instant::now());
        match rest {
            Rest::Wait(Duration::ZERO) => {}
            Rest::Wait(_) => increment(&self.counters.waited),
            Rest::TooLong => increment(&self.counters.resting),
        }
        rest
    }

    /// How long a connection rests after an exchange.
    pub fn required_rest(&self) -> Duration {
        self.policy.borrow().required_rest(Instant::now())
    }

    /// Whether the response was made for another request, by those before it on its connection.
    pub fn is_copy(&self, response: ResponseDigest, history: &ResponseHistory) -> bool {
        let (now, policy) = (Instant::now(), self.policy.borrow());
        history.resemblances(response, now).any(|resemblance| policy.shows_copy(resemblance, now))
    }

    /// Remembers the body of a response that was accepted.
    pub fn record_body(&self, response: ResponseDigest, connection: u64) {
        self.policy.borrow_mut().record_body(response, connection, Instant::now());
    }

    /// The counters.
    pub fn report(&self) -> ReuseReport {
        let counters = &self.counters;
        ReuseReport {
            opened: counters.opened.get(),
            reused: counters.reused.get(),
            excess: counters.excess.get(),
            closed: counters.closed.get(),
            expired: counters.expired.get(),
            resting: counters.resting.get(),
            waited: counters.waited.get(),
            copies: counters.copies.get(),
            early: counters.early.get(),
            followed: counters.followed.get(),
            no_news: counters.no_news.get(),
            rest_ms: self.required_rest().as_millis() as u64,
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
        self.monitor.policy.borrow_mut().record_late_response(excess.lateness, Instant::now());
        let ExcessBytes { bytes, lateness, connection_age, exchanges } = excess;
        log_line!(
            "{} sent {bytes} bytes beyond response {exchanges} of a connection, {:.1} ms after its end; \
             connection opened {:.3} s ago",
            self.name,
            lateness.as_secs_f64() * 1e3,
            connection_age.as_secs_f64()
        );
    }

    /// A response is not accepted; it began this long after the end of the one before it.
    pub fn on_doubt(&self, doubt: Doubt, lateness: Duration) {
        increment(match doubt {
            Doubt::Copy => &self.monitor.counters.copies,
            Doubt::Early => &self.monitor.counters.early,
            Doubt::Followed => &self.monitor.counters.followed,
            Doubt::NoNews => &self.monitor.counters.no_news,
        });
        // It may well be the response to the call.
        if doubt != Doubt::NoNews {
            self.monitor.policy.borrow_mut().record_late_response(lateness, Instant::now());
        }
        log_line!(
            "{}: response not accepted, {:.1} ms after the one before it: {doubt}",
            self.name,
            lateness.as_secs_f64() * 1e3
        );
    }
}
