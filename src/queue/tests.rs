use super::*;
use proptest::prelude::*;

fn lane(class: usize) -> Lane {
    Lane {
        unit: None,
        class,
        worth: 0,
        resend_scope: None,
        readiness: Readiness::Ready,
        attempt_guaranteed: false,
    }
}

fn entry(expires: Nanos, id: u32) -> QueueEntry {
    QueueEntry { expires, id: MsgId(id), target_at: expires }
}

#[test]
fn a_round_visits_changed_destinations() {
    let mut queue = MessageQueue::default();
    let many = 50 * ROUND_ROBIN_VISITS as u64;
    (0..many).for_each(|d| queue.insert(DestId(d), lane(0), entry(9, d as u32), 9));
    queue.destinations_to_visit(0, 0);
    assert_eq!(
        queue.destinations_to_visit(0, 0).len(),
        ROUND_ROBIN_VISITS,
        "all destinations were visited before"
    );
    queue.mark_changed(DestId(many - 1));
    queue.schedule_visit(DestId(many - 2), Some(5), None);
    queue.schedule_visit(DestId(many - 3), None, Some((1, 0)));
    queue.schedule_visit(DestId(many - 4), None, Some((2, 0)));
    let (visits, last) = (queue.destinations_to_visit(5, 1), many - 1);
    let visited: Vec<_> = (0..4).map(|i| visits.contains(&DestId(last - i))).collect();
    assert_eq!((visited, visits.len()), (vec![true, true, true, false], ROUND_ROBIN_VISITS + 3));
    queue.remove(DestId(last), lane(0), entry(9, last as u32), 9);
    queue.mark_changed(DestId(last));
    assert!(
        !queue.destinations_to_visit(5, 1).contains(&DestId(last)),
        "no message is queued for it any more"
    );
}

#[test]
fn every_destination_is_visited_within_a_few_rounds() {
    let mut queue = MessageQueue::default();
    let many = 3 * ROUND_ROBIN_VISITS as u64 + 7;
    (0..many).for_each(|d| queue.insert(DestId(d), lane(0), entry(9, d as u32), 9));
    queue.destinations_to_visit(0, 0);
    let visited: BTreeSet<_> = (0..4).flat_map(|_| queue.destinations_to_visit(0, 0)).collect();
    assert_eq!(visited.len() as u64, many);
}

proptest! {
    /// Compared with a plain list: after any insertions and removals the lanes contain the same messages in
    /// order, and nothing remains of a destination without queued messages.
    #[test]
    fn lanes_contain_what_was_inserted(
        steps in prop::collection::vec((0u64..4, 0usize..3, 0u64..20, any::<bool>()), 1..200)
    ) {
        let mut queue = MessageQueue::default();
        let mut plain: Vec<(DestId, Lane, QueueEntry)> = Vec::new();
        for (i, (dest, class, deadline, put)) in steps.into_iter().enumerate() {
            if put || plain.is_empty() {
                let one = (DestId(dest), lane(class), entry(deadline, i as u32));
                plain.push(one);
                queue.insert(one.0, one.1, one.2, deadline);
                queue.set_recheck(MsgId(i as u32), None, Some(deadline));
                queue.schedule_visit(one.0, Some(deadline), Some((0, deadline)));
            } else {
                let one = plain.swap_remove(deadline as usize % plain.len());
                queue.remove(one.0, one.1, one.2, one.2.expires);
                queue.set_recheck(one.2.id, Some(one.2.expires), None);
            }
        }
        prop_assert_eq!(queue.first_deadline(), plain.iter().map(|p| p.2.expires).min());
        for dest in (0..4).map(DestId) {
            let mine: Vec<_> = plain.iter().filter(|p| p.0 == dest).collect();
            prop_assert_eq!(queue.has_messages_for(dest), !mine.is_empty());
            for class in 0..3 {
                let mut expected: Vec<_> = mine.iter().filter(|p| p.1.class == class).map(|p| p.2).collect();
                expected.sort();
                let found: Vec<_> = queue.lane(dest, &lane(class)).into_iter().flatten().copied().collect();
                prop_assert_eq!(found, expected);
            }
            let mut due: Vec<_> = mine.iter().filter(|p| p.2.expires <= 9).map(|p| p.2.id).collect();
            let mut found = queue.expiring(dest, 4, 5);
            due.sort();
            found.sort();
            prop_assert_eq!(found, due);
        }
        prop_assert_eq!(queue.take_rechecks(20).len(), plain.len());
        let left: BTreeSet<_> = plain.iter().map(|p| p.0).collect();
        prop_assert!(queue.scheduled.len() <= left.len() && queue.waiting_for_slot.len() <= left.len());
        prop_assert_eq!(queue.destinations_to_visit(20, 9), left);
    }
}
