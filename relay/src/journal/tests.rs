use super::record::*;
use super::*;
use crate::job::NoticeEnd;
use slatethread::{DedupScope, Effect};
use std::path::PathBuf;
use std::time::Duration;

pub(super) fn job(id: &str, size: usize) -> Job {
    Job {
        id: id.into(),
        class: "c".into(),
        dest: 7,
        deadline: SystemTime::UNIX_EPOCH + Duration::from_secs(9),
        retry: false,
        reconnect: true,
        label: Some("l".into()),
        fields: vec![("key".into(), Bytes::from_static(b"\xff\x00"))],
        body: Bytes::from(vec![3; size]),
    }
}

/// Records a job and returns its number.
pub(super) fn accept(journal: &mut Journal, job: &Job) -> Key {
    journal.record_job(job, &rules()).expect("written").expect("room").key().expect("journaled")
}

pub(super) fn rules() -> Class {
    Class {
        effect: Effect::Deduplicated,
        dedup_scope: DedupScope::Zone,
        dedup_window: Some(7),
        worth: Some(1.5),
        ..Class::default()
    }
}

pub(super) fn claim(at: u64) -> RecordedClaim {
    let sent = SystemTime::UNIX_EPOCH + Duration::from_secs(at);
    RecordedClaim { sent, node: "n1".into(), zone: None }
}

/// Locks a folder and opens its journal.
pub(crate) fn open_journal(folder: &Path, limit: u64) -> io::Result<(Journal, Vec<OpenJob>)> {
    let lock = StateLock::acquire(folder).map_err(crate::state_lock::LockError::into_io)?;
    Journal::open(&Rc::new(lock), limit)
}

fn disk_use(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).expect("a folder").map(|f| f.expect("a file"));
    files.map(|f| f.metadata().expect("a file").len().div_ceil(512) * 512).sum()
}

#[test]
fn open_jobs_are_recovered_unchanged() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = open_journal(folder.path(), 100_000).expect("it opens");
    let keys = ["a", "b", "c", "d"].map(|id| accept(&mut journal, &job(id, 9)));
    journal.record_claim(keys[0], claim(1)).expect("written");
    journal.record_never_ran(keys[0]).expect("written");
    journal.record_claim(keys[0], claim(2)).expect("written");
    journal.record_claim(keys[0], claim(3)).expect("written");
    journal.record_never_ran(keys[0]).expect("written");
    journal.remove_job(keys[1]).expect("written");
    let notice = Notice { id: "c".into(), end: NoticeEnd::Returned { after: None } };
    journal.record_notice(keys[2], &notice).expect("written");
    drop(journal);
    // First from the appended records, then from the file that the first open rewrote.
    for _ in 0..2 {
        let (_, open) = open_journal(folder.path(), 100_000).expect("it opens");
        let ids: Vec<_> = open.iter().map(|o| o.job.id.as_str()).collect();
        assert_eq!(ids, ["a", "c", "d"]);
        assert_eq!((open[0].tries, open[0].unconfirmed_claim.clone()), (3, Some(claim(2))));
        assert_eq!(open[1].pending_notice, Some(notice.clone()));
        assert_eq!(open[2].job, job("d", 9));
    }
}

#[test]
fn a_claim_with_a_time_in_the_future_counts_as_older_than_any_memory() {
    assert_eq!(claim(9).age(claim(7).sent), Duration::MAX);
    assert_eq!(claim(7).age(claim(9).sent), Duration::from_secs(2));
}

#[test]
fn a_torn_end_is_dropped_and_records_appended_afterwards_are_kept() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = open_journal(folder.path(), 100_000).expect("it opens");
    for id in ["a", "b"] {
        journal.record_job(&job(id, 50), &rules()).expect("written");
    }
    drop(journal);
    let file = folder.path().join("journal");
    let bytes = std::fs::read(&file).expect("the file exists");
    let starts = records(&bytes);
    // Cuts up to all of the last job and of its rules: without the rules its submitter was never answered.
    let last = starts[starts.len() - 3];
    for cut in 1..=bytes.len() - last {
        std::fs::write(&file, &bytes[..bytes.len() - cut]).expect("written");
        let (mut journal, open) = open_journal(folder.path(), 100_000).expect("it opens");
        assert_eq!(open.len(), 1, "{cut} bytes are missing");
        journal.record_job(&job("z", 5), &rules()).expect("written");
        drop(journal);
        let (_, open) = open_journal(folder.path(), 100_000).expect("it opens");
        assert_eq!(open.last().map(|o| o.job.id.as_str()), Some("z"));
    }
}

#[test]
fn the_folder_never_exceeds_its_limit() {
    let folder = tempfile::tempdir().expect("a folder");
    let limit = 200_000;
    let (mut journal, _) = open_journal(folder.path(), limit).expect("it opens");
    let mut open = std::collections::VecDeque::new();
    let mut refused = 0;
    for round in 0..3000 {
        match journal.record_job(&job(&format!("j{round}"), (round * 37) % 3000), &rules()).expect("written")
        {
            Some(acceptance) => open.push_back(acceptance.key().expect("journaled")),
            None => refused += 1,
        }
        for key in &open {
            journal.record_claim(*key, claim(round as u64)).expect("written");
        }
        if round % 3 > 0 {
            let ended = |key| journal.remove_ended_job(key, &format!("j{key}")).expect("written");
            open.pop_front().into_iter().for_each(ended);
        }
        // During a rewrite the replacement exists too: its size is bounded by `kept_size`.
        assert!(disk_use(folder.path()) + journal.kept_size() <= limit, "round {round}");
    }
    assert!(refused > 0, "the folder was never full");
    drop(journal);
    let (_, recovered) = open_journal(folder.path(), limit).expect("it opens");
    assert_eq!(recovered.len(), open.len());
}

/// Writes a journal with these jobs; returns its folder, the file's path and the file's content.
fn written(ids: &[&str], then: impl Fn(&mut Journal, &[Key])) -> (tempfile::TempDir, PathBuf, Vec<u8>) {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = open_journal(folder.path(), 100_000).expect("it opens");
    let keys: Vec<_> = ids.iter().map(|id| accept(&mut journal, &job(id, 50))).collect();
    then(&mut journal, &keys);
    let file = folder.path().join("journal");
    let bytes = std::fs::read(&file).expect("the file exists");
    (folder, file, bytes)
}

/// The open jobs of a journal with this content. It is kept in memory: a file for each damaged byte would take a minute.
fn read(bytes: &[u8]) -> Vec<OpenJob> {
    let folder = tempfile::tempdir().expect("a folder");
    let clock = FolderClock::open(folder.path()).expect("the record is readable");
    let disk = storage_double::Disk::with_content(bytes.to_vec());
    Journal::with_storage(Box::new(disk), clock, 100_000).expect("the journal is readable").1
}

/// The offset of each record, and of the end.
fn records(bytes: &[u8]) -> Vec<usize> {
    let bytes = Bytes::copy_from_slice(bytes);
    let mut at = vec![0];
    while let Some((frame, _)) = next_record(&bytes, at[at.len() - 1]) {
        at.push(at[at.len() - 1] + frame.len());
    }
    at
}

#[test]
fn a_damaged_byte_neither_hides_later_records_nor_makes_a_job_count_as_never_sent() {
    let (_folder, _file, bytes) = written(&["a", "b", "c"], |journal, keys| {
        journal.record_claim(keys[0], claim(1)).expect("written");
        journal.record_job(&job("d", 9), &rules()).expect("written");
    });
    let at = records(&bytes);
    // The format twice, three jobs with their rules, a claim, a fourth job with its rules.
    assert_eq!(at.len(), 12);
    let ids = ["a", "b", "c", "d"];
    // For each record from the first job on: the index of its job, and whether it is the job's own record.
    let owners = [(0, true), (0, false), (1, true), (1, false), (2, true), (2, false), (0, false), (3, true)];
    for byte in at[2]..at[10] {
        let mut damaged = bytes.clone();
        damaged[byte] ^= 0x55;
        let open = read(&damaged);
        let record = at.iter().rposition(|start| *start <= byte).expect("one of them") - 2;
        let (job, lost) = owners[record];
        let left: Vec<_> = (0..4).filter(|this| !lost || *this != job).map(|this| ids[this]).collect();
        assert_eq!(open.iter().map(|open| open.job.id.as_str()).collect::<Vec<_>>(), left, "byte {byte}");
        for open in &open {
            // Jobs recorded before the damage may have run at an unknown time; those after it have not.
            let this = ids.iter().position(|id| *id == open.job.id).expect("one of them");
            let before = this < owners[..record].iter().filter(|(_, is_job)| *is_job).count();
            let claimed = this == 0 && record != 6 && record != 0;
            assert_eq!(open.unconfirmed_claim.is_some(), before || claimed, "byte {byte}, {}", open.job.id);
            let unknown =
                open.unconfirmed_claim.as_ref().is_some_and(|claim| claim.sent == SystemTime::UNIX_EPOCH);
            // A claim that was read before the damage keeps its time.
            assert_eq!(unknown, before && !(this == 0 && record > 6), "byte {byte}, {}", open.job.id);
            let has_rules = open.rules == Some(rules());
            assert_eq!(has_rules, lost || this != job || record == 6, "byte {byte}, {}", open.job.id);
        }
    }
}

#[test]
fn a_record_inside_a_message_body_is_not_replayed_after_damage() {
    let forged = encode(&Record::Removed(1));
    let mut carrier = job("b", 0);
    carrier.body = Bytes::from([&[0; 40][..], &forged, &[0; 40]].concat());
    let (folder, file, bytes) = written(&["a"], |journal, _| {
        journal.record_job(&carrier, &rules()).expect("written");
        journal.record_job(&job("c", 9), &rules()).expect("written");
    });
    let mut damaged = bytes.clone();
    // Damages the length of the record with the body.
    damaged[records(&bytes)[4] + 3] = 0xff;
    std::fs::write(&file, &damaged).expect("written");
    let (_, open) = open_journal(folder.path(), 100_000).expect("it opens");
    let ids: Vec<_> = open.iter().map(|open| open.job.id.as_str()).collect();
    assert_eq!(ids, ["a", "c"]);
}

#[test]
fn a_newer_format_is_refused_with_its_number_and_the_file_is_left_unchanged() {
    let (folder, file, bytes) = written(&["a"], |_, _| {});
    let format = records(&bytes)[1];
    let newer =
        [encode(&Record::Removed(FORMAT_KEYS + LATEST_FORMAT + 1)), bytes[format..].to_vec()].concat();
    std::fs::write(&file, &newer).expect("written");
    let fault = open_journal(folder.path(), 100_000).err().expect("refused").to_string();
    assert_eq!(fault, "it has format 3; this version reads formats up to 2");
    assert_eq!(Journal::check_format(folder.path()).expect_err("refused").to_string(), fault);
    assert_eq!(std::fs::read(&file).expect("the file exists"), newer);
    // A file of a version without formats is read.
    std::fs::write(&file, &bytes[records(&bytes)[2]..]).expect("written");
    let (_, open) = open_journal(folder.path(), 100_000).expect("it opens");
    assert_eq!(open.len(), 1);
}

#[test]
fn a_process_killed_during_any_write_loses_no_earlier_record() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = open_journal(folder.path(), 100_000).expect("it opens");
    let key = accept(&mut journal, &job("a", 9));
    journal.record_claim(key, claim(1)).expect("written");
    journal.record_never_ran(key).expect("written");
    journal.record_claim(key, claim(2)).expect("written");
    journal.record_claim(key, claim(3)).expect("written");
    journal.record_never_ran(key).expect("written");
    let notice = Notice { id: "a".into(), end: NoticeEnd::Failed { status: None } };
    journal.record_notice(key, &notice).expect("written");
    journal.remove_job(key).expect("written");
    let bytes = std::fs::read(folder.path().join("journal")).expect("the file exists");
    let at = records(&bytes);
    // After each whole record: whether the job is open, its number of claims, when its first claim that may have run was
    // sent, and whether it has a pending notice.
    let after = [
        (false, 0, None, false), // the format
        (false, 0, None, false), // the format, repeated
        (false, 0, None, false), // the job without its rules: its submitter was never answered
        (true, 0, None, false),
        (true, 1, Some(1), false),
        (true, 1, None, false),
        (true, 2, Some(2), false),
        (true, 3, Some(2), false),
        (true, 3, Some(2), false),
        (true, 3, Some(2), true),
        (false, 0, None, false),
    ];
    assert_eq!(at.len(), after.len() + 1);
    for cut in at[1]..=bytes.len() {
        let whole = at.iter().filter(|end| **end <= cut).count() - 2;
        let open = read(&bytes[..cut]);
        let found = open.first().map_or((false, 0, None, false), |open| {
            let sent = open.unconfirmed_claim.as_ref().map(claim_time);
            (true, open.tries, sent, open.pending_notice.is_some())
        });
        assert_eq!(found, after[whole], "{cut} bytes");
    }
}

fn claim_time(claim: &RecordedClaim) -> u64 {
    claim.sent.duration_since(SystemTime::UNIX_EPOCH).expect("after the epoch").as_secs()
}

// Guards against a process that goes on acknowledging from a file that nobody will read.
#[test]
fn a_journal_whose_file_was_replaced_or_removed_acknowledges_nothing_and_changes_nothing() {
    type Change = fn(&Path);
    let changes: [Change; 3] = [
        |file| std::fs::write(file.with_extension("other"), "another's").expect("written"),
        |file| std::fs::remove_file(file).expect("removed"),
        |file| std::fs::rename(file, file.with_extension("old")).expect("renamed"),
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut journal, _) = open_journal(folder.path(), 100_000).expect("it opens");
        let key = accept(&mut journal, &job("a", 9));
        let file = folder.path().join("journal");
        change(&file);
        if number == 0 {
            std::fs::rename(file.with_extension("other"), &file).expect("renamed");
        }
        for _ in 0..2 {
            assert!(journal.record_job(&job("b", 9), &rules()).is_err());
            assert!(journal.record_claim(key, claim(1)).is_err());
            assert!(journal.retry().is_err());
        }
        assert!(journal.health().is_failing());
        drop(journal);
        let left = std::fs::read(&file).ok();
        assert_eq!(left, (number == 0).then(|| b"another's".to_vec()), "change {number}");
    }
}
