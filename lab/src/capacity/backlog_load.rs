//! What the scale tests of backlogs share: clients that fill a relay, its configuration, and what is told of
//! sizes.
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
use super::stand_ins::ZONES;
use super::{CapacityError, Point, Series};
use crate::arrivals::Arrival;
use crate::experiment::RelayTable;
use crate::load::{Response, Submitters};
use crate::relay;

/// Destinations in the list.
pub const DESTINATIONS: u32 = 50;
/// Bytes of a body.
const BODY: usize = 200;
/// Time that a message has which is to stay.
pub const HOUR: Duration = Duration::from_secs(3600);
/// Clients that hand messages in at the same time. A round's cost grows with what is held and is shared by
/// what comes in for it, so the cost to take a message on depends on this number.
const CLIENTS: usize = 128;
/// A message that was not taken on is handed in again so often.
const ATTEMPTS: u32 = 20;
/// Time between two of these attempts.
const PAUSE: Duration = Duration::from_millis(20);
/// Room in the relay's queue for each message: one destination that does not answer may have 35% of it.
const ROOM: u32 = 4;
/// Room on disk for each message, in bytes: the journal keeps a reserve for what may follow a message.
const DISK: f64 = 2800.0;

/// When messages end.
#[derive(Clone, Copy)]
pub enum End {
    /// Each so long after it is handed in. Each has to be taken on.
    EachAfter(Duration),
    /// All at one time, to the millisecond. Those that are not taken on are left out.
    AllAt(Instant),
}

/// How a fill went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Filled {
    /// Messages that were taken on.
    pub taken: u32,
    /// Times that a message was refused; its client came again.
    pub refused: u32,
    /// Times that the answer did not come in time, or the relay failed.
    pub unanswered: u32,
}

impl Filled {
    fn add(&mut self, other: Filled) {
        self.taken += other.taken;
        self.refused += other.refused;
        self.unanswered += other.unanswered;
    }
}

/// Hands in the messages with these numbers.
pub async fn fill(
    subject: &'static str,
    process: &RelayProcess,
    numbers: std::ops::Range<u32>,
    end: End,
) -> Result<Filled, CapacityError> {
    let failed = |reason: String| CapacityError::Measurement { subject, reason };
    let submitters = Submitters::new(process.address, BODY);
    let (next, filled) = (Rc::new(Cell::new(numbers.start)), Rc::new(Cell::new(Filled::default())));
    let client = |submitters: Rc<Submitters>, next: Rc<Cell<u32>>, filled: Rc<Cell<Filled>>| async move {
        while next.get() < numbers.end {
            let number = next.replace(next.get() + 1);
            let one = hand_in(&submitters, u64::from(number), end).await;
            let mut sum = filled.get();
            sum.add(one);
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
    let (asked, filled) = (numbers.end - numbers.start, filled.get());
    if matches!(end, End::EachAfter(_)) && filled.taken < asked {
        return Err(failed(format!("of {asked} messages were taken on: {filled:?}")));
    }
    Ok(filled)
}

/// Hands one message in, a few times if it is not taken on and has to be; what came of that. A client that
/// was told when to come back does so then. An answer that did not come in time leaves open whether the
/// message was taken on, and the same message handed in again is the same message.
async fn hand_in(submitters: &Submitters, number: u64, end: End) -> Filled {
    let attempts = if matches!(end, End::EachAfter(_)) { ATTEMPTS } else { 1 };
    let mut filled = Filled::default();
    for _ in 0..attempts {
        let now = Instant::now();
        let patience = match end {
            End::EachAfter(time) => time,
            End::AllAt(time) => time.saturating_duration_since(now),
        };
        let arrival = Arrival { at: Duration::ZERO, dest: 0, order: false, patience };
        let pause = match submitters.ask(number, &arrival, now).await {
            Some(Response::Accepted) => {
                filled.taken = 1;
                break;
            }
            Some(Response::Refused { retry_after }) => {
                filled.refused += 1;
                retry_after.unwrap_or(PAUSE)
            }
            Some(Response::Failed(_)) | None => {
                filled.unanswered += 1;
                PAUSE
            }
        };
        if attempts > 1 {
            sleep(pause).await;
        }
    }
    filled
}

/// Waits until a relay does no more than its rounds.
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

/// Room in the relay's queue and in its folder that lasts.
#[derive(Clone, Copy)]
pub struct Room {
    /// Messages that may be held in memory.
    pub held: u32,
    /// Megabytes of disk.
    pub disk_mb: f64,
}

impl Room {
    /// For a backlog that is held in memory, all for one destination.
    pub fn in_memory(messages: u32) -> Room {
        Room { held: messages * ROOM + 1000, disk_mb: f64::from(messages) * DISK / 1e6 + 16.0 }
    }
}

/// The platform's settings with this room. Messages of the class `notice` may be tried again.
pub fn configuration(room: Room, listen: SocketAddr, list_service: SocketAddr, seed: u64) -> Value {
    let table = RelayTable { held: room.held, disk_mb: room.disk_mb, ..RelayTable::default() };
    let mut told = relay::configuration(&table, "backlog", listen, list_service, seed);
    let settings = &mut told["settings"];
    settings["zones"] = json!(ZONES);
    let hour = HOUR.as_nanos() as u64;
    for class in settings["categories"].as_array_mut().into_iter().flatten() {
        (class["aim"], class["give_up"]) = (json!(hour), json!(hour));
    }
    told
}

/// Removes what the relays of one size left in the folder; the rest goes with the folder itself.
pub fn clear(folder: &Path) {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    entries.for_each(|entry| drop(std::fs::remove_dir_all(entry.path())));
}

/// A quantity over the sizes that were played.
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

/// Processor time of each of so many messages, in microseconds.
pub fn micros(time: Duration, messages: f64) -> f64 {
    time.as_secs_f64() * 1e6 / messages
}

/// Memory that programs may take without swapping, in bytes.
pub fn free_memory() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemAvailable:"))?;
    Some(line.trim().trim_end_matches("kB").trim().parse::<u64>().ok()? * 1024)
}
