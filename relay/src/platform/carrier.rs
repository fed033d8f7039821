//! The way out: claims to execute nodes and notices to the platform, over awc.
use actix_rt::net::{ActixStream, TcpStream};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::error::{ConnectError as Unconnected, SendRequestError};
use awc::http::{StatusCode, Uri};
use awc::{Client, Connector};
use bytes::Bytes;
use rustix::io::Errno;
use slatethread::{EndpointId, Report};
use slatethread_wirehost::wire_settings::load_report;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::fmt::Debug;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot::{self, error::TryRecvError};
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;

use super::line::{Body, CLAIM, Lines, Rack, Trace};
use crate::config::Rules;
use crate::core::{Carrier, Core, Node, Part, Ticket};
use crate::discovery::Place;
use crate::job::{Job, Outcome, told_seconds};
use crate::journal::SettledEnd;

/// How long a connection may be used; a machine that serves for a year must not tire of them.
const LIFETIME: Duration = Duration::from_secs(365 * 24 * 3600);
/// How often idle connections are looked at.
const IDLE_LOOK: Duration = Duration::from_millis(250);
/// How long the rest of an answer is read for, so that its connection can be used again.
const REST_OF_ANSWER: Duration = Duration::from_secs(1);
/// Most bytes of an answer that are read for that.
const LONGEST_ANSWER: usize = 64 * 1024;
/// Posts of notices under way at once, and the longest: bodies are no larger than 64 KiB.
const POSTS: usize = 8;
const LONGEST_POST: usize = 60_000;
/// How long the platform may take to acknowledge a notice.
const NOTICE_TIME: Duration = Duration::from_millis(1500);

pub struct ToNodes {
    /// Ways out, one for each node, so that one that is gone leaves nothing behind, not even a connection that
    /// another one at its address would be called on.
    exits: RefCell<HashMap<EndpointId, Rc<Exit>>>,
    /// Where ends are told, and the list is had from.
    platform: watch::Sender<Place>,
    /// Notices that wait to be told, and who waits for that.
    outbox: RefCell<VecDeque<(Vec<u8>, Teller)>>,
    posts: Semaphore,
    /// What notices are posted with; another one after a post that nobody answered.
    poster: RefCell<Client>,
    rack: Rc<Rack>,
    dial_timeout: Cell<Duration>,
    /// Connections idle for so long are closed.
    idle: Cell<Duration>,
}

type Teller = oneshot::Sender<Result<(), String>>;

struct Exit {
    client: Client,
    lines: Rc<Lines>,
    used: Cell<Instant>,
}

/// A way out without connections is kept for so long after its last call. Guards against a client for each node that
/// was ever called.
const EXIT_KEPT: Duration = Duration::from_secs(60);

/// An awc client with every default that costs connections, time or a second call set. Without its own
/// limits (0 is none: the module's slots bound the calls), redirects, time-outs and extra headers.
fn client<F, L, D>(dial_timeout: Duration, idle: Duration, dial: F) -> Client
where
    F: Fn(SocketAddr) -> D + Clone + 'static,
    D: Future<Output = io::Result<L>> + 'static,
    L: ActixStream + Debug + 'static,
{
    let connect = fn_service(move |info: ConnectInfo<Uri>| {
        let uri = info.request().clone();
        let address = uri.authority().and_then(|a| a.as_str().parse::<SocketAddr>().ok());
        let line = address.map(&dial);
        async move {
            let line = line.ok_or(ConnectError::Unresolved)?.await.map_err(ConnectError::Io)?;
            Ok(Connection::new(uri, line))
        }
    });
    let connector = Connector::new()
        .connector(Rc::new(connect))
        .timeout(dial_timeout)
        .limit(0)
        .conn_keep_alive(idle)
        .conn_lifetime(LIFETIME);
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}

/// The platform at an address, with a client whose connections awc keeps.
fn place(rules: &Rules, address: SocketAddr, list_limit: usize) -> Place {
    Place { client: to_platform(rules.dial_timeout(), idle(rules)), address, list_limit }
}

fn to_platform(dial_timeout: Duration, idle: Duration) -> Client {
    client(dial_timeout, idle, |address| async move {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    })
}

/// Connections idle for so long are closed: before the node does, with time for both ways.
fn idle(rules: &Rules) -> Duration {
    let idle_close = rules.idle_close();
    idle_close.saturating_sub((idle_close / 20).max(Duration::from_millis(400)))
}

impl ToNodes {
    pub fn new(rules: &Rules, discovery: SocketAddr, list_limit: usize) -> Self {
        ToNodes {
            rack: Rc::default(),
            exits: RefCell::new(HashMap::new()),
            outbox: RefCell::default(),
            posts: Semaphore::new(POSTS),
            poster: RefCell::new(to_platform(rules.dial_timeout(), idle(rules))),
            platform: watch::Sender::new(place(rules, discovery, list_limit)),
            dial_timeout: Cell::new(rules.dial_timeout()),
            idle: Cell::new(idle(rules)),
        }
    }

    /// Where the platform is, now and later on.
    pub fn platform(&self) -> watch::Receiver<Place> {
        self.platform.subscribe()
    }

    /// Takes up new rules, and discovery where it is now. What is under way goes on.
    pub fn settle(&self, rules: &Rules, discovery: SocketAddr, list_limit: usize) {
        self.dial_timeout.set(rules.dial_timeout());
        self.idle.set(idle(rules));
        let Place { address, list_limit: limit, .. } = *self.platform.borrow();
        if (address, limit) != (discovery, list_limit) {
            self.platform.send_replace(place(rules, discovery, list_limit));
            self.renew_poster();
        }
    }

    /// Posts from now on leave the connections that rest alone.
    fn renew_poster(&self) {
        self.poster.replace(to_platform(self.dial_timeout.get(), self.idle.get()));
    }

    /// How many connections to nodes may be open at once.
    pub fn set_connections(&self, most: usize) {
        self.rack.set_most(Some(most));
    }

    fn exit(&self, node: &Node) -> Rc<Exit> {
        let mut exits = self.exits.borrow_mut();
        let exit = exits.entry(node.id).or_insert_with(|| {
            let lines = Lines::new(node.id, &self.rack);
            let home = lines.clone();
            // A line is for one call: what awc keeps of it is nothing.
            let client = client(self.dial_timeout.get(), Duration::ZERO, move |to| home.clone().lease(to));
            Rc::new(Exit { client, lines, used: Cell::new(Instant::now()) })
        });
        exit.used.set(Instant::now());
        exit.clone()
    }

    /// One call, which has its own hold on all that it needs: the rest of an answer may outlast its claim. Gives what
    /// its answer's head means, and the body if that came whole.
    fn call(&self, node: &Node, call: Call, trace: Rc<Trace>) -> impl Future<Output = Answered> + 'static {
        let exit = self.exit(node);
        let several = call.path == SEVERAL;
        let Call { path, headers, body } = call;
        let mut request = exit.client.post(format!("http://{}{path}", node.address)).no_decompress();
        for (name, value) in headers {
            request = request.insert_header((name, value.as_ref()));
        }
        let sent = request.send_body(body);
        async move {
            // Its connections are not another's as long as this is held.
            let _exit = exit;
            let mut response = match sent.await {
                Ok(response) => response,
                Err(e) => {
                    return Answered { outcome: fault(&e, &trace), wait: None, body: None, unread: false };
                }
            };
            let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
            let outcome = outcome(response.status(), header);
            let wait = header("retry-after").and_then(told_seconds);
            // Told by the head, whatever becomes of the rest: others are not sent while that is waited for.
            let tells = matches!(outcome, Outcome::Full { wait: Some(_) })
                || several && outcome == Outcome::Delivered;
            wait.filter(|_| tells).into_iter().for_each(|wait| trace.tell_wait(wait));
            header(LOAD).into_iter().for_each(|text| trace.tell_report(load(text)));
            let keeps = !header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
            let chunked =
                header("transfer-encoding").is_some_and(|v| v.trim().eq_ignore_ascii_case("chunked"));
            let form = match header("content-length").and_then(|v| v.trim().parse().ok()) {
                _ if !keeps => Body::Other,
                Some(size) if !chunked => Body::Sized(size),
                None if chunked => Body::Chunked,
                // Both is no sound answer, and without either it ends with its connection.
                _ => Body::Other,
            };
            let read = timeout(REST_OF_ANSWER, response.body().limit(LONGEST_ANSWER)).await;
            let body = read.ok().and_then(Result::ok);
            if body.is_some() {
                trace.done(form);
            }
            let unread = matches!(response.status().as_u16(), 400 | 413);
            Answered { outcome, wait, body, unread }
        }
    }
}

/// Where calls with several messages go.
const SEVERAL: &str = "/v1/messages:batch";

/// What goes out in one call.
struct Call {
    path: &'static str,
    headers: Vec<(String, Bytes)>,
    body: Bytes,
}

/// What came back.
struct Answered {
    /// By the head alone.
    outcome: Outcome,
    wait: Option<Duration>,
    /// None if it did not come whole.
    body: Option<Bytes>,
    /// It cannot be read, or is longer than allowed: none of it has run.
    unread: bool,
}

/// Where answers tell of the node's limit.
const LOAD: &str = "x-server-load";

/// A load report; what can't be read tells nothing.
fn load(text: &str) -> Report {
    let fields = || text.split(',').filter_map(|field| field.split_once('='));
    load_report(|name| {
        fields().find(|(n, _)| n.trim() == name).and_then(|(_, value)| value.trim().parse().ok())
    })
}

/// Why notices were not heard.
#[derive(Clone)]
enum Unheard {
    /// The platform says that it cannot read them: a fault of ours, which no repetition mends.
    Unreadable,
    Failed(String),
}

impl ToNodes {
    /// What waits to be told, as far as one post may hold it.
    fn take_outbox(&self) -> Vec<(Vec<u8>, Teller)> {
        let mut outbox = self.outbox.borrow_mut();
        let mut size = 0;
        let fits = |(line, _): &&(Vec<u8>, Teller)| {
            size += line.len();
            size <= LONGEST_POST
        };
        let count = outbox.iter().take_while(fits).count();
        outbox.drain(..count).collect()
    }

    /// Tells notices in one post, or each by itself if one of them cannot be read.
    async fn tell(&self, batch: Vec<(Vec<u8>, Teller)>) {
        let alone = batch.len() == 1;
        let all = self.post(batch.iter().flat_map(|(line, _)| line).copied().collect()).await;
        for (line, teller) in batch {
            let heard = match &all {
                Err(Unheard::Unreadable) if !alone => self.post(line).await,
                all => all.clone(),
            };
            let heard = match heard {
                Ok(()) | Err(Unheard::Unreadable) => Ok(()),
                Err(Unheard::Failed(e)) => Err(e),
            };
            // Nobody waits for the notice of a life that is over.
            let _ = teller.send(heard);
        }
    }

    async fn post(&self, body: Vec<u8>) -> Result<(), Unheard> {
        let call = async {
            let address = self.platform.borrow().address;
            let request = self.poster.borrow().post(format!("http://{address}/reports")).no_decompress();
            let mut response = request.send_body(body).await.map_err(|e| Unheard::Failed(e.to_string()))?;
            let _ = response.body().limit(LONGEST_ANSWER).await;
            match response.status().as_u16() {
                204 => Ok(()),
                400 => {
                    tracing::error!("the platform cannot read a notice");
                    Err(Unheard::Unreadable)
                }
                other => Err(Unheard::Failed(format!("status {other}"))),
            }
        };
        match timeout(NOTICE_TIME, call).await {
            Ok(heard) => heard,
            Err(_) => {
                // Guards against trying one silent connection after another: those that rest may be as silent.
                self.renew_poster();
                Err(Unheard::Failed("no answer".into()))
            }
        }
    }
}

/// How long the relay will wait.
fn waits(limit: Duration) -> (String, Bytes) {
    ("x-timeout-ms".to_owned(), Bytes::from(limit.as_millis().to_string()))
}

/// The meaning of an answer's status.
fn outcome<'a>(status: StatusCode, header: impl Fn(&str) -> Option<&'a str>) -> Outcome {
    match status.as_u16() {
        200 => Outcome::Delivered,
        429 => Outcome::Full { wait: header("retry-after").and_then(told_seconds) },
        503 if header("x-no-slot").is_some_and(|v| v.trim() == "1") => Outcome::NotSent,
        503 => Outcome::Full { wait: None },
        504 => Outcome::NotSent,
        410 => Outcome::Over,
        _ => Outcome::Error,
    }
}

/// What a call without an answer means. Whether it may have run is told by the socket, not by awc.
fn fault(error: &SendRequestError, trace: &Trace) -> Outcome {
    if trace.is_delivered() {
        return Outcome::Delivered;
    }
    if trace.is_sent() {
        // What cannot be read is the node's word all the same: it is there, and the connection did not break.
        return if trace.answered() { Outcome::Error } else { Outcome::Reset };
    }
    if trace.refused() {
        return Outcome::NotSent;
    }
    tracing::debug!(%error, "call not sent");
    match error {
        SendRequestError::Connect(Unconnected::Io(error)) if is_local_fault(error) => Outcome::LocalFault,
        _ => Outcome::Unconnected,
    }
}

/// Whether a connection could not be made for want of something on this machine: descriptors, memory, ports, a way out. It says
/// nothing of who was to be called.
fn is_local_fault(error: &io::Error) -> bool {
    const LOCAL: [Errno; 8] = [
        Errno::NFILE,
        Errno::MFILE,
        Errno::NOMEM,
        Errno::NOBUFS,
        Errno::ADDRNOTAVAIL,
        Errno::NETUNREACH,
        Errno::NETDOWN,
        Errno::INTR,
    ];
    Errno::from_io_error(error).is_some_and(|errno| LOCAL.contains(&errno))
}

impl Carrier for ToNodes {
    async fn claim(&self, job: &Job, node: &Node, limit: Duration, ticket: &Rc<Ticket>) -> Outcome {
        // Guards against a way out for a node that is gone by now, which nobody would take away again.
        if !ticket.may_begin() {
            return Outcome::NotSent;
        }
        let trace = Trace::new(vec![ticket.clone()]);
        let mut headers = vec![("x-request-id".to_owned(), Bytes::from(job.id.clone())), waits(limit)];
        headers.extend(job.fields.iter().cloned());
        let call = Call { path: "/v1/messages", headers, body: job.body.clone() };
        let mut call = Box::pin(CLAIM.scope(trace.clone(), self.call(node, call, trace.clone())));
        tokio::select! {
            biased;
            answered = &mut call => match answered {
                // True by its first line, whatever follows. Guards against other answers that are spoilt behind their
                // heads: the call has run, whatever they say.
                Answered { body: None, outcome, .. } if trace.answered() && outcome != Outcome::Delivered => {
                    Outcome::Error
                }
                Answered { outcome, .. } => outcome,
            },
            () = trace.confirmed() => {
                // The rest may be on its way, in pieces, or never come. What comes in time leaves its connection to
                // others; the claim does not wait for that, since nothing hangs on it any more.
                actix_rt::spawn(timeout(REST_OF_ANSWER, call));
                Outcome::Delivered
            }
        }
    }

    async fn claim_together(&self, parts: &[Part], node: &Node, limit: Duration) -> Vec<Outcome> {
        let (body, count) = super::batch::encode(parts);
        let (within, beyond) = parts.split_at(count);
        let tickets: Vec<_> = within.iter().map(|part| part.ticket.clone()).collect();
        let mut outcomes = if tickets.iter().all(|ticket| ticket.may_begin()) && count > 0 {
            let trace = Trace::new(tickets);
            let call = Call { path: SEVERAL, headers: vec![waits(limit)], body };
            let answered = CLAIM.scope(trace.clone(), self.call(node, call, trace.clone())).await;
            match answered {
                Answered { outcome: Outcome::Delivered, body: Some(body), wait, .. } => {
                    super::batch::decode(&body, within, wait)
                }
                Answered { unread: true, .. } => {
                    tracing::error!(
                        node = &*node.name,
                        count,
                        "a call with several messages was not accepted"
                    );
                    vec![Outcome::NotSent; count]
                }
                // Cut off, it says of none of them what became of it.
                Answered { body: None, .. } if trace.answered() => vec![Outcome::Error; count],
                Answered { outcome, .. } => vec![outcome; count],
            }
        } else {
            vec![Outcome::NotSent; count]
        };
        // What does not fit goes with the next call.
        outcomes.extend(beyond.iter().map(|_| Outcome::NotSent));
        outcomes
    }

    async fn notify(&self, end: &SettledEnd) -> Result<(), String> {
        let notice = end.notice();
        let (told, mut hear) = oneshot::channel();
        self.outbox.borrow_mut().push_back((crate::notice::line(notice), told));
        // Guards against as many connections as notices, after a restart above all: a few posts are under way
        // at once, and each takes what waits by then.
        let post = self.posts.acquire().await.map_err(|e| e.to_string())?;
        loop {
            match hear.try_recv() {
                Ok(heard) => return heard,
                Err(TryRecvError::Closed) => return Err("it was dropped".into()),
                Err(TryRecvError::Empty) => {}
            }
            let batch = self.take_outbox();
            if batch.is_empty() {
                // It is on its way with others.
                drop(post);
                return hear.await.map_err(|e| e.to_string())?;
            }
            self.tell(batch).await;
        }
    }

    fn close_idle(&self, node: &Node) {
        if let Some(exit) = self.exits.borrow().get(&node.id) {
            exit.lines.close_idle(Duration::ZERO);
        }
    }

    fn forget(&self, node: &Node) {
        self.exits.borrow_mut().remove(&node.id);
    }
}

impl ToNodes {
    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.exits.borrow().values().for_each(|exit| exit.lines.close_idle(Duration::ZERO));
    }
}

/// Closes connections that stood idle, now and then.
pub async fn close_idle(core: Rc<Core<ToNodes>>) {
    let to_nodes = &core.carrier;
    loop {
        tokio::time::sleep(IDLE_LOOK).await;
        to_nodes.exits.borrow_mut().retain(|_, exit| {
            exit.lines.close_idle(to_nodes.idle.get());
            // A call has its own hold on the way out that it takes.
            Rc::strong_count(exit) > 1 || !exit.lines.is_empty() || exit.used.get().elapsed() < EXIT_KEPT
        });
    }
}

#[cfg(test)]
mod tests;
