//! Connections to nodes: who is where, what is open and idle, and room for more.

use crate::nodes::link::{Broken, Cause, Link};
use crate::process::clock::to_duration;
use flintwell_core::interface::{Micros, NodeId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::timeout;

const IDLE_SHARE: f64 = 0.85; // of the node's limit; else requests are written to closed ones
const IDLE_LEAST: Duration = Duration::from_millis(20); // idle for less, a reset says nothing of idleness
const IDLE_REACH: u32 = 4; // times its idle time that a connection used tells of
const IDLE_FALL: f64 = 0.7; // factor on the limit at a reset; with the next, it falls from one in five on
const IDLE_RISE: f64 = 1.1; // factor at an answer on a connection that stood idle for some of the limit
const ROOM_WITHIN: Duration = Duration::from_millis(20); // for a closed connection to end, or an attempt to
const SWEEP: Duration = Duration::from_millis(250); // between looks at idle connections; fine beside a spare's time
const SWEEPS: u32 = 10; // looks at least while an idle one is kept, so that they come within the margin
const SPARE_IDLE: Duration = Duration::from_secs(1); // for one more than one; past a burst's next requests

struct Place {
    addr: SocketAddr,
    started_ms: f64,
    ready: bool,
    /// The one used last at the end.
    idle: Vec<Link>,
}

pub struct Pool {
    nodes: RefCell<HashMap<NodeId, Place>>,
    room: Arc<Semaphore>,
    pub dial_within: Duration,
    idle_most: Duration,
    /// How long a connection may stand idle, as far as the nodes let us see.
    idle_limit: Cell<Duration>,
}

impl Pool {
    pub fn new(connections: usize, dial_within: Micros, idle_most: Micros) -> Rc<Self> {
        let idle_most = to_duration(idle_most).mul_f64(IDLE_SHARE);
        Rc::new(Pool {
            nodes: RefCell::default(),
            room: Arc::new(Semaphore::new(connections)),
            dial_within: to_duration(dial_within),
            idle_most,
            idle_limit: Cell::new(idle_most),
        })
    }

    /// The room for connections.
    pub fn room(&self) -> Arc<Semaphore> {
        self.room.clone()
    }

    /// As the list has it. A node that moved or started anew has closed what we hold open.
    pub fn place(&self, node: &NodeId, addr: SocketAddr, started_ms: f64, ready: bool) {
        let mut nodes = self.nodes.borrow_mut();
        let place = nodes.entry(node.clone()).or_insert(Place { addr, started_ms, ready, idle: Vec::new() });
        if (place.addr, place.started_ms) != (addr, started_ms) {
            place.idle.clear();
        }
        (place.addr, place.started_ms, place.ready) = (addr, started_ms, ready);
    }

    pub fn forget(&self, node: &NodeId) {
        self.nodes.borrow_mut().remove(node);
    }

    /// After a whole list: what it lacks is gone.
    pub fn forget_missing(&self, listed: impl Fn(&NodeId) -> bool) {
        self.nodes.borrow_mut().retain(|node, _| listed(node));
    }

    pub fn close_idle(&self, node: &NodeId) {
        if let Some(place) = self.nodes.borrow_mut().get_mut(node) {
            place.idle.clear();
        }
    }

    /// An open connection that was idle, the one used last first.
    pub fn idle(&self, node: &NodeId) -> Option<Link> {
        let mut nodes = self.nodes.borrow_mut();
        let place = nodes.get_mut(node)?;
        while let Some(link) = place.idle.pop() {
            if self.fresh(&link) {
                return Some(link);
            }
        }
        None
    }

    fn fresh(&self, link: &Link) -> bool {
        !link.closed() && link.idle_since.elapsed() < self.idle_limit.get()
    }

    /// What became of an exchange on a connection that had been idle. Danger: nodes, or what stands between,
    /// that drop idle connections sooner than agreed break off every request written to one.
    pub fn used_after(&self, idle: Duration, reset: bool) {
        let (reach, limit) = (idle * IDLE_REACH, self.idle_limit.get());
        let limit = match reset {
            _ if idle < IDLE_LEAST => return,
            true => limit.min(reach).mul_f64(IDLE_FALL).max(IDLE_LEAST),
            false if reach > limit => limit.mul_f64(IDLE_RISE).min(self.idle_most),
            false => return,
        };
        self.idle_limit.set(limit);
    }

    pub async fn dial(&self, node: &NodeId) -> Result<Link, Broken> {
        let addr = self.listed(node)?;
        if self.room.available_permits() == 0 {
            self.close_oldest();
        }
        // Danger: a node that we have no room for would pass for one that can't be reached.
        let room = timeout(ROOM_WITHIN, self.room.clone().acquire_owned());
        let permit = room.await.map_err(|_| Broken::unwritten(Cause::NoRoom))?.ok();
        let dialled = timeout(self.dial_within, Link::dial(addr, permit));
        let link = dialled.await.unwrap_or(Err(Broken::unwritten(Cause::TimedOut)))?;
        // Danger: a node that began to drain while its connection came up would get a request past the grace.
        if self.listed(node)? == addr { Ok(link) } else { Err(Broken::unwritten(Cause::Unlisted)) }
    }

    /// Where it is, as long as it is listed as ready.
    pub fn listed(&self, node: &NodeId) -> Result<SocketAddr, Broken> {
        let nodes = self.nodes.borrow();
        let ready = nodes.get(node).filter(|place| place.ready);
        ready.map(|place| place.addr).ok_or(Broken::unwritten(Cause::Unlisted))
    }

    /// Takes back a connection whose exchange is done.
    pub fn give_back(&self, node: &NodeId, link: Link) {
        if let Some(place) = self.nodes.borrow_mut().get_mut(node) {
            place.idle.push(link);
        }
    }

    /// Danger: idle connections to some nodes hold all the room there is.
    fn close_oldest(&self) {
        let mut nodes = self.nodes.borrow_mut();
        let oldest = nodes.values_mut().filter(|p| !p.idle.is_empty()).min_by_key(|p| p.idle[0].idle_since);
        if let Some(place) = oldest {
            place.idle.remove(0);
        }
    }

    /// Closes what has been idle for too long, before the node does.
    pub async fn sweep(&self) {
        loop {
            tokio::time::sleep(SWEEP.min(self.idle_most / SWEEPS)).await;
            self.nodes.borrow_mut().values_mut().for_each(|place| self.trim(&mut place.idle));
        }
    }

    /// Danger: what a hundred proxies opened for a burst and keep fills a node's table, and one that comes with
    /// nothing open is refused though the node is idle. One is kept as long as may be, the others while in use.
    fn trim(&self, idle: &mut Vec<Link>) {
        let spares = idle.len().saturating_sub(1);
        let spare = idle.iter().take(spares).filter(|link| link.idle_since.elapsed() >= SPARE_IDLE).count();
        idle.drain(..spare);
        idle.retain(|link| self.fresh(link));
    }
}

#[cfg(test)]
mod tests;
