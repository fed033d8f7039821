//! Translates between the simulator's wire and slatethread's types. The real relay shares the settings.
#![forbid(unsafe_code)]

pub mod wire;
pub mod wire_settings;
