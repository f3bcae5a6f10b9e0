//! Graceful shutdown in phases. First, every response closes its connection while new clients are still accepted. Then
//! idle connections are closed while the listener stays open, so that a request that crosses the close can be sent
//! again on a new connection. Then the listener is closed, and the remaining requests are completed. With a successor
//! on the same listening socket, the listener and idle connections are closed at once.

use crate::process::handover::Successor;
use crate::log_line;
use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

const CALM: Duration = Duration::from_millis(450); // clients still connect for a while after the signal
const LISTENER: Duration = Duration::from_millis(100); // for a request sent again after its idle connection closed
const LATE: Duration = Duration::from_millis(50); // for the first request on the last accepted connections
const READS: Duration = Duration::from_secs(60); // beyond the longest deadline, for clients that read slowly

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    Begun,
    IdleClosed,
    ListenerClosed,
    AllClosed,
}

/// Observer of the shutdown; cheap to clone.
#[derive(Clone)]
pub struct Shutdown {
    phases: watch::Receiver<Phase>,
    succeeded: Rc<Cell<bool>>,
    successor: Rc<OnceCell<Rc<Successor>>>,
}

impl Shutdown {
    /// Whether shutdown has begun, so that each response is the last on its connection.
    pub fn has_begun(&self) -> bool {
        *self.phases.borrow() > Phase::Serving
    }
    /// Waits until the listener has to be closed.
    pub async fn listener_closed(&self) {
        self.reached(Phase::Begun).await;
        if !self.succeeded.get() {
            self.reached(Phase::ListenerClosed).await;
        }
    }
    /// Whether a successor serves the same listening socket. Connections still in the accept queue then belong to the
    /// successor: one that is accepted or inspected here during shutdown would be lost with this process.
    pub fn has_successor(&self) -> bool {
        self.succeeded.get()
    }
    /// Completes when a connection accepted now has to be closed if idle. A request that crosses this close is sent
    /// again on a new connection and is lost if the listener is already closed. So connections accepted late, while
    /// idle ones are already being closed, stay open until the last phase.
    pub fn idle_closed(&self) -> impl Future<Output = ()> + use<> {
        let late = *self.phases.borrow() >= Phase::IdleClosed;
        let (shutdown, phase) = (self.clone(), if late { Phase::AllClosed } else { Phase::IdleClosed });
        async move { shutdown.reached(phase).await }
    }
    /// Waits for shutdown and returns the successor that takes over streamed responses; never completes without one.
    pub async fn successor(&self) -> Rc<Successor> {
        self.reached(Phase::Begun).await;
        match self.successor.get() {
            Some(successor) => successor.clone(),
            None => std::future::pending().await,
        }
    }
    async fn reached(&self, least: Phase) {
        // An error means that the sender is gone, after the last phase.
        let _ = self.phases.clone().wait_for(|phase| *phase >= least).await;
    }
}

/// Runs the shutdown and publishes its phases.
pub struct Stop {
    phases: watch::Sender<Phase>,
    succeeded: Rc<Cell<bool>>,
    successor: Rc<OnceCell<Rc<Successor>>>,
}

/// Creates the controller of the shutdown and its observer.
pub fn new() -> (Stop, Shutdown) {
    let (sender, receiver) = watch::channel(Phase::Serving);
    let (succeeded, successor) = (Rc::<Cell<bool>>::default(), Rc::default());
    let shutdown =
        Shutdown { phases: receiver, succeeded: succeeded.clone(), successor: Rc::clone(&successor) };
    (Stop { phases: sender, succeeded, successor }, shutdown)
}

impl Stop {
    /// Waits for SIGTERM or SIGINT, then runs the shutdown to its end. `accepting` completes once the listener is
    /// closed, client connections hold permits of `room` (`connections` in total), and no request is in flight for
    /// longer than `longest`. `has_successor` is evaluated at the signal; if it is true, `successor` connects to the
    /// process that takes over streamed responses.
    pub async fn on_signal(
        self,
        accepting: JoinHandle<()>,
        room: Arc<Semaphore>,
        connections: u32,
        longest: impl FnOnce() -> Duration,
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
            self.succeeded.set(true);
        }
        log_line!("shutting down{}", if self.succeeded.get() { "; a successor serves the socket" } else { "" });
        self.phases.send_replace(Phase::Begun);
        // With a successor no connections are accepted from here on, since a long response to a later request would be
        // cut off by SIGKILL; the successor accepts them instead.
        let calm = if self.succeeded.get() { Duration::ZERO } else { CALM };
        for (wait, phase) in
            [(calm, Phase::IdleClosed), (LISTENER, Phase::ListenerClosed), (LATE, Phase::AllClosed)]
        {
            sleep(wait).await;
            self.phases.send_replace(phase);
        }
        let rest = async {
            // Acquiring the permits earlier would leave none for the last accepted connections.
            let _ = accepting.await;
            let _ = room.acquire_many(connections).await;
        };
        // The extra time keeps a long response from being cut off while its client still reads it.
        if timeout(longest() + READS, rest).await.is_err() {
            log_line!("shutdown timed out with connections still open");
        }
        Ok(())
    }
}
