//! The file that describes an experiment, read and checked here; every fault names its key.
use serde::{Deserialize, Serialize};
use std::path::Path;

use crate::arrivals::Load;
use crate::file;
use crate::model::{Nature, Trouble};
use crate::service::Costs;

/// An experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    /// What it is to show, for the report.
    #[serde(default)]
    pub about: String,
    #[serde(default = "one")]
    pub seed: u64,
    /// How long messages come, in seconds.
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
    /// Played once for each, with so many destinations listed; the partners' own count if absent.
    #[serde(default)]
    pub sizes: Vec<usize>,
    /// How often each size is played, the sizes by turns.
    #[serde(default = "one_time")]
    pub repeats: usize,
    /// The same in virtual time beside it.
    #[serde(default)]
    pub virtual_time: bool,
    /// Figures are drawn for the seconds from here on: the return of a partner.
    #[serde(default)]
    pub return_s: Option<f64>,
    #[serde(rename = "expect", default)]
    pub expectations: Vec<Expectation>,
}

/// The relays and the settings that they are told.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RelayTable {
    pub front: Front,
    pub count: usize,
    /// How many there are by the settings, where that is another number.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub told: Option<usize>,
    pub slots: u32,
    pub held: u32,
    pub sockets: usize,
    pub disk_mb: f64,
    pub idle_close_ms: u64,
    /// Calls a second of each destination are told in the list.
    pub weights: bool,
    /// Longest that a relay may go without asking for the list.
    pub must_ask_in_ms: u64,
    /// The same is played against a bare forwarder beside it (the second front only).
    pub floor: bool,
    /// The relay's own file, as a table of it.
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
            idle_close_ms: 10_000,
            weights: false,
            must_ask_in_ms: 10_000,
            floor: false,
            own: toml::Table::new(),
        }
    }
}

/// Which front is played.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Front {
    /// HTTP/1.1, with discovery.
    Platform,
    /// HTTP/2 push gateways; the relay's own file lists them.
    Push,
}

/// Partners that are alike.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Partners {
    pub count: usize,
    /// Endpoints of each.
    #[serde(default = "one_time")]
    pub endpoints: usize,
    #[serde(default)]
    pub nature: Nature,
}

/// Discovery.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListTable {
    /// What changes is told so many seconds late.
    pub late_s: f64,
    /// Spans in which it is down, from and to in seconds.
    pub down: Vec<(f64, f64)>,
    /// The whole list is told so often more before messages come.
    pub told_again: usize,
    /// The whole list is told at these seconds, with every weight changed.
    pub told_at: Vec<f64>,
    /// The time of each start is told.
    pub starts: bool,
    /// What calls cost it.
    pub service: Costs,
}

/// Something that is wrong for a while.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TroubleTable {
    pub at_s: f64,
    #[serde(default)]
    pub for_s: f64,
    /// The destination's place.
    pub dest: usize,
    pub kind: Event,
    /// The list says nothing of it.
    #[serde(default)]
    pub unlisted: bool,
}

/// What happens to a partner.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// Told as draining, and gone at the end.
    Drain,
    /// Gone, and back cold under the same ids.
    Restart,
    /// Gone, and back cold under new ids at the same addresses.
    Replace,
    /// Gone, and back cold under the same ids at other addresses.
    Move,
    #[serde(untagged)]
    Trouble(Trouble),
}

/// A figure of the result and its bounds.
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
    /// Whether a figure is within its bounds; one that is missing is not.
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

/// Most endpoints: each has an address of its own in 127/8.
const MOST_ENDPOINTS: usize = 1 << 22;

impl Experiment {
    /// Reads a file.
    pub fn read(path: &Path) -> Result<Experiment, String> {
        file::read(path, Experiment::parse)
    }

    /// The same from the file's text.
    pub fn parse(text: &str) -> Result<Experiment, String> {
        let experiment: Experiment = file::decode(text)?;
        experiment.check()?;
        Ok(experiment)
    }

    /// The first fault, with its key.
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
            return Err("relay.floor: only the second front has one".into());
        }
        if self.partners.is_empty() {
            return Err("partners: there are none".into());
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
        if most > MOST_ENDPOINTS {
            return Err(format!("partners: {most} endpoints are too many; {MOST_ENDPOINTS} at most"));
        }
        if self.load.busy == 0 || self.load.busy > dests {
            return Err(format!("load.busy: {} must be from 1 to {dests}", self.load.busy));
        }
        if let Some(i) = self.sizes.iter().position(|s| *s < self.load.busy) {
            return Err(format!("sizes[{i}]: fewer than load.busy"));
        }
        for (i, t) in self.troubles.iter().enumerate() {
            if t.dest >= dests {
                return Err(format!("trouble[{i}].dest: {} is none of {dests}", t.dest));
            }
            let listed = !t.unlisted && !matches!(t.kind, Event::Trouble(_));
            if self.relay.front == Front::Push && (listed || t.kind == Event::Move) {
                return Err(format!(
                    "trouble[{i}].kind: no list tells it to the second front; unlisted, and no move"
                ));
            }
            if !(t.at_s >= 0.0 && t.for_s >= 0.0) {
                return Err(format!("trouble[{i}].at_s: it and for_s must not be negative"));
            }
        }
        for (i, (_, _, dest)) in self.load.clumps.iter().enumerate() {
            if *dest >= dests {
                return Err(format!("load.clumps[{i}]: destination {dest} is none of {dests}"));
            }
        }
        for (i, e) in self.expectations.iter().enumerate() {
            if e.most.is_none() && e.least.is_none() {
                return Err(format!("expect[{i}]: neither most nor least is given"));
            }
        }
        Ok(())
    }

    /// Destinations.
    pub fn dests(&self) -> usize {
        self.partners.iter().map(|p| p.count).sum()
    }

    pub fn endpoints(&self) -> usize {
        self.partners.iter().map(|p| p.count * p.endpoints).sum()
    }

    /// The place of a destination's first endpoint, and the partners that it is of. Those of one kind stand in a row;
    /// what sizes list beyond the file's own is of the last kind.
    pub fn locate(&self, dest: usize) -> (usize, &Partners) {
        let (mut first, mut left) = (0, dest);
        let (last, others) = self.partners.split_last().expect("checked");
        for partners in others {
            if left < partners.count {
                return (first + left * partners.endpoints, partners);
            }
            first += partners.count * partners.endpoints;
            left -= partners.count;
        }
        (first + left * last.endpoints, last)
    }

    /// The partners that a destination is of.
    pub fn partners_of(&self, dest: usize) -> &Partners {
        self.locate(dest).1
    }
}

#[cfg(test)]
mod tests;
