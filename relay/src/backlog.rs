//! The relay's interface to the backlog on disk: the planner, which decides, and the thread that owns the store.
//!
//! Owns both of them, the planner's clock and the class numbers. It has no access to requests in memory or to
//! connections; [`crate::core`] carries out the planner's actions. The whole design is described in `docs/backlog.md`.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::future::Future;
use std::time::{Duration, Instant, SystemTime};

use onyxglade_backlog::lsm_store::{Config, LsmStore, MIN_MEMORY_BYTES};
use onyxglade_backlog::message::{ClassNumber, Lane, NewMessage, Position, StoredMessage, UnixMillis};
use onyxglade_backlog::planner::{
    Action, ArrivalId, Event, LaneCount, MESSAGE_MEMORY_BYTES, Planner, Settings, StoreFault,
};
use onyxglade_backlog::store::{BacklogStore, StoreError};
use onyxglade_backlog::worker::{Busy, Overview, ReplyReceiver, Watchdog, Worker};
use slatethread::MsgId;
use tokio::sync::Notify;
use tokio::time::sleep;

pub mod report;

use crate::journal::OpenJob;
use crate::metrics::BacklogMetrics;
use crate::{clock, config};

/// Most operations that may be queued for the store's thread.
const WORKER_QUEUE: usize = 4096;
/// The store's cache and write buffers get one part in this many of the memory; the windows of destinations get the rest.
const STORE_MEMORY_DIVISOR: u64 = 4;
/// Fraction (numerator, denominator) of the requests allowed in memory that the windows may use. The remainder is for
/// arrivals still being decided on: a full relay would refuse them before the backlog is consulted.
const WINDOWS_SHARE: (u64, u64) = (3, 4);
/// How long to wait for another process to release the folder: one that hands over, or one that was just killed.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two attempts to open the folder.
const OPEN_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// The lane of the message that is written and removed to test whether the store accepts messages again.
const PROBE_LANE: Lane = Lane { destination: u64::MAX, class: ClassNumber(u16::MAX) };

/// What the backlog needs to know of a class of requests.
#[derive(Clone, Debug)]
pub struct BacklogClass {
    /// Its name in the settings.
    pub name: String,
    /// Its worth relative to other classes.
    pub worth: f64,
}

/// The planner and the store of a relay.
pub struct Backlog {
    /// None once the folder is released to another process.
    worker: RefCell<Option<Worker>>,
    planner: RefCell<Planner>,
    started: Instant,
    last_arrival: Cell<ArrivalId>,
    classes: HashMap<String, ClassNumber>,
    /// Number of requests in flight, by destination.
    calls_in_flight: RefCell<HashMap<u64, u32>>,
    /// Requests in memory that came from the store, by destination.
    fetched: RefCell<HashMap<u64, BTreeSet<MsgId>>>,
    /// Messages that were read and are about to be removed, because they move to memory or their deadline has passed. They are
    /// skipped if they are read again in the meantime.
    reserved: RefCell<HashSet<Position>>,
    /// IDs of refused messages that the store may nevertheless have, until that is known.
    in_doubt: RefCell<HashSet<String>>,
    quota: u64,
    watchdog: Watchdog,
    /// The backlog's counters and gauges.
    pub metrics: BacklogMetrics,
    /// Notified after each event, since the time of the next tick may have changed.
    changed: Notify,
}

impl Backlog {
    /// Opens the folder and reads which messages are in it. `journaled` are the journal's open jobs: those with a place may still
    /// be in the store after a crash and are removed from it. `max_in_memory` is how many requests the relay may have in memory.
    ///
    /// # Errors
    /// Errors of the store; [`StoreError::InUse`] only if another process still has the folder after some seconds.
    pub async fn open(
        settings: &config::BacklogConfig,
        owner: &str,
        classes: &[BacklogClass],
        max_in_memory: Option<u32>,
        journaled: &[OpenJob],
        metrics: BacklogMetrics,
    ) -> Result<(Backlog, Vec<Action>), StoreError> {
        let worker = open_worker(settings, owner).await?;
        tracing::info!(folder = %settings.folder.display(), "backlog folder opened");
        Backlog::with_worker(worker, settings, classes, max_in_memory, journaled, metrics).await
    }

    /// Like [`Backlog::open`], with a store that is already open.
    ///
    /// # Errors
    /// Errors of the store.
    pub async fn with_worker(
        worker: Worker,
        settings: &config::BacklogConfig,
        classes: &[BacklogClass],
        max_in_memory: Option<u32>,
        journaled: &[OpenJob],
        metrics: BacklogMetrics,
    ) -> Result<(Backlog, Vec<Action>), StoreError> {
        let mut numbers = HashMap::new();
        let mut class_worth = Vec::new();
        for class in classes {
            let number = await_reply(worker.class(class.name.as_str().into())).await?;
            numbers.insert(class.name.clone(), number);
            let index = usize::from(number.0);
            class_worth.resize(class_worth.len().max(index + 1), 1.0);
            class_worth[index] = class.worth;
        }
        let fetched = journaled.iter().filter_map(|open| open.place).collect();
        await_reply(worker.remove(fetched)).await?;
        let Overview { lanes, corruptions, .. } = await_reply(worker.overview()).await?;
        for damage in &corruptions {
            let (location, cause) = (&damage.location, &damage.cause);
            tracing::error!(location, cause, "the backlog is damaged; the messages there are skipped");
        }
        let earliest = await_reply(worker.due(UnixMillis(u64::MAX), 1)).await?;
        let messages: u64 = lanes.iter().map(|lane| lane.messages).sum();
        tracing::info!(messages, lanes = lanes.len(), "backlog opened");

        let mut planner = Planner::new(planner_settings(settings, max_in_memory, class_worth));
        for open in journaled {
            if let Some(&class) = numbers.get(&open.job.class) {
                let lane = Lane { destination: open.job.dest, class };
                planner.handle(Duration::ZERO, Event::Fetched { lane, count: 1, exhausted: false });
            }
        }
        let lanes = lanes.iter().map(|lane| LaneCount { lane: lane.lane, messages: lane.messages }).collect();
        let earliest_deadline_in = earliest.first().map(|message| time_until(message.deadline));
        let actions = planner.handle(Duration::ZERO, Event::Opened { lanes, earliest_deadline_in });
        let backlog = Backlog {
            watchdog: worker.watchdog(),
            metrics,
            worker: RefCell::new(Some(worker)),
            planner: RefCell::new(planner),
            started: Instant::now(),
            last_arrival: Cell::new(0),
            classes: numbers,
            calls_in_flight: RefCell::default(),
            fetched: RefCell::default(),
            reserved: RefCell::default(),
            in_doubt: RefCell::default(),
            quota: settings.disk_bytes,
            changed: Notify::new(),
        };
        Ok((backlog, actions))
    }

    /// Closes the store: another process may open the folder once the queued operations are done. No message is accepted any more.
    pub fn close(&self) {
        if let Some(worker) = self.worker.take() {
            // Dropping the worker waits for its queue, which must not block this thread.
            let done = std::thread::Builder::new().name("backlog-close".into()).spawn(move || drop(worker));
            if let Err(error) = done {
                tracing::error!(%error, "no thread to close the backlog could be started; it was closed on the calling thread");
            }
        }
    }

    /// The lane of a request; none if its class is not in the settings.
    pub fn lane(&self, destination: u64, class: &str) -> Option<Lane> {
        self.classes.get(class).map(|&class| Lane { destination, class })
    }

    /// Passes an event to the planner, and returns the actions to carry out.
    pub fn handle(&self, event: Event) -> Vec<Action> {
        let actions = self.planner.borrow_mut().handle(self.now(), event);
        self.changed.notify_one();
        actions
    }

    /// Reports the arrival of a request. Returns its arrival number, and the actions for it and for others.
    pub fn arrived(&self, lane: Lane, time_left: Duration) -> (ArrivalId, Vec<Action>) {
        let arrival = self.last_arrival.get() + 1;
        self.last_arrival.set(arrival);
        (arrival, self.handle(Event::Arrived { arrival, lane, time_left }))
    }

    /// Converts a time to the planner's clock.
    pub fn planner_time(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.started)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns when the planner needs a tick.
    pub async fn tick(&self) {
        loop {
            let deadline = self.planner.borrow().next_deadline();
            let now = self.now();
            if deadline.is_some_and(|deadline| deadline <= now) {
                return;
            }
            let pause = deadline.map_or(Duration::from_secs(3600), |deadline| deadline - now);
            tokio::select! {
                () = sleep(pause) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    /// Whether messages of a destination are on disk or being written.
    pub fn has_queued(&self, destination: u64) -> bool {
        let stats = self.planner.borrow().stats(self.now(), destination);
        stats.is_some_and(|stats| stats.on_disk > 0)
    }

    /// Duration of the slowest operation of the store so far, including one that is still running.
    pub fn slowest(&self) -> Duration {
        self.watchdog.slowest()
    }

    /// Number of messages on disk.
    pub fn on_disk(&self) -> u64 {
        self.planner.borrow().on_disk()
    }

    /// Counts a request that is sent to a destination, and returns the actions to carry out.
    pub fn call_began(&self, destination: u64) -> Vec<Action> {
        let count = {
            let mut calls = self.calls_in_flight.borrow_mut();
            let count = calls.entry(destination).or_default();
            *count += 1;
            *count
        };
        self.handle(Event::CallsInFlight { destination, count })
    }

    /// Reverses [`Backlog::call_began`].
    pub fn call_ended(&self, destination: u64) -> Vec<Action> {
        let count = {
            let mut calls = self.calls_in_flight.borrow_mut();
            let count = calls.get(&destination).map_or(0, |count| count.saturating_sub(1));
            if count == 0 {
                calls.remove(&destination);
            } else {
                calls.insert(destination, count);
            }
            count
        };
        self.handle(Event::CallsInFlight { destination, count })
    }

    /// Adds a fetched request that the decision module now has.
    pub fn add_fetched(&self, destination: u64, message: MsgId) {
        self.fetched.borrow_mut().entry(destination).or_default().insert(message);
    }

    /// Removes a fetched request that the decision module no longer has.
    pub fn remove_fetched(&self, destination: u64, message: MsgId) {
        let mut fetched = self.fetched.borrow_mut();
        if let Some(messages) = fetched.get_mut(&destination) {
            messages.remove(&message);
            if messages.is_empty() {
                fetched.remove(&destination);
            }
        }
    }

    /// The requests of a destination in memory that came from the store.
    pub fn fetched(&self, destination: u64) -> Vec<MsgId> {
        self.fetched.borrow().get(&destination).into_iter().flatten().copied().collect()
    }

    /// Queues an operation for the store's thread. It is in the queue when this returns, before the future is polled.
    fn request<T, R>(&self, operation: R) -> impl Future<Output = Result<T, StoreError>> + use<T, R>
    where
        R: FnOnce(&Worker) -> Result<ReplyReceiver<T>, Busy>,
    {
        let answer = match &*self.worker.borrow() {
            Some(worker) => operation(worker).map_err(StoreError::from),
            None => Err(StoreError::Closed),
        };
        async move { answer?.await? }
    }

    /// Appends a message to its lane. If the outcome of the write is unknown, the message is looked up: if the store
    /// has it, the append succeeded.
    ///
    /// # Errors
    /// The message is not in the store, or that cannot be determined.
    pub async fn append(&self, message: NewMessage) -> Result<Position, StoreError> {
        let id = message.id.clone();
        let appended = self.request(|worker| worker.append(vec![message])).await;
        match appended.map(|places| places.first().copied()) {
            Ok(Some(place)) => Ok(place),
            Ok(None) => Err(StoreError::Closed),
            Err(error @ (StoreError::Io(_) | StoreError::Closed)) => self.find(&id).await?.ok_or(error),
            Err(error) => Err(error),
        }
    }

    /// The place of the message with this ID.
    pub async fn find(&self, id: &str) -> Result<Option<Position>, StoreError> {
        self.request(|worker| worker.find(id.into())).await
    }

    /// Reserves the first messages of a lane that are not reserved yet, at most `max`; also returns whether the lane has no more.
    /// The caller must release them.
    pub async fn reserve_first(
        &self,
        lane: Lane,
        max: u32,
    ) -> Result<(Vec<StoredMessage>, bool), StoreError> {
        let mut after = None;
        loop {
            let read = self.request(|worker| worker.fetch(lane, after, max as usize)).await?;
            let exhausted = read.len() < max as usize;
            after = read.last().map(|message| message.position.sequence);
            let reserved = self.reserve_all(read);
            if exhausted || !reserved.is_empty() {
                return Ok((reserved, exhausted));
            }
        }
    }

    /// Reserves messages whose deadline has passed, the earliest first, at most `max`; also returns whether there may be more.
    /// The caller must release them.
    pub async fn reserve_expired(&self, max: u32) -> Result<(Vec<StoredMessage>, bool), StoreError> {
        let now = unix_millis(clock::now());
        let read = self.request(|worker| worker.due(now, max as usize)).await?;
        let more = read.len() == max as usize;
        Ok((self.reserve_all(read), more))
    }

    /// Reserves the messages among those read that are not reserved yet. This suffices because answers come in the order of the
    /// store's operations: a reservation is released only after the removal, and a later read does not return the message.
    fn reserve_all(&self, read: Vec<StoredMessage>) -> Vec<StoredMessage> {
        let mut reserved = self.reserved.borrow_mut();
        read.into_iter().filter(|message| reserved.insert(message.position)).collect()
    }

    /// Sets whether it is in doubt that the store has a refused message.
    pub fn set_in_doubt(&self, id: &str, doubt: bool) {
        let mut in_doubt = self.in_doubt.borrow_mut();
        if doubt {
            in_doubt.insert(id.to_owned());
        } else {
            in_doubt.remove(id);
        }
    }

    /// Whether it is in doubt that the store has a refused message.
    pub fn is_in_doubt(&self, id: &str) -> bool {
        self.in_doubt.borrow().contains(id)
    }

    /// Reserves a message by its place; false if it is already reserved.
    pub fn reserve(&self, place: Position) -> bool {
        self.reserved.borrow_mut().insert(place)
    }

    /// Releases reserved messages, after they were removed or when they stay in the store.
    pub fn release(&self, messages: impl IntoIterator<Item = Position>) {
        let mut reserved = self.reserved.borrow_mut();
        messages.into_iter().for_each(|place| _ = reserved.remove(&place));
    }

    /// Removes messages; those that are already removed are ignored.
    pub async fn remove(&self, places: Vec<Position>) -> Result<(), StoreError> {
        self.request(|worker| worker.remove(places)).await
    }

    /// Puts messages back at their former places.
    pub async fn put_back(&self, messages: Vec<StoredMessage>) -> Result<(), StoreError> {
        self.request(|worker| worker.put_back(messages)).await
    }

    /// Time until the earliest deadline of a message on disk.
    pub async fn earliest_deadline_in(&self) -> Result<Option<Duration>, StoreError> {
        let earliest = self.request(|worker| worker.due(UnixMillis(u64::MAX), 1)).await?;
        Ok(earliest.first().map(|message| time_until(message.deadline)))
    }

    /// Tests the store by writing and removing a message of its own.
    pub async fn probe(&self) -> Result<(), StoreError> {
        let now = unix_millis(clock::now());
        let probe = NewMessage {
            lane: PROBE_LANE,
            arrived: now,
            deadline: UnixMillis(u64::MAX),
            id: "probe".into(),
            payload: bytes::Bytes::new(),
        };
        let places = self.request(|worker| worker.append(vec![probe])).await?;
        self.remove(places).await
    }

    /// The store's lanes, disk usage and damage.
    pub async fn overview(&self) -> Result<Overview, StoreError> {
        self.request(Worker::overview).await
    }

    /// The disk usage as an event for the planner; also updates the gauges.
    pub async fn usage(&self) -> Result<Event, StoreError> {
        let used = self.request(Worker::usage).await?.disk_bytes;
        self.metrics.set(self.on_disk(), used, self.slowest());
        Ok(Event::Usage { used, quota: self.quota })
    }
}

/// Converts an error of the store to the planner's fault.
pub fn store_fault(error: &StoreError) -> StoreFault {
    if matches!(error, StoreError::Full { .. }) { StoreFault::Full } else { StoreFault::Failing }
}

async fn await_reply<T>(operation: Result<ReplyReceiver<T>, Busy>) -> Result<T, StoreError> {
    operation?.await?
}

async fn open_worker(settings: &config::BacklogConfig, owner: &str) -> Result<Worker, StoreError> {
    let config = Config {
        folder: settings.folder.clone(),
        owner: owner.to_owned(),
        memory_bytes: store_memory(settings),
        disk_bytes: settings.disk_bytes,
        sync: false,
    };
    let end = Instant::now() + OPEN_TIMEOUT;
    loop {
        let config = config.clone();
        let open = move || {
            let open = move || {
                let store = LsmStore::open(config.clone())?;
                Ok(Box::new(store) as Box<dyn BacklogStore>)
            };
            Worker::start(Box::new(open), WORKER_QUEUE)
        };
        match tokio::task::spawn_blocking(open).await.map_err(|_| StoreError::Closed)? {
            Err(StoreError::InUse) if Instant::now() < end => sleep(OPEN_RETRY_PAUSE).await,
            opened => return opened,
        }
    }
}

fn store_memory(settings: &config::BacklogConfig) -> u64 {
    (settings.memory_bytes / STORE_MEMORY_DIVISOR).max(MIN_MEMORY_BYTES)
}

fn planner_settings(
    settings: &config::BacklogConfig,
    max_in_memory: Option<u32>,
    class_worth: Vec<f64>,
) -> Settings {
    let left = settings.memory_bytes.saturating_sub(store_memory(settings));
    let messages = max_in_memory.map_or(u64::MAX, |max| u64::from(max) * WINDOWS_SHARE.0 / WINDOWS_SHARE.1);
    let window_memory = left.min(messages.saturating_mul(MESSAGE_MEMORY_BYTES));
    Settings { window_memory, class_worth, ..Settings::default() }
}

/// Converts a time to the store's format.
pub fn unix_millis(at: SystemTime) -> UnixMillis {
    let since = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

fn time_until(deadline: UnixMillis) -> Duration {
    Duration::from_millis(deadline.0.saturating_sub(unix_millis(clock::now()).0))
}
