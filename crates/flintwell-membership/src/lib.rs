//! Who else of the fleet is there. The protocol is SWIM with suspicion and incarnations (A. Das, I. Gupta and
//! A. Motivala, "SWIM: scalable weakly-consistent infection-style process group membership protocol", DSN 2002) by the
//! library `foca`; ours are the seal around each datagram, the bounds, and what a pause of ours must not do to others.

pub mod member;
pub mod seal;
