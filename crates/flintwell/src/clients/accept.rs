//! Accepts client connections up to the connection limit.

use crate::clients::connection_table::ConnectionTable;
use crate::clients::serve_connection::spawn_connection;
use crate::log_line;
use crate::requests::service::ClientService;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::timeout;

const RETRY_DELAY: Duration = Duration::from_millis(50); // after a failed accept, to avoid a busy loop
const BACKLOG_WAIT: Duration = Duration::from_millis(5); // for a connection left in the backlog at the end
// For all of them: the backlog goes on filling while the socket is open, and those accepted last need time for a request.
const BACKLOG_DRAIN_TIMEOUT: Duration = Duration::from_millis(20);

/// Accepts connections until shutdown closes the listener, then accepts what is left in the backlog.
pub async fn accept_connections(listener: &TcpListener, permits: &Arc<Semaphore>, service: &ClientService) {
    let shutdown = service.shutdown.clone();
    let table = ConnectionTable::new(permits.available_permits());
    loop {
        let next = async {
            // At the connection limit accepting pauses, and new connections wait in the backlog.
            let permit = table.acquire_permit(permits).await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            // Checked first: a client that was refused during shutdown and retries must not be accepted and refused
            // by this process again.
            biased;
            () = shutdown.listener_closed() => break,
            next = next => next,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(stream, permit, service.clone(), &table),
            Err(error) => {
                log_line!("accepting a client connection failed: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
    // A connection in the backlog, accepted by the kernel already, may hold a request that would be lost.
    let drain_until = Instant::now() + BACKLOG_DRAIN_TIMEOUT;
    while !shutdown.is_socket_served()
        && Instant::now() < drain_until
        && let Ok(Ok((stream, _))) = timeout(BACKLOG_WAIT, listener.accept()).await
    {
        spawn_connection(stream, table.acquire_permit(permits).await, service.clone(), &table);
    }
}
