//! The section `[hook]`: a hook script for all enabled fronts.
use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use std::time::Duration;

use super::errors::ConfigErrors;

/// The section as it is written.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HookTable {
    pub script: PathBuf,
    /// Maximum number of interpreter operations in one call of a hook.
    #[serde(default = "default_operations")]
    pub operations: u64,
    /// How long a call may run, in milliseconds. A job waits for a decision for at most twice that time.
    #[serde(default = "default_time_ms")]
    pub time_ms: u64,
}

/// Longest time of a call, in milliseconds: jobs wait meanwhile.
const MAX_TIME_MS: u64 = 1000;

fn default_time_ms() -> u64 {
    50
}

fn default_operations() -> u64 {
    20_000
}

impl HookTable {
    /// Validates the section; errors are added to `errors`.
    pub(super) fn check(&self, errors: &mut ConfigErrors) {
        if self.operations == 0 {
            errors.add("hook.operations", "must be at least 1");
        }
        if !(1..=MAX_TIME_MS).contains(&self.time_ms) {
            errors.add("hook.time_ms", format!("must be from 1 to {MAX_TIME_MS}"));
        }
    }

    /// How long a call may run.
    pub fn time_limit(&self) -> Duration {
        Duration::from_millis(self.time_ms)
    }
}
