//! When the list of endpoints is asked for.
//!
//! Owns the pauses between calls to discovery: at the start, and after calls that failed. It knows no list and sends
//! nothing. Discovery is one service for all couriers and answers one call after another; a call that has waited too
//! long there is thrown away, though not its cost. A fleet that asks together, or again at once, is answered by nobody.
use crate::interface::Nanos;
use crate::state::{Random, SECOND, nanos, secs};

/// First pause after an answer that broke off: it may have told of a drain.
const FIRST: Nanos = SECOND / 20;
/// Pauses double up to so many first ones.
const MOST: Nanos = 5;
/// Longest pause for each courier of the tier, in seconds, where nothing was told: all of them together ask a dozen
/// times a second, which is what a slow discovery was seen to answer.
const SPACE: f64 = 0.08;

/// The pauses of one courier.
#[derive(Default)]
pub struct Asking {
    /// How many couriers there are, and within what time the rules want each to ask.
    couriers: f64,
    quiet: Nanos,
    pause: Nanos,
    failed_at: Nanos,
    /// An answer broke off, and none has come whole since.
    torn: bool,
}

impl Asking {
    /// Takes up how many couriers there are, and the time within which each must ask.
    pub fn settle(&mut self, couriers: f64, quiet: Nanos) {
        (self.couriers, self.quiet) = (couriers, quiet);
    }

    /// When to ask first: spread over the time that discovery needs for all couriers.
    pub fn start(&self, random: &mut Random) -> Nanos {
        match (self.first() - FIRST) * MOST {
            0 => 0,
            spread => nanos(secs(spread) * random.unit()),
        }
    }

    /// A list has come.
    pub fn told(&mut self) {
        self.torn = false;
    }

    /// When to ask again. What broke off may have told of a drain, so that is not put off, however many they are.
    pub fn failed(&mut self, now: Nanos, torn: bool, random: &mut Random) -> Nanos {
        self.torn |= torn;
        let first = self.first();
        // Starts anew only after a time without failure: answers may break off every other time.
        let anew = self.pause == 0 || now > self.failed_at + self.quiet;
        self.pause = if anew { first } else { (self.pause * 2).clamp(first, first * MOST) };
        self.failed_at = now;
        nanos(secs(self.pause) * (0.5 + random.unit()))
    }

    fn first(&self) -> Nanos {
        let spaced = nanos(SPACE * self.couriers).min(self.quiet) / MOST;
        if self.torn { FIRST } else { spaced.max(FIRST) }
    }
}
