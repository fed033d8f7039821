//! Addresses on the loopback device whose port no other socket can take, for listeners that close and open again or that belong
//! to another process.
//!
//! A port that was drawn and released again can be drawn by any socket of the machine before the listener opens. Here a socket
//! that never listens keeps the port: connections to it are refused, and a listener can be opened on it as long as it sets
//! `SO_REUSEADDR`, as the listeners of `std` and `tokio` do.
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::TcpListener;

/// Length of the accept queue of a listener.
const ACCEPT_QUEUE: i32 = 1024;

/// A TCP address that stays reserved until this value is dropped.
#[derive(Debug)]
pub struct ReservedAddress {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedAddress {
    /// Reserves a free port that the system selects. With the unspecified address, the port is reserved on every address of the
    /// loopback device.
    ///
    /// # Errors
    /// Fails if the machine has no such address or no free port.
    pub fn new(ip: Ipv4Addr) -> io::Result<Self> {
        let socket = bound_socket(SocketAddr::from((ip, 0)))?;
        let local = socket.local_addr()?.as_socket();
        let address = local.ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedAddress { address, _socket: socket })
    }

    /// The address with its port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a listener on the address.
    ///
    /// # Errors
    /// Fails if another listener is open on it.
    pub fn listen(&self) -> io::Result<TcpListener> {
        let socket = bound_socket(self.address)?;
        socket.set_nonblocking(true)?;
        socket.listen(ACCEPT_QUEUE)?;
        TcpListener::from_std(socket.into())
    }
}

fn bound_socket(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    if address.ip().is_unspecified() {
        socket.bind_device(Some(b"lo"))?;
    }
    socket.bind(&address.into())?;
    Ok(socket)
}

#[cfg(test)]
mod tests;
