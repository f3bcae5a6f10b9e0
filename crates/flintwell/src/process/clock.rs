//! The one clock: the wall clock read once at start, carried on by the monotonic one.

use flintwell_core::interface::Micros;
use std::cell::Cell;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::{Sleep, sleep};

const BEAT: Micros = 10_000; // us; fine beside deadlines, and nothing beside a request's work
pub const PEER_STALL: Duration = Duration::from_secs(10); // of either side; peers take seconds
const STALL: Micros = 40_000; // us since the beat before last; twice what it is while all goes well

#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_at: Micros,
}

impl Clock {
    pub fn start() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), started_at: since.as_micros() as Micros }
    }
    /// Unix time, so that starts told by the list compare, but never going back.
    pub fn now(&self) -> Micros {
        self.started_at + self.started.elapsed().as_micros() as Micros
    }
    /// A moment of the monotonic clock, by this one.
    pub fn at(&self, instant: Instant) -> Micros {
        let since = instant.saturating_duration_since(self.started).as_micros() as Micros;
        self.started_at + since
    }
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.started + span(at - self.started_at)).into()
    }
}

/// Beats while our core gets its turns.
pub struct Pulse {
    clock: Clock,
    last: Cell<Micros>,
    before: Cell<Micros>,
}

impl Pulse {
    pub fn new(clock: Clock) -> Self {
        let now = clock.now();
        Pulse { clock, last: Cell::new(now), before: Cell::new(now) }
    }
    pub async fn beat(&self) {
        loop {
            tokio::time::sleep(span(BEAT)).await;
            self.before.set(self.last.replace(self.clock.now()));
        }
    }
    /// From when on something may have waited for us that is read now. Danger: what comes while the process
    /// stands still looks new when it is read, and would be answered past its deadline.
    pub fn waited_from(&self) -> Micros {
        let (now, before) = (self.clock.now(), self.before.get());
        if now - before > STALL { before } else { now }
    }
}

/// How long a peer may bring nothing while it is waited for.
pub struct Patience {
    most: Duration,
    ends: Pin<Box<Sleep>>,
    waits: bool,
}

impl Patience {
    pub fn new(most: Duration) -> Self {
        Patience { most, ends: Box::pin(sleep(most)), waits: false }
    }
    /// Something has come.
    pub fn renew(&mut self) {
        self.waits = false;
    }
    /// Nothing has come: ready once the peer has been waited for too long.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        // Only the time in which it is waited for counts.
        if !std::mem::replace(&mut self.waits, true) {
            self.ends.as_mut().reset(tokio::time::Instant::now() + self.most);
        }
        self.ends.as_mut().poll(cx)
    }
}

pub fn span(time: Micros) -> Duration {
    Duration::from_micros(time.max(0) as u64)
}
