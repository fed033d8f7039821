use super::*;
use AvailabilityEvent::*;
use Phase::*;

#[test]
fn every_word_in_every_state_has_one_meaning() {
    let of = |phase, drained| Availability { phase, drained };
    let on = |phase| Some(of(phase, false));
    let off = |phase| Some(of(phase, true));
    // What it was, and what it is after being started, drained, resumed, terminated.
    let table = [
        (of(Starting, false), [on(Serving), off(Starting), on(Starting), on(Leaving)]),
        (of(Starting, true), [off(Serving), off(Starting), on(Starting), off(Leaving)]),
        (of(Serving, false), [on(Serving), off(Serving), on(Serving), on(Leaving)]),
        (of(Serving, true), [off(Serving), off(Serving), on(Serving), off(Leaving)]),
        (of(Leaving, false), [on(Leaving), off(Leaving), None, on(Leaving)]),
        (of(Leaving, true), [off(Leaving), off(Leaving), None, off(Leaving)]),
    ];
    for (before, afters) in table {
        for (word, after) in [Started, Drain, Resume, Terminate].into_iter().zip(afters) {
            assert_eq!(before.after(word), after, "{before:?} {word:?}");
        }
    }
    let answers = table.map(|(state, _)| (state.is_ready(), state.closes_connections()));
    let no = (false, false);
    assert_eq!(answers, [no, (false, true), (true, false), (false, true), (true, true), (false, true)]);
}
