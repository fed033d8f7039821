//! Shortens a failing schedule: a part is dropped if the schedule still fails without it.
use crate::schedule::Schedule;

/// A shorter schedule that still fails. `fails` plays a schedule and is called at most `plays` times.
pub fn shrink(schedule: &Schedule, mut plays: usize, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
    let mut shortest = schedule.clone();
    let mut attempt = |shortest: &mut Schedule, shorter: Schedule| {
        if plays == 0 || shorter == *shortest || shorter.check().is_err() {
            return false;
        }
        plays -= 1;
        let still_fails = fails(&shorter);
        if still_fails {
            *shortest = shorter;
        }
        still_fails
    };
    // Drops large ranges of faults first, then smaller ones, down to single faults.
    let mut window = shortest.faults.len();
    while window > 0 {
        let mut first = 0;
        while first < shortest.faults.len() {
            let mut shorter = shortest.clone();
            let end = (first + window).min(shorter.faults.len());
            shorter.faults.drain(first..end);
            if !attempt(&mut shortest, shorter) {
                first += window;
            }
        }
        window /= 2;
    }
    // Then tries fewer relays, as far as no fault names the dropped ones, and a shorter time.
    while shortest.relay.count > 1 {
        let mut fewer = shortest.clone();
        fewer.relay.count = fewer.relay.count.div_ceil(2);
        if !attempt(&mut shortest, fewer) {
            break;
        }
    }
    loop {
        let mut shorter = shortest.clone();
        shorter.seconds = (shorter.seconds / 2.0).max(1.0);
        if !attempt(&mut shortest, shorter) {
            break;
        }
    }
    shortest
}

#[cfg(test)]
mod tests;
