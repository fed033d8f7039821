//! What two processes of the relay say to each other while one takes the other's place, and its form: four bytes that
//! name the protocol, the length and the CRC-32 of the text, and the text (postcard).
use serde::{Deserialize, Serialize};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::handover_state::{FinishedClaim, HandoverState, ListedNode};
use crate::job::{Answer, Job};

/// What both must speak; raised with any change of what follows `Hello`.
pub const VERSION: u32 = 1;
const MAGIC: [u8; 4] = *b"ogho";
/// A longer frame is none.
const LONGEST: usize = 16 * 1024 * 1024;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The newcomer's first word. It never changes its form.
    Hello {
        version: u32,
    },
    /// The owner's answer: it hands over when it is told to end.
    Welcome,
    /// Or it does not, and why.
    Refused(String),
    /// A part of the list, before the estate.
    Nodes(Vec<ListedNode>),
    /// The owner owns nothing any more but the claims that it has out.
    Yours(Box<HandoverState>),
    /// One of them has come home.
    Home(FinishedClaim),
    /// A job from a submitter who is still connected to the old process, and the answer.
    Ask(u64, Box<Job>),
    Told(u64, Answer),
}

impl Frame {
    pub fn encode(&self) -> Vec<u8> {
        let text = postcard::to_stdvec(self).expect("frames have no unsized parts");
        let mut bytes = Vec::with_capacity(text.len() + 12);
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&(text.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&text).to_le_bytes());
        bytes.extend_from_slice(&text);
        bytes
    }

    /// Reads one; an end within it, and what is not of this protocol, are faults.
    pub async fn read(from: &mut (impl AsyncRead + Unpin)) -> io::Result<Frame> {
        let bad = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what);
        let mut head = [0; 12];
        from.read_exact(&mut head).await?;
        let number = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let length = number(4) as usize;
        if head[..4] != MAGIC || length > LONGEST {
            return Err(bad("it does not speak this protocol"));
        }
        // Guards against a length that is only said: room is made for what comes.
        let mut text = Vec::new();
        from.take(length as u64).read_to_end(&mut text).await?;
        if text.len() < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if crc32fast::hash(&text) != number(8) {
            return Err(bad("a frame is damaged"));
        }
        postcard::from_bytes(&text).map_err(|e| bad(&e.to_string()))
    }
}

#[cfg(test)]
mod tests;
