//! A change of settings that goes through the fleet in stages. Decisions only: no I/O, no clock; times are told.

pub mod controller;
pub mod judge;
pub mod member;
pub mod plan;
pub mod wire;
