use super::*;
use proptest::prelude::*;

fn entry(id: u32, dest: u64, condition: Condition) -> Endpoint {
    Endpoint {
        id: EndpointId(id),
        dest: DestId(dest),
        zone: ZoneId(id as usize % 3),
        kind: KindId(70_000),
        condition,
        weight: id.is_multiple_of(2).then_some(f64::from(id)),
        started: 0,
    }
}

#[test]
fn a_record_stays_small() {
    assert!(size_of::<ListedEndpoint>() <= 24, "{}", size_of::<ListedEndpoint>());
    assert!(size_of::<IdleUnit>() <= 48, "{}", size_of::<IdleUnit>());
}

#[test]
fn entries_after_the_first_list_count_as_recent_and_so_do_starts() {
    let mut list = EndpointList::default();
    list.upsert(5, &entry(1, 7, Condition::Active));
    list.upsert(5, &Endpoint { started: 3, ..entry(2, 7, Condition::Active) });
    assert_eq!(list.upsert(9, &entry(1, 7, Condition::Draining)), Change::Known);
    assert_eq!(list.upsert(9, &entry(4, 7, Condition::Active)), Change::New);
    let started: Vec<_> = list.endpoints_of(DestId(7)).map(|e| (e.id.0, e.started)).collect();
    assert_eq!(started, [(1, 0), (2, 3), (4, 9)]);
}

#[test]
fn only_a_limit_and_an_unexpired_wait_outlast_compaction() {
    let mut list = EndpointList::default();
    list.upsert(1, &entry(1, 7, Condition::Active));
    let id = UnitId::Dest(DestId(7));
    let mut unit = Unit::new(1, None, 1.0, 1.0);
    list.store_idle(10, id, &unit, 0, None);
    assert_eq!(list.take_idle(id), None);
    (unit.rate, unit.rate_cut_at, unit.blocked_until) = (4.0, 3, 90);
    list.store_idle(10, id, &unit, 6, None);
    let idle = list.take_idle(id).expect("a record is kept");
    assert_eq!((idle.rate, idle.blocked_until, idle.served_at), (4.0, 90, 6));
    // A limit that was only listed is taken from the list again.
    (unit.rate_cut_at, unit.blocked_until) = (0, 0);
    list.store_idle(10, id, &unit, 6, None);
    assert_eq!(list.take_idle(id), None);
    list.store_idle(10, id, &unit, 6, Some(100));
    list.prune(50, Some(100));
    assert_eq!(list.sizes(), (1, 1));
    list.prune(200, Some(100));
    assert_eq!(list.sizes(), (1, 0));
    for id in 2..2000 {
        list.upsert(1, &entry(id, u64::from(id), Condition::Active));
        list.store_idle(u64::from(id), UnitId::Dest(DestId(u64::from(id))), &unit, 0, Some(100));
        list.prune_if_grown(u64::from(id) + 200, Some(100));
        assert!(list.sizes().1 <= 65, "{}", list.sizes().1);
    }
}

proptest! {
    /// For any updates, the list contains what a plain map would, and nothing of endpoints that are no longer
    /// listed.
    #[test]
    fn the_list_contains_what_was_last_listed(
        steps in prop::collection::vec((0u32..12, 0u8..6), 1..120)
    ) {
        let mut list = EndpointList::default();
        let mut plain: BTreeMap<u32, u64> = BTreeMap::new();
        for (now, (id, what)) in steps.into_iter().enumerate() {
            let dest = u64::from(id % 4);
            match what {
                0 => {
                    list.remove(DestId(dest), EndpointId(id));
                    plain.remove(&id);
                }
                1 => {
                    let gone = list.retain_only(&[entry(id, dest, Condition::Active)]);
                    prop_assert_eq!(gone.len(), plain.keys().filter(|k| **k != id).count());
                    plain.retain(|k, _| *k == id);
                }
                _ => {
                    let new = plain.insert(id, dest).is_none();
                    let change = list.upsert(now as u64 + 1, &entry(id, dest, Condition::Active));
                    prop_assert_eq!(change == Change::New, new);
                    let blocked_until = now as u64 + 4;
                    let unit =
                        Unit { blocked_until, rate: 2.0, rate_cut_at: 1, ..Unit::new(1, None, 1.0, 1.0) };
                    list.store_idle(now as u64, UnitId::Dest(DestId(dest)), &unit, 0, None);
                }
            }
            list.prune(now as u64, None);
            for dest in 0..4 {
                let ids: Vec<_> = list.endpoints_of(DestId(dest)).map(|e| e.id.0).collect();
                let plain: Vec<_> = plain.iter().filter(|(_, d)| **d == dest).map(|(k, _)| *k).collect();
                prop_assert_eq!(&ids, &plain);
                let idle = list.idle.get(&UnitId::Dest(DestId(dest)));
                let over = idle.is_some_and(|r| r.blocked_until <= now as u64);
                prop_assert!(!over || !plain.is_empty(), "an idle record outlives its destination");
            }
        }
    }
}
