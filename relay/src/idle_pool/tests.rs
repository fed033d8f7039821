use super::*;
use proptest::prelude::*;
use std::time::Duration;

#[test]
fn a_nodes_only_idle_connection_is_evicted_last_and_the_longest_idle_first() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let (a, b, c) = (EndpointId(1), EndpointId(2), EndpointId(3));
    let mut idle_pool = IdlePool::default();
    idle_pool.set_max_open(Some(4));
    (0..4).for_each(|_| idle_pool.opened());
    let a1 = idle_pool.add_idle(at(1), a);
    let b1 = idle_pool.add_idle(at(2), b);
    let b2 = idle_pool.add_idle(at(3), b);
    let c1 = idle_pool.add_idle(at(4), c);
    let order = std::iter::from_fn(|| idle_pool.evict()).collect::<Vec<_>>();
    assert_eq!(order, [(b, b1), (a, a1), (b, b2), (c, c1)]);
    assert_eq!(idle_pool.open(), 4);
}

proptest! {
    /// For any sequence of connections opened, becoming idle and closed: the limit is exceeded only if none is idle, and an evicted
    /// connection is idle.
    #[test]
    fn the_limit_holds_while_a_connection_is_idle(steps in prop::collection::vec((0u8..4, 0u32..5), 1..300), max_open in 1usize..6) {
        let start = Instant::now();
        let mut idle_pool = IdlePool::default();
        idle_pool.set_max_open(Some(max_open));
        let (mut busy, mut idle) = (Vec::new(), Vec::new());
        for (tick, (step, node)) in steps.into_iter().enumerate() {
            let node = EndpointId(node);
            match step {
                0 => {
                    let before = busy.len() + idle.len();
                    if let Some(victim) = idle_pool.evict() {
                        prop_assert!(before >= max_open);
                        let index = idle.iter().position(|connection| *connection == victim);
                        idle.remove(index.expect("it is idle"));
                        idle_pool.closed();
                    } else {
                        prop_assert!(before < max_open || idle.is_empty());
                    }
                    idle_pool.opened();
                    busy.push(node);
                }
                1 if !busy.is_empty() => {
                    let node = busy.swap_remove(tick % busy.len());
                    let now = start + Duration::from_millis(tick as u64);
                    idle.push((node, idle_pool.add_idle(now, node)));
                }
                2 if !idle.is_empty() => {
                    let (node, id) = idle.swap_remove(tick % idle.len());
                    idle_pool.remove_idle(node, id);
                    busy.push(node);
                }
                3 if !idle.is_empty() => {
                    let (node, id) = idle.swap_remove(tick % idle.len());
                    idle_pool.remove_idle(node, id);
                    idle_pool.closed();
                }
                _ => {}
            }
            prop_assert_eq!(idle_pool.open(), busy.len() + idle.len());
            prop_assert_eq!(idle_pool.only.len() + idle_pool.surplus.len(), idle.len());
            let nodes: BTreeSet<_> = idle.iter().map(|(node, _)| *node).collect();
            prop_assert_eq!(idle_pool.idle.len(), nodes.len());
        }
    }
}
