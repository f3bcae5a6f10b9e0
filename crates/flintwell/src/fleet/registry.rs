//! The list as it is told to the module and the pool: discovery's word, with the operators' laid over it.

use crate::fleet::kept_list::KeptList;
use crate::fleet::lease::ListLease;
use crate::nodes::pool::Pool;
use crate::process::live::Live;
use crate::process::store::{Store, plain};
use crate::requests::dispatcher::Dispatcher;
use crate::say;
use flintwell_core::interface::{ListKind, Micros, NodeId, Standing};
use flintwell_list_watch::Starts;
use flintwell_settings::Network;
use flintwell_settings::listing::{Line, Listing};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const LOOK: Duration = Duration::from_millis(100); // between looks at what another process of ours was told
const HANDS_MOST: usize = 1_024; // nodes out or lately back; far above what staff takes out by hand
const FORGOTTEN: f64 = 600_000.0; // ms; after a node was put back; far longer than any takes to warm up
const MARK: &str = "out-"; // begins the name of a node's file

/// What the operators said of a node last: when it was taken out, and when it was put back, if it was.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
struct Hand {
    who: String,
    out_ms: f64,
    back_ms: Option<f64>,
}

/// Why a node was not taken out or put back.
#[derive(Debug, PartialEq, Eq)]
pub enum Refused {
    /// Nobody has this id.
    Unknown,
    /// It could not be recorded, and nothing has changed.
    NotRecorded,
}

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
    hands: RefCell<BTreeMap<String, Hand>>,
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
        let hands = RefCell::new(recorded(&store));
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
            hands,
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
        self.dispatcher.list(kind, entries);
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
        match self.hands.borrow().get(&line.id) {
            // Danger: a node under maintenance that a list has as ready would be sent requests.
            Some(Hand { back_ms: None, .. }) if line.state == "ready" => line.state = "draining".into(),
            // Danger: it was restarted meanwhile and is cold, whether or not the list tells that yet.
            Some(Hand { back_ms: Some(back), out_ms, .. }) if line.started_ms < *out_ms => {
                line.started_ms = *back;
            }
            _ => {}
        }
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
        let out = |hand: &Hand| hand.back_ms.is_none();
        if self.hands.borrow().get(who).is_some_and(out) {
            return Ok(());
        }
        if !self.cache(who) {
            return Err(Refused::Unknown);
        }
        self.record(Hand { who: who.into(), out_ms: self.now_ms(), back_ms: None })
    }

    /// Puts a node back; one that is not out is as it was.
    pub fn include(&self, who: &str) -> Result<(), Refused> {
        let hand = self.hands.borrow().get(who).cloned();
        match hand {
            Some(hand) if hand.back_ms.is_none() => {
                self.record(Hand { back_ms: Some(self.now_ms()), ..hand })
            }
            Some(_) => Ok(()),
            None if self.cache(who) => Ok(()),
            None => Err(Refused::Unknown),
        }
    }

    fn now_ms(&self) -> f64 {
        (self.dispatcher.clock.now() / 1_000) as f64
    }

    /// Records it before it is in force, so that no yes is lost with this process.
    fn record(&self, hand: Hand) -> Result<(), Refused> {
        let who = hand.who.clone();
        if self.hands.borrow().len() >= HANDS_MOST && !self.hands.borrow().contains_key(&who) {
            return Err(Refused::NotRecorded);
        }
        let text = serde_json::to_vec(&hand).map_err(|_| Refused::NotRecorded)?;
        if let Err(error) = self.store.write(&format!("{MARK}{}", plain(&who)), &text) {
            say!("{who} not recorded: {error}");
            return Err(Refused::NotRecorded);
        }
        say!("{who} {} by hand", if hand.back_ms.is_none() { "taken out" } else { "put back" });
        self.hands.borrow_mut().insert(who.clone(), hand);
        self.tell_again(&[NodeId::from(who)]);
        Ok(())
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
        let now = self.now_ms();
        let old = |hand: &Hand| hand.back_ms.is_some_and(|back| now - back > FORGOTTEN);
        let mut found = recorded(&self.store);
        found.extract_if(.., |_, hand| old(hand)).for_each(|(who, _)| {
            self.store.remove(&format!("{MARK}{}", plain(&who)));
        });
        let differs = |who: &&String| found.get(*who) != self.hands.borrow().get(*who);
        let both: Vec<String> = found.keys().chain(self.hands.borrow().keys()).cloned().collect();
        let changed: Vec<NodeId> =
            both.iter().filter(|who| differs(who)).map(|who| NodeId::from(&**who)).collect();
        if !changed.is_empty() {
            self.hands.replace(found);
            self.tell_again(&changed);
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

/// What stands in the files.
fn recorded(store: &Store) -> BTreeMap<String, Hand> {
    let mut hands = BTreeMap::new();
    for file in store.names(MARK) {
        let read = store.read(&file).map(|text| serde_json::from_slice::<Hand>(&text));
        match read {
            Some(Ok(hand)) if file == format!("{MARK}{}", plain(&hand.who)) => {
                hands.insert(hand.who.clone(), hand);
            }
            Some(_) => {
                say!("{file} is not understood, counts for nothing and is removed");
                store.remove(&file);
            }
            None => {}
        }
    }
    hands
}
