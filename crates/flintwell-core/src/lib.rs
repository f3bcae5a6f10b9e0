//! The load-balancing policy of flintwell: `interface` has its types, `policy` its decisions, `state` its
//! data.
#![forbid(unsafe_code)]

pub mod interface;
pub mod policy;
mod state;
