//! Calls of discovery as tasks of their own: the connection, and the exchange on it. A call whose time is up stays open, since
//! its answer may be on the way: whoever leaves a queue has cost discovery a call and has nothing.

use crate::clients::body::UpstreamBody;
use crate::nodes::link::{Broken, Came, Cause, Link, Most, Progress};
use crate::process::clock::Clock;
use flintwell_core::interface::Micros;
use flintwell_list_watch::Failure;
use flintwell_settings::listing::Listing;
use futures_util::future::select_all;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

const DIAL: Duration = Duration::from_secs(2); // for a connection to come up; a lost SYN is sent again after one second
const DIAL_AGAIN: Duration = Duration::from_millis(500); // until a further one is tried beside it
const DIALS: u32 = 3; // tried at the same time
const READY: Duration = Duration::from_millis(50); // for the last exchange on a connection to be over
const LIST_MOST: u64 = 4 << 20; // bytes; a list of ten thousand nodes
const OPEN_MOST: usize = 4; // calls that are open at the same time; each holds a descriptor of the process's own few

/// Which call of this process it is.
pub type CallNumber = u64;

/// Why a call failed, for the watch and in words.
#[derive(Debug)]
pub struct CallError {
    pub failure: Failure,
    pub broken: Broken,
}

impl CallError {
    fn of(broken: Broken) -> Self {
        let failure = match &broken.cause {
            Cause::LocalFault(_) | Cause::NoRoom => Failure::Local,
            Cause::Unreachable(_) => Failure::Unreachable,
            _ => Failure::Broken,
        };
        CallError { failure, broken }
    }

    pub fn silent(broken: Broken) -> Self {
        CallError { failure: Failure::Silent, broken }
    }

    pub fn garbage(words: String) -> Self {
        CallError { failure: Failure::Broken, broken: Broken::unwritten(Cause::Garbage(words)) }
    }
}

/// An answer, and the connection that it came on.
pub struct Answer {
    pub listing: Listing,
    pub link: Link,
    /// From when on its first byte was there to be read, by our clock.
    pub begun_at: Micros,
}

/// What has ended.
pub enum Ended {
    /// A connection is up, or could not be had.
    Connected(Result<Link, CallError>),
    Called(CallNumber, Result<Answer, CallError>),
}

/// The calls that are out.
pub struct Calls {
    clock: Clock,
    tasks: JoinSet<Ended>,
    open: VecDeque<(CallNumber, AbortHandle)>,
    next: CallNumber,
}

impl Calls {
    pub fn new(clock: Clock) -> Self {
        Calls { clock, tasks: JoinSet::new(), open: VecDeque::new(), next: 0 }
    }

    /// Has a connection to `addr` come up: the one left from before, if it still takes a call, or a new one.
    pub fn connect(&mut self, addr: SocketAddr, left: Option<Link>) {
        self.tasks.spawn_local(async move {
            // Danger: a connection that is neither ready nor closed would keep us from calling for good.
            let ready = match left {
                Some(link) => timeout(READY, link.ready()).await.ok().flatten(),
                None => None,
            };
            let connected = match ready {
                Some(link) => Ok(link),
                None => dial(addr).await,
            };
            Ended::Connected(connected.map_err(CallError::of))
        });
    }

    /// Calls on this connection for what is newer than `since`, which may wait so long; for the whole list without it.
    pub fn call(&mut self, mut link: Link, since: Option<u64>, wait: Micros) -> CallNumber {
        if self.open.len() >= OPEN_MOST
            && let Some((_, oldest)) = self.open.pop_front()
        {
            oldest.abort();
        }
        let (number, clock) = (self.next, self.clock);
        self.next += 1;
        let task = self.tasks.spawn_local(async move {
            let listing = exchange(&mut link, since, wait).await;
            let begun_at = link.answer_begun().map_or(clock.now(), |begun| clock.at(begun));
            Ended::Called(number, listing.map(|listing| Answer { listing, link, begun_at }))
        });
        self.open.push_back((number, task));
        number
    }

    /// The next that ends; waits for ever where nothing is out.
    pub async fn ended(&mut self) -> Ended {
        loop {
            match self.tasks.join_next().await {
                Some(Ok(ended)) => {
                    if let Ended::Called(number, _) = ended {
                        self.open.retain(|(open, _)| *open != number);
                    }
                    return ended;
                }
                // It was given up.
                Some(Err(error)) if error.is_cancelled() => {}
                Some(Err(error)) => {
                    let failed = CallError::garbage(format!("its reader failed: {error}"));
                    let last = self.open.pop_back();
                    return match last {
                        Some((number, _)) => Ended::Called(number, Err(failed)),
                        None => Ended::Connected(Err(failed)),
                    };
                }
                None => std::future::pending().await,
            }
        }
    }

    /// Gives up all that is out. Danger: what has ended already and was not asked for yet goes with it, or an answer of an
    /// old discovery would be taken for one of the new.
    pub fn give_up(&mut self) {
        self.tasks = JoinSet::new();
        self.open.clear();
    }
}

/// A new connection. Danger: one that is slow, or whose SYN is lost, would pass for a discovery that can't be reached, and its
/// list would be acted on for longer than it may; so others are tried beside it before that is said.
async fn dial(addr: SocketAddr) -> Result<Link, Broken> {
    let tries = (0..DIALS).map(|n| {
        Box::pin(async move {
            sleep(DIAL_AGAIN * n).await;
            Link::dial(addr, None).await
        })
    });
    let first = async { select_all(tries).await.0 };
    let nothing_came = |_| Err(Broken::unwritten(Cause::Unreachable("nothing came in time".into())));
    timeout(DIAL, first).await.unwrap_or_else(nothing_came)
}

async fn exchange(link: &mut Link, since: Option<u64>, wait: Micros) -> Result<Listing, CallError> {
    let progress = Progress::default();
    let garbage =
        |words| CallError { failure: Failure::Broken, broken: progress.broken(Cause::Garbage(words)) };
    let query = since.map_or_else(String::new, |since| format!("?since={since}&timeout_ms={}", wait / 1_000));
    let path = format!("/registry/instances{query}");
    let mut request = Request::new(UpstreamBody::Empty);
    *request.uri_mut() = path.parse().map_err(|_| garbage(path))?;
    request.headers_mut().insert(HOST, HeaderValue::from_static("discovery"));
    let most = Most { collected: LIST_MOST, long: LIST_MOST };
    let reply = link.exchange(request, most, &progress).await.map_err(CallError::of)?;
    match reply.status {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            let refused = garbage(format!("status {}", reply.status));
            return Err(CallError { failure: Failure::Refused, ..refused });
        }
        status => return Err(garbage(format!("status {status}"))),
    }
    let Came::Whole(body) = reply.body else { return Err(garbage("a list without end".into())) };
    serde_json::from_slice(&body).map_err(|error| garbage(error.to_string()))
}

#[cfg(test)]
mod tests;
