//! Log output to standard error, rate-limited so that a recurring fault does not flood the log.

use std::cell::Cell;
use std::fmt::Arguments;
use std::panic::catch_unwind;
use std::sync::OnceLock;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::{Duration, Instant};

const MAX_LINES: u32 = 20; // per window
const MAX_REQUEST_LINES: u32 = 10; // per window, of lines about single requests
const MAX_QUEUED_LINES: usize = 64; // some seconds of output
const WINDOW: Duration = Duration::from_secs(1);

/// The lines of one kind in the current window.
struct RateLimit {
    max_lines: u32,
    kind: &'static str,
    window: Cell<(Option<Instant>, u32)>,
}

impl RateLimit {
    const fn new(max_lines: u32, kind: &'static str) -> Self {
        RateLimit { max_lines, kind, window: Cell::new((None, 0)) }
    }

    fn admit(&self) -> bool {
        let (start, lines) = self.window.get();
        let now = Instant::now();
        if start.is_none_or(|start| now - start >= WINDOW) {
            if lines > self.max_lines {
                let suppressed = lines - self.max_lines;
                write_line(format_args!("rate limit suppressed {suppressed} {} lines", self.kind));
            }
            self.window.set((Some(now), 1));
            return true;
        }
        self.window.set((start, lines.saturating_add(1)));
        lines < self.max_lines
    }
}

thread_local! {
    static LINES: RateLimit = const { RateLimit::new(MAX_LINES, "log") };
    // Lines about requests have a limit of their own: in an overload they would suppress all others.
    static REQUEST_LINES: RateLimit = const { RateLimit::new(MAX_REQUEST_LINES, "request log") };
}

/// Whether another line may be logged in the current window. The first call after a window logs how many lines the
/// window suppressed.
pub fn within_rate_limit() -> bool {
    LINES.with(RateLimit::admit)
}

/// The same for a line about a single request.
pub fn within_request_rate_limit() -> bool {
    REQUEST_LINES.with(RateLimit::admit)
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

/// Logs each panic as a line, beside what the runtime prints of it.
pub fn log_panics() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        write_line(format_args!("{}", panic.to_string().replace('\n', ": ")));
        default_hook(panic);
    }));
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

/// Logs a formatted line about a single request, subject to a rate limit of its own.
#[macro_export]
macro_rules! log_request_line {
    ($($text:tt)*) => {
        if $crate::process::log::within_request_rate_limit() {
            $crate::process::log::write_line(format_args!($($text)*));
        }
    };
}
