//! Tests of the planner against a simulated store, destinations and clients in virtual time.
mod simulation;

use proptest::prelude::*;
use std::time::Duration;

use super::destination::Destination;
use super::fair_share::LaneState;
use super::{Action, Event, Planner, RefusalReason, Settings, StoreFault, StoreHealth};
use simulation::{Clients, Endpoint, Simulation, lane, seconds};

const HOUR: f64 = 3_600.0;

fn slots(count: u64) -> Settings {
    let settings = Settings::default();
    Settings { window_memory: count * settings.message_memory, ..settings }
}

fn clients(destination: u64, class: u16, rate: f64, ttl: f64, until: f64) -> Clients {
    let every = seconds(1.0 / rate);
    Clients { lane: lane(destination, class), every, ttl: seconds(ttl), until: seconds(until) }
}

#[test]
fn a_deep_backlog_keeps_a_fast_destination_busy_through_stalls() {
    let mut simulation = Simulation::new(Settings::default());
    simulation.endpoints.insert(1, Endpoint::new(2_000.0));
    simulation.stored(lane(1, 0), 640_000, seconds(HOUR));
    simulation.stall_every(6.0, 1.0, 400.0);
    simulation.open();
    for end in [40.0, 160.0, 320.0 / 0.95] {
        simulation.run(seconds(end));
        let delivered = simulation.delivered(1, None).count() as f64;
        assert!(delivered >= 0.95 * (2_000.0 * end).min(640_000.0), "{delivered} in {end} s");
    }
    simulation.check_nothing_lost();
}

#[test]
fn a_million_messages_for_one_destination_do_not_starve_37_001_others() {
    let mut simulation = Simulation::new(Settings::default());
    simulation.endpoints.insert(0, Endpoint::new(500.0));
    simulation.stored(lane(0, 0), 1_000_000, seconds(HOUR));
    for destination in 1..=37_001 {
        simulation.endpoints.insert(destination, Endpoint::new(10.0));
        simulation.stored(lane(destination, 0), 1, seconds(HOUR));
    }
    simulation.open();
    simulation.run(seconds(20.0));
    let singles =
        simulation.completions.iter().filter(|completion| completion.message.lane.destination != 0).count();
    let million = simulation.delivered(0, None).count();
    assert_eq!(singles, 37_001);
    assert!(million >= 5_000, "{million} of the million messages");
    simulation.check_nothing_lost();
}

#[test]
fn a_destination_drains_after_an_hour_down_and_survives_a_second_outage() {
    let mut simulation = Simulation::new(slots(200));
    let endpoint = Endpoint::new(50.0).down(60.0, HOUR).down(HOUR + 600.0, HOUR + 1_200.0);
    simulation.endpoints.insert(1, endpoint);
    simulation.clients(Duration::ZERO, clients(1, 0, 20.0, 1_800.0, 2.0 * HOUR));
    simulation.run(seconds(HOUR));
    simulation.check_nothing_lost();
    let before = simulation.delivered(1, None).count();
    simulation.run(seconds(HOUR + 600.0));
    let after = simulation.delivered(1, None).count() - before;
    assert!(after as f64 >= 0.95 * 50.0 * 600.0, "{after} delivered in the ten minutes after the outage");
    simulation.run(seconds(3.0 * HOUR));
    assert_eq!(simulation.outstanding(), 0);
    simulation.check_nothing_lost();
    assert_eq!(simulation.planner.destinations(), 0, "an idle destination has no record");
}

#[test]
fn a_million_simultaneous_expiries_are_paced_and_do_not_block_fetches() {
    let mut simulation = Simulation::new(Settings::default());
    simulation.endpoints.insert(1, Endpoint::new(100.0).down(0.0, HOUR));
    simulation.endpoints.insert(2, Endpoint::new(500.0));
    simulation.stored(lane(1, 0), 1_000_000, seconds(30.0));
    simulation.stored(lane(2, 0), 40_000, seconds(HOUR));
    simulation.stalls = vec![(seconds(33.0), seconds(0.9)), (seconds(36.0), seconds(0.9))];
    simulation.open();
    simulation.run(seconds(60.0));
    let completions = simulation.completions.iter().filter(|completion| !completion.delivered);
    let completions: Vec<Duration> = completions.map(|completion| completion.at).collect();
    assert_eq!(completions.len(), 1_000_000);
    for (index, at) in completions.iter().enumerate() {
        let schedule = seconds(31.0 + index as f64 / 100_000.0);
        assert!(
            *at <= schedule,
            "expiry {index} is reported at {at:?}, after its scheduled time {schedule:?}"
        );
    }
    // Read in slices, except for the expiries that the stalls delayed.
    assert!(simulation.expiry_reads <= 1_200, "{} reads", simulation.expiry_reads);
    // The number of expiries reported within a second is bounded.
    let first_second = completions.iter().filter(|at| **at <= seconds(31.0)).count();
    assert!(first_second <= 102_000, "{first_second} reported within the first second");
    let others = simulation.delivered(2, None).count();
    assert!(others >= 28_500, "{others} of 30,000 for the other destination");
    simulation.check_nothing_lost();
}

#[test]
fn admitted_messages_are_in_time_and_refused_ones_would_be_late() {
    let mut simulation = Simulation::new(Settings::default());
    simulation.endpoints.insert(1, Endpoint::new(100.0));
    simulation.clients(Duration::ZERO, clients(1, 0, 150.0, 20.0, 600.0));
    simulation.run(seconds(640.0));
    assert_eq!(simulation.outstanding(), 0);
    let late = simulation.completions.iter().filter(|completion| !completion.delivered).count();
    assert!(late * 100 <= simulation.completions.len(), "{late} late of {}", simulation.completions.len());
    assert!(
        simulation.completions.len() >= 57_000,
        "{} accepted, but the destination can take 60,000",
        simulation.completions.len()
    );
    assert!(simulation.refusals.len() > 20_000);
    for refusal in &simulation.refusals {
        assert_eq!(refusal.lane, lane(1, 0));
        assert!(refusal.ahead as f64 / 100.0 >= 0.9 * 20.0, "{refusal:?}");
    }
}

#[test]
fn a_destination_that_is_down_keeps_its_last_measured_rate() {
    let mut simulation = Simulation::new(Settings::default());
    simulation.endpoints.insert(1, Endpoint::new(100.0).down(60.0, 600.0));
    simulation.clients(Duration::ZERO, clients(1, 0, 120.0, 60.0, 60.0));
    simulation.clients(seconds(60.0), clients(1, 0, 10.0, 60.0, 500.0));
    simulation.run(seconds(500.0));
    let stats = simulation.planner.stats(simulation.now, 1).unwrap();
    assert!((95.0..105.0).contains(&stats.rate.unwrap()), "{stats:?}");
    // At most 600 messages wait, and 6,000 can be delivered within 60 s, so none is refused as too late.
    assert!(simulation.refusals.is_empty());
}

#[test]
fn waiting_classes_are_served_in_proportion_to_their_worth() {
    let mut simulation =
        Simulation::new(Settings { class_worth: vec![3.0, 1.0, 0.0], ..Settings::default() });
    simulation.endpoints.insert(1, Endpoint::new(400.0));
    (0..3).for_each(|class| simulation.stored(lane(1, class), 100_000, seconds(HOUR)));
    simulation.open();
    simulation.run(seconds(100.0));
    let [high, low, worthless] = [0, 1, 2].map(|class| simulation.delivered(1, Some(class)).count() as f64);
    assert!((2.9..3.1).contains(&(high / low)), "{high} to {low}");
    assert!(worthless >= 0.9 * (high + low) / 4.0 * 3.0 / 64.0, "{worthless}");
}

#[test]
fn neither_new_nor_old_messages_starve_the_other() {
    let mut simulation = Simulation::new(Settings { class_worth: vec![1.0, 4.0], ..Settings::default() });
    simulation.endpoints.insert(1, Endpoint::new(200.0));
    simulation.stored(lane(1, 0), 100_000, seconds(HOUR));
    simulation.open();
    simulation.clients(seconds(5.0), clients(1, 1, 20.0, 60.0, 60.0));
    simulation.run(seconds(60.0));
    let slowest = simulation
        .delivered(1, Some(1))
        .map(|completion| completion.at - completion.message.arrived)
        .max()
        .unwrap();
    assert!(slowest <= seconds(3.0), "a new message took {slowest:?}");
    // Now more new messages arrive than the destination can take; the old ones keep a fifth of the rate.
    simulation.clients(simulation.now, clients(1, 1, 400.0, 600.0, 160.0));
    let before = simulation.delivered(1, Some(0)).count();
    simulation.run(seconds(160.0));
    let old = simulation.delivered(1, Some(0)).count() - before;
    assert!(old as f64 >= 0.9 * 200.0 * 100.0 / 5.0, "{old} of the old messages");
}

#[test]
fn arrivals_do_not_fill_the_window_while_fetches_fail() {
    let mut planner = Planner::new(Settings::default());
    let lanes = vec![super::LaneCount { lane: lane(1, 0), messages: 1_000 }];
    planner.handle(Duration::ZERO, Event::Opened { lanes, earliest_deadline_in: None });
    planner.handle(Duration::ZERO, Event::FetchFailed { lane: lane(1, 0) });
    let mut arrive = |arrival| {
        let event = Event::Arrived { arrival, lane: lane(1, 1), time_left: seconds(60.0) };
        planner.handle(seconds(0.1), event).remove(0)
    };
    // Of 16 slots, fair queueing grants the class one message, and one more at a tie of the start tags.
    assert_eq!(arrive(1), Action::AdmitToMemory { arrival: 1 });
    arrive(2);
    assert_eq!(arrive(3), Action::Spill { arrival: 3, lane: lane(1, 1) });
}

#[test]
fn arrivals_do_not_overtake_messages_being_evicted() {
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
fn slots_of_stalled_destinations_go_to_recovered_ones() {
    let mut simulation = Simulation::new(slots(100));
    for destination in 0..400 {
        simulation.endpoints.insert(destination, Endpoint::new(10.0).down(0.0, 60.0 + destination as f64));
        simulation.stored(lane(destination, 0), 20, seconds(HOUR));
    }
    simulation.endpoints.insert(1_000, Endpoint::new(20.0));
    simulation.stored(lane(1_000, 0), 2_000, seconds(HOUR));
    simulation.open();
    simulation.run(seconds(60.0));
    let healthy = simulation.delivered(1_000, None).count();
    assert!(healthy as f64 >= 0.8 * 20.0 * 60.0, "{healthy} for the healthy destination");
    simulation.run(seconds(600.0));
    assert_eq!(
        simulation.completions.iter().filter(|completion| completion.message.lane.destination < 400).count(),
        8_000
    );
    simulation.check_nothing_lost();
}

#[test]
fn scarce_slots_are_shared_among_all_destinations() {
    let mut simulation = Simulation::new(slots(20));
    for destination in 0..100 {
        simulation.endpoints.insert(destination, Endpoint::new(10.0));
        simulation.stored(lane(destination, 0), 1_000, seconds(HOUR));
    }
    simulation.open();
    simulation.run(seconds(100.0));
    let delivered: Vec<usize> =
        (0..100).map(|destination| simulation.delivered(destination, None).count()).collect();
    let mean = simulation.completions.len() / 100;
    assert!(mean >= 50, "{mean} each");
    assert!(delivered.iter().all(|count| *count >= mean / 2 && *count <= mean * 2), "{delivered:?}");
    simulation.check_nothing_lost();
}

#[test]
fn a_full_or_failing_store_refuses_keeps_serving_and_recovers() {
    for fault in [StoreFault::Full, StoreFault::Failing] {
        let mut simulation = Simulation::new(slots(50));
        simulation.endpoints.insert(1, Endpoint::new(100.0));
        simulation.stored(lane(1, 0), 5_000, seconds(HOUR));
        simulation.faults = vec![(seconds(10.0), seconds(30.0), fault)];
        simulation.open();
        simulation.clients(seconds(1.0), clients(1, 0, 10.0, HOUR, 40.0));
        simulation.run(seconds(40.0));
        let delivered = simulation.delivered(1, None).count();
        assert!(delivered >= 3_800, "{delivered} of the stored messages");
        let refused =
            |from, to| simulation.refusals.iter().filter(|r| (from..to).contains(&r.at.as_secs())).count();
        assert!(refused(11, 30) >= 189, "{} refused", refused(11, 30));
        assert_eq!(refused(0, 10), 0);
        // The probes are 1, 2, 4, 8 and 16 s apart: the store works again from 30 s, but the next probe is at 41 s.
        assert_eq!(
            simulation.planner.health(),
            if fault == StoreFault::Full { StoreHealth::Full } else { StoreHealth::Failed }
        );
        simulation.run(seconds(45.0));
        assert_eq!(simulation.planner.health(), StoreHealth::Healthy);
        simulation.check_nothing_lost();
    }
}

#[test]
fn quota_exhaustion_has_hysteresis() {
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
fn a_stalled_store_stays_slow_until_it_responds_steadily() {
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
fn a_requested_backoff_delays_fetches_until_shortly_before_its_end() {
    let mut planner = Planner::new(slots(1));
    let backoff = Event::BackoffRequested { destination: 1, until: seconds(10.0) };
    let arrive = |arrival| Event::Arrived { arrival, lane: lane(1, 0), time_left: seconds(60.0) };
    (1..=2).for_each(|arrival| drop(planner.handle(Duration::ZERO, arrive(arrival))));
    planner.handle(Duration::ZERO, backoff);
    planner.handle(Duration::ZERO, Event::Stored { lane: lane(1, 0), count: 1 });
    let outcome = super::Outcome::Ended;
    let is_fetch = |action: &Action| matches!(action, Action::Fetch { .. });
    let actions = planner.handle(seconds(1.0), Event::LeftMemory { destination: 1, outcome });
    assert!(!actions.iter().any(is_fetch), "{actions:?}");
    let actions = planner.handle(seconds(8.75), Event::Tick);
    assert!(actions.iter().any(is_fetch), "{actions:?}");
}

#[test]
fn a_failed_fetch_is_retried_and_a_dropped_spill_leaves_no_record() {
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
fn a_destination_record_stays_small() {
    assert!(size_of::<Destination>() <= 288, "{} bytes", size_of::<Destination>());
    assert!(size_of::<LaneState>() <= 40, "{} bytes", size_of::<LaneState>());
}

#[derive(Clone, Debug)]
struct DestinationCase {
    rate: f64,
    arrivals: f64,
    ttl: f64,
    stored: u64,
    down: (f64, f64),
}

fn destination_case() -> impl Strategy<Value = DestinationCase> {
    let down = (0.0..60.0_f64, 0.0..60.0_f64);
    (1.0..200.0_f64, 0.1..100.0_f64, 1.0..120.0_f64, 0..400_u64, down)
        .prop_map(|(rate, arrivals, ttl, stored, down)| DestinationCase { rate, arrivals, ttl, stored, down })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// The simulation checks that no message is lost or completed twice, the order within each lane, and the bound of
    /// the slots.
    #[test]
    fn each_message_completes_once_and_in_order(
        cases in prop::collection::vec(destination_case(), 1..12),
        slot_count in 1..60_u64,
        stalls in 1.0..20.0_f64,
        fault in (0.0..60.0_f64, 0.0..10.0_f64, any::<bool>()),
    ) {
        let mut simulation = Simulation::new(Settings { class_worth: vec![1.0, 5.0], ..slots(slot_count) });
        let kind = if fault.2 { StoreFault::Full } else { StoreFault::Failing };
        simulation.faults = vec![(seconds(fault.0), seconds(fault.0 + fault.1), kind)];
        simulation.stall_every(stalls, 1.0, 90.0);
        for (index, case) in cases.iter().enumerate() {
            let destination = index as u64;
            let endpoint = Endpoint::new(case.rate).down(case.down.0, case.down.0 + case.down.1);
            simulation.endpoints.insert(destination, endpoint);
            simulation.stored(lane(destination, 1), case.stored, seconds(case.ttl));
        }
        simulation.open();
        for (index, case) in cases.iter().enumerate() {
            for class in 0..2 {
                let clients = clients(index as u64, class, case.arrivals, case.ttl, 90.0);
                simulation.clients(seconds(0.01 * f64::from(class)), clients);
            }
        }
        simulation.run(seconds(60.0));
        simulation.check_nothing_lost();
        simulation.run(seconds(400.0));
        prop_assert_eq!(simulation.outstanding(), 0);
        simulation.check_nothing_lost();
        prop_assert_eq!(simulation.planner.destinations(), 0);
        prop_assert_eq!(simulation.planner.slots_used(), 0);
    }
}
