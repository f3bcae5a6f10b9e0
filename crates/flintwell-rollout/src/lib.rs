//! Staged rollout of settings or program versions over a fleet. Decisions only, without I/O or clock: the caller passes
//! the time.

pub mod controller;
pub mod judge;
pub mod member;
pub mod plan;
pub mod wire;
