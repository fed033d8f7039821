//! Clients of the fleet: each has a relay of its own, and hands what that one turns away to another, once.
use onyxglade_lab::arrivals::Arrival;
use onyxglade_lab::load::{Submitter, Submitters};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The clients of one relay.
pub struct Clients {
    pub relays: Rc<Vec<Rc<Submitters>>>,
    pub mine: usize,
    pub holders: Holders,
}

/// Which relay took each message on.
pub type Holders = Rc<RefCell<HashMap<u64, usize>>>;

impl Submitter for Clients {
    const DEADLINE_SLACK: Duration = Duration::ZERO;

    async fn hand_in(&self, msg: u64, arrival: &Arrival, intended: Instant) -> Option<bool> {
        let answer = self.hand_to(self.mine, msg, arrival, intended).await;
        let others = self.relays.len() as u64 - 1;
        // What was not answered may have been taken on: only what was turned away never ran.
        if answer != Some(false) || others == 0 {
            return answer;
        }
        let other = (self.mine as u64 + 1 + msg % others) % (others + 1);
        self.hand_to(other as usize, msg, arrival, intended).await
    }
}

impl Clients {
    async fn hand_to(&self, relay: usize, msg: u64, arrival: &Arrival, intended: Instant) -> Option<bool> {
        let answer = self.relays[relay].hand_in(msg, arrival, intended).await;
        if answer == Some(true) {
            self.holders.borrow_mut().insert(msg, relay);
        }
        answer
    }
}
