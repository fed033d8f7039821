//! A fleet that starts from nothing before one list service that takes a call at a time, alone by turns.
mod common;
use common::*;
use slatethread::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// A whole list's time at the service, and what it has thrown away by the time a call's turn comes.
const LIST: Nanos = 80 * MS;
const WAITS: Nanos = 2 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// Its timer, by its nonce.
    Timer(u64),
    /// It waits no longer for a call.
    Late(u64),
    /// The service is done with the call in its hands.
    Done,
}

/// What came of a start.
#[derive(Debug, Default)]
struct Start {
    calls: u64,
    thrown: u32,
    /// When the last courier held the list.
    done: Nanos,
    /// Time that the service gave to lists which somebody still waited for, and to all else.
    useful: Nanos,
    useless: Nanos,
}

impl Start {
    fn share(&self) -> f64 {
        self.useful as f64 / (self.useful + self.useless) as f64
    }
}

/// A start of `count` couriers within half a second; a call thrown away costs so many hundredths of a list's time.
fn start(count: u32, list: Nanos, thrown_costs: u64, seed: u64, end: Nanos) -> Start {
    let settings = Settings { list_on_request: true, relays: Some(count), ..settings() };
    let mut couriers: Vec<_> =
        (0..count).map(|n| Dispatcher::new(settings.clone(), u64::from(n) * 7919 + seed)).collect();
    let mut steps = BinaryHeap::new();
    for who in 0..count {
        steps.push(Reverse((u64::from(who * 37 % 500) * MS, who, Step::Timer(0))));
    }
    let mut waiting = vec![None; count as usize];
    let mut queue: VecDeque<(Nanos, u32, u64)> = VecDeque::new();
    let (mut begun, mut left, mut start) = (None, count, Start::default());
    while let Some(Reverse((now, who, step))) = steps.pop().filter(|_| left > 0) {
        let mut event = None;
        match step {
            Step::Timer(nonce) => event = Some((who, Event::Timer { nonce })),
            Step::Late(call) if waiting[who as usize] == Some(call) => {
                event = Some((who, Event::List { scope: ListScope::TimedOut, entries: vec![] }));
            }
            Step::Late(_) => {}
            Step::Done => {
                let (kept, cost) = begun.take().expect("in its hands");
                let (_, whose, call): (Nanos, u32, u64) = queue.pop_front().expect("at the head");
                let heard = waiting[whose as usize] == Some(call);
                *(if kept && heard { &mut start.useful } else { &mut start.useless }) += cost;
                start.thrown += u32::from(!kept);
                let scope = if kept { ListScope::Whole } else { ListScope::Rejected };
                let entries = if kept { vec![endpoint(1, 5)] } else { vec![] };
                event = heard.then_some((whose, Event::List { scope, entries }));
                left -= u32::from(kept && heard);
                start.done = now;
            }
        }
        if let Some((who, event)) = event {
            if matches!(event, Event::List { .. }) {
                waiting[who as usize] = None;
            }
            let mut actions = Vec::new();
            couriers[who as usize].on_round(now, &[event], &mut actions);
            for action in actions {
                match action {
                    Action::Subscribe { open: true } if waiting[who as usize].is_none() => {
                        start.calls += 1;
                        waiting[who as usize] = Some(start.calls);
                        queue.push_back((now, who, start.calls));
                        let patience = couriers[who as usize].list_timeout(false);
                        steps.push(Reverse((now + patience, who, Step::Late(start.calls))));
                    }
                    Action::SetTimer { nonce, after } => {
                        steps.push(Reverse((now + after, who, Step::Timer(nonce))));
                    }
                    _ => {}
                }
            }
        }
        if let (None, Some((came, ..))) = (begun, queue.front()) {
            let kept = now - came <= WAITS;
            let cost = if kept { list } else { list * thrown_costs / 100 };
            begun = Some((kept, cost));
            steps.push(Reverse((now + cost, 0, Step::Done)));
        }
        assert!(now < end, "{left} of {count} couriers hold no list: {start:?}");
    }
    start
}

#[test]
fn a_fleet_without_lists_receives_them_nearly_as_fast_as_discovery_can_send_them() {
    for count in [300, 1000] {
        for thrown_costs in [0, 50, 100] {
            for seed in 0..3 {
                let start = start(count, LIST, thrown_costs, seed, 3600 * SECOND);
                let need = LIST * u64::from(count);
                assert!(start.done <= need * 3 / 2, "{count} couriers, {thrown_costs} %: {start:?}");
                assert!(start.share() >= 2.0 / 3.0, "{count} couriers, {thrown_costs} %: {start:?}");
            }
        }
    }
}

/// Nobody knows how slow a service is before it has asked, so the first turn is lost on one that is a tenth as fast as
/// a turn takes it to be. It ends all the same, and by itself.
#[test]
fn a_discovery_a_tenth_as_fast_is_called_in_longer_cycles_until_all_have_lists() {
    for (thrown_costs, times, share) in [(0, 3, 0.99), (50, 8, 0.3), (100, 16, 0.15)] {
        for seed in 0..3 {
            let start = start(300, 10 * LIST, thrown_costs, seed, 10_000 * SECOND);
            println!(
                "thrown away at {thrown_costs} %: {:.2} times what it needs, {:.2} useful, {} calls, {} thrown away",
                start.done as f64 / (3000 * LIST) as f64,
                start.share(),
                start.calls,
                start.thrown
            );
            assert!(start.done <= 3000 * LIST * times, "{thrown_costs} %: {start:?}");
            assert!(start.share() >= share, "{thrown_costs} %: {start:?}");
        }
    }
}

/// Down, a service turns all away at once: that says nothing of a queue, and all ask again within a turn and a half.
#[test]
fn only_calls_that_waited_lengthen_the_cycle() {
    let settings = Settings { list_on_request: true, relays: Some(100), ..settings() };
    for (waited, least, most) in [(MS, 0, 15), (2 * SECOND, 80, 240)] {
        let mut courier = Dispatcher::new(settings.clone(), 1);
        let mut longest = 0;
        let (mut now, mut actions) = (0, Vec::new());
        courier.on_round(now, &[], &mut actions);
        for _ in 0..10 {
            let timer = actions.iter().find_map(|a| match a {
                Action::SetTimer { nonce, after } => Some((*nonce, *after)),
                _ => None,
            });
            let (nonce, after) = timer.expect("it asks again");
            (now, longest) = (now + after, longest.max(after));
            courier.on_round(now, &[Event::Timer { nonce }], &mut actions);
            actions.clear();
            now += waited;
            let busy = Event::List { scope: ListScope::Rejected, entries: vec![] };
            courier.on_round(now, &[busy], &mut actions);
        }
        assert!((least * SECOND..=most * SECOND).contains(&longest), "waited {waited}: {longest}");
    }
}

#[test]
fn messages_that_cannot_wait_for_the_list_are_refused_at_once() {
    let settings = Settings { list_on_request: true, relays: Some(300), ..settings() };
    // Its turn comes after 20 s; a notice has 2 s for its aim.
    let turn = |seed| {
        let mut courier = Dispatcher::new(settings.clone(), seed);
        let mut actions = Vec::new();
        courier.on_round(0, &[], &mut actions);
        let after = actions.iter().find_map(|a| match a {
            Action::SetTimer { nonce, after } => Some((*nonce, *after)),
            _ => None,
        });
        (courier, after.expect("a turn"))
    };
    let (mut courier, (nonce, after)) =
        (0..).map(turn).find(|(_, (_, after))| *after > 20 * SECOND).expect("late");
    let mut actions = Vec::new();
    courier.on_round(SECOND, &[Event::Request(request(1, 5, 0))], &mut actions);
    assert!(refused(&actions, 1), "held for a list that is far off: {actions:?}");
    // With a call out it may be had any moment, so a message is held; not for long where that call is silent.
    actions.clear();
    courier.on_round(after, &[Event::Timer { nonce }], &mut actions);
    courier.on_round(after, &[Event::Request(request(2, 5, 0))], &mut actions);
    assert!(!refused(&actions, 2), "{actions:?}");
    courier.on_round(after + 6 * SECOND / 5, &[], &mut actions);
    assert!(refused(&actions, 2), "held on and on: {actions:?}");
    actions.clear();
    courier.on_round(after + 3 * SECOND, &[Event::Request(request(3, 5, 0))], &mut actions);
    assert!(refused(&actions, 3), "taken on while discovery is silent: {actions:?}");
    // Once there is a list, all goes on as ever.
    let list = Event::List { scope: ListScope::Whole, entries: vec![endpoint(1, 5)] };
    actions.clear();
    courier.on_round(after + 4 * SECOND, &[list, Event::Request(request(4, 5, 0))], &mut actions);
    assert_eq!(sends(&actions), [4]);
}
