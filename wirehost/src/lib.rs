//! Translates between the simulator's wire and slatethread's types. The relay uses the same translation of settings.
#![forbid(unsafe_code)]

pub mod wire;
pub mod wire_settings;
