//! A dispatcher that takes over from another one knows what that one learned, and leaves it its slots.
mod common;
use common::*;
use slatethread::*;

/// A dispatcher that receives the list and what `from` learned.
fn successor(from: &World, endpoints: Vec<Endpoint>, settings: Settings) -> World {
    let mut successor = World::new(settings, endpoints);
    successor.now = 77 * SECOND;
    for snapshot in from.dispatcher.snapshot(from.now) {
        successor.dispatcher.restore(successor.now, &snapshot);
    }
    successor
}

#[test]
fn waits_outages_and_latencies_are_known_to_the_successor() {
    let endpoints = || (1..=3).map(|i| endpoint(i, u64::from(i))).collect::<Vec<_>>();
    let mut first = World::new(settings(), endpoints());
    first.submit(1, 1, 0);
    first.end_call(300 * MS, 1, 0, Outcome::Overloaded { retry_after: Some(2 * SECOND) });
    first.submit(2, 2, 0);
    for attempt in 0..4 {
        first.round(MS, &[attempt_ended(2, attempt, 2, Outcome::ConnectFailed, MS)]);
        first.round(3 * SECOND, &[]);
    }
    first.submit(3, 3, 0);
    first.round(700 * MS, &[attempt_ended(3, 0, 3, Outcome::Ok, 700 * MS)]);
    let before = first.dispatcher.snapshot(first.now);
    let mut second = successor(&first, endpoints(), settings());
    let after = second.dispatcher.snapshot(second.now);
    let snapshot_of = |all: &[DestinationSnapshot], dest| {
        all.iter().find(|l| l.dest == DestId(dest)).cloned().expect("in use")
    };
    assert_eq!(snapshot_of(&before, 2).endpoints, snapshot_of(&after, 2).endpoints);
    assert!(snapshot_of(&after, 2).endpoints[0].down);
    let destination = snapshot_of(&after, 3);
    assert_eq!(
        (destination.min_latency, destination.latest_latency, destination.mean_latency),
        (Some(0.7), 0.7, 0.7)
    );
    // Calls take 700 ms there, so a message with less time is refused at once; without the snapshot it would
    // be accepted.
    let urgent = Request { time_left: 300 * MS, ..request(9, 3, 0) };
    let refused = second.round(0, &[Event::Request(urgent)]);
    assert!(matches!(refused[..], [Action::Refuse { msg: MsgId(9), .. }]), "{refused:?}");
}

#[test]
fn a_wait_announced_to_another_process_applies() {
    let mut world = World::new(settings(), vec![endpoint(1, 5)]);
    world.dispatcher.apply_retry_after(world.now, DestId(5), None, 2 * SECOND);
    assert!(sends(&world.submit(1, 5, 0)).is_empty());
    assert!(sends(&world.round(1900 * MS, &[])).is_empty());
    assert_eq!(sends(&world.round(200 * MS, &[])), [1]);
}

#[test]
fn reserved_slots_are_not_used() {
    let endpoints = (1..=8).map(|i| endpoint(i, u64::from(i))).collect();
    let mut world = World::new(settings(), endpoints);
    world.dispatcher.reserve_slots(5);
    let all: Vec<_> = (1..=8).map(|i| Event::Request(request(i, u64::from(i), 0))).collect();
    assert_eq!(sends(&world.round(0, &all)).len(), 3);
    world.dispatcher.reserve_slots(1);
    assert_eq!(sends(&world.round(SECOND / 10, &[])).len(), 4);
}
