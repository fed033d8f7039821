//! When the deadline index is read, and how much of it at once.
//!
//! A burst begins when the first deadline has passed and ends when a read finds no more. Within it, reads are paced
//! by an absolute schedule: by `t` after its begin, `rate * t` messages and one slice may have been read. What a
//! stall of the store left behind is therefore caught up with, and a read never takes more than `MOST_SLICE`, so a
//! fetch waits behind one slice at most.
use std::time::Duration;

/// Messages of an ordinary slice, and the most of a read that catches up.
const SLICE: u64 = 1_000;
const MOST_SLICE: u64 = 5_000;

/// The index is read this often while anything waits, whatever is known of deadlines: the wall clock may be set.
pub const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Time between two reads at least: within a burst, and where the last read found no more.
const BURST_PAUSE: Duration = Duration::from_millis(1);
const QUIET_PAUSE: Duration = Duration::from_millis(50);

/// Pause after a read that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(500);

/// Paces the reads.
#[derive(Debug, Default)]
pub struct ExpiryPacer {
    /// When the next read is due.
    due: Option<Duration>,
    /// When the burst began, and what was read of it.
    burst: Option<(Duration, u64)>,
    reading: bool,
    /// No read before this time.
    not_before: Duration,
}

impl ExpiryPacer {
    /// A message that ends at this time waits on disk.
    pub fn waits_until(&mut self, now: Duration, end: Duration) {
        let end = end.min(now + LONGEST_PAUSE);
        self.due = Some(self.due.map_or(end, |due| due.min(end)));
    }

    /// When the next read is due.
    pub fn next_read(&self) -> Option<Duration> {
        self.due.filter(|_| !self.reading).map(|due| due.max(self.not_before))
    }

    /// What to read now, if a read is due.
    /// What waits from now on is told by `waits_until` and `read_done`.
    pub fn read(&mut self, now: Duration, rate: u32) -> Option<u32> {
        self.next_read().filter(|due| *due <= now)?;
        self.due = None;
        let (begun, read) = *self.burst.get_or_insert((now, 0));
        let scheduled = (now.saturating_sub(begun).as_secs_f64() * f64::from(rate)) as u64 + SLICE;
        let limit = scheduled.saturating_sub(read).clamp(1, MOST_SLICE);
        self.reading = true;
        Some(limit as u32)
    }

    /// A read is done: what it ended, and the time until the earliest deadline ahead.
    pub fn read_done(&mut self, now: Duration, count: u64, more: bool, next: Option<Duration>, rate: u32) {
        self.reading = false;
        let due = if more {
            let (begun, read) = self.burst.get_or_insert((now, 0));
            *read += count;
            let scheduled = *begun + Duration::from_secs_f64(*read as f64 / f64::from(rate.max(1)));
            self.not_before = now + BURST_PAUSE;
            scheduled
        } else {
            self.burst = None;
            self.not_before = now + QUIET_PAUSE;
            now.saturating_add(next.unwrap_or(LONGEST_PAUSE))
        };
        self.waits_until(now, due);
    }

    /// Nothing waits on disk.
    pub fn nothing_waits(&mut self) {
        self.due = None;
    }

    /// A read failed.
    pub fn read_failed(&mut self, now: Duration) {
        self.reading = false;
        self.due = Some(now + FAILED_PAUSE);
    }
}
