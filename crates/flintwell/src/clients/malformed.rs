//! Why a message is no request.

#[derive(Debug, PartialEq, Eq)]
pub enum Malformed {
    Method,
    Header(&'static str),
    Doubtful,
    BodyTooLong,
    BodyBroken,
    BodyLate,
}
