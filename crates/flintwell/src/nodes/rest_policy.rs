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

/// How a response resembles an earlier one with the same body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resemblance {
    SamePath,
    OtherPath,
}

impl ResponseDigest {
    fn resemblance(&self, earlier: &ResponseDigest) -> Option<Resemblance> {
        (self.body == earlier.body).then_some(match self.path == earlier.path {
            true => Resemblance::SamePath,
            false => Resemblance::OtherPath,
        })
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
    /// How the response resembles recent ones with the same body.
    pub fn resemblances(
        &self,
        response: ResponseDigest,
        now: Instant,
    ) -> impl Iterator<Item = Resemblance> + '_ {
        let recent = self.0.iter().filter(move |(_, ended_at)| now.duration_since(*ended_at) < COPY_WINDOW);
        recent.filter_map(move |(earlier, _)| response.resemblance(earlier))
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
    paths_coincided_at: Option<Instant>,
    /// When two responses for one path were last seen to have the same body, on different connections.
    path_repeated_at: Option<Instant>,
    /// When two responses for one path were last seen to have different bodies.
    path_differed_at: Option<Instant>,
}

impl RestPolicy {
    /// A response came this late, or bytes of one. Danger: a peer that announces the end of an idle connection in words
    /// would end all reuse; so what no rest could have cleared is no evidence.
    pub fn record_late_response(&mut self, lateness: Duration, now: Instant) {
        if lateness < MAX_REST && lateness >= self.greatest_lateness(now) {
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
        for (earlier, other) in &self.bodies {
            match response.resemblance(earlier) {
                None if response.path == earlier.path => self.path_differed_at = Some(now),
                Some(Resemblance::SamePath) if *other != connection => self.path_repeated_at = Some(now),
                Some(Resemblance::OtherPath) if *other != connection => self.paths_coincided_at = Some(now),
                _ => {}
            }
        }
        if self.bodies.len() == REMEMBERED_BODIES {
            self.bodies.pop_front();
        }
        self.bodies.push_back((response, connection));
    }

    /// Whether a response that resembles an earlier one on its connection was made for another request: bodies differ
    /// from path to path as a rule, or even from request to request.
    pub fn shows_copy(&self, resemblance: Resemblance, now: Instant) -> bool {
        let is_recent = |at: Option<Instant>| at.is_some_and(|at| now.duration_since(at) < EVIDENCE_LIFETIME);
        match resemblance {
            Resemblance::OtherPath => !is_recent(self.paths_coincided_at),
            Resemblance::SamePath => is_recent(self.path_differed_at) && !is_recent(self.path_repeated_at),
        }
    }
}

#[cfg(test)]
mod tests;
