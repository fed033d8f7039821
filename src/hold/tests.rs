use super::*;
use proptest::prelude::*;

fn lane(class: usize) -> Lane {
    Lane { unit: None, class, worth: 0, bound: None, turn: Turn::Ready, owed: false }
}

fn waiting(due: Nanos, id: u32) -> Waiting {
    Waiting { due, id: MsgId(id), aim_at: due }
}

#[test]
fn a_round_visits_what_something_happened_to() {
    let mut hold = Hold::default();
    let many = 50 * TURNS as u64;
    (0..many).for_each(|d| hold.put(DestId(d), lane(0), waiting(9, d as u32), 9));
    hold.visits(0, 0);
    assert_eq!(hold.visits(0, 0).len(), TURNS, "all has been seen once");
    hold.touch(DestId(many - 1));
    hold.expect(DestId(many - 2), Some(5), None);
    hold.expect(DestId(many - 3), None, Some((1, 0)));
    hold.expect(DestId(many - 4), None, Some((2, 0)));
    let (visits, last) = (hold.visits(5, 1), many - 1);
    let seen: Vec<_> = (0..4).map(|i| visits.contains(&DestId(last - i))).collect();
    assert_eq!((seen, visits.len()), (vec![true, true, true, false], TURNS + 3));
    hold.take(DestId(last), lane(0), waiting(9, last as u32), 9);
    hold.touch(DestId(last));
    assert!(!hold.visits(5, 1).contains(&DestId(last)), "nothing is held for it any more");
}

#[test]
fn nobody_is_passed_over_for_long() {
    let mut hold = Hold::default();
    let many = 3 * TURNS as u64 + 7;
    (0..many).for_each(|d| hold.put(DestId(d), lane(0), waiting(9, d as u32), 9));
    hold.visits(0, 0);
    let seen: BTreeSet<_> = (0..4).flat_map(|_| hold.visits(0, 0)).collect();
    assert_eq!(seen.len() as u64, many);
}

proptest! {
    /// Against a plain list: whatever is put in and taken out, the lanes hold the same, in order, and nothing of a
    /// destination stays behind that has nothing held.
    #[test]
    fn lanes_hold_what_was_put_in(
        steps in prop::collection::vec((0u64..4, 0usize..3, 0u64..20, any::<bool>()), 1..200)
    ) {
        let mut hold = Hold::default();
        let mut plain: Vec<(DestId, Lane, Waiting)> = Vec::new();
        for (i, (dest, class, deadline, put)) in steps.into_iter().enumerate() {
            if put || plain.is_empty() {
                let one = (DestId(dest), lane(class), waiting(deadline, i as u32));
                plain.push(one);
                hold.put(one.0, one.1, one.2, deadline);
                hold.set_alarm(MsgId(i as u32), None, Some(deadline));
                hold.expect(one.0, Some(deadline), Some((0, deadline)));
            } else {
                let one = plain.swap_remove(deadline as usize % plain.len());
                hold.take(one.0, one.1, one.2, one.2.due);
                hold.set_alarm(one.2.id, Some(one.2.due), None);
            }
        }
        prop_assert_eq!(hold.first_deadline(), plain.iter().map(|p| p.2.due).min());
        for dest in (0..4).map(DestId) {
            let mine: Vec<_> = plain.iter().filter(|p| p.0 == dest).collect();
            prop_assert_eq!(hold.holds_for(dest), !mine.is_empty());
            for class in 0..3 {
                let mut expected: Vec<_> = mine.iter().filter(|p| p.1.class == class).map(|p| p.2).collect();
                expected.sort();
                let found: Vec<_> = hold.lane(dest, &lane(class)).into_iter().flatten().copied().collect();
                prop_assert_eq!(found, expected);
            }
            let mut due: Vec<_> = mine.iter().filter(|p| p.2.due <= 9).map(|p| p.2.id).collect();
            let mut found = hold.due_by(dest, 4, 5);
            due.sort();
            found.sort();
            prop_assert_eq!(found, due);
        }
        prop_assert_eq!(hold.alarmed(20).len(), plain.len());
        let left: BTreeSet<_> = plain.iter().map(|p| p.0).collect();
        prop_assert!(hold.due.len() <= left.len() && hold.starved.len() <= left.len());
        prop_assert_eq!(hold.visits(20, 9), left);
    }
}
