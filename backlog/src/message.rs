//! The values that a store keeps. They know nothing of how a store keeps them.
use bytes::Bytes;

/// Milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnixMillis(pub u64);

/// The number that a store gave to the name of a class; see [`crate::store::BacklogStore::class`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassNumber(pub u16);

/// The messages of one class for one destination. They are kept in the order of their arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane {
    /// Whom the messages are for.
    pub destination: u64,
    /// Their class.
    pub class: ClassNumber,
}

/// Where a message stands. A place is never given to another message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The lane that the message waits in.
    pub lane: Lane,
    /// Grows with each message that the store takes on, over all lanes; not without gaps within one.
    pub sequence: u64,
}

/// A message to be taken on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewMessage {
    /// The lane to put it at the end of.
    pub lane: Lane,
    /// When it was taken on.
    pub arrived: UnixMillis,
    /// When its time ends.
    pub deadline: UnixMillis,
    /// What clients know it by. At most [`MAX_ID_BYTES`] long; no two messages that wait have the same.
    pub id: Box<str>,
    /// Opaque to the store; at most [`MAX_PAYLOAD_BYTES`] long.
    pub payload: Bytes,
}

/// The longest id that a store takes, in bytes.
pub const MAX_ID_BYTES: usize = 1024;

/// The longest payload that a store takes, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4 << 20;

impl NewMessage {
    /// The message as it is kept at `sequence` of its lane.
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

/// A message that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredMessage {
    /// Where it stands.
    pub position: Position,
    /// When it was taken on.
    pub arrived: UnixMillis,
    /// When its time ends.
    pub deadline: UnixMillis,
    /// What clients know it by.
    pub id: Box<str>,
    /// As it was given.
    pub payload: Bytes,
}

impl StoredMessage {
    /// What it counts for in [`LaneSummary::bytes`].
    pub fn counted_bytes(&self) -> u64 {
        (self.id.len() + self.payload.len()) as u64
    }
}

/// What waits in one lane. Lanes in which nothing waits have none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaneSummary {
    /// The lane.
    pub lane: Lane,
    /// How many messages wait.
    pub messages: u64,
    /// The bytes of their ids and payloads.
    pub bytes: u64,
    /// No message that waits has a lower sequence.
    pub first_sequence: u64,
    /// About when the first message that waits arrived: exact, or the arrival of one before it that was removed.
    pub oldest_arrival: UnixMillis,
}

/// What all messages together take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes of the store's files.
    pub disk_bytes: u64,
    /// How many messages wait.
    pub messages: u64,
}
