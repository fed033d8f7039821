//! Admission, window, attempts and requests for the list.
mod common;
use common::*;
use slatethread::*;

fn world_with_latency(latency: Nanos) -> World {
    let mut world = World::new(settings(), vec![endpoint(1, 5)]);
    world.submit(1, 5, 0);
    world.end_call(latency, 1, 0, Outcome::Ok);
    world
}

#[test]
fn new_destinations_accept_messages_with_any_time_left() {
    let mut world = World::new(settings(), vec![endpoint(1, 5)]);
    let urgent = Request { time_left: 50 * MS, ..request(1, 5, 0) };
    assert_eq!(sends(&world.round(0, &[Event::Request(urgent)])), [1]);
}

#[test]
fn a_recent_answer_predicts_the_next() {
    // R = 400 ms: in state three a message with 300 ms left is refused, one with 500 ms is sent.
    let mut world = world_with_latency(400 * MS);
    let request_with = |msg, time_left| Event::Request(Request { time_left, ..request(msg, 5, 0) });
    assert!(refused(&world.round(10 * MS, &[request_with(2, 300 * MS)]), 2));
    assert_eq!(sends(&world.round(10 * MS, &[request_with(3, 500 * MS)])), [3]);
}

#[test]
fn an_idle_destination_is_predicted_by_its_minimum_latency() {
    let mut world = world_with_latency(100 * MS);
    world.submit(2, 5, 0);
    world.end_call(800 * MS, 2, 0, Outcome::Ok);
    // M = 100 ms, R = 800 ms, L = 8 while recent (d R L = 7.04 s), then L = 1 and P = a M = 100 ms.
    let request_with = |msg, time_left| Event::Request(Request { time_left, ..request(msg, 5, 0) });
    assert!(refused(&world.round(SECOND, &[request_with(3, 700 * MS)]), 3));
    world.round(8 * SECOND, &[]);
    assert_eq!(sends(&world.round(MS, &[request_with(4, 200 * MS)])), [4]);
}

#[test]
fn with_calls_in_flight_the_oldest_one_ages_the_prediction() {
    let mut world = world_with_latency(200 * MS);
    world.submit(2, 5, 0);
    // State two: t + b M L = 300 + 0.75 * 200 * L ms, L >= 1, so 400 ms are too few and 20 s enough.
    let urgent = Request { time_left: 400 * MS, ..request(3, 5, 0) };
    assert!(refused(&world.round(300 * MS, &[Event::Request(urgent)]), 3));
    assert!(!refused(&world.submit(4, 5, 0), 4));
}

#[test]
fn the_window_starts_at_one_and_grows_while_full() {
    let mut world = World::new(settings(), vec![endpoint(1, 5)]);
    let burst: Vec<_> = (1..=6).map(|i| Event::Request(request(i, 5, 0))).collect();
    assert_eq!(sends(&world.round(0, &burst)).len(), 1);
    assert_eq!(sends(&world.end_call(50 * MS, 1, 0, Outcome::Ok)).len(), 2, "grown to two");
}

#[test]
fn no_more_calls_than_slots() {
    let settings = Settings { slots: Some(3), ..settings() };
    let mut world = World::new(settings, (1..=5).map(|i| endpoint(i, u64::from(i))).collect());
    let burst: Vec<_> = (1..=5).map(|i| Event::Request(request(i, u64::from(i), 0))).collect();
    assert_eq!(sends(&world.round(0, &burst)).len(), 3);
}

#[test]
fn batched_messages_share_a_call() {
    let mut settings = settings();
    settings.kinds = vec![Kind { separate_routes: None, max_batch: Some(3) }];
    let mut world = World::new(settings, vec![endpoint(1, 5)]);
    let burst: Vec<_> = (1..=5).map(|i| Event::Request(request(i, 5, 0))).collect();
    assert_eq!(sends(&world.round(0, &burst)).len(), 3, "a window of one call, three messages");
}

#[test]
fn attempts_are_limited() {
    let mut world = World::new(settings(), vec![endpoint(1, 5)]);
    let mut sent = sends(&world.submit(1, 5, 0)).len() as u32;
    let mut refusals = 0;
    for _ in 0..60 {
        let actions = world.round(100 * MS, &[attempt_ended(1, sent - 1, 1, Outcome::NotSent, 0)]);
        sent += sends(&actions).len() as u32;
        refusals += u32::from(refused(&actions, 1));
    }
    assert_eq!((sent, refusals), (6, 1));
}

#[test]
fn a_full_queue_gives_up_the_lowest_ranked_messages() {
    let settings = Settings { max_open_messages: Some(4), ..settings() };
    let mut world = World::new(settings, vec![]);
    let burst: Vec<_> = (1..=6).map(|i| Event::Request(request(i, 5, 0))).collect();
    let actions = world.round(0, &burst);
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count(), 3);
}

#[test]
fn the_list_is_requested_when_needed_and_not_too_often() {
    let settings = Settings { list_on_request: true, ..settings() };
    let mut dispatcher = Dispatcher::new(settings, 1);
    let mut actions = Vec::new();
    dispatcher.on_round(0, &[known_list()], &mut actions);
    assert_eq!(actions, [Action::Subscribe { open: true }]);
    let mut now = SECOND;
    let mut retry_delay = |now, actions: &mut Vec<Action>| {
        actions.clear();
        dispatcher.on_round(now, &[Event::List { scope: ListScope::Truncated, entries: vec![] }], actions);
        let timer = actions.iter().find(|a| matches!(a, Action::SetTimer { .. })).cloned();
        let Some(Action::SetTimer { nonce, after }) = timer else { panic!("no timer for the next call") };
        actions.clear();
        dispatcher.on_round(now + after, &[Event::Timer { nonce }], actions);
        assert!(actions.contains(&Action::Subscribe { open: true }));
        // A list that arrives in between does not reset the delays: answers may break off every other time.
        dispatcher.on_round(
            now + after,
            &[Event::List { scope: ListScope::Whole, entries: vec![] }],
            actions,
        );
        after
    };
    // An answer that broke off may have announced a drain, which has to be received within half a second.
    assert!(retry_delay(now, &mut actions) <= SECOND / 10);
    for _ in 0..20 {
        now += SECOND;
        assert!(retry_delay(now, &mut actions) <= 2 * SECOND / 5);
    }
    assert!(retry_delay(now + SECOND, &mut actions) >= SECOND / 8, "no delay for a list that keeps failing");
    let quiet = 10 * SECOND + SECOND;
    assert!(
        retry_delay(now + SECOND + quiet, &mut actions) <= SECOND / 10,
        "a new failure is followed by a call at once"
    );
}

/// The list as a dispatcher last received it; drains may be announced for its entries.
fn known_list() -> Event {
    Event::List { scope: ListScope::Patch, entries: vec![endpoint(1, 5)] }
}

/// A hundred relays with a list whose calls to discovery all fail: the number of calls in each second, and
/// the longest delay between two calls of a relay.
fn calls_of_a_fleet(scope: ListScope, seconds: usize) -> (Vec<u32>, Nanos) {
    let (mut calls, mut longest) = (vec![0; seconds + 20], 0);
    for seed in 0..100 {
        let settings = Settings { list_on_request: true, relays: Some(100), ..settings() };
        let mut dispatcher = Dispatcher::new(settings, seed);
        let (mut now, mut events) = (0, vec![known_list()]);
        while now < seconds as u64 * SECOND {
            let mut actions = Vec::new();
            dispatcher.on_round(now, &events, &mut actions);
            let timer = actions.iter().find_map(|a| match a {
                Action::SetTimer { nonce, after } => Some((*nonce, *after)),
                _ => None,
            });
            if let Some((nonce, after)) = timer {
                longest = longest.max(after);
                now += after;
                dispatcher.on_round(now, &[Event::Timer { nonce }], &mut actions);
            }
            assert!(actions.contains(&Action::Subscribe { open: true }));
            calls[(now / SECOND) as usize] += 1;
            events = vec![Event::List { scope, entries: vec![] }];
            now += MS;
        }
    }
    (calls, longest)
}

#[test]
fn a_fleet_spreads_its_calls_so_that_discovery_can_answer() {
    let (calls, longest) = calls_of_a_fleet(ListScope::Unreachable, 40);
    assert!(calls[..40].iter().all(|n| *n <= 50), "too many at once: {calls:?}");
    assert!(calls[30..40].iter().sum::<u32>() <= 180, "still too many: {calls:?}");
    assert!(longest <= 13 * SECOND, "{longest}");
    // An answer that broke off may have announced a drain. The lease on the list covers that case, and if all
    // relays called at once, most of them would have to wait.
    for how in [ListScope::Truncated, ListScope::Rejected, ListScope::TimedOut] {
        let (calls, longest) = calls_of_a_fleet(how, 40);
        assert!(calls[30..40].iter().sum::<u32>() <= 180, "{how:?}: {calls:?}");
        assert!(longest <= 13 * SECOND, "{how:?}: {longest}");
    }
}

/// For a relay of a fleet of 300 with a list, whose watch breaks with `left` remaining of its lease: when it
/// calls again.
fn call_after_a_watch(seed: u64, left: Nanos) -> Nanos {
    let settings = Settings { list_on_request: true, relays: Some(300), ..settings() };
    let mut dispatcher = Dispatcher::new(settings, seed);
    let mut actions = Vec::new();
    dispatcher.on_round(0, &[known_list()], &mut actions);
    dispatcher.on_round(MS, &[Event::Timer { nonce: 2 }], &mut actions);
    dispatcher.on_round(2 * MS, &[Event::List { scope: ListScope::Patch, entries: vec![] }], &mut actions);
    actions.clear();
    dispatcher.set_list_lease(Some(SECOND + left));
    dispatcher.on_round(
        SECOND,
        &[Event::List { scope: ListScope::Truncated, entries: vec![] }],
        &mut actions,
    );
    let after = actions.iter().find_map(|a| match a {
        Action::SetTimer { nonce: 2, after } => Some(*after),
        _ => None,
    });
    after.expect("it schedules the next call")
}

#[test]
fn a_fleet_whose_watches_break_calls_within_the_rest_of_its_leases() {
    let delays = |left| (0..300).map(|seed| call_after_a_watch(seed, left)).collect::<Vec<_>>();
    for left in [2 * SECOND, 3 * SECOND] {
        assert!(
            delays(left).iter().all(|after| *after <= left - SECOND + 25 * MS),
            "time for the call is reserved"
        );
    }
    for left in [0, 2 * SECOND, 6 * SECOND] {
        let early_calls = delays(left).iter().filter(|after| **after <= SECOND / 2).count();
        assert!(
            early_calls <= 190,
            "too many at once with {left} left: {early_calls} of 300 in half a second"
        );
    }
}

/// Guards against messages that wait for an agent that may stay silent, and against ones from the journal that are given up for waiting.
#[test]
fn beside_a_silent_agent_new_messages_are_refused_at_once_and_restored_ones_wait() {
    let mut dispatcher = Dispatcher::new(settings(), 1);
    dispatcher.set_list_lease(Some(0));
    dispatcher.on_round(SECOND, &[known_list()], &mut Vec::new());
    let mut actions = Vec::new();
    let restored = Event::Request(Request { restored: true, ..request(2, 5, 0) });
    dispatcher.on_round(61 * SECOND, &[Event::Request(request(1, 5, 0)), restored], &mut actions);
    let ended = |id: u32| {
        actions.iter().any(|action| match action {
            Action::Refuse { msg, reason, .. } => *msg == MsgId(id) && *reason == GiveUpReason::NoUsableList,
            Action::Fail { msg } | Action::Send { msg, .. } => *msg == MsgId(id),
            _ => false,
        })
    };
    assert!(ended(1) && !ended(2), "{actions:?}");
    dispatcher.set_list_lease(None);
    dispatcher.on_round(62 * SECOND, &[], &mut actions);
    let sent = |action: &Action| matches!(action, Action::Send { msg: MsgId(2), .. });
    assert!(actions.iter().any(sent), "{actions:?}");
}

#[test]
fn strange_events_are_harmless() {
    let mut world = World::new(settings(), vec![endpoint(1, 5)]);
    let relay_message = Event::RelayMessage { from: 3, bytes: vec![1, 2, 3] };
    let probe = Event::ProbeEnded { endpoint: EndpointId(99), outcome: Outcome::Timeout, latency: 0 };
    let events = [
        attempt_ended(9, 0, 1, Outcome::Ok, 0),
        Event::Abandoned { msg: MsgId(9) },
        Event::StreamStarted { msg: MsgId(9) },
        Event::Timer { nonce: 4711 },
        relay_message,
        probe,
    ];
    assert!(world.round(0, &events).is_empty());
    let expired = Request { time_left: 0, ..request(1, 5, 2) };
    assert!(failed(&world.round(0, &[Event::Request(expired)]), 1), "no time left, nothing sent");
}

/// A world with one call at a time, in which the second class is worth twice as much as the first.
fn one_call_world(worst_class_weight: f64) -> World {
    let mut settings = Settings { slots: Some(1), worst_class_weight, ..settings() };
    settings.classes[1].worth = Some(2.0);
    World::new(settings, vec![endpoint(1, 5)])
}

#[test]
fn the_worst_served_class_goes_first_if_it_has_extra_weight() {
    for (worst_class_weight, first) in [(0.0, 5), (0.25, 6)] {
        let mut world = one_call_world(worst_class_weight);
        for order in 1..=3 {
            world.submit(order, 5, 1);
            world.end_call(50 * MS, order, 0, Outcome::Ok);
        }
        world.submit(4, 5, 1);
        world.submit(5, 5, 1);
        world.submit(6, 5, 0);
        assert_eq!(sends(&world.end_call(50 * MS, 4, 0, Outcome::Ok)), [first]);
    }
}

#[test]
fn messages_that_miss_their_target_yield_to_those_that_can_meet_it() {
    let mut world = one_call_world(0.0);
    world.submit(1, 5, 0);
    world.end_call(1500 * MS, 1, 0, Outcome::Ok);
    world.submit(2, 5, 0);
    world.submit(3, 5, 0);
    world.round(1100 * MS, &[Event::Request(request(4, 5, 0))]);
    // A call takes 1.5 s: the third message can no longer meet its target of 2 s, the fourth can.
    let ended = attempt_ended(2, 0, 1, Outcome::Ok, 1500 * MS);
    assert_eq!(sends(&world.round(400 * MS, &[ended])), [4]);
}

#[test]
fn the_predicted_wait_counts_only_messages_that_go_before() {
    let mut world = one_call_world(0.0);
    world.submit(1, 5, 0);
    world.end_call(400 * MS, 1, 0, Outcome::Ok);
    (2..12).for_each(|notice| drop(world.submit(notice, 5, 0)));
    let request_with =
        |msg, class| Event::Request(Request { time_left: 2 * SECOND, ..request(msg, 5, class) });
    assert!(refused(&world.round(MS, &[request_with(12, 0)]), 12), "ten calls of 400 ms go before it");
    assert!(!refused(&world.round(MS, &[request_with(13, 1)]), 13), "worth more, it is next");
}
