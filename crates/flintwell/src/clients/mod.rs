//! Client side: connections, request decoding and responses.

pub mod accept;
pub mod body;
pub mod client_connection;
pub mod client_socket;
pub mod close_reason;
pub mod connection_table;
pub mod cut_off;
pub mod decode;
pub mod framing;
pub mod listener;
pub mod malformed;
pub mod request_stream;
pub mod response;
pub mod serve_connection;
pub mod tracked_io;
