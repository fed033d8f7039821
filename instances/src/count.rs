//! The number of instances by which limits of the whole fleet are divided.
//!
//! It is never lower than the number of live instances. It rises at once and falls only slowly, since views differ for a while
//! whenever an instance joins or leaves, and a network partition looks like the end of all instances on its other side.
use std::time::Duration;

use crate::At;

/// The count falls only once fewer instances were alive for this long: longer than hundreds of instances take to see all that came
/// back from a restart.
const STABLE_FOR: Duration = Duration::from_secs(20);
/// Then the excess over the live instances shrinks by this fraction ...
const DECAY_FRACTION: f64 = 0.1;
/// ... every such interval, so that the count follows the loss of half of all instances within a minute.
const DECAY_INTERVAL: Duration = Duration::from_secs(5);

/// The number of instances by which limits are divided, following the live instances with a delay.
#[derive(Clone, Debug)]
pub struct InstanceCount {
    count: f64,
    alive: u32,
    /// When the count may fall next.
    next_decay_at: At,
}

impl InstanceCount {
    /// Starts from the configured number of instances, this one among them.
    pub fn new(configured: u32, now: At) -> Self {
        InstanceCount { count: f64::from(configured.max(1)), alive: 1, next_decay_at: now + STABLE_FOR }
    }

    /// Sets how many instances are alive, this one among them.
    pub fn set_alive(&mut self, now: At, alive: u32) {
        // Instances came back, and others may follow; or the first ones went down since all were counted as alive.
        if alive > self.alive || self.count <= f64::from(self.alive) {
            self.next_decay_at = self.next_decay_at.max(now + STABLE_FOR);
        }
        self.alive = alive.max(1);
        self.count = self.count.max(f64::from(self.alive));
    }

    /// The count at a time, after the decay that is due by then.
    pub fn effective(&mut self, now: At) -> u32 {
        let alive = f64::from(self.alive);
        while self.count > alive && now >= self.next_decay_at {
            let excess = (self.count - alive) * (1.0 - DECAY_FRACTION);
            // Without this the excess would never reach zero.
            self.count = if excess < 0.5 { alive } else { alive + excess };
            self.next_decay_at += DECAY_INTERVAL;
        }
        self.count.ceil() as u32
    }

    /// When the count falls next; `None` if it equals the number of live instances.
    pub fn due(&self) -> Option<At> {
        (self.count > f64::from(self.alive)).then_some(self.next_decay_at)
    }
}

#[cfg(test)]
mod tests;
