//! Listening sockets for clients, with an accept queue that is long enough for a burst of connections.
use rustix::io::Errno;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;

/// Length of the accept queue. Tokio's default, 128, overflows in a burst: the kernel drops further connections, and ordinary clients
/// among them connect only after 1, 3 or 7 s. This many are accepted within the 0.4 s that are at most charged to a message for its
/// time in the queue (16 in 5 ms, [`crate::connection_limiter`]).
const ACCEPT_QUEUE: u32 = 1024;
/// Pause between two attempts to listen.
const LISTEN_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Why an address cannot be listened on.
#[derive(Debug, thiserror::Error)]
#[error("{key}: cannot listen on {address}: {source}")]
pub struct ListenError {
    /// The configuration's key for the address.
    key: &'static str,
    address: SocketAddr,
    source: io::Error,
}

impl ListenError {
    /// Whether another socket has the address.
    pub fn is_in_use(&self) -> bool {
        self.source.kind() == io::ErrorKind::AddrInUse
    }

    /// Whether the system lacks something for a while that a socket needs.
    pub fn is_shortage(&self) -> bool {
        const SHORTAGES: [Errno; 4] = [Errno::NOBUFS, Errno::NOMEM, Errno::NFILE, Errno::MFILE];
        Errno::from_io_error(&self.source).is_some_and(|errno| SHORTAGES.contains(&errno))
    }
}

/// Listens on the address that the configuration sets under `key`.
pub fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, ListenError> {
    ReservedAddress::reserve(key, address)?.listen()
}

/// An address that this process will listen on, and that nobody listened on when it was reserved. Nobody can connect to it yet.
pub struct ReservedAddress {
    key: &'static str,
    address: SocketAddr,
    socket: TcpSocket,
}

impl ReservedAddress {
    /// Reserves the address that the configuration sets under `key`.
    ///
    /// # Errors
    /// The system's, for example if another process listens there.
    pub fn reserve(key: &'static str, address: SocketAddr) -> Result<ReservedAddress, ListenError> {
        let socket = bind(address).map_err(|source| ListenError { key, address, source })?;
        Ok(ReservedAddress { key, address, socket })
    }

    /// Listens on the address.
    ///
    /// # Errors
    /// The system's.
    pub fn listen(self) -> Result<TcpListener, ListenError> {
        let ReservedAddress { key, address, socket } = self;
        socket.listen(ACCEPT_QUEUE).map_err(|source| ListenError { key, address, source })
    }

    /// Listens on the address as soon as the system allows it.
    pub async fn listen_until_possible(self) -> TcpListener {
        let (key, address) = (self.key, self.address);
        let mut reserved = Some(self);
        let mut logged = false;
        loop {
            let listening = match reserved.take() {
                Some(reserved) => reserved.listen(),
                // The socket is gone with the failed attempt.
                None => listen(key, address),
            };
            match listening {
                Ok(listener) => return listener,
                Err(error) if !std::mem::replace(&mut logged, true) => {
                    tracing::error!(%error, "a reserved address cannot be listened on; retrying until it can");
                }
                Err(_) => {}
            }
            sleep(LISTEN_RETRY_PAUSE).await;
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // As in `TcpListener::bind`: connections of the previous process may still be closing on this address.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

#[cfg(test)]
mod tests;
