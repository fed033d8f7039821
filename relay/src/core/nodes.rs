//! Applies lists of execute nodes, and keeps the waits that nodes request.
use slatethread::{Condition, DestId, Endpoint, Event, ListScope};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::task::yield_now;

use super::address_owners::AddressClaim;
use super::node_table::prune;
use super::{Core, Node, State, Transport};
use crate::config::Rules;
use crate::disabled::DisableError;
use crate::job::nanos;
use crate::list::{Lifecycle, NodeEntry, NodeList};

/// Longest name of a node, and of a zone together with it, that fits into a journal record.
const MAX_NODE_NAME: usize = 200;

/// Number of nodes that are removed before other tasks can run.
const REMOVAL_BATCH: usize = 250;

/// Why a node could not be disabled or enabled.
#[derive(Debug)]
pub enum SetDisabledError {
    /// There is no node with this name.
    Unknown,
    NotStored(DisableError),
    /// Another process has taken over.
    HandedOver,
}

fn unix_ms(at: SystemTime) -> u64 {
    at.duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl<C: Transport> Core<C> {
    /// Applies a full list or changes to it, one list after the other. The decision module receives only the changes, so
    /// that its cost does not depend on the length of the list. A long list is applied in chunks, between which jobs can
    /// run. Entries that close nodes are applied before all others.
    pub async fn apply_list(&self, list: &NodeList) {
        let _lock = self.list_lock.lock().await;
        let number = if list.reset { self.state.borrow_mut().nodes.next_list() } else { 0 };
        let mut has_updates = Vec::new();
        for chunk in 0..list.chunk_count() {
            if chunk > 0 {
                yield_now().await;
            }
            has_updates.push(self.apply_closures(&list.chunk(chunk), number));
        }
        if list.reset {
            let missing = self.state.borrow().nodes.missing_from(number);
            self.state.borrow_mut().nodes.forget_unlisted(number);
            missing.iter().for_each(|node| node.serving.set(false));
            for chunk in missing.chunks(REMOVAL_BATCH) {
                self.update_list(|state| chunk.iter().map(|node| self.remove_node(state, node)).collect());
                yield_now().await;
            }
        }
        for chunk in (0..list.chunk_count()).filter(|chunk| has_updates[*chunk]) {
            if chunk > 0 {
                yield_now().await;
            }
            let entries = list.chunk(chunk);
            let rules = self.rules();
            self.update_list(|state| {
                let updates = entries.iter().flat_map(|entry| self.apply_entry(state, &rules, entry, number));
                updates.collect()
            });
        }
        self.generation.set(Some(list.generation));
        // Even if nothing changed, informs the decision module that the list is available.
        self.update_list(|_| Vec::new());
    }

    /// Changes the listed nodes, and passes the resulting updates to the decision module.
    pub(super) fn update_list(&self, change: impl FnOnce(&mut State) -> Vec<Endpoint>) {
        let mut state = self.state.borrow_mut();
        let entries = change(&mut state);
        state.inbox.push(Event::List { scope: ListScope::Patch, entries });
        self.wake.notify_one();
    }

    /// Waits until no list is being applied.
    pub async fn lists_applied(&self) {
        drop(self.list_lock.lock().await);
    }

    /// Applies the entries that close nodes, and marks the nodes of all entries as contained in this full list. True if
    /// other entries have changes.
    fn apply_closures(&self, entries: &[NodeEntry], list: u32) -> bool {
        let rules = self.rules();
        let mut has_updates = false;
        let mut closing = Vec::new();
        for entry in entries {
            let state = self.state.borrow();
            let known = state.nodes.by_name(&entry.instance_id);
            if list > 0 && entry.lifecycle != Lifecycle::Deleted {
                let superseded = state.nodes.superseded_by_name(&entry.instance_id);
                known.into_iter().chain(superseded).for_each(|node| node.last_full_list.set(list));
            }
            // Repeated even for a closed node, since its exact state is not stored.
            if entry.lifecycle != Lifecycle::Serving {
                closing.push(entry);
            } else {
                has_updates |= !known.is_some_and(|node| node.matches(entry, &rules));
            }
        }
        if !closing.is_empty() {
            self.update_list(|state| {
                closing.iter().flat_map(|entry| self.apply_entry(state, &rules, entry, list)).collect()
            });
        }
        has_updates
    }

    /// Applies an entry; returns the updates for the decision module.
    fn apply_entry(&self, state: &mut State, rules: &Rules, entry: &NodeEntry, list: u32) -> Vec<Endpoint> {
        let serving = entry.lifecycle == Lifecycle::Serving;
        if serving && state.nodes.by_name(&entry.instance_id).is_some_and(|node| node.matches(entry, rules)) {
            return Vec::new();
        }
        if entry.instance_id.len() > MAX_NODE_NAME {
            // Journal records must stay within the space reserved for them.
            tracing::warn!(address = &*entry.host_port, "the name of a node is too long; ignoring the node");
            return Vec::new();
        }
        let known = state.nodes.by_name(&entry.instance_id).cloned();
        if entry.lifecycle == Lifecycle::Deleted {
            state.nodes.forget_superseded(&entry.instance_id);
            return known.iter().map(|node| self.remove_node(state, node)).collect();
        }
        let Ok(address) = entry.host_port.parse::<SocketAddr>() else {
            let (node, address) = (&*entry.instance_id, &*entry.host_port);
            tracing::warn!(node, address, "invalid address; ignoring the node");
            // The node is no longer at its previous address.
            return known.iter().map(|node| self.remove_node(state, node)).collect();
        };
        // A node that has moved counts as a new one: neither its learned state nor its connections are valid any more.
        let unmoved = known.as_ref().filter(|node| node.address == address && node.dest == entry.cell);
        let unmoved = unmoved.map(|node| node.id);
        let id = unmoved.unwrap_or_else(|| state.nodes.next_id());
        let node = Node::from_entry(id, address, entry, rules, list);
        node.set_disabled(self.disabled.borrow().contains(&entry.instance_id));
        known.iter().for_each(|known| node.set_enabled_ms(known.enabled_ms()));
        let mut updates = Vec::new();
        match state.nodes.claim_address(&node) {
            AddressClaim::Free => {}
            AddressClaim::Supersedes(older) => {
                log_superseded(&older, &node);
                updates.push(self.remove_node(state, &older));
                state.nodes.set_superseded(older);
            }
            AddressClaim::Superseded(owner) => {
                if state.nodes.superseded_by_name(&node.name).is_none() {
                    log_superseded(&node, &owner);
                }
                updates.extend(known.iter().map(|known| self.remove_node(state, known)));
                node.serving.set(false);
                state.nodes.set_superseded(Rc::new(node));
                return updates;
            }
        }
        let update = self.endpoint(&node, node.condition());
        match (known, unmoved.is_some()) {
            (Some(old), true) => {
                if entry.started_at_ms > old.started_ms.get() {
                    // Its idle connections are those of the process before.
                    self.transport.close_idle(&old);
                }
                // Updated in place, since pending claims check this instance before they are sent.
                old.update(&node);
            }
            (Some(old), false) => {
                updates.push(self.remove_node(state, &old));
                state.nodes.insert(node);
            }
            (None, _) => {
                state.nodes.insert(node);
            }
        }
        updates.push(update);
        updates
    }

    /// Removes a node; returns the update for the decision module.
    fn remove_node(&self, state: &mut State, node: &Rc<Node>) -> Endpoint {
        node.serving.set(false);
        self.transport.node_removed(node);
        state.nodes.remove(node);
        state.waits.remove(&(node.dest, Some(node.id)));
        self.endpoint(node, Condition::Removed)
    }

    /// Whether a job for the destination may be accepted: it has a node or lost its last one recently. Jobs that no
    /// node will ever serve are not queued. While no node is listed at all, every destination is accepted.
    pub(super) fn knows_destination(&self, dest: u64) -> bool {
        self.state.borrow().nodes.knows_destination(dest)
    }

    /// A node in the decision module's terms. Its start is converted to the module's clock; a start in the future
    /// counts as now.
    pub(super) fn endpoint(&self, node: &Node, condition: Condition) -> Endpoint {
        let started_ms = node.started_ms.get().max(node.enabled_ms());
        let started = SystemTime::UNIX_EPOCH.checked_add(Duration::from_millis(started_ms));
        let ago = started.filter(|_| started_ms > 0);
        let ago = ago.map(|at| SystemTime::now().duration_since(at).unwrap_or_default());
        let now = self.module_time(Instant::now());
        Endpoint {
            id: node.id,
            dest: DestId(node.dest),
            zone: node.zone(),
            kind: node.kind(),
            condition,
            weight: node.weight(),
            started: ago.map_or(0, |ago| now.saturating_sub(nanos(ago))),
        }
    }

    /// Disables a node, whatever the list says about it, or enables it again. The decision module sees it as draining
    /// meanwhile and as just started afterwards, since operators restart the nodes that they disable.
    pub fn set_disabled(&self, name: &str, disabled: bool) -> Result<(), SetDisabledError> {
        if self.is_handed_over() {
            return Err(SetDisabledError::HandedOver);
        }
        let was_disabled = self.disabled.borrow().contains(name);
        let node = self.state.borrow().nodes.by_name(name).cloned();
        if !was_disabled && node.is_none() {
            return Err(SetDisabledError::Unknown);
        }
        self.disabled.borrow_mut().set(name, disabled).map_err(SetDisabledError::NotStored)?;
        if was_disabled != disabled {
            tracing::info!(node = name, out = disabled, "an operator disabled or enabled an execute node");
        }
        if let Some(node) = node.filter(|node| node.set_disabled(disabled)) {
            if !disabled {
                node.set_enabled_ms(unix_ms(SystemTime::now()));
            }
            self.update_list(|_| vec![self.endpoint(&node, node.condition())]);
        }
        Ok(())
    }

    /// A call to discovery for the list has failed.
    pub fn list_unavailable(&self, how: ListScope) {
        self.list_call_failed(how);
        self.state.borrow_mut().inbox.push(Event::List { scope: how, entries: Vec::new() });
        self.wake.notify_one();
    }

    /// The timeout of a call to discovery other than the renewal of a watch; `has_list` says whether the call requests
    /// changes to a list rather than a full one.
    pub fn list_call_timeout(&self, has_list: bool) -> Duration {
        Duration::from_nanos(self.state.borrow().dispatcher.list_timeout(has_list))
    }

    /// Whether the nodes of a destination of this kind are separate routes.
    pub(super) fn is_separate_route(&self, node: &Node) -> bool {
        self.rules().settings.kinds.get(node.kind().0).and_then(|k| k.separate_routes).unwrap_or(false)
    }

    /// Applies a wait requested by a node: no claim is sent there before its end, nor before the end of an earlier one.
    pub(super) fn extend_wait(&self, node: &Node, wait: Duration) {
        let until = self.wait_end(node);
        until.set(until.get().max(Instant::now() + wait));
    }

    /// The end of the wait requested by a node's destination, or by the node itself if nodes are separate routes.
    pub(super) fn wait_end(&self, node: &Node) -> Rc<Cell<Instant>> {
        let key = (node.dest, self.is_separate_route(node).then_some(node.id));
        let mut state = self.state.borrow_mut();
        let State { waits, waits_after_pruning, .. } = &mut *state;
        // Removes waits that have ended and that no claim refers to: otherwise one would be kept for each destination
        // ever called.
        let now = Instant::now();
        prune(waits, waits_after_pruning, |_, until| Rc::strong_count(until) > 1 || until.get() > now);
        waits.entry(key).or_insert_with(|| Rc::new(Cell::new(self.start))).clone()
    }
}

/// Logs that a node has taken the address of another.
fn log_superseded(older: &Node, newer: &Node) {
    let (node, address) = (&*older.name, newer.address);
    tracing::info!(node, %address, by = &*newer.name, "another node has the address; no claims are sent to this one");
}

#[cfg(test)]
pub(crate) mod tests;
