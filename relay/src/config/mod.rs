//! The one place where configuration is read, checked and given defaults. Every fault names its key.
//!
//! Two files are read. The platform's, in JSON (`platform_file`), gives the addresses, the machine's limits and
//! the settings from which the [`Rules`] follow; variables of the `environment` override some of it. The relay's
//! own, in TOML (`relay_file`), turns on what is off by default.
//!
//! Each section of the relay's own file is a module here: `admin`, `backlog`, `hook`, `idle`, `instances` and `push`, with
//! the tables that belong to the push front below it. Such a module holds the table as it is written, the checked
//! value made of it, and the table's `check`, which adds to `faults::Faults` what is wrong and at which key. A new
//! section is such a module, with a field in [`RelayConfigFile`] and in [`RelayConfig`] and a line in `relay_file::parse_with_all_errors`.
mod admin;
mod backlog;
mod environment;
mod faults;
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

/// Reads and checks a file of either kind; gives what it sets up in a line, or each fault with its key.
pub fn check(path: &Path) -> Result<String, Vec<String>> {
    let text = std::fs::read(path).map_err(|e| vec![format!("cannot read it: {e}")])?;
    if text.iter().find(|byte| !byte.is_ascii_whitespace()) == Some(&b'{') {
        return platform_file::summary(&text).map_err(|fault| vec![fault]);
    }
    let text = String::from_utf8(text).map_err(|e| vec![format!("it is not UTF-8: {e}")])?;
    let own = parse_with_all_errors(&text)?;
    if let Some(backlog) = &own.backlog {
        backlog.check_folder(None).map_err(|fault| vec![fault])?;
    }
    Ok(own.summary())
}

#[cfg(test)]
mod tests;
