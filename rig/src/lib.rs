//! The rig: many processes of the real relay, with faults between them. Plain values below, free of sockets
//! ([`schedule`], [`system_faults`], [`draw`], [`soak`], [`shrink`], [`history`], [`check`], [`drains`]); above them what carries traffic ([`links`],
//! [`datagrams`], [`clients`], [`crowd`]) and processes ([`fleet`]); [`play`] puts them together round the laboratory's partners, list service
//! and rules; [`report`] last. `docs/rig.md` tells how to write and play a schedule.
#![forbid(unsafe_code)]

pub mod check;
pub mod clients;
pub mod crowd;
pub mod datagrams;
pub mod drains;
pub mod draw;
pub mod fleet;
pub mod history;
pub mod links;
pub mod play;
pub mod report;
pub mod schedule;
pub mod shrink;
pub mod soak;
pub mod system_faults;
