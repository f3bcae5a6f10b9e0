//! Receives a response body: whole if it is short enough and there is memory for it, or else its beginning and the stream of
//! the rest.

use crate::memory::budget::{MemoryBudget, MemoryCharge};
use crate::memory::plan::SHORT_MESSAGE_BYTES;
use crate::nodes::connection::Progress;
use crate::nodes::exchange_error::{FailureCause, exchange_failure_cause};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::future::pending;
use std::pin::pin;
use std::time::Duration;
use tokio::time::timeout;

const UNKNOWN_LENGTH_HOLD: Duration = Duration::from_millis(100); // for a response of unknown length to end
const MAX_FRAME_BYTES: usize = 32_768; // of a response body, at once

/// The beginning of a long body, and the stream of the rest.
pub struct PartialBody {
    pub first_bytes: Bytes,
    pub incoming: Incoming,
    /// Maximum number of bytes that may still come.
    pub max_remaining: u64,
}

/// The body of a response, as far as it was waited for.
pub enum ReceivedBody {
    Whole(Bytes),
    Partial(PartialBody),
}

/// Size limits of a response body.
pub struct BodyLimits {
    /// Up to this many bytes are collected before the body is passed on.
    pub buffered: u64,
    /// Longer bodies are rejected.
    pub total: u64,
    /// What is collected beyond a short message is charged to this budget; without room it is passed on.
    pub budget: Option<MemoryBudget>,
}

/// The part of a response body that was collected, and the charge for it.
struct CollectedBody {
    buffer: BytesMut,
    charge: Option<MemoryCharge>,
}

impl CollectedBody {
    /// Starts to collect a body; none without memory for it.
    fn new(known_length: Option<u64>, limits: &BodyLimits) -> Self {
        let length = known_length.filter(|length| *length <= limits.buffered).unwrap_or(0);
        let mut collected = CollectedBody { buffer: BytesMut::new(), charge: None };
        if length > 0 && collected.charge_for(length as usize, limits) {
            collected.buffer.reserve(length as usize);
        }
        collected
    }

    /// Makes sure that `length` bytes may be collected, and returns whether they may.
    fn charge_for(&mut self, length: usize, limits: &BodyLimits) -> bool {
        let is_short = length as u64 <= SHORT_MESSAGE_BYTES;
        let Some(budget) = limits.budget.as_ref().filter(|_| !is_short && self.charge.is_none()) else {
            return true;
        };
        self.charge = budget.try_charge(length);
        self.charge.is_some()
    }

    /// Makes sure that a body of unknown length may be collected further, and returns whether it may.
    fn grow(&mut self, limits: &BodyLimits) -> bool {
        if limits.budget.is_none()
            || self.charge.is_some()
            || (self.buffer.len() as u64) < SHORT_MESSAGE_BYTES
        {
            return true;
        }
        let capacity = usize::try_from(limits.buffered).unwrap_or(usize::MAX).saturating_add(MAX_FRAME_BYTES);
        let may_grow = self.charge_for(capacity, limits);
        if may_grow {
            self.buffer.reserve(capacity - self.buffer.len());
        }
        may_grow
    }

    fn charged(charge: Option<MemoryCharge>, data: Bytes) -> Bytes {
        match charge {
            Some(charge) => charge.attach(data),
            None => data,
        }
    }

    /// What was collected; it stays charged until it is dropped.
    fn into_bytes(self) -> Bytes {
        Self::charged(self.charge, self.buffer.freeze())
    }
}

/// Receives a body as far as `limits` allow.
pub async fn receive_body(
    mut body: Incoming,
    limits: &BodyLimits,
    progress: &Progress,
) -> Result<ReceivedBody, FailureCause> {
    let known_length = body.size_hint().exact();
    let too_long = || Err(FailureCause::InvalidResponse(format!("body longer than {} bytes", limits.total)));
    if known_length.is_some_and(|length| length > limits.total) {
        return too_long();
    }
    let mut collected = CollectedBody::new(known_length, limits);
    let expected = known_length.unwrap_or(0);
    let may_stream = limits.total > limits.buffered;
    // Danger: a response of unknown length may be long and slow, and the attempt would time out before that
    // shows.
    progress.is_held.set(known_length.is_none() && may_stream);
    let mut hold = pin!(async {
        match progress.is_held.get() {
            true => drop(timeout(UNKNOWN_LENGTH_HOLD, progress.release.notified()).await),
            false => pending().await,
        }
    });
    while expected <= limits.buffered && collected.buffer.len() as u64 <= limits.buffered {
        if !collected.charge_for(expected as usize, limits) || !collected.grow(limits) {
            break;
        }
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = hold.as_mut() => break,
        };
        let Some(frame) = frame else { return Ok(ReceivedBody::Whole(collected.into_bytes())) };
        let Ok(data) = frame.map_err(|error| exchange_failure_cause(&error))?.into_data() else { continue };
        if collected.buffer.is_empty() && data.len() as u64 == expected && body.is_end_stream() {
            return Ok(ReceivedBody::Whole(CollectedBody::charged(collected.charge, data)));
        }
        collected.buffer.extend_from_slice(&data);
    }
    match limits.total.checked_sub(collected.buffer.len() as u64) {
        Some(max_remaining) if may_stream => {
            let first_bytes = collected.into_bytes();
            Ok(ReceivedBody::Partial(PartialBody { first_bytes, incoming: body, max_remaining }))
        }
        _ => too_long(),
    }
}
