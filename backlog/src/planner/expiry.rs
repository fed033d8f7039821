//! Decides when the deadline index is read, and how much of it in one read.
//!
//! A burst begins when the first deadline has passed and ends when a read finds no further expired messages. Within
//! a burst, reads follow an absolute schedule: at time `t` after its start, at most `rate * t` messages plus one
//! slice may have been read. Expiries that a stall of the store delayed are therefore caught up with. A read never
//! takes more than `MAX_SLICE` messages, so a fetch waits for one slice at most.
use std::time::Duration;

/// Messages in an ordinary slice, and the maximum for a read that catches up.
const SLICE: u64 = 1_000;
const MAX_SLICE: u64 = 5_000;

/// The index is read at least this often while messages wait, whatever deadlines are known: the wall clock may be
/// set.
pub const MAX_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two reads: within a burst, and after a read that found no further expired messages.
const MIN_BURST_INTERVAL: Duration = Duration::from_millis(1);
const MIN_IDLE_INTERVAL: Duration = Duration::from_millis(50);

/// Pause after a failed read.
const FAILED_READ_PAUSE: Duration = Duration::from_millis(500);

/// Paces the reads of the deadline index.
#[derive(Debug, Default)]
pub struct ExpiryPacer {
    /// When the next read is due.
    due: Option<Duration>,
    /// Start of the burst, and the number of messages read in it.
    burst: Option<(Duration, u64)>,
    reading: bool,
    /// Earliest time of the next read.
    not_before: Duration,
}

impl ExpiryPacer {
    /// Records that a message with this deadline waits on disk.
    pub fn track_deadline(&mut self, now: Duration, deadline: Duration) {
        let deadline = deadline.min(now + MAX_READ_INTERVAL);
        self.due = Some(self.due.map_or(deadline, |due| due.min(deadline)));
    }

    /// The time of the next read; `None` while a read is in flight.
    pub fn next_read(&self) -> Option<Duration> {
        self.due.filter(|_| !self.reading).map(|due| due.max(self.not_before))
    }

    /// Starts a read if one is due, and returns the maximum number of messages to read. Deadlines from then on are
    /// recorded by `track_deadline` and `read_done`.
    pub fn start_read(&mut self, now: Duration, rate: u32) -> Option<u32> {
        self.next_read().filter(|due| *due <= now)?;
        self.due = None;
        let (burst_start, read) = *self.burst.get_or_insert((now, 0));
        let scheduled = (now.saturating_sub(burst_start).as_secs_f64() * f64::from(rate)) as u64 + SLICE;
        let limit = scheduled.saturating_sub(read).clamp(1, MAX_SLICE);
        self.reading = true;
        Some(limit as u32)
    }

    /// Records a completed read: how many messages expired, whether there are more, and the time until the next
    /// deadline.
    pub fn read_done(
        &mut self,
        now: Duration,
        count: u64,
        more: bool,
        next_deadline_in: Option<Duration>,
        rate: u32,
    ) {
        self.reading = false;
        let due = if more {
            let (burst_start, read) = self.burst.get_or_insert((now, 0));
            *read += count;
            let scheduled = *burst_start + Duration::from_secs_f64(*read as f64 / f64::from(rate.max(1)));
            self.not_before = now + MIN_BURST_INTERVAL;
            scheduled
        } else {
            self.burst = None;
            self.not_before = now + MIN_IDLE_INTERVAL;
            now.saturating_add(next_deadline_in.unwrap_or(MAX_READ_INTERVAL))
        };
        self.track_deadline(now, due);
    }

    /// Cancels the next read, as nothing waits on disk.
    pub fn clear(&mut self) {
        self.due = None;
    }

    /// Records a failed read.
    pub fn read_failed(&mut self, now: Duration) {
        self.reading = false;
        self.due = Some(now + FAILED_READ_PAUSE);
    }
}
