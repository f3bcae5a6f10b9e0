//! Keeps the node list current: calls discovery, decodes its responses and passes them to the registry.
//! `flintwell-list-watch` decides when each call is due, how long it may take, and how long the lease on the
//! list lasts.

use crate::fleet::discovery_calls::{Answer, CallError, CallNumber, Completion, DiscoveryCalls};
use crate::fleet::lease::ListLease;
use crate::fleet::list_status::ListStatus;
use crate::fleet::registry::Registry;
use crate::log_line;
use crate::nodes::connection::Connection;
use crate::nodes::exchange_error::{ExchangeError, FailureCause, Stage};
use crate::requests::dispatcher::Dispatcher;
use flintwell_core::interface::{ListUpdateKind, Micros};
use flintwell_list_watch::Watch;
use flintwell_settings::node_list::NodeList;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::sleep_until;

const MIN_EMPTY_RESPONSE_INTERVAL_US: Micros = 100_000; // well under the wait of a long poll

/// The state of the current call.
enum Phase {
    /// The next call is due at this time.
    Pausing(Micros),
    /// A connection is being established.
    Connecting,
    /// A connection is open; the call is due at its time slot among those of the fleet.
    Connected(Connection, Micros),
    /// The call is in flight, with its deadline.
    Calling(CallNumber, Micros),
}

/// What ends a phase.
enum Event {
    AddressChanged,
    Completed(Completion),
    TimerElapsed,
}

/// The client of discovery.
pub struct DiscoveryClient {
    /// Discovery's address; changes when the configuration is reloaded.
    addr: watch::Receiver<SocketAddr>,
    registry: Rc<Registry>,
    lease: Rc<ListLease>,
    status: Rc<ListStatus>,
    watch: Watch,
    calls: DiscoveryCalls,
    /// Version of the last list; none if the current address has not sent one.
    version: Option<u64>,
    /// When the current call was sent.
    called_at: Micros,
    /// The connection of the last response, for reuse.
    connection: Option<Connection>,
    consecutive_failures: u64,
}

impl DiscoveryClient {
    pub fn new(
        addr: watch::Receiver<SocketAddr>,
        registry: Rc<Registry>,
        lease: Rc<ListLease>,
        status: Rc<ListStatus>,
        watch: Watch,
        calls: DiscoveryCalls,
    ) -> Self {
        DiscoveryClient {
            addr,
            registry,
            lease,
            status,
            watch,
            calls,
            version: None,
            called_at: 0,
            connection: None,
            consecutive_failures: 0,
        }
    }

    /// Publishes the list that is known at startup.
    pub fn load_initial(&mut self, known: &NodeList) {
        self.publish(known, ListUpdateKind::Restored);
    }

    /// Calls discovery in an endless loop, at the times given by `flintwell-list-watch`.
    pub async fn run(&mut self, dispatcher: &Dispatcher) {
        let mut addr_changes = self.addr.clone();
        // When this loop is restarted after a panic, earlier calls are discarded.
        self.calls.abort_all();
        self.connection = None;
        let mut phase = Phase::Pausing(self.watch.first_call_at(dispatcher.clock.now()));
        loop {
            phase = match self.next_event(dispatcher, &mut addr_changes, &phase).await {
                // Danger: a call that waits at the old address would delay changes that only the new one has.
                Event::AddressChanged => self.on_address_changed(dispatcher),
                Event::Completed(completion) => self.on_completion(dispatcher, phase, completion),
                Event::TimerElapsed => self.on_timer(dispatcher, phase),
            };
        }
    }

    fn pause_until_slot(&self, dispatcher: &Dispatcher) -> Phase {
        Phase::Pausing(self.watch.next_slot(dispatcher.clock.now()))
    }

    async fn next_event(
        &mut self,
        dispatcher: &Dispatcher,
        addr_changes: &mut watch::Receiver<SocketAddr>,
        phase: &Phase,
    ) -> Event {
        let timer = async {
            match phase {
                Phase::Pausing(at) | Phase::Connected(_, at) | Phase::Calling(_, at) => {
                    sleep_until(dispatcher.clock.instant_at(*at)).await;
                }
                Phase::Connecting => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            Ok(()) = addr_changes.changed() => Event::AddressChanged,
            // Danger: after a stall of this process, the timer would make a response that has already arrived
            // count as late.
            completion = self.calls.next_completion() => Event::Completed(completion),
            () = timer => Event::TimerElapsed,
        }
    }

    fn on_address_changed(&mut self, dispatcher: &Dispatcher) -> Phase {
        // Danger: a version number of one discovery service may mean nothing to another, so changes since
        // that version would be wrong; the whole list is requested.
        self.version = None;
        self.connection = None;
        self.calls.abort_all();
        self.watch.on_address_change();
        self.pause_until_slot(dispatcher)
    }

    /// The timer of the phase has elapsed.
    fn on_timer(&mut self, dispatcher: &Dispatcher, phase: Phase) -> Phase {
        let now = dispatcher.clock.now();
        match phase {
            Phase::Pausing(_) => {
                self.watch.on_connecting(now);
                let addr = *self.addr.borrow();
                self.calls.connect(addr, self.connection.take());
                Phase::Connecting
            }
            // Has no timer: it ends with the result of the connection.
            Phase::Connecting => Phase::Connecting,
            Phase::Connected(connection, _) => self.call(dispatcher, connection),
            Phase::Calling(..) => {
                let error = ExchangeError { stage: Stage::Written, cause: FailureCause::TimedOut };
                self.on_failure(dispatcher, &CallError::timed_out(error))
            }
        }
    }

    fn on_completion(&mut self, dispatcher: &Dispatcher, phase: Phase, completion: Completion) -> Phase {
        match (phase, completion) {
            (Phase::Connecting, Completion::Connected(Ok(connection))) => {
                let now = dispatcher.clock.now();
                match self.watch.on_connected(now) {
                    at if at > now => Phase::Connected(connection, at),
                    _ => self.call(dispatcher, connection),
                }
            }
            (Phase::Connecting, Completion::Connected(Err(error))) => self.on_failure(dispatcher, &error),
            // A connection that is not waited for any more.
            (phase, Completion::Connected(_)) => phase,
            (Phase::Calling(current, _), Completion::Called(number, Err(error))) if number == current => {
                self.on_failure(dispatcher, &error)
            }
            // A call that had timed out before: it was counted as failed then.
            (phase, Completion::Called(_, Err(_))) => phase,
            (phase, Completion::Called(number, Ok(answer))) => {
                self.on_answer(dispatcher, phase, number, answer)
            }
        }
    }

    fn call(&mut self, dispatcher: &Dispatcher, connection: Connection) -> Phase {
        let now = dispatcher.clock.now();
        self.watch.set_drain_grace(self.registry.drain_grace());
        let call = self.watch.begin_call(now, self.version.is_none());
        self.called_at = now;
        self.status.on_call(now);
        let addr = *self.addr.borrow();
        Phase::Calling(self.calls.call(connection, addr, self.version, call.wait), now + call.timeout)
    }

    fn on_answer(
        &mut self,
        dispatcher: &Dispatcher,
        phase: Phase,
        number: CallNumber,
        answer: Answer,
    ) -> Phase {
        let is_current = matches!(phase, Phase::Calling(current, _) if current == number);
        let Answer { list, connection, first_byte_at } = answer;
        if self.version.is_some_and(|version| list.version < version) {
            // A call that was in flight for long may return an older list than one answered meanwhile.
            if !is_current {
                return phase;
            }
            // Danger: a lagging replica of discovery lists nodes as ready that were already announced as
            // leaving. If discovery was reset to lower versions instead, it sends its whole list, which is
            // requested next.
            self.version = None;
            let why = format!("list {} is older than the last one", list.version);
            return self.on_failure(dispatcher, &CallError::invalid_response(why));
        }
        if self.consecutive_failures > 1 {
            log_line!("discovery: available again after {} failed calls", self.consecutive_failures);
        }
        self.consecutive_failures = 0;
        let now = dispatcher.clock.now();
        // Danger: a response that waited in the socket buffer during a stall of this process would confirm
        // the list as of when it was read, not as of when it was sent.
        let as_of = first_byte_at.min(dispatcher.stall_detector.queued_since());
        if is_current {
            self.watch.on_answer(as_of);
        } else {
            // The send time of a late call is not kept; so only the arrival of the response confirms the
            // list.
            self.calls.abort_all();
            self.watch.on_late_answer(as_of);
        }
        self.status.on_answer(now, list.version);
        self.publish_lease();
        let kind = if list.full { ListUpdateKind::Snapshot } else { ListUpdateKind::Delta };
        self.publish(&list, kind);
        // Danger: a discovery that answers long polls at once would be called in a busy loop.
        let too_soon = is_current && list.is_empty() && now - self.called_at < MIN_EMPTY_RESPONSE_INTERVAL_US;
        // On the same connection, the next response could not be told from a second one to this call.
        self.connection = (!too_soon).then_some(connection);
        Phase::Pausing(if too_soon { now + MIN_EMPTY_RESPONSE_INTERVAL_US } else { now })
    }

    fn on_failure(&mut self, dispatcher: &Dispatcher, error: &CallError) -> Phase {
        let now = dispatcher.clock.now();
        self.consecutive_failures += 1;
        // Logs only failures 1, 2, 4, 8, ... of an outage.
        if self.consecutive_failures.is_power_of_two() {
            let took = (now - self.called_at) as f64 / 1e6;
            let CallError { kind, error } = error;
            log_line!(
                "discovery: {error} ({kind:?}) after {took:.3} s; {} consecutive failed calls",
                self.consecutive_failures
            );
        }
        let at = self.watch.on_failure(now, error.kind);
        self.publish_lease();
        Phase::Pausing(at)
    }

    fn publish_lease(&self) {
        let lease = self.watch.lease();
        self.lease.set(lease);
        self.status.on_lease_change(lease);
    }

    fn publish(&mut self, list: &NodeList, kind: ListUpdateKind) {
        self.version = Some(list.version);
        self.registry.update(list, kind);
    }
}
