//! The core of flintwell: `interface` holds the types, `policy` every decision.
#![forbid(unsafe_code)]

pub mod interface;
pub mod policy;
