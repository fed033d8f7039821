//! Test bench for the relay. The socket-free modules hold data and models: [`model`], [`arrivals`],
//! [`rules`], [`service`], [`record`], [`experiment`], [`mod@file`] and [`world`]. Two drivers run experiments
//! on them: [`virtual_time`] runs the decision module itself in virtual time, and [`play`] runs the real
//! relay against emulated peers ([`emulator`], [`discovery`], [`load`], [`push`], [`relay`]). [`report`]
//! summarizes the results. `docs/lab.md` explains how to run and read an experiment.
#![forbid(unsafe_code)]

pub mod arrivals;
pub mod baseline_proxy;
pub mod capacity;
pub mod discovery;
pub mod emulator;
pub mod experiment;
pub mod file;
pub mod load;
pub mod model;
pub mod play;
pub mod push;
pub mod record;
pub mod relay;
pub mod report;
pub mod reserved_address;
pub mod rules;
pub mod service;
pub mod virtual_time;
pub mod world;

/// Parses the number of a message from its id, `m` followed by the number.
pub fn message_number(id: &str) -> Option<u64> {
    id.strip_prefix('m')?.parse().ok()
}
