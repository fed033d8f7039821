//! Destinations that are rarely used: what is kept of them, and how one is started that may be cold.
mod common;
use common::*;
use proptest::prelude::*;
use slatethread::*;
use std::collections::BTreeMap;

const MINUTE: Nanos = 60 * SECOND;

fn cold_after(minutes: u64) -> Settings {
    Settings {
        cold_after: Some(minutes * MINUTE),
        slots: Some(64),
        max_open_messages: Some(400),
        ..settings()
    }
}

/// Submits messages at a given rate for a number of seconds, with every call answered (or refused) within a
/// round of 10 ms; returns the number of calls in each second.
struct Traffic {
    world: World,
    next: u32,
    in_flight: Vec<(u32, u32, u32)>,
    attempts: BTreeMap<u32, u32>,
}

impl Traffic {
    fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        Traffic {
            world: World::new(settings, endpoints),
            next: 0,
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
        }
    }

    fn run(
        &mut self,
        dest: u64,
        seconds: usize,
        rate: usize,
        served: impl Fn(usize, u32) -> Outcome,
    ) -> Vec<u32> {
        let mut calls = vec![0; seconds];
        for tick in 0..seconds * 100 {
            let second = tick / 100;
            let mut events: Vec<_> = std::mem::take(&mut self.in_flight)
                .into_iter()
                .map(|(msg, attempt, call)| attempt_ended(msg, attempt, 1, served(second, call), 10 * MS))
                .collect();
            if rate > 0 && tick % (100 / rate).max(1) == 0 {
                self.next += 1;
                events.push(Event::Request(request(self.next, dest, 2)));
            }
            for action in self.world.round(10 * MS, &events) {
                if let Action::Send { msg, .. } = action {
                    let attempt = self.attempts.entry(msg.0).or_default();
                    calls[second] += 1;
                    self.in_flight.push((msg.0, *attempt, calls[second]));
                    *attempt += 1;
                }
            }
        }
        calls
    }
}

#[test]
fn only_used_destinations_have_full_records_and_they_are_compacted_after_a_minute() {
    let endpoints = (1..=1000).map(|i| endpoint(i, u64::from(i))).collect();
    let mut world = World::new(settings(), endpoints);
    assert_eq!(world.dispatcher.record_counts(), RecordCounts { listed: 1000, full: 0, idle: 0, cold: 0 });
    world.submit(1, 7, 0);
    world.submit(2, 8, 0);
    assert_eq!(world.dispatcher.record_counts().full, 2);
    world.end_call(MS, 1, 0, Outcome::Ok);
    // The other call is still in flight.
    world.round(2 * MINUTE, &[]);
    assert_eq!(world.dispatcher.record_counts().full, 1);
    world.end_call(MS, 2, 0, Outcome::Ok);
    world.round(2 * MINUTE, &[]);
    assert_eq!(world.dispatcher.record_counts(), RecordCounts { listed: 1000, full: 0, idle: 0, cold: 0 });
}

#[test]
fn a_message_for_a_destination_that_is_not_listed_yet_is_sent_once_it_is() {
    let mut world = World::new(settings(), vec![endpoint(1, 5)]);
    assert!(sends(&world.submit(1, 6, 0)).is_empty());
    let list = Event::List { scope: ListScope::Patch, entries: vec![endpoint(2, 6)] };
    assert_eq!(sends(&world.round(SECOND, &[list])), [1]);
}

#[test]
fn an_announced_wait_outlasts_compaction() {
    let mut world = World::new(settings(), vec![endpoint(1, 5)]);
    world.submit(1, 5, 0);
    world.end_call(MS, 1, 0, Outcome::Overloaded { retry_after: Some(10 * MINUTE) });
    world.round(2 * MINUTE, &[]);
    assert_eq!((world.dispatcher.record_counts().full, world.dispatcher.record_counts().idle), (0, 1));
    assert!(sends(&world.submit(2, 5, 0)).is_empty());
    world.round(9 * MINUTE, &[]);
    assert_eq!(sends(&world.submit(3, 5, 0)), [3]);
}

#[test]
fn a_down_endpoint_stays_down_after_compaction() {
    let mut world = World::new(Settings { max_attempts: Some(1), ..settings() }, vec![endpoint(1, 5)]);
    for msg in 1..=3 {
        world.submit(msg, 5, 2);
        world.end_call(MS, msg, 0, Outcome::ConnectFailed);
        world.round(21 * SECOND, &[]);
    }
    world.round(2 * MINUTE, &[]);
    assert_eq!(world.dispatcher.record_counts().full, 0);
    // A single trial and nothing else: a destination that counts as up would be sent two.
    world.submit(8, 5, 0);
    let sent = sends(&world.submit(9, 5, 0));
    assert!(sent.is_empty(), "{sent:?}");
}

#[test]
fn a_burst_after_an_hour_is_sent_as_slowly_as_a_cold_destination_needs() {
    let mut traffic = Traffic::new(cold_after(10), vec![endpoint(1, 5)]);
    let before = traffic.run(5, 30, 20, |_, _| Outcome::Ok);
    assert!(before[25] >= 19, "{before:?}");
    traffic.world.round(60 * MINUTE, &[]);
    let requests: Vec<_> = (1000..1040).map(|msg| Event::Request(request(msg, 5, 2))).collect();
    for action in traffic.world.round(10 * MS, &requests) {
        if let Action::Send { msg, .. } = action {
            traffic.attempts.insert(msg.0, 1);
            traffic.in_flight.push((msg.0, 0, 1));
        }
    }
    assert_eq!(traffic.in_flight.len(), 1, "they are not sent at once");
    assert_eq!(traffic.world.dispatcher.record_counts().cold, 1);
    let after = traffic.run(5, 20, 20, |_, _| Outcome::Ok);
    // A fifth of the capacity that it was known to have, then more as it warms up within ten seconds.
    let known_rate = f64::from(*before.iter().max().expect("seconds"));
    for (second, calls) in after[..9].iter().enumerate() {
        let capacity = known_rate * (0.2 + 0.08 * (second + 1) as f64);
        assert!(f64::from(*calls) <= capacity + 2.0, "{calls} of {capacity} in second {second}: {after:?}");
    }
    assert!(after[13..].iter().all(|calls| *calls >= 19), "{after:?}");
    // Without the setting nothing changes.
    let mut traffic = Traffic::new(Settings { cold_after: None, ..cold_after(10) }, vec![endpoint(1, 5)]);
    traffic.run(5, 30, 20, |_, _| Outcome::Ok);
    traffic.world.round(60 * MINUTE, &[]);
    let after = traffic.run(5, 3, 20, |_, _| Outcome::Ok);
    assert!(after[0] >= 19, "{after:?}");
}

#[test]
fn a_destination_back_at_a_tenth_of_its_capacity_is_not_overloaded() {
    let mut traffic = Traffic::new(cold_after(10), vec![endpoint(1, 5)]);
    traffic.run(5, 30, 50, |_, _| Outcome::Ok);
    traffic.world.round(60 * MINUTE, &[]);
    let refusals_above_five =
        |_, call| if call <= 5 { Outcome::Ok } else { Outcome::Overloaded { retry_after: None } };
    let after = traffic.run(5, 30, 50, refusals_above_five);
    assert!(after.iter().all(|calls| *calls <= 10), "twice five a second overloads it: {after:?}");
    let served: u32 = after[10..].iter().map(|calls| (*calls).min(5)).sum();
    assert!(served >= 60, "of a hundred: {after:?}");
}

#[test]
fn several_relays_without_knowledge_share_the_initial_rate() {
    let mut all = vec![0; 8];
    for _ in 0..4 {
        let settings = Settings { relays: Some(4), ..cold_after(10) };
        let mut traffic = Traffic::new(settings, vec![endpoint(1, 5)]);
        let calls = traffic.run(5, 8, 20, |_, _| Outcome::Ok);
        all.iter_mut().zip(calls).for_each(|(all, calls)| *all += calls);
    }
    assert!(all[0] <= 8 && all[1] <= 8, "{all:?}");
    assert!(all.windows(2).all(|w| f64::from(w[1]) <= f64::from(w[0]) * 1.4 + 8.0), "{all:?}");
}

#[test]
fn a_recent_start_or_a_new_id_is_cold_even_if_the_destination_was_in_use() {
    for (id, started) in [(1, true), (2, false)] {
        let mut traffic = Traffic::new(cold_after(10), vec![endpoint(1, 5)]);
        traffic.run(5, 20, 20, |_, _| Outcome::Ok);
        let now = traffic.world.now;
        let entry = Endpoint { started: if started { now } else { 0 }, ..endpoint(id, 5) };
        let gone = Endpoint { condition: Condition::Removed, ..endpoint(1, 5) };
        let entries = if id == 1 { vec![entry] } else { vec![gone, entry] };
        traffic.world.round(MS, &[Event::List { scope: ListScope::Patch, entries }]);
        let after = traffic.run(5, 4, 20, |_, _| Outcome::Ok);
        assert!(after[0] <= 6 && after[0] >= 1, "id {id}: {after:?}");
    }
}

#[test]
fn messages_that_a_cold_destination_cannot_serve_in_time_are_refused_at_once() {
    let mut world = World::new(cold_after(10), vec![endpoint(1, 5)]);
    let all: Vec<_> = (1..=200)
        .map(|msg| Event::Request(Request { time_left: 6 * SECOND, ..request(msg, 5, 0) }))
        .collect();
    let actions = world.round(10 * MS, &all);
    let refused = (1..=200).filter(|msg| refused(&actions, *msg)).count();
    assert!(
        (100..200).contains(&refused),
        "{refused}: at two a second and growing, some tens are sent in six seconds"
    );
}

proptest! {
    /// For any lists, messages, answers and idle times: nothing is sent to an endpoint that is no longer
    /// listed or during an announced wait, only destinations that are listed or have calls in flight have
    /// full records, and in the end all records are compacted.
    #[test]
    fn compaction_and_reuse_break_no_rule(
        steps in prop::collection::vec((0u8..8, 1u32..6, 0u64..3), 1..80), cold in any::<bool>()
    ) {
        let settings = if cold { cold_after(2) } else { settings() };
        let dest = |id: u32| u64::from(id % 2) + 1;
        let mut world = World::new(settings, vec![endpoint(1, dest(1)), endpoint(2, dest(2))]);
        let mut listed: BTreeMap<u32, bool> = [(1, true), (2, true)].into();
        let mut in_flight: Vec<(u32, u32, u32)> = Vec::new();
        let mut attempts: BTreeMap<u32, u32> = BTreeMap::new();
        let mut waits: BTreeMap<u64, Nanos> = BTreeMap::new();
        for (msg, (step, id, long)) in (1u32..).zip(steps) {
            let after = [10 * MS, SECOND, 3 * MINUTE][long as usize];
            let now = world.now + after;
            let mut events = Vec::new();
            match step {
                0 | 1 => {
                    let condition = if step == 0 { Condition::Removed } else { Condition::Active };
                    listed.insert(id, step == 1);
                    let entries = vec![Endpoint { condition, ..endpoint(id, dest(id)) }];
                    events.push(Event::List { scope: ListScope::Patch, entries });
                }
                2 | 3 if !in_flight.is_empty() => {
                    let (msg, attempt, id) = in_flight.swap_remove(id as usize % in_flight.len());
                    let wait = (step == 3).then_some(5 * MINUTE);
                    let outcome =
                        wait.map_or(Outcome::Ok, |wait| Outcome::Overloaded { retry_after: Some(wait) });
                    if let Some(wait) = wait {
                        waits.insert(dest(id), now + wait);
                    }
                    events.push(attempt_ended(msg, attempt, id, outcome, after));
                }
                _ => events.push(Event::Request(request(msg, dest(id), 0))),
            }
            for action in world.round(after, &events) {
                if let Action::Send { msg, endpoint, .. } = action {
                    prop_assert!(
                        listed.get(&endpoint.0) == Some(&true),
                        "sent to an endpoint that is not listed"
                    );
                    prop_assert!(
                        waits.get(&dest(endpoint.0)).is_none_or(|until| now >= *until),
                        "sent during an announced wait"
                    );
                    let attempt = attempts.entry(msg.0).or_default();
                    in_flight.push((msg.0, *attempt, endpoint.0));
                    *attempt += 1;
                }
            }
            let counts = world.dispatcher.record_counts();
            prop_assert_eq!(counts.listed, listed.values().filter(|l| **l).count());
        }
        // All calls in flight complete, as do those sent meanwhile, until the queued messages have reached
        // their deadlines.
        for _ in 0..30 {
            let ended =
                std::mem::take(&mut in_flight).into_iter().map(|(msg, attempt, id)| Event::AttemptEnded {
                    msg: MsgId(msg),
                    attempt,
                    endpoint: EndpointId(id),
                    outcome: Outcome::Ok,
                    latency: MS,
                    message_done: true,
                    report: Report::default(),
                });
            for action in world.round(SECOND, &ended.collect::<Vec<_>>()) {
                if let Action::Send { msg, endpoint, .. } = action {
                    let attempt = attempts.entry(msg.0).or_default();
                    in_flight.push((msg.0, *attempt, endpoint.0));
                    *attempt += 1;
                }
            }
        }
        for _ in 0..3 {
            world.round(10 * MINUTE, &[]);
        }
        prop_assert_eq!(
            (world.dispatcher.record_counts().full, world.dispatcher.record_counts().cold),
            (0, 0)
        );
    }
}
