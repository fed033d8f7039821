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
pub enum AvailabilityEvent {
    /// It can serve.
    Started,
    Drain,
    Resume,
    Terminate,
}

impl Availability {
    /// What it is after a word; `None` if that can't be had any more.
    pub fn after(self, word: AvailabilityEvent) -> Option<Availability> {
        let Availability { phase, drained } = self;
        let phase = match (phase, word) {
            (Phase::Leaving, AvailabilityEvent::Resume) => return None,
            (_, AvailabilityEvent::Terminate) => Phase::Leaving,
            (Phase::Starting, AvailabilityEvent::Started) => Phase::Serving,
            (phase, _) => phase,
        };
        let drained = match word {
            AvailabilityEvent::Drain => true,
            AvailabilityEvent::Resume => false,
            AvailabilityEvent::Started | AvailabilityEvent::Terminate => drained,
        };
        Some(Availability { phase, drained })
    }

    /// The answer to `GET /ready`. A process that leaves goes on saying what it said: a successor may have the
    /// listener already, and the platform knows who is leaving.
    pub fn is_ready(self) -> bool {
        self.phase != Phase::Starting && !self.drained
    }

    /// Connections are closed between requests.
    pub fn closes_connections(self) -> bool {
        self.drained || self.phase == Phase::Leaving
    }

    pub fn is_drained(self) -> bool {
        self.drained
    }
}

#[cfg(test)]
mod tests;
