//! Reloads the configuration file on SIGHUP and applies the discovery address, the only value that may change while
//! serving.

use crate::log_line;
use crate::process::config;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::sleep;

const RETRY_INTERVAL: Duration = Duration::from_millis(200); // well within the lease on the node list

/// Reloads the file at each signal. In-flight requests, connections and learned state are kept.
pub async fn on_signal(hangup: &mut Signal, path: &Path, discovery: &watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        reload(hangup, path, discovery).await;
    }
}

/// Retries until the file can be read. An invalid or partly written file must not stop a proxy that is serving, and a
/// transient read failure (file being renamed, no free descriptor) must not leave the proxy with the old discovery
/// address permanently.
async fn reload(hangup: &mut Signal, path: &Path, discovery: &watch::Sender<SocketAddr>) {
    let mut error_logged = false;
    loop {
        match config::load(path) {
            Ok(config) => {
                log_line!("configuration reloaded; discovery at {}", config.discovery);
                discovery
                    .send_if_modified(|addr| std::mem::replace(addr, config.discovery) != config.discovery);
                return;
            }
            Err(error) if !error_logged => {
                log_line!("configuration reload failed, keeping the previous one and retrying: {error}");
                error_logged = true;
            }
            Err(_) => {}
        }
        tokio::select! {
            // Log the error again for each further SIGHUP.
            _ = hangup.recv() => error_logged = false,
            () = sleep(RETRY_INTERVAL) => {}
        }
    }
}
