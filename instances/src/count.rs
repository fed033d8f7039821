//! How a fleet divides limits among the instances that are there.
//!
//! Divides by no fewer than are there: more are counted at once, fewer only slowly, since views differ for a while whenever somebody comes or goes,
//! and a partition looks like the end of all on its other side.
use std::time::Duration;

use crate::At;

/// Fewer are counted only once that was so for this long: longer than it takes hundreds to see who has come back from a restart.
const SURE: Duration = Duration::from_secs(20);
/// Then what is counted above those that are there shrinks by this part ...
const STEP_PART: f64 = 0.1;
/// ... each time that this has passed: half of all are given up for gone within a minute.
const STEP: Duration = Duration::from_secs(5);

/// How many instances limits are divided by.
#[derive(Clone, Debug)]
pub struct InstanceCount {
    counted: f64,
    there: u32,
    /// When fewer may be counted next.
    fewer_at: At,
}

impl InstanceCount {
    /// At first, as many as were told, this one among them.
    pub fn new(told: u32, now: At) -> Self {
        InstanceCount { counted: f64::from(told.max(1)), there: 1, fewer_at: now + SURE }
    }

    /// So many are there, this one among them.
    pub fn set_alive(&mut self, now: At, there: u32) {
        // Some came back, and others may yet; or some went for the first time since all were there.
        if there > self.there || self.counted <= f64::from(self.there) {
            self.fewer_at = self.fewer_at.max(now + SURE);
        }
        self.there = there.max(1);
        self.counted = self.counted.max(f64::from(self.there));
    }

    /// The time has come, or something has: how many are counted now.
    pub fn effective(&mut self, now: At) -> u32 {
        let there = f64::from(self.there);
        while self.counted > there && now >= self.fewer_at {
            let over = (self.counted - there) * (1.0 - STEP_PART);
            // The last one is not left for ever.
            self.counted = if over < 0.5 { there } else { there + over };
            self.fewer_at += STEP;
        }
        self.counted.ceil() as u32
    }

    /// When fewer may be counted, if ever.
    pub fn due(&self) -> Option<At> {
        (self.counted > f64::from(self.there)).then_some(self.fewer_at)
    }
}

#[cfg(test)]
mod tests;
