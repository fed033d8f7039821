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
    assert!(size_of::<Listed>() <= 24, "{}", size_of::<Listed>());
    assert!(size_of::<Rest>() <= 48, "{}", size_of::<Rest>());
}

#[test]
fn what_comes_after_the_first_list_has_come_lately_and_a_start_counts_as_coming() {
    let mut roster = Roster::default();
    roster.put(5, &entry(1, 7, Condition::Active));
    roster.put(5, &Endpoint { started: 3, ..entry(2, 7, Condition::Active) });
    assert_eq!(roster.put(9, &entry(1, 7, Condition::Draining)), Change::Known);
    assert_eq!(roster.put(9, &entry(4, 7, Condition::Active)), Change::New);
    let came: Vec<_> = roster.of(DestId(7)).map(|e| (e.id.0, e.started)).collect();
    assert_eq!(came, [(1, 0), (2, 3), (4, 9)]);
}

#[test]
fn a_limit_and_a_running_wait_outlast_the_rest_and_nothing_else_does() {
    let mut roster = Roster::default();
    roster.put(1, &entry(1, 7, Condition::Active));
    let id = UnitId::Dest(DestId(7));
    let mut unit = Unit::new(1, None, 1.0, 1.0);
    roster.rest(10, id, &unit, 0, None);
    assert_eq!(roster.wake(id), None);
    (unit.pace, unit.cut, unit.wait_until) = (4.0, 3, 90);
    roster.rest(10, id, &unit, 6, None);
    let rest = roster.wake(id).expect("kept");
    assert_eq!((rest.pace, rest.wait_until, rest.served), (4.0, 90, 6));
    // A limit that was only listed is listed again.
    (unit.cut, unit.wait_until) = (0, 0);
    roster.rest(10, id, &unit, 6, None);
    assert_eq!(roster.wake(id), None);
    roster.rest(10, id, &unit, 6, Some(100));
    roster.prune(50, Some(100));
    assert_eq!(roster.sizes(), (1, 1));
    roster.prune(200, Some(100));
    assert_eq!(roster.sizes(), (1, 0));
    for id in 2..2000 {
        roster.put(1, &entry(id, u64::from(id), Condition::Active));
        roster.rest(u64::from(id), UnitId::Dest(DestId(u64::from(id))), &unit, 0, Some(100));
        roster.tidy(u64::from(id) + 200, Some(100));
        assert!(roster.sizes().1 <= 65, "{}", roster.sizes().1);
    }
}

proptest! {
    /// Whatever lists come, the roster holds what a plain map would, and nothing of what has left.
    #[test]
    fn the_roster_is_what_was_last_listed(
        steps in prop::collection::vec((0u32..12, 0u8..6), 1..120)
    ) {
        let mut roster = Roster::default();
        let mut plain: BTreeMap<u32, u64> = BTreeMap::new();
        for (now, (id, what)) in steps.into_iter().enumerate() {
            let dest = u64::from(id % 4);
            match what {
                0 => {
                    roster.remove(DestId(dest), EndpointId(id));
                    plain.remove(&id);
                }
                1 => {
                    let gone = roster.keep_only(&[entry(id, dest, Condition::Active)]);
                    prop_assert_eq!(gone.len(), plain.keys().filter(|k| **k != id).count());
                    plain.retain(|k, _| *k == id);
                }
                _ => {
                    let new = plain.insert(id, dest).is_none();
                    let change = roster.put(now as u64 + 1, &entry(id, dest, Condition::Active));
                    prop_assert_eq!(change == Change::New, new);
                    let wait_until = now as u64 + 4;
                    let unit = Unit { wait_until, pace: 2.0, cut: 1, ..Unit::new(1, None, 1.0, 1.0) };
                    roster.rest(now as u64, UnitId::Dest(DestId(dest)), &unit, 0, None);
                }
            }
            roster.prune(now as u64, None);
            for dest in 0..4 {
                let ids: Vec<_> = roster.of(DestId(dest)).map(|e| e.id.0).collect();
                let plain: Vec<_> = plain.iter().filter(|(_, d)| **d == dest).map(|(k, _)| *k).collect();
                prop_assert_eq!(&ids, &plain);
                let rest = roster.rests.get(&UnitId::Dest(DestId(dest)));
                let over = rest.is_some_and(|r| r.wait_until <= now as u64);
                prop_assert!(!over || !plain.is_empty(), "a rest outlives its destination");
            }
        }
    }
}
