//! A client that writes requests one behind another on one connection, as fast as the relay reads them.
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::{Event, Instruction, argument};

type Events = mpsc::UnboundedSender<Event>;

/// The relay counts as reading no further once nothing could be written for this long.
const BLOCKED_AFTER: Duration = Duration::from_millis(1000);
/// An event is sent for each this many bytes written.
const REPORT_INTERVAL: usize = 64 * 1024;
/// Requests that are written together.
const BURST: u64 = 64;

/// Follows instructions: `ready` (requests that are answered without a job), `orders` (sound ones for destination 8, each with a new id) or `unsound`
/// (with a new class in each); the answers are read only with `read=yes`. Reports `written` with the `kilobytes` so far, `blocked` once
/// the relay reads no further, and `closed`.
pub fn flooding_client(
    relay: SocketAddr,
    events: Events,
    mut instructions: mpsc::UnboundedReceiver<Instruction>,
) {
    tokio::spawn(async move {
        let Some(instruction) = instructions.recv().await else { return };
        let stream = TcpStream::connect(relay).await.expect("the relay listens");
        let (mut answers, requests) = stream.into_split();
        let kind = instruction[0].0.clone();
        if argument(&instruction, "read").is_some() {
            tokio::spawn(async move {
                let mut buffer = vec![0; 64 * 1024];
                while answers.read(&mut buffer).await.is_ok_and(|bytes| bytes > 0) {}
            });
            write_requests(&kind, requests, &events).await;
        } else {
            write_requests(&kind, requests, &events).await;
            drop(answers);
        }
    });
}

async fn write_requests(kind: &str, mut requests: OwnedWriteHalf, events: &Events) {
    let (mut number, mut written) = (0, 0);
    loop {
        let burst: String = (number..number + BURST).map(|number| request(kind, number)).collect();
        number += BURST;
        match timeout(BLOCKED_AFTER, requests.write_all(burst.as_bytes())).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return drop(events.send(Event::new("closed", []))),
            Err(_) => {
                let _ = events.send(Event::new("blocked", []));
                return std::future::pending().await;
            }
        }
        let before = written;
        written += burst.len();
        if before / REPORT_INTERVAL < written / REPORT_INTERVAL {
            let kilobytes = (written / 1024).to_string();
            let _ = events.send(Event::new("written", [("kilobytes", kilobytes.as_str())]));
        }
    }
}

fn request(kind: &str, number: u64) -> String {
    let class = match kind {
        "ready" => return String::from("GET /ready HTTP/1.1\r\nhost: x\r\n\r\n"),
        "unsound" => format!("class{number}"),
        _ => String::from("order"),
    };
    format!(
        "POST /{class} HTTP/1.1\r\nhost: x\r\nx-request-id: flood{number}\r\nx-timeout-ms: 900\r\nx-envelope: dest=8\r\ncontent-length: 2\r\n\r\nab"
    )
}
