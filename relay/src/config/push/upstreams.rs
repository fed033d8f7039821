//! The tables `[[upstream]]`: destinations, and the gateways that serve each.
use rustls::pki_types::ServerName;
use serde::{Deserialize, Serialize};
use std::net::{SocketAddr, ToSocketAddrs};

use super::gateways::ServerNames;
use crate::config::faults::Faults;
use crate::config::relay_file::RelayConfigFile;
use crate::list::{Lifecycle, NodeEntry, NodeList};

/// The kind and the zone of all gateways; nothing is said of either.
pub(super) const GATEWAY: &str = "gateway";

/// A destination as it is written.
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

/// A gateway as it is written.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerTable {
    pub address: String,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
}

/// An upstream's number as a destination: the same for its name wherever it stands in the file, so that jobs
/// in the journal find theirs after the file has changed.
pub(super) fn number(upstream: &str) -> u64 {
    u64::from(crc32fast::hash(upstream.as_bytes()))
}

/// All gateways, and the names of those that are reached by TLS.
pub(super) fn gateways(file: &RelayConfigFile, faults: &mut Faults) -> (NodeList, ServerNames) {
    let (mut nodes, mut names) = (Vec::new(), ServerNames::new());
    let upstreams = &file.upstreams;
    for (i, upstream) in upstreams.iter().enumerate() {
        let name = upstream.server_name(i, file.gateways.tls.is_some(), faults);
        if let Some(other) = upstreams[..i].iter().find(|o| number(&o.name) == number(&upstream.name)) {
            let taken = format!("'{}' is taken by '{}'", upstream.name, other.name);
            faults.add(format!("upstream[{i}].name"), taken);
        }
        for (j, server) in upstream.servers.iter().enumerate() {
            let addresses = server.address.to_socket_addrs();
            let addresses = addresses.map_err(|e| format!("'{}': {e}", server.address));
            let addresses = faults.keep_at(format!("upstream[{i}].server[{j}].address"), addresses);
            for address in addresses.into_iter().flatten() {
                names.extend(name.clone().map(|name| (address, name)));
                nodes.push(upstream.node(server, address));
            }
        }
    }
    (NodeList::of(nodes), names)
}

impl UpstreamTable {
    /// The name that the certificates of the `i`th upstream's servers must be for; `trusted`: authorities are given.
    fn server_name(&self, i: usize, trusted: bool, faults: &mut Faults) -> Option<ServerName<'static>> {
        let name = self.tls.as_ref()?;
        let key = format!("upstream[{i}].tls");
        if !trusted {
            faults.add(&key, "gateways.tls, with the authorities to trust, is missing");
        }
        let read = ServerName::try_from(name.clone());
        faults.keep_at(&key, read.map_err(|e| format!("'{name}': {e}")))
    }

    /// The gateway at one of a server's addresses, as an entry of the list.
    fn node(&self, server: &ServerTable, address: SocketAddr) -> NodeEntry<'static> {
        NodeEntry {
            instance_id: format!("{}/{address}", self.name).into(),
            host_port: address.to_string().into(),
            zone: "".into(),
            machine_type: GATEWAY.into(),
            cell: number(&self.name),
            lifecycle: if server.draining { Lifecycle::Draining } else { Lifecycle::Serving },
            weight: self.rate,
            started_at_ms: 0,
        }
    }
}
