//! What the operators and the relay set for the planner.
use std::time::Duration;

use crate::message::ClassNumber;

/// Memory that a message in the relay's memory costs, measured over relays that hold 10,000 to 200,000.
pub const MESSAGE_MEMORY_BYTES: u64 = 7 * 1024;

/// Least weight of a class, as a share of the greatest: a class of no worth still goes on.
const LEAST_WEIGHT_SHARE: f64 = 1.0 / 64.0;

/// The planner's settings. Durations are of the monotonic clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Bytes that all windows together may use.
    pub window_memory: u64,
    /// Bytes that one message in memory uses.
    pub message_memory: u64,
    /// Least window of a destination, in messages that are not out in a call.
    pub least_window: u32,
    /// Greatest window of a destination, in messages.
    pub most_window: u32,
    /// Longest stall of the disk through which a destination's window lasts.
    pub disk_stall: Duration,
    /// Time between two looks at a window, with an ordinary read of the disk.
    pub round: Duration,
    /// Worth of each class, by its number. A class beyond the list counts 1.
    pub class_worth: Vec<f64>,
    /// Greatest number of messages on their way to the disk.
    pub most_pending: u32,
    /// Messages a second whose end is told at most, when many end at once.
    pub expiry_rate: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            window_memory: 24 * 1024 * 1024,
            message_memory: MESSAGE_MEMORY_BYTES,
            least_window: 2,
            most_window: 16_384,
            disk_stall: Duration::from_secs(1),
            round: Duration::from_millis(250),
            class_worth: Vec::new(),
            most_pending: 1_024,
            expiry_rate: 100_000,
        }
    }
}

impl Settings {
    /// Messages that fit into the memory of all windows: at least one.
    pub fn slots(&self) -> u64 {
        (self.window_memory / self.message_memory.max(1)).max(1)
    }

    /// Time through which a window lasts without the disk.
    pub fn look_ahead(&self) -> Duration {
        self.disk_stall + self.round
    }

    /// Weight of a class in its destination's refill: its worth, but not under 1/64 of the greatest.
    pub fn weight(&self, class: ClassNumber) -> f64 {
        let greatest = self.class_worth.iter().copied().filter(|worth| worth.is_finite()).fold(0.0, f64::max);
        let greatest = if greatest > 0.0 { greatest } else { 1.0 };
        let worth = self.class_worth.get(usize::from(class.0)).copied().unwrap_or(1.0);
        let worth = if worth.is_finite() { worth } else { greatest };
        worth.max(greatest * LEAST_WEIGHT_SHARE)
    }
}
