//! Experiment files: their format and their validation. Every error names the key at fault.
use serde::{Deserialize, Serialize};
use std::path::Path;

use crate::arrivals::Load;
use crate::file;
use crate::model::{PartnerProfile, Trouble};
use crate::service::Costs;

/// An experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    /// Purpose of the experiment, shown in the report.
    #[serde(default)]
    pub about: String,
    #[serde(default = "one")]
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    #[serde(default)]
    pub relay: RelayTable,
    #[serde(rename = "partners")]
    pub partners: Vec<Partners>,
    pub load: Load,
    #[serde(default)]
    pub list: ListTable,
    #[serde(rename = "trouble", default)]
    pub troubles: Vec<TroubleTable>,
    /// Numbers of destinations to list. The experiment is run once for each; if empty, it is run with the
    /// number of partners.
    #[serde(default)]
    pub sizes: Vec<usize>,
    /// Number of repetitions of each size. Each repetition runs all sizes in order.
    #[serde(default = "one_time")]
    pub repeats: usize,
    /// Also run the experiment in virtual time.
    #[serde(default)]
    pub virtual_time: bool,
    /// Second at which a partner returns. If set, figures about the time after the return are computed.
    #[serde(default)]
    pub return_s: Option<f64>,
    #[serde(rename = "expect", default)]
    pub expectations: Vec<Expectation>,
}

/// Number of relays and their settings.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RelayTable {
    pub front: Front,
    pub count: usize,
    /// Number of relays according to the settings, if it differs from `count`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub told: Option<usize>,
    pub slots: u32,
    pub held: u32,
    pub sockets: usize,
    pub disk_mb: f64,
    pub memory_mb: f64,
    pub idle_close_ms: u64,
    /// Include each destination's calls per second in the list.
    pub weights: bool,
    /// Longest time that a relay may go without requesting the list.
    pub must_ask_in_ms: u64,
    /// Also run the experiment with the baseline proxy, for comparison (push interface only).
    pub floor: bool,
    /// Contents of the relay's own file.
    pub own: toml::Table,
}

impl Default for RelayTable {
    fn default() -> Self {
        RelayTable {
            front: Front::Platform,
            count: 1,
            told: None,
            slots: 64,
            held: 512,
            sockets: 1024,
            disk_mb: 16.0,
            memory_mb: 2048.0,
            idle_close_ms: 10_000,
            weights: false,
            must_ask_in_ms: 10_000,
            floor: false,
            own: toml::Table::new(),
        }
    }
}

/// The interface of the relay that is used.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Front {
    /// HTTP/1.1, with endpoints from discovery.
    Platform,
    /// HTTP/2 push gateways, listed in the relay's own file.
    Push,
}

/// A group of partners with the same properties.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Partners {
    pub count: usize,
    /// Number of endpoints per partner.
    #[serde(default = "one_time")]
    pub endpoints: usize,
    #[serde(default)]
    pub nature: PartnerProfile,
}

/// Behaviour of the emulated discovery service.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListTable {
    /// Delay in seconds before a change is published.
    pub late_s: f64,
    /// Outages, as start and end in seconds.
    pub down: Vec<(f64, f64)>,
    /// Number of times the full list is published again before the load starts.
    pub told_again: usize,
    /// Seconds at which the full list is published again with every weight changed.
    pub told_at: Vec<f64>,
    /// Include the start times of endpoints in the list.
    pub starts: bool,
    /// Costs of calls to discovery.
    pub service: Costs,
}

/// An event or a temporary fault at a partner.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TroubleTable {
    pub at_s: f64,
    #[serde(default)]
    pub for_s: f64,
    /// Index of the destination.
    pub dest: usize,
    pub kind: Event,
    /// The list does not reflect the event.
    #[serde(default)]
    pub unlisted: bool,
}

/// What happens to a partner.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// It is listed as draining and stops at the end of the span.
    Drain,
    /// It stops, and restarts cold with the same ids.
    Restart,
    /// It stops, and restarts cold with new ids at the same addresses.
    Replace,
    /// It stops, and restarts cold with the same ids at other addresses.
    Move,
    #[serde(untagged)]
    Trouble(Trouble),
}

/// Bounds on a figure of the result.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    pub figure: String,
    #[serde(default)]
    pub most: Option<f64>,
    #[serde(default)]
    pub least: Option<f64>,
}

impl Expectation {
    /// Whether the figure is within its bounds. A missing figure is not.
    pub fn holds(&self, value: Option<f64>) -> bool {
        value.is_some_and(|v| {
            self.most.is_none_or(|most| v <= most) && self.least.is_none_or(|least| v >= least)
        })
    }
}

fn one() -> u64 {
    1
}

fn one_time() -> usize {
    1
}

/// Maximum number of endpoints: each has its own address in 127/8.
const MAX_ENDPOINTS: usize = 1 << 22;

impl Experiment {
    /// Reads and validates a file.
    pub fn read(path: &Path) -> Result<Experiment, String> {
        file::read(path, Experiment::parse)
    }

    /// Parses and validates the text of a file.
    pub fn parse(text: &str) -> Result<Experiment, String> {
        let experiment: Experiment = file::decode(text)?;
        experiment.check()?;
        Ok(experiment)
    }

    /// Validates the values. The error starts with the key at fault.
    pub fn check(&self) -> Result<(), String> {
        let positive = |key: &str, value: f64| {
            if value > 0.0 && value.is_finite() {
                return Ok(());
            }
            Err(format!("{key}: {value} must be above 0"))
        };
        positive("seconds", self.seconds)?;
        positive("repeats", self.repeats as f64)?;
        positive("relay.count", self.relay.count as f64)?;
        positive("relay.disk_mb", self.relay.disk_mb)?;
        if self.relay.floor && self.relay.front != Front::Push {
            return Err("relay.floor: the baseline proxy supports the push interface only".into());
        }
        if self.partners.is_empty() {
            return Err("partners: at least one is required".into());
        }
        for (i, p) in self.partners.iter().enumerate() {
            let n = &p.nature;
            positive(&format!("partners[{i}].count"), p.count as f64)?;
            positive(&format!("partners[{i}].endpoints"), p.endpoints as f64)?;
            positive(&format!("partners[{i}].nature.rate"), n.rate)?;
            positive(&format!("partners[{i}].nature.latency_ms"), n.latency_ms)?;
            positive(&format!("partners[{i}].nature.cold_share"), n.cold_share)?;
            if !(0.0..=1.0).contains(&n.lost) {
                return Err(format!("partners[{i}].nature.lost: {} must be from 0 to 1", n.lost));
            }
            if !n.spread.is_finite() || n.spread < 0.0 {
                return Err(format!("partners[{i}].nature.spread: {} must not be negative", n.spread));
            }
            if n.limit.as_ref().is_some_and(|l| l.span_ms == 0 || l.calls == 0) {
                return Err(format!("partners[{i}].nature.limit: calls and span_ms must be above 0"));
            }
        }
        if let Some((key, why)) = self.list.service.fault() {
            return Err(format!("list.service.{key}: {why}"));
        }
        let (dests, endpoints) = (self.dests(), self.endpoints());
        let most = self.sizes.iter().copied().max().unwrap_or(0).max(endpoints);
        if most > MAX_ENDPOINTS {
            return Err(format!("partners: {most} endpoints exceed the maximum of {MAX_ENDPOINTS}"));
        }
        if self.load.busy == 0 || self.load.busy > dests {
            return Err(format!("load.busy: {} must be from 1 to {dests}", self.load.busy));
        }
        if let Some(i) = self.sizes.iter().position(|s| *s < self.load.busy) {
            return Err(format!("sizes[{i}]: must not be below load.busy"));
        }
        for (i, t) in self.troubles.iter().enumerate() {
            if t.dest >= dests {
                return Err(format!("trouble[{i}].dest: {} is not one of the {dests} destinations", t.dest));
            }
            let listed = !t.unlisted && !matches!(t.kind, Event::Trouble(_));
            if self.relay.front == Front::Push && (listed || t.kind == Event::Move) {
                return Err(format!(
                    "trouble[{i}].kind: the push interface has no list; the event must be unlisted and not a move"
                ));
            }
            if !(t.at_s >= 0.0 && t.for_s >= 0.0) {
                return Err(format!("trouble[{i}].at_s: at_s and for_s must not be negative"));
            }
        }
        for (i, (_, _, dest)) in self.load.clumps.iter().enumerate() {
            if *dest >= dests {
                return Err(format!("load.clumps[{i}]: {dest} is not one of the {dests} destinations"));
            }
        }
        for (i, e) in self.expectations.iter().enumerate() {
            if e.most.is_none() && e.least.is_none() {
                return Err(format!("expect[{i}]: most or least is required"));
            }
        }
        Ok(())
    }

    /// Number of destinations.
    pub fn dests(&self) -> usize {
        self.partners.iter().map(|p| p.count).sum()
    }

    pub fn endpoints(&self) -> usize {
        self.partners.iter().map(|p| p.count * p.endpoints).sum()
    }

    /// Returns the index of a destination's first endpoint, and the group of partners it belongs to. Groups
    /// are numbered consecutively. Destinations beyond those of the file, listed because of `sizes`, belong
    /// to the last group.
    pub fn locate(&self, dest: usize) -> (usize, &Partners) {
        let (mut first, mut remaining) = (0, dest);
        let (last, others) = self.partners.split_last().expect("at least one group, by check");
        for partners in others {
            if remaining < partners.count {
                return (first + remaining * partners.endpoints, partners);
            }
            first += partners.count * partners.endpoints;
            remaining -= partners.count;
        }
        (first + remaining * last.endpoints, last)
    }

    /// Returns the group of partners that a destination belongs to.
    pub fn partners_of(&self, dest: usize) -> &Partners {
        self.locate(dest).1
    }
}

#[cfg(test)]
mod tests;
