//! Which destinations have full records, and how a destination that may be cold is started.
//!
//! Converts between the compact records of the endpoint list and the full records that [`crate::choice`]
//! works on: full records are created when a message arrives for a destination and compacted again after it
//! was idle for a while. No decision about calls is made here.
use crate::choice::{Dispatcher, IDLE_AFTER, MIN_RATE};
use crate::cold_return::COLD_BUDGET_SHARE;
use crate::endpoint_list::Change;
use crate::interface::*;
use crate::primitives::{nanos, secs};
use crate::ramp::{Ramp, WarmUp};
use crate::state::{Health, Peer, Unit, UnitId};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// Number of records kept by a dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordCounts {
    /// Endpoints listed.
    pub listed: usize,
    /// Listed endpoints with full records, because a message recently arrived for their destination.
    pub full: usize,
    /// Idle destinations and routes with a compact record.
    pub idle: usize,
    /// Destinations and routes whose rate is limited because they may be cold.
    pub cold: usize,
}

impl Dispatcher {
    /// Current number of records.
    pub fn record_counts(&self) -> RecordCounts {
        let (listed, idle) = self.list.sizes();
        let cold = self.units.values().filter(|u| u.ramp.is_some()).count();
        RecordCounts { listed, full: self.peers.len(), idle, cold }
    }

    /// Number of listed endpoints, not counting draining ones, that are avoided because of their health.
    pub fn down_endpoints(&self) -> usize {
        let down = |p: &&Peer| p.entry.condition == Condition::Active && p.health == Health::Down;
        self.peers.values().filter(down).count() + self.list.down_count()
    }

    /// Applies one entry of the list. The cost does not depend on the number of entries.
    pub(crate) fn apply_list_entry(&mut self, now: Nanos, entry: &Endpoint) {
        self.queue.mark_changed(entry.dest);
        if entry.condition == Condition::Removed {
            self.list.remove(entry.dest, entry.id);
            if let Some(peer) = self.peers.get_mut(&entry.id) {
                peer.entry.condition = Condition::Removed;
            }
            return;
        }
        let change = self.list.upsert(now, entry);
        let new = change == Change::New;
        if let Some(peer) = self.peers.get_mut(&entry.id) {
            let restarted = self.settings.cold_after.is_some() && entry.started > peer.entry.started;
            peer.entry = Endpoint { started: entry.started.max(peer.entry.started), ..entry.clone() };
            if restarted {
                // It restarted without any call that could have shown it.
                (peer.health, peer.unhealthy_since, peer.served_at) =
                    (Health::Returning(entry.started.min(now)), now, 0);
                let unit = peer.unit;
                self.restart_cold(now, unit);
            } else if change == Change::Restarted {
                // It restarted while no calls were sent to it, so no failure has shown that it is cold.
                (peer.health, peer.unhealthy_since, peer.failure_average, peer.next_trial_at) =
                    (Health::Returning(now), now, 0.0, 0);
            }
        } else if self.by_dest.contains_key(&entry.dest) {
            let listed = self.list.endpoints_of(entry.dest).find(|e| e.id == entry.id);
            listed.into_iter().for_each(|entry| self.create_record(now, entry, new));
        } else if change == Change::Restarted {
            self.list.mark_restarted(entry.id, now);
        }
    }

    /// Ensures that a destination has full records when a message arrives for it. Records of a destination
    /// that was idle for long are compacted first: with no arrivals at all there was no round to do that in.
    pub(crate) fn load_records(&mut self, now: Nanos, dest: DestId, actions: &mut Vec<Action>) {
        if self.by_dest.get(&dest).is_some_and(|ids| self.may_compact(now, ids)) {
            self.compact(now, dest, actions);
        }
        if let Entry::Vacant(place) = self.by_dest.entry(dest) {
            place.insert(Vec::new());
            let entries: Vec<_> = self.list.endpoints_of(dest).collect();
            entries.into_iter().for_each(|entry| self.create_record(now, entry, false));
        }
    }

    /// Creates the full record of an endpoint from its compact record. What may be cold according to
    /// `cold_after` has its rate limited until its answers show otherwise (exception 11).
    fn create_record(&mut self, now: Nanos, entry: Endpoint, is_new: bool) {
        let separate = self.settings.kinds.get(entry.kind.0).and_then(|k| k.separate_routes).unwrap_or(false);
        let id = if separate { UnitId::Route(entry.id) } else { UnitId::Dest(entry.dest) };
        let listed_rate = entry.weight.filter(|w| self.settings.weights != Weights::Nothing && *w > 0.0);
        let recent = entry.started > 0 && entry.started + self.warm_up_time > now;
        let recently_started = recent && self.settings.cold_after.is_some();
        let mut served = 0;
        if !self.units.contains_key(&id) {
            let mut unit = Unit::new(now, listed_rate, self.relays, MIN_RATE);
            unit.known_since = self.list.known_since(&entry);
            let idle = self.list.take_idle(id);
            if let Some(idle) = idle {
                (unit.blocked_until, unit.known_since, served) = (idle.blocked_until, now, idle.served_at);
                (unit.rate, unit.rate_cut_at, unit.proven_rate) =
                    (unit.rate.min(idle.rate), idle.rate_cut_at, idle.proven_rate);
            }
            let cold = |after| recently_started || idle.is_none_or(|r| now >= r.used_at + after);
            if self.settings.cold_after.is_some_and(cold) {
                unit.ramp = Some(self.initial_ramp(now, &unit));
                let fraction = self.random.fraction();
                let delay = self.first_call_delay(&unit, fraction);
                unit.ramp.iter_mut().for_each(|ramp| ramp.delay_first_call(delay));
            }
            self.units.insert(id, unit);
        } else if is_new && self.settings.cold_after.is_some() {
            self.restart_cold(now, id);
        }
        let mut peer = Peer::new(entry, id);
        peer.served_at = served;
        if let Some(unhealthy) = self.list.take_unhealthy(peer.entry.id) {
            (peer.health, peer.unhealthy_since, peer.failure_average, peer.next_trial_at) = (
                unhealthy.health,
                unhealthy.unhealthy_since,
                unhealthy.failure_average,
                unhealthy.next_trial_at,
            );
            peer.connect_failed = unhealthy.connect_failed;
        } else if self.settings.cold_after.is_some() && (is_new || recently_started) {
            (peer.health, peer.unhealthy_since) = (Health::Returning(now.min(peer.entry.started)), now);
        }
        self.by_dest.entry(peer.entry.dest).or_default().push(peer.entry.id);
        self.peers.insert(peer.entry.id, peer);
    }

    /// Discards what was learned of a destination if all endpoints that served calls are gone or have
    /// restarted.
    fn restart_cold(&mut self, now: Nanos, id: UnitId) {
        if self.unit_endpoints(id).any(|p| p.served_at > 0) {
            return;
        }
        let mut ramp = self.initial_ramp(now, &self.units[&id]);
        let fraction = self.random.fraction();
        ramp.delay_first_call(self.first_call_delay(&self.units[&id], fraction));
        let unit = self.units.get_mut(&id).expect("the unit was looked up above");
        (unit.window, unit.tokens, unit.ramp) = (1.0, unit.tokens.min(1.0), Some(ramp));
    }

    /// The ramp for a cold destination. It starts at the cold share of the destination's limit if that is
    /// known, otherwise of the rate that it is known to have served. A known limit also bounds the ramp
    /// during the warm-up.
    fn initial_ramp(&self, now: Nanos, unit: &Unit) -> Ramp {
        let share = self.settings.rules.cold_share.unwrap_or(0.1);
        let limit = Some(unit.rate.min(unit.even_share))
            .filter(|known| known.is_finite())
            .map(|known| known * COLD_BUDGET_SHARE);
        let first = limit
            .unwrap_or((unit.proven_rate * COLD_BUDGET_SHARE).max(MIN_RATE / self.relays / share))
            * share;
        Ramp::new(now, first, limit.map(|limit| WarmUp { limit, share, time: self.warm_up_time }))
    }

    /// Random delay of the first call to a cold destination, used if the first calls of all relays at once
    /// would exceed what the settings allow: `overload_factor` times its capacity within `overload_time`.
    /// Zero for a single relay.
    fn first_call_delay(&self, unit: &Unit, fraction: f64) -> Nanos {
        let rules = &self.settings.rules;
        let allowed =
            rules.overload_factor.unwrap_or(1.0) * rules.cold_share.unwrap_or(0.1) * unit.even_share;
        // Within this time each relay may send one call.
        let interval = nanos(1.0 / allowed.max(1e-9)).min(self.warm_up_time);
        let others = 1.0 - 1.0 / self.relays;
        if unit.even_share.is_finite() && interval > self.overload_time {
            nanos(secs(interval) * others * fraction)
        } else {
            0
        }
    }

    /// Whether a destination has been idle for so long that a compact record is sufficient.
    fn may_compact(&self, now: Nanos, ids: &[EndpointId]) -> bool {
        let after = IDLE_AFTER.max(self.settings.idle_close.unwrap_or(0));
        let idle = |u: &Unit| u.queued == 0 && u.calls == 0 && now > u.used_at + after;
        let mut peers = ids.iter().filter_map(|e| self.peers.get(e));
        peers.all(|p| p.calls == 0 && self.units.get(&p.unit).is_none_or(idle))
    }

    /// Compacts the records of destinations that have been idle for long (docs/idle-destinations.md).
    pub(crate) fn compact_idle(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let idle = self
            .by_dest
            .iter()
            .filter(|(dest, ids)| !self.queue.has_messages_for(**dest) && self.may_compact(now, ids));
        for dest in idle.map(|(dest, _)| *dest).collect::<Vec<_>>() {
            self.compact(now, dest, actions);
        }
        self.list.prune_if_grown(now, self.settings.cold_after);
    }

    fn compact(&mut self, now: Nanos, dest: DestId, actions: &mut Vec<Action>) {
        let mut units: BTreeMap<UnitId, Nanos> = BTreeMap::new();
        for peer in self.by_dest.remove(&dest).into_iter().flatten().filter_map(|e| self.peers.remove(&e)) {
            self.list.store_unhealthy(&peer);
            let served = units.entry(peer.unit).or_default();
            *served = peer.served_at.max(*served);
            actions.push(Action::CloseIdle { endpoint: peer.entry.id });
        }
        for (id, served) in units {
            if let Some(unit) = self.units.remove(&id) {
                self.list.store_idle(now, id, &unit, served, self.settings.cold_after);
            }
        }
    }
}
