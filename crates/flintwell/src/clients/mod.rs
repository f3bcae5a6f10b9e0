//! The clients' side: their connections, what they say, and what is said to them.

pub mod accept;
pub mod answer;
pub mod body;
pub mod decode;
pub mod framing;
pub mod malformed;
pub mod presence;
