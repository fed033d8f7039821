//! Network paths between relays, for datagrams and connections. Each relay is reached through sockets of the rig, which identify
//! the sender by its source address and apply the current faults of the path between the two. Bytes sent on a connection over a cut
//! path arrive once the cut is over, as with TCP retransmissions. A path's delay applies to connections too, without reordering.
use onyxglade_lab::reserved_address::ReservedAddress;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Address at which the first relay is reached; the others follow it in order.
const FIRST_ADDRESS: u32 = 0x7f30_0001;
const MAX_DATAGRAM: usize = 65_536;
/// Maximum number of bytes read from a connection at once.
const CHUNK: usize = 16 * 1024;
/// Maximum number of chunks queued on a path; bounds the memory of a cut one.
const MAX_CHUNKS: usize = 64;
/// How often to check whether a cut is over.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Faults of the path from one relay to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathState {
    /// Number of active partitions that separate the two.
    pub cuts: u32,
    /// Share of datagrams that are dropped.
    pub lose: f64,
    pub delay: Duration,
    /// Upper bound of the random extra delay, which reorders datagrams.
    pub jitter: Duration,
}

/// All paths between relays.
pub struct Datagrams {
    /// Only the paths that have a fault.
    paths: RefCell<HashMap<(usize, usize), PathState>>,
    random: RefCell<StdRng>,
    /// Address that the first relay sends from.
    first_sender: u32,
}

impl Datagrams {
    /// Paths between relays that send from consecutive addresses, beginning with `first_sender`.
    pub fn new(first_sender: u32, seed: u64) -> Rc<Self> {
        let random = RefCell::new(StdRng::seed_from_u64(seed));
        Rc::new(Datagrams { paths: RefCell::default(), random, first_sender })
    }

    /// Opens a path to the relay that listens at `target`; returns the address for the other relays to use.
    pub async fn open_path_to(self: &Rc<Self>, relay: usize, target: SocketAddr) -> io::Result<SocketAddr> {
        // All UDP ports of this address follow a reserved TCP port, so that no other play has the same one.
        let reserved = ReservedAddress::new(Ipv4Addr::from(FIRST_ADDRESS + relay as u32))?;
        let address = reserved.address();
        let socket = Rc::new(UdpSocket::bind(address).await?);
        let listener = reserved.listen()?;
        spawn_local(self.clone().forward_datagrams(relay, target, socket));
        spawn_local(self.clone().accept(relay, target, listener));
        Ok(address)
    }

    /// The relay that sends from an address.
    fn sender(&self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = address.ip() else { return None };
        u32::from(ip).checked_sub(self.first_sender).map(|n| n as usize)
    }

    fn path(&self, from: usize, to: usize) -> PathState {
        self.paths.borrow().get(&(from, to)).copied().unwrap_or_default()
    }

    async fn accept(self: Rc<Self>, to: usize, target: SocketAddr, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((client, from)) => {
                    let Some(from) = self.sender(from) else { continue };
                    spawn_local(self.clone().forward_connection(from, to, target, client));
                }
                Err(_) => sleep(POLL_INTERVAL).await,
            }
        }
    }

    async fn forward_connection(
        self: Rc<Self>,
        from: usize,
        to: usize,
        target: SocketAddr,
        client: TcpStream,
    ) {
        // The handshake needs both directions.
        while self.path(from, to).cuts + self.path(to, from).cuts > 0 {
            if matches!(timeout(POLL_INTERVAL, client.peek(&mut [0; 1])).await, Ok(Ok(0) | Err(_))) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        let Ok(server) = TcpStream::connect(target).await else { return };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let ((client_in, client_out), (server_in, server_out)) = (client.into_split(), server.into_split());
        // Both directions close together; half-open connections are not supported.
        tokio::select! {
            () = self.forward(from, to, client_in, server_out) => {}
            () = self.forward(to, from, server_in, client_out) => {}
        }
    }

    /// Forwards one direction of a connection until it closes.
    async fn forward(
        &self,
        from: usize,
        to: usize,
        mut source: impl AsyncRead + Unpin,
        mut sink: impl AsyncWrite + Unpin,
    ) {
        let (chunks, mut arriving) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_CHUNKS);
        let read = async move {
            let mut buffer = vec![0; CHUNK];
            while let Ok(length @ 1..) = source.read(&mut buffer).await {
                let due = Instant::now() + self.path(from, to).delay;
                if chunks.send((due, buffer[..length].to_vec())).await.is_err() {
                    break;
                }
            }
        };
        let write = async move {
            while let Some((due, bytes)) = arriving.recv().await {
                sleep_until(due).await;
                while self.path(from, to).cuts > 0 {
                    sleep(POLL_INTERVAL).await;
                }
                if sink.write_all(&bytes).await.is_err() {
                    break;
                }
            }
        };
        tokio::join!(read, write);
    }

    async fn forward_datagrams(self: Rc<Self>, to: usize, target: SocketAddr, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
            let Some(from) = self.sender(from) else { continue };
            let path = self.path(from, to);
            let (lost, jitter_share) = {
                let mut random = self.random.borrow_mut();
                (random.random::<f64>() < path.lose, random.random::<f64>())
            };
            if path.cuts > 0 || lost {
                continue;
            }
            let (bytes, socket) = (buffer[..length].to_vec(), socket.clone());
            let delay = path.delay + path.jitter.mul_f64(jitter_share);
            spawn_local(async move {
                sleep(delay).await;
                let _ = socket.send_to(&bytes, target).await;
            });
        }
    }

    /// Changes the faults of the path from one relay to another.
    pub fn change(&self, from: usize, to: usize, change: impl FnOnce(&mut PathState)) {
        let mut paths = self.paths.borrow_mut();
        let path = paths.entry((from, to)).or_default();
        change(path);
        if *path == PathState::default() {
            paths.remove(&(from, to));
        }
    }
}

#[cfg(test)]
mod tests;
