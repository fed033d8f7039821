//! Cost of a backlog in memory: messages for one destination whose endpoints never answer.
//!
//! Each size is measured with a relay process of its own. Message bodies have 200 bytes, messages live for an hour, and
//! 50 destinations are listed. A second relay of each size queues messages that all expire at the same time.
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;
use tokio::time::sleep;

use super::backlog_load::{
    DESTINATIONS, Expiry, HOUR, QueueCapacity, clear, configuration, fill, free_memory, micros, series,
    settle,
};
use super::process::RelayFolder;
use super::simulated_peers::{ALL_ZONES, SimulatedPeers};
use super::{CapacityError, Figure, Measured, Options};
use crate::relay;

const SUBJECT: &str = "backlog";
/// The last part of a fill, over which the processor time to accept a message is measured.
const LAST_PART: f64 = 0.25;
/// Largest size that is measured on every machine, and the available memory in bytes required for a larger one.
const LARGEST_REGULAR_SIZE: u32 = 160_000;
const MEMORY_FOR_LARGER_SIZE: u64 = 8 << 30;
/// Lifetime of messages that expire together: a base, and generous time per message to submit them all.
const EXPIRY_BASE: Duration = Duration::from_millis(1500);
const EXPIRY_PER_MESSAGE: Duration = Duration::from_micros(250);
/// Waiting for notices ends when none has arrived for this long.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between two checks whether all notices have arrived.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Sizes and times of a run.
pub struct Plan {
    /// Numbers of queued messages, each measured with its own relay.
    pub queued: Vec<u32>,
    /// Numbers of messages that expire together, each measured with its own relay.
    pub expiring: Vec<u32>,
    /// Time for which an idle relay with a backlog is observed.
    pub observation: Duration,
}

impl Plan {
    fn of(options: &Options) -> Plan {
        if options.quick {
            let queued = vec![2_500, 10_000, 40_000];
            return Plan { queued, expiring: vec![250, 1_000, 4_000], observation: Duration::from_secs(1) };
        }
        let mut queued = vec![10_000, 40_000, LARGEST_REGULAR_SIZE];
        if free_memory().is_some_and(|free| free >= MEMORY_FOR_LARGER_SIZE) {
            queued.push(640_000);
        }
        Plan {
            queued,
            expiring: vec![10_000, 40_000, LARGEST_REGULAR_SIZE],
            observation: Duration::from_secs(5),
        }
    }
}

/// Measures the sizes selected by the options.
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
        let mut queued = Vec::new();
        for &messages in &plan.queued {
            queued.push((messages, setup.measure_queued(messages, plan.observation).await?));
        }
        let mut expired = Vec::new();
        for &messages in &plan.expiring {
            expired.push((messages, setup.measure_expiry(messages).await?));
        }
        Ok(results(&queued, &expired))
    })
}

/// Readings of one relay with a backlog.
struct QueuedReading {
    /// Resident memory beyond that of the relay without messages, in bytes.
    memory: f64,
    /// Size of the state folder beyond its size without messages, in bytes.
    disk: f64,
    /// Processor time to accept one more message, in microseconds.
    accept_us: f64,
    /// Processor time per second of an idle relay with the backlog, in milliseconds.
    idle_ms: f64,
    /// Time from the restart after SIGKILL until the relay was ready.
    ready_s: f64,
    /// Resident memory directly after that, beyond that of the relay without messages, in bytes.
    memory_after: f64,
}

/// Readings of the expiry of many messages at the same time.
struct ExpiryReading {
    /// Processor time to accept one more message that expires at the same time as all others, in microseconds.
    accept_us: f64,
    /// Time from the first notice to the last.
    span_s: f64,
    /// Delay of the last notice after the expiry.
    late_s: f64,
    /// Processor time of the relay per message, in microseconds, from the last accepted message to the last notice.
    cpu_us: f64,
    /// Share of the accepted messages whose notice arrived.
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
            configuration(QueueCapacity::in_memory(messages), listen, list_service, self.seed)
        })
    }

    async fn measure_queued(
        &self,
        messages: u32,
        observation: Duration,
    ) -> Result<QueuedReading, CapacityError> {
        let peers = SimulatedPeers::start(DESTINATIONS)?;
        peers.silence(ALL_ZONES);
        let folder = self.folder("held", messages, peers.list_service)?;
        let process = folder.start().await?;
        settle(&process).await?;
        let (bare, bare_disk) = (process.usage()?, folder.state_bytes()?);

        let last = (f64::from(messages) * LAST_PART) as u32;
        fill(SUBJECT, &process, 0..messages - last, Expiry::After(HOUR)).await?;
        let before = process.usage()?;
        fill(SUBJECT, &process, messages - last..messages, Expiry::After(HOUR)).await?;
        let full = process.usage()?;
        settle(&process).await?;
        let disk = folder.state_bytes()?;
        let (idle, resident) = (process.usage()?, process.usage()?.resident);
        let start = Instant::now();
        sleep(observation).await;
        let idle_cpu = process.usage()?.cpu.saturating_sub(idle.cpu);
        let idle_ms = idle_cpu.as_secs_f64() * 1e3 / start.elapsed().as_secs_f64();
        let expired = peers.observations().noticed.len();
        if expired > 0 {
            return Err(failed(format!(
                "{expired} of {messages} messages ended although they should be queued"
            )));
        }

        process.kill().await?;
        let process = folder.start().await?;
        let after = process.usage()?;
        let ready_s = process.ready_after.as_secs_f64();
        process.kill().await?;
        clear(&self.folder);
        Ok(QueuedReading {
            memory: resident as f64 - bare.resident as f64,
            disk: disk as f64 - bare_disk as f64,
            accept_us: micros(full.cpu.saturating_sub(before.cpu), f64::from(last)),
            idle_ms,
            ready_s,
            memory_after: after.resident as f64 - bare.resident as f64,
        })
    }

    async fn measure_expiry(&self, messages: u32) -> Result<ExpiryReading, CapacityError> {
        let peers = SimulatedPeers::start(DESTINATIONS)?;
        peers.silence(ALL_ZONES);
        let folder = self.folder("expired", messages, peers.list_service)?;
        let process = folder.start().await?;
        let deadline = Instant::now() + EXPIRY_BASE + EXPIRY_PER_MESSAGE * messages;
        let last = (f64::from(messages) * LAST_PART) as u32;
        let first_accepted =
            fill(SUBJECT, &process, 0..messages - last, Expiry::At(deadline)).await?.accepted;
        let before_last = process.usage()?;
        let last_accepted =
            fill(SUBJECT, &process, messages - last..messages, Expiry::At(deadline)).await?.accepted;
        let (before, accepted) = (process.usage()?, first_accepted + last_accepted);
        let (mut seen, mut changed) = (0, deadline);
        while seen < accepted as usize && changed.max(deadline).elapsed() < NOTICE_TIMEOUT {
            sleep(POLL_INTERVAL).await;
            let now = peers.observations().noticed.len();
            if now != seen {
                (seen, changed) = (now, Instant::now());
            }
        }
        let after = process.usage()?;
        process.kill().await?;
        clear(&self.folder);
        let observations = peers.observations();
        let first = observations.noticed.values().min().copied().unwrap_or(deadline);
        let latest = observations.noticed.values().max().copied().unwrap_or(deadline);
        Ok(ExpiryReading {
            span_s: (latest - first).as_secs_f64(),
            accept_us: micros(before.cpu.saturating_sub(before_last.cpu), f64::from(last_accepted.max(1))),
            late_s: latest.saturating_duration_since(deadline).as_secs_f64(),
            cpu_us: micros(after.cpu.saturating_sub(before.cpu), f64::from(accepted.max(1))),
            noticed: observations.noticed.len() as f64 / f64::from(accepted.max(1)),
        })
    }
}

fn results(queued: &[(u32, QueuedReading)], expired: &[(u32, ExpiryReading)]) -> Measured {
    let of_queued =
        |name, unit, value: fn(&QueuedReading) -> f64| series(name, "messages held", unit, queued, value);
    let of_expired = |name, unit, value: fn(&ExpiryReading) -> f64| {
        series(name, "messages that end", unit, expired, value)
    };
    let lost = expired.iter().map(|(_, expired)| 1.0 - expired.noticed).fold(0.0, f64::max);
    let largest = queued.iter().map(|(messages, _)| f64::from(*messages)).fold(0.0, f64::max);
    let latest = expired.iter().map(|(_, expired)| expired.late_s).fold(0.0, f64::max);
    Measured {
        series: vec![
            of_queued("backlog.memory", "B", |reading| reading.memory),
            of_queued("backlog.memory_after_kill", "B", |reading| reading.memory_after),
            of_queued("backlog.disk", "B", |reading| reading.disk),
            of_queued("backlog.cpu_to_take_on", "us a message", |reading| reading.accept_us),
            of_queued("backlog.cpu_waiting", "ms a second", |reading| reading.idle_ms),
            of_queued("backlog.ready_after_kill", "s", |reading| reading.ready_s),
            of_expired("backlog.cpu_to_take_on_same_end", "us a message", |reading| reading.accept_us),
            of_expired("backlog.expiry_span", "s", |reading| reading.span_s),
            of_expired("backlog.expiry_late", "s", |reading| reading.late_s),
            of_expired("backlog.expiry_cpu", "us a message", |reading| reading.cpu_us),
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
