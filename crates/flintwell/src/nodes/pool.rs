//! Connection pool: the address of each node, its idle connections, and the limit on open connections.

use crate::nodes::connection::Connection;
use crate::nodes::exchange_error::{ExchangeError, FailureCause};
use crate::nodes::rest_policy::Rest;
use crate::nodes::reuse::{Peer, ReuseMonitor, Unusable};
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

// Share of the nodes' keep-alive time. Closer to it, requests are written to connections that a node has just
// closed.
const MAX_IDLE_FACTOR: f64 = 0.85;
// After less idle time, a reset is not due to idleness.
const MIN_IDLE_LIMIT: Duration = Duration::from_millis(20);
// An exchange after idle time t is evidence about idle limits up to this many times t.
const IDLE_EVIDENCE_FACTOR: u32 = 4;
// Applied to the limit at a reset. Together with the increase, the limit falls from one reset in five
// exchanges on.
const IDLE_LIMIT_DECREASE: f64 = 0.7;
// Applied at a response on a connection that had been idle for a good part of the limit.
const IDLE_LIMIT_INCREASE: f64 = 1.1;
// Applied at each new connection while the limit is shorter than the rest, so that reuse is tried again.
const IDLE_LIMIT_RECOVERY: f64 = 1.02;
const PERMIT_TIMEOUT: Duration = Duration::from_millis(20); // for a closed connection, or an attempt, to end
const MAX_SWEEP_INTERVAL: Duration = Duration::from_millis(250); // short compared with SPARE_IDLE_TIMEOUT
// Sweeps within the maximum idle time, so that connections are closed within the margin of MAX_IDLE_FACTOR.
const MIN_SWEEPS_PER_IDLE_TIME: u32 = 10;
// For connections beyond the first to a node; long enough for the next requests of a burst.
const SPARE_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// A listed node with its idle connections.
struct PooledNode {
    addr: SocketAddr,
    started_ms: f64,
    is_ready: bool,
    /// Changes with the address and the start time, so that it tells the process that a connection leads to.
    generation: u64,
    /// In order of last use, the most recent at the end.
    idle: Vec<Connection>,
}

/// Connections to all listed nodes.
pub struct Pool {
    nodes: RefCell<HashMap<NodeId, PooledNode>>,
    next_generation: Cell<u64>,
    permits: Arc<Semaphore>,
    pub dial_timeout: Duration,
    /// Largest read buffer of a connection.
    max_read_buffer_bytes: usize,
    /// The nodes' keep-alive time less a margin.
    max_idle: Duration,
    /// How long a connection may stay idle before reuse, adapted to the resets that are seen.
    idle_limit: Cell<Duration>,
    pub monitor: Rc<ReuseMonitor>,
}

impl Pool {
    pub fn new(
        connections: usize,
        max_read_buffer_bytes: usize,
        dial_timeout: Micros,
        keepalive: Micros,
        monitor: Rc<ReuseMonitor>,
    ) -> Rc<Self> {
        let max_idle = to_duration(keepalive).mul_f64(MAX_IDLE_FACTOR);
        Rc::new(Pool {
            nodes: RefCell::default(),
            next_generation: Cell::new(0),
            permits: Arc::new(Semaphore::new(connections)),
            dial_timeout: to_duration(dial_timeout),
            max_read_buffer_bytes,
            max_idle,
            idle_limit: Cell::new(max_idle),
            monitor,
        })
    }

    /// The permits for open connections.
    pub fn connection_permits(&self) -> Arc<Semaphore> {
        self.permits.clone()
    }

    /// Adds or updates a node. If its address or start time changed, the node has closed our idle
    /// connections.
    pub fn upsert(&self, node: &NodeId, addr: SocketAddr, started_ms: f64, is_ready: bool) {
        let mut nodes = self.nodes.borrow_mut();
        let entry = nodes.entry(node.clone()).or_insert_with(|| PooledNode {
            addr,
            started_ms,
            is_ready,
            generation: self.new_generation(),
            idle: Vec::new(),
        });
        if (entry.addr, entry.started_ms) != (addr, started_ms) {
            entry.idle.clear();
            entry.generation = self.new_generation();
        }
        (entry.addr, entry.started_ms, entry.is_ready) = (addr, started_ms, is_ready);
    }

    fn new_generation(&self) -> u64 {
        self.next_generation.replace(self.next_generation.get() + 1)
    }

    /// Removes a node and closes its idle connections.
    pub fn remove(&self, node: &NodeId) {
        self.nodes.borrow_mut().remove(node);
    }

    /// Removes all nodes that a complete list does not contain.
    pub fn retain_listed(&self, is_listed: impl Fn(&NodeId) -> bool) {
        self.nodes.borrow_mut().retain(|node, _| is_listed(node));
    }

    /// Closes the idle connections to a node.
    pub fn close_idle(&self, node: &NodeId) {
        if let Some(entry) = self.nodes.borrow_mut().get_mut(node) {
            entry.idle.clear();
        }
    }

    /// Takes an idle connection out of the pool, with the time until it may be used. None if another one is to be
    /// opened. Danger: a connection that has just carried a response may still bring another one, which would be
    /// taken for the response to the next request.
    pub fn take_idle(&self, node: &NodeId) -> Option<(Connection, Duration)> {
        let mut nodes = self.nodes.borrow_mut();
        let entry = nodes.get_mut(node)?;
        self.remove_unusable(node, &mut entry.idle);
        let required_rest = self.monitor.required_rest();
        let has_rested = |connection: &Connection| connection.idle_since.elapsed() >= required_rest;
        // Of those that may be used at once the most recently used one; else the one that has rested longest.
        let chosen = entry.idle.iter().rposition(has_rested).unwrap_or(0);
        match self.monitor.rest_of(entry.idle.get(chosen)?.idle_since.elapsed()) {
            Rest::Wait(rest) => Some((entry.idle.remove(chosen), rest)),
            Rest::TooLong => None,
        }
    }

    fn remove_unusable(&self, node: &NodeId, idle: &mut Vec<Connection>) {
        idle.retain(|connection| {
            let reason = match connection.is_closed() {
                true => Unusable::Closed,
                false if self.is_reusable(connection) => return true,
                false => Unusable::Expired,
            };
            self.monitor.on_unusable(node, connection.idle_since.elapsed(), reason);
            false
        });
    }

    fn is_reusable(&self, connection: &Connection) -> bool {
        !connection.is_closed() && connection.idle_since.elapsed() < self.idle_limit.get()
    }

    /// Adapts the idle limit to the result of an exchange on a connection that had been idle. Danger: nodes
    /// or middleboxes that drop idle connections sooner than configured reset every request written to one.
    pub fn record_reuse(&self, idle: Duration, was_reset: bool) {
        let (evidence, limit) = (idle * IDLE_EVIDENCE_FACTOR, self.idle_limit.get());
        let limit = match was_reset {
            _ if idle < MIN_IDLE_LIMIT => return,
            true => limit.min(evidence).mul_f64(IDLE_LIMIT_DECREASE).max(MIN_IDLE_LIMIT),
            false if evidence > limit => limit.mul_f64(IDLE_LIMIT_INCREASE).min(self.max_idle),
            false => return,
        };
        self.idle_limit.set(limit);
    }

    /// Opens a new connection to a node that is listed as ready.
    pub async fn dial(&self, node: &NodeId) -> Result<Connection, ExchangeError> {
        let (addr, generation) = self.ready_node(node)?;
        self.recover_idle_limit();
        if self.permits.available_permits() == 0 {
            self.close_longest_idle();
        }
        // Danger: a node that only our own connection limit keeps us from reaching would count as
        // unreachable.
        let permit = timeout(PERMIT_TIMEOUT, self.permits.clone().acquire_owned());
        let permit =
            permit.await.map_err(|_| ExchangeError::before_write(FailureCause::ConnectionLimit))?.ok();
        let peer = Peer { name: node.clone(), monitor: self.monitor.clone() };
        let dialled =
            timeout(self.dial_timeout, Connection::dial(addr, peer, self.max_read_buffer_bytes, permit));
        let mut connection =
            dialled.await.unwrap_or(Err(ExchangeError::before_write(FailureCause::TimedOut)))?;
        // Danger: a node that began to drain while the connection was being established would receive a
        // request after its drain grace period.
        self.check_current(node, generation)?;
        connection.generation = generation;
        Ok(connection)
    }

    /// Raises the idle limit while it allows no connection to be used again.
    fn recover_idle_limit(&self) {
        let limit = self.idle_limit.get();
        if limit <= self.monitor.required_rest() {
            self.idle_limit.set(limit.mul_f64(IDLE_LIMIT_RECOVERY).min(self.max_idle));
        }
    }

    /// The address and generation of a node, provided that it is listed as ready.
    fn ready_node(&self, node: &NodeId) -> Result<(SocketAddr, u64), ExchangeError> {
        let nodes = self.nodes.borrow();
        let ready = nodes.get(node).filter(|entry| entry.is_ready);
        ready
            .map(|entry| (entry.addr, entry.generation))
            .ok_or(ExchangeError::before_write(FailureCause::Unlisted))
    }

    /// Returns an error unless the node is listed as ready, and as the process that a connection of this generation leads to.
    /// Danger: another node may have come up at the address of one that moved or left.
    pub fn check_current(&self, node: &NodeId, generation: u64) -> Result<(), ExchangeError> {
        if self.ready_node(node)?.1 == generation {
            Ok(())
        } else {
            Err(ExchangeError::before_write(FailureCause::Unlisted))
        }
    }

    /// Returns a connection to the pool after its exchange; drops it if the node was removed, or is another process now.
    pub fn release(&self, node: &NodeId, mut connection: Connection) {
        connection.end_exchange();
        if let Some(entry) = self.nodes.borrow_mut().get_mut(node)
            && entry.generation == connection.generation
        {
            entry.idle.push(connection);
        }
    }

    /// Closes the connection that has been idle longest. Danger: idle connections to some nodes could hold
    /// all permits, and the other nodes could not be reached.
    fn close_longest_idle(&self) {
        let mut nodes = self.nodes.borrow_mut();
        let oldest = nodes.values_mut().filter(|e| !e.idle.is_empty()).min_by_key(|e| e.idle[0].idle_since);
        if let Some(entry) = oldest {
            entry.idle.remove(0);
        }
    }

    /// Periodically closes connections that have been idle for too long, before the node does.
    pub async fn run_idle_sweeper(&self) {
        loop {
            tokio::time::sleep(MAX_SWEEP_INTERVAL.min(self.max_idle / MIN_SWEEPS_PER_IDLE_TIME)).await;
            self.nodes.borrow_mut().values_mut().for_each(|entry| self.close_expired(&mut entry.idle));
        }
    }

    /// Keeps one connection up to the idle limit and the others only for a short time. Danger: connections
    /// that a hundred proxies opened for a burst and keep idle fill a node's connection table, and a proxy
    /// that has no open connection is refused although the node is idle.
    fn close_expired(&self, idle: &mut Vec<Connection>) {
        let spares = idle.len().saturating_sub(1);
        let expired = idle
            .iter()
            .take(spares)
            .filter(|connection| connection.idle_since.elapsed() >= SPARE_IDLE_TIMEOUT)
            .count();
        idle.drain(..expired);
        idle.retain(|connection| self.is_reusable(connection));
    }
}

#[cfg(test)]
mod tests;
