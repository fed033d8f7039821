//! The section `[idle]`: how destinations are kept that are seldom used.
use serde::{Deserialize, Serialize};
use std::time::Duration;

use super::faults::Faults;
use super::rules::Rules;
use crate::job::nanos;

const MB: usize = 1024 * 1024;
/// The module forgets what it measured of a destination after a minute without use: no return can be told from
/// ordinary use before.
const LEAST_COLD_AFTER_S: u64 = 60;

/// Longest list that may be allowed, in megabytes.
const MOST_LIST_LIMIT_MB: usize = 1024;

/// The section as it is written.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct IdleTable {
    /// Seconds; at least 60.
    pub cold_after_s: Option<u64>,
    /// Megabytes (of 1,048,576 bytes).
    pub list_limit_mb: Option<usize>,
    pub connections: Option<usize>,
}

/// How destinations are kept that are seldom used, on the fronts that are on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleConfig {
    /// A destination unused for so long is cold until it shows otherwise; none is where this is not set.
    pub cold_after: Option<Duration>,
    /// The longest list that is read, in bytes.
    pub list_limit: usize,
    /// Connections to execute nodes that may be open at once, idle ones counted.
    pub connections: Option<usize>,
}

impl Default for IdleConfig {
    fn default() -> Self {
        IdleConfig { cold_after: None, list_limit: 8 * MB, connections: None }
    }
}

impl IdleConfig {
    /// Puts what the module is to know of it into a front's rules.
    pub fn apply(&self, rules: &mut Rules) {
        rules.settings.cold_after = self.cold_after.map(nanos);
    }
}

impl IdleTable {
    /// The section's value; what is wrong with it is added to `faults`.
    pub(super) fn check(self, faults: &mut Faults) -> IdleConfig {
        if self.cold_after_s.is_some_and(|s| s < LEAST_COLD_AFTER_S) {
            faults.add("idle.cold_after_s", format!("must be at least {LEAST_COLD_AFTER_S}"));
        }
        if self.list_limit_mb.is_some_and(|mb| !(1..=MOST_LIST_LIMIT_MB).contains(&mb)) {
            faults.add("idle.list_limit_mb", format!("must be from 1 to {MOST_LIST_LIMIT_MB}"));
        }
        if self.connections == Some(0) {
            faults.add("idle.connections", "must be at least 1");
        }
        let list_limit = self.list_limit_mb.map(|mb| mb.saturating_mul(MB));
        IdleConfig {
            cold_after: self.cold_after_s.map(Duration::from_secs),
            list_limit: list_limit.unwrap_or(IdleConfig::default().list_limit),
            connections: self.connections,
        }
    }
}
