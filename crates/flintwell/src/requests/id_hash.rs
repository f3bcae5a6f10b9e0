//! A short value that stands for the id of a request.

use flintwell_core::interface::RequestId;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Ends the hashed bytes, as `Hash` of a string does.
const END_OF_ID: u8 = 0xff;

/// SipHash-1-3 with a key of zero over the bytes of an id and a byte 0xff. An id itself may be as long as a request head.
///
/// Processes of different versions compare these values at an upgrade, so the algorithm must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IdHash(pub u64);

impl IdHash {
    pub fn of(id: &RequestId) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(id.as_bytes());
        hasher.write_u8(END_OF_ID);
        IdHash(hasher.finish())
    }
}

#[cfg(test)]
mod tests;
