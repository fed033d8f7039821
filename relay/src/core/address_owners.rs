//! Which node has which address, where an address is that of one process.
//!
//! A list may name a new node at the address of one that has gone before it says that the old one is deleted, in any order. Whatever is
//! sent to that address reaches the new process. So an address belongs to the node that started last or, where the list does not tell, to
//! the one that was listed last; the others count as gone for as long as it has the address, however often the list repeats them.
use compact_str::CompactString;
use std::borrow::Borrow;
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;

use super::Node;

/// What becomes of a node that the list has at an address.
pub(super) enum AddressClaim {
    /// No other node has the address.
    Free,
    /// It takes the address of this node, which has gone.
    Supersedes(Rc<Node>),
    /// It has gone: this node has the address.
    Superseded(Rc<Node>),
}

/// The nodes by address, and those that have lost theirs.
#[derive(Default)]
pub(super) struct AddressOwners {
    owners: HashSet<ByAddress>,
    /// By name; only nodes that the list still has.
    superseded: HashMap<CompactString, Rc<Node>>,
}

/// A node hashed by its address, so that the address is stored only once.
struct ByAddress(Rc<Node>);

impl Borrow<SocketAddr> for ByAddress {
    fn borrow(&self) -> &SocketAddr {
        &self.0.address
    }
}

impl Hash for ByAddress {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.address.hash(state);
    }
}

impl PartialEq for ByAddress {
    fn eq(&self, other: &Self) -> bool {
        self.0.address == other.0.address
    }
}

impl Eq for ByAddress {}

impl AddressOwners {
    /// What becomes of a node at its address.
    pub fn claim(&self, node: &Node) -> AddressClaim {
        let Some(ByAddress(owner)) = self.owners.get(&node.address) else { return AddressClaim::Free };
        if owner.name == node.name {
            return AddressClaim::Free;
        }
        let (start, owner_start) = (node.started_ms.get(), owner.started_ms.get());
        let was_superseded =
            self.superseded.get(&node.name).is_some_and(|before| before.address == node.address);
        let is_newer = start > owner_start || start == owner_start && node.serving.get() && !was_superseded;
        if is_newer {
            AddressClaim::Supersedes(owner.clone())
        } else {
            AddressClaim::Superseded(owner.clone())
        }
    }

    /// Adds a node, which has its address from now on.
    pub fn insert(&mut self, node: Rc<Node>) {
        self.superseded.remove(&node.name);
        self.owners.replace(ByAddress(node));
    }

    /// Removes a node. Its address is free, unless another one has it.
    pub fn remove(&mut self, node: &Node) {
        if self.owners.get(&node.address).is_some_and(|owner| owner.0.id == node.id) {
            self.owners.remove(&node.address);
        }
    }

    /// Remembers a node that has lost its address.
    pub fn set_superseded(&mut self, node: Rc<Node>) {
        self.superseded.insert(node.name.clone(), node);
    }

    /// A node of this name that has lost its address.
    pub fn superseded_by_name(&self, name: &str) -> Option<&Rc<Node>> {
        self.superseded.get(name)
    }

    /// All nodes that have lost their addresses.
    pub fn superseded(&self) -> impl Iterator<Item = &Rc<Node>> {
        self.superseded.values()
    }

    /// The list no longer has a node.
    pub fn forget(&mut self, name: &str) {
        self.superseded.remove(name);
    }

    /// Forgets nodes that the full list of this number did not contain.
    pub fn forget_unlisted(&mut self, list: u32) {
        self.superseded.retain(|_, node| node.last_full_list.get() == list);
    }
}

#[cfg(test)]
mod tests;
