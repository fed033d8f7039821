//! Cost of a backlog stored on disk, and the rate at which it drains.
//!
//! As in [`super::backlog`], messages are for one destination whose endpoints never answer, but the relay's own
//! configuration file has a section `[backlog]`. Each size is measured with a relay process of its own. To drain a
//! backlog, the endpoints start to answer at a limited rate; the same drain is measured with all messages in memory for
//! comparison.
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::time::sleep;

use super::backlog_load::{
    DESTINATIONS, Expiry, FillOutcome, HOUR, QueueCapacity, clear, configuration, fill, free_memory, micros,
    series, settle,
};
use super::process::{RelayFolder, RelayProcess};
use super::simulated_peers::{ALL_ZONES, Observations, SimulatedPeers};
use super::site::{Probe, Sample, histogram, run};
use super::{CapacityError, Figure, Measured, Options};
use crate::relay;

const SUBJECT: &str = "backlog-on-disk";
/// Values of the section `[backlog]` of the relay's own configuration file.
const MEMORY_MB: u32 = 32;
const DISK_MB: u32 = 8192;
/// Queue capacity of a relay with a backlog on disk. It does not depend on the size of the backlog.
const CAPACITY: QueueCapacity = QueueCapacity { messages: 16_384, disk_mb: 64.0 };
/// Rate limit of the endpoints while a backlog drains, in messages per second.
const DRAIN_RATE: u32 = 2_000;
/// The slowest part of a drain is determined over windows of this length that start every `DRAIN_STEP`.
const DRAIN_WINDOW: Duration = Duration::from_secs(10);
const DRAIN_STEP: Duration = Duration::from_secs(1);
/// Waiting for a drain ends when no message has ended for this long.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks whether all messages have ended, and the time for which messages that end twice are
/// waited for afterwards.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const DUPLICATE_WAIT: Duration = Duration::from_millis(500);
/// Maximum number of lines of a relay's log that are printed.
const WARNINGS_SHOWN: usize = 20;
/// Unit of `st_blocks` in bytes.
const BLOCK: u64 = 512;
/// The largest size, the available memory in bytes that it requires, and the time that the size before it may take at
/// most: each size takes four times as long as the one before.
const LARGEST: u32 = 640_000;
const MEMORY_FOR_LARGEST: u64 = 4 << 30;
const TIME_BEFORE_LARGEST: Duration = Duration::from_secs(55);

/// Sizes and times of a run.
pub struct Plan {
    /// Numbers of queued messages, each measured with its own relay.
    pub queued: Vec<u32>,
    /// Backlogs up to this size are drained after the relay was killed and restarted, to count lost and duplicated
    /// messages.
    pub drained_after_kill: u32,
    /// Numbers of messages that drain at the endpoints' rate, once from disk and once from memory. A size that is listed
    /// several times is measured as often.
    pub drained: Vec<u32>,
    /// Rate limit of the endpoints during a drain, in messages per second.
    pub drain_rate: u32,
    /// Time for which an idle relay with a backlog is observed.
    pub observation: Duration,
}

impl Plan {
    fn of(options: &Options) -> Plan {
        let (drain_rate, observation) = (DRAIN_RATE, Duration::from_secs(if options.quick { 1 } else { 5 }));
        if options.quick {
            let (queued, drained) = (vec![2_500, 10_000, 40_000], vec![2_500, 5_000]);
            return Plan { queued, drained_after_kill: 2_500, drained, drain_rate, observation };
        }
        let mut queued = vec![10_000, 40_000, 160_000];
        if free_memory().is_some_and(|free| free >= MEMORY_FOR_LARGEST) {
            queued.push(LARGEST);
        }
        Plan { queued, drained_after_kill: 160_000, drained: vec![40_000, 160_000], drain_rate, observation }
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
    let setup = Setup { program, folder: folder.path().to_owned(), seed };
    run(SUBJECT, async {
        let mut queued = Vec::new();
        for &messages in &plan.queued {
            let start = Instant::now();
            queued.push((messages, setup.measure_queued(messages, plan).await?));
            if plan.queued.last() == Some(&LARGEST) && start.elapsed() > TIME_BEFORE_LARGEST {
                break;
            }
        }
        let mut drained = Vec::new();
        for &messages in &plan.drained {
            let on_disk = setup.measure_drain(messages, plan.drain_rate, Storage::Disk).await?;
            let in_memory = setup.measure_drain(messages, plan.drain_rate, Storage::Memory).await?;
            drained.push((messages, DrainPair { on_disk, in_memory }));
        }
        Ok(results(&queued, &drained))
    })
}

/// Where a relay stores a backlog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Storage {
    Disk,
    Memory,
}

/// Readings of one relay with a backlog on disk.
struct QueuedReading {
    /// Resident memory beyond that of the relay without messages, and its peak since the start, in bytes.
    memory: f64,
    peak_memory: f64,
    /// Total file length in the backlog's folder beyond that without messages, in bytes.
    disk: f64,
    /// Space allocated by the file system for these files beyond that without messages, in bytes.
    disk_allocated: f64,
    /// Size of the relay's state folder beyond that without messages, in bytes.
    state: f64,
    /// Processor time to accept a message, averaged over the whole fill, in microseconds.
    accept_us: f64,
    /// Processor time per second of an idle relay with the backlog, in milliseconds.
    idle_ms: f64,
    /// Time from the restart after SIGKILL until the relay was ready.
    ready_s: f64,
    /// Resident memory directly after that, beyond that of the relay without messages, in bytes.
    memory_after: f64,
    /// Longest response time of the probe during the fill.
    pause_ms: f64,
    filled: FillOutcome,
    /// Ends of the messages after the kill, if they were counted.
    ends: Option<EndCounts>,
}

/// Counts of accepted messages that did not end exactly once.
#[derive(Clone, Copy, Debug, Default)]
struct EndCounts {
    /// Messages neither delivered nor reported as ended.
    lost: u64,
    /// Repeated deliveries, and messages both delivered and reported as ended.
    doubled: u64,
}

impl EndCounts {
    fn of(observations: &Observations, messages: u32) -> EndCounts {
        let Observations { served, noticed, served_again } = observations;
        let ended = |message: &u64| served.contains_key(message) || noticed.contains_key(message);
        let both = noticed.keys().filter(|message| served.contains_key(message)).count() as u64;
        let lost = (0..u64::from(messages)).filter(|message| !ended(message)).count() as u64;
        EndCounts { lost, doubled: both + served_again }
    }
}

/// Readings of the drain of a backlog.
struct DrainReading {
    /// Processor time per message from the first submission to the last message's end, in microseconds.
    cpu_us: f64,
    /// Used share of the endpoints' rate limit, over the whole drain.
    share: f64,
    /// Used share in the slowest window.
    worst_share: f64,
    /// Time from the return of the endpoints until the first delivery.
    first_s: f64,
    /// Longest response time of the probe during the drain, and the 99.9th percentile.
    pause_ms: f64,
    pause_p999_ms: f64,
    /// Longest response time of the probe during the fill.
    fill_pause_ms: f64,
    filled: FillOutcome,
    ends: EndCounts,
}

/// Readings of the same drain from disk and from memory.
struct DrainPair {
    on_disk: DrainReading,
    in_memory: DrainReading,
}

struct Setup {
    program: PathBuf,
    folder: PathBuf,
    seed: u64,
}

impl Setup {
    fn backlog_folder(&self) -> PathBuf {
        self.folder.join("backlog")
    }

    fn relay(
        &self,
        messages: u32,
        list_service: SocketAddr,
        storage: Storage,
    ) -> Result<RelayFolder, CapacityError> {
        let capacity = if storage == Storage::Disk { CAPACITY } else { QueueCapacity::in_memory(messages) };
        let relay = RelayFolder::create(&self.program, &self.folder.join("relay"), |listen| {
            configuration(capacity, listen, list_service, self.seed)
        })?;
        if storage == Storage::Disk {
            let folder = self.backlog_folder().display().to_string();
            relay.write_own_file(&format!(
                "[backlog]\nfolder = {folder:?}\nmemory_mb = {MEMORY_MB}\ndisk_mb = {DISK_MB}\n"
            ))?;
        }
        Ok(relay)
    }

    async fn measure_queued(&self, messages: u32, plan: &Plan) -> Result<QueuedReading, CapacityError> {
        let peers = SimulatedPeers::start(DESTINATIONS)?;
        peers.silence(ALL_ZONES);
        let relay = self.relay(messages, peers.list_service, Storage::Disk)?;
        let process = relay.start().await?;
        settle(&process).await?;
        let bare = process.usage()?;
        let (bare_disk, bare_state) = (FolderSize::of(&self.backlog_folder()), relay.state_bytes()?);

        let (filled, samples) = probed(&process, fill_all(&process, messages)).await?;
        let full = process.usage()?;
        settle(&process).await?;
        let (disk, state) = (FolderSize::of(&self.backlog_folder()), relay.state_bytes()?);
        let idle = process.usage()?;
        let start = Instant::now();
        sleep(plan.observation).await;
        let observed = process.usage()?;
        let idle_cpu = observed.cpu.saturating_sub(idle.cpu);
        let idle_ms = idle_cpu.as_secs_f64() * 1e3 / start.elapsed().as_secs_f64();
        let expired = peers.observations().noticed.len();
        if expired > 0 {
            return Err(failed(format!(
                "{expired} of {messages} messages ended although they should be queued"
            )));
        }

        process.kill().await?;
        let process = relay.start().await?;
        let after = process.usage()?;
        let ready_s = process.ready_after.as_secs_f64();
        let mut ends = None;
        if messages <= plan.drained_after_kill {
            peers.silence(0);
            ends = Some(wait_until_ended(&peers, messages).await?);
        }
        print_warnings(&relay);
        process.kill().await?;
        clear(&self.folder);
        Ok(QueuedReading {
            memory: idle.resident as f64 - bare.resident as f64,
            peak_memory: observed.peak_resident as f64 - bare.resident as f64,
            disk: disk.length as f64 - bare_disk.length as f64,
            disk_allocated: disk.allocated as f64 - bare_disk.allocated as f64,
            state: state as f64 - bare_state as f64,
            accept_us: micros(full.cpu.saturating_sub(bare.cpu), f64::from(messages)),
            idle_ms,
            ready_s,
            memory_after: after.resident as f64 - bare.resident as f64,
            pause_ms: longest_ms(&samples),
            filled,
            ends,
        })
    }

    async fn measure_drain(
        &self,
        messages: u32,
        rate: u32,
        storage: Storage,
    ) -> Result<DrainReading, CapacityError> {
        let peers = SimulatedPeers::start(DESTINATIONS)?;
        peers.silence(ALL_ZONES);
        let relay = self.relay(messages, peers.list_service, storage)?;
        let process = relay.start().await?;
        settle(&process).await?;
        let before = process.usage()?;
        let (filled, fill_samples) = probed(&process, fill_all(&process, messages)).await?;
        peers.limit_rate(rate);
        peers.silence(0);
        let returned = Instant::now();
        let (ends, samples) = probed(&process, wait_until_ended(&peers, messages)).await?;
        let after = process.usage()?;
        print_warnings(&relay);
        process.kill().await?;
        clear(&self.folder);
        let observations = peers.observations();
        let mut served: Vec<_> =
            observations.served.values().map(|at| at.saturating_duration_since(returned)).collect();
        served.sort();
        let (first, last) = (served.first().copied(), served.last().copied());
        let last = last.ok_or_else(|| failed("no message was delivered"))?;
        Ok(DrainReading {
            cpu_us: micros(after.cpu.saturating_sub(before.cpu), f64::from(messages)),
            share: served.len() as f64 / last.as_secs_f64() / f64::from(rate),
            worst_share: worst_rate(&served) / f64::from(rate),
            first_s: first.unwrap_or(last).as_secs_f64(),
            pause_ms: longest_ms(&samples),
            pause_p999_ms: quantile_ms(&samples, 0.999),
            fill_pause_ms: longest_ms(&fill_samples),
            filled,
            ends,
        })
    }
}

async fn fill_all(process: &RelayProcess, messages: u32) -> Result<FillOutcome, CapacityError> {
    fill(SUBJECT, process, 0..messages, Expiry::After(HOUR)).await
}

/// Runs an operation while the probe queries the relay. Returns the operation's result and the probe's samples.
async fn probed<T>(
    process: &RelayProcess,
    operation: impl Future<Output = Result<T, CapacityError>>,
) -> Result<(T, Vec<Sample>), CapacityError> {
    let probe = Probe::start(process.address);
    let result = operation.await;
    let samples = probe.finish().map_err(failed)?;
    Ok((result?, samples))
}

/// Waits until all messages have ended, or until none has ended for [`DRAIN_TIMEOUT`].
async fn wait_until_ended(peers: &SimulatedPeers, messages: u32) -> Result<EndCounts, CapacityError> {
    let (mut seen, mut changed) = (0, Instant::now());
    while seen < messages as usize && changed.elapsed() < DRAIN_TIMEOUT {
        sleep(POLL_INTERVAL).await;
        let now = {
            let observations = peers.observations();
            observations.served.len() + observations.noticed.len()
        };
        if now != seen {
            (seen, changed) = (now, Instant::now());
        }
    }
    sleep(DUPLICATE_WAIT).await;
    Ok(EndCounts::of(&peers.observations(), messages))
}

/// Deliveries per second in the slowest window between the endpoints' return and the last delivery. `served` must be
/// sorted.
fn worst_rate(served: &[Duration]) -> f64 {
    let last = served.last().copied().unwrap_or_default();
    if last <= DRAIN_WINDOW {
        return served.len() as f64 / last.as_secs_f64();
    }
    let before = |time: Duration| served.partition_point(|at| *at < time);
    let starts = (0..).map(|step| DRAIN_STEP * step).take_while(|start| *start + DRAIN_WINDOW <= last);
    let counts = starts.map(|start| before(start + DRAIN_WINDOW) - before(start));
    counts.min().unwrap_or(0) as f64 / DRAIN_WINDOW.as_secs_f64()
}

fn longest_ms(samples: &[Sample]) -> f64 {
    quantile_ms(samples, 1.0)
}

fn quantile_ms(samples: &[Sample], quantile: f64) -> f64 {
    let (Some(first), Some(last)) = (samples.first(), samples.last()) else { return 0.0 };
    let after_last = last.intended + Duration::from_nanos(1);
    histogram(samples, first.intended, after_last).value_at_quantile(quantile) as f64 / 1e3
}

/// Size of the files in a folder and its subfolders.
#[derive(Clone, Copy, Debug, Default)]
struct FolderSize {
    /// Total file length in bytes.
    length: u64,
    /// Space allocated by the file system in bytes. It is less than the length for a file that was extended ahead of its
    /// use.
    allocated: u64,
}

impl FolderSize {
    fn of(folder: &Path) -> FolderSize {
        let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
        let size = |entry: std::fs::DirEntry| match entry.metadata() {
            Ok(metadata) if metadata.is_dir() => FolderSize::of(&entry.path()),
            Ok(metadata) => FolderSize { length: metadata.len(), allocated: metadata.blocks() * BLOCK },
            Err(_) => FolderSize::default(),
        };
        entries.map(size).fold(FolderSize::default(), |sum, size| FolderSize {
            length: sum.length + size.length,
            allocated: sum.allocated + size.allocated,
        })
    }
}

/// Prints the relay's warnings, which are part of the result.
fn print_warnings(relay: &RelayFolder) {
    let log = relay.log();
    log.lines().take(WARNINGS_SHOWN).for_each(|line| eprintln!("{SUBJECT}: relay log: {line}"));
}

fn results(queued: &[(u32, QueuedReading)], drained: &[(u32, DrainPair)]) -> Measured {
    let of_queued =
        |name, unit, value: fn(&QueuedReading) -> f64| series(name, "messages held", unit, queued, value);
    let of_drained =
        |name, unit, value: fn(&DrainPair) -> f64| series(name, "messages drained", unit, drained, value);
    Measured {
        series: vec![
            of_queued("backlog-on-disk.memory", "B", |reading| reading.memory),
            of_queued("backlog-on-disk.memory_after_kill", "B", |reading| reading.memory_after),
            of_queued("backlog-on-disk.disk", "B", |reading| reading.disk),
            of_queued("backlog-on-disk.disk_allocated", "B", |reading| reading.disk_allocated),
            of_queued("backlog-on-disk.state", "B", |reading| reading.state),
            of_queued("backlog-on-disk.cpu_to_take_on", "us a message", |reading| reading.accept_us),
            of_queued("backlog-on-disk.cpu_waiting", "ms a second", |reading| reading.idle_ms),
            of_queued("backlog-on-disk.ready_after_kill", "s", |reading| reading.ready_s),
            of_queued("backlog-on-disk.pause_fill", "ms", |reading| reading.pause_ms),
            of_queued("backlog-on-disk.refused", "refusals", |reading| f64::from(reading.filled.refused)),
            of_queued("backlog-on-disk.unanswered", "answers", |reading| {
                f64::from(reading.filled.unanswered)
            }),
            of_drained("backlog-on-disk.drain_share", "of the endpoints' rate", |pair| pair.on_disk.share),
            of_drained("backlog-on-disk.drain_share_memory", "of the endpoints' rate", |pair| {
                pair.in_memory.share
            }),
            of_drained("backlog-on-disk.drain_worst_share", "of the endpoints' rate", |pair| {
                pair.on_disk.worst_share
            }),
            of_drained("backlog-on-disk.drain_worst_share_memory", "of the endpoints' rate", |pair| {
                pair.in_memory.worst_share
            }),
            of_drained("backlog-on-disk.drain_first", "s", |pair| pair.on_disk.first_s),
            of_drained("backlog-on-disk.drain_first_memory", "s", |pair| pair.in_memory.first_s),
            of_drained("backlog-on-disk.cpu_whole", "us a message", |pair| pair.on_disk.cpu_us),
            of_drained("backlog-on-disk.cpu_whole_memory", "us a message", |pair| pair.in_memory.cpu_us),
            of_drained("backlog-on-disk.cpu_ratio", "times", |pair| {
                pair.on_disk.cpu_us / pair.in_memory.cpu_us
            }),
            of_drained("backlog-on-disk.pause_drain", "ms", |pair| pair.on_disk.pause_ms),
            of_drained("backlog-on-disk.pause_drain_memory", "ms", |pair| pair.in_memory.pause_ms),
            of_drained("backlog-on-disk.pause_drain_p999", "ms", |pair| pair.on_disk.pause_p999_ms),
            of_drained("backlog-on-disk.pause_drain_p999_memory", "ms", |pair| pair.in_memory.pause_p999_ms),
            of_drained("backlog-on-disk.pause_fill_memory", "ms", |pair| pair.in_memory.fill_pause_ms),
        ],
        figures: figures(queued, drained),
    }
}

fn figures(queued: &[(u32, QueuedReading)], drained: &[(u32, DrainPair)]) -> Vec<Figure> {
    let on_disk = || drained.iter().map(|(_, pair)| &pair.on_disk);
    let in_memory = || drained.iter().map(|(_, pair)| &pair.in_memory);
    let ends =
        || queued.iter().filter_map(|(_, reading)| reading.ends).chain(on_disk().map(|drained| drained.ends));
    let fills =
        || queued.iter().map(|(_, reading)| reading.filled).chain(on_disk().map(|drained| drained.filled));
    let largest = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max);
    let sum = |values: &mut dyn Iterator<Item = u64>| values.sum::<u64>() as f64;
    let pauses = &mut on_disk().flat_map(|drained| [drained.pause_ms, drained.fill_pause_ms]);
    let pauses = largest(&mut pauses.chain(queued.iter().map(|(_, reading)| reading.pause_ms)));
    let memory_ends = || in_memory().map(|drained| drained.ends);
    let figure = |name, unit, value| Figure { name, unit, value };
    vec![
        figure(
            "backlog-on-disk.largest_held",
            "messages",
            largest(&mut queued.iter().map(|(size, _)| (*size).into())),
        ),
        figure(
            "backlog-on-disk.peak_memory",
            "B beyond the bare relay",
            largest(&mut queued.iter().map(|(_, reading)| reading.peak_memory)),
        ),
        figure("backlog-on-disk.worst_pause", "ms", pauses),
        figure(
            "backlog-on-disk.accepted",
            "messages",
            sum(&mut fills().map(|filled| filled.accepted.into())),
        ),
        figure(
            "backlog-on-disk.all_refused",
            "refusals",
            sum(&mut fills().map(|filled| filled.refused.into())),
        ),
        figure(
            "backlog-on-disk.all_unanswered",
            "answers",
            sum(&mut fills().map(|filled| filled.unanswered.into())),
        ),
        figure("backlog-on-disk.lost", "messages", sum(&mut ends().map(|ends| ends.lost))),
        figure("backlog-on-disk.doubled", "ends", sum(&mut ends().map(|ends| ends.doubled))),
        figure("backlog-on-disk.lost_memory", "messages", sum(&mut memory_ends().map(|ends| ends.lost))),
        figure("backlog-on-disk.doubled_memory", "ends", sum(&mut memory_ends().map(|ends| ends.doubled))),
    ]
}

fn failed(reason: impl Into<String>) -> CapacityError {
    CapacityError::Measurement { subject: SUBJECT, reason: reason.into() }
}
