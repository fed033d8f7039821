//! The relay's own file, which turns on what is off by default.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

use super::admin;
use super::backlog::{BacklogConfig, BacklogTable};
use super::faults::Faults;
use super::hook::HookTable;
use super::idle::{IdleConfig, IdleTable};
use super::instances::{InstancesConfig, InstancesTable};
use super::push::{
    ClassTable, GatewaysTable, LimitsTable, LocationTable, PushConfig, PushTable, UpstreamTable,
};

/// What the relay's own file says.
#[derive(Default)]
pub struct RelayConfig {
    /// The second front, if it is on.
    pub push: Option<PushConfig>,
    /// A plug-in for the fronts that are on.
    pub hook: Option<HookTable>,
    /// How destinations are kept that are seldom used.
    pub idle: IdleConfig,
    /// Where those who run the relay call.
    pub admin: Option<SocketAddr>,
    /// The other instances, if this one talks to any.
    pub instances: Option<InstancesConfig>,
    /// Where the platform front's requests wait that cannot go soon, if not in memory.
    pub backlog: Option<BacklogConfig>,
}

impl RelayConfig {
    /// What the file sets up, in a line.
    pub(super) fn summary(&self) -> String {
        let push = self.push.as_ref().map_or("no second front".into(), |push| {
            let (locations, gateways) = (push.locations.len(), push.gateways.len());
            format!("a second front on {}, {locations} locations, {gateways} gateways", push.listen)
        });
        let hook = if self.hook.is_some() { "a plug-in" } else { "no plug-in" };
        let instances = self.instances.as_ref().map_or(String::new(), |told| {
            let lists = if told.lists { ", lists pass between them" } else { "" };
            format!(", talks to other instances on {} ({} seeds){lists}", told.listen, told.seeds.len())
        });
        let backlog = self
            .backlog
            .as_ref()
            .map_or(String::new(), |backlog| format!(", a backlog in {}", backlog.folder.display()));
        format!("{push}, {hook}{instances}{backlog}")
    }
}

/// The file as it is written. The importer writes this form, the push front runs it.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelayConfigFile {
    /// Address and port.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admin: Option<String>,
    pub push: Option<PushTable>,
    pub hook: Option<HookTable>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idle: Option<IdleTable>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instances: Option<InstancesTable>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backlog: Option<BacklogTable>,
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

/// Reads the relay's own file.
pub fn load_relay_config(path: &Path) -> Result<RelayConfig, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: cannot read it: {e}"))?;
    parse_relay_config(&text).map_err(|e| format!("{name}: {e}"))
}

/// The same from the file's text.
pub fn parse_relay_config(text: &str) -> Result<RelayConfig, String> {
    parse_with_all_errors(text).map_err(|faults| faults.join("; "))
}

/// The same, with each fault by itself.
pub(super) fn parse_with_all_errors(text: &str) -> Result<RelayConfig, Vec<String>> {
    let mut file = decode(text).map_err(|fault| vec![fault])?;
    let mut faults = Faults::default();
    let hook = file.hook.take();
    if let Some(hook) = &hook {
        hook.check(&mut faults);
    }
    let idle = file.idle.take().unwrap_or_default().check(&mut faults);
    let admin = admin::check(file.admin.take(), &mut faults);
    let push = file.push.take().and_then(|table| table.check(&file, &idle, &mut faults));
    let instances = file.instances.take().and_then(|table| table.check(&mut faults));
    let backlog = file.backlog.take().and_then(|table| table.check(&mut faults));
    faults.none_or(RelayConfig { push, hook, idle, admin, instances, backlog })
}

fn decode(text: &str) -> Result<RelayConfigFile, String> {
    let reader = toml::Deserializer::parse(text).map_err(|e| e.to_string())?;
    serde_path_to_error::deserialize(reader).map_err(|e| format!("{}: {}", e.path(), e.inner().message()))
}
