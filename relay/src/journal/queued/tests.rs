use super::super::tests::{accept, claim, job, open_journal, rules};
use super::super::{BASIC_FORMAT, FORMAT_KEYS, LATEST_FORMAT};
use super::*;
use onyxglade_backlog::message::{ClassNumber, Lane};
use std::path::Path;

const LIMIT: u64 = 100_000;

fn place(sequence: u64) -> Position {
    Position { lane: Lane { destination: 7, class: ClassNumber(2) }, sequence }
}

fn with_backlog(folder: &Path) -> Journal {
    let (mut journal, _) = open_journal(folder, LIMIT).expect("it opens");
    journal.enable_backlog().expect("written");
    journal
}

/// The format of a journal's file, from its first record: the payload follows the length and the checksum.
fn format_of(folder: &Path) -> u64 {
    let bytes = std::fs::read(folder.join("journal")).expect("a file");
    let Ok(Record::Removed(key)) = postcard::from_bytes(&bytes[8..]) else {
        panic!("no format at the start")
    };
    key - FORMAT_KEYS
}

#[test]
fn a_queued_request_is_unchanged_after_encoding_and_decoding() {
    let queued = QueuedRequest::new(job("a", 200), &rules());
    let decoded = QueuedRequest::decode(&queued.encode()).expect("a request");
    assert_eq!(decoded.job, job("a", 200));
    assert_eq!(format!("{:?}", decoded.rules()), format!("{:?}", rules()));
    assert!(!decoded.may_have_run());
}

#[test]
fn a_payload_of_a_later_format_or_a_truncated_one_is_rejected() {
    let mut later = QueuedRequest::new(job("a", 3), &rules()).encode().to_vec();
    later[0] = PAYLOAD_FORMAT + 1;
    assert!(matches!(QueuedRequest::decode(&later), Err(UnreadableRequest::Format(2))));
    let whole = QueuedRequest::new(job("a", 3), &rules()).encode();
    for length in 0..whole.len() {
        assert!(QueuedRequest::decode(&whole[..length]).is_err(), "{length} bytes");
    }
}

#[test]
fn a_fetched_request_is_open_with_its_place_after_a_restart() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = with_backlog(folder.path());
    let queued = QueuedRequest::new(job("a", 9), &rules());
    let key = journal.record_fetched(&queued, place(5)).expect("written").expect("room");
    journal.record_claim(key, claim(1)).expect("written");
    drop(journal);
    // First from the appended records, then from the file that the first open rewrote.
    for _ in 0..2 {
        let (_, open) = open_journal(folder.path(), LIMIT).expect("it opens");
        assert_eq!((open.len(), open[0].place, open[0].tries), (1, Some(place(5)), 1));
        assert_eq!(open[0].job, job("a", 9));
        assert_eq!(open[0].unconfirmed_claim, Some(claim(1)));
    }
}

#[test]
fn claims_are_kept_when_a_request_is_put_back_and_fetched_again() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = with_backlog(folder.path());
    let queued = QueuedRequest::new(job("a", 9), &rules());
    let key = journal.record_fetched(&queued, place(5)).expect("written").expect("room");
    journal.record_claim(key, claim(1)).expect("written");
    journal.record_claim(key, claim(2)).expect("written");
    journal.record_never_ran(key).expect("written");
    let (back, at) = journal.put_back_copy(key, &job("a", 9)).expect("open");
    assert_eq!((at, back.may_have_run()), (place(5), true));
    journal.remove_job(key).expect("written");
    assert!(journal.put_back_copy(key, &job("a", 9)).is_none(), "the journal has removed it");

    let again = QueuedRequest::decode(&back.encode()).expect("a request");
    let key = journal.record_fetched(&again, place(5)).expect("written").expect("room");
    assert_eq!(journal.unconfirmed_claim(key), Some(claim(1)));
    drop(journal);
    let (_, open) = open_journal(folder.path(), LIMIT).expect("it opens");
    assert_eq!((open.len(), open[0].tries, open[0].unconfirmed_claim.clone()), (1, 2, Some(claim(1))));
}

#[test]
fn a_request_that_did_not_come_from_the_backlog_is_not_put_back() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = with_backlog(folder.path());
    let key = accept(&mut journal, &job("a", 9));
    assert!(journal.put_back_copy(key, &job("a", 9)).is_none());
}

#[test]
fn a_full_journal_leaves_a_fetched_request_in_the_backlog() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = with_backlog(folder.path());
    let queued = QueuedRequest::new(job("a", 60_000), &rules());
    assert_eq!(journal.record_fetched(&queued, place(1)).expect("no fault"), None);
    drop(journal);
    assert!(open_journal(folder.path(), LIMIT).expect("it opens").1.is_empty());
}

#[test]
fn a_journal_without_a_backlog_keeps_the_basic_format() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = open_journal(folder.path(), LIMIT).expect("it opens");
    journal.record_job(&job("a", 9), &rules()).expect("written");
    drop(journal);
    assert_eq!(format_of(folder.path()), BASIC_FORMAT);
    drop(with_backlog(folder.path()));
    assert_eq!(format_of(folder.path()), LATEST_FORMAT);
}

#[test]
fn the_newer_format_is_kept_while_a_fetched_request_is_open() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = with_backlog(folder.path());
    let queued = QueuedRequest::new(job("a", 9), &rules());
    let key = journal.record_fetched(&queued, place(5)).expect("written").expect("room");
    drop(journal);
    let (mut journal, _) = open_journal(folder.path(), LIMIT).expect("it opens");
    assert_eq!(format_of(folder.path()), LATEST_FORMAT, "its place must not be lost");
    journal.remove_job(key).expect("written");
    drop(journal);
    drop(open_journal(folder.path(), LIMIT).expect("it opens"));
    assert_eq!(format_of(folder.path()), BASIC_FORMAT);
}
