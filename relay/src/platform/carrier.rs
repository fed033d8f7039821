//! Sends claims to execute nodes and notices to the platform, with awc.
use actix_rt::net::{ActixStream, TcpStream};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::error::{ConnectError as Unconnected, PayloadError, SendRequestError};
use awc::http::{StatusCode, Uri};
use awc::{Client, ClientResponse, Connector};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use rustix::io::Errno;
use slatethread::{EndpointId, Report};
use slatethread_wirehost::wire_settings::load_report;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Debug;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::timeout;

use super::connection::{CURRENT_CALL, CallTrace};
use super::node_pool::{ConnectionPool, NodePool};
use super::notices::NoticePoster;
use super::response_tracker::BodyFraming;
use crate::config::Rules;
use crate::core::{BundledMessage, Core, Node, SendPermit, Transport};
use crate::discovery::DiscoveryServer;
use crate::job::{Job, Outcome, parse_wait_seconds};
use crate::journal::FinalNotice;
use crate::memory_budget::{Holder, MemoryBudget};
use crate::metrics::SurplusCounter;

/// How long a connection may be used. Replaces awc's shorter default with a year, so that none is closed for its age.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(365 * 24 * 3600);
/// How often idle connections are checked.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long the body of a response is read, so that its connection can be reused.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// What a call takes beside the message that it carries, in bytes: awc's two buffers and the head of the answer.
const CALL_BYTES: usize = 24 * 1024;
/// How many bytes of a response body are read for that.
const MAX_RESPONSE_BODY: usize = 64 * 1024;

/// Calls execute nodes, and posts notices to the platform.
pub struct NodeClient {
    /// One handle per node, so that a removed node leaves no state behind, not even a connection on which a later node at the same
    /// address could be called.
    nodes: RefCell<HashMap<EndpointId, Rc<NodeHandle>>>,
    /// The server that provides the list and receives notices.
    server: watch::Sender<DiscoveryServer>,
    notices: NoticePoster,
    pool: Rc<ConnectionPool>,
    surplus_counter: SurplusCounter,
    memory: MemoryBudget,
    dial_timeout: Cell<Duration>,
    /// Connections that are idle for this long are closed.
    idle_timeout: Cell<Duration>,
}

/// The HTTP client and the connections of one node.
struct NodeHandle {
    client: Client,
    connections: Rc<NodePool>,
    last_used: Cell<Instant>,
}

/// How long a handle without connections is kept after its last call. Guards against keeping a client for every node that was ever
/// called.
const HANDLE_RETENTION: Duration = Duration::from_secs(60);

/// Builds an awc client that overrides every default that would cost connections, time or a second call: no limits of its own (0 is
/// none; the decision module's slots bound the calls), no idle connections, no redirects, no timeouts and no extra headers.
fn build_client<F, S, D>(dial_timeout: Duration, dial: F) -> Client
where
    F: Fn(SocketAddr) -> D + Clone + 'static,
    D: Future<Output = io::Result<S>> + 'static,
    S: ActixStream + Debug + 'static,
{
    let connect = fn_service(move |info: ConnectInfo<Uri>| {
        let uri = info.request().clone();
        let address = uri.authority().and_then(|a| a.as_str().parse::<SocketAddr>().ok());
        let dialing = address.map(&dial);
        async move {
            let stream = dialing.ok_or(ConnectError::Unresolved)?.await.map_err(ConnectError::Io)?;
            Ok(Connection::new(uri, stream))
        }
    });
    let connector = Connector::new()
        .connector(Rc::new(connect))
        .timeout(dial_timeout)
        .limit(0)
        .conn_keep_alive(Duration::ZERO)
        .conn_lifetime(CONNECTION_LIFETIME);
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}

/// The discovery server at an address, with a new client.
fn server_at(rules: &Rules, address: SocketAddr, list_limit: usize) -> DiscoveryServer {
    DiscoveryServer { client: platform_client(rules.dial_timeout()), address, list_limit }
}

/// Builds a client for the platform. Its calls close their connections: an answer does not name its call, so on a used connection it
/// could be a copy of an earlier one.
fn platform_client(dial_timeout: Duration) -> Client {
    build_client(dial_timeout, |address| async move {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    })
}

/// How long connections may be idle: they are closed before the node closes them, with a margin for the round trip.
fn idle_timeout(rules: &Rules) -> Duration {
    let idle_close = rules.idle_close();
    idle_close.saturating_sub((idle_close / 20).max(Duration::from_millis(400)))
}

impl NodeClient {
    pub fn new(
        rules: &Rules,
        discovery: SocketAddr,
        list_limit: usize,
        surplus_counter: SurplusCounter,
        memory: MemoryBudget,
    ) -> Self {
        NodeClient {
            memory,
            pool: Rc::default(),
            surplus_counter,
            nodes: RefCell::new(HashMap::new()),
            notices: NoticePoster::new(platform_client(rules.dial_timeout())),
            server: watch::Sender::new(server_at(rules, discovery, list_limit)),
            dial_timeout: Cell::new(rules.dial_timeout()),
            idle_timeout: Cell::new(idle_timeout(rules)),
        }
    }

    /// The discovery server, and its later changes.
    pub fn discovery_server(&self) -> watch::Receiver<DiscoveryServer> {
        self.server.subscribe()
    }

    /// Applies new rules and the current address of discovery. Calls in flight continue.
    pub fn reconfigure(&self, rules: &Rules, discovery: SocketAddr, list_limit: usize) {
        self.dial_timeout.set(rules.dial_timeout());
        self.idle_timeout.set(idle_timeout(rules));
        self.notices.set_client(platform_client(rules.dial_timeout()));
        let DiscoveryServer { address, list_limit: limit, .. } = *self.server.borrow();
        if (address, limit) != (discovery, list_limit) {
            self.server.send_replace(server_at(rules, discovery, list_limit));
        }
    }

    /// Sets how many connections to nodes may be open at once.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.pool.set_max_open(Some(max_connections));
    }

    /// The handle of a node; created if there is none.
    fn handle(&self, node: &Node) -> Rc<NodeHandle> {
        let mut nodes = self.nodes.borrow_mut();
        let handle = nodes.entry(node.id).or_insert_with(|| {
            let connections = NodePool::new(node.id, &node.name, &self.pool, self.surplus_counter.clone());
            let node_pool = connections.clone();
            // awc keeps no connections here: a stream serves one call, and the node's pool keeps its socket.
            let client = build_client(self.dial_timeout.get(), move |to| node_pool.clone().lease(to));
            Rc::new(NodeHandle { client, connections, last_used: Cell::new(Instant::now()) })
        });
        handle.last_used.set(Instant::now());
        handle.clone()
    }

    /// Makes one call. The future owns all that it needs, since reading the body of a response may outlast the claim. Returns what the
    /// head of the response means, and the body if it was received completely.
    fn call(
        &self,
        node: &Node,
        call: Call,
        trace: Rc<CallTrace>,
    ) -> impl Future<Output = CallResult> + 'static {
        let handle = self.handle(node);
        let is_batch = call.path == BATCH_PATH;
        let Call { path, headers, body } = call;
        let mut charge = self.memory.charge(Holder::Calls);
        charge.grow(CALL_BYTES + body.len());
        let mut request = handle.client.post(format!("http://{}{path}", node.address)).no_decompress();
        for (name, value) in headers {
            request = request.insert_header((name, value.as_ref()));
        }
        let sent = request.send_body(body);
        async move {
            // The node's connections are kept for as long as this handle is.
            let (_handle, _charge) = (handle, charge);
            let mut response = match sent.await {
                Ok(response) => response,
                Err(e) => {
                    tracing::debug!(error = %e, answered = trace.response_started(), "no valid response head");
                    return CallResult {
                        outcome: outcome_of_error(&e, &trace),
                        wait: None,
                        body: None,
                        not_accepted: false,
                        framing: BodyFraming::Other,
                    };
                }
            };
            let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
            let outcome = outcome_of_status(response.status(), header);
            let wait = header("retry-after").and_then(parse_wait_seconds);
            // Recorded from the head, whatever becomes of the body, so that no other claims are sent while the body is read.
            let has_wait = matches!(outcome, Outcome::Full { wait: Some(_) })
                || is_batch && outcome == Outcome::Delivered;
            wait.filter(|_| has_wait).into_iter().for_each(|wait| trace.record_wait(wait));
            header(LOAD_HEADER).into_iter().for_each(|text| trace.record_report(parse_load(text)));
            let keep_alive = !header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
            let chunked =
                header("transfer-encoding").is_some_and(|v| v.trim().eq_ignore_ascii_case("chunked"));
            let framing = match header("content-length").and_then(|v| v.trim().parse().ok()) {
                _ if !keep_alive => BodyFraming::Other,
                Some(size) if !chunked => BodyFraming::Sized(size),
                None if chunked => BodyFraming::Chunked,
                // A response with both is invalid; one with neither ends with the connection.
                _ => BodyFraming::Other,
            };
            let read = async {
                match is_batch {
                    true => response.body().limit(MAX_RESPONSE_BODY).await,
                    // What it says is not used.
                    false => drain(&mut response).await.map(|()| Bytes::new()),
                }
            };
            let read = timeout(BODY_READ_TIMEOUT, read).await;
            let log = |error: &_| tracing::debug!(%error, "response broke off");
            let body = read.ok().and_then(|body| body.inspect_err(log).ok());
            if body.is_some() && !is_batch {
                trace.response_complete(framing, true);
            }
            let not_accepted = matches!(response.status().as_u16(), 400 | 413);
            CallResult { outcome, wait, body, not_accepted, framing }
        }
    }
}

/// Reads a response body to its end and drops it.
async fn drain<S>(response: &mut ClientResponse<S>) -> Result<(), PayloadError>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut length = 0;
    while let Some(chunk) = response.next().await {
        length += chunk?.len();
        if length > MAX_RESPONSE_BODY {
            return Err(PayloadError::Overflow);
        }
    }
    Ok(())
}

/// The path for calls that carry several messages.
const BATCH_PATH: &str = "/v1/messages:batch";

/// One request to a node.
struct Call {
    path: &'static str,
    headers: Vec<(String, Bytes)>,
    body: Bytes,
}

/// The result of a call.
struct CallResult {
    /// According to the head of the response alone.
    outcome: Outcome,
    wait: Option<Duration>,
    /// `None` if it was not received completely.
    body: Option<Bytes>,
    /// The node could not parse the call, or it was too large: none of its messages has run.
    not_accepted: bool,
    framing: BodyFraming,
}

/// The response header that reports the node's limit.
const LOAD_HEADER: &str = "x-server-load";

/// Parses a load report; invalid fields are ignored.
fn parse_load(text: &str) -> Report {
    let fields = || text.split(',').filter_map(|field| field.split_once('='));
    load_report(|name| {
        fields().find(|(key, _)| key.trim() == name).and_then(|(_, value)| value.trim().parse().ok())
    })
}

/// The header that says how long the relay waits for a response.
fn timeout_header(limit: Duration) -> (String, Bytes) {
    ("x-timeout-ms".to_owned(), Bytes::from(limit.as_millis().to_string()))
}

/// The outcome that the status and headers of a response stand for.
fn outcome_of_status<'a>(status: StatusCode, header: impl Fn(&str) -> Option<&'a str>) -> Outcome {
    match status.as_u16() {
        200 => Outcome::Delivered,
        429 => Outcome::Full { wait: header("retry-after").and_then(parse_wait_seconds) },
        503 if header("x-no-slot").is_some_and(|v| v.trim() == "1") => Outcome::NotSent,
        503 => Outcome::Full { wait: None },
        504 => Outcome::NotSent,
        410 => Outcome::Over,
        _ => Outcome::Error,
    }
}

/// The outcome of a call without a valid response. Whether it may have run is known from the socket, not from awc.
fn outcome_of_error(error: &SendRequestError, trace: &CallTrace) -> Outcome {
    if trace.is_delivered() {
        return Outcome::Delivered;
    }
    if trace.is_sent() {
        // An invalid response is still a response: the node is up, and the connection did not break.
        return if trace.response_started() { Outcome::Error } else { Outcome::Reset };
    }
    if trace.was_denied() {
        return Outcome::NotSent;
    }
    tracing::debug!(%error, "call not sent");
    match error {
        SendRequestError::Connect(Unconnected::Io(error)) if is_local_fault(error) => Outcome::LocalFault,
        _ => Outcome::Unconnected,
    }
}

/// Whether a connection failed because this machine lacks descriptors, memory, ports or a route. Such an error says nothing about the
/// node.
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

impl Transport for NodeClient {
    async fn claim(&self, job: &Job, node: &Node, limit: Duration, permit: &Rc<SendPermit>) -> Outcome {
        // Guards against creating a handle for a node that has been removed meanwhile, which nothing would drop again.
        if !permit.may_begin() {
            return Outcome::NotSent;
        }
        let trace = CallTrace::new(vec![permit.clone()]);
        let mut headers =
            vec![("x-request-id".to_owned(), Bytes::from(job.id.clone())), timeout_header(limit)];
        headers.extend(job.fields.iter().cloned());
        let call = Call { path: "/v1/messages", headers, body: job.body.clone() };
        let mut call = Box::pin(CURRENT_CALL.scope(trace.clone(), self.call(node, call, trace.clone())));
        tokio::select! {
            biased;
            result = &mut call => match result {
                // Any response but a delivery counts as an error if its body is incomplete: the call has run, whatever the status
                // says. For a delivery, the status line is enough.
                CallResult { body: None, outcome, .. } if trace.response_started() && outcome != Outcome::Delivered => {
                    Outcome::Error
                }
                CallResult { outcome, .. } => outcome,
            },
            () = trace.confirmed() => {
                // The body may arrive late, in parts, or never. If it arrives in time, the connection can be reused. The claim does
                // not wait for it, since its outcome no longer depends on it.
                actix_rt::spawn(timeout(BODY_READ_TIMEOUT, call));
                Outcome::Delivered
            }
        }
    }

    async fn claim_bundle(&self, parts: &[BundledMessage], node: &Node, limit: Duration) -> Vec<Outcome> {
        let (body, count) = super::batch::encode(parts);
        let (included, left_out) = parts.split_at(count);
        let permits: Vec<_> = included.iter().map(|part| part.permit.clone()).collect();
        let mut outcomes = if permits.iter().all(|permit| permit.may_begin()) && count > 0 {
            let trace = CallTrace::new(permits);
            let call = Call { path: BATCH_PATH, headers: vec![timeout_header(limit)], body };
            let result = CURRENT_CALL.scope(trace.clone(), self.call(node, call, trace.clone())).await;
            match result {
                CallResult { outcome: Outcome::Delivered, body: Some(body), wait, framing, .. } => {
                    let outcomes = super::batch::decode(&body, included, wait);
                    let all_delivered = outcomes.iter().all(|outcome| *outcome == Outcome::Delivered);
                    trace.response_complete(framing, all_delivered);
                    outcomes
                }
                CallResult { not_accepted: true, .. } => {
                    tracing::error!(
                        node = &*node.name,
                        count,
                        "a call with several messages was not accepted"
                    );
                    vec![Outcome::NotSent; count]
                }
                // An incomplete response says nothing about any of the messages.
                CallResult { body: None, .. } if trace.response_started() => vec![Outcome::Error; count],
                CallResult { outcome, .. } => vec![outcome; count],
            }
        } else {
            vec![Outcome::NotSent; count]
        };
        // Messages that do not fit are sent with a later call.
        outcomes.extend(left_out.iter().map(|_| Outcome::NotSent));
        outcomes
    }

    async fn notify(&self, end: &FinalNotice) -> Result<(), String> {
        let address = self.server.borrow().address;
        self.notices.deliver(address, crate::notice::encode(end.notice())).await
    }

    fn close_idle(&self, node: &Node) {
        if let Some(handle) = self.nodes.borrow().get(&node.id) {
            handle.connections.close_idle(Duration::ZERO);
        }
    }

    fn one_node_per_address(&self) -> bool {
        true
    }

    fn node_removed(&self, node: &Node) {
        let removed = self.nodes.borrow_mut().remove(&node.id);
        // Its connections are kept until its last deliveries are confirmed; no call gets one of them.
        if let Some(handle) = removed.filter(|handle| handle.connections.has_unconfirmed()) {
            actix_rt::spawn(async move {
                while handle.connections.has_unconfirmed() {
                    tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
                }
            });
        }
    }
}

impl NodeClient {
    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.nodes.borrow().values().for_each(|handle| handle.connections.close_idle(Duration::ZERO));
    }
}

/// Periodically closes connections that have been idle for too long, and drops unused handles.
pub async fn close_idle_connections(core: Rc<Core<NodeClient>>) {
    let node_client = &core.transport;
    loop {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        node_client.nodes.borrow_mut().retain(|_, handle| {
            handle.connections.close_idle(node_client.idle_timeout.get());
            // A call in flight holds a reference to its handle.
            Rc::strong_count(handle) > 1
                || !handle.connections.is_empty()
                || handle.connections.is_suspect()
                || handle.last_used.get().elapsed() < HANDLE_RETENTION
        });
    }
}

#[cfg(test)]
mod tests;
