//! Deterministic simulation of a proxy fleet in virtual time.
//!
//! Each proxy runs the real `Policy`, membership, shared origin limit and probe coordination. Clients, cache nodes, the
//! origin and the datagrams between proxies are simulated. The same configuration, faults and seed give the same run.

mod node;
pub mod scenario;
pub mod simulation;
