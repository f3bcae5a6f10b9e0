//! A planned stop, in steps: every answer closes its connection while clients still come; idle connections
//! are closed while what crosses that can come again on a new one; the listener closes; the rest is answered. With
//! a successor at the same socket the listener and idle connections are closed at once.

use crate::process::handover::Successor;
use crate::say;
use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

const CALM: Duration = Duration::from_millis(450); // after the signal; clients still come for a while
const LISTENER: Duration = Duration::from_millis(100); // more; the way of a request that comes again
const LATE: Duration = Duration::from_millis(50); // more; for the first request of the last connections
const READS: Duration = Duration::from_secs(60); // beyond the longest deadline, for clients that read slowly

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    Begun,
    IdleClosed,
    ListenerClosed,
    AllClosed,
}

#[derive(Clone)]
pub struct Shutdown {
    phases: watch::Receiver<Phase>,
    succeeded: Rc<Cell<bool>>,
    successor: Rc<OnceCell<Rc<Successor>>>,
}

impl Shutdown {
    /// Whether each answer is now the last on its connection.
    pub fn begun(&self) -> bool {
        *self.phases.borrow() > Phase::Serving
    }
    pub async fn listener_closed(&self) {
        self.reached(Phase::Begun).await;
        if !self.succeeded.get() {
            self.reached(Phase::ListenerClosed).await;
        }
    }
    /// Whether what still stands before the listener is another's. Danger: taken in late, or looked at while it
    /// closes, it would be lost with us.
    pub fn succeeded(&self) -> bool {
        self.succeeded.get()
    }
    /// When a connection accepted now is closed if idle. Danger: a request that crosses the closing, and
    /// finds the listener closed when it comes again, is lost.
    pub fn idle_closed(&self) -> impl Future<Output = ()> + use<> {
        let late = *self.phases.borrow() >= Phase::IdleClosed;
        let (shutdown, phase) = (self.clone(), if late { Phase::AllClosed } else { Phase::IdleClosed });
        async move { shutdown.reached(phase).await }
    }
    /// The successor that takes over long answers, once we stop; waits for ever where there is none.
    pub async fn successor(&self) -> Rc<Successor> {
        self.reached(Phase::Begun).await;
        match self.successor.get() {
            Some(successor) => successor.clone(),
            None => std::future::pending().await,
        }
    }
    async fn reached(&self, least: Phase) {
        // An error means that the phases are over.
        let _ = self.phases.clone().wait_for(|phase| *phase >= least).await;
    }
}

pub struct Stop {
    phases: watch::Sender<Phase>,
    succeeded: Rc<Cell<bool>>,
    successor: Rc<OnceCell<Rc<Successor>>>,
}

pub fn new() -> (Stop, Shutdown) {
    let (sender, receiver) = watch::channel(Phase::Serving);
    let (succeeded, successor) = (Rc::<Cell<bool>>::default(), Rc::default());
    let shutdown =
        Shutdown { phases: receiver, succeeded: succeeded.clone(), successor: Rc::clone(&successor) };
    (Stop { phases: sender, succeeded, successor }, shutdown)
}

impl Stop {
    /// Waits for the signal, then sees the stop through: `accepting` ends once the listener is closed, clients'
    /// connections hold a part of `room`, and none has a request in hand for longer than `longest`. Whether
    /// another process goes on at our socket is asked at the signal, and then whether it takes over.
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
            // Danger: while it is met we go on as ever, or what is refused would come to us again.
            successor().await.map(|successor| self.successor.set(Rc::new(successor)));
            self.succeeded.set(true);
        }
        say!("stopping{}", if self.succeeded.get() { ", another goes on" } else { "" });
        self.phases.send_replace(Phase::Begun);
        // Danger: a long answer to what is taken from now on is cut off by SIGKILL; so it goes to the successor.
        let calm = if self.succeeded.get() { Duration::ZERO } else { CALM };
        for (wait, phase) in
            [(calm, Phase::IdleClosed), (LISTENER, Phase::ListenerClosed), (LATE, Phase::AllClosed)]
        {
            sleep(wait).await;
            self.phases.send_replace(phase);
        }
        let rest = async {
            // Danger: counting who is left before the last are let in would leave those no room.
            let _ = accepting.await;
            let _ = room.acquire_many(connections).await;
        };
        // Danger: a long answer that its client still reads would be cut off by us.
        if timeout(longest() + READS, rest).await.is_err() {
            say!("stopped with connections still open");
        }
        Ok(())
    }
}
