//! The one trait through which the backlog reaches a disk, and what can go wrong there.
use std::io;
use std::sync::Arc;

use crate::message::{
    ClassNumber, Lane, LaneSummary, NewMessage, Position, StoredMessage, UnixMillis, Usage,
};

/// Messages that wait on disk, in lanes.
///
/// Each call that changes something is one atomic batch: after a crash all of it is there or nothing. When it has
/// returned `Ok`, the end of the process cannot undo it. When it has returned an error, it may or may not have
/// happened; repeating it is harmless, except for [`append`](Self::append), after which [`find`](Self::find) tells.
pub trait BacklogStore: Send {
    /// Puts messages at the ends of their lanes and tells their places, in the order given.
    ///
    /// # Errors
    /// [`StoreError::Full`] when there is no room: then nothing was taken on.
    fn append(&mut self, messages: &[NewMessage]) -> Result<Vec<Position>, StoreError>;

    /// Puts messages back where they stood, or replaces what stands there (say, by a payload with more attempts).
    fn put_back(&mut self, messages: &[StoredMessage]) -> Result<(), StoreError>;

    /// At most `most` messages of a lane past the sequence `after`, or from its beginning, in their order.
    ///
    /// Its cost follows what it returns, not what was removed before. What cannot be read is passed over: a lane whose
    /// summary tells messages may have none to return.
    fn fetch(&self, lane: Lane, after: Option<u64>, limit: usize) -> Result<Vec<StoredMessage>, StoreError>;

    /// Removes messages. Places where nothing stands are passed over.
    fn remove(&mut self, positions: &[Position]) -> Result<(), StoreError>;

    /// At most `most` messages whose deadline is not after `until`, the earliest deadlines first.
    fn due(&self, until: UnixMillis, limit: usize) -> Result<Vec<StoredMessage>, StoreError>;

    /// Where the message with this id waits; none if it cannot be read.
    fn find(&self, id: &str) -> Result<Option<Position>, StoreError>;

    /// The number of a class by its name, given on first use and kept for as long as the folder.
    fn class(&mut self, name: &str) -> Result<ClassNumber, StoreError>;

    /// All names of classes, at the index that is their number.
    fn class_names(&self) -> Result<Vec<Box<str>>, StoreError>;

    /// What waits in each lane that is not empty, in the order of lanes. Reads no messages.
    fn lanes(&self) -> Result<Vec<LaneSummary>, StoreError>;

    /// What all takes. Reads no messages.
    fn usage(&self) -> Usage;

    /// Messages and files that could not be read since the store was opened, and were passed over.
    fn corruptions(&self) -> Vec<Corruption>;
}

/// Something on disk that could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Corruption {
    /// The message that cannot be read, where it is a single one. It counts as waiting until it is removed.
    pub position: Option<Position>,
    /// The file, or the place of the message.
    pub location: String,
    /// What was found there.
    pub cause: String,
}

/// Why a store could not do what it was asked for.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The bytes set for the backlog, or the disk itself, are used up.
    #[error("the backlog is full: {used} of {limit} bytes are used")]
    Full {
        /// Bytes in use.
        used: u64,
        /// Bytes that may be in use.
        limit: u64,
    },
    /// The operating system refused.
    #[error("the backlog's disk: {0}")]
    Io(Arc<io::Error>),
    /// What was read is not what was written.
    #[error("the backlog is damaged at {location}: {cause}")]
    Corrupt {
        /// The file or key.
        location: String,
        /// What was found there.
        cause: String,
    },
    /// A later program wrote the folder.
    #[error("the backlog's format {version} is newer than {newest}, the newest known here")]
    NewerFormat {
        /// The format of the folder.
        version: u32,
        /// The newest that this program knows.
        newest: u32,
    },
    /// The folder belongs to another relay.
    #[error("the backlog belongs to {found:?}, not to {expected:?}")]
    WrongOwner {
        /// Who wrote it.
        found: String,
        /// Who opened it.
        expected: String,
    },
    /// The folder has files in it, but not those of a backlog.
    #[error("the folder {folder} has other files than a backlog's")]
    NotABacklog {
        /// The folder.
        folder: String,
    },
    /// Another process has the folder open.
    #[error("the backlog is in use by another process")]
    InUse,
    /// A message's id or payload is longer than a store takes, or there are more classes than numbers.
    #[error("the backlog does not take {0}")]
    TooLarge(&'static str),
    /// The store's thread has ended, or (in a test) the process has crashed.
    #[error("the backlog's store is closed")]
    Closed,
}

impl From<io::Error> for StoreError {
    fn from(error: io::Error) -> Self {
        StoreError::Io(Arc::new(error))
    }
}
