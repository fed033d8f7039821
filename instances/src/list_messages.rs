//! What instances say of the list on a link that stands: plain values, in the form in which they cross.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

use crate::catalog::{Entry, ListVersion};

/// Which list an instance holds, and how long ago the list service itself said that it is the one: a span, since what takes time on
/// the way is not known. Ages, not times, since clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListStatus {
    /// Which list.
    pub version: ListVersion,
    /// How often the list service was seen to have lost its memory before it told that list.
    pub resets: u64,
    /// At the most so long ago ...
    pub max_age: Duration,
    /// ... and at the least.
    pub min_age: Duration,
    /// Which instance asked the list service ...
    pub origin: SocketAddr,
    /// ... and over how many others that came.
    pub hops: u8,
}

/// Said by both sides every so often, and whenever there is news.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Counts on from a lot, another on each link: what echoes it was said on this link, after it.
    pub sequence: u64,
    /// The last number heard; 0 is none.
    pub echo: u64,
    /// The list that is held, if one is.
    pub status: Option<ListStatus>,
}

/// A list, or what changed; in several parts where it is long.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// The last number heard.
    pub echo: u64,
    /// The list that it leads to.
    pub status: ListStatus,
    /// The list that it is from; none where it is whole.
    pub base: Option<ListVersion>,
    /// This part's entries.
    pub entries: Vec<Entry>,
    /// No other part comes.
    pub last: bool,
}
