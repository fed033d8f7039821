//! What outlives a courier's process untried is tried, whatever the courier finds after its start.
mod common;
use common::*;
use slatethread::*;
use std::collections::{BTreeMap, BTreeSet};

const STEP: Nanos = 50 * MS;

/// Plays rounds in which calls take `takes` (for ever if `None`, until they are given up). Gives the messages that
/// were called, how many calls there were, and by how much each was given up before its time was over.
fn play(
    world: &mut World,
    requests: &[Request],
    later: impl Fn(u32) -> Vec<Request>,
    takes: Option<Nanos>,
    steps: u32,
) -> (BTreeSet<u32>, usize, BTreeMap<u32, Nanos>) {
    let begun = world.now;
    let mut deadlines: BTreeMap<u32, Nanos> =
        requests.iter().map(|r| (r.msg.0, begun + r.time_left)).collect();
    let mut events: Vec<Event> = requests.iter().map(|r| Event::Request(r.clone())).collect();
    let mut out: BTreeMap<u32, (u32, Nanos, Nanos, u32)> = BTreeMap::new();
    let mut tries: BTreeMap<u32, u32> = BTreeMap::new();
    let (mut called, mut calls, mut early) = (BTreeSet::new(), 0, BTreeMap::new());
    for step in 0..steps {
        for action in world.round(STEP, &std::mem::take(&mut events)) {
            match action {
                Action::Send { msg, endpoint, timeout: limit } => {
                    let tried = tries.entry(msg.0).or_default();
                    out.insert(msg.0, (*tried, world.now, limit, endpoint.0));
                    *tried += 1;
                    called.insert(msg.0);
                    calls += 1;
                }
                Action::Refuse { msg, .. } | Action::Fail { msg } => {
                    early.insert(msg.0, deadlines[&msg.0].saturating_sub(world.now));
                }
                Action::Cancel { msg, .. } => {
                    let (tried, sent, _, endpoint) = out.remove(&msg.0).expect("it is out");
                    events.push(closed(msg.0, tried, endpoint, Outcome::Cancelled, world.now - sent));
                }
                other => panic!("{other:?}"),
            }
        }
        let now = world.now;
        out.retain(|msg, (tried, sent, limit, endpoint)| {
            let (outcome, after) = match takes {
                Some(takes) if takes <= *limit => (Outcome::Ok, takes),
                _ => (Outcome::Timeout, *limit),
            };
            let over = now >= *sent + after;
            events.extend(over.then(|| closed(*msg, *tried, *endpoint, outcome, after)));
            !over
        });
        for request in later(step) {
            deadlines.insert(request.msg.0, now + request.time_left);
            events.push(Event::Request(request));
        }
    }
    (called, calls, early)
}

/// Messages for one destination that have from four to nine seconds left.
fn found(kept: bool) -> Vec<Request> {
    let patience = |i: u32| (4 + Nanos::from(i / 2)) * SECOND + Nanos::from(i) * 100 * MS;
    (1..=10)
        .map(|i| Request { time_left: patience(i - 1), restored: kept, ..request(i, 5, i as usize % 3) })
        .collect()
}

fn settings_that_give_few_tries() -> Settings {
    Settings { slots: Some(12), ..settings() }
}

#[test]
fn restored_messages_get_an_attempt_even_if_their_endpoint_hangs() {
    let play = |kept| {
        let mut world = World::new(settings_that_give_few_tries(), vec![endpoint(1, 5)]);
        play(&mut world, &found(kept), |_| Vec::new(), None, 220)
    };
    let (called, calls, early) = play(true);
    assert_eq!(called.len(), 10, "{early:?}");
    // What has been tried is as any other: it may be given up before its time.
    assert!(calls <= 30, "{calls} calls at an endpoint that hangs");
    // Others are given up there.
    let (called, _, _) = play(false);
    assert!(called.len() < 8, "{called:?}");
}

#[test]
fn restored_messages_go_before_later_ones() {
    let play = |kept| {
        let mut world = World::new(Settings { slots: Some(1), ..settings() }, vec![endpoint(1, 5)]);
        // Twice as much comes as is served, and it is worth as much and fresher.
        let later = |step| match step % 4 {
            0 => vec![request(100 + step, 5, 0)],
            _ => Vec::new(),
        };
        let (called, _, early) = play(&mut world, &found(kept), later, Some(400 * MS), 220);
        (called.range(..100).count(), early.range(..100).count())
    };
    assert_eq!(play(true), (10, 0));
    let (called, early) = play(false);
    assert!(called < 10 && early > 0, "{called} called, {early} given up");
}

#[test]
fn restored_messages_wait_for_a_list_until_their_deadline() {
    let play = |kept| {
        let settings = Settings { list_on_request: true, relays: Some(300), ..settings() };
        let mut world = World { courier: Dispatcher::new(settings, 1), now: SECOND, log: Vec::new() };
        world.round(0, &[Event::List { scope: ListScope::Unreachable, entries: Vec::new() }]);
        let mut left = Vec::new();
        let mut events: Vec<Event> = found(kept).into_iter().map(Event::Request).collect();
        for _ in 0..60 {
            let over = world.round(STEP, &std::mem::take(&mut events));
            left.extend(
                over.into_iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. })),
            );
        }
        let list = Event::List { scope: ListScope::Whole, entries: vec![endpoint(1, 5)] };
        let sent = sends(&world.round(STEP, &[list]));
        (left.len(), !sent.is_empty())
    };
    assert_eq!(play(true), (0, true));
    assert!(play(false).0 > 0);
}

#[test]
fn a_message_keeps_the_rules_under_which_it_was_accepted() {
    let settings = |effect| Settings { classes: vec![class(effect)], ..settings() };
    // How often it is sent, where its class becomes another while the first call is out.
    let play = |first, then, rules: Option<Effect>| {
        let mut world = World::new(settings(first), vec![endpoint(1, 5)]);
        let asked = Request { rules: rules.map(class), ..request(1, 5, 0) };
        let mut sent = sends(&world.round(0, &[Event::Request(asked)])).len();
        world.courier.apply_settings(settings(then));
        sent += sends(&world.close(100 * MS, 1, 0, Outcome::Reset)).len();
        (0..40).for_each(|_| sent += sends(&world.round(100 * MS, &[])).len());
        sent
    };
    assert_eq!(play(Effect::Unsafe, Effect::Safe, None), 1);
    assert_eq!(play(Effect::Safe, Effect::Unsafe, None), 2);
    // What came from before the start brings its own.
    assert_eq!(play(Effect::Safe, Effect::Safe, Some(Effect::Unsafe)), 1);
}
