//! Which nodes there are.

pub mod discovery;
pub mod roster;
pub mod words;
