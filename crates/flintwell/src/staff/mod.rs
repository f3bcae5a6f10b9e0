//! Management API for the operators and the metrics it reports.

pub mod counts;
pub mod fleet_status;
pub mod management;
pub mod rollout;
