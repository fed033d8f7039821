//! Handing all jobs over to another process of the relay, and taking them over from one.
//!
//! Each job has one owner at any time: the process that has the journal. A claim in flight belongs to the process that
//! made it until its outcome is known. Until then, the new owner neither sends that job nor uses the claim's slot.
use futures_util::future::LocalBoxFuture;
use onyxglade_backlog::planner::Outcome as MemoryOutcome;
use slatethread::{DestId, DestinationSnapshot, EndpointSnapshot};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

use super::backlog::MemorySlot;
use super::job_task::JobProgress;
use super::{Core, Transport};
use crate::handover_state::{FinishedClaim, HandoverState, LearnedDestination, LearnedNode, RequestedWait};
use crate::job::{Answer, Job, Outcome, nanos};
use crate::journal::{Key, OpenJob};
use crate::list::{Lifecycle, NodeEntry, NodeList};
use crate::metrics::MessageResult;

/// The process that has taken over.
pub trait Successor {
    /// Forwards a job from a submitter that is still connected here.
    fn admit(&self, job: Job) -> LocalBoxFuture<'_, Answer>;
    /// Reports the outcome of a claim that was in flight at the handover.
    fn claim_ended(&self, finished: FinishedClaim);
}

fn span(nanos: u64) -> Duration {
    Duration::from_nanos(nanos)
}

impl<C: Transport> Core<C> {
    /// Stops the decision rounds and closes the journal, at once and between two rounds. Once this returns, the jobs
    /// belong to another process. The outcomes of claims in flight go to `successor`; claims not yet sent never are.
    pub fn hand_over(&self, successor: Rc<dyn Successor>) -> HandoverState {
        self.winding_down.set(true);
        let handover_state = self.handover_state();
        // The successor receives an outcome for every claim in flight, including those of which no byte was sent.
        self.state.borrow().in_flight.values().for_each(|permit| permit.record_unsent());
        *self.successor.borrow_mut() = Some(successor);
        self.journal.borrow_mut().close();
        self.hand_over_backlog();
        self.handed_over.cancel();
        self.rounds_stopped.notify_waiters();
        self.decisions.notify_waiters();
        handover_state
    }

    fn handover_state(&self) -> HandoverState {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let recent = state.recent.all();
        let name = |id| state.nodes.get(id).map(|node| node.name.to_string());
        let waits = state.waits.iter().filter(|(_, until)| until.get() > now);
        let waits = waits.map(|((dest, node), until)| RequestedWait {
            dest: *dest,
            node: node.and_then(name),
            left: until.get() - now,
        });
        let learned =
            state.dispatcher.snapshot(self.module_time(now)).into_iter().map(|learned| LearnedDestination {
                dest: learned.dest.0,
                route: learned.route.and_then(name),
                retry_after_left: span(learned.retry_after_left),
                window: learned.window,
                rate: learned.rate,
                rate_cut_ago: learned.rate_cut_ago.map(span),
                proven_rate: learned.proven_rate,
                min_latency: learned.min_latency,
                latest_latency: learned.latest_latency,
                mean_latency: learned.mean_latency,
                answered_ago: span(learned.answered_ago),
                demand: learned.demand,
                nodes: learned
                    .endpoints
                    .iter()
                    .filter_map(|peer| {
                        Some(LearnedNode {
                            name: name(peer.id)?,
                            down: peer.down,
                            returning_ago: peer.returning_ago.map(span),
                            unhealthy_ago: span(peer.unhealthy_ago),
                            failure_average: peer.failure_average,
                            next_trial_in: span(peer.next_trial_in),
                            served_ago: peer.served_ago.map(span),
                        })
                    })
                    .collect(),
            });
        HandoverState {
            generation: self.generation.get(),
            // Those that have lost their addresses as draining ones, so that the successor knows that they are the older ones.
            nodes: state
                .nodes
                .superseded()
                .chain(state.nodes.all())
                .map(|node| node.to_listed_node(&self.rules()))
                .collect(),
            waits: waits.collect(),
            learned: learned.collect(),
            recent,
            // Claims that are still out at this process's own predecessor are in flight too.
            in_flight: state.in_flight.keys().chain(&state.predecessor_claims).copied().collect(),
            drained: false,
        }
    }

    /// Whether the jobs belong to another process.
    pub fn is_handed_over(&self) -> bool {
        self.handed_over.is_cancelled()
    }

    /// Cancels the claims still in flight; they may have run.
    pub fn cancel_claims(&self) {
        self.claims_cancelled.cancel();
    }

    /// Whether no claim is in flight, here or at a predecessor that reports to this process.
    pub fn no_claims_in_flight(&self) -> bool {
        let state = self.state.borrow();
        state.in_flight.is_empty() && state.predecessor_claims.is_empty()
    }

    /// Takes over the state of another process: its list of nodes, requested waits, learned limits and jobs. Returns a
    /// sender for the outcome of each claim that is still in flight there; a claim without an outcome may have run.
    pub async fn take_over(
        self: &Rc<Self>,
        handover_state: &HandoverState,
        open: Vec<OpenJob>,
    ) -> Vec<(Key, oneshot::Sender<FinishedClaim>)> {
        let entries = handover_state.nodes.iter().map(|node| NodeEntry {
            instance_id: node.name.clone().into(),
            host_port: node.address.clone().into(),
            zone: node.zone.clone().into(),
            machine_type: node.kind.clone().into(),
            cell: node.dest,
            lifecycle: if node.serving { Lifecycle::Serving } else { Lifecycle::Draining },
            weight: node.weight,
            started_at_ms: node.started_ms,
        });
        let mut list = NodeList::from_entries(entries.collect());
        list.generation = handover_state.generation.unwrap_or(0);
        self.apply_list(&list).await;
        for node in &handover_state.nodes {
            self.set_enabled_ms(&node.name, node.reenabled_ms);
        }
        // The decision module knows the list only after a round.
        self.round(Instant::now());
        self.restore_learned(handover_state);
        let mut senders = Vec::new();
        let (in_flight, idle): (Vec<_>, Vec<_>) =
            open.into_iter().partition(|open| handover_state.in_flight.contains(&open.key));
        self.state.borrow_mut().predecessor_claims = in_flight.iter().map(|open| open.key).collect();
        self.reserve_predecessor_slots();
        for open in in_flight {
            let (sender, finished) = oneshot::channel();
            senders.push((open.key, sender));
            self.state.borrow_mut().ids.insert(open.job.id.clone(), true);
            actix_rt::spawn(self.clone().await_predecessor_claim(open, finished));
        }
        idle.into_iter().for_each(|open| self.continue_handed_over(open));
        senders
    }

    /// Restores what another process learned of destinations, the waits requested from it, and its recent answers.
    fn restore_learned(&self, handover_state: &HandoverState) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let at = self.module_time(now);
        let id = |name: &String| state.nodes.by_name(name).map(|node| node.id);
        for unit in &handover_state.learned {
            let learned = DestinationSnapshot {
                dest: DestId(unit.dest),
                route: unit.route.as_ref().and_then(id),
                retry_after_left: nanos(unit.retry_after_left),
                window: unit.window,
                rate: unit.rate,
                rate_cut_ago: unit.rate_cut_ago.map(nanos),
                proven_rate: unit.proven_rate,
                min_latency: unit.min_latency,
                latest_latency: unit.latest_latency,
                mean_latency: unit.mean_latency,
                answered_ago: nanos(unit.answered_ago),
                demand: unit.demand,
                endpoints: unit
                    .nodes
                    .iter()
                    .filter_map(|node| {
                        Some(EndpointSnapshot {
                            id: id(&node.name)?,
                            down: node.down,
                            returning_ago: node.returning_ago.map(nanos),
                            unhealthy_ago: nanos(node.unhealthy_ago),
                            failure_average: node.failure_average,
                            next_trial_in: nanos(node.next_trial_in),
                            served_ago: node.served_ago.map(nanos),
                        })
                    })
                    .collect(),
            };
            state.dispatcher.restore(at, &learned);
        }
        for wait in &handover_state.waits {
            let route = wait.node.as_ref().and_then(id);
            state.dispatcher.apply_retry_after(at, DestId(wait.dest), route, nanos(wait.left));
            let until = state.waits.entry((wait.dest, route)).or_insert_with(|| Rc::new(Cell::new(now)));
            until.set(until.get().max(now + wait.left));
        }
        handover_state.recent.iter().for_each(|(id, answer)| state.recent.add(id, *answer));
    }

    /// Reserves the slots of claims that are in flight at another process.
    pub(super) fn reserve_predecessor_slots(&self) {
        let mut state = self.state.borrow_mut();
        let claims = state.predecessor_claims.len();
        state.dispatcher.reserve_slots(claims);
        drop(state);
        self.wake.notify_one();
    }

    /// Runs a job whose claim is in flight at another process: waits for the outcome, then continues here.
    async fn await_predecessor_claim(
        self: Rc<Self>,
        open: OpenJob,
        finished: oneshot::Receiver<FinishedClaim>,
    ) {
        let key = open.key;
        let slot = self.take_slot(&open.job);
        let finished = finished.await.ok();
        self.state.borrow_mut().predecessor_claims.remove(&key);
        if let Some(successor) = &*self.successor.borrow() {
            // Handed over meanwhile: the successor holds the job back. A claim whose outcome is unknown may have run.
            let unknown = || FinishedClaim { key, outcome: Outcome::Cancelled, node: String::new() };
            return successor.claim_ended(finished.unwrap_or_else(unknown));
        }
        self.reserve_predecessor_slots();
        let (job, mut progress) = JobProgress::from_journal(open);
        let outcome = finished.as_ref().map_or(Outcome::Cancelled, |finished| finished.outcome);
        tracing::debug!(id = job.id, ?outcome, "a claim of the previous process has ended");
        if outcome.never_ran() {
            self.record_never_ran(key, &job.id);
            progress.set_unconfirmed_claim(self.journal.borrow().unconfirmed_claim(key));
        }
        if let (Outcome::Full { wait: Some(wait) }, Some(finished)) = (outcome, &finished) {
            self.apply_wait(&finished.node, wait);
        }
        match outcome {
            Outcome::Delivered => {
                self.metrics.message_ended(&job.class, MessageResult::Delivered);
                slot.iter().for_each(|slot| slot.set_outcome(MemoryOutcome::Delivered));
                self.finish(&job, &progress, None).await;
            }
            Outcome::Over => self.finish(&job, &progress, None).await,
            Outcome::Rejected(status) => {
                let failed = job.failed(Some(status));
                self.finish(&job, &progress, Some(failed)).await;
            }
            _ => {
                slot.iter().for_each(MemorySlot::disarm);
                self.run_job(job, progress, None).await;
            }
        }
    }

    /// Applies a requested wait that the decision module does not learn from an outcome.
    pub(super) fn apply_wait(&self, node: &str, left: Duration) {
        let Some(node) = self.state.borrow().nodes.by_name(node).cloned() else { return };
        self.extend_wait(&node, left);
        let route = self.is_separate_route(&node).then_some(node.id);
        let now = self.module_time(Instant::now());
        self.state.borrow_mut().dispatcher.apply_retry_after(now, DestId(node.dest), route, nanos(left));
        self.wake.notify_one();
    }

    /// Sets when a node was last enabled by an operator, as known to another process.
    fn set_enabled_ms(&self, name: &str, enabled_ms: u64) {
        let node = self.state.borrow().nodes.by_name(name).cloned();
        if let Some(node) = node.filter(|_| enabled_ms > 0) {
            node.set_enabled_ms(enabled_ms);
            self.update_list(|_| vec![self.endpoint(&node, node.condition())]);
        }
    }
}
