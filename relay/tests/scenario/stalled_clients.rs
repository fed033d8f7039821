//! Many clients that connect and never finish a request.
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;

use super::{Event, Instruction, argument};

type Events = mpsc::UnboundedSender<Event>;

/// Connections being opened at once: fewer than a listener's accept queue, so that other clients can connect meanwhile.
const MAX_CONNECTING: usize = 64;
/// An event is sent for each this many connections that were established or closed.
const REPORT_INTERVAL: usize = 100;
/// How often a client that writes slowly writes.
const SLOW_WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Size of the largest body that a request may have.
const LARGEST_BODY: usize = 64 * 1024;

/// Counts connections that reached a state, and reports the count at intervals.
struct Progress {
    kind: &'static str,
    count: AtomicUsize,
    events: Events,
}

impl Progress {
    fn new(kind: &'static str, events: &Events) -> Arc<Self> {
        Arc::new(Progress { kind, count: AtomicUsize::new(0), events: events.clone() })
    }

    fn add(&self) {
        let count = self.count.fetch_add(1, Ordering::Relaxed) + 1;
        if count.is_multiple_of(REPORT_INTERVAL) {
            let _ = self.events.send(Event::new(self.kind, [("count", count.to_string().as_str())]));
        }
    }
}

/// What each client writes, and how fast.
struct StalledRequest {
    bytes: Vec<u8>,
    /// Bytes for each [`SLOW_WRITE_INTERVAL`]; all at once if it is `None`.
    chunk: Option<usize>,
}

impl StalledRequest {
    fn parse(instruction: &Instruction) -> StalledRequest {
        let number =
            |key: &str| argument(instruction, key).map(|text| text.parse::<usize>().expect("a number"));
        let bytes = match (number("body"), number("fields"), number("field_bytes")) {
            (None, None, None) => vec![b'a'; number("partial_line").unwrap_or(0)],
            (body, fields, field_bytes) => {
                partial_request(body, fields.unwrap_or(0), field_bytes.unwrap_or(0))
            }
        };
        StalledRequest { bytes, chunk: number("per_interval") }
    }

    /// Writes the request. The relay may close the connection at any byte.
    async fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        for chunk in self.bytes.chunks(self.chunk.unwrap_or(usize::MAX)) {
            stream.write_all(chunk).await?;
            if self.chunk.is_some() {
                tokio::time::sleep(SLOW_WRITE_INTERVAL).await;
            }
        }
        Ok(())
    }
}

/// A request whose head has this many short fields and a long one. If `body` is `None`, the head does not end; else it announces the
/// largest body, of which this many bytes follow.
fn partial_request(body: Option<usize>, fields: usize, field_bytes: usize) -> Vec<u8> {
    let mut text =
        String::from("POST /order HTTP/1.1\r\nhost: x\r\nx-request-id: stalled\r\nx-timeout-ms: 9000\r\n");
    text += &format!("x-envelope: dest=7\r\ncontent-length: {LARGEST_BODY}\r\n");
    for field in 0..fields {
        text += &format!("f{field}: 1\r\n");
    }
    text += &format!("long: {}", "a".repeat(field_bytes));
    text += if body.is_some() { "\r\n\r\n" } else { "" };
    [text.into_bytes(), vec![b'b'; body.unwrap_or(0)]].concat()
}

/// Opens as many connections as instructed, writes a part of a request on each, and waits until the relay closes them.
pub fn stalled_clients(
    relay: SocketAddr,
    events: Events,
    mut instructions: mpsc::UnboundedReceiver<Instruction>,
) {
    tokio::spawn(async move {
        let connecting = Arc::new(Semaphore::new(MAX_CONNECTING));
        let (connected, closed) = (Progress::new("connected", &events), Progress::new("closed", &events));
        let mut clients = JoinSet::new();
        while let Some(instruction) = instructions.recv().await {
            let count = instruction[0].0.parse::<usize>().expect("a number");
            let request = Arc::new(StalledRequest::parse(&instruction));
            for _ in 0..count {
                let (connecting, request) = (connecting.clone(), request.clone());
                let (connected, closed) = (connected.clone(), closed.clone());
                clients.spawn(async move {
                    let permit = connecting.acquire_owned().await.expect("never closed");
                    let mut stream = TcpStream::connect(relay).await.expect("the relay listens");
                    drop(permit);
                    connected.add();
                    let _ = request.write(&mut stream).await;
                    let mut response = Vec::new();
                    let _ = stream.read_to_end(&mut response).await;
                    closed.add();
                });
            }
        }
    });
}
