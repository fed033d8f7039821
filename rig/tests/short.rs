//! Plays short schedules with processes of the real program. A run passes if the invariants and the schedule's expectations hold.
mod common;

use common::{play_and_expect_pass, play_schedule, read_schedule};
use onyxglade_lab::discovery::ListCallOutcome;
use onyxglade_rig::history::EventKind;
use onyxglade_rig::schedule::Schedule;
use std::path::Path;

#[test]
fn a_cold_start_with_a_slow_list_service_ends_with_lists_for_all() {
    let history = play_and_expect_pass("short-cold-start.toml");
    assert!(history.events.iter().any(|e| e.relay == 5 && e.kind == EventKind::Stopped));
}

#[test]
fn a_power_loss_repeats_no_order_and_loses_no_message() {
    let history = play_and_expect_pass("short-power-loss.toml");
    let started = history.events.iter().filter(|e| e.kind == EventKind::Started).count();
    assert_eq!(started, 5 + 5 + 3);
}

#[test]
fn every_kind_of_link_fault_breaks_no_rule() {
    play_and_expect_pass("short-links.toml");
}

#[test]
fn relays_that_were_partitioned_stopped_and_killed_see_each_other_again() {
    let history = play_and_expect_pass("short-instances.toml");
    let missed = |who: usize| history.events.iter().any(|e| e.kind == EventKind::Misses(who));
    // With seven members, suspicion lasts under four seconds. Two that are partitioned for ten count as gone, and so does one that
    // left for good.
    assert!(missed(5) && (missed(1) || missed(2)), "no relay was seen as gone");
    assert!(history.views()[0].contains(&4) && !history.views()[0].contains(&5));
}

/// Two relays fetch the list from the service and all others get it from them. When those two are cut off, another one fetches it.
#[test]
fn relays_that_share_lists_keep_them_when_the_fetching_relays_are_cut_off() {
    let history = play_and_expect_pass("short-lists.toml");
    let first: Vec<_> = history.list_calls.iter().filter(|c| c.at.as_secs_f64() < 2.0).collect();
    assert!(first.len() <= 2, "eight relays, and these calls: {first:?}");
    let answered_other =
        history.list_calls.iter().any(|c| c.who > 2 && c.outcome == ListCallOutcome::Answered);
    assert!(answered_other, "no other relay fetched the list: {:?}", history.list_calls);
    assert!(
        history.propagation_times().iter().all(Option::is_some),
        "a change did not reach all relays: {:?}",
        history.propagation_times()
    );
}

/// Guards against a rig that reports success whatever happens: one relay never reaches the list service.
#[test]
fn a_relay_that_cannot_get_a_list_is_reported() {
    let mut schedule = read_schedule("short-cold-start.toml");
    (schedule.faults[0].for_s, schedule.seconds) = (None, 2.0);
    let (outcome, _) = play_schedule(&schedule);
    assert!(outcome.violations.contains_key("all-hold-the-list"), "{outcome:?}");
    assert_eq!(outcome.figures["without_list"], 1.0);
}

#[test]
fn every_schedule_in_the_repository_is_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("schedules");
    let mut files = 0;
    for entry in std::fs::read_dir(folder).expect("schedules") {
        let path = entry.expect("an entry").path();
        let schedule = Schedule::read(&path).expect("valid");
        assert_eq!(path.file_stem().and_then(|s| s.to_str()), Some(schedule.name.as_str()));
        files += 1;
    }
    assert!(files >= 4);
}

/// No change can be published while every connection is refused, so the time of the list lease does not advance and messages are
/// still sent.
#[test]
fn messages_are_sent_while_the_list_service_refuses_connections_and_drains_are_respected_afterwards() {
    let history = play_and_expect_pass("drain-while-refused.toml");
    assert!(!history.changes.is_empty() && history.events.iter().any(|e| e.kind == EventKind::Ended));
}

/// The list service may reject any call, as when many relays call it at once. Whatever else happens to a relay, it sends nothing by a
/// list that is not confirmed.
#[test]
fn drains_are_respected_by_killed_stopped_and_reloaded_relays_while_the_list_service_rejects_calls() {
    let history = play_and_expect_pass("drain-while-down.toml");
    assert!(history.changes.len() == 3 && history.events.iter().any(|e| e.kind == EventKind::Reloaded));
}

/// Incident 39: a relay went on using a list until it received another one, however long that took.
#[test]
fn no_list_is_acted_on_longer_than_it_may_be_without_being_confirmed() {
    let violated: Vec<_> = ["drain-after-restart.toml", "drain-in-a-crowd.toml"]
        .into_iter()
        .filter_map(|name| {
            let (outcome, history) = play_schedule(&read_schedule(name));
            assert!(history.delivered > 0 && !history.changes.is_empty(), "{outcome:?}");
            (!outcome.passed())
                .then(|| format!("{name}: {:?} {:?}", outcome.violations, outcome.summary_line()))
        })
        .collect();
    assert!(violated.is_empty(), "{violated:#?}");
}
