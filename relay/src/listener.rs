//! Sockets that clients connect to, with a queue that is long enough for a crowd.
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be taken. The library's own 128 overflow in a crowd: the system drops what comes then, and ordinary
/// clients behind it connect after 1, 3 or 7 s. So many are taken within the 0.4 s that are at most taken off a message's
/// time for its wait in the queue (16 in 5 ms, [`crate::connection_limiter`]).
const CONNECTION_QUEUE: u32 = 1024;

/// Listens on an address that stands under that key of the configuration. The text of an error names both.
pub fn listen(key: &str, address: SocketAddr) -> Result<TcpListener, String> {
    bind(address).map_err(|e| format!("{key}: cannot listen on {address}: {e}"))
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // As the library's own bind has it: connections of the process before may still be closing there.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(CONNECTION_QUEUE)
}

#[cfg(test)]
mod tests;
