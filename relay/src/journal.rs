//! What was taken on outlasts the process: an append-only, checksummed file in the folder that lasts.
//!
//! Nothing is synced: the platform promises that what was written outlasts the process. The file is written anew with what is
//! still open before it and its successor together could outgrow the folder.
//!
//! What memory holds never runs ahead of the file but for records that are owed to it: that an attempt never ran, that nothing
//! more is owed for a message, and an end whose time has come. They were true before they could be written, and a process that
//! does not find them errs on the safe side. They are written before anything else is. A record that others are told of
//! ([`TakenOn`], [`SettledEnd`], an attempt) changes nothing unless it was written.
use bytes::Bytes;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::SystemTime;

use onyxglade_backlog::message::Position;
use slatethread::Class;

use crate::clock::FolderClock;
use crate::job::{Job, Notice};

mod health;
mod queued;
mod receipt;
mod record;
mod storage;
#[cfg(test)]
mod storage_double;

pub use health::Health;
pub use queued::{QueuedRequest, UnreadableRequest};
pub use receipt::{SettledEnd, TakenOn};
pub use record::MayHaveRun;
use record::{Claims, FORMAT, FORMATS, LONGEST, PLAIN_FORMAT, Record, TakenUnder};
use record::{behind_damage, encode, next_record};
pub use storage::may_pass;
use storage::{FolderStorage, Storage};

/// A job's number in the journal.
pub type Key = u64;

/// A job that was open when the last process ended.
pub struct Open {
    pub key: Key,
    pub job: Job,
    /// The rules of its class under which it was taken on; none where an earlier program did that.
    pub rules: Option<Class>,
    pub tries: u32,
    pub risk: Option<MayHaveRun>,
    /// Its end was decided, but the notice of it may not have arrived.
    pub ending: Option<Notice>,
    /// Where it stood in the backlog, which may still have it.
    pub place: Option<Position>,
}

struct Live {
    /// The job's record as it stands in the file, and the rules behind it.
    frame: Bytes,
    rules: Option<Class>,
    claims: Claims,
    ending: Option<Notice>,
    place: Option<Position>,
}

/// Room kept for the records that may follow a job's own, once rewritten.
const BESIDE_JOB: u64 = 512;
/// Room kept for the folder itself and for what rounding to whole blocks adds.
const RESERVE: u64 = 16 * 1024;
/// Part of the folder that open jobs may fill. At a half, a rewritten file would leave no room to append;
/// at two fifths, a fifth of the folder is appended between two rewritings.
const JOBS_PART: f64 = 0.4;

/// What is known of the file beside what is whole in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tail {
    /// Nothing follows.
    Sound,
    /// A record that was not written may have left a part of itself.
    Doubtful,
    /// It is as an earlier process left it: before anything is appended it is written anew.
    Inherited,
}

pub struct Journal {
    /// None once another process has the journal.
    storage: Option<Box<dyn Storage>>,
    clock: FolderClock,
    /// Keeps others from the journal for as long as it is open.
    lock: Option<File>,
    tail: Tail,
    /// Bytes of whole records.
    size: u64,
    limit: u64,
    live: BTreeMap<Key, Live>,
    live_size: u64,
    /// Records that memory has and the file lacks, in their order.
    owed: Vec<u8>,
    next: Key,
    /// There is a backlog beside it.
    has_backlog: bool,
    health: Rc<Health>,
}

impl Journal {
    /// Whether a process has had a journal in a folder.
    pub fn exists(folder: &Path) -> bool {
        folder.join(storage::NAME).exists()
    }

    /// Opens the journal in `folder`, which it may fill up to `limit` bytes, and tells what is open. A folder that can be read and
    /// for the moment not written is no fault: nothing is recorded until it can be.
    ///
    /// # Errors
    ///
    /// The folder cannot be read ([`may_pass`] says whether it may be later), can never be written, or a later program wrote it.
    pub fn open(folder: &Path, limit: u64) -> io::Result<(Journal, Vec<Open>)> {
        let storage = FolderStorage::open(folder)?;
        let clock = FolderClock::open(folder)?;
        Journal::over(Box::new(storage), clock, limit)
    }

    fn over(
        mut storage: Box<dyn Storage>,
        clock: FolderClock,
        limit: u64,
    ) -> io::Result<(Journal, Vec<Open>)> {
        let text = storage.read()?;
        let mut journal = Journal {
            storage: Some(storage),
            clock,
            lock: None,
            tail: Tail::Inherited,
            size: text.len() as u64,
            limit,
            live: BTreeMap::new(),
            live_size: 0,
            owed: Vec::new(),
            next: 1,
            has_backlog: false,
            health: Rc::default(),
        };
        let open = journal.replay(&Bytes::from(text))?;
        match journal.settle() {
            Err(error) if !may_pass(&error) => return Err(error),
            settled => journal.told(settled).unwrap_or_default(),
        }
        Ok((journal, open))
    }

    /// Whether it can be written.
    pub fn health(&self) -> Rc<Health> {
        self.health.clone()
    }

    /// Holds a lock for as long as it has the journal.
    pub fn guard(&mut self, lock: Option<File>) {
        self.lock = lock;
    }

    /// Lets the journal go: another process may open it. Nothing more is written by this one.
    pub fn close(&mut self) {
        // What cannot be written is not missed: see the top of this file.
        let settled = self.settle();
        let _ = self.told(settled);
        self.storage = None;
        self.lock = None;
    }

    /// The first claim of a job that may have run.
    pub fn risk(&self, key: Key) -> Option<MayHaveRun> {
        self.live.get(&key).and_then(|live| live.claims.risk.clone())
    }

    /// From now on requests come from the backlog and go there.
    ///
    /// # Errors
    /// When the file cannot be written anew in the format that this takes.
    pub fn enable_backlog(&mut self) -> io::Result<()> {
        self.has_backlog = true;
        let written = self.clock.record().and_then(|()| self.rewrite());
        self.told(written)
    }

    /// What the folder may be filled up to from now on.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Takes in all whole records, and tells what is open. A torn end is dropped; damage in the middle is passed over, and
    /// what is behind it is read.
    fn replay(&mut self, text: &Bytes) -> io::Result<Vec<Open>> {
        let mut open = BTreeMap::new();
        let mut at = 0;
        let mut formats = 0;
        // A job whose rules have not been read; they are written with it.
        let mut half_taken = None;
        while at < text.len() {
            let Some((frame, record)) = next_record(text, at) else {
                let Some(next) = behind_damage(text, at) else {
                    tracing::warn!(torn = text.len() - at, "journal ends in a torn record; it is dropped");
                    break;
                };
                tracing::error!(
                    offset = at,
                    bytes = next - at,
                    "the journal is damaged; what stood there is lost"
                );
                self.doubt();
                half_taken = None;
                at = next;
                continue;
            };
            at += frame.len();
            half_taken = if let Record::Job(key, _) = &record { Some(*key) } else { None };
            match record {
                Record::Job(key, mut job) => {
                    self.next = self.next.max(key + 1);
                    self.add_live(key, frame, None);
                    job.deadline = self.clock.from_folder(job.deadline);
                    open.insert(key, job);
                }
                Record::Rules(key, rules) => self.take_rules(key, &frame, &rules),
                Record::Fetched(key, place) => self.take_place(key, &frame, place.into()),
                Record::Claim(key, claim) => {
                    let claim = self.claim_from_folder(claim);
                    self.with(key, |live| live.claims.add(claim));
                }
                Record::NeverRan(key) => self.with(key, |live| live.claims.never_ran()),
                Record::Claims(key, mut claims) => {
                    claims.risk = claims.risk.map(|claim| self.claim_from_folder(claim));
                    self.with(key, |live| live.claims = claims);
                }
                Record::Ending(key, notice) => self.with(key, |live| live.ending = Some(notice)),
                Record::End(key) if key > FORMATS + FORMAT => {
                    let format = key - FORMATS;
                    let fault = format!("it has format {format}, and this program reads up to {FORMAT}");
                    return Err(io::Error::new(io::ErrorKind::InvalidData, fault));
                }
                Record::End(key) if key > FORMATS => formats += 1,
                Record::End(key) => self.remove_live(key),
            }
        }
        // The program that wrote a second format writes a job and its rules at once: it was refused, or never answered.
        if let Some(key) = half_taken.filter(|_| formats > 1) {
            tracing::warn!(key, "the journal ends in half of what was to be taken on; it is dropped");
            self.remove_live(key);
        }
        let open = open.into_iter().filter_map(|(key, job)| {
            let live = self.live.get(&key)?;
            let Claims { tries, risk, .. } = live.claims.clone();
            let (rules, ending) = (live.rules.clone(), live.ending.clone());
            Some(Open { key, job, rules, tries, risk, ending, place: live.place })
        });
        Ok(open.collect())
    }

    /// Records are missing: any job from before may have had a claim there. Guards against sending again, as never
    /// sent, what has run.
    fn doubt(&mut self) {
        let unknown = MayHaveRun { sent: SystemTime::UNIX_EPOCH, node: String::new(), zone: None };
        for live in self.live.values_mut() {
            live.claims.risk.get_or_insert_with(|| unknown.clone());
            live.claims.latest = false;
        }
    }

    fn with(&mut self, key: Key, change: impl FnOnce(&mut Live)) {
        if let Some(live) = self.live.get_mut(&key) {
            change(live);
        }
    }

    fn add_live(&mut self, key: Key, frame: Bytes, rules: Option<Class>) {
        self.live_size += frame.len() as u64 + BESIDE_JOB;
        let claims = Claims::default();
        self.live.insert(key, Live { frame, rules, claims, ending: None, place: None });
    }

    /// What is read of the rules under which a job was taken on.
    fn take_rules(&mut self, key: Key, frame: &Bytes, rules: &TakenUnder) {
        let Some(live) = self.live.get_mut(&key) else { return };
        live.rules = rules.class();
        live.frame = [&live.frame[..], frame].concat().into();
        self.live_size += frame.len() as u64;
    }

    /// What is read of a request's place in the backlog.
    fn take_place(&mut self, key: Key, frame: &Bytes, place: Position) {
        let Some(live) = self.live.get_mut(&key) else { return };
        live.place = Some(place);
        live.frame = [&live.frame[..], frame].concat().into();
        self.live_size += frame.len() as u64;
    }

    fn remove_live(&mut self, key: Key) {
        if let Some(live) = self.live.remove(&key) {
            self.live_size -= live.frame.len() as u64 + BESIDE_JOB;
        }
    }

    fn claim_from_folder(&self, claim: MayHaveRun) -> MayHaveRun {
        MayHaveRun { sent: self.clock.from_folder(claim.sent), ..claim }
    }

    fn claim_to_folder(&self, claim: &MayHaveRun) -> MayHaveRun {
        MayHaveRun { sent: self.clock.to_folder(claim.sent), ..claim.clone() }
    }

    /// All that is recorded of a job's claims, as the folder has it.
    fn claims_record(&self, key: Key, claims: &Claims) -> Record {
        let risk = claims.risk.as_ref().map(|claim| self.claim_to_folder(claim));
        Record::Claims(key, Claims { risk, ..claims.clone() })
    }

    fn job_record(&self, key: Key, job: &Job) -> Record {
        Record::Job(key, Job { deadline: self.clock.to_folder(job.deadline), ..job.clone() })
    }

    /// Records a job before it is answered; `None` if there is no room for it.
    ///
    /// # Errors
    /// When it is not recorded; then no later process finds it.
    pub fn job(&mut self, job: &Job, rules: &Class) -> io::Result<Option<TakenOn>> {
        let key = self.next;
        let mut frame = encode(&self.job_record(key, job));
        frame.extend(encode(&Record::Rules(key, rules.into())));
        let frame = Bytes::from(frame);
        if !self.has_room(&frame) {
            return Ok(None);
        }
        self.append(&frame)?;
        self.next += 1;
        self.add_live(key, frame, Some(rules.clone()));
        Ok(Some(TakenOn::journaled(key)))
    }

    /// Whether another open job with these records fits into the folder.
    fn has_room(&self, frame: &[u8]) -> bool {
        let with_it = self.live_size + frame.len() as u64 + BESIDE_JOB;
        let most = self.limit.saturating_sub(RESERVE) as f64 * JOBS_PART;
        with_it as f64 <= most && frame.len() <= LONGEST
    }

    /// Records a claim before its first byte.
    ///
    /// # Errors
    /// When it is not recorded: it must not be sent.
    pub fn claim(&mut self, key: Key, claim: MayHaveRun) -> io::Result<()> {
        self.append(&encode(&Record::Claim(key, self.claim_to_folder(&claim))))?;
        self.with(key, |live| live.claims.add(claim));
        Ok(())
    }

    /// Records that the latest claim never ran.
    ///
    /// # Errors
    /// When that is owed to the file.
    pub fn never_ran(&mut self, key: Key) -> io::Result<()> {
        self.with(key, |live| live.claims.never_ran());
        self.append_or_owe(&Record::NeverRan(key))
    }

    /// Records how a job ends, before that is told: it is never sent to a node again.
    ///
    /// # Errors
    /// When it is not recorded: it must not be told.
    pub fn ending(&mut self, key: Key, notice: &Notice) -> io::Result<SettledEnd> {
        self.append(&encode(&Record::Ending(key, notice.clone())))?;
        self.with(key, |live| live.ending = Some(notice.clone()));
        Ok(SettledEnd::recorded(notice.clone()))
    }

    /// The end of a job whose time is over and whose end could not be recorded until now.
    pub fn out_of_time(&mut self, key: Key, job: &Job) -> SettledEnd {
        let end = SettledEnd::out_of_time(&job.id);
        self.with(key, |live| live.ending = Some(end.notice().clone()));
        // Owed to the file at worst.
        let _ = self.append_or_owe(&Record::Ending(key, end.notice().clone()));
        end
    }

    /// Records that nothing more is owed for a job.
    ///
    /// # Errors
    /// When that is owed to the file.
    pub fn end(&mut self, key: Key) -> io::Result<()> {
        self.remove_live(key);
        self.append_or_owe(&Record::End(key))
    }

    /// Whether the file lacks records that memory has.
    pub fn owes(&self) -> bool {
        !self.owed.is_empty()
    }

    /// Tries whether the file can be written again, and writes what is owed to it.
    ///
    /// # Errors
    /// When it cannot.
    pub fn retry(&mut self) -> io::Result<()> {
        // Something that says nothing new, so that a folder without room is found out.
        let format = encode(&self.format());
        self.append(&format)
    }

    fn append_or_owe(&mut self, record: &Record) -> io::Result<()> {
        let frame = encode(record);
        let appended = self.append(&frame);
        if appended.is_err() && self.storage.is_some() {
            self.owed.extend(frame);
        }
        appended
    }

    /// Appends records behind what is owed. Where that fails, nothing has changed.
    fn append(&mut self, frame: &[u8]) -> io::Result<()> {
        let appended = self.settle().and_then(|()| self.write(frame));
        self.told(appended)
    }

    /// Has it known whether a record was written.
    fn told(&self, written: io::Result<()>) -> io::Result<()> {
        match &written {
            Ok(()) => {
                if let Some((after, refused)) = self.health.recover() {
                    tracing::info!(?after, refused, "the journal can be written again");
                }
            }
            Err(_) if self.storage.is_none() => {}
            Err(error) => {
                if self.health.fail() {
                    tracing::error!(
                        %error,
                        "the journal cannot be written; nothing is taken on or sent until it can"
                    );
                }
            }
        }
        written
    }

    /// Puts right what failed records left: the file's end, and what is owed.
    fn settle(&mut self) -> io::Result<()> {
        if self.storage.is_none() {
            return Err(io::Error::other("another process has the journal"));
        }
        // Times are recorded only once it is recorded how they are reckoned.
        self.clock.record()?;
        match self.tail {
            Tail::Inherited => self.rewrite()?,
            Tail::Doubtful => self.cut_tail().or_else(|_| self.rewrite())?,
            Tail::Sound => {}
        }
        if self.owed.is_empty() {
            return Ok(());
        }
        let owed = std::mem::take(&mut self.owed);
        let written = self.write(&owed);
        if written.is_err() {
            self.owed = owed;
        }
        written
    }

    fn cut_tail(&mut self) -> io::Result<()> {
        let storage = self.storage.as_mut().expect("just seen");
        storage.truncate(self.size)?;
        self.tail = Tail::Sound;
        Ok(())
    }

    /// Writes whole records behind a sound end. Guards against a full folder: the file and its successor must fit into it
    /// together.
    fn write(&mut self, frame: &[u8]) -> io::Result<()> {
        let grown = self.size + frame.len() as u64;
        if grown + self.live_size + RESERVE > self.limit {
            self.rewrite()?;
        }
        let storage = self.storage.as_mut().expect("settled before");
        let written = storage.append(frame);
        match &written {
            Ok(()) => self.size += frame.len() as u64,
            Err(_) => {
                // A part of a record in the middle would hide all that follows it.
                self.tail = Tail::Doubtful;
                let _ = self.cut_tail();
            }
        }
        written
    }

    fn format(&self) -> Record {
        let fetched = self.live.values().any(|live| live.place.is_some());
        let format = if self.has_backlog || fetched { FORMAT } else { PLAIN_FORMAT };
        Record::End(FORMATS + format)
    }

    /// Puts a new file with what is open in the old one's place.
    fn rewrite(&mut self) -> io::Result<()> {
        let mut text = Vec::with_capacity(self.live_size as usize);
        let format = encode(&self.format());
        text.extend_from_slice(&format);
        for (key, live) in &self.live {
            text.extend_from_slice(&live.frame);
            if live.claims.tries > 0 {
                text.extend(encode(&self.claims_record(*key, &live.claims)));
            }
            if let Some(notice) = &live.ending {
                text.extend(encode(&Record::Ending(*key, notice.clone())));
            }
        }
        text.extend_from_slice(&format);
        let storage =
            self.storage.as_mut().ok_or_else(|| io::Error::other("another process has the journal"))?;
        storage.replace(&text)?;
        self.size = text.len() as u64;
        self.tail = Tail::Sound;
        // What memory has is all in it.
        self.owed.clear();
        Ok(())
    }
}

#[cfg(test)]
mod tests;
#[cfg(test)]
mod tests_of_faults;
