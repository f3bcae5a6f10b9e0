//! Fault-injection tests on real proxy processes: each path between a proxy and the stand-ins runs through a relay, faults
//! follow a plan, and a checker verifies the rules from recorded traffic alone, without the code of the proxy's policy.

pub mod check;
pub mod crowd;
pub mod crowd_trial;
pub mod datagrams;
pub mod days;
pub mod fleet;
pub mod memory_use;
pub mod plan;
pub mod process;
pub mod record;
pub mod relay;
pub mod rollouts;
pub mod soak;
