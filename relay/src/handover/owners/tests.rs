use super::*;

#[test]
fn there_is_one_owner_whatever_happens_in_whatever_order() {
    use Does::*;
    use Owner::*;
    let other = Refuse("another version of the hand-over");
    let second = Refuse("another newcomer waits already");
    let late = Refuse("it has been told to end");
    // What it was; then after hello, hello of another version, the newcomer's loss, the word to end.
    let table = [
        (Alone, [(Linked, Welcome), (Alone, other), (Alone, Nothing), (Ending, WindDown)]),
        (Linked, [(Linked, second), (Linked, second), (Alone, Nothing), (Handed, HandOver)]),
        (Ending, [(Ending, late), (Ending, late), (Ending, Nothing), (Ending, Nothing)]),
        (Handed, [(Handed, late), (Handed, late), (Handed, Nothing), (Handed, Nothing)]),
    ];
    let happens = [
        Happens::Met { version: VERSION },
        Happens::Met { version: VERSION + 1 },
        Happens::Lost,
        Happens::Terminate,
    ];
    for (before, afters) in table {
        for (what, after) in happens.into_iter().zip(afters) {
            assert_eq!(before.turn(what), after, "{before:?} {what:?}");
        }
    }
}
