//! What was seen, second by second, and the result made of it. Owns counts and histograms; knows no sockets.
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use crate::model::At;

/// One second of an experiment.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Second {
    pub second: usize,
    /// Messages handed in, taken on, refused, and not answered in time.
    pub handed_in: u32,
    pub taken: u32,
    pub refused: u32,
    pub unanswered: u32,
    /// Messages delivered in their time, and ended by a notice.
    pub delivered: u32,
    pub failed: u32,
    pub returned: u32,
    /// Calls that partners got, by what became of them.
    pub calls: u32,
    pub served: u32,
    pub turned_away: u32,
    pub broken: u32,
    /// From when a message should have been handed in until it was delivered, in milliseconds.
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    /// Messages taken on and not ended, at the second's end.
    pub open: u32,
    /// Of the relays together, where there are processes.
    pub cpu_ms: f64,
    pub resident_kb: u64,
    pub descriptors: u32,
}

/// What one destination got in a second, and what it could take.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Taken {
    pub second: usize,
    pub offered: u32,
    pub served: u32,
    /// What it takes in that second, by its rate and its limit.
    pub takes: f64,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Called {
    Served,
    TurnedAway,
    Broken,
}

/// Counts while an experiment runs.
pub struct Record {
    seconds: Vec<Second>,
    latencies: Vec<Histogram<u64>>,
    all: Histogram<u64>,
    answers: Histogram<u64>,
    /// Connections opened at each endpoint: the second, how many in it, and the most in any.
    opens: BTreeMap<u32, (u64, u32, u32)>,
    opens_refused: u32,
    opens_all: u32,
    /// By destination and second.
    dests: BTreeMap<usize, BTreeMap<usize, Taken>>,
}

fn histogram() -> Histogram<u64> {
    // Microseconds up to two minutes, three digits.
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("sound bounds")
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    if histogram.is_empty() { 0.0 } else { histogram.value_at_quantile(quantile) as f64 / 1000.0 }
}

/// Destinations followed one by one; the others only count in all.
const FOLLOWED: usize = 64;

impl Default for Record {
    fn default() -> Self {
        Record {
            seconds: Vec::new(),
            latencies: Vec::new(),
            all: histogram(),
            answers: histogram(),
            opens: BTreeMap::new(),
            opens_refused: 0,
            opens_all: 0,
            dests: BTreeMap::new(),
        }
    }
}

impl Record {
    pub fn second(&mut self, at: At) -> &mut Second {
        let place = at.as_secs() as usize;
        while self.seconds.len() <= place {
            self.seconds.push(Second { second: self.seconds.len(), ..Second::default() });
            self.latencies.push(histogram());
        }
        &mut self.seconds[place]
    }

    /// A message was delivered so long after it should have been handed in.
    pub fn delivered(&mut self, at: At, took: Duration) {
        self.second(at).delivered += 1;
        let micros = took.as_micros().clamp(1, 120_000_000) as u64;
        self.latencies[at.as_secs() as usize].saturating_record(micros);
        self.all.saturating_record(micros);
    }

    /// A connection is opened at an endpoint that takes so many in a second (0 is any number); false if it is refused.
    pub fn opened(&mut self, at: At, endpoint: u32, most: u32) -> bool {
        let (second, count, peak) = self.opens.entry(endpoint).or_default();
        if std::mem::replace(second, at.as_secs()) != at.as_secs() {
            *count = 0;
        }
        *count += 1;
        *peak = (*peak).max(*count);
        let taken = most == 0 || *count <= most;
        self.opens_all += 1;
        self.opens_refused += u32::from(!taken);
        taken
    }

    /// Connections opened at one endpoint in its worst second, and those refused and all opened at any of them.
    pub fn connection_counts(&self) -> (u32, u32, u32) {
        (self.opens.values().map(|(.., peak)| *peak).max().unwrap_or(0), self.opens_refused, self.opens_all)
    }

    /// A message had its answer so long after it should have been handed in.
    pub fn answered(&mut self, took: Duration) {
        self.answers.saturating_record(took.as_micros().clamp(1, 120_000_000) as u64);
    }

    /// A destination that takes so many a second got a call.
    pub fn called(&mut self, at: At, dest: usize, what: Called, takes: f64) {
        let second = self.second(at);
        second.calls += 1;
        match what {
            Called::Served => second.served += 1,
            Called::TurnedAway => second.turned_away += 1,
            Called::Broken => second.broken += 1,
        }
        if dest < FOLLOWED {
            let place = at.as_secs() as usize;
            let taken = self.dests.entry(dest).or_default().entry(place).or_default();
            taken.second = place;
            taken.offered += 1;
            taken.served += u32::from(what == Called::Served);
            taken.takes = taken.takes.max(takes);
        }
    }

    /// What a destination got from a second on, for so many.
    pub fn from(&self, dest: usize, second: usize, count: usize) -> Vec<Taken> {
        let dest = self.dests.get(&dest);
        let of = |s: usize| {
            dest.and_then(|d| d.get(&s)).copied().unwrap_or(Taken { second: s, ..Taken::default() })
        };
        (second..second + count).map(of).collect()
    }

    pub fn seconds(mut self) -> (Vec<Second>, BTreeMap<usize, Vec<Taken>>) {
        for (second, latencies) in self.seconds.iter_mut().zip(&self.latencies) {
            (second.p50_ms, second.p90_ms, second.p99_ms) =
                (millis(latencies, 0.5), millis(latencies, 0.9), millis(latencies, 0.99));
        }
        let dests = self.dests.into_iter().map(|(dest, by)| (dest, by.into_values().collect()));
        (self.seconds, dests.collect())
    }

    /// The figures over all seconds.
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
            ("delivered_p50_ms", millis(&self.all, 0.5)),
            ("delivered_p90_ms", millis(&self.all, 0.9)),
            ("delivered_p99_ms", millis(&self.all, 0.99)),
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
