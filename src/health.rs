//! Whether an endpoint is up, judging by its calls.
//!
//! This module derives [`Health`] from outcomes and silence. How slowly an endpoint is called that may be
//! cold is decided in [`crate::cold_return`], and which messages go where in [`crate::choice`].
use crate::choice::Dispatcher;
use crate::cold_return::{Recovery, ReturnKind};
use crate::interface::*;
use crate::state::*;
use std::collections::BTreeSet;

/// Weight of the latest outcome in an endpoint's failure average; two failures in a row exceed
/// OUTAGE_THRESHOLD.
pub(crate) const FAILURE_WEIGHT: f64 = 0.25;
/// Failure average above which an endpoint counts as in outage ("most calls fail", detected early).
const OUTAGE_THRESHOLD: f64 = 0.4;
/// A call in flight for this many mean latencies, plus SILENCE_TARGET_SHARE, counts as silent: this is beyond
/// an exponential tail.
const SILENCE_MEANS: f64 = 3.0;
/// Share of the shortest target latency that is added to the silence threshold, so that short stalls are not
/// outages.
const SILENCE_TARGET_SHARE: f64 = 0.3;
/// Two answers within this many `rules.overload_time`, with no failure but silence in between, end an outage
/// at once.
const CLOSE_ANSWERS: u64 = 2;

impl Dispatcher {
    /// Whether the unit has endpoints and all of them are unhealthy or suspect.
    pub(crate) fn all_unhealthy(&self, id: UnitId) -> bool {
        let mut ids = self.unit_endpoints(id).peekable();
        ids.peek().is_some() && ids.all(|e| self.is_suspect(e))
    }

    /// Whether an endpoint is not up, or another endpoint of its unit failed after this one last served a
    /// call: a suspicion is treated like a known outage.
    pub(crate) fn is_suspect(&self, peer: &Peer) -> bool {
        let sibling = |p: &Peer| p.health != Health::Up && peer.served_at < p.unhealthy_since;
        peer.health != Health::Up || self.unit_endpoints(peer.unit).any(sibling)
    }

    /// Age in seconds from which an unanswered call counts as silent; the shortest target latency if nothing
    /// was measured yet.
    pub(crate) fn silence_threshold(&self, id: UnitId) -> f64 {
        let target = secs(self.settings.classes.iter().map(|c| c.target_latency).min().unwrap_or(SECOND));
        let predictor = self.units.get(&id).map(|u| &u.predictor).filter(|p| p.min_latency.is_some());
        predictor.map_or(target, |p| SILENCE_MEANS * p.mean_latency + SILENCE_TARGET_SHARE * target)
    }

    /// Marks endpoints as down whose calls stay unanswered, before any time-out, and cancels the oldest of
    /// these calls beyond SILENT_SLOT_SHARE of the slots (exception 3). Guards against hangs, lost packets
    /// and long stalls of many destinations at once filling the slots.
    pub(crate) fn check_silent_calls(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let mut overdue = Vec::new();
        for unit in &self.active {
            let Some(calls) = self.units.get(unit).map(|u| &u.predictor.in_flight) else { continue };
            let silence = self.silence_threshold(*unit);
            for (sent, id) in calls.iter().take_while(|(sent, _)| secs(now - *sent) > silence) {
                let Some(message) = self.messages.get(id) else { continue };
                let Some(attempt) = message.in_flight.as_ref().filter(|attempt| attempt.sent == *sent) else {
                    continue;
                };
                let Some(peer) = self.peers.get(&attempt.endpoint) else { continue };
                overdue.push((
                    attempt.sent,
                    attempt.call,
                    *id,
                    attempt.endpoint,
                    attempt.sent > peer.served_at,
                    message.class,
                ));
            }
        }
        overdue.sort_unstable();
        // The messages of one call share one slot.
        let calls: BTreeSet<_> = overdue.iter().map(|o| (o.0, o.1)).collect();
        let kept = calls.iter().nth(calls.len().saturating_sub(self.silent_slots)).copied();
        for (sent, call, id, endpoint, silent, class) in overdue {
            self.avoid_for_class(now, endpoint, class);
            if silent {
                self.mark_down(now, endpoint, "silent", actions);
            }
            let attempt =
                self.messages.get_mut(&id).and_then(|m| m.in_flight.as_mut()).filter(|o| !o.cancel_requested);
            if let Some(attempt) = attempt.filter(|_| kept.is_none_or(|kept| (sent, call) < kept)) {
                attempt.cancel_requested = true;
                actions.push(Action::Cancel { msg: id, attempt: attempt.number });
            }
        }
    }

    /// Sends a class to other endpoints, if there are any, for the warm-up time after a call without an
    /// answer (exception 9). Guards against endpoints that leave only one class unanswered.
    pub(crate) fn avoid_for_class(&mut self, now: Nanos, id: EndpointId, class: usize) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.avoided_classes.insert(class, now + self.warm_up_time);
        }
    }

    pub(crate) fn mark_down(&mut self, now: Nanos, id: EndpointId, reason: &str, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if peer.health != Health::Down {
            actions.push(Action::Log { line: format!("endpoint {} down: {reason}", id.0) });
            // At a random time for each relay: a burst of messages during an outage makes one call of every
            // relay fail, and they must not return together.
            let first = peer.health == Health::Up;
            peer.health = Health::Down;
            let fraction = self.random.fraction();
            let next = now + self.first_trial_delay(now, &self.peers[&id], fraction);
            let Some(peer) = self.peers.get_mut(&id).filter(|_| first) else { return };
            (peer.unhealthy_since, peer.next_trial_at) = (now, next);
            // Most outages affect all endpoints, so endpoints of the same unit that served nothing recently
            // wait as well.
            let (unit, dest, overload_time) = (peer.unit, peer.entry.dest, self.overload_time);
            for sibling in self.by_dest.get(&dest).into_iter().flatten() {
                let sibling = self
                    .peers
                    .get_mut(sibling)
                    .filter(|p| p.unit == unit && p.served_at + overload_time < now);
                sibling.into_iter().for_each(|p| p.next_trial_at = p.next_trial_at.max(next));
            }
        }
    }

    /// Updates an endpoint's health with one outcome of a call or probe.
    pub(crate) fn update_health(
        &mut self,
        now: Nanos,
        id: EndpointId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(unit) = self.peers.get(&id).map(|peer| &self.units[&peer.unit]) else { return };
        let (is_scarce, exceeds_budget) = (unit.is_scarce(), self.relays_exceed_cold_budget(unit));
        let Some(peer) = self.peers.get_mut(&id) else { return };
        // An overload answer is caused by a rate limit while other calls are served there or calls are few.
        // Otherwise the endpoint rejects everything.
        let at_limit = is_scarce || now - peer.served_at < self.overload_time;
        match outcome {
            Outcome::Ok => return self.record_answer(now, id, actions),
            Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFault => return,
            Outcome::Overloaded { .. } if at_limit => return,
            _ => {}
        }
        peer.failure_average += (1.0 - peer.failure_average) * FAILURE_WEIGHT;
        peer.failed_at = if outcome == Outcome::Timeout { peer.failed_at } else { now };
        peer.connect_failed |= outcome == Outcome::ConnectFailed;
        // If relays have few calls, a second call of each to confirm the first failure would be too many.
        let one_failure_suffices = outcome == Outcome::ConnectFailed && exceeds_budget;
        if peer.failure_average > OUTAGE_THRESHOLD || peer.health != Health::Up || one_failure_suffices {
            self.mark_down(now, id, "failing", actions);
        }
    }

    /// Updates an endpoint's health with an answer. A single failure is cleared by the first answer, since
    /// lost answers and stalls are not outages. Otherwise two answers close together are needed, which a
    /// relay with few calls there seldom gets (design.md, 4).
    fn record_answer(&mut self, now: Nanos, id: EndpointId, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let close =
            now - peer.served_at < self.overload_time * CLOSE_ANSWERS && peer.failed_at <= peer.served_at;
        let conclusive = close || peer.failure_average <= FAILURE_WEIGHT;
        let answered_at = if close { peer.served_at } else { now };
        peer.failure_average -= peer.failure_average * FAILURE_WEIGHT;
        peer.served_at = now;
        match peer.health {
            Health::Up => peer.connect_failed = false,
            Health::Returning(_) => {}
            Health::Down => self.end_outage(now, id, Recovery { answered_at, conclusive }, actions),
        }
    }

    /// Ends the outage of an endpoint that answers again, once the answers are sufficient.
    fn end_outage(&mut self, now: Nanos, id: EndpointId, recovery: Recovery, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get(&id) else { return };
        if !recovery.conclusive
            && peer.failure_average > OUTAGE_THRESHOLD
            && !self.units[&peer.unit].is_scarce()
        {
            return;
        }
        match self.return_kind(now, peer, recovery.conclusive) {
            ReturnKind::Warm => {}
            ReturnKind::ColdDestination => self.begin_cold_return(now, id, recovery, actions),
            ReturnKind::SpacedEndpoint => return self.begin_spacing(now, id, actions),
        }
        self.peers.get_mut(&id).expect("the endpoint was looked up above").recover();
    }
}
