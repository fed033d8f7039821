//! Thirty couriers before one cold destination: their calls together stay within what the settings allow it.
//!
//! The settings say how a destination warms (evenly from `cold_share` of its capacity within `cold`) and when it falls
//! over (sent more than `fall_multiple` times its present capacity for `fall`). So within any time of `fall` it may be
//! sent N = `fall_multiple` x what it takes in that time. Couriers share nothing and their messages come by chance, so
//! N + 2 sqrt(N) + 2 is the bound: two standard deviations of a chance count, and two calls for the ends of the time.
mod common;
use common::*;
use slatethread::*;
use std::collections::BTreeMap;

const COURIERS: u32 = 30;
/// Time from a call to its answer.
const TRIP: Nanos = 50 * MS;
const ENDPOINT: u32 = 1;
const DEST: u64 = 5;
/// Messages handed in a second, as a multiple of the warm capacity: far more than a cold destination takes.
const DEMAND: f64 = 2.0;
const CAPACITIES: [f64; 5] = [4.0, 8.0, 20.0, 60.0, 150.0];
const SEEDS: std::ops::Range<u64> = 1..4;

/// How the destination answers while it is cold.
#[derive(Clone, Copy, Debug)]
enum Answers {
    /// It serves whatever comes: nothing tells the couriers that it is too much.
    All,
    /// It refuses what is over the multiple of its present capacity at which it falls over.
    UntilItFalls,
    /// It refuses what is over its present capacity.
    WithinCapacity,
}

/// A destination that warms from a time on.
struct Destination {
    capacity: f64,
    cold_since: Nanos,
    rules: Rules,
    answers: Answers,
    tokens: f64,
    filled: Nanos,
    /// When it was called, since it is cold.
    calls: Vec<Nanos>,
}

impl Destination {
    fn new(capacity: f64, cold_since: Nanos, rules: Rules, answers: Answers) -> Self {
        Destination {
            capacity,
            cold_since,
            rules,
            answers,
            tokens: 1.0,
            filled: cold_since,
            calls: Vec::new(),
        }
    }

    /// What it takes in a second by then.
    fn takes(&self, now: Nanos) -> f64 {
        let share = self.rules.cold_share.expect("told");
        let warmth = (now - self.cold_since) as f64 / self.rules.warm_up_time.expect("told") as f64;
        self.capacity * (share + (1.0 - share) * warmth.min(1.0))
    }

    fn call(&mut self, now: Nanos) -> Outcome {
        if now < self.cold_since {
            return Outcome::ConnectFailed;
        }
        self.calls.push(now);
        let serves = match self.answers {
            Answers::All => return Outcome::Ok,
            Answers::UntilItFalls => self.takes(now) * self.rules.overload_factor.expect("told"),
            Answers::WithinCapacity => self.takes(now),
        };
        let gained = serves * seconds(now - self.filled);
        self.tokens = (self.tokens + gained).min((serves / 2.0).max(1.0));
        self.filled = now;
        if self.tokens < 1.0 {
            return Outcome::Overloaded { retry_after: None };
        }
        self.tokens -= 1.0;
        Outcome::Ok
    }

    /// What the settings allow within `fall` of `from`: the multiple of what it takes meanwhile.
    fn allowed(&self, from: Nanos) -> f64 {
        let fall = self.rules.overload_time.expect("told");
        // It warms evenly, so the mean is what it takes half way.
        self.rules.overload_factor.expect("told") * self.takes(from + fall / 2) * seconds(fall)
    }

    /// Of the times of `fall` within the cold time, the one with most calls over what is allowed: its begin, calls, and most
    /// that may be.
    fn worst(&self) -> (f64, usize, f64) {
        let (cold, fall) = (self.rules.warm_up_time.expect("told"), self.rules.overload_time.expect("told"));
        let during = self.calls.iter().filter(|from| **from + fall <= self.cold_since + cold);
        let windows = during.map(|from| {
            let first = self.calls.partition_point(|at| at < from);
            let last = self.calls.partition_point(|at| *at < from + fall);
            let allowed = self.allowed(*from);
            let most = allowed + 2.0 * allowed.sqrt() + 2.0;
            (seconds(from - self.cold_since), last - first, most)
        });
        windows.max_by(|a, b| (a.1 as f64 / a.2).total_cmp(&(b.1 as f64 / b.2))).expect("it was called")
    }
}

fn seconds(span: Nanos) -> f64 {
    span as f64 / SECOND as f64
}

/// Numbers that look like chance, the same with each run (splitmix64).
struct Chance(u64);

impl Chance {
    fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (bits ^ (bits >> 31)) % end
    }
}

/// Plays couriers before the destination until it is warm. Messages come from `begin` on, at times and couriers by chance.
fn play(settings: &Settings, listed: &Endpoint, destination: &mut Destination, begin: Nanos, seed: u64) {
    let mut couriers: Vec<_> =
        (0..COURIERS).map(|n| Dispatcher::new(settings.clone(), seed * 1000 + u64::from(n))).collect();
    let end = destination.cold_since + destination.rules.warm_up_time.expect("told") + 2 * SECOND;
    // What happens, by its time and its turn; and the attempts that each message has had.
    let mut queue: BTreeMap<(Nanos, u64), (u32, Event)> = BTreeMap::new();
    let mut tries: BTreeMap<u32, u32> = BTreeMap::new();
    let mut turn = 0;
    let mut put = |queue: &mut BTreeMap<_, _>, at: Nanos, who: u32, event: Event| {
        turn += 1;
        queue.insert((at, turn), (who, event));
    };
    for who in 0..COURIERS {
        let list = Event::List { scope: ListScope::Whole, entries: vec![listed.clone()] };
        put(&mut queue, 0, who, list);
    }
    let mut chance = Chance(seed);
    let messages = (DEMAND * destination.capacity * seconds(end - begin)) as u32;
    for msg in 1..=messages {
        let at = begin + chance.below(end - begin);
        let who = chance.below(u64::from(COURIERS)) as u32;
        put(&mut queue, at, who, Event::Request(request(msg, DEST, 0)));
    }
    while let Some(((now, _), (who, event))) = queue.pop_first() {
        if now >= end {
            break;
        }
        let mut actions = Vec::new();
        couriers[who as usize].on_round(now, &[event], &mut actions);
        for action in actions {
            match action {
                Action::Send { msg, .. } => {
                    let outcome = destination.call(now);
                    let attempt = tries.entry(msg.0).or_default();
                    put(&mut queue, now + TRIP, who, closed(msg.0, *attempt, ENDPOINT, outcome, TRIP));
                    *attempt += 1;
                }
                Action::SetTimer { nonce, after } => {
                    put(&mut queue, now + after.max(1), who, Event::Timer { nonce });
                }
                _ => {}
            }
        }
    }
}

/// Every capacity, way to answer and seed; tells all that went over, not only the first.
fn check(
    settings: &Settings,
    capacities: &[f64],
    answers: &[Answers],
    cold_since: Nanos,
    begin: Nanos,
    entry: impl Fn(f64) -> Endpoint,
) {
    let mut over = Vec::new();
    for capacity in capacities.iter().copied() {
        for answers in answers.iter().copied() {
            for seed in SEEDS {
                let mut destination = Destination::new(capacity, cold_since, settings.rules.clone(), answers);
                play(settings, &entry(capacity), &mut destination, begin, seed);
                let (from, calls, most) = destination.worst();
                if calls as f64 > most {
                    over.push(format!(
                        "{capacity} a second, {answers:?}, seed {seed}: {calls} calls within fall of {from:.2} s, {most:.1} at most"
                    ));
                }
            }
        }
    }
    assert!(over.is_empty(), "pushed over:\n{}", over.join("\n"));
}

fn thirty(cold_after: Option<Nanos>) -> Settings {
    Settings {
        relays: Some(COURIERS),
        weights: Weights::Exact,
        slots: Some(64),
        max_queued: Some(400),
        cold_after,
        ..settings()
    }
}

#[test]
fn a_destination_that_was_long_unused_is_not_overloaded_by_all_relays_together() {
    let settings = thirty(Some(600 * SECOND));
    let answers = [Answers::All, Answers::UntilItFalls, Answers::WithinCapacity];
    check(&settings, &CAPACITIES, &answers, SECOND, SECOND, |capacity| Endpoint {
        weight: Some(capacity),
        started: SECOND,
        ..endpoint(ENDPOINT, DEST)
    });
}

/// Down for eight seconds from the first message on, and then cold.
fn check_return(capacities: &[f64], answers: &[Answers]) {
    check(&thirty(None), capacities, answers, 9 * SECOND, SECOND, |capacity| Endpoint {
        weight: Some(capacity),
        ..endpoint(ENDPOINT, DEST)
    });
}

#[test]
fn a_destination_that_returns_from_an_outage_is_not_overloaded_by_all_relays_together() {
    check_return(&CAPACITIES[1..], &[Answers::WithinCapacity]);
}

/// Guards against couriers that learn a limit by being refused, each up to the whole listed rate.
#[test]
fn a_destination_that_returns_and_refuses_late_or_never_is_not_overloaded() {
    check_return(&[8.0, 60.0, 250.0], &[Answers::UntilItFalls, Answers::All]);
}

/// Guards against couriers with few calls that all try within the same seconds.
#[test]
fn a_destination_of_four_calls_a_second_that_returns_is_not_overloaded() {
    check_return(&CAPACITIES[..1], &[Answers::WithinCapacity]);
}
