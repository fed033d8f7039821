//! Many messages queued for many destinations: a round examines only what may have changed, and misses
//! nothing.
mod common;
use common::*;
use proptest::prelude::*;
use slatethread::*;
use std::collections::BTreeMap;

/// More than the number of destinations that a round visits in round-robin order.
const DESTS: u32 = 300;

fn many(slots: u32) -> World {
    let settings = Settings { slots: Some(slots), max_open_messages: Some(100_000), ..settings() };
    World::new(settings, (1..=DESTS).map(|id| endpoint(id, u64::from(id))).collect())
}

fn request_with(msg: u32, dest: u32, time_left: Nanos) -> Event {
    Event::Request(Request { time_left, ..request(msg, u64::from(dest), 0) })
}

#[test]
fn a_free_slot_goes_to_the_most_urgent_message_of_any_destination() {
    let mut world = many(1);
    let shuffled = |dest: u32| dest * 7919 % DESTS;
    let requests: Vec<_> =
        (1..=DESTS).map(|d| request_with(d, d, 18 * SECOND + Nanos::from(shuffled(d)) * MS)).collect();
    let mut in_flight = sends(&world.round(0, &requests));
    let mut order = Vec::new();
    for _ in 0..150 {
        assert_eq!(in_flight.len(), 1, "one slot, and messages enough");
        order.push(shuffled(in_flight[0]));
        in_flight = sends(&world.round(MS, &[attempt_ended(in_flight[0], 0, in_flight[0], Outcome::Ok, MS)]));
    }
    assert!(order.is_sorted(), "{order:?}");
}

#[test]
fn an_announced_wait_ends_on_time_among_many_destinations() {
    let mut world = many(2000);
    // All are refused with different waits, so that each destination has a queued message.
    let requests: Vec<_> = (1..=DESTS).map(|d| request_with(d, d, 19 * SECOND)).collect();
    assert_eq!(sends(&world.round(0, &requests)).len() as u32, DESTS);
    let start = world.now;
    let wait = |d: u32| 2 * SECOND + Nanos::from(d) * MS;
    let refusals: Vec<_> = (1..=DESTS)
        .map(|d| attempt_ended(d, 0, d, Outcome::Overloaded { retry_after: Some(wait(d)) }, MS))
        .collect();
    assert_eq!(sends(&world.round(0, &refusals)), []);
    let mut sent = BTreeMap::new();
    while world.now < start + 4 * SECOND {
        for msg in sends(&world.round(5 * MS, &[])) {
            sent.insert(msg, world.now);
        }
    }
    for d in 1..=DESTS {
        let at = sent.get(&d).unwrap_or_else(|| panic!("{d} was never sent again"));
        assert!(*at >= start + wait(d), "{d} was sent during an announced wait");
        assert!(*at <= start + wait(d) + 5 * MS, "{d} was sent {} ms late", (at - start - wait(d)) / MS);
    }
}

#[test]
fn hopeless_messages_among_many_are_given_up_in_time() {
    let mut world = many(DESTS);
    let first: Vec<_> = (1..=DESTS).map(|d| request_with(d, d, 19 * SECOND)).collect();
    world.round(0, &first);
    // Their windows are used up by a call that never ends, so the second message of each is queued.
    let second: Vec<_> =
        (1..=DESTS).map(|d| request_with(DESTS + d, d, SECOND + Nanos::from(d) * MS)).collect();
    let mut actions = world.round(0, &second);
    let start = world.now;
    let mut ended = BTreeMap::new();
    loop {
        for action in actions {
            if let Action::Refuse { msg, .. } | Action::Fail { msg } = action {
                assert!(ended.insert(msg.0, world.now).is_none(), "{msg:?} ended twice");
            }
        }
        if world.now >= start + 3 * SECOND {
            break;
        }
        actions = world.round(5 * MS, &[]);
    }
    for d in 1..=DESTS {
        let at = ended.get(&(DESTS + d)).unwrap_or_else(|| panic!("{d} was forgotten"));
        assert!(*at <= start + SECOND + Nanos::from(d) * MS, "{d} ended after its deadline");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 200, failure_persistence: None, ..ProptestConfig::with_cases(4) })]
    /// For any outcomes: each message ends once and before its deadline, no two attempts of a message are in
    /// flight, the order of keys is kept, and once the queue is empty all further messages are sent at once.
    #[test]
    fn no_queued_message_is_lost(seed in any::<u64>(), slots in 1u32..40, max_open_messages in 20u32..400) {
        let mut random = seed;
        let mut draw = move |below: u64| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (random >> 33) % below
        };
        let dests = 150;
        let mut classes = settings().classes;
        classes[0].ordered = true;
        let settings = Settings {
            slots: Some(slots),
            max_open_messages: Some(max_open_messages),
            classes,
            ..settings()
        };
        let mut world = World::new(settings, (1..=dests).map(|id| endpoint(id, u64::from(id))).collect());
        // Deadline and key of each open message, and the attempts in flight.
        let mut open_messages: BTreeMap<u32, (Nanos, Option<u64>)> = BTreeMap::new();
        let mut in_flight: BTreeMap<u32, (u32, u32, Nanos, bool)> = BTreeMap::new();
        let mut attempts: BTreeMap<u32, u32> = BTreeMap::new();
        let mut next = 0;
        for round in 0..1120u32 {
            let mut events = Vec::new();
            if round < 250 {
                for _ in 0..draw(4) {
                    next += 1;
                    let key = (draw(3) == 0).then(|| draw(5));
                    let class = if key.is_some() { 0 } else { draw(3) as usize };
                    let time_left = SECOND + draw(3000) * MS;
                    let dest = 1 + draw(u64::from(dests));
                    open_messages.insert(next, (world.now + 5 * MS + time_left, key));
                    let key = key.map(OrderKey);
                    events.push(Event::Request(Request { time_left, key, ..request(next, dest, class) }));
                }
            }
            let finished: Vec<u32> =
                in_flight.iter().filter(|(_, o)| o.2 <= world.now).map(|(id, _)| *id).collect();
            for id in finished {
                let (attempt, endpoint, _, timed_out) = in_flight.remove(&id).expect("it is in flight");
                let outcome = match draw(8) {
                    _ if timed_out => Outcome::Timeout,
                    0 => Outcome::Reset,
                    1 => Outcome::Overloaded { retry_after: None },
                    2 => Outcome::Overloaded { retry_after: Some(draw(900) * MS) },
                    3 => Outcome::ConnectFailed,
                    4 => Outcome::Error,
                    _ => Outcome::Ok,
                };
                if outcome == Outcome::Ok {
                    open_messages.remove(&id);
                }
                events.push(attempt_ended(id, attempt, endpoint, outcome, 20 * MS));
            }
            for action in world.round(5 * MS, &events) {
                match action {
                    Action::Send { msg, endpoint, timeout } => {
                        let (deadline, key) = open_messages[&msg.0];
                        prop_assert!(world.now <= deadline, "{:?} was sent after its deadline", msg);
                        if let Some(key) = key {
                            let earlier =
                                open_messages.iter().find(|(id, o)| **id < msg.0 && o.1 == Some(key));
                            prop_assert!(earlier.is_none(), "{:?} overtook {:?}", msg, earlier);
                        }
                        let attempt = attempts.entry(msg.0).or_default();
                        let duration = draw(60) * MS;
                        let (attempt_number, until) = (*attempt, world.now + duration.min(timeout));
                        *attempt += 1;
                        prop_assert!(
                            in_flight
                                .insert(msg.0, (attempt_number, endpoint.0, until, duration > timeout))
                                .is_none(),
                            "two attempts in flight for {:?}",
                            msg
                        );
                        prop_assert!(in_flight.len() as u32 <= slots);
                    }
                    Action::Refuse { msg, .. } | Action::Fail { msg } => {
                        let (deadline, _) = open_messages.remove(&msg.0).expect("ends once");
                        prop_assert!(world.now <= deadline, "{:?} ended after its deadline", msg);
                        prop_assert!(
                            !in_flight.contains_key(&msg.0),
                            "{:?} ended while an attempt was in flight",
                            msg
                        );
                    }
                    _ => {}
                }
            }
            let late = open_messages.iter().find(|(id, o)| o.0 < world.now && !in_flight.contains_key(id));
            prop_assert!(late.is_none(), "{:?} is past its deadline and not ended", late);
        }
        prop_assert!(open_messages.is_empty(), "{:?} never ended", open_messages);
    }
}
