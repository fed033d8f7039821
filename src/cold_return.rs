//! Destinations that come back from an outage cold: which do, and how much one is sent while it warms up.
//!
//! Owns what an outage's calls tell of a cold start ([`Return`]), the bound on the pace afterwards
//! ([`ColdReturn`]) and the spacing of calls to single endpoints that may be cold ([`Dispatcher::cold_gap`]). A
//! process was gone where connections failed for longer than `rules.fall`, or where the list tells of a
//! start; lost answers, stalls and errors that two close answers end are no starts. The settings say how a
//! cold destination warms (evenly, from `cold_share` within `cold`) and what makes it fall over
//! (`fall_multiple` times what it takes, for `fall`). Each relay keeps to an even part of that: all of them
//! together stay within it, whatever the destination answers. Which outcomes make an outage is decided in
//! [`crate::health`].
use crate::choice::Dispatcher;
use crate::interface::*;
use crate::ramp::Warming;
use crate::state::*;

/// Part of the cold budget that is used; the rest is room for chance and for calls already under way.
pub(crate) const COLD_PART: f64 = 0.8;

/// How an endpoint comes back from an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Return {
    /// It was never gone: it takes what it took before.
    Warm,
    /// It alone of its destination may be cold, or its trouble was short: its own calls are spaced.
    SpacedEndpoint,
    /// The whole destination may be cold: the pace is bounded.
    ColdDestination,
}

/// Bound on the pace of calls to a destination that came back cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdReturn {
    /// When it is taken to have begun to warm.
    since: Nanos,
    /// When it is warm at the latest.
    until: Nanos,
    /// This relay's part of what the settings allow.
    budget: Warming,
}

impl ColdReturn {
    /// Most calls a second by then.
    pub fn rate(&self, now: Nanos) -> f64 {
        self.budget.most(now.saturating_sub(self.since))
    }

    /// When the destination is taken to have begun to warm.
    pub fn since(&self) -> Nanos {
        self.since
    }

    /// Whether the destination is warm.
    pub fn is_over(&self, now: Nanos) -> bool {
        now >= self.until
    }
}

/// When an endpoint that was down answered again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Recovery {
    /// The first answer, where another followed closely; else the last one.
    pub answered: Nanos,
    /// Its answers alone would end an outage.
    pub settled: bool,
}

impl Dispatcher {
    /// How an endpoint that was down comes back, as its outage tells.
    pub(crate) fn kind_of_return(&self, now: Nanos, peer: &Peer, settled: bool) -> Return {
        let long = now > peer.since + self.fall;
        let restarted = long && peer.connect_failed || peer.entry.started > peer.since;
        let served_throughout =
            |p: &Peer| p.health == Health::Up && p.since <= peer.since && p.served > peer.since;
        let sibling_up =
            self.endpoints(peer.unit).any(|p| p.entry.id != peer.entry.id && served_throughout(p));
        match (restarted, sibling_up) {
            (true, true) => Return::SpacedEndpoint,
            (true, false) => Return::ColdDestination,
            (false, _) if settled => Return::Warm,
            (false, true) => Return::Warm,
            (false, false) if long => Return::ColdDestination,
            (false, false) => Return::SpacedEndpoint,
        }
    }

    /// Bounds the pace of an endpoint's destination, unless another endpoint's return from the same outage
    /// has done so.
    pub(crate) fn begin_cold_return(
        &mut self,
        now: Nanos,
        id: EndpointId,
        recovery: Recovery,
        actions: &mut Vec<Action>,
    ) {
        let Peer { unit: unit_id, since: down_since, .. } = self.peers[&id];
        let unit = &self.units[&unit_id];
        if unit.cold_return.is_some_and(|bound| bound.until >= down_since + self.cold) {
            return;
        }
        let part = if unit.even.is_finite() { unit.even } else { self.demand(now, unit) };
        let budget =
            Warming { limit: self.cold_multiple() * part, share: self.cold_share(), time: self.cold };
        let since = self.back_since(&self.peers[&id], recovery.answered);
        let cold_return = Some(ColdReturn { since, until: recovery.answered + self.cold, budget });
        self.units.entry(unit_id).and_modify(|unit| {
            unit.cold_return = cold_return;
            // Where calls are few, the trial was this relay's part of the first ones.
            unit.tokens = if unit.scarce() { unit.tokens.min(0.0) } else { unit.tokens };
        });
        let line = format!("endpoint {} returning: its destination is paced until it is warm", id.0);
        actions.push(Action::Log { line });
    }

    /// When an endpoint came back that answered then. Where calls are few, that was between the last failure
    /// and the answer: in the mean half way. Silence is no failure with a time of its own, but the outage had
    /// begun by then.
    fn back_since(&self, peer: &Peer, answered: Nanos) -> Nanos {
        let failed = peer.refused.max(peer.since);
        let unseen = if self.units[&peer.unit].scarce() { answered.saturating_sub(failed) } else { 0 };
        answered - unseen / 2
    }

    /// Has an endpoint's calls spaced while it warms up.
    pub(crate) fn begin_spacing(&mut self, now: Nanos, id: EndpointId, actions: &mut Vec<Action>) {
        let since = self.back_since(&self.peers[&id], now);
        let Some(peer) = self.peers.get_mut(&id) else { return };
        peer.health = Health::Returning(since);
        let gap = self.cold_gap(now, &self.peers[&id]);
        let peer = self.peers.get_mut(&id).expect("just found");
        peer.next_trial = peer.next_trial.min(now + gap);
        actions.push(Action::Log { line: format!("endpoint {} returning", id.0) });
    }

    /// Whether one call of each courier at about the same time is more than a destination bears as it comes
    /// back: more than is allowed within `fall`, and two standard deviations and two calls over for chance.
    /// What one courier does on its own account is too much then if all do it.
    pub(crate) fn outnumbers_cold_budget(&self, unit: &Unit) -> bool {
        let multiple = self.settings.rules.overload_factor.unwrap_or(1.0);
        let listed = unit.even * self.couriers;
        let allowed = multiple * self.cold_share() * listed * secs(self.fall);
        unit.scarce() && self.couriers > allowed + 2.0 * allowed.sqrt() + 2.0
    }

    /// By lot, how long the first call after an outage's begin is put off. Guards against all couriers that
    /// fail together coming back together. Where they outnumber the budget the lots are never narrowed, and a
    /// courier first leaves the others the time in which a message of their own tells them of the outage:
    /// until then they call as ever.
    pub(crate) fn first_trial_delay(&self, now: Nanos, peer: &Peer, lot: f64) -> Nanos {
        let gap = self.cold_gap(now, peer);
        let unit = &self.units[&peer.unit];
        if self.outnumbers_cold_budget(unit) {
            let others_learn = nanos(1.0 / self.demand(now, unit).max(unit.even));
            return others_learn + nanos(secs(gap) * lot);
        }
        nanos(secs(gap.min(self.cold)) * lot)
    }

    /// Time between sends to an endpoint that may be cold: the budget in `rules`, growing as it warms, taken
    /// of this courier's own demand there. All demands add up to about what the destination takes, so the
    /// parts add up to the budget, however many and uneven couriers.
    pub(crate) fn cold_gap(&self, now: Nanos, peer: &Peer) -> Nanos {
        let warmth = if let Health::Returning(since) = peer.health {
            secs(now - since) / secs(self.cold)
        } else {
            0.0
        };
        let unit = &self.units[&peer.unit];
        let count = self.endpoints(peer.unit).count().max(1) as f64;
        let demand = self.demand(now, unit) / count;
        let demand = if unit.scarce() { demand.max(unit.even / count) } else { demand };
        let share = self.cold_share();
        let part = share + (1.0 - share) * warmth.min(1.0);
        nanos(1.0 / (self.cold_multiple() * part * demand))
    }

    /// Messages a second that come here for a destination, at first an even share of its listed rate.
    fn demand(&self, now: Nanos, unit: &Unit) -> f64 {
        let cold = secs(self.cold);
        let prior = if unit.even.is_finite() { unit.even } else { 0.0 };
        (unit.arrived + prior * cold) / (secs(now - unit.known) + cold)
    }

    /// Part of what it takes that a destination takes as it comes back.
    fn cold_share(&self) -> f64 {
        self.settings.rules.cold_share.unwrap_or(0.1)
    }

    /// How many times what it takes a cold destination is sent at most.
    fn cold_multiple(&self) -> f64 {
        COLD_PART * self.settings.rules.overload_factor.unwrap_or(1.0)
    }
}
