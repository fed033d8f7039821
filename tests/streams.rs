//! Random but legal event streams never break the rules, and the same events give the same actions.
mod common;
use common::*;
use proptest::prelude::*;
use slatethread::*;
use std::collections::BTreeMap;

struct Track {
    request: Request,
    attempts: u32,
    in_flight: Option<EndpointId>,
    may_have_run: bool,
    ended: bool,
}

fn outcome(pick: u8) -> Outcome {
    match pick % 8 {
        0..=2 => Outcome::Ok,
        3 => Outcome::Overloaded { retry_after: Some(u64::from(pick) * 10 * MS) },
        4 => Outcome::Timeout,
        5 => Outcome::ConnectFailed,
        6 => Outcome::Error,
        _ => Outcome::Overloaded { retry_after: None },
    }
}

/// Runs a stream and checks the rules at each step; returns all actions.
fn run(steps: &[(u8, u8)]) -> Vec<Action> {
    let mut settings = settings();
    settings.classes[1].ordered = true;
    let mut world = World::new(settings, vec![endpoint(1, 5), endpoint(2, 5), endpoint(3, 6)]);
    let mut tracks: BTreeMap<MsgId, Track> = BTreeMap::new();
    let mut waits: BTreeMap<DestId, Nanos> = BTreeMap::new();
    let mut key_pauses: BTreeMap<u64, Nanos> = BTreeMap::new();
    for (number, &(a, b)) in steps.iter().enumerate() {
        let mut events = Vec::new();
        let after = u64::from(a % 16) * 10 * MS;
        let now = world.now + after;
        if b % 3 > 0 {
            let class = usize::from(a % 3);
            let key = (class == 1).then_some(OrderKey(u64::from(b % 2)));
            let new_request = Request { key, ..request(number as u32, 5 + u64::from(b % 2), class) };
            let track = Track {
                request: new_request.clone(),
                attempts: 0,
                in_flight: None,
                may_have_run: false,
                ended: false,
            };
            tracks.insert(new_request.msg, track);
            events.push(Event::Request(new_request));
        }
        let in_flight: Vec<MsgId> =
            tracks.iter().filter(|(_, t)| t.in_flight.is_some()).map(|(id, _)| *id).collect();
        if !in_flight.is_empty() && a % 2 == 0 {
            let id = in_flight[usize::from(b) % in_flight.len()];
            let track = tracks.get_mut(&id).unwrap();
            let (endpoint, outcome) = (track.in_flight.take().unwrap(), outcome(a / 2));
            if let Outcome::Overloaded { retry_after: Some(wait) } = outcome {
                let until = waits.entry(track.request.dest).or_default();
                *until = (*until).max(now + wait);
            }
            let may_have_run = matches!(outcome, Outcome::Error | Outcome::Timeout);
            track.may_have_run |= may_have_run;
            if let (Some(key), Outcome::Timeout) = (track.request.key, outcome) {
                key_pauses.insert(key.0, now + SECOND);
            }
            track.ended |= outcome == Outcome::Ok;
            events.push(attempt_ended(id.0, track.attempts - 1, endpoint.0, outcome, 50 * MS));
        }
        for action in world.round(after, &events) {
            match action {
                Action::Send { msg, endpoint, .. } => {
                    let earlier = tracks.range(..msg).any(|(_, t)| {
                        t.request.key.is_some()
                            && t.request.key == tracks[&msg].request.key
                            && (!t.ended || t.in_flight.is_some())
                    });
                    let track = tracks.get_mut(&msg).unwrap();
                    assert!(!earlier, "order of keys");
                    assert!(!track.ended && track.in_flight.is_none(), "one attempt, none after the end");
                    assert!(track.request.class != ClassId(2) || !track.may_have_run, "unsafe sent twice");
                    assert!(waits.get(&track.request.dest).is_none_or(|w| now >= *w), "waits");
                    if let Some(key) = track.request.key {
                        let pause_over = key_pauses.get(&key.0).is_none_or(|s| now >= *s);
                        assert!(track.attempts > 0 || pause_over, "the key is paused");
                    }
                    track.attempts += 1;
                    track.in_flight = Some(endpoint);
                }
                Action::Refuse { msg, .. } => {
                    let track = tracks.get_mut(&msg).unwrap();
                    assert!(!track.ended && track.in_flight.is_none());
                    assert!(track.request.class != ClassId(2) || !track.may_have_run, "unsafe refused");
                    track.ended = true;
                }
                Action::Fail { msg } => {
                    let track = tracks.get_mut(&msg).unwrap();
                    assert!(!std::mem::replace(&mut track.ended, true), "answered twice");
                }
                _ => {}
            }
        }
    }
    // Closes all calls in flight, then lets all deadlines pass: every message must have been answered.
    let in_flight: Vec<_> =
        tracks.iter_mut().filter_map(|(id, t)| Some((*id, t.attempts, t.in_flight.take()?))).collect();
    let last: Vec<_> =
        in_flight.iter().map(|(id, n, e)| attempt_ended(id.0, n - 1, e.0, Outcome::Ok, 50 * MS)).collect();
    for (id, _, _) in &in_flight {
        tracks.get_mut(id).unwrap().ended = true;
    }
    let mut events = last;
    for _ in 0..1200 {
        let mut next = Vec::new();
        for action in world.round(20 * MS, &events) {
            match action {
                Action::Send { msg, endpoint, .. } => {
                    let track = tracks.get_mut(&msg).unwrap();
                    assert!(!std::mem::replace(&mut track.ended, true), "sent after the end");
                    next.push(attempt_ended(msg.0, track.attempts, endpoint.0, Outcome::Ok, 20 * MS));
                }
                Action::Refuse { msg, .. } | Action::Fail { msg } => {
                    assert!(!std::mem::replace(&mut tracks.get_mut(&msg).unwrap().ended, true));
                }
                _ => {}
            }
        }
        events = next;
    }
    assert!(tracks.values().all(|t| t.ended), "a message was lost");
    world.log
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(128) })]
    #[test]
    fn legal_streams_keep_the_rules(steps in prop::collection::vec(any::<(u8, u8)>(), 1..200)) {
        prop_assert_eq!(run(&steps), run(&steps));
    }
}
