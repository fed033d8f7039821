//! The one place where configuration is read, checked and given defaults. Every fault names its key.
use onyxglade_instances::{Key, LONGEST, fits};
use rustls::pki_types::ServerName;
use serde::de::IntoDeserializer;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use slatethread::{Effect, Fade, Kind, Nanos, Settings, Weights};
use slatethread_wirehost::env::{self, Env, Names};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, ToSocketAddrs};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use crate::job::nanos;
use crate::json::decode;
use crate::list::{Lifecycle, ListText, NodeEntry, NodeList};
use crate::tls;

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

/// The module's settings, with what else a front needs of them.
#[derive(Clone)]
pub struct Rules {
    pub settings: Settings,
    pub names: Names,
}

impl Rules {
    /// Least time between rounds.
    pub fn step(&self) -> Duration {
        span(self.settings.step, Duration::from_millis(5))
    }

    /// The list must be watched or asked for this often.
    pub fn must_ask_in(&self) -> Duration {
        span(self.settings.rules.must_ask_in, Duration::from_secs(10))
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
    let known = told.known.map(|known| NodeList::read(ListText::from(known.get().as_bytes().to_vec())));
    let known = known.transpose().map_err(|e| format!("BALANCER_CONFIG: known: {e}"))?;
    let disk = told.limits.disk_mb;
    if !disk.is_finite() || disk < 0.1 {
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

fn rules(env: Env) -> Result<Rules, String> {
    let (settings, names) = env::settings(env)?;
    if settings.classes.is_empty() {
        return Err("categories: no class of message is given".into());
    }
    Ok(Rules { settings, names })
}

fn variable(name: &str) -> Result<Option<String>, String> {
    match std::env::var(name) {
        Ok(value) if value.is_empty() => Ok(None),
        Ok(value) => Ok(Some(value)),
        Err(std::env::VarError::NotPresent) => Ok(None),
        Err(std::env::VarError::NotUnicode(_)) => Err(format!("{name} is not UTF-8")),
    }
}

/// Where those who run the relay call, if the environment says so: over any file.
pub fn admin() -> Result<Option<SocketAddr>, String> {
    address("BALANCER_ADMIN")
}

fn address(name: &str) -> Result<Option<SocketAddr>, String> {
    let value = variable(name)?;
    value.map(|v| v.parse().map_err(|_| format!("{name}: '{v}' is no address and port"))).transpose()
}

/// What the relay's own file says.
pub struct Own {
    /// The second front, if it is on.
    pub push: Option<Push>,
    /// A plug-in for the fronts that are on.
    pub hook: Option<HookTable>,
    /// How destinations are kept that are seldom used.
    pub idle: Idle,
    /// Where those who run the relay call.
    pub admin: Option<SocketAddr>,
    /// The other instances, if this one talks to any.
    pub instances: Option<Instances>,
}

/// How an instance talks to the others.
#[derive(Clone)]
pub struct Instances {
    /// Where it listens for datagrams.
    pub listen: SocketAddr,
    /// Where others reach it; where it listens, if nothing is said.
    pub advertise: Option<SocketAddr>,
    pub seeds: Vec<SocketAddr>,
    pub key: Key,
    /// Its name; the platform's name for it, if nothing is said.
    pub name: Option<String>,
    pub zone: String,
    pub region: String,
    /// Messages a second that it bears; 0 is untold.
    pub capacity: u32,
    /// About how many instances there are.
    pub expected: u32,
    /// Lists pass between instances.
    pub lists: bool,
    /// Limits are divided among the instances that are there.
    pub shares: bool,
}

/// How destinations are kept that are seldom used, on the fronts that are on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Idle {
    /// A destination unused for so long is cold until it shows otherwise; none is where this is not set.
    pub cold_after: Option<Duration>,
    /// The longest list that is read, in bytes.
    pub list_limit: usize,
    /// Connections to execute nodes that may be open at once, idle ones counted.
    pub connections: Option<usize>,
}

impl Default for Idle {
    fn default() -> Self {
        Idle { cold_after: None, list_limit: 8 * MB, connections: None }
    }
}

impl Idle {
    /// Puts what the module is to know of it into a front's rules.
    pub fn apply(&self, rules: &mut Rules) {
        rules.settings.cold_after = self.cold_after.map(nanos);
    }
}

const MB: usize = 1024 * 1024;
/// The module forgets what it measured of a destination after a minute without use: no return can be told from
/// ordinary use before.
const LEAST_COLD_AFTER_S: u64 = 60;

/// The second front.
pub struct Push {
    pub listen: SocketAddr,
    /// The folder that lasts.
    pub state: PathBuf,
    pub disk: u64,
    /// Where ends are told.
    pub notices: SocketAddr,
    /// Largest body taken from a submitter.
    pub body_limit: usize,
    /// Submitters' connections at once.
    pub connections: usize,
    pub rules: Rules,
    /// What is presented to submitters, where the front speaks TLS.
    pub secured: Option<Arc<rustls::ServerConfig>>,
    pub trust: Secured,
    /// The connections to each gateway.
    pub pool: PoolLimits,
    pub gateways: NodeList,
    pub locations: Vec<Location>,
}

/// Gateways that are reached by TLS.
#[derive(Clone, Default)]
pub struct Secured {
    /// What they are held to.
    pub config: Option<Arc<rustls::ClientConfig>>,
    /// The name that the certificate of each must be for.
    pub names: HashMap<SocketAddr, ServerName<'static>>,
}

/// How a gateway is reached by TLS.
pub type Trust = (Arc<rustls::ClientConfig>, ServerName<'static>);

impl Secured {
    pub fn of(&self, address: SocketAddr) -> Option<Trust> {
        Some((self.config.clone()?, self.names.get(&address)?.clone()))
    }
}

/// What binds the connections to a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimits {
    /// Streams on one connection; a gateway may allow fewer.
    pub streams: usize,
    /// Connections open or being opened, without those that only let their last streams end.
    pub connections: usize,
    /// A connection with streams open on which nothing came for so long is pinged.
    pub quiet: Duration,
    /// One whose ping is not answered within this time is broken off.
    pub pong: Duration,
    /// One without streams for so long is closed.
    pub idle: Duration,
    /// One that is not up within this time has failed.
    pub dial: Duration,
}

/// Where submitters' paths lead.
#[derive(Clone, Debug, PartialEq)]
pub struct Location {
    pub path: String,
    /// The path must be the whole of a request's path, not just its beginning.
    pub exact: bool,
    /// What takes the place of `path` on the way to the gateway.
    pub target: String,
    pub class: String,
    /// The class of messages of an urgency, where it is another.
    pub urgency: BTreeMap<Urgency, String>,
    pub dest: u64,
}

/// How urgent a submitter calls a message (RFC 8030, 5.3).
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    VeryLow,
    Low,
    #[default]
    Normal,
    High,
}

impl Urgency {
    /// The one of that name.
    pub fn named(name: &str) -> Option<Self> {
        let name: serde::de::value::StrDeserializer<'_, serde::de::value::Error> = name.into_deserializer();
        Urgency::deserialize(name).ok()
    }
}

/// The file as it is written. The importer writes this form, the push front runs it.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OwnFile {
    /// Address and port.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admin: Option<String>,
    pub push: Option<PushTable>,
    pub hook: Option<HookTable>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idle: Option<IdleTable>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instances: Option<InstancesTable>,
    #[serde(default)]
    pub limits: LimitsTable,
    #[serde(default)]
    pub gateways: GatewaysTable,
    #[serde(rename = "class", default)]
    pub classes: Vec<ClassTable>,
    #[serde(rename = "upstream", default)]
    pub upstreams: Vec<UpstreamTable>,
    #[serde(rename = "location", default)]
    pub locations: Vec<LocationTable>,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InstancesTable {
    pub listen: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<String>,
    #[serde(default)]
    pub seeds: Vec<String>,
    pub key_file: PathBuf,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub region: String,
    #[serde(default)]
    pub capacity: u32,
    #[serde(default = "default_expected")]
    pub expected: u32,
    #[serde(default)]
    pub lists: bool,
    #[serde(default)]
    pub shares: bool,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PushTable {
    pub listen: String,
    pub notices: String,
    pub state: PathBuf,
    #[serde(default = "default_push_disk_mb")]
    pub disk_mb: f64,
    #[serde(default = "default_body_limit")]
    pub body_limit: usize,
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Certificates; without them the front speaks HTTP/2 in clear text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<tls::ServerTable>,
    /// Clear text is spoken on an address that others reach, too.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub clear_text: bool,
}

#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct IdleTable {
    /// Seconds; at least 60.
    pub cold_after_s: Option<u64>,
    /// Megabytes (of 1,048,576 bytes).
    pub list_limit_mb: Option<usize>,
    pub connections: Option<usize>,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HookTable {
    pub script: PathBuf,
    /// Steps that one call of a hook may take.
    #[serde(default = "default_operations")]
    pub operations: u64,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsTable {
    /// Relays like this one that share the gateways.
    pub relays: u32,
    /// Claims out at once.
    pub slots: u32,
    /// Jobs held at once.
    pub jobs: u32,
    /// Claims for one job.
    pub tries: u32,
    pub dial_timeout_ms: u64,
    pub idle_close_ms: u64,
    pub longest_backoff_ms: u64,
    /// Least time between two rounds of the module: what comes meanwhile is decided on together.
    pub step_ms: u64,
}

/// Connections to each gateway.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewaysTable {
    /// Streams on one connection.
    pub streams: usize,
    /// Connections to one gateway.
    pub connections: usize,
    /// Silence with streams open after which a connection is pinged.
    pub quiet_ms: u64,
    /// Time for the answer to a ping.
    pub pong_ms: u64,
    /// What upstreams with `tls` are held to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tls: Option<tls::ClientTable>,
}

impl Default for GatewaysTable {
    fn default() -> Self {
        GatewaysTable { streams: 100, connections: 4, quiet_ms: 5000, pong_ms: 2000, tls: None }
    }
}

impl Default for LimitsTable {
    fn default() -> Self {
        LimitsTable {
            relays: 1,
            slots: 64,
            jobs: 512,
            tries: 8,
            dial_timeout_ms: 1500,
            idle_close_ms: 60_000,
            longest_backoff_ms: 3000,
            step_ms: 5,
        }
    }
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTable {
    pub name: String,
    /// Delivered within this time, a message earns its full worth.
    pub aim_ms: u64,
    pub give_up_ms: u64,
    pub repeat: Repeat,
    #[serde(default = "default_worth")]
    pub worth: f64,
    /// Share of the worth left at the deadline.
    #[serde(default)]
    pub late_worth: f64,
}

/// Whether a message that may have run is sent again.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    Safe,
    Never,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamTable {
    pub name: String,
    /// Calls a second that it takes from all relays together, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Its servers are reached by TLS, and their certificate must be for this name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<String>,
    #[serde(rename = "server")]
    pub servers: Vec<ServerTable>,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerTable {
    pub address: String,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LocationTable {
    pub path: String,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub exact: bool,
    /// Defaults to the path itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    pub upstream: String,
    pub class: String,
    /// Classes by urgency, where they are others; they must allow repeats as `class` does.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub urgency: BTreeMap<Urgency, String>,
}

fn default_operations() -> u64 {
    20_000
}

fn default_push_disk_mb() -> f64 {
    64.0
}

fn default_body_limit() -> usize {
    4096
}

fn default_connections() -> usize {
    256
}

fn default_expected() -> u32 {
    3
}

fn default_worth() -> f64 {
    1.0
}

/// Reads the relay's own file.
pub fn own(path: &Path) -> Result<Own, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: cannot read it: {e}"))?;
    own_text(&text).map_err(|e| format!("{name}: {e}"))
}

/// The same from the file's text.
pub fn own_text(text: &str) -> Result<Own, String> {
    own_faults(text).map_err(|faults| faults.join("; "))
}

/// The same, with each fault by itself.
fn own_faults(text: &str) -> Result<Own, Vec<String>> {
    let reader = toml::Deserializer::parse(text).map_err(|e| vec![e.to_string()])?;
    let mut file: OwnFile = serde_path_to_error::deserialize(reader)
        .map_err(|e| vec![format!("{}: {}", e.path(), e.inner().message())])?;
    let mut faults = Vec::new();
    let hook = file.hook.take();
    if hook.as_ref().is_some_and(|h| h.operations == 0) {
        faults.push("hook.operations: must be at least 1".into());
    }
    let idle = idle(file.idle.take().unwrap_or_default(), &mut faults);
    let admin = file.admin.take().and_then(|text| {
        let address = text.parse::<SocketAddr>();
        address.map_err(|_| faults.push(format!("admin: '{text}' is no address and port"))).ok()
    });
    let push = file.push.take().and_then(|table| push(table, &file, &idle, &mut faults));
    let instances = file.instances.take().and_then(|table| instances(table, &mut faults));
    if faults.is_empty() { Ok(Own { push, hook, idle, admin, instances }) } else { Err(faults) }
}

/// Most instances, which is what the traffic among them is measured for.
const MOST_INSTANCES: u32 = 1000;

fn instances(table: InstancesTable, faults: &mut Vec<String>) -> Option<Instances> {
    let found = faults.len();
    let mut address = |key: &str, text: &str| {
        let address = text.parse::<SocketAddr>().ok();
        if address.is_none() {
            faults.push(format!("instances.{key}: '{text}' is no address and port"));
        }
        address
    };
    let listen = address("listen", &table.listen);
    let advertise = table.advertise.as_deref().and_then(|text| address("advertise", text));
    let seeds = table.seeds.iter().enumerate();
    let seeds = seeds.filter_map(|(n, text)| address(&format!("seeds[{n}]"), text)).collect();
    // Others are told it, so it has to lead to this instance.
    if let Some(told) = advertise.or(listen)
        && (told.ip().is_unspecified() || advertise.is_some_and(|a| a.port() == 0))
    {
        faults.push(format!("instances.advertise: others cannot reach {told}"));
    }
    for (key, text) in
        [("name", table.name.as_deref()), ("zone", Some(&*table.zone)), ("region", Some(&*table.region))]
    {
        if text.is_some_and(|text| !fits(text)) {
            faults.push(format!("instances.{key}: at most {LONGEST} bytes, without control characters"));
        }
    }
    if !(1..=MOST_INSTANCES).contains(&table.expected) {
        faults.push(format!("instances.expected: must be from 1 to {MOST_INSTANCES}"));
    }
    let path = table.key_file.display();
    let read = std::fs::read(&table.key_file).map_err(|e| format!("cannot read {path}: {e}"));
    let key = read.and_then(|text| Key::read(&text).map_err(|e| format!("{path}: {e}")));
    let key = key.map_err(|e| faults.push(format!("instances.key_file: {e}"))).ok()?;
    let InstancesTable { name, zone, region, capacity, expected, lists, shares, .. } = table;
    let listen = listen.filter(|_| faults.len() == found)?;
    Some(Instances { listen, advertise, seeds, key, name, zone, region, capacity, expected, lists, shares })
}

fn idle(table: IdleTable, faults: &mut Vec<String>) -> Idle {
    let default = Idle::default();
    if table.cold_after_s.is_some_and(|s| s < LEAST_COLD_AFTER_S) {
        faults.push(format!("idle.cold_after_s: must be at least {LEAST_COLD_AFTER_S}"));
    }
    if table.list_limit_mb.is_some_and(|mb| mb == 0 || mb > 1024) {
        faults.push("idle.list_limit_mb: must be from 1 to 1024".into());
    }
    if table.connections == Some(0) {
        faults.push("idle.connections: must be at least 1".into());
    }
    Idle {
        cold_after: table.cold_after_s.map(Duration::from_secs),
        list_limit: table.list_limit_mb.map_or(default.list_limit, |mb| mb.saturating_mul(MB)),
        connections: table.connections,
    }
}

/// Reads and checks a file of either kind; gives what it sets up in a line, or each fault with its key.
pub fn check(path: &Path) -> Result<String, Vec<String>> {
    let text = std::fs::read(path).map_err(|e| vec![format!("cannot read it: {e}")])?;
    if text.iter().find(|byte| !byte.is_ascii_whitespace()) == Some(&b'{') {
        let Told { settings, known, .. } = decode(&text).map_err(|e| vec![e])?;
        let rules = rules(settings).map_err(|e| vec![format!("settings: {e}")])?;
        let classes = rules.names.classes.len();
        let known = known.map(|known| NodeList::read(known.get().as_bytes().to_vec().into())).transpose();
        let nodes = known.map_err(|e| vec![format!("known: {e}")])?.map_or(0, |known| known.len());
        return Ok(format!("the platform's configuration, {classes} classes, {nodes} nodes known"));
    }
    let text = String::from_utf8(text).map_err(|e| vec![format!("it is not UTF-8: {e}")])?;
    let own = own_faults(&text)?;
    let push = own.push.map_or("no second front".into(), |push| {
        let (locations, gateways) = (push.locations.len(), push.gateways.len());
        format!("a second front on {}, {locations} locations, {gateways} gateways", push.listen)
    });
    let hook = if own.hook.is_some() { "a plug-in" } else { "no plug-in" };
    let instances = own.instances.map_or(String::new(), |told| {
        let lists = if told.lists { ", lists pass between them" } else { "" };
        format!(", talks to other instances on {} ({} seeds){lists}", told.listen, told.seeds.len())
    });
    Ok(format!("{push}, {hook}{instances}"))
}

/// A table's second front; faults are added to `faults`, and nothing is given where there are any of its own.
fn push(table: PushTable, file: &OwnFile, idle: &Idle, faults: &mut Vec<String>) -> Option<Push> {
    if file.classes.is_empty() {
        faults.push("class: no class of message is given".into());
    }
    if !table.disk_mb.is_finite() || table.disk_mb < 0.1 {
        faults.push(format!("push.disk_mb: {} is too small to keep a journal in", table.disk_mb));
    }
    let (limits, gateways) = (&file.limits, &file.gateways);
    let figures = [
        ("limits.slots", u64::from(limits.slots)),
        ("limits.jobs", limits.jobs.into()),
        ("limits.tries", limits.tries.into()),
        ("gateways.streams", gateways.streams as u64),
        ("gateways.connections", gateways.connections as u64),
        ("gateways.quiet_ms", gateways.quiet_ms),
        ("gateways.pong_ms", gateways.pong_ms),
    ];
    for (key, _) in figures.iter().filter(|(_, value)| *value == 0) {
        faults.push(format!("{key}: must be at least 1"));
    }
    let one = |key: &str, value: &str| {
        value.parse::<SocketAddr>().map_err(|_| format!("{key}: '{value}' is no address and port"))
    };
    let mut sound = |part: Result<SocketAddr, String>| part.map_err(|fault| faults.push(fault)).ok();
    let listen = sound(one("push.listen", &table.listen));
    let notices = sound(one("push.notices", &table.notices));
    if !(1..=MOST_STEP_MS).contains(&file.limits.step_ms) {
        faults.push(format!("limits.step_ms: must be from 1 to {MOST_STEP_MS}"));
    }
    let mut rules = push_rules(file, faults);
    idle.apply(&mut rules);
    let secured = table.tls.as_ref().map(tls::server).transpose().map_err(|e| faults.push(e)).ok().flatten();
    if table.tls.is_none() && !table.clear_text && listen.is_some_and(|at| !at.ip().is_loopback()) {
        faults.push("push.tls: it is missing, and push.listen is no loopback address; push.clear_text = true would allow it".into());
    }
    let trust =
        file.gateways.tls.as_ref().map(tls::client).transpose().map_err(|e| faults.push(e)).ok().flatten();
    let (gateways, names) = self::gateways(file, faults);
    let locations = locations(file, faults);
    Some(Push {
        listen: listen?,
        notices: notices?,
        state: table.state,
        disk: (table.disk_mb * 1e6) as u64,
        body_limit: table.body_limit,
        connections: table.connections.max(1),
        secured,
        trust: Secured { config: trust, names },
        pool: PoolLimits {
            streams: file.gateways.streams,
            connections: file.gateways.connections,
            quiet: Duration::from_millis(file.gateways.quiet_ms),
            pong: Duration::from_millis(file.gateways.pong_ms),
            idle: rules.idle_close(),
            dial: rules.dial_timeout(),
        },
        rules,
        gateways,
        locations,
    })
}

fn push_rules(file: &OwnFile, faults: &mut Vec<String>) -> Rules {
    let millis = |ms: u64| ms.saturating_mul(1_000_000);
    let mut classes = Vec::new();
    for (i, class) in file.classes.iter().enumerate() {
        if class.give_up_ms == 0 || class.aim_ms > class.give_up_ms {
            faults.push(format!("class[{i}].aim_ms: must not be above give_up_ms, which must not be 0"));
        }
        classes.push(slatethread::Class {
            aim: millis(class.aim_ms),
            give_up: millis(class.give_up_ms),
            // A gateway remembers no keys, and one that resets streams at random may have taken the message
            // with any reason it gives: such a class is never sent again once it may have run.
            effect: match class.repeat {
                Repeat::Safe => Effect::Safe,
                Repeat::Never => Effect::Unsafe,
            },
            late_worth: Some(class.late_worth),
            credit: Some(class.worth),
            ..slatethread::Class::default()
        });
    }
    let limits = &file.limits;
    let rated = file.upstreams.iter().any(|u| u.rate.is_some());
    Rules {
        settings: Settings {
            couriers: Some(limits.relays.max(1)),
            step: Some(millis(limits.step_ms)),
            classes,
            fade: Some(Fade::Line),
            kinds: vec![Kind::default()],
            slots: Some(limits.slots),
            max_held: Some(limits.jobs),
            max_tries: Some(limits.tries),
            max_backoff: Some(millis(limits.longest_backoff_ms.max(1))),
            idle_close: Some(millis(limits.idle_close_ms)),
            dial_timeout: Some(millis(limits.dial_timeout_ms)),
            backoff_told: true,
            weights: if rated { Weights::Exact } else { Weights::Nothing },
            // The platform's figures: nothing better is known of gateways that come back cold.
            rules: slatethread::Rules {
                cold: Some(millis(14_000)),
                cold_share: Some(0.18),
                fall_multiple: Some(2.0),
                fall: Some(millis(3000)),
                ..slatethread::Rules::default()
            },
            ..Settings::default()
        },
        names: Names {
            classes: file.classes.iter().map(|c| c.name.clone()).collect(),
            kinds: vec![GATEWAY.into()],
            ..Names::default()
        },
    }
}

/// Drains must be seen by the round that acts, and nothing new be sent half a second after.
const MOST_STEP_MS: u64 = 100;

/// The kind and the zone of all gateways; nothing is said of either.
const GATEWAY: &str = "gateway";

/// An upstream's number as a destination: the same for its name wherever it stands in the file, so that jobs
/// in the journal find theirs after the file has changed.
fn number(upstream: &str) -> u64 {
    u64::from(crc32fast::hash(upstream.as_bytes()))
}

/// All gateways, and the names of those that are reached by TLS.
fn gateways(
    file: &OwnFile,
    faults: &mut Vec<String>,
) -> (NodeList, HashMap<SocketAddr, ServerName<'static>>) {
    let (mut instances, mut names) = (Vec::new(), HashMap::new());
    let upstreams = &file.upstreams;
    for (i, upstream) in upstreams.iter().enumerate() {
        let name = upstream.tls.as_ref().and_then(|name| {
            if file.gateways.tls.is_none() {
                let missing = "gateways.tls, with the authorities to trust, is missing";
                faults.push(format!("upstream[{i}].tls: {missing}"));
            }
            let fault = |e| faults.push(format!("upstream[{i}].tls: '{name}': {e}"));
            ServerName::try_from(name.clone()).map_err(fault).ok()
        });
        if let Some(other) = upstreams[..i].iter().find(|o| number(&o.name) == number(&upstream.name)) {
            faults.push(format!("upstream[{i}].name: '{}' is taken by '{}'", upstream.name, other.name));
        }
        for (j, server) in upstream.servers.iter().enumerate() {
            let fault = |e: String| format!("upstream[{i}].server[{j}].address: '{}': {e}", server.address);
            let addresses = server.address.to_socket_addrs();
            let addresses = addresses.map_err(|e| faults.push(fault(e.to_string())));
            for address in addresses.into_iter().flatten() {
                names.extend(name.clone().map(|name| (address, name)));
                instances.push(NodeEntry {
                    instance_id: format!("{}/{address}", upstream.name).into(),
                    host_port: address.to_string().into(),
                    zone: "".into(),
                    machine_type: GATEWAY.into(),
                    cell: number(&upstream.name),
                    lifecycle: if server.draining { Lifecycle::Draining } else { Lifecycle::Serving },
                    weight: upstream.rate,
                    started_at_ms: 0,
                });
            }
        }
    }
    (NodeList::of(instances), names)
}

fn locations(file: &OwnFile, faults: &mut Vec<String>) -> Vec<Location> {
    let mut locations = Vec::new();
    for (i, location) in file.locations.iter().enumerate() {
        if !file.upstreams.iter().any(|u| u.name == location.upstream) {
            faults.push(format!("location[{i}].upstream: there is no '{}'", location.upstream));
        }
        if !file.classes.iter().any(|c| c.name == location.class) {
            faults.push(format!("location[{i}].class: there is no '{}'", location.class));
        }
        let repeat = |name: &str| file.classes.iter().find(|c| c.name == name).map(|c| c.repeat);
        for (urgency, class) in &location.urgency {
            let key = serde_json::to_string(urgency).unwrap_or_default();
            let key = format!("location[{i}].urgency.{}", key.trim_matches('"'));
            match repeat(class) {
                None => faults.push(format!("{key}: there is no '{class}'")),
                // Guards against an order that is sent twice because it was called urgent.
                own if own != repeat(&location.class) => {
                    faults.push(format!("{key}: '{class}' differs from '{}' in repeat", location.class));
                }
                _ => {}
            }
        }
        let target = location.target.as_ref().unwrap_or(&location.path);
        if !location.path.starts_with('/') || !target.starts_with('/') {
            faults.push(format!("location[{i}].path: it and its target must begin with '/'"));
        }
        locations.push(Location {
            path: location.path.clone(),
            exact: location.exact,
            target: target.clone(),
            class: location.class.clone(),
            urgency: location.urgency.clone(),
            dest: number(&location.upstream),
        });
    }
    locations
}

#[cfg(test)]
mod tests;
