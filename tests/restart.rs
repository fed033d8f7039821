//! A message that was restored after a restart without any attempt gets an attempt, whatever state the relay
//! finds.
mod common;
use common::*;
use slatethread::*;
use std::collections::{BTreeMap, BTreeSet};

const STEP: Nanos = 50 * MS;

/// Runs rounds in which calls take `call_time` (for ever if `None`, until they are cancelled). Returns the
/// messages that were called, the number of calls, and by how much each message was given up before its
/// deadline.
fn run(
    world: &mut World,
    requests: &[Request],
    later: impl Fn(u32) -> Vec<Request>,
    call_time: Option<Nanos>,
    steps: u32,
) -> (BTreeSet<u32>, usize, BTreeMap<u32, Nanos>) {
    let start = world.now;
    let mut deadlines: BTreeMap<u32, Nanos> =
        requests.iter().map(|r| (r.msg.0, start + r.time_left)).collect();
    let mut events: Vec<Event> = requests.iter().map(|r| Event::Request(r.clone())).collect();
    let mut in_flight: BTreeMap<u32, (u32, Nanos, Nanos, u32)> = BTreeMap::new();
    let mut attempts: BTreeMap<u32, u32> = BTreeMap::new();
    let (mut called, mut calls, mut given_up) = (BTreeSet::new(), 0, BTreeMap::new());
    for step in 0..steps {
        for action in world.round(STEP, &std::mem::take(&mut events)) {
            match action {
                Action::Send { msg, endpoint, timeout } => {
                    let attempt = attempts.entry(msg.0).or_default();
                    in_flight.insert(msg.0, (*attempt, world.now, timeout, endpoint.0));
                    *attempt += 1;
                    called.insert(msg.0);
                    calls += 1;
                }
                Action::Refuse { msg, .. } | Action::Fail { msg } => {
                    given_up.insert(msg.0, deadlines[&msg.0].saturating_sub(world.now));
                }
                Action::Cancel { msg, .. } => {
                    let (attempt, sent, _, endpoint) = in_flight.remove(&msg.0).expect("it is in flight");
                    events.push(attempt_ended(
                        msg.0,
                        attempt,
                        endpoint,
                        Outcome::Cancelled,
                        world.now - sent,
                    ));
                }
                other => panic!("{other:?}"),
            }
        }
        let now = world.now;
        in_flight.retain(|msg, (attempt, sent, timeout, endpoint)| {
            let (outcome, after) = match call_time {
                Some(call_time) if call_time <= *timeout => (Outcome::Ok, call_time),
                _ => (Outcome::Timeout, *timeout),
            };
            let ended = now >= *sent + after;
            events.extend(ended.then(|| attempt_ended(*msg, *attempt, *endpoint, outcome, after)));
            !ended
        });
        for request in later(step) {
            deadlines.insert(request.msg.0, now + request.time_left);
            events.push(Event::Request(request));
        }
    }
    (called, calls, given_up)
}

/// Messages for one destination with four to nine seconds left.
fn restored_messages(restored: bool) -> Vec<Request> {
    let time_left = |i: u32| (4 + Nanos::from(i / 2)) * SECOND + Nanos::from(i) * 100 * MS;
    (1..=10)
        .map(|i| Request { time_left: time_left(i - 1), restored, ..request(i, 5, i as usize % 3) })
        .collect()
}

fn settings_with_few_trials() -> Settings {
    Settings { slots: Some(12), ..settings() }
}

#[test]
fn restored_messages_get_an_attempt_even_if_their_endpoint_hangs() {
    let run = |restored| {
        let mut world = World::new(settings_with_few_trials(), vec![endpoint(1, 5)]);
        run(&mut world, &restored_messages(restored), |_| Vec::new(), None, 220)
    };
    let (called, calls, given_up) = run(true);
    assert_eq!(called.len(), 10, "{given_up:?}");
    // After its attempt a message is treated as any other: it may be given up before its deadline.
    assert!(calls <= 30, "{calls} calls at an endpoint that hangs");
    // Messages that were not restored are given up.
    let (called, _, _) = run(false);
    assert!(called.len() < 8, "{called:?}");
}

#[test]
fn restored_messages_go_before_later_ones() {
    let run = |restored| {
        let mut world = World::new(Settings { slots: Some(1), ..settings() }, vec![endpoint(1, 5)]);
        // Twice as many messages arrive as are served; they have the same worth and are newer.
        let later = |step| match step % 4 {
            0 => vec![request(100 + step, 5, 0)],
            _ => Vec::new(),
        };
        let (called, _, given_up) = run(&mut world, &restored_messages(restored), later, Some(400 * MS), 220);
        (called.range(..100).count(), given_up.range(..100).count())
    };
    assert_eq!(run(true), (10, 0));
    let (called, given_up) = run(false);
    assert!(called < 10 && given_up > 0, "{called} called, {given_up} given up");
}

#[test]
fn restored_messages_wait_for_a_list_until_their_deadline() {
    let run = |restored| {
        let settings = Settings { list_on_request: true, relays: Some(300), ..settings() };
        let mut world = World { dispatcher: Dispatcher::new(settings, 1), now: SECOND, log: Vec::new() };
        world.round(0, &[Event::List { scope: ListScope::Unreachable, entries: Vec::new() }]);
        let mut ended_messages = Vec::new();
        let mut events: Vec<Event> = restored_messages(restored).into_iter().map(Event::Request).collect();
        for _ in 0..60 {
            let ended = world.round(STEP, &std::mem::take(&mut events));
            ended_messages.extend(
                ended.into_iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. })),
            );
        }
        let list = Event::List { scope: ListScope::Whole, entries: vec![endpoint(1, 5)] };
        let sent = sends(&world.round(STEP, &[list]));
        (ended_messages.len(), !sent.is_empty())
    };
    assert_eq!(run(true), (0, true));
    assert!(run(false).0 > 0);
}

#[test]
fn a_message_keeps_the_rules_under_which_it_was_accepted() {
    let settings = |effect| Settings { classes: vec![class(effect)], ..settings() };
    // The number of sends if the rules of the class change while the first call is in flight.
    let run = |first, then, rules: Option<Effect>| {
        let mut world = World::new(settings(first), vec![endpoint(1, 5)]);
        let new_request = Request { rules: rules.map(class), ..request(1, 5, 0) };
        let mut sent = sends(&world.round(0, &[Event::Request(new_request)])).len();
        world.dispatcher.apply_settings(settings(then));
        sent += sends(&world.end_call(100 * MS, 1, 0, Outcome::Reset)).len();
        (0..40).for_each(|_| sent += sends(&world.round(100 * MS, &[])).len());
        sent
    };
    assert_eq!(run(Effect::Unsafe, Effect::Safe, None), 1);
    assert_eq!(run(Effect::Safe, Effect::Unsafe, None), 2);
    // A message restored after a restart has its own rules.
    assert_eq!(run(Effect::Safe, Effect::Safe, Some(Effect::Unsafe)), 1);
}
