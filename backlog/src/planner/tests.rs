//! The planner in a simulated world, in virtual time.
mod world;

use proptest::prelude::*;
use std::time::Duration;

use super::destination::Destination;
use super::fair_share::LaneState;
use super::{Action, Event, Planner, RefusalReason, Settings, StoreFault, StoreHealth};
use world::{Clients, Endpoint, World, lane, seconds};

const HOUR: f64 = 3_600.0;

fn slots(count: u64) -> Settings {
    let settings = Settings::default();
    Settings { window_memory: count * settings.message_memory, ..settings }
}

fn clients(destination: u64, class: u16, rate: f64, life: f64, until: f64) -> Clients {
    let every = seconds(1.0 / rate);
    Clients { lane: lane(destination, class), every, life: seconds(life), until: seconds(until) }
}

#[test]
fn a_deep_backlog_keeps_a_fast_destination_busy_through_stalls() {
    let mut world = World::new(Settings::default());
    world.endpoints.insert(1, Endpoint::new(2_000.0));
    world.stored(lane(1, 0), 640_000, seconds(HOUR));
    world.stall_every(6.0, 1.0, 400.0);
    world.open();
    for end in [40.0, 160.0, 320.0 / 0.95] {
        world.run(seconds(end));
        let delivered = world.delivered(1, None).count() as f64;
        assert!(delivered >= 0.95 * (2_000.0 * end).min(640_000.0), "{delivered} in {end} s");
    }
    world.check_nothing_lost();
}

#[test]
fn one_message_each_for_37_000_beside_a_million_for_one_and_one_for_another() {
    let mut world = World::new(Settings::default());
    world.endpoints.insert(0, Endpoint::new(500.0));
    world.stored(lane(0, 0), 1_000_000, seconds(HOUR));
    for destination in 1..=37_001 {
        world.endpoints.insert(destination, Endpoint::new(10.0));
        world.stored(lane(destination, 0), 1, seconds(HOUR));
    }
    world.open();
    world.run(seconds(20.0));
    let ones = world.ends.iter().filter(|end| end.message.lane.destination != 0).count();
    let million = world.delivered(0, None).count();
    assert_eq!(ones, 37_001);
    assert!(million >= 5_000, "{million} of the million");
    world.check_nothing_lost();
}

#[test]
fn a_destination_down_for_an_hour_comes_back_and_goes_down_again() {
    let mut world = World::new(slots(200));
    let endpoint = Endpoint::new(50.0).down(60.0, HOUR).down(HOUR + 600.0, HOUR + 1_200.0);
    world.endpoints.insert(1, endpoint);
    world.clients(Duration::ZERO, clients(1, 0, 20.0, 1_800.0, 2.0 * HOUR));
    world.run(seconds(HOUR));
    world.check_nothing_lost();
    let before = world.delivered(1, None).count();
    world.run(seconds(HOUR + 600.0));
    let after = world.delivered(1, None).count() - before;
    assert!(after as f64 >= 0.95 * 50.0 * 600.0, "{after} delivered in the ten minutes back");
    world.run(seconds(3.0 * HOUR));
    assert_eq!(world.held(), 0);
    world.check_nothing_lost();
    assert_eq!(world.planner.destinations(), 0, "an idle destination has no record");
}

#[test]
fn a_million_that_end_in_the_same_second_are_told_on_schedule_and_fetches_go_on() {
    let mut world = World::new(Settings::default());
    world.endpoints.insert(1, Endpoint::new(100.0).down(0.0, HOUR));
    world.endpoints.insert(2, Endpoint::new(500.0));
    world.stored(lane(1, 0), 1_000_000, seconds(30.0));
    world.stored(lane(2, 0), 40_000, seconds(HOUR));
    world.stalls = vec![(seconds(33.0), seconds(0.9)), (seconds(36.0), seconds(0.9))];
    world.open();
    world.run(seconds(60.0));
    let ends = world.ends.iter().filter(|end| !end.delivered);
    let ends: Vec<Duration> = ends.map(|end| end.at).collect();
    assert_eq!(ends.len(), 1_000_000);
    for (index, at) in ends.iter().enumerate() {
        let schedule = seconds(31.0 + index as f64 / 100_000.0);
        assert!(*at <= schedule, "the end {index} is told at {at:?}, its schedule ends at {schedule:?}");
    }
    // In slices, but for what the stalls left behind.
    assert!(world.expiry_reads <= 1_200, "{} reads", world.expiry_reads);
    // Not all at once either: what is told within a second is bounded.
    let first_second = ends.iter().filter(|at| **at <= seconds(31.0)).count();
    assert!(first_second <= 102_000, "{first_second} told within the first second");
    let others = world.delivered(2, None).count();
    assert!(others >= 28_500, "{others} of 30,000 for the other destination");
    world.check_nothing_lost();
}

#[test]
fn what_is_admitted_is_in_time_and_what_is_refused_would_have_been_late() {
    let mut world = World::new(Settings::default());
    world.endpoints.insert(1, Endpoint::new(100.0));
    world.clients(Duration::ZERO, clients(1, 0, 150.0, 20.0, 600.0));
    world.run(seconds(640.0));
    assert_eq!(world.held(), 0);
    let late = world.ends.iter().filter(|end| !end.delivered).count();
    assert!(late * 100 <= world.ends.len(), "{late} late of {}", world.ends.len());
    assert!(world.ends.len() >= 57_000, "{} taken on, the destination takes 60,000", world.ends.len());
    assert!(world.refusals.len() > 20_000);
    for refusal in &world.refusals {
        assert_eq!(refusal.lane, lane(1, 0));
        assert!(refusal.ahead as f64 / 100.0 >= 0.9 * 20.0, "{refusal:?}");
    }
}

#[test]
fn while_a_destination_is_down_its_last_rate_counts() {
    let mut world = World::new(Settings::default());
    world.endpoints.insert(1, Endpoint::new(100.0).down(60.0, 600.0));
    world.clients(Duration::ZERO, clients(1, 0, 120.0, 60.0, 60.0));
    world.clients(seconds(60.0), clients(1, 0, 10.0, 60.0, 500.0));
    world.run(seconds(500.0));
    let stats = world.planner.stats(world.now, 1).unwrap();
    assert!((95.0..105.0).contains(&stats.rate.unwrap()), "{stats:?}");
    // 600 wait at most by then, in 60 s it takes 6,000: nothing is refused on that ground.
    assert!(world.refusals.is_empty());
}

#[test]
fn classes_that_wait_are_served_by_their_worth() {
    let mut world = World::new(Settings { class_worth: vec![3.0, 1.0, 0.0], ..Settings::default() });
    world.endpoints.insert(1, Endpoint::new(400.0));
    (0..3).for_each(|class| world.stored(lane(1, class), 100_000, seconds(HOUR)));
    world.open();
    world.run(seconds(100.0));
    let [dear, cheap, worthless] = [0, 1, 2].map(|class| world.delivered(1, Some(class)).count() as f64);
    assert!((2.9..3.1).contains(&(dear / cheap)), "{dear} to {cheap}");
    assert!(worthless >= 0.9 * (dear + cheap) / 4.0 * 3.0 / 64.0, "{worthless}");
}

#[test]
fn the_fresh_are_not_starved_by_the_old_nor_the_old_by_the_fresh() {
    let mut world = World::new(Settings { class_worth: vec![1.0, 4.0], ..Settings::default() });
    world.endpoints.insert(1, Endpoint::new(200.0));
    world.stored(lane(1, 0), 100_000, seconds(HOUR));
    world.open();
    world.clients(seconds(5.0), clients(1, 1, 20.0, 60.0, 60.0));
    world.run(seconds(60.0));
    let slowest = world.delivered(1, Some(1)).map(|end| end.at - end.message.arrived).max().unwrap();
    assert!(slowest <= seconds(3.0), "a fresh message took {slowest:?}");
    // Now the fresh are more than the destination takes; the old keep a fifth.
    world.clients(world.now, clients(1, 1, 400.0, 600.0, 160.0));
    let before = world.delivered(1, Some(0)).count();
    world.run(seconds(160.0));
    let old = world.delivered(1, Some(0)).count() - before;
    assert!(old as f64 >= 0.9 * 200.0 * 100.0 / 5.0, "{old} of the old");
}

#[test]
fn a_burst_does_not_take_the_room_that_a_stalled_disk_has_left_in_the_window() {
    let mut planner = Planner::new(Settings::default());
    let lanes = vec![super::LaneCount { lane: lane(1, 0), messages: 1_000 }];
    planner.handle(Duration::ZERO, Event::Opened { lanes, earliest_deadline_in: None });
    planner.handle(Duration::ZERO, Event::FetchFailed { lane: lane(1, 0) });
    let mut arrive = |arrival| {
        let event = Event::Arrived { arrival, lane: lane(1, 1), time_left: seconds(60.0) };
        planner.handle(seconds(0.1), event).remove(0)
    };
    // Of 16 places: one at its turn, and one at a tie.
    assert_eq!(arrive(1), Action::AdmitToMemory { arrival: 1 });
    arrive(2);
    assert_eq!(arrive(3), Action::Spill { arrival: 3, lane: lane(1, 1) });
}

#[test]
fn arrivals_do_not_overtake_what_is_being_put_back() {
    let mut planner = Planner::new(slots(3));
    let arrive = |arrival, to| Event::Arrived { arrival, lane: lane(to, 0), time_left: seconds(60.0) };
    for arrival in 1..=3 {
        planner.handle(Duration::ZERO, arrive(arrival, 1));
    }
    planner.handle(Duration::ZERO, arrive(4, 2));
    planner.handle(Duration::ZERO, Event::Stored { lane: lane(2, 0), count: 1 });
    let actions = planner.handle(seconds(2.0), Event::Tick);
    assert!(actions.contains(&Action::Evict { destination: 1 }), "{actions:?}");
    for _ in 0..2 {
        planner.handle(seconds(2.0), Event::LeftMemory { destination: 1, outcome: super::Outcome::Ended });
    }
    let spill = Action::Spill { arrival: 5, lane: lane(1, 0) };
    assert_eq!(planner.handle(seconds(2.0), arrive(5, 1))[0], spill);
}

#[test]
fn slots_of_destinations_without_progress_go_to_those_that_return() {
    let mut world = World::new(slots(100));
    for destination in 0..400 {
        world.endpoints.insert(destination, Endpoint::new(10.0).down(0.0, 60.0 + destination as f64));
        world.stored(lane(destination, 0), 20, seconds(HOUR));
    }
    world.endpoints.insert(1_000, Endpoint::new(20.0));
    world.stored(lane(1_000, 0), 2_000, seconds(HOUR));
    world.open();
    world.run(seconds(60.0));
    let healthy = world.delivered(1_000, None).count();
    assert!(healthy as f64 >= 0.8 * 20.0 * 60.0, "{healthy} for the healthy one");
    world.run(seconds(600.0));
    assert_eq!(world.ends.iter().filter(|end| end.message.lane.destination < 400).count(), 8_000);
    world.check_nothing_lost();
}

#[test]
fn with_too_few_slots_for_all_each_destination_has_its_turn() {
    let mut world = World::new(slots(20));
    for destination in 0..100 {
        world.endpoints.insert(destination, Endpoint::new(10.0));
        world.stored(lane(destination, 0), 1_000, seconds(HOUR));
    }
    world.open();
    world.run(seconds(100.0));
    let delivered: Vec<usize> =
        (0..100).map(|destination| world.delivered(destination, None).count()).collect();
    let mean = world.ends.len() / 100;
    assert!(mean >= 50, "{mean} each");
    assert!(delivered.iter().all(|count| *count >= mean / 2 && *count <= mean * 2), "{delivered:?}");
    world.check_nothing_lost();
}

#[test]
fn a_full_store_refuses_keeps_serving_and_recovers() {
    for fault in [StoreFault::Full, StoreFault::Failing] {
        let mut world = World::new(slots(50));
        world.endpoints.insert(1, Endpoint::new(100.0));
        world.stored(lane(1, 0), 5_000, seconds(HOUR));
        world.faults = vec![(seconds(10.0), seconds(30.0), fault)];
        world.open();
        world.clients(seconds(1.0), clients(1, 0, 10.0, HOUR, 40.0));
        world.run(seconds(40.0));
        let delivered = world.delivered(1, None).count();
        assert!(delivered >= 3_800, "{delivered} of those held");
        let refused =
            |from, to| world.refusals.iter().filter(|r| (from..to).contains(&r.at.as_secs())).count();
        assert!(refused(11, 30) >= 189, "{} refused", refused(11, 30));
        assert_eq!(refused(0, 10), 0);
        // The probes are 1, 2, 4, 8 and 16 s apart: the one at 41 s would be too late for a store that was mended.
        assert_eq!(
            world.planner.health(),
            if fault == StoreFault::Full { StoreHealth::Full } else { StoreHealth::Failed }
        );
        world.run(seconds(45.0));
        assert_eq!(world.planner.health(), StoreHealth::Healthy);
        world.check_nothing_lost();
    }
}

#[test]
fn a_quota_that_is_used_up_has_hysteresis() {
    let mut planner = Planner::new(Settings::default());
    let mut health_at = |used| {
        planner.handle(Duration::ZERO, Event::Usage { used, quota: 1_000 });
        planner.health()
    };
    assert_eq!(health_at(999), StoreHealth::Healthy);
    assert_eq!(health_at(1_000), StoreHealth::Full);
    assert_eq!(health_at(960), StoreHealth::Full);
    assert_eq!(health_at(950), StoreHealth::Healthy);
}

#[test]
fn a_stalled_store_is_slow_until_it_has_answered_for_a_while() {
    let mut planner = Planner::new(slots(1));
    let arrive = |planner: &mut Planner, millis, arrival| {
        let event = Event::Arrived { arrival, lane: lane(1, 0), time_left: seconds(60.0) };
        planner.handle(Duration::from_millis(millis), event)
    };
    assert_eq!(arrive(&mut planner, 0, 1)[0], Action::AdmitToMemory { arrival: 1 });
    assert_eq!(arrive(&mut planner, 0, 2)[0], Action::Spill { arrival: 2, lane: lane(1, 0) });
    assert_eq!(planner.next_deadline(), Some(Duration::from_millis(500)));
    let refused = arrive(&mut planner, 600, 3);
    let reason = RefusalReason::Store(StoreHealth::Slow);
    let refuse = Action::Refuse { arrival: 3, retry_after: seconds(1.0), reason };
    assert!(refused.contains(&refuse), "{refused:?}");
    planner.handle(Duration::from_millis(1_000), Event::Stored { lane: lane(1, 0), count: 1 });
    assert_eq!(planner.health(), StoreHealth::Slow);
    planner.handle(Duration::from_millis(1_250), Event::Tick);
    assert_eq!(planner.health(), StoreHealth::Healthy);
}

#[test]
fn a_told_wait_holds_fetches_until_shortly_before_its_end() {
    let mut planner = Planner::new(slots(1));
    let told = Event::BackoffRequested { destination: 1, until: seconds(10.0) };
    let arrive = |arrival| Event::Arrived { arrival, lane: lane(1, 0), time_left: seconds(60.0) };
    (1..=2).for_each(|arrival| drop(planner.handle(Duration::ZERO, arrive(arrival))));
    planner.handle(Duration::ZERO, told);
    planner.handle(Duration::ZERO, Event::Stored { lane: lane(1, 0), count: 1 });
    let ended = super::Outcome::Ended;
    let is_fetch = |action: &Action| matches!(action, Action::Fetch { .. });
    let actions = planner.handle(seconds(1.0), Event::LeftMemory { destination: 1, outcome: ended });
    assert!(!actions.iter().any(is_fetch), "{actions:?}");
    let actions = planner.handle(seconds(8.75), Event::Tick);
    assert!(actions.iter().any(is_fetch), "{actions:?}");
}

#[test]
fn a_failed_read_is_repeated_and_a_dropped_spill_leaves_nothing() {
    let mut planner = Planner::new(Settings::default());
    let lanes = vec![super::LaneCount { lane: lane(1, 0), messages: 1 }];
    let fetch = Action::Fetch { lane: lane(1, 0), limit: 1 };
    let opened = Event::Opened { lanes, earliest_deadline_in: None };
    assert!(planner.handle(Duration::ZERO, opened).contains(&fetch));
    assert!(!planner.handle(Duration::ZERO, Event::FetchFailed { lane: lane(1, 0) }).contains(&fetch));
    assert!(planner.handle(planner.next_deadline().unwrap(), Event::Tick).contains(&fetch));
    let arrived = Event::Arrived { arrival: 2, lane: lane(1, 0), time_left: Duration::MAX };
    assert!(planner.handle(seconds(0.5), arrived).contains(&Action::Spill { arrival: 2, lane: lane(1, 0) }));
    planner.handle(seconds(0.6), Event::SpillDropped { lane: lane(1, 0), count: 1 });
    planner.handle(seconds(0.6), Event::Fetched { lane: lane(1, 0), count: 0, exhausted: true });
    assert_eq!((planner.destinations(), planner.health()), (0, StoreHealth::Healthy));
}

#[test]
fn a_record_is_small() {
    assert!(size_of::<Destination>() <= 288, "{} bytes", size_of::<Destination>());
    assert!(size_of::<LaneState>() <= 40, "{} bytes", size_of::<LaneState>());
}

#[derive(Clone, Debug)]
struct Partner {
    rate: f64,
    arrivals: f64,
    life: f64,
    stored: u64,
    down: (f64, f64),
}

fn partner() -> impl Strategy<Value = Partner> {
    let down = (0.0..60.0_f64, 0.0..60.0_f64);
    (1.0..200.0_f64, 0.1..100.0_f64, 1.0..120.0_f64, 0..400_u64, down)
        .prop_map(|(rate, arrivals, life, stored, down)| Partner { rate, arrivals, life, stored, down })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// No loss, no double end, the order within a lane, the bound of slots: all checked by the world.
    #[test]
    fn whatever_happens_each_message_ends_once_and_in_order(
        partners in prop::collection::vec(partner(), 1..12),
        slot_count in 1..60_u64,
        stalls in 1.0..20.0_f64,
        fault in (0.0..60.0_f64, 0.0..10.0_f64, any::<bool>()),
    ) {
        let mut world = World::new(Settings { class_worth: vec![1.0, 5.0], ..slots(slot_count) });
        let kind = if fault.2 { StoreFault::Full } else { StoreFault::Failing };
        world.faults = vec![(seconds(fault.0), seconds(fault.0 + fault.1), kind)];
        world.stall_every(stalls, 1.0, 90.0);
        for (index, partner) in partners.iter().enumerate() {
            let destination = index as u64;
            let endpoint = Endpoint::new(partner.rate).down(partner.down.0, partner.down.0 + partner.down.1);
            world.endpoints.insert(destination, endpoint);
            world.stored(lane(destination, 1), partner.stored, seconds(partner.life));
        }
        world.open();
        for (index, partner) in partners.iter().enumerate() {
            for class in 0..2 {
                let clients = clients(index as u64, class, partner.arrivals, partner.life, 90.0);
                world.clients(seconds(0.01 * f64::from(class)), clients);
            }
        }
        world.run(seconds(60.0));
        world.check_nothing_lost();
        world.run(seconds(400.0));
        prop_assert_eq!(world.held(), 0);
        world.check_nothing_lost();
        prop_assert_eq!(world.planner.destinations(), 0);
        prop_assert_eq!(world.planner.slots_used(), 0);
    }
}
