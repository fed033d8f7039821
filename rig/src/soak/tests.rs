use super::*;

#[test]
fn a_seed_always_draws_the_same_schedule_which_is_unchanged_by_writing_and_reading() {
    for seed in 0..200 {
        let drawn = schedule(seed);
        assert_eq!(drawn, schedule(seed));
        assert_eq!(Schedule::parse(&drawn.to_toml()).expect("valid"), drawn, "seed {seed}");
    }
}

#[test]
fn every_kind_of_fault_is_drawn_by_some_seed() {
    let drawn: Vec<_> = (0..50).map(schedule).collect();
    for kind in [
        FaultKind::Term,
        FaultKind::Kill,
        FaultKind::Hup,
        FaultKind::Stop,
        FaultKind::Call,
        FaultKind::TornWrite,
        FaultKind::Clock,
        FaultKind::Repeat,
        FaultKind::SecondStart,
    ] {
        assert!(drawn.iter().any(|s| s.faults.iter().any(|fault| fault.kind == kind)), "{kind:?}");
    }
    let has_second_start = |s: &&Schedule| s.faults.iter().any(|f| f.kind == FaultKind::SecondStart);
    let with_second_start = drawn.iter().filter(has_second_start).count();
    assert!(with_second_start >= 10, "{with_second_start}");
    let with_script = drawn.iter().filter(|s| s.looping_script.is_some()).count();
    assert!((5..25).contains(&with_script), "{with_script}");
    let with_idle_clients = drawn.iter().filter(|s| s.idle_clients.connections > 0).count();
    assert!((5..25).contains(&with_idle_clients), "{with_idle_clients}");
    for kind in HardClientKind::ALL {
        let has_kind = |s: &Schedule| s.hard_clients.is_some_and(|clients| clients.kind == kind);
        assert!((0..100).map(schedule).any(|s| has_kind(&s)), "{kind:?}");
    }
}
