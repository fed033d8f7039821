//! The task that runs one job, and its registration with the decision module.
use slatethread::{
    Class, ClassId, DestId, EndpointId, Event, MsgId, Report, Request, UnconfirmedAttempt, ZoneId,
};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, sleep_until};

use onyxglade_backlog::planner::Outcome as MemoryOutcome;

use super::backlog::{MemorySlot, PutBackRequest};
use super::bundle::Share;
use super::decision::{Decision, Refusal};
use super::hooks::HookAdmission;
use super::rounds::{ORDER_CAPACITY, Order};
use super::{Confirmation, Core, DEFAULT_BACKOFF, IDLE_WAKEUP, Node, SendPermit, Transport, Verdict};
use crate::clock;
use crate::count_guard::CountGuard;
use crate::handover_state::FinishedClaim;
use crate::hook::{HookCall, Moment};
use crate::job::{Job, Notice, Outcome, nanos};
use crate::journal::{Acceptance, Key, OpenJob, QueuedRequest, RecordedClaim};
use crate::metrics::MessageResult;

/// Delay before a claim that failed by a fault of this machine is reported to the decision module.
const LOCAL_FAULT_DELAY: Duration = Duration::from_millis(20);

/// How long after a full journal was logged it is logged again.
const FULL_JOURNAL_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The progress of a job.
#[derive(Default)]
pub(super) struct JobProgress {
    key: Key,
    class: usize,
    /// The rules of its class at the time it was accepted, whatever the settings are now.
    rules: Class,
    /// Claims made by an earlier process.
    tries: u32,
    /// The first claim that may have run.
    unconfirmed_claim: Option<RecordedClaim>,
    /// The rules of its class as recorded in the journal.
    accepted_rules: Option<Class>,
    /// Whether the relay has been restarted, as planned or not, since it accepted the job.
    restarted: bool,
    /// The end that an earlier process has decided on.
    pending_notice: Option<Notice>,
    /// Whether it came from the backlog and may be put back there.
    from_backlog: bool,
    /// A deadline set by a hook, and when the submitter may retry if it passes.
    hook_deadline: Option<Instant>,
    hook_retry_after: Option<Duration>,
    /// Whether it was counted as delivered, on an answer that may not be certain yet.
    counted_as_delivered: bool,
}

impl JobProgress {
    pub fn key(&self) -> Key {
        self.key
    }

    pub fn tries(&self) -> u32 {
        self.tries
    }

    pub fn counted_as_delivered(&self) -> bool {
        self.counted_as_delivered
    }

    pub fn set_unconfirmed_claim(&mut self, unconfirmed_claim: Option<RecordedClaim>) {
        self.unconfirmed_claim = unconfirmed_claim;
    }

    /// A job from the journal.
    pub fn from_journal(open: OpenJob) -> (Job, JobProgress) {
        let OpenJob { key, job, rules, tries, unconfirmed_claim, pending_notice, place } = open;
        let from_backlog = place.is_some();
        (
            job,
            JobProgress {
                key,
                accepted_rules: rules,
                tries,
                unconfirmed_claim,
                pending_notice,
                from_backlog,
                ..JobProgress::default()
            },
        )
    }

    /// A job that was fetched from the backlog.
    pub fn from_backlog(key: Key, request: QueuedRequest) -> (Job, JobProgress) {
        let (accepted_rules, tries, unconfirmed_claim) =
            (Some(request.rules()), request.tries(), request.unconfirmed_claim());
        let progress = JobProgress {
            key,
            accepted_rules,
            tries,
            unconfirmed_claim,
            from_backlog: true,
            ..JobProgress::default()
        };
        (request.job, progress)
    }

    /// A job from the journal after a restart of the relay.
    pub fn after_restart(open: OpenJob) -> (Job, JobProgress) {
        let (job, progress) = JobProgress::from_journal(open);
        (job, JobProgress { restarted: true, ..progress })
    }
}

impl<C: Transport> Core<C> {
    /// Runs a job from admission to its end: admits it, journals it, answers the submitter, makes the claims that the
    /// decision module orders, and reports the end. `answer` is absent for a job that was accepted before.
    pub(super) async fn run_job(
        self: Rc<Self>,
        mut job: Job,
        mut progress: JobProgress,
        answer: Option<oneshot::Sender<Decision>>,
    ) {
        // Admit.
        let mut slot = self.take_slot(&job);
        if let Some(notice) = progress.pending_notice.take() {
            return self.finish(&job, &progress, Some(notice)).await;
        }
        if answer.is_none() && job.time_left().is_zero() {
            // An earlier process may have reported the same end already, without recording it.
            return self.finish(&job, &progress, Some(job.failed(None))).await;
        }
        let known = self.rules().class_index(&job.class);
        let Some(class) = known else {
            // Possible only for a job that was journaled before a change of the settings.
            tracing::warn!(id = job.id, class = job.class, "class is no longer configured; the job fails");
            return self.finish(&job, &progress, Some(job.failed(None))).await;
        };
        progress.class = class;
        progress.rules =
            progress.accepted_rules.take().unwrap_or_else(|| self.rules().settings.classes[class].clone());
        if answer.is_some() {
            match self.admit_by_hook(&mut job).await {
                HookAdmission::Admitted => {}
                HookAdmission::Refused { after } => {
                    return self.refuse_job(&job, answer, Refusal::Refused { after });
                }
                HookAdmission::HandedOver => return self.forward_to_successor(job, answer).await,
            }
        }
        let mut registration = self.register(&job, &progress);
        if progress.from_backlog {
            Self::allow_put_back(&mut slot, registration.msg);
        }
        let mut order = tokio::select! {
            biased;
            () = self.handed_over.cancelled() => return self.forward_to_successor(job, answer).await,
            order = registration.next() => order,
            // There will be no more rounds to decide on it.
            () = self.no_more_rounds(), if answer.is_some() =>
                Order::Refuse { after: Some(DEFAULT_BACKOFF), why: None },
        };

        // Journal and answer.
        if let Some(answer) = answer {
            let receipt = match order {
                Order::Refuse { after, why } => {
                    tracing::debug!(id = job.id, dest = job.dest, ?why, "job refused by the decision module");
                    Err(Refusal::Refused { after })
                }
                Order::Fail => Err(Refusal::Failed),
                _ => self
                    .journal_job(&job, &progress.rules)
                    .ok_or(Refusal::Refused { after: Some(DEFAULT_BACKOFF) }),
            };
            let receipt = match receipt {
                Ok(receipt) => {
                    progress.key = receipt.key().expect("a journaled job has a key");
                    self.state.borrow_mut().ids.insert(job.id.clone(), true);
                    self.decisions.notify_waiters();
                    self.count(|tally| tally.accepted += 1);
                    receipt
                }
                Err(refusal) => {
                    registration.abandon(order);
                    return self.refuse_job(&job, Some(answer), refusal);
                }
            };
            if answer.send(Decision::Accepted(receipt)).is_err() {
                // The submitter has disconnected without an answer, and will submit the message again.
                registration.abandon(order);
                return self.release_unanswered_job(&job, &progress);
            }
        }

        // Replaces an earlier job with the same replacement key that has not ended.
        let replacement_key = self.transport.replacement_key(&job);
        if let Some(key) = &replacement_key {
            let mut state = self.state.borrow_mut();
            let earlier = state.replaceable.insert(key.clone(), registration.msg);
            earlier.into_iter().for_each(|msg| super::rounds::send_order(&state, msg, Order::Replaced));
        }

        // Claim as the decision module orders.
        let end = loop {
            match order {
                // A claim in flight is not cancelled for this: the order stays pending until the outcome is known.
                Order::Replaced => {
                    registration.abandon(Order::Queued);
                    break Some(job.replaced());
                }
                Order::Queued | Order::Cancel { .. } => {}
                Order::PutBack(sender) => {
                    registration.abandon(Order::Queued);
                    slot.iter().for_each(MemorySlot::disarm);
                    drop((registration, slot));
                    // Fails only after a handover: the successor then has the job in the journal.
                    let _ = sender.send(PutBackRequest { key: progress.key, job });
                    return;
                }
                Order::Fail => break Some(job.failed(None)),
                Order::Refuse { after, why } => {
                    let tries = registration.next_attempt;
                    tracing::debug!(
                        id = job.id,
                        dest = job.dest,
                        tries,
                        ?why,
                        "job given up by the decision module"
                    );
                    break Some(job.returned(after));
                }
                Order::Claim { node, limit, share } => {
                    let claim_end =
                        self.claim(&job, &mut progress, &mut registration, &node, limit, share).await;
                    if self.is_handed_over() {
                        // The outcome was reported to the successor, which has the job now.
                        return;
                    }
                    let outcome = match claim_end {
                        ClaimEnd::Known(outcome) => outcome,
                        ClaimEnd::ReportedAsDelivered if job.time_left().is_zero() => {
                            break Some(job.failed(None));
                        }
                        ClaimEnd::ReportedAsDelivered => {
                            // The decision module regards the job as delivered: it is registered anew.
                            progress.tries = registration.next_attempt;
                            drop(registration);
                            registration = self.register(&job, &progress);
                            Outcome::Reset
                        }
                    };
                    match outcome {
                        Outcome::Delivered => {
                            self.count_delivery(&job, &mut progress);
                            slot.iter().for_each(|slot| slot.set_outcome(MemoryOutcome::Delivered));
                            break None;
                        }
                        Outcome::Over => break None,
                        Outcome::Rejected(status) => break Some(job.failed(Some(status))),
                        _ => {}
                    }
                    if let Some(hooks) = &self.hooks {
                        let (tries, node) = (registration.next_attempt, node.name.to_string());
                        let moment = Moment::Outcome { outcome, tries, node };
                        let decision = hooks.decide(HookCall::new(&job, moment));
                        let Some(hook_decision) = self.await_hook(&job, decision).await else { return };
                        job.label = hook_decision.label.or(job.label);
                        let time_left =
                            if hook_decision.refuse { Some(Duration::ZERO) } else { hook_decision.time_left };
                        let deadline = time_left.map(|left| Instant::now() + left);
                        progress.hook_deadline = progress.hook_deadline.into_iter().chain(deadline).min();
                        progress.hook_retry_after = hook_decision.retry_after.or(progress.hook_retry_after);
                    }
                }
            }
            // Checked before the next order, so that no claim is made once a hook has ended the job.
            let hook_deadline = progress.hook_deadline.unwrap_or_else(|| Instant::now() + IDLE_WAKEUP);
            if hook_deadline <= Instant::now() {
                registration.abandon(Order::Queued);
                break Some(match self.may_return(&job, &progress) {
                    true => job.returned(progress.hook_retry_after.or(Some(DEFAULT_BACKOFF))),
                    false => job.failed(None),
                });
            }
            order = tokio::select! {
                biased;
                () = self.handed_over.cancelled() => return,
                () = sleep_until(hook_deadline.into()) => Order::Queued,
                order = registration.next() => order,
            };
        };

        // End.
        if let Some(key) = replacement_key {
            let mut state = self.state.borrow_mut();
            if state.replaceable.get(&key) == Some(&registration.msg) {
                state.replaceable.remove(&key);
            }
        }
        drop(registration);
        self.finish(&job, &progress, end).await;
    }

    /// Makes one claim and reports its outcome to the decision module.
    async fn claim(
        self: &Rc<Self>,
        job: &Job,
        progress: &mut JobProgress,
        registration: &mut Registration<'_, C>,
        node: &Rc<Node>,
        limit: Duration,
        share: Option<Share>,
    ) -> ClaimEnd {
        let sent = Instant::now();
        let attempt = registration.next_attempt;
        registration.next_attempt += 1;
        let limit = share.as_ref().map_or(limit, Share::limit);
        let limit =
            progress.hook_deadline.map_or(limit, |end| limit.min(end.saturating_duration_since(sent)));
        let not_after =
            progress.unconfirmed_claim.as_ref().and_then(|claim| key_memory_end(&progress.rules, claim));
        let permit = self.permit(progress.key, node, not_after);
        self.state.borrow_mut().in_flight.insert(progress.key, permit.clone());
        self.count_call(job.dest, true);
        let outcome = tokio::select! {
            biased;
            outcome = self.call(job, node, limit, &permit, share) => outcome,
            () = sleep(limit) => if permit.is_sent() { Outcome::TimedOut } else { Outcome::Unconnected },
            () = registration.cancelled(attempt) => {
                if permit.is_sent() { Outcome::Cancelled } else { Outcome::NotSent }
            }
            // An unsent claim is the successor's to send or not: the successor may know of a drain by now.
            () = self.handed_over_unsent(&permit) => Outcome::NotSent,
            never = self.watch_for_wait(node, &permit) => never,
            () = self.claims_cancelled.cancelled() =>
                if permit.is_sent() { Outcome::Cancelled } else { Outcome::NotSent },
        };
        self.count_call(job.dest, false);
        // The node's confirmation counts even if a timeout or a cancellation came before the end of its answer.
        let outcome = if permit.is_delivered() { Outcome::Delivered } else { outcome };
        // A claim that this machine failed to send does not count as an attempt.
        let failed_locally = outcome.never_ran() && !outcome.ends_job() && permit.had_local_fault();
        let outcome = if failed_locally { Outcome::LocalFault } else { outcome };
        let label = job.label.as_deref().unwrap_or("");
        let (took, dest) = (sent.elapsed(), job.dest);
        let reported_limit = permit.report().limit;
        let first_byte = permit.begun();
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
            limit = ?reported_limit,
            label,
            "claim ended"
        );
        // An answer that was not certain matters only if it says that the claim was delivered or never ran.
        let confirmation = permit
            .take_confirmation()
            .filter(|_| outcome == Outcome::Delivered || outcome.never_ran() && permit.is_sent());
        let is_reported = confirmation.is_some() && outcome == Outcome::Delivered && !self.is_handed_over();
        if is_reported {
            // The slot is free; only the job's record waits for the verdict.
            registration.report_closed(attempt, node, outcome, took, permit.report());
            registration.end();
            self.count_delivery(job, progress);
        }
        let verdict_requested = Instant::now();
        let verdict = match confirmation {
            Some(confirmation) => {
                // Whichever claim the answer belongs to, the node asks for the wait now: claims sent meanwhile would use up the attempts
                // of their jobs.
                outcome.requested_wait().into_iter().for_each(|wait| self.apply_wait(&node.name, wait));
                let _pending = is_reported.then(|| CountGuard::new(&self.unconfirmed_deliveries));
                self.confirm_answer(job, outcome, confirmation).await
            }
            None => Verdict::Confirmed,
        };
        let outcome = match verdict {
            Verdict::Confirmed => outcome.after(verdict_requested.elapsed()),
            Verdict::InDoubt => Outcome::Reset,
        };
        self.state.borrow_mut().in_flight.remove(&progress.key);
        if let Some(successor) = &*self.successor.borrow() {
            // A successor of another version may not know this outcome.
            let reported = if outcome == Outcome::LocalFault { Outcome::NotSent } else { outcome };
            successor.claim_ended(FinishedClaim {
                key: progress.key,
                outcome: reported,
                node: node.name.to_string(),
            });
            return ClaimEnd::Known(reported);
        }
        if is_reported && verdict == Verdict::InDoubt {
            progress.unconfirmed_claim = progress.unconfirmed_claim.take().or(permit.recorded());
            return ClaimEnd::ReportedAsDelivered;
        }
        if outcome == Outcome::LocalFault && !self.journal_health.is_failing() {
            // Prevents a busy loop of retries while this machine cannot open connections.
            sleep(LOCAL_FAULT_DELAY).await;
        }
        match permit.recorded() {
            Some(_) if outcome.never_ran() => {
                self.record_never_ran(progress.key, &job.id);
            }
            Some(claim) => _ = progress.unconfirmed_claim.get_or_insert(claim),
            // Not a byte was sent.
            None => {}
        }
        if let Outcome::Full { wait: Some(wait) } = outcome {
            self.extend_wait(node, wait);
        } else if let Some(wait) = permit.take_requested_wait() {
            // The wait came with another outcome, or with an answer that became invalid after its head.
            self.apply_wait(&node.name, wait);
        }
        let wait = if let Outcome::Full { wait } = outcome { wait } else { None };
        // If nodes are separate routes, a wait requested by one says nothing about the others.
        let of_one_route = wait.is_some() && self.is_separate_route(node);
        if !outcome.ends_job() && !of_one_route && outcome != Outcome::LocalFault {
            self.attempt_failed(job.dest, wait);
        }
        self.count(|tally| {
            tally.claims += 1;
            tally.delivered += u32::from(outcome == Outcome::Delivered);
        });
        if !is_reported {
            registration.report_closed(attempt, node, outcome, sent.elapsed(), permit.report());
        }
        ClaimEnd::Known(outcome)
    }

    /// Counts a job as delivered, once: also if the answer is in doubt later, since a counter cannot be taken back.
    fn count_delivery(&self, job: &Job, progress: &mut JobProgress) {
        if !std::mem::replace(&mut progress.counted_as_delivered, true) {
            self.metrics.message_ended(&job.class, MessageResult::Delivered);
        }
    }

    /// Waits until it is certain whether an answer was meant for this claim, at most until the job's deadline: a notice of a delivered
    /// job does no harm, and one that was not delivered must end in time.
    async fn confirm_answer(&self, job: &Job, outcome: Outcome, confirmation: Confirmation) -> Verdict {
        let verdict = tokio::select! {
            biased;
            verdict = confirmation.verdict() => verdict,
            () = sleep(job.time_left()) => Verdict::InDoubt,
        };
        if verdict == Verdict::InDoubt {
            self.metrics.answer_in_doubt();
            let (id, dest, left) = (&job.id, job.dest, job.time_left());
            tracing::warn!(
                id,
                dest,
                ?outcome,
                ?left,
                "an answer may be another claim's; the claim counts as one that may have run"
            );
        }
        verdict
    }

    /// Makes a call with one message, or joins a bundled call.
    async fn call(
        &self,
        job: &Job,
        node: &Node,
        limit: Duration,
        permit: &Rc<SendPermit>,
        share: Option<Share>,
    ) -> Outcome {
        match share {
            Some(share) => share.claim(&self.transport, job, node, limit, permit).await,
            None => self.transport.claim(job, node, limit, permit).await,
        }
    }

    /// Applies a requested wait as soon as the head of the answer has it. Otherwise rounds would send more claims to
    /// the destination until the answer is complete, and use up the attempts of their jobs. Never returns.
    async fn watch_for_wait(&self, node: &Node, permit: &SendPermit) -> Outcome {
        permit.wait_requested().await;
        permit.take_requested_wait().into_iter().for_each(|wait| self.apply_wait(&node.name, wait));
        std::future::pending().await
    }

    /// Waits for a handover before the claim is sent.
    async fn handed_over_unsent(&self, permit: &SendPermit) {
        self.handed_over.cancelled().await;
        if permit.is_sent() {
            std::future::pending().await
        }
    }

    /// Forwards a job whose submitter still waits for an answer to the successor.
    pub(super) async fn forward_to_successor(&self, job: Job, answer: Option<oneshot::Sender<Decision>>) {
        let successor = self.successor.borrow().clone();
        if let (Some(successor), Some(answer)) = (successor, answer) {
            let id = job.id.clone();
            let decided = successor.admit(job).await;
            self.close_id(&id, Some(decided));
            // Fails only if the submitter has disconnected; it will submit the message again.
            let _ = answer.send(Decision::FromSuccessor(decided));
        }
    }

    /// Answers a new job without accepting it.
    fn refuse_job(&self, job: &Job, answer: Option<oneshot::Sender<Decision>>, refusal: Refusal) {
        self.count(|tally| tally.refused += 1);
        let failed = refusal == Refusal::Failed;
        self.metrics
            .message_ended(&job.class, if failed { MessageResult::Failed } else { MessageResult::Refused });
        tracing::debug!(id = job.id, dest = job.dest, ?refusal, "job refused");
        self.close_id(&job.id, Some(refusal.into()));
        if let Some(answer) = answer {
            // Fails only if the submitter has disconnected.
            let _ = answer.send(Decision::Refused(refusal));
        }
    }

    /// Whether submitting the job again is harmless according to the rules of its class.
    fn may_return(&self, job: &Job, progress: &JobProgress) -> bool {
        (progress.unconfirmed_claim.is_none() || progress.rules.may_be_resubmitted())
            && !job.time_left().is_zero()
    }

    /// Writes a new job to the journal; `None` if that is impossible.
    fn journal_job(&self, job: &Job, rules: &Class) -> Option<Acceptance> {
        match self.journal.borrow_mut().record_job(job, rules) {
            Ok(Some(receipt)) => Some(receipt),
            Ok(None) => {
                tracing::debug!(id = job.id, size = job.body.len(), "job refused: the journal is full");
                self.log_full_journal();
                None
            }
            Err(error) => {
                tracing::debug!(id = job.id, %error, "journal cannot be written; the job is refused");
                None
            }
        }
    }

    /// Logs that the journal is full, now and then: clients decide how often it happens.
    fn log_full_journal(&self) {
        let logged = self.full_journal_logged.get();
        if logged.is_none_or(|at| at.elapsed() > FULL_JOURNAL_LOG_INTERVAL) {
            self.full_journal_logged.set(Some(Instant::now()));
            tracing::warn!("journal is full; jobs are refused");
        }
    }

    /// Registers a job with the decision module, which decides on it in the next round.
    fn register(&self, job: &Job, progress: &JobProgress) -> Registration<'_, C> {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let unconfirmed = progress.unconfirmed_claim.as_ref().map(|claim| {
            let ago = claim.age(now);
            let zone = claim.zone.as_ref().and_then(|z| self.rules().names.zones.iter().position(|n| n == z));
            UnconfirmedAttempt {
                sent: self.module_time(Instant::now()).saturating_sub(nanos(ago)),
                // A node that is no longer listed gets a number that no node has; numbers are never reused.
                endpoint: state.nodes.by_name(&claim.node).map_or(EndpointId(u32::MAX), |node| node.id),
                zone: zone.map(ZoneId),
            }
        });
        let msg = loop {
            state.next_msg = state.next_msg.wrapping_add(1);
            let msg = MsgId(state.next_msg);
            if !state.order_senders.contains_key(&msg) {
                break msg;
            }
        };
        let (sender, orders) = mpsc::channel(ORDER_CAPACITY);
        state.order_senders.insert(msg, sender);
        state.inbox.push(Event::Request(Request {
            msg,
            dest: DestId(job.dest),
            class: ClassId(progress.class),
            tenant: None,
            key: None,
            time_left: nanos(job.deadline.duration_since(now).unwrap_or_default()),
            retry: job.retry,
            reconnect: job.reconnect,
            previous_attempts: progress.tries,
            unconfirmed,
            restored: progress.restarted,
            rules: Some(progress.rules.clone()),
        }));
        self.wake.notify_one();
        Registration { core: self, msg, orders, next_attempt: progress.tries, pending_order: None }
    }
}

/// How a claim ended.
enum ClaimEnd {
    Known(Outcome),
    /// It may have run or not, though it was reported to the decision module as delivered.
    ReportedAsDelivered,
}

/// Until when the nodes remember the idempotency key of an earlier claim; `None` if repeats are harmless.
fn key_memory_end(rules: &Class, claim: &RecordedClaim) -> Option<Instant> {
    let memory = Duration::from_nanos(rules.resend_window()?);
    Some(Instant::now() + memory.saturating_sub(claim.age(clock::now())))
}

/// A job's registration with the decision module, which ends when this is dropped.
struct Registration<'a, C> {
    core: &'a Core<C>,
    msg: MsgId,
    orders: mpsc::Receiver<Order>,
    /// Number of the next claim, as the decision module counts them.
    next_attempt: u32,
    /// An order that was received while a claim was in flight.
    pending_order: Option<Order>,
}

impl<C> Registration<'_, C> {
    async fn next(&mut self) -> Order {
        if let Some(order) = self.pending_order.take() {
            return order;
        }
        // The sender stays in the core's state as long as the registration exists.
        self.orders.recv().await.unwrap_or(Order::Fail)
    }

    /// Ends the registration early: no more orders come.
    fn end(&self) {
        self.core.state.borrow_mut().order_senders.remove(&self.msg);
    }

    /// Waits until the decision module cancels the claim.
    async fn cancelled(&mut self, number: u32) {
        loop {
            match self.orders.recv().await.unwrap_or(Order::Fail) {
                Order::Cancel { attempt } if attempt == number => return,
                // A job with a claim in flight is not put back on disk.
                Order::Queued | Order::Cancel { .. } | Order::PutBack(_) => {}
                // Handled once the claim has ended.
                order => self.pending_order = Some(order),
            }
        }
    }

    fn report(&self, event: Event) {
        self.core.state.borrow_mut().inbox.push(event);
        self.core.wake.notify_one();
    }

    fn report_closed(&self, attempt: u32, node: &Node, outcome: Outcome, took: Duration, report: Report) {
        self.report(Event::AttemptEnded {
            msg: self.msg,
            attempt,
            endpoint: node.id,
            outcome: outcome.for_module(),
            latency: nanos(took),
            message_done: outcome.ends_job(),
            report,
        });
    }

    /// Notifies the decision module that the job is abandoned, and reports ordered claims as not sent: without an outcome
    /// they would occupy their slots for ever.
    fn abandon(&mut self, order: Order) {
        let mut order = Some(order);
        while let Some(current) = order.or_else(|| self.pending_order.take()) {
            if let Order::Claim { node, .. } = current {
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
        self.report(Event::Abandoned { msg: self.msg });
    }
}

impl<C> Drop for Registration<'_, C> {
    fn drop(&mut self) {
        self.end();
    }
}
