//! The tables `[[class]]`: classes of messages, and the rules of the push front that follow from them.
use serde::{Deserialize, Serialize};
use slatethread::{Effect, Fade, Kind, Settings, Weights};
use slatethread_wirehost::wire_settings::SettingNames;

use super::upstreams::GATEWAY;
use crate::config::faults::Faults;
use crate::config::relay_file::OwnFile;
use crate::config::rules::Rules;

/// A class as it is written.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTable {
    pub name: String,
    /// Delivered within this time, a message earns its full worth.
    pub aim_ms: u64,
    pub give_up_ms: u64,
    pub repeat: Repeat,
    #[serde(default = "default_worth")]
    pub worth: f64,
    /// Share of the worth left at the deadline.
    #[serde(default)]
    pub late_worth: f64,
}

/// Whether a message that may have run is sent again.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    Safe,
    Never,
}

fn default_worth() -> f64 {
    1.0
}

impl ClassTable {
    /// The class as the module has it.
    fn class(&self) -> slatethread::Class {
        slatethread::Class {
            aim: millis(self.aim_ms),
            give_up: millis(self.give_up_ms),
            // A gateway remembers no keys, and one that resets streams at random may have taken the message
            // with any reason it gives: such a class is never sent again once it may have run.
            effect: match self.repeat {
                Repeat::Safe => Effect::Safe,
                Repeat::Never => Effect::Unsafe,
            },
            late_worth: Some(self.late_worth),
            credit: Some(self.worth),
            ..slatethread::Class::default()
        }
    }
}

/// The rules of the push front; what is wrong with the classes is added to `faults`.
pub(super) fn rules(file: &OwnFile, faults: &mut Faults) -> Rules {
    for (i, class) in file.classes.iter().enumerate() {
        if class.give_up_ms == 0 || class.aim_ms > class.give_up_ms {
            faults.add(format!("class[{i}].aim_ms"), "must not be above give_up_ms, which must not be 0");
        }
    }
    let names = SettingNames {
        classes: file.classes.iter().map(|c| c.name.clone()).collect(),
        kinds: vec![GATEWAY.into()],
        ..SettingNames::default()
    };
    Rules { settings: settings(file), names }
}

fn settings(file: &OwnFile) -> Settings {
    let limits = &file.limits;
    let rated = file.upstreams.iter().any(|u| u.rate.is_some());
    Settings {
        couriers: Some(limits.relays.max(1)),
        step: Some(millis(limits.step_ms)),
        classes: file.classes.iter().map(ClassTable::class).collect(),
        fade: Some(Fade::Line),
        kinds: vec![Kind::default()],
        slots: Some(limits.slots),
        max_held: Some(limits.jobs),
        max_tries: Some(limits.tries),
        max_backoff: Some(millis(limits.longest_backoff_ms.max(1))),
        idle_close: Some(millis(limits.idle_close_ms)),
        dial_timeout: Some(millis(limits.dial_timeout_ms)),
        backoff_told: true,
        weights: if rated { Weights::Exact } else { Weights::Nothing },
        // The platform's figures: nothing better is known of gateways that come back cold.
        rules: slatethread::Rules {
            cold: Some(millis(14_000)),
            cold_share: Some(0.18),
            fall_multiple: Some(2.0),
            fall: Some(millis(3000)),
            ..slatethread::Rules::default()
        },
        ..Settings::default()
    }
}

/// Milliseconds in the module's nanoseconds.
fn millis(ms: u64) -> slatethread::Nanos {
    ms.saturating_mul(1_000_000)
}
