//! Execute nodes: their list, the permits to send them claims, and the waits that they request.
use compact_str::CompactString;
use prometheus::IntCounter;
use slatethread::{Condition, DestId, Endpoint, EndpointId, Event, KindId, ListScope, Report, ZoneId};
use std::borrow::Borrow;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::Notify;
use tokio::task::yield_now;

use super::address_owners::{AddressClaim, AddressOwners};
use super::{Confirmation, Core, LeaseClock, State, Transport};
use crate::clock;
use crate::config::Rules;
use crate::disabled::DisableError;
use crate::handover_state::ListedNode;
use crate::job::nanos;
use crate::journal::{Journal, Key, RecordedClaim};
use crate::list::{Lifecycle, NodeEntry, NodeList};

/// Longest name of a node, and of a zone together with it, that fits into a journal record.
const MAX_NODE_NAME: usize = 200;

/// How long jobs are still accepted for a destination after its last node was removed, since it may get another.
const REMOVED_DEST_TTL: Duration = Duration::from_secs(30);

/// Number of nodes that are removed before other tasks can run.
const REMOVAL_BATCH: usize = 250;

/// An execute node.
#[derive(Debug)]
pub struct Node {
    pub id: EndpointId,
    /// Stored inline if short.
    pub name: CompactString,
    pub address: SocketAddr,
    pub dest: u64,
    /// Indices of its zone and its kind in the settings.
    zone_kind: Cell<(u16, u16)>,
    /// NaN if the list has no weight for it.
    weight: Cell<f64>,
    /// Its last start, as Unix time in milliseconds; 0 means long ago.
    pub(super) started_ms: Cell<u64>,
    /// When an operator last enabled it, in the same unit.
    enabled_ms: Cell<u64>,
    /// Whether the list has it as serving, neither draining nor deleted.
    pub(super) serving: Cell<bool>,
    /// Whether an operator has disabled it.
    disabled: Cell<bool>,
    /// Number of the last full list that contained it.
    pub(super) last_full_list: Cell<u32>,
}

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

/// All listed execute nodes, indexed by number and by name.
#[derive(Default)]
pub(super) struct Nodes {
    by_id: HashMap<EndpointId, Rc<Node>>,
    by_name: HashSet<ByName>,
    /// Who has which address; `None` if several nodes may have the same one.
    addresses: Option<AddressOwners>,
    /// The number of nodes of each destination.
    dests: HashMap<u64, u32>,
    last_id: u32,
    last_full_list: u32,
    /// Destinations without nodes, and when the last one was removed; pruned when twice as many as the last pruning
    /// left.
    removed_dests: HashMap<u64, Instant>,
    removed_dests_after_pruning: usize,
}

/// A node hashed by its name, so that the name is stored only once.
struct ByName(Rc<Node>);

impl Borrow<str> for ByName {
    fn borrow(&self) -> &str {
        &self.0.name
    }
}

impl Hash for ByName {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.name.hash(state);
    }
}

impl PartialEq for ByName {
    fn eq(&self, other: &Self) -> bool {
        self.0.name == other.0.name
    }
}

impl Eq for ByName {}

impl Nodes {
    /// No nodes yet; `one_per_address` says whether an address is that of one node only.
    pub fn new(one_per_address: bool) -> Nodes {
        Nodes { addresses: one_per_address.then(AddressOwners::default), ..Nodes::default() }
    }

    pub fn get(&self, id: EndpointId) -> Option<&Rc<Node>> {
        self.by_id.get(&id)
    }

    pub fn by_name(&self, name: &str) -> Option<&Rc<Node>> {
        self.by_name.get(name).map(|named| &named.0)
    }

    pub fn all(&self) -> impl Iterator<Item = &Rc<Node>> {
        self.by_id.values()
    }

    /// Nodes that the list still has and whose address another one has taken.
    pub fn superseded(&self) -> impl Iterator<Item = &Rc<Node>> {
        self.addresses.iter().flat_map(AddressOwners::superseded)
    }

    /// The number of listed nodes, and the number of those that accept no claims.
    pub fn count(&self) -> (usize, usize) {
        (self.by_id.len(), self.by_id.values().filter(|node| !node.accepts_claims()).count())
    }

    /// Whether the destination has a node or lost its last one recently; true for all while no node is listed.
    fn knows_destination(&self, dest: u64) -> bool {
        self.by_id.is_empty()
            || self.dests.contains_key(&dest)
            || self.removed_dests.get(&dest).is_some_and(|at| at.elapsed() < REMOVED_DEST_TTL)
    }

    /// Adds a node, in place of any with the same name.
    fn insert(&mut self, node: Node) -> Rc<Node> {
        let node = Rc::new(node);
        *self.dests.entry(node.dest).or_default() += 1;
        self.by_id.insert(node.id, node.clone());
        self.by_name.insert(ByName(node.clone()));
        self.addresses.iter_mut().for_each(|addresses| addresses.insert(node.clone()));
        node
    }

    /// Assigns a number to a full list that is about to be applied; never 0.
    fn next_list(&mut self) -> u32 {
        self.last_full_list = self.last_full_list.checked_add(1).unwrap_or(1);
        self.last_full_list
    }

    fn remove(&mut self, node: &Node) {
        self.by_id.remove(&node.id);
        self.by_name.remove(&*node.name);
        self.addresses.iter_mut().for_each(|addresses| addresses.remove(node));
        let left = self.dests.get_mut(&node.dest).map_or(0, |count| {
            *count -= 1;
            *count
        });
        if left == 0 {
            self.dests.remove(&node.dest);
            self.removed_dests.insert(node.dest, Instant::now());
        }
        // Otherwise destinations that never return would be kept for ever.
        prune(&mut self.removed_dests, &mut self.removed_dests_after_pruning, |_, at| {
            at.elapsed() < REMOVED_DEST_TTL
        });
    }
}

/// Prunes a map once it has twice as many entries as the last pruning left, so that the amortized cost per insertion
/// does not depend on the size of the map.
fn prune<K: Eq + Hash, V>(map: &mut HashMap<K, V>, left: &mut usize, mut keep: impl FnMut(&K, &V) -> bool) {
    if map.len() > 2 * *left + 64 {
        map.retain(|key, value| keep(key, value));
        *left = map.len();
    }
}

/// Records a claim in the journal, right before its first byte is sent.
pub(super) struct ClaimRecord {
    journal: Rc<RefCell<Journal>>,
    key: Key,
    node: String,
    zone: Option<String>,
    written: RefCell<Option<RecordedClaim>>,
}

impl ClaimRecord {
    /// Writes the record, once; false if that fails.
    fn write(&self) -> bool {
        let mut written = self.written.borrow_mut();
        if written.is_none() {
            let claim =
                RecordedClaim { sent: clock::now(), node: self.node.clone(), zone: self.zone.clone() };
            if let Err(error) = self.journal.borrow_mut().record_claim(self.key, claim.clone()) {
                tracing::debug!(key = self.key, %error, "journal cannot record a claim; it is not sent");
                return false;
            }
            *written = Some(claim);
        }
        true
    }
}

/// The permit to send one claim. It is checked right before the first byte, and tracks what happens to the claim.
pub struct SendPermit {
    node: Rc<Node>,
    /// End of the wait requested by the claim's destination or route.
    wait: Rc<Cell<Instant>>,
    /// The lease on the list of nodes.
    lease: Rc<LeaseClock>,
    /// When the nodes may have forgotten an earlier claim's idempotency key, so that a repeat could run twice.
    not_after: Option<Instant>,
    record: Option<ClaimRecord>,
    /// When its first byte was sent, and the age of the list's confirmation at that time.
    begun: Cell<Option<(Instant, Option<Duration>)>>,
    sent: Cell<bool>,
    /// Whether a fault of this machine prevented sending.
    local_fault: Cell<bool>,
    delivered: Cell<bool>,
    /// Set if the answer is not certain yet.
    confirmation: RefCell<Option<Confirmation>>,
    /// The node's limit according to the answer.
    report: Cell<Report>,
    /// A wait requested by the answer, whatever the outcome.
    requested_wait: Cell<Option<Duration>>,
    wait_notify: Notify,
    tries: IntCounter,
}

impl SendPermit {
    /// Whether the claim may still be sent. While it waited for a connection, its node may have started to drain, the
    /// lease on the list may have expired, the destination may have requested a wait, or the nodes may have forgotten
    /// the idempotency key of an earlier claim.
    pub fn may_begin(&self) -> bool {
        self.node.accepts_claims() && self.lease.allows(Instant::now()) && self.may_continue()
    }

    /// Whether the remaining bytes of a started claim may be written. A claim counts as sent at its last byte, which a
    /// full socket buffer can delay into a requested wait or beyond `not_after`. For drains and the lease the first
    /// byte counts, so they are not checked again.
    pub fn may_continue(&self) -> bool {
        let now = Instant::now();
        now >= self.wait.get() && self.not_after.is_none_or(|end| now < end)
    }

    /// Records the claim in the journal. Must be called right before the first byte; nothing may be sent if it returns
    /// false. Recording no earlier ensures that a claim that still waits for a connection does not count as one that
    /// may have run if the process ends.
    pub fn begin(&self) -> bool {
        if !self.may_begin() {
            return false;
        }
        if !self.record.as_ref().is_none_or(ClaimRecord::write) {
            self.mark_local_fault();
            return false;
        }
        // Checked again, since writing the record may have taken long.
        let may_begin = self.may_begin();
        if may_begin {
            let now = Instant::now();
            self.begun.set(Some((now, self.lease.age(now))));
        }
        may_begin
    }

    /// When its first byte was sent, and the age of the list's confirmation at that time.
    pub(super) fn begun(&self) -> Option<(Instant, Option<Duration>)> {
        self.begun.get()
    }

    /// The claim as recorded in the journal, if it has been.
    pub(super) fn recorded(&self) -> Option<RecordedClaim> {
        self.record.as_ref().and_then(|record| record.written.borrow().clone())
    }

    /// Records the claim although no byte was sent: at a handover, this process reports its outcome to the journal's
    /// next owner.
    pub(super) fn record_unsent(&self) {
        self.record.iter().for_each(|record| _ = record.write());
    }

    /// Must be called once the last byte may have been sent: from now on the claim may run.
    pub fn mark_sent(&self) {
        if !self.sent.replace(true) {
            self.tries.inc();
        }
    }

    pub fn is_sent(&self) -> bool {
        self.sent.get()
    }

    /// Must be called if a fault of this machine, not of the node, prevents sending.
    pub fn mark_local_fault(&self) {
        self.local_fault.set(true);
    }

    pub fn had_local_fault(&self) -> bool {
        self.local_fault.get()
    }

    /// Must be called once the node has confirmed delivery, whatever follows in its answer.
    pub fn mark_delivered(&self) {
        self.delivered.set(true);
    }

    /// Must be called with an answer that may be meant for another claim.
    pub fn set_confirmation(&self, confirmation: Confirmation) {
        self.confirmation.replace(Some(confirmation));
    }

    /// Takes the pending confirmation of the answer, if it is not certain.
    pub(super) fn take_confirmation(&self) -> Option<Confirmation> {
        self.confirmation.take()
    }

    pub fn set_report(&self, report: Report) {
        self.report.set(report);
    }

    /// Must be called as soon as the head of an answer requests a wait, whatever follows. From then on no claim is sent
    /// there until the wait has ended.
    pub fn set_wait(&self, wait: Duration) {
        self.requested_wait.set(Some(wait));
        self.wait_notify.notify_one();
        self.wait.set(self.wait.get().max(Instant::now() + wait));
    }

    /// Takes the requested wait, if any.
    pub(super) fn take_requested_wait(&self) -> Option<Duration> {
        self.requested_wait.take()
    }

    /// Waits until the answer has requested a wait.
    pub(super) async fn wait_requested(&self) {
        self.wait_notify.notified().await;
    }

    pub(super) fn report(&self) -> Report {
        self.report.get()
    }

    pub fn is_delivered(&self) -> bool {
        self.delivered.get()
    }
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
            let missing = self.missing_from(number);
            if let Some(addresses) = &mut self.state.borrow_mut().nodes.addresses {
                addresses.forget_unlisted(number);
            }
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

    /// Nodes that a full list did not contain.
    fn missing_from(&self, list: u32) -> Vec<Rc<Node>> {
        let state = self.state.borrow();
        state.nodes.by_id.values().filter(|node| node.last_full_list.get() != list).cloned().collect()
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
                let addresses = state.nodes.addresses.as_ref();
                let superseded =
                    addresses.and_then(|addresses| addresses.superseded_by_name(&entry.instance_id));
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
            state.nodes.addresses.iter_mut().for_each(|addresses| addresses.forget(&entry.instance_id));
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
        let id = unmoved.unwrap_or_else(|| {
            state.nodes.last_id += 1;
            EndpointId(state.nodes.last_id)
        });
        let node = Node {
            id,
            name: (&*entry.instance_id).into(),
            address,
            dest: entry.cell,
            zone_kind: Cell::new(zone_kind_indices(entry, rules)),
            weight: Cell::new(entry.weight.unwrap_or(f64::NAN)),
            started_ms: Cell::new(entry.started_at_ms),
            enabled_ms: Cell::new(known.as_ref().map_or(0, |node| node.enabled_ms.get())),
            serving: Cell::new(serving),
            disabled: Cell::new(self.disabled.borrow().contains(&entry.instance_id)),
            last_full_list: Cell::new(list),
        };
        let mut updates = Vec::new();
        let addresses = state.nodes.addresses.as_ref();
        match addresses.map_or(AddressClaim::Free, |addresses| addresses.claim(&node)) {
            AddressClaim::Free => {}
            AddressClaim::Supersedes(older) => {
                log_superseded(&older, &node);
                updates.push(self.remove_node(state, &older));
                state
                    .nodes
                    .addresses
                    .iter_mut()
                    .for_each(|addresses| addresses.set_superseded(older.clone()));
            }
            AddressClaim::Superseded(owner) => {
                if addresses.is_some_and(|addresses| addresses.superseded_by_name(&node.name).is_none()) {
                    log_superseded(&node, &owner);
                }
                updates.extend(known.iter().map(|known| self.remove_node(state, known)));
                node.serving.set(false);
                let node = Rc::new(node);
                state.nodes.addresses.iter_mut().for_each(|addresses| addresses.set_superseded(node.clone()));
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
                old.serving.set(serving);
                old.zone_kind.set(node.zone_kind.get());
                old.weight.set(node.weight.get());
                old.started_ms.set(node.started_ms.get());
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
        let started_ms = node.started_ms.get().max(node.enabled_ms.get());
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
        if let Some(node) = node.filter(|node| node.disabled.replace(disabled) != disabled) {
            if !disabled {
                node.enabled_ms.set(unix_ms(SystemTime::now()));
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

    /// Creates the permit to send a job's claim to a node, valid until `not_after` if given.
    pub(super) fn permit(&self, key: Key, node: &Rc<Node>, not_after: Option<Instant>) -> Rc<SendPermit> {
        let record = ClaimRecord {
            journal: self.journal.clone(),
            key,
            node: node.name.to_string(),
            zone: self.rules().names.zones.get(node.zone().0).cloned(),
            written: RefCell::default(),
        };
        Rc::new(SendPermit {
            node: node.clone(),
            wait: self.wait_end(node),
            lease: self.lease_clock.clone(),
            not_after,
            record: Some(record),
            begun: Cell::default(),
            sent: Cell::new(false),
            local_fault: Cell::new(false),
            delivered: Cell::new(false),
            confirmation: RefCell::default(),
            report: Cell::default(),
            requested_wait: Cell::default(),
            wait_notify: Notify::new(),
            tries: self.metrics.tries(),
        })
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

impl Node {
    pub fn zone(&self) -> ZoneId {
        ZoneId(usize::from(self.zone_kind.get().0))
    }

    pub fn kind(&self) -> KindId {
        KindId(usize::from(self.zone_kind.get().1))
    }

    /// Whether new claims may be sent to it.
    pub(super) fn accepts_claims(&self) -> bool {
        self.serving.get() && !self.disabled.get()
    }

    pub(super) fn set_enabled_ms(&self, at_ms: u64) {
        self.enabled_ms.set(at_ms);
    }

    /// The node as listed, for a handover. Whether an operator has disabled it is not part of the list.
    pub(super) fn to_listed_node(&self, rules: &Rules) -> ListedNode {
        let (zone, kind) = self.zone_kind.get();
        let name = |names: &[String], index: u16| names.get(usize::from(index)).cloned().unwrap_or_default();
        ListedNode {
            name: self.name.to_string(),
            address: self.address.to_string(),
            zone: name(&rules.names.zones, zone),
            kind: name(&rules.names.kinds, kind),
            dest: self.dest,
            serving: self.serving.get(),
            weight: self.weight(),
            started_ms: self.started_ms.get(),
            reenabled_ms: self.enabled_ms.get(),
        }
    }

    pub(super) fn condition(&self) -> Condition {
        if self.accepts_claims() { Condition::Active } else { Condition::Draining }
    }

    fn weight(&self) -> Option<f64> {
        Some(self.weight.get()).filter(|weight| !weight.is_nan())
    }

    /// Whether an entry has no changes to it.
    fn matches(&self, entry: &NodeEntry, rules: &Rules) -> bool {
        self.serving.get() == (entry.lifecycle == Lifecycle::Serving)
            && self.dest == entry.cell
            && self.weight() == entry.weight
            && self.started_ms.get() == entry.started_at_ms
            && self.zone_kind.get() == zone_kind_indices(entry, rules)
            && entry.host_port.parse() == Ok(self.address)
    }
}

/// Logs that a node has taken the address of another.
fn log_superseded(older: &Node, newer: &Node) {
    let (node, address) = (&*older.name, newer.address);
    tracing::info!(node, %address, by = &*newer.name, "another node has the address; no claims are sent to this one");
}

/// The indices of an entry's zone and kind in the settings; an unknown name gets an index past their end.
fn zone_kind_indices(entry: &NodeEntry, rules: &Rules) -> (u16, u16) {
    let index = |names: &[String], name: &str| {
        let index = names.iter().position(|n| n == name).unwrap_or(names.len());
        u16::try_from(index).unwrap_or(u16::MAX)
    };
    (index(&rules.names.zones, &entry.zone), index(&rules.names.kinds, &entry.machine_type))
}

#[cfg(test)]
pub(crate) mod tests;
