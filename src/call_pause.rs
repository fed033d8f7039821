//! Suspends new calls while this machine cannot record or connect them because of a fault of its own.
//!
//! Queued messages stay queued and are given up under the usual rules. Neither an endpoint's health nor a
//! message's attempt count is affected.
use crate::choice::Dispatcher;

impl Dispatcher {
    /// Suspends or resumes new calls from the next round on. All queued messages are reconsidered when calls
    /// resume.
    pub fn pause_calls(&mut self, paused: bool) {
        self.calls_resumed |= self.calls_paused && !paused;
        self.calls_paused = paused;
    }
}
