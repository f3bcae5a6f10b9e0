//! The watch of the list as one proxy of many keeps it: how long each call may wait, when it counts as silent, and when
//! the next one is due. No I/O and no clock; times are whole microseconds of whoever drives it.
//!
//! What discovery has and could tell counts as told [`TOLD`] later, whatever became of the calls meanwhile (the operators'
//! terms). So no two answers may lie further apart than that while discovery can be reached: the wait of a call, the doubt
//! past it and the calls that make good for it have to fit into it together.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Whole microseconds: an instant, or a span.
pub type Micros = i64;

/// From when discovery has a change and can be reached until it counts as told.
pub const TOLD: Micros = 6_000_000;

const WAIT: Micros = 2_200_000; // us; the least wait; a call that goes on with a watch costs discovery next to nothing
const WAIT_MOST: Micros = 3_200_000; // us; the most: with doubt and two calls more it fits into what is allowed
const LATE: Micros = 300_000; // us; past its wait an answer counts as lost. Ends of waits come within milliseconds
const CATCH_UP: Micros = 1_000; // us; the wait of a call after a failure: its answer tells that we miss nothing
const EACH: Micros = 20_000; // us a proxy; of a discovery that takes calls in turn. New calls were taken 40 to 60 a second
const ROUND_MOST: Micros = 2_500_000; // us; calls of all proxies come over so long at most; a dial and a lost call fit beside
const PATIENCE: Micros = 2_000_000; // us; for an answer that waits for nothing; with the longest pause it fits, too
const PATIENCE_LEAST: Micros = 800_000; // us; the same at least: a busy discovery works through calls in turn
const SPREAD: Micros = 200_000; // us; over which a few proxies call again after an end that may have met all
const AGAIN: Micros = 100_000; // us; first pause after a further failure, of a few proxies
const AGAIN_MOST: Micros = 800_000; // us; the longest, of a few
const DOUBLINGS: u32 = 8; // of the first pause; far more than reach the longest
const PUSHED_LEAST: Micros = 20_000; // us; where lists are pushed: between calls, however short the grace
const PUSHED_MOST: Micros = 250_000; // us; the same at most

/// What the settings tell of discovery.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Lists come by themselves: what discovery has counts as told whether or not a watch is open.
    pub pushed: bool,
    pub fleet: u32,
    /// From when a drain counts as told until nothing new may go there.
    pub grace: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// How long discovery may wait for something new.
    pub wait: Micros,
    /// From now on, within which an answer has to come.
    pub within: Micros,
}

pub struct Watch {
    figures: Figures,
    rng: ChaCha8Rng,
    /// When an answer last told that nothing was missed.
    sure_at: Micros,
    /// In a row.
    failures: u32,
}

impl Watch {
    pub fn new(now: Micros, figures: Figures, seed: u64) -> Self {
        Watch { figures, rng: ChaCha8Rng::seed_from_u64(seed), sure_at: now, failures: 0 }
    }

    /// The settings have this grace from now on.
    pub fn grants(&mut self, grace: Micros) {
        self.figures.grace = grace;
    }

    /// Discovery is called now. `whole`: for the whole list, which waits for nothing.
    pub fn call(&mut self, now: Micros, whole: bool) -> Call {
        if self.failures == 0 && !whole {
            // Danger: what a watch misses that falls silent is not known before its wait is over, and counts meanwhile; and
            // waits of one length end as one where they began as one, after a change or a start.
            let wait = self.rng.random_range(WAIT..=WAIT_MOST);
            return Call { wait, within: wait + LATE };
        }
        // Danger: this one may be lost as well, so there has to be time for another; but whoever leaves a busy discovery's
        // queue and comes again makes it longer, for all.
        let left = self.sure_at + TOLD - now;
        Call {
            wait: CATCH_UP,
            within: (left / 2).clamp(self.round().clamp(PATIENCE_LEAST, PATIENCE), PATIENCE),
        }
    }

    /// The answer has come, and told all that discovery has.
    pub fn answered(&mut self, now: Micros) {
        (self.sure_at, self.failures) = (now, 0);
    }

    /// The call has failed, `silent` if no answer came within its time; when to call next.
    pub fn failed(&mut self, now: Micros, silent: bool) -> Micros {
        let before = self.failures;
        self.failures = self.failures.saturating_add(1);
        let round = self.round();
        let (least, most) = match before {
            // A watch that fell silent: waits were drawn, so the fleet's do not end as one.
            0 if silent => (0, 0),
            0 if self.figures.pushed => (0, 0),
            // Danger: what ended this call may have ended those of a whole fleet, which then would call as one.
            0 => (0, round.max(SPREAD)),
            // Danger: where lists are pushed, what discovery gets at its return counts at once, with nobody watching.
            _ if self.figures.pushed => {
                let pause = (self.figures.grace / 2).clamp(PUSHED_LEAST, PUSHED_MOST);
                (pause / 2, pause)
            }
            // Danger: a discovery that refuses for having too many callers spends itself on those that come again at once.
            _ => {
                let first = (round / 4).clamp(AGAIN, AGAIN_MOST);
                let pause = (first << (before - 1).min(DOUBLINGS)).min(round.max(AGAIN_MOST));
                (pause / 2, pause)
            }
        };
        now + self.rng.random_range(least..=most)
    }

    /// Discovery is elsewhere from now on, and nothing has failed there yet.
    pub fn moved(&mut self, now: Micros) {
        self.answered(now);
    }

    /// How long a discovery may take for one call from each proxy.
    fn round(&self) -> Micros {
        (EACH * Micros::from(self.figures.fleet)).min(ROUND_MOST)
    }
}
