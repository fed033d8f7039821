//! Takes submitters' connections for a front: as many at once as there are places, each for as long as it
//! keeps its manners. One that says nothing, or no longer, makes room for the next.
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory};
use std::cell::{Cell, RefCell};
use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// After a connection could not be taken, above all for want of descriptors.
const PAUSE: Duration = Duration::from_millis(20);
/// How often connections are looked at.
const LOOK: Duration = Duration::from_millis(100);
/// While all places are taken, it is looked for one to make free as often as this.
const ROOM_LOOK: Duration = Duration::from_millis(5);
/// A new connection may be silent for so long before it has to make room: a submitter that opens one sends at
/// once.
const ROOM_SILENT: Duration = Duration::from_millis(30);
/// A connection without an open request may be closed once it has been one for so long.
const ROOM_IDLE: Duration = Duration::from_millis(2050);
/// A new connection is not sent away before it has had so long for its first word.
const FIRST_WORD: Duration = Duration::from_millis(300);
/// What is closed has so long to take its last answer.
const FAREWELL: Duration = Duration::from_secs(1);

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
    /// No more connections are taken.
    shut: CancellationToken,
}

impl Places {
    pub fn new(number: usize) -> Self {
        Places {
            free: Arc::new(Semaphore::new(number)),
            number: Cell::new(number),
            leaving: Cell::new(None),
            shut: CancellationToken::new(),
        }
    }

    /// From that time on connections are closed between requests, or not any more.
    pub fn leave(&self, from: Option<Instant>) {
        self.leaving.set(from);
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

/// What is known of a connection.
pub struct Seen {
    phase: Cell<Phase>,
    /// When the phase began; while the first request comes in, when it was connected.
    since: Cell<Instant>,
    /// It has had an answer.
    known: Cell<bool>,
    /// When it was closed from this side: from then on it reads as ended.
    closed: Cell<Option<Instant>>,
    waker: RefCell<Option<Waker>>,
}

impl Seen {
    fn new() -> Rc<Self> {
        Rc::new(Seen {
            phase: Cell::new(Phase::Waiting),
            since: Cell::new(Instant::now()),
            known: Cell::new(false),
            closed: Cell::new(None),
            waker: RefCell::new(None),
        })
    }

    fn turn(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// A request is whole; its answer is owed now.
    pub fn serving(&self) {
        self.turn(Phase::Serving);
    }

    /// The answer is about to be written.
    pub fn answered(&self) {
        self.known.set(true);
        self.turn(Phase::Waiting);
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

    fn close(&self, now: Instant) {
        self.closed.set(Some(now));
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
    fn add(&self) -> Rc<Seen> {
        let seen = Seen::new();
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
    fn look(&self, now: Instant, manners: &Manners, leaving: bool) {
        let is_over = |seen: &Seen| seen.overdue(now, manners) || leaving && seen.may_leave(now);
        let overdue = self.here().into_iter().filter(|seen| seen.closed.get().is_none() && is_over(seen));
        overdue.for_each(|seen| seen.close(now));
        // One that takes no bytes from us either is woken to be dropped.
        let stuck = self.here().into_iter().filter(|s| s.closed.get().is_some_and(|c| now >= c + FAREWELL));
        stuck.for_each(|seen| seen.waker.take().into_iter().for_each(Waker::wake));
    }

    /// Closes one connection that is not in use. Guards against hundreds of silent ones keeping submitters out.
    fn make_room(&self, now: Instant, yields: Yields) {
        let may = self.here().into_iter().filter(|seen| seen.may_make_room(now, yields));
        // Those that never asked anything first, then the longest idle.
        if let Some(seen) = may.min_by_key(|seen| (seen.known.get(), seen.since.get())) {
            seen.close(now);
        }
    }
}

/// A submitter's connection, as the server sees it.
pub struct Gate {
    stream: TcpStream,
    seen: Rc<Seen>,
    _place: OwnedSemaphorePermit,
}

impl Gate {
    pub fn seen(&self) -> Rc<Seen> {
        self.seen.clone()
    }

    fn wake_with(&self, cx: &Context<'_>) {
        *self.seen.waker.borrow_mut() = Some(cx.waker().clone());
    }

    fn gone(&self) -> bool {
        self.seen.closed.get().is_some_and(|closed| closed.elapsed() >= FAREWELL)
    }
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.wake_with(cx);
        if self.seen.closed.get().is_some() {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_ready() && buf.filled().len() > before {
            self.seen.came();
        }
        read
    }
}

impl AsyncWrite for Gate {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.wake_with(cx);
        if self.gone() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
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
            guests.look(now, &manners, leaving);
        }
    };
    let taking = async {
        // Dropped with this, not with what looks after connections.
        let listener = listener;
        loop {
            let place = loop {
                match timeout(ROOM_LOOK, places.free.clone().acquire_owned()).await {
                    Ok(Ok(place)) => break place,
                    Ok(Err(_)) => return,
                    Err(_) => guests.make_room(Instant::now(), manners.yields),
                }
            };
            match listener.accept().await {
                Ok((stream, address)) => {
                    let _ = stream.set_nodelay(true);
                    let gate = Gate { stream, seen: guests.add(), _place: place };
                    let service = service.clone();
                    actix_rt::spawn(async move {
                        if let Err(error) = service.call((gate, Some(address))).await {
                            tracing::debug!(?error, "submitter's connection");
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
    let taking = places.shut.run_until_cancelled(taking);
    tokio::join!(looking, async move { _ = taking.await });
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn where_unfinished_calls_yield_the_oldest_goes_first_and_an_answer_is_never_cut() {
        let guests = Guests::default();
        let start = Instant::now();
        let [first, second, serving] = [0, 10, 20].map(|ms| {
            let seen = guests.add();
            seen.since.set(start + Duration::from_millis(ms));
            seen.came();
            seen
        });
        serving.serving();
        let later = start + Duration::from_secs(9);
        let closed = || [&first, &second, &serving].map(|seen| seen.closed.get().is_some());
        guests.make_room(later, Yields::Silent);
        assert_eq!(closed(), [false, false, false]);
        guests.make_room(later, Yields::Unfinished);
        assert_eq!(closed(), [true, false, false]);
        guests.make_room(later, Yields::Unfinished);
        guests.make_room(later, Yields::Unfinished);
        assert_eq!(closed(), [true, true, false]);
    }
}
