//! What the measurements of many instances in one process share: sizes, processor time and memory of this process,
//! and a series from readings.
use clap::ValueEnum;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use super::fit::Law;
use super::{CapacityError, Options, Point, Series, lists, membership};

/// The planned number of instances.
pub const PLANNED: usize = 650;
/// Numbers of instances in the full run: a factor of four apart, and twice the planned size.
const INSTANCES: [usize; 4] = [40, 160, PLANNED, 2 * PLANNED];
/// Numbers of instances in the quick run.
const INSTANCES_QUICK: [usize; 3] = [10, 40, 160];
/// Bytes of a page of memory.
const PAGE: u64 = 4096;

/// The numbers of instances that are measured.
pub fn instances(options: &Options) -> &'static [usize] {
    if options.quick { &INSTANCES_QUICK } else { &INSTANCES }
}

/// Bytes of this process that are resident; 0 where the system does not tell.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}

/// Bytes of this process that become resident while something is made that is then held.
pub fn resident_bytes_of<T>(make: impl FnOnce() -> T) -> u64 {
    let before = resident_bytes();
    let held = make();
    let bytes = resident_bytes().saturating_sub(before);
    drop(held);
    bytes
}

/// What is held in a process of its own, where nothing that was freed before hides what it takes.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum MemorySubject {
    /// The views of so many instances of one another.
    Views,
    /// A list of so many entries, several times.
    Lists,
    /// Such a list once, after changes of single entries, for each of which it is copied.
    ChangedList,
}

impl MemorySubject {
    /// Resident bytes that it adds to this process.
    pub fn resident_bytes(self, size: usize, seed: u64) -> u64 {
        match self {
            MemorySubject::Views => membership::resident_bytes(size, seed),
            MemorySubject::Lists => lists::resident_bytes(size, seed, false),
            MemorySubject::ChangedList => lists::resident_bytes(size, seed, true),
        }
    }

    /// Begins to hold it in a process of its own, which is this program again.
    pub fn measure_in_child(self, size: usize, seed: u64) -> Result<ChildMeasurement, CapacityError> {
        let name = self.to_possible_value().expect("no variant is skipped");
        let program = std::env::current_exe().map_err(|e| fault(&e.to_string()))?;
        let mut command = Command::new(program);
        command.args(["hold", name.get_name(), &size.to_string(), &seed.to_string()]);
        let child = command.stdout(Stdio::piped()).spawn().map_err(|e| fault(&e.to_string()))?;
        Ok(ChildMeasurement(child))
    }
}

/// A process that holds something.
pub struct ChildMeasurement(Child);

impl ChildMeasurement {
    /// The resident bytes that it added, once the process has ended.
    pub fn bytes(self) -> Result<f64, CapacityError> {
        let output = self.0.wait_with_output().map_err(|e| fault(&e.to_string()))?;
        let text = String::from_utf8_lossy(&output.stdout);
        text.trim().parse().map_err(|_| fault(&format!("it ended with {} and said {text:?}", output.status)))
    }
}

fn fault(reason: &str) -> CapacityError {
    CapacityError::Measurement { subject: "what a process holds", reason: reason.to_owned() }
}

/// Processor time of the calling thread, as the scheduler counts it; zero where the system does not tell.
fn thread_cpu() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = text.split_whitespace().next().and_then(|first| first.parse().ok());
    Duration::from_nanos(nanoseconds.unwrap_or(0))
}

/// A span of which the calling thread's processor time is divided between the state machines and the simulator.
pub struct CpuMeter {
    began: Instant,
    cpu: Duration,
}

impl CpuMeter {
    /// The span begins.
    pub fn start() -> CpuMeter {
        CpuMeter { began: Instant::now(), cpu: thread_cpu() }
    }

    /// The span's processor time that falls to code which took a time by the clock: a thread that is preempted is so in
    /// the simulator's share and in the measured one alike.
    pub fn share_of(&self, handling: Duration) -> Duration {
        let (elapsed, cpu) = (self.began.elapsed(), thread_cpu().saturating_sub(self.cpu));
        if elapsed.is_zero() {
            Duration::ZERO
        } else {
            cpu.mul_f64(handling.as_secs_f64() / elapsed.as_secs_f64())
        }
    }
}

/// A quantity over numbers of instances or entries.
pub struct Quantity<R> {
    /// The name of its series.
    pub name: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// The law that it is expected to follow.
    pub law: Law,
    /// Its value in what was read at one size; not a number where it was not read at that size.
    pub of: fn(&R) -> f64,
}

/// One series for each quantity, from what was read at each size.
pub fn series<R>(varied: &'static str, quantities: &[Quantity<R>], read: &[(usize, R)]) -> Vec<Series> {
    let one = |quantity: &Quantity<R>| {
        let point =
            |(size, reading): &(usize, R)| Point { size: *size as f64, value: (quantity.of)(reading) };
        let points = read.iter().map(point).filter(|point| point.value.is_finite()).collect();
        Series { name: quantity.name, varied, unit: quantity.unit, law: quantity.law, points }
    };
    quantities.iter().map(one).collect()
}
