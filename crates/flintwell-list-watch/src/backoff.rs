//! Backoff for calls of discovery by one proxy of many.
//!
//! Discovery processes calls in turn, and its capacity is not known to the proxies. A fleet that calls more often than it
//! can answer keeps it busy for ever with calls that fail (a metastable failure). Therefore:
//! - Calls that many proxies may have to make at the same time are spread over a *frame*, in which each proxy has a slot at
//!   its index in the fleet. So the calls of a fleet are evenly spaced without communication between the proxies.
//! - The first two failures are treated as faults of single calls and retried while the lease is valid. From the third on
//!   the frame grows with the time for which calls have failed, even if the lease expires meanwhile: with a shorter frame
//!   no proxy would get its answer sooner.
//! - A refusal that came only after a while has waited in a queue and cost discovery work, so the frame grows faster.

use crate::Micros;

const FIRST_FRAME_US_PER_PROXY: Micros = 90_000; // only an initial value, since frames grow with failures
const MAX_FIRST_FRAME_US: Micros = 2_900_000; // together with a lost call it fits into a lease
const MIN_FRAME_US: Micros = 200_000; // after a failure that may have hit the whole fleet, however small it is
const MAX_FRAME_US: Micros = 60_000_000; // a discovery that takes 30 s to serve the fleet once is then half idle
const FRAME_AGE_DIVISOR: Micros = 6; // a frame is at most the time for which calls have failed divided by this
const QUEUED_FRAME_AGE_DIVISOR: Micros = 2; // the same after a refusal that waited in a queue
const PUSHED_PAUSE_AGE_DIVISOR: Micros = 8; // the same for pauses where lists are pushed, since changes at discovery then take effect at once
const LONG_OUTAGE_US: Micros = 24_000_000; // beyond this, frames grow with the square of the time for which calls have failed
const MAX_AGE_US: Micros = 86_400_000_000; // a day; frames have reached their maximum long before
const QUEUED_REFUSAL_US: Micros = 100_000; // a refusal that took longer has waited in a queue
const DOUBTFUL_REFUSAL_US: Micros = 500_000; // a refusal that took longer may come from a load balancer whose discovery is down
const DIALS_PER_ANSWER: Micros = 3; // an immediate answer takes at most this many times the connection's dial time
const MAX_EARLY_FAILURES: u32 = 2; // consecutive failures that are treated as faults of single calls

/// Why a call failed; each cause has its own retry policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be established: discovery or the path to it is down. Retries cost discovery nothing.
    Unreachable,
    /// This host had no socket, address or memory for the call, so it never left the host.
    Local,
    /// The answer was a refusal, as from an overloaded discovery or from a load balancer whose discovery is down.
    Refused,
    /// The connection was closed, or the answer was malformed.
    Broken,
    /// No answer within the time limit.
    Silent,
}

/// Position of this proxy among those that call the same discovery.
#[derive(Clone, Copy, Debug)]
pub struct FleetPosition {
    /// Index of this proxy, from 0.
    pub index: u32,
    /// Number of proxies.
    pub fleet: u32,
}

impl FleetPosition {
    /// Start of this proxy's first slot at or after `from`, in frames of this length.
    pub fn slot(self, from: Micros, frame: Micros) -> Micros {
        let fleet = Micros::from(self.fleet.max(1));
        let offset = frame * (Micros::from(self.index) % fleet) / fleet;
        from + (offset - from).rem_euclid(frame.max(1))
    }

    /// Initial frame of a fleet, used while discovery's capacity is unknown.
    pub fn first_frame(self) -> Micros {
        (FIRST_FRAME_US_PER_PROXY * Micros::from(self.fleet.saturating_sub(1))).min(MAX_FIRST_FRAME_US)
    }
}

/// State of a run of consecutive failed calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Failures {
    /// Number of failures, without those of [`Failure::Local`].
    pub count: u32,
    /// Time of the first failure.
    since: Option<Micros>,
}

impl Failures {
    /// Adds a failure at `now`.
    pub fn add(&mut self, now: Micros) {
        self.count = self.count.saturating_add(1);
        self.since.get_or_insert(now);
    }

    /// Time for which calls have failed; grows with its square beyond [`LONG_OUTAGE_US`].
    pub fn age(&self, now: Micros) -> Micros {
        let age = self.since.map_or(0, |since| (now - since).clamp(0, MAX_AGE_US));
        if age <= LONG_OUTAGE_US { age } else { age / 1_000 * (age / 1_000) / (LONG_OUTAGE_US / 1_000) * 1_000 }
    }

    /// Resets the state, when an answer has arrived or discovery was unreachable: earlier failures then say nothing about
    /// discovery's load.
    pub fn reset(&mut self) {
        *self = Failures::default();
    }

    /// Whether the failures may be faults of single calls, which say nothing about discovery's load.
    pub fn are_early(&self) -> bool {
        self.count <= MAX_EARLY_FAILURES
    }

    /// Frame within which each proxy of the fleet calls once, given the time for which calls have failed.
    pub fn frame(&self, position: FleetPosition, now: Micros, was_queued: bool) -> Micros {
        let divisor = if was_queued { QUEUED_FRAME_AGE_DIVISOR } else { FRAME_AGE_DIVISOR };
        let max_frame = (self.age(now) / divisor).min(MAX_FRAME_US);
        let mut frame = position.first_frame().max(MIN_FRAME_US);
        // Powers of two keep the frames of proxies aligned whose calls began to fail at different times.
        while frame * 2 <= max_frame {
            frame *= 2;
        }
        frame
    }

    /// Minimum pause between calls where lists are pushed; it grows like the frame.
    pub fn min_pushed_pause(&self, now: Micros) -> Micros {
        (self.age(now) / PUSHED_PAUSE_AGE_DIVISOR).min(MAX_FRAME_US)
    }
}

/// Whether a call that was refused after `took` has waited in a queue; `dial` is the time that the connection took to
/// establish.
pub fn was_queued(took: Micros, dial: Micros) -> bool {
    took_longer(QUEUED_REFUSAL_US, took, dial)
}

/// A frame that fits into the remaining time of a lease and leaves time for one more call; the initial frame if too little
/// time remains.
pub fn frame_within(position: FleetPosition, remaining: Micros) -> Micros {
    let first = position.first_frame().max(MIN_FRAME_US);
    if remaining / 2 < MIN_FRAME_US { first } else { first.min(remaining / 2) }
}

/// Whether it is in doubt that a call which was refused after `took` has reached discovery.
///
/// Danger: a slow path delays every answer, so an overloaded discovery could be taken for an unreachable one. The threshold
/// is therefore far higher than that for having waited in a queue.
pub fn may_be_unreachable(took: Micros, dial: Micros) -> bool {
    took_longer(DOUBTFUL_REFUSAL_US, took, dial)
}

/// Whether an answer took longer than `least` beyond its round trip.
fn took_longer(min_us: Micros, took: Micros, dial: Micros) -> bool {
    took > min_us + DIALS_PER_ANSWER * dial
}
