//! Tests of the load-balancing policy; `harness` holds what they share.
mod harness;
mod properties;
mod scenarios;
