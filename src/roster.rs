//! The list, held as compactly as it can be, and what destinations leave behind that are long unused.
//!
//! Owns a small record of every listed endpoint and of every destination that rests. It may not know of calls,
//! messages or time beyond what it is handed: [`crate::choice`] makes full records of what a message comes for,
//! and hands them back here once they have had nothing to do for a while.
use crate::interface::*;
use crate::state::{Health, Peer, Unit, UnitId};
use std::collections::{BTreeMap, BTreeSet};

/// A listed endpoint: 24 bytes, whatever its kind, so that 100,000 of them are a few megabytes.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Listed {
    /// Not a number where none is listed.
    weight: f64,
    /// The later of when it was first listed and when it last started; 0 is long ago.
    came: Nanos,
    zone: u16,
    kind: u16,
    condition: Condition,
}

/// What a resting destination or route leaves behind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rest {
    /// When it was last used.
    pub used: Nanos,
    /// When it last served.
    pub served: Nanos,
    /// End of the wait it told.
    pub wait_until: Nanos,
    /// The limit learned, in calls a second; infinite if none was felt.
    pub pace: f64,
    /// When that was last cut.
    pub cut: Nanos,
    /// The most calls a second that it served without refusing any.
    pub proven: f64,
}

/// What a resting endpoint leaves behind that was not up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Illness {
    pub health: Health,
    pub since: Nanos,
    pub bad: f64,
    pub next_trial: Nanos,
    pub connect_failed: bool,
}

/// What has become of an endpoint's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was not listed before.
    New,
    /// It was listed.
    Known,
    /// It drained, started anew, and is listed again.
    Back,
}

/// All that is listed, and what rests.
#[derive(Default)]
pub struct Roster {
    /// By destination first: a message asks for all of one.
    listed: BTreeMap<(DestId, EndpointId), Listed>,
    /// Looked through when there are twice as many as were left.
    rests: BTreeMap<UnitId, Rest>,
    rests_left: usize,
    ill: BTreeMap<EndpointId, Illness>,
    /// When the first list came.
    begun: Option<Nanos>,
}

fn came_back(old: &Listed, new: &Listed) -> bool {
    new.condition == Condition::Active && new.came > old.came
}

fn small(place: usize) -> u16 {
    // The last number stands for a zone or kind that the settings do not name.
    u16::try_from(place).unwrap_or(u16::MAX)
}

impl Roster {
    /// Takes in an entry that is listed, at `now`.
    pub fn put(&mut self, now: Nanos, entry: &Endpoint) -> Change {
        let first = *self.begun.get_or_insert(now) == now;
        let place = (entry.dest, entry.id);
        let known = self.listed.get(&place).copied();
        let old = known.map(|old| old.came);
        let listed = Listed {
            weight: entry.weight.unwrap_or(f64::NAN),
            came: old.unwrap_or(if first { 0 } else { now }).max(entry.started),
            zone: small(entry.zone.0),
            kind: small(entry.kind.0),
            condition: entry.condition,
        };
        self.listed.insert(place, listed);
        match known {
            None => Change::New,
            Some(old) if old.condition == Condition::Draining && came_back(&old, &listed) => Change::Back,
            Some(_) => Change::Known,
        }
    }

    /// Forgets an endpoint that has left, and its destination's rest with the last of them; but a wait that it told
    /// goes on for whoever comes in its place.
    pub fn remove(&mut self, dest: DestId, id: EndpointId) {
        if self.listed.remove(&(dest, id)).is_none() {
            return;
        }
        self.ill.remove(&id);
        self.rests.remove(&UnitId::Route(id));
        if self.of(dest).next().is_none() {
            let rest = self.rests.get_mut(&UnitId::Dest(dest));
            rest.into_iter().for_each(|r| (r.pace, r.used, r.proven) = (f64::INFINITY, 0, 0.0));
        }
    }

    /// Forgets all that `entries` does not name; tells what that was.
    pub fn keep_only(&mut self, entries: &[Endpoint]) -> Vec<EndpointId> {
        let stays = entries.iter().filter(|e| e.condition != Condition::Removed);
        let named: BTreeSet<_> = stays.map(|e| (e.dest, e.id)).collect();
        let gone: Vec<_> = self.listed.keys().filter(|place| !named.contains(place)).copied().collect();
        gone.iter().for_each(|(dest, id)| self.remove(*dest, *id));
        gone.into_iter().map(|(_, id)| id).collect()
    }

    /// The endpoints of a destination.
    pub fn of(&self, dest: DestId) -> impl Iterator<Item = Endpoint> {
        let range = self.listed.range((dest, EndpointId(0))..=(dest, EndpointId(u32::MAX)));
        range.map(move |((_, id), l)| Endpoint {
            id: *id,
            dest,
            zone: ZoneId(usize::from(l.zone)),
            kind: KindId(usize::from(l.kind)),
            condition: l.condition,
            weight: (!l.weight.is_nan()).then_some(l.weight),
            started: l.came,
        })
    }

    /// Since when a destination's demand is counted: the first list, or the endpoint's own coming.
    pub fn known(&self, entry: &Endpoint) -> Nanos {
        entry.started.max(self.begun.unwrap_or(0))
    }

    /// Puts a destination or route to rest. Kept is what matters on its return: a wait still running, the limit
    /// learned, when it was used and served. Dropped are its predictor (the design forgets after a minute), its
    /// window, its saved-up calls and its demand: all of them start over.
    pub fn rest(&mut self, now: Nanos, id: UnitId, unit: &Unit, served: Nanos, cold_after: Option<Nanos>) {
        let limited = unit.pace.is_finite() && unit.cut > 0;
        if limited || unit.wait_until > now || cold_after.is_some() {
            let pace = if limited { unit.pace } else { f64::INFINITY };
            let rest = Rest {
                used: unit.used,
                served,
                wait_until: unit.wait_until,
                pace,
                cut: unit.cut,
                proven: unit.proven,
            };
            self.rests.insert(id, rest);
        }
    }

    /// An endpoint at rest is back from a start of its own.
    pub fn returned(&mut self, id: EndpointId, now: Nanos) {
        let returning = Illness {
            health: Health::Returning(now),
            since: now,
            bad: 0.0,
            next_trial: 0,
            connect_failed: false,
        };
        self.ill.insert(id, returning);
    }

    /// Puts an endpoint to rest; only one that is not up leaves anything behind.
    pub fn rest_peer(&mut self, peer: &Peer) {
        if peer.health != Health::Up && self.listed.contains_key(&(peer.entry.dest, peer.entry.id)) {
            let Peer { health, since, bad, next_trial, connect_failed, .. } = *peer;
            self.ill.insert(peer.entry.id, Illness { health, since, bad, next_trial, connect_failed });
        }
    }

    /// What a destination or route left behind when it went to rest.
    pub fn wake(&mut self, id: UnitId) -> Option<Rest> {
        self.rests.remove(&id)
    }

    /// What an endpoint left behind.
    pub fn wake_peer(&mut self, id: EndpointId) -> Option<Illness> {
        self.ill.remove(&id)
    }

    /// How many endpoints at rest were down when they went there.
    pub fn down(&self) -> usize {
        self.ill.values().filter(|ill| ill.health == Health::Down).count()
    }

    /// Endpoints listed, and destinations and routes at rest that left something behind.
    pub fn sizes(&self) -> (usize, usize) {
        (self.listed.len(), self.rests.len())
    }

    /// Does [`Roster::prune`] now and then, so that its cost does not follow how many rest.
    pub fn tidy(&mut self, now: Nanos, cold_after: Option<Nanos>) {
        if self.rests.len() > 2 * self.rests_left + 64 {
            self.prune(now, cold_after);
            self.rests_left = self.rests.len();
        }
    }

    /// Forgets rests that say nothing any more: no limit, no wait, and nothing that bears on how a return begins.
    pub fn prune(&mut self, now: Nanos, cold_after: Option<Nanos>) {
        let bears = |r: &Rest| cold_after.is_some_and(|after| r.proven > 0.0 || now < r.used + after);
        self.rests.retain(|_, r| r.pace.is_finite() || r.wait_until > now || bears(r));
    }
}

#[cfg(test)]
mod tests;
