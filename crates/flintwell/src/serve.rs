//! Puts the parts together and runs them on one core.

use crate::accept;
use crate::clock::{Clock, span};
use crate::config::Config;
use crate::desk::Desk;
use crate::discovery::Discovery;
use crate::front::Front;
use crate::handoff::HandOffs;
use crate::peers::Peers;
use crate::pool::Pool;
use crate::say;
use crate::shutdown;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Notify, Semaphore};
use tokio::task::{LocalSet, spawn_local};

const OWN_SOCKETS: usize = 32; // descriptors; runtime, signals, log, listener, peers, discovery; some spare

pub fn serve(config: Config) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run(config))
}

async fn run(config: Config) -> Result<(), String> {
    // An access holds a client's connection and one to a node at most: half of the room for each.
    let connections = (config.sockets - OWN_SOCKETS) / 2;
    let listener =
        accept::listen(config.listen).await.map_err(|e| format!("listen {}: {e}", config.listen))?;
    let peers = match config.peer_listen {
        Some(addr) => match Peers::open(addr, config.peers).await {
            Ok(peers) => Some(Rc::new(peers)),
            Err(error) => return Err(format!("peer_listen {addr}: {error}")),
        },
        None => None,
    };
    let network = Rc::new(config.network);
    let longest = span(network.longest);
    let pool = Pool::new(connections, network.dial_within, network.idle_most);
    let list_wanted = Rc::new(Notify::new());
    let asked = config.settings.list_on_request.then(|| list_wanted.clone());
    let (clock, seed) = (Clock::start(), config.seed);
    let desk = Rc::new(Desk::new(clock, config.settings, seed, list_wanted, pool.clone(), peers.clone()));
    let mut discovery = Discovery::new(config.discovery, network.clone(), pool.clone(), asked, seed);
    discovery.start(&config.known, &desk);
    spawn_local(discovery.watch(desk.clone()));
    spawn_local({
        let desk = desk.clone();
        async move { desk.keep_time().await }
    });
    spawn_local({
        let desk = desk.clone();
        async move { desk.pulse.beat().await }
    });
    spawn_local({
        let pool = pool.clone();
        async move { pool.sweep().await }
    });
    if let Some(peers) = peers {
        let desk = desk.clone();
        spawn_local(async move { peers.listen(&desk).await });
    }
    let (stop, shutdown) = shutdown::new();
    let room = Arc::new(Semaphore::new(connections));
    let front = Front { desk, hand_offs: HandOffs::new(pool), network, shutdown };
    let at = listener.local_addr().map_err(|e| format!("listen {}: {e}", config.listen))?;
    say!("{} serves on {at}", config.name);
    let accepting = spawn_local(accept::accept(listener, room.clone(), front));
    let stopped = stop.on_signal(accepting, room, connections as u32, longest).await;
    stopped.map_err(|e| format!("signals: {e}"))
}
