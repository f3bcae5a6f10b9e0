//! The node list as published to the routing policy and the connection pool: discovery's list with the
//! operators' overrides applied.

use crate::fleet::lease::ListLease;
use crate::fleet::list_store::ListStore;
use crate::fleet::overrides::{OverrideError, Overrides};
use crate::log_line;
use crate::nodes::pool::Pool;
use crate::process::reloadable::Reloadable;
use crate::process::store::Store;
use crate::requests::dispatcher::Dispatcher;
use flintwell_core::interface::{ListUpdateKind, Micros, NodeId, NodeState};
use flintwell_list_watch::NodeStarts;
use flintwell_settings::NetworkSettings;
use flintwell_settings::node_list::{ListedNode, NodeList};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const SYNC_INTERVAL: Duration = Duration::from_millis(100); // for overrides stored by another process

/// The current node list, and the overrides that apply to it.
pub struct Registry {
    network: Rc<Reloadable<NetworkSettings>>,
    origin_kind: Option<u32>,
    pool: Rc<Pool>,
    dispatcher: Rc<Dispatcher>,
    store: Store,
    nodes: RefCell<BTreeMap<String, ListedNode>>,
    starts: RefCell<NodeStarts>,
    /// When the previous list was last confirmed.
    confirmed_at: Cell<Option<Micros>>,
    overrides: Overrides,
    lease: Rc<ListLease>,
    /// The lease has lapsed, and the list was published accordingly.
    is_lapsed: Cell<bool>,
    list_store: ListStore,
}

impl Registry {
    pub fn new(
        network: Rc<Reloadable<NetworkSettings>>,
        origin_kind: Option<u32>,
        pool: Rc<Pool>,
        dispatcher: Rc<Dispatcher>,
        store: Store,
        list_store: ListStore,
        lease: Rc<ListLease>,
    ) -> Rc<Self> {
        let overrides = Overrides::open(store.clone());
        let is_lapsed = Cell::new(!lease.is_valid());
        let confirmed_at = Cell::new(lease.confirmed_at());
        Rc::new(Registry {
            network,
            origin_kind,
            pool,
            dispatcher,
            store,
            nodes: RefCell::default(),
            starts: RefCell::default(),
            confirmed_at,
            overrides,
            lease,
            is_lapsed,
            list_store,
        })
    }

    /// Applies a list, or changes to it, and publishes them.
    pub fn update(&self, list: &NodeList, kind: ListUpdateKind) {
        {
            let mut nodes = self.nodes.borrow_mut();
            if kind != ListUpdateKind::Delta {
                nodes.clear();
            }
            for node in &list.nodes {
                match &*node.state {
                    "gone" => drop(nodes.remove(&node.id)),
                    _ => drop(nodes.insert(node.id.clone(), node.clone())),
                }
            }
        }
        self.record_starts(list, kind);
        if kind != ListUpdateKind::Restored {
            self.list_store.mark_changed(list.version);
        }
        if self.is_lapsed.get() && self.lease.is_valid() {
            // Danger: if only changes were published, nodes that have not changed would stay closed; if the
            // whole list were published before the changes were applied, requests would be sent to nodes that
            // have left.
            self.is_lapsed.set(false);
            log_line!("node list is up to date again; sending requests");
            self.publish_all(&[]);
        }
        self.publish(&list.nodes, kind);
    }

    fn record_starts(&self, list: &NodeList, kind: ListUpdateKind) {
        // The list at process start has no earlier list: its confirmation precedes its publication.
        let since = if kind == ListUpdateKind::Restored { None } else { self.confirmed_at.get() };
        let (now, mut starts) = (self.dispatcher.clock.now(), self.starts.borrow_mut());
        for node in &list.nodes {
            starts.record(&node.id, (node.started_ms * 1e3) as Micros, since, now);
        }
        starts.prune(|node| self.nodes.borrow().contains_key(node));
        self.confirmed_at.set(self.lease.confirmed_at());
    }

    /// Publishes the list again whenever its lease lapses or becomes valid.
    pub async fn follow_lease(&self) {
        loop {
            self.check_lease();
            self.lease.changed().await;
        }
    }

    /// Danger: if the policy went on choosing nodes from a lapsed list, every attempt would be stopped only
    /// by the final check before its first byte.
    fn check_lease(&self) {
        let is_lapsed = !self.lease.is_valid();
        if self.is_lapsed.replace(is_lapsed) == is_lapsed {
            return;
        }
        if is_lapsed {
            self.lease.count_lapse();
            let expired = self.lease.expired_for() as f64 / 1e6;
            log_line!(
                "lease on the node list lapsed {expired:.3} s ago; sending no requests until it is renewed"
            );
        } else {
            log_line!("discovery is unreachable, so the node list stays valid; sending requests");
        }
        self.publish_all(&[]);
    }

    fn publish(&self, nodes: &[ListedNode], kind: ListUpdateKind) {
        if kind != ListUpdateKind::Delta {
            self.pool.retain_listed(|node| nodes.iter().any(|listed| *listed.id == **node));
        }
        let mut entries = Vec::with_capacity(nodes.len());
        for node in nodes {
            let node = self.effective_node(node);
            let mut entry = node.to_node_entry(&self.network.get());
            // Danger: one address that can't be parsed would block the publication of all other nodes.
            match node.addr.parse() {
                Ok(addr) if entry.state != NodeState::Gone => {
                    let is_ready = entry.state == NodeState::Ready;
                    self.pool.upsert(&entry.node, addr, node.started_ms, is_ready);
                }
                Ok(_) => self.pool.remove(&entry.node),
                Err(error) => {
                    log_line!("discovery: invalid address {:?} of node {}: {error}", node.addr, node.id);
                    entry.state = NodeState::Gone;
                    self.pool.remove(&entry.node);
                }
            }
            entries.push(entry);
        }
        self.dispatcher.apply_list_update(kind, entries);
    }

    /// A list entry with its known start time, the state of the lease and the operators' override applied.
    fn effective_node(&self, node: &ListedNode) -> ListedNode {
        let mut node = node.clone();
        if let Some(started_at) = self.starts.borrow().started_at(&node.id) {
            node.started_ms = started_at as f64 / 1e3;
        }
        // Danger: any node of a lapsed list may have left, and that change already counts as known to this
        // proxy.
        if self.is_lapsed.get() && node.state == "ready" {
            node.state = "draining".into();
            return node;
        }
        self.overrides.apply(&mut node);
        node
    }

    /// Time from when a drain counts as known until no new request may be sent to the node.
    pub fn drain_grace(&self) -> Micros {
        self.network.get().drain_grace
    }

    /// The list as published now.
    pub fn effective_list(&self) -> NodeList {
        let servers = self.nodes.borrow().values().map(|node| self.effective_node(node)).collect();
        NodeList { version: 0, full: true, nodes: servers }
    }

    /// Publishes the whole list again after the settings that give meaning to its names and sizes have
    /// changed.
    pub fn republish(&self) {
        self.publish_all(&[]);
    }

    /// Publishes the whole current list again, and closes idle connections to the `changed` nodes.
    fn publish_all(&self, changed: &[NodeId]) {
        let nodes: Vec<ListedNode> = self.nodes.borrow().values().cloned().collect();
        // As a restored list: nothing new came from discovery.
        self.publish(&nodes, ListUpdateKind::Restored);
        changed.iter().for_each(|node| self.pool.close_idle(node));
    }

    /// Excludes a node until it is included again; idempotent.
    pub fn exclude(&self, node: &str) -> Result<(), OverrideError> {
        if self.overrides.is_excluded(node) {
            return Ok(());
        }
        if !self.lists_cache(node) {
            return Err(OverrideError::UnknownNode);
        }
        self.overrides.exclude(node, self.now_ms())?;
        self.publish_all(&[NodeId::from(node)]);
        Ok(())
    }

    /// Includes a node again; no effect on a node that is not excluded.
    pub fn include(&self, node: &str) -> Result<(), OverrideError> {
        if !self.overrides.is_excluded(node) {
            let is_known = self.overrides.contains(node) || self.lists_cache(node);
            return if is_known { Ok(()) } else { Err(OverrideError::UnknownNode) };
        }
        self.overrides.include(node, self.now_ms())?;
        self.publish_all(&[NodeId::from(node)]);
        Ok(())
    }

    fn now_ms(&self) -> f64 {
        (self.dispatcher.clock.now() / 1_000) as f64
    }

    /// Periodically applies overrides that another running process of this proxy has stored, and stores the
    /// list for a later process.
    pub async fn sync_store(&self) {
        loop {
            sleep(SYNC_INTERVAL).await;
            if self.store.is_persistent() {
                self.sync_overrides();
                self.list_store.write(|| self.nodes.borrow().values().cloned().collect(), &self.lease);
            }
        }
    }

    fn sync_overrides(&self) {
        let changed = self.overrides.reload(self.now_ms());
        if !changed.is_empty() {
            let nodes: Vec<NodeId> = changed.iter().map(|node| NodeId::from(&**node)).collect();
            self.publish_all(&nodes);
        }
    }

    /// Whether the list contains a cache with this id, in any state.
    fn lists_cache(&self, node: &str) -> bool {
        self.nodes.borrow().get(node).is_some_and(|listed| self.is_cache(listed))
    }

    fn is_cache(&self, node: &ListedNode) -> bool {
        let kind = self.network.get().kinds.iter().position(|kind| *kind == node.kind);
        kind.is_none_or(|kind| self.origin_kind != Some(kind as u32))
    }

    /// The number of caches in the list.
    pub fn cache_count(&self) -> usize {
        self.nodes.borrow().values().filter(|node| self.is_cache(node)).count()
    }
}
