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
mod tests;
