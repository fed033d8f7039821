//! The one place where configuration is read, checked and given defaults. Every fault names its key.
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use slatethread::{Effect, Fade, Kind, Nanos, Settings, Weights};
use slatethread_wirehost::env::{self, Env, Names};
use std::net::{SocketAddr, ToSocketAddrs};
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
    discovery: Option<SocketAddr>,
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

/// Reads what the platform tells in `BALANCER_CONFIG`; the variables for the name and the address to listen on
/// override it. That for discovery does not: the file may be replaced while the process runs, a variable can't
/// be. Without `BALANCER_CONFIG`, this is no relay of the platform's.
pub fn platform() -> Result<Option<Platform>, String> {
    let Some(path) = variable("BALANCER_CONFIG")? else { return Ok(None) };
    let text = std::fs::read(&path).map_err(|e| format!("BALANCER_CONFIG: cannot read {path}: {e}"))?;
    let told: Told = decode(&text).map_err(|e| format!("BALANCER_CONFIG: {e}"))?;
    let state = variable("BALANCER_STATE")?.ok_or("BALANCER_STATE is not set")?;
    let discovery = told.discovery.map_or_else(|| address("BALANCER_DISCOVERY"), |told| Ok(Some(told)))?;
    let discovery = discovery.ok_or("BALANCER_CONFIG: discovery: it is missing")?;
    let seed = if told.seed.is_empty() { Ok(0) } else { u64::from_str_radix(&told.seed, 16) };
    let known = NodeList { generation: 0, reset: true, instances: Vec::new() };
    let disk = told.limits.disk_mb;
    if !disk.is_finite() || disk < 0.1 {
        return Err(format!("BALANCER_CONFIG: limits.disk_mb: {disk} is too small to keep a journal in"));
    }
    Ok(Some(Platform {
        name: variable("BALANCER_NAME")?.unwrap_or(told.name),
        listen: address("BALANCER_LISTEN")?.unwrap_or(told.listen),
        discovery,
        state: Path::new(&state).to_owned(),
        seed: seed.map_err(|_| format!("BALANCER_CONFIG: seed: '{}' is not hexadecimal", told.seed))?,
        limits: Limits { disk: (disk * 1e6) as u64, sockets: told.limits.sockets },
        known: told.known.unwrap_or(known),
        rules: rules(told.settings).map_err(|e| format!("BALANCER_CONFIG: settings: {e}"))?,
    }))
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

/// What the relay's own file says.
pub struct Own {
    /// The second front, if it is on.
    pub push: Option<Push>,
    /// A plug-in for the fronts that are on.
    pub hook: Option<HookTable>,
}

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
    pub gateways: NodeList,
    pub locations: Vec<Location>,
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
    pub dest: u64,
}

/// The file as it is written. The importer writes this form, the push front runs it.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OwnFile {
    pub push: Option<PushTable>,
    pub hook: Option<HookTable>,
    #[serde(default)]
    pub limits: LimitsTable,
    #[serde(rename = "class", default)]
    pub classes: Vec<ClassTable>,
    #[serde(rename = "upstream", default)]
    pub upstreams: Vec<UpstreamTable>,
    #[serde(rename = "location", default)]
    pub locations: Vec<LocationTable>,
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
    let reader = toml::Deserializer::parse(text).map_err(|e| e.to_string())?;
    let mut file: OwnFile = serde_path_to_error::deserialize(reader)
        .map_err(|e| format!("{}: {}", e.path(), e.inner().message()))?;
    let hook = file.hook.take();
    if hook.as_ref().is_some_and(|h| h.operations == 0) {
        return Err("hook.operations: must be at least 1".into());
    }
    let push = file.push.take().map(|table| push(table, &file)).transpose()?;
    Ok(Own { push, hook })
}

fn push(table: PushTable, file: &OwnFile) -> Result<Push, String> {
    if file.classes.is_empty() {
        return Err("class: no class of message is given".into());
    }
    if !table.disk_mb.is_finite() || table.disk_mb < 0.1 {
        return Err(format!("push.disk_mb: {} is too small to keep a journal in", table.disk_mb));
    }
    for (key, value) in
        [("slots", file.limits.slots), ("jobs", file.limits.jobs), ("tries", file.limits.tries)]
    {
        if value == 0 {
            return Err(format!("limits.{key}: must be at least 1"));
        }
    }
    let one = |key: &str, value: &str| {
        value.parse::<SocketAddr>().map_err(|_| format!("{key}: '{value}' is no address and port"))
    };
    Ok(Push {
        listen: one("push.listen", &table.listen)?,
        notices: one("push.notices", &table.notices)?,
        state: table.state,
        disk: (table.disk_mb * 1e6) as u64,
        body_limit: table.body_limit,
        connections: table.connections.max(1),
        rules: push_rules(file)?,
        gateways: gateways(&file.upstreams)?,
        locations: locations(file)?,
    })
}

fn push_rules(file: &OwnFile) -> Result<Rules, String> {
    let millis = |ms: u64| ms.saturating_mul(1_000_000);
    let mut classes = Vec::new();
    for (i, class) in file.classes.iter().enumerate() {
        if class.give_up_ms == 0 || class.aim_ms > class.give_up_ms {
            return Err(format!("class[{i}].aim_ms: must not be above give_up_ms, which must not be 0"));
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
    Ok(Rules {
        settings: Settings {
            couriers: Some(limits.relays.max(1)),
            step: Some(millis(5)),
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
    })
}

/// The kind and the zone of all gateways; nothing is said of either.
const GATEWAY: &str = "gateway";

/// An upstream's number as a destination: the same for its name wherever it stands in the file, so that jobs
/// in the journal find theirs after the file has changed.
fn number(upstream: &str) -> u64 {
    u64::from(crc32fast::hash(upstream.as_bytes()))
}

fn gateways(upstreams: &[UpstreamTable]) -> Result<NodeList, String> {
    let mut instances = Vec::new();
    for (i, upstream) in upstreams.iter().enumerate() {
        if let Some(other) = upstreams[..i].iter().find(|o| number(&o.name) == number(&upstream.name)) {
            return Err(format!("upstream[{i}].name: '{}' is taken by '{}'", upstream.name, other.name));
        }
        for (j, server) in upstream.servers.iter().enumerate() {
            let fault = |e: String| format!("upstream[{i}].server[{j}].address: '{}': {e}", server.address);
            let addresses = server.address.to_socket_addrs().map_err(|e| fault(e.to_string()))?;
            for address in addresses {
                instances.push(NodeEntry {
                    instance_id: format!("{}/{address}", upstream.name),
                    host_port: address.to_string(),
                    zone: String::new(),
                    machine_type: GATEWAY.into(),
                    cell: number(&upstream.name),
                    lifecycle: if server.draining { Lifecycle::Draining } else { Lifecycle::Serving },
                    weight: upstream.rate,
                });
            }
        }
    }
    Ok(NodeList { generation: 0, reset: true, instances })
}

fn locations(file: &OwnFile) -> Result<Vec<Location>, String> {
    let mut locations = Vec::new();
    for (i, location) in file.locations.iter().enumerate() {
        if !file.upstreams.iter().any(|u| u.name == location.upstream) {
            return Err(format!("location[{i}].upstream: there is no '{}'", location.upstream));
        }
        if !file.classes.iter().any(|c| c.name == location.class) {
            return Err(format!("location[{i}].class: there is no '{}'", location.class));
        }
        let target = location.target.as_ref().unwrap_or(&location.path);
        if !location.path.starts_with('/') || !target.starts_with('/') {
            return Err(format!("location[{i}].path: it and its target must begin with '/'"));
        }
        locations.push(Location {
            path: location.path.clone(),
            exact: location.exact,
            target: target.clone(),
            class: location.class.clone(),
            dest: number(&location.upstream),
        });
    }
    Ok(locations)
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = include_str!("../../deploy/push.toml");

    fn fault(from: &str, to: &str) -> String {
        assert!(FILE.contains(from), "{from}");
        own_text(&FILE.replacen(from, to, 1)).err().unwrap_or_default()
    }

    #[test]
    fn the_file_under_deploy_is_sound_and_repeats_no_order() {
        let push = own_text(FILE).ok().and_then(|own| own.push).expect("a push front");
        assert_eq!(push.rules.settings.classes[0].effect, Effect::Unsafe);
        assert_eq!(push.rules.settings.classes[1].effect, Effect::Safe);
        assert_eq!(push.gateways.instances.len(), 2);
    }

    #[test]
    fn faults_name_their_key() {
        let cases = [
            ("aim_ms = 4000", "aim_ms = \"soon\"", "class[0].aim_ms"),
            ("aim_ms = 4000", "aim_ms = 40000", "class[0].aim_ms"),
            ("slots = 64", "slots = 0", "limits.slots"),
            ("slots = 64", "slot = 64", "limits"),
            ("repeat = \"safe\"", "repeat = \"often\"", "class[1].repeat"),
            ("127.0.0.1:8480", "localhost", "push.listen"),
            ("disk_mb = 64", "disk_mb = nan", "push.disk_mb"),
            ("upstream = \"apps\"", "upstream = \"app\"", "location[0].upstream"),
            ("127.0.0.1:9002", "nowhere", "upstream[0].server[1].address"),
            ("path = \"/order/\"", "path = \"order\"", "location[1].path"),
        ];
        for (from, to, key) in cases {
            let fault = fault(from, to);
            assert!(fault.contains(key), "{to}: {fault}");
        }
    }

    #[test]
    fn json_faults_name_their_path() {
        let fault = decode::<NodeList>(br#"{"generation":1,"reset":true,"instances":[{"instanceId":4}]}"#);
        assert!(fault.is_err_and(|f| f.starts_with("instances[0].instanceId")));
    }
}
