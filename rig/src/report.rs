//! The result of a run: figures, violated invariants, failed expectations, and the files that record them.
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;

use onyxglade_lab::discovery::{CallKind, ListCallOutcome};
use onyxglade_lab::experiment::Expectation;
use onyxglade_lab::record::{Second, write_csv};

use crate::check;
use crate::history::{EventKind, History};
use crate::schedule::Schedule;

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub name: String,
    pub seed: u64,
    #[serde(flatten)]
    pub figures: BTreeMap<String, f64>,
    /// Violated invariants by name, with how each was violated.
    #[serde(rename = "promises_broken")]
    pub violations: BTreeMap<String, String>,
    #[serde(rename = "expectations_not_held")]
    pub failed_expectations: Vec<String>,
    #[serde(skip)]
    pub seconds: Vec<Second>,
}

/// The figures in the summary line.
const SUMMARY_FIGURES: [&str; 16] = [
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
        let failure = |e: &Expectation| {
            let value = figures.get(&e.figure).copied();
            let text = value.map_or("missing".into(), |v| format!("{v:.3}"));
            (!e.holds(value))
                .then(|| format!("{} is {text}, least {:?}, most {:?}", e.figure, e.least, e.most))
        };
        let failed_expectations = schedule.expectations.iter().filter_map(failure).collect();
        let violations = check::violations(history).into_iter().map(|(name, why)| (name.to_owned(), why));
        let (name, seed) = (schedule.name.clone(), schedule.seed);
        Outcome { name, seed, figures, violations: violations.collect(), failed_expectations, seconds }
    }

    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.failed_expectations.is_empty()
    }

    /// The most important figures, in one line.
    pub fn summary_line(&self) -> String {
        let figures = SUMMARY_FIGURES.iter().filter_map(|name| {
            let value = self.figures.get(*name)?;
            Some(if value.fract() == 0.0 { format!("{name}={value}") } else { format!("{name}={value:.3}") })
        });
        let figures: Vec<_> = figures.collect();
        format!("{} seed={} {}", self.name, self.seed, figures.join(" "))
    }

    /// Writes result.json, schedule.toml, seconds.csv and history.json.
    pub fn write(&self, schedule: &Schedule, history: &History, folder: &Path) -> Result<(), String> {
        let describe = |e: std::io::Error| format!("{}: {e}", folder.display());
        std::fs::create_dir_all(folder).map_err(describe)?;
        let json = |value: Result<String, serde_json::Error>| value.map_err(|e| e.to_string());
        std::fs::write(folder.join("result.json"), json(serde_json::to_string_pretty(self))?)
            .map_err(describe)?;
        std::fs::write(folder.join("history.json"), json(serde_json::to_string(history))?)
            .map_err(describe)?;
        std::fs::write(folder.join("schedule.toml"), schedule.to_toml()).map_err(describe)?;
        write_csv(&folder.join("seconds.csv"), &self.seconds)
    }
}

fn figures(history: &History) -> BTreeMap<String, f64> {
    let listed_since = history.listed_since();
    let all_ready_at = history.all_ready_at();
    let last_listed =
        listed_since.iter().copied().collect::<Option<Vec<_>>>().and_then(|all| all.into_iter().max());
    let calls = &history.list_calls;
    let mut by_second = BTreeMap::<u64, u32>::new();
    calls.iter().for_each(|call| *by_second.entry(call.at.as_secs()).or_default() += 1);
    let count = |predicate: &dyn Fn(&onyxglade_lab::discovery::ListCall) -> bool| {
        calls.iter().filter(|c| predicate(c)).count() as f64
    };
    let (useful, useless) = (history.answering.as_secs_f64(), history.discarding.as_secs_f64());
    let share = |part: f64, of: f64| if of > 0.0 { part / of } else { 0.0 };
    let mut figures = vec![
        ("relays", history.relays as f64),
        ("list_calls", calls.len() as f64),
        ("list_calls_failed", count(&|c| c.outcome != ListCallOutcome::Answered)),
        ("list_calls_most_in_a_second", f64::from(by_second.values().copied().max().unwrap_or(0))),
        ("lists", count(&|c| c.outcome == ListCallOutcome::Answered && c.kind == CallKind::Whole)),
        ("service_useful_share", if useful + useless > 0.0 { useful / (useful + useless) } else { 1.0 }),
        ("without_list", listed_since.iter().filter(|l| l.is_none()).count() as f64),
        ("connections_peak_share", share(f64::from(history.opens_most), f64::from(history.opens_taken))),
        ("connections_most", f64::from(history.opens_most)),
        ("connections_opened", f64::from(history.opens_all)),
        ("connections_refused", f64::from(history.opens_refused)),
        ("handed_in", f64::from(history.handed_in)),
        ("delivered_in_time_share", share(f64::from(history.delivered), f64::from(history.handed_in))),
        ("rules_broken", history.rules_broken as f64),
        ("crashed", history.events.iter().filter(|e| matches!(e.kind, EventKind::Crashed(_))).count() as f64),
    ];
    let times = history.propagation_times();
    if let Some(last) = times.last() {
        let seconds = |at: &Option<crate::history::Elapsed>| at.map_or(f64::INFINITY, |at| at.as_secs_f64());
        figures.push(("heard_s_p99", seconds(&times[(times.len() * 99).div_ceil(100) - 1])));
        figures.push(("heard_s_last", seconds(last)));
    }
    if history.instances {
        figures.push(("views_agree_s", history.view_convergence_time().as_secs_f64()));
    }
    figures.extend(all_ready_at.map(|all_ready_at| ("up_s", all_ready_at.as_secs_f64())));
    // Counted from when the last process was ready; 0 where all relays had a list from the start.
    figures.extend(last_listed.zip(all_ready_at).map(|(last_listed, all_ready_at)| {
        ("all_listed_s", last_listed.saturating_sub(all_ready_at).as_secs_f64())
    }));
    figures.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}

#[cfg(test)]
mod tests;
