//! The same partners and load against the decision module itself, in virtual time and without sockets: an hour of
//! silence and a hundred thousand endpoints take seconds.
//!
//! What sockets do is put in simply: a call takes a fixed way there and back, a partner that is gone refuses
//! connections, and a limit on a call ends it as a time-out. The host here is the relay's core in small: it keeps
//! drains and told waits from being broken by calls decided on before they were told, and gives up on what is
//! answered too late.
use slatethread::*;
use slatethread_wirehost::env;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use crate::arrivals::{Arrival, draw};
use crate::experiment::{Event as Happening, Experiment, RelayTable};
use crate::model::{At, Fate};
use crate::relay;
use crate::world::{Entry, State, World};

/// One way over loopback, and the connection's own.
const WAY: Duration = Duration::from_micros(200);
/// The module's clock starts at an hour, as the relay's does.
const START: Duration = Duration::from_secs(3600);
/// Time between rounds.
const STEP: Duration = Duration::from_millis(5);

/// What happens next.
enum Next {
    Arrival(u64, Arrival),
    Happen(Happening, usize, f64, bool),
    Told(Entry),
    /// A call reaches its partner.
    Reaches(Call),
    /// A call's outcome is back.
    Back(Call, Outcome),
    /// The relay stops waiting.
    LimitOver(Call),
    Timer(usize, u64),
    Round(usize),
    Tick,
}

/// Which call of which relay.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Call {
    relay: usize,
    msg: u64,
    attempt: u32,
}

/// A call that is out.
struct Out {
    attempt: u32,
    endpoint: EndpointId,
    dest: usize,
    endpoint_index: u32,
    sent: At,
    /// What its partner made of it, once it has arrived there.
    fate: Option<Fate>,
}

/// A relay as far as virtual time needs one.
struct Host {
    courier: Dispatcher,
    inbox: Vec<Event>,
    round_at: Option<At>,
    last_round: At,
    /// Module's number of each endpoint that was told: new for each name.
    numbers: HashMap<(u32, u32, u32), EndpointId>,
    endpoints: HashMap<EndpointId, (usize, u32)>,
    next: u32,
    /// Calls out, by message.
    out: HashMap<u64, Out>,
    /// The number of each message's next attempt.
    attempts: HashMap<u64, u32>,
    /// Messages that came since the last round and were not refused in this one.
    fresh: Vec<u64>,
}

pub struct Play {
    pub world: World,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<(At, u64)>>,
    events: HashMap<u64, Next>,
    count: u64,
    now: At,
}

/// The settings that the relay would be told, with what its own file adds to them.
pub(crate) fn settings(table: &RelayTable) -> Settings {
    let env = serde_json::from_value(relay::settings(table)).expect("the form that the relay reads");
    let (told, _) = env::settings(env).expect("sound settings");
    let cold_after = table.own.get("idle").and_then(|idle| idle.get("cold_after_s")?.as_integer());
    Settings { cold_after: cold_after.map(|s| s as u64 * 1_000_000_000), ..told }
}

impl Play {
    /// Plays an experiment with so many destinations listed.
    pub fn run(experiment: &Experiment, dests: usize, seed: u64) -> Play {
        let hosts = (0..experiment.relay.count).map(|n| Host {
            courier: Dispatcher::new(settings(&experiment.relay), seed ^ (n as u64) << 32),
            inbox: Vec::new(),
            round_at: None,
            last_round: At::ZERO,
            numbers: HashMap::new(),
            endpoints: HashMap::new(),
            next: 0,
            out: HashMap::new(),
            attempts: HashMap::new(),
            fresh: Vec::new(),
        });
        let mut play = Play {
            world: World::new(experiment, dests, seed),
            hosts: hosts.collect(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            count: 0,
            now: At::ZERO,
        };
        let list: Vec<_> = play.world.list().collect();
        for relay in 0..play.hosts.len() {
            let entries = list.iter().map(|e| play.hosts[relay].entry(e, START)).collect();
            play.hosts[relay].inbox.push(Event::List { scope: ListScope::Whole, entries });
            play.wake(relay);
        }
        let begin = Duration::from_secs(1);
        for (n, arrival) in draw(&experiment.load, experiment.seconds, dests, seed).into_iter().enumerate() {
            play.at(begin + arrival.at, Next::Arrival(n as u64 + 1, arrival));
        }
        for t in &experiment.troubles {
            let at = begin + Duration::from_secs_f64(t.at_s);
            play.at(at, Next::Happen(t.kind, t.dest, t.for_s, t.unlisted));
        }
        let end = begin + Duration::from_secs_f64(experiment.seconds) + Duration::from_secs(35);
        play.at(Duration::from_secs(1), Next::Tick);
        let late = Duration::from_secs_f64(experiment.list.late_s);
        while let Some(Reverse((at, id))) = play.queue.pop() {
            if at > end {
                break;
            }
            play.now = at;
            if let Some(next) = play.events.remove(&id) {
                play.happen(next, late);
            }
        }
        play.world.tick(end);
        play
    }

    /// What all couriers keep just now.
    pub fn kept(&self) -> RecordCounts {
        self.hosts[0].courier.record_counts()
    }

    fn at(&mut self, at: At, next: Next) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count)));
        self.events.insert(self.count, next);
    }

    fn wake(&mut self, relay: usize) {
        let host = &mut self.hosts[relay];
        if host.round_at.is_none() {
            let at = (host.last_round + STEP).max(self.now);
            host.round_at = Some(at);
            self.at(at, Next::Round(relay));
        }
    }

    fn tell(&mut self, relay: usize, event: Event) {
        self.hosts[relay].inbox.push(event);
        self.wake(relay);
    }

    fn happen(&mut self, next: Next, late: Duration) {
        let now = self.now;
        match next {
            Next::Tick => {
                self.world.tick(now);
                self.at(now + Duration::from_secs(1), Next::Tick);
            }
            Next::Arrival(msg, arrival) => {
                let relay = msg as usize % self.hosts.len();
                self.world.hand_in(msg, arrival.dest, now, arrival.patience, arrival.order);
                self.hosts[relay].fresh.push(msg);
                self.tell(
                    relay,
                    Event::Request(Request {
                        msg: MsgId(msg as u32),
                        dest: DestId(arrival.dest as u64),
                        class: ClassId(usize::from(arrival.order)),
                        tenant: None,
                        key: None,
                        time_left: arrival.patience.as_nanos() as u64,
                        retry: false,
                        reconnect: false,
                        previous_attempts: 0,
                        unconfirmed: None,
                        restored: false,
                        rules: None,
                    }),
                );
            }
            Next::Happen(event, dest, seconds, unlisted) => {
                for (at, entry) in self.world.apply_event(now, event, dest, seconds, unlisted) {
                    self.at(at + late, Next::Told(entry));
                }
            }
            Next::Told(entry) => {
                let draining = (entry.state == State::Draining).then_some(now);
                if entry.state != State::Gone {
                    self.world.checker.drain(entry.endpoint, draining);
                }
                for relay in 0..self.hosts.len() {
                    let listed = self.hosts[relay].entry(&entry, START);
                    self.tell(relay, Event::List { scope: ListScope::Patch, entries: vec![listed] });
                }
            }
            Next::Reaches(call) => self.reaches(call),
            Next::Back(call, outcome) => self.closed(call, outcome),
            Next::LimitOver(call) => self.closed(call, Outcome::Timeout),
            Next::Timer(relay, nonce) => self.tell(relay, Event::Timer { nonce }),
            Next::Round(relay) => self.round(relay),
        }
    }

    fn reaches(&mut self, call: Call) {
        let now = self.now;
        let Some(out) = self.hosts[call.relay].out(call) else { return };
        let (dest, endpoint_index) = (out.dest, out.endpoint_index);
        if self.world.partner(dest, endpoint_index).is_gone(now) {
            return self.at(now + WAY, Next::Back(call, Outcome::ConnectFailed));
        }
        let fate = self.world.call(call.msg, dest, endpoint_index, now, now);
        self.hosts[call.relay].out(call).expect("just seen").fate = Some(fate);
        let (after, outcome) = match fate {
            Fate::Served(after) => (after, Outcome::Ok),
            Fate::Failed => (Duration::ZERO, Outcome::Error),
            Fate::Full(wait) => {
                (Duration::ZERO, Outcome::Overloaded { retry_after: wait.map(|w| w.as_nanos() as u64) })
            }
            Fate::Lost => (Duration::ZERO, Outcome::Reset),
            Fate::Silent => return,
        };
        self.at(now + after + WAY, Next::Back(call, outcome));
    }

    /// A call is over for the relay, unless it was over before.
    fn closed(&mut self, call: Call, outcome: Outcome) {
        let now = self.now;
        let host = &mut self.hosts[call.relay];
        if host.out(call).is_none() {
            return;
        }
        let out = host.out.remove(&call.msg).expect("just seen");
        let heard = !matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        if let Some(fate) = out.fate {
            self.world.call_over(call.msg, out.dest, now, Some(fate).filter(|_| heard));
        }
        // What never arrived at its partner is not out there, and was never sent for all that it knows.
        let outcome = match outcome {
            Outcome::Timeout if out.fate.is_none() => Outcome::ConnectFailed,
            Outcome::Cancelled if out.fate.is_none() => Outcome::NotSent,
            outcome => outcome,
        };
        if outcome == Outcome::Ok {
            host.attempts.remove(&call.msg);
        }
        let event = Event::AttemptEnded {
            msg: MsgId(call.msg as u32),
            attempt: call.attempt,
            endpoint: out.endpoint,
            outcome,
            latency: (now - out.sent).as_nanos() as u64,
            message_done: outcome == Outcome::Ok,
            report: Report::default(),
        };
        self.tell(call.relay, event);
    }

    fn round(&mut self, relay: usize) {
        let now = self.now;
        let host = &mut self.hosts[relay];
        (host.round_at, host.last_round) = (None, now);
        let events = std::mem::take(&mut host.inbox);
        let mut actions = Vec::new();
        host.courier.on_round((START + now).as_nanos() as u64, &events, &mut actions);
        for action in actions {
            match action {
                Action::Send { msg, endpoint, timeout: limit } => {
                    let msg = u64::from(msg.0);
                    let host = &mut self.hosts[relay];
                    let next = host.attempts.entry(msg).or_default();
                    let call = Call { relay, msg, attempt: *next };
                    *next += 1;
                    let (dest, endpoint_index) = host.endpoints[&endpoint];
                    let out =
                        Out { attempt: call.attempt, endpoint, dest, endpoint_index, sent: now, fate: None };
                    host.out.insert(msg, out);
                    self.at(now + WAY, Next::Reaches(call));
                    self.at(now + Duration::from_nanos(limit), Next::LimitOver(call));
                }
                Action::Refuse { msg, .. } => self.ended(relay, u64::from(msg.0), true),
                Action::Fail { msg } => self.ended(relay, u64::from(msg.0), false),
                Action::Cancel { msg, attempt } => {
                    let msg = u64::from(msg.0);
                    // The relay closes the connection; what ran has run.
                    self.closed(Call { relay, msg, attempt }, Outcome::Cancelled);
                }
                Action::SetTimer { nonce, after } => {
                    self.at(now + Duration::from_nanos(after), Next::Timer(relay, nonce));
                }
                _ => {}
            }
        }
        let fresh = std::mem::take(&mut self.hosts[relay].fresh);
        // What was not refused in its first round is taken on.
        fresh.into_iter().for_each(|msg| self.world.answer(msg, now, Some(true)));
    }

    fn ended(&mut self, relay: usize, msg: u64, returned: bool) {
        let now = self.now;
        let host = &mut self.hosts[relay];
        host.attempts.remove(&msg);
        if let Some(index) = host.fresh.iter().position(|fresh| *fresh == msg) {
            host.fresh.remove(index);
            self.world.answer(msg, now, Some(false));
        } else {
            self.world.notice(msg, now, returned);
        }
    }
}

impl Host {
    /// A call, if it is still out.
    fn out(&mut self, call: Call) -> Option<&mut Out> {
        self.out.get_mut(&call.msg).filter(|out| out.attempt == call.attempt)
    }

    /// An entry as the module has it, with a number that is new for each name.
    fn entry(&mut self, entry: &Entry, start: Duration) -> Endpoint {
        let key = (entry.endpoint, entry.generation, entry.moved);
        let id = *self.numbers.entry(key).or_insert_with(|| {
            self.next += 1;
            EndpointId(self.next)
        });
        self.endpoints.insert(id, (entry.dest, entry.endpoint));
        Endpoint {
            id,
            dest: DestId(entry.dest as u64),
            zone: ZoneId(0),
            kind: KindId(0),
            condition: match entry.state {
                State::Serving => Condition::Active,
                State::Draining => Condition::Draining,
                State::Gone => Condition::Removed,
            },
            weight: entry.weight,
            started: entry.started.map_or(0, |at| (start + at).as_nanos() as u64),
        }
    }
}
