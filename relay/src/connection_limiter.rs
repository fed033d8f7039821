//! Takes clients' connections for a front: as many at once as there are places, each for as long as the front's policy allows
//! ([`ConnectionPolicy`]). One that says nothing, or no longer, makes room for the next.
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
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

mod state;

pub use state::{CloseReason, ConnectionPolicy, ConnectionState, EvictionPolicy};
use state::{FAREWELL, OpenConnections, Phase};

/// After a connection could not be taken, above all for want of descriptors.
const PAUSE: Duration = Duration::from_millis(20);
/// Once no more are to be taken, those that wait in the system's queue are taken for so long at most.
const LAST_TAKEN: Duration = Duration::from_millis(200);
/// How often connections are looked at.
const LOOK: Duration = Duration::from_millis(100);
/// While all places are taken, it is looked for one to make free as often as this.
const ROOM_LOOK: Duration = Duration::from_millis(5);
/// An answer may still be on its way to the client for so long after it was written.
const LINGER: Duration = Duration::from_millis(500);

/// How many connections there may be; the number may change while they are taken.
pub struct ConnectionLimiter {
    free: Arc<Semaphore>,
    number: Cell<usize>,
    /// From then on connections are closed between requests.
    leaving: Cell<Option<Instant>>,
    /// The process is about to end: what is not a whole request by now is not waited for.
    ending: Cell<bool>,
    /// No more connections are taken.
    shut: CancellationToken,
}

impl ConnectionLimiter {
    pub fn new(number: usize) -> Self {
        ConnectionLimiter {
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

/// A submitter's connection, from its taking to its close.
struct ClientConnection {
    stream: RefCell<TcpStream>,
    seen: Rc<ConnectionState>,
    /// When something was last written to it.
    spoken: Cell<Option<Instant>>,
    /// Its server has read its end.
    over: Cell<bool>,
    _place: OwnedSemaphorePermit,
}

impl ClientConnection {
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
        let ClientConnection { stream, seen, spoken, over: _, _place } = self;
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
pub struct TrackedStream(Rc<ClientConnection>);

impl TrackedStream {
    pub fn seen(&self) -> Rc<ConnectionState> {
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

impl AsyncRead for TrackedStream {
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

impl AsyncWrite for TrackedStream {
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
pub async fn accept<F>(
    listener: TcpListener,
    places: Rc<ConnectionLimiter>,
    policy: ConnectionPolicy,
    factory: F,
) where
    F: ServiceFactory<(TrackedStream, Option<SocketAddr>), Config = (), InitError = ()>,
    F::Service: 'static,
    F::Error: Debug,
{
    let Ok(service) = factory.new_service(()).await else {
        tracing::error!("cannot serve submitters");
        return;
    };
    let service = Rc::new(service);
    let guests = Rc::new(OpenConnections::default());
    let looking = async {
        loop {
            sleep(LOOK).await;
            let now = Instant::now();
            let leaving = places.leaving.get().is_some_and(|from| now >= from);
            guests.look(now, &policy, leaving, places.ending.get());
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
                    Err(_) => guests.make_room(Instant::now(), policy.eviction),
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
                    let guest = Rc::new(ClientConnection {
                        stream,
                        seen,
                        spoken: Cell::new(None),
                        over: Cell::new(false),
                        _place: place,
                    });
                    let service = service.clone();
                    actix_rt::spawn(async move {
                        let served = service.call((TrackedStream(guest.clone()), Some(address))).await;
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
