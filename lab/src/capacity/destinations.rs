//! Cost of listed destinations and of destinations in use, cost of a whole list and of a change to it, and the share of
//! calls to a destination that other relays consider down.
//!
//! Memory and lists are measured with real relays, rounds with the decision module alone, and the fleet in virtual time.
use slatethread::*;
use std::time::{Duration, Instant};
use tokio::time::sleep;

use super::fit::Law;
use super::simulated_relay::{self, Behaviour, Call, DownPeriod, Plan};
use super::site::{Probe, Site, median, median_longest, run};
use super::{CapacityError, Figure, Measured, Options, Point, Series, cpu_time};
use crate::arrivals::Arrival;
use crate::experiment::RelayTable;
use crate::load::{self, Submitters};
use crate::world::Entry;

const SUBJECT: &str = "destinations";
/// Rate, in messages per second, of the first messages for the destinations.
const FIRST_MESSAGE_RATE: f64 = 1000.0;
/// Size of a message body in bytes.
const BODY_BYTES: usize = 200;
/// Time within which a message must be delivered.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Descriptor limit of a relay with a bounded number of connections: at most 582 of them are to destinations.
const FEW_SOCKETS: usize = 1024;
/// Descriptor limit of a relay that keeps a connection to each destination that it has used.
const MANY_SOCKETS: usize = 16_384;
const LONG_IDLE_CLOSE_MS: u64 = 120_000;
/// Time between two changes.
const CHANGE_GAP: Duration = Duration::from_millis(10);
/// Share of messages that must be delivered for the relay to be in the state to be measured, and the interval of the
/// check.
const MIN_DELIVERED_SHARE: f64 = 0.97;
const DELIVERY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of messages per round while the module is warmed up.
const WARM_UP_BATCH: u32 = 1000;
/// Number of rounds between two sweeps of the module: half a second of virtual time.
const SWEEP_ROUNDS: usize = 100;
/// Virtual time between two rounds.
const ROUND_INTERVAL: Nanos = 5_000_000;
/// Initial value of the module's virtual clock.
const START: Nanos = 3600 * 1_000_000_000;
/// Number of destinations in the fleet simulations, and the time from which one of the 66 (1.5%) is down.
const FLEET_DESTINATIONS: u32 = 66;
const DOWN_FROM: Duration = Duration::from_secs(60);
/// Mean time between two messages from one relay to one destination.
const FLEET_GAP: Duration = Duration::from_secs(100);
/// Duration of an outage in seconds where it is not varied.
const OUTAGE: u64 = 600;
const IDLE_CLOSE: Duration = Duration::from_secs(10);

/// Sizes and repetitions of a run.
struct Sizes {
    /// Numbers of listed destinations.
    listed: &'static [usize],
    /// Number of whole lists and of single changes sent to the relay at each size.
    lists_sent: u32,
    changes_sent: u32,
    /// Time after a list is sent before waiting for the relay to become idle.
    list_window: Duration,
    /// Number of listed destinations where the number of used ones is varied.
    most_listed: usize,
    used: &'static [usize],
    connected: &'static [usize],
    /// Numbers of used destinations in the measurements of the module alone.
    module_used: &'static [u32],
    rounds: usize,
    relays: &'static [usize],
    outages: &'static [u64],
    /// Number of relays where the duration of an outage is varied.
    fleet: usize,
}

const QUICK: Sizes = Sizes {
    listed: &[145, 578, 2_312],
    lists_sent: 1,
    changes_sent: 25,
    list_window: Duration::from_millis(150),
    most_listed: 2_312,
    used: &[36, 145, 578],
    connected: &[36, 145, 578],
    module_used: &[145, 578, 2_312],
    rounds: 2_000,
    relays: &[4, 16, 64],
    outages: &[75, 300, 1200],
    fleet: 16,
};

const FULL: Sizes = Sizes {
    listed: &[2_312, 9_250, 37_000],
    lists_sent: 5,
    changes_sent: 200,
    list_window: Duration::from_millis(600),
    most_listed: 37_000,
    used: &[50, 578, 2_312, 9_250, 37_000],
    connected: &[578, 2_312, 9_250],
    module_used: &[50, 578, 2_312, 9_250, 37_000],
    rounds: 4_000,
    relays: &[10, 40, 160, 640],
    outages: &[150, 600, 2400],
    fleet: 40,
};

/// Measures all series and figures of this subject.
pub fn measure(options: &Options) -> Result<Measured, CapacityError> {
    measure_at(if options.quick { &QUICK } else { &FULL }, options.seed)
}

fn measure_at(sizes: &Sizes, seed: u64) -> Result<Measured, CapacityError> {
    let mut measured = Measured::default();
    run(SUBJECT, lists(sizes, seed, &mut measured))?;
    run(SUBJECT, in_use(sizes, seed, &mut measured))?;
    rounds(sizes, &mut measured)?;
    fleet(sizes, seed, &mut measured);
    Ok(measured)
}

fn series(name: &'static str, varied: &'static str, unit: &'static str, points: Vec<Point>) -> Series {
    Series { name, varied, unit, law: Law::Line, points }
}

/// The relay table of the measurements with real processes.
fn table(sockets: usize, idle_close_ms: u64) -> RelayTable {
    let own = "idle = { list_limit_mb = 64 }".parse().expect("a valid TOML table");
    RelayTable { slots: 512, held: 4096, sockets, idle_close_ms, disk_mb: 64.0, own, ..RelayTable::default() }
}

/// Readings of lists in a real relay at one size.
struct ListReading {
    resident: f64,
    whole_cpu_ms: f64,
    whole_bytes: f64,
    change_cpu_us: f64,
    pause_ms: f64,
    pause_before_ms: f64,
}

async fn lists(sizes: &Sizes, seed: u64, measured: &mut Measured) -> Result<(), CapacityError> {
    let mut readings = Vec::new();
    for size in sizes.listed {
        readings.push((*size as f64, list(*size, sizes, seed).await?));
    }
    let listed = "destinations listed";
    let mut add = |name, unit, value: fn(&ListReading) -> f64| {
        let points = readings.iter().map(|(size, reading)| Point { size: *size, value: value(reading) });
        measured.series.push(series(name, listed, unit, points.collect()));
    };
    add("destinations.listed-memory", "B resident", |r| r.resident);
    add("destinations.whole-list-cpu", "ms, all threads", |r| r.whole_cpu_ms);
    add("destinations.whole-list-bytes", "B", |r| r.whole_bytes);
    add("destinations.change-cpu", "µs of the deciding thread", |r| r.change_cpu_us);
    add("destinations.whole-list-pause", "ms, longest answer", |r| r.pause_ms);
    add("destinations.no-list-pause", "ms, longest answer", |r| r.pause_before_ms);
    Ok(())
}

async fn list(size: usize, sizes: &Sizes, seed: u64) -> Result<ListReading, CapacityError> {
    let site = Site::start(SUBJECT, size, table(FEW_SOCKETS, 10_000), seed).await?;
    let whole_bytes = site.discovery.current_list(None).await.len() as f64;
    let before = cpu_time::of_process(site.relay.id)?;
    for _ in 0..sizes.lists_sent {
        site.discovery.publish_all();
        sleep(sizes.list_window).await;
        site.wait_until_idle().await?;
    }
    let used = cpu_time::of_process(site.relay.id)?.saturating_sub(before);
    let resident = site.resident();
    let change_cpu_us = measure_change(&site, size, sizes.changes_sent).await?;
    let (pause_ms, pause_before_ms) = pause_of_list(&site, sizes).await?;
    let whole_cpu_ms = used.as_secs_f64() * 1e3 / f64::from(sizes.lists_sent);
    Ok(ListReading { resident, whole_cpu_ms, whole_bytes, change_cpu_us, pause_ms, pause_before_ms })
}

/// Processor time per change of an entry in microseconds, with each change sent separately.
async fn measure_change(site: &Site, size: usize, changes: u32) -> Result<f64, CapacityError> {
    let place = (size - 1) as u32;
    let original = site.world.borrow().entry(size - 1, place);
    let before = cpu_time::of_deciding_thread(site.relay.id)?;
    for number in 0..changes {
        site.discovery.publish(Entry { weight: Some(f64::from(number + 2)), ..original.clone() });
        sleep(CHANGE_GAP).await;
    }
    site.wait_until_idle().await?;
    let used = cpu_time::of_deciding_thread(site.relay.id)?.saturating_sub(before);
    Ok(used.as_secs_f64() * 1e6 / f64::from(changes))
}

/// The longest response time while the relay applies a list with every entry changed, and in a window without a list.
/// Medians over the lists, in milliseconds.
async fn pause_of_list(site: &Site, sizes: &Sizes) -> Result<(f64, f64), CapacityError> {
    let probe = Probe::start(site.relay.address);
    let (mut with, mut without) = (Vec::new(), Vec::new());
    for _ in 0..sizes.lists_sent {
        let begin = Instant::now();
        sleep(sizes.list_window).await;
        without.push((begin, Instant::now()));
        let begin = Instant::now();
        site.discovery.publish_all_reweighted();
        // The relay never becomes idle while the probe runs, so the window has a fixed length.
        sleep(sizes.list_window * 3).await;
        with.push((begin, Instant::now()));
    }
    let samples = probe.finish().map_err(|reason| site.error(reason))?;
    Ok((median_longest(&samples, &with), median_longest(&samples, &without)))
}

/// Readings of messages to a number of destinations, one message each.
struct UseReading {
    /// Growth of resident memory in bytes.
    memory: f64,
    cpu_us_a_message: f64,
    descriptors: f64,
}

async fn in_use(sizes: &Sizes, seed: u64, measured: &mut Measured) -> Result<(), CapacityError> {
    let (mut memory, mut cpu) = (Vec::new(), Vec::new());
    for used in sizes.used {
        let reading = use_once(sizes.most_listed, *used, table(FEW_SOCKETS, 10_000), seed).await?;
        memory.push(Point { size: *used as f64, value: reading.memory });
        cpu.push(Point { size: *used as f64, value: reading.cpu_us_a_message });
    }
    let varied = "destinations used in the last minute, 1.5% of them hung, connections bounded";
    measured.series.push(series("destinations.used-memory", varied, "B resident", memory));
    measured.series.push(series("destinations.first-message-cpu", varied, "µs a message", cpu));
    let (mut memory, mut descriptors) = (Vec::new(), Vec::new());
    for used in sizes.connected {
        let table = table(MANY_SOCKETS, LONG_IDLE_CLOSE_MS);
        let reading = use_once(*used, *used, table, seed).await?;
        memory.push(Point { size: *used as f64, value: reading.memory });
        descriptors.push(Point { size: *used as f64, value: reading.descriptors });
    }
    let varied = "destinations with a connection kept to each";
    measured.series.push(series("destinations.connected-memory", varied, "B resident", memory));
    measured.series.push(series("destinations.descriptors", varied, "descriptors", descriptors));
    Ok(())
}

/// Sends one message to each of the first `used` of a relay's destinations.
async fn use_once(
    listed: usize,
    used: usize,
    table: RelayTable,
    seed: u64,
) -> Result<UseReading, CapacityError> {
    let site = Site::start(SUBJECT, listed, table, seed).await?;
    (0..used).filter(|destination| destination % 200 < 3 && used > 200).for_each(|d| site.hang(d));
    let (resident, cpu) = (site.resident(), cpu_time::of_deciding_thread(site.relay.id)?);
    let arrivals = (0..used).map(|dest| {
        let at = Duration::from_secs_f64(dest as f64 / FIRST_MESSAGE_RATE);
        (dest as u64 + 1, Arrival { at, dest, order: false, patience: MESSAGE_TIMEOUT })
    });
    let submitters = Submitters::new(site.relay.address, BODY_BYTES);
    load::submit_all(submitters, site.world.clone(), site.clock_start, arrivals.collect(), Instant::now())
        .await;
    wait_until_delivered(&site, used).await?;
    let usage = site.relay.usage();
    let used_cpu = cpu_time::of_deciding_thread(site.relay.id)?.saturating_sub(cpu);
    Ok(UseReading {
        memory: site.resident() - resident,
        cpu_us_a_message: used_cpu.as_secs_f64() * 1e6 / used as f64,
        descriptors: f64::from(usage.descriptors),
    })
}

/// Waits until nearly all messages are delivered; 1.5% of them are for destinations that hang.
async fn wait_until_delivered(site: &Site, messages: usize) -> Result<(), CapacityError> {
    let required = messages as f64 * MIN_DELIVERED_SHARE;
    let end = Instant::now() + MESSAGE_TIMEOUT;
    loop {
        sleep(DELIVERY_POLL_INTERVAL).await;
        let figures = site.world.borrow().record.figures();
        if figures["delivered"] >= required {
            return Ok(());
        }
        if Instant::now() > end {
            let reason = format!("too few of {messages} messages were delivered: {figures:?}");
            return Err(site.error(reason));
        }
    }
}

/// Measures rounds of the decision module alone: the processor time of rounds in which a message or its response arrives,
/// and the duration of the round that sweeps.
fn rounds(sizes: &Sizes, measured: &mut Measured) -> Result<(), CapacityError> {
    let mut cpu = Vec::new();
    for listed in sizes.listed {
        let reading = round(*listed as u32, sizes.module_used[0], sizes.rounds)?;
        cpu.push(Point { size: *listed as f64, value: reading.cpu_us });
    }
    let unit = "µs a round";
    measured.series.push(series("destinations.round-cpu-listed", "destinations listed", unit, cpu));
    let (mut cpu, mut sweep) = (Vec::new(), Vec::new());
    for used in sizes.module_used {
        let reading = round(sizes.most_listed as u32, *used, sizes.rounds)?;
        cpu.push(Point { size: f64::from(*used), value: reading.cpu_us });
        sweep.push(Point { size: f64::from(*used), value: reading.sweep_us });
    }
    let varied = "destinations used in the last minute";
    measured.series.push(series("destinations.round-cpu-used", varied, unit, cpu));
    measured.series.push(series("destinations.sweep", varied, "µs of the round that sweeps, median", sweep));
    Ok(())
}

struct RoundReading {
    cpu_us: f64,
    sweep_us: f64,
}

/// Runs rounds with one message or one response each in a module with `listed` destinations, `used` of which were used.
fn round(listed: u32, used: u32, rounds: usize) -> Result<RoundReading, CapacityError> {
    let mut module = Module::new(listed, used);
    let before = cpu_time::of_this_thread()?;
    let mut longest = vec![Duration::ZERO; rounds.div_ceil(SWEEP_ROUNDS)];
    for number in 0..rounds {
        let start = Instant::now();
        module.next_round();
        let slot = &mut longest[number / SWEEP_ROUNDS];
        *slot = start.elapsed().max(*slot);
    }
    let used = cpu_time::of_this_thread()?.saturating_sub(before);
    let sweeps = longest.iter().map(|time| time.as_secs_f64() * 1e6).collect();
    Ok(RoundReading { cpu_us: used.as_secs_f64() * 1e6 / rounds as f64, sweep_us: median(sweeps) })
}

/// The decision module with a virtual clock.
struct Module {
    dispatcher: Dispatcher,
    now: Nanos,
    used: u32,
    message: u32,
    /// The call in flight.
    in_flight: Option<(MsgId, EndpointId)>,
}

impl Module {
    fn new(listed: u32, used: u32) -> Module {
        let mut settings = simulated_relay::settings(1, IDLE_CLOSE);
        settings.slots = Some(WARM_UP_BATCH * 2);
        let mut module = Module {
            dispatcher: Dispatcher::new(settings, 1),
            now: START,
            used,
            message: 0,
            in_flight: None,
        };
        let entries = (0..listed).map(simulated_relay::entry).collect();
        module.run_round(&[Event::List { scope: ListScope::Whole, entries }]);
        let destinations: Vec<_> = (0..used).collect();
        for batch in destinations.chunks(WARM_UP_BATCH as usize) {
            let requests: Vec<_> = batch.iter().map(|destination| module.request(*destination)).collect();
            let sent = sends(&module.run_round(&requests));
            let answers: Vec<_> = sent.into_iter().map(answer).collect();
            module.run_round(&answers);
        }
        module
    }

    fn request(&mut self, destination: u32) -> Event {
        self.message += 1;
        Event::Request(simulated_relay::request(self.message, destination))
    }

    fn run_round(&mut self, events: &[Event]) -> Vec<Action> {
        self.now += ROUND_INTERVAL;
        let mut actions = Vec::new();
        self.dispatcher.on_round(self.now, events, &mut actions);
        actions
    }

    /// Runs a round with the response to the call in flight or, if there is none, with a message for the next destination.
    fn next_round(&mut self) {
        let event = match self.in_flight.take() {
            Some(call) => answer(call),
            None => {
                let destination = self.message % self.used;
                self.request(destination)
            }
        };
        self.in_flight = sends(&self.run_round(&[event])).pop();
    }
}

fn sends(actions: &[Action]) -> Vec<(MsgId, EndpointId)> {
    let send = |action: &Action| match action {
        Action::Send { msg, endpoint, .. } => Some((*msg, *endpoint)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn answer((msg, endpoint): (MsgId, EndpointId)) -> Event {
    Event::AttemptEnded {
        msg,
        attempt: 0,
        endpoint,
        outcome: Outcome::Ok,
        latency: ROUND_INTERVAL,
        message_done: true,
        report: Report::default(),
    }
}

/// Calls of a fleet of relays without shared state during an outage.
#[derive(Clone, Copy, Debug, Default)]
struct Shares {
    /// Share of calls that go to the destination that is down, from relays that have not detected this while another relay
    /// has.
    uninformed: f64,
    /// Share of calls that go to the destination that is down from relays that have detected it: probes of whether it is
    /// back.
    tests: f64,
}

fn fleet(sizes: &Sizes, seed: u64, measured: &mut Measured) {
    let by_relays = |relays: &usize| (*relays as f64, mean_outage(*relays, OUTAGE, seed));
    let shares: Vec<_> = sizes.relays.iter().map(by_relays).collect();
    let mut add = |name, varied, law, points| {
        measured.series.push(Series { name, varied, unit: "share of calls", law, points });
    };
    let varied = "relays, 1.5% of destinations down for 600 s";
    let points = shares.iter().map(|(size, s)| Point { size: *size, value: s.uninformed }).collect();
    add("destinations.known-by-others", varied, Law::Logarithm, points);
    let points = shares.iter().map(|(size, s)| Point { size: *size, value: s.tests }).collect();
    add("destinations.known-by-itself", varied, Law::Logarithm, points);
    let by_outage = |seconds: &u64| Point {
        size: *seconds as f64,
        value: mean_outage(sizes.fleet, *seconds, seed).uninformed,
    };
    let points = sizes.outages.iter().map(by_outage).collect();
    let varied = "seconds of an outage, 40 relays (16 in the quick run)";
    add("destinations.known-by-others-by-outage", varied, Law::Power, points);
    let planned = shares.last().map_or(0.0, |(_, shares)| shares.uninformed);
    let name = "destinations.known-by-others-most-relays";
    measured.figures.push(Figure { name, unit: "share of calls", value: planned });
}

/// Mean of an outage with refused connections and one with hanging calls.
fn mean_outage(relays: usize, seconds: u64, seed: u64) -> Shares {
    let refused = outage(relays, seconds, Behaviour::Refuses, seed);
    let hung = outage(relays, seconds, Behaviour::Hangs, seed);
    Shares {
        uninformed: (refused.uninformed + hung.uninformed) / 2.0,
        tests: (refused.tests + hung.tests) / 2.0,
    }
}

fn outage(relays: usize, seconds: u64, down: Behaviour, seed: u64) -> Shares {
    let plan = Plan {
        destinations: FLEET_DESTINATIONS,
        mean_gap: FLEET_GAP,
        duration: DOWN_FROM + Duration::from_secs(seconds),
        settings: simulated_relay::settings(relays, IDLE_CLOSE),
        memory_check_interval: 0,
        until_down: None,
    };
    let records: Vec<_> = (0..relays)
        .map(|relay| {
            simulated_relay::simulate(&plan, seed ^ ((relay as u64 + 1) << 24), |destination, at| {
                if destination == 0 && at >= DOWN_FROM { down } else { Behaviour::Serves }
            })
        })
        .collect();
    let down_periods: Vec<Vec<&DownPeriod>> = records
        .iter()
        .map(|record| record.down_periods.iter().filter(|period| period.destination == 0).collect())
        .collect();
    let others_know = |relay: usize, call: &Call| {
        let covers = |period: &&DownPeriod| period.from <= call.at && call.at <= period.until;
        down_periods.iter().enumerate().any(|(other, periods)| other != relay && periods.iter().any(covers))
    };
    let (mut all, mut uninformed, mut tests) = (0_usize, 0_usize, 0_usize);
    for (relay, record) in records.iter().enumerate() {
        for call in record.calls.iter().filter(|call| call.at >= DOWN_FROM) {
            all += 1;
            let down = call.destination == 0;
            tests += usize::from(down && call.known_down);
            uninformed += usize::from(down && !call.known_down && others_know(relay, call));
        }
    }
    let share = |count: usize| count as f64 / all.max(1) as f64;
    Shares { uninformed: share(uninformed), tests: share(tests) }
}

#[cfg(test)]
mod tests;
