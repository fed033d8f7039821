//! Messages between two processes of the relay during a handover, and their encoding: four magic bytes that identify the
//! protocol, the length and the CRC-32 of the payload, and the payload (postcard).
use serde::{Deserialize, Serialize};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::handover_state::{FinishedClaim, HandoverState, ListedNode};
use crate::job::{Answer, Job};

/// The protocol version, which both processes must share; raised with any change to what follows `Hello`.
pub const VERSION: u32 = 1;
const MAGIC: [u8; 4] = *b"ogho";
/// A frame that announces a longer payload is rejected.
const MAX_PAYLOAD: usize = 16 * 1024 * 1024;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The successor's first message. Its encoding never changes.
    Hello { version: u32 },
    /// The predecessor's reply: it hands over when it receives SIGTERM.
    Welcome,
    /// The predecessor's other reply: it does not hand over, for this reason.
    Refused(String),
    /// A part of the list of execute nodes, sent before the rest of the state.
    Nodes(Vec<ListedNode>),
    /// Completes the handover: the predecessor keeps nothing but its claims in flight.
    HandOver(Box<HandoverState>),
    /// One of those claims has completed.
    ClaimFinished(FinishedClaim),
    /// Forwards a job from a submitter who is still connected to the predecessor; the number identifies the answer.
    Admit(u64, Box<Job>),
    /// The successor's answer to a forwarded job.
    Answered(u64, Answer),
}

impl Frame {
    pub fn encode(&self) -> Vec<u8> {
        let payload = postcard::to_stdvec(self).expect("frames have no unsized parts");
        let mut bytes = Vec::with_capacity(payload.len() + 12);
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
        bytes.extend_from_slice(&payload);
        bytes
    }

    /// Reads one frame. A frame that is cut short, damaged, or of another protocol is an error.
    pub async fn read(from: &mut (impl AsyncRead + Unpin)) -> io::Result<Frame> {
        let invalid = |reason: &str| io::Error::new(io::ErrorKind::InvalidData, reason);
        let mut header = [0; 12];
        from.read_exact(&mut header).await?;
        let number =
            |at: usize| u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
        let length = number(4) as usize;
        if header[..4] != MAGIC || length > MAX_PAYLOAD {
            return Err(invalid("the peer does not speak this protocol"));
        }
        // Memory is allocated for the bytes received, not for the announced length.
        let mut payload = Vec::new();
        from.take(length as u64).read_to_end(&mut payload).await?;
        if payload.len() < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if crc32fast::hash(&payload) != number(8) {
            return Err(invalid("a frame's checksum does not match its payload"));
        }
        postcard::from_bytes(&payload).map_err(|e| invalid(&e.to_string()))
    }
}

#[cfg(test)]
mod tests;
