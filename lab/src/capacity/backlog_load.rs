//! Shared parts of the backlog measurements: clients that fill a relay, its configuration, and the conversion of
//! readings to series.
use serde_json::{Value, json};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::fit::Law;
use super::process::RelayProcess;
use super::simulated_peers::ZONES;
use super::{CapacityError, Point, Series};
use crate::arrivals::Arrival;
use crate::experiment::RelayTable;
use crate::load::{Response, Submitters};
use crate::relay;

/// Number of listed destinations.
pub const DESTINATIONS: u32 = 50;
/// Size of a message body in bytes.
const BODY_BYTES: usize = 200;
/// Lifetime of a message that must stay queued.
pub const HOUR: Duration = Duration::from_secs(3600);
/// Number of concurrent clients. The cost of a round grows with the number of queued messages and is shared by the
/// messages that arrive for it, so the cost to accept a message depends on this number.
const CLIENTS: usize = 128;
/// Maximum number of times that a message is submitted until it is accepted.
const ATTEMPTS: u32 = 20;
/// Time between two of these attempts.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Queue capacity per message: one destination that does not answer may use 35% of the queue.
const QUEUE_CAPACITY_FACTOR: u32 = 4;
/// Disk capacity per message in bytes: the journal reserves space for the records that may follow a message.
const DISK_BYTES_PER_MESSAGE: f64 = 2800.0;

/// Expiry of the submitted messages.
#[derive(Clone, Copy)]
pub enum Expiry {
    /// Each message expires this long after it is submitted. All messages must be accepted.
    After(Duration),
    /// All messages expire at the same millisecond. Messages that are not accepted are not submitted again.
    At(Instant),
}

/// Outcome of submitting a batch of messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FillOutcome {
    /// Number of accepted messages.
    pub accepted: u32,
    /// Number of refusals. The client submits a refused message again.
    pub refused: u32,
    /// Number of requests without a response in time, or with an error response.
    pub unanswered: u32,
}

impl FillOutcome {
    fn add(&mut self, other: FillOutcome) {
        self.accepted += other.accepted;
        self.refused += other.refused;
        self.unanswered += other.unanswered;
    }
}

/// Submits the messages with these numbers from concurrent clients.
pub async fn fill(
    subject: &'static str,
    process: &RelayProcess,
    numbers: std::ops::Range<u32>,
    expiry: Expiry,
) -> Result<FillOutcome, CapacityError> {
    let failed = |reason: String| CapacityError::Measurement { subject, reason };
    let submitters = Submitters::new(process.address, BODY_BYTES);
    let (next, filled) = (Rc::new(Cell::new(numbers.start)), Rc::new(Cell::new(FillOutcome::default())));
    let client = |submitters: Rc<Submitters>, next: Rc<Cell<u32>>, filled: Rc<Cell<FillOutcome>>| async move {
        while next.get() < numbers.end {
            let number = next.replace(next.get() + 1);
            let outcome = submit(&submitters, u64::from(number), expiry).await;
            let mut sum = filled.get();
            sum.add(outcome);
            filled.set(sum);
        }
    };
    let clients = (0..CLIENTS).map(|_| {
        let (submitters, next, filled) = (submitters.clone(), next.clone(), filled.clone());
        spawn_local(client(submitters, next, filled))
    });
    for client in clients.collect::<Vec<_>>() {
        client.await.map_err(|e| failed(e.to_string()))?;
    }
    let (submitted, filled) = (numbers.end - numbers.start, filled.get());
    if matches!(expiry, Expiry::After(_)) && filled.accepted < submitted {
        return Err(failed(format!("not all of {submitted} messages were accepted: {filled:?}")));
    }
    Ok(filled)
}

/// Submits one message and, if it must be accepted, submits it again after a refusal, at the retry-after time of the
/// response if there is one. Without a response in time it is unknown whether the message was accepted; submitting it
/// again is safe because the relay recognizes a message by its number.
async fn submit(submitters: &Submitters, number: u64, expiry: Expiry) -> FillOutcome {
    let attempts = if matches!(expiry, Expiry::After(_)) { ATTEMPTS } else { 1 };
    let mut filled = FillOutcome::default();
    for _ in 0..attempts {
        let now = Instant::now();
        let patience = match expiry {
            Expiry::After(time) => time,
            Expiry::At(time) => time.saturating_duration_since(now),
        };
        let arrival = Arrival { at: Duration::ZERO, dest: 0, order: false, patience };
        let delay = match submitters.request(number, &arrival, now).await {
            Some(Response::Accepted) => {
                filled.accepted = 1;
                break;
            }
            Some(Response::Refused { retry_after }) => {
                filled.refused += 1;
                retry_after.unwrap_or(RETRY_DELAY)
            }
            Some(Response::Failed(_)) | None => {
                filled.unanswered += 1;
                RETRY_DELAY
            }
        };
        if attempts > 1 {
            sleep(delay).await;
        }
    }
    filled
}

/// Waits until a relay uses little more processor time than its idle rounds need.
pub async fn settle(process: &RelayProcess) -> Result<(), CapacityError> {
    let mut last = process.usage()?.cpu;
    for _ in 0..40 {
        sleep(Duration::from_millis(100)).await;
        let now = process.usage()?.cpu;
        if now.saturating_sub(last) < Duration::from_millis(5) {
            break;
        }
        last = now;
    }
    Ok(())
}

/// Capacity of the relay's queue and of its state folder.
#[derive(Clone, Copy)]
pub struct QueueCapacity {
    /// Maximum number of messages in memory.
    pub messages: u32,
    /// Disk quota in megabytes.
    pub disk_mb: f64,
}

impl QueueCapacity {
    /// Capacity for a backlog in memory with all messages for one destination.
    pub fn in_memory(messages: u32) -> QueueCapacity {
        QueueCapacity {
            messages: messages * QUEUE_CAPACITY_FACTOR + 1000,
            disk_mb: f64::from(messages) * DISK_BYTES_PER_MESSAGE / 1e6 + 16.0,
        }
    }
}

/// The platform's configuration with this capacity. Messages of the class `notice` may be retried.
pub fn configuration(
    capacity: QueueCapacity,
    listen: SocketAddr,
    list_service: SocketAddr,
    seed: u64,
) -> Value {
    let table = RelayTable { held: capacity.messages, disk_mb: capacity.disk_mb, ..RelayTable::default() };
    let mut configuration = relay::configuration(&table, "backlog", listen, list_service, seed);
    let settings = &mut configuration["settings"];
    settings["zones"] = json!(ZONES);
    let hour = HOUR.as_nanos() as u64;
    for class in settings["categories"].as_array_mut().into_iter().flatten() {
        (class["aim"], class["give_up"]) = (json!(hour), json!(hour));
    }
    configuration
}

/// Removes the subfolders left by the relays of one size; other files are removed with the folder itself.
pub fn clear(folder: &Path) {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    entries.for_each(|entry| drop(std::fs::remove_dir_all(entry.path())));
}

/// Builds the series of a quantity from the readings at each size.
pub fn series<T>(
    name: &'static str,
    varied: &'static str,
    unit: &'static str,
    readings: &[(u32, T)],
    value: fn(&T) -> f64,
) -> Series {
    let point = |(size, reading): &(u32, T)| Point { size: f64::from(*size), value: value(reading) };
    Series { name, varied, unit, law: Law::Line, points: readings.iter().map(point).collect() }
}

/// Processor time per message in microseconds.
pub fn micros(time: Duration, messages: f64) -> f64 {
    time.as_secs_f64() * 1e6 / messages
}

/// Memory available to programs without swapping, in bytes.
pub fn free_memory() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemAvailable:"))?;
    Some(line.trim().trim_end_matches("kB").trim().parse::<u64>().ok()? * 1024)
}
