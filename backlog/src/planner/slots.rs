//! Indexes over all destinations: slots in use, slots in use without progress, and the end of requested backoffs.
use std::collections::BTreeSet;
use std::time::Duration;

use super::destination::Destination;
use super::settings::Settings;

/// Half-open destinations together may use all slots divided by this.
const HALF_OPEN_DIVISOR: u64 = 4;

/// The indexed values of one destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IndexEntry {
    occupancy: u32,
    half_open: bool,
    on_disk: u64,
    stalled_since: Option<Duration>,
    refill_from: Option<Duration>,
}

impl IndexEntry {
    /// Reads the values to index from a destination's record.
    pub fn of(destination: &Destination, now: Duration, settings: &Settings) -> IndexEntry {
        let refill_from = destination.refill_from(settings);
        IndexEntry {
            occupancy: destination.occupancy(),
            half_open: destination.half_open,
            on_disk: destination.share.on_disk(),
            stalled_since: destination.stalled_since(),
            refill_from: (refill_from > now).then_some(refill_from),
        }
    }
}

/// The indexes, and sums over all destinations.
#[derive(Debug, Default)]
pub struct Slots {
    used: u64,
    used_half_open: u64,
    on_disk: u64,
    stalled_ready: BTreeSet<(Duration, u64)>,
    stalled_half_open: BTreeSet<(Duration, u64)>,
    refills: BTreeSet<(Duration, u64)>,
}

impl Slots {
    /// Replaces the indexed values of a destination.
    pub fn replace(&mut self, id: u64, before: IndexEntry, after: IndexEntry) {
        if before == after {
            return;
        }
        self.remove(id, before);
        self.insert(id, after);
    }

    fn remove(&mut self, id: u64, entry: IndexEntry) {
        self.used -= u64::from(entry.occupancy);
        self.on_disk -= entry.on_disk;
        if entry.half_open {
            self.used_half_open -= u64::from(entry.occupancy);
        }
        if let Some(since) = entry.stalled_since {
            self.stalled(entry.half_open).remove(&(since, id));
        }
        if let Some(from) = entry.refill_from {
            self.refills.remove(&(from, id));
        }
    }

    fn insert(&mut self, id: u64, entry: IndexEntry) {
        self.used += u64::from(entry.occupancy);
        self.on_disk += entry.on_disk;
        if entry.half_open {
            self.used_half_open += u64::from(entry.occupancy);
        }
        if let Some(since) = entry.stalled_since {
            self.stalled(entry.half_open).insert((since, id));
        }
        if let Some(from) = entry.refill_from {
            self.refills.insert((from, id));
        }
    }

    fn stalled(&mut self, half_open: bool) -> &mut BTreeSet<(Duration, u64)> {
        if half_open { &mut self.stalled_half_open } else { &mut self.stalled_ready }
    }

    /// Slots in use: messages in memory or on their way there.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Messages on disk.
    pub fn on_disk(&self) -> u64 {
        self.on_disk
    }

    /// Slots that are free.
    pub fn free(&self, settings: &Settings) -> u64 {
        settings.slots().saturating_sub(self.used)
    }

    /// Free slots available to half-open destinations.
    pub fn free_for_half_open(&self, settings: &Settings) -> u64 {
        let share = (settings.slots() / HALF_OPEN_DIVISOR).max(1).saturating_sub(self.used_half_open);
        share.min(self.free(settings))
    }

    /// The destination that has used slots without progress for longest, of all or of the half-open ones, and since
    /// when.
    pub fn longest_stalled(&self, only_half_open: bool) -> Option<(Duration, u64)> {
        let half_open = self.stalled_half_open.first();
        let ready = self.stalled_ready.first().filter(|_| !only_half_open);
        half_open.into_iter().chain(ready).min().copied()
    }

    /// The destination whose refill after a requested backoff comes first, and when.
    pub fn next_refill(&self) -> Option<(Duration, u64)> {
        self.refills.first().copied()
    }

    /// The destination whose refill is due.
    pub fn due_refill(&mut self, now: Duration) -> Option<u64> {
        let (from, id) = self.next_refill()?;
        (from <= now).then_some(id)
    }
}
