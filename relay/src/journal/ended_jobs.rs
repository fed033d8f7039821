//! Ids of jobs that ended a short time ago, so that a later process does not take a copy of their request for a new one.
//!
//! The removal of such a job has its id and its end behind the record, in the same frame. Versions of the program that do not know of
//! this ignore what follows a record. A rewritten file has the removals that are still kept.
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use super::Key;
use super::record::{self, Record};

/// How long an id is kept after its end: longer than copies of a request are under way, or than clients come again with one.
pub const ENDED_ID_TTL: Duration = Duration::from_secs(30);
/// Most ids that are kept.
pub const MAX_ENDED_IDS: usize = 4096;
/// Share of the folder's limit that ended jobs may fill; the oldest are dropped beyond it.
const MAX_ENDED_SHARE: f64 = 0.05;

/// A job that ended after its submitter was told that it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedJob {
    pub id: String,
    pub ended: SystemTime,
}

impl EndedJob {
    /// Time since its end. If the clock was set back, the end counts as just now.
    pub fn age(&self, now: SystemTime) -> Duration {
        now.duration_since(self.ended).unwrap_or_default()
    }
}

/// Encodes the removal of a job that has ended.
pub(super) fn encode_removal(key: Key, ended: &EndedJob) -> Vec<u8> {
    record::encode_with(&Record::Removed(key), ended)
}

/// The ended job in the frame of a removal, if it has one.
pub(super) fn decode_removal(frame: &Bytes) -> Option<EndedJob> {
    postcard::from_bytes(record::bytes_behind_record(frame)?).ok()
}

/// The removals that a rewritten file has, oldest first.
#[derive(Default)]
pub(super) struct EndedJobs {
    removals: VecDeque<Removal>,
    /// Total size of the frames.
    bytes: u64,
}

/// A removal as it is in the file.
struct Removal {
    frame: Bytes,
    ended: SystemTime,
}

impl EndedJobs {
    /// Keeps a removal, and drops those that are too old or too many. `limit` is that of the folder, in bytes; times are this process's.
    pub fn add(&mut self, frame: Bytes, ended: SystemTime, now: SystemTime, limit: u64) {
        self.bytes += frame.len() as u64;
        self.removals.push_back(Removal { frame, ended });
        let max_bytes = (limit as f64 * MAX_ENDED_SHARE) as u64;
        while self.bytes > max_bytes || self.removals.len() > MAX_ENDED_IDS || self.oldest_is_past(now) {
            let Some(oldest) = self.removals.pop_front() else { return };
            self.bytes -= oldest.frame.len() as u64;
        }
    }

    fn oldest_is_past(&self, now: SystemTime) -> bool {
        let oldest = self.removals.front();
        oldest.is_some_and(|oldest| now.duration_since(oldest.ended).is_ok_and(|age| age > ENDED_ID_TTL))
    }

    /// Total size of the frames.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The frames, oldest first.
    pub fn frames(&self) -> impl Iterator<Item = &Bytes> {
        self.removals.iter().map(|removal| &removal.frame)
    }
}

#[cfg(test)]
mod tests;
