//! The relay's laboratory. Plain values and models below ([`model`], [`arrivals`], [`rules`], [`service`], [`record`],
//! [`experiment`], [`file`], [`world`]), free of sockets; above them what plays them: [`virtual_time`] against the decision
//! module itself, or the stand-ins ([`emulator`], [`discovery`], [`load`], [`push`], [`relay`]) that [`play`] puts together;
//! [`report`] last. `docs/lab.md` tells how to run and read an experiment.
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
pub mod rules;
pub mod service;
pub mod virtual_time;
pub mod world;

/// Messages are called `m` and their number.
pub fn message_number(id: &str) -> Option<u64> {
    id.strip_prefix('m')?.parse().ok()
}
