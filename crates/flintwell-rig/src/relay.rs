//! TCP relay with fault injection: forwards, delays, throttles, stalls or resets connections.

use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, watch};
use tokio::time::sleep;

const CHUNK_BYTES: usize = 16_384;
const REPEAT_INTERVAL: u64 = 20; // responses of a link, of which one is repeated

/// How a relay treats the connections that pass through it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkMode {
    #[default]
    #[serde(rename = "passes")]
    Pass,
    /// Holds data in both directions; open connections stay open, new ones are accepted and not forwarded.
    Cut,
    /// Forwards requests and holds responses.
    #[serde(rename = "deaf")]
    HoldResponses,
    /// Resets open and new connections.
    #[serde(rename = "resets")]
    Reset,
    /// Delays each chunk by this many ms.
    #[serde(rename = "delays")]
    Delay(f64),
    /// Forwards this many bytes per second.
    #[serde(rename = "trickles")]
    Throttle(f64),
    /// Forwards one response in `REPEAT_INTERVAL` a second time, this many ms after the first.
    #[serde(rename = "repeats")]
    Repeat(f64),
}

/// A relay in front of one address.
pub struct Relay {
    /// Address that the relay listens at.
    pub addr: SocketAddr,
    mode: Arc<watch::Sender<LinkMode>>,
    /// Incremented to silence the open connections permanently.
    silence_count: Arc<watch::Sender<u64>>,
    repeater: Arc<Repeater>,
}

/// Counts the responses of a link and those that were repeated.
#[derive(Default)]
struct Repeater {
    responses: AtomicU64,
    repeated: AtomicU64,
}

impl Repeater {
    /// Whether this response is to be repeated.
    fn draws_response(&self) -> bool {
        let number = self.responses.fetch_add(1, Ordering::Relaxed);
        let repeats = number % REPEAT_INTERVAL == REPEAT_INTERVAL - 1;
        self.repeated.fetch_add(u64::from(repeats), Ordering::Relaxed);
        repeats
    }
}

impl Relay {
    /// Forwards from a new address to `to` until the runtime shuts down.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let mode = Arc::new(watch::channel(LinkMode::Pass).0);
        let silence_count = Arc::new(watch::channel(0).0);
        let repeater = Arc::<Repeater>::default();
        let (modes, silences, repeats) = (mode.clone(), silence_count.clone(), repeater.clone());
        tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let (modes, silences) = (modes.subscribe(), silences.subscribe());
                        tokio::spawn(relay_connection(stream, to, modes, silences, repeats.clone()));
                    }
                    Err(_) => sleep(Duration::from_millis(1)).await,
                }
            }
        });
        Ok(Relay { addr, mode, silence_count, repeater })
    }

    /// Applies to open and new connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// The delay of forwarded data in the current mode, ms.
    pub fn delay_ms(&self) -> f64 {
        match *self.mode.borrow() {
            LinkMode::Delay(ms) => ms.max(0.0),
            _ => 0.0,
        }
    }

    /// The number of responses that were sent a second time.
    pub fn repeated(&self) -> u64 {
        self.repeater.repeated.load(Ordering::Relaxed)
    }

    /// Forwards nothing more on the connections that are open now and keeps them open; new connections are forwarded.
    pub fn silence_open(&self) {
        self.silence_count.send_modify(|times| *times += 1);
    }
}

/// Forwards one connection in both directions until it ends or is reset.
async fn relay_connection(
    from: TcpStream,
    to: SocketAddr,
    mut mode: watch::Receiver<LinkMode>,
    silence_count: watch::Receiver<u64>,
    repeater: Arc<Repeater>,
) {
    let (mut reset_watch, mut open_watch) = (mode.clone(), mode.clone());
    let both_directions = async {
        // While the link is cut, a new connection is accepted and not forwarded.
        let waited = open_watch.wait_for(|mode| *mode != LinkMode::Cut).await.map(|mode| *mode);
        if waited.is_err() {
            return;
        }
        let Ok(upstream) = TcpStream::connect(to).await else { return };
        let _ = (from.set_nodelay(true), upstream.set_nodelay(true));
        let ((client_read, client_write), (upstream_read, upstream_write)) =
            (from.into_split(), upstream.into_split());
        let requests = Direction {
            mode: mode.clone(),
            silence_count: silence_count.clone(),
            is_open: |mode| mode != LinkMode::Cut,
            repeater: None,
        };
        let responses = Direction {
            mode: mode.clone(),
            silence_count,
            is_open: |mode| !matches!(mode, LinkMode::Cut | LinkMode::HoldResponses),
            repeater: Some(repeater),
        };
        let requests = requests.relay(client_read, upstream_write);
        let responses = responses.relay(upstream_read, client_write);
        tokio::join!(requests, responses);
    };
    tokio::select! {
        () = both_directions => {}
        _ = reset_watch.wait_for(|mode| *mode == LinkMode::Reset) => {}
    }
    // The connection is reset if it is dropped with unread bytes.
    mode.mark_unchanged();
}

/// One direction of a connection.
struct Direction {
    mode: watch::Receiver<LinkMode>,
    silence_count: watch::Receiver<u64>,
    /// Whether data is forwarded in a mode.
    is_open: fn(LinkMode) -> bool,
    /// Of responses: which are sent a second time.
    repeater: Option<Arc<Repeater>>,
}

impl Direction {
    /// Forwards until either side ends.
    async fn relay(mut self, mut from: OwnedReadHalf, to: OwnedWriteHalf) {
        let to = Arc::new(Mutex::new(to));
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let max_read = match *self.mode.borrow() {
                LinkMode::Throttle(rate) => ((rate / 20.0) as usize).clamp(1, CHUNK_BYTES),
                _ => CHUNK_BYTES,
            };
            let Ok(count) = from.read(&mut buffer[..max_read]).await else { return };
            if self.silence_count.has_changed().unwrap_or(true) {
                // Silenced: the connection stays open, this data is discarded and no more is read.
                std::future::pending::<()>().await;
            }
            let is_open = self.is_open;
            let mode_now = match self.mode.wait_for(|mode| is_open(*mode)).await {
                Ok(mode) => *mode,
                Err(_) => return,
            };
            match mode_now {
                LinkMode::Delay(ms) => sleep(milliseconds(ms)).await,
                LinkMode::Throttle(_) => sleep(Duration::from_millis(50)).await,
                _ => {}
            }
            if count == 0 {
                // End of this direction: half-close the other side.
                let _ = to.lock().await.shutdown().await;
                return;
            }
            if to.lock().await.write_all(&buffer[..count]).await.is_err() {
                return;
            }
            if let LinkMode::Repeat(ms) = mode_now {
                self.repeat_later(&buffer[..count], &to, milliseconds(ms));
            }
        }
    }

    /// Sends the response a second time after a delay, if it is one of those to repeat.
    fn repeat_later(&self, response: &[u8], to: &Arc<Mutex<OwnedWriteHalf>>, delay: Duration) {
        if !self.repeater.as_ref().is_some_and(|repeater| repeater.draws_response()) {
            return;
        }
        let (response, to) = (response.to_vec(), Arc::downgrade(to));
        tokio::spawn(async move {
            sleep(delay).await;
            // The connection may have ended meanwhile.
            if let Some(to) = to.upgrade() {
                let _ = to.lock().await.write_all(&response).await;
            }
        });
    }
}

fn milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}
