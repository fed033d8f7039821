//! One TCP connection to an execute node, below awc: what awc does not tell, and who may use it again.
//!
//! awc hides whether a call's bytes were written, takes a 1xx answer for the answer, loses what stands in the
//! first line of an answer it cannot read, and uses a connection again whatever was on it. So awc gets a
//! [`Line`] for one call only. It asks the claim's permit before the first byte, marks it after the last one,
//! and watches the answer; the socket goes back to [`Lines`] only if the answer was all that came on it.
use actix_rt::net::{ActixStream, Ready, TcpStream};
use slatethread::{EndpointId, Report};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::sync::Notify;

use super::chunks::Chunks;
use crate::core::SendPermit;
use crate::idle_pool::{IdlePool, Number};

/// A connection rests for so long after an answer. Guards against surplus that the node writes right behind an
/// answer and that is not here yet when the next call would go out: it would be read as the next answer.
const REST: Duration = Duration::from_millis(2);
/// Most bytes of 1xx answers that are passed over, and of a first line that is waited for.
const LONGEST_PRELUDE: usize = 16 * 1024;

tokio::task_local! {
    /// The claim whose future is being polled; awc writes and reads within it.
    pub static CLAIM: Rc<Trace>;
}

/// What the socket tells of one claim.
pub struct Trace {
    /// Of all messages of the call.
    permits: Vec<Rc<SendPermit>>,
    socket: RefCell<Option<Rc<Socket>>>,
    refused: Cell<bool>,
    confirmed: Notify,
}

impl Trace {
    pub fn new(permits: Vec<Rc<SendPermit>>) -> Rc<Self> {
        Rc::new(Trace {
            permits,
            socket: RefCell::new(None),
            refused: Cell::new(false),
            confirmed: Notify::new(),
        })
    }

    /// The call may run from here on.
    pub fn is_sent(&self) -> bool {
        self.permits.iter().any(|permit| permit.is_sent())
    }

    /// Its one message is delivered.
    pub fn is_delivered(&self) -> bool {
        self.permits.iter().any(|permit| permit.is_delivered())
    }

    /// The answer tells of the node's limit.
    pub fn tell_report(&self, report: Report) {
        self.permits.iter().for_each(|permit| permit.set_report(report));
    }

    /// A wait told by the answer's head.
    pub fn tell_wait(&self, wait: Duration) {
        self.permits.iter().for_each(|permit| permit.set_wait(wait));
    }

    /// Whether the call may go out now; its permits are put down if so.
    fn begin(&self) -> bool {
        let begins = self.permits.iter().all(|permit| permit.may_begin())
            && self.permits.iter().all(|permit| permit.begin());
        if !begins && self.permits.iter().any(|permit| permit.had_local_fault()) {
            self.mark_local_fault();
        }
        begins
    }

    /// A fault of this machine keeps all of them from being sent.
    pub fn mark_local_fault(&self) {
        self.permits.iter().for_each(|permit| permit.mark_local_fault());
    }

    fn may_go_on(&self) -> bool {
        self.is_sent() || self.permits.iter().all(|permit| permit.may_continue())
    }

    /// The permit gave no leave to send.
    pub fn refused(&self) -> bool {
        self.refused.get()
    }

    /// Done when the answer's first line says 200, whatever follows it.
    pub async fn confirmed(&self) {
        self.confirmed.notified().await;
    }

    /// Something came back, whether or not it can be read.
    pub fn answered(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|socket| socket.answer.borrow().seen > 0)
    }

    /// The answer has been read to its end: the connection may be used again if nothing but that came.
    pub fn done(&self, body: Body) {
        let Some(socket) = self.socket.take() else { return };
        let clean = socket.answer.borrow().was_just(body);
        if let Some(stream) = socket.stream.borrow_mut().take().filter(|stream| clean && silent(stream)) {
            socket.home.put(stream, socket.place.take());
        }
    }
}

/// How an answer says where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    Sized(u64),
    Chunked,
    /// With the connection, or not as can be told.
    Other,
}

/// Whether nothing waits to be read on a connection, not even its end. Asks the system, not the runtime, which
/// may not have looked yet.
fn silent(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// All connections of the front to its nodes: how many there are, and whose the idle ones are.
#[derive(Default)]
pub struct Rack {
    idle_pool: RefCell<IdlePool>,
    homes: RefCell<HashMap<EndpointId, Weak<Lines>>>,
}

impl Rack {
    /// How many connections may be open at once.
    pub fn set_most(&self, most: Option<usize>) {
        self.idle_pool.borrow_mut().set_most(most);
    }

    /// A place for one more connection; an idle one is closed for it where there is no room.
    fn place(self: &Rc<Self>) -> Place {
        let victim = self.idle_pool.borrow_mut().make_room();
        if let Some((node, number)) = victim {
            let home = self.homes.borrow().get(&node).and_then(Weak::upgrade);
            // Dropped only once nothing is borrowed: its place counts itself off.
            let closed = home.and_then(|home| home.remove(number));
            tracing::debug!(node = node.0, closed = closed.is_some(), "an idle connection makes room");
        }
        self.idle_pool.borrow_mut().opened();
        Place(self.clone())
    }
}

/// A connection's place among all that are open.
struct Place(Rc<Rack>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.idle_pool.borrow_mut().closed();
    }
}

struct Idle {
    stream: TcpStream,
    since: Instant,
    number: Number,
    place: Place,
}

/// The idle connections to one execute node, the longest idle first.
pub struct Lines {
    node: EndpointId,
    rack: Rc<Rack>,
    idle: RefCell<Vec<Idle>>,
}

impl Lines {
    pub fn new(node: EndpointId, rack: &Rc<Rack>) -> Rc<Self> {
        let lines = Rc::new(Lines { node, rack: rack.clone(), idle: RefCell::default() });
        rack.homes.borrow_mut().insert(node, Rc::downgrade(&lines));
        lines
    }

    /// A connection for one call: a warm one, or a new one.
    pub async fn lease(self: Rc<Self>, address: SocketAddr) -> io::Result<Line> {
        loop {
            let Some(Idle { stream, since, number, place }) = self.idle.borrow_mut().pop() else { break };
            self.rack.idle_pool.borrow_mut().take(self.node, number);
            tokio::time::sleep_until((since + REST).into()).await;
            if silent(&stream) {
                return Ok(Line::new(stream, self, place));
            }
        }
        let place = self.rack.place();
        tracing::debug!(%address, "connecting to an execute node");
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Line::new(stream, self, place))
    }

    fn put(&self, stream: TcpStream, place: Option<Place>) {
        let Some(place) = place else { return };
        let since = Instant::now();
        let number = self.rack.idle_pool.borrow_mut().put(since, self.node);
        self.idle.borrow_mut().push(Idle { stream, since, number, place });
    }

    fn remove(&self, number: Number) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let place = idle.iter().position(|line| line.number == number)?;
        Some(idle.remove(place))
    }

    /// Whether no connection idles here.
    pub fn is_empty(&self) -> bool {
        self.idle.borrow().is_empty()
    }

    /// Closes what has stood idle for so long. Guards against the node closing first, which would make a
    /// claim written just then a reset.
    pub fn close_idle(&self, idle: Duration) {
        let mut lines = self.idle.borrow_mut();
        let keep = lines.partition_point(|line| line.since.elapsed() >= idle);
        let closed: Vec<_> = lines.drain(..keep).collect();
        drop(lines);
        closed.iter().for_each(|line| self.rack.idle_pool.borrow_mut().take(self.node, line.number));
    }
}

impl Drop for Lines {
    fn drop(&mut self) {
        self.close_idle(Duration::ZERO);
        let mut homes = self.rack.homes.borrow_mut();
        // Another may have come in its place.
        if homes.get(&self.node).is_some_and(|home| home.strong_count() == 0) {
            homes.remove(&self.node);
        }
    }
}

/// A socket that is leased for a call.
struct Socket {
    stream: RefCell<Option<TcpStream>>,
    answer: RefCell<Answer>,
    home: Rc<Lines>,
    place: Cell<Option<Place>>,
}

pub struct Line(Rc<Socket>);

impl std::fmt::Debug for Line {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Line")
    }
}

/// Guards against connections that stay open because a trace still knows them: what awc gives up is closed.
impl Drop for Line {
    fn drop(&mut self) {
        self.0.stream.take();
        self.0.place.take();
    }
}

impl Line {
    fn new(stream: TcpStream, home: Rc<Lines>, place: Place) -> Self {
        let answer = RefCell::new(Answer::default());
        let place = Cell::new(Some(place));
        Line(Rc::new(Socket { stream: RefCell::new(Some(stream)), answer, home, place }))
    }

    /// Does something with the stream; a closed one reads as ended and cannot be written.
    fn with<T>(
        &self,
        act: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
        closed: io::Result<T>,
    ) -> Poll<io::Result<T>> {
        match self.0.stream.borrow_mut().as_mut() {
            Some(stream) => act(Pin::new(stream)),
            None => Poll::Ready(closed),
        }
    }
}

fn broken() -> io::Error {
    io::ErrorKind::BrokenPipe.into()
}

impl AsyncRead for Line {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut answer = self.0.answer.borrow_mut();
        loop {
            if answer.status.is_some() && answer.prelude.is_empty() {
                let before = buf.filled().len();
                ready!(self.with(|stream| stream.poll_read(cx, buf), Ok(())))?;
                answer.passed(&buf.filled()[before..]);
                return Poll::Ready(Ok(()));
            }
            if answer.status.is_some() {
                let prelude = std::mem::take(&mut answer.prelude);
                let (now, later) = prelude.split_at(prelude.len().min(buf.remaining()));
                buf.put_slice(now);
                answer.passed(now);
                answer.prelude = later.to_vec();
                return Poll::Ready(Ok(()));
            }
            let mut room = [0; 2048];
            let mut part = ReadBuf::new(&mut room);
            ready!(self.with(|stream| stream.poll_read(cx, &mut part), Ok(())))?;
            let ended = part.filled().is_empty();
            answer.begin(part.filled(), ended);
            if answer.status == Some(200)
                && let Ok(trace) = CLAIM.try_with(Rc::clone)
                // Of several, the whole answer says which.
                && let [permit] = &trace.permits[..]
            {
                permit.mark_delivered();
                trace.confirmed.notify_one();
            }
            if ended && answer.prelude.is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for Line {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let trace = CLAIM.try_with(Rc::clone).ok();
        if let Some(trace) = &trace {
            let begun = trace.socket.borrow().is_some();
            if !(if begun { trace.may_go_on() } else { trace.begin() }) {
                trace.refused.set(true);
                return Poll::Ready(Err(io::Error::other("the claim may no longer be sent")));
            }
            if !begun {
                *trace.socket.borrow_mut() = Some(self.0.clone());
            }
        }
        let written = self.with(|stream| stream.poll_write(cx, buf), Err(broken()));
        // awc gathers a call's head and body and hands all that is left to each write, or (a head of over
        // 8 KiB) the head first; taken whole, the last byte may have gone.
        if let (Some(trace), Poll::Ready(Ok(n))) = (trace, &written)
            && *n == buf.len()
        {
            trace.permits.iter().for_each(|permit| permit.mark_sent());
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_flush(cx), Err(broken()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.stream.take();
        self.0.place.take();
        Poll::Ready(Ok(()))
    }
}

impl ActixStream for Line {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.with(|stream| pin!(stream.ready(Interest::READABLE)).poll(cx), Err(broken()))
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.with(|stream| pin!(stream.ready(Interest::WRITABLE)).poll(cx), Err(broken()))
    }
}

/// What has been seen of one answer.
#[derive(Default)]
struct Answer {
    /// What came and is not passed on yet: 1xx answers and the beginning of a first line.
    prelude: Vec<u8>,
    /// Bytes of 1xx answers passed over.
    skipped: usize,
    /// What its first line says; 0 if that is no such line.
    status: Option<u16>,
    /// Bytes seen, and passed on.
    seen: usize,
    bytes: u64,
    /// Bytes up to the end of its head, once that was passed on.
    head: Option<u64>,
    /// How much of a head's end (CR LF CR LF) came last.
    end: usize,
    /// What came behind the head, read as chunks.
    chunks: Chunks,
}

impl Answer {
    /// Takes in the beginning of an answer. Guards against 1xx answers, which are passed over, within bounds.
    fn begin(&mut self, part: &[u8], ended: bool) {
        self.seen += part.len();
        self.prelude.extend_from_slice(part);
        loop {
            let text = &self.prelude[..];
            // A line that broke off says nothing: whoever wrote it may not count it as an answer.
            let status = match text.contains(&b'\n') {
                true => text.get(..13).and_then(status).unwrap_or(0),
                false if ended || text.len() > LONGEST_PRELUDE => 0,
                false => return,
            };
            if !(100..200).contains(&status) || status == 101 || self.skipped > LONGEST_PRELUDE {
                self.status = Some(status);
                return;
            }
            match text.windows(4).position(|end| end == b"\r\n\r\n") {
                Some(end) => {
                    self.skipped += end + 4;
                    self.prelude.drain(..end + 4);
                }
                None if ended || text.len() > LONGEST_PRELUDE => {
                    self.status = Some(0);
                    return;
                }
                None => return,
            }
        }
    }

    /// Counts what is passed on.
    fn passed(&mut self, part: &[u8]) {
        for (i, byte) in part.iter().enumerate() {
            if self.head.is_some() {
                self.chunks.take(&part[i..]);
                break;
            }
            self.end = match (byte, self.end) {
                (b'\r', 0 | 2) | (b'\n', 1 | 3) => self.end + 1,
                (b'\r', _) => 1,
                _ => 0,
            };
            if self.end == 4 {
                self.head = Some(self.bytes + i as u64 + 1);
            }
        }
        self.bytes += part.len() as u64;
    }

    /// Whether a head and its body is all that came.
    fn was_just(&self, body: Body) -> bool {
        let whole = match body {
            Body::Sized(size) => self.head.and_then(|head| head.checked_add(size)) == Some(self.bytes),
            Body::Chunked => self.chunks == Chunks::End,
            Body::Other => false,
        };
        self.status.is_some_and(|status| status >= 200) && self.prelude.is_empty() && whole
    }
}

/// The status in the first bytes of an answer's first line.
fn status(line: &[u8]) -> Option<u16> {
    let rest = line.strip_prefix(b"HTTP/1.")?;
    let (minor, rest) = rest.split_first()?;
    let digits = rest.strip_prefix(b" ")?.get(..3)?;
    let ends = matches!(rest.get(4), Some(b' ' | b'\r' | b'\n'));
    let sound = minor.is_ascii_digit() && ends && digits.iter().all(u8::is_ascii_digit);
    sound.then(|| digits.iter().fold(0, |n, d| n * 10 + u16::from(d - b'0')))
}

#[cfg(test)]
mod tests;
