use super::*;

#[test]
fn exactly_one_process_owns_the_relay_after_any_event_in_any_state() {
    use Action::*;
    use Ownership::*;
    let other = Refuse("another version of the hand-over");
    let second = Refuse("another newcomer waits already");
    let late = Refuse("it has been told to end");
    // The state before; then after hello, hello of another version, loss of the successor, SIGTERM.
    let table = [
        (Sole, [(SuccessorWaiting, Welcome), (Sole, other), (Sole, Nothing), (WindingDown, WindDown)]),
        (
            SuccessorWaiting,
            [(SuccessorWaiting, second), (SuccessorWaiting, second), (Sole, Nothing), (HandedOver, HandOver)],
        ),
        (
            WindingDown,
            [(WindingDown, late), (WindingDown, late), (WindingDown, Nothing), (WindingDown, Nothing)],
        ),
        (HandedOver, [(HandedOver, late), (HandedOver, late), (HandedOver, Nothing), (HandedOver, Nothing)]),
    ];
    let events = [
        Event::Hello { version: VERSION },
        Event::Hello { version: VERSION + 1 },
        Event::SuccessorLost,
        Event::Terminate,
    ];
    for (before, afters) in table {
        for (event, after) in events.into_iter().zip(afters) {
            assert_eq!(before.handle(event), after, "{before:?} {event:?}");
        }
    }
}
