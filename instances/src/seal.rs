//! Frames with a keyed tag and a counter, so that a stranger and a replay change nothing.
//!
//! A frame is: version (1 byte), the sender's number (8, drawn anew with each process), the time of sending (8, Unix milliseconds), a
//! counter (8), the payload, and the first 16 bytes of HMAC-SHA256 over all that. Numbers are big-endian. One shared key, no
//! sign-in, no secrecy: whoever has the key is believed, and whoever listens can read.
use ring::hmac;
use std::collections::HashMap;
use std::time::Duration;

use crate::At;

const VERSION: u8 = 1;
const HEAD: usize = 1 + 8 + 8 + 8;
const TAG: usize = 16;
/// Shortest key, in bytes.
const SHORTEST_KEY: usize = 32;
/// Clocks may differ by so much. Guards against frames of processes that are long gone, which nobody remembers.
const SKEW: Duration = Duration::from_secs(120);
/// Senders that are remembered. Only who has the key can add to them; one more is refused, not another forgotten.
const SENDERS: usize = 4096;
/// Frames that may overtake each other.
const WINDOW: u64 = 64;

/// The shared key.
#[derive(Clone)]
pub struct Key(hmac::Key);

/// Why a key is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyFault {
    /// It has fewer than 32 bytes.
    TooShort(usize),
}

impl std::fmt::Display for KeyFault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let KeyFault::TooShort(had) = self;
        write!(f, "a key needs at least {SHORTEST_KEY} bytes, this one has {had}")
    }
}

impl Key {
    /// The key that a file holds; white space round it does not count.
    pub fn read(text: &[u8]) -> Result<Key, KeyFault> {
        let text = text.trim_ascii();
        match text.len() {
            0..SHORTEST_KEY => Err(KeyFault::TooShort(text.len())),
            _ => Ok(Key(hmac::Key::new(hmac::HMAC_SHA256, text))),
        }
    }
}

/// Why a frame is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// It is no frame of ours, or of another version.
    Malformed,
    /// Its tag is not the key's.
    WrongTag,
    /// It was sent too long ago, or in the future, by this machine's clock.
    ClockSkew,
    /// It came before.
    Replay,
    /// There are too many senders already.
    TooManySenders,
}

/// Frames of one process, and what it remembers of others'.
pub struct FrameAuthenticator {
    key: Key,
    sender: u64,
    counter: u64,
    senders: HashMap<u64, Heard>,
}

/// What came of one sender.
struct Heard {
    /// The highest counter, and which of those before it came.
    highest: u64,
    before: u64,
    last: At,
}

impl FrameAuthenticator {
    /// Frames under a key, by a sender whose number nobody else has.
    pub fn new(key: Key, sender: u64) -> Self {
        FrameAuthenticator { key, sender, counter: 0, senders: HashMap::new() }
    }

    /// A frame with a payload, sent at a time of the wall clock.
    pub fn seal(&mut self, payload: &[u8], unix: Duration) -> Vec<u8> {
        self.counter += 1;
        let mut frame = Vec::with_capacity(HEAD + payload.len() + TAG);
        frame.push(VERSION);
        frame.extend_from_slice(&self.sender.to_be_bytes());
        frame.extend_from_slice(&(unix.as_millis() as u64).to_be_bytes());
        frame.extend_from_slice(&self.counter.to_be_bytes());
        frame.extend_from_slice(payload);
        let tag = hmac::sign(&self.key.0, &frame);
        frame.extend_from_slice(&tag.as_ref()[..TAG]);
        frame
    }

    /// The payload of a frame that came at a time of this machine's clocks.
    pub fn open<'a>(&mut self, frame: &'a [u8], now: At, unix: Duration) -> Result<&'a [u8], FrameError> {
        if frame.len() < HEAD + TAG || frame[0] != VERSION {
            return Err(FrameError::Malformed);
        }
        let (body, tag) = frame.split_at(frame.len() - TAG);
        let whole = hmac::sign(&self.key.0, body);
        // Whoever times this learns nothing: comparing is over all bytes, whatever they are.
        let differs = whole.as_ref()[..TAG].iter().zip(tag).fold(0, |differs, (a, b)| differs | (a ^ b));
        if differs != 0 {
            return Err(FrameError::WrongTag);
        }
        let number = |at: usize| u64::from_be_bytes(body[at..at + 8].try_into().expect("eight bytes"));
        let (sender, sent, counter) = (number(1), Duration::from_millis(number(9)), number(17));
        if sent.abs_diff(unix) > SKEW {
            return Err(FrameError::ClockSkew);
        }
        self.heard(sender, counter, now)?;
        Ok(&body[HEAD..])
    }

    /// Books a frame; each is taken once, as long as its time would let it pass.
    fn heard(&mut self, sender: u64, counter: u64, now: At) -> Result<(), FrameError> {
        if !self.senders.contains_key(&sender) && self.senders.len() >= SENDERS {
            self.senders.retain(|_, heard| now < heard.last + 2 * SKEW);
            if self.senders.len() >= SENDERS {
                return Err(FrameError::TooManySenders);
            }
        }
        let heard = self.senders.entry(sender).or_insert(Heard { highest: 0, before: 0, last: now });
        if counter > heard.highest {
            let on = counter - heard.highest;
            // The highest so far is one of those before, from here on.
            let shifted = u32::try_from(on).ok().and_then(|on| heard.before.checked_shl(on)).unwrap_or(0);
            heard.before = shifted | if on <= WINDOW { 1 << (on - 1) } else { 0 };
            heard.highest = counter;
        } else {
            let back = heard.highest - counter;
            if back == 0 || back > WINDOW || heard.before & (1 << (back - 1)) != 0 {
                return Err(FrameError::Replay);
            }
            heard.before |= 1 << (back - 1);
        }
        heard.last = now;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
