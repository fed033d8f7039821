use super::super::tests::{claim, job, rules, take};
use super::super::{FORMAT, FORMATS, PLAIN_FORMAT};
use super::*;
use onyxglade_backlog::message::{ClassNumber, Lane};
use std::path::Path;

const LIMIT: u64 = 100_000;

fn place(sequence: u64) -> Position {
    Position { lane: Lane { destination: 7, class: ClassNumber(2) }, sequence }
}

fn with_backlog(folder: &Path) -> Journal {
    let (mut journal, _) = Journal::open(folder, LIMIT).expect("it opens");
    journal.enable_backlog().expect("written");
    journal
}

/// The format at the head of a journal's file: behind its length and its checksum stand a variant and a number.
fn format_of(folder: &Path) -> u64 {
    let text = std::fs::read(folder.join("journal")).expect("a file");
    let Ok(Record::End(key)) = postcard::from_bytes(&text[8..]) else { panic!("no format at the head") };
    key - FORMATS
}

#[test]
fn a_queued_request_comes_back_as_it_was() {
    let queued = QueuedRequest::new(job("a", 200), &rules());
    let back = QueuedRequest::decode(&queued.encode()).expect("a request");
    assert_eq!(back.job, job("a", 200));
    assert_eq!(format!("{:?}", back.rules()), format!("{:?}", rules()));
    assert!(!back.may_have_run());
}

#[test]
fn payloads_that_are_no_request_are_told_apart() {
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
    let key = journal.fetched(&queued, place(5)).expect("written").expect("room");
    journal.claim(key, claim(1)).expect("written");
    drop(journal);
    // Once as it was appended, once as it was rewritten.
    for _ in 0..2 {
        let (_, open) = Journal::open(folder.path(), LIMIT).expect("it opens");
        assert_eq!((open.len(), open[0].place, open[0].tries), (1, Some(place(5)), 1));
        assert_eq!(open[0].job, job("a", 9));
        assert_eq!(open[0].risk, Some(claim(1)));
    }
}

#[test]
fn attempts_go_along_in_both_directions() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = with_backlog(folder.path());
    let queued = QueuedRequest::new(job("a", 9), &rules());
    let key = journal.fetched(&queued, place(5)).expect("written").expect("room");
    journal.claim(key, claim(1)).expect("written");
    journal.claim(key, claim(2)).expect("written");
    journal.never_ran(key).expect("written");
    let (back, at) = journal.to_put_back(key, &job("a", 9)).expect("open");
    assert_eq!((at, back.may_have_run()), (place(5), true));
    journal.end(key).expect("written");
    assert!(journal.to_put_back(key, &job("a", 9)).is_none(), "it has ended here");

    let again = QueuedRequest::decode(&back.encode()).expect("a request");
    let key = journal.fetched(&again, place(5)).expect("written").expect("room");
    assert_eq!(journal.risk(key), Some(claim(1)));
    drop(journal);
    let (_, open) = Journal::open(folder.path(), LIMIT).expect("it opens");
    assert_eq!((open.len(), open[0].tries, open[0].risk.clone()), (1, 2, Some(claim(1))));
}

#[test]
fn a_request_from_a_client_is_never_put_back_without_a_place() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = with_backlog(folder.path());
    let key = take(&mut journal, &job("a", 9));
    assert!(journal.to_put_back(key, &job("a", 9)).is_none());
}

#[test]
fn a_full_journal_leaves_the_request_to_the_backlog() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = with_backlog(folder.path());
    let queued = QueuedRequest::new(job("a", 60_000), &rules());
    assert_eq!(journal.fetched(&queued, place(1)).expect("no fault"), None);
    drop(journal);
    assert!(Journal::open(folder.path(), LIMIT).expect("it opens").1.is_empty());
}

#[test]
fn without_a_backlog_the_file_has_the_format_from_before() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = Journal::open(folder.path(), LIMIT).expect("it opens");
    journal.job(&job("a", 9), &rules()).expect("written");
    drop(journal);
    assert_eq!(format_of(folder.path()), PLAIN_FORMAT);
    drop(with_backlog(folder.path()));
    assert_eq!(format_of(folder.path()), FORMAT);
}

#[test]
fn a_fetched_request_keeps_the_newer_format_while_it_is_open() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = with_backlog(folder.path());
    let queued = QueuedRequest::new(job("a", 9), &rules());
    let key = journal.fetched(&queued, place(5)).expect("written").expect("room");
    drop(journal);
    let (mut journal, _) = Journal::open(folder.path(), LIMIT).expect("it opens");
    assert_eq!(format_of(folder.path()), FORMAT, "its place must not be lost");
    journal.end(key).expect("written");
    drop(journal);
    drop(Journal::open(folder.path(), LIMIT).expect("it opens"));
    assert_eq!(format_of(folder.path()), PLAIN_FORMAT);
}
