//! Encodes calls that carry several messages, and decodes their responses.
use crate::core::BundledMessage;
use crate::job::Outcome;
use bytes::{BufMut, Bytes, BytesMut};
use std::collections::HashMap;
use std::time::Duration;

use super::IDEMPOTENCY_KEY;

/// Largest request body: 64 KiB.
const MAX_BODY: usize = 64 * 1024;

/// Returns the request body, and how many of the messages it contains: as many as fit, from the first one on.
pub fn encode(parts: &[BundledMessage]) -> (Bytes, usize) {
    let mut body = BytesMut::new();
    for (count, part) in parts.iter().enumerate() {
        let key = part
            .fields
            .iter()
            .find(|(name, _)| name == IDEMPOTENCY_KEY)
            .map_or(&b"-"[..], |(_, key)| key.as_ref());
        let size = part.body.len().to_string();
        let head = [part.id.as_bytes(), b" ", key, b" ", size.as_bytes(), b"\r\n"];
        let head = head.concat();
        if body.len() + head.len() + part.body.len() + 2 > MAX_BODY {
            return (body.freeze(), count);
        }
        body.put_slice(&head);
        body.put_slice(&part.body);
        body.put_slice(b"\r\n");
    }
    (body.freeze(), parts.len())
}

/// Returns the outcome of each message from the body of a response with status 200. A body that does not name a known outcome for
/// every message is taken as truncated and ignored: a message counts as delivered only by a complete response.
pub fn decode(answer: &[u8], parts: &[BundledMessage], wait: Option<Duration>) -> Vec<Outcome> {
    let text = String::from_utf8_lossy(answer);
    let mut results = HashMap::new();
    for (id, result) in text.lines().filter_map(|line| line.trim_end().split_once(' ')) {
        // Guards against two different results for one message: its outcome is unknown then. Messages that were not sent are ignored.
        let known = results.entry(id).or_insert(result);
        *known = if *known == result { result } else { "error" };
    }
    let outcome = |part: &BundledMessage| {
        Some(match *results.get(part.id.as_str())? {
            "ok" => Outcome::Delivered,
            "error" => Outcome::Error,
            "later" => Outcome::Full { wait },
            "gone" => Outcome::Over,
            "exhausted" => Outcome::NotSent,
            _ => return None,
        })
    };
    let all = parts.iter().map(outcome).collect::<Option<_>>().filter(|_| text.ends_with('\n'));
    all.unwrap_or_else(|| vec![Outcome::Error; parts.len()])
}

#[cfg(test)]
mod tests;
