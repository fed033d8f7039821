//! The metrics that the admin address serves, for all fronts of the process together.
//!
//! Owns the counters and their exposition in the Prometheus text format. It knows neither jobs nor sockets: each event
//! is counted by the code that causes it, at one place only; the values of gauges ([`GaugeValues`]) are passed in when
//! the metrics are rendered.
use prometheus::{
    Counter, CounterVec, Encoder, Gauge, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

mod backlog;
mod clients;
mod hook;

pub use backlog::{BacklogMetrics, BacklogRefusal};
pub use clients::{ClientMetrics, MemoryMetrics, RejectReason};
pub use hook::{HookMetrics, HookResult};

/// The namespace of all metric names.
const PREFIX: &str = "edge_balancer";

/// How a message ended, as the label of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageResult {
    Delivered,
    /// Refused on arrival, or accepted and returned by a requeue notice.
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

/// How a call to discovery ended, as the label of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryResult {
    Answered,
    /// The status was not 200.
    ErrorStatus,
    /// No connection could be made.
    ConnectFailed,
    /// The answer was incomplete.
    Truncated,
    /// There was no complete answer in time.
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

/// The current values of a front's gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GaugeValues {
    /// Messages accepted and not ended.
    pub in_progress: usize,
    /// Endpoints in the list.
    pub known: usize,
    /// Listed endpoints that are avoided, each counted once whatever the reasons.
    pub skipped: usize,
    /// Time since the list was last known to be complete, if it is requested from discovery.
    pub list_age: Option<Duration>,
    /// Failed writes of journal records since the process started, including retries of the same record.
    pub unwritten_records: u64,
}

pub struct Metrics {
    registry: Registry,
    /// By class. Only configured classes have a series, so that clients cannot create series with made-up names.
    classes: HashMap<String, [IntCounter; 3]>,
    tries: IntCounter,
    in_progress: IntGauge,
    known: IntGauge,
    skipped: IntGauge,
    /// By [`DiscoveryResult`].
    discovery_calls: [IntCounter; 5],
    discovery_seconds: [Counter; 5],
    list_age: Gauge,
    list_lapses: IntCounter,
    latest_round: Gauge,
    unwritten_records: IntGauge,
    loads: IntCounter,
    load_errors: IntCounter,
    fronts_waiting: IntGauge,
    surplus_answers: SurplusCounter,
    doubtful_answers: IntCounter,
}

/// Counts the bytes that endpoints sent without a call that they answer. Only endpoints that did so have a series.
#[derive(Clone)]
pub struct SurplusCounter(IntCounterVec);

impl SurplusCounter {
    pub fn count(&self, endpoint: &str) {
        self.0.with_label_values(&[endpoint]).inc();
    }

    /// Removes the series of an endpoint that is no longer used.
    pub fn forget(&self, endpoint: &str) {
        // Fails if the endpoint has none.
        let _ = self.0.remove_label_values(&[endpoint]);
    }
}

impl Metrics {
    /// Registers all series, at zero, for messages of these classes.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a String>) -> Rc<Self> {
        let registry = Registry::new();
        let opts = |name, help| Opts::new(name, help).namespace(PREFIX);
        let counter = |name, help| register(&registry, IntCounter::with_opts(opts(name, help)));
        let gauge = |name, help| register(&registry, IntGauge::with_opts(opts(name, help)));
        let handled =
            opts("handled_total", "Messages ended, by class and outcome, since the process started.");
        let handled = register(&registry, IntCounterVec::new(handled, &["category", "outcome"]));
        let discovery_calls = opts(
            "discovery_calls_total",
            "Calls to discovery that were no watch's renewal, by what was heard of them.",
        );
        let discovery_calls = register(&registry, IntCounterVec::new(discovery_calls, &["heard"]));
        let discovery_seconds = opts(
            "discovery_call_seconds_total",
            "Time for which these calls were out, by what was heard of them.",
        );
        let discovery_seconds = register(&registry, CounterVec::new(discovery_seconds, &["heard"]));
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
                .map(|result| discovery_calls.with_label_values(&[result.label()])),
            discovery_seconds: DiscoveryResult::ALL
                .map(|result| discovery_seconds.with_label_values(&[result.label()])),
            list_age: register(
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
            latest_round: register(
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
            fronts_waiting: gauge(
                "fronts_waiting",
                "Fronts that this process is to serve and that wait for the previous process, or cannot start.",
            ),
            surplus_answers: SurplusCounter(register(
                &registry,
                IntCounterVec::new(
                    opts("surplus_answers_total", "How often an endpoint sent bytes that answer no call."),
                    &["endpoint"],
                ),
            )),
            doubtful_answers: counter(
                "doubtful_answers_total",
                "Answers that did not count, since they may have been another call's.",
            ),
            registry,
        })
    }

    /// Counts a message of a class that has ended.
    pub fn message_ended(&self, class: &str, result: MessageResult) {
        if let Some(series) = self.classes.get(class) {
            series[result as usize].inc();
        }
    }

    /// The counter of messages written completely to endpoints.
    pub fn tries(&self) -> IntCounter {
        self.tries.clone()
    }

    /// Counts a call to discovery that has ended, unless it renewed a watch.
    pub fn discovery_call_ended(&self, result: DiscoveryResult, took: Duration) {
        self.discovery_calls[result as usize].inc();
        self.discovery_seconds[result as usize].inc_by(took.as_secs_f64());
    }

    /// Counts an expiry of the list's lease: nothing is sent until the list is confirmed again.
    pub fn list_lapsed(&self) {
        self.list_lapses.inc();
    }

    /// Records how late a decision round ran.
    pub fn record_round_delay(&self, delay: Duration) {
        self.latest_round.set(self.latest_round.get().max(delay.as_secs_f64()));
    }

    /// The counter of bytes that endpoints sent without a call.
    pub fn surplus_answers(&self) -> SurplusCounter {
        self.surplus_answers.clone()
    }

    /// Counts an answer in doubt.
    pub fn answer_in_doubt(&self) {
        self.doubtful_answers.inc();
    }

    /// Counts a configuration that was read.
    pub fn config_loaded(&self, applied: bool) {
        if applied { self.loads.inc() } else { self.load_errors.inc() }
    }

    /// Sets how many fronts are to start once the previous process lets them.
    pub fn fronts_waiting(&self, count: usize) {
        self.fronts_waiting.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts one of them as started.
    pub fn waiting_front_started(&self) {
        self.fronts_waiting.dec();
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self, now: GaugeValues) -> String {
        let as_gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.in_progress.set(as_gauge(now.in_progress));
        self.known.set(as_gauge(now.known));
        self.skipped.set(as_gauge(now.skipped));
        self.list_age.set(now.list_age.map_or(0.0, |age| age.as_secs_f64()));
        self.unwritten_records.set(i64::try_from(now.unwritten_records).unwrap_or(i64::MAX));
        let mut text = Vec::new();
        let written = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        written.expect("writing to memory does not fail");
        String::from_utf8(text).expect("names and labels are UTF-8")
    }
}

/// Registers a metric. Names and labels are constants, so neither creating nor registering it fails.
fn register<T: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<T>,
) -> T {
    let metric = metric.expect("valid names and labels");
    registry.register(Box::new(metric.clone())).expect("a unique name");
    metric
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
