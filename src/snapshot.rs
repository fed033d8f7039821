//! State handed from one dispatcher to the dispatcher of a successor process, and the slots reserved for the
//! predecessor's calls.
//!
//! Converts between full records and snapshots. Times in a snapshot are ages or remaining durations because
//! the two processes have different clocks. No decision about calls is made here. What a snapshot does not
//! contain is learned again: how long connections may be idle, and backoff after overload answers.
use crate::choice::Dispatcher;
use crate::interface::*;
use crate::state::{Health, SECOND, UnitId, nanos, secs};

/// Snapshot of a destination, or of a route where routes have limits of their own.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationSnapshot {
    /// The destination.
    pub dest: DestId,
    /// The route.
    pub route: Option<EndpointId>,
    /// Remaining time for which the destination asked not to be called.
    pub retry_after_left: Nanos,
    /// Maximum number of concurrent calls.
    pub window: f64,
    /// Calls a second; infinite if no limit was observed.
    pub rate: f64,
    /// Time since the rate was last reduced.
    pub rate_cut_ago: Option<Nanos>,
    /// Highest rate, in calls a second, that was served without a refusal.
    pub proven_rate: f64,
    /// Lowest latency in seconds, if one was measured.
    pub min_latency: Option<f64>,
    /// Latest latency in seconds.
    pub latest_latency: f64,
    /// Mean latency in seconds.
    pub mean_latency: f64,
    /// Time since the last answer.
    pub answered_ago: Nanos,
    /// Messages a second that arrived for it.
    pub demand: f64,
    /// Its endpoints.
    pub endpoints: Vec<EndpointSnapshot>,
}

/// Snapshot of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// The endpoint.
    pub id: EndpointId,
    /// Whether it is in outage.
    pub down: bool,
    /// Time since it answered again after an outage.
    pub returning_ago: Option<Nanos>,
    /// Time since it was last up.
    pub unhealthy_ago: Nanos,
    /// Moving average of its failures.
    pub failure_average: f64,
    /// Time until the next trial call.
    pub next_trial_in: Nanos,
    /// Time since it last served a call.
    pub served_ago: Option<Nanos>,
}

impl Dispatcher {
    /// Snapshots of all destinations and routes with full records.
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
                    // This dispatcher limits the rate of the destination; its successor spaces the calls to
                    // the endpoint.
                    Health::Up => unit.cold_return.map(|cold_return| ago(cold_return.since())),
                },
                unhealthy_ago: ago(peer.unhealthy_since),
                failure_average: peer.failure_average,
                next_trial_in: peer.next_trial_at.saturating_sub(now),
                served_ago: (peer.served_at > 0).then(|| ago(peer.served_at)),
            });
            dest.map(|dest| DestinationSnapshot {
                dest,
                route,
                retry_after_left: unit.blocked_until.saturating_sub(now),
                window: unit.window,
                rate: unit.rate,
                rate_cut_ago: (unit.rate_cut_at > 0).then(|| ago(unit.rate_cut_at)),
                proven_rate: unit.proven_rate,
                min_latency: unit.predictor.min_latency,
                latest_latency: unit.predictor.latest_latency,
                mean_latency: unit.predictor.mean_latency,
                answered_ago: ago(unit.predictor.answered_at),
                demand: unit.arrivals / secs(ago(unit.known_since).max(SECOND)),
                endpoints: peers.collect(),
            })
        });
        units.flatten().collect()
    }

    /// Restores a snapshot taken by another dispatcher, as far as its destination and endpoints are listed
    /// here.
    pub fn restore(&mut self, now: Nanos, snapshot: &DestinationSnapshot) {
        self.load_records(now, snapshot.dest, &mut Vec::new());
        let at = |ago: Nanos| now.saturating_sub(ago);
        let id = snapshot.route.map_or(UnitId::Dest(snapshot.dest), UnitId::Route);
        let Some(unit) = self.units.get_mut(&id) else { return };
        unit.window = snapshot.window.max(1.0);
        (unit.rate, unit.proven_rate) = (snapshot.rate, snapshot.proven_rate);
        unit.rate_cut_at = snapshot.rate_cut_ago.map_or(0, at);
        let predictor = &mut unit.predictor;
        (predictor.min_latency, predictor.latest_latency, predictor.mean_latency) =
            (snapshot.min_latency, snapshot.latest_latency, snapshot.mean_latency);
        predictor.answered_at = at(snapshot.answered_ago);
        // Counted as if it had arrived over a full warm-up time, so that it has weight against the share of a
        // listed rate.
        (unit.known_since, unit.arrivals) =
            (at(self.warm_up_time), snapshot.demand * secs(self.warm_up_time));
        for endpoint in &snapshot.endpoints {
            let Some(peer) = self.peers.get_mut(&endpoint.id) else { continue };
            peer.health = match endpoint.returning_ago {
                Some(ago) => Health::Returning(at(ago)),
                None if endpoint.down => Health::Down,
                None => Health::Up,
            };
            // The snapshot does not say how calls failed, so failed connections are assumed as the worst
            // case.
            (peer.unhealthy_since, peer.failure_average, peer.connect_failed) =
                (at(endpoint.unhealthy_ago), endpoint.failure_average, endpoint.down);
            (peer.next_trial_at, peer.served_at) =
                (now + endpoint.next_trial_in, endpoint.served_ago.map_or(0, at));
        }
        self.apply_retry_after(now, snapshot.dest, snapshot.route, snapshot.retry_after_left);
    }

    /// Applies a wait that the destination or route announced to another process.
    pub fn apply_retry_after(
        &mut self,
        now: Nanos,
        dest: DestId,
        route: Option<EndpointId>,
        remaining: Nanos,
    ) {
        self.load_records(now, dest, &mut Vec::new());
        let unit = self.units.get_mut(&route.map_or(UnitId::Dest(dest), UnitId::Route));
        unit.into_iter()
            .for_each(|unit| unit.blocked_until = unit.blocked_until.max(now + remaining.min(nanos(4000.0))));
    }

    /// Reserves this many slots for calls of another process; all other slots may be used here. The
    /// reservation has to be repeated after [`Dispatcher::apply_settings`].
    pub fn reserve_slots(&mut self, slots: usize) {
        let all = self.settings.slots.map_or(usize::MAX, |slots| slots as usize);
        self.slots = all.saturating_sub(slots);
    }
}
