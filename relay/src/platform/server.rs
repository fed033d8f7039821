//! The HTTP server for submitters.
use actix_http::header::CONTENT_LENGTH;
use actix_http::{HttpMessage, HttpService, KeepAlive, Method, Request, Response, StatusCode};
use actix_service::fn_service;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

use super::IDEMPOTENCY_KEY;
use crate::availability::Availability;
use crate::clock;
use crate::connection_limiter::{
    self, ConnectionLimiter, ConnectionPolicy, ConnectionState, EvictionPolicy, TrackedStream,
};
use crate::core::{Core, Transport};
use crate::job::{Answer, Job};

/// Largest request body; the platform sends none larger.
const MAX_BODY: usize = 64 * 1024;
/// Longest id or key: each must fit into a journal record many times over.
const MAX_NAME: usize = 512;
/// Longest plausible time limit of a message.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(24 * 3600);
/// Time limits for connections. They are closed without a response: a client would take a 408 for the response to a request that it
/// is just sending.
const CONNECTION_POLICY: ConnectionPolicy = ConnectionPolicy {
    first_request_timeout: Duration::from_millis(2500),
    request_timeout: Some(Duration::from_millis(2500)),
    idle_timeout: Duration::from_secs(5),
    eviction: EvictionPolicy::IdleOnly,
};
/// How long data is read that a submitter still sends after its response, so that it receives the response.
const LINGER: Duration = Duration::from_millis(500);

pub struct Server<C> {
    core: Rc<Core<C>>,
    availability: Rc<Cell<Availability>>,
}

impl<C: Transport> Server<C> {
    pub fn new(core: Rc<Core<C>>, availability: Rc<Cell<Availability>>) -> Rc<Self> {
        Rc::new(Server { core, availability })
    }

    /// Accepts and serves connections.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, limiter: Rc<ConnectionLimiter>) {
        let accept_limiter = limiter.clone();
        let service = HttpService::build()
            // The connection limiter enforces the time limits of the policy above.
            .keep_alive(KeepAlive::Os)
            .client_request_timeout(Duration::ZERO)
            .client_disconnect_timeout(LINGER)
            .on_connect_ext(|stream: &TrackedStream, data| drop(data.insert(stream.state())))
            .h1(fn_service(move |request: Request| {
                let (server, limiter) = (self.clone(), limiter.clone());
                async move { Ok::<_, Infallible>(server.serve(request, &limiter).await) }
            }));
        connection_limiter::accept(listener, accept_limiter, CONNECTION_POLICY, service).await;
    }
}

impl<C: Transport> Server<C> {
    async fn serve(&self, mut request: Request, limiter: &ConnectionLimiter) -> Response<&'static str> {
        let state = request.conn_data::<Rc<ConnectionState>>().cloned();
        let mut response = match (request.method(), request.path()) {
            (&Method::GET, "/ready") if self.availability.get().is_ready() => {
                Response::with_body(StatusCode::OK, "ready\n")
            }
            (&Method::GET, "/ready") => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            (&Method::POST, _) => match self.read(&mut request, state.as_deref()).await {
                Ok(job) => {
                    state.iter().for_each(|state| state.request_complete());
                    encode_answer(self.core.admit(job).await)
                }
                // The connection was closed from this side before the last byte arrived. Guards against counting a request as failed
                // that is to be submitted to another relay.
                Err(InvalidRequest { reason: UNREADABLE_BODY, .. })
                    if self.availability.get().closes_connections() =>
                {
                    empty_response(StatusCode::SERVICE_UNAVAILABLE)
                }
                Err(InvalidRequest { status, reason }) => {
                    tracing::debug!(why = reason, path = request.path(), "invalid request rejected");
                    Response::with_body(status, reason)
                }
            },
            _ => empty_response(StatusCode::NOT_FOUND),
        };
        state.iter().for_each(|state| state.response_ready());
        if self.availability.get().closes_connections() || limiter.is_mostly_full() {
            response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
        }
        response
    }

    /// Reads and decodes a job.
    async fn read(
        &self,
        request: &mut Request,
        state: Option<&ConnectionState>,
    ) -> Result<Job, InvalidRequest> {
        // The job's time limit runs from when the request may have arrived, not from when it is read.
        let arrived = clock::now() - state.map_or(Duration::ZERO, ConnectionState::queued);
        // Read even if the request is invalid otherwise: a connection with an unread body would have to be closed.
        let body = read_body(request).await?;
        let text = |name: &str| match request.headers().get(name) {
            None => Ok(None),
            Some(value) => match value.to_str() {
                Ok(value) if value.len() <= MAX_NAME => Ok(Some(value.to_owned())),
                _ => Err(bad_request("a header is too long or is not text")),
            },
        };
        let id = text("x-request-id")?
            .filter(|id| !id.is_empty())
            .ok_or(bad_request("X-Request-ID is missing"))?;
        let path_class = request.path().split('/').nth(1).unwrap_or("").to_owned();
        let class = text("x-priority-class")?.unwrap_or(path_class);
        self.core.rules().class_index(&class).ok_or(bad_request("unknown class"))?;
        let left = text("x-timeout-ms")?.and_then(|v| parse_digits(&v)).map(Duration::from_millis);
        let left = left
            .filter(|l| *l <= MAX_TIME_LIMIT)
            .ok_or(bad_request("X-Timeout-Ms is no time in milliseconds"))?;
        let dest = text("x-envelope")?
            .and_then(|v| parse_destination(&v))
            .ok_or(bad_request("X-Envelope names no dest"))?;
        let retried = text("x-retried")?;
        let key = request.headers().get(IDEMPOTENCY_KEY).map(|v| Bytes::copy_from_slice(v.as_bytes()));
        if key.as_ref().is_some_and(|k| k.len() > MAX_NAME) {
            return Err(bad_request("Idempotency-Key is too long"));
        }
        Ok(Job {
            id,
            class,
            dest,
            // By the wall clock, so that it stays valid across a restart.
            deadline: arrived + left,
            retry: retried.as_deref() == Some("1"),
            reconnect: retried.as_deref() == Some("again"),
            label: None,
            fields: key.map(|k| (IDEMPOTENCY_KEY.to_owned(), k)).into_iter().collect(),
            body,
        })
    }
}

/// Why a request is not a valid job, and the status of its response.
#[derive(Debug)]
pub(super) struct InvalidRequest {
    status: StatusCode,
    reason: &'static str,
}

/// The reason given for a body that ends early.
const UNREADABLE_BODY: &str = "body cannot be read";

fn bad_request(reason: &'static str) -> InvalidRequest {
    InvalidRequest { status: StatusCode::BAD_REQUEST, reason }
}

/// Reads a complete body, up to the size limit.
pub(super) async fn read_body(request: &mut Request) -> Result<Bytes, InvalidRequest> {
    let too_large = InvalidRequest { status: StatusCode::PAYLOAD_TOO_LARGE, reason: "body is too large" };
    let declared =
        request.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.trim().parse::<u64>().ok());
    if declared.is_some_and(|length| length > MAX_BODY as u64) {
        return Err(too_large);
    }
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| bad_request(UNREADABLE_BODY))?;
        if body.len() + chunk.len() > MAX_BODY {
            return Err(too_large);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Returns the number behind `dest=` in an envelope.
fn parse_destination(envelope: &str) -> Option<u64> {
    let parts = envelope.split([',', ';', '&', ' ']).map(str::trim);
    parts.filter_map(|part| part.strip_prefix("dest=")).next().and_then(parse_digits)
}

/// Parses a whole number without a sign, which `parse` would accept.
fn parse_digits(text: &str) -> Option<u64> {
    text.trim().parse().ok().filter(|_| !text.contains('+'))
}

fn empty_response(status: StatusCode) -> Response<&'static str> {
    Response::with_body(status, "")
}

/// Encodes an answer as a response.
fn encode_answer(answer: Answer) -> Response<&'static str> {
    match answer {
        Answer::Accepted => empty_response(StatusCode::ACCEPTED),
        Answer::Failed => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
        Answer::Refused { after } => {
            let mut response = empty_response(StatusCode::TOO_MANY_REQUESTS);
            if let Some(after) = after {
                let seconds = format!("{:.3}", after.as_secs_f64());
                let value = seconds.parse().expect("digits and a point");
                response.headers_mut().insert(actix_http::header::RETRY_AFTER, value);
            }
            response
        }
    }
}
