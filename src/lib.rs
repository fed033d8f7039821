//! Decisions of a relay that forwards messages to destinations outside its operator's control.
//!
//! A [`Dispatcher`] predicts how long a call to each destination would take. It refuses messages, or drops
//! them before they are sent, if they cannot be served in the time they have left. The host passes it events
//! and carries out its actions; the library has no clock, threads or I/O of its own.
//!
//! ```
//! use slatethread::{Action, Dispatcher, Endpoint, EndpointId, Event, ListScope, MsgId, Request, Settings};
//! use slatethread::{Class, Condition, DestId, Effect, KindId, ZoneId, ClassId};
//!
//! const SECOND: u64 = 1_000_000_000;
//! let class =
//!     Class { target_latency: 2 * SECOND, lifetime: 20 * SECOND, effect: Effect::Safe, ..Class::default() };
//! let settings = Settings { classes: vec![class], slots: Some(4), ..Settings::default() };
//! let mut dispatcher = Dispatcher::new(settings, 7);
//! let endpoint = Endpoint {
//!     id: EndpointId(1), dest: DestId(5), zone: ZoneId(0), kind: KindId(0),
//!     condition: Condition::Active, weight: None, started: 0,
//! };
//! let list = Event::List { scope: ListScope::Whole, entries: vec![endpoint] };
//! let request = Event::Request(Request {
//!     msg: MsgId(9), dest: DestId(5), class: ClassId(0), tenant: None, key: None,
//!     time_left: 20 * SECOND, retry: false, reconnect: false, previous_attempts: 0, unconfirmed: None,
//!     restored: false, rules: None,
//! });
//! let mut actions = Vec::new();
//! dispatcher.on_round(SECOND, &[list, request], &mut actions);
//! assert!(matches!(actions[0], Action::Send { msg: MsgId(9), endpoint: EndpointId(1), .. }));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod call_pause;
mod choice;
mod cold_return;
mod discovery_schedule;
mod endpoint_list;
mod health;
mod idle_records;
mod interface;
mod list_lease;
mod primitives;
mod queue;
mod queueing;
mod ramp;
mod snapshot;
mod state;

pub use choice::Dispatcher;
pub use idle_records::RecordCounts;
pub use interface::*;
pub use list_lease::{ListLease, ListSource};
pub use snapshot::{DestinationSnapshot, EndpointSnapshot};
