//! All listed execute nodes, by number, name, address and destination.
use slatethread::EndpointId;
use std::borrow::Borrow;
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::Node;
use super::address_owners::{AddressClaim, AddressOwners};

/// How long jobs are still accepted for a destination after its last node was removed, since it may get another.
const REMOVED_DEST_TTL: Duration = Duration::from_secs(30);

/// All listed execute nodes, indexed by number and by name.
#[derive(Default)]
pub(super) struct Nodes {
    pub(super) by_id: HashMap<EndpointId, Rc<Node>>,
    pub(super) by_name: HashSet<ByName>,
    /// Who has which address; `None` if several nodes may have the same one.
    addresses: Option<AddressOwners>,
    /// The number of nodes of each destination.
    pub(super) dests: HashMap<u64, u32>,
    last_id: u32,
    last_full_list: u32,
    /// Destinations without nodes, and when the last one was removed; pruned when twice as many as the last pruning
    /// left.
    removed_dests: HashMap<u64, Instant>,
    removed_dests_after_pruning: usize,
}

/// A node hashed by its name, so that the name is stored only once.
pub(super) struct ByName(Rc<Node>);

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

    /// What becomes of a node at its address.
    pub fn claim_address(&self, node: &Node) -> AddressClaim {
        self.addresses.as_ref().map_or(AddressClaim::Free, |addresses| addresses.claim(node))
    }

    /// Remembers a node that another one has superseded at its address.
    pub fn set_superseded(&mut self, node: Rc<Node>) {
        self.addresses.iter_mut().for_each(|addresses| addresses.set_superseded(node.clone()));
    }

    /// A superseded node of this name.
    pub fn superseded_by_name(&self, name: &str) -> Option<&Rc<Node>> {
        self.addresses.as_ref().and_then(|addresses| addresses.superseded_by_name(name))
    }

    /// The list no longer has a superseded node.
    pub fn forget_superseded(&mut self, name: &str) {
        self.addresses.iter_mut().for_each(|addresses| addresses.forget(name));
    }

    /// Forgets superseded nodes that the full list of this number did not contain.
    pub fn forget_unlisted(&mut self, list: u32) {
        self.addresses.iter_mut().for_each(|addresses| addresses.forget_unlisted(list));
    }

    /// Nodes that the full list of this number did not contain.
    pub fn missing_from(&self, list: u32) -> Vec<Rc<Node>> {
        self.by_id.values().filter(|node| node.last_full_list.get() != list).cloned().collect()
    }

    /// A number for a new node.
    pub fn next_id(&mut self) -> EndpointId {
        self.last_id += 1;
        EndpointId(self.last_id)
    }

    /// The number of listed nodes, and the number of those that accept no claims.
    pub fn count(&self) -> (usize, usize) {
        (self.by_id.len(), self.by_id.values().filter(|node| !node.accepts_claims()).count())
    }

    /// Whether the destination has a node or lost its last one recently; true for all while no node is listed.
    pub fn knows_destination(&self, dest: u64) -> bool {
        self.by_id.is_empty()
            || self.dests.contains_key(&dest)
            || self.removed_dests.get(&dest).is_some_and(|at| at.elapsed() < REMOVED_DEST_TTL)
    }

    /// Adds a node, in place of any with the same name.
    pub fn insert(&mut self, node: Node) -> Rc<Node> {
        let node = Rc::new(node);
        *self.dests.entry(node.dest).or_default() += 1;
        self.by_id.insert(node.id, node.clone());
        self.by_name.insert(ByName(node.clone()));
        self.addresses.iter_mut().for_each(|addresses| addresses.insert(node.clone()));
        node
    }

    /// Assigns a number to a full list that is about to be applied; never 0.
    pub fn next_list(&mut self) -> u32 {
        self.last_full_list = self.last_full_list.checked_add(1).unwrap_or(1);
        self.last_full_list
    }

    /// Removes a node.
    pub fn remove(&mut self, node: &Node) {
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
pub(super) fn prune<K: Eq + Hash, V>(
    map: &mut HashMap<K, V>,
    left: &mut usize,
    mut keep: impl FnMut(&K, &V) -> bool,
) {
    if map.len() > 2 * *left + 64 {
        map.retain(|key, value| keep(key, value));
        *left = map.len();
    }
}
