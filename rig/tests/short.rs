//! Short schedules against processes of the real program. Verdicts are the promises and what the schedule itself expects.
mod common;

use common::{holds, played, read};
use onyxglade_lab::discovery::ListCallOutcome;
use onyxglade_rig::history::What;
use onyxglade_rig::schedule::Schedule;
use std::path::Path;

#[test]
fn a_cold_start_before_a_slow_list_service_ends_with_lists_for_all() {
    let history = holds("short-cold-start.toml");
    assert!(history.events.iter().any(|e| e.relay == 5 && e.what == What::Stopped));
}

#[test]
fn a_power_loss_repeats_no_order_and_loses_no_message() {
    let history = holds("short-power-loss.toml");
    let started = history.events.iter().filter(|e| e.what == What::Started).count();
    assert_eq!(started, 5 + 5 + 3);
}

#[test]
fn links_that_go_wrong_in_every_way_break_no_rule() {
    holds("short-links.toml");
}

#[test]
fn relays_that_were_parted_stopped_and_killed_see_each_other_again() {
    let history = holds("short-instances.toml");
    let missed = |who: usize| history.events.iter().any(|e| e.what == What::Misses(who));
    // Suspicion lasts under four seconds with seven: two that are parted for ten are missed, and so is one that left for good.
    assert!(missed(5) && (missed(1) || missed(2)), "nothing was wrong between them");
    assert!(history.views()[0].contains(&4) && !history.views()[0].contains(&5));
}

/// Two have the list from the service and all others from them; when those two are cut off from it, another takes their place.
#[test]
fn relays_that_pass_lists_on_keep_them_when_those_who_ask_are_cut_off() {
    let history = holds("short-lists.toml");
    let first: Vec<_> = history.list_calls.iter().filter(|c| c.at.as_secs_f64() < 2.0).collect();
    assert!(first.len() <= 2, "eight relays, and these calls: {first:?}");
    let stood_in = history.list_calls.iter().any(|c| c.who > 2 && c.outcome == ListCallOutcome::Answered);
    assert!(stood_in, "nobody took their place: {:?}", history.list_calls);
    assert!(history.heard().iter().all(Option::is_some), "a change was not heard: {:?}", history.heard());
}

/// What the rig says is not kept when it is not: a relay that never reaches the list service.
#[test]
fn a_relay_that_cannot_have_a_list_is_told_of() {
    let mut schedule = read("short-cold-start.toml");
    (schedule.faults[0].for_s, schedule.seconds) = (None, 2.0);
    let (outcome, _) = played(&schedule);
    assert!(outcome.promises_broken.contains_key("all-hold-the-list"), "{outcome:?}");
    assert_eq!(outcome.figures["without_list"], 1.0);
}

#[test]
fn every_schedule_that_is_shipped_can_be_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("schedules");
    let mut files = 0;
    for entry in std::fs::read_dir(folder).expect("schedules") {
        let path = entry.expect("an entry").path();
        let schedule = Schedule::read(&path).expect("sound");
        assert_eq!(path.file_stem().and_then(|s| s.to_str()), Some(schedule.name.as_str()));
        files += 1;
    }
    assert!(files >= 4);
}

/// Nothing can be told while every connection is refused, so that the lease's clock stands still and messages go on.
#[test]
fn messages_go_on_while_the_list_service_refuses_connections_and_drains_are_heard_after() {
    let history = holds("drain-while-refused.toml");
    assert!(!history.told.is_empty() && history.events.iter().any(|e| e.what == What::Ended));
}

/// What is turned away may be a crowd: whatever else happens to a relay, it sends nothing by a list that is not confirmed.
#[test]
fn drains_are_kept_by_relays_that_are_killed_stopped_and_reloaded_while_the_list_service_turns_away() {
    let history = holds("drain-while-down.toml");
    assert!(history.told.len() == 3 && history.events.iter().any(|e| e.what == What::Reloaded));
}

/// Incident 39: a list was acted on for as long as it took to hear of another one.
#[test]
fn no_list_is_acted_on_longer_than_it_may_be_without_being_confirmed() {
    let broken: Vec<_> = ["drain-after-restart.toml", "drain-in-a-crowd.toml"]
        .into_iter()
        .filter_map(|name| {
            let (outcome, history) = played(&read(name));
            assert!(history.delivered > 0 && !history.told.is_empty(), "{outcome:?}");
            (!outcome.held()).then(|| format!("{name}: {:?} {:?}", outcome.promises_broken, outcome.line()))
        })
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
}
