//! In-process stand-ins for the peers of a proxy, on loopback: discovery, cache nodes with limited capacity that start
//! cold, an origin that bounds its concurrent fetches, and open-loop clients. They follow the protocol page.

pub mod backends;
pub mod clients;
pub mod discovery;
pub mod generated_body;
pub mod nodes;
