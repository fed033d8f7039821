//! The life of one job, and its place at the module.
use slatethread::{Class, ClassId, DestId, EndpointId, Event, MsgId, Report, Request, Risk, ZoneId};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, sleep_until};

use onyxglade_backlog::planner::Outcome as Left;

use super::backlog::{MemorySlot, Parked};
use super::bundle::Share;
use super::decision::{Decision, Refusal};
use super::rounds::{ORDERS, Order};
use super::{Carrier, Core, DEFAULT_BACKOFF, FAR_OFF, Node, Ticket};
use crate::clock;
use crate::estate::Home;
use crate::figures::Ended;
use crate::job::{Job, Notice, Outcome, nanos};
use crate::journal::{Key, MayHaveRun, Open, QueuedRequest, TakenOn};

/// Before a claim is reported that a fault of this machine kept back.
const LOCAL_FAULT_PAUSE: Duration = Duration::from_millis(20);

/// What is known of a job's course.
#[derive(Default)]
pub(super) struct Course {
    key: Key,
    class: usize,
    /// The rules of its class under which it was taken on, whatever the settings say by now.
    rules: Class,
    /// Claims made by an earlier process.
    tries: u32,
    /// The first claim that may have run.
    risk: Option<MayHaveRun>,
    /// As the journal has them.
    taken_under: Option<Class>,
    /// Its process has ended: a planned or unplanned restart lies between.
    kept: bool,
    /// Its end was decided by an earlier process.
    ending: Option<Notice>,
    /// It came from the backlog and may go back there.
    fetched: bool,
    /// A plug-in lets it live no longer, and what it tells then.
    cut: Option<Instant>,
    cut_after: Option<Duration>,
}

impl Course {
    pub fn key(&self) -> Key {
        self.key
    }

    pub fn tries(&self) -> u32 {
        self.tries
    }

    pub fn set_risk(&mut self, risk: Option<MayHaveRun>) {
        self.risk = risk;
    }

    pub fn resumed(open: Open) -> (Job, Course) {
        let Open { key, job, rules, tries, risk, ending, place } = open;
        let fetched = place.is_some();
        (job, Course { key, taken_under: rules, tries, risk, ending, fetched, ..Course::default() })
    }

    /// A request that the backlog had.
    pub fn fetched(key: Key, request: QueuedRequest) -> (Job, Course) {
        let (taken_under, tries, risk) = (Some(request.rules()), request.tries(), request.risk());
        let course = Course { key, taken_under, tries, risk, fetched: true, ..Course::default() };
        (request.job, course)
    }

    /// The same after a restart.
    pub fn kept(open: Open) -> (Job, Course) {
        let (job, course) = Course::resumed(open);
        (job, Course { kept: true, ..course })
    }
}

impl<C: Carrier> Core<C> {
    /// The whole life of a job: admitted, journaled, answered, claimed as the module orders, ended.
    pub(super) async fn life(
        self: Rc<Self>,
        mut job: Job,
        mut course: Course,
        answer: Option<oneshot::Sender<Decision>>,
    ) {
        // Admit.
        let mut slot = self.take_slot(&job);
        if let Some(notice) = course.ending.take() {
            return self.finish(&job, &course, Some(notice)).await;
        }
        if answer.is_none() && job.left().is_zero() {
            // A process before may have told just that without a record.
            return self.finish(&job, &course, Some(job.failed(None))).await;
        }
        let known = self.rules().class_index(&job.class);
        let Some(class) = known else {
            // Only a journal from before a change of the settings can hold such a job.
            tracing::warn!(id = job.id, class = job.class, "class is no longer known; the job fails");
            return self.finish(&job, &course, Some(job.failed(None))).await;
        };
        course.class = class;
        course.rules =
            course.taken_under.take().unwrap_or_else(|| self.rules().settings.classes[class].clone());
        if let (Some(hooks), Some(_)) = (&self.hooks, &answer) {
            let ruling = hooks.admit(&job, job.left());
            if ruling.refuse {
                return self.turn_away(&job, answer, Refusal::Refused { after: ruling.retry_after });
            }
            job.deadline =
                ruling.time_left.map_or(job.deadline, |left| job.deadline.min(clock::now() + left));
            job.label = ruling.label;
        }
        let mut seat = self.take_seat(&job, &course);
        if course.fetched {
            Self::may_go_back(&mut slot, seat.msg);
        }
        let mut order = tokio::select! {
            biased;
            () = self.handed.cancelled() => return self.pass_on(job, answer).await,
            order = seat.next() => order,
            // No round will decide on it any more.
            () = self.closed(), if answer.is_some() => Order::Refuse { after: Some(DEFAULT_BACKOFF), why: None },
        };

        // Journal and answer.
        if let Some(answer) = answer {
            let taken_on = match order {
                Order::Refuse { after, why } => {
                    tracing::debug!(id = job.id, dest = job.dest, ?why, "given up on arrival");
                    Err(Refusal::Refused { after })
                }
                Order::Fail => Err(Refusal::Failed),
                _ => {
                    self.record(&job, &course.rules).ok_or(Refusal::Refused { after: Some(DEFAULT_BACKOFF) })
                }
            };
            let taken_on = match taken_on {
                Ok(taken_on) => {
                    course.key = taken_on.key().expect("the journal has it");
                    self.state.borrow_mut().ids.insert(job.id.clone(), true);
                    self.decisions.notify_waiters();
                    self.count(|tally| tally.taken += 1);
                    taken_on
                }
                Err(refusal) => {
                    seat.leave(order);
                    return self.turn_away(&job, Some(answer), refusal);
                }
            };
            if answer.send(Decision::Taken(taken_on)).is_err() {
                // A submitter that is gone was not told: it hands the message in again.
                seat.leave(order);
                return self.forget(&job, &course, None);
            }
        }

        // It takes the place of an earlier one that still waits.
        let replaces = self.carrier.replaces(&job);
        if let Some(key) = &replaces {
            let mut state = self.state.borrow_mut();
            let earlier = state.replaceable.insert(key.clone(), seat.msg);
            earlier.into_iter().for_each(|msg| super::rounds::order(&state, msg, Order::Replaced));
        }

        // Claim as the module orders.
        let end = loop {
            match order {
                // One that is out is not cancelled for it: the order waits until its outcome is known.
                Order::Replaced => {
                    seat.leave(Order::Held);
                    break Some(job.replaced());
                }
                Order::Held | Order::Cancel { .. } => {}
                Order::PutBack(give) => {
                    seat.leave(Order::Held);
                    slot.iter().for_each(MemorySlot::pass_on);
                    drop((seat, slot));
                    // Nobody hears it once the relay is another process's, which has it in the journal.
                    let _ = give.send(Parked { key: course.key, job });
                    return;
                }
                Order::Fail => break Some(job.failed(None)),
                Order::Refuse { after, why } => {
                    let tries = seat.next_attempt;
                    tracing::debug!(id = job.id, dest = job.dest, tries, ?why, "given up");
                    break Some(job.returned(after));
                }
                Order::Claim { node, limit, share } => {
                    let outcome = self.claim(&job, &mut course, &mut seat, &node, limit, share).await;
                    if self.is_handed() {
                        // It came home to who has the job now.
                        return;
                    }
                    match outcome {
                        Outcome::Delivered => {
                            self.figures.ended(&job.class, Ended::Delivered);
                            slot.iter().for_each(|slot| slot.left_as(Left::Delivered));
                            break None;
                        }
                        Outcome::Over => break None,
                        Outcome::Rejected(status) => break Some(job.failed(Some(status))),
                        _ => {}
                    }
                    if let Some(hooks) = &self.hooks {
                        let ruling = hooks.outcome(&job, job.left(), outcome, seat.next_attempt, &node.name);
                        job.label = ruling.label.or(job.label);
                        let cut = if ruling.refuse { Some(Duration::ZERO) } else { ruling.time_left };
                        let cut = cut.map(|left| Instant::now() + left);
                        course.cut = course.cut.into_iter().chain(cut).min();
                        course.cut_after = ruling.retry_after.or(course.cut_after);
                    }
                }
            }
            // Guards against a claim between a plug-in's word and the end: the cut is looked at first.
            let cut = course.cut.unwrap_or_else(|| Instant::now() + FAR_OFF);
            if cut <= Instant::now() {
                seat.leave(Order::Held);
                break Some(match self.may_return(&job, &course) {
                    true => job.returned(course.cut_after.or(Some(DEFAULT_BACKOFF))),
                    false => job.failed(None),
                });
            }
            order = tokio::select! {
                biased;
                () = self.handed.cancelled() => return,
                () = sleep_until(cut.into()) => Order::Held,
                order = seat.next() => order,
            };
        };

        // End.
        if let Some(key) = replaces {
            let mut state = self.state.borrow_mut();
            if state.replaceable.get(&key) == Some(&seat.msg) {
                state.replaceable.remove(&key);
            }
        }
        drop(seat);
        self.finish(&job, &course, end).await;
    }

    /// Carries out one claim and reports its outcome to the module.
    async fn claim(
        self: &Rc<Self>,
        job: &Job,
        course: &mut Course,
        seat: &mut Seat<'_, C>,
        node: &Rc<Node>,
        limit: Duration,
        share: Option<Share>,
    ) -> Outcome {
        let sent = Instant::now();
        let attempt = seat.next_attempt;
        seat.next_attempt += 1;
        let limit = share.as_ref().map_or(limit, Share::limit);
        let limit = course.cut.map_or(limit, |cut| limit.min(cut.saturating_duration_since(sent)));
        let not_after = course.risk.as_ref().and_then(|risk| memory_ends(&course.rules, risk));
        let ticket = self.ticket(course.key, node, not_after);
        self.state.borrow_mut().out.insert(course.key, ticket.clone());
        self.count_call(job.dest, true);
        let outcome = tokio::select! {
            biased;
            outcome = self.call(job, node, limit, &ticket, share) => outcome,
            () = sleep(limit) => if ticket.is_sent() { Outcome::TimedOut } else { Outcome::Unconnected },
            () = seat.cancelled(attempt) => {
                if ticket.is_sent() { Outcome::Cancelled } else { Outcome::NotSent }
            }
            // What is not out yet is its new owner's to send, or not: a drain may be told there.
            () = self.handed_unsent(&ticket) => Outcome::NotSent,
            never = self.hear_wait(node, &ticket) => never,
            () = self.ended.cancelled() => if ticket.is_sent() { Outcome::Cancelled } else { Outcome::NotSent },
        };
        self.state.borrow_mut().out.remove(&course.key);
        self.count_call(job.dest, false);
        // Guards against a time-out or a cancellation between the node's word and the end of its answer.
        let outcome = if ticket.is_delivered() { Outcome::Delivered } else { outcome };
        // What our own machine did not let out is no try.
        let held_back = outcome.never_ran() && !outcome.ends_job() && ticket.met_local_fault();
        let outcome = if held_back { Outcome::LocalFault } else { outcome };
        let label = job.label.as_deref().unwrap_or("");
        let (took, dest) = (sent.elapsed(), job.dest);
        let told = ticket.report().limit;
        let first_byte = ticket.begun();
        let first_byte_after = first_byte.map(|(at, _)| at - sent);
        let list_age = first_byte.and_then(|(_, age)| age);
        let node_name = &*node.name;
        tracing::debug!(
            id = job.id,
            dest,
            node = node_name,
            attempt,
            ?outcome,
            ?took,
            ?first_byte_after,
            ?list_age,
            limit = ?told,
            label,
            "claim"
        );
        if let Some(successor) = &*self.successor.borrow() {
            // A process of another version knows no faults of this machine.
            let told = if outcome == Outcome::LocalFault { Outcome::NotSent } else { outcome };
            successor.home(Home { key: course.key, outcome: told, node: node.name.to_string() });
            return outcome;
        }
        if outcome == Outcome::LocalFault && !self.journal_health.is_failing() {
            // Guards against trying at once and again what a connection cannot be made for.
            sleep(LOCAL_FAULT_PAUSE).await;
        }
        match ticket.recorded() {
            Some(_) if outcome.never_ran() => {
                self.record_never_ran(course.key, &job.id);
            }
            Some(this) => _ = course.risk.get_or_insert(this),
            // It has not begun.
            None => {}
        }
        if let Outcome::Full { wait: Some(wait) } = outcome {
            self.begin_wait(node, wait);
        } else if let Some(wait) = ticket.take_told_wait() {
            // With an answer that was not of itself one, or was spoilt behind its head.
            self.heard_wait(&node.name, wait);
        }
        let wait = if let Outcome::Full { wait } = outcome { wait } else { None };
        // Where nodes are routes apart, a wait of one says nothing of the others.
        let of_one_route = wait.is_some() && self.is_apart(node);
        if !outcome.ends_job() && !of_one_route && outcome != Outcome::LocalFault {
            self.attempt_failed(job.dest, wait);
        }
        self.count(|tally| {
            tally.claims += 1;
            tally.delivered += u32::from(outcome == Outcome::Delivered);
        });
        seat.report_closed(attempt, node, outcome, sent.elapsed(), ticket.report());
        outcome
    }

    /// One call, or a share in one.
    async fn call(
        &self,
        job: &Job,
        node: &Node,
        limit: Duration,
        ticket: &Rc<Ticket>,
        share: Option<Share>,
    ) -> Outcome {
        match share {
            Some(share) => share.claim(&self.carrier, job, node, limit, ticket).await,
            None => self.carrier.claim(job, node, limit, ticket).await,
        }
    }

    /// Takes up a wait as soon as the head of the answer tells it. Guards against rounds that send there while the rest
    /// of the answer is waited for, which would use up the tries of what they send. Has no end of its own.
    async fn hear_wait(&self, node: &Node, ticket: &Ticket) -> Outcome {
        ticket.wait_is_told().await;
        ticket.take_told_wait().into_iter().for_each(|wait| self.heard_wait(&node.name, wait));
        std::future::pending().await
    }

    async fn handed_unsent(&self, ticket: &Ticket) {
        self.handed.cancelled().await;
        if ticket.is_sent() {
            std::future::pending().await
        }
    }

    /// Hands a job whose submitter still waits for its answer to who has taken over.
    async fn pass_on(&self, job: Job, answer: Option<oneshot::Sender<Decision>>) {
        let successor = self.successor.borrow().clone();
        if let (Some(successor), Some(answer)) = (successor, answer) {
            let id = job.id.clone();
            let told = successor.admit(job).await;
            self.decided(&id, Some(told));
            // A submitter that is gone hands the message in again.
            let _ = answer.send(Decision::ByAnother(told));
        }
    }

    /// Gives a new job its answer instead of taking it on.
    fn turn_away(&self, job: &Job, answer: Option<oneshot::Sender<Decision>>, refusal: Refusal) {
        self.count(|tally| tally.turned_away += 1);
        let failed = refusal == Refusal::Failed;
        self.figures.ended(&job.class, if failed { Ended::Failed } else { Ended::TurnedBack });
        tracing::debug!(id = job.id, dest = job.dest, ?refusal, "turned away");
        self.decided(&job.id, Some(refusal.into()));
        if let Some(answer) = answer {
            // A submitter that is gone needs none.
            let _ = answer.send(Decision::Refused(refusal));
        }
    }

    /// Whether handing the job in again is harmless, as the rules have it.
    fn may_return(&self, job: &Job, course: &Course) -> bool {
        (course.risk.is_none() || course.rules.may_come_again()) && !job.left().is_zero()
    }

    fn record(&self, job: &Job, rules: &Class) -> Option<TakenOn> {
        match self.journal.borrow_mut().job(job, rules) {
            Ok(Some(taken_on)) => Some(taken_on),
            Ok(None) => {
                tracing::warn!(id = job.id, size = job.body.len(), "journal is full; the job is refused");
                None
            }
            Err(error) => {
                tracing::debug!(id = job.id, %error, "journal cannot be written; the job is refused");
                None
            }
        }
    }

    fn take_seat(&self, job: &Job, course: &Course) -> Seat<'_, C> {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let risk = course.risk.as_ref().map(|risk| {
            let ago = risk.ago(now);
            let zone = risk.zone.as_ref().and_then(|z| self.rules().names.zones.iter().position(|n| n == z));
            Risk {
                sent: self.module_time(Instant::now()).saturating_sub(nanos(ago)),
                // One that is no longer listed has no number; none is ever given twice.
                endpoint: state.nodes.named(&risk.node).map_or(EndpointId(u32::MAX), |node| node.id),
                zone: zone.map(ZoneId),
            }
        });
        let msg = loop {
            state.next_msg = state.next_msg.wrapping_add(1);
            let msg = MsgId(state.next_msg);
            if !state.seats.contains_key(&msg) {
                break msg;
            }
        };
        let (order, orders) = mpsc::channel(ORDERS);
        state.seats.insert(msg, order);
        state.inbox.push(Event::Request(Request {
            msg,
            dest: DestId(job.dest),
            class: ClassId(course.class),
            tenant: None,
            key: None,
            patience: nanos(job.deadline.duration_since(now).unwrap_or_default()),
            retry: job.retry,
            reconnect: job.reconnect,
            tries: course.tries,
            risk,
            kept: course.kept,
            rules: Some(course.rules.clone()),
        }));
        self.wake.notify_one();
        Seat { core: self, msg, orders, next_attempt: course.tries, kept: None }
    }
}

/// Until when an earlier claim is surely remembered, where a repeat matters.
fn memory_ends(rules: &Class, risk: &MayHaveRun) -> Option<Instant> {
    let memory = Duration::from_nanos(rules.memory()?);
    Some(Instant::now() + memory.saturating_sub(risk.ago(clock::now())))
}

/// A job's place at the module. Leaving it frees the place.
struct Seat<'a, C> {
    core: &'a Core<C>,
    msg: MsgId,
    orders: mpsc::Receiver<Order>,
    /// Number of the next claim, as the module counts them.
    next_attempt: u32,
    /// An order that came while a claim was out.
    kept: Option<Order>,
}

impl<C> Seat<'_, C> {
    async fn next(&mut self) -> Order {
        if let Some(order) = self.kept.take() {
            return order;
        }
        // The sender stays in the core for as long as the seat is taken.
        self.orders.recv().await.unwrap_or(Order::Fail)
    }

    /// Done when the module calls the claim off.
    async fn cancelled(&mut self, number: u32) {
        loop {
            match self.orders.recv().await.unwrap_or(Order::Fail) {
                Order::Cancel { attempt } if attempt == number => return,
                // One that is out does not go back to disk.
                Order::Held | Order::Cancel { .. } | Order::PutBack(_) => {}
                // Not to be expected while a claim is out, and not to be lost either.
                order => self.kept = Some(order),
            }
        }
    }

    fn report(&self, event: Event) {
        self.core.state.borrow_mut().inbox.push(event);
        self.core.wake.notify_one();
    }

    fn report_closed(&self, attempt: u32, node: &Node, outcome: Outcome, took: Duration, report: Report) {
        self.report(Event::Closed {
            msg: self.msg,
            attempt,
            endpoint: node.id,
            outcome: outcome.for_module(),
            latency: nanos(took),
            no_more: outcome.ends_job(),
            report,
        });
    }

    /// Tells the module that nobody wants the job any more. Guards against claims that it has ordered and that
    /// are not carried out: without an outcome they would hold their slots for ever.
    fn leave(&mut self, order: Order) {
        let mut order = Some(order);
        while let Some(this) = order.or_else(|| self.kept.take()) {
            if let Order::Claim { node, .. } = this {
                self.report_closed(
                    self.next_attempt,
                    &node,
                    Outcome::NotSent,
                    Duration::ZERO,
                    Report::default(),
                );
                self.next_attempt += 1;
            }
            order = self.orders.try_recv().ok();
        }
        self.report(Event::Expired { msg: self.msg });
    }
}

impl<C> Drop for Seat<'_, C> {
    fn drop(&mut self) {
        self.core.state.borrow_mut().seats.remove(&self.msg);
    }
}
