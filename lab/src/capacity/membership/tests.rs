use super::*;

fn options() -> Options {
    Options { quick: true, out: "unused".into(), seed: 7 }
}

/// Without what depends on this machine: processor time and memory.
fn reproducible(reading: Reading) -> Reading {
    let plain = |traffic: Traffic| Traffic { cpu: 0.0, ..traffic };
    let event = |event: Event| Event { traffic: plain(event.traffic), ..event };
    Reading {
        start: event(reading.start),
        rest: plain(reading.rest),
        memory: 0.0,
        single_restarts: event(reading.single_restarts),
        rolling: event(reading.rolling),
        rack_gone: event(reading.rack_gone),
        rack_back: event(reading.rack_back),
        zone_gone: event(reading.zone_gone),
        zone_back: event(reading.zone_back),
        parted: plain(reading.parted),
        joined: event(reading.joined),
    }
}

#[test]
fn a_seed_decides_all_bytes_and_all_that_happens_costs_bytes_and_ends_in_agreement() {
    let [first, again] = [(); 2].map(|()| reproducible(play(8, &options()).expect("agreement")));
    assert_eq!(first, again);
    let named = simulated_instances::series("instances", &QUANTITIES, &[(8, first)]);
    for series in named.iter().filter(|s| s.unit.starts_with("B/s") || s.unit.starts_with("s until")) {
        assert!(series.points[0].value > 0.0, "{}", series.name);
    }
}

#[test]
fn who_is_not_seen_and_who_is_seen_but_gone_counts_as_wrong() {
    let mut fleet = Fleet::new(4, 1);
    fleet.start(&[0, 1, 2, 3]);
    assert_eq!(fleet.wrong, 12);
    fleet.until_agreed(fleet.network.now).expect("agreement");
    fleet.kill(&[3]);
    assert_eq!(fleet.wrong, 3, "three see one that is gone");
    fleet.start(&[3]);
    assert_eq!(fleet.wrong, 6, "its present process is seen by nobody, and sees nobody");
    fleet.until_agreed(fleet.network.now).expect("agreement");
    fleet.check().expect("the instances' own views agree as well");
}
