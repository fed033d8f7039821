//! What was taken on outlasts the process: an append-only, checksummed file in the folder that lasts.
//!
//! A record is its length, its CRC-32 and its text (postcard). Nothing is synced: the platform promises
//! that what was written outlasts the process. The file is rewritten with what is still open before it and
//! its successor together could outgrow the folder.
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use crate::job::{Job, Notice};

/// A job's number in the journal.
pub type Key = u64;

/// A claim that may have run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MayHaveRun {
    /// Just before its first byte.
    pub sent: SystemTime,
    pub node: String,
    pub zone: Option<String>,
}

impl MayHaveRun {
    /// How long ago it was sent. By a clock that was set back it lies in the future: then nobody can say, and it
    /// counts as longer ago than any memory lasts.
    pub fn ago(&self, now: SystemTime) -> Duration {
        now.duration_since(self.sent).unwrap_or(Duration::MAX)
    }
}

/// A job that was open when the last process ended.
pub struct Open {
    pub key: Key,
    pub job: Job,
    pub tries: u32,
    pub risk: Option<MayHaveRun>,
    /// Its end was decided, but the notice of it may not have arrived.
    pub ending: Option<Notice>,
}

#[derive(Serialize, Deserialize)]
enum Record {
    Job(Key, Job),
    Claim(Key, MayHaveRun),
    /// The job's latest claim never ran.
    NeverRan(Key),
    /// All that earlier records said of a job's claims.
    Claims(Key, Claims),
    Ending(Key, Notice),
    End(Key),
}

/// What is known of a job's claims.
#[derive(Clone, Default, Serialize, Deserialize)]
struct Claims {
    tries: u32,
    /// The first that may have run.
    risk: Option<MayHaveRun>,
    /// That first one is the latest, so that it may still turn out never to have run.
    latest: bool,
}

impl Claims {
    fn add(&mut self, claim: MayHaveRun) {
        self.tries += 1;
        self.latest = self.risk.is_none();
        self.risk.get_or_insert(claim);
    }

    fn never_ran(&mut self) {
        if std::mem::take(&mut self.latest) {
            self.risk = None;
        }
    }
}

struct Live {
    /// The job's record as it stands in the file.
    frame: Bytes,
    claims: Claims,
    ending: Option<Notice>,
}

/// Room kept for the records that may follow a job's own, once rewritten.
const BESIDE_JOB: u64 = 512;
/// Room kept for the folder itself and for what rounding to whole blocks adds.
const RESERVE: u64 = 16 * 1024;
/// Part of the folder that open jobs may fill. At a half, a rewritten file would leave no room to append;
/// at two fifths, a fifth of the folder is appended between two rewritings.
const JOBS_PART: f64 = 0.4;
/// A longer record is none: it is the torn end of the file.
const LONGEST: usize = 1024 * 1024;

pub struct Journal {
    path: PathBuf,
    spare: PathBuf,
    /// None once another process has the journal.
    file: Option<File>,
    /// Keeps others from the journal for as long as it is open.
    lock: Option<File>,
    size: u64,
    limit: u64,
    live: BTreeMap<Key, Live>,
    live_size: u64,
    next: Key,
}

impl Journal {
    /// Opens the journal in `folder`, which it may fill up to `limit` bytes, and tells what is open.
    pub fn open(folder: &Path, limit: u64) -> io::Result<(Journal, Vec<Open>)> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join("journal");
        let spare = folder.join("journal.new");
        // Left behind by a process that died while rewriting; the old file is still whole.
        match std::fs::remove_file(&spare) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let mut text = Vec::new();
        let mut file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        file.read_to_end(&mut text)?;
        let mut journal = Journal {
            path,
            spare,
            file: Some(file),
            lock: None,
            size: text.len() as u64,
            limit,
            live: BTreeMap::new(),
            live_size: 0,
            next: 1,
        };
        let mut open = BTreeMap::new();
        let whole = journal.replay(&Bytes::from(text), &mut open);
        if whole < journal.size {
            tracing::warn!(torn = journal.size - whole, "journal ends in a torn record; it is dropped");
        }
        journal.rewrite()?;
        let open = open.into_iter().filter_map(|(key, job)| {
            let live = journal.live.get(&key)?;
            let Claims { tries, risk, .. } = live.claims.clone();
            Some(Open { key, job, tries, risk, ending: live.ending.clone() })
        });
        let open = open.collect();
        Ok((journal, open))
    }

    /// Holds a lock for as long as it has the journal.
    pub fn guard(&mut self, lock: Option<File>) {
        self.lock = lock;
    }

    /// Lets the journal go: another process may open it. Nothing more is written by this one.
    pub fn close(&mut self) {
        self.file = None;
        self.lock = None;
    }

    /// The first claim of a job that may have run.
    pub fn risk(&self, key: Key) -> Option<MayHaveRun> {
        self.live.get(&key).and_then(|live| live.claims.risk.clone())
    }

    /// What the folder may be filled up to from now on.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Takes in all whole records; gives the length up to the first that is torn.
    fn replay(&mut self, text: &Bytes, open: &mut BTreeMap<Key, Job>) -> u64 {
        let mut at = 0;
        while let Some((frame, record)) = next_record(text, at) {
            at += frame.len();
            match record {
                Record::Job(key, job) => {
                    self.next = self.next.max(key + 1);
                    self.add_live(key, frame);
                    open.insert(key, job);
                }
                Record::Claim(key, claim) => self.with(key, |live| live.claims.add(claim)),
                Record::NeverRan(key) => self.with(key, |live| live.claims.never_ran()),
                Record::Claims(key, claims) => self.with(key, |live| live.claims = claims),
                Record::Ending(key, notice) => self.with(key, |live| live.ending = Some(notice)),
                Record::End(key) => self.remove_live(key),
            }
        }
        at as u64
    }

    fn with(&mut self, key: Key, change: impl FnOnce(&mut Live)) {
        if let Some(live) = self.live.get_mut(&key) {
            change(live);
        }
    }

    fn add_live(&mut self, key: Key, frame: Bytes) {
        self.live_size += frame.len() as u64 + BESIDE_JOB;
        self.live.insert(key, Live { frame, claims: Claims::default(), ending: None });
    }

    fn remove_live(&mut self, key: Key) {
        if let Some(live) = self.live.remove(&key) {
            self.live_size -= live.frame.len() as u64 + BESIDE_JOB;
        }
    }

    /// Records a job before it is answered; `None` if there is no room for it.
    pub fn job(&mut self, job: &Job) -> io::Result<Option<Key>> {
        let key = self.next;
        let frame = Bytes::from(encode(&Record::Job(key, job.clone())));
        let with_it = self.live_size + frame.len() as u64 + BESIDE_JOB;
        if with_it as f64 > (self.limit.saturating_sub(RESERVE)) as f64 * JOBS_PART || frame.len() > LONGEST {
            return Ok(None);
        }
        self.append(&frame)?;
        self.next += 1;
        self.add_live(key, frame);
        Ok(Some(key))
    }

    /// Records a claim before its first byte.
    pub fn claim(&mut self, key: Key, claim: MayHaveRun) -> io::Result<()> {
        self.append(&encode(&Record::Claim(key, claim.clone())))?;
        self.with(key, |live| live.claims.add(claim));
        Ok(())
    }

    /// Records that the latest claim never ran.
    pub fn never_ran(&mut self, key: Key) -> io::Result<()> {
        self.with(key, |live| live.claims.never_ran());
        self.append(&encode(&Record::NeverRan(key)))
    }

    /// Records how a job ends, before the notice of it is sent: it is never sent to a node again.
    pub fn ending(&mut self, key: Key, notice: &Notice) -> io::Result<()> {
        self.with(key, |live| live.ending = Some(notice.clone()));
        self.append(&encode(&Record::Ending(key, notice.clone())))
    }

    /// Records that nothing more is owed for a job.
    pub fn end(&mut self, key: Key) -> io::Result<()> {
        self.remove_live(key);
        self.append(&encode(&Record::End(key)))
    }

    /// Guards against a full folder: the file and its successor must fit into it together.
    fn append(&mut self, frame: &[u8]) -> io::Result<()> {
        if self.file.is_none() {
            return Err(io::Error::other("another process has the journal"));
        }
        let grown = self.size + frame.len() as u64;
        if grown + self.live_size + RESERVE > self.limit {
            self.rewrite()?;
        }
        let file = self.file.as_mut().expect("just seen, and a rewriting leaves one");
        match file.write_all(frame) {
            Ok(()) => {
                self.size += frame.len() as u64;
                Ok(())
            }
            Err(e) => {
                // A part of a record in the middle would hide all that follows it.
                file.set_len(self.size)?;
                Err(e)
            }
        }
    }

    /// Writes a new file with what is open, and puts it in the old one's place.
    fn rewrite(&mut self) -> io::Result<()> {
        let mut text = Vec::with_capacity(self.live_size as usize);
        for (key, live) in &self.live {
            text.extend_from_slice(&live.frame);
            if live.claims.tries > 0 {
                text.extend(encode(&Record::Claims(*key, live.claims.clone())));
            }
            if let Some(notice) = &live.ending {
                text.extend(encode(&Record::Ending(*key, notice.clone())));
            }
        }
        let mut file = OpenOptions::new().append(true).create(true).open(&self.spare)?;
        file.set_len(0)?;
        file.write_all(&text)?;
        std::fs::rename(&self.spare, &self.path)?;
        self.file = Some(file);
        self.size = text.len() as u64;
        Ok(())
    }
}

fn encode(record: &Record) -> Vec<u8> {
    let text = postcard::to_stdvec(record).expect("records have no unsized parts");
    let mut frame = Vec::with_capacity(text.len() + 8);
    frame.extend_from_slice(&(text.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&text).to_le_bytes());
    frame.extend_from_slice(&text);
    frame
}

/// The record at `at`, with its frame, if it is whole.
fn next_record(text: &Bytes, at: usize) -> Option<(Bytes, Record)> {
    let number = |from: usize| Some(u32::from_le_bytes(text.get(from..from + 4)?.try_into().ok()?));
    let length = number(at)? as usize;
    let sum = number(at + 4)?;
    if length > LONGEST {
        return None;
    }
    let inner = text.get(at + 8..at + 8 + length)?;
    if crc32fast::hash(inner) != sum {
        return None;
    }
    let record = postcard::from_bytes(inner).ok()?;
    Some((text.slice(at..at + 8 + length), record))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::job::NoticeEnd;

    fn job(id: &str, size: usize) -> Job {
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

    fn claim(at: u64) -> MayHaveRun {
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
        let keys = ["a", "b", "c", "d"].map(|id| journal.job(&job(id, 9)).expect("written").expect("room"));
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
            journal.job(&job(id, 50)).expect("written");
        }
        drop(journal);
        let file = folder.path().join("journal");
        let text = std::fs::read(&file).expect("it is there");
        for cut in 1..text.len() / 2 {
            std::fs::write(&file, &text[..text.len() - cut]).expect("written");
            let (mut journal, open) = Journal::open(folder.path(), 100_000).expect("it opens");
            assert_eq!(open.len(), 1, "{cut} bytes are missing");
            journal.job(&job("z", 5)).expect("written");
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
            match journal.job(&job(&format!("j{round}"), (round * 37) % 3000)).expect("written") {
                Some(key) => open.push_back(key),
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
}
