//! Simulated peers of a relay process: endpoints that answer immediately or never, and the list service.
//!
//! They run on a thread of their own so that they do not share a core with the clients, and stop when dropped.
use serde_json::json;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};

use super::CapacityError;
use crate::emulator::{ReceivedRequest, RequestReader, listen_on_loopback};
use crate::{message_number, world};

/// Zone names.
pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// All zones as a mask for [`SimulatedPeers::silence`].
pub const ALL_ZONES: u32 = 0b1111;
/// Interval at which a hanging connection checks whether its zone answers again.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time after which a watch request is answered.
const LONGEST_WATCH: Duration = Duration::from_secs(60);

/// Messages and notices received by the simulated peers.
#[derive(Debug, Default)]
pub struct Observations {
    /// Time at which each message was first delivered.
    pub served: HashMap<u64, Instant>,
    /// Number of repeated deliveries.
    pub served_again: u64,
    /// Time at which the first notice of each message's end was received.
    pub noticed: HashMap<u64, Instant>,
}

impl Observations {
    fn record_delivery(&mut self, message: u64) {
        match self.served.entry(message) {
            Entry::Vacant(entry) => drop(entry.insert(Instant::now())),
            Entry::Occupied(_) => self.served_again += 1,
        }
    }
}

#[derive(Default)]
struct Shared {
    /// Mask of the zones whose endpoints never answer.
    silent: AtomicU32,
    /// Rate limit of all endpoints together, in messages per second; 0 for no limit.
    rate: AtomicU32,
    /// Earliest time at which the rate limit admits the next message.
    next_due: Mutex<Option<Instant>>,
    observations: Mutex<Observations>,
}

impl Shared {
    fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Delays a message as the endpoints' rate limit requires.
    async fn wait_for_rate_limit(&self) {
        let rate = self.rate.load(Ordering::Relaxed);
        if rate == 0 {
            return;
        }
        let now = Instant::now();
        let due = {
            let mut next = self.next_due.lock().unwrap_or_else(PoisonError::into_inner);
            let due = next.unwrap_or(now).max(now);
            *next = Some(due + Duration::from_secs(1) / rate);
            due
        };
        tokio::time::sleep_until(due.into()).await;
    }
}

/// The simulated peers, which run until this is dropped.
pub struct SimulatedPeers {
    /// Address of the list service.
    pub list_service: SocketAddr,
    shared: Arc<Shared>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl SimulatedPeers {
    /// Starts the list service, with `destinations` destinations that have an endpoint in each zone, and the endpoints.
    pub fn start(destinations: u32) -> Result<SimulatedPeers, CapacityError> {
        let error = |e: io::Error| CapacityError::Measurement { subject: "stand-ins", reason: e.to_string() };
        let shared = Arc::<Shared>::default();
        let (stop, stopped) = oneshot::channel();
        let (address_sender, address_receiver) = mpsc::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(error)?;
        let for_thread = shared.clone();
        let thread = std::thread::spawn(move || {
            LocalSet::new().block_on(&runtime, async {
                let _ = address_sender.send(listen(for_thread, destinations).await);
                let _ = stopped.await;
            });
        });
        let address = address_receiver.recv().map_err(|e| error(io::Error::other(e)))?;
        Ok(SimulatedPeers {
            list_service: address.map_err(error)?,
            shared,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// From now on, the endpoints in the zones of this mask never answer, and all others do.
    pub fn silence(&self, zones: u32) {
        self.shared.silent.store(zones, Ordering::Relaxed);
    }

    /// Limits the rate of all endpoints together to `rate` messages per second; 0 for no limit.
    pub fn limit_rate(&self, rate: u32) {
        self.shared.rate.store(rate, Ordering::Relaxed);
    }

    /// Observations so far.
    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        self.shared.observations()
    }
}

impl Drop for SimulatedPeers {
    fn drop(&mut self) {
        drop(self.stop.take());
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

async fn listen(shared: Arc<Shared>, destinations: u32) -> io::Result<SocketAddr> {
    let endpoints = listen_on_loopback()?;
    let list = Arc::new(list(destinations, endpoints.local_addr()?.port()));
    let service = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = service.local_addr()?;
    let for_service = shared.clone();
    spawn_local(accept(endpoints, move |stream| serve_endpoint(stream, shared.clone())));
    spawn_local(accept(service, move |stream| serve_list(stream, for_service.clone(), list.clone())));
    Ok(address)
}

async fn accept<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> F + 'static,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                spawn_local(serve(stream));
            }
            // Accepting failed, for example for lack of file descriptors: retry when some may have been freed.
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

/// The list service's response with the whole list. The endpoint with index `p` is in zone `p % 4`.
fn list(destinations: u32, port: u16) -> Vec<u8> {
    let zones = ZONES.len() as u32;
    let instance = |place: u32| {
        json!({
            "instanceId": format!("n{place}"), "hostPort": world::address(place, 0, port).to_string(),
            "zone": ZONES[(place % zones) as usize], "machineType": "m", "cell": place / zones,
            "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0
        })
    };
    let instances: Vec<_> = (0..destinations * zones).map(instance).collect();
    json!({"generation": 1, "reset": true, "instances": instances}).to_string().into_bytes()
}

async fn serve_endpoint(stream: TcpStream, shared: Arc<Shared>) {
    let Ok(IpAddr::V4(ip)) = stream.local_addr().map(|address| address.ip()) else { return };
    let Some(place) = world::endpoint_at(ip) else { return };
    let zone = 1 << (place % ZONES.len() as u32);
    let mut reader = RequestReader::new(stream);
    while let Ok(Some(request)) = reader.next().await {
        if shared.silent.load(Ordering::Relaxed) & zone != 0 {
            return hang(&mut reader, &shared, zone).await;
        }
        shared.wait_for_rate_limit().await;
        if let Some(message) = request.header("x-request-id").and_then(message_number) {
            shared.observations().record_delivery(message);
        }
        if reader.answer(200, &[], b"ok").await.is_err() {
            return;
        }
    }
}

/// Leaves a request unanswered until the client closes the connection or the zone answers again. In the latter case the
/// endpoint closes the connection.
async fn hang(reader: &mut RequestReader, shared: &Shared, zone: u32) {
    let answers_again = async {
        while shared.silent.load(Ordering::Relaxed) & zone != 0 {
            tokio::time::sleep(HANG_POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = reader.closed() => {}
        () = answers_again => {}
    }
}

async fn serve_list(stream: TcpStream, shared: Arc<Shared>, list: Arc<Vec<u8>>) {
    let mut reader = RequestReader::new(stream);
    while let Ok(Some(request)) = reader.next().await {
        let answered = match query(&request) {
            Query::Notices => {
                let parsed = record_notices(&request.body, &mut shared.observations());
                reader.answer(if parsed { 204 } else { 400 }, &[], b"").await
            }
            Query::Whole => reader.answer(200, &[], &list).await,
            Query::Watch(wait) => {
                tokio::time::sleep(wait).await;
                reader.answer(200, &[], br#"{"generation":1,"reset":false,"instances":[]}"#).await
            }
        };
        if answered.is_err() {
            return;
        }
    }
}

/// A request to the list service.
enum Query {
    /// Delivery of notices about ended messages.
    Notices,
    /// Request for the whole list.
    Whole,
    /// Long poll for changes within a time. The list of the simulated service never changes.
    Watch(Duration),
}

fn query(request: &ReceivedRequest) -> Query {
    if request.method == "POST" {
        return Query::Notices;
    }
    let pairs = request.path.split_once('?').map_or("", |(_, pairs)| pairs);
    let wait = pairs.split('&').find_map(|pair| pair.strip_prefix("wait=")?.parse().ok());
    match pairs.contains("index=") {
        true => Query::Watch(wait.map_or(Duration::ZERO, Duration::from_millis).min(LONGEST_WATCH)),
        false => Query::Whole,
    }
}

/// Records notices, one JSON object per line. Returns false if one cannot be parsed.
fn record_notices(body: &[u8], observations: &mut Observations) -> bool {
    let now = Instant::now();
    let text = String::from_utf8_lossy(body);
    text.lines().filter(|line| !line.trim().is_empty()).all(|line| {
        let notice = serde_json::from_str::<serde_json::Value>(line).ok();
        let message = notice.and_then(|notice| message_number(notice["id"].as_str()?));
        message.map(|message| *observations.noticed.entry(message).or_insert(now)).is_some()
    })
}
