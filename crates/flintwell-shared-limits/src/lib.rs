//! A rate limit on fetches from the origin that the members of a fleet share, without I/O.
//!
//! Each member owns an equal part of the limit, in units. Units move between members only as short loans ([`loans`]). How
//! many fetches per second a unit is worth is learned by the whole fleet from what the origin accepted and refused
//! ([`limit`]).

pub mod loans;
pub mod limit;
