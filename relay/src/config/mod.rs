//! Reads and validates the configuration and applies defaults; nothing else reads configuration. Every error names the
//! key at fault.
//!
//! There are two files. The platform's file, in JSON (`platform_file`), sets the addresses, the machine's limits and the
//! settings that the [`Rules`] are made from; environment variables (`environment`) override some of it. The relay's own
//! file, in TOML (`relay_file`), enables what is off by default.
//!
//! Each section of the relay's own file has a module: `admin`, `backlog`, `hook`, `idle`, `instances` and `push`; the tables
//! that belong to the push front are submodules of `push`. Such a module defines the table as it is written, the
//! validated value, and the table's `check` method, which adds errors with their keys to `errors::ConfigErrors`. A new
//! section needs such a module, a field in [`RelayConfigFile`] and in [`RelayConfig`], and a line in
//! `relay_file::parse_with_all_errors`.
mod admin;
mod backlog;
mod environment;
mod errors;
mod hook;
mod idle;
mod instances;
mod platform_file;
mod push;
mod relay_file;
mod rules;

pub use admin::admin_address_from_env;
pub use backlog::{BacklogConfig, BacklogTable};
pub use hook::HookTable;
pub use idle::{IdleConfig, IdleTable};
pub use instances::{InstancesConfig, InstancesTable};
pub use platform_file::{MachineLimits, PlatformConfig, load_platform_config};
pub use push::{
    ClassTable, GatewayTls, GatewaysTable, LimitsTable, Location, LocationTable, PoolLimits, PushConfig,
    PushTable, Repeat, ServerTable, TlsTarget, UpstreamTable, Urgency,
};
pub use relay_file::{RelayConfig, RelayConfigFile, load_relay_config, parse_relay_config};
pub use rules::{Rules, duration_or};

use relay_file::parse_with_all_errors;
use std::path::Path;

/// Reads and validates a configuration file of either kind. Returns a one-line summary, or all errors with their keys.
pub fn check(path: &Path) -> Result<String, Vec<String>> {
    let text = std::fs::read(path).map_err(|e| vec![format!("cannot read the file: {e}")])?;
    if text.iter().find(|byte| !byte.is_ascii_whitespace()) == Some(&b'{') {
        return platform_file::summary(&text).map_err(|error| vec![error]);
    }
    let text = String::from_utf8(text).map_err(|e| vec![format!("the file is not UTF-8: {e}")])?;
    let config = parse_with_all_errors(&text)?;
    if let Some(backlog) = &config.backlog {
        backlog.check_folder(None).map_err(|error| vec![error])?;
    }
    Ok(config.summary())
}

#[cfg(test)]
mod tests;
