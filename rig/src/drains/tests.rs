use super::*;
use crate::history::Event;
use onyxglade_lab::discovery::ListAnswer;

fn at(ms: u64) -> At {
    Duration::from_millis(ms)
}

/// A drain at 10 s, version 5, and one call of relay 1 at a time.
fn called(first: u64) -> History {
    let call = DrainedCall { msg: 3, node: 7, drained: at(10_000), first: at(first) };
    History {
        relays: 2,
        must_ask_in: Duration::from_secs(10),
        events: vec![Event { at: at(0), relay: 1, what: What::Started }],
        told: vec![(5, at(10_000))],
        drained_calls: vec![(1, call)],
        ..History::default()
    }
}

/// The last moment, in milliseconds, at which a call is in time.
fn last(change: impl Fn(&mut History)) -> u64 {
    let late = |first| {
        let mut history = called(first);
        change(&mut history);
        broken(&history).is_some()
    };
    let last = (10_001..40_000).find(|first| late(*first)).expect("it is late at some time") - 1;
    assert!(!late(last) && late(last + 1));
    last
}

fn event(history: &mut History, ms: u64, what: What) {
    history.events.push(Event { at: at(ms), relay: 1, what });
}

#[test]
fn a_drain_is_told_by_an_answer_a_word_of_the_relay_or_the_rules_whichever_is_first() {
    let answer = |who, generation, ms| {
        move |h: &mut History| {
            h.list_answers.push(ListAnswer { who, generation, at: at(ms) });
        }
    };
    assert_eq!(last(|_| {}), 16_550, "six seconds after it was made");
    assert_eq!(last(answer(1, 5, 12_000)), 12_550);
    assert_eq!(last(answer(1, 4, 12_000)), 16_550, "an older version tells nothing");
    assert_eq!(last(answer(0, 5, 12_000)), 16_550, "nor does an answer to another");
    assert_eq!(last(|h| event(h, 11_000, What::Listed(6))), 11_550);
    assert_eq!(last(|h| event(h, 9_000, What::Reloaded)), 13_550);
    assert_eq!(last(|h| event(h, 5_900, What::Reloaded)), 16_550, "an earlier SIGHUP is over");
    assert_eq!(last(|h| h.must_ask_in = Duration::from_secs(4)), 14_550);
}

#[test]
fn what_an_outage_or_a_process_before_was_told_is_not_held_against_a_relay() {
    assert_eq!(last(|h| h.outages = vec![(at(9_000), at(14_000))]), 20_550, "from its end on");
    let started_at = |ms, first| {
        let mut history = called(first);
        history.list_answers.push(ListAnswer { who: 1, generation: 5, at: at(11_000) });
        event(&mut history, ms, What::Started);
        broken(&history).is_none()
    };
    assert!(started_at(12_000, 16_550) && !started_at(12_000, 16_551), "it was told to the process before");
    assert!(started_at(18_000, 18_550) && !started_at(18_000, 18_551), "told at its start");
}
