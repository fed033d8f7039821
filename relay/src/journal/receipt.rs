//! Receipts for recorded facts. A submitter is notified that a message is accepted, or how it ended, only with such a receipt.
use onyxglade_backlog::message::Position;

use super::Key;
use crate::job::{Notice, NoticeEnd};

/// Receipt for a message that outlasts the process: its submitter may be notified of its acceptance.
#[derive(Debug, PartialEq, Eq)]
pub struct Acceptance(Option<Key>);

impl Acceptance {
    pub(super) fn journaled(key: Key) -> Self {
        Acceptance(Some(key))
    }

    /// The backlog on disk has stored the message at a place.
    pub fn in_backlog(_stored: &Position) -> Self {
        Acceptance(None)
    }

    /// The message's number in the journal, unless it is in the backlog.
    pub fn key(&self) -> Option<Key> {
        self.0
    }
}

/// A notice that may be sent: every later process would come to the same end of the message.
#[derive(Clone, Debug, PartialEq)]
pub struct FinalNotice(Notice);

impl FinalNotice {
    /// The journal has recorded the notice.
    pub(super) fn recorded(notice: Notice) -> Self {
        FinalNotice(notice)
    }

    /// The message's deadline has passed. No record is needed, since any process that finds it open fails it by the clock.
    pub fn expired(id: &str) -> Self {
        FinalNotice(Notice { id: id.to_owned(), end: NoticeEnd::Failed { status: None } })
    }

    /// The end follows from the message in the backlog on disk, which keeps it until the notice is delivered.
    pub fn from_backlog(notice: Notice) -> Self {
        FinalNotice(notice)
    }

    /// The notice, with how the message ended.
    pub fn notice(&self) -> &Notice {
        &self.0
    }
}
