//! The storage interface of the backlog, and its errors.
use std::io;
use std::sync::Arc;

use crate::message::{
    ClassNumber, Lane, LaneSummary, NewMessage, Position, StoredMessage, UnixMillis, Usage,
};

/// A persistent store of messages, organized in lanes.
///
/// Each call that changes something is one atomic batch: after a crash it has taken effect completely or not at
/// all. Once it has returned `Ok`, the end of the process cannot undo it. If it has returned an error, it may or
/// may not have taken effect; it is safe to repeat, except for [`append`](Self::append), whose effect can be
/// checked with [`find`](Self::find).
pub trait BacklogStore: Send {
    /// Appends messages to the ends of their lanes and returns their positions, in the same order.
    ///
    /// # Errors
    /// [`StoreError::Full`] if there is no space; then no message was stored.
    fn append(&mut self, messages: &[NewMessage]) -> Result<Vec<Position>, StoreError>;

    /// Stores messages at their previous positions. A message that is still there is replaced, for example by one
    /// whose payload records more attempts.
    fn put_back(&mut self, messages: &[StoredMessage]) -> Result<(), StoreError>;

    /// Returns at most `limit` messages of a lane after the sequence `after`, or from the start of the lane, in
    /// order.
    ///
    /// The cost depends on the messages returned, not on those removed before. Unreadable messages are skipped, so
    /// a lane whose summary counts messages may return none.
    fn fetch(&self, lane: Lane, after: Option<u64>, limit: usize) -> Result<Vec<StoredMessage>, StoreError>;

    /// Removes messages. Positions without a message are ignored.
    fn remove(&mut self, positions: &[Position]) -> Result<(), StoreError>;

    /// Returns at most `limit` messages with a deadline not after `until`, earliest deadlines first.
    fn due(&self, until: UnixMillis, limit: usize) -> Result<Vec<StoredMessage>, StoreError>;

    /// The position of the message with this id; `None` if there is none or it is unreadable.
    fn find(&self, id: &str) -> Result<Option<Position>, StoreError>;

    /// The number of a class name. It is assigned on first use and never changes within the folder.
    fn class(&mut self, name: &str) -> Result<ClassNumber, StoreError>;

    /// All class names, indexed by class number.
    fn class_names(&self) -> Result<Vec<Box<str>>, StoreError>;

    /// Summaries of all non-empty lanes, in order of lanes. Reads no messages.
    fn lanes(&self) -> Result<Vec<LaneSummary>, StoreError>;

    /// Total usage. Reads no messages.
    fn usage(&self) -> Usage;

    /// The messages and files that were found unreadable and skipped since the store was opened.
    fn corruptions(&self) -> Vec<Corruption>;
}

/// Data on disk that could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Corruption {
    /// The unreadable message, if the corruption affects a single one. It is counted as stored until it is removed.
    pub position: Option<Position>,
    /// The file, or the position of the message.
    pub location: String,
    /// What is wrong.
    pub cause: String,
}

/// Why a store operation failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The quota of the backlog or the disk itself is exhausted.
    #[error("the backlog is full: {used} of {limit} bytes are used")]
    Full {
        /// Bytes in use.
        used: u64,
        /// Maximum number of bytes in use.
        limit: u64,
    },
    /// The operating system returned an error.
    #[error("I/O error in the backlog's store: {0}")]
    Io(Arc<io::Error>),
    /// The data read is not what was written.
    #[error("the backlog is corrupt at {location}: {cause}")]
    Corrupt {
        /// The file or key.
        location: String,
        /// What is wrong.
        cause: String,
    },
    /// A newer version of the program wrote the folder.
    #[error("the backlog has format {version}, but this program supports formats up to {newest}")]
    NewerFormat {
        /// The format of the folder.
        version: u32,
        /// The newest format that this program supports.
        newest: u32,
    },
    /// The folder belongs to another relay.
    #[error("the backlog belongs to {found:?}, not to {expected:?}")]
    WrongOwner {
        /// The owner recorded in the folder.
        found: String,
        /// The owner that opened it.
        expected: String,
    },
    /// The folder contains files, but not those of a backlog.
    #[error("the folder {folder} contains files that are not a backlog's")]
    NotABacklog {
        /// The folder.
        folder: String,
    },
    /// Another process has the folder open.
    #[error("the backlog is in use by another process")]
    InUse,
    /// A message's id or payload is too long, or all class numbers are assigned.
    #[error("the backlog does not accept {0}")]
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
