//! Bounds of the measured results, read from `docs/capacity.toml`. The page `docs/CAPACITY.md` explains them; a test
//! checks that the rows of the page match the file.
use serde::{Deserialize, Serialize};

use super::{CapacityError, Report};

/// Content of the bounds file at build time.
const BOUNDS_FILE: &str = include_str!("../../../docs/capacity.toml");

/// The result that a bound applies to: a parameter of a series' fitted law, or a single figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// The slope of a linear or logarithmic law, or the exponent of a power law.
    Slope,
    /// The constant term of a linear or logarithmic law, or the factor of a power law.
    Base,
    /// A single figure.
    Value,
}

/// The accepted range of one result.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Name of the series or figure.
    pub name: String,
    /// The parameter of the series or figure.
    pub part: Part,
    /// The measured value stated in `docs/CAPACITY.md`.
    pub measured: f64,
    /// Smallest accepted value.
    pub least: f64,
    /// Largest accepted value.
    pub most: f64,
    /// Whether the bound is also checked in a quick run.
    #[serde(default)]
    pub quick: bool,
}

/// The bounds file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// All bounds, in the order of the file.
    #[serde(default)]
    pub bound: Vec<Bound>,
}

/// Comparison of one result with its bound.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The bound.
    pub bound: Bound,
    /// The value measured in this run.
    pub value: f64,
    /// Whether the value lies within the bound.
    pub holds: bool,
}

impl Bounds {
    /// Parses the bounds of `docs/capacity.toml`, which are compiled into the program.
    pub fn documented() -> Result<Bounds, CapacityError> {
        Bounds::read(BOUNDS_FILE)
    }

    /// Parses bounds from TOML. Returns an error if the stated measured value of a bound is outside its range.
    pub fn read(text: &str) -> Result<Bounds, CapacityError> {
        let bounds: Bounds = toml::from_str(text).map_err(|e| CapacityError::Bounds(e.to_string()))?;
        let inconsistent = bounds.bound.iter().find(|b| !(b.least..=b.most).contains(&b.measured));
        match inconsistent {
            Some(bound) => Err(CapacityError::Bounds(format!(
                "{}: `measured` is outside the range from `least` to `most`",
                bound.name
            ))),
            None => Ok(bounds),
        }
    }

    /// Compares the results of a report with the bounds. Bounds of results that the report does not contain are skipped.
    pub fn evaluate(&self, report: &Report) -> Vec<Verdict> {
        let applicable = self.bound.iter().filter(|bound| bound.quick || !report.quick);
        let verdicts = applicable.filter_map(|bound| {
            let value = value_of(report, bound)?;
            let holds = (bound.least..=bound.most).contains(&value);
            Some(Verdict { bound: bound.clone(), value, holds })
        });
        verdicts.collect()
    }
}

fn value_of(report: &Report, bound: &Bound) -> Option<f64> {
    let fit =
        || report.series.iter().find(|fitted| fitted.series.name == bound.name).map(|fitted| fitted.fit);
    match bound.part {
        Part::Slope => fit().map(|fit| fit.slope),
        Part::Base => fit().map(|fit| fit.base),
        Part::Value => report.figures.iter().find(|f| f.name == bound.name).map(|f| f.value),
    }
}
