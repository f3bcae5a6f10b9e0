//! The one clock: the wall clock read once at start, carried on by the monotonic one.

use flintwell_core::interface::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

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
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.started + span(at - self.started_at)).into()
    }
}

pub fn span(time: Micros) -> Duration {
    Duration::from_micros(time.max(0) as u64)
}
