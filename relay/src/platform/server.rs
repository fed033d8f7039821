//! The HTTP server for submitters.
use actix_http::{ConnectionType, HttpMessage, Method, Request, Response, StatusCode};
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;

use super::IDEMPOTENCY_KEY;
use crate::availability::Availability;
use crate::clock;
use crate::config::Rules;
use crate::connection_limiter::{ConnectionLimiter, ConnectionPolicy, ConnectionState, EvictionPolicy};
use crate::core::{Core, Transport};
use crate::http1::{BodyError, Handler, Http1Limits, Http1Server, refusal};
use crate::job::{Answer, Job};
use crate::memory_budget::MemoryBudget;
use crate::metrics::{ClientMetrics, RejectReason};

/// The platform sends no larger body, and heads of less than 2 KB.
pub(super) const HTTP_LIMITS: Http1Limits =
    Http1Limits { head: 16 * 1024, body: 64 * 1024, linger: Duration::from_millis(500), keep_alive: true };
/// Longest id or key: each must fit into a journal record many times over.
const MAX_NAME: usize = 512;
/// Longest plausible time limit of a message.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(24 * 3600);
/// Time limits for connections. They are closed without a response: a client would take a 408 for the response to a request that it
/// is just sending.
pub(super) const CONNECTION_POLICY: ConnectionPolicy = ConnectionPolicy {
    first_request_timeout: Duration::from_millis(2500),
    request_timeout: Some(Duration::from_millis(2500)),
    idle_timeout: Duration::from_secs(5),
    eviction: EvictionPolicy::IdleOnly,
};
/// The reason given for a body that ends early or cannot be parsed.
const UNREADABLE_BODY: &str = "body cannot be read";

/// Serves submitters' connections.
pub struct Server<C> {
    core: Rc<Core<C>>,
    availability: Rc<Cell<Availability>>,
    limiter: Rc<ConnectionLimiter>,
    metrics: ClientMetrics,
}

impl<C: Transport> Server<C> {
    pub fn new(
        core: Rc<Core<C>>,
        availability: Rc<Cell<Availability>>,
        limiter: Rc<ConnectionLimiter>,
        metrics: ClientMetrics,
    ) -> Self {
        Server { core, availability, limiter, metrics }
    }

    /// Accepts and serves connections, whose requests are charged to `memory`.
    pub async fn accept(self, listener: Rc<TcpListener>, memory: MemoryBudget) {
        let limiter = self.limiter.clone();
        Http1Server::new(self, HTTP_LIMITS, memory).accept(listener, limiter, CONNECTION_POLICY).await;
    }

    async fn answer(
        &self,
        request: SubmitterRequest,
        body: Result<Bytes, BodyError>,
        state: &ConnectionState,
    ) -> Response<&'static str> {
        let body = match body {
            Ok(body) => body,
            Err(error) => return self.reject_body(error),
        };
        match request {
            SubmitterRequest::Ready if self.availability.get().is_ready() => {
                Response::with_body(StatusCode::OK, "ready\n")
            }
            SubmitterRequest::Ready => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            SubmitterRequest::Job(head) => {
                state.request_complete();
                encode_answer(self.core.admit(head.into_job(body)).await)
            }
            SubmitterRequest::Invalid(reason) => {
                self.metrics.rejected(RejectReason::Invalid);
                Response::with_body(StatusCode::BAD_REQUEST, reason)
            }
            SubmitterRequest::NotFound => {
                self.metrics.rejected(RejectReason::Invalid);
                empty_response(StatusCode::NOT_FOUND)
            }
        }
    }

    fn reject_body(&self, error: BodyError) -> Response<&'static str> {
        let (reason, response) = match error {
            BodyError::TooLarge => (
                RejectReason::BodyTooLarge,
                Response::with_body(StatusCode::PAYLOAD_TOO_LARGE, "body is too large"),
            ),
            BodyError::NoMemory => (RejectReason::Memory, refusal()),
            // The connection was closed from this side before the last byte arrived. Guards against counting a request as failed
            // that is to be submitted to another relay.
            BodyError::Incomplete if self.availability.get().closes_connections() => {
                (RejectReason::Incomplete, empty_response(StatusCode::SERVICE_UNAVAILABLE))
            }
            BodyError::Incomplete => {
                (RejectReason::Incomplete, Response::with_body(StatusCode::BAD_REQUEST, UNREADABLE_BODY))
            }
            BodyError::Invalid => {
                (RejectReason::BodyInvalid, Response::with_body(StatusCode::BAD_REQUEST, UNREADABLE_BODY))
            }
        };
        self.metrics.rejected(reason);
        response
    }
}

impl<C: Transport> Handler for Server<C> {
    type Head = SubmitterRequest;
    type Body = &'static str;

    fn decode(&self, request: &Request, state: &ConnectionState) -> SubmitterRequest {
        match (request.method(), request.path()) {
            (&Method::GET, "/ready") => SubmitterRequest::Ready,
            (&Method::POST, path) => JobHead::decode(request, state, &self.core.rules()).map_or_else(
                |reason| {
                    tracing::debug!(why = reason, path, "invalid request rejected");
                    SubmitterRequest::Invalid(reason)
                },
                |head| SubmitterRequest::Job(Box::new(head)),
            ),
            _ => SubmitterRequest::NotFound,
        }
    }

    fn needs_body(&self, request: &SubmitterRequest) -> bool {
        matches!(request, SubmitterRequest::Job(_))
    }

    async fn respond(
        &self,
        request: SubmitterRequest,
        body: Result<Bytes, BodyError>,
        state: &Rc<ConnectionState>,
    ) -> Response<&'static str> {
        let mut response = self.answer(request, body, state).await;
        state.response_ready();
        if self.availability.get().closes_connections() || self.limiter.is_mostly_full() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        response
    }

    fn rejected(&self, reason: RejectReason) {
        self.metrics.rejected(reason);
    }
}

/// A request as far as its head tells.
pub enum SubmitterRequest {
    Ready,
    Job(Box<JobHead>),
    /// The head is not that of a valid job, for this reason.
    Invalid(&'static str),
    NotFound,
}

/// What the head of a request says about a job.
pub struct JobHead {
    id: String,
    class: String,
    dest: u64,
    deadline: SystemTime,
    retry: bool,
    reconnect: bool,
    key: Option<Bytes>,
}

impl JobHead {
    /// # Errors
    /// Why the head is not that of a valid job.
    fn decode(request: &Request, state: &ConnectionState, rules: &Rules) -> Result<JobHead, &'static str> {
        // The job's time limit runs from when the request may have arrived, not from when it is read.
        let arrived = clock::now() - state.queued();
        let text = |name: &str| match request.headers().get(name) {
            None => Ok(None),
            Some(value) => match value.to_str() {
                Ok(value) if value.len() <= MAX_NAME => Ok(Some(value.to_owned())),
                _ => Err("a header is too long or is not text"),
            },
        };
        let id = text("x-request-id")?.filter(|id| !id.is_empty()).ok_or("X-Request-ID is missing")?;
        let path_class = request.path().split('/').nth(1).unwrap_or("");
        let class = text("x-priority-class")?.unwrap_or_else(|| path_class.to_owned());
        rules.class_index(&class).ok_or("unknown class")?;
        let left = text("x-timeout-ms")?.and_then(|v| parse_digits(&v)).map(Duration::from_millis);
        let left = left.filter(|l| *l <= MAX_TIME_LIMIT).ok_or("X-Timeout-Ms is no time in milliseconds")?;
        let dest =
            text("x-envelope")?.and_then(|v| parse_destination(&v)).ok_or("X-Envelope names no dest")?;
        let retried = text("x-retried")?;
        let key = request.headers().get(IDEMPOTENCY_KEY).map(|v| Bytes::copy_from_slice(v.as_bytes()));
        if key.as_ref().is_some_and(|k| k.len() > MAX_NAME) {
            return Err("Idempotency-Key is too long");
        }
        Ok(JobHead {
            id,
            class,
            dest,
            // Unaffected by steps of the wall clock, so that it stays valid across a restart.
            deadline: arrived + left,
            retry: retried.as_deref() == Some("1"),
            reconnect: retried.as_deref() == Some("again"),
            key,
        })
    }

    fn into_job(self, body: Bytes) -> Job {
        Job {
            id: self.id,
            class: self.class,
            dest: self.dest,
            deadline: self.deadline,
            retry: self.retry,
            reconnect: self.reconnect,
            label: None,
            fields: self.key.map(|key| (IDEMPOTENCY_KEY.to_owned(), key)).into_iter().collect(),
            body,
        }
    }
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
        Answer::Refused { after } => encode_refusal(after),
    }
}

fn encode_refusal(after: Option<Duration>) -> Response<&'static str> {
    let mut response = empty_response(StatusCode::TOO_MANY_REQUESTS);
    if let Some(after) = after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        let value = seconds.parse().expect("digits and a point");
        response.headers_mut().insert(actix_http::header::RETRY_AFTER, value);
    }
    response
}
