//! Decides when a connection may carry another exchange, and which responses on it are in doubt.
//!
//! HTTP/1.1 matches a response to its request by order alone. A peer that sends a second response some time after
//! the first one therefore answers whatever request is then outstanding on the connection. So a connection rests
//! after each exchange, for longer once responses were seen to come later, and a response that a rest can't have
//! cleared is compared with those before it. No I/O and no clock.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

const MIN_REST: Duration = Duration::from_millis(25);
const MAX_REST: Duration = Duration::from_secs(2); // beyond it connections are opened anew rather than kept
/// The rest, in terms of the greatest lateness seen.
const REST_PER_LATENESS: u32 = 4;
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(600);
/// Longest wait for a rest to end; the time limit that a node is told was set before it.
const MAX_REST_WAIT: Duration = Duration::from_millis(50);
/// Weight of the most recent response in the mean response time.
const RESPONSE_TIME_WEIGHT: f64 = 0.1;
/// Second responses are expected within this time. A first response that comes sooner after the previous one may be such a
/// second response.
pub const DOUBT_WINDOW: Duration = Duration::from_millis(400);
/// A response is compared with those that came on its connection within this time before.
const COPY_WINDOW: Duration = Duration::from_secs(2);
/// Responses with a shorter body are often equal by chance.
const MIN_DISTINCT_BODY_BYTES: usize = 8;
const REMEMBERED_RESPONSES: usize = 80; // of a connection: those of the window, at the least rest
const REMEMBERED_BODIES: usize = 64; // of all connections

/// A response as far as it is compared with others: hashes of its body and of the request's path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseDigest {
    pub body: u64,
    pub path: u64,
}

impl ResponseDigest {
    /// Whether a response to `path` repeats this one, made for another path.
    fn is_repeated_by(&self, other: &ResponseDigest) -> bool {
        self.body == other.body && self.path != other.path
    }
}

/// Whether the body is long enough to be compared.
pub fn is_distinct(body: &[u8]) -> bool {
    body.len() >= MIN_DISTINCT_BODY_BYTES
}

/// The most recent responses on one connection.
#[derive(Debug, Default)]
pub struct ResponseHistory(VecDeque<(ResponseDigest, Instant)>);

impl ResponseHistory {
    /// Whether the response repeats a recent one that was made for another path.
    pub fn has_copy_of(&self, response: &ResponseDigest, now: Instant) -> bool {
        let is_copy = |(earlier, ended_at): &(ResponseDigest, Instant)| {
            now.duration_since(*ended_at) < COPY_WINDOW && earlier.is_repeated_by(response)
        };
        self.0.iter().any(is_copy)
    }

    /// Adds the most recent response.
    pub fn push(&mut self, response: ResponseDigest, now: Instant) {
        let is_old = |(_, ended_at): &(ResponseDigest, Instant)| now.duration_since(*ended_at) >= COPY_WINDOW;
        while self.0.len() >= REMEMBERED_RESPONSES || self.0.front().is_some_and(is_old) {
            self.0.pop_front();
        }
        self.0.push_back((response, now));
    }
}

/// What to do about a connection whose rest is not over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rest {
    /// It may be used after this time, which may be zero.
    Wait(Duration),
    /// Another connection is to be opened.
    TooLong,
}

/// The evidence about late responses that all connections of the process have given.
#[derive(Debug, Default)]
pub struct RestPolicy {
    /// The greatest lateness, and when it was seen.
    greatest: Option<(Duration, Instant)>,
    /// Mean time from a request to its response.
    response_time: Duration,
    /// Recent bodies, with the connections that they came on.
    bodies: VecDeque<(ResponseDigest, u64)>,
    /// When different paths were last seen to have the same body, on different connections.
    coincided_at: Option<Instant>,
}

impl RestPolicy {
    /// A response came this late, or bytes of one.
    pub fn record_late_response(&mut self, lateness: Duration, now: Instant) {
        if lateness >= self.greatest_lateness(now) {
            self.greatest = Some((lateness, now));
        }
    }

    fn greatest_lateness(&self, now: Instant) -> Duration {
        let recent = self.greatest.filter(|(_, seen_at)| now.duration_since(*seen_at) < EVIDENCE_LIFETIME);
        recent.map_or(Duration::ZERO, |(lateness, _)| lateness)
    }

    /// How long a connection rests after an exchange.
    pub fn required_rest(&self, now: Instant) -> Duration {
        (self.greatest_lateness(now) * REST_PER_LATENESS).clamp(MIN_REST, MAX_REST)
    }

    /// A response took this long.
    pub fn record_response_time(&mut self, took: Duration) {
        let weight = if self.response_time.is_zero() { 1.0 } else { RESPONSE_TIME_WEIGHT };
        self.response_time = self.response_time.mul_f64(1.0 - weight) + took.mul_f64(weight);
    }

    /// What to do about a connection that has been idle for this long. A wait that is short compared with a response
    /// spares the peer the work of another connection.
    pub fn rest_of(&self, idle: Duration, now: Instant) -> Rest {
        match self.required_rest(now).saturating_sub(idle) {
            rest if rest <= self.response_time.min(MAX_REST_WAIT) => Rest::Wait(rest),
            _ => Rest::TooLong,
        }
    }

    /// Remembers the body of a response on a connection.
    pub fn record_body(&mut self, response: ResponseDigest, connection: u64, now: Instant) {
        let coincides = |(earlier, other): &(ResponseDigest, u64)| {
            *other != connection && earlier.is_repeated_by(&response)
        };
        if self.bodies.iter().any(coincides) {
            self.coincided_at = Some(now);
        }
        if self.bodies.len() == REMEMBERED_BODIES {
            self.bodies.pop_front();
        }
        self.bodies.push_back((response, connection));
    }

    /// Whether bodies differ from path to path, so that a copy shows that a response was made for another request.
    pub fn bodies_are_distinct(&self, now: Instant) -> bool {
        self.coincided_at.is_none_or(|at| now.duration_since(at) >= EVIDENCE_LIFETIME)
    }
}

#[cfg(test)]
mod tests;
