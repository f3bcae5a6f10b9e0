//! Proxies, nodes, discovery and clients put together, with a relay on every path from a proxy and to its staff.

use crate::check::{Breach, Observations, RepeatRules, check_rules};
use crate::datagrams::{DatagramMode, DatagramRelay as PostBox};
use crate::process::Process;
use crate::relay::{LinkMode, Relay};
use flintwell_settings::laid_over;
use flintwell_standins::backends::{Backends, NodeSpec};
use flintwell_standins::clients::{ClassLoad, Clients, Load, RequestLog};
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

const DISCOVERY: &str = "discovery"; // names the path to it
const STAFF: &str = "staff"; // names the path from the staff to a proxy's second address
const DESCRIPTORS: u64 = 131_072; // where the system lets us: hundreds of proxies with some connections to some nodes, both ends ours
const PROXIES_MOST: usize = 1_024; // far above what one machine carries
const SEEDS: usize = 3; // proxies that each is told of at its start
const GRACE: f64 = 300.0; // ms; from a drain's telling until nothing new goes there
const FALL: f64 = 2.0; // s; within which a cold node falls

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Caches {
    /// In each zone.
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

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Origin {
    /// Fetches at once; what comes beyond is refused.
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

/// What a fleet is made of.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSpec {
    pub proxies: usize,
    pub zones: Vec<String>,
    pub caches: Caches,
    pub origin: Origin,
    pub load: Load,
    /// Laid over the proxies' settings.
    pub settings: Value,
    #[serde(rename = "fleet")]
    pub fleet_name: String,
    /// Proxies may speak to one another.
    #[serde(rename = "words")]
    pub peer_messaging: bool,
    /// How long discovery takes for a call, ms; it works through calls in turn.
    #[serde(rename = "call_ms")]
    pub discovery_call_ms: f64,
    /// How many proxies the settings tell; as many as there are, if 0.
    #[serde(rename = "told_proxies")]
    pub configured_fleet_size: usize,
    /// The longest that clients wait for an answer, s.
    #[serde(rename = "outer_limit_s")]
    pub max_deadline_s: f64,
    /// Descriptors that each proxy may hold.
    pub sockets: usize,
    /// Each proxy runs under a supervisor, which the staff speaks to in its place.
    pub supervised: bool,
}

impl Default for FleetSpec {
    fn default() -> Self {
        let case = |name: &str, share, write| ClassLoad { name: name.into(), share, write, limit_s: 1.0 };
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
                classes: vec![case("read", 0.9, false), case("write", 0.08, true), case("once", 0.02, true)],
            },
            settings: json!({}),
            fleet_name: "rig".into(),
            peer_messaging: false,
            discovery_call_ms: 0.0,
            configured_fleet_size: 0,
            max_deadline_s: 1.0,
            sockets: 1_024,
            supervised: false,
        }
    }
}

pub struct Proxy {
    pub process: Process,
    pub zone: String,
    pub listen: SocketAddr,
    /// Where the staff reaches it: a path of its own.
    pub management: SocketAddr,
    pub state_dir: PathBuf,
    /// Where it speaks to other proxies.
    words: SocketAddr,
}

pub struct Fleet {
    pub backends: Backends,
    pub request_log: RequestLog,
    pub proxies: Vec<Proxy>,
    shape: FleetSpec,
    paths: BTreeMap<(usize, String), Relay>,
    /// Before each proxy's address for words.
    boxes: Vec<PostBox>,
    coming: Vec<JoinHandle<()>>,
    excused: Vec<(String, f64, f64)>,
    /// When a proxy was told to end, and when a process of its own took clients again.
    down: Vec<(String, f64, f64)>,
    /// Connections that say nothing, held open to the day's end.
    crowd: Vec<TcpStream>,
    /// When a proxy's open watch fell silent, and until when a call of before may still reach discovery.
    hushed: Vec<(String, f64, f64)>,
}

/// An address of this process's own on loopback: a port picked and left again may be another's meanwhile.
fn own(port: u16) -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let (process, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let high = 128 + (process >> 8 & 63) as u8;
    SocketAddr::from(([127, high, process as u8, (number % 250) as u8 + 1], port + number / 250))
}

/// Room for descriptors, at once. Danger: the kernel grows a table of descriptors that threads share only after all cores
/// have passed a quiet state (`synchronize_rcu` in `expand_files`), and whoever opens one meanwhile waits: on a busy
/// machine a second, in which none of our nodes answered, and requests in hand looked late.
fn makes_room() {
    let limit = getrlimit(Resource::Nofile);
    let most = limit.maximum.map_or(DESCRIPTORS, |most| most.min(DESCRIPTORS));
    // Where that is barred, it grows as it did.
    let _ = setrlimit(Resource::Nofile, Rlimit { current: Some(most), ..limit });
    let _ = fcntl_dupfd_cloexec(std::io::stderr(), most as i32 - 1);
}

fn settings(shape: &FleetSpec, n: usize) -> Value {
    let case = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "all", "key_ttl": 3.0, "goal_time": 0.5,
            "overdue_earnings": 0.0, "outer_limit": shape.max_deadline_s})
    };
    let told = shape.configured_fleet_size.max(shape.proxies);
    let own = json!({"index": n * (told / shape.proxies), "fleet_size": told, "locality": n % shape.zones.len(),
        "discovery": "on_request", "weights": "off", "zones": shape.zones, "flavors": ["cache", ORIGIN],
        "realms": [], "specifics": {"mode": "aside", "origin_kind": 1},
        "limits": {"max_hand_offs": 4, "dial_timeout": 0.25, "keepalive": 10.0, "retry_after": true,
            "max_retry_after": 1.5},
        "guarantees": {"ask_within": 10.0, "stop_sending_within": GRACE / 1e3, "start_capacity": shape.caches.cold_share,
            "ramp_time": shape.caches.ramp_s, "fall": FALL},
        "use_cases": [case("read", "safe"), case("write", "keyed"), case("once", "unsafe")]});
    laid_over(own, shape.settings.clone())
}

impl Fleet {
    /// Everything but the clients. `program` runs at each proxy; `folder` takes their files.
    pub async fn start(shape: FleetSpec, program: &Path, folder: &Path) -> Result<Self, String> {
        if !program.is_file() {
            return Err(format!("{}: no such program; build it first", program.display()));
        }
        if shape.proxies == 0 || shape.proxies > PROXIES_MOST || shape.zones.is_empty() {
            return Err(format!("a fleet has 1 to {PROXIES_MOST} proxies and at least one zone"));
        }
        makes_room();
        let world = Backends::new();
        world.set_call_time(Duration::from_secs_f64(shape.discovery_call_ms.max(0.0) / 1e3));
        let failed = |error: std::io::Error| format!("a stand-in: {error}");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut made = Vec::new();
        for (z, zone) in shape.zones.iter().enumerate() {
            for n in 0..shape.caches.count {
                let Caches { workers, queue, time_ms, connections, cold_share, ramp_s, .. } = shape.caches;
                let (id, kind) = (format!("cache-{zone}{n}"), "cache".into());
                let (zone, cell) = (zone.clone(), z as u32);
                made.push(NodeSpec {
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
        let Origin { max_concurrent_fetches: room, time_ms, connections } = shape.origin;
        made.push(NodeSpec {
            id: ORIGIN.into(),
            zone: shape.zones[0].clone(),
            kind: ORIGIN.into(),
            cell: 0,
            workers: room,
            queue: 0,
            time_ms,
            connections,
            cold_share: 1.0,
            ramp_s: 0.0,
        });
        let mut nodes = Vec::new();
        for (n, made) in made.into_iter().enumerate() {
            let id = made.id.clone();
            nodes.push((id, world.serve_node(made, any, n as u64).await.map_err(failed)?));
        }
        let (mut paths, mut proxies) = (BTreeMap::new(), Vec::new());
        let (mut boxes, mut words) = (Vec::new(), Vec::new());
        for n in 0..shape.proxies {
            words.push(own(7_000));
            boxes.push(PostBox::start(words[n], n as u64).await.map_err(failed)?);
        }
        let peers: Vec<SocketAddr> = boxes.iter().take(SEEDS).map(|one| one.addr).collect();
        let key = folder.join("key");
        std::fs::create_dir_all(folder).map_err(failed)?;
        std::fs::write(&key, "a key of the rig's own").map_err(failed)?;
        for n in 0..shape.proxies {
            let (name, mut view) = (format!("n{n}"), NodeAddresses::new());
            for (id, addr) in &nodes {
                let relay = Relay::start(*addr).await.map_err(failed)?;
                view.insert(id.clone(), relay.addr);
                paths.insert((n, id.clone()), relay);
            }
            let known = world.list(&view);
            let told = world.serve_discovery(any, view, &name).await.map_err(failed)?;
            let discovery = Relay::start(told).await.map_err(failed)?;
            let (listen, management) = (own(8_000), own(9_600));
            let home = folder.join(&name);
            let state = home.join("state");
            let mut config = json!({"name": name, "listen": listen, "mgmt": management, "discovery": discovery.addr,
                "seed": format!("{:016x}", 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(n as u64 + 1)),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": shape.sockets}, "known": known,
                "rollout": {"fleet": shape.fleet_name, "state": state}, "settings": settings(&shape, n)});
            if shape.peer_messaging {
                config["words"] = json!({"cluster": shape.fleet_name, "listen": words[n], "advertise": boxes[n].addr,
                    "peers": peers, "key_file": key});
            }
            paths.insert((n, DISCOVERY.into()), discovery);
            let write = |file: &str, text: String| -> Result<String, String> {
                let file = home.join(file);
                let written = std::fs::create_dir_all(&home).and_then(|()| std::fs::write(&file, text));
                written.map_err(|error| format!("{}: {error}", file.display()))?;
                Ok(file.display().to_string())
            };
            let told = write("config.json", config.to_string())?;
            let (process, staff) = if shape.supervised {
                let (control, other) = (own(9_500), own(9_600));
                let text = format!(
                    "name = {name:?}\nfleet = {:?}\nstate = {:?}\nlisten = \"{listen}\"\ncontrol = \"{control}\"\n\
                     management = [\"{management}\", \"{other}\"]\nprogram = {program:?}\nconfig = {told:?}\n",
                    shape.fleet_name,
                    home.join("supervised"),
                );
                let file = write("supervise.toml", text)?;
                (Process::start(&name, program, &["supervise", "--config", &file], &home)?, control)
            } else {
                (Process::start(&name, program, &["serve", "--config", &told], &home)?, management)
            };
            let staff = Relay::start(staff).await.map_err(failed)?;
            let zone = shape.zones[n % shape.zones.len()].clone();
            proxies.push(Proxy {
                process,
                zone,
                listen,
                management: staff.addr,
                state_dir: state,
                words: words[n],
            });
            paths.insert((n, STAFF.into()), staff);
        }
        Ok(Fleet {
            backends: world,
            request_log: RequestLog::default(),
            proxies,
            shape,
            paths,
            boxes,
            coming: Vec::new(),
            excused: Vec::new(),
            down: Vec::new(),
            crowd: Vec::new(),
            hushed: Vec::new(),
        })
    }

    /// Clients come to each proxy for so long.
    pub fn start_clients(&mut self, seed: u64, time: Duration) {
        let (until, load) = (Instant::now() + time, Arc::new(self.shape.load.clone()));
        for (n, proxy) in self.proxies.iter().enumerate() {
            let (name, began) = (&proxy.process.name, self.backends.started_at());
            let clients = Clients::new(name, proxy.listen, began, load.clone(), self.request_log.clone());
            self.coming
                .push(tokio::spawn(clients.run(seed.wrapping_mul(1_000_003).wrapping_add(n as u64), until)));
        }
    }

    /// Waits until all clients have gone.
    pub async fn join_clients(&mut self) {
        for clients in std::mem::take(&mut self.coming) {
            let _ = clients.await;
        }
    }

    /// The numbers of the proxies that this names: `*`, a name, or `zone:NAME`.
    pub fn matching_proxies(&self, who: &str) -> Vec<usize> {
        let zone = who.strip_prefix("zone:");
        let fits = |proxy: &Proxy| who == "*" || proxy.process.name == who || zone == Some(&*proxy.zone);
        (0..self.proxies.len()).filter(|&n| fits(&self.proxies[n])).collect()
    }

    /// The nodes that this names: `caches`, an id, or `zone:NAME`.
    pub fn matching_nodes(&self, who: &str) -> Vec<String> {
        let zone = who.strip_prefix("zone:");
        let fits = |made: &NodeSpec| {
            let cache = made.kind != ORIGIN;
            made.id == who || cache && (who == "caches" || zone == Some(&*made.zone))
        };
        self.backends.node_specs().iter().filter(|made| fits(made)).map(|made| made.id.clone()).collect()
    }

    /// Sets the paths from these proxies to these ends; how many those are.
    pub fn set_link_mode(&self, from: &str, to: &str, way: LinkMode) -> usize {
        let ends = match to {
            DISCOVERY | STAFF => vec![to.to_owned()],
            "*" => {
                self.backends.node_specs().into_iter().map(|made| made.id).chain([DISCOVERY.into()]).collect()
            }
            nodes => self.matching_nodes(nodes),
        };
        let chosen = self
            .matching_proxies(from)
            .into_iter()
            .flat_map(|n| ends.iter().map(move |end| (n, end.clone())));
        chosen.filter_map(|path| self.paths.get(&path)).map(|relay| relay.set_mode(way)).count()
    }

    /// Sets what becomes of datagrams from these proxies to those; how many pairs those are.
    pub fn set_datagram_mode(&self, from: &str, to: &str, way: DatagramMode) -> usize {
        let (from, to) = (self.matching_proxies(from), self.matching_proxies(to));
        let pairs = from.iter().flat_map(|&from| to.iter().map(move |&to| (from, to)));
        pairs.map(|(from, to)| self.boxes[to].set_mode(self.proxies[from].words, way)).count()
    }

    /// What these proxies have open to discovery says nothing more; new connections do.
    pub fn silence_watches(&mut self, who: &str) -> usize {
        let (now, proxies) = (self.backends.now_ms(), self.matching_proxies(who));
        for &n in &proxies {
            let Some(path) = self.paths.get(&(n, DISCOVERY.into())) else { continue };
            path.silence_open();
            self.hushed.push((self.proxies[n].process.name.clone(), now, now + path.delay_ms()));
        }
        proxies.len()
    }

    /// Requests at this proxy between these times may be lost: we did that.
    pub fn excuse(&mut self, n: usize, from_ms: f64, to_ms: f64) {
        self.excused.push((self.proxies[n].process.name.clone(), from_ms, to_ms));
    }

    /// This proxy is told to end: new connections are not owed to anybody from some time on, until it is started again.
    pub fn mark_down(&mut self, n: usize) {
        let (name, now) = (self.proxies[n].process.name.clone(), self.backends.now_ms());
        if !self.down.iter().any(|(proxy, _, to)| *proxy == name && *to == f64::MAX) {
            self.down.push((name, now, f64::MAX));
        }
    }

    /// It takes clients again.
    pub fn mark_up(&mut self, n: usize) {
        let (name, now) = (&self.proxies[n].process.name, self.backends.now_ms());
        let open = self.down.iter_mut().filter(|(proxy, _, to)| proxy == name && *to == f64::MAX);
        open.for_each(|down| down.2 = now);
    }

    /// So many clients connect to this proxy, say nothing and stay; how many came in.
    pub async fn open_idle_connections(&mut self, n: usize, connections: usize) -> usize {
        let before = self.crowd.len();
        for _ in 0..connections {
            self.crowd.extend(TcpStream::connect(self.proxies[n].listen).await);
        }
        self.crowd.len() - before
    }

    /// What was excused at this proxy without an end ends then.
    pub fn end_excuse(&mut self, n: usize, until_ms: f64) {
        let name = &self.proxies[n].process.name;
        let open = self.excused.iter_mut().filter(|(proxy, _, to)| proxy == name && *to == f64::MAX);
        open.for_each(|excused| excused.2 = until_ms);
    }

    /// Every process lives and goes on from now on; requests that meet its return are excused for so many ms.
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

    /// Every breach of the rules so far.
    pub fn breaches(&self) -> Vec<Breach> {
        let repeats = [
            ("read", RepeatRules { replayable: true, dedup_window_ms: None }),
            ("write", RepeatRules { replayable: false, dedup_window_ms: Some(3_000.0) }),
            ("once", RepeatRules { replayable: false, dedup_window_ms: None }),
        ];
        // As the proxies have them.
        let settings = settings(&self.shape, 0);
        check_rules(&Observations {
            client_requests: &self.request_log.entries(),
            node_requests: &self.backends.node_requests(),
            list_changes: &self.backends.list_changes(),
            discovery_calls: &self.backends.discovery_calls(),
            silenced_watches: &self.hushed,
            push_discovery: settings["discovery"] == "pushed",
            node_specs: &self.backends.node_specs(),
            repeat_rules: &repeats.map(|(name, repeats)| (name.to_owned(), repeats)).into(),
            drain_grace_ms: settings["guarantees"]["stop_sending_within"]
                .as_f64()
                .map_or(GRACE, |grace| grace * 1e3),
            cold_overload_window_s: FALL,
            excused: &self.excused,
            shutdowns: &self.down,
            sockets_exhausted: !self.crowd.is_empty(),
        })
    }
}
