//! A relay for messages to partner systems. The `slatethread` crate, called the decision module, decides what is sent when and where;
//! this program does the I/O.
//!
//! A front accepts messages over one protocol and sends them to execute nodes. The modules form layers, each of which imports
//! only those before it: plain values ([`clock`], [`job`]); data that is read and written ([`config`], [`list`], [`tls`], [`state_lock`], [`journal`],
//! [`notice`], [`import`], [`memory_budget`], [`metrics`], [`disabled`]); hook scripts ([`hook`]); messages queued on disk ([`backlog`]); the processing of
//! jobs ([`core`]); what fronts share ([`availability`], [`connection_limiter`], `http1`, [`discovery`]); the fronts ([`platform`],
//! [`push`]); the admin address ([`admin`], and `admin_client` to call it); and startup and shutdown ([`run`]).
#![forbid(unsafe_code)]

pub mod admin;
mod admin_client;
pub mod availability;
pub mod backlog;
pub mod clock;
pub mod config;
pub mod connection_limiter;
pub mod core;
mod count_guard;
pub mod disabled;
pub mod discovery;
pub mod handover;
pub mod handover_state;
pub mod hook;
mod http1;
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
pub mod memory_budget;
pub mod metrics;
pub mod notice;
pub mod platform;
pub mod push;
pub mod run;
pub mod state_lock;
pub mod tls;
