//! One proxy's watch of the server list: when to call discovery, how long to wait for an answer, and how long a list may be
//! used. No I/O and no clock; times are whole microseconds on the caller's clock.
//!
//! - [`lease`]: until when a list may be used.
//! - [`backoff`]: when to call again, so that the call rate of a fleet of any size settles below discovery's capacity.
//! - [`starts`]: when each server started, by this process's clock.
//! - [`watch`]: the calls of one proxy, which combine the lease and the backoff.

pub mod backoff;
pub mod lease;
pub mod starts;
pub mod watch;

pub use backoff::Failure;
pub use lease::{Basis, Lease, MAX_PROPAGATION_US};
pub use starts::NodeStarts;
pub use watch::{Call, WatchConfig, Watch};

/// Whole microseconds: an instant or a duration.
pub type Micros = i64;
