//! Graceful shutdown in phases. First, every response closes its connection while new clients are still accepted. Then
//! idle connections are closed while the listener stays open, so that a request that crosses the close can be sent
//! again on a new connection. Then the listener is closed, and the remaining requests are completed. If another process
//! serves the same listening socket, the listener is closed at once; with a successor the idle connections, too.

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

/// Which other process serves the clients' listening socket when this one shuts down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SocketServer {
    #[default]
    None,
    /// An older process, beside which this one was started.
    Older,
    /// A younger process, which takes over responses and requests.
    Successor,
}

/// Observer of the shutdown; cheap to clone.
#[derive(Clone)]
pub struct Shutdown {
    phases: watch::Receiver<Phase>,
    socket_server: Rc<Cell<SocketServer>>,
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
        if !self.is_socket_served() {
            self.wait_for_phase(Phase::ListenerClosed).await;
        }
    }
    /// Whether another process serves the same listening socket. Connections still in the accept queue then belong to
    /// that process: one that is accepted or inspected here during shutdown would be lost with this process.
    pub fn is_socket_served(&self) -> bool {
        self.socket_server.get() != SocketServer::None
    }
    /// Whether a successor serves the same listening socket.
    pub fn has_successor(&self) -> bool {
        self.socket_server.get() == SocketServer::Successor
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
    socket_server: Rc<Cell<SocketServer>>,
    successor: Rc<OnceCell<Rc<Successor>>>,
}

/// Creates the controller of the shutdown and its observer.
pub fn channel() -> (ShutdownController, Shutdown) {
    let (sender, receiver) = watch::channel(Phase::Serving);
    let (socket_server, successor) = (Rc::<Cell<SocketServer>>::default(), Rc::default());
    let shutdown =
        Shutdown { phases: receiver, socket_server: socket_server.clone(), successor: Rc::clone(&successor) };
    (ShutdownController { phases: sender, socket_server, successor }, shutdown)
}

impl ShutdownController {
    /// Waits for SIGTERM or SIGINT, then runs the shutdown to its end. `accepting` completes once the listener is
    /// closed, client connections hold permits of `client_permits` (`connections` in total), and no request is in
    /// flight for longer than `max_request_time`. `socket_server` is evaluated at the signal; if there is a successor,
    /// `successor` connects to it, so that it takes over streamed responses.
    pub async fn run(
        self,
        accepting: JoinHandle<()>,
        client_permits: Arc<Semaphore>,
        connections: u32,
        max_request_time: impl FnOnce() -> Duration,
        socket_server: impl FnOnce() -> SocketServer,
        successor: impl AsyncFnOnce() -> Option<Successor>,
    ) -> std::io::Result<()> {
        let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        let socket_server = socket_server();
        if socket_server == SocketServer::Successor {
            // Shutdown begins only after this: a request refused while we still accept connections would be sent to us
            // again.
            successor().await.map(|successor| self.successor.set(Rc::new(successor)));
        }
        self.socket_server.set(socket_server);
        log_line!(
            "shutting down{}",
            match socket_server {
                SocketServer::None => "",
                SocketServer::Older => "; an older process serves the socket",
                SocketServer::Successor => "; a successor serves the socket",
            }
        );
        self.phases.send_replace(Phase::Draining);
        // With a successor no connections are accepted from here on, since a long response to a later request would be
        // cut off by SIGKILL; the successor accepts them instead.
        let accept_grace =
            if socket_server == SocketServer::Successor { Duration::ZERO } else { ACCEPT_GRACE };
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
