//! Shared parts of the measurements that simulate many instances in one process: the numbers of instances, processor
//! time and memory of this process, and the conversion of readings to series.
use clap::ValueEnum;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use super::fit::Law;
use super::{CapacityError, Options, Point, Series, lists, membership};

/// Planned number of instances of a deployment.
pub const PLANNED: usize = 650;
/// Numbers of instances in a full run: a factor of four apart up to the planned number, and twice that number.
const INSTANCES: [usize; 4] = [40, 160, PLANNED, 2 * PLANNED];
/// Numbers of instances in a quick run.
const INSTANCES_QUICK: [usize; 3] = [10, 40, 160];
/// Size of a memory page in bytes.
const PAGE: u64 = 4096;

/// Numbers of instances to measure.
pub fn instances(options: &Options) -> &'static [usize] {
    if options.quick { &INSTANCES_QUICK } else { &INSTANCES }
}

/// Resident memory of this process in bytes; 0 if the system does not report it.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}

/// Growth of this process's resident memory, in bytes, while `make` builds a value.
pub fn resident_bytes_of<T>(make: impl FnOnce() -> T) -> u64 {
    let before = resident_bytes();
    let value = make();
    let bytes = resident_bytes().saturating_sub(before);
    drop(value);
    bytes
}

/// Data whose memory is measured in a child process of its own: there, memory that was freed earlier and is still
/// resident cannot hide a part of the growth.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum MemorySubject {
    /// The membership views of `size` instances.
    Views,
    /// Several copies of an endpoint list of `size` entries.
    Lists,
    /// One such list after changes of single entries, each of which copies the list.
    ChangedList,
}

impl MemorySubject {
    /// Builds the data in this process and returns the growth of its resident memory in bytes.
    pub fn resident_bytes(self, size: usize, seed: u64) -> u64 {
        match self {
            MemorySubject::Views => membership::resident_bytes(size, seed),
            MemorySubject::Lists => lists::resident_bytes(size, seed, false),
            MemorySubject::ChangedList => lists::resident_bytes(size, seed, true),
        }
    }

    /// Starts a child process of this program that builds the data and prints the growth of its resident memory.
    pub fn measure_in_child(self, size: usize, seed: u64) -> Result<ChildMeasurement, CapacityError> {
        let name = self.to_possible_value().expect("no variant is skipped");
        let program = std::env::current_exe().map_err(|e| error(&e.to_string()))?;
        let mut command = Command::new(program);
        command.args(["hold", name.get_name(), &size.to_string(), &seed.to_string()]);
        let child = command.stdout(Stdio::piped()).spawn().map_err(|e| error(&e.to_string()))?;
        Ok(ChildMeasurement(child))
    }
}

/// A running child process that measures a [`MemorySubject`].
pub struct ChildMeasurement(Child);

impl ChildMeasurement {
    /// Waits for the process to end and returns the growth of resident memory that it printed, in bytes.
    pub fn bytes(self) -> Result<f64, CapacityError> {
        let output = self.0.wait_with_output().map_err(|e| error(&e.to_string()))?;
        let text = String::from_utf8_lossy(&output.stdout);
        text.trim().parse().map_err(|_| {
            error(&format!("the child process ended with {} and printed {text:?}", output.status))
        })
    }
}

fn error(reason: &str) -> CapacityError {
    CapacityError::Measurement { subject: "resident memory", reason: reason.to_owned() }
}

/// Processor time of the calling thread according to the scheduler; zero if the system does not report it.
fn thread_cpu() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = text.split_whitespace().next().and_then(|first| first.parse().ok());
    Duration::from_nanos(nanoseconds.unwrap_or(0))
}

/// Measures the calling thread's processor time and divides it between the simulated state machines and the simulator.
pub struct CpuMeter {
    started: Instant,
    cpu: Duration,
}

impl CpuMeter {
    /// Starts measuring.
    pub fn start() -> CpuMeter {
        CpuMeter { started: Instant::now(), cpu: thread_cpu() }
    }

    /// Share of the processor time since the start that belongs to code which took `handling` of wall-clock time. The
    /// processor time is divided in proportion to wall-clock time, because preemption affects the simulator and the
    /// measured code alike.
    pub fn share_of(&self, handling: Duration) -> Duration {
        let (elapsed, cpu) = (self.started.elapsed(), thread_cpu().saturating_sub(self.cpu));
        if elapsed.is_zero() {
            Duration::ZERO
        } else {
            cpu.mul_f64(handling.as_secs_f64() / elapsed.as_secs_f64())
        }
    }
}

/// A quantity measured at several numbers of instances or entries.
pub struct Quantity<R> {
    /// Name of the series.
    pub name: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// The law that the quantity is expected to follow.
    pub law: Law,
    /// Extracts the value from the reading at one size; NaN if the quantity was not measured at that size.
    pub of: fn(&R) -> f64,
}

/// Builds one series per quantity from the readings at each size. Values that are not finite are left out.
pub fn series<R>(varied: &'static str, quantities: &[Quantity<R>], read: &[(usize, R)]) -> Vec<Series> {
    let series_of = |quantity: &Quantity<R>| {
        let point =
            |(size, reading): &(usize, R)| Point { size: *size as f64, value: (quantity.of)(reading) };
        let points = read.iter().map(point).filter(|point| point.value.is_finite()).collect();
        Series { name: quantity.name, varied, unit: quantity.unit, law: quantity.law, points }
    };
    quantities.iter().map(series_of).collect()
}
