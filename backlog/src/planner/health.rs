//! Infers the state of the store: Healthy, Slow, Full or Failed. A state changes only on evidence from the store.
use std::time::Duration;

use super::event::{StoreFault, StoreHealth};

/// The store counts as slow once it has completed nothing for this long with requests outstanding.
const SLOW_AFTER: Duration = Duration::from_millis(500);

/// A slow store counts as healthy once it has responded without such a gap for this long.
const RECOVERY_PERIOD: Duration = Duration::from_millis(250);

/// Share of the quota that must be free before an exhausted quota counts as available again.
const QUOTA_HYSTERESIS: f64 = 0.05;

/// Interval between probes of a store that is full or failing: the first, and the maximum of the exponential
/// backoff.
const INITIAL_PROBE_INTERVAL: Duration = Duration::from_secs(1);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// Retry delay for clients of a stalled store.
const SLOW_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Tracks the responses of the store.
#[derive(Debug, Default)]
pub struct HealthMonitor {
    state: StoreHealth,
    outstanding: u64,
    /// Since when the store has completed nothing, with requests outstanding.
    silent_since: Option<Duration>,
    /// When a slow store began to respond again.
    steady_since: Option<Duration>,
    next_probe: Duration,
    probe_interval: Duration,
    over_quota: bool,
}

impl HealthMonitor {
    /// The current state.
    pub fn state(&self) -> StoreHealth {
        self.state
    }

    /// Records a request to the store.
    pub fn request_sent(&mut self, now: Duration) {
        self.outstanding += 1;
        self.silent_since.get_or_insert(now);
    }

    /// Records that the store completed this many requests, successfully or not.
    pub fn requests_completed(&mut self, now: Duration, requests: u64) {
        self.outstanding = self.outstanding.saturating_sub(requests);
        self.silent_since = (self.outstanding > 0).then_some(now);
        if self.state == StoreHealth::Slow {
            self.steady_since.get_or_insert(now);
        }
    }

    /// Records a failed write.
    pub fn write_failed(&mut self, now: Duration, fault: StoreFault) {
        let state = match fault {
            StoreFault::Full => StoreHealth::Full,
            StoreFault::Failing => StoreHealth::Failed,
        };
        self.enter_refusing(now, state);
    }

    /// Records a successful probe.
    pub fn recovered(&mut self) {
        if matches!(self.state, StoreHealth::Full | StoreHealth::Failed) && !self.over_quota {
            self.state = StoreHealth::Healthy;
        }
    }

    /// Records the disk usage and the quota.
    pub fn usage(&mut self, now: Duration, used: u64, quota: u64) {
        if used >= quota {
            self.over_quota = true;
            if self.state != StoreHealth::Failed {
                self.enter_refusing(now, StoreHealth::Full);
            }
        } else if used as f64 <= quota as f64 * (1.0 - QUOTA_HYSTERESIS) {
            self.over_quota = false;
            if self.state == StoreHealth::Full {
                self.state = StoreHealth::Healthy;
            }
        }
    }

    fn enter_refusing(&mut self, now: Duration, state: StoreHealth) {
        if self.state != state {
            self.state = state;
            self.probe_interval = INITIAL_PROBE_INTERVAL;
            self.next_probe = now + INITIAL_PROBE_INTERVAL;
        }
    }

    /// Updates the state for the time passed; true if the store is to be probed now.
    pub fn tick(&mut self, now: Duration) -> bool {
        match self.state {
            StoreHealth::Healthy if self.silent_for(now) >= SLOW_AFTER => {
                self.state = StoreHealth::Slow;
                self.steady_since = None;
                false
            }
            StoreHealth::Slow => {
                if self.silent_for(now) >= SLOW_AFTER {
                    self.steady_since = None;
                }
                if self.steady_since.is_some_and(|since| now.saturating_sub(since) >= RECOVERY_PERIOD) {
                    self.state = StoreHealth::Healthy;
                }
                false
            }
            StoreHealth::Full | StoreHealth::Failed if now >= self.next_probe => {
                self.probe_interval = (self.probe_interval * 2).min(MAX_PROBE_INTERVAL);
                self.next_probe = now + self.probe_interval;
                true
            }
            _ => false,
        }
    }

    /// The time at which `tick` is needed next.
    pub fn next_deadline(&self) -> Option<Duration> {
        match self.state {
            StoreHealth::Healthy => self.silent_since.map(|since| since + SLOW_AFTER),
            StoreHealth::Slow => self.steady_since.map(|since| since + RECOVERY_PERIOD),
            StoreHealth::Full | StoreHealth::Failed => Some(self.next_probe),
        }
    }

    /// The retry delay for a client that is refused because of the store.
    pub fn retry_after(&self, now: Duration) -> Duration {
        match self.state {
            StoreHealth::Healthy | StoreHealth::Slow => SLOW_RETRY_AFTER,
            _ => self.next_probe.saturating_sub(now).max(SLOW_RETRY_AFTER),
        }
    }

    fn silent_for(&self, now: Duration) -> Duration {
        self.silent_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }
}
