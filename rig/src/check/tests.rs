use super::*;
use crate::history::Event;
use onyxglade_lab::rules::{Breach, DrainedCall, Rule};
use std::time::Duration;

fn valid_history() -> History {
    let event = |at, relay, kind| Event { at: Duration::from_secs(at), relay, kind };
    History {
        relays: 2,
        events: vec![
            event(0, 0, EventKind::Started),
            event(0, 1, EventKind::Started),
            event(1, 0, EventKind::Ready),
            event(1, 1, EventKind::Ready),
            event(2, 0, EventKind::Listed(7)),
            event(3, 1, EventKind::Listed(9)),
            event(4, 1, EventKind::Ended),
            event(5, 1, EventKind::Started),
            event(6, 1, EventKind::Listed(8)),
        ],
        answering: Duration::from_secs(2),
        discarding: Duration::from_secs(1),
        must_ask_in: Duration::from_secs(10),
        opens_most: 5,
        opens_taken: 5,
        ..History::default()
    }
}

fn assert_only_violation(name: &str, break_it: impl Fn(&mut History)) {
    assert_eq!(violations(&valid_history()), []);
    let mut history = valid_history();
    break_it(&mut history);
    let violated: Vec<_> = violations(&history).into_iter().map(|(name, _)| name).collect();
    assert_eq!(violated, [name]);
}

#[test]
fn each_invariant_is_violated_by_a_history_that_breaks_it() {
    assert_only_violation("rules", |h| {
        h.rules_broken = 1;
        h.breaches = vec![Breach { rule: Rule::Lost, at_s: 1.0, what: "m1".into() }];
    });
    let event = |relay, kind| Event { at: Duration::from_secs(9), relay, kind };
    assert_only_violation("within-memory", |h| h.events.push(event(0, EventKind::OverMemory(33.0))));
    assert_only_violation("none-crashes", |h| h.events.push(event(0, EventKind::Crashed(Some(1)))));
    assert_only_violation("all-hold-the-list", |h| h.events.push(event(0, EventKind::Started)));
    assert_only_violation("all-hold-the-list", |h| h.events.retain(|e| e.kind != EventKind::Listed(7)));
    assert_only_violation("all-see-all", |h| h.instances = true);
    assert_only_violation("all-see-all", |h| {
        h.instances = true;
        h.events.extend([
            event(0, EventKind::Sees(1)),
            event(1, EventKind::Sees(0)),
            event(0, EventKind::Misses(1)),
        ]);
    });
    assert_only_violation("no-older-list", |h| h.events.push(event(0, EventKind::Listed(6))));
    assert_only_violation("no-older-list", |h| {
        // A restarted numbering is accepted; a return to a generation from before the loss is not.
        h.state_losses = vec![(Duration::from_secs(8), 9)];
        h.events.extend([event(0, EventKind::Listed(1)), event(0, EventKind::Listed(9))]);
    });
    let (connected, ended) = (Duration::from_secs(7), Duration::from_secs(8));
    let request = UnansweredRequest { relay: 1, msg: 3, why: "reset".into(), connected, ended };
    assert_only_violation("answered", |h| h.unanswered.push(request.clone()));
    let mut killed = valid_history();
    killed.unanswered.push(request.clone());
    killed.events.push(Event { at: Duration::from_millis(7500), relay: 1, kind: EventKind::Exited });
    assert_eq!(violations(&killed), []);
    // A SIGTERM at 6.9 s leaves a response due to a connection made at 7 s; one at 6.5 s does not.
    let end_requested = |ms| Event { at: Duration::from_millis(ms), relay: 1, kind: EventKind::Ended };
    assert_only_violation("answered", |h| {
        h.unanswered.push(request.clone());
        h.events.push(end_requested(6900));
    });
    let mut late = valid_history();
    late.unanswered.push(request);
    late.events.push(end_requested(6500));
    assert_eq!(violations(&late), []);
    assert_only_violation("drains", |h| {
        let (drained, first) = (Duration::from_secs(2), Duration::from_secs(9));
        h.drained_calls.push((0, DrainedCall { msg: 1, node: 1, drained, first }));
    });
    assert_only_violation("service-time-is-useful", |h| h.discarding = Duration::from_millis(1001));
    assert_only_violation("endpoints-spared", |h| h.opens_most = 6);
    assert_only_violation("endpoints-spared", |h| h.opens_refused = 1);
}

#[test]
fn a_stopped_relay_needs_no_list_and_a_restored_list_counts() {
    let mut history = valid_history();
    history.events.push(Event { at: Duration::from_secs(9), relay: 0, kind: EventKind::Started });
    history.events.push(Event { at: Duration::from_secs(9), relay: 0, kind: EventKind::Ended });
    assert_eq!(violations(&history), []);
    history.events.push(Event { at: Duration::from_secs(9), relay: 0, kind: EventKind::Started });
    assert_eq!(violations(&history).len(), 1);
    history.known = true;
    assert_eq!(violations(&history), []);
    history.instances = true;
    let sees = |relay, other| Event { at: Duration::from_secs(9), relay, kind: EventKind::Sees(other) };
    history.events.extend([sees(0, 1), sees(1, 0)]);
    assert_eq!(violations(&history), []);
    assert_eq!(history.all_ready_at(), Some(Duration::from_secs(1)));
}
