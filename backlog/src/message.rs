//! The values that a store holds, independent of how it stores them.
use bytes::Bytes;

/// Milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnixMillis(pub u64);

/// The number that a store assigned to a class name; see [`crate::store::BacklogStore::class`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassNumber(pub u16);

/// The messages of one class for one destination, in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane {
    /// The destination of the messages.
    pub destination: u64,
    /// Their class.
    pub class: ClassNumber,
}

/// The position of a message in its lane. A position is never reused for another message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The lane of the message.
    pub lane: Lane,
    /// Increases with each message that the store accepts, across all lanes; within one lane there may be gaps.
    pub sequence: u64,
}

/// A message to be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewMessage {
    /// The lane to whose end it is appended.
    pub lane: Lane,
    /// When it was accepted.
    pub arrived: UnixMillis,
    /// When it expires.
    pub deadline: UnixMillis,
    /// The id that clients use. At most [`MAX_ID_BYTES`] long, and unique among the stored messages.
    pub id: Box<str>,
    /// Opaque to the store; at most [`MAX_PAYLOAD_BYTES`] long.
    pub payload: Bytes,
}

/// Maximum length of an id, in bytes.
pub const MAX_ID_BYTES: usize = 1024;

/// Maximum length of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4 << 20;

impl NewMessage {
    /// The message as stored at `sequence` of its lane.
    pub fn stored_at(&self, sequence: u64) -> StoredMessage {
        StoredMessage {
            position: Position { lane: self.lane, sequence },
            arrived: self.arrived,
            deadline: self.deadline,
            id: self.id.clone(),
            payload: self.payload.clone(),
        }
    }
}

/// A stored message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredMessage {
    /// Its position.
    pub position: Position,
    /// When it was accepted.
    pub arrived: UnixMillis,
    /// When it expires.
    pub deadline: UnixMillis,
    /// The id that clients use.
    pub id: Box<str>,
    /// The payload as it was given to the store.
    pub payload: Bytes,
}

impl StoredMessage {
    /// Its contribution to [`LaneSummary::bytes`].
    pub fn counted_bytes(&self) -> u64 {
        (self.id.len() + self.payload.len()) as u64
    }
}

/// Summary of a lane. Empty lanes have none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaneSummary {
    /// The lane.
    pub lane: Lane,
    /// Number of messages in the lane.
    pub messages: u64,
    /// Total length of their ids and payloads.
    pub bytes: u64,
    /// A lower bound of their sequences.
    pub first_sequence: u64,
    /// Arrival of the first message in the lane, or of an earlier one that was removed.
    pub oldest_arrival: UnixMillis,
}

/// Total usage of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Size of the store's files in bytes.
    pub disk_bytes: u64,
    /// Number of stored messages.
    pub messages: u64,
}
