//! Rate limit for a destination that may be cold: it starts low and grows with each call served.
//!
//! A ramp is a rate in calls a second. It starts at a value that is safe to assume and grows by a fixed step
//! with each answer. At a rate of r there are at most r answers a second, so the rate grows at most by the
//! factor e^RATE_GAIN in a second, however many relays share the destination: their rates add up, and so do
//! their steps. A destination that warms up linearly from a fifth of its capacity in fourteen seconds grows
//! faster than that. Each refusal, time-out or broken connection reduces the rate and suspends its growth for
//! a while. Only a moment's worth of calls accumulates, so waiting messages are not sent at once.
use crate::interface::Nanos;
use crate::primitives::{SECOND, nanos, secs};

/// Increase with each answer, in calls a second: e^0.25 = 1.28 a second, slower than a cold destination warms
/// up at first.
const RATE_GAIN: f64 = 0.25;
/// Factor on the rate after a failure: the rate before it was served, so the limit is near.
const RATE_CUT: f64 = 0.7;
/// Minimum time between two reductions: failures closer together belong to the same burst.
const CUT_INTERVAL: Nanos = SECOND / 2;
/// Time without growth after a reduction, in which the destination can empty its queue.
const GROWTH_PAUSE: Nanos = 2 * SECOND;
/// Minimum rate, so that a recovery is noticed.
const MIN_RATE: f64 = 0.2;
/// Maximum time for which calls accumulate, for rounds that are late.
const MAX_LAG: Nanos = SECOND / 25;

/// Warm-up of a destination with a known limit: linear, from a share of the limit, within a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    pub limit: f64,
    pub share: f64,
    pub time: Nanos,
}

impl WarmUp {
    /// Its capacity at that age, in calls a second.
    pub fn limit_at(&self, age: Nanos) -> f64 {
        let warm = (secs(age) / secs(self.time.max(1))).min(1.0);
        self.limit * (self.share + (1.0 - self.share) * warm)
    }
}

/// The rate limit of a cold destination.
#[derive(Clone, Debug, PartialEq)]
pub struct Ramp {
    rate: f64,
    warm_up: Option<WarmUp>,
    since: Nanos,
    /// When the next call may be sent.
    next_call_at: Nanos,
    cut_at: Option<Nanos>,
}

impl Ramp {
    /// Starts at `rate` calls a second, and stays within the destination's capacity during warm-up if that is
    /// known.
    pub fn new(now: Nanos, rate: f64, warm_up: Option<WarmUp>) -> Self {
        Ramp { rate: rate.max(MIN_RATE), warm_up, since: now, next_call_at: now, cut_at: None }
    }

    /// Delays the first call. Guards against relays that start together and all send their first call at
    /// once.
    pub fn delay_first_call(&mut self, delay: Nanos) {
        self.next_call_at = self.since + delay;
    }

    pub fn may_send(&self, now: Nanos) -> bool {
        now >= self.next_call_at
    }

    /// When the next call may be sent.
    pub fn next_call_at(&self) -> Nanos {
        self.next_call_at
    }

    pub fn call_sent(&mut self, now: Nanos) {
        self.next_call_at = self.next_call_at.max(now.saturating_sub(MAX_LAG)) + nanos(1.0 / self.rate);
    }

    /// Records a call that was served.
    pub fn call_succeeded(&mut self, now: Nanos) {
        if self.cut_at.is_none_or(|cut| now >= cut + GROWTH_PAUSE) {
            let max = self.warm_up.map_or(f64::INFINITY, |w| w.limit_at(now.saturating_sub(self.since)));
            self.rate = (self.rate + RATE_GAIN).min(max.max(self.rate));
        }
    }

    /// Records a call that was refused, or failed in a way that overload can cause.
    pub fn call_failed(&mut self, now: Nanos) {
        if self.cut_at.is_none_or(|cut| now >= cut + CUT_INTERVAL) {
            self.cut_at = Some(now);
            self.rate = (self.rate * RATE_CUT).max(MIN_RATE);
            self.next_call_at = self.next_call_at.max(now + nanos(1.0 / self.rate));
        }
    }

    /// Whether the destination is warm: the warm-up time has passed, and half of it without a failure.
    pub fn is_over(&self, now: Nanos, warm_up_time: Nanos) -> bool {
        now >= self.since + warm_up_time && self.cut_at.is_none_or(|cut| now >= cut + warm_up_time / 2)
    }

    /// The limit that was observed, in calls a second, if there was one.
    pub fn observed_limit(&self) -> Option<f64> {
        self.cut_at.map(|_| self.rate)
    }

    /// Time in seconds in which this many calls can be sent if all are served.
    pub fn time_for(&self, now: Nanos, calls: f64) -> f64 {
        secs(self.next_call_at.saturating_sub(now)) + (1.0 + RATE_GAIN * calls / self.rate).ln() / RATE_GAIN
    }
}

#[cfg(test)]
mod tests;
