//! HTTP/1.1 connections of clients: requests are read with the codec of actix-http, one at a time.
//!
//! Nothing more is read or decoded while a request waits for its response or a response to be written, so what a client sends ahead
//! stays in the kernel, whose buffer then pushes back. Between requests that were sent ahead other connections have their turn. A head
//! is dropped before its body is read; what a request takes beyond a small share that each connection has is charged to the
//! [`MemoryBudget`], and waits until there is room.
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message};
use actix_http::header::RETRY_AFTER;
use actix_http::{
    ConnectionType, KeepAlive, Request, Response, ServiceConfig, ServiceConfigBuilder, StatusCode,
};
use actix_service::fn_service;
use bytes::{Bytes, BytesMut};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::yield_now;
use tokio_util::codec::Encoder;

use crate::connection_limiter::{self, ConnectionLimiter, ConnectionPolicy, ConnectionState, TrackedStream};
use crate::memory_budget::MemoryBudget;
use crate::metrics::RejectReason;
use request_reader::{Incoming, RequestReader};

mod request_reader;

pub use request_reader::{BodyError, CONNECTION_BYTES, MESSAGE_BYTES};

/// When a request may be sent again that was refused for want of memory or because its client has left, in seconds.
const RETRY_AFTER_S: &str = "1";

/// What a client may send, and how long the rest of it is read behind a response that came early.
#[derive(Clone, Copy, Debug)]
pub struct Http1Limits {
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Largest body of a request, in bytes.
    pub body: usize,
    /// How long data is read and dropped that a client still sends after its last response, so that it receives the response.
    pub linger: Duration,
    /// Whether a connection may be used for another request.
    pub keep_alive: bool,
}

/// Answers requests.
pub trait Handler {
    /// What is kept of a request's head while its body is read.
    type Head;
    /// The type of response bodies.
    type Body: AsRef<[u8]>;

    /// Decodes a head.
    fn decode(&self, request: &Request, state: &ConnectionState) -> Self::Head;

    /// Whether the body is used; otherwise it is read and dropped.
    fn needs_body(&self, head: &Self::Head) -> bool;

    /// Answers a request.
    async fn respond(
        &self,
        head: Self::Head,
        body: Result<Bytes, BodyError>,
        state: &Rc<ConnectionState>,
    ) -> Response<Self::Body>;

    /// Counts a request that is answered with an error before its head was decoded, or that is not passed on.
    fn rejected(&self, reason: RejectReason);
}

/// Why a connection ended early.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    #[error("the request cannot be parsed: {0}")]
    Parse(#[from] ParseError),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the client has reset the connection during a request")]
    Reset,
}

/// Serves connections with a handler.
pub struct Http1Server<H> {
    handler: H,
    limits: Http1Limits,
    memory: MemoryBudget,
    /// Shared by all connections, since it keeps the time for the `Date` header.
    config: ServiceConfig,
}

impl<H: Handler> Http1Server<H> {
    /// A server whose connections charge what they hold to `memory`. Must be called within the runtime.
    pub fn new(handler: H, limits: Http1Limits, memory: MemoryBudget) -> Rc<Self> {
        let keep_alive = if limits.keep_alive { KeepAlive::Os } else { KeepAlive::Disabled };
        let config = ServiceConfigBuilder::new().keep_alive(keep_alive).build();
        Rc::new(Http1Server { handler, limits, memory, config })
    }

    /// Accepts and serves connections until the limiter ends that.
    pub async fn accept(
        self: Rc<Self>,
        listener: Rc<TcpListener>,
        limiter: Rc<ConnectionLimiter>,
        policy: ConnectionPolicy,
    ) where
        H: 'static,
    {
        let service = fn_service(move |(stream, _): (TrackedStream, Option<SocketAddr>)| {
            let server = self.clone();
            async move { server.serve(stream).await }
        });
        connection_limiter::accept(listener, limiter, policy, service).await;
    }

    /// Serves a connection until it ends.
    ///
    /// # Errors
    /// A request could not be parsed (it was answered), or the client has broken the connection.
    pub async fn serve(&self, stream: TrackedStream) -> Result<(), ConnectionError> {
        let state = stream.state();
        let codec = Codec::new(self.config.clone());
        let mut reader = RequestReader::new(stream, codec, self.limits, self.memory.clone());
        loop {
            let request = match reader.next_request().await {
                Ok(Incoming::Request(request)) => request,
                Ok(Incoming::Ended) => return Ok(()),
                Ok(Incoming::NoMemory) => {
                    self.handler.rejected(RejectReason::Memory);
                    return self.end(reader, refusal()).await;
                }
                Err(ConnectionError::Parse(error)) => {
                    self.handler.rejected(RejectReason::of_parse_error(&error));
                    self.end(reader, parse_error_response(&error)).await?;
                    return Err(error.into());
                }
                Err(error) => return Err(error),
            };
            let head = self.handler.decode(&request, &state);
            let needs_body = self.handler.needs_body(&head);
            reader.begin_body(request).await?;
            let body = reader.read_body(needs_body).await?;
            let is_whole = body.is_ok();
            if is_whole && reader.is_abandoned() {
                self.handler.rejected(RejectReason::ClientLeft);
                return self.end(reader, refusal()).await;
            }
            let response = {
                let respond = self.handler.respond(head, body, &state);
                tokio::select! {
                    biased;
                    response = respond => response,
                    () = poll_fn(|cx| reader.stream().poll_reset(cx)) => return Err(ConnectionError::Reset),
                }
            };
            if !is_whole {
                return self.end(reader, response).await;
            }
            if !self.write(&mut reader, response, false).await? {
                return Ok(());
            }
            if reader.next_was_sent_ahead() {
                yield_now().await;
            }
        }
    }

    /// Writes the last response of a connection whose client may still be sending.
    async fn end<B: AsRef<[u8]>>(
        &self,
        mut reader: RequestReader,
        response: Response<B>,
    ) -> Result<(), ConnectionError> {
        self.write(&mut reader, response, true).await?;
        reader.into_stream().discard(self.limits.linger).await;
        Ok(())
    }

    /// Writes a response; returns whether the connection may be used again.
    async fn write<B: AsRef<[u8]>>(
        &self,
        reader: &mut RequestReader,
        response: Response<B>,
        closes: bool,
    ) -> Result<bool, ConnectionError> {
        reader.response_begins();
        let (mut head, body) = response.into_parts();
        if closes {
            head.head_mut().set_connection_type(ConnectionType::Close);
        }
        let body = body.as_ref();
        let codec = reader.codec();
        let mut text = BytesMut::new();
        codec.encode(Message::Item((head, BodySize::Sized(body.len() as u64))), &mut text)?;
        if !body.is_empty() {
            codec.encode(Message::Chunk(Some(Bytes::copy_from_slice(body))), &mut text)?;
            codec.encode(Message::Chunk(None), &mut text)?;
        }
        let keep_alive = codec.keep_alive();
        reader.stream().write_all(&text).await?;
        Ok(keep_alive)
    }
}

/// 503 with a `Retry-After` header, for a request that nothing was done with.
pub fn refusal() -> Response<&'static str> {
    let mut response = Response::with_body(StatusCode::SERVICE_UNAVAILABLE, "");
    response.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_S.parse().expect("digits"));
    response
}

fn parse_error_response(error: &ParseError) -> Response<&'static str> {
    let status = match error {
        ParseError::TooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    };
    Response::with_body(status, "")
}
