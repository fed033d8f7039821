//! What a backlog costs a relay: messages for one destination whose endpoints never answer.
//!
//! Each size has a relay process of its own. Bodies have 200 bytes, messages an hour to live, and 50 destinations are
//! listed. A second relay of each size holds messages that all end in the same second.
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;
use tokio::time::sleep;

use super::backlog_load::{
    DESTINATIONS, End, HOUR, Room, clear, configuration, fill, free_memory, micros, series, settle,
};
use super::process::RelayFolder;
use super::stand_ins::{ALL_ZONES, StandIns};
use super::{CapacityError, Figure, Measured, Options};
use crate::relay;

const SUBJECT: &str = "backlog";
/// Part of a fill, its last, over which the processor time to take a message on is counted.
const LAST_PART: f64 = 0.25;
/// Largest size that is run on any machine, and memory that must be free for a larger one.
const ALWAYS: u32 = 160_000;
const FREE_FOR_MORE: u64 = 8 << 30;
/// How long messages that end together have before the first may come, and the time a message that it takes to hand
/// them in, generously.
const EXPIRY_LEAST: Duration = Duration::from_millis(1500);
const EXPIRY_PER_MESSAGE: Duration = Duration::from_micros(250);
/// Notices are waited for until none has come for so long.
const QUIET: Duration = Duration::from_secs(3);
/// How often it is looked whether all have come.
const LOOK: Duration = Duration::from_millis(100);

/// Sizes and times of a run.
pub struct Plan {
    /// Messages held, a relay each.
    pub held: Vec<u32>,
    /// Messages that end together, a relay each.
    pub expiring: Vec<u32>,
    /// How long a relay that only waits is watched.
    pub watch: Duration,
}

impl Plan {
    fn of(options: &Options) -> Plan {
        if options.quick {
            let held = vec![2_500, 10_000, 40_000];
            return Plan { held, expiring: vec![250, 1_000, 4_000], watch: Duration::from_secs(1) };
        }
        let mut held = vec![10_000, 40_000, ALWAYS];
        if free_memory().is_some_and(|free| free >= FREE_FOR_MORE) {
            held.push(640_000);
        }
        Plan { held, expiring: vec![10_000, 40_000, ALWAYS], watch: Duration::from_secs(5) }
    }
}

/// Measures the sizes that the options ask for.
pub fn measure(options: &Options) -> Result<Measured, CapacityError> {
    measure_plan(&Plan::of(options), options.seed)
}

/// Measures the sizes of a plan.
pub fn measure_plan(plan: &Plan, seed: u64) -> Result<Measured, CapacityError> {
    let program = relay::program().map_err(failed)?;
    let folder = tempfile::tempdir().map_err(|e| failed(e.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| failed(e.to_string()))?;
    let setup = Setup { program, folder: folder.path().to_owned(), seed };
    LocalSet::new().block_on(&runtime, async {
        let mut held = Vec::new();
        for &messages in &plan.held {
            held.push((messages, setup.hold(messages, plan.watch).await?));
        }
        let mut expired = Vec::new();
        for &messages in &plan.expiring {
            expired.push((messages, setup.expire(messages).await?));
        }
        Ok(tell(&held, &expired))
    })
}

/// What one relay that holds a backlog took.
struct Held {
    /// Resident memory beyond that of the relay without messages, in bytes.
    memory: f64,
    /// Bytes of its folder that lasts beyond those without messages.
    disk: f64,
    /// Processor time to take one more message on, in microseconds.
    take_on_us: f64,
    /// Processor time a second while it only waits, in milliseconds.
    waiting_ms: f64,
    /// From the start after SIGKILL until it was ready.
    ready_s: f64,
    /// Resident memory right after that, beyond that of the relay without messages, in bytes.
    memory_after: f64,
}

/// What the end of many messages in one second took.
struct Expired {
    /// Processor time to take one more message on whose end is at the same time as that of all others.
    take_on_us: f64,
    /// From the first notice to the last.
    span_s: f64,
    /// The latest notice, behind the time of its message's end.
    late_s: f64,
    /// Processor time of the relay a message, in microseconds, from the last one taken on to the last notice.
    cpu_us: f64,
    /// Part of the messages that were taken on whose notice came.
    noticed: f64,
}

struct Setup {
    program: PathBuf,
    folder: PathBuf,
    seed: u64,
}

impl Setup {
    fn folder(
        &self,
        name: &str,
        messages: u32,
        list_service: SocketAddr,
    ) -> Result<RelayFolder, CapacityError> {
        let path = self.folder.join(format!("{name}{messages}"));
        RelayFolder::create(&self.program, &path, |listen| {
            configuration(Room::in_memory(messages), listen, list_service, self.seed)
        })
    }

    async fn hold(&self, messages: u32, watch: Duration) -> Result<Held, CapacityError> {
        let stand_ins = StandIns::start(DESTINATIONS)?;
        stand_ins.silence(ALL_ZONES);
        let folder = self.folder("held", messages, stand_ins.list_service)?;
        let process = folder.start().await?;
        settle(&process).await?;
        let (bare, bare_disk) = (process.usage()?, folder.disk()?);

        let last = (f64::from(messages) * LAST_PART) as u32;
        fill(SUBJECT, &process, 0..messages - last, End::EachAfter(HOUR)).await?;
        let before = process.usage()?;
        fill(SUBJECT, &process, messages - last..messages, End::EachAfter(HOUR)).await?;
        let full = process.usage()?;
        settle(&process).await?;
        let disk = folder.disk()?;
        let (waits, resident) = (process.usage()?, process.usage()?.resident);
        let begun = Instant::now();
        sleep(watch).await;
        let waited = process.usage()?.cpu.saturating_sub(waits.cpu);
        let waiting_ms = waited.as_secs_f64() * 1e3 / begun.elapsed().as_secs_f64();
        let ended = stand_ins.observations().noticed.len();
        if ended > 0 {
            return Err(failed(format!("{ended} of {messages} messages ended while they were to wait")));
        }

        process.kill().await?;
        let process = folder.start().await?;
        let after = process.usage()?;
        let ready_s = process.ready_after.as_secs_f64();
        process.kill().await?;
        clear(&self.folder);
        Ok(Held {
            memory: resident as f64 - bare.resident as f64,
            disk: disk as f64 - bare_disk as f64,
            take_on_us: micros(full.cpu.saturating_sub(before.cpu), f64::from(last)),
            waiting_ms,
            ready_s,
            memory_after: after.resident as f64 - bare.resident as f64,
        })
    }

    async fn expire(&self, messages: u32) -> Result<Expired, CapacityError> {
        let stand_ins = StandIns::start(DESTINATIONS)?;
        stand_ins.silence(ALL_ZONES);
        let folder = self.folder("expired", messages, stand_ins.list_service)?;
        let process = folder.start().await?;
        let deadline = Instant::now() + EXPIRY_LEAST + EXPIRY_PER_MESSAGE * messages;
        let last = (f64::from(messages) * LAST_PART) as u32;
        let first_taken = fill(SUBJECT, &process, 0..messages - last, End::AllAt(deadline)).await?.taken;
        let begun = process.usage()?;
        let last_taken =
            fill(SUBJECT, &process, messages - last..messages, End::AllAt(deadline)).await?.taken;
        let (before, taken) = (process.usage()?, first_taken + last_taken);
        let (mut seen, mut changed) = (0, deadline);
        while seen < taken as usize && changed.max(deadline).elapsed() < QUIET {
            sleep(LOOK).await;
            let now = stand_ins.observations().noticed.len();
            if now != seen {
                (seen, changed) = (now, Instant::now());
            }
        }
        let after = process.usage()?;
        process.kill().await?;
        clear(&self.folder);
        let observations = stand_ins.observations();
        let first = observations.noticed.values().min().copied().unwrap_or(deadline);
        let latest = observations.noticed.values().max().copied().unwrap_or(deadline);
        Ok(Expired {
            span_s: (latest - first).as_secs_f64(),
            take_on_us: micros(before.cpu.saturating_sub(begun.cpu), f64::from(last_taken.max(1))),
            late_s: latest.saturating_duration_since(deadline).as_secs_f64(),
            cpu_us: micros(after.cpu.saturating_sub(before.cpu), f64::from(taken.max(1))),
            noticed: observations.noticed.len() as f64 / f64::from(taken.max(1)),
        })
    }
}

fn tell(held: &[(u32, Held)], expired: &[(u32, Expired)]) -> Measured {
    let of_held = |name, unit, value: fn(&Held) -> f64| series(name, "messages held", unit, held, value);
    let of_expired =
        |name, unit, value: fn(&Expired) -> f64| series(name, "messages that end", unit, expired, value);
    let lost = expired.iter().map(|(_, expired)| 1.0 - expired.noticed).fold(0.0, f64::max);
    let largest = held.iter().map(|(messages, _)| f64::from(*messages)).fold(0.0, f64::max);
    let latest = expired.iter().map(|(_, expired)| expired.late_s).fold(0.0, f64::max);
    Measured {
        series: vec![
            of_held("backlog.memory", "B", |held| held.memory),
            of_held("backlog.memory_after_kill", "B", |held| held.memory_after),
            of_held("backlog.disk", "B", |held| held.disk),
            of_held("backlog.cpu_to_take_on", "us a message", |held| held.take_on_us),
            of_held("backlog.cpu_waiting", "ms a second", |held| held.waiting_ms),
            of_held("backlog.ready_after_kill", "s", |held| held.ready_s),
            of_expired("backlog.cpu_to_take_on_same_end", "us a message", |expired| expired.take_on_us),
            of_expired("backlog.expiry_span", "s", |expired| expired.span_s),
            of_expired("backlog.expiry_late", "s", |expired| expired.late_s),
            of_expired("backlog.expiry_cpu", "us a message", |expired| expired.cpu_us),
        ],
        figures: vec![
            Figure { name: "backlog.largest_held", unit: "messages", value: largest },
            Figure { name: "backlog.expiry_latest", unit: "s", value: latest },
            Figure { name: "backlog.expiry_without_notice", unit: "share", value: lost },
        ],
    }
}

fn failed(reason: impl Into<String>) -> CapacityError {
    CapacityError::Measurement { subject: SUBJECT, reason: reason.into() }
}
