//! What one courier tells another that takes its place, and the slots that are still its own.
//!
//! Owns the way between full records and plain facts, in which times are ages or spans left: the two have clocks of
//! their own. It decides on no call. What is not told is learned anew: how long connections keep, rests after refusals.
use crate::choice::Dispatcher;
use crate::interface::*;
use crate::state::{Health, SECOND, UnitId, nanos, secs};

/// What was learned of a destination, or of a route where routes are apart.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationSnapshot {
    /// The destination.
    pub dest: DestId,
    /// The route.
    pub route: Option<EndpointId>,
    /// How much of a told wait is left.
    pub retry_after_left: Nanos,
    /// Calls that may be out at once.
    pub window: f64,
    /// Calls a second; infinite where no limit was felt.
    pub rate: f64,
    /// When that was last cut.
    pub rate_cut_ago: Option<Nanos>,
    /// The most calls a second that it served without refusing any.
    pub proven_rate: f64,
    /// Least completion time in seconds, where there is one.
    pub min_latency: Option<f64>,
    /// The latest, and the mean.
    pub latest_latency: f64,
    /// The mean.
    pub mean_latency: f64,
    /// When it last answered.
    pub answered_ago: Nanos,
    /// Messages a second that came for it.
    pub demand: f64,
    /// Its endpoints.
    pub endpoints: Vec<EndpointSnapshot>,
}

/// What was learned of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// Which.
    pub id: EndpointId,
    /// It is in outage.
    pub down: bool,
    /// It answers again since then.
    pub returning_ago: Option<Nanos>,
    /// Since when it is not up.
    pub unhealthy_ago: Nanos,
    /// Average of its failures.
    pub failure_average: f64,
    /// Time to the next trial.
    pub next_trial_in: Nanos,
    /// When it last served.
    pub served_ago: Option<Nanos>,
}

impl Dispatcher {
    /// What was learned of all that is in use.
    pub fn snapshot(&self, now: Nanos) -> Vec<DestinationSnapshot> {
        let ago = |at: Nanos| now.saturating_sub(at);
        let units = self.units.iter().map(|(id, unit)| {
            let (dest, route) = match *id {
                UnitId::Dest(dest) => (Some(dest), None),
                UnitId::Route(route) => (self.peers.get(&route).map(|p| p.entry.dest), Some(route)),
            };
            let peers = self.peers.values().filter(|peer| peer.unit == *id).map(|peer| EndpointSnapshot {
                id: peer.entry.id,
                down: peer.health == Health::Down,
                returning_ago: match peer.health {
                    Health::Down => None,
                    Health::Returning(at) => Some(ago(at)),
                    // The next courier spaces its calls, where this one bounds its destination's pace.
                    Health::Up => unit.cold_return.map(|cold_return| ago(cold_return.since())),
                },
                unhealthy_ago: ago(peer.since),
                failure_average: peer.bad,
                next_trial_in: peer.next_trial.saturating_sub(now),
                served_ago: (peer.served > 0).then(|| ago(peer.served)),
            });
            dest.map(|dest| DestinationSnapshot {
                dest,
                route,
                retry_after_left: unit.wait_until.saturating_sub(now),
                window: unit.window,
                rate: unit.pace,
                rate_cut_ago: (unit.cut > 0).then(|| ago(unit.cut)),
                proven_rate: unit.proven,
                min_latency: unit.predictor.least,
                latest_latency: unit.predictor.recent,
                mean_latency: unit.predictor.mean,
                answered_ago: ago(unit.predictor.answered),
                demand: unit.arrived / secs(ago(unit.known).max(SECOND)),
                endpoints: peers.collect(),
            })
        });
        units.flatten().collect()
    }

    /// Takes up what another courier learned, of what is listed here.
    pub fn restore(&mut self, now: Nanos, learned: &DestinationSnapshot) {
        self.wake(now, learned.dest, &mut Vec::new());
        let at = |ago: Nanos| now.saturating_sub(ago);
        let id = learned.route.map_or(UnitId::Dest(learned.dest), UnitId::Route);
        let Some(unit) = self.units.get_mut(&id) else { return };
        unit.window = learned.window.max(1.0);
        (unit.pace, unit.proven) = (learned.rate, learned.proven_rate);
        unit.cut = learned.rate_cut_ago.map_or(0, at);
        let predictor = &mut unit.predictor;
        (predictor.least, predictor.recent, predictor.mean) =
            (learned.min_latency, learned.latest_latency, learned.mean_latency);
        predictor.answered = at(learned.answered_ago);
        // As if it had come for as long as a cold start lasts, so that it weighs against a share of a listed rate.
        (unit.known, unit.arrived) = (at(self.cold), learned.demand * secs(self.cold));
        for told in &learned.endpoints {
            let Some(peer) = self.peers.get_mut(&told.id) else { continue };
            peer.health = match told.returning_ago {
                Some(ago) => Health::Returning(at(ago)),
                None if told.down => Health::Down,
                None => Health::Up,
            };
            // How its calls failed is not told, so the worst is assumed.
            (peer.since, peer.bad, peer.connect_failed) =
                (at(told.unhealthy_ago), told.failure_average, told.down);
            (peer.next_trial, peer.served) = (now + told.next_trial_in, told.served_ago.map_or(0, at));
        }
        self.apply_retry_after(now, learned.dest, learned.route, learned.retry_after_left);
    }

    /// A wait that somebody else was told.
    pub fn apply_retry_after(&mut self, now: Nanos, dest: DestId, route: Option<EndpointId>, left: Nanos) {
        self.wake(now, dest, &mut Vec::new());
        let unit = self.units.get_mut(&route.map_or(UnitId::Dest(dest), UnitId::Route));
        unit.into_iter()
            .for_each(|unit| unit.wait_until = unit.wait_until.max(now + left.min(nanos(4000.0))));
    }

    /// So many of the slots are taken by calls that are not this courier's; all others are its own again. To be said
    /// anew after settings were taken up.
    pub fn reserve_slots(&mut self, slots: usize) {
        let all = self.settings.slots.map_or(usize::MAX, |slots| slots as usize);
        self.slots = all.saturating_sub(slots);
    }
}
