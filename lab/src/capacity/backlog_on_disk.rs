//! What a backlog costs a relay that keeps it on disk, and how it drains.
//!
//! As in [`super::backlog`], messages are for one destination whose endpoints never answer, but the relay's
//! own file has a section `[backlog]`. Each size has a relay process of its own. Where a backlog drains, the
//! endpoints answer from a moment on and take so many messages a second; the same is played beside it with
//! all messages in memory.
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::time::sleep;

use super::backlog_load::{
    DESTINATIONS, End, Filled, HOUR, Room, clear, configuration, fill, free_memory, micros, series, settle,
};
use super::process::{RelayFolder, RelayProcess};
use super::site::{Probe, Sample, histogram, run};
use super::stand_ins::{ALL_ZONES, Observations, StandIns};
use super::{CapacityError, Figure, Measured, Options};
use crate::relay;

const SUBJECT: &str = "backlog-on-disk";
/// The section of the relay's own file.
const MEMORY_MB: u32 = 32;
const DISK_MB: u32 = 8192;
/// Room in memory of a relay with a backlog on disk: it does not depend on what waits.
const ROOM: Room = Room { held: 16_384, disk_mb: 64.0 };
/// Messages a second that the endpoints take while a backlog drains.
const DRAIN_RATE: u32 = 2_000;
/// The worst part of a drain is told of windows of this length, one beginning each second.
const DRAIN_WINDOW: Duration = Duration::from_secs(10);
const DRAIN_STEP: Duration = Duration::from_secs(1);
/// A drain is waited for until no message has ended for so long.
const QUIET: Duration = Duration::from_secs(20);
/// How often it is looked whether all have ended, and how long a message that ends a second time is waited
/// for then.
const LOOK: Duration = Duration::from_millis(100);
const SECOND_END: Duration = Duration::from_millis(500);
/// Lines of a relay's log that are shown.
const WARNINGS_SHOWN: usize = 20;
/// The unit in which the system tells what it has given a file.
const BLOCK: u64 = 512;
/// Memory that must be free for the largest size, and the time that the size before may take: each takes four
/// times as long as the one before.
const LARGEST: u32 = 640_000;
const FREE_FOR_LARGEST: u64 = 4 << 30;
const TIME_BEFORE_LARGEST: Duration = Duration::from_secs(55);

/// Sizes and times of a run.
pub struct Plan {
    /// Messages held, a relay each.
    pub held: Vec<u32>,
    /// What is held is drained after the relay was killed, up to this size, to count messages lost or
    /// doubled.
    pub drained_after_kill: u32,
    /// Messages that drain at the endpoints' rate, once through the disk and once from memory. A size that
    /// stands several times is played as often.
    pub drained: Vec<u32>,
    /// Messages a second that the endpoints then take.
    pub drain_rate: u32,
    /// How long a relay that only waits is watched.
    pub watch: Duration,
}

impl Plan {
    fn of(options: &Options) -> Plan {
        let (drain_rate, watch) = (DRAIN_RATE, Duration::from_secs(if options.quick { 1 } else { 5 }));
        if options.quick {
            let (held, drained) = (vec![2_500, 10_000, 40_000], vec![2_500, 5_000]);
            return Plan { held, drained_after_kill: 2_500, drained, drain_rate, watch };
        }
        let mut held = vec![10_000, 40_000, 160_000];
        if free_memory().is_some_and(|free| free >= FREE_FOR_LARGEST) {
            held.push(LARGEST);
        }
        Plan { held, drained_after_kill: 160_000, drained: vec![40_000, 160_000], drain_rate, watch }
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
    let setup = Setup { program, folder: folder.path().to_owned(), seed };
    run(SUBJECT, async {
        let mut held = Vec::new();
        for &messages in &plan.held {
            let begun = Instant::now();
            held.push((messages, setup.hold(messages, plan).await?));
            if plan.held.last() == Some(&LARGEST) && begun.elapsed() > TIME_BEFORE_LARGEST {
                break;
            }
        }
        let mut drained = Vec::new();
        for &messages in &plan.drained {
            let on_disk = setup.drain(messages, plan.drain_rate, Storage::Disk).await?;
            let in_memory = setup.drain(messages, plan.drain_rate, Storage::Memory).await?;
            drained.push((messages, Pair { on_disk, in_memory }));
        }
        Ok(tell(&held, &drained))
    })
}

/// Where a relay keeps what cannot go soon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Storage {
    Disk,
    Memory,
}

/// What one relay that holds a backlog on disk took.
struct Held {
    /// Resident memory beyond that of the relay without messages, in bytes, and the most since its start.
    memory: f64,
    peak_memory: f64,
    /// Length of the files in the backlog's folder beyond that without messages, in bytes.
    disk: f64,
    /// Bytes that the file system has given them, the same way.
    disk_allocated: f64,
    /// Bytes of the relay's folder that lasts beyond those without messages.
    state: f64,
    /// Processor time to take a message on, over the whole fill, in microseconds.
    take_on_us: f64,
    /// Processor time a second while it only waits, in milliseconds.
    waiting_ms: f64,
    /// From the start after SIGKILL until it was ready.
    ready_s: f64,
    /// Resident memory right after that, beyond that of the relay without messages, in bytes.
    memory_after: f64,
    /// Longest answer to the probe during the fill.
    pause_ms: f64,
    filled: Filled,
    /// What became of the messages after the kill, where that was looked at.
    ends: Option<Ends>,
}

/// What became of messages that were taken on.
#[derive(Clone, Copy, Debug, Default)]
struct Ends {
    /// Neither delivered nor told as ended.
    lost: u64,
    /// Delivered again, or delivered and told as ended.
    doubled: u64,
}

impl Ends {
    fn of(observations: &Observations, messages: u32) -> Ends {
        let Observations { served, noticed, served_again } = observations;
        let ended = |message: &u64| served.contains_key(message) || noticed.contains_key(message);
        let both = noticed.keys().filter(|message| served.contains_key(message)).count() as u64;
        let lost = (0..u64::from(messages)).filter(|message| !ended(message)).count() as u64;
        Ends { lost, doubled: both + served_again }
    }
}

/// How a backlog drained.
struct Drained {
    /// Processor time of a message from the first one handed in to the last one's end, in microseconds.
    cpu_us: f64,
    /// Part of the endpoints' rate that was used, over the whole drain.
    share: f64,
    /// The same in the worst window.
    worst_share: f64,
    /// From the endpoints' return until the first delivery.
    first_s: f64,
    /// Longest and 99.9th part of the answers to the probe during the drain.
    pause_ms: f64,
    pause_p999_ms: f64,
    /// Longest answer during the fill.
    fill_pause_ms: f64,
    filled: Filled,
    ends: Ends,
}

/// The same drain through the disk and from memory.
struct Pair {
    on_disk: Drained,
    in_memory: Drained,
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
        let room = if storage == Storage::Disk { ROOM } else { Room::in_memory(messages) };
        let relay = RelayFolder::create(&self.program, &self.folder.join("relay"), |listen| {
            configuration(room, listen, list_service, self.seed)
        })?;
        if storage == Storage::Disk {
            let folder = self.backlog_folder().display().to_string();
            relay.write_own_file(&format!(
                "[backlog]\nfolder = {folder:?}\nmemory_mb = {MEMORY_MB}\ndisk_mb = {DISK_MB}\n"
            ))?;
        }
        Ok(relay)
    }

    async fn hold(&self, messages: u32, plan: &Plan) -> Result<Held, CapacityError> {
        let stand_ins = StandIns::start(DESTINATIONS)?;
        stand_ins.silence(ALL_ZONES);
        let relay = self.relay(messages, stand_ins.list_service, Storage::Disk)?;
        let process = relay.start().await?;
        settle(&process).await?;
        let bare = process.usage()?;
        let (bare_disk, bare_state) = (FolderSize::of(&self.backlog_folder()), relay.disk()?);

        let (filled, samples) = probed(&process, fill_all(&process, messages)).await?;
        let full = process.usage()?;
        settle(&process).await?;
        let (disk, state) = (FolderSize::of(&self.backlog_folder()), relay.disk()?);
        let waits = process.usage()?;
        let begun = Instant::now();
        sleep(plan.watch).await;
        let waited = process.usage()?;
        let waiting = waited.cpu.saturating_sub(waits.cpu);
        let waiting_ms = waiting.as_secs_f64() * 1e3 / begun.elapsed().as_secs_f64();
        let ended = stand_ins.observations().noticed.len();
        if ended > 0 {
            return Err(failed(format!("{ended} of {messages} messages ended while they were to wait")));
        }

        process.kill().await?;
        let process = relay.start().await?;
        let after = process.usage()?;
        let ready_s = process.ready_after.as_secs_f64();
        let mut ends = None;
        if messages <= plan.drained_after_kill {
            stand_ins.silence(0);
            ends = Some(all_ended(&stand_ins, messages).await?);
        }
        tell_warnings(&relay);
        process.kill().await?;
        clear(&self.folder);
        Ok(Held {
            memory: waits.resident as f64 - bare.resident as f64,
            peak_memory: waited.peak_resident as f64 - bare.resident as f64,
            disk: disk.length as f64 - bare_disk.length as f64,
            disk_allocated: disk.allocated as f64 - bare_disk.allocated as f64,
            state: state as f64 - bare_state as f64,
            take_on_us: micros(full.cpu.saturating_sub(bare.cpu), f64::from(messages)),
            waiting_ms,
            ready_s,
            memory_after: after.resident as f64 - bare.resident as f64,
            pause_ms: longest_ms(&samples),
            filled,
            ends,
        })
    }

    async fn drain(&self, messages: u32, rate: u32, storage: Storage) -> Result<Drained, CapacityError> {
        let stand_ins = StandIns::start(DESTINATIONS)?;
        stand_ins.silence(ALL_ZONES);
        let relay = self.relay(messages, stand_ins.list_service, storage)?;
        let process = relay.start().await?;
        settle(&process).await?;
        let before = process.usage()?;
        let (filled, fill_samples) = probed(&process, fill_all(&process, messages)).await?;
        stand_ins.limit_rate(rate);
        stand_ins.silence(0);
        let returned = Instant::now();
        let (ends, samples) = probed(&process, all_ended(&stand_ins, messages)).await?;
        let after = process.usage()?;
        tell_warnings(&relay);
        process.kill().await?;
        clear(&self.folder);
        let observations = stand_ins.observations();
        let mut served: Vec<_> =
            observations.served.values().map(|at| at.saturating_duration_since(returned)).collect();
        served.sort();
        let (first, last) = (served.first().copied(), served.last().copied());
        let last = last.ok_or_else(|| failed("nothing was delivered"))?;
        Ok(Drained {
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

async fn fill_all(process: &RelayProcess, messages: u32) -> Result<Filled, CapacityError> {
    fill(SUBJECT, process, 0..messages, End::EachAfter(HOUR)).await
}

/// What comes of something, and how long the relay took to answer meanwhile.
async fn probed<T>(
    process: &RelayProcess,
    done: impl Future<Output = Result<T, CapacityError>>,
) -> Result<(T, Vec<Sample>), CapacityError> {
    let probe = Probe::start(process.address);
    let result = done.await;
    let samples = probe.finish().map_err(failed)?;
    Ok((result?, samples))
}

/// Waits until all messages have ended, or no more do.
async fn all_ended(stand_ins: &StandIns, messages: u32) -> Result<Ends, CapacityError> {
    let (mut seen, mut changed) = (0, Instant::now());
    while seen < messages as usize && changed.elapsed() < QUIET {
        sleep(LOOK).await;
        let now = {
            let observations = stand_ins.observations();
            observations.served.len() + observations.noticed.len()
        };
        if now != seen {
            (seen, changed) = (now, Instant::now());
        }
    }
    sleep(SECOND_END).await;
    Ok(Ends::of(&stand_ins.observations(), messages))
}

/// Deliveries a second in the worst window from the endpoints' return to the last delivery; `served` is
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

/// What the files below a folder take.
#[derive(Clone, Copy, Debug, Default)]
struct FolderSize {
    /// Their lengths, in bytes.
    length: u64,
    /// Bytes that the file system has given them. A file that was made longer ahead of its use takes less
    /// than its length.
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

/// Shows what the relay warned of, which is part of the result.
fn tell_warnings(relay: &RelayFolder) {
    let log = relay.log();
    log.lines().take(WARNINGS_SHOWN).for_each(|line| eprintln!("{SUBJECT}: the relay's log: {line}"));
}

fn tell(held: &[(u32, Held)], drained: &[(u32, Pair)]) -> Measured {
    let of_held = |name, unit, value: fn(&Held) -> f64| series(name, "messages held", unit, held, value);
    let of_drained =
        |name, unit, value: fn(&Pair) -> f64| series(name, "messages drained", unit, drained, value);
    Measured {
        series: vec![
            of_held("backlog-on-disk.memory", "B", |held| held.memory),
            of_held("backlog-on-disk.memory_after_kill", "B", |held| held.memory_after),
            of_held("backlog-on-disk.disk", "B", |held| held.disk),
            of_held("backlog-on-disk.disk_allocated", "B", |held| held.disk_allocated),
            of_held("backlog-on-disk.state", "B", |held| held.state),
            of_held("backlog-on-disk.cpu_to_take_on", "us a message", |held| held.take_on_us),
            of_held("backlog-on-disk.cpu_waiting", "ms a second", |held| held.waiting_ms),
            of_held("backlog-on-disk.ready_after_kill", "s", |held| held.ready_s),
            of_held("backlog-on-disk.pause_fill", "ms", |held| held.pause_ms),
            of_held("backlog-on-disk.refused", "refusals", |held| f64::from(held.filled.refused)),
            of_held("backlog-on-disk.unanswered", "answers", |held| f64::from(held.filled.unanswered)),
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
        figures: figures(held, drained),
    }
}

fn figures(held: &[(u32, Held)], drained: &[(u32, Pair)]) -> Vec<Figure> {
    let on_disk = || drained.iter().map(|(_, pair)| &pair.on_disk);
    let in_memory = || drained.iter().map(|(_, pair)| &pair.in_memory);
    let ends = || held.iter().filter_map(|(_, held)| held.ends).chain(on_disk().map(|drained| drained.ends));
    let fills = || held.iter().map(|(_, held)| held.filled).chain(on_disk().map(|drained| drained.filled));
    let largest = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max);
    let sum = |values: &mut dyn Iterator<Item = u64>| values.sum::<u64>() as f64;
    let pauses = &mut on_disk().flat_map(|drained| [drained.pause_ms, drained.fill_pause_ms]);
    let pauses = largest(&mut pauses.chain(held.iter().map(|(_, held)| held.pause_ms)));
    let memory_ends = || in_memory().map(|drained| drained.ends);
    let figure = |name, unit, value| Figure { name, unit, value };
    vec![
        figure(
            "backlog-on-disk.largest_held",
            "messages",
            largest(&mut held.iter().map(|(size, _)| (*size).into())),
        ),
        figure(
            "backlog-on-disk.peak_memory",
            "B beyond the bare relay",
            largest(&mut held.iter().map(|(_, held)| held.peak_memory)),
        ),
        figure("backlog-on-disk.worst_pause", "ms", pauses),
        figure("backlog-on-disk.accepted", "messages", sum(&mut fills().map(|filled| filled.taken.into()))),
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
