//! When to call discovery again, one proxy of many.
//!
//! Discovery works through calls in turn, and nobody is told how many it can take. A fleet that calls more often than that
//! keeps it busy with calls that fail, for ever (a metastable failure). So:
//! - Calls that many proxies may have to make at the same time get a slot each in a *frame*: the proxy's number among the
//!   fleet is its place in it, so the calls of a fleet come evenly with no word between the proxies.
//! - The first failures are taken for faults of one call and made good while the lease lasts. From the third on the frame
//!   grows with the time for which calls have failed, whatever became of the lease: a shorter frame would tell nobody sooner.
//! - A refusal that came only after a while stood in a queue, and cost discovery work; then the frame grows faster.

use crate::Micros;

const EACH: Micros = 90_000; // us a proxy of a first frame; only a start, since frames grow with failures
const FRAME_FIRST: Micros = 2_900_000; // us; the longest first frame: with a lost call beside it fits into a lease
const FRAME_LEAST: Micros = 200_000; // us; after an end that may have met all, however few they are
const FRAME_MOST: Micros = 60_000_000; // us; a discovery that serves the fleet once in 30 s is then half idle
const SHARE: Micros = 6; // a frame is at most this part of the time for which calls have failed
const SHARE_QUEUED: Micros = 2; // the same after a refusal that stood in a queue
const SHARE_PUSHED: Micros = 8; // the same where lists are pushed, and what discovery has counts at once
const LONG: Micros = 24_000_000; // us; calls that fail for longer are no short outage; frames grow with the square from then on
const AGE_MOST: Micros = 86_400_000_000; // us; a day; frames have long been at their most by then
const QUEUED: Micros = 100_000; // us; a refusal that took longer has waited for its turn
const DOUBTFUL: Micros = 500_000; // us; a refusal that took longer may come from what stands before a discovery that is down
const DIALS: Micros = 3; // times that a connection took to come up; the way of an answer that waited for nothing
const EARLY: u32 = 2; // failures in a row that are taken for faults of single calls

/// Why a call has failed. Each asks for another answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came up: discovery is down, or there is no way to it. Trying again costs it nothing.
    Unreachable,
    /// Our own system had no socket, address or memory for it. Discovery knows nothing of it.
    Local,
    /// It answered that it would not, as one does that has too many callers, or that is down behind a balancer.
    Refused,
    /// The connection ended, or what came makes no sense.
    Broken,
    /// No answer in time.
    Silent,
}

/// This proxy's place among those that call the same discovery.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    pub index: u32,
    pub fleet: u32,
}

impl Place {
    /// The first moment from `from` on that is this proxy's in frames of this length.
    pub fn slot(self, from: Micros, frame: Micros) -> Micros {
        let fleet = Micros::from(self.fleet.max(1));
        let own = frame * (Micros::from(self.index) % fleet) / fleet;
        from + (own - from).rem_euclid(frame.max(1))
    }

    /// The first frame of a fleet: as long as its calls may take a discovery of which nothing is known.
    pub fn first_frame(self) -> Micros {
        (EACH * Micros::from(self.fleet.saturating_sub(1))).min(FRAME_FIRST)
    }
}

/// What is known of calls that fail in a row.
#[derive(Clone, Copy, Debug, Default)]
pub struct Failures {
    /// How many, not counting those that never left our own machine.
    pub count: u32,
    /// The first one's time.
    since: Option<Micros>,
}

impl Failures {
    /// One more, at `now`.
    pub fn add(&mut self, now: Micros) {
        self.count = self.count.saturating_add(1);
        self.since.get_or_insert(now);
    }

    /// For how long calls have failed, and more than that after a long time.
    pub fn age(&self, now: Micros) -> Micros {
        let age = self.since.map_or(0, |since| (now - since).clamp(0, AGE_MOST));
        if age <= LONG { age } else { age / 1_000 * (age / 1_000) / (LONG / 1_000) * 1_000 }
    }

    /// An answer has come, or discovery could not be reached meanwhile: what failed before tells nothing any more.
    pub fn forget(&mut self) {
        *self = Failures::default();
    }

    /// Whether they may be faults of single calls, which say nothing of how much discovery has to do.
    pub fn early(&self) -> bool {
        self.count <= EARLY
    }

    /// The frame within which each proxy of a fleet calls once, where calls have failed for this long.
    pub fn frame(&self, place: Place, now: Micros, queued: bool) -> Micros {
        let share = if queued { SHARE_QUEUED } else { SHARE };
        let bearable = (self.age(now) / share).min(FRAME_MOST);
        let mut frame = place.first_frame().max(FRAME_LEAST);
        // Doubled, so that proxies whose calls have failed for some different time have frames that fit into each other.
        while frame * 2 <= bearable {
            frame *= 2;
        }
        frame
    }

    /// The least pause where lists are pushed, which grows as frames do.
    pub fn pause_pushed(&self, now: Micros) -> Micros {
        (self.age(now) / SHARE_PUSHED).min(FRAME_MOST)
    }
}

/// Whether a call refused after `took` has waited for something, where a connection came up in `dial`.
pub fn queued(took: Micros, dial: Micros) -> bool {
    took_over(QUEUED, took, dial)
}

/// A frame that fits into what is left of a lease, with time for one more call behind it; a first frame where that is too late.
pub fn frame_within(place: Place, left: Micros) -> Micros {
    let first = place.first_frame().max(FRAME_LEAST);
    if left / 2 < FRAME_LEAST { first } else { first.min(left / 2) }
}

/// Whether a call refused after `took` leaves in doubt that discovery was reached. Danger: a slow way makes each answer late, so
/// this takes far longer than what shows that a call has waited.
pub fn doubtful(took: Micros, dial: Micros) -> bool {
    took_over(DOUBTFUL, took, dial)
}

/// Whether an answer took longer than `least` beyond its way there and back.
fn took_over(least: Micros, took: Micros, dial: Micros) -> bool {
    took > least + DIALS * dial
}
