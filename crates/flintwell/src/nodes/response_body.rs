//! Response bodies on their way from a node to the client: buffered whole, or streamed as they are received.

use crate::clients::body::BodyBuffer;
use crate::management::metrics::{InFlightGuard, Metrics, RequestOutcome};
use crate::memory::budget::{MemoryBudget, MemoryCharge};
use crate::memory::plan::MemoryBudgets;
use crate::memory::write_pacer::WritePacer;
use crate::nodes::connection::Connection;
use crate::nodes::pool::Pool;
use crate::nodes::receive_body::PartialBody;
use crate::nodes::response_transfer::Upstream;
use crate::process::clock::{IdleTimer, PEER_IDLE_TIMEOUT};
use crate::requests::id_hash::IdHash;
use crate::requests::request_handle::RequestHandle;
use bytes::Bytes;
use flintwell_core::interface::NodeId;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

/// The body of a response to a client.
pub enum ResponseBody {
    Buffered(Full<Bytes>),
    /// Passed on to the client as it is received.
    Streamed(Box<StreamedBody>),
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        ResponseBody::Buffered(Full::new(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            ResponseBody::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            ResponseBody::Streamed(body) => body.stream.poll(cx).map_ok(Frame::data),
        }
    }
    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(body) => body.is_end_stream(),
            ResponseBody::Streamed(body) => body.stream.is_ended(),
        }
    }
    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(body) => body.size_hint(),
            ResponseBody::Streamed(body) => body.stream.size_hint(),
        }
    }
}

/// Keeps a request registered and counted as in flight until its response has been sent.
pub struct RequestGuard {
    metrics: Rc<Metrics>,
    /// Index of the request class.
    pub class_index: usize,
    handle: RequestHandle,
    _in_flight: InFlightGuard,
}

impl RequestGuard {
    /// Stands for the id of the request.
    pub fn id_hash(&self) -> Option<IdHash> {
        self.handle.id_hash()
    }

    /// Counts the outcome of the request.
    pub fn record_end(self, is_complete: bool) {
        self.metrics.record_outcome(self.class_index, RequestOutcome::of_relay(is_complete));
    }
}

/// A long response between its node and its client's connection. What the client is not ready for is read
/// ahead within a memory budget. Danger: a client that reads for seconds would occupy a connection to the
/// node for as long; those of a whole fleet would fill the origin's connection table, so that no proxy can
/// fetch.
pub struct ResponseStream {
    /// Whether its head declared the body's length.
    pub has_known_length: bool,
    source: RefCell<Source>,
    request: RefCell<Option<RequestGuard>>,
    /// Body bytes passed to the client's connection.
    bytes_sent: Cell<u64>,
    /// The end was passed to the client's connection.
    is_complete: Cell<bool>,
    is_truncated: Cell<bool>,
    /// Another process continues it: nothing more is passed on here.
    is_halted: Cell<bool>,
    /// Paces what is written to the client.
    pacer: WritePacer,
}

/// The receiving side of a long response.
struct Source {
    /// Body bytes received.
    bytes_received: u64,
    buffered: BodyBuffer,
    budget: MemoryBudget,
    /// For what is neither buffered nor written, until all was received.
    transfer: Option<MemoryCharge>,
    /// Received data that follows the buffered data.
    next: Bytes,
    /// None once the body has ended or failed.
    incoming: Option<Incoming>,
    failure: Option<&'static str>,
    /// Maximum number of bytes that the node may still send.
    max_remaining: u64,
    stall_timer: IdleTimer,
    node: NodeId,
    pool: Rc<Pool>,
    connection: Option<Connection>,
}

impl Source {
    fn read(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        loop {
            let Some(incoming) = self.incoming.as_mut() else { return Poll::Ready(None) };
            match ready!(Pin::new(&mut *incoming).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.stall_timer.reset();
                    let is_last = incoming.is_end_stream();
                    // Danger: an endless response would be forwarded for as long as its client reads.
                    let Some(max_remaining) = self.max_remaining.checked_sub(data.len() as u64) else {
                        self.fail("response exceeds the maximum length");
                        continue;
                    };
                    self.max_remaining = max_remaining;
                    self.bytes_received += data.len() as u64;
                    if is_last {
                        self.finish();
                    }
                    return Poll::Ready(Some(data));
                }
                Some(Err(_)) => self.fail("node closed the connection before the end of the response"),
                None => self.finish(),
            }
        }
    }
    fn fail(&mut self, why: &'static str) {
        (self.failure, self.incoming, self.connection) = (Some(why), None, None);
    }
    fn finish(&mut self) {
        (self.incoming, self.transfer) = (None, None);
        // A halted connection can't be reused.
        if let Some(connection) = self.connection.take().filter(|connection| !connection.is_halted()) {
            self.pool.release(&self.node, connection);
        }
    }
}

impl ResponseStream {
    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if self.is_halted.get() || self.pacer.poll_written(cx).is_pending() {
            return Poll::Pending;
        }
        let mut source = self.source.borrow_mut();
        let data = source.buffered.pop().unwrap_or_else(|| std::mem::take(&mut source.next));
        let polled = if data.is_empty() { source.read(cx) } else { Poll::Ready(Some(data)) };
        match polled {
            Poll::Ready(Some(data)) => {
                self.bytes_sent.set(self.bytes_sent.get() + data.len() as u64);
                return Poll::Ready(Some(Ok(self.pacer.track(data))));
            }
            Poll::Ready(None) => {}
            Poll::Pending if source.stall_timer.poll(cx).is_ready() => {
                source.fail("node stopped sending the response")
            }
            Poll::Pending => return Poll::Pending,
        }
        // Danger: a client could take a truncated response for a complete one; so its framing is left without
        // an end, and its connection is closed.
        self.is_truncated.set(source.failure.is_some());
        self.is_complete.set(source.failure.is_none());
        Poll::Ready(source.failure.map(|why| Err(io::Error::other(why))))
    }

    /// Reads ahead of what the client has taken. The task of the client's connection has to call this after
    /// the client has taken data.
    pub fn poll_read_ahead(&self, cx: &mut Context<'_>) {
        let mut source = self.source.borrow_mut();
        // Danger: a budget spread over many responses completes none of them sooner; so only responses whose
        // rest fits as a whole, or is of unknown length, are read ahead.
        let fits = |body: &Incoming| {
            body.size_hint().exact().is_none_or(|rest| rest <= source.budget.available_bytes())
        };
        if !self.is_halted.get() && !source.incoming.as_ref().is_some_and(fits) {
            return;
        }
        // Of a halted response, only what the HTTP parser still holds is left to read; it is little, and has
        // to be handed over as well.
        while (self.is_halted.get() || source.next.is_empty() && source.buffered.reserve(None))
            && let Poll::Ready(Some(data)) = source.read(cx)
        {
            source.next = match source.next.is_empty() {
                true => data,
                false => [&source.next[..], &data[..]].concat().into(),
            };
            let Source { buffered, next, .. } = &mut *source;
            buffered.push(next, None);
        }
    }

    fn is_ended(&self) -> bool {
        let source = self.source.borrow();
        self.is_complete.get()
            || source.incoming.is_none()
                && source.failure.is_none()
                && source.bytes_received == self.bytes_sent.get()
    }

    fn size_hint(&self) -> SizeHint {
        let source = self.source.borrow();
        let rest = source.incoming.as_ref().map_or(Some(0), |body| body.size_hint().exact());
        let rest = rest
            .filter(|_| self.has_known_length)
            .map(|rest| source.bytes_received - self.bytes_sent.get() + rest);
        rest.map_or_else(SizeHint::default, SizeHint::with_exact)
    }

    /// Stops reading from the node and passing on, if the rest can be handed over; returns whether it can.
    pub fn halt(&self) -> bool {
        let source = self.source.borrow();
        let can_hand_over = match &source.connection {
            Some(connection) => connection.body_progress().is_some(),
            None => source.failure.is_none(),
        };
        if can_hand_over {
            source.connection.iter().for_each(Connection::halt);
        }
        self.is_halted.set(can_hand_over);
        can_hand_over
    }

    /// Whether everything read from the node's connection has passed through the HTTP parser.
    pub fn is_drained(&self) -> bool {
        let source = self.source.borrow();
        let progress = source.connection.as_ref().and_then(Connection::body_progress);
        source.incoming.is_none()
            || progress.is_some_and(|(body, coding)| body == source.bytes_received && !coding.is_complete())
    }

    /// Takes the node's socket with the framing of the rest, and the maximum number of remaining bytes. The
    /// caller owns the connection from then on. None if the response failed.
    pub fn take_upstream(&self) -> Option<(Option<Upstream>, u64)> {
        let mut source = self.source.borrow_mut();
        let connection = source.connection.take();
        let rest =
            connection.and_then(|connection| Some((connection.socket()?, connection.body_progress()?.1)));
        (source.failure.is_none() && rest.is_some() == source.incoming.take().is_some())
            .then_some((rest, source.max_remaining))
    }

    /// Takes the data that was received and not passed to the client's connection, block by block.
    pub fn drain_buffered(&self) -> impl Iterator<Item = Bytes> {
        std::iter::from_fn(|| {
            let mut source = self.source.borrow_mut();
            source
                .buffered
                .pop()
                .or_else(|| Some(std::mem::take(&mut source.next)).filter(|next| !next.is_empty()))
        })
    }

    /// Whether the response failed after a part of it was passed on.
    pub fn is_truncated(&self) -> bool {
        self.is_truncated.get()
    }

    /// Whether its end has not been passed to the client's connection yet.
    pub fn is_end_pending(&self) -> bool {
        !self.is_complete.get()
    }

    /// Takes the request that is kept open until the response ends.
    pub fn take_request(&self) -> Option<RequestGuard> {
        self.request.take()
    }
}

/// The owner of a streamed response body; dropping it ends the response.
pub struct StreamedBody {
    /// The state shared with the task of the client's connection.
    pub stream: Rc<ResponseStream>,
}

impl StreamedBody {
    pub fn new(
        partial: PartialBody,
        node: NodeId,
        pool: Rc<Pool>,
        connection: Connection,
        budget: MemoryBudget,
    ) -> Self {
        let PartialBody { first_bytes, incoming, max_remaining } = partial;
        let has_known_length = incoming.size_hint().exact().is_some();
        let source = Source {
            bytes_received: first_bytes.len() as u64,
            buffered: BodyBuffer::new(budget.clone()),
            budget,
            transfer: None,
            next: first_bytes,
            incoming: Some(incoming),
            failure: None,
            max_remaining,
            stall_timer: IdleTimer::new(PEER_IDLE_TIMEOUT),
            node,
            pool,
            connection: Some(connection),
        };
        let stream = ResponseStream {
            has_known_length,
            source: RefCell::new(source),
            request: RefCell::default(),
            bytes_sent: Cell::default(),
            is_complete: Cell::default(),
            is_truncated: Cell::default(),
            is_halted: Cell::default(),
            pacer: WritePacer::default(),
        };
        StreamedBody { stream: Rc::new(stream) }
    }

    /// Charges the body to the budget of messages that are passed on, and waits for room until `deadline` at most. Nothing
    /// more is read of it meanwhile. Returns whether it may be passed on.
    pub async fn charge_transfer(&self, budgets: &MemoryBudgets, deadline: Instant) -> bool {
        let charge = budgets.charge_response_transfer(deadline).await;
        let is_charged = charge.is_some();
        self.stream.source.borrow_mut().transfer = charge;
        is_charged
    }

    /// Keeps the request open until the body ends.
    pub fn attach_request(
        &self,
        handle: RequestHandle,
        in_flight: InFlightGuard,
        metrics: Rc<Metrics>,
        class_index: usize,
    ) {
        self.stream.request.replace(Some(RequestGuard {
            metrics,
            class_index,
            handle,
            _in_flight: in_flight,
        }));
    }
}

impl Drop for StreamedBody {
    /// Counts the outcome, unless the client disconnected before the response was complete or failed.
    fn drop(&mut self) {
        let (stream, is_complete) = (&self.stream, self.stream.is_ended());
        stream.is_complete.set(is_complete);
        let mut source = stream.source.borrow_mut();
        (source.incoming, source.connection, source.next) = (None, None, Bytes::new());
        source.transfer = None;
        while source.buffered.pop().is_some() {}
        if let Some(request) = stream.request.take().filter(|_| is_complete || stream.is_truncated.get()) {
            request.record_end(is_complete);
        }
    }
}
