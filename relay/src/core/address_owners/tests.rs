use super::*;
use crate::core::tests::node;

/// A node of this name at the port.
fn listed(name: &str, id: u32, port: u16, started_ms: u64, serving: bool) -> Rc<Node> {
    let mut node = node(SocketAddr::from(([127, 0, 0, 1], port)), serving);
    node.id = slatethread::EndpointId(id);
    node.name = name.into();
    node.started_ms.set(started_ms);
    Rc::new(node)
}

/// Which node loses its address if the first is there and the second is listed.
fn loser(first: (u64, bool), second: (u64, bool)) -> &'static str {
    let mut addresses = AddressOwners::default();
    addresses.insert(listed("first", 1, 9, first.0, first.1));
    match addresses.claim(&listed("second", 2, 9, second.0, second.1)) {
        AddressClaim::Free => "none",
        AddressClaim::Supersedes(_) => "first",
        AddressClaim::Superseded(_) => "second",
    }
}

#[test]
fn the_later_start_has_the_address_and_else_the_later_listed() {
    assert_eq!(loser((0, true), (0, true)), "first");
    assert_eq!(loser((0, true), (5, true)), "first");
    assert_eq!(loser((5, true), (6, true)), "first");
    assert_eq!(loser((5, true), (4, true)), "second");
    assert_eq!(loser((5, true), (0, true)), "second");
    assert_eq!(loser((0, false), (0, true)), "first");
    // One that only drains is no new process.
    assert_eq!(loser((0, true), (0, false)), "second");
}

#[test]
fn a_node_that_has_lost_its_address_does_not_get_it_back_by_being_listed_again() {
    let mut addresses = AddressOwners::default();
    let (old, new) = (listed("old", 1, 9, 0, true), listed("new", 2, 9, 0, true));
    addresses.insert(old.clone());
    assert!(matches!(addresses.claim(&new), AddressClaim::Supersedes(_)));
    addresses.remove(&old);
    addresses.set_superseded(old.clone());
    addresses.insert(new.clone());
    assert!(matches!(addresses.claim(&old), AddressClaim::Superseded(_)));
    assert!(matches!(addresses.claim(&new), AddressClaim::Free), "its own address");
    // Elsewhere it is a node like any other, and so it is at its old address once that is free.
    assert!(matches!(addresses.claim(&listed("old", 3, 8, 0, true)), AddressClaim::Free));
    addresses.remove(&new);
    assert!(matches!(addresses.claim(&old), AddressClaim::Free));
}

#[test]
fn nodes_that_the_list_no_longer_has_are_forgotten() {
    let mut addresses = AddressOwners::default();
    for (name, list) in [("a", 1), ("b", 2), ("c", 2)] {
        let node = listed(name, 1, 9, 0, false);
        node.last_full_list.set(list);
        addresses.set_superseded(node);
    }
    addresses.forget_unlisted(2);
    addresses.forget("c");
    assert_eq!(addresses.superseded().map(|node| &*node.name).collect::<Vec<_>>(), ["b"]);
}
