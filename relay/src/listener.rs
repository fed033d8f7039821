//! Listening sockets for clients, with an accept queue that is long enough for a burst of connections.
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Length of the accept queue. Tokio's default, 128, overflows in a burst: the kernel drops further connections, and ordinary clients
/// among them connect only after 1, 3 or 7 s. This many are accepted within the 0.4 s that are at most charged to a message for its
/// time in the queue (16 in 5 ms, [`crate::connection_limiter`]).
const ACCEPT_QUEUE: u32 = 1024;

/// Listens on the address that the configuration sets under `key`. The text of an error names both.
pub fn listen(key: &str, address: SocketAddr) -> Result<TcpListener, String> {
    bind(address).map_err(|e| format!("{key}: cannot listen on {address}: {e}"))
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // As in `TcpListener::bind`: connections of the previous process may still be closing on this address.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

#[cfg(test)]
mod tests;
