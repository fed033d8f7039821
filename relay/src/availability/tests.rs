use super::*;
use AvailabilityEvent::*;
use Phase::*;

#[test]
fn each_event_has_the_specified_effect_in_each_state() {
    let of = |phase, drained| Availability { phase, drained };
    let on = |phase| Some(of(phase, false));
    let off = |phase| Some(of(phase, true));
    // The state before, and the states after starting, draining, resuming and terminating.
    let table = [
        (of(Starting, false), [on(Serving), off(Starting), on(Starting), on(Terminating)]),
        (of(Starting, true), [off(Serving), off(Starting), on(Starting), off(Terminating)]),
        (of(Serving, false), [on(Serving), off(Serving), on(Serving), on(Terminating)]),
        (of(Serving, true), [off(Serving), off(Serving), on(Serving), off(Terminating)]),
        (of(Terminating, false), [on(Terminating), None, None, on(Terminating)]),
        (of(Terminating, true), [off(Terminating), None, None, off(Terminating)]),
    ];
    for (before, afters) in table {
        for (event, after) in [Started, Drain, Resume, Terminate].into_iter().zip(afters) {
            assert_eq!(before.after(event), after, "{before:?} {event:?}");
        }
    }
    let answers = table.map(|(state, _)| (state.is_ready(), state.closes_connections()));
    let no = (false, false);
    assert_eq!(answers, [no, (false, true), (true, false), (false, true), (true, true), (false, true)]);
}
