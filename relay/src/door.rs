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
}

/// How many connections there may be; the number may change while they are taken.
pub struct Places {
    free: Arc<Semaphore>,
    number: Cell<usize>,
}

impl Places {
    pub fn new(number: usize) -> Self {
        Places { free: Arc::new(Semaphore::new(number)), number: Cell::new(number) }
    }

    pub fn free(&self) -> Arc<Semaphore> {
        self.free.clone()
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

    /// Whether it may be closed in favour of another.
    fn may_make_room(&self, now: Instant) -> bool {
        let least = if self.known.get() { ROOM_IDLE } else { ROOM_SILENT };
        let waits = self.phase.get() == Phase::Waiting && self.closed.get().is_none();
        waits && now >= self.since.get() + least
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
    fn look(&self, now: Instant, manners: &Manners) {
        let overdue = self.here().into_iter().filter(|s| s.closed.get().is_none() && s.overdue(now, manners));
        overdue.for_each(|seen| seen.close(now));
        // One that takes no bytes from us either is woken to be dropped.
        let stuck = self.here().into_iter().filter(|s| s.closed.get().is_some_and(|c| now >= c + FAREWELL));
        stuck.for_each(|seen| seen.waker.take().into_iter().for_each(Waker::wake));
    }

    /// Closes one connection that is not in use. Guards against hundreds of silent ones keeping submitters out.
    fn make_room(&self, now: Instant) {
        let may = self.here().into_iter().filter(|seen| seen.may_make_room(now));
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
pub async fn accept<F>(listener: TcpListener, places: Arc<Semaphore>, manners: Manners, factory: F)
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
            guests.look(Instant::now(), &manners);
        }
    };
    let taking = async {
        loop {
            let place = loop {
                match timeout(ROOM_LOOK, places.clone().acquire_owned()).await {
                    Ok(Ok(place)) => break place,
                    Ok(Err(_)) => return,
                    Err(_) => guests.make_room(Instant::now()),
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
    tokio::join!(looking, taking);
}
