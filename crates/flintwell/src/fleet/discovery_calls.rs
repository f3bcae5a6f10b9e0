//! Calls to discovery, each in a separate task: establishing the connection, and the exchange on it. A call
//! that has timed out stays open, because its response may still arrive: closing it would give up its place in
//! discovery's queue and waste the work done for it.

use crate::clients::body::UpstreamBody;
use crate::nodes::connection::{Connection, Progress};
use crate::nodes::exchange_error::{ExchangeError, FailureCause, Stage};
use crate::nodes::receive_body::{BodyLimits, ReceivedBody};
use crate::nodes::reuse::{Doubt, Peer, ReuseMonitor};
use crate::process::clock::Clock;
use flintwell_core::interface::Micros;
use flintwell_list_watch::Failure;
use flintwell_settings::node_list::NodeList;
use futures_util::future::select_all;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

const DIAL_TIMEOUT: Duration = Duration::from_secs(2); // a lost SYN is retransmitted after one second
const PARALLEL_DIAL_DELAY: Duration = Duration::from_millis(500); // before each further dial beside the first
const MAX_PARALLEL_DIALS: u32 = 3;
const READY_TIMEOUT: Duration = Duration::from_millis(50); // for the previous exchange on a connection to end
const MAX_LIST_BYTES: u64 = 4 << 20; // a list of ten thousand nodes
const READ_BUFFER_BYTES: usize = 32_768; // of a connection to discovery
const MAX_OPEN_CALLS: usize = 4; // each holds one of the descriptors reserved for the process itself

/// Sequence number of a call within this process.
pub type CallNumber = u64;

/// Why a call failed: its kind for the list watch, and its details for the log.
#[derive(Debug)]
pub struct CallError {
    pub kind: Failure,
    pub error: ExchangeError,
}

impl CallError {
    fn from_exchange(error: ExchangeError) -> Self {
        let kind = match &error.cause {
            FailureCause::LocalFault(_) | FailureCause::ConnectionLimit => Failure::Local,
            FailureCause::Unreachable(_) => Failure::Unreachable,
            _ => Failure::Broken,
        };
        CallError { kind, error }
    }

    /// No response came in time.
    pub fn timed_out(error: ExchangeError) -> Self {
        CallError { kind: Failure::Silent, error }
    }

    /// The response was not acceptable.
    pub fn invalid_response(why: String) -> Self {
        CallError {
            kind: Failure::Broken,
            error: ExchangeError::before_write(FailureCause::InvalidResponse(why)),
        }
    }
}

/// A response with the connection on which it was received.
pub struct Answer {
    pub list: NodeList,
    pub connection: Connection,
    /// When its first byte was read.
    pub first_byte_at: Micros,
}

/// The completion of a task.
pub enum Completion {
    /// A connection was established, or could not be.
    Connected(Result<Connection, CallError>),
    /// A call has ended.
    Called(CallNumber, Result<Answer, CallError>),
}

/// The calls in flight.
pub struct DiscoveryCalls {
    clock: Clock,
    peer: Peer,
    tasks: JoinSet<Completion>,
    open: VecDeque<(CallNumber, AbortHandle)>,
    next_number: CallNumber,
}

impl DiscoveryCalls {
    pub fn new(clock: Clock, monitor: Rc<ReuseMonitor>) -> Self {
        let peer = Peer { name: "discovery".into(), monitor };
        DiscoveryCalls { clock, peer, tasks: JoinSet::new(), open: VecDeque::new(), next_number: 0 }
    }

    /// Starts to establish a connection to `addr`: `previous`, if it can still take a call, or a new one.
    pub fn connect(&mut self, addr: SocketAddr, previous: Option<Connection>) {
        let peer = self.peer.clone();
        self.tasks.spawn_local(async move {
            // Danger: a connection that is neither ready nor closed would block all further calls.
            let ready = match previous {
                Some(connection) => timeout(READY_TIMEOUT, connection.ready()).await.ok().flatten(),
                None => None,
            };
            let connected = match ready {
                Some(connection) => Ok(connection),
                None => dial(addr, &peer).await,
            };
            Completion::Connected(connected.map_err(CallError::from_exchange))
        });
    }

    /// Starts a call on this connection to `addr`. With `since`, discovery sends what is newer than that version and
    /// may hold the call for up to `wait`; without it, discovery sends the whole list. At the limit of open
    /// calls the oldest is aborted.
    pub fn call(
        &mut self,
        mut connection: Connection,
        addr: SocketAddr,
        since: Option<u64>,
        wait: Micros,
    ) -> CallNumber {
        if self.open.len() >= MAX_OPEN_CALLS
            && let Some((_, oldest)) = self.open.pop_front()
        {
            oldest.abort();
        }
        let (number, clock) = (self.next_number, self.clock);
        self.next_number += 1;
        let task = self.tasks.spawn_local(async move {
            let list = confirmed_exchange(&mut connection, addr, since, wait).await;
            connection.end_exchange();
            let first_byte_at =
                connection.first_byte_at().map_or(clock.now(), |instant| clock.micros_at(instant));
            Completion::Called(number, list.map(|list| Answer { list, connection, first_byte_at }))
        });
        self.open.push_back((number, task));
        number
    }

    /// The next completion; never returns while nothing is in flight.
    pub async fn next_completion(&mut self) -> Completion {
        loop {
            match self.tasks.join_next().await {
                Some(Ok(completion)) => {
                    if let Completion::Called(number, _) = completion {
                        self.open.retain(|(open, _)| *open != number);
                    }
                    return completion;
                }
                // The call was aborted.
                Some(Err(error)) if error.is_cancelled() => {}
                Some(Err(error)) => {
                    let failed = CallError::invalid_response(format!("call task failed: {error}"));
                    let last = self.open.pop_back();
                    return match last {
                        Some((number, _)) => Completion::Called(number, Err(failed)),
                        None => Completion::Connected(Err(failed)),
                    };
                }
                None => std::future::pending().await,
            }
        }
    }

    /// Aborts all calls and drops completions that were not fetched yet. Danger: otherwise a response of the
    /// former discovery address would be taken for one of the new address.
    pub fn abort_all(&mut self) {
        self.tasks = JoinSet::new();
        self.open.clear();
    }
}

/// Opens a new connection. Danger: a slow connection, or one whose SYN was lost, would make discovery count
/// as unreachable, and its last list would be used for longer than allowed; so further connections are tried
/// in parallel before that is reported.
async fn dial(addr: SocketAddr, peer: &Peer) -> Result<Connection, ExchangeError> {
    let dials = (0..MAX_PARALLEL_DIALS).map(|n| {
        Box::pin(async move {
            sleep(PARALLEL_DIAL_DELAY * n).await;
            Connection::dial(addr, peer.clone(), READ_BUFFER_BYTES, None).await
        })
    });
    let first = async { select_all(dials).await.0 };
    let unreachable = |_| {
        let why = format!("no connection within {DIAL_TIMEOUT:?}");
        Err(ExchangeError::before_write(FailureCause::Unreachable(why)))
    };
    timeout(DIAL_TIMEOUT, first).await.unwrap_or_else(unreachable)
}

/// Makes a call, and makes it again on a new connection if the response may be a second one to the call before. Danger:
/// such a response would confirm the list as of when it came, though discovery made it earlier.
async fn confirmed_exchange(
    connection: &mut Connection,
    addr: SocketAddr,
    since: Option<u64>,
    wait: Micros,
) -> Result<NodeList, CallError> {
    let called_at = Instant::now();
    let list = exchange(connection, since, wait).await;
    // An older list than the one in hand is rejected by the caller.
    let differs = list.as_ref().is_ok_and(|list| since.is_some_and(|version| list.version != version));
    if differs || !connection.is_doubtful() {
        return list;
    }
    connection.reject(Doubt::NoNews, Stage::Written);
    *connection = dial(addr, connection.peer()).await.map_err(CallError::from_exchange)?;
    let elapsed = called_at.elapsed().as_micros() as Micros;
    exchange(connection, since, (wait - elapsed).max(0)).await
}

async fn exchange(
    connection: &mut Connection,
    since: Option<u64>,
    wait: Micros,
) -> Result<NodeList, CallError> {
    let progress = Progress::default();
    let invalid =
        |why| CallError { kind: Failure::Broken, error: progress.error(FailureCause::InvalidResponse(why)) };
    let query = since.map_or_else(String::new, |since| format!("?since={since}&timeout_ms={}", wait / 1_000));
    let path = format!("/registry/instances{query}");
    let mut request = Request::new(UpstreamBody::Empty);
    *request.uri_mut() = path.parse().map_err(|_| invalid(path))?;
    request.headers_mut().insert(HOST, HeaderValue::from_static("discovery"));
    let limits = BodyLimits { buffered: MAX_LIST_BYTES, total: MAX_LIST_BYTES, budget: None };
    let reply = connection.exchange(request, &limits, &progress).await.map_err(CallError::from_exchange)?;
    match reply.status {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            let refused = invalid(format!("status {}", reply.status));
            return Err(CallError { kind: Failure::Refused, ..refused });
        }
        status => return Err(invalid(format!("status {status}"))),
    }
    let ReceivedBody::Whole(body) = reply.body else {
        return Err(invalid("list was not received whole".into()));
    };
    serde_json::from_slice(&body).map_err(|error| invalid(error.to_string()))
}

#[cfg(test)]
mod tests;
