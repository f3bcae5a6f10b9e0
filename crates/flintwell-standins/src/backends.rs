//! State shared by the stand-ins: the nodes, the requests each one received, and the node list that discovery publishes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Capacity and placement of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSpec {
    pub id: String,
    #[serde(default)]
    pub zone: String,
    pub kind: String,
    #[serde(default)]
    pub cell: u32,
    /// Requests processed concurrently.
    pub workers: usize,
    /// Requests that may wait for a worker.
    pub queue: usize,
    /// Processing time of a request.
    pub time_ms: f64,
    /// Limit of open connections; a further connection is closed immediately.
    pub connections: usize,
    /// Share of the workers available immediately after a start.
    pub cold_share: f64,
    /// Time over which the available share grows to all workers.
    pub ramp_s: f64,
}

/// Fault injected into a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    #[default]
    None,
    /// Accepts requests and never responds.
    Silent,
    /// Closes every new connection immediately.
    Refuses,
    /// Multiplies the processing time by this factor.
    Slow(f64),
    /// Responds to this share of requests with an error.
    Errors(f64),
    /// Rejects every request as overloaded.
    Full,
}

/// State of a node in the list of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    Ready,
    Draining,
    Gone,
}

impl NodeState {
    /// The name of the state in the node list.
    pub fn as_str(self) -> &'static str {
        match self {
            NodeState::Ready => "ready",
            NodeState::Draining => "draining",
            NodeState::Gone => "gone",
        }
    }
}

/// What a node did with a request that it received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Disposition {
    #[serde(rename = "honoured")]
    Served,
    Missed,
    TurnedAway,
    Error,
    Nothing,
}

/// A request received by a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeRequest {
    /// When the node decided the outcome, in ms since the start of the backends.
    pub at_ms: f64,
    pub node: String,
    pub id: String,
    pub key: String,
    #[serde(rename = "mark")]
    pub idempotency_key: String,
    pub write: bool,
    #[serde(rename = "did")]
    pub disposition: Disposition,
    /// Share of the node's workers that were available then.
    pub warmth: f64,
}

/// A change of a node's state in the node list.
#[derive(Clone, Debug)]
pub struct ListChange {
    pub at_ms: f64,
    /// Version of the first list that contains the change.
    pub version: u64,
    pub node: String,
    pub state: NodeState,
}

/// A call from a proxy to discovery.
#[derive(Clone, Debug)]
pub struct DiscoveryCall {
    pub proxy: String,
    pub at_ms: f64,
    /// The long-poll time-out requested by the call.
    pub wait_ms: f64,
    /// When the response was produced, and the list version in it; version 0 for a refused call.
    pub answered: Option<(f64, u64)>,
}

pub(crate) struct Node {
    pub spec: NodeSpec,
    pub addr: SocketAddr,
    pub fault: Fault,
    pub state: NodeState,
    pub started: Option<Instant>,
    pub started_ms: u64,
    pub values: HashMap<String, Bytes>,
    pub active_requests: usize,
    pub open_connections: usize,
    /// Incremented by a restart, which closes the open connections.
    pub generation: watch::Sender<u64>,
}

impl Node {
    /// The share of the workers that is available now.
    pub fn warmth(&self) -> f64 {
        let since = self.started.map_or(f64::MAX, |started| started.elapsed().as_secs_f64());
        let grown = if self.spec.ramp_s > 0.0 { (since / self.spec.ramp_s).min(1.0) } else { 1.0 };
        self.spec.cold_share + (1.0 - self.spec.cold_share) * grown
    }
}

#[derive(Default)]
pub(crate) struct Inner {
    pub nodes: Vec<Node>,
    pub requests: Vec<NodeRequest>,
    pub list_changes: Vec<ListChange>,
    pub calls: Vec<DiscoveryCall>,
    /// Processing time of a discovery call; calls are processed one at a time.
    pub call_time: Duration,
    /// Models an overloaded discovery when set: only the first call of a connection takes processing time, and a call that
    /// would wait for longer than this is refused.
    pub max_call_queue_wait: Option<Duration>,
    /// When the last call admitted to the bounded queue completes.
    pub call_queue_busy_until: Option<Instant>,
    /// Indexes of the caches that missed for a request, by request id, until the origin responds to it.
    pub missed_caches: HashMap<String, Vec<usize>>,
}

/// Handle to the shared state of all stand-ins.
#[derive(Clone)]
pub struct Backends {
    pub(crate) started_at: Instant,
    pub(crate) inner: Arc<Mutex<Inner>>,
    /// Version of the node list.
    pub(crate) version: Arc<watch::Sender<u64>>,
    /// Serializes the processing of discovery calls.
    pub(crate) call_mutex: Arc<tokio::sync::Mutex<()>>,
}

impl Default for Backends {
    fn default() -> Self {
        Backends::new()
    }
}

impl Backends {
    /// Creates backends without nodes.
    pub fn new() -> Self {
        Backends {
            started_at: Instant::now(),
            inner: Arc::default(),
            version: Arc::new(watch::channel(1).0),
            call_mutex: Arc::default(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        // The records stay readable after a panic of a stand-in.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1e3
    }

    /// Converts an instant to milliseconds since the start.
    pub fn to_ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64() * 1e3
    }

    /// The instant that all recorded times are relative to.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Updates a node; returns whether it exists.
    fn update_node(&self, id: &str, update: impl FnOnce(&mut Node)) -> bool {
        let mut inner = self.lock();
        inner.nodes.iter_mut().find(|node| node.spec.id == id).map(update).is_some()
    }

    /// Injects a fault into a node; returns whether the node exists.
    pub fn set_fault(&self, id: &str, fault: Fault) -> bool {
        self.update_node(id, |node| node.fault = fault)
    }

    /// Publishes a new list with this state of the node; returns whether the node exists.
    pub fn set_list_state(&self, id: &str, state: NodeState) -> bool {
        let known = self.update_node(id, |node| node.state = state);
        let version = *self.version.borrow() + 1;
        let change = ListChange { at_ms: self.now_ms(), version, node: id.into(), state };
        self.lock().list_changes.push(change);
        self.version.send_replace(version);
        known
    }

    /// Restarts a node empty and cold, and lists it as ready with its new start time; returns whether the node exists.
    pub fn restart_node(&self, id: &str) -> bool {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let known = self.update_node(id, |node| {
            node.values.clear();
            (node.started, node.started_ms) = (Some(Instant::now()), since.as_millis() as u64);
            node.active_requests = 0;
            node.generation.send_modify(|generation| *generation += 1);
        });
        self.set_list_state(id, NodeState::Ready) && known
    }

    /// The requests that the nodes received.
    pub fn node_requests(&self) -> Vec<NodeRequest> {
        self.lock().requests.clone()
    }

    /// The changes of the node list.
    pub fn list_changes(&self) -> Vec<ListChange> {
        self.lock().list_changes.clone()
    }

    /// The calls of all proxies to discovery.
    pub fn discovery_calls(&self) -> Vec<DiscoveryCall> {
        self.lock().calls.clone()
    }

    /// Sets the processing time of a discovery call; calls are processed one at a time.
    pub fn set_call_time(&self, call_time: Duration) {
        self.lock().call_time = call_time;
    }

    /// Models an overloaded discovery: the first call of each connection takes `call_time`, and a call that would wait for
    /// longer than `max_wait` is refused immediately. Further calls of a connection take no time.
    pub fn limit_call_queue(&self, call_time: Duration, max_wait: Duration) {
        let mut inner = self.lock();
        (inner.call_time, inner.max_call_queue_wait) = (call_time, Some(max_wait));
    }

    /// Admits a call to the bounded queue and returns its waiting time; none if the call is refused.
    pub(crate) fn reserve_call_slot(&self, first_on_connection: bool) -> Option<Duration> {
        let mut inner = self.lock();
        let Some(max_wait) = inner.max_call_queue_wait.filter(|_| first_on_connection) else {
            return Some(Duration::ZERO);
        };
        let now = Instant::now();
        let ends = inner.call_queue_busy_until.map_or(now, |busy| busy.max(now)) + inner.call_time;
        let wait = ends - now;
        if wait > max_wait {
            return None;
        }
        inner.call_queue_busy_until = Some(ends);
        Some(wait)
    }

    /// The specifications of all nodes.
    pub fn node_specs(&self) -> Vec<NodeSpec> {
        self.lock().nodes.iter().map(|node| node.spec.clone()).collect()
    }

    /// The address of a node.
    pub fn addr(&self, id: &str) -> Option<SocketAddr> {
        self.lock().nodes.iter().find(|node| node.spec.id == id).map(|node| node.addr)
    }
}
