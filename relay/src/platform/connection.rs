//! TCP connections to execute nodes, below awc: tracks what awc does not report, and decides which connections are reused.
//!
//! awc hides whether the bytes of a call were written, takes a 1xx response for the final one, discards the status line of a response
//! that it cannot parse, and reuses a connection whatever was received on it. So awc gets a [`NodeStream`] for one call only. The stream
//! asks the claim's [`SendPermit`] for permission before the first byte, marks it as sent after the last one, and tracks the response. The
//! socket returns to the [`NodePool`] only if nothing but the response was received on it.
use actix_rt::net::{ActixStream, Ready, TcpStream};
use slatethread::{EndpointId, Report};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::sync::Notify;

use super::chunks::ChunkScanner;
use crate::core::SendPermit;
use crate::idle_pool::{ConnectionId, IdlePool};

/// How long a connection is not reused after a response. Guards against surplus bytes that the node writes right behind a response and
/// that have not arrived yet when the next call is sent: they would be read as its response.
const REUSE_DELAY: Duration = Duration::from_millis(2);
/// How many bytes of 1xx responses are skipped, and how many are buffered while waiting for the end of a status line.
const MAX_PRELUDE: usize = 16 * 1024;

tokio::task_local! {
    /// The call whose future is being polled; awc writes to and reads from the stream within it.
    pub static CURRENT_CALL: Rc<CallTrace>;
}

/// The state of one call as seen at the socket.
pub struct CallTrace {
    /// The permits of all messages of the call.
    permits: Vec<Rc<SendPermit>>,
    socket: RefCell<Option<Rc<LeasedSocket>>>,
    denied: Cell<bool>,
    confirmed: Notify,
}

impl CallTrace {
    pub fn new(permits: Vec<Rc<SendPermit>>) -> Rc<Self> {
        Rc::new(CallTrace {
            permits,
            socket: RefCell::new(None),
            denied: Cell::new(false),
            confirmed: Notify::new(),
        })
    }

    /// Whether the call was sent completely, so that it may have run.
    pub fn is_sent(&self) -> bool {
        self.permits.iter().any(|permit| permit.is_sent())
    }

    /// Whether its only message is delivered.
    pub fn is_delivered(&self) -> bool {
        self.permits.iter().any(|permit| permit.is_delivered())
    }

    /// Records the node's load report from the response.
    pub fn record_report(&self, report: Report) {
        self.permits.iter().for_each(|permit| permit.set_report(report));
    }

    /// Records the backoff that the head of the response requests.
    pub fn record_wait(&self, wait: Duration) {
        self.permits.iter().for_each(|permit| permit.set_wait(wait));
    }

    /// Whether the call may be sent now; if so, its permits record that it begins.
    fn begin(&self) -> bool {
        let permitted = self.permits.iter().all(|permit| permit.may_begin())
            && self.permits.iter().all(|permit| permit.begin());
        if !permitted && self.permits.iter().any(|permit| permit.had_local_fault()) {
            self.mark_local_fault();
        }
        permitted
    }

    /// Marks all messages of the call as not sent because of a fault of this machine.
    pub fn mark_local_fault(&self) {
        self.permits.iter().for_each(|permit| permit.mark_local_fault());
    }

    fn may_continue(&self) -> bool {
        self.is_sent() || self.permits.iter().all(|permit| permit.may_continue())
    }

    /// Whether a permit denied permission to send.
    pub fn was_denied(&self) -> bool {
        self.denied.get()
    }

    /// Resolves when a status line with 200 is received, whatever follows it.
    pub async fn confirmed(&self) {
        self.confirmed.notified().await;
    }

    /// Whether any byte of a response was received, valid or not.
    pub fn response_started(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|socket| socket.response.borrow().received > 0)
    }

    /// To be called once the response was read to its end: the connection is reused if nothing else was received on it.
    pub fn response_complete(&self, framing: BodyFraming) {
        let Some(socket) = self.socket.take() else { return };
        let clean = socket.response.borrow().is_exact(framing);
        if let Some(stream) = socket.stream.borrow_mut().take().filter(|stream| clean && has_no_input(stream))
        {
            socket.node_pool.add_idle(stream, socket.permit.take());
        }
    }
}

/// How the end of a response body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    Sized(u64),
    Chunked,
    /// By the end of the connection, or not known.
    Other,
}

/// Whether there is nothing to read on a connection, not even end of file. Asks the kernel, since the runtime may not have polled the
/// socket yet.
fn has_no_input(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// All connections of the front to its nodes: counts the open ones, and finds the idle ones of each node.
#[derive(Default)]
pub struct ConnectionPool {
    idle_pool: RefCell<IdlePool>,
    node_pools: RefCell<HashMap<EndpointId, Weak<NodePool>>>,
}

impl ConnectionPool {
    /// Sets how many connections may be open at once.
    pub fn set_max_open(&self, max_open: Option<usize>) {
        self.idle_pool.borrow_mut().set_max_open(max_open);
    }

    /// Returns a permit for one more connection. If the limit is reached, an idle connection is closed first.
    fn permit(self: &Rc<Self>) -> OpenPermit {
        let victim = self.idle_pool.borrow_mut().evict();
        if let Some((node, id)) = victim {
            let node_pool = self.node_pools.borrow().get(&node).and_then(Weak::upgrade);
            // Dropped only after the borrow of the pool has ended, since dropping its permit borrows the pool again.
            let closed = node_pool.and_then(|node_pool| node_pool.remove(id));
            tracing::debug!(
                node = node.0,
                closed = closed.is_some(),
                "closing an idle connection to make room for a new one"
            );
        }
        self.idle_pool.borrow_mut().opened();
        OpenPermit(self.clone())
    }
}

/// Counts one open connection until it is dropped.
struct OpenPermit(Rc<ConnectionPool>);

impl Drop for OpenPermit {
    fn drop(&mut self) {
        self.0.idle_pool.borrow_mut().closed();
    }
}

struct IdleConnection {
    stream: TcpStream,
    since: Instant,
    id: ConnectionId,
    permit: OpenPermit,
}

/// The idle connections to one execute node, the longest idle first.
pub struct NodePool {
    node: EndpointId,
    pool: Rc<ConnectionPool>,
    idle: RefCell<Vec<IdleConnection>>,
}

impl NodePool {
    pub fn new(node: EndpointId, pool: &Rc<ConnectionPool>) -> Rc<Self> {
        let node_pool = Rc::new(NodePool { node, pool: pool.clone(), idle: RefCell::default() });
        pool.node_pools.borrow_mut().insert(node, Rc::downgrade(&node_pool));
        node_pool
    }

    /// Returns a connection for one call: an idle one, or a new one.
    pub async fn lease(self: Rc<Self>, address: SocketAddr) -> io::Result<NodeStream> {
        loop {
            let Some(IdleConnection { stream, since, id, permit }) = self.idle.borrow_mut().pop() else {
                break;
            };
            self.pool.idle_pool.borrow_mut().remove_idle(self.node, id);
            tokio::time::sleep_until((since + REUSE_DELAY).into()).await;
            if has_no_input(&stream) {
                return Ok(NodeStream::new(stream, self, permit));
            }
        }
        let permit = self.pool.permit();
        tracing::debug!(%address, "connecting to an execute node");
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(NodeStream::new(stream, self, permit))
    }

    fn add_idle(&self, stream: TcpStream, permit: Option<OpenPermit>) {
        let Some(permit) = permit else { return };
        let since = Instant::now();
        let id = self.pool.idle_pool.borrow_mut().add_idle(since, self.node);
        self.idle.borrow_mut().push(IdleConnection { stream, since, id, permit });
    }

    fn remove(&self, id: ConnectionId) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let index = idle.iter().position(|connection| connection.id == id)?;
        Some(idle.remove(index))
    }

    /// Whether the node has no idle connection.
    pub fn is_empty(&self) -> bool {
        self.idle.borrow().is_empty()
    }

    /// Closes connections that have been idle for at least this long. Guards against the node closing them first: a claim that is being
    /// written then ends with a reset.
    pub fn close_idle(&self, idle_time: Duration) {
        let mut idle = self.idle.borrow_mut();
        let first_kept = idle.partition_point(|connection| connection.since.elapsed() >= idle_time);
        let closed: Vec<_> = idle.drain(..first_kept).collect();
        drop(idle);
        closed
            .iter()
            .for_each(|connection| self.pool.idle_pool.borrow_mut().remove_idle(self.node, connection.id));
    }
}

impl Drop for NodePool {
    fn drop(&mut self) {
        self.close_idle(Duration::ZERO);
        let mut node_pools = self.pool.node_pools.borrow_mut();
        // A new pool for the same node may have replaced this one.
        if node_pools.get(&self.node).is_some_and(|node_pool| node_pool.strong_count() == 0) {
            node_pools.remove(&self.node);
        }
    }
}

/// A socket that is leased for one call.
struct LeasedSocket {
    stream: RefCell<Option<TcpStream>>,
    response: RefCell<ResponseTracker>,
    node_pool: Rc<NodePool>,
    permit: Cell<Option<OpenPermit>>,
}

/// A connection to a node for one call, as awc reads and writes it.
pub struct NodeStream(Rc<LeasedSocket>);

impl std::fmt::Debug for NodeStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("NodeStream")
    }
}

/// Closes the connection when awc drops it. Guards against a connection that stays open because a trace still refers to it.
impl Drop for NodeStream {
    fn drop(&mut self) {
        self.0.stream.take();
        self.0.permit.take();
    }
}

impl NodeStream {
    fn new(stream: TcpStream, node_pool: Rc<NodePool>, permit: OpenPermit) -> Self {
        let response = RefCell::new(ResponseTracker::default());
        let permit = Cell::new(Some(permit));
        NodeStream(Rc::new(LeasedSocket { stream: RefCell::new(Some(stream)), response, node_pool, permit }))
    }

    /// Polls the stream. If it is closed, returns `closed`: end of file for reads, an error for writes.
    fn with_stream<T>(
        &self,
        act: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
        closed: io::Result<T>,
    ) -> Poll<io::Result<T>> {
        match self.0.stream.borrow_mut().as_mut() {
            Some(stream) => act(Pin::new(stream)),
            None => Poll::Ready(closed),
        }
    }
}

fn broken_pipe() -> io::Error {
    io::ErrorKind::BrokenPipe.into()
}

impl AsyncRead for NodeStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut response = self.0.response.borrow_mut();
        loop {
            if response.status.is_some() && response.prelude.is_empty() {
                let before = buf.filled().len();
                ready!(self.with_stream(|stream| stream.poll_read(cx, buf), Ok(())))?;
                response.count_forwarded(&buf.filled()[before..]);
                return Poll::Ready(Ok(()));
            }
            if response.status.is_some() {
                let prelude = std::mem::take(&mut response.prelude);
                let (now, later) = prelude.split_at(prelude.len().min(buf.remaining()));
                buf.put_slice(now);
                response.count_forwarded(now);
                response.prelude = later.to_vec();
                return Poll::Ready(Ok(()));
            }
            let mut buffer = [0; 2048];
            let mut part = ReadBuf::new(&mut buffer);
            ready!(self.with_stream(|stream| stream.poll_read(cx, &mut part), Ok(())))?;
            let ended = part.filled().is_empty();
            response.receive_start(part.filled(), ended);
            if response.status == Some(200)
                && let Ok(trace) = CURRENT_CALL.try_with(Rc::clone)
                // For several messages, the body of the response says which ones are delivered.
                && let [permit] = &trace.permits[..]
            {
                permit.mark_delivered();
                trace.confirmed.notify_one();
            }
            if ended && response.prelude.is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for NodeStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let trace = CURRENT_CALL.try_with(Rc::clone).ok();
        if let Some(trace) = &trace {
            let has_begun = trace.socket.borrow().is_some();
            if !(if has_begun { trace.may_continue() } else { trace.begin() }) {
                trace.denied.set(true);
                return Poll::Ready(Err(io::Error::other("sending the claim is no longer permitted")));
            }
            if !has_begun {
                *trace.socket.borrow_mut() = Some(self.0.clone());
            }
        }
        let written = self.with_stream(|stream| stream.poll_write(cx, buf), Err(broken_pipe()));
        // awc passes all that remains of a call to each write, head and body together, or the head first if it is larger than 8 KiB.
        // Once a write accepts everything, the last byte may have been sent.
        if let (Some(trace), Poll::Ready(Ok(n))) = (trace, &written)
            && *n == buf.len()
        {
            trace.permits.iter().for_each(|permit| permit.mark_sent());
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_stream(|stream| stream.poll_flush(cx), Err(broken_pipe()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.stream.take();
        self.0.permit.take();
        Poll::Ready(Ok(()))
    }
}

impl ActixStream for NodeStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.with_stream(|stream| pin!(stream.ready(Interest::READABLE)).poll(cx), Err(broken_pipe()))
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.with_stream(|stream| pin!(stream.ready(Interest::WRITABLE)).poll(cx), Err(broken_pipe()))
    }
}

/// Tracks what was received of one response.
#[derive(Default)]
struct ResponseTracker {
    /// Bytes that were received and not forwarded to awc yet: 1xx responses and the beginning of a status line.
    prelude: Vec<u8>,
    /// The number of bytes of 1xx responses that were skipped.
    skipped: usize,
    /// The status of the final response; 0 if its status line is invalid.
    status: Option<u16>,
    /// The numbers of bytes received and of bytes forwarded to awc.
    received: usize,
    forwarded: u64,
    /// The length of the head, once it was forwarded.
    head_len: Option<u64>,
    /// How many bytes of the end of a head (CR LF CR LF) were forwarded last.
    head_end_matched: usize,
    /// The bytes after the head, scanned as chunks.
    chunks: ChunkScanner,
}

impl ResponseTracker {
    /// Processes bytes up to the status line of the final response. Skips 1xx responses, up to a limit, since awc would take them for the
    /// final one.
    fn receive_start(&mut self, part: &[u8], ended: bool) {
        self.received += part.len();
        self.prelude.extend_from_slice(part);
        loop {
            let text = &self.prelude[..];
            // An incomplete status line does not count: the node may not regard it as a response either.
            let status = match text.contains(&b'\n') {
                true => text.get(..13).and_then(parse_status).unwrap_or(0),
                false if ended || text.len() > MAX_PRELUDE => 0,
                false => return,
            };
            if !(100..200).contains(&status) || status == 101 || self.skipped > MAX_PRELUDE {
                self.status = Some(status);
                return;
            }
            match text.windows(4).position(|end| end == b"\r\n\r\n") {
                Some(end) => {
                    self.skipped += end + 4;
                    self.prelude.drain(..end + 4);
                }
                None if ended || text.len() > MAX_PRELUDE => {
                    self.status = Some(0);
                    return;
                }
                None => return,
            }
        }
    }

    /// Counts bytes that are forwarded to awc.
    fn count_forwarded(&mut self, part: &[u8]) {
        for (i, byte) in part.iter().enumerate() {
            if self.head_len.is_some() {
                self.chunks.advance(&part[i..]);
                break;
            }
            self.head_end_matched = match (byte, self.head_end_matched) {
                (b'\r', 0 | 2) | (b'\n', 1 | 3) => self.head_end_matched + 1,
                (b'\r', _) => 1,
                _ => 0,
            };
            if self.head_end_matched == 4 {
                self.head_len = Some(self.forwarded + i as u64 + 1);
            }
        }
        self.forwarded += part.len() as u64;
    }

    /// Whether exactly one head and its body were received.
    fn is_exact(&self, framing: BodyFraming) -> bool {
        let complete = match framing {
            BodyFraming::Sized(size) => {
                self.head_len.and_then(|len| len.checked_add(size)) == Some(self.forwarded)
            }
            BodyFraming::Chunked => self.chunks == ChunkScanner::End,
            BodyFraming::Other => false,
        };
        self.status.is_some_and(|status| status >= 200) && self.prelude.is_empty() && complete
    }
}

/// Parses the status in the first bytes of a status line.
fn parse_status(line: &[u8]) -> Option<u16> {
    let rest = line.strip_prefix(b"HTTP/1.")?;
    let (minor, rest) = rest.split_first()?;
    let digits = rest.strip_prefix(b" ")?.get(..3)?;
    let terminated = matches!(rest.get(4), Some(b' ' | b'\r' | b'\n'));
    let valid = minor.is_ascii_digit() && terminated && digits.iter().all(u8::is_ascii_digit);
    valid.then(|| digits.iter().fold(0, |n, d| n * 10 + u16::from(d - b'0')))
}

#[cfg(test)]
mod tests;
