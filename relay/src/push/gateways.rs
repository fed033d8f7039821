//! Sends push messages to gateways over HTTP/2.
//!
//! The HTTP client awc speaks HTTP/2 only over TLS, sends one request at a time on a connection, and cannot tell GOAWAY
//! from a broken connection; so the push front uses `h2` directly. A claim is one stream, and this module never retries a
//! request. [`super::pool`] decides which connection carries a stream, and when connections are opened and closed.
use bytes::Bytes;
use futures_util::future::poll_fn;
use h2::client::{Connection, SendRequest};
use h2::{Ping, PingPong, SendStream};
use http::{Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;
use tokio_util::either::Either;

use super::pool::{Action, ClaimId, ClaimResult, ConnectionId, Denial, Pool};
use super::{PATH, TOPIC, TTL};
use crate::config::{GatewayTls, PoolLimits, TlsTarget};
use crate::core::{Core, Node, SendPermit, Transport};
use crate::job::{Job, Outcome};
use crate::journal::FinalNotice;
use crate::{clock, tls};

/// Reset streams that are remembered, so that a late response to a cancelled claim does not end the connection.
const MAX_RESET_STREAMS: usize = 1024;
/// Closed connections that a claim may be assigned to before it fails as not connected.
const MAX_CLOSED_CONNECTIONS: usize = 3;
/// Maximum size of a response body that is read, and the time allowed for reading it.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;
const RESPONSE_BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of the header list of a response, in bytes.
const MAX_RESPONSE_HEADER_BYTES: u32 = 16 * 1024;
/// Time allowed for the receiver of notices to acknowledge one.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval between maintenance runs on all connections.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// The [`Transport`] of the push front: sends messages to gateways, and notices to their receiver, over pooled connections.
pub struct Gateways {
    gateways: RefCell<HashMap<SocketAddr, Rc<Gateway>>>,
    notices: Cell<SocketAddr>,
    limits: Cell<PoolLimits>,
    tls: RefCell<GatewayTls>,
}

type Stream = Either<TcpStream, TlsStream<TcpStream>>;

/// A gateway with its connection pool.
struct Gateway {
    address: SocketAddr,
    tls_target: RefCell<Option<TlsTarget>>,
    pool: RefCell<Pool>,
    connections: RefCell<HashMap<ConnectionId, OpenConnection>>,
    waiting: RefCell<HashMap<ClaimId, oneshot::Sender<Result<ConnectionId, Denial>>>>,
}

/// An established HTTP/2 connection.
struct OpenConnection {
    sender: SendRequest<Bytes>,
    /// `None` while a PING is in flight.
    ping_pong: Option<PingPong>,
    /// The task that does the connection's I/O.
    driver: actix_rt::task::JoinHandle<()>,
}

type Driver = Connection<Stream, Bytes>;

/// A claim in a gateway's pool, waiting for a stream or holding one. Dropping it releases the stream or cancels the wait.
struct PoolClaim {
    gateway: Rc<Gateway>,
    claim: ClaimId,
    result: ClaimResult,
}

impl Drop for PoolClaim {
    fn drop(&mut self) {
        self.gateway.waiting.borrow_mut().remove(&self.claim);
        self.gateway.update_pool(|pool, now, actions| pool.release(now, self.claim, self.result, actions));
    }
}

impl Gateway {
    fn new(address: SocketAddr, limits: PoolLimits, tls_target: Option<TlsTarget>) -> Rc<Self> {
        Rc::new(Gateway {
            address,
            tls_target: RefCell::new(tls_target),
            pool: RefCell::new(Pool::new(limits)),
            connections: RefCell::default(),
            waiting: RefCell::default(),
        })
    }

    /// Reports an event to the pool and carries out the actions that it returns.
    fn update_pool<T>(self: &Rc<Self>, event: impl FnOnce(&mut Pool, Instant, &mut Vec<Action>) -> T) -> T {
        let mut actions = Vec::new();
        let result = event(&mut self.pool.borrow_mut(), Instant::now(), &mut actions);
        actions.into_iter().for_each(|action| self.execute(action));
        result
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Dial(id) => _ = actix_rt::spawn(self.clone().connect(id)),
            Action::Ping(id) => {
                let pings = self.connections.borrow_mut().get_mut(&id).and_then(|open| open.ping_pong.take());
                pings.into_iter().for_each(|pings| _ = actix_rt::spawn(self.clone().ping(id, pings)));
            }
            // An h2 connection closes when its last `SendRequest` handle is dropped.
            Action::Close(id) => _ = self.connections.borrow_mut().remove(&id),
            Action::Abort(id) => {
                tracing::warn!(address = %self.address, "gateway connection is unresponsive; aborting it");
                self.connections.borrow_mut().remove(&id).into_iter().for_each(|open| open.driver.abort());
            }
            Action::Grant(claim, id) => self.resolve_claim(claim, Ok(id)),
            Action::Deny(claim, why) => self.resolve_claim(claim, Err(why)),
        }
    }

    /// Delivers the result to a waiting claim. A claim that is no longer waiting has been released, or is about to be.
    fn resolve_claim(&self, claim: ClaimId, assignment: Result<ConnectionId, Denial>) {
        let waiter = self.waiting.borrow_mut().remove(&claim);
        waiter.into_iter().for_each(|waiter| _ = waiter.send(assignment));
    }

    async fn connect(self: Rc<Self>, id: ConnectionId) {
        let connect_timeout = self.pool.borrow().limits().connect_timeout;
        let tls_target = self.tls_target.borrow().clone();
        let connected = match timeout(connect_timeout, handshake(self.address, tls_target)).await {
            Ok(connected) => connected,
            Err(_) => Err("connection attempt timed out".into()),
        };
        match connected {
            Ok((sender, pings, connection)) => {
                let allowed = sender.current_max_send_streams();
                let driver = actix_rt::spawn(self.clone().drive(id, connection));
                let connection = OpenConnection { sender, ping_pong: Some(pings), driver };
                self.connections.borrow_mut().insert(id, connection);
                self.update_pool(|pool, now, actions| pool.connected(now, id, allowed, actions));
            }
            Err(error) => {
                tracing::debug!(address = %self.address, error, "no connection to a gateway");
                self.update_pool(|pool, now, actions| pool.connect_failed(now, id, actions));
            }
        }
    }

    async fn drive(self: Rc<Self>, id: ConnectionId, connection: Driver) {
        if let Err(error) = connection.await {
            tracing::debug!(address = %self.address, %error, "connection to a gateway closed with an error");
        }
        self.connections.borrow_mut().remove(&id);
        self.update_pool(|pool, now, actions| pool.closed(now, id, actions));
    }

    async fn ping(self: Rc<Self>, id: ConnectionId, mut pings: PingPong) {
        if pings.ping(Ping::opaque()).await.is_ok() {
            if let Some(open) = self.connections.borrow_mut().get_mut(&id) {
                open.ping_pong = Some(pings);
            }
            self.update_pool(|pool, now, actions| pool.activity(now, id, actions));
        }
    }

    /// Updates the pool with the gateway's current stream limit of each connection.
    fn refresh_peer_limits(self: &Rc<Self>) {
        let allowed: Vec<_> = {
            let connections = self.connections.borrow();
            connections.iter().map(|(id, open)| (*id, open.sender.current_max_send_streams())).collect()
        };
        self.update_pool(|pool, now, actions| {
            allowed
                .into_iter()
                .for_each(|(id, allowed)| pool.set_peer_max_streams(now, id, allowed, actions));
        });
    }

    /// Waits for a connection that can open a stream now.
    async fn acquire_stream(
        self: &Rc<Self>,
    ) -> Result<(PoolClaim, ConnectionId, SendRequest<Bytes>), CallError> {
        for _ in 0..MAX_CLOSED_CONNECTIONS {
            self.refresh_peer_limits();
            let (waiter, assignment) = oneshot::channel();
            let claim = self.update_pool(|pool, now, actions| {
                let claim = pool.request_stream(now, actions);
                // The result may already be among the actions, so the waiter is registered before they are executed.
                self.waiting.borrow_mut().insert(claim, waiter);
                claim
            });
            let mut pool_claim = PoolClaim { gateway: self.clone(), claim, result: ClaimResult::NoResponse };
            let connection = match assignment.await {
                Ok(Ok(connection)) => connection,
                Ok(Err(Denial::GatewayRemoved)) => return Err(CallError::NotSent),
                _ => return Err(CallError::Unconnected("no connection could be established".into())),
            };
            let sender = self.connections.borrow().get(&connection).map(|open| open.sender.clone());
            if let Some(sender) = sender
                && let Ok(sender) = sender.ready().await
            {
                return Ok((pool_claim, connection, sender));
            }
            // Bounds the attempts at a gateway that closes every new connection.
            pool_claim.result = ClaimResult::Responded;
            self.update_pool(|pool, now, actions| pool.going_away(now, connection, actions));
        }
        Err(CallError::Unconnected("the gateway closes its connections at once".into()))
    }

    /// Sends a request on a new stream, provided that `begin` returns true, and waits for the response headers. `on_sent`
    /// is called before the last byte of the request is passed to h2.
    async fn call(
        self: Rc<Self>,
        request: Request<()>,
        body: Bytes,
        begin: impl Fn() -> bool,
        on_sent: impl Fn(),
    ) -> Result<Response<()>, CallError> {
        let (mut pool_claim, connection, mut sender) = self.acquire_stream().await?;
        if !begin() {
            pool_claim.result = ClaimResult::Responded;
            return Err(CallError::NotSent);
        }
        if body.is_empty() {
            // h2 does not report when the last byte is written: from here on, the request may have run.
            on_sent();
        }
        let (response, mut stream) = match sender.send_request(request, body.is_empty()) {
            Ok(opened) => opened,
            Err(e) => {
                self.update_pool(|pool, now, actions| pool.going_away(now, connection, actions));
                return Err(CallError::Unconnected(e.to_string()));
            }
        };
        let body_sent = Cell::new(body.is_empty());
        let upload = async {
            if !body.is_empty() {
                send_body(&mut stream, body, || {
                    on_sent();
                    body_sent.set(true);
                })
                .await?;
            }
            std::future::pending::<Result<Response<h2::RecvStream>, h2::Error>>().await
        };
        // The response may arrive before the whole body is sent; the remainder is then not sent.
        let response = tokio::select! {
            biased;
            response = response => response,
            Err(error) = upload => Err(error),
        };
        let response = match response {
            Ok(response) => response,
            Err(error) => return Err(pool_claim.classify_error(connection, &error, body_sent.get())),
        };
        pool_claim.result = ClaimResult::Responded;
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            // RFC 9110, 15.5.20: the server cannot serve the request on this connection; nothing was done.
            self.update_pool(|pool, now, actions| pool.going_away(now, connection, actions));
            return Err(CallError::NotSent);
        }
        let (head, mut body_stream) = response.into_parts();
        actix_rt::spawn(async move {
            let mut length = 0;
            let drain = async {
                while let Some(Ok(chunk)) = body_stream.data().await {
                    length += chunk.len();
                    let within_limit = length <= MAX_RESPONSE_BYTES;
                    if !within_limit || body_stream.flow_control().release_capacity(chunk.len()).is_err() {
                        break;
                    }
                }
            };
            // Guards against endless response bodies: the stream is reset when it is dropped.
            let _ = timeout(RESPONSE_BODY_TIMEOUT, drain).await;
            drop((body_stream, pool_claim));
        });
        Ok(Response::from_parts(head, ()))
    }
}

/// Sends a body within the gateway's flow control windows. `before_last` is called before the last part.
async fn send_body(
    stream: &mut SendStream<Bytes>,
    mut body: Bytes,
    before_last: impl Fn(),
) -> Result<(), h2::Error> {
    loop {
        stream.reserve_capacity(body.len());
        let capacity = poll_fn(|cx| stream.poll_capacity(cx)).await;
        let capacity = capacity.unwrap_or(Err(h2::Reason::STREAM_CLOSED.into()))?;
        if capacity >= body.len() {
            before_last();
            return stream.send_data(body, true);
        }
        if capacity > 0 {
            stream.send_data(body.split_to(capacity), false)?;
        }
    }
}

/// Why a call got no response.
enum CallError {
    /// The request was not sent completely.
    Unconnected(String),
    /// The request never ran, and that is not a failure of the gateway.
    NotSent,
    /// The request may have run.
    Reset(String),
}

impl PoolClaim {
    /// Classifies an error of a claim, depending on whether its whole request was sent.
    fn classify_error(&mut self, connection: ConnectionId, error: &h2::Error, body_sent: bool) -> CallError {
        // h2 fails a stream with the peer's GOAWAY only if its id is above the last stream id in the frame; lower ones
        // continue and fail with the connection. By RFC 9113 the former were never processed. The RFC says the same of
        // REFUSED_STREAM, but a gateway that resets streams at random also sends it for requests that it has processed.
        if error.is_go_away() && error.is_remote() {
            self.result = ClaimResult::Responded;
            self.gateway.update_pool(|pool, now, actions| pool.going_away(now, connection, actions));
            return CallError::NotSent;
        }
        if error.is_reset() && error.is_remote() {
            self.result = ClaimResult::Responded;
        } else {
            self.gateway.update_pool(|pool, now, actions| pool.going_away(now, connection, actions));
        }
        match body_sent {
            true => CallError::Reset(error.to_string()),
            false => {
                CallError::Unconnected(format!("failed before the request was sent completely: {error}"))
            }
        }
    }
}

async fn handshake(
    address: SocketAddr,
    tls_target: Option<TlsTarget>,
) -> Result<(SendRequest<Bytes>, PingPong, Driver), String> {
    let stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let stream = match tls_target {
        None => Either::Left(stream),
        Some((config, name)) => {
            let tls_stream = TlsConnector::from(config).connect(name, stream).await;
            let tls_stream = tls_stream.map_err(|e| format!("TLS: {e}"))?;
            if !tls::negotiated_h2(tls_stream.get_ref().1.alpn_protocol()) {
                return Err("TLS: HTTP/2 was not negotiated (ALPN)".into());
            }
            Either::Right(tls_stream)
        }
    };
    let mut builder = h2::client::Builder::new();
    builder
        .enable_push(false)
        .max_concurrent_reset_streams(MAX_RESET_STREAMS)
        .max_header_list_size(MAX_RESPONSE_HEADER_BYTES);
    let (sender, mut connection) = builder.handshake(stream).await.map_err(|e| e.to_string())?;
    let mut pings = connection.ping_pong().ok_or("h2 provides no PING handle")?;
    // The peer's SETTINGS arrive before its first PING acknowledgement. Waiting for it guards against streams that h2
    // queues because the gateway allows fewer than h2 assumed, and against a peer that does not speak HTTP/2: in both
    // cases the requests would look as if they had been sent.
    tokio::select! {
        pong = pings.ping(Ping::opaque()) => {
            pong.map_err(|e| e.to_string())?;
        }
        end = &mut connection => return Err(end.err().map_or("connection closed during the handshake".into(), |e| e.to_string())),
    }
    Ok((sender, pings, connection))
}

/// Maps a response to an outcome. RFC 8030 defines 201 for an accepted message, 404 and 410 for a subscription that does
/// not exist any more, 413 for a message that is too large and 429 for rate limiting.
fn outcome(response: &Response<()>) -> Outcome {
    let wait =
        response.headers().get(http::header::RETRY_AFTER).and_then(|v| v.to_str().ok()).and_then(retry_after);
    match response.status().as_u16() {
        200..=299 => Outcome::Delivered,
        429 => Outcome::Full { wait },
        // With Retry-After the message was not accepted; a 503 without it may come from a server behind the gateway.
        503 if wait.is_some() => Outcome::Full { wait },
        408 | 500..=599 => Outcome::Error,
        status => Outcome::Rejected(status),
    }
}

/// Parses Retry-After: seconds or a date (RFC 9110, 10.2.3).
fn retry_after(text: &str) -> Option<Duration> {
    crate::job::parse_wait_seconds(text).or_else(|| {
        let date = httpdate::parse_http_date(text.trim()).ok()?;
        date.duration_since(SystemTime::now()).ok().map(crate::job::cap_wait)
    })
}

fn request(job: &Job, address: SocketAddr) -> Result<Request<()>, http::Error> {
    let path = job.field(PATH).and_then(|p| std::str::from_utf8(p).ok()).unwrap_or("/");
    let mut request = Request::post(format!("http://{address}{path}"));
    for (name, value) in job.fields.iter().filter(|(name, _)| name != PATH && name != TTL) {
        request = request.header(name.as_str(), value.as_ref());
    }
    // The remaining time to live in whole seconds. An original TTL of 0 (deliver at once or never) is passed on unchanged.
    let left = job.deadline.duration_since(clock::now()).unwrap_or_default().as_secs();
    let ttl = if job.field(TTL) == Some(b"0") { 0 } else { left };
    request.header(TTL, ttl).body(())
}

impl Gateways {
    pub fn new(limits: PoolLimits, notices: SocketAddr) -> Self {
        let (notices, limits) = (Cell::new(notices), Cell::new(limits));
        Gateways { gateways: RefCell::default(), notices, limits, tls: RefCell::default() }
    }

    /// Replaces the TLS settings of all gateways. They apply to new connections; open ones keep the settings they were
    /// opened with.
    pub fn set_tls(&self, tls: GatewayTls) {
        for (address, gateway) in self.gateways.borrow().iter() {
            *gateway.tls_target.borrow_mut() = tls.target(*address);
        }
        *self.tls.borrow_mut() = tls;
    }

    /// Replaces the pool limits and the receiver of notices. Calls in flight are not affected.
    pub fn reconfigure(&self, limits: PoolLimits, notices: SocketAddr) {
        self.limits.set(limits);
        self.notices.set(notices);
        let gateways = self.gateways.borrow();
        gateways.values().for_each(|gateway| gateway.pool.borrow_mut().set_limits(limits));
    }

    fn gateway_or_new(&self, address: SocketAddr) -> Rc<Gateway> {
        let mut gateways = self.gateways.borrow_mut();
        let new = || Gateway::new(address, self.limits.get(), self.tls.borrow().target(address));
        gateways.entry(address).or_insert_with(new).clone()
    }

    fn existing_gateway(&self, address: SocketAddr) -> Option<Rc<Gateway>> {
        self.gateways.borrow().get(&address).cloned()
    }
}

impl Transport for Gateways {
    async fn claim(&self, job: &Job, node: &Node, _limit: Duration, permit: &Rc<SendPermit>) -> Outcome {
        let request = match request(job, node.address) {
            Ok(request) => request,
            Err(error) => {
                tracing::error!(id = job.id, %error, "job cannot be encoded as an HTTP request; rejecting it");
                return Outcome::Rejected(400);
            }
        };
        let call = self.gateway_or_new(node.address).call(
            request,
            job.body.clone(),
            || permit.begin(),
            || permit.mark_sent(),
        );
        match call.await {
            Ok(response) => outcome(&response),
            Err(CallError::Unconnected(error)) => {
                tracing::debug!(node = &*node.name, error, "request could not be sent to the gateway");
                Outcome::Unconnected
            }
            Err(CallError::NotSent) => Outcome::NotSent,
            Err(CallError::Reset(error)) => {
                tracing::debug!(
                    node = &*node.name,
                    id = job.id,
                    error,
                    "gateway stream failed; the request may have run"
                );
                Outcome::Reset
            }
        }
    }

    async fn notify(&self, end: &FinalNotice) -> Result<(), String> {
        let notice = end.notice();
        let body = Bytes::from(crate::notice::encode(notice));
        let request = Request::post(format!("http://{}/reports", self.notices.get())).body(());
        let request = request.map_err(|e| e.to_string())?;
        let call = self.gateway_or_new(self.notices.get()).call(request, body, || true, || ());
        match timeout(NOTICE_TIMEOUT, call).await {
            Err(_) => Err("timed out waiting for a response".into()),
            Ok(Ok(response)) if response.status().is_success() => Ok(()),
            Ok(Ok(response)) if response.status() == 400 => {
                tracing::error!(
                    id = notice.id,
                    "receiver of notices rejected a notice as invalid (400); it is not sent again"
                );
                Ok(())
            }
            Ok(Ok(response)) => Err(format!("status {}", response.status())),
            Ok(Err(CallError::Unconnected(e) | CallError::Reset(e))) => Err(e),
            Ok(Err(CallError::NotSent)) => Err("gateway connection is going away".into()),
        }
    }

    fn replacement_key(&self, job: &Job) -> Option<String> {
        let (path, topic) = (job.field(PATH)?, job.field(TOPIC)?);
        Some(format!("{} {} {}", job.dest, String::from_utf8_lossy(path), String::from_utf8_lossy(topic)))
    }

    fn close_idle(&self, node: &Node) {
        let gateway = self.existing_gateway(node.address);
        gateway
            .into_iter()
            .for_each(|gateway| gateway.update_pool(|pool, now, actions| pool.close_idle(now, actions)));
    }

    fn node_removed(&self, node: &Node) {
        // Streams in flight continue until they end.
        let gateway = self.existing_gateway(node.address);
        gateway
            .into_iter()
            .for_each(|gateway| gateway.update_pool(|pool, _, actions| pool.remove_gateway(actions)));
    }
}

/// Maintains the connections while the push front runs: closes idle ones, pings quiet ones and aborts unresponsive ones.
pub async fn maintain_connections(core: Rc<Core<Gateways>>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        let gateways: Vec<_> = core.transport.gateways.borrow().values().cloned().collect();
        for gateway in gateways {
            gateway.refresh_peer_limits();
            gateway.update_pool(|pool, now, actions| pool.tick(now, actions));
        }
        // Drops unused pools; otherwise there would be one for every gateway that was ever called.
        core.transport
            .gateways
            .borrow_mut()
            .retain(|_, gateway| Rc::strong_count(gateway) > 1 || !gateway.pool.borrow().is_empty());
    }
}
