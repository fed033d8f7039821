//! One relay in virtual time, without sockets: the production decision module, the relay's rules for idle connections,
//! and destinations that serve, refuse, hang or turn calls away.
//!
//! Relays share nothing today, so that a fleet is many of these, one after another, whose records are merged by whoever
//! measures. Owns no sizes and no measurement.
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

/// The module's clock starts at an hour, as the relay's does.
const START: Duration = Duration::from_secs(3600);
/// Time between rounds.
const STEP: Duration = Duration::from_millis(5);
/// A refused connection is heard of after so long.
const REFUSED_AFTER: Duration = Duration::from_micros(400);
/// A call that is served takes so long.
const SERVED_AFTER: Duration = Duration::from_millis(5);
/// How long a message may wait for its delivery, as notices in the laboratory's settings.
const PATIENCE: Duration = Duration::from_secs(6);
/// The class of message in those settings whose repeats are harmless.
const NOTICE: ClassId = ClassId(0);
/// How often the relay looks at idle connections (`relay/src/platform/carrier.rs`, `IDLE_LOOK`).
const IDLE_LOOK: Duration = Duration::from_millis(250);

/// What a destination makes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers it.
    Serves,
    /// Refuses the connection.
    Refuses,
    /// Takes it and never answers.
    Hangs,
    /// Turns it away and tells to come back after so long.
    TurnsAway(Duration),
}

/// What a relay is to do.
pub struct Plan {
    /// Destinations, with an endpoint each.
    pub destinations: u32,
    /// Mean time between two messages for the same destination; they come at random times (Poisson).
    pub mean_gap: Duration,
    /// How long messages come.
    pub time: Duration,
    /// What the relay is told.
    pub settings: Settings,
    /// Every so many messages the module's memory of the destination is looked at; 0 for never.
    pub look_every: u32,
    /// Ends the play once the relay knows this destination to be down.
    pub until_known: Option<u32>,
}

/// What the module still has of a destination when the next message for it comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Memory {
    /// The full record: latency, demand, window, health.
    Full,
    /// A compact record: a limit, a wait, or when it was used.
    Compact,
    /// Only that it was down.
    Down,
    /// Nothing but its entry in the list.
    Nothing,
}

/// A call to a destination.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// When.
    pub at: At,
    /// Which destination.
    pub destination: u32,
    /// Whether it needed a new connection.
    pub connects: bool,
    /// Whether the relay knew the destination to be down.
    pub known_down: bool,
}

/// A time in which the relay knew a destination to be down.
#[derive(Clone, Copy, Debug)]
pub struct Knowledge {
    /// Which destination.
    pub destination: u32,
    /// Since when.
    pub from: At,
    /// Until when; the end of the play if it had not changed.
    pub until: At,
}

/// What a relay did.
#[derive(Debug, Default)]
pub struct Record {
    /// Every call, in the order of time.
    pub calls: Vec<Call>,
    /// What it knew to be down.
    pub known: Vec<Knowledge>,
    /// What was remembered at a message, over those that were looked at; a destination's first message does not count.
    pub memory: BTreeMap<Memory, usize>,
    /// Connections open at each second, idle ones counted.
    pub open: Vec<usize>,
    /// Rounds that were played.
    pub rounds: usize,
}

enum Next {
    Message,
    Answer { message: u32, attempt: u32, outcome: Outcome },
    LimitOver { message: u32, attempt: u32 },
    Timer(u64),
    Round,
    Second,
}

/// A call that is out.
struct Out {
    attempt: u32,
    destination: u32,
    sent: At,
}

struct Relay<'a, B> {
    plan: &'a Plan,
    behaviour: B,
    courier: Dispatcher,
    random: StdRng,
    inbox: Vec<Event>,
    round_due: bool,
    last_round: At,
    queue: BinaryHeap<Reverse<(At, u64)>>,
    events: HashMap<u64, Next>,
    scheduled: u64,
    now: At,
    last_message: u32,
    out: HashMap<u32, Out>,
    attempts: HashMap<u32, u32>,
    /// When each idle connection became idle, by destination.
    idle: HashMap<u32, Vec<At>>,
    /// How long a connection may stand idle.
    kept: Duration,
    used: HashSet<u32>,
    down: HashMap<u32, At>,
    record: Record,
}

/// The settings of the laboratory's relays, for so many of them.
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

/// How long the relay keeps an idle connection: a little less than the settings' `idle_close`
/// (`relay/src/platform/carrier.rs`, `idle`).
pub fn idle_time(idle_close: Duration) -> Duration {
    idle_close.saturating_sub((idle_close / 20).max(Duration::from_millis(400)))
}

/// Plays a relay. `behaviour` is asked for each call: which destination, and when.
pub fn play(plan: &Plan, seed: u64, behaviour: impl FnMut(u32, At) -> Behaviour) -> Record {
    let mut relay = Relay {
        plan,
        behaviour,
        courier: Dispatcher::new(plan.settings.clone(), seed),
        random: StdRng::seed_from_u64(seed),
        inbox: Vec::new(),
        round_due: false,
        last_round: At::ZERO,
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        scheduled: 0,
        now: At::ZERO,
        last_message: 0,
        out: HashMap::new(),
        attempts: HashMap::new(),
        idle: HashMap::new(),
        kept: idle_time(Duration::from_nanos(plan.settings.idle_close.unwrap_or(0))),
        used: HashSet::new(),
        down: HashMap::new(),
        record: Record::default(),
    };
    relay.play();
    relay.record
}

impl<B: FnMut(u32, At) -> Behaviour> Relay<'_, B> {
    fn play(&mut self) {
        let entries = (0..self.plan.destinations).map(entry).collect();
        self.tell(Event::List { scope: ListScope::Whole, entries });
        self.draw_next_message();
        self.schedule(Duration::from_secs(1), Next::Second);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            let found = self.plan.until_known.is_some_and(|destination| self.down.contains_key(&destination));
            if at > self.plan.time || found {
                break;
            }
            self.now = at;
            let next = self.events.remove(&number).expect("scheduled once");
            self.happen(next);
        }
        let end = self.now;
        let known = self.down.drain().map(|(destination, from)| Knowledge { destination, from, until: end });
        self.record.known.extend(known);
        self.record.known.sort_by_key(|known| (known.from, known.destination));
    }

    fn schedule(&mut self, at: At, next: Next) {
        self.scheduled += 1;
        self.queue.push(Reverse((at, self.scheduled)));
        self.events.insert(self.scheduled, next);
    }

    fn tell(&mut self, event: Event) {
        self.inbox.push(event);
        if !self.round_due {
            self.round_due = true;
            self.schedule((self.last_round + STEP).max(self.now), Next::Round);
        }
    }

    fn draw_next_message(&mut self) {
        let rate = f64::from(self.plan.destinations) / self.plan.mean_gap.as_secs_f64();
        let gap = Exp::new(rate).expect("a rate above zero").sample(&mut self.random);
        self.schedule(self.now + Duration::from_secs_f64(gap), Next::Message);
    }

    fn happen(&mut self, next: Next) {
        match next {
            Next::Message => self.message(),
            Next::Answer { message, attempt, outcome } => self.closed(message, attempt, outcome),
            Next::LimitOver { message, attempt } => self.closed(message, attempt, Outcome::Timeout),
            Next::Timer(nonce) => self.tell(Event::Timer { nonce }),
            Next::Round => {
                self.round_due = false;
                self.round();
            }
            Next::Second => {
                self.close_idle();
                let idle: usize = self.idle.values().map(Vec::len).sum();
                self.record.open.push(idle + self.out.len());
                self.schedule(self.now + Duration::from_secs(1), Next::Second);
            }
        }
    }

    fn message(&mut self) {
        self.last_message += 1;
        let message = self.last_message;
        let destination = self.random.random_range(0..self.plan.destinations);
        self.draw_next_message();
        let used = !self.used.insert(destination);
        let looks = self.plan.look_every > 0 && message.is_multiple_of(self.plan.look_every);
        let request = Event::Request(request(message, destination));
        if used && looks {
            self.look(destination, request);
        } else {
            self.tell(request);
        }
    }

    /// Plays the message in a round of its own, right after one that leaves nothing else to be done in it, and compares
    /// what the module keeps before and after.
    fn look(&mut self, destination: u32, request: Event) {
        self.round();
        let before = self.courier.record_counts();
        self.inbox.push(request);
        self.round();
        let after = self.courier.record_counts();
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
        self.courier.on_round((START + self.now).as_nanos() as u64, &events, &mut actions);
        actions.into_iter().for_each(|action| self.act(action));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { msg, endpoint, timeout: limit } => {
                self.send(msg.0, endpoint.0 - 1, Duration::from_nanos(limit))
            }
            Action::Refuse { msg, .. } | Action::Fail { msg } => drop(self.attempts.remove(&msg.0)),
            Action::Cancel { msg, attempt } => self.closed(msg.0, attempt, Outcome::Cancelled),
            Action::SetTimer { nonce, after } => {
                self.schedule(self.now + Duration::from_nanos(after), Next::Timer(nonce));
            }
            Action::CloseIdle { endpoint } => drop(self.idle.remove(&(endpoint.0 - 1))),
            Action::Log { line } => self.hear(&line),
            _ => {}
        }
    }

    /// The module says in its log when it takes an endpoint to be down.
    fn hear(&mut self, line: &str) {
        let told = line.strip_prefix("endpoint ").and_then(|rest| rest.split_once(" down"));
        if let Some(endpoint) = told.and_then(|(number, _)| number.parse::<u32>().ok()) {
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
        self.out.insert(message, Out { attempt, destination, sent: self.now });
        let answer = match behaviour {
            Behaviour::Serves => Some((SERVED_AFTER, Outcome::Ok)),
            Behaviour::Refuses => Some((REFUSED_AFTER, Outcome::ConnectFailed)),
            Behaviour::TurnsAway(wait) => {
                Some((SERVED_AFTER, Outcome::Overloaded { retry_after: Some(wait.as_nanos() as u64) }))
            }
            Behaviour::Hangs => None,
        };
        if let Some((after, outcome)) = answer {
            self.schedule(self.now + after, Next::Answer { message, attempt, outcome });
        }
        self.schedule(self.now + limit, Next::LimitOver { message, attempt });
    }

    /// A call is over, unless it was over before.
    fn closed(&mut self, message: u32, attempt: u32, outcome: Outcome) {
        if self.out.get(&message).is_none_or(|out| out.attempt != attempt) {
            return;
        }
        let out = self.out.remove(&message).expect("just seen");
        let answered = matches!(outcome, Outcome::Ok | Outcome::Overloaded { .. });
        if answered {
            self.idle.entry(out.destination).or_default().push(self.now);
        }
        if outcome == Outcome::Ok {
            self.attempts.remove(&message);
            if let Some(from) = self.down.remove(&out.destination) {
                let known = Knowledge { destination: out.destination, from, until: self.now };
                self.record.known.push(known);
            }
        }
        self.tell(Event::AttemptEnded {
            msg: MsgId(message),
            attempt,
            endpoint: EndpointId(out.destination + 1),
            outcome,
            latency: (self.now - out.sent).as_nanos() as u64,
            message_done: outcome == Outcome::Ok,
            report: Report::default(),
        });
    }

    /// Takes the connection that became idle last, if one is still open.
    fn take_idle(&mut self, destination: u32) -> bool {
        let (now, kept) = (self.now, self.kept);
        let Some(connections) = self.idle.get_mut(&destination) else { return false };
        connections.retain(|since| is_open(*since, kept, now));
        connections.pop().is_some()
    }

    fn close_idle(&mut self) {
        let (now, kept) = (self.now, self.kept);
        self.idle.retain(|_, connections| {
            connections.retain(|since| is_open(*since, kept, now));
            !connections.is_empty()
        });
    }
}

/// Whether a connection is still open that became idle at `since`: it is closed when the relay looks next after its time.
fn is_open(since: At, kept: Duration, now: At) -> bool {
    let looks = (since + kept).as_nanos().div_ceil(IDLE_LOOK.as_nanos());
    now.as_nanos() < looks * IDLE_LOOK.as_nanos()
}

/// A destination's endpoint as the list has it.
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

/// A message for a destination.
pub fn request(message: u32, destination: u32) -> Request {
    Request {
        msg: MsgId(message),
        dest: DestId(u64::from(destination)),
        class: NOTICE,
        tenant: None,
        key: None,
        time_left: PATIENCE.as_nanos() as u64,
        retry: false,
        reconnect: false,
        previous_attempts: 0,
        unconfirmed: None,
        restored: false,
        rules: None,
    }
}
