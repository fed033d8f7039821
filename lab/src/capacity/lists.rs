//! Lists between instances: what passing the list on costs, by the number of instances and by the length of the list.
//! The instances are hollow: the relay's own state machine ([`onyxglade_instances::Lists`]), many in this process, in
//! virtual time.
//!
//! A list of 37,000 entries takes too much memory to be held hundreds of times in one process. So the number of instances
//! is varied with a list of ten entries, and there the copies of the whole list are counted that each instance sends; the
//! length is varied with a few instances. Bytes are those of frames on links, without the headers of IP and TCP.
use onyxglade_instances::simulation::lists::Network;
use onyxglade_instances::simulation::{address, secs};
use onyxglade_instances::{At, Entry, Heard, Lists, ListsConfig};
use std::time::Duration;

use super::fit::Law;
use super::simulated_instances::{self, CpuMeter, MemorySubject, Quantity};
use super::{CapacityError, Measured, Options};

/// Lengths of lists: a factor of four apart.
const ENTRIES: [usize; 3] = [2_300, 9_250, 37_000];
const ENTRIES_QUICK: [usize; 3] = [150, 600, 2_400];
/// Instances that pass a long list on.
const FEW: usize = 12;
/// Seconds until links are what they stay: others are linked to in place of those that still do every five to ten.
const SETTLING: f64 = 40.0;
/// Seconds at rest over which bytes are counted.
const REST: f64 = 30.0;
/// Seconds after which waiting for a change to be held by all is given up.
const GIVEN_UP: f64 = 20.0;
/// Seconds over which a change's bytes are counted, and how often that is repeated.
const CHANGE: f64 = 2.0;
const CHANGES: usize = 5;
/// Lists that are held at once to find out what one takes.
const HELD: usize = 3;
/// Entries in all lists together whose processor time is measured: tens of milliseconds, of which a tick of the scheduler is
/// a small part.
const TIMED_ENTRIES: usize = 100_000;
/// Seconds between two looks at who holds what.
const LOOK: f64 = 0.01;

/// What is read at one number of instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ByInstances {
    /// Seconds from the start of all until all hold the list.
    start: f64,
    /// Calls for the whole list until then and on until rest.
    start_calls: f64,
    /// Copies of the list that an instance sent in the start, on average and the one that sent the most.
    start_copies: f64,
    start_copies_worst: f64,
    /// Bytes a second of an instance at rest, on average and the one that sent the most.
    rest: f64,
    rest_worst: f64,
    /// Calls at the list service a second, watches that go on among them, from all instances together.
    rest_calls: f64,
    /// Part of a core that an instance takes at rest.
    rest_cpu: f64,
    /// Bytes that an instance sends for a change of one entry, beyond those at rest, on average and the one that sent the most.
    change: f64,
    change_worst: f64,
    /// Seconds until all hold a change, the slowest.
    change_held: f64,
}

/// What is read at one length of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ByEntries {
    /// Bytes of one copy on a link.
    copy: f64,
    /// Resident bytes that one who holds it adds.
    memory: f64,
    /// Resident bytes of one who holds it and has taken up changes of one entry, for each of which the list is copied.
    memory_changed: f64,
    /// Processor time of one instance for the whole list, in seconds.
    whole_cpu: f64,
    /// Processor time of one instance for a change of one entry, in seconds.
    change_cpu: f64,
    /// Bytes that an instance sends for a change of one entry.
    change: f64,
    /// Seconds until all hold a change.
    change_held: f64,
}

/// Measures at each length and at each number of instances.
pub fn measure(options: &Options) -> Result<Measured, CapacityError> {
    let mut by_entries = Vec::new();
    for entries in if options.quick { ENTRIES_QUICK } else { ENTRIES } {
        let held = MemorySubject::Lists.measure_in_child(entries, options.seed)?.bytes()?;
        let memory_changed = MemorySubject::ChangedList.measure_in_child(entries, options.seed)?.bytes()?;
        let reading = read_by_entries(entries, options.seed)?;
        by_entries.push((entries, ByEntries { memory: held / HELD as f64, memory_changed, ..reading }));
    }
    let mut by_instances = Vec::new();
    for &count in simulated_instances::instances(options) {
        by_instances.push((count, read_by_instances(count, options.seed)?));
    }
    let mut series = simulated_instances::series("instances", &BY_INSTANCES, &by_instances);
    series.extend(simulated_instances::series("entries", &BY_ENTRIES, &by_entries));
    Ok(Measured { series, figures: Vec::new() })
}

/// An entry as the relay passes it on: the list service's own form.
fn entry(n: usize, weight: usize) -> (String, String) {
    let name = format!("instance-{n:06}");
    let text = format!(
        "{{\"instanceId\":\"{name}\",\"hostPort\":\"10.{}.{}.{}:8443\",\"zone\":\"region-{}-zone-{}\",\
         \"machineType\":\"standard-8\",\"cell\":{},\"lifecycle\":\"SERVING\",\"weight\":{weight}.0,\
         \"startedAtMs\":1800000000000}}",
        n >> 16,
        n >> 8 & 255,
        n & 255,
        n % 2,
        n % 4,
        n % 64
    );
    (name, text)
}

/// All start in the same moment.
fn all_start(net: &mut Network) {
    (0..net.nodes.len()).for_each(|n| net.start(n));
}

/// Runs until all hold the present list; gives the seconds since a time.
fn until_all_hold(net: &mut Network, from: At) -> Result<f64, CapacityError> {
    while !net.behind().is_empty() {
        if net.now > from + secs(GIVEN_UP) {
            let reason = format!("{} instances hold an older list after {GIVEN_UP} s", net.behind().len());
            return Err(CapacityError::Measurement { subject: "lists", reason });
        }
        net.run(LOOK);
    }
    Ok((net.now - from).as_secs_f64())
}

/// What each instance sent since, on average and the one that sent the most.
fn mean_and_worst(before: &[u64], after: &[u64]) -> (f64, f64) {
    let sent: Vec<_> = after.iter().zip(before).map(|(after, before)| after - before).collect();
    let mean = sent.iter().sum::<u64>() as f64 / sent.len() as f64;
    (mean, sent.iter().max().copied().unwrap_or(0) as f64)
}

/// Bytes for a change of one entry beyond those at rest (on average, the worst instance), and seconds until all hold it.
fn change(net: &mut Network, turn: usize, rest: (f64, f64)) -> Result<(f64, f64, f64), CapacityError> {
    let (before, from) = (net.sent.clone(), net.now);
    let (name, text) = entry(turn, turn + 2);
    net.change_to(name, text);
    let held = until_all_hold(net, from)?;
    net.run((from + secs(CHANGE)).saturating_sub(net.now).as_secs_f64());
    let seconds = (net.now - from).as_secs_f64();
    let (mean, worst) = mean_and_worst(&before, &net.sent);
    Ok((mean - rest.0 * seconds, worst - rest.1 * seconds, held))
}

fn read_by_instances(count: usize, seed: u64) -> Result<ByInstances, CapacityError> {
    let mut net = Network::new(count, seed);
    let entries = net.service.entry_count() as f64;
    let from = net.now;
    all_start(&mut net);
    let start = until_all_hold(&mut net, from)?;
    net.run(SETTLING);
    let (copies, copies_worst) = mean_and_worst(&vec![0; count], &net.entries_sent);
    let start_calls = f64::from(net.service.calls);
    let (before, calls) = (net.sent.clone(), net.service.calls + net.service.watches);
    let (handled, meter): (Duration, _) = (net.handling.iter().sum(), CpuMeter::start());
    net.run(REST);
    let handling = net.handling.iter().sum::<Duration>() - handled;
    let rest_cpu = meter.share_of(handling).as_secs_f64() / count as f64 / REST;
    let (rest, rest_worst) = mean_and_worst(&before, &net.sent);
    let (rest, rest_worst) = (rest / REST, rest_worst / REST);
    let rest_calls = f64::from(net.service.calls + net.service.watches - calls) / REST;
    let (mut change_mean, mut change_worst, mut change_held) = (0.0, 0.0_f64, 0.0_f64);
    for turn in 0..CHANGES {
        let (mean, worst, held) = change(&mut net, turn, (rest, rest_worst))?;
        change_mean += mean / CHANGES as f64;
        change_worst = change_worst.max(worst);
        change_held = change_held.max(held);
    }
    Ok(ByInstances {
        start,
        start_calls,
        start_copies: copies / entries,
        start_copies_worst: copies_worst / entries,
        rest,
        rest_worst,
        rest_calls,
        rest_cpu,
        change: change_mean,
        change_worst,
        change_held,
    })
}

fn read_by_entries(entries: usize, seed: u64) -> Result<ByEntries, CapacityError> {
    let alone = answer_alone(entries, seed);
    let mut net = Network::new(FEW, seed);
    net.fill((0..entries).map(|n| entry(n, 1)));
    let from = net.now;
    all_start(&mut net);
    until_all_hold(&mut net, from)?;
    net.run(SETTLING / 2.0);
    let entry_bytes = net.sent.iter().sum::<u64>() as f64 / net.entries_sent.iter().sum::<u64>() as f64;
    let before = net.sent.clone();
    net.run(REST / 2.0);
    let (rest, worst) = mean_and_worst(&before, &net.sent);
    let (change, _, change_held) = change(&mut net, 0, (rest / (REST / 2.0), worst / (REST / 2.0)))?;
    Ok(ByEntries { copy: entry_bytes * entries as f64, change, change_held, ..alone })
}

/// Processor time of one that asks the service itself, for the whole list and for changes of one entry.
fn answer_alone(entries: usize, seed: u64) -> ByEntries {
    let all = whole_list(entries);
    let count = HELD.max(TIMED_ENTRIES / entries);
    let mut lists: Vec<_> = (0..count).map(|n| alone(n, seed)).collect();
    let (meter, mut handling) = (CpuMeter::start(), Duration::ZERO);
    for one in &mut lists {
        handling += answer(one, 1, true, all.clone());
    }
    let whole_cpu = meter.share_of(handling).as_secs_f64() / count as f64;
    let meter = CpuMeter::start();
    let handling = change_all(&mut lists);
    let change_cpu = meter.share_of(handling).as_secs_f64() / (count * CHANGES) as f64;
    ByEntries { whole_cpu, change_cpu, ..ByEntries::default() }
}

/// Resident bytes that lists which are held add: several as they came, or one after changes.
pub(super) fn resident_bytes(entries: usize, seed: u64, changed: bool) -> u64 {
    simulated_instances::resident_bytes_of(|| {
        let held = if changed { 1 } else { HELD };
        let mut lists: Vec<_> = (0..held).map(|n| alone(n, seed)).collect();
        for one in &mut lists {
            answer(one, 1, true, whole_list(entries));
        }
        if changed {
            change_all(&mut lists);
        }
        lists
    })
}

fn whole_list(entries: usize) -> Vec<Entry> {
    (0..entries).map(|n| entry(n, 1)).map(|(name, text)| (name, Some(text))).collect()
}

/// Several changes of one entry for each; gives how long they were dealt with.
fn change_all(lists: &mut [Lists]) -> Duration {
    let mut handling = Duration::ZERO;
    for turn in 0..CHANGES {
        let (name, text) = entry(turn, 2);
        for one in lists.iter_mut() {
            handling += answer(one, turn as u64 + 2, false, vec![(name.clone(), Some(text.clone()))]);
        }
    }
    handling
}

fn alone(n: usize, seed: u64) -> Lists {
    let me = address(n);
    let config = ListsConfig {
        me,
        seeds: vec![me],
        expected: 1,
        must_ask_in: Duration::from_secs(8),
        longest: usize::MAX,
    };
    Lists::new(config, seed, At::ZERO)
}

/// The list service answers; gives how long that was dealt with.
fn answer(lists: &mut Lists, generation: u64, whole: bool, entries: Vec<Entry>) -> Duration {
    let now = secs(generation as f64);
    lists.handle(now, Heard::Asked);
    let began = std::time::Instant::now();
    lists.handle(now, Heard::Answered { began: now, generation, whole, entries });
    began.elapsed()
}

const fn of_instances(
    name: &'static str,
    unit: &'static str,
    law: Law,
    of: fn(&ByInstances) -> f64,
) -> Quantity<ByInstances> {
    Quantity { name, unit, law, of }
}

const fn of_entries(
    name: &'static str,
    unit: &'static str,
    law: Law,
    of: fn(&ByEntries) -> f64,
) -> Quantity<ByEntries> {
    Quantity { name, unit, law, of }
}

const BY_INSTANCES: [Quantity<ByInstances>; 11] = [
    of_instances("lists.start_held", "s until all hold it", Law::Logarithm, |r| r.start),
    of_instances("lists.start_calls", "calls of all", Law::Logarithm, |r| r.start_calls),
    of_instances("lists.start_copies", "lists sent by an instance", Law::Logarithm, |r| r.start_copies),
    of_instances("lists.start_copies_worst", "lists sent by one", Law::Line, |r| r.start_copies_worst),
    of_instances("lists.rest_bytes", "B/s an instance", Law::Logarithm, |r| r.rest),
    of_instances("lists.rest_bytes_worst", "B/s an instance", Law::Logarithm, |r| r.rest_worst),
    of_instances("lists.rest_calls", "calls/s of all", Law::Logarithm, |r| r.rest_calls),
    of_instances("lists.rest_cpu", "% of a core an instance", Law::Line, |r| 100.0 * r.rest_cpu),
    of_instances("lists.change_bytes", "B an instance", Law::Logarithm, |r| r.change),
    of_instances("lists.change_bytes_worst", "B an instance", Law::Logarithm, |r| r.change_worst),
    of_instances("lists.change_held", "s until all hold it", Law::Logarithm, |r| r.change_held),
];

const BY_ENTRIES: [Quantity<ByEntries>; 7] = [
    of_entries("lists.copy_bytes", "B a list on a link", Law::Line, |r| r.copy),
    of_entries("lists.memory", "B an instance", Law::Line, |r| r.memory),
    of_entries("lists.memory_changed", "B an instance", Law::Line, |r| r.memory_changed),
    of_entries("lists.whole_cpu", "ms an instance", Law::Line, |r| 1e3 * r.whole_cpu),
    of_entries("lists.change_cpu", "ms an instance", Law::Line, |r| 1e3 * r.change_cpu),
    of_entries("lists.change_bytes_by_entries", "B an instance", Law::Line, |r| r.change),
    of_entries("lists.change_held_by_entries", "s until all hold it", Law::Line, |r| r.change_held),
];

#[cfg(test)]
mod tests;
