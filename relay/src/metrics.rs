//! The figures that the second address tells, for all fronts of the process together.
//!
//! Owns counters and the form in which they are read (the Prometheus text format, which the library writes). It may
//! know no job and no socket: who makes a thing happen counts it, at the one place where it happens; what stands at a
//! moment ([`Census`]) is handed in when the figures are read.
use prometheus::{
    Counter, CounterVec, Encoder, Gauge, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

mod backlog;

pub use backlog::{BacklogMetrics, BacklogRefusal};

/// What all names begin with.
const PREFIX: &str = "edge_balancer";

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageResult {
    Delivered,
    /// Refused at the door, or taken on and handed back.
    Refused,
    Failed,
}

impl MessageResult {
    const ALL: [MessageResult; 3] = [MessageResult::Delivered, MessageResult::Refused, MessageResult::Failed];

    fn label(self) -> &'static str {
        match self {
            MessageResult::Delivered => "passed",
            MessageResult::Refused => "dropped",
            MessageResult::Failed => "bad_gateway",
        }
    }
}

/// What was heard of a call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryResult {
    Answered,
    /// Another status than 200.
    ErrorStatus,
    /// No connection was had.
    ConnectFailed,
    /// The answer broke off.
    Truncated,
    /// Nothing in time.
    TimedOut,
}

impl DiscoveryResult {
    const ALL: [DiscoveryResult; 5] = [
        DiscoveryResult::Answered,
        DiscoveryResult::ErrorStatus,
        DiscoveryResult::ConnectFailed,
        DiscoveryResult::Truncated,
        DiscoveryResult::TimedOut,
    ];

    fn label(self) -> &'static str {
        match self {
            DiscoveryResult::Answered => "answered",
            DiscoveryResult::ErrorStatus => "turned_away",
            DiscoveryResult::ConnectFailed => "refused",
            DiscoveryResult::Truncated => "broke_off",
            DiscoveryResult::TimedOut => "silent",
        }
    }
}

/// What a front has just now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GaugeValues {
    /// Messages taken on and not ended.
    pub in_progress: usize,
    /// Endpoints in the list.
    pub known: usize,
    /// Those of them that are avoided, each once whatever the reasons.
    pub skipped: usize,
    /// How long ago the list was last known to be complete, where it is asked for.
    pub list_age: Option<Duration>,
    /// Records that the journal did not take since the process started, failed tries of the same one counted.
    pub unwritten_records: u64,
}

pub struct Metrics {
    registry: Registry,
    /// By class. Guards against a series for whatever text somebody calls a class.
    classes: HashMap<String, [IntCounter; 3]>,
    tries: IntCounter,
    in_progress: IntGauge,
    known: IntGauge,
    skipped: IntGauge,
    /// By what was heard.
    discovery_calls: [IntCounter; 5],
    discovery_seconds: [Counter; 5],
    list_age: Gauge,
    list_lapses: IntCounter,
    latest_round: Gauge,
    unwritten_records: IntGauge,
    loads: IntCounter,
    load_errors: IntCounter,
}

impl Metrics {
    /// All of them, at zero, for messages of these classes.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a String>) -> Rc<Self> {
        let registry = Registry::new();
        let opts = |name, help| Opts::new(name, help).namespace(PREFIX);
        let counter = |name, help| put(&registry, IntCounter::with_opts(opts(name, help)));
        let gauge = |name, help| put(&registry, IntGauge::with_opts(opts(name, help)));
        let handled =
            opts("handled_total", "Messages ended, by class and outcome, since the process started.");
        let handled = put(&registry, IntCounterVec::new(handled, &["category", "outcome"]));
        let discovery_calls = opts(
            "discovery_calls_total",
            "Calls to discovery that were no watch's renewal, by what was heard of them.",
        );
        let discovery_calls = put(&registry, IntCounterVec::new(discovery_calls, &["heard"]));
        let discovery_seconds = opts(
            "discovery_call_seconds_total",
            "Time for which these calls were out, by what was heard of them.",
        );
        let discovery_seconds = put(&registry, CounterVec::new(discovery_seconds, &["heard"]));
        let series =
            |class: &str| MessageResult::ALL.map(|ended| handled.with_label_values(&[class, ended.label()]));
        Rc::new(Metrics {
            classes: classes.into_iter().map(|class| (class.clone(), series(class))).collect(),
            tries: counter("upstream_tries_total", "Messages written whole to endpoints."),
            in_progress: gauge("in_progress", "Messages taken on and not ended."),
            known: gauge("known_endpoints", "Endpoints in the list."),
            skipped: gauge(
                "skipped_endpoints",
                "Listed endpoints that are avoided now, by hand or by choice.",
            ),
            discovery_calls: DiscoveryResult::ALL
                .map(|heard| discovery_calls.with_label_values(&[heard.label()])),
            discovery_seconds: DiscoveryResult::ALL
                .map(|heard| discovery_seconds.with_label_values(&[heard.label()])),
            list_age: put(
                &registry,
                Gauge::with_opts(opts(
                    "list_age_seconds",
                    "Since when the list of endpoints is not known to be complete; 0 where it is not asked for.",
                )),
            ),
            list_lapses: counter(
                "list_lapses_total",
                "How often nothing was sent any more since the list had not been confirmed for too long.",
            ),
            latest_round: put(
                &registry,
                Gauge::with_opts(opts(
                    "latest_round_seconds",
                    "How late a round of decisions came at most since the process started.",
                )),
            ),
            unwritten_records: gauge(
                "journal_unwritten_records",
                "Records that the journal did not take since the process started, failed tries of the same one counted.",
            ),
            loads: counter("loads_total", "Configurations taken up, the first one counted."),
            load_errors: counter("load_errors_total", "Configurations that were faulty and not taken up."),
            registry,
        })
    }

    /// A message of a class has ended.
    pub fn ended(&self, class: &str, ended: MessageResult) {
        if let Some(series) = self.classes.get(class) {
            series[ended as usize].inc();
        }
    }

    /// The count of messages written whole to endpoints.
    pub fn tries(&self) -> IntCounter {
        self.tries.clone()
    }

    /// A call to discovery that was no watch's renewal is over.
    pub fn discovery_call_ended(&self, heard: DiscoveryResult, took: Duration) {
        self.discovery_calls[heard as usize].inc();
        self.discovery_seconds[heard as usize].inc_by(took.as_secs_f64());
    }

    /// The list may no longer be acted on.
    pub fn list_lapsed(&self) {
        self.list_lapses.inc();
    }

    /// A round of decisions came so late.
    pub fn round_was_late(&self, late: Duration) {
        self.latest_round.set(self.latest_round.get().max(late.as_secs_f64()));
    }

    /// A configuration was read.
    pub fn config_loaded(&self, taken_up: bool) {
        if taken_up { self.loads.inc() } else { self.load_errors.inc() }
    }

    /// All figures as they are read.
    pub fn render(&self, now: GaugeValues) -> String {
        let whole = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.in_progress.set(whole(now.in_progress));
        self.known.set(whole(now.known));
        self.skipped.set(whole(now.skipped));
        self.list_age.set(now.list_age.map_or(0.0, |age| age.as_secs_f64()));
        self.unwritten_records.set(i64::try_from(now.unwritten_records).unwrap_or(i64::MAX));
        let mut text = Vec::new();
        let written = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        written.expect("memory takes all that is written");
        String::from_utf8(text).expect("names and labels are text")
    }
}

/// Registers what was made; names and labels are constants, so that neither fails.
fn put<T: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    made: prometheus::Result<T>,
) -> T {
    let made = made.expect("a sound name");
    registry.register(Box::new(made.clone())).expect("a name of its own");
    made
}

impl std::iter::Sum for GaugeValues {
    fn sum<I: Iterator<Item = GaugeValues>>(parts: I) -> GaugeValues {
        parts.fold(GaugeValues::default(), |sum, part| GaugeValues {
            in_progress: sum.in_progress + part.in_progress,
            known: sum.known + part.known,
            skipped: sum.skipped + part.skipped,
            list_age: sum.list_age.max(part.list_age),
            unwritten_records: sum.unwritten_records + part.unwritten_records,
        })
    }
}

#[cfg(test)]
mod tests;
