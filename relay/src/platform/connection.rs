//! TCP connections to execute nodes during a call, below awc: tracks what awc does not report.
//!
//! awc hides whether the bytes of a call were written, takes a 1xx response for the final one, discards the status line of a response
//! that it cannot parse, and reuses a connection whatever was received on it. So awc gets a [`NodeStream`] for one call only. The stream
//! asks the claim's [`SendPermit`] for permission before the first byte, marks it as sent after the last one, and tracks the response. The
//! connection returns to the [`NodePool`] only if nothing but the response was received on it, and the response allows another call.
use actix_rt::net::{ActixStream, Ready, TcpStream};
use slatethread::Report;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::sync::Notify;

use super::attribution::{Answer, DELIVERED};
use super::node_pool::{Connection, NodePool};
use super::response_tracker::{BodyFraming, Extent, MAX_HEAD, ResponseTracker};
use crate::core::SendPermit;

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

    /// To be called once the response was read to its end. The connection is kept for another call if nothing but the response was
    /// received on it, and if `all_delivered`: the response confirms every message of the call.
    pub fn response_complete(&self, framing: BodyFraming, all_delivered: bool) {
        let Some(socket) = self.socket.take() else { return };
        let Some(connection) = socket.connection.borrow_mut().take() else { return };
        let extent = socket.response.borrow().extent(framing);
        let (number, calls) = (connection.number, connection.history.calls());
        tracing::debug!(connection = number, calls, ?framing, ?extent, all_delivered, "response read");
        match extent {
            Extent::Exact if !connection.has_data() => socket.node_pool.add_idle(connection, all_delivered),
            Extent::Exact | Extent::Surplus => socket.node_pool.surplus_received(&connection),
            Extent::Incomplete => socket.node_pool.retire(connection),
        }
    }
}

/// A connection that is leased for one call.
struct LeasedSocket {
    connection: RefCell<Option<Connection>>,
    response: RefCell<ResponseTracker>,
    node_pool: Rc<NodePool>,
}

/// A connection to a node for one call, as awc reads and writes it.
pub struct NodeStream(Rc<LeasedSocket>);

impl std::fmt::Debug for NodeStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("NodeStream")
    }
}

/// Closes the connection when awc drops it, or once a delivery on it is confirmed. Guards against a connection that stays open because a
/// trace still refers to it.
impl Drop for NodeStream {
    fn drop(&mut self) {
        self.0.give_up();
    }
}

impl LeasedSocket {
    /// No call uses the connection any more, and none may use it again.
    fn give_up(&self) {
        let connection = self.connection.borrow_mut().take();
        if let Some(connection) = &connection {
            let (number, calls) = (connection.number, connection.history.calls());
            tracing::debug!(connection = number, calls, "connection given up during a call");
        }
        connection.into_iter().for_each(|connection| self.node_pool.retire(connection));
    }
}

impl NodeStream {
    pub fn new(connection: Connection, node_pool: Rc<NodePool>) -> Self {
        let response = RefCell::new(ResponseTracker::default());
        NodeStream(Rc::new(LeasedSocket { connection: RefCell::new(Some(connection)), response, node_pool }))
    }

    /// Polls the stream. If it is closed, returns `closed`: end of file for reads, an error for writes.
    fn with_stream<T>(
        &self,
        act: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
        closed: io::Result<T>,
    ) -> Poll<io::Result<T>> {
        match self.0.connection.borrow_mut().as_mut() {
            Some(connection) => act(Pin::new(&mut connection.stream)),
            None => Poll::Ready(closed),
        }
    }

    /// The call is about to write its first byte. Fails if bytes have arrived that nobody asked for: they would be read as its answer.
    fn begin_call(&self) -> io::Result<()> {
        let mut connection = self.0.connection.borrow_mut();
        let Some(connection) = connection.as_mut() else { return Err(broken_pipe()) };
        if connection.has_data() {
            self.0.node_pool.surplus_received(connection);
            return Err(io::Error::other("bytes arrived before the call"));
        }
        connection.history.call_begins(Instant::now());
        Ok(())
    }

    /// The status of the answer was read: records whether it is certainly the answer to this call.
    fn answered(&self, status: u16) {
        let mut connection = self.0.connection.borrow_mut();
        let (Some(connection), Ok(trace)) = (connection.as_mut(), CURRENT_CALL.try_with(Rc::clone)) else {
            return;
        };
        let answer = Answer { status, names_messages: trace.permits.len() > 1 };
        let confirmations = self.0.node_pool.answered(connection, answer, trace.permits.len());
        let (node, number, calls) = (self.0.node_pool.name(), connection.number, connection.history.calls());
        let certain = confirmations.is_empty();
        tracing::debug!(node, connection = number, calls, status, certain, "an execute node answered");
        for (permit, confirmation) in trace.permits.iter().zip(confirmations) {
            permit.set_confirmation(confirmation);
        }
        // For several messages, the body of the response says which ones are delivered.
        if let ([permit], DELIVERED) = (&trace.permits[..], status) {
            permit.mark_delivered();
            trace.confirmed.notify_one();
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
            if response.head_is_too_long() {
                return Poll::Ready(Err(io::Error::other(format!(
                    "the head is longer than {MAX_HEAD} bytes"
                ))));
            }
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
            response.status.into_iter().for_each(|status| self.answered(status));
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
                self.begin_call().inspect_err(|_| trace.denied.set(true))?;
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
        self.0.give_up();
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

#[cfg(test)]
mod tests;
