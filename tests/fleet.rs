//! A hundred couriers before the same destination: what is harmless alone must stay harmless together.
mod common;
use common::*;
use slatethread::*;
use std::collections::BTreeMap;

const COURIERS: u32 = 100;
/// Time from a call to its answer.
const TRIP: Nanos = 100 * MS;

/// A destination that takes so many calls a second; refused calls use the limit up too.
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

/// What came of each second.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    asked: u32,
    sent: u32,
    served: u32,
}

/// Couriers before a limit whose refused calls count, handed so many messages in each second.
fn play(rate: f64, asked: impl Fn(u64) -> u64, seconds: u64) -> Vec<Counts> {
    let mut limited = Limited { rate, tokens: 0.0, at: 0, refused: 0 };
    play_with(rate, |now| limited.call(now), asked, seconds)
}

/// Couriers that are handed messages, in no order of couriers or times, and calls that end as told.
fn play_with(
    rate: f64,
    mut call: impl FnMut(Nanos) -> Outcome,
    asked: impl Fn(u64) -> u64,
    seconds: u64,
) -> Vec<Counts> {
    let settings = Settings { relays: Some(COURIERS), weights: Weights::Exact, slots: Some(4), ..settings() };
    let mut couriers: Vec<_> =
        (0..COURIERS).map(|n| Dispatcher::new(settings.clone(), u64::from(n) + 1)).collect();
    let mut counts = vec![Counts::default(); seconds as usize + 20];
    // What happens, by its time and its turn; and the attempts that each message has had.
    let mut queue: BTreeMap<(Nanos, u32), (u32, Event)> = BTreeMap::new();
    let mut tries: BTreeMap<u32, u32> = BTreeMap::new();
    let mut turn = 0;
    let mut put = |queue: &mut BTreeMap<_, _>, at: Nanos, who: u32, event: Event| {
        turn += 1;
        queue.insert((at, turn), (who, event));
    };
    let listed = Endpoint { weight: Some(rate), ..endpoint(1, 5) };
    for who in 0..COURIERS {
        let list = Event::List { scope: ListScope::Whole, entries: vec![listed.clone()] };
        put(&mut queue, 0, who, list);
    }
    let mut msg = 0;
    for second in 0..seconds {
        for n in 0..asked(second) {
            msg += 1;
            // Coprime steps, so that neither couriers nor times come in order.
            let at = second * SECOND + n * 7919 % asked(second) * SECOND / asked(second);
            put(&mut queue, at + MS, msg * 37 % COURIERS, Event::Request(request(msg, 5, 0)));
            counts[second as usize].asked += 1;
        }
    }
    while let Some(((now, _), (who, event))) = queue.pop_first() {
        if now >= (seconds + 20) * SECOND {
            break;
        }
        let count = &mut counts[(now / SECOND) as usize];
        let mut actions = Vec::new();
        couriers[who as usize].on_round(now, &[event], &mut actions);
        for action in actions {
            match action {
                Action::Send { msg, .. } => {
                    let outcome = call(now);
                    count.sent += 1;
                    count.served += u32::from(outcome == Outcome::Ok);
                    let attempt = tries.entry(msg.0).or_default();
                    put(&mut queue, now + TRIP, who, closed(msg.0, *attempt, 1, outcome, TRIP));
                    *attempt += 1;
                }
                Action::SetTimer { nonce, after } => {
                    put(&mut queue, now + after.max(1), who, Event::Timer { nonce });
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
    // A clump of two seconds of the limit, at two thirds of it otherwise.
    let counts = play(36.0, |second| if second == 5 { 96 } else { 24 }, 30);
    let served: u32 = counts[6..].iter().map(|c| c.served).sum();
    let asked: u32 = counts.iter().map(|c| c.asked).sum();
    assert!(counts[7..].iter().all(|c| c.sent <= 45), "more than the limit is offered: {counts:?}");
    assert!(served + counts[..6].iter().map(|c| c.served).sum::<u32>() >= asked * 9 / 10, "{counts:?}");
    // It is over within a few seconds: no call is refused any more.
    assert!(counts[20..].iter().all(|c| c.served == c.sent), "{counts:?}");
}

#[test]
fn messages_refused_together_do_not_return_together() {
    // Two seconds of the limit at once, and hardly anything else: what was refused is what is sent later on.
    let counts = play(30.0, |second| if second == 2 { 60 } else { 2 }, 20);
    let later = &counts[4..];
    assert!(later.iter().all(|c| c.sent <= 20), "{counts:?}");
    assert!(later.iter().filter(|c| c.sent > 3).count() >= 4, "all at once: {counts:?}");
}

/// With a call in three seconds, others are served unseen: a limit is no outage, whose return would be owed trials.
#[test]
fn overload_answers_where_calls_are_few_are_not_taken_for_an_outage() {
    let settings = Settings { relays: Some(COURIERS), weights: Weights::Exact, ..settings() };
    let mut courier = Dispatcher::new(settings, 1);
    let listed = Endpoint { weight: Some(30.0), ..endpoint(1, 5) };
    let mut actions = Vec::new();
    courier.on_round(0, &[Event::List { scope: ListScope::Whole, entries: vec![listed] }], &mut actions);
    for msg in 1..6 {
        let now = u64::from(msg) * 20 * SECOND;
        courier.on_round(now, &[Event::Request(request(msg, 5, 0))], &mut actions);
        assert!(!sends(&actions).is_empty(), "{actions:?}");
        actions.clear();
        let full = closed(msg, 0, 1, Outcome::Overloaded { retry_after: None }, TRIP);
        courier.on_round(now + TRIP, &[full, Event::Abandoned { msg: MsgId(msg) }], &mut actions);
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
    let counts = play_with(RATE, call, |_| 45, 30);
    for second in 15..27 {
        let (sent, takes) = (second..second + 3).fold((0.0, 0.0), |(sent, takes), second| {
            (sent + f64::from(counts[second].sent), takes + capacity(second as u64))
        });
        assert!(sent < 2.0 * takes, "pushed over from {second} s on: {counts:?}");
    }
    let served: u32 = counts[15..22].iter().map(|c| c.served).sum();
    assert!(served >= 7 * 38, "{served} served in seven seconds after the return: {counts:?}");
}
