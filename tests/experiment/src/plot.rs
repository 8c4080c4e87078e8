//! Plots the differences of each metric as points in an SVG file.

use crate::comparison::MetricChange;
use crate::error::ExperimentError;
use plotters::prelude::*;
use std::path::Path;

/// Width of the image in pixels.
const WIDTH: u32 = 900;
/// Height of the row of one metric in pixels.
const ROW_HEIGHT: u32 = 28;
/// Width of the metric names in pixels.
const LABEL_WIDTH: u32 = 330;
/// Height of title and axis together in pixels.
const FRAME_HEIGHT: u32 = 90;
/// Smallest range of the axis on each side of zero, used if nothing changed.
const MIN_RANGE: f64 = 0.001;

/// Draws the differences of all metrics that changed.
///
/// # Errors
///
/// The file cannot be written.
pub fn draw(path: &Path, title: &str, changes: &[MetricChange]) -> Result<(), ExperimentError> {
    let shown: Vec<&MetricChange> = changes.iter().filter(|change| change.differs()).collect();
    let failed = |error: &dyn std::fmt::Display| ExperimentError::Plot(error.to_string());
    let height = FRAME_HEIGHT + ROW_HEIGHT * shown.len() as u32;
    let area = SVGBackend::new(path, (WIDTH, height)).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let differences = shown.iter().flat_map(|change| &change.differences);
    let range = differences.fold(MIN_RANGE, |range, difference| range.max(difference.abs())) * 1.1;
    let rows = shown.len().max(1) as f64;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(LABEL_WIDTH)
        .build_cartesian_2d(-range..range, 0.0..rows)
        .map_err(|error| failed(&error))?;
    let name = |row: &f64| {
        let index = rows - row - 0.5;
        let is_middle = index >= 0.0 && index.fract().abs() < 0.01;
        let metric = shown.get(index as usize).filter(|_| is_middle);
        metric.map_or_else(String::new, |change| change.metric.clone())
    };
    chart
        .configure_mesh()
        .y_labels(2 * shown.len() + 1)
        .y_label_formatter(&name)
        .disable_y_mesh()
        .draw()
        .map_err(|error| failed(&error))?;
    for (index, change) in shown.iter().enumerate() {
        let row = rows - index as f64 - 0.5;
        let points = change.differences.iter();
        let points = points.map(|difference| Circle::new((*difference, row), 3, BLUE.filled()));
        chart.draw_series(points).map_err(|error| failed(&error))?;
        let median = Cross::new((change.summary.median, row), 6, RED.stroke_width(2));
        chart
            .draw_series(std::iter::once(median))
            .map_err(|error| failed(&error))?;
    }
    area.present().map_err(|error| failed(&error))
}
