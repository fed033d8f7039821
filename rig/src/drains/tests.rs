use super::*;
use crate::history::Event;
use onyxglade_lab::discovery::ListAnswer;

fn at(ms: u64) -> Elapsed {
    Duration::from_millis(ms)
}

/// A drain at 10 s with version 5, and one call of relay 1 whose first byte arrives at `first` milliseconds.
fn history_with_call(first: u64) -> History {
    let call = DrainedCall { msg: 3, node: 7, drained: at(10_000), first: at(first) };
    History {
        relays: 2,
        must_ask_in: Duration::from_secs(10),
        events: vec![Event { at: at(0), relay: 1, kind: EventKind::Started }],
        changes: vec![(5, at(10_000))],
        drained_calls: vec![(1, call)],
        ..History::default()
    }
}

/// The last time, in milliseconds, at which a call is not too late.
fn last_allowed(change: impl Fn(&mut History)) -> u64 {
    let is_late = |first| {
        let mut history = history_with_call(first);
        change(&mut history);
        violation(&history).is_some()
    };
    let last_allowed = (10_001..40_000).find(|first| is_late(*first)).expect("it is late at some time") - 1;
    assert!(!is_late(last_allowed) && is_late(last_allowed + 1));
    last_allowed
}

fn event(history: &mut History, ms: u64, kind: EventKind) {
    history.events.push(Event { at: at(ms), relay: 1, kind });
}

#[test]
fn a_drain_is_known_from_a_response_the_relays_log_or_a_time_limit_whichever_is_first() {
    let answer = |who, generation, ms| {
        move |h: &mut History| {
            h.list_answers.push(ListAnswer { who, generation, at: at(ms) });
        }
    };
    assert_eq!(last_allowed(|_| {}), 16_550, "six seconds after the change");
    assert_eq!(last_allowed(answer(1, 5, 12_000)), 12_550);
    assert_eq!(last_allowed(answer(1, 4, 12_000)), 16_550, "an older version does not count");
    assert_eq!(last_allowed(answer(0, 5, 12_000)), 16_550, "a response to another relay does not count");
    assert_eq!(last_allowed(|h| event(h, 11_000, EventKind::Listed(6))), 11_550);
    assert_eq!(last_allowed(|h| event(h, 9_000, EventKind::Reloaded)), 13_550);
    assert_eq!(
        last_allowed(|h| event(h, 5_900, EventKind::Reloaded)),
        16_550,
        "a SIGHUP long before the drain does not count"
    );
    assert_eq!(last_allowed(|h| h.must_ask_in = Duration::from_secs(4)), 14_550);
}

#[test]
fn an_outage_and_responses_to_an_earlier_process_do_not_count_against_a_relay() {
    assert_eq!(
        last_allowed(|h| h.outages = vec![(at(9_000), at(14_000))]),
        20_550,
        "counted from the end of the outage"
    );
    let started_at = |ms, first| {
        let mut history = history_with_call(first);
        history.list_answers.push(ListAnswer { who: 1, generation: 5, at: at(11_000) });
        event(&mut history, ms, EventKind::Started);
        violation(&history).is_none()
    };
    assert!(
        started_at(12_000, 16_550) && !started_at(12_000, 16_551),
        "the response went to the earlier process"
    );
    assert!(started_at(18_000, 18_550) && !started_at(18_000, 18_551), "the list comes at the start");
}
