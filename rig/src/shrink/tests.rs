use super::*;
use crate::draw::draw;
use crate::schedule::FaultKind;

#[test]
fn shrinking_keeps_only_what_the_failure_needs() {
    let text =
        "name = \"s\"\nseconds = 16.0\n[relay]\ncount = 8\n[[partners]]\ncount = 1\n[load]\nrate = 5.0\n";
    let base = Schedule::parse(text).expect("valid");
    let has = |s: &Schedule, kind| s.faults.iter().any(|f| f.kind == kind);
    let fails = |s: &Schedule| has(s, FaultKind::Stop) && has(s, FaultKind::Kill) && s.seconds >= 4.0;
    let full = (0..).map(|seed| draw(&base, seed, 12)).find(fails).expect("some seed has both");
    let mut played = 0;
    let shortest = shrink(&full, 100, |s| {
        played += 1;
        fails(s)
    });
    assert_eq!((shortest.faults.len(), shortest.seconds), (2, 4.0), "{}", shortest.to_toml());
    assert!(fails(&shortest) && played <= 100);
    assert_eq!(shrink(&full, 0, fails), full, "without plays nothing changes");
}
