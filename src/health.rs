//! Whether an endpoint is up, as far as its calls tell.
//!
//! Owns the step from outcomes and silence to [`Health`]. How slowly one is called that may be cold is
//! decided in [`crate::cold_return`], which messages go where in [`crate::choice`].
use crate::choice::Dispatcher;
use crate::cold_return::{Recovery, Return};
use crate::interface::*;
use crate::state::*;
use std::collections::BTreeSet;

/// Weight of the newest outcome in an endpoint's failure average: two failures in a row pass ILL.
pub(crate) const BAD_STEP: f64 = 0.25;
/// Failure average from which an endpoint counts as in outage ("most calls fail", seen early).
const ILL: f64 = 0.4;
/// A call out for this many mean latencies, plus SILENT_AIM, is silence: beyond an exponential tail.
const SILENT_MEANS: f64 = 3.0;
/// Part of the tightest aim added to the silence threshold, so that short stalls are not outages.
const SILENT_AIM: f64 = 0.3;
/// Answers less than so many `rules.fall` apart, with no failure but silence between, end an outage at once.
const LAPSE: u64 = 2;

impl Dispatcher {
    /// Whether no endpoint of the unit is up.
    pub(crate) fn ailing(&self, id: UnitId) -> bool {
        let mut ids = self.endpoints(id).peekable();
        ids.peek().is_some() && ids.all(|e| self.suspect(e))
    }

    /// An endpoint not up, or one of a destination in which another failed after this one last served:
    /// a mere suspicion is treated as knowledge.
    pub(crate) fn suspect(&self, peer: &Peer) -> bool {
        let sibling = |p: &Peer| p.health != Health::Up && peer.served < p.since;
        peer.health != Health::Up || self.endpoints(peer.unit).any(sibling)
    }

    /// Age from which an unanswered call counts as silence; an aim where nothing is measured yet.
    pub(crate) fn silence(&self, id: UnitId) -> f64 {
        let aim = secs(self.settings.classes.iter().map(|c| c.target_latency).min().unwrap_or(SECOND));
        let predictor = self.units.get(&id).map(|u| &u.predictor).filter(|p| p.least.is_some());
        predictor.map_or(aim, |p| SILENT_MEANS * p.mean + SILENT_AIM * aim)
    }

    /// Takes an endpoint as down once its calls stay unanswered, before any time-out, and calls off the
    /// oldest such calls beyond LOST_SHARE of the slots (exception 3). Guards against hangs, silent drops
    /// and long stalls, at many destinations at once, filling the slots.
    pub(crate) fn watch_silence(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let mut overdue = Vec::new();
        for unit in &self.active {
            let Some(calls) = self.units.get(unit).map(|u| &u.predictor.out) else { continue };
            let silence = self.silence(*unit);
            for (sent, id) in calls.iter().take_while(|(sent, _)| secs(now - *sent) > silence) {
                let Some(message) = self.messages.get(id) else { continue };
                let Some(out) = message.out.as_ref().filter(|out| out.sent == *sent) else { continue };
                let Some(peer) = self.peers.get(&out.endpoint) else { continue };
                overdue.push((out.sent, out.call, *id, out.endpoint, out.sent > peer.served, message.class));
            }
        }
        overdue.sort_unstable();
        // Messages of one call hold one slot.
        let calls: BTreeSet<_> = overdue.iter().map(|o| (o.0, o.1)).collect();
        let kept = calls.iter().nth(calls.len().saturating_sub(self.lost_slots)).copied();
        for (sent, call, id, endpoint, silent, class) in overdue {
            self.shun(now, endpoint, class);
            if silent {
                self.mark_down(now, endpoint, "silent", actions);
            }
            let out = self.messages.get_mut(&id).and_then(|m| m.out.as_mut()).filter(|o| !o.called_off);
            if let Some(out) = out.filter(|_| kept.is_none_or(|kept| (sent, call) < kept)) {
                out.called_off = true;
                actions.push(Action::Cancel { msg: id, attempt: out.number });
            }
        }
    }

    /// Sends a class elsewhere for a cold start's time after a call without an answer, while another endpoint
    /// is there for it (exception 9). Guards against endpoints that leave one class alone unanswered.
    pub(crate) fn shun(&mut self, now: Nanos, id: EndpointId, class: usize) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.shun.insert(class, now + self.cold);
        }
    }

    pub(crate) fn mark_down(&mut self, now: Nanos, id: EndpointId, why: &str, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if peer.health != Health::Down {
            actions.push(Action::Log { line: format!("endpoint {} down: {why}", id.0) });
            // At a time of each courier's own: a clump in an outage has all fail once, to return together.
            let first = peer.health == Health::Up;
            peer.health = Health::Down;
            let lot = self.random.unit();
            let next = now + self.first_trial_delay(now, &self.peers[&id], lot);
            let Some(peer) = self.peers.get_mut(&id).filter(|_| first) else { return };
            (peer.since, peer.next_trial) = (now, next);
            // An outage mostly takes all endpoints: siblings that serve nothing just now wait as well.
            let (unit, dest, fall) = (peer.unit, peer.entry.dest, self.fall);
            for sibling in self.by_dest.get(&dest).into_iter().flatten() {
                let sibling = self.peers.get_mut(sibling).filter(|p| p.unit == unit && p.served + fall < now);
                sibling.into_iter().for_each(|p| p.next_trial = p.next_trial.max(next));
            }
        }
    }

    /// Feeds one outcome of a call or probe to the endpoint's health.
    pub(crate) fn judge(&mut self, now: Nanos, id: EndpointId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(unit) = self.peers.get(&id).map(|peer| &self.units[&peer.unit]) else { return };
        let (scarce, outnumbers) = (unit.scarce(), self.outnumbers_cold_budget(unit));
        let Some(peer) = self.peers.get_mut(&id) else { return };
        // A full answer is a limit's while others are served there or calls are few; else it is shut.
        let at_limit = scarce || now - peer.served < self.fall;
        match outcome {
            Outcome::Ok => return self.note_answer(now, id, actions),
            Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFault => return,
            Outcome::Overloaded { .. } if at_limit => return,
            _ => {}
        }
        peer.bad += (1.0 - peer.bad) * BAD_STEP;
        peer.refused = if outcome == Outcome::Timeout { peer.refused } else { now };
        peer.connect_failed |= outcome == Outcome::ConnectFailed;
        // Where couriers have few calls, each one's second to see whether the first was a chance is too many.
        let enough = outcome == Outcome::ConnectFailed && outnumbers;
        if peer.bad > ILL || peer.health != Health::Up || enough {
            self.mark_down(now, id, "failing", actions);
        }
    }

    /// Feeds an answer to the endpoint's health. A lone failure ends with the first one, since lost answers
    /// and stalls are no outages, else two close ones do; a courier with few calls there seldom has them
    /// (design.md, 4).
    fn note_answer(&mut self, now: Nanos, id: EndpointId, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let close = now - peer.served < self.fall * LAPSE && peer.refused <= peer.served;
        let settled = close || peer.bad <= BAD_STEP;
        let answered = if close { peer.served } else { now };
        peer.bad -= peer.bad * BAD_STEP;
        peer.served = now;
        match peer.health {
            Health::Up => peer.connect_failed = false,
            Health::Returning(_) => {}
            Health::Down => self.end_outage(now, id, Recovery { answered, settled }, actions),
        }
    }

    /// Takes up that an endpoint which was down answers again, once its answers are enough for that.
    fn end_outage(&mut self, now: Nanos, id: EndpointId, recovery: Recovery, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get(&id) else { return };
        if !recovery.settled && peer.bad > ILL && !self.units[&peer.unit].scarce() {
            return;
        }
        match self.kind_of_return(now, peer, recovery.settled) {
            Return::Warm => {}
            Return::ColdDestination => self.begin_cold_return(now, id, recovery, actions),
            Return::SpacedEndpoint => return self.begin_spacing(now, id, actions),
        }
        self.peers.get_mut(&id).expect("just found").recover();
    }
}
