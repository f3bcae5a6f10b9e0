//! The watch of the server list as one proxy of many keeps it: when discovery is called, how long an answer is waited for, and
//! for how long a list may be acted on. No I/O and no clock; times are whole microseconds of whoever drives it.
//!
//! - [`lease`]: until when a list may be acted on.
//! - [`backoff`]: when to call again, so that a fleet of any size settles below what discovery can do.
//! - [`starts`]: when each server started, by our own clock.
//! - [`watch`]: one proxy's calls, which put both together.

pub mod backoff;
pub mod lease;
pub mod starts;
pub mod watch;

pub use backoff::Failure;
pub use lease::{Basis, Lease, TOLD};
pub use starts::Starts;
pub use watch::{Call, Figures, Watch};

/// Whole microseconds: an instant, or a span.
pub type Micros = i64;
