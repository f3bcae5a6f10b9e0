//! When each server started, by this process's own clock.
//!
//! A list tells starts by a wall clock, and a wall clock may be set. A start that is told for the first time lies between the
//! last list that did not tell it and now; what does not fit is dated as late as it may have been. Danger: a server that has just
//! restarted would pass for one that has been warm for an hour, and get more than it can bear.

use crate::Micros;
use std::collections::HashMap;

/// A server may be listed so long after its start, and clocks may differ by as much.
const LISTED_WITHIN: Micros = 60_000_000;
/// Servers that are remembered; far more than a fleet has.
const SERVERS_MOST: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct Start {
    told_at: Micros,
    started_at: Micros,
}

/// The starts that were told so far.
#[derive(Debug, Default)]
pub struct Starts {
    servers: HashMap<String, Start>,
}

impl Starts {
    /// The list tells at `now` that this server started at `told_at`, 0 for long ago; the list before it was confirmed at
    /// `since`, if it was. When the server started by our clock.
    pub fn learn(&mut self, server: &str, told_at: Micros, since: Option<Micros>, now: Micros) -> Micros {
        if let Some(known) = self.servers.get(server).filter(|known| known.told_at == told_at) {
            return known.started_at;
        }
        let earliest = since.map_or(Micros::MIN, |since| since - LISTED_WITHIN);
        let fits = told_at <= 0 || (earliest..=now).contains(&told_at);
        let started_at = if fits { told_at } else { now };
        if self.servers.len() < SERVERS_MOST || self.servers.contains_key(server) {
            self.servers.insert(server.to_owned(), Start { told_at, started_at });
        }
        started_at
    }

    /// When it started by our clock; none if it was never told.
    pub fn started_at(&self, server: &str) -> Option<Micros> {
        self.servers.get(server).map(|start| start.started_at)
    }

    /// Forgets those that are not listed, once there are many. Servers that come back soon are known again.
    pub fn forget(&mut self, is_listed: impl Fn(&str) -> bool) {
        if self.servers.len() >= SERVERS_MOST / 2 {
            self.servers.retain(|server, _| is_listed(server));
        }
    }
}
