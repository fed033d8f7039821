//! Whether the journal can be written, with a way to wait for a change.
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The results of writing to the journal.
#[derive(Default)]
pub struct JournalHealth {
    outage: Cell<Option<Outage>>,
    /// Total number of writes that failed.
    unwritten: Cell<u64>,
    failed: Notify,
    recovered: Notify,
}

/// A series of failed writes.
#[derive(Clone, Copy)]
struct Outage {
    since: Instant,
    /// Number of failed writes in the series.
    refused: u64,
}

impl JournalHealth {
    /// Counts a failed write. True if the write before it succeeded.
    pub(super) fn record_failure(&self) -> bool {
        self.unwritten.set(self.unwritten.get() + 1);
        let outage = self.outage.get();
        let Outage { since, refused } = outage.unwrap_or(Outage { since: Instant::now(), refused: 0 });
        self.outage.set(Some(Outage { since, refused: refused + 1 }));
        self.failed.notify_one();
        outage.is_none()
    }

    /// Notes a successful write. If it ended an outage, returns how long that lasted and how many writes failed.
    pub(super) fn record_success(&self) -> Option<(Duration, u64)> {
        let Outage { since, refused } = self.outage.take()?;
        self.recovered.notify_waiters();
        Some((since.elapsed(), refused))
    }

    /// Whether the last write failed.
    pub fn is_failing(&self) -> bool {
        self.outage.get().is_some()
    }

    /// How many writes have failed in all, including failed retries.
    pub fn unwritten_records(&self) -> u64 {
        self.unwritten.get()
    }

    /// Waits until writes fail; returns at once if the last one failed.
    pub async fn wait_for_failure(&self) {
        while !self.is_failing() {
            self.failed.notified().await;
        }
    }

    /// Waits until writes succeed; returns at once if the last one did.
    pub async fn wait_for_recovery(&self) {
        while self.is_failing() {
            self.recovered.notified().await;
        }
    }
}
