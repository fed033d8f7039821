//! Histories of writes that fail, are torn and succeed: what was told and what a restart believes never differ.
use proptest::prelude::*;
use std::time::SystemTime;

use super::storage_double::{Disk, Fate};
use super::tests::{job, rules};
use super::*;
use crate::job::NoticeEnd;

const LIMIT: u64 = 60_000;

fn open(disk: &Disk) -> (Journal, Vec<OpenJob>) {
    let folder = tempfile::tempdir().expect("a folder");
    let clock = FolderClock::open(folder.path()).expect("it can be read");
    // The clock's record is not what is tested here; its folder goes after it was written.
    let (mut journal, open) = Journal::over(Box::new(disk.clone()), clock, LIMIT).expect("it opens");
    journal.clock.record().expect("written");
    (journal, open)
}

/// What a process that starts now would find.
fn found(disk: &Disk) -> Vec<OpenJob> {
    open(&Disk::holding(disk.bytes())).1
}

#[derive(Clone, Debug)]
enum Step {
    TakeOn { size: usize },
    Claim(usize),
    NeverRan(usize),
    Ending(usize),
    OutOfTime(usize),
    End(usize),
    Retry,
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let which = 0..6usize;
    prop_oneof![
        3 => (0..3000usize).prop_map(|size| Step::TakeOn { size }),
        3 => which.clone().prop_map(Step::Claim),
        2 => which.clone().prop_map(Step::NeverRan),
        2 => which.clone().prop_map(Step::Ending),
        1 => which.clone().prop_map(Step::OutOfTime),
        2 => which.prop_map(Step::End),
        1 => Just(Step::Retry),
        1 => Just(Step::Restart),
    ]
}

fn fates() -> impl Strategy<Value = Vec<Fate>> {
    let fate = prop_oneof![
        2 => Just(Fate::Done),
        2 => Just(Fate::Fails),
        2 => (0..400usize).prop_map(Fate::Torn),
    ];
    prop_oneof![3 => Just(Vec::new()), 2 => prop::collection::vec(fate, 0..5)]
}

/// What others were told of a message.
#[derive(Clone, Debug, Default)]
struct Told {
    key: Key,
    tries: u32,
    /// The present process knows that an attempt may have run.
    may_have_run: bool,
    end: Option<Notice>,
    /// Nothing more is owed for it; not recorded yet if the journal owes it to the file.
    over: bool,
    over_recorded: bool,
}

fn check(disk: &Disk, told: &BTreeMap<String, Told>, refused: &[String]) -> Result<(), TestCaseError> {
    let found: BTreeMap<_, _> = found(disk).into_iter().map(|open| (open.job.id.clone(), open)).collect();
    for id in refused {
        prop_assert!(!found.contains_key(id), "{id} was refused");
    }
    for (id, told) in told {
        let Some(open) = found.get(id) else {
            prop_assert!(told.over, "{id} was taken on and is gone");
            continue;
        };
        prop_assert!(!told.over_recorded, "{id} is over");
        prop_assert_eq!(open.tries, told.tries, "{}", id);
        prop_assert!(open.risk.is_some() || !told.may_have_run, "{id} may have run");
        if told.end.is_some() {
            prop_assert_eq!(&open.pending_notice, &told.end, "{}", id);
        }
        prop_assert_eq!(open.rules.as_ref(), Some(&rules()), "{}", id);
    }
    prop_assert!(found.keys().all(|id| told.contains_key(id)), "nobody was told of what was found");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    #[test]
    fn what_was_told_and_what_a_restart_believes_never_differ(
        history in prop::collection::vec((step(), fates()), 1..60),
    ) {
        let disk = Disk::default();
        let (mut journal, _) = open(&disk);
        let mut told = BTreeMap::<String, Told>::new();
        let mut refused = Vec::new();
        for (number, (step, fates)) in history.into_iter().enumerate() {
            disk.fail(fates);
            let chosen = |which: usize| {
                let open: Vec<_> = told.iter().filter(|(_, told)| !told.over).map(|(id, _)| id.clone()).collect();
                open.get(which).cloned()
            };
            match step {
                Step::TakeOn { size } => {
                    let id = format!("j{number}");
                    match journal.record_job(&job(&id, size), &rules()) {
                        Ok(Some(taken_on)) => {
                            let key = taken_on.key().expect("journaled");
                            told.insert(id, Told { key, ..Told::default() });
                        }
                        Ok(None) | Err(_) => refused.push(id),
                    }
                }
                Step::Claim(which) => {
                    let Some(told) = chosen(which).and_then(|id| told.get_mut(&id)) else { continue };
                    let claim = RecordedClaim { sent: SystemTime::now(), node: "n".into(), zone: None };
                    if told.end.is_none() && journal.record_claim(told.key, claim).is_ok() {
                        told.tries += 1;
                        told.may_have_run = true;
                    }
                }
                Step::NeverRan(which) => {
                    let Some(told) = chosen(which).and_then(|id| told.get_mut(&id)) else { continue };
                    let _ = journal.record_never_ran(told.key);
                    told.may_have_run = journal.risk(told.key).is_some();
                }
                Step::Ending(which) => {
                    let Some(id) = chosen(which) else { continue };
                    let told = told.get_mut(&id).expect("chosen from it");
                    let notice = Notice { id, end: NoticeEnd::Returned { after: None } };
                    if told.end.is_none() && let Ok(end) = journal.record_notice(told.key, &notice) {
                        told.end = Some(end.notice().clone());
                    }
                }
                Step::OutOfTime(which) => {
                    let Some(id) = chosen(which) else { continue };
                    let told = told.get_mut(&id).expect("chosen from it");
                    if told.end.is_none() {
                        let end = journal.expire_job(told.key, &job(&id, 0));
                        // Until it is recorded, a later process comes to it by the time.
                        told.end = (!journal.has_deferred_records()).then(|| end.notice().clone());
                    }
                }
                Step::End(which) => {
                    let Some(told) = chosen(which).and_then(|id| told.get_mut(&id)) else { continue };
                    told.over_recorded = journal.remove_job(told.key).is_ok();
                    told.over = true;
                }
                Step::Retry => {
                    if journal.retry().is_ok() {
                        prop_assert!(!journal.has_deferred_records() && !journal.health().is_failing());
                    }
                }
                Step::Restart => {
                    disk.fail([]);
                    let (next, open) = open(&disk);
                    journal = next;
                    let open: BTreeMap<_, _> = open.into_iter().map(|open| (open.job.id.clone(), open)).collect();
                    for (id, told) in &mut told {
                        told.over = !open.contains_key(id);
                        told.over_recorded = told.over;
                        let Some(open) = open.get(id) else { continue };
                        (told.may_have_run, told.end) = (open.risk.is_some(), open.pending_notice.clone());
                    }
                }
            }
            if !journal.has_deferred_records() {
                told.values_mut().for_each(|told| told.over_recorded = told.over);
            }
            check(&disk, &told, &refused)?;
        }
    }
}

/// A write that failed and could not be cut off must leave nothing of what was refused.
#[test]
fn half_of_what_was_refused_is_not_taken_on_by_the_next_process() {
    let whole = {
        let disk = Disk::default();
        open(&disk).0.record_job(&job("a", 9), &rules()).expect("written");
        disk.bytes().len()
    };
    for written in 0..whole {
        let disk = Disk::default();
        let (mut journal, _) = open(&disk);
        disk.fail([Fate::Torn(written), Fate::Fails]);
        journal.record_job(&job("a", 9), &rules()).expect_err("the disk is full");
        assert!(found(&disk).is_empty(), "{written} bytes");
        // With room again it goes on behind a sound end.
        let key = journal.record_job(&job("b", 9), &rules()).expect("written").expect("room").key();
        let open = found(&disk);
        assert_eq!((open.len(), Some(open[0].key)), (1, key), "{written} bytes");
    }
}

#[test]
fn a_journal_that_cannot_be_written_anew_as_it_opens_tells_what_is_open_and_is_written_later() {
    let disk = Disk::default();
    let (mut journal, _) = open(&disk);
    journal.record_job(&job("a", 9), &rules()).expect("written");
    disk.fail([Fate::Fails]);
    let (mut journal, found) = open(&disk);
    assert_eq!(found.len(), 1);
    assert!(journal.health().is_failing());
    journal.record_job(&job("b", 9), &rules()).expect("written");
    assert!(!journal.health().is_failing());
    assert_eq!(self::found(&disk).len(), 2);
}
