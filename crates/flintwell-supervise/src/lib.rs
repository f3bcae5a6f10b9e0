//! `flintwell supervise`: holds the listening socket for clients and runs the program on it. A new version is started
//! next to the running one and takes over once it is ready; if it does not become ready, the running one stays.
//! Versions are rolled out with the same messages as settings, so one rollout mechanism serves both.

mod child;
mod control;
mod http;
mod lifecycle;
mod supervisor;

use crate::supervisor::{POLL_INTERVAL, Supervisor, check_change};
use flintwell_rollout::member::Member;
use flintwell_state::RecordStore;
use serde::Deserialize;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

/// Connections of clients that wait until a process accepts them.
const CLIENT_BACKLOG: i32 = 1_024;

/// The configuration, a TOML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub name: String,
    pub fleet: String,
    /// A persistent folder that only this supervisor uses.
    pub state: PathBuf,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address for the rollout API of the supervisor.
    pub control: SocketAddr,
    /// Management addresses that successive processes alternate between, since two run during a takeover. While more
    /// processes overlap, further ones take free ports beside the first address.
    pub management: [SocketAddr; 2],
    /// The initial version of the program.
    pub program: PathBuf,
    /// The configuration file of the program.
    pub config: PathBuf,
    /// Time limit for a new process to become ready, in seconds.
    #[serde(default = "default_ready_within_s")]
    pub ready_within_s: f64,
}

/// The time that the operators' platform gives a new process.
fn default_ready_within_s() -> f64 {
    6.0
}

impl Settings {
    /// Reads and validates a configuration file.
    pub fn read(file: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        let settings: Settings = toml::from_str(&text).map_err(|error| {
            let at = error.span().map_or(0, |span| span.start).min(text.len());
            let line = text[..at].matches('\n').count() + 1;
            format!("{}:{line}: {}", file.display(), error.message())
        })?;
        if !(0.1..=600.0).contains(&settings.ready_within_s) {
            return Err(format!("{}: ready_within_s must be a number from 0.1 to 600", file.display()));
        }
        let addresses = [settings.listen, settings.control, settings.management[0], settings.management[1]];
        if (1..addresses.len()).any(|n| addresses[..n].contains(&addresses[n])) {
            return Err(format!(
                "{}: listen, control and both management addresses must differ",
                file.display()
            ));
        }
        Ok(settings)
    }
}

/// Runs the supervisor until SIGTERM or SIGINT.
pub fn supervise(file: &Path) -> Result<(), String> {
    let settings = Settings::read(file)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| error.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, run(settings))
}

async fn run(settings: Settings) -> Result<(), String> {
    let signals =
        signal(SignalKind::terminate()).and_then(|term| Ok((term, signal(SignalKind::interrupt())?)));
    let (mut terminate, mut interrupt) = signals.map_err(|error| format!("signals: {error}"))?;
    let socket = listen(settings.listen).map_err(|error| format!("listen {}: {error}", settings.listen))?;
    let control = TcpListener::bind(settings.control).await;
    let control = control.map_err(|error| format!("control {}: {error}", settings.control))?;
    let store = RecordStore::open(&settings.state)?;
    let configured = json!({"program": settings.program});
    check_change(&configured, &configured)?;
    let stored = store.read().map_err(|why| log(&why)).ok().flatten();
    let member = Member::new(&settings.fleet, stored, &configured);
    store.write(member.record()).map_err(|error| format!("state {}: {error}", settings.state.display()))?;
    let supervisor = Rc::new(RefCell::new(Supervisor::new(settings, socket, store, member)));
    let called = supervisor.clone();
    http::serve(control, move |call| control::handle_call(called.clone(), call));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            () = sleep(POLL_INTERVAL) => {}
        }
        supervisor::poll(&supervisor).await;
    }
    log("stopping");
    supervisor::end(&supervisor).await;
    Ok(())
}

/// Listens for clients.
fn listen(address: SocketAddr) -> io::Result<OwnedFd> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(CLIENT_BACKLOG)?;
    Ok(OwnedFd::from(socket))
}

fn log(message: &str) {
    eprintln!("flintwell: supervise: {message}");
}
