//! The decisions of a relay: admission, scheduling of attempts and what is learned from their results. The
//! types of settings, events and actions are in `src/interface.rs`.
use crate::discovery_schedule::{DiscoverySchedule, POLL_NONCE};
use crate::endpoint_list::EndpointList;
use crate::health::FAILURE_WEIGHT;
use crate::interface::*;
use crate::queue::{MessageQueue, Rank, Readiness};
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Factor of the idle state (state 1). Above 1 the predictor diverges, below 1 it decays to zero (report,
/// 7.3).
const IDLE_FACTOR: f64 = 1.0;
/// Factor of the state with calls in flight (state 2); the report finds 0.5 to 1.0 best (7.4).
const IN_FLIGHT_FACTOR: f64 = 0.75;
/// Factor of the state after a recent answer (state 3); 1 is the report's optimum (7.5.3).
const RECENT_FACTOR: f64 = 1.0;
/// How long an answer counts as recent, in multiples of R·L; slightly above 1 (report, 7.5.5).
const RECENT_SPAN: f64 = 1.1;
/// Time without use after which what was learned of a destination is dropped (design page: a minute).
pub(crate) const IDLE_AFTER: Nanos = 60 * SECOND;
/// Maximum share of the slots for one destination (design page).
const MAX_SLOT_SHARE: f64 = 0.75;
/// The same while the destination is failing or slow (design page).
const MAX_SLOT_SHARE_UNHEALTHY: f64 = 0.5;
/// Weight of the latest value in moving averages, a common smoothing factor.
const MEAN_WEIGHT: f64 = 0.2;
/// Share of the slots that calls past the silence threshold may occupy; the others are for calls that are
/// answered.
const SILENT_SLOT_SHARE: f64 = 0.25;
/// Lower bound of rates, in calls a second: a small share of a limit does not say when a single message may
/// be sent.
pub(crate) const MIN_RATE: f64 = 2.0;
/// Factor on the rate after a refusal above a limit; milder than halving because the window is halved as
/// well.
const RATE_CUT: f64 = 0.8;
/// Relative increase of the rate with each success.
const RATE_GAIN: f64 = 0.1;
/// The same above an even share of a listed rate, where any increase takes capacity from other relays.
const RATE_GAIN_ABOVE_SHARE: f64 = 0.015;
/// Minimum time between two reductions of a rate: refusals closer together belong to the same burst.
const CUT_INTERVAL: Nanos = SECOND / 2;
/// First backoff after an overload answer, in multiples of the time between calls at an even share of the
/// limit.
const BACKOFF_START: f64 = 0.25;
/// Factor on the backoff when the retry is refused too.
const BACKOFF_GROWTH: f64 = 2.0;
/// Factor on it when the retry is served; the backoff settles where three of four retries are served.
const BACKOFF_DECAY: f64 = 0.8;
/// Calls that may accumulate while none are sent, in seconds at the current rate.
const BURST_SECONDS: f64 = 0.25;
/// Time constant of rate averages, in seconds: a few periods of a counted limit.
const RATE_TAU: f64 = 3.0;
/// Rank factor of messages that miss their target, compared with messages in time of the same worth.
const LATE_RANK_FACTOR: f64 = 0.5;
/// Maximum share of the queue for one unhealthy destination, so that it cannot fill the queue.
const UNHEALTHY_QUEUE_SHARE: f64 = 0.35;
/// Load penalty of an endpoint in another zone, in calls in flight: traffic between zones costs money and
/// time.
const OTHER_ZONE_PENALTY: f64 = 1.0;
/// Load bonus of an endpoint with an idle connection, in calls in flight: a new connection costs money and
/// time.
const IDLE_CONNECTION_BONUS: f64 = 0.5;
/// Divisor of the time for which idle connections are kept when an endpoint's connection table is full. It is
/// large because a single relay sees few of the failures.
const KEEP_IDLE_CUT: Nanos = 8;
/// Relative increase of that time with each success; far smaller than the reduction on a failure.
const KEEP_IDLE_GAIN: f64 = 0.02;
/// A guaranteed attempt is made at the latest when only this many silence thresholds are left; until then
/// other messages may go first.
const LAST_CHANCE_SILENCES: f64 = 3.0;
/// Rounds reserved before a deadline, so that the last answer is in time.
const GUARD_ROUNDS: u64 = 3;
/// Interval between checks of the queue when there are no events.
const CHECK_INTERVAL: Nanos = SECOND / 50;
/// The same after checks that found no events.
const QUIET_CHECK_INTERVAL: Nanos = SECOND / 10;
/// Interval between removals of unused records.
const SWEEP_INTERVAL: Nanos = SECOND / 2;
/// Factor on the counted service of each class per sweep, so that about a minute's worth counts.
const SERVICE_DECAY: f64 = 0.99;

const CHECK_NONCE: u64 = 1;

/// Angelin's three-state predictor; its records are in `src/state.rs`.
impl Predictor {
    fn state(&self, now: Nanos, load: f64) -> PredictorState {
        match self.in_flight.range((self.answered_at, MsgId(0))..).next() {
            Some((sent, _)) => PredictorState::InFlight(secs(now - sent)),
            None if secs(now - self.answered_at) <= RECENT_SPAN * self.latest_latency * load => {
                PredictorState::Recent
            }
            None => PredictorState::Idle,
        }
    }

    /// P, once a minimum latency M is known.
    fn predict(&self, now: Nanos, load: f64) -> Option<f64> {
        let minimum = self.min_latency?;
        Some(match self.state(now, load) {
            PredictorState::Idle => IDLE_FACTOR * minimum * load,
            PredictorState::InFlight(age) => age + IN_FLIGHT_FACTOR * minimum * load,
            PredictorState::Recent => RECENT_FACTOR * self.latest_latency,
        })
    }

    fn record_success(&mut self, now: Nanos, latency: f64) {
        self.mean_latency +=
            (latency - self.mean_latency) * if self.min_latency.is_some() { MEAN_WEIGHT } else { 1.0 };
        self.min_latency = Some(self.min_latency.map_or(latency, |m| m.min(latency)));
        (self.latest_latency, self.answered_at) = (latency, now);
    }
}

impl Unit {
    fn on_success(&mut self, now: Nanos) {
        let before = self.rate;
        if f64::from(self.calls) + 1.0 >= self.window {
            self.window += 1.0;
        }
        let gain = if self.rate < self.even_share { RATE_GAIN } else { RATE_GAIN_ABOVE_SHARE };
        let minimum = (if self.is_scarce() { self.even_share } else { MIN_RATE }).min(self.rate * 2.0);
        self.rate = (self.rate * (1.0 + gain)).max(minimum).min(self.listed_rate.unwrap_or(f64::INFINITY));
        if self.is_scarce() && self.queued == 0 {
            self.rate = self.rate.max(MIN_RATE);
        }
        // It does not exceed the bound of a cold return either; otherwise it would continue from there when
        // the bound ends.
        self.rate = self.rate.min(self.current_rate(now).max(before));
    }

    /// Applies the limit that an answer reports. Because the value is approximate, the listed rate moves only
    /// part of the way.
    fn apply_reported_limit(&mut self, limit: f64, relays: f64) {
        if limit <= 0.0 {
            self.rate = if self.rate_cut_at == 0 { f64::INFINITY } else { self.rate };
            (self.listed_rate, self.even_share) = (None, f64::INFINITY);
        } else {
            let old = self.listed_rate.unwrap_or(limit);
            let new = old + (limit - old) * MEAN_WEIGHT;
            self.listed_rate = Some(new);
            self.set_relay_count(relays);
        }
    }

    fn shrink_window(&mut self) {
        self.window = (self.window / 2.0).max(1.0);
    }

    /// Whether an even share of the limit is so small that an answer to one relay has to be taken as valid
    /// for all relays.
    pub(crate) fn is_scarce(&self) -> bool {
        self.even_share < MIN_RATE / 2.0
    }

    /// Guards against sending above a limit: a refusal also reduces the rate, to an even share at most where
    /// that share is small. There the time of the next call is random, so that relays refused together do not
    /// return together.
    fn on_refusal(&mut self, now: Nanos, random: &mut Random) {
        self.tokens = if self.is_scarce() { 2.0 * random.fraction() - 1.0 } else { self.tokens.min(0.0) };
        if now < self.rate_cut_at {
            return;
        }
        self.rate_cut_at = now + CUT_INTERVAL;
        let base = if self.rate.is_finite() { self.rate } else { self.sent_rate.now(now, RATE_TAU) };
        let base = if self.is_scarce() { base.min(self.even_share) } else { base };
        let minimum = self.even_share.min(MIN_RATE) / 4.0;
        self.rate = (base * RATE_CUT).max((base / 2.0).clamp(minimum, MIN_RATE));
    }

    fn may_call(&self, now: Nanos, max_calls: f64) -> bool {
        let rate_allows = self.ramp.as_ref().is_none_or(|ramp| ramp.may_send(now)) && self.tokens >= 1.0;
        now >= self.blocked_until && f64::from(self.calls) < max_calls && rate_allows
    }
}

/// Makes all decisions of one relay.
#[derive(Default)]
pub struct Dispatcher {
    pub(crate) settings: Settings,
    /// All listed endpoints. Full records exist only for destinations that messages arrive for.
    pub(crate) list: EndpointList,
    pub(crate) peers: BTreeMap<EndpointId, Peer>,
    pub(crate) by_dest: BTreeMap<DestId, Vec<EndpointId>>,
    pub(crate) units: BTreeMap<UnitId, Unit>,
    /// Units whose predictor may not be idle, or that have calls in flight; only these contribute to L.
    pub(crate) active: BTreeSet<UnitId>,
    /// Whether new calls are suspended, and whether they were resumed since the last round.
    pub(crate) calls_paused: bool,
    pub(crate) calls_resumed: bool,
    pub(crate) messages: BTreeMap<MsgId, Message>,
    /// Number of messages that have not ended.
    open_messages: usize,
    /// Messages that are neither in flight nor ended, by lane.
    pub(crate) queue: MessageQueue,
    /// Messages to recheck individually because their own state has changed.
    rechecks: Vec<MsgId>,
    /// Messages that arrived recently, with their time of arrival.
    recent_arrivals: VecDeque<(Nanos, MsgId)>,
    pub(crate) calls: BTreeMap<u64, Call>,
    trials_in_flight: usize,
    pub(crate) keys: BTreeMap<OrderKey, KeyQueue>,
    /// What was learned of each kind of destination.
    kind_stats: Vec<KindStats>,
    quotas: Vec<TokenBucket>,
    service: ServiceStats,
    /// Current weight of a unit of worth, by class.
    class_weights: Vec<f64>,
    pub(crate) relays: f64,
    pub(crate) warm_up_time: Nanos,
    pub(crate) overload_time: Nanos,
    pub(crate) slots: usize,
    /// Slots that calls without hope of a quick answer may occupy.
    pub(crate) silent_slots: usize,
    /// Time before a deadline in which no attempt is started.
    pub(crate) guard: Nanos,
    load: f64,
    next_call: u64,
    next_check_at: Nanos,
    check_interval: Nanos,
    next_sweep_at: Nanos,
    any_idle_connections: bool,
    pub(crate) schedule: DiscoverySchedule,
    /// Until when the list may be used, if that is limited.
    pub(crate) list_valid_until: Option<Nanos>,
    pub(crate) random: Random,
}

impl Dispatcher {
    /// A dispatcher that knows only its settings. `seed` is the seed of its random delays and choices.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let start = Dispatcher { load: 1.0, check_interval: CHECK_INTERVAL, ..Dispatcher::default() };
        let mut dispatcher = Dispatcher { random: Random(seed), ..start };
        dispatcher.apply_settings(settings);
        dispatcher
    }

    /// Applies initial or changed settings; what was learned is kept.
    pub fn apply_settings(&mut self, settings: Settings) {
        let initial = KindStats::new(settings.idle_close.unwrap_or(SECOND), BACKOFF_START);
        self.relays = f64::from(settings.relays.unwrap_or(1).max(1));
        self.units.values_mut().for_each(|unit| unit.set_relay_count(self.relays));
        self.slots = settings.slots.map_or(usize::MAX, |s| s as usize);
        self.silent_slots = (self.slots as f64 * SILENT_SLOT_SHARE).ceil() as usize;
        self.guard = GUARD_ROUNDS * settings.round_interval.unwrap_or(CHECK_INTERVAL);
        self.quotas.resize_with(settings.tenants.len(), TokenBucket::default);
        self.service.resize(settings.classes.len());
        self.kind_stats.resize(settings.kinds.len(), initial);
        self.warm_up_time = settings.rules.warm_up_time.unwrap_or(10 * SECOND).max(1);
        self.overload_time = settings.rules.overload_time.unwrap_or(SECOND);
        self.schedule.apply_settings(&settings);
        self.settings = settings;
    }

    /// Processes all events of a round, then decides.
    pub fn on_round(&mut self, now: Nanos, events: &[Event], actions: &mut Vec<Action>) {
        let mut arrivals = Vec::new();
        for event in events {
            match event {
                Event::List { scope, entries } => self.apply_list(now, *scope, entries, actions),
                Event::Request(request) => self.accept_request(now, request, &mut arrivals, actions),
                Event::AttemptEnded { .. } => self.apply_outcome(now, event, actions),
                Event::Abandoned { msg } => self.end_message(*msg),
                Event::ProbeEnded { endpoint, outcome, .. } => {
                    self.update_health(now, *endpoint, *outcome, actions)
                }
                Event::Timer { nonce: POLL_NONCE } => self.call_discovery(now, 0, actions),
                Event::Timer { .. } | Event::StreamStarted { .. } | Event::RelayMessage { .. } => {}
            }
        }
        self.start_polling(now, actions);
        let no_events = events.iter().all(|e| matches!(e, Event::Timer { .. }));
        self.check_interval =
            if no_events { (self.check_interval * 2).min(QUIET_CHECK_INTERVAL) } else { CHECK_INTERVAL };
        self.class_weights = self.service.weights(self.settings.worst_class_weight);
        self.check_silent_calls(now, actions);
        self.measure_load(now);
        self.admit(now, &arrivals, actions);
        self.dispatch(now, actions);
        self.sweep(now, actions);
        self.set_check_timer(now, actions);
    }

    /// Computes L, predicted over minimum latencies, at the fixed point of the report's recursion (exception
    /// 1 in docs/design.md). Idle units cancel out because a = 1; evaluated round by round they would carry a
    /// passing delay on for ever. Units in outage are left out, because a hung destination would cause
    /// messages for healthy ones to be refused.
    fn measure_load(&mut self, now: Nanos) {
        let (mut predicted, mut minimum) = (0.0, 0.0);
        let mut active = std::mem::take(&mut self.active);
        active.retain(|id| {
            let Some(predictor) = self.units.get(id).map(|u| &u.predictor) else { return false };
            let state = predictor.state(now, self.load);
            if let Some(m) = predictor.min_latency.filter(|_| !self.all_unhealthy(*id)) {
                match state {
                    PredictorState::Idle => {}
                    PredictorState::InFlight(age) => {
                        (predicted, minimum) = (predicted + age, minimum + (1.0 - IN_FLIGHT_FACTOR) * m)
                    }
                    PredictorState::Recent => {
                        (predicted, minimum) =
                            (predicted + RECENT_FACTOR * predictor.latest_latency, minimum + m)
                    }
                }
            }
            !matches!(state, PredictorState::Idle) || !predictor.in_flight.is_empty()
        });
        self.active = active;
        self.load = if minimum > 0.0 { (predicted / minimum).max(1.0) } else { 1.0 };
    }

    /// Endpoints of a destination that are listed and not draining.
    pub(crate) fn active_endpoints(&self, dest: DestId) -> impl Iterator<Item = &Peer> {
        let peers = self.by_dest.get(&dest).into_iter().flatten().filter_map(|e| self.peers.get(e));
        peers.filter(|p| p.entry.condition == Condition::Active)
    }

    pub(crate) fn unit_endpoints(&self, id: UnitId) -> impl Iterator<Item = &Peer> {
        let ids: &[EndpointId] = match &id {
            UnitId::Dest(d) => self.by_dest.get(d).map_or(&[], |v| v),
            UnitId::Route(e) => self.peers.get(e).map_or(&[], |p| std::slice::from_ref(&p.entry.id)),
        };
        ids.iter().filter_map(|e| self.peers.get(e)).filter(|p| p.entry.condition == Condition::Active)
    }

    /// Predicted time for a message in seconds: P of the unit plus the wait in the queue. The queue is
    /// emptied at the rate that the window allows, or at the rate limit and after an announced wait where
    /// those are slower (exception 2).
    fn expected_time(&self, now: Nanos, id: UnitId, ahead: u32) -> f64 {
        let Some(unit) = self.units.get(&id) else { return 0.0 };
        let calls = (f64::from(ahead) / self.max_batch(id)).ceil();
        let ramp = unit.ramp.as_ref().map_or(0.0, |ramp| ramp.time_for(now, calls));
        let Some(p) = unit.predictor.predict(now, self.load) else { return ramp };
        let by_window = calls / unit.window.min(self.max_calls(id)).max(1.0) * unit.predictor.latest_latency;
        let announced_wait = secs(unit.blocked_until.saturating_sub(now));
        p + by_window.max(announced_wait + calls / unit.rate).max(ramp)
    }

    fn max_batch(&self, id: UnitId) -> f64 {
        let kind = self.unit_endpoints(id).next().and_then(|p| self.settings.kinds.get(p.entry.kind.0));
        f64::from(kind.and_then(|k| k.max_batch).unwrap_or(1).max(1))
    }

    /// Maximum number of concurrent calls to one unit.
    fn max_calls(&self, id: UnitId) -> f64 {
        let Some(slots) = self.settings.slots else { return f64::INFINITY };
        let slow = self.unit_endpoints(id).any(|p| p.health != Health::Up);
        (f64::from(slots) * if slow { MAX_SLOT_SHARE_UNHEALTHY } else { MAX_SLOT_SHARE }).floor().max(1.0)
    }

    fn accept_request(
        &mut self,
        now: Nanos,
        request: &Request,
        arrivals: &mut Vec<MsgId>,
        actions: &mut Vec<Action>,
    ) {
        // Guards against an id that is used twice: the earlier message is over.
        self.end_message(request.msg);
        self.load_records(now, request.dest, actions);
        let current_rules = || self.settings.classes.get(request.class.0).cloned();
        let class = request.rules.clone().or_else(current_rules).unwrap_or_default();
        let over_quota = request.tenant.is_some_and(|t| self.is_over_quota(now, t));
        let worth_factor = self.settings.over_quota_worth.filter(|_| over_quota).unwrap_or(1.0);
        let key = request.key.filter(|_| class.ordered);
        if let Some(key) = key {
            self.keys.entry(key).or_default().messages.push_back(request.msg);
        }
        let mut message = Message::new(request, class, key, now);
        message.worth = message.rules.worth.unwrap_or(1.0) * worth_factor;
        self.service.add_requested(request.class.0, message.worth);
        message.target_at =
            (message.deadline + message.rules.target_latency).saturating_sub(message.rules.lifetime);
        self.messages.insert(request.msg, message);
        self.open_messages += 1;
        arrivals.push(request.msg);
    }

    /// Whether a tenant's recent traffic through this relay exceeds an even share of its quota.
    fn is_over_quota(&mut self, now: Nanos, tenant: TenantId) -> bool {
        let quota = self.settings.tenants.get(tenant.0).and_then(|t| t.quota);
        let (Some(quota), Some(tokens)) = (quota, self.quotas.get_mut(tenant.0)) else { return false };
        let rate = quota / self.relays;
        !tokens.take(now, rate, (rate * RATE_TAU).max(1.0))
    }

    /// Refuses on arrival messages that are predicted to miss their deadline.
    fn admit(&mut self, now: Nanos, arrivals: &[MsgId], actions: &mut Vec<Action>) {
        for &id in arrivals {
            let Some(message) = self.messages.get(&id).filter(|m| !m.ended) else { continue };
            let unit = self.best_unit(now, message);
            let queued = unit.and_then(|u| self.units.get(&u)).map_or(0, |u| u.queued);
            let wait = unit.map_or(0.0, |u| self.expected_time(now, u, self.queued_ahead(now, u, message)));
            let room = f64::from(self.settings.max_open_messages.unwrap_or(u32::MAX));
            let queue_share_exceeded = unit.is_some_and(|u| self.all_unhealthy(u))
                && f64::from(queued) > room * UNHEALTHY_QUEUE_SHARE;
            if (wait > self.time_left(now, message) || queue_share_exceeded) && !message.attempt_guaranteed()
            {
                let reason = if queue_share_exceeded {
                    GiveUpReason::DestinationQueueFull
                } else {
                    GiveUpReason::TooSlow
                };
                self.give_up(now, id, wait, reason, actions);
            } else {
                self.enqueue(now, id, unit);
                self.recent_arrivals.push_back((now, id));
                unit.and_then(|u| self.units.get_mut(&u)).into_iter().for_each(|u| u.arrivals += 1.0);
            }
        }
        self.make_room(now, actions);
    }

    /// Time in which a message may still be served, in seconds.
    fn time_left(&self, now: Nanos, message: &Message) -> f64 {
        secs(message.deadline.saturating_sub(now + self.guard))
    }

    /// Gives up the lowest-ranked messages once the queue is full, so that new messages are still considered.
    fn make_room(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let max = self.settings.max_open_messages.map_or(usize::MAX, |m| m as usize);
        let surplus = (self.open_messages + 1).saturating_sub(max);
        if surplus == 0 {
            return;
        }
        let mut worst: BTreeSet<_> = self
            .queue
            .all_lanes()
            .filter_map(|(dest, lane, queue)| self.least_urgent(now, dest, lane, queue))
            .collect();
        for _ in 0..surplus {
            let Some((_, id, dest, lane)) = worst.pop_last() else { return };
            self.give_up(now, id, 0.0, GiveUpReason::QueueFull, actions);
            let next =
                self.queue.lane(dest, &lane).and_then(|queue| self.least_urgent(now, dest, &lane, queue));
            worst.extend(next);
        }
    }

    /// The unit of a message's destination that is predicted to serve it first.
    fn best_unit(&self, now: Nanos, message: &Message) -> Option<UnitId> {
        let units = self.active_endpoints(message.dest).map(|p| p.unit);
        let queued = |u: UnitId| self.units.get(&u).map_or(0, |u| u.queued);
        units.min_by_key(|u| (self.all_unhealthy(*u), nanos(self.expected_time(now, *u, queued(*u))), *u))
    }

    /// The rank of a message: messages with a guaranteed attempt come first, then the highest weighted worth,
    /// where messages that would miss their target count less, then the earliest target.
    pub(crate) fn rank(&self, now: Nanos, message: &Message) -> Rank {
        let finish = self.finish_time(now, message.lane.and_then(|lane| lane.unit));
        let late_factor = if finish > message.target_at { LATE_RANK_FACTOR } else { 1.0 };
        let factor = if message.attempt_guaranteed() { f64::INFINITY } else { late_factor };
        (-(message.worth * self.class_weights[message.class] * factor * 1e6) as i64, message.target_at)
    }

    /// Gives up messages that cannot be served in time and sends others by rank, as far as slots, windows,
    /// rates, announced waits, health, order and repeat effects allow. Examines only what may have changed
    /// (`src/queue.rs`).
    fn dispatch(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let mut rechecks = std::mem::take(&mut self.rechecks);
        rechecks.extend(self.queue.take_rechecks(now));
        let resumed = std::mem::take(&mut self.calls_resumed);
        if resumed || self.time_to_list(now) > 0 || self.list_expired(now) {
            rechecks.extend(self.messages.keys());
        }
        for id in rechecks {
            let Some(message) = self.messages.get(&id).filter(|m| m.lane.is_some()) else { continue };
            match self.hopeless(now, message) {
                Some((wait, reason)) => self.give_up(now, id, wait, reason, actions),
                None => self.enqueue(now, id, message.lane.and_then(|lane| lane.unit)),
            }
        }
        let visits = self.queue.destinations_to_visit(now, self.slots.saturating_sub(self.calls.len()));
        let mut heads = BTreeSet::new();
        for dest in &visits {
            for endpoint in self.by_dest.get(dest).into_iter().flatten() {
                let unit = self.peers.get(endpoint).and_then(|p| self.units.get_mut(&p.unit));
                unit.into_iter().for_each(|u| u.refill(now, BURST_SECONDS));
            }
            self.drop_hopeless(now, *dest, actions);
            for (lane, queue) in self.queue.lanes(*dest) {
                self.add_lane_heads(now, lane, queue, &mut heads);
            }
        }
        // New messages may go to endpoints where others have to wait for a trial, so they are considered
        // individually.
        while self.recent_arrivals.front().is_some_and(|(arrived, _)| now >= arrived + CHECK_INTERVAL) {
            self.recent_arrivals.pop_front();
        }
        for (_, id) in &self.recent_arrivals {
            let message = self
                .messages
                .get(id)
                .filter(|m| m.lane.is_some_and(|lane| lane.readiness == Readiness::Ready));
            let message = message.filter(|m| self.active_endpoints(m.dest).any(|p| self.is_suspect(p)));
            heads.extend(message.map(|m| (self.rank(now, m), *id)));
        }
        let (mut open_calls, mut blocked) = (OpenCalls::new(), BTreeSet::new());
        while let Some((_, id)) = heads.pop_first() {
            let message = &self.messages[&id];
            let (dest, lane) = (message.dest, message.lane.expect("lane heads are queued"));
            if blocked.contains(&(dest, lane)) && !self.is_new(now, message) {
                continue;
            }
            let salt = self.random.next();
            let Some(endpoint) = self.choose_endpoint(now, id, &open_calls, salt) else {
                blocked.insert((dest, lane));
                continue;
            };
            self.send(now, id, endpoint, &mut open_calls, actions);
            if open_calls.get(&endpoint).is_some_and(|(_, room)| *room > 0) {
                // The call has room for further messages, so all messages of the destination may join it.
                blocked.retain(|(d, _)| *d != dest);
                for (lane, queue) in self.queue.lanes(dest) {
                    self.add_lane_heads(now, lane, queue, &mut heads);
                }
            } else if let Some(queue) = self.queue.lane(dest, &lane) {
                self.add_lane_heads(now, &lane, queue, &mut heads);
            }
        }
        for dest in visits {
            self.drop_hopeless(now, dest, actions);
            self.schedule_visit(now, dest);
        }
    }

    /// Gives up messages for a destination that cannot be served in time any more.
    fn drop_hopeless(&mut self, now: Nanos, dest: DestId, actions: &mut Vec<Action>) {
        let left = self.guard + nanos(self.earliest_completion(now, dest, Nanos::MAX));
        for id in self.queue.expiring(dest, now, left) {
            if let Some((wait, reason)) = self.hopeless(now, &self.messages[&id]) {
                self.give_up(now, id, wait, reason, actions);
            }
        }
    }

    /// The reason why a queued message cannot be served any more, with the time that serving it would take in
    /// seconds.
    fn hopeless(&self, now: Nanos, message: &Message) -> Option<(f64, GiveUpReason)> {
        let left = self.time_left(now, message);
        let attempts_used_up = self.settings.max_attempts.is_some_and(|max| message.counted_attempts >= max);
        let possible_execution = message.unconfirmed.zip(message.rules.resend_window());
        let resend_window_over =
            possible_execution.is_some_and(|(attempt, window)| now + self.guard >= attempt.sent + window);
        let backoff = secs(message.backoff_until.unwrap_or(0).saturating_sub(now));
        let earliest = self.earliest_completion(now, message.dest, self.bypass_after(now, message)) + backoff;
        let reason = match () {
            () if left <= 0.0 => GiveUpReason::DeadlineReached,
            () if message.attempt_guaranteed() => return None,
            () if attempts_used_up => GiveUpReason::AttemptsExhausted,
            () if resend_window_over => GiveUpReason::ResendWindowOver,
            () if self.list_too_late(now, message) => GiveUpReason::NoUsableList,
            () if earliest > left => GiveUpReason::TooSlow,
            () => return None,
        };
        Some((earliest, reason))
    }

    /// Minimum time in seconds until a destination would have served a message that is sent now.
    pub(crate) fn earliest_completion(&self, now: Nanos, dest: DestId, bypass_after: Nanos) -> f64 {
        let time = |p: &Peer| {
            let latency = self.units.get(&p.unit)?.predictor.predict(now, self.load).unwrap_or(0.0);
            Some(latency + secs(self.time_to_trial(now, p, bypass_after)))
        };
        let earliest = self.active_endpoints(dest).filter_map(time).min_by(f64::total_cmp);
        let list_wait = secs(self.time_to_list(now));
        earliest.map_or(list_wait, |earliest| earliest.max(list_wait))
    }

    /// Whether a message has just arrived.
    fn is_new(&self, now: Nanos, message: &Message) -> bool {
        message.counted_attempts == 0 && now < message.arrived_at + CHECK_INTERVAL
    }

    /// How long an endpoint must have gone without a call for a message to be sent there regardless of its
    /// health. For a new message this is the warm-up time, because what is known of the endpoint is that old
    /// by then. A message with a guaranteed attempt may be sent in any case shortly before its deadline
    /// (exception 12).
    fn bypass_after(&self, now: Nanos, message: &Message) -> Nanos {
        let last_chance =
            |unit| self.time_left(now, message) < LAST_CHANCE_SILENCES * self.silence_threshold(unit);
        match message.attempt_guaranteed() && self.best_unit(now, message).is_some_and(last_chance) {
            true => 0,
            false if self.is_new(now, message) => self.warm_up_time,
            false => Nanos::MAX,
        }
    }

    /// Time until a message may be sent to an endpoint, as far as its health is concerned.
    pub(crate) fn time_to_trial(&self, now: Nanos, peer: &Peer, bypass_after: Nanos) -> Nanos {
        let unrestricted = now >= peer.called_at.saturating_add(bypass_after) || !self.is_suspect(peer);
        if unrestricted { 0 } else { peer.next_trial_at.saturating_sub(now) }
    }

    /// Chooses the endpoint for a message among those that may be called: the least busy one, preferring the
    /// same zone and endpoints with an idle connection. Ties are broken at random, so that the relays do not
    /// all choose the same endpoint.
    fn choose_endpoint(
        &self,
        now: Nanos,
        message: MsgId,
        open_calls: &OpenCalls,
        salt: u64,
    ) -> Option<EndpointId> {
        if self.calls_paused || self.list_expired(now) {
            return None;
        }
        let message = &self.messages[&message];
        let free = self.calls.len() < self.slots;
        // If a repeat could take effect, the endpoint has to be one that recognises it.
        let scope = message.lane.and_then(|lane| lane.resend_scope);
        let (trials_left, bypass_after) =
            (self.trials_in_flight < self.silent_slots, self.bypass_after(now, message));
        let avoids = |p: &Peer| p.avoided_classes.get(&message.class).is_some_and(|until| now < *until);
        let has_alternative = self.active_endpoints(message.dest).any(|p| !avoids(p));
        let mut best = None;
        for peer in self.active_endpoints(message.dest) {
            let Some(unit) = self.units.get(&peer.unit) else { continue };
            let joins_call = open_calls.get(&peer.entry.id).is_some_and(|(_, room)| *room > 0);
            let no_trial = matches!(peer.health, Health::Returning(_)) || !self.is_suspect(peer);
            let health_allows = self.time_to_trial(now, peer, bypass_after) == 0 && (trials_left || no_trial);
            let window = if bypass_after == 0 { f64::INFINITY } else { unit.window };
            let callable = joins_call
                || free && health_allows && unit.may_call(now, window.min(self.max_calls(peer.unit)));
            if !callable
                || scope.is_some_and(|scope| !scope.allows(&peer.entry))
                || has_alternative && avoids(peer)
            {
                continue;
            }
            let zone_penalty = if self.settings.zone.is_some_and(|z| z != peer.entry.zone) {
                OTHER_ZONE_PENALTY
            } else {
                0.0
            };
            let connection_bonus =
                if joins_call || !peer.idle_connections.is_empty() { IDLE_CONNECTION_BONUS } else { 0.0 };
            let candidate = (
                f64::from(peer.calls) + zone_penalty - connection_bonus,
                mix(salt, peer.entry.id.0),
                peer.entry.id,
            );
            if best.is_none_or(|b| candidate < b) {
                best = Some(candidate);
            }
        }
        best.map(|(_, _, id)| id)
    }

    fn send(
        &mut self,
        now: Nanos,
        id: MsgId,
        to: EndpointId,
        open_calls: &mut OpenCalls,
        actions: &mut Vec<Action>,
    ) {
        let unit_id = self.peers[&to].unit;
        let suspect = self.is_suspect(&self.peers[&to]);
        let silence = self.silence_threshold(unit_id);
        let down = self.peers[&to].health == Health::Down;
        let interval = self.cold_interval(now, &self.peers[&to]);
        let max_batch = if down { 1 } else { self.max_batch(unit_id) as u32 };
        let timeout = self.attempt_timeout(now, &self.messages[&id], unit_id);
        let peer = self.peers.get_mut(&to).expect("chosen from the list");
        let unit = self.units.get_mut(&unit_id).expect("listed endpoints have units");
        let call = match open_calls.get_mut(&to).filter(|(_, room)| *room > 0) {
            Some((call, room)) => {
                *room -= 1;
                *call
            }
            None => {
                self.next_call += 1;
                open_calls.insert(to, (self.next_call, max_batch - 1));
                let keep_idle = self.kind_stats.get(peer.entry.kind.0).map_or(0, |k| k.keep_idle);
                let idle = peer.idle_connections.pop().map(|last_used| now - last_used);
                if idle.is_some_and(|idle| idle > keep_idle) {
                    peer.idle_connections.clear();
                    actions.push(Action::CloseIdle { endpoint: to });
                }
                let idle = idle.filter(|idle| *idle <= keep_idle);
                let trial = suspect && (down || peer.health == Health::Up);
                self.trials_in_flight += usize::from(trial);
                self.calls.insert(self.next_call, Call { pending: 0, outcome_recorded: false, idle, trial });
                unit.calls += 1;
                unit.tokens -= 1.0;
                unit.sent_rate.add(now, RATE_TAU);
                unit.ramp.iter_mut().for_each(|ramp| ramp.call_sent(now));
                peer.calls += 1;
                peer.called_at = now;
                if suspect {
                    // Calls to endpoints that are down must not occupy slots all the time.
                    let trial = nanos(silence).max(self.settings.dial_timeout.unwrap_or(0));
                    peer.next_trial_at =
                        now + if peer.health == Health::Down { interval.max(trial) } else { interval };
                }
                self.next_call
            }
        };
        self.calls.get_mut(&call).expect("the call is open").pending += 1;
        unit.predictor.in_flight.insert((now, id));
        self.active.insert(unit_id);
        unit.used_at = now;
        self.dequeue(id);
        let message = self.messages.get_mut(&id).expect("the message is queued");
        message.in_flight = Some(Attempt::new(message.attempts, to, unit_id, call, now));
        message.attempts += 1;
        message.counted_attempts += 1;
        actions.push(Action::Send { msg: id, endpoint: to, timeout });
    }

    /// Time-out of an attempt. Messages that must not be repeated wait as long as possible. For others it is
    /// the silence threshold, doubled with each attempt, because the message itself may take long to process.
    fn attempt_timeout(&self, now: Nanos, message: &Message, unit: UnitId) -> Nanos {
        let left = message.deadline.saturating_sub(now + self.guard).max(1);
        match message.rules.effect {
            Effect::Unsafe => left,
            _ => left
                .min(nanos(self.silence_threshold(unit) * f64::from(1 << message.counted_attempts.min(4)))),
        }
    }

    fn apply_outcome(&mut self, now: Nanos, event: &Event, actions: &mut Vec<Action>) {
        let &Event::AttemptEnded { msg: id, attempt: number, outcome, latency, message_done, report, .. } =
            event
        else {
            return;
        };
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(attempt) = message.in_flight.take_if(|attempt| attempt.number == number) else { return };
        message.counted_attempts -= u32::from(outcome == Outcome::LocalFault);
        let may_have_run =
            matches!(outcome, Outcome::Error | Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        if may_have_run && message.unconfirmed.is_none() {
            let zone = self.peers.get(&attempt.endpoint).map(|p| p.entry.zone);
            message.unconfirmed =
                Some(UnconfirmedAttempt { sent: attempt.sent, endpoint: attempt.endpoint, zone });
        }
        if let Some(key) = message.key
            && matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled)
        {
            let pause = self.settings.rules.order_settle_time.unwrap_or(0);
            self.keys.entry(key).or_default().paused_until = now + pause;
        }
        let (ended, unit_id) = (message.ended || message_done, attempt.unit);
        self.queue.mark_changed(message.dest);
        if let Some(unit) = self.units.get_mut(&unit_id) {
            unit.predictor.in_flight.remove(&(attempt.sent, id));
            if let Some(limit) = report.limit {
                unit.apply_reported_limit(limit, self.relays);
            }
        }
        let class = message.class;
        let late_worth = message.rules.late_worth.unwrap_or(0.0);
        let share = if outcome == Outcome::Ok { message.worth_share_at(now, late_worth) } else { 0.0 };
        self.service.add_earned(class, message.worth * share);
        self.learn_backoff(now, id, &attempt, outcome);
        match outcome {
            Outcome::Timeout => self.avoid_for_class(now, attempt.endpoint, class),
            Outcome::Ok => {
                _ = self.peers.get_mut(&attempt.endpoint).and_then(|p| p.avoided_classes.remove(&class))
            }
            _ => {}
        }
        let idle = self.calls.get(&attempt.call).and_then(|c| c.idle);
        let first = self.record_call_outcome(now, &attempt, outcome);
        if first {
            self.learn_keep_idle(now, &attempt, outcome, idle);
        }
        let stale_connection = outcome == Outcome::Reset && idle.is_some();
        self.learn_from_outcome(now, &attempt, outcome, latency, first && !stale_connection);
        if first && !stale_connection {
            self.update_health(now, attempt.endpoint, outcome, actions);
        }
        if ended {
            self.end_message(id);
        } else {
            self.enqueue(now, id, Some(unit_id));
            self.rechecks.push(id);
        }
    }

    /// Learns the backoff before a retry after an overload answer, in multiples of the time between calls at
    /// an even share of the limit or of the waits announced by this kind of destination. It grows while
    /// retries are refused and shrinks when they are served (exception 10). Guards against the few retries of
    /// each of many relays using up a limit, in particular one that counts refused calls.
    fn learn_backoff(&mut self, now: Nanos, id: MsgId, attempt: &Attempt, outcome: Outcome) {
        let Some(kind) = self.peers.get(&attempt.endpoint).map(|p| p.entry.kind.0) else { return };
        let Some(kind) = self.kind_stats.get_mut(kind) else { return };
        let Some(message) = self.messages.get_mut(&id) else { return };
        let even_share = self.units.get(&attempt.unit).map(|u| u.even_share).filter(|e| e.is_finite());
        let base = if kind.mean_retry_after > 0.0 {
            kind.mean_retry_after / BACKOFF_START
        } else {
            even_share.map_or(1.0, |e| 1.0 / e)
        };
        let is_retry = message.backoff_until.is_some();
        match outcome {
            Outcome::Overloaded { retry_after: None } => {
                let longest = secs(self.settings.classes.iter().map(|c| c.lifetime).max().unwrap_or(SECOND));
                let increased =
                    (kind.backoff_factor * BACKOFF_GROWTH).min((longest / base).max(BACKOFF_START));
                kind.backoff_factor = if is_retry { increased } else { kind.backoff_factor };
                message.backoff_until =
                    Some(now + nanos(kind.backoff_factor * base * (0.5 + self.random.fraction())));
            }
            Outcome::Overloaded { retry_after: Some(wait) } => {
                kind.mean_retry_after += (secs(wait) - kind.mean_retry_after)
                    * if kind.mean_retry_after > 0.0 { MEAN_WEIGHT } else { 1.0 };
            }
            Outcome::Ok if is_retry => {
                kind.backoff_factor = (kind.backoff_factor * BACKOFF_DECAY).max(BACKOFF_START / 4.0)
            }
            _ => {}
        }
    }

    /// Records an outcome of a call. Returns true for the first outcome, which stands for all messages of the
    /// call because they share one connection and answer.
    fn record_call_outcome(&mut self, now: Nanos, attempt: &Attempt, outcome: Outcome) -> bool {
        let Some(call) = self.calls.get_mut(&attempt.call) else { return false };
        let first = !std::mem::replace(&mut call.outcome_recorded, true);
        call.pending -= 1;
        if call.pending == 0 {
            self.trials_in_flight -= usize::from(call.trial);
            self.calls.remove(&attempt.call);
            if let Some(unit) = self.units.get_mut(&attempt.unit) {
                unit.calls = unit.calls.saturating_sub(1);
            }
            if let Some(peer) = self.peers.get_mut(&attempt.endpoint) {
                peer.calls = peer.calls.saturating_sub(1);
                if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Overloaded { .. }) {
                    peer.idle_connections.push(now);
                    self.any_idle_connections = true;
                }
            }
        }
        first
    }

    /// Reduces the time for which idle connections are kept when a reused connection fails before the message
    /// was seen (not a matter of health; a time-out counts only after a longer idle time than any that was
    /// served), or when a connection attempt fails and the next call is served. A success increases it
    /// slightly.
    fn learn_keep_idle(&mut self, now: Nanos, attempt: &Attempt, outcome: Outcome, idle: Option<Nanos>) {
        let Some(peer) = self.peers.get_mut(&attempt.endpoint) else { return };
        let Some(kind) = self.kind_stats.get_mut(peer.entry.kind.0) else { return };
        // The next call shows whether the connection table was full or the endpoint is down.
        let earlier_failure = peer.lone_connect_failure_at.take();
        peer.lone_connect_failure_at =
            (outcome == Outcome::ConnectFailed && peer.failure_average < FAILURE_WEIGHT).then_some(now);
        let too_long = match outcome {
            Outcome::Ok => earlier_failure.is_some_and(|failed| now < failed + self.overload_time),
            Outcome::Reset => idle.is_some() && peer.served_at > attempt.sent,
            Outcome::Timeout => idle.is_some_and(|i| i > kind.proven_idle) && peer.served_at > attempt.sent,
            _ => false,
        };
        if too_long && now >= kind.keep_idle_fixed_until {
            let idle_limit =
                idle.filter(|_| outcome != Outcome::Ok).unwrap_or(kind.keep_idle).min(kind.keep_idle);
            kind.keep_idle = idle_limit / KEEP_IDLE_CUT;
            kind.keep_idle_fixed_until = now + CUT_INTERVAL;
        } else if outcome == Outcome::Ok {
            let max = self.settings.idle_close.unwrap_or(SECOND);
            kind.proven_idle = kind.proven_idle.max(idle.unwrap_or(0));
            kind.keep_idle = nanos(secs(kind.keep_idle) * (1.0 + KEEP_IDLE_GAIN)).clamp(CHECK_INTERVAL, max);
        }
    }

    /// Updates predictor, window and rate with an outcome. Outcomes of ended messages count as well.
    fn learn_from_outcome(
        &mut self,
        now: Nanos,
        attempt: &Attempt,
        outcome: Outcome,
        latency: Nanos,
        first: bool,
    ) {
        let Some(peer) = self.peers.get(&attempt.endpoint) else { return };
        let counts_for_limit = peer.health != Health::Down;
        let age = if peer.health == Health::Up { 0.0 } else { secs(now - peer.unhealthy_since) };
        let Some(unit) = self.units.get_mut(&attempt.unit) else { return };
        self.active.insert(attempt.unit);
        match outcome {
            Outcome::Ok => {
                unit.predictor.record_success(now, secs(latency));
                if now > unit.rate_cut_at + CUT_INTERVAL {
                    unit.proven_rate = unit.proven_rate.max(unit.sent_rate.now(now, RATE_TAU));
                }
            }
            Outcome::Timeout => {
                (unit.predictor.latest_latency, unit.predictor.answered_at) = (secs(latency), now)
            }
            _ => {}
        }
        if let Outcome::Overloaded { retry_after: Some(wait) } = outcome
            && now + wait > unit.blocked_until
        {
            // Guards against all relays returning at the same time after the same announced wait: their
            // returns are spread over the duration of the trouble so far, with increasing density, as a cold
            // destination warms up.
            let spread = secs(wait).max(age).min(secs(self.warm_up_time));
            let delay = spread * (1.0 - 1.0 / self.relays) * self.random.fraction().sqrt();
            // With a small even share, the rate limit spreads the calls from then on.
            let rate_limited = unit.is_scarce() && counts_for_limit;
            unit.blocked_until = now + wait + if rate_limited { 0 } else { nanos(delay) };
            unit.filled_at = unit.filled_at.max(if rate_limited { unit.blocked_until } else { 0 });
        }
        if let Some(ramp) = unit.ramp.as_mut().filter(|_| first) {
            match outcome {
                Outcome::Ok => ramp.call_succeeded(now),
                Outcome::Error | Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFault => {}
                _ => ramp.call_failed(now),
            }
        }
        match outcome {
            _ if !first => {}
            Outcome::Ok => unit.on_success(now),
            Outcome::Overloaded { .. } => {
                unit.shrink_window();
                if counts_for_limit {
                    unit.on_refusal(now, &mut self.random);
                }
            }
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => unit.shrink_window(),
            Outcome::Error | Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFault => {}
        }
    }

    /// Gives the final answer: a refusal with a backoff if the message may safely be submitted again,
    /// otherwise a failure.
    fn give_up(&mut self, now: Nanos, id: MsgId, wait: f64, reason: GiveUpReason, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id).filter(|m| !m.ended) else { return };
        let repeatable = message.unconfirmed.is_none() || message.rules.may_be_resubmitted();
        if repeatable && message.in_flight.is_none() && now < message.deadline {
            let max = self.settings.max_backoff.unwrap_or(SECOND);
            let backoff = self.settings.refusals_carry_backoff.then(|| nanos(wait).clamp(max / 2, max));
            actions.push(Action::Refuse { msg: id, backoff, reason });
        } else {
            actions.push(Action::Fail { msg: id });
        }
        self.end_message(id);
    }

    /// Ends a message; its record is removed once no attempt is in flight.
    fn end_message(&mut self, id: MsgId) {
        self.dequeue(id);
        let Some(message) = self.messages.get_mut(&id) else { return };
        self.open_messages -= usize::from(!std::mem::replace(&mut message.ended, true));
        if message.in_flight.is_some() {
            return;
        }
        if let Some(key_queue) = message.key.and_then(|k| self.keys.get_mut(&k)) {
            key_queue.messages.retain(|m| *m != id);
            self.rechecks.extend(key_queue.messages.front());
        }
        self.messages.remove(&id);
    }

    /// Whether a message is the first of its key and the key's pause is over (or was caused by this message).
    pub(crate) fn is_next_of_key(&self, now: Nanos, id: MsgId, message: &Message) -> bool {
        let Some(key_queue) = message.key.and_then(|k| self.keys.get(&k)) else { return true };
        key_queue.messages.front() == Some(&id)
            && (now >= key_queue.paused_until || message.counted_attempts > 0)
    }

    fn apply_list(&mut self, now: Nanos, scope: ListScope, entries: &[Endpoint], actions: &mut Vec<Action>) {
        if scope.is_failure() {
            return self.list_call_failed(now, scope, actions);
        }
        self.schedule.list_received(!entries.is_empty());
        if scope != ListScope::Patch {
            for id in self.list.retain_only(entries) {
                let Some(peer) = self.peers.get_mut(&id) else { continue };
                peer.entry.condition = Condition::Removed;
                self.queue.mark_changed(peer.entry.dest);
            }
        }
        for entry in entries {
            self.apply_list_entry(now, entry);
        }
    }

    /// Periodically advances recovery and removes records that are unused or no longer listed.
    fn sweep(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if now < self.next_sweep_at {
            return;
        }
        self.next_sweep_at = now + SWEEP_INTERVAL;
        self.service.decay(SERVICE_DECAY);
        self.any_idle_connections = false;
        let idle = self.settings.idle_close.unwrap_or(SECOND);
        for peer in self.peers.values_mut() {
            if matches!(peer.health, Health::Returning(since) if now >= since + self.warm_up_time) {
                peer.health = Health::Up;
                peer.connect_failed = false;
            }
            peer.idle_connections.retain(|last_used| now < last_used + idle);
            let keep_idle = self.kind_stats.get(peer.entry.kind.0).map_or(0, |k| k.keep_idle);
            if peer.idle_connections.last().is_some_and(|last_used| now > last_used + keep_idle) {
                peer.idle_connections.clear();
                actions.push(Action::CloseIdle { endpoint: peer.entry.id });
            }
            self.any_idle_connections |= !peer.idle_connections.is_empty();
        }
        self.peers.retain(|id, peer| {
            let remains = peer.entry.condition != Condition::Removed || peer.calls > 0;
            if !remains && let Some(ids) = self.by_dest.get_mut(&peer.entry.dest) {
                ids.retain(|e| e != id);
            }
            remains
        });
        self.compact_idle(now, actions);
        self.units.retain(|id, unit| {
            unit.calls > 0
                || unit.queued > 0
                || now < unit.blocked_until
                || match id {
                    UnitId::Dest(d) => self.by_dest.get(d).is_some_and(|ids| !ids.is_empty()),
                    UnitId::Route(e) => self.peers.contains_key(e),
                }
        });
        for unit in self.units.values_mut() {
            unit.cold_return.take_if(|cold_return| cold_return.is_over(now));
            if let Some(ramp) = unit.ramp.take_if(|ramp| ramp.is_over(now, self.warm_up_time)) {
                unit.rate = ramp.observed_limit().map_or(unit.rate, |limit| unit.rate.min(limit));
            }
            if now > unit.used_at + IDLE_AFTER && unit.calls == 0 {
                unit.predictor = Predictor::default();
                unit.used_at = now;
            }
        }
        self.keys.retain(|_, key_queue| !key_queue.messages.is_empty() || now < key_queue.paused_until);
    }

    fn set_check_timer(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let next = self.queue.first_deadline();
        let due = next.map_or(QUIET_CHECK_INTERVAL, |d| d.saturating_sub(now + self.guard).max(1));
        let after = self.check_interval.min(due);
        if (self.any_idle_connections || !self.messages.is_empty())
            && (now >= self.next_check_at || now + after < self.next_check_at)
        {
            self.next_check_at = now + after;
            actions.push(Action::SetTimer { nonce: CHECK_NONCE, after });
        }
    }
}
