//! Reasons to reject a client's message.

/// Why a client's message is not taken as a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The method is neither GET nor PUT.
    Method,
    /// The header of this name is missing, invalid or duplicated.
    Header(&'static str),
    /// The framing is ambiguous.
    AmbiguousFraming,
    BodyTooLong,
    /// The body is incomplete or badly encoded.
    InvalidBody,
    /// The body did not arrive in time.
    BodyTimeout,
    /// No memory is left to receive the body; retrying is harmless.
    NoMemory,
}
