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

/// Takes a job on.
pub(super) fn take(journal: &mut Journal, job: &Job) -> Key {
    journal.job(job, &rules()).expect("written").expect("room").key().expect("journaled")
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

pub(super) fn claim(at: u64) -> MayHaveRun {
    let sent = SystemTime::UNIX_EPOCH + Duration::from_secs(at);
    MayHaveRun { sent, node: "n1".into(), zone: None }
}

fn disk_use(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).expect("a folder").map(|f| f.expect("a file"));
    files.map(|f| f.metadata().expect("a file").len().div_ceil(512) * 512).sum()
}

#[test]
fn what_is_open_comes_back_as_it_was() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = Journal::open(folder.path(), 100_000).expect("it opens");
    let keys = ["a", "b", "c", "d"].map(|id| take(&mut journal, &job(id, 9)));
    journal.claim(keys[0], claim(1)).expect("written");
    journal.never_ran(keys[0]).expect("written");
    journal.claim(keys[0], claim(2)).expect("written");
    journal.claim(keys[0], claim(3)).expect("written");
    journal.never_ran(keys[0]).expect("written");
    journal.end(keys[1]).expect("written");
    let notice = Notice { id: "c".into(), end: NoticeEnd::Returned { after: None } };
    journal.ending(keys[2], &notice).expect("written");
    // Once as it was appended, once as it was rewritten.
    for _ in 0..2 {
        let (_, open) = Journal::open(folder.path(), 100_000).expect("it opens");
        let ids: Vec<_> = open.iter().map(|o| o.job.id.as_str()).collect();
        assert_eq!(ids, ["a", "c", "d"]);
        assert_eq!((open[0].tries, open[0].risk.clone()), (3, Some(claim(2))));
        assert_eq!(open[1].ending, Some(notice.clone()));
        assert_eq!(open[2].job, job("d", 9));
    }
}

#[test]
fn a_claim_from_the_future_is_remembered_by_nobody() {
    assert_eq!(claim(9).ago(claim(7).sent), Duration::MAX);
    assert_eq!(claim(7).ago(claim(9).sent), Duration::from_secs(2));
}

#[test]
fn a_torn_tail_is_dropped_and_what_follows_is_kept() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = Journal::open(folder.path(), 100_000).expect("it opens");
    for id in ["a", "b"] {
        journal.job(&job(id, 50), &rules()).expect("written");
    }
    drop(journal);
    let file = folder.path().join("journal");
    let text = std::fs::read(&file).expect("it is there");
    let begins = records(&text);
    // Up to the whole of the last one, and of the rules behind it: without these it was never answered.
    let last = begins[begins.len() - 3];
    for cut in 1..=text.len() - last {
        std::fs::write(&file, &text[..text.len() - cut]).expect("written");
        let (mut journal, open) = Journal::open(folder.path(), 100_000).expect("it opens");
        assert_eq!(open.len(), 1, "{cut} bytes are missing");
        journal.job(&job("z", 5), &rules()).expect("written");
        let (_, open) = Journal::open(folder.path(), 100_000).expect("it opens");
        assert_eq!(open.last().map(|o| o.job.id.as_str()), Some("z"));
    }
}

#[test]
fn the_folder_never_holds_more_than_its_limit() {
    let folder = tempfile::tempdir().expect("a folder");
    let limit = 200_000;
    let (mut journal, _) = Journal::open(folder.path(), limit).expect("it opens");
    let mut open = std::collections::VecDeque::new();
    let mut refused = 0;
    for round in 0..3000 {
        match journal.job(&job(&format!("j{round}"), (round * 37) % 3000), &rules()).expect("written") {
            Some(taken_on) => open.push_back(taken_on.key().expect("journaled")),
            None => refused += 1,
        }
        for key in &open {
            journal.claim(*key, claim(round as u64)).expect("written");
        }
        if round % 3 > 0 {
            open.pop_front().into_iter().for_each(|key| journal.end(key).expect("written"));
        }
        // The successor is there for a moment only: what both take is bounded by what is live.
        assert!(disk_use(folder.path()) + journal.live_size <= limit, "round {round}");
    }
    assert!(refused > 0, "the folder was never full");
    let (_, recovered) = Journal::open(folder.path(), limit).expect("it opens");
    assert_eq!(recovered.len(), open.len());
}

/// A journal with such jobs, the file that it is in, and its text.
fn written(ids: &[&str], then: impl Fn(&mut Journal, &[Key])) -> (tempfile::TempDir, PathBuf, Vec<u8>) {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = Journal::open(folder.path(), 100_000).expect("it opens");
    let keys: Vec<_> = ids.iter().map(|id| take(&mut journal, &job(id, 50))).collect();
    then(&mut journal, &keys);
    let file = folder.path().join("journal");
    let text = std::fs::read(&file).expect("it is there");
    (folder, file, text)
}

/// What is open by such a text, without a file: a file for each damaged byte would take a minute.
fn read(text: &[u8]) -> Vec<Open> {
    let folder = tempfile::tempdir().expect("a folder");
    let clock = FolderClock::open(folder.path()).expect("it can be read");
    let disk = storage_double::Disk::holding(text.to_vec());
    Journal::over(Box::new(disk), clock, 100_000).expect("it can be read").1
}

/// Where each record begins.
fn records(text: &[u8]) -> Vec<usize> {
    let text = Bytes::copy_from_slice(text);
    let mut at = vec![0];
    while let Some((frame, _)) = next_record(&text, at[at.len() - 1]) {
        at.push(at[at.len() - 1] + frame.len());
    }
    at
}

#[test]
fn damage_at_any_byte_hides_no_record_behind_it_and_leaves_no_claim_forgotten() {
    let (_folder, _file, text) = written(&["a", "b", "c"], |journal, keys| {
        journal.claim(keys[0], claim(1)).expect("written");
        journal.job(&job("d", 9), &rules()).expect("written");
    });
    let at = records(&text);
    // The format twice, three jobs with their rules, a claim, a fourth job with its own.
    assert_eq!(at.len(), 12);
    let ids = ["a", "b", "c", "d"];
    // By record from the first job on: whose it is, and whether the job itself stands there.
    let whose = [(0, true), (0, false), (1, true), (1, false), (2, true), (2, false), (0, false), (3, true)];
    for spoilt in at[2]..at[10] {
        let mut damaged = text.clone();
        damaged[spoilt] ^= 0x55;
        let open = read(&damaged);
        let record = at.iter().rposition(|begin| *begin <= spoilt).expect("one of them") - 2;
        let (job, lost) = whose[record];
        let left: Vec<_> = (0..4).filter(|this| !lost || *this != job).map(|this| ids[this]).collect();
        assert_eq!(open.iter().map(|open| open.job.id.as_str()).collect::<Vec<_>>(), left, "byte {spoilt}");
        for open in &open {
            // Those from before the damage may have run, and nobody knows when; those behind it have not.
            let this = ids.iter().position(|id| *id == open.job.id).expect("one of them");
            let before = this < whose[..record].iter().filter(|(_, begins)| *begins).count();
            let claimed = this == 0 && record != 6 && record != 0;
            assert_eq!(open.risk.is_some(), before || claimed, "byte {spoilt}, {}", open.job.id);
            let unknown = open.risk.as_ref().is_some_and(|risk| risk.sent == SystemTime::UNIX_EPOCH);
            // A claim that was read before the damage says when.
            assert_eq!(unknown, before && !(this == 0 && record > 6), "byte {spoilt}, {}", open.job.id);
            let ruled = open.rules == Some(rules());
            assert_eq!(ruled, lost || this != job || record == 6, "byte {spoilt}, {}", open.job.id);
        }
    }
}

#[test]
fn what_a_body_holds_is_taken_for_no_record() {
    let forged = encode(&Record::End(1));
    let mut holder = job("b", 0);
    holder.body = Bytes::from([&[0; 40][..], &forged, &[0; 40]].concat());
    let (folder, file, text) = written(&["a"], |journal, _| {
        journal.job(&holder, &rules()).expect("written");
        journal.job(&job("c", 9), &rules()).expect("written");
    });
    let mut damaged = text.clone();
    // The length of the record that holds it.
    damaged[records(&text)[4] + 3] = 0xff;
    std::fs::write(&file, &damaged).expect("written");
    let (_, open) = Journal::open(folder.path(), 100_000).expect("it opens");
    let ids: Vec<_> = open.iter().map(|open| open.job.id.as_str()).collect();
    assert_eq!(ids, ["a", "c"]);
}

#[test]
fn a_newer_format_is_refused_with_its_number_and_left_as_it_is() {
    let (folder, file, text) = written(&["a"], |_, _| {});
    let format = records(&text)[1];
    let newer = [encode(&Record::End(FORMATS + FORMAT + 1)), text[format..].to_vec()].concat();
    std::fs::write(&file, &newer).expect("written");
    let fault = Journal::open(folder.path(), 100_000).err().expect("refused").to_string();
    assert_eq!(fault, "it has format 3, and this program reads up to 2");
    assert_eq!(std::fs::read(&file).expect("it is there"), newer);
    // From before there was a format, it is read.
    std::fs::write(&file, &text[records(&text)[2]..]).expect("written");
    let (_, open) = Journal::open(folder.path(), 100_000).expect("it opens");
    assert_eq!(open.len(), 1);
}

#[test]
fn a_process_killed_at_any_write_leaves_what_was_written_before() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = Journal::open(folder.path(), 100_000).expect("it opens");
    let key = take(&mut journal, &job("a", 9));
    journal.claim(key, claim(1)).expect("written");
    journal.never_ran(key).expect("written");
    journal.claim(key, claim(2)).expect("written");
    journal.claim(key, claim(3)).expect("written");
    journal.never_ran(key).expect("written");
    let notice = Notice { id: "a".into(), end: NoticeEnd::Failed { status: None } };
    journal.ending(key, &notice).expect("written");
    journal.end(key).expect("written");
    let text = std::fs::read(folder.path().join("journal")).expect("it is there");
    let at = records(&text);
    // After each whole record: whether the job is open, its tries, when its first claim was sent that may have run,
    // whether its end is decided.
    let after = [
        (false, 0, None, false), // the format
        (false, 0, None, false), // once more
        (false, 0, None, false), // it was never answered without its rules
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
    for cut in at[1]..=text.len() {
        let whole = at.iter().filter(|end| **end <= cut).count() - 2;
        let open = read(&text[..cut]);
        let found = open.first().map_or((false, 0, None, false), |open| {
            let sent = open.risk.as_ref().map(claim_time);
            (true, open.tries, sent, open.ending.is_some())
        });
        assert_eq!(found, after[whole], "{cut} bytes");
    }
}

fn claim_time(risk: &MayHaveRun) -> u64 {
    risk.sent.duration_since(SystemTime::UNIX_EPOCH).expect("after it").as_secs()
}
