//! A real relay process on loopback with simulated peers: the list service, the partners, and a probe that queries the
//! relay's readiness at a fixed rate from a thread of its own.
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
use crate::relay::{self, Relay, RelayEnvironment};
use crate::world::World;

/// Time between two requests of the probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(2);
/// Time for which the probe waits for a response.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);
/// A relay is idle when it uses no more than one tick of processor time in this interval, twice in a row.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const TICK: Duration = Duration::from_millis(10);
/// Number of intervals after which waiting for an idle relay fails.
const MAX_IDLE_CHECKS: usize = 300;
/// Duration of an outage that outlasts every measurement.
const DAY_S: f64 = 86_400.0;

/// A relay process and its simulated peers.
pub struct Site {
    /// State of the partners and the outcome of calls.
    pub world: Rc<RefCell<World>>,
    /// The list service.
    pub discovery: Rc<Discovery>,
    /// The relay under test.
    pub relay: Relay,
    /// Folder with the relay's files.
    pub folder: tempfile::TempDir,
    /// Time at which the simulated world's clock starts.
    pub clock_start: Instant,
    subject: &'static str,
}

/// Runs a measurement that needs real processes.
pub fn run<T>(
    subject: &'static str,
    measurement: impl Future<Output = Result<T, CapacityError>>,
) -> Result<T, CapacityError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| CapacityError::Measurement {
        subject,
        reason: format!("cannot create an async runtime: {e}"),
    })?;
    LocalSet::new().block_on(&runtime, measurement)
}

/// The experiment that a relay of these measurements runs in. Only the relay's table and the number of destinations vary.
fn experiment(destinations: usize, relay: RelayTable) -> Result<Experiment, String> {
    let text = format!(
        "name = 'capacity'\nseconds = 1.0\n[[partners]]\ncount = {destinations}\n\
         nature = {{ rate = 1000.0, latency_ms = 2.0 }}\n[load]\nbusy = 1\n"
    );
    Ok(Experiment { relay, ..Experiment::parse(&text)? })
}

impl Site {
    /// Starts a relay with a list of `destinations` destinations, and waits until it is idle.
    pub async fn start(
        subject: &'static str,
        destinations: usize,
        table: RelayTable,
        seed: u64,
    ) -> Result<Site, CapacityError> {
        let error = |reason: String| CapacityError::Measurement { subject, reason };
        let listener =
            |e: std::io::Error| error(format!("cannot start a listener of the simulated peers: {e}"));
        let experiment = experiment(destinations, table).map_err(error)?;
        let world = Rc::new(RefCell::new(World::new(&experiment, destinations, seed)));
        let clock_start = Instant::now();
        let emulator = Emulator::start(world.clone(), clock_start, false).map_err(listener)?;
        let costs = experiment.list.service.clone();
        let discovery = Discovery::start(world.clone(), emulator.clone(), clock_start, Vec::new(), costs);
        let discovery = discovery.await.map_err(listener)?;
        let folder =
            tempfile::tempdir().map_err(|e| error(format!("cannot create a temporary folder: {e}")))?;
        let around =
            RelayEnvironment { list_or_notices: discovery.address, port: emulator.port, dests: destinations };
        let program = relay::program().map_err(error)?;
        let relay =
            Relay::start(&program, folder.path(), &experiment, 0, around, seed).await.map_err(error)?;
        let site = Site { world, discovery, relay, folder, clock_start, subject };
        site.wait_until_idle().await?;
        Ok(site)
    }

    /// An error of this measurement.
    pub fn error(&self, reason: String) -> CapacityError {
        CapacityError::Measurement { subject: self.subject, reason }
    }

    /// Waits until the relay is idle.
    pub async fn wait_until_idle(&self) -> Result<(), CapacityError> {
        let mut last = cpu_time::of_process(self.relay.id)?;
        let mut idle_checks = 0;
        for _ in 0..MAX_IDLE_CHECKS {
            sleep(IDLE_CHECK_INTERVAL).await;
            let now = cpu_time::of_process(self.relay.id)?;
            idle_checks = if now.saturating_sub(last) <= TICK { idle_checks + 1 } else { 0 };
            if idle_checks == 2 {
                return Ok(());
            }
            last = now;
        }
        Err(self.error("the relay does not become idle".into()))
    }

    /// Resident memory of the relay in bytes.
    pub fn resident(&self) -> f64 {
        self.relay.usage().resident_kb as f64 * 1024.0
    }

    /// From now on, the destination accepts calls and never answers.
    pub fn hang(&self, destination: usize) {
        let now = self.clock_start.elapsed();
        let trouble = Event::Trouble(Trouble::Hang);
        self.world.borrow_mut().apply_event(now, trouble, destination, DAY_S, true);
    }
}

/// One response to the probe.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time at which the request was due.
    pub intended: Instant,
    /// Time from then until the response.
    pub latency: Duration,
}

/// Queries a relay's readiness every 2 ms in an open loop: latencies count from the time at which each request was due,
/// so that a pause of the relay shows in every request that it delayed.
pub struct Probe {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<std::io::Result<Vec<Sample>>>,
}

impl Probe {
    /// Starts the probe.
    pub fn start(address: SocketAddr) -> Probe {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || send_requests(address, &stopped));
        Probe { stop, thread }
    }

    /// Stops the probe and returns all samples in order of time.
    pub fn finish(self) -> Result<Vec<Sample>, String> {
        self.stop.store(true, Ordering::Relaxed);
        let samples = self.thread.join().map_err(|_| "the probe panicked".to_owned())?;
        samples.map_err(|e| format!("the probe failed: {e}"))
    }
}

fn send_requests(address: SocketAddr, stopped: &AtomicBool) -> std::io::Result<Vec<Sample>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PROBE_TIMEOUT))?;
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
                // SIGCHLD of a child process interrupted the read: with a timeout set, the system does not restart it.
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => 0,
                Err(e) => return Err(e),
            };
        }
        samples.push(Sample { intended, latency: intended.elapsed() });
    }
    Ok(samples)
}

/// Histogram of the latencies, in microseconds, of requests due from `from` up to `to`.
pub fn histogram(samples: &[Sample], from: Instant, to: Instant) -> Histogram<u64> {
    let longest = PROBE_TIMEOUT.as_micros() as u64;
    let mut histogram = Histogram::new_with_max(longest, 3).expect("three significant digits are supported");
    let within = samples.iter().filter(|sample| sample.intended >= from && sample.intended < to);
    within.for_each(|sample| histogram.saturating_record(sample.latency.as_micros() as u64));
    histogram
}

/// Median over the windows of the longest latency in each, in milliseconds.
pub fn median_longest(samples: &[Sample], windows: &[(Instant, Instant)]) -> f64 {
    let longest = windows.iter().map(|(from, to)| histogram(samples, *from, *to).max() as f64 / 1e3);
    median(longest.collect())
}

/// The median; 0 if there are no values.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
