//! The one place where configuration is read, checked and given defaults. Every fault names its key.
use serde::Deserialize;
use serde::de::DeserializeOwned;
use slatethread::{Nanos, Settings};
use slatethread_wirehost::env::{self, Env, Names};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What a relay on the platform is told.
pub struct Platform {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The folder that lasts.
    pub state: PathBuf,
    pub seed: u64,
    pub limits: Limits,
    /// The list of execute nodes as this relay last held it.
    pub known: NodeList,
    pub rules: Rules,
}

/// The machine's limits.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes that the folder that lasts may hold.
    pub disk: u64,
    /// File descriptors.
    pub sockets: usize,
}

/// The module's settings, with what else a front needs of them.
pub struct Rules {
    pub settings: Settings,
    pub names: Names,
}

impl Rules {
    /// Least time between rounds.
    pub fn step(&self) -> Duration {
        span(self.settings.step, Duration::from_millis(5))
    }

    /// A connection that is not up within this time has failed.
    pub fn dial_timeout(&self) -> Duration {
        span(self.settings.dial_timeout, Duration::from_millis(1500))
    }

    /// An execute node closes a connection that has stood idle for so long.
    pub fn idle_close(&self) -> Duration {
        span(self.settings.idle_close, Duration::from_secs(10))
    }

    pub fn class(&self, name: &str) -> Option<usize> {
        self.names.classes.iter().position(|n| n == name)
    }
}

/// Nanoseconds are the module's; everything on this side of its edge has durations.
pub fn span(nanos: Option<Nanos>, default: Duration) -> Duration {
    nanos.map_or(default, Duration::from_nanos)
}

/// A list of execute nodes in discovery's form.
#[derive(Clone, Debug, Deserialize)]
pub struct NodeList {
    pub generation: u64,
    /// The whole list; what is not in it is gone.
    pub reset: bool,
    pub instances: Vec<NodeEntry>,
}

/// An execute node as discovery lists it.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct NodeEntry {
    pub instance_id: String,
    pub host_port: String,
    pub zone: String,
    pub machine_type: String,
    pub cell: u64,
    pub lifecycle: Lifecycle,
    pub weight: Option<f64>,
}

/// What discovery says of an execute node.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    Serving,
    /// Finishes what it has and wants nothing new.
    Draining,
    Deleted,
    /// A state of which nothing is known: nothing new is sent there.
    #[serde(other)]
    Other,
}

#[derive(Deserialize)]
struct Told {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    limits: ToldLimits,
    known: Option<NodeList>,
    settings: Env,
}

#[derive(Deserialize)]
struct ToldLimits {
    #[serde(default = "default_sockets")]
    sockets: usize,
    #[serde(default = "default_disk_mb")]
    disk_mb: f64,
}

fn default_sockets() -> usize {
    1024
}

fn default_disk_mb() -> f64 {
    3.0
}

/// Reads what the platform tells in `BALANCER_CONFIG`; the other variables override it.
pub fn platform() -> Result<Platform, String> {
    let path = variable("BALANCER_CONFIG")?.ok_or("BALANCER_CONFIG is not set")?;
    let text = std::fs::read(&path).map_err(|e| format!("BALANCER_CONFIG: cannot read {path}: {e}"))?;
    let told: Told = decode(&text).map_err(|e| format!("BALANCER_CONFIG: {e}"))?;
    let state = variable("BALANCER_STATE")?.ok_or("BALANCER_STATE is not set")?;
    let seed = if told.seed.is_empty() { Ok(0) } else { u64::from_str_radix(&told.seed, 16) };
    let known = NodeList { generation: 0, reset: true, instances: Vec::new() };
    let disk = told.limits.disk_mb;
    if !disk.is_finite() || disk < 0.1 {
        return Err(format!("BALANCER_CONFIG: limits.disk_mb: {disk} is too small to keep a journal in"));
    }
    Ok(Platform {
        name: variable("BALANCER_NAME")?.unwrap_or(told.name),
        listen: address("BALANCER_LISTEN")?.unwrap_or(told.listen),
        discovery: address("BALANCER_DISCOVERY")?.unwrap_or(told.discovery),
        state: Path::new(&state).to_owned(),
        seed: seed.map_err(|_| format!("BALANCER_CONFIG: seed: '{}' is not hexadecimal", told.seed))?,
        limits: Limits { disk: (disk * 1e6) as u64, sockets: told.limits.sockets },
        known: told.known.unwrap_or(known),
        rules: rules(told.settings).map_err(|e| format!("BALANCER_CONFIG: settings: {e}"))?,
    })
}

fn rules(env: Env) -> Result<Rules, String> {
    let (settings, names) = env::settings(env)?;
    if settings.classes.is_empty() {
        return Err("categories: no class of message is given".into());
    }
    Ok(Rules { settings, names })
}

/// Decodes JSON; a fault names the path of the key.
pub fn decode<T: DeserializeOwned>(text: &[u8]) -> Result<T, String> {
    serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(text)).map_err(|e| {
        let path = e.path().to_string();
        if path == "." { e.inner().to_string() } else { format!("{path}: {}", e.inner()) }
    })
}

fn variable(name: &str) -> Result<Option<String>, String> {
    match std::env::var(name) {
        Ok(value) if value.is_empty() => Ok(None),
        Ok(value) => Ok(Some(value)),
        Err(std::env::VarError::NotPresent) => Ok(None),
        Err(std::env::VarError::NotUnicode(_)) => Err(format!("{name} is not UTF-8")),
    }
}

fn address(name: &str) -> Result<Option<SocketAddr>, String> {
    let value = variable(name)?;
    value.map(|v| v.parse().map_err(|_| format!("{name}: '{v}' is no address and port"))).transpose()
}
