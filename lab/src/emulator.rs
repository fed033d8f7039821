//! Emulated partners on sockets, as a thin layer over [`crate::model`], and shared helpers for other
//! listeners on loopback.
//!
//! A single listener on all addresses of the loopback device accepts the connections of all endpoints; the
//! local address of a connection identifies the endpoint. Endpoints that have to refuse connections later
//! get their own listener, since the system refuses connections only to a port without one. HTTP heads are
//! parsed with httparse, because a full server library would hide when bytes arrive and could not break a
//! connection during an answer.
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};

use crate::message_number;
use crate::model::{At, CallOutcome};
use crate::push;
use crate::reserved_address::ReservedAddress;
use crate::world::{self, World};

/// Size limits of a request's head and body, in bytes.
const MAX_HEAD: usize = 16 * 1024;
const MAX_BODY: usize = 1024 * 1024;

/// A request as an emulated server reads it.
pub struct ReceivedRequest {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte arrived.
    pub first: Instant,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// Reads consecutive requests from a connection.
pub struct RequestReader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl RequestReader {
    pub fn new(stream: TcpStream) -> Self {
        RequestReader { stream, buffer: Vec::new() }
    }

    /// Reads the next request; `None` at the end of the connection.
    pub async fn next(&mut self) -> io::Result<Option<ReceivedRequest>> {
        let mut first = (!self.buffer.is_empty()).then(Instant::now);
        loop {
            if let Some((mut request, head_length, body_length)) = parse(&self.buffer)? {
                while self.buffer.len() < head_length + body_length {
                    if self.stream.read_buf(&mut self.buffer).await? == 0 {
                        return Ok(None);
                    }
                }
                request.body = self.buffer[head_length..head_length + body_length].to_vec();
                request.first = first.unwrap_or_else(Instant::now);
                self.buffer.drain(..head_length + body_length);
                return Ok(Some(request));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
            first.get_or_insert_with(Instant::now);
        }
    }

    /// Completes when the peer closes the connection. Requests that arrive meanwhile are read after the current one is answered.
    pub async fn closed(&mut self) {
        while self.buffer.len() < MAX_HEAD + MAX_BODY {
            if !matches!(self.stream.read_buf(&mut self.buffer).await, Ok(read) if read > 0) {
                return;
            }
        }
    }

    pub async fn answer(&mut self, status: u16, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n", body.len());
        headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).await
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// Parses a request's head. Returns it with the lengths of the head and the body once the head is complete.
fn parse(buffer: &[u8]) -> io::Result<Option<(ReceivedRequest, usize, usize)>> {
    let bad = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head_length) = request.parse(buffer).map_err(|e| bad(&e.to_string()))?
    else {
        return if buffer.len() > MAX_HEAD {
            Err(bad("request head exceeds the size limit"))
        } else {
            Ok(None)
        };
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers: Vec<_> = request.headers.iter().map(|h| (h.name.to_owned(), text(h.value))).collect();
    let header = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let body_length =
        header.map_or(Ok(0), |(_, v)| v.parse().map_err(|_| bad("content-length is not a number")))?;
    if body_length > MAX_BODY {
        return Err(bad("request body exceeds the size limit"));
    }
    let received = ReceivedRequest {
        method: request.method.unwrap_or("").to_owned(),
        path: request.path.unwrap_or("").to_owned(),
        headers,
        body: Vec::new(),
        first: Instant::now(),
    };
    Ok(Some((received, head_length, body_length)))
}

/// Listens on every address of the loopback device, and on no other device.
pub(crate) fn listen_on_loopback() -> io::Result<TcpListener> {
    ReservedAddress::new(Ipv4Addr::UNSPECIFIED)?.listen()
}

/// Address of a separate listener, and its task while it is listening.
type SeparateListener = (ReservedAddress, Option<JoinHandle<()>>);

/// All partners of an experiment.
pub struct Emulator {
    world: Rc<RefCell<World>>,
    start: Instant,
    pub port: u16,
    /// Whether the partners are gateways over HTTP/2 instead of nodes over HTTP/1.1.
    push: bool,
    /// Endpoints with a separate listener, by index and number of moves.
    separate_listeners: RefCell<HashMap<(u32, u32), SeparateListener>>,
    /// Notifies connections to close: the index of the endpoint and a counter.
    disconnects: watch::Sender<(u32, u64)>,
    /// Number of open connections per endpoint.
    open_connections: RefCell<HashMap<u32, Rc<Cell<usize>>>>,
    /// Cached destination of each endpoint that was called.
    dests: RefCell<HashMap<u32, usize>>,
}

impl Emulator {
    pub fn start(world: Rc<RefCell<World>>, start: Instant, push: bool) -> io::Result<Rc<Self>> {
        let listener = listen_on_loopback()?;
        let emulator = Rc::new(Emulator {
            world,
            start,
            port: listener.local_addr()?.port(),
            push,
            separate_listeners: RefCell::default(),
            disconnects: watch::Sender::new((u32::MAX, 0)),
            open_connections: RefCell::default(),
            dests: RefCell::default(),
        });
        spawn_local(emulator.clone().accept(listener));
        Ok(emulator)
    }

    fn now(&self) -> At {
        self.start.elapsed()
    }

    /// Returns an endpoint's address.
    pub fn address(&self, endpoint: u32, moved: u32) -> SocketAddr {
        let separate = self.separate_listeners.borrow();
        let separate = separate.get(&(endpoint, moved)).map(|(reserved, _)| reserved.address());
        separate.unwrap_or_else(|| world::address(endpoint, moved, self.port))
    }

    /// Gives an endpoint a separate listener, so that it can refuse connections.
    pub fn listen_separately(self: &Rc<Self>, endpoint: u32, moved: u32) -> io::Result<()> {
        let mut separate = self.separate_listeners.borrow_mut();
        let (reserved, task) = match separate.entry((endpoint, moved)) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => new.insert((ReservedAddress::new(world::ip(endpoint, moved))?, None)),
        };
        *task = Some(spawn_local(self.clone().accept(reserved.listen()?)));
        Ok(())
    }

    /// Makes an endpoint refuse connections from now on; its open connections are closed if `close_open` is
    /// true.
    pub fn refuse(&self, endpoint: u32, close_open: bool) {
        for (_, (_, task)) in
            self.separate_listeners.borrow_mut().iter_mut().filter(|((p, _), _)| *p == endpoint)
        {
            task.take().iter().for_each(JoinHandle::abort);
        }
        if close_open {
            self.disconnects.send_modify(|(who, n)| (*who, *n) = (endpoint, *n + 1));
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(self.clone().connection(stream))),
                // Out of file descriptors: retry, since some may be released.
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    fn dest(&self, endpoint: u32) -> Option<usize> {
        if let Some(dest) = self.dests.borrow().get(&endpoint) {
            return Some(*dest);
        }
        let world = self.world.borrow();
        let dest = destination(&world, endpoint)?;
        self.dests.borrow_mut().insert(endpoint, dest);
        Some(dest)
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let Ok(IpAddr::V4(ip)) = stream.local_addr().map(|a| a.ip()) else { return };
        let Some((endpoint, dest)) = world::endpoint_at(ip).and_then(|p| Some((p, self.dest(p)?))) else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = RequestReader::new(stream);
        let max_connections = {
            let mut world = self.world.borrow_mut();
            let now = self.now();
            let partner = world.partner(dest, endpoint);
            if partner.refuses_connections(now) {
                return reader.reset();
            }
            let (most, opens) = (partner.nature.connections, partner.nature.opens);
            if !world.record.connection_opened(now, endpoint, opens) {
                return reader.reset();
            }
            most
        };
        let open = self.open_connections.borrow_mut().entry(endpoint).or_default().clone();
        if max_connections > 0 && open.get() >= max_connections {
            return reader.reset();
        }
        let _guard = ConnectionGuard::new(open);
        let mut disconnects = self.disconnects.subscribe();
        disconnects.borrow_and_update();
        let mut broken = std::pin::pin!(async {
            while disconnects.changed().await.is_ok() {
                if disconnects.borrow_and_update().0 == endpoint {
                    return;
                }
            }
            std::future::pending().await
        });
        if self.push {
            let serve = push::serve(reader.stream, self.world.clone(), self.start, dest, endpoint);
            tokio::select! {
                () = serve => {}
                () = broken => {}
            }
            return;
        }
        loop {
            tokio::select! {
                request = reader.next() => match request {
                    Ok(Some(request)) => {
                        if !self.serve(&mut reader, &request, dest, endpoint).await {
                            return reader.reset();
                        }
                    }
                    _ => return,
                },
                () = &mut broken => return reader.reset(),
            }
        }
    }

    /// Serves a call. Returns false if the connection is to be reset.
    async fn serve(
        &self,
        reader: &mut RequestReader,
        request: &ReceivedRequest,
        dest: usize,
        endpoint: u32,
    ) -> bool {
        let Some(msg) = request.header("x-request-id").and_then(message_number) else {
            return reader.answer(400, &[], b"").await.is_ok();
        };
        let first = request.first.saturating_duration_since(self.start);
        let outcome = self.world.borrow_mut().call(msg, dest, endpoint, first, self.now());
        let end_call = |outcome| self.world.borrow_mut().call_ended(msg, dest, self.now(), outcome);
        match outcome {
            CallOutcome::Served(after) => {
                let partner_down = async {
                    loop {
                        // Polling at this interval detects an outage of the partner soon enough.
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        if self.world.borrow_mut().partner(dest, endpoint).refuses_connections(self.now()) {
                            return;
                        }
                    }
                };
                let done = tokio::select! {
                    () = tokio::time::sleep(after) => true,
                    () = reader.closed() => false,
                    () = partner_down => false,
                };
                if !done {
                    end_call(None);
                    return false;
                }
                let written = reader.answer(200, &[], b"ok").await.is_ok();
                end_call(Some(outcome).filter(|_| written));
                written
            }
            CallOutcome::Failed => {
                end_call(Some(outcome));
                reader.answer(500, &[], b"").await.is_ok()
            }
            CallOutcome::Overloaded(wait) => {
                let retry_after = wait.map(|wait| ("retry-after", format!("{:.3}", wait.as_secs_f64())));
                let status = if retry_after.is_some() { 429 } else { 503 };
                let written = reader.answer(status, retry_after.as_slice(), b"").await.is_ok();
                end_call(Some(outcome));
                written
            }
            CallOutcome::ConnectionLost => {
                end_call(None);
                false
            }
            CallOutcome::Unanswered => {
                reader.closed().await;
                end_call(None);
                false
            }
        }
    }
}

/// Finds the destination of an endpoint by binary search; endpoints are numbered in the order of
/// destinations.
fn destination(world: &World, endpoint: u32) -> Option<usize> {
    let (mut low, mut high) = (0, world.dests);
    while low < high {
        let middle = low.midpoint(high);
        if world.endpoints_of(middle).end <= endpoint {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    (low < world.dests && world.endpoints_of(low).contains(&endpoint)).then_some(low)
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionGuard {
    fn new(count: Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        ConnectionGuard(count)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
