use super::*;
use ListScope::{Rejected, TimedOut, Truncated, Unreachable};
use proptest::prelude::*;

const MS: Nanos = 1_000_000;

fn confirmed_at(begun: Nanos) -> ListLease {
    let mut lease = ListLease::for_polled_list(10 * SECOND);
    lease.confirm(begun, begun);
    lease
}

#[test]
fn a_confirmation_is_a_lease_from_its_calls_beginning() {
    assert_eq!(ListLease::for_polled_list(10 * SECOND).ends_at(), Some(0), "nothing was confirmed");
    assert_eq!(confirmed_at(100 * SECOND).ends_at(), Some(106_300 * MS));
    assert!(
        confirmed_at(100 * SECOND).allows(106_299 * MS) && !confirmed_at(100 * SECOND).allows(106_300 * MS)
    );
    let mut short = ListLease::for_polled_list(4 * SECOND);
    short.confirm(100 * SECOND, 100 * SECOND);
    assert_eq!(short.ends_at(), Some(104_300 * MS), "a relay that is held to ask sooner is told sooner");
    assert!(ListLease::unbounded().allows(Nanos::MAX));
}

#[test]
fn a_503_a_reset_and_silence_prove_nothing() {
    for how in [Rejected, Truncated, TimedOut] {
        let mut lease = confirmed_at(100 * SECOND);
        lease.call_failed(101 * SECOND, how);
        lease.call_failed(103 * SECOND, how);
        assert_eq!(lease.ends_at(), Some(106_300 * MS), "{how:?}");
    }
}

#[test]
fn the_time_between_two_refused_connections_does_not_count() {
    let mut lease = confirmed_at(100 * SECOND);
    lease.call_failed(102 * SECOND, Unreachable);
    assert_eq!(lease.ends_at(), Some(106_300 * MS), "one says nothing of the time before it");
    lease.call_failed(105 * SECOND, Unreachable);
    assert_eq!(lease.ends_at(), Some(109_300 * MS));
    lease.call_failed(106 * SECOND, Rejected);
    lease.call_failed(108 * SECOND, Unreachable);
    assert_eq!(lease.ends_at(), Some(109_300 * MS), "it was there in between");
    lease.call_failed(119 * SECOND, Unreachable);
    assert_eq!(lease.ends_at(), Some(109_300 * MS), "too far apart");
}

#[test]
fn an_answer_that_has_begun_binds_until_it_is_taken_in() {
    let mut lease = confirmed_at(100 * SECOND);
    lease.answer_started(101 * SECOND);
    lease.answer_started(102 * SECOND);
    assert_eq!(lease.ends_at(), Some(101_300 * MS));
    lease.call_failed(101_100 * MS, Truncated);
    assert_eq!(lease.ends_at(), Some(101_300 * MS), "it broke off, and may have told a drain");
    lease.confirm(103 * SECOND, 103 * SECOND);
    assert_eq!(lease.ends_at(), Some(109_300 * MS));
    lease.answer_started(104 * SECOND);
    lease.answer_started(104_100 * MS);
    lease.confirm(102 * SECOND, 104 * SECOND);
    assert_eq!(lease.ends_at(), Some(104_400 * MS), "the next one is on its way");
}

#[test]
fn a_reload_binds_until_a_later_call_is_answered() {
    let mut lease = confirmed_at(100 * SECOND);
    lease.configuration_reloaded(101 * SECOND);
    assert_eq!(lease.ends_at(), Some(105_300 * MS));
    lease.confirm(100_900 * MS, 100_900 * MS);
    assert_eq!(lease.ends_at(), Some(105_300 * MS), "begun before it");
    lease.configuration_reloaded(102 * SECOND);
    assert_eq!(lease.ends_at(), Some(105_300 * MS), "the first one binds");
    lease.confirm(101_500 * MS, 101_500 * MS);
    assert_eq!(lease.ends_at(), Some(105_300 * MS), "begun before the second");
    lease.confirm(102_500 * MS, 102_500 * MS);
    assert_eq!(lease.ends_at(), Some(108_800 * MS));
    lease.call_failed(103 * SECOND, Rejected);
    assert_eq!(lease.ends_at(), Some(106_300 * MS), "what came since counts as told with the reload");
    lease.confirm(104 * SECOND, 104 * SECOND);
    lease.call_failed(106_500 * MS, Rejected);
    assert_eq!(lease.ends_at(), Some(110_300 * MS));
}

#[test]
fn what_a_later_process_may_rely_on_ends_with_the_lease() {
    assert_eq!(ListLease::for_polled_list(10 * SECOND).inheritable_confirmation(), None);
    let mut lease = confirmed_at(100 * SECOND);
    lease.configuration_reloaded(100 * SECOND);
    let mut next = ListLease::for_polled_list(10 * SECOND);
    next.restore(lease.inheritable_confirmation().expect("it was confirmed"));
    assert_eq!((next.ends_at(), lease.ends_at()), (Some(104_300 * MS), Some(104_300 * MS)));
}

/// What may happen to a relay, each after so many milliseconds.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A call is answered that was begun so long ago; how long its bytes took to be taken in.
    Answered {
        began: u64,
        taken_in: u64,
    },
    TornOff,
    Fails(ListScope),
    Reloaded,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![
        (0u64..3000, 0u64..600).prop_map(|(began, taken_in)| Step::Answered { began, taken_in }),
        Just(Step::TornOff),
        prop_oneof![Just(Rejected), Just(TimedOut)].prop_map(Step::Fails),
        Just(Step::Reloaded),
    ];
    proptest::collection::vec((1u64..4000, step), 1..60)
}

proptest! {
    /// Over any history of answers, failures and reloads without an outage: a first byte that the lease allows, and that is held up, is
    /// never later than the grace after the earliest moment at which a change unknown to the relay may count as told.
    #[test]
    fn no_first_byte_comes_after_the_bound(steps in steps()) {
        let mut lease = ListLease::for_polled_list(10 * SECOND);
        let mut now = 1000 * SECOND;
        // The earliest change that may be unknown, the latest reload not yet answered, and the first unread byte.
        let (mut unknown_since, mut reload, mut unread) = (0, None, None::<Nanos>);
        for (after, step) in steps {
            now += after * MS;
            match step {
                Step::Answered { began, taken_in } => {
                    let began = now - began * MS;
                    lease.answer_started(now);
                    let first = *unread.get_or_insert(now);
                    let answered = now;
                    now += taken_in * MS;
                    prop_assert!(!lease.allows(now) || now + HOLD_UP <= first + DRAIN_GRACE);
                    lease.confirm(began, answered);
                    unknown_since = unknown_since.max(began);
                    unread = None;
                    reload = reload.filter(|reloaded| *reloaded > began);
                }
                Step::TornOff => {
                    lease.answer_started(now);
                    unread.get_or_insert(now);
                    lease.call_failed(now, Truncated);
                }
                Step::Fails(how) => lease.call_failed(now, how),
                Step::Reloaded => {
                    lease.configuration_reloaded(now);
                    reload = reload.or(Some(now));
                }
            }
            for look in [0, 100, 299, 300, 1000, 3999, 4299, 4300, 6299, 6300, 9000] {
                let byte = now + look * MS;
                if lease.allows(byte) {
                    let held_up = byte + HOLD_UP;
                    prop_assert!(held_up <= unknown_since + TOLD_ANYWAY + DRAIN_GRACE);
                    prop_assert!(unread.is_none_or(|first| held_up <= first + DRAIN_GRACE));
                    prop_assert!(reload.is_none_or(|at| held_up <= at + TOLD_AFTER_RELOAD + DRAIN_GRACE));
                }
            }
        }
    }
}
