//! A courier that takes another's place knows what it knew, and leaves it its slots.
mod common;
use common::*;
use slatethread::*;

/// A courier that is told the list, and what `from` learned.
fn heir(from: &World, endpoints: Vec<Endpoint>, settings: Settings) -> World {
    let mut heir = World::new(settings, endpoints);
    heir.now = 77 * SECOND;
    for learned in from.courier.snapshot(from.now) {
        heir.courier.restore(heir.now, &learned);
    }
    heir
}

#[test]
fn waits_outages_and_latencies_are_known_to_the_successor() {
    let endpoints = || (1..=3).map(|i| endpoint(i, u64::from(i))).collect::<Vec<_>>();
    let mut first = World::new(settings(), endpoints());
    first.ask(1, 1, 0);
    first.close(300 * MS, 1, 0, Outcome::Overloaded { retry_after: Some(2 * SECOND) });
    first.ask(2, 2, 0);
    for attempt in 0..4 {
        first.round(MS, &[closed(2, attempt, 2, Outcome::ConnectFailed, MS)]);
        first.round(3 * SECOND, &[]);
    }
    first.ask(3, 3, 0);
    first.round(700 * MS, &[closed(3, 0, 3, Outcome::Ok, 700 * MS)]);
    let told = first.courier.snapshot(first.now);
    let mut second = heir(&first, endpoints(), settings());
    let again = second.courier.snapshot(second.now);
    let of = |all: &[DestinationSnapshot], dest| {
        all.iter().find(|l| l.dest == DestId(dest)).cloned().expect("in use")
    };
    assert_eq!(of(&told, 2).endpoints, of(&again, 2).endpoints);
    assert!(of(&again, 2).endpoints[0].down);
    let third = of(&again, 3);
    assert_eq!((third.min_latency, third.latest_latency, third.mean_latency), (Some(0.7), 0.7, 0.7));
    // What takes 700 ms there is refused at once if it has less time; a courier that knows nothing would take it.
    let hasty = Request { time_left: 300 * MS, ..request(9, 3, 0) };
    let refused = second.round(0, &[Event::Request(hasty)]);
    assert!(matches!(refused[..], [Action::Refuse { msg: MsgId(9), .. }]), "{refused:?}");
}

#[test]
fn a_wait_announced_to_another_process_applies() {
    let mut world = World::new(settings(), vec![endpoint(1, 5)]);
    world.courier.apply_retry_after(world.now, DestId(5), None, 2 * SECOND);
    assert!(sends(&world.ask(1, 5, 0)).is_empty());
    assert!(sends(&world.round(1900 * MS, &[])).is_empty());
    assert_eq!(sends(&world.round(200 * MS, &[])), [1]);
}

#[test]
fn reserved_slots_are_not_used() {
    let endpoints = (1..=8).map(|i| endpoint(i, u64::from(i))).collect();
    let mut world = World::new(settings(), endpoints);
    world.courier.reserve_slots(5);
    let all: Vec<_> = (1..=8).map(|i| Event::Request(request(i, u64::from(i), 0))).collect();
    assert_eq!(sends(&world.round(0, &all)).len(), 3);
    world.courier.reserve_slots(1);
    assert_eq!(sends(&world.round(SECOND / 10, &[])).len(), 4);
}
