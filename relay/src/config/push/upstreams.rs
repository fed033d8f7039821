//! The tables `[[upstream]]`: destinations, and the gateways of each.
use rustls::pki_types::ServerName;
use serde::{Deserialize, Serialize};
use std::net::{SocketAddr, ToSocketAddrs};

use super::gateways::ServerNames;
use crate::config::errors::ConfigErrors;
use crate::config::relay_file::RelayConfigFile;
use crate::list::{Lifecycle, NodeEntry, NodeList};

/// The machine type of all gateways. The file states neither machine types nor zones.
pub(super) const GATEWAY_KIND: &str = "gateway";

/// An upstream as it is written; it becomes a destination.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamTable {
    pub name: String,
    /// Calls per second that it accepts from all relays together, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Connect to its servers with TLS; their certificates must be valid for this name.
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

/// The destination id of an upstream. It depends on the name only and not on the position in the file, so that jobs in
/// the journal keep their destination when the file changes.
pub(super) fn destination_id(upstream: &str) -> u64 {
    u64::from(crc32fast::hash(upstream.as_bytes()))
}

/// All gateways, and the expected certificate names of those that use TLS.
pub(super) fn gateways(file: &RelayConfigFile, errors: &mut ConfigErrors) -> (NodeList, ServerNames) {
    let (mut nodes, mut server_names) = (Vec::new(), ServerNames::new());
    let upstreams = &file.upstreams;
    for (i, upstream) in upstreams.iter().enumerate() {
        let name = upstream.server_name(i, file.gateways.tls.is_some(), errors);
        if let Some(other) =
            upstreams[..i].iter().find(|o| destination_id(&o.name) == destination_id(&upstream.name))
        {
            let conflict = format!(
                "'{}' has the same destination id as '{}'; rename one of them",
                upstream.name, other.name
            );
            errors.add(format!("upstream[{i}].name"), conflict);
        }
        for (j, server) in upstream.servers.iter().enumerate() {
            let addresses = server.address.to_socket_addrs();
            let addresses = addresses.map_err(|e| format!("'{}': {e}", server.address));
            let addresses = errors.ok_or_add_at(format!("upstream[{i}].server[{j}].address"), addresses);
            for address in addresses.into_iter().flatten() {
                server_names.extend(name.clone().map(|name| (address, name)));
                nodes.push(upstream.node(server, address));
            }
        }
    }
    (NodeList::from_entries(nodes), server_names)
}

impl UpstreamTable {
    /// The expected certificate name of the servers of the `i`th upstream. `has_authorities` tells whether `gateways.tls`
    /// is present.
    fn server_name(
        &self,
        i: usize,
        has_authorities: bool,
        errors: &mut ConfigErrors,
    ) -> Option<ServerName<'static>> {
        let name = self.tls.as_ref()?;
        let key = format!("upstream[{i}].tls");
        if !has_authorities {
            errors.add(&key, "needs gateways.tls with the trusted authorities, which is missing");
        }
        let parsed = ServerName::try_from(name.clone());
        errors.ok_or_add_at(&key, parsed.map_err(|e| format!("'{name}': {e}")))
    }

    /// The list entry for one address of a server.
    fn node(&self, server: &ServerTable, address: SocketAddr) -> NodeEntry<'static> {
        NodeEntry {
            instance_id: format!("{}/{address}", self.name).into(),
            host_port: address.to_string().into(),
            zone: "".into(),
            machine_type: GATEWAY_KIND.into(),
            cell: destination_id(&self.name),
            lifecycle: if server.draining { Lifecycle::Draining } else { Lifecycle::Serving },
            weight: self.rate,
            started_at_ms: 0,
        }
    }
}
