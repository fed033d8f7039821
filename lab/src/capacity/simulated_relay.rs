//! Simulation of one relay in virtual time, without sockets: the production decision module, the relay's rules for idle
//! connections, and destinations that serve, refuse, hang or signal overload.
//!
//! Relays share no state, so a fleet is simulated as one relay after another, and the measurement merges their records.
//! Sizes and measurements are defined by the callers.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use slatethread::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use crate::experiment::RelayTable;
use crate::model::At;
use crate::virtual_time;

/// Initial value of the decision module's clock: one hour, as in the relay.
const START: Duration = Duration::from_secs(3600);
/// Minimum time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(5);
/// Latency of a refused connection.
const REFUSAL_LATENCY: Duration = Duration::from_micros(400);
/// Latency of a call that is answered.
const ANSWER_LATENCY: Duration = Duration::from_millis(5);
/// Time within which a message must be delivered: that of notices in the lab's settings.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(6);
/// The message class in those settings whose messages may be delivered more than once.
const NOTICE: ClassId = ClassId(0);
/// Interval between the relay's checks for idle connections (`IDLE_CHECK_INTERVAL` in `relay/src/platform/carrier.rs`).
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How a destination reacts to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers the call.
    Serves,
    /// Refuses the connection.
    Refuses,
    /// Accepts the call and never answers.
    Hangs,
    /// Rejects the call as overloaded, with a retry-after time.
    Overloaded(Duration),
}

/// Parameters of a simulation.
pub struct Plan {
    /// Number of destinations, each with one endpoint.
    pub destinations: u32,
    /// Mean time between two messages for the same destination; arrivals are a Poisson process.
    pub mean_gap: Duration,
    /// Simulated duration.
    pub duration: Duration,
    /// Settings of the relay.
    pub settings: Settings,
    /// Number of messages between two checks of what the module remembers of a message's destination; 0 for no checks.
    pub memory_check_interval: u32,
    /// Ends the simulation once the relay considers this destination down.
    pub until_down: Option<u32>,
}

/// What the module still remembers of a destination when the next message for it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Memory {
    /// The full record: latency, demand, window, health.
    Full,
    /// A compact record: a limit, a wait, or the time of the last use.
    Compact,
    /// Only that the destination is down.
    Down,
    /// Nothing but the entry in the endpoint list.
    Nothing,
}

/// One call to a destination.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Time of the call.
    pub at: At,
    /// Destination of the call.
    pub destination: u32,
    /// Whether it needed a new connection.
    pub connects: bool,
    /// Whether the relay considered the destination down.
    pub known_down: bool,
}

/// A period in which the relay considered a destination down.
#[derive(Clone, Copy, Debug)]
pub struct DownPeriod {
    /// The destination.
    pub destination: u32,
    /// Start of the period.
    pub from: At,
    /// End of the period, or the end of the simulation if the destination was still considered down.
    pub until: At,
}

/// Record of a simulation.
#[derive(Debug, Default)]
pub struct Record {
    /// All calls in order of time.
    pub calls: Vec<Call>,
    /// Periods in which destinations were considered down.
    pub down_periods: Vec<DownPeriod>,
    /// Number of checked messages by what the module remembered of their destinations. The first message for a destination
    /// is not counted.
    pub memory: BTreeMap<Memory, usize>,
    /// Number of open connections at each second, including idle ones.
    pub open: Vec<usize>,
    /// Number of rounds.
    pub rounds: usize,
}

/// An event of the simulation.
enum SimulationEvent {
    Message,
    Answer { message: u32, attempt: u32, outcome: Outcome },
    Timeout { message: u32, attempt: u32 },
    Timer(u64),
    Round,
    Second,
}

/// A call in flight.
struct CallInFlight {
    attempt: u32,
    destination: u32,
    sent: At,
}

struct Relay<'a, B> {
    plan: &'a Plan,
    behaviour: B,
    dispatcher: Dispatcher,
    random: StdRng,
    inbox: Vec<Event>,
    round_due: bool,
    last_round: At,
    queue: BinaryHeap<Reverse<(At, u64)>>,
    events: HashMap<u64, SimulationEvent>,
    scheduled: u64,
    now: At,
    last_message: u32,
    in_flight: HashMap<u32, CallInFlight>,
    attempts: HashMap<u32, u32>,
    /// Times at which the idle connections became idle, by destination.
    idle: HashMap<u32, Vec<At>>,
    /// Time after which an idle connection is closed.
    idle_timeout: Duration,
    used: HashSet<u32>,
    down: HashMap<u32, At>,
    record: Record,
}

/// Settings of the lab's relays for a fleet of `relays`.
pub fn settings(relays: usize, idle_close: Duration) -> Settings {
    let idle_close_ms = idle_close.as_millis() as u64;
    virtual_time::settings(&RelayTable {
        count: relays,
        idle_close_ms,
        slots: 1024,
        held: 8192,
        ..RelayTable::default()
    })
}

/// Time for which the relay keeps an idle connection: a little less than the settings' `idle_close` (`idle_timeout` in
/// `relay/src/platform/carrier.rs`).
pub fn idle_timeout(idle_close: Duration) -> Duration {
    idle_close.saturating_sub((idle_close / 20).max(Duration::from_millis(400)))
}

/// Simulates a relay. `behaviour` is called for each call with the destination and the time.
pub fn simulate(plan: &Plan, seed: u64, behaviour: impl FnMut(u32, At) -> Behaviour) -> Record {
    let mut relay = Relay {
        plan,
        behaviour,
        dispatcher: Dispatcher::new(plan.settings.clone(), seed),
        random: StdRng::seed_from_u64(seed),
        inbox: Vec::new(),
        round_due: false,
        last_round: At::ZERO,
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        scheduled: 0,
        now: At::ZERO,
        last_message: 0,
        in_flight: HashMap::new(),
        attempts: HashMap::new(),
        idle: HashMap::new(),
        idle_timeout: idle_timeout(Duration::from_nanos(plan.settings.idle_close.unwrap_or(0))),
        used: HashSet::new(),
        down: HashMap::new(),
        record: Record::default(),
    };
    relay.run();
    relay.record
}

impl<B: FnMut(u32, At) -> Behaviour> Relay<'_, B> {
    fn run(&mut self) {
        let entries = (0..self.plan.destinations).map(entry).collect();
        self.push_event(Event::List { scope: ListScope::Whole, entries });
        self.schedule_next_message();
        self.schedule(Duration::from_secs(1), SimulationEvent::Second);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            let is_detected =
                self.plan.until_down.is_some_and(|destination| self.down.contains_key(&destination));
            if at > self.plan.duration || is_detected {
                break;
            }
            self.now = at;
            let next = self.events.remove(&number).expect("each event is scheduled once");
            self.handle(next);
        }
        let end = self.now;
        let ongoing =
            self.down.drain().map(|(destination, from)| DownPeriod { destination, from, until: end });
        self.record.down_periods.extend(ongoing);
        self.record.down_periods.sort_by_key(|period| (period.from, period.destination));
    }

    fn schedule(&mut self, at: At, next: SimulationEvent) {
        self.scheduled += 1;
        self.queue.push(Reverse((at, self.scheduled)));
        self.events.insert(self.scheduled, next);
    }

    /// Queues an event for the decision module and schedules a round if none is due.
    fn push_event(&mut self, event: Event) {
        self.inbox.push(event);
        if !self.round_due {
            self.round_due = true;
            self.schedule((self.last_round + ROUND_INTERVAL).max(self.now), SimulationEvent::Round);
        }
    }

    /// Schedules the next message after an exponentially distributed time.
    fn schedule_next_message(&mut self) {
        let rate = f64::from(self.plan.destinations) / self.plan.mean_gap.as_secs_f64();
        let gap = Exp::new(rate).expect("the rate is positive").sample(&mut self.random);
        self.schedule(self.now + Duration::from_secs_f64(gap), SimulationEvent::Message);
    }

    fn handle(&mut self, next: SimulationEvent) {
        match next {
            SimulationEvent::Message => self.accept_message(),
            SimulationEvent::Answer { message, attempt, outcome } => self.end_call(message, attempt, outcome),
            SimulationEvent::Timeout { message, attempt } => {
                self.end_call(message, attempt, Outcome::Timeout)
            }
            SimulationEvent::Timer(nonce) => self.push_event(Event::Timer { nonce }),
            SimulationEvent::Round => {
                self.round_due = false;
                self.round();
            }
            SimulationEvent::Second => {
                self.close_idle();
                let idle: usize = self.idle.values().map(Vec::len).sum();
                self.record.open.push(idle + self.in_flight.len());
                self.schedule(self.now + Duration::from_secs(1), SimulationEvent::Second);
            }
        }
    }

    /// A message for a random destination arrives.
    fn accept_message(&mut self) {
        self.last_message += 1;
        let message = self.last_message;
        let destination = self.random.random_range(0..self.plan.destinations);
        self.schedule_next_message();
        let used = !self.used.insert(destination);
        let checks_memory =
            self.plan.memory_check_interval > 0 && message.is_multiple_of(self.plan.memory_check_interval);
        let request = Event::Request(request(message, destination));
        if used && checks_memory {
            self.check_memory(destination, request);
        } else {
            self.push_event(request);
        }
    }

    /// Passes the message to the module in a round of its own, directly after a round that handles all other events, and
    /// compares the module's records before and after it.
    fn check_memory(&mut self, destination: u32, request: Event) {
        self.round();
        let before = self.dispatcher.record_counts();
        self.inbox.push(request);
        self.round();
        let after = self.dispatcher.record_counts();
        let memory = if after.full == before.full {
            Memory::Full
        } else if after.idle < before.idle {
            Memory::Compact
        } else if self.down.contains_key(&destination) {
            Memory::Down
        } else {
            Memory::Nothing
        };
        *self.record.memory.entry(memory).or_default() += 1;
    }

    fn round(&mut self) {
        self.last_round = self.now;
        self.record.rounds += 1;
        let events = std::mem::take(&mut self.inbox);
        let mut actions = Vec::new();
        self.dispatcher.on_round((START + self.now).as_nanos() as u64, &events, &mut actions);
        actions.into_iter().for_each(|action| self.execute(action));
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { msg, endpoint, timeout: limit } => {
                self.send(msg.0, endpoint.0 - 1, Duration::from_nanos(limit))
            }
            Action::Refuse { msg, .. } | Action::Fail { msg } => drop(self.attempts.remove(&msg.0)),
            Action::Cancel { msg, attempt } => self.end_call(msg.0, attempt, Outcome::Cancelled),
            Action::SetTimer { nonce, after } => {
                self.schedule(self.now + Duration::from_nanos(after), SimulationEvent::Timer(nonce));
            }
            Action::CloseIdle { endpoint } => drop(self.idle.remove(&(endpoint.0 - 1))),
            Action::Log { line } => self.observe_log(&line),
            _ => {}
        }
    }

    /// Detects from a log line of the module that it considers an endpoint down.
    fn observe_log(&mut self, line: &str) {
        let down = line.strip_prefix("endpoint ").and_then(|rest| rest.split_once(" down"));
        if let Some(endpoint) = down.and_then(|(number, _)| number.parse::<u32>().ok()) {
            self.down.entry(endpoint - 1).or_insert(self.now);
        }
    }

    fn send(&mut self, message: u32, destination: u32, limit: Duration) {
        let number = self.attempts.entry(message).or_default();
        let attempt = *number;
        *number += 1;
        let behaviour = (self.behaviour)(destination, self.now);
        let connects = !self.take_idle(destination);
        let known_down = self.down.contains_key(&destination);
        self.record.calls.push(Call { at: self.now, destination, connects, known_down });
        self.in_flight.insert(message, CallInFlight { attempt, destination, sent: self.now });
        let answer = match behaviour {
            Behaviour::Serves => Some((ANSWER_LATENCY, Outcome::Ok)),
            Behaviour::Refuses => Some((REFUSAL_LATENCY, Outcome::ConnectFailed)),
            Behaviour::Overloaded(wait) => {
                Some((ANSWER_LATENCY, Outcome::Overloaded { retry_after: Some(wait.as_nanos() as u64) }))
            }
            Behaviour::Hangs => None,
        };
        if let Some((after, outcome)) = answer {
            self.schedule(self.now + after, SimulationEvent::Answer { message, attempt, outcome });
        }
        self.schedule(self.now + limit, SimulationEvent::Timeout { message, attempt });
    }

    /// Ends a call. Does nothing if the call has already ended.
    fn end_call(&mut self, message: u32, attempt: u32, outcome: Outcome) {
        if self.in_flight.get(&message).is_none_or(|call| call.attempt != attempt) {
            return;
        }
        let call = self.in_flight.remove(&message).expect("the call is in flight");
        let answered = matches!(outcome, Outcome::Ok | Outcome::Overloaded { .. });
        if answered {
            self.idle.entry(call.destination).or_default().push(self.now);
        }
        if outcome == Outcome::Ok {
            self.attempts.remove(&message);
            if let Some(from) = self.down.remove(&call.destination) {
                let period = DownPeriod { destination: call.destination, from, until: self.now };
                self.record.down_periods.push(period);
            }
        }
        self.push_event(Event::AttemptEnded {
            msg: MsgId(message),
            attempt,
            endpoint: EndpointId(call.destination + 1),
            outcome,
            latency: (self.now - call.sent).as_nanos() as u64,
            message_done: outcome == Outcome::Ok,
            report: Report::default(),
        });
    }

    /// Removes the connection that became idle last, if one is still open. Returns whether there was one.
    fn take_idle(&mut self, destination: u32) -> bool {
        let (now, idle_timeout) = (self.now, self.idle_timeout);
        let Some(connections) = self.idle.get_mut(&destination) else { return false };
        connections.retain(|since| is_open(*since, idle_timeout, now));
        connections.pop().is_some()
    }

    /// Closes the connections whose idle time has expired.
    fn close_idle(&mut self) {
        let (now, idle_timeout) = (self.now, self.idle_timeout);
        self.idle.retain(|_, connections| {
            connections.retain(|since| is_open(*since, idle_timeout, now));
            !connections.is_empty()
        });
    }
}

/// Whether a connection that became idle at `since` is still open. It is closed at the relay's first check after its idle
/// timeout.
fn is_open(since: At, idle_timeout: Duration, now: At) -> bool {
    let checks = (since + idle_timeout).as_nanos().div_ceil(IDLE_CHECK_INTERVAL.as_nanos());
    now.as_nanos() < checks * IDLE_CHECK_INTERVAL.as_nanos()
}

/// The list entry of a destination's endpoint.
pub fn entry(destination: u32) -> Endpoint {
    Endpoint {
        id: EndpointId(destination + 1),
        dest: DestId(u64::from(destination)),
        zone: ZoneId(0),
        kind: KindId(0),
        condition: Condition::Active,
        weight: None,
        started: 0,
    }
}

/// A request to deliver a message to a destination.
pub fn request(message: u32, destination: u32) -> Request {
    Request {
        msg: MsgId(message),
        dest: DestId(u64::from(destination)),
        class: NOTICE,
        tenant: None,
        key: None,
        time_left: MESSAGE_TIMEOUT.as_nanos() as u64,
        retry: false,
        reconnect: false,
        previous_attempts: 0,
        unconfirmed: None,
        restored: false,
        rules: None,
    }
}
