//! Graceful shutdown in phases. First, every response closes its connection while new clients are still accepted. Then
//! idle connections are closed while the listener stays open, so that a request that crosses the close can be sent
//! again on a new connection. Then the listener is closed, and the remaining requests are completed. With a successor
//! on the same listening socket, the listener and idle connections are closed at once.

use crate::log_line;
use crate::process::handover::Successor;
use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Before idle connections are closed: clients still connect for a while after the signal.
const ACCEPT_GRACE: Duration = Duration::from_millis(450);
/// Before the listener is closed: a request that crossed the close of its connection is sent again on a new one.
const RECONNECT_GRACE: Duration = Duration::from_millis(100);
/// Before the last idle connections are closed: time for the first request on those accepted last.
const LATE_CONNECTION_GRACE: Duration = Duration::from_millis(50);
/// Added to the longest deadline, for clients that read slowly.
const SLOW_READER_GRACE: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    Draining,
    IdleClosed,
    ListenerClosed,
    AllClosed,
}

/// Observer of the shutdown; cheap to clone.
#[derive(Clone)]
pub struct Shutdown {
    phases: watch::Receiver<Phase>,
    has_successor: Rc<Cell<bool>>,
    successor: Rc<OnceCell<Rc<Successor>>>,
}

impl Shutdown {
    /// Whether shutdown has begun, so that each response is the last on its connection.
    pub fn has_begun(&self) -> bool {
        *self.phases.borrow() > Phase::Serving
    }
    /// Waits until the listener has to be closed.
    pub async fn listener_closed(&self) {
        self.wait_for_phase(Phase::Draining).await;
        if !self.has_successor.get() {
            self.wait_for_phase(Phase::ListenerClosed).await;
        }
    }
    /// Whether a successor serves the same listening socket. Connections still in the accept queue then belong to the
    /// successor: one that is accepted or inspected here during shutdown would be lost with this process.
    pub fn has_successor(&self) -> bool {
        self.has_successor.get()
    }
    /// Completes when a connection accepted now has to be closed if idle. A request that crosses this close is sent
    /// again on a new connection and is lost if the listener is already closed. So connections accepted late, while
    /// idle ones are already being closed, stay open until the last phase.
    pub fn idle_closed(&self) -> impl Future<Output = ()> + use<> {
        let closing_idle = *self.phases.borrow() >= Phase::IdleClosed;
        let (shutdown, phase) =
            (self.clone(), if closing_idle { Phase::AllClosed } else { Phase::IdleClosed });
        async move { shutdown.wait_for_phase(phase).await }
    }
    /// Waits for shutdown and returns the successor that takes over streamed responses; never completes without one.
    pub async fn successor(&self) -> Rc<Successor> {
        self.wait_for_phase(Phase::Draining).await;
        match self.successor.get() {
            Some(successor) => successor.clone(),
            None => std::future::pending().await,
        }
    }
    async fn wait_for_phase(&self, target: Phase) {
        // An error means that the sender is gone, after the last phase.
        let _ = self.phases.clone().wait_for(|phase| *phase >= target).await;
    }
}

/// Runs the shutdown and publishes its phases.
pub struct ShutdownController {
    phases: watch::Sender<Phase>,
    has_successor: Rc<Cell<bool>>,
    successor: Rc<OnceCell<Rc<Successor>>>,
}

/// Creates the controller of the shutdown and its observer.
pub fn channel() -> (ShutdownController, Shutdown) {
    let (sender, receiver) = watch::channel(Phase::Serving);
    let (has_successor, successor) = (Rc::<Cell<bool>>::default(), Rc::default());
    let shutdown =
        Shutdown { phases: receiver, has_successor: has_successor.clone(), successor: Rc::clone(&successor) };
    (ShutdownController { phases: sender, has_successor, successor }, shutdown)
}

impl ShutdownController {
    /// Waits for SIGTERM or SIGINT, then runs the shutdown to its end. `accepting` completes once the listener is
    /// closed, client connections hold permits of `client_permits` (`connections` in total), and no request is in
    /// flight for longer than `max_request_time`. `has_successor` is evaluated at the signal; if it is true,
    /// `successor` connects to the process that takes over streamed responses.
    pub async fn run(
        self,
        accepting: JoinHandle<()>,
        client_permits: Arc<Semaphore>,
        connections: u32,
        max_request_time: impl FnOnce() -> Duration,
        has_successor: impl FnOnce() -> bool,
        successor: impl AsyncFnOnce() -> Option<Successor>,
    ) -> std::io::Result<()> {
        let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        if has_successor() {
            // Shutdown begins only after this: a request refused while we still accept connections would be sent to us
            // again.
            successor().await.map(|successor| self.successor.set(Rc::new(successor)));
            self.has_successor.set(true);
        }
        log_line!(
            "shutting down{}",
            if self.has_successor.get() { "; a successor serves the socket" } else { "" }
        );
        self.phases.send_replace(Phase::Draining);
        // With a successor no connections are accepted from here on, since a long response to a later request would be
        // cut off by SIGKILL; the successor accepts them instead.
        let accept_grace = if self.has_successor.get() { Duration::ZERO } else { ACCEPT_GRACE };
        for (wait, phase) in [
            (accept_grace, Phase::IdleClosed),
            (RECONNECT_GRACE, Phase::ListenerClosed),
            (LATE_CONNECTION_GRACE, Phase::AllClosed),
        ] {
            sleep(wait).await;
            self.phases.send_replace(phase);
        }
        let closed = async {
            // Acquiring the permits earlier would leave none for the last accepted connections.
            let _ = accepting.await;
            let _ = client_permits.acquire_many(connections).await;
        };
        // The extra time keeps a long response from being cut off while its client still reads it.
        if timeout(max_request_time() + SLOW_READER_GRACE, closed).await.is_err() {
            log_line!("shutdown timed out with connections still open");
        }
        Ok(())
    }
}
