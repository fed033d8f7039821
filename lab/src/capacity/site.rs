//! A real relay with its surroundings on loopback, at a size: the list service, the partners, and a probe that asks it
//! for its readiness at fixed times from a thread of its own.
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;
use tokio::time::sleep;

use super::{CapacityError, cpu_time};
use crate::discovery::Discovery;
use crate::emulator::Emulator;
use crate::experiment::{Event, Experiment, RelayTable};
use crate::model::Trouble;
use crate::relay::{self, Around, Relay};
use crate::world::World;

/// Time between two questions of the probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(2);
/// The probe waits so long for an answer.
const PROBE_PATIENCE: Duration = Duration::from_secs(10);
/// A relay is at rest when it uses no more than a tick of processor time in so long, twice in a row.
const REST_LOOK: Duration = Duration::from_millis(100);
const TICK: Duration = Duration::from_millis(10);
/// It is waited for no longer than this.
const REST_LOOKS: usize = 300;
/// An outage that outlasts every play.
const DAY_S: f64 = 86_400.0;

/// A relay and what stands round it.
pub struct Site {
    /// Partners and what came of calls.
    pub world: Rc<RefCell<World>>,
    /// The list service.
    pub discovery: Rc<Discovery>,
    /// The relay under test.
    pub relay: Relay,
    /// The relay's files.
    pub folder: tempfile::TempDir,
    /// When the world's clock began.
    pub began: Instant,
    subject: &'static str,
}

/// Runs a measurement that needs real processes.
pub fn run<T>(
    subject: &'static str,
    measurement: impl Future<Output = Result<T, CapacityError>>,
) -> Result<T, CapacityError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime =
        runtime.map_err(|e| CapacityError::Measurement { subject, reason: format!("no runtime: {e}") })?;
    LocalSet::new().block_on(&runtime, measurement)
}

/// What is wrong for one of the plays that stand here: only the relays' tables and the numbers differ.
fn experiment(destinations: usize, relay: RelayTable) -> Result<Experiment, String> {
    let text = format!(
        "name = 'capacity'\nseconds = 1.0\n[[partners]]\ncount = {destinations}\n\
         nature = {{ rate = 1000.0, latency_ms = 2.0 }}\n[load]\nbusy = 1\n"
    );
    Ok(Experiment { relay, ..Experiment::parse(&text)? })
}

impl Site {
    /// Starts a relay to which so many destinations are listed, and waits until it is at rest.
    pub async fn start(
        subject: &'static str,
        destinations: usize,
        table: RelayTable,
        seed: u64,
    ) -> Result<Site, CapacityError> {
        let fault = |reason: String| CapacityError::Measurement { subject, reason };
        let listener = |e: std::io::Error| fault(format!("a stand-in's listener: {e}"));
        let experiment = experiment(destinations, table).map_err(fault)?;
        let world = Rc::new(RefCell::new(World::new(&experiment, destinations, seed)));
        let began = Instant::now();
        let emulator = Emulator::start(world.clone(), began, false).map_err(listener)?;
        let costs = experiment.list.service.clone();
        let discovery = Discovery::start(world.clone(), emulator.clone(), began, Vec::new(), costs);
        let discovery = discovery.await.map_err(listener)?;
        let folder = tempfile::tempdir().map_err(|e| fault(format!("a folder: {e}")))?;
        let around = Around { told: discovery.address, port: emulator.port, dests: destinations };
        let program = relay::program().map_err(fault)?;
        let relay =
            Relay::start(&program, folder.path(), &experiment, 0, around, seed).await.map_err(fault)?;
        let site = Site { world, discovery, relay, folder, began, subject };
        site.rest().await?;
        Ok(site)
    }

    /// A fault of this measurement.
    pub fn fault(&self, reason: String) -> CapacityError {
        CapacityError::Measurement { subject: self.subject, reason }
    }

    /// Waits until the relay has nothing to do.
    pub async fn rest(&self) -> Result<(), CapacityError> {
        let mut last = cpu_time::of_process(self.relay.id)?;
        let mut quiet = 0;
        for _ in 0..REST_LOOKS {
            sleep(REST_LOOK).await;
            let now = cpu_time::of_process(self.relay.id)?;
            quiet = if now.saturating_sub(last) <= TICK { quiet + 1 } else { 0 };
            if quiet == 2 {
                return Ok(());
            }
            last = now;
        }
        Err(self.fault("the relay does not come to rest".into()))
    }

    /// Resident memory in bytes.
    pub fn resident(&self) -> f64 {
        self.relay.usage().resident_kb as f64 * 1024.0
    }

    /// The destination takes calls and never answers, from now on.
    pub fn hang(&self, destination: usize) {
        let now = self.began.elapsed();
        let trouble = Event::Trouble(Trouble::Hang);
        self.world.borrow_mut().happen(now, trouble, destination, DAY_S, true);
    }
}

/// One answer to the probe.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When it was to be asked for.
    pub intended: Instant,
    /// From then until the answer.
    pub latency: Duration,
}

/// Asks a relay for its readiness every 2 ms. An answer that is late delays no count: latencies are from the time at
/// which each question was due (an open loop), so that a pause shows in every question that it held up.
pub struct Probe {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<std::io::Result<Vec<Sample>>>,
}

impl Probe {
    /// Begins to ask.
    pub fn start(address: SocketAddr) -> Probe {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || ask(address, &stopped));
        Probe { stop, thread }
    }

    /// Stops, and gives every answer in the order of time.
    pub fn finish(self) -> Result<Vec<Sample>, String> {
        self.stop.store(true, Ordering::Relaxed);
        let asked = self.thread.join().map_err(|_| "the probe panicked".to_owned())?;
        asked.map_err(|e| format!("the probe: {e}"))
    }
}

fn ask(address: SocketAddr, stopped: &AtomicBool) -> std::io::Result<Vec<Sample>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PROBE_PATIENCE))?;
    let mut samples = Vec::new();
    let mut intended = Instant::now();
    let mut answer = [0; 1024];
    while !stopped.load(Ordering::Relaxed) {
        intended += PROBE_INTERVAL;
        std::thread::sleep(intended.saturating_duration_since(Instant::now()));
        stream.write_all(b"GET /ready HTTP/1.1\r\nhost: r\r\n\r\n")?;
        let mut length = 0;
        while !answer[..length].ends_with(b"ready\n") {
            length += match stream.read(&mut answer[length..]) {
                Ok(0) => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                Ok(read) => read,
                // A child of this process ended: with a time-out set, the system does not go on by itself.
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => 0,
                Err(e) => return Err(e),
            };
        }
        samples.push(Sample { intended, latency: intended.elapsed() });
    }
    Ok(samples)
}

/// The latencies of questions due from one time to another, in microseconds.
pub fn histogram(samples: &[Sample], from: Instant, to: Instant) -> Histogram<u64> {
    let longest = PROBE_PATIENCE.as_micros() as u64;
    let mut histogram = Histogram::new_with_max(longest, 3).expect("three digits are allowed");
    let within = samples.iter().filter(|sample| sample.intended >= from && sample.intended < to);
    within.for_each(|sample| histogram.saturating_record(sample.latency.as_micros() as u64));
    histogram
}

/// The longest latency of each window in milliseconds, and their median.
pub fn median_longest(samples: &[Sample], windows: &[(Instant, Instant)]) -> f64 {
    let longest = windows.iter().map(|(from, to)| histogram(samples, *from, *to).max() as f64 / 1e3);
    median(longest.collect())
}

/// The middle value; 0 of none.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
