//! No calls for a while, because the machine cannot record or connect them: a fault of its own.
//!
//! What waits goes on waiting and is given up by the same rules as ever; no endpoint's health and no message's tries
//! follow from it.
use crate::choice::Dispatcher;

impl Dispatcher {
    /// Has no call begin from the next round on, or has them begin again. What waited meanwhile is looked at anew then.
    pub fn pause_calls(&mut self, paused: bool) {
        self.calls_resumed |= self.calls_paused && !paused;
        self.calls_paused = paused;
    }
}
