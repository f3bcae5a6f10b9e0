//! Short messages between proxies, over UDP; each may be lost.

use crate::desk::Desk;
use crate::say;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;

const MESSAGE_MOST: usize = 256; // bytes; the protocol's limit
const PAUSE: Duration = Duration::from_millis(10); // after a failed read, so that it never spins

pub struct Peers {
    socket: UdpSocket,
    addrs: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, u32>,
}

impl Peers {
    pub async fn open(listen: SocketAddr, addrs: Vec<SocketAddr>) -> std::io::Result<Self> {
        let numbers = addrs.iter().copied().zip(0..).collect();
        Ok(Peers { socket: UdpSocket::bind(listen).await?, addrs, numbers })
    }

    pub fn tell(&self, peer: u32, body: &str) {
        let Some(addr) = self.addrs.get(peer as usize) else { return };
        if body.len() > MESSAGE_MOST {
            return say!("a message of {} bytes to peer {peer} is too long", body.len());
        }
        // A message that does not fit now is lost, as any may be.
        let _ = self.socket.try_send_to(body.as_bytes(), *addr);
    }

    pub async fn listen(&self, desk: &Desk) {
        let mut buffer = [0; MESSAGE_MOST + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) if length <= MESSAGE_MOST => {
                    let body = std::str::from_utf8(&buffer[..length]);
                    match (self.numbers.get(&from), body) {
                        (Some(&peer), Ok(body)) => desk.peer_message(peer, body),
                        _ => say!("a message from {from} is not understood"),
                    }
                }
                Ok((_, from)) => say!("a message from {from} is too long"),
                Err(error) => {
                    say!("peer messages: {error}");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }
}
