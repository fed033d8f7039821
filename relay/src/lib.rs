//! A relay that hands messages on to partner systems; `slatethread` decides, this program acts.
//!
//! The rooms, each importing only those before it: plain values ([`clock`], [`job`]), what is read and written ([`config`],
//! [`list`], [`tls`], [`journal`], [`notice`], [`import`], [`metrics`], [`disabled`]), plug-ins ([`hook`]), what waits on disk ([`backlog`]), jobs' lives ([`core`]), what fronts
//! share ([`availability`], [`connection_limiter`], [`discovery`]), the fronts ([`platform`], [`push`]), the second address ([`admin`]; `admin_client` calls it), and the program that
//! wires them ([`run`]).
#![forbid(unsafe_code)]

pub mod admin;
mod admin_client;
pub mod availability;
pub mod backlog;
pub mod clock;
pub mod config;
pub mod connection_limiter;
pub mod core;
pub mod disabled;
pub mod discovery;
pub mod handover;
pub mod handover_state;
pub mod hook;
pub mod idle_pool;
pub mod import;
pub mod inherited_socket;
pub mod instances;
pub mod job;
pub mod journal;
mod json;
pub mod lease_record;
pub mod list;
mod listener;
pub mod metrics;
pub mod notice;
pub mod platform;
pub mod push;
pub mod run;
pub mod tls;
