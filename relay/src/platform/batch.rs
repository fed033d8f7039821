//! The form of a call with several messages, and of its answer. Knows bytes only.
use crate::core::BundledMessage;
use crate::job::Outcome;
use bytes::{BufMut, Bytes, BytesMut};
use std::collections::HashMap;
use std::time::Duration;

use super::KEY;

/// No body is larger than 64 KiB.
const LONGEST: usize = 64 * 1024;

/// The body, and how many of the messages are in it: those that fit, from the first on.
pub fn encode(parts: &[BundledMessage]) -> (Bytes, usize) {
    let mut body = BytesMut::new();
    for (count, part) in parts.iter().enumerate() {
        let key = part.fields.iter().find(|(name, _)| name == KEY).map_or(&b"-"[..], |(_, key)| key.as_ref());
        let size = part.body.len().to_string();
        let head = [part.id.as_bytes(), b" ", key, b" ", size.as_bytes(), b"\r\n"];
        let head = head.concat();
        if body.len() + head.len() + part.body.len() + 2 > LONGEST {
            return (body.freeze(), count);
        }
        body.put_slice(&head);
        body.put_slice(&part.body);
        body.put_slice(b"\r\n");
    }
    (body.freeze(), parts.len())
}

/// What became of each message, of an answer that said 200. One that does not name each of them, in a word that is one,
/// was cut off, and counts for nothing: whatever it says, a message is delivered only by a whole answer.
pub fn decode(answer: &[u8], parts: &[BundledMessage], wait: Option<Duration>) -> Vec<Outcome> {
    let text = String::from_utf8_lossy(answer);
    let mut ends = HashMap::new();
    for (id, end) in text.lines().filter_map(|line| line.trim_end().split_once(' ')) {
        // Guards against two ends for one message: then nobody knows. One that was not sent is passed over.
        let told = ends.entry(id).or_insert(end);
        *told = if *told == end { end } else { "error" };
    }
    let of = |part: &BundledMessage| {
        Some(match *ends.get(part.id.as_str())? {
            "ok" => Outcome::Delivered,
            "error" => Outcome::Error,
            "later" => Outcome::Full { wait },
            "gone" => Outcome::Over,
            "exhausted" => Outcome::NotSent,
            _ => return None,
        })
    };
    let all = parts.iter().map(of).collect::<Option<_>>().filter(|_| text.ends_with('\n'));
    all.unwrap_or_else(|| vec![Outcome::Error; parts.len()])
}

#[cfg(test)]
mod tests;
