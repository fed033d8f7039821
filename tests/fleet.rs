//! A hundred relays send to the same destination: what is harmless for one must be harmless for all of them
//! together.
mod common;
use common::*;
use slatethread::*;
use std::collections::BTreeMap;

const RELAYS: u32 = 100;
/// Time from a call to its answer.
const ROUND_TRIP: Nanos = 100 * MS;

/// A destination that allows a number of calls a second; refused calls count against the limit as well.
struct Limited {
    rate: f64,
    tokens: f64,
    at: Nanos,
    refused: u32,
}

impl Limited {
    fn call(&mut self, now: Nanos) -> Outcome {
        self.tokens = (self.tokens + self.rate * (now - self.at) as f64 / SECOND as f64).min(self.rate / 2.0);
        self.at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Outcome::Ok;
        }
        self.tokens = 0.0;
        self.refused += 1;
        Outcome::Overloaded { retry_after: self.refused.is_multiple_of(2).then_some(900 * MS) }
    }
}

/// Results of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    submitted: u32,
    sent: u32,
    served: u32,
}

/// Runs relays against a limit that counts refused calls, with the given number of messages in each second.
fn run(rate: f64, submitted: impl Fn(u64) -> u64, seconds: u64) -> Vec<Counts> {
    let mut limited = Limited { rate, tokens: 0.0, at: 0, refused: 0 };
    run_with(rate, |now| limited.call(now), submitted, seconds)
}

/// Runs relays that receive messages in no particular order of relays or times; `call` decides how calls end.
fn run_with(
    rate: f64,
    mut call: impl FnMut(Nanos) -> Outcome,
    submitted: impl Fn(u64) -> u64,
    seconds: u64,
) -> Vec<Counts> {
    let settings = Settings { relays: Some(RELAYS), weights: Weights::Exact, slots: Some(4), ..settings() };
    let mut dispatchers: Vec<_> =
        (0..RELAYS).map(|n| Dispatcher::new(settings.clone(), u64::from(n) + 1)).collect();
    let mut counts = vec![Counts::default(); seconds as usize + 20];
    // Events by time and sequence number, and the number of attempts of each message.
    let mut queue: BTreeMap<(Nanos, u32), (u32, Event)> = BTreeMap::new();
    let mut attempts: BTreeMap<u32, u32> = BTreeMap::new();
    let mut sequence = 0;
    let mut schedule = |queue: &mut BTreeMap<_, _>, at: Nanos, relay: u32, event: Event| {
        sequence += 1;
        queue.insert((at, sequence), (relay, event));
    };
    let listed = Endpoint { weight: Some(rate), ..endpoint(1, 5) };
    for relay in 0..RELAYS {
        let list = Event::List { scope: ListScope::Whole, entries: vec![listed.clone()] };
        schedule(&mut queue, 0, relay, list);
    }
    let mut msg = 0;
    for second in 0..seconds {
        for n in 0..submitted(second) {
            msg += 1;
            // Coprime steps, so that neither relays nor times come in order.
            let at = second * SECOND + n * 7919 % submitted(second) * SECOND / submitted(second);
            schedule(&mut queue, at + MS, msg * 37 % RELAYS, Event::Request(request(msg, 5, 0)));
            counts[second as usize].submitted += 1;
        }
    }
    while let Some(((now, _), (relay, event))) = queue.pop_first() {
        if now >= (seconds + 20) * SECOND {
            break;
        }
        let count = &mut counts[(now / SECOND) as usize];
        let mut actions = Vec::new();
        dispatchers[relay as usize].on_round(now, &[event], &mut actions);
        for action in actions {
            match action {
                Action::Send { msg, .. } => {
                    let outcome = call(now);
                    count.sent += 1;
                    count.served += u32::from(outcome == Outcome::Ok);
                    let attempt = attempts.entry(msg.0).or_default();
                    schedule(
                        &mut queue,
                        now + ROUND_TRIP,
                        relay,
                        attempt_ended(msg.0, *attempt, 1, outcome, ROUND_TRIP),
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
    counts.truncate(seconds as usize);
    counts
}

#[test]
fn a_burst_does_not_keep_a_limit_used_up_by_refused_calls() {
    // A burst of two seconds of the limit, and two thirds of the limit otherwise.
    let counts = run(36.0, |second| if second == 5 { 96 } else { 24 }, 30);
    let served: u32 = counts[6..].iter().map(|c| c.served).sum();
    let submitted: u32 = counts.iter().map(|c| c.submitted).sum();
    assert!(counts[7..].iter().all(|c| c.sent <= 45), "more than the limit is offered: {counts:?}");
    assert!(served + counts[..6].iter().map(|c| c.served).sum::<u32>() >= submitted * 9 / 10, "{counts:?}");
    // It is over within a few seconds: no call is refused any more.
    assert!(counts[20..].iter().all(|c| c.served == c.sent), "{counts:?}");
}

#[test]
fn messages_refused_together_do_not_return_together() {
    // Two seconds of the limit at once, and almost nothing afterwards: later calls are retries of refused
    // messages.
    let counts = run(30.0, |second| if second == 2 { 60 } else { 2 }, 20);
    let later = &counts[4..];
    assert!(later.iter().all(|c| c.sent <= 20), "{counts:?}");
    assert!(later.iter().filter(|c| c.sent > 3).count() >= 4, "sent at once: {counts:?}");
}

/// With an even share of one call in three seconds, a relay does not see that other relays are served. A
/// limit must not be taken for an outage, whose end would require trials.
#[test]
fn overload_answers_where_calls_are_few_are_not_taken_for_an_outage() {
    let settings = Settings { relays: Some(RELAYS), weights: Weights::Exact, ..settings() };
    let mut dispatcher = Dispatcher::new(settings, 1);
    let listed = Endpoint { weight: Some(30.0), ..endpoint(1, 5) };
    let mut actions = Vec::new();
    dispatcher.on_round(0, &[Event::List { scope: ListScope::Whole, entries: vec![listed] }], &mut actions);
    for msg in 1..6 {
        let now = u64::from(msg) * 20 * SECOND;
        dispatcher.on_round(now, &[Event::Request(request(msg, 5, 0))], &mut actions);
        assert!(!sends(&actions).is_empty(), "{actions:?}");
        actions.clear();
        let refusal = attempt_ended(msg, 0, 1, Outcome::Overloaded { retry_after: None }, ROUND_TRIP);
        dispatcher.on_round(now + ROUND_TRIP, &[refusal, Event::Abandoned { msg: MsgId(msg) }], &mut actions);
        assert!(!actions.iter().any(|a| matches!(a, Action::Log { .. })), "{actions:?}");
    }
}

#[test]
fn a_fleet_follows_a_cold_destination_as_it_warms_up_without_overloading_it() {
    const RATE: f64 = 90.0;
    let capacity = |second: u64| 1.2 * RATE * (0.2 + 0.08 * second.saturating_sub(15) as f64).min(1.0);
    let mut limited = Limited { rate: 0.0, tokens: 0.0, at: 0, refused: 0 };
    let call = |now: Nanos| match now / SECOND {
        10..15 => Outcome::ConnectFailed,
        second => {
            limited.rate = capacity(second);
            limited.call(now)
        }
    };
    let counts = run_with(RATE, call, |_| 45, 30);
    for second in 15..27 {
        let (sent, capacity_sum) = (second..second + 3).fold((0.0, 0.0), |(sent, capacity_sum), second| {
            (sent + f64::from(counts[second].sent), capacity_sum + capacity(second as u64))
        });
        assert!(sent < 2.0 * capacity_sum, "overloaded from {second} s on: {counts:?}");
    }
    let served: u32 = counts[15..22].iter().map(|c| c.served).sum();
    assert!(served >= 7 * 38, "{served} served in seven seconds after the return: {counts:?}");
}
