//! Execute nodes: the list of them, the leave to send one a claim, and the waits they tell.
use slatethread::{Condition, DestId, Endpoint, EndpointId, Event, KindId, ListScope, ZoneId};
use std::cell::Cell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::{Carrier, Core, State};
use crate::config::{Lifecycle, NodeList};

/// Longest name of a node, and of a zone together with it, that fits into a journal record.
const LONGEST_NODE_NAME: usize = 200;

/// For so long after its last node has gone, a destination is taken to get another.
const GONE_KEPT: Duration = Duration::from_secs(30);

/// An execute node.
#[derive(Debug)]
pub struct Node {
    pub id: EndpointId,
    pub name: String,
    pub address: SocketAddr,
    pub zone: ZoneId,
    pub dest: u64,
    pub kind: KindId,
    pub weight: Option<f64>,
    /// Neither draining nor gone.
    open: Cell<bool>,
}

/// The leave to send one claim, asked for right before its first byte.
pub struct Ticket {
    node: Rc<Node>,
    /// End of the wait told by its destination.
    wait: Rc<Cell<Instant>>,
    not_after: Option<Instant>,
    sent: Cell<bool>,
    delivered: Cell<bool>,
}

impl Ticket {
    /// Guards against claims that were decided on, waited for their connection, and would be sent to a
    /// node that drains by now, into a wait told by now, or past the memory of an earlier claim.
    pub fn may_begin(&self) -> bool {
        let now = Instant::now();
        self.node.open.get() && now >= self.wait.get() && self.not_after.is_none_or(|end| now < end)
    }

    /// To be called once the last byte is on its way: from here on the claim may run.
    pub fn mark_sent(&self) {
        self.sent.set(true);
    }

    pub fn is_sent(&self) -> bool {
        self.sent.get()
    }

    /// To be called once the node has said that the message is delivered, whatever it says after that.
    pub fn mark_delivered(&self) {
        self.delivered.set(true);
    }

    pub fn is_delivered(&self) -> bool {
        self.delivered.get()
    }
}

impl<C: Carrier> Core<C> {
    /// Takes in news of the list of execute nodes.
    pub fn take_list(&self, list: &NodeList, stale: bool) {
        let mut state = self.state.borrow_mut();
        let rules = self.rules();
        let names = &rules.names;
        let mut entries = Vec::with_capacity(list.instances.len());
        let mut listed = HashSet::new();
        for entry in &list.instances {
            if entry.instance_id.len() > LONGEST_NODE_NAME {
                // Journal records must stay within the room that is kept for them.
                tracing::warn!(address = entry.host_port, "a node's name is too long; left out");
                continue;
            }
            let Ok(address) = entry.host_port.parse::<SocketAddr>() else {
                tracing::warn!(node = entry.instance_id, address = entry.host_port, "no address; left out");
                continue;
            };
            let id = match state.by_name.get(&entry.instance_id) {
                Some(id) => *id,
                None if entry.lifecycle == Lifecycle::Deleted => continue,
                None => {
                    state.next_node += 1;
                    let id = EndpointId(state.next_node);
                    state.by_name.insert(entry.instance_id.clone(), id);
                    id
                }
            };
            listed.insert(id);
            let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
            // A zone or kind that the settings do not name is none of theirs.
            let zone = place(&names.zones, &entry.zone).unwrap_or(names.zones.len());
            let kind = place(&names.kinds, &entry.machine_type);
            let node = Node {
                id,
                name: entry.instance_id.clone(),
                address,
                zone: ZoneId(zone),
                dest: entry.cell,
                kind: KindId(kind.unwrap_or(names.kinds.len())),
                weight: entry.weight,
                open: Cell::new(entry.lifecycle == Lifecycle::Serving),
            };
            let condition = match entry.lifecycle {
                Lifecycle::Serving => Condition::Active,
                Lifecycle::Draining | Lifecycle::Other => Condition::Leaving,
                Lifecycle::Deleted => Condition::Left,
            };
            entries.push(endpoint(&node, condition));
            self.put_node(&mut state, node, condition);
        }
        let scope = match (list.reset, stale) {
            (true, false) => ListScope::Whole,
            (true, true) => ListScope::Stale,
            (false, _) => ListScope::Patch,
        };
        if list.reset {
            let gone: Vec<_> = state.nodes.values().filter(|n| !listed.contains(&n.id)).cloned().collect();
            gone.iter().for_each(|node| self.drop_node(&mut state, node));
        }
        state.inbox.push(Event::List { scope, entries });
        self.wake.notify_one();
    }

    fn put_node(&self, state: &mut State, node: Node, condition: Condition) {
        if condition == Condition::Left {
            if let Some(node) = state.nodes.get(&node.id).cloned() {
                self.drop_node(state, &node);
            }
            return;
        }
        match state.nodes.get(&node.id) {
            Some(old) if old.address == node.address && old.dest == node.dest => {
                old.open.set(node.open.get())
            }
            old => {
                if let Some(old) = old {
                    old.open.set(false);
                    self.carrier.forget(old);
                }
                state.nodes.insert(node.id, Rc::new(node));
            }
        }
    }

    fn drop_node(&self, state: &mut State, node: &Rc<Node>) {
        node.open.set(false);
        self.carrier.forget(node);
        state.nodes.remove(&node.id);
        state.by_name.remove(&node.name);
        let now = Instant::now();
        state.gone.retain(|_, at| now < *at + GONE_KEPT);
        state.gone.insert(node.dest, now);
        state.waits.remove(&(node.dest, Some(node.id)));
    }

    /// Whether there is such a destination, or was one a moment ago. Guards against holding what nobody will ever
    /// serve; while nothing is listed at all, nobody can say.
    pub(super) fn knows(&self, dest: u64) -> bool {
        let state = self.state.borrow();
        let listed = state.nodes.is_empty() || state.nodes.values().any(|node| node.dest == dest);
        listed || state.gone.get(&dest).is_some_and(|at| at.elapsed() < GONE_KEPT)
    }

    /// The list could not be had.
    pub fn list_broken(&self) {
        self.state.borrow_mut().inbox.push(Event::List { scope: ListScope::Broken, entries: Vec::new() });
        self.wake.notify_one();
    }

    /// A claim's leave to be sent to a node, before that time if one is given.
    pub(super) fn ticket(&self, node: &Rc<Node>, not_after: Option<Instant>) -> Rc<Ticket> {
        Rc::new(Ticket {
            node: node.clone(),
            wait: self.wait_of(node),
            not_after,
            sent: Cell::new(false),
            delivered: Cell::new(false),
        })
    }

    /// End of the wait told by a node's destination, or by the node where nodes are routes apart.
    pub(super) fn wait_of(&self, node: &Node) -> Rc<Cell<Instant>> {
        let apart = self.rules().settings.kinds.get(node.kind.0).and_then(|k| k.apart).unwrap_or(false);
        let unit = (node.dest, apart.then_some(node.id));
        let mut state = self.state.borrow_mut();
        state.waits.entry(unit).or_insert_with(|| Rc::new(Cell::new(self.start))).clone()
    }
}

fn endpoint(node: &Node, condition: Condition) -> Endpoint {
    Endpoint {
        id: node.id,
        dest: DestId(node.dest),
        zone: node.zone,
        kind: node.kind,
        condition,
        weight: node.weight,
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    /// A ticket for a node of its own.
    pub(crate) fn ticket(open: bool, wait: Duration, memory: Option<Duration>) -> Rc<Ticket> {
        let now = Instant::now();
        let node = Node {
            id: EndpointId(1),
            name: "n".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: ZoneId(0),
            dest: 7,
            kind: KindId(0),
            weight: None,
            open: Cell::new(open),
        };
        Rc::new(Ticket {
            node: Rc::new(node),
            wait: Rc::new(Cell::new(now + wait)),
            not_after: memory.map(|left| now + left),
            sent: Cell::new(false),
            delivered: Cell::new(false),
        })
    }

    #[test]
    fn no_claim_begins_at_a_draining_node_in_a_wait_or_past_a_memory() {
        let (none, long) = (Duration::ZERO, Duration::from_secs(9));
        assert!(ticket(true, none, None).may_begin());
        assert!(ticket(true, none, Some(long)).may_begin());
        assert!(!ticket(false, none, None).may_begin());
        assert!(!ticket(true, long, None).may_begin());
        assert!(!ticket(true, none, Some(none)).may_begin());
    }
}
