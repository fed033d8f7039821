//! Messages about the list of execute nodes that instances exchange on a subscribed link, as they are encoded on the wire.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

use crate::catalog::{Entry, ListVersion};

/// Which list an instance has, and how long ago discovery itself confirmed that list as the current one. The age is a range,
/// since the delays on the way are not known. Ages are sent instead of times, since clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListStatus {
    /// The list's version.
    pub version: ListVersion,
    /// How many losses of discovery's state had been observed before it returned this list.
    pub resets: u64,
    /// The greatest possible age of the confirmation.
    pub max_age: Duration,
    /// The least possible age of the confirmation.
    pub min_age: Duration,
    /// The instance that called discovery.
    pub origin: SocketAddr,
    /// Over how many other instances the confirmation came.
    pub hops: u8,
}

/// Sent by both sides of a link periodically, and when the list changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Counts up from a random number that differs from link to link, so that an echo of it proves that the echoing message was
    /// sent on this link and after this heartbeat.
    pub sequence: u64,
    /// The last sequence number received; 0 if there is none.
    pub echo: u64,
    /// The sender's list, if it has one.
    pub status: Option<ListStatus>,
}

/// A whole list or the changes to one; a long one is sent in several parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// The last sequence number received.
    pub echo: u64,
    /// The list that results.
    pub status: ListStatus,
    /// The version that the changes apply to; `None` for a whole list.
    pub base: Option<ListVersion>,
    /// The entries of this part.
    pub entries: Vec<Entry>,
    /// Whether this is the last part.
    pub last: bool,
}
