//! The way out: push messages to gateways over HTTP/2.
//!
//! awc speaks HTTP/2 over TLS only, puts one request at a time on a connection, and tells no GOAWAY from a
//! broken connection; so this front uses `h2` itself. A claim is one stream. Nothing is ever sent again here.
use bytes::Bytes;
use h2::client::SendRequest;
use http::{Request, Response};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{PATH, TTL};
use crate::config::Rules;
use crate::core::{Carrier, Core, Node, Ticket};
use crate::job::{Job, Notice, Outcome};

/// Streams on one connection before another is opened; a gateway may allow fewer.
const STREAMS: usize = 100;
/// Streams of claims given up that a late answer may still come for without ending the connection.
const RESET_STREAMS: usize = 1024;
/// Connections found closed before a claim counts as not connected.
const CLOSED_ONES: usize = 3;
/// Most bytes of an answer that are read.
const LONGEST_ANSWER: usize = 64 * 1024;
/// How long the reader of notices may take to acknowledge one.
const NOTICE_TIME: Duration = Duration::from_millis(1500);
/// How often idle connections are looked at.
const IDLE_LOOK: Duration = Duration::from_secs(1);

pub struct Gateways {
    lines: RefCell<HashMap<SocketAddr, Rc<Lines>>>,
    notices: Cell<SocketAddr>,
    dial_timeout: Cell<Duration>,
    idle: Cell<Duration>,
}

/// A gateway's connections; the lock keeps claims that wait for one from dialling each their own.
type Lines = tokio::sync::Mutex<Vec<Rc<Line>>>;

/// One HTTP/2 connection.
struct Line {
    sender: SendRequest<Bytes>,
    /// Streams open on it.
    open: Cell<usize>,
    /// No new streams: it is going away, broken or silent.
    retired: Rc<Cell<bool>>,
    /// When an answer last came on it.
    heard: Cell<Instant>,
    used: Cell<Instant>,
}

/// A stream's place on its connection.
struct Place {
    line: Rc<Line>,
    since: Instant,
    answered: bool,
}

impl Place {
    fn take(line: Rc<Line>) -> Self {
        line.open.set(line.open.get() + 1);
        Place { line, since: Instant::now(), answered: false }
    }

    fn answered(&mut self) {
        self.answered = true;
        self.line.heard.set(Instant::now());
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.line.open.set(self.line.open.get() - 1);
        self.line.used.set(Instant::now());
        // Guards against connections that have died without a word: a claim given up on one that has been
        // silent all the while is its last.
        if !self.answered && self.line.heard.get() < self.since {
            self.line.retired.set(true);
        }
    }
}

impl Gateways {
    /// Takes up new rules, and another reader of notices. What is under way goes on.
    pub fn settle(&self, rules: &Rules, notices: SocketAddr) {
        self.dial_timeout.set(rules.dial_timeout());
        self.idle.set(rules.idle_close());
        self.notices.set(notices);
    }

    pub fn new(rules: &Rules, notices: SocketAddr) -> Self {
        Gateways {
            lines: RefCell::new(HashMap::new()),
            notices: Cell::new(notices),
            dial_timeout: Cell::new(rules.dial_timeout()),
            idle: Cell::new(rules.idle_close()),
        }
    }

    /// A connection with room for one more stream, opened if there is none.
    async fn place(&self, address: SocketAddr) -> Result<Place, String> {
        let lines = self.lines.borrow_mut().entry(address).or_default().clone();
        let mut lines = lines.lock().await;
        lines.retain(|line| !line.retired.get());
        let room = |line: &&Rc<Line>| line.open.get() < STREAMS.min(line.sender.current_max_send_streams());
        if let Some(line) = lines.iter().find(room) {
            return Ok(Place::take(line.clone()));
        }
        let line =
            timeout(self.dial_timeout.get(), dial(address)).await.map_err(|_| "no connection in time")??;
        let line = Rc::new(line);
        lines.push(line.clone());
        Ok(Place::take(line))
    }

    /// The same, passing over connections that turn out closed before anything was sent. Guards against a
    /// gateway that closes each new connection: a few are enough to count as none.
    async fn ready(&self, address: SocketAddr) -> Result<(Place, SendRequest<Bytes>), String> {
        for _ in 0..CLOSED_ONES {
            let place = self.place(address).await?;
            match place.line.sender.clone().ready().await {
                Ok(sender) => return Ok((place, sender)),
                Err(_) => place.line.retired.set(true),
            }
        }
        Err("connections close at once".into())
    }

    /// Sends a request on a stream of its own, once `begin` says so, and waits for its answer's head.
    async fn call(
        &self,
        address: SocketAddr,
        request: Request<()>,
        body: Bytes,
        begin: impl Fn() -> bool,
    ) -> Result<Response<()>, Fault> {
        let (mut place, mut sender) = self.ready(address).await.map_err(Fault::Unconnected)?;
        if !begin() {
            place.answered();
            return Err(Fault::NotSent);
        }
        let (answer, mut stream) = match sender.send_request(request, body.is_empty()) {
            Ok(sent) => sent,
            Err(e) => return Err(Fault::Unconnected(e.to_string())),
        };
        if !body.is_empty()
            && let Err(e) = stream.send_data(body, true)
        {
            return Err(place.broken(&e));
        }
        let answer = match answer.await {
            Ok(answer) => answer,
            Err(e) => return Err(place.broken(&e)),
        };
        place.answered();
        let (head, mut rest) = answer.into_parts();
        actix_rt::spawn(async move {
            let mut length = 0;
            while let Some(Ok(chunk)) = rest.data().await {
                length += chunk.len();
                if length > LONGEST_ANSWER || rest.flow_control().release_capacity(chunk.len()).is_err() {
                    break;
                }
            }
            drop(place);
        });
        Ok(Response::from_parts(head, ()))
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
    /// What an error means once the request is on its way.
    fn broken(&mut self, error: &h2::Error) -> Fault {
        // h2 ends a stream with the peer's GOAWAY only if its id is above the last that the peer names; those
        // below go on, and end with the connection. RFC 9113 holds the former for never processed. The same is
        // said of REFUSED_STREAM, but a gateway that resets at random says it of what it has processed.
        if error.is_go_away() && error.is_remote() {
            self.line.retired.set(true);
            self.answered();
            return Fault::NotSent;
        }
        if error.is_reset() && error.is_remote() {
            self.answered();
        } else {
            self.line.retired.set(true);
        }
        Fault::Reset(error.to_string())
    }
}

async fn dial(address: SocketAddr) -> Result<Line, String> {
    let stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let mut builder = h2::client::Builder::new();
    builder.enable_push(false).max_concurrent_reset_streams(RESET_STREAMS);
    let (sender, mut connection) = builder.handshake(stream).await.map_err(|e| e.to_string())?;
    let mut pings = connection.ping_pong().ok_or("no pings on a new connection")?;
    let retired = Rc::new(Cell::new(false));
    actix_rt::spawn({
        let retired = retired.clone();
        async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "connection to a gateway ended");
            }
            retired.set(true);
        }
    });
    // A peer's settings come before its first pong. Guards against streams that wait within h2 because the
    // gateway allows fewer than were opened on trust, and against a peer that speaks something else: both
    // would look as if they had been sent.
    pings.ping(h2::Ping::opaque()).await.map_err(|e| e.to_string())?;
    let now = Instant::now();
    Ok(Line { sender, open: Cell::new(0), retired, heard: Cell::new(now), used: Cell::new(now) })
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
    let field = |name: &str| job.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_ref());
    let path = field(PATH).and_then(|p| std::str::from_utf8(p).ok()).unwrap_or("/");
    let mut request = Request::post(format!("http://{address}{path}"));
    for (name, value) in job.fields.iter().filter(|(name, _)| name != PATH && name != TTL) {
        request = request.header(name.as_str(), value.as_ref());
    }
    // What is left of the time to live, in whole seconds. Zero, at once or never, passes as it came.
    let left = job.deadline.duration_since(SystemTime::now()).unwrap_or_default().as_secs();
    let ttl = if field(TTL) == Some(b"0") { 0 } else { left };
    request.header(TTL, ttl).body(())
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
        let begin = || {
            let may = ticket.may_begin();
            if may {
                // h2 does not tell when the last byte is written: from here on it may have run.
                ticket.mark_sent();
            }
            may
        };
        match self.call(node.address, request, job.body.clone(), begin).await {
            Ok(answer) => outcome(&answer),
            Err(Fault::Unconnected(error)) => {
                tracing::debug!(node = &*node.name, error, "no connection to a gateway");
                Outcome::Unconnected
            }
            Err(Fault::NotSent) => Outcome::NotSent,
            Err(Fault::Reset(error)) => {
                tracing::debug!(node = &*node.name, id = job.id, error, "stream broken");
                Outcome::Reset
            }
        }
    }

    async fn notify(&self, notice: &Notice) -> Result<(), String> {
        let body = Bytes::from(crate::notice::line(notice));
        let request = Request::post(format!("http://{}/reports", self.notices.get())).body(());
        let request = request.map_err(|e| e.to_string())?;
        let call = self.call(self.notices.get(), request, body, || true);
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

    fn close_idle(&self, node: &Node) {
        self.drop_lines(node.address, |line| line.open.get() == 0);
    }

    fn forget(&self, node: &Node) {
        // Streams that are out go on until they end.
        self.lines.borrow_mut().remove(&node.address);
    }
}

impl Gateways {
    fn drop_lines(&self, address: SocketAddr, unwanted: impl Fn(&Line) -> bool) {
        let lines = self.lines.borrow().get(&address).cloned();
        // A locked list is being added to: there is a claim that wants it.
        if let Some(mut lines) = lines.as_ref().and_then(|l| l.try_lock().ok()) {
            lines.retain(|line| !unwanted(line));
        }
    }
}

/// Closes connections that stood idle, now and then.
pub async fn close_idle(core: Rc<Core<Gateways>>) {
    loop {
        tokio::time::sleep(IDLE_LOOK).await;
        let gateways = &core.carrier;
        let addresses: Vec<_> = gateways.lines.borrow().keys().copied().collect();
        for address in addresses {
            let idle = |line: &Line| line.open.get() == 0 && line.used.get().elapsed() >= gateways.idle.get();
            gateways.drop_lines(address, |line| line.retired.get() || idle(line));
        }
        // Guards against a list of connections for each gateway that was ever called.
        gateways.lines.borrow_mut().retain(|_, lines| {
            Rc::strong_count(lines) > 1 || lines.try_lock().is_ok_and(|lines| !lines.is_empty())
        });
    }
}
