//! Client side: connections, request decoding and responses.

pub mod accept;
pub mod answer;
pub mod body;
pub mod decode;
pub mod framing;
pub mod malformed;
pub mod client_socket;
