//! Cache nodes and the origin: attempts, the connection pool, and response bodies on their way to the client.

pub mod attempt;
pub mod connection;
pub mod exchange_error;
pub mod metered_stream;
pub mod pool;
pub mod receive_body;
pub mod response_body;
pub mod response_transfer;
pub mod rest_policy;
pub mod reuse;
pub mod send_guard;
pub mod stream;
