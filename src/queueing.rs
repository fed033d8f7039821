//! How the dispatcher uses the queue: which lane a message belongs to, how many messages go before it, and
//! when a destination is visited.
//!
//! This module adds messages to lanes and removes them. What is sent, given up or refused is decided in
//! [`crate::choice`].
use crate::choice::Dispatcher;
use crate::interface::*;
use crate::queue::{Lane, QueueEntry, Rank, RankedEntry, Readiness, ResendScope};
use crate::state::{Message, Peer, UnitId, nanos};
use std::cmp::Ordering;
use std::collections::{BTreeSet, VecDeque};

impl Dispatcher {
    /// The least urgent message of a lane.
    pub(crate) fn least_urgent(
        &self,
        now: Nanos,
        dest: DestId,
        lane: &Lane,
        queue: &VecDeque<QueueEntry>,
    ) -> Option<RankedEntry> {
        let late_count = self.late_count(now, lane, queue);
        let last = queue.get(late_count.checked_sub(1).unwrap_or(queue.len() - 1))?;
        Some((self.rank(now, &self.messages[&last.id]), last.id, dest, *lane))
    }

    /// Number of messages in a lane that would miss their target if they were sent now. They are the first
    /// ones of the lane.
    pub(crate) fn late_count(&self, now: Nanos, lane: &Lane, queue: &VecDeque<QueueEntry>) -> usize {
        let finish = self.finish_time(now, lane.unit);
        queue.partition_point(|w| w.target_at < finish)
    }

    /// When a message sent now would complete if it takes as long as the latest one there.
    pub(crate) fn finish_time(&self, now: Nanos, unit: Option<UnitId>) -> Nanos {
        let unit = unit.and_then(|unit| self.units.get(&unit));
        now + nanos(unit.map_or(0.0, |u| u.predictor.latest_latency))
    }

    /// Number of messages queued for a unit that go before this one.
    pub(crate) fn queued_ahead(&self, now: Nanos, unit: UnitId, message: &Message) -> u32 {
        let rank = self.rank(now, message);
        let count = |(lane, queue): (&Lane, &VecDeque<QueueEntry>)| {
            let late_count = self.late_count(now, lane, queue);
            // Within a lane, messages in time share one weighted worth and late ones another; then the target
            // decides.
            let before = |from: usize, to: usize| {
                let Some(first) = queue.get(from).filter(|_| from < to) else { return 0 };
                let (worth, _) = self.rank(now, &self.messages[&first.id]);
                match worth.cmp(&rank.0) {
                    Ordering::Less => to - from,
                    Ordering::Equal => {
                        queue.partition_point(|w| w.target_at <= rank.1).clamp(from, to) - from
                    }
                    Ordering::Greater => 0,
                }
            };
            before(0, late_count) + before(late_count, queue.len())
        };
        let lanes = self.queue.lanes(message.dest).filter(|(lane, _)| lane.unit == Some(unit));
        lanes.map(count).sum::<usize>() as u32
    }

    /// Adds a message to its lane, and schedules a recheck for when its lane changes with time alone.
    pub(crate) fn enqueue(&mut self, now: Nanos, id: MsgId, unit: Option<UnitId>) {
        self.dequeue(id);
        let Some(message) = self.messages.get(&id).filter(|m| !m.ended && m.in_flight.is_none()) else {
            return;
        };
        let class = &message.rules;
        let (unconfirmed, is_next) = (message.unconfirmed.as_ref(), self.is_next_of_key(now, id, message));
        let resend_scope = unconfirmed.filter(|_| class.effect == Effect::Deduplicated).and_then(|attempt| {
            match class.dedup_scope {
                DedupScope::All => None,
                DedupScope::Zone => Some(ResendScope::Zone(attempt.zone)),
                DedupScope::Endpoint => Some(ResendScope::Endpoint(attempt.endpoint)),
            }
        });
        let backoff = message.backoff_until.filter(|until| now < *until);
        let key_pause = message.key.and_then(|k| self.keys.get(&k)).map(|key_queue| key_queue.paused_until);
        let resend_end = unconfirmed
            .zip(class.resend_window())
            .map(|(unconfirmed, window)| (unconfirmed.sent + window).saturating_sub(self.guard));
        let recheck_at = [backoff, key_pause, resend_end].into_iter().flatten().filter(|at| *at > now).min();
        let readiness = match (is_next, backoff) {
            (true, None) => Readiness::Ready,
            (_, Some(_)) => Readiness::BackingOff,
            (false, None) => Readiness::Blocked,
        };
        let (worth, attempt_guaranteed) = (message.worth.to_bits(), message.attempt_guaranteed());
        let lane = Lane { unit, class: message.class, worth, resend_scope, readiness, attempt_guaranteed };
        self.queue.insert(message.dest, lane, message.queue_entry(id, &lane), message.deadline);
        self.queue.set_recheck(id, None, recheck_at);
        let message = self.messages.get_mut(&id).expect("the message was looked up above");
        (message.lane, message.recheck_at) = (Some(lane), recheck_at);
        unit.and_then(|u| self.units.get_mut(&u)).into_iter().for_each(|u| u.queued += 1);
    }

    /// Removes a message from the queue if it is there.
    pub(crate) fn dequeue(&mut self, id: MsgId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        self.queue.set_recheck(id, message.recheck_at.take(), None);
        let Some(lane) = message.lane.take() else { return };
        self.queue.remove(message.dest, lane, message.queue_entry(id, &lane), message.deadline);
        lane.unit.and_then(|u| self.units.get_mut(&u)).into_iter().for_each(|u| u.queued -= 1);
    }

    /// Adds the most urgent messages of a lane: the first in time, and the first late one.
    pub(crate) fn add_lane_heads(
        &self,
        now: Nanos,
        lane: &Lane,
        queue: &VecDeque<QueueEntry>,
        heads: &mut BTreeSet<(Rank, MsgId)>,
    ) {
        let late_count = self.late_count(now, lane, queue);
        let entries = [queue.get(late_count), queue.front()]
            .into_iter()
            .flatten()
            .filter(|_| lane.readiness == Readiness::Ready);
        heads.extend(entries.map(|w| (self.rank(now, &self.messages[&w.id]), w.id)));
    }

    /// Schedules the next visit to a destination in case nothing else causes one.
    pub(crate) fn schedule_visit(&mut self, now: Nanos, dest: DestId) {
        let Some(deadline) = self.queue.first_deadline_for(dest) else { return };
        let opens_at = |p: &Peer| {
            let unit = self.units.get(&p.unit)?;
            Some(unit.next_call_at(now).max(now + self.time_to_trial(now, p, Nanos::MAX)))
        };
        let opens_at = self.active_endpoints(dest).filter_map(opens_at).min();
        let latest =
            deadline.saturating_sub(self.guard + nanos(self.earliest_completion(now, dest, Nanos::MAX)));
        let next_visit = opens_at.into_iter().chain([latest]).filter(|at| *at > now).min();
        let needs_slot = opens_at.is_some_and(|at| at <= now) && self.calls.len() >= self.slots;
        let mut heads = BTreeSet::new();
        if needs_slot {
            self.queue
                .lanes(dest)
                .for_each(|(lane, queue)| self.add_lane_heads(now, lane, queue, &mut heads));
        }
        self.queue.schedule_visit(dest, next_visit, heads.first().map(|(rank, _)| *rank));
    }
}
