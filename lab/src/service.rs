//! A service that takes one call at a time: when each call's turn comes, what it costs, and which are thrown away.
//!
//! Owns the queue's arithmetic and nothing else: no socket and no clock. Calls come in the order of time, and what becomes of one
//! is known as soon as it comes, since nothing overtakes. Whoever called may be gone by then; the service does not see that.
use serde::{Deserialize, Serialize};
use std::time::Duration;

use crate::model::At;

/// What calls cost a list service.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Costs {
    /// A whole list, in milliseconds.
    pub whole_ms: f64,
    /// The start of a watch, in milliseconds. One that goes on within `renew_ms` of its last answer costs nothing.
    pub watch_ms: f64,
    pub renew_ms: u64,
    /// What has waited so long by its turn is thrown away, in milliseconds.
    pub waits_ms: u64,
    /// At such a part of its cost.
    pub thrown_part: f64,
}

impl Default for Costs {
    fn default() -> Self {
        Costs { whole_ms: 0.0, watch_ms: 0.0, renew_ms: 200, waits_ms: 2000, thrown_part: 0.5 }
    }
}

impl Costs {
    /// The first key that is out of bounds, and why.
    pub fn fault(&self) -> Option<(&'static str, String)> {
        let bad = |v: f64| !(v.is_finite() && v >= 0.0);
        if bad(self.whole_ms) {
            return Some(("whole_ms", format!("{} must not be negative", self.whole_ms)));
        }
        if bad(self.watch_ms) {
            return Some(("watch_ms", format!("{} must not be negative", self.watch_ms)));
        }
        let part = self.thrown_part;
        (!(0.0..=1.0).contains(&part)).then(|| ("thrown_part", format!("{part} must be from 0 to 1")))
    }
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// When it is dealt with.
    pub done: At,
    /// It had waited too long.
    pub thrown: bool,
}

/// The service's time, call by call.
#[derive(Debug, Default)]
pub struct Service {
    free: At,
    /// Time given to calls that were answered, and to those that were thrown away.
    pub answering: Duration,
    pub throwing: Duration,
}

impl Service {
    /// Takes a call that costs so much.
    pub fn call(&mut self, costs: &Costs, now: At, cost: Duration) -> Turn {
        let begin = self.free.max(now);
        let thrown = begin - now > Duration::from_millis(costs.waits_ms);
        let cost = if thrown { cost.mul_f64(costs.thrown_part) } else { cost };
        *(if thrown { &mut self.throwing } else { &mut self.answering }) += cost;
        self.free = begin + cost;
        Turn { done: self.free, thrown }
    }
}

#[cfg(test)]
mod tests;
