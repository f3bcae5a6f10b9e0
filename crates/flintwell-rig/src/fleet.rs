//! A fleet of proxies with nodes, discovery and clients. Every link from a proxy, and every one to its management API, runs
//! through a relay.

use crate::check::{Breach, Observations, RepeatRules, check_rules};
use crate::datagrams::{DatagramMode, DatagramRelay};
use crate::process::Process;
use crate::relay::{LinkMode, Relay};
use flintwell_settings::merge_settings;
use flintwell_standins::backends::{Backends, NodeSpec};
use flintwell_standins::clients::{ClassLoad, ClientRequest, Clients, Load, RequestLog};
use flintwell_standins::discovery::NodeAddresses;
use flintwell_standins::nodes::ORIGIN;
use rustix::io::fcntl_dupfd_cloexec;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

const DISCOVERY: &str = "discovery"; // link target: discovery
const MANAGEMENT: &str = "staff"; // link target: a proxy's management API, as seen by operators
const MAX_DESCRIPTORS: u64 = 131_072; // enough for hundreds of proxies, as this process holds both ends of their connections
const MAX_PROXIES: usize = 1_024; // far above what one machine can run
const PEER_SEEDS: usize = 3; // addresses of peers in each proxy's configuration
const DRAIN_GRACE_MS: f64 = 300.0; // from when a drain is known until no new requests are sent to the node
const COLD_OVERLOAD_WINDOW_S: f64 = 2.0; // a cold node overloaded for this long fails

/// Number and capacity of the cache nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Caches {
    /// Cache nodes in each zone.
    pub count: usize,
    pub workers: usize,
    pub queue: usize,
    pub time_ms: f64,
    pub connections: usize,
    pub cold_share: f64,
    pub ramp_s: f64,
}

impl Default for Caches {
    fn default() -> Self {
        Caches {
            count: 2,
            workers: 4,
            queue: 16,
            time_ms: 4.0,
            connections: 512,
            cold_share: 0.2,
            ramp_s: 5.0,
        }
    }
}

/// Capacity of the origin.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Origin {
    /// Fetches processed concurrently; further ones are refused.
    #[serde(rename = "room")]
    pub max_concurrent_fetches: usize,
    pub time_ms: f64,
    pub connections: usize,
}

impl Default for Origin {
    fn default() -> Self {
        Origin { max_concurrent_fetches: 40, time_ms: 60.0, connections: 2_048 }
    }
}

/// Size, load and settings of a fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSpec {
    pub proxies: usize,
    pub zones: Vec<String>,
    pub caches: Caches,
    pub origin: Origin,
    pub load: Load,
    /// Overrides of the proxies' settings.
    pub settings: Value,
    #[serde(rename = "fleet")]
    pub fleet_name: String,
    /// Enables messages between proxies.
    #[serde(rename = "words")]
    pub peer_messaging: bool,
    /// Processing time of a discovery call, ms; calls are processed one at a time.
    #[serde(rename = "call_ms")]
    pub discovery_call_ms: f64,
    /// The fleet size in the settings; the number of proxies if that is larger.
    #[serde(rename = "told_proxies")]
    pub configured_fleet_size: usize,
    /// The longest deadline, s.
    #[serde(rename = "outer_limit_s")]
    pub max_deadline_s: f64,
    /// Limit of descriptors of each proxy.
    pub sockets: usize,
    /// Whether the system enforces that limit, too.
    pub enforce_sockets: bool,
    /// Memory limit of each proxy, MB.
    pub memory_mb: u64,
    /// Runs each proxy under a supervisor, whose control address takes the place of the management API.
    pub supervised: bool,
}

impl Default for FleetSpec {
    fn default() -> Self {
        let class = |name: &str, share, write| ClassLoad { name: name.into(), share, write, limit_s: 1.0 };
        FleetSpec {
            proxies: 3,
            zones: vec!["a".into()],
            caches: Caches::default(),
            origin: Origin::default(),
            load: Load {
                rate: 20.0,
                keys: 200,
                zipf_exponent: 0.8,
                new_key_share: 0.05,
                max_retries: 0,
                classes: vec![
                    class("read", 0.9, false),
                    class("write", 0.08, true),
                    class("once", 0.02, true),
                ],
            },
            settings: json!({}),
            fleet_name: "rig".into(),
            peer_messaging: false,
            discovery_call_ms: 0.0,
            configured_fleet_size: 0,
            max_deadline_s: 1.0,
            sockets: 1_024,
            enforce_sockets: false,
            memory_mb: 192,
            supervised: false,
        }
    }
}

/// A proxy of the fleet and its addresses.
pub struct Proxy {
    pub process: Process,
    pub zone: String,
    pub listen: SocketAddr,
    /// Relay address of the management API, or of the supervisor's control address.
    pub management: SocketAddr,
    pub state_dir: PathBuf,
    /// Address for messages between proxies.
    peering_addr: SocketAddr,
}

/// A running fleet.
pub struct Fleet {
    pub backends: Backends,
    pub request_log: RequestLog,
    pub proxies: Vec<Proxy>,
    spec: FleetSpec,
    paths: BTreeMap<(usize, String), Relay>,
    /// In front of each proxy's address for messages between proxies.
    datagram_relays: Vec<DatagramRelay>,
    clients: Vec<JoinHandle<()>>,
    /// Proxies and times (ms) in which lost requests are excused.
    excused: Vec<(String, f64, f64)>,
    /// Proxies with the time of SIGTERM and the time when they accepted clients again.
    shutdowns: Vec<(String, f64, f64)>,
    /// The proxy that a crowd meets, whose clients keep no record of their requests.
    pub proxy_of_unrecorded: Option<String>,
    /// Idle client connections, held open until the end of the run.
    idle_connections: Vec<TcpStream>,
    /// Proxies whose open watches were silenced, when, and until when an earlier call may still reach discovery.
    silenced_watches: Vec<(String, f64, f64)>,
}

/// A loopback address derived from the id of this process: a free port that is picked and released could be taken by
/// another process in the meantime.
fn loopback_addr(port: u16) -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let (process, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let high = 128 + (process >> 8 & 63) as u8;
    SocketAddr::from(([127, high, process as u8, (number % 250) as u8 + 1], port + number / 250))
}

/// Grows the descriptor table once at start. The kernel grows a table shared by threads only after an RCU grace period
/// (`synchronize_rcu` in `expand_files`), and threads that open a descriptor meanwhile wait. On a busy machine that took
/// a second in which no stand-in node answered, so that requests in flight appeared late.
fn reserve_descriptors() {
    let limit = getrlimit(Resource::Nofile);
    let max_descriptors = limit.maximum.map_or(MAX_DESCRIPTORS, |maximum| maximum.min(MAX_DESCRIPTORS));
    // If the limit can't be raised, the table grows on demand.
    let _ = setrlimit(Resource::Nofile, Rlimit { current: Some(max_descriptors), ..limit });
    let _ = fcntl_dupfd_cloexec(std::io::stderr(), max_descriptors as i32 - 1);
}

/// The settings of proxy `n`.
fn settings(spec: &FleetSpec, n: usize) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "all", "key_ttl": 3.0, "goal_time": 0.5,
            "overdue_earnings": 0.0, "outer_limit": spec.max_deadline_s})
    };
    let fleet_size = spec.configured_fleet_size.max(spec.proxies);
    let base = json!({"index": n * (fleet_size / spec.proxies), "fleet_size": fleet_size, "locality": n % spec.zones.len(),
        "discovery": "on_request", "weights": "off", "zones": spec.zones, "flavors": ["cache", ORIGIN],
        "realms": [], "specifics": {"mode": "aside", "origin_kind": 1},
        "limits": {"max_hand_offs": 4, "dial_timeout": 0.25, "keepalive": 10.0, "retry_after": true,
            "max_retry_after": 1.5},
        "guarantees": {"ask_within": 10.0, "stop_sending_within": DRAIN_GRACE_MS / 1e3, "start_capacity": spec.caches.cold_share,
            "ramp_time": spec.caches.ramp_s, "fall": COLD_OVERLOAD_WINDOW_S},
        "use_cases": [class("read", "safe"), class("write", "keyed"), class("once", "unsafe")]});
    merge_settings(base, spec.settings.clone())
}

impl Fleet {
    /// Starts everything except the clients. Each proxy runs `program`, with its files in `folder`.
    pub async fn start(spec: FleetSpec, program: &Path, folder: &Path) -> Result<Self, String> {
        if !program.is_file() {
            return Err(format!("{}: no such program; build it first", program.display()));
        }
        if spec.proxies == 0 || spec.proxies > MAX_PROXIES || spec.zones.is_empty() {
            return Err(format!("a fleet has 1 to {MAX_PROXIES} proxies and at least one zone"));
        }
        reserve_descriptors();
        let backends = Backends::new();
        backends.set_call_time(Duration::from_secs_f64(spec.discovery_call_ms.max(0.0) / 1e3));
        let start_error = |error: std::io::Error| format!("cannot start a stand-in: {error}");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut node_specs = Vec::new();
        for (z, zone) in spec.zones.iter().enumerate() {
            for n in 0..spec.caches.count {
                let Caches { workers, queue, time_ms, connections, cold_share, ramp_s, .. } = spec.caches;
                let (id, kind) = (format!("cache-{zone}{n}"), "cache".into());
                let (zone, cell) = (zone.clone(), z as u32);
                node_specs.push(NodeSpec {
                    id,
                    zone,
                    kind,
                    cell,
                    workers,
                    queue,
                    time_ms,
                    connections,
                    cold_share,
                    ramp_s,
                });
            }
        }
        let Origin { max_concurrent_fetches, time_ms, connections } = spec.origin;
        node_specs.push(NodeSpec {
            id: ORIGIN.into(),
            zone: spec.zones[0].clone(),
            kind: ORIGIN.into(),
            cell: 0,
            workers: max_concurrent_fetches,
            queue: 0,
            time_ms,
            connections,
            cold_share: 1.0,
            ramp_s: 0.0,
        });
        let mut nodes = Vec::new();
        for (n, node_spec) in node_specs.into_iter().enumerate() {
            let id = node_spec.id.clone();
            nodes.push((id, backends.serve_node(node_spec, any, n as u64).await.map_err(start_error)?));
        }
        let (mut paths, mut proxies) = (BTreeMap::new(), Vec::new());
        let (mut datagram_relays, mut peering_addrs) = (Vec::new(), Vec::new());
        for n in 0..spec.proxies {
            peering_addrs.push(loopback_addr(7_000));
            datagram_relays
                .push(DatagramRelay::start(peering_addrs[n], n as u64).await.map_err(start_error)?);
        }
        let seed_peers: Vec<SocketAddr> =
            datagram_relays.iter().take(PEER_SEEDS).map(|one| one.addr).collect();
        let key = folder.join("key");
        std::fs::create_dir_all(folder).map_err(start_error)?;
        std::fs::write(&key, "a key of the rig's own").map_err(start_error)?;
        for n in 0..spec.proxies {
            let (name, mut addresses) = (format!("n{n}"), NodeAddresses::new());
            for (id, addr) in &nodes {
                let relay = Relay::start(*addr).await.map_err(start_error)?;
                addresses.insert(id.clone(), relay.addr);
                paths.insert((n, id.clone()), relay);
            }
            let initial_list = backends.list(&addresses);
            let discovery_addr =
                backends.serve_discovery(any, addresses, &name).await.map_err(start_error)?;
            let discovery = Relay::start(discovery_addr).await.map_err(start_error)?;
            let (listen, management) = (loopback_addr(8_000), loopback_addr(9_600));
            let proxy_dir = folder.join(&name);
            let state = proxy_dir.join("state");
            let mut config = json!({"name": name, "listen": listen, "mgmt": management, "discovery": discovery.addr,
                "seed": format!("{:016x}", 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(n as u64 + 1)),
                "limits": {"cores": 1.0, "memory_mb": spec.memory_mb, "sockets": spec.sockets}, "known": initial_list,
                "rollout": {"fleet": spec.fleet_name, "state": state}, "settings": settings(&spec, n)});
            if spec.peer_messaging {
                config["words"] = json!({"cluster": spec.fleet_name, "listen": peering_addrs[n], "advertise": datagram_relays[n].addr,
                    "peers": seed_peers, "key_file": key});
            }
            paths.insert((n, DISCOVERY.into()), discovery);
            let write = |file: &str, text: String| -> Result<String, String> {
                let file = proxy_dir.join(file);
                let written = std::fs::create_dir_all(&proxy_dir).and_then(|()| std::fs::write(&file, text));
                written.map_err(|error| format!("{}: {error}", file.display()))?;
                Ok(file.display().to_string())
            };
            let config_file = write("config.json", config.to_string())?;
            let (process, management_addr) = if spec.supervised {
                let (control, second_management) = (loopback_addr(9_500), loopback_addr(9_600));
                let text = format!(
                    "name = {name:?}\nfleet = {:?}\nstate = {:?}\nlisten = \"{listen}\"\ncontrol = \"{control}\"\n\
                     management = [\"{management}\", \"{second_management}\"]\nprogram = {program:?}\nconfig = {config_file:?}\n",
                    spec.fleet_name,
                    proxy_dir.join("supervised"),
                );
                let file = write("supervise.toml", text)?;
                (Process::start(&name, program, &["supervise", "--config", &file], &proxy_dir)?, control)
            } else {
                let max_descriptors = spec.enforce_sockets.then_some(spec.sockets);
                let arguments = ["serve", "--config", &config_file];
                (Process::start_limited(&name, program, &arguments, &proxy_dir, max_descriptors)?, management)
            };
            let management_relay = Relay::start(management_addr).await.map_err(start_error)?;
            let zone = spec.zones[n % spec.zones.len()].clone();
            proxies.push(Proxy {
                process,
                zone,
                listen,
                management: management_relay.addr,
                state_dir: state,
                peering_addr: peering_addrs[n],
            });
            paths.insert((n, MANAGEMENT.into()), management_relay);
        }
        Ok(Fleet {
            backends,
            request_log: RequestLog::default(),
            proxies,
            spec,
            paths,
            datagram_relays,
            clients: Vec::new(),
            excused: Vec::new(),
            shutdowns: Vec::new(),
            proxy_of_unrecorded: None,
            idle_connections: Vec::new(),
            silenced_watches: Vec::new(),
        })
    }

    /// Starts clients at each proxy for this time.
    pub fn start_clients(&mut self, seed: u64, time: Duration) {
        let (until, load) = (Instant::now() + time, Arc::new(self.spec.load.clone()));
        for (n, proxy) in self.proxies.iter().enumerate() {
            let (name, began) = (&proxy.process.name, self.backends.started_at());
            let clients = Clients::new(name, proxy.listen, began, load.clone(), self.request_log.clone());
            self.clients
                .push(tokio::spawn(clients.run(seed.wrapping_mul(1_000_003).wrapping_add(n as u64), until)));
        }
    }

    /// Waits for all clients to finish.
    pub async fn join_clients(&mut self) {
        for clients in std::mem::take(&mut self.clients) {
            let _ = clients.await;
        }
    }

    /// The indexes of the proxies that match `*`, a name or `zone:NAME`.
    pub fn matching_proxies(&self, who: &str) -> Vec<usize> {
        let zone = who.strip_prefix("zone:");
        let matches = |proxy: &Proxy| who == "*" || proxy.process.name == who || zone == Some(&*proxy.zone);
        (0..self.proxies.len()).filter(|&n| matches(&self.proxies[n])).collect()
    }

    /// The ids of the nodes that match `caches`, an id or `zone:NAME`; the latter matches caches only.
    pub fn matching_nodes(&self, who: &str) -> Vec<String> {
        let zone = who.strip_prefix("zone:");
        let matches = |node_spec: &NodeSpec| {
            let cache = node_spec.kind != ORIGIN;
            node_spec.id == who || cache && (who == "caches" || zone == Some(&*node_spec.zone))
        };
        self.backends
            .node_specs()
            .iter()
            .filter(|node_spec| matches(node_spec))
            .map(|node_spec| node_spec.id.clone())
            .collect()
    }

    /// Sets the mode of the links from matching proxies to discovery, the management API (`staff`), matching nodes, or all
    /// nodes and discovery (`*`). Returns the number of links.
    pub fn set_link_mode(&self, from: &str, to: &str, mode: LinkMode) -> usize {
        let targets = match to {
            DISCOVERY | MANAGEMENT => vec![to.to_owned()],
            "*" => self
                .backends
                .node_specs()
                .into_iter()
                .map(|node_spec| node_spec.id)
                .chain([DISCOVERY.into()])
                .collect(),
            nodes => self.matching_nodes(nodes),
        };
        let chosen = self
            .matching_proxies(from)
            .into_iter()
            .flat_map(|n| targets.iter().map(move |end| (n, end.clone())));
        chosen.filter_map(|path| self.paths.get(&path)).map(|relay| relay.set_mode(mode)).count()
    }

    /// The number of responses that were sent a second time, on all links.
    pub fn repeated_responses(&self) -> u64 {
        self.paths.values().map(Relay::repeated).sum()
    }

    /// Sets the mode of datagrams between matching proxies; returns the number of pairs.
    pub fn set_datagram_mode(&self, from: &str, to: &str, mode: DatagramMode) -> usize {
        let (from, to) = (self.matching_proxies(from), self.matching_proxies(to));
        let pairs = from.iter().flat_map(|&from| to.iter().map(move |&to| (from, to)));
        pairs
            .map(|(from, to)| self.datagram_relays[to].set_mode(self.proxies[from].peering_addr, mode))
            .count()
    }

    /// Silences the open connections of these proxies to discovery; new connections work. Returns the number of proxies.
    pub fn silence_watches(&mut self, who: &str) -> usize {
        let (now, proxies) = (self.backends.now_ms(), self.matching_proxies(who));
        for &n in &proxies {
            let Some(path) = self.paths.get(&(n, DISCOVERY.into())) else { continue };
            path.silence_open();
            self.silenced_watches.push((self.proxies[n].process.name.clone(), now, now + path.delay_ms()));
        }
        proxies.len()
    }

    /// Excuses lost requests at this proxy between these times, because of an injected fault.
    pub fn excuse(&mut self, n: usize, from_ms: f64, to_ms: f64) {
        self.excused.push((self.proxies[n].process.name.clone(), from_ms, to_ms));
    }

    /// Records the shutdown of this proxy: from shortly after then until its next start it need not
    /// accept connections.
    pub fn mark_down(&mut self, n: usize) {
        let (name, now) = (self.proxies[n].process.name.clone(), self.backends.now_ms());
        if !self.shutdowns.iter().any(|(proxy, _, to)| *proxy == name && *to == f64::MAX) {
            self.shutdowns.push((name, now, f64::MAX));
        }
    }

    /// Records that this proxy accepts clients again.
    pub fn mark_up(&mut self, n: usize) {
        let (name, now) = (&self.proxies[n].process.name, self.backends.now_ms());
        let open = self.shutdowns.iter_mut().filter(|(proxy, _, to)| proxy == name && *to == f64::MAX);
        open.for_each(|shutdown| shutdown.2 = now);
    }

    /// Opens this many idle connections to this proxy; returns how many succeeded.
    pub async fn open_idle_connections(&mut self, n: usize, connections: usize) -> usize {
        let before = self.idle_connections.len();
        for _ in 0..connections {
            self.idle_connections.extend(TcpStream::connect(self.proxies[n].listen).await);
        }
        self.idle_connections.len() - before
    }

    /// Whether a fault excuses that this request was lost.
    pub fn is_excused(&self, request: &ClientRequest) -> bool {
        let ends = request.at_ms + request.took_ms;
        self.excused
            .iter()
            .any(|(proxy, from, to)| *proxy == request.proxy && request.at_ms <= *to && ends >= *from)
    }

    /// Ends an open-ended excuse of this proxy at this time.
    pub fn end_excuse(&mut self, n: usize, until_ms: f64) {
        let name = &self.proxies[n].process.name;
        let open = self.excused.iter_mut().filter(|(proxy, _, to)| proxy == name && *to == f64::MAX);
        open.for_each(|excused| excused.2 = until_ms);
    }

    /// Resumes or restarts every proxy; lost requests are excused for this many ms longer.
    pub fn restore_all(&mut self, excused_ms: f64) -> Result<(), String> {
        for n in 0..self.proxies.len() {
            let process = &mut self.proxies[n].process;
            process.resume();
            if !process.is_running() {
                process.spawn()?;
            }
            self.mark_up(n);
            self.end_excuse(n, self.backends.now_ms() + excused_ms);
        }
        Ok(())
    }

    /// All violations of the rules so far.
    pub fn breaches(&self) -> Vec<Breach> {
        let rules = [
            ("read", RepeatRules { replayable: true, dedup_window_ms: None }),
            ("write", RepeatRules { replayable: false, dedup_window_ms: Some(3_000.0) }),
            ("once", RepeatRules { replayable: false, dedup_window_ms: None }),
        ];
        // The checker uses the same settings as the proxies.
        let settings = settings(&self.spec, 0);
        check_rules(&Observations {
            client_requests: &self.request_log.entries(),
            node_requests: &self.backends.node_requests(),
            list_changes: &self.backends.list_changes(),
            discovery_calls: &self.backends.discovery_calls(),
            silenced_watches: &self.silenced_watches,
            push_discovery: settings["discovery"] == "pushed",
            node_specs: &self.backends.node_specs(),
            repeat_rules: &rules.map(|(class, rules)| (class.to_owned(), rules)).into(),
            drain_grace_ms: settings["guarantees"]["stop_sending_within"]
                .as_f64()
                .map_or(DRAIN_GRACE_MS, |grace| grace * 1e3),
            cold_overload_window_s: COLD_OVERLOAD_WINDOW_S,
            excused: &self.excused,
            shutdowns: &self.shutdowns,
            sockets_exhausted: !self.idle_connections.is_empty(),
            proxy_of_unrecorded: self.proxy_of_unrecorded.as_deref(),
        })
    }
}
