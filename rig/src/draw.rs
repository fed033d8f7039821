//! Adds random faults to a schedule: the same faults for the same seed on any machine.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::schedule::{Fault, FaultKind, LinkTo, Schedule, StateFolder};

/// Share of a schedule's time within which faults begin. Most end well before the schedule does, since the checks are about how the
/// fleet recovers.
const FAULTS_WITHIN: f64 = 0.66;

/// A copy of the schedule with this many drawn faults added.
pub fn draw(base: &Schedule, seed: u64, faults: usize) -> Schedule {
    let mut random = StdRng::seed_from_u64(seed);
    let mut drawn = base.clone();
    drawn.name = format!("{}-{seed}", base.name);
    drawn.seed = seed;
    for _ in 0..faults {
        drawn.faults.push(draw_fault(&mut random, base));
    }
    drawn.faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    drawn
}

fn draw_fault(random: &mut StdRng, base: &Schedule) -> Fault {
    use FaultKind::*;
    let kinds = [
        Cut, CutTo, CutFrom, Refuse, Reset, Tear, Stuck, Slow, Repeat, Kill, Kill, Term, Stop, Stop, ListDown,
    ];
    let kind = kinds[random.random_range(0..kinds.len())];
    let first = random.random_range(0..base.relay.count);
    let last = random.random_range(first..base.relay.count);
    let links = [LinkTo::List, LinkTo::List, LinkTo::Endpoints, LinkTo::Submitters];
    // Times are tenths of a second, which are easy to read and survive writing and reading unchanged.
    let tenths = |s: f64| (s * 10.0).round().max(1.0) / 10.0;
    let at_s = tenths(random.random_range(0.0..base.seconds * FAULTS_WITHIN));
    let remaining = (base.seconds - at_s).max(0.2);
    Fault {
        for_s: Some(tenths(random.random_range(0.1..remaining.min(base.seconds / 3.0).max(0.2)))),
        relays: if first == last { format!("r{first}") } else { format!("r{first}-r{last}") },
        link: kind.is_link().then(|| links[random.random_range(0..links.len())]),
        delay_ms: if matches!(kind, Slow | Repeat) { random.random_range(0..500) } else { 0 },
        jitter_ms: if matches!(kind, Slow | Repeat) { random.random_range(1..200) } else { 0 },
        one_in: if kind == Repeat { random.random_range(1..6) } else { 0 },
        torn: kind == Repeat && random.random_bool(0.25),
        after_bytes: if kind == Tear { random.random_range(1..400) } else { 0 },
        folder: if kind.ends_process() && random.random_bool(0.3) {
            StateFolder::Emptied
        } else {
            StateFolder::Kept
        },
        ..Fault::new(at_s, kind)
    }
}

#[cfg(test)]
mod tests;
