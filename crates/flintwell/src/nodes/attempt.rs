//! One attempt: a request sent to one node over one connection, and how it ended.

use crate::clients::body::{BufferBudget, MAX_BODY_BYTES, UpstreamBody};
use crate::clients::decode::ClientRequest;
use crate::nodes::link::{Broken, Came, Cause, Link, Most, Progress};
use crate::nodes::permission::{Permission, Sending};
use crate::nodes::pool::Pool;
use crate::nodes::relay::{Content, Relay};
use crate::process::clock::span;
use crate::staff::counts::Counts;
use flintwell_core::interface::{Ending, Micros, NodeId};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::time::{sleep, timeout};
use tower::Service;

const ANSWER: Most = Most { collected: 65_536, long: MAX_BODY_BYTES }; // bytes; spoilt ones can be tried elsewhere
const TURNS: usize = 3; // of the runtime: the socket's, the connection's and our own

pub struct Attempt {
    pub request: Rc<ClientRequest>,
    pub node: NodeId,
    pub allow_for: Micros,
    pub chosen_at: Instant,
}

impl Attempt {
    fn sending(&self) -> Sending {
        Sending {
            node: self.node.clone(),
            chosen_at: self.chosen_at,
            allow_for: self.allow_for,
            client: self.request.client.clone(),
        }
    }
}

/// A node's whole answer.
pub struct Answered {
    pub ending: Ending,
    /// The first answer on its connection.
    pub first: bool,
    pub body: Content,
}

#[derive(Clone)]
pub struct Attempts {
    permission: Permission,
    counts: Rc<Counts>,
    /// For what is read ahead of long answers.
    room: Rc<BufferBudget>,
}

impl Attempts {
    pub fn new(permission: Permission, counts: Rc<Counts>, room: Rc<BufferBudget>) -> Self {
        Attempts { permission, counts, room }
    }
}

impl Service<Attempt> for Attempts {
    type Response = Answered;
    type Error = Broken;
    type Future = LocalBoxFuture<'static, Result<Answered, Broken>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Broken>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, attempt: Attempt) -> Self::Future {
        let Attempts { permission, counts, room } = self.clone();
        Box::pin(async move {
            let progress = Progress::counted(&counts.attempts);
            let mut exchange = pin!(send(&permission, &attempt, &progress, &room));
            if let Some(end) = attempt.request.body.stream_status() {
                // Its time counts from its last byte.
                tokio::select! {
                    ended = exchange.as_mut() => return ended,
                    () = end.completed.notified() => {}
                    () = sleep(attempt.request.body.max_receive_time()) => {}
                }
            }
            if let Ok(ended) = timeout(span(attempt.allow_for), exchange.as_mut()).await {
                return ended;
            }
            // Danger: an answer that its node has begun, and may give for long, would be cut off.
            if progress.hurry() {
                return exchange.await;
            }
            // Danger: after a stall of ours the time is up before the answer that has come is read. So the
            // connection gets a turn, and its reader one.
            for _ in 0..TURNS {
                tokio::task::yield_now().await;
            }
            // Past its time the exchange is dropped, and its connection closed with it.
            exchange.now_or_never().unwrap_or_else(|| Err(progress.broken(Cause::TimedOut)))
        })
    }
}

async fn send(
    permission: &Permission,
    attempt: &Attempt,
    progress: &Progress,
    room: &Rc<BufferBudget>,
) -> Result<Answered, Broken> {
    let pool = &permission.pool;
    let mut link = open(pool, &attempt.node).await?;
    // Whatever came between it and the choice: a dial, a full room, a standstill of ours.
    let sending = attempt.sending();
    permission.now(&sending)?;
    let (permitted_at, checks) = (Instant::now(), permission.clone());
    progress.checks(move || checks.check_sent(&sending, permitted_at));
    let (idle, first) = (link.idle_since.elapsed(), link.unused());
    let body = attempt.request.body.upstream_body().ok_or(Broken::unwritten(Cause::Spent))?;
    let reply = link.exchange(message(attempt, body), ANSWER, progress).await;
    pool.used_after(idle, reply.as_ref().is_err_and(|broken| broken.ending() == Ending::Reset));
    let reply = reply?;
    let ending = ending(reply.status, &reply.headers);
    let body = match reply.body {
        Came::Whole(body) => {
            pool.give_back(&attempt.node, link);
            body.into()
        }
        Came::Long(begun, rest, left) => {
            let (node, pool) = (attempt.node.clone(), pool.clone());
            Content::Long(Box::new(Relay::new(begun, rest, left, node, pool, link, room)))
        }
    };
    Ok(Answered { ending, first, body })
}

/// An idle connection that still takes an exchange, or a new one.
async fn open(pool: &Pool, node: &NodeId) -> Result<Link, Broken> {
    while let Some(link) = pool.idle(node) {
        if let Some(link) = link.ready().await {
            return Ok(link);
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
    let wait = format!("{:.6}", attempt.allow_for as f64 / 1e6);
    if let Ok(wait) = HeaderValue::from_str(&wait) {
        headers.insert("x-deadline", wait);
    }
    message
}

fn ending(status: StatusCode, headers: &HeaderMap) -> Ending {
    let not_run = headers.get("x-not-run").is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Ending::Served,
        StatusCode::NOT_FOUND => Ending::Miss,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Ending::Full,
        status if status.is_server_error() => Ending::Error,
        _ => Ending::Unknown,
    }
}
