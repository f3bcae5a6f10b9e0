//! Memory of the process: how its limit is divided, what is charged to which budget, and what the kernel counts.

pub mod budget;
pub mod monitor;
pub mod plan;
pub mod pressure;
pub mod resident;
pub mod write_pacer;
