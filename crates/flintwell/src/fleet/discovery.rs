//! Keeps the list of nodes: calls discovery, decodes what it tells, and passes it on. When each call is due, how long it may
//! take and for how long the list may be acted on is decided by `flintwell-list-watch`.

use crate::fleet::calls::{Answer, CallError, CallNumber, Calls, Ended};
use crate::fleet::lease::ListLease;
use crate::fleet::list_status::ListStatus;
use crate::fleet::registry::Registry;
use crate::nodes::link::{Broken, Cause, Link, Stage};
use crate::requests::dispatcher::Dispatcher;
use crate::say;
use flintwell_core::interface::{ListKind, Micros};
use flintwell_list_watch::Watch;
use flintwell_settings::listing::Listing;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::sleep_until;

const PACE: Micros = 100_000; // us; between empty answers; well under what ends a watch

/// What the current call waits for.
enum Phase {
    /// The next call is due then.
    Pausing(Micros),
    /// For a connection.
    Connecting,
    /// For its slot among those of the fleet, on a connection that is up.
    Connected(Link, Micros),
    /// For the answer, until then.
    Calling(CallNumber, Micros),
}

/// What ends a phase.
enum Event {
    Moved,
    Ended(Ended),
    Due,
}

pub struct Discovery {
    /// Where it is, as the configuration has it now.
    addr: watch::Receiver<SocketAddr>,
    registry: Rc<Registry>,
    lease: Rc<ListLease>,
    status: Rc<ListStatus>,
    watch: Watch,
    calls: Calls,
    /// Of the list last had; none from where we ask now.
    version: Option<u64>,
    /// When the current call was made.
    called_at: Micros,
    /// The connection of the last answer.
    link: Option<Link>,
    /// Calls in a row that failed.
    failed: u64,
}

impl Discovery {
    pub fn new(
        addr: watch::Receiver<SocketAddr>,
        registry: Rc<Registry>,
        lease: Rc<ListLease>,
        status: Rc<ListStatus>,
        watch: Watch,
        calls: Calls,
    ) -> Self {
        Discovery {
            addr,
            registry,
            lease,
            status,
            watch,
            calls,
            version: None,
            called_at: 0,
            link: None,
            failed: 0,
        }
    }

    /// The list as it was last had.
    pub fn start(&mut self, known: &Listing) {
        self.tell(known, ListKind::Kept);
    }

    /// Calls for good, from the process's start: each call is due when `flintwell-list-watch` says.
    pub async fn watch(&mut self, dispatcher: &Dispatcher) {
        let mut moves = self.addr.clone();
        // Started again after a panic, nothing of before is waited for.
        self.calls.give_up();
        self.link = None;
        let mut phase = Phase::Pausing(self.watch.first(dispatcher.clock.now()));
        loop {
            phase = match self.next_event(dispatcher, &mut moves, &phase).await {
                // Danger: the old discovery would keep us waiting for what only the new one tells.
                Event::Moved => self.moved(dispatcher),
                Event::Ended(ended) => self.ended(dispatcher, phase, ended),
                Event::Due => self.due(dispatcher, phase),
            };
        }
    }

    fn pauses_for_slot(&self, dispatcher: &Dispatcher) -> Phase {
        Phase::Pausing(self.watch.slot(dispatcher.clock.now()))
    }

    async fn next_event(
        &mut self,
        dispatcher: &Dispatcher,
        moves: &mut watch::Receiver<SocketAddr>,
        phase: &Phase,
    ) -> Event {
        let due = async {
            match phase {
                Phase::Pausing(at) | Phase::Connected(_, at) | Phase::Calling(_, at) => {
                    sleep_until(dispatcher.clock.instant(*at)).await;
                }
                Phase::Connecting => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            Ok(()) = moves.changed() => Event::Moved,
            // Danger: after a standstill of ours an answer that has come would count as late.
            ended = self.calls.ended() => Event::Ended(ended),
            () = due => Event::Due,
        }
    }

    fn moved(&mut self, dispatcher: &Dispatcher) -> Phase {
        // Danger: one discovery's versions may say nothing to another; the whole list is asked for.
        self.version = None;
        self.link = None;
        self.calls.give_up();
        self.watch.moved();
        self.pauses_for_slot(dispatcher)
    }

    /// The time of a phase is up.
    fn due(&mut self, dispatcher: &Dispatcher, phase: Phase) -> Phase {
        let now = dispatcher.clock.now();
        match phase {
            Phase::Pausing(_) => {
                self.watch.connects(now);
                let addr = *self.addr.borrow();
                self.calls.connect(addr, self.link.take());
                Phase::Connecting
            }
            // It ends with the connection, and has no time of its own.
            Phase::Connecting => Phase::Connecting,
            Phase::Connected(link, _) => self.call(dispatcher, link),
            Phase::Calling(..) => {
                let broken = Broken { stage: Stage::Written, cause: Cause::TimedOut };
                self.failed(dispatcher, &CallError::silent(broken))
            }
        }
    }

    fn ended(&mut self, dispatcher: &Dispatcher, phase: Phase, ended: Ended) -> Phase {
        match (phase, ended) {
            (Phase::Connecting, Ended::Connected(Ok(link))) => {
                let now = dispatcher.clock.now();
                match self.watch.connected(now) {
                    at if at > now => Phase::Connected(link, at),
                    _ => self.call(dispatcher, link),
                }
            }
            (Phase::Connecting, Ended::Connected(Err(error))) => self.failed(dispatcher, &error),
            // Of a connection that nobody waits for any more.
            (phase, Ended::Connected(_)) => phase,
            (Phase::Calling(current, _), Ended::Called(number, Err(error))) if number == current => {
                self.failed(dispatcher, &error)
            }
            // One whose time was up has failed in the end: it counted then.
            (phase, Ended::Called(_, Err(_))) => phase,
            (phase, Ended::Called(number, Ok(answer))) => self.answered(dispatcher, phase, number, answer),
        }
    }

    fn call(&mut self, dispatcher: &Dispatcher, link: Link) -> Phase {
        let now = dispatcher.clock.now();
        self.watch.grants(self.registry.grace());
        let call = self.watch.call(now, self.version.is_none());
        self.called_at = now;
        self.status.called(now);
        Phase::Calling(self.calls.call(link, self.version, call.wait), now + call.within)
    }

    fn answered(
        &mut self,
        dispatcher: &Dispatcher,
        phase: Phase,
        number: CallNumber,
        answer: Answer,
    ) -> Phase {
        let current = matches!(phase, Phase::Calling(current, _) if current == number);
        let Answer { listing, link, begun_at } = answer;
        if self.version.is_some_and(|version| listing.version < version) {
            // A call that was out for long may well tell less than the one that was answered meanwhile.
            if !current {
                return phase;
            }
            // Danger: a copy of discovery that lags lists as ready what was announced as leaving. Whoever begins anew tells
            // the whole list, which is asked for next.
            self.version = None;
            return self.failed(dispatcher, &CallError::garbage("older than the list told before".into()));
        }
        if self.failed > 1 {
            say!("discovery: answers again, after {} calls that failed", self.failed);
        }
        self.failed = 0;
        let now = dispatcher.clock.now();
        // Danger: what stood in our socket while we stood still would vouch for the time of its reading.
        let as_of = begun_at.min(dispatcher.stall_detector.waited_from());
        if current {
            self.watch.answered(as_of);
        } else {
            // When it was asked for is not kept; it vouches for no more than the bytes do.
            self.calls.give_up();
            self.watch.answered_late(as_of);
        }
        self.status.answered(now, listing.version);
        self.shares_lease();
        self.link = Some(link);
        let kind = if listing.full { ListKind::Whole } else { ListKind::Changes };
        self.tell(&listing, kind);
        // Danger: a watch that does not wait would be asked without a pause.
        let at_once = current && listing.is_empty() && now - self.called_at < PACE;
        Phase::Pausing(if at_once { now + PACE } else { now })
    }

    fn failed(&mut self, dispatcher: &Dispatcher, error: &CallError) -> Phase {
        let now = dispatcher.clock.now();
        self.failed += 1;
        // An outage is few lines, however often discovery is called meanwhile.
        if self.failed.is_power_of_two() {
            let took = (now - self.called_at) as f64 / 1e6;
            let CallError { failure, broken } = error;
            say!(
                "discovery: {broken} ({failure:?}), after {took:.3} s; failed call {} in a row",
                self.failed
            );
        }
        let at = self.watch.failed(now, error.failure);
        self.shares_lease();
        Phase::Pausing(at)
    }

    fn shares_lease(&self) {
        let lease = self.watch.lease();
        self.lease.set(lease);
        self.status.leased(lease);
    }

    fn tell(&mut self, listing: &Listing, kind: ListKind) {
        self.version = Some(listing.version);
        self.registry.take(listing, kind);
    }
}
