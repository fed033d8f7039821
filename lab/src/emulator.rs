//! Partners on sockets: a thin layer round [`crate::model`], and whatever else listens on loopback.
//!
//! One listener, bound to every address but to the loopback device only, takes the connections of all endpoints: the
//! address that was called says which one was meant. Endpoints that will refuse connections have a listener of their
//! own, since only a port without one refuses. HTTP heads are parsed with httparse; a full server library would hide
//! when bytes come, and could not break an answer.
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};

use crate::message_number;
use crate::model::{At, Fate};
use crate::push;
use crate::world::{self, World};

/// Largest head and body that are read.
const HEAD: usize = 16 * 1024;
const BODY: usize = 1024 * 1024;

/// A request as a stand-in reads it.
pub struct ReceivedRequest {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte came.
    pub first: Instant,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// Reads requests off a connection, one after the other.
pub struct RequestReader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl RequestReader {
    pub fn new(stream: TcpStream) -> Self {
        RequestReader { stream, buffer: Vec::new() }
    }

    /// The next request; `None` at the connection's end.
    pub async fn next(&mut self) -> io::Result<Option<ReceivedRequest>> {
        let mut first = (!self.buffer.is_empty()).then(Instant::now);
        loop {
            if let Some((mut got, used, length)) = parse(&self.buffer)? {
                while self.buffer.len() < used + length {
                    if self.stream.read_buf(&mut self.buffer).await? == 0 {
                        return Ok(None);
                    }
                }
                got.body = self.buffer[used..used + length].to_vec();
                got.first = first.unwrap_or_else(Instant::now);
                self.buffer.drain(..used + length);
                return Ok(Some(got));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
            first.get_or_insert_with(Instant::now);
        }
    }

    /// Done when the other side ends the connection, or sends what it should not.
    pub async fn closed(&mut self) {
        let _ = self.stream.read_buf(&mut self.buffer).await;
    }

    pub async fn answer(&mut self, status: u16, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n", body.len());
        headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).await
    }

    /// Breaks the connection: what is open on it ends as a reset.
    pub fn reset(self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// A request's head, its length and its body's, once it is whole.
fn parse(buffer: &[u8]) -> io::Result<Option<(ReceivedRequest, usize, usize)>> {
    let bad = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(used) = request.parse(buffer).map_err(|e| bad(&e.to_string()))? else {
        return if buffer.len() > HEAD { Err(bad("a head without an end")) } else { Ok(None) };
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers: Vec<_> = request.headers.iter().map(|h| (h.name.to_owned(), text(h.value))).collect();
    let length = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let length = length.map_or(Ok(0), |(_, v)| v.parse().map_err(|_| bad("a length that is no number")))?;
    if length > BODY {
        return Err(bad("a body too long"));
    }
    let got = ReceivedRequest {
        method: request.method.unwrap_or("").to_owned(),
        path: request.path.unwrap_or("").to_owned(),
        headers,
        body: Vec::new(),
        first: Instant::now(),
    };
    Ok(Some((got, used, length)))
}

/// A listener on every address of the loopback device, and on no other device.
pub(crate) fn listen_on_loopback() -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.bind_device(Some(b"lo"))?;
    socket.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)).into())?;
    listen(socket)
}

fn listen(socket: Socket) -> io::Result<TcpListener> {
    socket.set_nonblocking(true)?;
    socket.listen(1024)?;
    TcpListener::from_std(socket.into())
}

/// A listener for one address, on a port that may have been used just before.
fn narrow(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    listen(socket)
}

/// A listener's port, and its task while it listens.
type Own = (u16, Option<JoinHandle<()>>);

/// All partners of an experiment.
pub struct Emulator {
    world: Rc<RefCell<World>>,
    start: Instant,
    pub port: u16,
    /// Gateways over HTTP/2 in place of nodes over HTTP/1.1.
    push: bool,
    /// Endpoints with listeners of their own: the port, and the listener's task while it listens.
    own: RefCell<HashMap<(u32, u32), Own>>,
    /// Told an endpoint whose connections break.
    breaks: watch::Sender<(u32, u64)>,
    /// Connections open at each endpoint.
    open: RefCell<HashMap<u32, Rc<Cell<usize>>>>,
    /// The destination of each endpoint that was called, as the list has it.
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
            own: RefCell::default(),
            breaks: watch::Sender::new((u32::MAX, 0)),
            open: RefCell::default(),
            dests: RefCell::default(),
        });
        spawn_local(emulator.clone().accept(listener));
        Ok(emulator)
    }

    fn now(&self) -> At {
        self.start.elapsed()
    }

    /// An endpoint's address.
    pub fn address(&self, endpoint: u32, moved: u32) -> SocketAddr {
        let own = self.own.borrow().get(&(endpoint, moved)).map(|(port, _)| *port);
        world::address(endpoint, moved, own.unwrap_or(self.port))
    }

    /// Gives an endpoint a listener of its own, so that it can refuse connections.
    pub fn make_own(self: &Rc<Self>, endpoint: u32, moved: u32) -> io::Result<()> {
        let known = self.own.borrow().get(&(endpoint, moved)).map_or(0, |(port, _)| *port);
        let listener = narrow(world::address(endpoint, moved, known))?;
        let port = listener.local_addr()?.port();
        let task = spawn_local(self.clone().accept(listener));
        self.own.borrow_mut().insert((endpoint, moved), (port, Some(task)));
        Ok(())
    }

    /// From now on an endpoint refuses connections; those that it has break if `breaks` says so.
    pub fn refuse(&self, endpoint: u32, breaks: bool) {
        for (_, (_, task)) in self.own.borrow_mut().iter_mut().filter(|((p, _), _)| *p == endpoint) {
            task.take().iter().for_each(JoinHandle::abort);
        }
        if breaks {
            self.breaks.send_modify(|(who, n)| (*who, *n) = (endpoint, *n + 1));
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(self.clone().connection(stream))),
                // Out of descriptors: what comes next may find some again.
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
        let most = {
            let mut world = self.world.borrow_mut();
            let now = self.now();
            let partner = world.partner(dest, endpoint);
            if partner.is_gone(now) {
                return reader.reset();
            }
            let (most, opens) = (partner.nature.connections, partner.nature.opens);
            if !world.record.opened(now, endpoint, opens) {
                return reader.reset();
            }
            most
        };
        let open = self.open.borrow_mut().entry(endpoint).or_default().clone();
        if most > 0 && open.get() >= most {
            return reader.reset();
        }
        let _one = Counted::new(open);
        let mut breaks = self.breaks.subscribe();
        breaks.borrow_and_update();
        let mut broken = std::pin::pin!(async {
            while breaks.changed().await.is_ok() {
                if breaks.borrow_and_update().0 == endpoint {
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
                got = reader.next() => match got {
                    Ok(Some(got)) => {
                        if !self.serve(&mut reader, &got, dest, endpoint).await {
                            return reader.reset();
                        }
                    }
                    _ => return,
                },
                () = &mut broken => return reader.reset(),
            }
        }
    }

    /// Serves a call; false if the connection is to break.
    async fn serve(
        &self,
        reader: &mut RequestReader,
        got: &ReceivedRequest,
        dest: usize,
        endpoint: u32,
    ) -> bool {
        let Some(msg) = got.header("x-request-id").and_then(message_number) else {
            return reader.answer(400, &[], b"").await.is_ok();
        };
        let first = got.first.saturating_duration_since(self.start);
        let fate = self.world.borrow_mut().call(msg, dest, endpoint, first, self.now());
        let over = |fate| self.world.borrow_mut().call_over(msg, dest, self.now(), fate);
        match fate {
            Fate::Served(after) => {
                let gone = async {
                    loop {
                        // What broke meanwhile is seen soon enough at this grain.
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        if self.world.borrow_mut().partner(dest, endpoint).is_gone(self.now()) {
                            return;
                        }
                    }
                };
                let done = tokio::select! {
                    () = tokio::time::sleep(after) => true,
                    () = reader.closed() => false,
                    () = gone => false,
                };
                if !done {
                    over(None);
                    return false;
                }
                let written = reader.answer(200, &[], b"ok").await.is_ok();
                over(Some(fate).filter(|_| written));
                written
            }
            Fate::Failed => {
                over(Some(fate));
                reader.answer(500, &[], b"").await.is_ok()
            }
            Fate::Full(wait) => {
                let told = wait.map(|wait| ("retry-after", format!("{:.3}", wait.as_secs_f64())));
                let status = if told.is_some() { 429 } else { 503 };
                let written = reader.answer(status, told.as_slice(), b"").await.is_ok();
                over(Some(fate));
                written
            }
            Fate::Lost => {
                over(None);
                false
            }
            Fate::Silent => {
                reader.closed().await;
                over(None);
                false
            }
        }
    }
}

/// The destination that an endpoint is of. Endpoints are numbered in the order of destinations, so that halving finds it.
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

/// Counts one for as long as it lives.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(count: Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Counted(count)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
