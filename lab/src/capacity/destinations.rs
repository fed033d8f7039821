//! Destinations: what one listed and one used costs, what a whole list and a change of it cost, and how many calls go to
//! a destination that other relays know to be down.
//!
//! Memory and lists are measured at real relays, rounds at the decision module, the fleet in virtual time.
use slatethread::*;
use std::time::{Duration, Instant};
use tokio::time::sleep;

use super::fit::Law;
use super::simulated_relay::{self, Behaviour, Call, Knowledge, Plan};
use super::site::{Probe, Site, median, median_longest, run};
use super::{CapacityError, Figure, Measured, Options, Point, Series, cpu_time};
use crate::arrivals::Arrival;
use crate::experiment::RelayTable;
use crate::load::{self, Submitters};
use crate::world::Entry;

const SUBJECT: &str = "destinations";
/// Messages a second while destinations come into use.
const FIRST_MESSAGES: f64 = 1000.0;
/// Bytes of a message.
const BODY: usize = 200;
/// How long a message may wait.
const PATIENCE: Duration = Duration::from_secs(6);
/// Descriptors of a relay whose connections are bounded: at most 582 of them lead to destinations.
const FEW_SOCKETS: usize = 1024;
/// ... and of one that keeps a connection to each destination that it used.
const MANY_SOCKETS: usize = 16_384;
const LONG_IDLE_CLOSE_MS: u64 = 120_000;
/// Time between two changes.
const CHANGE_GAP: Duration = Duration::from_millis(10);
/// Without so many delivered a relay is not in the state that is measured, and how often that is looked at.
const LEAST_DELIVERED: f64 = 0.97;
const DELIVERY_LOOK: Duration = Duration::from_millis(100);
/// Messages that a slice of the module's first round holds.
const WARM_UP_BATCH: u32 = 1000;
/// Rounds between two sweeps of the module: half a second of them.
const SWEEP_ROUNDS: usize = 100;
const STEP: Nanos = 5_000_000;
/// Virtual time at which the module's plays begin.
const HOUR: Nanos = 3600 * 1_000_000_000;
/// The fleet's plays: one of 66 destinations (1.5%) is down from this second on.
const FLEET_DESTINATIONS: u32 = 66;
const DOWN_FROM: Duration = Duration::from_secs(60);
/// Mean time between two messages of a relay for a destination.
const FLEET_GAP: Duration = Duration::from_secs(100);
/// Seconds of an outage where it is not varied.
const OUTAGE: u64 = 600;
const IDLE_CLOSE: Duration = Duration::from_secs(10);

/// How much is played.
struct Sizes {
    listed: &'static [usize],
    /// At each size the list is told whole so often, and one entry of it so often.
    lists_told: u32,
    changes_told: u32,
    /// A list is given so long before it is waited for that the relay rests.
    list_window: Duration,
    /// Listed where the used ones are varied.
    most_listed: usize,
    used: &'static [usize],
    connected: &'static [usize],
    /// Used destinations in the module's plays.
    module_used: &'static [u32],
    rounds: usize,
    relays: &'static [usize],
    outages: &'static [u64],
    /// Relays where the length of an outage is varied.
    fleet: usize,
}

const QUICK: Sizes = Sizes {
    listed: &[145, 578, 2_312],
    lists_told: 1,
    changes_told: 25,
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
    lists_told: 5,
    changes_told: 200,
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

/// Measures all of it.
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

/// The relay's table of the plays with real processes.
fn table(sockets: usize, idle_close_ms: u64) -> RelayTable {
    let own = "idle = { list_limit_mb = 64 }".parse().expect("a sound table");
    RelayTable { slots: 512, held: 4096, sockets, idle_close_ms, disk_mb: 64.0, own, ..RelayTable::default() }
}

/// What lists cost a real relay at one size.
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
    let whole_bytes = site.discovery.known(None).await.len() as f64;
    let before = cpu_time::of_process(site.relay.id)?;
    for _ in 0..sizes.lists_told {
        site.discovery.tell_all();
        sleep(sizes.list_window).await;
        site.rest().await?;
    }
    let used = cpu_time::of_process(site.relay.id)?.saturating_sub(before);
    let resident = site.resident();
    let change_cpu_us = change(&site, size, sizes.changes_told).await?;
    let (pause_ms, pause_before_ms) = pause_of_list(&site, sizes).await?;
    let whole_cpu_ms = used.as_secs_f64() * 1e3 / f64::from(sizes.lists_told);
    Ok(ListReading { resident, whole_cpu_ms, whole_bytes, change_cpu_us, pause_ms, pause_before_ms })
}

/// Processor time for one change of an entry, each told by itself.
async fn change(site: &Site, size: usize, told: u32) -> Result<f64, CapacityError> {
    let place = (size - 1) as u32;
    let plain = site.world.borrow().entry(size - 1, place);
    let before = cpu_time::of_deciding_thread(site.relay.id)?;
    for number in 0..told {
        site.discovery.tell(Entry { weight: Some(f64::from(number + 2)), ..plain.clone() });
        sleep(CHANGE_GAP).await;
    }
    site.rest().await?;
    let used = cpu_time::of_deciding_thread(site.relay.id)?.saturating_sub(before);
    Ok(used.as_secs_f64() * 1e6 / f64::from(told))
}

/// The longest answer while a list with every entry changed is taken in, and in the same time without one: medians over
/// lists, in milliseconds.
async fn pause_of_list(site: &Site, sizes: &Sizes) -> Result<(f64, f64), CapacityError> {
    let probe = Probe::start(site.relay.address);
    let (mut with, mut without) = (Vec::new(), Vec::new());
    for _ in 0..sizes.lists_told {
        let begin = Instant::now();
        sleep(sizes.list_window).await;
        without.push((begin, Instant::now()));
        let begin = Instant::now();
        site.discovery.tell_all_anew();
        // The probe keeps the relay from resting, so that the time is given.
        sleep(sizes.list_window * 3).await;
        with.push((begin, Instant::now()));
    }
    let samples = probe.finish().map_err(|reason| site.fault(reason))?;
    Ok((median_longest(&samples, &with), median_longest(&samples, &without)))
}

/// What came of messages for so many destinations, one each.
struct UseReading {
    /// Resident memory above what it was before.
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

/// Sends a message to each of the first so many destinations of a relay's.
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
        let at = Duration::from_secs_f64(dest as f64 / FIRST_MESSAGES);
        (dest as u64 + 1, Arrival { at, dest, order: false, patience: PATIENCE })
    });
    let submitters = Submitters::new(site.relay.address, BODY);
    load::play(submitters, site.world.clone(), site.began, arrivals.collect(), Instant::now()).await;
    delivered(&site, used).await?;
    let usage = site.relay.usage();
    let used_cpu = cpu_time::of_deciding_thread(site.relay.id)?.saturating_sub(cpu);
    Ok(UseReading {
        memory: site.resident() - resident,
        cpu_us_a_message: used_cpu.as_secs_f64() * 1e6 / used as f64,
        descriptors: f64::from(usage.descriptors),
    })
}

/// Waits until nearly all messages were delivered; 1.5% of them go to destinations that hang.
async fn delivered(site: &Site, messages: usize) -> Result<(), CapacityError> {
    let wanted = messages as f64 * LEAST_DELIVERED;
    let end = Instant::now() + PATIENCE;
    loop {
        sleep(DELIVERY_LOOK).await;
        let figures = site.world.borrow().record.figures();
        if figures["delivered"] >= wanted {
            return Ok(());
        }
        if Instant::now() > end {
            let reason = format!("too few of {messages} messages were delivered: {figures:?}");
            return Err(site.fault(reason));
        }
    }
}

/// Rounds of the decision module itself: processor time of one in which a message comes and one in which its answer
/// comes, and of the round that sweeps.
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

/// Plays rounds with one message or one answer each at a module that lists and has used so many destinations.
fn round(listed: u32, used: u32, rounds: usize) -> Result<RoundReading, CapacityError> {
    let mut module = Module::new(listed, used);
    let before = cpu_time::of_this_thread()?;
    let mut longest = vec![Duration::ZERO; rounds.div_ceil(SWEEP_ROUNDS)];
    for number in 0..rounds {
        let began = Instant::now();
        module.round();
        let slot = &mut longest[number / SWEEP_ROUNDS];
        *slot = began.elapsed().max(*slot);
    }
    let used = cpu_time::of_this_thread()?.saturating_sub(before);
    let sweeps = longest.iter().map(|time| time.as_secs_f64() * 1e6).collect();
    Ok(RoundReading { cpu_us: used.as_secs_f64() * 1e6 / rounds as f64, sweep_us: median(sweeps) })
}

/// The decision module with a clock of its own.
struct Module {
    courier: Dispatcher,
    now: Nanos,
    used: u32,
    message: u32,
    /// The call that is out.
    out: Option<(MsgId, EndpointId)>,
}

impl Module {
    fn new(listed: u32, used: u32) -> Module {
        let mut settings = simulated_relay::settings(1, IDLE_CLOSE);
        settings.slots = Some(WARM_UP_BATCH * 2);
        let mut module =
            Module { courier: Dispatcher::new(settings, 1), now: HOUR, used, message: 0, out: None };
        let entries = (0..listed).map(simulated_relay::entry).collect();
        module.play(&[Event::List { scope: ListScope::Whole, entries }]);
        let destinations: Vec<_> = (0..used).collect();
        for batch in destinations.chunks(WARM_UP_BATCH as usize) {
            let requests: Vec<_> = batch.iter().map(|destination| module.request(*destination)).collect();
            let sent = sends(&module.play(&requests));
            let answers: Vec<_> = sent.into_iter().map(answer).collect();
            module.play(&answers);
        }
        module
    }

    fn request(&mut self, destination: u32) -> Event {
        self.message += 1;
        Event::Request(simulated_relay::request(self.message, destination))
    }

    fn play(&mut self, events: &[Event]) -> Vec<Action> {
        self.now += STEP;
        let mut actions = Vec::new();
        self.courier.on_round(self.now, events, &mut actions);
        actions
    }

    /// The answer to the call that is out, else a message for the next destination.
    fn round(&mut self) {
        let event = match self.out.take() {
            Some(call) => answer(call),
            None => {
                let destination = self.message % self.used;
                self.request(destination)
            }
        };
        self.out = sends(&self.play(&[event])).pop();
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
        latency: STEP,
        message_done: true,
        report: Report::default(),
    }
}

/// What relays that share nothing made of an outage.
#[derive(Clone, Copy, Debug, Default)]
struct Shares {
    /// Share of calls to the destination that is down, by relays that do not know it while another one does.
    uninformed: f64,
    /// ... and by relays that know it: they test whether it is back.
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

/// The mean of an outage that refuses connections and of one that hangs.
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
        time: DOWN_FROM + Duration::from_secs(seconds),
        settings: simulated_relay::settings(relays, IDLE_CLOSE),
        look_every: 0,
        until_known: None,
    };
    let records: Vec<_> = (0..relays)
        .map(|relay| {
            simulated_relay::play(&plan, seed ^ ((relay as u64 + 1) << 24), |destination, at| {
                if destination == 0 && at >= DOWN_FROM { down } else { Behaviour::Serves }
            })
        })
        .collect();
    let known: Vec<Vec<&Knowledge>> =
        records.iter().map(|record| record.known.iter().filter(|k| k.destination == 0).collect()).collect();
    let others_know = |relay: usize, call: &Call| {
        let covers = |k: &&Knowledge| k.from <= call.at && call.at <= k.until;
        known.iter().enumerate().any(|(other, known)| other != relay && known.iter().any(covers))
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
