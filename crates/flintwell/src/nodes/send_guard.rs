//! The final check, directly before the first byte of a request, of whether it may be sent to its node; and
//! counters of requests that were sent although a rule forbade it, which have to stay zero.

use crate::clients::client_socket::ClientSocket;
use crate::fleet::lease::ListLease;
use crate::log_line;
use crate::nodes::exchange_error::{ExchangeError, FailureCause};
use crate::nodes::pool::Pool;
use crate::process::clock::to_duration;
use crate::process::counter::{Counter, increment};
use flintwell_core::interface::{Micros, NodeId};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

const MAX_SEND_DELAY: Duration = Duration::from_millis(50); // from check to first byte; every rule allows more
const CHOICE_AGE_MARGIN: Duration = Duration::from_millis(30); // beyond a dial: for a permit, and to be scheduled

/// A request about to be sent, as far as the rules need it.
#[derive(Clone)]
pub struct PendingSend {
    pub node: NodeId,
    /// Generation of the node's connection.
    pub generation: u64,
    /// When the routing policy chose the node.
    pub chosen_at: Instant,
    /// Time limit of the attempt.
    pub timeout: Micros,
    /// When nodes stop to recognize it as a repeat; none if it is not a repeat.
    pub send_by: Option<Instant>,
    /// Until when its last byte may be written.
    pub last_byte_by: Option<Instant>,
    pub client: ClientSocket,
}

impl PendingSend {
    /// Returns the reason if the last byte of a long request may not be written now. Its first bytes were sent in time,
    /// so the list is not asked again.
    pub fn check_last_byte(&self) -> Result<(), FailureCause> {
        // Danger: the window for a repeat, or the request's time limit, may have passed since the first byte.
        if self.last_byte_by.is_some_and(|last_byte_by| Instant::now() >= last_byte_by) {
            return Err(FailureCause::Expired);
        }
        // Danger: a node begins a request at its last byte, and the client may have left in the middle.
        if self.client.has_disconnected() { Err(FailureCause::ClientDisconnected) } else { Ok(()) }
    }
}

/// Counters of requests that were sent against a rule, by rule.
#[derive(Clone, Default)]
pub struct Violations {
    /// To a node that was not listed as ready.
    pub unlisted: Counter,
    /// Without a valid lease on the node list.
    pub lapsed: Counter,
    /// After the attempt's time limit or the window in which it had to be sent.
    pub stale: Counter,
    /// For a client that had disconnected.
    pub client_disconnected: Counter,
}

impl Violations {
    /// The counters by their outer names.
    pub fn by_name(&self) -> BTreeMap<&'static str, u64> {
        let Violations { unlisted, lapsed, stale, client_disconnected } = self;
        let named =
            [("unlisted", unlisted), ("lapsed", lapsed), ("stale", stale), ("left", client_disconnected)];
        named.into_iter().map(|(name, count)| (name, count.get())).collect()
    }

    fn record(&self, cause: &FailureCause) {
        match cause {
            FailureCause::Lapsed => increment(&self.lapsed),
            FailureCause::Expired => increment(&self.stale),
            FailureCause::ClientDisconnected => increment(&self.client_disconnected),
            _ => increment(&self.unlisted),
        }
    }
}

/// Decides whether a request may be sent now.
#[derive(Clone)]
pub struct SendGuard {
    pub pool: Rc<Pool>,
    pub lease: Rc<ListLease>,
    pub violations: Violations,
}

impl SendGuard {
    /// Returns an error with the reason if the request may not be sent now.
    pub fn check(&self, pending: &PendingSend) -> Result<(), ExchangeError> {
        // Danger: a list that could not be renewed may still contain nodes that have left; once its lease has
        // lapsed, such changes count as known to this proxy.
        if !self.lease.is_valid() {
            return Err(ExchangeError::before_write(FailureCause::Lapsed));
        }
        // Danger: the list may have changed since the node was chosen or its connection was opened, and a request counts
        // as sent at its first byte.
        self.pool.check_current(&pending.node, pending.generation)?;
        // Danger: the window for a repeat, or the request's time limit, may have passed; the policy reserved
        // no more than the time of a dial for either.
        let age = pending.chosen_at.elapsed();
        let is_late_repeat = pending.send_by.is_some_and(|send_by| Instant::now() >= send_by);
        let max_age = to_duration(pending.timeout).min(self.pool.dial_timeout + CHOICE_AGE_MARGIN);
        if is_late_repeat || age >= max_age {
            return Err(ExchangeError::before_write(FailureCause::Expired));
        }
        // Danger: the client may have disconnected meanwhile; the node would execute a request whose response
        // cannot be delivered.
        if pending.client.has_disconnected() {
            Err(ExchangeError::before_write(FailureCause::ClientDisconnected))
        } else {
            Ok(())
        }
    }

    /// Called when the first bytes of a request that passed the check at `permitted_at` were written: counts
    /// a violation if it may not be sent any more.
    pub fn check_sent(&self, pending: &PendingSend, permitted_at: Instant) {
        if permitted_at.elapsed() < MAX_SEND_DELAY {
            return;
        }
        if let Err(error) = self.check(pending) {
            self.violations.record(&error.cause);
            log_line!("request sent to {} in violation of a rule: {error}", pending.node);
        }
    }
}
