//! Log output to standard error, rate-limited so that a recurring fault does not flood the log.

use std::cell::Cell;
use std::fmt::Arguments;
use std::panic::catch_unwind;
use std::sync::OnceLock;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::{Duration, Instant};

const MAX_LINES: u32 = 20; // per window
const MAX_QUEUED_LINES: usize = 64; // some seconds of output
const WINDOW: Duration = Duration::from_secs(1);

thread_local! {
    static WINDOW_LINES: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// Whether another line may be logged in the current window. The first call after a window logs how many lines the
/// window suppressed.
pub fn within_rate_limit() -> bool {
    WINDOW_LINES.with(|written| {
        let (start, lines) = written.get();
        let now = Instant::now();
        if start.is_none_or(|start| now - start >= WINDOW) {
            if lines > MAX_LINES {
                write_line(format_args!("rate limit suppressed {} log lines", lines - MAX_LINES));
            }
            written.set((Some(now), 1));
            return true;
        }
        written.set((start, lines.saturating_add(1)));
        lines < MAX_LINES
    })
}

/// Queues a line for the writer thread, unconditionally. Standard error is written by a separate thread because a
/// reader that stops reading would block the caller, and a closed pipe makes `eprintln!` panic. Lines that do not
/// fit into the queue are dropped.
pub fn write_line(text: Arguments) {
    static WRITER: OnceLock<SyncSender<String>> = OnceLock::new();
    let writer = WRITER.get_or_init(|| {
        let (writer, lines) = sync_channel::<String>(MAX_QUEUED_LINES);
        std::thread::spawn(move || {
            for line in lines {
                let _ = catch_unwind(|| eprintln!("flintwell: {line}"));
            }
        });
        writer
    });
    let _ = writer.try_send(text.to_string());
}

/// Logs a formatted line, subject to the rate limit.
#[macro_export]
macro_rules! log_line {
    ($($text:tt)*) => {
        if $crate::process::log::within_rate_limit() {
            $crate::process::log::write_line(format_args!($($text)*));
        }
    };
}
