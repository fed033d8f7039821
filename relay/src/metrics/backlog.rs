//! The metrics of a backlog on disk, registered only if there is one.
use prometheus::{Gauge, IntCounter, IntCounterVec, IntGauge, Opts};
use std::time::Duration;

use super::{Metrics, PREFIX, register};

/// Why the backlog refused a message, as the label of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BacklogRefusal {
    /// The message could not have been delivered before its deadline.
    TooLate,
    /// The store is full or failing.
    Store,
    /// Too many messages are waiting to be written.
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
#[derive(Clone)]
pub struct BacklogMetrics {
    /// Messages written to disk on arrival.
    pub stored: IntCounter,
    /// Messages read from disk into memory.
    pub fetched: IntCounter,
    /// Messages put back on disk.
    pub put_back: IntCounter,
    /// Messages that expired on disk.
    pub expired: IntCounter,
    refused: [IntCounter; 3],
    messages: IntGauge,
    disk_bytes: IntGauge,
    slowest: Gauge,
}

impl BacklogMetrics {
    /// Registers the series, at zero. Must be called once per process.
    pub fn register(metrics: &Metrics) -> Self {
        let opts = |name, help| Opts::new(name, help).namespace(PREFIX).subsystem("backlog");
        let counter = |name, help| register(&metrics.registry, IntCounter::with_opts(opts(name, help)));
        let gauge = |name, help| register(&metrics.registry, IntGauge::with_opts(opts(name, help)));
        let refused = opts("refused_total", "Messages that the backlog did not take, by reason.");
        let refused = register(&metrics.registry, IntCounterVec::new(refused, &["reason"]));
        let slowest = opts("slowest_operation_seconds", "The slowest operation of the store so far.");
        BacklogMetrics {
            stored: counter("stored_total", "Messages that went to disk on arrival."),
            fetched: counter("fetched_total", "Messages that came from disk into memory."),
            put_back: counter("put_back_total", "Messages in memory that were put back on disk."),
            expired: counter("expired_total", "Messages whose time ended on disk."),
            refused: BacklogRefusal::ALL.map(|reason| refused.with_label_values(&[reason.label()])),
            messages: gauge("messages", "Messages that wait on disk."),
            disk_bytes: gauge("disk_bytes", "Bytes of the backlog's files."),
            slowest: register(&metrics.registry, Gauge::with_opts(slowest)),
        }
    }

    /// Counts a refused message.
    pub fn refused(&self, reason: BacklogRefusal) {
        self.refused[reason as usize].inc();
    }

    /// Sets the messages waiting on disk, the size of the store's files, and its slowest operation so far.
    pub fn set(&self, messages: u64, disk_bytes: u64, slowest: Duration) {
        self.messages.set(i64::try_from(messages).unwrap_or(i64::MAX));
        self.disk_bytes.set(i64::try_from(disk_bytes).unwrap_or(i64::MAX));
        self.slowest.set(slowest.as_secs_f64());
    }
}
