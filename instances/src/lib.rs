//! Cluster membership of the relay's instances, and replication of the list of execute nodes between them.
//!
//! [`Member`] describes an instance, [`Swim`] is the membership protocol with suspicion and refutation, [`Lists`] decides which
//! instances poll discovery and how the others receive its list, [`FrameAuthenticator`] authenticates frames with a shared
//! key, and [`LinkMessage`] is what links carry. The crate consists of state machines without sockets, clocks or files: time and
//! messages go in, messages and changes come out. The relay and the simulation of the tests drive the same code.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod catalog;
mod count;
mod list_messages;
mod lists;
mod member;
mod rank;
mod seal;
#[cfg(feature = "simulation")]
pub mod simulation;
mod swim;
mod view;

pub use catalog::{Catalog, Difference, Entry, ListVersion};
pub use count::InstanceCount;
pub use list_messages::{Heartbeat, ListStatus, ListUpdate};
pub use lists::{KnownList, Lists, ListsConfig, ListsInput, ListsOutput};
pub use member::{MAX_TEXT_BYTES, Member, is_valid_text};
pub use seal::{FrameAuthenticator, FrameError, Key, KeyError};
pub use swim::{MemberStatus, MembershipChange, Swim, SwimConfig, SwimCounters, SwimInput, SwimOutput};
pub use view::{LinkMessage, MAX_FRAME_BYTES, View};

use std::time::Duration;

/// Time on one machine's monotonic clock, since an arbitrary earlier moment.
pub type At = Duration;
