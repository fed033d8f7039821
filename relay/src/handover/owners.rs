//! Which of two processes owns the relay during an upgrade: a state machine without I/O. `docs/handover.md` has the same
//! as a table.
use super::frame::VERSION;

/// State of the process that owns the journal, or did until its handover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ownership {
    /// It owns the relay, and no successor is connected.
    #[default]
    Sole,
    /// It owns the relay, and a successor waits for it to terminate.
    SuccessorWaiting,
    /// It received SIGTERM without a successor: it winds down, and the next process to take the lock replays the journal.
    WindingDown,
    /// It owns nothing but its claims in flight.
    HandedOver,
}

/// What changes the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A successor said hello.
    Hello { version: u32 },
    /// The connection to the successor ended.
    SuccessorLost,
    /// The process received SIGTERM.
    Terminate,
}

/// What the process does on an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Nothing,
    Welcome,
    Refuse(&'static str),
    HandOver,
    WindDown,
}

impl Ownership {
    /// The next state, and what to do on entering it.
    pub fn handle(self, event: Event) -> (Ownership, Action) {
        use Ownership::*;
        match (self, event) {
            (Sole, Event::Hello { version: VERSION }) => (SuccessorWaiting, Action::Welcome),
            (Sole, Event::Hello { .. }) => (Sole, Action::Refuse("another version of the hand-over")),
            (SuccessorWaiting, Event::Hello { .. }) => {
                (SuccessorWaiting, Action::Refuse("another newcomer waits already"))
            }
            (WindingDown | HandedOver, Event::Hello { .. }) => {
                (self, Action::Refuse("it has been told to end"))
            }
            (SuccessorWaiting, Event::SuccessorLost) => (Sole, Action::Nothing),
            (_, Event::SuccessorLost) => (self, Action::Nothing),
            (Sole, Event::Terminate) => (WindingDown, Action::WindDown),
            (SuccessorWaiting, Event::Terminate) => (HandedOver, Action::HandOver),
            (WindingDown | HandedOver, Event::Terminate) => (self, Action::Nothing),
        }
    }
}

#[cfg(test)]
mod tests;
