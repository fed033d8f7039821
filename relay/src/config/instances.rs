//! The section `[instances]`: communication among the instances of the relay.
use onyxglade_instances::{Key, MAX_TEXT_BYTES, is_valid_text};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

use super::errors::ConfigErrors;

/// Maximum number of instances: the largest number for which the traffic among them was measured.
const MAX_INSTANCES: u32 = 1000;

/// The section as it is written.
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

fn default_expected() -> u32 {
    3
}

/// Settings for the communication among instances.
#[derive(Clone)]
pub struct InstancesConfig {
    /// The address for datagrams and links from other instances.
    pub listen: SocketAddr,
    /// The address at which other instances reach this one; defaults to `listen`.
    pub advertise: Option<SocketAddr>,
    pub seeds: Vec<SocketAddr>,
    pub key: Key,
    /// The name of this instance; defaults to the name from the platform's file.
    pub name: Option<String>,
    pub zone: String,
    pub region: String,
    /// Messages per second that it can handle; 0 if unknown.
    pub capacity: u32,
    /// Approximate number of instances.
    pub expected: u32,
    /// Whether instances pass lists of execute nodes to each other.
    pub lists: bool,
    /// Whether limits are divided among the live instances.
    pub shares: bool,
}

impl InstancesTable {
    /// Validates the section; errors are added to `errors`, and the result is then `None`.
    pub(super) fn check(self, errors: &mut ConfigErrors) -> Option<InstancesConfig> {
        let previous_errors = errors.count();
        let listen = errors.address("instances.listen", &self.listen);
        let advertise = self.advertise.as_deref();
        let advertise = advertise.and_then(|text| errors.address("instances.advertise", text));
        let seeds = self.seeds.iter().enumerate();
        let seeds =
            seeds.filter_map(|(n, text)| errors.address(format!("instances.seeds[{n}]"), text)).collect();
        check_reachable(listen, advertise, errors);
        self.check_texts(errors);
        if !(1..=MAX_INSTANCES).contains(&self.expected) {
            errors.add("instances.expected", format!("must be from 1 to {MAX_INSTANCES}"));
        }
        let key = errors.ok_or_add_at("instances.key_file", self.read_key())?;
        let InstancesTable { name, zone, region, capacity, expected, lists, shares, .. } = self;
        let listen = listen.filter(|_| errors.count() == previous_errors)?;
        Some(InstancesConfig {
            listen,
            advertise,
            seeds,
            key,
            name,
            zone,
            region,
            capacity,
            expected,
            lists,
            shares,
        })
    }

    /// Validates the texts that are sent to other instances.
    fn check_texts(&self, errors: &mut ConfigErrors) {
        let texts = [
            ("name", self.name.as_deref()),
            ("zone", Some(self.zone.as_str())),
            ("region", Some(self.region.as_str())),
        ];
        for (key, _) in texts.iter().filter(|(_, text)| text.is_some_and(|text| !is_valid_text(text))) {
            let message = format!("must have at most {MAX_TEXT_BYTES} bytes and no control characters");
            errors.add(format!("instances.{key}"), message);
        }
    }

    /// Reads the key shared by all instances.
    fn read_key(&self) -> Result<Key, String> {
        let path = self.key_file.display();
        let text = std::fs::read(&self.key_file).map_err(|e| format!("cannot read {path}: {e}"))?;
        Key::read(&text).map_err(|e| format!("{path}: {e}"))
    }
}

/// Validates the address that is announced to other instances: it must be reachable for them.
fn check_reachable(listen: Option<SocketAddr>, advertise: Option<SocketAddr>, errors: &mut ConfigErrors) {
    let Some(address) = advertise.or(listen) else { return };
    if address.ip().is_unspecified() || advertise.is_some_and(|a| a.port() == 0) {
        errors.add("instances.advertise", format!("other instances cannot reach {address}"));
    }
}
