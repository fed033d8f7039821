//! Executes the actions of the backlog's planner: requests are spilled to disk, fetched into memory, put back on disk,
//! and expire there.
//!
//! Moving a request between journal and backlog always has the same order: it is recorded in its new place, then
//! removed from its old one, and processed in the new place only after that. `docs/backlog.md` describes the state that
//! a crash leaves after each step.
use onyxglade_backlog::message::{ClassNumber, Lane, NewMessage, Position, StoredMessage};
use onyxglade_backlog::planner::{Action, Event, LaneCount, Outcome as MemoryOutcome, RefusalReason};
use onyxglade_backlog::store::StoreError;
use slatethread::MsgId;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use super::decision::{Decision, Refusal};
use super::hooks::HookAdmission;
use super::job_task::JobProgress;
use super::rounds::{Order, send_order};
use super::{Core, Transport};
use crate::backlog::{Backlog, store_fault, unix_millis};
use crate::clock;
use crate::job::{Answer, Job, Notice, NoticeEnd};
use crate::journal::{Acceptance, FinalNotice, Key, QueuedRequest};
use crate::metrics::{BacklogRefusal, MessageResult};

/// Delay between two attempts of an operation that is retried until it succeeds.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// When a submitter may retry a request that the store could not take.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Interval at which the store's disk usage is read.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);

/// A request that leaves memory, to be put back on disk.
pub(super) struct PutBackRequest {
    pub key: Key,
    pub job: Job,
}

/// Fetched messages that the journal has recorded.
#[derive(Default)]
struct Journaled {
    /// Their places on disk, to be freed.
    places: Vec<Position>,
    /// The requests now in the journal.
    requests: Vec<(Key, QueuedRequest)>,
    /// Notices for messages that cannot be decoded.
    unreadable: Vec<Notice>,
}

/// A request's share of the memory that the planner manages. Dropping it notifies the planner that the request has left.
pub(super) struct MemorySlot<C: Transport> {
    core: Rc<Core<C>>,
    backlog: Rc<Backlog>,
    destination: u64,
    /// The request's number at the decision module, if it may be put back on disk.
    message: Option<MsgId>,
    /// How the request leaves memory; `None` if the planner must not be notified.
    outcome: Cell<Option<MemoryOutcome>>,
}

impl<C: Transport> MemorySlot<C> {
    /// Sets how the request leaves memory.
    pub fn set_outcome(&self, outcome: MemoryOutcome) {
        self.outcome.set(Some(outcome));
    }

    /// Does not notify the planner when this is dropped: the request stays in memory, or is being put back on disk.
    pub fn disarm(&self) {
        self.outcome.set(None);
    }
}

impl<C: Transport> Drop for MemorySlot<C> {
    fn drop(&mut self) {
        if let Some(message) = self.message {
            self.backlog.remove_fetched(self.destination, message);
        }
        if let Some(outcome) = self.outcome.get() {
            let destination = self.destination;
            self.core.handle_backlog_event(&self.backlog, Event::LeftMemory { destination, outcome });
        }
    }
}

impl<C: Transport> Core<C> {
    /// Enables the backlog: from now on, requests that cannot be sent soon wait on disk. `actions` are the planner's
    /// first actions, returned when the backlog was opened.
    ///
    /// # Errors
    /// When the journal cannot be written in the format that the backlog requires.
    pub fn attach_backlog(
        self: &Rc<Self>,
        backlog: Backlog,
        actions: Vec<Action>,
    ) -> Result<(), std::io::Error> {
        self.journal.borrow_mut().enable_backlog()?;
        let backlog = Rc::new(backlog);
        *self.backlog.borrow_mut() = Some(backlog.clone());
        self.execute_backlog_actions(&backlog, actions);
        actix_rt::spawn(self.clone().tick_backlog(backlog.clone()));
        actix_rt::spawn(self.clone().watch_usage(backlog));
        Ok(())
    }

    /// The backlog, if there is one and this process owns it.
    pub fn backlog(&self) -> Option<Rc<Backlog>> {
        self.backlog.borrow().clone()
    }

    /// Closes the backlog for another process, once the operations in its queue are done.
    pub(super) fn hand_over_backlog(&self) {
        self.backlog.take().into_iter().for_each(|backlog| backlog.close());
    }

    /// Allocates a memory slot for a request; `None` if there is no backlog.
    pub(super) fn take_slot(self: &Rc<Self>, job: &Job) -> Option<MemorySlot<C>> {
        let backlog = self.backlog()?;
        let outcome = Cell::new(Some(MemoryOutcome::Ended));
        Some(MemorySlot { core: self.clone(), backlog, destination: job.dest, message: None, outcome })
    }

    /// Allows the planner to put a request that came from disk back there.
    pub(super) fn allow_put_back(slot: &mut Option<MemorySlot<C>>, message: MsgId) {
        if let Some(slot) = slot {
            slot.message = Some(message);
            slot.backlog.add_fetched(slot.destination, message);
        }
    }

    /// Passes an event to the planner, and executes the actions that it returns.
    pub(super) fn handle_backlog_event(self: &Rc<Self>, backlog: &Rc<Backlog>, event: Event) {
        let actions = backlog.handle(event);
        self.execute_backlog_actions(backlog, actions);
    }

    /// Counts a call with a request of this destination that has started or ended.
    pub(super) fn count_call(self: &Rc<Self>, destination: u64, started: bool) {
        if let Some(backlog) = self.backlog() {
            let actions =
                if started { backlog.call_began(destination) } else { backlog.call_ended(destination) };
            self.execute_backlog_actions(&backlog, actions);
        }
    }

    /// Notifies the planner that an attempt failed, or that its destination requested a wait.
    pub(super) fn attempt_failed(self: &Rc<Self>, destination: u64, wait: Option<Duration>) {
        let Some(backlog) = self.backlog() else { return };
        let event = match wait {
            Some(wait) => {
                Event::BackoffRequested { destination, until: backlog.planner_time(Instant::now() + wait) }
            }
            None => Event::AttemptFailed { destination },
        };
        self.handle_backlog_event(&backlog, event);
    }

    /// Executes the planner's actions, each in a task of its own.
    fn execute_backlog_actions(self: &Rc<Self>, backlog: &Rc<Backlog>, actions: Vec<Action>) {
        for action in actions {
            let (core, backlog) = (self.clone(), backlog.clone());
            match action {
                Action::Fetch { lane, limit } => drop(actix_rt::spawn(core.fetch(backlog, lane, limit))),
                Action::Evict { destination } => drop(actix_rt::spawn(core.evict(backlog, destination))),
                Action::ReadExpired { limit } => drop(actix_rt::spawn(core.end_expired(backlog, limit))),
                Action::ProbeStore => drop(actix_rt::spawn(core.probe_store(backlog))),
                Action::HealthChanged { health } => {
                    tracing::warn!(
                        ?health,
                        waiting = backlog.on_disk(),
                        "the health of the backlog's store has changed"
                    );
                }
                Action::AdmitToMemory { .. } | Action::Spill { .. } | Action::Refuse { .. } => {
                    tracing::error!(?action, "the planner decided on an unknown request; ignored");
                }
            }
        }
    }

    /// Sends the planner's ticks until another process has taken over.
    async fn tick_backlog(self: Rc<Self>, backlog: Rc<Backlog>) {
        loop {
            tokio::select! {
                () = backlog.tick() => self.handle_backlog_event(&backlog, Event::Tick),
                () = self.handed_over.cancelled() => return,
            }
        }
    }

    /// Reports the store's disk usage to the planner until another process has taken over.
    async fn watch_usage(self: Rc<Self>, backlog: Rc<Backlog>) {
        loop {
            tokio::select! {
                () = sleep(USAGE_INTERVAL) => {}
                () = self.handed_over.cancelled() => return,
            }
            if let Ok(event) = backlog.usage().await {
                self.handle_backlog_event(&backlog, event);
            }
        }
    }

    /// Decides whether a request that has just arrived waits in memory or on disk or is refused, and acts on that.
    pub(super) async fn place_arrival(
        self: Rc<Self>,
        backlog: Rc<Backlog>,
        job: Job,
        answer: oneshot::Sender<Decision>,
    ) {
        let Some(lane) = backlog.lane(job.dest, &job.class) else {
            return self.run_job(job, JobProgress::default(), Some(answer)).await;
        };
        if backlog.is_in_doubt(&job.id) {
            return self.answer_and_release(&job.id, answer, refused_decision(STORE_RETRY_AFTER));
        }
        if backlog.has_queued(job.dest) {
            // A resubmission of a request that waits on disk is accepted without a second copy.
            match backlog.find(&job.id).await {
                Ok(None) => {}
                Ok(Some(place)) => {
                    let accepted = Decision::Accepted(Acceptance::in_backlog(&place));
                    return self.answer_and_release(&job.id, answer, accepted);
                }
                Err(_) => {
                    return self.answer_and_release(&job.id, answer, refused_decision(STORE_RETRY_AFTER));
                }
            }
        }
        let (arrival, actions) = backlog.arrived(lane, job.time_left());
        let is_own = |action: &Action| {
            let (Action::AdmitToMemory { arrival: number }
            | Action::Spill { arrival: number, .. }
            | Action::Refuse { arrival: number, .. }) = action
            else {
                return false;
            };
            *number == arrival
        };
        let (own, others) = actions.into_iter().partition(is_own);
        self.execute_backlog_actions(&backlog, others);
        match own.first() {
            Some(Action::Refuse { retry_after, reason, .. }) => {
                tracing::debug!(id = job.id, dest = job.dest, ?reason, "the backlog refuses a request");
                backlog.metrics.refused(refusal_label(*reason));
                self.answer_and_release(&job.id, answer, refused_decision(*retry_after));
            }
            Some(Action::Spill { .. }) => self.spill(backlog, lane, job, answer).await,
            _ => self.run_job(job, JobProgress::default(), Some(answer)).await,
        }
    }

    /// Answers a request that does not wait in memory, and releases its id.
    fn answer_and_release(&self, id: &str, answer: oneshot::Sender<Decision>, decision: Decision) {
        if let Decision::Refused(Refusal::Refused { .. }) = decision {
            self.count(|tally| tally.refused += 1);
        }
        self.release_id(id, Some(decision.answer()));
        // Fails only if the submitter has disconnected.
        let _ = answer.send(decision);
    }

    /// Releases the id of a request that is being decided on; `answer`, if any, is repeated to recent resubmissions. If
    /// the request was fetched into memory meanwhile, its id stays open until it ends there.
    fn release_id(&self, id: &str, answer: Option<Answer>) {
        let is_reserved = self.state.borrow().ids.get(id) == Some(&false);
        if is_reserved {
            self.close_id(id, answer);
        }
    }

    /// Accepts a request by writing it to disk.
    async fn spill(
        self: Rc<Self>,
        backlog: Rc<Backlog>,
        lane: Lane,
        mut job: Job,
        answer: oneshot::Sender<Decision>,
    ) {
        match self.admit_by_hook(&mut job).await {
            HookAdmission::Admitted => {}
            HookAdmission::Refused { after } => {
                self.handle_backlog_event(&backlog, Event::SpillDropped { lane, count: 1 });
                return self.answer_and_release(
                    &job.id,
                    answer,
                    Decision::Refused(Refusal::Refused { after }),
                );
            }
            HookAdmission::HandedOver => return self.forward_to_successor(job, Some(answer)).await,
        }
        let rules = self.rules();
        let Some(class) = rules.class_index(&job.class) else {
            self.handle_backlog_event(&backlog, Event::SpillDropped { lane, count: 1 });
            return self.answer_and_release(&job.id, answer, Decision::Refused(Refusal::Failed));
        };
        let request = QueuedRequest::new(job, &rules.settings.classes[class]);
        let id = request.job.id.clone();
        let message = NewMessage {
            lane,
            arrived: unix_millis(clock::now()),
            deadline: unix_millis(request.job.deadline),
            id: request.job.id.as_str().into(),
            payload: request.encode(),
        };
        match backlog.append(message).await {
            Ok(place) => {
                self.handle_backlog_event(&backlog, Event::Stored { lane, count: 1 });
                self.count(|tally| tally.accepted += 1);
                backlog.metrics.stored.inc();
                match answer.send(Decision::Accepted(Acceptance::in_backlog(&place))) {
                    Ok(()) => self.release_id(&id, Some(Answer::Accepted)),
                    // The submitter has disconnected without an answer, and will submit the message again.
                    Err(_) => self.withdraw(&backlog, &id, place).await,
                }
            }
            Err(error) => {
                let fault = store_fault(&error);
                tracing::debug!(%error, "the backlog cannot store a request; it is refused");
                self.handle_backlog_event(&backlog, Event::StoreFailed { lane, count: 1, fault });
                if matches!(error, StoreError::Io(_) | StoreError::Closed) {
                    backlog.set_in_doubt(&id, true);
                    actix_rt::spawn(self.clone().resolve_doubt(backlog, id.clone()));
                }
                self.answer_and_release(&id, answer, refused_decision(STORE_RETRY_AFTER));
            }
        }
    }

    /// Removes a message that was refused because of a store fault but may have been stored even so. Retries until the
    /// store can tell.
    async fn resolve_doubt(self: Rc<Self>, backlog: Rc<Backlog>, id: String) {
        while !self.is_handed_over() {
            let removed = match backlog.find(&id).await {
                Ok(Some(place)) if backlog.reserve(place) => {
                    let removed = backlog.remove(vec![place]).await;
                    backlog.release([place]);
                    removed
                }
                // It was not stored, or it is being fetched into memory and ends there.
                Ok(_) => Ok(()),
                Err(error) => Err(error),
            };
            if removed.is_ok() {
                return backlog.set_in_doubt(&id, false);
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Removes a stored message whose submitter has disconnected, unless it is being fetched into memory: then its id
    /// stays open until it ends there.
    async fn withdraw(self: &Rc<Self>, backlog: &Rc<Backlog>, id: &str, place: Position) {
        if !backlog.reserve(place) {
            return;
        }
        let removed = backlog.remove(vec![place]).await;
        backlog.release([place]);
        if removed.is_ok() {
            self.handle_backlog_event(backlog, Event::RemovedFromDisk { lane: place.lane, count: 1 });
        }
        self.release_id(id, None);
    }

    /// Fetches the first messages of a lane into memory.
    async fn fetch(self: Rc<Self>, backlog: Rc<Backlog>, lane: Lane, most: u32) {
        let (claimed, exhausted) = match backlog.reserve_first(lane, most).await {
            Ok(claimed) => claimed,
            Err(error) => return self.fetch_failed(&backlog, lane, &error),
        };
        let claimed_places: Vec<_> = claimed.iter().map(|message| message.position).collect();
        let Journaled { places, requests, unreadable } = self.journal_fetched(claimed);
        if places.is_empty() && !claimed_places.is_empty() {
            backlog.release(claimed_places);
            return self.fetch_failed(&backlog, lane, &"the journal is full");
        }
        // Notices are delivered before the messages are removed: otherwise a crash could lose them.
        let unreadable_count = unreadable.len() as u64;
        let notices = unreadable.into_iter().map(|notice| self.clone().notify_with_retry(notice));
        futures_util::future::join_all(notices).await;
        if !self.remove_with_retry(&backlog, &places).await {
            return;
        }
        let all_fetched = exhausted && places.len() == claimed_places.len();
        backlog.release(claimed_places);
        if unreadable_count > 0 {
            self.handle_backlog_event(&backlog, Event::RemovedFromDisk { lane, count: unreadable_count });
        }
        let count = requests.len() as u32;
        backlog.metrics.fetched.inc_by(u64::from(count));
        self.handle_backlog_event(&backlog, Event::Fetched { lane, count, exhausted: all_fetched });
        for (key, request) in requests {
            self.continue_job(JobProgress::from_backlog(key, request));
        }
    }

    fn fetch_failed(self: &Rc<Self>, backlog: &Rc<Backlog>, lane: Lane, error: &dyn Display) {
        tracing::warn!(
            %error,
            dest = lane.destination,
            "cannot fetch messages from the backlog; the planner retries later"
        );
        self.handle_backlog_event(backlog, Event::FetchFailed { lane });
    }

    /// Records fetched messages in the journal, as many as it has space for.
    fn journal_fetched(&self, fetched: Vec<StoredMessage>) -> Journaled {
        let mut journaled = Journaled::default();
        let mut journal = self.journal.borrow_mut();
        for message in fetched {
            let request = match QueuedRequest::decode(&message.payload) {
                Ok(request) => request,
                Err(error) => {
                    let id = message.id.into_string();
                    tracing::error!(id, %error, "a message of the backlog cannot be decoded; it fails");
                    journaled.places.push(message.position);
                    journaled.unreadable.push(Notice { id, end: NoticeEnd::Failed { status: None } });
                    continue;
                }
            };
            match journal.record_fetched(&request, message.position) {
                Ok(Some(key)) => {
                    journaled.places.push(message.position);
                    journaled.requests.push((key, request));
                }
                Ok(None) => break,
                Err(error) => {
                    tracing::error!(
                        %error,
                        "the journal cannot record a request fetched from the backlog; it stays there"
                    );
                    break;
                }
            }
        }
        journaled
    }

    /// Removes messages, retrying until that succeeds: they are in the journal now and must not be fetched again. False
    /// if another process has taken over, which removes them by their places in the journal.
    async fn remove_with_retry(&self, backlog: &Backlog, places: &[Position]) -> bool {
        let failure = "cannot remove messages from the backlog";
        self.retry_store_operation(failure, async || backlog.remove(places.to_vec()).await).await
    }

    /// Puts a destination's requests that came from disk back there, unless they are in flight.
    async fn evict(self: Rc<Self>, backlog: Rc<Backlog>, destination: u64) {
        let (sender, mut receiver) = mpsc::unbounded_channel();
        for message in backlog.fetched(destination) {
            send_order(&self.state.borrow(), message, Order::PutBack(sender.clone()));
        }
        drop(sender);
        let mut messages = Vec::new();
        let mut keys = Vec::new();
        while let Some(PutBackRequest { key, job }) = receiver.recv().await {
            let Some((request, place)) = self.journal.borrow().put_back_copy(key, &job) else { continue };
            messages.push(to_stored_message(&request, place));
            keys.push((key, job.id));
        }
        if !messages.is_empty() && !self.put_back_with_retry(&backlog, &messages).await {
            return;
        }
        for (key, id) in keys {
            if let Err(error) = self.journal.borrow_mut().remove_job(key) {
                tracing::error!(
                    id,
                    %error,
                    "the journal cannot record yet that a request was put back in the backlog"
                );
            }
            self.close_id(&id, None);
        }
        let mut returned = BTreeMap::<ClassNumber, u32>::new();
        messages.iter().for_each(|message| *returned.entry(message.position.lane.class).or_default() += 1);
        let returned = returned.into_iter().collect();
        backlog.metrics.put_back.inc_by(messages.len() as u64);
        self.handle_backlog_event(&backlog, Event::Evicted { destination, returned });
    }

    /// Puts messages back on disk, retrying until that succeeds. False if another process has taken over, which has the
    /// requests in the journal.
    async fn put_back_with_retry(&self, backlog: &Backlog, messages: &[StoredMessage]) -> bool {
        let failure = "cannot put messages back in the backlog";
        self.retry_store_operation(failure, async || backlog.put_back(messages.to_vec()).await).await
    }

    /// Retries an operation of the store until it succeeds. False if another process has taken over by then.
    async fn retry_store_operation(
        &self,
        failure: &str,
        operation: impl AsyncFn() -> Result<(), StoreError>,
    ) -> bool {
        loop {
            match operation().await {
                Ok(()) => return !self.is_handed_over(),
                Err(_) if self.is_handed_over() => return false,
                Err(error) => {
                    tracing::warn!(%error, "{failure}; retrying");
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Delivers the notices of expired messages, and removes the messages.
    async fn end_expired(self: Rc<Self>, backlog: Rc<Backlog>, most: u32) {
        let (expired, more) = match backlog.reserve_expired(most).await {
            Ok(claimed) => claimed,
            Err(error) => {
                tracing::warn!(
                    %error,
                    "cannot read expired messages from the backlog; the planner retries later"
                );
                return self.handle_backlog_event(&backlog, Event::ExpiredReadFailed);
            }
        };
        let notices: Vec<_> = expired.iter().map(|message| self.expiry_notice(message)).collect();
        let deliveries = notices.into_iter().map(|notice| self.clone().notify_with_retry(notice));
        futures_util::future::join_all(deliveries).await;
        let places: Vec<_> = expired.iter().map(|message| message.position).collect();
        if !places.is_empty() && !self.remove_with_retry(&backlog, &places).await {
            return;
        }
        backlog.metrics.expired.inc_by(places.len() as u64);
        backlog.release(places);
        let mut ended = BTreeMap::<Lane, u64>::new();
        expired.iter().for_each(|message| *ended.entry(message.position.lane).or_default() += 1);
        let ended = ended.into_iter().map(|(lane, messages)| LaneCount { lane, messages }).collect();
        let earliest_deadline_in = backlog.earliest_deadline_in().await.ok().flatten();
        self.handle_backlog_event(
            &backlog,
            Event::ExpiredRead { expired: ended, more, earliest_deadline_in },
        );
    }

    /// The notice of an expired message: a requeue notice if submitting it again is harmless, otherwise a failure.
    fn expiry_notice(&self, message: &StoredMessage) -> Notice {
        let request = QueuedRequest::decode(&message.payload);
        let returns = request
            .as_ref()
            .is_ok_and(|request| !request.may_have_run() || request.rules().may_be_resubmitted());
        if let Ok(request) = &request {
            self.metrics.message_ended(
                &request.job.class,
                if returns { MessageResult::Refused } else { MessageResult::Failed },
            );
        }
        self.count(|tally| if returns { tally.returned += 1 } else { tally.failed += 1 });
        let id = message.id.to_string();
        let end = match returns {
            true => NoticeEnd::Returned { after: None },
            false => NoticeEnd::Failed { status: None },
        };
        Notice { id, end }
    }

    /// Delivers a notice, retrying until that succeeds.
    async fn notify_with_retry(self: Rc<Self>, notice: Notice) {
        let end = FinalNotice::from_backlog(notice);
        while self.transport.notify(&end).await.is_err() && !self.is_handed_over() {
            sleep(RETRY_DELAY).await;
        }
    }

    /// Tests whether a failing store works again.
    async fn probe_store(self: Rc<Self>, backlog: Rc<Backlog>) {
        let event = match backlog.probe().await {
            Ok(()) => Event::StoreRecovered,
            Err(error) => {
                tracing::debug!(%error, "the backlog's store still fails");
                return;
            }
        };
        self.handle_backlog_event(&backlog, event);
    }
}

fn refusal_label(reason: RefusalReason) -> BacklogRefusal {
    match reason {
        RefusalReason::TooLate => BacklogRefusal::TooLate,
        RefusalReason::Store(_) => BacklogRefusal::Store,
        RefusalReason::Busy => BacklogRefusal::Busy,
    }
}

fn refused_decision(after: Duration) -> Decision {
    Decision::Refused(Refusal::Refused { after: Some(after) })
}

/// Converts a request to the stored message that puts it back.
fn to_stored_message(request: &QueuedRequest, place: Position) -> StoredMessage {
    StoredMessage {
        position: place,
        arrived: unix_millis(clock::now()),
        deadline: unix_millis(request.job.deadline),
        id: request.job.id.as_str().into(),
        payload: request.encode(),
    }
}

#[cfg(test)]
mod tests;
