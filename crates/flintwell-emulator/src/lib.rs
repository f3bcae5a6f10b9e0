//! A fleet in virtual time: for each proxy the real `Policy`, its membership and its share of the budget, with clients,
//! cache nodes, an origin and the datagrams between proxies made up by one seed. The same seed is the same run.

mod node;
pub mod scenario;
pub mod simulation;
