//! Listening sockets.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};

const LISTEN_BACKLOG: u32 = 1_024; // connections that wait while accepting pauses at the connection limit
const RETRY_DELAY: Duration = Duration::from_millis(50); // after a failed bind or accept, to avoid a busy loop
// For the previous process to release the address; after that it is too late for a start.
const BIND_TIMEOUT: Duration = Duration::from_secs(25);

/// Listens on the address, and retries for a while if a previous process still holds it.
pub async fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let start = Instant::now();
    loop {
        match bind(addr) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && start.elapsed() < BIND_TIMEOUT => {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Allows binding after a restart while old connections are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}
