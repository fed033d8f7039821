//! Who of two processes owns the relay: state machines without I/O. `docs/handover.md` has the same as a table.
use super::frame::VERSION;

/// The process that owns the journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Owner {
    #[default]
    Alone,
    /// A newcomer waits for it to end.
    Linked,
    /// Told to end with nobody to hand over to: it winds down, and whoever has the lock next replays the journal.
    Ending,
    /// It owns nothing but the claims that it has out.
    Handed,
}

/// What happens to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happens {
    /// A newcomer says hello.
    Met {
        version: u32,
    },
    /// The newcomer is gone.
    Lost,
    Terminate,
}

/// What it does then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Does {
    Nothing,
    Welcome,
    Refuse(&'static str),
    HandOver,
    WindDown,
}

impl Owner {
    pub fn turn(self, what: Happens) -> (Owner, Does) {
        use Owner::*;
        match (self, what) {
            (Alone, Happens::Met { version: VERSION }) => (Linked, Does::Welcome),
            (Alone, Happens::Met { .. }) => (Alone, Does::Refuse("another version of the hand-over")),
            (Linked, Happens::Met { .. }) => (Linked, Does::Refuse("another newcomer waits already")),
            (Ending | Handed, Happens::Met { .. }) => (self, Does::Refuse("it has been told to end")),
            (Linked, Happens::Lost) => (Alone, Does::Nothing),
            (_, Happens::Lost) => (self, Does::Nothing),
            (Alone, Happens::Terminate) => (Ending, Does::WindDown),
            (Linked, Happens::Terminate) => (Handed, Does::HandOver),
            (Ending | Handed, Happens::Terminate) => (self, Does::Nothing),
        }
    }
}

#[cfg(test)]
mod tests {
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
}
