//! The connection pool of one gateway: how many connections are open, which one carries the stream of a claim, and when
//! a connection is closed. The pool does no I/O and reads no clock: callers report events together with the current time
//! and carry out the [`Action`]s that the pool returns.
//!
//! A claim is in exactly one state: it waits for a stream, or it has a stream on one connection, until it is released. A
//! connection that is draining, is suspect, or has reached its stream limit gets no new streams.
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use crate::config::PoolLimits;

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// Identifies a claim that waits for a stream or has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId(u64);

/// What the owner of the pool has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection, and report the result with [`Pool::connected`] or [`Pool::connect_failed`].
    Dial(ConnectionId),
    /// Send a PING, and report its acknowledgement with [`Pool::activity`].
    Ping(ConnectionId),
    /// Close a connection that has no streams.
    Close(ConnectionId),
    /// Abort an unresponsive connection. Its claims fail with I/O errors of their own.
    Abort(ConnectionId),
    /// The claim may open a stream on the connection.
    Grant(ClaimId, ConnectionId),
    /// The claim gets no stream.
    Deny(ClaimId, Denial),
}

/// Why a claim gets no stream. Nothing of it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No connection could be established.
    NoConnection,
    /// The gateway is no longer listed.
    GatewayRemoved,
}

/// How a claim ended, as far as the connection is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The gateway sent something on its stream.
    Responded,
    /// It was given up, or it ended together with its connection.
    NoResponse,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Connecting,
    Open,
    /// The connection gets no new streams.
    Draining,
    /// The connection has ended, but not all claims on it have been released yet.
    Closed,
}

struct Connection {
    state: State,
    /// Concurrent streams that the gateway allows (SETTINGS_MAX_CONCURRENT_STREAMS).
    peer_max_streams: usize,
    /// Claims with a stream on it, and when each was granted.
    streams: BTreeMap<ClaimId, Instant>,
    /// When anything was last received on it.
    last_activity: Instant,
    /// When the PING that is still unacknowledged was sent.
    ping_sent: Option<Instant>,
    /// A claim on it ended without any response. It gets no new streams until something is received.
    suspect: bool,
    /// When a stream on it last ended.
    idle_since: Instant,
}

impl Connection {
    fn available_streams(&self, limits: &PoolLimits) -> usize {
        let usable = self.state == State::Open && !self.suspect;
        if usable {
            limits.max_streams.min(self.peer_max_streams).saturating_sub(self.streams.len())
        } else {
            0
        }
    }

    fn is_live(&self) -> bool {
        matches!(self.state, State::Connecting | State::Open)
    }
}

/// The connection pool of one gateway.
pub struct Pool {
    limits: PoolLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    waiting: VecDeque<ClaimId>,
    /// The connection that carries the stream of each claim.
    assignments: BTreeMap<ClaimId, ConnectionId>,
    /// When a connection attempt last failed.
    last_failure: Option<Instant>,
    next_id: u64,
}

impl Pool {
    pub fn new(limits: PoolLimits) -> Self {
        let (connections, assignments) = (BTreeMap::new(), BTreeMap::new());
        Pool { limits, connections, waiting: VecDeque::new(), assignments, last_failure: None, next_id: 0 }
    }

    /// Replaces the limits. Connections and streams above the new limits end normally.
    pub fn set_limits(&mut self, limits: PoolLimits) {
        self.limits = limits;
    }

    pub fn limits(&self) -> PoolLimits {
        self.limits
    }

    /// Whether the pool has neither connections nor waiting claims.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty() && self.waiting.is_empty()
    }

    /// Requests a stream. The claim is granted or denied one eventually, unless it is released first.
    pub fn request_stream(&mut self, now: Instant, actions: &mut Vec<Action>) -> ClaimId {
        self.next_id += 1;
        let claim = ClaimId(self.next_id);
        self.waiting.push_back(claim);
        self.dispatch(now, actions);
        claim
    }

    /// Releases the stream of a claim, or cancels its wait for one.
    pub fn release(&mut self, now: Instant, claim: ClaimId, result: ClaimResult, actions: &mut Vec<Action>) {
        let Some(id) = self.assignments.remove(&claim) else {
            return self.waiting.retain(|c| *c != claim);
        };
        let connection = self.connections.get_mut(&id).expect("claims have streams on known connections");
        let since = connection.streams.remove(&claim);
        connection.idle_since = now;
        match result {
            ClaimResult::Responded => self.record_activity(now, id),
            // Guards against a connection that died silently and fails one claim after another.
            ClaimResult::NoResponse
                if since.is_some_and(|since| connection.last_activity < since)
                    && connection.state == State::Open =>
            {
                connection.suspect = true;
                if connection.ping_sent.is_none() {
                    connection.ping_sent = Some(now);
                    actions.push(Action::Ping(id));
                }
            }
            ClaimResult::NoResponse => {}
        }
        self.remove_if_drained(id, actions);
        self.dispatch(now, actions);
    }

    /// A connection is established; the gateway allows `max_streams` concurrent streams.
    pub fn connected(
        &mut self,
        now: Instant,
        id: ConnectionId,
        max_streams: usize,
        actions: &mut Vec<Action>,
    ) {
        match self.connections.get_mut(&id).filter(|connection| connection.state == State::Connecting) {
            Some(connection) => {
                (
                    connection.state,
                    connection.peer_max_streams,
                    connection.last_activity,
                    connection.idle_since,
                ) = (State::Open, max_streams, now, now);
                self.dispatch(now, actions);
            }
            // The gateway was removed meanwhile.
            None => actions.push(Action::Close(id)),
        }
    }

    /// A connection attempt failed. Unless another connection is open, denies the waiting claims that the remaining
    /// connection attempts could not serve.
    pub fn connect_failed(&mut self, now: Instant, id: ConnectionId, actions: &mut Vec<Action>) {
        if self.connections.get(&id).is_some_and(|connection| connection.state == State::Connecting) {
            self.connections.remove(&id);
        }
        self.last_failure = Some(now);
        if !self.connections.values().any(|connection| connection.state == State::Open) {
            // The remaining connection attempts are enough for the other claims.
            let unserved = self.waiting.len().saturating_sub(self.pending_capacity());
            actions.extend(
                self.waiting.drain(..unserved).map(|claim| Action::Deny(claim, Denial::NoConnection)),
            );
        }
        self.dispatch(now, actions);
    }

    /// Streams that the connections being established will provide.
    fn pending_capacity(&self) -> usize {
        let connecting = self.connections.values().filter(|c| c.state == State::Connecting).count();
        connecting.saturating_mul(self.limits.max_streams.max(1))
    }

    /// The gateway changed its limit of concurrent streams; 0 is valid.
    pub fn set_peer_max_streams(
        &mut self,
        now: Instant,
        id: ConnectionId,
        max_streams: usize,
        actions: &mut Vec<Action>,
    ) {
        if let Some(connection) =
            self.connections.get_mut(&id).filter(|connection| connection.peer_max_streams != max_streams)
        {
            connection.peer_max_streams = max_streams;
            self.dispatch(now, actions);
        }
    }

    /// A PING was acknowledged, or anything else was received.
    pub fn activity(&mut self, now: Instant, id: ConnectionId, actions: &mut Vec<Action>) {
        self.record_activity(now, id);
        self.dispatch(now, actions);
    }

    fn record_activity(&mut self, now: Instant, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            (connection.last_activity, connection.ping_sent, connection.suspect) = (now, None, false);
        }
    }

    /// The gateway accepts no more streams on this connection (GOAWAY, or a response to that effect). Open streams continue.
    pub fn going_away(&mut self, now: Instant, id: ConnectionId, actions: &mut Vec<Action>) {
        if let Some(connection) =
            self.connections.get_mut(&id).filter(|connection| connection.state == State::Open)
        {
            connection.state = State::Draining;
            self.remove_if_drained(id, actions);
            self.dispatch(now, actions);
        }
    }

    /// A connection has ended.
    pub fn closed(&mut self, now: Instant, id: ConnectionId, actions: &mut Vec<Action>) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.state = State::Closed;
            self.remove_if_drained(id, actions);
            self.dispatch(now, actions);
        }
    }

    /// The gateway was removed from the list or its address changed: denies waiting claims, drops connection attempts,
    /// drains open connections and closes idle ones.
    pub fn remove_gateway(&mut self, actions: &mut Vec<Action>) {
        actions.extend(self.waiting.drain(..).map(|claim| Action::Deny(claim, Denial::GatewayRemoved)));
        self.connections.retain(|_, connection| connection.state != State::Connecting);
        for id in self.connections.keys().copied().collect::<Vec<_>>() {
            let connection = self.connections.get_mut(&id).expect("just seen");
            connection.state =
                if connection.state == State::Open { State::Draining } else { connection.state };
            self.remove_if_drained(id, actions);
        }
    }

    /// Closes all connections without streams.
    pub fn close_idle(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.close_if(actions, |_| true);
        // Claims may be waiting despite an idle connection: the gateway may have allowed no streams on it.
        self.dispatch(now, actions);
    }

    /// Runs the time-based checks: closes idle connections, pings quiet ones and aborts those that do not answer a PING.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let PoolLimits { ping_after, pong_timeout, idle_timeout, .. } = self.limits;
        self.close_if(actions, |connection| now >= connection.idle_since + idle_timeout);
        let mut silent = Vec::new();
        for (id, connection) in &mut self.connections {
            if !matches!(connection.state, State::Open | State::Draining) {
                continue;
            }
            match connection.ping_sent {
                Some(since) if now >= since + pong_timeout => silent.push(*id),
                None if !connection.streams.is_empty() && now >= connection.last_activity + ping_after => {
                    connection.ping_sent = Some(now);
                    actions.push(Action::Ping(*id));
                }
                _ => {}
            }
        }
        for id in silent {
            actions.push(Action::Abort(id));
            self.closed(now, id, actions);
        }
        self.dispatch(now, actions);
    }

    fn close_if(&mut self, actions: &mut Vec<Action>, should_close: impl Fn(&Connection) -> bool) {
        self.connections.retain(|id, connection| {
            let close =
                connection.state == State::Open && connection.streams.is_empty() && should_close(connection);
            actions.extend(close.then_some(Action::Close(*id)));
            !close
        });
    }

    fn remove_if_drained(&mut self, id: ConnectionId, actions: &mut Vec<Action>) {
        let done = |connection: &Connection| {
            connection.streams.is_empty() && matches!(connection.state, State::Draining | State::Closed)
        };
        if self.connections.get(&id).is_some_and(done) {
            let connection = self.connections.remove(&id).expect("just seen");
            actions.extend((connection.state == State::Draining).then_some(Action::Close(id)));
        }
    }

    /// Grants streams to waiting claims in FIFO order, and opens connections while claims outnumber available streams.
    fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(claim) = self.waiting.front().copied()
            && let Some(id) = self.select_connection()
        {
            self.waiting.pop_front();
            self.connections.get_mut(&id).expect("just selected").streams.insert(claim, now);
            self.assignments.insert(claim, id);
            actions.push(Action::Grant(claim, id));
        }
        loop {
            let live = self.connections.values().filter(|c| c.is_live()).count();
            if self.pending_capacity() >= self.waiting.len() || live >= self.limits.max_connections.max(1) {
                return;
            }
            // Guards against repeated connection attempts to a gateway that allows no further connection.
            let open = self.connections.values().any(|connection| connection.state == State::Open);
            if open && self.last_failure.is_some_and(|at| now < at + self.limits.connect_timeout) {
                return;
            }
            self.next_id += 1;
            let (id, streams) = (ConnectionId(self.next_id), BTreeMap::new());
            let connection = Connection {
                state: State::Connecting,
                peer_max_streams: 0,
                streams,
                last_activity: now,
                ping_sent: None,
                suspect: false,
                idle_since: now,
            };
            self.connections.insert(id, connection);
            actions.push(Action::Dial(id));
        }
    }

    /// Selects the connection for the next stream: the oldest one that is less than half full, so that load concentrates
    /// and the others become idle and are closed; otherwise the one with the most available streams.
    fn select_connection(&self) -> Option<ConnectionId> {
        let mut open = self.connections.iter().map(|(id, connection)| {
            (connection.available_streams(&self.limits), connection.streams.len(), *id)
        });
        let under_half = open.clone().find(|(free, used, _)| free > used);
        let best =
            under_half.or_else(|| open.by_ref().max_by_key(|(free, _, id)| (*free, std::cmp::Reverse(*id))));
        best.filter(|(free, _, _)| *free > 0).map(|(_, _, id)| id)
    }
}

#[cfg(test)]
mod tests;
