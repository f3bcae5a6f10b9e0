//! Stand-ins for what a proxy meets, written from the operators' protocol page: discovery, cache nodes that start cold
//! and hold only so much, an origin with room for a few fetches, and clients that come in the open. All on loopback.

pub mod backends;
pub mod clients;
pub mod discovery;
pub mod nodes;
