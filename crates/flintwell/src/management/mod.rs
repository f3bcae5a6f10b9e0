//! Management API for the operators and the metrics it reports.

pub mod metrics;
pub mod fleet_status;
pub mod api;
pub mod rollout;
