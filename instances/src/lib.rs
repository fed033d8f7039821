//! Which instances of the relay are there.
//!
//! Owns who is thought to be there and what is said about it: [`Member`] is what an instance tells of itself, [`Swim`] the protocol
//! of suspicion and refutation as a state machine, [`Lists`] which of them ask the list service and how the others have its word,
//! [`FrameAuthenticator`] the frames that carry it, tagged with a shared key, [`LinkMessage`] what links carry. It may know
//! neither sockets nor clocks nor files: time and datagrams go in, datagrams and changes come out. The relay and the
//! simulation of the tests drive the very same code.
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
pub use seal::{FrameAuthenticator, FrameError, Key, KeyFault};
pub use swim::{MemberStatus, MembershipChange, Swim, SwimConfig, SwimCounters, SwimInput, SwimOutput};
pub use view::{LinkMessage, MAX_FRAME_BYTES, View};

use std::time::Duration;

/// Time on one machine's monotonic clock, since any moment before all else.
pub type At = Duration;
