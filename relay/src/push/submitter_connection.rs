//! One submitter's HTTP/2 connection.
//!
//! The HTTP server of `actix-http` cannot send GOAWAY, so this front uses `h2` directly, as it does towards gateways. When the connection
//! limiter closes the connection, the submitter is sent GOAWAY: the requests that it has sent by then are read and answered, and it knows
//! that later ones were not read and may be submitted elsewhere.
use bytes::Bytes;
use futures_util::future::poll_fn;
use h2::server::{Builder, Connection, SendResponse};
use h2::{Ping, PingPong, RecvStream};
use http::{HeaderValue, Request, Response, header};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{Sleep, sleep, timeout};

use crate::connection_limiter::{ConnectionState, OpenRequest};
use crate::memory_budget::MemoryCharge;

/// Idle time after which a submitter is pinged, and time for its answer.
const KEEP_ALIVE: Duration = Duration::from_secs(60);
/// Time allowed for the HTTP/2 connection preface.
const PREFACE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Most bytes of a request's header list. The front's own limit is lower and is answered with a reason.
const MAX_HEADER_LIST_BYTES: u32 = 16 * 1024;
/// Most requests that are open at once on a connection; a submitter waits with further ones.
const MAX_STREAMS: u32 = 1000;

/// Why a connection ended early.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    #[error("no HTTP/2 preface in time")]
    NoPreface,
    #[error("TLS: {0}")]
    Tls(std::io::Error),
    #[error("HTTP/2: {0}")]
    Http2(#[from] h2::Error),
}

/// Serves the requests of a connection, concurrently, until it ends. Requests that were read are answered even then. `admit` charges a
/// request for its head, or refuses it, before anything else is done with it.
///
/// # Errors
/// The submitter does not speak HTTP/2, or has broken the connection.
pub async fn serve<S, A, H, F>(
    stream: S,
    state: Rc<ConnectionState>,
    admit: A,
    handle: H,
) -> Result<(), ConnectionError>
where
    S: AsyncRead + AsyncWrite + Unpin,
    A: Fn(&Request<RecvStream>) -> Result<MemoryCharge, Box<Response<String>>>,
    H: Fn(Request<RecvStream>, MemoryCharge) -> F,
    F: Future<Output = Response<String>> + 'static,
{
    let mut builder = Builder::new();
    builder.max_header_list_size(MAX_HEADER_LIST_BYTES).max_concurrent_streams(MAX_STREAMS);
    let handshake = timeout(PREFACE_TIMEOUT, builder.handshake::<_, Bytes>(stream)).await;
    let mut connection = handshake.map_err(|_| ConnectionError::NoPreface)??;
    state.multiplex();
    let mut keep_alive = KeepAlive::new(connection.ping_pong());
    let mut goaway_sent = false;
    loop {
        // Requests that were decoded together are taken before more is read.
        let mut is_new_turn = false;
        let next = poll_fn(|cx| {
            if std::mem::replace(&mut is_new_turn, true) {
                state.begin_turn();
            }
            poll_request(&mut connection, &state, &mut keep_alive, &mut goaway_sent, cx)
        });
        let Some(accepted) = next.await else { return Ok(()) };
        let (request, respond) = accepted?;
        match admit(&request) {
            Err(response) => send_response(respond, *response),
            Ok(charge) => {
                let open = OpenRequest::begin(&state);
                let response = handle(request, charge);
                actix_rt::spawn(async move {
                    send_response(respond, response.await);
                    drop(open);
                });
            }
        }
    }
}

type Accepted = Result<(Request<RecvStream>, SendResponse<Bytes>), h2::Error>;

/// Polls for the next request; `None` once the connection has ended.
fn poll_request<S: AsyncRead + AsyncWrite + Unpin>(
    connection: &mut Connection<S, Bytes>,
    state: &ConnectionState,
    keep_alive: &mut KeepAlive,
    goaway_sent: &mut bool,
    cx: &mut Context<'_>,
) -> Poll<Option<Accepted>> {
    if state.is_closed() && !std::mem::replace(goaway_sent, true) {
        connection.graceful_shutdown();
    }
    if keep_alive.poll_silence(cx).is_ready() {
        return Poll::Ready(None);
    }
    connection.poll_accept(cx)
}

/// Sends a response. Fails only if the submitter has cancelled the request or is gone; then nobody needs it.
fn send_response(mut respond: SendResponse<Bytes>, response: Response<String>) {
    let (mut head, body) = response.into_parts();
    let date = httpdate::fmt_http_date(SystemTime::now());
    head.headers.insert(header::DATE, date.parse().expect("a date is text"));
    head.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    let is_empty = body.is_empty();
    if let Ok(mut stream) = respond.send_response(Response::from_parts(head, ()), is_empty)
        && !is_empty
    {
        let _ = stream.send_data(body.into(), true);
    }
}

/// Finds submitters that are gone without having closed their connection.
struct KeepAlive {
    ping_pong: Option<PingPong>,
    timer: Pin<Box<Sleep>>,
    /// A PING has been sent and not been answered.
    in_flight: bool,
}

impl KeepAlive {
    fn new(ping_pong: Option<PingPong>) -> KeepAlive {
        KeepAlive { ping_pong, timer: Box::pin(sleep(KEEP_ALIVE)), in_flight: false }
    }

    /// Ready once a PING has not been answered in time.
    fn poll_silence(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(ping_pong) = &mut self.ping_pong else { return Poll::Pending };
        loop {
            if self.in_flight && ping_pong.poll_pong(cx).is_ready() {
                self.in_flight = false;
                self.timer.as_mut().reset((Instant::now() + KEEP_ALIVE).into());
            }
            std::task::ready!(self.timer.as_mut().poll(cx));
            if self.in_flight || ping_pong.send_ping(Ping::opaque()).is_err() {
                return Poll::Ready(());
            }
            self.in_flight = true;
            self.timer.as_mut().reset((Instant::now() + KEEP_ALIVE).into());
        }
    }
}
