//! Requests that pass between the journal and the backlog on disk.
//!
//! A request has one owner at each moment. It enters the backlog as a [`QueuedRequest`], opaque to the store. When it is
//! fetched, the journal records it together with its place there; only then is it removed from the backlog. Where a
//! crash comes in between, the place tells at the next start which copy is to be removed. Putting a request back goes
//! the other way: the backlog has it again, at the same place, before the journal ends it.
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::io;
use thiserror::Error;

use onyxglade_backlog::message::Position;
use slatethread::Class;

use super::{Claims, Journal, Key, MayHaveRun, Record, TakenUnder, encode};
use crate::job::Job;

/// The form of what is written here; a later one is not read.
const PAYLOAD_FORMAT: u8 = 1;

/// A request as it waits in the backlog, with all that a request in the journal has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueuedRequest {
    format: u8,
    /// The request itself.
    pub job: Job,
    rules: TakenUnder,
    claims: Claims,
}

/// A payload of the backlog that is no request.
#[derive(Debug, Error)]
pub enum UnreadableRequest {
    /// A later program wrote it.
    #[error("a queued request has format {0}, and this program reads format {PAYLOAD_FORMAT}")]
    Format(u8),
    /// Its bytes are not a request.
    #[error("a queued request cannot be decoded: {0}")]
    Encoding(#[from] postcard::Error),
    /// Its class has rules that this program does not know.
    #[error("a queued request was taken on under rules that are unknown here")]
    Rules,
}

impl QueuedRequest {
    /// A request that was just taken on under the rules of its class.
    pub fn new(job: Job, rules: &Class) -> Self {
        QueuedRequest { format: PAYLOAD_FORMAT, job, rules: rules.into(), claims: Claims::default() }
    }

    /// Encodes it as a payload of the backlog.
    pub fn encode(&self) -> Bytes {
        postcard::to_stdvec(self).expect("requests have no unsized parts").into()
    }

    /// Decodes a payload of the backlog.
    ///
    /// # Errors
    /// When it is not one, or a later program wrote it.
    pub fn decode(payload: &[u8]) -> Result<Self, UnreadableRequest> {
        match payload.first() {
            Some(&PAYLOAD_FORMAT) | None => {}
            Some(&format) => return Err(UnreadableRequest::Format(format)),
        }
        let request: QueuedRequest = postcard::from_bytes(payload)?;
        request.rules.class().ok_or(UnreadableRequest::Rules)?;
        Ok(request)
    }

    /// The rules of its class under which it was taken on.
    pub fn rules(&self) -> Class {
        self.rules.class().unwrap_or_default()
    }

    /// How many attempts there were.
    pub fn tries(&self) -> u32 {
        self.claims.tries
    }

    /// The first attempt that may have run.
    pub fn risk(&self) -> Option<MayHaveRun> {
        self.claims.risk.clone()
    }

    /// Whether one of its attempts may have run.
    pub fn may_have_run(&self) -> bool {
        self.claims.risk.is_some()
    }
}

impl Journal {
    /// Records a request that was fetched from its place in the backlog; `None` if there is no room for it. From the
    /// return of this on it may be removed there.
    ///
    /// # Errors
    /// When the file cannot be written; then the request is still the backlog's.
    pub fn fetched(&mut self, request: &QueuedRequest, place: Position) -> io::Result<Option<Key>> {
        let key = self.next;
        let mut frame = encode(&self.job_record(key, &request.job));
        frame.extend(encode(&Record::Rules(key, request.rules.clone())));
        frame.extend(encode(&Record::Fetched(key, place.into())));
        let frame = Bytes::from(frame);
        if !self.has_room(&frame) {
            return Ok(None);
        }
        let claims = request.claims.clone();
        let mut records = frame.to_vec();
        if claims.tries > 0 {
            records.extend(encode(&self.claims_record(key, &claims)));
        }
        self.append(&records)?;
        self.next += 1;
        self.add_live(key, frame, Some(request.rules()));
        self.with(key, |live| {
            live.claims = claims;
            live.place = Some(place);
        });
        Ok(Some(key))
    }

    /// An open request as the backlog is to have it again, and its place there; `None` if it did not come from there
    /// or has ended.
    pub fn to_put_back(&self, key: Key, job: &Job) -> Option<(QueuedRequest, Position)> {
        let live = self.live.get(&key)?;
        let mut request = QueuedRequest::new(job.clone(), live.rules.as_ref()?);
        request.claims = live.claims.clone();
        Some((request, live.place?))
    }
}

#[cfg(test)]
mod tests;
