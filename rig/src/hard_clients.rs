//! Clients of one relay whose requests take memory or time: slow, half sent, with many or long fields, or one behind another without a
//! pause. None of them hands in a message that is valid and whole.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Size of the largest body that a request may have.
const LARGEST_BODY: usize = 64 * 1024;
/// How much a slow client writes at once, and how often.
const SLOW_WRITE: usize = 2 * 1024;
const SLOW_WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that a client waits for the relay's answer or close before it leaves.
const PATIENCE: Duration = Duration::from_secs(4);
/// Pause of a client before it connects again.
const PAUSE: Duration = Duration::from_millis(100);
/// Requests that a client sends together.
const BURST: usize = 64;

/// What hard clients do.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum HardClientKind {
    /// They send most of a large body, then nothing.
    #[default]
    HalfBody,
    /// They send a large body slowly.
    SlowBody,
    /// They send many short fields, and all of a large body but its last byte.
    ShortFields,
    /// They send a field that does not end.
    LongField,
    /// They send small requests without a pause and read no answers.
    FloodUnread,
    /// They send invalid requests without a pause, each under a new name, and read the answers.
    FloodInvalid,
    /// They send many small requests and leave at once, some by a reset.
    Leavers,
}

impl HardClientKind {
    pub const ALL: [HardClientKind; 7] = [
        HardClientKind::HalfBody,
        HardClientKind::SlowBody,
        HardClientKind::ShortFields,
        HardClientKind::LongField,
        HardClientKind::FloodUnread,
        HardClientKind::FloodInvalid,
        HardClientKind::Leavers,
    ];
}

/// The hard clients of one relay.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct HardClients {
    pub kind: HardClientKind,
    /// How many there are at once.
    pub connections: usize,
    /// The number of the relay.
    pub relay: usize,
}

impl HardClients {
    /// Keeps the clients busy until the run ends.
    pub fn keep_busy(self, relays: &[SocketAddr], seed: u64) {
        let Some(relay) = relays.get(self.relay).copied() else { return };
        for number in 0..self.connections as u64 {
            spawn_local(hard_client(self.kind, relay, StdRng::seed_from_u64(seed ^ number << 32)));
        }
    }
}

async fn hard_client(kind: HardClientKind, relay: SocketAddr, mut random: StdRng) {
    loop {
        if let Ok(stream) = TcpStream::connect(relay).await {
            // The relay may close the connection at any byte.
            let _ = timeout(PATIENCE, visit(kind, stream, &mut random)).await;
        }
        sleep(PAUSE).await;
    }
}

/// Uses one connection.
async fn visit(kind: HardClientKind, mut stream: TcpStream, random: &mut StdRng) -> std::io::Result<()> {
    match kind {
        HardClientKind::HalfBody => {
            stream.write_all(&head(0)).await?;
            stream.write_all(&vec![b'b'; random.random_range(LARGEST_BODY / 2..LARGEST_BODY)]).await?;
        }
        HardClientKind::SlowBody => {
            stream.write_all(&head(0)).await?;
            for _ in 0..LARGEST_BODY / SLOW_WRITE - 1 {
                stream.write_all(&[b'b'; SLOW_WRITE]).await?;
                sleep(SLOW_WRITE_INTERVAL).await;
            }
        }
        HardClientKind::ShortFields => {
            stream.write_all(&head(random.random_range(60..85))).await?;
            stream.write_all(&vec![b'b'; LARGEST_BODY - 1]).await?;
        }
        HardClientKind::LongField => {
            stream.write_all(b"POST /order HTTP/1.1\r\nlong: ").await?;
            stream.write_all(&vec![b'a'; random.random_range(1000..200_000)]).await?;
        }
        HardClientKind::FloodUnread => loop {
            stream.write_all(b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n".repeat(BURST).as_slice()).await?;
        },
        HardClientKind::FloodInvalid => {
            let (mut answers, mut requests) = stream.into_split();
            spawn_local(async move {
                let mut buffer = vec![0; LARGEST_BODY];
                while answers.read(&mut buffer).await.is_ok_and(|bytes| bytes > 0) {}
            });
            loop {
                requests.write_all(&invalid_requests(random)).await?;
            }
        }
        HardClientKind::Leavers => {
            stream.write_all(&invalid_requests(random)).await?;
            sleep(Duration::from_millis(random.random_range(0..50))).await;
            if random.random_bool(0.5) {
                stream.set_zero_linger()?;
            }
            return Ok(());
        }
    }
    // Until the relay answers or closes.
    stream.read(&mut [0; 1024]).await.map(|_| ())
}

/// The head of a request with the largest body and this many short fields.
fn head(fields: usize) -> Vec<u8> {
    let short: String = (0..fields).map(|field| format!("f{field}: 1\r\n")).collect();
    format!(
        "POST /order HTTP/1.1\r\nhost: x\r\nx-request-id: hard\r\nx-timeout-ms: 9000\r\nx-envelope: dest=0\r\n{short}content-length: {LARGEST_BODY}\r\n\r\n"
    )
    .into_bytes()
}

/// Requests of classes that do not exist.
fn invalid_requests(random: &mut StdRng) -> Vec<u8> {
    let mut text = String::new();
    for _ in 0..BURST {
        let name: u64 = random.random();
        text += &format!(
            "POST /{name:x} HTTP/1.1\r\nhost: x\r\nx-request-id: {name:x}\r\nx-timeout-ms: 900\r\nx-envelope: dest=0\r\ncontent-length: 2\r\n\r\nab"
        );
    }
    text.into_bytes()
}
