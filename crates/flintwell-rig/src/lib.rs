//! Several processes of the program between stand-ins, a relay on each path between them, faults as a plan, and a
//! checker of the rules that knows neither the module nor the stand-ins' own judgement.

pub mod check;
pub mod datagrams;
pub mod days;
pub mod fleet;
pub mod plan;
pub mod process;
pub mod record;
pub mod relay;
pub mod rollouts;
pub mod soak;
