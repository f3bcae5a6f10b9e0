//! Builds the components of the proxy and runs them on one thread.

use crate::clients::accept;
use crate::clients::client_socket::ClientSocket;
use crate::clients::listener;
use crate::fleet::discovery::DiscoveryClient;
use crate::fleet::discovery_calls::DiscoveryCalls;
use crate::fleet::lease::ListLease;
use crate::fleet::list_status::{ListSource, ListStatus};
use crate::fleet::list_store::{ListStore, StoredList};
use crate::fleet::peer_messaging::PeerMessaging;
use crate::fleet::registry::Registry;
use crate::log_line;
use crate::management::api::{self, ApiState};
use crate::management::metrics::Metrics;
use crate::management::rollout::Rollout;
use crate::memory::monitor::MemoryMonitor;
use crate::memory::plan::{MIN_LIMIT_BYTES, MemoryPlan};
use crate::nodes::attempt::AttemptService;
use crate::nodes::pool::Pool;
use crate::nodes::send_guard::SendGuard;
use crate::process::clock::{Clock, to_duration};
use crate::process::config::{Config, MIN_SOCKETS};
use crate::process::handover::{self, HandoverReceiver};
use crate::process::log;
use crate::process::reload;
use crate::process::reloadable::Reloadable;
use crate::process::shutdown::{self, SocketServer};
use crate::process::socket_activation;
use crate::process::store::Store;
use crate::process::succession::Succession;
use crate::requests::dispatcher::Dispatcher;
use crate::requests::open_ids::OpenIds;
use crate::requests::request_ids::RequestIds;
use crate::requests::service::ClientService;
use crate::requests::shadow::ShadowPolicy;
use crate::requests::shared_ids::{self, SharedIds};
use flintwell_list_watch::{Lease, Watch as ListWatch, WatchConfig};
use flintwell_rollout::member::Member;
use flintwell_settings::{decode, decode_network};
use flintwell_state::RecordStore;
use futures_util::FutureExt;
use rustix::io::fcntl_dupfd_cloexec;
use rustix::process::{Resource, getrlimit};
use std::cell::RefCell;
use std::panic::AssertUnwindSafe;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use tokio_seqpacket::UnixSeqpacketListener;

const RESTART_DELAY: Duration = Duration::from_millis(100); // well within a discovery long poll
const SUPERVISED_ENV: &str = "EDGE_SUPERVISED"; // set by a supervisor; the process then ends with it
const SHARED_IDS_TIMEOUT: Duration = Duration::from_millis(500); // ten times what it takes, unless it is an older version
const SHARED_IDS_POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_TABLE_SIZE: u64 = 65_536; // a table of this size takes half a MB
const RESERVED_DESCRIPTORS: usize = 32; // runtime, signals, log, listener and discovery, with some reserve

/// Runs a background task to its end and restarts it after a panic. A task that ended with a panic would otherwise be
/// missing for the rest of the process's life without any sign but its effects: a stale node list, a closed listener.
async fn restart_on_panic(name: &str, mut task: impl AsyncFnMut()) {
    while AssertUnwindSafe(task()).catch_unwind().await.is_err() {
        log_line!("task {name} panicked; restarting it");
        sleep(RESTART_DELAY).await;
    }
}

/// Grows the descriptor table to its full size while the process has only one thread. Once threads share the table (the
/// log has its own), the kernel waits for an RCU grace period before it grows the table. Until then `open` and `accept`
/// block the only runtime thread, for up to a second on a busy machine, and in a fleet whose proxies start together at
/// the same number of connections in all of them.
fn grow_descriptor_table(sockets: usize) {
    let size = (sockets as u64).min(MAX_TABLE_SIZE);
    // If this fails, the table grows on demand.
    let _ = fcntl_dupfd_cloexec(std::io::stderr(), size as i32 - 1);
}

/// Waits until the other processes of this proxy have shared the ids of unsafe requests that they have sent. A client that
/// left one of them may come with the same request as soon as this process serves. Returns those that have not in time.
async fn wait_for_shared_ids(store: &Store, succession: &Succession) -> Vec<String> {
    let started_at = Instant::now();
    loop {
        let mut unshared = succession.sibling_names();
        unshared.retain(|process| !shared_ids::is_sharing(store, process));
        if unshared.is_empty() {
            return unshared;
        }
        if started_at.elapsed() > SHARED_IDS_TIMEOUT {
            log_line!(
                "another process does not share the ids of its requests: unsafe ones are refused until it does or ends"
            );
            return unshared;
        }
        sleep(SHARED_IDS_POLL_INTERVAL).await;
    }
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
    if limit < MIN_SOCKETS {
        return Err(format!("RLIMIT_NOFILE is {limit}; the minimum is {MIN_SOCKETS}"));
    }
    grow_descriptor_table(config.sockets);
    log::log_panics();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run(config, path))
}

async fn run(mut config: Config, path: PathBuf) -> Result<(), String> {
    // Comes first, since SIGHUP ends the process until the handler is installed.
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    // A request holds one client connection and at most one node connection, so each side gets half.
    let plan = MemoryPlan::new(config.memory_bytes, (config.sockets - RESERVED_DESCRIPTORS) / 2);
    let budgets = plan.budgets();
    let is_limit_enforced = config.memory_bytes >= MIN_LIMIT_BYTES;
    if !is_limit_enforced {
        log_line!(
            "limits.memory_mb is {} bytes, which the process alone may exceed; planning for {MIN_LIMIT_BYTES}",
            config.memory_bytes
        );
    }
    let inherited = socket_activation::inherited_listener()?;
    let is_inherited = inherited.is_some();
    let listener = match inherited {
        Some(listener) => listener,
        None => {
            listener::listen(config.listen).await.map_err(|e| format!("listen {}: {e}", config.listen))?
        }
    };
    if std::env::var_os(SUPERVISED_ENV).is_some() {
        // If the supervisor is killed, this process must not survive it: it would keep the listening socket occupied
        // when the next supervisor starts.
        let result = rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::TERM));
        result.map_err(|e| format!("signals: {e}"))?;
    }
    let management = match config.management {
        Some(addr) => {
            Some(listener::listen(addr).await.map_err(|e| format!("management address {addr}: {e}"))?)
        }
        None => None,
    };
    let temporary = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty()).map(PathBuf::from);
    let store = Store::open(temporary.as_deref(), &config.name);
    let store = store.map_err(|e| format!("directory for temporary files: {e}"))?;
    let rollout_state = match &config.rollout {
        Some(rollout) => {
            let record_store = RecordStore::open(&rollout.state)?;
            let record = record_store.read().unwrap_or_else(|why| {
                log_line!("{why}");
                None
            });
            let member = Member::new(&rollout.fleet, record, &config.settings_json);
            // The settings confirmed last take precedence over the file.
            let in_force = &member.active().settings;
            (config.settings, config.network) = (decode(in_force)?, decode_network(in_force)?);
            record_store.write(member.record()).map_err(|e| format!("rollout.state: {e}"))?;
            Some((record_store, member))
        }
        None => None,
    };
    let metrics = Metrics::new(&config.network.classes, rollout_state.is_some());
    let pool = Pool::new(
        plan.node_connections,
        plan.node_read_buffer_bytes,
        config.network.dial_timeout,
        config.network.idle_timeout,
        metrics.connections.clone(),
    );
    let network = Reloadable::new(config.network);
    let (index, fleet_size) = (config.settings.proxy_index, config.settings.fleet_size);
    let (lists_pushed, drain_grace) = (!config.settings.list_on_request, network.get().drain_grace);
    let watch_config = WatchConfig { lists_pushed, fleet_size, index, drain_grace };
    let origin_kind = config.settings.origin_kind;
    let (clock, seed) = (Clock::start(), config.seed);
    let shadow =
        config.shadow_settings.map(|settings| Rc::new(ShadowPolicy::new(clock.now(), settings, seed)));
    let succession = Succession::open(store.clone(), clock.now());
    let succession = Rc::new(succession.map_err(|e| format!("directory for temporary files: {e}"))?);
    let open_ids = OpenIds::open(&store).map_err(|e| format!("directory for temporary files: {e}"))?;
    let request_ids = Rc::new(RequestIds::new(
        move || clock.now(),
        open_ids,
        SharedIds::new(store.clone(), succession.name().to_owned()),
        wait_for_shared_ids(&store, &succession).await,
    ));
    let dispatcher = Rc::new(Dispatcher::new(
        clock,
        config.settings,
        seed,
        pool.clone(),
        shadow.clone(),
        request_ids.clone(),
    ));
    if let Some(shadow) = shadow {
        spawn_local(restart_on_panic("shadow policy", async move || shadow.log_counts().await));
    }
    let (id_store, list_store) = (store.clone(), ListStore::new(store.clone()));
    let (source, initial_list, age) = match list_store.load() {
        Some(StoredList { list, age }) => (ListSource::Folder, list, age),
        None => (ListSource::Configuration, config.initial_nodes, None),
    };
    let now = clock.now();
    let list_watch = ListWatch::new(
        now,
        watch_config,
        age.map_or(Lease::unconfirmed(), |age| Lease::restored(now, now - age)),
        seed,
    );
    let lease = ListLease::new(clock, list_watch.lease(), metrics.list_lapses.clone());
    let registry = Registry::new(
        network.clone(),
        origin_kind,
        pool.clone(),
        dispatcher.clone(),
        store,
        list_store,
        lease.clone(),
    );
    let (discovery_sender, discovery_addr) = watch::channel(config.discovery);
    let list_status = ListStatus::new(lease.clone(), now, source, &initial_list);
    let mut discovery = DiscoveryClient::new(
        discovery_addr,
        registry.clone(),
        lease.clone(),
        list_status.clone(),
        list_watch,
        DiscoveryCalls::new(clock, metrics.connections.clone()),
    );
    discovery.load_initial(&initial_list);
    let discovery_dispatcher = dispatcher.clone();
    spawn_local(restart_on_panic("discovery", async move || discovery.run(&discovery_dispatcher).await));
    let lease_registry = registry.clone();
    spawn_local(restart_on_panic("list lease", async move || lease_registry.follow_lease().await));
    let reloading = async move || reload::on_signal(&mut hangup, &path, &discovery_sender).await;
    spawn_local(restart_on_panic("reload", reloading));
    let timer_dispatcher = dispatcher.clone();
    spawn_local(restart_on_panic("timers", async move || timer_dispatcher.run_timers().await));
    let stall_dispatcher = dispatcher.clone();
    spawn_local(restart_on_panic("stall detector", async move || {
        stall_dispatcher.stall_detector.run().await
    }));
    let synced_registry = registry.clone();
    spawn_local(restart_on_panic("registry", async move || synced_registry.sync_store().await));
    let swept_pool = pool.clone();
    spawn_local(restart_on_panic("pool sweep", async move || swept_pool.run_idle_sweeper().await));
    let (controller, shutdown) = shutdown::channel();
    let client_permits = Arc::new(Semaphore::new(plan.client_connections));
    let limits = [
        (client_permits.clone(), plan.client_connections),
        (pool.connection_permits(), plan.node_connections),
        budgets.request_bodies.permits(),
        budgets.responses.permits(),
        budgets.transfers.permits(),
    ];
    let (limit_succession, limit_shutdown) = (succession.clone(), shutdown.clone());
    spawn_local(restart_on_panic("connection limits", async move || {
        limit_succession.share_limits(&limits, &limit_shutdown).await
    }));
    let memory = Rc::new(MemoryMonitor::new(
        &plan,
        is_limit_enforced,
        budgets.clone(),
        client_permits.clone(),
        pool.connection_permits(),
        metrics.clone(),
    ));
    let (followed_ids, id_succession) = (request_ids.clone(), succession.clone());
    spawn_local(restart_on_panic("shared ids", async move || {
        let is_sharing = |process: &str| shared_ids::is_sharing(&id_store, process);
        followed_ids.follow_siblings(|| id_succession.sibling_names(), is_sharing).await
    }));
    let (sampled_memory, memory_succession) = (memory.clone(), succession.clone());
    spawn_local(restart_on_panic("memory monitor", async move || {
        sampled_memory.run(|| memory_succession.sibling_process_ids()).await
    }));
    let rollout = rollout_state.map(|(record_store, member)| {
        let (apply_dispatcher, apply_network) = (dispatcher.clone(), network.clone());
        let (apply_metrics, apply_registry) = (metrics.clone(), registry.clone());
        let apply = move |settings: &serde_json::Value| match (decode(settings), decode_network(settings)) {
            // No await in between: no other task sees the components with different settings.
            (Ok(settings), Ok(network)) => {
                apply_metrics.add_classes(&network.classes);
                apply_network.set(network);
                apply_dispatcher.apply_settings(settings);
                apply_registry.republish();
            }
            // Not expected: settings are validated when they are staged.
            (Err(error), _) | (_, Err(error)) => log_line!("settings not applied: {error}"),
        };
        Rc::new(Rollout {
            name: config.name.clone(),
            clock: dispatcher.clock,
            started_ms: (dispatcher.clock.now() / 1_000).max(0) as u64,
            member: RefCell::new(member),
            record_store,
            metrics: metrics.clone(),
            changed: Notify::new(),
            apply: Box::new(apply),
            registry: registry.clone(),
        })
    });
    if let Some(rollout) = rollout.clone() {
        spawn_local(restart_on_panic("rollout", async move || rollout.run().await));
    }
    let peer_messaging = config.peer_messaging.take().map(|messaging| {
        let (dispatcher, metrics) = (dispatcher.clone(), metrics.clone());
        Rc::new(PeerMessaging::new(
            messaging,
            config.name.clone(),
            (index, fleet_size),
            seed,
            dispatcher,
            metrics,
        ))
    });
    if let Some(peer_messaging) = peer_messaging.clone() {
        spawn_local(restart_on_panic("peer messaging", async move || peer_messaging.run().await));
    }
    if let (Some(peer_messaging), shutdown) = (peer_messaging.clone(), shutdown.clone()) {
        spawn_local(async move {
            shutdown.listener_closed().await;
            peer_messaging.leave();
        });
    }
    if let Some(listener) = management {
        let (metrics, dispatcher) = (metrics.clone(), dispatcher.clone());
        let (lease, shutdown) = (lease.clone(), shutdown.clone());
        let state = Rc::new(ApiState {
            metrics,
            dispatcher,
            registry,
            list_status,
            lease,
            shutdown,
            rollout,
            peer_messaging,
            memory,
        });
        let serving = async move || api::serve(&listener, &state).await;
        spawn_local(restart_on_panic("management API", serving));
    }
    if is_inherited && let Some(path) = succession.handover_socket() {
        // Failing to bind this socket must not keep the process from serving; only handover is unavailable then.
        match UnixSeqpacketListener::bind(&path) {
            Ok(mut listener) => {
                let receiver = HandoverReceiver {
                    limits: [client_permits.clone(), pool.connection_permits()],
                    budgets: budgets.clone(),
                    metrics: metrics.clone(),
                    request_ids: request_ids.clone(),
                };
                spawn_local(restart_on_panic("handover", async move || receiver.run(&mut listener).await));
            }
            Err(error) => log_line!("cannot take over responses from a predecessor: {error}"),
        }
    }
    let send_guard = SendGuard { pool, lease: lease.clone(), violations: metrics.violations.clone() };
    let attempt_service = AttemptService::new(send_guard, metrics.clone(), budgets.responses.clone());
    let current_network = network.clone();
    let service = ClientService {
        dispatcher,
        attempt_service,
        metrics,
        network,
        budgets,
        lease,
        shutdown,
        client: ClientSocket::default(),
    };
    let local_addr = listener.local_addr().map_err(|e| format!("listen {}: {e}", config.listen))?;
    succession.mark_serving().map_err(|e| format!("directory for temporary files: {e}"))?;
    log_line!("{} serves on {local_addr}", config.name);
    log_line!(
        "limits: {} bytes of memory, {} descriptors, {} connections of clients, {} of nodes",
        config.memory_bytes,
        config.sockets,
        plan.client_connections,
        plan.node_connections
    );
    let accept_permits = client_permits.clone();
    let accepting = spawn_local(restart_on_panic("accept", async move || {
        accept::accept_connections(&listener, &accept_permits, &service).await
    }));
    let max_request_time = || to_duration(current_network.get().max_deadline);
    let socket_server = || {
        // First, so that of two processes that stop at the same time at least one sees that the other stops.
        succession.mark_stopping();
        if is_inherited { succession.socket_server() } else { SocketServer::None }
    };
    let successor = async || handover::connect(succession.successor_socket().as_deref()).await;
    let result = controller
        .run(
            accepting,
            client_permits,
            plan.client_connections as u32,
            max_request_time,
            socket_server,
            successor,
        )
        .await;
    log_line!("ends: {}", result.as_ref().map_or_else(ToString::to_string, |()| "shut down".to_owned()));
    result.map_err(|e| format!("signals: {e}"))
}

#[cfg(test)]
mod tests;
