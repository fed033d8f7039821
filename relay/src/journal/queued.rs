//! Requests that move between the journal and the backlog on disk.
//!
//! A request has one owner at any time. It enters the backlog as a [`QueuedRequest`], opaque to the store. When it is
//! fetched, the journal records it together with its place in the backlog; only then is it removed from the backlog. After a
//! crash in between, the recorded place identifies the copy to remove at the next start. Putting a request back takes the
//! reverse order: the backlog stores it again, at the same place, before the journal removes it.
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::io;
use thiserror::Error;

use onyxglade_backlog::message::Position;
use slatethread::Class;

use super::{ClaimHistory, Journal, Key, Record, RecordedClaim, RecordedRules, encode};
use crate::job::Job;

/// Format of the payload; a later format is not read.
const PAYLOAD_FORMAT: u8 = 1;

/// A request in the backlog, with everything that the journal records of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueuedRequest {
    format: u8,
    /// The request itself.
    pub job: Job,
    rules: RecordedRules,
    claims: ClaimHistory,
}

/// Why a payload of the backlog cannot be read as a request.
#[derive(Debug, Error)]
pub enum UnreadableRequest {
    /// A later version of the program wrote it.
    #[error("a queued request has format {0}; this version reads format {PAYLOAD_FORMAT}")]
    Format(u8),
    /// Its bytes cannot be decoded.
    #[error("a queued request cannot be decoded: {0}")]
    Encoding(#[from] postcard::Error),
    /// The rules of its class have values that this version does not know.
    #[error("a queued request was accepted under rules that this version does not know")]
    Rules,
}

impl QueuedRequest {
    /// A request that was just accepted under the rules of its class.
    pub fn new(job: Job, rules: &Class) -> Self {
        QueuedRequest { format: PAYLOAD_FORMAT, job, rules: rules.into(), claims: ClaimHistory::default() }
    }

    /// Encodes it as a payload of the backlog.
    pub fn encode(&self) -> Bytes {
        postcard::to_stdvec(self).expect("requests have no unsized parts").into()
    }

    /// Decodes a payload of the backlog.
    ///
    /// # Errors
    /// It is not a request, or a later version of the program wrote it.
    pub fn decode(payload: &[u8]) -> Result<Self, UnreadableRequest> {
        match payload.first() {
            Some(&PAYLOAD_FORMAT) | None => {}
            Some(&format) => return Err(UnreadableRequest::Format(format)),
        }
        let request: QueuedRequest = postcard::from_bytes(payload)?;
        request.rules.class().ok_or(UnreadableRequest::Rules)?;
        Ok(request)
    }

    /// The rules of its class when it was accepted.
    pub fn rules(&self) -> Class {
        self.rules.class().unwrap_or_default()
    }

    /// How many claims were made.
    pub fn tries(&self) -> u32 {
        self.claims.tries
    }

    /// The first claim that may have run.
    pub fn unconfirmed_claim(&self) -> Option<RecordedClaim> {
        self.claims.unconfirmed_claim.clone()
    }

    /// Whether one of its claims may have run.
    pub fn may_have_run(&self) -> bool {
        self.claims.unconfirmed_claim.is_some()
    }
}

impl Journal {
    /// Records a request that was fetched from its place in the backlog; `None` if there is no room for it. Once this has
    /// succeeded, the request may be removed from the backlog.
    ///
    /// # Errors
    /// The file cannot be written; then the backlog still owns the request.
    pub fn record_fetched(&mut self, request: &QueuedRequest, place: Position) -> io::Result<Option<Key>> {
        let key = self.next;
        let mut frames = encode(&self.job_record(key, &request.job));
        frames.extend(encode(&Record::Rules(key, request.rules.clone())));
        frames.extend(encode(&Record::Fetched(key, place.into())));
        let frames = Bytes::from(frames);
        if !self.has_room(&frames) {
            return Ok(None);
        }
        let claims = request.claims.clone();
        let mut records = frames.to_vec();
        if claims.tries > 0 {
            records.extend(encode(&self.claims_record(key, &claims)));
        }
        self.append(&records)?;
        self.next += 1;
        self.add_live(key, frames, Some(request.rules()));
        self.update(key, |live| {
            live.claims = claims;
            live.place = Some(place);
        });
        Ok(Some(key))
    }

    /// A copy of an open request for the backlog, and its place there; `None` if it was not fetched from the backlog or has
    /// been removed.
    pub fn put_back_copy(&self, key: Key, job: &Job) -> Option<(QueuedRequest, Position)> {
        let live = self.live.get(&key)?;
        let mut request = QueuedRequest::new(job.clone(), live.rules.as_ref()?);
        request.claims = live.claims.clone();
        Some((request, live.place?))
    }
}

#[cfg(test)]
mod tests;
