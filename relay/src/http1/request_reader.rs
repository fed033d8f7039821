//! Reads requests from a client's connection, one at a time, and charges what they take.
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::CONTENT_LENGTH;
use actix_http::{HttpMessage, Request};
use bytes::{Bytes, BytesMut};
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_util::codec::Decoder;

use super::{ConnectionError, Http1Limits};
use crate::connection_limiter::{CloseReason, TrackedStream};
use crate::memory_budget::{Holder, MemoryBudget, MemoryCharge};

/// How much is read at once, and the size of the buffer while a request is read. Not charged: each connection has this share.
const READ_BUFFER: usize = 4 * 1024;
/// Bodies up to this size are not charged while they are read, so that ordinary requests never wait for memory.
const SMALL_BODY: usize = 2 * 1024;
/// What a connection takes at most without a charge, in bytes: the two shares above, its task and its buffer for a response.
pub const CONNECTION_BYTES: usize = READ_BUFFER + SMALL_BODY + 6 * 1024;

/// What a message takes beside its body, in bytes: its task, its ids, and what the decision module knows of it.
pub const MESSAGE_BYTES: usize = 8 * 1024;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What comes next on a connection.
pub(super) enum Incoming {
    /// A request whose head was read.
    Request(Request),
    /// The connection has ended, between requests or within a head.
    Ended,
    /// The request was given up to free memory.
    NoMemory,
}

/// Why a body was not read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    TooLarge,
    /// It cannot be parsed.
    Invalid,
    /// The connection has ended, or was closed from this side, before the last byte.
    Incomplete,
    /// The request was given up to free memory.
    NoMemory,
}

/// Reads the requests of a connection.
pub(super) struct RequestReader {
    stream: TrackedStream,
    codec: Codec,
    limits: Http1Limits,
    memory: MemoryBudget,
    buffer: BytesMut,
    /// For what a large head takes in the buffer.
    head_charge: MemoryCharge,
    /// The size of the current request's body, if its head says one.
    declared: Option<u64>,
    has_body: bool,
    /// Something of the next request had arrived when the last response was written.
    sent_ahead: bool,
}

impl RequestReader {
    pub fn new(stream: TrackedStream, codec: Codec, limits: Http1Limits, memory: MemoryBudget) -> Self {
        let head_charge = memory.charge(Holder::Requests);
        RequestReader {
            stream,
            codec,
            limits,
            memory,
            buffer: BytesMut::new(),
            head_charge,
            declared: None,
            has_body: false,
            sent_ahead: false,
        }
    }

    pub fn stream(&mut self) -> &mut TrackedStream {
        &mut self.stream
    }

    pub fn into_stream(self) -> TrackedStream {
        self.stream
    }

    pub fn codec(&mut self) -> &mut Codec {
        &mut self.codec
    }

    /// To be called when a response is about to be written.
    pub fn response_begins(&mut self) {
        self.sent_ahead = !self.buffer.is_empty() || self.stream.has_unread();
        if self.buffer.is_empty() {
            self.release_buffer();
        }
    }

    /// Whether the client sent something of the next request before it could have read the last response.
    pub fn next_was_sent_ahead(&self) -> bool {
        self.sent_ahead
    }

    /// Whether the client sent the current request ahead and has closed its side: it has read no response to an earlier one, and this
    /// request may come again.
    pub fn is_abandoned(&self) -> bool {
        self.sent_ahead && self.stream.is_read_closed()
    }

    /// Reads the head of the next request.
    ///
    /// # Errors
    /// The head is too large or cannot be parsed, or the connection is broken.
    pub async fn next_request(&mut self) -> Result<Incoming, ConnectionError> {
        if !self.buffer.is_empty() {
            self.stream.state().bytes_received();
        }
        loop {
            if !self.buffer.is_empty() {
                match self.codec.decode(&mut self.buffer)? {
                    Some(Message::Item(request)) => return Ok(Incoming::Request(request)),
                    Some(Message::Chunk(_)) => return Err(ParseError::Incomplete.into()),
                    None if self.buffer.len() >= self.limits.head => return Err(ParseError::TooLarge.into()),
                    None => {}
                }
            }
            if self.buffer.len() >= READ_BUFFER && self.head_charge.bytes() == 0 {
                let growth = self.limits.head.saturating_sub(READ_BUFFER);
                if !charge(&self.stream, &mut self.head_charge, growth).await {
                    return Ok(Incoming::NoMemory);
                }
                self.buffer.reserve(self.limits.head - self.buffer.len());
            }
            if self.fill().await? == 0 {
                return Ok(if was_given_up(&self.stream) { Incoming::NoMemory } else { Incoming::Ended });
            }
        }
    }

    /// Prepares for the body of a request, whose head is dropped.
    ///
    /// # Errors
    /// The connection is broken.
    pub async fn begin_body(&mut self, request: Request) -> Result<(), ConnectionError> {
        self.has_body = self.codec.message_type() != MessageType::None;
        let length = request.headers().get(CONTENT_LENGTH);
        self.declared = length.and_then(|value| value.to_str().ok()?.trim().parse().ok());
        let expects_continue = self.has_body && !self.is_declared_too_large() && request.head().expect();
        drop(request);
        if expects_continue {
            self.stream.write_all(CONTINUE).await?;
        }
        Ok(())
    }

    fn is_declared_too_large(&self) -> bool {
        self.declared.is_some_and(|declared| declared > self.limits.body as u64)
    }

    /// Reads the body of the current request to its end; if it is not wanted, nothing of it is kept.
    ///
    /// # Errors
    /// The connection is broken. The inner error says why the body is not whole.
    pub async fn read_body(&mut self, wanted: bool) -> Result<Result<Bytes, BodyError>, ConnectionError> {
        if self.is_declared_too_large() {
            return Ok(Err(BodyError::TooLarge));
        }
        let mut body = BodyBuffer::new(self.memory.charge(Holder::Requests), self.declared);
        let mut length = 0;
        while self.has_body {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Chunk(Some(chunk)))) => {
                    length += chunk.len();
                    if length > self.limits.body {
                        return Ok(Err(BodyError::TooLarge));
                    }
                    if wanted && !body.append(&self.stream, &chunk).await {
                        return Ok(Err(BodyError::NoMemory));
                    }
                }
                Ok(Some(Message::Chunk(None))) => break,
                Ok(Some(Message::Item(_))) | Err(_) => return Ok(Err(BodyError::Invalid)),
                Ok(None) => match self.fill().await? {
                    0 if was_given_up(&self.stream) => return Ok(Err(BodyError::NoMemory)),
                    0 => return Ok(Err(BodyError::Incomplete)),
                    _ => {}
                },
            }
        }
        if self.buffer.is_empty() {
            self.release_buffer();
        }
        Ok(Ok(if wanted { body.finish() } else { Bytes::new() }))
    }

    /// Reads more into the buffer, which is allocated only once there is something to read. Returns 0 at the end of the connection,
    /// and once the request was given up.
    async fn fill(&mut self) -> io::Result<usize> {
        if self.buffer.is_empty() {
            self.release_buffer();
            self.stream.readable().await?;
        }
        if was_given_up(&self.stream) {
            return Ok(0);
        }
        if self.buffer.capacity() == self.buffer.len() {
            self.buffer.reserve(READ_BUFFER);
        }
        self.stream.read_buf(&mut self.buffer).await
    }

    fn release_buffer(&mut self) {
        self.buffer = BytesMut::new();
        self.head_charge = self.memory.charge(Holder::Requests);
    }
}

/// Whether the connection was closed from this side to free memory.
fn was_given_up(stream: &TrackedStream) -> bool {
    stream.state().was_closed_for(CloseReason::NoMemory)
}

/// Charges bytes once there is room; false if the connection is closed from this side before.
async fn charge(stream: &TrackedStream, charge: &mut MemoryCharge, bytes: usize) -> bool {
    let charged = tokio::select! {
        biased;
        () = charge.grow_when_possible(bytes) => true,
        () = stream.closed_from_this_side() => false,
    };
    if charged {
        stream.state().memory_charged();
    }
    charged
}

/// A body as far as it was read.
struct BodyBuffer {
    bytes: Vec<u8>,
    charge: MemoryCharge,
    declared: usize,
}

impl BodyBuffer {
    fn new(charge: MemoryCharge, declared: Option<u64>) -> BodyBuffer {
        let declared = declared.and_then(|declared| usize::try_from(declared).ok()).unwrap_or(0);
        BodyBuffer { bytes: Vec::new(), charge, declared }
    }

    /// Appends bytes once there is memory for them; false if the request is given up before.
    async fn append(&mut self, stream: &TrackedStream, chunk: &[u8]) -> bool {
        let length = self.bytes.len() + chunk.len();
        if length > self.bytes.capacity() {
            // Doubled, but no more than the head announces.
            let doubled = (2 * self.bytes.capacity()).max(SMALL_BODY);
            let capacity = if self.declared >= length { doubled.min(self.declared) } else { doubled };
            let capacity = capacity.max(length);
            let uncharged = capacity.saturating_sub(SMALL_BODY).saturating_sub(self.charge.bytes());
            if uncharged > 0 && !charge(stream, &mut self.charge, uncharged).await {
                return false;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(chunk);
        true
    }

    /// The whole body, which is charged to the message from now on.
    fn finish(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        let uncharged = self.bytes.len().saturating_sub(self.charge.bytes());
        let mut charge = self.charge.transfer(Holder::Messages);
        charge.grow(uncharged + MESSAGE_BYTES);
        charge.hold(self.bytes)
    }
}
