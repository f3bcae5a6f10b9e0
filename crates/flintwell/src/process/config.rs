//! The configuration file: read once at start, checked whole before anything is opened.

use flintwell_core::interface::Settings;
use flintwell_settings::listing::Listing;
use flintwell_settings::{Network, check, decode, decode_network, laid_over};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const SOCKETS: usize = 1_024; // descriptors; the usual limit of a process, where none is given
const MANAGEMENT: &str = "EDGE_MGMT"; // names the second address
const MEMORY: f64 = 64.0; // MB; where none is given
const MEGABYTE: f64 = 1_048_576.0; // bytes
const BODIES: f64 = 0.25; // of the memory, for bodies of requests
const ANSWERS: f64 = 0.375; // of the memory, for answers read ahead; the rest for connections and ourselves
const KEY_LEAST: usize = 16; // bytes; a shorter one can be guessed
pub const SOCKETS_LEAST: usize = 64; // descriptors; under this nothing is left for clients and nodes

#[derive(Deserialize)]
struct Limits {
    #[serde(default)]
    sockets: Option<usize>,
    #[serde(default)]
    memory_mb: Option<f64>,
}

/// Where changes of settings come from and are kept.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The fleet's name; words of another's are refused.
    pub fleet: String,
    /// A folder of this proxy's own that outlives the process.
    pub state: PathBuf,
}

/// Words with the other proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WordsTold {
    cluster: String,
    listen: SocketAddr,
    /// Where others reach that; the same address where it is not told.
    #[serde(default)]
    advertise: Option<SocketAddr>,
    peers: Vec<SocketAddr>,
    /// Signs each datagram; without one they are not signed.
    #[serde(default)]
    key_file: Option<PathBuf>,
}

#[derive(Clone, Debug)]
pub struct Words {
    pub cluster: String,
    pub listen: SocketAddr,
    pub advertise: SocketAddr,
    pub peers: Vec<SocketAddr>,
    pub key: Vec<u8>,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    /// The second address, for the staff; none without it.
    #[serde(default)]
    mgmt: Option<SocketAddr>,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Option<Limits>,
    known: Listing,
    settings: Value,
    /// How settings are changed while we run; not at all without it.
    #[serde(default)]
    rollout: Option<Rollout>,
    /// Whom to speak with; nobody without it.
    #[serde(default)]
    words: Option<WordsTold>,
    /// What other settings to watch with, laid over the ones in force.
    #[serde(default)]
    watch_with: Option<Value>,
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub management: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    /// Bytes of bodies that may be kept.
    pub bodies: usize,
    /// Bytes of long answers that may be read ahead of their clients.
    pub answers: usize,
    pub known: Listing,
    pub settings: Settings,
    pub watch_with: Option<Settings>,
    pub network: Network,
    pub rollout: Option<Rollout>,
    pub words: Option<Words>,
    /// The settings as they stand in the file.
    pub told: Value,
}

pub fn read(path: &Path) -> Result<Config, String> {
    let place = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let text = std::fs::read(path).map_err(|e| place(&e))?;
    decode_config(&text).map_err(|e| place(&e))
}

fn decode_config(text: &[u8]) -> Result<Config, String> {
    let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let sockets = file.limits.as_ref().and_then(|limits| limits.sockets).unwrap_or(SOCKETS);
    let memory = file.limits.and_then(|limits| limits.memory_mb).unwrap_or(MEMORY).max(0.0);
    if sockets < SOCKETS_LEAST {
        return Err(format!("limits.sockets is {sockets}; {SOCKETS_LEAST} are the least"));
    }
    check(&file.settings)?;
    let settings = decode(&file.settings)?;
    let management = management_told()?.or(file.mgmt);
    if let Some(rollout) = &file.rollout {
        if rollout.fleet.is_empty() || rollout.state.as_os_str().is_empty() {
            return Err("rollout: fleet and state need a name each".into());
        }
        if management.is_none() {
            return Err("rollout: settings are changed at the second address, and mgmt gives none".into());
        }
    }
    let words = file.words.map(|told| words(told, &settings, &file.settings)).transpose()?;
    let watch_with = file.watch_with.map(|other| {
        let both = laid_over(file.settings.clone(), other);
        check(&both).and_then(|()| decode(&both)).map_err(|e| format!("watch_with: {e}"))
    });
    Ok(Config {
        name: file.name,
        listen: file.listen,
        management,
        discovery: file.discovery,
        seed: u64::from_str_radix(&file.seed, 16).map_err(|e| format!("seed: {e}"))?,
        sockets,
        bodies: (memory * MEGABYTE * BODIES) as usize,
        answers: (memory * MEGABYTE * ANSWERS) as usize,
        known: file.known,
        network: decode_network(&file.settings)?,
        settings,
        watch_with: watch_with.transpose()?,
        rollout: file.rollout,
        words,
        told: file.settings,
    })
}

fn words(told: WordsTold, settings: &Settings, file: &Value) -> Result<Words, String> {
    let WordsTold { cluster, listen, advertise, peers, key_file } = told;
    let advertise = advertise.unwrap_or(listen);
    if file["limits"]["peer_messages"] == Value::Bool(false) {
        return Err("words: limits.peer_messages bars words between proxies".into());
    }
    if cluster.is_empty() || listen.port() == 0 || advertise.ip().is_unspecified() {
        return Err("words: cluster needs a name, listen a port, and others an address to reach".into());
    }
    if !peers.iter().any(|peer| *peer != advertise) {
        return Err("words: peers names nobody but this proxy".into());
    }
    if settings.proxy_index >= settings.fleet_size {
        let (index, size) = (settings.proxy_index, settings.fleet_size);
        return Err(format!("words: index {index} is not under fleet_size {size}"));
    }
    let key = match key_file {
        Some(file) => {
            let key = std::fs::read(&file).map_err(|e| format!("words: key_file {}: {e}", file.display()))?;
            if key.len() < KEY_LEAST {
                return Err(format!("words: key_file {} holds under {KEY_LEAST} bytes", file.display()));
            }
            key
        }
        None => Vec::new(),
    };
    Ok(Words { cluster, listen, advertise, peers, key })
}

/// The second address as the environment tells it, which is this process's own.
fn management_told() -> Result<Option<SocketAddr>, String> {
    let told = std::env::var(MANAGEMENT).ok().filter(|told| !told.is_empty());
    told.map(|told| told.parse().map_err(|e| format!("{MANAGEMENT} is {told}: {e}"))).transpose()
}

impl std::fmt::Display for Config {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let cases = self.network.classes.join(", ");
        writeln!(f, "{} listens on {}, discovery at {}", self.name, self.listen, self.discovery)?;
        if let Some(management) = self.management {
            writeln!(f, "second address {management}")?;
        }
        writeln!(
            f,
            "number {} of {}, {} descriptors",
            self.settings.proxy_index, self.settings.fleet_size, self.sockets
        )?;
        let watched = if self.watch_with.is_some() { "; other settings are watched" } else { "" };
        write!(f, "classes: {cases}; nodes known: {}{watched}", self.known.len())
    }
}
