//! Types between the decision module and whoever hosts it: ids, settings, outcomes and the host's calls.

use std::sync::Arc;

/// Whole microseconds: an instant on the host's clock, or a span.
pub type Micros = i64;
pub type RequestId = Arc<str>;
pub type NodeId = Arc<str>;
pub type Key = Arc<str>;

/// What the module may do. Each call takes effect at the instant the module was told of.
pub trait Host {
    /// Starts an attempt; `allow_for` is its time-out.
    fn attempt(&mut self, request: &RequestId, node: &NodeId, allow_for: Micros);
    /// Final answer: turned away, trying again is harmless; `stay_away` is advice, 0 for none.
    fn refuse(&mut self, request: &RequestId, stay_away: Micros);
    /// Final answer: nothing is promised about the effect.
    fn fail(&mut self, request: &RequestId);
    /// Closes our idle connections to a node.
    fn close_idle(&mut self, node: &NodeId);
    /// Asks for a call of `timer` with this label at or after `at`.
    fn wake_at(&mut self, label: u64, at: Micros);
    /// Subscribes to changes of the list.
    fn watch_list(&mut self);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

/// Which cache nodes drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct Class {
    pub effect: Effect,
    pub group: Group,
    pub memory: Micros,
    pub latency_target: Micros,
    /// The latency target grows by this many times the request's own work.
    pub target_stretch: f64,
    /// Share of the worth still paid after the latency target.
    pub late_share: f64,
    /// The kinds and the zones of cache nodes that it may be sent to; all where not given.
    pub kinds: Option<Vec<u32>>,
    pub zones: Option<Vec<u32>>,
}

/// What the list's sizes stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sizes {
    /// Nothing.
    None,
    /// The registered ones, exact or rough.
    Declared,
    /// The registered ones, lowered the more requests a node holds.
    Live,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub classes: Vec<Class>,
    /// Requests a second within each tenant's share, over all proxies.
    pub quotas: Vec<f64>,
    /// True where a cache node that lacks a key says so and the proxy asks the origin.
    pub aside: bool,
    pub origin_kind: Option<u32>,
    pub index: u32,
    /// Where this proxy is.
    pub zone: u32,
    pub zones: u32,
    /// What an attempt to another zone costs, in worth of a request.
    pub cross_price: f64,
    pub fleet_size: u32,
    pub max_attempts: usize,
    /// Longest advice to stay away that clients heed; 0 where advice does not reach them.
    pub max_stay_away: Micros,
    /// True where the list answers only when asked.
    pub list_on_request: bool,
    pub ask_within: Micros,
    pub sizes: Sizes,
    pub start_capacity: f64,
    pub ramp_time: Micros,
    /// The most by which a listed start may be off, either way.
    pub start_drift: Micros,
    /// What an open connection a cache node costs, in new connections a request; 0 where they cost nothing.
    pub connection_price: f64,
    /// How long a cold node can be pushed before it falls.
    pub fall: Micros,
    /// From the choice of a node until its first byte, at most: a connection may have to come up.
    pub dial_within: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    Whole,
    /// The whole list as this instance last had it, maybe old.
    Kept,
    /// A call failed or the subscription broke; the old list stands.
    Failed,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    #[default]
    Gone,
}

#[derive(Clone, Debug, Default)]
pub struct Entry {
    pub node: NodeId,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub standing: Standing,
    pub size: f64,
    /// Its last start; 0 for long ago.
    pub started_at: Micros,
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: RequestId,
    pub class: usize,
    pub tenant: usize,
    pub key: Option<Key>,
    pub deadline: Micros,
    /// Expected work on a standard core, where hinted.
    pub work: Option<Micros>,
    pub write: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Served,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NotSent,
    Miss,
    /// An answer came that makes no sense: it may have run, and nothing is learned of load.
    Spoilt,
    /// A code this version does not know: it may have run.
    Unknown,
}

impl Ending {
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::NotSent | Self::Miss)
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub number: usize,
    pub ending: Ending,
    pub wait: Micros,
    /// The request is over, by this outcome or before it.
    pub settled: bool,
    /// It was the first on a connection opened for it, as far as the host can tell.
    pub first: bool,
}
