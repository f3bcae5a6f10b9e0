//! Puts the parts together and runs them on one core.

use crate::clients::accept;
use crate::clients::body::BufferBudget;
use crate::clients::client_socket::ClientSocket;
use crate::fleet::calls::Calls;
use crate::fleet::discovery::Discovery;
use crate::fleet::kept_list::{KeptList, Left};
use crate::fleet::lease::ListLease;
use crate::fleet::list_status::{ListStatus, Source};
use crate::fleet::registry::Registry;
use crate::fleet::words::Words;
use crate::nodes::attempt::Attempts;
use crate::nodes::permission::Permission;
use crate::nodes::pool::Pool;
use crate::process::clock::{Clock, span};
use crate::process::config::{Config, SOCKETS_LEAST};
use crate::process::handover::{self, Inheritance};
use crate::process::inherit;
use crate::process::live::Live;
use crate::process::reload;
use crate::process::shutdown;
use crate::process::store::Store;
use crate::process::succession::Succession;
use crate::requests::dispatcher::Dispatcher;
use crate::requests::service::ClientService;
use crate::requests::shadow::ShadowPolicy;
use crate::say;
use crate::staff::counts::Counts;
use crate::staff::management::{self, Office};
use crate::staff::rollout::Rollout;
use flintwell_list_watch::{Figures, Lease, Watch as ListWatch};
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

const AGAIN: Duration = Duration::from_millis(100); // before a part starts again; well within a watch
const SUPERVISED: &str = "EDGE_SUPERVISED"; // set by a supervisor: we end with it
const DESCRIPTORS_MOST: u64 = 65_536; // room for them takes half a MB
const OWN_SOCKETS: usize = 32; // descriptors; runtime, signals, log, listener, discovery; some spare

/// Does a part's work to its end. Danger: a part that panics would be missed for as long as we run, with no
/// sign of it: a list grown old, a listener shut.
async fn lasting(part: &str, mut work: impl AsyncFnMut()) {
    while AssertUnwindSafe(work()).catch_unwind().await.is_err() {
        say!("{part} panicked, and starts again");
        sleep(AGAIN).await;
    }
}

/// Room for descriptors, while we are one thread. Danger: the kernel grows a table of descriptors that threads share (the
/// log has one) only after all cores have passed a quiet state; meanwhile our one core opens nothing and stands still, on a
/// busy machine for a second, and those of a fleet that starts as one all at the same number of connections.
fn makes_room(sockets: usize) {
    let most = (sockets as u64).min(DESCRIPTORS_MOST);
    // Where that is barred, the table grows as it did.
    let _ = fcntl_dupfd_cloexec(std::io::stderr(), most as i32 - 1);
}

pub fn serve(mut config: Config, path: PathBuf) -> Result<(), String> {
    // Danger: with a limit of the system below what was told, idle clients would take the last descriptor, and discovery,
    // servers and the kept files would have none.
    let limit = getrlimit(Resource::Nofile)
        .current
        .map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX));
    if limit < config.sockets {
        say!("limits.sockets is {}, but this process may hold {limit}; that counts", config.sockets);
        config.sockets = limit;
    }
    if limit < SOCKETS_LEAST {
        return Err(format!("this process may hold {limit} descriptors; {SOCKETS_LEAST} are the least"));
    }
    makes_room(config.sockets);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run(config, path))
}

async fn run(mut config: Config, path: PathBuf) -> Result<(), String> {
    // First, since until it is taken SIGHUP ends the process.
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    // A request holds a client's connection and one to a node at most: half of the room for each.
    let connections = (config.sockets - OWN_SOCKETS) / 2;
    let inherited = inherit::listener()?;
    let inherits = inherited.is_some();
    let listener = match inherited {
        Some(listener) => listener,
        None => accept::listen(config.listen).await.map_err(|e| format!("listen {}: {e}", config.listen))?,
    };
    if std::env::var_os(SUPERVISED).is_some() {
        // Danger: left behind by a supervisor that was killed, it would hold the socket against the next one.
        let ends = rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::TERM));
        ends.map_err(|e| format!("signals: {e}"))?;
    }
    let management = match config.management {
        Some(addr) => Some(accept::listen(addr).await.map_err(|e| format!("second address {addr}: {e}"))?),
        None => None,
    };
    let temporary = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty()).map(PathBuf::from);
    let store = Store::open(temporary.as_deref(), &config.name);
    let store = store.map_err(|e| format!("folder for temporary files: {e}"))?;
    let changes = match &config.rollout {
        Some(rollout) => {
            let disk = Disk::open(&rollout.state)?;
            let left = disk.read().unwrap_or_else(|why| {
                say!("{why}");
                None
            });
            let member = Member::start(&rollout.fleet, left, &config.told);
            // What was confirmed last goes before the file.
            let in_force = &member.in_force().settings;
            (config.settings, config.network) = (decode(in_force)?, decode_network(in_force)?);
            disk.write(member.record()).map_err(|e| format!("rollout.state: {e}"))?;
            Some((disk, member))
        }
        None => None,
    };
    let counts = Counts::new(&config.network.classes, changes.is_some());
    let pool = Pool::new(connections, config.network.dial_within, config.network.idle_most);
    let network = Live::new(config.network);
    let place = (config.settings.index, config.settings.fleet_size);
    let pushed = !config.settings.list_on_request;
    let (index, fleet, grace) = (place.0, place.1, network.get().drain_grace);
    let figures = Figures { pushed, fleet, index, grace };
    let origin_kind = config.settings.origin_kind;
    let (clock, seed) = (Clock::start(), config.seed);
    let watch = config.watch_with.map(|other| Rc::new(ShadowPolicy::new(clock.now(), other, seed)));
    let dispatcher = Rc::new(Dispatcher::new(clock, config.settings, seed, pool.clone(), watch.clone()));
    if let Some(watch) = watch {
        spawn_local(lasting("watch", async move || watch.log_counts().await));
    }
    let succession = Succession::open(store.clone(), dispatcher.clock.now());
    let succession = Rc::new(succession.map_err(|e| format!("folder for temporary files: {e}"))?);
    let kept = KeptList::new(store.clone());
    let (source, begins_with, age) = match kept.left() {
        Some(Left { listing, age }) => (Source::Folder, listing, age),
        None => (Source::Configuration, config.known, None),
    };
    let now = clock.now();
    let list_watch = ListWatch::new(
        now,
        figures,
        age.map_or(Lease::unconfirmed(), |age| Lease::kept(now, now - age)),
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
    let list_status = ListStatus::start(lease.clone(), now, source, &begins_with);
    let mut discovery = Discovery::new(
        discovery_at,
        registry.clone(),
        lease.clone(),
        list_status.clone(),
        list_watch,
        Calls::new(clock),
    );
    discovery.start(&begins_with);
    let watched = dispatcher.clone();
    spawn_local(lasting("discovery", async move || discovery.watch(&watched).await));
    let leased = registry.clone();
    spawn_local(lasting("lease", async move || leased.keep_lease().await));
    let reloading = async move || reload::on_signal(&mut hangup, &path, &moves).await;
    spawn_local(lasting("reload", reloading));
    let timed = dispatcher.clone();
    spawn_local(lasting("timer", async move || timed.run_timers().await));
    let beating = dispatcher.clone();
    spawn_local(lasting("pulse", async move || beating.stall_detector.beat().await));
    let followed = registry.clone();
    spawn_local(lasting("registry", async move || followed.follow().await));
    let swept = pool.clone();
    spawn_local(lasting("sweep", async move || swept.sweep().await));
    let (stop, shutdown) = shutdown::new();
    let room = Arc::new(Semaphore::new(connections));
    let rooms = [(room.clone(), connections), (pool.room(), connections)];
    let (sharing, stopping) = (succession.clone(), shutdown.clone());
    spawn_local(lasting("shares", async move || sharing.share(&rooms, &stopping).await));
    let rollout = changes.map(|(disk, member)| {
        let (put_dispatcher, put_network) = (dispatcher.clone(), network.clone());
        let (put_counts, put_registry) = (counts.clone(), registry.clone());
        let put = move |settings: &serde_json::Value| match (decode(settings), decode_network(settings)) {
            // One turn of our one thread: nothing sees the parts at odds.
            (Ok(settings), Ok(network)) => {
                put_counts.knows(&network.classes);
                put_network.set(network);
                put_dispatcher.apply_settings(settings);
                put_registry.retell();
            }
            // They were checked when they were staged.
            (Err(error), _) | (_, Err(error)) => say!("settings not in force: {error}"),
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
        Rc::new(Words::new(words, config.name.clone(), place, seed, dispatcher, counts))
    });
    if let Some(words) = words.clone() {
        spawn_local(lasting("words", async move || words.speak().await));
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
        let answering = async move || management::answer(&listener, &office).await;
        spawn_local(lasting("second address", answering));
    }
    if inherits && let Some(path) = succession.takes_over_at() {
        // Danger: one that can't be reached so would be no reason not to serve.
        match UnixSeqpacketListener::bind(&path) {
            Ok(mut listener) => {
                let takeover = Inheritance { rooms: [room.clone(), pool.room()], counts: counts.clone() };
                spawn_local(lasting("hand-over", async move || takeover.take_over(&mut listener).await));
            }
            Err(error) => say!("long answers can't be taken over: {error}"),
        }
    }
    let permission = Permission { pool, lease: lease.clone(), violations: counts.violations.clone() };
    let attempts = Attempts::new(permission, counts.clone(), BufferBudget::new(config.answers));
    let budget = BufferBudget::new(config.bodies);
    let longest_now = network.clone();
    let front =
        ClientService { dispatcher, attempts, counts, network, budget, lease, shutdown, client: ClientSocket::default() };
    let at = listener.local_addr().map_err(|e| format!("listen {}: {e}", config.listen))?;
    succession.serves().map_err(|e| format!("folder for temporary files: {e}"))?;
    say!("{} serves on {at}", config.name);
    let client_room = room.clone();
    let accepting =
        spawn_local(lasting("accept", async move || accept::accept_connections(&listener, &client_room, &front).await));
    let longest = || span(longest_now.get().longest);
    let has_successor = || inherits && succession.succeeded();
    let successor = async || handover::successor(succession.successor().as_deref()).await;
    let stopped =
        stop.on_signal(accepting, room, connections as u32, longest, has_successor, successor).await;
    stopped.map_err(|e| format!("signals: {e}"))
}

#[cfg(test)]
mod tests;
