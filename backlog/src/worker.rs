//! The thread that owns a store. Whoever asks it never waits for the disk: requests go into a bounded queue, answers
//! come through a channel each.
//!
//! What is queued when the thread comes to it is grouped: appends that follow each other become one batch of the store,
//! and so do removals. After an I/O error the store is opened again, since a store may refuse all writes after one that
//! failed; until that works, requests are answered with the error of the attempt.
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

/// An answer, or why there is none. It is [`StoreError::Closed`] when the thread has ended.
pub type ReplyReceiver<T> = oneshot::Receiver<Result<T, StoreError>>;

type Reply<T> = oneshot::Sender<Result<T, StoreError>>;

/// How many messages one batch of the store takes at most. A single request may have more.
const BATCH_MESSAGES: usize = 256;
/// How long the thread waits before it tries to open the store again.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);

enum Request {
    Append(Vec<NewMessage>, Reply<Vec<Position>>),
    PutBack(Vec<StoredMessage>, Reply<()>),
    Remove(Vec<Position>, Reply<()>),
    Fetch { lane: Lane, after: Option<u64>, limit: usize, reply: Reply<Vec<StoredMessage>> },
    Due { until: UnixMillis, limit: usize, reply: Reply<Vec<StoredMessage>> },
    Find(Box<str>, Reply<Option<Position>>),
    Class(Box<str>, Reply<ClassNumber>),
    Overview(Reply<Overview>),
    Usage(Reply<Usage>),
}

/// What a store tells of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overview {
    /// What waits in each lane.
    pub lanes: Vec<LaneSummary>,
    /// The names of classes, at the index that is their number.
    pub class_names: Vec<Box<str>>,
    /// What all takes.
    pub usage: Usage,
    /// What could not be read.
    pub corruptions: Vec<Corruption>,
}

/// The queue of requests is full, or the thread has ended. The request was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the backlog's store takes no more requests now")]
pub struct Busy;

/// How long the store's operations take, to be read from any thread.
#[derive(Clone)]
pub struct Watchdog(Arc<Timing>);

struct Timing {
    started: Instant,
    slowest_nanos: AtomicU64,
    /// Nanoseconds after `started` when the operation began that is running; zero while none is.
    running_since: AtomicU64,
}

impl Watchdog {
    /// The slowest operation so far, or the one that is running if that takes longer.
    pub fn slowest(&self) -> Duration {
        let finished = Duration::from_nanos(self.0.slowest_nanos.load(Ordering::Relaxed));
        finished.max(self.running().unwrap_or_default())
    }

    /// How long the operation has taken that is running.
    pub fn running(&self) -> Option<Duration> {
        let since = self.0.running_since.load(Ordering::Relaxed);
        (since != 0).then(|| self.0.started.elapsed().saturating_sub(Duration::from_nanos(since)))
    }

    fn measure<T>(&self, operation: impl FnOnce() -> T) -> T {
        let start = self.0.started.elapsed();
        self.0.running_since.store((start.as_nanos() as u64).max(1), Ordering::Relaxed);
        let outcome = operation();
        let took = self.0.started.elapsed() - start;
        self.0.slowest_nanos.fetch_max(took.as_nanos() as u64, Ordering::Relaxed);
        self.0.running_since.store(0, Ordering::Relaxed);
        outcome
    }
}

/// The thread. When this is dropped, what was queued is still done, then the thread ends.
pub struct Worker {
    requests: Option<mpsc::SyncSender<Request>>,
    watchdog: Watchdog,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    /// Opens the store on the calling thread, then starts the thread with a queue of `queued` requests.
    ///
    /// # Errors
    /// Those of `open`, and of starting a thread.
    pub fn start(mut open: OpenStore, queued: usize) -> Result<Worker, StoreError> {
        let store = open()?;
        let (sender, receiver) = mpsc::sync_channel(queued);
        let timing = Timing { started: Instant::now(), slowest_nanos: 0.into(), running_since: 0.into() };
        let watchdog = Watchdog(Arc::new(timing));
        let mut owner = Owner { open, store: Ok(store), opened: Instant::now(), watchdog: watchdog.clone() };
        let builder = thread::Builder::new().name("backlog".to_owned());
        let thread = builder.spawn(move || owner.run(&receiver))?;
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

    /// What the store tells of itself.
    pub fn overview(&self) -> Result<ReplyReceiver<Overview>, Busy> {
        self.request(Request::Overview)
    }

    /// See [`BacklogStore::usage`].
    pub fn usage(&self) -> Result<ReplyReceiver<Usage>, Busy> {
        self.request(Request::Usage)
    }

    /// How long operations take.
    pub fn watchdog(&self) -> Watchdog {
        self.watchdog.clone()
    }

    fn request<T>(&self, request: impl FnOnce(Reply<T>) -> Request) -> Result<ReplyReceiver<T>, Busy> {
        let (reply, answer) = oneshot::channel();
        let requests = self.requests.as_ref().expect("only dropping takes it");
        requests.try_send(request(reply)).map_err(|_| Busy)?;
        Ok(answer)
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.requests = None;
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was printed by itself.
            let _ = thread.join();
        }
    }
}

/// What lives on the thread.
struct Owner {
    open: OpenStore,
    store: Result<Box<dyn BacklogStore>, StoreError>,
    opened: Instant,
    watchdog: Watchdog,
}

impl Owner {
    fn run(&mut self, requests: &mpsc::Receiver<Request>) {
        while let Ok(first) = requests.recv() {
            let mut queued: VecDeque<Request> = std::iter::once(first).chain(requests.try_iter()).collect();
            while let Some(request) = queued.pop_front() {
                self.answer(request, &mut queued);
            }
        }
    }

    /// Answers a request, and those behind it that go into the same batch.
    fn answer(&mut self, request: Request, queued: &mut VecDeque<Request>) {
        match request {
            Request::Append(messages, reply) => self.append(messages, reply, queued),
            Request::Remove(positions, reply) => self.remove(positions, reply, queued),
            Request::PutBack(messages, reply) => send(reply, self.operate(|store| store.put_back(&messages))),
            Request::Fetch { lane, after, limit, reply } => {
                send(reply, self.operate(|store| store.fetch(lane, after, limit)));
            }
            Request::Due { until, limit, reply } => {
                send(reply, self.operate(|store| store.due(until, limit)))
            }
            Request::Find(id, reply) => send(reply, self.operate(|store| store.find(&id))),
            Request::Class(name, reply) => send(reply, self.operate(|store| store.class(&name))),
            Request::Overview(reply) => send(reply, self.operate(|store| overview(store))),
            Request::Usage(reply) => send(reply, self.operate(|store| Ok(store.usage()))),
        }
    }

    fn append(
        &mut self,
        first: Vec<NewMessage>,
        reply: Reply<Vec<Position>>,
        queued: &mut VecDeque<Request>,
    ) {
        let mut messages = first;
        let mut replies = vec![(messages.len(), reply)];
        while let Some(Request::Append(next, _)) = queued.front()
            && messages.len() + next.len() <= BATCH_MESSAGES
            && let Some(Request::Append(next, reply)) = queued.pop_front()
        {
            replies.push((next.len(), reply));
            messages.extend(next);
        }
        match self.operate(|store| store.append(&messages)) {
            Ok(positions) => {
                let mut positions = positions.into_iter();
                for (count, reply) in replies {
                    send(reply, Ok(positions.by_ref().take(count).collect()));
                }
            }
            Err(StoreError::TooLarge(_)) if replies.len() > 1 => {
                // One message is to blame for it, not its neighbours.
                let mut messages = messages.into_iter();
                for (count, reply) in replies {
                    let own: Vec<NewMessage> = messages.by_ref().take(count).collect();
                    send(reply, self.operate(|store| store.append(&own)));
                }
            }
            Err(error) => replies.into_iter().for_each(|(_, reply)| send(reply, Err(error.clone()))),
        }
    }

    fn remove(&mut self, first: Vec<Position>, reply: Reply<()>, queued: &mut VecDeque<Request>) {
        let mut positions = first;
        let mut replies = vec![reply];
        while let Some(Request::Remove(next, _)) = queued.front()
            && positions.len() + next.len() <= BATCH_MESSAGES
            && let Some(Request::Remove(next, reply)) = queued.pop_front()
        {
            replies.push(reply);
            positions.extend(next);
        }
        let outcome = self.operate(|store| store.remove(&positions));
        replies.into_iter().for_each(|reply| send(reply, outcome.clone()));
    }

    /// Runs one operation, on a store that is opened again if the last one left it unusable.
    fn operate<T>(
        &mut self,
        operation: impl FnOnce(&mut dyn BacklogStore) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        if self.store.is_err() && self.opened.elapsed() >= REOPEN_INTERVAL {
            self.opened = Instant::now();
            self.store = self.watchdog.measure(&mut self.open);
        }
        let store = self.store.as_mut().map_err(|error| error.clone())?;
        let outcome = self.watchdog.measure(|| operation(store.as_mut()));
        if let Err(error @ (StoreError::Io(_) | StoreError::Closed)) = &outcome {
            // Dropped first: a folder cannot be opened twice.
            self.store = Err(error.clone());
            self.store = self.watchdog.measure(&mut self.open);
            self.opened = Instant::now();
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

/// Whoever asked may have gone; then nobody needs the answer.
fn send<T>(reply: Reply<T>, answer: Result<T, StoreError>) {
    let _ = reply.send(answer);
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
