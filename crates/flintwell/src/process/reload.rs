//! SIGHUP: the configuration file is read anew, and what may change while we serve is passed on.

use crate::process::config;
use crate::say;
use std::net::SocketAddr;
use std::path::Path;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Reads the file at each signal. Requests in hand, connections and all that was learned are kept.
pub async fn on_signal(hangup: &mut Signal, path: &Path, discovery: &watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        match config::read(path) {
            Ok(config) => {
                say!("configuration read anew, discovery at {}", config.discovery);
                discovery
                    .send_if_modified(|addr| std::mem::replace(addr, config.discovery) != config.discovery);
            }
            // Danger: a file half written, or wrong, would take a proxy down that serves well.
            Err(error) => say!("configuration not read anew, the old one stays: {error}"),
        }
    }
}
