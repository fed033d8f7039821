//! The section `[push]`: the second front, and the tables that belong to it.
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

use super::faults::Faults;
use super::idle::IdleConfig;
use super::platform_file::LEAST_DISK_MB;
use super::relay_file::RelayConfigFile;
use super::rules::Rules;
use crate::list::NodeList;
use crate::tls;

/// The second front.
pub struct PushConfig {
    pub listen: SocketAddr,
    /// The folder that lasts.
    pub state: PathBuf,
    pub disk_bytes: u64,
    /// Where ends are told.
    pub notices: SocketAddr,
    /// Largest body taken from a submitter.
    pub body_limit: usize,
    /// Submitters' connections at once.
    pub connections: usize,
    pub rules: Rules,
    /// What is presented to submitters, where the front speaks TLS.
    pub server_tls: Option<Arc<rustls::ServerConfig>>,
    pub gateway_tls: GatewayTls,
    /// The connections to each gateway.
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
    /// Certificates; without them the front speaks HTTP/2 in clear text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<tls::ServerTlsTable>,
    /// Clear text is spoken on an address that others reach, too.
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
    /// The front that the section and the tables of `file` set up. What is wrong with them is added to `faults`;
    /// without a sound address there is no front.
    pub(super) fn check(
        self,
        file: &RelayConfigFile,
        idle: &IdleConfig,
        faults: &mut Faults,
    ) -> Option<PushConfig> {
        if file.classes.is_empty() {
            faults.add("class", "no class of message is given");
        }
        if !self.disk_mb.is_finite() || self.disk_mb < LEAST_DISK_MB {
            faults.add("push.disk_mb", format!("{} is too small to keep a journal in", self.disk_mb));
        }
        check_positive(file, faults);
        let listen = faults.address("push.listen", &self.listen);
        let notices = faults.address("push.notices", &self.notices);
        file.limits.check_step(faults);
        let mut rules = classes::rules(file, faults);
        idle.apply(&mut rules);
        let secured = self.secured(listen, faults);
        let trust = file.gateways.tls.as_ref().and_then(|table| faults.keep(tls::client_config(table)));
        let (gateways, names) = upstreams::gateways(file, faults);
        let locations = locations::locations(file, faults);
        Some(PushConfig {
            listen: listen?,
            notices: notices?,
            state: self.state,
            disk_bytes: (self.disk_mb * 1e6) as u64,
            body_limit: self.body_limit,
            connections: self.connections.max(1),
            server_tls: secured,
            gateway_tls: GatewayTls { config: trust, names },
            pool_limits: file.gateways.pool(&rules),
            rules,
            gateways,
            locations,
        })
    }

    /// What is presented to submitters. Clear text on an address that others reach has to be asked for.
    fn secured(&self, listen: Option<SocketAddr>, faults: &mut Faults) -> Option<Arc<rustls::ServerConfig>> {
        let Some(table) = &self.tls else {
            if !self.clear_text && listen.is_some_and(|at| !at.ip().is_loopback()) {
                let missing = "it is missing, and push.listen is no loopback address";
                faults.add("push.tls", format!("{missing}; push.clear_text = true would allow it"));
            }
            return None;
        };
        faults.keep(tls::server_config(table))
    }
}

/// Checks the figures that must not be 0.
fn check_positive(file: &RelayConfigFile, faults: &mut Faults) {
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
        faults.add(key, "must be at least 1");
    }
}
