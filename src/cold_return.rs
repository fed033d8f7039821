//! Cold starts after an outage: which destinations had one, and how much they are sent while they warm up.
//!
//! This module derives from an outage's calls whether there was a cold start ([`ReturnKind`]), bounds the
//! rate afterwards ([`ColdReturn`]) and spaces calls to single endpoints that may be cold
//! ([`Dispatcher::cold_interval`]). A process was restarted if connections failed for longer than
//! `rules.overload_time`, or if the list shows a start. Lost answers, stalls and errors that two answers
//! close together end are not restarts. The settings say how a cold destination warms up (linearly, from
//! `cold_share` within `warm_up_time`) and what makes it fail under overload (`overload_factor` times its
//! capacity, for `overload_time`). Each relay keeps to an even share of that, so all relays together stay
//! within it whatever the destination answers. Which outcomes make an outage is decided in [`crate::health`].
use crate::choice::Dispatcher;
use crate::interface::*;
use crate::ramp::WarmUp;
use crate::state::*;

/// Share of the cold budget that is used; the rest allows for chance and for calls already in flight.
pub(crate) const COLD_BUDGET_SHARE: f64 = 0.8;

/// How an endpoint returns from an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReturnKind {
    /// It did not restart and has its full capacity.
    Warm,
    /// Only this endpoint of its destination may be cold, or its outage was short: its own calls are spaced.
    SpacedEndpoint,
    /// The whole destination may be cold: its rate is bounded.
    ColdDestination,
}

/// Bound on the rate of calls to a destination after a cold start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdReturn {
    /// When it is assumed to have started warming up.
    since: Nanos,
    /// When it is warm at the latest.
    until: Nanos,
    /// This relay's share of what the settings allow.
    budget: WarmUp,
}

impl ColdReturn {
    /// Maximum number of calls a second at this time.
    pub fn max_rate(&self, now: Nanos) -> f64 {
        self.budget.limit_at(now.saturating_sub(self.since))
    }

    /// When the destination is assumed to have started warming up.
    pub fn since(&self) -> Nanos {
        self.since
    }

    /// Whether the destination is warm.
    pub fn is_over(&self, now: Nanos) -> bool {
        now >= self.until
    }
}

/// Answers of an endpoint that was down.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Recovery {
    /// Time of the first answer if another one followed closely, otherwise of the last answer.
    pub answered_at: Nanos,
    /// Whether the answers alone would end an outage.
    pub conclusive: bool,
}

impl Dispatcher {
    /// How an endpoint that was down returns, judging by its outage.
    pub(crate) fn return_kind(&self, now: Nanos, peer: &Peer, conclusive: bool) -> ReturnKind {
        let lasted = now > peer.unhealthy_since + self.overload_time;
        let restarted = lasted && peer.connect_failed || peer.entry.started > peer.unhealthy_since;
        let served_throughout = |p: &Peer| {
            p.health == Health::Up
                && p.unhealthy_since <= peer.unhealthy_since
                && p.served_at > peer.unhealthy_since
        };
        let sibling_up =
            self.unit_endpoints(peer.unit).any(|p| p.entry.id != peer.entry.id && served_throughout(p));
        match (restarted, sibling_up) {
            (true, true) => ReturnKind::SpacedEndpoint,
            (true, false) => ReturnKind::ColdDestination,
            (false, _) if conclusive => ReturnKind::Warm,
            (false, true) => ReturnKind::Warm,
            (false, false) if lasted => ReturnKind::ColdDestination,
            (false, false) => ReturnKind::SpacedEndpoint,
        }
    }

    /// Bounds the rate of an endpoint's destination, unless the return of another endpoint from the same
    /// outage already did.
    pub(crate) fn begin_cold_return(
        &mut self,
        now: Nanos,
        id: EndpointId,
        recovery: Recovery,
        actions: &mut Vec<Action>,
    ) {
        let Peer { unit: unit_id, unhealthy_since: down_since, .. } = self.peers[&id];
        let unit = &self.units[&unit_id];
        if unit.cold_return.is_some_and(|bound| bound.until >= down_since + self.warm_up_time) {
            return;
        }
        let part = if unit.even_share.is_finite() { unit.even_share } else { self.demand(now, unit) };
        let budget = WarmUp {
            limit: self.cold_budget_factor() * part,
            share: self.cold_share(),
            time: self.warm_up_time,
        };
        let since = self.returned_at(&self.peers[&id], recovery.answered_at);
        let cold_return = Some(ColdReturn { since, until: recovery.answered_at + self.warm_up_time, budget });
        self.units.entry(unit_id).and_modify(|unit| {
            unit.cold_return = cold_return;
            // With few calls, the trial was this relay's share of the first calls.
            unit.tokens = if unit.is_scarce() { unit.tokens.min(0.0) } else { unit.tokens };
        });
        let line = format!("endpoint {} returning: its destination is paced until it is warm", id.0);
        actions.push(Action::Log { line });
    }

    /// When an endpoint returned that answered at `answered_at`. With few calls this was at some time between
    /// the last failure and the answer: half way on average. Silence has no failure time of its own, but the
    /// outage had begun by then.
    fn returned_at(&self, peer: &Peer, answered_at: Nanos) -> Nanos {
        let failed_at = peer.failed_at.max(peer.unhealthy_since);
        let unobserved =
            if self.units[&peer.unit].is_scarce() { answered_at.saturating_sub(failed_at) } else { 0 };
        answered_at - unobserved / 2
    }

    /// Spaces the calls to an endpoint while it warms up.
    pub(crate) fn begin_spacing(&mut self, now: Nanos, id: EndpointId, actions: &mut Vec<Action>) {
        let since = self.returned_at(&self.peers[&id], now);
        let Some(peer) = self.peers.get_mut(&id) else { return };
        peer.health = Health::Returning(since);
        let interval = self.cold_interval(now, &self.peers[&id]);
        let peer = self.peers.get_mut(&id).expect("the endpoint was looked up above");
        peer.next_trial_at = peer.next_trial_at.min(now + interval);
        actions.push(Action::Log { line: format!("endpoint {} returning", id.0) });
    }

    /// Whether one call of each relay at about the same time is more than a returning destination can take:
    /// more than the settings allow within `overload_time`, plus two standard deviations and two calls for
    /// chance. Anything that one relay does independently of the others is too much then if all relays do it.
    pub(crate) fn relays_exceed_cold_budget(&self, unit: &Unit) -> bool {
        let factor = self.settings.rules.overload_factor.unwrap_or(1.0);
        let listed = unit.even_share * self.relays;
        let allowed = factor * self.cold_share() * listed * secs(self.overload_time);
        unit.is_scarce() && self.relays > allowed + 2.0 * allowed.sqrt() + 2.0
    }

    /// Random delay of the first call after the start of an outage. Guards against relays that fail together
    /// returning together. If the relays exceed the cold budget, the range of the delay is not limited, and a
    /// relay first leaves the others the time in which a message of their own shows them the outage: until
    /// then they call at their usual rate.
    pub(crate) fn first_trial_delay(&self, now: Nanos, peer: &Peer, fraction: f64) -> Nanos {
        let interval = self.cold_interval(now, peer);
        let unit = &self.units[&peer.unit];
        if self.relays_exceed_cold_budget(unit) {
            let others_learn = nanos(1.0 / self.demand(now, unit).max(unit.even_share));
            return others_learn + nanos(secs(interval) * fraction);
        }
        nanos(secs(interval.min(self.warm_up_time)) * fraction)
    }

    /// Time between calls to an endpoint that may be cold: the budget in `rules`, increasing as it warms up,
    /// applied to this relay's own demand there. The demands of all relays add up to about the capacity of
    /// the destination, so their shares add up to the budget, however many relays there are and however
    /// uneven their load is.
    pub(crate) fn cold_interval(&self, now: Nanos, peer: &Peer) -> Nanos {
        let warmth = if let Health::Returning(since) = peer.health {
            secs(now - since) / secs(self.warm_up_time)
        } else {
            0.0
        };
        let unit = &self.units[&peer.unit];
        let count = self.unit_endpoints(peer.unit).count().max(1) as f64;
        let demand = self.demand(now, unit) / count;
        let demand = if unit.is_scarce() { demand.max(unit.even_share / count) } else { demand };
        let share = self.cold_share();
        let part = share + (1.0 - share) * warmth.min(1.0);
        nanos(1.0 / (self.cold_budget_factor() * part * demand))
    }

    /// Messages a second that arrive here for a destination; initially an even share of its listed rate.
    fn demand(&self, now: Nanos, unit: &Unit) -> f64 {
        let cold = secs(self.warm_up_time);
        let prior = if unit.even_share.is_finite() { unit.even_share } else { 0.0 };
        (unit.arrivals + prior * cold) / (secs(now - unit.known_since) + cold)
    }

    /// Share of its capacity that a returning destination has.
    fn cold_share(&self) -> f64 {
        self.settings.rules.cold_share.unwrap_or(0.1)
    }

    /// Maximum multiple of its capacity that is sent to a cold destination.
    fn cold_budget_factor(&self) -> f64 {
        COLD_BUDGET_SHARE * self.settings.rules.overload_factor.unwrap_or(1.0)
    }
}
