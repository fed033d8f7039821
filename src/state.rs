//! Plain records and bookkeeping that `src/choice.rs` works on. No decision and no tuned value is here.
pub use crate::base::{SECOND, UnitId, nanos, secs};
use crate::cold_return::ColdReturn;
use crate::hold::{Lane, Turn, Waiting};
use crate::interface::*;
use crate::ramp::Ramp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A decaying count of events, read as a rate a second; `tau` is its time constant in seconds.
#[derive(Default)]
pub struct Rate {
    value: f64,
    at: Nanos,
}

impl Rate {
    pub fn now(&self, now: Nanos, tau: f64) -> f64 {
        self.value * (-secs(now - self.at) / tau).exp()
    }

    pub fn add(&mut self, now: Nanos, tau: f64) -> f64 {
        self.value = self.now(now, tau) + 1.0 / tau;
        self.at = now;
        self.value
    }
}

/// Tokens that fill at a rate; there is one at first.
pub struct Tokens {
    left: f64,
    at: Nanos,
}

impl Default for Tokens {
    fn default() -> Self {
        Tokens { left: 1.0, at: 0 }
    }
}

impl Tokens {
    /// Takes one if there is one, of at most so many that are kept.
    pub fn take(&mut self, now: Nanos, rate: f64, most: f64) -> bool {
        self.left = (self.left + rate * secs(now.saturating_sub(self.at))).min(most);
        self.at = now;
        let there = self.left >= 1.0;
        self.left -= f64::from(u8::from(there));
        there
    }
}

/// The states of the machine.
pub enum State {
    /// No call since long.
    Idle,
    /// Calls out since the last answer, the oldest for so many seconds.
    Out(f64),
    /// A recent answer.
    Recent,
}

/// Angelin's three-state machine for one unit; times in seconds.
#[derive(Default)]
pub struct Predictor {
    pub least: Option<f64>,
    pub recent: f64,
    pub mean: f64,
    pub answered: Nanos,
    pub out: BTreeSet<(Nanos, MsgId)>,
}

/// A destination or route.
#[derive(Default)]
pub struct Unit {
    pub predictor: Predictor,
    pub window: f64,
    pub calls: u32,
    pub held: u32,
    pub wait_until: Nanos,
    pub used: Nanos,
    /// Calls a second under a limit; infinite until a limit is listed or felt.
    pub pace: f64,
    /// An even share of the listed rate; infinite without one.
    pub even: f64,
    pub tokens: f64,
    /// Until when the tokens are filled; past a told wait they begin to fill.
    pub filled: Nanos,
    pub cut: Nanos,
    pub sent_rate: Rate,
    /// When it was first listed, and the messages taken for it since.
    pub known: Nanos,
    pub arrived: f64,
    pub listed: Option<f64>,
    /// The most calls a second that it served without refusing any.
    pub proven: f64,
    /// Its pace while it may be cold.
    pub ramp: Option<Ramp>,
    /// Bound on its pace while it warms up after an outage.
    pub cold_return: Option<ColdReturn>,
}

impl Unit {
    pub fn new(now: Nanos, listed: Option<f64>, couriers: f64, least: f64) -> Self {
        let unit = Unit { listed, ..Unit::default() };
        let even = unit.share(couriers);
        Unit {
            window: 1.0,
            used: now,
            known: now,
            pace: even.max(least),
            even,
            tokens: 1.0,
            filled: now,
            ..unit
        }
    }

    /// An even share of the listed rate among so many couriers.
    fn share(&self, couriers: f64) -> f64 {
        self.listed.map_or(f64::INFINITY, |listed| listed / couriers)
    }

    /// There are so many couriers now. A pace under the limit finds its new level by itself, from where it is.
    pub fn divide(&mut self, couriers: f64) {
        self.even = self.share(couriers);
    }

    /// Calls a second that may go now: the pace, within the bound of a cold return.
    pub fn rate(&self, now: Nanos) -> f64 {
        self.cold_return.map_or(self.pace, |cold_return| self.pace.min(cold_return.rate(now)))
    }

    /// Fills the tokens at that rate, up to `burst` seconds of it and at least one.
    pub fn refill(&mut self, now: Nanos, burst: f64) {
        let rate = self.rate(now);
        let most = (rate * burst).max(1.0);
        let time = secs(now.saturating_sub(self.filled));
        let gained = if rate.is_finite() { rate * time } else { f64::INFINITY };
        self.tokens = (self.tokens + gained).min(most);
        self.filled = self.filled.max(now);
    }

    /// When a call may go as far as a told wait, pace and ramp are concerned, once the tokens are filled.
    pub fn opens_at(&self, now: Nanos) -> Nanos {
        let token = if self.tokens < 1.0 { nanos((1.0 - self.tokens) / self.rate(now).max(1e-9)) } else { 0 };
        let ramp = self.ramp.as_ref().map_or(0, Ramp::next);
        (now.max(self.filled) + token).max(self.wait_until).max(ramp)
    }
}

/// Health of an endpoint as this courier has seen it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    Up,
    /// In outage, as far as known or suspected.
    Down,
    /// Answering again since then, maybe cold.
    Returning(Nanos),
}

/// An endpoint.
pub struct Peer {
    pub entry: Endpoint,
    pub unit: UnitId,
    pub health: Health,
    /// Since when it is not up.
    pub since: Nanos,
    pub bad: f64,
    pub served: Nanos,
    pub calls: u32,
    pub next_trial: Nanos,
    /// When a call was last sent to it.
    pub called: Nanos,
    /// When a call last failed other than by silence.
    pub refused: Nanos,
    /// A connection to it failed since it was last up.
    pub connect_failed: bool,
    /// When the last call found no connection, if one before it was served.
    pub unmet: Option<Nanos>,
    /// Idle connections, by the time they were last used.
    pub warm: Vec<Nanos>,
    /// Classes that it left unanswered or failed, and until when they go elsewhere.
    pub shun: BTreeMap<usize, Nanos>,
}

impl Peer {
    pub fn new(entry: Endpoint, unit: UnitId) -> Self {
        Peer {
            entry,
            unit,
            health: Health::Up,
            since: 0,
            bad: 0.0,
            served: 0,
            calls: 0,
            next_trial: 0,
            called: 0,
            refused: 0,
            connect_failed: false,
            unmet: None,
            warm: Vec::new(),
            shun: BTreeMap::new(),
        }
    }

    /// Its outage is over.
    pub fn recover(&mut self) {
        self.health = Health::Up;
        self.bad = 0.0;
        self.connect_failed = false;
    }
}

/// An attempt that is out.
pub struct Attempt {
    pub number: u32,
    pub endpoint: EndpointId,
    pub unit: UnitId,
    pub call: u64,
    pub sent: Nanos,
    /// The host has been asked to cancel it.
    pub called_off: bool,
}

impl Attempt {
    pub fn new(number: u32, endpoint: EndpointId, unit: UnitId, call: u64, sent: Nanos) -> Self {
        Attempt { number, endpoint, unit, call, sent, called_off: false }
    }
}

/// An accepted message; it stays known until its last attempt has an outcome.
pub struct Message {
    pub dest: DestId,
    pub class: usize,
    /// Its class as it was taken on. Guards against settings that change meanwhile.
    pub rules: Class,
    pub key: Option<OrderKey>,
    pub worth: f64,
    /// When it came.
    pub came: Nanos,
    pub aim_at: Nanos,
    pub deadline: Nanos,
    /// Attempts that count as tries.
    pub tries: u32,
    /// All attempts: the number of the next one.
    pub attempts: u32,
    /// It outlived its courier's process.
    pub kept: bool,
    pub ended: bool,
    pub out: Option<Attempt>,
    pub risk: Option<UnconfirmedAttempt>,
    /// It was turned away as full before, and rests until then.
    pub full: Option<Nanos>,
    /// Where it waits in the hold.
    pub lane: Option<Lane>,
    /// When it is looked at by itself.
    pub alarm: Option<Nanos>,
}

impl Message {
    pub fn new(request: &Request, rules: Class, key: Option<OrderKey>, came: Nanos) -> Self {
        let deadline = came.saturating_add(request.time_left);
        Message {
            dest: request.dest,
            class: request.class.0,
            rules,
            key,
            worth: 1.0,
            came,
            aim_at: deadline,
            deadline,
            tries: request.previous_attempts,
            attempts: request.previous_attempts,
            kept: request.restored,
            ended: false,
            out: None,
            risk: request.unconfirmed,
            full: None,
            lane: None,
            alarm: None,
        }
    }

    /// It outlived its courier's process untried: a try is owed to it (exception 12).
    pub fn owed(&self) -> bool {
        self.kept && self.tries == 0
    }

    /// What the hold keeps of it in such a lane.
    pub fn waiting(&self, id: MsgId, lane: &Lane) -> Waiting {
        let rest = self.full.filter(|_| lane.turn == Turn::Resting).unwrap_or(0);
        Waiting { due: self.deadline.saturating_sub(rest), id, aim_at: self.aim_at }
    }

    /// Share of the worth that an answer now earns, falling evenly after the aim to `late` at the deadline.
    pub fn share_at(&self, now: Nanos, late: f64) -> f64 {
        let past = secs(now.saturating_sub(self.aim_at)) / secs(self.deadline - self.aim_at).max(1e-9);
        1.0 - (1.0 - late) * past.min(1.0)
    }
}

/// A class whose share is under so much of all classes' counts the more the further it is behind, up to so many times.
/// Guards against a class of little worth being starved by a dear one.
const FAIR_SHARE: f64 = 0.5;
const MOST_BEHIND: f64 = 8.0;
/// Worth that is taken as served like all. Guards against the first few of a class speaking for it.
const FEW: f64 = 20.0;

/// Worth asked for and earned by class, of late: by it the worst served class is known.
#[derive(Default)]
pub struct Service(Vec<(f64, f64)>);

impl Service {
    pub fn resize(&mut self, classes: usize) {
        self.0.resize(classes, (0.0, 0.0));
    }

    pub fn asked(&mut self, class: usize, worth: f64) {
        self.0.get_mut(class).into_iter().for_each(|c| c.0 += worth);
    }

    pub fn earned(&mut self, class: usize, worth: f64) {
        self.0.get_mut(class).into_iter().for_each(|c| c.1 += worth);
    }

    pub fn fade(&mut self, part: f64) {
        self.0.iter_mut().for_each(|c| *c = (c.0 * part, c.1 * part));
    }

    /// How much a unit of each class's worth counts where the worst served class counts `extra` times by itself, and where
    /// one that is served far less than all counts the more.
    pub fn weights(&self, extra: f64) -> Vec<f64> {
        let all: f64 = self.0.iter().map(|c| c.0).sum();
        let mean = self.0.iter().map(|c| c.1).sum::<f64>() / all.max(1e-9);
        let share = |c: &(f64, f64)| if c.0 > 0.0 { c.1 / c.0 } else { f64::INFINITY };
        let worst = self.0.iter().map(share).fold(f64::INFINITY, f64::min);
        let weight = |c: &(f64, f64)| {
            let had = (c.1 + FEW * mean) / (c.0 + FEW);
            let behind = (FAIR_SHARE * mean / had.max(1e-9)).max(1.0).powi(6).min(MOST_BEHIND);
            behind * if share(c) <= worst && c.0 > 0.0 { 1.0 + extra * all / c.0 } else { 1.0 }
        };
        self.0.iter().map(weight).collect()
    }
}

/// Calls opened in this round, with the messages that still fit in, by endpoint.
pub type Opened = BTreeMap<EndpointId, (u64, u32)>;

/// What was learned of a kind of destination.
#[derive(Clone, Copy)]
pub struct KindStats {
    /// How long a connection may idle and be used again.
    pub keep: Nanos,
    /// Until when that is not cut again.
    pub keep_cut: Nanos,
    /// Longest idle time after which a connection was used again and served.
    pub proven: Nanos,
    /// How long a message rests after a full answer without a told wait, as a multiple.
    pub rest: f64,
    /// Mean of the waits told, in seconds; zero if none was.
    pub told: f64,
}

impl KindStats {
    pub fn new(keep: Nanos, rest: f64) -> Self {
        KindStats { keep, keep_cut: 0, proven: 0, rest, told: 0.0 }
    }
}

/// A call out: its messages without an outcome, and whether it has been judged.
pub struct Call {
    pub open: u32,
    pub judged: bool,
    /// How long the connection that it uses again had idled.
    pub idle: Option<Nanos>,
    /// It was sent to an endpoint taken as down.
    pub trial: bool,
}

/// The messages of one order key, oldest first, and the end of its rest.
#[derive(Default)]
pub struct KeyLine {
    pub line: VecDeque<MsgId>,
    pub rest_until: Nanos,
}

/// Random numbers for jitter (splitmix64).
#[derive(Default)]
pub struct Random(pub u64);

impl Random {
    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        mix(self.0, 0)
    }
}

/// A number that looks random, made of a salt and an id.
pub fn mix(salt: u64, id: u32) -> u64 {
    let mut z = salt ^ u64::from(id).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
