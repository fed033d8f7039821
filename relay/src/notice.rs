//! The wire format of notices: one JSON object per line.
use serde::Serialize;

use crate::job::{Notice, NoticeEnd};

#[derive(Serialize)]
struct Line<'a> {
    id: &'a str,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    after_ms: Option<u64>,
    /// The status with which a gateway rejected the message permanently; the platform's nodes never do that.
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
}

/// Encodes a notice as a line of JSON.
pub fn encode(notice: &Notice) -> Vec<u8> {
    let (state, after, status) = match notice.end {
        NoticeEnd::Failed { status } => ("failed", None, status),
        NoticeEnd::Returned { after } => ("returned", after, None),
        NoticeEnd::Replaced => ("replaced", None, None),
    };
    let line = Line { id: &notice.id, state, after_ms: after.map(|a| a.as_millis() as u64), status };
    let mut text = serde_json::to_vec(&line).expect("strings and numbers");
    text.push(b'\n');
    text
}
