//! Least-squares fit of a scaling law to the data points of a series.
use serde::{Deserialize, Serialize};
use std::fmt;

use super::Point;

/// Functional form of a scaling law.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Law {
    /// `value = base + slope * size`.
    Line,
    /// `value = base * size ^ slope`; sizes and values must be positive.
    Power,
    /// `value = base + slope * ln(size)`; sizes must be positive.
    Logarithm,
}

/// A law with its two fitted parameters.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Functional form.
    pub law: Law,
    /// The constant term of a linear or logarithmic law, or the factor of a power law.
    pub base: f64,
    /// The slope of a linear or logarithmic law, or the exponent of a power law.
    pub slope: f64,
    /// Root mean square of the deviations, relative to the mean value. 0 is a perfect fit.
    pub residual: f64,
}

impl Fit {
    /// Fits a law by least squares. With fewer than two distinct sizes the slope is 0.
    pub fn of(law: Law, points: &[Point]) -> Fit {
        let transformed = points.iter().map(|point| match law {
            Law::Line => (point.size, point.value),
            Law::Power => (point.size.ln(), point.value.ln()),
            Law::Logarithm => (point.size.ln(), point.value),
        });
        let (intercept, slope) = least_squares(&transformed.collect::<Vec<_>>());
        let base = if law == Law::Power { intercept.exp() } else { intercept };
        let fit = Fit { law, base, slope, residual: 0.0 };
        Fit { residual: fit.relative_deviation(points), ..fit }
    }

    /// Value of the law at a size.
    pub fn at(&self, size: f64) -> f64 {
        match self.law {
            Law::Line => self.base + self.slope * size,
            Law::Power => self.base * size.powf(self.slope),
            Law::Logarithm => self.base + self.slope * size.ln(),
        }
    }

    fn relative_deviation(&self, points: &[Point]) -> f64 {
        let count = points.len().max(1) as f64;
        let mean = points.iter().map(|point| point.value).sum::<f64>() / count;
        let squares = points.iter().map(|point| (point.value - self.at(point.size)).powi(2)).sum::<f64>();
        if mean == 0.0 { 0.0 } else { (squares / count).sqrt() / mean.abs() }
    }
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fit { base, slope, residual, .. } = self;
        match self.law {
            Law::Line => write!(f, "{base:.4} + {slope:.4e} a unit (residual {residual:.3})"),
            Law::Power => write!(f, "{base:.4e} * size^{slope:.3} (residual {residual:.3})"),
            Law::Logarithm => write!(f, "{base:.4} + {slope:.4} * ln(size) (residual {residual:.3})"),
        }
    }
}

/// Intercept and slope of the least-squares line.
fn least_squares(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let covariance = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>();
    let variance = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
    (mean_y - slope * mean_x, slope)
}
