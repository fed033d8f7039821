//! Decides which messages stay in memory, which wait on disk, which are fetched when, and which are refused.
//!
//! Owns the per-lane message counts, the destinations' windows, the order in which windows are refilled and the
//! rate at which expiries are reported. It uses no clock, files, sockets or random numbers: events are passed to
//! [`Planner::handle`] with the time of a monotonic clock, and actions are returned. It keeps a record of bounded
//! size for each destination that has a message on disk or in memory, and nothing per message. `docs/backlog.md`
//! gives the rules and their reasons.
mod destination;
mod drain_rate;
mod event;
mod expiry;
mod fair_share;
mod health;
mod settings;
mod slot_queue;
mod slots;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

pub use event::{Action, ArrivalId, Event, LaneCount, Outcome, RefusalReason, StoreFault, StoreHealth};
pub use settings::{MESSAGE_MEMORY_BYTES, Settings};

use crate::message::{ClassNumber, Lane};
use destination::Destination;
use expiry::ExpiryPacer;
use health::HealthMonitor;
use slot_queue::SlotQueue;
use slots::{IndexEntry, Slots};

/// Maximum number of messages in one fetch, and maximum number of fetches in flight.
const MAX_FETCH_MESSAGES: u32 = 512;
const MAX_FETCHES_IN_FLIGHT: u32 = 64;

/// Pause of all fetches after a failed fetch.
const FETCH_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// A destination without progress for this long is evicted from its slots if other destinations wait for slots.
const STALLED_AFTER: Duration = Duration::from_secs(2);

/// Maximum number of destinations being evicted at the same time.
const MAX_EVICTIONS_IN_FLIGHT: u32 = 64;

/// While destinations wait for slots, arrivals are admitted straight to memory only while more than all slots divided
/// by this are free.
const ARRIVAL_RESERVE_DIVISOR: u64 = 8;

/// Factor by which a predicted delivery time is lengthened, to allow for the error of the prediction.
const PREDICTION_MARGIN: f64 = 1.05;

/// Bounds of the retry delay given to a refused client.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(300);

/// Retry delay for a client that was refused because too many messages were on their way to the disk.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Statistics of one destination, as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DestinationStats {
    /// Messages on disk.
    pub on_disk: u64,
    /// Slots in use: messages in memory or on their way there.
    pub in_memory: u32,
    /// The largest number of slots that it may use now.
    pub window: u32,
    /// Measured deliveries per second, if known.
    pub rate: Option<f64>,
}

/// The decision logic of the backlog.
#[derive(Debug, Default)]
pub struct Planner {
    settings: Settings,
    destinations: BTreeMap<u64, Destination>,
    slots: Slots,
    slot_queue: SlotQueue,
    expiry: ExpiryPacer,
    health: HealthMonitor,
    /// Messages on their way to the disk.
    pending: u32,
    fetches_in_flight: u32,
    next_fetch_at: Duration,
    evictions_in_flight: u32,
}

impl Planner {
    /// Creates a planner for an empty store.
    pub fn new(settings: Settings) -> Planner {
        Planner { settings, ..Planner::default() }
    }

    /// Applies an event that happened at `now`, which must not decrease between calls, and returns the actions to
    /// carry out, in order.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let health = self.health.state();
        if self.health.tick(now) {
            actions.push(Action::ProbeStore);
        }
        self.apply(now, event, &mut actions);
        if self.health.state() != health {
            actions.push(Action::HealthChanged { health: self.health.state() });
        }
        self.resume_after_backoffs(now);
        self.fetch(now, &mut actions);
        self.evict(now, &mut actions);
        self.read_expired(now, &mut actions);
        actions
    }

    /// The time at which `handle` must be called with a tick unless another event comes first.
    pub fn next_deadline(&self) -> Option<Duration> {
        let refill = self.slots.next_refill().map(|(from, _)| from);
        let fetch = (self.slot_queue.ready_len() > 0 || !self.slot_queue.no_half_open())
            .then_some(self.next_fetch_at);
        let fetch = fetch.filter(|from| !from.is_zero());
        let evict = self.stalled().map(|(since, _)| since + STALLED_AFTER);
        let deadlines = [refill, fetch, evict, self.expiry.next_read(), self.health.next_deadline()];
        deadlines.into_iter().flatten().min()
    }

    /// Slots in use: messages in memory or on their way there.
    pub fn slots_used(&self) -> u64 {
        self.slots.used()
    }

    /// Messages on disk.
    pub fn on_disk(&self) -> u64 {
        self.slots.on_disk()
    }

    /// Number of destinations that have a record.
    pub fn destinations(&self) -> usize {
        self.destinations.len()
    }

    /// The state of the store, as inferred from its responses.
    pub fn health(&self) -> StoreHealth {
        self.health.state()
    }

    /// Statistics of a destination; `None` if it has no record.
    pub fn stats(&self, now: Duration, destination: u64) -> Option<DestinationStats> {
        let record = self.destinations.get(&destination)?;
        Some(DestinationStats {
            on_disk: record.share.on_disk(),
            in_memory: record.occupancy(),
            window: record.window(now, &self.settings),
            rate: record.rate(),
        })
    }

    fn apply(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Opened { lanes, earliest_deadline_in } => self.opened(now, &lanes, earliest_deadline_in),
            Event::Arrived { arrival, lane, time_left } => {
                let action = self.arrived(now, arrival, lane, time_left);
                actions.push(action);
            }
            Event::Stored { lane, count } => self.stored(now, lane, count),
            Event::StoreFailed { lane, count, fault } => self.store_failed(now, lane, count, fault),
            Event::SpillDropped { lane, count } => self.spill_dropped(now, lane, count),
            Event::RemovedFromDisk { lane, count } => self.removed(now, lane, count),
            Event::Fetched { lane, count, exhausted } => self.fetched(now, lane, count, exhausted),
            Event::FetchFailed { lane } => self.fetch_failed(now, lane),
            Event::LeftMemory { destination, outcome } => self.left_memory(now, destination, outcome),
            Event::AttemptFailed { destination } => {
                self.update_known(now, destination, |record, _| record.attempt_failed());
            }
            Event::CallsInFlight { destination, count } => {
                self.update_known(now, destination, |record, _| record.calls_in_flight(count));
            }
            Event::BackoffRequested { destination, until } => {
                self.update_known(now, destination, |record, _| record.backoff_requested(until));
            }
            Event::DestinationRecovered { destination } => {
                self.update_known(now, destination, |record, _| record.recovered());
            }
            Event::Evicted { destination, returned } => self.evicted(now, destination, &returned),
            Event::ExpiredRead { expired, more, earliest_deadline_in } => {
                self.expired_read(now, &expired, more, earliest_deadline_in);
            }
            Event::ExpiredReadFailed => {
                self.health.requests_completed(now, 1);
                self.expiry.read_failed(now);
            }
            Event::Usage { used, quota } => self.health.usage(now, used, quota),
            Event::StoreRecovered => self.health.recovered(),
            Event::SettingsChanged(settings) => self.settings = settings,
            Event::Tick => {}
        }
    }

    /// Changes a destination's record, creating it if there is none, and updates the indexes and the slot queue
    /// accordingly.
    fn update<R>(
        &mut self,
        now: Duration,
        id: u64,
        change: impl FnOnce(&mut Destination, &Settings) -> R,
    ) -> R {
        let record = self.destinations.entry(id).or_default();
        let result = change(record, &self.settings);
        record.measure(now);
        let indexed = IndexEntry::of(record, now, &self.settings);
        self.slots.replace(id, std::mem::replace(&mut record.indexed, indexed), indexed);
        let wanted_queue = (record.refill(now, &self.settings) > 0).then_some(record.half_open);
        if record.queue_entry.map(|queue_entry| queue_entry.half_open) != wanted_queue {
            record.queue_entry.take().into_iter().for_each(|queue_entry| self.slot_queue.cancel(queue_entry));
            record.queue_entry = wanted_queue.map(|half_open| self.slot_queue.enqueue(id, half_open));
        }
        if record.is_idle() {
            self.slots.replace(id, indexed, IndexEntry::default());
            self.destinations.remove(&id);
        }
        result
    }

    /// Like [`Planner::update`], but ignores an event for a destination that has no record.
    fn update_known(&mut self, now: Duration, id: u64, change: impl FnOnce(&mut Destination, &Settings)) {
        if self.destinations.contains_key(&id) {
            self.update(now, id, change);
        }
    }

    fn opened(&mut self, now: Duration, lanes: &[LaneCount], earliest_deadline_in: Option<Duration>) {
        for LaneCount { lane, messages } in lanes {
            self.update(now, lane.destination, |record, _| record.share.lane(lane.class).on_disk += messages);
        }
        if let Some(time_left) = earliest_deadline_in {
            self.expiry.track_deadline(now, now.saturating_add(time_left));
        }
    }

    fn arrived(&mut self, now: Duration, arrival: ArrivalId, lane: Lane, time_left: Duration) -> Action {
        let free = self.slots.free(&self.settings);
        let reserve = self.settings.slots() / ARRIVAL_RESERVE_DIVISOR;
        let may_have_slot = free > 0 && (self.slot_queue.ready_len() == 0 || free > reserve);
        let half_open_may_have_slot = self.slots.free_for_half_open(&self.settings) > 0;
        let admitted = self.update(now, lane.destination, |record, settings| {
            let may_have_slot = may_have_slot && (!record.half_open || half_open_may_have_slot);
            let clear = record.share.lane(lane.class).is_clear() && !record.evicting;
            let room = record.occupancy() < record.window(now, settings);
            let admitted = clear && room && may_have_slot && record.share.try_admit(lane.class, settings);
            if admitted {
                record.added_to_memory(now, 1);
            }
            admitted
        });
        if admitted { Action::AdmitToMemory { arrival } } else { self.spill(now, arrival, lane, time_left) }
    }

    fn spill(&mut self, now: Duration, arrival: ArrivalId, lane: Lane, time_left: Duration) -> Action {
        let health = self.health.state();
        if health != StoreHealth::Healthy {
            let retry_after = self.health.retry_after(now);
            return Action::Refuse { arrival, retry_after, reason: RefusalReason::Store(health) };
        }
        if self.pending >= self.settings.max_pending {
            return Action::Refuse { arrival, retry_after: BUSY_RETRY_AFTER, reason: RefusalReason::Busy };
        }
        let late_by = self.update(now, lane.destination, |record, settings| {
            let predicted = record.predicted(now, lane.class, settings)?.mul_f64(PREDICTION_MARGIN);
            predicted.checked_sub(time_left).filter(|late_by| !late_by.is_zero())
        });
        if let Some(late_by) = late_by {
            let retry_after = late_by.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            return Action::Refuse { arrival, retry_after, reason: RefusalReason::TooLate };
        }
        self.update(now, lane.destination, |record, _| record.share.lane(lane.class).pending += 1);
        self.pending += 1;
        self.health.request_sent(now);
        self.expiry.track_deadline(now, now.saturating_add(time_left));
        Action::Spill { arrival, lane }
    }

    fn stored(&mut self, now: Duration, lane: Lane, count: u32) {
        self.health.requests_completed(now, u64::from(count));
        self.pending = self.pending.saturating_sub(count);
        self.update(now, lane.destination, |record, _| {
            let lane = record.share.lane(lane.class);
            lane.pending = lane.pending.saturating_sub(count);
            lane.on_disk += u64::from(count);
            lane.stored_since_fetch += u64::from(count);
        });
    }

    fn store_failed(&mut self, now: Duration, lane: Lane, count: u32, fault: StoreFault) {
        self.health.write_failed(now, fault);
        self.spill_dropped(now, lane, count);
    }

    fn spill_dropped(&mut self, now: Duration, lane: Lane, count: u32) {
        self.health.requests_completed(now, u64::from(count));
        self.pending = self.pending.saturating_sub(count);
        self.update(now, lane.destination, |record, _| {
            let lane = record.share.lane(lane.class);
            lane.pending = lane.pending.saturating_sub(count);
        });
    }

    fn removed(&mut self, now: Duration, lane: Lane, count: u64) {
        self.update(now, lane.destination, |record, _| {
            let lane = record.share.lane(lane.class);
            lane.on_disk = lane.on_disk.saturating_sub(count);
        });
    }

    fn fetched(&mut self, now: Duration, lane: Lane, count: u32, exhausted: bool) {
        self.health.requests_completed(now, 1);
        self.fetches_in_flight = self.fetches_in_flight.saturating_sub(1);
        self.update(now, lane.destination, |record, _| {
            record.added_to_memory(now, count);
            let lane = record.share.lane(lane.class);
            let requested = std::mem::take(&mut lane.requested);
            lane.on_disk = lane.on_disk.saturating_sub(u64::from(count));
            if exhausted {
                // Any surplus in the count stands for messages that were corrupt or have expired.
                lane.on_disk = lane.on_disk.min(lane.stored_since_fetch);
            }
            record.requested = record.requested.saturating_sub(requested);
        });
    }

    fn fetch_failed(&mut self, now: Duration, lane: Lane) {
        self.health.requests_completed(now, 1);
        self.fetches_in_flight = self.fetches_in_flight.saturating_sub(1);
        self.next_fetch_at = now + FETCH_RETRY_PAUSE;
        self.update(now, lane.destination, |record, _| {
            let requested = std::mem::take(&mut record.share.lane(lane.class).requested);
            record.requested = record.requested.saturating_sub(requested);
        });
    }

    fn left_memory(&mut self, now: Duration, destination: u64, outcome: Outcome) {
        self.update_known(now, destination, |record, settings| match outcome {
            Outcome::Delivered => record.delivered(now, settings),
            Outcome::Refused | Outcome::Failed | Outcome::Ended => record.removed_from_memory(now),
        });
    }

    fn evicted(&mut self, now: Duration, destination: u64, returned: &[(ClassNumber, u32)]) {
        let was_requested = self.update(now, destination, |record, settings| {
            let was_requested = record.evicting;
            for (class, count) in returned {
                record.share.lane(*class).on_disk += u64::from(*count);
            }
            record.evicted(now, returned.iter().map(|(_, count)| count).sum(), settings);
            was_requested
        });
        self.evictions_in_flight -= u32::from(was_requested);
        if !returned.is_empty() {
            // The deadlines of the returned messages are not known here; the next read of the index finds them.
            self.expiry.track_deadline(now, now + expiry::MAX_READ_INTERVAL);
        }
    }

    fn expired_read(
        &mut self,
        now: Duration,
        expired: &[LaneCount],
        more: bool,
        earliest_deadline_in: Option<Duration>,
    ) {
        self.health.requests_completed(now, 1);
        let mut count = 0;
        for LaneCount { lane, messages } in expired {
            count += messages;
            self.removed(now, *lane, *messages);
        }
        self.expiry.read_done(now, count, more, earliest_deadline_in, self.settings.expiry_rate);
    }

    fn resume_after_backoffs(&mut self, now: Duration) {
        while let Some(id) = self.slots.due_refill(now) {
            self.update(now, id, |_, _| ());
        }
    }

    /// Fetches messages for one queued destination after the other while there are free slots.
    fn fetch(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while self.fetches_in_flight < MAX_FETCHES_IN_FLIGHT && now >= self.next_fetch_at {
            self.next_fetch_at = Duration::ZERO;
            let free = self.slots.free(&self.settings);
            let free_for_half_open = self.slots.free_for_half_open(&self.settings);
            if free == 0 {
                return;
            }
            let Some(id) = self.slot_queue.next(free_for_half_open > 0) else { return };
            let even_share = free / (self.slot_queue.ready_len() as u64 + 1);
            let requests = self.update(now, id, |record, settings| {
                record.queue_entry = None;
                let limit = match record.rate() {
                    // A single message, so that the slots suffice to test many destinations.
                    _ if record.half_open => 1,
                    None => even_share.max(u64::from(settings.min_window)).min(free),
                    Some(_) => free,
                };
                let limit = limit.min(u64::from(MAX_FETCH_MESSAGES)) as u32;
                let room = record.refill(now, settings).min(limit);
                let split = record.share.split(room, settings);
                for (class, count) in &split {
                    let lane = record.share.lane(*class);
                    lane.requested = *count;
                    lane.stored_since_fetch = 0;
                    record.requested += count;
                }
                split
            });
            for (class, limit) in requests {
                self.fetches_in_flight += 1;
                self.health.request_sent(now);
                actions.push(Action::Fetch { lane: Lane { destination: id, class }, limit });
            }
        }
    }

    /// The destination to evict next and since when it has stalled, if destinations wait for slots and none are
    /// free.
    fn stalled(&self) -> Option<(Duration, u64)> {
        let none_waiting = self.slot_queue.ready_len() == 0 && self.slot_queue.no_half_open();
        let full = self.slots.free(&self.settings) == 0 && !none_waiting;
        let half_open_full =
            self.slots.free_for_half_open(&self.settings) == 0 && !self.slot_queue.no_half_open();
        let may_evict =
            self.evictions_in_flight < MAX_EVICTIONS_IN_FLIGHT && self.health.state() == StoreHealth::Healthy;
        if may_evict && (full || half_open_full) { self.slots.longest_stalled(!full) } else { None }
    }

    fn evict(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while let Some((_, id)) = self.stalled().filter(|(since, _)| *since + STALLED_AFTER <= now) {
            self.update(now, id, |record, _| record.evicting = true);
            self.evictions_in_flight += 1;
            actions.push(Action::Evict { destination: id });
        }
    }

    fn read_expired(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.slots.on_disk() == 0 && self.pending == 0 {
            return self.expiry.clear();
        }
        if let Some(limit) = self.expiry.start_read(now, self.settings.expiry_rate) {
            self.health.request_sent(now);
            actions.push(Action::ReadExpired { limit });
        }
    }
}
