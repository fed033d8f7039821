//! A simulation in virtual time around the planner: a single-threaded store that may stall or fail, destinations
//! that accept messages at a rate and may be down, and clients. It checks that no message is lost or completed
//! twice, that the order within each lane is kept, and that the slots are not exceeded.
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::message::{ClassNumber, Lane};
use crate::planner::{Action, Event, LaneCount, Outcome, Planner, Settings, StoreFault};

/// Duration of a store operation, and the additional time for each message in it.
const OPERATION_TIME: Duration = Duration::from_micros(100);
const MESSAGE_TIME: Duration = Duration::from_micros(2);

pub fn lane(destination: u64, class: u16) -> Lane {
    Lane { destination, class: ClassNumber(class) }
}

pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A message. Numbers increase in the order of arrival.
#[derive(Clone, Copy, Debug)]
pub struct Message {
    pub number: u64,
    pub lane: Lane,
    pub arrived: Duration,
    pub deadline: Duration,
}

#[derive(Default)]
pub struct Endpoint {
    pub interval: Duration,
    pub down: Vec<(Duration, Duration)>,
    memory: VecDeque<Message>,
    serving: bool,
}

impl Endpoint {
    pub fn new(rate: f64) -> Endpoint {
        Endpoint { interval: seconds(1.0 / rate), ..Endpoint::default() }
    }

    pub fn down(mut self, from: f64, to: f64) -> Endpoint {
        self.down.push((seconds(from), seconds(to)));
        self
    }

    fn is_down(&self, now: Duration) -> bool {
        self.down.iter().any(|(from, to)| (*from..*to).contains(&now))
    }
}

#[derive(Clone, Copy)]
pub struct Clients {
    pub lane: Lane,
    pub every: Duration,
    pub ttl: Duration,
    pub until: Duration,
}

enum Operation {
    Append(Message),
    Fetch(Lane, u32),
    PutBack(u64, Vec<Message>),
    ReadExpired(u32),
    Probe,
}

enum ScheduledEvent {
    Arrive(Clients),
    Done(Operation),
    Serve(u64),
    Tick,
}

/// How a message completed, and when.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    pub message: Message,
    pub at: Duration,
    pub delivered: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    pub at: Duration,
    pub lane: Lane,
    /// Messages ahead of it at the destination.
    pub ahead: usize,
}

pub struct Simulation {
    pub planner: Planner,
    pub now: Duration,
    pub endpoints: BTreeMap<u64, Endpoint>,
    pub completions: Vec<Completion>,
    pub refusals: Vec<Refusal>,
    /// Stalls of the store: start and length.
    pub stalls: Vec<(Duration, Duration)>,
    pub faults: Vec<(Duration, Duration, StoreFault)>,
    pub expiry_reads: u64,
    slots: u64,
    events: BTreeMap<(Duration, u64), ScheduledEvent>,
    last_event_number: u64,
    store: BTreeMap<Lane, BTreeMap<u64, Message>>,
    deadlines: BTreeSet<(Duration, u64, Lane)>,
    store_free_at: Duration,
    arriving: BTreeMap<u64, Message>,
    accepted: u64,
    last_delivered: BTreeMap<Lane, u64>,
    completed: BTreeSet<u64>,
    last_number: u64,
    tick: Duration,
}

impl Simulation {
    pub fn new(settings: Settings) -> Simulation {
        Simulation {
            slots: settings.slots(),
            planner: Planner::new(settings),
            now: Duration::ZERO,
            endpoints: BTreeMap::new(),
            completions: Vec::new(),
            refusals: Vec::new(),
            stalls: Vec::new(),
            faults: Vec::new(),
            expiry_reads: 0,
            events: BTreeMap::new(),
            last_event_number: 0,
            store: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            store_free_at: Duration::ZERO,
            arriving: BTreeMap::new(),
            accepted: 0,
            last_delivered: BTreeMap::new(),
            completed: BTreeSet::new(),
            last_number: 0,
            tick: Duration::MAX,
        }
    }

    /// Stores messages left by an earlier process; `open` reports them to the planner.
    pub fn stored(&mut self, lane: Lane, count: u64, deadline: Duration) {
        for _ in 0..count {
            let message = self.message(lane, deadline);
            self.accepted += 1;
            self.insert(message);
        }
    }

    pub fn open(&mut self) {
        let lanes =
            self.store.iter().map(|(lane, all)| LaneCount { lane: *lane, messages: all.len() as u64 });
        let lanes = lanes.collect();
        let earliest_deadline_in = self.deadlines.first().map(|(deadline, ..)| *deadline);
        self.notify_planner(Event::Opened { lanes, earliest_deadline_in });
    }

    pub fn clients(&mut self, from: Duration, clients: Clients) {
        self.schedule(from, ScheduledEvent::Arrive(clients));
    }

    pub fn stall_every(&mut self, every: f64, longest: f64, until: f64) {
        let mut random: u64 = 7;
        let mut at = every;
        while at < until {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let share = (random >> 33) as f64 / (1_u64 << 31) as f64;
            self.stalls.push((seconds(at), seconds(longest * (0.3 + 0.7 * share))));
            at += every * (0.5 + share);
        }
    }

    pub fn run(&mut self, until: Duration) {
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            match event {
                ScheduledEvent::Arrive(clients) => self.arrive(clients),
                ScheduledEvent::Done(operation) => self.done(operation),
                ScheduledEvent::Serve(destination) => self.serve(destination),
                ScheduledEvent::Tick if at == self.tick => {
                    self.tick = Duration::MAX;
                    self.notify_planner(Event::Tick);
                }
                ScheduledEvent::Tick => {}
            }
        }
        self.now = until;
    }

    /// Every accepted message has completed once or is still on disk, in memory or in transit.
    pub fn check_nothing_lost(&self) {
        let on_disk: usize = self.store.values().map(BTreeMap::len).sum();
        let in_memory: usize = self.endpoints.values().map(|endpoint| endpoint.memory.len()).sum();
        let in_transit: usize = self.events.values().map(in_transit).sum();
        assert_eq!(self.accepted, (on_disk + in_memory + in_transit + self.completions.len()) as u64);
        assert_eq!(self.planner.on_disk(), on_disk as u64, "the planner's count of what is on disk");
    }

    pub fn outstanding(&self) -> u64 {
        self.accepted - self.completions.len() as u64
    }

    pub fn delivered(&self, destination: u64, class: Option<u16>) -> impl Iterator<Item = &Completion> {
        let completions = self.completions.iter().filter(|completion| completion.delivered);
        completions.filter(move |completion| {
            let lane = completion.message.lane;
            lane.destination == destination && class.is_none_or(|class| lane.class.0 == class)
        })
    }

    fn message(&mut self, lane: Lane, deadline: Duration) -> Message {
        self.last_number += 1;
        Message { number: self.last_number, lane, arrived: self.now, deadline }
    }

    fn insert(&mut self, message: Message) {
        self.deadlines.insert((message.deadline, message.number, message.lane));
        self.store.entry(message.lane).or_default().insert(message.number, message);
    }

    fn schedule(&mut self, at: Duration, event: ScheduledEvent) {
        self.last_event_number += 1;
        self.events.insert((at, self.last_event_number), event);
    }

    fn notify_planner(&mut self, event: Event) {
        for action in self.planner.handle(self.now, event) {
            self.perform(action);
        }
        assert!(self.planner.slots_used() <= self.slots, "{} slots used", self.planner.slots_used());
        if let Some(due) = self.planner.next_deadline().map(|due| due.max(self.now))
            && due < self.tick
        {
            self.tick = due;
            self.schedule(due, ScheduledEvent::Tick);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::AdmitToMemory { arrival } => {
                let message = self.arriving.remove(&arrival).unwrap();
                self.accepted += 1;
                self.add_to_memory(message);
            }
            Action::Spill { arrival, lane } => {
                let message = self.arriving.remove(&arrival).unwrap();
                assert_eq!(message.lane, lane);
                self.operate(1, Operation::Append(message));
            }
            Action::Refuse { arrival, retry_after, .. } => {
                assert!(!retry_after.is_zero());
                let lane = self.arriving.remove(&arrival).unwrap().lane;
                let stored = self.store.get(&lane).map_or(0, BTreeMap::len);
                let ahead = stored + self.endpoints[&lane.destination].memory.len();
                self.refusals.push(Refusal { at: self.now, lane, ahead });
            }
            Action::Fetch { lane, limit } => self.operate(limit, Operation::Fetch(lane, limit)),
            Action::Evict { destination } => {
                let endpoint = self.endpoints.get_mut(&destination).unwrap();
                // While attempts fail, none is in flight between them.
                let in_flight =
                    usize::from(endpoint.serving && !endpoint.is_down(self.now)).min(endpoint.memory.len());
                let returned = Vec::from(endpoint.memory.split_off(in_flight));
                self.operate(returned.len() as u32, Operation::PutBack(destination, returned));
            }
            Action::ReadExpired { limit } => self.operate(limit, Operation::ReadExpired(limit)),
            Action::ProbeStore => self.operate(1, Operation::Probe),
            Action::HealthChanged { .. } => {}
        }
    }

    /// Schedules a store operation. The store's thread executes one after the other.
    fn operate(&mut self, messages: u32, operation: Operation) {
        let begin = self.now.max(self.store_free_at);
        let mut end = begin + OPERATION_TIME + MESSAGE_TIME * messages;
        if let Some((at, length)) = self.stalls.first().copied().filter(|(at, _)| *at <= end) {
            self.stalls.remove(0);
            end = end.max(at) + length;
        }
        self.store_free_at = end;
        self.schedule(end, ScheduledEvent::Done(operation));
    }

    fn done(&mut self, operation: Operation) {
        let fault = self.faults.iter().find(|(from, to, _)| (*from..*to).contains(&self.now));
        let fault = fault.map(|(.., fault)| *fault);
        match operation {
            Operation::Append(message) => {
                let lane = message.lane;
                if let Some(fault) = fault {
                    return self.notify_planner(Event::StoreFailed { lane, count: 1, fault });
                }
                self.accepted += 1;
                self.insert(message);
                self.notify_planner(Event::Stored { lane, count: 1 });
            }
            Operation::Fetch(lane, limit) => {
                let waiting = self.store.entry(lane).or_default();
                let first: Vec<u64> = waiting.keys().take(limit as usize).copied().collect();
                let fetched: Vec<Message> =
                    first.iter().filter_map(|number| waiting.remove(number)).collect();
                let (count, exhausted) = (fetched.len() as u32, waiting.is_empty());
                for message in fetched {
                    self.deadlines.remove(&(message.deadline, message.number, lane));
                    self.add_to_memory(message);
                }
                self.notify_planner(Event::Fetched { lane, count, exhausted });
            }
            Operation::PutBack(destination, messages) => {
                let mut returned: BTreeMap<ClassNumber, u32> = BTreeMap::new();
                for message in messages {
                    *returned.entry(message.lane.class).or_default() += 1;
                    self.insert(message);
                }
                self.notify_planner(Event::Evicted { destination, returned: returned.into_iter().collect() });
            }
            Operation::ReadExpired(limit) => self.expire(limit),
            Operation::Probe => {
                if fault.is_none() {
                    self.notify_planner(Event::StoreRecovered);
                }
            }
        }
    }

    fn expire(&mut self, limit: u32) {
        self.expiry_reads += 1;
        let is_due = |(deadline, ..): &(Duration, u64, Lane)| *deadline <= self.now;
        let read: Vec<_> = self.deadlines.iter().copied().take_while(is_due).take(limit as usize).collect();
        let mut expired: BTreeMap<Lane, u64> = BTreeMap::new();
        for entry in read {
            self.deadlines.remove(&entry);
            let message = self.store.get_mut(&entry.2).and_then(|all| all.remove(&entry.1)).unwrap();
            *expired.entry(entry.2).or_default() += 1;
            self.complete(message, false);
        }
        let first = self.deadlines.first().map(|(deadline, ..)| *deadline);
        let expired = expired.into_iter().map(|(lane, messages)| LaneCount { lane, messages }).collect();
        let more = first.is_some_and(|deadline| deadline <= self.now);
        let earliest_deadline_in = first.map(|deadline| deadline.saturating_sub(self.now));
        self.notify_planner(Event::ExpiredRead { expired, more, earliest_deadline_in });
    }

    fn arrive(&mut self, clients: Clients) {
        let message = self.message(clients.lane, self.now + clients.ttl);
        self.arriving.insert(message.number, message);
        let next = self.now + clients.every;
        if next < clients.until {
            self.schedule(next, ScheduledEvent::Arrive(clients));
        }
        let Message { number: arrival, lane, .. } = message;
        self.notify_planner(Event::Arrived { arrival, lane, time_left: clients.ttl });
    }

    fn add_to_memory(&mut self, message: Message) {
        let destination = message.lane.destination;
        let endpoint = self.endpoints.get_mut(&destination).unwrap();
        endpoint.memory.push_back(message);
        if !endpoint.serving {
            endpoint.serving = true;
            let at = self.now + endpoint.interval;
            self.schedule(at, ScheduledEvent::Serve(destination));
        }
    }

    fn serve(&mut self, destination: u64) {
        let now = self.now;
        let endpoint = self.endpoints.get_mut(&destination).unwrap();
        let mut expired: Vec<Message> =
            endpoint.memory.iter().filter(|message| message.deadline <= now).copied().collect();
        endpoint.memory.retain(|message| message.deadline > now);
        let down = endpoint.is_down(now) && !endpoint.memory.is_empty();
        let delivered = if down { None } else { endpoint.memory.pop_front() };
        let pause = if down { endpoint.interval.max(Duration::from_millis(100)) } else { endpoint.interval };
        endpoint.serving = !endpoint.memory.is_empty();
        if endpoint.serving {
            self.schedule(now + pause, ScheduledEvent::Serve(destination));
        }
        for message in expired.drain(..) {
            self.complete(message, false);
            self.notify_planner(Event::LeftMemory { destination, outcome: Outcome::Ended });
        }
        if let Some(message) = delivered {
            self.complete(message, true);
            self.notify_planner(Event::LeftMemory { destination, outcome: Outcome::Delivered });
        } else if down {
            self.notify_planner(Event::AttemptFailed { destination });
        }
    }

    fn complete(&mut self, message: Message, delivered: bool) {
        assert!(self.completed.insert(message.number), "{message:?} completed twice");
        if delivered {
            let last = self.last_delivered.insert(message.lane, message.number);
            assert!(last < Some(message.number), "{message:?} overtaken by {last:?}");
        }
        self.completions.push(Completion { message, at: self.now, delivered });
    }
}

/// Number of accepted messages that are neither on disk nor in memory.
fn in_transit(event: &ScheduledEvent) -> usize {
    match event {
        ScheduledEvent::Done(Operation::PutBack(_, messages)) => messages.len(),
        _ => 0,
    }
}
