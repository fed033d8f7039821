//! What those who run the relay are told of its backlog: the answer of the second address, and its table.
use onyxglade_backlog::message::{LaneSummary, UnixMillis};
use onyxglade_backlog::store::StoreError;
use onyxglade_backlog::worker::Overview;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use super::{Backlog, unix_millis};
use crate::admin_client;
use crate::clock;

/// Most destinations that are told at once, those with the most messages.
const MOST_DESTINATIONS: usize = 100;

/// What waits on disk.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct BacklogReport {
    /// Messages.
    pub messages: u64,
    /// Bytes of their ids and payloads.
    pub bytes: u64,
    /// Bytes of the files, and how many there may be.
    pub disk_bytes: u64,
    /// The quota of the files.
    pub disk_quota: u64,
    /// Messages in memory, or on their way there.
    pub in_memory: u64,
    /// Whether the store takes messages: `Healthy`, `Slow`, `Full` or `Failed`.
    pub health: String,
    /// The slowest operation of the store so far, in milliseconds.
    pub slowest_ms: u64,
    /// Places that could not be read since the start.
    pub damaged: usize,
    /// Milliseconds until the first message ends, if one waits.
    pub earliest_end_ms: Option<u64>,
    /// By destination, those with the most messages first.
    pub destinations: Vec<DestinationReport>,
}

/// What waits for one destination.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct DestinationReport {
    /// Its number.
    pub destination: u64,
    /// Messages on disk.
    pub messages: u64,
    /// Bytes of their ids and payloads.
    pub bytes: u64,
    /// How long the oldest has waited, in milliseconds.
    pub oldest_ms: u64,
    /// Messages in memory, or on their way there.
    pub in_memory: u32,
    /// How many of its messages may be in memory.
    pub window: u32,
    /// Deliveries a second, if they were measured.
    pub delivered_per_s: Option<f64>,
    /// When all that waits is delivered at that rate, in seconds.
    pub empty_in_s: Option<f64>,
}

impl Backlog {
    /// What waits on disk, of all destinations or of one.
    ///
    /// # Errors
    /// When the store cannot tell.
    pub async fn report(&self, destination: Option<u64>) -> Result<BacklogReport, StoreError> {
        let overview = self.overview().await?;
        let earliest_end = self.earliest_end().await?;
        let mut destinations = self.by_destination(&overview, destination);
        let count = MOST_DESTINATIONS.min(destinations.len());
        destinations.sort_unstable_by_key(|told| std::cmp::Reverse(told.messages));
        destinations.truncate(count);
        let planner = self.planner.borrow();
        Ok(BacklogReport {
            messages: overview.lanes.iter().map(|lane| lane.messages).sum(),
            bytes: overview.lanes.iter().map(|lane| lane.bytes).sum(),
            disk_bytes: overview.usage.disk_bytes,
            disk_quota: self.quota,
            in_memory: planner.slots_used(),
            health: format!("{:?}", planner.health()),
            slowest_ms: self.slowest().as_millis() as u64,
            damaged: overview.corruptions.len(),
            earliest_end_ms: earliest_end.map(|left| left.as_millis() as u64),
            destinations,
        })
    }

    fn by_destination(&self, overview: &Overview, only: Option<u64>) -> Vec<DestinationReport> {
        let now = unix_millis(clock::now());
        let mut reports = BTreeMap::<u64, DestinationReport>::new();
        let wanted = |lane: &&LaneSummary| only.is_none_or(|only| only == lane.lane.destination);
        for lane in overview.lanes.iter().filter(wanted) {
            let report = reports.entry(lane.lane.destination).or_default();
            report.messages += lane.messages;
            report.bytes += lane.bytes;
            report.oldest_ms = report.oldest_ms.max(waited(now, lane.oldest_arrival));
        }
        let planner = self.planner.borrow();
        let complete = |(destination, mut report): (u64, DestinationReport)| {
            report.destination = destination;
            if let Some(figures) = planner.stats(self.now(), destination) {
                report.in_memory = figures.in_memory;
                report.window = figures.window;
                report.delivered_per_s = figures.rate;
                report.empty_in_s =
                    figures.rate.filter(|rate| *rate > 0.0).map(|rate| report.messages as f64 / rate);
            }
            report
        };
        reports.into_iter().map(complete).collect()
    }
}

fn waited(now: UnixMillis, arrived: UnixMillis) -> u64 {
    now.0.saturating_sub(arrived.0)
}

/// Asks a running relay for its backlog.
///
/// # Errors
/// A text that says what the relay answered, or why it did not.
pub async fn ask(address: SocketAddr, destination: Option<u64>) -> Result<BacklogReport, String> {
    let path = destination.map_or("/-/backlog".to_owned(), |number| format!("/-/backlog/{number}"));
    let body = admin_client::get(address, &path).await?;
    serde_json::from_slice(&body).map_err(|e| format!("its answer cannot be read: {e}"))
}

/// The report as a table.
pub fn table(report: &BacklogReport) -> String {
    let BacklogReport { messages, bytes, disk_bytes, disk_quota, in_memory, health, .. } = report;
    let mut table = format!(
        "{messages} messages of {bytes} bytes on disk, {in_memory} in memory; files {disk_bytes} of \
         {disk_quota} bytes; store: {health}\n"
    );
    let header = ["destination", "messages", "bytes", "oldest_s", "memory", "window", "rate", "empty_in_s"];
    row(&mut table, header.map(str::to_owned));
    for told in &report.destinations {
        let rounded = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.1}"));
        let cells = [
            told.destination.to_string(),
            told.messages.to_string(),
            told.bytes.to_string(),
            (told.oldest_ms / 1000).to_string(),
            told.in_memory.to_string(),
            told.window.to_string(),
            rounded(told.delivered_per_s),
            rounded(told.empty_in_s),
        ];
        row(&mut table, cells);
    }
    table
}

fn row(table: &mut String, cells: [String; 8]) {
    let [destination, rest @ ..] = cells;
    let rest = rest.map(|cell| format!(" {cell:>12}")).concat();
    writeln!(table, "{destination:<12}{rest}").expect("a string takes all");
}
