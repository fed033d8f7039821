//! Idle clients: connections that send nothing and are reopened when the relay closes them.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How many idle clients each relay has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct IdleClients {
    /// Connections to keep open at each relay.
    pub connections: usize,
    /// Pause before a closed connection is reopened, in milliseconds.
    pub pause_ms: u64,
}

impl IdleClients {
    /// Keeps the connections open until the run ends.
    pub fn keep_open(self, relays: &[SocketAddr]) {
        for relay in relays {
            for _ in 0..self.connections {
                spawn_local(idle_client(*relay, Duration::from_millis(self.pause_ms.max(1))));
            }
        }
    }
}

async fn idle_client(relay: SocketAddr, pause: Duration) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(relay).await {
            // The relay sends nothing without a request, so the read returns when the connection closes.
            let _ = stream.read(&mut [0; 64]).await;
        }
        sleep(pause).await;
    }
}
