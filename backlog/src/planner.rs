//! What is kept in memory, what waits on disk, what is fetched when, and what is refused.
//!
//! Owns the counts of messages by lane, the windows of destinations, the order in which they are refilled and the
//! pace at which ends are told. It may know neither clocks nor files nor sockets nor random numbers: events go into
//! [`Planner::handle`] with a time of a monotonic clock, actions come out. It keeps a bounded record for each
//! destination that has a message on disk or in memory, and nothing for a message. `docs/backlog.md` gives the
//! rules and their reasons.
mod destination;
mod drain_rate;
mod event;
mod expiry;
mod fair_share;
mod health;
mod settings;
mod slots;
#[cfg(test)]
mod tests;
mod turns;

use std::collections::BTreeMap;
use std::time::Duration;

pub use event::{Action, ArrivalId, Event, LaneCount, Outcome, RefusalReason, StoreFault, StoreHealth};
pub use settings::{MESSAGE_MEMORY_BYTES, Settings};

use crate::message::{ClassNumber, Lane};
use destination::Destination;
use expiry::ExpiryPacer;
use health::HealthMonitor;
use slots::{Entry, Slots};
use turns::Turns;

/// Messages of one fetch at most, and fetches that are not done at most.
const MOST_FETCHED: u32 = 512;
const MOST_FETCHES: u32 = 64;

/// Pause of all fetches after one that could not be carried out.
const FETCH_RETRY: Duration = Duration::from_millis(500);

/// A destination without progress for this long gives its slots back if others wait for slots.
const STALLED_AFTER: Duration = Duration::from_secs(2);

/// Destinations that are giving slots back at the same time, at most.
const MOST_PARKING: u32 = 64;

/// With destinations waiting for slots, arrivals go straight to memory only while this part of the slots is free.
const ARRIVALS_LEAVE: u64 = 8;

/// A prediction is taken for this much longer, for its error.
const PREDICTION_MARGIN: f64 = 1.05;

/// When a refused client comes back, at least and at most.
const LEAST_RETRY: Duration = Duration::from_secs(1);
const MOST_RETRY: Duration = Duration::from_secs(300);

/// When a client comes back that was refused for the messages on their way to the disk.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// What operators are shown of a destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DestinationStats {
    /// Messages on disk.
    pub on_disk: u64,
    /// Messages in memory or on their way there.
    pub in_memory: u32,
    /// The window.
    pub window: u32,
    /// Deliveries a second, if they were measured.
    pub rate: Option<f64>,
}

/// The decisions about a backlog on disk.
#[derive(Debug, Default)]
pub struct Planner {
    settings: Settings,
    destinations: BTreeMap<u64, Destination>,
    slots: Slots,
    turns: Turns,
    expiry: ExpiryPacer,
    health: HealthMonitor,
    /// Messages on their way to the disk.
    pending: u32,
    fetches: u32,
    fetch_from: Duration,
    parking: u32,
}

impl Planner {
    /// A planner with nothing on disk.
    pub fn new(settings: Settings) -> Planner {
        Planner { settings, ..Planner::default() }
    }

    /// Takes in what happened at `now`, which must not fall, and tells what is to be done, in order.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let health = self.health.state();
        if self.health.tick(now) {
            actions.push(Action::ProbeStore);
        }
        self.take_in(now, event, &mut actions);
        if self.health.state() != health {
            actions.push(Action::HealthChanged { health: self.health.state() });
        }
        self.resume_after_waits(now);
        self.fetch(now, &mut actions);
        self.park(now, &mut actions);
        self.read_expired(now, &mut actions);
        actions
    }

    /// When `handle` is to be called with a tick, if nothing happens before.
    pub fn next_deadline(&self) -> Option<Duration> {
        let refill = self.slots.next_refill().map(|(from, _)| from);
        let fetch = (self.turns.ready() > 0 || !self.turns.nobody_on_trial()).then_some(self.fetch_from);
        let fetch = fetch.filter(|from| !from.is_zero());
        let park = self.stalled().map(|(since, _)| since + STALLED_AFTER);
        let due = [refill, fetch, park, self.expiry.next_read(), self.health.next_deadline()];
        due.into_iter().flatten().min()
    }

    /// Slots in use: messages in memory or on their way there.
    pub fn slots_used(&self) -> u64 {
        self.slots.used()
    }

    /// Messages on disk.
    pub fn on_disk(&self) -> u64 {
        self.slots.on_disk()
    }

    /// Destinations that have a record.
    pub fn destinations(&self) -> usize {
        self.destinations.len()
    }

    /// What the store is taken for.
    pub fn health(&self) -> StoreHealth {
        self.health.state()
    }

    /// Figures of a destination that has a record.
    pub fn stats(&self, now: Duration, destination: u64) -> Option<DestinationStats> {
        let record = self.destinations.get(&destination)?;
        Some(DestinationStats {
            on_disk: record.share.on_disk(),
            in_memory: record.occupancy(),
            window: record.window(now, &self.settings),
            rate: record.rate(),
        })
    }

    fn take_in(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
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
                self.update_known(now, destination, |record, _| record.calls_out(count));
            }
            Event::BackoffRequested { destination, until } => {
                self.update_known(now, destination, |record, _| record.wait_told(until));
            }
            Event::DestinationRecovered { destination } => {
                self.update_known(now, destination, |record, _| record.returned());
            }
            Event::Evicted { destination, returned } => self.parked(now, destination, &returned),
            Event::ExpiredRead { expired, more, earliest_deadline_in } => {
                self.expired_read(now, &expired, more, earliest_deadline_in);
            }
            Event::ExpiredReadFailed => {
                self.health.answered(now, 1);
                self.expiry.read_failed(now);
            }
            Event::Usage { used, quota } => self.health.usage(now, used, quota),
            Event::StoreRecovered => self.health.recovered(),
            Event::SettingsChanged(settings) => self.settings = settings,
            Event::Tick => {}
        }
    }

    /// Changes a destination's record, made if it isn't there, and brings the indexes and queues after it.
    fn update<R>(
        &mut self,
        now: Duration,
        id: u64,
        change: impl FnOnce(&mut Destination, &Settings) -> R,
    ) -> R {
        let record = self.destinations.entry(id).or_default();
        let result = change(record, &self.settings);
        record.measure(now);
        let indexed = Entry::of(record, now, &self.settings);
        self.slots.replace(id, std::mem::replace(&mut record.indexed, indexed), indexed);
        let wanted = (record.refill(now, &self.settings) > 0).then_some(record.on_trial);
        if record.turn.map(|turn| turn.trial) != wanted {
            record.turn.take().into_iter().for_each(|turn| self.turns.leave(turn));
            record.turn = wanted.map(|trial| self.turns.join(id, trial));
        }
        if record.is_idle() {
            self.slots.replace(id, indexed, Entry::default());
            self.destinations.remove(&id);
        }
        result
    }

    /// The same, for news that says nothing of a destination without a record.
    fn update_known(&mut self, now: Duration, id: u64, change: impl FnOnce(&mut Destination, &Settings)) {
        if self.destinations.contains_key(&id) {
            self.update(now, id, change);
        }
    }

    fn opened(&mut self, now: Duration, lanes: &[LaneCount], earliest_deadline_in: Option<Duration>) {
        for LaneCount { lane, messages } in lanes {
            self.update(now, lane.destination, |record, _| record.share.lane(lane.class).on_disk += messages);
        }
        if let Some(end) = earliest_deadline_in {
            self.expiry.waits_until(now, now.saturating_add(end));
        }
    }

    fn arrived(&mut self, now: Duration, arrival: ArrivalId, lane: Lane, time_left: Duration) -> Action {
        let free = self.slots.free(&self.settings);
        let reserve = self.settings.slots() / ARRIVALS_LEAVE;
        let may_have_slot = free > 0 && (self.turns.ready() == 0 || free > reserve);
        let trial_may_have_slot = self.slots.free_for_trials(&self.settings) > 0;
        let admitted = self.update(now, lane.destination, |record, settings| {
            let may_have_slot = may_have_slot && (!record.on_trial || trial_may_have_slot);
            let clear = record.share.lane(lane.class).is_clear() && !record.parking;
            let room = record.occupancy() < record.window(now, settings);
            let admitted = clear && room && may_have_slot && record.share.take_turn(lane.class, settings);
            if admitted {
                record.entered(now, 1);
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
        if self.pending >= self.settings.most_pending {
            return Action::Refuse { arrival, retry_after: BUSY_RETRY, reason: RefusalReason::Busy };
        }
        let late_by = self.update(now, lane.destination, |record, settings| {
            let predicted = record.predicted(now, lane.class, settings)?.mul_f64(PREDICTION_MARGIN);
            predicted.checked_sub(time_left).filter(|late_by| !late_by.is_zero())
        });
        if let Some(late_by) = late_by {
            let retry_after = late_by.clamp(LEAST_RETRY, MOST_RETRY);
            return Action::Refuse { arrival, retry_after, reason: RefusalReason::TooLate };
        }
        self.update(now, lane.destination, |record, _| record.share.lane(lane.class).pending += 1);
        self.pending += 1;
        self.health.asked(now);
        self.expiry.waits_until(now, now.saturating_add(time_left));
        Action::Spill { arrival, lane }
    }

    fn stored(&mut self, now: Duration, lane: Lane, count: u32) {
        self.health.answered(now, u64::from(count));
        self.pending = self.pending.saturating_sub(count);
        self.update(now, lane.destination, |record, _| {
            let lane = record.share.lane(lane.class);
            lane.pending = lane.pending.saturating_sub(count);
            lane.on_disk += u64::from(count);
            lane.stored_since_fetch += u64::from(count);
        });
    }

    fn store_failed(&mut self, now: Duration, lane: Lane, count: u32, fault: StoreFault) {
        self.health.failed(now, fault);
        self.spill_dropped(now, lane, count);
    }

    fn spill_dropped(&mut self, now: Duration, lane: Lane, count: u32) {
        self.health.answered(now, u64::from(count));
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
        self.health.answered(now, 1);
        self.fetches = self.fetches.saturating_sub(1);
        self.update(now, lane.destination, |record, _| {
            record.entered(now, count);
            let lane = record.share.lane(lane.class);
            let asked = std::mem::take(&mut lane.requested);
            lane.on_disk = lane.on_disk.saturating_sub(u64::from(count));
            if exhausted {
                // What the count has beyond these was damaged or has ended.
                lane.on_disk = lane.on_disk.min(lane.stored_since_fetch);
            }
            record.requested = record.requested.saturating_sub(asked);
        });
    }

    fn fetch_failed(&mut self, now: Duration, lane: Lane) {
        self.health.answered(now, 1);
        self.fetches = self.fetches.saturating_sub(1);
        self.fetch_from = now + FETCH_RETRY;
        self.update(now, lane.destination, |record, _| {
            let asked = std::mem::take(&mut record.share.lane(lane.class).requested);
            record.requested = record.requested.saturating_sub(asked);
        });
    }

    fn left_memory(&mut self, now: Duration, destination: u64, outcome: Outcome) {
        self.update_known(now, destination, |record, settings| match outcome {
            Outcome::Delivered => record.delivered(now, settings),
            Outcome::Refused | Outcome::Failed | Outcome::Ended => record.left(now),
        });
    }

    fn parked(&mut self, now: Duration, destination: u64, returned: &[(ClassNumber, u32)]) {
        let asked = self.update(now, destination, |record, settings| {
            let asked = record.parking;
            for (class, count) in returned {
                record.share.lane(*class).on_disk += u64::from(*count);
            }
            record.parked(now, returned.iter().map(|(_, count)| count).sum(), settings);
            asked
        });
        self.parking -= u32::from(asked);
        if !returned.is_empty() {
            // Their deadlines are not known here: the index tells of them with the next read.
            self.expiry.waits_until(now, now + expiry::LONGEST_PAUSE);
        }
    }

    fn expired_read(
        &mut self,
        now: Duration,
        expired: &[LaneCount],
        more: bool,
        earliest_deadline_in: Option<Duration>,
    ) {
        self.health.answered(now, 1);
        let mut count = 0;
        for LaneCount { lane, messages } in expired {
            count += messages;
            self.removed(now, *lane, *messages);
        }
        self.expiry.read_done(now, count, more, earliest_deadline_in, self.settings.expiry_rate);
    }

    fn resume_after_waits(&mut self, now: Duration) {
        while let Some(id) = self.slots.refill_reached(now) {
            self.update(now, id, |_, _| ());
        }
    }

    /// Asks for messages, a destination after the other, while there are slots.
    fn fetch(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while self.fetches < MOST_FETCHES && now >= self.fetch_from {
            self.fetch_from = Duration::ZERO;
            let free = self.slots.free(&self.settings);
            let free_for_trials = self.slots.free_for_trials(&self.settings);
            if free == 0 {
                return;
            }
            let Some(id) = self.turns.next(free_for_trials > 0) else { return };
            let even_part = free / (self.turns.ready() as u64 + 1);
            let asked = self.update(now, id, |record, settings| {
                record.turn = None;
                let limit = match record.rate() {
                    // One message at a time, so that many may show that they are back.
                    _ if record.on_trial => 1,
                    None => even_part.max(u64::from(settings.least_window)).min(free),
                    Some(_) => free,
                };
                let limit = limit.min(u64::from(MOST_FETCHED)) as u32;
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
            for (class, limit) in asked {
                self.fetches += 1;
                self.health.asked(now);
                actions.push(Action::Fetch { lane: Lane { destination: id, class }, limit });
            }
        }
    }

    /// Who is to give slots back, if others wait for slots and there are none.
    fn stalled(&self) -> Option<(Duration, u64)> {
        let nobody_waits = self.turns.ready() == 0 && self.turns.nobody_on_trial();
        let full = self.slots.free(&self.settings) == 0 && !nobody_waits;
        let trials_full = self.slots.free_for_trials(&self.settings) == 0 && !self.turns.nobody_on_trial();
        let may_park = self.parking < MOST_PARKING && self.health.state() == StoreHealth::Healthy;
        if may_park && (full || trials_full) { self.slots.longest_stalled(!full) } else { None }
    }

    fn park(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while let Some((_, id)) = self.stalled().filter(|(since, _)| *since + STALLED_AFTER <= now) {
            self.update(now, id, |record, _| record.parking = true);
            self.parking += 1;
            actions.push(Action::Evict { destination: id });
        }
    }

    fn read_expired(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.slots.on_disk() == 0 && self.pending == 0 {
            return self.expiry.nothing_waits();
        }
        if let Some(limit) = self.expiry.read(now, self.settings.expiry_rate) {
            self.health.asked(now);
            actions.push(Action::ReadExpired { limit });
        }
    }
}
