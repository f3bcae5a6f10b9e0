//! Accepts clients' connections, as many as there is room for, and serves each until it ends.

use crate::front::Front;
use crate::say;
use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::Response;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::any::Any;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tower::ServiceBuilder;
use tower_http::catch_panic::CatchPanicLayer;

const BACKLOG: u32 = 1_024; // connections; those waiting while accept pauses at the limit
const HEAD_WITHIN: Duration = Duration::from_secs(60); // a connection with no access for this long is closed
const BUFFER: usize = 16_384; // bytes a connection reads ahead at most; far more than a head holds
const PAUSE: Duration = Duration::from_millis(50); // after accept failed, so that it never spins

pub fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A proxy that starts again finds its address free, though old connections linger.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Accepts until shutdown closes the door; then takes in what still stands before it.
pub async fn accept(listener: TcpListener, room: Arc<Semaphore>, front: Front) {
    let shutdown = front.shutdown.clone();
    loop {
        let next = async {
            // At the limit accept pauses; the rest waits in the backlog.
            let permit = room.clone().acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            next = next => next,
            () = shutdown.door_closed() => break,
        };
        let Ok(permit) = permit else { return };
        match accepted {
            Ok((stream, _)) => admit(stream, permit, front.clone()),
            Err(error) => {
                say!("accept: {error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    // Danger: a connection that the machine has accepted for us may hold an access already.
    while let (Ok(permit), Some(Ok((stream, _)))) =
        (room.clone().try_acquire_owned(), listener.accept().now_or_never())
    {
        admit(stream, permit, front.clone());
    }
}

fn admit(stream: TcpStream, permit: OwnedSemaphorePermit, front: Front) {
    let shutdown = front.shutdown.clone();
    let stack = ServiceBuilder::new().layer(CatchPanicLayer::custom(panicked)).service(front);
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(HEAD_WITHIN).max_buf_size(BUFFER);
    tokio::task::spawn_local(async move {
        let _permit = permit;
        if let Err(error) = stream.set_nodelay(true) {
            say!("a client's connection: {error}");
        }
        let mut connection =
            std::pin::pin!(http.serve_connection(TokioIo::new(stream), TowerToHyperService::new(stack)));
        // Whether a client's connection ended well or badly, the access on it was told by its seat.
        tokio::select! {
            _ = connection.as_mut() => return,
            () = shutdown.door_closed() => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    });
}

/// A panic stops here: the access it struck is broken off, the others go on.
fn panicked(_: Box<dyn Any + Send>) -> Response<Full<Bytes>> {
    crate::answer::Answer::BrokenOff.encode(true)
}
