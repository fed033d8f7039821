//! Starts under faults, most of nine processes that share lists. Each schedule is named after its fault. All invariants hold; in the
//! end every running relay has the list, and every change published meanwhile reached all relays.
mod common;

use common::{play_and_expect_pass, play_schedule, read_schedule};
use onyxglade_lab::discovery::ListCallOutcome;
use onyxglade_rig::history::{EventKind, History};

/// Asserts that each change reached every relay that had a list at the time, `min_count` times or more in all.
fn expect_propagated(history: &History, min_count: usize) {
    let propagation_times = history.propagation_times();
    assert!(
        propagation_times.len() >= min_count && propagation_times.iter().all(Option::is_some),
        "did not reach all: {propagation_times:?}"
    );
}

/// Whether the list service answered a relay that is not a seed.
fn service_answered_non_seed(history: &History) -> bool {
    history.list_calls.iter().any(|c| c.who > 2 && c.outcome == ListCallOutcome::Answered)
}

#[test]
fn a_list_service_that_takes_a_second_for_a_call_is_called_by_few() {
    play_and_expect_pass("start-list-slow.toml");
}

/// No message is submitted before all relays have the list, so only the start itself makes them request it.
#[test]
fn a_fleet_without_messages_has_its_list_too() {
    let mut schedule = read_schedule("start-list-slow.toml");
    (schedule.start.warm, schedule.seconds) = (true, 1.0);
    let (outcome, history) = play_schedule(&schedule);
    assert!(outcome.passed(), "{outcome:?}");
    let first = history.list_calls.first().map(|call| call.at.as_secs());
    assert!(first.is_some_and(|at| at < 30), "the first call came at {first:?} s");
}

#[test]
fn a_list_service_that_rejects_nine_calls_in_ten_suffices_for_all() {
    let history = play_and_expect_pass("start-list-busy.toml");
    assert!(history.list_calls.iter().any(|c| c.outcome == ListCallOutcome::Down), "no call was rejected");
}

#[test]
fn a_list_service_that_is_down_at_the_start_is_used_once_it_is_back() {
    play_and_expect_pass("start-list-down.toml");
}

#[test]
fn a_truncated_list_is_not_used() {
    play_and_expect_pass("start-list-torn.toml");
}

#[test]
fn a_list_service_that_lost_its_state_is_followed_and_its_changes_reach_all() {
    expect_propagated(&play_and_expect_pass("start-list-forgets.toml"), 9);
}

#[test]
fn other_relays_replace_seeds_that_are_killed() {
    let history = play_and_expect_pass("start-askers-killed.toml");
    assert!(history.events.iter().any(|e| e.relay < 3 && e.kind == EventKind::Ended));
}

#[test]
fn other_relays_replace_seeds_that_are_stopped() {
    play_and_expect_pass("start-askers-stopped.toml");
}

#[test]
fn other_relays_replace_seeds_that_cannot_reach_the_service() {
    assert!(service_answered_non_seed(&play_and_expect_pass("start-askers-cut.toml")));
}

#[test]
fn outdated_lists_break_no_rule_where_newer_ones_arrive_at_once() {
    let history = play_and_expect_pass("start-old-lists.toml");
    assert!(read_schedule("start-old-lists.toml").start.known_by.contains("r0") && history.rules_broken == 0);
}

/// Guards against calls by a list that nobody has confirmed to the process, on whatever its folder says.
#[test]
fn outdated_lists_break_no_rule_while_the_list_service_is_down() {
    play_and_expect_pass("start-old-list-alone.toml");
}

#[test]
fn a_power_loss_during_a_start_costs_one_more_start() {
    play_and_expect_pass("start-second-loss.toml");
}

#[test]
fn partitioned_halves_end_with_the_newer_list_once_rejoined() {
    expect_propagated(&play_and_expect_pass("start-halves.toml"), 4);
}

#[test]
fn a_false_generation_does_not_persist_in_the_fleet() {
    expect_propagated(&play_and_expect_pass("start-lies.toml"), 9);
}
