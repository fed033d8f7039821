//! The backlog report for operators: the response of the admin address, and its form as a table.
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

/// Most destinations in a report; those with the most messages are kept.
const MAX_DESTINATIONS: usize = 100;

/// The messages on disk, with the state of the store.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct BacklogReport {
    /// Number of messages on disk.
    pub messages: u64,
    /// Bytes of their IDs and payloads.
    pub bytes: u64,
    /// Bytes of the store's files.
    pub disk_bytes: u64,
    /// The most bytes that the files may have.
    pub disk_quota: u64,
    /// Number of messages in memory or being fetched.
    pub in_memory: u64,
    /// Whether the store accepts messages: `Healthy`, `Slow`, `Full` or `Failed`.
    pub health: String,
    /// Duration of the slowest operation of the store so far, in milliseconds.
    pub slowest_ms: u64,
    /// Number of places in the files found unreadable since the start.
    pub damaged: usize,
    /// Milliseconds until the earliest deadline, if there are messages.
    pub earliest_end_ms: Option<u64>,
    /// The destinations, those with the most messages first.
    pub destinations: Vec<DestinationReport>,
}

/// The messages of one destination.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct DestinationReport {
    /// The destination's number.
    pub destination: u64,
    /// Number of messages on disk.
    pub messages: u64,
    /// Bytes of their IDs and payloads.
    pub bytes: u64,
    /// Age of the oldest message, in milliseconds.
    pub oldest_ms: u64,
    /// Number of messages in memory or being fetched.
    pub in_memory: u32,
    /// The most of its messages that may be in memory.
    pub window: u32,
    /// Deliveries per second, if measured.
    pub delivered_per_s: Option<f64>,
    /// Time to deliver all messages at that rate, in seconds.
    pub empty_in_s: Option<f64>,
}

impl Backlog {
    /// Reports on the messages on disk, of all destinations or of one.
    ///
    /// # Errors
    /// Errors of the store.
    pub async fn report(&self, destination: Option<u64>) -> Result<BacklogReport, StoreError> {
        let overview = self.overview().await?;
        let earliest_deadline_in = self.earliest_deadline_in().await?;
        let mut destinations = self.by_destination(&overview, destination);
        let count = MAX_DESTINATIONS.min(destinations.len());
        destinations.sort_unstable_by_key(|report| std::cmp::Reverse(report.messages));
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
            earliest_end_ms: earliest_deadline_in.map(|left| left.as_millis() as u64),
            destinations,
        })
    }

    fn by_destination(&self, overview: &Overview, only: Option<u64>) -> Vec<DestinationReport> {
        let now = unix_millis(clock::now());
        let mut reports = BTreeMap::<u64, DestinationReport>::new();
        let selected = |lane: &&LaneSummary| only.is_none_or(|only| only == lane.lane.destination);
        for lane in overview.lanes.iter().filter(selected) {
            let report = reports.entry(lane.lane.destination).or_default();
            report.messages += lane.messages;
            report.bytes += lane.bytes;
            report.oldest_ms = report.oldest_ms.max(age_ms(now, lane.oldest_arrival));
        }
        let planner = self.planner.borrow();
        let complete = |(destination, mut report): (u64, DestinationReport)| {
            report.destination = destination;
            if let Some(stats) = planner.stats(self.now(), destination) {
                report.in_memory = stats.in_memory;
                report.window = stats.window;
                report.delivered_per_s = stats.rate;
                report.empty_in_s =
                    stats.rate.filter(|rate| *rate > 0.0).map(|rate| report.messages as f64 / rate);
            }
            report
        };
        reports.into_iter().map(complete).collect()
    }
}

fn age_ms(now: UnixMillis, arrived: UnixMillis) -> u64 {
    now.0.saturating_sub(arrived.0)
}

/// Fetches the report from a running relay.
///
/// # Errors
/// A description of the relay's error response, or of why there was none.
pub async fn fetch(address: SocketAddr, destination: Option<u64>) -> Result<BacklogReport, String> {
    let path = destination.map_or("/-/backlog".to_owned(), |number| format!("/-/backlog/{number}"));
    let body = admin_client::get(address, &path).await?;
    serde_json::from_slice(&body).map_err(|e| format!("the relay's response cannot be decoded: {e}"))
}

/// Formats the report as a table.
pub fn table(report: &BacklogReport) -> String {
    let BacklogReport { messages, bytes, disk_bytes, disk_quota, in_memory, health, .. } = report;
    let mut table = format!(
        "{messages} messages of {bytes} bytes on disk, {in_memory} in memory; files {disk_bytes} of \
         {disk_quota} bytes; store: {health}\n"
    );
    let header = ["destination", "messages", "bytes", "oldest_s", "memory", "window", "rate", "empty_in_s"];
    row(&mut table, header.map(str::to_owned));
    for destination in &report.destinations {
        let rounded = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.1}"));
        let cells = [
            destination.destination.to_string(),
            destination.messages.to_string(),
            destination.bytes.to_string(),
            (destination.oldest_ms / 1000).to_string(),
            destination.in_memory.to_string(),
            destination.window.to_string(),
            rounded(destination.delivered_per_s),
            rounded(destination.empty_in_s),
        ];
        row(&mut table, cells);
    }
    table
}

fn row(table: &mut String, cells: [String; 8]) {
    let [destination, rest @ ..] = cells;
    let rest = rest.map(|cell| format!(" {cell:>12}")).concat();
    writeln!(table, "{destination:<12}{rest}").expect("writing to a string never fails");
}
