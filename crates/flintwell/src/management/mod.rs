//! Management API for the operators and the metrics it reports.

pub mod api;
pub mod fleet_status;
pub mod metrics;
pub mod rollout;
