//! Scale tests: each measures a quantity at several sizes, a factor of four apart, and states the law that it follows.
//!
//! A measurement is one file of this module with a function `measure(&Options) -> Result<Measured, CapacityError>`. This module
//! runs the selected ones, fits their series, holds the results against the bounds of [`bounds::Bounds`], and writes
//! `result.json` and one plot a series.
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
mod simulated_relay;
mod site;
mod stand_ins;
mod thin_traffic;
pub mod traffic;

use bounds::{Bounds, Verdict};
use fit::{Fit, Law};

/// What can be measured; `--only` takes these names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// A relay that holds many messages for a destination that does not answer.
    Backlog,
    /// The same with what cannot go soon on disk, and how it drains.
    BacklogOnDisk,
    /// A relay that takes more and more messages a second, and one with a part of the endpoints gone.
    Traffic,
    /// What instances send to know of one another.
    Membership,
    /// What passing the list on between instances costs.
    Lists,
    /// What a reload of the configuration costs.
    Configuration,
    /// Destinations listed and used.
    Destinations,
    /// A message in 100 s for each pair of relay and destination.
    ThinTraffic,
}

/// How a run of the scale tests was asked for.
#[derive(Clone, Debug)]
pub struct Options {
    /// The smaller sizes only, so that the whole run takes about a minute.
    pub quick: bool,
    /// Folder for `result.json` and the plots.
    pub out: PathBuf,
    /// Seed of everything that is drawn.
    pub seed: u64,
}

/// Why a measurement could not be made.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// A file or folder could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file of bounds is not as it should be.
    #[error("bounds: {0}")]
    Bounds(String),
    /// A plot could not be drawn.
    #[error("plot of {series}: {reason}")]
    Plot {
        /// The series' name.
        series: String,
        /// What the plotting library said.
        reason: String,
    },
    /// A process or stand-in of the measurement failed.
    #[error("{subject}: {reason}")]
    Measurement {
        /// Which measurement.
        subject: &'static str,
        /// What went wrong, in words.
        reason: String,
    },
}

/// One reading: a size and what was measured there.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size, in the unit of [`Series::varied`].
    pub size: f64,
    /// What was measured, in the unit of [`Series::unit`].
    pub value: f64,
}

/// One quantity over several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// `subject.quantity`, as the bounds and `docs/CAPACITY.md` name it.
    pub name: &'static str,
    /// What was varied, with its unit.
    pub varied: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// The law that the quantity is expected to follow.
    pub law: Law,
    /// Readings, in the order of size. Several at one size are repetitions.
    pub points: Vec<Point>,
}

/// One number that is not a slope, such as a worst pause.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// `subject.quantity`, as the bounds and `docs/CAPACITY.md` name it.
    pub name: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// The value.
    pub value: f64,
}

/// What one measurement gave.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measured {
    /// Quantities over sizes.
    pub series: Vec<Series>,
    /// Single numbers.
    pub figures: Vec<Figure>,
}

/// A series with its fitted law.
#[derive(Clone, Debug, Serialize)]
pub struct Fitted {
    /// The readings.
    pub series: Series,
    /// The law through them.
    pub fit: Fit,
}

/// All that a run gave.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Version of the laboratory's package.
    pub version: &'static str,
    /// Whether it was the quick run.
    pub quick: bool,
    /// The seed.
    pub seed: u64,
    /// Every series, fitted.
    pub series: Vec<Fitted>,
    /// Every single number.
    pub figures: Vec<Figure>,
    /// How the results compare with the bounds.
    pub verdicts: Vec<Verdict>,
}

impl Report {
    /// Whether every bound holds.
    pub fn holds(&self) -> bool {
        self.verdicts.iter().all(|verdict| verdict.holds)
    }

    /// The last line of a run: each slope and figure.
    pub fn line(&self) -> String {
        let slopes = self.series.iter().map(|fitted| format!("{} {}", fitted.series.name, fitted.fit));
        let figures = self.figures.iter().map(|f| format!("{} {:.4} {}", f.name, f.value, f.unit));
        let failed = self.verdicts.iter().filter(|verdict| !verdict.holds).count();
        let held = format!("{} of {} bounds hold", self.verdicts.len() - failed, self.verdicts.len());
        slopes.chain(figures).chain([held]).collect::<Vec<_>>().join("; ")
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

/// Measures the named subjects, all if none is named, and writes the result. The bounds are those that stand beside
/// `docs/CAPACITY.md`.
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
        report.verdicts = bounds.judge(&report);
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
    let text = serde_json::to_vec_pretty(report).expect("a report has only plain values");
    std::fs::write(&path, text).map_err(|source| CapacityError::File { path, source })?;
    report.series.iter().try_for_each(|fitted| plot::draw(fitted, out))
}

fn create_folder(path: &Path) -> Result<(), CapacityError> {
    std::fs::create_dir_all(path).map_err(|source| CapacityError::File { path: path.to_owned(), source })
}

#[cfg(test)]
mod tests;
