//! Whether the journal can be written, for those who wait for that.
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How the journal does.
#[derive(Default)]
pub struct JournalHealth {
    failing: Cell<Option<Failing>>,
    /// Records that were not written, in all.
    unwritten: Cell<u64>,
    failed: Notify,
    works: Notify,
}

#[derive(Clone, Copy)]
struct Failing {
    since: Instant,
    /// Records that were not written.
    refused: u64,
}

impl JournalHealth {
    /// A record was not written; true if it is the first after one that was.
    pub(super) fn fail(&self) -> bool {
        self.unwritten.set(self.unwritten.get() + 1);
        let before = self.failing.get();
        let Failing { since, refused } = before.unwrap_or(Failing { since: Instant::now(), refused: 0 });
        self.failing.set(Some(Failing { since, refused: refused + 1 }));
        self.failed.notify_one();
        before.is_none()
    }

    /// A record was written; for how long none was, and how many were not, if any.
    pub(super) fn recover(&self) -> Option<(Duration, u64)> {
        let Failing { since, refused } = self.failing.take()?;
        self.works.notify_waiters();
        Some((since.elapsed(), refused))
    }

    /// Whether the last record was not written.
    pub fn is_failing(&self) -> bool {
        self.failing.get().is_some()
    }

    /// How many records were not written, tries that failed again counted.
    pub fn unwritten_records(&self) -> u64 {
        self.unwritten.get()
    }

    /// Done while records are not written.
    pub async fn wait_for_failure(&self) {
        while !self.is_failing() {
            self.failed.notified().await;
        }
    }

    /// Done when records are written again.
    pub async fn wait_for_recovery(&self) {
        while self.is_failing() {
            self.works.notified().await;
        }
    }
}
