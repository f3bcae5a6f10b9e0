//! Why a client connection was closed.

/// The reason for which a client connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, or the last response announced its end.
    Finished,
    /// No request came for too long, or a request head was not complete in time.
    HeadTimeout,
    /// The client took nothing of a response for too long.
    WriteTimeout,
    /// Another connection needed its place.
    Evicted,
    /// The process is shutting down.
    Shutdown,
    /// A successor process continues its response.
    HandedOver,
}

impl CloseReason {
    /// The name under which it is counted and logged.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Finished => "finished",
            CloseReason::HeadTimeout => "head_timeout",
            CloseReason::WriteTimeout => "write_timeout",
            CloseReason::Evicted => "evicted",
            CloseReason::Shutdown => "shutdown",
            CloseReason::HandedOver => "handed_over",
        }
    }
}
