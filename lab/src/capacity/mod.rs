//! Scale tests: each measures quantities at several sizes, a factor of four apart, and fits the scaling law of each.
//!
//! Each measurement is a submodule with a function `measure(&Options) -> Result<Measured, CapacityError>`. This module
//! runs the selected measurements, fits their series, checks the results against [`bounds::Bounds`], and writes
//! `result.json` and one plot per series.
use clap::ValueEnum;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use thiserror::Error;

pub mod backlog;
mod backlog_load;
pub mod backlog_on_disk;
pub mod bounds;
mod configuration;
mod cpu_time;
mod destinations;
pub mod fit;
mod lists;
mod membership;
mod plot;
mod process;
pub mod simulated_instances;
mod simulated_peers;
mod simulated_relay;
mod site;
mod thin_traffic;
pub mod traffic;

use bounds::{Bounds, Verdict};
use fit::{Fit, Law};

/// A measurement that can be selected with `--only`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// Cost of many messages queued in memory for a destination that does not answer.
    Backlog,
    /// The same with the backlog stored on disk, and the rate at which it drains.
    BacklogOnDisk,
    /// Cost of traffic at increasing message rates, and with some of the endpoints unavailable.
    Traffic,
    /// Traffic, processor time and convergence of the membership protocol between instances.
    Membership,
    /// Cost of distributing the endpoint list between instances.
    Lists,
    /// Cost of a configuration reload.
    Configuration,
    /// Cost of listed destinations and of destinations in use.
    Destinations,
    /// Behaviour with one message per 100 s for each pair of relay and destination.
    ThinTraffic,
}

/// Options of a run of the scale tests.
#[derive(Clone, Debug)]
pub struct Options {
    /// Measures the smaller sizes only, so that the whole run takes about a minute.
    pub quick: bool,
    /// Output folder for `result.json` and the plots.
    pub out: PathBuf,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// Error of a measurement or of its evaluation.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// A file or folder could not be read or written.
    #[error("cannot access {path}: {source}")]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The bounds file is not valid.
    #[error("invalid bounds: {0}")]
    Bounds(String),
    /// A plot could not be drawn.
    #[error("cannot plot series {series}: {reason}")]
    Plot {
        /// Name of the series.
        series: String,
        /// The plotting library's error message.
        reason: String,
    },
    /// The relay process, a simulated peer or the measurement itself failed.
    #[error("{subject}: {reason}")]
    Measurement {
        /// The measurement, or the part of it, that failed.
        subject: &'static str,
        /// Description of the failure.
        reason: String,
    },
}

/// One data point: a size and the value measured at that size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size, in the unit of [`Series::varied`].
    pub size: f64,
    /// The measured value, in the unit of [`Series::unit`].
    pub value: f64,
}

/// One quantity measured at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// `subject.quantity`, the name used in the bounds and in `docs/CAPACITY.md`.
    pub name: &'static str,
    /// The independent variable, with its unit.
    pub varied: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// The law that the quantity is expected to follow.
    pub law: Law,
    /// Data points in order of size. Several points at one size are repetitions.
    pub points: Vec<Point>,
}

/// A single value that does not depend on a size, such as a longest pause.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// `subject.quantity`, the name used in the bounds and in `docs/CAPACITY.md`.
    pub name: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// The measured value.
    pub value: f64,
}

/// Results of one measurement.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measured {
    /// Quantities measured over sizes.
    pub series: Vec<Series>,
    /// Single values.
    pub figures: Vec<Figure>,
}

/// A series with its fitted law.
#[derive(Clone, Debug, Serialize)]
pub struct Fitted {
    /// The data points.
    pub series: Series,
    /// The law fitted to them.
    pub fit: Fit,
}

/// Results of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Version of the `onyxglade-lab` package.
    pub version: &'static str,
    /// Whether the run was a quick one.
    pub quick: bool,
    /// Seed of the run.
    pub seed: u64,
    /// All series with their fitted laws.
    pub series: Vec<Fitted>,
    /// All single values.
    pub figures: Vec<Figure>,
    /// Comparison of the results with the bounds.
    pub verdicts: Vec<Verdict>,
}

impl Report {
    /// Whether all results are within their bounds.
    pub fn holds(&self) -> bool {
        self.holds_but_for(&[])
    }

    /// Whether all results are within their bounds but for those of these names, which are listed as known failures.
    pub fn holds_but_for(&self, known_failures: &[String]) -> bool {
        self.verdicts.iter().all(|verdict| verdict.holds || known_failures.contains(&verdict.bound.name))
    }

    /// A line that says what became of a bound that is listed as a known failure.
    ///
    /// # Errors
    /// No bound that was judged in this run has the name.
    pub fn known_failure(&self, name: &str) -> Result<String, String> {
        let verdicts: Vec<_> = self.verdicts.iter().filter(|verdict| verdict.bound.name == name).collect();
        match verdicts.iter().all(|verdict| verdict.holds) {
            _ if verdicts.is_empty() => Err(format!("no bound that is judged in this run is named {name}")),
            true => Ok(format!("known red bound, but it holds: {name}")),
            false => Ok(format!("known red bound: {name}")),
        }
    }

    /// Summary line printed at the end of a run: every fit, every figure, and the number of bounds met.
    pub fn line(&self) -> String {
        let slopes = self.series.iter().map(|fitted| format!("{} {}", fitted.series.name, fitted.fit));
        let figures = self.figures.iter().map(|f| format!("{} {:.4} {}", f.name, f.value, f.unit));
        let failed = self.verdicts.iter().filter(|verdict| !verdict.holds).count();
        let bounds_met = format!("{} of {} bounds hold", self.verdicts.len() - failed, self.verdicts.len());
        slopes.chain(figures).chain([bounds_met]).collect::<Vec<_>>().join("; ")
    }

    fn add(&mut self, measured: Measured) {
        let fitted = measured.series.into_iter().map(|series| {
            let fit = Fit::of(series.law, &series.points);
            Fitted { series, fit }
        });
        self.series.extend(fitted);
        self.figures.extend(measured.figures);
    }
}

/// Runs the measurements in `only`, or all of them if it is empty, and writes the result after each one. The bounds are
/// those of `docs/capacity.toml`.
pub fn run(only: &[Subject], options: &Options) -> Result<Report, CapacityError> {
    let bounds = Bounds::documented()?;
    create_folder(&options.out)?;
    let subjects = if only.is_empty() { Subject::value_variants() } else { only };
    let mut report = Report {
        version: env!("CARGO_PKG_VERSION"),
        quick: options.quick,
        seed: options.seed,
        ..Report::default()
    };
    for subject in subjects {
        report.add(measure(*subject, options)?);
        report.verdicts = bounds.evaluate(&report);
        write(&report, &options.out)?;
    }
    Ok(report)
}

fn measure(subject: Subject, options: &Options) -> Result<Measured, CapacityError> {
    match subject {
        Subject::Backlog => backlog::measure(options),
        Subject::BacklogOnDisk => backlog_on_disk::measure(options),
        Subject::Traffic => traffic::measure(options),
        Subject::Membership => membership::measure(options),
        Subject::Lists => lists::measure(options),
        Subject::Configuration => configuration::measure(options),
        Subject::Destinations => destinations::measure(options),
        Subject::ThinTraffic => thin_traffic::measure(options),
    }
}

fn write(report: &Report, out: &Path) -> Result<(), CapacityError> {
    let path = out.join("result.json");
    let text = serde_json::to_vec_pretty(report).expect("a report serializes to JSON");
    std::fs::write(&path, text).map_err(|source| CapacityError::File { path, source })?;
    report.series.iter().try_for_each(|fitted| plot::draw(fitted, out))
}

fn create_folder(path: &Path) -> Result<(), CapacityError> {
    std::fs::create_dir_all(path).map_err(|source| CapacityError::File { path: path.to_owned(), source })
}

#[cfg(test)]
mod tests;
