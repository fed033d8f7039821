//! The section `[idle]`: resources kept for rarely used destinations.
use serde::{Deserialize, Serialize};
use std::time::Duration;

use super::errors::ConfigErrors;
use super::rules::Rules;
use crate::job::nanos;

const MB: usize = 1024 * 1024;
/// The decision module drops its measurements of a destination after a minute without use; a shorter time could not
/// distinguish a return after idleness from normal use.
const MIN_COLD_AFTER_S: u64 = 60;

/// Upper bound of `list_limit_mb`, in megabytes.
const MAX_LIST_LIMIT_MB: usize = 1024;

/// The section as it is written.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct IdleTable {
    /// Seconds of disuse after which a destination counts as cold; at least 60.
    pub cold_after_s: Option<u64>,
    /// Maximum size of the list of execute nodes, in megabytes (of 1,048,576 bytes).
    pub list_limit_mb: Option<usize>,
    pub connections: Option<usize>,
}

/// Resources kept for rarely used destinations, on all enabled fronts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleConfig {
    /// A destination that was unused for this time is treated as cold until it proves warm. Without a value no destination
    /// is.
    pub cold_after: Option<Duration>,
    /// Maximum size of the list of execute nodes, in bytes.
    pub list_limit: usize,
    /// Maximum number of open connections to execute nodes, including idle ones.
    pub connections: Option<usize>,
}

impl Default for IdleConfig {
    fn default() -> Self {
        IdleConfig { cold_after: None, list_limit: 8 * MB, connections: None }
    }
}

impl IdleConfig {
    /// Applies the settings that concern the decision module to the rules of a front.
    pub fn apply(&self, rules: &mut Rules) {
        rules.settings.cold_after = self.cold_after.map(nanos);
    }
}

impl IdleTable {
    /// Validates the section; errors are added to `errors`.
    pub(super) fn check(self, errors: &mut ConfigErrors) -> IdleConfig {
        if self.cold_after_s.is_some_and(|s| s < MIN_COLD_AFTER_S) {
            errors.add("idle.cold_after_s", format!("must be at least {MIN_COLD_AFTER_S}"));
        }
        if self.list_limit_mb.is_some_and(|mb| !(1..=MAX_LIST_LIMIT_MB).contains(&mb)) {
            errors.add("idle.list_limit_mb", format!("must be from 1 to {MAX_LIST_LIMIT_MB}"));
        }
        if self.connections == Some(0) {
            errors.add("idle.connections", "must be at least 1");
        }
        let list_limit = self.list_limit_mb.map(|mb| mb.saturating_mul(MB));
        IdleConfig {
            cold_after: self.cold_after_s.map(Duration::from_secs),
            list_limit: list_limit.unwrap_or(IdleConfig::default().list_limit),
            connections: self.connections,
        }
    }
}
