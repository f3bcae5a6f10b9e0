//! Cache nodes and the origin: attempts, the connection pool, and response bodies on their way to the client.

pub mod attempt;
pub mod response_transfer;
pub mod connection;
pub mod send_guard;
pub mod pool;
pub mod response_body;
pub mod stream;
