//! The backlog on disk as the relay uses it: the planner that decides, and the thread that owns the store.
//!
//! Owns both, the clock that the planner is given, and the numbers of classes. It knows no requests in memory and no
//! connections; [`crate::core`] carries out what the planner asks for. `docs/backlog.md` tells the whole.
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

use crate::clock;
use crate::config;
use crate::figures::BacklogFigures;
use crate::journal::Open;

/// Requests that may wait for the store's thread.
const QUEUED_REQUESTS: usize = 4096;
/// Part of the memory for the store's cache and write buffers; the windows of destinations have the rest.
const STORE_MEMORY_SHARE: u64 = 4;
/// Part of the requests that the settings allow in memory that the windows may have. The rest is for arrivals that are
/// being decided on: a full relay would refuse them before the backlog is asked.
const WINDOWS_SHARE: (u64, u64) = (3, 4);
/// How long another process may still have the folder: one that hands over, or one that was killed just now.
const OPEN_PATIENCE: Duration = Duration::from_secs(3);
/// Pause between two tries to open it.
const OPEN_PAUSE: Duration = Duration::from_millis(10);
/// The lane of the message that is written and removed to see whether the store takes messages again.
const PROBE_LANE: Lane = Lane { destination: u64::MAX, class: ClassNumber(u16::MAX) };

/// A class of requests as the backlog sees it.
#[derive(Clone, Debug)]
pub struct BacklogClass {
    /// Its name in the settings.
    pub name: String,
    /// Its worth against that of others.
    pub worth: f64,
}

/// The planner and the store of a relay.
pub struct Backlog {
    /// None once another process has the folder.
    worker: RefCell<Option<Worker>>,
    planner: RefCell<Planner>,
    started: Instant,
    last_arrival: Cell<ArrivalId>,
    classes: HashMap<String, ClassNumber>,
    /// Requests of each destination that are out in calls.
    calls_out: RefCell<HashMap<u64, u32>>,
    /// Requests in memory that came from the store, by destination.
    fetched: RefCell<HashMap<u64, BTreeSet<MsgId>>>,
    /// Messages that were read and are about to be removed: for memory, or because their time is over. Who reads one a
    /// second time meanwhile leaves it alone.
    claimed: RefCell<HashSet<Position>>,
    /// Ids of refused messages that the store may have all the same, until it says whether it does.
    in_doubt: RefCell<HashSet<String>>,
    quota: u64,
    watchdog: Watchdog,
    /// Its counters and gauges.
    pub figures: BacklogFigures,
    /// Told after each event: the time of the next tick may be another.
    changed: Notify,
}

impl Backlog {
    /// Opens the folder and reads what waits in it. `journaled` is what the journal has: where a place is told, a crash may
    /// have come before the store removed it. `most_in_memory` is how many requests the relay may hold there.
    ///
    /// # Errors
    /// Those of the store; [`StoreError::InUse`] only after some seconds.
    pub async fn open(
        settings: &config::Backlog,
        owner: &str,
        classes: &[BacklogClass],
        most_in_memory: Option<u32>,
        journaled: &[Open],
        figures: BacklogFigures,
    ) -> Result<(Backlog, Vec<Action>), StoreError> {
        let worker = open_worker(settings, owner).await?;
        tracing::info!(folder = %settings.folder.display(), "backlog folder opened");
        Backlog::over(worker, settings, classes, most_in_memory, journaled, figures).await
    }

    /// The same over a store that is open already.
    ///
    /// # Errors
    /// Those of the store.
    pub async fn over(
        worker: Worker,
        settings: &config::Backlog,
        classes: &[BacklogClass],
        most_in_memory: Option<u32>,
        journaled: &[Open],
        figures: BacklogFigures,
    ) -> Result<(Backlog, Vec<Action>), StoreError> {
        let mut numbers = HashMap::new();
        let mut class_worth = Vec::new();
        for class in classes {
            let number = ask(worker.class(class.name.as_str().into())).await?;
            numbers.insert(class.name.clone(), number);
            let index = usize::from(number.0);
            class_worth.resize(class_worth.len().max(index + 1), 1.0);
            class_worth[index] = class.worth;
        }
        let fetched = journaled.iter().filter_map(|open| open.place).collect();
        ask(worker.remove(fetched)).await?;
        let Overview { lanes, corruptions, .. } = ask(worker.overview()).await?;
        for damage in &corruptions {
            let (location, cause) = (&damage.location, &damage.cause);
            tracing::error!(location, cause, "the backlog is damaged; what stood there is passed over");
        }
        let earliest = ask(worker.due(UnixMillis(u64::MAX), 1)).await?;
        let messages: u64 = lanes.iter().map(|lane| lane.messages).sum();
        tracing::info!(messages, lanes = lanes.len(), "backlog opened");

        let mut planner = Planner::new(planner_settings(settings, most_in_memory, class_worth));
        for open in journaled {
            if let Some(&class) = numbers.get(&open.job.class) {
                let lane = Lane { destination: open.job.dest, class };
                planner.handle(Duration::ZERO, Event::Fetched { lane, count: 1, exhausted: false });
            }
        }
        let lanes = lanes.iter().map(|lane| LaneCount { lane: lane.lane, messages: lane.messages }).collect();
        let earliest_end = earliest.first().map(|message| time_until(message.deadline));
        let actions =
            planner.handle(Duration::ZERO, Event::Opened { lanes, earliest_deadline_in: earliest_end });
        let backlog = Backlog {
            watchdog: worker.watchdog(),
            figures,
            worker: RefCell::new(Some(worker)),
            planner: RefCell::new(planner),
            started: Instant::now(),
            last_arrival: Cell::new(0),
            classes: numbers,
            calls_out: RefCell::default(),
            fetched: RefCell::default(),
            claimed: RefCell::default(),
            in_doubt: RefCell::default(),
            quota: settings.disk_bytes,
            changed: Notify::new(),
        };
        Ok((backlog, actions))
    }

    /// Lets the folder go: another process may open it once what was asked for is done. Nothing is taken on any more.
    pub fn close(&self) {
        if let Some(worker) = self.worker.take() {
            // The thread finishes its queue first, which must not hold up this one.
            let done = std::thread::Builder::new().name("backlog-close".into()).spawn(move || drop(worker));
            if let Err(error) = done {
                tracing::error!(%error, "the backlog cannot be closed aside; it was closed at once");
            }
        }
    }

    /// The lane of a request; none where its class is not in the settings.
    pub fn lane(&self, destination: u64, class: &str) -> Option<Lane> {
        self.classes.get(class).map(|&class| Lane { destination, class })
    }

    /// Takes in what happened, and gives what is to be done.
    pub fn handle(&self, event: Event) -> Vec<Action> {
        let actions = self.planner.borrow_mut().handle(self.now(), event);
        self.changed.notify_one();
        actions
    }

    /// A request has arrived: its number, and what is to be done with it and with others.
    pub fn arrived(&self, lane: Lane, time_left: Duration) -> (ArrivalId, Vec<Action>) {
        let arrival = self.last_arrival.get() + 1;
        self.last_arrival.set(arrival);
        (arrival, self.handle(Event::Arrived { arrival, lane, time_left }))
    }

    /// A time as the planner has it.
    pub fn at(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.started)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Done when the planner is to be called with a tick.
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

    /// Whether messages of a destination wait on disk or are on their way there.
    pub fn has_queued(&self, destination: u64) -> bool {
        let figures = self.planner.borrow().stats(self.now(), destination);
        figures.is_some_and(|figures| figures.on_disk > 0)
    }

    /// The slowest operation of the store so far, or the one that is running.
    pub fn slowest(&self) -> Duration {
        self.watchdog.slowest()
    }

    /// Messages that wait on disk.
    pub fn on_disk(&self) -> u64 {
        self.planner.borrow().on_disk()
    }

    /// Changes how many requests of a destination are out in calls, and gives what is to be done.
    pub fn call_began(&self, destination: u64) -> Vec<Action> {
        let count = {
            let mut calls = self.calls_out.borrow_mut();
            let count = calls.entry(destination).or_default();
            *count += 1;
            *count
        };
        self.handle(Event::CallsInFlight { destination, count })
    }

    /// The reverse of [`Backlog::call_began`].
    pub fn call_ended(&self, destination: u64) -> Vec<Action> {
        let count = {
            let mut calls = self.calls_out.borrow_mut();
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

    /// A request that was fetched has its place at the decision module.
    pub fn entered(&self, destination: u64, message: MsgId) {
        self.fetched.borrow_mut().entry(destination).or_default().insert(message);
    }

    /// It has left that place.
    pub fn left(&self, destination: u64, message: MsgId) {
        let mut fetched = self.fetched.borrow_mut();
        if let Some(messages) = fetched.get_mut(&destination) {
            messages.remove(&message);
            if messages.is_empty() {
                fetched.remove(&destination);
            }
        }
    }

    /// Requests of a destination in memory that came from the store.
    pub fn fetched(&self, destination: u64) -> Vec<MsgId> {
        self.fetched.borrow().get(&destination).into_iter().flatten().copied().collect()
    }

    /// The request is in the store's queue when this returns, not only once the future is polled.
    fn ask<T, R>(&self, request: R) -> impl Future<Output = Result<T, StoreError>> + use<T, R>
    where
        R: FnOnce(&Worker) -> Result<ReplyReceiver<T>, Busy>,
    {
        let answer = match &*self.worker.borrow() {
            Some(worker) => request(worker).map_err(StoreError::from),
            None => Err(StoreError::Closed),
        };
        async move { answer?.await? }
    }

    /// Puts a message at the end of its lane. Where the store cannot say whether it did, it is asked: a message that is
    /// there was taken on.
    ///
    /// # Errors
    /// The message is not there, or nobody can say.
    pub async fn append(&self, message: NewMessage) -> Result<Position, StoreError> {
        let id = message.id.clone();
        let appended = self.ask(|worker| worker.append(vec![message])).await;
        match appended.map(|places| places.first().copied()) {
            Ok(Some(place)) => Ok(place),
            Ok(None) => Err(StoreError::Closed),
            Err(error @ (StoreError::Io(_) | StoreError::Closed)) => self.find(&id).await?.ok_or(error),
            Err(error) => Err(error),
        }
    }

    /// Where the message with this id waits.
    pub async fn find(&self, id: &str) -> Result<Option<Position>, StoreError> {
        self.ask(|worker| worker.find(id.into())).await
    }

    /// The first messages of a lane that nobody else is about to remove, at most `most`; whether the lane has no more.
    /// They are the caller's until it releases them.
    pub async fn claim_first(&self, lane: Lane, most: u32) -> Result<(Vec<StoredMessage>, bool), StoreError> {
        let mut after = None;
        loop {
            let read = self.ask(|worker| worker.fetch(lane, after, most as usize)).await?;
            let exhausted = read.len() < most as usize;
            after = read.last().map(|message| message.position.sequence);
            let claimed = self.claim(read);
            if exhausted || !claimed.is_empty() {
                return Ok((claimed, exhausted));
            }
        }
    }

    /// Messages whose time is over, the earliest deadlines first, at most `most`; whether there may be more. They are
    /// the caller's until it releases them.
    pub async fn claim_expired(&self, most: u32) -> Result<(Vec<StoredMessage>, bool), StoreError> {
        let now = unix_millis(clock::now());
        let read = self.ask(|worker| worker.due(now, most as usize)).await?;
        let more = read.len() == most as usize;
        Ok((self.claim(read), more))
    }

    /// Answers come in the order of the store's operations, so one that is no longer claimed here was read after its
    /// removal, or before it was claimed.
    fn claim(&self, read: Vec<StoredMessage>) -> Vec<StoredMessage> {
        let mut claimed = self.claimed.borrow_mut();
        read.into_iter().filter(|message| claimed.insert(message.position)).collect()
    }

    /// The store may have a message that was refused, or has said by now whether it does.
    pub fn set_in_doubt(&self, id: &str, doubt: bool) {
        let mut in_doubt = self.in_doubt.borrow_mut();
        if doubt {
            in_doubt.insert(id.to_owned());
        } else {
            in_doubt.remove(id);
        }
    }

    /// Whether the store may have a message that was refused.
    pub fn is_in_doubt(&self, id: &str) -> bool {
        self.in_doubt.borrow().contains(id)
    }

    /// Claims a message by its place; false if somebody else is about to remove it.
    pub fn claim_place(&self, place: Position) -> bool {
        self.claimed.borrow_mut().insert(place)
    }

    /// Messages that were claimed are removed, or left where they are.
    pub fn release(&self, messages: impl IntoIterator<Item = Position>) {
        let mut claimed = self.claimed.borrow_mut();
        messages.into_iter().for_each(|place| _ = claimed.remove(&place));
    }

    /// Removes messages, which may have been removed before.
    pub async fn remove(&self, places: Vec<Position>) -> Result<(), StoreError> {
        self.ask(|worker| worker.remove(places)).await
    }

    /// Puts messages back where they stood.
    pub async fn put_back(&self, messages: Vec<StoredMessage>) -> Result<(), StoreError> {
        self.ask(|worker| worker.put_back(messages)).await
    }

    /// Time until the earliest deadline.
    pub async fn earliest_end(&self) -> Result<Option<Duration>, StoreError> {
        let earliest = self.ask(|worker| worker.due(UnixMillis(u64::MAX), 1)).await?;
        Ok(earliest.first().map(|message| time_until(message.deadline)))
    }

    /// Writes and removes a message of the store's own.
    pub async fn probe(&self) -> Result<(), StoreError> {
        let now = unix_millis(clock::now());
        let probe = NewMessage {
            lane: PROBE_LANE,
            arrived: now,
            deadline: UnixMillis(u64::MAX),
            id: "probe".into(),
            payload: bytes::Bytes::new(),
        };
        let places = self.ask(|worker| worker.append(vec![probe])).await?;
        self.remove(places).await
    }

    /// What the store tells of itself.
    pub async fn overview(&self) -> Result<Overview, StoreError> {
        self.ask(Worker::overview).await
    }

    /// The bytes in use, as the planner wants to know them.
    pub async fn usage(&self) -> Result<Event, StoreError> {
        let used = self.ask(Worker::usage).await?.disk_bytes;
        self.figures.set(self.on_disk(), used, self.slowest());
        Ok(Event::Usage { used, quota: self.quota })
    }
}

/// How the planner sees a fault of the store.
pub fn fault_of(error: &StoreError) -> StoreFault {
    if matches!(error, StoreError::Full { .. }) { StoreFault::Full } else { StoreFault::Failing }
}

async fn ask<T>(request: Result<ReplyReceiver<T>, Busy>) -> Result<T, StoreError> {
    request?.await?
}

async fn open_worker(settings: &config::Backlog, owner: &str) -> Result<Worker, StoreError> {
    let config = Config {
        folder: settings.folder.clone(),
        owner: owner.to_owned(),
        memory_bytes: store_memory(settings),
        disk_bytes: settings.disk_bytes,
        sync: false,
    };
    let until = Instant::now() + OPEN_PATIENCE;
    loop {
        let config = config.clone();
        let open = move || {
            let open = move || {
                let store = LsmStore::open(config.clone())?;
                Ok(Box::new(store) as Box<dyn BacklogStore>)
            };
            Worker::start(Box::new(open), QUEUED_REQUESTS)
        };
        match tokio::task::spawn_blocking(open).await.map_err(|_| StoreError::Closed)? {
            Err(StoreError::InUse) if Instant::now() < until => sleep(OPEN_PAUSE).await,
            opened => return opened,
        }
    }
}

fn store_memory(settings: &config::Backlog) -> u64 {
    (settings.memory_bytes / STORE_MEMORY_SHARE).max(MIN_MEMORY_BYTES)
}

fn planner_settings(
    settings: &config::Backlog,
    most_in_memory: Option<u32>,
    class_worth: Vec<f64>,
) -> Settings {
    let left = settings.memory_bytes.saturating_sub(store_memory(settings));
    let held = most_in_memory.map_or(u64::MAX, |most| u64::from(most) * WINDOWS_SHARE.0 / WINDOWS_SHARE.1);
    let window_memory = left.min(held.saturating_mul(MESSAGE_MEMORY_BYTES));
    Settings { window_memory, class_worth, ..Settings::default() }
}

/// A time as the store has it.
pub fn unix_millis(at: SystemTime) -> UnixMillis {
    let since = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

fn time_until(deadline: UnixMillis) -> Duration {
    Duration::from_millis(deadline.0.saturating_sub(unix_millis(clock::now()).0))
}
