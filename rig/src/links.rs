//! Links that can go wrong: forwarders of connections in user space, one for each link of each relay.
//!
//! Owns how a link is just now and the connections on it; knows no schedule and no relay. What was cut holds the bytes and delivers
//! them once it has healed, as a network's retransmissions do. A connection that is begun on a cut link comes up here (the
//! forwarder's own side accepts it) and then stays silent: user space cannot leave a connection request unanswered.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf, split};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep_until};

/// Bytes that are taken off a connection at once, and how many such parts wait on a link: bounds what a cut one holds.
const PART: usize = 16 * 1024;
const PARTS: usize = 64;

/// How one direction of a link is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    pub cut: bool,
    pub delay: Duration,
    pub jitter: Duration,
    /// 0 is any number.
    pub bytes_per_s: u64,
}

/// How a link is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct State {
    /// From who connects to who is connected to, and back.
    pub to: Way,
    pub from: Way,
    /// Connections are refused, and those open break.
    pub refused: bool,
    /// Grows with each time all open connections break.
    pub resets: u64,
    /// Grows with each time the far side of all open connections vanishes.
    pub stuck: u64,
    /// Connections break after so many bytes from the far side; 0 is never.
    pub tear: u64,
}

/// Where a link's connections go.
#[derive(Clone, Copy, Debug)]
pub enum Far {
    At(SocketAddr),
    /// To the address that was called, at this port.
    Same(u16),
}

/// One link.
pub struct Link {
    pub address: SocketAddr,
    far: Far,
    state: watch::Sender<State>,
    listening: RefCell<Option<JoinHandle<()>>>,
    seed: u64,
}

impl Link {
    /// A link to one address.
    pub fn to(far: SocketAddr, seed: u64) -> io::Result<Rc<Link>> {
        Link::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), Far::At(far), seed)
    }

    /// A link to all addresses of the loopback device at one port.
    pub fn wide(port: u16, seed: u64) -> io::Result<Rc<Link>> {
        Link::start(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)), Far::Same(port), seed)
    }

    fn start(at: SocketAddr, far: Far, seed: u64) -> io::Result<Rc<Link>> {
        let listener = listener(at)?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(State::default());
        let link = Rc::new(Link { address, far, state, listening: RefCell::default(), seed });
        link.listening.replace(Some(spawn_local(link.clone().accept(listener))));
        Ok(link)
    }

    pub fn state(&self) -> State {
        *self.state.borrow()
    }

    /// Changes how it is.
    pub fn change(self: &Rc<Self>, change: impl FnOnce(&mut State)) {
        self.state.send_modify(change);
        let refused = self.state().refused;
        let mut listening = self.listening.borrow_mut();
        if refused {
            listening.take().iter().for_each(JoinHandle::abort);
        } else if listening.is_none() {
            *listening = Some(spawn_local(self.clone().listen_again()));
        }
    }

    async fn listen_again(self: Rc<Self>) {
        loop {
            if let Ok(listener) = listener(self.address) {
                return self.accept(listener).await;
            }
            // The listener before is on its way out.
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut seed = self.seed;
        loop {
            match listener.accept().await {
                Ok((near, _)) => {
                    seed = seed.wrapping_add(1);
                    spawn_local(self.clone().carry(near, seed));
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    /// Carries one connection to its end.
    async fn carry(self: Rc<Self>, near: TcpStream, seed: u64) {
        let far = match self.far {
            Far::At(address) => address,
            Far::Same(port) => match near.local_addr().map(|a| a.ip()) {
                Ok(IpAddr::V4(ip)) => SocketAddr::from((ip, port)),
                _ => return,
            },
        };
        let mut state = self.state.subscribe();
        let begun = *state.borrow_and_update();
        // A call that is not let through must not reach the far side either.
        let open = state.wait_for(|s| !s.to.cut || broken(&begun, s)).await.is_ok();
        if !open || broken(&begun, &state.borrow()) {
            return reset(&near);
        }
        let Ok(far) = TcpStream::connect(far).await else { return reset(&near) };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        // Held beside the halves, which say nothing when they are dropped: whether it ends in good order is told here.
        let near_held = SockRef::from(&near).try_clone().ok();
        let mut far_held = SockRef::from(&far).try_clone().ok();
        let (near_in, near_out) = split(near);
        let (far_in, far_out) = split(far);
        let to = pump(near_in, far_out, self.state.subscribe(), |s| s.to, None, seed);
        let from =
            pump(far_in, near_out, self.state.subscribe(), |s| s.from, Some(|s: &State| s.tear), seed ^ 1);
        // One side that breaks takes the other along; one that ends in good order leaves it open.
        let both = async { tokio::try_join!(to, from).is_ok() };
        let mut state = self.state.subscribe();
        let changed =
            async { state.wait_for(|s| broken(&begun, s) || s.stuck != begun.stuck).await.map(|s| *s) };
        let done = tokio::select! {
            whole = both => whole,
            now = changed => {
                let vanished = now.is_ok_and(|now| !broken(&begun, &now));
                if let (true, Some(near), Some(far)) = (vanished, &near_held, far_held.take()) {
                    // The far side is gone and nobody says so: the near one stays open until its own side gives it up.
                    let _ = far.set_linger(Some(Duration::ZERO));
                    drop(far);
                    let mut state = self.state.subscribe();
                    tokio::select! {
                        () = ended(near) => {}
                        _ = state.wait_for(|s| broken(&begun, s)) => {}
                    }
                }
                false
            }
        };
        if !done {
            for side in [near_held, far_held].into_iter().flatten() {
                let _ = side.set_linger(Some(Duration::ZERO));
            }
        }
    }
}

/// Whether connections that began under one state have been broken by another.
fn broken(begun: &State, now: &State) -> bool {
    now.refused || now.resets != begun.resets
}

/// Done once the other side has ended a connection; what it sends until then is lost.
async fn ended(stream: &Socket) {
    let mut lost = [std::mem::MaybeUninit::uninit(); 1024];
    loop {
        match stream.recv(&mut lost) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            Err(_) => return,
        }
    }
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// A connection broke.
struct Broke;

/// Carries bytes one way, each part no sooner than its time, until that side ends.
async fn pump(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    mut state: watch::Receiver<State>,
    way: fn(&State) -> Way,
    tear: Option<fn(&State) -> u64>,
    seed: u64,
) -> Result<(), Broke> {
    let (send, mut parts) = mpsc::channel::<(Instant, Vec<u8>)>(PARTS);
    let told = state.clone();
    let reading = async move {
        let mut random = StdRng::seed_from_u64(seed);
        let mut due = Instant::now();
        loop {
            let mut part = Vec::with_capacity(PART);
            match from.read_buf(&mut part).await {
                Ok(0) => return Ok(()),
                Err(_) => return Err(Broke),
                Ok(_) => {}
            }
            let way = way(&told.borrow());
            let lot = way.jitter.mul_f64(random.random::<f64>());
            // Bytes keep their order, and a narrow link takes its time for each part.
            let passing =
                part.len() as f64 / if way.bytes_per_s == 0 { f64::INFINITY } else { way.bytes_per_s as f64 };
            due = (Instant::now() + way.delay + lot).max(due + Duration::from_secs_f64(passing));
            if send.send((due, part)).await.is_err() {
                return Err(Broke);
            }
        }
    };
    let writing = async move {
        let mut passed = 0;
        while let Some((due, part)) = parts.recv().await {
            sleep_until(due).await;
            if state.wait_for(|s| !way(s).cut).await.is_err() {
                return Err(Broke);
            }
            let tear = tear.map_or(0, |tear| tear(&state.borrow()));
            let left = if tear == 0 { u64::MAX } else { tear.saturating_sub(passed) };
            let part = &part[..part.len().min(usize::try_from(left).unwrap_or(usize::MAX))];
            if to.write_all(part).await.is_err() {
                return Err(Broke);
            }
            passed += part.len() as u64;
            if tear > 0 && passed >= tear {
                return Err(Broke);
            }
        }
        to.shutdown().await.map_err(|_| Broke)
    };
    let (mut reading, mut writing) = (Box::pin(reading), Box::pin(writing));
    tokio::select! {
        whole = &mut reading => {
            // What is on its way still arrives.
            drop(reading);
            writing.await.and(whole)
        }
        whole = &mut writing => whole,
    }
}

/// A listener on the loopback device, on a port that may have been used just before.
fn listener(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    if at.ip().is_unspecified() {
        socket.bind_device(Some(b"lo"))?;
    }
    socket.bind(&at.into())?;
    socket.set_nonblocking(true)?;
    socket.listen(1024)?;
    TcpListener::from_std(socket.into())
}

#[cfg(test)]
mod tests;
