//! What instances say of the list on a link that stands: plain values, in the form in which they cross.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

use crate::catalog::{Edition, Entry};

/// Which list an instance holds, and how long ago the list service itself said that it is the one: a span, since what takes time on
/// the way is not known. Ages, not times, since clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Which list.
    pub edition: Edition,
    /// How often the list service was seen to have lost its memory before it told that list.
    pub memory: u64,
    /// At the most so long ago ...
    pub oldest: Duration,
    /// ... and at the least.
    pub newest: Duration,
    /// Which instance asked the list service ...
    pub origin: SocketAddr,
    /// ... and over how many others that came.
    pub hops: u8,
}

/// Said by both sides every so often, and whenever there is news.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Counts on from a lot, another on each link: what echoes it was said on this link, after it.
    pub number: u64,
    /// The last number heard; 0 is none.
    pub echo: u64,
    /// The list that is held, if one is.
    pub told: Option<Told>,
}

/// A list, or what changed; in several parts where it is long.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The last number heard.
    pub echo: u64,
    /// The list that it leads to.
    pub told: Told,
    /// The list that it is from; none where it is whole.
    pub base: Option<Edition>,
    /// This part's entries.
    pub entries: Vec<Entry>,
    /// No other part comes.
    pub last: bool,
}
