//! Fleet membership without I/O. The protocol is SWIM with suspicion and incarnations (A. Das, I. Gupta and
//! A. Motivala, "SWIM: scalable weakly-consistent infection-style process group membership protocol", DSN 2002) as
//! implemented by the `foca` library. This crate adds datagram framing and authentication, size and rate limits, and
//! protection of the other members against a local process pause.

pub mod member;
pub mod datagram;
