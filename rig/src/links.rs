//! Links with injectable faults: user-space TCP forwarders, one for each faulty link of each relay.
//!
//! This module owns the state of a link and its connections and depends on neither schedule nor relay. A cut link holds bytes back
//! and delivers them once the cut ends, as with TCP retransmissions. A connection opened on a cut link is established with the
//! forwarder and then stays silent, since a user-space process cannot leave a SYN unanswered.
use onyxglade_lab::reserved_address::ReservedAddress;
use rand::SeedableRng;
use rand::rngs::StdRng;
use socket2::{SockRef, Socket};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf, split};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep_until};

mod deliveries;

use deliveries::{Deliveries, Delivery};

/// Maximum number of bytes read from a connection at once.
const CHUNK: usize = 16 * 1024;
/// Maximum number of chunks queued on a link; bounds the memory of a cut one.
const MAX_CHUNKS: usize = 64;

/// Faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Direction {
    pub cut: bool,
    pub delay: Duration,
    pub jitter: Duration,
    /// Maximum throughput; 0 is unlimited.
    pub bytes_per_s: u64,
    /// Share of the chunks that are lost without a trace.
    pub lose: f64,
    pub repeat: Repeat,
}

/// Chunks that are delivered once more, as a faulty middlebox does. A chunk is what the far side wrote at once: mostly one message.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Repeat {
    /// One chunk in this many is repeated, at random; 0 is none.
    pub one_in: u32,
    /// How long after the chunk its copy is delivered: this long, and up to `jitter` longer.
    pub delay: Duration,
    pub jitter: Duration,
    /// Copies end at a random byte.
    pub torn: bool,
}

/// Faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// From the connecting side to the target.
    pub to: Direction,
    /// From the target back.
    pub from: Direction,
    /// New connections are refused, and open ones are reset.
    pub refused: bool,
    /// Incremented to reset all open connections.
    pub resets: u64,
    /// Incremented to make the target side of all open connections vanish without a FIN or RST.
    pub stuck: u64,
    /// Connections are reset after this many bytes from the target; 0 is never.
    pub tear: u64,
}

/// Where a link forwards its connections to.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    Fixed(SocketAddr),
    /// The address that the client connected to, at this port.
    SameAddress(u16),
}

/// One link, listening at `address`.
pub struct Link {
    pub address: SocketAddr,
    reserved: ReservedAddress,
    target: Target,
    state: watch::Sender<LinkState>,
    accept_task: RefCell<Option<JoinHandle<()>>>,
    seed: u64,
}

impl Link {
    /// A link to one address.
    pub fn to(target: SocketAddr, seed: u64) -> io::Result<Rc<Link>> {
        Link::start(Ipv4Addr::LOCALHOST, Target::Fixed(target), seed)
    }

    /// A link to any address of the loopback device, at one port.
    pub fn to_any_address(port: u16, seed: u64) -> io::Result<Rc<Link>> {
        Link::start(Ipv4Addr::UNSPECIFIED, Target::SameAddress(port), seed)
    }

    fn start(ip: Ipv4Addr, target: Target, seed: u64) -> io::Result<Rc<Link>> {
        let reserved = ReservedAddress::new(ip)?;
        let (address, listener) = (reserved.address(), reserved.listen()?);
        let state = watch::Sender::new(LinkState::default());
        let link = Rc::new(Link { address, reserved, target, state, accept_task: RefCell::default(), seed });
        link.accept_task.replace(Some(spawn_local(link.clone().accept(listener))));
        Ok(link)
    }

    pub fn state(&self) -> LinkState {
        *self.state.borrow()
    }

    /// Changes its faults.
    pub fn change(self: &Rc<Self>, change: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(change);
        let refused = self.state().refused;
        let mut accept_task = self.accept_task.borrow_mut();
        if refused {
            accept_task.take().iter().for_each(JoinHandle::abort);
        } else if accept_task.is_none() {
            *accept_task = Some(spawn_local(self.clone().rebind()));
        }
    }

    async fn rebind(self: Rc<Self>) {
        loop {
            if let Ok(listener) = self.reserved.listen() {
                return self.accept(listener).await;
            }
            // The aborted task's listener may still be open.
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut seed = self.seed;
        loop {
            match listener.accept().await {
                Ok((client, _)) => {
                    seed = seed.wrapping_add(1);
                    spawn_local(self.clone().forward(client, seed));
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    /// Forwards one connection until it closes.
    async fn forward(self: Rc<Self>, client: TcpStream, seed: u64) {
        let target = match self.target {
            Target::Fixed(address) => address,
            Target::SameAddress(port) => match client.local_addr().map(|a| a.ip()) {
                Ok(IpAddr::V4(ip)) => SocketAddr::from((ip, port)),
                _ => return,
            },
        };
        let mut state = self.state.subscribe();
        let initial = *state.borrow_and_update();
        // A connection opened during a cut must not reach the target before the cut ends.
        let open = state.wait_for(|s| !s.to.cut || is_broken(&initial, s)).await.is_ok();
        if !open || is_broken(&initial, &state.borrow()) {
            return reset_on_close(&client);
        }
        let Ok(target) = TcpStream::connect(target).await else { return reset_on_close(&client) };
        let _ = (client.set_nodelay(true), target.set_nodelay(true));
        // Dropping the halves closes with a FIN; these handles allow a reset instead, by setting SO_LINGER to 0.
        let client_socket = SockRef::from(&client).try_clone().ok();
        let mut target_socket = SockRef::from(&target).try_clone().ok();
        let (client_in, client_out) = split(client);
        let (target_in, target_out) = split(target);
        let to = pump(client_in, target_out, self.state.subscribe(), |s| s.to, None, seed);
        let from = pump(
            target_in,
            client_out,
            self.state.subscribe(),
            |s| s.from,
            Some(|s: &LinkState| s.tear),
            seed ^ 1,
        );
        // An error in one direction ends both; a clean end of one leaves the other open.
        let both_directions = async { tokio::try_join!(to, from).is_ok() };
        let mut state = self.state.subscribe();
        let changed = async {
            state.wait_for(|s| is_broken(&initial, s) || s.stuck != initial.stuck).await.map(|s| *s)
        };
        let done = tokio::select! {
            result = both_directions => result,
            changed_to = changed => {
                let vanished = changed_to.is_ok_and(|changed_to| !is_broken(&initial, &changed_to));
                if let (true, Some(client), Some(target)) = (vanished, &client_socket, target_socket.take()) {
                    // The target vanishes silently: the client's connection stays open until the client closes it.
                    let _ = target.set_linger(Some(Duration::ZERO));
                    drop(target);
                    let mut state = self.state.subscribe();
                    tokio::select! {
                        () = wait_for_close(client) => {}
                        _ = state.wait_for(|s| is_broken(&initial, s)) => {}
                    }
                }
                false
            }
        };
        if !done {
            for side in [client_socket, target_socket].into_iter().flatten() {
                let _ = side.set_linger(Some(Duration::ZERO));
            }
        }
    }
}

/// Whether connections opened under `initial` are reset under `now`.
fn is_broken(initial: &LinkState, now: &LinkState) -> bool {
    now.refused || now.resets != initial.resets
}

/// Waits until the peer closes a connection; bytes that it sends until then are discarded.
async fn wait_for_close(stream: &Socket) {
    let mut discarded = [std::mem::MaybeUninit::uninit(); 1024];
    loop {
        match stream.recv(&mut discarded) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            Err(_) => return,
        }
    }
}

fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// A connection failed or is to be reset.
struct ConnectionBroken;

/// Forwards one direction, delivering each chunk no sooner than its due time, until the source closes.
async fn pump(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    mut state: watch::Receiver<LinkState>,
    direction: fn(&LinkState) -> Direction,
    tear: Option<fn(&LinkState) -> u64>,
    seed: u64,
) -> Result<(), ConnectionBroken> {
    let (send, mut read) = mpsc::channel::<Delivery>(MAX_CHUNKS);
    let reader_state = state.clone();
    let reading = async move {
        let mut deliveries = Deliveries::new(StdRng::seed_from_u64(seed));
        loop {
            let mut chunk = Vec::with_capacity(CHUNK);
            match from.read_buf(&mut chunk).await {
                Ok(0) => return Ok(()),
                Err(_) => return Err(ConnectionBroken),
                Ok(_) => {}
            }
            let direction = direction(&reader_state.borrow());
            for delivery in deliveries.of(chunk, &direction) {
                if send.send(delivery).await.is_err() {
                    return Err(ConnectionBroken);
                }
            }
        }
    };
    let writing = async move {
        let mut forwarded = 0;
        let mut due = BinaryHeap::new();
        let mut open = true;
        while open || !due.is_empty() {
            let next = due.peek().map(|Reverse(delivery): &Reverse<Delivery>| delivery.at);
            // Copies do not delay the source's close: they are delivered with it, behind the last chunk.
            let only_copies = due.iter().all(|Reverse(delivery)| delivery.is_copy);
            let wait = next.filter(|_| open || !only_copies);
            tokio::select! {
                biased;
                delivery = read.recv(), if open && due.len() < MAX_CHUNKS => {
                    open = delivery.is_some();
                    due.extend(delivery.map(Reverse));
                    continue;
                }
                () = sleep_until(wait.unwrap_or_else(Instant::now)), if next.is_some() => {}
            }
            let Some(Reverse(Delivery { bytes: chunk, .. })) = due.pop() else { continue };
            if state.wait_for(|s| !direction(s).cut).await.is_err() {
                return Err(ConnectionBroken);
            }
            let tear = tear.map_or(0, |tear| tear(&state.borrow()));
            let left = if tear == 0 { u64::MAX } else { tear.saturating_sub(forwarded) };
            let chunk = &chunk[..chunk.len().min(usize::try_from(left).unwrap_or(usize::MAX))];
            if to.write_all(chunk).await.is_err() {
                return Err(ConnectionBroken);
            }
            forwarded += chunk.len() as u64;
            if tear > 0 && forwarded >= tear {
                return Err(ConnectionBroken);
            }
        }
        to.shutdown().await.map_err(|_| ConnectionBroken)
    };
    let (mut reading, mut writing) = (Box::pin(reading), Box::pin(writing));
    tokio::select! {
        result = &mut reading => {
            // Chunks already queued are still delivered.
            drop(reading);
            writing.await.and(result)
        }
        result = &mut writing => result,
    }
}

#[cfg(test)]
mod tests;
