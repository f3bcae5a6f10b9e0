//! One budget that a whole fleet shares, where its members may speak: what an origin takes a second.
//!
//! Each member owns an even part of it, in units that never change hands but by loans for a short time (`loans`); what
//! a unit is worth, in fetches a second, the fleet learns together from what the origin took and refused (`share`).

pub mod loans;
pub mod share;
