//! The state of each client connection, and which connections to close: by the policy, to make room, or because the process exits.
//! Touches no sockets; a connection to be closed is marked, and its task is woken.
use std::cell::{Cell, RefCell};
use std::fmt::Debug;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::task::Waker;
use std::time::{Duration, Instant};

/// How many new connections without a request are closed by one eviction. Guards against clients that reconnect faster than they
/// are evicted, so that a request behind them would wait in the accept queue for longer than its client does.
pub(super) const EVICTED_AT_ONCE: usize = 16;
/// Bound on the time in the accept queue that is charged to a request: no client waits longer for its response.
const MAX_QUEUED: Duration = Duration::from_millis(400);
/// How old a new connection without a request must be before it may be evicted: a submitter that connects sends at once.
const MIN_NEW_AGE: Duration = Duration::from_millis(30);
/// How long a connection must have had no open request before it may be evicted.
const MIN_IDLE_TIME: Duration = Duration::from_millis(2050);
/// How long a new connection may wait for its first bytes before a drain closes it.
const FIRST_BYTES_TIME: Duration = Duration::from_millis(300);
/// How long a request must have been read before it may be given up to free memory: an ordinary one is whole by then.
const MIN_READING_TIME: Duration = Duration::from_millis(100);
/// How many requests are given up at once.
const GIVEN_UP_AT_ONCE: usize = 4;
/// How long a closed connection may take to receive its last response.
pub(super) const CLOSE_GRACE: Duration = Duration::from_secs(1);

/// For how long a front lets connections stay open.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionPolicy {
    /// The first request must be complete within this time after the connection was accepted.
    pub first_request_timeout: Duration,
    /// A later request must be complete within this time after its first byte. `None` if the front enforces a time itself.
    pub request_timeout: Option<Duration>,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
    /// Which connections may be closed to make room for new ones.
    pub eviction: EvictionPolicy,
}

/// Which connections may be closed to make room for new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPolicy {
    /// Connections without an open request.
    IdleOnly,
    /// These, and connections whose first request is still incomplete.
    IdleOrIncomplete,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// No request is open.
    Idle,
    /// A request has begun to arrive.
    Reading,
    /// A request is complete and not answered yet.
    Serving,
}

/// Why a connection is closed from this side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Its request did not begin or was not complete in time.
    RequestTimeout,
    /// It was idle for too long.
    Idle,
    /// It makes room for a new connection.
    Evicted,
    /// Connections are being drained: they are closed between requests.
    Draining,
    /// The process is about to exit.
    Terminating,
    /// Its incomplete request takes memory that others need.
    NoMemory,
}

impl CloseReason {
    pub const ALL: [CloseReason; 6] = [
        CloseReason::RequestTimeout,
        CloseReason::Idle,
        CloseReason::Evicted,
        CloseReason::Draining,
        CloseReason::Terminating,
        CloseReason::NoMemory,
    ];

    /// The reason's name in figures.
    pub fn label(self) -> &'static str {
        match self {
            CloseReason::RequestTimeout => "request-timeout",
            CloseReason::Idle => "idle",
            CloseReason::Evicted => "evicted",
            CloseReason::Draining => "draining",
            CloseReason::Terminating => "terminating",
            CloseReason::NoMemory => "memory",
        }
    }
}

/// The state of a client connection.
pub struct ConnectionState {
    pub(super) phase: Cell<Phase>,
    /// When the phase began; while the first request arrives, when the connection was accepted.
    pub(super) since: Cell<Instant>,
    /// A request on it has been answered.
    pub(super) has_answered: Cell<bool>,
    /// When it was closed from this side; reading then yields end of file.
    pub(super) closed_at: Cell<Option<Instant>>,
    /// Its last response is written, and it only waits for the client to close.
    pub(super) lingering: Cell<bool>,
    /// Its permit is needed: it no longer waits for the client to close.
    pub(super) evicted: Cell<bool>,
    pub(super) waker: RefCell<Option<Waker>>,
    /// Why it was last closed from this side.
    pub(super) close_reason: Cell<Option<CloseReason>>,
    /// The front reads requests while others are open (HTTP/2), and ends the connection in order once it is closed from this side.
    pub(super) multiplexed: Cell<bool>,
    /// Something was read in this turn of a multiplexed connection's task.
    pub(super) has_read_in_turn: Cell<bool>,
    /// Complete requests that are not answered yet.
    pub(super) open_requests: Cell<u32>,
    /// Memory is charged for the request that is being read.
    pub(super) holds_memory: Cell<bool>,
    /// Numbers of complete requests and of responses.
    pub(super) requests: Cell<u32>,
    pub(super) answers: Cell<u32>,
    /// How long it may have been in the kernel's accept queue.
    pub(super) queued: Duration,
}

impl ConnectionState {
    pub(super) fn new(queued: Duration) -> Rc<Self> {
        Rc::new(ConnectionState {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(Instant::now()),
            has_answered: Cell::new(false),
            closed_at: Cell::new(None),
            lingering: Cell::new(false),
            evicted: Cell::new(false),
            waker: RefCell::new(None),
            close_reason: Cell::new(None),
            multiplexed: Cell::new(false),
            has_read_in_turn: Cell::new(false),
            open_requests: Cell::new(0),
            holds_memory: Cell::new(false),
            requests: Cell::new(0),
            answers: Cell::new(0),
            queued: queued.min(MAX_QUEUED),
        })
    }

    pub(super) fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
        self.holds_memory.set(false);
    }

    /// To be called once memory is charged for the request that is being read.
    pub fn memory_charged(&self) {
        self.holds_memory.set(true);
    }

    /// To be called once a request is complete and must be answered.
    pub fn request_complete(&self) {
        self.requests.set(self.requests.get() + 1);
        self.open_requests.set(self.open_requests.get() + 1);
        self.enter(Phase::Serving);
    }

    /// To be called when the response is about to be written.
    pub fn response_ready(&self) {
        self.answers.set(self.answers.get() + 1);
        self.has_answered.set(true);
        self.open_requests.set(self.open_requests.get().saturating_sub(1));
        if self.open_requests.get() == 0 {
            self.enter(Phase::Idle);
        }
    }

    /// To be called once it is certain that the front serves several requests at a time on this connection. From then on it is idle
    /// whenever no request is open, whatever else is received, and a close leaves it to the front to end it in order.
    pub fn multiplex(&self) {
        self.multiplexed.set(true);
        self.has_answered.set(true);
        self.enter(Phase::Idle);
    }

    /// A new turn of the task that serves this multiplexed connection: it may read again.
    pub fn begin_turn(&self) {
        self.has_read_in_turn.set(false);
    }

    /// Whether it was closed from this side.
    pub fn is_closed(&self) -> bool {
        self.closed_at.get().is_some()
    }

    /// Whether it was closed from this side for this reason.
    pub fn was_closed_for(&self, reason: CloseReason) -> bool {
        self.is_closed() && self.close_reason.get() == Some(reason)
    }

    /// Whether the time is over that the submitter had to take its last responses. A multiplexed connection serves open requests
    /// to their end.
    pub(super) fn is_expired(&self) -> bool {
        let serves = self.multiplexed.get() && self.phase.get() == Phase::Serving;
        !serves && self.closed_at.get().is_some_and(|closed_at| closed_at.elapsed() >= CLOSE_GRACE)
    }

    /// Logs how the connection ended, unless the client closed it between requests and nothing went wrong.
    pub(super) fn log_end(&self, client: SocketAddr, error: Option<impl Debug>) {
        let (requests, answers) = (self.requests.get(), self.answers.get());
        let (reason, queued) =
            (self.close_reason.get().filter(|_| self.closed_at.get().is_some()), self.queued);
        let error = error.map(|error| format!("{error:?}"));
        if reason.is_some() || error.is_some() || requests > answers {
            tracing::debug!(%client, ?reason, requests, answers, ?queued, error, "a client connection has ended");
        }
    }

    pub fn bytes_received(&self) {
        if self.phase.get() == Phase::Idle && !self.multiplexed.get() {
            let accepted_at = self.since.get();
            self.enter(Phase::Reading);
            if !self.has_answered.get() {
                self.since.set(accepted_at);
            }
        }
    }

    /// How long the current request may have been in the accept queue. Only the first request of a connection can have been there.
    pub fn queued(&self) -> Duration {
        if self.has_answered.get() { Duration::ZERO } else { self.queued }
    }

    pub(super) fn close(&self, now: Instant, reason: CloseReason) {
        self.close_reason.set(Some(reason));
        self.closed_at.set(Some(now));
        self.wake();
    }

    pub(super) fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Whether a time limit of the front's policy is exceeded.
    pub(super) fn is_overdue(&self, now: Instant, policy: &ConnectionPolicy) -> bool {
        let limit = match (self.phase.get(), self.has_answered.get()) {
            (Phase::Idle, false) => Some(policy.first_request_timeout),
            (Phase::Idle, true) => Some(policy.idle_timeout),
            (Phase::Reading, false) => policy.request_timeout.map(|_| policy.first_request_timeout),
            (Phase::Reading, true) => policy.request_timeout,
            (Phase::Serving, _) => None,
        };
        limit.is_some_and(|limit| now >= self.since.get() + limit)
    }

    /// Whether a drain may close it.
    pub(super) fn may_drain(&self, now: Instant) -> bool {
        if self.multiplexed.get() {
            // What it has sent by then is still answered.
            return self.requests.get() > 0 || now >= self.since.get() + FIRST_BYTES_TIME;
        }
        let min_age = if self.has_answered.get() { Duration::ZERO } else { FIRST_BYTES_TIME };
        self.phase.get() == Phase::Idle && now >= self.since.get() + min_age
    }

    /// Whether its request may be given up to free memory.
    pub(super) fn may_give_up(&self, now: Instant) -> bool {
        let reads = self.phase.get() == Phase::Reading && self.holds_memory.get();
        reads && !self.is_closed() && now >= self.since.get() + MIN_READING_TIME
    }

    /// Whether it may be closed to make room for a new connection.
    pub(super) fn may_evict(&self, now: Instant, eviction: EvictionPolicy) -> bool {
        let min_age = if self.has_answered.get() { MIN_IDLE_TIME } else { MIN_NEW_AGE };
        let evictable = match self.phase.get() {
            Phase::Idle => true,
            Phase::Reading => eviction == EvictionPolicy::IdleOrIncomplete && !self.has_answered.get(),
            Phase::Serving => false,
        };
        evictable && self.closed_at.get().is_none() && now >= self.since.get() + min_age
    }
}

/// A complete request that is to be answered; it counts as answered when this is dropped.
pub struct OpenRequest(Rc<ConnectionState>);

impl OpenRequest {
    pub fn begin(state: &Rc<ConnectionState>) -> OpenRequest {
        state.request_complete();
        OpenRequest(state.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.response_ready();
    }
}

/// The open connections of a front.
#[derive(Default)]
pub(super) struct OpenConnections(RefCell<Vec<Weak<ConnectionState>>>);

impl OpenConnections {
    pub(super) fn add(&self, queued: Duration) -> Rc<ConnectionState> {
        let state = ConnectionState::new(queued);
        self.0.borrow_mut().push(Rc::downgrade(&state));
        state
    }

    pub(super) fn all(&self) -> Vec<Rc<ConnectionState>> {
        let mut states = self.0.borrow_mut();
        states.retain(|state| state.strong_count() > 0);
        states.iter().filter_map(Weak::upgrade).collect()
    }

    /// Closes connections that exceed a time limit, or that a drain or the process's exit closes. Guards against clients that send
    /// an incomplete request or none, or that leave connections open forever.
    pub(super) fn close_expired(
        &self,
        now: Instant,
        policy: &ConnectionPolicy,
        draining: bool,
        terminating: bool,
    ) {
        let reason_to_close = |state: &ConnectionState| match () {
            () if state.is_overdue(now, policy)
                && state.has_answered.get()
                && state.phase.get() == Phase::Idle =>
            {
                Some(CloseReason::Idle)
            }
            () if state.is_overdue(now, policy) => Some(CloseReason::RequestTimeout),
            () if draining && state.may_drain(now) => Some(CloseReason::Draining),
            () if terminating && (state.multiplexed.get() || state.phase.get() != Phase::Serving) => {
                Some(CloseReason::Terminating)
            }
            () => None,
        };
        for state in self.all().into_iter().filter(|state| state.closed_at.get().is_none()) {
            reason_to_close(&state).into_iter().for_each(|reason| state.close(now, reason));
        }
        // The task of a client that does not read its last response either is woken, so that it drops the connection.
        let stuck = self
            .all()
            .into_iter()
            .filter(|state| state.closed_at.get().is_some_and(|closed_at| now >= closed_at + CLOSE_GRACE));
        stuck.for_each(|state| state.wake());
    }

    /// Gives up the incomplete requests that take memory and have been read for the longest time.
    pub(super) fn give_up_requests(&self, now: Instant) {
        let mut candidates: Vec<_> = self.all().into_iter().filter(|state| state.may_give_up(now)).collect();
        candidates.sort_by_key(|state| state.since.get());
        candidates.iter().take(GIVEN_UP_AT_ONCE).for_each(|state| state.close(now, CloseReason::NoMemory));
    }

    /// Makes room for new connections: closes one that lingers, else several that never sent a request, else one that is idle after
    /// an answered request. Guards against hundreds of silent connections that keep submitters out.
    pub(super) fn evict(&self, now: Instant, eviction: EvictionPolicy) {
        // A lingering connection has no request left to serve.
        if let Some(state) =
            self.all().into_iter().find(|state| state.lingering.get() && !state.evicted.get())
        {
            state.evicted.set(true);
            return state.wake();
        }
        // These make room as soon as their clients have answered.
        let closing = |state: &Rc<ConnectionState>| state.multiplexed.get() && state.is_closed();
        if self.all().iter().filter(|state| closing(state)).count() >= EVICTED_AT_ONCE {
            return;
        }
        let mut candidates: Vec<_> =
            self.all().into_iter().filter(|state| state.may_evict(now, eviction)).collect();
        // Connections without an answered request first, then the longest idle.
        candidates.sort_by_key(|state| (state.has_answered.get(), state.since.get()));
        let is_silent =
            |state: &Rc<ConnectionState>| !state.has_answered.get() && state.phase.get() == Phase::Idle;
        let silent = candidates.iter().take_while(|state| is_silent(state)).count().min(EVICTED_AT_ONCE);
        candidates.iter().take(silent.max(1)).for_each(|state| state.close(now, CloseReason::Evicted));
    }
}
