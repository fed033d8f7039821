//! The thread that owns a store. Callers never wait for the disk: requests go into a bounded queue, and each reply
//! is sent through a channel of its own.
//!
//! The thread groups queued requests: consecutive appends become one batch of the store, and so do consecutive
//! removals. After an I/O error the store is reopened, since a store may refuse all writes after a failed one.
//! Until that succeeds, requests are answered with the error of the last attempt to open it.
use std::collections::VecDeque;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::message::{
    ClassNumber, Lane, LaneSummary, NewMessage, Position, StoredMessage, UnixMillis, Usage,
};
use crate::store::{BacklogStore, Corruption, StoreError};

#[cfg(test)]
mod tests;

/// Opens the store, at the start and after an I/O error.
pub type OpenStore = Box<dyn FnMut() -> Result<Box<dyn BacklogStore>, StoreError> + Send>;

/// Receives the reply to a request; receiving fails if the thread has ended, which converts to
/// [`StoreError::Closed`].
pub type ReplyReceiver<T> = oneshot::Receiver<Result<T, StoreError>>;

type ReplySender<T> = oneshot::Sender<Result<T, StoreError>>;

/// Maximum number of messages in one batch of the store. A single request may have more.
const MAX_BATCH_MESSAGES: usize = 256;
/// Minimum time between a failed attempt to reopen the store and the next.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);

enum Request {
    Append(Vec<NewMessage>, ReplySender<Vec<Position>>),
    PutBack(Vec<StoredMessage>, ReplySender<()>),
    Remove(Vec<Position>, ReplySender<()>),
    Fetch { lane: Lane, after: Option<u64>, limit: usize, reply: ReplySender<Vec<StoredMessage>> },
    Due { until: UnixMillis, limit: usize, reply: ReplySender<Vec<StoredMessage>> },
    Find(Box<str>, ReplySender<Option<Position>>),
    Class(Box<str>, ReplySender<ClassNumber>),
    Overview(ReplySender<Overview>),
    Usage(ReplySender<Usage>),
}

/// Summary of a store's contents and state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overview {
    /// Summaries of the non-empty lanes.
    pub lanes: Vec<LaneSummary>,
    /// The class names, indexed by class number.
    pub class_names: Vec<Box<str>>,
    /// Total usage.
    pub usage: Usage,
    /// Data that could not be read.
    pub corruptions: Vec<Corruption>,
}

/// The queue of requests is full, or the thread has ended. The request was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the queue of requests to the backlog's store is full or closed")]
pub struct Busy;

/// Measures how long the store's operations take; readable from any thread.
#[derive(Clone)]
pub struct Watchdog(Arc<Timing>);

struct Timing {
    started: Instant,
    slowest_nanos: AtomicU64,
    /// Start of the operation that is running, in nanoseconds after `started`; zero while none is running.
    running_since: AtomicU64,
}

impl Watchdog {
    /// The duration of the slowest operation so far, including the one that is running.
    pub fn slowest(&self) -> Duration {
        let finished = Duration::from_nanos(self.0.slowest_nanos.load(Ordering::Relaxed));
        finished.max(self.running().unwrap_or_default())
    }

    /// How long the operation that is running has taken so far.
    pub fn running(&self) -> Option<Duration> {
        let since = self.0.running_since.load(Ordering::Relaxed);
        (since != 0).then(|| self.0.started.elapsed().saturating_sub(Duration::from_nanos(since)))
    }

    fn measure<T>(&self, operation: impl FnOnce() -> T) -> T {
        let start = self.0.started.elapsed();
        self.0.running_since.store((start.as_nanos() as u64).max(1), Ordering::Relaxed);
        let outcome = operation();
        let elapsed = self.0.started.elapsed() - start;
        self.0.slowest_nanos.fetch_max(elapsed.as_nanos() as u64, Ordering::Relaxed);
        self.0.running_since.store(0, Ordering::Relaxed);
        outcome
    }
}

/// Handle of the store's thread. Dropping it completes the queued requests and then ends the thread.
pub struct Worker {
    requests: Option<mpsc::SyncSender<Request>>,
    watchdog: Watchdog,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    /// Opens the store on the calling thread, then starts the store's thread with a queue for `queue_capacity`
    /// requests.
    ///
    /// # Errors
    /// The errors of `open`, and of starting a thread.
    pub fn start(mut open: OpenStore, queue_capacity: usize) -> Result<Worker, StoreError> {
        let store = open()?;
        let (sender, receiver) = mpsc::sync_channel(queue_capacity);
        let timing = Timing { started: Instant::now(), slowest_nanos: 0.into(), running_since: 0.into() };
        let watchdog = Watchdog(Arc::new(timing));
        let mut store_thread = StoreThread {
            open,
            store: Ok(store),
            last_open_attempt: Instant::now(),
            watchdog: watchdog.clone(),
        };
        let builder = thread::Builder::new().name("backlog".to_owned());
        let thread = builder.spawn(move || store_thread.run(&receiver))?;
        Ok(Worker { requests: Some(sender), watchdog, thread: Some(thread) })
    }

    /// See [`BacklogStore::append`].
    pub fn append(&self, messages: Vec<NewMessage>) -> Result<ReplyReceiver<Vec<Position>>, Busy> {
        self.request(|reply| Request::Append(messages, reply))
    }

    /// See [`BacklogStore::put_back`].
    pub fn put_back(&self, messages: Vec<StoredMessage>) -> Result<ReplyReceiver<()>, Busy> {
        self.request(|reply| Request::PutBack(messages, reply))
    }

    /// See [`BacklogStore::remove`].
    pub fn remove(&self, positions: Vec<Position>) -> Result<ReplyReceiver<()>, Busy> {
        self.request(|reply| Request::Remove(positions, reply))
    }

    /// See [`BacklogStore::fetch`].
    pub fn fetch(
        &self,
        lane: Lane,
        after: Option<u64>,
        limit: usize,
    ) -> Result<ReplyReceiver<Vec<StoredMessage>>, Busy> {
        self.request(|reply| Request::Fetch { lane, after, limit, reply })
    }

    /// See [`BacklogStore::due`].
    pub fn due(&self, until: UnixMillis, limit: usize) -> Result<ReplyReceiver<Vec<StoredMessage>>, Busy> {
        self.request(|reply| Request::Due { until, limit, reply })
    }

    /// See [`BacklogStore::find`].
    pub fn find(&self, id: Box<str>) -> Result<ReplyReceiver<Option<Position>>, Busy> {
        self.request(|reply| Request::Find(id, reply))
    }

    /// See [`BacklogStore::class`].
    pub fn class(&self, name: Box<str>) -> Result<ReplyReceiver<ClassNumber>, Busy> {
        self.request(|reply| Request::Class(name, reply))
    }

    /// A summary of the store's contents and state.
    pub fn overview(&self) -> Result<ReplyReceiver<Overview>, Busy> {
        self.request(Request::Overview)
    }

    /// See [`BacklogStore::usage`].
    pub fn usage(&self) -> Result<ReplyReceiver<Usage>, Busy> {
        self.request(Request::Usage)
    }

    /// The measurement of the operations' durations.
    pub fn watchdog(&self) -> Watchdog {
        self.watchdog.clone()
    }

    fn request<T>(&self, request: impl FnOnce(ReplySender<T>) -> Request) -> Result<ReplyReceiver<T>, Busy> {
        let (reply, receiver) = oneshot::channel();
        let requests = self.requests.as_ref().expect("present until the worker is dropped");
        requests.try_send(request(reply)).map_err(|_| Busy)?;
        Ok(receiver)
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.requests = None;
        if let Some(thread) = self.thread.take() {
            // The thread has already printed its panic message, if it panicked.
            let _ = thread.join();
        }
    }
}

/// The state of the store's thread.
struct StoreThread {
    open: OpenStore,
    store: Result<Box<dyn BacklogStore>, StoreError>,
    last_open_attempt: Instant,
    watchdog: Watchdog,
}

impl StoreThread {
    fn run(&mut self, requests: &mpsc::Receiver<Request>) {
        while let Ok(first) = requests.recv() {
            let mut queued: VecDeque<Request> = std::iter::once(first).chain(requests.try_iter()).collect();
            while let Some(request) = queued.pop_front() {
                self.execute(request, &mut queued);
            }
        }
    }

    /// Executes a request, together with queued ones that go into the same batch.
    fn execute(&mut self, request: Request, queued: &mut VecDeque<Request>) {
        match request {
            Request::Append(messages, reply) => self.append(messages, reply, queued),
            Request::Remove(positions, reply) => self.remove(positions, reply, queued),
            Request::PutBack(messages, reply) => {
                send_reply(reply, self.operate(|store| store.put_back(&messages)))
            }
            Request::Fetch { lane, after, limit, reply } => {
                send_reply(reply, self.operate(|store| store.fetch(lane, after, limit)));
            }
            Request::Due { until, limit, reply } => {
                send_reply(reply, self.operate(|store| store.due(until, limit)))
            }
            Request::Find(id, reply) => send_reply(reply, self.operate(|store| store.find(&id))),
            Request::Class(name, reply) => send_reply(reply, self.operate(|store| store.class(&name))),
            Request::Overview(reply) => send_reply(reply, self.operate(|store| overview(store))),
            Request::Usage(reply) => send_reply(reply, self.operate(|store| Ok(store.usage()))),
        }
    }

    fn append(
        &mut self,
        first: Vec<NewMessage>,
        reply: ReplySender<Vec<Position>>,
        queued: &mut VecDeque<Request>,
    ) {
        let mut messages = first;
        let mut replies = vec![(messages.len(), reply)];
        while let Some(Request::Append(next, _)) = queued.front()
            && messages.len() + next.len() <= MAX_BATCH_MESSAGES
            && let Some(Request::Append(next, reply)) = queued.pop_front()
        {
            replies.push((next.len(), reply));
            messages.extend(next);
        }
        match self.operate(|store| store.append(&messages)) {
            Ok(positions) => {
                let mut positions = positions.into_iter();
                for (count, reply) in replies {
                    send_reply(reply, Ok(positions.by_ref().take(count).collect()));
                }
            }
            Err(StoreError::TooLarge(_)) if replies.len() > 1 => {
                // Appends each request on its own, so that an oversized message fails only the request that
                // contains it.
                let mut messages = messages.into_iter();
                for (count, reply) in replies {
                    let own: Vec<NewMessage> = messages.by_ref().take(count).collect();
                    send_reply(reply, self.operate(|store| store.append(&own)));
                }
            }
            Err(error) => replies.into_iter().for_each(|(_, reply)| send_reply(reply, Err(error.clone()))),
        }
    }

    fn remove(&mut self, first: Vec<Position>, reply: ReplySender<()>, queued: &mut VecDeque<Request>) {
        let mut positions = first;
        let mut replies = vec![reply];
        while let Some(Request::Remove(next, _)) = queued.front()
            && positions.len() + next.len() <= MAX_BATCH_MESSAGES
            && let Some(Request::Remove(next, reply)) = queued.pop_front()
        {
            replies.push(reply);
            positions.extend(next);
        }
        let outcome = self.operate(|store| store.remove(&positions));
        replies.into_iter().for_each(|reply| send_reply(reply, outcome.clone()));
    }

    /// Runs one operation. Reopens the store before it if the store is unusable, and after it if it failed with an
    /// I/O error.
    fn operate<T>(
        &mut self,
        operation: impl FnOnce(&mut dyn BacklogStore) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        if self.store.is_err() && self.last_open_attempt.elapsed() >= REOPEN_INTERVAL {
            self.last_open_attempt = Instant::now();
            self.store = self.watchdog.measure(&mut self.open);
        }
        let store = self.store.as_mut().map_err(|error| error.clone())?;
        let outcome = self.watchdog.measure(|| operation(store.as_mut()));
        if let Err(error @ (StoreError::Io(_) | StoreError::Closed)) = &outcome {
            // The old store is dropped first, since a folder cannot be opened twice.
            self.store = Err(error.clone());
            self.store = self.watchdog.measure(&mut self.open);
            self.last_open_attempt = Instant::now();
        }
        outcome
    }
}

fn overview(store: &mut dyn BacklogStore) -> Result<Overview, StoreError> {
    Ok(Overview {
        lanes: store.lanes()?,
        class_names: store.class_names()?,
        usage: store.usage(),
        corruptions: store.corruptions(),
    })
}

/// Sends a reply; the result is ignored because the requester may have stopped waiting.
fn send_reply<T>(reply: ReplySender<T>, result: Result<T, StoreError>) {
    let _ = reply.send(result);
}

impl From<oneshot::error::RecvError> for StoreError {
    fn from(_: oneshot::error::RecvError) -> Self {
        StoreError::Closed
    }
}

impl From<Busy> for StoreError {
    fn from(busy: Busy) -> Self {
        io::Error::new(io::ErrorKind::WouldBlock, busy).into()
    }
}
