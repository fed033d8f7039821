//! Thirty relays send to one cold destination: together they stay within what the settings allow.
//!
//! The settings say how a destination warms up (linearly from `cold_share` of its capacity within
//! `warm_up_time`) and when it fails under overload (sent more than `overload_factor` times its current
//! capacity for `overload_time`). So within any period of `overload_time` it may be sent N =
//! `overload_factor` x its capacity in that period. Relays share no state and their messages arrive at
//! random, so the bound is N + 2 sqrt(N) + 2: two standard deviations of a random count, and two calls for
//! the ends of the period.
mod common;
use common::*;
use slatethread::*;
use std::collections::BTreeMap;

const RELAYS: u32 = 30;
/// Time from a call to its answer.
const ROUND_TRIP: Nanos = 50 * MS;
const ENDPOINT: u32 = 1;
const DEST: u64 = 5;
/// Messages submitted a second, as a multiple of the warm capacity: far more than a cold destination can
/// serve.
const DEMAND: f64 = 2.0;
const CAPACITIES: [f64; 5] = [4.0, 8.0, 20.0, 60.0, 150.0];
const SEEDS: std::ops::Range<u64> = 1..4;

/// How the destination answers while it is cold.
#[derive(Clone, Copy, Debug)]
enum Answers {
    /// It serves every call, so the relays do not learn that it is too much.
    All,
    /// It refuses calls above the multiple of its current capacity at which it fails.
    UpToOverload,
    /// It refuses calls above its current capacity.
    WithinCapacity,
}

/// A destination that warms up from a given time on.
struct Destination {
    capacity: f64,
    cold_since: Nanos,
    rules: Rules,
    answers: Answers,
    tokens: f64,
    filled_at: Nanos,
    /// Times of the calls since its cold start.
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
            filled_at: cold_since,
            calls: Vec::new(),
        }
    }

    /// Its capacity at this time, in calls a second.
    fn capacity_at(&self, now: Nanos) -> f64 {
        let share = self.rules.cold_share.expect("set in the test's rules");
        let warmth =
            (now - self.cold_since) as f64 / self.rules.warm_up_time.expect("set in the test's rules") as f64;
        self.capacity * (share + (1.0 - share) * warmth.min(1.0))
    }

    fn call(&mut self, now: Nanos) -> Outcome {
        if now < self.cold_since {
            return Outcome::ConnectFailed;
        }
        self.calls.push(now);
        let serves = match self.answers {
            Answers::All => return Outcome::Ok,
            Answers::UpToOverload => {
                self.capacity_at(now) * self.rules.overload_factor.expect("set in the test's rules")
            }
            Answers::WithinCapacity => self.capacity_at(now),
        };
        let gained = serves * seconds(now - self.filled_at);
        self.tokens = (self.tokens + gained).min((serves / 2.0).max(1.0));
        self.filled_at = now;
        if self.tokens < 1.0 {
            return Outcome::Overloaded { retry_after: None };
        }
        self.tokens -= 1.0;
        Outcome::Ok
    }

    /// Calls that the settings allow within `overload_time` of `from`: the multiple of the capacity in that
    /// period.
    fn allowed(&self, from: Nanos) -> f64 {
        let overload_time = self.rules.overload_time.expect("set in the test's rules");
        // The warm-up is linear, so the mean capacity is the one at half the period.
        self.rules.overload_factor.expect("set in the test's rules")
            * self.capacity_at(from + overload_time / 2)
            * seconds(overload_time)
    }

    /// The period of `overload_time` during the warm-up with the most calls relative to what is allowed: its
    /// start, its calls and the maximum.
    fn worst(&self) -> (f64, usize, f64) {
        let (warm_up_time, overload_time) = (
            self.rules.warm_up_time.expect("set in the test's rules"),
            self.rules.overload_time.expect("set in the test's rules"),
        );
        let during =
            self.calls.iter().filter(|from| **from + overload_time <= self.cold_since + warm_up_time);
        let windows = during.map(|from| {
            let first = self.calls.partition_point(|at| at < from);
            let last = self.calls.partition_point(|at| *at < from + overload_time);
            let allowed = self.allowed(*from);
            let max = allowed + 2.0 * allowed.sqrt() + 2.0;
            (seconds(from - self.cold_since), last - first, max)
        });
        windows.max_by(|a, b| (a.1 as f64 / a.2).total_cmp(&(b.1 as f64 / b.2))).expect("it was called")
    }
}

fn seconds(span: Nanos) -> f64 {
    span as f64 / SECOND as f64
}

/// Pseudo-random numbers, the same in each run (splitmix64).
struct Random(u64);

impl Random {
    fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (bits ^ (bits >> 31)) % end
    }
}

/// Runs relays that send to the destination until it is warm. Messages arrive from `begin` on, at random
/// times and relays.
fn run(settings: &Settings, listed: &Endpoint, destination: &mut Destination, begin: Nanos, seed: u64) {
    let mut dispatchers: Vec<_> =
        (0..RELAYS).map(|n| Dispatcher::new(settings.clone(), seed * 1000 + u64::from(n))).collect();
    let end = destination.cold_since
        + destination.rules.warm_up_time.expect("set in the test's rules")
        + 2 * SECOND;
    // Events by time and sequence number, and the number of attempts of each message.
    let mut queue: BTreeMap<(Nanos, u64), (u32, Event)> = BTreeMap::new();
    let mut attempts: BTreeMap<u32, u32> = BTreeMap::new();
    let mut sequence = 0;
    let mut schedule = |queue: &mut BTreeMap<_, _>, at: Nanos, relay: u32, event: Event| {
        sequence += 1;
        queue.insert((at, sequence), (relay, event));
    };
    for relay in 0..RELAYS {
        let list = Event::List { scope: ListScope::Whole, entries: vec![listed.clone()] };
        schedule(&mut queue, 0, relay, list);
    }
    let mut random = Random(seed);
    let messages = (DEMAND * destination.capacity * seconds(end - begin)) as u32;
    for msg in 1..=messages {
        let at = begin + random.below(end - begin);
        let relay = random.below(u64::from(RELAYS)) as u32;
        schedule(&mut queue, at, relay, Event::Request(request(msg, DEST, 0)));
    }
    while let Some(((now, _), (relay, event))) = queue.pop_first() {
        if now >= end {
            break;
        }
        let mut actions = Vec::new();
        dispatchers[relay as usize].on_round(now, &[event], &mut actions);
        for action in actions {
            match action {
                Action::Send { msg, .. } => {
                    let outcome = destination.call(now);
                    let attempt = attempts.entry(msg.0).or_default();
                    schedule(
                        &mut queue,
                        now + ROUND_TRIP,
                        relay,
                        attempt_ended(msg.0, *attempt, ENDPOINT, outcome, ROUND_TRIP),
                    );
                    *attempt += 1;
                }
                Action::SetTimer { nonce, after } => {
                    schedule(&mut queue, now + after.max(1), relay, Event::Timer { nonce });
                }
                _ => {}
            }
        }
    }
}

/// Runs all capacities, kinds of answers and seeds, and reports all runs that exceed the bound, not only the
/// first.
fn check(
    settings: &Settings,
    capacities: &[f64],
    answers: &[Answers],
    cold_since: Nanos,
    begin: Nanos,
    entry: impl Fn(f64) -> Endpoint,
) {
    let mut exceeded = Vec::new();
    for capacity in capacities.iter().copied() {
        for answers in answers.iter().copied() {
            for seed in SEEDS {
                let mut destination = Destination::new(capacity, cold_since, settings.rules.clone(), answers);
                run(settings, &entry(capacity), &mut destination, begin, seed);
                let (from, calls, max) = destination.worst();
                if calls as f64 > max {
                    exceeded.push(format!(
                        "{capacity} a second, {answers:?}, seed {seed}: {calls} calls in the period from {from:.2} s, {max:.1} at most"
                    ));
                }
            }
        }
    }
    assert!(exceeded.is_empty(), "overloaded:\n{}", exceeded.join("\n"));
}

fn thirty_relays(cold_after: Option<Nanos>) -> Settings {
    Settings {
        relays: Some(RELAYS),
        weights: Weights::Exact,
        slots: Some(64),
        max_open_messages: Some(400),
        cold_after,
        ..settings()
    }
}

#[test]
fn a_destination_that_was_long_unused_is_not_overloaded_by_all_relays_together() {
    let settings = thirty_relays(Some(600 * SECOND));
    let answers = [Answers::All, Answers::UpToOverload, Answers::WithinCapacity];
    check(&settings, &CAPACITIES, &answers, SECOND, SECOND, |capacity| Endpoint {
        weight: Some(capacity),
        started: SECOND,
        ..endpoint(ENDPOINT, DEST)
    });
}

/// The destination is down for eight seconds from the first message on, and cold afterwards.
fn check_return(capacities: &[f64], answers: &[Answers]) {
    check(&thirty_relays(None), capacities, answers, 9 * SECOND, SECOND, |capacity| Endpoint {
        weight: Some(capacity),
        ..endpoint(ENDPOINT, DEST)
    });
}

#[test]
fn a_destination_that_returns_from_an_outage_is_not_overloaded_by_all_relays_together() {
    check_return(&CAPACITIES[1..], &[Answers::WithinCapacity]);
}

/// Guards against relays that learn a limit only from refusals, each up to the whole listed rate.
#[test]
fn a_destination_that_returns_and_refuses_late_or_never_is_not_overloaded() {
    check_return(&[8.0, 60.0, 250.0], &[Answers::UpToOverload, Answers::All]);
}

/// Guards against relays with few calls that all send a trial within the same seconds.
#[test]
fn a_destination_of_four_calls_a_second_that_returns_is_not_overloaded() {
    check_return(&CAPACITIES[..1], &[Answers::WithinCapacity]);
}
