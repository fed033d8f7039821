//! The result of a play: figures, promises that were not kept, expectations, and the files that hold them.
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;

use onyxglade_lab::discovery::{CallKind, ListCallOutcome};
use onyxglade_lab::experiment::Expectation;
use onyxglade_lab::record::{Second, write_csv};

use crate::check;
use crate::history::{History, What};
use crate::schedule::Schedule;

/// What came of a play.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub name: String,
    pub seed: u64,
    #[serde(flatten)]
    pub figures: BTreeMap<String, f64>,
    /// Promises not kept, and why.
    pub promises_broken: BTreeMap<String, String>,
    pub expectations_not_held: Vec<String>,
    #[serde(skip)]
    pub seconds: Vec<Second>,
}

/// The figures that the last line tells.
const TOLD: [&str; 16] = [
    "relays",
    "up_s",
    "list_calls",
    "list_calls_failed",
    "lists",
    "all_listed_s",
    "without_list",
    "views_agree_s",
    "heard_s_p99",
    "heard_s_last",
    "connections_peak_share",
    "connections_opened",
    "connections_refused",
    "delivered_in_time_share",
    "handed_in",
    "rules_broken",
];

impl Outcome {
    pub fn new(schedule: &Schedule, history: &History, seconds: Vec<Second>) -> Outcome {
        let figures = figures(history);
        let not_held = |e: &Expectation| {
            let value = figures.get(&e.figure).copied();
            let told = value.map_or("missing".into(), |v| format!("{v:.3}"));
            (!e.holds(value))
                .then(|| format!("{} is {told}, least {:?}, most {:?}", e.figure, e.least, e.most))
        };
        let expectations_not_held = schedule.expectations.iter().filter_map(not_held).collect();
        let broken = check::all(history).into_iter().map(|(name, why)| (name.to_owned(), why));
        let (name, seed) = (schedule.name.clone(), schedule.seed);
        Outcome { name, seed, figures, promises_broken: broken.collect(), expectations_not_held, seconds }
    }

    pub fn held(&self) -> bool {
        self.promises_broken.is_empty() && self.expectations_not_held.is_empty()
    }

    /// All that a reader needs first, in a line.
    pub fn line(&self) -> String {
        let told = TOLD.iter().filter_map(|name| {
            let value = self.figures.get(*name)?;
            Some(if value.fract() == 0.0 { format!("{name}={value}") } else { format!("{name}={value:.3}") })
        });
        let told: Vec<_> = told.collect();
        format!("{} seed={} {}", self.name, self.seed, told.join(" "))
    }

    /// Writes result.json, schedule.toml, seconds.csv and the history.
    pub fn write(&self, schedule: &Schedule, history: &History, folder: &Path) -> Result<(), String> {
        let fault = |e: std::io::Error| format!("{}: {e}", folder.display());
        std::fs::create_dir_all(folder).map_err(fault)?;
        let json = |value: Result<String, serde_json::Error>| value.map_err(|e| e.to_string());
        std::fs::write(folder.join("result.json"), json(serde_json::to_string_pretty(self))?)
            .map_err(fault)?;
        std::fs::write(folder.join("history.json"), json(serde_json::to_string(history))?).map_err(fault)?;
        std::fs::write(folder.join("schedule.toml"), schedule.text()).map_err(fault)?;
        write_csv(&folder.join("seconds.csv"), &self.seconds)
    }
}

fn figures(history: &History) -> BTreeMap<String, f64> {
    let listed = history.listed();
    let up = history.up();
    let last = listed.iter().copied().collect::<Option<Vec<_>>>().and_then(|all| all.into_iter().max());
    let calls = &history.list_calls;
    let mut by_second = BTreeMap::<u64, u32>::new();
    calls.iter().for_each(|call| *by_second.entry(call.at.as_secs()).or_default() += 1);
    let count = |fits: &dyn Fn(&onyxglade_lab::discovery::ListCall) -> bool| {
        calls.iter().filter(|c| fits(c)).count() as f64
    };
    let (useful, useless) = (history.answering.as_secs_f64(), history.throwing.as_secs_f64());
    let share = |part: f64, of: f64| if of > 0.0 { part / of } else { 0.0 };
    let mut figures = vec![
        ("relays", history.relays as f64),
        ("list_calls", calls.len() as f64),
        ("list_calls_failed", count(&|c| c.outcome != ListCallOutcome::Answered)),
        ("list_calls_most_in_a_second", f64::from(by_second.values().copied().max().unwrap_or(0))),
        ("lists", count(&|c| c.outcome == ListCallOutcome::Answered && c.kind == CallKind::Whole)),
        ("service_useful_share", if useful + useless > 0.0 { useful / (useful + useless) } else { 1.0 }),
        ("without_list", listed.iter().filter(|l| l.is_none()).count() as f64),
        ("connections_peak_share", share(f64::from(history.opens_most), f64::from(history.opens_taken))),
        ("connections_most", f64::from(history.opens_most)),
        ("connections_opened", f64::from(history.opens_all)),
        ("connections_refused", f64::from(history.opens_refused)),
        ("handed_in", f64::from(history.handed_in)),
        ("delivered_in_time_share", share(f64::from(history.delivered), f64::from(history.handed_in))),
        ("rules_broken", history.rules_broken as f64),
        ("crashed", history.events.iter().filter(|e| matches!(e.what, What::Crashed(_))).count() as f64),
    ];
    let heard = history.heard();
    if let Some(last) = heard.last() {
        let seconds = |at: &Option<crate::history::At>| at.map_or(f64::INFINITY, |at| at.as_secs_f64());
        figures.push(("heard_s_p99", seconds(&heard[(heard.len() * 99).div_ceil(100) - 1])));
        figures.push(("heard_s_last", seconds(last)));
    }
    if history.instances {
        figures.push(("views_agree_s", history.views_agree().as_secs_f64()));
    }
    figures.extend(up.map(|up| ("up_s", up.as_secs_f64())));
    // From when the last process was up; where lists were known before, at once.
    figures.extend(last.zip(up).map(|(last, up)| ("all_listed_s", last.saturating_sub(up).as_secs_f64())));
    figures.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}

#[cfg(test)]
mod tests;
