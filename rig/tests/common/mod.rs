//! Plays the repository's schedules with processes of the real program.
use onyxglade_lab::relay::program;
use onyxglade_rig::history::History;
use onyxglade_rig::play::{Programs, play};
use onyxglade_rig::report::Outcome;
use onyxglade_rig::schedule::Schedule;
use std::path::Path;
use tokio::task::LocalSet;

pub fn play_schedule(schedule: &Schedule) -> (Outcome, History) {
    let programs = Programs { current: program().expect("the relay"), previous: None };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let folder = tempfile::tempdir().expect("a folder");
    LocalSet::new()
        .block_on(&runtime, play(schedule, &programs, folder.path(), false))
        .expect("the schedule was played")
}

pub fn read_schedule(name: &str) -> Schedule {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("schedules").join(name);
    Schedule::read(&file).expect("valid")
}

pub fn play_and_expect_pass(name: &str) -> History {
    let (outcome, history) = play_schedule(&read_schedule(name));
    assert!(outcome.passed(), "{outcome:?}");
    assert!(history.delivered > 0, "{outcome:?}");
    history
}
