//! Which nodes there are.

pub mod discovery;
pub mod registry;
pub mod words;
