//! Hard starts of nine processes that pass lists to one another. Each schedule is named after what goes wrong; all promises are kept, all who run hold
//! the list in the end, and what was news meanwhile was heard by all.
mod common;

use common::{holds, played, read};
use onyxglade_lab::discovery::ListCallOutcome;
use onyxglade_rig::history::{History, What};

/// Of those that held a list when there was news, at least so many.
fn all_heard(history: &History, least: usize) {
    let heard = history.heard();
    assert!(heard.len() >= least && heard.iter().all(Option::is_some), "not heard by all: {heard:?}");
}

/// The list service answered somebody who is no seed.
fn somebody_stood_in(history: &History) -> bool {
    history.list_calls.iter().any(|c| c.who > 2 && c.outcome == ListCallOutcome::Answered)
}

#[test]
fn a_list_service_that_takes_a_second_for_a_call_is_asked_by_few() {
    holds("start-list-slow.toml");
}

/// Nothing is handed in before all hold the list, so that nothing but the start itself makes them ask.
#[test]
fn a_fleet_without_messages_has_its_list_too() {
    let mut schedule = read("start-list-slow.toml");
    (schedule.start.warm, schedule.seconds) = (true, 1.0);
    let (outcome, history) = played(&schedule);
    assert!(outcome.held(), "{outcome:?}");
    let first = history.list_calls.first().map(|call| call.at.as_secs());
    assert!(first.is_some_and(|at| at < 30), "the first call came at {first:?} s");
}

#[test]
fn a_list_service_that_turns_nine_in_ten_away_is_enough_for_all() {
    let history = holds("start-list-busy.toml");
    assert!(history.list_calls.iter().any(|c| c.outcome == ListCallOutcome::Down), "nobody was turned away");
}

#[test]
fn a_list_service_that_is_down_for_the_start_is_followed_once_it_is_back() {
    holds("start-list-down.toml");
}

#[test]
fn a_list_that_breaks_off_is_none() {
    holds("start-list-torn.toml");
}

#[test]
fn a_list_service_that_counts_anew_is_followed_and_its_news_heard() {
    all_heard(&holds("start-list-forgets.toml"), 9);
}

#[test]
fn others_stand_in_for_seeds_that_are_killed() {
    let history = holds("start-askers-killed.toml");
    assert!(history.events.iter().any(|e| e.relay < 3 && e.what == What::Ended));
}

#[test]
fn others_stand_in_for_seeds_that_are_stopped() {
    holds("start-askers-stopped.toml");
}

#[test]
fn others_stand_in_for_seeds_that_cannot_reach_the_service() {
    assert!(somebody_stood_in(&holds("start-askers-cut.toml")));
}

#[test]
fn old_lists_lead_nobody_astray_where_better_ones_come_at_once() {
    let history = holds("start-old-lists.toml");
    assert!(read("start-old-lists.toml").start.known_by.contains("r0") && history.rules_broken == 0);
}

#[test]
fn a_second_loss_of_power_costs_a_second_start() {
    holds("start-second-loss.toml");
}

#[test]
fn halves_that_meet_end_with_the_newer_list() {
    all_heard(&holds("start-halves.toml"), 4);
}

#[test]
fn a_false_generation_is_not_what_a_fleet_ends_with() {
    all_heard(&holds("start-lies.toml"), 9);
}
