use super::*;
use crate::draw::draw;
use crate::schedule::Kind;

#[test]
fn only_what_it_takes_to_fail_is_left() {
    let text =
        "name = \"s\"\nseconds = 16.0\n[relay]\ncount = 8\n[[partners]]\ncount = 1\n[load]\nrate = 5.0\n";
    let base = Schedule::parse(text).expect("sound");
    let has = |s: &Schedule, kind| s.faults.iter().any(|f| f.kind == kind);
    let fails = |s: &Schedule| has(s, Kind::Stop) && has(s, Kind::Kill) && s.seconds >= 4.0;
    let whole = (0..).map(|seed| draw(&base, seed, 12)).find(fails).expect("some seed has both");
    let mut played = 0;
    let least = shrink(&whole, 100, |s| {
        played += 1;
        fails(s)
    });
    assert_eq!((least.faults.len(), least.seconds), (2, 4.0), "{}", least.text());
    assert!(fails(&least) && played <= 100);
    assert_eq!(shrink(&whole, 0, fails), whole, "no play, no change");
}
