//! The list as it is told to the module and the pool: discovery's word, with the operators' laid over it.

use crate::fleet::kept_list::KeptList;
use crate::fleet::lease::ListLease;
use crate::fleet::overrides::{Overrides, Refused};
use crate::nodes::pool::Pool;
use crate::process::live::Live;
use crate::process::store::Store;
use crate::requests::dispatcher::Dispatcher;
use crate::say;
use flintwell_core::interface::{ListKind, Micros, NodeId, Standing};
use flintwell_list_watch::Starts;
use flintwell_settings::Network;
use flintwell_settings::listing::{Line, Listing};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const LOOK: Duration = Duration::from_millis(100); // between looks at what another process of ours was told

/// The list in hand, and what is laid over it.
pub struct Registry {
    network: Rc<Live<Network>>,
    origin_kind: Option<u32>,
    pool: Rc<Pool>,
    dispatcher: Rc<Dispatcher>,
    store: Store,
    lines: RefCell<BTreeMap<String, Line>>,
    starts: RefCell<Starts>,
    /// When the list was last confirmed that was told before.
    confirmed_at: Cell<Option<Micros>>,
    overrides: Overrides,
    lease: Rc<ListLease>,
    /// The list is so old that nothing may be sent by it, and the module was told so.
    lapsed: Cell<bool>,
    kept: KeptList,
}

impl Registry {
    pub fn new(
        network: Rc<Live<Network>>,
        origin_kind: Option<u32>,
        pool: Rc<Pool>,
        dispatcher: Rc<Dispatcher>,
        store: Store,
        kept: KeptList,
        lease: Rc<ListLease>,
    ) -> Rc<Self> {
        let overrides = Overrides::open(store.clone());
        let lapsed = Cell::new(!lease.holds());
        let confirmed_at = Cell::new(lease.confirmed_at());
        Rc::new(Registry {
            network,
            origin_kind,
            pool,
            dispatcher,
            store,
            lines: RefCell::default(),
            starts: RefCell::default(),
            confirmed_at,
            overrides,
            lease,
            lapsed,
            kept,
        })
    }

    /// What discovery told.
    pub fn take(&self, listing: &Listing, kind: ListKind) {
        {
            let mut lines = self.lines.borrow_mut();
            if kind != ListKind::Changes {
                lines.clear();
            }
            for line in &listing.servers {
                match &*line.state {
                    "gone" => drop(lines.remove(&line.id)),
                    _ => drop(lines.insert(line.id.clone(), line.clone())),
                }
            }
        }
        self.learn_starts(listing, kind);
        if kind != ListKind::Kept {
            self.kept.told(listing.version);
        }
        if self.lapsed.get() && self.lease.holds() {
            // Danger: told one by one, what did not change would stay closed; told before what changed was taken in, the
            // module would send to servers that have left.
            self.lapsed.set(false);
            say!("the list is up to date again: requests are sent");
            self.tell_again(&[]);
        }
        self.tell(&listing.servers, kind);
    }

    fn learn_starts(&self, listing: &Listing, kind: ListKind) {
        // What a process begins with was confirmed before it is told, so it has no list before it.
        let since = if kind == ListKind::Kept { None } else { self.confirmed_at.get() };
        let (now, mut starts) = (self.dispatcher.clock.now(), self.starts.borrow_mut());
        for line in &listing.servers {
            starts.learn(&line.id, (line.started_ms * 1e3) as Micros, since, now);
        }
        starts.forget(|server| self.lines.borrow().contains_key(server));
        self.confirmed_at.set(self.lease.confirmed_at());
    }

    /// Keeps the module told of whether the list may be acted on.
    pub async fn keep_lease(&self) {
        loop {
            self.check_lease();
            self.lease.changes().await;
        }
    }

    /// Danger: chosen by a list that has lapsed, every attempt would be stopped at its first byte only.
    fn check_lease(&self) {
        let lapsed = !self.lease.holds();
        if self.lapsed.replace(lapsed) == lapsed {
            return;
        }
        if lapsed {
            self.lease.counts_lapse();
            let over = self.lease.over_for() as f64 / 1e6;
            say!("the list could not be renewed in time ({over:.3} s ago): nothing is sent until it is");
        } else {
            say!("discovery could not be reached, so the list stands: requests are sent");
        }
        self.tell_again(&[]);
    }

    fn tell(&self, lines: &[Line], kind: ListKind) {
        if kind != ListKind::Changes {
            self.pool.forget_missing(|node| lines.iter().any(|line| *line.id == **node));
        }
        let mut entries = Vec::with_capacity(lines.len());
        for line in lines {
            let line = self.overlaid(line);
            let mut entry = line.entry(&self.network.get());
            // Danger: one address that is not understood would keep all else on the list from being told.
            match line.addr.parse() {
                Ok(addr) if entry.standing != Standing::Gone => {
                    let ready = entry.standing == Standing::Ready;
                    self.pool.place(&entry.node, addr, line.started_ms, ready);
                }
                Ok(_) => self.pool.forget(&entry.node),
                Err(error) => {
                    say!("discovery: address {} of {}: {error}", line.addr, line.id);
                    entry.standing = Standing::Gone;
                    self.pool.forget(&entry.node);
                }
            }
            entries.push(entry);
        }
        self.dispatcher.apply_list_update(kind, entries);
    }

    /// A line with the operators' word laid over it.
    fn overlaid(&self, line: &Line) -> Line {
        let mut line = line.clone();
        if let Some(started_at) = self.starts.borrow().started_at(&line.id) {
            line.started_ms = started_at as f64 / 1e3;
        }
        // Danger: what a list lacks that has lapsed counts as told: any of its servers may have left.
        if self.lapsed.get() && line.state == "ready" {
            line.state = "draining".into();
            return line;
        }
        self.overrides.apply(&mut line);
        line
    }

    /// From when a drain counts as told until nothing new may go there.
    pub fn grace(&self) -> Micros {
        self.network.get().drain_grace
    }

    /// The list as it is told now.
    pub fn listing(&self) -> Listing {
        let servers = self.lines.borrow().values().map(|line| self.overlaid(line)).collect();
        Listing { version: 0, full: true, servers }
    }

    /// Tells the whole list anew, since what its names and sizes stand for has changed.
    pub fn retell(&self) {
        self.tell_again(&[]);
    }

    /// Tells the list anew as it stands, since the operators' word has changed.
    fn tell_again(&self, changed: &[NodeId]) {
        let lines: Vec<Line> = self.lines.borrow().values().cloned().collect();
        // As one kept: nothing new was heard of discovery.
        self.tell(&lines, ListKind::Kept);
        changed.iter().for_each(|node| self.pool.close_idle(node));
    }

    /// Takes a node out until it is put back; said twice it is as said once.
    pub fn exclude(&self, who: &str) -> Result<(), Refused> {
        if self.overrides.is_out(who) {
            return Ok(());
        }
        if !self.cache(who) {
            return Err(Refused::Unknown);
        }
        self.overrides.take_out(who, self.now_ms())?;
        self.tell_again(&[NodeId::from(who)]);
        Ok(())
    }

    /// Puts a node back; one that is not out is as it was.
    pub fn include(&self, who: &str) -> Result<(), Refused> {
        if !self.overrides.is_out(who) {
            return if self.overrides.knows(who) || self.cache(who) { Ok(()) } else { Err(Refused::Unknown) };
        }
        self.overrides.put_back(who, self.now_ms())?;
        self.tell_again(&[NodeId::from(who)]);
        Ok(())
    }

    fn now_ms(&self) -> f64 {
        (self.dispatcher.clock.now() / 1_000) as f64
    }

    /// Follows what another process of ours was told, as it serves beside us, and keeps the list for one that
    /// may come.
    pub async fn follow(&self) {
        loop {
            sleep(LOOK).await;
            if self.store.keeps() {
                self.look();
                self.kept.write(|| self.lines.borrow().values().cloned().collect(), &self.lease);
            }
        }
    }

    fn look(&self) {
        let changed = self.overrides.read_anew(self.now_ms());
        if !changed.is_empty() {
            let nodes: Vec<NodeId> = changed.iter().map(|who| NodeId::from(&**who)).collect();
            self.tell_again(&nodes);
        }
    }

    /// A cache of the list, whatever it stands as.
    fn cache(&self, who: &str) -> bool {
        self.lines.borrow().get(who).is_some_and(|line| self.is_cache(line))
    }

    fn is_cache(&self, line: &Line) -> bool {
        let kind = self.network.get().kinds.iter().position(|kind| *kind == line.kind);
        kind.is_none_or(|kind| self.origin_kind != Some(kind as u32))
    }

    /// Caches in the list.
    pub fn known(&self) -> usize {
        self.lines.borrow().values().filter(|line| self.is_cache(line)).count()
    }
}
