//! Per-second counts and latency histograms of an experiment, and the figures computed from them. Free of
//! sockets.
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use crate::model::At;

/// Counts of one second of an experiment.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Second {
    pub second: usize,
    /// Messages submitted, accepted, refused, and not answered in time.
    pub handed_in: u32,
    pub taken: u32,
    pub refused: u32,
    pub unanswered: u32,
    /// Messages delivered before their deadline, and messages ended by a notice as failed or returned.
    pub delivered: u32,
    pub failed: u32,
    pub returned: u32,
    /// Calls received by partners, in total and by result.
    pub calls: u32,
    pub served: u32,
    pub turned_away: u32,
    pub broken: u32,
    /// Percentiles of the time from a message's scheduled submission until its delivery, in milliseconds.
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    /// Messages accepted but not yet ended at the end of the second.
    pub open: u32,
    /// Sums over all relay processes; 0 in virtual time.
    pub cpu_ms: f64,
    pub resident_kb: u64,
    pub descriptors: u32,
}

/// Load and capacity of one destination in one second.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct DestinationSecond {
    pub second: usize,
    pub offered: u32,
    pub served: u32,
    /// Number of calls that it could accept in that second, by its rate and its limit.
    pub takes: f64,
}

/// How a call is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallCategory {
    Served,
    TurnedAway,
    Broken,
}

/// Counters that are updated while an experiment runs.
pub struct Record {
    seconds: Vec<Second>,
    latencies: Vec<Histogram<u64>>,
    all_latencies: Histogram<u64>,
    answers: Histogram<u64>,
    /// Connections opened at each endpoint: the current second, the number opened in it, and the highest
    /// number in any second.
    opens_by_endpoint: BTreeMap<u32, (u64, u32, u32)>,
    opens_refused: u32,
    opens_all: u32,
    /// By destination and second.
    dests: BTreeMap<usize, BTreeMap<usize, DestinationSecond>>,
}

fn histogram() -> Histogram<u64> {
    // In microseconds, up to two minutes, with three significant digits.
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("valid bounds")
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    if histogram.is_empty() { 0.0 } else { histogram.value_at_quantile(quantile) as f64 / 1000.0 }
}

/// Destinations recorded individually; the others are counted in the totals only.
const MAX_FOLLOWED: usize = 64;

impl Default for Record {
    fn default() -> Self {
        Record {
            seconds: Vec::new(),
            latencies: Vec::new(),
            all_latencies: histogram(),
            answers: histogram(),
            opens_by_endpoint: BTreeMap::new(),
            opens_refused: 0,
            opens_all: 0,
            dests: BTreeMap::new(),
        }
    }
}

impl Record {
    pub fn second(&mut self, at: At) -> &mut Second {
        let index = at.as_secs() as usize;
        while self.seconds.len() <= index {
            self.seconds.push(Second { second: self.seconds.len(), ..Second::default() });
            self.latencies.push(histogram());
        }
        &mut self.seconds[index]
    }

    /// Counts a delivery; `latency` is the time since the message's scheduled submission.
    pub fn count_delivery(&mut self, at: At, latency: Duration) {
        self.second(at).delivered += 1;
        let micros = latency.as_micros().clamp(1, 120_000_000) as u64;
        self.latencies[at.as_secs() as usize].saturating_record(micros);
        self.all_latencies.saturating_record(micros);
    }

    /// Counts a connection opened at an endpoint that accepts at most `most` per second (0 for no limit).
    /// Returns false if the connection exceeds the limit and is refused.
    pub fn connection_opened(&mut self, at: At, endpoint: u32, most: u32) -> bool {
        let (second, count, peak) = self.opens_by_endpoint.entry(endpoint).or_default();
        if std::mem::replace(second, at.as_secs()) != at.as_secs() {
            *count = 0;
        }
        *count += 1;
        *peak = (*peak).max(*count);
        let accepted = most == 0 || *count <= most;
        self.opens_all += 1;
        self.opens_refused += u32::from(!accepted);
        accepted
    }

    /// Returns the highest number of connections opened at one endpoint within a second, the number refused,
    /// and the number opened at all endpoints.
    pub fn connection_counts(&self) -> (u32, u32, u32) {
        (
            self.opens_by_endpoint.values().map(|(.., peak)| *peak).max().unwrap_or(0),
            self.opens_refused,
            self.opens_all,
        )
    }

    /// Counts an answer; `latency` is the time since the message's scheduled submission.
    pub fn count_answer(&mut self, latency: Duration) {
        self.answers.saturating_record(latency.as_micros().clamp(1, 120_000_000) as u64);
    }

    /// Counts a call to a destination that currently accepts `capacity` calls per second.
    pub fn count_call(&mut self, at: At, dest: usize, category: CallCategory, capacity: f64) {
        let second = self.second(at);
        second.calls += 1;
        match category {
            CallCategory::Served => second.served += 1,
            CallCategory::TurnedAway => second.turned_away += 1,
            CallCategory::Broken => second.broken += 1,
        }
        if dest < MAX_FOLLOWED {
            let index = at.as_secs() as usize;
            let entry = self.dests.entry(dest).or_default().entry(index).or_default();
            entry.second = index;
            entry.offered += 1;
            entry.served += u32::from(category == CallCategory::Served);
            entry.takes = entry.takes.max(capacity);
        }
    }

    /// Returns `count` consecutive seconds of a destination, starting at `second`.
    pub fn destination_seconds(&self, dest: usize, second: usize, count: usize) -> Vec<DestinationSecond> {
        let dest = self.dests.get(&dest);
        let of = |s: usize| {
            dest.and_then(|d| d.get(&s))
                .copied()
                .unwrap_or(DestinationSecond { second: s, ..DestinationSecond::default() })
        };
        (second..second + count).map(of).collect()
    }

    pub fn seconds(mut self) -> (Vec<Second>, BTreeMap<usize, Vec<DestinationSecond>>) {
        for (second, latencies) in self.seconds.iter_mut().zip(&self.latencies) {
            (second.p50_ms, second.p90_ms, second.p99_ms) =
                (millis(latencies, 0.5), millis(latencies, 0.9), millis(latencies, 0.99));
        }
        let dests = self.dests.into_iter().map(|(dest, by)| (dest, by.into_values().collect()));
        (self.seconds, dests.collect())
    }

    /// Computes the figures over all seconds.
    pub fn figures(&self) -> BTreeMap<String, f64> {
        let sum = |of: fn(&Second) -> u32| self.seconds.iter().map(|s| f64::from(of(s))).sum::<f64>();
        let handed_in = sum(|s| s.handed_in);
        let figures = [
            ("handed_in", handed_in),
            ("taken", sum(|s| s.taken)),
            ("refused", sum(|s| s.refused)),
            ("unanswered", sum(|s| s.unanswered)),
            ("delivered", sum(|s| s.delivered)),
            ("failed", sum(|s| s.failed)),
            ("returned", sum(|s| s.returned)),
            ("calls", sum(|s| s.calls)),
            ("calls_turned_away", sum(|s| s.turned_away)),
            ("calls_broken", sum(|s| s.broken)),
            ("delivered_share", sum(|s| s.delivered) / handed_in.max(1.0)),
            ("delivered_p50_ms", millis(&self.all_latencies, 0.5)),
            ("delivered_p90_ms", millis(&self.all_latencies, 0.9)),
            ("delivered_p99_ms", millis(&self.all_latencies, 0.99)),
            ("answered_p50_ms", millis(&self.answers, 0.5)),
            ("answered_p99_ms", millis(&self.answers, 0.99)),
            (
                "answered_most_ms",
                if self.answers.is_empty() { 0.0 } else { self.answers.max() as f64 / 1000.0 },
            ),
        ];
        figures.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
    }
}

/// Writes the seconds as a CSV file.
pub fn write_csv(path: &Path, seconds: &[Second]) -> Result<(), String> {
    let fault = |e: csv::Error| format!("{}: {e}", path.display());
    let mut writer = csv::Writer::from_path(path).map_err(fault)?;
    seconds.iter().try_for_each(|second| writer.serialize(second)).map_err(fault)?;
    writer.flush().map_err(|e| format!("{}: {e}", path.display()))
}

#[cfg(test)]
mod tests;
