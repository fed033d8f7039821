//! Accepts client connections for a front: at most as many at once as there are permits, each for as long as the front's
//! policy allows ([`ConnectionPolicy`]). Idle connections are closed to make room for new ones.
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
use tokio::io::Interest;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::memory_budget::MemoryBudget;
use crate::metrics::ClientMetrics;

mod state;

use state::{CLOSE_GRACE, OpenConnections, Phase};
pub use state::{CloseReason, ConnectionPolicy, ConnectionState, EvictionPolicy, OpenRequest};

/// Delay after a connection could not be accepted, most often because no file descriptor was available.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// After [`ConnectionLimiter::stop_accepting`], connections that are still in the kernel's accept queue are accepted for at most
/// this long.
const FINAL_ACCEPT_TIME: Duration = Duration::from_millis(200);
/// How often the connections are checked against the policy.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often connections are evicted while all permits are taken.
const EVICTION_INTERVAL: Duration = Duration::from_millis(5);
/// How much is read in a turn on a multiplexed connection, in bytes.
const MULTIPLEXED_READ: usize = 2 * 1024;
/// How much is read at once of what is dropped, in bytes.
const DISCARD_BUFFER: usize = 4 * 1024;
/// How often incomplete requests are given up while memory is short.
const GIVE_UP_INTERVAL: Duration = Duration::from_millis(10);
/// How long after it was written a response may still be on its way to the client.
const LINGER: Duration = Duration::from_millis(500);

/// Bounds the number of open client connections. The limit may change while connections are open.
pub struct ConnectionLimiter {
    permits: Arc<Semaphore>,
    limit: Cell<usize>,
    /// From this time on, connections are closed between requests.
    drain_from: Cell<Option<Instant>>,
    /// The process is about to exit: requests that are still incomplete are no longer waited for.
    terminating: Cell<bool>,
    /// Cancelled once no more connections are to be accepted.
    stop: CancellationToken,
    /// The memory that requests are charged to.
    memory: MemoryBudget,
    metrics: Option<ClientMetrics>,
}

impl ConnectionLimiter {
    pub fn new(limit: usize) -> Self {
        ConnectionLimiter {
            permits: Arc::new(Semaphore::new(limit)),
            limit: Cell::new(limit),
            drain_from: Cell::new(None),
            terminating: Cell::new(false),
            stop: CancellationToken::new(),
            memory: MemoryBudget::unlimited(),
            metrics: None,
        }
    }

    /// Gives up incomplete requests while this budget is short.
    pub fn with_memory(self, memory: MemoryBudget) -> Self {
        ConnectionLimiter { memory, ..self }
    }

    /// Counts closed connections.
    pub fn with_metrics(self, metrics: ClientMetrics) -> Self {
        ConnectionLimiter { metrics: Some(metrics), ..self }
    }

    fn count_end(&self, state: &ConnectionState) {
        let reason = state.close_reason.get().filter(|_| state.is_closed());
        if let (Some(metrics), Some(reason)) = (&self.metrics, reason) {
            metrics.closed(reason);
        }
    }

    /// Closes connections between requests from the given time on; with `None`, no longer.
    pub fn drain(&self, from: Option<Instant>) {
        self.drain_from.set(from);
    }

    /// The process is about to exit: closes all connections except those with a complete request that is still unanswered.
    pub fn terminate(&self) {
        self.terminating.set(true);
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.permits.available_permits() >= self.limit.get()
    }

    /// Accepts no more connections; open ones are served on.
    pub fn stop_accepting(&self) {
        self.stop.cancel();
    }

    /// Whether more than half of the permits are taken. Responses should then announce that their connection closes. Guards against
    /// submitters that send one request and keep the connection open: within the 2 s in which an idle connection may not be
    /// evicted, more of them may connect than there are permits.
    pub fn is_mostly_full(&self) -> bool {
        self.permits.available_permits() * 2 < self.limit.get()
    }

    /// Sets the limit. If more connections than that are open, the surplus permits are removed as connections close.
    pub fn set_limit(&self, limit: usize) {
        let old = self.limit.replace(limit);
        self.permits.add_permits(limit.saturating_sub(old));
        let surplus = old.saturating_sub(limit);
        let permits = self.permits.clone();
        actix_rt::spawn(async move {
            for _ in 0..surplus {
                permits.acquire().await.into_iter().for_each(|permit| permit.forget());
            }
        });
    }
}

/// A client connection, from accept to close.
struct ClientConnection {
    stream: RefCell<TcpStream>,
    state: Rc<ConnectionState>,
    /// When data was last written to the client.
    last_write: Cell<Option<Instant>>,
    /// The HTTP server has read end of file.
    read_closed: Cell<bool>,
    _permit: OwnedSemaphorePermit,
}

impl ClientConnection {
    /// Whether unread bytes have arrived. Asks the kernel, since the runtime may not have polled the socket yet.
    fn has_unread(&self) -> bool {
        let peeked = SockRef::from(&*self.stream.borrow()).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_ok_and(|bytes| bytes > 0)
    }

    /// Whether the HTTP server may go on reading; once false, it stays false. A connection that was closed between requests stays open
    /// if the next request arrived before the close. If a request was too slow, the bytes that have already arrived are still read.
    fn may_read(&self) -> bool {
        let Some(closed_at) = self.state.closed_at.get() else { return true };
        if self.state.multiplexed.get() {
            return !self.state.is_expired();
        }
        if self.read_closed.get() || closed_at.elapsed() >= CLOSE_GRACE || !self.has_unread() {
            self.read_closed.set(true);
            return false;
        }
        if self.state.phase.get() == Phase::Idle {
            self.state.closed_at.set(None);
        }
        true
    }

    /// Closes the connection. If a response was written within [`LINGER`], the write side is shut down first, and the client has that
    /// long to read the response and to close its side. Nothing is read meanwhile: a client may retry a request that crosses the
    /// close, whereas one that was read and never answered would be lost. Guards against closing with unread bytes, which resets the
    /// connection and may discard the response.
    async fn close(self) {
        let ClientConnection { stream, state, last_write, read_closed: _, _permit } = self;
        let mut stream = stream.into_inner();
        if last_write.get().is_none_or(|at| at.elapsed() >= LINGER) || stream.shutdown().await.is_err() {
            return;
        }
        state.closed_at.set(Some(Instant::now()));
        state.lingering.set(true);
        let mut has_unread = false;
        let client_closed = poll_fn(|cx| {
            *state.waker.borrow_mut() = Some(cx.waker().clone());
            if state.evicted.get() {
                return Poll::Ready(());
            }
            if has_unread {
                return Poll::Pending;
            }
            let mut buffer = [0; 1];
            match ready!(stream.poll_peek(cx, &mut ReadBuf::new(&mut buffer))) {
                // Anything behind these bytes, including the client's close, cannot be seen without reading them.
                Ok(bytes) if bytes > 0 => {
                    has_unread = true;
                    Poll::Pending
                }
                _ => Poll::Ready(()),
            }
        });
        let _ = timeout(LINGER, client_closed).await;
    }
}

/// A client connection as the HTTP server reads and writes it.
pub struct TrackedStream(Rc<ClientConnection>);

impl TrackedStream {
    pub fn state(&self) -> Rc<ConnectionState> {
        self.0.state.clone()
    }

    /// Whether unread bytes have arrived.
    pub fn has_unread(&self) -> bool {
        self.0.has_unread()
    }

    /// Whether the client has closed its side, as far as the runtime knows; bytes before the close may still be unread.
    pub fn is_read_closed(&self) -> bool {
        let stream = self.0.stream.borrow();
        let ready = stream.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }

    /// Waits until something can be read, or the connection is closed from this side.
    pub async fn readable(&self) -> io::Result<()> {
        poll_fn(|cx| {
            self.store_waker(cx);
            if !self.0.may_read() {
                return Poll::Ready(Ok(()));
            }
            self.0.stream.borrow().poll_read_ready(cx)
        })
        .await
    }

    /// Waits until the connection is closed from this side.
    pub async fn closed_from_this_side(&self) {
        poll_fn(|cx| {
            self.store_waker(cx);
            if self.0.state.is_closed() { Poll::Ready(()) } else { Poll::Pending }
        })
        .await;
    }

    /// Ready once the client has reset the connection. Not noticed behind unread bytes, nor behind the client's close.
    pub fn poll_reset(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut buffer = [0; 1];
        match self.0.stream.borrow().poll_peek(cx, &mut ReadBuf::new(&mut buffer)) {
            Poll::Ready(Err(_)) => Poll::Ready(()),
            _ => Poll::Pending,
        }
    }

    /// Ends the connection behind its last response: reads and drops what the client still sends, for at most `linger`, so that the
    /// response is not lost in a reset.
    pub async fn discard(self, linger: Duration) {
        let state = self.0.state.clone();
        if poll_fn(|cx| self.with_stream(|stream| stream.poll_shutdown(cx))).await.is_err() {
            return;
        }
        state.closed_at.set(Some(Instant::now()));
        state.lingering.set(true);
        let client_closed = poll_fn(|cx| {
            self.store_waker(cx);
            let mut buffer = [0; DISCARD_BUFFER];
            loop {
                let mut buffer = ReadBuf::new(&mut buffer);
                let read = self.with_stream(|stream| stream.poll_read(cx, &mut buffer));
                let ended = ready!(read).is_err() || buffer.filled().is_empty();
                if ended || state.evicted.get() {
                    return Poll::Ready(());
                }
            }
        });
        let _ = timeout(linger, client_closed).await;
    }

    /// Reads on a multiplexed connection: a little in each turn of the connection's task. A few bytes of HTTP/2 can stand for many
    /// requests, which are all decoded before the first one can be refused.
    fn poll_read_turn(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.0.state.has_read_in_turn.get() {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut bytes = [0; MULTIPLEXED_READ];
        let length = buf.remaining().min(MULTIPLEXED_READ);
        let mut part = ReadBuf::new(&mut bytes[..length]);
        ready!(self.with_stream(|stream| stream.poll_read(cx, &mut part)))?;
        self.0.state.has_read_in_turn.set(true);
        buf.put_slice(part.filled());
        Poll::Ready(Ok(()))
    }

    fn store_waker(&self, cx: &Context<'_>) {
        *self.0.state.waker.borrow_mut() = Some(cx.waker().clone());
    }

    /// Whether the connection was closed from this side, and the time for a last response is over.
    fn is_expired(&self) -> bool {
        self.0.state.is_expired()
    }

    fn with_stream<T>(&self, act: impl FnOnce(Pin<&mut TcpStream>) -> T) -> T {
        act(Pin::new(&mut *self.0.stream.borrow_mut()))
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.store_waker(cx);
        if !self.0.may_read() {
            return Poll::Ready(Ok(()));
        }
        if self.0.state.multiplexed.get() {
            return self.poll_read_turn(cx, buf);
        }
        let before = buf.filled().len();
        let read = self.with_stream(|stream| stream.poll_read(cx, buf));
        if read.is_ready() && buf.filled().len() > before {
            self.0.state.bytes_received();
        }
        read
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.store_waker(cx);
        if self.is_expired() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let written = self.with_stream(|stream| stream.poll_write(cx, buf));
        if written.is_ready() {
            self.0.last_write.set(Some(Instant::now()));
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_stream(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_stream(|stream| stream.poll_shutdown(cx))
    }
}

/// Accepts connections, each with a permit of `limiter`, and serves them with a service of `factory`.
pub async fn accept<F>(
    listener: Rc<TcpListener>,
    limiter: Rc<ConnectionLimiter>,
    policy: ConnectionPolicy,
    factory: F,
) where
    F: ServiceFactory<(TrackedStream, Option<SocketAddr>), Config = (), InitError = ()>,
    F::Service: 'static,
    F::Error: Debug,
{
    let Ok(service) = factory.new_service(()).await else {
        tracing::error!("cannot create the HTTP service; no client connections are accepted");
        return;
    };
    let service = Rc::new(service);
    let connections = Rc::new(OpenConnections::default());
    let check_loop = async {
        loop {
            sleep(CHECK_INTERVAL).await;
            let now = Instant::now();
            let draining = limiter.drain_from.get().is_some_and(|from| now >= from);
            connections.close_expired(now, &policy, draining, limiter.terminating.get());
        }
    };
    let memory_loop = async {
        loop {
            limiter.memory.shortage().await;
            connections.give_up_requests(Instant::now());
            sleep(GIVE_UP_INTERVAL).await;
        }
    };
    let accept_loop = async {
        // Moved in here so that it is dropped when this loop ends, while the open connections are still checked.
        let listener = listener;
        // Since when a connection may have been in the accept queue; `None` once the queue was seen empty.
        let mut queued_since = None;
        loop {
            let since = *queued_since.get_or_insert_with(Instant::now);
            let permit = loop {
                match timeout(EVICTION_INTERVAL, limiter.permits.clone().acquire_owned()).await {
                    Ok(Ok(permit)) => break permit,
                    Ok(Err(_)) => return,
                    Err(_) => connections.evict(Instant::now(), policy.eviction),
                }
            };
            let mut queue_was_empty = false;
            let mut accept = poll_fn(|cx| {
                let accepted = listener.poll_accept(cx);
                queue_was_empty |= accepted.is_pending();
                accepted
            });
            let polled = tokio::select! {
                biased;
                accepted = &mut accept => Some(accepted),
                // What is in the accept queue by now is still accepted: dropping the listener would reset it and lose its request.
                () = limiter.stop.cancelled() => {
                    yield_now().await;
                    yield_now().await;
                    accept.now_or_never()
                }
            };
            let Some(accepted) = polled else { return };
            let queued = if queue_was_empty { Duration::ZERO } else { since.elapsed() };
            queued_since = queued_since.filter(|_| !queue_was_empty);
            match accepted {
                Ok((stream, address)) => {
                    let _ = stream.set_nodelay(true);
                    let (stream, state) = (RefCell::new(stream), connections.add(queued));
                    let connection = Rc::new(ClientConnection {
                        stream,
                        state,
                        last_write: Cell::new(None),
                        read_closed: Cell::new(false),
                        _permit: permit,
                    });
                    let (service, limiter) = (service.clone(), limiter.clone());
                    actix_rt::spawn(async move {
                        let served = service.call((TrackedStream(connection.clone()), Some(address))).await;
                        limiter.count_end(&connection.state);
                        connection.state.log_end(address, served.err());
                        // The HTTP server has dropped its reference.
                        if let Some(connection) = Rc::into_inner(connection) {
                            connection.close().await;
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "cannot accept a connection; retrying");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    };
    // When this ends, the listener is dropped; open connections are still checked.
    let stopped = async {
        limiter.stop.cancelled().await;
        sleep(FINAL_ACCEPT_TIME).await;
    };
    tokio::join!(check_loop, memory_loop, async move {
        tokio::select! {
            () = accept_loop => {}
            () = stopped => {}
        }
    });
}

#[cfg(test)]
mod tests;
