//! The rules that follow from the platform's settings.
use slatethread::{Nanos, Settings};
use slatethread_wirehost::wire_settings::{self, SettingNames, WireSettings};
use std::time::Duration;

/// The module's settings, with what else a front needs of them.
#[derive(Clone)]
pub struct Rules {
    pub settings: Settings,
    pub names: SettingNames,
}

impl Rules {
    /// Least time between rounds.
    pub fn step(&self) -> Duration {
        span(self.settings.step, Duration::from_millis(5))
    }

    /// The list must be watched or asked for this often.
    pub fn must_ask_in(&self) -> Duration {
        span(self.settings.rules.must_ask_in, Duration::from_secs(10))
    }

    /// A connection that is not up within this time has failed.
    pub fn dial_timeout(&self) -> Duration {
        span(self.settings.dial_timeout, Duration::from_millis(1500))
    }

    /// An execute node closes a connection that has stood idle for so long.
    pub fn idle_close(&self) -> Duration {
        span(self.settings.idle_close, Duration::from_secs(10))
    }

    pub fn class(&self, name: &str) -> Option<usize> {
        self.names.classes.iter().position(|n| n == name)
    }
}

/// Nanoseconds are the module's; everything on this side of its edge has durations.
pub fn span(nanos: Option<Nanos>, default: Duration) -> Duration {
    nanos.map_or(default, Duration::from_nanos)
}

/// The rules of the platform's settings; a fault names its key among them.
pub(super) fn rules(env: WireSettings) -> Result<Rules, String> {
    let (settings, names) = wire_settings::translate(env)?;
    if settings.classes.is_empty() {
        return Err("categories: no class of message is given".into());
    }
    Ok(Rules { settings, names })
}
