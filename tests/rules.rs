//! The six rules, tested through the public interface.
mod common;
use common::*;
use slatethread::*;

fn list(scope: ListScope, entries: Vec<Endpoint>) -> Event {
    Event::List { scope, entries }
}

#[test]
fn served_messages_get_no_second_answer() {
    let mut world = World::new(settings(), vec![endpoint(1, 5)]);
    assert_eq!(sends(&world.submit(1, 5, 2)), [1]);
    assert!(world.end_call(100 * MS, 1, 0, Outcome::Ok).is_empty());
    assert!(world.round(30 * SECOND, &[]).is_empty());
}

#[test]
fn queued_messages_are_answered_before_their_deadline() {
    let mut world = World::new(settings(), vec![]);
    assert!(world.submit(1, 5, 0).is_empty(), "messages for a destination without endpoints are queued");
    assert!(world.round(19 * SECOND, &[]).is_empty());
    assert!(refused(&world.round(SECOND - 10 * MS, &[]), 1));
}

#[test]
fn unsafe_messages_that_may_have_run_fail_at_once() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut world = World::new(settings(), vec![endpoint(1, 5)]);
        world.submit(1, 5, 2);
        let actions = world.end_call(100 * MS, 1, 0, outcome);
        assert_eq!(actions, [Action::Fail { msg: MsgId(1) }], "{outcome:?}");
    }
}

#[test]
fn unsafe_messages_that_never_ran_are_sent_again() {
    for outcome in [Outcome::Overloaded { retry_after: None }, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut world = World::new(settings(), vec![endpoint(1, 5)]);
        world.submit(1, 5, 2);
        let mut actions = world.end_call(100 * MS, 1, 0, outcome);
        for _ in 0..10 {
            actions.extend(world.round(SECOND / 2, &[]));
        }
        assert_eq!(sends(&actions), [1], "{outcome:?}");
    }
}

#[test]
fn deduplicated_messages_are_resent_only_within_their_scope_and_window() {
    let mut settings = settings();
    settings.classes[1].dedup_scope = DedupScope::Zone;
    let other_zone = Endpoint { zone: ZoneId(1), ..endpoint(2, 5) };
    let mut world = World::new(settings, vec![endpoint(1, 5)]);
    world.submit(1, 5, 1);
    let drained = Endpoint { condition: Condition::Draining, ..endpoint(1, 5) };
    let drain = list(ListScope::Patch, vec![drained, other_zone]);
    let actions = world.round(100 * MS, &[drain, attempt_ended(1, 0, 1, Outcome::Error, 100 * MS)]);
    assert!(sends(&actions).is_empty(), "the other zone does not remember the key");
    let mut actions = Vec::new();
    for _ in 0..6 {
        actions.extend(world.round(SECOND, &[]));
    }
    assert_eq!(actions, [Action::Fail { msg: MsgId(1) }], "forgotten keys are failed, not refused");
}

#[test]
fn draining_endpoints_get_nothing_new() {
    let mut world = World::new(settings(), vec![endpoint(1, 5)]);
    for condition in [Condition::Draining, Condition::Removed] {
        let unlisted = Endpoint { condition, ..endpoint(1, 5) };
        world.round(0, &[list(ListScope::Patch, vec![unlisted])]);
        assert!(sends(&world.submit(condition as u32 + 1, 5, 0)).is_empty());
    }
    let replaced = list(ListScope::Whole, vec![endpoint(2, 5)]);
    assert!(!sends(&world.round(0, &[replaced])).is_empty(), "its replacement is used at once");
}

#[test]
fn announced_waits_apply_to_every_message() {
    let mut world = World::new(settings(), vec![endpoint(1, 5), endpoint(2, 5)]);
    world.submit(1, 5, 0);
    let actions = world.end_call(50 * MS, 1, 0, Outcome::Overloaded { retry_after: Some(SECOND) });
    assert!(sends(&actions).is_empty());
    assert!(sends(&world.submit(2, 5, 0)).is_empty());
    assert!(sends(&world.round(999 * MS, &[])).is_empty());
    let mut sent = Vec::new();
    for _ in 0..20 {
        sent.extend(sends(&world.round(SECOND / 2, &[])));
    }
    assert!(!sent.is_empty(), "the wait ends");
}

#[test]
fn waits_apply_to_one_route_where_routes_are_separate() {
    let mut settings = settings();
    settings.kinds = vec![Kind { separate_routes: Some(true), max_batch: None }];
    let mut world = World::new(settings, vec![endpoint(1, 5)]);
    world.submit(1, 5, 0);
    world.round(0, &[list(ListScope::Patch, vec![endpoint(2, 5)])]);
    let actions = world.end_call(50 * MS, 1, 0, Outcome::Overloaded { retry_after: Some(9 * SECOND) });
    assert!(actions.iter().any(|a| matches!(a, Action::Send { endpoint: EndpointId(2), .. })));
}

#[test]
fn ordered_messages_are_sent_one_at_a_time_and_keys_pause() {
    let mut settings = settings();
    settings.classes[1].ordered = true;
    let mut world = World::new(settings, vec![endpoint(1, 5), endpoint(2, 6)]);
    let keyed =
        |msg, dest, key| Event::Request(Request { key: Some(OrderKey(key)), ..request(msg, dest, 1) });
    let actions = world.round(0, &[keyed(1, 5, 7), keyed(2, 6, 7), keyed(3, 6, 8)]);
    assert_eq!(sends(&actions), [1, 3], "other keys are not delayed");
    let expired = world.round(100 * MS, &[Event::Abandoned { msg: MsgId(1) }]);
    assert!(sends(&expired).is_empty(), "the attempt is still in flight");
    let ended =
        [attempt_ended(1, 0, 1, Outcome::Timeout, 2 * SECOND), attempt_ended(3, 0, 2, Outcome::Ok, 100 * MS)];
    assert!(sends(&world.round(SECOND, &ended)).is_empty(), "the key is paused");
    assert_eq!(sends(&world.round(SECOND, &[])), [2]);
}

#[test]
fn a_returning_destination_is_called_within_its_budget() {
    let mut world = World::new(settings(), vec![endpoint(1, 5)]);
    let mut message = 0;
    let mut run = |world: &mut World, outcome: Outcome, rounds: u32| {
        let mut sent = 0;
        for _ in 0..rounds {
            message += 1;
            let mut pending = sends(&world.submit(message, 5, 0));
            pending.extend(sends(&world.round(50 * MS, &[])));
            sent += pending.len();
            for id in pending {
                world.round(1, &[attempt_ended(id, 0, 1, outcome, 50 * MS)]);
            }
        }
        sent
    };
    let before = run(&mut world, Outcome::Ok, 100);
    assert!(before >= 99, "all messages are sent while healthy");
    let during = run(&mut world, Outcome::ConnectFailed, 60);
    assert!(during <= 10, "{during} calls in three seconds of outage");
    let after = run(&mut world, Outcome::Ok, 40);
    // Twenty a second before; 0.2 of that while cold, and twice that allowed for two seconds.
    assert!(after <= 16, "{after} calls in the first two seconds");
}
