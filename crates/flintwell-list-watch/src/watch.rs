//! One proxy's calls for the list.
//!
//! No two answers may lie further apart than a lease lasts while discovery can be reached: the wait of a watch, the doubt past
//! it and the calls that make good for it fit into it together.

use crate::Micros;
use crate::backoff::{Failure, Failures, Place, doubtful, frame_within, queued};
use crate::lease::{Basis, Lease};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WAIT: Micros = 2_200_000; // us; the least wait; a call that goes on with a watch costs discovery next to nothing
const WAIT_MOST: Micros = 3_200_000; // us; the most: with doubt and two calls more it fits into what is allowed
const LATE: Micros = 300_000; // us; past its wait an answer counts as lost. Ends of waits come within milliseconds
const CATCH_UP: Micros = 1_000; // us; the wait of a call after a failure: its answer tells that we miss nothing
const PATIENCE: Micros = 2_000_000; // us; for an answer that waits for nothing
const PATIENCE_LEAST: Micros = 800_000; // us; the same just after a watch fell silent, whose answer may be lost as well
const PATIENCE_MOST: Micros = 32_000_000; // us; more than a discovery takes that serves the fleet once in 30 s
const PATIENCE_SHARE: Micros = 10; // patience is at least this part of the time for which calls have failed
const FIRST_CALL_FRAME: Micros = 1_000_000; // us; the most over which processes that start as one call first
const AGAIN: Micros = 50_000; // us; the least pause after a connection that did not come up, or a second silence
const AGAIN_MOST: Micros = 400_000; // us; the longest: a discovery that returns is noticed so soon
const UNREACHABLE: Micros = 800_000; // us; tries that fail for so long are no fault of a moment
const LOCAL: Micros = 20_000; // us; the least pause after a fault of our own system
const LOCAL_MOST: Micros = 100_000; // us; the longest
const PUSHED_LEAST: Micros = 20_000; // us; where lists are pushed: between calls, however short the grace
const PUSHED_MOST: Micros = 250_000; // us; the same at most, of the first calls

/// What the settings tell of discovery.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Lists come by themselves: what discovery has counts as told whether or not a watch is open.
    pub pushed: bool,
    /// How many proxies call the same discovery, and which of them we are, from 0.
    pub fleet: u32,
    pub index: u32,
    /// From when a drain counts as told until nothing new may go there.
    pub grace: Micros,
}

/// A call of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// How long discovery may wait for something new.
    pub wait: Micros,
    /// From now on, within which an answer has to come.
    pub within: Micros,
}

/// The watch of the list.
pub struct Watch {
    figures: Figures,
    rng: ChaCha8Rng,
    lease: Lease,
    failures: Failures,
    last_failure: Option<Failure>,
    called_at: Micros,
    tried_at: Micros,
    /// How long the last connection took to come up.
    dial: Micros,
    /// Something may have been missed since the last answer.
    doubt: bool,
    /// Since when no connection has come up.
    unreachable_since: Option<Micros>,
}

impl Watch {
    /// Of a process that begins at `now` with a list under this lease.
    pub fn new(now: Micros, figures: Figures, lease: Lease, seed: u64) -> Self {
        Watch {
            figures,
            rng: ChaCha8Rng::seed_from_u64(seed),
            lease,
            failures: Failures::default(),
            last_failure: None,
            called_at: now,
            tried_at: now,
            dial: 0,
            doubt: false,
            unreachable_since: None,
        }
    }

    /// The settings have this grace from now on.
    pub fn grants(&mut self, grace: Micros) {
        self.figures.grace = grace;
    }

    /// For how long the list in hand may be acted on.
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// When the first call is due, of a process that begins now. Danger: a process may restart alone, and waits for this call;
    /// where a whole fleet starts as one, discovery refuses what it has no room for, and frames grow by that.
    pub fn first(&self, now: Micros) -> Micros {
        let frame = self.place().first_frame().min(FIRST_CALL_FRAME);
        if self.figures.pushed || frame == 0 { now } else { self.place().slot(now, frame) }
    }

    /// When a call is due that all proxies may have to make now: at a new place, or after an outage.
    pub fn slot(&self, now: Micros) -> Micros {
        // Danger: a fleet that starts as one, or that sees discovery return, would call as one.
        let first = self.place().first_frame();
        if self.figures.pushed || first == 0 { now } else { self.slot_within(now).min(now + first) }
    }

    /// A connection to discovery is tried from now on.
    pub fn connects(&mut self, now: Micros) {
        self.tried_at = now;
    }

    /// That connection is up; when the call may be written to it.
    pub fn connected(&mut self, now: Micros) -> Micros {
        self.dial = (now - self.tried_at).max(0);
        if self.unreachable_since.take().is_some() { self.slot(now) } else { now }
    }

    /// Discovery is called now. `whole`: for the whole list, which waits for nothing.
    pub fn call(&mut self, now: Micros, whole: bool) -> Call {
        self.called_at = now;
        // Danger: after a standstill of ours an answer vouches for a time long past, and a watch would outlast the lease.
        let outlasts = self.lease.left(now) <= WAIT_MOST + LATE;
        if !self.doubt && !whole && !outlasts {
            // Danger: what a watch misses that falls silent is not known before its wait is over, and counts meanwhile; and
            // waits of one length end as one where they began as one, after a change or a start.
            let wait = self.rng.random_range(WAIT..=WAIT_MOST);
            return Call { wait, within: wait + LATE };
        }
        let within = match (self.failures.count, self.last_failure) {
            // This one may be lost as well, so there has to be time for another.
            (1, Some(Failure::Silent)) => (self.lease.left(now) / 2).clamp(PATIENCE_LEAST, PATIENCE),
            // Danger: whoever leaves a busy discovery's queue before its turn has cost it a call and has nothing. Patience that
            // shrank as the list grew older ended below the wait of a full queue, and a whole fleet was never told again.
            _ => (self.failures.age(now) / PATIENCE_SHARE).clamp(PATIENCE, PATIENCE_MOST),
        };
        Call { wait: CATCH_UP, within }
    }

    /// An answer has come and told all that discovery had at `as_of`, which is no earlier than its call.
    pub fn answered(&mut self, as_of: Micros) {
        self.lease.renew(as_of.max(self.called_at), Basis::Answer);
        self.well();
    }

    /// The same of a call whose time was up before; nothing is known of when it was made.
    pub fn answered_late(&mut self, as_of: Micros) {
        self.lease.renew(as_of, Basis::Answer);
        self.well();
    }

    /// The call has failed at `now`; when to call next.
    pub fn failed(&mut self, now: Micros, failure: Failure) -> Micros {
        if failure == Failure::Local {
            return now + self.rng.random_range(LOCAL..=LOCAL_MOST);
        }
        self.doubt = true;
        if failure == Failure::Unreachable {
            return self.unreachable(now);
        }
        let (refused, took) = (failure == Failure::Refused, now - self.called_at);
        let waited = refused && queued(took, self.dial);
        if refused && doubtful(took, self.dial) {
            self.lease.renew_in_doubt(self.called_at);
        }
        self.failures.add(now);
        self.last_failure = Some(failure);
        if self.figures.pushed {
            return now + self.pause_pushed(now);
        }
        match (self.failures.count, failure) {
            // A watch that fell silent: waits were drawn, so the fleet's do not end as one.
            (1, Failure::Silent) => now,
            // And the call that made good for it, of which the same holds.
            (2, Failure::Silent) => now + self.rng.random_range(AGAIN..=AGAIN_MOST),
            // Danger: what ended this call may have ended those of a whole fleet, which then would call as one.
            _ if self.failures.early() => self.slot_within(now),
            // Danger: a discovery that refuses for having too many callers spends itself on those that come again at once.
            _ => {
                let frame = self.failures.frame(self.place(), now, waited);
                self.place().slot(now.max(self.called_at + frame / 2), frame)
            }
        }
    }

    /// Discovery is elsewhere from now on, and nothing has failed there yet. Danger: the move tells nothing of the list, which
    /// stays as old as it is.
    pub fn moved(&mut self) {
        self.unreachable_since = None;
        self.well();
    }

    /// No connection came up by `now`; when to try again.
    fn unreachable(&mut self, now: Micros) -> Micros {
        let since = *self.unreachable_since.get_or_insert(self.tried_at);
        // Danger: a connection may fail for a moment while discovery is there, and what it has counts meanwhile.
        if now - since >= UNREACHABLE {
            // Discovery could not be reached when this try began, so nothing that it had by then counts yet.
            self.lease.renew(self.tried_at, Basis::Unreachable);
        }
        self.failures.forget();
        self.last_failure = None;
        now + self.pause_unreachable()
    }

    fn well(&mut self) {
        self.failures.forget();
        self.last_failure = None;
        self.doubt = false;
    }

    fn place(&self) -> Place {
        Place { index: self.figures.index, fleet: self.figures.fleet }
    }

    /// Our slot within what is left of the lease.
    fn slot_within(&self, now: Micros) -> Micros {
        self.place().slot(now, frame_within(self.place(), self.lease.left(now)))
    }

    fn pause_unreachable(&mut self) -> Micros {
        let most = if self.figures.pushed { self.pushed_most() } else { AGAIN_MOST };
        self.rng.random_range(AGAIN.min(most / 2)..=most)
    }

    fn pushed_most(&self) -> Micros {
        (self.figures.grace / 2).clamp(PUSHED_LEAST, PUSHED_MOST)
    }

    /// Danger: where lists are pushed, what discovery gets at its return counts at once, with nobody watching.
    fn pause_pushed(&mut self, now: Micros) -> Micros {
        if self.failures.count == 1 {
            return 0;
        }
        let most = self.pushed_most().max(self.failures.pause_pushed(now));
        self.rng.random_range(most / 2..=most)
    }
}
