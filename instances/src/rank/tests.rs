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
fn seeds_come_first_and_nobody_has_too_many_to_pass_the_word_to() {
    for count in [3, 30, 300, 1000] {
        let order = ordered(count);
        assert_eq!(order[..3].iter().collect::<HashSet<_>>().len(), 3);
        assert!((0..3).all(|n| order[..3].contains(&address(n))));
        let mut children = HashMap::<_, u32>::new();
        let mut far = vec![0; order.len()];
        for place in 1..order.len() {
            let chosen: Vec<_> = parents(&order, place).into_iter().take(PARENTS).collect();
            let places = chosen.iter().map(|p| order.iter().position(|o| o == p).expect("known"));
            let places: Vec<_> = places.filter(|p| *p < place).collect();
            assert_eq!(places.len(), PARENTS.min(place), "who is before it");
            far[place] = 1 + places.iter().map(|p| far[*p]).max().expect("one");
            chosen.into_iter().for_each(|p| *children.entry(p).or_default() += 1);
        }
        // The three first ones are before each other as well.
        assert!(*far.iter().max().expect("one") <= 5, "{count}: {far:?}");
        let most = children.values().max().expect("one");
        assert!(*most <= 4 * CHILDREN as u32, "{count}: {most} children");
    }
}

#[test]
fn one_that_goes_changes_few_places() {
    let all = ordered(300);
    let fewer: Vec<_> = all.iter().copied().filter(|one| *one != all[150]).collect();
    let of = |order: &[SocketAddr]| -> HashMap<_, _> {
        let chosen = |place| parents(order, place).into_iter().take(PARENTS).collect::<Vec<_>>();
        (0..order.len()).map(|place| (order[place], chosen(place))).collect()
    };
    let (before, after) = (of(&all), of(&fewer));
    let moved = after.iter().filter(|(one, parents)| before[*one] != **parents).count();
    assert!(moved < 30, "{moved} have others");
}

#[test]
fn few_ask_in_each_period() {
    let mut asking = HashMap::<u32, usize>::new();
    (0..1000).for_each(|place| *asking.entry(period(place)).or_default() += 1);
    assert!(asking.values().all(|count| *count <= 8));
    assert_eq!((asking[&0], asking[&1], asking[&2], period(999)), (2, 2, 4, 126));
}
