//! UDP relay with fault injection per sender: forwards, drops, duplicates or delays the datagrams to one proxy.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

const MAX_DATAGRAM_BYTES: usize = 2_048; // well above the size of any datagram sent

/// How the datagrams from one proxy to another are treated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DatagramMode {
    #[default]
    #[serde(rename = "passes")]
    Pass,
    /// Drops all.
    Cut,
    /// Drops this share.
    #[serde(rename = "loses")]
    Drop(f64),
    /// Forwards this share twice.
    #[serde(rename = "doubles")]
    Duplicate(f64),
    /// Delays each datagram by a random time up to this many ms, which reorders them.
    #[serde(rename = "delays")]
    Delay(f64),
}

/// A relay in front of one proxy's address for peer messaging.
pub struct DatagramRelay {
    pub addr: SocketAddr,
    modes: Arc<Mutex<HashMap<SocketAddr, DatagramMode>>>,
}

impl DatagramRelay {
    /// Forwards from a new address to `to` until the runtime shuts down. `seed` determines the random faults.
    pub async fn start(to: SocketAddr, seed: u64) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let addr = socket.local_addr()?;
        let modes: Arc<Mutex<HashMap<SocketAddr, DatagramMode>>> = Arc::default();
        let current_modes = modes.clone();
        tokio::spawn(async move {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut buffer = [0; MAX_DATAGRAM_BYTES];
            loop {
                // An error reports that the target of an earlier datagram is unreachable (ICMP).
                let Ok((bytes, from)) = socket.recv_from(&mut buffer).await else { continue };
                let mode = current_modes.lock().unwrap_or_else(PoisonError::into_inner).get(&from).copied();
                let (copies, delay_ms) = match mode.unwrap_or_default() {
                    DatagramMode::Pass => (1, 0.0),
                    DatagramMode::Cut => (0, 0.0),
                    DatagramMode::Drop(share) => (usize::from(rng.random::<f64>() >= share), 0.0),
                    DatagramMode::Duplicate(share) => (1 + usize::from(rng.random::<f64>() < share), 0.0),
                    DatagramMode::Delay(max_ms) => (1, rng.random::<f64>() * max_ms.max(0.0)),
                };
                for _ in 0..copies {
                    if delay_ms > 0.0 {
                        let (socket, datagram) = (socket.clone(), buffer[..bytes].to_vec());
                        tokio::spawn(async move {
                            sleep(Duration::from_secs_f64(delay_ms / 1e3)).await;
                            let _ = socket.send_to(&datagram, to).await;
                        });
                    } else {
                        let _ = socket.send_to(&buffer[..bytes], to).await;
                    }
                }
            }
        });
        Ok(DatagramRelay { addr, modes })
    }

    /// Sets the mode for datagrams from this sender.
    pub fn set_mode(&self, from: SocketAddr, mode: DatagramMode) {
        self.modes.lock().unwrap_or_else(PoisonError::into_inner).insert(from, mode);
    }
}
