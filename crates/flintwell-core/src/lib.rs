//! The core of flintwell: `interface` holds the types, `policy` every decision, `state` its records.
#![forbid(unsafe_code)]

pub mod interface;
pub mod policy;
mod state;
