//! Measures how fast a destination accepts messages while more of them wait.
//!
//! The rate is the quotient of two exponentially decaying sums: the deliveries, and the seconds between them. Time
//! counts only up to a delivery, so a destination without deliveries keeps its last known rate, and an outage is
//! left out.
use std::time::Duration;

/// Time constant of the decay, in seconds: a delivery this old has 1/e of its weight left.
const DECAY: f64 = 5.0;

/// Measured time and deliveries from which the rate counts as known.
const TRUSTED_SECONDS: f32 = 1.0;
const TRUSTED_DELIVERIES: u16 = 16;

/// The decaying measurement.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainRate {
    deliveries: f64,
    seconds: f64,
    measured_seconds: f32,
    measured_deliveries: u16,
    measuring: bool,
    /// The last delivery, if messages have waited ever since.
    last: Option<Duration>,
}

impl DrainRate {
    /// Messages wait from now on. The measured time starts at the next delivery.
    pub fn resume(&mut self) {
        self.measuring = true;
    }

    /// Messages no longer wait, or the destination is unavailable: the time until the next `resume` is not
    /// measured.
    pub fn pause(&mut self) {
        self.measuring = false;
        self.last = None;
    }

    /// Records a delivery. It counts if messages have waited since the previous one.
    pub fn delivered(&mut self, now: Duration) {
        if !self.measuring {
            return;
        }
        let Some(last) = self.last.replace(now) else { return };
        let elapsed = now.saturating_sub(last).as_secs_f64();
        let weight = (-elapsed / DECAY).exp();
        self.deliveries = self.deliveries * weight + 1.0;
        self.seconds = self.seconds * weight + elapsed;
        self.measured_seconds += elapsed as f32;
        self.measured_deliveries = self.measured_deliveries.saturating_add(1);
    }

    /// Deliveries per second, once enough were measured.
    pub fn per_second(&self) -> Option<f64> {
        let trusted =
            self.measured_seconds >= TRUSTED_SECONDS && self.measured_deliveries >= TRUSTED_DELIVERIES;
        (trusted && self.seconds > 0.0).then(|| self.deliveries / self.seconds)
    }
}
