//! Process clock (wall-clock time at start plus monotonic elapsed time), stall detection and idle timeouts.

use flintwell_core::interface::Micros;
use std::cell::Cell;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::{Sleep, sleep};

const CHECK_INTERVAL: Micros = 10_000; // short compared with deadlines, negligible CPU cost
/// Longest time without progress on a client or node connection; healthy peers may pause for seconds.
pub const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const STALL_THRESHOLD: Micros = 40_000; // since the second-to-last run; twice the normal value of two intervals

/// Source of the current time for the whole process.
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
    /// Unix time that never goes backwards. It is comparable with the node start times in the node list.
    pub fn now(&self) -> Micros {
        self.started_at + self.started.elapsed().as_micros() as Micros
    }
    /// Converts an `Instant` to Unix time on this clock.
    pub fn micros_at(&self, instant: Instant) -> Micros {
        let since = instant.saturating_duration_since(self.started).as_micros() as Micros;
        self.started_at + since
    }
    /// Converts Unix time on this clock to an `Instant`.
    pub fn instant_at(&self, at: Micros) -> tokio::time::Instant {
        (self.started + to_duration(at - self.started_at)).into()
    }
}

/// Detects stalls of the runtime thread with a periodic task that records when it last ran.
pub struct StallDetector {
    clock: Clock,
    last_run: Cell<Micros>,
    previous_run: Cell<Micros>,
}

impl StallDetector {
    pub fn new(clock: Clock) -> Self {
        let now = clock.now();
        StallDetector { clock, last_run: Cell::new(now), previous_run: Cell::new(now) }
    }
    /// Records the time at every interval; never returns.
    pub async fn run(&self) {
        loop {
            tokio::time::sleep(to_duration(CHECK_INTERVAL)).await;
            self.previous_run.set(self.last_run.replace(self.clock.now()));
        }
    }
    /// Earliest time at which input that is read now may have arrived: the current time, or the last check before a
    /// stall. Input that arrives while the process is stalled looks new when it is read, so a deadline counted from
    /// the read would be exceeded.
    pub fn queued_since(&self) -> Micros {
        let (now, previous) = (self.clock.now(), self.previous_run.get());
        if now - previous > STALL_THRESHOLD { previous } else { now }
    }
}

/// Idle timer for a peer: limits how long we wait for it without receiving data.
pub struct IdleTimer {
    limit: Duration,
    sleep: Pin<Box<Sleep>>,
    is_running: bool,
}

impl IdleTimer {
    pub fn new(limit: Duration) -> Self {
        IdleTimer { limit, sleep: Box::pin(sleep(limit)), is_running: false }
    }
    /// Stops the timer; call when data has been received.
    pub fn reset(&mut self) {
        self.is_running = false;
    }
    /// Starts the timer if it is not running; ready once it has expired. Call when no data is available.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        // Counts only the time spent waiting for the peer.
        if !std::mem::replace(&mut self.is_running, true) {
            self.sleep.as_mut().reset(tokio::time::Instant::now() + self.limit);
        }
        self.sleep.as_mut().poll(cx)
    }
}

/// Converts microseconds to a `Duration`; negative values become zero.
pub fn to_duration(time: Micros) -> Duration {
    Duration::from_micros(time.max(0) as u64)
}
