//! How fast a partner that may be cold is given work: slowly at first, and faster by what it answers.
//!
//! A ramp is a rate in calls a second that starts at what is safe to assume and grows by a fixed step with each
//! answer served. With a rate of r there are at most r answers a second, so the rate grows at most by the factor
//! e^GAIN in a second, however many couriers share the partner: their rates add up, and so do their steps. A
//! partner that warms evenly from a fifth of its capacity in fourteen seconds outgrows that. Each refusal, time-out
//! or broken connection cuts the rate and stops its growth for a while. Nothing is saved up but a moment's worth:
//! what has waited does not go out at once.
use crate::base::{SECOND, nanos, secs};
use crate::interface::Nanos;

/// Gained by each answer, in calls a second: e^0.25 = 1.28 a second, less than a cold partner warms at first.
const GAIN: f64 = 0.25;
/// Rate left after a failure: what went before it was served, so the limit is near.
const CUT: f64 = 0.7;
/// Least time between two cuts: failures closer together tell of the same burst.
const CUT_REST: Nanos = SECOND / 2;
/// No growth for so long after a cut: the partner gets to empty its queue.
const HOLD: Nanos = 2 * SECOND;
/// Least rate, so that a recovery is seen.
const LEAST: f64 = 0.2;
/// Calls are saved up for so long at most, for rounds that come late.
const LAG: Nanos = SECOND / 25;

/// How a partner warms whose limit is known: evenly, from a share of the limit, within a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warming {
    pub limit: f64,
    pub share: f64,
    pub time: Nanos,
}

impl Warming {
    /// What it takes at that age, in calls a second.
    pub fn most(&self, age: Nanos) -> f64 {
        let warm = (secs(age) / secs(self.time.max(1))).min(1.0);
        self.limit * (self.share + (1.0 - self.share) * warm)
    }
}

/// A cold partner's rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Ramp {
    rate: f64,
    warming: Option<Warming>,
    since: Nanos,
    /// When the next call may go.
    next: Nanos,
    cut: Option<Nanos>,
}

impl Ramp {
    /// Starts at so many calls a second, and stays within what the partner takes as it warms if that is known.
    pub fn new(now: Nanos, rate: f64, warming: Option<Warming>) -> Self {
        Ramp { rate: rate.max(LEAST), warming, since: now, next: now, cut: None }
    }

    /// Puts the first call off. Guards against couriers that begin together and all have their first call at once.
    pub fn begin_after(&mut self, delay: Nanos) {
        self.next = self.since + delay;
    }

    pub fn may_send(&self, now: Nanos) -> bool {
        now >= self.next
    }

    /// When the next call may go.
    pub fn next(&self) -> Nanos {
        self.next
    }

    pub fn sent(&mut self, now: Nanos) {
        self.next = self.next.max(now.saturating_sub(LAG)) + nanos(1.0 / self.rate);
    }

    /// A call was served.
    pub fn answered(&mut self, now: Nanos) {
        if self.cut.is_none_or(|cut| now >= cut + HOLD) {
            let most = self.warming.map_or(f64::INFINITY, |w| w.most(now.saturating_sub(self.since)));
            self.rate = (self.rate + GAIN).min(most.max(self.rate));
        }
    }

    /// A call was turned away, or failed as one does at a partner that has too much.
    pub fn failed(&mut self, now: Nanos) {
        if self.cut.is_none_or(|cut| now >= cut + CUT_REST) {
            self.cut = Some(now);
            self.rate = (self.rate * CUT).max(LEAST);
            self.next = self.next.max(now + nanos(1.0 / self.rate));
        }
    }

    /// Whether it is warm: as long has passed as a cold start lasts, and half as long without a failure.
    pub fn is_over(&self, now: Nanos, cold: Nanos) -> bool {
        now >= self.since + cold && self.cut.is_none_or(|cut| now >= cut + cold / 2)
    }

    /// The limit that was felt, in calls a second, if any was.
    pub fn limit(&self) -> Option<f64> {
        self.cut.map(|_| self.rate)
    }

    /// Seconds in which so many calls can go, if all are served.
    pub fn time_for(&self, now: Nanos, calls: f64) -> f64 {
        secs(self.next.saturating_sub(now)) + (1.0 + GAIN * calls / self.rate).ln() / GAIN
    }
}

#[cfg(test)]
mod tests;
