//! When each server started, by this process's clock.
//!
//! A list gives start times by a wall clock, which may be set. A start that is listed for the first time lies between the
//! last list without it and now; a listed time outside of this range is replaced by the latest possible one. Danger: with a
//! wall clock that is off, a server that has just restarted would pass for one that has been warm for an hour, and get more
//! load than a cold cache can take.

use crate::Micros;
use std::collections::HashMap;

/// Maximum delay between a server's start and its listing, and maximum clock difference.
const MAX_LISTING_DELAY_US: Micros = 60_000_000;
/// Maximum number of servers remembered; far more than a fleet has.
const MAX_SERVERS: usize = 16_384;

/// Start of one server.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// As listed.
    listed_at: Micros,
    /// By this process's clock.
    started_at: Micros,
}

/// Start times of the servers listed so far.
#[derive(Debug, Default)]
pub struct NodeStarts {
    servers: HashMap<String, Start>,
}

impl NodeStarts {
    /// Records that a list received at `now` gives `listed_at` as the start of a server, with 0 for long ago. `since` is when
    /// the list before it was confirmed, if it was. Returns the start by this process's clock.
    pub fn record(&mut self, server: &str, listed_at: Micros, since: Option<Micros>, now: Micros) -> Micros {
        if let Some(known) = self.servers.get(server).filter(|known| known.listed_at == listed_at) {
            return known.started_at;
        }
        let earliest = since.map_or(Micros::MIN, |since| since - MAX_LISTING_DELAY_US);
        let fits = listed_at <= 0 || (earliest..=now).contains(&listed_at);
        let started_at = if fits { listed_at } else { now };
        if self.servers.len() < MAX_SERVERS || self.servers.contains_key(server) {
            self.servers.insert(server.to_owned(), Start { listed_at, started_at });
        }
        started_at
    }

    /// When the server started by this process's clock; `None` if it was never listed.
    pub fn started_at(&self, server: &str) -> Option<Micros> {
        self.servers.get(server).map(|start| start.started_at)
    }

    /// Removes servers that are no longer listed once many are recorded. Until then, a server that is listed again keeps its
    /// start.
    pub fn prune(&mut self, is_listed: impl Fn(&str) -> bool) {
        if self.servers.len() >= MAX_SERVERS / 2 {
            self.servers.retain(|server, _| is_listed(server));
        }
    }
}
