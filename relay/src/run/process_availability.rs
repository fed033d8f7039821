//! The process's availability to submitters, applied to the connections of its fronts.
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use super::running_front::SHUTDOWN_SERVING_TIME;
use crate::admin::AvailabilityControl;
use crate::availability::{Availability, AvailabilityEvent};
use crate::connection_limiter::ConnectionLimiter;

/// The process's availability to submitters, and the connection limiters that it controls.
#[derive(Default)]
pub struct ProcessAvailability {
    availability: Rc<Cell<Availability>>,
    /// One for each front that has opened.
    limiters: RefCell<Vec<Rc<ConnectionLimiter>>>,
}

impl ProcessAvailability {
    /// The availability as it changes.
    pub fn availability(&self) -> Rc<Cell<Availability>> {
        self.availability.clone()
    }

    /// Adds the limiter of a front's connections, and starts a drain that is in progress on it.
    pub fn add_limiter(&self, limiter: Rc<ConnectionLimiter>) {
        if self.availability.get().closes_connections() {
            limiter.drain(Some(Instant::now() + SHUTDOWN_SERVING_TIME));
        }
        self.limiters.borrow_mut().push(limiter);
    }

    /// Applies an event that is always possible, or whose effect may be none.
    pub fn apply_event(&self, event: AvailabilityEvent) {
        self.apply(event);
    }
}

impl AvailabilityControl for ProcessAvailability {
    fn apply(&self, event: AvailabilityEvent) -> bool {
        let before = self.availability.get();
        let Some(after) = before.after(event) else { return false };
        self.availability.set(after);
        // Set only on a change, so that a drain in progress keeps its start time.
        if before.closes_connections() != after.closes_connections() {
            let from = after.closes_connections().then(|| Instant::now() + SHUTDOWN_SERVING_TIME);
            self.limiters.borrow().iter().for_each(|limiter| limiter.drain(from));
        }
        if before.is_drained() != after.is_drained() {
            tracing::info!(
                drained = after.is_drained(),
                "draining of client connections has started or stopped"
            );
        }
        true
    }

    fn is_drained(&self) -> bool {
        self.availability.get().is_drained()
    }
}
