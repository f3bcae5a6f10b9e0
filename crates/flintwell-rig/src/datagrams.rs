//! What one proxy hears of the others, datagram by datagram: passed on, lost, doubled, late or cut, by who sends.

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

const LONGEST: usize = 2_048; // bytes of one; far above any that are sent

/// What becomes of datagrams from one proxy to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DatagramMode {
    #[default]
    #[serde(rename = "passes")]
    Pass,
    Cut,
    /// This share is lost.
    #[serde(rename = "loses")]
    Drop(f64),
    /// This share comes twice.
    #[serde(rename = "doubles")]
    Duplicate(f64),
    /// Each comes up to so many ms later, so that they overtake one another.
    #[serde(rename = "delays")]
    Delay(f64),
}

/// In front of one proxy's address for words.
pub struct DatagramRelay {
    pub addr: SocketAddr,
    ways: Arc<Mutex<HashMap<SocketAddr, DatagramMode>>>,
}

impl DatagramRelay {
    /// From an address of its own to `to`, until the runtime ends; what it loses and doubles is drawn by `seed`.
    pub async fn start(to: SocketAddr, seed: u64) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let addr = socket.local_addr()?;
        let ways: Arc<Mutex<HashMap<SocketAddr, DatagramMode>>> = Arc::default();
        let told = ways.clone();
        tokio::spawn(async move {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut buffer = [0; LONGEST];
            loop {
                // An error is another's answer to what we passed on to one who is gone.
                let Ok((bytes, from)) = socket.recv_from(&mut buffer).await else { continue };
                let way = told.lock().unwrap_or_else(PoisonError::into_inner).get(&from).copied();
                let (copies, late) = match way.unwrap_or_default() {
                    DatagramMode::Pass => (1, 0.0),
                    DatagramMode::Cut => (0, 0.0),
                    DatagramMode::Drop(share) => (usize::from(rng.random::<f64>() >= share), 0.0),
                    DatagramMode::Duplicate(share) => (1 + usize::from(rng.random::<f64>() < share), 0.0),
                    DatagramMode::Delay(most) => (1, rng.random::<f64>() * most.max(0.0)),
                };
                for _ in 0..copies {
                    if late > 0.0 {
                        let (socket, datagram) = (socket.clone(), buffer[..bytes].to_vec());
                        tokio::spawn(async move {
                            sleep(Duration::from_secs_f64(late / 1e3)).await;
                            let _ = socket.send_to(&datagram, to).await;
                        });
                    } else {
                        let _ = socket.send_to(&buffer[..bytes], to).await;
                    }
                }
            }
        });
        Ok(DatagramRelay { addr, ways })
    }

    pub fn set_mode(&self, from: SocketAddr, way: DatagramMode) {
        self.ways.lock().unwrap_or_else(PoisonError::into_inner).insert(from, way);
    }
}
