//! What is known of each client's connection, and which are to be closed: by the policy, to make room, as the process ends. No sockets
//! here; a connection that is to be closed is marked and woken.
use std::cell::{Cell, RefCell};
use std::fmt::Debug;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::task::Waker;
use std::time::{Duration, Instant};

/// Silent new connections that are closed at one such look. Guards against a crowd of them that comes again faster than it is sent
/// away, behind which a request would stand for longer than its client waits.
pub(super) const ROOM_AT_ONCE: usize = 16;
/// No client waits longer for its answer: what stood in the queue for longer is nobody's any more.
const LONGEST_QUEUED: Duration = Duration::from_millis(400);
/// A new connection may be silent for so long before it has to make room: a submitter that opens one sends at
/// once.
const ROOM_SILENT: Duration = Duration::from_millis(30);
/// A connection without an open request may be closed once it has been one for so long.
const ROOM_IDLE: Duration = Duration::from_millis(2050);
/// A new connection is not sent away before it has had so long for its first word.
const FIRST_WORD: Duration = Duration::from_millis(300);
/// What is closed has so long to take its last answer.
pub(super) const FAREWELL: Duration = Duration::from_secs(1);

/// What a front lets connections do.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionPolicy {
    /// The first request must be whole within this time of connecting.
    pub first_request_timeout: Duration,
    /// A later one must be whole within this time of its first byte; unless set, the front sees to it itself.
    pub request_timeout: Option<Duration>,
    /// A connection may stand idle for so long.
    pub idle_timeout: Duration,
    /// What makes room for the next connection where there is none.
    pub eviction: EvictionPolicy,
}

/// Which connections make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPolicy {
    /// Those on which no request is open.
    IdleOnly,
    /// Those on which the first request is not whole, too.
    IdleOrIncomplete,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// No request is open.
    Waiting,
    /// A request is coming in.
    Reading,
    /// A request is whole and has no answer yet.
    Serving,
}

/// Why a connection is closed from this side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Its request was not whole in time, or did not begin.
    TooSlow,
    /// It stood idle for too long.
    Idle,
    /// Its place is wanted.
    MakesRoom,
    /// Clients are sent away between requests.
    SentAway,
    /// The process is about to end.
    ProcessEnds,
}

/// What is known of a connection.
pub struct ConnectionState {
    pub(super) phase: Cell<Phase>,
    /// When the phase began; while the first request comes in, when it was connected.
    pub(super) since: Cell<Instant>,
    /// It has had an answer.
    pub(super) known: Cell<bool>,
    /// When it was closed from this side: from then on it reads as ended.
    pub(super) closed: Cell<Option<Instant>>,
    /// Its last answer is written, and only its client's close is waited for.
    pub(super) parting: Cell<bool>,
    /// Its place is wanted.
    pub(super) hurried: Cell<bool>,
    pub(super) waker: RefCell<Option<Waker>>,
    /// Why it was last closed from this side.
    pub(super) reason: Cell<Option<CloseReason>>,
    /// Requests that were whole, and answers.
    pub(super) requests: Cell<u32>,
    pub(super) answers: Cell<u32>,
    /// How long it may have stood in the system's queue before it was taken.
    pub(super) queued: Duration,
}

impl ConnectionState {
    pub(super) fn new(queued: Duration) -> Rc<Self> {
        Rc::new(ConnectionState {
            phase: Cell::new(Phase::Waiting),
            since: Cell::new(Instant::now()),
            known: Cell::new(false),
            closed: Cell::new(None),
            parting: Cell::new(false),
            hurried: Cell::new(false),
            waker: RefCell::new(None),
            reason: Cell::new(None),
            requests: Cell::new(0),
            answers: Cell::new(0),
            queued: queued.min(LONGEST_QUEUED),
        })
    }

    pub(super) fn turn(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// A request is whole; its answer is owed now.
    pub fn serving(&self) {
        self.requests.set(self.requests.get() + 1);
        self.turn(Phase::Serving);
    }

    /// The answer is about to be written.
    pub fn answered(&self) {
        self.answers.set(self.answers.get() + 1);
        self.known.set(true);
        self.turn(Phase::Waiting);
    }

    /// Tells the log how the connection ended.
    pub(super) fn tell_end(&self, client: SocketAddr, error: Option<impl Debug>) {
        let (requests, answers) = (self.requests.get(), self.answers.get());
        let (reason, queued) = (self.reason.get().filter(|_| self.closed.get().is_some()), self.queued);
        let error = error.map(|error| format!("{error:?}"));
        // Nothing was owed, and nothing went wrong, where a client leaves between requests.
        if reason.is_some() || error.is_some() || requests > answers {
            tracing::debug!(%client, ?reason, requests, answers, ?queued, error, "a client's connection ends");
        }
    }

    pub(super) fn came(&self) {
        if self.phase.get() == Phase::Waiting {
            let connected = self.since.get();
            self.turn(Phase::Reading);
            if !self.known.get() {
                self.since.set(connected);
            }
        }
    }

    /// How long its present request may have waited to be read: the first came with the connection at the earliest.
    pub fn queued(&self) -> Duration {
        if self.known.get() { Duration::ZERO } else { self.queued }
    }

    pub(super) fn close(&self, now: Instant, reason: CloseReason) {
        self.reason.set(Some(reason));
        self.closed.set(Some(now));
        self.wake();
    }

    pub(super) fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Whether its time is up by its front's policy.
    pub(super) fn overdue(&self, now: Instant, policy: &ConnectionPolicy) -> bool {
        let most = match (self.phase.get(), self.known.get()) {
            (Phase::Waiting, false) => Some(policy.first_request_timeout),
            (Phase::Waiting, true) => Some(policy.idle_timeout),
            (Phase::Reading, false) => policy.request_timeout.map(|_| policy.first_request_timeout),
            (Phase::Reading, true) => policy.request_timeout,
            (Phase::Serving, _) => None,
        };
        most.is_some_and(|most| now >= self.since.get() + most)
    }

    /// Whether it may be closed since all are sent away.
    pub(super) fn may_leave(&self, now: Instant) -> bool {
        let least = if self.known.get() { Duration::ZERO } else { FIRST_WORD };
        self.phase.get() == Phase::Waiting && now >= self.since.get() + least
    }

    /// Whether it may be closed in favour of another.
    pub(super) fn may_make_room(&self, now: Instant, yields: EvictionPolicy) -> bool {
        let least = if self.known.get() { ROOM_IDLE } else { ROOM_SILENT };
        let waits = match self.phase.get() {
            Phase::Waiting => true,
            Phase::Reading => yields == EvictionPolicy::IdleOrIncomplete && !self.known.get(),
            Phase::Serving => false,
        };
        waits && self.closed.get().is_none() && now >= self.since.get() + least
    }
}

/// The connections that a front has.
#[derive(Default)]
pub(super) struct OpenConnections(RefCell<Vec<Weak<ConnectionState>>>);

impl OpenConnections {
    pub(super) fn add(&self, queued: Duration) -> Rc<ConnectionState> {
        let seen = ConnectionState::new(queued);
        self.0.borrow_mut().push(Rc::downgrade(&seen));
        seen
    }

    pub(super) fn here(&self) -> Vec<Rc<ConnectionState>> {
        let mut guests = self.0.borrow_mut();
        guests.retain(|seen| seen.strong_count() > 0);
        guests.iter().filter_map(Weak::upgrade).collect()
    }

    /// Closes what has overstayed. Guards against connections that send half a request or none, or were left
    /// open for good.
    pub(super) fn look(&self, now: Instant, policy: &ConnectionPolicy, leaving: bool, ending: bool) {
        let over = |seen: &ConnectionState| match () {
            () if seen.overdue(now, policy) && seen.known.get() && seen.phase.get() == Phase::Waiting => {
                Some(CloseReason::Idle)
            }
            () if seen.overdue(now, policy) => Some(CloseReason::TooSlow),
            () if leaving && seen.may_leave(now) => Some(CloseReason::SentAway),
            () if ending && seen.phase.get() != Phase::Serving => Some(CloseReason::ProcessEnds),
            () => None,
        };
        for seen in self.here().into_iter().filter(|seen| seen.closed.get().is_none()) {
            over(&seen).into_iter().for_each(|reason| seen.close(now, reason));
        }
        // One that takes no bytes from us either is woken to be dropped.
        let stuck = self.here().into_iter().filter(|s| s.closed.get().is_some_and(|c| now >= c + FAREWELL));
        stuck.for_each(|seen| seen.wake());
    }

    /// Closes connections that are not in use: several that never asked anything, or one that did. Guards against hundreds of
    /// silent ones keeping submitters out.
    pub(super) fn make_room(&self, now: Instant, yields: EvictionPolicy) {
        // One that only waits for its client to close has nothing more to give.
        if let Some(seen) = self.here().into_iter().find(|seen| seen.parting.get() && !seen.hurried.get()) {
            seen.hurried.set(true);
            return seen.wake();
        }
        let mut may: Vec<_> =
            self.here().into_iter().filter(|seen| seen.may_make_room(now, yields)).collect();
        // Those that never asked anything first, then the longest idle.
        may.sort_by_key(|seen| (seen.known.get(), seen.since.get()));
        let silent = |seen: &Rc<ConnectionState>| !seen.known.get() && seen.phase.get() == Phase::Waiting;
        let several = may.iter().take_while(|seen| silent(seen)).count().min(ROOM_AT_ONCE);
        may.iter().take(several.max(1)).for_each(|seen| seen.close(now, CloseReason::MakesRoom));
    }
}
