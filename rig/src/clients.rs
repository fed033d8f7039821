//! Clients of the fleet. Each sends to its home relay, and retries a rejected message once at another relay.
use onyxglade_lab::arrivals::Arrival;
use onyxglade_lab::load::{Submitter, Submitters};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The clients of one relay.
pub struct Clients {
    /// Submitters to all relays.
    pub relays: Rc<Vec<Rc<Submitters>>>,
    /// Index of the home relay.
    pub home: usize,
    pub accepted_by: AcceptedBy,
}

/// The relay that accepted each message.
pub type AcceptedBy = Rc<RefCell<HashMap<u64, usize>>>;

impl Submitter for Clients {
    const DEADLINE_SLACK: Duration = Duration::ZERO;

    async fn hand_in(&self, msg: u64, arrival: &Arrival, intended: Instant) -> Option<bool> {
        let answer = self.submit_to(self.home, msg, arrival, intended).await;
        let others = self.relays.len() as u64 - 1;
        // A message without a response may have been accepted; only a rejected one is safe to send again.
        if answer != Some(false) || others == 0 {
            return answer;
        }
        let other = (self.home as u64 + 1 + msg % others) % (others + 1);
        self.submit_to(other as usize, msg, arrival, intended).await
    }
}

impl Clients {
    async fn submit_to(&self, relay: usize, msg: u64, arrival: &Arrival, intended: Instant) -> Option<bool> {
        let answer = self.relays[relay].hand_in(msg, arrival, intended).await;
        if answer == Some(true) {
            self.accepted_by.borrow_mut().insert(msg, relay);
        }
        answer
    }
}
