//! Types between the decision module and whoever hosts it: ids, settings, outcomes and the host's calls.

use std::sync::Arc;

/// Whole microseconds: an instant on the host's clock, or a span.
pub type Micros = i64;
pub type AccessId = Arc<str>;
pub type NodeId = Arc<str>;
pub type Key = Arc<str>;

/// What the module may do. Each call takes effect at the instant the module was told of.
pub trait Host {
    /// Starts a hand-off; `allow_for` is its time-out.
    fn hand_off(&mut self, access: &AccessId, node: &NodeId, allow_for: Micros);
    /// Final answer: turned away, trying again is harmless; `stay_away` is advice, 0 for none.
    fn turn_back(&mut self, access: &AccessId, stay_away: Micros);
    /// Final answer: nothing is promised about the effect.
    fn break_off(&mut self, access: &AccessId);
    /// Closes our idle connections to a node.
    fn close_idle(&mut self, node: &NodeId);
    /// Asks for a call of `timer` with this label at or after `at`.
    fn wake_at(&mut self, label: u64, at: Micros);
    /// Subscribes to changes of the list.
    fn watch_list(&mut self);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Replayable,
    Referenced,
    SingleUse,
}

/// Which cache nodes drop repeats of a referenced access.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct UseCase {
    pub effect: Effect,
    pub group: Group,
    pub memory: Micros,
    pub goal_time: Micros,
    /// The goal time grows by this many times the access's own work.
    pub goal_stretch: f64,
    /// Share of the earnings still paid after the goal time.
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
    /// The registered ones, lowered the more accesses a node holds.
    Live,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub use_cases: Vec<UseCase>,
    /// Accesses a second within each tenant's share, over all proxies.
    pub quotas: Vec<f64>,
    /// True where a cache node that lacks a key says so and the proxy asks the origin.
    pub aside: bool,
    pub origin_kind: Option<u32>,
    pub index: u32,
    /// Where this proxy is.
    pub zone: u32,
    pub zones: u32,
    /// What a hand-off to another zone costs, in earnings of an access.
    pub cross_price: f64,
    pub fleet_size: u32,
    pub max_hand_offs: usize,
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
    /// What an open connection a cache node costs, in new connections an access; 0 where they cost nothing.
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

/// An access as it arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: AccessId,
    pub use_case: usize,
    pub tenant: usize,
    pub key: Option<Key>,
    pub outer_limit: Micros,
    /// Expected work on a standard core, where hinted.
    pub work: Option<Micros>,
    pub write: bool,
}

/// How a hand-off ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Honoured,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    CalledOff,
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
    /// The access is over, by this outcome or before it.
    pub settled: bool,
    /// It was the first on a connection opened for it, as far as the host can tell.
    pub first: bool,
}
