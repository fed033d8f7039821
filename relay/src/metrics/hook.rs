//! The figures of hook scripts.
use prometheus::{Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts};
use std::time::Duration;

use super::{Metrics, PREFIX, register};
use crate::hook;

/// Upper bounds of the histogram's buckets, in seconds.
const BUCKETS: [f64; 8] = [0.000_05, 0.000_2, 0.001, 0.005, 0.02, 0.05, 0.2, 1.0];

/// What became of a call of a hook.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HookResult {
    Decided,
    /// The script failed.
    Failed,
    /// It ran over its time.
    OverTime,
    /// It was not run, for the reason of this label.
    Skipped(&'static str),
}

impl HookResult {
    fn label(self) -> &'static str {
        match self {
            HookResult::Decided => "decided",
            HookResult::Failed => "failed",
            HookResult::OverTime => "over-time",
            HookResult::Skipped(label) => label,
        }
    }
}

/// Counters and gauges of hook scripts.
#[derive(Clone)]
pub struct HookMetrics {
    calls: IntCounterVec,
    seconds: Histogram,
    threads_over_time: IntGauge,
}

impl HookMetrics {
    /// Registers the series, at zero. Must be called once per process.
    pub fn register(metrics: &Metrics) -> Self {
        let opts = |name, help| Opts::new(name, help).namespace(PREFIX).subsystem("hook");
        let calls = opts("calls_total", "Calls of hook scripts, by what became of them.");
        let calls = register(&metrics.registry, IntCounterVec::new(calls, &["result"]));
        let results = [HookResult::Decided, HookResult::Failed, HookResult::OverTime].map(HookResult::label);
        results
            .into_iter()
            .chain(hook::skip_labels())
            .for_each(|label| _ = calls.with_label_values(&[label]));
        let seconds = opts("call_seconds", "Time that calls of hook scripts took on their threads.");
        let seconds = HistogramOpts { common_opts: seconds, buckets: BUCKETS.to_vec() };
        let threads = opts("threads_over_time", "Threads whose call ran over its time and has not returned.");
        HookMetrics {
            calls,
            seconds: register(&metrics.registry, Histogram::with_opts(seconds)),
            threads_over_time: register(&metrics.registry, IntGauge::with_opts(threads)),
        }
    }

    /// Counts a call.
    pub fn count(&self, result: HookResult) {
        self.calls.with_label_values(&[result.label()]).inc();
    }

    /// Records how long a call took.
    pub fn observe(&self, took: Duration) {
        self.seconds.observe(took.as_secs_f64());
    }

    /// Sets how many threads run a call that is over its time.
    pub fn set_threads_over_time(&self, threads: usize) {
        self.threads_over_time.set(i64::try_from(threads).unwrap_or(i64::MAX));
    }
}
