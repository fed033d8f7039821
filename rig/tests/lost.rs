//! Accepted messages complete exactly once, in time and for good, despite faults of the disk and clock, signals, and idle clients.
mod common;

use common::{play_and_expect_pass, play_schedule, read_schedule};
use onyxglade_rig::history::EventKind;

/// Incident 44: a completion was reported that the journal had not recorded, and the next process sent the message again.
#[test]
fn a_message_reported_complete_while_the_disk_is_full_is_not_sent_again() {
    let history = play_and_expect_pass("ends-on-full-disk.toml");
    let ended = history.events.iter().filter(|event| event.kind == EventKind::Ended).count();
    assert_eq!(ended, 6, "three processes are killed twice");
}

/// Incident 44: a process exited because it could not write to its state folder at its start.
#[test]
fn processes_start_while_their_folders_fail_and_serve_once_these_work_again() {
    let (outcome, history) = play_schedule(&read_schedule("start-on-failing-folder.toml"));
    assert!(outcome.passed(), "{outcome:?}");
    let ready = history.events.iter().filter(|event| event.kind == EventKind::Ready).count();
    assert_eq!(ready, 12 + 6, "{:?}", history.events);
}

/// Incident 44: a restarted process took its messages' deadlines from the wall clock, so a clock step moved them.
#[test]
fn messages_complete_once_and_in_time_though_the_wall_clock_steps_between_processes() {
    play_and_expect_pass("ends-across-clock-steps.toml");
}

/// Incident 44: the deadline of a request counted from when it was read, without the time its connection had waited in the accept
/// queue.
#[test]
fn requests_that_waited_behind_idle_connections_complete_in_time() {
    play_and_expect_pass("ends-in-a-crowd.toml");
}
