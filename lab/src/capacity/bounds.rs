//! The bounds that results are held against. They stand in `docs/capacity.toml`, beside the page that explains them; a
//! test holds the page's rows against that file.
use serde::{Deserialize, Serialize};

use super::{CapacityError, Report};

/// The file of bounds, as it was when the laboratory was built.
const FILE: &str = include_str!("../../../docs/capacity.toml");

/// What a bound is about: the slope of a series or its constant term, or a single figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// The slope of a line or a logarithm, the exponent of a power.
    Slope,
    /// The constant term, or the factor of a power.
    Base,
    /// A single figure.
    Value,
}

/// One bound.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Name of the series or figure.
    pub name: String,
    /// Which number of it.
    pub part: Part,
    /// The measured value that the page states.
    pub measured: f64,
    /// Least value that is accepted.
    pub least: f64,
    /// Greatest value that is accepted.
    pub most: f64,
    /// Whether the quick run is held to it, too.
    #[serde(default)]
    pub quick: bool,
}

/// All bounds.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// In the order of the file.
    #[serde(default)]
    pub bound: Vec<Bound>,
}

/// How one result compares with its bound.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The bound.
    pub bound: Bound,
    /// What this run gave.
    pub value: f64,
    /// Whether the value lies within the bound.
    pub holds: bool,
}

impl Bounds {
    /// The bounds beside `docs/CAPACITY.md`.
    pub fn documented() -> Result<Bounds, CapacityError> {
        Bounds::read(FILE)
    }

    /// Reads bounds from TOML. A range that its own measured value lies outside of is refused.
    pub fn read(text: &str) -> Result<Bounds, CapacityError> {
        let bounds: Bounds = toml::from_str(text).map_err(|e| CapacityError::Bounds(e.to_string()))?;
        let contradiction = bounds.bound.iter().find(|b| !(b.least..=b.most).contains(&b.measured));
        match contradiction {
            Some(bound) => {
                Err(CapacityError::Bounds(format!("{}: measured lies outside of its range", bound.name)))
            }
            None => Ok(bounds),
        }
    }

    /// Compares a report's results with the bounds. Bounds of what was not measured are left out.
    pub fn judge(&self, report: &Report) -> Vec<Verdict> {
        let asked = self.bound.iter().filter(|bound| bound.quick || !report.quick);
        let verdicts = asked.filter_map(|bound| {
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
