//! What the backlog's planner asks for, carried out: requests go to disk, come back, are put back, and end there.
//!
//! The order of the two stores is the same everywhere: a request is recorded at its new place before it is removed from
//! its old one, and begins there only after that. `docs/backlog.md` lists each step with what a crash leaves behind.
use onyxglade_backlog::message::{ClassNumber, Lane, NewMessage, Position, StoredMessage};
use onyxglade_backlog::planner::{Action, Event, LaneCount, Outcome as Left, RefusalReason};
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
use super::life::Course;
use super::rounds::{Order, order};
use super::{Carrier, Core};
use crate::backlog::{Backlog, fault_of, unix_millis};
use crate::clock;
use crate::figures::{BacklogRefusal, Ended};
use crate::job::{Answer, Job, Notice, NoticeEnd};
use crate::journal::{Key, QueuedRequest, SettledEnd, TakenOn};

/// Pause between two tries of what has to be done in the end.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// When a client is told to come back whose request the store did not take.
const STORE_RETRY: Duration = Duration::from_secs(1);
/// How often the store is asked how full it is.
const USAGE_PAUSE: Duration = Duration::from_secs(1);

/// A request that gives up its place in memory.
pub(super) struct Parked {
    pub key: Key,
    pub job: Job,
}

/// What the journal took over of messages that were fetched.
#[derive(Default)]
struct Taken {
    /// Their places, which the backlog is to free.
    places: Vec<Position>,
    /// Requests that are now the journal's.
    requests: Vec<(Key, QueuedRequest)>,
    /// Ends of those that are no request.
    unreadable: Vec<Notice>,
}

/// A place in memory, of which the planner has to know. It is given back when this is dropped.
pub(super) struct MemorySlot<C: Carrier> {
    core: Rc<Core<C>>,
    backlog: Rc<Backlog>,
    destination: u64,
    /// Its number at the decision module, where it may be asked to go back to disk.
    message: Option<MsgId>,
    left: Cell<Option<Left>>,
}

impl<C: Carrier> MemorySlot<C> {
    /// How the request left, unless by its end.
    pub fn left_as(&self, left: Left) {
        self.left.set(Some(left));
    }

    /// The place goes on to be taken, or who puts the request back on disk tells the planner.
    pub fn pass_on(&self) {
        self.left.set(None);
    }
}

impl<C: Carrier> Drop for MemorySlot<C> {
    fn drop(&mut self) {
        if let Some(message) = self.message {
            self.backlog.left(self.destination, message);
        }
        if let Some(outcome) = self.left.get() {
            let destination = self.destination;
            self.core.tell_backlog(&self.backlog, Event::LeftMemory { destination, outcome });
        }
    }
}

impl<C: Carrier> Core<C> {
    /// From now on requests that cannot go soon wait on disk. `actions` are those of opening it.
    ///
    /// # Errors
    /// When the journal cannot be written in the format that this takes.
    pub fn attach_backlog(
        self: &Rc<Self>,
        backlog: Backlog,
        actions: Vec<Action>,
    ) -> Result<(), std::io::Error> {
        self.journal.borrow_mut().enable_backlog()?;
        let backlog = Rc::new(backlog);
        *self.backlog.borrow_mut() = Some(backlog.clone());
        self.carry_out(&backlog, actions);
        actix_rt::spawn(self.clone().tick_backlog(backlog.clone()));
        actix_rt::spawn(self.clone().watch_usage(backlog));
        Ok(())
    }

    /// The backlog, where there is one and it is this process's.
    pub fn backlog(&self) -> Option<Rc<Backlog>> {
        self.backlog.borrow().clone()
    }

    /// Another process has the backlog from now on, once its queue is done.
    pub(super) fn hand_over_backlog(&self) {
        self.backlog.take().into_iter().for_each(|backlog| backlog.close());
    }

    /// A request has its place in memory; none is counted where there is no backlog.
    pub(super) fn take_slot(self: &Rc<Self>, job: &Job) -> Option<MemorySlot<C>> {
        let backlog = self.backlog()?;
        let left = Cell::new(Some(Left::Ended));
        Some(MemorySlot { core: self.clone(), backlog, destination: job.dest, message: None, left })
    }

    /// It came from disk and may be asked to go back there.
    pub(super) fn may_go_back(slot: &mut Option<MemorySlot<C>>, message: MsgId) {
        if let Some(slot) = slot {
            slot.message = Some(message);
            slot.backlog.entered(slot.destination, message);
        }
    }

    /// Tells the planner of something, and does what it asks for.
    pub(super) fn tell_backlog(self: &Rc<Self>, backlog: &Rc<Backlog>, event: Event) {
        let actions = backlog.handle(event);
        self.carry_out(backlog, actions);
    }

    /// A call with a request of this destination goes out, or has come home.
    pub(super) fn count_call(self: &Rc<Self>, destination: u64, began: bool) {
        if let Some(backlog) = self.backlog() {
            let actions =
                if began { backlog.call_began(destination) } else { backlog.call_ended(destination) };
            self.carry_out(&backlog, actions);
        }
    }

    /// An attempt failed, or its destination told when to come back.
    pub(super) fn attempt_failed(self: &Rc<Self>, destination: u64, wait: Option<Duration>) {
        let Some(backlog) = self.backlog() else { return };
        let event = match wait {
            Some(wait) => Event::BackoffRequested { destination, until: backlog.at(Instant::now() + wait) },
            None => Event::AttemptFailed { destination },
        };
        self.tell_backlog(&backlog, event);
    }

    fn carry_out(self: &Rc<Self>, backlog: &Rc<Backlog>, actions: Vec<Action>) {
        for action in actions {
            let (core, backlog) = (self.clone(), backlog.clone());
            match action {
                Action::Fetch { lane, limit } => drop(actix_rt::spawn(core.fetch(backlog, lane, limit))),
                Action::Evict { destination } => drop(actix_rt::spawn(core.park(backlog, destination))),
                Action::ReadExpired { limit } => drop(actix_rt::spawn(core.end_expired(backlog, limit))),
                Action::ProbeStore => drop(actix_rt::spawn(core.probe_store(backlog))),
                Action::HealthChanged { health } => {
                    tracing::warn!(?health, waiting = backlog.on_disk(), "the backlog's store has changed");
                }
                Action::AdmitToMemory { .. } | Action::Spill { .. } | Action::Refuse { .. } => {
                    tracing::error!(?action, "the planner decided on a request that nobody asked about");
                }
            }
        }
    }

    /// Plays the planner's ticks until another process has the backlog.
    async fn tick_backlog(self: Rc<Self>, backlog: Rc<Backlog>) {
        loop {
            tokio::select! {
                () = backlog.tick() => self.tell_backlog(&backlog, Event::Tick),
                () = self.handed.cancelled() => return,
            }
        }
    }

    async fn watch_usage(self: Rc<Self>, backlog: Rc<Backlog>) {
        loop {
            tokio::select! {
                () = sleep(USAGE_PAUSE) => {}
                () = self.handed.cancelled() => return,
            }
            if let Ok(event) = backlog.usage().await {
                self.tell_backlog(&backlog, event);
            }
        }
    }

    /// Decides where a request that has just arrived waits, and takes it there or refuses it.
    pub(super) async fn place(
        self: Rc<Self>,
        backlog: Rc<Backlog>,
        job: Job,
        answer: oneshot::Sender<Decision>,
    ) {
        let Some(lane) = backlog.lane(job.dest, &job.class) else {
            return self.life(job, Course::default(), Some(answer)).await;
        };
        if backlog.is_in_doubt(&job.id) {
            return self.answer_placed(&job.id, answer, refused(STORE_RETRY));
        }
        if backlog.has_queued(job.dest) {
            // The same request once more, while it waits.
            match backlog.find(&job.id).await {
                Ok(None) => {}
                Ok(Some(place)) => {
                    let taken_on = Decision::Taken(TakenOn::in_backlog(&place));
                    return self.answer_placed(&job.id, answer, taken_on);
                }
                Err(_) => return self.answer_placed(&job.id, answer, refused(STORE_RETRY)),
            }
        }
        let (arrival, actions) = backlog.arrived(lane, job.left());
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
        self.carry_out(&backlog, others);
        match own.first() {
            Some(Action::Refuse { retry_after, reason, .. }) => {
                tracing::debug!(id = job.id, dest = job.dest, ?reason, "the backlog takes no more");
                backlog.figures.refused(refusal(*reason));
                self.answer_placed(&job.id, answer, refused(*retry_after));
            }
            Some(Action::Spill { .. }) => self.spill(backlog, lane, job, answer).await,
            _ => self.life(job, Course::default(), Some(answer)).await,
        }
    }

    /// Answers a request that does not go into memory.
    fn answer_placed(&self, id: &str, answer: oneshot::Sender<Decision>, decision: Decision) {
        if let Decision::Refused(Refusal::Refused { .. }) = decision {
            self.count(|tally| tally.turned_away += 1);
        }
        self.release_id(id, Some(decision.told()));
        // A submitter that is gone needs none.
        let _ = answer.send(decision);
    }

    /// The id of a request is no longer reserved; `told` is an answer that goes on to hold. A request that was fetched into
    /// memory meanwhile has its id open until its end there.
    fn release_id(&self, id: &str, told: Option<Answer>) {
        let is_reserved = self.state.borrow().ids.get(id) == Some(&false);
        if is_reserved {
            self.decided(id, told);
        }
    }

    /// Takes a request on, to wait on disk.
    async fn spill(
        self: Rc<Self>,
        backlog: Rc<Backlog>,
        lane: Lane,
        mut job: Job,
        answer: oneshot::Sender<Decision>,
    ) {
        if let Some(hooks) = &self.hooks {
            let ruling = hooks.admit(&job, job.left());
            if ruling.refuse {
                self.tell_backlog(&backlog, Event::SpillDropped { lane, count: 1 });
                let refusal = Refusal::Refused { after: ruling.after };
                return self.answer_placed(&job.id, answer, Decision::Refused(refusal));
            }
            job.deadline = ruling.left.map_or(job.deadline, |left| job.deadline.min(clock::now() + left));
            job.label = ruling.label;
        }
        let rules = self.rules();
        let Some(class) = rules.class(&job.class) else {
            self.tell_backlog(&backlog, Event::SpillDropped { lane, count: 1 });
            return self.answer_placed(&job.id, answer, Decision::Refused(Refusal::Failed));
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
                self.tell_backlog(&backlog, Event::Stored { lane, count: 1 });
                self.count(|tally| tally.taken += 1);
                backlog.figures.stored.inc();
                match answer.send(Decision::Taken(TakenOn::in_backlog(&place))) {
                    Ok(()) => self.release_id(&id, Some(Answer::Taken)),
                    // A client that is gone was not told: it hands the message in again.
                    Err(_) => self.withdraw(&backlog, &id, place).await,
                }
            }
            Err(error) => {
                let fault = fault_of(&error);
                tracing::debug!(%error, "the backlog does not take a request");
                self.tell_backlog(&backlog, Event::StoreFailed { lane, count: 1, fault });
                if matches!(error, StoreError::Io(_) | StoreError::Closed) {
                    backlog.set_in_doubt(&id, true);
                    actix_rt::spawn(self.clone().settle_doubt(backlog, id.clone()));
                }
                self.answer_placed(&id, answer, refused(STORE_RETRY));
            }
        }
    }

    /// Removes a message that was refused, should the store have it all the same, however long it takes.
    async fn settle_doubt(self: Rc<Self>, backlog: Rc<Backlog>, id: String) {
        while !self.is_handed() {
            let removed = match backlog.find(&id).await {
                Ok(Some(place)) if backlog.claim_place(place) => {
                    let removed = backlog.remove(vec![place]).await;
                    backlog.release([place]);
                    removed
                }
                // It is not there, or on its way into memory, where it ends.
                Ok(_) => Ok(()),
                Err(error) => Err(error),
            };
            if removed.is_ok() {
                return backlog.set_in_doubt(&id, false);
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Removes a message that nobody wants any more, unless it is on its way into memory: then its id is open until it
    /// has ended there.
    async fn withdraw(self: &Rc<Self>, backlog: &Rc<Backlog>, id: &str, place: Position) {
        if !backlog.claim_place(place) {
            return;
        }
        let removed = backlog.remove(vec![place]).await;
        backlog.release([place]);
        if removed.is_ok() {
            self.tell_backlog(backlog, Event::RemovedFromDisk { lane: place.lane, count: 1 });
        }
        self.release_id(id, None);
    }

    /// Brings the first messages of a lane into memory.
    async fn fetch(self: Rc<Self>, backlog: Rc<Backlog>, lane: Lane, most: u32) {
        let (claimed, exhausted) = match backlog.claim_first(lane, most).await {
            Ok(claimed) => claimed,
            Err(error) => return self.fetch_failed(&backlog, lane, &error),
        };
        let claimed_places: Vec<_> = claimed.iter().map(|message| message.position).collect();
        let Taken { places, requests, unreadable } = self.journal_fetched(claimed);
        if places.is_empty() && !claimed_places.is_empty() {
            backlog.release(claimed_places);
            return self.fetch_failed(&backlog, lane, &"the journal has no room");
        }
        // What is removed without having been told ends for nobody.
        let unread = unreadable.len() as u64;
        let told = unreadable.into_iter().map(|notice| self.clone().tell_in_the_end(notice));
        futures_util::future::join_all(told).await;
        if !self.remove_in_the_end(&backlog, &places).await {
            return;
        }
        let whole = exhausted && places.len() == claimed_places.len();
        backlog.release(claimed_places);
        if unread > 0 {
            self.tell_backlog(&backlog, Event::RemovedFromDisk { lane, count: unread });
        }
        let count = requests.len() as u32;
        backlog.figures.fetched.inc_by(u64::from(count));
        self.tell_backlog(&backlog, Event::Fetched { lane, count, exhausted: whole });
        for (key, request) in requests {
            self.go_on(Course::fetched(key, request));
        }
    }

    fn fetch_failed(self: &Rc<Self>, backlog: &Rc<Backlog>, lane: Lane, error: &dyn Display) {
        tracing::warn!(%error, dest = lane.destination, "messages cannot be fetched from the backlog");
        self.tell_backlog(backlog, Event::FetchFailed { lane });
    }

    /// Records messages in the journal, as many as it has room for.
    fn journal_fetched(&self, fetched: Vec<StoredMessage>) -> Taken {
        let mut taken = Taken::default();
        let mut journal = self.journal.borrow_mut();
        for message in fetched {
            let request = match QueuedRequest::decode(&message.payload) {
                Ok(request) => request,
                Err(error) => {
                    let id = message.id.into_string();
                    tracing::error!(id, %error, "a message of the backlog is no request; it is given up");
                    taken.places.push(message.position);
                    taken.unreadable.push(Notice { id, end: NoticeEnd::Failed { status: None } });
                    continue;
                }
            };
            match journal.fetched(&request, message.position) {
                Ok(Some(key)) => {
                    taken.places.push(message.position);
                    taken.requests.push((key, request));
                }
                Ok(None) => break,
                Err(error) => {
                    tracing::error!(%error, "the journal cannot take on what the backlog has");
                    break;
                }
            }
        }
        taken
    }

    /// Removes messages, however long it takes: they are the journal's now and must not be fetched again. False if the
    /// backlog is another process's, which does it by the places in the journal.
    async fn remove_in_the_end(&self, backlog: &Backlog, places: &[Position]) -> bool {
        let failure = "messages cannot be removed from the backlog";
        self.store_in_the_end(failure, async || backlog.remove(places.to_vec()).await).await
    }

    /// Puts requests of a destination back on disk that are in memory and not out in a call.
    async fn park(self: Rc<Self>, backlog: Rc<Backlog>, destination: u64) {
        let (give, mut given) = mpsc::unbounded_channel();
        for message in backlog.fetched(destination) {
            order(&self.state.borrow(), message, Order::PutBack(give.clone()));
        }
        drop(give);
        let mut messages = Vec::new();
        let mut keys = Vec::new();
        while let Some(Parked { key, job }) = given.recv().await {
            let Some((request, place)) = self.journal.borrow().to_put_back(key, &job) else { continue };
            messages.push(stored(&request, place));
            keys.push((key, job.id));
        }
        if !messages.is_empty() && !self.put_back_in_the_end(&backlog, &messages).await {
            return;
        }
        for (key, id) in keys {
            if let Err(error) = self.journal.borrow_mut().end(key) {
                tracing::error!(id, %error, "the journal cannot record that the backlog has a request again");
            }
            self.decided(&id, None);
        }
        let mut returned = BTreeMap::<ClassNumber, u32>::new();
        messages.iter().for_each(|message| *returned.entry(message.position.lane.class).or_default() += 1);
        let returned = returned.into_iter().collect();
        backlog.figures.put_back.inc_by(messages.len() as u64);
        self.tell_backlog(&backlog, Event::Evicted { destination, returned });
    }

    /// False if the backlog is another process's, which has the requests in the journal.
    async fn put_back_in_the_end(&self, backlog: &Backlog, messages: &[StoredMessage]) -> bool {
        let failure = "messages cannot be put back on disk";
        self.store_in_the_end(failure, async || backlog.put_back(messages.to_vec()).await).await
    }

    /// Tries an operation of the store until it works. False if the backlog is another process's by then.
    async fn store_in_the_end(
        &self,
        failure: &str,
        operation: impl AsyncFn() -> Result<(), StoreError>,
    ) -> bool {
        loop {
            match operation().await {
                Ok(()) => return !self.is_handed(),
                Err(_) if self.is_handed() => return false,
                Err(error) => {
                    tracing::warn!(%error, "{failure}; trying on");
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Tells the ends of messages whose time is over, and removes them.
    async fn end_expired(self: Rc<Self>, backlog: Rc<Backlog>, most: u32) {
        let (expired, more) = match backlog.claim_expired(most).await {
            Ok(claimed) => claimed,
            Err(error) => {
                tracing::warn!(%error, "the backlog cannot tell whose time is over");
                return self.tell_backlog(&backlog, Event::ExpiredReadFailed);
            }
        };
        let notices: Vec<_> = expired.iter().map(|message| self.end_of(message)).collect();
        let told = notices.into_iter().map(|notice| self.clone().tell_in_the_end(notice));
        futures_util::future::join_all(told).await;
        let places: Vec<_> = expired.iter().map(|message| message.position).collect();
        if !places.is_empty() && !self.remove_in_the_end(&backlog, &places).await {
            return;
        }
        backlog.figures.expired.inc_by(places.len() as u64);
        backlog.release(places);
        let mut ended = BTreeMap::<Lane, u64>::new();
        expired.iter().for_each(|message| *ended.entry(message.position.lane).or_default() += 1);
        let ended = ended.into_iter().map(|(lane, messages)| LaneCount { lane, messages }).collect();
        let earliest_end = backlog.earliest_end().await.ok().flatten();
        self.tell_backlog(
            &backlog,
            Event::ExpiredRead { expired: ended, more, earliest_deadline_in: earliest_end },
        );
    }

    /// How a message ends whose time is over: handed back where that is harmless.
    fn end_of(&self, message: &StoredMessage) -> Notice {
        let request = QueuedRequest::decode(&message.payload);
        let returns =
            request.as_ref().is_ok_and(|request| !request.may_have_run() || request.rules().may_come_again());
        if let Ok(request) = &request {
            self.figures.ended(&request.job.class, if returns { Ended::TurnedBack } else { Ended::Failed });
        }
        self.count(|tally| if returns { tally.returned += 1 } else { tally.failed += 1 });
        let id = message.id.to_string();
        let end = match returns {
            true => NoticeEnd::Returned { after: None },
            false => NoticeEnd::Failed { status: None },
        };
        Notice { id, end }
    }

    /// Tells an end, however long it takes.
    async fn tell_in_the_end(self: Rc<Self>, notice: Notice) {
        let end = SettledEnd::of_backlog(notice);
        while self.carrier.notify(&end).await.is_err() && !self.is_handed() {
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn probe_store(self: Rc<Self>, backlog: Rc<Backlog>) {
        let event = match backlog.probe().await {
            Ok(()) => Event::StoreRecovered,
            Err(error) => {
                tracing::debug!(%error, "the backlog's store still fails");
                return;
            }
        };
        self.tell_backlog(&backlog, event);
    }
}

fn refusal(reason: RefusalReason) -> BacklogRefusal {
    match reason {
        RefusalReason::TooLate => BacklogRefusal::TooLate,
        RefusalReason::Store(_) => BacklogRefusal::Store,
        RefusalReason::Busy => BacklogRefusal::Busy,
    }
}

fn refused(after: Duration) -> Decision {
    Decision::Refused(Refusal::Refused { after: Some(after) })
}

/// A request as the backlog is to have it again.
fn stored(request: &QueuedRequest, place: Position) -> StoredMessage {
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
