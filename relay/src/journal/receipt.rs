//! What the journal hands out for what it has: nobody is told that a message is taken on, or how it ended, without one.
use onyxglade_backlog::message::Position;

use super::Key;
use crate::job::{Notice, NoticeEnd};

/// A message that outlasts the process: its submitter may be told that it is taken on.
#[derive(Debug, PartialEq, Eq)]
pub struct TakenOn(Option<Key>);

impl TakenOn {
    pub(super) fn journaled(key: Key) -> Self {
        TakenOn(Some(key))
    }

    /// The backlog on disk has it at a place.
    pub fn in_backlog(_stored: &Position) -> Self {
        TakenOn(None)
    }

    /// Its number in the journal, if it is there.
    pub fn key(&self) -> Option<Key> {
        self.0
    }
}

/// An end that every later process comes to as well: it may be told.
#[derive(Clone, Debug, PartialEq)]
pub struct SettledEnd(Notice);

impl SettledEnd {
    /// The journal has it.
    pub(super) fn recorded(notice: Notice) -> Self {
        SettledEnd(notice)
    }

    /// The message's time is over: whoever finds it open fails it, by real time, without any record.
    pub fn out_of_time(id: &str) -> Self {
        SettledEnd(Notice { id: id.to_owned(), end: NoticeEnd::Failed { status: None } })
    }

    /// It follows from what the backlog on disk has, which goes on having it until this is told.
    pub fn of_backlog(notice: Notice) -> Self {
        SettledEnd(notice)
    }

    /// How it ended.
    pub fn notice(&self) -> &Notice {
        &self.0
    }
}
