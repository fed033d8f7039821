//! What this process is to its submitters, whatever order its readiness, drains, resumptions and signals come in.
//!
//! A state machine without I/O: words go in, and what follows for `GET /ready` and for connections is asked of it. It
//! may not know who says the words or what is done about them.

/// How far the process is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Starting,
    Serving,
    /// Told to end: what was taken on is seen to, and connections are sent away.
    Leaving,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    phase: Phase,
    /// Clients are sent away until somebody says otherwise.
    drained: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// It can serve.
    Started,
    Drain,
    Resume,
    Terminate,
}

impl Availability {
    /// What it is after a word; `None` if that can't be had any more.
    pub fn after(self, word: Word) -> Option<Availability> {
        let Availability { phase, drained } = self;
        let phase = match (phase, word) {
            (Phase::Leaving, Word::Resume) => return None,
            (_, Word::Terminate) => Phase::Leaving,
            (Phase::Starting, Word::Started) => Phase::Serving,
            (phase, _) => phase,
        };
        let drained = match word {
            Word::Drain => true,
            Word::Resume => false,
            Word::Started | Word::Terminate => drained,
        };
        Some(Availability { phase, drained })
    }

    /// The answer to `GET /ready`. A process that leaves goes on saying what it said: a successor may have the
    /// listener already, and the platform knows who is leaving.
    pub fn is_ready(self) -> bool {
        self.phase != Phase::Starting && !self.drained
    }

    /// Connections are closed between requests.
    pub fn sends_away(self) -> bool {
        self.drained || self.phase == Phase::Leaving
    }

    pub fn is_drained(self) -> bool {
        self.drained
    }
}

#[cfg(test)]
mod tests;
