use super::*;

#[test]
fn a_seed_draws_the_same_schedule_each_time_and_reads_back_as_it_was() {
    for seed in 0..200 {
        let drawn = schedule(seed);
        assert_eq!(drawn, schedule(seed));
        assert_eq!(Schedule::parse(&drawn.text()).expect("sound"), drawn, "seed {seed}");
    }
}

#[test]
fn every_kind_of_fault_is_drawn_by_some_seed() {
    let drawn: Vec<_> = (0..50).map(schedule).collect();
    for kind in [Kind::Term, Kind::Kill, Kind::Hup, Kind::Stop, Kind::Call, Kind::TornWrite, Kind::Clock] {
        assert!(drawn.iter().any(|s| s.faults.iter().any(|fault| fault.kind == kind)), "{kind:?}");
    }
    let crowds = drawn.iter().filter(|s| s.crowd.connections > 0).count();
    assert!((5..25).contains(&crowds), "{crowds}");
}
