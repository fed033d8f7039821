//! One TCP connection under awc: what awc does not tell, and closing when we say so.
//!
//! awc hides whether a call's bytes were written, keeps idle connections until somebody asks for one, and
//! cannot be told to close them. A [`Line`] is the socket that awc gets: it asks the claim's ticket before
//! the first byte, marks it after the last one, and can be closed from outside.
use actix_rt::net::{ActixStream, Ready, TcpStream};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};

use crate::core::Ticket;

tokio::task_local! {
    /// The claim whose future is being polled; awc writes and reads within it.
    pub static CLAIM: Rc<Trace>;
}

/// What the socket tells of one claim.
pub struct Trace {
    ticket: Rc<Ticket>,
    line: RefCell<Option<Rc<Socket>>>,
    begun: Cell<bool>,
    refused: Cell<bool>,
}

impl Trace {
    pub fn new(ticket: Rc<Ticket>) -> Rc<Self> {
        Rc::new(Trace {
            ticket,
            line: RefCell::new(None),
            begun: Cell::new(false),
            refused: Cell::new(false),
        })
    }

    pub fn ticket(&self) -> &Ticket {
        &self.ticket
    }

    /// The ticket gave no leave to send.
    pub fn refused(&self) -> bool {
        self.refused.get()
    }

    /// The answer has been read to its end: the connection is idle again.
    pub fn done(&self) {
        if let Some(line) = self.line.borrow().as_ref() {
            line.busy.set(false);
            line.used.set(Instant::now());
        }
    }
}

/// A socket, shared by awc and the list that closes idle ones.
pub struct Socket {
    stream: RefCell<Option<TcpStream>>,
    used: Cell<Instant>,
    busy: Cell<bool>,
}

/// The connections to one execute node, as far as they are open.
#[derive(Default)]
pub struct Lines(RefCell<Vec<Weak<Socket>>>);

impl Lines {
    pub fn add(&self, stream: TcpStream) -> Line {
        let socket = Rc::new(Socket {
            stream: RefCell::new(Some(stream)),
            used: Cell::new(Instant::now()),
            busy: Cell::new(true),
        });
        self.0.borrow_mut().push(Rc::downgrade(&socket));
        Line(socket)
    }

    /// Closes what has stood idle for so long. Guards against the node closing first, which would make a
    /// claim written just then a reset.
    pub fn close_idle(&self, idle: Duration) {
        self.0.borrow_mut().retain(|socket| {
            let Some(socket) = socket.upgrade() else { return false };
            if !socket.busy.get() && socket.used.get().elapsed() >= idle {
                socket.stream.borrow_mut().take();
            }
            socket.stream.borrow().is_some()
        });
    }
}

pub struct Line(Rc<Socket>);

impl std::fmt::Debug for Line {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Line")
    }
}

impl Line {
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
        self.with(|stream| stream.poll_read(cx, buf), Ok(()))
    }
}

impl AsyncWrite for Line {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let trace = CLAIM.try_with(Rc::clone).ok();
        if let Some(trace) = trace.as_ref().filter(|t| !t.begun.get()) {
            if !trace.ticket.may_begin() {
                trace.refused.set(true);
                return Poll::Ready(Err(io::Error::other("the claim may no longer be sent")));
            }
            trace.begun.set(true);
            *trace.line.borrow_mut() = Some(self.0.clone());
        }
        self.0.busy.set(true);
        let written = self.with(|stream| stream.poll_write(cx, buf), Err(broken()));
        // awc gathers a call's head and body and hands all that is left to each write, or (a head of over
        // 8 KiB) the head first; taken whole, the last byte may have gone.
        if let (Some(trace), Poll::Ready(Ok(n))) = (trace, &written)
            && *n == buf.len()
        {
            trace.ticket.mark_sent();
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_flush(cx), Err(broken()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(|stream| stream.poll_shutdown(cx), Ok(()))
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core::tests::ticket;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpSocket};

    /// Writes on a fresh line as a claim; gives its trace, and how much of `size` bytes was written.
    async fn write(lines: &Lines, open: bool, size: usize) -> (Rc<Trace>, usize) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_send_buffer_size(4096).expect("a small buffer");
        let stream = socket.connect(listener.local_addr().expect("an address")).await.expect("connected");
        let mut line = lines.add(stream);
        let trace = Trace::new(ticket(open, Duration::ZERO, None));
        let written = CLAIM.scope(trace.clone(), line.write(&vec![0; size])).await.unwrap_or(0);
        let mut other = listener.accept().await.expect("accepted").0;
        if trace.ticket().is_sent() {
            // Idle once the answer is read; closed from outside while the other side still holds it.
            lines.close_idle(Duration::ZERO);
            trace.done();
            lines.close_idle(Duration::from_secs(9));
            let mut got = vec![0; size];
            other.read_exact(&mut got).await.expect("all of it");
            lines.close_idle(Duration::ZERO);
            assert_eq!(other.read(&mut got).await.expect("the end"), 0);
        }
        (trace, written)
    }

    #[test]
    fn a_claim_is_sent_only_with_leave_and_once_its_last_byte_is_written() {
        actix_rt::System::new().block_on(async {
            let lines = Lines::default();
            let (trace, written) = write(&lines, true, 100).await;
            assert!(trace.ticket().is_sent() && !trace.refused() && written == 100);
            let (trace, written) = write(&lines, true, 64 * 1024 * 1024).await;
            assert!(!trace.ticket().is_sent() && written > 0, "a part of it went out: it never ran");
            let (trace, written) = write(&lines, false, 100).await;
            assert!(trace.refused() && !trace.ticket().is_sent() && written == 0);
        });
    }
}
