//! The connections to execute nodes that no call is using: which one the next call gets, and what arrives on them meanwhile.
//!
//! Bytes that arrive on an idle connection answer no call. The connection is closed, and its node gets one call per connection for a
//! time (`attribution.rs`).
use actix_rt::net::TcpStream;
use rustix::net::RecvFlags;
use slatethread::EndpointId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::{pending, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::ReadBuf;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use super::attribution::{Answer, AnswerTimes, Certainty, ConnectionHistory, Suspicion};
use super::connection::NodeStream;
use crate::core::{Confirmation, ConfirmationSender, confirmation};
use crate::idle_pool::{ConnectionId, IdlePool};
use crate::metrics::SurplusCounter;

/// How many surplus bytes are logged.
const LOGGED_BYTES: usize = 32;

/// All connections of the front to its nodes: counts the open ones, and finds the idle ones of each node.
#[derive(Default)]
pub struct ConnectionPool {
    idle_pool: RefCell<IdlePool>,
    node_pools: RefCell<HashMap<EndpointId, Weak<NodePool>>>,
    last_number: Cell<u64>,
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

    /// The number of open connections, idle ones included.
    #[cfg(test)]
    pub fn open(&self) -> usize {
        self.idle_pool.borrow().open()
    }

    /// Whether no node has a pool.
    #[cfg(test)]
    pub fn has_no_nodes(&self) -> bool {
        self.node_pools.borrow().is_empty()
    }

    fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }
}

/// Counts one open connection until it is dropped.
struct OpenPermit(Rc<ConnectionPool>);

impl Drop for OpenPermit {
    fn drop(&mut self) {
        self.0.idle_pool.borrow_mut().closed();
    }
}

/// An open connection to a node. Dropping it closes it, and leaves its unconfirmed answers in doubt.
pub struct Connection {
    pub stream: TcpStream,
    /// Identifies it in the log.
    pub number: u64,
    pub history: ConnectionHistory,
    /// Confirm the answers that are not certain yet.
    unconfirmed: Vec<ConfirmationSender>,
    _permit: OpenPermit,
}

impl Connection {
    fn new(stream: TcpStream, pool: &Rc<ConnectionPool>, permit: OpenPermit) -> Self {
        Connection {
            stream,
            number: pool.next_number(),
            history: ConnectionHistory::new(Instant::now()),
            unconfirmed: Vec::new(),
            _permit: permit,
        }
    }

    /// Whether bytes have arrived that nobody has read; not so at the end of the connection. Asks the kernel, since the runtime may not
    /// have polled the socket yet.
    pub fn has_data(&self) -> bool {
        peek(&self.stream, &mut [0]).is_ok_and(|size| size > 0)
    }

    /// The first bytes that nobody has read, for the log: up to [`LOGGED_BYTES`].
    fn first_unread(&self) -> String {
        let mut buffer = [0; LOGGED_BYTES];
        let read = peek(&self.stream, &mut buffer).unwrap_or(0);
        buffer[..read].escape_ascii().to_string()
    }

    /// Whether there is nothing to read, not even end of file.
    fn is_quiet(&self) -> bool {
        peek(&self.stream, &mut [0]).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// All its answers are certain.
    fn confirm(&mut self) {
        self.history.confirm();
        self.unconfirmed.drain(..).for_each(ConfirmationSender::confirm);
    }
}

/// Reads what has arrived without taking it off the socket.
fn peek(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    let (read, _) = rustix::net::recv(stream, buffer, RecvFlags::PEEK | RecvFlags::DONTWAIT)?;
    Ok(read)
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
    id: ConnectionId,
}

/// The idle connections to one execute node, the longest idle first, and what their answers have shown.
pub struct NodePool {
    node: EndpointId,
    /// The node's name, for the log.
    name: String,
    pool: Rc<ConnectionPool>,
    idle: RefCell<Vec<IdleConnection>>,
    answer_times: RefCell<AnswerTimes>,
    suspicion: RefCell<Suspicion>,
    surplus_counter: SurplusCounter,
    /// Notified of each connection that becomes idle.
    changed: Rc<Notify>,
}

impl NodePool {
    /// A pool for a node, which watches its idle connections until it is dropped.
    pub fn new(
        node: EndpointId,
        name: &str,
        pool: &Rc<ConnectionPool>,
        surplus_counter: SurplusCounter,
    ) -> Rc<Self> {
        let node_pool = Rc::new(NodePool {
            node,
            name: name.to_owned(),
            pool: pool.clone(),
            idle: RefCell::default(),
            answer_times: RefCell::default(),
            suspicion: RefCell::default(),
            surplus_counter,
            changed: Rc::default(),
        });
        pool.node_pools.borrow_mut().insert(node, Rc::downgrade(&node_pool));
        actix_rt::spawn(watch_idle(Rc::downgrade(&node_pool), node_pool.changed.clone()));
        node_pool
    }

    /// A new connection on a stream.
    #[cfg(test)]
    pub fn connection(&self, stream: TcpStream) -> Connection {
        Connection::new(stream, &self.pool, self.pool.permit())
    }

    /// The node's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns a connection for one call: an idle one, once it has rested, or a new one. Waiting for the rest, [`MIN_REST`] at most, is
    /// shorter than connecting, and costs the node nothing.
    pub async fn lease(self: Rc<Self>, address: SocketAddr) -> io::Result<NodeStream> {
        while let Some(mut connection) = self.take_idle(Instant::now()) {
            sleep_until(connection.history.rested_at().into()).await;
            let now = Instant::now();
            if !connection.is_quiet() {
                self.close_with_input(connection);
                continue;
            }
            if connection.history.may_be_confirmed(now) {
                connection.confirm();
            }
            return Ok(NodeStream::new(connection, self));
        }
        let permit = self.pool.permit();
        tracing::debug!(%address, "connecting to an execute node");
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let connection = Connection::new(stream, &self.pool, permit);
        Ok(NodeStream::new(connection, self))
    }

    /// Takes an idle connection that may carry another call, now or after its rest: preferably one whose answers are all certain, then
    /// one that has rested, and the latest used of these, so that those that are not needed are closed for their idle time.
    fn take_idle(&self, now: Instant) -> Option<Connection> {
        if self.is_suspect() {
            return None;
        }
        let best = {
            let idle = self.idle.borrow();
            let usable = || idle.iter().rev().filter(|idle| idle.connection.history.is_usable(now));
            let is_rested = |idle: &&IdleConnection| idle.connection.history.rested_at() <= now;
            let is_certain = |idle: &&IdleConnection| {
                is_rested(idle)
                    && (idle.connection.unconfirmed.is_empty()
                        || idle.connection.history.may_be_confirmed(now))
            };
            let best = usable()
                .find(is_certain)
                .or_else(|| usable().find(is_rested))
                .or_else(|| usable().next_back());
            best.map(|idle| idle.id)
        };
        self.remove(best?).map(|idle| idle.connection)
    }

    /// Records an answer to a call with this many messages. Unless it is certain, returns a pending confirmation for each of them.
    pub fn answered(
        &self,
        connection: &mut Connection,
        answer: Answer,
        messages: usize,
    ) -> Vec<Confirmation> {
        let certainty =
            connection.history.answered(Instant::now(), answer, &mut self.answer_times.borrow_mut());
        if certainty == Certainty::Certain {
            return Vec::new();
        }
        let (senders, pending): (Vec<_>, Vec<_>) = (0..messages).map(|_| confirmation()).unzip();
        connection.unconfirmed.extend(senders);
        pending
    }

    /// Keeps a connection for a later call, after an answer that was read to its end, if it allows another call: it confirmed all
    /// messages of its call (`all_delivered`).
    pub fn add_idle(&self, mut connection: Connection, all_delivered: bool) {
        let now = Instant::now();
        connection.history.answer_complete(now);
        match all_delivered && connection.history.is_reusable() && !self.is_suspect() {
            true => self.keep(connection, now),
            false => self.retire(connection),
        }
    }

    /// Closes a connection that carries no further call: once its answers are certain, but at once if a call on it has no answer, since
    /// that call is given up.
    pub fn retire(&self, mut connection: Connection) {
        let now = Instant::now();
        // Also while a call waits: an earlier call's own answer would have come as its answer.
        if connection.history.may_be_confirmed(now) && connection.is_quiet() {
            connection.confirm();
        }
        if connection.unconfirmed.is_empty() || connection.history.awaits_answer() {
            return;
        }
        connection.history.retire();
        self.keep(connection, now);
    }

    fn keep(&self, connection: Connection, now: Instant) {
        let id = self.pool.idle_pool.borrow_mut().add_idle(now, self.node);
        self.idle.borrow_mut().push(IdleConnection { connection, since: now, id });
        self.changed.notify_one();
    }

    /// Bytes arrived on a connection that answer no call.
    pub fn surplus_received(&self, connection: &Connection) {
        let calls = connection.history.calls();
        let in_doubt = connection.unconfirmed.len();
        let unread = connection.first_unread();
        let idle_for = connection.history.idle_for(Instant::now());
        tracing::warn!(
            node = self.name,
            connection = connection.number,
            calls,
            in_doubt,
            ?idle_for,
            unread,
            "an execute node sent bytes that answer no call; it gets one call per connection"
        );
        self.surplus_counter.count(&self.name);
        self.suspicion.borrow_mut().raise(Instant::now());
    }

    /// Closes an idle connection on which bytes have arrived, or its end.
    fn close_with_input(&self, connection: Connection) {
        let is_complete = connection.history.is_complete();
        if connection.has_data() && is_complete {
            return self.surplus_received(&connection);
        }
        let (node, number, calls) = (&*self.name, connection.number, connection.history.calls());
        let unconfirmed = connection.unconfirmed.len();
        tracing::debug!(
            node,
            connection = number,
            calls,
            unconfirmed,
            is_complete,
            "an execute node closed an idle connection, or more of an answer that was given up arrived"
        );
    }

    /// Whether the node gets one call per connection.
    pub fn is_suspect(&self) -> bool {
        self.suspicion.borrow().is_raised(Instant::now())
    }

    fn remove(&self, id: ConnectionId) -> Option<IdleConnection> {
        self.pool.idle_pool.borrow_mut().remove_idle(self.node, id);
        let mut idle = self.idle.borrow_mut();
        let index = idle.iter().position(|connection| connection.id == id)?;
        Some(idle.remove(index))
    }

    /// Closes the idle connections on which something has arrived. Pending as long as there is none.
    fn poll_input(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut has_input = |idle: &IdleConnection| {
            let mut byte = [0];
            idle.connection.stream.poll_peek(cx, &mut ReadBuf::new(&mut byte)).is_ready()
        };
        let removed = self.remove_where(&mut has_input);
        if removed.is_empty() {
            return Poll::Pending;
        }
        removed.into_iter().for_each(|connection| self.close_with_input(connection));
        Poll::Ready(())
    }

    /// When the next unconfirmed answers are certain, if nothing arrives until then.
    fn next_confirmation(&self) -> Option<Instant> {
        self.idle.borrow().iter().filter_map(|idle| idle.connection.history.quiet_until()).min()
    }

    /// Confirms the answers on connections that have been quiet for long enough, and closes those that have not, or are not used again.
    fn confirm_quiet(&self, now: Instant) {
        let with_input = self.remove_where(&mut |idle| {
            idle.connection.history.may_be_confirmed(now) && !idle.connection.is_quiet()
        });
        with_input.into_iter().for_each(|connection| self.close_with_input(connection));
        for idle in self.idle.borrow_mut().iter_mut() {
            if idle.connection.history.may_be_confirmed(now) {
                idle.connection.confirm();
            }
        }
        drop(self.remove_where(&mut |idle| {
            let history = &idle.connection.history;
            history.quiet_until().is_none() && !history.is_reusable()
        }));
    }

    /// Whether an answer of the node is not certain yet, on a connection that no call is using.
    pub fn has_unconfirmed(&self) -> bool {
        self.next_confirmation().is_some()
    }

    /// Whether the node has no idle connection.
    pub fn is_empty(&self) -> bool {
        self.idle.borrow().is_empty()
    }

    /// Closes connections that have been idle for at least this long, but those with an unconfirmed answer. Guards against the
    /// node closing them first: a claim that is being written then ends with a reset.
    pub fn close_idle(&self, idle_time: Duration) {
        let is_closed = |idle: &IdleConnection| {
            idle.since.elapsed() >= idle_time && idle.connection.unconfirmed.is_empty()
        };
        drop(self.remove_where(&mut { is_closed }));
    }

    fn remove_where(&self, is_removed: &mut dyn FnMut(&IdleConnection) -> bool) -> Vec<Connection> {
        let ids: Vec<_> =
            self.idle.borrow().iter().filter(|idle| is_removed(idle)).map(|idle| idle.id).collect();
        ids.into_iter().filter_map(|id| self.remove(id)).map(|idle| idle.connection).collect()
    }
}

impl Drop for NodePool {
    fn drop(&mut self) {
        drop(self.remove_where(&mut |_| true));
        self.changed.notify_one();
        self.surplus_counter.forget(&self.name);
        let mut node_pools = self.pool.node_pools.borrow_mut();
        // A new pool for the same node may have replaced this one.
        if node_pools.get(&self.node).is_some_and(|node_pool| node_pool.strong_count() == 0) {
            node_pools.remove(&self.node);
        }
    }
}

/// Watches the idle connections of a node: closes those on which something arrives, and confirms deliveries on those that stay quiet.
async fn watch_idle(node_pool: Weak<NodePool>, changed: Rc<Notify>) {
    while let Some(next) = node_pool.upgrade().map(|node_pool| node_pool.next_confirmation()) {
        let input = poll_fn(|cx| match node_pool.upgrade() {
            Some(node_pool) => node_pool.poll_input(cx),
            None => Poll::Ready(()),
        });
        let rested = async {
            match next {
                Some(at) => sleep_until(at.into()).await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            () = input => {}
            () = changed.notified() => {}
            () = rested => {
                let now = Instant::now();
                node_pool.upgrade().iter().for_each(|node_pool| node_pool.confirm_quiet(now));
            }
        }
    }
}
