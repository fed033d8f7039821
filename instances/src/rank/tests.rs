use super::*;
use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;

fn address(n: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0001 + n), 7946))
}

fn ordered(count: u32) -> Vec<SocketAddr> {
    order((0..count).map(address), &[address(1), address(2), address(0)])
}

#[test]
fn seeds_come_first_and_no_instance_has_too_many_children() {
    for count in [3, 30, 300, 1000] {
        let order = ordered(count);
        assert_eq!(order[..3].iter().collect::<HashSet<_>>().len(), 3);
        assert!((0..3).all(|n| order[..3].contains(&address(n))));
        let mut children = HashMap::<_, u32>::new();
        let mut hops = vec![0; order.len()];
        for position in 1..order.len() {
            let chosen: Vec<_> = parents(&order, position).into_iter().take(PARENTS).collect();
            let positions = chosen.iter().map(|p| order.iter().position(|o| o == p).expect("known"));
            let positions: Vec<_> = positions.filter(|p| *p < position).collect();
            assert_eq!(positions.len(), PARENTS.min(position), "parents precede it");
            hops[position] = 1 + positions.iter().map(|p| hops[*p]).max().expect("one");
            chosen.into_iter().for_each(|p| *children.entry(p).or_default() += 1);
        }
        // The first three are parents of one another as well.
        assert!(*hops.iter().max().expect("one") <= 5, "{count}: {hops:?}");
        let most = children.values().max().expect("one");
        assert!(*most <= 4 * FAN_OUT as u32, "{count}: {most} children");
    }
}

#[test]
fn an_instance_that_leaves_changes_few_parents() {
    let all = ordered(300);
    let fewer: Vec<_> = all.iter().copied().filter(|one| *one != all[150]).collect();
    let of = |order: &[SocketAddr]| -> HashMap<_, _> {
        let chosen = |position| parents(order, position).into_iter().take(PARENTS).collect::<Vec<_>>();
        (0..order.len()).map(|position| (order[position], chosen(position))).collect()
    };
    let (before, after) = (of(&all), of(&fewer));
    let changed = after.iter().filter(|(one, parents)| before[*one] != **parents).count();
    assert!(changed < 30, "{changed} instances have other parents");
}

#[test]
fn few_instances_poll_in_each_period() {
    let mut polling = HashMap::<u32, usize>::new();
    (0..1000).for_each(|position| *polling.entry(poll_delay(position)).or_default() += 1);
    assert!(polling.values().all(|count| *count <= 8));
    assert_eq!((polling[&0], polling[&1], polling[&2], poll_delay(999)), (2, 2, 4, 126));
}
