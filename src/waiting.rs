//! The courier's side of the hold: where a message waits, how many go before it, and when a destination is visited.
//!
//! Owns the way of a message into its lane and out of it. What is sent, given up or turned away is decided in
//! [`crate::choice`].
use crate::choice::Dispatcher;
use crate::hold::{Bound, Lane, Place, Rank, Turn, Waiting};
use crate::interface::*;
use crate::state::{Message, Peer, UnitId, nanos};
use std::cmp::Ordering;
use std::collections::{BTreeSet, VecDeque};

impl Dispatcher {
    /// The least urgent message of a lane.
    pub(crate) fn last(
        &self,
        now: Nanos,
        dest: DestId,
        lane: &Lane,
        queue: &VecDeque<Waiting>,
    ) -> Option<Place> {
        let late = self.late(now, lane, queue);
        let last = queue.get(late.checked_sub(1).unwrap_or(queue.len() - 1))?;
        Some((self.rank(now, &self.messages[&last.id]), last.id, dest, *lane))
    }

    /// How many of a lane's messages would be late if they were sent now: they are its first.
    pub(crate) fn late(&self, now: Nanos, lane: &Lane, queue: &VecDeque<Waiting>) -> usize {
        let done = self.done(now, lane.unit);
        queue.partition_point(|w| w.aim_at < done)
    }

    /// When a message would be done that is sent now and takes as long as the latest there.
    pub(crate) fn done(&self, now: Nanos, unit: Option<UnitId>) -> Nanos {
        let unit = unit.and_then(|unit| self.units.get(&unit));
        now + nanos(unit.map_or(0.0, |u| u.predictor.recent))
    }

    /// Messages held for a unit that go before this one.
    pub(crate) fn ahead(&self, now: Nanos, unit: UnitId, message: &Message) -> u32 {
        let rank = self.rank(now, message);
        let count = |(lane, queue): (&Lane, &VecDeque<Waiting>)| {
            let late = self.late(now, lane, queue);
            // Within a lane, those in time have one worth and the late ones another; then the aim orders.
            let before = |from: usize, to: usize| {
                let Some(first) = queue.get(from).filter(|_| from < to) else { return 0 };
                let (worth, _) = self.rank(now, &self.messages[&first.id]);
                match worth.cmp(&rank.0) {
                    Ordering::Less => to - from,
                    Ordering::Equal => queue.partition_point(|w| w.aim_at <= rank.1).clamp(from, to) - from,
                    Ordering::Greater => 0,
                }
            };
            before(0, late) + before(late, queue.len())
        };
        let lanes = self.hold.lanes(message.dest).filter(|(lane, _)| lane.unit == Some(unit));
        lanes.map(count).sum::<usize>() as u32
    }

    /// Puts a message where it waits, and has it looked at when that changes by itself.
    pub(crate) fn hold_in(&mut self, now: Nanos, id: MsgId, unit: Option<UnitId>) {
        self.unhold(id);
        let Some(message) = self.messages.get(&id).filter(|m| !m.ended && m.out.is_none()) else { return };
        let class = &message.rules;
        let (risk, turn) = (message.risk.as_ref(), self.has_turn(now, id, message));
        let bound =
            risk.filter(|_| class.effect == Effect::Deduplicated).and_then(|risk| match class.dedup_scope {
                DedupScope::All => None,
                DedupScope::Zone => Some(Bound::Zone(risk.zone)),
                DedupScope::Endpoint => Some(Bound::Endpoint(risk.endpoint)),
            });
        let rested = message.full.filter(|until| now < *until);
        let settled = message.key.and_then(|k| self.keys.get(&k)).map(|line| line.rest_until);
        let forgotten = risk
            .zip(class.resend_window())
            .map(|(risk, memory)| (risk.sent + memory).saturating_sub(self.guard));
        let alarm = [rested, settled, forgotten].into_iter().flatten().filter(|at| *at > now).min();
        let turn = match (turn, rested) {
            (true, None) => Turn::Ready,
            (_, Some(_)) => Turn::Resting,
            (false, None) => Turn::Behind,
        };
        let (worth, owed) = (message.worth.to_bits(), message.owed());
        let lane = Lane { unit, class: message.class, worth, bound, turn, owed };
        self.hold.put(message.dest, lane, message.waiting(id, &lane), message.deadline);
        self.hold.set_alarm(id, None, alarm);
        let message = self.messages.get_mut(&id).expect("just found");
        (message.lane, message.alarm) = (Some(lane), alarm);
        unit.and_then(|u| self.units.get_mut(&u)).into_iter().for_each(|u| u.held += 1);
    }

    /// Takes a message out of the hold, if it is there.
    pub(crate) fn unhold(&mut self, id: MsgId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        self.hold.set_alarm(id, message.alarm.take(), None);
        let Some(lane) = message.lane.take() else { return };
        self.hold.take(message.dest, lane, message.waiting(id, &lane), message.deadline);
        lane.unit.and_then(|u| self.units.get_mut(&u)).into_iter().for_each(|u| u.held -= 1);
    }

    /// The most urgent messages of a lane: of those in time, and of the late ones.
    pub(crate) fn first(
        &self,
        now: Nanos,
        lane: &Lane,
        queue: &VecDeque<Waiting>,
        heads: &mut BTreeSet<(Rank, MsgId)>,
    ) {
        let late = self.late(now, lane, queue);
        let first =
            [queue.get(late), queue.front()].into_iter().flatten().filter(|_| lane.turn == Turn::Ready);
        heads.extend(first.map(|w| (self.rank(now, &self.messages[&w.id]), w.id)));
    }

    /// Notes when a destination is to be visited again, should nothing happen to it.
    pub(crate) fn expect(&mut self, now: Nanos, dest: DestId) {
        let Some(deadline) = self.hold.first_deadline_for(dest) else { return };
        let opens = |p: &Peer| {
            let unit = self.units.get(&p.unit)?;
            Some(unit.opens_at(now).max(now + self.trial_wait(now, p, Nanos::MAX)))
        };
        let opens = self.listed(dest).filter_map(opens).min();
        let lost = deadline.saturating_sub(self.guard + nanos(self.soonest(now, dest, Nanos::MAX)));
        let due = opens.into_iter().chain([lost]).filter(|at| *at > now).min();
        let waits = opens.is_some_and(|at| at <= now) && self.calls.len() >= self.slots;
        let mut heads = BTreeSet::new();
        if waits {
            self.hold.lanes(dest).for_each(|(lane, queue)| self.first(now, lane, queue, &mut heads));
        }
        self.hold.expect(dest, due, heads.first().map(|(rank, _)| *rank));
    }
}
