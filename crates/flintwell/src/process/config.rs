//! Configuration file: read at start (and again on SIGHUP) and validated completely before any socket is opened.

use flintwell_core::interface::Settings;
use flintwell_settings::node_list::NodeList;
use flintwell_settings::{NetworkSettings, check, decode, decode_network, merge_settings};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const DEFAULT_SOCKETS: usize = 1_024; // the usual soft limit on descriptors of a process
const MANAGEMENT_ENV: &str = "EDGE_MGMT"; // overrides `mgmt` of the file
const DEFAULT_MEMORY_MB: f64 = 64.0;
const BYTES_PER_MB: f64 = 1_048_576.0;
const MIN_KEY_BYTES: usize = 16; // shorter keys can be guessed
/// Smallest usable descriptor limit; below it none would be left for clients and nodes.
pub const MIN_SOCKETS: usize = 64;

#[derive(Deserialize)]
struct Limits {
    #[serde(default)]
    sockets: Option<usize>,
    #[serde(default)]
    memory_mb: Option<f64>,
}

/// Settings rollout: the fleet this proxy belongs to and where it persists the settings in force.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutConfig {
    /// Name of the fleet; rollout messages for another fleet are refused.
    pub fleet: String,
    /// State directory, used by this proxy only; it must outlive the process.
    pub state: PathBuf,
}

/// Messages between the proxies of the fleet, as configured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PeerMessagingSection {
    cluster: String,
    listen: SocketAddr,
    /// Address at which other proxies reach `listen`, if it differs.
    #[serde(default)]
    advertise: Option<SocketAddr>,
    peers: Vec<SocketAddr>,
    /// Key that signs each datagram; datagrams are not signed without one.
    #[serde(default)]
    key_file: Option<PathBuf>,
}

/// Messages between the proxies of the fleet, validated, with defaults applied and the key loaded.
#[derive(Clone, Debug)]
pub struct PeerMessagingConfig {
    pub cluster: String,
    pub listen: SocketAddr,
    pub advertise: SocketAddr,
    pub peers: Vec<SocketAddr>,
    /// Empty if datagrams are not signed.
    pub key: Vec<u8>,
}

#[derive(Deserialize)]
struct ConfigFile {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    /// Address of the management API, which is off without it.
    #[serde(default)]
    mgmt: Option<SocketAddr>,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Option<Limits>,
    known: NodeList,
    settings: Value,
    /// Settings cannot be changed at run time without it.
    #[serde(default)]
    rollout: Option<RolloutConfig>,
    /// The proxy exchanges no messages with other proxies without it.
    #[serde(default, rename = "words")]
    peer_messaging: Option<PeerMessagingSection>,
    /// Overrides on top of `settings` for a shadow policy, whose decisions are only compared with those taken.
    #[serde(default)]
    watch_with: Option<Value>,
}

/// Validated configuration.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub management: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    /// Memory limit of the process.
    pub memory_bytes: usize,
    pub initial_nodes: NodeList,
    pub settings: Settings,
    /// Settings of the shadow policy, `watch_with` laid over `settings`.
    pub shadow_settings: Option<Settings>,
    pub network: NetworkSettings,
    pub rollout: Option<RolloutConfig>,
    pub peer_messaging: Option<PeerMessagingConfig>,
    /// The settings as JSON, unchanged from the file.
    pub settings_json: Value,
}

/// Reads and validates the configuration file; the error names the file.
pub fn load(path: &Path) -> Result<Config, String> {
    let with_path = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let text = std::fs::read(path).map_err(|e| with_path(&e))?;
    parse(&text).map_err(|e| with_path(&e))
}

fn parse(text: &[u8]) -> Result<Config, String> {
    let file: ConfigFile = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let sockets = file.limits.as_ref().and_then(|limits| limits.sockets).unwrap_or(DEFAULT_SOCKETS);
    let memory = file.limits.and_then(|limits| limits.memory_mb).unwrap_or(DEFAULT_MEMORY_MB).max(0.0);
    if sockets < MIN_SOCKETS {
        return Err(format!("limits.sockets is {sockets}; the minimum is {MIN_SOCKETS}"));
    }
    check(&file.settings)?;
    let settings = decode(&file.settings)?;
    let management = management_from_env()?.or(file.mgmt);
    if let Some(rollout) = &file.rollout {
        if rollout.fleet.is_empty() || rollout.state.as_os_str().is_empty() {
            return Err("rollout: fleet and state must not be empty".into());
        }
        if management.is_none() {
            return Err("rollout: needs the management API, but mgmt is not set".into());
        }
    }
    let peer_messaging =
        file.peer_messaging.map(|section| peer_messaging(section, &settings, &file.settings)).transpose()?;
    let shadow_settings = file.watch_with.map(|other| {
        let both = merge_settings(file.settings.clone(), other);
        check(&both).and_then(|()| decode(&both)).map_err(|e| format!("watch_with: {e}"))
    });
    Ok(Config {
        name: file.name,
        listen: file.listen,
        management,
        discovery: file.discovery,
        seed: u64::from_str_radix(&file.seed, 16).map_err(|e| format!("seed: {e}"))?,
        sockets,
        memory_bytes: (memory * BYTES_PER_MB) as usize,
        initial_nodes: file.known,
        network: decode_network(&file.settings)?,
        settings,
        shadow_settings: shadow_settings.transpose()?,
        rollout: file.rollout,
        peer_messaging,
        settings_json: file.settings,
    })
}

fn peer_messaging(
    section: PeerMessagingSection,
    settings: &Settings,
    settings_json: &Value,
) -> Result<PeerMessagingConfig, String> {
    let PeerMessagingSection { cluster, listen, advertise, peers, key_file } = section;
    let advertise = advertise.unwrap_or(listen);
    if settings_json["limits"]["peer_messages"] == Value::Bool(false) {
        return Err("words: limits.peer_messages forbids messages between proxies".into());
    }
    if cluster.is_empty() || listen.port() == 0 || advertise.ip().is_unspecified() {
        return Err("words: cluster needs a name, listen a port, and advertise an address to reach".into());
    }
    if !peers.iter().any(|peer| *peer != advertise) {
        return Err("words: peers lists nobody but this proxy".into());
    }
    if settings.proxy_index >= settings.fleet_size {
        let (index, size) = (settings.proxy_index, settings.fleet_size);
        return Err(format!("words: index {index} must be less than fleet_size {size}"));
    }
    let key = match key_file {
        Some(file) => {
            let key = std::fs::read(&file).map_err(|e| format!("words: key_file {}: {e}", file.display()))?;
            if key.len() < MIN_KEY_BYTES {
                return Err(format!(
                    "words: key_file {} has fewer than {MIN_KEY_BYTES} bytes",
                    file.display()
                ));
            }
            key
        }
        None => Vec::new(),
    };
    Ok(PeerMessagingConfig { cluster, listen, advertise, peers, key })
}

/// Management address from the environment. It takes precedence over the file, because versions that run side by side
/// share the file but need an address each.
fn management_from_env() -> Result<Option<SocketAddr>, String> {
    let value = std::env::var(MANAGEMENT_ENV).ok().filter(|value| !value.is_empty());
    value.map(|value| value.parse().map_err(|e| format!("{MANAGEMENT_ENV} is {value}: {e}"))).transpose()
}

impl std::fmt::Display for Config {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let classes = self.network.classes.join(", ");
        writeln!(f, "{} listens on {}, discovery at {}", self.name, self.listen, self.discovery)?;
        if let Some(management) = self.management {
            writeln!(f, "management address {management}")?;
        }
        writeln!(
            f,
            "proxy {} of {}, {} descriptors",
            self.settings.proxy_index, self.settings.fleet_size, self.sockets
        )?;
        let shadow = if self.shadow_settings.is_some() {
            "; shadow policy with the settings of watch_with"
        } else {
            ""
        };
        write!(f, "classes: {classes}; initial nodes: {}{shadow}", self.initial_nodes.len())
    }
}
