//! The figures of a backlog on disk. They are there only where there is one.
use prometheus::{Gauge, IntCounter, IntCounterVec, IntGauge, Opts};
use std::time::Duration;

use super::{Metrics, PREFIX, put};

/// Why the backlog did not take a message, as the label of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BacklogRefusal {
    /// It could not have been delivered in time.
    TooLate,
    /// The store takes nothing just now.
    Store,
    /// Too many are on their way to the disk.
    Busy,
}

impl BacklogRefusal {
    const ALL: [BacklogRefusal; 3] = [BacklogRefusal::TooLate, BacklogRefusal::Store, BacklogRefusal::Busy];

    fn label(self) -> &'static str {
        match self {
            BacklogRefusal::TooLate => "too_late",
            BacklogRefusal::Store => "store",
            BacklogRefusal::Busy => "busy",
        }
    }
}

/// Counters and gauges of a backlog.
pub struct BacklogMetrics {
    /// Messages that went to disk on arrival.
    pub stored: IntCounter,
    /// Messages that came back into memory.
    pub fetched: IntCounter,
    /// Messages that were put back on disk.
    pub put_back: IntCounter,
    /// Messages whose time ended on disk.
    pub expired: IntCounter,
    refused: [IntCounter; 3],
    messages: IntGauge,
    disk_bytes: IntGauge,
    slowest: Gauge,
}

impl BacklogMetrics {
    /// Registers the series, at zero. To be called once for a process.
    pub fn register(figures: &Metrics) -> Self {
        let opts = |name, help| Opts::new(name, help).namespace(PREFIX).subsystem("backlog");
        let counter = |name, help| put(&figures.registry, IntCounter::with_opts(opts(name, help)));
        let gauge = |name, help| put(&figures.registry, IntGauge::with_opts(opts(name, help)));
        let refused = opts("refused_total", "Messages that the backlog did not take, by reason.");
        let refused = put(&figures.registry, IntCounterVec::new(refused, &["reason"]));
        let slowest = opts("slowest_operation_seconds", "The slowest operation of the store so far.");
        BacklogMetrics {
            stored: counter("stored_total", "Messages that went to disk on arrival."),
            fetched: counter("fetched_total", "Messages that came from disk into memory."),
            put_back: counter("put_back_total", "Messages in memory that were put back on disk."),
            expired: counter("expired_total", "Messages whose time ended on disk."),
            refused: BacklogRefusal::ALL.map(|reason| refused.with_label_values(&[reason.label()])),
            messages: gauge("messages", "Messages that wait on disk."),
            disk_bytes: gauge("disk_bytes", "Bytes of the backlog's files."),
            slowest: put(&figures.registry, Gauge::with_opts(slowest)),
        }
    }

    /// A message was refused.
    pub fn refused(&self, reason: BacklogRefusal) {
        self.refused[reason as usize].inc();
    }

    /// What waits on disk, the bytes of its files, and the slowest operation of the store so far.
    pub fn set(&self, messages: u64, disk_bytes: u64, slowest: Duration) {
        self.messages.set(i64::try_from(messages).unwrap_or(i64::MAX));
        self.disk_bytes.set(i64::try_from(disk_bytes).unwrap_or(i64::MAX));
        self.slowest.set(slowest.as_secs_f64());
    }
}
