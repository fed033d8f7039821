//! The settings of a front in the form of the decision module.
use slatethread::{Nanos, Settings};
use slatethread_wirehost::wire_settings::{self, SettingNames, WireSettings};
use std::time::Duration;

/// The settings of the decision module, and the names that a front needs in addition.
#[derive(Clone)]
pub struct Rules {
    pub settings: Settings,
    pub names: SettingNames,
}

impl Rules {
    /// Minimum interval between rounds of the decision module.
    pub fn step(&self) -> Duration {
        duration_or(self.settings.round_interval, Duration::from_millis(5))
    }

    /// The list of execute nodes must be confirmed by a watch or a request at least this often.
    pub fn list_max_age(&self) -> Duration {
        duration_or(self.settings.rules.list_poll_interval, Duration::from_secs(10))
    }

    /// A connection attempt that takes longer than this fails.
    pub fn dial_timeout(&self) -> Duration {
        duration_or(self.settings.dial_timeout, Duration::from_millis(1500))
    }

    /// Execute nodes close connections that were idle for this time.
    pub fn idle_close(&self) -> Duration {
        duration_or(self.settings.idle_close, Duration::from_secs(10))
    }

    /// The index of the class with this name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.names.classes.iter().position(|n| n == name)
    }
}

/// Converts nanoseconds of the decision module to a duration; the relay uses `Duration` everywhere else.
pub fn duration_or(nanos: Option<Nanos>, default: Duration) -> Duration {
    nanos.map_or(default, Duration::from_nanos)
}

/// Translates the settings of a front; an error names the key within them.
pub(super) fn rules(front_settings: WireSettings) -> Result<Rules, String> {
    let (settings, names) = wire_settings::translate(front_settings)?;
    if settings.classes.is_empty() {
        return Err("categories: at least one class of messages is needed".into());
    }
    Ok(Rules { settings, names })
}
