//! Builds the components of the proxy and runs them on one thread.

use crate::clients::accept;
use crate::clients::body::BufferBudget;
use crate::clients::client_socket::ClientSocket;
use crate::fleet::discovery_calls::DiscoveryCalls;
use crate::fleet::discovery::DiscoveryClient;
use crate::fleet::list_store::{ListStore, StoredList};
use crate::fleet::lease::ListLease;
use crate::fleet::list_status::{ListStatus, ListSource};
use crate::fleet::registry::Registry;
use crate::fleet::peer_messaging::PeerMessaging;
use crate::nodes::attempt::AttemptService;
use crate::nodes::send_guard::SendGuard;
use crate::nodes::pool::Pool;
use crate::process::clock::{Clock, to_duration};
use crate::process::config::{Config, SOCKETS_LEAST};
use crate::process::handover::{self, Inheritance};
use crate::process::inherit;
use crate::process::reloadable::Reloadable;
use crate::process::reload;
use crate::process::shutdown;
use crate::process::store::Store;
use crate::process::succession::Succession;
use crate::requests::dispatcher::Dispatcher;
use crate::requests::service::ClientService;
use crate::requests::shadow::ShadowPolicy;
use crate::log_line;
use crate::management::metrics::Metrics;
use crate::management::api::{self, Office};
use crate::management::rollout::Rollout;
use flintwell_list_watch::{WatchConfig, Lease, Watch as ListWatch};
use flintwell_rollout::member::Member;
use flintwell_settings::{decode, decode_network};
use flintwell_state::Disk;
use futures_util::FutureExt;
use rustix::io::fcntl_dupfd_cloexec;
use rustix::process::{Resource, getrlimit};
use std::cell::RefCell;
use std::panic::AssertUnwindSafe;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use tokio_seqpacket::UnixSeqpacketListener;

const AGAIN: Duration = Duration::from_millis(100); // well within a discovery long poll
const SUPERVISED: &str = "EDGE_SUPERVISED"; // set by a supervisor; the process then ends with it
const DESCRIPTORS_MOST: u64 = 65_536; // a table of this size takes half a MB
const OWN_SOCKETS: usize = 32; // runtime, signals, log, listener and discovery, with some reserve

/// Runs a background task to its end and restarts it after a panic. A task that ended with a panic would otherwise be
/// missing for the rest of the process's life without any sign but its effects: a stale server list, a closed listener.
async fn lasting(part: &str, mut work: impl AsyncFnMut()) {
    while AssertUnwindSafe(work()).catch_unwind().await.is_err() {
        log_line!("task {part} panicked; restarting it");
        sleep(AGAIN).await;
    }
}

/// Grows the descriptor table to its full size while the process has only one thread. Once threads share the table (the
/// log has its own), the kernel waits for an RCU grace period before it grows the table. Until then `open` and `accept`
/// block the only runtime thread, for up to a second on a busy machine, and in a fleet whose proxies start together at
/// the same number of connections in all of them.
fn makes_room(sockets: usize) {
    let most = (sockets as u64).min(DESCRIPTORS_MOST);
    // If this fails, the table grows on demand.
    let _ = fcntl_dupfd_cloexec(std::io::stderr(), most as i32 - 1);
}

/// Serves requests until SIGTERM or SIGINT.
pub fn serve(mut config: Config, path: PathBuf) -> Result<(), String> {
    // With a system limit below the configured one, idle clients would take the last descriptors and leave none for
    // discovery, nodes and files.
    let limit = getrlimit(Resource::Nofile)
        .current
        .map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX));
    if limit < config.sockets {
        log_line!("limits.sockets is {}, but RLIMIT_NOFILE is {limit}; using {limit}", config.sockets);
        config.sockets = limit;
    }
    if limit < SOCKETS_LEAST {
        return Err(format!("RLIMIT_NOFILE is {limit}; the minimum is {SOCKETS_LEAST}"));
    }
    makes_room(config.sockets);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run(config, path))
}

async fn run(mut config: Config, path: PathBuf) -> Result<(), String> {
    // Comes first, since SIGHUP ends the process until the handler is installed.
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    // A request holds one client connection and at most one node connection, so each side gets half.
    let connections = (config.sockets - OWN_SOCKETS) / 2;
    let inherited = inherit::listener()?;
    let inherits = inherited.is_some();
    let listener = match inherited {
        Some(listener) => listener,
        None => accept::listen(config.listen).await.map_err(|e| format!("listen {}: {e}", config.listen))?,
    };
    if std::env::var_os(SUPERVISED).is_some() {
        // If the supervisor is killed, this process must not survive it: it would keep the listening socket occupied
        // when the next supervisor starts.
        let ends = rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::TERM));
        ends.map_err(|e| format!("signals: {e}"))?;
    }
    let management = match config.management {
        Some(addr) => Some(accept::listen(addr).await.map_err(|e| format!("management address {addr}: {e}"))?),
        None => None,
    };
    let temporary = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty()).map(PathBuf::from);
    let store = Store::open(temporary.as_deref(), &config.name);
    let store = store.map_err(|e| format!("directory for temporary files: {e}"))?;
    let changes = match &config.rollout {
        Some(rollout) => {
            let disk = Disk::open(&rollout.state)?;
            let left = disk.read().unwrap_or_else(|why| {
                log_line!("{why}");
                None
            });
            let member = Member::start(&rollout.fleet, left, &config.told);
            // The settings confirmed last take precedence over the file.
            let in_force = &member.in_force().settings;
            (config.settings, config.network) = (decode(in_force)?, decode_network(in_force)?);
            disk.write(member.record()).map_err(|e| format!("rollout.state: {e}"))?;
            Some((disk, member))
        }
        None => None,
    };
    let counts = Metrics::new(&config.network.classes, changes.is_some());
    let pool = Pool::new(connections, config.network.dial_within, config.network.idle_most);
    let network = Reloadable::new(config.network);
    let place = (config.settings.proxy_index, config.settings.fleet_size);
    let pushed = !config.settings.list_on_request;
    let (index, fleet, grace) = (place.0, place.1, network.get().drain_grace);
    let figures = WatchConfig { pushed, fleet_size: fleet, index, drain_grace: grace };
    let origin_kind = config.settings.origin_kind;
    let (clock, seed) = (Clock::start(), config.seed);
    let watch = config.watch_with.map(|other| Rc::new(ShadowPolicy::new(clock.now(), other, seed)));
    let dispatcher = Rc::new(Dispatcher::new(clock, config.settings, seed, pool.clone(), watch.clone()));
    if let Some(watch) = watch {
        spawn_local(lasting("settings comparison", async move || watch.log_counts().await));
    }
    let succession = Succession::open(store.clone(), dispatcher.clock.now());
    let succession = Rc::new(succession.map_err(|e| format!("directory for temporary files: {e}"))?);
    let kept = ListStore::new(store.clone());
    let (source, begins_with, age) = match kept.load() {
        Some(StoredList { listing, age }) => (ListSource::Folder, listing, age),
        None => (ListSource::Configuration, config.known, None),
    };
    let now = clock.now();
    let list_watch = ListWatch::new(
        now,
        figures,
        age.map_or(Lease::unconfirmed(), |age| Lease::restored(now, now - age)),
        seed,
    );
    let lease = ListLease::new(clock, list_watch.lease(), counts.lapses.clone());
    let registry = Registry::new(
        network.clone(),
        origin_kind,
        pool.clone(),
        dispatcher.clone(),
        store,
        kept,
        lease.clone(),
    );
    let (moves, discovery_at) = watch::channel(config.discovery);
    let list_status = ListStatus::new(lease.clone(), now, source, &begins_with);
    let mut discovery = DiscoveryClient::new(
        discovery_at,
        registry.clone(),
        lease.clone(),
        list_status.clone(),
        list_watch,
        DiscoveryCalls::new(clock),
    );
    discovery.load_initial(&begins_with);
    let watched = dispatcher.clone();
    spawn_local(lasting("discovery", async move || discovery.run(&watched).await));
    let leased = registry.clone();
    spawn_local(lasting("list lease", async move || leased.follow_lease().await));
    let reloading = async move || reload::on_signal(&mut hangup, &path, &moves).await;
    spawn_local(lasting("reload", reloading));
    let timed = dispatcher.clone();
    spawn_local(lasting("timers", async move || timed.run_timers().await));
    let beating = dispatcher.clone();
    spawn_local(lasting("stall detector", async move || beating.stall_detector.run().await));
    let followed = registry.clone();
    spawn_local(lasting("registry", async move || followed.sync_store().await));
    let swept = pool.clone();
    spawn_local(lasting("pool sweep", async move || swept.run_idle_sweeper().await));
    let (stop, shutdown) = shutdown::new();
    let room = Arc::new(Semaphore::new(connections));
    let rooms = [(room.clone(), connections), (pool.connection_permits(), connections)];
    let (sharing, stopping) = (succession.clone(), shutdown.clone());
    spawn_local(lasting("connection limits", async move || sharing.share(&rooms, &stopping).await));
    let rollout = changes.map(|(disk, member)| {
        let (put_dispatcher, put_network) = (dispatcher.clone(), network.clone());
        let (put_counts, put_registry) = (counts.clone(), registry.clone());
        let put = move |settings: &serde_json::Value| match (decode(settings), decode_network(settings)) {
            // No await in between: no other task sees the components with different settings.
            (Ok(settings), Ok(network)) => {
                put_counts.knows(&network.classes);
                put_network.set(network);
                put_dispatcher.apply_settings(settings);
                put_registry.republish();
            }
            // Not expected: settings are validated when they are staged.
            (Err(error), _) | (_, Err(error)) => log_line!("settings not applied: {error}"),
        };
        Rc::new(Rollout {
            name: config.name.clone(),
            clock: dispatcher.clock,
            started_ms: (dispatcher.clock.now() / 1_000).max(0) as u64,
            member: RefCell::new(member),
            disk,
            counts: counts.clone(),
            changed: Notify::new(),
            put: Box::new(put),
            registry: registry.clone(),
        })
    });
    if let Some(rollout) = rollout.clone() {
        spawn_local(lasting("rollout", async move || rollout.follow().await));
    }
    let words = config.words.take().map(|words| {
        let (dispatcher, counts) = (dispatcher.clone(), counts.clone());
        Rc::new(PeerMessaging::new(words, config.name.clone(), place, seed, dispatcher, counts))
    });
    if let Some(words) = words.clone() {
        spawn_local(lasting("peer messages", async move || words.run().await));
    }
    if let (Some(words), shutdown) = (words.clone(), shutdown.clone()) {
        spawn_local(async move {
            shutdown.listener_closed().await;
            words.leave();
        });
    }
    if let Some(listener) = management {
        let (counts, dispatcher) = (counts.clone(), dispatcher.clone());
        let (lease, shutdown) = (lease.clone(), shutdown.clone());
        let office =
            Rc::new(Office { counts, dispatcher, registry, list_status, lease, shutdown, rollout, words });
        let answering = async move || api::answer(&listener, &office).await;
        spawn_local(lasting("management API", answering));
    }
    if inherits && let Some(path) = succession.takes_over_at() {
        // Failing to bind this socket must not keep the process from serving; only handover is unavailable then.
        match UnixSeqpacketListener::bind(&path) {
            Ok(mut listener) => {
                let takeover = Inheritance { rooms: [room.clone(), pool.connection_permits()], counts: counts.clone() };
                spawn_local(lasting("handover", async move || takeover.take_over(&mut listener).await));
            }
            Err(error) => log_line!("cannot take over responses from a predecessor: {error}"),
        }
    }
    let permission = SendGuard { pool, lease: lease.clone(), violations: counts.violations.clone() };
    let attempts = AttemptService::new(permission, counts.clone(), BufferBudget::new(config.answers));
    let budget = BufferBudget::new(config.bodies);
    let longest_now = network.clone();
    let front =
        ClientService { dispatcher, attempts, counts, network, budget, lease, shutdown, client: ClientSocket::default() };
    let at = listener.local_addr().map_err(|e| format!("listen {}: {e}", config.listen))?;
    succession.serves().map_err(|e| format!("directory for temporary files: {e}"))?;
    log_line!("{} serves on {at}", config.name);
    let client_room = room.clone();
    let accepting =
        spawn_local(lasting("accept", async move || accept::accept_connections(&listener, &client_room, &front).await));
    let longest = || to_duration(longest_now.get().longest);
    let has_successor = || inherits && succession.succeeded();
    let successor = async || handover::successor(succession.successor().as_deref()).await;
    let stopped =
        stop.on_signal(accepting, room, connections as u32, longest, has_successor, successor).await;
    stopped.map_err(|e| format!("signals: {e}"))
}

#[cfg(test)]
mod tests;
