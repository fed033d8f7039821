//! The section `[push]`: the push front, and the tables that belong to it.
mod classes;
mod gateways;
mod limits;
mod locations;
mod upstreams;

pub use classes::{ClassTable, Repeat};
pub use gateways::{GatewayTls, GatewaysTable, PoolLimits, TlsTarget};
pub use limits::LimitsTable;
pub use locations::{Location, LocationTable, Urgency};
pub use upstreams::{ServerTable, UpstreamTable};

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use super::errors::ConfigErrors;
use super::idle::IdleConfig;
use super::platform_file::MIN_DISK_MB;
use super::relay_file::RelayConfigFile;
use super::rules::Rules;
use crate::list::NodeList;
use crate::tls;

/// Validated configuration of the push front.
pub struct PushConfig {
    pub listen: SocketAddr,
    /// The folder for persistent state.
    pub state: PathBuf,
    /// Size limit of that folder in bytes.
    pub disk_bytes: u64,
    /// The receiver of end notices.
    pub notices: SocketAddr,
    /// Maximum body size of a push message, in bytes.
    pub body_limit: usize,
    /// Maximum number of submitters' connections.
    pub connections: usize,
    pub rules: Rules,
    /// TLS settings for submitters' connections; `None` for clear text.
    pub server_tls: Option<Arc<rustls::ServerConfig>>,
    pub gateway_tls: GatewayTls,
    /// Limits of the connection pool of each gateway.
    pub pool_limits: PoolLimits,
    pub gateways: NodeList,
    pub locations: Vec<Location>,
}

/// The section as it is written.
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
    /// Certificate settings; without them the front uses clear-text HTTP/2.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<tls::ServerTlsTable>,
    /// Allows clear text on an address that is not loopback.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub clear_text: bool,
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

impl PushTable {
    /// Validates the section and the tables of the push front in `file`; errors are added to `errors`. Returns `None` if
    /// an address is invalid.
    pub(super) fn check(
        self,
        file: &RelayConfigFile,
        idle: &IdleConfig,
        errors: &mut ConfigErrors,
    ) -> Option<PushConfig> {
        if file.classes.is_empty() {
            errors.add("class", "at least one class of messages is needed");
        }
        if !self.disk_mb.is_finite() || self.disk_mb < MIN_DISK_MB {
            errors.add("push.disk_mb", format!("{} MB is too small for a journal", self.disk_mb));
        }
        check_nonzero(file, errors);
        let listen = errors.address("push.listen", &self.listen);
        let notices = errors.address("push.notices", &self.notices);
        file.limits.check_step(errors);
        let mut rules = classes::rules(file, errors);
        idle.apply(&mut rules);
        let server_tls = self.server_tls(listen, errors);
        let client_config =
            file.gateways.tls.as_ref().and_then(|table| errors.ok_or_add(tls::client_config(table)));
        let (gateways, server_names) = upstreams::gateways(file, errors);
        let locations = locations::locations(file, errors);
        Some(PushConfig {
            listen: listen?,
            notices: notices?,
            state: self.state,
            disk_bytes: (self.disk_mb * 1e6) as u64,
            body_limit: self.body_limit,
            connections: self.connections.max(1),
            server_tls,
            gateway_tls: GatewayTls { client_config, server_names },
            pool_limits: file.gateways.pool_limits(&rules),
            rules,
            gateways,
            locations,
        })
    }

    /// Reads the TLS settings for submitters. Clear text on an address that is not loopback must be enabled explicitly.
    fn server_tls(
        &self,
        listen: Option<SocketAddr>,
        errors: &mut ConfigErrors,
    ) -> Option<Arc<rustls::ServerConfig>> {
        let Some(table) = &self.tls else {
            if !self.clear_text && listen.is_some_and(|at| !at.ip().is_loopback()) {
                let problem = "the table is missing, and push.listen is not a loopback address";
                errors.add("push.tls", format!("{problem}; set push.clear_text = true to allow clear text"));
            }
            return None;
        };
        errors.ok_or_add(tls::server_config(table))
    }
}

/// Validates the settings that must not be 0.
fn check_nonzero(file: &RelayConfigFile, errors: &mut ConfigErrors) {
    let (limits, gateways) = (&file.limits, &file.gateways);
    let values = [
        ("limits.slots", u64::from(limits.slots)),
        ("limits.jobs", limits.jobs.into()),
        ("limits.tries", limits.tries.into()),
        ("gateways.streams", gateways.streams as u64),
        ("gateways.connections", gateways.connections as u64),
        ("gateways.quiet_ms", gateways.quiet_ms),
        ("gateways.pong_ms", gateways.pong_ms),
    ];
    for (key, _) in values.iter().filter(|(_, value)| *value == 0) {
        errors.add(key, "must be at least 1");
    }
}
