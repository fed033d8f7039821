//! What was received of the response to one call: its status, how much of it was forwarded to the HTTP client, and whether exactly one
//! head and its body were received. It knows neither sockets nor the HTTP client.
use super::chunks::ChunkScanner;
use std::cmp::Ordering;

/// How many bytes of 1xx responses are skipped, and how many are buffered while waiting for the end of a status line.
pub(super) const MAX_PRELUDE: usize = 16 * 1024;

/// Longest head of a final response, in bytes. awc would keep up to 128 KiB of one that does not end.
pub(super) const MAX_HEAD: usize = 16 * 1024;

/// How the end of a response body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    Sized(u64),
    Chunked,
    /// By the end of the connection, or not known.
    Other,
}

/// How much of a response was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Extent {
    /// Less than one response, or one whose end is not known.
    Incomplete,
    /// Exactly one head and its body.
    Exact,
    /// Bytes followed the response.
    Surplus,
}

/// Tracks what was received of one response.
#[derive(Default)]
pub(super) struct ResponseTracker {
    /// Bytes that were received and not forwarded to awc yet: 1xx responses and the beginning of a status line.
    pub(super) prelude: Vec<u8>,
    /// The number of bytes of 1xx responses that were skipped.
    skipped: usize,
    /// The status of the final response; 0 if its status line is invalid.
    pub(super) status: Option<u16>,
    /// The numbers of bytes received and of bytes forwarded to awc.
    pub(super) received: usize,
    forwarded: u64,
    /// The length of the head, once it was forwarded.
    head_len: Option<u64>,
    /// How many bytes of the end of a head (CR LF CR LF) were forwarded last.
    head_end_matched: usize,
    /// The bytes after the head, scanned as chunks.
    chunks: ChunkScanner,
}

impl ResponseTracker {
    /// Processes bytes up to the status line of the final response. Skips 1xx responses, up to a limit, since awc would take them for the
    /// final one.
    pub(super) fn receive_start(&mut self, part: &[u8], ended: bool) {
        self.received += part.len();
        self.prelude.extend_from_slice(part);
        loop {
            let text = &self.prelude[..];
            // An incomplete status line does not count: the node may not regard it as a response either.
            let status = match text.contains(&b'\n') {
                true => text.get(..13).and_then(parse_status).unwrap_or(0),
                false if ended || text.len() > MAX_PRELUDE => 0,
                false => return,
            };
            if !(100..200).contains(&status) || status == 101 || self.skipped > MAX_PRELUDE {
                self.status = Some(status);
                return;
            }
            match text.windows(4).position(|end| end == b"\r\n\r\n") {
                Some(end) => {
                    self.skipped += end + 4;
                    self.prelude.drain(..end + 4);
                }
                None if ended || text.len() > MAX_PRELUDE => {
                    self.status = Some(0);
                    return;
                }
                None => return,
            }
        }
    }

    /// Whether more of a head was forwarded than any node sends.
    pub(super) fn head_is_too_long(&self) -> bool {
        self.head_len.is_none() && self.forwarded > MAX_HEAD as u64
    }

    /// Counts bytes that are forwarded to awc.
    pub(super) fn count_forwarded(&mut self, part: &[u8]) {
        for (i, byte) in part.iter().enumerate() {
            if self.head_len.is_some() {
                self.chunks.advance(&part[i..]);
                break;
            }
            self.head_end_matched = match (byte, self.head_end_matched) {
                (b'\r', 0 | 2) | (b'\n', 1 | 3) => self.head_end_matched + 1,
                (b'\r', _) => 1,
                _ => 0,
            };
            if self.head_end_matched == 4 {
                self.head_len = Some(self.forwarded + i as u64 + 1);
            }
        }
        self.forwarded += part.len() as u64;
    }

    /// How much was received of the response. Its body was read to the end, or to the end of the connection.
    pub(super) fn extent(&self, framing: BodyFraming) -> Extent {
        let Some(head_len) = self.head_len.filter(|_| self.status.is_some_and(|status| status >= 200)) else {
            return Extent::Incomplete;
        };
        let received = match framing {
            BodyFraming::Sized(size) => self.forwarded.cmp(&head_len.saturating_add(size)),
            BodyFraming::Chunked => match self.chunks {
                ChunkScanner::End => Ordering::Equal,
                ChunkScanner::Invalid => Ordering::Greater,
                _ => Ordering::Less,
            },
            BodyFraming::Other => Ordering::Less,
        };
        match received {
            Ordering::Less => Extent::Incomplete,
            Ordering::Equal if self.prelude.is_empty() => Extent::Exact,
            _ => Extent::Surplus,
        }
    }
}

/// Parses the status in the first bytes of a status line.
fn parse_status(line: &[u8]) -> Option<u16> {
    let rest = line.strip_prefix(b"HTTP/1.")?;
    let (minor, rest) = rest.split_first()?;
    let digits = rest.strip_prefix(b" ")?.get(..3)?;
    let terminated = matches!(rest.get(4), Some(b' ' | b'\r' | b'\n'));
    let valid = minor.is_ascii_digit() && terminated && digits.iter().all(u8::is_ascii_digit);
    valid.then(|| digits.iter().fold(0, |n, d| n * 10 + u16::from(d - b'0')))
}
