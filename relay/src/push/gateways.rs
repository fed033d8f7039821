//! The way out: push messages to gateways over HTTP/2.
//!
//! awc speaks HTTP/2 over TLS only, puts one request at a time on a connection, and tells no GOAWAY from a
//! broken connection; so this front uses `h2` itself. A claim is one stream. Nothing is ever sent again here.
//! Which connection a stream goes on, and when connections open and end, is [`super::pool`]'s.
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

use super::pool::{ClaimId, Denial, Left, LineId, Order, Pool};
use super::{PATH, TOPIC, TTL};
use crate::clock;
use crate::config::{GatewayTls, PoolLimits, TlsTarget};
use crate::core::{Carrier, Core, Node, Ticket};
use crate::job::{Job, Outcome};
use crate::journal::SettledEnd;
use crate::tls;

/// Streams of claims given up that a late answer may still come for without ending the connection.
const RESET_STREAMS: usize = 1024;
/// Connections found closed before a claim counts as not connected.
const CLOSED_ONES: usize = 3;
/// Most bytes of an answer that are read, and how long its end is waited for.
const LONGEST_ANSWER: usize = 64 * 1024;
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// Head fields of an answer that are read, in bytes.
const LONGEST_HEAD: u32 = 16 * 1024;
/// How long the reader of notices may take to acknowledge one.
const NOTICE_TIME: Duration = Duration::from_millis(1500);
/// How often connections are looked at.
const LOOK: Duration = Duration::from_millis(250);

pub struct Gateways {
    gateways: RefCell<HashMap<SocketAddr, Rc<Gateway>>>,
    notices: Cell<SocketAddr>,
    limits: Cell<PoolLimits>,
    secured: RefCell<GatewayTls>,
}

type Stream = Either<TcpStream, TlsStream<TcpStream>>;

/// The connections to one gateway.
struct Gateway {
    address: SocketAddr,
    trust: RefCell<Option<TlsTarget>>,
    pool: RefCell<Pool>,
    lines: RefCell<HashMap<LineId, Line>>,
    waiting: RefCell<HashMap<ClaimId, oneshot::Sender<Result<LineId, Denial>>>>,
}

/// One HTTP/2 connection that is up.
struct Line {
    sender: SendRequest<Bytes>,
    /// Taken while a ping is out.
    pings: Option<PingPong>,
    /// Reads and writes it.
    driver: actix_rt::task::JoinHandle<()>,
}

type Driver = Connection<Stream, Bytes>;

/// A claim's place at a gateway: it waits for a stream or has one.
struct Place {
    gateway: Rc<Gateway>,
    claim: ClaimId,
    left: Left,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.gateway.waiting.borrow_mut().remove(&self.claim);
        self.gateway.tell(|pool, now, orders| pool.leave(now, self.claim, self.left, orders));
    }
}

impl Gateway {
    fn new(address: SocketAddr, limits: PoolLimits, trust: Option<TlsTarget>) -> Rc<Self> {
        Rc::new(Gateway {
            address,
            trust: RefCell::new(trust),
            pool: RefCell::new(Pool::new(limits)),
            lines: RefCell::default(),
            waiting: RefCell::default(),
        })
    }

    /// Tells the pool what has happened and does what it orders.
    fn tell<T>(self: &Rc<Self>, event: impl FnOnce(&mut Pool, Instant, &mut Vec<Order>) -> T) -> T {
        let mut orders = Vec::new();
        let told = event(&mut self.pool.borrow_mut(), Instant::now(), &mut orders);
        orders.into_iter().for_each(|order| self.act(order));
        told
    }

    fn act(self: &Rc<Self>, order: Order) {
        match order {
            Order::Dial(id) => _ = actix_rt::spawn(self.clone().dial(id)),
            Order::Ping(id) => {
                let pings = self.lines.borrow_mut().get_mut(&id).and_then(|line| line.pings.take());
                pings.into_iter().for_each(|pings| _ = actix_rt::spawn(self.clone().ping(id, pings)));
            }
            // Without its last handle a connection ends by itself.
            Order::Close(id) => _ = self.lines.borrow_mut().remove(&id),
            Order::Break(id) => {
                tracing::warn!(address = %self.address, "a gateway's connection is silent; it is broken off");
                self.lines.borrow_mut().remove(&id).into_iter().for_each(|line| line.driver.abort());
            }
            Order::Grant(claim, id) => self.answer(claim, Ok(id)),
            Order::Deny(claim, why) => self.answer(claim, Err(why)),
        }
    }

    /// A claim that is gone has left the pool, or is about to.
    fn answer(&self, claim: ClaimId, answer: Result<LineId, Denial>) {
        let seat = self.waiting.borrow_mut().remove(&claim);
        seat.into_iter().for_each(|seat| _ = seat.send(answer));
    }

    async fn dial(self: Rc<Self>, id: LineId) {
        let limit = self.pool.borrow().limits().dial;
        let trust = self.trust.borrow().clone();
        let up = match timeout(limit, handshake(self.address, trust)).await {
            Ok(up) => up,
            Err(_) => Err("no connection in time".into()),
        };
        match up {
            Ok((sender, pings, connection)) => {
                let allowed = sender.current_max_send_streams();
                let driver = actix_rt::spawn(self.clone().drive(id, connection));
                let line = Line { sender, pings: Some(pings), driver };
                self.lines.borrow_mut().insert(id, line);
                self.tell(|pool, now, orders| pool.connected(now, id, allowed, orders));
            }
            Err(error) => {
                tracing::debug!(address = %self.address, error, "no connection to a gateway");
                self.tell(|pool, now, orders| pool.failed(now, id, orders));
            }
        }
    }

    async fn drive(self: Rc<Self>, id: LineId, connection: Driver) {
        if let Err(error) = connection.await {
            tracing::debug!(address = %self.address, %error, "connection to a gateway ended");
        }
        self.lines.borrow_mut().remove(&id);
        self.tell(|pool, now, orders| pool.closed(now, id, orders));
    }

    async fn ping(self: Rc<Self>, id: LineId, mut pings: PingPong) {
        if pings.ping(Ping::opaque()).await.is_ok() {
            if let Some(line) = self.lines.borrow_mut().get_mut(&id) {
                line.pings = Some(pings);
            }
            self.tell(|pool, now, orders| pool.heard(now, id, orders));
        }
    }

    /// Takes up how many streams the gateway allows by now on each connection.
    fn look(self: &Rc<Self>) {
        let allowed: Vec<_> = {
            let lines = self.lines.borrow();
            lines.iter().map(|(id, line)| (*id, line.sender.current_max_send_streams())).collect()
        };
        self.tell(|pool, now, orders| {
            allowed.into_iter().for_each(|(id, allowed)| pool.allows(now, id, allowed, orders));
        });
    }

    /// A place on a connection that takes a stream.
    async fn place(self: &Rc<Self>) -> Result<(Place, LineId, SendRequest<Bytes>), Fault> {
        for _ in 0..CLOSED_ONES {
            self.look();
            let (seat, answer) = oneshot::channel();
            let claim = self.tell(|pool, now, orders| {
                let claim = pool.want(now, orders);
                // The answer may be among the orders.
                self.waiting.borrow_mut().insert(claim, seat);
                claim
            });
            let mut place = Place { gateway: self.clone(), claim, left: Left::Unheard };
            let line = match answer.await {
                Ok(Ok(line)) => line,
                Ok(Err(Denial::Withdrawn)) => return Err(Fault::NotSent),
                _ => return Err(Fault::Unconnected("no connection came up".into())),
            };
            let sender = self.lines.borrow().get(&line).map(|line| line.sender.clone());
            if let Some(sender) = sender
                && let Ok(sender) = sender.ready().await
            {
                return Ok((place, line, sender));
            }
            // Guards against a gateway that closes each new connection: a few are enough to count as none.
            place.left = Left::Heard;
            self.tell(|pool, now, orders| pool.going_away(now, line, orders));
        }
        Err(Fault::Unconnected("connections close at once".into()))
    }

    /// Sends a request on a stream of its own, once `begin` says so, and waits for its answer's head. `sent` is told
    /// before the last byte is handed over.
    async fn call(
        self: Rc<Self>,
        request: Request<()>,
        body: Bytes,
        begin: impl Fn() -> bool,
        sent: impl Fn(),
    ) -> Result<Response<()>, Fault> {
        let (mut place, line, mut sender) = self.place().await?;
        if !begin() {
            place.left = Left::Heard;
            return Err(Fault::NotSent);
        }
        if body.is_empty() {
            // h2 does not tell when the last byte is written: from here on it may have run.
            sent();
        }
        let (answer, mut stream) = match sender.send_request(request, body.is_empty()) {
            Ok(opened) => opened,
            Err(e) => {
                self.tell(|pool, now, orders| pool.going_away(now, line, orders));
                return Err(Fault::Unconnected(e.to_string()));
            }
        };
        let whole = Cell::new(body.is_empty());
        let pass = async {
            if !body.is_empty() {
                send_body(&mut stream, body, || {
                    sent();
                    whole.set(true);
                })
                .await?;
            }
            std::future::pending::<Result<Response<h2::RecvStream>, h2::Error>>().await
        };
        // An answer may come before the body is out; then the rest is not wanted.
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            Err(error) = pass => Err(error),
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => return Err(place.broken(line, &error, whole.get())),
        };
        place.left = Left::Heard;
        if answer.status() == StatusCode::MISDIRECTED_REQUEST {
            // RFC 9110, 15.5.20: not on this connection; nothing was done.
            self.tell(|pool, now, orders| pool.going_away(now, line, orders));
            return Err(Fault::NotSent);
        }
        let (head, mut rest) = answer.into_parts();
        actix_rt::spawn(async move {
            let mut length = 0;
            let drain = async {
                while let Some(Ok(chunk)) = rest.data().await {
                    length += chunk.len();
                    let more = length <= LONGEST_ANSWER;
                    if !more || rest.flow_control().release_capacity(chunk.len()).is_err() {
                        break;
                    }
                }
            };
            // Guards against answers without an end: their streams are reset.
            let _ = timeout(ANSWER_TIME, drain).await;
            drop((rest, place));
        });
        Ok(Response::from_parts(head, ()))
    }
}

/// Sends a body as far as the gateway's windows let it; `last` is called before its last part.
async fn send_body(
    stream: &mut SendStream<Bytes>,
    mut body: Bytes,
    last: impl Fn(),
) -> Result<(), h2::Error> {
    loop {
        stream.reserve_capacity(body.len());
        let room = poll_fn(|cx| stream.poll_capacity(cx)).await;
        let room = room.unwrap_or(Err(h2::Reason::STREAM_CLOSED.into()))?;
        if room >= body.len() {
            last();
            return stream.send_data(body, true);
        }
        if room > 0 {
            stream.send_data(body.split_to(room), false)?;
        }
    }
}

/// Why a call has no answer.
enum Fault {
    Unconnected(String),
    /// It never ran, and that is no fault of the gateway's.
    NotSent,
    /// It may have run.
    Reset(String),
}

impl Place {
    /// What an error means for a claim whose request went out wholly, or not.
    fn broken(&mut self, line: LineId, error: &h2::Error, whole: bool) -> Fault {
        // h2 ends a stream with the peer's GOAWAY only if its id is above the last that the peer names; those
        // below go on, and end with the connection. RFC 9113 holds the former for never processed. The same is
        // said of REFUSED_STREAM, but a gateway that resets at random says it of what it has processed.
        if error.is_go_away() && error.is_remote() {
            self.left = Left::Heard;
            self.gateway.tell(|pool, now, orders| pool.going_away(now, line, orders));
            return Fault::NotSent;
        }
        if error.is_reset() && error.is_remote() {
            self.left = Left::Heard;
        } else {
            self.gateway.tell(|pool, now, orders| pool.going_away(now, line, orders));
        }
        match whole {
            true => Fault::Reset(error.to_string()),
            false => Fault::Unconnected(format!("broken before its last byte: {error}")),
        }
    }
}

async fn handshake(
    address: SocketAddr,
    trust: Option<TlsTarget>,
) -> Result<(SendRequest<Bytes>, PingPong, Driver), String> {
    let stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let stream = match trust {
        None => Either::Left(stream),
        Some((config, name)) => {
            let secured = TlsConnector::from(config).connect(name, stream).await;
            let secured = secured.map_err(|e| format!("TLS: {e}"))?;
            if !tls::negotiated_h2(secured.get_ref().1.alpn_protocol()) {
                return Err("TLS: it does not agree on HTTP/2".into());
            }
            Either::Right(secured)
        }
    };
    let mut builder = h2::client::Builder::new();
    builder.enable_push(false).max_concurrent_reset_streams(RESET_STREAMS).max_header_list_size(LONGEST_HEAD);
    let (sender, mut connection) = builder.handshake(stream).await.map_err(|e| e.to_string())?;
    let mut pings = connection.ping_pong().ok_or("no pings on a new connection")?;
    // A peer's settings come before its first pong. Guards against streams that wait within h2 because the
    // gateway allows fewer than were opened on trust, and against a peer that speaks something else: both
    // would look as if they had been sent.
    tokio::select! {
        pong = pings.ping(Ping::opaque()) => {
            pong.map_err(|e| e.to_string())?;
        }
        end = &mut connection => return Err(end.err().map_or("closed at once".into(), |e| e.to_string())),
    }
    Ok((sender, pings, connection))
}

/// The meaning of an answer. RFC 8030 has 201 for a message taken on, 404 and 410 for a subscription that is
/// gone, 413 for a message too large and 429 for a gateway that wants fewer.
fn outcome(answer: &Response<()>) -> Outcome {
    let wait =
        answer.headers().get(http::header::RETRY_AFTER).and_then(|v| v.to_str().ok()).and_then(retry_after);
    match answer.status().as_u16() {
        200..=299 => Outcome::Delivered,
        429 => Outcome::Full { wait },
        // Told to come back, it was not taken on; a bare 503 may come from behind the gateway.
        503 if wait.is_some() => Outcome::Full { wait },
        408 | 500..=599 => Outcome::Error,
        status => Outcome::Rejected(status),
    }
}

/// Seconds or a date, as RFC 9110 has it.
fn retry_after(text: &str) -> Option<Duration> {
    crate::job::told_seconds(text).or_else(|| {
        let date = httpdate::parse_http_date(text.trim()).ok()?;
        date.duration_since(SystemTime::now()).ok().map(crate::job::told_wait)
    })
}

fn request(job: &Job, address: SocketAddr) -> Result<Request<()>, http::Error> {
    let path = job.field(PATH).and_then(|p| std::str::from_utf8(p).ok()).unwrap_or("/");
    let mut request = Request::post(format!("http://{address}{path}"));
    for (name, value) in job.fields.iter().filter(|(name, _)| name != PATH && name != TTL) {
        request = request.header(name.as_str(), value.as_ref());
    }
    // What is left of the time to live, in whole seconds. Zero, at once or never, passes as it came.
    let left = job.deadline.duration_since(clock::now()).unwrap_or_default().as_secs();
    let ttl = if job.field(TTL) == Some(b"0") { 0 } else { left };
    request.header(TTL, ttl).body(())
}

impl Gateways {
    pub fn new(limits: PoolLimits, notices: SocketAddr) -> Self {
        let (notices, limits) = (Cell::new(notices), Cell::new(limits));
        Gateways { gateways: RefCell::default(), notices, limits, secured: RefCell::default() }
    }

    /// Takes up how gateways are reached by TLS. Connections that are up keep what they were opened with, and give way
    /// to others as they end.
    pub fn set_tls(&self, secured: GatewayTls) {
        for (address, gateway) in self.gateways.borrow().iter() {
            *gateway.trust.borrow_mut() = secured.of(*address);
        }
        *self.secured.borrow_mut() = secured;
    }

    /// Takes up other limits, and another reader of notices. What is under way goes on.
    pub fn reconfigure(&self, limits: PoolLimits, notices: SocketAddr) {
        self.limits.set(limits);
        self.notices.set(notices);
        let gateways = self.gateways.borrow();
        gateways.values().for_each(|gateway| gateway.pool.borrow_mut().settle(limits));
    }

    fn gateway(&self, address: SocketAddr) -> Rc<Gateway> {
        let mut gateways = self.gateways.borrow_mut();
        let new = || Gateway::new(address, self.limits.get(), self.secured.borrow().of(address));
        gateways.entry(address).or_insert_with(new).clone()
    }

    fn known(&self, address: SocketAddr) -> Option<Rc<Gateway>> {
        self.gateways.borrow().get(&address).cloned()
    }
}

impl Carrier for Gateways {
    async fn claim(&self, job: &Job, node: &Node, _limit: Duration, ticket: &Rc<Ticket>) -> Outcome {
        let request = match request(job, node.address) {
            Ok(request) => request,
            Err(error) => {
                tracing::error!(id = job.id, %error, "a job cannot be put as a request");
                return Outcome::Rejected(400);
            }
        };
        let call = self.gateway(node.address).call(
            request,
            job.body.clone(),
            || ticket.begin(),
            || ticket.mark_sent(),
        );
        match call.await {
            Ok(answer) => outcome(&answer),
            Err(Fault::Unconnected(error)) => {
                tracing::debug!(node = &*node.name, error, "no stream to a gateway");
                Outcome::Unconnected
            }
            Err(Fault::NotSent) => Outcome::NotSent,
            Err(Fault::Reset(error)) => {
                tracing::debug!(node = &*node.name, id = job.id, error, "stream broken");
                Outcome::Reset
            }
        }
    }

    async fn notify(&self, end: &SettledEnd) -> Result<(), String> {
        let notice = end.notice();
        let body = Bytes::from(crate::notice::line(notice));
        let request = Request::post(format!("http://{}/reports", self.notices.get())).body(());
        let request = request.map_err(|e| e.to_string())?;
        let call = self.gateway(self.notices.get()).call(request, body, || true, || ());
        match timeout(NOTICE_TIME, call).await {
            Err(_) => Err("no answer".into()),
            Ok(Ok(answer)) if answer.status().is_success() => Ok(()),
            Ok(Ok(answer)) if answer.status() == 400 => {
                tracing::error!(id = notice.id, "a notice cannot be read");
                Ok(())
            }
            Ok(Ok(answer)) => Err(format!("status {}", answer.status())),
            Ok(Err(Fault::Unconnected(e) | Fault::Reset(e))) => Err(e),
            Ok(Err(Fault::NotSent)) => Err("going away".into()),
        }
    }

    fn replaces(&self, job: &Job) -> Option<String> {
        let (path, topic) = (job.field(PATH)?, job.field(TOPIC)?);
        Some(format!("{} {} {}", job.dest, String::from_utf8_lossy(path), String::from_utf8_lossy(topic)))
    }

    fn close_idle(&self, node: &Node) {
        let gateway = self.known(node.address);
        gateway
            .into_iter()
            .for_each(|gateway| gateway.tell(|pool, now, orders| pool.close_idle(now, orders)));
    }

    fn forget(&self, node: &Node) {
        // Streams that are out go on until they end.
        let gateway = self.known(node.address);
        gateway.into_iter().for_each(|gateway| gateway.tell(|pool, _, orders| pool.withdraw(orders)));
    }
}

/// Looks after connections for as long as the front runs: idle ones are closed, silent ones broken off.
pub async fn maintain_connections(core: Rc<Core<Gateways>>) {
    loop {
        tokio::time::sleep(LOOK).await;
        let gateways: Vec<_> = core.carrier.gateways.borrow().values().cloned().collect();
        for gateway in gateways {
            gateway.look();
            gateway.tell(|pool, now, orders| pool.tick(now, orders));
        }
        // Guards against a pool for each gateway that was ever called.
        core.carrier
            .gateways
            .borrow_mut()
            .retain(|_, gateway| Rc::strong_count(gateway) > 1 || !gateway.pool.borrow().is_empty());
    }
}
