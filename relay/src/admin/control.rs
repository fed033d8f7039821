//! The right to change the relay: to drain and resume it, and to disable and enable its endpoints.
//!
//! In an upgrade the relay runs in two processes, and a call that one of them confirms has to bind the relay. So what a call acts on is
//! to be had from [`ControlHolder`] only, and only while this process runs the relay: from when no predecessor has a front any more until
//! right before the first front is handed over. `docs/handover.md` has the same as a table. This module has no sockets and no clock.
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::Notify;

use super::{AvailabilityControl, FrontControl};

/// Why this process cannot apply a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoControl {
    #[error("starting: not ready yet")]
    Starting,
    #[error("another process still runs the relay: call that process")]
    PredecessorRuns,
    #[error("a successor process runs the relay: call that process")]
    HandedOver,
    #[error("the process is shutting down")]
    ShuttingDown,
}

/// What follows for the relay when this process receives SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shutdown {
    /// At least one front is handed over to a successor, which runs the relay from then on.
    HandOver,
    /// No successor waits. The next process reads what the state folders keep, and nothing else.
    Alone,
}

/// The fronts of this process that serve.
pub struct ServingFronts {
    pub fronts: Vec<Rc<dyn FrontControl>>,
    /// Every front that this process is to serve is among them.
    pub complete: bool,
}

/// How far this process is with running the relay. What drains and resumes the relay goes from one stage to the next, and is dropped
/// with the last one.
enum Stage {
    /// The process has not said yet that it is ready.
    Starting(Rc<dyn AvailabilityControl>),
    /// Predecessors still have this many fronts.
    Waiting { fronts: usize, availability: Rc<dyn AvailabilityControl> },
    /// This process runs the relay.
    Running(Rc<dyn AvailabilityControl>),
    /// It shuts down alone, and still has its state folders. A drain would end with it.
    WindingDown,
    /// It runs the relay no more, or never did.
    Ended(NoControl),
}

impl Stage {
    /// Why nothing can be changed in this stage.
    fn refusal(&self) -> Option<NoControl> {
        match self {
            Stage::Starting(_) => Some(NoControl::Starting),
            Stage::Waiting { .. } => Some(NoControl::PredecessorRuns),
            Stage::Running(_) | Stage::WindingDown => None,
            Stage::Ended(why) => Some(*why),
        }
    }
}

/// Holds the right to change the relay, while this process has it.
pub struct ControlHolder {
    stage: RefCell<Stage>,
    /// The fronts that serve, in the order in which they opened.
    fronts: RefCell<Vec<Rc<dyn FrontControl>>>,
    /// How many fronts this process is to serve.
    expected_fronts: usize,
    /// Notified when the stage or the fronts change.
    changed: Notify,
}

impl ControlHolder {
    /// The holder of a process that starts and is to serve this many fronts.
    pub fn new(availability: Rc<dyn AvailabilityControl>, expected_fronts: usize) -> ControlHolder {
        ControlHolder {
            stage: RefCell::new(Stage::Starting(availability)),
            fronts: RefCell::default(),
            expected_fronts,
            changed: Notify::new(),
        }
    }

    /// To be called when the process can serve, but for this many fronts that predecessors still have.
    pub fn started(&self, pending_fronts: usize) {
        let availability = match &*self.stage.borrow() {
            Stage::Starting(availability) => availability.clone(),
            _ => return,
        };
        self.wait_for(pending_fronts, availability);
    }

    /// To be called when a predecessor has handed over one of those fronts, or has ended. What it has handed over of the availability
    /// is applied by then.
    pub fn front_taken_over(&self) {
        let (fronts, availability) = match &*self.stage.borrow() {
            Stage::Waiting { fronts, availability } => (*fronts, availability.clone()),
            _ => return,
        };
        self.wait_for(fronts.saturating_sub(1), availability);
    }

    fn wait_for(&self, fronts: usize, availability: Rc<dyn AvailabilityControl>) {
        self.enter(match fronts {
            0 => Stage::Running(availability),
            _ => Stage::Waiting { fronts, availability },
        });
    }

    /// Enters a stage, and returns the one before.
    fn enter(&self, stage: Stage) -> Stage {
        let before = self.stage.replace(stage);
        self.changed.notify_waiters();
        before
    }

    /// To be called when a front serves.
    pub fn add_front(&self, front: Rc<dyn FrontControl>) {
        self.fronts.borrow_mut().push(front);
        self.changed.notify_waiters();
    }

    /// Gives up the right to change the relay when the process receives SIGTERM. Returns whether the relay is drained, which is to be
    /// handed over: no call that is confirmed later changes it.
    pub fn give_up(&self, shutdown: Shutdown) -> bool {
        let runs = matches!(*self.stage.borrow(), Stage::Running(_));
        let before = self.enter(match shutdown {
            Shutdown::HandOver => Stage::Ended(NoControl::HandedOver),
            Shutdown::Alone if runs => Stage::WindingDown,
            Shutdown::Alone => Stage::Ended(NoControl::ShuttingDown),
        });
        match before {
            Stage::Starting(availability)
            | Stage::Waiting { availability, .. }
            | Stage::Running(availability) => availability.is_drained(),
            Stage::WindingDown | Stage::Ended(_) => false,
        }
    }

    /// What drains and resumes the relay. To be used at once: it is given up behind the next await.
    ///
    /// # Errors
    /// This process does not run the relay, or shuts down.
    pub fn availability(&self) -> Result<Rc<dyn AvailabilityControl>, NoControl> {
        match &*self.stage.borrow() {
            Stage::Running(availability) => Ok(availability.clone()),
            stage => Err(stage.refusal().unwrap_or(NoControl::ShuttingDown)),
        }
    }

    /// The fronts that serve. To be used at once: they are given up behind the next await.
    ///
    /// # Errors
    /// This process does not run the relay.
    pub fn fronts(&self) -> Result<ServingFronts, NoControl> {
        if let Some(why) = self.stage.borrow().refusal() {
            return Err(why);
        }
        let fronts = self.fronts.borrow().clone();
        let complete = fronts.len() >= self.expected_fronts;
        Ok(ServingFronts { fronts, complete })
    }

    /// Waits until this process runs the relay, or will not any more.
    pub async fn decided(&self) {
        let is_undecided = || matches!(*self.stage.borrow(), Stage::Starting(_) | Stage::Waiting { .. });
        self.wait_until(|| !is_undecided()).await;
    }

    /// Waits until this process runs the relay with all of its fronts, or will not any more.
    pub async fn all_fronts_decided(&self) {
        self.decided().await;
        self.wait_until(|| self.fronts().map_or(true, |serving| serving.complete)).await;
    }

    async fn wait_until(&self, condition: impl Fn() -> bool) {
        loop {
            let changed = self.changed.notified();
            if condition() {
                return;
            }
            changed.await;
        }
    }
}

#[cfg(test)]
mod tests;
