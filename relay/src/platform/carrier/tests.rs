//! An endpoint's close in the moment of a call on a connection that rested: what counts as never run.
use super::*;
use crate::core::tests::{node, permit};
use std::time::SystemTime;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// More than a connection's buffers hold: the last byte is not written before the endpoint has read most of it.
const LONG: usize = 16 * 1024 * 1024;
const SHORT: usize = 100;

/// When the endpoint closes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    /// After the relay has looked whether the connection still rests, before its first byte, and the relay's system has seen it.
    BeforeAnyByte,
    /// Once it has read so many bytes.
    After(usize),
    /// Once it has read the whole call.
    AfterLastByte,
}

/// How it closes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Close {
    End,
    Reset,
}

fn close(stream: TcpStream, how: Close) {
    if how == Close::Reset {
        stream.set_zero_linger().expect("a socket");
    }
    drop(stream);
}

fn job(head: usize, body: usize) -> Job {
    Job {
        id: "j".into(),
        class: "order".into(),
        dest: 7,
        deadline: SystemTime::now() + Duration::from_secs(60),
        retry: false,
        reconnect: false,
        label: None,
        fields: vec![("idempotency-key".into(), Bytes::from(vec![b'k'; head]))],
        body: Bytes::from(vec![b'b'; body]),
    }
}

/// Reads a call to its end, of which the body has so many bytes, each a `b`.
async fn read_call(stream: &mut TcpStream, body: usize) {
    let mut text = Vec::new();
    loop {
        let end = text.windows(4).position(|part| part == b"\r\n\r\n").map(|end| end + 4);
        if end.is_some_and(|end| text.len() >= end + body) {
            return;
        }
        assert!(stream.read_buf(&mut text).await.expect("a call") > 0, "the call goes on");
    }
}

/// Way out to a node whose connection is closed by the endpoint, in the given moment, as the second call goes out on it.
struct Stage {
    to_nodes: ToNodes,
    node: Node,
}

impl Stage {
    /// `closing` holds the endpoint's side of the connection while it may be closed before any byte.
    async fn new(address: SocketAddr, closing: Rc<RefCell<Option<(TcpStream, Close)>>>) -> Stage {
        let rules = Rules { settings: slatethread::Settings::default(), names: Default::default() };
        let to_nodes = ToNodes::new(&rules, SocketAddr::from(([127, 0, 0, 1], 1)), 1);
        let node = node(address, true);
        let lines = Lines::new(node.id, &to_nodes.rack);
        let home = lines.clone();
        let client = client(rules.dial_timeout(), Duration::ZERO, move |to| {
            let (home, closing) = (home.clone(), closing.clone());
            async move {
                let line = home.lease(to).await?;
                let endpoint = closing.take();
                if let Some((stream, how)) = endpoint {
                    close(stream, how);
                    // Seen by the system that the relay runs on.
                    std::future::poll_fn(|cx| line.poll_read_ready(cx)).await?;
                }
                Ok(line)
            }
        });
        let exit = Exit { client, lines, used: Cell::new(Instant::now()) };
        to_nodes.exits.borrow_mut().insert(node.id, Rc::new(exit));
        Stage { to_nodes, node }
    }

    async fn call(&self, job: &Job) -> Outcome {
        let permit = permit(true, Duration::ZERO, None);
        self.to_nodes.claim(job, &self.node, Duration::from_secs(20), &permit).await
    }
}

/// The outcome of a call with a head and a body of such sizes on a connection that rested, and that the endpoint closes.
fn outcome_of(head: usize, body: usize, moment: Moment, how: Close) -> Outcome {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let closing = Rc::default();
        let stage = Stage::new(listener.local_addr().expect("an address"), Rc::clone(&closing)).await;
        let first = job(SHORT, SHORT);
        let served = async {
            let mut stream = listener.accept().await.expect("a connection").0;
            read_call(&mut stream, SHORT).await;
            let answer = b"HTTP/1.1 200 x\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(answer).await.expect("it takes an answer");
            stream
        };
        let (delivered, mut stream) = tokio::join!(stage.call(&first), served);
        assert_eq!(delivered, Outcome::Delivered);
        // The rest of the answer is read beside the call.
        let rested = async {
            while stage.to_nodes.exits.borrow()[&stage.node.id].lines.is_empty() {
                tokio::task::yield_now().await;
            }
        };
        rested.await;
        let second = job(head, body);
        let ends = async {
            match moment {
                Moment::BeforeAnyByte => *closing.borrow_mut() = Some((stream, how)),
                Moment::After(bytes) => {
                    stream.read_exact(&mut vec![0; bytes]).await.expect("a part of a call");
                    close(stream, how);
                }
                Moment::AfterLastByte => {
                    read_call(&mut stream, body).await;
                    close(stream, how);
                }
            }
        };
        // In this order: what is closed before any byte is put in place before the call begins.
        let ((), outcome) = tokio::join!(biased; ends, stage.call(&second));
        outcome
    })
}

#[test]
fn a_reset_before_any_byte_of_a_call_never_ran() {
    assert_eq!(outcome_of(SHORT, SHORT, Moment::BeforeAnyByte, Close::Reset), Outcome::Unconnected);
    assert_eq!(outcome_of(SHORT, LONG, Moment::BeforeAnyByte, Close::Reset), Outcome::Unconnected);
}

#[test]
fn a_call_that_was_written_whole_into_a_connection_that_the_endpoint_ended_counts_as_run() {
    // The endpoint may have ended only its own direction, and read on.
    assert_eq!(outcome_of(SHORT, SHORT, Moment::BeforeAnyByte, Close::End), Outcome::Reset);
    // Not so if the end came before the last byte was written.
    assert_eq!(outcome_of(SHORT, LONG, Moment::BeforeAnyByte, Close::End), Outcome::Unconnected);
}

#[test]
fn a_close_within_the_head_of_a_call_never_ran() {
    for how in [Close::End, Close::Reset] {
        assert_eq!(outcome_of(LONG, SHORT, Moment::After(50), how), Outcome::Unconnected, "{how:?}");
    }
}

#[test]
fn a_close_within_the_body_of_a_call_never_ran() {
    for how in [Close::End, Close::Reset] {
        assert_eq!(outcome_of(SHORT, LONG, Moment::After(LONG / 16), how), Outcome::Unconnected, "{how:?}");
    }
}

#[test]
fn a_close_after_the_last_byte_of_a_call_counts_as_run() {
    for how in [Close::End, Close::Reset] {
        assert_eq!(outcome_of(SHORT, SHORT, Moment::AfterLastByte, how), Outcome::Reset, "{how:?}");
        assert_eq!(outcome_of(SHORT, LONG, Moment::AfterLastByte, how), Outcome::Reset, "{how:?}");
    }
}
