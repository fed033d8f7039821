//! The relay's own file, which enables what is off by default.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

use super::admin;
use super::backlog::{BacklogConfig, BacklogTable};
use super::errors::ConfigErrors;
use super::hook::HookTable;
use super::idle::{IdleConfig, IdleTable};
use super::instances::{InstancesConfig, InstancesTable};
use super::push::{
    ClassTable, GatewaysTable, LimitsTable, LocationTable, PushConfig, PushTable, UpstreamTable,
};

/// The validated configuration of the relay's own file.
#[derive(Default)]
pub struct RelayConfig {
    /// The push front, if it is enabled.
    pub push: Option<PushConfig>,
    /// A hook script for all enabled fronts.
    pub hook: Option<HookTable>,
    /// Resources kept for rarely used destinations.
    pub idle: IdleConfig,
    /// The address of the admin API for operators.
    pub admin: Option<SocketAddr>,
    /// Communication with other instances, if it is enabled.
    pub instances: Option<InstancesConfig>,
    /// The on-disk queue for requests of the platform front that cannot be sent soon. Without it they wait in memory.
    pub backlog: Option<BacklogConfig>,
}

impl RelayConfig {
    /// A one-line summary of what is enabled.
    pub(super) fn summary(&self) -> String {
        let push = self.push.as_ref().map_or("no push front".into(), |push| {
            let (locations, gateways) = (push.locations.len(), push.gateways.len());
            format!("push front on {}, {locations} locations, {gateways} gateways", push.listen)
        });
        let hook = if self.hook.is_some() { "hook script" } else { "no hook script" };
        let instances = self.instances.as_ref().map_or(String::new(), |config| {
            let lists = if config.lists { ", shares lists" } else { "" };
            format!(", instances on {} ({} seeds){lists}", config.listen, config.seeds.len())
        });
        let backlog = self
            .backlog
            .as_ref()
            .map_or(String::new(), |backlog| format!(", backlog in {}", backlog.folder.display()));
        format!("{push}, {hook}{instances}{backlog}")
    }
}

/// The file as it is written. The nginx importer generates this form.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelayConfigFile {
    /// Address and port of the admin API.
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

/// Reads and validates the relay's own file.
pub fn load_relay_config(path: &Path) -> Result<RelayConfig, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: cannot read the file: {e}"))?;
    parse_relay_config(&text).map_err(|e| format!("{name}: {e}"))
}

/// Parses and validates the text of the relay's own file; all errors are joined into one message.
pub fn parse_relay_config(text: &str) -> Result<RelayConfig, String> {
    parse_with_all_errors(text).map_err(|errors| errors.join("; "))
}

/// Like [`parse_relay_config`], with each error by itself.
pub(super) fn parse_with_all_errors(text: &str) -> Result<RelayConfig, Vec<String>> {
    let mut file = decode(text).map_err(|error| vec![error])?;
    let mut errors = ConfigErrors::default();
    let hook = file.hook.take();
    if let Some(hook) = &hook {
        hook.check(&mut errors);
    }
    let idle = file.idle.take().unwrap_or_default().check(&mut errors);
    let admin = admin::check(file.admin.take(), &mut errors);
    let push = file.push.take().and_then(|table| table.check(&file, &idle, &mut errors));
    let instances = file.instances.take().and_then(|table| table.check(&mut errors));
    let backlog = file.backlog.take().and_then(|table| table.check(&mut errors));
    errors.into_result(RelayConfig { push, hook, idle, admin, instances, backlog })
}

fn decode(text: &str) -> Result<RelayConfigFile, String> {
    let reader = toml::Deserializer::parse(text).map_err(|e| e.to_string())?;
    serde_path_to_error::deserialize(reader).map_err(|e| format!("{}: {}", e.path(), e.inner().message()))
}
