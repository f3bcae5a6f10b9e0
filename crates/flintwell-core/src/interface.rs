//! Types shared by the decision module and its host: ids, settings, attempt results and the host's callbacks.

use std::sync::Arc;

/// Microseconds: an instant on the host's clock, or a duration.
pub type Micros = i64;
pub type RequestId = Arc<str>;
pub type NodeId = Arc<str>;
pub type Key = Arc<str>;

/// Actions that the module requests. Each takes effect at the time passed to the call that caused it.
pub trait Host {
    /// Starts an attempt, which has to keep these limits.
    fn start_attempt(&mut self, request: &RequestId, node: &NodeId, limits: AttemptLimits);
    /// Final answer: the request was refused and may be retried safely. `retry_after` is a hint for the
    /// client, 0 for none.
    fn refuse_request(&mut self, request: &RequestId, retry_after: Micros);
    /// Final answer: the request may or may not have taken effect.
    fn fail_request(&mut self, request: &RequestId);
    /// Why the request is refused or failed by the call that follows; for logs.
    fn explain_end(&mut self, _request: &RequestId, _reason: EndReason) {}
    /// Closes the idle connections of this proxy to a node.
    fn close_idle(&mut self, node: &NodeId);
    /// Requests a call of the module's timer event with this label at or after `at`.
    fn set_timer(&mut self, label: u64, at: Micros);
    /// Subscribes to updates of the node list.
    fn subscribe_to_list(&mut self);
}

/// Why a request ends without having been served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Its tenant exceeds its quota.
    Quota,
    /// The caches are overloaded, and the origin has no room.
    Overload,
    /// No cache may take it.
    NoCache,
    /// No origin is listed.
    NoOrigin,
    /// The origin would not answer it in time.
    OriginBusy,
    /// The origin refuses too many requests to try again.
    OriginRefuses,
    /// The attempt at the origin failed.
    OriginFailed,
    /// No further attempt is allowed, or its time is too short for one.
    NoFurtherAttempt,
    /// It waited for its turn until its time was over.
    WaitExpired,
}

impl EndReason {
    /// The reason in words.
    pub fn as_str(self) -> &'static str {
        match self {
            EndReason::Quota => "its tenant exceeds its quota",
            EndReason::Overload => "the caches are overloaded and the origin has no room",
            EndReason::NoCache => "no cache may take it",
            EndReason::NoOrigin => "no origin is listed",
            EndReason::OriginBusy => "the origin would not answer it in time",
            EndReason::OriginRefuses => "the origin refuses too many requests",
            EndReason::OriginFailed => "the attempt at the origin failed",
            EndReason::NoFurtherAttempt => {
                "its attempts are used up, or its time is too short for another one"
            }
            EndReason::WaitExpired => "it waited until its time was over",
        }
    }
}

/// Time limits of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// The attempt times out this long after its start.
    pub timeout: Micros,
    /// When nodes stop to recognize it as a repeat: its last byte has to reach its node before. `None` if no earlier
    /// attempt may have run, or if the request may run again.
    pub send_by: Option<Micros>,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Safe,
    /// Repeats are deduplicated by the request's idempotency key, within a scope and for a limited time.
    Keyed,
    /// Must run at most once.
    Unsafe,
}

/// Cache nodes that share deduplication of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

/// Settings of a class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    pub idempotency: Idempotency,
    /// Nodes to which a keyed request may be repeated.
    pub dedup_scope: DedupScope,
    /// How long repeats of a keyed request are recognized.
    pub dedup_window: Micros,
    pub latency_target: Micros,
    /// The latency target grows by this many times the request's expected work.
    pub target_work_factor: f64,
    /// Fraction of the worth that remains after the latency target.
    pub late_worth: f64,
    /// Kinds of cache nodes that may serve the class; `None` allows all.
    pub kinds: Option<Vec<u32>>,
    /// Zones whose cache nodes may serve the class; `None` allows all.
    pub zones: Option<Vec<u32>>,
}

/// Meaning of the weights in the node list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMode {
    /// Weights carry no information.
    None,
    /// Weights are registered capacities, exact or approximate.
    Declared,
    /// Weights are registered capacities, reduced as a node holds more requests.
    Live,
}

/// Settings of one proxy.
#[derive(Clone, Debug)]
pub struct Settings {
    pub classes: Vec<Class>,
    /// Quota of each tenant over all proxies, in requests per second.
    pub tenant_quotas_rps: Vec<f64>,
    /// Cache-aside mode: a cache node reports a miss and the proxy fetches from the origin. Otherwise
    /// read-through: the cache node fetches.
    pub cache_aside: bool,
    /// Node kind of the origin.
    pub origin_kind: Option<u32>,
    /// Number of this proxy in the fleet.
    pub proxy_index: u32,
    /// Zone of this proxy.
    pub zone: u32,
    /// Number of zones.
    pub zone_count: u32,
    /// Cost of an attempt in another zone, in units of a request's worth.
    pub cross_zone_cost: f64,
    /// Number of proxies.
    pub fleet_size: u32,
    pub max_attempts: usize,
    /// Longest `retry_after` that clients follow; 0 if it does not reach them.
    pub max_retry_after: Micros,
    /// The list service answers only when asked.
    pub list_on_request: bool,
    /// Time limit for requesting the list from the list service.
    pub max_list_refresh_interval: Micros,
    pub weight_mode: WeightMode,
    /// Fraction of its capacity that a node has right after its start.
    pub start_capacity: f64,
    /// Time from a node's start to its full capacity.
    pub ramp_time: Micros,
    /// Largest error of a listed start time, in either direction.
    pub max_start_time_error: Micros,
    /// Cost of one open connection per cache node, in units of one new connection per request; 0 if open
    /// connections cost nothing.
    pub connection_cost: f64,
    /// How long a cold node withstands overload before it fails.
    pub cold_overload_window: Micros,
    /// Longest time from choosing a node to sending the first byte, including opening a connection.
    pub dial_timeout: Micros,
}

/// What an update of the node list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// Only the entries that changed.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list that this instance stored last; it may be outdated.
    Restored,
    /// A request for the list failed or the subscription broke; the previous list stays in use.
    Failed,
}

/// State of a node according to the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeState {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// One node in the list.
#[derive(Clone, Debug, Default)]
pub struct NodeEntry {
    pub node: NodeId,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub state: NodeState,
    /// Relative capacity.
    pub weight: f64,
    /// Time of the last start; 0 if it was long ago.
    pub started_at: Micros,
}

/// A request when it arrives at the proxy.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    pub id: RequestId,
    pub class: usize,
    pub tenant: usize,
    pub key: Option<Key>,
    pub deadline: Micros,
    /// Expected processing time on a standard core, if the client gave a hint.
    pub expected_work: Option<Micros>,
    pub is_write: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    Served,
    /// The node answered with an error.
    Error,
    /// The node refused the request because it is at capacity.
    Full,
    TimedOut,
    ConnectFailed,
    /// The connection was reset after the request was sent.
    Reset,
    Cancelled,
    NotSent,
    /// The cache node does not have the key.
    Miss,
    /// The response was invalid: the request may have run, and the response says nothing about load.
    InvalidResponse,
    /// A status code that this version does not know: the request may have run.
    Unknown,
}

impl AttemptStatus {
    /// A short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Error => "error",
            Self::Full => "full",
            Self::TimedOut => "timed_out",
            Self::ConnectFailed => "connect_failed",
            Self::Reset => "reset",
            Self::Cancelled => "cancelled",
            Self::NotSent => "not_sent",
            Self::Miss => "miss",
            Self::InvalidResponse => "invalid_response",
            Self::Unknown => "unknown",
        }
    }

    /// Whether the request certainly did not run at the node.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::NotSent | Self::Miss)
    }
}

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// Index of the attempt within its request.
    pub attempt_index: usize,
    pub status: AttemptStatus,
    /// Time from the start of the attempt to its end.
    pub latency: Micros,
    /// The request has its final answer, through this outcome or an earlier event.
    pub request_finished: bool,
    /// The request was the first on a newly opened connection, as far as the host knows.
    pub first_on_connection: bool,
}
