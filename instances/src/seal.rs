//! Authenticated frames: a keyed tag and a counter, so that frames of strangers and replayed frames are rejected.
//!
//! A frame is: version (1 byte), the sender's number (8, drawn at random by each process), the time of sending (8, Unix milliseconds),
//! a counter (8), the payload, and the first 16 bytes of HMAC-SHA256 over all that. Numbers are big-endian. There is one shared key,
//! no handshake and no encryption: whoever has the key is trusted, and whoever can listen can read.
use ring::hmac;
use std::collections::HashMap;
use std::time::Duration;

use crate::At;

const VERSION: u8 = 1;
const HEADER_BYTES: usize = 1 + 8 + 8 + 8;
const TAG_BYTES: usize = 16;
/// Shortest key, in bytes.
const MIN_KEY_BYTES: usize = 32;
/// Greatest accepted difference between the sender's clock and this one. Guards against replayed frames of processes that ended
/// long ago and whose counters are forgotten.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(120);
/// Most senders tracked at once. Only holders of the key can add one; at the limit a new sender is refused rather than a tracked
/// one forgotten.
const MAX_SENDERS: usize = 4096;
/// Width of the replay window: how far behind the highest counter a frame may arrive.
const WINDOW: u64 = 64;

/// The shared key.
#[derive(Clone)]
pub struct Key(hmac::Key);

/// Why a key is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// It has fewer than 32 bytes; the value is its length.
    TooShort(usize),
}

impl std::fmt::Display for KeyError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let KeyError::TooShort(length) = self;
        write!(f, "a key needs at least {MIN_KEY_BYTES} bytes, this one has {length}")
    }
}

impl Key {
    /// Reads a key from a file's contents; surrounding white space is ignored.
    pub fn read(text: &[u8]) -> Result<Key, KeyError> {
        let text = text.trim_ascii();
        match text.len() {
            0..MIN_KEY_BYTES => Err(KeyError::TooShort(text.len())),
            _ => Ok(Key(hmac::Key::new(hmac::HMAC_SHA256, text))),
        }
    }
}

/// Why a frame is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// It is too short or has an unknown version.
    Malformed,
    /// Its tag does not match the key.
    WrongTag,
    /// Its time of sending is too far in the past or in the future by this machine's clock.
    ClockSkew,
    /// It was received before, or its counter is too old to tell.
    Replay,
    /// Too many senders are tracked already.
    TooManySenders,
}

/// Seals the frames of one process and opens those of others, rejecting replays.
pub struct FrameAuthenticator {
    key: Key,
    sender: u64,
    counter: u64,
    senders: HashMap<u64, ReplayWindow>,
}

/// The replay window of one sender.
struct ReplayWindow {
    highest: u64,
    /// Bit n: the counter `highest - 1 - n` was received.
    received: u64,
    last_at: At,
}

impl FrameAuthenticator {
    /// Frames under a key, from a sender number that no other process has.
    pub fn new(key: Key, sender: u64) -> Self {
        FrameAuthenticator { key, sender, counter: 0, senders: HashMap::new() }
    }

    /// Makes a frame of a payload, to be sent now by the wall clock.
    pub fn seal(&mut self, payload: &[u8], unix: Duration) -> Vec<u8> {
        self.counter += 1;
        let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len() + TAG_BYTES);
        frame.push(VERSION);
        frame.extend_from_slice(&self.sender.to_be_bytes());
        frame.extend_from_slice(&(unix.as_millis() as u64).to_be_bytes());
        frame.extend_from_slice(&self.counter.to_be_bytes());
        frame.extend_from_slice(payload);
        let tag = hmac::sign(&self.key.0, &frame);
        frame.extend_from_slice(&tag.as_ref()[..TAG_BYTES]);
        frame
    }

    /// Verifies a frame received now, by the monotonic and the wall clock, and returns its payload.
    pub fn open<'a>(&mut self, frame: &'a [u8], now: At, unix: Duration) -> Result<&'a [u8], FrameError> {
        if frame.len() < HEADER_BYTES + TAG_BYTES || frame[0] != VERSION {
            return Err(FrameError::Malformed);
        }
        let (body, tag) = frame.split_at(frame.len() - TAG_BYTES);
        let expected = hmac::sign(&self.key.0, body);
        // Compares in constant time: all bytes, whatever they are.
        let differs =
            expected.as_ref()[..TAG_BYTES].iter().zip(tag).fold(0, |differs, (a, b)| differs | (a ^ b));
        if differs != 0 {
            return Err(FrameError::WrongTag);
        }
        let number =
            |offset: usize| u64::from_be_bytes(body[offset..offset + 8].try_into().expect("eight bytes"));
        let (sender, sent, counter) = (number(1), Duration::from_millis(number(9)), number(17));
        if sent.abs_diff(unix) > MAX_CLOCK_SKEW {
            return Err(FrameError::ClockSkew);
        }
        self.record(sender, counter, now)?;
        Ok(&body[HEADER_BYTES..])
    }

    /// Records a frame's counter. Each frame is accepted once; a sender is tracked for as long as its frames' times are accepted.
    fn record(&mut self, sender: u64, counter: u64, now: At) -> Result<(), FrameError> {
        if !self.senders.contains_key(&sender) && self.senders.len() >= MAX_SENDERS {
            self.senders.retain(|_, window| now < window.last_at + 2 * MAX_CLOCK_SKEW);
            if self.senders.len() >= MAX_SENDERS {
                return Err(FrameError::TooManySenders);
            }
        }
        let window =
            self.senders.entry(sender).or_insert(ReplayWindow { highest: 0, received: 0, last_at: now });
        if counter > window.highest {
            let ahead = counter - window.highest;
            // The former highest counter moves into the bitmap.
            let shifted =
                u32::try_from(ahead).ok().and_then(|ahead| window.received.checked_shl(ahead)).unwrap_or(0);
            window.received = shifted | if ahead <= WINDOW { 1 << (ahead - 1) } else { 0 };
            window.highest = counter;
        } else {
            let behind = window.highest - counter;
            if behind == 0 || behind > WINDOW || window.received & (1 << (behind - 1)) != 0 {
                return Err(FrameError::Replay);
            }
            window.received |= 1 << (behind - 1);
        }
        window.last_at = now;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
