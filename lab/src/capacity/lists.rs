//! Cost of distributing the endpoint list between instances, by number of instances and by length of the list. The
//! instances are simulated: many of the relay's state machines ([`onyxglade_instances::Lists`]) run in this process in
//! virtual time.
//!
//! Hundreds of copies of a list of 37,000 entries do not fit into the memory of one process. The number of instances is
//! therefore varied with a list of ten entries, counting the copies of the whole list that each instance sends, and the
//! length of the list is varied with a few instances. Bytes are those of frames on links, without the headers of IP and
//! TCP.
use onyxglade_instances::simulation::lists::Network;
use onyxglade_instances::simulation::{address, secs};
use onyxglade_instances::{At, Entry, Lists, ListsConfig, ListsInput};
use std::time::Duration;

use super::fit::Law;
use super::simulated_instances::{self, CpuMeter, MemorySubject, Quantity};
use super::{CapacityError, Measured, Options};

/// Lengths of the list, a factor of four apart.
const ENTRIES: [usize; 3] = [2_300, 9_250, 37_000];
const ENTRIES_QUICK: [usize; 3] = [150, 600, 2_400];
/// Number of instances where the length of the list is varied.
const FEW_INSTANCES: usize = 12;
/// Seconds until the links between instances are stable. Until then, instances replace some of their links every five to
/// ten seconds.
const SETTLE_TIME: f64 = 40.0;
/// Seconds in steady state over which traffic is measured.
const STEADY_STATE: f64 = 30.0;
/// Seconds within which a change must reach all instances.
const PROPAGATION_TIMEOUT: f64 = 20.0;
/// Seconds over which the traffic of a change is measured, and the number of changes.
const CHANGE_WINDOW: f64 = 2.0;
const CHANGES: usize = 5;
/// Number of lists built at once to measure the memory of one.
const LISTS_AT_ONCE: usize = 3;
/// Minimum number of entries, over all lists together, to measure processor time: they take tens of milliseconds, of which
/// a tick of the scheduler is a small part.
const TIMED_ENTRIES: usize = 100_000;
/// Seconds between two checks whether all instances have the current list.
const POLL_INTERVAL: f64 = 0.01;

/// Readings at one number of instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ByInstances {
    /// Seconds from the simultaneous start of all instances until all have the list.
    start: f64,
    /// Calls to the list service for the whole list, until the steady state.
    start_calls: f64,
    /// Copies of the list that an instance sent during the start: mean, and maximum over the instances.
    start_copies: f64,
    start_copies_worst: f64,
    /// Bytes per second of an instance in steady state: mean, and maximum over the instances.
    steady_state: f64,
    steady_state_worst: f64,
    /// Calls per second to the list service from all instances together, including continued watches.
    steady_state_calls: f64,
    /// Share of a core used per instance in steady state.
    steady_state_cpu: f64,
    /// Bytes that an instance sends for a change of one entry, beyond the steady state: mean, and maximum over the instances.
    change: f64,
    change_worst: f64,
    /// Seconds until all instances have a change, for the slowest change.
    change_held: f64,
}

/// Readings at one length of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ByEntries {
    /// Bytes of one copy of the list on a link.
    copy: f64,
    /// Resident memory of an instance with the list, in bytes.
    memory: f64,
    /// Resident memory of an instance with the list after changes of single entries, in bytes. Each change copies the list.
    memory_changed: f64,
    /// Processor time of one instance to handle the whole list, in seconds.
    whole_cpu: f64,
    /// Processor time of one instance to handle a change of one entry, in seconds.
    change_cpu: f64,
    /// Bytes that an instance sends for a change of one entry, beyond the steady state.
    change: f64,
    /// Seconds until all instances have a change.
    change_held: f64,
}

/// Measures each length of the list and each number of instances.
pub fn measure(options: &Options) -> Result<Measured, CapacityError> {
    let mut by_entries = Vec::new();
    for entries in if options.quick { ENTRIES_QUICK } else { ENTRIES } {
        let memory = MemorySubject::Lists.measure_in_child(entries, options.seed)?.bytes()?;
        let memory_changed = MemorySubject::ChangedList.measure_in_child(entries, options.seed)?.bytes()?;
        let reading = read_by_entries(entries, options.seed)?;
        by_entries
            .push((entries, ByEntries { memory: memory / LISTS_AT_ONCE as f64, memory_changed, ..reading }));
    }
    let mut by_instances = Vec::new();
    for &count in simulated_instances::instances(options) {
        by_instances.push((count, read_by_instances(count, options.seed)?));
    }
    let mut series = simulated_instances::series("instances", &BY_INSTANCES, &by_instances);
    series.extend(simulated_instances::series("entries", &BY_ENTRIES, &by_entries));
    Ok(Measured { series, figures: Vec::new() })
}

/// A list entry in the list service's format, in which the relay also forwards it.
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

/// Starts all instances at the same time.
fn start_all(net: &mut Network) {
    (0..net.nodes.len()).for_each(|n| net.start(n));
}

/// Runs until all instances have the current list, and returns the seconds since `from`.
fn run_until_all_current(net: &mut Network, from: At) -> Result<f64, CapacityError> {
    while !net.outdated().is_empty() {
        if net.now > from + secs(PROPAGATION_TIMEOUT) {
            let reason = format!(
                "{} instances have an older list after {PROPAGATION_TIMEOUT} s",
                net.outdated().len()
            );
            return Err(CapacityError::Measurement { subject: "lists", reason });
        }
        net.run(POLL_INTERVAL);
    }
    Ok((net.now - from).as_secs_f64())
}

/// Amount sent between two readings of the instances' counters: mean, and maximum over the instances.
fn mean_and_worst(before: &[u64], after: &[u64]) -> (f64, f64) {
    let sent: Vec<_> = after.iter().zip(before).map(|(after, before)| after - before).collect();
    let mean = sent.iter().sum::<u64>() as f64 / sent.len() as f64;
    (mean, sent.iter().max().copied().unwrap_or(0) as f64)
}

/// Measures a change of one entry: the bytes beyond the steady state (mean, and maximum over the instances), and the seconds
/// until all instances have it.
fn measure_change(
    net: &mut Network,
    index: usize,
    steady_state: (f64, f64),
) -> Result<(f64, f64, f64), CapacityError> {
    let (before, from) = (net.sent.clone(), net.now);
    let (name, text) = entry(index, index + 2);
    net.change_to(name, text);
    let propagation_s = run_until_all_current(net, from)?;
    net.run((from + secs(CHANGE_WINDOW)).saturating_sub(net.now).as_secs_f64());
    let seconds = (net.now - from).as_secs_f64();
    let (mean, worst) = mean_and_worst(&before, &net.sent);
    Ok((mean - steady_state.0 * seconds, worst - steady_state.1 * seconds, propagation_s))
}

fn read_by_instances(count: usize, seed: u64) -> Result<ByInstances, CapacityError> {
    let mut net = Network::new(count, seed);
    let entries = net.service.entry_count() as f64;
    let from = net.now;
    start_all(&mut net);
    let start = run_until_all_current(&mut net, from)?;
    net.run(SETTLE_TIME);
    let (copies, copies_worst) = mean_and_worst(&vec![0; count], &net.entries_sent);
    let start_calls = f64::from(net.service.calls);
    let (before, calls) = (net.sent.clone(), net.service.calls + net.service.watches);
    let (handled, meter): (Duration, _) = (net.handling_time.iter().sum(), CpuMeter::start());
    net.run(STEADY_STATE);
    let handling = net.handling_time.iter().sum::<Duration>() - handled;
    let steady_state_cpu = meter.share_of(handling).as_secs_f64() / count as f64 / STEADY_STATE;
    let (steady_state, steady_state_worst) = mean_and_worst(&before, &net.sent);
    let (steady_state, steady_state_worst) = (steady_state / STEADY_STATE, steady_state_worst / STEADY_STATE);
    let steady_state_calls = f64::from(net.service.calls + net.service.watches - calls) / STEADY_STATE;
    let (mut change_mean, mut change_worst, mut change_held) = (0.0, 0.0_f64, 0.0_f64);
    for index in 0..CHANGES {
        let (mean, worst, propagation_s) =
            measure_change(&mut net, index, (steady_state, steady_state_worst))?;
        change_mean += mean / CHANGES as f64;
        change_worst = change_worst.max(worst);
        change_held = change_held.max(propagation_s);
    }
    Ok(ByInstances {
        start,
        start_calls,
        start_copies: copies / entries,
        start_copies_worst: copies_worst / entries,
        steady_state,
        steady_state_worst,
        steady_state_calls,
        steady_state_cpu,
        change: change_mean,
        change_worst,
        change_held,
    })
}

fn read_by_entries(entries: usize, seed: u64) -> Result<ByEntries, CapacityError> {
    let single = read_single_instance(entries, seed);
    let mut net = Network::new(FEW_INSTANCES, seed);
    net.fill((0..entries).map(|n| entry(n, 1)));
    let from = net.now;
    start_all(&mut net);
    run_until_all_current(&mut net, from)?;
    net.run(SETTLE_TIME / 2.0);
    let entry_bytes = net.sent.iter().sum::<u64>() as f64 / net.entries_sent.iter().sum::<u64>() as f64;
    let before = net.sent.clone();
    net.run(STEADY_STATE / 2.0);
    let (steady_state, worst) = mean_and_worst(&before, &net.sent);
    let (change, _, change_held) =
        measure_change(&mut net, 0, (steady_state / (STEADY_STATE / 2.0), worst / (STEADY_STATE / 2.0)))?;
    Ok(ByEntries { copy: entry_bytes * entries as f64, change, change_held, ..single })
}

/// Measures the processor time of a single instance that queries the service itself, for the whole list and for changes of
/// one entry.
fn read_single_instance(entries: usize, seed: u64) -> ByEntries {
    let all = whole_list(entries);
    let count = LISTS_AT_ONCE.max(TIMED_ENTRIES / entries);
    let mut lists: Vec<_> = (0..count).map(|n| single_instance(n, seed)).collect();
    let (meter, mut handling) = (CpuMeter::start(), Duration::ZERO);
    for one in &mut lists {
        handling += handle_response(one, 1, true, all.clone());
    }
    let whole_cpu = meter.share_of(handling).as_secs_f64() / count as f64;
    let meter = CpuMeter::start();
    let handling = change_all(&mut lists);
    let change_cpu = meter.share_of(handling).as_secs_f64() / (count * CHANGES) as f64;
    ByEntries { whole_cpu, change_cpu, ..ByEntries::default() }
}

/// Growth of resident memory in bytes from lists: several lists as received, or one list after changes of single entries.
pub(super) fn resident_bytes(entries: usize, seed: u64, changed: bool) -> u64 {
    simulated_instances::resident_bytes_of(|| {
        let count = if changed { 1 } else { LISTS_AT_ONCE };
        let mut lists: Vec<_> = (0..count).map(|n| single_instance(n, seed)).collect();
        for one in &mut lists {
            handle_response(one, 1, true, whole_list(entries));
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

/// Applies several changes of one entry to each list, and returns the time spent handling them.
fn change_all(lists: &mut [Lists]) -> Duration {
    let mut handling = Duration::ZERO;
    for index in 0..CHANGES {
        let (name, text) = entry(index, 2);
        for one in lists.iter_mut() {
            handling +=
                handle_response(one, index as u64 + 2, false, vec![(name.clone(), Some(text.clone()))]);
        }
    }
    handling
}

fn single_instance(n: usize, seed: u64) -> Lists {
    let me = address(n);
    let config = ListsConfig {
        me,
        seeds: vec![me],
        expected: 1,
        must_ask_in: Duration::from_secs(8),
        max_bytes: usize::MAX,
    };
    Lists::new(config, seed, At::ZERO)
}

/// Passes a response of the list service to an instance, and returns the time spent handling it.
fn handle_response(lists: &mut Lists, generation: u64, whole: bool, entries: Vec<Entry>) -> Duration {
    let now = secs(generation as f64);
    lists.handle(now, ListsInput::CallStarted);
    let started = std::time::Instant::now();
    lists.handle(now, ListsInput::CallAnswered { began: now, generation, whole, entries });
    started.elapsed()
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
    of_instances("lists.rest_bytes", "B/s an instance", Law::Logarithm, |r| r.steady_state),
    of_instances("lists.rest_bytes_worst", "B/s an instance", Law::Logarithm, |r| r.steady_state_worst),
    of_instances("lists.rest_calls", "calls/s of all", Law::Logarithm, |r| r.steady_state_calls),
    of_instances("lists.rest_cpu", "% of a core an instance", Law::Line, |r| 100.0 * r.steady_state_cpu),
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
