//! Which idle connection is closed first where another one is wanted and there is room for no more.
//!
//! Owns numbers only: which connections are open, and which of them idle since when. It may know no socket and no
//! clock. The policy: a node's surplus goes before any node's last one, since a node with none costs its next call a
//! handshake; among those, what has idled longest goes first, since it is the least likely to be used and the most
//! likely to be closed from the other side. Calls are never kept from going out: where nothing is idle, one more
//! connection than wanted is opened, and the module's slots bound the calls.
use slatethread::EndpointId;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

/// A connection's number.
pub type Number = u64;

/// All connections of a front to its nodes.
#[derive(Debug, Default)]
pub struct IdlePool {
    most: Option<usize>,
    open: usize,
    last: Number,
    /// Idle ones of each node, the one idle longest first. A node without any has no entry.
    idle: HashMap<EndpointId, BTreeMap<Number, Instant>>,
    /// Idle ones that are a node's only one, and all others, the one idle longest first.
    only: BTreeSet<(Instant, Number, EndpointId)>,
    surplus: BTreeSet<(Instant, Number, EndpointId)>,
}

impl IdlePool {
    /// How many may be open at once; none for no limit.
    pub fn set_most(&mut self, most: Option<usize>) {
        self.most = most;
    }

    /// Connections open, idle ones counted.
    pub fn open(&self) -> usize {
        self.open
    }

    /// One is about to be opened. Gives the idle one to close for it, if the room is full.
    pub fn make_room(&mut self) -> Option<(EndpointId, Number)> {
        let full = self.most.is_some_and(|most| self.open >= most);
        let (_, number, node) = *self.surplus.first().or(self.only.first()).filter(|_| full)?;
        self.take(node, number);
        Some((node, number))
    }

    pub fn opened(&mut self) {
        self.open += 1;
    }

    pub fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// One has become idle; gives its number while it is.
    pub fn put(&mut self, now: Instant, node: EndpointId) -> Number {
        self.last += 1;
        let line = self.idle.entry(node).or_default();
        if line.len() == 1 {
            let (number, since) = line.first_key_value().map(|(n, s)| (*n, *s)).expect("one");
            self.only.remove(&(since, number, node));
            self.surplus.insert((since, number, node));
        }
        line.insert(self.last, now);
        let set = if line.len() == 1 { &mut self.only } else { &mut self.surplus };
        set.insert((now, self.last, node));
        self.last
    }

    /// One is idle no more: it is used again, or was closed.
    pub fn take(&mut self, node: EndpointId, number: Number) {
        let Some(line) = self.idle.get_mut(&node) else { return };
        let Some(since) = line.remove(&number) else { return };
        self.only.remove(&(since, number, node));
        self.surplus.remove(&(since, number, node));
        match line.first_key_value().map(|(n, s)| (*n, *s)) {
            None => drop(self.idle.remove(&node)),
            Some((number, since)) if line.len() == 1 => {
                self.surplus.remove(&(since, number, node));
                self.only.insert((since, number, node));
            }
            Some(_) => {}
        }
    }
}

#[cfg(test)]
mod tests;
