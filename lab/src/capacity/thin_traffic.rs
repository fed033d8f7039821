//! Thin traffic: 240,000 events per second over 650 relays and 37,000 destinations are one message in 100 s for each
//! pair of relay and destination.
//!
//! Simulates relays in virtual time ([`super::simulated_relay`]) and measures how often a call needs a new connection,
//! what the decision module still remembers of a destination, how long the relays take to detect that one is down, and
//! how many calls that destination receives meanwhile.
use std::time::Duration;

use super::fit::Law;
use super::simulated_relay::{Behaviour, Memory, Plan, Record, idle_timeout, settings, simulate};
use super::{CapacityError, Figure, Measured, Options, Point, Series, cpu_time};

/// Mean times between two messages of a pair, in seconds.
const GAPS: [f64; 6] = [1.0, 4.0, 16.0, 64.0, 100.0, 256.0];
/// Mean time at the planned size: 240,000 messages per second over 650 times 37,000 pairs.
const PLANNED_GAP: f64 = 100.0;
/// Values of the setting `idle_close` in seconds, with the names of the series and figure measured at each.
const IDLE_CLOSE: [(u64, &str, &str); 3] = [
    (10, "thin-traffic.new-connections-10s", "thin-traffic.new-connections-10s-planned"),
    (40, "thin-traffic.new-connections-40s", "thin-traffic.new-connections-40s-planned"),
    (160, "thin-traffic.new-connections-160s", "thin-traffic.new-connections-160s-planned"),
];
/// The lab's usual value of `idle_close`.
const USUAL_IDLE_CLOSE: Duration = Duration::from_secs(10);
/// Seconds without a call after which the module treats a destination as idle (`IDLE_AFTER` in `src/choice.rs`).
const IDLE_AFTER: f64 = 60.0;
/// Value of `idle.cold_after_s` where it is set.
const COLD_AFTER: Duration = Duration::from_secs(600);
/// Retry-after time of an overloaded destination, which rejects every other call.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Duration of the outage over which all calls are counted.
const HOUR: Duration = Duration::from_secs(3600);
/// Number of mean gaps after which every relay has made a call: the expected number of exceptions, e^-20 of 640, is
/// practically zero.
const GAPS_UNTIL_ALL_CALLED: f64 = 20.0;

/// Sizes and repetitions of a run.
struct Sizes {
    /// Number of messages in a simulation of connections or memory.
    messages: f64,
    /// Duration of such a simulation in mean gaps. It must be long enough to avoid a bias: a short simulation ends before
    /// many of the long gaps do.
    gaps_simulated: f64,
    relays: &'static [usize],
    /// Number of outages over which the time until all relays have detected them is averaged.
    outages: u64,
    gaps: &'static [f64],
    /// Number of relays where the gap is varied.
    fleet: usize,
    destinations: &'static [u32],
    /// Duration of the simulation of a relay with all its destinations, in virtual seconds.
    seconds: u64,
}

const QUICK: Sizes = Sizes {
    messages: 4_000.0,
    gaps_simulated: 30.0,
    relays: &[10, 40, 160],
    outages: 8,
    gaps: &[4.0, 16.0, 64.0],
    fleet: 40,
    destinations: &[145, 578, 2_312],
    seconds: 100,
};

const FULL: Sizes = Sizes {
    messages: 40_000.0,
    gaps_simulated: 30.0,
    relays: &[10, 40, 160, 640],
    outages: 40,
    gaps: &[1.0, 4.0, 16.0, 64.0, 256.0],
    fleet: 40,
    destinations: &[2_312, 9_250, 37_000],
    seconds: 200,
};

/// Measures all series and figures of this subject.
pub fn measure(options: &Options) -> Result<Measured, CapacityError> {
    measure_at(if options.quick { &QUICK } else { &FULL }, options.seed)
}

fn measure_at(sizes: &Sizes, seed: u64) -> Result<Measured, CapacityError> {
    let mut measured = Measured::default();
    connections(sizes, seed, &mut measured);
    memory(sizes, seed, &mut measured);
    detection(sizes, seed, &mut measured);
    whole_relay(sizes, seed, &mut measured)?;
    Ok(measured)
}

/// A simulation of `messages` messages at a mean gap, long enough for each pair to have several.
fn plan(messages: f64, gaps_simulated: f64, gap: f64, idle_close: Duration) -> Plan {
    let seconds = (gaps_simulated * gap).max(300.0);
    Plan {
        destinations: (messages * gap / seconds).ceil() as u32,
        mean_gap: Duration::from_secs_f64(gap),
        duration: Duration::from_secs_f64(seconds),
        settings: settings(1, idle_close),
        memory_check_interval: 0,
        until_down: None,
    }
}

/// Share of calls that need a new connection, excluding the first call to each destination.
fn new_connections(record: &Record) -> f64 {
    let mut called = std::collections::HashSet::new();
    let later = record.calls.iter().filter(|call| !called.insert(call.destination));
    let (mut all, mut new) = (0_usize, 0_usize);
    for call in later {
        all += 1;
        new += usize::from(call.connects);
    }
    new as f64 / all.max(1) as f64
}

/// Measures the share of calls that need a new connection. Connections are kept for a time `kept` after a call, so the
/// expected share is e^(-kept / gap). The expected share is the size of a point, the measured one its value.
fn connections(sizes: &Sizes, seed: u64, measured: &mut Measured) {
    for (seconds, name, planned) in IDLE_CLOSE {
        let idle_close = Duration::from_secs(seconds);
        let kept = idle_timeout(idle_close).as_secs_f64();
        let mut points = Vec::new();
        for gap in GAPS {
            let record =
                simulate(&plan(sizes.messages, sizes.gaps_simulated, gap, idle_close), seed, |_, _| {
                    Behaviour::Serves
                });
            let value = new_connections(&record);
            points.push(Point { size: (-kept / gap).exp(), value });
            if gap == PLANNED_GAP {
                measured.figures.push(Figure { name: planned, unit: "share of calls", value });
            }
        }
        points.sort_by(|a, b| a.size.total_cmp(&b.size));
        let varied = "e^(-time a connection is kept / mean gap), at gaps of 1, 4, 16, 64, 100 and 256 s";
        measured.series.push(Series { name, varied, unit: "share of calls", law: Law::Line, points });
    }
}

/// Measures what the module remembers of a destination when a message arrives: the share of full records by mean gap, and
/// the other kinds of memory at the planned gap.
fn memory(sizes: &Sizes, seed: u64, measured: &mut Measured) {
    let memory_shares =
        |gap: f64, cold_after: Option<Duration>, behaviour: &dyn Fn(u32, u32) -> Behaviour| {
            let mut plan = plan(sizes.messages / 4.0, sizes.gaps_simulated, gap, USUAL_IDLE_CLOSE);
            plan.settings.cold_after = cold_after.map(|time| time.as_nanos() as u64);
            plan.memory_check_interval = 1;
            let mut calls = std::collections::HashMap::new();
            let record = simulate(&plan, seed, |destination, _| {
                let count = calls.entry(destination).or_insert(0_u32);
                *count += 1;
                behaviour(destination, *count)
            });
            let all: usize = record.memory.values().sum();
            move |kind: Memory| record.memory.get(&kind).copied().unwrap_or(0) as f64 / all.max(1) as f64
        };
    let serves = |_, _| Behaviour::Serves;
    let mut points = Vec::new();
    for gap in GAPS {
        let value = memory_shares(gap, None, &serves)(Memory::Full);
        points.push(Point { size: 1.0 - (-IDLE_AFTER / gap).exp(), value });
    }
    points.sort_by(|a, b| a.size.total_cmp(&b.size));
    let varied = "1 - e^(-60 s / mean gap), at gaps of 1, 4, 16, 64, 100 and 256 s";
    let name = "thin-traffic.full-record";
    measured.series.push(Series { name, varied, unit: "share of messages", law: Law::Line, points });

    let rejects_every_other = |_, call: u32| {
        if call.is_multiple_of(2) { Behaviour::Overloaded(RETRY_AFTER) } else { Behaviour::Serves }
    };
    let refuses = |_, _| Behaviour::Refuses;
    let mut figure = |name, value| {
        measured.figures.push(Figure { name, unit: "share of messages", value });
    };
    let healthy = memory_shares(PLANNED_GAP, None, &serves);
    figure("thin-traffic.healthy-nothing-remembered", healthy(Memory::Nothing));
    let healthy = memory_shares(PLANNED_GAP, Some(COLD_AFTER), &serves);
    figure("thin-traffic.healthy-compact-with-cold-after", healthy(Memory::Compact));
    let limited = memory_shares(PLANNED_GAP, None, &rejects_every_other);
    figure("thin-traffic.limited-compact", limited(Memory::Compact));
    figure("thin-traffic.limited-nothing-remembered", limited(Memory::Nothing));
    let down = memory_shares(PLANNED_GAP, None, &refuses);
    figure("thin-traffic.down-remembered", down(Memory::Down));
    figure("thin-traffic.down-nothing-remembered", down(Memory::Nothing));
}

/// Detection of one destination's outage by a fleet of relays.
struct Outage {
    /// Seconds until the last relay detected the outage.
    all_know: f64,
    /// Calls to the destination by relays that had not detected the outage.
    wasted: f64,
}

/// A simulation of a destination that is down from the start, beside another one that answers.
fn outage_plan(relays: usize, gap: f64) -> Plan {
    Plan {
        destinations: 2,
        mean_gap: Duration::from_secs_f64(gap),
        duration: Duration::from_secs_f64(gap * GAPS_UNTIL_ALL_CALLED),
        settings: settings(relays, USUAL_IDLE_CLOSE),
        memory_check_interval: 0,
        until_down: None,
    }
}

fn first_is(down: Behaviour) -> impl Fn(u32, Duration) -> Behaviour {
    move |destination, _| if destination == 0 { down } else { Behaviour::Serves }
}

fn outage(relays: usize, gap: f64, down: Behaviour, seed: u64) -> Outage {
    let plan = Plan { until_down: Some(0), ..outage_plan(relays, gap) };
    let mut outage = Outage { all_know: 0.0, wasted: 0.0 };
    for relay in 0..relays {
        let record = simulate(&plan, seed ^ ((relay as u64 + 1) << 24), first_is(down));
        let detected = record.down_periods.first().map_or(plan.duration, |period| period.from);
        outage.all_know = outage.all_know.max(detected.as_secs_f64());
        outage.wasted += record.calls.iter().filter(|call| call.destination == 0).count() as f64;
    }
    outage
}

/// Mean over several outages.
fn mean_outage(relays: usize, gap: f64, down: Behaviour, sizes: &Sizes, seed: u64) -> Outage {
    let outages = (0..sizes.outages).map(|n| outage(relays, gap, down, seed ^ ((n + 1) << 40)));
    let count = sizes.outages as f64;
    outages.fold(Outage { all_know: 0.0, wasted: 0.0 }, |mean, one| Outage {
        all_know: mean.all_know + one.all_know / count,
        wasted: mean.wasted + one.wasted / count,
    })
}

/// Measures the time until every relay has detected that a destination is down, and the number of calls made to it until
/// then.
fn detection(sizes: &Sizes, seed: u64, measured: &mut Measured) {
    let by_relays = |down| -> Vec<_> {
        let one = |relays: &usize| (*relays as f64, mean_outage(*relays, PLANNED_GAP, down, sizes, seed));
        sizes.relays.iter().map(one).collect()
    };
    let names = [
        (Behaviour::Refuses, "thin-traffic.all-know-refused", "thin-traffic.wasted-refused"),
        (Behaviour::Hangs, "thin-traffic.all-know-hung", "thin-traffic.wasted-hung"),
    ];
    for (down, all_know, wasted) in names {
        let outages = by_relays(down);
        let points = outages.iter().map(|(size, o)| Point { size: *size, value: o.all_know }).collect();
        let unit = "s until all know";
        measured.series.push(Series { name: all_know, varied: "relays", unit, law: Law::Logarithm, points });
        let points = outages.iter().map(|(size, o)| Point { size: *size, value: o.wasted }).collect();
        let unit = "calls until all know";
        measured.series.push(Series { name: wasted, varied: "relays", unit, law: Law::Line, points });
    }
    let points = sizes.gaps.iter().map(|gap| Point {
        size: *gap,
        value: mean_outage(sizes.fleet, *gap, Behaviour::Refuses, sizes, seed).all_know,
    });
    measured.series.push(Series {
        name: "thin-traffic.all-know-by-gap",
        varied: "s between two messages of a pair, 40 relays",
        unit: "s until all know",
        law: Law::Line,
        points: points.collect(),
    });
    for (down, name) in [
        (Behaviour::Refuses, "thin-traffic.calls-in-an-hour-refused"),
        (Behaviour::Hangs, "thin-traffic.calls-in-an-hour-hung"),
    ] {
        let value = calls_in_an_hour(sizes.fleet, down, seed);
        measured.figures.push(Figure {
            name,
            unit: "calls of each relay to a destination that is down",
            value,
        });
    }
}

/// Calls of a relay to a destination that is down for an hour, including those that test whether it is back.
fn calls_in_an_hour(relays: usize, down: Behaviour, seed: u64) -> f64 {
    let plan = Plan { duration: HOUR, ..outage_plan(relays, PLANNED_GAP) };
    let calls = (0..relays).map(|relay| {
        let record = simulate(&plan, seed ^ ((relay as u64 + 1) << 24), first_is(down));
        record.calls.iter().filter(|call| call.destination == 0).count()
    });
    calls.sum::<usize>() as f64 / relays as f64
}

/// Measures one relay with all its destinations, 1.5% of which are down: open connections, newly opened connections, and
/// the processor time of the decision module.
fn whole_relay(sizes: &Sizes, seed: u64, measured: &mut Measured) -> Result<(), CapacityError> {
    let (mut open, mut opened, mut cpu, mut round) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for destinations in sizes.destinations {
        let plan = Plan {
            destinations: *destinations,
            mean_gap: Duration::from_secs_f64(PLANNED_GAP),
            duration: Duration::from_secs(sizes.seconds),
            settings: settings(1, USUAL_IDLE_CLOSE),
            memory_check_interval: 0,
            until_down: None,
        };
        let before = cpu_time::of_this_thread()?;
        let record = simulate(&plan, seed, |destination, _| behaviour_of(destination));
        let used = cpu_time::of_this_thread()?.saturating_sub(before);
        let size = f64::from(*destinations);
        let settled = &record.open[record.open.len() / 2..];
        let mean = settled.iter().sum::<usize>() as f64 / settled.len() as f64;
        open.push(Point { size, value: mean });
        let connects = record.calls.iter().filter(|call| call.connects).count() as f64;
        opened.push(Point { size, value: connects / plan.duration.as_secs_f64() });
        cpu.push(Point { size, value: used.as_secs_f64() * 1e3 / plan.duration.as_secs_f64() });
        round.push(Point { size, value: used.as_secs_f64() * 1e6 / record.rounds as f64 });
    }
    let varied = "destinations of a relay, a message in 100 s each, 1.5% of them down";
    let mut add = |name, unit, points| {
        measured.series.push(Series { name, varied, unit, law: Law::Line, points });
    };
    add("thin-traffic.connections-open", "connections", open);
    add("thin-traffic.connections-opened", "connections a second", opened);
    add("thin-traffic.deciding-cpu", "ms a second, the laboratory's own part counted", cpu);
    add("thin-traffic.deciding-cpu-a-round", "µs, the laboratory's own part counted", round);
    Ok(())
}

/// Behaviour of a destination: of every 200, two refuse connections and one hangs.
fn behaviour_of(destination: u32) -> Behaviour {
    match destination % 200 {
        0 | 1 => Behaviour::Refuses,
        2 => Behaviour::Hangs,
        _ => Behaviour::Serves,
    }
}

#[cfg(test)]
mod tests;
