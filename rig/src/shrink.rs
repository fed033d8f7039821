//! Shortens a schedule that fails: what is left out is left out for good if it fails all the same.
use crate::schedule::Schedule;

/// A shorter schedule that still fails, by `fails`, which plays it. At most so many plays.
pub fn shrink(schedule: &Schedule, mut plays: usize, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
    let mut least = schedule.clone();
    let mut attempt = |least: &mut Schedule, shorter: Schedule| {
        if plays == 0 || shorter == *least || shorter.check().is_err() {
            return false;
        }
        plays -= 1;
        let kept = fails(&shorter);
        if kept {
            *least = shorter;
        }
        kept
    };
    // Whole spans of faults first, then smaller ones, down to each alone.
    let mut span = least.faults.len();
    while span > 0 {
        let mut first = 0;
        while first < least.faults.len() {
            let mut shorter = least.clone();
            let end = (first + span).min(shorter.faults.len());
            shorter.faults.drain(first..end);
            if !attempt(&mut least, shorter) {
                first += span;
            }
        }
        span /= 2;
    }
    // Then fewer relays, where no fault names those that go; and less time.
    while least.relay.count > 1 {
        let mut fewer = least.clone();
        fewer.relay.count = fewer.relay.count.div_ceil(2);
        if !attempt(&mut least, fewer) {
            break;
        }
    }
    loop {
        let mut shorter = least.clone();
        shorter.seconds = (shorter.seconds / 2.0).max(1.0);
        if !attempt(&mut least, shorter) {
            break;
        }
    }
    least
}

#[cfg(test)]
mod tests {
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
}
