//! Handing all jobs over to another process of the relay, and taking them on.
//!
//! Each job has one owner at each moment: who has the journal. A claim that is out belongs to the process that made it
//! until it comes home; its job is the new owner's, which holds it back and leaves its slot alone for so long.
use futures_util::future::LocalBoxFuture;
use onyxglade_backlog::planner::Outcome as Left;
use slatethread::{DestId, DestinationSnapshot, EndpointSnapshot};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

use super::backlog::MemorySlot;
use super::life::Course;
use super::{Carrier, Core};
use crate::estate::{Estate, Home, LearnedNode, LearnedUnit, ToldWait};
use crate::figures::Ended;
use crate::job::{Answer, Job, Outcome, nanos};
use crate::journal::{Key, Open};
use crate::list::{Lifecycle, NodeEntry, NodeList};

/// The process that has taken over.
pub trait Successor {
    /// Takes a job from a submitter who is still connected here.
    fn admit(&self, job: Job) -> LocalBoxFuture<'_, Answer>;
    /// A claim has come home.
    fn home(&self, home: Home);
}

fn span(nanos: u64) -> Duration {
    Duration::from_nanos(nanos)
}

impl<C: Carrier> Core<C> {
    /// Stops deciding and lets the journal go, at once and between two rounds: from the return of this on the jobs are
    /// another process's. Claims that are out come home to `successor`; those not yet sent never are.
    pub fn hand_over(&self, successor: Rc<dyn Successor>) -> Estate {
        self.winding_down.set(true);
        let estate = self.estate();
        // The newcomer hears of each claim that is out what became of it, also of those that have not begun.
        self.state.borrow().out.values().for_each(|ticket| ticket.record_unsent());
        *self.successor.borrow_mut() = Some(successor);
        self.journal.borrow_mut().close();
        self.hand_over_backlog();
        self.handed.cancel();
        self.closing.notify_waiters();
        self.decisions.notify_waiters();
        estate
    }

    fn estate(&self) -> Estate {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let recent = state.recent.all();
        let name = |id| state.nodes.get(id).map(|node| node.name.to_string());
        let waits = state.waits.iter().filter(|(_, until)| until.get() > now);
        let waits = waits.map(|((dest, node), until)| ToldWait {
            dest: *dest,
            node: node.and_then(name),
            left: until.get() - now,
        });
        let learned = state.courier.snapshot(self.module_time(now)).into_iter().map(|learned| LearnedUnit {
            dest: learned.dest.0,
            route: learned.route.and_then(name),
            wait_left: span(learned.retry_after_left),
            window: learned.window,
            pace: learned.rate,
            cut_ago: learned.rate_cut_ago.map(span),
            proven: learned.proven_rate,
            least: learned.min_latency,
            recent: learned.latest_latency,
            mean: learned.mean_latency,
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
                        since_ago: span(peer.unhealthy_ago),
                        bad: peer.failure_average,
                        trial_left: span(peer.next_trial_in),
                        served_ago: peer.served_ago.map(span),
                    })
                })
                .collect(),
        });
        Estate {
            generation: self.generation.get(),
            nodes: state.nodes.all().map(|node| node.listed(&self.rules())).collect(),
            waits: waits.collect(),
            learned: learned.collect(),
            recent,
            out: state.out.keys().copied().collect(),
            drained: false,
        }
    }

    /// The jobs are another process's.
    pub(super) fn is_handed(&self) -> bool {
        self.handed.is_cancelled()
    }

    /// Calls off what is still out: it may have run.
    pub fn call_off(&self) {
        self.ended.cancel();
    }

    /// Whether no claim is out any more.
    pub fn all_home(&self) -> bool {
        self.state.borrow().out.is_empty()
    }

    /// Takes on what another process had: its list, what it was told and learned, its jobs. Gives, for each job whose
    /// claim is still out there, where its outcome is to be told; a claim that is never told of may have run.
    pub async fn inherit(
        self: &Rc<Self>,
        estate: &Estate,
        open: Vec<Open>,
    ) -> Vec<(Key, oneshot::Sender<Home>)> {
        let entries = estate.nodes.iter().map(|node| NodeEntry {
            instance_id: node.name.clone().into(),
            host_port: node.address.clone().into(),
            zone: node.zone.clone().into(),
            machine_type: node.kind.clone().into(),
            cell: node.dest,
            lifecycle: if node.serving { Lifecycle::Serving } else { Lifecycle::Draining },
            weight: node.weight,
            started_at_ms: node.started_ms,
        });
        let mut list = NodeList::of(entries.collect());
        list.generation = estate.generation.unwrap_or(0);
        self.take_list(&list).await;
        for node in &estate.nodes {
            self.set_back(&node.name, node.back_ms);
        }
        // The module knows what is listed after a round.
        self.round(Instant::now());
        self.recall(estate);
        let mut homes = Vec::new();
        let (out, here): (Vec<_>, Vec<_>) = open.into_iter().partition(|open| estate.out.contains(&open.key));
        self.borrowed.set(out.len());
        self.lend();
        for open in out {
            let (tell, home) = oneshot::channel();
            homes.push((open.key, tell));
            self.state.borrow_mut().ids.insert(open.job.id.clone(), true);
            actix_rt::spawn(self.clone().elsewhere(open, home));
        }
        here.into_iter().for_each(|open| self.resume(open));
        homes
    }

    fn recall(&self, estate: &Estate) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let at = self.module_time(now);
        let id = |name: &String| state.nodes.named(name).map(|node| node.id);
        for unit in &estate.learned {
            let learned = DestinationSnapshot {
                dest: DestId(unit.dest),
                route: unit.route.as_ref().and_then(id),
                retry_after_left: nanos(unit.wait_left),
                window: unit.window,
                rate: unit.pace,
                rate_cut_ago: unit.cut_ago.map(nanos),
                proven_rate: unit.proven,
                min_latency: unit.least,
                latest_latency: unit.recent,
                mean_latency: unit.mean,
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
                            unhealthy_ago: nanos(node.since_ago),
                            failure_average: node.bad,
                            next_trial_in: nanos(node.trial_left),
                            served_ago: node.served_ago.map(nanos),
                        })
                    })
                    .collect(),
            };
            state.courier.restore(at, &learned);
        }
        for wait in &estate.waits {
            let route = wait.node.as_ref().and_then(id);
            state.courier.apply_retry_after(at, DestId(wait.dest), route, nanos(wait.left));
            let until = state.waits.entry((wait.dest, route)).or_insert_with(|| Rc::new(Cell::new(now)));
            until.set(until.get().max(now + wait.left));
        }
        estate.recent.iter().for_each(|(id, answer)| state.recent.add(id, *answer));
    }

    /// Slots of claims that another process has out are not used here.
    pub(super) fn lend(&self) {
        self.state.borrow_mut().courier.reserve_slots(self.borrowed.get());
        self.wake.notify_one();
    }

    /// The life of a job whose claim is out at another process: it waits for that, and then goes on here.
    async fn elsewhere(self: Rc<Self>, open: Open, home: oneshot::Receiver<Home>) {
        let key = open.key;
        let slot = self.take_slot(&open.job);
        let told = home.await.ok();
        self.borrowed.set(self.borrowed.get() - 1);
        self.lend();
        let (job, mut course) = Course::resumed(open);
        let outcome = told.as_ref().map_or(Outcome::Cancelled, |home| home.outcome);
        tracing::debug!(id = job.id, ?outcome, "a claim came home to the process before");
        if outcome.never_ran() {
            self.record_never_ran(key, &job.id);
            course.set_risk(self.journal.borrow().risk(key));
        }
        if let (Outcome::Full { wait: Some(wait) }, Some(home)) = (outcome, &told) {
            self.heard_wait(&home.node, wait);
        }
        match outcome {
            Outcome::Delivered => {
                self.figures.ended(&job.class, Ended::Delivered);
                slot.iter().for_each(|slot| slot.left_as(Left::Delivered));
                self.finish(&job, &course, None).await;
            }
            Outcome::Over => self.finish(&job, &course, None).await,
            Outcome::Rejected(status) => {
                let failed = job.failed(Some(status));
                self.finish(&job, &course, Some(failed)).await;
            }
            _ => {
                slot.iter().for_each(MemorySlot::pass_on);
                self.life(job, course, None).await;
            }
        }
    }

    /// Takes up a wait that the module does not hear of by an outcome.
    pub(super) fn heard_wait(&self, node: &str, left: Duration) {
        let Some(node) = self.state.borrow().nodes.named(node).cloned() else { return };
        self.begin_wait(&node, left);
        let route = self.is_apart(&node).then_some(node.id);
        let now = self.module_time(Instant::now());
        self.state.borrow_mut().courier.apply_retry_after(now, DestId(node.dest), route, nanos(left));
        self.wake.notify_one();
    }

    /// When a node was last taken back by hand, as another process knew.
    fn set_back(&self, name: &str, back_ms: u64) {
        let node = self.state.borrow().nodes.named(name).cloned();
        if let Some(node) = node.filter(|_| back_ms > 0) {
            node.set_back(back_ms);
            self.change(|_| vec![self.endpoint(&node, node.condition())]);
        }
    }
}
