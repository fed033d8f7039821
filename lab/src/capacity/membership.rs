//! Membership: what instances send and compute to know of one another, and how long it takes until they agree, at rest and
//! through the failures of the planned size. The instances are hollow: the relay's own state machine
//! ([`onyxglade_instances::Swim`]), many in this process, in virtual time.
//!
//! Bytes are those of datagrams and of frames on links, without the headers of IP, UDP and TCP. Processor time is the
//! state machines' alone, without the system calls of a real socket. Instances disagree as long as one of those that run
//! does not see the present process of another that runs, or sees one that does not.
use onyxglade_instances::simulation::membership::Network;
use onyxglade_instances::simulation::{address, secs};
use onyxglade_instances::{At, Change, Input, Member};
use std::thread;

use super::fit::Law;
use super::simulated_instances::{self, CpuMeter, MemorySubject, PLANNED, Quantity};
use super::{CapacityError, Measured, Options};

const ZONES: usize = 4;
const REGIONS: usize = 2;
/// A rack holds this part of all instances: 20 of 650.
const RACKS: usize = 32;
/// Seconds of the first moments after an event, over which bytes are counted.
const FIRST_MOMENTS: f64 = 20.0;
/// Seconds at rest over which bytes are counted: four of the longest period, that of whole views.
const REST: f64 = 40.0;
/// Seconds after an event until traffic counts as that at rest.
const SETTLING: f64 = 20.0;
/// Restarts in an ordinary day.
const RESTARTS_A_DAY: usize = 100;
/// Single restarts that are played apart from one another, and seconds from one to the next.
const SINGLE_RESTARTS: usize = 3;
const SINGLE_RESTART_PERIOD: f64 = 20.0;
/// Seconds from one restart to the next in a rolling restart, and from the end of a process to the next.
const ROLLING_PERIOD: f64 = 1.0;
const RESTART_TAKES: f64 = 2.0;
/// Seconds for which the regions are parted. In the quick run it is a shorter while, in which the regions take each other for
/// gone as well; nobody is forgotten in either.
const PARTED: f64 = 300.0;
const PARTED_QUICK: f64 = 60.0;
/// Seconds between two looks at whether all agree, and after which it is given up.
const LOOK: f64 = 0.25;
const GIVEN_UP: f64 = 600.0;
const SECONDS_A_DAY: f64 = 86_400.0;

/// What instances sent and computed in a span.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Traffic {
    /// Bytes a second of an instance, on average.
    mean: f64,
    /// Bytes a second of the one that sent the most.
    worst: f64,
    /// Those of the mean that went over links.
    links: f64,
    /// Datagrams a second of an instance, on average.
    datagrams: f64,
    /// Processor time a second of an instance, in seconds, on average.
    cpu: f64,
}

/// An event, and what it led to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Event {
    /// In the first moments after it.
    traffic: Traffic,
    /// Seconds until all agreed.
    agreed: f64,
}

/// All that is read at one size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Reading {
    start: Event,
    rest: Traffic,
    /// Resident bytes that an instance added.
    memory: f64,
    single_restarts: Event,
    rolling: Event,
    rack_gone: Event,
    rack_back: Event,
    zone_gone: Event,
    zone_back: Event,
    parted: Traffic,
    joined: Event,
}

/// Measures at each number of instances.
pub fn measure(options: &Options) -> Result<Measured, CapacityError> {
    let counts = simulated_instances::instances(options);
    // Each in a thread of its own, of which the processor time is told by itself.
    let read: Result<Vec<_>, CapacityError> = thread::scope(|scope| {
        let begun: Vec<_> = counts.iter().map(|count| scope.spawn(|| read(*count, options))).collect();
        begun.into_iter().map(|thread| thread.join().expect("a play does not panic")).collect()
    });
    let read: Vec<_> = counts.iter().copied().zip(read?).collect();
    Ok(Measured { series: simulated_instances::series("instances", &QUANTITIES, &read), figures: Vec::new() })
}

fn read(count: usize, options: &Options) -> Result<Reading, CapacityError> {
    let mut reading = play(count, options)?;
    reading.memory = f64::NAN;
    // Beyond that the views of all take more memory than this run may.
    if count <= PLANNED {
        reading.memory = MemorySubject::Views.measure_in_child(count, options.seed)?.bytes()? / count as f64;
    }
    Ok(reading)
}

/// Resident bytes that instances and their views of one another add, once they have started and are at rest.
pub(super) fn resident_bytes(count: usize, seed: u64) -> u64 {
    simulated_instances::resident_bytes_of(|| {
        let mut network = Network::new(count, seed);
        network.described = described;
        (0..count).for_each(|n| network.start(n));
        network.run(FIRST_MOMENTS + SETTLING);
        network.changes = Vec::new();
        network
    })
}

fn play(count: usize, options: &Options) -> Result<Reading, CapacityError> {
    let mut fleet = Fleet::new(count, options.seed);
    let all: Vec<_> = (0..count).collect();
    let rack: Vec<_> = all[count - (count / RACKS).max(1)..].to_vec();
    let zone: Vec<_> = all.iter().copied().filter(|n| zone_of(*n) == ZONES - 1).collect();
    let start = fleet.event(|fleet| fleet.start(&all))?;
    fleet.run(SETTLING);
    let rest = fleet.during(|fleet| fleet.run(REST));
    if count > PLANNED {
        fleet.check()?;
        return Ok(Reading { start, rest, ..Reading::NOT_PLAYED });
    }
    let single_restarts = fleet.single_restarts()?;
    let rolling = fleet.rolling_restart()?;
    let mut gone_and_back = |who: &[usize]| {
        fleet.run(SETTLING);
        let gone = fleet.event(|fleet| fleet.kill(who))?;
        fleet.run(SETTLING);
        Ok::<_, CapacityError>((gone, fleet.event(|fleet| fleet.start(who))?))
    };
    let (rack_gone, rack_back) = gone_and_back(&rack)?;
    let (zone_gone, zone_back) = gone_and_back(&zone)?;
    fleet.run(SETTLING);
    fleet.part(true);
    let parted_for = if options.quick { PARTED_QUICK } else { PARTED };
    let parted = fleet.during(|fleet| fleet.run(parted_for));
    let joined = fleet.event(|fleet| fleet.part(false))?;
    fleet.check()?;
    Ok(Reading {
        start,
        rest,
        memory: 0.0,
        single_restarts,
        rolling,
        rack_gone,
        rack_back,
        zone_gone,
        zone_back,
        parted,
        joined,
    })
}

fn region_of(n: usize) -> usize {
    n % REGIONS
}

/// Zones 0 and 2 are one region's, 1 and 3 the other's.
fn zone_of(n: usize) -> usize {
    n % ZONES
}

/// Texts as long as an operator's are.
fn described(n: usize) -> Member {
    Member {
        name: format!("relay-{n:04}"),
        zone: format!("region-{}-zone-{}", region_of(n), zone_of(n)),
        region: format!("region-{}", region_of(n)),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        capacity: 400,
        ..Member::at(address(n))
    }
}

/// A network of instances, and who of them sees whom.
struct Fleet {
    network: Network,
    /// The life in which an instance is seen by another, by viewer and viewed; none where it is not.
    seen: Vec<Vec<Option<u64>>>,
    /// The life of each present process.
    lives: Vec<Option<u64>>,
    /// Pairs of which the first sees the second as it is not.
    wrong: usize,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let mut network = Network::new(count, seed);
        network.described = described;
        Fleet { network, seen: vec![vec![None; count]; count], lives: vec![None; count], wrong: 0 }
    }

    fn is_wrong(&self, viewer: usize, viewed: usize) -> bool {
        let right = match (self.lives[viewed], self.seen[viewer][viewed]) {
            // A process that refuted its end has a later life than that which it started with.
            (Some(life), Some(seen)) => seen >= life,
            (None, None) => true,
            _ => false,
        };
        viewer != viewed && self.lives[viewer].is_some() && !right
    }

    /// How many pairs with an instance are wrong.
    fn wrong_with(&self, n: usize) -> usize {
        let others = 0..self.lives.len();
        others.map(|m| usize::from(self.is_wrong(n, m)) + usize::from(self.is_wrong(m, n))).sum()
    }

    /// Another process of an instance runs, or none.
    fn live(&mut self, n: usize, life: Option<u64>) {
        self.wrong -= self.wrong_with(n);
        self.lives[n] = life;
        self.seen[n].fill(None);
        self.wrong += self.wrong_with(n);
    }

    fn start(&mut self, who: &[usize]) {
        for &n in who {
            self.network.start(n);
            let life = self.network.swims[n].as_ref().expect("started").me().life;
            self.live(n, Some(life));
        }
    }

    /// Processes end without a word.
    fn kill(&mut self, who: &[usize]) {
        for &n in who {
            self.network.swims[n] = None;
            self.live(n, None);
        }
    }

    /// A process ends as on SIGTERM.
    fn leave(&mut self, n: usize) {
        self.network.give(n, Input::Leave);
        self.kill(&[n]);
    }

    /// Parts the regions, or joins them.
    fn part(&mut self, parted: bool) {
        for (n, side) in self.network.side.iter_mut().enumerate() {
            *side = if parted { region_of(n) as u32 } else { 0 };
        }
    }

    fn run(&mut self, seconds: f64) {
        self.network.run(seconds);
        self.look();
    }

    /// Takes up what changed in the views.
    fn look(&mut self) {
        for (_, viewer, change) in std::mem::take(&mut self.network.changes) {
            let (viewed, seen) = match change {
                Change::Up(member) | Change::Again(member) => (member.address, Some(member.life)),
                Change::Down(member) => (member.address, None),
                Change::Refuted(_) => continue,
            };
            let viewed =
                onyxglade_instances::simulation::number(viewed).expect("an address of the simulation");
            self.wrong -= usize::from(self.is_wrong(viewer, viewed));
            self.seen[viewer][viewed] = seen;
            self.wrong += usize::from(self.is_wrong(viewer, viewed));
        }
    }

    /// Plays something and counts what was sent and computed meanwhile.
    fn during(&mut self, play: impl FnOnce(&mut Fleet)) -> Traffic {
        let (from, before, meter) = (self.network.now, self.sent(), CpuMeter::start());
        play(self);
        let after = self.sent();
        let seconds = (self.network.now - from).as_secs_f64();
        let running = self.lives.iter().flatten().count().max(1) as f64;
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
            linked: network.linked[n],
            datagrams: network.datagrams[n],
            datagram_bytes: network.datagram_bytes[n],
            handling: network.handling[n],
        };
        (0..self.lives.len()).map(of).collect()
    }

    /// Plays an event, its first moments, and until all agree.
    fn event(&mut self, happens: impl FnOnce(&mut Fleet)) -> Result<Event, CapacityError> {
        let from = self.network.now;
        let mut agreed = None;
        let traffic = self.during(|fleet| {
            happens(fleet);
            agreed = fleet.look_until_agreed(from, FIRST_MOMENTS);
            let left = (from + secs(FIRST_MOMENTS)).saturating_sub(fleet.network.now);
            fleet.run(left.as_secs_f64());
        });
        let agreed = match agreed {
            Some(agreed) => agreed,
            None => self.until_agreed(from)?,
        };
        Ok(Event { traffic, agreed })
    }

    /// Seconds since a time until all agree, if they do within so many.
    fn look_until_agreed(&mut self, from: At, within: f64) -> Option<f64> {
        loop {
            self.run(LOOK);
            let passed = (self.network.now - from).as_secs_f64();
            if self.wrong == 0 || passed >= within {
                return (self.wrong == 0).then_some(passed);
            }
        }
    }

    fn until_agreed(&mut self, from: At) -> Result<f64, CapacityError> {
        self.look_until_agreed(from, GIVEN_UP).ok_or_else(|| {
            let reason = format!("{} pairs of views are wrong after {GIVEN_UP} s", self.wrong);
            CapacityError::Measurement { subject: "membership", reason }
        })
    }

    /// Restarts one by one, each once the one before is long over.
    fn single_restarts(&mut self) -> Result<Event, CapacityError> {
        let mut slowest = 0.0_f64;
        let last = self.lives.len() - 1;
        let traffic = self.during(|fleet| {
            for n in (0..SINGLE_RESTARTS).map(|turn| last - turn) {
                fleet.leave(n);
                fleet.run(RESTART_TAKES);
                let from = fleet.network.now;
                fleet.start(&[n]);
                let agreed = fleet.look_until_agreed(from, SINGLE_RESTART_PERIOD - RESTART_TAKES);
                let end = from + secs(SINGLE_RESTART_PERIOD - RESTART_TAKES);
                fleet.run(end.saturating_sub(fleet.network.now).as_secs_f64());
                slowest = slowest.max(agreed.unwrap_or(SINGLE_RESTART_PERIOD));
            }
        });
        let agreed = match self.wrong {
            0 => slowest,
            _ => SINGLE_RESTART_PERIOD + self.until_agreed(self.network.now)?,
        };
        Ok(Event { traffic, agreed })
    }

    /// A day's restarts one after another, in the shortest order: each begins before the one before is back.
    fn rolling_restart(&mut self) -> Result<Event, CapacityError> {
        let count = self.lives.len();
        let traffic = self.during(|fleet| {
            let mut away = std::collections::VecDeque::new();
            for turn in 0..RESTARTS_A_DAY {
                let n = turn % count;
                fleet.leave(n);
                away.push_back(n);
                fleet.run(ROLLING_PERIOD);
                if away.len() as f64 * ROLLING_PERIOD >= RESTART_TAKES {
                    let back = away.pop_front().expect("one is away");
                    fleet.start(&[back]);
                }
            }
            fleet.start(&Vec::from(away));
        });
        let from = self.network.now;
        Ok(Event { traffic, agreed: self.until_agreed(from)? })
    }

    /// The views as the instances themselves give them agree, too.
    fn check(&self) -> Result<(), CapacityError> {
        match self.network.wrong().len() {
            0 => Ok(()),
            wrong => {
                let reason = format!("{wrong} pairs of views are wrong though all changes were told");
                Err(CapacityError::Measurement { subject: "membership", reason })
            }
        }
    }
}

/// What one instance has sent and computed so far.
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
    const NOT_PLAYED: Traffic =
        Traffic { mean: f64::NAN, worst: f64::NAN, links: f64::NAN, datagrams: f64::NAN, cpu: f64::NAN };
}

impl Event {
    const NOT_PLAYED: Event = Event { traffic: Traffic::NOT_PLAYED, agreed: f64::NAN };
}

impl Reading {
    /// Beyond the planned size only the start and rest are played, so that the run ends in time.
    const NOT_PLAYED: Reading = Reading {
        start: Event::NOT_PLAYED,
        rest: Traffic::NOT_PLAYED,
        memory: f64::NAN,
        single_restarts: Event::NOT_PLAYED,
        rolling: Event::NOT_PLAYED,
        rack_gone: Event::NOT_PLAYED,
        rack_back: Event::NOT_PLAYED,
        zone_gone: Event::NOT_PLAYED,
        zone_back: Event::NOT_PLAYED,
        parted: Traffic::NOT_PLAYED,
        joined: Event::NOT_PLAYED,
    };

    /// Bytes a second of an instance over an ordinary day: rest, and what each restart adds.
    fn ordinary_day(&self) -> f64 {
        let played = SINGLE_RESTARTS as f64 / (SINGLE_RESTARTS as f64 * SINGLE_RESTART_PERIOD);
        let ordinary = RESTARTS_A_DAY as f64 / SECONDS_A_DAY;
        self.rest.mean + (self.single_restarts.traffic.mean - self.rest.mean) * ordinary / played
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
    bytes("membership.rest_bytes", |r| r.rest.mean),
    bytes("membership.rest_bytes_worst", |r| r.rest.worst),
    bytes("membership.rest_link_bytes", |r| r.rest.links),
    Quantity {
        name: "membership.rest_datagrams",
        unit: "datagrams/s an instance",
        law: Law::Line,
        of: |r| r.rest.datagrams,
    },
    cpu("membership.rest_cpu", |r| 100.0 * r.rest.cpu),
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
    bytes("membership.rack_gone_bytes", |r| r.rack_gone.traffic.mean),
    seconds("membership.rack_gone_agreed", |r| r.rack_gone.agreed),
    bytes("membership.rack_back_bytes", |r| r.rack_back.traffic.mean),
    seconds("membership.rack_back_agreed", |r| r.rack_back.agreed),
    bytes("membership.zone_gone_bytes", |r| r.zone_gone.traffic.mean),
    bytes("membership.zone_gone_bytes_worst", |r| r.zone_gone.traffic.worst),
    cpu("membership.zone_gone_cpu", |r| 100.0 * r.zone_gone.traffic.cpu),
    seconds("membership.zone_gone_agreed", |r| r.zone_gone.agreed),
    bytes("membership.zone_back_bytes", |r| r.zone_back.traffic.mean),
    seconds("membership.zone_back_agreed", |r| r.zone_back.agreed),
    bytes("membership.parted_bytes", |r| r.parted.mean),
    cpu("membership.parted_cpu", |r| 100.0 * r.parted.cpu),
    bytes("membership.joined_bytes", |r| r.joined.traffic.mean),
    bytes("membership.joined_bytes_worst", |r| r.joined.traffic.worst),
    cpu("membership.joined_cpu", |r| 100.0 * r.joined.traffic.cpu),
    seconds("membership.joined_agreed", |r| r.joined.agreed),
];

#[cfg(test)]
mod tests;
