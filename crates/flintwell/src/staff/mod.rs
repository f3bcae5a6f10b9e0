//! The second address, for the staff, and the figures that it tells.

pub mod counts;
pub mod fleet_status;
pub mod management;
pub mod rollout;
