//! The tables `[[class]]`: classes of messages, and the settings of the push front that are derived from the file.
use serde::{Deserialize, Serialize};
use slatethread::{Effect, Kind, Settings, Weights, WorthDecay};
use slatethread_wirehost::wire_settings::SettingNames;

use super::upstreams::GATEWAY_KIND;
use crate::config::errors::ConfigErrors;
use crate::config::relay_file::RelayConfigFile;
use crate::config::rules::Rules;

/// A class as it is written.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTable {
    pub name: String,
    /// A message that is delivered within this time earns its full worth.
    pub aim_ms: u64,
    pub give_up_ms: u64,
    pub repeat: Repeat,
    #[serde(default = "default_worth")]
    pub worth: f64,
    /// Fraction of the worth that remains at the deadline.
    #[serde(default)]
    pub late_worth: f64,
}

/// Whether a message is sent again after an attempt that may have run.
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
    /// The class in the form of the decision module.
    fn to_class(&self) -> slatethread::Class {
        slatethread::Class {
            target_latency: nanos_from_millis(self.aim_ms),
            lifetime: nanos_from_millis(self.give_up_ms),
            // Gateways do not support idempotency keys, and a gateway that resets streams at random may have accepted the
            // message whatever error code it sends. Messages of such a class are not sent again once they may have run.
            effect: match self.repeat {
                Repeat::Safe => Effect::Safe,
                Repeat::Never => Effect::Unsafe,
            },
            late_worth: Some(self.late_worth),
            worth: Some(self.worth),
            ..slatethread::Class::default()
        }
    }
}

/// The rules of the push front. Errors in the classes are added to `errors`.
pub(super) fn rules(file: &RelayConfigFile, errors: &mut ConfigErrors) -> Rules {
    for (i, class) in file.classes.iter().enumerate() {
        if class.give_up_ms == 0 || class.aim_ms > class.give_up_ms {
            errors.add(
                format!("class[{i}].aim_ms"),
                "must not exceed give_up_ms, and give_up_ms must not be 0",
            );
        }
    }
    let names = SettingNames {
        classes: file.classes.iter().map(|c| c.name.clone()).collect(),
        kinds: vec![GATEWAY_KIND.into()],
        ..SettingNames::default()
    };
    Rules { settings: settings(file), names }
}

fn settings(file: &RelayConfigFile) -> Settings {
    let limits = &file.limits;
    let has_rates = file.upstreams.iter().any(|u| u.rate.is_some());
    Settings {
        relays: Some(limits.relays.max(1)),
        round_interval: Some(nanos_from_millis(limits.step_ms)),
        classes: file.classes.iter().map(ClassTable::to_class).collect(),
        worth_decay: Some(WorthDecay::Linear),
        kinds: vec![Kind::default()],
        slots: Some(limits.slots),
        max_open_messages: Some(limits.jobs),
        max_attempts: Some(limits.tries),
        max_backoff: Some(nanos_from_millis(limits.longest_backoff_ms.max(1))),
        idle_close: Some(nanos_from_millis(limits.idle_close_ms)),
        dial_timeout: Some(nanos_from_millis(limits.dial_timeout_ms)),
        refusals_carry_backoff: true,
        weights: if has_rates { Weights::Exact } else { Weights::Nothing },
        // The platform's values, as nothing better is known about gateways that return cold.
        rules: slatethread::Rules {
            warm_up_time: Some(nanos_from_millis(14_000)),
            cold_share: Some(0.18),
            overload_factor: Some(2.0),
            overload_time: Some(nanos_from_millis(3000)),
            ..slatethread::Rules::default()
        },
        ..Settings::default()
    }
}

/// Converts milliseconds to the nanoseconds of the decision module.
fn nanos_from_millis(ms: u64) -> slatethread::Nanos {
    ms.saturating_mul(1_000_000)
}
