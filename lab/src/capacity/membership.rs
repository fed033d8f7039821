//! Cost of the membership protocol between instances: traffic, processor time, and the time until all views agree, in
//! steady state and after failures of the planned size. The instances are simulated: many of the relay's state machines
//! ([`onyxglade_instances::Swim`]) run in this process in virtual time.
//!
//! Bytes are those of datagrams and of frames on links, without the headers of IP, UDP and TCP. Processor time is that of
//! the state machines alone, without the system calls of real sockets. Views disagree as long as a running instance does
//! not see the current process of another running instance, or sees an instance that is not running.
use onyxglade_instances::simulation::membership::Network;
use onyxglade_instances::simulation::{address, secs};
use onyxglade_instances::{At, Member, MembershipChange, SwimInput};
use std::thread;

use super::fit::Law;
use super::simulated_instances::{self, CpuMeter, MemorySubject, PLANNED, Quantity};
use super::{CapacityError, Measured, Options};

const ZONES: usize = 4;
const REGIONS: usize = 2;
/// Number of racks: a rack has 20 of 650 instances.
const RACKS: usize = 32;
/// Seconds after an event over which its traffic is measured.
const EVENT_WINDOW: f64 = 20.0;
/// Seconds in steady state over which traffic is measured: four times the longest period of the protocol, that of the
/// exchange of whole views.
const STEADY_STATE: f64 = 40.0;
/// Seconds after an event until traffic counts as steady state.
const SETTLE_TIME: f64 = 20.0;
/// Number of restarts on an ordinary day.
const RESTARTS_A_DAY: usize = 100;
/// Number of single restarts, and seconds from one to the next, which is long enough for them not to overlap.
const SINGLE_RESTARTS: usize = 3;
const SINGLE_RESTART_PERIOD: f64 = 20.0;
/// Seconds from one restart to the next in a rolling restart, and from the end of a process to the start of its
/// successor.
const ROLLING_PERIOD: f64 = 1.0;
const RESTART_DURATION: f64 = 2.0;
/// Duration in seconds of the network partition between the regions. In both the full and the quick run it is long enough
/// for the regions to consider each other down, but too short for instances to be forgotten.
const PARTITION: f64 = 300.0;
const PARTITION_QUICK: f64 = 60.0;
/// Seconds between two checks whether all views agree, and seconds after which the check fails.
const POLL_INTERVAL: f64 = 0.25;
const AGREEMENT_TIMEOUT: f64 = 600.0;
const SECONDS_A_DAY: f64 = 86_400.0;

/// Traffic and processor time of instances in an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Traffic {
    /// Mean bytes per second and instance.
    mean: f64,
    /// Bytes per second of the instance that sent the most.
    worst: f64,
    /// The part of `mean` that was sent over links.
    links: f64,
    /// Mean datagrams per second and instance.
    datagrams: f64,
    /// Mean processor time per second and instance, in seconds.
    cpu: f64,
}

/// Consequences of an event.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Event {
    /// Traffic in the [`EVENT_WINDOW`] after the event.
    traffic: Traffic,
    /// Seconds until all views agreed.
    agreed: f64,
}

/// All readings at one number of instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Reading {
    start: Event,
    steady_state: Traffic,
    /// Resident memory per instance in bytes.
    memory: f64,
    single_restarts: Event,
    rolling: Event,
    rack_failed: Event,
    rack_recovered: Event,
    zone_failed: Event,
    zone_recovered: Event,
    partitioned: Traffic,
    healed: Event,
}

/// Measures each number of instances.
pub fn measure(options: &Options) -> Result<Measured, CapacityError> {
    let counts = simulated_instances::instances(options);
    // Each number has a thread of its own, because processor time is measured per thread.
    let read: Result<Vec<_>, CapacityError> = thread::scope(|scope| {
        let threads: Vec<_> = counts.iter().map(|count| scope.spawn(|| read(*count, options))).collect();
        threads.into_iter().map(|thread| thread.join().expect("the measurement does not panic")).collect()
    });
    let read: Vec<_> = counts.iter().copied().zip(read?).collect();
    Ok(Measured { series: simulated_instances::series("instances", &QUANTITIES, &read), figures: Vec::new() })
}

fn read(count: usize, options: &Options) -> Result<Reading, CapacityError> {
    let mut reading = simulate(count, options)?;
    reading.memory = f64::NAN;
    // Above the planned number, all views together need more memory than this run may use.
    if count <= PLANNED {
        reading.memory = MemorySubject::Views.measure_in_child(count, options.seed)?.bytes()? / count as f64;
    }
    Ok(reading)
}

/// Growth of resident memory in bytes from instances and their views, once they have started and are in steady state.
pub(super) fn resident_bytes(count: usize, seed: u64) -> u64 {
    simulated_instances::resident_bytes_of(|| {
        let mut network = Network::new(count, seed);
        network.describe = member_description;
        (0..count).for_each(|n| network.start(n));
        network.run(EVENT_WINDOW + SETTLE_TIME);
        network.changes = Vec::new();
        network
    })
}

fn simulate(count: usize, options: &Options) -> Result<Reading, CapacityError> {
    let mut fleet = Fleet::new(count, options.seed);
    let all: Vec<_> = (0..count).collect();
    let rack: Vec<_> = all[count - (count / RACKS).max(1)..].to_vec();
    let zone: Vec<_> = all.iter().copied().filter(|n| zone_of(*n) == ZONES - 1).collect();
    let start = fleet.measure_event(|fleet| fleet.start(&all))?;
    fleet.run(SETTLE_TIME);
    let steady_state = fleet.measure_traffic(|fleet| fleet.run(STEADY_STATE));
    if count > PLANNED {
        fleet.check()?;
        return Ok(Reading { start, steady_state, ..Reading::NOT_MEASURED });
    }
    let single_restarts = fleet.single_restarts()?;
    let rolling = fleet.rolling_restart()?;
    let mut fail_and_recover = |instances: &[usize]| {
        fleet.run(SETTLE_TIME);
        let failed = fleet.measure_event(|fleet| fleet.kill(instances))?;
        fleet.run(SETTLE_TIME);
        Ok::<_, CapacityError>((failed, fleet.measure_event(|fleet| fleet.start(instances))?))
    };
    let (rack_failed, rack_recovered) = fail_and_recover(&rack)?;
    let (zone_failed, zone_recovered) = fail_and_recover(&zone)?;
    fleet.run(SETTLE_TIME);
    fleet.set_partition(true);
    let partition_duration = if options.quick { PARTITION_QUICK } else { PARTITION };
    let partitioned = fleet.measure_traffic(|fleet| fleet.run(partition_duration));
    let healed = fleet.measure_event(|fleet| fleet.set_partition(false))?;
    fleet.check()?;
    Ok(Reading {
        start,
        steady_state,
        memory: 0.0,
        single_restarts,
        rolling,
        rack_failed,
        rack_recovered,
        zone_failed,
        zone_recovered,
        partitioned,
        healed,
    })
}

fn region_of(n: usize) -> usize {
    n % REGIONS
}

/// Zones 0 and 2 belong to one region, zones 1 and 3 to the other.
fn zone_of(n: usize) -> usize {
    n % ZONES
}

/// A member description with texts of realistic length.
fn member_description(n: usize) -> Member {
    Member {
        name: format!("relay-{n:04}"),
        zone: format!("region-{}-zone-{}", region_of(n), zone_of(n)),
        region: format!("region-{}", region_of(n)),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        capacity: 400,
        ..Member::with_address(address(n))
    }
}

/// A network of instances with a record of which instance sees which.
struct Fleet {
    network: Network,
    /// The incarnation ([`Member::life`]) in which an instance is seen, by viewer and viewed instance; `None` if it is not
    /// seen.
    seen: Vec<Vec<Option<u64>>>,
    /// The incarnation of each instance's current process; `None` if it does not run.
    incarnations: Vec<Option<u64>>,
    /// Number of pairs of instances whose first one has an incorrect view of the second one.
    incorrect_views: usize,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let mut network = Network::new(count, seed);
        network.describe = member_description;
        Fleet {
            network,
            seen: vec![vec![None; count]; count],
            incarnations: vec![None; count],
            incorrect_views: 0,
        }
    }

    fn is_incorrect(&self, viewer: usize, viewed: usize) -> bool {
        let is_correct = match (self.incarnations[viewed], self.seen[viewer][viewed]) {
            // A process that refuted a report of its end has a later incarnation than at its start.
            (Some(life), Some(seen)) => seen >= life,
            (None, None) => true,
            _ => false,
        };
        viewer != viewed && self.incarnations[viewer].is_some() && !is_correct
    }

    /// Number of incorrect views that involve instance `n`.
    fn incorrect_views_of(&self, n: usize) -> usize {
        let others = 0..self.incarnations.len();
        others.map(|m| usize::from(self.is_incorrect(n, m)) + usize::from(self.is_incorrect(m, n))).sum()
    }

    /// Records that an instance now runs in a process of incarnation `life`, or that it does not run.
    fn set_incarnation(&mut self, n: usize, life: Option<u64>) {
        self.incorrect_views -= self.incorrect_views_of(n);
        self.incarnations[n] = life;
        self.seen[n].fill(None);
        self.incorrect_views += self.incorrect_views_of(n);
    }

    fn start(&mut self, instances: &[usize]) {
        for &n in instances {
            self.network.start(n);
            let life = self.network.swims[n].as_ref().expect("started").me().incarnation;
            self.set_incarnation(n, Some(life));
        }
    }

    /// Ends processes without a notification, as SIGKILL does.
    fn kill(&mut self, instances: &[usize]) {
        for &n in instances {
            self.network.swims[n] = None;
            self.set_incarnation(n, None);
        }
    }

    /// Ends a process as SIGTERM does: it announces its end first.
    fn shut_down(&mut self, n: usize) {
        self.network.handle(n, SwimInput::Leave);
        self.kill(&[n]);
    }

    /// Starts or ends a network partition between the regions.
    fn set_partition(&mut self, partitioned: bool) {
        for (n, side) in self.network.partition.iter_mut().enumerate() {
            *side = if partitioned { region_of(n) as u32 } else { 0 };
        }
    }

    fn run(&mut self, seconds: f64) {
        self.network.run(seconds);
        self.apply_changes();
    }

    /// Applies the changes of the instances' views to the record.
    fn apply_changes(&mut self) {
        for (_, viewer, change) in std::mem::take(&mut self.network.changes) {
            let (viewed, seen) = match change {
                MembershipChange::Up(member) | MembershipChange::Updated(member) => {
                    (member.address, Some(member.incarnation))
                }
                MembershipChange::Down(member) => (member.address, None),
                MembershipChange::Refuted(_) => continue,
            };
            let viewed =
                onyxglade_instances::simulation::number(viewed).expect("an address of the simulation");
            self.incorrect_views -= usize::from(self.is_incorrect(viewer, viewed));
            self.seen[viewer][viewed] = seen;
            self.incorrect_views += usize::from(self.is_incorrect(viewer, viewed));
        }
    }

    /// Runs a simulation step and measures the traffic and processor time during it.
    fn measure_traffic(&mut self, step: impl FnOnce(&mut Fleet)) -> Traffic {
        let (from, before, meter) = (self.network.now, self.sent(), CpuMeter::start());
        step(self);
        let after = self.sent();
        let seconds = (self.network.now - from).as_secs_f64();
        let running = self.incarnations.iter().flatten().count().max(1) as f64;
        let total = |of: fn(&Sent) -> u64| {
            let sum: u64 = after.iter().zip(&before).map(|(after, before)| of(after) - of(before)).sum();
            sum as f64 / running / seconds
        };
        let by_one = after.iter().zip(&before).map(|(a, b)| a.bytes() - b.bytes()).max().unwrap_or(0);
        let handling = after.iter().zip(&before).map(|(a, b)| a.handling - b.handling).sum();
        Traffic {
            mean: total(Sent::bytes),
            worst: by_one as f64 / seconds,
            links: total(|sent| sent.linked),
            datagrams: total(|sent| sent.datagrams),
            cpu: meter.share_of(handling).as_secs_f64() / running / seconds,
        }
    }

    fn sent(&self) -> Vec<Sent> {
        let network = &self.network;
        let of = |n: usize| Sent {
            linked: network.link_bytes[n],
            datagrams: network.datagrams[n],
            datagram_bytes: network.datagram_bytes[n],
            handling: network.handling_time[n],
        };
        (0..self.incarnations.len()).map(of).collect()
    }

    /// Runs an event, and measures the traffic after it and the time until all views agree.
    fn measure_event(&mut self, trigger: impl FnOnce(&mut Fleet)) -> Result<Event, CapacityError> {
        let from = self.network.now;
        let mut agreed = None;
        let traffic = self.measure_traffic(|fleet| {
            trigger(fleet);
            agreed = fleet.run_until_agreed(from, EVENT_WINDOW);
            let remaining = (from + secs(EVENT_WINDOW)).saturating_sub(fleet.network.now);
            fleet.run(remaining.as_secs_f64());
        });
        let agreed = match agreed {
            Some(agreed) => agreed,
            None => self.wait_until_agreed(from)?,
        };
        Ok(Event { traffic, agreed })
    }

    /// Runs until all views agree, and returns the seconds since `from`; `None` if they do not agree within `within` seconds.
    fn run_until_agreed(&mut self, from: At, within: f64) -> Option<f64> {
        loop {
            self.run(POLL_INTERVAL);
            let passed = (self.network.now - from).as_secs_f64();
            if self.incorrect_views == 0 || passed >= within {
                return (self.incorrect_views == 0).then_some(passed);
            }
        }
    }

    fn wait_until_agreed(&mut self, from: At) -> Result<f64, CapacityError> {
        self.run_until_agreed(from, AGREEMENT_TIMEOUT).ok_or_else(|| {
            let reason = format!("{} views are incorrect after {AGREEMENT_TIMEOUT} s", self.incorrect_views);
            CapacityError::Measurement { subject: "membership", reason }
        })
    }

    /// Restarts single instances, each long after the previous restart has completed.
    fn single_restarts(&mut self) -> Result<Event, CapacityError> {
        let mut slowest = 0.0_f64;
        let last = self.incarnations.len() - 1;
        let traffic = self.measure_traffic(|fleet| {
            for n in (0..SINGLE_RESTARTS).map(|index| last - index) {
                fleet.shut_down(n);
                fleet.run(RESTART_DURATION);
                let from = fleet.network.now;
                fleet.start(&[n]);
                let agreed = fleet.run_until_agreed(from, SINGLE_RESTART_PERIOD - RESTART_DURATION);
                let end = from + secs(SINGLE_RESTART_PERIOD - RESTART_DURATION);
                fleet.run(end.saturating_sub(fleet.network.now).as_secs_f64());
                slowest = slowest.max(agreed.unwrap_or(SINGLE_RESTART_PERIOD));
            }
        });
        let agreed = match self.incorrect_views {
            0 => slowest,
            _ => SINGLE_RESTART_PERIOD + self.wait_until_agreed(self.network.now)?,
        };
        Ok(Event { traffic, agreed })
    }

    /// Runs all restarts of a day in quick succession: each one begins before the previous instance is back.
    fn rolling_restart(&mut self) -> Result<Event, CapacityError> {
        let count = self.incarnations.len();
        let traffic = self.measure_traffic(|fleet| {
            let mut stopped = std::collections::VecDeque::new();
            for index in 0..RESTARTS_A_DAY {
                let n = index % count;
                fleet.shut_down(n);
                stopped.push_back(n);
                fleet.run(ROLLING_PERIOD);
                if stopped.len() as f64 * ROLLING_PERIOD >= RESTART_DURATION {
                    let back = stopped.pop_front().expect("an instance is stopped");
                    fleet.start(&[back]);
                }
            }
            fleet.start(&Vec::from(stopped));
        });
        let from = self.network.now;
        Ok(Event { traffic, agreed: self.wait_until_agreed(from)? })
    }

    /// Checks that the views reported by the instances themselves agree as well.
    fn check(&self) -> Result<(), CapacityError> {
        match self.network.wrong_views().len() {
            0 => Ok(()),
            wrong => {
                let reason =
                    format!("{wrong} views are incorrect although all reported changes were applied");
                Err(CapacityError::Measurement { subject: "membership", reason })
            }
        }
    }
}

/// Totals of what one instance has sent, and the time spent in its state machine.
struct Sent {
    linked: u64,
    datagrams: u64,
    datagram_bytes: u64,
    handling: At,
}

impl Sent {
    fn bytes(&self) -> u64 {
        self.linked + self.datagram_bytes
    }
}

impl Traffic {
    const NOT_MEASURED: Traffic =
        Traffic { mean: f64::NAN, worst: f64::NAN, links: f64::NAN, datagrams: f64::NAN, cpu: f64::NAN };
}

impl Event {
    const NOT_MEASURED: Event = Event { traffic: Traffic::NOT_MEASURED, agreed: f64::NAN };
}

impl Reading {
    /// Above the planned number, only the start and the steady state are measured, to limit the duration of the run.
    const NOT_MEASURED: Reading = Reading {
        start: Event::NOT_MEASURED,
        steady_state: Traffic::NOT_MEASURED,
        memory: f64::NAN,
        single_restarts: Event::NOT_MEASURED,
        rolling: Event::NOT_MEASURED,
        rack_failed: Event::NOT_MEASURED,
        rack_recovered: Event::NOT_MEASURED,
        zone_failed: Event::NOT_MEASURED,
        zone_recovered: Event::NOT_MEASURED,
        partitioned: Traffic::NOT_MEASURED,
        healed: Event::NOT_MEASURED,
    };

    /// Bytes per second and instance over an ordinary day: steady state plus the additional traffic of each restart.
    fn ordinary_day(&self) -> f64 {
        let measured_rate = SINGLE_RESTARTS as f64 / (SINGLE_RESTARTS as f64 * SINGLE_RESTART_PERIOD);
        let ordinary_rate = RESTARTS_A_DAY as f64 / SECONDS_A_DAY;
        self.steady_state.mean
            + (self.single_restarts.traffic.mean - self.steady_state.mean) * ordinary_rate / measured_rate
    }
}

const fn bytes(name: &'static str, of: fn(&Reading) -> f64) -> Quantity<Reading> {
    Quantity { name, unit: "B/s an instance", law: Law::Line, of }
}

const fn seconds(name: &'static str, of: fn(&Reading) -> f64) -> Quantity<Reading> {
    Quantity { name, unit: "s until all agree", law: Law::Logarithm, of }
}

const fn cpu(name: &'static str, of: fn(&Reading) -> f64) -> Quantity<Reading> {
    Quantity { name, unit: "% of a core an instance", law: Law::Line, of }
}

const QUANTITIES: [Quantity<Reading>; 34] = [
    bytes("membership.rest_bytes", |r| r.steady_state.mean),
    bytes("membership.rest_bytes_worst", |r| r.steady_state.worst),
    bytes("membership.rest_link_bytes", |r| r.steady_state.links),
    Quantity {
        name: "membership.rest_datagrams",
        unit: "datagrams/s an instance",
        law: Law::Line,
        of: |r| r.steady_state.datagrams,
    },
    cpu("membership.rest_cpu", |r| 100.0 * r.steady_state.cpu),
    Quantity { name: "membership.memory", unit: "B an instance", law: Law::Line, of: |r| r.memory },
    bytes("membership.start_bytes", |r| r.start.traffic.mean),
    bytes("membership.start_bytes_worst", |r| r.start.traffic.worst),
    bytes("membership.start_link_bytes", |r| r.start.traffic.links),
    Quantity {
        name: "membership.start_datagrams",
        unit: "datagrams/s an instance",
        law: Law::Line,
        of: |r| r.start.traffic.datagrams,
    },
    cpu("membership.start_cpu", |r| 100.0 * r.start.traffic.cpu),
    seconds("membership.start_agreed", |r| r.start.agreed),
    bytes("membership.day_bytes", Reading::ordinary_day),
    seconds("membership.restart_agreed", |r| r.single_restarts.agreed),
    bytes("membership.rolling_bytes", |r| r.rolling.traffic.mean),
    bytes("membership.rolling_bytes_worst", |r| r.rolling.traffic.worst),
    cpu("membership.rolling_cpu", |r| 100.0 * r.rolling.traffic.cpu),
    seconds("membership.rolling_agreed", |r| r.rolling.agreed),
    bytes("membership.rack_gone_bytes", |r| r.rack_failed.traffic.mean),
    seconds("membership.rack_gone_agreed", |r| r.rack_failed.agreed),
    bytes("membership.rack_back_bytes", |r| r.rack_recovered.traffic.mean),
    seconds("membership.rack_back_agreed", |r| r.rack_recovered.agreed),
    bytes("membership.zone_gone_bytes", |r| r.zone_failed.traffic.mean),
    bytes("membership.zone_gone_bytes_worst", |r| r.zone_failed.traffic.worst),
    cpu("membership.zone_gone_cpu", |r| 100.0 * r.zone_failed.traffic.cpu),
    seconds("membership.zone_gone_agreed", |r| r.zone_failed.agreed),
    bytes("membership.zone_back_bytes", |r| r.zone_recovered.traffic.mean),
    seconds("membership.zone_back_agreed", |r| r.zone_recovered.agreed),
    bytes("membership.parted_bytes", |r| r.partitioned.mean),
    cpu("membership.parted_cpu", |r| 100.0 * r.partitioned.cpu),
    bytes("membership.joined_bytes", |r| r.healed.traffic.mean),
    bytes("membership.joined_bytes_worst", |r| r.healed.traffic.worst),
    cpu("membership.joined_cpu", |r| 100.0 * r.healed.traffic.cpu),
    seconds("membership.joined_agreed", |r| r.healed.agreed),
];

#[cfg(test)]
mod tests;
