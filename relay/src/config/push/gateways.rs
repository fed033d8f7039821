//! The section `[gateways]`: limits and TLS settings of the connections to gateways.
use rustls::pki_types::ServerName;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::config::rules::Rules;
use crate::tls;

/// The expected certificate name of each gateway that uses TLS, by address.
pub(super) type ServerNames = HashMap<SocketAddr, ServerName<'static>>;

/// TLS settings of the gateways.
#[derive(Clone, Default)]
pub struct GatewayTls {
    /// The client configuration; `None` if `gateways.tls` is missing.
    pub client_config: Option<Arc<rustls::ClientConfig>>,
    /// The expected certificate name of each gateway that uses TLS.
    pub server_names: HashMap<SocketAddr, ServerName<'static>>,
}

/// TLS settings of one gateway: the client configuration and the expected certificate name.
pub type TlsTarget = (Arc<rustls::ClientConfig>, ServerName<'static>);

impl GatewayTls {
    /// The TLS settings of the gateway at `address`; `None` if it is reached in clear text.
    pub fn target(&self, address: SocketAddr) -> Option<TlsTarget> {
        Some((self.client_config.clone()?, self.server_names.get(&address)?.clone()))
    }
}

/// Limits of the connection pool of one gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimits {
    /// Concurrent streams on one connection; the gateway may allow fewer.
    pub max_streams: usize,
    /// Connections that are open or being established; draining ones are not counted.
    pub max_connections: usize,
    /// A connection with open streams on which nothing was received for this time is pinged.
    pub ping_after: Duration,
    /// A connection whose PING is not acknowledged within this time is aborted.
    pub pong_timeout: Duration,
    /// A connection without streams for this time is closed.
    pub idle_timeout: Duration,
    /// A connection attempt that takes longer than this fails.
    pub connect_timeout: Duration,
}

/// The section as it is written.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewaysTable {
    /// Concurrent streams on one connection.
    pub streams: usize,
    /// Maximum connections to one gateway.
    pub connections: usize,
    /// Time without received data, with streams open, after which a connection is pinged.
    pub quiet_ms: u64,
    /// Time allowed for the acknowledgement of a PING.
    pub pong_ms: u64,
    /// Certificate settings for upstreams with `tls`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tls: Option<tls::ClientTlsTable>,
}

impl Default for GatewaysTable {
    fn default() -> Self {
        GatewaysTable { streams: 100, connections: 4, quiet_ms: 5000, pong_ms: 2000, tls: None }
    }
}

impl GatewaysTable {
    /// The limits that follow from this table and the settings of the push front.
    pub(super) fn pool_limits(&self, rules: &Rules) -> PoolLimits {
        PoolLimits {
            max_streams: self.streams,
            max_connections: self.connections,
            ping_after: Duration::from_millis(self.quiet_ms),
            pong_timeout: Duration::from_millis(self.pong_ms),
            idle_timeout: rules.idle_close(),
            connect_timeout: rules.dial_timeout(),
        }
    }
}
