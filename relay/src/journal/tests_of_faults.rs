//! Histories of writes that fail, are torn, or succeed: a restart never contradicts what submitters were notified of.
use proptest::prelude::*;
use std::time::SystemTime;

use super::storage_double::{CallResult, Disk};
use super::tests::{job, rules};
use super::*;
use crate::job::NoticeEnd;

const LIMIT: u64 = 60_000;

fn open(disk: &Disk) -> (Journal, Vec<OpenJob>) {
    let folder = tempfile::tempdir().expect("a folder");
    let clock = FolderClock::open(folder.path()).expect("the record is readable");
    // The clock's record is not under test; it is written at once, before the temporary folder is deleted.
    let (mut journal, open) = Journal::with_storage(Box::new(disk.clone()), clock, LIMIT).expect("it opens");
    journal.clock.record().expect("written");
    (journal, open)
}

/// The jobs that a process that starts now would find open.
fn found(disk: &Disk) -> Vec<OpenJob> {
    open(&Disk::with_content(disk.bytes())).1
}

#[derive(Clone, Debug)]
enum Step {
    Accept { size: usize },
    Claim(usize),
    NeverRan(usize),
    Notice(usize),
    Expire(usize),
    Remove(usize),
    Retry,
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let which = 0..6usize;
    prop_oneof![
        3 => (0..3000usize).prop_map(|size| Step::Accept { size }),
        3 => which.clone().prop_map(Step::Claim),
        2 => which.clone().prop_map(Step::NeverRan),
        2 => which.clone().prop_map(Step::Notice),
        1 => which.clone().prop_map(Step::Expire),
        2 => which.prop_map(Step::Remove),
        1 => Just(Step::Retry),
        1 => Just(Step::Restart),
    ]
}

fn results() -> impl Strategy<Value = Vec<CallResult>> {
    let result = prop_oneof![
        2 => Just(CallResult::Success),
        2 => Just(CallResult::Failure),
        2 => (0..400usize).prop_map(CallResult::Torn),
    ];
    prop_oneof![3 => Just(Vec::new()), 2 => prop::collection::vec(result, 0..5)]
}

/// What was reported to others about an accepted message.
#[derive(Clone, Debug, Default)]
struct Reported {
    key: Key,
    tries: u32,
    /// The present process knows that a claim may have run.
    may_have_run: bool,
    end: Option<Notice>,
    /// It was removed; `removal_recorded` is false while that record is deferred.
    removed: bool,
    removal_recorded: bool,
}

fn check(
    disk: &Disk,
    accepted: &BTreeMap<String, Reported>,
    refused: &[String],
) -> Result<(), TestCaseError> {
    let found: BTreeMap<_, _> = found(disk).into_iter().map(|open| (open.job.id.clone(), open)).collect();
    for id in refused {
        prop_assert!(!found.contains_key(id), "{id} was refused");
    }
    for (id, reported) in accepted {
        let Some(open) = found.get(id) else {
            prop_assert!(reported.removed, "{id} was accepted and is lost");
            continue;
        };
        prop_assert!(!reported.removal_recorded, "{id} was removed and is open");
        prop_assert_eq!(open.tries, reported.tries, "{}", id);
        prop_assert!(open.unconfirmed_claim.is_some() || !reported.may_have_run, "{id} may have run");
        if reported.end.is_some() {
            prop_assert_eq!(&open.pending_notice, &reported.end, "{}", id);
        }
        prop_assert_eq!(open.rules.as_ref(), Some(&rules()), "{}", id);
    }
    prop_assert!(found.keys().all(|id| accepted.contains_key(id)), "a job was found that was not accepted");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    #[test]
    fn a_restart_after_any_write_faults_never_contradicts_what_was_reported(
        history in prop::collection::vec((step(), results()), 1..60),
    ) {
        let disk = Disk::default();
        let (mut journal, _) = open(&disk);
        let mut accepted = BTreeMap::<String, Reported>::new();
        let mut refused = Vec::new();
        for (number, (step, results)) in history.into_iter().enumerate() {
            disk.set_results(results);
            let chosen = |which: usize| {
                let open: Vec<_> =
                    accepted.iter().filter(|(_, reported)| !reported.removed).map(|(id, _)| id.clone()).collect();
                open.get(which).cloned()
            };
            match step {
                Step::Accept { size } => {
                    let id = format!("j{number}");
                    match journal.record_job(&job(&id, size), &rules()) {
                        Ok(Some(acceptance)) => {
                            let key = acceptance.key().expect("journaled");
                            accepted.insert(id, Reported { key, ..Reported::default() });
                        }
                        Ok(None) | Err(_) => refused.push(id),
                    }
                }
                Step::Claim(which) => {
                    let Some(reported) = chosen(which).and_then(|id| accepted.get_mut(&id)) else { continue };
                    let claim = RecordedClaim { sent: SystemTime::now(), node: "n".into(), zone: None };
                    if reported.end.is_none() && journal.record_claim(reported.key, claim).is_ok() {
                        reported.tries += 1;
                        reported.may_have_run = true;
                    }
                }
                Step::NeverRan(which) => {
                    let Some(reported) = chosen(which).and_then(|id| accepted.get_mut(&id)) else { continue };
                    let _ = journal.record_never_ran(reported.key);
                    reported.may_have_run = journal.unconfirmed_claim(reported.key).is_some();
                }
                Step::Notice(which) => {
                    let Some(id) = chosen(which) else { continue };
                    let reported = accepted.get_mut(&id).expect("chosen from the map");
                    let notice = Notice { id, end: NoticeEnd::Returned { after: None } };
                    if reported.end.is_none() && let Ok(end) = journal.record_notice(reported.key, &notice) {
                        reported.end = Some(end.notice().clone());
                    }
                }
                Step::Expire(which) => {
                    let Some(id) = chosen(which) else { continue };
                    let reported = accepted.get_mut(&id).expect("chosen from the map");
                    if reported.end.is_none() {
                        let end = journal.expire_job(reported.key, &job(&id, 0));
                        // Until the end is recorded, a later process derives it from the deadline.
                        reported.end = (!journal.has_deferred_records()).then(|| end.notice().clone());
                    }
                }
                Step::Remove(which) => {
                    let Some(reported) = chosen(which).and_then(|id| accepted.get_mut(&id)) else { continue };
                    reported.removal_recorded = journal.remove_job(reported.key).is_ok();
                    reported.removed = true;
                }
                Step::Retry => {
                    if journal.retry().is_ok() {
                        prop_assert!(!journal.has_deferred_records() && !journal.health().is_failing());
                    }
                }
                Step::Restart => {
                    disk.set_results([]);
                    let (next, open) = open(&disk);
                    journal = next;
                    let open: BTreeMap<_, _> = open.into_iter().map(|open| (open.job.id.clone(), open)).collect();
                    for (id, reported) in &mut accepted {
                        reported.removed = !open.contains_key(id);
                        reported.removal_recorded = reported.removed;
                        let Some(open) = open.get(id) else { continue };
                        (reported.may_have_run, reported.end) = (open.unconfirmed_claim.is_some(), open.pending_notice.clone());
                    }
                }
            }
            if !journal.has_deferred_records() {
                accepted.values_mut().for_each(|reported| reported.removal_recorded = reported.removed);
            }
            check(&disk, &accepted, &refused)?;
        }
    }
}

/// A failed write whose partial record could not be truncated either: the refused job must not be recovered.
#[test]
fn a_partially_written_job_that_was_refused_is_not_recovered_by_the_next_process() {
    let whole = {
        let disk = Disk::default();
        open(&disk).0.record_job(&job("a", 9), &rules()).expect("written");
        disk.bytes().len()
    };
    for written in 0..whole {
        let disk = Disk::default();
        let (mut journal, _) = open(&disk);
        disk.set_results([CallResult::Torn(written), CallResult::Failure]);
        journal.record_job(&job("a", 9), &rules()).expect_err("the disk is full");
        assert!(found(&disk).is_empty(), "{written} bytes");
        // Once there is room again, records are appended to a clean end.
        let key = journal.record_job(&job("b", 9), &rules()).expect("written").expect("room").key();
        let open = found(&disk);
        assert_eq!((open.len(), Some(open[0].key)), (1, key), "{written} bytes");
    }
}

#[test]
fn a_journal_that_cannot_be_rewritten_on_open_still_returns_its_jobs_and_is_written_later() {
    let disk = Disk::default();
    let (mut journal, _) = open(&disk);
    journal.record_job(&job("a", 9), &rules()).expect("written");
    disk.set_results([CallResult::Failure]);
    let (mut journal, found) = open(&disk);
    assert_eq!(found.len(), 1);
    assert!(journal.health().is_failing());
    journal.record_job(&job("b", 9), &rules()).expect("written");
    assert!(!journal.health().is_failing());
    assert_eq!(self::found(&disk).len(), 2);
}
