//! Decides which idle connection to close when a new one is needed and the limit of open connections is reached.
//!
//! Keeps only numbers: how many connections are open, and which of them have been idle since when. It touches neither sockets nor a
//! clock. The policy: connections that are not a node's only idle one are closed first, since a node without an idle connection
//! needs a handshake for its next call. Among these, the one that has been idle for longest is closed, since it is the least likely
//! to be used and the most likely to be closed by the node. The limit never delays a call: if no connection is idle, one more than
//! the limit is opened, and the decision module's slots bound the number of calls.
use slatethread::EndpointId;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

/// Identifies an idle connection.
pub type ConnectionId = u64;

/// The open connections of a front to its nodes.
#[derive(Debug, Default)]
pub struct IdlePool {
    max_open: Option<usize>,
    open: usize,
    last_id: ConnectionId,
    /// The idle connections of each node, the longest idle first. A node without any has no entry.
    idle: HashMap<EndpointId, BTreeMap<ConnectionId, Instant>>,
    /// Idle connections that are their node's only one, and all others; the longest idle first.
    only: BTreeSet<(Instant, ConnectionId, EndpointId)>,
    surplus: BTreeSet<(Instant, ConnectionId, EndpointId)>,
}

impl IdlePool {
    /// Sets how many connections may be open at once; `None` for no limit.
    pub fn set_max_open(&mut self, max_open: Option<usize>) {
        self.max_open = max_open;
    }

    /// The number of open connections, including idle ones.
    pub fn open(&self) -> usize {
        self.open
    }

    /// To be called before a connection is opened. Returns the idle connection to close for it, if the limit is reached.
    pub fn evict(&mut self) -> Option<(EndpointId, ConnectionId)> {
        let full = self.max_open.is_some_and(|max_open| self.open >= max_open);
        let (_, id, node) = *self.surplus.first().or(self.only.first()).filter(|_| full)?;
        self.remove_idle(node, id);
        Some((node, id))
    }

    pub fn opened(&mut self) {
        self.open += 1;
    }

    pub fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// A connection has become idle. Returns its id for as long as it is idle.
    pub fn add_idle(&mut self, now: Instant, node: EndpointId) -> ConnectionId {
        self.last_id += 1;
        let connections = self.idle.entry(node).or_default();
        if connections.len() == 1 {
            let (id, since) =
                connections.first_key_value().map(|(id, since)| (*id, *since)).expect("it has one");
            self.only.remove(&(since, id, node));
            self.surplus.insert((since, id, node));
        }
        connections.insert(self.last_id, now);
        let set = if connections.len() == 1 { &mut self.only } else { &mut self.surplus };
        set.insert((now, self.last_id, node));
        self.last_id
    }

    /// A connection is no longer idle: it is used again, or was closed.
    pub fn remove_idle(&mut self, node: EndpointId, id: ConnectionId) {
        let Some(connections) = self.idle.get_mut(&node) else { return };
        let Some(since) = connections.remove(&id) else { return };
        self.only.remove(&(since, id, node));
        self.surplus.remove(&(since, id, node));
        match connections.first_key_value().map(|(id, since)| (*id, *since)) {
            None => drop(self.idle.remove(&node)),
            Some((id, since)) if connections.len() == 1 => {
                self.surplus.remove(&(since, id, node));
                self.only.insert((since, id, node));
            }
            Some(_) => {}
        }
    }
}

#[cfg(test)]
mod tests;
