//! A fleet without lists starts while one discovery service answers one call after another.
mod common;
use common::*;
use slatethread::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Time that discovery needs for a complete list, and the wait after which it discards a call.
const LIST_TIME: Nanos = 80 * MS;
const MAX_WAIT: Nanos = 2 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// The timer with this nonce expires.
    Timer(u64),
    /// The relay stops waiting for a call.
    StopsWaiting(u64),
    /// Discovery has finished its current call.
    Done,
}

/// Results of a start.
#[derive(Debug, Default)]
struct Start {
    calls: u64,
    discarded: u32,
    /// When the last relay received the list.
    done: Nanos,
    /// Time that discovery spent on lists that a relay still waited for, and on everything else.
    useful: Nanos,
    useless: Nanos,
}

impl Start {
    fn share(&self) -> f64 {
        self.useful as f64 / (self.useful + self.useless) as f64
    }
}

/// Starts `count` relays within half a second. A discarded call costs `discard_cost` hundredths of the time
/// of a list.
fn start(count: u32, list: Nanos, discard_cost: u64, seed: u64, end: Nanos) -> Start {
    let settings = Settings { list_on_request: true, relays: Some(count), ..settings() };
    let mut dispatchers: Vec<_> =
        (0..count).map(|n| Dispatcher::new(settings.clone(), u64::from(n) * 7919 + seed)).collect();
    let mut steps = BinaryHeap::new();
    for relay in 0..count {
        steps.push(Reverse((u64::from(relay * 37 % 500) * MS, relay, Step::Timer(0))));
    }
    let mut waiting = vec![None; count as usize];
    let mut queue: VecDeque<(Nanos, u32, u64)> = VecDeque::new();
    let (mut current, mut missing, mut start) = (None, count, Start::default());
    while let Some(Reverse((now, relay, step))) = steps.pop().filter(|_| missing > 0) {
        let mut event = None;
        match step {
            Step::Timer(nonce) => event = Some((relay, Event::Timer { nonce })),
            Step::StopsWaiting(call) if waiting[relay as usize] == Some(call) => {
                event = Some((relay, Event::List { scope: ListScope::TimedOut, entries: vec![] }));
            }
            Step::StopsWaiting(_) => {}
            Step::Done => {
                let (accepted, cost) = current.take().expect("a call is being answered");
                let (_, caller, call): (Nanos, u32, u64) =
                    queue.pop_front().expect("it is at the head of the queue");
                let still_wanted = waiting[caller as usize] == Some(call);
                *(if accepted && still_wanted { &mut start.useful } else { &mut start.useless }) += cost;
                start.discarded += u32::from(!accepted);
                let scope = if accepted { ListScope::Whole } else { ListScope::Rejected };
                let entries = if accepted { vec![endpoint(1, 5)] } else { vec![] };
                event = still_wanted.then_some((caller, Event::List { scope, entries }));
                missing -= u32::from(accepted && still_wanted);
                start.done = now;
            }
        }
        if let Some((relay, event)) = event {
            if matches!(event, Event::List { .. }) {
                waiting[relay as usize] = None;
            }
            let mut actions = Vec::new();
            dispatchers[relay as usize].on_round(now, &[event], &mut actions);
            for action in actions {
                match action {
                    Action::Subscribe { open: true } if waiting[relay as usize].is_none() => {
                        start.calls += 1;
                        waiting[relay as usize] = Some(start.calls);
                        queue.push_back((now, relay, start.calls));
                        let timeout = dispatchers[relay as usize].list_timeout(false);
                        steps.push(Reverse((now + timeout, relay, Step::StopsWaiting(start.calls))));
                    }
                    Action::SetTimer { nonce, after } => {
                        steps.push(Reverse((now + after, relay, Step::Timer(nonce))));
                    }
                    _ => {}
                }
            }
        }
        if let (None, Some((queued_at, ..))) = (current, queue.front()) {
            let accepted = now - queued_at <= MAX_WAIT;
            let cost = if accepted { list } else { list * discard_cost / 100 };
            current = Some((accepted, cost));
            steps.push(Reverse((now + cost, 0, Step::Done)));
        }
        assert!(now < end, "{missing} of {count} relays have no list: {start:?}");
    }
    start
}

#[test]
fn a_fleet_without_lists_receives_them_nearly_as_fast_as_discovery_can_send_them() {
    for count in [300, 1000] {
        for discard_cost in [0, 50, 100] {
            for seed in 0..3 {
                let start = start(count, LIST_TIME, discard_cost, seed, 3600 * SECOND);
                let need = LIST_TIME * u64::from(count);
                assert!(start.done <= need * 3 / 2, "{count} relays, {discard_cost} %: {start:?}");
                assert!(start.share() >= 2.0 / 3.0, "{count} relays, {discard_cost} %: {start:?}");
            }
        }
    }
}

/// The speed of discovery is unknown before the first call, so the first cycle is lost if discovery is a
/// tenth as fast as the cycle assumes. The start still completes without intervention.
#[test]
fn a_discovery_a_tenth_as_fast_is_called_in_longer_cycles_until_all_have_lists() {
    for (discard_cost, times, share) in [(0, 3, 0.99), (50, 8, 0.3), (100, 16, 0.15)] {
        for seed in 0..3 {
            let start = start(300, 10 * LIST_TIME, discard_cost, seed, 10_000 * SECOND);
            println!(
                "discarded at {discard_cost} %: {:.2} times the minimum, {:.2} useful, {} calls, {} discarded",
                start.done as f64 / (3000 * LIST_TIME) as f64,
                start.share(),
                start.calls,
                start.discarded
            );
            assert!(start.done <= 3000 * LIST_TIME * times, "{discard_cost} %: {start:?}");
            assert!(start.share() >= share, "{discard_cost} %: {start:?}");
        }
    }
}

/// A discovery that is down rejects all calls at once. That is no sign of a queue, so all relays call again
/// within one and a half cycles.
#[test]
fn only_calls_that_waited_lengthen_the_cycle() {
    let settings = Settings { list_on_request: true, relays: Some(100), ..settings() };
    for (waited, min, max) in [(MS, 0, 15), (2 * SECOND, 80, 240)] {
        let mut dispatcher = Dispatcher::new(settings.clone(), 1);
        let mut longest = 0;
        let (mut now, mut actions) = (0, Vec::new());
        dispatcher.on_round(now, &[], &mut actions);
        for _ in 0..10 {
            let timer = actions.iter().find_map(|a| match a {
                Action::SetTimer { nonce, after } => Some((*nonce, *after)),
                _ => None,
            });
            let (nonce, after) = timer.expect("it schedules the next call");
            (now, longest) = (now + after, longest.max(after));
            dispatcher.on_round(now, &[Event::Timer { nonce }], &mut actions);
            actions.clear();
            now += waited;
            let rejected = Event::List { scope: ListScope::Rejected, entries: vec![] };
            dispatcher.on_round(now, &[rejected], &mut actions);
        }
        assert!((min * SECOND..=max * SECOND).contains(&longest), "waited {waited}: {longest}");
    }
}

#[test]
fn messages_that_cannot_wait_for_the_list_are_refused_at_once() {
    let settings = Settings { list_on_request: true, relays: Some(300), ..settings() };
    // The first call comes after 20 s; the target latency of a notice is 2 s.
    let first_call = |seed| {
        let mut dispatcher = Dispatcher::new(settings.clone(), seed);
        let mut actions = Vec::new();
        dispatcher.on_round(0, &[], &mut actions);
        let after = actions.iter().find_map(|a| match a {
            Action::SetTimer { nonce, after } => Some((*nonce, *after)),
            _ => None,
        });
        (dispatcher, after.expect("a first call is scheduled"))
    };
    let (mut dispatcher, (nonce, after)) =
        (0..).map(first_call).find(|(_, (_, after))| *after > 20 * SECOND).expect("a late first call");
    let mut actions = Vec::new();
    dispatcher.on_round(SECOND, &[Event::Request(request(1, 5, 0))], &mut actions);
    assert!(refused(&actions, 1), "queued for a list that is not expected soon: {actions:?}");
    // While a call is in flight the list may arrive at any moment, so a message is queued; not for long if
    // the call stays unanswered.
    actions.clear();
    dispatcher.on_round(after, &[Event::Timer { nonce }], &mut actions);
    dispatcher.on_round(after, &[Event::Request(request(2, 5, 0))], &mut actions);
    assert!(!refused(&actions, 2), "{actions:?}");
    dispatcher.on_round(after + 6 * SECOND / 5, &[], &mut actions);
    assert!(refused(&actions, 2), "still queued: {actions:?}");
    actions.clear();
    dispatcher.on_round(after + 3 * SECOND, &[Event::Request(request(3, 5, 0))], &mut actions);
    assert!(refused(&actions, 3), "accepted while discovery does not answer: {actions:?}");
    // With a list, messages are sent as usual.
    let list = Event::List { scope: ListScope::Whole, entries: vec![endpoint(1, 5)] };
    actions.clear();
    dispatcher.on_round(after + 4 * SECOND, &[list, Event::Request(request(4, 5, 0))], &mut actions);
    assert_eq!(sends(&actions), [4]);
}
