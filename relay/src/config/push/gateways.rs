//! The section `[gateways]`: the connections to each gateway, and whom they trust.
use rustls::pki_types::ServerName;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::config::rules::Rules;
use crate::tls;

/// Gateways' addresses, each with the name that its certificate must be for.
pub(super) type ServerNames = HashMap<SocketAddr, ServerName<'static>>;

/// Gateways that are reached by TLS.
#[derive(Clone, Default)]
pub struct GatewayTls {
    /// What they are held to.
    pub config: Option<Arc<rustls::ClientConfig>>,
    /// The name that the certificate of each must be for.
    pub names: HashMap<SocketAddr, ServerName<'static>>,
}

/// How a gateway is reached by TLS.
pub type TlsTarget = (Arc<rustls::ClientConfig>, ServerName<'static>);

impl GatewayTls {
    pub fn of(&self, address: SocketAddr) -> Option<TlsTarget> {
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
    pub tls: Option<tls::ClientTlsTable>,
}

impl Default for GatewaysTable {
    fn default() -> Self {
        GatewaysTable { streams: 100, connections: 4, quiet_ms: 5000, pong_ms: 2000, tls: None }
    }
}

impl GatewaysTable {
    /// What binds the connections to a gateway, by this table and the front's rules.
    pub(super) fn pool(&self, rules: &Rules) -> PoolLimits {
        PoolLimits {
            streams: self.streams,
            connections: self.connections,
            quiet: Duration::from_millis(self.quiet_ms),
            pong: Duration::from_millis(self.pong_ms),
            idle: rules.idle_close(),
            dial: rules.dial_timeout(),
        }
    }
}
