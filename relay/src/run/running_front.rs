//! What both fronts have in common once they run: their background tasks, and how they stop.
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

use super::StartContext;
use crate::admin::{FrontControl, FrontFigures};
use crate::backlog::Backlog;
use crate::connection_limiter::ConnectionLimiter;
use crate::core::{Core, SetDisabledError, Transport};
use crate::handover::HandoverListener;
use crate::metrics::GaugeValues;

/// First stage of the shutdown: everything continues, since new connections arrive for up to 0.4 s after SIGTERM.
pub const SHUTDOWN_SERVING_TIME: Duration = Duration::from_millis(600);
/// Second stage: no connections are accepted, but claims are still sent. SIGKILL follows no sooner than 3.7 s after SIGTERM.
const SHUTDOWN_SENDING_TIME: Duration = Duration::from_millis(2000);
/// Third stage: how long claims in flight may take to complete.
const SHUTDOWN_COMPLETION_TIME: Duration = Duration::from_millis(800);
/// Last stage: how long the last responses may take to be delivered. A process that exits resets the connections that it has not
/// closed.
const SHUTDOWN_RESPONSE_TIME: Duration = Duration::from_millis(150);
/// If a successor takes over, it does so at once: claims in flight may complete until just before SIGKILL.
const HANDOVER_COMPLETION_TIME: Duration = Duration::from_millis(3350);
/// How long the outcomes of claims that were cancelled then may take to reach the successor.
const HANDOVER_REPORT_TIME: Duration = Duration::from_millis(30);

/// A front that serves.
pub struct RunningFront<C: Transport> {
    pub core: Rc<Core<C>>,
    pub limiter: Rc<ConnectionLimiter>,
    /// `None` if no successor can take over.
    pub handover: Option<Rc<HandoverListener>>,
}

impl<C: Transport> RunningFront<C> {
    /// Listens for successors in the front's state folder, which this process has locked.
    pub fn new(
        core: Rc<Core<C>>,
        limiter: Rc<ConnectionLimiter>,
        state: &std::path::Path,
        context: &StartContext,
    ) -> Self {
        let memory = context.memory.clone();
        let successor_changed = Box::new(move |runs| memory.set_successor(runs));
        let handover =
            context.upgrades.then(|| HandoverListener::listen(state, successor_changed)).transpose();
        let handover = handover.unwrap_or_else(|error| {
            tracing::warn!(fault = %error, "upgrade: cannot listen for a successor; it takes over only once this process has exited");
            None
        });
        RunningFront { core, limiter, handover }
    }

    /// Whether a successor waits to take the front over.
    pub fn has_successor(&self) -> bool {
        self.handover.as_ref().is_some_and(|handover| handover.has_successor())
    }

    /// Stops the front after SIGTERM: hands everything over to a waiting successor, or else winds down. `handed_over` is called, more
    /// than once, after a handover.
    pub async fn stop(&self, drained: bool, handed_over: impl Fn(&C)) {
        if self.hand_over(drained, handed_over).await {
            return;
        }
        sleep(SHUTDOWN_SERVING_TIME).await;
        self.limiter.stop_accepting();
        tracing::info!("shutting down: no more connections are accepted");
        sleep(SHUTDOWN_SENDING_TIME).await;
        // Requests that are complete by now are still answered, and claims in flight may complete.
        self.limiter.terminate();
        self.core.wind_down(SHUTDOWN_COMPLETION_TIME).await;
        let end = Instant::now() + SHUTDOWN_RESPONSE_TIME;
        while !self.limiter.is_empty() && Instant::now() < end {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Hands all jobs over to a successor process, if one is connected. Returns once nothing is left to do in this process; false
    /// if there was no successor.
    async fn hand_over(&self, drained: bool, handed_over: impl Fn(&C)) -> bool {
        let Some(handover) = self.handover.as_ref().filter(|_| self.has_successor()) else { return false };
        let end = Instant::now() + HANDOVER_COMPLETION_TIME;
        // If the platform passes the socket, new connections wait in its queue for the successor; else the address must be free by the
        // time the successor binds it.
        self.limiter.stop_accepting();
        self.limiter.drain(Some(Instant::now()));
        sleep(Duration::from_millis(1)).await;
        if !handover.terminate(&self.core, drained) {
            return false;
        }
        while Instant::now() < end && !(self.core.no_claims_in_flight() && self.limiter.is_empty()) {
            handed_over(&self.core.transport);
            sleep(Duration::from_millis(10)).await;
        }
        self.core.cancel_claims();
        // Before the process exits, cancelled claims close their connections, and their outcomes are reported.
        sleep(HANDOVER_REPORT_TIME).await;
        tracing::info!("upgrade: handover complete; exiting");
        true
    }
}

/// Starts the background tasks of a front's core.
pub fn start_tasks<C: Transport>(core: &Rc<Core<C>>, front: &'static str) {
    let (rounds, tally, journal) = (core.clone(), core.clone(), core.clone());
    actix_rt::spawn(async move { rounds.run_rounds().await });
    actix_rt::spawn(async move { journal.retry_journal().await });
    actix_rt::spawn(async move { tally.log_tally(front).await });
}

impl<C: Transport> FrontFigures for Core<C> {
    fn gauge_values(&self) -> GaugeValues {
        Core::gauge_values(self)
    }
}

impl<C: Transport> FrontControl for Core<C> {
    fn set_disabled(&self, id: &str, disabled: bool) -> Result<(), SetDisabledError> {
        Core::set_disabled(self, id, disabled)
    }

    fn backlog(&self) -> Option<Rc<Backlog>> {
        Core::backlog(self)
    }
}
