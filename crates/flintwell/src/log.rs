//! One macro for every log line, rate-limited: a fault that repeats must not become a flood.

use std::cell::Cell;
use std::fmt::Arguments;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::{Duration, Instant};

const LINES: u32 = 20; // lines a window; enough to see what goes on
const WINDOW: Duration = Duration::from_secs(1);

thread_local! {
    static WRITTEN: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// Whether another line may be written now; tells at a window's end how many were not.
pub fn allowed() -> bool {
    WRITTEN.with(|written| {
        let (start, lines) = written.get();
        let now = Instant::now();
        if start.is_none_or(|start| now - start >= WINDOW) {
            if lines > LINES {
                line(format_args!("{} lines left out", lines - LINES));
            }
            written.set((Some(now), 1));
            return true;
        }
        written.set((start, lines.saturating_add(1)));
        lines < LINES
    })
}

/// Danger: eprintln panics once nobody reads our log any more, and would take the task that logs along.
pub fn line(words: Arguments) {
    let _ = catch_unwind(AssertUnwindSafe(|| eprintln!("flintwell: {words}")));
}

#[macro_export]
macro_rules! say {
    ($($words:tt)*) => {
        if $crate::log::allowed() {
            $crate::log::line(format_args!($($words)*));
        }
    };
}
