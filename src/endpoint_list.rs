//! The list of endpoints in a compact form, and what remains of destinations that have been idle for long.
//!
//! This module keeps a small record of every listed endpoint and of every idle destination. It does not
//! handle calls, messages or time beyond what it is passed: [`crate::choice`] creates full records for
//! destinations that messages arrive for, and returns them here after they were idle for a while.
use crate::interface::*;
use crate::state::{Health, Peer, Unit, UnitId};
use std::collections::{BTreeMap, BTreeSet};

/// A listed endpoint: 24 bytes, whatever its kind, so that 100,000 of them take a few megabytes.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ListedEndpoint {
    /// NaN if no weight is listed.
    weight: f64,
    /// The later of when it was first listed and when it last started; 0 means long ago.
    started_or_listed: Nanos,
    zone: u16,
    kind: u16,
    condition: Condition,
}

/// What is kept of an idle destination or route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleUnit {
    /// When it was last used.
    pub used_at: Nanos,
    /// When it last served a call.
    pub served_at: Nanos,
    /// End of the wait that it announced.
    pub blocked_until: Nanos,
    /// The learned limit, in calls a second; infinite if none was observed.
    pub rate: f64,
    /// When that was last reduced.
    pub rate_cut_at: Nanos,
    /// Highest rate, in calls a second, that it served without a refusal.
    pub proven_rate: f64,
}

/// What is kept of an idle endpoint that was not up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnhealthyRecord {
    pub health: Health,
    pub unhealthy_since: Nanos,
    pub failure_average: f64,
    pub next_trial_at: Nanos,
    pub connect_failed: bool,
}

/// How an entry changed an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was not listed before.
    New,
    /// It was already listed.
    Known,
    /// It drained, restarted, and is listed as active again.
    Restarted,
}

/// All listed endpoints and idle records.
#[derive(Default)]
pub struct EndpointList {
    /// Ordered by destination first, because a message needs all endpoints of one destination.
    listed: BTreeMap<(DestId, EndpointId), ListedEndpoint>,
    /// Pruned when there are more than twice as many as the last pruning left.
    idle: BTreeMap<UnitId, IdleUnit>,
    idle_after_prune: usize,
    unhealthy: BTreeMap<EndpointId, UnhealthyRecord>,
    /// When the first list arrived.
    first_list_at: Option<Nanos>,
}

fn has_restarted(old: &ListedEndpoint, new: &ListedEndpoint) -> bool {
    new.condition == Condition::Active && new.started_or_listed > old.started_or_listed
}

fn compact_index(place: usize) -> u16 {
    // The maximum stands for a zone or kind that the settings do not contain.
    u16::try_from(place).unwrap_or(u16::MAX)
}

impl EndpointList {
    /// Adds or updates a listed entry at `now`.
    pub fn upsert(&mut self, now: Nanos, entry: &Endpoint) -> Change {
        let first = *self.first_list_at.get_or_insert(now) == now;
        let place = (entry.dest, entry.id);
        let known = self.listed.get(&place).copied();
        let old = known.map(|old| old.started_or_listed);
        let listed = ListedEndpoint {
            weight: entry.weight.unwrap_or(f64::NAN),
            started_or_listed: old.unwrap_or(if first { 0 } else { now }).max(entry.started),
            zone: compact_index(entry.zone.0),
            kind: compact_index(entry.kind.0),
            condition: entry.condition,
        };
        self.listed.insert(place, listed);
        match known {
            None => Change::New,
            Some(old) if old.condition == Condition::Draining && has_restarted(&old, &listed) => {
                Change::Restarted
            }
            Some(_) => Change::Known,
        }
    }

    /// Removes an endpoint that is no longer listed, and with the last one what was learned of its
    /// destination. A wait that the destination announced stays valid for endpoints that replace it.
    pub fn remove(&mut self, dest: DestId, id: EndpointId) {
        if self.listed.remove(&(dest, id)).is_none() {
            return;
        }
        self.unhealthy.remove(&id);
        self.idle.remove(&UnitId::Route(id));
        if self.endpoints_of(dest).next().is_none() {
            let idle = self.idle.get_mut(&UnitId::Dest(dest));
            idle.into_iter().for_each(|r| (r.rate, r.used_at, r.proven_rate) = (f64::INFINITY, 0, 0.0));
        }
    }

    /// Removes all endpoints that `entries` does not contain, and returns them.
    pub fn retain_only(&mut self, entries: &[Endpoint]) -> Vec<EndpointId> {
        let remaining = entries.iter().filter(|e| e.condition != Condition::Removed);
        let named: BTreeSet<_> = remaining.map(|e| (e.dest, e.id)).collect();
        let gone: Vec<_> = self.listed.keys().filter(|place| !named.contains(place)).copied().collect();
        gone.iter().for_each(|(dest, id)| self.remove(*dest, *id));
        gone.into_iter().map(|(_, id)| id).collect()
    }

    /// The endpoints of a destination.
    pub fn endpoints_of(&self, dest: DestId) -> impl Iterator<Item = Endpoint> {
        let range = self.listed.range((dest, EndpointId(0))..=(dest, EndpointId(u32::MAX)));
        range.map(move |((_, id), l)| Endpoint {
            id: *id,
            dest,
            zone: ZoneId(usize::from(l.zone)),
            kind: KindId(usize::from(l.kind)),
            condition: l.condition,
            weight: (!l.weight.is_nan()).then_some(l.weight),
            started: l.started_or_listed,
        })
    }

    /// Since when a destination's demand is counted: the first list, or the endpoint's own start.
    pub fn known_since(&self, entry: &Endpoint) -> Nanos {
        entry.started.max(self.first_list_at.unwrap_or(0))
    }

    /// Stores the compact record of an idle destination or route. Kept is what matters when it is used again:
    /// a wait that has not ended, the learned limit, and when it was used and served. Dropped are the
    /// predictor (the design forgets after a minute), the window, accumulated calls and the demand, all of
    /// which start over.
    pub fn store_idle(
        &mut self,
        now: Nanos,
        id: UnitId,
        unit: &Unit,
        served_at: Nanos,
        cold_after: Option<Nanos>,
    ) {
        let limited = unit.rate.is_finite() && unit.rate_cut_at > 0;
        if limited || unit.blocked_until > now || cold_after.is_some() {
            let rate = if limited { unit.rate } else { f64::INFINITY };
            let idle = IdleUnit {
                used_at: unit.used_at,
                served_at,
                blocked_until: unit.blocked_until,
                rate,
                rate_cut_at: unit.rate_cut_at,
                proven_rate: unit.proven_rate,
            };
            self.idle.insert(id, idle);
        }
    }

    /// Marks an idle endpoint as returning after a restart.
    pub fn mark_restarted(&mut self, id: EndpointId, now: Nanos) {
        let returning = UnhealthyRecord {
            health: Health::Returning(now),
            unhealthy_since: now,
            failure_average: 0.0,
            next_trial_at: 0,
            connect_failed: false,
        };
        self.unhealthy.insert(id, returning);
    }

    /// Stores the compact record of an idle endpoint if it is not up.
    pub fn store_unhealthy(&mut self, peer: &Peer) {
        if peer.health != Health::Up && self.listed.contains_key(&(peer.entry.dest, peer.entry.id)) {
            let Peer { health, unhealthy_since, failure_average, next_trial_at, connect_failed, .. } = *peer;
            self.unhealthy.insert(
                peer.entry.id,
                UnhealthyRecord { health, unhealthy_since, failure_average, next_trial_at, connect_failed },
            );
        }
    }

    /// Removes and returns the compact record of a destination or route.
    pub fn take_idle(&mut self, id: UnitId) -> Option<IdleUnit> {
        self.idle.remove(&id)
    }

    /// Removes and returns the compact record of an endpoint.
    pub fn take_unhealthy(&mut self, id: EndpointId) -> Option<UnhealthyRecord> {
        self.unhealthy.remove(&id)
    }

    /// Number of idle endpoints that are down.
    pub fn down_count(&self) -> usize {
        self.unhealthy.values().filter(|record| record.health == Health::Down).count()
    }

    /// Number of listed endpoints, and of idle destinations and routes with a compact record.
    pub fn sizes(&self) -> (usize, usize) {
        (self.listed.len(), self.idle.len())
    }

    /// Runs [`EndpointList::prune`] when the number of records has grown enough, so that its cost is
    /// amortised.
    pub fn prune_if_grown(&mut self, now: Nanos, cold_after: Option<Nanos>) {
        if self.idle.len() > 2 * self.idle_after_prune + 64 {
            self.prune(now, cold_after);
            self.idle_after_prune = self.idle.len();
        }
    }

    /// Removes idle records without information: no limit, no wait, and nothing that affects the next start.
    pub fn prune(&mut self, now: Nanos, cold_after: Option<Nanos>) {
        let is_relevant =
            |r: &IdleUnit| cold_after.is_some_and(|after| r.proven_rate > 0.0 || now < r.used_at + after);
        self.idle.retain(|_, r| r.rate.is_finite() || r.blocked_until > now || is_relevant(r));
    }
}

#[cfg(test)]
mod tests;
