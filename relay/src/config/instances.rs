//! The section `[instances]`: how an instance talks to the others.
use onyxglade_instances::{Key, MAX_TEXT_BYTES, is_valid_text};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

use super::faults::Faults;

/// Most instances, which is what the traffic among them is measured for.
const MOST_INSTANCES: u32 = 1000;

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

/// How an instance talks to the others.
#[derive(Clone)]
pub struct Instances {
    /// Where it listens for datagrams.
    pub listen: SocketAddr,
    /// Where others reach it; where it listens, if nothing is said.
    pub advertise: Option<SocketAddr>,
    pub seeds: Vec<SocketAddr>,
    pub key: Key,
    /// Its name; the platform's name for it, if nothing is said.
    pub name: Option<String>,
    pub zone: String,
    pub region: String,
    /// Messages a second that it bears; 0 is untold.
    pub capacity: u32,
    /// About how many instances there are.
    pub expected: u32,
    /// Lists pass between instances.
    pub lists: bool,
    /// Limits are divided among the instances that are there.
    pub shares: bool,
}

impl InstancesTable {
    /// The section's value; what is wrong with it is added to `faults`, and then there is no value.
    pub(super) fn check(self, faults: &mut Faults) -> Option<Instances> {
        let found = faults.count();
        let listen = faults.address("instances.listen", &self.listen);
        let advertise = self.advertise.as_deref();
        let advertise = advertise.and_then(|text| faults.address("instances.advertise", text));
        let seeds = self.seeds.iter().enumerate();
        let seeds =
            seeds.filter_map(|(n, text)| faults.address(format!("instances.seeds[{n}]"), text)).collect();
        check_reachable(listen, advertise, faults);
        self.check_texts(faults);
        if !(1..=MOST_INSTANCES).contains(&self.expected) {
            faults.add("instances.expected", format!("must be from 1 to {MOST_INSTANCES}"));
        }
        let key = faults.keep_at("instances.key_file", self.key())?;
        let InstancesTable { name, zone, region, capacity, expected, lists, shares, .. } = self;
        let listen = listen.filter(|_| faults.count() == found)?;
        Some(Instances {
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

    /// Checks the texts that other instances are sent.
    fn check_texts(&self, faults: &mut Faults) {
        let texts = [
            ("name", self.name.as_deref()),
            ("zone", Some(self.zone.as_str())),
            ("region", Some(self.region.as_str())),
        ];
        for (key, _) in texts.iter().filter(|(_, text)| text.is_some_and(|text| !is_valid_text(text))) {
            let fault = format!("at most {MAX_TEXT_BYTES} bytes, without control characters");
            faults.add(format!("instances.{key}"), fault);
        }
    }

    /// Reads the key that all instances share.
    fn key(&self) -> Result<Key, String> {
        let path = self.key_file.display();
        let text = std::fs::read(&self.key_file).map_err(|e| format!("cannot read {path}: {e}"))?;
        Key::read(&text).map_err(|e| format!("{path}: {e}"))
    }
}

/// Others are told where to reach this instance, so the address has to lead to it.
fn check_reachable(listen: Option<SocketAddr>, advertise: Option<SocketAddr>, faults: &mut Faults) {
    let Some(reached) = advertise.or(listen) else { return };
    if reached.ip().is_unspecified() || advertise.is_some_and(|a| a.port() == 0) {
        faults.add("instances.advertise", format!("others cannot reach {reached}"));
    }
}
