//! The queue of accepted messages, organised so that a round examines only what may have changed.
//!
//! Messages of one destination that differ only in their times form a lane, ordered by deadline, which is
//! also the order of their target times. Whether a message may be sent, and whether it is still in time, can
//! therefore be decided for the head of a lane on behalf of the whole lane. A round visits destinations that
//! have changed, destinations whose scheduled visit is due, destinations that a free slot could serve, and a
//! few of all others in round-robin order. If no more than [`ROUND_ROBIN_VISITS`] destinations have messages,
//! each round visits all of them. This module makes no decisions.
use crate::interface::*;
use crate::primitives::UnitId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Destinations that a round visits although no change is known: predictions change with time alone.
pub const ROUND_ROBIN_VISITS: usize = 128;

/// Priority of a message; the lowest value is sent first.
pub type Rank = (i64, Nanos);

/// The properties shared by all messages of a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lane {
    /// The unit that they are counted for as queued.
    pub unit: Option<UnitId>,
    /// Their class.
    pub class: usize,
    /// Bit pattern of their worth.
    pub worth: u64,
    /// Where a message may be resent, if an earlier attempt that may have been executed restricts it.
    pub resend_scope: Option<ResendScope>,
    pub readiness: Readiness,
    /// Whether an attempt is guaranteed to them.
    pub attempt_guaranteed: bool,
}

/// Whether a message may be sent, as far as its ordering key and its own backoff are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Readiness {
    Ready,
    /// Backing off after an overload answer.
    BackingOff,
    /// An earlier message with the same key has to go first.
    Blocked,
}

/// The only endpoints to which a message may be resent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResendScope {
    Zone(Option<ZoneId>),
    Endpoint(EndpointId),
}

impl ResendScope {
    pub fn allows(self, endpoint: &Endpoint) -> bool {
        match self {
            ResendScope::Zone(zone) => zone == Some(endpoint.zone),
            ResendScope::Endpoint(id) => id == endpoint.id,
        }
    }
}

/// A message in a lane. Entries are ordered by deadline, then by id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueEntry {
    /// Its deadline; while it is backing off, the time from the end of the backoff to the deadline.
    pub expires: Nanos,
    pub id: MsgId,
    pub target_at: Nanos,
}

/// A queued message and its lane, ordered by priority.
pub type RankedEntry = (Rank, MsgId, DestId, Lane);

#[derive(Default)]
struct DestQueue {
    lanes: BTreeMap<Lane, VecDeque<QueueEntry>>,
    next_visit: Option<Nanos>,
    slot_wanted: Option<Rank>,
}

/// All queued messages.
#[derive(Default)]
pub struct MessageQueue {
    dests: BTreeMap<DestId, DestQueue>,
    deadlines: BTreeSet<(Nanos, MsgId)>,
    rechecks: BTreeSet<(Nanos, MsgId)>,
    changed: BTreeSet<DestId>,
    scheduled: BTreeSet<(Nanos, DestId)>,
    waiting_for_slot: BTreeSet<(Rank, DestId)>,
    round_robin_cursor: Option<DestId>,
}

impl MessageQueue {
    pub fn insert(&mut self, dest: DestId, lane: Lane, entry: QueueEntry, deadline: Nanos) {
        let queue = self.dests.entry(dest).or_default().lanes.entry(lane).or_default();
        let place = queue.partition_point(|w| *w < entry);
        queue.insert(place, entry);
        self.deadlines.insert((deadline, entry.id));
        self.changed.insert(dest);
    }

    pub fn remove(&mut self, dest: DestId, lane: Lane, entry: QueueEntry, deadline: Nanos) {
        self.deadlines.remove(&(deadline, entry.id));
        let Some(queues) = self.dests.get_mut(&dest) else { return };
        let Some(queue) = queues.lanes.get_mut(&lane) else { return };
        let place = queue.partition_point(|w| *w < entry);
        if queue.get(place) == Some(&entry) {
            queue.remove(place);
        }
        if queue.is_empty() {
            queues.lanes.remove(&lane);
        }
        if queues.lanes.is_empty() {
            self.schedule_visit(dest, None, None);
            self.dests.remove(&dest);
        }
    }

    pub fn has_messages_for(&self, dest: DestId) -> bool {
        self.dests.contains_key(&dest)
    }

    /// The earliest deadline of all messages.
    pub fn first_deadline(&self) -> Option<Nanos> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// The earliest deadline of a destination's messages, except those that are backing off.
    pub fn first_deadline_for(&self, dest: DestId) -> Option<Nanos> {
        let ready = self.lanes(dest).filter(|(lane, _)| lane.readiness != Readiness::BackingOff);
        ready.filter_map(|(_, queue)| queue.front()).map(|w| w.expires).min()
    }

    pub fn lanes(&self, dest: DestId) -> impl Iterator<Item = (&Lane, &VecDeque<QueueEntry>)> {
        self.dests.get(&dest).into_iter().flat_map(|d| &d.lanes)
    }

    pub fn lane(&self, dest: DestId, lane: &Lane) -> Option<&VecDeque<QueueEntry>> {
        self.dests.get(&dest)?.lanes.get(lane)
    }

    /// The lanes of all destinations.
    pub fn all_lanes(&self) -> impl Iterator<Item = (DestId, &Lane, &VecDeque<QueueEntry>)> {
        self.dests.iter().flat_map(|(dest, d)| d.lanes.iter().map(|(lane, queue)| (*dest, lane, queue)))
    }

    /// Messages of a destination that have at most `left` until their deadline, counted from when they may be
    /// sent.
    pub fn expiring(&self, dest: DestId, now: Nanos, left: Nanos) -> Vec<MsgId> {
        let due = |(lane, queue): (&Lane, &VecDeque<QueueEntry>)| {
            let latest = if lane.readiness == Readiness::BackingOff { left } else { now + left };
            queue.iter().take_while(|w| w.expires <= latest).map(|w| w.id).collect::<Vec<_>>()
        };
        self.lanes(dest).flat_map(due).collect()
    }

    /// Schedules or cancels a recheck of a single message.
    pub fn set_recheck(&mut self, id: MsgId, old: Option<Nanos>, new: Option<Nanos>) {
        old.into_iter().for_each(|at| _ = self.rechecks.remove(&(at, id)));
        self.rechecks.extend(new.map(|at| (at, id)));
    }

    /// Removes and returns the messages whose recheck is due.
    pub fn take_rechecks(&mut self, now: Nanos) -> Vec<MsgId> {
        let later = self.rechecks.split_off(&(now + 1, MsgId(0)));
        std::mem::replace(&mut self.rechecks, later).into_iter().map(|(_, id)| id).collect()
    }

    /// Marks a destination as changed, so that the next round visits it.
    pub fn mark_changed(&mut self, dest: DestId) {
        if self.dests.contains_key(&dest) {
            self.changed.insert(dest);
        }
    }

    /// Schedules the next visit to a destination. `slot_wanted` is the rank of its first message if only a
    /// free slot is missing.
    pub fn schedule_visit(&mut self, dest: DestId, next_visit: Option<Nanos>, slot_wanted: Option<Rank>) {
        let Some(queues) = self.dests.get_mut(&dest) else { return };
        let old = (
            std::mem::replace(&mut queues.next_visit, next_visit),
            std::mem::replace(&mut queues.slot_wanted, slot_wanted),
        );
        old.0.into_iter().for_each(|at| _ = self.scheduled.remove(&(at, dest)));
        old.1.into_iter().for_each(|rank| _ = self.waiting_for_slot.remove(&(rank, dest)));
        self.scheduled.extend(next_visit.map(|at| (at, dest)));
        self.waiting_for_slot.extend(slot_wanted.map(|rank| (rank, dest)));
    }

    /// The destinations that a round visits when `free` slots are free.
    pub fn destinations_to_visit(&mut self, now: Nanos, free: usize) -> BTreeSet<DestId> {
        let mut visits = std::mem::take(&mut self.changed);
        visits.retain(|dest| self.dests.contains_key(dest));
        visits.extend(self.scheduled.iter().take_while(|(at, _)| *at <= now).map(|(_, dest)| dest));
        visits.extend(self.waiting_for_slot.iter().take(free).map(|(_, dest)| dest));
        let after = self.round_robin_cursor.map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let round_robin = self.dests.range((after, std::ops::Bound::Unbounded)).chain(&self.dests);
        let round_robin: Vec<_> =
            round_robin.map(|(dest, _)| *dest).take(ROUND_ROBIN_VISITS.min(self.dests.len())).collect();
        self.round_robin_cursor = round_robin.last().copied();
        visits.extend(round_robin);
        visits
    }
}

#[cfg(test)]
mod tests;
