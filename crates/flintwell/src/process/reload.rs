//! SIGHUP: the configuration file is read anew, and what may change while we serve is passed on.

use crate::process::config;
use crate::say;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::sleep;

const AGAIN: Duration = Duration::from_millis(200); // between readings of a file that can't be used; well within a list's lease

/// Reads the file at each signal. Requests in hand, connections and all that was learned are kept.
pub async fn on_signal(hangup: &mut Signal, path: &Path, discovery: &watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        read_anew(hangup, path, discovery).await;
    }
}

/// Danger: a file half written, or wrong, would take a proxy down that serves well; and one that could not be read just then,
/// for a rename or for want of a descriptor, would leave it with the old discovery for good.
async fn read_anew(hangup: &mut Signal, path: &Path, discovery: &watch::Sender<SocketAddr>) {
    let mut told = false;
    loop {
        match config::read(path) {
            Ok(config) => {
                say!("configuration read anew, discovery at {}", config.discovery);
                discovery
                    .send_if_modified(|addr| std::mem::replace(addr, config.discovery) != config.discovery);
                return;
            }
            Err(error) if !told => {
                say!("configuration not read anew, the old one stays until it can be: {error}");
                told = true;
            }
            Err(_) => {}
        }
        tokio::select! {
            // Whoever sends it once more is told once more.
            _ = hangup.recv() => told = false,
            () = sleep(AGAIN) => {}
        }
    }
}
