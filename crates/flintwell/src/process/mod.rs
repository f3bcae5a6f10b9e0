//! Process life cycle and shared services: startup, shutdown, handover to a new version, configuration, persistent
//! files, clock and log.

pub mod clock;
pub mod config;
pub mod counter;
pub mod handover;
pub mod log;
pub mod reload;
pub mod reloadable;
pub mod serve;
pub mod shutdown;
pub mod socket_activation;
pub mod store;
pub mod succession;
