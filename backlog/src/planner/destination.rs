//! The planner's record of one destination that has messages on disk or in memory. Its size is bounded.
use std::time::Duration;

use super::drain_rate::DrainRate;
use super::fair_share::FairShare;
use super::settings::Settings;
use super::slot_queue::QueueEntry;
use super::slots::IndexEntry;
use crate::message::ClassNumber;

/// Initial window of a destination whose rate is not measured yet. The window grows by one per delivery while at
/// least half of it is in use.
const INITIAL_WINDOW: u32 = 16;

/// Number of failed attempts without a delivery in between after which a destination becomes half-open.
const HALF_OPEN_AFTER_FAILURES: u8 = 5;

/// A half-open destination whose attempt failed counts as stalled for this much longer than it is.
const FAILED_PROBE_CREDIT: Duration = Duration::from_millis(1_500);

/// Maximum share of all slots for the window of one destination, in quarters.
const MAX_WINDOW_QUARTERS: u64 = 3;

/// Upper bound of a predicted delivery time, in seconds; longer ones exceed any deadline.
const MAX_PREDICTION_SECONDS: f64 = 1e9;

/// The record of a destination.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Its lanes.
    pub share: FairShare,
    /// Messages in memory.
    pub in_memory: u32,
    /// Messages requested by fetches in flight.
    pub requested: u32,
    /// Messages in memory that are part of a call in flight.
    in_flight: u32,
    unmeasured_window: u32,
    rate: DrainRate,
    /// The time of the last removal from memory (by delivery or otherwise), or when it began to use slots.
    last_progress: Duration,
    /// End of the backoff that it requested.
    backoff_until: Duration,
    failures: u8,
    /// It is half-open, and an attempt has failed since it began to use slots.
    probe_failed: bool,
    /// It makes no progress, so it gets few slots at a time and is served after destinations that do.
    pub half_open: bool,
    /// An eviction was requested and is not done.
    pub evicting: bool,
    /// Everything that can be evicted was evicted since its last progress.
    fully_evicted: bool,
    /// Its entry in the queue for slots.
    pub queue_entry: Option<QueueEntry>,
    /// The values of this record that the indexes contain.
    pub indexed: IndexEntry,
}

impl Default for Destination {
    fn default() -> Destination {
        Destination {
            share: FairShare::default(),
            in_memory: 0,
            requested: 0,
            in_flight: 0,
            unmeasured_window: INITIAL_WINDOW,
            rate: DrainRate::default(),
            last_progress: Duration::ZERO,
            backoff_until: Duration::ZERO,
            failures: 0,
            probe_failed: false,
            half_open: false,
            evicting: false,
            fully_evicted: false,
            queue_entry: None,
            indexed: IndexEntry::default(),
        }
    }
}

impl Destination {
    /// Slots that it uses.
    pub fn occupancy(&self) -> u32 {
        self.in_memory + self.requested
    }

    /// True if the record contains nothing that must be retained.
    pub fn is_idle(&self) -> bool {
        self.occupancy() == 0 && !self.evicting && self.share.lanes.iter().all(|lane| lane.is_clear())
    }

    /// The time from which its window is refilled despite the backoff: early enough for the window to be full at
    /// the end of the backoff.
    pub fn refill_from(&self, settings: &Settings) -> Duration {
        self.backoff_until.saturating_sub(settings.look_ahead())
    }

    fn in_backoff(&self, now: Duration, settings: &Settings) -> bool {
        now < self.refill_from(settings)
    }

    /// The largest number of its messages that may be in memory or on their way there.
    pub fn window(&self, now: Duration, settings: &Settings) -> u32 {
        if self.in_backoff(now, settings) {
            return 0;
        }
        if self.half_open {
            return settings.min_window;
        }
        let largest =
            (settings.slots() * MAX_WINDOW_QUARTERS).div_ceil(4).min(u64::from(settings.max_window)) as u32;
        let look_ahead = settings.look_ahead().as_secs_f64();
        let target =
            self.rate.per_second().map_or(self.unmeasured_window, |rate| (rate * look_ahead).ceil() as u32);
        target.max(settings.min_window).saturating_add(self.in_flight).min(largest)
    }

    /// Number of messages to fetch now; 0 if a fetch would be too small to be worthwhile.
    pub fn refill(&self, now: Duration, settings: &Settings) -> u32 {
        if self.evicting || self.requested > 0 {
            return 0;
        }
        let window = self.window(now, settings);
        let room = window.saturating_sub(self.occupancy());
        let wanted = u64::from(room).min(self.share.on_disk()) as u32;
        let worth_a_fetch = room >= (window / 8).max(1) || wanted < room;
        if worth_a_fetch { wanted } else { 0 }
    }

    /// Since when it has used slots without progress; `None` if nothing could be evicted.
    pub fn stalled_since(&self) -> Option<Duration> {
        let can_evict = self.in_memory > 0 && self.requested == 0 && !self.evicting && !self.fully_evicted;
        let credit = if self.probe_failed { FAILED_PROBE_CREDIT } else { Duration::ZERO };
        can_evict.then_some(self.last_progress.saturating_sub(credit))
    }

    /// Records that messages were added to memory.
    pub fn added_to_memory(&mut self, now: Duration, count: u32) {
        if self.in_memory == 0 {
            self.last_progress = now;
            self.probe_failed = false;
        }
        self.in_memory += count;
        self.fully_evicted = self.fully_evicted && count == 0;
    }

    /// Records that a message was removed from memory.
    pub fn removed_from_memory(&mut self, now: Duration) {
        self.in_memory = self.in_memory.saturating_sub(1);
        self.in_flight = self.in_flight.min(self.in_memory);
        self.last_progress = now;
    }

    /// Records a delivery.
    pub fn delivered(&mut self, now: Duration, settings: &Settings) {
        if self.in_memory >= self.unmeasured_window / 2 {
            self.unmeasured_window = self.unmeasured_window.saturating_add(1).min(settings.max_window);
        }
        self.rate.delivered(now);
        self.failures = 0;
        self.half_open = false;
        self.probe_failed = false;
        self.fully_evicted = false;
        self.removed_from_memory(now);
    }

    /// Records a failed attempt.
    pub fn attempt_failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
        self.half_open = self.half_open || self.failures >= HALF_OPEN_AFTER_FAILURES;
        self.probe_failed = self.half_open;
    }

    /// Records that the destination is known to be available again.
    pub fn recovered(&mut self) {
        self.failures = 0;
        self.half_open = false;
        self.probe_failed = false;
    }

    /// Records a backoff that the destination requested.
    pub fn backoff_requested(&mut self, until: Duration) {
        self.backoff_until = self.backoff_until.max(until);
    }

    /// Records how many of its messages are part of a call in flight.
    pub fn calls_in_flight(&mut self, count: u32) {
        self.in_flight = count.min(self.in_memory);
    }

    /// Records that messages are back on disk, whether evicted on request or returned on the relay's own
    /// initiative.
    pub fn evicted(&mut self, now: Duration, returned: u32, settings: &Settings) {
        self.in_memory = self.in_memory.saturating_sub(returned);
        self.in_flight = self.in_flight.min(self.in_memory);
        if std::mem::take(&mut self.evicting) {
            self.fully_evicted = true;
            self.half_open = self.half_open || !self.in_backoff(now, settings);
        }
    }

    /// Its delivery rate is measured while messages wait for it, on disk or in memory, and it is neither half-open
    /// nor in backoff.
    pub fn measure(&mut self, now: Duration) {
        let waiting = self.share.on_disk() > 0 || self.in_memory - self.in_flight >= INITIAL_WINDOW;
        if waiting && !self.half_open && now >= self.backoff_until {
            self.rate.resume();
        } else {
            self.rate.pause();
        }
    }

    /// Measured deliveries per second, if known.
    pub fn rate(&self) -> Option<f64> {
        self.rate.per_second()
    }

    /// The predicted time until a new message of a class is delivered; `None` if the rate is not known.
    pub fn predicted(&mut self, now: Duration, class: ClassNumber, settings: &Settings) -> Option<Duration> {
        let rate = self.rate.per_second()?;
        let ahead = f64::from(self.occupancy()) + self.share.ahead(class, settings);
        let drain_seconds = ((ahead + 1.0) / rate).min(MAX_PREDICTION_SECONDS);
        Some(self.backoff_until.saturating_sub(now) + Duration::from_secs_f64(drain_seconds))
    }
}
