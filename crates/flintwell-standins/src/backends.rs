//! What the stand-ins share: the nodes as they are, what each took, and what discovery tells of them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// What a node is made of; times in ms.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSpec {
    pub id: String,
    #[serde(default)]
    pub zone: String,
    pub kind: String,
    #[serde(default)]
    pub cell: u32,
    /// How many requests it works on at once, how many wait, and how long each takes.
    pub workers: usize,
    pub queue: usize,
    pub time_ms: f64,
    /// Open connections; a further one is closed at once.
    pub connections: usize,
    /// The share of its workers that it has just after a start, and for how long that grows to all.
    pub cold_share: f64,
    pub ramp_s: f64,
}

/// What is wrong with a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    #[default]
    None,
    /// Takes all and says nothing.
    Silent,
    /// Closes every connection at once.
    Refuses,
    /// Answers after so many times its time.
    Slow(f64),
    /// This share of its answers are errors.
    Errors(f64),
    /// Turns all away as full.
    Full,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    Ready,
    Draining,
    Gone,
}

impl NodeState {
    pub fn as_str(self) -> &'static str {
        match self {
            NodeState::Ready => "ready",
            NodeState::Draining => "draining",
            NodeState::Gone => "gone",
        }
    }
}

/// What a node did with a request that reached it whole.
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

/// One request at one node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeRequest {
    /// Since the world's start, when its last byte had come.
    pub at_ms: f64,
    pub node: String,
    pub id: String,
    pub key: String,
    #[serde(rename = "mark")]
    pub idempotency_key: String,
    pub write: bool,
    #[serde(rename = "did")]
    pub disposition: Disposition,
    /// The share of its workers that the node had then.
    pub warmth: f64,
}

/// What discovery told of a node, and since when.
#[derive(Clone, Debug)]
pub struct ListChange {
    pub at_ms: f64,
    /// Of the list that tells it.
    pub version: u64,
    pub node: String,
    pub state: NodeState,
}

/// A call of a proxy at discovery.
#[derive(Clone, Debug)]
pub struct DiscoveryCall {
    pub proxy: String,
    pub at_ms: f64,
    pub wait_ms: f64,
    /// When the answer was written, and the version that it told.
    pub answered: Option<(f64, u64)>,
}

pub(crate) struct Node {
    pub made: NodeSpec,
    pub addr: SocketAddr,
    pub fault: Fault,
    pub state: NodeState,
    pub started: Option<Instant>,
    pub started_ms: u64,
    pub values: HashMap<String, Bytes>,
    pub busy: usize,
    pub open: usize,
    /// Raised at a restart, so that what is open ends.
    pub life: watch::Sender<u64>,
}

impl Node {
    pub fn warmth(&self) -> f64 {
        let since = self.started.map_or(f64::MAX, |started| started.elapsed().as_secs_f64());
        let grown = if self.made.ramp_s > 0.0 { (since / self.made.ramp_s).min(1.0) } else { 1.0 };
        self.made.cold_share + (1.0 - self.made.cold_share) * grown
    }
}

#[derive(Default)]
pub(crate) struct Inner {
    pub nodes: Vec<Node>,
    pub took: Vec<NodeRequest>,
    pub changes: Vec<ListChange>,
    pub calls: Vec<DiscoveryCall>,
    /// How long discovery takes for a call, one after another.
    pub call_time: Duration,
    /// Where discovery has too many callers: only new connections cost it, and a call that would wait for longer is refused.
    pub queue_most: Option<Duration>,
    /// Until when discovery works on calls that it has let in, where that is bounded.
    pub busy_until: Option<Instant>,
    /// The caches that missed for a request, by its id, until the origin answers it.
    pub missed: HashMap<String, Vec<usize>>,
}

/// Everything the stand-ins know; a handle to it.
#[derive(Clone)]
pub struct Backends {
    pub(crate) began: Instant,
    pub(crate) inner: Arc<Mutex<Inner>>,
    /// The list's version.
    pub(crate) version: Arc<watch::Sender<u64>>,
    /// Discovery's turn.
    pub(crate) turn: Arc<tokio::sync::Mutex<()>>,
}

impl Default for Backends {
    fn default() -> Self {
        Backends::new()
    }
}

impl Backends {
    pub fn new() -> Self {
        Backends {
            began: Instant::now(),
            inner: Arc::default(),
            version: Arc::new(watch::channel(1).0),
            turn: Arc::default(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        // A stand-in that panicked leaves counts and lists that can still be read.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn now_ms(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    /// When that was, by the same count.
    pub fn to_ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64() * 1e3
    }

    /// The instant from which all times of the world count.
    pub fn started_at(&self) -> Instant {
        self.began
    }

    fn node(&self, id: &str, change: impl FnOnce(&mut Node)) -> bool {
        let mut inner = self.lock();
        inner.nodes.iter_mut().find(|node| node.made.id == id).map(change).is_some()
    }

    /// Whether there is such a node.
    pub fn set_fault(&self, id: &str, fault: Fault) -> bool {
        self.node(id, |node| node.fault = fault)
    }

    /// Discovery tells this of it from now on.
    pub fn set_list_state(&self, id: &str, state: NodeState) -> bool {
        let known = self.node(id, |node| node.state = state);
        let version = *self.version.borrow() + 1;
        let change = ListChange { at_ms: self.now_ms(), version, node: id.into(), state };
        self.lock().changes.push(change);
        self.version.send_replace(version);
        known
    }

    /// It ends and is there again, empty and cold; the list tells its start.
    pub fn restart_node(&self, id: &str) -> bool {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let known = self.node(id, |node| {
            node.values.clear();
            (node.started, node.started_ms) = (Some(Instant::now()), since.as_millis() as u64);
            node.busy = 0;
            node.life.send_modify(|life| *life += 1);
        });
        self.set_list_state(id, NodeState::Ready) && known
    }

    pub fn node_requests(&self) -> Vec<NodeRequest> {
        self.lock().took.clone()
    }

    pub fn list_changes(&self) -> Vec<ListChange> {
        self.lock().changes.clone()
    }

    /// Calls at discovery, of all proxies.
    pub fn discovery_calls(&self) -> Vec<DiscoveryCall> {
        self.lock().calls.clone()
    }

    /// Discovery takes so long for a call from now on, and works through calls in turn.
    pub fn set_call_time(&self, each: Duration) {
        self.lock().call_time = each;
    }

    /// Discovery takes so long for each new connection's first call from now on, and refuses at once what would wait for
    /// longer than `longest`; calls that go on with a watch cost it nothing.
    pub fn limit_call_queue(&self, each: Duration, longest: Duration) {
        let mut inner = self.lock();
        (inner.call_time, inner.queue_most) = (each, Some(longest));
    }

    /// How long a call made now waits for its turn where the queue is bounded; none if it is refused.
    pub(crate) fn reserve_call_slot(&self, fresh: bool) -> Option<Duration> {
        let mut inner = self.lock();
        let Some(longest) = inner.queue_most.filter(|_| fresh) else { return Some(Duration::ZERO) };
        let now = Instant::now();
        let ends = inner.busy_until.map_or(now, |busy| busy.max(now)) + inner.call_time;
        let wait = ends - now;
        if wait > longest {
            return None;
        }
        inner.busy_until = Some(ends);
        Some(wait)
    }

    /// Ids, zones and kinds, as they were made.
    pub fn node_specs(&self) -> Vec<NodeSpec> {
        self.lock().nodes.iter().map(|node| node.made.clone()).collect()
    }

    pub fn addr(&self, id: &str) -> Option<SocketAddr> {
        self.lock().nodes.iter().find(|node| node.made.id == id).map(|node| node.addr)
    }
}
