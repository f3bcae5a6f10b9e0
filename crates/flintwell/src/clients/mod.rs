//! Client side: connections, request decoding and responses.

pub mod accept;
pub mod body;
pub mod client_socket;
pub mod decode;
pub mod framing;
pub mod malformed;
pub mod request_stream;
pub mod response;
