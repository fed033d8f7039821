//! Model of a service that processes one call at a time: when each call completes, what it costs, and which
//! calls are discarded.
//!
//! This module holds only the arithmetic of the queue, without sockets or a clock. Calls are passed in order
//! of time. As the queue is first-in first-out, the result of a call is known as soon as it arrives. The
//! service does not notice when a caller disconnects while its call is queued.
use serde::{Deserialize, Serialize};
use std::time::Duration;

use crate::model::At;

/// Costs of calls to a list service.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Costs {
    /// Cost of a full list, in milliseconds.
    pub whole_ms: f64,
    /// Cost of starting a watch, in milliseconds. A watch that continues within `renew_ms` of its last
    /// answer is free.
    pub watch_ms: f64,
    pub renew_ms: u64,
    /// Calls that were queued for longer than this many milliseconds are discarded when their processing
    /// starts.
    pub waits_ms: u64,
    /// Share of a call's cost that is spent to discard it.
    pub thrown_part: f64,
}

impl Default for Costs {
    fn default() -> Self {
        Costs { whole_ms: 0.0, watch_ms: 0.0, renew_ms: 200, waits_ms: 2000, thrown_part: 0.5 }
    }
}

impl Costs {
    /// Returns the first key that is out of bounds, and the reason.
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

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// When the service has finished processing the call.
    pub done: At,
    /// Whether the call was discarded because it had been queued too long.
    pub discarded: bool,
}

/// State of the service's queue and its total processing time.
#[derive(Debug, Default)]
pub struct Service {
    free_at: At,
    /// Total time spent on answered calls and on discarded calls.
    pub answering_time: Duration,
    pub discarding_time: Duration,
}

impl Service {
    /// Queues a call with the given cost and returns its result.
    pub fn call(&mut self, costs: &Costs, now: At, cost: Duration) -> Completion {
        let start = self.free_at.max(now);
        let discarded = start - now > Duration::from_millis(costs.waits_ms);
        let cost = if discarded { cost.mul_f64(costs.thrown_part) } else { cost };
        *(if discarded { &mut self.discarding_time } else { &mut self.answering_time }) += cost;
        self.free_at = start + cost;
        Completion { done: self.free_at, discarded }
    }
}

#[cfg(test)]
mod tests;
