//! The journal's records and their encoding: the length of the payload, its CRC-32, and the payload (postcard).
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime};

use onyxglade_backlog::message::{ClassNumber, Lane, Position};
use slatethread::{Class, DedupScope, Effect};

use super::Key;
use crate::job::{Job, Notice};

/// Longest payload of a record. A greater length is not that of a record: the file is torn or damaged there.
pub(super) const MAX_RECORD_BYTES: usize = 1024 * 1024;
/// Length and checksum before the payload of a frame.
const HEADER_BYTES: usize = 8;
/// The format written without a backlog.
pub(super) const BASIC_FORMAT: u64 = 1;
/// The format with [`Record::Fetched`], the latest that is read.
pub(super) const LATEST_FORMAT: u64 = 2;
/// The file's format is its first record: the removal of a job whose number is this plus the format. No job ever has such a
/// number, so that versions of the program without formats ignore the record. It is repeated after the jobs of a rewritten file;
/// thereby a file that has it twice and ends in a job's first record is known to lack the rest of that append.
pub(super) const FORMAT_KEYS: Key = u64::MAX - 0xffff;

/// A claim that may have run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedClaim {
    /// Just before its first byte was sent.
    pub sent: SystemTime,
    pub node: String,
    pub zone: Option<String>,
}

impl RecordedClaim {
    /// How long ago it was sent. If the clock was set back and `sent` is in the future, the age is unknown and counts as
    /// longer than any partner remembers requests.
    pub fn age(&self, now: SystemTime) -> Duration {
        now.duration_since(self.sent).unwrap_or(Duration::MAX)
    }
}

#[derive(Serialize, Deserialize)]
pub(super) enum Record {
    Job(Key, Job),
    Claim(Key, RecordedClaim),
    /// The job's latest claim never ran.
    NeverRan(Key),
    /// Replaces all earlier records of a job's claims.
    ClaimHistory(Key, ClaimHistory),
    /// How the job ended; the notice may not have been delivered yet.
    Notice(Key, Notice),
    /// Nothing more is to be done for the job. An [`EndedJob`](super::EndedJob) may follow in the frame.
    Removed(Key),
    /// The rules under which a job was accepted; directly follows the job.
    Rules(Key, RecordedRules),
    /// The place in the backlog that a job was fetched from; directly follows the rules.
    Fetched(Key, RecordedPlace),
}

/// A place in the backlog, as it is encoded.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct RecordedPlace {
    destination: u64,
    class: u16,
    sequence: u64,
}

impl From<Position> for RecordedPlace {
    fn from(place: Position) -> Self {
        let Lane { destination, class } = place.lane;
        RecordedPlace { destination, class: class.0, sequence: place.sequence }
    }
}

impl From<RecordedPlace> for Position {
    fn from(recorded: RecordedPlace) -> Self {
        let RecordedPlace { destination, class, sequence } = recorded;
        Position { lane: Lane { destination, class: ClassNumber(class) }, sequence }
    }
}

/// The rules of a class, as they are encoded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct RecordedRules {
    effect: u8,
    group: u8,
    window: Option<u64>,
    aim: u64,
    give_up: u64,
    ordered: bool,
    late_worth: Option<f64>,
    credit: Option<f64>,
}

const EFFECTS: [Effect; 3] = [Effect::Safe, Effect::Deduplicated, Effect::Unsafe];
const GROUPS: [DedupScope; 3] = [DedupScope::All, DedupScope::Zone, DedupScope::Endpoint];

impl From<&Class> for RecordedRules {
    fn from(class: &Class) -> Self {
        let index = |found: Option<usize>| found.expect("all variants are listed") as u8;
        RecordedRules {
            effect: index(EFFECTS.iter().position(|effect| *effect == class.effect)),
            group: index(GROUPS.iter().position(|group| *group == class.dedup_scope)),
            window: class.dedup_window,
            aim: class.target_latency,
            give_up: class.lifetime,
            ordered: class.ordered,
            late_worth: class.late_worth,
            credit: class.worth,
        }
    }
}

impl RecordedRules {
    /// The class; none if it has an effect or group that this version does not know.
    pub fn class(&self) -> Option<Class> {
        Some(Class {
            effect: *EFFECTS.get(usize::from(self.effect))?,
            dedup_scope: *GROUPS.get(usize::from(self.group))?,
            dedup_window: self.window,
            target_latency: self.aim,
            lifetime: self.give_up,
            ordered: self.ordered,
            late_worth: self.late_worth,
            worth: self.credit,
        })
    }
}

/// The claims made for a job so far.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct ClaimHistory {
    pub tries: u32,
    /// The first claim that may have run.
    pub unconfirmed_claim: Option<RecordedClaim>,
    /// Whether `unconfirmed_claim` is the latest claim, which may still turn out never to have run.
    pub unconfirmed_is_latest: bool,
}

impl ClaimHistory {
    pub fn add(&mut self, claim: RecordedClaim) {
        self.tries += 1;
        self.unconfirmed_is_latest = self.unconfirmed_claim.is_none();
        self.unconfirmed_claim.get_or_insert(claim);
    }

    /// The latest claim never ran.
    pub fn never_ran(&mut self) {
        if std::mem::take(&mut self.unconfirmed_is_latest) {
            self.unconfirmed_claim = None;
        }
    }
}

/// Encodes a record as a frame: length, checksum and payload.
pub(super) fn encode(record: &Record) -> Vec<u8> {
    encode_frame(&to_bytes(record))
}

/// Encodes a record with more behind it, which versions of the program that do not know of it ignore.
pub(super) fn encode_with(record: &Record, behind: &impl Serialize) -> Vec<u8> {
    let mut payload = to_bytes(record);
    payload.extend(to_bytes(behind));
    encode_frame(&payload)
}

fn to_bytes(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("records have no unsized parts")
}

fn encode_frame(payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(payload.len() + HEADER_BYTES);
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// What a whole frame has behind its record.
pub(super) fn bytes_behind_record(frame: &Bytes) -> Option<&[u8]> {
    let (_, behind) = postcard::take_from_bytes::<Record>(frame.get(HEADER_BYTES..)?).ok()?;
    Some(behind)
}

/// The record whose frame begins at `at`, with the frame, if it is whole and undamaged.
pub(super) fn next_record(bytes: &Bytes, at: usize) -> Option<(Bytes, Record)> {
    let number = |from: usize| Some(u32::from_le_bytes(bytes.get(from..from + 4)?.try_into().ok()?));
    let length = number(at)? as usize;
    let checksum = number(at + 4)?;
    if length > MAX_RECORD_BYTES {
        return None;
    }
    let payload = bytes.get(at + HEADER_BYTES..at + HEADER_BYTES + length)?;
    if crc32fast::hash(payload) != checksum {
        return None;
    }
    let record = postcard::from_bytes(payload).ok()?;
    Some((bytes.slice(at..at + HEADER_BYTES + length), record))
}

/// Finds the next readable record after an unreadable one at `at`: at the end that its length field gives, or else at the
/// first offset from which two records in a row can be read, or one that ends the file. `None` if there is none: then the
/// record at `at` is the torn end of the file.
pub(super) fn resync(bytes: &Bytes, at: usize) -> Option<usize> {
    let length = bytes.get(at..at + 4).and_then(|four| four.try_into().ok()).map(u32::from_le_bytes);
    let stated_end = length.and_then(|length| at.checked_add(HEADER_BYTES + length as usize));
    let is_record = |at: usize| next_record(bytes, at).is_some();
    // A message body may contain bytes that look like a record; a second record after it makes that unlikely.
    let is_followed = |at: usize| {
        let next = next_record(bytes, at).map(|(frame, _)| at + frame.len());
        next.is_some_and(|next| next == bytes.len() || is_record(next))
    };
    stated_end.filter(|at| is_record(*at)).or_else(|| (at + 1..bytes.len()).find(|at| is_followed(*at)))
}
