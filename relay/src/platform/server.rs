//! The way in: submitters over actix-http.
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

use super::KEY;
use crate::availability::Availability;
use crate::clock;
use crate::connection_limiter::{self, ConnectionPolicy, ConnectionState, Places, TrackedStream, Yields};
use crate::core::{Carrier, Core};
use crate::job::{Answer, Job};

/// Largest body; the platform sends none larger.
const LONGEST_BODY: usize = 64 * 1024;
/// Longest id or key: each must fit into a journal record many times over.
const LONGEST_NAME: usize = 512;
/// Longest time that a message may still have; a longer one is no sensible figure.
const LONGEST_TIME: Duration = Duration::from_secs(24 * 3600);
/// How long connections may take. They end silently: a 408 would be taken for the answer to what is sent just then.
const CONNECTION_POLICY: ConnectionPolicy = ConnectionPolicy {
    first: Duration::from_millis(2500),
    whole: Some(Duration::from_millis(2500)),
    idle: Duration::from_secs(5),
    yields: Yields::Silent,
};
/// What a submitter goes on sending after its answer is read for so long, so that it gets to see the answer.
const LINGER: Duration = Duration::from_millis(500);

pub struct Server<C> {
    core: Rc<Core<C>>,
    availability: Rc<Cell<Availability>>,
}

impl<C: Carrier> Server<C> {
    pub fn new(core: Rc<Core<C>>, availability: Rc<Cell<Availability>>) -> Rc<Self> {
        Rc::new(Server { core, availability })
    }

    /// Takes connections.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, places: Rc<Places>) {
        let taken = places.clone();
        let service = HttpService::build()
            // The connection limiter sees to time, by the policy above.
            .keep_alive(KeepAlive::Os)
            .client_request_timeout(Duration::ZERO)
            .client_disconnect_timeout(LINGER)
            .on_connect_ext(|gate: &TrackedStream, data| drop(data.insert(gate.seen())))
            .h1(fn_service(move |request: Request| {
                let (server, places) = (self.clone(), places.clone());
                async move { Ok::<_, Infallible>(server.serve(request, &places).await) }
            }));
        connection_limiter::accept(listener, taken, CONNECTION_POLICY, service).await;
    }
}

impl<C: Carrier> Server<C> {
    async fn serve(&self, mut request: Request, places: &Places) -> Response<&'static str> {
        let seen = request.conn_data::<Rc<ConnectionState>>().cloned();
        let mut response = match (request.method(), request.path()) {
            (&Method::GET, "/ready") if self.availability.get().is_ready() => {
                Response::with_body(StatusCode::OK, "ready\n")
            }
            (&Method::GET, "/ready") => answer(StatusCode::SERVICE_UNAVAILABLE),
            (&Method::POST, _) => match self.read(&mut request, seen.as_deref()).await {
                Ok(job) => {
                    seen.iter().for_each(|seen| seen.serving());
                    told(self.core.admit(job).await)
                }
                // Its connection was closed from this side before its last byte came. Guards against a request that is to
                // be handed in elsewhere counting as one that failed.
                Err(Unfit { why: BROKEN_OFF, .. }) if self.availability.get().sends_away() => {
                    answer(StatusCode::SERVICE_UNAVAILABLE)
                }
                Err(Unfit { status, why }) => {
                    tracing::debug!(why, path = request.path(), "request is no job");
                    Response::with_body(status, why)
                }
            },
            _ => answer(StatusCode::NOT_FOUND),
        };
        seen.iter().for_each(|seen| seen.answered());
        if self.availability.get().sends_away() || places.crowded() {
            response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
        }
        response
    }

    /// Decodes a job, once.
    async fn read(&self, request: &mut Request, seen: Option<&ConnectionState>) -> Result<Job, Unfit> {
        // Its time runs from when it may have come, not from when it is read.
        let arrived = clock::now() - seen.map_or(Duration::ZERO, ConnectionState::queued);
        // Read even where the rest is bad: a connection with an unread body has to be closed.
        let body = read_body(request).await?;
        let text = |name: &str| match request.headers().get(name) {
            None => Ok(None),
            Some(value) => match value.to_str() {
                Ok(value) if value.len() <= LONGEST_NAME => Ok(Some(value.to_owned())),
                _ => Err(bad("a header is too long or is not text")),
            },
        };
        let id = text("x-request-id")?.filter(|id| !id.is_empty()).ok_or(bad("X-Request-ID is missing"))?;
        let first = request.path().split('/').nth(1).unwrap_or("").to_owned();
        let class = text("x-priority-class")?.unwrap_or(first);
        self.core.rules().class_index(&class).ok_or(bad("unknown class"))?;
        let left = text("x-timeout-ms")?.and_then(|v| digits(&v)).map(Duration::from_millis);
        let left =
            left.filter(|l| *l <= LONGEST_TIME).ok_or(bad("X-Timeout-Ms is no time in milliseconds"))?;
        let dest =
            text("x-envelope")?.and_then(|v| destination(&v)).ok_or(bad("X-Envelope names no dest"))?;
        let retried = text("x-retried")?;
        let key = request.headers().get(KEY).map(|v| Bytes::copy_from_slice(v.as_bytes()));
        if key.as_ref().is_some_and(|k| k.len() > LONGEST_NAME) {
            return Err(bad("Idempotency-Key is too long"));
        }
        Ok(Job {
            id,
            class,
            dest,
            // By the wall clock, so that a restart takes no time off.
            deadline: arrived + left,
            retry: retried.as_deref() == Some("1"),
            reconnect: retried.as_deref() == Some("again"),
            label: None,
            fields: key.map(|k| (KEY.to_owned(), k)).into_iter().collect(),
            body,
        })
    }
}

/// Why a request is no job, and the status that says so.
#[derive(Debug)]
pub(super) struct Unfit {
    status: StatusCode,
    why: &'static str,
}

/// Said of a body whose end does not come.
const BROKEN_OFF: &str = "body cannot be read";

fn bad(why: &'static str) -> Unfit {
    Unfit { status: StatusCode::BAD_REQUEST, why }
}

/// Reads a body to its end, no further than is allowed.
pub(super) async fn read_body(request: &mut Request) -> Result<Bytes, Unfit> {
    let too_large = Unfit { status: StatusCode::PAYLOAD_TOO_LARGE, why: "body is too large" };
    let told =
        request.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.trim().parse::<u64>().ok());
    if told.is_some_and(|length| length > LONGEST_BODY as u64) {
        return Err(too_large);
    }
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| bad(BROKEN_OFF))?;
        if body.len() + chunk.len() > LONGEST_BODY {
            return Err(too_large);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// The number behind `dest=` among an envelope's parts.
fn destination(envelope: &str) -> Option<u64> {
    let parts = envelope.split([',', ';', '&', ' ']).map(str::trim);
    parts.filter_map(|part| part.strip_prefix("dest=")).next().and_then(digits)
}

/// A whole number, without the sign that parsing lets pass.
fn digits(text: &str) -> Option<u64> {
    text.trim().parse().ok().filter(|_| !text.contains('+'))
}

fn answer(status: StatusCode) -> Response<&'static str> {
    Response::with_body(status, "")
}

/// Encodes an answer, once.
fn told(told: Answer) -> Response<&'static str> {
    match told {
        Answer::Taken => answer(StatusCode::ACCEPTED),
        Answer::Failed => answer(StatusCode::INTERNAL_SERVER_ERROR),
        Answer::Refused { after } => {
            let mut response = answer(StatusCode::TOO_MANY_REQUESTS);
            if let Some(after) = after {
                let seconds = format!("{:.3}", after.as_secs_f64());
                let value = seconds.parse().expect("digits and a point");
                response.headers_mut().insert(actix_http::header::RETRY_AFTER, value);
            }
            response
        }
    }
}
