//! The journal's records and their form: a record's length, its CRC-32, and its text in postcard.
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime};

use onyxglade_backlog::message::{ClassNumber, Lane, Position};
use slatethread::{Class, Effect, Group};

use super::Key;
use crate::job::{Job, Notice};

/// A longer record is none: it is the torn end of the file.
pub(super) const LONGEST: usize = 1024 * 1024;
/// The format of the records that are written without a backlog.
pub(super) const PLAIN_FORMAT: u64 = 1;
/// The format with [`Record::Fetched`], the newest that is read.
pub(super) const FORMAT: u64 = 2;
/// The format stands first in the file, as the end of a job with a number from here on, which no job ever has: programs
/// from before there was a format pass over it. It stands again behind all that was written anew, so that a job's first
/// record at the file's very end is known to be half of what was to be appended.
pub(super) const FORMATS: Key = u64::MAX - 0xffff;

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

#[derive(Serialize, Deserialize)]
pub(super) enum Record {
    Job(Key, Job),
    Claim(Key, MayHaveRun),
    /// The job's latest claim never ran.
    NeverRan(Key),
    /// All that earlier records said of a job's claims.
    Claims(Key, Claims),
    Ending(Key, Notice),
    End(Key),
    /// The rules under which a job was taken on; stands right behind it.
    Rules(Key, TakenUnder),
    /// A job was fetched from the backlog, which had it at this place; stands right behind the rules.
    Fetched(Key, RecordedPlace),
}

/// A place in the backlog, as it is written.
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

/// The rules of a class, as they are written.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct TakenUnder {
    effect: u8,
    group: u8,
    window: Option<u64>,
    aim: u64,
    give_up: u64,
    ordered: bool,
    late_worth: Option<f64>,
    credit: Option<f64>,
}

const EFFECTS: [Effect; 3] = [Effect::Safe, Effect::Keyed, Effect::Unsafe];
const GROUPS: [Group; 3] = [Group::All, Group::Zone, Group::Endpoint];

impl From<&Class> for TakenUnder {
    fn from(class: &Class) -> Self {
        let place = |found: Option<usize>| found.expect("all are listed") as u8;
        TakenUnder {
            effect: place(EFFECTS.iter().position(|effect| *effect == class.effect)),
            group: place(GROUPS.iter().position(|group| *group == class.group)),
            window: class.window,
            aim: class.aim,
            give_up: class.give_up,
            ordered: class.ordered,
            late_worth: class.late_worth,
            credit: class.credit,
        }
    }
}

impl TakenUnder {
    /// None if it has what this program does not know.
    pub fn class(&self) -> Option<Class> {
        Some(Class {
            effect: *EFFECTS.get(usize::from(self.effect))?,
            group: *GROUPS.get(usize::from(self.group))?,
            window: self.window,
            aim: self.aim,
            give_up: self.give_up,
            ordered: self.ordered,
            late_worth: self.late_worth,
            credit: self.credit,
        })
    }
}

/// What is known of a job's claims.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Claims {
    pub tries: u32,
    /// The first that may have run.
    pub risk: Option<MayHaveRun>,
    /// That first one is the latest, so that it may still turn out never to have run.
    pub latest: bool,
}

impl Claims {
    pub fn add(&mut self, claim: MayHaveRun) {
        self.tries += 1;
        self.latest = self.risk.is_none();
        self.risk.get_or_insert(claim);
    }

    pub fn never_ran(&mut self) {
        if std::mem::take(&mut self.latest) {
            self.risk = None;
        }
    }
}

/// A record with its frame.
pub(super) fn encode(record: &Record) -> Vec<u8> {
    let text = postcard::to_stdvec(record).expect("records have no unsized parts");
    let mut frame = Vec::with_capacity(text.len() + 8);
    frame.extend_from_slice(&(text.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&text).to_le_bytes());
    frame.extend_from_slice(&text);
    frame
}

/// The record at `at`, with its frame, if it is whole.
pub(super) fn next_record(text: &Bytes, at: usize) -> Option<(Bytes, Record)> {
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

/// Where the next whole record begins behind one that is not whole: where that one says that it ends, else the first
/// place from which two in a row can be read, or one up to the end. `None` if nothing follows: then it is the torn end.
pub(super) fn behind_damage(text: &Bytes, at: usize) -> Option<usize> {
    let length = text.get(at..at + 4).and_then(|four| four.try_into().ok()).map(u32::from_le_bytes);
    let told = length.and_then(|length| at.checked_add(8 + length as usize));
    let is_record = |at: usize| next_record(text, at).is_some();
    // Guards against what a body holds, which may look like a record, being taken for one.
    let leads_on = |at: usize| {
        let next = next_record(text, at).map(|(frame, _)| at + frame.len());
        next.is_some_and(|next| next == text.len() || is_record(next))
    };
    told.filter(|at| is_record(*at)).or_else(|| (at + 1..text.len()).find(|at| leads_on(*at)))
}
