//! One attempt: a request sent to one node over one connection, and its outcome.

use crate::clients::body::{MAX_BODY_BYTES, UpstreamBody};
use crate::clients::decode::ClientRequest;
use crate::management::metrics::Metrics;
use crate::memory::budget::MemoryBudget;
use crate::nodes::connection::{Connection, MAX_SHORT_BODY_BYTES, Progress};
use crate::nodes::exchange_error::{ExchangeError, FailureCause, Stage};
use crate::nodes::pool::Pool;
use crate::nodes::receive_body::{BodyLimits, ReceivedBody};
use crate::nodes::response_body::{ResponseBody, StreamedBody};
use crate::nodes::reuse::Doubt;
use crate::nodes::send_guard::{PendingSend, SendGuard};
use crate::process::clock::{PEER_IDLE_TIMEOUT, to_duration};
use bytes::Bytes;
use flintwell_core::interface::{AttemptStatus, Idempotency, Micros, NodeId};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use std::future::pending;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};
use tower::Service;

// A response that fails while it is still buffered can be retried on another node.
const MAX_BUFFERED_BYTES: u64 = 65_536;
const FINAL_YIELDS: usize = 3; // turns of the runtime: for the socket, the connection's driver and this task

const LAST_BYTE_MARGIN: Duration = Duration::from_millis(100); // for a node to read what its kernel has of a long body

/// A request for one node.
pub struct Attempt {
    pub request: Rc<ClientRequest>,
    pub node: NodeId,
    /// Time limit of the attempt; for a streamed body it counts from the client's last byte at the earliest.
    pub timeout: Micros,
    /// When nodes stop to recognize it as a repeat; none if it is not a repeat.
    pub send_by: Option<Instant>,
    /// When the routing policy chose the node.
    pub chosen_at: Instant,
}

impl Attempt {
    fn pending_send(&self, generation: u64) -> PendingSend {
        PendingSend {
            node: self.node.clone(),
            generation,
            chosen_at: self.chosen_at,
            timeout: self.timeout,
            send_by: self.send_by,
            last_byte_by: self.last_byte_by(),
            client: self.request.client.clone(),
        }
    }

    /// Until when the last byte may be written, apart from a streamed body's.
    fn last_byte_by(&self) -> Option<Instant> {
        let length = self.request.body.buffered_length()?;
        let margin = if length > MAX_SHORT_BODY_BYTES { LAST_BYTE_MARGIN } else { Duration::ZERO };
        let window_end = self.send_by.map(|send_by| send_by.checked_sub(margin).unwrap_or(send_by));
        let timeout_end = self.chosen_at + to_duration(self.timeout);
        Some(window_end.map_or(timeout_end, |window_end| window_end.min(timeout_end)))
    }

    /// Completes if the last byte is not written by the time by which it has to be.
    async fn unsent_in_time(&self, progress: &Progress) {
        if let Some(last_byte_by) = self.last_byte_by() {
            sleep_until(last_byte_by.into()).await;
            if progress.stage() == Stage::Unwritten {
                return;
            }
        }
        pending().await
    }

    /// Receives a streamed body while the attempt lasts; never completes.
    async fn receive_body(&self) {
        match self.request.body.stream() {
            Some(stream) => stream.receive_ahead().await,
            None => pending().await,
        }
    }

    /// Completes once the attempt has to be given up.
    async fn overdue(&self, progress: &Progress) {
        let timeout = to_duration(self.timeout);
        let Some(stream) = self.request.body.stream() else { return sleep(timeout).await };
        let mut node_progress = NodeProgress::new(progress);
        loop {
            // Danger: while the node reads nothing, the client may have finished unnoticed, and its time may be running.
            let due_at = self.chosen_at.max(stream.unfinished_at()) + timeout;
            let stalled_at = node_progress.last_at(progress) + PEER_IDLE_TIMEOUT;
            let now = Instant::now();
            if now >= due_at.min(stalled_at) {
                return;
            }
            sleep_until(due_at.min(stalled_at).into()).await;
        }
    }
}

/// When a node was last seen to take bytes of a request.
struct NodeProgress {
    bytes_written: u64,
    seen_at: Instant,
}

impl NodeProgress {
    fn new(progress: &Progress) -> Self {
        NodeProgress { bytes_written: progress.bytes_written(), seen_at: Instant::now() }
    }

    fn last_at(&mut self, progress: &Progress) -> Instant {
        let bytes_written = progress.bytes_written();
        if std::mem::replace(&mut self.bytes_written, bytes_written) != bytes_written {
            self.seen_at = Instant::now();
        }
        self.seen_at
    }
}

/// The response of a node.
pub struct NodeResponse {
    pub status: AttemptStatus,
    /// Whether it is the first response on its connection.
    pub first_on_connection: bool,
    pub body: ResponseBody,
}

/// A tower service that runs attempts.
#[derive(Clone)]
pub struct AttemptService {
    guard: SendGuard,
    metrics: Rc<Metrics>,
    /// Memory for responses that are collected or read ahead of their clients.
    responses: MemoryBudget,
}

impl AttemptService {
    pub fn new(guard: SendGuard, metrics: Rc<Metrics>, responses: MemoryBudget) -> Self {
        AttemptService { guard, metrics, responses }
    }
}

impl Service<Attempt> for AttemptService {
    type Response = NodeResponse;
    type Error = ExchangeError;
    type Future = LocalBoxFuture<'static, Result<NodeResponse, ExchangeError>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), ExchangeError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, attempt: Attempt) -> Self::Future {
        let AttemptService { guard, metrics, responses } = self.clone();
        Box::pin(async move {
            let progress = Progress::with_counter(&metrics.cache_attempts);
            let mut exchange = pin!(send(&guard, &attempt, &progress, &responses));
            tokio::select! {
                biased;
                result = exchange.as_mut() => return result,
                () = attempt.receive_body() => {}
                () = attempt.overdue(&progress) => {}
                () = attempt.unsent_in_time(&progress), if attempt.send_by.is_some() => {
                    return Err(ExchangeError::before_write(FailureCause::Expired));
                }
            }
            // Danger: a response that the node has begun and may stream for a long time would be cut off.
            if progress.release_held() {
                return exchange.await;
            }
            // Danger: after a stall of this process the time-out fires before a response that has already
            // arrived is read. So the connection's driver and its reader each get a turn first.
            for _ in 0..FINAL_YIELDS {
                tokio::task::yield_now().await;
            }
            // On a time-out the exchange is dropped, which closes its connection.
            exchange.now_or_never().unwrap_or_else(|| Err(progress.error(FailureCause::TimedOut)))
        })
    }
}

async fn send(
    guard: &SendGuard,
    attempt: &Attempt,
    progress: &Progress,
    responses: &MemoryBudget,
) -> Result<NodeResponse, ExchangeError> {
    let pool = &guard.pool;
    let mut connection = acquire_connection(pool, &attempt.node).await?;
    // Time has passed since the node was chosen: a dial, a wait for a permit, a stall of this process.
    let pending = attempt.pending_send(connection.generation);
    guard.check(&pending)?;
    let (permitted_at, sent_guard, last_byte) = (Instant::now(), guard.clone(), pending.clone());
    progress.set_on_first_write(move || sent_guard.check_sent(&pending, permitted_at));
    progress.set_last_byte_check(move || last_byte.check_last_byte());
    let (idle, first_on_connection) = (connection.idle_since.elapsed(), connection.is_unused());
    let body = attempt
        .request
        .body
        .upstream_body()
        .ok_or(ExchangeError::before_write(FailureCause::BodyConsumed))?;
    let exchange_began_at = Instant::now();
    let limits =
        BodyLimits { buffered: MAX_BUFFERED_BYTES, total: MAX_BODY_BYTES, budget: Some(responses.clone()) };
    let reply = connection.exchange(message(attempt, body), &limits, progress).await;
    pool.record_reuse(idle, reply.as_ref().is_err_and(|error| error.status() == AttemptStatus::Reset));
    let reply = reply?;
    pool.monitor.record_response_time(exchange_began_at.elapsed());
    let status = attempt_status(reply.status, &reply.headers);
    let body = match reply.body {
        ReceivedBody::Whole(body) => {
            check_response(&mut connection, attempt, status, &body).await?;
            // Danger: if the refusal was made for another request, this one may still be running, and another attempt
            // would run beside it. Closing the connection gives this one up.
            if status != AttemptStatus::Full || !connection.is_doubtful() {
                pool.release(&attempt.node, connection);
            }
            body.into()
        }
        // It is not passed on, and its connection is closed.
        ReceivedBody::Partial(_) if status != AttemptStatus::Served => Bytes::new().into(),
        ReceivedBody::Partial(partial) => {
            let (node, pool) = (attempt.node.clone(), pool.clone());
            let body = StreamedBody::new(partial, node, pool, connection, responses.clone());
            ResponseBody::Streamed(Box::new(body))
        }
    };
    Ok(NodeResponse { status, first_on_connection, body })
}

/// Returns an error if the response may have been made for another request.
async fn check_response(
    connection: &mut Connection,
    attempt: &Attempt,
    status: AttemptStatus,
    body: &Bytes,
) -> Result<(), ExchangeError> {
    let is_unsafe = attempt.request.idempotency == Idempotency::Unsafe;
    let doubt = match status {
        AttemptStatus::Served if connection.is_copy(&attempt.request.path, body) => Doubt::Copy,
        // Danger: an unsafe request that was sent again because of a second response to another one would run twice.
        status if status.never_ran() && is_unsafe && connection.is_followed().await => Doubt::Followed,
        _ => return Ok(()),
    };
    Err(connection.reject(doubt, Stage::Written))
}

/// An idle connection that can take another exchange, or a new one.
async fn acquire_connection(pool: &Pool, node: &NodeId) -> Result<Connection, ExchangeError> {
    while let Some((connection, rest)) = pool.take_idle(node) {
        sleep(rest).await;
        if let Some(connection) = connection.ready().await {
            return Ok(connection);
        }
    }
    pool.dial(node).await
}

fn message(attempt: &Attempt, body: UpstreamBody) -> Request<UpstreamBody> {
    let request = &attempt.request;
    let mut message = Request::new(body);
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.path.clone();
    let headers = message.headers_mut();
    headers.insert(HOST, request.host.clone().unwrap_or(HeaderValue::from_static("origin.svc")));
    headers.insert("x-request-id", request.id_header.clone());
    if let Some(mark) = &request.idempotency_key {
        headers.insert("idempotency-key", mark.clone());
    }
    let deadline = format!("{:.6}", attempt.timeout as f64 / 1e6);
    if let Ok(deadline) = HeaderValue::from_str(&deadline) {
        headers.insert("x-deadline", deadline);
    }
    message
}

fn attempt_status(status: StatusCode, headers: &HeaderMap) -> AttemptStatus {
    let not_run = headers.get("x-not-run").is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => AttemptStatus::Served,
        StatusCode::NOT_FOUND => AttemptStatus::Miss,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => AttemptStatus::Full,
        status if status.is_server_error() => AttemptStatus::Error,
        _ => AttemptStatus::Unknown,
    }
}
