//! What a member and the one who rolls out say to each other, as JSON at the second address.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

pub const PROTOCOL_VERSION: u32 = 1; // raised when a message changes its meaning; each version takes the one before too
pub const MAX_MESSAGE_BYTES: usize = 262_144; // bytes; whole settings of hundreds of classes
const LONGEST: u64 = 600_000_000; // us; past any deadline, longer times count as this
const DIGITS: u8 = 2; // significant digits of a time; 1 % is finer than any limit of a plan

/// A name for the content of settings: the same on every machine, since keys are sorted.
pub fn hash(settings: &Value) -> String {
    Sha256::digest(settings.to_string()).iter().take(16).map(|byte| format!("{byte:02x}")).collect()
}

/// Asks for settings to be held ready.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub struct StageRequest {
    pub protocol: u32,
    pub fleet: String,
    pub epoch: u64,
    pub hash: String,
    pub settings: Value,
}

/// Names an epoch: to apply what is staged, to renew its time, to confirm it or to go back from it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub struct EpochRequest {
    pub protocol: u32,
    pub fleet: String,
    pub epoch: u64,
    /// Of the settings that are meant. Danger: two who roll out may come to one number for two contents, and the
    /// one's words would renew, confirm or take back what the other put in force.
    pub hash: String,
    /// How long it stays in force without another word, where it is applied or renewed.
    #[serde(default, rename = "within_ms")]
    pub confirm_timeout_ms: u64,
    /// The stage for which a process with the old version is to begin anew, beside those with the new one.
    #[serde(default)]
    pub stage: usize,
}

/// What a member says of itself.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub struct Status {
    pub protocol: u32,
    pub fleet: String,
    pub name: String,
    /// The version of the program.
    pub program: String,
    /// The epoch in force, and the hash of its settings.
    pub epoch: u64,
    pub hash: String,
    /// In force until it is confirmed or its time is up.
    pub unconfirmed: bool,
    #[serde(rename = "left_ms")]
    pub remaining_ms: u64,
    pub staged: Option<u64>,
    /// What it would go back to.
    #[serde(rename = "former")]
    pub previous: Option<u64>,
    /// The highest epoch that it was ever asked to stage; no lower one is taken.
    pub fence: u64,
    /// When this process began, Unix time.
    pub started_ms: u64,
    /// Why what is staged could not be put in force, where that takes a while.
    #[serde(default, rename = "failed")]
    pub apply_error: Option<String>,
    /// The change and its stage for which it began anew last, with the version it had.
    #[serde(default, rename = "again")]
    pub restarted_for: Option<(u64, usize)>,
}

/// RequestCounts of requests of one class since the process began.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct RequestCounts {
    #[serde(rename = "honoured")]
    pub served: u64,
    #[serde(rename = "turned_back")]
    pub refused: u64,
    #[serde(rename = "broken_off")]
    pub failed: u64,
}

impl RequestCounts {
    pub fn total(&self) -> u64 {
        self.served + self.refused + self.failed
    }
}

/// What a member counted since its process began.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MemberCounters {
    pub epoch: u64,
    pub started_ms: u64,
    #[serde(rename = "cases")]
    pub classes: BTreeMap<String, RequestCounts>,
    #[serde(rename = "hand_offs")]
    pub attempts: u64,
    /// Attempts to the origin.
    #[serde(rename = "fetches")]
    pub origin_attempts: u64,
    /// Of those, turned away by it; one before this was counted tells none.
    #[serde(default, rename = "refused")]
    pub origin_refusals: u64,
    pub memory_kb: u64,
    /// Microseconds from a request's last byte to its answer: an HDR histogram, V2, in base 64.
    #[serde(rename = "times")]
    pub latencies: String,
}

pub fn new_latency_histogram() -> Histogram<u64> {
    // Cannot fail: the bounds are constants that the library allows.
    Histogram::new_with_bounds(1, LONGEST, DIGITS).unwrap_or_else(|_| unreachable!("constant bounds"))
}

pub fn encode_histogram(times: &Histogram<u64>) -> String {
    let mut bytes = Vec::new();
    match V2Serializer::new().serialize(times, &mut bytes) {
        Ok(_) => STANDARD.encode(bytes),
        Err(_) => String::new(),
    }
}

/// None where the text holds no histogram, or one with other bounds.
pub fn decode_histogram(text: &str) -> Option<Histogram<u64>> {
    let bytes = STANDARD.decode(text).ok()?;
    let times: Histogram<u64> = Deserializer::new().deserialize(&mut &bytes[..]).ok()?;
    (times.high() == LONGEST && times.sigfig() == DIGITS).then_some(times)
}

#[cfg(test)]
mod tests;
