use super::super::tests::{accept, job, open_journal};
use super::*;
use crate::clock;

fn ids(journal: &super::super::Journal) -> Vec<String> {
    journal.ended_jobs().map(|job| job.id).collect()
}

#[test]
fn an_ended_job_is_known_after_restarts_and_one_that_was_only_removed_is_not() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = open_journal(folder.path(), 100_000).expect("it opens");
    let keys: Vec<_> = ["a", "b", "c"].map(|id| accept(&mut journal, &job(id, 50))).to_vec();
    journal.remove_ended_job(keys[0], "a").expect("written");
    journal.remove_job(keys[1]).expect("written");
    drop(journal);
    // First from the appended records, then from the file that the first open rewrote.
    for _ in 0..2 {
        let (journal, open) = open_journal(folder.path(), 100_000).expect("it opens");
        assert_eq!(ids(&journal), ["a"]);
        assert_eq!(open.iter().map(|open| open.job.id.as_str()).collect::<Vec<_>>(), ["c"]);
    }
}

// Guards against a number that is used again taking the removal of the job that had it before for its own.
#[test]
fn a_job_with_the_number_of_an_ended_one_stays_open_when_the_file_is_rewritten() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = open_journal(folder.path(), 100_000).expect("it opens");
    let key = accept(&mut journal, &job("a", 50));
    journal.remove_ended_job(key, "a").expect("written");
    drop(journal);
    // The first open rewrites the file without the job, so that the second does not find its number.
    drop(open_journal(folder.path(), 100_000).expect("it opens"));
    let (mut journal, _) = open_journal(folder.path(), 100_000).expect("it opens");
    assert_eq!(accept(&mut journal, &job("b", 50)), key, "numbers begin anew");
    drop(journal);
    for _ in 0..2 {
        let (journal, open) = open_journal(folder.path(), 100_000).expect("it opens");
        assert_eq!(open.iter().map(|open| open.job.id.as_str()).collect::<Vec<_>>(), ["b"]);
        assert_eq!(ids(&journal), ["a"]);
    }
}

#[test]
fn what_follows_a_removal_is_ignored_by_versions_that_do_not_know_of_it() {
    let frame = Bytes::from(encode_removal(7, &EndedJob { id: "a".into(), ended: clock::now() }));
    let payload = frame.slice(8..);
    // As those versions decode a payload.
    assert!(matches!(postcard::from_bytes(&payload), Ok(Record::Removed(7))));
    let plain = Bytes::from(record::encode(&Record::Removed(7)));
    assert_eq!(decode_removal(&plain), None, "and a removal of theirs has no ended job");
}

#[test]
fn ended_jobs_are_bounded_in_time_number_and_bytes() {
    let now = clock::now();
    let frame = |size: usize| Bytes::from(vec![0; size]);
    let mut ended = EndedJobs::default();
    let past = now - ENDED_ID_TTL - Duration::from_secs(1);
    ended.add(frame(10), past, now, 1_000_000);
    assert_eq!((ended.bytes(), ended.frames().count()), (0, 0));
    (0..MAX_ENDED_IDS + 5).for_each(|_| ended.add(frame(10), now, now, 1_000_000));
    assert_eq!(ended.frames().count(), MAX_ENDED_IDS);
    ended.add(frame(40_000), now, now, 1_000_000);
    assert!(ended.bytes() <= 50_000, "{} bytes", ended.bytes());
    assert!(ended.frames().last().is_some_and(|frame| frame.len() == 40_000), "the oldest are dropped");
}
