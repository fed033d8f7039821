//! The journal: an append-only, checksummed file in the state folder, so that accepted messages outlast the process.
//!
//! Nothing is synced: the platform guarantees that written data outlasts the process. The file is rewritten with the open jobs
//! and the ids of those that ended recently, before it and its replacement together could exceed the folder's limit.
//!
//! Memory is never ahead of the file except for deferred records: that a claim never ran, that a job is removed, and the
//! end of a job whose time is over. These facts hold whether or not they are recorded, and a process that does not find
//! them errs on the safe side. Deferred records are written before any other. A record that others are notified of
//! ([`Acceptance`], [`FinalNotice`], a claim) takes effect only once it is written.
use bytes::Bytes;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;
use std::rc::Rc;
use std::time::SystemTime;

use onyxglade_backlog::message::Position;
use slatethread::Class;

use crate::clock::{self, FolderClock};
use crate::job::{Job, Notice};
use crate::state_lock::StateLock;

mod ended_jobs;
mod health;
mod queued;
mod receipt;
mod record;
mod storage;
#[cfg(test)]
mod storage_double;

pub use ended_jobs::{ENDED_ID_TTL, EndedJob, MAX_ENDED_IDS};
use ended_jobs::{EndedJobs, decode_removal, encode_removal};
pub use health::JournalHealth;
pub use queued::{QueuedRequest, UnreadableRequest};
pub use receipt::{Acceptance, FinalNotice};
pub use record::RecordedClaim;
use record::{
    BASIC_FORMAT, ClaimHistory, FORMAT_KEYS, LATEST_FORMAT, MAX_RECORD_BYTES, Record, RecordedRules,
};
use record::{encode, next_record, resync};
pub use storage::is_transient;
use storage::{FolderStorage, Storage};

/// Number of a job in the journal.
pub type Key = u64;

/// A job that was open when the previous process ended.
pub struct OpenJob {
    pub key: Key,
    pub job: Job,
    /// The rules of its class when it was accepted; none if an earlier version of the program accepted it.
    pub rules: Option<Class>,
    /// How many claims were made.
    pub tries: u32,
    /// The first claim that may have run.
    pub unconfirmed_claim: Option<RecordedClaim>,
    /// How it ended, if that was decided; the notice may not have been delivered.
    pub pending_notice: Option<Notice>,
    /// Its place in the backlog, which may still have it.
    pub place: Option<Position>,
}

/// An open job, with what a rewrite of the file needs.
struct LiveJob {
    /// The job's record with those that directly follow it (its rules, its place in the backlog), as they are in the file.
    frames: Bytes,
    rules: Option<Class>,
    claims: ClaimHistory,
    pending_notice: Option<Notice>,
    place: Option<Position>,
}

/// Bytes reserved per job for the records that may follow its own after a rewrite.
const JOB_OVERHEAD: u64 = 512;
/// Bytes reserved for the folder itself and for rounding to whole blocks.
const RESERVED_BYTES: u64 = 16 * 1024;
/// Share of the folder's limit that open jobs may fill. At a half, a rewritten file would leave no room to append;
/// at two fifths, a fifth of the limit can be appended between two rewrites.
const MAX_JOB_SHARE: f64 = 0.4;

/// Bytes that are read of a file to find its format: more than the record has.
const FORMAT_RECORD_BYTES: u64 = 64;

/// Checks the key of a record that may tell the format of the file.
fn check_format(key: Key) -> io::Result<()> {
    if key <= FORMAT_KEYS + LATEST_FORMAT {
        return Ok(());
    }
    let format = key - FORMAT_KEYS;
    let fault = format!("it has format {format}; this version reads formats up to {LATEST_FORMAT}");
    Err(io::Error::new(io::ErrorKind::InvalidData, fault))
}

/// State of the file after its last whole record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tail {
    /// Nothing follows.
    Clean,
    /// A failed write may have left a part of a record.
    MaybeTorn,
    /// An earlier process left the file: it is rewritten before anything is appended.
    Inherited,
}

pub struct Journal {
    /// None once the journal is closed for another process.
    storage: Option<Box<dyn Storage>>,
    clock: FolderClock,
    /// Keeps other processes from the folder while the journal is open.
    lock: Option<Rc<StateLock>>,
    tail: Tail,
    /// Bytes of whole records.
    size: u64,
    limit: u64,
    live: BTreeMap<Key, LiveJob>,
    /// Bytes that the open jobs take in a rewritten file, at most.
    live_size: u64,
    /// Jobs that ended recently.
    ended: EndedJobs,
    /// Encoded records that memory has and the file lacks, in their order.
    deferred: Vec<u8>,
    next: Key,
    /// The relay also has a backlog on disk.
    has_backlog: bool,
    health: Rc<JournalHealth>,
}

impl Journal {
    /// Checks that this version can read the journal in a folder, which another process may be using. Changes nothing.
    ///
    /// # Errors
    /// A later version of the program wrote it, or it cannot be read.
    pub fn check_format(folder: &Path) -> io::Result<()> {
        let mut start = Vec::new();
        match File::open(folder.join(storage::NAME)) {
            Ok(file) => file.take(FORMAT_RECORD_BYTES).read_to_end(&mut start)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
            Err(error) => return Err(error),
        };
        match next_record(&Bytes::from(start), 0) {
            Some((_, Record::Removed(key))) => check_format(key),
            _ => Ok(()),
        }
    }

    /// Opens the journal in the locked folder, which it may fill up to `limit` bytes, and returns the open jobs. A folder that can be
    /// read but temporarily not written is no error: nothing is recorded until it can be written. The journal keeps the lock until it is
    /// closed.
    ///
    /// # Errors
    ///
    /// The folder cannot be read ([`is_transient`] says whether a retry may succeed) or can never be written, or a later version of
    /// the program wrote the file.
    pub fn open(lock: &Rc<StateLock>, limit: u64) -> io::Result<(Journal, Vec<OpenJob>)> {
        let storage = FolderStorage::open(lock)?;
        let clock = FolderClock::open(lock.folder())?;
        let (mut journal, open) = Journal::with_storage(Box::new(storage), clock, limit)?;
        journal.lock = Some(lock.clone());
        Ok((journal, open))
    }

    fn with_storage(
        mut storage: Box<dyn Storage>,
        clock: FolderClock,
        limit: u64,
    ) -> io::Result<(Journal, Vec<OpenJob>)> {
        let bytes = storage.read()?;
        let mut journal = Journal {
            storage: Some(storage),
            clock,
            lock: None,
            tail: Tail::Inherited,
            size: bytes.len() as u64,
            limit,
            live: BTreeMap::new(),
            live_size: 0,
            ended: EndedJobs::default(),
            deferred: Vec::new(),
            next: 1,
            has_backlog: false,
            health: Rc::default(),
        };
        let open = journal.replay(&Bytes::from(bytes))?;
        match journal.repair() {
            Err(error) if !is_transient(&error) => return Err(error),
            repaired => journal.note_result(repaired).unwrap_or_default(),
        }
        Ok((journal, open))
    }

    /// Whether the journal can be written.
    pub fn health(&self) -> Rc<JournalHealth> {
        self.health.clone()
    }

    /// Closes the journal and releases its folder, so that another process may open it. This process writes nothing more to it.
    pub fn close(&mut self) {
        // Deferred records that cannot be written may be lost: see the module's documentation.
        let repaired = self.repair();
        let _ = self.note_result(repaired);
        self.storage = None;
        self.lock = None;
    }

    /// The first claim of a job that may have run.
    pub fn unconfirmed_claim(&self, key: Key) -> Option<RecordedClaim> {
        self.live.get(&key).and_then(|live| live.claims.unconfirmed_claim.clone())
    }

    /// Prepares the journal for requests that are exchanged with the backlog on disk.
    ///
    /// # Errors
    /// The file cannot be rewritten in the format that records their places.
    pub fn enable_backlog(&mut self) -> io::Result<()> {
        self.has_backlog = true;
        let written = self.clock.record().and_then(|()| self.rewrite());
        self.note_result(written)
    }

    /// Sets how many bytes the folder may be filled up to.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Applies all whole records and returns the open jobs. A torn record at the end is dropped; damage in the middle is
    /// skipped, and the records after it are read.
    fn replay(&mut self, bytes: &Bytes) -> io::Result<Vec<OpenJob>> {
        let mut open = BTreeMap::new();
        let mut at = 0;
        let mut formats = 0;
        // The job of the last record if its rules, which are written with it, have not been read.
        let mut incomplete = None;
        while at < bytes.len() {
            let Some((frame, record)) = next_record(bytes, at) else {
                let Some(next) = resync(bytes, at) else {
                    tracing::warn!(
                        torn = bytes.len() - at,
                        "the journal ends in a torn record; it is dropped"
                    );
                    break;
                };
                tracing::error!(
                    offset = at,
                    bytes = next - at,
                    "the journal is damaged; the records in this range are lost"
                );
                self.mark_claims_unknown();
                incomplete = None;
                at = next;
                continue;
            };
            at += frame.len();
            incomplete = if let Record::Job(key, _) = &record { Some(*key) } else { None };
            match record {
                Record::Job(key, mut job) => {
                    self.next = self.next.max(key + 1);
                    self.add_live(key, frame, None);
                    job.deadline = self.clock.from_folder(job.deadline);
                    open.insert(key, job);
                }
                Record::Rules(key, rules) => self.replay_rules(key, &frame, &rules),
                Record::Fetched(key, place) => self.replay_place(key, &frame, place.into()),
                Record::Claim(key, claim) => {
                    let claim = self.claim_from_folder(claim);
                    self.update(key, |live| live.claims.add(claim));
                }
                Record::NeverRan(key) => self.update(key, |live| live.claims.never_ran()),
                Record::ClaimHistory(key, mut claims) => {
                    claims.unconfirmed_claim =
                        claims.unconfirmed_claim.map(|claim| self.claim_from_folder(claim));
                    self.update(key, |live| live.claims = claims);
                }
                Record::Notice(key, notice) => self.update(key, |live| live.pending_notice = Some(notice)),
                Record::Removed(key) if key > FORMAT_KEYS => {
                    check_format(key)?;
                    formats += 1;
                }
                Record::Removed(key) => {
                    self.remove_live(key);
                    self.replay_end(&frame);
                }
            }
        }
        // Versions that write the format record twice write a job and its rules in one append. Without the rules that append
        // failed or the process was killed, so the submitter got a refusal or no answer.
        if let Some(key) = incomplete.filter(|_| formats > 1) {
            tracing::warn!(
                key,
                "the journal ends in a job without its rules; the job was never accepted and is dropped"
            );
            self.remove_live(key);
        }
        let open = open.into_iter().filter_map(|(key, job)| {
            let live = self.live.get(&key)?;
            let ClaimHistory { tries, unconfirmed_claim, .. } = live.claims.clone();
            let (rules, pending_notice) = (live.rules.clone(), live.pending_notice.clone());
            Some(OpenJob { key, job, rules, tries, unconfirmed_claim, pending_notice, place: live.place })
        });
        Ok(open.collect())
    }

    /// Notes that records are missing: any job read so far may have had a claim among them. Otherwise a job that has
    /// run could be sent again as if it had never been sent.
    fn mark_claims_unknown(&mut self) {
        let unknown = RecordedClaim { sent: SystemTime::UNIX_EPOCH, node: String::new(), zone: None };
        for live in self.live.values_mut() {
            live.claims.unconfirmed_claim.get_or_insert_with(|| unknown.clone());
            live.claims.unconfirmed_is_latest = false;
        }
    }

    fn update(&mut self, key: Key, change: impl FnOnce(&mut LiveJob)) {
        if let Some(live) = self.live.get_mut(&key) {
            change(live);
        }
    }

    fn add_live(&mut self, key: Key, frames: Bytes, rules: Option<Class>) {
        self.live_size += frames.len() as u64 + JOB_OVERHEAD;
        let claims = ClaimHistory::default();
        self.live.insert(key, LiveJob { frames, rules, claims, pending_notice: None, place: None });
    }

    /// Applies a record with the rules under which a job was accepted.
    fn replay_rules(&mut self, key: Key, frame: &Bytes, rules: &RecordedRules) {
        let Some(live) = self.live.get_mut(&key) else { return };
        live.rules = rules.class();
        live.frames = [&live.frames[..], frame].concat().into();
        self.live_size += frame.len() as u64;
    }

    /// Applies a record with a request's place in the backlog.
    fn replay_place(&mut self, key: Key, frame: &Bytes, place: Position) {
        let Some(live) = self.live.get_mut(&key) else { return };
        live.place = Some(place);
        live.frames = [&live.frames[..], frame].concat().into();
        self.live_size += frame.len() as u64;
    }

    /// Applies what a removal tells of a job that has ended.
    fn replay_end(&mut self, frame: &Bytes) {
        let Some(EndedJob { ended, .. }) = decode_removal(frame) else { return };
        self.keep_end(Bytes::copy_from_slice(frame), self.clock.from_folder(ended));
    }

    fn keep_end(&mut self, frame: Bytes, ended: SystemTime) {
        self.ended.add(frame, ended, clock::now(), self.limit);
    }

    /// The jobs that ended recently, here or in earlier processes, oldest first.
    pub fn ended_jobs(&self) -> impl Iterator<Item = EndedJob> {
        self.ended.frames().filter_map(decode_removal).map(|job| {
            let ended = self.clock.from_folder(job.ended);
            EndedJob { ended, ..job }
        })
    }

    fn remove_live(&mut self, key: Key) {
        if let Some(live) = self.live.remove(&key) {
            self.live_size -= live.frames.len() as u64 + JOB_OVERHEAD;
        }
    }

    fn claim_from_folder(&self, claim: RecordedClaim) -> RecordedClaim {
        RecordedClaim { sent: self.clock.from_folder(claim.sent), ..claim }
    }

    fn claim_to_folder(&self, claim: &RecordedClaim) -> RecordedClaim {
        RecordedClaim { sent: self.clock.to_folder(claim.sent), ..claim.clone() }
    }

    /// The record of a job's claim history, with times on the folder's clock.
    fn claims_record(&self, key: Key, claims: &ClaimHistory) -> Record {
        let unconfirmed_claim = claims.unconfirmed_claim.as_ref().map(|claim| self.claim_to_folder(claim));
        Record::ClaimHistory(key, ClaimHistory { unconfirmed_claim, ..claims.clone() })
    }

    fn job_record(&self, key: Key, job: &Job) -> Record {
        Record::Job(key, Job { deadline: self.clock.to_folder(job.deadline), ..job.clone() })
    }

    /// Records a job before its submitter is answered; `None` if there is no room for it.
    ///
    /// # Errors
    /// The job could not be recorded; then no later process finds it.
    pub fn record_job(&mut self, job: &Job, rules: &Class) -> io::Result<Option<Acceptance>> {
        let key = self.next;
        let mut frames = encode(&self.job_record(key, job));
        frames.extend(encode(&Record::Rules(key, rules.into())));
        let frames = Bytes::from(frames);
        if !self.has_room(&frames) {
            return Ok(None);
        }
        self.append(&frames)?;
        self.next += 1;
        self.add_live(key, frames, Some(rules.clone()));
        Ok(Some(Acceptance::journaled(key)))
    }

    /// Bytes that a rewritten file takes, at most.
    fn kept_size(&self) -> u64 {
        self.live_size + self.ended.bytes()
    }

    /// Whether another open job with these records fits into the folder.
    fn has_room(&self, frames: &[u8]) -> bool {
        let size = self.kept_size() + frames.len() as u64 + JOB_OVERHEAD;
        let max = self.limit.saturating_sub(RESERVED_BYTES) as f64 * MAX_JOB_SHARE;
        size as f64 <= max && frames.len() <= MAX_RECORD_BYTES
    }

    /// Records a claim before its first byte is sent.
    ///
    /// # Errors
    /// The claim could not be recorded; then it must not be sent.
    pub fn record_claim(&mut self, key: Key, claim: RecordedClaim) -> io::Result<()> {
        self.append(&encode(&Record::Claim(key, self.claim_to_folder(&claim))))?;
        self.update(key, |live| live.claims.add(claim));
        Ok(())
    }

    /// Records that the latest claim never ran.
    ///
    /// # Errors
    /// The record could not be written and is deferred.
    pub fn record_never_ran(&mut self, key: Key) -> io::Result<()> {
        self.update(key, |live| live.claims.never_ran());
        self.append_or_defer(encode(&Record::NeverRan(key)))
    }

    /// Records how a job ended before the notice is sent. From then on it is never sent to a node again.
    ///
    /// # Errors
    /// The notice could not be recorded; then it must not be sent.
    pub fn record_notice(&mut self, key: Key, notice: &Notice) -> io::Result<FinalNotice> {
        self.append(&encode(&Record::Notice(key, notice.clone())))?;
        self.update(key, |live| live.pending_notice = Some(notice.clone()));
        Ok(FinalNotice::recorded(notice.clone()))
    }

    /// Ends a job whose time is over and whose end could not be recorded until then.
    pub fn expire_job(&mut self, key: Key, job: &Job) -> FinalNotice {
        let end = FinalNotice::expired(&job.id);
        self.update(key, |live| live.pending_notice = Some(end.notice().clone()));
        // If the record cannot be written it is deferred.
        let _ = self.append_or_defer(encode(&Record::Notice(key, end.notice().clone())));
        end
    }

    /// Removes a job for which nothing more is to be done.
    ///
    /// # Errors
    /// The record could not be written and is deferred.
    pub fn remove_job(&mut self, key: Key) -> io::Result<()> {
        self.remove_live(key);
        self.append_or_defer(encode(&Record::Removed(key)))
    }

    /// Removes a job that has ended and whose submitter was told that it was accepted: its id is kept for a while.
    ///
    /// # Errors
    /// The record could not be written and is deferred.
    pub fn remove_ended_job(&mut self, key: Key, id: &str) -> io::Result<()> {
        self.remove_live(key);
        let now = clock::now();
        let ended = EndedJob { id: id.to_owned(), ended: self.clock.to_folder(now) };
        let frame = encode_removal(key, &ended);
        self.keep_end(frame.clone().into(), now);
        self.append_or_defer(frame)
    }

    /// Whether the file lacks records that memory has.
    pub fn has_deferred_records(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Tests whether the file can be written again, and writes the deferred records.
    ///
    /// # Errors
    /// The file still cannot be written.
    pub fn retry(&mut self) -> io::Result<()> {
        // A record without new content shows whether the folder is still full.
        let format = encode(&self.format());
        self.append(&format)
    }

    fn append_or_defer(&mut self, frame: Vec<u8>) -> io::Result<()> {
        let appended = self.append(&frame);
        if appended.is_err() && self.storage.is_some() {
            self.deferred.extend(frame);
        }
        appended
    }

    /// Appends records after the deferred ones. If that fails, nothing has changed.
    fn append(&mut self, frames: &[u8]) -> io::Result<()> {
        let appended = self.repair().and_then(|()| self.write(frames));
        self.note_result(appended)
    }

    /// Updates the health with the result of a write, and logs when writes begin to fail or succeed again.
    fn note_result(&self, written: io::Result<()>) -> io::Result<()> {
        match &written {
            Ok(()) => {
                if let Some((after, refused)) = self.health.record_success() {
                    tracing::info!(?after, refused, "the journal can be written again");
                }
            }
            Err(_) if self.storage.is_none() => {}
            Err(error) => {
                if self.health.record_failure() {
                    tracing::error!(
                        %error,
                        "the journal cannot be written; no message is accepted or sent until it can"
                    );
                }
            }
        }
        written
    }

    /// Restores the file after failed writes: its torn end is removed, and the deferred records are written.
    fn repair(&mut self) -> io::Result<()> {
        if self.storage.is_none() {
            return Err(io::Error::other("another process has the journal"));
        }
        // The clock's epoch is stored before any timestamp that depends on it.
        self.clock.record()?;
        match self.tail {
            Tail::Inherited => self.rewrite()?,
            Tail::MaybeTorn => self.cut_tail().or_else(|_| self.rewrite())?,
            Tail::Clean => {}
        }
        if self.deferred.is_empty() {
            return Ok(());
        }
        let deferred = std::mem::take(&mut self.deferred);
        let written = self.write(&deferred);
        if written.is_err() {
            self.deferred = deferred;
        }
        written
    }

    fn cut_tail(&mut self) -> io::Result<()> {
        let storage = self.storage.as_mut().expect("the journal is open");
        storage.truncate(self.size)?;
        self.tail = Tail::Clean;
        Ok(())
    }

    /// Appends whole records to a clean end. The file is rewritten first if it and its replacement would no longer fit into
    /// the folder together.
    fn write(&mut self, frames: &[u8]) -> io::Result<()> {
        let grown = self.size + frames.len() as u64;
        if grown + self.kept_size() + RESERVED_BYTES > self.limit {
            self.rewrite()?;
        }
        let storage = self.storage.as_mut().expect("the journal is open");
        let written = storage.append(frames);
        match &written {
            Ok(()) => self.size += frames.len() as u64,
            Err(_) => {
                // A partial record would make the records appended after it unreadable.
                self.tail = Tail::MaybeTorn;
                let _ = self.cut_tail();
            }
        }
        written
    }

    fn format(&self) -> Record {
        let fetched = self.live.values().any(|live| live.place.is_some());
        let format = if self.has_backlog || fetched { LATEST_FORMAT } else { BASIC_FORMAT };
        Record::Removed(FORMAT_KEYS + format)
    }

    /// Replaces the file with a new one that has the open jobs only.
    fn rewrite(&mut self) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(self.kept_size() as usize);
        let format = encode(&self.format());
        bytes.extend_from_slice(&format);
        self.ended.frames().for_each(|frame| bytes.extend_from_slice(frame));
        for (key, live) in &self.live {
            bytes.extend_from_slice(&live.frames);
            if live.claims.tries > 0 {
                bytes.extend(encode(&self.claims_record(*key, &live.claims)));
            }
            if let Some(notice) = &live.pending_notice {
                bytes.extend(encode(&Record::Notice(*key, notice.clone())));
            }
        }
        bytes.extend_from_slice(&format);
        let storage =
            self.storage.as_mut().ok_or_else(|| io::Error::other("another process has the journal"))?;
        storage.replace(&bytes)?;
        self.size = bytes.len() as u64;
        self.tail = Tail::Clean;
        // The new file has everything that memory has, including the deferred records.
        self.deferred.clear();
        Ok(())
    }
}

#[cfg(test)]
mod tests;
#[cfg(test)]
pub(crate) use tests::open_journal;
#[cfg(test)]
mod tests_of_faults;
