//! The process's availability to submitters, applied to the connections of its fronts, and recorded in its state folders.
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Instant;

use super::running_front::SHUTDOWN_SERVING_TIME;
use crate::admin::AvailabilityControl;
use crate::availability::{Availability, AvailabilityEvent};
use crate::connection_limiter::ConnectionLimiter;
use crate::state_lock::StateLock;

/// The process's availability to submitters, and the connection limiters that it controls.
#[derive(Default)]
pub struct ProcessAvailability {
    availability: Rc<Cell<Availability>>,
    /// One for each front that has opened.
    limiters: RefCell<Vec<Rc<ConnectionLimiter>>>,
    /// The locks on the state folders, while this process has them.
    folders: RefCell<Vec<Weak<StateLock>>>,
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

    /// Adds a state folder that has become this process's, in which a drain is recorded for a process that takes the folder over.
    pub fn add_folder(&self, lock: &Rc<StateLock>) {
        if self.is_drained() {
            record_drained(lock, true);
        }
        self.folders.borrow_mut().push(Rc::downgrade(lock));
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
        if before.is_drained() != after.is_drained() {
            let folders = self.folders.borrow();
            folders
                .iter()
                .filter_map(Weak::upgrade)
                .for_each(|lock| record_drained(&lock, after.is_drained()));
        }
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

/// Records in a state folder whether this process is drained. Without the record, a successor still learns it in a handover.
fn record_drained(lock: &StateLock, drained: bool) {
    if let Err(error) = lock.record_drained(drained) {
        let folder = lock.folder().display();
        tracing::warn!(%error, %folder, drained, "a drain or its end cannot be recorded; a successor learns it only by a handover");
    }
}
