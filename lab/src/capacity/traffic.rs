//! Cost of traffic to destinations that answer immediately, up to the rate at which one core no longer keeps up, and with
//! some of the endpoints unavailable.
//!
//! The load is an open loop: arrivals are drawn in advance and submitted at their times, regardless of earlier responses.
//! Latencies count from the time at which a message was due until its first delivery; the clients' timer adds up to 1 ms
//! to each.
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, sleep_until};

use super::fit::Law;
use super::process::{RelayFolder, thread_times};
use super::simulated_peers::{Observations, SimulatedPeers, ZONES};
use super::{CapacityError, Figure, Measured, Options, Point, Series};
use crate::arrivals::{Arrival, Load, draw};
use crate::experiment::RelayTable;
use crate::load::{Submitter, Submitters};
use crate::relay;

/// Number of listed destinations. All receive messages, and each has an endpoint in every zone.
const DESTINATIONS: usize = 50;
/// Size of a message body in bytes.
const BODY_BYTES: usize = 200;
/// Lifetime of a message in milliseconds.
const MESSAGE_TIMEOUT_MS: u64 = 6000;
/// Largest share of a core that a relay may use and still count as keeping up with the traffic.
const MAX_CPU_SHARE: f64 = 0.95;
/// First rate in the search for the highest one, in messages per second. It is doubled until a rate is too high.
const SEARCH_FROM: f64 = 8000.0;
/// Largest rate of the search.
const SEARCH_TO: f64 = 64_000.0;
/// Limits of calls in flight and of queued messages, large enough for processor time to be the bottleneck.
const SLOTS: u32 = 1024;
const QUEUE_CAPACITY: u32 = 8192;
const SOCKETS: usize = 8192;
const DISK_MB: f64 = 64.0;
/// Masks of unavailable zones: one of four, and the two zones of one region.
const ONE_ZONE: u32 = 0b0001;
const ONE_REGION: u32 = 0b0011;

/// Rates and times of a run.
pub struct Plan {
    /// Rates in messages per second over which the slope of the processor time is fitted.
    pub rates: Vec<f64>,
    /// Time for which each rate is measured, after the warm-up.
    pub span: Duration,
    /// Time for which the rate is generated before the measurement.
    pub warm_up: Duration,
    /// Time for which messages may still end afterwards. A message delivered later counts as not delivered.
    pub wait: Duration,
    /// Rate at which the cost per message is measured, and the number of repetitions.
    pub cost_rate: f64,
    pub cost_runs: u32,
    /// Rate of the measurements with unavailable zones.
    pub gone_rate: f64,
    /// Number of bisection steps in the search for the highest rate; `None` skips the search.
    pub halvings: Option<u32>,
}

impl Plan {
    fn of(options: &Options) -> Plan {
        let (quick, second) = (options.quick, Duration::from_secs(1));
        Plan {
            rates: vec![125.0, 500.0, 2000.0],
            span: if quick { second * 4 / 5 } else { second * 8 },
            warm_up: if quick { second / 4 } else { second * 2 },
            wait: if quick { second * 2 } else { Duration::from_millis(MESSAGE_TIMEOUT_MS) },
            cost_rate: 1000.0,
            cost_runs: if quick { 2 } else { 5 },
            gone_rate: 500.0,
            halvings: Some(if quick { 0 } else { 2 }),
        }
    }
}

/// Measures the rates selected by the options.
pub fn measure(options: &Options) -> Result<Measured, CapacityError> {
    measure_plan(&Plan::of(options), options.seed)
}

/// Measures the rates of a plan.
pub fn measure_plan(plan: &Plan, seed: u64) -> Result<Measured, CapacityError> {
    let program = relay::program().map_err(failed)?;
    let folder = tempfile::tempdir().map_err(|e| failed(e.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| failed(e.to_string()))?;
    let runs = Cell::new(0);
    let setup = Setup { program, folder: folder.path().to_owned(), seed, plan, runs };
    LocalSet::new().block_on(&runtime, async {
        let mut by_rate = Vec::new();
        for &rate in &plan.rates {
            by_rate.push((rate, setup.measure_rate(rate, 0).await?));
        }
        let mut costs = Vec::new();
        for _ in 0..plan.cost_runs {
            costs.push(setup.measure_rate(plan.cost_rate, 0).await?.cpu_us_a_message);
        }
        let mut unavailable = Vec::new();
        for zones in [0, ONE_ZONE, ONE_REGION] {
            let share = f64::from(zones.count_ones()) / ZONES.len() as f64;
            unavailable.push((share, setup.measure_rate(plan.gone_rate, zones).await?));
        }
        let highest = match plan.halvings {
            Some(halvings) => Some(setup.highest_rate(halvings).await?),
            None => None,
        };
        Ok(results(&by_rate, costs, &unavailable, highest))
    })
}

/// Readings at one rate.
struct RateReading {
    cpu_us_a_message: f64,
    cpu_ms_a_second: f64,
    /// Time per second for which the relay's threads were runnable but had no core, because other processes used the
    /// machine.
    without_core_ms: f64,
    p50_ms: f64,
    p99_ms: f64,
    /// Share of the messages that were delivered in time.
    served: f64,
    /// Number of messages refused by the relay.
    refused: u32,
    /// Number of messages without a response within the client's timeout.
    unanswered: u32,
    /// Processor time per second of the busiest thread of the clients and simulated peers.
    peers_cpu_share: f64,
}

impl RateReading {
    fn not_accepted(&self) -> u32 {
        self.refused + self.unanswered
    }

    fn keeps_up(&self) -> bool {
        self.cpu_ms_a_second < MAX_CPU_SHARE * 1000.0 && self.not_accepted() == 0
    }
}

/// Highest rate at which a relay kept up.
struct HighestRate {
    rate: f64,
    /// Lowest rate at which it did not, with the readings at that rate.
    beyond: Option<(f64, RateReading)>,
}

struct Setup<'a> {
    program: PathBuf,
    folder: PathBuf,
    seed: u64,
    plan: &'a Plan,
    runs: Cell<u32>,
}

impl Setup<'_> {
    /// Measures one rate with a new relay. The zones of the mask stop answering when the measurement starts after the
    /// warm-up.
    async fn measure_rate(&self, rate: f64, silent_zones: u32) -> Result<RateReading, CapacityError> {
        self.runs.set(self.runs.get() + 1);
        let peers = SimulatedPeers::start(DESTINATIONS as u32)?;
        let path = self.folder.join(format!("relay{}", self.runs.get()));
        let folder = RelayFolder::create(&self.program, &path, |listen| {
            configuration(listen, peers.list_service, self.seed)
        })?;
        let process = folder.start().await?;
        let submitters = Submitters::new(process.address, BODY_BYTES);
        let warm_up = Rc::new(ResponseCounts::default());
        let arrivals = self.arrivals(rate, self.plan.warm_up, self.seed);
        submit(&submitters, &arrivals, 0, Instant::now(), warm_up.clone()).await;

        peers.silence(silent_zones);
        let first = arrivals.len() as u64;
        let arrivals = self.arrivals(rate, self.plan.span, self.seed + 1);
        let thread_times_before = thread_times(std::process::id());
        let (before, begin) = (process.usage()?, Instant::now());
        let counts = Rc::new(ResponseCounts::default());
        submit(&submitters, &arrivals, first, begin, counts.clone()).await;
        sleep_until((begin + self.plan.span).into()).await;
        let (after, lasted) = (process.usage()?, begin.elapsed().as_secs_f64());
        let peers_cpu_share = busiest(&thread_times_before) / lasted;
        wait_for_ends(&peers, &counts, first, arrivals.len(), self.plan.wait).await;
        process.kill().await?;

        let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64();
        let latencies = latencies(&arrivals, first, begin, &peers.observations().served);
        Ok(RateReading {
            cpu_us_a_message: cpu * 1e6 / arrivals.len().max(1) as f64,
            cpu_ms_a_second: cpu * 1e3 / lasted,
            without_core_ms: after.without_core.saturating_sub(before.without_core).as_secs_f64() * 1e3
                / lasted,
            p50_ms: latencies.value_at_quantile(0.5) as f64 / 1e3,
            p99_ms: latencies.value_at_quantile(0.99) as f64 / 1e3,
            served: latencies.len() as f64 / arrivals.len().max(1) as f64,
            refused: counts.refused.get(),
            unanswered: counts.unanswered.get(),
            peers_cpu_share,
        })
    }

    fn arrivals(&self, rate: f64, span: Duration, seed: u64) -> Vec<Arrival> {
        let load = Load {
            rate,
            busy: DESTINATIONS,
            orders: 0.0,
            notice_ms: MESSAGE_TIMEOUT_MS,
            body: BODY_BYTES,
            ..Load::default()
        };
        draw(&load, span.as_secs_f64(), DESTINATIONS, seed)
    }

    /// Doubles the rate until the relay does not keep up, then bisects the last interval.
    async fn highest_rate(&self, halvings: u32) -> Result<HighestRate, CapacityError> {
        let known = self.plan.rates.iter().copied().fold(0.0, f64::max);
        let mut highest = HighestRate { rate: known, beyond: None };
        let mut rate = SEARCH_FROM;
        while highest.beyond.is_none() && rate <= SEARCH_TO {
            self.try_rate(rate, &mut highest).await?;
            rate *= 2.0;
        }
        for _ in 0..halvings {
            let Some(beyond) = highest.beyond.as_ref().map(|(rate, _)| *rate) else { break };
            self.try_rate((highest.rate + beyond) / 2.0, &mut highest).await?;
        }
        Ok(highest)
    }

    async fn try_rate(&self, rate: f64, highest: &mut HighestRate) -> Result<(), CapacityError> {
        let reading = self.measure_rate(rate, 0).await?;
        match reading.keeps_up() {
            true => highest.rate = rate,
            false => highest.beyond = Some((rate, reading)),
        }
        Ok(())
    }
}

/// Counts of the responses to submitted messages.
#[derive(Default)]
struct ResponseCounts {
    /// Messages with a response or a client timeout.
    completed: Cell<usize>,
    refused: Cell<u32>,
    /// Messages whose client timed out before the response.
    unanswered: Cell<u32>,
}

/// Submits messages at their times, numbered from `first` on. Returns once the last one has been sent, without waiting for
/// its response.
async fn submit(
    submitters: &Rc<Submitters>,
    arrivals: &[Arrival],
    first: u64,
    begin: Instant,
    counts: Rc<ResponseCounts>,
) {
    for (number, arrival) in (first..).zip(arrivals.iter().copied()) {
        let intended = begin + arrival.at;
        if intended > Instant::now() {
            sleep_until(intended.into()).await;
        }
        let (submitters, counts) = (submitters.clone(), counts.clone());
        spawn_local(async move {
            let response = submitters.hand_in(number, &arrival, intended).await;
            counts.completed.set(counts.completed.get() + 1);
            counts.refused.set(counts.refused.get() + u32::from(response == Some(false)));
            counts.unanswered.set(counts.unanswered.get() + u32::from(response.is_none()));
        });
    }
}

/// Waits until all messages have a response and the accepted ones have ended, but no longer than `timeout`.
async fn wait_for_ends(
    peers: &SimulatedPeers,
    counts: &ResponseCounts,
    first: u64,
    messages: usize,
    timeout: Duration,
) {
    let end = Instant::now() + timeout;
    while Instant::now() < end {
        let ended = ended(&peers.observations(), first) + counts.refused.get() as usize;
        if counts.completed.get() == messages && ended >= messages {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Number of messages, from number `first` on, that were delivered or whose notice arrived.
fn ended(observations: &Observations, first: u64) -> usize {
    let ends = observations.served.keys().chain(observations.noticed.keys());
    ends.filter(|number| **number >= first).count()
}

/// Latencies of the messages that were delivered in time, in microseconds.
fn latencies(
    arrivals: &[Arrival],
    first: u64,
    begin: Instant,
    served: &HashMap<u64, Instant>,
) -> Histogram<u64> {
    let most = MESSAGE_TIMEOUT_MS * 1000;
    let mut histogram = Histogram::new_with_bounds(1, most, 3).expect("the histogram's bounds are valid");
    for (number, arrival) in (first..).zip(arrivals) {
        let Some(at) = served.get(&number) else { continue };
        let micros = at.saturating_duration_since(begin + arrival.at).as_micros() as u64;
        if micros <= most {
            histogram.saturating_record(micros.max(1));
        }
    }
    histogram
}

/// Processor time in seconds used since the readings `before` by the busiest thread of this process.
fn busiest(before: &HashMap<u32, Duration>) -> f64 {
    let since = |(thread, time): (u32, Duration)| {
        time.saturating_sub(before.get(&thread).copied().unwrap_or_default()).as_secs_f64()
    };
    thread_times(std::process::id()).into_iter().map(since).fold(0.0, f64::max)
}

fn configuration(listen: SocketAddr, list_service: SocketAddr, seed: u64) -> Value {
    let table = RelayTable {
        slots: SLOTS,
        held: QUEUE_CAPACITY,
        sockets: SOCKETS,
        disk_mb: DISK_MB,
        ..RelayTable::default()
    };
    let mut configuration = relay::configuration(&table, "traffic", listen, list_service, seed);
    configuration["settings"]["zones"] = json!(ZONES);
    configuration
}

fn results(
    by_rate: &[(f64, RateReading)],
    mut costs: Vec<f64>,
    unavailable: &[(f64, RateReading)],
    highest: Option<HighestRate>,
) -> Measured {
    const RATE: &str = "messages a second";
    const GONE: &str = "share of endpoints gone";
    let series = vec![
        series("traffic.cpu", RATE, "ms a second", by_rate, |reading| reading.cpu_ms_a_second),
        series("traffic.p50", RATE, "ms", by_rate, |reading| reading.p50_ms),
        series("traffic.p99", RATE, "ms", by_rate, |reading| reading.p99_ms),
        series("traffic.gone_cpu", GONE, "us a message", unavailable, |reading| reading.cpu_us_a_message),
        series("traffic.gone_p99", GONE, "ms", unavailable, |reading| reading.p99_ms),
        series("traffic.gone_served", GONE, "share", unavailable, |reading| reading.served),
    ];
    costs.sort_by(f64::total_cmp);
    let median = costs.get(costs.len() / 2).copied().unwrap_or_default();
    let spread = costs.last().zip(costs.first()).map_or(0.0, |(most, least)| (most - least) / median);
    let not_accepted = by_rate.iter().map(|(_, reading)| f64::from(reading.not_accepted())).sum();
    let mut figures = vec![
        figure("traffic.cpu_a_message", "us", median),
        figure("traffic.cpu_a_message_spread", "share", spread),
        figure("traffic.not_taken", "messages", not_accepted),
    ];
    if let Some(HighestRate { rate, beyond }) = highest {
        figures.push(figure("traffic.highest_rate", RATE, rate));
        if let Some((rate, reading)) = beyond {
            figures.push(figure("traffic.beyond_rate", RATE, rate));
            figures.push(figure("traffic.beyond_cpu", "ms a second", reading.cpu_ms_a_second));
            figures.push(figure("traffic.beyond_without_core", "ms a second", reading.without_core_ms));
            figures.push(figure("traffic.beyond_refused", "messages", f64::from(reading.refused)));
            figures.push(figure("traffic.beyond_unanswered", "messages", f64::from(reading.unanswered)));
            figures.push(figure("traffic.beyond_p99", "ms", reading.p99_ms));
            figures.push(figure("traffic.beyond_stand_ins", "cores", reading.peers_cpu_share));
        }
    }
    Measured { series, figures }
}

fn figure(name: &'static str, unit: &'static str, value: f64) -> Figure {
    Figure { name, unit, value }
}

fn series(
    name: &'static str,
    varied: &'static str,
    unit: &'static str,
    readings: &[(f64, RateReading)],
    value: fn(&RateReading) -> f64,
) -> Series {
    let point = |(size, reading): &(f64, RateReading)| Point { size: *size, value: value(reading) };
    Series { name, varied, unit, law: Law::Line, points: readings.iter().map(point).collect() }
}

fn failed(reason: impl Into<String>) -> CapacityError {
    CapacityError::Measurement { subject: "traffic", reason: reason.into() }
}
