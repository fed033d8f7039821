//! Which destinations have full records, and how one begins that may be cold.
//!
//! Owns the way between the roster's compact records and the full ones that [`crate::choice`] decides on: made when a
//! message comes for a destination, handed back once it has had nothing to do for a while. It decides on no call.
use crate::base::{nanos, secs};
use crate::choice::{Dispatcher, FORGET, LEAST_RATE};
use crate::cold_return::COLD_PART;
use crate::interface::*;
use crate::ramp::{Ramp, Warming};
use crate::roster::Change;
use crate::state::{Health, Peer, Unit, UnitId};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// How much a courier keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordCounts {
    /// Endpoints listed.
    pub listed: usize,
    /// Of them, those with full records: a message came for their destination of late.
    pub full: usize,
    /// Destinations and routes at rest that left something behind.
    pub idle: usize,
    /// Destinations and routes that are paced because they may be cold.
    pub cold: usize,
}

impl Dispatcher {
    /// How much is kept just now.
    pub fn record_counts(&self) -> RecordCounts {
        let (listed, rests) = self.roster.sizes();
        let cold = self.units.values().filter(|u| u.ramp.is_some()).count();
        RecordCounts { listed, full: self.peers.len(), idle: rests, cold }
    }

    /// How many listed endpoints are left alone for their health, those that drain not counted.
    pub fn down_endpoints(&self) -> usize {
        let down = |p: &&Peer| p.entry.condition == Condition::Active && p.health == Health::Down;
        self.peers.values().filter(down).count() + self.roster.down()
    }

    /// Takes in an entry; costs the same however many there are.
    pub(crate) fn list_endpoint(&mut self, now: Nanos, entry: &Endpoint) {
        self.hold.touch(entry.dest);
        if entry.condition == Condition::Removed {
            self.roster.remove(entry.dest, entry.id);
            if let Some(peer) = self.peers.get_mut(&entry.id) {
                peer.entry.condition = Condition::Removed;
            }
            return;
        }
        let change = self.roster.put(now, entry);
        let new = change == Change::New;
        if let Some(peer) = self.peers.get_mut(&entry.id) {
            let restarted = self.settings.cold_after.is_some() && entry.started > peer.entry.started;
            peer.entry = Endpoint { started: entry.started.max(peer.entry.started), ..entry.clone() };
            if restarted {
                // It went down and came back without a call that could have told.
                (peer.health, peer.since, peer.served) = (Health::Returning(entry.started.min(now)), now, 0);
                let unit = peer.unit;
                self.begin_cold(now, unit);
            } else if change == Change::Back {
                // It was restarted while nothing went there: no failure has told that it is cold.
                (peer.health, peer.since, peer.bad, peer.next_trial) = (Health::Returning(now), now, 0.0, 0);
            }
        } else if self.by_dest.contains_key(&entry.dest) {
            let listed = self.roster.of(entry.dest).find(|e| e.id == entry.id);
            listed.into_iter().for_each(|entry| self.enlist(now, entry, new));
        } else if change == Change::Back {
            self.roster.returned(entry.id, now);
        }
    }

    /// Makes full records for a destination that a message comes for. One that has had nothing to do for long goes to
    /// rest first: where nothing came at all, there was no round to do it in.
    pub(crate) fn wake(&mut self, now: Nanos, dest: DestId, actions: &mut Vec<Action>) {
        if self.by_dest.get(&dest).is_some_and(|ids| self.may_rest(now, ids)) {
            self.rest_one(now, dest, actions);
        }
        if let Entry::Vacant(place) = self.by_dest.entry(dest) {
            place.insert(Vec::new());
            let entries: Vec<_> = self.roster.of(dest).collect();
            entries.into_iter().for_each(|entry| self.enlist(now, entry, false));
        }
    }

    /// Makes the full record of an endpoint, with what it left behind when it went to rest. What may be cold, as
    /// `cold_after` has it, is paced until it shows otherwise (exception 11).
    fn enlist(&mut self, now: Nanos, entry: Endpoint, came: bool) {
        let apart = self.settings.kinds.get(entry.kind.0).and_then(|k| k.separate_routes).unwrap_or(false);
        let id = if apart { UnitId::Route(entry.id) } else { UnitId::Dest(entry.dest) };
        let listed = entry.weight.filter(|w| self.settings.weights != Weights::Nothing && *w > 0.0);
        let lately = entry.started > 0 && entry.started + self.cold > now;
        let started = lately && self.settings.cold_after.is_some();
        let mut served = 0;
        if !self.units.contains_key(&id) {
            let mut unit = Unit::new(now, listed, self.couriers, LEAST_RATE);
            unit.known = self.roster.known(&entry);
            let rest = self.roster.wake(id);
            if let Some(rest) = rest {
                (unit.wait_until, unit.known, served) = (rest.wait_until, now, rest.served);
                (unit.pace, unit.cut, unit.proven) = (unit.pace.min(rest.pace), rest.cut, rest.proven);
            }
            let cold = |after| started || rest.is_none_or(|r| now >= r.used + after);
            if self.settings.cold_after.is_some_and(cold) {
                unit.ramp = Some(self.ramp(now, &unit));
                let lot = self.random.unit();
                let delay = self.first_call_delay(&unit, lot);
                unit.ramp.iter_mut().for_each(|ramp| ramp.begin_after(delay));
            }
            self.units.insert(id, unit);
        } else if came && self.settings.cold_after.is_some() {
            self.begin_cold(now, id);
        }
        let mut peer = Peer::new(entry, id);
        peer.served = served;
        if let Some(ill) = self.roster.wake_peer(peer.entry.id) {
            (peer.health, peer.since, peer.bad, peer.next_trial) =
                (ill.health, ill.since, ill.bad, ill.next_trial);
            peer.connect_failed = ill.connect_failed;
        } else if self.settings.cold_after.is_some() && (came || started) {
            (peer.health, peer.since) = (Health::Returning(now.min(peer.entry.started)), now);
        }
        self.by_dest.entry(peer.entry.dest).or_default().push(peer.entry.id);
        self.peers.insert(peer.entry.id, peer);
    }

    /// Starts over what was learned of a destination whose endpoints that served are all gone or started anew.
    fn begin_cold(&mut self, now: Nanos, id: UnitId) {
        if self.endpoints(id).any(|p| p.served > 0) {
            return;
        }
        let mut ramp = self.ramp(now, &self.units[&id]);
        let lot = self.random.unit();
        ramp.begin_after(self.first_call_delay(&self.units[&id], lot));
        let unit = self.units.get_mut(&id).expect("just seen");
        (unit.window, unit.tokens, unit.ramp) = (1.0, unit.tokens.min(1.0), Some(ramp));
    }

    /// The pace at which a cold destination begins: the cold share of its limit, as far as one is known, else of what
    /// it is known to have served. A limit that is known bounds the ramp as the partner warms.
    fn ramp(&self, now: Nanos, unit: &Unit) -> Ramp {
        let share = self.settings.rules.cold_share.unwrap_or(0.1);
        let limit =
            Some(unit.pace.min(unit.even)).filter(|known| known.is_finite()).map(|known| known * COLD_PART);
        let first =
            limit.unwrap_or((unit.proven * COLD_PART).max(LEAST_RATE / self.couriers / share)) * share;
        Ramp::new(now, first, limit.map(|limit| Warming { limit, share, time: self.cold }))
    }

    /// By lot, how long the first call to a cold destination is put off where all couriers' first calls at once would be
    /// more than the settings allow it: `fall_multiple` times what it takes within `fall`. Nothing for a lone courier.
    fn first_call_delay(&self, unit: &Unit, lot: f64) -> Nanos {
        let rules = &self.settings.rules;
        let allowed = rules.overload_factor.unwrap_or(1.0) * rules.cold_share.unwrap_or(0.1) * unit.even;
        // In this time each courier may have one call.
        let turn = nanos(1.0 / allowed.max(1e-9)).min(self.cold);
        let others = 1.0 - 1.0 / self.couriers;
        if unit.even.is_finite() && turn > self.fall { nanos(secs(turn) * others * lot) } else { 0 }
    }

    /// Whether a destination has had nothing to do for so long that a compact record of it will do.
    fn may_rest(&self, now: Nanos, ids: &[EndpointId]) -> bool {
        let after = FORGET.max(self.settings.idle_close.unwrap_or(0));
        let idle = |u: &Unit| u.held == 0 && u.calls == 0 && now > u.used + after;
        let mut peers = ids.iter().filter_map(|e| self.peers.get(e));
        peers.all(|p| p.calls == 0 && self.units.get(&p.unit).is_none_or(idle))
    }

    /// Hands what has had nothing to do for long back to the roster (docs/idle-destinations.md).
    pub(crate) fn rest(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let idle =
            self.by_dest.iter().filter(|(dest, ids)| !self.hold.holds_for(**dest) && self.may_rest(now, ids));
        for dest in idle.map(|(dest, _)| *dest).collect::<Vec<_>>() {
            self.rest_one(now, dest, actions);
        }
        self.roster.tidy(now, self.settings.cold_after);
    }

    fn rest_one(&mut self, now: Nanos, dest: DestId, actions: &mut Vec<Action>) {
        let mut units: BTreeMap<UnitId, Nanos> = BTreeMap::new();
        for peer in self.by_dest.remove(&dest).into_iter().flatten().filter_map(|e| self.peers.remove(&e)) {
            self.roster.rest_peer(&peer);
            let served = units.entry(peer.unit).or_default();
            *served = peer.served.max(*served);
            actions.push(Action::CloseIdle { endpoint: peer.entry.id });
        }
        for (id, served) in units {
            if let Some(unit) = self.units.remove(&id) {
                self.roster.rest(now, id, &unit, served, self.settings.cold_after);
            }
        }
    }
}
