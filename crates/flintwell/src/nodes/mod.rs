//! Cache nodes and the origin: attempts, the connection pool, and response bodies on their way to the client.

pub mod attempt;
pub mod carry;
pub mod link;
pub mod permission;
pub mod pool;
pub mod relay;
pub mod stream;
