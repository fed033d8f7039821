//! Regression tests, one for each failure found in an incident or in operation.
mod common;
use common::*;
use slatethread::*;

/// Incident iaa745e: messages submitted with little time left were all refused as too late.
#[test]
fn little_time_left_is_no_reason_to_refuse() {
    let mut world = World::new(settings(), vec![endpoint(1, 5)]);
    world.submit(1, 5, 0);
    world.end_call(100 * MS, 1, 0, Outcome::Ok);
    let short = Request { time_left: SECOND, ..request(2, 5, 0) };
    assert_eq!(sends(&world.round(SECOND, &[Event::Request(short)])), [2]);
}

/// Incident i9061e0: calls for unsafe messages that were never answered occupied all slots until their
/// deadlines.
#[test]
fn silent_calls_beyond_their_share_of_the_slots_are_cancelled() {
    let endpoints = (1..=8).map(|i| endpoint(i, u64::from(i))).collect();
    let mut world = World::new(settings(), endpoints);
    for i in 1..=8 {
        assert_eq!(sends(&world.submit(i, u64::from(i), 2)), [i]);
    }
    let actions = world.round(3 * SECOND, &[]);
    let cancels = actions.iter().filter(|a| matches!(a, Action::Cancel { .. })).count();
    assert_eq!(cancels, 6, "a quarter of the eight slots may be used by silent calls");
    assert!(world.round(SECOND, &[]).is_empty(), "each is cancelled once");
}

/// Incident i5a619d: connections that failed slowly occupied slots for endpoints that were down.
#[test]
fn trials_at_a_down_endpoint_are_at_least_a_dial_timeout_apart() {
    let settings = Settings { dial_timeout: Some(1500 * MS), ..settings() };
    let mut world = World::new(settings, vec![endpoint(1, 5)]);
    let mut run = |first: u32, rounds: u32, outcome: Outcome| {
        let mut attempts = std::collections::BTreeMap::new();
        let mut events = Vec::new();
        for msg in first..first + rounds {
            events.push(Event::Request(request(msg, 5, 0)));
            let sent = sends(&world.round(50 * MS, &std::mem::take(&mut events)));
            for id in sent {
                let attempt = attempts.entry(id).or_insert(0);
                events.push(attempt_ended(id, *attempt, 1, outcome, 50 * MS));
                *attempt += 1;
            }
        }
        world.round(50 * MS, &events);
        attempts.values().sum::<u32>()
    };
    assert!(run(1, 100, Outcome::Ok) >= 99);
    let during = run(200, 120, Outcome::ConnectFailed);
    assert!(during <= 8, "{during} calls in six seconds of outage");
}

fn closes_idle(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::CloseIdle { .. }))
}

/// Larger deployments: the idle connections of hundreds of relays fill an endpoint's connection table. If
/// connection attempts fail at an endpoint that is up, a relay closes its own idle connections early;
/// otherwise it keeps them.
#[test]
fn idle_connections_are_closed_early_once_connection_attempts_fail() {
    let idle_after = |failures: u32| {
        let settings = Settings { idle_close: Some(10 * SECOND), ..settings() };
        let mut world = World::new(settings, vec![endpoint(1, 5), endpoint(2, 6)]);
        for msg in 1..=failures {
            world.submit(msg, 6, 0);
            world.round(SECOND, &[attempt_ended(msg, 0, 2, Outcome::ConnectFailed, 60 * MS)]);
            world.round(0, &[Event::Abandoned { msg: MsgId(msg) }]);
            world.round(0, &[attempt_ended(msg, 1, 2, Outcome::Ok, 60 * MS)]);
        }
        world.submit(100, 5, 0);
        world.end_call(100 * MS, 100, 0, Outcome::Ok);
        (1..=40).find(|_| closes_idle(&world.round(SECOND / 4, &[])))
    };
    assert_eq!(idle_after(0), None, "kept until the idle time-out");
    assert!(idle_after(4).is_some_and(|quarters| quarters <= 20), "{:?}", idle_after(4));
}

/// Large fleet: an endpoint that is down refuses connections as well. That does not mean that its connection
/// table is full, and closing idle connections too early costs a handshake for each call all day long.
#[test]
fn an_outage_does_not_make_idle_connections_short_lived() {
    let settings = Settings { idle_close: Some(10 * SECOND), ..settings() };
    let mut world = World::new(settings, vec![endpoint(1, 5), endpoint(2, 6)]);
    world.submit(1, 6, 0);
    world.round(SECOND, &[attempt_ended(1, 0, 2, Outcome::Ok, 60 * MS)]);
    world.submit(2, 6, 0);
    // The endpoint starts to refuse connections and does so for three attempts.
    for attempt in 0..3 {
        world.round(60 * MS, &[attempt_ended(2, attempt, 2, Outcome::ConnectFailed, 60 * MS)]);
        (0..400).find(|_| !sends(&world.round(20 * MS, &[])).is_empty());
    }
    world.round(60 * MS, &[attempt_ended(2, 3, 2, Outcome::Ok, 60 * MS)]);
    world.submit(100, 5, 0);
    world.end_call(100 * MS, 100, 0, Outcome::Ok);
    assert!((1..=30).all(|_| !closes_idle(&world.round(SECOND / 4, &[]))));
}

/// Larger deployments: with hundreds of relays an even share of a listed rate is a few calls a minute. A
/// second message must not wait that long.
#[test]
fn an_even_share_among_hundreds_does_not_delay_a_second_message() {
    let settings = Settings { relays: Some(200), weights: Weights::Exact, ..settings() };
    let listed = Endpoint { weight: Some(5.0), ..endpoint(1, 5) };
    let mut world = World::new(settings, vec![listed]);
    world.submit(1, 5, 0);
    world.end_call(100 * MS, 1, 0, Outcome::Ok);
    let mut sent = sends(&world.submit(2, 5, 0));
    for _ in 0..20 {
        sent.extend(sends(&world.round(SECOND / 10, &[])));
    }
    assert_eq!(sent, [2], "sent within the target latency");
}

/// Larger deployments: relays with two or three slots must not cancel every silent call at once.
#[test]
fn with_few_slots_one_silent_call_may_stay_in_flight() {
    let settings = Settings { slots: Some(2), ..settings() };
    let mut world = World::new(settings, vec![endpoint(1, 5), endpoint(2, 6)]);
    world.submit(1, 5, 2);
    world.submit(2, 6, 2);
    let actions = world.round(3 * SECOND, &[]);
    let cancels = actions.iter().filter(|a| matches!(a, Action::Cancel { .. })).count();
    assert_eq!(cancels, 1, "the other call stays in flight");
}

/// Larger deployments: a client that was refused with almost no backoff returned to the same full queue at
/// once.
#[test]
fn refusals_carry_a_backoff_long_enough_to_matter() {
    let settings = Settings { max_open_messages: Some(4), ..settings() };
    let mut world = World::new(settings, vec![]);
    let burst: Vec<_> = (1..=6).map(|i| Event::Request(request(i, 5, 0))).collect();
    for action in world.round(0, &burst) {
        let Action::Refuse { backoff, .. } = action else { panic!("{action:?}") };
        assert!(backoff.is_some_and(|b| b >= SECOND / 2), "{backoff:?}");
    }
}

/// Larger deployments: relays that received the same announced wait all returned at its end.
#[test]
fn relays_with_the_same_announced_wait_return_spread_out() {
    let first_after = |seed: u64| {
        let settings = Settings { relays: Some(50), ..settings() };
        let mut world = World::new(settings, vec![endpoint(1, 5)]);
        world.dispatcher = Dispatcher::new(Settings { relays: Some(50), ..common::settings() }, seed);
        world.round(0, &[Event::List { scope: ListScope::Whole, entries: vec![endpoint(1, 5)] }]);
        world.submit(1, 5, 0);
        world.end_call(50 * MS, 1, 0, Outcome::Overloaded { retry_after: Some(4 * SECOND) });
        (1..400).find(|_| !sends(&world.round(50 * MS, &[])).is_empty())
    };
    let starts: std::collections::BTreeSet<_> = (0..10).map(first_after).collect();
    assert!(starts.iter().all(|s| s.is_some_and(|s| s >= 80)), "none before the end of the wait: {starts:?}");
    assert!(starts.len() >= 5, "{starts:?}");
}

/// Larger deployments: relays in the same state all called the endpoint with the lowest id.
#[test]
fn equal_endpoints_are_chosen_at_random() {
    let first = |seed: u64| {
        let mut dispatcher = Dispatcher::new(settings(), seed);
        let list = Event::List { scope: ListScope::Whole, entries: vec![endpoint(1, 5), endpoint(2, 5)] };
        let mut actions = Vec::new();
        dispatcher.on_round(SECOND, &[list, Event::Request(request(1, 5, 0))], &mut actions);
        let sent = actions
            .iter()
            .find_map(|a| if let Action::Send { endpoint, .. } = a { Some(endpoint.0) } else { None });
        sent.expect("the message can be sent")
    };
    let chose_first = (0..40).filter(|seed| first(*seed) == 1).count();
    assert!((8..=32).contains(&chose_first), "{chose_first} of 40 relays");
}

/// Incident i9b981a: a burst of messages during an outage made one call of every relay fail. The second
/// attempts must not come together, nor at once at the other endpoint, and a relay with little traffic must
/// not keep calling.
#[test]
fn relays_that_failed_once_do_not_return_together() {
    let retrying = (0..200).filter(|seed| {
        let settings = Settings { relays: Some(200), ..settings() };
        let mut dispatcher = Dispatcher::new(settings, *seed);
        let mut sent = 0;
        let mut run = |now: Nanos, events: &[Event]| {
            let mut actions = Vec::new();
            dispatcher.on_round(now, events, &mut actions);
            let last = actions.iter().find_map(|a| match a {
                Action::Send { endpoint, .. } => Some(endpoint.0),
                _ => None,
            });
            sent += usize::from(last.is_some());
            last
        };
        let entries = vec![endpoint(1, 5), endpoint(2, 5)];
        run(SECOND, &[Event::List { scope: ListScope::Whole, entries }]);
        let to = run(20 * SECOND, &[Event::Request(request(1, 5, 0))]).expect("the first attempt");
        // No answer for longer than the target latency, then a time-out: counts as silence.
        run(23 * SECOND, &[]);
        run(23 * SECOND, &[attempt_ended(1, 0, to, Outcome::Timeout, 3 * SECOND)]);
        for step in 1..=30 {
            run(23 * SECOND + step * 100 * MS, &[]);
        }
        sent > 1
    });
    let count = retrying.count();
    assert!((20..=100).contains(&count), "{count} of 200 relays try again within three seconds");
}

/// tallinn-senders: refused calls use up the limit, so a refused message backs off for even shares of it. A
/// message that cannot be sent again in time is given up at once.
#[test]
fn refused_messages_back_off_for_even_shares_of_the_limit() {
    let after_refusal = |relays: u32| {
        let settings = Settings { relays: Some(relays), weights: Weights::Exact, ..settings() };
        let listed = Endpoint { weight: Some(10.0), ..endpoint(1, 5) };
        let mut world = World::new(settings, vec![listed]);
        world.submit(1, 5, 0);
        world.end_call(100 * MS, 1, 0, Outcome::Ok);
        world.round(3 * SECOND, &[]);
        assert_eq!(sends(&world.submit(2, 5, 0)), [2]);
        let mut actions = world.end_call(50 * MS, 2, 0, Outcome::Overloaded { retry_after: None });
        for _ in 0..20 {
            actions.extend(world.round(100 * MS, &[]));
        }
        (sends(&actions), refused(&actions, 2))
    };
    assert_eq!(after_refusal(2).0, [2], "two relays: sent again within two seconds");
    assert_eq!(
        after_refusal(100),
        (vec![], false),
        "a hundred: still queued, its even share is a call in ten seconds"
    );
    assert_eq!(after_refusal(2000), (vec![], true), "two thousand: given up at once");
}

/// The limit reported in answers replaces an approximate listed one.
#[test]
fn limits_reported_in_answers_correct_the_list() {
    let settings = Settings { relays: Some(400), weights: Weights::Rough, ..settings() };
    let listed = Endpoint { weight: Some(1.0), ..endpoint(1, 5) };
    let mut world = World::new(settings, vec![listed]);
    let reported = Report { remaining_share: Some(1.0), limit: Some(4000.0) };
    for msg in 1..=20 {
        world.submit(msg, 5, 0);
        let mut answer = attempt_ended(msg, 0, 1, Outcome::Ok, 50 * MS);
        if let Event::AttemptEnded { report, .. } = &mut answer {
            *report = reported;
        }
        world.round(3 * SECOND, &[answer]);
    }
    world.submit(30, 5, 0);
    let mut actions = world.end_call(50 * MS, 30, 0, Outcome::Overloaded { retry_after: None });
    for _ in 0..40 {
        actions.extend(world.round(100 * MS, &[]));
    }
    assert_eq!(
        sends(&actions),
        [30],
        "an even share of the reported limit is ten a second, not one in 400 s"
    );
}

/// colombo-dispatch: an endpoint leaves one class unanswered and serves the others; that class is sent
/// elsewhere.
#[test]
fn a_class_that_fails_at_one_endpoint_is_sent_to_another() {
    let mut world = World::new(settings(), vec![endpoint(1, 5), endpoint(2, 5)]);
    let (mut failed_calls, mut failing_endpoint) = (0, None);
    for msg in 1..=40 {
        for action in world.submit(msg, 5, msg as usize % 2) {
            let Action::Send { msg, endpoint, .. } = action else { continue };
            if endpoint == *failing_endpoint.get_or_insert(endpoint) && msg.0 % 2 == 0 {
                failed_calls += 1;
                let silent = attempt_ended(msg.0, 0, endpoint.0, Outcome::Timeout, 100 * MS);
                world.round(100 * MS, &[Event::Abandoned { msg }, silent]);
            } else {
                world.round(100 * MS, &[attempt_ended(msg.0, 0, endpoint.0, Outcome::Ok, 100 * MS)]);
            }
        }
        world.round(100 * MS, &[]);
    }
    assert!(failed_calls <= 2, "{failed_calls} calls of the class to the endpoint that fails it");
}

/// The interval between checks grows while nothing happens, but a queued message is answered before its
/// deadline.
#[test]
fn a_quiet_queue_is_checked_before_a_deadline() {
    let mut dispatcher = Dispatcher::new(settings(), 1);
    let (mut now, mut timers, mut answered) = (SECOND, vec![SECOND], None);
    let short = Request { time_left: 1030 * MS, ..request(1, 5, 0) };
    let mut events = vec![Event::Request(short)];
    while answered.is_none() && now < 10 * SECOND {
        let mut actions = Vec::new();
        dispatcher.on_round(now, &std::mem::take(&mut events), &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { nonce: 1, after } => timers.push(now + after),
                Action::Refuse { .. } | Action::Fail { .. } => answered = Some(now),
                _ => {}
            }
        }
        now = *timers.iter().filter(|t| **t > now).min().unwrap_or(&(10 * SECOND));
        events = vec![Event::Timer { nonce: 1 }];
    }
    assert!(answered.is_some_and(|t| t <= 2030 * MS), "{answered:?}");
}

/// The time-out of a long message says nothing about its connection: other connections were idle as long and
/// served their calls. When such a time-out shortened the time for which idle connections are kept, usable
/// connections were closed all day (0.38 new ones for each message on a calm day).
#[test]
fn a_time_out_after_a_proven_idle_time_keeps_connections() {
    let mut world =
        World::new(Settings { idle_close: Some(10 * SECOND), ..settings() }, vec![endpoint(1, 5)]);
    // Served after two idle seconds, twice: this idle time is proven, and two concurrent calls are allowed.
    for msg in [1, 2, 3] {
        assert_eq!(sends(&world.submit(msg, 5, 0)), [msg]);
        world.end_call(100 * MS, msg, 0, Outcome::Ok);
        world.round(2 * SECOND, &[]);
    }
    // The answer to a later message comes before the answer to this one, which times out.
    assert_eq!(sends(&world.submit(4, 5, 0)), [4]);
    world.now += 10 * MS;
    assert_eq!(sends(&world.submit(5, 5, 0)), [5]);
    world.end_call(100 * MS, 5, 0, Outcome::Ok);
    assert_eq!(sends(&world.end_call(200 * MS, 4, 0, Outcome::Timeout)), [4]);
    world.end_call(100 * MS, 4, 1, Outcome::Ok);
    world.log.clear();
    for _ in 0..4 {
        world.round(SECOND / 2, &[]);
    }
    let closes_connections = |a: &Action| matches!(a, Action::CloseIdle { .. });
    assert!(!world.log.iter().any(closes_connections), "{:?}", world.log);
}

/// Daily operation: operators drain an endpoint, restart it and list it again. None of our calls failed
/// there, so only its start time shows that it is cold. It gets the cold budget, whether or not it was in use
/// before.
#[test]
fn an_endpoint_restarted_during_a_drain_starts_on_its_cold_budget() {
    for (used, restarted) in [(true, true), (false, true), (true, false)] {
        let mut world = World::new(settings(), vec![endpoint(1, 5)]);
        let mut sent = 0;
        let mut run = |world: &mut World, rounds: u32| {
            let mut calls = 0;
            for _ in 0..rounds {
                sent += 1;
                let mut events =
                    vec![Event::Request(Request { time_left: SECOND / 2, ..request(sent, 5, 0) })];
                let sent_now = sends(&world.round(50 * MS, &events));
                events = sent_now.iter().map(|msg| attempt_ended(*msg, 0, 1, Outcome::Ok, 10 * MS)).collect();
                calls += sent_now.len();
                world.round(10 * MS, &events);
            }
            calls
        };
        if used {
            assert_eq!(run(&mut world, 100), 100);
        }
        let list = |condition, started| Event::List {
            scope: ListScope::Patch,
            entries: vec![Endpoint { condition, started, ..endpoint(1, 5) }],
        };
        world.round(SECOND, &[list(Condition::Draining, 0)]);
        let started = if restarted { world.now } else { 0 };
        world.round(SECOND, &[list(Condition::Active, started)]);
        let calls = run(&mut world, 50);
        assert_eq!(
            calls < 45,
            restarted,
            "{calls} of 50 in three seconds; used {used}, restarted {restarted}"
        );
    }
}

/// Second deployment: ten messages in one silent call occupy one slot, not ten. The share of the slots for
/// silent calls is not exceeded, so none of them is cancelled.
#[test]
fn messages_of_one_silent_call_count_as_one_call() {
    let kinds = vec![Kind { max_batch: Some(10), ..Kind::default() }];
    let mut world = World::new(Settings { kinds, ..settings() }, vec![endpoint(1, 5)]);
    let many: Vec<_> = (1..=10).map(|i| Event::Request(request(i, 5, 2))).collect();
    assert_eq!(sends(&world.round(0, &many)).len(), 10);
    let actions = world.round(3 * SECOND, &[]);
    assert!(!actions.iter().any(|a| matches!(a, Action::Cancel { .. })), "{actions:?}");
}
