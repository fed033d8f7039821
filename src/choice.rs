//! All decisions of a courier. Its types, events and actions are in `src/interface.rs`.
use crate::discovery_schedule::{ASK_NONCE, DiscoverySchedule};
use crate::health::BAD_STEP;
use crate::hold::{Hold, Rank, Turn};
use crate::interface::*;
use crate::roster::Roster;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// State 1 factor; above 1 the predictor diverges, below 1 it decays to zero (report, 7.3).
const A: f64 = 1.0;
/// State 2 factor; the report finds 0.5 to 1.0 best (7.4).
const B: f64 = 0.75;
/// State 3 factor; 1 is the report's optimum (7.5.3).
const C: f64 = 1.0;
/// How many R·L an answer stays recent; slightly above 1 (report, 7.5.5).
const D: f64 = 1.1;
/// Idle time after which a destination is forgotten (design page: a minute).
pub(crate) const FORGET: Nanos = 60 * SECOND;
/// Largest share of the slots for one destination (design page).
const SHARE_CAP: f64 = 0.75;
/// The same while it is failing or slow (design page).
const SHARE_CAP_ILL: f64 = 0.5;
/// Weight of the newest latency in the mean used for silence, a usual smoothing.
const MEAN_STEP: f64 = 0.2;
/// Share of the slots that calls past the silence threshold may hold: the rest is for calls that answer.
const LOST_SHARE: f64 = 0.25;
/// Least pace, in calls a second: a small part of a limit is no measure of when one message may go.
pub(crate) const LEAST_RATE: f64 = 2.0;
/// Pace left after a refusal above a limit; milder than halving since the window halves as well.
const PACE_CUT: f64 = 0.8;
/// Pace gained by a success, as a part of it.
const PACE_GAIN: f64 = 0.1;
/// The same above an even share of a listed rate, where it is taken from other couriers.
const PACE_GAIN_MORE: f64 = 0.015;
/// Least time between two cuts of a pace: refusals closer together tell of the same burst.
const CUT_REST: Nanos = SECOND / 2;
/// First rest after a full answer, in times between the calls of an even share of the limit.
const REST_START: f64 = 0.25;
/// Factor on the rest after a full answer when the retry meets another.
const REST_GROW: f64 = 2.0;
/// Factor on it when the retry is served: rests settle where three retries in four are.
const REST_EASE: f64 = 0.8;
/// Calls that a pace may save up, in seconds of it.
const PACE_BURST: f64 = 0.25;
/// Time constant of rate averages: a few spans of a counted limit.
const RATE_TAU: f64 = 3.0;
/// Rank of messages past their aim against fresh ones of the same worth.
const STALE_RANK: f64 = 0.5;
/// Largest part of the holding room for one ailing destination, so that it cannot fill the hold.
const HOLD_ILL: f64 = 0.35;
/// Calls in flight that an endpoint in another zone counts as more: crossings are priced and slow.
const FAR: f64 = 1.0;
/// Calls in flight that an idle connection outweighs: a new one is priced and slow.
const WARM: f64 = 0.5;
/// Divisor of the time that idle connections are kept when a table is full: a courier meets few failures.
const KEEP_CUT: Nanos = 8;
/// Part by which a success lengthens the time that idle connections are kept: far less than a failure takes.
const KEEP_GAIN: f64 = 0.02;
/// A try that is owed is made once no more than so many times of silence are left: others may go first.
const OWED_LAST: f64 = 3.0;
/// Rounds kept free before a deadline, for the last answer to be in time.
const GUARD_STEPS: u64 = 3;
/// Time between looks at the hold when nothing happens.
const LOOK: Nanos = SECOND / 50;
/// The same after looks at which nothing had happened.
const LOOK_OUT: Nanos = SECOND / 10;
/// Time between looks at what may be forgotten.
const SWEEP: Nanos = SECOND / 2;
/// What a look leaves of the service counted by class: a minute's worth stays.
const SERVICE_FADE: f64 = 0.99;

const LOOK_NONCE: u64 = 1;

/// Angelin's three-state machine; its records are in `src/state.rs`.
impl Predictor {
    fn state(&self, now: Nanos, load: f64) -> State {
        match self.out.range((self.answered, MsgId(0))..).next() {
            Some((sent, _)) => State::Out(secs(now - sent)),
            None if secs(now - self.answered) <= D * self.recent * load => State::Recent,
            None => State::Idle,
        }
    }

    /// P, once there is an M.
    fn predict(&self, now: Nanos, load: f64) -> Option<f64> {
        let least = self.least?;
        Some(match self.state(now, load) {
            State::Idle => A * least * load,
            State::Out(age) => age + B * least * load,
            State::Recent => C * self.recent,
        })
    }

    fn served(&mut self, now: Nanos, latency: f64) {
        self.mean += (latency - self.mean) * if self.least.is_some() { MEAN_STEP } else { 1.0 };
        self.least = Some(self.least.map_or(latency, |m| m.min(latency)));
        (self.recent, self.answered) = (latency, now);
    }
}

impl Unit {
    fn grow(&mut self, now: Nanos) {
        let before = self.pace;
        if f64::from(self.calls) + 1.0 >= self.window {
            self.window += 1.0;
        }
        let gain = if self.pace < self.even { PACE_GAIN } else { PACE_GAIN_MORE };
        let least = (if self.scarce() { self.even } else { LEAST_RATE }).min(self.pace * 2.0);
        self.pace = (self.pace * (1.0 + gain)).max(least).min(self.listed.unwrap_or(f64::INFINITY));
        if self.scarce() && self.held == 0 {
            self.pace = self.pace.max(LEAST_RATE);
        }
        // Nor does it grow past the bound of a cold return, from where it would go on once that is over.
        self.pace = self.pace.min(self.rate(now).max(before));
    }

    /// Takes up what an answer tells of the limit; it is not exact, so it moves the figure part of the way.
    fn told(&mut self, limit: f64, couriers: f64) {
        if limit <= 0.0 {
            self.pace = if self.cut == 0 { f64::INFINITY } else { self.pace };
            (self.listed, self.even) = (None, f64::INFINITY);
        } else {
            let old = self.listed.unwrap_or(limit);
            let new = old + (limit - old) * MEAN_STEP;
            self.listed = Some(new);
            self.divide(couriers);
        }
    }

    fn shrink(&mut self) {
        self.window = (self.window / 2.0).max(1.0);
    }

    /// Whether an even share of the limit is so small that what one courier is told has to hold for all.
    pub(crate) fn scarce(&self) -> bool {
        self.even < LEAST_RATE / 2.0
    }

    /// Guards against sending above a limit: a refusal slows the pace as well, to an even share at most where
    /// it is small. A lot decides when the next call may go: refused together, they must not return together.
    fn refused(&mut self, now: Nanos, random: &mut Random) {
        self.tokens = if self.scarce() { 2.0 * random.unit() - 1.0 } else { self.tokens.min(0.0) };
        if now < self.cut {
            return;
        }
        self.cut = now + CUT_REST;
        let base = if self.pace.is_finite() { self.pace } else { self.sent_rate.now(now, RATE_TAU) };
        let base = if self.scarce() { base.min(self.even) } else { base };
        let least = self.even.min(LEAST_RATE) / 4.0;
        self.pace = (base * PACE_CUT).max((base / 2.0).clamp(least, LEAST_RATE));
    }

    fn may_call(&self, now: Nanos, most: f64) -> bool {
        let paced = self.ramp.as_ref().is_none_or(|ramp| ramp.may_send(now)) && self.tokens >= 1.0;
        now >= self.wait_until && f64::from(self.calls) < most && paced
    }
}

/// The decisions of one courier.
#[derive(Default)]
pub struct Dispatcher {
    pub(crate) settings: Settings,
    /// All that is listed. Full records are made of what a message comes for, and only of that.
    pub(crate) roster: Roster,
    pub(crate) peers: BTreeMap<EndpointId, Peer>,
    pub(crate) by_dest: BTreeMap<DestId, Vec<EndpointId>>,
    pub(crate) units: BTreeMap<UnitId, Unit>,
    /// Units whose predictor may not be idle, or that have calls out: only these bear on L.
    pub(crate) active: BTreeSet<UnitId>,
    /// No call may begin, and some could again since the last round.
    pub(crate) calls_paused: bool,
    pub(crate) calls_resumed: bool,
    pub(crate) messages: BTreeMap<MsgId, Message>,
    /// Those of them that have not ended.
    open: usize,
    /// Those of them that are neither out nor ended, by where they wait.
    pub(crate) hold: Hold,
    /// Messages to be looked at by themselves: their own state has changed.
    looks: Vec<MsgId>,
    /// Messages that came of late, by when.
    fresh: VecDeque<(Nanos, MsgId)>,
    pub(crate) calls: BTreeMap<u64, Call>,
    trials: usize,
    pub(crate) keys: BTreeMap<OrderKey, KeyLine>,
    /// What was learned of each kind of destination.
    by_kind: Vec<KindStats>,
    quotas: Vec<Tokens>,
    service: Service,
    /// What a unit of each class's worth counts just now.
    weights: Vec<f64>,
    pub(crate) couriers: f64,
    pub(crate) cold: Nanos,
    pub(crate) fall: Nanos,
    pub(crate) slots: usize,
    /// Slots that calls without hope of a quick answer may hold.
    pub(crate) lost_slots: usize,
    /// Time before a deadline at which nothing more is begun.
    pub(crate) guard: Nanos,
    load: f64,
    next_call: u64,
    look_at: Nanos,
    look: Nanos,
    sweep_at: Nanos,
    warm: bool,
    pub(crate) schedule: DiscoverySchedule,
    /// Until when the list may be acted on, if that is bounded.
    pub(crate) list_until: Option<Nanos>,
    pub(crate) random: Random,
}

impl Dispatcher {
    /// A courier that knows its settings and nothing else. The seed feeds its jitter.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let start = Dispatcher { load: 1.0, look: LOOK, ..Dispatcher::default() };
        let mut courier = Dispatcher { random: Random(seed), ..start };
        courier.apply_settings(settings);
        courier
    }

    /// Takes up settings, at the start or in place of earlier ones; what was learned stays.
    pub fn apply_settings(&mut self, settings: Settings) {
        let learned = KindStats::new(settings.idle_close.unwrap_or(SECOND), REST_START);
        self.couriers = f64::from(settings.relays.unwrap_or(1).max(1));
        self.units.values_mut().for_each(|unit| unit.divide(self.couriers));
        self.slots = settings.slots.map_or(usize::MAX, |s| s as usize);
        self.lost_slots = (self.slots as f64 * LOST_SHARE).ceil() as usize;
        self.guard = GUARD_STEPS * settings.round_interval.unwrap_or(LOOK);
        self.quotas.resize_with(settings.tenants.len(), Tokens::default);
        self.service.resize(settings.classes.len());
        self.by_kind.resize(settings.kinds.len(), learned);
        self.cold = settings.rules.warm_up_time.unwrap_or(10 * SECOND).max(1);
        self.fall = settings.rules.overload_time.unwrap_or(SECOND);
        self.schedule.settle(&settings);
        self.settings = settings;
    }

    /// Takes in all events of a round, then decides.
    pub fn on_round(&mut self, now: Nanos, events: &[Event], actions: &mut Vec<Action>) {
        let mut fresh = Vec::new();
        for event in events {
            match event {
                Event::List { scope, entries } => self.take_list(now, *scope, entries, actions),
                Event::Request(request) => self.take_request(now, request, &mut fresh, actions),
                Event::AttemptEnded { .. } => self.take_outcome(now, event, actions),
                Event::Abandoned { msg } => self.end(*msg),
                Event::ProbeEnded { endpoint, outcome, .. } => self.judge(now, *endpoint, *outcome, actions),
                Event::Timer { nonce: ASK_NONCE } => self.ask(now, 0, actions),
                Event::Timer { .. } | Event::StreamStarted { .. } | Event::RelayMessage { .. } => {}
            }
        }
        self.ask_first(now, actions);
        let quiet = events.iter().all(|e| matches!(e, Event::Timer { .. }));
        self.look = if quiet { (self.look * 2).min(LOOK_OUT) } else { LOOK };
        self.weights = self.service.weights(self.settings.worst_class_weight);
        self.watch_silence(now, actions);
        self.measure_load(now);
        self.admit(now, &fresh, actions);
        self.dispatch(now, actions);
        self.sweep(now, actions);
        self.set_look(now, actions);
    }

    /// L: predictions over least times, at the fixed point of the report's recursion (exception 1 in
    /// docs/design.md). Idle units cancel out there, since a = 1: run round by round they would carry a
    /// passing delay on for ever. Units in outage are left out, lest a hung one get healthy ones refused.
    fn measure_load(&mut self, now: Nanos) {
        let (mut measured, mut least) = (0.0, 0.0);
        let mut active = std::mem::take(&mut self.active);
        active.retain(|id| {
            let Some(predictor) = self.units.get(id).map(|u| &u.predictor) else { return false };
            let state = predictor.state(now, self.load);
            if let Some(m) = predictor.least.filter(|_| !self.ailing(*id)) {
                match state {
                    State::Idle => {}
                    State::Out(age) => (measured, least) = (measured + age, least + (1.0 - B) * m),
                    State::Recent => (measured, least) = (measured + C * predictor.recent, least + m),
                }
            }
            !matches!(state, State::Idle) || !predictor.out.is_empty()
        });
        self.active = active;
        self.load = if least > 0.0 { (measured / least).max(1.0) } else { 1.0 };
    }

    /// Endpoints of a destination that the list names, neither draining nor gone.
    pub(crate) fn listed(&self, dest: DestId) -> impl Iterator<Item = &Peer> {
        let peers = self.by_dest.get(&dest).into_iter().flatten().filter_map(|e| self.peers.get(e));
        peers.filter(|p| p.entry.condition == Condition::Active)
    }

    pub(crate) fn endpoints(&self, id: UnitId) -> impl Iterator<Item = &Peer> {
        let ids: &[EndpointId] = match &id {
            UnitId::Dest(d) => self.by_dest.get(d).map_or(&[], |v| v),
            UnitId::Route(e) => self.peers.get(e).map_or(&[], |p| std::slice::from_ref(&p.entry.id)),
        };
        ids.iter().filter_map(|e| self.peers.get(e)).filter(|p| p.entry.condition == Condition::Active)
    }

    /// P of a unit in seconds plus its wait in the hold. What empties the hold is the window, or the pace
    /// and a told wait where those are slower (exception 2).
    fn expected(&self, now: Nanos, id: UnitId, ahead: u32) -> f64 {
        let Some(unit) = self.units.get(&id) else { return 0.0 };
        let calls = (f64::from(ahead) / self.bundle(id)).ceil();
        let ramp = unit.ramp.as_ref().map_or(0.0, |ramp| ramp.time_for(now, calls));
        let Some(p) = unit.predictor.predict(now, self.load) else { return ramp };
        let by_window = calls / unit.window.min(self.cap(id)).max(1.0) * unit.predictor.recent;
        let told = secs(unit.wait_until.saturating_sub(now));
        p + by_window.max(told + calls / unit.pace).max(ramp)
    }

    fn bundle(&self, id: UnitId) -> f64 {
        let kind = self.endpoints(id).next().and_then(|p| self.settings.kinds.get(p.entry.kind.0));
        f64::from(kind.and_then(|k| k.max_batch).unwrap_or(1).max(1))
    }

    /// Most calls out to one unit.
    fn cap(&self, id: UnitId) -> f64 {
        let Some(slots) = self.settings.slots else { return f64::INFINITY };
        let slow = self.endpoints(id).any(|p| p.health != Health::Up);
        (f64::from(slots) * if slow { SHARE_CAP_ILL } else { SHARE_CAP }).floor().max(1.0)
    }

    fn take_request(
        &mut self,
        now: Nanos,
        request: &Request,
        fresh: &mut Vec<MsgId>,
        actions: &mut Vec<Action>,
    ) {
        // Guards against an id that comes twice: what it stood for before is over.
        self.end(request.msg);
        self.wake(now, request.dest, actions);
        let known = || self.settings.classes.get(request.class.0).cloned();
        let class = request.rules.clone().or_else(known).unwrap_or_default();
        let over = request.tenant.is_some_and(|t| self.over_share(now, t));
        let kept = self.settings.over_quota_worth.filter(|_| over).unwrap_or(1.0);
        let key = request.key.filter(|_| class.ordered);
        if let Some(key) = key {
            self.keys.entry(key).or_default().line.push_back(request.msg);
        }
        let mut message = Message::new(request, class, key, now);
        message.worth = message.rules.worth.unwrap_or(1.0) * kept;
        self.service.asked(request.class.0, message.worth);
        message.aim_at =
            (message.deadline + message.rules.target_latency).saturating_sub(message.rules.lifetime);
        self.messages.insert(request.msg, message);
        self.open += 1;
        fresh.push(request.msg);
    }

    /// Whether a tenant's traffic here exceeds an even part of its quota over the last seconds.
    fn over_share(&mut self, now: Nanos, tenant: TenantId) -> bool {
        let quota = self.settings.tenants.get(tenant.0).and_then(|t| t.quota);
        let (Some(quota), Some(tokens)) = (quota, self.quotas.get_mut(tenant.0)) else { return false };
        let rate = quota / self.couriers;
        !tokens.take(now, rate, (rate * RATE_TAU).max(1.0))
    }

    /// Refuses on arrival what could not be served in the time it has left, as predicted.
    fn admit(&mut self, now: Nanos, fresh: &[MsgId], actions: &mut Vec<Action>) {
        for &id in fresh {
            let Some(message) = self.messages.get(&id).filter(|m| !m.ended) else { continue };
            let unit = self.best_unit(now, message);
            let held = unit.and_then(|u| self.units.get(&u)).map_or(0, |u| u.held);
            let wait = unit.map_or(0.0, |u| self.expected(now, u, self.ahead(now, u, message)));
            let room = f64::from(self.settings.max_queued.unwrap_or(u32::MAX));
            let crowded = unit.is_some_and(|u| self.ailing(u)) && f64::from(held) > room * HOLD_ILL;
            if (wait > self.left(now, message) || crowded) && !message.owed() {
                let why = if crowded { GiveUpReason::DestinationQueueFull } else { GiveUpReason::TooSlow };
                self.give_up(now, id, wait, why, actions);
            } else {
                self.hold_in(now, id, unit);
                self.fresh.push_back((now, id));
                unit.and_then(|u| self.units.get_mut(&u)).into_iter().for_each(|u| u.arrived += 1.0);
            }
        }
        self.make_room(now, actions);
    }

    /// Time left, in seconds, in which a message may be served.
    fn left(&self, now: Nanos, message: &Message) -> f64 {
        secs(message.deadline.saturating_sub(now + self.guard))
    }

    /// Gives up the least of what is held once the hold is full, so that arrivals are not turned away unseen.
    fn make_room(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let most = self.settings.max_queued.map_or(usize::MAX, |m| m as usize);
        let surplus = (self.open + 1).saturating_sub(most);
        if surplus == 0 {
            return;
        }
        let mut worst: BTreeSet<_> =
            self.hold.all().filter_map(|(dest, lane, queue)| self.last(now, dest, lane, queue)).collect();
        for _ in 0..surplus {
            let Some((_, id, dest, lane)) = worst.pop_last() else { return };
            self.give_up(now, id, 0.0, GiveUpReason::QueueFull, actions);
            let next = self.hold.lane(dest, &lane).and_then(|queue| self.last(now, dest, &lane, queue));
            worst.extend(next);
        }
    }

    /// The unit of a message's destination that would serve it soonest.
    fn best_unit(&self, now: Nanos, message: &Message) -> Option<UnitId> {
        let units = self.listed(message.dest).map(|p| p.unit);
        let held = |u: UnitId| self.units.get(&u).map_or(0, |u| u.held);
        units.min_by_key(|u| (self.ailing(*u), nanos(self.expected(now, *u, held(*u))), *u))
    }

    /// What a try is owed to, then the most urgent worth: what meets its aim before what is late by then, by
    /// worth, then aim.
    pub(crate) fn rank(&self, now: Nanos, message: &Message) -> Rank {
        let done = self.done(now, message.lane.and_then(|lane| lane.unit));
        let late = if done > message.aim_at { STALE_RANK } else { 1.0 };
        let factor = if message.owed() { f64::INFINITY } else { late };
        (-(message.worth * self.weights[message.class] * factor * 1e6) as i64, message.aim_at)
    }

    /// Drops what no longer fits its time and sends the rest, best first, as far as slots, windows, pace,
    /// waits, health, order and effect allow. Looks at what something happened to (`src/hold.rs`).
    fn dispatch(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let mut looks = std::mem::take(&mut self.looks);
        looks.extend(self.hold.alarmed(now));
        let resumed = std::mem::take(&mut self.calls_resumed);
        if resumed || self.list_awaited(now) > 0 || self.list_lapsed(now) {
            looks.extend(self.messages.keys());
        }
        for id in looks {
            let Some(message) = self.messages.get(&id).filter(|m| m.lane.is_some()) else { continue };
            match self.hopeless(now, message) {
                Some((wait, why)) => self.give_up(now, id, wait, why, actions),
                None => self.hold_in(now, id, message.lane.and_then(|lane| lane.unit)),
            }
        }
        let visits = self.hold.visits(now, self.slots.saturating_sub(self.calls.len()));
        let mut heads = BTreeSet::new();
        for dest in &visits {
            for endpoint in self.by_dest.get(dest).into_iter().flatten() {
                let unit = self.peers.get(endpoint).and_then(|p| self.units.get_mut(&p.unit));
                unit.into_iter().for_each(|u| u.refill(now, PACE_BURST));
            }
            self.drop_hopeless(now, *dest, actions);
            for (lane, queue) in self.hold.lanes(*dest) {
                self.first(now, lane, queue, &mut heads);
            }
        }
        // What has just come may go where others wait for a trial, so it is asked for by itself.
        while self.fresh.front().is_some_and(|(came, _)| now >= came + LOOK) {
            self.fresh.pop_front();
        }
        for (_, id) in &self.fresh {
            let message =
                self.messages.get(id).filter(|m| m.lane.is_some_and(|lane| lane.turn == Turn::Ready));
            let message = message.filter(|m| self.listed(m.dest).any(|p| self.suspect(p)));
            heads.extend(message.map(|m| (self.rank(now, m), *id)));
        }
        let (mut open, mut shut) = (Opened::new(), BTreeSet::new());
        while let Some((_, id)) = heads.pop_first() {
            let message = &self.messages[&id];
            let (dest, lane) = (message.dest, message.lane.expect("heads are held"));
            if shut.contains(&(dest, lane)) && !self.is_fresh(now, message) {
                continue;
            }
            let salt = self.random.next();
            let Some(endpoint) = self.choose(now, id, &open, salt) else {
                shut.insert((dest, lane));
                continue;
            };
            self.send(now, id, endpoint, &mut open, actions);
            if open.get(&endpoint).is_some_and(|(_, room)| *room > 0) {
                // A call that others fit into: all of the destination's may join it.
                shut.retain(|(d, _)| *d != dest);
                for (lane, queue) in self.hold.lanes(dest) {
                    self.first(now, lane, queue, &mut heads);
                }
            } else if let Some(queue) = self.hold.lane(dest, &lane) {
                self.first(now, &lane, queue, &mut heads);
            }
        }
        for dest in visits {
            self.drop_hopeless(now, dest, actions);
            self.expect(now, dest);
        }
    }

    /// Gives up what cannot be served in time at a destination any more.
    fn drop_hopeless(&mut self, now: Nanos, dest: DestId, actions: &mut Vec<Action>) {
        let left = self.guard + nanos(self.soonest(now, dest, Nanos::MAX));
        for id in self.hold.due_by(dest, now, left) {
            if let Some((wait, why)) = self.hopeless(now, &self.messages[&id]) {
                self.give_up(now, id, wait, why, actions);
            }
        }
    }

    /// Why a held message cannot be served any more, with the time it would take.
    fn hopeless(&self, now: Nanos, message: &Message) -> Option<(f64, GiveUpReason)> {
        let left = self.left(now, message);
        let tired = self.settings.max_attempts.is_some_and(|most| message.tries >= most);
        let ran = message.risk.zip(message.rules.resend_window());
        let forgotten = ran.is_some_and(|(risk, memory)| now + self.guard >= risk.sent + memory);
        let rest = secs(message.full.unwrap_or(0).saturating_sub(now));
        let soonest = self.soonest(now, message.dest, self.rested(now, message)) + rest;
        let why = match () {
            () if left <= 0.0 => GiveUpReason::DeadlineReached,
            () if message.owed() => return None,
            () if tired => GiveUpReason::AttemptsExhausted,
            () if forgotten => GiveUpReason::ResendWindowOver,
            () if self.outlasted(now, message) => GiveUpReason::NoUsableList,
            () if soonest > left => GiveUpReason::TooSlow,
            () => return None,
        };
        Some((soonest, why))
    }

    /// Least time in which a destination would have served a message that is sent now, in seconds.
    pub(crate) fn soonest(&self, now: Nanos, dest: DestId, rested: Nanos) -> f64 {
        let time = |p: &Peer| {
            let done = self.units.get(&p.unit)?.predictor.predict(now, self.load).unwrap_or(0.0);
            Some(done + secs(self.trial_wait(now, p, rested)))
        };
        let soonest = self.listed(dest).filter_map(time).min_by(f64::total_cmp);
        let awaited = secs(self.list_awaited(now));
        soonest.map_or(awaited, |soonest| soonest.max(awaited))
    }

    /// Whether a message has only just come.
    fn is_fresh(&self, now: Nanos, message: &Message) -> bool {
        message.tries == 0 && now < message.came + LOOK
    }

    /// How long an endpoint must not have been called for a message to go there whatever its health. What has
    /// just come may go after as long as a cold start lasts: what is known is that old by then. What a try is
    /// owed to may go in any case towards its end (exception 12).
    fn rested(&self, now: Nanos, message: &Message) -> Nanos {
        let last = |unit| self.left(now, message) < OWED_LAST * self.silence(unit);
        match message.owed() && self.best_unit(now, message).is_some_and(last) {
            true => 0,
            false if self.is_fresh(now, message) => self.cold,
            false => Nanos::MAX,
        }
    }

    /// Time until a message may go to an endpoint as far as health goes.
    pub(crate) fn trial_wait(&self, now: Nanos, peer: &Peer, rested: Nanos) -> Nanos {
        let free = now >= peer.called.saturating_add(rested) || !self.suspect(peer);
        if free { 0 } else { peer.next_trial.saturating_sub(now) }
    }

    /// The endpoint to call: allowed, open, least busy, near, connected; by lot, lest all couriers fill one.
    fn choose(&self, now: Nanos, message: MsgId, open: &Opened, salt: u64) -> Option<EndpointId> {
        if self.calls_paused || self.list_lapsed(now) {
            return None;
        }
        let message = &self.messages[&message];
        let free = self.calls.len() < self.slots;
        // Where a repeat matters, the endpoint has to be one that drops it.
        let bound = message.lane.and_then(|lane| lane.bound);
        let (may_try, rested) = (self.trials < self.lost_slots, self.rested(now, message));
        let shuns = |p: &Peer| p.shun.get(&message.class).is_some_and(|until| now < *until);
        let other = self.listed(message.dest).any(|p| !shuns(p));
        let mut best = None;
        for peer in self.listed(message.dest) {
            let Some(unit) = self.units.get(&peer.unit) else { continue };
            let joins = open.get(&peer.entry.id).is_some_and(|(_, room)| *room > 0);
            let known = matches!(peer.health, Health::Returning(_)) || !self.suspect(peer);
            let open_now = self.trial_wait(now, peer, rested) == 0 && (may_try || known);
            let window = if rested == 0 { f64::INFINITY } else { unit.window };
            let may = joins || free && open_now && unit.may_call(now, window.min(self.cap(peer.unit)));
            if !may || bound.is_some_and(|bound| !bound.allows(&peer.entry)) || other && shuns(peer) {
                continue;
            }
            let far = if self.settings.zone.is_some_and(|z| z != peer.entry.zone) { FAR } else { 0.0 };
            let warm = if joins || !peer.warm.is_empty() { WARM } else { 0.0 };
            let rival = (f64::from(peer.calls) + far - warm, mix(salt, peer.entry.id.0), peer.entry.id);
            if best.is_none_or(|b| rival < b) {
                best = Some(rival);
            }
        }
        best.map(|(_, _, id)| id)
    }

    fn send(&mut self, now: Nanos, id: MsgId, to: EndpointId, open: &mut Opened, actions: &mut Vec<Action>) {
        let unit_id = self.peers[&to].unit;
        let suspect = self.suspect(&self.peers[&to]);
        let silence = self.silence(unit_id);
        let down = self.peers[&to].health == Health::Down;
        let gap = self.cold_gap(now, &self.peers[&to]);
        let bundle = if down { 1 } else { self.bundle(unit_id) as u32 };
        let limit = self.limit(now, &self.messages[&id], unit_id);
        let peer = self.peers.get_mut(&to).expect("chosen from the list");
        let unit = self.units.get_mut(&unit_id).expect("listed endpoints have units");
        let call = match open.get_mut(&to).filter(|(_, room)| *room > 0) {
            Some((call, room)) => {
                *room -= 1;
                *call
            }
            None => {
                self.next_call += 1;
                open.insert(to, (self.next_call, bundle - 1));
                let keep = self.by_kind.get(peer.entry.kind.0).map_or(0, |k| k.keep);
                let idle = peer.warm.pop().map(|used| now - used);
                if idle.is_some_and(|idle| idle > keep) {
                    peer.warm.clear();
                    actions.push(Action::CloseIdle { endpoint: to });
                }
                let idle = idle.filter(|idle| *idle <= keep);
                let trial = suspect && (down || peer.health == Health::Up);
                self.trials += usize::from(trial);
                self.calls.insert(self.next_call, Call { open: 0, judged: false, idle, trial });
                unit.calls += 1;
                unit.tokens -= 1.0;
                unit.sent_rate.add(now, RATE_TAU);
                unit.ramp.iter_mut().for_each(|ramp| ramp.sent(now));
                peer.calls += 1;
                peer.called = now;
                if suspect {
                    // Dead endpoints must not hold slots all the time.
                    let trial = nanos(silence).max(self.settings.dial_timeout.unwrap_or(0));
                    peer.next_trial = now + if peer.health == Health::Down { gap.max(trial) } else { gap };
                }
                self.next_call
            }
        };
        self.calls.get_mut(&call).expect("just opened").open += 1;
        unit.predictor.out.insert((now, id));
        self.active.insert(unit_id);
        unit.used = now;
        self.unhold(id);
        let message = self.messages.get_mut(&id).expect("held");
        message.out = Some(Attempt::new(message.attempts, to, unit_id, call, now));
        message.attempts += 1;
        message.tries += 1;
        actions.push(Action::Send { msg: id, endpoint: to, timeout: limit });
    }

    /// Time-out of an attempt: what may not be repeated waits as long as it can, the rest until the call
    /// counts as silent, doubled with each try, since a message may itself be a long one.
    fn limit(&self, now: Nanos, message: &Message, unit: UnitId) -> Nanos {
        let left = message.deadline.saturating_sub(now + self.guard).max(1);
        match message.rules.effect {
            Effect::Unsafe => left,
            _ => left.min(nanos(self.silence(unit) * f64::from(1 << message.tries.min(4)))),
        }
    }

    fn take_outcome(&mut self, now: Nanos, event: &Event, actions: &mut Vec<Action>) {
        let &Event::AttemptEnded {
            msg: id, attempt, outcome, latency, message_done: no_more, report, ..
        } = event
        else {
            return;
        };
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(out) = message.out.take_if(|out| out.number == attempt) else { return };
        message.tries -= u32::from(outcome == Outcome::LocalFault);
        let ran = matches!(outcome, Outcome::Error | Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        if ran && message.risk.is_none() {
            let zone = self.peers.get(&out.endpoint).map(|p| p.entry.zone);
            message.risk = Some(UnconfirmedAttempt { sent: out.sent, endpoint: out.endpoint, zone });
        }
        if let Some(key) = message.key
            && matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled)
        {
            let rest = self.settings.rules.order_settle_time.unwrap_or(0);
            self.keys.entry(key).or_default().rest_until = now + rest;
        }
        let (ended, unit_id) = (message.ended || no_more, out.unit);
        self.hold.touch(message.dest);
        if let Some(unit) = self.units.get_mut(&unit_id) {
            unit.predictor.out.remove(&(out.sent, id));
            if let Some(limit) = report.limit {
                unit.told(limit, self.couriers);
            }
        }
        let class = message.class;
        let late = message.rules.late_worth.unwrap_or(0.0);
        let share = if outcome == Outcome::Ok { message.share_at(now, late) } else { 0.0 };
        self.service.earned(class, message.worth * share);
        self.learn_rest(now, id, &out, outcome);
        match outcome {
            Outcome::Timeout => self.shun(now, out.endpoint, class),
            Outcome::Ok => _ = self.peers.get_mut(&out.endpoint).and_then(|p| p.shun.remove(&class)),
            _ => {}
        }
        let idle = self.calls.get(&out.call).and_then(|c| c.idle);
        let first = self.close_call(now, &out, outcome);
        if first {
            self.learn_keep(now, &out, outcome, idle);
        }
        let stale = outcome == Outcome::Reset && idle.is_some();
        self.learn(now, &out, outcome, latency, first && !stale);
        if first && !stale {
            self.judge(now, out.endpoint, outcome, actions);
        }
        if ended {
            self.end(id);
        } else {
            self.hold_in(now, id, Some(unit_id));
            self.looks.push(id);
        }
    }

    /// Spaces retries after full answers, by even shares of the limit or waits told by the kind: longer while
    /// retries meet full answers again, shorter as they are served (exception 10). Guards against many
    /// couriers' few retries using a limit up, above all one that refused calls count against.
    fn learn_rest(&mut self, now: Nanos, id: MsgId, out: &Attempt, outcome: Outcome) {
        let Some(kind) = self.peers.get(&out.endpoint).map(|p| p.entry.kind.0) else { return };
        let Some(kind) = self.by_kind.get_mut(kind) else { return };
        let Some(message) = self.messages.get_mut(&id) else { return };
        let even = self.units.get(&out.unit).map(|u| u.even).filter(|e| e.is_finite());
        let base = if kind.told > 0.0 { kind.told / REST_START } else { even.map_or(1.0, |e| 1.0 / e) };
        let again = message.full.is_some();
        match outcome {
            Outcome::Overloaded { retry_after: None } => {
                let most = secs(self.settings.classes.iter().map(|c| c.lifetime).max().unwrap_or(SECOND));
                let grown = (kind.rest * REST_GROW).min((most / base).max(REST_START));
                kind.rest = if again { grown } else { kind.rest };
                message.full = Some(now + nanos(kind.rest * base * (0.5 + self.random.unit())));
            }
            Outcome::Overloaded { retry_after: Some(wait) } => {
                kind.told += (secs(wait) - kind.told) * if kind.told > 0.0 { MEAN_STEP } else { 1.0 };
            }
            Outcome::Ok if again => kind.rest = (kind.rest * REST_EASE).max(REST_START / 4.0),
            _ => {}
        }
    }

    /// Books one outcome of a call; true for the first, which speaks for all: they share one fate.
    fn close_call(&mut self, now: Nanos, out: &Attempt, outcome: Outcome) -> bool {
        let Some(call) = self.calls.get_mut(&out.call) else { return false };
        let first = !std::mem::replace(&mut call.judged, true);
        call.open -= 1;
        if call.open == 0 {
            self.trials -= usize::from(call.trial);
            self.calls.remove(&out.call);
            if let Some(unit) = self.units.get_mut(&out.unit) {
                unit.calls = unit.calls.saturating_sub(1);
            }
            if let Some(peer) = self.peers.get_mut(&out.endpoint) {
                peer.calls = peer.calls.saturating_sub(1);
                if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Overloaded { .. }) {
                    peer.warm.push(now);
                    self.warm = true;
                }
            }
        }
        first
    }

    /// Cuts the keep of idle connections when a reused one fails unseen (no matter of health; a time-out only
    /// past any idle time yet served) or one call finds none and the next is served; a success adds a little.
    fn learn_keep(&mut self, now: Nanos, out: &Attempt, outcome: Outcome, idle: Option<Nanos>) {
        let Some(peer) = self.peers.get_mut(&out.endpoint) else { return };
        let Some(kind) = self.by_kind.get_mut(peer.entry.kind.0) else { return };
        // Whether the table was full or the endpoint is down, the next call there tells.
        let unmet = peer.unmet.take();
        peer.unmet = (outcome == Outcome::ConnectFailed && peer.bad < BAD_STEP).then_some(now);
        let stale = match outcome {
            Outcome::Ok => unmet.is_some_and(|failed| now < failed + self.fall),
            Outcome::Reset => idle.is_some() && peer.served > out.sent,
            Outcome::Timeout => idle.is_some_and(|i| i > kind.proven) && peer.served > out.sent,
            _ => false,
        };
        if stale && now >= kind.keep_cut {
            let kept = idle.filter(|_| outcome != Outcome::Ok).unwrap_or(kind.keep).min(kind.keep);
            kind.keep = kept / KEEP_CUT;
            kind.keep_cut = now + CUT_REST;
        } else if outcome == Outcome::Ok {
            let most = self.settings.idle_close.unwrap_or(SECOND);
            kind.proven = kind.proven.max(idle.unwrap_or(0));
            kind.keep = nanos(secs(kind.keep) * (1.0 + KEEP_GAIN)).clamp(LOOK, most);
        }
    }

    /// Feeds an outcome to the predictor, window and pace. Late outcomes teach as well.
    fn learn(&mut self, now: Nanos, out: &Attempt, outcome: Outcome, latency: Nanos, first: bool) {
        let Some(peer) = self.peers.get(&out.endpoint) else { return };
        let limited = peer.health != Health::Down;
        let age = if peer.health == Health::Up { 0.0 } else { secs(now - peer.since) };
        let Some(unit) = self.units.get_mut(&out.unit) else { return };
        self.active.insert(out.unit);
        match outcome {
            Outcome::Ok => {
                unit.predictor.served(now, secs(latency));
                if now > unit.cut + CUT_REST {
                    unit.proven = unit.proven.max(unit.sent_rate.now(now, RATE_TAU));
                }
            }
            Outcome::Timeout => (unit.predictor.recent, unit.predictor.answered) = (secs(latency), now),
            _ => {}
        }
        if let Outcome::Overloaded { retry_after: Some(wait) } = outcome
            && now + wait > unit.wait_until
        {
            // Guards against all couriers told the same end coming at once: they come spread over the length
            // of the trouble so far, more and more of them, as a cold destination warms.
            let spread = secs(wait).max(age).min(secs(self.cold));
            let late = spread * (1.0 - 1.0 / self.couriers) * self.random.unit().sqrt();
            // Where an even share is small, the pace does that, from then on.
            let paced = unit.scarce() && limited;
            unit.wait_until = now + wait + if paced { 0 } else { nanos(late) };
            unit.filled = unit.filled.max(if paced { unit.wait_until } else { 0 });
        }
        if let Some(ramp) = unit.ramp.as_mut().filter(|_| first) {
            match outcome {
                Outcome::Ok => ramp.answered(now),
                Outcome::Error | Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFault => {}
                _ => ramp.failed(now),
            }
        }
        match outcome {
            _ if !first => {}
            Outcome::Ok => unit.grow(now),
            Outcome::Overloaded { .. } => {
                unit.shrink();
                if limited {
                    unit.refused(now, &mut self.random);
                }
            }
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => unit.shrink(),
            Outcome::Error | Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFault => {}
        }
    }

    /// Gives the final answer at once: refused with a backoff where a repeat is safe, else failed.
    fn give_up(&mut self, now: Nanos, id: MsgId, wait: f64, why: GiveUpReason, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id).filter(|m| !m.ended) else { return };
        let repeatable = message.risk.is_none() || message.rules.may_be_resubmitted();
        if repeatable && message.out.is_none() && now < message.deadline {
            let most = self.settings.max_backoff.unwrap_or(SECOND);
            let backoff = self.settings.refusals_carry_backoff.then(|| nanos(wait).clamp(most / 2, most));
            actions.push(Action::Refuse { msg: id, backoff, reason: why });
        } else {
            actions.push(Action::Fail { msg: id });
        }
        self.end(id);
    }

    /// Books the end of a message; it is forgotten once no attempt is out.
    fn end(&mut self, id: MsgId) {
        self.unhold(id);
        let Some(message) = self.messages.get_mut(&id) else { return };
        self.open -= usize::from(!std::mem::replace(&mut message.ended, true));
        if message.out.is_some() {
            return;
        }
        if let Some(line) = message.key.and_then(|k| self.keys.get_mut(&k)) {
            line.line.retain(|m| *m != id);
            self.looks.extend(line.line.front());
        }
        self.messages.remove(&id);
    }

    /// Whether a message is the first of its key, and the key's rest is over (or was its own doing).
    pub(crate) fn has_turn(&self, now: Nanos, id: MsgId, message: &Message) -> bool {
        let Some(line) = message.key.and_then(|k| self.keys.get(&k)) else { return true };
        line.line.front() == Some(&id) && (now >= line.rest_until || message.tries > 0)
    }

    fn take_list(&mut self, now: Nanos, scope: ListScope, entries: &[Endpoint], actions: &mut Vec<Action>) {
        if scope.is_failure() {
            return self.list_failed(now, scope, actions);
        }
        self.schedule.told(!entries.is_empty());
        if scope != ListScope::Patch {
            for id in self.roster.keep_only(entries) {
                let Some(peer) = self.peers.get_mut(&id) else { continue };
                peer.entry.condition = Condition::Removed;
                self.hold.touch(peer.entry.dest);
            }
        }
        for entry in entries {
            self.list_endpoint(now, entry);
        }
    }

    /// Lets recovery run its course and forgets what is long unused or has left, now and then.
    fn sweep(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + SWEEP;
        self.service.fade(SERVICE_FADE);
        self.warm = false;
        let idle = self.settings.idle_close.unwrap_or(SECOND);
        for peer in self.peers.values_mut() {
            if matches!(peer.health, Health::Returning(since) if now >= since + self.cold) {
                peer.health = Health::Up;
                peer.connect_failed = false;
            }
            peer.warm.retain(|used| now < used + idle);
            let keep = self.by_kind.get(peer.entry.kind.0).map_or(0, |k| k.keep);
            if peer.warm.last().is_some_and(|used| now > used + keep) {
                peer.warm.clear();
                actions.push(Action::CloseIdle { endpoint: peer.entry.id });
            }
            self.warm |= !peer.warm.is_empty();
        }
        self.peers.retain(|id, peer| {
            let stays = peer.entry.condition != Condition::Removed || peer.calls > 0;
            if !stays && let Some(ids) = self.by_dest.get_mut(&peer.entry.dest) {
                ids.retain(|e| e != id);
            }
            stays
        });
        self.rest(now, actions);
        self.units.retain(|id, unit| {
            unit.calls > 0
                || unit.held > 0
                || now < unit.wait_until
                || match id {
                    UnitId::Dest(d) => self.by_dest.get(d).is_some_and(|ids| !ids.is_empty()),
                    UnitId::Route(e) => self.peers.contains_key(e),
                }
        });
        for unit in self.units.values_mut() {
            unit.cold_return.take_if(|cold_return| cold_return.is_over(now));
            if let Some(ramp) = unit.ramp.take_if(|ramp| ramp.is_over(now, self.cold)) {
                unit.pace = ramp.limit().map_or(unit.pace, |felt| unit.pace.min(felt));
            }
            if now > unit.used + FORGET && unit.calls == 0 {
                unit.predictor = Predictor::default();
                unit.used = now;
            }
        }
        self.keys.retain(|_, line| !line.line.is_empty() || now < line.rest_until);
    }

    fn set_look(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let next = self.hold.first_deadline();
        let due = next.map_or(LOOK_OUT, |d| d.saturating_sub(now + self.guard).max(1));
        let after = self.look.min(due);
        if (self.warm || !self.messages.is_empty()) && (now >= self.look_at || now + after < self.look_at) {
            self.look_at = now + after;
            actions.push(Action::SetTimer { nonce: LOOK_NONCE, after });
        }
    }
}
