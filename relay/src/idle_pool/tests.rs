use super::*;
use proptest::prelude::*;
use std::time::Duration;

#[test]
fn surplus_goes_before_a_last_one_and_the_longest_idle_first() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let (a, b, c) = (EndpointId(1), EndpointId(2), EndpointId(3));
    let mut idle_pool = IdlePool::default();
    idle_pool.set_most(Some(4));
    (0..4).for_each(|_| idle_pool.opened());
    let a1 = idle_pool.put(at(1), a);
    let b1 = idle_pool.put(at(2), b);
    let b2 = idle_pool.put(at(3), b);
    let c1 = idle_pool.put(at(4), c);
    let order = std::iter::from_fn(|| idle_pool.make_room()).collect::<Vec<_>>();
    assert_eq!(order, [(b, b1), (a, a1), (b, b2), (c, c1)]);
    assert_eq!(idle_pool.open(), 4);
}

proptest! {
    /// Whatever is opened, idles and closes: with anything idle, no more are open than may be, and what is
    /// named to be closed is idle.
    #[test]
    fn the_room_holds(steps in prop::collection::vec((0u8..4, 0u32..5), 1..300), most in 1usize..6) {
        let start = Instant::now();
        let mut idle_pool = IdlePool::default();
        idle_pool.set_most(Some(most));
        let (mut busy, mut idle) = (Vec::new(), Vec::new());
        for (tick, (what, node)) in steps.into_iter().enumerate() {
            let node = EndpointId(node);
            match what {
                0 => {
                    let before = busy.len() + idle.len();
                    if let Some(victim) = idle_pool.make_room() {
                        prop_assert!(before >= most);
                        let place = idle.iter().position(|i| *i == victim);
                        idle.remove(place.expect("it is idle"));
                        idle_pool.closed();
                    } else {
                        prop_assert!(before < most || idle.is_empty());
                    }
                    idle_pool.opened();
                    busy.push(node);
                }
                1 if !busy.is_empty() => {
                    let node = busy.swap_remove(tick % busy.len());
                    let now = start + Duration::from_millis(tick as u64);
                    idle.push((node, idle_pool.put(now, node)));
                }
                2 if !idle.is_empty() => {
                    let (node, number) = idle.swap_remove(tick % idle.len());
                    idle_pool.take(node, number);
                    busy.push(node);
                }
                3 if !idle.is_empty() => {
                    let (node, number) = idle.swap_remove(tick % idle.len());
                    idle_pool.take(node, number);
                    idle_pool.closed();
                }
                _ => {}
            }
            prop_assert_eq!(idle_pool.open(), busy.len() + idle.len());
            prop_assert_eq!(idle_pool.only.len() + idle_pool.surplus.len(), idle.len());
            let nodes: BTreeSet<_> = idle.iter().map(|(n, _)| *n).collect();
            prop_assert_eq!(idle_pool.idle.len(), nodes.len());
        }
    }
}
