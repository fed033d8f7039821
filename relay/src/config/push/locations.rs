//! The tables `[[location]]`: the destination and the class of messages by request path.
use serde::de::IntoDeserializer;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

use super::upstreams::destination_id;
use crate::config::errors::ConfigErrors;
use crate::config::relay_file::RelayConfigFile;

/// A location as it is written.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LocationTable {
    pub path: String,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub exact: bool,
    /// Replaces `path` in the request to the gateway; defaults to `path`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    pub upstream: String,
    pub class: String,
    /// Classes by urgency, where they differ from `class`; their `repeat` must be the same.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub urgency: BTreeMap<Urgency, String>,
}

/// The destination and the class of messages by request path.
#[derive(Clone, Debug, PartialEq)]
pub struct Location {
    pub path: String,
    /// Whether `path` must equal the request path; otherwise it is a prefix.
    pub exact: bool,
    /// Replaces `path` in the request to the gateway.
    pub target: String,
    pub class: String,
    /// Classes by urgency, where they differ from `class`.
    pub urgency: BTreeMap<Urgency, String>,
    pub dest: u64,
}

/// The urgency of a message, as the submitter states it (RFC 8030, 5.3).
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
    /// The urgency with that name in the `Urgency` header.
    pub fn from_name(name: &str) -> Option<Self> {
        let name: serde::de::value::StrDeserializer<'_, serde::de::value::Error> = name.into_deserializer();
        Urgency::deserialize(name).ok()
    }
}

/// All locations. Errors in them are added to `errors`.
pub(super) fn locations(file: &RelayConfigFile, errors: &mut ConfigErrors) -> Vec<Location> {
    let tables = file.locations.iter().enumerate();
    tables.map(|(i, table)| table.check(&format!("location[{i}]"), file, errors)).collect()
}

impl LocationTable {
    /// Validates the table at `key`; errors are added to `errors`.
    fn check(&self, key: &str, file: &RelayConfigFile, errors: &mut ConfigErrors) -> Location {
        if !file.upstreams.iter().any(|u| u.name == self.upstream) {
            errors.add(format!("{key}.upstream"), format!("there is no upstream '{}'", self.upstream));
        }
        if !file.classes.iter().any(|c| c.name == self.class) {
            errors.add(format!("{key}.class"), format!("there is no class '{}'", self.class));
        }
        self.check_urgency(key, file, errors);
        let target = self.target.as_ref().unwrap_or(&self.path);
        if !self.path.starts_with('/') || !target.starts_with('/') {
            errors.add(format!("{key}.path"), "the path and its target must begin with '/'");
        }
        Location {
            path: self.path.clone(),
            exact: self.exact,
            target: target.clone(),
            class: self.class.clone(),
            urgency: self.urgency.clone(),
            dest: destination_id(&self.upstream),
        }
    }

    /// Checks that the class of each urgency has the same `repeat` as the location's own class.
    fn check_urgency(&self, key: &str, file: &RelayConfigFile, errors: &mut ConfigErrors) {
        let repeat_of = |name: &str| file.classes.iter().find(|c| c.name == name).map(|c| c.repeat);
        for (urgency, class) in &self.urgency {
            let urgency = serde_json::to_string(urgency).unwrap_or_default();
            let key = format!("{key}.urgency.{}", urgency.trim_matches('"'));
            match repeat_of(class) {
                None => errors.add(key, format!("there is no class '{class}'")),
                // Guards against a message of a never-repeated class being sent twice because of its urgency.
                repeat if repeat != repeat_of(&self.class) => {
                    errors.add(key, format!("class '{class}' and class '{}' differ in repeat", self.class));
                }
                _ => {}
            }
        }
    }
}
