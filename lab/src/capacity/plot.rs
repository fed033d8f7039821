//! Plots of series: the data points and the fitted law.
use plotters::prelude::*;
use std::path::Path;

use super::{CapacityError, Fitted};

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (640, 400);
/// Number of points of the fitted law's curve.
const CURVE_STEPS: u32 = 64;

/// Draws a series to `NAME.svg` in `folder`.
pub fn draw(fitted: &Fitted, folder: &Path) -> Result<(), CapacityError> {
    let series = &fitted.series;
    let path = folder.join(format!("{}.svg", series.name));
    let error = |reason: String| CapacityError::Plot { series: series.name.to_owned(), reason };
    let largest = series.points.iter().map(|point| point.size).fold(1.0, f64::max);
    let highest = series.points.iter().map(|point| point.value).fold(f64::MIN_POSITIVE, f64::max);
    let area = SVGBackend::new(&path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| error(e.to_string()))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(series.name, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(0.0..largest * 1.05, 0.0..highest * 1.15)
        .map_err(|e| error(e.to_string()))?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(series.varied).y_desc(series.unit).draw().map_err(|e| error(e.to_string()))?;
    let curve = (1..=CURVE_STEPS).map(|step| largest * f64::from(step) / f64::from(CURVE_STEPS));
    let curve = curve.map(|size| (size, fitted.fit.at(size)));
    chart.draw_series(LineSeries::new(curve, &BLUE)).map_err(|e| error(e.to_string()))?;
    let data_points =
        series.points.iter().map(|point| Circle::new((point.size, point.value), 4, RED.filled()));
    chart.draw_series(data_points).map_err(|e| error(e.to_string()))?;
    area.present().map_err(|e| error(e.to_string()))
}
