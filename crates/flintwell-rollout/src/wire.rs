//! Messages between the rollout controller and the members: JSON bodies of the management API.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Incremented when the meaning of a message changes. Each version also accepts the previous one.
pub const PROTOCOL_VERSION: u32 = 1;
/// Largest message accepted; the settings of hundreds of classes fit into it.
pub const MAX_MESSAGE_BYTES: usize = 262_144;
const MAX_LATENCY_US: u64 = 600_000_000; // beyond any deadline; longer times are recorded as this
const SIGNIFICANT_DIGITS: u8 = 2; // a resolution of 1 % is finer than any limit of a plan

/// Identifies settings by their content: the same on every machine, since the keys are sorted.
pub fn hash(settings: &Value) -> String {
    Sha256::digest(settings.to_string()).iter().take(16).map(|byte| format!("{byte:02x}")).collect()
}

/// Asks a member to validate and hold settings until they are applied.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub struct StageRequest {
    pub protocol: u32,
    pub fleet: String,
    pub epoch: u64,
    pub hash: String,
    pub settings: Value,
}

/// Request about an epoch: apply what is staged, renew its timeout, confirm it or revert it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub struct EpochRequest {
    pub protocol: u32,
    pub fleet: String,
    pub epoch: u64,
    /// Hash of the settings meant. Two controllers may choose the same epoch for different settings; without the hash
    /// one of them would renew, confirm or revert what the other applied.
    pub hash: String,
    /// For apply and renew: the change is reverted if no further request arrives within this time.
    #[serde(default, rename = "within_ms")]
    pub confirm_timeout_ms: u64,
    /// For restart: the stage for which a control member, which keeps its version, starts a fresh process.
    #[serde(default)]
    pub stage: usize,
}

/// A member's report on its own state.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub struct Status {
    pub protocol: u32,
    pub fleet: String,
    pub name: String,
    /// Version of the program.
    pub program: String,
    /// The active epoch.
    pub epoch: u64,
    /// Hash of the active settings.
    pub hash: String,
    /// The active epoch is reverted unless it is confirmed in time.
    pub unconfirmed: bool,
    /// Time until an unconfirmed epoch is reverted.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u64,
    /// The staged epoch.
    pub staged: Option<u64>,
    /// The epoch that a revert would restore.
    #[serde(rename = "former")]
    pub previous: Option<u64>,
    /// The highest epoch that was ever staged; requests with a lower one are refused.
    pub fence: u64,
    /// When this process started, Unix time.
    pub started_ms: u64,
    /// Why the staged version could not be applied, for members that apply asynchronously.
    #[serde(default, rename = "failed")]
    pub apply_error: Option<String>,
    /// Epoch and stage for which this member last started a fresh process of the version that it had.
    #[serde(default, rename = "again")]
    pub restarted_for: Option<(u64, usize)>,
}

/// Requests of one class since the process started, by outcome.
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
    /// Requests of all outcomes.
    pub fn total(&self) -> u64 {
        self.served + self.refused + self.failed
    }
}

/// A member's counters since its process started.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MemberCounters {
    pub epoch: u64,
    pub started_ms: u64,
    /// Request counts by class.
    #[serde(rename = "cases")]
    pub classes: BTreeMap<String, RequestCounts>,
    #[serde(rename = "hand_offs")]
    pub attempts: u64,
    /// Attempts sent to the origin.
    #[serde(rename = "fetches")]
    pub origin_attempts: u64,
    /// Attempts that the origin refused; absent in reports of older versions, which did not count them.
    #[serde(default, rename = "refused")]
    pub origin_refusals: u64,
    pub memory_kb: u64,
    /// Microseconds from a request's last byte to its response: an HDR histogram (V2) in base64.
    #[serde(rename = "times")]
    pub latencies: String,
}

/// An empty latency histogram with the bounds that all members use.
pub fn new_latency_histogram() -> Histogram<u64> {
    // Cannot fail: the bounds are constants that the library allows.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("constant bounds"))
}

/// Encodes a histogram for `MemberCounters::latencies`.
pub fn encode_histogram(histogram: &Histogram<u64>) -> String {
    let mut bytes = Vec::new();
    match V2Serializer::new().serialize(histogram, &mut bytes) {
        Ok(_) => STANDARD.encode(bytes),
        Err(_) => String::new(),
    }
}

/// None if the text is not a histogram, or one with other bounds.
pub fn decode_histogram(text: &str) -> Option<Histogram<u64>> {
    let bytes = STANDARD.decode(text).ok()?;
    let histogram: Histogram<u64> = Deserializer::new().deserialize(&mut &bytes[..]).ok()?;
    (histogram.high() == MAX_LATENCY_US && histogram.sigfig() == SIGNIFICANT_DIGITS).then_some(histogram)
}

#[cfg(test)]
mod tests;
