//! Why an exchange failed, and what that says about the node and about the effect of the request.

use flintwell_core::interface::AttemptStatus;
use rustix::io::Errno;
use std::error::Error;
use std::fmt;
use std::io;

/// How far an exchange had come when it failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// No connection, or no byte of this exchange written to it: the node has not run the request.
    #[default]
    Unwritten,
    /// A long request written whole, or a short one at least in part: the node may have run it.
    Written,
}

/// Why an exchange failed.
#[derive(Debug, PartialEq, Eq)]
pub enum FailureCause {
    TimedOut,
    Closed(String),
    /// The peer's response was malformed or not acceptable.
    InvalidResponse(String),
    /// The node was removed from the list, or began to drain, while the connection was being established.
    Unlisted,
    /// The process may not open a further connection: its limit on open sockets is reached.
    ConnectionLimit,
    /// An earlier attempt consumed the body, which is not buffered.
    BodyConsumed,
    /// The client has disconnected.
    ClientDisconnected,
    /// The attempt was chosen too long ago.
    Expired,
    /// The lease on the node list has lapsed.
    Lapsed,
    /// The remote host or the network path did not accept the connection.
    Unreachable(String),
    /// The local system had no socket, port, route or memory for a connection.
    LocalFault(String),
}

/// A failed exchange.
#[derive(Debug, PartialEq, Eq)]
pub struct ExchangeError {
    pub stage: Stage,
    pub cause: FailureCause,
}

impl ExchangeError {
    /// A failure before any byte of the request was written.
    pub fn before_write(cause: FailureCause) -> Self {
        ExchangeError { stage: Stage::Unwritten, cause }
    }

    /// The outcome that is reported for the attempt.
    pub fn status(&self) -> AttemptStatus {
        match (self.stage, &self.cause) {
            (
                Stage::Unwritten,
                FailureCause::Unlisted
                | FailureCause::ConnectionLimit
                | FailureCause::BodyConsumed
                | FailureCause::ClientDisconnected
                | FailureCause::Expired
                | FailureCause::Lapsed
                // Danger: a local fault reported as a failed connection would count against a healthy node.
                | FailureCause::LocalFault(_),
            ) => AttemptStatus::NotSent,
            (Stage::Unwritten, _) => AttemptStatus::ConnectFailed,
            (_, FailureCause::TimedOut) => AttemptStatus::TimedOut,
            (_, FailureCause::InvalidResponse(_)) => AttemptStatus::InvalidResponse,
            (
                _,
                FailureCause::Closed(_)
                | FailureCause::Unlisted
                | FailureCause::ConnectionLimit
                | FailureCause::BodyConsumed
                | FailureCause::ClientDisconnected
                | FailureCause::Expired
                | FailureCause::Lapsed
                | FailureCause::Unreachable(_)
                | FailureCause::LocalFault(_),
            ) => AttemptStatus::Reset,
        }
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let stage = match self.stage {
            Stage::Unwritten => "before the request was written",
            Stage::Written => "after the request was written",
        };
        match &self.cause {
            FailureCause::TimedOut => write!(f, "timed out {stage}"),
            FailureCause::Closed(why) => write!(f, "connection lost {stage}: {why}"),
            FailureCause::InvalidResponse(why) => write!(f, "invalid response: {why}"),
            FailureCause::Unlisted => write!(f, "node is no longer listed as ready"),
            FailureCause::ConnectionLimit => write!(f, "limit on open connections reached"),
            FailureCause::BodyConsumed => write!(f, "request body was consumed by an earlier attempt"),
            FailureCause::ClientDisconnected => write!(f, "client has disconnected"),
            FailureCause::Expired => write!(f, "attempt was chosen too long ago"),
            FailureCause::Lapsed => write!(f, "lease on the node list has lapsed"),
            FailureCause::Unreachable(why) => write!(f, "cannot connect: {why}"),
            FailureCause::LocalFault(why) => write!(f, "cannot connect because of a local fault: {why}"),
        }
    }
}

/// Tells local faults from remote ones where a connection could not be established.
pub fn connect_failure_cause(error: &io::Error) -> FailureCause {
    let local = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::ADDRINUSE,
        Errno::AGAIN,
        Errno::INTR,
        Errno::NETUNREACH,
        Errno::NETDOWN,
        Errno::ACCESS,
        Errno::PERM,
    ];
    match Errno::from_io_error(error) {
        Some(code) if local.contains(&code) => FailureCause::LocalFault(error.to_string()),
        _ => FailureCause::Unreachable(error.to_string()),
    }
}

/// Tells a malformed response from a lost connection.
pub fn exchange_failure_cause(error: &(dyn Error + 'static)) -> FailureCause {
    let parse = error.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_parse);
    let io = error.source().and_then(|source| source.downcast_ref::<io::Error>()).map(io::Error::kind);
    match parse || matches!(io, Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)) {
        true => FailureCause::InvalidResponse(error.to_string()),
        false => FailureCause::Closed(error.to_string()),
    }
}
