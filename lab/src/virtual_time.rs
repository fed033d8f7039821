//! Runs an experiment against the decision module itself, in virtual time and without sockets. An hour
//! without traffic and a hundred thousand endpoints take seconds.
//!
//! Network behaviour is simplified: a call takes a fixed time in each direction, a partner that is down
//! refuses connections, and a call that exceeds its limit ends as a timeout. The host in this module is a
//! reduced version of the relay's core: it makes sure that calls decided earlier do not violate drains and
//! waits that arrived since, and ignores answers that arrive too late.
use slatethread::*;
use slatethread_wirehost::wire_settings;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use crate::arrivals::{Arrival, draw};
use crate::experiment::{Event as PartnerEvent, Experiment, RelayTable};
use crate::model::{At, CallOutcome};
use crate::relay;
use crate::world::{Entry, State, World};

/// One-way latency over loopback, including the connection's overhead.
const ONE_WAY: Duration = Duration::from_micros(200);
/// The module's clock starts at one hour, as it does in the relay.
const CLOCK_START: Duration = Duration::from_secs(3600);
/// Minimum time between rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(5);

/// A simulation event.
enum SimEvent {
    Arrival(u64, Arrival),
    Partner(PartnerEvent, usize, f64, bool),
    ListChange(Entry),
    /// A call arrives at its partner.
    CallArrives(Call),
    /// The result of a call arrives at the relay.
    CallReturns(Call, Outcome),
    /// The relay's time limit for a call expires.
    CallTimeout(Call),
    Timer(usize, u64),
    Round(usize),
    Tick,
}

/// Identifies a call of a relay.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Call {
    relay: usize,
    msg: u64,
    attempt: u32,
}

/// A call in flight.
struct InFlightCall {
    attempt: u32,
    endpoint: EndpointId,
    dest: usize,
    endpoint_index: u32,
    sent: At,
    /// The partner's response, once the call has arrived there.
    partner_outcome: Option<CallOutcome>,
}

/// A reduced relay for virtual time.
struct Host {
    dispatcher: Dispatcher,
    inbox: Vec<Event>,
    round_at: Option<At>,
    last_round: At,
    /// The module's id of each endpoint, by index, generation and number of moves.
    endpoint_ids: HashMap<(u32, u32, u32), EndpointId>,
    endpoints: HashMap<EndpointId, (usize, u32)>,
    last_endpoint_id: u32,
    /// Calls in flight, by message.
    in_flight: HashMap<u64, InFlightCall>,
    /// Number of the next attempt, by message.
    attempts: HashMap<u64, u32>,
    /// Messages that arrived since the last round and have not been refused.
    new_messages: Vec<u64>,
}

pub struct VirtualRun {
    pub world: World,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<(At, u64)>>,
    events: HashMap<u64, SimEvent>,
    scheduled: u64,
    now: At,
}

/// The settings that the relay would receive, with the additions of its own file.
pub(crate) fn settings(table: &RelayTable) -> Settings {
    let env = serde_json::from_value(relay::settings(table)).expect("settings deserialize");
    let (parsed, _) = wire_settings::translate(env).expect("valid settings");
    let cold_after = table.own.get("idle").and_then(|idle| idle.get("cold_after_s")?.as_integer());
    Settings { cold_after: cold_after.map(|s| s as u64 * 1_000_000_000), ..parsed }
}

impl VirtualRun {
    /// Runs an experiment with `dests` destinations listed.
    pub fn run(experiment: &Experiment, dests: usize, seed: u64) -> VirtualRun {
        let hosts = (0..experiment.relay.count).map(|n| Host {
            dispatcher: Dispatcher::new(settings(&experiment.relay), seed ^ (n as u64) << 32),
            inbox: Vec::new(),
            round_at: None,
            last_round: At::ZERO,
            endpoint_ids: HashMap::new(),
            endpoints: HashMap::new(),
            last_endpoint_id: 0,
            in_flight: HashMap::new(),
            attempts: HashMap::new(),
            new_messages: Vec::new(),
        });
        let mut run = VirtualRun {
            world: World::new(experiment, dests, seed),
            hosts: hosts.collect(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            scheduled: 0,
            now: At::ZERO,
        };
        let list: Vec<_> = run.world.list().collect();
        for relay in 0..run.hosts.len() {
            let entries = list.iter().map(|e| run.hosts[relay].entry(e, CLOCK_START)).collect();
            run.hosts[relay].inbox.push(Event::List { scope: ListScope::Whole, entries });
            run.schedule_round(relay);
        }
        let load_start = Duration::from_secs(1);
        for (n, arrival) in draw(&experiment.load, experiment.seconds, dests, seed).into_iter().enumerate() {
            run.schedule(load_start + arrival.at, SimEvent::Arrival(n as u64 + 1, arrival));
        }
        for t in &experiment.troubles {
            let at = load_start + Duration::from_secs_f64(t.at_s);
            run.schedule(at, SimEvent::Partner(t.kind, t.dest, t.for_s, t.unlisted));
        }
        let end = load_start + Duration::from_secs_f64(experiment.seconds) + Duration::from_secs(35);
        run.schedule(Duration::from_secs(1), SimEvent::Tick);
        let late = Duration::from_secs_f64(experiment.list.late_s);
        while let Some(Reverse((at, id))) = run.queue.pop() {
            if at > end {
                break;
            }
            run.now = at;
            if let Some(next) = run.events.remove(&id) {
                run.handle(next, late);
            }
        }
        run.world.tick(end);
        run
    }

    /// Number of records that the first relay's decision module currently keeps.
    pub fn record_counts(&self) -> RecordCounts {
        self.hosts[0].dispatcher.record_counts()
    }

    fn schedule(&mut self, at: At, next: SimEvent) {
        self.scheduled += 1;
        self.queue.push(Reverse((at, self.scheduled)));
        self.events.insert(self.scheduled, next);
    }

    fn schedule_round(&mut self, relay: usize) {
        let host = &mut self.hosts[relay];
        if host.round_at.is_none() {
            let at = (host.last_round + ROUND_INTERVAL).max(self.now);
            host.round_at = Some(at);
            self.schedule(at, SimEvent::Round(relay));
        }
    }

    fn push_event(&mut self, relay: usize, event: Event) {
        self.hosts[relay].inbox.push(event);
        self.schedule_round(relay);
    }

    fn handle(&mut self, next: SimEvent, late: Duration) {
        let now = self.now;
        match next {
            SimEvent::Tick => {
                self.world.tick(now);
                self.schedule(now + Duration::from_secs(1), SimEvent::Tick);
            }
            SimEvent::Arrival(msg, arrival) => {
                let relay = msg as usize % self.hosts.len();
                self.world.hand_in(msg, arrival.dest, now, arrival.patience, arrival.order);
                self.hosts[relay].new_messages.push(msg);
                self.push_event(
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
            SimEvent::Partner(event, dest, seconds, unlisted) => {
                for (at, entry) in self.world.apply_event(now, event, dest, seconds, unlisted) {
                    self.schedule(at + late, SimEvent::ListChange(entry));
                }
            }
            SimEvent::ListChange(entry) => {
                let draining = (entry.state == State::Draining).then_some(now);
                if entry.state != State::Removed {
                    self.world.checker.drain(entry.endpoint, draining);
                }
                for relay in 0..self.hosts.len() {
                    let listed = self.hosts[relay].entry(&entry, CLOCK_START);
                    self.push_event(relay, Event::List { scope: ListScope::Patch, entries: vec![listed] });
                }
            }
            SimEvent::CallArrives(call) => self.call_arrives(call),
            SimEvent::CallReturns(call, outcome) => self.call_ended(call, outcome),
            SimEvent::CallTimeout(call) => self.call_ended(call, Outcome::Timeout),
            SimEvent::Timer(relay, nonce) => self.push_event(relay, Event::Timer { nonce }),
            SimEvent::Round(relay) => self.round(relay),
        }
    }

    fn call_arrives(&mut self, call: Call) {
        let now = self.now;
        let Some(in_flight) = self.hosts[call.relay].in_flight_call(call) else { return };
        let (dest, endpoint_index) = (in_flight.dest, in_flight.endpoint_index);
        if self.world.partner(dest, endpoint_index).refuses_connections(now) {
            return self.schedule(now + ONE_WAY, SimEvent::CallReturns(call, Outcome::ConnectFailed));
        }
        let partner_outcome = self.world.call(call.msg, dest, endpoint_index, now, now);
        self.hosts[call.relay].in_flight_call(call).expect("checked above").partner_outcome =
            Some(partner_outcome);
        let (after, outcome) = match partner_outcome {
            CallOutcome::Served(after) => (after, Outcome::Ok),
            CallOutcome::Failed => (Duration::ZERO, Outcome::Error),
            CallOutcome::Overloaded(wait) => {
                (Duration::ZERO, Outcome::Overloaded { retry_after: wait.map(|w| w.as_nanos() as u64) })
            }
            CallOutcome::ConnectionLost => (Duration::ZERO, Outcome::Reset),
            CallOutcome::Unanswered => return,
        };
        self.schedule(now + after + ONE_WAY, SimEvent::CallReturns(call, outcome));
    }

    /// Ends a call at the relay, unless it has already ended.
    fn call_ended(&mut self, call: Call, outcome: Outcome) {
        let now = self.now;
        let host = &mut self.hosts[call.relay];
        if host.in_flight_call(call).is_none() {
            return;
        }
        let in_flight = host.in_flight.remove(&call.msg).expect("checked above");
        let answer_received = !matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        if let Some(partner_outcome) = in_flight.partner_outcome {
            self.world.call_ended(
                call.msg,
                in_flight.dest,
                now,
                Some(partner_outcome).filter(|_| answer_received),
            );
        }
        // A call that has not arrived at its partner was never sent as far as the partner is concerned.
        let outcome = match outcome {
            Outcome::Timeout if in_flight.partner_outcome.is_none() => Outcome::ConnectFailed,
            Outcome::Cancelled if in_flight.partner_outcome.is_none() => Outcome::NotSent,
            outcome => outcome,
        };
        if outcome == Outcome::Ok {
            host.attempts.remove(&call.msg);
        }
        let event = Event::AttemptEnded {
            msg: MsgId(call.msg as u32),
            attempt: call.attempt,
            endpoint: in_flight.endpoint,
            outcome,
            latency: (now - in_flight.sent).as_nanos() as u64,
            message_done: outcome == Outcome::Ok,
            report: Report::default(),
        };
        self.push_event(call.relay, event);
    }

    fn round(&mut self, relay: usize) {
        let now = self.now;
        let host = &mut self.hosts[relay];
        (host.round_at, host.last_round) = (None, now);
        let events = std::mem::take(&mut host.inbox);
        let mut actions = Vec::new();
        host.dispatcher.on_round((CLOCK_START + now).as_nanos() as u64, &events, &mut actions);
        for action in actions {
            match action {
                Action::Send { msg, endpoint, timeout: limit } => {
                    let msg = u64::from(msg.0);
                    let host = &mut self.hosts[relay];
                    let next = host.attempts.entry(msg).or_default();
                    let call = Call { relay, msg, attempt: *next };
                    *next += 1;
                    let (dest, endpoint_index) = host.endpoints[&endpoint];
                    let in_flight = InFlightCall {
                        attempt: call.attempt,
                        endpoint,
                        dest,
                        endpoint_index,
                        sent: now,
                        partner_outcome: None,
                    };
                    host.in_flight.insert(msg, in_flight);
                    self.schedule(now + ONE_WAY, SimEvent::CallArrives(call));
                    self.schedule(now + Duration::from_nanos(limit), SimEvent::CallTimeout(call));
                }
                Action::Refuse { msg, .. } => self.message_ended(relay, u64::from(msg.0), true),
                Action::Fail { msg } => self.message_ended(relay, u64::from(msg.0), false),
                Action::Cancel { msg, attempt } => {
                    let msg = u64::from(msg.0);
                    // The relay closes the connection; the call may have run.
                    self.call_ended(Call { relay, msg, attempt }, Outcome::Cancelled);
                }
                Action::SetTimer { nonce, after } => {
                    self.schedule(now + Duration::from_nanos(after), SimEvent::Timer(relay, nonce));
                }
                _ => {}
            }
        }
        let new_messages = std::mem::take(&mut self.hosts[relay].new_messages);
        // Messages that were not refused in their first round are accepted.
        new_messages.into_iter().for_each(|msg| self.world.answer(msg, now, Some(true)));
    }

    fn message_ended(&mut self, relay: usize, msg: u64, returned: bool) {
        let now = self.now;
        let host = &mut self.hosts[relay];
        host.attempts.remove(&msg);
        if let Some(index) = host.new_messages.iter().position(|known| *known == msg) {
            host.new_messages.remove(index);
            self.world.answer(msg, now, Some(false));
        } else {
            self.world.notice(msg, now, returned);
        }
    }
}

impl Host {
    /// Returns a call if it is still in flight.
    fn in_flight_call(&mut self, call: Call) -> Option<&mut InFlightCall> {
        self.in_flight.get_mut(&call.msg).filter(|in_flight| in_flight.attempt == call.attempt)
    }

    /// Converts a list entry for the module, with a new id for each new name or address.
    fn entry(&mut self, entry: &Entry, start: Duration) -> Endpoint {
        let key = (entry.endpoint, entry.generation, entry.moved);
        let id = *self.endpoint_ids.entry(key).or_insert_with(|| {
            self.last_endpoint_id += 1;
            EndpointId(self.last_endpoint_id)
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
                State::Removed => Condition::Removed,
            },
            weight: entry.weight,
            started: entry.started.map_or(0, |at| (start + at).as_nanos() as u64),
        }
    }
}
