//! A small test environment: one or more destinations, and helpers to drive a dispatcher through rounds.
#![allow(dead_code)]
use slatethread::*;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1000 * MS;

pub struct World {
    pub dispatcher: Dispatcher,
    pub now: Nanos,
    pub log: Vec<Action>,
}

pub fn class(effect: Effect) -> Class {
    Class {
        target_latency: 2 * SECOND,
        lifetime: 20 * SECOND,
        effect,
        dedup_scope: DedupScope::All,
        dedup_window: Some(6 * SECOND),
        late_worth: Some(0.3),
        ..Class::default()
    }
}

pub fn settings() -> Settings {
    Settings {
        relays: Some(1),
        round_interval: Some(5 * MS),
        classes: vec![class(Effect::Safe), class(Effect::Deduplicated), class(Effect::Unsafe)],
        kinds: vec![Kind::default()],
        slots: Some(8),
        max_open_messages: Some(40),
        max_attempts: Some(6),
        max_backoff: Some(2 * SECOND),
        refusals_carry_backoff: true,
        rules: Rules {
            warm_up_time: Some(10 * SECOND),
            cold_share: Some(0.2),
            overload_factor: Some(2.0),
            overload_time: Some(2 * SECOND),
            list_poll_interval: Some(10 * SECOND),
            order_settle_time: Some(SECOND),
        },
        ..Settings::default()
    }
}

pub fn endpoint(id: u32, dest: u64) -> Endpoint {
    Endpoint {
        id: EndpointId(id),
        dest: DestId(dest),
        zone: ZoneId(0),
        kind: KindId(0),
        condition: Condition::Active,
        weight: None,
        started: 0,
    }
}

pub fn request(msg: u32, dest: u64, class: usize) -> Request {
    Request {
        msg: MsgId(msg),
        dest: DestId(dest),
        class: ClassId(class),
        tenant: None,
        key: None,
        time_left: 20 * SECOND,
        retry: false,
        reconnect: false,
        previous_attempts: 0,
        unconfirmed: None,
        restored: false,
        rules: None,
    }
}

pub fn attempt_ended(msg: u32, attempt: u32, endpoint: u32, outcome: Outcome, latency: Nanos) -> Event {
    Event::AttemptEnded {
        msg: MsgId(msg),
        attempt,
        endpoint: EndpointId(endpoint),
        outcome,
        latency,
        message_done: outcome == Outcome::Ok,
        report: Report::default(),
    }
}

impl World {
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        let mut world = World { dispatcher: Dispatcher::new(settings, 1), now: SECOND, log: Vec::new() };
        world.round(0, &[Event::List { scope: ListScope::Whole, entries: endpoints }]);
        world
    }

    /// Advances the clock and runs a round; returns its actions without timers and log lines.
    pub fn round(&mut self, after: Nanos, events: &[Event]) -> Vec<Action> {
        self.now += after;
        let mut actions = Vec::new();
        self.dispatcher.on_round(self.now, events, &mut actions);
        actions.retain(|a| !matches!(a, Action::SetTimer { .. } | Action::Log { .. }));
        self.log.extend(actions.iter().cloned());
        actions
    }

    pub fn submit(&mut self, msg: u32, dest: u64, class: usize) -> Vec<Action> {
        self.round(0, &[Event::Request(request(msg, dest, class))])
    }

    pub fn end_call(&mut self, after: Nanos, msg: u32, attempt: u32, outcome: Outcome) -> Vec<Action> {
        self.round(after, &[attempt_ended(msg, attempt, 1, outcome, after)])
    }
}

pub fn sends(actions: &[Action]) -> Vec<u32> {
    actions.iter().filter_map(|a| if let Action::Send { msg, .. } = a { Some(msg.0) } else { None }).collect()
}

pub fn failed(actions: &[Action], msg: u32) -> bool {
    actions.contains(&Action::Fail { msg: MsgId(msg) })
}

pub fn refused(actions: &[Action], msg: u32) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { msg: m, .. } if m.0 == msg))
}
