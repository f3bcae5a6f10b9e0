//! Request bodies: buffered whole within a memory budget, or else streamed to a single node.

use crate::clients::malformed::Malformed;
use crate::process::clock::IdleTimer;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Maximum length of a request or response body.
pub const MAX_BODY_BYTES: u64 = 32 << 20; // bytes
const WITHIN: Duration = Duration::from_millis(1_300); // added to a body's transfer time; a bad body is rejected soon
const RATE: u64 = 48_000; // bytes per second; slow clients have 64,000
const STALL: Duration = Duration::from_millis(2_500); // between two frames of a streamed body
const BLOCK: usize = 65_536; // bytes of a buffer block; frames come in any size
const BLOCK_FIRST: usize = 4_096; // bytes of the first block where the body's length is unknown

/// Memory budget, in bytes, shared by buffered bodies.
pub struct BufferBudget(Cell<usize>);

impl BufferBudget {
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(BufferBudget(Cell::new(bytes)))
    }
    pub fn available_bytes(&self) -> u64 {
        self.0.get() as u64
    }
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.get().checked_sub(bytes);
        left.inspect(|left| self.0.set(*left)).is_some()
    }
    fn give_back(&self, bytes: usize) {
        self.0.set(self.0.get() + bytes);
    }
}

/// Buffered part of a body, in blocks that are charged to the budget.
pub struct BodyBuffer {
    /// Blocks with the bytes charged for each.
    blocks: VecDeque<(Bytes, usize)>,
    last: BytesMut,
    held: usize,
    length: u64,
    budget: Rc<BufferBudget>,
}

impl BodyBuffer {
    pub fn new(budget: Rc<BufferBudget>) -> Self {
        BodyBuffer { blocks: VecDeque::new(), last: BytesMut::new(), held: 0, length: 0, budget }
    }

    /// Appends `data`, and leaves in it what does not fit into the budget; returns whether all did fit.
    ///
    /// The data is copied into larger blocks, because small frames kept as they come take many times their size in
    /// memory.
    pub fn push(&mut self, data: &mut Bytes, told: Option<u64>) -> bool {
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() {
                let left = told.map_or(u64::MAX, |told| told.saturating_sub(self.length)).max(1);
                let most = if told.is_none() && self.length == 0 { BLOCK_FIRST } else { BLOCK };
                let block = most.min(usize::try_from(left).unwrap_or(most));
                if !self.budget.take(block) {
                    return false;
                }
                self.held += block;
                self.seal();
                self.last = BytesMut::with_capacity(block);
            }
            let piece = data.split_to(data.len().min(self.last.capacity() - self.last.len()));
            self.length += piece.len() as u64;
            self.last.extend_from_slice(&piece);
        }
        true
    }

    fn seal(&mut self) {
        let (room, last) = (self.last.capacity(), std::mem::take(&mut self.last));
        if !last.is_empty() {
            self.blocks.push_back((last.freeze(), room));
        }
    }

    /// Removes the first block and returns its bytes to the budget.
    pub fn pop(&mut self) -> Option<Bytes> {
        if self.blocks.is_empty() {
            self.seal();
        }
        let (block, room) = self.blocks.pop_front()?;
        let room = room.min(self.held);
        self.held -= room;
        self.budget.give_back(room);
        Some(block)
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.budget.give_back(self.held);
    }
}

/// A body that is sent to a node while it is still being received.
pub struct Passing {
    kept: BodyBuffer,
    next: Bytes,
    rest: Incoming,
    told: Option<u64>,
    patience: IdleTimer,
    end: Rc<StreamStatus>,
}

/// How a streamed body has ended.
#[derive(Default)]
pub struct StreamStatus {
    /// Notified once the body is complete.
    pub completed: Notify,
    /// Why receiving the body failed, if it did.
    pub error: Cell<Option<Malformed>>,
}

/// The body of a client's request.
pub enum Payload {
    Kept(Rc<BodyBuffer>),
    /// None once its single attempt has taken it.
    Passing(Cell<Option<Box<Passing>>>, Rc<StreamStatus>),
}

impl Payload {
    /// Receives a body: whole, or as much as the budget has room for; the rest is streamed.
    pub async fn receive(mut body: Incoming, budget: &Rc<BufferBudget>) -> Result<Self, Malformed> {
        let told = body.size_hint().exact();
        if told.is_some_and(|told| told > MAX_BODY_BYTES) {
            return Err(Malformed::BodyTooLong);
        }
        let (start, mut kept, mut length) = (Instant::now(), BodyBuffer::new(budget.clone()), 0);
        loop {
            // A fixed time limit would be too short for long bodies, and would let a stalled short one wait for long.
            let due = start + WITHIN + Duration::from_micros(length * 1_000_000 / RATE);
            let frame = match timeout_at(due, body.frame()).await {
                Err(_) => return Err(Malformed::BodyLate),
                Ok(None) => break,
                Ok(Some(Err(_))) => return Err(Malformed::BodyBroken),
                Ok(Some(Ok(frame))) => frame,
            };
            // Trailers are not part of the body.
            let Ok(mut data) = frame.into_data() else { continue };
            length += data.len() as u64;
            if length > MAX_BODY_BYTES {
                return Err(Malformed::BodyTooLong);
            }
            if !kept.push(&mut data, told) {
                kept.seal();
                let end = Rc::<StreamStatus>::default();
                let patience = IdleTimer::new(STALL);
                let passing = Passing { kept, next: data, rest: body, told, patience, end: end.clone() };
                return Ok(Payload::Passing(Cell::new(Some(Box::new(passing))), end));
            }
        }
        kept.seal();
        Ok(Payload::Kept(Rc::new(kept)))
    }

    /// The body for an attempt; none if it is streamed and an earlier attempt has taken it.
    pub fn upstream_body(&self) -> Option<UpstreamBody> {
        match self {
            Payload::Kept(kept) => Some(UpstreamBody::Kept { kept: kept.clone(), sent: 0 }),
            Payload::Passing(passing, _) => passing.take().map(UpstreamBody::Passing),
        }
    }

    /// For a streamed body: whether and how it has ended.
    pub fn stream_status(&self) -> Option<&StreamStatus> {
        match self {
            Payload::Kept(_) => None,
            Payload::Passing(_, end) => Some(end),
        }
    }

    /// How long the client may still take to send the body.
    pub fn max_receive_time(&self) -> Duration {
        match self {
            Payload::Kept(_) => Duration::ZERO,
            Payload::Passing(..) => WITHIN + Duration::from_micros(MAX_BODY_BYTES * 1_000_000 / RATE),
        }
    }
}

/// A request body as it is sent to a node.
pub enum UpstreamBody {
    Empty,
    Kept { kept: Rc<BodyBuffer>, sent: usize },
    Passing(Box<Passing>),
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            UpstreamBody::Empty => Poll::Ready(None),
            UpstreamBody::Kept { kept, sent } => {
                *sent += 1;
                Poll::Ready(kept.blocks.get(*sent - 1).map(|block| Ok(Frame::data(block.0.clone()))))
            }
            UpstreamBody::Passing(passing) => passing.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            UpstreamBody::Empty => true,
            UpstreamBody::Kept { kept, sent } => *sent >= kept.blocks.len(),
            UpstreamBody::Passing(passing) => passing.ended(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            UpstreamBody::Empty => SizeHint::with_exact(0),
            UpstreamBody::Kept { kept, .. } => SizeHint::with_exact(kept.length),
            UpstreamBody::Passing(passing) => passing.told.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

impl Passing {
    fn ended(&self) -> bool {
        self.kept.blocks.is_empty() && self.next.is_empty() && self.rest.is_end_stream()
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let next = self.kept.pop().unwrap_or_else(|| std::mem::take(&mut self.next));
        if !next.is_empty() {
            self.patience.reset();
            return Poll::Ready(Some(Ok(self.piece(next))));
        }
        loop {
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.patience.reset();
                    self.kept.length += data.len() as u64;
                    if self.kept.length > MAX_BODY_BYTES {
                        return self.breaks(Malformed::BodyTooLong);
                    }
                    return Poll::Ready(Some(Ok(self.piece(data))));
                }
                Poll::Ready(Some(Err(_))) => return self.breaks(Malformed::BodyBroken),
                Poll::Ready(None) => {
                    self.end.completed.notify_one();
                    return Poll::Ready(None);
                }
                Poll::Pending => {
                    return match self.patience.poll(cx) {
                        Poll::Ready(()) => self.breaks(Malformed::BodyLate),
                        Poll::Pending => Poll::Pending,
                    };
                }
            }
        }
    }

    fn piece(&self, data: Bytes) -> Frame<Bytes> {
        if self.ended() {
            self.end.completed.notify_one();
        }
        Frame::data(data)
    }

    fn breaks(&self, why: Malformed) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.end.error.set(Some(why));
        Poll::Ready(Some(Err(io::Error::other("the client's request body is incomplete or invalid"))))
    }
}

#[cfg(test)]
mod tests;
