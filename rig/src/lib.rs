//! The rig: runs many processes of the real relay with injected faults.
//!
//! The lowest layer is plain values without sockets: [`schedule`], [`system_faults`], [`draw`], [`soak`], [`shrink`], [`history`],
//! [`check`] and [`drains`]. Above it are the modules that carry traffic ([`links`], [`datagrams`], [`clients`], [`idle_clients`], [`hard_clients`]) and
//! run processes ([`fleet`]). [`play`] combines them with the laboratory's partners, list service and rules, and [`report`] writes
//! the result. `docs/rig.md` describes how to write and play a schedule.
#![forbid(unsafe_code)]

pub mod check;
pub mod clients;
pub mod datagrams;
pub mod drains;
pub mod draw;
pub mod fleet;
pub mod hard_clients;
pub mod history;
pub mod idle_clients;
pub mod links;
pub mod play;
pub mod report;
pub mod schedule;
pub mod shrink;
pub mod soak;
pub mod system_faults;
