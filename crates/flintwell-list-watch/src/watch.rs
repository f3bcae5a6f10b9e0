//! One proxy's calls for the list.
//!
//! While discovery can be reached, consecutive answers must not lie further apart than a lease lasts. So the
//! wait of a watch, the margin after it and the calls that replace a lost one fit together into a lease.

use crate::Micros;
use crate::backoff::{Failure, Failures, FleetPosition, frame_within, may_be_unreachable, was_queued};
use crate::lease::{Basis, Lease};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Minimum wait of a watch; a call that continues a watch costs discovery next to nothing.
const MIN_WAIT_US: Micros = 2_200_000;
/// Maximum wait of a watch; with the margin and two more calls it fits into a lease.
const MAX_WAIT_US: Micros = 3_200_000;
/// An answer that is later than its wait by this counts as lost; answers arrive within milliseconds of it.
const WAIT_MARGIN_US: Micros = 300_000;
/// Wait of a call after a failure; its immediate answer shows that no change was missed.
const CATCH_UP_WAIT_US: Micros = 1_000;
const CALL_TIMEOUT_US: Micros = 2_000_000; // for an answer that is due at once
/// The same right after an unanswered watch; this call may be lost as well.
const MIN_CALL_TIMEOUT_US: Micros = 800_000;
/// More than the wait in the queue of a discovery that takes 30 s to serve the fleet once.
const MAX_CALL_TIMEOUT_US: Micros = 32_000_000;
/// The time limit is at least the time for which calls have failed, divided by this.
const TIMEOUT_AGE_DIVISOR: Micros = 10;
/// Maximum time over which the first calls of processes that start together are spread.
const MAX_FIRST_CALL_FRAME_US: Micros = 1_000_000;
/// Minimum pause after a failed connection attempt or a second unanswered call.
const MIN_RETRY_PAUSE_US: Micros = 50_000;
/// Maximum of that pause, which bounds the time until the return of discovery is noticed.
const MAX_RETRY_PAUSE_US: Micros = 400_000;
const UNREACHABLE_AFTER_US: Micros = 800_000; // attempts that fail for this long are no momentary fault
const MIN_LOCAL_RETRY_PAUSE_US: Micros = 20_000; // after a fault of this host
const MAX_LOCAL_RETRY_PAUSE_US: Micros = 100_000;
/// Where lists are pushed: minimum of the maximum pause between calls, however short the drain grace.
const MIN_PUSHED_PAUSE_US: Micros = 20_000;
const MAX_PUSHED_PAUSE_US: Micros = 250_000; // the same at most, for the first calls after a failure

/// Settings of the list watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchConfig {
    /// Whether discovery pushes lists: then changes take effect whether or not a watch is open.
    pub lists_pushed: bool,
    /// Number of proxies that call the same discovery.
    pub fleet_size: u32,
    /// Index of this proxy among them, from 0.
    pub index: u32,
    /// Time from when a drain takes effect until no new request may be sent to the node.
    pub drain_grace: Micros,
}

/// Parameters of a call of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// How long discovery may hold the call until there is a change.
    pub wait: Micros,
    /// Time limit for the answer, from the start of the call.
    pub timeout: Micros,
}

/// The list watch of one proxy. Its methods report events; a returned time is when to act next.
pub struct Watch {
    config: WatchConfig,
    rng: ChaCha8Rng,
    lease: Lease,
    failures: Failures,
    last_failure: Option<Failure>,
    called_at: Micros,
    connecting_since: Micros,
    /// How long the last connection took to establish.
    dial_time: Micros,
    /// Whether a change may have been missed since the last answer.
    may_have_missed_change: bool,
    /// Since when no connection could be established.
    unreachable_since: Option<Micros>,
}

impl Watch {
    /// Creates the watch of a process that starts at `now` with a list under this lease.
    pub fn new(now: Micros, config: WatchConfig, lease: Lease, seed: u64) -> Self {
        Watch {
            config,
            rng: ChaCha8Rng::seed_from_u64(seed),
            lease,
            failures: Failures::default(),
            last_failure: None,
            called_at: now,
            connecting_since: now,
            dial_time: 0,
            may_have_missed_change: false,
            unreachable_since: None,
        }
    }

    /// Sets the drain grace after a change of the settings.
    pub fn set_drain_grace(&mut self, grace: Micros) {
        self.config.drain_grace = grace;
    }

    /// Lease on the current list.
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// When the first call of a process that starts at `now` is due.
    ///
    /// Danger: a process that restarts alone cannot serve before this call, so the call must not be delayed
    /// by the size of the fleet. If a whole fleet starts together, discovery refuses what exceeds its
    /// capacity, and the frames grow.
    pub fn first_call_at(&self, now: Micros) -> Micros {
        let frame = self.position().first_frame().min(MAX_FIRST_CALL_FRAME_US);
        if self.config.lists_pushed || frame == 0 { now } else { self.position().slot(now, frame) }
    }

    /// When a call is due that all proxies may have to make now, after a change of address or an outage.
    pub fn next_slot(&self, now: Micros) -> Micros {
        // Danger: the proxies of a fleet that start together, or see discovery return, would all call at the
        // same time.
        let first = self.position().first_frame();
        if self.config.lists_pushed || first == 0 {
            now
        } else {
            self.slot_within_lease(now).min(now + first)
        }
    }

    /// An attempt to connect to discovery begins.
    pub fn on_connecting(&mut self, now: Micros) {
        self.connecting_since = now;
    }

    /// The connection is established. Returns when the call may be sent on it.
    pub fn on_connected(&mut self, now: Micros) -> Micros {
        self.dial_time = (now - self.connecting_since).max(0);
        if self.unreachable_since.take().is_some() { self.next_slot(now) } else { now }
    }

    /// A call begins. `full_list` asks for the whole list, which is answered at once.
    pub fn begin_call(&mut self, now: Micros, full_list: bool) -> Call {
        self.called_at = now;
        // Danger: after a pause of this process, the last answer renewed the lease only from a time long
        // past, and a watch would outlast it.
        let would_outlast_lease = self.lease.remaining(now) <= MAX_WAIT_US + WAIT_MARGIN_US;
        if !self.may_have_missed_change && !full_list && !would_outlast_lease {
            // Danger: if a watch loses its answer, this is not noticed before the wait is over, while changes
            // take effect. And waits of equal length that begin together, after a change or a start, would
            // also end together.
            let wait = self.rng.random_range(MIN_WAIT_US..=MAX_WAIT_US);
            return Call { wait, timeout: wait + WAIT_MARGIN_US };
        }
        let timeout = match (self.failures.count, self.last_failure) {
            // This call may be lost as well, so the lease must leave time for another.
            (1, Some(Failure::Silent)) => {
                (self.lease.remaining(now) / 2).clamp(MIN_CALL_TIMEOUT_US, CALL_TIMEOUT_US)
            }
            // Danger: a caller that leaves the queue of a busy discovery early has cost it a call and got
            // nothing. A time limit that shrank with the age of the list fell below the wait in a full queue,
            // and no proxy was ever answered again.
            _ => (self.failures.age(now) / TIMEOUT_AGE_DIVISOR).clamp(CALL_TIMEOUT_US, MAX_CALL_TIMEOUT_US),
        };
        Call { wait: CATCH_UP_WAIT_US, timeout }
    }

    /// The call was answered with discovery's state as of `as_of` or, if that is later, as of the start of
    /// the call.
    pub fn on_answer(&mut self, as_of: Micros) {
        self.lease.renew(as_of.max(self.called_at), Basis::Answer);
        self.reset_failures();
    }

    /// A call past its time limit was answered. Its start is no longer known, so only `as_of` counts.
    pub fn on_late_answer(&mut self, as_of: Micros) {
        self.lease.renew(as_of, Basis::Answer);
        self.reset_failures();
    }

    /// The call failed at `now`. Returns when to call next.
    pub fn on_failure(&mut self, now: Micros, failure: Failure) -> Micros {
        if failure == Failure::Local {
            return now + self.rng.random_range(MIN_LOCAL_RETRY_PAUSE_US..=MAX_LOCAL_RETRY_PAUSE_US);
        }
        self.may_have_missed_change = true;
        if failure == Failure::Unreachable {
            return self.unreachable(now);
        }
        let (refused, duration) = (failure == Failure::Refused, now - self.called_at);
        let waited = refused && was_queued(duration, self.dial_time);
        if refused && may_be_unreachable(duration, self.dial_time) {
            self.lease.renew_after_late_refusal(self.called_at);
        }
        self.failures.add(now);
        self.last_failure = Some(failure);
        if self.config.lists_pushed {
            return now + self.pushed_pause(now);
        }
        match (self.failures.count, failure) {
            // An unanswered watch: waits are random, so those of a fleet do not end together.
            (1, Failure::Silent) => now,
            // The call that replaced it, for which the same holds.
            (2, Failure::Silent) => now + self.rng.random_range(MIN_RETRY_PAUSE_US..=MAX_RETRY_PAUSE_US),
            // Danger: the fault that ended this call may have ended those of the whole fleet, which would all
            // call again at the same time.
            _ if self.failures.are_early() => self.slot_within_lease(now),
            // Danger: an overloaded discovery would spend its capacity on refusing calls that are retried at
            // once.
            _ => {
                let frame = self.failures.frame(self.position(), now, waited);
                self.position().slot(now.max(self.called_at + frame / 2), frame)
            }
        }
    }

    /// Discovery has a new address, where no call has failed yet.
    ///
    /// Danger: the new address says nothing about the age of the list, so the lease must not be renewed.
    pub fn on_address_change(&mut self) {
        self.unreachable_since = None;
        self.reset_failures();
    }

    /// A connection attempt failed at `now`. Returns when to try again.
    fn unreachable(&mut self, now: Micros) -> Micros {
        let since = *self.unreachable_since.get_or_insert(self.connecting_since);
        // Danger: an attempt may fail because of a momentary fault while discovery is reachable and its
        // changes take effect. So the lease is renewed only after attempts have failed for some time.
        if now - since >= UNREACHABLE_AFTER_US {
            // Discovery was unreachable when this attempt began, so its changes until then have not taken
            // effect.
            self.lease.renew(self.connecting_since, Basis::Unreachable);
        }
        self.failures.reset();
        self.last_failure = None;
        now + self.unreachable_pause()
    }

    /// Resets the failure state.
    fn reset_failures(&mut self) {
        self.failures.reset();
        self.last_failure = None;
        self.may_have_missed_change = false;
    }

    fn position(&self) -> FleetPosition {
        FleetPosition { index: self.config.index, fleet_size: self.config.fleet_size }
    }

    /// The next slot of this proxy, in a frame that fits into the remaining time of the lease.
    fn slot_within_lease(&self, now: Micros) -> Micros {
        self.position().slot(now, frame_within(self.position(), self.lease.remaining(now)))
    }

    fn unreachable_pause(&mut self) -> Micros {
        let max_pause =
            if self.config.lists_pushed { self.max_initial_pushed_pause() } else { MAX_RETRY_PAUSE_US };
        self.rng.random_range(MIN_RETRY_PAUSE_US.min(max_pause / 2)..=max_pause)
    }

    fn max_initial_pushed_pause(&self) -> Micros {
        (self.config.drain_grace / 2).clamp(MIN_PUSHED_PAUSE_US, MAX_PUSHED_PAUSE_US)
    }

    /// Pause before the next call where lists are pushed; the first retry is immediate.
    ///
    /// Danger: changes that a returning discovery receives take effect at once, although no watch is open, so
    /// pauses are bounded by the drain grace at first.
    fn pushed_pause(&mut self, now: Micros) -> Micros {
        if self.failures.count == 1 {
            return 0;
        }
        let max_pause = self.max_initial_pushed_pause().max(self.failures.min_pushed_pause(now));
        self.rng.random_range(max_pause / 2..=max_pause)
    }
}
