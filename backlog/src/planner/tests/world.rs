//! A world in virtual time for the planner: a store with one thread that may stall or fail, destinations that take
//! messages at a rate and may be down, and clients. It checks that nothing is lost or doubled, that the order within
//! a lane is kept and that the slots are not exceeded.
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::message::{ClassNumber, Lane};
use crate::planner::{Action, Event, LaneCount, Outcome, Planner, Settings, StoreFault};

/// Time of an operation of the store, and of each message in it.
const OPERATION: Duration = Duration::from_micros(100);
const MESSAGE: Duration = Duration::from_micros(2);

pub fn lane(destination: u64, class: u16) -> Lane {
    Lane { destination, class: ClassNumber(class) }
}

pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A message; its number is its place in the order of arrival.
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
    pub life: Duration,
    pub until: Duration,
}

enum Operation {
    Append(Message),
    Fetch(Lane, u32),
    PutBack(u64, Vec<Message>),
    ReadExpired(u32),
    Probe,
}

enum Happening {
    Arrive(Clients),
    Done(Operation),
    Serve(u64),
    Tick,
}

/// How a message ended, and when.
#[derive(Clone, Copy, Debug)]
pub struct End {
    pub message: Message,
    pub at: Duration,
    pub delivered: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    pub at: Duration,
    pub lane: Lane,
    /// Messages that the destination has before it.
    pub ahead: usize,
}

pub struct World {
    pub planner: Planner,
    pub now: Duration,
    pub endpoints: BTreeMap<u64, Endpoint>,
    pub ends: Vec<End>,
    pub refusals: Vec<Refusal>,
    /// Stalls of the store: when, and how long.
    pub stalls: Vec<(Duration, Duration)>,
    pub faults: Vec<(Duration, Duration, StoreFault)>,
    pub expiry_reads: u64,
    slots: u64,
    happenings: BTreeMap<(Duration, u64), Happening>,
    happened: u64,
    store: BTreeMap<Lane, BTreeMap<u64, Message>>,
    deadlines: BTreeSet<(Duration, u64, Lane)>,
    store_free: Duration,
    arriving: BTreeMap<u64, Message>,
    taken: u64,
    last_delivered: BTreeMap<Lane, u64>,
    ended: BTreeSet<u64>,
    numbers: u64,
    tick: Duration,
}

impl World {
    pub fn new(settings: Settings) -> World {
        World {
            slots: settings.slots(),
            planner: Planner::new(settings),
            now: Duration::ZERO,
            endpoints: BTreeMap::new(),
            ends: Vec::new(),
            refusals: Vec::new(),
            stalls: Vec::new(),
            faults: Vec::new(),
            expiry_reads: 0,
            happenings: BTreeMap::new(),
            happened: 0,
            store: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            store_free: Duration::ZERO,
            arriving: BTreeMap::new(),
            taken: 0,
            last_delivered: BTreeMap::new(),
            ended: BTreeSet::new(),
            numbers: 0,
            tick: Duration::MAX,
        }
    }

    /// Messages that an earlier process left on disk; `open` tells the planner.
    pub fn stored(&mut self, lane: Lane, count: u64, deadline: Duration) {
        for _ in 0..count {
            let message = self.message(lane, deadline);
            self.taken += 1;
            self.insert(message);
        }
    }

    pub fn open(&mut self) {
        let lanes =
            self.store.iter().map(|(lane, all)| LaneCount { lane: *lane, messages: all.len() as u64 });
        let lanes = lanes.collect();
        let earliest_deadline_in = self.deadlines.first().map(|(end, ..)| *end);
        self.tell(Event::Opened { lanes, earliest_deadline_in });
    }

    pub fn clients(&mut self, from: Duration, clients: Clients) {
        self.schedule(from, Happening::Arrive(clients));
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
        while let Some(entry) = self.happenings.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), happening) = entry.remove_entry();
            self.now = at;
            match happening {
                Happening::Arrive(clients) => self.arrive(clients),
                Happening::Done(operation) => self.done(operation),
                Happening::Serve(destination) => self.serve(destination),
                Happening::Tick if at == self.tick => {
                    self.tick = Duration::MAX;
                    self.tell(Event::Tick);
                }
                Happening::Tick => {}
            }
        }
        self.now = until;
    }

    /// Every message that was taken on has ended once or is still held.
    pub fn check_nothing_lost(&self) {
        let on_disk: usize = self.store.values().map(BTreeMap::len).sum();
        let in_memory: usize = self.endpoints.values().map(|endpoint| endpoint.memory.len()).sum();
        let moving: usize = self.happenings.values().map(moving).sum();
        assert_eq!(self.taken, (on_disk + in_memory + moving + self.ends.len()) as u64);
        assert_eq!(self.planner.on_disk(), on_disk as u64, "the planner's count of what is on disk");
    }

    pub fn held(&self) -> u64 {
        self.taken - self.ends.len() as u64
    }

    pub fn delivered(&self, destination: u64, class: Option<u16>) -> impl Iterator<Item = &End> {
        let ends = self.ends.iter().filter(|end| end.delivered);
        ends.filter(move |end| {
            let lane = end.message.lane;
            lane.destination == destination && class.is_none_or(|class| lane.class.0 == class)
        })
    }

    fn message(&mut self, lane: Lane, deadline: Duration) -> Message {
        self.numbers += 1;
        Message { number: self.numbers, lane, arrived: self.now, deadline }
    }

    fn insert(&mut self, message: Message) {
        self.deadlines.insert((message.deadline, message.number, message.lane));
        self.store.entry(message.lane).or_default().insert(message.number, message);
    }

    fn schedule(&mut self, at: Duration, happening: Happening) {
        self.happened += 1;
        self.happenings.insert((at, self.happened), happening);
    }

    fn tell(&mut self, event: Event) {
        for action in self.planner.handle(self.now, event) {
            self.act(action);
        }
        assert!(self.planner.slots_used() <= self.slots, "{} slots used", self.planner.slots_used());
        if let Some(due) = self.planner.next_deadline().map(|due| due.max(self.now))
            && due < self.tick
        {
            self.tick = due;
            self.schedule(due, Happening::Tick);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::AdmitToMemory { arrival } => {
                let message = self.arriving.remove(&arrival).unwrap();
                self.taken += 1;
                self.enter(message);
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
                // Between attempts that fail, none is out.
                let out =
                    usize::from(endpoint.serving && !endpoint.is_down(self.now)).min(endpoint.memory.len());
                let returned = Vec::from(endpoint.memory.split_off(out));
                self.operate(returned.len() as u32, Operation::PutBack(destination, returned));
            }
            Action::ReadExpired { limit } => self.operate(limit, Operation::ReadExpired(limit)),
            Action::ProbeStore => self.operate(1, Operation::Probe),
            Action::HealthChanged { .. } => {}
        }
    }

    /// The store's one thread does one operation after the other.
    fn operate(&mut self, messages: u32, operation: Operation) {
        let begin = self.now.max(self.store_free);
        let mut end = begin + OPERATION + MESSAGE * messages;
        if let Some((at, length)) = self.stalls.first().copied().filter(|(at, _)| *at <= end) {
            self.stalls.remove(0);
            end = end.max(at) + length;
        }
        self.store_free = end;
        self.schedule(end, Happening::Done(operation));
    }

    fn done(&mut self, operation: Operation) {
        let fault = self.faults.iter().find(|(from, to, _)| (*from..*to).contains(&self.now));
        let fault = fault.map(|(.., fault)| *fault);
        match operation {
            Operation::Append(message) => {
                let lane = message.lane;
                if let Some(fault) = fault {
                    return self.tell(Event::StoreFailed { lane, count: 1, fault });
                }
                self.taken += 1;
                self.insert(message);
                self.tell(Event::Stored { lane, count: 1 });
            }
            Operation::Fetch(lane, limit) => {
                let waiting = self.store.entry(lane).or_default();
                let first: Vec<u64> = waiting.keys().take(limit as usize).copied().collect();
                let fetched: Vec<Message> =
                    first.iter().filter_map(|number| waiting.remove(number)).collect();
                let (count, exhausted) = (fetched.len() as u32, waiting.is_empty());
                for message in fetched {
                    self.deadlines.remove(&(message.deadline, message.number, lane));
                    self.enter(message);
                }
                self.tell(Event::Fetched { lane, count, exhausted });
            }
            Operation::PutBack(destination, messages) => {
                let mut returned: BTreeMap<ClassNumber, u32> = BTreeMap::new();
                for message in messages {
                    *returned.entry(message.lane.class).or_default() += 1;
                    self.insert(message);
                }
                self.tell(Event::Evicted { destination, returned: returned.into_iter().collect() });
            }
            Operation::ReadExpired(limit) => self.expire(limit),
            Operation::Probe => {
                if fault.is_none() {
                    self.tell(Event::StoreRecovered);
                }
            }
        }
    }

    fn expire(&mut self, limit: u32) {
        self.expiry_reads += 1;
        let over = |(end, ..): &(Duration, u64, Lane)| *end <= self.now;
        let read: Vec<_> = self.deadlines.iter().copied().take_while(over).take(limit as usize).collect();
        let mut ended: BTreeMap<Lane, u64> = BTreeMap::new();
        for entry in read {
            self.deadlines.remove(&entry);
            let message = self.store.get_mut(&entry.2).and_then(|all| all.remove(&entry.1)).unwrap();
            *ended.entry(entry.2).or_default() += 1;
            self.end(message, false);
        }
        let first = self.deadlines.first().map(|(end, ..)| *end);
        let ended = ended.into_iter().map(|(lane, messages)| LaneCount { lane, messages }).collect();
        let more = first.is_some_and(|end| end <= self.now);
        let earliest_deadline_in = first.map(|end| end.saturating_sub(self.now));
        self.tell(Event::ExpiredRead { expired: ended, more, earliest_deadline_in });
    }

    fn arrive(&mut self, clients: Clients) {
        let message = self.message(clients.lane, self.now + clients.life);
        self.arriving.insert(message.number, message);
        let next = self.now + clients.every;
        if next < clients.until {
            self.schedule(next, Happening::Arrive(clients));
        }
        let Message { number: arrival, lane, .. } = message;
        self.tell(Event::Arrived { arrival, lane, time_left: clients.life });
    }

    fn enter(&mut self, message: Message) {
        let destination = message.lane.destination;
        let endpoint = self.endpoints.get_mut(&destination).unwrap();
        endpoint.memory.push_back(message);
        if !endpoint.serving {
            endpoint.serving = true;
            let at = self.now + endpoint.interval;
            self.schedule(at, Happening::Serve(destination));
        }
    }

    fn serve(&mut self, destination: u64) {
        let now = self.now;
        let endpoint = self.endpoints.get_mut(&destination).unwrap();
        let mut ended: Vec<Message> =
            endpoint.memory.iter().filter(|message| message.deadline <= now).copied().collect();
        endpoint.memory.retain(|message| message.deadline > now);
        let down = endpoint.is_down(now) && !endpoint.memory.is_empty();
        let delivered = if down { None } else { endpoint.memory.pop_front() };
        let pause = if down { endpoint.interval.max(Duration::from_millis(100)) } else { endpoint.interval };
        endpoint.serving = !endpoint.memory.is_empty();
        if endpoint.serving {
            self.schedule(now + pause, Happening::Serve(destination));
        }
        for message in ended.drain(..) {
            self.end(message, false);
            self.tell(Event::LeftMemory { destination, outcome: Outcome::Ended });
        }
        if let Some(message) = delivered {
            self.end(message, true);
            self.tell(Event::LeftMemory { destination, outcome: Outcome::Delivered });
        } else if down {
            self.tell(Event::AttemptFailed { destination });
        }
    }

    fn end(&mut self, message: Message, delivered: bool) {
        assert!(self.ended.insert(message.number), "{message:?} ended twice");
        if delivered {
            let last = self.last_delivered.insert(message.lane, message.number);
            assert!(last < Some(message.number), "{message:?} overtaken by {last:?}");
        }
        self.ends.push(End { message, at: self.now, delivered });
    }
}

/// Messages that were taken on and are neither on disk nor in memory.
fn moving(happening: &Happening) -> usize {
    match happening {
        Happening::Done(Operation::PutBack(_, messages)) => messages.len(),
        _ => 0,
    }
}
