//! The platform's file: addresses, the machine's limits, and the settings that rules follow from.
use serde::Deserialize;
use serde_json::value::RawValue;
use slatethread_wirehost::wire_settings::WireSettings;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::environment::{address, variable};
use super::rules::{Rules, rules};
use crate::json::decode;
use crate::list::{ListText, NodeList};

/// The least that a journal can be kept in, in megabytes.
pub(super) const LEAST_DISK_MB: f64 = 0.1;

/// What a relay on the platform is told.
pub struct Platform {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where those who run the relay call.
    pub admin: Option<SocketAddr>,
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

/// The file as it is written. Its name stands in the errors of the decoder, and so does that of its limits.
#[derive(Deserialize)]
struct Told<'a> {
    name: String,
    listen: SocketAddr,
    discovery: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    limits: ToldLimits,
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    settings: WireSettings,
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

/// Reads what the platform tells in `BALANCER_CONFIG`; the variables for the name and the address to listen on
/// override it. That for discovery does not: the file may be replaced while the process runs, a variable can't
/// be. Without `BALANCER_CONFIG`, this is no relay of the platform's.
pub fn platform() -> Result<Option<Platform>, String> {
    let Some(path) = variable("BALANCER_CONFIG")? else { return Ok(None) };
    let text = std::fs::read(&path).map_err(|e| format!("BALANCER_CONFIG: cannot read {path}: {e}"))?;
    platform_text(&text).map(Some)
}

/// The same from the file's text.
fn platform_text(text: &[u8]) -> Result<Platform, String> {
    let told: Told = decode(text).map_err(|e| format!("BALANCER_CONFIG: {e}"))?;
    let state = variable("BALANCER_STATE")?.ok_or("BALANCER_STATE is not set")?;
    let discovery = told.discovery.map_or_else(|| address("BALANCER_DISCOVERY"), |told| Ok(Some(told)))?;
    let discovery = discovery.ok_or("BALANCER_CONFIG: discovery: it is missing")?;
    let seed = if told.seed.is_empty() { Ok(0) } else { u64::from_str_radix(&told.seed, 16) };
    let known = known_nodes(told.known).map_err(|e| format!("BALANCER_CONFIG: known: {e}"))?;
    let disk = told.limits.disk_mb;
    if !disk.is_finite() || disk < LEAST_DISK_MB {
        return Err(format!("BALANCER_CONFIG: limits.disk_mb: {disk} is too small to keep a journal in"));
    }
    Ok(Platform {
        name: variable("BALANCER_NAME")?.unwrap_or(told.name),
        listen: address("BALANCER_LISTEN")?.unwrap_or(told.listen),
        discovery,
        admin: told.admin,
        state: Path::new(&state).to_owned(),
        seed: seed.map_err(|_| format!("BALANCER_CONFIG: seed: '{}' is not hexadecimal", told.seed))?,
        limits: Limits { disk: (disk * 1e6) as u64, sockets: told.limits.sockets },
        known: known.unwrap_or_default(),
        rules: rules(told.settings).map_err(|e| format!("BALANCER_CONFIG: settings: {e}"))?,
    })
}

/// The list of execute nodes that the file says is known, if it has one.
fn known_nodes(known: Option<&RawValue>) -> Result<Option<NodeList>, String> {
    known.map(|known| NodeList::read(ListText::from(known.get().as_bytes().to_vec()))).transpose()
}

/// What the file sets up, in a line.
pub(super) fn summary(text: &[u8]) -> Result<String, String> {
    let Told { settings, known, .. } = decode(text)?;
    let rules = rules(settings).map_err(|e| format!("settings: {e}"))?;
    let known = known_nodes(known).map_err(|e| format!("known: {e}"))?;
    let (classes, nodes) = (rules.names.classes.len(), known.map_or(0, |known| known.len()));
    Ok(format!("the platform's configuration, {classes} classes, {nodes} nodes known"))
}
