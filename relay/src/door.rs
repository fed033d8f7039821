//! Takes submitters' connections for a front: as many at once as there are places, each for as long as it
//! keeps its manners. One that says nothing, or no longer, makes room for the next.
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory};
use futures_util::FutureExt;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::fmt::Debug;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// After a connection could not be taken, above all for want of descriptors.
const PAUSE: Duration = Duration::from_millis(20);
/// Once no more are to be taken, those that wait in the system's queue are taken for so long at most.
const LAST_TAKEN: Duration = Duration::from_millis(200);
/// How often connections are looked at.
const LOOK: Duration = Duration::from_millis(100);
/// While all places are taken, it is looked for one to make free as often as this.
const ROOM_LOOK: Duration = Duration::from_millis(5);
/// Silent new connections that are closed at one such look. Guards against a crowd of them that comes again faster than it is sent
/// away, behind which a request would stand for longer than its client waits.
const ROOM_AT_ONCE: usize = 16;
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
const FAREWELL: Duration = Duration::from_secs(1);
/// An answer may still be on its way to the client for so long after it was written.
const LINGER: Duration = Duration::from_millis(500);

/// What a front lets connections do.
#[derive(Clone, Copy, Debug)]
pub struct Manners {
    /// The first request must be whole within this time of connecting.
    pub first: Duration,
    /// A later one must be whole within this time of its first byte; unless set, the front sees to it itself.
    pub whole: Option<Duration>,
    /// A connection may stand idle for so long.
    pub idle: Duration,
    /// What makes room for the next connection where there is none.
    pub yields: Yields,
}

/// Which connections make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Yields {
    /// Those on which no request is open.
    Silent,
    /// Those on which the first request is not whole, too.
    Unfinished,
}

/// How many connections there may be; the number may change while they are taken.
pub struct Places {
    free: Arc<Semaphore>,
    number: Cell<usize>,
    /// From then on connections are closed between requests.
    leaving: Cell<Option<Instant>>,
    /// The process is about to end: what is not a whole request by now is not waited for.
    ending: Cell<bool>,
    /// No more connections are taken.
    shut: CancellationToken,
}

impl Places {
    pub fn new(number: usize) -> Self {
        Places {
            free: Arc::new(Semaphore::new(number)),
            number: Cell::new(number),
            leaving: Cell::new(None),
            ending: Cell::new(false),
            shut: CancellationToken::new(),
        }
    }

    /// From that time on connections are closed between requests, or not any more.
    pub fn leave(&self, from: Option<Instant>) {
        self.leaving.set(from);
    }

    /// The process is about to end: connections on which no whole request is open are closed.
    pub fn end(&self) {
        self.ending.set(true);
    }

    /// No connection is left.
    pub fn is_empty(&self) -> bool {
        self.free.available_permits() >= self.number.get()
    }

    /// No more connections are taken; those that there are go on.
    pub fn shut(&self) {
        self.shut.cancel();
    }

    /// Most places are taken. What is answered from then on should say that its connection ends: guards against
    /// submitters that ask once and stay, of whom more may come in the 2 s for which each must be let be than
    /// there are places.
    pub fn crowded(&self) -> bool {
        self.free.available_permits() * 2 < self.number.get()
    }

    /// Sets the number. Places that are taken and too many go as their connections end.
    pub fn set(&self, number: usize) {
        let old = self.number.replace(number);
        self.free.add_permits(number.saturating_sub(old));
        let surplus = old.saturating_sub(number);
        let free = self.free.clone();
        actix_rt::spawn(async move {
            for _ in 0..surplus {
                free.acquire().await.into_iter().for_each(|place| place.forget());
            }
        });
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
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
pub struct Seen {
    phase: Cell<Phase>,
    /// When the phase began; while the first request comes in, when it was connected.
    since: Cell<Instant>,
    /// It has had an answer.
    known: Cell<bool>,
    /// When it was closed from this side: from then on it reads as ended.
    closed: Cell<Option<Instant>>,
    /// Its last answer is written, and only its client's close is waited for.
    parting: Cell<bool>,
    /// Its place is wanted.
    hurried: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    /// Why it was last closed from this side.
    reason: Cell<Option<CloseReason>>,
    /// Requests that were whole, and answers.
    requests: Cell<u32>,
    answers: Cell<u32>,
    /// How long it may have stood in the system's queue before it was taken.
    queued: Duration,
}

impl Seen {
    fn new(queued: Duration) -> Rc<Self> {
        Rc::new(Seen {
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

    fn turn(&self, phase: Phase) {
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
    fn tell_end(&self, client: SocketAddr, error: Option<impl Debug>) {
        let (requests, answers) = (self.requests.get(), self.answers.get());
        let (reason, queued) = (self.reason.get().filter(|_| self.closed.get().is_some()), self.queued);
        let error = error.map(|error| format!("{error:?}"));
        // Nothing was owed, and nothing went wrong, where a client leaves between requests.
        if reason.is_some() || error.is_some() || requests > answers {
            tracing::debug!(%client, ?reason, requests, answers, ?queued, error, "a client's connection ends");
        }
    }

    fn came(&self) {
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

    fn close(&self, now: Instant, reason: CloseReason) {
        self.reason.set(Some(reason));
        self.closed.set(Some(now));
        self.wake();
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Whether its time is up by its front's manners.
    fn overdue(&self, now: Instant, manners: &Manners) -> bool {
        let most = match (self.phase.get(), self.known.get()) {
            (Phase::Waiting, false) => Some(manners.first),
            (Phase::Waiting, true) => Some(manners.idle),
            (Phase::Reading, false) => manners.whole.map(|_| manners.first),
            (Phase::Reading, true) => manners.whole,
            (Phase::Serving, _) => None,
        };
        most.is_some_and(|most| now >= self.since.get() + most)
    }

    /// Whether it may be closed since all are sent away.
    fn may_leave(&self, now: Instant) -> bool {
        let least = if self.known.get() { Duration::ZERO } else { FIRST_WORD };
        self.phase.get() == Phase::Waiting && now >= self.since.get() + least
    }

    /// Whether it may be closed in favour of another.
    fn may_make_room(&self, now: Instant, yields: Yields) -> bool {
        let least = if self.known.get() { ROOM_IDLE } else { ROOM_SILENT };
        let waits = match self.phase.get() {
            Phase::Waiting => true,
            Phase::Reading => yields == Yields::Unfinished && !self.known.get(),
            Phase::Serving => false,
        };
        waits && self.closed.get().is_none() && now >= self.since.get() + least
    }
}

/// The connections that a front has.
#[derive(Default)]
struct Guests(RefCell<Vec<Weak<Seen>>>);

impl Guests {
    fn add(&self, queued: Duration) -> Rc<Seen> {
        let seen = Seen::new(queued);
        self.0.borrow_mut().push(Rc::downgrade(&seen));
        seen
    }

    fn here(&self) -> Vec<Rc<Seen>> {
        let mut guests = self.0.borrow_mut();
        guests.retain(|seen| seen.strong_count() > 0);
        guests.iter().filter_map(Weak::upgrade).collect()
    }

    /// Closes what has overstayed. Guards against connections that send half a request or none, or were left
    /// open for good.
    fn look(&self, now: Instant, manners: &Manners, leaving: bool, ending: bool) {
        let over = |seen: &Seen| match () {
            () if seen.overdue(now, manners) && seen.known.get() && seen.phase.get() == Phase::Waiting => {
                Some(CloseReason::Idle)
            }
            () if seen.overdue(now, manners) => Some(CloseReason::TooSlow),
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
    fn make_room(&self, now: Instant, yields: Yields) {
        // One that only waits for its client to close has nothing more to give.
        if let Some(seen) = self.here().into_iter().find(|seen| seen.parting.get() && !seen.hurried.get()) {
            seen.hurried.set(true);
            return seen.wake();
        }
        let mut may: Vec<_> =
            self.here().into_iter().filter(|seen| seen.may_make_room(now, yields)).collect();
        // Those that never asked anything first, then the longest idle.
        may.sort_by_key(|seen| (seen.known.get(), seen.since.get()));
        let silent = |seen: &Rc<Seen>| !seen.known.get() && seen.phase.get() == Phase::Waiting;
        let several = may.iter().take_while(|seen| silent(seen)).count().min(ROOM_AT_ONCE);
        may.iter().take(several.max(1)).for_each(|seen| seen.close(now, CloseReason::MakesRoom));
    }
}

/// A submitter's connection, from its taking to its close.
struct Guest {
    stream: RefCell<TcpStream>,
    seen: Rc<Seen>,
    /// When something was last written to it.
    spoken: Cell<Option<Instant>>,
    /// Its server has read its end.
    over: Cell<bool>,
    _place: OwnedSemaphorePermit,
}

impl Guest {
    /// Whether something has come that nobody has read. Asks the system, not the runtime, which may not have looked yet.
    fn has_unread(&self) -> bool {
        let peeked = SockRef::from(&*self.stream.borrow()).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_ok_and(|bytes| bytes > 0)
    }

    /// Whether its server is to read on; once not, never again. A connection that was closed between requests stays open if the next one has
    /// come before that; of one that came too slowly, what is here is taken into account.
    fn reads_on(&self) -> bool {
        let Some(closed) = self.seen.closed.get() else { return true };
        if self.over.get() || closed.elapsed() >= FAREWELL || !self.has_unread() {
            self.over.set(true);
            return false;
        }
        if self.seen.phase.get() == Phase::Waiting {
            self.seen.closed.set(None);
        }
        true
    }

    /// Ends the connection. Where something was answered a moment ago, writing ends first, and the client has its time to take the
    /// answer and to close as well. Nothing is read meanwhile: a request that crosses the close is the client's to send again, and
    /// one that was read and never answered is lost. Guards against a close over unread bytes, which resets the connection and may
    /// take the answer with it.
    async fn part(self) {
        let Guest { stream, seen, spoken, over: _, _place } = self;
        let mut stream = stream.into_inner();
        if spoken.get().is_none_or(|at| at.elapsed() >= LINGER) || stream.shutdown().await.is_err() {
            return;
        }
        seen.closed.set(Some(Instant::now()));
        seen.parting.set(true);
        let mut crossed = false;
        let gone = poll_fn(|cx| {
            *seen.waker.borrow_mut() = Some(cx.waker().clone());
            if seen.hurried.get() {
                return Poll::Ready(());
            }
            if crossed {
                return Poll::Pending;
            }
            let mut room = [0; 1];
            match ready!(stream.poll_peek(cx, &mut ReadBuf::new(&mut room))) {
                // What is behind it, the client's close among it, cannot be seen without reading it.
                Ok(bytes) if bytes > 0 => {
                    crossed = true;
                    Poll::Pending
                }
                _ => Poll::Ready(()),
            }
        });
        let _ = timeout(LINGER, gone).await;
    }
}

/// A submitter's connection, as the server sees it.
pub struct Gate(Rc<Guest>);

impl Gate {
    pub fn seen(&self) -> Rc<Seen> {
        self.0.seen.clone()
    }

    fn wake_with(&self, cx: &Context<'_>) {
        *self.0.seen.waker.borrow_mut() = Some(cx.waker().clone());
    }

    fn gone(&self) -> bool {
        self.0.seen.closed.get().is_some_and(|closed| closed.elapsed() >= FAREWELL)
    }

    fn with<T>(&self, act: impl FnOnce(Pin<&mut TcpStream>) -> T) -> T {
        act(Pin::new(&mut *self.0.stream.borrow_mut()))
    }
}

impl AsyncRead for Gate {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.wake_with(cx);
        if !self.0.reads_on() {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let read = self.with(|stream| stream.poll_read(cx, buf));
        if read.is_ready() && buf.filled().len() > before {
            self.0.seen.came();
        }
        read
    }
}

impl AsyncWrite for Gate {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.wake_with(cx);
        if self.gone() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let written = self.with(|stream| stream.poll_write(cx, buf));
        if written.is_ready() {
            self.0.spoken.set(Some(Instant::now()));
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_shutdown(cx))
    }
}

/// Takes connections, each for a free place.
pub async fn accept<F>(listener: TcpListener, places: Rc<Places>, manners: Manners, factory: F)
where
    F: ServiceFactory<(Gate, Option<SocketAddr>), Config = (), InitError = ()>,
    F::Service: 'static,
    F::Error: Debug,
{
    let Ok(service) = factory.new_service(()).await else {
        tracing::error!("cannot serve submitters");
        return;
    };
    let service = Rc::new(service);
    let guests = Rc::new(Guests::default());
    let looking = async {
        loop {
            sleep(LOOK).await;
            let now = Instant::now();
            let leaving = places.leaving.get().is_some_and(|from| now >= from);
            guests.look(now, &manners, leaving, places.ending.get());
        }
    };
    let taking = async {
        // Dropped with this, not with what looks after connections.
        let listener = listener;
        // Since when something may have stood in the queue of connections; none once it was seen empty.
        let mut unseen = None;
        loop {
            let since = *unseen.get_or_insert_with(Instant::now);
            let place = loop {
                match timeout(ROOM_LOOK, places.free.clone().acquire_owned()).await {
                    Ok(Ok(place)) => break place,
                    Ok(Err(_)) => return,
                    Err(_) => guests.make_room(Instant::now(), manners.yields),
                }
            };
            let mut waited = false;
            let mut accept = poll_fn(|cx| {
                let accepted = listener.poll_accept(cx);
                waited |= accepted.is_pending();
                accepted
            });
            let taken = tokio::select! {
                biased;
                accepted = &mut accept => Some(accepted),
                // What has come by now is taken: with the listener it would be reset, and its request lost.
                () = places.shut.cancelled() => {
                    yield_now().await;
                    yield_now().await;
                    accept.now_or_never()
                }
            };
            let Some(accepted) = taken else { return };
            let queued = if waited { Duration::ZERO } else { since.elapsed() };
            unseen = unseen.filter(|_| !waited);
            match accepted {
                Ok((stream, address)) => {
                    let _ = stream.set_nodelay(true);
                    let (stream, seen) = (RefCell::new(stream), guests.add(queued));
                    let guest = Rc::new(Guest {
                        stream,
                        seen,
                        spoken: Cell::new(None),
                        over: Cell::new(false),
                        _place: place,
                    });
                    let service = service.clone();
                    actix_rt::spawn(async move {
                        let served = service.call((Gate(guest.clone()), Some(address))).await;
                        guest.seen.tell_end(address, served.err());
                        // Its server has let it go.
                        if let Some(guest) = Rc::into_inner(guest) {
                            guest.part().await;
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "cannot take a connection");
                    sleep(PAUSE).await;
                }
            }
        }
    };
    // Its end drops the listener, while connections are looked after.
    let shut = async {
        places.shut.cancelled().await;
        sleep(LAST_TAKEN).await;
    };
    tokio::join!(looking, async move {
        tokio::select! {
            () = taking => {}
            () = shut => {}
        }
    });
}

#[cfg(test)]
mod tests;
