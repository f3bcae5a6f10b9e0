//! Log output to standard error, rate-limited so that a recurring fault does not flood the log.

use std::cell::Cell;
use std::fmt::Arguments;
use std::panic::catch_unwind;
use std::sync::OnceLock;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::{Duration, Instant};

const LINES: u32 = 20; // per window
const WAITING: usize = 64; // queued for the writer thread; some seconds of output
const WINDOW: Duration = Duration::from_secs(1);

thread_local! {
    static WRITTEN: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// Whether another line may be logged in the current window. The first call after a window logs how many lines the
/// window suppressed.
pub fn allowed() -> bool {
    WRITTEN.with(|written| {
        let (start, lines) = written.get();
        let now = Instant::now();
        if start.is_none_or(|start| now - start >= WINDOW) {
            if lines > LINES {
                line(format_args!("rate limit suppressed {} log lines", lines - LINES));
            }
            written.set((Some(now), 1));
            return true;
        }
        written.set((start, lines.saturating_add(1)));
        lines < LINES
    })
}

/// Queues a line for the writer thread, unconditionally. Standard error is written by a separate thread because a
/// reader that stops reading would block the caller, and a closed pipe makes `eprintln!` panic. Lines that do not
/// fit into the queue are dropped.
pub fn line(words: Arguments) {
    static WRITER: OnceLock<SyncSender<String>> = OnceLock::new();
    let writer = WRITER.get_or_init(|| {
        let (writer, lines) = sync_channel::<String>(WAITING);
        std::thread::spawn(move || {
            for line in lines {
                let _ = catch_unwind(|| eprintln!("flintwell: {line}"));
            }
        });
        writer
    });
    let _ = writer.try_send(words.to_string());
}

/// Logs a formatted line, subject to the rate limit.
#[macro_export]
macro_rules! log_line {
    ($($words:tt)*) => {
        if $crate::process::log::allowed() {
            $crate::process::log::line(format_args!($($words)*));
        }
    };
}
