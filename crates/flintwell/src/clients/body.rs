//! Request bodies: buffered whole within a memory budget, or else streamed to a single node.

use crate::clients::client_socket::ClientSocket;
use crate::clients::malformed::Malformed;
use crate::clients::request_stream::RequestStream;
use crate::memory::budget::{MemoryBudget, MemoryCharge};
use crate::memory::plan::{MemoryBudgets, SHORT_MESSAGE_BYTES};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Maximum length of a request or response body.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
// Added to the time that a body's bytes take; short, so that a bad body is rejected soon.
const BASE_RECEIVE_TIMEOUT: Duration = Duration::from_millis(1_300);
const MIN_RATE_BYTES_PER_S: u64 = 48_000; // slow clients send 64,000
/// How long a client may take to send the longest body.
pub const MAX_RECEIVE_TIME: Duration = receive_timeout(MAX_BODY_BYTES);
const BLOCK_BYTES: usize = 16_384; // of the size of read buffers, so that freed ones serve each other
const FIRST_BLOCK_BYTES: usize = 4_096; // first block of a body of unknown length

/// How long a client may take to send this many bytes of a body.
const fn receive_timeout(bytes: u64) -> Duration {
    BASE_RECEIVE_TIMEOUT.saturating_add(Duration::from_micros(bytes * 1_000_000 / MIN_RATE_BYTES_PER_S))
}

/// Buffered part of a body, in blocks that are charged to a budget until they are dropped.
pub struct BodyBuffer {
    blocks: VecDeque<Bytes>,
    /// The block that is being filled, and the charge for it.
    open_block: BytesMut,
    open_charge: Option<MemoryCharge>,
    length: u64,
    budget: MemoryBudget,
}

impl BodyBuffer {
    /// An empty buffer that is charged to `budget`.
    pub fn new(budget: MemoryBudget) -> Self {
        BodyBuffer {
            blocks: VecDeque::new(),
            open_block: BytesMut::new(),
            open_charge: None,
            length: 0,
            budget,
        }
    }

    /// Appends `data`, and leaves in it what does not fit into the budget; returns whether all did fit.
    ///
    /// The data is copied into blocks, because small frames kept as they come take many times their size in memory.
    pub fn push(&mut self, data: &mut Bytes, content_length: Option<u64>) -> bool {
        while !data.is_empty() {
            if !self.reserve(content_length) {
                return false;
            }
            let part = data.split_to(data.len().min(self.open_block.capacity() - self.open_block.len()));
            self.length += part.len() as u64;
            self.open_block.extend_from_slice(&part);
        }
        true
    }

    /// Makes room for at least one more byte; returns false if the budget does not allow it.
    pub fn reserve(&mut self, content_length: Option<u64>) -> bool {
        if self.open_block.len() < self.open_block.capacity() {
            return true;
        }
        let remaining = content_length.map_or(u64::MAX, |length| length.saturating_sub(self.length)).max(1);
        let largest =
            if content_length.is_none() && self.length == 0 { FIRST_BLOCK_BYTES } else { BLOCK_BYTES };
        let block_bytes = largest.min(usize::try_from(remaining).unwrap_or(largest));
        let charge = self.budget.try_charge(block_bytes);
        let end = content_length.unwrap_or(self.length + block_bytes as u64);
        if charge.is_none() && end > SHORT_MESSAGE_BYTES {
            return false;
        }
        self.seal_block();
        self.open_block = BytesMut::with_capacity(block_bytes);
        self.open_charge = charge;
        true
    }

    /// Whether it holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty() && self.open_block.is_empty()
    }

    fn seal_block(&mut self) {
        let (block, charge) = (std::mem::take(&mut self.open_block), self.open_charge.take());
        if !block.is_empty() {
            let block = block.freeze();
            self.blocks
                .push_back(charge.map_or_else(|| block.clone(), |charge| charge.attach(block.clone())));
        }
    }

    /// Removes the first block. It stays charged until it is dropped.
    pub fn pop(&mut self) -> Option<Bytes> {
        if self.blocks.is_empty() {
            self.seal_block();
        }
        self.blocks.pop_front()
    }
}

/// The body of a client's request.
pub enum ReceivedBody {
    Buffered(Rc<BodyBuffer>),
    /// Passed on to its single attempt while it is received.
    Streaming(Rc<RequestStream>),
}

impl ReceivedBody {
    /// Receives a body from `client`: whole, or as much as the budget has room for; the rest is streamed.
    pub async fn receive(
        mut body: Incoming,
        budgets: &MemoryBudgets,
        client: &ClientSocket,
    ) -> Result<Self, Malformed> {
        let content_length = body.size_hint().exact();
        if content_length.is_some_and(|length| length > MAX_BODY_BYTES) {
            return Err(Malformed::BodyTooLong);
        }
        let (start, mut length) = (Instant::now(), 0);
        let mut buffer = BodyBuffer::new(budgets.request_bodies.clone());
        let next = loop {
            // What the budget has no room for stays in the client's socket.
            if !body.is_end_stream() && !buffer.reserve(content_length) {
                break Bytes::new();
            }
            // A fixed time limit would be too short for long bodies, and would let a stalled short one wait for long.
            let frame = match timeout_at(start + receive_timeout(length), body.frame()).await {
                Err(_) => return Err(Malformed::BodyTimeout),
                Ok(None) => {
                    buffer.seal_block();
                    return Ok(ReceivedBody::Buffered(Rc::new(buffer)));
                }
                Ok(Some(Err(_))) => return Err(Malformed::InvalidBody),
                Ok(Some(Ok(frame))) => frame,
            };
            // Trailers are not part of the body.
            let Ok(mut data) = frame.into_data() else { continue };
            length += data.len() as u64;
            if length > MAX_BODY_BYTES {
                return Err(Malformed::BodyTooLong);
            }
            if !buffer.push(&mut data, content_length) {
                break data;
            }
        };
        let charge = budgets.charge_request_transfer().await.ok_or(Malformed::NoMemory)?;
        let stream = RequestStream::new(buffer, next, body, content_length, length, client.clone(), charge);
        Ok(ReceivedBody::Streaming(Rc::new(stream)))
    }

    /// The body for an attempt; none if it is streamed and an earlier attempt has taken it.
    pub fn upstream_body(&self) -> Option<UpstreamBody> {
        match self {
            ReceivedBody::Buffered(buffer) => {
                Some(UpstreamBody::Buffered { buffer: buffer.clone(), sent: 0 })
            }
            ReceivedBody::Streaming(stream) => {
                stream.take_for_attempt().then(|| UpstreamBody::Streaming(stream.clone()))
            }
        }
    }

    /// Length of a body that is buffered whole.
    pub fn buffered_length(&self) -> Option<u64> {
        match self {
            ReceivedBody::Buffered(buffer) => Some(buffer.length),
            ReceivedBody::Streaming(_) => None,
        }
    }

    /// The stream, for a streamed body.
    pub fn stream(&self) -> Option<&Rc<RequestStream>> {
        match self {
            ReceivedBody::Buffered(_) => None,
            ReceivedBody::Streaming(stream) => Some(stream),
        }
    }
}

/// A request body as it is sent to a node.
pub enum UpstreamBody {
    Empty,
    Buffered { buffer: Rc<BodyBuffer>, sent: usize },
    Streaming(Rc<RequestStream>),
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            UpstreamBody::Empty => Poll::Ready(None),
            UpstreamBody::Buffered { buffer, sent } => {
                *sent += 1;
                Poll::Ready(buffer.blocks.get(*sent - 1).map(|block| Ok(Frame::data(block.clone()))))
            }
            UpstreamBody::Streaming(stream) => stream.poll_data(cx).map_ok(Frame::data),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            UpstreamBody::Empty => true,
            UpstreamBody::Buffered { buffer, sent } => *sent >= buffer.blocks.len(),
            UpstreamBody::Streaming(stream) => stream.is_end(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            UpstreamBody::Empty => SizeHint::with_exact(0),
            UpstreamBody::Buffered { buffer, .. } => SizeHint::with_exact(buffer.length),
            UpstreamBody::Streaming(stream) => {
                stream.content_length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

#[cfg(test)]
mod tests;
