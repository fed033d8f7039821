//! What a courier does for want of a list: it asks when [`crate::asking`] says so, and does not hold what the list would come
//! too late for. Decides on no call.
use crate::asking::ASK_NONCE;
use crate::choice::Courier;
use crate::interface::{Action, Nanos};
use crate::state::Message;

impl Courier {
    /// How long an answer is waited for that brings the first list, in nanoseconds; none where one is known.
    pub fn list_patience(&self) -> Option<Nanos> {
        self.asking.patience()
    }

    /// Asks for the first time, where the list is to be asked for. In a first round, what is listed has come in.
    pub(crate) fn ask_first(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.asking.started, true) && self.settings.list_on_request {
            let after = self.asking.start(now, &mut self.random);
            self.ask(now, after, actions);
        }
    }

    /// Asks for the list, now or after a pause.
    pub(crate) fn ask(&mut self, now: Nanos, after: Nanos, actions: &mut Vec<Action>) {
        if after > 0 {
            actions.push(Action::SetTimer { nonce: ASK_NONCE, after });
        } else {
            self.asking.asked(now);
            actions.push(Action::Follow { want: true });
        }
    }

    /// Whether nothing is listed, and will not be before half of the time is over in which a message meets its aim (its
    /// end, once that is past). Given back now, it may be served by another courier yet.
    pub(crate) fn outlasted(&self, now: Nanos, message: &Message) -> bool {
        let awaited = self.asking.awaited(now);
        let end = if now < message.aim_at { message.aim_at } else { message.deadline };
        awaited > 0 && now + 2 * awaited > end
    }
}
