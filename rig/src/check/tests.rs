use super::*;
use crate::history::Event;
use onyxglade_lab::rules::{Breach, DrainedCall, Rule};
use std::time::Duration;

fn sound() -> History {
    let event = |at, relay, what| Event { at: Duration::from_secs(at), relay, what };
    History {
        relays: 2,
        events: vec![
            event(0, 0, What::Started),
            event(0, 1, What::Started),
            event(1, 0, What::Ready),
            event(1, 1, What::Ready),
            event(2, 0, What::Listed(7)),
            event(3, 1, What::Listed(9)),
            event(4, 1, What::Ended),
            event(5, 1, What::Started),
            event(6, 1, What::Listed(8)),
        ],
        answering: Duration::from_secs(2),
        throwing: Duration::from_secs(1),
        must_ask_in: Duration::from_secs(10),
        opens_most: 5,
        opens_taken: 5,
        ..History::default()
    }
}

fn only(name: &str, spoil: impl Fn(&mut History)) {
    assert_eq!(all(&sound()), []);
    let mut history = sound();
    spoil(&mut history);
    let broken: Vec<_> = all(&history).into_iter().map(|(name, _)| name).collect();
    assert_eq!(broken, [name]);
}

#[test]
fn each_promise_is_seen_to_be_broken_by_a_history_that_breaks_it() {
    only("rules", |h| {
        h.rules_broken = 1;
        h.breaches = vec![Breach { rule: Rule::Lost, at_s: 1.0, what: "m1".into() }];
    });
    let event = |relay, what| Event { at: Duration::from_secs(9), relay, what };
    only("none-crashes", |h| h.events.push(event(0, What::Crashed(Some(1)))));
    only("all-hold-the-list", |h| h.events.push(event(0, What::Started)));
    only("all-hold-the-list", |h| h.events.retain(|e| e.what != What::Listed(7)));
    only("all-see-all", |h| h.instances = true);
    only("all-see-all", |h| {
        h.instances = true;
        h.events.extend([event(0, What::Sees(1)), event(1, What::Sees(0)), event(0, What::Misses(1))]);
    });
    only("no-older-list", |h| h.events.push(event(0, What::Listed(6))));
    only("no-older-list", |h| {
        // It counts anew, which is followed; then one goes back to what was before.
        h.forgot = vec![(Duration::from_secs(8), 9)];
        h.events.extend([event(0, What::Listed(1)), event(0, What::Listed(9))]);
    });
    let (connected, ended) = (Duration::from_secs(7), Duration::from_secs(8));
    let request = Unanswered { relay: 1, msg: 3, why: "reset".into(), connected, ended };
    only("answered", |h| h.unanswered.push(request.clone()));
    let mut killed = sound();
    killed.unanswered.push(request.clone());
    killed.events.push(Event { at: Duration::from_millis(7500), relay: 1, what: What::Gone });
    assert_eq!(all(&killed), []);
    // Told to end at 6.9 s it owes an answer to what connects at 7 s, at 6.5 s no more.
    let told = |ms| Event { at: Duration::from_millis(ms), relay: 1, what: What::Ended };
    only("answered", |h| {
        h.unanswered.push(request.clone());
        h.events.push(told(6900));
    });
    let mut late = sound();
    late.unanswered.push(request);
    late.events.push(told(6500));
    assert_eq!(all(&late), []);
    only("drains", |h| {
        let (drained, first) = (Duration::from_secs(2), Duration::from_secs(9));
        h.drained_calls.push((0, DrainedCall { msg: 1, node: 1, drained, first }));
    });
    only("service-time-is-useful", |h| h.throwing = Duration::from_millis(1001));
    only("endpoints-spared", |h| h.opens_most = 6);
    only("endpoints-spared", |h| h.opens_refused = 1);
}

#[test]
fn what_does_not_run_owes_no_list_and_what_knew_one_has_it() {
    let mut history = sound();
    history.events.push(Event { at: Duration::from_secs(9), relay: 0, what: What::Started });
    history.events.push(Event { at: Duration::from_secs(9), relay: 0, what: What::Ended });
    assert_eq!(all(&history), []);
    history.events.push(Event { at: Duration::from_secs(9), relay: 0, what: What::Started });
    assert_eq!(all(&history).len(), 1);
    history.known = true;
    assert_eq!(all(&history), []);
    history.instances = true;
    let sees = |relay, other| Event { at: Duration::from_secs(9), relay, what: What::Sees(other) };
    history.events.extend([sees(0, 1), sees(1, 0)]);
    assert_eq!(all(&history), []);
    assert_eq!(history.up(), Some(Duration::from_secs(1)));
}
