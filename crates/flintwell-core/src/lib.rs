//! Load-balancing decisions of flintwell: `interface` has the types, `policy` the decisions, `state` their data.
#![forbid(unsafe_code)]

pub mod interface;
pub mod policy;
mod state;
