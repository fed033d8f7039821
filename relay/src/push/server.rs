//! The way in: submitters hand in push messages over HTTP/2, by RFC 8030.
use actix_http::error::DispatchError;
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{HttpMessage, HttpService, KeepAlive, Method, Request, Response, StatusCode};
use actix_service::{ServiceFactoryExt, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use rustls::ServerConfig;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;
use tokio_util::either::Either;

use super::{PATH, TOPIC, TTL};
use crate::clock;
use crate::config::{Location, PushConfig, Urgency};
use crate::connection_limiter::{self, ConnectionPolicy, Places, TrackedStream, Yields};
use crate::core::{Carrier, Core};
use crate::job::{Answer, Job};
use crate::tls;

/// A submitter's connection may stand idle for so long; then it is pinged, and closed if nothing comes back.
const KEEP_ALIVE: Duration = Duration::from_secs(60);
/// HTTP/2's opening must be done, and a body be whole, within this time.
const READ_TIME: Duration = Duration::from_millis(2500);
/// Silent connections make room; the rest is HTTP/2's own, with pings.
const CONNECTION_POLICY: ConnectionPolicy =
    ConnectionPolicy { first: READ_TIME, whole: None, idle: KEEP_ALIVE, yields: Yields::Silent };
/// Where a message that was taken on can be asked for while it is open.
const MESSAGE: &str = "/message/";
/// All header names and values that a job carries.
const LONGEST_HEAD: usize = 8 * 1024;
/// RFC 8030, 5.4.
const LONGEST_TOPIC: usize = 32;
/// Headers that are about the connection, or that the relay writes itself.
const OWN_HEADERS: [&str; 9] = [
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

pub struct Server<C> {
    core: Rc<Core<C>>,
    locations: RefCell<Vec<Location>>,
    body_limit: Cell<usize>,
    reading: Cell<usize>,
    /// What it presents, where it speaks TLS.
    secured: RefCell<Option<Arc<ServerConfig>>>,
    /// Ids of this process begin so; a counter follows.
    prefix: String,
    next_id: Cell<u64>,
}

impl<C: Carrier> Server<C> {
    pub fn new(core: Rc<Core<C>>, push: &PushConfig, seed: u64) -> Rc<Self> {
        Rc::new(Server {
            locations: RefCell::new(push.locations.clone()),
            body_limit: Cell::new(push.body_limit),
            reading: Cell::new(0),
            secured: RefCell::new(push.server_tls.clone()),
            prefix: format!("{seed:016x}"),
            next_id: Cell::new(0),
            core,
        })
    }

    /// The file was read anew.
    pub fn reconfigure(
        &self,
        locations: Vec<Location>,
        body_limit: usize,
        secured: Option<Arc<ServerConfig>>,
    ) {
        // Connections that are open keep what they were greeted with.
        *self.secured.borrow_mut() = secured;
        self.body_limit.set(body_limit);
        *self.locations.borrow_mut() = locations;
    }

    pub async fn accept(self: Rc<Self>, listener: TcpListener, places: Rc<Places>) {
        let greeter = self.clone();
        let service = HttpService::build()
            .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
            .client_request_timeout(READ_TIME)
            .on_connect_ext(|_: &Line, _| ())
            .h2(fn_service(move |request: Request| {
                let server = self.clone();
                async move { Ok::<_, Infallible>(server.serve(request).await) }
            }));
        let greet = fn_service(move |(gate, peer): (TrackedStream, Option<SocketAddr>)| {
            let secured = greeter.secured.borrow().clone();
            async move { Ok::<_, DispatchError>((greeted(gate, secured).await?, peer)) }
        });
        connection_limiter::accept(listener, places, CONNECTION_POLICY, greet.and_then(service)).await;
    }

    async fn serve(&self, mut request: Request) -> Response<String> {
        if let (&Method::GET, Some(id)) = (request.method(), request.path().strip_prefix(MESSAGE)) {
            return match self.core.is_open(id) {
                true => plain(StatusCode::OK, "open"),
                false => plain(StatusCode::NOT_FOUND, "no open message has this id"),
            };
        }
        // No more requests are read at once than jobs may be held.
        let most = self.core.rules().settings.max_held.map_or(usize::MAX, |m| m as usize);
        if self.reading.get() >= most {
            return refused(Some(Duration::from_secs(1)));
        }
        let reading = Reading::begin(&self.reading);
        let read = self.read(&mut request).await;
        drop(reading);
        match read {
            Ok(Asked { job, ttl, receipt }) => {
                let id = job.id.clone();
                match self.core.admit(job).await {
                    Answer::Taken => taken(&id, ttl, receipt),
                    Answer::Refused { after } => refused(after),
                    Answer::Failed => plain(StatusCode::INTERNAL_SERVER_ERROR, "given up"),
                }
            }
            Err(unfit) => {
                let Unfit { status, field, why } = unfit;
                tracing::debug!(why, field, path = request.path(), "request is no push message");
                let mut response = problem(&unfit);
                if status == StatusCode::METHOD_NOT_ALLOWED {
                    response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("POST"));
                }
                response
            }
        }
    }

    /// Decodes a push message, once.
    async fn read(&self, request: &mut Request) -> Result<Asked, Unfit> {
        let arrived = clock::now();
        let whole = request.uri().path_and_query().map_or("/", |p| p.as_str());
        let path = request.path();
        let (class, dest, target) = {
            let locations = self.locations.borrow();
            let location = find(&locations, path).ok_or(Unfit::not_found())?;
            if request.method() != Method::POST {
                let status = StatusCode::METHOD_NOT_ALLOWED;
                return Err(Unfit { status, field: ":method", why: "push messages are POSTed" });
            }
            let class = location.urgency.get(&urgency(request.headers())?).unwrap_or(&location.class);
            (class.clone(), location.dest, location.target.clone() + &whole[location.path.len()..])
        };
        topic(request.headers())?;
        let rules = self.core.rules();
        let class_at = rules.class(&class).ok_or(Unfit::not_found())?;
        let asked = request.headers().get(TTL).ok_or(Unfit::bad(TTL, "it is missing"))?;
        let asked: u64 = asked
            .to_str()
            .ok()
            .filter(|v| !v.is_empty() && v.bytes().all(|b| b.is_ascii_digit()))
            .ok_or(Unfit::bad(TTL, "it is no whole number of seconds"))?
            .parse()
            .unwrap_or(u64::MAX);
        let class_of = &rules.settings.classes[class_at];
        let most = Duration::from_nanos(class_of.give_up);
        // At once or never: while it still earns its full worth, it counts as at once.
        let left = if asked == 0 {
            Duration::from_nanos(class_of.aim)
        } else {
            Duration::from_secs(asked).min(most)
        };
        let fields = fields(request.headers(), target, asked)?;
        let prefers = request.headers().get_all("prefer").filter_map(|v| v.to_str().ok());
        let receipt =
            prefers.flat_map(|v| v.split(',')).any(|p| p.trim().eq_ignore_ascii_case("respond-async"));
        let body = tokio::time::timeout(READ_TIME, body(request, self.body_limit.get())).await;
        self.next_id.set(self.next_id.get() + 1);
        let job = Job {
            id: format!("{}-{}", self.prefix, self.next_id.get()),
            class,
            dest,
            deadline: arrived + left,
            retry: false,
            reconnect: false,
            label: None,
            fields,
            body: body.map_err(|_| Unfit::bad("body", "it is not whole in time"))??,
        };
        Ok(Asked { job, ttl: if asked == 0 { 0 } else { left.as_secs() }, receipt })
    }
}

/// A submitter's connection, by TLS or without.
type Line = Either<TrackedStream, TlsStream<TrackedStream>>;

async fn greeted(gate: TrackedStream, secured: Option<Arc<ServerConfig>>) -> Result<Line, DispatchError> {
    let Some(config) = secured else { return Ok(Either::Left(gate)) };
    // Guards against submitters that begin a handshake and go no further.
    let handshake = tokio::time::timeout(READ_TIME, TlsAcceptor::from(config).accept(gate)).await;
    let line = handshake.map_err(|_| DispatchError::SlowRequestTimeout)?.map_err(DispatchError::Io)?;
    if !tls::negotiated_h2(line.get_ref().1.alpn_protocol()) {
        return Err(DispatchError::Io(std::io::Error::other("TLS without HTTP/2")));
    }
    Ok(Either::Right(line))
}

/// A request that is being read. Guards against counting for ever those whose streams are reset meanwhile.
struct Reading<'a>(&'a Cell<usize>);

impl<'a> Reading<'a> {
    fn begin(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Reading(count)
    }
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A push message, with what its answer depends on.
struct Asked {
    job: Job,
    /// The time to live that is kept to.
    ttl: u64,
    /// The submitter asked for a receipt.
    receipt: bool,
}

/// Why a request is no push message, and the status that says so.
struct Unfit {
    status: StatusCode,
    /// The field that is at fault.
    field: &'static str,
    why: &'static str,
}

impl Unfit {
    fn bad(field: &'static str, why: &'static str) -> Self {
        Unfit { status: StatusCode::BAD_REQUEST, field, why }
    }

    fn not_found() -> Self {
        Unfit { status: StatusCode::NOT_FOUND, field: ":path", why: "no location has this path" }
    }
}

/// A problem's body, as RFC 9457 has it, with the field that is at fault.
#[derive(Serialize)]
struct Problem {
    title: &'static str,
    status: u16,
    detail: String,
    field: &'static str,
}

fn problem(unfit: &Unfit) -> Response<String> {
    let Unfit { status, field, why } = *unfit;
    let title = status.canonical_reason().unwrap_or("Unfit");
    let problem = Problem { title, status: status.as_u16(), detail: format!("{field}: {why}"), field };
    let body = serde_json::to_string(&problem).expect("strings and numbers");
    let mut response = Response::with_body(status, body);
    let kind = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// The one value of a field that may be there once; names it where it is there more often.
fn only<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a HeaderValue>, Unfit> {
    let mut values = headers.get_all(name);
    let first = values.next();
    if values.next().is_some() { Err(Unfit::bad(name, "it is given more than once")) } else { Ok(first) }
}

/// How urgent a message is called; normal unless told (RFC 8030, 5.3).
fn urgency(headers: &HeaderMap) -> Result<Urgency, Unfit> {
    let Some(value) = only(headers, "urgency")? else { return Ok(Urgency::default()) };
    let named = value.to_str().ok().and_then(Urgency::named);
    named.ok_or(Unfit::bad("urgency", "it is none of very-low, low, normal and high"))
}

/// Checks a message's topic (RFC 8030, 5.4): a later message with the same to the same place takes its place.
fn topic(headers: &HeaderMap) -> Result<(), Unfit> {
    let Some(value) = only(headers, TOPIC)? else { return Ok(()) };
    let sound = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
    match value.as_bytes() {
        text if (1..=LONGEST_TOPIC).contains(&text.len()) && text.iter().all(sound) => Ok(()),
        _ => Err(Unfit::bad(TOPIC, "it is not from 1 to 32 characters of the URL-safe base64 alphabet")),
    }
}

/// The location of a path: an exact one, else the longest beginning.
fn find<'a>(locations: &'a [Location], path: &str) -> Option<&'a Location> {
    let fits = |l: &&Location| if l.exact { l.path == path } else { path.starts_with(&l.path) };
    locations.iter().filter(fits).max_by_key(|l| (l.exact, l.path.len()))
}

/// What passes through unchanged: the path behind the location, and the message's own headers.
fn fields(headers: &HeaderMap, target: String, ttl: u64) -> Result<Vec<(String, Bytes)>, Unfit> {
    let mut fields = vec![(PATH.to_owned(), Bytes::from(target))];
    if ttl == 0 {
        fields.push((TTL.to_owned(), Bytes::from_static(b"0")));
    }
    for (name, value) in headers {
        if !OWN_HEADERS.contains(&name.as_str()) {
            fields.push((name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes())));
        }
    }
    let size: usize = fields.iter().map(|(name, value)| name.len() + value.len()).sum();
    if size > LONGEST_HEAD {
        return Err(Unfit {
            status: StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            field: "headers",
            why: "they are too long together",
        });
    }
    Ok(fields)
}

async fn body(request: &mut Request, limit: usize) -> Result<Bytes, Unfit> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| Unfit::bad("body", "it cannot be read"))?;
        if body.len() + chunk.len() > limit {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(Unfit { status, field: "body", why: "it is too large" });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn plain(status: StatusCode, text: &str) -> Response<String> {
    Response::with_body(status, text.to_owned())
}

/// 201, or 202 where a receipt was asked for: the notice of the end tells it.
fn taken(id: &str, ttl: u64, receipt: bool) -> Response<String> {
    let status = if receipt { StatusCode::ACCEPTED } else { StatusCode::CREATED };
    let mut response = plain(status, "");
    let headers = response.headers_mut();
    headers.insert(header::LOCATION, format!("{MESSAGE}{id}").parse().expect("hexadecimal and digits"));
    headers.insert(header::HeaderName::from_static(TTL), HeaderValue::from(ttl));
    response
}

fn refused(after: Option<Duration>) -> Response<String> {
    let mut response = plain(StatusCode::TOO_MANY_REQUESTS, "come again later");
    if let Some(after) = after {
        // RFC 9110 has whole seconds only; sooner than the module wants it would be refused again.
        let seconds = after.as_millis().div_ceil(1000).max(1) as u64;
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
