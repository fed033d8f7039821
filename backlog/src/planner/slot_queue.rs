//! The order in which destinations get slots: one queue for those that make progress, one for half-open ones.
use std::collections::BTreeMap;

/// One in this many grants goes to a half-open destination.
const HALF_OPEN_EVERY: u64 = 4;

/// An entry in one of the queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// It is in the queue of half-open destinations.
    pub half_open: bool,
    number: u64,
}

/// The two FIFO queues. A destination has at most one entry in one of them.
#[derive(Debug, Default)]
pub struct SlotQueue {
    next: u64,
    grants: u64,
    ready: BTreeMap<u64, u64>,
    half_open: BTreeMap<u64, u64>,
}

impl SlotQueue {
    /// Adds a destination to the end of a queue.
    pub fn enqueue(&mut self, destination: u64, half_open: bool) -> QueueEntry {
        let number = self.next;
        self.next += 1;
        self.queue(half_open).insert(number, destination);
        QueueEntry { half_open, number }
    }

    /// Removes an entry.
    pub fn cancel(&mut self, queue_entry: QueueEntry) {
        self.queue(queue_entry.half_open).remove(&queue_entry.number);
    }

    /// Removes and returns the next destination. Destinations that make progress come first, but every fourth grant
    /// goes to a half-open one if `half_open_allowed`.
    pub fn next(&mut self, half_open_allowed: bool) -> Option<u64> {
        let half_open = half_open_allowed
            && !self.half_open.is_empty()
            && (self.ready.is_empty() || self.grants % HALF_OPEN_EVERY == HALF_OPEN_EVERY - 1);
        let (_, destination) = self.queue(half_open).pop_first()?;
        self.grants += 1;
        Some(destination)
    }

    /// Number of queued destinations that make progress.
    pub fn ready_len(&self) -> usize {
        self.ready.len()
    }

    /// True if no half-open destination is queued.
    pub fn no_half_open(&self) -> bool {
        self.half_open.is_empty()
    }

    fn queue(&mut self, half_open: bool) -> &mut BTreeMap<u64, u64> {
        if half_open { &mut self.half_open } else { &mut self.ready }
    }
}
