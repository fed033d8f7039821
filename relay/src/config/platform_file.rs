//! The platform's file: addresses, the machine's limits, and the settings of the platform front.
use serde::Deserialize;
use serde_json::value::RawValue;
use slatethread_wirehost::wire_settings::WireSettings;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::environment::{address, variable};
use super::rules::{Rules, rules};
use crate::json::decode;
use crate::list::{ListText, NodeList};

/// Minimum disk space of a journal, in megabytes.
pub(super) const MIN_DISK_MB: f64 = 0.1;

/// The platform's configuration of a relay.
pub struct PlatformConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The address of the admin API for operators.
    pub admin: Option<SocketAddr>,
    /// The folder for persistent state.
    pub state: PathBuf,
    pub seed: u64,
    pub limits: MachineLimits,
    /// The list of execute nodes as this relay last knew it.
    pub known_nodes: NodeList,
    pub rules: Rules,
}

/// The machine's limits.
#[derive(Clone, Copy, Debug)]
pub struct MachineLimits {
    /// Size limit in bytes of the folder for persistent state.
    pub disk_bytes: u64,
    /// Limit of open file descriptors.
    pub sockets: usize,
    /// Limit of the process's memory, in bytes; `None` if the file names none.
    pub memory_bytes: Option<usize>,
}

/// The file as it is written. The names of this type and of [`PlatformFileLimits`] appear in decoding errors.
#[derive(Deserialize)]
struct PlatformFile<'a> {
    name: String,
    listen: SocketAddr,
    discovery: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    limits: PlatformFileLimits,
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    settings: WireSettings,
}

#[derive(Deserialize)]
struct PlatformFileLimits {
    #[serde(default = "default_sockets")]
    sockets: usize,
    #[serde(default = "default_disk_mb")]
    disk_mb: f64,
    memory_mb: Option<f64>,
}

fn default_sockets() -> usize {
    1024
}

fn default_disk_mb() -> f64 {
    3.0
}

/// Reads the file that `BALANCER_CONFIG` names. `BALANCER_NAME` and `BALANCER_LISTEN` override it. `BALANCER_DISCOVERY`
/// does not, since the file can be replaced while the process runs and a variable cannot. Returns `None` if
/// `BALANCER_CONFIG` is not set: the relay then does not run on the platform.
pub fn load_platform_config() -> Result<Option<PlatformConfig>, String> {
    let Some(path) = variable("BALANCER_CONFIG")? else { return Ok(None) };
    let text = std::fs::read(&path).map_err(|e| format!("BALANCER_CONFIG: cannot read {path}: {e}"))?;
    parse_platform_config(&text).map(Some)
}

/// Parses and validates the text of the platform's file.
fn parse_platform_config(text: &[u8]) -> Result<PlatformConfig, String> {
    let file: PlatformFile = decode(text).map_err(|e| format!("BALANCER_CONFIG: {e}"))?;
    let state = variable("BALANCER_STATE")?.ok_or("BALANCER_STATE is not set")?;
    let discovery =
        file.discovery.map_or_else(|| address("BALANCER_DISCOVERY"), |discovery| Ok(Some(discovery)))?;
    let discovery = discovery
        .ok_or("BALANCER_CONFIG: discovery: the key is missing, and BALANCER_DISCOVERY is not set")?;
    let seed = if file.seed.is_empty() { Ok(0) } else { u64::from_str_radix(&file.seed, 16) };
    let known = known_nodes(file.known).map_err(|e| format!("BALANCER_CONFIG: known: {e}"))?;
    let disk = file.limits.disk_mb;
    if !disk.is_finite() || disk < MIN_DISK_MB {
        return Err(format!("BALANCER_CONFIG: limits.disk_mb: {disk} MB is too small for a journal"));
    }
    let memory = file.limits.memory_mb;
    if let Some(memory) = memory.filter(|memory| !memory.is_finite() || *memory <= 0.0) {
        return Err(format!("BALANCER_CONFIG: limits.memory_mb: {memory} is no size"));
    }
    Ok(PlatformConfig {
        name: variable("BALANCER_NAME")?.unwrap_or(file.name),
        listen: address("BALANCER_LISTEN")?.unwrap_or(file.listen),
        discovery,
        admin: file.admin,
        state: Path::new(&state).to_owned(),
        seed: seed.map_err(|_| format!("BALANCER_CONFIG: seed: '{}' is not hexadecimal", file.seed))?,
        limits: MachineLimits {
            disk_bytes: (disk * 1e6) as u64,
            sockets: file.limits.sockets,
            memory_bytes: memory.map(|memory| (memory * 1e6) as usize),
        },
        known_nodes: known.unwrap_or_default(),
        rules: rules(file.settings).map_err(|e| format!("BALANCER_CONFIG: settings: {e}"))?,
    })
}

/// Decodes the list of execute nodes in `known`, if the file has one.
fn known_nodes(known: Option<&RawValue>) -> Result<Option<NodeList>, String> {
    known.map(|known| NodeList::parse(ListText::from(known.get().as_bytes().to_vec()))).transpose()
}

/// A one-line summary of a valid platform file.
pub(super) fn summary(text: &[u8]) -> Result<String, String> {
    let PlatformFile { settings, known, .. } = decode(text)?;
    let rules = rules(settings).map_err(|e| format!("settings: {e}"))?;
    let known = known_nodes(known).map_err(|e| format!("known: {e}"))?;
    let (classes, nodes) = (rules.names.classes.len(), known.map_or(0, |known| known.len()));
    Ok(format!("platform configuration, {classes} classes, {nodes} known nodes"))
}
