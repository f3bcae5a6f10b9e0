//! One path between two parties, over which we have the say: it passes on, delays, falls silent or breaks.

use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

const PIECE: usize = 16_384; // bytes that one read passes on

/// What a path does with what comes over it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkMode {
    #[default]
    #[serde(rename = "passes")]
    Pass,
    /// Nothing goes either way; open connections stay open and silent, new ones come up and say nothing.
    Cut,
    /// What is asked arrives, what is answered does not.
    #[serde(rename = "deaf")]
    HoldResponses,
    /// Open connections are reset, new ones too.
    #[serde(rename = "resets")]
    Reset,
    /// Each piece comes so many ms later.
    #[serde(rename = "delays")]
    Delay(f64),
    /// So many bytes a second.
    #[serde(rename = "trickles")]
    Throttle(f64),
}

pub struct Relay {
    pub addr: SocketAddr,
    way: Arc<watch::Sender<LinkMode>>,
    /// Raised when what is open falls silent for good.
    hushed: Arc<watch::Sender<u64>>,
}

impl Relay {
    /// From an address of its own to `to`, until the runtime ends.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let way = Arc::new(watch::channel(LinkMode::Pass).0);
        let hushed = Arc::new(watch::channel(0).0);
        let (told, silenced) = (way.clone(), hushed.clone());
        tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let (told, silenced) = (told.subscribe(), silenced.subscribe());
                        tokio::spawn(joined(stream, to, told, silenced));
                    }
                    Err(_) => sleep(Duration::from_millis(1)).await,
                }
            }
        });
        Ok(Relay { addr, way, hushed })
    }

    pub fn set_mode(&self, way: LinkMode) {
        self.way.send_replace(way);
    }

    /// How long what was sent is still on its way, ms.
    pub fn delay_ms(&self) -> f64 {
        match *self.way.borrow() {
            LinkMode::Delay(ms) => ms.max(0.0),
            _ => 0.0,
        }
    }

    /// Connections open now stay open and say nothing more, either way; new ones pass.
    pub fn silence_open(&self) {
        self.hushed.send_modify(|times| *times += 1);
    }
}

async fn joined(
    from: TcpStream,
    to: SocketAddr,
    mut way: watch::Receiver<LinkMode>,
    hushed: watch::Receiver<u64>,
) {
    let (mut resets, mut opens) = (way.clone(), way.clone());
    let both = async {
        // Over a path that is cut a new connection reaches nobody.
        let open = opens.wait_for(|way| *way != LinkMode::Cut).await.map(|way| *way);
        if open.is_err() {
            return;
        }
        let Ok(there) = TcpStream::connect(to).await else { return };
        let _ = (from.set_nodelay(true), there.set_nodelay(true));
        let ((from_read, from_write), (there_read, there_write)) = (from.into_split(), there.into_split());
        let asked = passes(from_read, there_write, way.clone(), hushed.clone(), |way| way != LinkMode::Cut);
        let answered = passes(there_read, from_write, way.clone(), hushed, |way| {
            !matches!(way, LinkMode::Cut | LinkMode::HoldResponses)
        });
        tokio::join!(asked, answered);
    };
    tokio::select! {
        () = both => {}
        _ = resets.wait_for(|way| *way == LinkMode::Reset) => {}
    }
    // Dropped with bytes unread, a connection is reset.
    way.mark_unchanged();
}

async fn passes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut way: watch::Receiver<LinkMode>,
    hushed: watch::Receiver<u64>,
    open: fn(LinkMode) -> bool,
) {
    let mut piece = vec![0; PIECE];
    loop {
        let most = match *way.borrow() {
            LinkMode::Throttle(rate) => ((rate / 20.0) as usize).clamp(1, PIECE),
            _ => PIECE,
        };
        let Ok(read) = from.read(&mut piece[..most]).await else { return };
        if hushed.has_changed().unwrap_or(true) {
            // Held open, and nothing more is read of it.
            std::future::pending::<()>().await;
        }
        let now = match way.wait_for(|way| open(*way)).await {
            Ok(way) => *way,
            Err(_) => return,
        };
        match now {
            LinkMode::Delay(ms) => sleep(Duration::from_secs_f64(ms.max(0.0) / 1e3)).await,
            LinkMode::Throttle(_) => sleep(Duration::from_millis(50)).await,
            _ => {}
        }
        if read == 0 {
            // One side has said all it had.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&piece[..read]).await.is_err() {
            return;
        }
    }
}
