//! What traffic costs a relay whose destinations answer at once, up to the rate at which one core no longer keeps up,
//! and with a part of the endpoints gone.
//!
//! Messages are drawn ahead and handed in at their times, whatever became of those before them. Latencies count from
//! when a message should have been handed in until its first serving; the clients' timer adds up to 1 ms to each.
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
use super::stand_ins::{Observations, StandIns, ZONES};
use super::{CapacityError, Figure, Measured, Options, Point, Series};
use crate::arrivals::{Arrival, Load, draw};
use crate::experiment::RelayTable;
use crate::load::{Submitter, Submitters};
use crate::relay;

/// Destinations listed, all of which get messages; each has an endpoint in every zone.
const DESTINATIONS: usize = 50;
/// Bytes of a body.
const BODY: usize = 200;
/// Time that a message has, in milliseconds.
const PATIENCE_MS: u64 = 6000;
/// Processor time a second that a relay may take while it counts as keeping up with the traffic.
const KEEPS_UP: f64 = 0.95;
/// The first rate in the search for the highest one, in messages a second; it is doubled until one is too high.
const SEARCH_FROM: f64 = 8000.0;
/// Rates that are never passed.
const SEARCH_TO: f64 = 64_000.0;
/// Calls that may be out, and queued messages: so many that the core is what decides.
const SLOTS: u32 = 1024;
const QUEUED: u32 = 8192;
const SOCKETS: usize = 8192;
const DISK_MB: f64 = 64.0;
/// Zones that are gone, as masks: one of four, and the two of one region.
const ONE_ZONE: u32 = 0b0001;
const ONE_REGION: u32 = 0b0011;

/// Rates and times of a run.
pub struct Plan {
    /// Messages a second; the slope of the processor time is taken over these.
    pub rates: Vec<f64>,
    /// How long each rate is played, after a warm-up that does not count.
    pub span: Duration,
    /// How long the rate is played before that.
    pub warm_up: Duration,
    /// How long it is waited after that for messages to end; what is served later counts as not served.
    pub wait: Duration,
    /// The rate at which the cost of a message is measured, and how often.
    pub cost_rate: f64,
    pub cost_runs: u32,
    /// The rate at which zones are gone.
    pub gone_rate: f64,
    /// How often the interval with the highest rate is halved; `None` leaves the search out.
    pub halvings: Option<u32>,
}

impl Plan {
    fn of(options: &Options) -> Plan {
        let (quick, whole) = (options.quick, Duration::from_secs(1));
        Plan {
            rates: vec![125.0, 500.0, 2000.0],
            span: if quick { whole * 4 / 5 } else { whole * 8 },
            warm_up: if quick { whole / 4 } else { whole * 2 },
            wait: if quick { whole * 2 } else { Duration::from_millis(PATIENCE_MS) },
            cost_rate: 1000.0,
            cost_runs: if quick { 2 } else { 5 },
            gone_rate: 500.0,
            halvings: Some(if quick { 0 } else { 2 }),
        }
    }
}

/// Measures the rates that the options ask for.
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
        let mut steps = Vec::new();
        for &rate in &plan.rates {
            steps.push((rate, setup.play(rate, 0).await?));
        }
        let mut costs = Vec::new();
        for _ in 0..plan.cost_runs {
            costs.push(setup.play(plan.cost_rate, 0).await?.cpu_us_a_message);
        }
        let mut gone = Vec::new();
        for zones in [0, ONE_ZONE, ONE_REGION] {
            let share = f64::from(zones.count_ones()) / ZONES.len() as f64;
            gone.push((share, setup.play(plan.gone_rate, zones).await?));
        }
        let highest = match plan.halvings {
            Some(halvings) => Some(setup.highest(halvings).await?),
            None => None,
        };
        Ok(tell(&steps, costs, &gone, highest))
    })
}

/// What one rate gave.
struct Played {
    cpu_us_a_message: f64,
    cpu_ms_a_second: f64,
    /// Time a second that the relay was ready to run and had no core: others used the machine.
    without_core_ms: f64,
    p50_ms: f64,
    p99_ms: f64,
    /// Part of the messages that were served in time.
    served: f64,
    /// Messages that the relay refused.
    refused: u32,
    /// Messages whose answer did not come within the client's time.
    unanswered: u32,
    /// Processor time a second of the busiest thread of the clients and stand-ins.
    stand_ins: f64,
}

impl Played {
    fn not_taken(&self) -> u32 {
        self.refused + self.unanswered
    }

    fn keeps_up(&self) -> bool {
        self.cpu_ms_a_second < KEEPS_UP * 1000.0 && self.not_taken() == 0
    }
}

/// The highest rate at which a relay kept up.
struct Highest {
    rate: f64,
    /// The lowest rate at which it did not, and what that gave.
    beyond: Option<(f64, Played)>,
}

struct Setup<'a> {
    program: PathBuf,
    folder: PathBuf,
    seed: u64,
    plan: &'a Plan,
    runs: Cell<u32>,
}

impl Setup<'_> {
    /// Plays one rate against a new relay; the zones of the mask fall silent when the counted span begins.
    async fn play(&self, rate: f64, gone: u32) -> Result<Played, CapacityError> {
        self.runs.set(self.runs.get() + 1);
        let stand_ins = StandIns::start(DESTINATIONS as u32)?;
        let path = self.folder.join(format!("relay{}", self.runs.get()));
        let folder = RelayFolder::create(&self.program, &path, |listen| {
            configuration(listen, stand_ins.list_service, self.seed)
        })?;
        let process = folder.start().await?;
        let submitters = Submitters::new(process.address, BODY);
        let warm_up = Rc::new(Count::default());
        let arrivals = self.arrivals(rate, self.plan.warm_up, self.seed);
        hand_in(&submitters, &arrivals, 0, Instant::now(), warm_up.clone()).await;

        stand_ins.silence(gone);
        let first = arrivals.len() as u64;
        let arrivals = self.arrivals(rate, self.plan.span, self.seed + 1);
        let own = thread_times(std::process::id());
        let (before, begin) = (process.usage()?, Instant::now());
        let count = Rc::new(Count::default());
        hand_in(&submitters, &arrivals, first, begin, count.clone()).await;
        sleep_until((begin + self.plan.span).into()).await;
        let (after, lasted) = (process.usage()?, begin.elapsed().as_secs_f64());
        let stand_ins_share = busiest(&own) / lasted;
        wait_for_ends(&stand_ins, &count, first, arrivals.len(), self.plan.wait).await;
        process.kill().await?;

        let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64();
        let latencies = latencies(&arrivals, first, begin, &stand_ins.observations().served);
        Ok(Played {
            cpu_us_a_message: cpu * 1e6 / arrivals.len().max(1) as f64,
            cpu_ms_a_second: cpu * 1e3 / lasted,
            without_core_ms: after.without_core.saturating_sub(before.without_core).as_secs_f64() * 1e3
                / lasted,
            p50_ms: latencies.value_at_quantile(0.5) as f64 / 1e3,
            p99_ms: latencies.value_at_quantile(0.99) as f64 / 1e3,
            served: latencies.len() as f64 / arrivals.len().max(1) as f64,
            refused: count.refused.get(),
            unanswered: count.unanswered.get(),
            stand_ins: stand_ins_share,
        })
    }

    fn arrivals(&self, rate: f64, span: Duration, seed: u64) -> Vec<Arrival> {
        let load = Load {
            rate,
            busy: DESTINATIONS,
            orders: 0.0,
            notice_ms: PATIENCE_MS,
            body: BODY,
            ..Load::default()
        };
        draw(&load, span.as_secs_f64(), DESTINATIONS, seed)
    }

    /// Doubles the rate until the relay does not keep up, then halves the interval between.
    async fn highest(&self, halvings: u32) -> Result<Highest, CapacityError> {
        let known = self.plan.rates.iter().copied().fold(0.0, f64::max);
        let mut highest = Highest { rate: known, beyond: None };
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

    async fn try_rate(&self, rate: f64, highest: &mut Highest) -> Result<(), CapacityError> {
        let played = self.play(rate, 0).await?;
        match played.keeps_up() {
            true => highest.rate = rate,
            false => highest.beyond = Some((rate, played)),
        }
        Ok(())
    }
}

/// How many messages were handed in and answered.
#[derive(Default)]
struct Count {
    /// Answered, or given up by the client.
    over: Cell<usize>,
    refused: Cell<u32>,
    /// The client's time was over before the answer came.
    unanswered: Cell<u32>,
}

/// Hands messages in at their times, numbered from `first` on; done when the last is on its way.
async fn hand_in(
    submitters: &Rc<Submitters>,
    arrivals: &[Arrival],
    first: u64,
    begin: Instant,
    count: Rc<Count>,
) {
    for (number, arrival) in (first..).zip(arrivals.iter().copied()) {
        let intended = begin + arrival.at;
        if intended > Instant::now() {
            sleep_until(intended.into()).await;
        }
        let (submitters, count) = (submitters.clone(), count.clone());
        spawn_local(async move {
            let answer = submitters.hand_in(number, &arrival, intended).await;
            count.over.set(count.over.get() + 1);
            count.refused.set(count.refused.get() + u32::from(answer == Some(false)));
            count.unanswered.set(count.unanswered.get() + u32::from(answer.is_none()));
        });
    }
}

/// Waits until all messages are answered and those taken on have their end, for so long at most.
async fn wait_for_ends(stand_ins: &StandIns, count: &Count, first: u64, messages: usize, most: Duration) {
    let end = Instant::now() + most;
    while Instant::now() < end {
        let ended = ended(&stand_ins.observations(), first) + count.refused.get() as usize;
        if count.over.get() == messages && ended >= messages {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Messages from this number on that were served or whose notice came.
fn ended(observations: &Observations, first: u64) -> usize {
    let ends = observations.served.keys().chain(observations.noticed.keys());
    ends.filter(|number| **number >= first).count()
}

/// Latencies of the messages that were served in time, in microseconds.
fn latencies(
    arrivals: &[Arrival],
    first: u64,
    begin: Instant,
    served: &HashMap<u64, Instant>,
) -> Histogram<u64> {
    let most = PATIENCE_MS * 1000;
    let mut histogram = Histogram::new_with_bounds(1, most, 3).expect("sound bounds");
    for (number, arrival) in (first..).zip(arrivals) {
        let Some(at) = served.get(&number) else { continue };
        let micros = at.saturating_duration_since(begin + arrival.at).as_micros() as u64;
        if micros <= most {
            histogram.saturating_record(micros.max(1));
        }
    }
    histogram
}

/// Processor time in seconds that the busiest of this process's threads took since these readings.
fn busiest(before: &HashMap<u32, Duration>) -> f64 {
    let since = |(thread, time): (u32, Duration)| {
        time.saturating_sub(before.get(&thread).copied().unwrap_or_default()).as_secs_f64()
    };
    thread_times(std::process::id()).into_iter().map(since).fold(0.0, f64::max)
}

fn configuration(listen: SocketAddr, list_service: SocketAddr, seed: u64) -> Value {
    let table = RelayTable {
        slots: SLOTS,
        held: QUEUED,
        sockets: SOCKETS,
        disk_mb: DISK_MB,
        ..RelayTable::default()
    };
    let mut told = relay::configuration(&table, "traffic", listen, list_service, seed);
    told["settings"]["zones"] = json!(ZONES);
    told
}

fn tell(
    steps: &[(f64, Played)],
    mut costs: Vec<f64>,
    gone: &[(f64, Played)],
    highest: Option<Highest>,
) -> Measured {
    const RATE: &str = "messages a second";
    const GONE: &str = "share of endpoints gone";
    let series = vec![
        series("traffic.cpu", RATE, "ms a second", steps, |played| played.cpu_ms_a_second),
        series("traffic.p50", RATE, "ms", steps, |played| played.p50_ms),
        series("traffic.p99", RATE, "ms", steps, |played| played.p99_ms),
        series("traffic.gone_cpu", GONE, "us a message", gone, |played| played.cpu_us_a_message),
        series("traffic.gone_p99", GONE, "ms", gone, |played| played.p99_ms),
        series("traffic.gone_served", GONE, "share", gone, |played| played.served),
    ];
    costs.sort_by(f64::total_cmp);
    let median = costs.get(costs.len() / 2).copied().unwrap_or_default();
    let spread = costs.last().zip(costs.first()).map_or(0.0, |(most, least)| (most - least) / median);
    let not_taken = steps.iter().map(|(_, played)| f64::from(played.not_taken())).sum();
    let mut figures = vec![
        figure("traffic.cpu_a_message", "us", median),
        figure("traffic.cpu_a_message_spread", "share", spread),
        figure("traffic.not_taken", "messages", not_taken),
    ];
    if let Some(Highest { rate, beyond }) = highest {
        figures.push(figure("traffic.highest_rate", RATE, rate));
        if let Some((rate, played)) = beyond {
            figures.push(figure("traffic.beyond_rate", RATE, rate));
            figures.push(figure("traffic.beyond_cpu", "ms a second", played.cpu_ms_a_second));
            figures.push(figure("traffic.beyond_without_core", "ms a second", played.without_core_ms));
            figures.push(figure("traffic.beyond_refused", "messages", f64::from(played.refused)));
            figures.push(figure("traffic.beyond_unanswered", "messages", f64::from(played.unanswered)));
            figures.push(figure("traffic.beyond_p99", "ms", played.p99_ms));
            figures.push(figure("traffic.beyond_stand_ins", "cores", played.stand_ins));
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
    readings: &[(f64, Played)],
    value: fn(&Played) -> f64,
) -> Series {
    let point = |(size, played): &(f64, Played)| Point { size: *size, value: value(played) };
    Series { name, varied, unit, law: Law::Line, points: readings.iter().map(point).collect() }
}

fn failed(reason: impl Into<String>) -> CapacityError {
    CapacityError::Measurement { subject: "traffic", reason: reason.into() }
}
