//! A node closes a reused connection during a call: which calls count as never run.
use super::*;
use crate::core::tests::{node, permit};
use crate::memory_budget::MemoryBudget;
use crate::metrics::Metrics;
use std::time::SystemTime;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// More than a connection's buffers can contain: the last byte is written only after the node has read most of it.
const LONG: usize = 16 * 1024 * 1024;
const SHORT: usize = 100;

/// When the node closes the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    /// After the relay has checked the idle connection and before its first byte; the relay's kernel has received the close.
    BeforeAnyByte,
    /// Once the node has read this many bytes.
    After(usize),
    /// Once the node has read the whole call.
    AfterLastByte,
}

/// How the node closes the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Close {
    Fin,
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

/// Reads a complete call whose body has `body` bytes.
async fn read_call(stream: &mut TcpStream, body: usize) {
    let mut text = Vec::new();
    loop {
        let end = text.windows(4).position(|part| part == b"\r\n\r\n").map(|end| end + 4);
        if end.is_some_and(|end| text.len() >= end + body) {
            return;
        }
        assert!(stream.read_buf(&mut text).await.expect("a call") > 0, "the call continues");
    }
}

/// A client for a node that may close its connection when the second call on it begins.
struct Stage {
    node_client: NodeClient,
    node: Node,
}

impl Stage {
    /// `closing` contains the node's side of the connection if it is to be closed before any byte of the second call.
    async fn new(address: SocketAddr, closing: Rc<RefCell<Option<(TcpStream, Close)>>>) -> Stage {
        let rules = Rules { settings: slatethread::Settings::default(), names: Default::default() };
        let node_client = NodeClient::new(
            &rules,
            SocketAddr::from(([127, 0, 0, 1], 1)),
            1,
            Metrics::new(&[]).surplus_answers(),
            MemoryBudget::unlimited(),
        );
        let node = node(address, true);
        let connections =
            NodePool::new(node.id, &node.name, &node_client.pool, node_client.surplus_counter.clone());
        let node_pool = connections.clone();
        let client = build_client(rules.dial_timeout(), move |to| {
            let (node_pool, closing) = (node_pool.clone(), closing.clone());
            async move {
                let leased = node_pool.lease(to).await?;
                let to_close = closing.take();
                if let Some((stream, how)) = to_close {
                    close(stream, how);
                    // Wait until the relay's kernel has received the close.
                    std::future::poll_fn(|cx| leased.poll_read_ready(cx)).await?;
                }
                Ok(leased)
            }
        });
        let handle = NodeHandle { client, connections, last_used: Cell::new(Instant::now()) };
        node_client.nodes.borrow_mut().insert(node.id, Rc::new(handle));
        Stage { node_client, node }
    }

    async fn call(&self, job: &Job) -> Outcome {
        let permit = permit(true, Duration::ZERO, None);
        self.node_client.claim(job, &self.node, Duration::from_secs(20), &permit).await
    }
}

/// The outcome of a call with a head and a body of these sizes on a reused connection that the node closes.
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
            stream.write_all(answer).await.expect("the response is written");
            stream
        };
        let (delivered, mut stream) = tokio::join!(stage.call(&first), served);
        assert_eq!(delivered, Outcome::Delivered);
        // The body of the response is read after the call has returned.
        let idle = async {
            while stage.node_client.nodes.borrow()[&stage.node.id].connections.is_empty() {
                tokio::task::yield_now().await;
            }
        };
        idle.await;
        let second = job(head, body);
        let node_side = async {
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
        // In this order, so that a connection to be closed before any byte is in place before the call begins.
        let ((), outcome) = tokio::join!(biased; node_side, stage.call(&second));
        outcome
    })
}

#[test]
fn a_call_whose_connection_was_reset_before_any_byte_never_ran() {
    assert_eq!(outcome_of(SHORT, SHORT, Moment::BeforeAnyByte, Close::Reset), Outcome::Unconnected);
    assert_eq!(outcome_of(SHORT, LONG, Moment::BeforeAnyByte, Close::Reset), Outcome::Unconnected);
}

#[test]
fn a_call_written_completely_after_the_node_has_shut_down_its_side_counts_as_run() {
    // The node may have shut down only its own direction and still be reading.
    assert_eq!(outcome_of(SHORT, SHORT, Moment::BeforeAnyByte, Close::Fin), Outcome::Reset);
    // Unless the end was received before the last byte was written.
    assert_eq!(outcome_of(SHORT, LONG, Moment::BeforeAnyByte, Close::Fin), Outcome::Unconnected);
}

#[test]
fn a_call_whose_connection_closes_within_its_head_never_ran() {
    for how in [Close::Fin, Close::Reset] {
        assert_eq!(outcome_of(LONG, SHORT, Moment::After(50), how), Outcome::Unconnected, "{how:?}");
    }
}

#[test]
fn a_call_whose_connection_closes_within_its_body_never_ran() {
    for how in [Close::Fin, Close::Reset] {
        assert_eq!(outcome_of(SHORT, LONG, Moment::After(LONG / 16), how), Outcome::Unconnected, "{how:?}");
    }
}

#[test]
fn a_call_whose_connection_closes_after_its_last_byte_counts_as_run() {
    for how in [Close::Fin, Close::Reset] {
        assert_eq!(outcome_of(SHORT, SHORT, Moment::AfterLastByte, how), Outcome::Reset, "{how:?}");
        assert_eq!(outcome_of(SHORT, LONG, Moment::AfterLastByte, how), Outcome::Reset, "{how:?}");
    }
}
