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
mod tests;
