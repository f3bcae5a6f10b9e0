//! A planned stop, in two steps: first every answer closes its connection while clients still come, then the
//! door closes and what is in hand is answered.

use crate::say;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, timeout};

const DOOR: Duration = Duration::from_millis(600); // after the signal; clients come for some tenths of a second
const REST: Duration = Duration::from_secs(10); // for what is in hand then; its outer limits end it sooner

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    Begun,
    DoorClosed,
}

#[derive(Clone)]
pub struct Shutdown(watch::Receiver<Phase>);

impl Shutdown {
    /// Whether each answer is now the last on its connection.
    pub fn begun(&self) -> bool {
        *self.0.borrow() > Phase::Serving
    }
    pub async fn door_closed(&self) {
        // An error means that the phases are over, and the door closed with them.
        let _ = self.0.clone().wait_for(|phase| *phase == Phase::DoorClosed).await;
    }
}

pub struct Stop(watch::Sender<Phase>);

pub fn new() -> (Stop, Shutdown) {
    let (sender, receiver) = watch::channel(Phase::Serving);
    (Stop(sender), Shutdown(receiver))
}

impl Stop {
    /// Waits for the signal, then sees the stop through. `room` is what clients' connections hold a part of.
    pub async fn on_signal(self, room: Arc<Semaphore>, connections: u32) -> std::io::Result<()> {
        let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        say!("stopping");
        self.0.send_replace(Phase::Begun);
        sleep(DOOR).await;
        self.0.send_replace(Phase::DoorClosed);
        // Lets the door's last arrivals in before counting who is left.
        sleep(Duration::from_millis(1)).await;
        if timeout(REST, room.acquire_many(connections)).await.is_err() {
            say!("stopped with connections still open");
        }
        Ok(())
    }
}
