//! The tables `[[location]]`: where submitters' paths lead, and the classes of what comes on them.
use serde::de::IntoDeserializer;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

use super::upstreams::number;
use crate::config::faults::Faults;
use crate::config::relay_file::RelayConfigFile;

/// A location as it is written.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LocationTable {
    pub path: String,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub exact: bool,
    /// Defaults to the path itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    pub upstream: String,
    pub class: String,
    /// Classes by urgency, where they are others; they must allow repeats as `class` does.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub urgency: BTreeMap<Urgency, String>,
}

/// Where submitters' paths lead.
#[derive(Clone, Debug, PartialEq)]
pub struct Location {
    pub path: String,
    /// The path must be the whole of a request's path, not just its beginning.
    pub exact: bool,
    /// What takes the place of `path` on the way to the gateway.
    pub target: String,
    pub class: String,
    /// The class of messages of an urgency, where it is another.
    pub urgency: BTreeMap<Urgency, String>,
    pub dest: u64,
}

/// How urgent a submitter calls a message (RFC 8030, 5.3).
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    VeryLow,
    Low,
    #[default]
    Normal,
    High,
}

impl Urgency {
    /// The one of that name.
    pub fn named(name: &str) -> Option<Self> {
        let name: serde::de::value::StrDeserializer<'_, serde::de::value::Error> = name.into_deserializer();
        Urgency::deserialize(name).ok()
    }
}

/// All locations; what is wrong with them is added to `faults`.
pub(super) fn locations(file: &RelayConfigFile, faults: &mut Faults) -> Vec<Location> {
    let tables = file.locations.iter().enumerate();
    tables.map(|(i, table)| table.check(&format!("location[{i}]"), file, faults)).collect()
}

impl LocationTable {
    /// The location of the table at `key`; what is wrong with it is added to `faults`.
    fn check(&self, key: &str, file: &RelayConfigFile, faults: &mut Faults) -> Location {
        if !file.upstreams.iter().any(|u| u.name == self.upstream) {
            faults.add(format!("{key}.upstream"), format!("there is no '{}'", self.upstream));
        }
        if !file.classes.iter().any(|c| c.name == self.class) {
            faults.add(format!("{key}.class"), format!("there is no '{}'", self.class));
        }
        self.check_urgency(key, file, faults);
        let target = self.target.as_ref().unwrap_or(&self.path);
        if !self.path.starts_with('/') || !target.starts_with('/') {
            faults.add(format!("{key}.path"), "it and its target must begin with '/'");
        }
        Location {
            path: self.path.clone(),
            exact: self.exact,
            target: target.clone(),
            class: self.class.clone(),
            urgency: self.urgency.clone(),
            dest: number(&self.upstream),
        }
    }

    /// Checks that the class of each urgency allows repeats as the location's own does.
    fn check_urgency(&self, key: &str, file: &RelayConfigFile, faults: &mut Faults) {
        let repeat = |name: &str| file.classes.iter().find(|c| c.name == name).map(|c| c.repeat);
        for (urgency, class) in &self.urgency {
            let urgency = serde_json::to_string(urgency).unwrap_or_default();
            let key = format!("{key}.urgency.{}", urgency.trim_matches('"'));
            match repeat(class) {
                None => faults.add(key, format!("there is no '{class}'")),
                // Guards against an order that is sent twice because it was called urgent.
                own if own != repeat(&self.class) => {
                    faults.add(key, format!("'{class}' differs from '{}' in repeat", self.class));
                }
                _ => {}
            }
        }
    }
}
