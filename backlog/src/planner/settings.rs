//! The settings of the planner.
use std::time::Duration;

use crate::message::ClassNumber;

/// Memory that one message in the relay's memory takes, measured on relays with 10,000 to 200,000 messages.
pub const MESSAGE_MEMORY_BYTES: u64 = 7 * 1024;

/// Minimum weight of a class as a share of the largest weight, so that a class without worth still progresses.
const MIN_WEIGHT_SHARE: f64 = 1.0 / 64.0;

/// The planner's settings. Durations are on the monotonic clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Bytes that all windows together may use.
    pub window_memory: u64,
    /// Bytes that one message in memory uses.
    pub message_memory: u64,
    /// Minimum window of a destination, not counting messages in calls in flight.
    pub min_window: u32,
    /// Maximum window of a destination, in messages.
    pub max_window: u32,
    /// Longest stall of the disk that a destination's window must cover.
    pub max_disk_stall: Duration,
    /// Time between two checks of a window, including an ordinary read of the disk.
    pub refill_interval: Duration,
    /// Worth of each class, indexed by class number. Classes beyond the list have worth 1.
    pub class_worth: Vec<f64>,
    /// Maximum number of messages on their way to the disk.
    pub max_pending: u32,
    /// Maximum number of expiries reported per second when many messages expire at once.
    pub expiry_rate: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            window_memory: 24 * 1024 * 1024,
            message_memory: MESSAGE_MEMORY_BYTES,
            min_window: 2,
            max_window: 16_384,
            max_disk_stall: Duration::from_secs(1),
            refill_interval: Duration::from_millis(250),
            class_worth: Vec::new(),
            max_pending: 1_024,
            expiry_rate: 100_000,
        }
    }
}

impl Settings {
    /// Number of messages that fit into the memory of all windows, at least one.
    pub fn slots(&self) -> u64 {
        (self.window_memory / self.message_memory.max(1)).max(1)
    }

    /// Time that a full window lasts without reading from the disk.
    pub fn look_ahead(&self) -> Duration {
        self.max_disk_stall + self.refill_interval
    }

    /// Weight of a class in the refill of its destination: its worth, but at least 1/64 of the largest.
    pub fn weight(&self, class: ClassNumber) -> f64 {
        let greatest = self.class_worth.iter().copied().filter(|worth| worth.is_finite()).fold(0.0, f64::max);
        let greatest = if greatest > 0.0 { greatest } else { 1.0 };
        let worth = self.class_worth.get(usize::from(class.0)).copied().unwrap_or(1.0);
        let worth = if worth.is_finite() { worth } else { greatest };
        worth.max(greatest * MIN_WEIGHT_SHARE)
    }
}
