//! Receives push messages from submitters over HTTP/2 (RFC 8030).
use actix_service::fn_service;
use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use rustls::ServerConfig;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;
use tokio_util::either::Either;

use super::submitter_connection::{self, ConnectionError};
use super::{PATH, TOPIC, TTL};
use crate::config::{Location, PushConfig, Urgency};
use crate::connection_limiter::{self, ConnectionLimiter, ConnectionPolicy, EvictionPolicy, TrackedStream};
use crate::core::{Core, Transport};
use crate::count_guard::CountGuard;
use crate::job::{Answer, Job};
use crate::memory_budget::{Holder, MemoryBudget, MemoryCharge};
use crate::{clock, tls};

/// How long a submitter's connection may be open without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3600);
/// Time allowed for a TLS handshake, and for reading a request body.
const READ_TIMEOUT: Duration = Duration::from_millis(2500);
/// At the connection limit, connections without an open request may be closed for new ones. Other timeouts are left to
/// HTTP/2 and its keep-alive pings.
const CONNECTION_POLICY: ConnectionPolicy = ConnectionPolicy {
    first_request_timeout: READ_TIMEOUT,
    request_timeout: None,
    idle_timeout: IDLE_TIMEOUT,
    eviction: EvictionPolicy::IdleOnly,
};
/// When to ask again on a new connection.
const RETRY_ELSEWHERE: Duration = Duration::from_secs(1);
/// What a request takes beside its header list and its body, in bytes: its task, its stream, and later its job.
const REQUEST_BYTES: usize = 12 * 1024;
/// What a field of a head takes beside its name and value, in bytes: its places in the map, which grows by doubling.
const FIELD_BYTES: usize = 200;
/// Path prefix at which the state of an accepted message can be queried while it is open.
const MESSAGE_PATH: &str = "/message/";
/// Maximum total size of the header names and values of a job.
const MAX_HEADER_BYTES: usize = 8 * 1024;
/// Maximum length of a topic (RFC 8030, 5.4).
const MAX_TOPIC_LENGTH: usize = 32;
/// Headers that concern only the submitter's connection, or that the relay sets itself; they are not forwarded.
const UNFORWARDED_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "prefer",
    "te",
    "transfer-encoding",
    "ttl",
    "upgrade",
];

/// The HTTP/2 server of the push front.
pub struct Server<C> {
    core: Rc<Core<C>>,
    locations: RefCell<Vec<Location>>,
    body_limit: Cell<usize>,
    requests_reading: Cell<usize>,
    memory: MemoryBudget,
    /// TLS settings for new connections; `None` for clear text.
    tls: RefCell<Option<Arc<ServerConfig>>>,
    /// Job ids are this prefix, unique to the process, followed by a counter.
    id_prefix: String,
    next_id: Cell<u64>,
}

impl<C: Transport> Server<C> {
    /// A server whose requests are charged to `memory`.
    pub fn new(core: Rc<Core<C>>, push: &PushConfig, seed: u64, memory: MemoryBudget) -> Rc<Self> {
        Rc::new(Server {
            locations: RefCell::new(push.locations.clone()),
            body_limit: Cell::new(push.body_limit),
            requests_reading: Cell::new(0),
            memory,
            tls: RefCell::new(push.server_tls.clone()),
            id_prefix: format!("{seed:016x}"),
            next_id: Cell::new(0),
            core,
        })
    }

    /// Applies reloaded settings.
    pub fn reconfigure(&self, locations: Vec<Location>, body_limit: usize, tls: Option<Arc<ServerConfig>>) {
        // Open connections keep the TLS settings of their handshake.
        *self.tls.borrow_mut() = tls;
        self.body_limit.set(body_limit);
        *self.locations.borrow_mut() = locations;
    }

    /// Accepts submitters' connections and serves their requests.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, limiter: Rc<ConnectionLimiter>) {
        let service = fn_service(move |(stream, _): (TrackedStream, Option<SocketAddr>)| {
            let server = self.clone();
            async move { server.serve_connection(stream).await }
        });
        connection_limiter::accept(Rc::new(listener), limiter, CONNECTION_POLICY, service).await;
    }

    async fn serve_connection(self: Rc<Self>, stream: TrackedStream) -> Result<(), ConnectionError> {
        let state = stream.state();
        let tls = self.tls.borrow().clone();
        let stream = tls_handshake(stream, tls).await.map_err(ConnectionError::Tls)?;
        let admit = |request: &Request<RecvStream>| self.charge_head(request.headers());
        let handle = |request, charge| {
            let server = self.clone();
            async move { server.serve(request, charge).await }
        };
        submitter_connection::serve(stream, state, admit, handle).await
    }

    /// Charges a request for its head; a refusal if there is no memory for it.
    fn charge_head(&self, headers: &HeaderMap) -> Result<MemoryCharge, Box<Response<String>>> {
        let mut charge = self.memory.charge(Holder::Requests);
        match charge.try_grow(REQUEST_BYTES + headers.len() * FIELD_BYTES + header_list_bytes(headers)) {
            true => Ok(charge),
            false => Err(Box::new(refused_response(Some(RETRY_ELSEWHERE)))),
        }
    }

    async fn serve(&self, mut request: Request<RecvStream>, charge: MemoryCharge) -> Response<String> {
        if let (&Method::GET, Some(id)) = (request.method(), request.uri().path().strip_prefix(MESSAGE_PATH))
        {
            return match self.core.is_open(id) {
                // After a handover the successor knows.
                _ if self.core.is_handed_over() => refused_response(Some(RETRY_ELSEWHERE)),
                true => text_response(StatusCode::OK, "open"),
                false => text_response(StatusCode::NOT_FOUND, "no open message has this id"),
            };
        }
        // Limits the requests that are read concurrently to the number of jobs that may be queued.
        let max_reading = self.core.rules().settings.max_open_messages.map_or(usize::MAX, |m| m as usize);
        if self.requests_reading.get() >= max_reading {
            return refused_response(Some(Duration::from_secs(1)));
        }
        let guard = CountGuard::new(&self.requests_reading);
        let decoded = self.read(&mut request, charge).await;
        drop(guard);
        match decoded {
            Ok(PushRequest { job, ttl, receipt }) => {
                let id = job.id.clone();
                match self.core.admit(job).await {
                    Answer::Accepted => accepted_response(&id, ttl, receipt),
                    Answer::Refused { after } => refused_response(after),
                    Answer::Failed => text_response(StatusCode::INTERNAL_SERVER_ERROR, "given up"),
                }
            }
            Err(error) => {
                let RequestError { status, field, reason } = error;
                tracing::debug!(
                    why = reason,
                    field,
                    path = request.uri().path(),
                    "request is not a valid push message; rejecting it"
                );
                let mut response = problem_response(&error);
                if status == StatusCode::TOO_MANY_REQUESTS {
                    response
                        .headers_mut()
                        .insert(header::RETRY_AFTER, HeaderValue::from(RETRY_ELSEWHERE.as_secs()));
                }
                if status == StatusCode::METHOD_NOT_ALLOWED {
                    response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("POST"));
                }
                response
            }
        }
    }

    /// Decodes and validates a push message.
    async fn read(
        &self,
        request: &mut Request<RecvStream>,
        mut charge: MemoryCharge,
    ) -> Result<PushRequest, RequestError> {
        let arrived = clock::now();
        let path_and_query = request.uri().path_and_query().map_or("/", |p| p.as_str());
        let path = request.uri().path();
        let (class, dest, target) = {
            let locations = self.locations.borrow();
            let location = find_location(&locations, path).ok_or(RequestError::not_found())?;
            if request.method() != Method::POST {
                let status = StatusCode::METHOD_NOT_ALLOWED;
                return Err(RequestError { status, field: ":method", reason: "push messages are POSTed" });
            }
            let class = location.urgency.get(&urgency(request.headers())?).unwrap_or(&location.class);
            (class.clone(), location.dest, location.target.clone() + &path_and_query[location.path.len()..])
        };
        check_topic(request.headers())?;
        let rules = self.core.rules();
        let class_index = rules.class_index(&class).ok_or(RequestError::not_found())?;
        let ttl = request.headers().get(TTL).ok_or(RequestError::bad(TTL, "it is missing"))?;
        let ttl: u64 = ttl
            .to_str()
            .ok()
            .filter(|v| !v.is_empty() && v.bytes().all(|b| b.is_ascii_digit()))
            .ok_or(RequestError::bad(TTL, "it is no whole number of seconds"))?
            .parse()
            .unwrap_or(u64::MAX);
        let class_settings = &rules.settings.classes[class_index];
        let longest = Duration::from_nanos(class_settings.lifetime);
        // TTL 0 means deliver at once or never. The class's aim, up to which a message has its full worth, counts as at once.
        let left = if ttl == 0 {
            Duration::from_nanos(class_settings.target_latency)
        } else {
            Duration::from_secs(ttl).min(longest)
        };
        let fields = job_fields(request.headers(), target, ttl)?;
        let preferences = request.headers().get_all("prefer").iter().filter_map(|v| v.to_str().ok());
        let receipt =
            preferences.flat_map(|v| v.split(',')).any(|p| p.trim().eq_ignore_ascii_case("respond-async"));
        let reading = read_body(request.body_mut(), self.body_limit.get(), &mut charge);
        let body = tokio::time::timeout(READ_TIMEOUT, reading).await;
        let body = body.map_err(|_| RequestError::bad("body", "it is not whole in time"))??;
        self.next_id.set(self.next_id.get() + 1);
        let job = Job {
            id: format!("{}-{}", self.id_prefix, self.next_id.get()),
            class,
            dest,
            deadline: arrived + left,
            retry: false,
            reconnect: false,
            label: None,
            fields,
            body: charge.transfer(Holder::Messages).hold(body),
        };
        Ok(PushRequest { job, ttl: if ttl == 0 { 0 } else { left.as_secs() }, receipt })
    }
}

/// The size of a header list, as HTTP/2 counts it (RFC 9113, 10.5.1): 32 bytes are added for each field.
fn header_list_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 32).sum()
}

/// A submitter's connection, with or without TLS.
type ServerStream = Either<TrackedStream, TlsStream<TrackedStream>>;

async fn tls_handshake(stream: TrackedStream, tls: Option<Arc<ServerConfig>>) -> io::Result<ServerStream> {
    let Some(config) = tls else { return Ok(Either::Left(stream)) };
    // Guards against submitters that start a TLS handshake and do not finish it.
    let handshake = tokio::time::timeout(READ_TIMEOUT, TlsAcceptor::from(config).accept(stream)).await;
    let tls_stream = handshake.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    if !tls::negotiated_h2(tls_stream.get_ref().1.alpn_protocol()) {
        return Err(io::Error::other("HTTP/2 was not negotiated over TLS"));
    }
    Ok(Either::Right(tls_stream))
}

/// A valid push message, and what its response depends on.
struct PushRequest {
    job: Job,
    /// The TTL that the relay applies, in seconds; it may be below the requested one.
    ttl: u64,
    /// The submitter requested a delivery receipt.
    receipt: bool,
}

/// Why a request is rejected, with the response status.
struct RequestError {
    status: StatusCode,
    /// The invalid field.
    field: &'static str,
    reason: &'static str,
}

impl RequestError {
    fn bad(field: &'static str, reason: &'static str) -> Self {
        RequestError { status: StatusCode::BAD_REQUEST, field, reason }
    }

    fn not_found() -> Self {
        RequestError { status: StatusCode::NOT_FOUND, field: ":path", reason: "no location has this path" }
    }
}

/// Problem details (RFC 9457), extended with the invalid field.
#[derive(Serialize)]
struct Problem {
    title: &'static str,
    status: u16,
    detail: String,
    field: &'static str,
}

fn problem_response(error: &RequestError) -> Response<String> {
    let RequestError { status, field, reason } = *error;
    let title = status.canonical_reason().unwrap_or("Unfit");
    let problem = Problem { title, status: status.as_u16(), detail: format!("{field}: {reason}"), field };
    let body = serde_json::to_string(&problem).expect("strings and numbers always serialize");
    let mut response = text_response(status, &body);
    let kind = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// The value of a header that may occur at most once; an error if it occurs more often.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a HeaderValue>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        Err(RequestError::bad(name, "it is given more than once"))
    } else {
        Ok(first)
    }
}

/// The urgency of a message; normal if not given (RFC 8030, 5.3).
fn urgency(headers: &HeaderMap) -> Result<Urgency, RequestError> {
    let Some(value) = single_value(headers, "urgency")? else { return Ok(Urgency::default()) };
    let urgency = value.to_str().ok().and_then(Urgency::from_name);
    urgency.ok_or(RequestError::bad("urgency", "it is none of very-low, low, normal and high"))
}

/// Validates the topic of a message (RFC 8030, 5.4): a later message with the same topic and target replaces it.
fn check_topic(headers: &HeaderMap) -> Result<(), RequestError> {
    let Some(value) = single_value(headers, TOPIC)? else { return Ok(()) };
    let allowed = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
    match value.as_bytes() {
        text if (1..=MAX_TOPIC_LENGTH).contains(&text.len()) && text.iter().all(allowed) => Ok(()),
        _ => {
            Err(RequestError::bad(TOPIC, "it is not from 1 to 32 characters of the URL-safe base64 alphabet"))
        }
    }
}

/// The location that matches a path: an exact one if there is one, otherwise the longest prefix.
fn find_location<'a>(locations: &'a [Location], path: &str) -> Option<&'a Location> {
    let matches_path = |l: &&Location| if l.exact { l.path == path } else { path.starts_with(&l.path) };
    locations.iter().filter(matches_path).max_by_key(|l| (l.exact, l.path.len()))
}

/// The fields that are forwarded with the message: its target path and its headers.
fn job_fields(headers: &HeaderMap, target: String, ttl: u64) -> Result<Vec<(String, Bytes)>, RequestError> {
    let mut fields = vec![(PATH.to_owned(), Bytes::from(target))];
    if ttl == 0 {
        fields.push((TTL.to_owned(), Bytes::from_static(b"0")));
    }
    for (name, value) in headers {
        if !UNFORWARDED_HEADERS.contains(&name.as_str()) {
            fields.push((name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes())));
        }
    }
    let size: usize = fields.iter().map(|(name, value)| name.len() + value.len()).sum();
    if size > MAX_HEADER_BYTES {
        return Err(RequestError {
            status: StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            field: "headers",
            reason: "they are too long together",
        });
    }
    Ok(fields)
}

async fn read_body(
    stream: &mut RecvStream,
    limit: usize,
    charge: &mut MemoryCharge,
) -> Result<Bytes, RequestError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.map_err(|_| RequestError::bad("body", "it cannot be read"))?;
        if body.len() + chunk.len() > limit {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(RequestError { status, field: "body", reason: "it is too large" });
        }
        if !charge.try_grow(chunk.len()) {
            let status = StatusCode::TOO_MANY_REQUESTS;
            return Err(RequestError { status, field: "body", reason: "there is no memory for it now" });
        }
        // Fails only if the stream has ended.
        let _ = stream.flow_control().release_capacity(chunk.len());
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn text_response(status: StatusCode, text: &str) -> Response<String> {
    let mut response = Response::new(text.to_owned());
    *response.status_mut() = status;
    response
}

/// 201, or 202 if a receipt was requested; the end notice serves as the receipt.
fn accepted_response(id: &str, ttl: u64, receipt: bool) -> Response<String> {
    let status = if receipt { StatusCode::ACCEPTED } else { StatusCode::CREATED };
    let mut response = text_response(status, "");
    let headers = response.headers_mut();
    headers.insert(
        header::LOCATION,
        format!("{MESSAGE_PATH}{id}").parse().expect("ids are hexadecimal digits and a decimal number"),
    );
    headers.insert(HeaderName::from_static(TTL), HeaderValue::from(ttl));
    response
}

fn refused_response(after: Option<Duration>) -> Response<String> {
    let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, "come again later");
    if let Some(after) = after {
        // Retry-After has whole seconds (RFC 9110). Rounded up, as an earlier retry would be refused again.
        let seconds = after.as_millis().div_ceil(1000).max(1) as u64;
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
