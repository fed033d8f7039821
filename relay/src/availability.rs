//! Whether the process is available to its submitters, in whatever order startup, drains, resumes and signals come.
//!
//! A state machine without I/O: events go in, and it answers what `GET /ready` reports and whether connections are
//! closed. It does not know where events come from or how its answers are applied.

/// The phase of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Starting,
    Serving,
    /// Shutting down: accepted jobs are completed where possible, and connections are closed.
    Terminating,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    phase: Phase,
    /// Clients' connections are closed until an operator resumes the process.
    drained: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvailabilityEvent {
    /// The process can serve.
    Started,
    Drain,
    Resume,
    Terminate,
}

impl Availability {
    /// The state after an event; `None` if the event is no longer possible.
    pub fn after(self, event: AvailabilityEvent) -> Option<Availability> {
        let Availability { phase, drained } = self;
        let phase = match (phase, event) {
            // They would end with the process.
            (Phase::Terminating, AvailabilityEvent::Drain | AvailabilityEvent::Resume) => return None,
            (_, AvailabilityEvent::Terminate) => Phase::Terminating,
            (Phase::Starting, AvailabilityEvent::Started) => Phase::Serving,
            (phase, _) => phase,
        };
        let drained = match event {
            AvailabilityEvent::Drain => true,
            AvailabilityEvent::Resume => false,
            AvailabilityEvent::Started | AvailabilityEvent::Terminate => drained,
        };
        Some(Availability { phase, drained })
    }

    /// The answer to `GET /ready`. Termination does not change it: a successor may own the listener already, and the
    /// platform knows which processes are terminating.
    pub fn is_ready(self) -> bool {
        self.phase != Phase::Starting && !self.drained
    }

    /// Whether connections are closed between requests.
    pub fn closes_connections(self) -> bool {
        self.drained || self.phase == Phase::Terminating
    }

    pub fn is_drained(self) -> bool {
        self.drained
    }
}

#[cfg(test)]
mod tests;
