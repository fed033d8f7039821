use super::*;
use ListScope::{NotConnected, Rejected, TimedOut, Truncated, Unreachable};
use proptest::prelude::*;

const MS: Nanos = 1_000_000;

fn polled(poll_interval: Nanos) -> ListLease {
    ListLease::new(ListSource::Polled { poll_interval })
}

fn confirmed_at(begun: Nanos) -> ListLease {
    let mut lease = polled(10 * SECOND);
    lease.confirm(begun, begun);
    lease
}

#[test]
fn a_lease_counts_from_the_start_of_its_call() {
    assert_eq!(polled(10 * SECOND).ends_at(), Some(0), "nothing was confirmed");
    assert_eq!(confirmed_at(100 * SECOND).ends_at(), Some(106_300 * MS));
    assert!(
        confirmed_at(100 * SECOND).allows(106_299 * MS) && !confirmed_at(100 * SECOND).allows(106_300 * MS)
    );
    let mut short = polled(4 * SECOND);
    short.confirm(100 * SECOND, 100 * SECOND);
    assert_eq!(short.ends_at(), Some(104_300 * MS), "a shorter poll interval shortens the lease");
    assert!(ListLease::new(ListSource::File).allows(Nanos::MAX));
}

#[test]
fn a_503_a_reset_and_silence_do_not_extend_the_lease() {
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
    assert_eq!(lease.ends_at(), Some(106_300 * MS), "one refusal shows nothing about the time before it");
    lease.call_failed(105 * SECOND, Unreachable);
    assert_eq!(lease.ends_at(), Some(109_300 * MS));
    lease.call_failed(106 * SECOND, Rejected);
    lease.call_failed(108 * SECOND, Unreachable);
    assert_eq!(lease.ends_at(), Some(109_300 * MS), "discovery was running in between");
    lease.call_failed(119 * SECOND, Unreachable);
    assert_eq!(lease.ends_at(), Some(109_300 * MS), "too far apart");
}

#[test]
fn an_answer_that_has_started_limits_the_lease_until_it_is_applied() {
    let mut lease = confirmed_at(100 * SECOND);
    lease.answer_started(101 * SECOND);
    lease.answer_started(102 * SECOND);
    assert_eq!(lease.ends_at(), Some(101_300 * MS));
    lease.call_failed(101_100 * MS, Truncated);
    assert_eq!(lease.ends_at(), Some(101_300 * MS), "it broke off, and may have announced a drain");
    lease.confirm(103 * SECOND, 103 * SECOND);
    assert_eq!(lease.ends_at(), Some(109_300 * MS));
    lease.answer_started(104 * SECOND);
    lease.answer_started(104_100 * MS);
    lease.confirm(102 * SECOND, 104 * SECOND);
    assert_eq!(lease.ends_at(), Some(104_400 * MS), "the next answer has started");
}

#[test]
fn a_reload_limits_the_lease_until_a_later_call_is_answered() {
    let mut lease = confirmed_at(100 * SECOND);
    lease.configuration_reloaded(101 * SECOND);
    assert_eq!(lease.ends_at(), Some(105_300 * MS));
    lease.confirm(100_900 * MS, 100_900 * MS);
    assert_eq!(lease.ends_at(), Some(105_300 * MS), "the call started before the reload");
    lease.configuration_reloaded(102 * SECOND);
    assert_eq!(lease.ends_at(), Some(105_300 * MS), "the first reload counts");
    lease.confirm(101_500 * MS, 101_500 * MS);
    assert_eq!(lease.ends_at(), Some(105_300 * MS), "the call started before the second reload");
    lease.confirm(102_500 * MS, 102_500 * MS);
    assert_eq!(lease.ends_at(), Some(108_800 * MS));
    lease.call_failed(103 * SECOND, Rejected);
    assert_eq!(lease.ends_at(), Some(106_300 * MS), "changes since then count as announced with the reload");
    lease.confirm(104 * SECOND, 104 * SECOND);
    lease.call_failed(106_500 * MS, Rejected);
    assert_eq!(lease.ends_at(), Some(110_300 * MS));
}

#[test]
fn an_inherited_confirmation_ends_with_the_lease() {
    assert_eq!(polled(10 * SECOND).inheritable_confirmation(), None);
    let mut lease = confirmed_at(100 * SECOND);
    lease.configuration_reloaded(100 * SECOND);
    let mut next = polled(10 * SECOND);
    next.restore(lease.inheritable_confirmation().expect("it was confirmed"));
    assert_eq!((next.ends_at(), lease.ends_at()), (Some(104_300 * MS), Some(104_300 * MS)));
}

#[test]
fn a_pushed_list_is_used_from_the_first_answer_to_this_process_until_a_gap() {
    let mut lease = ListLease::new(ListSource::Pushed);
    lease.restore(100 * SECOND);
    assert_eq!(lease.ends_at(), Some(0), "an earlier process cannot know what the agent has learned since");
    lease.confirm(100 * SECOND, 100 * SECOND);
    lease.call_failed(102 * SECOND, TimedOut);
    lease.call_failed(105 * SECOND, TimedOut);
    assert_eq!(lease.ends_at(), None, "a silent agent learns nothing");
    for how in [Unreachable, Rejected, Truncated, NotConnected] {
        let mut lease = lease;
        lease.call_failed(110 * SECOND, how);
        lease.call_failed(112 * SECOND, how);
        lease.confirm(109 * SECOND, 109 * SECOND);
        assert_eq!(lease.ends_at(), Some(110_300 * MS), "{how:?}: answered before the gap");
        lease.call_failed(113 * SECOND, TimedOut);
        assert_eq!(lease.ends_at(), Some(110_300 * MS), "{how:?}: silence does not close the gap");
        lease.confirm(111 * SECOND, 111 * SECOND);
        assert_eq!(lease.ends_at(), None, "{how:?}");
    }
    lease.configuration_reloaded(120 * SECOND);
    assert_eq!(lease.ends_at(), Some(124_300 * MS));
    lease.answer_started(121 * SECOND);
    assert_eq!(lease.ends_at(), Some(121_300 * MS));
}

#[test]
fn a_list_between_instances_is_used_until_the_lease_of_its_last_confirmation_ends() {
    let mut lease = ListLease::new(ListSource::Shared { poll_interval: 10 * SECOND });
    assert_eq!(lease.ends_at(), Some(0));
    lease.confirm(100 * SECOND, 100 * SECOND);
    assert_eq!(lease.ends_at(), Some(106_300 * MS));
    lease.call_failed(101 * SECOND, Unreachable);
    lease.call_failed(103 * SECOND, Unreachable);
    assert_eq!(lease.ends_at(), Some(106_300 * MS), "others may have been told in between");
    lease.answer_started(104 * SECOND);
    lease.confirm(103 * SECOND, 100 * SECOND);
    assert_eq!(lease.ends_at(), Some(104_300 * MS), "confirmed before this instance's own answer");
    lease.confirm(105 * SECOND, 100 * SECOND);
    assert_eq!(lease.ends_at(), Some(111_300 * MS), "a later call of another instance includes that answer");
}

/// Events in the history of a relay; each one follows the previous one after a number of milliseconds.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A call is answered that started `began` ms ago; its bytes took `applied_in` ms to be applied.
    Answered {
        began: u64,
        applied_in: u64,
    },
    BreaksOff,
    Fails(ListScope),
    Reloaded,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![
        (0u64..3000, 0u64..600).prop_map(|(began, applied_in)| Step::Answered { began, applied_in }),
        Just(Step::BreaksOff),
        prop_oneof![Just(Rejected), Just(TimedOut)].prop_map(Step::Fails),
        Just(Step::Reloaded),
    ];
    proptest::collection::vec((1u64..4000, step), 1..60)
}

proptest! {
    /// Over any history of answers, failures and reloads without an outage: a first byte that the lease
    /// allows, and that is delayed by the maximum stall, is never later than the grace period after the
    /// earliest moment at which a change unknown to the relay may count as announced.
    #[test]
    fn no_first_byte_comes_after_the_bound(steps in steps()) {
        let mut lease = polled(10 * SECOND);
        let mut now = 1000 * SECOND;
        // The earliest change that may be unknown, the latest reload not yet answered, and the first unread
        // byte.
        let (mut unknown_since, mut reload, mut unread) = (0, None, None::<Nanos>);
        for (after, step) in steps {
            now += after * MS;
            match step {
                Step::Answered { began, applied_in } => {
                    let began = now - began * MS;
                    lease.answer_started(now);
                    let first = *unread.get_or_insert(now);
                    let answered = now;
                    now += applied_in * MS;
                    prop_assert!(!lease.allows(now) || now + MAX_STALL <= first + DRAIN_GRACE);
                    lease.confirm(began, answered);
                    unknown_since = unknown_since.max(began);
                    unread = None;
                    reload = reload.filter(|reloaded| *reloaded > began);
                }
                Step::BreaksOff => {
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
            for offset in [0, 100, 299, 300, 1000, 3999, 4299, 4300, 6299, 6300, 9000] {
                let byte = now + offset * MS;
                if lease.allows(byte) {
                    let delayed = byte + MAX_STALL;
                    prop_assert!(delayed <= unknown_since + DEEMED_ANNOUNCED_AFTER + DRAIN_GRACE);
                    prop_assert!(unread.is_none_or(|first| delayed <= first + DRAIN_GRACE));
                    prop_assert!(
                        reload.is_none_or(|at| delayed <= at + DEEMED_ANNOUNCED_AFTER_RELOAD + DRAIN_GRACE)
                    );
                }
            }
        }
    }
}
