//! Ways between relays, for datagrams and links: each relay is reached through sockets of the rig's, which know who sends by the address that
//! it sends from, and what is wrong on the way between those two just now. What is said on a link over a cut way arrives once the
//! cut is over, as with a network's retransmissions; what is slow for datagrams is as slow for links, without overtaking.
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

/// Addresses at which relays are reached, in their order.
const FIRST: u32 = 0x7f30_0001;
const LARGEST: usize = 65_536;
/// Bytes that are taken off a link at once, and how many such parts wait on a way: bounds what a cut one holds.
const PART: usize = 16 * 1024;
const PARTS: usize = 64;
/// How often it is looked whether a cut is over.
const LOOK: Duration = Duration::from_millis(50);

/// How the way from one relay to another is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Partitions that part them.
    pub cuts: u32,
    /// Share of datagrams that are lost.
    pub lose: f64,
    /// Delay, and what a lot adds to it: datagrams overtake each other by that.
    pub delay: Duration,
    pub jitter: Duration,
}

/// All ways between relays.
pub struct Datagrams {
    /// Those that differ from a sound one.
    ways: RefCell<HashMap<(usize, usize), Way>>,
    random: RefCell<StdRng>,
    /// The addresses that relays send from.
    first: u32,
}

impl Datagrams {
    /// Ways between relays that send from addresses in their order.
    pub fn new(first: u32, seed: u64) -> Rc<Self> {
        let random = RefCell::new(StdRng::seed_from_u64(seed));
        Rc::new(Datagrams { ways: RefCell::default(), random, first })
    }

    /// A way in to a relay; gives its address.
    pub async fn lead_to(self: &Rc<Self>, relay: usize, at: SocketAddr) -> io::Result<SocketAddr> {
        let socket = Rc::new(UdpSocket::bind((Ipv4Addr::from(FIRST + relay as u32), 0)).await?);
        let address = socket.local_addr()?;
        let listener = TcpListener::bind(address).await?;
        spawn_local(self.clone().carry(relay, at, socket));
        spawn_local(self.clone().accept(relay, at, listener));
        Ok(address)
    }

    /// Which relay has an address, by what it sends from.
    fn sender(&self, address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = address.ip() else { return None };
        u32::from(ip).checked_sub(self.first).map(|n| n as usize)
    }

    fn way(&self, from: usize, to: usize) -> Way {
        self.ways.borrow().get(&(from, to)).copied().unwrap_or_default()
    }

    async fn accept(self: Rc<Self>, to: usize, at: SocketAddr, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((near, from)) => {
                    let Some(from) = self.sender(from) else { continue };
                    spawn_local(self.clone().link(from, to, at, near));
                }
                Err(_) => sleep(LOOK).await,
            }
        }
    }

    async fn link(self: Rc<Self>, from: usize, to: usize, at: SocketAddr, near: TcpStream) {
        // An answer needs the way back too.
        while self.way(from, to).cuts + self.way(to, from).cuts > 0 {
            if matches!(timeout(LOOK, near.peek(&mut [0; 1])).await, Ok(Ok(0) | Err(_))) {
                return;
            }
            sleep(LOOK).await;
        }
        let Ok(far) = TcpStream::connect(at).await else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        // One side's end is the other's: a link has no half.
        tokio::select! {
            () = self.pass(from, to, near_in, far_out) => {}
            () = self.pass(to, from, far_in, near_out) => {}
        }
    }

    /// Passes one direction of a link on, to its end.
    async fn pass(
        &self,
        from: usize,
        to: usize,
        mut out: impl AsyncRead + Unpin,
        mut into: impl AsyncWrite + Unpin,
    ) {
        let (parts, mut arriving) = mpsc::channel::<(Instant, Vec<u8>)>(PARTS);
        let take = async move {
            let mut buffer = vec![0; PART];
            while let Ok(length @ 1..) = out.read(&mut buffer).await {
                let due = Instant::now() + self.way(from, to).delay;
                if parts.send((due, buffer[..length].to_vec())).await.is_err() {
                    break;
                }
            }
        };
        let give = async move {
            while let Some((due, bytes)) = arriving.recv().await {
                sleep_until(due).await;
                while self.way(from, to).cuts > 0 {
                    sleep(LOOK).await;
                }
                if into.write_all(&bytes).await.is_err() {
                    break;
                }
            }
        };
        tokio::join!(take, give);
    }

    async fn carry(self: Rc<Self>, to: usize, at: SocketAddr, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; LARGEST];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
            let Some(from) = self.sender(from) else { continue };
            let way = self.way(from, to);
            let (lost, lot) = {
                let mut random = self.random.borrow_mut();
                (random.random::<f64>() < way.lose, random.random::<f64>())
            };
            if way.cuts > 0 || lost {
                continue;
            }
            let (bytes, socket) = (buffer[..length].to_vec(), socket.clone());
            let delay = way.delay + way.jitter.mul_f64(lot);
            spawn_local(async move {
                sleep(delay).await;
                let _ = socket.send_to(&bytes, at).await;
            });
        }
    }

    /// Changes the way from one relay to another.
    pub fn change(&self, from: usize, to: usize, change: impl FnOnce(&mut Way)) {
        let mut ways = self.ways.borrow_mut();
        let way = ways.entry((from, to)).or_default();
        change(way);
        if *way == Way::default() {
            ways.remove(&(from, to));
        }
    }
}

#[cfg(test)]
mod tests;
