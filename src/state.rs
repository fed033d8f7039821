//! Records that `src/choice.rs` works on, and their bookkeeping. There are no decisions here.
use crate::cold_return::ColdReturn;
use crate::interface::*;
pub use crate::primitives::{SECOND, UnitId, nanos, secs};
use crate::queue::{Lane, QueueEntry, Readiness};
use crate::ramp::Ramp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A decaying count of events, read as a rate a second; `tau` is its time constant in seconds.
#[derive(Default)]
pub struct Rate {
    value: f64,
    updated_at: Nanos,
}

impl Rate {
    pub fn now(&self, now: Nanos, tau: f64) -> f64 {
        self.value * (-secs(now - self.updated_at) / tau).exp()
    }

    pub fn add(&mut self, now: Nanos, tau: f64) -> f64 {
        self.value = self.now(now, tau) + 1.0 / tau;
        self.updated_at = now;
        self.value
    }
}

/// A token bucket that starts with one token.
pub struct TokenBucket {
    tokens: f64,
    updated_at: Nanos,
}

impl Default for TokenBucket {
    fn default() -> Self {
        TokenBucket { tokens: 1.0, updated_at: 0 }
    }
}

impl TokenBucket {
    /// Takes a token if there is one; the bucket holds `capacity` tokens at most.
    pub fn take(&mut self, now: Nanos, rate: f64, capacity: f64) -> bool {
        self.tokens = (self.tokens + rate * secs(now.saturating_sub(self.updated_at))).min(capacity);
        self.updated_at = now;
        let available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(available));
        available
    }
}

/// The states of the predictor.
pub enum PredictorState {
    /// No call for long.
    Idle,
    /// Calls in flight since the last answer; the oldest one was sent this many seconds ago.
    InFlight(f64),
    /// A recent answer.
    Recent,
}

/// Angelin's three-state predictor for one unit; latencies in seconds.
#[derive(Default)]
pub struct Predictor {
    pub min_latency: Option<f64>,
    pub latest_latency: f64,
    pub mean_latency: f64,
    pub answered_at: Nanos,
    pub in_flight: BTreeSet<(Nanos, MsgId)>,
}

/// The full record of a destination or route.
#[derive(Default)]
pub struct Unit {
    pub predictor: Predictor,
    pub window: f64,
    pub calls: u32,
    pub queued: u32,
    pub blocked_until: Nanos,
    pub used_at: Nanos,
    /// Calls a second under a limit; infinite until a limit is listed or observed.
    pub rate: f64,
    /// An even share of the listed rate; infinite if no rate is listed.
    pub even_share: f64,
    pub tokens: f64,
    /// Until when tokens were added. It may lie in the future: after an announced wait the bucket starts
    /// filling only then.
    pub filled_at: Nanos,
    pub rate_cut_at: Nanos,
    pub sent_rate: Rate,
    /// When it was first listed, and the number of messages accepted for it since.
    pub known_since: Nanos,
    pub arrivals: f64,
    pub listed_rate: Option<f64>,
    /// Highest rate, in calls a second, that it served without a refusal.
    pub proven_rate: f64,
    /// Its ramp while it may be cold.
    pub ramp: Option<Ramp>,
    /// Bound on its rate while it warms up after an outage.
    pub cold_return: Option<ColdReturn>,
}

impl Unit {
    pub fn new(now: Nanos, listed_rate: Option<f64>, relays: f64, minimum: f64) -> Self {
        let unit = Unit { listed_rate, ..Unit::default() };
        let even_share = unit.share_among(relays);
        Unit {
            window: 1.0,
            used_at: now,
            known_since: now,
            rate: even_share.max(minimum),
            even_share,
            tokens: 1.0,
            filled_at: now,
            ..unit
        }
    }

    /// An even share of the listed rate among this many relays.
    fn share_among(&self, relays: f64) -> f64 {
        self.listed_rate.map_or(f64::INFINITY, |rate| rate / relays)
    }

    /// Applies a new number of relays. A rate under the limit adapts by itself from its current value.
    pub fn set_relay_count(&mut self, relays: f64) {
        self.even_share = self.share_among(relays);
    }

    /// Calls a second that are allowed now: the rate, within the bound of a cold return.
    pub fn current_rate(&self, now: Nanos) -> f64 {
        self.cold_return.map_or(self.rate, |cold_return| self.rate.min(cold_return.max_rate(now)))
    }

    /// Adds tokens at that rate, up to `burst` seconds' worth and at least one.
    pub fn refill(&mut self, now: Nanos, burst: f64) {
        let rate = self.current_rate(now);
        let capacity = (rate * burst).max(1.0);
        let time = secs(now.saturating_sub(self.filled_at));
        let gained = if rate.is_finite() { rate * time } else { f64::INFINITY };
        self.tokens = (self.tokens + gained).min(capacity);
        self.filled_at = self.filled_at.max(now);
    }

    /// When a call is allowed by announced wait, rate and ramp, once the tokens are up to date.
    pub fn next_call_at(&self, now: Nanos) -> Nanos {
        let token =
            if self.tokens < 1.0 { nanos((1.0 - self.tokens) / self.current_rate(now).max(1e-9)) } else { 0 };
        let ramp = self.ramp.as_ref().map_or(0, Ramp::next_call_at);
        (now.max(self.filled_at) + token).max(self.blocked_until).max(ramp)
    }
}

/// Health of an endpoint as observed by this relay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    Up,
    /// In outage, as known or suspected.
    Down,
    /// Answering again since this time; may be cold.
    Returning(Nanos),
}

/// The full record of an endpoint.
pub struct Peer {
    pub entry: Endpoint,
    pub unit: UnitId,
    pub health: Health,
    /// Since when it is not up.
    pub unhealthy_since: Nanos,
    pub failure_average: f64,
    pub served_at: Nanos,
    pub calls: u32,
    pub next_trial_at: Nanos,
    /// When a call was last sent to it.
    pub called_at: Nanos,
    /// When a call last failed other than by silence.
    pub failed_at: Nanos,
    /// Whether a connection attempt failed since it was last up.
    pub connect_failed: bool,
    /// When the last call could not connect, provided that earlier calls were served.
    pub lone_connect_failure_at: Option<Nanos>,
    /// Idle connections, by the time of their last use.
    pub idle_connections: Vec<Nanos>,
    /// Classes that are sent to other endpoints, after this one failed or did not answer them, and until
    /// when.
    pub avoided_classes: BTreeMap<usize, Nanos>,
}

impl Peer {
    pub fn new(entry: Endpoint, unit: UnitId) -> Self {
        Peer {
            entry,
            unit,
            health: Health::Up,
            unhealthy_since: 0,
            failure_average: 0.0,
            served_at: 0,
            calls: 0,
            next_trial_at: 0,
            called_at: 0,
            failed_at: 0,
            connect_failed: false,
            lone_connect_failure_at: None,
            idle_connections: Vec::new(),
            avoided_classes: BTreeMap::new(),
        }
    }

    /// Ends its outage.
    pub fn recover(&mut self) {
        self.health = Health::Up;
        self.failure_average = 0.0;
        self.connect_failed = false;
    }
}

/// An attempt in flight.
pub struct Attempt {
    pub number: u32,
    pub endpoint: EndpointId,
    pub unit: UnitId,
    pub call: u64,
    pub sent: Nanos,
    /// Whether the host was asked to cancel it.
    pub cancel_requested: bool,
}

impl Attempt {
    pub fn new(number: u32, endpoint: EndpointId, unit: UnitId, call: u64, sent: Nanos) -> Self {
        Attempt { number, endpoint, unit, call, sent, cancel_requested: false }
    }
}

/// An accepted message. Its record is kept until its last attempt has an outcome.
pub struct Message {
    pub dest: DestId,
    pub class: usize,
    /// The rules of its class when it was accepted. Guards against settings that change in the meantime.
    pub rules: Class,
    pub key: Option<OrderKey>,
    pub worth: f64,
    /// When it arrived.
    pub arrived_at: Nanos,
    pub target_at: Nanos,
    pub deadline: Nanos,
    /// Attempts that count towards the maximum.
    pub counted_attempts: u32,
    /// All attempts; also the number of the next one.
    pub attempts: u32,
    /// It was restored after a restart of the relay.
    pub restored: bool,
    pub ended: bool,
    pub in_flight: Option<Attempt>,
    pub unconfirmed: Option<UnconfirmedAttempt>,
    /// Until when it backs off after an overload answer.
    pub backoff_until: Option<Nanos>,
    /// Its lane in the queue.
    pub lane: Option<Lane>,
    /// When it is to be rechecked individually.
    pub recheck_at: Option<Nanos>,
}

impl Message {
    pub fn new(request: &Request, rules: Class, key: Option<OrderKey>, arrived_at: Nanos) -> Self {
        let deadline = arrived_at.saturating_add(request.time_left);
        Message {
            dest: request.dest,
            class: request.class.0,
            rules,
            key,
            worth: 1.0,
            arrived_at,
            target_at: deadline,
            deadline,
            counted_attempts: request.previous_attempts,
            attempts: request.previous_attempts,
            restored: request.restored,
            ended: false,
            in_flight: None,
            unconfirmed: request.unconfirmed,
            backoff_until: None,
            lane: None,
            recheck_at: None,
        }
    }

    /// Whether an attempt is guaranteed: it was restored after a restart without any attempt (exception 12).
    pub fn attempt_guaranteed(&self) -> bool {
        self.restored && self.counted_attempts == 0
    }

    /// Its queue entry in the given lane.
    pub fn queue_entry(&self, id: MsgId, lane: &Lane) -> QueueEntry {
        let backoff = self.backoff_until.filter(|_| lane.readiness == Readiness::BackingOff).unwrap_or(0);
        QueueEntry { expires: self.deadline.saturating_sub(backoff), id, target_at: self.target_at }
    }

    /// Share of the worth that an answer earns now. It falls linearly from the target to `late_worth` at the
    /// deadline.
    pub fn worth_share_at(&self, now: Nanos, late_worth: f64) -> f64 {
        let lateness =
            secs(now.saturating_sub(self.target_at)) / secs(self.deadline - self.target_at).max(1e-9);
        1.0 - (1.0 - late_worth) * lateness.min(1.0)
    }
}

/// A class whose share of served worth is below this fraction of the share of all classes gains weight, the
/// more the lower its share is, up to the given factor. Guards against starvation of a class of low worth by
/// one of high worth.
const FAIR_SHARE: f64 = 0.5;
const MAX_BOOST: f64 = 8.0;
/// Worth that is assumed to be served at the average share. Guards against conclusions from a class's first
/// few messages.
const PRIOR_WORTH: f64 = 20.0;

/// Worth requested and earned by class in the recent past, from which the worst served class is determined.
#[derive(Default)]
pub struct ServiceStats(Vec<(f64, f64)>);

impl ServiceStats {
    pub fn resize(&mut self, classes: usize) {
        self.0.resize(classes, (0.0, 0.0));
    }

    pub fn add_requested(&mut self, class: usize, worth: f64) {
        self.0.get_mut(class).into_iter().for_each(|c| c.0 += worth);
    }

    pub fn add_earned(&mut self, class: usize, worth: f64) {
        self.0.get_mut(class).into_iter().for_each(|c| c.1 += worth);
    }

    pub fn decay(&mut self, factor: f64) {
        self.0.iter_mut().for_each(|c| *c = (c.0 * factor, c.1 * factor));
    }

    /// Weight of a unit of worth by class. The worst served class counts `extra` times in addition by itself,
    /// and a class that is served far less than the average gains weight.
    pub fn weights(&self, extra: f64) -> Vec<f64> {
        let all: f64 = self.0.iter().map(|c| c.0).sum();
        let mean = self.0.iter().map(|c| c.1).sum::<f64>() / all.max(1e-9);
        let share = |c: &(f64, f64)| if c.0 > 0.0 { c.1 / c.0 } else { f64::INFINITY };
        let worst = self.0.iter().map(share).fold(f64::INFINITY, f64::min);
        let weight = |c: &(f64, f64)| {
            let smoothed = (c.1 + PRIOR_WORTH * mean) / (c.0 + PRIOR_WORTH);
            let boost = (FAIR_SHARE * mean / smoothed.max(1e-9)).max(1.0).powi(6).min(MAX_BOOST);
            boost * if share(c) <= worst && c.0 > 0.0 { 1.0 + extra * all / c.0 } else { 1.0 }
        };
        self.0.iter().map(weight).collect()
    }
}

/// Calls opened in this round and the number of messages that still fit in, by endpoint.
pub type OpenCalls = BTreeMap<EndpointId, (u64, u32)>;

/// What was learned of a kind of destination.
#[derive(Clone, Copy)]
pub struct KindStats {
    /// Maximum idle time after which a connection is still reused.
    pub keep_idle: Nanos,
    /// Until when that time is not reduced again.
    pub keep_idle_fixed_until: Nanos,
    /// Longest idle time after which a reused connection served a call.
    pub proven_idle: Nanos,
    /// Backoff of a message after an overload answer without an announced wait, as a multiple of the time
    /// between calls or of the mean announced wait.
    pub backoff_factor: f64,
    /// Mean announced wait in seconds; zero if none was announced.
    pub mean_retry_after: f64,
}

impl KindStats {
    pub fn new(keep_idle: Nanos, backoff_factor: f64) -> Self {
        KindStats {
            keep_idle,
            keep_idle_fixed_until: 0,
            proven_idle: 0,
            backoff_factor,
            mean_retry_after: 0.0,
        }
    }
}

/// A call in flight: the number of its messages without an outcome, and whether an outcome was recorded.
pub struct Call {
    pub pending: u32,
    pub outcome_recorded: bool,
    /// How long the reused connection had been idle.
    pub idle: Option<Nanos>,
    /// It was sent to an endpoint that is taken to be down.
    pub trial: bool,
}

/// The messages of one ordering key, oldest first, and the end of the key's pause.
#[derive(Default)]
pub struct KeyQueue {
    pub messages: VecDeque<MsgId>,
    pub paused_until: Nanos,
}

/// Random numbers for delays and choices (splitmix64).
#[derive(Default)]
pub struct Random(pub u64);

impl Random {
    /// A number from 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        mix(self.0, 0)
    }
}

/// A pseudo-random number derived from a salt and an id.
pub fn mix(salt: u64, id: u32) -> u64 {
    let mut z = salt ^ u64::from(id).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
