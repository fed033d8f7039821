//! What is held, laid out so that a round looks at what something happened to, and not at all of it.
//!
//! Messages of one destination that differ in nothing but their time lie in one lane, in the order of their deadlines,
//! which is that of their aims. What goes for the head of a lane then goes for all of it: whether it may be sent, and
//! whether it is still in time. A round visits the destinations that something happened to, those whose time has come,
//! those that a free slot is for, and a few of all others in turn. Where no more than [`TURNS`] destinations hold
//! messages, each round visits them all. It decides nothing.
use crate::base::UnitId;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Destinations that a round visits although nothing is known to have happened to them: predictions move by themselves.
pub const TURNS: usize = 128;

/// How urgent a message is; the least goes first.
pub type Rank = (i64, Nanos);

/// What the messages of a lane have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lane {
    /// The unit whose hold they are counted in.
    pub unit: Option<UnitId>,
    /// Their class.
    pub class: usize,
    /// Bits of their worth.
    pub worth: u64,
    /// Where a copy of them may have run, if that binds where they may go.
    pub bound: Option<Bound>,
    pub turn: Turn,
    /// A try is owed to them.
    pub owed: bool,
}

/// Whether a message may go as far as its order and its own rest are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Turn {
    Ready,
    /// After it was turned away.
    Resting,
    /// Another of its key goes before it.
    Behind,
}

/// Where alone a message may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bound {
    Zone(Option<ZoneId>),
    Endpoint(EndpointId),
}

impl Bound {
    pub fn allows(self, endpoint: &Endpoint) -> bool {
        match self {
            Bound::Zone(zone) => zone == Some(endpoint.zone),
            Bound::Endpoint(id) => id == endpoint.id,
        }
    }
}

/// A message in a lane. They are in the order in which they run out of time, then of their ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiting {
    /// Its deadline; where it rests, the time between the end of its rest and that.
    pub due: Nanos,
    pub id: MsgId,
    pub aim_at: Nanos,
}

/// A message and where it waits, by how urgent it is.
pub type Place = (Rank, MsgId, DestId, Lane);

#[derive(Default)]
struct Dest {
    lanes: BTreeMap<Lane, VecDeque<Waiting>>,
    due: Option<Nanos>,
    starved: Option<Rank>,
}

/// All that is held.
#[derive(Default)]
pub struct Hold {
    dests: BTreeMap<DestId, Dest>,
    deadlines: BTreeSet<(Nanos, MsgId)>,
    alarms: BTreeSet<(Nanos, MsgId)>,
    touched: BTreeSet<DestId>,
    due: BTreeSet<(Nanos, DestId)>,
    starved: BTreeSet<(Rank, DestId)>,
    turn: Option<DestId>,
}

impl Hold {
    pub fn put(&mut self, dest: DestId, lane: Lane, waiting: Waiting, deadline: Nanos) {
        let queue = self.dests.entry(dest).or_default().lanes.entry(lane).or_default();
        let place = queue.partition_point(|w| *w < waiting);
        queue.insert(place, waiting);
        self.deadlines.insert((deadline, waiting.id));
        self.touched.insert(dest);
    }

    pub fn take(&mut self, dest: DestId, lane: Lane, waiting: Waiting, deadline: Nanos) {
        self.deadlines.remove(&(deadline, waiting.id));
        let Some(here) = self.dests.get_mut(&dest) else { return };
        let Some(queue) = here.lanes.get_mut(&lane) else { return };
        let place = queue.partition_point(|w| *w < waiting);
        if queue.get(place) == Some(&waiting) {
            queue.remove(place);
        }
        if queue.is_empty() {
            here.lanes.remove(&lane);
        }
        if here.lanes.is_empty() {
            self.expect(dest, None, None);
            self.dests.remove(&dest);
        }
    }

    pub fn holds_for(&self, dest: DestId) -> bool {
        self.dests.contains_key(&dest)
    }

    /// The earliest deadline of all.
    pub fn first_deadline(&self) -> Option<Nanos> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// The earliest deadline of a destination's, without those that rest.
    pub fn first_deadline_for(&self, dest: DestId) -> Option<Nanos> {
        let awake = self.lanes(dest).filter(|(lane, _)| lane.turn != Turn::Resting);
        awake.filter_map(|(_, queue)| queue.front()).map(|w| w.due).min()
    }

    pub fn lanes(&self, dest: DestId) -> impl Iterator<Item = (&Lane, &VecDeque<Waiting>)> {
        self.dests.get(&dest).into_iter().flat_map(|d| &d.lanes)
    }

    pub fn lane(&self, dest: DestId, lane: &Lane) -> Option<&VecDeque<Waiting>> {
        self.dests.get(&dest)?.lanes.get(lane)
    }

    /// All lanes, of every destination.
    pub fn all(&self) -> impl Iterator<Item = (DestId, &Lane, &VecDeque<Waiting>)> {
        self.dests.iter().flat_map(|(dest, d)| d.lanes.iter().map(|(lane, queue)| (*dest, lane, queue)))
    }

    /// A destination's messages that have no more than so much time, once they may go.
    pub fn due_by(&self, dest: DestId, now: Nanos, left: Nanos) -> Vec<MsgId> {
        let due = |(lane, queue): (&Lane, &VecDeque<Waiting>)| {
            let latest = if lane.turn == Turn::Resting { left } else { now + left };
            queue.iter().take_while(|w| w.due <= latest).map(|w| w.id).collect::<Vec<_>>()
        };
        self.lanes(dest).flat_map(due).collect()
    }

    /// Has a message looked at again by itself at a time, or no more.
    pub fn set_alarm(&mut self, id: MsgId, old: Option<Nanos>, new: Option<Nanos>) {
        old.into_iter().for_each(|at| _ = self.alarms.remove(&(at, id)));
        self.alarms.extend(new.map(|at| (at, id)));
    }

    /// The messages whose time has come to be looked at.
    pub fn alarmed(&mut self, now: Nanos) -> Vec<MsgId> {
        let later = self.alarms.split_off(&(now + 1, MsgId(0)));
        std::mem::replace(&mut self.alarms, later).into_iter().map(|(_, id)| id).collect()
    }

    /// Something has happened to a destination.
    pub fn touch(&mut self, dest: DestId) {
        if self.dests.contains_key(&dest) {
            self.touched.insert(dest);
        }
    }

    /// Notes when a destination is to be visited next of itself, and how urgent its first message is if all that it
    /// lacks is a slot.
    pub fn expect(&mut self, dest: DestId, due: Option<Nanos>, starved: Option<Rank>) {
        let Some(here) = self.dests.get_mut(&dest) else { return };
        let old = (std::mem::replace(&mut here.due, due), std::mem::replace(&mut here.starved, starved));
        old.0.into_iter().for_each(|at| _ = self.due.remove(&(at, dest)));
        old.1.into_iter().for_each(|rank| _ = self.starved.remove(&(rank, dest)));
        self.due.extend(due.map(|at| (at, dest)));
        self.starved.extend(starved.map(|rank| (rank, dest)));
    }

    /// The destinations that a round looks at, given so many free slots.
    pub fn visits(&mut self, now: Nanos, free: usize) -> BTreeSet<DestId> {
        let mut visits = std::mem::take(&mut self.touched);
        visits.retain(|dest| self.dests.contains_key(dest));
        visits.extend(self.due.iter().take_while(|(at, _)| *at <= now).map(|(_, dest)| dest));
        visits.extend(self.starved.iter().take(free).map(|(_, dest)| dest));
        let after = self.turn.map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let turn = self.dests.range((after, std::ops::Bound::Unbounded)).chain(&self.dests);
        let turn: Vec<_> = turn.map(|(dest, _)| *dest).take(TURNS.min(self.dests.len())).collect();
        self.turn = turn.last().copied();
        visits.extend(turn);
        visits
    }
}

#[cfg(test)]
mod tests;
