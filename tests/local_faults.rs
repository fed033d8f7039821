//! Faults of the relay's own machine affect neither messages nor endpoints.
mod common;
use common::*;
use slatethread::*;

#[test]
fn faults_of_this_machine_use_no_attempt_and_affect_no_health() {
    let mut world = World::new(settings(), vec![endpoint(1, 5)]);
    let mut sent = sends(&world.submit(1, 5, 2)).len() as u32;
    for _ in 0..60 {
        let actions = world.round(100 * MS, &[attempt_ended(1, sent - 1, 1, Outcome::LocalFault, 0)]);
        assert!(!refused(&actions, 1) && !failed(&actions, 1), "it has attempts left");
        sent += sends(&actions).len() as u32;
    }
    assert!(sent > 30, "{sent} attempts");
    assert!(world.log.iter().all(|action| !matches!(action, Action::Log { .. })), "the endpoint is healthy");
    world.end_call(0, 1, sent - 1, Outcome::Ok);
    assert!(world.round(30 * SECOND, &[]).is_empty());
}

#[test]
fn nothing_is_sent_while_calls_are_paused_and_queued_messages_are_sent_on_resumption() {
    let mut world = World::new(settings(), vec![endpoint(1, 5), endpoint(2, 6)]);
    world.dispatcher.pause_calls(true);
    let mut actions = world.submit(1, 5, 2);
    actions.extend(world.submit(2, 6, 0));
    for _ in 0..20 {
        actions.extend(world.round(100 * MS, &[]));
    }
    assert!(actions.is_empty(), "{actions:?}");
    world.dispatcher.pause_calls(false);
    let mut sent_after = sends(&world.round(5 * MS, &[]));
    sent_after.sort_unstable();
    assert_eq!(sent_after, [1, 2]);
}

#[test]
fn messages_queued_during_a_pause_are_given_up_in_time() {
    let mut world = World::new(settings(), vec![endpoint(1, 5)]);
    world.dispatcher.pause_calls(true);
    world.submit(1, 5, 2);
    assert!(world.round(19 * SECOND, &[]).is_empty());
    assert!(refused(&world.round(SECOND - 10 * MS, &[]), 1));
}
