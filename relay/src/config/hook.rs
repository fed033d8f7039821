//! The section `[hook]`: a hook script for all enabled fronts.
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

use super::errors::ConfigErrors;

/// The section as it is written.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HookTable {
    pub script: PathBuf,
    /// Maximum number of interpreter operations in one call of a hook.
    #[serde(default = "default_operations")]
    pub operations: u64,
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
    }
}
