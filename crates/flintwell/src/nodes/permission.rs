//! The one place that says whether a request may be sent to a node now, asked directly before its first byte; and the count of
//! requests that were sent though they might not be, which has to stay zero.

use crate::clients::client_socket::ClientSocket;
use crate::fleet::lease::ListLease;
use crate::nodes::link::{Broken, Cause};
use crate::nodes::pool::Pool;
use crate::process::clock::span;
use crate::process::count::{Count, one_more};
use crate::say;
use flintwell_core::interface::{Micros, NodeId};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

const CROSSING: Duration = Duration::from_millis(50); // from permission to the first byte; every rule has more slack than that
const MARGIN: Duration = Duration::from_millis(30); // beyond a dial: room for the connection, and the turn of our core

/// What is to be sent, as far as the rules ask.
#[derive(Clone)]
pub struct Sending {
    pub node: NodeId,
    /// When the module chose it, and for how long it allowed the attempt.
    pub chosen_at: Instant,
    pub allow_for: Micros,
    pub client: ClientSocket,
}

/// Requests sent though they might not be, by the rule that they broke.
#[derive(Clone, Default)]
pub struct Violations {
    /// To a node that was not listed as ready.
    pub unlisted: Count,
    /// By a list so old that what it lacked counted as told.
    pub lapsed: Count,
    /// Beyond the time or the window that they had.
    pub stale: Count,
    /// For a client that had left.
    pub left: Count,
}

impl Violations {
    /// Each count by its name.
    pub fn by_name(&self) -> BTreeMap<&'static str, u64> {
        let Violations { unlisted, lapsed, stale, left } = self;
        let named = [("unlisted", unlisted), ("lapsed", lapsed), ("stale", stale), ("left", left)];
        named.into_iter().map(|(name, count)| (name, count.get())).collect()
    }

    fn count(&self, cause: &Cause) {
        match cause {
            Cause::Lapsed => one_more(&self.lapsed),
            Cause::Stale => one_more(&self.stale),
            Cause::Left => one_more(&self.left),
            _ => one_more(&self.unlisted),
        }
    }
}

/// Who may send what.
#[derive(Clone)]
pub struct Permission {
    pub pool: Rc<Pool>,
    pub lease: Rc<ListLease>,
    pub violations: Violations,
}

impl Permission {
    /// Whether this may be sent now; if not, why.
    pub fn now(&self, sending: &Sending) -> Result<(), Broken> {
        // Danger: a list that discovery could not renew lacks servers that have left, and what it lacks counts as told.
        if !self.lease.holds() {
            return Err(Broken::unwritten(Cause::Lapsed));
        }
        // Danger: the list may have changed since the module chose, and a send counts from its first byte.
        self.pool.listed(&sending.node)?;
        // Danger: a window for repeats, or the request's time, may be over; the module left a dial's time of either.
        let since = sending.chosen_at.elapsed();
        if since >= span(sending.allow_for) || since > self.pool.dial_within + MARGIN {
            return Err(Broken::unwritten(Cause::Stale));
        }
        // Danger: a client that left meanwhile would have its request carried out for nobody.
        if sending.client.has_disconnected() { Err(Broken::unwritten(Cause::Left)) } else { Ok(()) }
    }

    /// The first bytes of what was permitted at `permitted_at` are written: counts it if it may not be sent any more.
    pub fn check_sent(&self, sending: &Sending, permitted_at: Instant) {
        if permitted_at.elapsed() < CROSSING {
            return;
        }
        if let Err(broken) = self.now(sending) {
            self.violations.count(&broken.cause);
            say!("a request was sent to {} against a rule: {broken}", sending.node);
        }
    }
}
