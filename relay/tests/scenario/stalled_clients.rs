//! Many clients that connect and never finish a request.
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
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

/// Opens as many connections as instructed, sends nothing or a partial request line on each, and waits until the relay closes
/// them.
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
            let number = |text: &str| text.parse::<usize>().expect("a number");
            let partial_line = vec![b'a'; argument(&instruction, "partial_line").map_or(0, number)];
            for _ in 0..number(&instruction[0].0) {
                let (connecting, partial_line) = (connecting.clone(), partial_line.clone());
                let (connected, closed) = (connected.clone(), closed.clone());
                clients.spawn(async move {
                    let permit = connecting.acquire_owned().await.expect("never closed");
                    let mut stream = TcpStream::connect(relay).await.expect("the relay listens");
                    drop(permit);
                    connected.add();
                    // The relay may close the connection at any byte.
                    let _ = stream.write_all(&partial_line).await;
                    let mut response = Vec::new();
                    let _ = stream.read_to_end(&mut response).await;
                    closed.add();
                });
            }
        }
    });
}
