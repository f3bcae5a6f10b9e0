//! Cache nodes and the origin: attempts, connections, and answers on their way back.

pub mod attempt;
pub mod carry;
pub mod link;
pub mod permission;
pub mod pool;
pub mod relay;
pub mod stream;
