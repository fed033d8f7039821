//! One TCP connection to an execute node, below awc: what awc does not tell, and who may use it again.
//!
//! awc hides whether a call's bytes were written, takes a 1xx answer for the answer, loses what stands in the
//! first line of an answer it cannot read, and uses a connection again whatever was on it. So awc gets a
//! [`Line`] for one call only. It asks the claim's ticket before the first byte, marks it after the last one,
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
use crate::core::Ticket;
use crate::shelf::{Number, Shelf};

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
    tickets: Vec<Rc<Ticket>>,
    socket: RefCell<Option<Rc<Socket>>>,
    refused: Cell<bool>,
    confirmed: Notify,
}

impl Trace {
    pub fn new(tickets: Vec<Rc<Ticket>>) -> Rc<Self> {
        Rc::new(Trace {
            tickets,
            socket: RefCell::new(None),
            refused: Cell::new(false),
            confirmed: Notify::new(),
        })
    }

    /// The call may run from here on.
    pub fn is_sent(&self) -> bool {
        self.tickets.iter().any(|ticket| ticket.is_sent())
    }

    /// Its one message is delivered.
    pub fn is_delivered(&self) -> bool {
        self.tickets.iter().any(|ticket| ticket.is_delivered())
    }

    /// The answer tells of the node's limit.
    pub fn tell_report(&self, report: Report) {
        self.tickets.iter().for_each(|ticket| ticket.tell_report(report));
    }

    /// A wait told by the answer's head.
    pub fn tell_wait(&self, wait: Duration) {
        self.tickets.iter().for_each(|ticket| ticket.tell_wait(wait));
    }

    /// Whether the call may go out now; its tickets are put down if so.
    fn begin(&self) -> bool {
        self.tickets.iter().all(|ticket| ticket.may_begin())
            && self.tickets.iter().all(|ticket| ticket.begin())
    }

    fn may_go_on(&self) -> bool {
        self.is_sent() || self.tickets.iter().all(|ticket| ticket.may_go_on())
    }

    /// The ticket gave no leave to send.
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
    shelf: RefCell<Shelf>,
    homes: RefCell<HashMap<EndpointId, Weak<Lines>>>,
}

impl Rack {
    /// How many connections may be open at once.
    pub fn set_most(&self, most: Option<usize>) {
        self.shelf.borrow_mut().set_most(most);
    }

    /// A place for one more connection; an idle one is closed for it where there is no room.
    fn place(self: &Rc<Self>) -> Place {
        let victim = self.shelf.borrow_mut().make_room();
        if let Some((node, number)) = victim {
            let home = self.homes.borrow().get(&node).and_then(Weak::upgrade);
            // Dropped only once nothing is borrowed: its place counts itself off.
            let closed = home.and_then(|home| home.remove(number));
            tracing::debug!(node = node.0, closed = closed.is_some(), "an idle connection makes room");
        }
        self.shelf.borrow_mut().opened();
        Place(self.clone())
    }
}

/// A connection's place among all that are open.
struct Place(Rc<Rack>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.shelf.borrow_mut().closed();
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
            self.rack.shelf.borrow_mut().take(self.node, number);
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
        let number = self.rack.shelf.borrow_mut().put(since, self.node);
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
        closed.iter().for_each(|line| self.rack.shelf.borrow_mut().take(self.node, line.number));
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
                && let [ticket] = &trace.tickets[..]
            {
                ticket.mark_delivered();
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
            trace.tickets.iter().for_each(|ticket| ticket.mark_sent());
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
mod tests {
    use super::*;
    use crate::core::tests::ticket;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpSocket};

    fn home() -> Rc<Lines> {
        Lines::new(EndpointId(1), &Rc::default())
    }

    #[test]
    fn connections_are_counted_and_the_longest_idle_makes_room() {
        actix_rt::System::new().block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            let rack = Rc::new(Rack::default());
            rack.set_most(Some(2));
            let homes = [1, 2, 3].map(|id| Lines::new(EndpointId(id), &rack));
            for lines in &homes {
                let line = lines.clone().lease(address).await.expect("connected");
                let (stream, place) = (line.0.stream.take().expect("open"), line.0.place.take());
                lines.put(stream, place);
                drop(line);
                assert!(rack.shelf.borrow().open() <= 2);
            }
            assert_eq!(homes.each_ref().map(|lines| lines.is_empty()), [true, false, false]);
            let (a, b) = (homes[1].clone().lease(address).await, homes[1].clone().lease(address).await);
            assert!(a.is_ok() && b.is_ok() && homes[2].is_empty());
            // Where nothing is idle, calls go out all the same.
            let c = homes[2].clone().lease(address).await;
            assert_eq!(rack.shelf.borrow().open(), 3);
            drop((a, b, c, homes));
            assert_eq!(rack.shelf.borrow().open(), 0);
            assert!(rack.homes.borrow().is_empty());
        });
    }

    #[test]
    fn the_rest_of_a_claim_is_not_written_into_a_wait_told_meanwhile() {
        actix_rt::System::new().block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.set_send_buffer_size(4096).expect("a small buffer");
            let stream = socket.connect(listener.local_addr().expect("an address")).await.expect("connected");
            let mut other = listener.accept().await.expect("accepted").0;
            let mut line = Line::new(stream, home(), home().rack.place());
            let ticket = ticket(true, Duration::ZERO, None);
            let trace = Trace::new(vec![ticket.clone()]);
            let text = vec![0; 16 * 1024 * 1024];
            let part = CLAIM.scope(trace.clone(), line.write(&text)).await.expect("a part of it");
            assert!(part < text.len());
            let mut room = vec![0; 4 * part];
            other.read_exact(&mut room[..part]).await.expect("it came");
            let more = CLAIM.scope(trace.clone(), line.write(&text[part..])).await.expect("room again");
            other.read_exact(&mut room[..more]).await.expect("it came");
            ticket.tell_wait(Duration::from_secs(9));
            CLAIM.scope(trace.clone(), line.write(&text[part + more..])).await.expect_err("it waits");
            assert!(trace.refused() && !trace.is_sent(), "it never ran");
        });
    }

    /// Writes on a fresh line as a claim; gives its trace, and how much of `size` bytes was written.
    async fn write(open: bool, size: usize) -> (Rc<Trace>, usize) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_send_buffer_size(4096).expect("a small buffer");
        let stream = socket.connect(listener.local_addr().expect("an address")).await.expect("connected");
        let mut line = Line::new(stream, home(), home().rack.place());
        let trace = Trace::new(vec![ticket(open, Duration::ZERO, None)]);
        let written = CLAIM.scope(trace.clone(), line.write(&vec![0; size])).await.unwrap_or(0);
        (trace, written)
    }

    #[test]
    fn a_claim_is_sent_only_with_leave_and_once_its_last_byte_is_written() {
        actix_rt::System::new().block_on(async {
            let (trace, written) = write(true, 100).await;
            assert!(trace.is_sent() && !trace.refused() && written == 100);
            let (trace, written) = write(true, 64 * 1024 * 1024).await;
            assert!(!trace.is_sent() && written > 0, "a part of it went out: it never ran");
            let (trace, written) = write(false, 100).await;
            assert!(trace.refused() && !trace.is_sent() && written == 0);
        });
    }

    impl From<u64> for Body {
        fn from(size: u64) -> Body {
            Body::Sized(size)
        }
    }

    /// What is read of an answer that comes in such parts, and whether its connection is used again.
    async fn read(parts: &[&str], body: impl Into<Body>) -> (String, bool, bool) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let lines = home();
        let address = listener.local_addr().expect("an address");
        let mut line = lines.clone().lease(address).await.expect("connected");
        let mut other = listener.accept().await.expect("accepted").0;
        let trace = Trace::new(vec![ticket(true, Duration::ZERO, None)]);
        let text = CLAIM.scope(trace.clone(), async {
            line.write_all(b"call").await.expect("written");
            let mut text = Vec::new();
            for part in parts {
                other.write_all(part.as_bytes()).await.expect("written");
                let read = tokio::time::timeout(Duration::from_millis(20), line.read_buf(&mut text));
                let _ = read.await;
            }
            String::from_utf8(text).expect("text")
        });
        let text = text.await;
        trace.done(body.into());
        drop(line);
        let warm = !lines.idle.borrow().is_empty();
        (text, trace.is_delivered(), warm)
    }

    #[test]
    fn only_an_answer_that_is_all_that_came_leaves_its_connection_in_use() {
        const OK: &str = "HTTP/1.1 200 x\r\ncontent-length: 2\r\n\r\nok";
        actix_rt::System::new().block_on(async {
            let whole = (OK.to_owned(), true, true);
            assert_eq!(read(&[OK], 2).await, whole);
            assert_eq!(read(&["HTT", &OK[3..]], 2).await, whole);
            // 1xx answers are passed over, in one piece or several.
            let early = "HTTP/1.1 103 Early\r\nlink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
            assert_eq!(read(&[&[early, OK].concat()], 2).await, whole);
            assert_eq!(read(&[&early[..25], &[&early[25..], OK].concat()], 2).await, whole);
            // In chunks, which say themselves where they end.
            let chunked = "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
            let whole = (chunked.to_owned(), true, true);
            assert_eq!(read(&[chunked], Body::Chunked).await, whole);
            assert_eq!(read(&[&chunked[..50], &chunked[50..]], Body::Chunked).await, whole);
            assert!(!read(&[&chunked[..chunked.len() - 1]], Body::Chunked).await.2);
            assert!(!read(&[chunked, "", "noise"], Body::Chunked).await.2);
            assert!(!read(&[OK], Body::Other).await.2);
            // Surplus bytes, at once or right behind.
            assert!(!read(&[&[OK, OK].concat()], 2).await.2);
            assert!(!read(&[OK, "", "noise"], 2).await.2);
            // What cannot be read says what its first line says, if anything.
            let (_, delivered, warm) = read(&["HTTP/1.1 200 OK\r\n\x01\x02"], 0).await;
            assert!(delivered && !warm);
            let (text, delivered, warm) = read(&["\x01\x02 HTTP/1.1 200 OK\r\n\r\n"], 0).await;
            assert!(text.starts_with('\x01') && !delivered && !warm);
            // Not for ever.
            let endless = "HTTP/1.1 102 x\r\n\r\n".repeat(3 + LONGEST_PRELUDE / 18);
            let (text, delivered, _) = read(&[&endless, "", "", "", "", "", "", "", "", ""], 0).await;
            assert!(text.starts_with("HTTP/1.1 102") && !delivered);
        });
    }

    #[test]
    fn a_first_line_that_breaks_off_delivers_nothing() {
        actix_rt::System::new().block_on(async {
            for part in ["HTTP/1.1 2", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r"]
            {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                let address = listener.local_addr().expect("an address");
                let mut line = home().lease(address).await.expect("connected");
                let mut other = listener.accept().await.expect("accepted").0;
                let trace = Trace::new(vec![ticket(true, Duration::ZERO, None)]);
                let text = CLAIM.scope(trace.clone(), async {
                    line.write_all(b"call").await.expect("written");
                    other.read_exact(&mut [0; 4]).await.expect("it came");
                    other.write_all(part.as_bytes()).await.expect("written");
                    drop(other);
                    let mut text = String::new();
                    line.read_to_string(&mut text).await.expect("text");
                    text
                });
                assert_eq!(text.await, part);
                assert!(trace.is_sent() && trace.answered() && !trace.is_delivered(), "{part}");
            }
        });
    }

    #[test]
    fn a_connection_on_which_something_came_while_idle_is_not_used_again() {
        actix_rt::System::new().block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            let lines = home();
            for (late, again) in [("", true), ("noise", false)] {
                let stream = TcpStream::connect(address).await.expect("connected");
                let local = stream.local_addr().expect("an address");
                let mut other = listener.accept().await.expect("accepted").0;
                lines.put(stream, Some(lines.rack.place()));
                other.write_all(late.as_bytes()).await.expect("written");
                let line = lines.clone().lease(address).await.expect("connected");
                let leased = line.0.stream.borrow().as_ref().and_then(|s| s.local_addr().ok());
                assert_eq!(leased == Some(local), again, "{late}");
            }
        });
    }
}
