use super::*;

fn options() -> Options {
    Options { quick: true, out: "unused".into(), seed: 7 }
}

/// The reading without the values that depend on the machine: processor time and memory.
fn reproducible(reading: Reading) -> Reading {
    let plain = |traffic: Traffic| Traffic { cpu: 0.0, ..traffic };
    let event = |event: Event| Event { traffic: plain(event.traffic), ..event };
    Reading {
        start: event(reading.start),
        steady_state: plain(reading.steady_state),
        memory: 0.0,
        single_restarts: event(reading.single_restarts),
        rolling: event(reading.rolling),
        rack_failed: event(reading.rack_failed),
        rack_recovered: event(reading.rack_recovered),
        zone_failed: event(reading.zone_failed),
        zone_recovered: event(reading.zone_recovered),
        partitioned: plain(reading.partitioned),
        healed: event(reading.healed),
    }
}

#[test]
fn traffic_is_reproducible_for_a_seed_and_every_event_costs_bytes_and_converges() {
    let [first, again] = [(); 2].map(|()| reproducible(simulate(8, &options()).expect("agreement")));
    assert_eq!(first, again);
    let all_series = simulated_instances::series("instances", &QUANTITIES, &[(8, first)]);
    for series in all_series.iter().filter(|s| s.unit.starts_with("B/s") || s.unit.starts_with("s until")) {
        assert!(series.points[0].value > 0.0, "{}", series.name);
    }
}

#[test]
fn unseen_running_instances_and_seen_ended_instances_count_as_incorrect_views() {
    let mut fleet = Fleet::new(4, 1);
    fleet.start(&[0, 1, 2, 3]);
    assert_eq!(fleet.incorrect_views, 12);
    fleet.wait_until_agreed(fleet.network.now).expect("agreement");
    fleet.kill(&[3]);
    assert_eq!(fleet.incorrect_views, 3, "three instances see one that has ended");
    fleet.start(&[3]);
    assert_eq!(fleet.incorrect_views, 6, "its new process is not seen by the others and does not see them");
    fleet.wait_until_agreed(fleet.network.now).expect("agreement");
    fleet.check().expect("the instances' own views agree as well");
}
