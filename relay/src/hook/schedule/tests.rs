use super::*;

const LIMIT: Duration = Duration::from_millis(50);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn schedule(threads: usize) -> Schedule<&'static str> {
    Schedule::new(threads, LIMIT)
}

#[test]
fn partners_take_turns_and_have_one_call_at_a_time() {
    let mut schedule = schedule(2);
    for (partner, call) in [(1, "a1"), (1, "a2"), (1, "a3"), (2, "b1")] {
        schedule.add(at(0), partner, call).expect("room");
    }
    assert_eq!(schedule.begin(at(0), 0), Some("a1"));
    assert_eq!(schedule.begin(at(0), 1), Some("b1"), "not a2: its partner has a call that runs");
    assert!(!schedule.end(at(1), 1));
    assert_eq!(schedule.begin(at(1), 1), None);
    assert!(!schedule.end(at(2), 0));
    assert_eq!(schedule.begin(at(2), 1), Some("a2"));
}

#[test]
fn a_partner_over_its_time_is_suspended_for_a_while_and_its_waiting_calls_are_dropped() {
    let mut schedule = schedule(2);
    for call in ["a1", "a2"] {
        schedule.add(at(0), 1, call).expect("room");
    }
    schedule.add(at(0), 2, "b1").expect("room");
    assert_eq!(schedule.begin(at(0), 0), Some("a1"));
    assert!(!schedule.is_overdue(at(49), 1));
    assert!(schedule.is_overdue(at(50), 1));
    assert_eq!(schedule.suspend(at(50), 1), ["a2"]);
    assert_eq!(schedule.add(at(60), 1, "a3"), Err(Skipped::Suspended));
    assert_eq!(schedule.begin(at(60), 1), Some("b1"));
    assert!(schedule.end(at(70), 0), "it returns late, and is suspended from then on");
    assert_eq!(schedule.add(at(60) + SUSPENSION, 1, "a4"), Err(Skipped::Suspended));
    schedule.add(at(70) + SUSPENSION, 1, "a5").expect("asked again");
    assert!(schedule.suspended_until.is_empty(), "nothing is kept of a partner that is asked again");
}

#[test]
fn with_all_threads_over_their_time_nothing_waits_for_one() {
    let mut schedule = schedule(2);
    for partner in [1, 2] {
        schedule.add(at(0), partner, "slow").expect("room");
        schedule.begin(at(0), partner as usize - 1).expect("a thread");
    }
    schedule.add(at(49), 3, "c1").expect("they may still return in time");
    assert_eq!(schedule.add(at(50), 3, "c2"), Err(Skipped::NoThread));
    assert_eq!(schedule.overdue_threads(at(50)), 2);
    schedule.end(at(51), 0);
    schedule.add(at(52), 3, "c3").expect("a thread has returned");
}

#[test]
fn the_queue_is_bounded_for_one_partner_and_over_all() {
    let mut schedule = schedule(1);
    let added = (0..1000).filter(|_| schedule.add(at(0), 1, "x").is_ok()).count();
    assert_eq!(added, MAX_WAITING_PER_PARTNER);
    let others = (2..1000).filter(|partner| schedule.add(at(0), *partner, "y").is_ok()).count();
    assert_eq!(added + others, MAX_WAITING);
    assert_eq!(schedule.add(at(0), 5000, "z"), Err(Skipped::Busy));
    assert_eq!(schedule.waiting.len(), 1 + others, "nothing is kept of a partner that was turned away");
    let begun = std::iter::from_fn(|| {
        let call = schedule.begin(at(0), 0);
        schedule.end(at(0), 0);
        call
    });
    assert_eq!(begun.count(), MAX_WAITING);
    assert_eq!((schedule.waiting.len(), schedule.waiting_count, schedule.turns.len()), (0, 0, 0));
}
